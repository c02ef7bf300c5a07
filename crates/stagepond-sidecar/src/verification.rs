//! Verification of pods' responses against signed metadata (The Update Framework): a response to the
//! configured operation counts as succeeded only if its bytes match a current, signed target. Holds the TUF
//! client, the refresh schedule and the queue of target searches. Does no I/O, never lets unchecked bytes
//! through and never holds an invocation past its time limit.

use std::collections::VecDeque;

use stagepond::host::*;
use stagepond_tuf::client::{
    Client, FileRequest, Limits, MetadataError, Progress, TrustedState, VersionFloors,
};
use stagepond_tuf::metadata::{RoleName, UnixSeconds, Version};
use stagepond_tuf::planted::Planted;
use stagepond_tuf::target::{TargetError, TargetVerifier};

use crate::messages::MAX_BODY_BYTES;
use crate::target_cache::{FoundTarget, TargetCache};

/// Target searches that may be queued.
const MAX_QUEUED_SEARCHES: usize = 64;
/// Size limit of a metadata file in bytes. Metadata arrives over the same connections as any other response,
/// so the limit for responses applies.
const MAX_METADATA_BYTES: u64 = MAX_BODY_BYTES as u64;
/// Delay before the first retry of a failed refresh; it doubles with each further failure.
const FIRST_RETRY_DELAY: Tenths = Tenths::ms(500);
/// Upper bound of the delay between retries.
const MAX_RETRY_DELAY: Tenths = Tenths::ms(60_000);
/// Largest number of times that the retry delay is doubled.
const MAX_RETRY_DOUBLINGS: u32 = 10;
/// Refused searches are reported at most once per interval, so that a client can't flood the log.
const SEARCH_REPORT_INTERVAL: Tenths = Tenths::ms(1000);
/// Tenths of a millisecond in a second.
const TENTHS_PER_SECOND: i64 = 10_000;
/// Time limit of the fetch of one metadata file; a slower pod counts as unresponsive.
pub const METADATA_FETCH_TIMEOUT: Tenths = Tenths::ms(2000);

/// What to do when the trusted metadata has expired and nothing newer can be fetched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExpiredMetadataPolicy {
    /// Accept no response.
    Refuse,
    /// Keep using the verified metadata for this long past its expiry, and log that with each failed refresh.
    UseFor(Tenths),
}

/// Settings of a verified operation.
#[derive(Clone, Debug)]
pub struct VerificationConfig {
    /// The operation whose responses are verified.
    pub operation: Op,
    /// Path prefix of targets on the wire; the rest of a path is the target's name in the metadata.
    pub target_prefix: String,
    /// Path prefix of the metadata files, which the same pods serve.
    pub metadata_prefix: String,
    /// The trusted initial root file (TUF specification, section 5.2).
    pub root: Vec<u8>,
    /// Trusted metadata stored by an earlier process, if there is any.
    pub stored_state: Option<TrustedState>,
    /// Mean time between refreshes.
    pub refresh_interval: Tenths,
    /// What to do once the metadata has expired.
    pub expired_policy: ExpiredMetadataPolicy,
    /// Metadata versions below which nothing is trusted.
    pub floors: VersionFloors,
}

