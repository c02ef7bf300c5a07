//! The client workflow (TUF specification, section 5) without I/O. [`Client`] says which file it needs next
//! and how long that file may be, takes the bytes and returns the next request, the result or a typed error.
//! A file is trusted only after every check on it has passed, and the version of a trusted file is never
//! forgotten.

use std::collections::{BTreeMap, BTreeSet};

use ring::digest::{digest, SHA256, SHA512};
use serde::{Deserialize, Serialize};

use crate::keys::count_signatures;
use crate::metadata::*;
use crate::paths;
use crate::planted::{Fault, Planted};

/// Limits on what a client reads. They stop endless data attacks and unbounded chains of files.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Longest root file, in bytes.
    pub root_bytes: u64,
    /// Longest timestamp file, in bytes.
    pub timestamp_bytes: u64,
    /// Longest snapshot file, in bytes. A shorter length in the timestamp file takes precedence.
    pub snapshot_bytes: u64,
    /// Longest targets file of any role, in bytes. A shorter length in the snapshot file takes
    /// precedence.
    pub targets_bytes: u64,
    /// Most new root versions accepted in one refresh.
    pub max_new_roots: u32,
    /// Most delegated roles visited in one search for a target.
    pub max_delegations: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            root_bytes: 512 << 10,
            timestamp_bytes: 16 << 10,
            snapshot_bytes: 2 << 20,
            targets_bytes: 8 << 20,
            max_new_roots: 1024,
            max_delegations: 32,
        }
    }
}

/// Why a file was not trusted or a target was not found. [`MetadataError::kind`] names each variant in a form
/// that programs may rely on.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MetadataError {
    /// The file is not valid metadata of its type (section 4).
    #[error("{role}: {reason}")]
    Malformed { role: String, reason: FormatError },
    /// Endless data attack: the file exceeds its limit in bytes.
    #[error("{role}: longer than the allowed {max_bytes} bytes")]
    TooLong { role: String, max_bytes: u64 },
    /// Fewer distinct keys of the role signed the file than its threshold requires.
    #[error("{role}: {valid} valid signatures, threshold is {threshold}")]
    ThresholdNotMet { role: String, valid: u32, threshold: u32 },
    /// Rollback attack: the version is lower than the trusted one.
    #[error("{role}: version {} is older than trusted version {}", .found.0, .trusted.0)]
    Rollback { role: String, trusted: Version, found: Version },
    /// Mix-and-match attack, or a root version that is not the next one.
    #[error("{role}: expected version {}, found {}", .expected.0, .found.0)]
    VersionMismatch { role: String, expected: Version, found: Version },
    /// Mix-and-match attack: the length or a hash differs from the one in the timestamp or snapshot file.
    #[error("{role}: length or hash differs from the one in the signed metadata")]
    ContentMismatch { role: String },
    /// Freeze attack, or a repository that is no longer updated: `expires` has passed.
    #[error("{role}: expired at {expires}")]
    Expired { role: String, expires: UnixSeconds },
    /// The repository does not have the requested file, or a search needs a role of which no file is trusted
    /// in the version that the role above it lists.
    #[error("{role}: file not found")]
    NotFound { role: String },
    /// Rollback attack: a role listed in the trusted snapshot is missing from the new one (section 5.5.5).
    #[error("snapshot: role {role} of the previous snapshot is no longer listed")]
    RemovedFromSnapshot { role: String },
    /// More new root versions in one refresh than [`Limits::max_new_roots`].
    #[error("root: more than {0} new versions in one refresh")]
    TooManyRoots(u32),
    /// The snapshot does not list the role, or its parent no longer delegates to it.
    #[error("{role}: not listed in the snapshot or in its parent's delegations")]
    NotInSnapshot { role: String },
    /// No role that is trusted for the path lists the target.
    #[error("target {0:?} not found in any role trusted for its path")]
    TargetNotFound(String),
    /// The search visited [`Limits::max_delegations`] roles without finding the target.
    #[error("target {0:?} not found within {1} delegated roles")]
    TooManyDelegations(String, usize),
    /// The version is lower than the floor in [`VersionFloors`].
    #[error("{role}: version {} is below the configured minimum version {}", .found.0, .floor.0)]
    BelowVersionFloor { role: String, floor: Version, found: Version },
    /// The caller passed a file, or reported one as missing, while no request was open.
    #[error("no file was requested")]
    NotRequested,
}

impl MetadataError {
    /// A short name of the failed check, for logs, counters and exit codes.
    pub fn kind(&self) -> &'static str {
        match self {
            MetadataError::Malformed { .. } => "unreadable",
            MetadataError::TooLong { .. } => "too_long",
            MetadataError::ThresholdNotMet { .. } => "threshold",
            MetadataError::Rollback { .. } => "rollback",
            MetadataError::VersionMismatch { .. } => "other_version",
            MetadataError::ContentMismatch { .. } => "other_bytes",
            MetadataError::Expired { .. } => "expired",
            MetadataError::NotFound { .. } => "missing",
            MetadataError::RemovedFromSnapshot { .. } => "dropped",
            MetadataError::TooManyRoots(_) => "too_many_roots",
            MetadataError::NotInSnapshot { .. } => "unannounced",
            MetadataError::TargetNotFound(_) => "no_such_target",
            MetadataError::TooManyDelegations(..) => "too_many_delegations",
            MetadataError::BelowVersionFloor { .. } => "below_floor",
            MetadataError::NotRequested => "unasked",
        }
    }
}

