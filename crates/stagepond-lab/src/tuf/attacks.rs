//! Attacks on a TUF repository in memory, and the error that a client must report for each. The attacker
//! controls the mirror that serves the files; where an attack needs them, it also holds the online keys
//! (timestamp and snapshot), but never those of root or targets.

use std::collections::BTreeMap;

use serde_json::{json, Value};
use stagepond_tuf::keys::SigningKey;
use stagepond_tuf::metadata::*;
use stagepond_tuf::repository::{sign_metadata, ExpiryPeriods, MetadataFile, Repository};
use stagepond_tuf::target::describe_target;

/// Path of the target that the top-level targets role signs: a content pack.
pub const PACK_PATH: &str = "packs/round-7.tgz";
/// Path of the target that the delegated role `venue` signs.
pub const DELEGATED_PATH: &str = "venues/wien/table-3.tgz";
/// Path of a target that the delegated role signs although it lies outside the role's paths.
const UNDELEGATED_PATH: &str = "packs/evil.tgz";
/// Length of a day in seconds.
pub const SECONDS_PER_DAY: i64 = 86_400;

/// Unix time of the last release where the caller does not choose one: in September 2026.
const LAST_RELEASE_TIME: UnixSeconds = UnixSeconds(1_790_000_000);
/// Combined with the seed of a repository to draw its keys.
const KEY_SEED_MASK: u64 = 0x7af;
/// JSON that ends too early.
const TRUNCATED_JSON: &[u8] = b"{\"signed\":";
/// Length to which an endless data attack pads a file; far above the client's limits.
const OVERSIZED_BYTES: usize = 16 << 20;
/// Expiry date that lies before every release.
const PAST_DATE: &str = "2026-01-01T00:00:00Z";

/// Published files by their path in the repository.
pub type Files = BTreeMap<String, Vec<u8>>;

/// The signing keys of every role, drawn from a seed.
pub struct RoleKeys {
    /// Keys of the root role in its first version.
    pub root: [SigningKey; 3],
    /// Keys of the root role from its second version on.
    pub next_root: [SigningKey; 3],
    /// Keys of the top-level targets role.
    pub targets: [SigningKey; 3],
    /// Key of the snapshot role.
    pub snapshot: SigningKey,
    /// Key of the timestamp role.
    pub timestamp: SigningKey,
    /// Key of the delegated role `venue`.
    pub venue: SigningKey,
    /// A key that no role lists.
    pub untrusted: SigningKey,
}

impl RoleKeys {
    /// Draws all keys; equal seeds give equal keys.
    pub fn new(seed: u64) -> RoleKeys {
        let mut rng = fastrand::Rng::with_seed(seed ^ KEY_SEED_MASK);
        let mut key = || SigningKey::from_seed(std::array::from_fn(|_| rng.u8(..)));
        RoleKeys {
            root: [key(), key(), key()],
            next_root: [key(), key(), key()],
            targets: [key(), key(), key()],
            snapshot: key(),
            timestamp: key(),
            venue: key(),
            untrusted: key(),
        }
    }

    /// Returns every key that belongs to a role.
    fn trusted(&self) -> Vec<&SigningKey> {
        let mut keys: Vec<&SigningKey> =
            self.root.iter().chain(&self.next_root).chain(&self.targets).collect();
        keys.extend([&self.snapshot, &self.timestamp, &self.venue]);
        keys
    }
}

/// A repository with three releases, half a day apart. The third release comes with a second root, which
/// replaces all root keys.
pub struct TestRepository {
    /// The signing keys, including one that no role lists.
    pub keys: RoleKeys,
    /// The repository after the last release.
    pub repository: Repository,
    /// All files that a client can fetch after each release, targets included.
    pub releases: Vec<Files>,
    /// Time of the last release.
    pub now: UnixSeconds,
}

/// Returns the bytes of the pack in a release, counted from 1.
fn pack_bytes(release: usize) -> Vec<u8> {
    format!("questions of round 7, release {release}").into_bytes()
}

impl TestRepository {
    /// Publishes three releases, the last of them at a fixed time.
    pub fn new(seed: u64) -> TestRepository {
        TestRepository::with_last_release_at(seed, LAST_RELEASE_TIME)
    }

