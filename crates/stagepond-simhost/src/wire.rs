//! Lines in, calls out; effects back as lines.

use std::collections::HashMap;
use std::fmt::{Display, Write as _};
use std::io::{BufRead, Write};
use std::str::FromStr;

use anyhow::{anyhow, bail, Context, Result};
use base64::{engine::general_purpose::STANDARD, Engine};
use stagepond::balance::Balancer;
use stagepond::host::*;
use stagepond_facts::Names;

struct Instance {
    balancer: Balancer,
    names: Names,
}

type Row = (String, Option<Tenths>, PodId, String, Availability, Cell, f64, Build);

#[derive(Default)]
struct Wire {
    now: Tenths,
    instances: HashMap<u32, Instance>,
    lists: HashMap<u32, Vec<Row>>,
}

/// The parts of one line, taken in order.
struct Parts<'a> {
    rest: Option<&'a str>,
}

impl<'a> Parts<'a> {
    fn word(&mut self, field: &str) -> Result<&'a str> {
        let rest = self.rest.ok_or_else(|| anyhow!("field {field}: missing"))?;
        let (word, rest) = match rest.split_once(' ') {
            Some((word, rest)) => (word, Some(rest)),
            None => (rest, None),
        };
        self.rest = rest;
        if word.is_empty() {
            bail!("field {field}: empty");
        }
        Ok(word)
    }

    fn given(&mut self, field: &str) -> Result<Option<&'a str>> {
        Ok(Some(self.word(field)?).filter(|w| *w != "-"))
    }

    fn parse<T: FromStr>(&mut self, field: &str) -> Result<T>
    where
        T::Err: Display,
    {
        let word = self.word(field)?;
        word.parse().map_err(|e| anyhow!("field {field}: {word:?}: {e}"))
    }

    fn millis(&mut self, field: &str) -> Result<f64> {
        let ms: f64 = self.parse(field)?;
        if !ms.is_finite() || ms.abs() > 1e13 {
            bail!("field {field}: {ms} is no time");
        }
        Ok(ms)
    }

    fn yes(&mut self, field: &str) -> Result<bool> {
        match self.word(field)? {
            "1" => Ok(true),
            "0" => Ok(false),
            other => bail!("field {field}: {other:?} is neither 1 nor 0"),
        }
    }

    fn ending(&mut self, field: &str) -> Result<Ending> {
        Ok(match self.word(field)? {
            "1" => Ending::Succeeded,
            "2" => Ending::Error,
            "3" => Ending::Full,
            "4" => Ending::TimedOut,
            "5" => Ending::NoConnection,
            "6" => Ending::Reset,
            "7" => Ending::Cancelled,
            "8" => Ending::Moot,
            other => bail!("field {field}: {other:?} is no ending"),
        })
    }

    fn position(&mut self, field: &str, names: &[String]) -> Result<usize> {
        let word = self.word(field)?;
        names
            .iter()
            .position(|n| n == word)
            .ok_or_else(|| anyhow!("field {field}: {word:?} is not in the settings"))
    }

    fn inv(&mut self) -> Result<InvId> {
        Ok(InvId(self.word("ref")?.into()))
    }

    /// The reported number of invocations in work, where the report has one.
    fn in_flight(&mut self) -> Result<Option<f64>> {
        let Some(pairs) = self.given("gauge")? else { return Ok(None) };
        let mut found = None;
        for pair in pairs.split(',') {
            let (name, value) =
                pair.split_once(':').ok_or_else(|| anyhow!("field gauge: {pair:?} is no pair"))?;
            let value: f64 = value.parse().map_err(|e| anyhow!("field gauge: {pair:?}: {e}"))?;
            if name == "rif" && value.is_finite() {
                found = Some(value);
            }
        }
        Ok(found)
    }

    fn row(&mut self) -> Result<Row> {
        let kind = self.word("family_type")?.to_string();
        let born = match self.given("start_time_ms")? {
            None | Some("0") => None,
            Some(ms) => Some(ms.parse().map_err(|e| anyhow!("field start_time_ms: {ms:?}: {e}"))?),
        };
        let pod = PodId(self.parse("pod")?);
        let zone = self.word("area")?.to_string();
        let availability = match self.word("availability")? {
            "U" => Availability::Up,
            "L" => Availability::Draining,
            "D" => Availability::Gone,
            other => bail!("field availability: {other:?} is none of U, L, D"),
        };
        let cell = Cell(self.given("cell")?.unwrap_or("0").parse().context("field cell")?);
        let weight = self.given("capacity_hint")?.unwrap_or("1").parse().context("field capacity_hint")?;
        let runs: f64 = self.given("runs")?.unwrap_or("0").parse().context("field runs")?;
        Ok((
            kind,
            born.filter(|ms| *ms > 0.0).map(Tenths::ceil_ms),
            pod,
            zone,
            availability,
            cell,
            weight,
            Build(runs as u16),
        ))
    }
}

