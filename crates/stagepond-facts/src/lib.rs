//! Settings JSON into the facts the module is given, and the names that stand for its positions. It
//! reads and checks; it must never decide, nor know which host asks.

use anyhow::{anyhow, bail, Result};
use serde_json::Value;
use stagepond::host::*;

/// The names that stand on the wire for the module's positions.
pub struct Names {
    pub operations: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
}

pub fn at<'a>(settings: &'a Value, path: &str) -> Result<&'a Value> {
    settings.pointer(path).ok_or_else(|| anyhow!("settings: {path} is missing"))
}

pub fn number(settings: &Value, path: &str) -> Result<f64> {
    at(settings, path)?.as_f64().ok_or_else(|| anyhow!("settings: {path} is not a number"))
}

pub fn yes(settings: &Value, path: &str) -> Result<bool> {
    at(settings, path)?.as_bool().ok_or_else(|| anyhow!("settings: {path} is not true or false"))
}

pub fn word<'a>(settings: &'a Value, path: &str) -> Result<&'a str> {
    at(settings, path)?.as_str().ok_or_else(|| anyhow!("settings: {path} is not a text"))
}

pub fn list<'a>(settings: &'a Value, path: &str) -> Result<&'a Vec<Value>> {
    at(settings, path)?.as_array().ok_or_else(|| anyhow!("settings: {path} is not a list"))
}

fn operation(settings: &Value) -> Result<Operation> {
    let retry_safety = match word(settings, "/repeat")? {
        "pure" => RetrySafety::Idempotent,
        "token" => RetrySafety::Fingerprinted,
        "side_effect" => RetrySafety::SideEffecting,
        other => bail!("settings: /repeat is {other:?}"),
    };
    let dedup_scope = match settings.pointer("/group").and_then(Value::as_str).unwrap_or("all") {
        "all" => DedupScope::All,
        "zone" => DedupScope::Zone,
        "cell" => DedupScope::Cell,
        other => bail!("settings: /group is {other:?}"),
    };
    let window = settings.pointer("/window_ms").and_then(Value::as_f64).unwrap_or(0.0);
    Ok(Operation {
        retry_safety,
        dedup_scope,
        slo_time: Tenths::floor_ms(number(settings, "/aim_ms")?),
        dedup_window: Tenths::floor_ms(window),
        billed_value: number(settings, "/worth")?,
    })
}

pub fn read(s: &Value) -> Result<(Facts, Names)> {
    let ms = |path: &str| number(s, path).map(Tenths::floor_ms);
    let names = |path: &str| -> Result<Vec<String>> {
        list(s, path)?.iter().map(|c| Ok(word(c, "/name")?.to_string())).collect()
    };
    let zones: Vec<String> =
        list(s, "/zones")?.iter().filter_map(|z| z.as_str().map(str::to_string)).collect();
    let kinds: Vec<String> =
        list(s, "/skus")?.iter().filter_map(|k| k.as_str().map(str::to_string)).collect();
    let here = word(s, "/zone")?;
    let zone =
        zones.iter().position(|z| z == here).ok_or_else(|| anyhow!("settings: /zone is not in /zones"))?;
    let initial_cap = list(s, "/family_info/caps")?.first().and_then(Value::as_f64).unwrap_or(0.0);
    let facts = Facts {
        own_peer: Peer(number(s, "/self_index")? as usize),
        sidecar_count: number(s, "/fleet_size")? as usize,
        zone: Zone(zone),
        machine_kinds: kinds.len(),
        operations: list(s, "/classes")?.iter().map(operation).collect::<Result<_>>()?,
        billed_value_per_work: word(s, "/worth_by")? == "work",
        max_dispatches: number(s, "/bounds/max_attempts")? as usize,
        parallel_dispatches: yes(s, "/bounds/parallel_tries")?,
        cancel_allowed: yes(s, "/bounds/cancel")?,
        peer_messages: yes(s, "/bounds/peers")?,
        cross_zone_price: number(s, "/prices/cross_zone")?,
        max_retry_after: if yes(s, "/bounds/retry_after")? {
            ms("/bounds/max_retry_after_ms")?
        } else {
            Tenths(0)
        },
        initial_cap,
        cap_burst: number(s, "/family_info/spare_tries")?,
        cap_per_operation: word(s, "/family_info/counts")? == "class",
        idempotent_only_stages: number(s, "/family_info/guarded_stages")? as u32,
        sticky_keys: yes(s, "/family_info/no_return")?,
        votes_advance: word(s, "/family_info/vote_mode")? != "timer",
        min_stage_time: ms("/family_info/least_stage_ms")?,
        vote_ttl: ms("/family_info/ballot_ttl_ms")?,
        vote_timeout: ms("/family_info/vote_wait_ms")?,
        flag_share: number(s, "/family_info/flag_share")?,
        cold_capacity_share: number(s, "/guarantees/cold_share")?,
        warmup_time: ms("/guarantees/ramp_time_ms")?,
        overload_multiple: number(s, "/guarantees/fall_multiple")?,
        must_subscribe: word(s, "/membership_mode")? == "subscribe",
    };
    Ok((facts, Names { operations: names("/classes")?, zones, kinds }))
}
