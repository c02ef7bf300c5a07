//! The client's workflow (section 5 of the specification) without I/O: it says which file it wants and how long
//! that may be, takes the bytes, and gives the next or a typed refusal. It owns what is trusted; it must never
//! trust a file before every check on it has passed, nor forget a version that it has trusted.

use std::collections::{BTreeMap, BTreeSet};

use ring::digest::{digest, SHA256, SHA512};
use serde::{Deserialize, Serialize};

use crate::keys::count_signatures;
use crate::metadata::*;
use crate::paths;
use crate::planted::{Fault, Planted};

/// Bounds on what is read: all that a hostile repository could make endless.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    pub root_bytes: u64,
    pub timestamp_bytes: u64,
    /// Of a snapshot and of targets whose length no other file tells.
    pub snapshot_bytes: u64,
    pub targets_bytes: u64,
    /// Roots that may follow each other in one refresh.
    pub max_new_roots: u32,
    /// Delegated roles that one search may look into.
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

/// Why a file was not trusted. Each kind has a name that programs may rely on.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MetadataError {
    #[error("{role}: {reason}")]
    Malformed { role: String, reason: FormatError },
    #[error("{role}: longer than {limit} bytes")]
    TooLong { role: String, limit: u64 },
    #[error("{role}: signed by {valid} of its keys, {threshold} are needed")]
    ThresholdNotMet { role: String, valid: u32, threshold: u32 },
    #[error("{role}: version {found:?} after {trusted:?} was trusted")]
    Rollback { role: String, trusted: Version, found: Version },
    #[error("{role}: version {found:?}, and {expected:?} was announced")]
    VersionMismatch { role: String, expected: Version, found: Version },
    #[error("{role}: not the bytes that were announced")]
    ContentMismatch { role: String },
    #[error("{role}: expired at {expires}")]
    Expired { role: String, expires: UnixSeconds },
    #[error("{role}: not there")]
    NotFound { role: String },
    #[error("snapshot: {role} was in the one before and is gone")]
    RemovedFromSnapshot { role: String },
    #[error("root: more than {0} new versions at once")]
    TooManyRoots(u32),
    #[error("{role}: the snapshot does not know it")]
    NotInSnapshot { role: String },
    #[error("no role that may speak for it knows the target {0:?}")]
    TargetNotFound(String),
    #[error("the target {0:?} was not found within {1} delegated roles")]
    TooManyDelegations(String, usize),
    #[error("version {found:?} of {role} is below the floor {floor:?} that the operators set")]
    BelowVersionFloor { role: String, floor: Version, found: Version },
    #[error("nothing was asked for")]
    NotRequested,
}

impl MetadataError {
    /// One word for logs, counters and exit codes.
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

/// A file that is wanted next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileRequest {
    /// Within the repository's folder of metadata.
    pub path: String,
    /// A file that is longer is not read to its end.
    pub max_bytes: u64,
}

/// What is trusted, as it was read: all that must outlive a restart. Versions can't be rebuilt from anything
/// else, and without them a rollback passes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrustedState {
    pub root: Vec<u8>,
    pub timestamp: Option<Vec<u8>>,
    pub snapshot: Option<Vec<u8>>,
    pub targets: Option<Vec<u8>>,
}

/// Versions below which nothing is trusted, whatever is remembered: for instances without a disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VersionFloors {
    pub root: Version,
    pub timestamp: Version,
    pub snapshot: Version,
    pub targets: Version,
}

#[derive(Clone, Debug)]
enum Step {
    /// Nothing is under way.
    Idle,
    Root,
    Timestamp,
    Snapshot,
    Targets,
    /// Looks for a target through delegations, in the order that the specification gives.
    Delegated {
        path: String,
        role: RoleName,
        parent: RoleName,
    },
}

