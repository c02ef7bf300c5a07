//! Versions of the persistent state, which of them survive a crash, and the messages that wait for one.
//!
//! Raft answers only after its state is on stable storage (paper, figure 2), so a message is held back until
//! the version that it depends on is persisted. Each write replaces the whole state, so an earlier version that
//! is written after a later one takes it back: there is one write at a time. [`PersistenceTracker`] keeps both
//! orders; it does no I/O.

use std::collections::VecDeque;
use std::hash::{Hash, Hasher};

use crate::ids::{Number, Seat};
use crate::planted::{Fault, Planted};
use crate::wire::Message;

/// Messages that wait until the state they depend on is persisted. Raft tolerates lost messages, so beyond
/// this number the oldest are dropped rather than queued without limit on a slow disk.
const MAX_PENDING_MESSAGES: usize = 256;

/// Follows the versions of one instance's persistent state from their change to the disk.
#[derive(Clone)]
pub(crate) struct PersistenceTracker {
    /// Whether there is a disk. Without one, a version counts as persisted at the end of its step.
    durable: bool,
    /// Version of the persistent state: raised at the end of each step that changed it.
    version: u64,
    /// Whether the persistent state changed in this step.
    dirty: bool,
    /// The version that was given out to be written last. Above `persisted_version` while it is written.
    requested_version: u64,
    /// The latest version that survives a crash.
    persisted_version: u64,
    /// The last log position of each version that is not persisted yet.
    unpersisted: VecDeque<(u64, Number)>,
    /// The last log position that is persisted.
    persisted_last: Number,
    /// Messages with the version that must be persisted before they may be sent.
    pending_messages: VecDeque<(u64, Seat, Message)>,
    planted: Planted,
}

impl PersistenceTracker {
    /// Starts with a state that is persisted and whose log ends at `last`.
    pub(crate) fn new(durable: bool, last: Number, planted: Planted) -> PersistenceTracker {
        PersistenceTracker {
            durable,
            version: 0,
            dirty: false,
            requested_version: 0,
            persisted_version: 0,
            unpersisted: VecDeque::new(),
            persisted_last: last,
            pending_messages: VecDeque::new(),
            planted,
        }
    }

    /// Notes that the state changed in this step.
    pub(crate) fn mark_dirty(&mut self) {
        self.dirty = true;
    }

    /// Whether the state as it stands survives a crash.
    pub(crate) fn is_persisted(&self) -> bool {
        self.persisted_version >= self.version && !self.dirty
    }

    /// The last log position that survives a crash.
    pub(crate) fn persisted_last(&self) -> Number {
        self.persisted_last
    }

    /// Begins a version if the state changed since the latest one. `last` is the end of its log.
    pub(crate) fn close_version(&mut self, last: Number) {
        if std::mem::take(&mut self.dirty) {
            self.version += 1;
            self.unpersisted.push_back((self.version, last));
        }
    }

    /// The version that the host must write now, if any: the latest, once the write before it is done.
    pub(crate) fn next_write(&mut self) -> Option<u64> {
        let is_writing = self.requested_version > self.persisted_version;
        let must_wait = is_writing && !self.planted.has(Fault::OverlappingWrites);
        if !self.durable || must_wait || self.requested_version == self.version {
            return None;
        }
        self.requested_version = self.version;
        Some(self.version)
    }

    /// The host has written a version, which with all earlier ones now survives a crash. Returns whether one
    /// became persisted by it.
    pub(crate) fn on_written(&mut self, version: u64) -> bool {
        self.confirm(version.min(self.requested_version))
    }

    /// Without a disk the latest version counts as persisted at once. Returns whether it became so.
    pub(crate) fn confirm_without_disk(&mut self) -> bool {
        !self.durable && self.confirm(self.version)
    }

    /// Holds messages back until the latest version is persisted.
    pub(crate) fn hold_messages(&mut self, messages: impl Iterator<Item = (Seat, Message)>) {
        let version = self.version;
        self.pending_messages.extend(messages.map(|(to, message)| (version, to, message)));
    }

    fn confirm(&mut self, version: u64) -> bool {
        self.persisted_version = self.persisted_version.max(version);
        let mut advanced = false;
        while let Some((_, last)) = self.unpersisted.pop_front_if(|(v, _)| *v <= self.persisted_version) {
            self.persisted_last = last;
            advanced = true;
        }
        advanced
    }

    /// Takes the messages whose version is persisted, in the order in which they were held back.
    pub(crate) fn take_messages(&mut self) -> Vec<(Seat, Message)> {
        let mut messages = Vec::new();
        while let Some((_, to, message)) =
            self.pending_messages.pop_front_if(|(version, ..)| *version <= self.persisted_version)
        {
            messages.push((to, message));
        }
        let excess = self.pending_messages.len().saturating_sub(MAX_PENDING_MESSAGES);
        self.pending_messages.drain(..excess);
        messages
    }
}

/// Hashes what influences later steps, for the model checker. Only the distance of the versions does, not how
/// many there were.
impl Hash for PersistenceTracker {
    fn hash<H: Hasher>(&self, state: &mut H) {
        (
            self.version - self.persisted_version,
            self.requested_version.saturating_sub(self.persisted_version),
        )
            .hash(state);
        (self.persisted_last, &self.pending_messages).hash(state);
    }
}
