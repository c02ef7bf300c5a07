//! A repository in memory, what an attacker makes of it, and which refusal is owed for each. The attacker serves
//! the files; where an attack needs it, it holds the keys that are kept online (timestamp and snapshot), never
//! those of root or targets. It owns the attacks; what is trusted is the client's matter alone.

use std::collections::BTreeMap;

use serde_json::{json, Value};
use stagepond_tuf::keys::SigningKey;
use stagepond_tuf::metadata::*;
use stagepond_tuf::repository::{sign_metadata, ExpiryPeriods, MetadataFile, Repository};
use stagepond_tuf::target::describe_target;

pub const PACK: &str = "packs/round-7.tgz";
pub const OTHER: &str = "venues/wien/table-3.tgz";
pub const DAY: i64 = 86_400;

pub type Files = BTreeMap<String, Vec<u8>>;

/// Keys of everybody, made from a seed.
pub struct Keys {
    pub root: [SigningKey; 3],
    pub next_root: [SigningKey; 3],
    pub targets: [SigningKey; 3],
    pub snapshot: SigningKey,
    pub timestamp: SigningKey,
    pub venue: SigningKey,
    pub stranger: SigningKey,
}

impl Keys {
    pub fn new(seed: u64) -> Keys {
        let mut rng = fastrand::Rng::with_seed(seed ^ 0x7af);
        let mut key = || SigningKey::from_seed(std::array::from_fn(|_| rng.u8(..)));
        Keys {
            root: [key(), key(), key()],
            next_root: [key(), key(), key()],
            targets: [key(), key(), key()],
            snapshot: key(),
            timestamp: key(),
            venue: key(),
            stranger: key(),
        }
    }

    fn all(&self) -> Vec<&SigningKey> {
        let mut all: Vec<&SigningKey> =
            self.root.iter().chain(&self.next_root).chain(&self.targets).collect();
        all.extend([&self.snapshot, &self.timestamp, &self.venue]);
        all
    }
}

/// A repository over some releases, with all that it ever published.
pub struct World {
    pub keys: Keys,
    pub repository: Repository,
    /// What a reader finds after each release, the targets' bytes among it.
    pub releases: Vec<Files>,
    pub now: UnixSeconds,
}

fn pack(release: usize) -> Vec<u8> {
    format!("questions of round 7, release {release}").into_bytes()
}

impl World {
    /// Three releases, a day apart; a root that follows the first one with the third.
    pub fn new(seed: u64) -> World {
        World::ending_at(seed, UnixSeconds(1_790_000_000))
    }

    /// With its last release at that moment.
    pub fn ending_at(seed: u64, last: UnixSeconds) -> World {
        let keys = Keys::new(seed);
        let roles = BTreeMap::from([
            (ROOT.to_string(), (keys.root.iter().collect(), 2)),
            (TARGETS.to_string(), (keys.targets.iter().collect(), 2)),
            (SNAPSHOT.to_string(), (vec![&keys.snapshot], 1)),
            (TIMESTAMP.to_string(), (vec![&keys.timestamp], 1)),
        ]);
        let mut repository = Repository::new(&roles, ExpiryPeriods::default()).expect("sound roles");
        let venue = Delegation {
            name: RoleName("venue".into()),
            keyids: vec![keys.venue.id().clone()],
            threshold: 1,
            terminating: true,
            paths: Some(vec!["venues/wien/*".into()]),
            path_hash_prefixes: None,
        };
        repository.add_delegation(venue, &[&keys.venue], Targets::default());
        let mut world =
            World { keys, repository, releases: Vec::new(), now: UnixSeconds(last.0 - 3 * DAY / 2) };
        let root = world.repository.publish_root(&world.keys.all(), world.now).expect("all keys");
        let mut files = Files::from([(root.path, root.bytes)]);
        for release in 1..=3 {
            world.now = UnixSeconds(world.now.0 + DAY / 2);
            world.put(release, &mut files);
            if release == 3 {
                let next: Vec<&SigningKey> = world.keys.next_root.iter().collect();
                world.repository.rotate_keys(ROOT, &next, 2).expect("a role");
                let by: Vec<&SigningKey> = world.keys.root.iter().chain(&world.keys.next_root).collect();
                let root = world.repository.publish_root(&by, world.now).expect("enough keys");
                files.insert(root.path, root.bytes);
            }
            world.releases.push(files.clone());
        }
        world
    }

