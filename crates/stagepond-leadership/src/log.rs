//! The replicated log: entries, the state machine that they build up, and the committed part of it.
//!
//! The log keeps entries in order and bounded in number. A committed entry is never changed or dropped.
//!
//! The types here are stored and sent as postcard, which encodes fields and variants by their order of
//! declaration, so that order must not change.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::*;
use crate::settings::MAX_VOTERS;

/// The membership configuration: the voters, and a membership change in progress.
///
/// While a change is in progress this is Raft's joint consensus (section 6): both the old and the new
/// configuration must agree. A change replaces one voter by another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Voters {
    /// The old configuration while a change is in progress, otherwise the only one.
    pub now: Vec<Voter>,
    /// The voter that is removed and the voter that replaces it.
    pub change: Option<(Voter, Voter)>,
}

impl Voters {
    /// A configuration without a change in progress.
    pub fn single(now: Vec<Voter>) -> Voters {
        Voters { now, change: None }
    }

    /// The new configuration of the change in progress, or the current one if there is none.
    pub fn target(&self) -> Vec<Voter> {
        let mut target = self.now.clone();
        if let Some((removed, added)) = self.change {
            target.retain(|v| *v != removed);
            target.push(added);
            target.sort();
        }
        target
    }

    /// Whether `voter` is in the old or the new configuration.
    pub fn contains(&self, voter: &Voter) -> bool {
        self.now.contains(voter) || self.change.is_some_and(|(_, added)| added == *voter)
    }

    /// All voters of the old and the new configuration.
    pub fn iter(&self) -> impl Iterator<Item = Voter> + '_ {
        self.now.iter().copied().chain(self.change.map(|(_, added)| added))
    }

    /// Whether the voters for which `agrees` holds are a majority of each configuration that must agree.
    pub fn has_quorum(&self, agrees: impl Fn(&Voter) -> bool) -> bool {
        let majority = |set: &[Voter]| set.iter().filter(|v| agrees(v)).count() * 2 > set.len();
        majority(&self.now) && (self.change.is_none() || majority(&self.target()))
    }

    fn is_valid(&self) -> bool {
        let consistent =
            |(removed, added): (Voter, Voter)| self.now.contains(&removed) && !self.now.contains(&added);
        !self.now.is_empty() && self.now.len() <= MAX_VOTERS && self.change.is_none_or(consistent)
    }
}

/// The release judge's vote on a stage, as it is replicated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum VoteChoice {
    /// Advance to the next stage.
    On,
    /// Stay at this stage.
    Hold,
    /// Roll the build back.
    Back,
    /// An earlier vote no longer holds.
    Withdrawn,
}

/// A command of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// A new leader's no-op. Once it is committed, so are all entries before it (Raft, section 8).
    Opening,
    /// A membership configuration.
    Voters(Voters),
    /// A vote on a stage of a build's trial.
    Vote { build: u16, stage: u32, voice: VoteChoice },
    /// Allows a trial this share of the traffic, in millionths.
    Widen { build: u16, stage: u32, share: u32 },
    /// While `frozen`, the traffic share of the build's trial does not grow.
    Freeze { build: u16, frozen: bool },
}

/// The key of a command in the state machine: a later command with the same key replaces the earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Subject {
    /// The vote on one stage of a build.
    Vote { build: u16, stage: u32 },
    /// The traffic share of a build.
    Widen { build: u16 },
    /// Whether the traffic share of a build is frozen.
    Freeze { build: u16 },
}

impl Command {
    /// The key under which the state machine keeps this command; `None` for the log's own commands.
    pub fn subject(&self) -> Option<Subject> {
        match *self {
            Command::Opening | Command::Voters(_) => None,
            Command::Vote { build, stage, .. } => Some(Subject::Vote { build, stage }),
            Command::Widen { build, .. } => Some(Subject::Widen { build }),
            Command::Freeze { build, .. } => Some(Subject::Freeze { build }),
        }
    }
}

