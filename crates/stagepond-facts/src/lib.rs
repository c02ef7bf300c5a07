//! Reads a deployment's settings, a JSON document, into the [`Facts`] that the decision module is given, and
//! the [`Names`] by which hosts refer to the module's indexes.
//!
//! The crate is shared by the sidecar and the simulator's adapter: it reads and checks values, takes no
//! decisions and does not depend on which host calls it. Paths are JSON pointers (RFC 6901). Every error
//! names the path at fault; within `/classes` it is relative to the element.

use anyhow::{anyhow, bail, Result};
use serde_json::Value;
use stagepond::host::*;

/// Largest count that a setting may give.
const MAX_COUNT: u64 = 1_000_000;

/// Names used on the wire for indexes of the decision module; the name of index `i` is element `i`.
pub struct Names {
    /// Names of operations, indexed by [`Op`].
    pub operations: Vec<String>,
    /// Names of zones, indexed by [`Zone`].
    pub zones: Vec<String>,
    /// Names of machine kinds, indexed by [`MachineKind`].
    pub machine_kinds: Vec<String>,
}

/// The value at `path`.
///
/// # Errors
/// If there is none.
pub fn value_at<'a>(settings: &'a Value, path: &str) -> Result<&'a Value> {
    settings.pointer(path).ok_or_else(|| anyhow!("settings: {path} is missing"))
}

/// The number at `path`.
///
/// # Errors
/// If the value is missing or not a number.
pub fn number_at(settings: &Value, path: &str) -> Result<f64> {
    value_at(settings, path)?.as_f64().ok_or_else(|| anyhow!("settings: {path} is not a number"))
}

/// The boolean at `path`.
///
/// # Errors
/// If the value is missing or neither true nor false.
pub fn bool_at(settings: &Value, path: &str) -> Result<bool> {
    value_at(settings, path)?.as_bool().ok_or_else(|| anyhow!("settings: {path} is not true or false"))
}

/// The string at `path`.
///
/// # Errors
/// If the value is missing or not a string.
pub fn string_at<'a>(settings: &'a Value, path: &str) -> Result<&'a str> {
    value_at(settings, path)?.as_str().ok_or_else(|| anyhow!("settings: {path} is not a string"))
}

/// The list at `path`.
///
/// # Errors
/// If the value is missing or not a list.
pub fn list_at<'a>(settings: &'a Value, path: &str) -> Result<&'a Vec<Value>> {
    value_at(settings, path)?.as_array().ok_or_else(|| anyhow!("settings: {path} is not a list"))
}

/// The number at `path`, or `default` if there is no value.
fn number_or(settings: &Value, path: &str, default: f64) -> Result<f64> {
    settings.pointer(path).map_or(Ok(default), |_| number_at(settings, path))
}

/// The whole number from 0 to `max` at `path`.
fn count_at(settings: &Value, path: &str, max: u64) -> Result<u64> {
    let value = value_at(settings, path)?;
    // Whole numbers may be written with a decimal point.
    let whole = value.as_f64().filter(|number| number.fract() == 0.0 && (0.0..=max as f64).contains(number));
    whole
        .map(|number| number as u64)
        .ok_or_else(|| anyhow!("settings: {path} is {value}, expected a whole number from 0 to {max}"))
}

/// The string at `path`, which has to be one of `words`.
fn word_at<'a>(settings: &'a Value, path: &str, words: &[&str]) -> Result<&'a str> {
    let word = string_at(settings, path)?;
    if !words.contains(&word) {
        bail!("settings: {path} is {word:?}, expected one of {words:?}");
    }
    Ok(word)
}

/// The strings of the list at `path`. An element of another type would shift the positions of the others.
fn strings_at(settings: &Value, path: &str) -> Result<Vec<String>> {
    let string = |(index, value): (usize, &Value)| match value.as_str() {
        Some(text) => Ok(text.to_string()),
        None => bail!("settings: {path}/{index} is {value}, expected a string"),
    };
    list_at(settings, path)?.iter().enumerate().map(string).collect()
}

