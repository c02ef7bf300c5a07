//! The part of the leadership proof with real processes: three instances of the program on loopback, with
//! traffic, a relay between them that drops datagrams as scripted, pauses by signal, and kills. What the
//! processes did is read from their structured logs and audited afterwards.
//!
//! Signals go only to processes started here. The script waits for events in the logs, and for a span of
//! time only where no event shows what it needs to know.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use anyhow::{anyhow, bail, Context, Result};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde_json::{json, Value};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::net::{TcpStream, UdpSocket};
use tokio::process::Child;
use tokio::sync::watch;

#[path = "../../../../examples/local_environment.rs"]
mod local_environment;

use crate::mock_server;
use local_environment::LocalEnvironment;

const INSTANCES: usize = 3;
/// How long to wait for an event before the run fails.
const EVENT_TIMEOUT: Duration = Duration::from_secs(15);
/// The hold time that the operators' file sets.
const HOLD_MS: u64 = 900;
/// Why locking a mutex here can't fail.
const NOT_POISONED: &str = "no thread panics while it holds the lock";

/// The faults of the relay's links.
#[derive(Default)]
struct LinkFaults {
    /// Cut links, as (sender, receiver).
    cut: BTreeSet<(usize, usize)>,
    /// The share of datagrams that are lost.
    loss: f64,
    /// Each datagram is delayed by a random time up to this, and so may be reordered.
    max_delay: Duration,
    forwarded: u64,
    dropped: u64,
}

/// A UDP relay between the processes. It has one socket for each ordered pair: `sockets[from][to]` is
/// what process `from` takes for the address of `to`.
struct Relay {
    sockets: Vec<Vec<Arc<UdpSocket>>>,
    faults: Arc<Mutex<LinkFaults>>,
    /// The datagram address of each process, once it is known.
    destinations: watch::Sender<[Option<SocketAddr>; INSTANCES]>,
}

impl Relay {
    async fn start(seed: u64) -> Result<Relay> {
        let mut sockets = Vec::new();
        for _ in 0..INSTANCES {
            let mut row = Vec::new();
            for _ in 0..INSTANCES {
                row.push(Arc::new(UdpSocket::bind("127.0.0.1:0").await?));
            }
            sockets.push(row);
        }
        let faults = Arc::new(Mutex::new(LinkFaults::default()));
        let (destinations, _) = watch::channel([None; INSTANCES]);
        let relay = Relay { sockets, faults, destinations };
        for from in 0..INSTANCES {
            for to in (0..INSTANCES).filter(|to| *to != from) {
                let (receiver, sender) = (relay.sockets[from][to].clone(), relay.sockets[to][from].clone());
                let (faults, destinations) = (relay.faults.clone(), relay.destinations.subscribe());
                let mut rng = fastrand::Rng::with_seed(seed ^ (from * INSTANCES + to) as u64);
                tokio::spawn(async move {
                    let mut bytes = [0; 512];
                    while let Ok((len, _)) = receiver.recv_from(&mut bytes).await {
                        let (passes, delay) = {
                            let mut faults = faults.lock().expect(NOT_POISONED);
                            let passes = !faults.cut.contains(&(from, to)) && rng.f64() >= faults.loss;
                            faults.forwarded += u64::from(passes);
                            faults.dropped += u64::from(!passes);
                            (passes, faults.max_delay.mul_f64(rng.f64()))
                        };
                        let destination = destinations.borrow()[to];
                        if let (true, Some(destination)) = (passes, destination) {
                            let (sender, datagram) = (sender.clone(), bytes[..len].to_vec());
                            tokio::spawn(async move {
                                tokio::time::sleep(delay).await;
                                let _ = sender.send_to(&datagram, destination).await;
                            });
                        }
                    }
                });
            }
        }
        Ok(relay)
    }

    fn set_faults(&self, change: impl FnOnce(&mut LinkFaults)) {
        change(&mut self.faults.lock().expect(NOT_POISONED));
    }
}

