//! The program itself on loopback ports that the system picks, against stand-ins. Every wait is for an
//! event: a message, an end of a connection, a line of the log.

#[path = "../../../examples/mock_server.rs"]
mod mock_server;

use std::net::SocketAddr;
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};

use mock_server::{MockServer, Request, ServerEvent};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use rstest::rstest;
use serde_json::{json, Value};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::net::{TcpStream, UdpSocket};
use tokio::process::{Child, ChildStderr};

const PATIENCE: Duration = Duration::from_secs(10);

fn settings() -> Value {
    let operation = |name: &str, repeat: &str| {
        json!({"name": name, "repeat": repeat, "group": "all", "window_ms": 5000.0, "aim_ms": 600.0,
               "deadline_ms": 2500.0, "worth": 1.0, "streaming": false})
    };
    json!({
        "bounds": {"cancel": true, "connect_timeout_ms": 250.0, "idle_close_ms": 15000.0, "max_attempts": 3,
                   "max_retry_after_ms": 1500.0, "parallel_tries": false, "peers": true, "probing": false,
                   "retry_after": true},
        "classes": [operation("lookup", "pure"), operation("order", "side_effect"), operation("note", "token")],
        "family_info": {"ballot_ttl_ms": 6000.0, "caps": [0.5], "counts": "all", "flag_share": 0.1,
                        "guarded_stages": 0, "least_stage_ms": 0.0, "no_return": false, "spare_tries": 1.0,
                        "tally_every_ms": 0.0, "vote_mode": "any", "vote_wait_ms": 1200.0},
        "fleet_size": 2, "self_index": 0,
        "guarantees": {"cold_share": 0.3, "fall_multiple": 3.0, "ramp_time_ms": 4000.0},
        "membership_mode": "automatic", "prices": {"cross_zone": 0.1}, "report": {"how": "piggyback"},
        "skus": ["std"], "worth_by": "work", "zone": "a", "zones": ["a", "b"]
    })
}

fn entry(name: &str, address: SocketAddr, status: &str, build: u16) -> Value {
    json!({"name": name, "address": address.to_string(), "zone": "a", "type": "std", "group": 0,
           "status": status, "weight": 1.0, "since_ms": 0, "release": build})
}

fn list(index: u64, snapshot: bool, endpoints: &[Value]) -> String {
    json!({"index": index, "snapshot": snapshot, "endpoints": endpoints}).to_string() + "\n"
}

struct Sidecar {
    child: Child,
    log: Lines<BufReader<ChildStderr>>,
    address: SocketAddr,
    datagrams: SocketAddr,
    discovery: MockServer,
    watch: Option<Request>,
    platform: MockServer,
    peer: UdpSocket,
    config: Value,
    folder: tempfile::TempDir,
}

impl Sidecar {
    async fn start(pods: &[SocketAddr]) -> Sidecar {
        Sidecar::start_with(pods, |_| ()).await
    }

    /// Starts it with a list of these pods, waits until it watches the list and says that it is ready.
    async fn start_with(pods: &[SocketAddr], change: impl FnOnce(&mut Value)) -> Sidecar {
        let (discovery, platform) =
            (MockServer::start("127.0.0.1:0").await, MockServer::start("127.0.0.1:0").await);
        let peer = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let endpoints: Vec<Value> = (0..)
            .zip(pods)
            .map(|(n, pod): (u32, _)| entry(&format!("pod-{n}"), *pod, "in_service", 1))
            .collect();
        let mut config = json!({
            "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.address.to_string(), "seed": "5eed",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
            "peer_listen": "127.0.0.1:0", "peers": ["127.0.0.1:9", peer.local_addr().unwrap().to_string()],
            "pipeline": {"address": platform.address.to_string(),
                         "news": {"build": 1, "stage": 0, "phase": "Healthy", "cap": 1.0, "age_ms": 0}},
            "known": {"index": 41, "snapshot": true, "endpoints": endpoints},
            "settings": settings(),
        });
        change(&mut config);
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("config.json");
        std::fs::write(&path, config.to_string()).unwrap();
        let mut child = tokio::process::Command::new(env!("CARGO_BIN_EXE_stagepond"))
            .args(["serve", "--config"])
            .arg(&path)
            .env("BALANCER_DISCOVERY", discovery.address.to_string())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .unwrap();
        let log = BufReader::new(child.stderr.take().unwrap()).lines();
        let none: SocketAddr = "127.0.0.1:0".parse().unwrap();
        let (address, datagrams, watch) = (none, none, None);
        let mut sidecar =
            Sidecar { child, log, address, datagrams, discovery, watch, platform, peer, config, folder };
        let listening = sidecar.logged("listening").await;
        let at = |field: &str| -> SocketAddr {
            let (_, rest) = listening.split_once(field).unwrap();
            rest.split(' ').next().unwrap().parse().unwrap()
        };
        (sidecar.address, sidecar.datagrams) = (at("clients="), at("datagrams="));
        let watch = sidecar.discovery.next_request().await;
        watch.start_chunked("application/json");
        watch.send_chunk(&list(41, false, &[]));
        sidecar.watch = Some(watch);
        sidecar.logged("state=Ready").await;
        sidecar
    }

