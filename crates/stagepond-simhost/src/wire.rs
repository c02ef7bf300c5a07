//! The simulator's line protocol: reads event lines, calls the decision module and writes its effects as
//! action lines.
//!
//! A line is the name of an event or action and its fields, separated by single spaces; `-` stands for an
//! absent value. A batch is `BATCH now`, any number of events and `GO`; it is answered by the actions in order
//! and `ACK`. A pod list precedes the events that refer to its number: `INVENTORY list entries`, then as many
//! `ROW` lines as it has entries.
//!
//! Times are in milliseconds with a fraction. They are rounded down to a tenth, so that no deadline is
//! exceeded; start times of pods are rounded up, so that no pod counts as older than it is.

use std::collections::HashMap;
use std::fmt::{Display, Write as _};
use std::io::{BufRead, Write};
use std::str::FromStr;

use anyhow::{anyhow, bail, Context, Result};
use base64::{engine::general_purpose::STANDARD, Engine};
use stagepond::balance::Balancer;
use stagepond::host::*;
use stagepond_facts::Names;

/// Largest absolute value of a time, in milliseconds.
const MAX_TIME_MS: f64 = 1e13;

/// One simulated sidecar.
struct Instance {
    balancer: Balancer,
    names: Names,
}

/// One `ROW` line. Zone and machine kind are still names, since the index of a name depends on the
/// settings of the instance that the list goes to.
struct PodEntry {
    machine_kind: String,
    started_at: Option<Tenths>,
    pod: PodId,
    zone: String,
    availability: Availability,
    cell: Cell,
    weight: f64,
    build: Build,
}

/// Numbered pod lists as last announced by `INVENTORY`.
type PodLists = HashMap<u32, Vec<PodEntry>>;

/// A pod list of which not all `ROW` lines have been read.
struct OpenList {
    list: u32,
    missing_rows: usize,
}

/// State of the adapter between lines.
#[derive(Default)]
struct Adapter {
    /// Time of the batch being read.
    now: Tenths,
    /// Running instances by sidecar number.
    instances: HashMap<u32, Instance>,
    pod_lists: PodLists,
}

/// The fields of one line, taken in order. Errors name the field.
struct Fields<'a> {
    rest: Option<&'a str>,
}

