//! Runs of the soak: starts the services, the sidecar and the clients, sends the signals of the script, and
//! kills what is still running at the earliest moment that the protocol allows.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use serde_json::Value;
use tokio::sync::{watch, Semaphore};
use tokio::task::JoinSet;

use super::account::{Fault, FaultKind, RestartTimes, RunContext};
use super::client::{run_client, Front, Records};
use super::environment::Environment;
use super::report::Report;
use super::script::{Restart, Script, SignalKind, SoakKind};
use super::sidecar::Sidecar;
use crate::crowd::{self, memory::read_peak_kib};

/// Longer time limits count as this long for the kill (PROTOCOL.md, "Figures").
const MAX_COUNTED_TIME_LIMIT: Duration = Duration::from_millis(3000);
/// SIGKILL follows SIGTERM after the longest time limit and this time.
const KILL_AFTER_LONGEST_LIMIT: Duration = Duration::from_millis(700);
/// How long the last sidecar serves after the last restart.
const FINAL_SERVING_TIME: Duration = Duration::from_millis(500);
/// Number of the pod that discovery drains.
const DRAINED_POD: usize = 2;

/// What to run.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// Seed of the first run; later ones have the numbers after it.
    pub first_seed: u64,
    /// Number of runs.
    pub runs: u64,
    /// Runs at the same time.
    pub parallel: usize,
    /// The program `stagepond`.
    pub program: PathBuf,
    /// What happens beside the restarts.
    pub kind: SoakKind,
}

/// Runs the soak and returns the results of all runs.
///
/// # Errors
///
/// Fails if a run can't be carried out: the program does not start, or a signal can't be sent.
pub async fn run_many(options: SoakOptions) -> Result<Report> {
    let places = Arc::new(Semaphore::new(options.parallel));
    let mut runs = JoinSet::new();
    let kind = options.kind;
    for seed in options.first_seed..options.first_seed + options.runs {
        let (places, program) = (places.clone(), options.program.clone());
        runs.spawn(async move {
            let _place = places.acquire_owned().await?;
            run_one(&program, Script::draw(seed, kind)).await.with_context(|| format!("seed {seed}"))
        });
    }
    let mut total = Report::default();
    while let Some(report) = runs.join_next().await {
        total.merge(report??);
    }
    Ok(total)
}

/// The state of one run.
struct Run<'a> {
    program: &'a Path,
    config_path: PathBuf,
    config: Value,
    environment: Environment,
    front: watch::Sender<Front>,
    restarts: Vec<RestartTimes>,
    report: Report,
    seed: u64,
    /// Earliest time from SIGTERM to SIGKILL.
    kill_delay: Duration,
    memory_mb: usize,
}

async fn run_one(program: &Path, script: Script) -> Result<Report> {
    let environment = Environment::start(script.pods, script.seed).await;
    let folder = tempfile::tempdir()?;
    let config_path = folder.path().join("config.json");
    let config = make_config(&environment, &script)?;
    std::fs::write(&config_path, config.to_string())?;
    let mut sidecar = Sidecar::start(program, &config_path).await?;
    sidecar.wait_for_log("state=Ready").await?;
    let (front, clients_front) =
        watch::channel(Front { address: sidecar.address, open: true, finished: false });
    let mut run = Run {
        program,
        config_path,
        config,
        environment,
        front,
        restarts: Vec::new(),
        report: Report::of_one_run(),
        seed: script.seed,
        kill_delay: script.longest_time_limit.min(MAX_COUNTED_TIME_LIMIT) + KILL_AFTER_LONGEST_LIMIT,
        memory_mb: script.troubles.memory_mb,
    };
    // Successors listen where the first sidecar did.
    run.config["listen"] = sidecar.address.to_string().into();
    std::fs::write(&run.config_path, run.config.to_string())?;
    let script = Arc::new(script);
    let records = Records::default();
    let mut clients = JoinSet::new();
    for number in 0..script.clients {
        clients.spawn(run_client(script.clone(), number, clients_front.clone(), records.clone()));
    }
    let mut crowd = JoinSet::new();
    for (number, form) in script.troubles.crowd_forms.iter().cycle().take(script.crowd_clients()).enumerate()
    {
        crowd.spawn(crowd::run_client(*form, sidecar.address, number, |_| ()));
    }
    for restart in &script.restarts {
        sidecar = run.restart(sidecar, restart).await?;
    }
    tokio::time::sleep(FINAL_SERVING_TIME).await;
    run.front.send_modify(|front| front.finished = true);
    while let Some(ended) = clients.join_next().await {
        ended?;
    }
    crowd.shutdown().await;
    sidecar.signal(SignalKind::Terminate)?;
    run.finish(sidecar, &script, records).await
}