/// How far a search for a target has come.
#[derive(Clone, Debug)]
struct Search {
    path: String,
    /// Roles still to be looked into, the next one last, each with who delegated to it.
    to_do: Vec<(RoleName, RoleName)>,
    seen: BTreeSet<RoleName>,
}

/// What a call came to.
#[derive(Clone, Debug, PartialEq)]
pub enum Progress {
    /// More is wanted.
    NeedFile(FileRequest),
    /// The top-level metadata is current and trusted.
    UpToDate,
    /// The target is this; who says so comes with it.
    TargetFound { target: Target, role: RoleName },
}

pub struct Client {
    root: SignedMetadata<Root>,
    root_bytes: Vec<u8>,
    timestamp: Option<(SignedMetadata<Timestamp>, Vec<u8>)>,
    snapshot: Option<(SignedMetadata<Snapshot>, Vec<u8>)>,
    targets: BTreeMap<RoleName, SignedMetadata<Targets>>,
    targets_bytes: Option<Vec<u8>>,
    floors: VersionFloors,
    limits: Limits,
    step: Step,
    search: Option<Search>,
    /// Taken once for each refresh or search: no file expires amid one and no clock moves it.
    now: UnixSeconds,
    /// Never goes back: a clock that does must not make expired files valid again.
    latest: UnixSeconds,
    new_roots: u32,
    /// For how many seconds past its end a file still counts in a search; none in a refresh.
    grace: i64,
    planted: Planted,
}

fn top() -> RoleName {
    RoleName(TARGETS.into())
}

fn unreadable(role: &str) -> impl FnOnce(FormatError) -> MetadataError + '_ {
    move |reason| MetadataError::Malformed { role: role.into(), reason }
}

impl Client {
    /// Begins with a root that is trusted from elsewhere (section 5.2): shipped, or kept from before.
    pub fn new(
        root: &[u8], floors: VersionFloors, limits: Limits, planted: Planted,
    ) -> Result<Client, MetadataError> {
        let file = SignedMetadata::<Root>::parse(root).map_err(unreadable(ROOT))?;
        let client = Client {
            root: file,
            root_bytes: root.to_vec(),
            timestamp: None,
            snapshot: None,
            targets: BTreeMap::new(),
            targets_bytes: None,
            floors,
            limits,
            step: Step::Idle,
            search: None,
            now: UnixSeconds(0),
            latest: UnixSeconds(0),
            new_roots: 0,
            grace: 0,
            planted,
        };
        // It must at least be signed by those it names.
        client.signed_by_root(ROOT, &client.root.signed, &client.root)?;
        Ok(client)
    }

    /// Begins with what an earlier process kept. Expiry is not looked at here: what is kept is there to be held
    /// against what comes.
    pub fn resume(
        kept: &TrustedState, floors: VersionFloors, limits: Limits, planted: Planted,
    ) -> Result<Client, MetadataError> {
        let mut client = Client::new(&kept.root, floors, limits, planted)?;
        if let Some(bytes) = &kept.timestamp {
            let file = SignedMetadata::<Timestamp>::parse(bytes).map_err(unreadable(TIMESTAMP))?;
            client.signed_by_root(TIMESTAMP, &client.root.signed, &file)?;
            client.timestamp = Some((file, bytes.clone()));
        }
        if let Some(bytes) = &kept.snapshot {
            let file = SignedMetadata::<Snapshot>::parse(bytes).map_err(unreadable(SNAPSHOT))?;
            client.signed_by_root(SNAPSHOT, &client.root.signed, &file)?;
            client.snapshot = Some((file, bytes.clone()));
        }
        if let Some(bytes) = &kept.targets {
            let file = SignedMetadata::<Targets>::parse(bytes).map_err(unreadable(TARGETS))?;
            client.signed_by_root(TARGETS, &client.root.signed, &file)?;
            client.targets.insert(top(), file);
            client.targets_bytes = Some(bytes.clone());
        }
        Ok(client)
    }

