//! Three real processes of the program on loopback, with a relay between them that drops by script, pauses by
//! signal, kills, and traffic. What they decided is read from their structured logs and audited afterwards.
//! It owns the processes and ends only those; it must never wait for a span of time where an event will do.

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
#[path = "../../../../examples/mock_server.rs"]
mod mock_server;

const INSTANCES: usize = 3;
const PATIENCE: Duration = Duration::from_secs(15);
/// What the operators' file gives; the audit goes by it.
const HOLD_MS: u64 = 900;

#[derive(Default)]
struct Script {
    cut: BTreeSet<(usize, usize)>,
    loss: f64,
    /// Up to so long on the way, and so out of order.
    delay: Duration,
    carried: u64,
    dropped: u64,
}

/// One socket for each ordered pair: what `a` takes for the address of `b`.
struct Relay {
    sockets: Vec<Vec<Arc<UdpSocket>>>,
    script: Arc<Mutex<Script>>,
    to: watch::Sender<[Option<SocketAddr>; INSTANCES]>,
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
        let script = Arc::new(Mutex::new(Script::default()));
        let (to, _) = watch::channel([None; INSTANCES]);
        let relay = Relay { sockets, script, to };
        for a in 0..INSTANCES {
            for b in (0..INSTANCES).filter(|b| *b != a) {
                let (came, goes) = (relay.sockets[a][b].clone(), relay.sockets[b][a].clone());
                let (script, to) = (relay.script.clone(), relay.to.subscribe());
                let mut rng = fastrand::Rng::with_seed(seed ^ (a * INSTANCES + b) as u64);
                tokio::spawn(async move {
                    let mut bytes = [0; 512];
                    while let Ok((len, _)) = came.recv_from(&mut bytes).await {
                        let (passes, after) = {
                            let mut script = script.lock().expect("never held while panicking");
                            let passes = !script.cut.contains(&(a, b)) && rng.f64() >= script.loss;
                            script.carried += u64::from(passes);
                            script.dropped += u64::from(!passes);
                            (passes, script.delay.mul_f64(rng.f64()))
                        };
                        let address = to.borrow()[b];
                        if let (true, Some(address)) = (passes, address) {
                            let (goes, datagram) = (goes.clone(), bytes[..len].to_vec());
                            tokio::spawn(async move {
                                tokio::time::sleep(after).await;
                                let _ = goes.send_to(&datagram, address).await;
                            });
                        }
                    }
                });
            }
        }
        Ok(relay)
    }

    fn script(&self, change: impl FnOnce(&mut Script)) {
        change(&mut self.script.lock().expect("never held while panicking"));
    }
}

#[derive(Clone, Debug)]
struct Said {
    process: usize,
    /// Which process at that place, counted from 0.
    start: usize,
    line: Value,
}

impl Said {
    fn event(&self) -> &str {
        self.line["event"].as_str().unwrap_or_default()
    }
    fn number(&self, field: &str) -> u64 {
        self.line[field].as_u64().unwrap_or_default()
    }
}

type Log = Arc<Mutex<Vec<Said>>>;

struct Process {
    child: Child,
    at: SocketAddr,
}

struct Group {
    program: PathBuf,
    folder: tempfile::TempDir,
    relay: Relay,
    world: local_environment::LocalEnvironment,
    log: Log,
    news: watch::Sender<usize>,
    processes: Vec<Option<Process>>,
    starts: [usize; INSTANCES],
    fronts: watch::Sender<[Option<SocketAddr>; INSTANCES]>,
}

