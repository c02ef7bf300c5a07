//! Startup configuration: reads the environment and the configuration JSON into typed values, at startup and
//! again on each reload. Each error names the field at fault. Opens no sockets and assumes no value for a
//! required field that is missing.

use std::net::SocketAddr;

use anyhow::{anyhow, bail, Context, Result};
use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::Value;
use stagepond::host::{Build, Facts, Phase, Tenths};
use stagepond_facts::Names;

use crate::discovery;
use crate::messages::{PodList, ReloadableConfig, RolloutStatus, ServiceAddresses};
use crate::operators::OperatorsConfig;

/// Assumed where the configuration has no `limits.memory_mb`: the smallest memory limit of a deployment.
const DEFAULT_MEMORY_MB: usize = 32;
/// Fewer descriptors would leave no room for clients and pods.
const MIN_SOCKETS: usize = 64;
/// Upper bound (exclusive) of the age of a rollout status in ms.
const MAX_STATUS_AGE_MS: f64 = 1e12;

/// Settings whose features this program does not support: the path, and the feature's name in log lines.
const UNSUPPORTED_SETTINGS: [(&str, &str); 3] = [
    ("/bounds/probing", "probes"),
    ("/family_info/tally_every_ms", "tallies"),
    ("/report/how", "load reports that must be asked for"),
];

/// Limits of connections to pods and clients. The settings of the decision module are in `Facts`.
#[derive(Clone, Copy, Debug)]
pub struct TransportConfig {
    /// Time limit for opening a connection to a pod.
    pub connect_timeout: Tenths,
    /// Time after which a pod closes an idle connection.
    pub idle_timeout: Tenths,
    /// Number of file descriptors the process may open.
    pub max_sockets: usize,
    /// Memory limit of the process in bytes.
    pub memory_bytes: usize,
}

/// The checked configuration of a sidecar, with the operators' file.
pub struct SidecarConfig {
    /// Name of this instance, used in the log.
    pub name: String,
    /// Address on which clients connect.
    pub listen: SocketAddr,
    /// Addresses of discovery and of the platform.
    pub addresses: ServiceAddresses,
    /// Seed of the random generators.
    pub seed: u64,
    /// Address on which datagrams from peers are received.
    pub peer_listen: Option<SocketAddr>,
    /// Datagram addresses of all sidecars, by index.
    pub peers: Vec<SocketAddr>,
    /// Address that reaches all peers with one datagram.
    pub peers_all: Option<SocketAddr>,
    /// Rollout status at startup, if the configuration has one.
    pub rollout_status: Option<RolloutStatus>,
    /// Pods known at startup.
    pub known_pods: PodList,
    /// Settings of the decision module.
    pub facts: Facts,
    /// Names of operations, zones and machine kinds.
    pub names: Names,
    /// Limits of connections.
    pub transport: TransportConfig,
    /// Contents of the operators' file; empty if there is none.
    pub operators: OperatorsConfig,
    /// Features that the settings switch on and that this program does not support.
    pub unsupported: Vec<&'static str>,
}

impl SidecarConfig {
    /// The part of the configuration that can change without a restart.
    pub fn into_reloadable(self) -> ReloadableConfig {
        ReloadableConfig { addresses: self.addresses, leadership: self.operators.leadership }
    }
}

#[derive(Deserialize)]
struct ConfigFile<'a> {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    seed: String,
    limits: LimitsSection,
    peer_listen: Option<String>,
    #[serde(default)]
    peers: Vec<String>,
    peers_all: Option<String>,
    pipeline: Option<PipelineSection>,
    /// Kept as text: the tree of a long list takes ten times the memory of the list itself.
    #[serde(borrow)]
    known: Option<&'a RawValue>,
    settings: Value,
}

#[derive(Deserialize)]
struct LimitsSection {
    sockets: usize,
    memory_mb: Option<usize>,
}

#[derive(Deserialize)]
struct PipelineSection {
    address: String,
    news: Option<RawRolloutStatus>,
}

/// A rollout status as the platform encodes it in the configuration, in its event stream and in its answers.
#[derive(Deserialize)]
pub struct RawRolloutStatus {
    build: u16,
    stage: u32,
    phase: String,
    cap: f64,
    #[serde(default)]
    age_ms: f64,
}

impl RawRolloutStatus {
    /// Checks the fields and converts them.
    ///
    /// # Errors
    ///
    /// Names the field whose value is unknown or out of range.
    pub fn parse(self) -> Result<RolloutStatus> {
        let phase = match self.phase.as_str() {
            "Progressing" => Phase::Trial,
            "Aborting" => Phase::GoingBack,
            "Healthy" => Phase::Released,
            "Aborted" => Phase::Withdrawn,
            other => bail!("phase: {other:?}, expected Progressing, Aborting, Healthy or Aborted"),
        };
        if !(0.0..=1.0).contains(&self.cap) {
            bail!("cap: {} is not from 0 to 1", self.cap);
        }
        if !(0.0..MAX_STATUS_AGE_MS).contains(&self.age_ms) {
            bail!("age_ms: {} is not from 0 to {MAX_STATUS_AGE_MS}", self.age_ms);
        }
        let age = Tenths::floor_ms(self.age_ms);
        Ok(RolloutStatus { build: Build(self.build), stage: self.stage, phase, cap: self.cap, age })
    }
}