fn make_config(environment: &Environment, script: &Script) -> Result<Value> {
    let mut config: Value = serde_json::from_str(include_str!("../../../../examples/config.json"))?;
    config["listen"] = "127.0.0.1:0".into();
    config["limits"]["memory_mb"] = script.troubles.memory_mb.into();
    config["limits"]["sockets"] = script.troubles.sockets.into();
    config["discovery"] = environment.discovery.to_string().into();
    config["pipeline"]["address"] = environment.platform.to_string().into();
    config["peer_listen"] = "127.0.0.1:0".into();
    for class in config["settings"]["classes"].as_array_mut().context("the example has classes")? {
        class["deadline_ms"] = (script.longest_time_limit.as_millis() as f64).into();
    }
    config["settings"]["classes"][1]["repeat"] = "side_effect".into();
    config["settings"]["classes"][1]["window_ms"] = 0.0.into();
    Ok(config)
}

impl Run<'_> {
    /// Restarts the sidecar as scripted. Returns its successor once that is ready.
    async fn restart(&mut self, sidecar: Sidecar, restart: &Restart) -> Result<Sidecar> {
        tokio::time::sleep(restart.serving_time).await;
        if restart.drains_pod {
            self.environment.drain_pod(Some(DRAINED_POD));
        }
        let terminated_at = self.stop(sidecar, restart).await?;
        if let Some(delay) = restart.terminate_successor_after {
            self.terminate_while_starting(delay).await?;
        }
        let mut successor = Sidecar::start(self.program, &self.config_path).await?;
        if let Err(error) = successor.wait_for_log("state=Ready").await {
            self.add_fault(FaultKind::NotReady, format!("{error:#}"));
        }
        if restart.drains_pod {
            self.environment.drain_pod(None);
        }
        self.restarts.push(RestartTimes { terminated_at, ready_at: Instant::now() });
        self.front.send_modify(|front| front.open = true);
        Ok(successor)
    }

    /// Sends the signals of a restart and waits for the exit. Returns the time of the first SIGTERM.
    async fn stop(&mut self, sidecar: Sidecar, restart: &Restart) -> Result<Instant> {
        let mut terminated_at = None;
        for (pause, signal) in &restart.signals {
            tokio::time::sleep(*pause).await;
            if *signal == SignalKind::Terminate && terminated_at.is_none() {
                terminated_at = Some(Instant::now());
                self.close_front_after(restart.connect_for);
            }
            sidecar.signal(*signal)?;
        }
        let terminated_at = terminated_at.context("the script has no SIGTERM")?;
        self.check_memory(&sidecar);
        let kill_at = terminated_at + self.kill_delay;
        let wrong = sidecar.wait_for_exit(kill_at).await?;
        self.report.longest_exit = self.report.longest_exit.max(terminated_at.elapsed());
        self.report.restarts += 1;
        if let Some((kind, detail)) = wrong {
            self.add_fault(kind, detail);
        }
        Ok(terminated_at)
    }

    /// Compares the most memory that the sidecar has held so far with its limit.
    fn check_memory(&mut self, sidecar: &Sidecar) {
        // A process that has ended can't be asked.
        let peak = sidecar.child.id().and_then(|pid| read_peak_kib(pid).ok()).unwrap_or(0);
        self.report.peak_memory_kib = self.report.peak_memory_kib.max(peak);
        let limit = (self.memory_mb as u64) << 10;
        if peak > limit {
            self.add_fault(FaultKind::AboveMemoryLimit, format!("{peak} KiB held, {limit} KiB allowed"));
        }
    }

    fn close_front_after(&self, delay: Duration) {
        let front = self.front.clone();
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            front.send_modify(|front| front.open = false);
        });
    }

    /// Starts a sidecar that is stopped again before clients come to it.
    async fn terminate_while_starting(&mut self, delay: Duration) -> Result<()> {
        let sidecar = Sidecar::start(self.program, &self.config_path).await?;
        tokio::time::sleep(delay).await;
        sidecar.signal(SignalKind::Terminate)?;
        let kill_at = Instant::now() + self.kill_delay;
        if let Some((kind, detail)) = sidecar.wait_for_exit(kill_at).await? {
            self.add_fault(kind, format!("while starting: {detail}"));
        }
        Ok(())
    }

    async fn finish(mut self, sidecar: Sidecar, script: &Script, records: Records) -> Result<Report> {
        self.check_memory(&sidecar);
        let kill_at = Instant::now() + self.kill_delay;
        if let Some((kind, detail)) = sidecar.wait_for_exit(kill_at).await? {
            self.add_fault(kind, format!("at the end: {detail}"));
        }
        let pod_records = self.environment.pod_records.lock().expect("no holder of the lock panics");
        let context = RunContext {
            seed: self.seed,
            crowd: match script.crowd_clients() {
                0 => String::new(),
                clients => format!("beside {clients} of {:?}: ", script.troubles.crowd_forms),
            },
            well_pods: script.pods.is_well(),
            restarts: &self.restarts,
            pod_records: &pod_records,
        };
        for record in records.lock().expect("no holder of the lock panics").iter() {
            self.report.add(record, context.restart_of(record).is_some(), context.well_pods);
            self.report.faults.extend(context.check(record));
        }
        drop(pod_records);
        Ok(self.report)
    }

    fn add_fault(&mut self, kind: FaultKind, detail: String) {
        self.report.faults.push(Fault { kind, seed: self.seed, detail });
    }
}