/// The module's way out: effects as action lines of one instance.
struct Out<'a> {
    now: Tenths,
    sidecar: u32,
    text: &'a mut String,
}

fn ms(t: Tenths) -> String {
    format!("{}{}.{}", if t.0 < 0 { "-" } else { "" }, t.0.abs() / 10, t.0.abs() % 10)
}

impl Out<'_> {
    fn line(&mut self, name: &str, rest: std::fmt::Arguments) {
        let _ = writeln!(self.text, "{name} {} {rest}", self.sidecar);
    }
}

impl Host for Out<'_> {
    fn now(&self) -> Tenths {
        self.now
    }
    fn dispatch(&mut self, inv: &InvId, pod: PodId, until: Tenths) {
        self.line("DELIVER", format_args!("{} {} {}", inv.0, pod.0, ms(until)));
    }
    fn throttle(&mut self, inv: &InvId, stay_away: Tenths) {
        self.line("DENY", format_args!("{} {}", inv.0, ms(stay_away)));
    }
    fn terminate(&mut self, inv: &InvId) {
        self.line("FAIL", format_args!("{}", inv.0));
    }
    fn cancel(&mut self, inv: &InvId, nth: usize) {
        self.line("UNDO_SEND", format_args!("{} {nth}", inv.0));
    }
    fn set_timer(&mut self, delay: Tenths, token: u64) {
        self.line("SET_TIMER", format_args!("{} {token}", ms(delay)));
    }
    fn probe(&mut self, pod: PodId) {
        self.line("TOUCH", format_args!("{}", pod.0));
    }
    fn close_idle_connections(&mut self, pod: PodId) {
        self.line("DROP_CONNS", format_args!("{}", pod.0));
    }
    fn send_to_peer(&mut self, to: Option<Peer>, words: &[u8]) {
        let raw = if words.is_empty() { "-".to_string() } else { STANDARD.encode(words) };
        match to {
            Some(Peer(peer)) => self.line("POST", format_args!("{peer} {raw}")),
            None => self.line("POST", format_args!("-1 {raw}")),
        }
    }
    fn vote(&mut self, build: Build, stage: u32, verdict: Verdict) {
        let sense = match verdict {
            Verdict::On => 1,
            Verdict::Hold => 2,
            Verdict::Back => 3,
        };
        self.line("VOTE", format_args!("{} {stage} {sense}", build.0));
    }
    fn withdraw_vote(&mut self, build: Build, stage: u32) {
        self.line("VOTE", format_args!("{} {stage} 0", build.0));
    }
    fn subscribe(&mut self, wanted: bool) {
        self.line("TAIL", format_args!("{}", u8::from(wanted)));
    }
    fn reload_pod_list(&mut self) {
        let _ = writeln!(self.text, "RELOAD {}", self.sidecar);
    }
    fn log(&mut self, words: &str) {
        self.line("TRACE", format_args!("{words}"));
    }
}

