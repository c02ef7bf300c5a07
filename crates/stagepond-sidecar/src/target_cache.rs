//! A bounded cache of the results of target searches.

use std::collections::{BTreeMap, VecDeque};

use stagepond_tuf::metadata::{Target, UnixSeconds};

/// Search results that are cached. The oldest is evicted first and searched for again when needed.
const MAX_CACHED_TARGETS: usize = 1024;

/// A target that a search has found.
#[derive(Clone, Debug, PartialEq)]
pub struct FoundTarget {
    /// The signed description of the target.
    pub target: Target,
    /// The metadata by which it was found are usable before this time.
    pub usable_until: UnixSeconds,
}

/// Result of a search: the target, or the kind of the error.
pub type SearchResult = Result<FoundTarget, &'static str>;

/// Search results by target path.
#[derive(Default)]
pub struct TargetCache {
    results: BTreeMap<String, SearchResult>,
    /// The paths in `results`, oldest first.
    order: VecDeque<String>,
}

impl TargetCache {
    /// The result of the search for this path, if it is cached.
    pub fn get(&self, path: &str) -> Option<&SearchResult> {
        self.results.get(path)
    }

    /// Adds the result of a search. Evicts the oldest one if the cache is full.
    pub fn insert(&mut self, path: String, result: SearchResult) {
        if self.results.insert(path.clone(), result).is_some() {
            return;
        }
        self.order.push_back(path);
        if self.order.len() > MAX_CACHED_TARGETS {
            self.order.pop_front().map(|oldest| self.results.remove(&oldest));
        }
    }

    /// Removes the target at this path if the metadata by which it was found have ended.
    pub fn remove_if_ended(&mut self, path: &str, now: UnixSeconds) {
        let has_ended = |found: &FoundTarget| found.usable_until <= now;
        if self.results.get(path).is_some_and(|result| result.as_ref().is_ok_and(has_ended)) {
            self.results.remove(path);
            self.order.retain(|cached| cached != path);
        }
    }

    /// Removes the searches that failed.
    pub fn remove_errors(&mut self) {
        self.results.retain(|_, result| result.is_ok());
        self.order.retain(|path| self.results.contains_key(path));
    }

    /// Removes everything.
    pub fn clear(&mut self) {
        self.results.clear();
        self.order.clear();
    }

    /// Number of targets whose metadata have not ended.
    pub fn usable_count(&self, now: UnixSeconds) -> usize {
        self.results.values().flatten().filter(|found| now < found.usable_until).count()
    }
}
