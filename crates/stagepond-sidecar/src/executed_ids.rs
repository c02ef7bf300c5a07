//! The ids of invocations that a pod may have run and that must not run again. They are kept for a limited time,
//! in limited number, and as hashes, so that long ids take no more memory than short ones. No I/O.

use std::collections::{HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

use stagepond::host::{DedupScope, Operation, RetrySafety, Tenths};

use crate::messages::RequestId;

/// How long an id is kept: longer than a client goes on with one request.
pub const EXECUTED_ID_RETENTION: Tenths = Tenths::ms(60_000);
/// How many ids are kept. Beyond this number the oldest goes first.
pub const MAX_EXECUTED_IDS: usize = 16 << 10;

/// Whether a second run of an invocation that may have run already can do harm. No pod knows a repeated
/// side-effecting one, and only the pods of one zone or cell know a fingerprint with such a scope.
pub fn must_not_run_twice(operation: &Operation) -> bool {
    match operation.retry_safety {
        RetrySafety::Idempotent => false,
        RetrySafety::Fingerprinted => operation.dedup_scope != DedupScope::All,
        RetrySafety::SideEffecting => true,
    }
}

/// Hash of an id. Another id has the same one in about one of 10^15 look-ups among [`MAX_EXECUTED_IDS`].
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct IdHash(u64);

impl IdHash {
    fn of(id: &RequestId) -> IdHash {
        let mut hasher = DefaultHasher::new();
        id.hash(&mut hasher);
        IdHash(hasher.finish())
    }
}

/// Ids of invocations that may have run.
#[derive(Default)]
pub struct ExecutedIds {
    ids: HashSet<IdHash>,
    /// The same ids with the time at which each is forgotten, oldest first.
    expiries: VecDeque<(Tenths, IdHash)>,
}

impl ExecutedIds {
    /// Adds the id of an invocation that has ended at `now`.
    pub fn insert(&mut self, now: Tenths, id: &RequestId) {
        self.remove_expired(now);
        let id = IdHash::of(id);
        if !self.ids.insert(id) {
            return;
        }
        self.expiries.push_back((now + EXECUTED_ID_RETENTION, id));
        if self.expiries.len() > MAX_EXECUTED_IDS {
            self.remove_oldest();
        }
    }

    /// Whether an invocation with this id may have run.
    pub fn contains(&mut self, now: Tenths, id: &RequestId) -> bool {
        self.remove_expired(now);
        self.ids.contains(&IdHash::of(id))
    }

    /// How many ids are kept.
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// Whether no id is kept.
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }

    fn remove_expired(&mut self, now: Tenths) {
        while self.expiries.front().is_some_and(|(expires_at, _)| *expires_at <= now) {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some((_, id)) = self.expiries.pop_front() {
            self.ids.remove(&id);
        }
    }
}