/// A metadata file that the client needs next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileRequest {
    /// Path relative to the repository's metadata folder.
    pub path: String,
    /// Longest file that is accepted, in bytes. The caller need not read more than one byte beyond it.
    pub max_bytes: u64,
}

/// The trusted top-level metadata, byte for byte as received. It has to survive a restart: a client that lost
/// the trusted versions would accept a rollback.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrustedState {
    /// The latest trusted root; a client can't start without one.
    pub root: Vec<u8>,
    /// The latest trusted timestamp file; `None` before the first update.
    pub timestamp: Option<Vec<u8>>,
    /// The latest trusted snapshot file.
    pub snapshot: Option<Vec<u8>>,
    /// The latest trusted targets file of the top-level role.
    pub targets: Option<Vec<u8>>,
}

/// Minimum versions for each top-level role, checked whatever the stored state says. They protect instances
/// without a disk against rollback attacks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VersionFloors {
    /// Minimum version of the root.
    pub root: Version,
    /// Minimum version of the timestamp.
    pub timestamp: Version,
    /// Minimum version of the snapshot.
    pub snapshot: Version,
    /// Minimum version of the top-level targets metadata.
    pub targets: Version,
}

/// The file that the client is waiting for.
#[derive(Clone, Debug)]
enum PendingFile {
    None,
    Root,
    Timestamp,
    Snapshot,
    Targets,
    /// Targets metadata of a delegated role, needed by the search for `path`.
    Delegated {
        path: String,
        role: RoleName,
        parent: RoleName,
    },
}

/// A role to visit in a search, and the role that delegates to it. The top-level role is its own
/// parent.
#[derive(Clone, Debug)]
struct RoleVisit {
    role: RoleName,
    parent: RoleName,
}

/// Targets metadata in memory. Each parent lists keys of its own for a role, so a file that is trusted for one
/// of them is not for another.
struct LoadedTargets {
    file: SignedMetadata<Targets>,
    /// The parents by whose keys the file was checked.
    checked_for: BTreeSet<RoleName>,
}

/// State of a search for a target through the delegations (section 5.6.7).
#[derive(Clone, Debug)]
struct Search {
    path: String,
    /// Roles still to visit, the next one last.
    pending: Vec<RoleVisit>,
    visited: BTreeSet<RoleName>,
    /// When the first of the top-level files and of the roles visited expires.
    expires: UnixSeconds,
}

/// Outcome of one step of the workflow.
#[derive(Clone, Debug, PartialEq)]
pub enum Progress {
    /// The caller has to fetch this file and pass it to [`Client::on_file`].
    NeedFile(FileRequest),
    /// The refresh is complete: all top-level metadata is trusted and not expired.
    UpToDate,
    /// The search is complete: `role`, to which `parent` delegates, lists the target. The first of all files
    /// that the search went by expires at `expires`, and with it the result.
    TargetFound { target: Target, role: RoleName, parent: RoleName, expires: UnixSeconds },
}

/// A TUF client for one repository. [`Client::refresh`] updates the top-level metadata,
/// [`Client::find_target`] then searches for a target.
pub struct Client {
    root: SignedMetadata<Root>,
    root_bytes: Vec<u8>,
    /// The trusted timestamp and its bytes as received.
    timestamp: Option<(SignedMetadata<Timestamp>, Vec<u8>)>,
    /// The trusted snapshot and its bytes as received.
    snapshot: Option<(SignedMetadata<Snapshot>, Vec<u8>)>,
    /// Trusted targets metadata, of the top-level role and of delegated ones.
    targets: BTreeMap<RoleName, LoadedTargets>,
    /// Bytes of the top-level targets metadata as received.
    targets_bytes: Option<Vec<u8>>,
    floors: VersionFloors,
    limits: Limits,
    pending: PendingFile,
    search: Option<Search>,
    /// Fixed at the start of each refresh or search, so that all files are checked against the same time
    /// (section 5.1).
    now: UnixSeconds,
    /// The latest time seen. Time never goes back: otherwise a clock that is set back would make expired
    /// files valid again.
    latest_time: UnixSeconds,
    /// Root versions accepted in the current refresh.
    new_root_count: u32,
    /// How long after its expiry a file is still accepted. Zero in a refresh, set by a search.
    expiry_grace_seconds: i64,
    planted: Planted,
}

fn top_level_targets() -> RoleName {
    RoleName(TARGETS.into())
}

