//! Durability of committed commands across bootstraps: a command that a memory of the pool holds is kept.
//!
//! Entry numbers can't show this, since those of a new era are above all earlier ones, whatever its leader holds.
//! So commands are followed by their content.

use std::collections::{BTreeMap, BTreeSet};

/// The subjects, of those with the latest commands, that a leader must hold. Fewer than an instance keeps, which
/// may count their age from other entries.
const SUBJECTS_CHECKED: usize = 32;

/// Identifies a command and the proposal that it came from, whatever number its entry has.
pub type CommandDigest = u64;

/// The committed commands of each subject that a memory may still hold.
#[derive(Default)]
pub struct CommittedCommands {
    /// By subject: the commands in the order of their numbers.
    by_subject: BTreeMap<String, BTreeMap<u64, CommandDigest>>,
}

impl CommittedCommands {
    /// Records that a command was committed under an entry number.
    pub fn on_committed(&mut self, number: u64, subject: String, command: CommandDigest) {
        self.by_subject.entry(subject).or_default().insert(number, command);
    }

    /// Records a bootstrap. `is_held` tells whether a memory of the pool holds a command. The commands of a
    /// subject that are later than the last one held are lost with the memories that held them.
    pub fn on_bootstrap(&mut self, is_held: impl Fn(CommandDigest) -> bool) {
        for commands in self.by_subject.values_mut() {
            while commands.last_entry().is_some_and(|last| !is_held(*last.get())) {
                commands.pop_last();
            }
        }
        self.by_subject.retain(|_, commands| !commands.is_empty());
    }

    /// A subject whose latest command a new leader lacks. `held` are the commands that it holds as committed.
    pub fn missing(&self, held: &BTreeSet<CommandDigest>) -> Option<&str> {
        let mut latest: Vec<_> = self
            .by_subject
            .iter()
            .filter_map(|(subject, commands)| Some((commands.last_key_value()?, subject)))
            .collect();
        latest.sort_unstable_by_key(|((number, _), _)| std::cmp::Reverse(**number));
        let checked = latest.into_iter().take(SUBJECTS_CHECKED);
        checked
            .filter(|((_, command), _)| !held.contains(command))
            .map(|(_, subject)| subject.as_str())
            .next()
    }
}