/// Result of checking a response against the metadata.
#[derive(Clone, Debug, PartialEq)]
pub enum CheckResult {
    /// The bytes match the signed target.
    Valid,
    /// The bytes differ from the signed target, or no such target is signed. Holds the name of the check that
    /// failed: [`MetadataError::kind`] or one of the `target_` names that
    /// [`ResponseVerifier::check_response`] gives.
    Invalid(&'static str),
    /// The metadata needed for the check has not arrived yet.
    Pending,
}

/// A verification event to be logged. The fields have the names of the log's keys; `kind` is a
/// [`MetadataError::kind`], `why` its message.
#[derive(Clone, Debug, PartialEq)]
pub enum VerificationEvent {
    /// Newer metadata is trusted: role, version and expiry time of each top-level file.
    MetadataUpdated { versions: Vec<(&'static str, u64, String)> },
    /// A metadata file or a target search was refused; the next refresh follows after `again_in`. `trusted`
    /// names the top-level roles that are still trusted, `usable_targets` counts the targets that responses
    /// are still checked against without a search. Refused searches are reported at most once per
    /// `SEARCH_REPORT_INTERVAL`; `left_out` counts those that were not reported since the last one that was.
    MetadataRefused {
        kind: &'static str,
        why: String,
        again_in: Tenths,
        trusted: Vec<&'static str>,
        usable_targets: usize,
        left_out: u64,
    },
    /// A search found a target. `checked_for` are the parents by whose keys the metadata of `role` was checked;
    /// `parent` is the one through which the search came.
    TargetFound { path: String, role: String, parent: String, checked_for: Vec<String> },
    /// The trusted metadata expired at `since` and stays in use under `ExpiredMetadataPolicy::UseFor`.
    UsingExpiredMetadata { since: String },
}

/// Role, version and expiry of each trusted top-level file.
type TrustedRoles = Vec<(&'static str, Version, UnixSeconds)>;

/// What a metadata fetch is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FetchPurpose {
    Refresh,
    Search,
}

/// Checks the responses of one operation against TUF metadata and schedules the metadata fetches.
pub struct ResponseVerifier {
    config: VerificationConfig,
    client: Client,
    rng: fastrand::Rng,
    /// The metadata file being fetched, and what for.
    pending_fetch: Option<(FileRequest, FetchPurpose)>,
    next_refresh: Tenths,
    /// Refreshes that have failed in a row.
    failed_refreshes: u32,
    cached_targets: TargetCache,
    /// What the last [`VerificationEvent::MetadataUpdated`] said, or what was trusted at the start.
    reported_roles: TrustedRoles,
    /// Target paths still to be searched for.
    queued_searches: VecDeque<String>,
    /// Target path of the search in progress.
    current_search: Option<String>,
    /// Earliest time of the next report of a refused search.
    next_search_report: Tenths,
    /// Refused searches since the last report of one.
    unreported_searches: u64,
    /// Events to be logged, drained by the caller.
    pub events: Vec<VerificationEvent>,
    /// What was trusted at the end of the last refresh, or at the start.
    last_trusted: TrustedState,
    /// Trusted metadata that changed and has to be stored, taken by the caller.
    pub state_to_store: Option<TrustedState>,
}

fn to_seconds(now: Tenths) -> UnixSeconds {
    UnixSeconds(now.0.div_euclid(TENTHS_PER_SECOND))
}

impl ResponseVerifier {
    /// Creates a verifier that trusts the stored state, or else the configured root. The first refresh is due
    /// at once.
    ///
    /// # Errors
    ///
    /// Fails if the root or the stored metadata can't be parsed or is not properly signed.
    pub fn new(
        now: Tenths, config: VerificationConfig, seed: u64,
    ) -> Result<ResponseVerifier, MetadataError> {
        let limits = Limits {
            root_bytes: MAX_METADATA_BYTES,
            timestamp_bytes: MAX_METADATA_BYTES,
            snapshot_bytes: MAX_METADATA_BYTES,
            targets_bytes: MAX_METADATA_BYTES,
            ..Limits::default()
        };
        let client = match &config.stored_state {
            Some(stored) => Client::resume(stored, config.floors, limits, Planted::default())?,
            None => Client::new(&config.root, config.floors, limits, Planted::default())?,
        };
        Ok(ResponseVerifier {
            last_trusted: client.trusted_state(),
            config,
            reported_roles: client.trusted_roles(),
            client,
            rng: fastrand::Rng::with_seed(seed ^ 0x7f),
            pending_fetch: None,
            next_refresh: now,
            failed_refreshes: 0,
            cached_targets: TargetCache::default(),
            queued_searches: VecDeque::new(),
            current_search: None,
            next_search_report: now,
            unreported_searches: 0,
            events: Vec::new(),
            state_to_store: None,
        })
    }

    /// The verified operation.
    pub fn operation(&self) -> Op {
        self.config.operation
    }

    /// The TUF client, for inspection.
    pub fn client(&self) -> &Client {
        &self.client
    }

    /// The name of the target that an invocation requests; `None` for other operations and for metadata
    /// files.
    pub fn target_path<'a>(&self, op: Op, path: &'a str) -> Option<&'a str> {
        let is_metadata = path.starts_with(&self.config.metadata_prefix);
        (op == self.config.operation && !is_metadata)
            .then(|| path.strip_prefix(self.config.target_prefix.as_str()).unwrap_or(path))
    }