    /// The next line with these words; other lines may come without end.
    async fn logged(&mut self, what: &str) -> String {
        let found = async {
            loop {
                let line = self.log.next_line().await.unwrap();
                let line = line.unwrap_or_else(|| panic!("ended before it logged {what:?}"));
                if line.contains(what) {
                    return line;
                }
            }
        };
        tokio::time::timeout(PATIENCE, found).await.unwrap_or_else(|_| panic!("{what:?} was never logged"))
    }

    fn lists(&self, line: &str) {
        self.watch.as_ref().unwrap().send_chunk(line);
    }

    fn reconfigure(&self, text: &str) {
        std::fs::write(self.folder.path().join("config.json"), text).unwrap();
        self.signal(Signal::SIGHUP);
    }

    fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id().unwrap() as i32), signal).unwrap();
    }

    async fn client(&self) -> Client {
        Client(TcpStream::connect(self.address).await.unwrap())
    }
}

struct Client(TcpStream);

fn message(method: &str, target: &str, headers: &str, body: &str) -> String {
    let operation = target.split(['/', '?']).nth(1).unwrap();
    format!(
        "{method} {target} HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: 9b1f\r\n\
         X-Priority-Class: {operation}\r\nX-Tenant-Id: acme\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

const LOOKUP: &str = "GET /lookup HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: 9b1f\r\n\
                      X-Priority-Class: lookup\r\nX-Timeout-Ms: 5000\r\n\r\n";

impl Client {
    /// Each client's invocations have an id of their own.
    async fn send(&mut self, message: &str) {
        let id = format!("of-{}", self.0.local_addr().unwrap().port());
        self.0.write_all(message.replace("9b1f", &id).as_bytes()).await.unwrap();
    }

    /// The status and all that came, head and body; 0 where the connection ended without an answer.
    async fn answer(&mut self) -> (u16, String) {
        let mut read = Vec::new();
        loop {
            let text = String::from_utf8_lossy(&read).into_owned();
            if let Some((head, body)) = text.split_once("\r\n\r\n") {
                let lower = head.to_lowercase();
                let length = lower.split("content-length: ").nth(1).and_then(|l| l.lines().next());
                if body.len() >= length.map_or(0, |l| l.parse().unwrap()) {
                    return (head.split(' ').nth(1).unwrap().parse().unwrap(), text);
                }
            }
            let came = tokio::time::timeout(PATIENCE, self.0.read_buf(&mut read)).await;
            if came.expect("no answer").unwrap_or(0) == 0 {
                return (0, text);
            }
        }
    }

    async fn says(&mut self, message: &str) -> (u16, String) {
        self.send(message).await;
        self.answer().await
    }
}

/// An invocation that goes through.
async fn succeeds(client: &mut Client, pod: &mut MockServer) {
    client.send(LOOKUP).await;
    pod.next_request().await.respond("200 OK", "", "made by the pod");
    assert_eq!(client.answer().await.0, 200);
}

async fn pod() -> MockServer {
    MockServer::start("127.0.0.1:0").await
}

/// An address at which nobody listens.
async fn nowhere() -> SocketAddr {
    tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap()
}

fn messages(server: &mut MockServer) -> usize {
    server.drain_events().iter().filter(|event| matches!(event, ServerEvent::Request(_))).count()
}

#[rstest]
#[tokio::test]
async fn an_invocation_goes_on_unchanged_and_its_answer_comes_back_unchanged() {
    let mut pod = pod().await;
    let sidecar = Sidecar::start(&[pod.address]).await;
    let mut client = sidecar.client().await;
    assert_eq!(client.says("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n").await.0, 200);
    let id = format!("of-{}", client.0.local_addr().unwrap().port());
    let headers = "X-Timeout-Ms: 480\r\nIdempotency-Key: 5c0f\r\nX-Attrs: a=1\r\n";
    client.send(&message("POST", "/note/7?k=a%20b", headers, "as it is")).await;
    let came = pod.next_request().await;
    assert!(came.head.starts_with("POST /note/7?k=a%20b HTTP/1.1"), "{}", came.head);
    assert_eq!(
        (came.header("x-request-id"), came.header("idempotency-key")),
        (Some(id.as_str()), Some("5c0f"))
    );
    assert_eq!(came.body, b"as it is");
    let wait: u32 = came.header("x-timeout-ms").unwrap().parse().unwrap();
    assert!((380..=480).contains(&wait), "{wait}");
    came.respond("200 OK", "X-Server-Load: rif=3\r\nContent-Type: text/x-test\r\n", "made by the pod");
    let (status, text) = client.answer().await;
    assert_eq!(status, 200);
    assert!(text.ends_with("\r\n\r\nmade by the pod"), "{text}");
    assert!(text.contains("text/x-test") && !text.to_lowercase().contains("x-server-load"), "{text}");
}

#[rstest]
#[tokio::test]
async fn a_connection_that_stands_is_used_again_and_none_is_opened_beside_it() {
    let mut pod = pod().await;
    let sidecar = Sidecar::start(&[pod.address]).await;
    let mut client = sidecar.client().await;
    for _ in 0..40 {
        client.send(LOOKUP).await;
        let came = pod.next_request().await;
        assert_eq!(came.connection, 1);
        came.respond("200 OK", "", "made by the pod");
        assert_eq!(client.answer().await.0, 200);
    }
}

#[rstest]
#[tokio::test]
async fn a_dispatch_that_no_connection_takes_is_placed_elsewhere() {
    let mut pod = pod().await;
    let sidecar = Sidecar::start(&[nowhere().await, pod.address]).await;
    for _ in 0..8 {
        let mut client = sidecar.client().await;
        client.send(&message("POST", "/order", "X-Timeout-Ms: 5000\r\n", "once")).await;
        pod.next_request().await.respond("200 OK", "", "done");
        assert_eq!(client.answer().await.0, 200);
    }
}

#[rstest]
#[case::reset("", true)]
#[case::cut_off_amid_the_answer("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf", true)]
#[case::no_http("nonsense\r\n\r\n", false)]
#[case::endless_head(&format!("HTTP/1.1 200 OK\r\nX-Long: {}", "x".repeat(300_000)), false)]
#[case::lengths_that_differ("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc", false)]
#[case::far_too_long(&format!("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n{}", "x".repeat(300_000)), false)]
#[case::no_length_and_ended("HTTP/1.1 200 OK\r\n\r\nhalf", false)]
#[case::error("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n", false)]
#[tokio::test]
async fn what_may_have_run_goes_out_again_only_where_that_does_no_harm(
    #[case] reply: &str, #[case] reset: bool, #[values("/order", "/lookup")] operation: &str,
) {
    let (mut one, mut two) = (pod().await, pod().await);
    let sidecar = Sidecar::start(&[one.address, two.address]).await;
    let mut client = sidecar.client().await;
    let (method, again) = if operation == "/order" { ("POST", false) } else { ("GET", true) };
    client.send(&message(method, operation, "X-Timeout-Ms: 5000\r\n", "")).await;
    let came = tokio::select! { came = one.next_request() => came, came = two.next_request() => came };
    came.send_raw(reply);
    match reset {
        true => came.reset(),
        // An error is followed by more on the same connection; all else is spoilt.
        false if !reply.contains("500") => came.close(),
        false => {}
    }
    if again {
        let came = tokio::select! { came = one.next_request() => came, came = two.next_request() => came };
        came.respond("200 OK", "", "the second time");
    }
    assert_eq!(client.answer().await.0, if again { 200 } else { 502 });
    assert_eq!(messages(&mut one) + messages(&mut two), 0);
}

#[rstest]
#[case::no_proof("", 502)]
#[case::proof("X-Not-Processed: 1\r\n", 200)]
#[tokio::test]
async fn only_a_proof_makes_a_pods_503_harmless_and_it_never_reaches_the_client(
    #[case] headers: &str, #[case] status: u16,
) {
    let mut pod = pod().await;
    let sidecar = Sidecar::start(&[pod.address]).await;
    let mut client = sidecar.client().await;
    client.send(&message("POST", "/order", "X-Timeout-Ms: 5000\r\n", "once")).await;
    pod.next_request().await.respond("503 Busy", headers, "not for clients");
    if status == 200 {
        pod.next_request().await.respond("200 OK", "", "done");
    }
    let (got, text) = client.answer().await;
    assert_eq!(got, status);
    assert!(!text.contains("not for clients"));
    assert_eq!(messages(&mut pod), 0);
}

#[rstest]
#[tokio::test]
async fn a_dispatch_out_of_time_loses_its_connection_before_the_next_is_sent() {
    let mut pod = pod().await;
    let sidecar = Sidecar::start(&[pod.address]).await;
    let mut client = sidecar.client().await;
    let begun = Instant::now();
    client.send(&message("POST", "/order", "X-Timeout-Ms: 300\r\n", "once")).await;
    let came = pod.next_request().await;
    assert_eq!(client.answer().await.0, 502);
    let took = begun.elapsed();
    assert!(took >= Duration::from_millis(295) && took < Duration::from_millis(900), "{took:?}");
    client.send(LOOKUP).await;
    // In the order in which the pod saw it: the end of the first connection, then the next message.
    let mut closed = false;
    let next = loop {
        match pod.next_event().await {
            ServerEvent::Closed(connection) => closed |= connection == came.connection,
            ServerEvent::Request(next) => break next,
            ServerEvent::Opened => {}
        }
    };
    assert!(closed && next.connection != came.connection);
    came.respond("200 OK", "", "too late");
    next.respond("200 OK", "", "in time");
    assert!(client.answer().await.1.ends_with("in time"));
}

#[rstest]
#[tokio::test]
async fn a_pod_that_never_takes_a_connection_is_left_after_the_connect_time_out() {
    // A full accept queue drops what would connect, as a machine that vanished does.
    let full = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    full.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
    full.listen(0).unwrap();
    let silent = full.local_addr().unwrap().as_socket().unwrap();
    let _first = TcpStream::connect(silent).await.unwrap();
    let sidecar = Sidecar::start(&[silent]).await;
    let mut client = sidecar.client().await;
    let begun = Instant::now();
    let (status, _) = client.says(&message("POST", "/order", "X-Timeout-Ms: 3000\r\n", "once")).await;
    assert_eq!(status, 503, "nothing was sent, so trying again is harmless");
    assert!(begun.elapsed() < Duration::from_millis(2000), "{:?}", begun.elapsed());
}

#[rstest]
#[tokio::test]
async fn a_client_that_goes_takes_nothing_with_it() {
    let mut pod = pod().await;
    let sidecar = Sidecar::start(&[pod.address]).await;
    let mut gone = sidecar.client().await;
    gone.send(LOOKUP).await;
    let came = pod.next_request().await;
    drop(gone);
    let mut half = sidecar.client().await;
    half.send("POST /note HTTP/1.1\r\nX-Request-ID: 1\r\nContent-Length: 100\r\n\r\nhalf").await;
    drop(half);
    came.respond("200 OK", "", "for nobody");
    let mut client = sidecar.client().await;
    succeeds(&mut client, &mut pod).await;
}

#[rstest]
#[case::unknown_path("GET", "/nothing", "X-Timeout-Ms: 9\r\n", 404)]
#[case::no_time_limit("GET", "/lookup", "", 400)]
#[case::bad_time_limit("GET", "/lookup", "X-Timeout-Ms: soon\r\n", 400)]
#[case::no_time_left("GET", "/lookup", "X-Timeout-Ms: 0\r\n", 400)]
#[case::less_than_no_time("GET", "/lookup", "X-Timeout-Ms: -9\r\n", 400)]
#[case::endless_time("GET", "/lookup", "X-Timeout-Ms: 4000000000\r\n", 400)]
#[case::two_time_limits("GET", "/lookup", "X-Timeout-Ms: 900\r\nX-Timeout-Ms: 9\r\n", 400)]
#[case::two_ids("GET", "/lookup", "X-Request-ID: another\r\nX-Timeout-Ms: 900\r\n", 400)]
#[case::two_lengths("POST", "/order", "X-Timeout-Ms: 900\r\nContent-Length: 0\r\n", 400)]
#[case::chunks_first("POST", "/order", "X-Timeout-Ms: 900\r\nTransfer-Encoding: chunked\r\n", 400)]
#[case::negative_length("POST", "/order", "X-Timeout-Ms: 900\r\ncontent-length: -3\r\n", 400)]
#[case::long_head("GET", "/lookup", &format!("X-Timeout-Ms: 900\r\nX-Long: {}\r\n", "x".repeat(30_000)), 431)]
#[case::method("POST", "/lookup", "X-Timeout-Ms: 9\r\n", 400)]
#[case::method_of_an_effect("GET", "/order", "X-Timeout-Ms: 9\r\n", 400)]
#[case::no_fingerprint("POST", "/note", "X-Timeout-Ms: 9\r\n", 400)]
#[case::too_long("POST", "/order", "X-Timeout-Ms: 9000\r\n", 413)]
#[tokio::test]
async fn a_malformed_invocation_is_turned_back_and_no_other_connection_is_touched(
    #[case] method: &str, #[case] target: &str, #[case] headers: &str, #[case] status: u16,
) {
    let mut pod = pod().await;
    let sidecar = Sidecar::start(&[pod.address]).await;
    let (mut good, mut bad) = (sidecar.client().await, sidecar.client().await);
    good.send(LOOKUP).await;
    let came = pod.next_request().await;
    let body = if status == 413 { "x".repeat(70_000) } else { String::new() };
    let written = bad.0.write_all(message(method, target, headers, &body).as_bytes()).await;
    assert!(written.is_ok() || status == 413);
    assert_eq!(bad.answer().await.0, status);
    let mut no_id = sidecar.client().await;
    assert_eq!(no_id.says(&LOOKUP.replace("X-Request-ID", "X-Other")).await.0, 400);
    came.respond("200 OK", "", "made by the pod");
    assert_eq!(good.answer().await.0, 200);
    assert_eq!(messages(&mut pod), 0);
}

/// The library takes the encoding and strips the length, and a pod that goes by the length finds a second
/// message in the body.
#[rstest]
#[tokio::test]
async fn a_length_behind_chunks_is_turned_back_and_the_connection_with_it() {
    let mut pod = pod().await;
    let sidecar = Sidecar::start(&[pod.address]).await;
    let mut client = sidecar.client().await;
    let head = message("POST", "/order", "X-Timeout-Ms: 900\r\nTransfer-Encoding: chunked\r\n", "");
    client.send(&head.replace("Content-Length: 0", "cOntent-length: 5")).await;
    client.send(&format!("0\r\n\r\n{LOOKUP}")).await;
    assert_eq!(client.answer().await.0, 400);
    assert_eq!(client.answer().await.0, 0);
    let mut chunked = sidecar.client().await;
    chunked.send(&head.replace("Content-Length: 0\r\n", "")).await;
    chunked.send("3\r\nabc\r\n0\r\n\r\n").await;
    let came = pod.next_request().await;
    assert_eq!(came.body, b"abc");
    came.respond("200 OK", "", "made by the pod");
    assert_eq!(chunked.answer().await.0, 200);
    assert_eq!(messages(&mut pod), 0);
}

#[rstest]
#[tokio::test]
async fn an_id_that_is_open_is_not_taken_again_until_its_dispatch_has_ended() {
    let mut pod = pod().await;
    let sidecar = Sidecar::start(&[pod.address]).await;
    let (mut one, mut two) = (sidecar.client().await, sidecar.client().await);
    one.send(LOOKUP).await;
    let came = pod.next_request().await;
    let same = LOOKUP.replace("9b1f", came.header("x-request-id").unwrap());
    assert_eq!(two.says(&same).await.0, 409);
    came.respond("200 OK", "", "made by the pod");
    assert_eq!(one.answer().await.0, 200);
    two.send(&same).await;
    pod.next_request().await.respond("200 OK", "", "made by the pod");
    assert_eq!(two.answer().await.0, 200);
}

#[rstest]
#[case::silent("")]
#[case::half_a_head("GET /lookup HTTP/1.1\r\nX-Requ")]
#[case::half_a_body(
    "POST /order HTTP/1.1\r\nX-Request-ID: 1\r\nX-Priority-Class: order\r\nX-Timeout-Ms: 9000\r\n\
                     Content-Length: 9\r\n\r\nhalf"
)]
#[tokio::test]
async fn who_sends_no_whole_message_is_closed_and_who_rests_between_two_is_not(#[case] sent: &str) {
    let mut pod = pod().await;
    let sidecar = Sidecar::start(&[pod.address]).await;
    let mut usual = sidecar.client().await;
    succeeds(&mut usual, &mut pod).await;
    let (mut bad, begun) = (sidecar.client().await, Instant::now());
    bad.send(sent).await;
    assert_eq!(bad.answer().await.0, 0);
    assert!(begun.elapsed() < Duration::from_millis(2950), "{:?}", begun.elapsed());
    succeeds(&mut usual, &mut pod).await;
}