impl Wire {
    fn event(&mut self, name: &str, parts: &mut Parts, text: &mut String) -> Result<()> {
        let sidecar: u32 = parts.parse("sidecar")?;
        let mut out = Out { now: self.now, sidecar, text };
        if name == "START" {
            let seed: i128 = parts.parse("nonce64")?;
            let settings = serde_json::from_str(parts.rest.unwrap_or_default()).context("settings")?;
            let (facts, names) = stagepond_facts::read(&settings)?;
            let mut balancer = Balancer::new(facts, seed as u64);
            balancer.start(&mut out);
            self.instances.insert(sidecar, Instance { balancer, names });
            return Ok(());
        }
        if name == "RETIRE" {
            self.instances.remove(&sidecar);
            return Ok(());
        }
        let instance = self.instances.get_mut(&sidecar);
        let Instance { balancer, names } =
            instance.ok_or_else(|| anyhow!("field sidecar: {sidecar} was never started"))?;
        let host = &mut out;
        match name {
            "DISCOVERY" => {
                let mode = parts.word("mode")?;
                let _: u64 = parts.parse("gen")?;
                let whole = match mode {
                    "Error" => {
                        balancer.on_pod_list_failure(host);
                        return Ok(());
                    }
                    "Partial" => false,
                    "Complete" | "Persisted" => true,
                    other => bail!("field mode: {other:?} is unknown"),
                };
                let list: u32 = parts.parse("list")?;
                let rows = self.lists.get(&list).ok_or_else(|| anyhow!("field list: no list {list}"))?;
                balancer.begin_pod_list(whole);
                for (kind, born, pod, area, availability, cell, weight, build) in rows {
                    let zone = names.zones.iter().position(|z| z == area);
                    let zone =
                        Zone(zone.ok_or_else(|| anyhow!("field area: {area:?} is not in the settings"))?);
                    let kind = names.kinds.iter().position(|k| k == kind);
                    let kind =
                        MachineKind(kind.ok_or_else(|| anyhow!("field family_type: not in the settings"))?);
                    balancer.on_pod(*pod, kind, zone, *availability, *cell, *weight, *born, *build);
                }
                balancer.end_pod_list(host);
            }
            "INGRESS" => {
                let inv = parts.inv()?;
                let key = parts.given("object")?;
                let key = key.map(|k| u64::from_str_radix(k, 16)).transpose().context("field object")?;
                let op = Op(parts.position("qos", &names.operations)?);
                let until = Tenths::floor_ms(parts.millis("client_deadline_ms")?);
                let _: u64 = parts.parse("marks")?;
                parts.given("org")?;
                balancer.on_invocation(host, inv, key.map(KeyId), op, until);
            }
            "REPORT_BACK" => {
                let inv = parts.inv()?;
                let last = parts.yes("last")?;
                let nth = parts.parse("send_no")?;
                let took = Tenths::floor_ms(parts.millis("elapsed_ms")?);
                let _: u32 = parts.parse("pod")?;
                let ending = parts.ending("ending")?;
                balancer.on_outcome(host, &inv, last, nth, took, ending, parts.in_flight()?);
            }
            "HEAD_RECEIVED" => balancer.on_abort(host, &parts.inv()?),
            "ABORTED" => balancer.on_abort(host, &parts.inv()?),
            "BELL" => balancer.on_timer(host, parts.parse("token")?),
            // Probe results and tallies are read by no decision: for the module, time passes.
            "CHECK_RESULT" => {
                let _: u32 = parts.parse("pod")?;
                parts.ending("ending")?;
                parts.millis("elapsed_ms")?;
                parts.in_flight()?;
                balancer.on_timer(host, 0);
            }
            "MAIL" => {
                let from = Peer(parts.parse("src")?);
                let raw = parts.given("raw")?.map(|r| STANDARD.decode(r)).transpose().context("field raw")?;
                balancer.on_peer_message(host, from, &raw.unwrap_or_default());
            }
            "STAGE" => {
                let fields = ["build", "stage", "since_ms", "standing"];
                let [build, stage, since, standing] = [
                    parts.given(fields[0])?,
                    parts.given(fields[1])?,
                    parts.given(fields[2])?,
                    parts.given(fields[3])?,
                ];
                let to_vote = parts.yes("sense")?;
                let cap = parts.given("exposure")?;
                let ending = parts.ending("ending")?;
                let figure = |field: &str, given: Option<&str>| -> Result<f64> {
                    // Only an answer of 1 carries figures.
                    let word = given.filter(|_| ending == Ending::Succeeded).unwrap_or("0");
                    word.parse().map_err(|e| anyhow!("field {field}: {word:?}: {e}"))
                };
                let phase = match figure(fields[3], standing)? as u32 {
                    0 => Phase::Trial,
                    1 => Phase::GoingBack,
                    2 => Phase::Released,
                    3 => Phase::Withdrawn,
                    other => bail!("field standing: {other} is unknown"),
                };
                let build = Build(figure(fields[0], build)? as u16);
                let stage = figure(fields[1], stage)? as u32;
                let since = Tenths::floor_ms(figure(fields[2], since)?);
                balancer.on_stage(
                    host,
                    build,
                    stage,
                    since,
                    phase,
                    to_vote,
                    figure("exposure", cap)?,
                    ending,
                );
            }
            "DIGEST" => {
                let _: u16 = parts.parse("build")?;
                parts.position("qos", &names.operations)?;
                let _: (u32, u32) = (parts.parse("samples")?, parts.parse("failed")?);
                parts.given("elapsed_ms")?;
                parts.millis("since_ms")?;
                balancer.on_timer(host, 0);
            }
            "OBJECTION" => {
                let pod = PodId(parts.parse("pod")?);
                let op = Op(parts.position("qos", &names.operations)?);
                let since = Tenths::floor_ms(parts.millis("since_ms")?);
                balancer.on_objection(host, pod, op, since);
            }
            other => bail!("{other:?} is no event"),
        }
        Ok(())
    }
}