    /// Queues the search for a target. Called when an invocation for it arrives, so that the metadata is
    /// there by the time the response has to be checked.
    pub fn request_target(&mut self, now: Tenths, path: &str) {
        self.cached_targets.remove_if_ended(path, to_seconds(now));
        let is_cached = self.cached_targets.get(path).is_some();
        let is_searched = is_cached || self.current_search.as_deref() == Some(path);
        let is_queued = is_searched || self.queued_searches.iter().any(|queued| queued == path);
        if !is_queued && self.queued_searches.len() < MAX_QUEUED_SEARCHES {
            self.queued_searches.push_back(path.to_string());
        }
    }

    /// Checks the body of a response against the signed target; queues a search if the target is not known
    /// yet, or no longer.
    pub fn check_response(&mut self, now: Tenths, path: &str, body: &[u8]) -> CheckResult {
        self.request_target(now, path);
        let target = match self.cached_targets.get(path) {
            Some(Ok(found)) => &found.target,
            Some(Err(kind)) => return CheckResult::Invalid(kind),
            None => return CheckResult::Pending,
        };
        let mut verifier = TargetVerifier::new(target, Planted::default());
        match verifier.update(body).and_then(|()| verifier.finish()) {
            Ok(()) => CheckResult::Valid,
            Err(TargetError::HashMismatch(_)) => CheckResult::Invalid("target_hash"),
            Err(TargetError::TooLong(_)) => CheckResult::Invalid("target_longer"),
            Err(TargetError::TooShort { .. }) => CheckResult::Invalid("target_shorter"),
        }
    }

    /// Time at which `next_fetch` has a file to fetch, unless one is being fetched already.
    pub fn next_due(&self) -> Tenths {
        if self.pending_fetch.is_some() {
            return Tenths::NEVER;
        }
        if self.can_search() {
            return Tenths(0);
        }
        self.next_refresh
    }

    /// Whether a queued search may run. Searches wait for the first refresh; if that fails, they run and
    /// report its error.
    fn can_search(&self) -> bool {
        !self.queued_searches.is_empty()
            && (self.client.has_top_level_metadata() || self.failed_refreshes > 0)
    }

    /// Path of the metadata file to fetch now, if any. Files are fetched one at a time, and a due refresh
    /// goes before searches.
    pub fn next_fetch(&mut self, now: Tenths) -> Option<String> {
        if self.pending_fetch.is_some() {
            return None;
        }
        if now >= self.next_refresh {
            let request = self.client.refresh(to_seconds(now));
            return Some(self.start_fetch(request, FetchPurpose::Refresh));
        }
        while self.can_search() {
            let path = self.queued_searches.pop_front()?;
            self.current_search = Some(path.clone());
            let result = self.client.find_target(to_seconds(now), self.expiry_grace_seconds(), &path);
            if let Some(request) = self.on_search_step(now, result) {
                return Some(self.start_fetch(request, FetchPurpose::Search));
            }
        }
        None
    }

    /// Seconds for which metadata stays usable after its expiry.
    fn expiry_grace_seconds(&self) -> i64 {
        match self.config.expired_policy {
            ExpiredMetadataPolicy::Refuse => 0,
            ExpiredMetadataPolicy::UseFor(grace) => grace.0 / TENTHS_PER_SECOND,
        }
    }

    /// Records the fetch as pending and returns its path on the wire.
    fn start_fetch(&mut self, request: FileRequest, purpose: FetchPurpose) -> String {
        let path = format!("{}{}", self.config.metadata_prefix, request.path);
        self.pending_fetch = Some((request, purpose));
        path
    }

    /// Handles the fetched file, or `None` if the fetch failed or there is no such file. Returns the path of
    /// the file to fetch next if the refresh or search needs another.
    pub fn on_fetch_result(&mut self, now: Tenths, file: Option<&[u8]>) -> Option<String> {
        let (_, purpose) = self.pending_fetch.take()?;
        let result = match file {
            Some(bytes) => self.client.on_file(bytes),
            None => self.client.on_file_missing(),
        };
        if purpose == FetchPurpose::Search {
            let request = self.on_search_step(now, result)?;
            return Some(self.start_fetch(request, FetchPurpose::Search));
        }
        if !self.client.has_top_level_metadata() {
            self.clear_searches();
        }
        match result {
            Ok(Progress::NeedFile(request)) => {
                return Some(self.start_fetch(request, FetchPurpose::Refresh));
            }
            Ok(_) => self.on_refreshed(now),
            Err(error) => self.on_refresh_failed(now, &error),
        }
        None
    }