    /// Publishes three releases, the last of them at the time `last`.
    pub fn with_last_release_at(seed: u64, last: UnixSeconds) -> TestRepository {
        let keys = RoleKeys::new(seed);
        let roles = BTreeMap::from([
            (ROOT.to_string(), (keys.root.iter().collect(), 2)),
            (TARGETS.to_string(), (keys.targets.iter().collect(), 2)),
            (SNAPSHOT.to_string(), (vec![&keys.snapshot], 1)),
            (TIMESTAMP.to_string(), (vec![&keys.timestamp], 1)),
        ]);
        let mut repository = Repository::new(&roles, ExpiryPeriods::default()).expect("the roles are valid");
        let venue = Delegation {
            name: RoleName("venue".into()),
            keyids: vec![keys.venue.id().clone()],
            threshold: 1,
            terminating: true,
            paths: Some(vec!["venues/wien/*".into()]),
            path_hash_prefixes: None,
        };
        repository.add_delegation(venue, &[&keys.venue], Targets::default());
        let before_first_release = UnixSeconds(last.0 - 3 * SECONDS_PER_DAY / 2);
        let mut test_repository =
            TestRepository { keys, repository, releases: Vec::new(), now: before_first_release };
        let root = test_repository
            .repository
            .publish_root(&test_repository.keys.trusted(), test_repository.now)
            .expect("all keys sign");
        let mut files = Files::from([(root.path, root.bytes)]);
        for release in 1..=3 {
            test_repository.now = UnixSeconds(test_repository.now.0 + SECONDS_PER_DAY / 2);
            test_repository.publish_release(release, &mut files);
            if release == 3 {
                let root = test_repository.rotate_root();
                files.insert(root.path, root.bytes);
            }
            test_repository.releases.push(files.clone());
        }
        test_repository
    }

    /// Adds both targets and the metadata of a release to `files`.
    fn publish_release(&mut self, release: usize, files: &mut Files) {
        let delegated_bytes = format!("table 3, {release}").into_bytes();
        for (path, bytes) in [(PACK_PATH, pack_bytes(release)), (DELEGATED_PATH, delegated_bytes)] {
            let target = describe_target(&bytes);
            files.insert(consistent_target_path(path, &target), bytes);
            match path {
                PACK_PATH => drop(self.repository.targets.targets.insert(path.into(), target)),
                _ => {
                    let venue = self.repository.delegated.get_mut("venue").expect("the role was delegated");
                    venue.targets.insert(path.into(), target);
                }
            }
        }
        let published = self.repository.publish(&self.keys.trusted(), self.now).expect("all keys sign");
        files.extend(published.into_iter().map(|MetadataFile { path, bytes }| (path, bytes)));
    }

    /// Replaces all root keys and returns the new root, signed by the old and the new keys.
    fn rotate_root(&mut self) -> MetadataFile {
        let next: Vec<&SigningKey> = self.keys.next_root.iter().collect();
        self.repository.rotate_keys(ROOT, &next, 2).expect("root is a role");
        let signers: Vec<&SigningKey> = self.keys.root.iter().chain(&self.keys.next_root).collect();
        self.repository.publish_root(&signers, self.now).expect("both thresholds are met")
    }

    /// Returns the root that clients trust from the start.
    pub fn first_root(&self) -> &[u8] {
        &self.releases[0]["1.root.json"]
    }
}

/// Returns the path of a target's bytes in a repository with consistent snapshots.
pub fn consistent_target_path(path: &str, target: &Target) -> String {
    let (folder, name) = path.rsplit_once('/').expect("target paths have a folder");
    format!("targets/{folder}/{}.{name}", target.hashes["sha256"])
}

/// Returns the path of the pack's bytes in the last release.
pub fn latest_pack_path() -> String {
    consistent_target_path(PACK_PATH, &describe_target(&pack_bytes(3)))
}