/// An entry of the replicated log.
#[derive(Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// The term in which the leader appended the entry.
    pub term: Term,
    /// The position in the log.
    pub number: Number,
    /// The leader that appended the entry.
    pub leader: Seat,
    /// The command to apply once the entry is committed.
    pub command: Command,
}

impl Entry {
    /// Whether a leader may append this entry right after one with this term and position.
    ///
    /// Its position is the next one, or, if it opens an era, one of that era's own.
    pub fn follows(&self, (previous_term, previous): (Term, Number)) -> bool {
        self.number == previous.next()
            || self.number > previous && self.own_offset_in_era(previous_term).is_some()
    }

    /// For the entry that opens an era: how far its position is above the era's first. `None` for other entries,
    /// and if the era continues the positions of the one before. `previous_term` is that of the entry before.
    fn own_offset_in_era(&self, previous_term: Term) -> Option<u64> {
        let era = self.term.era();
        let opens_era = era > previous_term.era();
        self.number.0.checked_sub(Number::first_of_era(era).0).filter(|_| opens_era)
    }
}

/// Prints the names that the output of `stagepond-lab replay-leadership` has, which differ from those in the
/// code.
impl fmt::Debug for Entry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Entry")
            .field("term", &self.term)
            .field("number", &self.number)
            .field("holder", &self.leader)
            .field("decree", &self.command)
            .finish()
    }
}

/// The state machine after all entries up to `number`: Raft's snapshot (section 7).
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    /// Term of the last entry applied.
    pub term: Term,
    /// Position of the last entry applied.
    pub number: Number,
    /// The latest membership configuration applied.
    pub voters: Voters,
    /// The latest entry of each subject.
    pub subjects: BTreeMap<Subject, Entry>,
}

/// Subjects that a snapshot keeps. Beyond this number the one with the oldest entry is removed, see
/// [`MAX_SPARED_FREEZES`] for an exception.
pub const MAX_SUBJECTS: usize = 48;
/// Freezes in force that are kept however old they are. Fewer than [`MAX_SUBJECTS`], so that the latest commands
/// on other subjects keep their places.
pub const MAX_SPARED_FREEZES: usize = 16;
/// Entries kept besides the snapshot, so that a follower that lacks a few of them does not need the whole
/// snapshot. Beyond this number the oldest committed ones are compacted.
pub const MAX_COMMITTED_ENTRIES: usize = 32;
/// Entries that wait for a quorum. Beyond this number the leader rejects commands.
pub const MAX_UNCOMMITTED_ENTRIES: usize = 64;

impl Snapshot {
    fn apply(&mut self, entry: &Entry) {
        (self.term, self.number) = (entry.term, entry.number);
        if let Command::Voters(voters) = &entry.command {
            self.voters = voters.clone();
        }
        if let Some(subject) = entry.command.subject() {
            self.subjects.insert(subject, entry.clone());
            if self.subjects.len() > MAX_SUBJECTS {
                self.remove_oldest_subject();
            }
        }
    }

    /// Removes the subject with the oldest entry, but no freeze in force while there are at most
    /// [`MAX_SPARED_FREEZES`]: what one forbids would be allowed again to whoever reads this state.
    fn remove_oldest_subject(&mut self) {
        let is_freeze = |entry: &Entry| matches!(entry.command, Command::Freeze { frozen: true, .. });
        let spares_freezes = self.subjects.values().filter(|e| is_freeze(e)).count() <= MAX_SPARED_FREEZES;
        let is_removable = |entry: &Entry| !spares_freezes || !is_freeze(entry);
        let removable = self.subjects.iter().filter(|(_, entry)| is_removable(entry));
        let oldest = removable.min_by_key(|(_, entry)| entry.number).map(|(subject, _)| *subject);
        oldest.map(|subject| self.subjects.remove(&subject));
    }