#[rstest]
#[tokio::test]
async fn what_comes_behind_an_answer_is_never_the_answer_to_the_next() {
    let mut pod = pod().await;
    let sidecar = Sidecar::start(&[pod.address]).await;
    let mut client = sidecar.client().await;
    for behind in ["HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale", "noise", "later"] {
        client.send(LOOKUP).await;
        let came = pod.next_request().await;
        let first = "HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmade";
        match behind {
            "later" => {
                came.send_raw(first);
                assert!(client.answer().await.1.ends_with("made"));
                came.send_raw("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale");
                came.flush().await;
            }
            _ => {
                came.send_raw(format!("{first}{behind}"));
                assert!(client.answer().await.1.ends_with("made"));
            }
        }
        client.send(LOOKUP).await;
        let next = pod.next_request().await;
        assert_ne!(next.connection, came.connection, "{behind}");
        next.respond("200 OK", "", "its own");
        assert!(client.answer().await.1.ends_with("its own"), "{behind}");
    }
}

#[rstest]
#[tokio::test]
async fn a_connection_out_when_its_pod_was_dropped_is_not_used_again() {
    let mut pod = pod().await;
    let sidecar = Sidecar::start(&[pod.address]).await;
    let mut client = sidecar.client().await;
    client.send(LOOKUP).await;
    let came = pod.next_request().await;
    let mut idle = sidecar.client().await;
    succeeds(&mut idle, &mut pod).await;
    // The idle connection that goes shows that the list was read.
    sidecar.lists(&list(42, false, &[entry("pod-0", pod.address, "terminating", 1)]));
    pod.next_closed().await;
    sidecar.lists(&list(43, false, &[entry("pod-0", pod.address, "in_service", 1)]));
    came.respond("200 OK", "", "by the earlier process");
    assert_eq!(client.answer().await.0, 200);
    client.send(LOOKUP).await;
    let next = pod.next_request().await;
    assert_ne!(next.connection, came.connection);
    next.respond("200 OK", "", "by the later one");
    assert_eq!(client.answer().await.0, 200);
}

