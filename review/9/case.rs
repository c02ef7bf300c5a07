//! Discovery takes 1.5 s to begin its answer to a call. Does a sidecar that starts learn that a pod drains, and
//! does one that knows no pod yet become ready?

#[path = "../common-2/world.rs"]
mod world;

use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use world::*;

/// How long discovery takes to answer a call; it may take 2 s.
const SLOW_MS: u64 = 1500;
/// What discovery has counts as told after this time at the latest, and sends to a draining pod end this much
/// later; both with the 50 ms by which each time limit grows on sockets.
const TOLD_WITHIN: Duration = Duration::from_millis(6050);
const STOP_WITHIN: Duration = Duration::from_millis(2050);
const READY_WITHIN: Duration = Duration::from_secs(30);
const RUN: Duration = Duration::from_secs(32);
const CLIENTS: usize = 6;

/// A pod that drains: it has nothing in work and turns new work away.
fn draining_pod(name: &'static str, attempts: Attempts, record: Arc<Record>) -> SocketAddr {
    listen(move |mut conn| {
        while let Ok(Some(request)) = conn.read_request() {
            note_attempt(name, &request, &attempts, &record);
            if conn.respond("503 Service Unavailable", "X-Not-Processed: 1\r\n", "").is_err() {
                return;
            }
        }
    })
}

fn case(record: &Arc<Record>) -> i32 {
    let attempts = Attempts::default();
    let mut pods = vec![Listed::new("s-0", draining_pod("s-0", attempts.clone(), record.clone()), 41)];
    for name in ["s-1", "s-2"] {
        pods.push(Listed::new(name, start_pod(name, ms(20), &attempts, record), 41));
    }
    // Both sidecars start. The last list of n0 has the pod in service, discovery does not; n1 has no list yet.
    let last_list = list_json(41, true, &pods);
    pods[0].status = "terminating";
    let discovery = Discovery::start(42, pods, record);
    if trouble() {
        discovery.answer_delay_ms.store(SLOW_MS, Ordering::SeqCst);
    }
    let platform = Platform::start(Standing::new(41, 0, "Healthy", 1.0), 6000, record, |_, standing| {
        (response("200 OK", "", &standing.xml()), ms(0))
    });
    let peers: Vec<_> = (0..2).map(|_| UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap()).collect();
    let setup = |n: usize, known: String| SidecarSetup {
        name: format!("n{n}"),
        self_index: n,
        fleet_size: 2,
        peer_listen: peers[n],
        peers: peers.clone(),
        ..SidecarSetup::new(discovery.address, &platform, known)
    };
    let started = Instant::now();
    let mut with_list = Sidecar::start(&setup(0, last_list), record);
    let mut without_list = Sidecar::start(&setup(1, list_json(0, true, &[])), record);
    if !with_list.wait_ready(ms(10_000), record) {
        give_up("n0 is not ready");
    }
    let listen = with_list.listen;
    let unserved = Arc::new(Mutex::new(0));
    let client = |number: usize| {
        let (record, unserved) = (record.clone(), unserved.clone());
        thread::spawn(move || {
            let mut client = Client::new(listen);
            for n in 0.. {
                if started.elapsed() >= RUN {
                    return n;
                }
                let id = format!("c{number}-{n:05}");
                let ended = client.ask(&Ask::get(id.clone(), "scoreboard", 2500), ms(3500));
                record.line(&format!("CLIENT {id}: {}", ended.status()));
                *unserved.lock().unwrap() += usize::from(ended.status() != 200);
                thread::sleep(ms(20));
            }
            0
        })
    };
    let clients: Vec<_> = (0..CLIENTS).map(client).collect();
    let ready = without_list.wait_ready(READY_WITHIN.saturating_sub(started.elapsed()), record);
    record.say(&format!("n1, which knows no pod, is ready within {READY_WITHIN:?}: {ready}"));
    let asked: usize = clients.into_iter().map(|client| client.join().unwrap()).sum();
    if with_list.has_exited() || without_list.has_exited() {
        give_up("a sidecar exited");
    }
    let attempts = attempts.lock().unwrap();
    let may_until = started + TOLD_WITHIN + STOP_WITHIN;
    let too_late = attempts.iter().filter(|a| a.pod == "s-0" && a.first_byte > may_until).count();
    record.say(&format!(
        "{asked} requests at n0, {} not served; attempts begun at the draining pod more than {:?} after the start: \
         {too_late}; calls to discovery: {}",
        unserved.lock().unwrap(),
        TOLD_WITHIN + STOP_WITHIN,
        discovery.calls.load(Ordering::SeqCst)
    ));
    if asked < 500 {
        return COULD_NOT_RUN;
    }
    if too_late == 0 && ready {
        HELD
    } else {
        BROKEN
    }
}

fn main() {
    run_case(case);
}