/// A structured log line of one of the processes.
#[derive(Clone, Debug)]
struct LogRecord {
    /// The index of the process.
    process: usize,
    /// How often the process with this index had been started before.
    start: usize,
    line: Value,
}

impl LogRecord {
    fn event(&self) -> &str {
        self.line["event"].as_str().unwrap_or_default()
    }

    fn number(&self, field: &str) -> u64 {
        self.line[field].as_u64().unwrap_or_default()
    }
}

type SharedLog = Arc<Mutex<Vec<LogRecord>>>;

/// The processes with the services and the relay around them.
struct Cluster {
    program: PathBuf,
    directory: tempfile::TempDir,
    relay: Relay,
    environment: LocalEnvironment,
    log: SharedLog,
    /// The number of records in the log.
    log_length: watch::Sender<usize>,
    processes: Vec<Option<Child>>,
    /// How often each process was started.
    start_counts: [usize; INSTANCES],
    /// The address for clients of each running process.
    client_addresses: watch::Sender<[Option<SocketAddr>; INSTANCES]>,
}

impl Cluster {
    async fn start(program: &Path, seed: u64) -> Result<Cluster> {
        let environment = LocalEnvironment::start(
            &["127.0.0.1:0"; 4],
            "127.0.0.1:0",
            "127.0.0.1:0",
            Duration::from_secs(3),
        )
        .await;
        let directory = tempfile::tempdir()?;
        let key = directory.path().join("key");
        std::fs::write(&key, format!("a key for this proof alone, seed {seed:020}"))?;
        std::fs::set_permissions(&key, std::os::unix::fs::PermissionsExt::from_mode(0o600))?;
        let operators = format!(
            "// Short times, so that much happens.\n{{ leadership: {{ key: {{ number: 1, file: 'key' }}, pool: [0, 1, 2], \
             hold_ms: {HOLD_MS}, margin_ms: 50, act_within_ms: 300, round_trip_ms: 40, probe_every_ms: 200, \
             prefer_low: false }} }}\n"
        );
        std::fs::write(directory.path().join("operators.json5"), operators)?;
        let (log_length, _) = watch::channel(0);
        let (client_addresses, _) = watch::channel([None; INSTANCES]);
        let mut cluster = Cluster {
            program: program.to_path_buf(),
            directory,
            relay: Relay::start(seed).await?,
            environment,
            log: SharedLog::default(),
            log_length,
            processes: (0..INSTANCES).map(|_| None).collect(),
            start_counts: [0; INSTANCES],
            client_addresses,
        };
        for index in 0..INSTANCES {
            cluster.launch(index).await?;
        }
        Ok(cluster)
    }

    /// Starts a process and waits until it listens.
    async fn launch(&mut self, index: usize) -> Result<()> {
        let mut config: Value = serde_json::from_str(include_str!("../../../../examples/config.json"))?;
        let peers: Vec<String> = (0..INSTANCES)
            .map(|b| Ok(self.relay.sockets[index][b].local_addr()?.to_string()))
            .collect::<Result<_>>()?;
        config["name"] = format!("n{index}").into();
        config["listen"] = "127.0.0.1:0".into();
        config["peer_listen"] = "127.0.0.1:0".into();
        config["peers"] = json!(peers);
        config["discovery"] = self.environment.discovery.to_string().into();
        config["pipeline"]["address"] = self.environment.platform.to_string().into();
        config["settings"]["fleet_size"] = INSTANCES.into();
        config["settings"]["self_index"] = index.into();
        let path = self.directory.path().join(format!("config-{index}.json"));
        std::fs::write(&path, config.to_string())?;
        let mut child = tokio::process::Command::new(&self.program)
            .arg("serve")
            .arg("--config")
            .arg(&path)
            .arg("--operators")
            .arg(self.directory.path().join("operators.json5"))
            .env("STAGEPOND_LOG_FORM", "json")
            .env_remove("BALANCER_DISCOVERY")
            .env_remove("BALANCER_LISTEN")
            .env_remove("BALANCER_NAME")
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .with_context(|| format!("can't start {}; build the program first", self.program.display()))?;
        let mut lines = BufReader::new(child.stderr.take().context("stderr is not piped")?).lines();
        let (log, log_length, start) = (self.log.clone(), self.log_length.clone(), self.start_counts[index]);
        self.start_counts[index] += 1;
        let (mut client_address, mut datagram_address) = (None, None);
        while client_address.is_none() {
            let line = tokio::time::timeout(EVENT_TIMEOUT, lines.next_line()).await??;
            let line = line.ok_or_else(|| anyhow!("process {index} ended before it listened"))?;
            let line: Value = serde_json::from_str(&line).with_context(|| line.clone())?;
            client_address = line["clients"].as_str().and_then(|a| a.parse::<SocketAddr>().ok());
            datagram_address = line["datagrams"].as_str().and_then(|a| a.parse::<SocketAddr>().ok());
        }
        tokio::spawn(async move {
            while let Ok(Some(line)) = lines.next_line().await {
                if let Ok(line) = serde_json::from_str::<Value>(&line) {
                    let mut log = log.lock().expect(NOT_POISONED);
                    log.push(LogRecord { process: index, start, line });
                    log_length.send_replace(log.len());
                }
            }
        });
        self.relay.destinations.send_modify(|destinations| destinations[index] = datagram_address);
        self.client_addresses.send_modify(|addresses| addresses[index] = client_address);
        self.processes[index] = Some(child);
        Ok(())
    }