#[rstest]
#[tokio::test]
async fn a_drain_learned_from_the_watch_ends_new_dispatches() {
    let (mut leaving, mut staying) = (pod().await, pod().await);
    let mut sidecar = Sidecar::start(&[leaving.address]).await;
    let mut client = sidecar.client().await;
    succeeds(&mut client, &mut leaving).await;
    let entries =
        [entry("pod-0", leaving.address, "terminating", 1), entry("pod-9", staying.address, "in_service", 1)];
    sidecar.lists(&list(42, false, &entries));
    // The idle connection goes with it: that is how the pod sees that the list was read.
    assert_eq!(leaving.next_closed().await, 1);
    for _ in 0..10 {
        succeeds(&mut client, &mut staying).await;
    }
    // A watch that talks nonsense or breaks goes on from the last version.
    sidecar.lists("{\"index\": 43, \"endpoints\": nonsense\n");
    sidecar.logged("a line of the list").await;
    let again = sidecar.discovery.next_request().await;
    assert_eq!(again.target(), "/v1/endpoints?stream=1&index=42");
    again.reset();
    assert_eq!(sidecar.discovery.next_request().await.target(), "/v1/endpoints?stream=1&index=42");
}

#[rstest]
#[tokio::test]
async fn a_watch_that_falls_silent_amid_a_line_is_opened_again_from_the_last_version() {
    let mut pod = pod().await;
    let mut sidecar = Sidecar::start(&[pod.address]).await;
    sidecar.lists(list(42, false, &[entry("pod-0", pod.address, "terminating", 1)]).trim_end());
    let again = sidecar.discovery.next_request().await;
    assert_eq!(again.target(), "/v1/endpoints?stream=1&index=41");
    again.start_chunked("application/json");
    again.send_chunk(&list(42, false, &[entry("pod-0", pod.address, "in_service", 1)]));
    succeeds(&mut sidecar.client().await, &mut pod).await;
}

