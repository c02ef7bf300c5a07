//! A group with leadership, a disk and a frozen build is restarted, one sidecar after the other. Is the frozen
//! build voted on?

#[path = "../common-2/world.rs"]
mod world;

use std::net::UdpSocket;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use world::*;

const SIDECARS: usize = 4;
/// One of four at a time, all within 18 s.
const RESTARTS_AT_S: [u64; SIDECARS] = [16, 22, 28, 34];
const RUN: Duration = Duration::from_secs(46);
/// Each stage's cap, and the machines of the five places that run the build in it.
const STAGES: [(f64, usize); 4] = [(0.051, 1), (0.204, 1), (0.68, 2), (1.0, 5)];

fn case(record: &Arc<Record>) -> i32 {
    let started = Instant::now();
    let attempts = Attempts::default();
    let pod = |name: &str, release: u32| Listed::new(name, start_pod(name, ms(20), &attempts, record), release);
    let mut pods: Vec<Listed> = ["s-0", "s-1", "s-2", "s-3"].iter().map(|name| pod(name, 41)).collect();
    pods.push(Listed { since_ms: unix_ms() - 10_000, ..pod("s-4", 42) });
    let later: Vec<Listed> = ["s-5", "s-6", "s-7", "s-8"].iter().map(|name| pod(name, 42)).collect();
    let list = list_json(41, true, &pods);
    let discovery = Arc::new(Discovery::start(41, pods, record));
    // One vote for it moves the build on, once the stage has lasted for least_stage_ms.
    let machines = discovery.clone();
    let first_stage = Standing::new(42, 0, "Progressing", STAGES[0].0);
    let platform = Platform::start(first_stage, 6000, record, move |vote, standing| {
        let present = vote.build == 42 && vote.stage == standing.stage && standing.phase == "Progressing";
        if !present {
            return (response("400 Bad Request", "", "<Error><Code>conflict</Code></Error>"), ms(100));
        }
        if vote.verdict == "promote" && standing.since.elapsed() >= ms(3000) {
            let next = standing.stage as usize + 1;
            *standing = match STAGES.get(next) {
                Some((cap, _)) => Standing::new(42, next as u32, "Progressing", *cap),
                None => Standing::new(42, standing.stage, "Healthy", 1.0),
            };
            let new: Vec<Listed> =
                later.iter().take(STAGES.get(next).map_or(4, |(_, count)| count - 1)).cloned().collect();
            machines.change(|pods| {
                pods.truncate(5);
                pods.extend(new.into_iter().map(|pod| Listed { since_ms: unix_ms(), ..pod }));
            });
        }
        (response("200 OK", "", &standing.xml()), ms(100))
    });
    let peers: Vec<_> = (0..SIDECARS).map(|_| UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap()).collect();
    let setups: Vec<SidecarSetup> = (0..SIDECARS)
        .map(|n| {
            let operators = "{ leadership: { key: { number: 1, file: \"leadership-1.key\" }, voters: 3, \
                             pool: [0, 1, 2, 3], state: \"promises\", frozen: [42] } }\n";
            SidecarSetup {
                name: format!("n{n}"),
                self_index: n,
                fleet_size: SIDECARS,
                peer_listen: peers[n],
                peers: peers.clone(),
                seed: format!("8c1f30d27a5be96{n}"),
                operators: Some(operators.into()),
                ..SidecarSetup::new(discovery.address, &platform, list.clone())
            }
        })
        .collect();
    let mut sidecars: Vec<Sidecar> = setups.iter().map(|setup| Sidecar::start(setup, record)).collect();
    let addresses: Vec<_> = sidecars.iter().map(|sidecar| sidecar.listen).collect();
    for sidecar in &mut sidecars {
        if !sidecar.wait_ready(ms(10_000), record) {
            give_up("a sidecar is not ready");
        }
    }
    for (number, &address) in addresses.iter().enumerate() {
        thread::spawn(move || {
            let mut client = Client::new(address);
            for n in 0.. {
                client.ask(&Ask::get(format!("c{number}-{n:05}"), "scoreboard", 2500), ms(3000));
                thread::sleep(ms(50));
            }
        });
    }
    for (n, at) in RESTARTS_AT_S.into_iter().enumerate() {
        thread::sleep(Duration::from_secs(at).saturating_sub(started.elapsed()));
        if sidecars.iter_mut().any(Sidecar::has_exited) {
            give_up("a sidecar exited");
        }
        // Who is no voter may have learnt it from a snapshot of the log, which names no entry.
        let told = ["Freeze { build: 42, frozen: true }", "snapshot of the log installed"];
        let lines: usize = told.iter().map(|text| sidecars[n].log_lines(text).len()).sum();
        record
            .say(&format!("n{n}: {lines} lines of its log say that it has the freeze of build 42, or the log with it"));
        if lines == 0 {
            give_up("the freeze is not in force");
        }
        if !trouble() {
            continue;
        }
        record.say(&format!("n{n} is restarted (SIGTERM, then the same command)"));
        sidecars[n].signal(SIGTERM);
        if !sidecars[n].wait_exit(ms(4500)) {
            give_up("the sidecar does not end");
        }
        sidecars[n] = Sidecar::start_at(&setups[n], addresses[n], record);
        if !sidecars[n].wait_ready(ms(10_000), record) {
            give_up("the restarted sidecar is not ready");
        }
    }
    thread::sleep(RUN.saturating_sub(started.elapsed()));
    if sidecars.iter_mut().any(Sidecar::has_exited) {
        give_up("a sidecar exited");
    }
    for (n, sidecar) in sidecars.iter().enumerate() {
        for line in sidecar
            .log_lines("event=")
            .iter()
            .filter(|l| l.contains("leads") || l.contains("in_force") || l.contains("vote_cast"))
        {
            record.line(&format!("LOG n{n}: {line}"));
        }
    }
    let votes = platform.votes.lock().unwrap();
    let promoted: Vec<&Vote> = votes.iter().filter(|v| v.build == 42 && v.verdict == "promote").collect();
    let standing = platform.standing();
    record.say(&format!(
        "votes for the frozen build to go on: {}; it stands at stage {} ({}), cap {}",
        promoted.len(),
        standing.stage,
        standing.phase,
        standing.cap
    ));
    if let Some(first) = promoted.first() {
        record.say(&format!("the first {:.1} s after the start", first.at.duration_since(started).as_secs_f64()));
    }
    if promoted.is_empty() {
        HELD
    } else {
        BROKEN
    }
}

fn main() {
    run_case(case);
}