fn malformed(role: &str) -> impl FnOnce(FormatError) -> MetadataError + '_ {
    move |reason| MetadataError::Malformed { role: role.into(), reason }
}

impl Client {
    /// Starts from a root that is trusted already (section 5.2): shipped with the program or stored earlier.
    ///
    /// # Errors
    /// [`MetadataError::Malformed`] if `root` can't be parsed, [`MetadataError::ThresholdNotMet`] if it is
    /// not signed by its own root keys.
    pub fn new(
        root: &[u8], floors: VersionFloors, limits: Limits, planted: Planted,
    ) -> Result<Client, MetadataError> {
        let file = SignedMetadata::<Root>::parse(root).map_err(malformed(ROOT))?;
        let client = Client {
            root: file,
            root_bytes: root.to_vec(),
            timestamp: None,
            snapshot: None,
            targets: BTreeMap::new(),
            targets_bytes: None,
            floors,
            limits,
            pending: PendingFile::None,
            search: None,
            now: UnixSeconds(0),
            latest_time: UnixSeconds(0),
            new_root_count: 0,
            expiry_grace_seconds: 0,
            planted,
        };
        // A trusted root is at least signed by the root keys it lists.
        client.check_top_level_signatures(ROOT, &client.root.signed, &client.root)?;
        Ok(client)
    }

    /// Starts from the state that an earlier process stored. Expiry is not checked here: expired metadata
    /// still serves for the rollback checks of the next refresh.
    ///
    /// # Errors
    /// [`MetadataError::Malformed`] or [`MetadataError::ThresholdNotMet`] for a file of the stored state.
    pub fn resume(
        state: &TrustedState, floors: VersionFloors, limits: Limits, planted: Planted,
    ) -> Result<Client, MetadataError> {
        let mut client = Client::new(&state.root, floors, limits, planted)?;
        if let Some(bytes) = &state.timestamp {
            let file = SignedMetadata::<Timestamp>::parse(bytes).map_err(malformed(TIMESTAMP))?;
            client.check_top_level_signatures(TIMESTAMP, &client.root.signed, &file)?;
            client.timestamp = Some((file, bytes.clone()));
        }
        if let Some(bytes) = &state.snapshot {
            let file = SignedMetadata::<Snapshot>::parse(bytes).map_err(malformed(SNAPSHOT))?;
            client.check_top_level_signatures(SNAPSHOT, &client.root.signed, &file)?;
            client.snapshot = Some((file, bytes.clone()));
        }
        if let Some(bytes) = &state.targets {
            let file = SignedMetadata::<Targets>::parse(bytes).map_err(malformed(TARGETS))?;
            client.check_top_level_signatures(TARGETS, &client.root.signed, &file)?;
            client.insert_targets(top_level_targets(), top_level_targets(), file);
            client.targets_bytes = Some(bytes.clone());
        }
        Ok(client)
    }

    /// The state to store for [`Client::resume`].
    pub fn trusted_state(&self) -> TrustedState {
        TrustedState {
            root: self.root_bytes.clone(),
            timestamp: self.timestamp.as_ref().map(|(_, bytes)| bytes.clone()),
            snapshot: self.snapshot.as_ref().map(|(_, bytes)| bytes.clone()),
            targets: self.targets_bytes.clone(),
        }
    }

    /// Name, version and expiry of each trusted top-level role.
    pub fn trusted_roles(&self) -> Vec<(&'static str, Version, UnixSeconds)> {
        let mut roles = vec![(ROOT, self.root.version, self.root.expires)];
        roles.extend(self.timestamp.iter().map(|(f, _)| (TIMESTAMP, f.version, f.expires)));
        roles.extend(self.snapshot.iter().map(|(f, _)| (SNAPSHOT, f.version, f.expires)));
        roles.extend(self.top_level_targets().map(|f| (TARGETS, f.version, f.expires)));
        roles
    }

    /// When the first of the trusted top-level files expires.
    pub fn earliest_expiry(&self) -> UnixSeconds {
        self.trusted_roles().into_iter().map(|(.., expires)| expires).min().unwrap_or_default()
    }

    fn advance_time(&mut self, now: UnixSeconds) {
        self.latest_time = self.latest_time.max(now);
        self.now = self.latest_time;
    }

    /// Starts a refresh (sections 5.3 to 5.6) at the time `now` and abandons a search that is under way. The
    /// first request is for the next root version.
    pub fn refresh(&mut self, now: UnixSeconds) -> FileRequest {
        self.advance_time(now);
        self.search = None;
        self.new_root_count = 0;
        self.expiry_grace_seconds = 0;
        self.pending = PendingFile::Root;
        self.next_root_request()
    }

    fn next_root_request(&self) -> FileRequest {
        let path = format!("{}.root.json", self.root.version.0 + 1);
        FileRequest { path, max_bytes: self.limits.root_bytes }
    }