    pub fn trusted_state(&self) -> TrustedState {
        TrustedState {
            root: self.root_bytes.clone(),
            timestamp: self.timestamp.as_ref().map(|(_, bytes)| bytes.clone()),
            snapshot: self.snapshot.as_ref().map(|(_, bytes)| bytes.clone()),
            targets: self.targets_bytes.clone(),
        }
    }

    /// The trusted version of each top-level role, and when it ends.
    pub fn trusted_roles(&self) -> Vec<(&'static str, Version, UnixSeconds)> {
        let mut all = vec![(ROOT, self.root.version, self.root.expires)];
        all.extend(self.timestamp.iter().map(|(f, _)| (TIMESTAMP, f.version, f.expires)));
        all.extend(self.snapshot.iter().map(|(f, _)| (SNAPSHOT, f.version, f.expires)));
        all.extend(self.targets.get(&top()).map(|f| (TARGETS, f.version, f.expires)));
        all
    }

    /// When the first of the trusted files ends.
    pub fn earliest_expiry(&self) -> UnixSeconds {
        self.trusted_roles().into_iter().map(|(.., expires)| expires).min().unwrap_or_default()
    }

    fn time(&mut self, now: UnixSeconds) {
        self.latest = self.latest.max(now);
        self.now = self.latest;
    }

    /// Begins a refresh: the first file wanted is the next root.
    pub fn refresh(&mut self, now: UnixSeconds) -> FileRequest {
        self.time(now);
        self.search = None;
        (self.new_roots, self.grace) = (0, 0);
        self.step = Step::Root;
        self.want_root()
    }

    fn want_root(&self) -> FileRequest {
        let path = format!("{}.root.json", self.root.version.0 + 1);
        FileRequest { path, max_bytes: self.limits.root_bytes }
    }

    fn prefixed(&self, version: Version, name: &str) -> String {
        match self.root.signed.consistent_snapshot {
            true => format!("{}.{name}", version.0),
            false => name.to_string(),
        }
    }

    /// What was asked for is not there. Only a next root may be missing.
    pub fn on_file_missing(&mut self) -> Result<Progress, MetadataError> {
        let role = match &self.step {
            Step::Root => return self.roots_end(),
            Step::Idle => return Err(MetadataError::NotRequested),
            Step::Timestamp => TIMESTAMP.to_string(),
            Step::Snapshot => SNAPSHOT.to_string(),
            Step::Targets => TARGETS.to_string(),
            Step::Delegated { role, .. } => role.0.clone(),
        };
        self.step = Step::Idle;
        Err(MetadataError::NotFound { role })
    }

    /// What was asked for. After a refusal all is as it was, but for roots that were trusted on the way: they
    /// stay, as the specification has it.
    pub fn on_file(&mut self, bytes: &[u8]) -> Result<Progress, MetadataError> {
        let step = std::mem::replace(&mut self.step, Step::Idle);
        match step {
            Step::Idle => Err(MetadataError::NotRequested),
            Step::Root => self.root_came(bytes),
            Step::Timestamp => self.timestamp_came(bytes),
            Step::Snapshot => self.snapshot_came(bytes),
            Step::Targets => self.targets_came(bytes),
            Step::Delegated { path, role, parent } => self.delegated_came(path, role, &parent, bytes),
        }
    }

    fn short(&self, role: &str, bytes: &[u8], limit: u64) -> Result<(), MetadataError> {
        if bytes.len() as u64 > limit && !self.planted.has(Fault::EndlessRead) {
            return Err(MetadataError::TooLong { role: role.into(), limit });
        }
        Ok(())
    }

    fn signed_by_root<T>(
        &self, role: &str, root: &Root, file: &SignedMetadata<T>,
    ) -> Result<(), MetadataError> {
        let keys = root.roles.get(role).expect("a root that was read has all four");
        self.signed(role, &root.keys, keys, file)
    }

