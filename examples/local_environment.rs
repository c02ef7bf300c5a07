//! Mock environment for sidecars: three pods with the current build, one with a new build, discovery and the
//! platform. The caller gives their addresses; port 0 lets the system choose one. The examples and the tests
//! with several sidecar processes share it.

// Each including crate uses a different part of this module.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

use super::mock_server::{MockServer, Request, ServerEvent};

/// Interval of keep-alive chunks on a streamed response.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// How long a pod takes for an invocation.
const POD_RESPONSE_TIME: Duration = Duration::from_millis(20);

/// Passes each request of a server to the handler, until the server stops.
async fn handle_requests(mut server: MockServer, mut handler: impl FnMut(Request)) {
    while let Some(event) = server.wait_for_event().await {
        if let ServerEvent::Request(request) = event {
            handler(request);
        }
    }
}

/// Returns the build of a pod: the last pod runs the new build (2), the others run the current one (1).
fn build_of_pod(pod: usize, pod_count: usize) -> u32 {
    1 + u32::from(pod == pod_count - 1)
}

/// Returns the JSON entries of the first `listed` pods, as discovery lists them.
fn pod_entries(pods: &[SocketAddr], listed: usize) -> String {
    let entry = |pod: usize| {
        format!(
            r#"{{"name":"pod-{pod}","address":"{}","zone":"here","type":"small","group":0,"status":"in_service","weight":1.0,"since_ms":0,"release":{}}}"#,
            pods[pod],
            build_of_pod(pod, pods.len())
        )
    };
    (0..listed).map(entry).collect::<Vec<_>>().join(",")
}

/// Runs a pod that answers each invocation with its own name and build.
async fn run_pod(server: MockServer, number: usize, pod_count: usize) {
    handle_requests(server, |request| {
        tokio::spawn(async move {
            tokio::time::sleep(POD_RESPONSE_TIME).await;
            let build = build_of_pod(number, pod_count);
            let body = format!("pod-{number}, build {build}: {}\n", request.target());
            request.respond("200 OK", "X-Server-Load: inflight=1\r\nContent-Type: text/plain\r\n", &body);
        });
    })
    .await
}

/// State of the newest build's rollout: first build 1 as released, then build 2 in its trial and its outcome.
#[derive(Clone, Copy)]
struct RolloutStatus {
    build: u32,
    phase: &'static str,
    /// Greatest share of invocations that the build may get, from 0 to 1.
    cap: f64,
}

impl RolloutStatus {
    fn to_form(self) -> String {
        format!("build={}&stage=0&phase={}&cap={}&age_ms=0", self.build, self.phase, self.cap)
    }

    /// Returns the server-sent event of the platform's stream.
    fn to_stream_event(self) -> String {
        format!("event: ROLLOUT\ndata: {}\n\n", self.to_form())
    }

    /// Returns the XML body of the platform's answer to a vote.
    fn to_vote_answer(self) -> String {
        let form = self.to_form();
        let fields = form.split('&').filter_map(|pair| pair.split_once('='));
        let item: String = fields.map(|(name, value)| format!("<{name}>{value}</{name}>")).collect();
        format!("<?xml version=\"1.0\"?>\n<Response><entries><item>{item}</item></entries></Response>")
    }
}

/// Streams the rollout status in an open response: the current one, each later one, and keep-alive chunks.
fn stream_status(
    request: Request, content_type: &str, keep_alive: &'static str,
    mut status: watch::Receiver<RolloutStatus>,
    format_status: impl Fn(RolloutStatus) -> String + Send + 'static,
) {
    request.start_chunked(content_type);
    tokio::spawn(async move {
        let mut keep_alive_timer = tokio::time::interval(KEEP_ALIVE_INTERVAL);
        loop {
            let current = *status.borrow_and_update();
            request.send_chunk(&format_status(current));
            loop {
                tokio::select! {
                    changed = status.changed() => match changed {
                        Ok(()) => break,
                        Err(_) => return,
                    },
                    _ = keep_alive_timer.tick() => request.send_chunk(keep_alive),
                }
            }
        }
    });
}

/// Runs discovery. It lists the pod with build 2 once that build's rollout has begun.
async fn run_discovery(server: MockServer, pods: Vec<SocketAddr>, status: watch::Receiver<RolloutStatus>) {
    handle_requests(server, |request| {
        let pods = pods.clone();
        stream_status(request, "application/json", "\n", status.clone(), move |current| {
            let listed = if current.build == 1 { pods.len() - 1 } else { pods.len() };
            let entries = pod_entries(&pods, listed);
            format!("{{\"index\":{listed},\"snapshot\":true,\"endpoints\":[{entries}]}}\n")
        });
    })
    .await
}