    fn put(&mut self, release: usize, files: &mut Files) {
        for (path, bytes) in [(PACK, pack(release)), (OTHER, format!("table 3, {release}").into_bytes())] {
            let target = describe_target(&bytes);
            files.insert(consistent(path, &target), bytes);
            match path {
                PACK => drop(self.repository.targets.targets.insert(path.into(), target)),
                _ => {
                    let venue = self.repository.delegated.get_mut("venue").expect("delegated above");
                    venue.targets.insert(path.into(), target);
                }
            }
        }
        let written = self.repository.publish(&self.keys.all(), self.now).expect("all keys");
        files.extend(written.into_iter().map(|MetadataFile { path, bytes }| (path, bytes)));
    }

    pub fn first_root(&self) -> &[u8] {
        &self.releases[0]["1.root.json"]
    }
}

/// Where a target's bytes stand in a repository with consistent snapshots.
pub fn consistent(path: &str, target: &Target) -> String {
    let (folder, name) = path.rsplit_once('/').expect("targets stand in folders");
    format!("targets/{folder}/{}.{name}", target.hashes["sha256"])
}

/// Where the last release has the pack.
pub fn last_pack() -> String {
    consistent(PACK, &describe_target(&pack(3)))
}

/// What an attacker does to the files that are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Attack {
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
}

use Attack::*;

impl Attack {
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

    /// The refusal that is owed, by its kind.
    pub fn owed(self) -> &'static str {
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

    /// Whether it is one only on a tablet that trusts more than the first release: to others it shows what they
    /// know, or what once was current.
    pub fn goes_back(self) -> bool {
        matches!(self, TimestampRollback | TimestampSnapshotRollback | SnapshotTargetsRollback)
    }

    /// Which target a tablet asks for while this goes on.
    pub fn asks(self) -> &'static str {
        match self {
            DelegatedStranger | DelegatedOlder | DelegatedExpired | DelegatedMissing => OTHER,
            DelegatedOtherPath => "packs/evil.tgz",
            _ => PACK,
        }
    }
}

/// What is served, and the means of the attacker.
pub struct Served<'a> {
    pub world: &'a World,
    pub files: Files,
    /// Later than the last release, where the attack takes its time.
    pub now: UnixSeconds,
}