fn parse_address(field: &str, text: &str) -> Result<SocketAddr> {
    text.parse().map_err(|_| anyhow!("{field}: {text:?} is not an IP address with a port"))
}

fn parse_optional_address(field: &str, text: &Option<String>) -> Result<Option<SocketAddr>> {
    text.as_deref().map(|text| parse_address(field, text)).transpose()
}

/// Whether a setting switches its feature on: `true`, a number other than 0, or the string `pull`.
fn is_switched_on(settings: &Value, path: &str) -> bool {
    match settings.pointer(path) {
        Some(Value::Bool(on)) => *on,
        Some(Value::Number(number)) => number.as_f64() != Some(0.0),
        Some(Value::String(text)) => text == "pull",
        _ => false,
    }
}

/// Why the configuration is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadKind {
    /// The process starts.
    Initial,
    /// The file may have been replaced. The environment still has the discovery address of the start, so the
    /// file's address takes precedence here.
    Reload,
}

/// Reads the configuration; environment variables take precedence over its fields.
///
/// # Errors
///
/// Each error names the field at fault. Settings with streamed answers or sticky keys (`no_return`), which
/// are not supported, are errors too.
pub fn read(text: &str, env: impl Fn(&str) -> Option<String>, load_kind: LoadKind) -> Result<SidecarConfig> {
    let file: ConfigFile = serde_json::from_str(text).context("configuration")?;
    let required = |field: &str, variable: &str, value: Option<String>| {
        env(variable).or(value).ok_or_else(|| anyhow!("{field}: missing, and {variable} is not set"))
    };
    let settings = &file.settings;
    let (facts, names) = stagepond_facts::parse_settings(settings)?;
    let time = |path: &str| stagepond_facts::number_at(settings, path).map(Tenths::floor_ms);
    let is_streaming = |operation: &Value| operation.pointer("/streaming") == Some(&Value::Bool(true));
    if stagepond_facts::list_at(settings, "/classes")?.iter().any(is_streaming) {
        bail!("settings: /classes: streaming is true, but streamed answers are not supported");
    }
    if facts.sticky_keys {
        bail!(
            "settings: /family_info/no_return: keys that never return to an earlier build are not supported"
        );
    }
    if facts.own_peer.0 >= facts.sidecar_count {
        bail!(
            "settings: /self_index: {} is not below /fleet_size: {}",
            facts.own_peer.0,
            facts.sidecar_count
        );
    }
    let peers: Vec<SocketAddr> =
        file.peers.iter().map(|peer| parse_address("peers", peer)).collect::<Result<_>>()?;
    let peer_listen = parse_optional_address("peer_listen", &file.peer_listen)?;
    if facts.peer_messages && peers.len() != facts.sidecar_count {
        bail!("peers: {} addresses, expected {} (/fleet_size)", peers.len(), facts.sidecar_count);
    }
    if facts.peer_messages && peer_listen.is_none() {
        bail!("peer_listen: missing, but /bounds/peers is true");
    }
    if file.limits.sockets < MIN_SOCKETS {
        bail!("limits.sockets: {}, expected at least {MIN_SOCKETS}", file.limits.sockets);
    }
    let known_pods = match file.known {
        Some(known) => discovery::decode_list(known.get(), &names).context("known")?,
        None => PodList { index: 0, is_snapshot: true, pods: Vec::new() },
    };
    let discovery_address = match load_kind {
        LoadKind::Reload if file.discovery.is_some() => file.discovery.unwrap_or_default(),
        _ => required("discovery", "BALANCER_DISCOVERY", file.discovery)?,
    };
    let seed = u64::from_str_radix(&file.seed, 16);
    let (platform, rollout_status) = match file.pipeline {
        Some(pipeline) => (Some(parse_address("pipeline.address", &pipeline.address)?), pipeline.news),
        None => (None, None),
    };
    Ok(SidecarConfig {
        name: required("name", "BALANCER_NAME", file.name)?,
        listen: parse_address("listen", &required("listen", "BALANCER_LISTEN", file.listen)?)?,
        addresses: ServiceAddresses { discovery: parse_address("discovery", &discovery_address)?, platform },
        seed: seed.map_err(|_| anyhow!("seed: {:?} is not a 64-bit hexadecimal number", file.seed))?,
        peer_listen,
        peers,
        peers_all: parse_optional_address("peers_all", &file.peers_all)?,
        rollout_status: rollout_status.map(RawRolloutStatus::parse).transpose().context("pipeline.news")?,
        known_pods: PodList { is_snapshot: true, ..known_pods },
        transport: TransportConfig {
            connect_timeout: time("/bounds/connect_timeout_ms")?,
            idle_timeout: time("/bounds/idle_close_ms")?,
            max_sockets: file.limits.sockets,
            memory_bytes: file.limits.memory_mb.unwrap_or(DEFAULT_MEMORY_MB) << 20,
        },
        operators: OperatorsConfig::default(),
        unsupported: UNSUPPORTED_SETTINGS
            .iter()
            .filter(|(path, _)| is_switched_on(settings, path))
            .map(|(_, feature)| *feature)
            .collect(),
        facts,
        names,
    })
}