/// An attack on the files that a mirror serves. The proofs print the variants with `{:?}`, so their names are
/// part of the output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Attack {
    /// The second root is truncated JSON.
    RootGarbage,
    /// The second root is signed by its own keys only, not by those of the first root.
    RootNewKeysOnly,
    /// The second root is signed by the keys of the first root only, not by its own.
    RootOldKeysOnly,
    /// The second root is signed by an untrusted key.
    RootStranger,
    /// The second root has one signature of the old and one of the new keys; both thresholds are two.
    RootThresholdShort,
    /// The second root states version 3, which skips a version.
    RootSkips,
    /// The first root is served as the second.
    RootAgain,
    /// The second root, correctly signed, has expired.
    RootExpired,
    /// The second root is padded beyond the size limit (endless data).
    RootEndless,
    /// The second root states the type `targets`.
    RootOtherType,
    /// The second root states an unsupported version of the specification.
    RootSpecVersion,
    /// The second root is signed twice by the same old and twice by the same new key.
    RootKeyTwice,
    /// The timestamp is truncated JSON.
    TimestampGarbage,
    /// The timestamp has no signature.
    TimestampUnsigned,
    /// The timestamp is signed by the snapshot key.
    TimestampOtherRole,
    /// The timestamp is changed after it was signed.
    TimestampTampered,
    /// The timestamp of the first release is served (rollback).
    TimestampRollback,
    /// A newer timestamp lists the first snapshot (rollback).
    TimestampSnapshotRollback,
    /// The last release is still served two days later (freeze).
    TimestampFrozen,
    /// The timestamp is padded beyond the size limit (endless data).
    TimestampEndless,
    /// The timestamp states the type `snapshot`.
    TimestampOtherType,
    /// The timestamp is not served.
    TimestampMissing,
    /// The timestamp states the version 0.5.
    TimestampFraction,
    /// The timestamp has the name `expires` twice in one object.
    TimestampNameTwice,
    /// The snapshot is truncated JSON, and the timestamp lists its length and hash.
    SnapshotGarbage,
    /// The second release's snapshot is served in place of the third's (mix-and-match).
    SnapshotOlder,
    /// The snapshot states another version than the timestamp lists.
    SnapshotOtherVersion,
    /// The snapshot is signed by an untrusted key.
    SnapshotStranger,
    /// The snapshot, correctly signed, has expired.
    SnapshotExpired,
    /// The snapshot no longer lists `targets.json`.
    SnapshotDrops,
    /// The snapshot no longer lists `venue.json`.
    SnapshotDropsDelegated,
    /// A newer snapshot lists the first version of the targets (rollback).
    SnapshotTargetsRollback,
    /// The snapshot is padded beyond the size limit (endless data).
    SnapshotEndless,
    /// The snapshot is not served.
    SnapshotMissing,
    /// The targets metadata is truncated JSON.
    TargetsGarbage,
    /// The first release's targets metadata is served in place of the third's (mix-and-match).
    TargetsOlder,
    /// The targets metadata has one signature; the threshold is two.
    TargetsThresholdShort,
    /// The targets metadata is signed twice by the same key.
    TargetsKeyTwice,
    /// The targets metadata is signed twice by the same key, once under another key's ID.
    TargetsKeyTwoIds,
    /// The targets metadata is signed by the snapshot and timestamp keys.
    TargetsOtherRole,
    /// The targets metadata, correctly signed, has expired.
    TargetsExpired,
    /// The targets metadata is not served.
    TargetsMissing,
    /// The targets metadata is padded beyond the size limit (endless data).
    TargetsEndless,
    /// The targets metadata lists the pack with an MD5 hash only.
    TargetsWithoutHashes,
    /// The delegated metadata is signed by an untrusted key.
    DelegatedStranger,
    /// The first release's delegated metadata is served in place of the third's (mix-and-match).
    DelegatedOlder,
    /// The delegated metadata, correctly signed, has expired.
    DelegatedExpired,
    /// The delegated metadata is not served.
    DelegatedMissing,
    /// The delegated role signs a target outside its paths.
    DelegatedOtherPath,
    /// One bit of the pack is flipped.
    PackTampered,
    /// The pack lacks its last byte.
    PackShorter,
    /// The pack has one byte more.
    PackLonger,
    /// The first release's pack is served in place of the third's.
    PackOlder,
    /// The pack is not served.
    PackMissing,
}

use Attack::*;