/// Parses one element of `/classes`. Paths in its errors are relative to that element.
fn parse_operation(settings: &Value) -> Result<Operation> {
    let retry_safety = match string_at(settings, "/repeat")? {
        "pure" => RetrySafety::Idempotent,
        "token" => RetrySafety::Fingerprinted,
        "side_effect" => RetrySafety::SideEffecting,
        other => {
            bail!(r#"settings: /repeat is {other:?}, expected "pure", "token" or "side_effect""#)
        }
    };
    let group = settings.pointer("/group").map_or(Ok("all"), |_| string_at(settings, "/group"))?;
    let dedup_scope = match group {
        "all" => DedupScope::All,
        "zone" => DedupScope::Zone,
        "cell" => DedupScope::Cell,
        other => bail!(r#"settings: /group is {other:?}, expected "all", "zone" or "cell""#),
    };
    let dedup_window_ms = number_or(settings, "/window_ms", 0.0)?;
    Ok(Operation {
        retry_safety,
        dedup_scope,
        slo_time: Tenths::floor_ms(number_at(settings, "/aim_ms")?),
        dedup_window: Tenths::floor_ms(dedup_window_ms),
        billed_value: number_at(settings, "/worth")?,
    })
}

/// Reads the settings of a deployment. Values whose names end in `_ms` are milliseconds, rounded down to a
/// tenth. Paths that are not read here are ignored.
///
/// # Errors
/// If a required value is missing, has the wrong type or is not one of the values expected.
pub fn parse_settings(settings: &Value) -> Result<(Facts, Names)> {
    let number = |path: &str| number_at(settings, path);
    let boolean = |path: &str| bool_at(settings, path);
    let string = |path: &str| string_at(settings, path);
    let millis = |path: &str| number_at(settings, path).map(Tenths::floor_ms);
    let names_of = |path: &str| -> Result<Vec<String>> {
        list_at(settings, path)?.iter().map(|entry| Ok(string_at(entry, "/name")?.to_string())).collect()
    };
    let word = |path: &str, words: &[&str]| word_at(settings, path, words);
    let zones = strings_at(settings, "/zones")?;
    let machine_kinds = strings_at(settings, "/skus")?;
    let own_zone = string("/zone")?;
    let zone = zones
        .iter()
        .position(|zone| zone == own_zone)
        .ok_or_else(|| anyhow!("settings: /zone is {own_zone:?}, which is not in /zones"))?;
    let classes = list_at(settings, "/classes")?;
    let time_limits_ms: Vec<f64> =
        classes.iter().map(|class| number_or(class, "/deadline_ms", 0.0)).collect::<Result<_>>()?;
    let caps = list_at(settings, "/family_info/caps")?;
    let initial_cap = if caps.is_empty() { 0.0 } else { number("/family_info/caps/0")? };
    let facts = Facts {
        own_peer: Peer(count_at(settings, "/self_index", MAX_COUNT)? as usize),
        sidecar_count: count_at(settings, "/fleet_size", MAX_COUNT)? as usize,
        zone: Zone(zone),
        machine_kinds: machine_kinds.len(),
        operations: classes.iter().map(parse_operation).collect::<Result<_>>()?,
        longest_time_limit: Tenths::floor_ms(time_limits_ms.into_iter().fold(0.0, f64::max)),
        billed_value_per_work: word("/worth_by", &["request", "work"])? == "work",
        max_dispatches: count_at(settings, "/bounds/max_attempts", MAX_COUNT)? as usize,
        parallel_dispatches: boolean("/bounds/parallel_tries")?,
        cancel_allowed: boolean("/bounds/cancel")?,
        peer_messages: boolean("/bounds/peers")?,
        cross_zone_price: number("/prices/cross_zone")?,
        max_retry_after: if boolean("/bounds/retry_after")? {
            millis("/bounds/max_retry_after_ms")?
        } else {
            Tenths(0)
        },
        initial_cap,
        cap_burst: number("/family_info/spare_tries")?,
        cap_per_operation: word("/family_info/counts", &["all", "class"])? == "class",
        idempotent_only_stages: count_at(settings, "/family_info/guarded_stages", MAX_COUNT)? as u32,
        sticky_keys: boolean("/family_info/no_return")?,
        votes_advance: word("/family_info/vote_mode", &["any", "share", "timer"])? != "timer",
        min_stage_time: millis("/family_info/least_stage_ms")?,
        vote_ttl: millis("/family_info/ballot_ttl_ms")?,
        vote_timeout: millis("/family_info/vote_wait_ms")?,
        flag_share: number("/family_info/flag_share")?,
        cold_capacity_share: number("/guarantees/cold_share")?,
        warmup_time: millis("/guarantees/ramp_time_ms")?,
        overload_multiple: number("/guarantees/fall_multiple")?,
        must_subscribe: word("/membership_mode", &["automatic", "subscribe"])? == "subscribe",
    };
    Ok((facts, Names { operations: names_of("/classes")?, zones, machine_kinds }))
}