    /// The file name with its version in front if the repository uses consistent snapshots (section 6.2).
    fn versioned_name(&self, version: Version, name: &str) -> String {
        match self.root.signed.consistent_snapshot {
            true => format!("{}.{name}", version.0),
            false => name.to_string(),
        }
    }

    /// Informs the client that the requested file does not exist. A missing next root ends the root updates
    /// (section 5.3.3); any other missing file ends the workflow.
    ///
    /// # Errors
    /// [`MetadataError::NotFound`], [`MetadataError::NotRequested`], or a failed check of the trusted root.
    pub fn on_file_missing(&mut self) -> Result<Progress, MetadataError> {
        let role = match &self.pending {
            PendingFile::Root => return self.finish_root_updates(),
            PendingFile::None => return Err(MetadataError::NotRequested),
            PendingFile::Timestamp => TIMESTAMP.to_string(),
            PendingFile::Snapshot => SNAPSHOT.to_string(),
            PendingFile::Targets => TARGETS.to_string(),
            PendingFile::Delegated { role, .. } => role.0.clone(),
        };
        self.pending = PendingFile::None;
        Err(MetadataError::NotFound { role })
    }

    /// Passes the requested file to the client. An error ends the workflow. A refused file changes nothing
    /// that is trusted; root versions accepted before it stay trusted (section 5.3.8).
    ///
    /// # Errors
    /// The check that failed; [`MetadataError::NotRequested`] if no request is open.
    pub fn on_file(&mut self, bytes: &[u8]) -> Result<Progress, MetadataError> {
        let pending = std::mem::replace(&mut self.pending, PendingFile::None);
        match pending {
            PendingFile::None => Err(MetadataError::NotRequested),
            PendingFile::Root => self.on_root(bytes),
            PendingFile::Timestamp => self.on_timestamp(bytes),
            PendingFile::Snapshot => self.on_snapshot(bytes),
            PendingFile::Targets => self.on_targets(bytes),
            PendingFile::Delegated { path, role, parent } => {
                self.on_delegated_targets(path, role, parent, bytes)
            }
        }
    }

    fn check_length(&self, role: &str, bytes: &[u8], max_bytes: u64) -> Result<(), MetadataError> {
        if bytes.len() as u64 > max_bytes && !self.planted.has(Fault::EndlessRead) {
            return Err(MetadataError::TooLong { role: role.into(), max_bytes });
        }
        Ok(())
    }

    fn check_top_level_signatures<T>(
        &self, role: &str, root: &Root, file: &SignedMetadata<T>,
    ) -> Result<(), MetadataError> {
        let role_keys = root.roles.get(role).expect("a parsed root lists all four top-level roles");
        self.check_signatures(role, &root.keys, role_keys, file)
    }

    fn check_signatures<T>(
        &self, role: &str, keys: &BTreeMap<KeyId, Key>, role_keys: &RoleKeys, file: &SignedMetadata<T>,
    ) -> Result<(), MetadataError> {
        let count = count_signatures(keys, role_keys, &file.canonical, &file.signatures, self.planted);
        if count.meets_threshold() {
            return Ok(());
        }
        let (valid, threshold) = (count.valid, count.threshold);
        Err(MetadataError::ThresholdNotMet { role: role.into(), valid, threshold })
    }

    fn check_expiry(&self, role: &str, expires: UnixSeconds) -> Result<(), MetadataError> {
        if expires.0 + self.expiry_grace_seconds <= self.now.0 && !self.planted.has(Fault::ExpiryIgnored) {
            return Err(MetadataError::Expired { role: role.into(), expires });
        }
        Ok(())
    }

    fn check_not_older(&self, role: &str, trusted: Version, found: Version) -> Result<(), MetadataError> {
        if found < trusted && !self.planted.has(Fault::RollbackTaken) {
            return Err(MetadataError::Rollback { role: role.into(), trusted, found });
        }
        Ok(())
    }

    fn check_floor(&self, role: &str, floor: Version, found: Version) -> Result<(), MetadataError> {
        if found < floor && !self.planted.has(Fault::RollbackTaken) {
            return Err(MetadataError::BelowVersionFloor { role: role.into(), floor, found });
        }
        Ok(())
    }

