//! The operators' file (JSON5): settings that the deployment's configuration does not have. Reads and checks
//! the file and the key files that it names; each error names the field at fault. Keys are never logged, and
//! a value that would be unsafe is never guessed. A section that the file does not have is switched off.

use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

use anyhow::{anyhow, bail, Context, Result};
use serde::Deserialize;
use stagepond::host::{Build, Facts, Op, RetrySafety, Tenths};
use stagepond_facts::Names;
use stagepond_leadership::ids::Seat;
use stagepond_leadership::seal::{Key, KeySet};
use stagepond_leadership::settings::Settings;
use stagepond_tuf::client::VersionFloors;
use stagepond_tuf::metadata::Version;

use crate::state_files;
use crate::verification::{ExpiredMetadataPolicy, ResponseVerifier, VerificationConfig};

/// Longest time setting in ms: one day.
const MAX_TIME_MS: f64 = 86_400_000.0;
const MAX_KEY_FILE_BYTES: u64 = 4096;
/// Permission bits of the group and of others.
const GROUP_AND_OTHERS: u32 = 0o077;
const DEFAULT_REFRESH_MS: f64 = 60_000.0;
const MIN_REFRESH_INTERVAL: Tenths = Tenths::ms(1000);

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct OperatorsFile {
    leadership: Option<LeadershipSection>,
    tuf: Option<TufSection>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct LeadershipSection {
    key: KeyEntry,
    #[serde(default)]
    also: Vec<AcceptedKeyEntry>,
    voters: Option<usize>,
    pool: Option<Vec<u16>>,
    #[serde(default)]
    absent: Vec<u16>,
    hold_ms: Option<f64>,
    drift: Option<f64>,
    margin_ms: Option<f64>,
    act_within_ms: Option<f64>,
    round_trip_ms: Option<f64>,
    probe_every_ms: Option<f64>,
    replace_after_ms: Option<f64>,
    prefer_low: Option<bool>,
    steady_ms: Option<f64>,
    state: Option<PathBuf>,
    #[serde(default)]
    widen_by_decree: bool,
    #[serde(default)]
    frozen: Vec<u16>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct TufSection {
    operation: String,
    targets: String,
    metadata: String,
    root: PathBuf,
    state: Option<PathBuf>,
    refresh_ms: Option<f64>,
    go_on_ended_ms: Option<f64>,
    #[serde(default)]
    floors: FloorsSection,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct FloorsSection {
    root: u64,
    timestamp: u64,
    snapshot: u64,
    targets: u64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct KeyEntry {
    number: u8,
    file: PathBuf,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct AcceptedKeyEntry {
    number: u8,
    file: PathBuf,
    for_ms: f64,
}

/// The keys that authenticate leadership datagrams.
#[derive(Clone, Debug)]
pub struct KeyRing {
    /// The key that seals outgoing datagrams.
    pub sealing_key: Key,
    /// Other keys accepted on incoming datagrams, each for a time from the reading of the file.
    pub accepted_keys: Vec<(Key, Tenths)>,
}

impl KeyRing {
    /// The protocol's key set for a file that was read at `now`.
    pub fn keys_at(&self, now: Tenths) -> KeySet {
        let mut keys = KeySet::new(self.sealing_key.clone());
        for (key, accepted_for) in &self.accepted_keys {
            keys.accept(key.clone(), now + *accepted_for);
        }
        keys
    }
}

/// The checked `leadership` section.
#[derive(Clone, Debug)]
pub struct LeadershipConfig {
    /// Parameters of the protocol.
    pub settings: Settings,
    /// Keys of the datagrams.
    pub key_ring: KeyRing,
    /// File of the voter's persistent state. Without one, a restarted process counts as a new voter.
    pub state_file: Option<PathBuf>,
    /// Whether the share of a trial may grow past the first stage only by a committed command.
    pub widen_by_decree: bool,
    /// Builds whose trial must not grow; the leader proposes the commands for it.
    pub frozen_builds: Vec<Build>,
}

/// The checked `tuf` section: an operation whose responses are verified against signed metadata.
#[derive(Clone, Debug)]
pub struct TufConfig {
    /// Settings of the verification.
    pub verification: VerificationConfig,
    /// File of the trusted metadata, if it is to outlive a restart.
    pub state_file: Option<PathBuf>,
}

/// The checked operators' file; a section that it does not have is `None`.
#[derive(Clone, Debug, Default)]
pub struct OperatorsConfig {
    /// Leadership among the sidecars.
    pub leadership: Option<LeadershipConfig>,
    /// Verification of one operation's responses.
    pub tuf: Option<TufConfig>,
}

/// Reads a key file. Only its owner may have access: anyone who can read the key can forge datagrams of any
/// instance.
fn read_key(field: &str, number: u8, file: &Path, directory: &Path) -> Result<Key> {
    let path = directory.join(file);
    let context = || format!("{field}: {}", path.display());
    let metadata = std::fs::metadata(&path).with_context(context)?;
    if !metadata.is_file() {
        bail!("{}: expected a regular file", context());
    }
    if metadata.mode() & GROUP_AND_OTHERS != 0 {
        bail!(
            "{}: mode {:o} gives access to others than the owner; run chmod 600",
            context(),
            metadata.mode() & 0o777
        );
    }
    if metadata.len() > MAX_KEY_FILE_BYTES {
        bail!("{}: {} bytes, expected at most {MAX_KEY_FILE_BYTES}", context(), metadata.len());
    }
    let secret = std::fs::read(&path).with_context(context)?;
    let secret = secret.trim_ascii_end();
    Key::new(number, secret)
        .ok_or_else(|| anyhow!("{}: a key of {} bytes, expected at least 32", context(), secret.len()))
}

fn parse_time(field: &str, ms: f64) -> Result<Tenths> {
    if !(0.0..=MAX_TIME_MS).contains(&ms) {
        bail!("{field}: {ms} is not a time in ms from 0 to {MAX_TIME_MS}");
    }
    Ok(Tenths::floor_ms(ms))
}

fn check_leadership(section: LeadershipSection, facts: &Facts, directory: &Path) -> Result<LeadershipConfig> {
    if !facts.peer_messages {
        bail!("leadership: the settings do not allow datagrams between instances (bounds.peers is false)");
    }
    let seats = u16::try_from(facts.sidecar_count).map_err(|_| {
        anyhow!("leadership: {} instances, expected at most {}", facts.sidecar_count, u16::MAX)
    })?;
    let mut settings = Settings::default_for(seats);
    let set_time = |field: &str, setting: &mut Tenths, ms: Option<f64>| -> Result<()> {
        if let Some(ms) = ms {
            *setting = parse_time(&format!("leadership.{field}"), ms)?;
        }
        Ok(())
    };
    set_time("hold_ms", &mut settings.hold_time, section.hold_ms)?;
    set_time("margin_ms", &mut settings.lease_margin, section.margin_ms)?;
    set_time("act_within_ms", &mut settings.max_grant_time, section.act_within_ms)?;
    set_time("round_trip_ms", &mut settings.round_trip, section.round_trip_ms)?;
    set_time("probe_every_ms", &mut settings.probe_interval, section.probe_every_ms)?;
    set_time("replace_after_ms", &mut settings.replace_after, section.replace_after_ms)?;
    set_time("steady_ms", &mut settings.min_transfer_interval, section.steady_ms)?;
    settings.clock_drift = section.drift.unwrap_or(settings.clock_drift);
    settings.prefer_lowest_seat = section.prefer_low.unwrap_or(settings.prefer_lowest_seat);
    settings.voter_count = section.voters.unwrap_or(settings.voter_count);
    if let Some(pool) = section.pool {
        settings.pool = pool.into_iter().map(Seat).collect();
    }
    settings.absent = section.absent.into_iter().map(Seat).collect();
    settings.durable = section.state.is_some();
    let settings = settings.validate().map_err(|error| anyhow!("leadership.{error}"))?;
    let sealing_key = read_key("leadership.key.file", section.key.number, &section.key.file, directory)?;
    let accepted_keys = read_accepted_keys(section.also, &sealing_key, directory)?;
    Ok(LeadershipConfig {
        settings,
        key_ring: KeyRing { sealing_key, accepted_keys },
        state_file: section.state.map(|file| directory.join(file)),
        widen_by_decree: section.widen_by_decree,
        frozen_builds: section.frozen.into_iter().map(Build).collect(),
    })
}

fn read_accepted_keys(
    entries: Vec<AcceptedKeyEntry>, sealing_key: &Key, directory: &Path,
) -> Result<Vec<(Key, Tenths)>> {
    let mut keys = Vec::new();
    for (index, entry) in entries.into_iter().enumerate() {
        let field = format!("leadership.also[{index}]");
        if entry.number == sealing_key.number() {
            bail!("{field}.number: {} is already the number of leadership.key", entry.number);
        }
        let accepted_for = parse_time(&format!("{field}.for_ms"), entry.for_ms)?;
        let key = read_key(&format!("{field}.file"), entry.number, &entry.file, directory)?;
        keys.push((key, accepted_for));
    }
    Ok(keys)
}

fn check_tuf(section: TufSection, facts: &Facts, names: &Names, directory: &Path) -> Result<TufConfig> {
    let operation = names.operations.iter().position(|name| *name == section.operation);
    let operation = operation
        .with_context(|| format!("tuf.operation: {:?} is not in the settings", section.operation))?;
    if facts.operations[operation].retry_safety != RetrySafety::Idempotent {
        bail!(
            "tuf.operation: {:?} is not idempotent, so an unverified answer can't be retried at another pod",
            section.operation
        );
    }
    for (field, path) in [("tuf.targets", &section.targets), ("tuf.metadata", &section.metadata)] {
        if !path.starts_with('/') || !path.ends_with('/') || path.parse::<hyper::Uri>().is_err() {
            bail!("{field}: {path:?} is not a URL path that begins and ends with /");
        }
    }
    let root_path = directory.join(&section.root);
    let root = std::fs::read(&root_path).with_context(|| format!("tuf.root: {}", root_path.display()))?;
    let state_file = section.state.map(|file| directory.join(file));
    let stored_state = state_file.as_deref().map(state_files::read_trusted_metadata).transpose()?.flatten();
    let refresh_interval = parse_time("tuf.refresh_ms", section.refresh_ms.unwrap_or(DEFAULT_REFRESH_MS))?;
    if refresh_interval < MIN_REFRESH_INTERVAL {
        bail!(
            "tuf.refresh_ms: {}, expected at least {}",
            refresh_interval.0 / 10,
            MIN_REFRESH_INTERVAL.0 / 10
        );
    }
    let expired_policy = match section.go_on_ended_ms {
        Some(ms) => ExpiredMetadataPolicy::UseFor(parse_time("tuf.go_on_ended_ms", ms)?),
        None => ExpiredMetadataPolicy::Refuse,
    };
    let floors = VersionFloors {
        root: Version(section.floors.root),
        timestamp: Version(section.floors.timestamp),
        snapshot: Version(section.floors.snapshot),
        targets: Version(section.floors.targets),
    };
    let verification = VerificationConfig {
        operation: Op(operation),
        target_prefix: section.targets,
        metadata_prefix: section.metadata,
        root,
        stored_state,
        refresh_interval,
        expired_policy,
        floors,
    };
    // Fails at startup, and not with the first verified response, if the root or the stored metadata is bad.
    ResponseVerifier::new(Tenths(0), verification.clone(), 0)
        .map_err(|error| anyhow!("tuf.root: {error}"))?;
    Ok(TufConfig { verification, state_file })
}

/// Reads and checks the operators' file. Relative paths in it are resolved against its own directory.
///
/// # Errors
///
/// Each error names the operators' file and the field at fault.
pub fn read(path: &Path, facts: &Facts, names: &Names) -> Result<OperatorsConfig> {
    let context = || path.display().to_string();
    let text = std::fs::read_to_string(path).with_context(context)?;
    let file: OperatorsFile = {
        let mut deserializer = json5::Deserializer::from_str(&text);
        serde_path_to_error::deserialize(&mut deserializer).map_err(|error| {
            let field = error.path().to_string();
            let field = if field == "." { String::new() } else { format!("{field}: ") };
            anyhow!("{}: {field}{}", context(), error.into_inner())
        })?
    };
    let directory = path.parent().unwrap_or(Path::new("."));
    let leadership = file
        .leadership
        .map(|section| check_leadership(section, facts, directory))
        .transpose()
        .with_context(context)?;
    let tuf = file
        .tuf
        .map(|section| check_tuf(section, facts, names, directory))
        .transpose()
        .with_context(context)?;
    Ok(OperatorsConfig { leadership, tuf })
}

#[cfg(test)]
mod tests {
    use std::os::unix::fs::PermissionsExt;

    use rstest::rstest;

    use super::*;

    fn facts() -> Facts {
        Facts { sidecar_count: 3, peer_messages: true, ..Facts::default() }
    }

    fn names() -> Names {
        Names { operations: vec![], zones: vec![], machine_kinds: vec![] }
    }

    /// Writes an operators' file, with one key file that only its owner can read and one that others can.
    fn write_file(text: &str) -> (tempfile::TempDir, PathBuf) {
        let directory = tempfile::tempdir().unwrap();
        for (name, mode) in [("good.key", 0o600), ("open.key", 0o644)] {
            let path = directory.path().join(name);
            std::fs::write(&path, "0123456789abcdef0123456789abcdef\n").unwrap();
            std::fs::set_permissions(&path, std::fs::Permissions::from_mode(mode)).unwrap();
        }
        let path = directory.path().join("operators.json5");
        std::fs::write(&path, text).unwrap();
        (directory, path)
    }

    #[rstest]
    fn comments_are_skipped_and_missing_fields_get_defaults() {
        let (_directory, path) =
            write_file("{ leadership: { key: { number: 1, file: 'good.key' }, /* yes */ hold_ms: 900, } }");
        let config = read(&path, &facts(), &names()).unwrap().leadership.unwrap();
        assert_eq!(config.settings.hold_time, Tenths::ms(900));
        assert!(!format!("{config:?}").contains("0123"), "the Debug output must not contain a key");
        let (_directory, path) = write_file("{}");
        assert!(read(&path, &facts(), &names()).unwrap().leadership.is_none());
    }

    #[rstest]
    #[case::unknown_field(
        "{ leadership: { key: { number: 1, file: 'good.key' }, holds_ms: 1 } }",
        "holds_ms"
    )]
    #[case::wrong_type(
        "{ leadership: { key: { number: 'one', file: 'good.key' } } }",
        "leadership.key.number"
    )]
    #[case::syntax_error("{\n leadership: {\n key: }", "line 3")]
    #[case::hold_too_short(
        "{ leadership: { key: { number: 1, file: 'good.key' }, hold_ms: 300 } }",
        "leadership.hold_ms"
    )]
    #[case::negative_time(
        "{ leadership: { key: { number: 1, file: 'good.key' }, margin_ms: -1 } }",
        "leadership.margin_ms"
    )]
    #[case::seat_out_of_range(
        "{ leadership: { key: { number: 1, file: 'good.key' }, pool: [0, 1, 7] } }",
        "leadership.pool"
    )]
    #[case::key_readable_by_others("{ leadership: { key: { number: 1, file: 'open.key' } } }", "chmod 600")]
    #[case::missing_key_file(
        "{ leadership: { key: { number: 1, file: 'none.key' } } }",
        "leadership.key.file"
    )]
    #[case::duplicate_key_number("{ leadership: { key: { number: 1, file: 'good.key' }, also: [{ number: 1, file: 'good.key', for_ms: 1 }] } }", "leadership.also[0].number")]
    fn errors_name_the_field_at_fault(#[case] text: &str, #[case] expected: &str) {
        let (_directory, path) = write_file(text);
        let error = format!("{:#}", read(&path, &facts(), &names()).unwrap_err());
        assert!(error.contains(expected), "{error}");
    }
}