/// The operators' fleet has some hundreds of both; nothing of either may be cut at less than a thousand, and all of it
/// must fit the least memory and descriptors that a deployment gives.
#[rstest]
#[tokio::test]
async fn a_thousand_pods_and_sidecars_fit_and_an_indented_list_of_them_is_followed() {
    const MANY: usize = 1024;
    let (mut leaving, mut staying) = (pod().await, pod().await);
    let peers: Vec<String> = (0..MANY).map(|n| format!("127.0.1.{}:{}", n % 250 + 1, 2000 + n)).collect();
    let sidecar = Sidecar::start_with(&vec![leaving.address; MANY], |config| {
        config["limits"] = json!({"cores": 1.0, "memory_mb": 32, "sockets": 256});
        config["settings"]["fleet_size"] = json!(MANY);
        config["peers"] = json!(peers);
    })
    .await;
    succeeds(&mut sidecar.client().await, &mut leaving).await;
    let name = |n: usize| format!("pod-{n}");
    let entries: Vec<Value> = (0..MANY)
        .map(|n| match n {
            700 => entry(&name(n), staying.address, "in_service", 1),
            _ => entry(&name(n), leaving.address, "terminating", 1),
        })
        .collect();
    let list = json!({"index": 42, "snapshot": true, "endpoints": entries});
    sidecar.lists(&(serde_json::to_string_pretty(&list).unwrap() + "\n"));
    sidecar.watch.as_ref().unwrap().flush().await;
    for _ in 0..20 {
        succeeds(&mut sidecar.client().await, &mut staying).await;
    }
    let status = std::fs::read_to_string(format!("/proc/{}/status", sidecar.child.id().unwrap())).unwrap();
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    let peak: u64 = peak.trim().trim_end_matches(" kB").parse().unwrap();
    assert!(peak < 32 << 10, "{peak} kB");
}