impl<'a> Fields<'a> {
    /// The next field as text.
    fn text(&mut self, field: &str) -> Result<&'a str> {
        let rest = self.rest.ok_or_else(|| anyhow!("field {field}: missing"))?;
        let (text, rest) = match rest.split_once(' ') {
            Some((first, rest)) => (first, Some(rest)),
            None => (rest, None),
        };
        self.rest = rest;
        if text.is_empty() {
            bail!("field {field}: empty");
        }
        Ok(text)
    }

    /// The next field, `None` if it is `-`.
    fn optional(&mut self, field: &str) -> Result<Option<&'a str>> {
        Ok(Some(self.text(field)?).filter(|w| *w != "-"))
    }

    /// The next field, parsed as `T`.
    fn parse<T: FromStr>(&mut self, field: &str) -> Result<T>
    where
        T::Err: Display,
    {
        let text = self.text(field)?;
        text.parse().map_err(|e| anyhow!("field {field}: {text:?}: {e}"))
    }

    /// The next field as a time in milliseconds.
    fn millis(&mut self, field: &str) -> Result<f64> {
        let ms: f64 = self.parse(field)?;
        if !ms.is_finite() || ms.abs() > MAX_TIME_MS {
            bail!("field {field}: {ms} is not a time of at most {MAX_TIME_MS:e} ms");
        }
        Ok(ms)
    }

    /// The next field, `1` or `0`, as a boolean.
    fn flag(&mut self, field: &str) -> Result<bool> {
        match self.text(field)? {
            "1" => Ok(true),
            "0" => Ok(false),
            other => bail!("field {field}: {other:?} is neither 1 nor 0"),
        }
    }

    /// The next field as the code of an ending.
    fn ending(&mut self, field: &str) -> Result<Ending> {
        Ok(match self.text(field)? {
            "1" => Ending::Succeeded,
            "2" => Ending::Error,
            "3" => Ending::Full,
            "4" => Ending::TimedOut,
            "5" => Ending::NoConnection,
            "6" => Ending::Reset,
            "7" => Ending::Cancelled,
            "8" => Ending::Moot,
            other => bail!("field {field}: {other:?} is not the code of an ending, 1 to 8"),
        })
    }

    /// The next field as an index into `names`.
    fn index_in(&mut self, field: &str, names: &[String]) -> Result<usize> {
        let text = self.text(field)?;
        names
            .iter()
            .position(|name| name == text)
            .ok_or_else(|| anyhow!("field {field}: {text:?} is not in the settings"))
    }

    /// The next field as the identifier of an invocation.
    fn inv(&mut self) -> Result<InvId> {
        Ok(InvId(self.text("ref")?.into()))
    }

    /// The number of requests in flight that the pod reported, if any: the value of `rif` among the
    /// comma-separated `name:value` pairs of the next field.
    fn in_flight(&mut self) -> Result<Option<f64>> {
        let Some(pairs) = self.optional("gauge")? else { return Ok(None) };
        let mut found = None;
        for pair in pairs.split(',') {
            let (name, value) =
                pair.split_once(':').ok_or_else(|| anyhow!("field gauge: {pair:?} is not name:value"))?;
            let value: f64 = value.parse().map_err(|e| anyhow!("field gauge: {pair:?}: {e}"))?;
            if name == "rif" && value.is_finite() {
                found = Some(value);
            }
        }
        Ok(found)
    }

    /// All fields of a `ROW` line.
    fn pod_entry(&mut self) -> Result<PodEntry> {
        let machine_kind = self.text("family_type")?.to_string();
        let start_ms: Option<f64> = match self.optional("start_time_ms")? {
            None | Some("0") => None,
            Some(ms) => Some(ms.parse().map_err(|e| anyhow!("field start_time_ms: {ms:?}: {e}"))?),
        };
        let pod = PodId(self.parse("pod")?);
        let zone = self.text("area")?.to_string();
        let availability = match self.text("availability")? {
            "U" => Availability::Up,
            "L" => Availability::Draining,
            "D" => Availability::Gone,
            other => bail!("field availability: {other:?} is none of U, L, D"),
        };
        let cell = Cell(self.optional("cell")?.unwrap_or("0").parse().context("field cell")?);
        let weight = self.optional("capacity_hint")?.unwrap_or("1").parse().context("field capacity_hint")?;
        let build: f64 = self.optional("runs")?.unwrap_or("0").parse().context("field runs")?;
        Ok(PodEntry {
            machine_kind,
            started_at: start_ms.filter(|ms| *ms > 0.0).map(Tenths::ceil_ms),
            pod,
            zone,
            availability,
            cell,
            weight,
            build: Build(build as u16),
        })
    }
}

/// Writes the effects of one instance as action lines.
struct ActionWriter<'a> {
    now: Tenths,
    sidecar: u32,
    output: &'a mut String,
}

/// Milliseconds with one decimal.
fn format_ms(time: Tenths) -> String {
    format!("{}{}.{}", if time.0 < 0 { "-" } else { "" }, time.0.abs() / 10, time.0.abs() % 10)
}

impl ActionWriter<'_> {
    fn write_action(&mut self, action: &str, fields: std::fmt::Arguments) {
        let _ = writeln!(self.output, "{action} {} {fields}", self.sidecar);
    }
}