impl Group {
    async fn start(program: &Path, seed: u64) -> Result<Group> {
        let world = local_environment::LocalEnvironment::start(
            &["127.0.0.1:0"; 4],
            "127.0.0.1:0",
            "127.0.0.1:0",
            Duration::from_secs(3),
        )
        .await;
        let folder = tempfile::tempdir()?;
        let key = folder.path().join("key");
        std::fs::write(&key, format!("a key for this proof alone, seed {seed:020}"))?;
        std::fs::set_permissions(&key, std::os::unix::fs::PermissionsExt::from_mode(0o600))?;
        let operators = format!(
            "// Short times, so that much happens.\n{{ leadership: {{ key: {{ number: 1, file: 'key' }}, pool: [0, 1, 2], \
             hold_ms: {HOLD_MS}, margin_ms: 50, act_within_ms: 300, round_trip_ms: 40, probe_every_ms: 200, \
             prefer_low: false }} }}\n"
        );
        std::fs::write(folder.path().join("operators.json5"), operators)?;
        let (news, _) = watch::channel(0);
        let (fronts, _) = watch::channel([None; INSTANCES]);
        let mut group = Group {
            program: program.to_path_buf(),
            folder,
            relay: Relay::start(seed).await?,
            world,
            log: Log::default(),
            news,
            processes: (0..INSTANCES).map(|_| None).collect(),
            starts: [0; INSTANCES],
            fronts,
        };
        for nth in 0..INSTANCES {
            group.launch(nth).await?;
        }
        Ok(group)
    }

    async fn launch(&mut self, nth: usize) -> Result<()> {
        let mut config: Value = serde_json::from_str(include_str!("../../../../examples/config.json"))?;
        let peers: Vec<String> = (0..INSTANCES)
            .map(|b| Ok(self.relay.sockets[nth][b].local_addr()?.to_string()))
            .collect::<Result<_>>()?;
        config["name"] = format!("n{nth}").into();
        config["listen"] = "127.0.0.1:0".into();
        config["peer_listen"] = "127.0.0.1:0".into();
        config["peers"] = json!(peers);
        config["discovery"] = self.world.discovery.to_string().into();
        config["pipeline"]["address"] = self.world.platform.to_string().into();
        config["settings"]["fleet_size"] = INSTANCES.into();
        config["settings"]["self_index"] = nth.into();
        let path = self.folder.path().join(format!("config-{nth}.json"));
        std::fs::write(&path, config.to_string())?;
        let mut child = tokio::process::Command::new(&self.program)
            .arg("serve")
            .arg("--config")
            .arg(&path)
            .arg("--operators")
            .arg(self.folder.path().join("operators.json5"))
            .env("STAGEPOND_LOG_FORM", "json")
            .env_remove("BALANCER_DISCOVERY")
            .env_remove("BALANCER_LISTEN")
            .env_remove("BALANCER_NAME")
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .with_context(|| format!("{}: is it built?", self.program.display()))?;
        let mut lines = BufReader::new(child.stderr.take().context("no log")?).lines();
        let (log, news, start) = (self.log.clone(), self.news.clone(), self.starts[nth]);
        self.starts[nth] += 1;
        let (mut at, mut datagrams) = (None, None);
        while at.is_none() {
            let line = tokio::time::timeout(PATIENCE, lines.next_line()).await??;
            let line = line.ok_or_else(|| anyhow!("process {nth} ended before it listened"))?;
            let line: Value = serde_json::from_str(&line).with_context(|| line.clone())?;
            at = line["clients"].as_str().and_then(|a| a.parse::<SocketAddr>().ok());
            datagrams = line["datagrams"].as_str().and_then(|a| a.parse::<SocketAddr>().ok());
        }
        tokio::spawn(async move {
            while let Ok(Some(line)) = lines.next_line().await {
                if let Ok(line) = serde_json::from_str::<Value>(&line) {
                    let mut log = log.lock().expect("never held while panicking");
                    log.push(Said { process: nth, start, line });
                    news.send_replace(log.len());
                }
            }
        });
        self.relay.to.send_modify(|to| to[nth] = datagrams);
        self.fronts.send_modify(|fronts| fronts[nth] = at);
        let at = at.context("no address")?;
        self.processes[nth] = Some(Process { child, at });
        Ok(())
    }