    /// Updates the root (section 5.3): a new root is signed by a threshold of the keys of the trusted root
    /// and of its own keys, and its version is exactly the next one.
    fn on_root(&mut self, bytes: &[u8]) -> Result<Progress, MetadataError> {
        self.check_length(ROOT, bytes, self.limits.root_bytes)?;
        if self.new_root_count >= self.limits.max_new_roots {
            return Err(MetadataError::TooManyRoots(self.limits.max_new_roots));
        }
        let file = SignedMetadata::<Root>::parse(bytes).map_err(malformed(ROOT))?;
        if !self.planted.has(Fault::NewRootAlone) {
            self.check_top_level_signatures(ROOT, &self.root.signed, &file)?;
        }
        self.check_top_level_signatures(ROOT, &file.signed, &file)?;
        let next = Version(self.root.version.0 + 1);
        if file.version < next {
            self.check_not_older(ROOT, next, file.version)?;
        } else if file.version != next {
            let (expected, found) = (next, file.version);
            return Err(MetadataError::VersionMismatch { role: ROOT.into(), expected, found });
        }
        let keys_changed = |role: &str| {
            let keys_and_threshold = |root: &Root| {
                let role_keys = root.roles.get(role);
                role_keys.map(|keys| {
                    let ids: BTreeSet<KeyId> = keys.keyids.iter().cloned().collect();
                    (ids, keys.threshold)
                })
            };
            keys_and_threshold(&self.root.signed) != keys_and_threshold(&file.signed)
        };
        // Fast-forward recovery (section 5.3.11): an attacker with the old keys may have pushed the version
        // to the maximum. With new keys, the versions that the old keys signed no longer count.
        if keys_changed(TIMESTAMP) || keys_changed(SNAPSHOT) {
            self.timestamp = None;
            self.snapshot = None;
        }
        if keys_changed(TARGETS) {
            self.targets.clear();
            self.targets_bytes = None;
        }
        self.root = file;
        self.root_bytes = bytes.to_vec();
        self.new_root_count += 1;
        self.pending = PendingFile::Root;
        Ok(Progress::NeedFile(self.next_root_request()))
    }

    /// Checks that the latest root has not expired (section 5.3.10) and requests the timestamp.
    fn finish_root_updates(&mut self) -> Result<Progress, MetadataError> {
        self.pending = PendingFile::None;
        self.check_expiry(ROOT, self.root.expires)?;
        self.check_floor(ROOT, self.floors.root, self.root.version)?;
        self.pending = PendingFile::Timestamp;
        Ok(Progress::NeedFile(FileRequest {
            path: "timestamp.json".into(),
            max_bytes: self.limits.timestamp_bytes,
        }))
    }

    /// Updates the timestamp (section 5.4).
    fn on_timestamp(&mut self, bytes: &[u8]) -> Result<Progress, MetadataError> {
        self.check_length(TIMESTAMP, bytes, self.limits.timestamp_bytes)?;
        let file = SignedMetadata::<Timestamp>::parse(bytes).map_err(malformed(TIMESTAMP))?;
        self.check_top_level_signatures(TIMESTAMP, &self.root.signed, &file)?;
        if let Some((trusted, _)) = &self.timestamp {
            self.check_not_older(TIMESTAMP, trusted.version, file.version)?;
            let snapshot_version = |f: &SignedMetadata<Timestamp>| f.signed.meta["snapshot.json"].version;
            self.check_not_older(SNAPSHOT, snapshot_version(trusted), snapshot_version(&file))?;
        }
        self.check_floor(TIMESTAMP, self.floors.timestamp, file.version)?;
        self.check_expiry(TIMESTAMP, file.expires)?;
        let same_version =
            self.timestamp.as_ref().is_some_and(|(trusted, _)| trusted.version == file.version);
        if !same_version {
            self.timestamp = Some((file, bytes.to_vec()));
        }
        let described = self.snapshot_description();
        let is_snapshot_trusted = self.snapshot.as_ref().is_some_and(|(trusted, bytes)| {
            trusted.version == described.version && self.check_content(SNAPSHOT, &described, bytes).is_ok()
        });
        if is_snapshot_trusted {
            return self.request_targets_unless_trusted();
        }
        self.pending = PendingFile::Snapshot;
        let path = self.versioned_name(described.version, "snapshot.json");
        let max_bytes =
            described.length.unwrap_or(self.limits.snapshot_bytes).min(self.limits.snapshot_bytes);
        Ok(Progress::NeedFile(FileRequest { path, max_bytes }))
    }

    /// What the trusted timestamp says of the snapshot.
    fn snapshot_description(&self) -> FileDescription {
        let (timestamp, _) =
            self.timestamp.as_ref().expect("the timestamp is trusted before its snapshot is requested");
        timestamp.signed.meta["snapshot.json"].clone()
    }

    fn check_all_expiries(&mut self) -> Result<Progress, MetadataError> {
        for (role, _, expires) in self.trusted_roles() {
            self.check_expiry(role, expires)?;
        }
        Ok(Progress::UpToDate)
    }

    /// Compares a file's length and its known hashes with those in the metadata that lists it (sections 5.5.2
    /// and 5.6.2).
    fn check_content(
        &self, role: &str, described: &FileDescription, bytes: &[u8],
    ) -> Result<(), MetadataError> {
        if self.planted.has(Fault::MixTaken) {
            return Ok(());
        }
        let hash = |name: &str| match name {
            "sha256" => Some(hex::encode(digest(&SHA256, bytes))),
            "sha512" => Some(hex::encode(digest(&SHA512, bytes))),
            _ => None,
        };
        let length_differs = described.length.is_some_and(|length| length != bytes.len() as u64);
        let hash_differs = |(name, expected): (&String, &String)| {
            hash(name).is_some_and(|found| found != expected.to_ascii_lowercase())
        };
        if length_differs || described.hashes.iter().any(hash_differs) {
            return Err(MetadataError::ContentMismatch { role: role.into() });
        }
        Ok(())
    }