impl<'a> Served<'a> {
    /// The last release, served honestly.
    pub fn honest(world: &'a World) -> Served<'a> {
        let files = world.releases.last().expect("some releases").clone();
        Served { world, files, now: UnixSeconds(world.now.0 + 3600) }
    }

    /// The signed part, unless an attack before has spoilt or taken the file.
    fn signed(&self, path: &str) -> Option<Value> {
        let mut file: Value = serde_json::from_slice(self.files.get(path)?).ok()?;
        file.get_mut("signed").map(Value::take)
    }

    fn put(&mut self, path: &str, signed: &Value, by: &[&SigningKey]) {
        // What an attack before has made no form of can't be signed either: it stays as it is.
        if let Ok(bytes) = sign_metadata(signed, by) {
            self.files.insert(path.into(), bytes);
        }
    }

    /// Where the newest file of a role is.
    fn newest(&self, role: &str) -> String {
        let suffix = format!(".{role}.json");
        let version = |path: &String| path.strip_suffix(&suffix).and_then(|v| v.parse::<u64>().ok());
        let newest = self.files.keys().filter_map(version).max().unwrap_or_default();
        format!("{newest}{suffix}")
    }

    fn edit(&mut self, path: &str, by: &[&SigningKey], change: impl FnOnce(&mut Value)) {
        if let Some(mut signed) = self.signed(path) {
            change(&mut signed);
            self.put(path, &signed, by);
        }
    }

    fn spoil(&mut self, path: &str, change: impl FnOnce(&mut Vec<u8>)) {
        if let Some(bytes) = self.files.get_mut(path) {
            change(bytes);
        }
    }

    /// With the online keys: the snapshot and the timestamp say what is served now.
    fn announce(&mut self, change: impl FnOnce(&mut Value)) {
        let world = self.world;
        let path = self.newest(SNAPSHOT);
        let Some(mut signed) = self.signed(&path) else { return };
        let Some(meta) = signed["meta"].as_object() else { return };
        let names: Vec<String> = meta.keys().cloned().collect();
        for name in names {
            let role = name.trim_end_matches(".json");
            if let Some(bytes) = self.files.get(&self.newest(role)) {
                signed["meta"][&name]["length"] = json!(bytes.len());
                signed["meta"][&name]["hashes"]["sha256"] = json!(describe_target(bytes).hashes["sha256"]);
            }
        }
        change(&mut signed);
        self.put(&path, &signed, &[&world.keys.snapshot]);
        self.announce_snapshot();
    }

    fn announce_snapshot(&mut self) {
        let world = self.world;
        let Some(bytes) = self.files.get(&self.newest(SNAPSHOT)) else { return };
        let described = describe_target(bytes);
        self.edit("timestamp.json", &[&world.keys.timestamp], |signed| {
            signed["meta"]["snapshot.json"]["length"] = json!(described.length);
            signed["meta"]["snapshot.json"]["hashes"]["sha256"] = json!(described.hashes["sha256"]);
        });
    }

    /// Carries the attack out on what is served so far.
    pub fn attack(&mut self, attack: Attack) {
        let world = self.world;
        let keys = &world.keys;
        let (first, second) = (&world.releases[0], &world.releases[1]);
        let online = [&keys.timestamp];
        let long_ago = json!("2026-01-01T00:00:00Z");
        let garbage = |bytes: &mut Vec<u8>| *bytes = b"{\"signed\":".to_vec();
        let endless = |bytes: &mut Vec<u8>| bytes.resize(16 << 20, b' ');
        let root = "2.root.json";
        let (new_root, old_root) =
            (keys.next_root.iter().collect::<Vec<_>>(), keys.root.iter().collect::<Vec<_>>());
        let both: Vec<&SigningKey> = keys.root.iter().chain(&keys.next_root).collect();
        let (targets, snapshot, venue) = (self.newest(TARGETS), self.newest(SNAPSHOT), self.newest("venue"));
        let two: Vec<&SigningKey> = keys.targets[..2].iter().collect();
        match attack {
            RootGarbage => self.spoil(root, garbage),
            RootNewKeysOnly => self.edit(root, &new_root, |_| ()),
            RootOldKeysOnly => self.edit(root, &old_root, |_| ()),
            RootStranger => self.edit(root, &[&keys.stranger], |_| ()),
            RootThresholdShort => self.edit(root, &[&keys.root[0], &keys.next_root[0]], |_| ()),
            RootSkips => self.edit(root, &both, |signed| signed["version"] = json!(3)),
            RootAgain => {
                let again = self.files["1.root.json"].clone();
                self.files.insert(root.into(), again);
            }
            RootExpired => self.edit(root, &both, |signed| signed["expires"] = long_ago),
            RootEndless => self.spoil(root, endless),
            RootOtherType => self.edit(root, &both, |signed| signed["_type"] = json!("targets")),
            RootSpecVersion => self.edit(root, &both, |signed| signed["spec_version"] = json!("2.0.0")),
            RootKeyTwice => {
                let by = [&keys.root[0], &keys.root[0], &keys.next_root[0], &keys.next_root[0]];
                self.edit(root, &by, |_| ());
            }
            TimestampGarbage => self.spoil("timestamp.json", garbage),
            TimestampUnsigned => self.edit("timestamp.json", &[], |_| ()),
            TimestampOtherRole => self.edit("timestamp.json", &[&keys.snapshot], |_| ()),
            TimestampTampered => self.spoil("timestamp.json", |bytes| {
                let text = String::from_utf8_lossy(bytes).replace("\"length\":", "\"length\":1");
                *bytes = text.into_bytes();
            }),
            TimestampRollback => {
                drop(self.files.insert("timestamp.json".into(), first["timestamp.json"].clone()))
            }
            TimestampSnapshotRollback => self.edit("timestamp.json", &online, |signed| {
                signed["version"] = json!(9);
                signed["meta"]["snapshot.json"]["version"] = json!(1);
            }),
            // Nothing new is served for days: the last good timestamp, once it has ended.
            TimestampFrozen => self.now = UnixSeconds(self.now.0 + 2 * DAY),
            TimestampEndless => self.spoil("timestamp.json", endless),
            TimestampOtherType => {
                self.edit("timestamp.json", &online, |signed| signed["_type"] = json!("snapshot"))
            }
            TimestampMissing => drop(self.files.remove("timestamp.json")),
            TimestampFraction => self.spoil("timestamp.json", |bytes| {
                let text = String::from_utf8_lossy(bytes).replace("\"version\":", "\"version\":0.5,\"x\":");
                *bytes = text.into_bytes();
            }),
            TimestampNameTwice => self.spoil("timestamp.json", |bytes| {
                let text =
                    String::from_utf8_lossy(bytes).replace("\"expires\":", "\"expires\":\"\",\"expires\":");
                *bytes = text.into_bytes();
            }),
            SnapshotGarbage => {
                self.spoil(&snapshot, garbage);
                self.files.insert(snapshot.clone(), b"{\"signed\":".to_vec());
                let described = describe_target(&self.files[&snapshot]);
                self.edit("timestamp.json", &online, |signed| {
                    signed["meta"]["snapshot.json"]["length"] = json!(described.length);
                    signed["meta"]["snapshot.json"]["hashes"]["sha256"] = json!(described.hashes["sha256"]);
                });
            }
            SnapshotOlder => drop(self.files.insert(snapshot, second["2.snapshot.json"].clone())),
            SnapshotOtherVersion => self.announce(|signed| signed["version"] = json!(40)),
            SnapshotStranger => {
                self.edit(&snapshot, &[&keys.stranger], |_| ());
                self.announce_snapshot();
            }
            SnapshotExpired => self.announce(|signed| signed["expires"] = long_ago),
            SnapshotDrops => self.announce(|signed| {
                let _ = signed["meta"].as_object_mut().map(|meta| meta.remove("targets.json"));
            }),
            SnapshotDropsDelegated => self.announce(|signed| {
                let _ = signed["meta"].as_object_mut().map(|meta| meta.remove("venue.json"));
            }),
            SnapshotTargetsRollback => {
                self.announce(|signed| signed["meta"]["targets.json"]["version"] = json!(1))
            }
            SnapshotEndless => {
                self.spoil(&snapshot, endless);
            }
            SnapshotMissing => drop(self.files.remove(&snapshot)),
            TargetsGarbage => {
                self.files.insert(targets, b"{\"signed\":".to_vec());
                self.announce(|_| ());
            }
            TargetsOlder => drop(self.files.insert(targets, first["1.targets.json"].clone())),
            TargetsThresholdShort => {
                self.edit(&targets, &[&keys.targets[0]], |_| ());
                self.announce(|_| ());
            }
            TargetsKeyTwice => {
                self.edit(&targets, &[&keys.targets[0], &keys.targets[0]], |_| ());
                self.announce(|_| ());
            }
            TargetsKeyTwoIds => {
                self.edit(&targets, &[&keys.targets[0], &keys.targets[0]], |_| ());
                self.spoil(&targets, |bytes| {
                    let Ok(mut file) = serde_json::from_slice::<Value>(bytes) else { return };
                    file["signatures"][1]["keyid"] = json!(keys.targets[1].id());
                    *bytes = serde_json::to_vec(&file).expect("a value");
                });
                self.announce(|_| ());
            }
            TargetsOtherRole => {
                self.edit(&targets, &[&keys.snapshot, &keys.timestamp], |_| ());
                self.announce(|_| ());
            }
            TargetsExpired => {
                self.edit(&targets, &two, |signed| signed["expires"] = long_ago);
                self.announce(|_| ());
            }
            TargetsMissing => drop(self.files.remove(&targets)),
            TargetsEndless => self.spoil(&targets, endless),
            TargetsWithoutHashes => {
                self.edit(&targets, &two, |signed| signed["targets"][PACK]["hashes"] = json!({"md5": "00"}));
                self.announce(|_| ());
            }
            DelegatedStranger => {
                self.edit(&venue, &[&keys.stranger], |_| ());
                self.announce(|_| ());
            }
            DelegatedOlder => drop(self.files.insert(venue, first["1.venue.json"].clone())),
            DelegatedExpired => {
                self.edit(&venue, &[&keys.venue], |signed| signed["expires"] = long_ago);
                self.announce(|_| ());
            }
            DelegatedMissing => drop(self.files.remove(&venue)),
            // The venue's key is its own to use, but only for its own paths.
            DelegatedOtherPath => {
                let evil = describe_target(b"evil");
                self.files.insert(consistent("packs/evil.tgz", &evil), b"evil".to_vec());
                self.edit(&venue, &[&keys.venue], |signed| signed["targets"]["packs/evil.tgz"] = json!(evil));
                self.announce(|_| ());
            }
            PackTampered | PackShorter | PackLonger | PackOlder | PackMissing => {
                let path = last_pack();
                match attack {
                    PackTampered => self.spoil(&path, |bytes| bytes[0] ^= 1),
                    PackShorter => self.spoil(&path, |bytes| bytes.truncate(bytes.len().saturating_sub(1))),
                    PackLonger => self.spoil(&path, |bytes| bytes.push(b'!')),
                    PackOlder => drop(self.files.insert(path, pack(1))),
                    _ => drop(self.files.remove(&path)),
                }
            }
        }
    }
}