    fn signed<T>(
        &self, role: &str, keys: &BTreeMap<KeyId, Key>, by: &RoleKeys, file: &SignedMetadata<T>,
    ) -> Result<(), MetadataError> {
        let counted = count_signatures(keys, by, &file.canonical, &file.signatures, self.planted);
        if counted.meets_threshold() {
            return Ok(());
        }
        Err(MetadataError::ThresholdNotMet {
            role: role.into(),
            valid: counted.valid,
            threshold: counted.threshold,
        })
    }

    fn current(&self, role: &str, expires: UnixSeconds) -> Result<(), MetadataError> {
        if expires.0 + self.grace <= self.now.0 && !self.planted.has(Fault::ExpiryIgnored) {
            return Err(MetadataError::Expired { role: role.into(), expires });
        }
        Ok(())
    }

    fn not_older(&self, role: &str, trusted: Version, found: Version) -> Result<(), MetadataError> {
        if found < trusted && !self.planted.has(Fault::RollbackTaken) {
            return Err(MetadataError::Rollback { role: role.into(), trusted, found });
        }
        Ok(())
    }

    fn above_floor(&self, role: &str, floor: Version, found: Version) -> Result<(), MetadataError> {
        if found < floor && !self.planted.has(Fault::RollbackTaken) {
            return Err(MetadataError::BelowVersionFloor { role: role.into(), floor, found });
        }
        Ok(())
    }

    /// Section 5.3: each next root is signed by the one before it and by itself, and is exactly the next.
    fn root_came(&mut self, bytes: &[u8]) -> Result<Progress, MetadataError> {
        self.short(ROOT, bytes, self.limits.root_bytes)?;
        if self.new_roots >= self.limits.max_new_roots {
            return Err(MetadataError::TooManyRoots(self.limits.max_new_roots));
        }
        let file = SignedMetadata::<Root>::parse(bytes).map_err(unreadable(ROOT))?;
        if !self.planted.has(Fault::NewRootAlone) {
            self.signed_by_root(ROOT, &self.root.signed, &file)?;
        }
        self.signed_by_root(ROOT, &file.signed, &file)?;
        let wanted = Version(self.root.version.0 + 1);
        if file.version < wanted {
            self.not_older(ROOT, wanted, file.version)?;
        } else if file.version != wanted {
            return Err(MetadataError::VersionMismatch {
                role: ROOT.into(),
                expected: wanted,
                found: file.version,
            });
        }
        let changed = |role: &str| {
            let keys = |root: &Root| {
                let keys = root.roles.get(role);
                keys.map(|k| {
                    (
                        k.keyids.iter().collect::<BTreeSet<_>>().into_iter().cloned().collect::<Vec<_>>(),
                        k.threshold,
                    )
                })
            };
            keys(&self.root.signed) != keys(&file.signed)
        };
        // 5.3.11: after a fast-forward the way back leads over new keys; what the old ones signed is dropped.
        if changed(TIMESTAMP) || changed(SNAPSHOT) {
            self.timestamp = None;
            self.snapshot = None;
        }
        if changed(TARGETS) {
            self.targets.clear();
            self.targets_bytes = None;
        }
        (self.root, self.root_bytes) = (file, bytes.to_vec());
        self.new_roots += 1;
        self.step = Step::Root;
        Ok(Progress::NeedFile(self.want_root()))
    }

    fn roots_end(&mut self) -> Result<Progress, MetadataError> {
        self.step = Step::Idle;
        self.current(ROOT, self.root.expires)?;
        self.above_floor(ROOT, self.floors.root, self.root.version)?;
        self.step = Step::Timestamp;
        Ok(Progress::NeedFile(FileRequest {
            path: "timestamp.json".into(),
            max_bytes: self.limits.timestamp_bytes,
        }))
    }