    fn check_version(&self, role: &str, expected: Version, found: Version) -> Result<(), MetadataError> {
        if expected != found && !self.planted.has(Fault::MixTaken) {
            return Err(MetadataError::VersionMismatch { role: role.into(), expected, found });
        }
        Ok(())
    }

    /// Updates the snapshot (section 5.5).
    fn on_snapshot(&mut self, bytes: &[u8]) -> Result<Progress, MetadataError> {
        let described = self.snapshot_description();
        let max_bytes =
            described.length.unwrap_or(self.limits.snapshot_bytes).min(self.limits.snapshot_bytes);
        self.check_length(SNAPSHOT, bytes, max_bytes)?;
        self.check_content(SNAPSHOT, &described, bytes)?;
        let file = SignedMetadata::<Snapshot>::parse(bytes).map_err(malformed(SNAPSHOT))?;
        self.check_top_level_signatures(SNAPSHOT, &self.root.signed, &file)?;
        self.check_version(SNAPSHOT, described.version, file.version)?;
        if let Some((trusted, _)) = &self.snapshot {
            for (name, previous) in &trusted.signed.meta {
                let role = name.trim_end_matches(".json");
                match file.signed.meta.get(name) {
                    Some(current) => self.check_not_older(role, previous.version, current.version)?,
                    None if self.planted.has(Fault::DropTaken) => {}
                    None => return Err(MetadataError::RemovedFromSnapshot { role: role.into() }),
                }
            }
        }
        self.check_floor(SNAPSHOT, self.floors.snapshot, file.version)?;
        self.check_expiry(SNAPSHOT, file.expires)?;
        self.drop_unlisted_targets(&file.signed, bytes);
        self.snapshot = Some((file, bytes.to_vec()));
        self.request_targets_unless_trusted()
    }

    /// Requests the top-level targets, or ends the refresh if those that the snapshot lists are trusted. Then
    /// the trusted metadata is up to date unless it has expired meanwhile.
    fn request_targets_unless_trusted(&mut self) -> Result<Progress, MetadataError> {
        if self.has_top_level_metadata() {
            return self.check_all_expiries();
        }
        let request = self.targets_request(&top_level_targets())?;
        self.pending = PendingFile::Targets;
        Ok(Progress::NeedFile(request))
    }

    /// Drops the targets metadata that `snapshot`, received as `bytes`, does not vouch for: the top-level one
    /// unless exactly this file is listed, and those of all delegated roles if the snapshot is another one than
    /// before. They were checked by the keys that their parents listed then, and are fetched again when needed.
    fn drop_unlisted_targets(&mut self, snapshot: &Snapshot, bytes: &[u8]) {
        if self.snapshot.as_ref().is_none_or(|(_, trusted_bytes)| trusted_bytes != bytes) {
            self.unload_delegated_roles();
        }
        let trusted = self.top_level_targets().zip(self.targets_bytes.as_ref());
        let is_listed =
            snapshot.meta.get("targets.json").zip(trusted).is_some_and(|(listed, (file, bytes))| {
                listed.version == file.version && self.check_content(TARGETS, listed, bytes).is_ok()
            });
        if !is_listed {
            self.targets.remove(&top_level_targets());
            self.targets_bytes = None;
        }
    }

    /// What the trusted snapshot says of a targets role.
    fn targets_description(&self, role: &RoleName) -> Result<FileDescription, MetadataError> {
        let snapshot = self.snapshot.as_ref().map(|(s, _)| &s.signed.meta);
        let described = snapshot.and_then(|meta| meta.get(&format!("{}.json", role.0)));
        described.cloned().ok_or_else(|| MetadataError::NotInSnapshot { role: role.0.clone() })
    }

    fn targets_request(&self, role: &RoleName) -> Result<FileRequest, MetadataError> {
        let described = self.targets_description(role)?;
        let max_bytes = described.length.unwrap_or(self.limits.targets_bytes).min(self.limits.targets_bytes);
        let path = self.versioned_name(described.version, &format!("{}.json", role.0));
        Ok(FileRequest { path, max_bytes })
    }

    /// Checks targets metadata of the top-level or of a delegated role (section 5.6).
    fn verify_targets(
        &self, role: &RoleName, keys: &BTreeMap<KeyId, Key>, role_keys: &RoleKeys, bytes: &[u8],
    ) -> Result<SignedMetadata<Targets>, MetadataError> {
        let described = self.targets_description(role)?;
        let max_bytes = described.length.unwrap_or(self.limits.targets_bytes).min(self.limits.targets_bytes);
        self.check_length(&role.0, bytes, max_bytes)?;
        self.check_content(&role.0, &described, bytes)?;
        let file = SignedMetadata::<Targets>::parse(bytes).map_err(malformed(&role.0))?;
        self.check_signatures(&role.0, keys, role_keys, &file)?;
        self.check_version(&role.0, described.version, file.version)?;
        self.check_expiry(&role.0, file.expires)?;
        Ok(file)
    }

