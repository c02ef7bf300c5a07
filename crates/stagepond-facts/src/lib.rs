//! Reads a deployment's settings, a JSON document, into the [`Facts`] that the decision module is given, and
//! the [`Names`] by which hosts refer to the module's indexes.
//!
//! The crate is shared by the sidecar and the simulator's adapter: it reads and checks values, takes no
//! decisions and does not depend on which host calls it. Paths are JSON pointers (RFC 6901). Every error
//! names the path at fault; within `/classes` it is relative to the element.

use anyhow::{anyhow, bail, Result};
use serde_json::Value;
use stagepond::host::*;

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
    let dedup_scope = match settings.pointer("/group").and_then(Value::as_str).unwrap_or("all") {
        "all" => DedupScope::All,
        "zone" => DedupScope::Zone,
        "cell" => DedupScope::Cell,
        other => bail!(r#"settings: /group is {other:?}, expected "all", "zone" or "cell""#),
    };
    let dedup_window_ms = settings.pointer("/window_ms").and_then(Value::as_f64).unwrap_or(0.0);
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
    let strings_of = |path: &str| -> Result<Vec<String>> {
        Ok(list_at(settings, path)?.iter().filter_map(|name| name.as_str().map(str::to_string)).collect())
    };
    let zones = strings_of("/zones")?;
    let machine_kinds = strings_of("/skus")?;
    let own_zone = string("/zone")?;
    let zone = zones
        .iter()
        .position(|zone| zone == own_zone)
        .ok_or_else(|| anyhow!("settings: /zone is {own_zone:?}, which is not in /zones"))?;
    let classes = list_at(settings, "/classes")?;
    let time_limits_ms = classes.iter().filter_map(|class| class.pointer("/deadline_ms")?.as_f64());
    let initial_cap = list_at(settings, "/family_info/caps")?.first().and_then(Value::as_f64).unwrap_or(0.0);
    let facts = Facts {
        own_peer: Peer(number("/self_index")? as usize),
        sidecar_count: number("/fleet_size")? as usize,
        zone: Zone(zone),
        machine_kinds: machine_kinds.len(),
        operations: classes.iter().map(parse_operation).collect::<Result<_>>()?,
        longest_time_limit: Tenths::floor_ms(time_limits_ms.fold(0.0, f64::max)),
        billed_value_per_work: string("/worth_by")? == "work",
        max_dispatches: number("/bounds/max_attempts")? as usize,
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
        cap_per_operation: string("/family_info/counts")? == "class",
        idempotent_only_stages: number("/family_info/guarded_stages")? as u32,
        sticky_keys: boolean("/family_info/no_return")?,
        votes_advance: string("/family_info/vote_mode")? != "timer",
        min_stage_time: millis("/family_info/least_stage_ms")?,
        vote_ttl: millis("/family_info/ballot_ttl_ms")?,
        vote_timeout: millis("/family_info/vote_wait_ms")?,
        flag_share: number("/family_info/flag_share")?,
        cold_capacity_share: number("/guarantees/cold_share")?,
        warmup_time: millis("/guarantees/ramp_time_ms")?,
        overload_multiple: number("/guarantees/fall_multiple")?,
        must_subscribe: string("/membership_mode")? == "subscribe",
    };
    Ok((facts, Names { operations: names_of("/classes")?, zones, machine_kinds }))
}