    /// Section 5.4.
    fn timestamp_came(&mut self, bytes: &[u8]) -> Result<Progress, MetadataError> {
        self.short(TIMESTAMP, bytes, self.limits.timestamp_bytes)?;
        let file = SignedMetadata::<Timestamp>::parse(bytes).map_err(unreadable(TIMESTAMP))?;
        self.signed_by_root(TIMESTAMP, &self.root.signed, &file)?;
        if let Some((trusted, _)) = &self.timestamp {
            self.not_older(TIMESTAMP, trusted.version, file.version)?;
            let snapshot = |f: &SignedMetadata<Timestamp>| f.signed.meta["snapshot.json"].version;
            self.not_older(SNAPSHOT, snapshot(trusted), snapshot(&file))?;
        }
        self.above_floor(TIMESTAMP, self.floors.timestamp, file.version)?;
        self.current(TIMESTAMP, file.expires)?;
        let same = self.timestamp.as_ref().is_some_and(|(trusted, _)| trusted.version == file.version);
        if !same {
            self.timestamp = Some((file, bytes.to_vec()));
        }
        let seen = self.announced_snapshot();
        // Nothing new: what is trusted is current, unless it ends meanwhile.
        let have = self.snapshot.as_ref().is_some_and(|(s, _)| s.version == seen.version);
        if have && self.targets.contains_key(&top()) && same {
            return self.all_current();
        }
        self.step = Step::Snapshot;
        let path = self.prefixed(seen.version, "snapshot.json");
        Ok(Progress::NeedFile(FileRequest {
            path,
            max_bytes: seen.length.unwrap_or(self.limits.snapshot_bytes).min(self.limits.snapshot_bytes),
        }))
    }

    fn announced_snapshot(&self) -> FileDescription {
        let (timestamp, _) = self.timestamp.as_ref().expect("comes before its snapshot");
        timestamp.signed.meta["snapshot.json"].clone()
    }

    fn all_current(&mut self) -> Result<Progress, MetadataError> {
        for (role, _, expires) in self.trusted_roles() {
            self.current(role, expires)?;
        }
        Ok(Progress::UpToDate)
    }

    fn as_announced(&self, role: &str, seen: &FileDescription, bytes: &[u8]) -> Result<(), MetadataError> {
        if self.planted.has(Fault::MixTaken) {
            return Ok(());
        }
        let hash = |name: &str| match name {
            "sha256" => Some(hex::encode(digest(&SHA256, bytes))),
            "sha512" => Some(hex::encode(digest(&SHA512, bytes))),
            _ => None,
        };
        let length = seen.length.is_some_and(|length| length != bytes.len() as u64);
        let other =
            |(name, sum): (&String, &String)| hash(name).is_some_and(|h| h != sum.to_ascii_lowercase());
        if length || seen.hashes.iter().any(other) {
            return Err(MetadataError::ContentMismatch { role: role.into() });
        }
        Ok(())
    }

    fn announced_version(&self, role: &str, wanted: Version, found: Version) -> Result<(), MetadataError> {
        if wanted != found && !self.planted.has(Fault::MixTaken) {
            return Err(MetadataError::VersionMismatch { role: role.into(), expected: wanted, found });
        }
        Ok(())
    }

    /// Section 5.5.
    fn snapshot_came(&mut self, bytes: &[u8]) -> Result<Progress, MetadataError> {
        let seen = self.announced_snapshot();
        self.short(
            SNAPSHOT,
            bytes,
            seen.length.unwrap_or(self.limits.snapshot_bytes).min(self.limits.snapshot_bytes),
        )?;
        self.as_announced(SNAPSHOT, &seen, bytes)?;
        let file = SignedMetadata::<Snapshot>::parse(bytes).map_err(unreadable(SNAPSHOT))?;
        self.signed_by_root(SNAPSHOT, &self.root.signed, &file)?;
        self.announced_version(SNAPSHOT, seen.version, file.version)?;
        if let Some((trusted, _)) = &self.snapshot {
            for (name, had) in &trusted.signed.meta {
                let role = name.trim_end_matches(".json");
                match file.signed.meta.get(name) {
                    Some(has) => self.not_older(role, had.version, has.version)?,
                    None if self.planted.has(Fault::DropTaken) => {}
                    None => return Err(MetadataError::RemovedFromSnapshot { role: role.into() }),
                }
            }
        }
        self.above_floor(SNAPSHOT, self.floors.snapshot, file.version)?;
        self.current(SNAPSHOT, file.expires)?;
        // A role whose version moved is to be read again; the others stand.
        let meta = &file.signed.meta;
        self.targets.retain(|role, known| {
            meta.get(&format!("{}.json", role.0)).is_some_and(|seen| seen.version == known.version)
        });
        self.snapshot = Some((file, bytes.to_vec()));
        if self.targets.contains_key(&top()) {
            return self.all_current();
        }
        self.step = Step::Targets;
        let want = self.want_targets(&top())?;
        Ok(Progress::NeedFile(want))
    }