impl Attack {
    /// All attacks, in the order of declaration.
    pub const ALL: [Attack; 54] = [
        RootGarbage,
        RootNewKeysOnly,
        RootOldKeysOnly,
        RootStranger,
        RootThresholdShort,
        RootSkips,
        RootAgain,
        RootExpired,
        RootEndless,
        RootOtherType,
        RootSpecVersion,
        RootKeyTwice,
        TimestampGarbage,
        TimestampUnsigned,
        TimestampOtherRole,
        TimestampTampered,
        TimestampRollback,
        TimestampSnapshotRollback,
        TimestampFrozen,
        TimestampEndless,
        TimestampOtherType,
        TimestampMissing,
        TimestampFraction,
        TimestampNameTwice,
        SnapshotGarbage,
        SnapshotOlder,
        SnapshotOtherVersion,
        SnapshotStranger,
        SnapshotExpired,
        SnapshotDrops,
        SnapshotDropsDelegated,
        SnapshotTargetsRollback,
        SnapshotEndless,
        SnapshotMissing,
        TargetsGarbage,
        TargetsOlder,
        TargetsThresholdShort,
        TargetsKeyTwice,
        TargetsKeyTwoIds,
        TargetsOtherRole,
        TargetsExpired,
        TargetsMissing,
        TargetsEndless,
        TargetsWithoutHashes,
        DelegatedStranger,
        DelegatedOlder,
        DelegatedExpired,
        DelegatedMissing,
        DelegatedOtherPath,
        PackTampered,
        PackShorter,
        PackLonger,
        PackOlder,
        PackMissing,
    ];

    /// Returns the kind of error that the client must report; see `MetadataError::kind` for metadata and
    /// `proof::target_error_kind` for targets.
    pub fn expected_error(self) -> &'static str {
        match self {
            RootGarbage | RootOtherType | RootSpecVersion | TimestampGarbage | TimestampOtherType
            | TimestampFraction | TimestampNameTwice | SnapshotGarbage | TargetsGarbage
            | TargetsWithoutHashes => "unreadable",
            RootNewKeysOnly
            | RootOldKeysOnly
            | RootStranger
            | RootThresholdShort
            | RootKeyTwice
            | TimestampUnsigned
            | TimestampOtherRole
            | TimestampTampered
            | SnapshotStranger
            | TargetsThresholdShort
            | TargetsKeyTwice
            | TargetsKeyTwoIds
            | TargetsOtherRole
            | DelegatedStranger => "threshold",
            RootSkips | SnapshotOtherVersion => "other_version",
            RootAgain | TimestampRollback | TimestampSnapshotRollback | SnapshotTargetsRollback => "rollback",
            RootExpired | TimestampFrozen | SnapshotExpired | TargetsExpired | DelegatedExpired => "expired",
            RootEndless | TimestampEndless | SnapshotEndless | TargetsEndless => "too_long",
            TimestampMissing | SnapshotMissing | TargetsMissing | DelegatedMissing => "missing",
            SnapshotOlder | TargetsOlder | DelegatedOlder => "other_bytes",
            SnapshotDrops => "unreadable",
            SnapshotDropsDelegated => "dropped",
            DelegatedOtherPath => "no_such_target",
            PackTampered | PackOlder => "target_hash",
            PackShorter => "target_shorter",
            PackLonger => "target_longer",
            PackMissing => "target_missing",
        }
    }

    /// Returns whether the attack rolls back to the first release. A client that trusts no later release has
    /// nothing to refuse then: it sees what it already has, or a state that was once current.
    pub fn rolls_back_to_first_release(self) -> bool {
        matches!(self, TimestampRollback | TimestampSnapshotRollback | SnapshotTargetsRollback)
    }

    /// Returns the path of the target that a client must request to meet the attack.
    pub fn requested_path(self) -> &'static str {
        match self {
            DelegatedStranger | DelegatedOlder | DelegatedExpired | DelegatedMissing => DELEGATED_PATH,
            DelegatedOtherPath => UNDELEGATED_PATH,
            _ => PACK_PATH,
        }
    }
}

/// A mirror that serves the last release, honestly or after attacks on it.
pub struct Mirror<'a> {
    /// The honest repository behind the mirror.
    pub repository: &'a TestRepository,
    /// The files as they are served.
    pub files: Files,
    /// Time at which clients ask: an hour after the last release, or later for an attack that takes time.
    pub now: UnixSeconds,
}