impl Host for ActionWriter<'_> {
    fn now(&self) -> Tenths {
        self.now
    }
    fn dispatch(&mut self, inv: &InvId, pod: PodId, until: Tenths) {
        self.write_action("DELIVER", format_args!("{} {} {}", inv.0, pod.0, format_ms(until)));
    }
    fn throttle(&mut self, inv: &InvId, retry_after: Tenths) {
        self.write_action("DENY", format_args!("{} {}", inv.0, format_ms(retry_after)));
    }
    fn terminate(&mut self, inv: &InvId) {
        self.write_action("FAIL", format_args!("{}", inv.0));
    }
    fn cancel(&mut self, inv: &InvId, nth: usize) {
        self.write_action("UNDO_SEND", format_args!("{} {nth}", inv.0));
    }
    fn set_timer(&mut self, delay: Tenths, token: u64) {
        self.write_action("SET_TIMER", format_args!("{} {token}", format_ms(delay)));
    }
    fn probe(&mut self, pod: PodId) {
        self.write_action("TOUCH", format_args!("{}", pod.0));
    }
    fn close_idle_connections(&mut self, pod: PodId) {
        self.write_action("DROP_CONNS", format_args!("{}", pod.0));
    }
    fn send_to_peer(&mut self, to: Option<Peer>, payload: &[u8]) {
        let raw = if payload.is_empty() { "-".to_string() } else { STANDARD.encode(payload) };
        match to {
            Some(Peer(peer)) => self.write_action("POST", format_args!("{peer} {raw}")),
            None => self.write_action("POST", format_args!("-1 {raw}")),
        }
    }
    fn vote(&mut self, build: Build, stage: u32, verdict: Verdict) {
        let sense = match verdict {
            Verdict::On => 1,
            Verdict::Hold => 2,
            Verdict::Back => 3,
        };
        self.write_action("VOTE", format_args!("{} {stage} {sense}", build.0));
    }
    fn withdraw_vote(&mut self, build: Build, stage: u32) {
        self.write_action("VOTE", format_args!("{} {stage} 0", build.0));
    }
    fn subscribe(&mut self, wanted: bool) {
        self.write_action("TAIL", format_args!("{}", u8::from(wanted)));
    }
    fn reload_pod_list(&mut self) {
        // Without fields the line must not end in a space.
        let _ = writeln!(self.output, "RELOAD {}", self.sidecar);
    }
    fn log(&mut self, message: &str) {
        self.write_action("TRACE", format_args!("{message}"));
    }
}

