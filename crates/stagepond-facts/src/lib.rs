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
    let repeat = match word(settings, "/repeat")? {
        "pure" => Repeat::Idempotent,
        "token" => Repeat::Fingerprinted,
        "side_effect" => Repeat::SideEffecting,
        other => bail!("settings: /repeat is {other:?}"),
    };
    let group = match settings.pointer("/group").and_then(Value::as_str).unwrap_or("all") {
        "all" => Group::All,
        "zone" => Group::Zone,
        "cell" => Group::Cell,
        other => bail!("settings: /group is {other:?}"),
    };
    let window = settings.pointer("/window_ms").and_then(Value::as_f64).unwrap_or(0.0);
    Ok(Operation {
        repeat,
        group,
        slo_time: Tenths::floor(number(settings, "/aim_ms")?),
        repeat_window: Tenths::floor(window),
        billed_value: number(settings, "/worth")?,
    })
}

pub fn read(s: &Value) -> Result<(Facts, Names)> {
    let ms = |path: &str| number(s, path).map(Tenths::floor);
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
    let first_cap = list(s, "/family_info/caps")?.first().and_then(Value::as_f64).unwrap_or(0.0);
    let facts = Facts {
        me: Peer(number(s, "/self_index")? as usize),
        sidecars: number(s, "/fleet_size")? as usize,
        zone: Zone(zone),
        kinds: kinds.len(),
        operations: list(s, "/classes")?.iter().map(operation).collect::<Result<_>>()?,
        value_by_work: word(s, "/worth_by")? == "work",
        dispatches_max: number(s, "/bounds/max_attempts")? as usize,
        second_copies: yes(s, "/bounds/parallel_tries")?,
        may_cancel: yes(s, "/bounds/cancel")?,
        peers: yes(s, "/bounds/peers")?,
        crossing_price: number(s, "/prices/cross_zone")?,
        stay_away_max: if yes(s, "/bounds/retry_after")? {
            ms("/bounds/max_retry_after_ms")?
        } else {
            Tenths(0)
        },
        first_cap,
        spare: number(s, "/family_info/spare_tries")?,
        cap_by_operation: word(s, "/family_info/counts")? == "class",
        guarded_stages: number(s, "/family_info/guarded_stages")? as u32,
        one_way_keys: yes(s, "/family_info/no_return")?,
        votes_move: word(s, "/family_info/vote_mode")? != "timer",
        stage_min: ms("/family_info/least_stage_ms")?,
        vote_life: ms("/family_info/ballot_ttl_ms")?,
        vote_wait: ms("/family_info/vote_wait_ms")?,
        flag_share: number(s, "/family_info/flag_share")?,
        cold_share: number(s, "/guarantees/cold_share")?,
        warm_after: ms("/guarantees/ramp_time_ms")?,
        fall_multiple: number(s, "/guarantees/fall_multiple")?,
        must_subscribe: word(s, "/membership_mode")? == "subscribe",
    };
    Ok((facts, Names { operations: names("/classes")?, zones, kinds }))
}