    /// Waits for the first record, from the position `from` on, that `matches`. Returns its position too.
    /// `what` names the event in the error on a timeout.
    async fn wait_for(
        &self, from: usize, what: &str, matches: impl Fn(&LogRecord) -> bool,
    ) -> Result<(usize, LogRecord)> {
        let mut log_length = self.log_length.subscribe();
        let search = async {
            let mut searched = from;
            loop {
                log_length.borrow_and_update();
                let found = {
                    let log = self.log.lock().expect(NOT_POISONED);
                    let found = log[searched.min(log.len())..]
                        .iter()
                        .position(&matches)
                        .map(|offset| (searched + offset, log[searched + offset].clone()));
                    searched = log.len();
                    found
                };
                if let Some(found) = found {
                    return found;
                }
                if log_length.changed().await.is_err() {
                    std::future::pending::<()>().await;
                }
            }
        };
        tokio::time::timeout(EVENT_TIMEOUT, search)
            .await
            .map_err(|_| anyhow!("timed out after {EVENT_TIMEOUT:?} waiting for {what}"))
    }

    fn log_position(&self) -> usize {
        self.log.lock().expect(NOT_POISONED).len()
    }

    /// Waits for a process to become leader, from the position `from` on, that `accepts` takes.
    async fn wait_for_leader(
        &self, from: usize, accepts: impl Fn(usize) -> bool,
    ) -> Result<(usize, LogRecord)> {
        self.wait_for(from, "a leader", |record| record.event() == "leads" && accepts(record.process)).await
    }

    fn send_signal(&self, index: usize, signal: Signal) -> Result<()> {
        let child =
            self.processes[index].as_ref().with_context(|| format!("process {index} is not running"))?;
        let pid = child.id().with_context(|| format!("process {index} has ended"))?;
        Ok(kill(Pid::from_raw(pid as i32), signal)?)
    }

    /// Sends a signal and waits until the process has ended.
    async fn stop(&mut self, index: usize, signal: Signal) -> Result<()> {
        self.send_signal(index, signal)?;
        self.client_addresses.send_modify(|addresses| addresses[index] = None);
        if let Some(mut child) = self.processes[index].take() {
            tokio::time::timeout(EVENT_TIMEOUT, child.wait()).await??;
        }
        Ok(())
    }
}

