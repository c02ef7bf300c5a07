//! Measures the peak memory of a sidecar process under a crowd.

use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use serde_json::Value;
use tokio::task::JoinSet;

use super::form::{self, ClientCounts, ClientForm};
use crate::soak::{Environment, PodMix, Sidecar};

/// Length of a large answer of the pods, in bytes.
const LARGE_ANSWER_BYTES: usize = 60_000;

/// One measurement.
#[derive(Clone, Debug)]
pub struct CrowdOptions {
    /// The program `stagepond`.
    pub program: PathBuf,
    /// Forms of the clients; each client has the next one, in turn.
    pub forms: Vec<ClientForm>,
    /// Number of clients.
    pub clients: usize,
    /// Memory limit in the configuration, in MB.
    pub memory_mb: usize,
    /// Descriptor limit in the configuration.
    pub sockets: usize,
    /// Whether pods answer with large bodies.
    pub large_answers: bool,
    /// Share of answers that take 100 ms, in percent; the others take 1 ms.
    pub slow_percent: u32,
    /// How long the crowd stays.
    pub duration: Duration,
}

/// What a measurement showed.
#[derive(Clone, Copy, Debug)]
pub struct CrowdReport {
    /// The most memory that the process held (`VmHWM`), in KiB.
    pub peak_kib: u64,
    /// Processor time of the process.
    pub cpu: Duration,
    /// Counts of all clients together.
    pub counts: ClientCounts,
}

impl CrowdReport {
    /// Whether the process kept within its memory limit.
    pub fn is_within(&self, memory_mb: usize) -> bool {
        self.peak_kib <= (memory_mb as u64) << 10
    }
}

/// Runs a crowd against a sidecar of its own.
///
/// # Errors
///
/// Fails if the program does not become ready, or ends while the crowd is there.
pub async fn measure(options: &CrowdOptions) -> Result<CrowdReport> {
    let pods = PodMix {
        slow_percent: options.slow_percent,
        answer_bytes: if options.large_answers { LARGE_ANSWER_BYTES } else { 0 },
        ..PodMix::default()
    };
    let environment = Environment::start(pods, 1).await;
    let folder = tempfile::tempdir()?;
    let config_path = folder.path().join("config.json");
    std::fs::write(&config_path, make_config(&environment, options)?.to_string())?;
    let mut sidecar = Sidecar::start(&options.program, &config_path).await?;
    sidecar.wait_for_log("state=Ready").await?;
    let pid = sidecar.child.id().context("the sidecar has ended")?;
    let counts = Arc::new(Mutex::new(ClientCounts::default()));
    let mut clients = JoinSet::new();
    for number in 0..options.clients {
        let counts = counts.clone();
        let add = move |one: ClientCounts| {
            let mut all = counts.lock().expect("no holder of the lock panics");
            all.served += one.served;
            all.refused += one.refused;
            all.unanswered += one.unanswered;
        };
        let form = options.forms[number % options.forms.len()];
        clients.spawn(form::run(form, sidecar.address, number, add));
    }
    let until = Instant::now() + options.duration;
    let ended = tokio::time::timeout_at(until.into(), sidecar.child.wait()).await;
    if let Ok(status) = ended {
        anyhow::bail!("the sidecar ended: {}", status?);
    }
    let report = CrowdReport {
        peak_kib: read_peak_kib(pid)?,
        cpu: read_cpu(pid)?,
        counts: *counts.lock().expect("no holder of the lock panics"),
    };
    clients.shutdown().await;
    sidecar.child.kill().await?;
    Ok(report)
}

fn make_config(environment: &Environment, options: &CrowdOptions) -> Result<Value> {
    let mut config: Value = serde_json::from_str(include_str!("../../../../examples/config.json"))?;
    config["listen"] = "127.0.0.1:0".into();
    config["discovery"] = environment.discovery.to_string().into();
    config["pipeline"]["address"] = environment.platform.to_string().into();
    config["peer_listen"] = "127.0.0.1:0".into();
    config["limits"]["memory_mb"] = options.memory_mb.into();
    config["limits"]["sockets"] = options.sockets.into();
    Ok(config)
}

/// The most memory that a process has held so far, in KiB.
pub fn read_peak_kib(pid: u32) -> Result<u64> {
    let status = std::fs::read_to_string(Path::new("/proc").join(pid.to_string()).join("status"))?;
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).context("no VmHWM")?;
    Ok(peak.trim().trim_end_matches("kB").trim().parse()?)
}

/// Processor time that a process has used, in user and kernel mode.
fn read_cpu(pid: u32) -> Result<Duration> {
    /// Length of a clock tick in `/proc`, in milliseconds.
    const TICK_MS: u64 = 10;
    let stat = std::fs::read_to_string(Path::new("/proc").join(pid.to_string()).join("stat"))?;
    let (_, fields) = stat.rsplit_once(')').context("no name")?;
    let ticks = fields.split_whitespace().skip(11).take(2).map(str::parse::<u64>);
    let ticks: u64 = ticks.sum::<Result<u64, _>>()?;
    Ok(Duration::from_millis(ticks * TICK_MS))
}
