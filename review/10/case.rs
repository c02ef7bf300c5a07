//! The answer to a vote comes late, after the platform's stream has told that the build goes back. Does the
//! sidecar send to that build again?

#[path = "../common-2/world.rs"]
mod world;

use std::net::UdpSocket;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use world::*;

/// The usual time of a vote's answer, and the late one; the sidecar waits for `vote_wait_ms`, 1200 ms.
const ANSWER_MS: u64 = 150;
const ANSWER_LATE_MS: u64 = 1000;
/// Another sidecar's vote sends the build back so long after the first vote.
const BACK_AFTER: Duration = Duration::from_millis(300);
/// The machines of the earlier build run again, and those of the build that goes back drain, so long after that.
const DRAINS_AFTER: Duration = Duration::from_secs(5);
/// `stop_sending_within_ms`, the 50 ms by which each time limit grows on sockets, and the 150 ms after which a
/// lower cap binds there.
const BINDS_AFTER: Duration = Duration::from_millis(2200);
/// What may be sent there all the same: `spare_tries`, 1, and the 2 attempts that the cap lets pass on sockets. What is
/// counted here comes within less than one `exposure_window_ms`.
const MAY_PASS: usize = 3;
const CLIENTS: usize = 8;

fn case(record: &Arc<Record>) -> i32 {
    let attempts = Attempts::default();
    let pod = |name: &str, release: u32| Listed::new(name, start_pod(name, ms(20), &attempts, record), release);
    let mut pods: Vec<Listed> = ["s-0", "s-1", "s-2", "s-3"].iter().map(|name| pod(name, 41)).collect();
    pods.push(Listed { since_ms: unix_ms() - 5000, ..pod("s-4", 42) });
    let list = list_json(41, true, &pods);
    let discovery = Discovery::start(41, pods, record);
    let promoted = Arc::new(Mutex::new(None::<Instant>));
    let (promoted_by_vote, late) = (promoted.clone(), if trouble() { ANSWER_LATE_MS } else { ANSWER_MS });
    // Stage 1 stands. A vote to go on moves the build to stage 2, as least_stage_ms has passed by then.
    let platform = Platform::start(Standing::new(42, 1, "Progressing", 0.204), 6000, record, move |vote, standing| {
        let mut promoted = promoted_by_vote.lock().unwrap();
        if vote.verdict == "promote" && vote.stage == 1 && promoted.is_none() {
            *promoted = Some(vote.at);
            return (response("200 OK", "", &Standing::new(42, 2, "Progressing", 0.68).xml()), ms(late));
        }
        match standing.phase {
            "Progressing" => (response("200 OK", "", &standing.xml()), ms(ANSWER_MS)),
            _ => (response("400 Bad Request", "", "<Error><Code>conflict</Code></Error>"), ms(ANSWER_MS)),
        }
    });
    let peers: Vec<UdpSocket> = (0..3).map(|_| UdpSocket::bind("127.0.0.1:0").unwrap()).collect();
    let base = SidecarSetup::new(discovery.address, &platform, list);
    let mut addresses = vec![base.peer_listen];
    // The other two sidecars say nothing.
    addresses.extend(peers[1..].iter().map(|peer| peer.local_addr().unwrap()));
    let setup = SidecarSetup { fleet_size: 3, layout: "in_place", peers: addresses, ..base };
    let mut sidecar = Sidecar::start(&setup, record);
    if !sidecar.wait_ready(ms(10_000), record) {
        give_up("the sidecar is not ready");
    }
    let (listen, end) = (sidecar.listen, Instant::now() + ms(45_000));
    for number in 0..CLIENTS {
        thread::spawn(move || {
            let mut client = Client::new(listen);
            for n in 0.. {
                client.ask(&Ask::get(format!("c{number}-{n:05}"), "scoreboard", 2500), ms(3500));
                thread::sleep(ms(20));
            }
        });
    }
    let promoted_at = loop {
        if let Some(at) = *promoted.lock().unwrap() {
            break at;
        }
        if Instant::now() > end {
            give_up("the sidecar did not vote");
        }
        thread::sleep(ms(5));
    };
    // The news of stage 2 takes 100 ms.
    thread::sleep(ms(100).saturating_sub(promoted_at.elapsed()));
    platform.set(Standing { since: promoted_at, ..Standing::new(42, 2, "Progressing", 0.68) });
    thread::sleep(BACK_AFTER.saturating_sub(promoted_at.elapsed()));
    platform.set(Standing::new(42, 2, "Aborting", 0.0));
    let back_at = Instant::now();
    thread::sleep(DRAINS_AFTER);
    discovery.change(|pods| pods[4].status = "terminating");
    thread::sleep(ms(3000));
    if sidecar.has_exited() {
        give_up("the sidecar exited");
    }
    let new_build: Vec<Attempt> = attempts.lock().unwrap().iter().filter(|a| a.pod == "s-4").cloned().collect();
    let before = new_build.iter().filter(|a| a.last_byte < back_at).count();
    let after: Vec<u128> = new_build
        .iter()
        .filter(|a| a.last_byte > back_at + BINDS_AFTER)
        .map(|a| a.last_byte.duration_since(back_at).as_millis())
        .collect();
    record.say(&format!(
        "attempts at build 42 before its cap was told to be 0: {before}; more than {BINDS_AFTER:?} after: {}, from \
         {:?} to {:?} ms after",
        after.len(),
        after.first(),
        after.last()
    ));
    if before == 0 {
        return COULD_NOT_RUN;
    }
    if after.len() <= MAY_PASS {
        HELD
    } else {
        BROKEN
    }
}

fn main() {
    run_case(case);
}