impl<'a> Mirror<'a> {
    /// Creates a mirror that serves the last release unchanged.
    pub fn honest(repository: &'a TestRepository) -> Mirror<'a> {
        let files = repository.releases.last().expect("there is at least one release").clone();
        Mirror { repository, files, now: UnixSeconds(repository.now.0 + 3600) }
    }

    /// Returns the signed portion of a file, unless an earlier attack corrupted or removed the file.
    fn signed_portion(&self, path: &str) -> Option<Value> {
        let mut file: Value = serde_json::from_slice(self.files.get(path)?).ok()?;
        file.get_mut("signed").map(Value::take)
    }

    /// Signs metadata and serves it at `path`. Metadata that an earlier attack made invalid can't be signed;
    /// the file then stays as it is.
    fn sign_and_serve(&mut self, path: &str, signed: &Value, signers: &[&SigningKey]) {
        if let Ok(bytes) = sign_metadata(signed, signers) {
            self.files.insert(path.into(), bytes);
        }
    }

    /// Returns the path of the newest metadata file of a role.
    fn newest_path(&self, role: &str) -> String {
        let suffix = format!(".{role}.json");
        let version = |path: &String| path.strip_suffix(&suffix).and_then(|v| v.parse::<u64>().ok());
        let newest = self.files.keys().filter_map(version).max().unwrap_or_default();
        format!("{newest}{suffix}")
    }

    /// Changes the signed portion of a file and signs it again.
    fn edit_signed(&mut self, path: &str, signers: &[&SigningKey], change: impl FnOnce(&mut Value)) {
        if let Some(mut signed) = self.signed_portion(path) {
            change(&mut signed);
            self.sign_and_serve(path, &signed, signers);
        }
    }

    /// Changes the bytes of a file without signing it.
    fn corrupt(&mut self, path: &str, change: impl FnOnce(&mut Vec<u8>)) {
        if let Some(bytes) = self.files.get_mut(path) {
            change(bytes);
        }
    }

    /// Signs, with the online keys, a snapshot and a timestamp that list the files as they are served now.
    /// The snapshot also gets `change`.
    fn update_snapshot(&mut self, change: impl FnOnce(&mut Value)) {
        let repository = self.repository;
        let path = self.newest_path(SNAPSHOT);
        let Some(mut signed) = self.signed_portion(&path) else { return };
        let Some(meta) = signed["meta"].as_object() else { return };
        let names: Vec<String> = meta.keys().cloned().collect();
        for name in names {
            let role = name.trim_end_matches(".json");
            if let Some(bytes) = self.files.get(&self.newest_path(role)) {
                signed["meta"][&name]["length"] = json!(bytes.len());
                signed["meta"][&name]["hashes"]["sha256"] = json!(describe_target(bytes).hashes["sha256"]);
            }
        }
        change(&mut signed);
        self.sign_and_serve(&path, &signed, &[&repository.keys.snapshot]);
        self.update_timestamp();
    }

    /// Signs a timestamp that lists the snapshot as it is served now.
    fn update_timestamp(&mut self) {
        let repository = self.repository;
        let Some(bytes) = self.files.get(&self.newest_path(SNAPSHOT)) else { return };
        let described = describe_target(bytes);
        self.edit_signed("timestamp.json", &[&repository.keys.timestamp], |signed| {
            signed["meta"]["snapshot.json"]["length"] = json!(described.length);
            signed["meta"]["snapshot.json"]["hashes"]["sha256"] = json!(described.hashes["sha256"]);
        });
    }

    /// Applies an attack to the files as they are served now.
    pub fn apply(&mut self, attack: Attack) {
        let repository = self.repository;
        let keys = &repository.keys;
        let (first_release, second_release) = (&repository.releases[0], &repository.releases[1]);
        let timestamp_signers = [&keys.timestamp];
        let past_date = json!(PAST_DATE);
        let truncate = |bytes: &mut Vec<u8>| *bytes = TRUNCATED_JSON.to_vec();
        let pad = |bytes: &mut Vec<u8>| bytes.resize(OVERSIZED_BYTES, b' ');
        let root = "2.root.json";
        let old_root_signers: Vec<&SigningKey> = keys.root.iter().collect();
        let new_root_signers: Vec<&SigningKey> = keys.next_root.iter().collect();
        let all_root_signers: Vec<&SigningKey> = keys.root.iter().chain(&keys.next_root).collect();
        let targets_signers: Vec<&SigningKey> = keys.targets[..2].iter().collect();
        let targets = self.newest_path(TARGETS);
        let snapshot = self.newest_path(SNAPSHOT);
        let venue = self.newest_path("venue");
        match attack {
            RootGarbage => self.corrupt(root, truncate),
            RootNewKeysOnly => self.edit_signed(root, &new_root_signers, |_| ()),
            RootOldKeysOnly => self.edit_signed(root, &old_root_signers, |_| ()),
            RootStranger => self.edit_signed(root, &[&keys.untrusted], |_| ()),
            RootThresholdShort => self.edit_signed(root, &[&keys.root[0], &keys.next_root[0]], |_| ()),
            RootSkips => self.edit_signed(root, &all_root_signers, |signed| signed["version"] = json!(3)),
            RootAgain => {
                let first_root = self.files["1.root.json"].clone();
                self.files.insert(root.into(), first_root);
            }
            RootExpired => self.edit_signed(root, &all_root_signers, |signed| signed["expires"] = past_date),
            RootEndless => self.corrupt(root, pad),
            RootOtherType => {
                self.edit_signed(root, &all_root_signers, |signed| signed["_type"] = json!("targets"))
            }
            RootSpecVersion => {
                self.edit_signed(root, &all_root_signers, |signed| signed["spec_version"] = json!("2.0.0"))
            }
            RootKeyTwice => {
                let signers = [&keys.root[0], &keys.root[0], &keys.next_root[0], &keys.next_root[0]];
                self.edit_signed(root, &signers, |_| ());
            }
            TimestampGarbage => self.corrupt("timestamp.json", truncate),
            TimestampUnsigned => self.edit_signed("timestamp.json", &[], |_| ()),
            TimestampOtherRole => self.edit_signed("timestamp.json", &[&keys.snapshot], |_| ()),
            TimestampTampered => self.corrupt("timestamp.json", |bytes| {
                let text = String::from_utf8_lossy(bytes).replace("\"length\":", "\"length\":1");
                *bytes = text.into_bytes();
            }),
            TimestampRollback => {
                drop(self.files.insert("timestamp.json".into(), first_release["timestamp.json"].clone()))
            }
            TimestampSnapshotRollback => self.edit_signed("timestamp.json", &timestamp_signers, |signed| {
                signed["version"] = json!(9);
                signed["meta"]["snapshot.json"]["version"] = json!(1);
            }),
            // The files stay as they are until the last timestamp has expired.
            TimestampFrozen => self.now = UnixSeconds(self.now.0 + 2 * SECONDS_PER_DAY),
            TimestampEndless => self.corrupt("timestamp.json", pad),
            TimestampOtherType => self.edit_signed("timestamp.json", &timestamp_signers, |signed| {
                signed["_type"] = json!("snapshot")
            }),
            TimestampMissing => drop(self.files.remove("timestamp.json")),
            TimestampFraction => self.corrupt("timestamp.json", |bytes| {
                let text = String::from_utf8_lossy(bytes).replace("\"version\":", "\"version\":0.5,\"x\":");
                *bytes = text.into_bytes();
            }),
            TimestampNameTwice => self.corrupt("timestamp.json", |bytes| {
                let text =
                    String::from_utf8_lossy(bytes).replace("\"expires\":", "\"expires\":\"\",\"expires\":");
                *bytes = text.into_bytes();
            }),
            SnapshotGarbage => {
                self.corrupt(&snapshot, truncate);
                self.files.insert(snapshot.clone(), TRUNCATED_JSON.to_vec());
                let described = describe_target(&self.files[&snapshot]);
                self.edit_signed("timestamp.json", &timestamp_signers, |signed| {
                    signed["meta"]["snapshot.json"]["length"] = json!(described.length);
                    signed["meta"]["snapshot.json"]["hashes"]["sha256"] = json!(described.hashes["sha256"]);
                });
            }
            SnapshotOlder => drop(self.files.insert(snapshot, second_release["2.snapshot.json"].clone())),
            SnapshotOtherVersion => self.update_snapshot(|signed| signed["version"] = json!(40)),
            SnapshotStranger => {
                self.edit_signed(&snapshot, &[&keys.untrusted], |_| ());
                self.update_timestamp();
            }
            SnapshotExpired => self.update_snapshot(|signed| signed["expires"] = past_date),
            SnapshotDrops => self.update_snapshot(|signed| {
                let _ = signed["meta"].as_object_mut().map(|meta| meta.remove("targets.json"));
            }),
            SnapshotDropsDelegated => self.update_snapshot(|signed| {
                let _ = signed["meta"].as_object_mut().map(|meta| meta.remove("venue.json"));
            }),
            SnapshotTargetsRollback => {
                self.update_snapshot(|signed| signed["meta"]["targets.json"]["version"] = json!(1))
            }
            SnapshotEndless => {
                self.corrupt(&snapshot, pad);
            }
            SnapshotMissing => drop(self.files.remove(&snapshot)),
            TargetsGarbage => {
                self.files.insert(targets, TRUNCATED_JSON.to_vec());
                self.update_snapshot(|_| ());
            }
            TargetsOlder => drop(self.files.insert(targets, first_release["1.targets.json"].clone())),
            TargetsThresholdShort => {
                self.edit_signed(&targets, &[&keys.targets[0]], |_| ());
                self.update_snapshot(|_| ());
            }
            TargetsKeyTwice => {
                self.edit_signed(&targets, &[&keys.targets[0], &keys.targets[0]], |_| ());
                self.update_snapshot(|_| ());
            }
            TargetsKeyTwoIds => {
                self.edit_signed(&targets, &[&keys.targets[0], &keys.targets[0]], |_| ());
                self.corrupt(&targets, |bytes| {
                    let Ok(mut file) = serde_json::from_slice::<Value>(bytes) else { return };
                    file["signatures"][1]["keyid"] = json!(keys.targets[1].id());
                    *bytes = serde_json::to_vec(&file).expect("a JSON value can be written");
                });
                self.update_snapshot(|_| ());
            }
            TargetsOtherRole => {
                self.edit_signed(&targets, &[&keys.snapshot, &keys.timestamp], |_| ());
                self.update_snapshot(|_| ());
            }
            TargetsExpired => {
                self.edit_signed(&targets, &targets_signers, |signed| signed["expires"] = past_date);
                self.update_snapshot(|_| ());
            }
            TargetsMissing => drop(self.files.remove(&targets)),
            TargetsEndless => self.corrupt(&targets, pad),
            TargetsWithoutHashes => {
                self.edit_signed(&targets, &targets_signers, |signed| {
                    signed["targets"][PACK_PATH]["hashes"] = json!({"md5": "00"})
                });
                self.update_snapshot(|_| ());
            }
            DelegatedStranger => {
                self.edit_signed(&venue, &[&keys.untrusted], |_| ());
                self.update_snapshot(|_| ());
            }
            DelegatedOlder => drop(self.files.insert(venue, first_release["1.venue.json"].clone())),
            DelegatedExpired => {
                self.edit_signed(&venue, &[&keys.venue], |signed| signed["expires"] = past_date);
                self.update_snapshot(|_| ());
            }
            DelegatedMissing => drop(self.files.remove(&venue)),
            // The signature of the delegated role is valid, but the role may only sign its own paths.
            DelegatedOtherPath => {
                let target = describe_target(b"evil");
                self.files.insert(consistent_target_path(UNDELEGATED_PATH, &target), b"evil".to_vec());
                self.edit_signed(&venue, &[&keys.venue], |signed| {
                    signed["targets"][UNDELEGATED_PATH] = json!(target)
                });
                self.update_snapshot(|_| ());
            }
            PackTampered | PackShorter | PackLonger | PackOlder | PackMissing => {
                let path = latest_pack_path();
                match attack {
                    PackTampered => self.corrupt(&path, |bytes| bytes[0] ^= 1),
                    PackShorter => self.corrupt(&path, |bytes| bytes.truncate(bytes.len().saturating_sub(1))),
                    PackLonger => self.corrupt(&path, |bytes| bytes.push(b'!')),
                    PackOlder => drop(self.files.insert(path, pack_bytes(1))),
                    _ => drop(self.files.remove(&path)),
                }
            }
        }
    }
}