    /// The first line from `from` on of which this holds; its place too.
    async fn until(&self, from: usize, what: &str, holds: impl Fn(&Said) -> bool) -> Result<(usize, Said)> {
        let mut news = self.news.subscribe();
        let find = async {
            let mut seen = from;
            loop {
                news.borrow_and_update();
                let found = {
                    let log = self.log.lock().expect("never held while panicking");
                    let found = log[seen.min(log.len())..]
                        .iter()
                        .position(&holds)
                        .map(|at| (seen + at, log[seen + at].clone()));
                    seen = log.len();
                    found
                };
                if let Some(found) = found {
                    return found;
                }
                if news.changed().await.is_err() {
                    std::future::pending::<()>().await;
                }
            }
        };
        tokio::time::timeout(PATIENCE, find)
            .await
            .map_err(|_| anyhow!("{what}: not seen within {PATIENCE:?}"))
    }

    fn here(&self) -> usize {
        self.log.lock().expect("never held while panicking").len()
    }

    async fn leads(&self, from: usize, who: impl Fn(usize) -> bool) -> Result<(usize, Said)> {
        self.until(from, "a leader", |said| said.event() == "leads" && who(said.process)).await
    }

    fn signal(&self, nth: usize, signal: Signal) -> Result<()> {
        let process = self.processes[nth].as_ref().context("no such process")?;
        let pid = process.child.id().context("it has ended")?;
        Ok(kill(Pid::from_raw(pid as i32), signal)?)
    }

    async fn ends(&mut self, nth: usize, signal: Signal) -> Result<()> {
        self.signal(nth, signal)?;
        self.fronts.send_modify(|fronts| fronts[nth] = None);
        if let Some(mut process) = self.processes[nth].take() {
            let _ = process.at;
            tokio::time::timeout(PATIENCE, process.child.wait()).await??;
        }
        Ok(())
    }
}

