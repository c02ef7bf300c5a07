//! What the program is started with: environment and configuration JSON into typed values, each fault named
//! by its field, at the start and once more when it may have been replaced. It must never listen, connect or guess at a value that is missing.

use std::net::SocketAddr;

use anyhow::{anyhow, bail, Context, Result};
use serde::Deserialize;
use serde_json::Value;
use stagepond::host::{Build, Facts, Phase, Tenths};
use stagepond_facts::Names;

use crate::discovery;
use crate::messages::{PodList, ReloadableConfig, RolloutStatus, ServiceAddresses};
use crate::operators::Operators;

/// What the transport takes from the settings; the module's part is in `Facts`.
#[derive(Clone, Copy, Debug)]
pub struct Transport {
    pub connect_timeout: Tenths,
    pub idle_close: Tenths,
    pub sockets: usize,
    pub memory: usize,
}

pub struct Launch {
    pub name: String,
    pub listen: SocketAddr,
    pub places: ServiceAddresses,
    pub seed: u64,
    pub peer_listen: Option<SocketAddr>,
    pub peers: Vec<SocketAddr>,
    pub peers_all: Option<SocketAddr>,
    pub standing: Option<RolloutStatus>,
    pub known: PodList,
    pub facts: Facts,
    pub names: Names,
    pub transport: Transport,
    /// What the operators' own file switches on.
    pub operators: Operators,
    /// What the settings switch on and this program does not have.
    pub missing: Vec<&'static str>,
}

#[derive(Deserialize)]
struct Form {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    seed: String,
    limits: Limits,
    peer_listen: Option<String>,
    #[serde(default)]
    peers: Vec<String>,
    peers_all: Option<String>,
    pipeline: Option<Pipeline>,
    known: Option<Value>,
    settings: Value,
}

/// The least that a deployment gives, where the configuration does not say.
const MEMORY_MB: usize = 32;

#[derive(Deserialize)]
struct Limits {
    sockets: usize,
    memory_mb: Option<usize>,
}

#[derive(Deserialize)]
struct Pipeline {
    address: String,
    news: Option<StandingForm>,
}

/// How the platform words a standing: in the configuration, its stream and its answers.
#[derive(Deserialize)]
pub struct StandingForm {
    build: u16,
    stage: u32,
    phase: String,
    cap: f64,
    #[serde(default)]
    age_ms: f64,
}

impl StandingForm {
    pub fn read(self) -> Result<RolloutStatus> {
        let phase = match self.phase.as_str() {
            "Progressing" => Phase::Trial,
            "Aborting" => Phase::GoingBack,
            "Healthy" => Phase::Released,
            "Aborted" => Phase::Withdrawn,
            other => bail!("phase: {other:?} is unknown"),
        };
        if !(0.0..=1.0).contains(&self.cap) {
            bail!("cap: {} is not from 0 to 1", self.cap);
        }
        if !(0.0..1e12).contains(&self.age_ms) {
            bail!("age_ms: {} is no time", self.age_ms);
        }
        let since = Tenths::floor_ms(self.age_ms);
        Ok(RolloutStatus { build: Build(self.build), stage: self.stage, phase, cap: self.cap, age: since })
    }
}

impl Launch {
    /// What of it may change while the program runs.
    pub fn changes(self) -> ReloadableConfig {
        ReloadableConfig { addresses: self.places, leadership: self.operators.leadership }
    }
}

fn address(field: &str, text: &str) -> Result<SocketAddr> {
    text.parse().map_err(|_| anyhow!("{field}: {text:?} is not an address with a port"))
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reading {
    Start,
    /// The environment still names the discovery of the start, so here the file goes before it.
    Again,
}

/// The configuration, with what the environment says of it in front.
pub fn read(text: &str, env: impl Fn(&str) -> Option<String>, reading: Reading) -> Result<Launch> {
    let form: Form = serde_json::from_str(text).context("configuration")?;
    let given = |field: &str, variable: &str, value: Option<String>| {
        env(variable).or(value).ok_or_else(|| anyhow!("{field}: missing, and {variable} is not set"))
    };
    let optional =
        |field: &str, text: &Option<String>| text.as_deref().map(|t| address(field, t)).transpose();
    let (facts, names) = stagepond_facts::parse_settings(&form.settings)?;
    let ms = |path: &str| stagepond_facts::number_at(&form.settings, path).map(Tenths::floor_ms);
    let on = |path: &str| match form.settings.pointer(path) {
        Some(Value::Bool(on)) => *on,
        Some(Value::Number(n)) => n.as_f64() != Some(0.0),
        Some(Value::String(word)) => word == "pull",
        _ => false,
    };
    let streams = |operation: &Value| operation.pointer("/streaming") == Some(&Value::Bool(true));
    if stagepond_facts::list_at(&form.settings, "/classes")?.iter().any(streams) {
        bail!("settings: /classes: streamed answers are not there on sockets");
    }
    if facts.sticky_keys {
        bail!("settings: /family_info/no_return: keys that never go back are not there on sockets");
    }
    if facts.own_peer.0 >= facts.sidecar_count {
        bail!("settings: /self_index is not below /fleet_size");
    }
    let peers: Vec<SocketAddr> =
        form.peers.iter().map(|peer| address("peers", peer)).collect::<Result<_>>()?;
    let peer_listen = optional("peer_listen", &form.peer_listen)?;
    if facts.peer_messages && (peers.len() != facts.sidecar_count || peer_listen.is_none()) {
        bail!("peers: {} for a fleet of {}, or peer_listen is missing", peers.len(), facts.sidecar_count);
    }
    if form.limits.sockets < 64 {
        bail!("limits.sockets: {} leaves no room for clients and pods", form.limits.sockets);
    }
    let known = match form.known {
        Some(known) => discovery::decode_list(known, &names).context("known")?,
        None => PodList { index: 0, is_snapshot: true, pods: Vec::new() },
    };
    let absent = [
        ("/bounds/probing", "probes"),
        ("/family_info/tally_every_ms", "tallies"),
        ("/report/how", "load reports that must be asked for"),
    ];
    let discovery = match reading {
        Reading::Again if form.discovery.is_some() => form.discovery.unwrap_or_default(),
        _ => given("discovery", "BALANCER_DISCOVERY", form.discovery)?,
    };
    let seed = u64::from_str_radix(&form.seed, 16);
    let (platform, news) = match form.pipeline {
        Some(pipeline) => (Some(address("pipeline.address", &pipeline.address)?), pipeline.news),
        None => (None, None),
    };
    Ok(Launch {
        name: given("name", "BALANCER_NAME", form.name)?,
        listen: address("listen", &given("listen", "BALANCER_LISTEN", form.listen)?)?,
        places: ServiceAddresses { discovery: address("discovery", &discovery)?, platform },
        seed: seed.map_err(|_| anyhow!("seed: {:?} is not a 64 bit number in hex", form.seed))?,
        peer_listen,
        peers,
        peers_all: optional("peers_all", &form.peers_all)?,
        standing: news.map(StandingForm::read).transpose().context("pipeline.news")?,
        known: PodList { is_snapshot: true, ..known },
        transport: Transport {
            connect_timeout: ms("/bounds/connect_timeout_ms")?,
            idle_close: ms("/bounds/idle_close_ms")?,
            sockets: form.limits.sockets,
            memory: form.limits.memory_mb.unwrap_or(MEMORY_MB) << 20,
        },
        operators: Operators::default(),
        missing: absent.iter().filter(|(path, _)| on(path)).map(|(_, what)| *what).collect(),
        facts,
        names,
    })
}