impl Adapter {
    /// Handles one event line: the event called `name` with its fields.
    fn handle_event(&mut self, name: &str, fields: &mut Fields, output: &mut String) -> Result<()> {
        let sidecar: u32 = fields.parse("sidecar")?;
        let mut actions = ActionWriter { now: self.now, sidecar, output };
        if name == "START" {
            let seed: i128 = fields.parse("nonce64")?;
            let settings = serde_json::from_str(fields.rest.unwrap_or_default()).context("settings")?;
            let (facts, names) = stagepond_facts::parse_settings(&settings)?;
            let mut balancer = Balancer::new(facts, seed as u64);
            balancer.start(&mut actions);
            self.instances.insert(sidecar, Instance { balancer, names });
            return Ok(());
        }
        if name == "RETIRE" {
            self.instances.remove(&sidecar);
            return Ok(());
        }
        let instance = self
            .instances
            .get_mut(&sidecar)
            .ok_or_else(|| anyhow!("field sidecar: {sidecar} is not running; it needs a START first"))?;
        let host = &mut actions;
        match name {
            "DISCOVERY" => return instance.on_discovery(fields, &self.pod_lists, host),
            "STAGE" => return instance.on_stage(fields, host),
            _ => {}
        }
        let Instance { balancer, names } = instance;
        match name {
            "INGRESS" => {
                let inv = fields.inv()?;
                let key = fields.optional("object")?;
                let key = key.map(|k| u64::from_str_radix(k, 16)).transpose().context("field object")?;
                let op = Op(fields.index_in("qos", &names.operations)?);
                let until = Tenths::floor_ms(fields.millis("client_deadline_ms")?);
                let _: u64 = fields.parse("marks")?;
                fields.optional("org")?;
                balancer.on_invocation(host, inv, key.map(KeyId), op, until);
            }
            "REPORT_BACK" => {
                let inv = fields.inv()?;
                let last = fields.flag("last")?;
                let nth = fields.parse("send_no")?;
                let took = Tenths::floor_ms(fields.millis("elapsed_ms")?);
                let _: u32 = fields.parse("pod")?;
                let ending = fields.ending("ending")?;
                balancer.on_outcome(host, &inv, last, nth, took, ending, fields.in_flight()?);
            }
            // The client has the head of an answer already, so the invocation needs no other.
            "HEAD_RECEIVED" => balancer.on_abort(host, &fields.inv()?),
            "ABORTED" => balancer.on_abort(host, &fields.inv()?),
            "BELL" => balancer.on_timer(host, fields.parse("token")?),
            // No decision uses probe results or tallies (`DIGEST`): their fields are checked, and the module
            // is only notified that time has passed.
            "CHECK_RESULT" => {
                let _: u32 = fields.parse("pod")?;
                fields.ending("ending")?;
                fields.millis("elapsed_ms")?;
                fields.in_flight()?;
                balancer.on_timer(host, 0);
            }
            "MAIL" => {
                let from = Peer(fields.parse("src")?);
                let raw = fields.optional("raw")?;
                let payload = raw.map(|raw| STANDARD.decode(raw)).transpose().context("field raw")?;
                balancer.on_peer_message(host, from, &payload.unwrap_or_default());
            }
            "DIGEST" => {
                let _: u16 = fields.parse("build")?;
                fields.index_in("qos", &names.operations)?;
                let _: u32 = fields.parse("samples")?;
                let _: u32 = fields.parse("failed")?;
                fields.optional("elapsed_ms")?;
                fields.millis("since_ms")?;
                balancer.on_timer(host, 0);
            }
            "OBJECTION" => {
                let pod = PodId(fields.parse("pod")?);
                let op = Op(fields.index_in("qos", &names.operations)?);
                let since = Tenths::floor_ms(fields.millis("since_ms")?);
                balancer.on_objection(host, pod, op, since);
            }
            other => bail!("unknown event {other:?}"),
        }
        Ok(())
    }
}

impl Instance {
    /// `DISCOVERY`: a pod list, resolved by its number, or the failure of its source.
    fn on_discovery(
        &mut self, fields: &mut Fields, pod_lists: &PodLists, host: &mut ActionWriter,
    ) -> Result<()> {
        let Instance { balancer, names } = self;
        let mode = fields.text("mode")?;
        let _: u64 = fields.parse("gen")?;
        let complete = match mode {
            "Error" => {
                balancer.on_pod_list_failure(host);
                return Ok(());
            }
            "Partial" => false,
            "Complete" | "Persisted" => true,
            other => bail!("field mode: {other:?} is none of Complete, Persisted, Partial, Error"),
        };
        let list: u32 = fields.parse("list")?;
        let entries = pod_lists
            .get(&list)
            .ok_or_else(|| anyhow!("field list: no INVENTORY has announced list {list}"))?;
        balancer.begin_pod_list(complete);
        for entry in entries {
            let zone = names.zones.iter().position(|name| *name == entry.zone);
            let zone =
                Zone(zone.ok_or_else(|| anyhow!("field area: {:?} is not in the settings", entry.zone))?);
            let kind = names.machine_kinds.iter().position(|name| *name == entry.machine_kind);
            let kind = MachineKind(kind.ok_or_else(|| {
                anyhow!("field family_type: {:?} is not in the settings", entry.machine_kind)
            })?);
            balancer.on_pod(
                entry.pod,
                kind,
                zone,
                entry.availability,
                entry.cell,
                entry.weight,
                entry.started_at,
                entry.build,
            );
        }
        balancer.end_pod_list(host);
        Ok(())
    }

