//! The operators' own file (JSON5): what the deployment's configuration does not know of. It owns the reading,
//! the names of fields in each error, and the keys' files; it must never log a key, nor guess at a value that
//! would be unsafe. What the file does not name is off.

use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

use anyhow::{anyhow, bail, Context, Result};
use serde::Deserialize;
use stagepond::host::{Build, Facts, Op, RetrySafety, Tenths};
use stagepond_facts::Names;
use stagepond_leadership::bounds::Bounds;
use stagepond_leadership::ids::Seat;
use stagepond_leadership::seal::{Key, Keys};
use stagepond_tuf::client::VersionFloors;
use stagepond_tuf::metadata::Version;

use crate::verifying::{Asked, Ended, Verifying};

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct Form {
    leadership: Option<LeadershipForm>,
    tuf: Option<TufForm>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct LeadershipForm {
    key: KeyForm,
    #[serde(default)]
    also: Vec<AlsoForm>,
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
struct TufForm {
    operation: String,
    targets: String,
    metadata: String,
    root: PathBuf,
    state: Option<PathBuf>,
    refresh_ms: Option<f64>,
    go_on_ended_ms: Option<f64>,
    #[serde(default)]
    floors: FloorsForm,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct FloorsForm {
    root: u64,
    timestamp: u64,
    snapshot: u64,
    targets: u64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct KeyForm {
    number: u8,
    file: PathBuf,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct AlsoForm {
    number: u8,
    file: PathBuf,
    for_ms: f64,
}

/// The key that seals, and others that are taken, each for a time from the reading on.
#[derive(Clone, Debug)]
pub struct KeyRing {
    pub sealing: Key,
    pub also: Vec<(Key, Tenths)>,
}

impl KeyRing {
    pub fn keys(&self, now: Tenths) -> Keys {
        let mut keys = Keys::new(self.sealing.clone());
        self.also.iter().for_each(|(key, lasts)| keys.accept(key.clone(), now + *lasts));
        keys
    }
}

/// Leadership as the operators want it, checked.
#[derive(Clone, Debug)]
pub struct Leadership {
    pub bounds: Bounds,
    pub ring: KeyRing,
    /// Where promises are kept; without it a process that restarts is another voter.
    pub state: Option<PathBuf>,
    /// The share of a trial grows only by a decree.
    pub widen_by_decree: bool,
    /// Builds whose trial must not grow; who leads decrees it.
    pub frozen: Vec<Build>,
}

/// An operation whose answers are checked against signed metadata.
#[derive(Clone, Debug)]
pub struct Verified {
    pub asked: Asked,
    pub state: Option<PathBuf>,
}

#[derive(Clone, Debug, Default)]
pub struct Operators {
    pub leadership: Option<Leadership>,
    pub verified: Option<Verified>,
}

/// A key is read by its owner alone: others could speak for every instance.
fn key(field: &str, number: u8, file: &Path, folder: &Path) -> Result<Key> {
    let path = folder.join(file);
    let at = || format!("{field}: {}", path.display());
    let about = std::fs::metadata(&path).with_context(at)?;
    if !about.is_file() {
        bail!("{}: is no file", at());
    }
    if about.mode() & 0o077 != 0 {
        bail!("{}: mode {:o} lets others read it; chmod 600", at(), about.mode() & 0o777);
    }
    if about.len() > 4096 {
        bail!("{}: {} bytes are no key", at(), about.len());
    }
    let secret = std::fs::read(&path).with_context(at)?;
    let secret = secret.trim_ascii_end();
    Key::new(number, secret).ok_or_else(|| anyhow!("{}: {} bytes, 32 at least", at(), secret.len()))
}

fn time(field: &str, ms: f64) -> Result<Tenths> {
    if !(0.0..=86_400_000.0).contains(&ms) {
        bail!("{field}: {ms} is no time in ms up to a day");
    }
    Ok(Tenths::floor_ms(ms))
}

fn leadership(form: LeadershipForm, facts: &Facts, folder: &Path) -> Result<Leadership> {
    if !facts.peer_messages {
        bail!("leadership: the settings allow no datagrams among instances (bounds.peers)");
    }
    let seats = u16::try_from(facts.sidecar_count).map_err(|_| anyhow!("leadership: too many instances"))?;
    let mut bounds = Bounds::usual(seats);
    let set = |field: &str, to: &mut Tenths, ms: Option<f64>| -> Result<()> {
        if let Some(ms) = ms {
            *to = time(&format!("leadership.{field}"), ms)?;
        }
        Ok(())
    };
    set("hold_ms", &mut bounds.hold, form.hold_ms)?;
    set("margin_ms", &mut bounds.margin, form.margin_ms)?;
    set("act_within_ms", &mut bounds.act_within, form.act_within_ms)?;
    set("round_trip_ms", &mut bounds.round_trip, form.round_trip_ms)?;
    set("probe_every_ms", &mut bounds.probe_every, form.probe_every_ms)?;
    set("replace_after_ms", &mut bounds.replace_after, form.replace_after_ms)?;
    set("steady_ms", &mut bounds.steady, form.steady_ms)?;
    bounds.drift = form.drift.unwrap_or(bounds.drift);
    bounds.prefer_low = form.prefer_low.unwrap_or(bounds.prefer_low);
    bounds.voters = form.voters.unwrap_or(bounds.voters);
    if let Some(pool) = form.pool {
        bounds.pool = pool.into_iter().map(Seat).collect();
    }
    bounds.absent = form.absent.into_iter().map(Seat).collect();
    bounds.durable = form.state.is_some();
    let bounds = bounds.checked().map_err(|unfit| anyhow!("leadership.{unfit}"))?;
    let sealing = key("leadership.key.file", form.key.number, &form.key.file, folder)?;
    let mut also = Vec::new();
    for (nth, form) in form.also.into_iter().enumerate() {
        let field = format!("leadership.also[{nth}]");
        if form.number == sealing.number() {
            bail!("{field}.number: {} is the sealing key's", form.number);
        }
        let lasts = time(&format!("{field}.for_ms"), form.for_ms)?;
        also.push((key(&format!("{field}.file"), form.number, &form.file, folder)?, lasts));
    }
    let state = form.state.map(|file| folder.join(file));
    let ring = KeyRing { sealing, also };
    let frozen = form.frozen.into_iter().map(Build).collect();
    Ok(Leadership { bounds, ring, state, widen_by_decree: form.widen_by_decree, frozen })
}

fn verified(form: TufForm, facts: &Facts, names: &Names, folder: &Path) -> Result<Verified> {
    let op = names.operations.iter().position(|name| *name == form.operation);
    let op = op.with_context(|| format!("tuf.operation: {:?} is not in the settings", form.operation))?;
    if facts.operations[op].retry_safety != RetrySafety::Idempotent {
        bail!(
            "tuf.operation: {:?} may not be repeated: only what is idempotent can be asked of another pod",
            form.operation
        );
    }
    for (field, path) in [("tuf.targets", &form.targets), ("tuf.metadata", &form.metadata)] {
        if !path.starts_with('/') || !path.ends_with('/') || path.parse::<hyper::Uri>().is_err() {
            bail!("{field}: {path:?} is no path from / to /");
        }
    }
    let root_at = folder.join(&form.root);
    let root = std::fs::read(&root_at).with_context(|| format!("tuf.root: {}", root_at.display()))?;
    let state = form.state.map(|file| folder.join(file));
    let kept = state.as_deref().map(crate::keeping::read_trusted).transpose()?.flatten();
    let refresh_every = time("tuf.refresh_ms", form.refresh_ms.unwrap_or(60_000.0))?;
    if refresh_every < Tenths::ms(1000) {
        bail!("tuf.refresh_ms: {} is under a second", refresh_every.0 / 10);
    }
    let ended = match form.go_on_ended_ms {
        Some(ms) => Ended::GoOn(time("tuf.go_on_ended_ms", ms)?),
        None => Ended::Refuse,
    };
    let FloorsForm { root: r, timestamp, snapshot, targets } = form.floors;
    let floors = VersionFloors {
        root: Version(r),
        timestamp: Version(timestamp),
        snapshot: Version(snapshot),
        targets: Version(targets),
    };
    let (op, targets, metadata) = (Op(op), form.targets, form.metadata);
    let asked = Asked { op, targets, metadata, root, kept, refresh_every, ended, floors };
    // Whatever is wrong with the root is told at the start, not with the first tablet.
    Verifying::new(Tenths(0), asked.clone(), 0).map_err(|why| anyhow!("tuf.root: {why}"))?;
    Ok(Verified { asked, state })
}

/// Reads the operators' file; paths in it are taken from its own folder.
pub fn read(path: &Path, facts: &Facts, names: &Names) -> Result<Operators> {
    let at = || path.display().to_string();
    let text = std::fs::read_to_string(path).with_context(at)?;
    let form: Form = {
        let mut reader = json5::Deserializer::from_str(&text);
        serde_path_to_error::deserialize(&mut reader).map_err(|error| {
            let field = error.path().to_string();
            let field = if field == "." { String::new() } else { format!("{field}: ") };
            anyhow!("{}: {field}{}", at(), error.into_inner())
        })?
    };
    let folder = path.parent().unwrap_or(Path::new("."));
    let leadership =
        form.leadership.map(|form| leadership(form, facts, folder)).transpose().with_context(at)?;
    let verified = form.tuf.map(|form| verified(form, facts, names, folder)).transpose().with_context(at)?;
    Ok(Operators { leadership, verified })
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

    fn file(text: &str) -> (tempfile::TempDir, PathBuf) {
        let folder = tempfile::tempdir().unwrap();
        for (name, mode) in [("good.key", 0o600), ("open.key", 0o644)] {
            let path = folder.path().join(name);
            std::fs::write(&path, "0123456789abcdef0123456789abcdef\n").unwrap();
            std::fs::set_permissions(&path, std::fs::Permissions::from_mode(mode)).unwrap();
        }
        let path = folder.path().join("operators.json5");
        std::fs::write(&path, text).unwrap();
        (folder, path)
    }

    #[rstest]
    fn comments_and_what_is_left_out_are_fine() {
        let (_folder, path) =
            file("{ leadership: { key: { number: 1, file: 'good.key' }, /* yes */ hold_ms: 900, } }");
        let read = read(&path, &facts(), &names()).unwrap().leadership.unwrap();
        assert_eq!(read.bounds.hold, Tenths::ms(900));
        assert!(!format!("{read:?}").contains("0123"), "a key must not be shown");
        let (_folder, path) = file("{}");
        assert!(super::read(&path, &facts(), &names()).unwrap().leadership.is_none());
    }

    #[rstest]
    #[case::no_such_field(
        "{ leadership: { key: { number: 1, file: 'good.key' }, holds_ms: 1 } }",
        "holds_ms"
    )]
    #[case::wrong_kind(
        "{ leadership: { key: { number: 'one', file: 'good.key' } } }",
        "leadership.key.number"
    )]
    #[case::broken("{\n leadership: {\n key: }", "line 3")]
    #[case::unsafe_hold(
        "{ leadership: { key: { number: 1, file: 'good.key' }, hold_ms: 300 } }",
        "leadership.hold_ms"
    )]
    #[case::no_time(
        "{ leadership: { key: { number: 1, file: 'good.key' }, margin_ms: -1 } }",
        "leadership.margin_ms"
    )]
    #[case::outside(
        "{ leadership: { key: { number: 1, file: 'good.key' }, pool: [0, 1, 7] } }",
        "leadership.pool"
    )]
    #[case::open_key("{ leadership: { key: { number: 1, file: 'open.key' } } }", "chmod 600")]
    #[case::no_key("{ leadership: { key: { number: 1, file: 'none.key' } } }", "leadership.key.file")]
    #[case::same_number("{ leadership: { key: { number: 1, file: 'good.key' }, also: [{ number: 1, file: 'good.key', for_ms: 1 }] } }", "leadership.also[0].number")]
    fn what_is_wrong_is_named(#[case] text: &str, #[case] named: &str) {
        let (_folder, path) = file(text);
        let error = format!("{:#}", read(&path, &facts(), &names()).unwrap_err());
        assert!(error.contains(named), "{error}");
    }
}