    fn on_targets(&mut self, bytes: &[u8]) -> Result<Progress, MetadataError> {
        let role_keys = self.root.signed.roles[TARGETS].clone();
        let file = self.verify_targets(&top_level_targets(), &self.root.signed.keys, &role_keys, bytes)?;
        self.check_floor(TARGETS, self.floors.targets, file.version)?;
        self.insert_targets(top_level_targets(), top_level_targets(), file);
        self.targets_bytes = Some(bytes.to_vec());
        self.check_all_expiries()
    }

    /// Starts a search for the target at `path` (section 5.6.7). Metadata is accepted for less than
    /// `grace_seconds` after its expiry. A caller that allows a grace period has to report its use to its
    /// operators.
    ///
    /// # Errors
    /// [`MetadataError::Expired`], [`MetadataError::NotFound`] as in [`Client::check_top_level_metadata`],
    /// [`MetadataError::TargetNotFound`] or [`MetadataError::TooManyDelegations`].
    pub fn find_target(
        &mut self, now: UnixSeconds, grace_seconds: i64, path: &str,
    ) -> Result<Progress, MetadataError> {
        self.advance_time(now);
        self.expiry_grace_seconds = grace_seconds;
        self.pending = PendingFile::None;
        for (role, _, expires) in self.trusted_roles() {
            self.check_expiry(role, expires)?;
        }
        self.check_top_level_metadata()?;
        self.search = Some(Search {
            path: path.into(),
            pending: vec![RoleVisit { role: top_level_targets(), parent: top_level_targets() }],
            visited: BTreeSet::new(),
            expires: self.earliest_expiry(),
        });
        self.continue_search()
    }

    /// Goes on with the search that is under way, and remembers which files it has checked for which parents.
    fn continue_search(&mut self) -> Result<Progress, MetadataError> {
        let Some(search) = self.search.take() else { return Err(MetadataError::NotRequested) };
        let mut newly_checked = Vec::new();
        let progress = self.visit_roles(search, &mut newly_checked);
        for (role, parent) in newly_checked {
            if let Some(loaded) = self.targets.get_mut(&role) {
                loaded.checked_for.insert(parent);
            }
        }
        progress
    }

    /// Visits roles in preorder, depth first, until one lists the target or a file is needed. A role that is in
    /// memory is checked by the keys of the parent through which it is visited, unless that was done before;
    /// such checks are added to `newly_checked`.
    fn visit_roles(
        &mut self, mut search: Search, newly_checked: &mut Vec<(RoleName, RoleName)>,
    ) -> Result<Progress, MetadataError> {
        while let Some(RoleVisit { role, parent }) = search.pending.pop() {
            // Already visited: a cycle of delegations, or two paths to one role.
            if search.visited.contains(&role) {
                continue;
            }
            if search.visited.len() > self.limits.max_delegations {
                return Err(MetadataError::TooManyDelegations(search.path, self.limits.max_delegations));
            }
            let Some(LoadedTargets { file, checked_for }) = self.targets.get(&role) else {
                let request = self.targets_request(&role)?;
                self.pending = PendingFile::Delegated { path: search.path.clone(), role, parent };
                self.search = Some(search);
                return Ok(Progress::NeedFile(request));
            };
            if !checked_for.contains(&parent) {
                let (keys, role_keys) = self.delegated_keys(&role, &parent, &search.path)?;
                self.check_signatures(&role.0, keys, &role_keys, file)?;
                newly_checked.push((role.clone(), parent.clone()));
            }
            self.check_expiry(&role.0, file.expires)?;
            search.expires = search.expires.min(file.expires);
            if let Some(target) = file.signed.targets.get(&search.path) {
                let target = target.clone();
                return Ok(Progress::TargetFound { target, role, parent, expires: search.expires });
            }
            search.visited.insert(role.clone());
            let Some(delegations) = &file.signed.delegations else { continue };
            let mut matching = Vec::new();
            for delegation in &delegations.roles {
                if paths::delegation_covers(delegation, &search.path) || self.planted.has(Fault::PathIgnored)
                {
                    matching.push(RoleVisit { role: delegation.name.clone(), parent: role.clone() });
                    if delegation.terminating {
                        // A terminating delegation ends the search: no later role is visited, neither of this
                        // parent nor of those above it.
                        search.pending.clear();
                        break;
                    }
                }
            }
            if let Some(bins) = &delegations.succinct_roles {
                matching.push(RoleVisit { role: paths::bin_role(bins, &search.path), parent: role.clone() });
            }
            search.pending.extend(matching.into_iter().rev());
        }
        Err(MetadataError::TargetNotFound(search.path))
    }