    /// Whether a snapshot read from disk or from a peer is within the limits of this program.
    pub fn is_valid(&self) -> bool {
        let voters = self.voters == Voters::default() || self.voters.is_valid();
        voters && self.subjects.len() <= MAX_SUBJECTS
    }
}

/// How the entries of a new era are numbered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EraNumbering {
    /// From [`Number::first_of_era`] on.
    Own,
    /// The positions of the era before go on.
    Consecutive,
}

/// The replicated log of one instance.
///
/// When an era begins, its leader can't know whether the entries that it holds uncommitted, or others under
/// the same positions, had been committed by voters that have lost their state. These entries stay in the log
/// where they are, but they are committed with the entry that opens the era, under positions of the new era
/// directly below that entry's own. The number of entries that this concerns follows from the position of the
/// opening entry, so it is the same in all logs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Log {
    /// Compacted entries, up to `base.number`.
    base: Snapshot,
    /// The entries after `base`, committed or not.
    entries: VecDeque<Entry>,
    /// The state machine after all committed entries.
    committed: Snapshot,
}

impl Log {
    /// Term and position of the last entry, committed or not.
    pub fn last(&self) -> (Term, Number) {
        self.entries.back().map_or((self.base.term, self.base.number), |e| (e.term, e.number))
    }
    /// The state machine after all committed entries.
    pub fn committed(&self) -> &Snapshot {
        &self.committed
    }
    /// Raft's commit index: the position of the last committed entry.
    pub fn commit_number(&self) -> Number {
        self.committed.number
    }
    /// Position of the last compacted entry.
    pub fn base_number(&self) -> Number {
        self.base.number
    }

    /// How many of the kept entries are at this position or before it.
    fn count_up_to(&self, number: Number) -> usize {
        self.entries.partition_point(|e| e.number <= number)
    }

    /// Term and position of the entry before the one at `offset`.
    fn before(&self, offset: usize) -> (Term, Number) {
        let previous = offset.checked_sub(1).map(|offset| &self.entries[offset]);
        previous.map_or((self.base.term, self.base.number), |e| (e.term, e.number))
    }

    /// Term and position of the last entry before a position, or of the last compacted one.
    pub fn previous_of(&self, number: Number) -> (Term, Number) {
        self.before(self.entries.partition_point(|e| e.number < number))
    }

    /// The entry at a position; `None` if it is compacted or not there yet.
    pub fn entry(&self, number: Number) -> Option<&Entry> {
        let offset = self.entries.binary_search_by_key(&number, |e| e.number).ok()?;
        Some(&self.entries[offset])
    }

    /// The position under which the entry at `offset` is committed: its own, or one of the latest era that
    /// began while it was uncommitted.
    fn commit_position(&self, offset: usize) -> Number {
        let entry = &self.entries[offset];
        if self.last().0.era() == entry.term.era() {
            return entry.number;
        }
        let distance_to_opening = |opening: usize| {
            let own_offset = self.entries[opening].own_offset_in_era(self.before(opening).0)?;
            let distance = (opening - offset) as u64;
            (distance <= own_offset).then_some((opening, distance))
        };
        let opening = (offset + 1..self.entries.len()).rev().find_map(distance_to_opening);
        opening.map_or(entry.number, |(opening, distance)| Number(self.entries[opening].number.0 - distance))
    }

    /// The term of the entry at a position; `None` if it is no longer or not yet known.
    pub fn term_at(&self, number: Number) -> Option<Term> {
        if number == self.base.number {
            return Some(self.base.term);
        }
        self.entry(number).map(|e| e.term)
    }

    /// The latest membership configuration, committed or not, with the term of its entry. Raft (section 6)
    /// uses the latest configuration in the log as soon as it is there.
    pub fn voters(&self) -> (&Voters, Term) {
        let latest = self.entries.iter().rev().find_map(|e| match &e.command {
            Command::Voters(voters) => Some((voters, e.term)),
            _ => None,
        });
        latest.unwrap_or((&self.base.voters, self.base.term))
    }

