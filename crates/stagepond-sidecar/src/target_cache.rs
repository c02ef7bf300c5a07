//! A bounded cache of the results of target searches.

use std::collections::{BTreeMap, VecDeque};

use stagepond_tuf::metadata::Target;

/// Search results that are cached. The oldest is evicted first and searched for again when needed.
const MAX_CACHED_TARGETS: usize = 1024;

/// Result of a search: the signed target, or the kind of the error.
pub type SearchResult = Result<Target, &'static str>;

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

    /// Number of targets that were found.
    pub fn target_count(&self) -> usize {
        self.results.values().filter(|result| result.is_ok()).count()
    }
}