#[rstest]
#[tokio::test]
async fn lists_that_came_while_it_stood_still_are_read_before_what_waits_behind_them() {
    let (mut leaving, mut staying) = (pod().await, pod().await);
    let sidecar = Sidecar::start(&[leaving.address]).await;
    let mut clients = Vec::new();
    for _ in 0..20 {
        clients.push(sidecar.client().await);
    }
    sidecar.signal(Signal::SIGSTOP);
    for client in &mut clients {
        client.send(LOOKUP).await;
    }
    let entries =
        [entry("pod-0", leaving.address, "terminating", 1), entry("pod-9", staying.address, "in_service", 1)];
    sidecar.lists(&list(42, false, &entries));
    sidecar.watch.as_ref().unwrap().flush().await;
    sidecar.signal(Signal::SIGCONT);
    for _ in &clients {
        staying.next_request().await.respond("200 OK", "", "made by the pod");
    }
    for client in &mut clients {
        assert_eq!(client.answer().await.0, 200);
    }
    assert_eq!(messages(&mut leaving), 0);
}

#[rstest]
#[tokio::test]
async fn a_build_on_trial_is_voted_on_and_the_answer_is_read() {
    let pod = pod().await;
    let mut sidecar = Sidecar::start(&[pod.address]).await;
    let mut stream = sidecar.platform.next_request().await;
    assert!(stream.head.starts_with("GET /stream HTTP/1.1"));
    stream.start_chunked("text/event-stream");
    // What can't be read makes all that follows on the connection doubtful: another one is opened.
    for nonsense in ["event: ROLLOUT\ndata: build=nonsense\n\n", "\u{1}\u{2} noise\n", "data"] {
        stream.send_chunk(":\n\n");
        stream.send_chunk(nonsense);
        if nonsense == "data" {
            stream.reset();
        }
        stream = sidecar.platform.next_request().await;
        assert!(stream.head.starts_with("GET /stream HTTP/1.1"));
        stream.start_chunked("text/event-stream");
    }
    sidecar.lists(&list(42, false, &[entry("pod-2", pod.address, "in_service", 2)]));
    stream.send_chunk("event: ROLLOUT\ndata: build=2&stage=0&phase=Progressing&cap=0.5&age_ms=8000\n\n");
    let mut life = tokio::time::interval(Duration::from_millis(500));
    let vote = loop {
        tokio::select! {
            vote = sidecar.platform.next_request() => break vote,
            // Signs of life go on while the module takes its time.
            _ = life.tick() => stream.send_chunk(":\n"),
        }
    };
    assert_eq!(vote.body, b"Action=PutApproval&build=2&stage=0&verdict=promote");
    assert_ne!(vote.connection, stream.connection);
    let item = "<build>2</build><stage>0</stage><phase>Progressing</phase><cap>0.5</cap><age_ms>9</age_ms>";
    let xml = format!("<?xml version=\"1.0\"?>\n<Response><entries><item>{item}</item></entries></Response>");
    vote.respond("200 OK", "Content-Type: text/xml\r\n", &xml);
    assert!(sidecar.logged("voted").await.contains("Ok(Standing"));
}