    /// Discards the search results and has the metadata stored if the refresh that ends now has changed what
    /// is trusted, also if it failed: a restart must not bring back what a new root has dropped.
    fn adopt_trusted_metadata(&mut self) {
        let trusted = self.client.trusted_state();
        if trusted != self.last_trusted {
            self.clear_searches();
            self.last_trusted = trusted.clone();
            self.state_to_store = Some(trusted);
        }
    }

    /// Handles a successful refresh: reports metadata that is newly trusted and schedules the next refresh.
    fn on_refreshed(&mut self, now: Tenths) {
        self.adopt_trusted_metadata();
        let roles = self.client.trusted_roles();
        if roles != self.reported_roles {
            let versions = roles
                .iter()
                .map(|(role, version, expires)| (*role, version.0, expires.to_string()))
                .collect();
            self.events.push(VerificationEvent::MetadataUpdated { versions });
            self.reported_roles = roles;
        }
        self.failed_refreshes = 0;
        // Jitter: sidecars that started together must not refresh at the same time.
        self.next_refresh = now + self.config.refresh_interval.scale(0.75 + self.rng.f64() / 2.0);
    }

    /// Handles a failed refresh: schedules a retry with exponential backoff and jitter.
    fn on_refresh_failed(&mut self, now: Tenths, error: &MetadataError) {
        let max_delay = MAX_RETRY_DELAY.min(self.config.refresh_interval.max(FIRST_RETRY_DELAY));
        let doublings = self.failed_refreshes.min(MAX_RETRY_DOUBLINGS);
        let delay = Tenths(FIRST_RETRY_DELAY.0 << doublings).min(max_delay);
        let delay = delay.scale(0.5 + self.rng.f64() / 2.0);
        self.failed_refreshes += 1;
        self.next_refresh = now + delay;
        self.adopt_trusted_metadata();
        self.report_refusal(now, error, delay);
        let expires = self.client.earliest_expiry();
        let now = to_seconds(now);
        let is_usable = expires.0 + self.expiry_grace_seconds() > now.0;
        if self.client.has_top_level_metadata() && expires <= now && is_usable {
            self.events.push(VerificationEvent::UsingExpiredMetadata { since: expires.to_string() });
        }
        // Failed searches are repeated: the metadata file that they lacked may be there next time.
        self.cached_targets.remove_errors();
    }

    fn report_found(&mut self, role: &RoleName, parent: RoleName) {
        let Some(path) = self.current_search.clone() else { return };
        let checked_for = self.client.parents_checked_for(role).into_iter().map(|parent| parent.0).collect();
        let role = role.0.clone();
        self.events.push(VerificationEvent::TargetFound { path, role, parent: parent.0, checked_for });
    }

    /// Reports a refused search, unless another one was reported a moment ago: clients choose the names that are
    /// searched for.
    fn report_refused_search(&mut self, now: Tenths, error: &MetadataError) {
        if now < self.next_search_report {
            self.unreported_searches += 1;
            return;
        }
        self.next_search_report = now + SEARCH_REPORT_INTERVAL;
        self.report_refusal(now, error, (self.next_refresh - now).max(Tenths(0)));
    }

    fn report_refusal(&mut self, now: Tenths, error: &MetadataError, again_in: Tenths) {
        self.events.push(VerificationEvent::MetadataRefused {
            kind: error.kind(),
            why: error.to_string(),
            again_in,
            trusted: self.client.trusted_roles().into_iter().map(|(role, ..)| role).collect(),
            usable_targets: self.cached_targets.usable_count(to_seconds(now)),
            left_out: std::mem::take(&mut self.unreported_searches),
        });
    }

    /// Discards all search results and delegated metadata, which belong to what was trusted before.
    fn clear_searches(&mut self) {
        self.cached_targets.clear();
        self.client.unload_delegated_roles();
    }

    /// Handles one step of a search: caches its result, or returns the next file that it needs.
    fn on_search_step(
        &mut self, now: Tenths, result: Result<Progress, MetadataError>,
    ) -> Option<FileRequest> {
        let found = match result {
            Ok(Progress::NeedFile(request)) => return Some(request),
            Ok(Progress::TargetFound { target, role, parent, expires }) => {
                self.report_found(&role, parent);
                let usable_until = UnixSeconds(expires.0 + self.expiry_grace_seconds());
                Ok(FoundTarget { target, usable_until })
            }
            Ok(Progress::UpToDate) => Err("unasked"),
            Err(error) => {
                self.report_refused_search(now, &error);
                Err(error.kind())
            }
        };
        let path = self.current_search.take()?;
        self.cached_targets.insert(path, found);
        None
    }
}