    /// `STAGE`: the platform's report of a release, or its answer to a vote.
    fn on_stage(&mut self, fields: &mut Fields, host: &mut ActionWriter) -> Result<()> {
        let build = fields.optional("build")?;
        let stage = fields.optional("stage")?;
        let since = fields.optional("since_ms")?;
        let phase = fields.optional("standing")?;
        let to_vote = fields.flag("sense")?;
        let cap = fields.optional("exposure")?;
        let ending = fields.ending("ending")?;
        // The report's numbers are present only if the ending is 1 (succeeded).
        let number = |field: &str, value: Option<&str>| -> Result<f64> {
            let text = value.filter(|_| ending == Ending::Succeeded).unwrap_or("0");
            text.parse().map_err(|e| anyhow!("field {field}: {text:?}: {e}"))
        };
        let phase = match number("standing", phase)? as u32 {
            0 => Phase::Trial,
            1 => Phase::GoingBack,
            2 => Phase::Released,
            3 => Phase::Withdrawn,
            other => bail!("field standing: {other} is not the code of a phase, 0 to 3"),
        };
        let build = Build(number("build", build)? as u16);
        let stage = number("stage", stage)? as u32;
        let since = Tenths::floor_ms(number("since_ms", since)?);
        let cap = number("exposure", cap)?;
        self.balancer.on_stage(host, build, stage, since, phase, to_vote, cap, ending);
        Ok(())
    }
}

/// Reads `input` to its end and answers each batch on `output`.
///
/// # Errors
/// If a line is malformed, refers to something unknown or is outside a batch, or if reading or writing
/// fails. The error names the line.
pub fn run(mut input: impl BufRead, mut output: impl Write) -> Result<()> {
    let mut adapter = Adapter::default();
    let (mut line, mut actions) = (String::new(), String::new());
    let mut line_number = 0u64;
    // The pod list being read.
    let mut open_list: Option<OpenList> = None;
    let mut in_batch = false;
    loop {
        line.clear();
        if input.read_line(&mut line).with_context(|| format!("line {}", line_number + 1))? == 0 {
            if in_batch {
                bail!("line {line_number}: the input ended inside a batch");
            }
            return Ok(());
        }
        line_number += 1;
        let location = || format!("line {line_number}");
        let trimmed = line.trim_end_matches(['\n', '\r']);
        let (name, rest) = match trimmed.split_once(' ') {
            Some((name, rest)) => (name, Some(rest)),
            None => (trimmed, None),
        };
        let mut fields = Fields { rest };
        if let Some(OpenList { list, missing_rows }) = open_list {
            if name != "ROW" {
                bail!("line {line_number}: {name:?} found, but {missing_rows} more ROW lines were announced");
            }
            let entry = fields.pod_entry().with_context(location)?;
            adapter.pod_lists.get_mut(&list).expect("INVENTORY has created the list").push(entry);
            open_list = (missing_rows > 1).then_some(OpenList { list, missing_rows: missing_rows - 1 });
            continue;
        }
        match name {
            "BATCH" if !in_batch => {
                adapter.now = Tenths::floor_ms(fields.millis("now").with_context(location)?);
                in_batch = true;
            }
            "GO" if in_batch => {
                actions.push_str("ACK\n");
                output.write_all(actions.as_bytes())?;
                output.flush()?;
                actions.clear();
                in_batch = false;
            }
            "INVENTORY" if in_batch => {
                let list = fields.parse("list").with_context(location)?;
                let entries: usize = fields.parse("entries").with_context(location)?;
                adapter.pod_lists.insert(list, Vec::new());
                open_list = (entries > 0).then_some(OpenList { list, missing_rows: entries });
            }
            _ if in_batch => adapter
                .handle_event(name, &mut fields, &mut actions)
                .with_context(|| format!("line {line_number}: {name}"))?,
            other => bail!("line {line_number}: {other:?} outside a batch"),
        }
    }
}