    fn announced(&self, role: &RoleName) -> Result<FileDescription, MetadataError> {
        let snapshot = self.snapshot.as_ref().map(|(s, _)| &s.signed.meta);
        let seen = snapshot.and_then(|meta| meta.get(&format!("{}.json", role.0)));
        seen.cloned().ok_or_else(|| MetadataError::NotInSnapshot { role: role.0.clone() })
    }

    fn want_targets(&self, role: &RoleName) -> Result<FileRequest, MetadataError> {
        let seen = self.announced(role)?;
        let limit = seen.length.unwrap_or(self.limits.targets_bytes).min(self.limits.targets_bytes);
        Ok(FileRequest { path: self.prefixed(seen.version, &format!("{}.json", role.0)), max_bytes: limit })
    }

    /// What holds for targets of any role (section 5.6).
    fn read_targets(
        &self, role: &RoleName, keys: &BTreeMap<KeyId, Key>, by: &RoleKeys, bytes: &[u8],
    ) -> Result<SignedMetadata<Targets>, MetadataError> {
        let seen = self.announced(role)?;
        let limit = seen.length.unwrap_or(self.limits.targets_bytes).min(self.limits.targets_bytes);
        self.short(&role.0, bytes, limit)?;
        self.as_announced(&role.0, &seen, bytes)?;
        let file = SignedMetadata::<Targets>::parse(bytes).map_err(unreadable(&role.0))?;
        self.signed(&role.0, keys, by, &file)?;
        self.announced_version(&role.0, seen.version, file.version)?;
        self.current(&role.0, file.expires)?;
        Ok(file)
    }

    fn targets_came(&mut self, bytes: &[u8]) -> Result<Progress, MetadataError> {
        let by = self.root.signed.roles[TARGETS].clone();
        let file = self.read_targets(&top(), &self.root.signed.keys, &by, bytes)?;
        self.above_floor(TARGETS, self.floors.targets, file.version)?;
        self.targets.insert(top(), file);
        self.targets_bytes = Some(bytes.to_vec());
        self.all_current()
    }

    /// Looks a target up (section 5.6.7). What is trusted must be current at this moment, or have ended no longer
    /// ago than `grace` seconds: who gives any says so to the people.
    pub fn find_target(
        &mut self, now: UnixSeconds, grace: i64, path: &str,
    ) -> Result<Progress, MetadataError> {
        self.time(now);
        self.grace = grace;
        self.step = Step::Idle;
        for (role, _, expires) in self.trusted_roles() {
            self.current(role, expires)?;
        }
        if !self.targets.contains_key(&top()) {
            return Err(MetadataError::NotFound { role: TARGETS.into() });
        }
        self.search = Some(Search { path: path.into(), to_do: vec![(top(), top())], seen: BTreeSet::new() });
        self.look_on()
    }