    /// Checks the targets metadata of a delegated role by the keys that its parent lists, then continues with
    /// the search.
    fn on_delegated_targets(
        &mut self, path: String, role: RoleName, parent: RoleName, bytes: &[u8],
    ) -> Result<Progress, MetadataError> {
        let (keys, role_keys) = self.delegated_keys(&role, &parent, &path)?;
        let file = self.verify_targets(&role, keys, &role_keys, bytes)?;
        if let Some(search) = &mut self.search {
            search.pending.push(RoleVisit { role: role.clone(), parent: parent.clone() });
        }
        self.insert_targets(role, parent, file);
        self.continue_search()
    }

    /// The keys that a parent lists for a role that it delegates this path to.
    fn delegated_keys(
        &self, role: &RoleName, parent: &RoleName, path: &str,
    ) -> Result<(&BTreeMap<KeyId, Key>, RoleKeys), MetadataError> {
        let unlisted = || MetadataError::NotInSnapshot { role: role.0.clone() };
        let parent = self.targets.get(parent).ok_or_else(unlisted)?;
        let delegations = parent.file.signed.delegations.as_ref().ok_or_else(unlisted)?;
        let listed = delegations.roles.iter().find(|d| d.name == *role);
        let bins = delegations.succinct_roles.as_ref().filter(|bins| paths::bin_role(bins, path) == *role);
        let role_keys = match (listed, bins) {
            (Some(d), _) => RoleKeys { keyids: d.keyids.clone(), threshold: d.threshold },
            (_, Some(bins)) => RoleKeys { keyids: bins.keyids.clone(), threshold: bins.threshold },
            _ => return Err(unlisted()),
        };
        Ok((&delegations.keys, role_keys))
    }

    fn insert_targets(&mut self, role: RoleName, parent: RoleName, file: SignedMetadata<Targets>) {
        self.targets.insert(role, LoadedTargets { file, checked_for: BTreeSet::from([parent]) });
    }

    fn top_level_targets(&self) -> Option<&SignedMetadata<Targets>> {
        self.targets.get(&top_level_targets()).map(|loaded| &loaded.file)
    }

    /// The parents by whose keys the file of a role that is in memory was checked, for logs.
    pub fn parents_checked_for(&self, role: &RoleName) -> Vec<RoleName> {
        self.targets.get(role).map(|loaded| loaded.checked_for.iter().cloned().collect()).unwrap_or_default()
    }

    /// The trusted top-level targets metadata, if any.
    pub fn targets(&self) -> Option<&Targets> {
        self.top_level_targets().map(|file| &file.signed)
    }

    /// Checks that timestamp, snapshot and top-level targets are all trusted, the latter two in the version
    /// that the file above lists. Without that a search can't start: nothing says that the targets are
    /// current, and a file that is gone can't expire. A new root drops files whose keys it replaces, and a
    /// refresh that fails may have replaced some files only.
    ///
    /// # Errors
    /// [`MetadataError::NotFound`] with the first role that is missing.
    pub fn check_top_level_metadata(&self) -> Result<(), MetadataError> {
        let missing = |role: &str| MetadataError::NotFound { role: role.into() };
        let (timestamp, _) = self.timestamp.as_ref().ok_or_else(|| missing(TIMESTAMP))?;
        let snapshot = self.snapshot.as_ref().map(|(file, _)| file);
        let listed = timestamp.signed.meta["snapshot.json"].version;
        let snapshot = snapshot.filter(|file| file.version == listed).ok_or_else(|| missing(SNAPSHOT))?;
        let targets = self.top_level_targets();
        let listed = snapshot.signed.meta.get("targets.json").map(|described| described.version);
        targets.filter(|file| Some(file.version) == listed).ok_or_else(|| missing(TARGETS))?;
        Ok(())
    }

    /// Whether [`Client::check_top_level_metadata`] passes, so that a search can start.
    pub fn has_top_level_metadata(&self) -> bool {
        self.check_top_level_metadata().is_ok()
    }

    /// The fault that this client was built with; none outside checkers.
    pub fn planted_fault(&self) -> Planted {
        self.planted
    }

    /// Number of roles, the top-level one included, whose targets metadata is in memory.
    pub fn loaded_role_count(&self) -> usize {
        self.targets.len()
    }

    /// Drops the targets metadata of all delegated roles. A later search fetches what it needs again.
    pub fn unload_delegated_roles(&mut self) {
        self.targets.retain(|role, _| *role == top_level_targets());
    }

    /// Path of a target's file relative to the repository's targets folder: with consistent snapshots the
    /// hash precedes the file name (section 5.7.3).
    pub fn target_path(&self, path: &str, target: &Target) -> String {
        let hash = target.hashes.get("sha256").or_else(|| target.hashes.get("sha512"));
        match (self.root.signed.consistent_snapshot, hash, path.rsplit_once('/')) {
            (true, Some(hash), Some((folder, name))) => format!("{folder}/{hash}.{name}"),
            (true, Some(hash), None) => format!("{hash}.{path}"),
            _ => path.to_string(),
        }
    }
}