#[derive(Clone, Debug, Default)]
pub struct Seen {
    pub leaders: usize,
    pub decrees: usize,
    pub votes: usize,
    pub votes_stopped: usize,
    pub answered: u64,
    pub unanswered: u64,
    pub released: bool,
    /// From a trouble to the next leader, by trouble, in ms.
    pub gaps: Vec<(&'static str, u64)>,
    pub broken: Vec<String>,
}

/// What the logs show against what a deposed leader must not do.
fn audit(log: &[Said]) -> Vec<String> {
    let mut broken = Vec::new();
    let mut leads: Vec<(u64, u64, usize)> = Vec::new();
    let mut decrees: BTreeMap<u64, (u64, String)> = BTreeMap::new();
    for said in log {
        match said.event() {
            "leads" => leads.push((said.number("at"), said.number("term"), said.process)),
            "in_force" => {
                let what =
                    (said.number("term"), said.line["decree"].as_str().unwrap_or_default().to_string());
                let known = decrees.entry(said.number("number")).or_insert_with(|| what.clone());
                if *known != what {
                    broken.push(format!("two decrees {}: {known:?}, {what:?}", said.number("number")));
                }
            }
            _ => {}
        }
    }
    leads.sort_unstable();
    for two in leads.windows(2) {
        if two[1].1 <= two[0].1 {
            broken.push(format!("terms of leaders do not rise: {two:?}"));
        }
    }
    for said in log.iter().filter(|said| said.event() == "vote_cast") {
        let (at, until, term) = (said.number("at"), said.number("until"), said.number("term"));
        if at >= until {
            broken.push(format!("a vote cast {} tenths of a ms after its mandate", at - until));
        }
        if !leads.iter().any(|(_, t, process)| *t == term && *process == said.process) {
            broken
                .push(format!("a vote by process {} under term {term}, in which it never led", said.process));
        }
        if let Some((later_at, later, _)) = leads.iter().find(|(l_at, l, _)| *l > term && *l_at < at) {
            broken.push(format!("a vote under term {term} at {at}, while {later} led from {later_at} on"));
        }
        let decreed = decrees.values().any(|(t, decree)| *t <= term && decree.starts_with("Vote"));
        if !decreed {
            broken.push(format!("a vote under term {term} without a decree"));
        }
    }
    broken
}

async fn traffic(
    nth: usize, mut fronts: watch::Receiver<[Option<SocketAddr>; INSTANCES]>, counts: Arc<Mutex<(u64, u64)>>,
) {
    let mut id = 0;
    loop {
        let at = fronts.borrow_and_update()[nth];
        let Some(at) = at else {
            if fronts.changed().await.is_err() {
                return;
            }
            continue;
        };
        let Ok(mut stream) = TcpStream::connect(at).await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        while fronts.borrow()[nth] == Some(at) {
            id += 1;
            let answer = local_environment::invoke(&mut stream, &format!("{nth}-{id}")).await;
            let broke = answer.is_err();
            {
                let mut counts = counts.lock().expect("never held while panicking");
                *(if broke { &mut counts.1 } else { &mut counts.0 }) += 1;
            }
            if broke {
                break;
            }
            tokio::time::sleep(Duration::from_millis(15)).await;
        }
    }
}

fn since(begun: Instant) -> u64 {
    begun.elapsed().as_millis() as u64
}

async fn play(program: &Path, seed: u64) -> Result<Seen> {
    let mut group = Group::start(program, seed).await?;
    let counts = Arc::new(Mutex::new((0, 0)));
    for nth in 0..INSTANCES {
        tokio::spawn(traffic(nth, group.fronts.subscribe(), counts.clone()));
    }
    let mut seen = Seen::default();
    let (_, first) = group.leads(0, |_| true).await?;

    // A vote half written: its decree is in force and its leader is stopped before it can do more.
    let vote = |said: &Said| {
        said.event() == "in_force" && said.line["decree"].as_str().is_some_and(|d| d.starts_with("Vote"))
    };
    let leader = first.process;
    let (at, _) =
        group.until(0, "a vote that is decided", |said| vote(said) && said.process == leader).await?;
    group.signal(leader, Signal::SIGSTOP)?;
    let begun = Instant::now();
    let (_, second) = group.leads(at, |process| process != leader).await?;
    seen.gaps.push(("pause", since(begun)));
    group.signal(leader, Signal::SIGCONT)?;
    group
        .until(at, "the paused one steps down", |said| {
            said.event() == "stepped_down" && said.process == leader
        })
        .await?;

    // A zone with the leader alone in it is cut off; the leader must stop by itself.
    let (leader, at) = (second.process, group.here());
    let others: Vec<usize> = (0..INSTANCES).filter(|n| *n != leader).collect();
    group.relay.script(|s| s.cut.extend(others.iter().flat_map(|n| [(*n, leader), (leader, *n)])));
    let begun = Instant::now();
    let (_, third) = group.leads(at, |process| process != leader).await?;
    seen.gaps.push(("cut", since(begun)));
    group
        .until(at, "the one cut off steps down", |said| {
            said.event() == "stepped_down" && said.process == leader
        })
        .await?;
    group.relay.script(|s| s.cut.clear());

    // One that hears but is not heard, while a fifth of all else is lost.
    let (leader, at) = (third.process, group.here());
    group.relay.script(|s| {
        s.cut.extend((0..INSTANCES).filter(|n| *n != leader).map(|n| (leader, n)));
        s.loss = 0.2;
        s.delay = Duration::from_millis(30);
    });
    let begun = Instant::now();
    let (_, fourth) = group.leads(at, |process| process != leader).await?;
    seen.gaps.push(("mute", since(begun)));
    group.relay.script(|s| (s.cut, s.loss, s.delay) = (BTreeSet::new(), 0.0, Duration::ZERO));

    // A planned end hands over.
    let (leader, at) = (fourth.process, group.here());
    let begun = Instant::now();
    let handed = async { group.leads(at, |process| process != leader).await };
    group.signal(leader, Signal::SIGTERM)?;
    handed.await?;
    seen.gaps.push(("planned end", since(begun)));
    group.ends(leader, Signal::SIGTERM).await.ok();
    group.launch(leader).await?;
    // Until it has what the others know: else the only one to survive what follows would know nothing, and no
    // group could then remember.
    let known = |said: &Said| matches!(said.event(), "in_force" | "caught_up");
    let most = {
        let log = group.log.lock().expect("never held while panicking");
        log.iter().filter(|said| known(said)).map(|said| said.number("number")).max().unwrap_or(0)
    };
    let again = group.starts[leader] - 1;
    let caught_up = |said: &Said| {
        known(said) && said.process == leader && said.start == again && said.number("number") >= most
    };
    group.until(at, "the restarted one catches up", caught_up).await?;

    // A majority is killed at once and comes back without memory.
    let at = group.here();
    let dead = [seed as usize % INSTANCES, (seed as usize + 1) % INSTANCES];
    for nth in dead {
        group.ends(nth, Signal::SIGKILL).await?;
    }
    let begun = Instant::now();
    for nth in dead {
        group.launch(nth).await?;
    }
    group.until(at, "an era", |said| said.event() == "founded").await?;
    group.leads(at, |_| true).await?;
    seen.gaps.push(("majority killed", since(begun)));

    // The build is released in the end, whoever led.
    let begun = Instant::now();
    while group.world.rollout_status() != (2, "Healthy") && begun.elapsed() < PATIENCE {
        let at = group.here();
        let _ = tokio::time::timeout(Duration::from_millis(300), group.until(at, "news", |_| true)).await;
    }
    seen.released = group.world.rollout_status() == (2, "Healthy");
    for nth in 0..INSTANCES {
        group.ends(nth, Signal::SIGTERM).await?;
    }
    let log = group.log.lock().expect("never held while panicking").clone();
    seen.broken = audit(&log);
    let count = |event: &str| log.iter().filter(|said| said.event() == event).count();
    (seen.leaders, seen.votes, seen.votes_stopped) =
        (count("leads"), count("vote_cast"), count("vote_stopped"));
    let numbers: BTreeSet<u64> =
        log.iter().filter(|s| s.event() == "in_force").map(|s| s.number("number")).collect();
    seen.decrees = numbers.len();
    (seen.answered, seen.unanswered) = *counts.lock().expect("never held while panicking");
    if seen.votes == 0 {
        bail!("nobody voted: nothing was shown");
    }
    Ok(seen)
}

/// Plays the whole script with the program at this path.
pub fn prove(program: &Path, seed: u64) -> Result<Seen> {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    let played = runtime.block_on(play(program, seed));
    runtime.shutdown_background();
    played
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;

    fn said(process: usize, line: Value) -> Said {
        Said { process, start: 0, line }
    }

    fn sound() -> Vec<Said> {
        let decree = "Vote { build: 2 }";
        vec![
            said(0, json!({"event": "leads", "at": 100, "term": 5})),
            said(0, json!({"event": "in_force", "number": 2, "term": 5, "decree": decree})),
            said(1, json!({"event": "in_force", "number": 2, "term": 5, "decree": decree})),
            said(0, json!({"event": "vote_cast", "at": 150, "until": 200, "term": 5})),
            said(1, json!({"event": "leads", "at": 300, "term": 6})),
        ]
    }

    #[rstest]
    #[case::late(3, json!({"event": "vote_cast", "at": 200, "until": 200, "term": 5}), "after its mandate")]
    #[case::deposed(3, json!({"event": "vote_cast", "at": 350, "until": 400, "term": 5}), "while 6 led")]
    #[case::never_led(3, json!({"event": "vote_cast", "at": 150, "until": 200, "term": 4}), "never led")]
    #[case::two_decrees(2, json!({"event": "in_force", "number": 2, "term": 5, "decree": "Vote { build: 3 }"}), "two decrees")]
    #[case::same_term(4, json!({"event": "leads", "at": 300, "term": 5}), "do not rise")]
    #[case::no_decree(1, json!({"event": "other"}), "")]
    fn the_audit_finds_what_it_is_for(#[case] at: usize, #[case] line: Value, #[case] what: &str) {
        let mut log = sound();
        assert_eq!(audit(&log), Vec::<String>::new());
        log[at].line = line;
        if what.is_empty() {
            log[2].line = json!({"event": "other"});
            assert!(audit(&log).iter().any(|b| b.contains("without a decree")), "{:?}", audit(&log));
        } else {
            assert!(audit(&log).iter().any(|b| b.contains(what)), "{:?}", audit(&log));
        }
    }
}