    fn look_on(&mut self) -> Result<Progress, MetadataError> {
        let Some(mut search) = self.search.take() else { return Err(MetadataError::NotRequested) };
        while let Some((role, parent)) = search.to_do.pop() {
            // Seen before: a circle, or two ways to one role.
            if search.seen.contains(&role) {
                continue;
            }
            if search.seen.len() > self.limits.max_delegations {
                return Err(MetadataError::TooManyDelegations(search.path, self.limits.max_delegations));
            }
            let Some(file) = self.targets.get(&role) else {
                let want = self.want_targets(&role)?;
                self.step = Step::Delegated { path: search.path.clone(), role, parent };
                self.search = Some(search);
                return Ok(Progress::NeedFile(want));
            };
            self.current(&role.0, file.expires)?;
            if let Some(target) = file.signed.targets.get(&search.path) {
                return Ok(Progress::TargetFound { target: target.clone(), role });
            }
            search.seen.insert(role.clone());
            let Some(delegations) = &file.signed.delegations else { continue };
            let mut next = Vec::new();
            for delegation in &delegations.roles {
                if paths::delegation_covers(delegation, &search.path) || self.planted.has(Fault::PathIgnored)
                {
                    next.push((delegation.name.clone(), role.clone()));
                    if delegation.terminating {
                        // Whatever stands behind it, here or further up, is not asked.
                        search.to_do.clear();
                        break;
                    }
                }
            }
            if let Some(bins) = &delegations.succinct_roles {
                next.push((paths::bin_role(bins, &search.path), role.clone()));
            }
            search.to_do.extend(next.into_iter().rev());
        }
        Err(MetadataError::TargetNotFound(search.path))
    }

    fn delegated_came(
        &mut self, path: String, role: RoleName, parent: &RoleName, bytes: &[u8],
    ) -> Result<Progress, MetadataError> {
        let delegations = self.targets.get(parent).and_then(|file| file.signed.delegations.as_ref());
        let delegations = delegations.ok_or_else(|| MetadataError::NotInSnapshot { role: role.0.clone() })?;
        let listed = delegations.roles.iter().find(|d| d.name == role);
        let bins = delegations.succinct_roles.as_ref().filter(|bins| paths::bin_role(bins, &path) == role);
        let by = match (listed, bins) {
            (Some(d), _) => RoleKeys { keyids: d.keyids.clone(), threshold: d.threshold },
            (_, Some(bins)) => RoleKeys { keyids: bins.keyids.clone(), threshold: bins.threshold },
            _ => return Err(MetadataError::NotInSnapshot { role: role.0 }),
        };
        let file = self.read_targets(&role, &delegations.keys, &by, bytes)?;
        if let Some(search) = &mut self.search {
            search.to_do.push((role.clone(), parent.clone()));
        }
        self.targets.insert(role, file);
        self.look_on()
    }

    /// The top-level targets that are trusted.
    pub fn targets(&self) -> Option<&Targets> {
        self.targets.get(&top()).map(|file| &file.signed)
    }

    /// Whether there is a whole set of top-level metadata to search.
    pub fn has_top_level_metadata(&self) -> bool {
        self.timestamp.is_some() && self.snapshot.is_some() && self.targets.contains_key(&top())
    }

    pub fn planted_fault(&self) -> Planted {
        self.planted
    }

    /// Roles whose targets are held, for those who bound memory.
    pub fn loaded_role_count(&self) -> usize {
        self.targets.len()
    }

    /// Lets go of delegated roles; they are fetched again when they are needed.
    pub fn unload_delegated_roles(&mut self) {
        self.targets.retain(|role, _| *role == top());
    }

    /// Where a target's bytes are, within the repository's folder of targets.
    pub fn target_path(&self, path: &str, target: &Target) -> String {
        let hash = target.hashes.get("sha256").or_else(|| target.hashes.get("sha512"));
        match (self.root.signed.consistent_snapshot, hash, path.rsplit_once('/')) {
            (true, Some(hash), Some((folder, name))) => format!("{folder}/{hash}.{name}"),
            (true, Some(hash), None) => format!("{hash}.{path}"),
            _ => path.to_string(),
        }
    }
}