#[rstest]
#[tokio::test]
async fn foreign_long_and_senseless_datagrams_are_dropped() {
    let mut pod = pod().await;
    let mut sidecar = Sidecar::start(&[pod.address]).await;
    let foreign = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    foreign.send_to(b"who is this", sidecar.datagrams).await.unwrap();
    assert!(sidecar.logged("peers").await.contains("11 bytes"));
    for words in [&[0u8; 300][..], &[1; 23], &[], &[255; 256]] {
        sidecar.peer.send_to(words, sidecar.datagrams).await.unwrap();
    }
    let mut client = sidecar.client().await;
    succeeds(&mut client, &mut pod).await;
}

#[rstest]
#[tokio::test]
async fn a_planned_stop_under_traffic_loses_nothing() {
    let mut pod = pod().await;
    let mut sidecar = Sidecar::start(&[pod.address]).await;
    let (mut busy, mut idle) = (sidecar.client().await, sidecar.client().await);
    succeeds(&mut idle, &mut pod).await;
    busy.send(LOOKUP).await;
    let came = pod.next_request().await;
    sidecar.signal(Signal::SIGTERM);
    sidecar.logged("state=Leaving").await;
    // The idle one is closed, and what crosses that comes on a new connection.
    assert_eq!(idle.answer().await.0, 0);
    let (mut asks, mut late) = (sidecar.client().await, sidecar.client().await);
    assert_eq!(asks.says("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n").await.0, 503);
    late.send(LOOKUP).await;
    pod.next_request().await.respond("200 OK", "", "for the late one");
    assert_eq!(late.answer().await.0, 200);
    sidecar.logged("state=Draining").await;
    came.respond("200 OK", "", "for the busy one");
    assert!(busy.answer().await.1.ends_with("for the busy one"));
    sidecar.logged("state=Stopped").await;
    let status = tokio::time::timeout(PATIENCE, sidecar.child.wait()).await.expect("ended").unwrap();
    assert!(status.success());
}