/// Runs the platform. It starts the trial of build 2 when `trial_delay` has passed since the first sidecar
/// subscribed, and follows every vote.
async fn run_platform(
    server: MockServer, status: Arc<watch::Sender<RolloutStatus>>, votes: Votes, trial_delay: Duration,
) {
    let mut trial_scheduled = false;
    handle_requests(server, move |request| {
        if request.head.starts_with("GET /stream") {
            stream_status(
                request,
                "text/event-stream",
                ":\n",
                status.subscribe(),
                RolloutStatus::to_stream_event,
            );
            if !std::mem::replace(&mut trial_scheduled, true) {
                let status = status.clone();
                tokio::spawn(async move {
                    tokio::time::sleep(trial_delay).await;
                    println!(
                        "platform: a pod with build 2 is listed; trial started with at most 20% of the invocations"
                    );
                    status.send_replace(RolloutStatus { build: 2, phase: "Progressing", cap: 0.2 });
                });
            }
            return;
        }
        let form = String::from_utf8_lossy(&request.body).into_owned();
        println!("platform: received vote: {form}");
        votes.lock().expect("votes lock poisoned").push(form.clone());
        let new_status = match form.rsplit('=').next() {
            Some("promote") => RolloutStatus { build: 2, phase: "Healthy", cap: 1.0 },
            Some("abort") => RolloutStatus { build: 2, phase: "Aborted", cap: 0.0 },
            _ => *status.borrow(),
        };
        request.respond("200 OK", "Content-Type: text/xml\r\n", &new_status.to_vote_answer());
        status.send_replace(new_status);
    })
    .await
}

/// Bodies of the votes that the platform received, in order.
pub type Votes = Arc<Mutex<Vec<String>>>;

/// The running mock pods, discovery and platform.
pub struct LocalEnvironment {
    pub pods: Vec<SocketAddr>,
    pub discovery: SocketAddr,
    pub platform: SocketAddr,
    pub votes: Votes,
    status: Arc<watch::Sender<RolloutStatus>>,
}

impl LocalEnvironment {
    /// Starts all servers on these addresses. The trial of the new build starts when `trial_delay` has passed
    /// since a sidecar first subscribed to the platform.
    ///
    /// # Panics
    ///
    /// If an address can't be bound.
    pub async fn start(
        pod_addresses: &[&str], discovery_address: &str, platform_address: &str, trial_delay: Duration,
    ) -> LocalEnvironment {
        let (mut pods, mut pod_servers) = (Vec::new(), Vec::new());
        for address in pod_addresses {
            let server = MockServer::start(address).await;
            pods.push(server.address);
            pod_servers.push(server);
        }
        for (number, server) in pod_servers.into_iter().enumerate() {
            tokio::spawn(run_pod(server, number, pods.len()));
        }
        let (status, status_updates) = watch::channel(RolloutStatus { build: 1, phase: "Healthy", cap: 1.0 });
        let discovery_server = MockServer::start(discovery_address).await;
        let platform_server = MockServer::start(platform_address).await;
        let (discovery, platform) = (discovery_server.address, platform_server.address);
        let (status, votes) = (Arc::new(status), Votes::default());
        tokio::spawn(run_discovery(discovery_server, pods.clone(), status_updates));
        tokio::spawn(run_platform(platform_server, status.clone(), votes.clone(), trial_delay));
        LocalEnvironment { pods, discovery, platform, votes, status }
    }

    /// Returns the newest build and the phase of its rollout.
    pub fn rollout_status(&self) -> (u32, &'static str) {
        let status = *self.status.borrow();
        (status.build, status.phase)
    }
}

/// Sends one invocation on a connection that stays open and returns the status and the body of the response.
///
/// # Errors
///
/// An I/O error; `UnexpectedEof` if the connection closes before the response is complete.
pub async fn invoke(stream: &mut TcpStream, id: &str) -> std::io::Result<(u16, String)> {
    let request = format!(
        "GET /lookup HTTP/1.1\r\nHost: here\r\nX-Request-ID: {id}\r\nX-Priority-Class: lookup\r\n\
         X-Timeout-Ms: 2000\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await?;
    let mut buffer = Vec::new();
    loop {
        if let Some(head_end) = buffer.windows(4).position(|four| four == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..head_end]).to_ascii_lowercase();
            let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
            let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
            let length: usize = length.and_then(|l| l.parse().ok()).unwrap_or(0);
            while buffer.len() < head_end + 4 + length {
                if stream.read_buf(&mut buffer).await? == 0 {
                    return Err(std::io::ErrorKind::UnexpectedEof.into());
                }
            }
            return Ok((status, String::from_utf8_lossy(&buffer[head_end + 4..]).into_owned()));
        }
        if stream.read_buf(&mut buffer).await? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
    }
}