    /// Whether a membership configuration is not committed yet.
    pub fn has_uncommitted_voters(&self) -> bool {
        let uncommitted =
            |e: &Entry| e.number > self.committed.number && matches!(e.command, Command::Voters(_));
        self.entries.iter().any(uncommitted)
    }

    /// How many entries are not committed yet.
    pub fn uncommitted_len(&self) -> usize {
        self.entries.len() - self.count_up_to(self.committed.number)
    }

    /// The entries after a position that are still kept one by one.
    pub fn entries_after(&self, number: Number) -> impl Iterator<Item = &Entry> {
        self.entries.iter().filter(move |e| e.number > number)
    }

    /// Appends an entry on the leader and returns its position.
    pub fn append(&mut self, term: Term, leader: Seat, command: Command) -> Number {
        let number = self.last().1.next();
        self.entries.push_back(Entry { term, number, leader, command });
        number
    }

    /// Appends the entry that opens an era on the era's leader and returns its position.
    pub fn append_opening(
        &mut self, term: Term, leader: Seat, voters: Voters, numbering: EraNumbering,
    ) -> Number {
        let (last, first_of_era) = (self.last().1, Number::first_of_era(term.era()));
        let number = match numbering {
            // Leaves positions for the uncommitted entries.
            EraNumbering::Own if first_of_era > last => {
                Number(first_of_era.0 + self.uncommitted_len() as u64)
            }
            _ => last.next(),
        };
        self.entries.push_back(Entry { term, number, leader, command: Command::Voters(voters) });
        number
    }

    /// Stores an entry on a follower. `previous` is the position of the entry before it in the leader's log. If
    /// another entry comes after that one here, it is removed together with all that follow it.
    ///
    /// Returns whether the log changed. It does not if the position is committed, the previous entry is missing,
    /// or the same entry is there.
    pub fn store(&mut self, previous: Number, entry: Entry) -> bool {
        let offset = self.count_up_to(previous.max(self.committed.number));
        let last_kept = self.before(offset);
        if entry.number <= self.committed.number || last_kept.1 < previous || !entry.follows(last_kept) {
            return false;
        }
        if let Some(present) = self.entries.get(offset) {
            if (present.term, present.number) == (entry.term, entry.number) {
                return false;
            }
            self.entries.truncate(offset);
        }
        self.entries.push_back(entry);
        true
    }

    /// Commits all entries up to a position and returns the newly committed ones in order, each with the position
    /// under which it is committed. Compacts the oldest committed entries while more than
    /// [`MAX_COMMITTED_ENTRIES`] entries are kept.
    ///
    /// Commits nothing if the last of the entries must wait for one that opens an era.
    pub fn commit_up_to(&mut self, number: Number) -> Vec<Entry> {
        let (first, end) = (self.count_up_to(self.committed.number), self.count_up_to(number));
        let waits_for_opening = |last: usize| self.commit_position(last) != self.entries[last].number;
        if first >= end || waits_for_opening(end - 1) {
            return Vec::new();
        }
        let as_committed =
            |offset: usize| Entry { number: self.commit_position(offset), ..self.entries[offset].clone() };
        let new: Vec<Entry> = (first..end).map(as_committed).collect();
        new.iter().for_each(|entry| self.committed.apply(entry));
        while self.entries.len() > MAX_COMMITTED_ENTRIES && self.entries[0].number <= self.committed.number {
            let Some(oldest) = self.entries.pop_front() else { break };
            self.base.apply(&oldest);
        }
        new
    }

    /// Stores and commits an entry that is committed on another instance, if it is the next one here. An
    /// uncommitted entry at its position is replaced: it can no longer be committed.
    pub fn store_committed(&mut self, entry: Entry) -> Vec<Entry> {
        let number = entry.number;
        if number != self.committed.number.next() {
            return Vec::new();
        }
        self.store(self.committed.number, entry);
        self.commit_up_to(number)
    }