/// The environment names the discovery of the start for as long as the program runs.
#[rstest]
#[case::while_it_serves(false)]
#[case::while_it_leaves(true)]
#[tokio::test]
async fn a_new_configuration_moves_it_to_other_addresses_and_nothing_is_lost(#[case] leaving: bool) {
    let (mut old, mut new) = (pod().await, pod().await);
    let mut sidecar = Sidecar::start(&[old.address]).await;
    let (mut client, mut idle) = (sidecar.client().await, sidecar.client().await);
    client.send(LOOKUP).await;
    let came = old.next_request().await;
    if leaving {
        sidecar.signal(Signal::SIGTERM);
        sidecar.logged("state=Leaving").await;
    }
    let (mut discovery, mut platform) = (pod().await, pod().await);
    let mut config = sidecar.config.clone();
    config["discovery"] = json!(discovery.address.to_string());
    config["pipeline"]["address"] = json!(platform.address.to_string());
    let text = config.to_string();
    sidecar.reconfigure(&text[..text.len() / 2]);
    assert!(sidecar.logged("configuration is read again").await.contains("configuration"));
    sidecar.reconfigure(&text);
    // Another agent's versions need not be those of the last one.
    let watch = discovery.next_request().await;
    assert_eq!(watch.target(), "/v1/endpoints?stream=1");
    assert!(platform.next_request().await.head.starts_with("GET /stream"));
    came.respond("200 OK", "", "from before");
    assert_eq!(client.answer().await.0, 200);
    if leaving {
        sidecar.logged("state=Stopped").await;
        return;
    }
    // The list stays in use until the new agent tells.
    succeeds(&mut idle, &mut old).await;
    watch.start_chunked("application/json");
    watch.send_chunk(&list(3, true, &[entry("pod-9", new.address, "in_service", 1)]));
    sidecar.discovery.next_closed().await;
    old.next_closed().await;
    succeeds(&mut idle, &mut new).await;
}

#[rstest]
#[tokio::test]
async fn at_the_bound_on_descriptors_idle_clients_make_room(#[values(1, 3)] asks: usize) {
    let mut pod = pod().await;
    let sidecar = Sidecar::start_with(&[pod.address], |c| c["limits"]["sockets"] = json!(64)).await;
    let (mut clients, begun) = (Vec::new(), Instant::now());
    for _ in 0..60 {
        let mut client = sidecar.client().await;
        for _ in 0..asks {
            client.send(LOOKUP).await;
            pod.next_request().await.respond("200 OK", "", "made by the pod");
            let (status, text) = client.answer().await;
            assert_eq!(status, 200);
            if text.contains("connection: close") {
                break;
            }
        }
        clients.push(client);
    }
    // Nobody waits for another's connection to have been idle for long.
    assert!(begun.elapsed() < Duration::from_millis(1500), "{:?}", begun.elapsed());
    let files = std::fs::read_dir(format!("/proc/{}/fd", sidecar.child.id().unwrap())).unwrap().count();
    assert!(files <= 64, "{files} descriptors");
}

#[rstest]
#[case::half_a_head("GET /lookup HTTP/1.1\r\nX-Requ")]
#[case::are_you_ready("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")]
#[case::silent("")]
#[tokio::test]
async fn a_crowd_that_is_of_no_use_does_not_keep_other_clients_out(#[case] sent: &str) {
    let mut pod = pod().await;
    let sidecar = Sidecar::start_with(&[pod.address], |c| c["limits"]["sockets"] = json!(64)).await;
    let (mut crowd, begun) = (Vec::new(), Instant::now());
    for _ in 0..60 {
        let mut client = sidecar.client().await;
        client.send(sent).await;
        crowd.push(client);
    }
    let mut client = sidecar.client().await;
    succeeds(&mut client, &mut pod).await;
    assert!(begun.elapsed() < Duration::from_millis(1500), "{:?}", begun.elapsed());
}

fn run(command: &str, config: &str) -> Output {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    std::fs::write(&path, config).unwrap();
    let program = env!("CARGO_BIN_EXE_stagepond");
    Command::new(program).arg(command).env("BALANCER_CONFIG", &path).output().unwrap()
}

#[rstest]
#[case::no_json("{", "configuration")]
#[case::listen(r#"{"listen":"here"}"#, "listen")]
#[case::seed(r#"{"seed":"not hex"}"#, "seed")]
#[case::discovery(r#"{"discovery":null}"#, "discovery")]
#[case::limits(r#"{"limits":{"sockets":3}}"#, "limits.sockets")]
#[case::peers(r#"{"peers":["127.0.0.1:9"]}"#, "peers")]
#[case::known(r#"{"known":{"index":1,"snapshot":true,"endpoints":[{"name":"a"}]}}"#, "known")]
#[case::settings(r#"{"settings":{}}"#, "settings: /")]
fn a_wrong_configuration_is_named_by_its_field_in_one_line(#[case] wrong: &str, #[case] field: &str) {
    let mut config = json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "1",
        "limits": {"sockets": 256}, "peer_listen": "127.0.0.1:0", "peers": ["127.0.0.1:9", "127.0.0.1:10"],
        "settings": settings()});
    assert!(run("check", &config.to_string()).status.success());
    let text = match serde_json::from_str::<Value>(wrong) {
        Ok(change) => {
            config.as_object_mut().unwrap().extend(change.as_object().unwrap().clone());
            config.to_string()
        }
        Err(_) => wrong.to_string(),
    };
    for command in ["check", "serve"] {
        let output = run(command, &text);
        let said = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success());
        assert!(said.starts_with("stagepond: ") && said.contains(field), "{said}");
        assert_eq!(said.lines().count(), 1, "{said}");
    }
}
