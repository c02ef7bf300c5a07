//! Starts the sidecar program with mock servers around it, and acts as its clients.

use std::net::SocketAddr;
use std::process::Stdio;
use std::time::Duration;

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde_json::{json, Value};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::net::{TcpStream, UdpSocket};
use tokio::process::{Child, ChildStderr};

use crate::mock_server::{MockServer, Request, ServerEvent};

/// How long a test waits for a log line, a response or the end of the process before it fails.
pub const EVENT_TIMEOUT: Duration = Duration::from_secs(10);

/// Request ID in the messages below; `Client::send` replaces it by one for each client.
pub const REQUEST_ID: &str = "9b1f";

pub const READY_REQUEST: &str = "GET /ready HTTP/1.1\r\nHost: a\r\n\r\n";

/// Settings with one operation for each kind of retry safety.
pub fn balancer_settings() -> Value {
    let operation = |name: &str, retry_safety: &str| {
        json!({"name": name, "repeat": retry_safety, "group": "all", "window_ms": 5000.0, "aim_ms": 600.0,
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

/// Returns the entry of a pod in discovery's list.
pub fn pod_entry(name: &str, address: SocketAddr, status: &str, build: u16) -> Value {
    json!({"name": name, "address": address.to_string(), "zone": "a", "type": "std", "group": 0,
           "status": status, "weight": 1.0, "since_ms": 0, "release": build})
}

/// Returns one line of discovery's stream: all pods if `snapshot` is true, else those that changed.
pub fn pod_list(index: u64, snapshot: bool, endpoints: &[Value]) -> String {
    json!({"index": index, "snapshot": snapshot, "endpoints": endpoints}).to_string() + "\n"
}

/// A running sidecar process and the mock servers that it talks to.
pub struct Sidecar {
    pub child: Child,
    pub log: Lines<BufReader<ChildStderr>>,
    /// Where clients connect.
    pub address: SocketAddr,
    /// Where the sidecar receives datagrams of peers.
    pub peer_address: SocketAddr,
    pub discovery: MockServer,
    pub discovery_stream: Option<Request>,
    pub platform: MockServer,
    pub peer: UdpSocket,
    pub config: Value,
    pub folder: tempfile::TempDir,
}

impl Sidecar {
    pub async fn start(pods: &[SocketAddr]) -> Sidecar {
        Sidecar::start_with(pods, |_| ()).await
    }

    /// Starts a sidecar that knows these pods, after `change` has edited its configuration. Waits until it has
    /// subscribed to discovery and logs that it is ready.
    pub async fn start_with(pods: &[SocketAddr], change: impl FnOnce(&mut Value)) -> Sidecar {
        let (discovery, platform) =
            (MockServer::start("127.0.0.1:0").await, MockServer::start("127.0.0.1:0").await);
        let peer = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let endpoints: Vec<Value> = (0..)
            .zip(pods)
            .map(|(number, pod): (u32, _)| pod_entry(&format!("pod-{number}"), *pod, "in_service", 1))
            .collect();
        let mut config = json!({
            "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.address.to_string(), "seed": "5eed",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
            "peer_listen": "127.0.0.1:0", "peers": ["127.0.0.1:9", peer.local_addr().unwrap().to_string()],
            "pipeline": {"address": platform.address.to_string(),
                         "news": {"build": 1, "stage": 0, "phase": "Healthy", "cap": 1.0, "age_ms": 0}},
            "known": {"index": 41, "snapshot": true, "endpoints": endpoints},
            "settings": balancer_settings(),
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
        let unknown: SocketAddr = "127.0.0.1:0".parse().unwrap();
        let mut sidecar = Sidecar {
            child,
            log,
            address: unknown,
            peer_address: unknown,
            discovery,
            discovery_stream: None,
            platform,
            peer,
            config,
            folder,
        };
        let listening = sidecar.wait_for_log("listening").await;
        let logged_address = |field: &str| -> SocketAddr {
            let (_, rest) = listening.split_once(field).unwrap();
            rest.split(' ').next().unwrap().parse().unwrap()
        };
        (sidecar.address, sidecar.peer_address) = (logged_address("clients="), logged_address("datagrams="));
        let discovery_stream = sidecar.discovery.next_request().await;
        discovery_stream.start_chunked("application/json");
        discovery_stream.send_chunk(&pod_list(41, false, &[]));
        sidecar.discovery_stream = Some(discovery_stream);
        sidecar.wait_for_log("state=Ready").await;
        sidecar
    }

    /// Returns the next log line that contains `text`. The time limit also holds while other lines are logged.
    pub async fn wait_for_log(&mut self, text: &str) -> String {
        let found = async {
            loop {
                let line = self.log.next_line().await.unwrap();
                let line = line.unwrap_or_else(|| panic!("the sidecar ended before it logged {text:?}"));
                if line.contains(text) {
                    return line;
                }
            }
        };
        tokio::time::timeout(EVENT_TIMEOUT, found)
            .await
            .unwrap_or_else(|_| panic!("{text:?} was not logged in time"))
    }

    /// Sends text on discovery's stream: whole lines of `pod_list`, or malformed input.
    pub fn send_discovery_text(&self, text: &str) {
        self.discovery_stream.as_ref().unwrap().send_chunk(text);
    }

    /// Overwrites the configuration file and tells the sidecar to reload it.
    pub fn reload_config(&self, text: &str) {
        std::fs::write(self.folder.path().join("config.json"), text).unwrap();
        self.send_signal(Signal::SIGHUP);
    }

    pub fn send_signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id().unwrap() as i32), signal).unwrap();
    }

    pub async fn connect_client(&self) -> Client {
        Client(TcpStream::connect(self.address).await.unwrap())
    }
}

/// A client's connection to the sidecar.
pub struct Client(pub TcpStream);

/// Formats an invocation of the operation that the target names. `headers` holds whole header lines.
pub fn http_message(method: &str, target: &str, headers: &str, body: &str) -> String {
    let operation = target.split(['/', '?']).nth(1).unwrap();
    format!(
        "{method} {target} HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: 9b1f\r\n\
         X-Priority-Class: {operation}\r\nX-Tenant-Id: acme\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

pub const LOOKUP: &str = "GET /lookup HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: 9b1f\r\n\
                      X-Priority-Class: lookup\r\nX-Timeout-Ms: 5000\r\n\r\n";

impl Client {
    /// Sends the message with an ID that differs from other clients' IDs, made from the connection's local port.
    pub async fn send(&mut self, message: &str) {
        let id = format!("of-{}", self.0.local_addr().unwrap().port());
        self.0.write_all(message.replace(REQUEST_ID, &id).as_bytes()).await.unwrap();
    }

    /// Returns the status and the whole response, head and body; status 0 if the connection ended without a
    /// response.
    pub async fn read_response(&mut self) -> (u16, String) {
        let mut buffer = Vec::new();
        loop {
            let text = String::from_utf8_lossy(&buffer).into_owned();
            if let Some((head, body)) = text.split_once("\r\n\r\n") {
                let lower = head.to_lowercase();
                let length = lower.split("content-length: ").nth(1).and_then(|l| l.lines().next());
                if body.len() >= length.map_or(0, |l| l.parse().unwrap()) {
                    return (head.split(' ').nth(1).unwrap().parse().unwrap(), text);
                }
            }
            let received = tokio::time::timeout(EVENT_TIMEOUT, self.0.read_buf(&mut buffer)).await;
            if received.expect("no response in time").unwrap_or(0) == 0 {
                return (0, text);
            }
        }
    }

    /// Sends a message and reads the response to it.
    pub async fn exchange(&mut self, message: &str) -> (u16, String) {
        self.send(message).await;
        self.read_response().await
    }
}

/// Sends an invocation that the pod answers with 200.
pub async fn invoke_successfully(client: &mut Client, pod: &mut MockServer) {
    client.send(LOOKUP).await;
    pod.next_request().await.respond("200 OK", "", "made by the pod");
    assert_eq!(client.read_response().await.0, 200);
}

/// Starts a mock server on a port that the system chooses.
pub async fn start_pod() -> MockServer {
    MockServer::start("127.0.0.1:0").await
}

/// Returns an address at which no server listens.
pub async fn unused_address() -> SocketAddr {
    tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap()
}

/// Removes the server's queued events and returns how many of them are requests.
pub fn count_requests(server: &mut MockServer) -> usize {
    server.drain_events().iter().filter(|event| matches!(event, ServerEvent::Request(_))).count()
}

/// Gives every operation this time limit, which decides when the platform may kill the sidecar.
pub fn set_time_limits(config: &mut Value, limit_ms: f64) {
    for operation in config["settings"]["classes"].as_array_mut().unwrap() {
        operation["deadline_ms"] = json!(limit_ms);
    }
}