pub fn run(mut input: impl BufRead, mut output: impl Write) -> Result<()> {
    let mut wire = Wire::default();
    let (mut line, mut text) = (String::new(), String::new());
    let mut number = 0u64;
    let mut rows: Option<(u32, usize)> = None;
    let mut inside = false;
    loop {
        line.clear();
        if input.read_line(&mut line).with_context(|| format!("line {}", number + 1))? == 0 {
            if inside {
                bail!("line {number}: the input ended inside a batch");
            }
            return Ok(());
        }
        number += 1;
        let at = || format!("line {number}");
        let bare = line.trim_end_matches(['\n', '\r']);
        let (name, rest) = match bare.split_once(' ') {
            Some((name, rest)) => (name, Some(rest)),
            None => (bare, None),
        };
        let mut parts = Parts { rest };
        if let Some((list, left)) = rows {
            if name != "ROW" {
                bail!("line {number}: {left} more ROW lines were announced");
            }
            let row = parts.row().with_context(at)?;
            wire.lists.get_mut(&list).expect("announced").push(row);
            rows = (left > 1).then_some((list, left - 1));
            continue;
        }
        match name {
            "BATCH" if !inside => {
                wire.now = Tenths::floor_ms(parts.millis("now").with_context(at)?);
                inside = true;
            }
            "GO" if inside => {
                text.push_str("ACK\n");
                output.write_all(text.as_bytes())?;
                output.flush()?;
                text.clear();
                inside = false;
            }
            "INVENTORY" if inside => {
                let list = parts.parse("list").with_context(at)?;
                let entries: usize = parts.parse("entries").with_context(at)?;
                wire.lists.insert(list, Vec::new());
                rows = (entries > 0).then_some((list, entries));
            }
            _ if inside => {
                wire.event(name, &mut parts, &mut text).with_context(|| format!("line {number}: {name}"))?
            }
            other => bail!("line {number}: {other:?} outside a batch"),
        }
    }
}