    /// The committed entries after a position that another instance can store and commit one by one. Empty if
    /// there are none or if their positions changed when they were committed. `None` if it is not known here
    /// what is at the position.
    pub fn transferable_after(&self, after: (Term, Number)) -> Option<impl Iterator<Item = &Entry>> {
        if self.term_at(after.1) != Some(after.0) {
            return None;
        }
        let (first, end) = (self.count_up_to(after.1), self.count_up_to(self.committed.number));
        let keeps_position = |offset: &usize| {
            let number = self.entries[*offset].number;
            number == self.before(*offset).1.next() && number == self.commit_position(*offset)
        };
        let transferable = (first..end).take_while(keeps_position).count();
        Some(self.entries.iter().skip(first).take(transferable))
    }

    /// Replaces the committed state by a snapshot of another instance. Returns false if the snapshot is
    /// invalid or not newer than the committed state.
    pub fn install_snapshot(&mut self, snapshot: Snapshot) -> bool {
        let current = (self.committed.term, self.committed.number);
        if !snapshot.is_valid() || (snapshot.term, snapshot.number) <= current {
            return false;
        }
        let same = self.term_at(snapshot.number) == Some(snapshot.term);
        self.entries.retain(|e| same && e.number > snapshot.number);
        self.base = snapshot.clone();
        self.committed = snapshot;
        true
    }

    /// Whether a log read from disk is consistent and within its limits.
    pub fn is_valid(&self) -> bool {
        let ordered = (0..).zip(&self.entries).all(|(offset, entry)| entry.follows(self.before(offset)));
        ordered
            && self.base.is_valid()
            && self.committed.is_valid()
            && self.committed.number >= self.base.number
            && self.committed.number <= self.last().1
            && self.entries.len() <= MAX_COMMITTED_ENTRIES + MAX_UNCOMMITTED_ENTRIES + 1
    }
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;

    fn vote(build: u16) -> Command {
        Command::Vote { build, stage: 1, voice: VoteChoice::On }
    }

    #[rstest]
    fn store_replaces_uncommitted_entries_only() {
        let mut log = Log::default();
        for build in 1..=3 {
            log.append(Term(1), Seat(0), vote(build));
        }
        assert_eq!(log.commit_up_to(Number(2)).len(), 2);
        let mut store = |number| {
            let number = Number(number);
            let entry = Entry { term: Term(2), number, leader: Seat(1), command: vote(9) };
            (log.store(Number(number.0 - 1), entry), log.last())
        };
        assert_eq!(store(2), (false, (Term(1), Number(3))), "the entry is committed");
        assert_eq!(store(3), (true, (Term(2), Number(3))));
        assert_eq!(store(5), (false, (Term(2), Number(3))), "entry 4 is missing");
    }

    #[rstest]
    fn log_is_bounded_and_a_snapshot_restores_the_committed_state() {
        let mut log = Log::default();
        for build in 0..1000 {
            let number = log.append(Term(1), Seat(0), vote(build));
            log.commit_up_to(number);
        }
        assert!(log.is_valid() && log.entries.len() <= MAX_COMMITTED_ENTRIES);
        assert_eq!(log.committed().subjects.len(), MAX_SUBJECTS);
        let mut restored = Log::default();
        assert!(restored.install_snapshot(log.committed().clone()));
        assert_eq!(restored.committed(), log.committed());
        assert!(!restored.install_snapshot(log.committed().clone()), "the snapshot is not newer");
    }

    #[rstest]
    fn joint_consensus_needs_a_majority_of_both_configurations() {
        let voter = |seat| Voter { seat: Seat(seat), memory: Memory(7) };
        let voters = Voters { now: vec![voter(0), voter(1), voter(2)], change: Some((voter(0), voter(3))) };
        let quorum = |seats: &[u16]| voters.has_quorum(|v| seats.contains(&v.seat.0));
        assert!(!quorum(&[0, 1]) && !quorum(&[2, 3]) && quorum(&[1, 2]) && quorum(&[0, 1, 3]));
    }
}