/// What the processes did during the script.
#[derive(Clone, Debug, Default)]
pub struct ProcessReport {
    /// How often a process became leader.
    pub leaders: usize,
    /// Distinct entry numbers that were committed.
    pub committed_entries: usize,
    /// Votes that were cast at the pipeline.
    pub votes: usize,
    /// Votes that were stopped before they were cast.
    pub votes_stopped: usize,
    /// Requests that got an answer.
    pub answered: u64,
    /// Requests that failed.
    pub unanswered: u64,
    /// Whether the new build was released in the end.
    pub released: bool,
    /// For each fault of the script: its name, and the ms from the fault to the next leader.
    pub failover_ms: Vec<(&'static str, u64)>,
    /// Violations that the audit found, one line each.
    pub violations: Vec<String>,
}

/// Checks the logs for what must never happen: two entries under one number, terms that don't rise from
/// leader to leader, and votes cast after the lease expired, by a process that didn't lead, after a later
/// leader's start or without a committed command.
fn audit(log: &[LogRecord]) -> Vec<String> {
    let mut violations = Vec::new();
    // Time, term and process of each leader.
    let mut leaders: Vec<(u64, u64, usize)> = Vec::new();
    // Term and text of each committed command, by entry number.
    let mut committed: BTreeMap<u64, (u64, String)> = BTreeMap::new();
    for record in log {
        match record.event() {
            "leads" => leaders.push((record.number("at"), record.number("term"), record.process)),
            "in_force" => {
                let command = record.line["decree"].as_str().unwrap_or_default().to_string();
                let entry = (record.number("term"), command);
                let number = record.number("number");
                let known = committed.entry(number).or_insert_with(|| entry.clone());
                if *known != entry {
                    violations.push(format!("two entries under number {number}: {known:?}, {entry:?}"));
                }
            }
            _ => {}
        }
    }
    leaders.sort_unstable();
    for pair in leaders.windows(2) {
        if pair[1].1 <= pair[0].1 {
            violations.push(format!("terms of leaders do not rise: {pair:?}"));
        }
    }
    for record in log.iter().filter(|record| record.event() == "vote_cast") {
        let process = record.process;
        let (at, until, term) = (record.number("at"), record.number("until"), record.number("term"));
        if at >= until {
            violations.push(format!("a vote cast {} tenths of a ms after its lease expired", at - until));
        }
        if !leaders.iter().any(|(_, t, leader)| *t == term && *leader == process) {
            violations.push(format!("a vote by process {process} under term {term}, in which it never led"));
        }
        let later_leader = leaders.iter().find(|(since, later, _)| *later > term && *since < at);
        if let Some((since, later, _)) = later_leader {
            violations.push(format!("a vote under term {term} at {at}, while {later} led from {since} on"));
        }
        let has_entry = committed.values().any(|(t, command)| *t <= term && command.starts_with("Vote"));
        if !has_entry {
            violations.push(format!("a vote under term {term} without a committed vote command"));
        }
    }
    violations
}

/// Sends one request after the other to a process for as long as it runs. Counts answers and failures.
async fn send_requests(
    index: usize, mut addresses: watch::Receiver<[Option<SocketAddr>; INSTANCES]>,
    counts: Arc<Mutex<(u64, u64)>>,
) {
    let mut id = 0;
    loop {
        let address = addresses.borrow_and_update()[index];
        let Some(address) = address else {
            if addresses.changed().await.is_err() {
                return;
            }
            continue;
        };
        let Ok(mut stream) = TcpStream::connect(address).await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        while addresses.borrow()[index] == Some(address) {
            id += 1;
            let answer = local_environment::invoke(&mut stream, &format!("{index}-{id}")).await;
            let failed = answer.is_err();
            {
                let mut counts = counts.lock().expect(NOT_POISONED);
                *(if failed { &mut counts.1 } else { &mut counts.0 }) += 1;
            }
            if failed {
                break;
            }
            tokio::time::sleep(Duration::from_millis(15)).await;
        }
    }
}

fn elapsed_ms(started: Instant) -> u64 {
    started.elapsed().as_millis() as u64
}

async fn run_script(program: &Path, seed: u64) -> Result<ProcessReport> {
    let mut cluster = Cluster::start(program, seed).await?;
    let counts = Arc::new(Mutex::new((0, 0)));
    for index in 0..INSTANCES {
        tokio::spawn(send_requests(index, cluster.client_addresses.subscribe(), counts.clone()));
    }
    let mut report = ProcessReport::default();
    let (_, first) = cluster.wait_for_leader(0, |_| true).await?;

    // Pauses the leader in the middle of a vote: the command is committed, the vote perhaps not yet cast.
    let is_vote = |record: &LogRecord| {
        record.event() == "in_force"
            && record.line["decree"].as_str().is_some_and(|command| command.starts_with("Vote"))
    };
    let leader = first.process;
    let (at, _) =
        cluster.wait_for(0, "a committed vote", |record| is_vote(record) && record.process == leader).await?;
    cluster.send_signal(leader, Signal::SIGSTOP)?;
    let started = Instant::now();
    let (_, second) = cluster.wait_for_leader(at, |process| process != leader).await?;
    report.failover_ms.push(("pause", elapsed_ms(started)));
    cluster.send_signal(leader, Signal::SIGCONT)?;
    cluster
        .wait_for(at, "the paused leader to step down", |record| {
            record.event() == "stepped_down" && record.process == leader
        })
        .await?;

    // Partitions the leader from both others; it must step down by itself.
    let (leader, at) = (second.process, cluster.log_position());
    let others: Vec<usize> = (0..INSTANCES).filter(|n| *n != leader).collect();
    cluster.relay.set_faults(|f| f.cut.extend(others.iter().flat_map(|n| [(*n, leader), (leader, *n)])));
    let started = Instant::now();
    let (_, third) = cluster.wait_for_leader(at, |process| process != leader).await?;
    report.failover_ms.push(("cut", elapsed_ms(started)));
    cluster
        .wait_for(at, "the partitioned leader to step down", |record| {
            record.event() == "stepped_down" && record.process == leader
        })
        .await?;
    cluster.relay.set_faults(|f| f.cut.clear());

    // Cuts the links from the leader but not those to it; a fifth of all other datagrams is lost.
    let (leader, at) = (third.process, cluster.log_position());
    cluster.relay.set_faults(|f| {
        f.cut.extend((0..INSTANCES).filter(|n| *n != leader).map(|n| (leader, n)));
        f.loss = 0.2;
        f.max_delay = Duration::from_millis(30);
    });
    let started = Instant::now();
    let (_, fourth) = cluster.wait_for_leader(at, |process| process != leader).await?;
    report.failover_ms.push(("mute", elapsed_ms(started)));
    cluster.relay.set_faults(|f| (f.cut, f.loss, f.max_delay) = (BTreeSet::new(), 0.0, Duration::ZERO));

    // Ends the leader as planned, which transfers the leadership, and starts it again.
    let (leader, at) = (fourth.process, cluster.log_position());
    let started = Instant::now();
    let transferred = async { cluster.wait_for_leader(at, |process| process != leader).await };
    cluster.send_signal(leader, Signal::SIGTERM)?;
    transferred.await?;
    report.failover_ms.push(("planned end", elapsed_ms(started)));
    cluster.stop(leader, Signal::SIGTERM).await.ok();
    cluster.launch(leader).await?;
    // It must catch up before the next fault: if it were the only survivor of that and knew nothing, no group
    // could keep what was committed.
    let is_committed = |record: &LogRecord| matches!(record.event(), "in_force" | "caught_up");
    let highest_committed = {
        let log = cluster.log.lock().expect(NOT_POISONED);
        let committed = log.iter().filter(|record| is_committed(record));
        committed.map(|record| record.number("number")).max().unwrap_or(0)
    };
    let latest_start = cluster.start_counts[leader] - 1;
    let caught_up = |record: &LogRecord| {
        is_committed(record)
            && record.process == leader
            && record.start == latest_start
            && record.number("number") >= highest_committed
    };
    cluster.wait_for(at, "the restarted process to catch up", caught_up).await?;

    // Kills a majority at once; both processes come back without memory.
    let at = cluster.log_position();
    let killed = [seed as usize % INSTANCES, (seed as usize + 1) % INSTANCES];
    for index in killed {
        cluster.stop(index, Signal::SIGKILL).await?;
    }
    let started = Instant::now();
    for index in killed {
        cluster.launch(index).await?;
    }
    cluster.wait_for(at, "a bootstrap", |record| record.event() == "founded").await?;
    cluster.wait_for_leader(at, |_| true).await?;
    report.failover_ms.push(("majority killed", elapsed_ms(started)));

    // The new build must be released in the end, whichever process led.
    let started = Instant::now();
    while cluster.environment.rollout_status() != (2, "Healthy") && started.elapsed() < EVENT_TIMEOUT {
        let at = cluster.log_position();
        let any_record = cluster.wait_for(at, "any log record", |_| true);
        let _ = tokio::time::timeout(Duration::from_millis(300), any_record).await;
    }
    report.released = cluster.environment.rollout_status() == (2, "Healthy");
    for index in 0..INSTANCES {
        cluster.stop(index, Signal::SIGTERM).await?;
    }
    let log = cluster.log.lock().expect(NOT_POISONED).clone();
    report.violations = audit(&log);
    let count = |event: &str| log.iter().filter(|record| record.event() == event).count();
    report.leaders = count("leads");
    report.votes = count("vote_cast");
    report.votes_stopped = count("vote_stopped");
    let committed = log.iter().filter(|record| record.event() == "in_force");
    let numbers: BTreeSet<u64> = committed.map(|record| record.number("number")).collect();
    report.committed_entries = numbers.len();
    (report.answered, report.unanswered) = *counts.lock().expect(NOT_POISONED);
    if report.votes == 0 {
        bail!("no vote was cast, so the audit had no vote to check");
    }
    Ok(report)
}

/// Runs the whole script with the program at this path. Fails if a process can't be started or if an expected
/// event doesn't come in time.
pub fn prove(program: &Path, seed: u64) -> Result<ProcessReport> {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    let report = runtime.block_on(run_script(program, seed));
    runtime.shutdown_background();
    report
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;

    fn record(process: usize, line: Value) -> LogRecord {
        LogRecord { process, start: 0, line }
    }

    fn valid_log() -> Vec<LogRecord> {
        let command = "Vote { build: 2 }";
        vec![
            record(0, json!({"event": "leads", "at": 100, "term": 5})),
            record(0, json!({"event": "in_force", "number": 2, "term": 5, "decree": command})),
            record(1, json!({"event": "in_force", "number": 2, "term": 5, "decree": command})),
            record(0, json!({"event": "vote_cast", "at": 150, "until": 200, "term": 5})),
            record(1, json!({"event": "leads", "at": 300, "term": 6})),
        ]
    }

    #[rstest]
    #[case::vote_after_lease_expired(3, json!({"event": "vote_cast", "at": 200, "until": 200, "term": 5}), "after its lease expired")]
    #[case::vote_after_later_leader(3, json!({"event": "vote_cast", "at": 350, "until": 400, "term": 5}), "while 6 led")]
    #[case::vote_without_leadership(3, json!({"event": "vote_cast", "at": 150, "until": 200, "term": 4}), "never led")]
    #[case::two_entries_under_one_number(2, json!({"event": "in_force", "number": 2, "term": 5, "decree": "Vote { build: 3 }"}), "two entries under number 2")]
    #[case::terms_do_not_rise(4, json!({"event": "leads", "at": 300, "term": 5}), "do not rise")]
    #[case::vote_without_committed_entry(1, json!({"event": "other"}), "")]
    fn audit_reports_each_violation(#[case] at: usize, #[case] line: Value, #[case] what: &str) {
        let mut log = valid_log();
        assert_eq!(audit(&log), Vec::<String>::new());
        log[at].line = line;
        if what.is_empty() {
            log[2].line = json!({"event": "other"});
            assert!(
                audit(&log).iter().any(|v| v.contains("without a committed vote command")),
                "{:?}",
                audit(&log)
            );
        } else {
            assert!(audit(&log).iter().any(|v| v.contains(what)), "{:?}", audit(&log));
        }
    }
}
