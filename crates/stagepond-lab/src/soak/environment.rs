//! The services around the sidecar under test: pods that treat invocations as the script says and count what
//! they ran, discovery, and a platform without a trial.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::json;
use tokio::sync::watch;

use super::script::PodMix;
use crate::mock_server::{MockServer, Request, ServerEvent};

/// Number of pods.
const PODS: usize = 3;
/// Time that a pod takes for an invocation unless the mix says otherwise.
const SERVICE_TIME: Duration = Duration::from_millis(1);
const SLOW_SERVICE_TIME: Duration = Duration::from_millis(100);
const VERY_SLOW_SERVICE_TIME: Duration = Duration::from_millis(1500);
const TURN_AWAY_TIME: Duration = Duration::from_millis(120);
/// Interval of keep-alive chunks on a streamed response.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// The platform's only news: the build that runs is released.
const ROLLOUT_EVENT: &str = "event: ROLLOUT\ndata: build=1&stage=0&phase=Healthy&cap=1.0&age_ms=0\n\n";

/// What pods did with each request, by its id.
#[derive(Clone, Debug, Default)]
pub struct PodRecord {
    /// When the last byte of each attempt was received.
    pub attempts: Vec<Instant>,
    /// How many of the attempts ran.
    pub runs: u32,
}

/// The records of all pods, by request id.
pub type PodRecords = Arc<Mutex<HashMap<String, PodRecord>>>;

/// The running services.
pub struct Environment {
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// What pods did with each request.
    pub pod_records: PodRecords,
    pods: Vec<SocketAddr>,
    pod_list: watch::Sender<String>,
    list_index: u64,
}

impl Environment {
    /// Starts all services on ports that the system chooses.
    pub async fn start(mix: PodMix, seed: u64) -> Environment {
        let pod_records = PodRecords::default();
        let mut pods = Vec::new();
        for number in 0..PODS {
            let server = MockServer::start("127.0.0.1:0").await;
            pods.push(server.address);
            let rng = fastrand::Rng::with_seed(seed ^ (number as u64 + 1));
            tokio::spawn(run_pod(server, mix, pod_records.clone(), rng));
        }
        let (pod_list, lists) = watch::channel(format_pod_list(1, &pods, None));
        let discovery_server = MockServer::start("127.0.0.1:0").await;
        let platform_server = MockServer::start("127.0.0.1:0").await;
        let (discovery, platform) = (discovery_server.address, platform_server.address);
        tokio::spawn(run_stream_server(discovery_server, "application/json", "\n", lists));
        let (_, rollout) = watch::channel(ROLLOUT_EVENT.to_string());
        tokio::spawn(run_stream_server(platform_server, "text/event-stream", ":\n", rollout));
        Environment { discovery, platform, pod_records, pods, pod_list, list_index: 1 }
    }

    /// Lists this pod as terminating from now on, or all as in service.
    pub fn drain_pod(&mut self, pod: Option<usize>) {
        self.list_index += 1;
        self.pod_list.send_replace(format_pod_list(self.list_index, &self.pods, pod));
    }
}

fn format_pod_list(index: u64, pods: &[SocketAddr], draining: Option<usize>) -> String {
    let entry = |(number, address): (usize, &SocketAddr)| {
        let status = if draining == Some(number) { "terminating" } else { "in_service" };
        json!({"name": format!("pod-{number}"), "address": address.to_string(), "zone": "here",
               "type": "small", "group": 0, "status": status, "weight": 1.0, "since_ms": 0, "release": 1})
    };
    let endpoints: Vec<_> = pods.iter().enumerate().map(entry).collect();
    json!({"index": index, "snapshot": true, "endpoints": endpoints}).to_string() + "\n"
}

async fn run_pod(mut server: MockServer, mix: PodMix, records: PodRecords, mut rng: fastrand::Rng) {
    while let Some(event) = server.wait_for_event().await {
        let ServerEvent::Request(request) = event else { continue };
        let id = request.header("x-request-id").unwrap_or_default().to_string();
        let treatment = Treatment::select(&mix, rng.u32(0..100));
        let mut records = records.lock().expect("no holder of the lock panics");
        let record = records.entry(id).or_default();
        record.attempts.push(request.received_at);
        record.runs += u32::from(treatment != Treatment::TurnAway);
        drop(records);
        treatment.apply(request, mix.answer_bytes);
    }
}

/// What a pod does with an invocation.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Treatment {
    Answer(Duration),
    Hang,
    Reset,
    TurnAway,
}

impl Treatment {
    /// The treatment that `draw`, a number below 100, selects from the mix.
    fn select(mix: &PodMix, draw: u32) -> Treatment {
        let treatments = [
            (mix.hang_percent, Treatment::Hang),
            (mix.reset_percent, Treatment::Reset),
            (mix.slow_percent, Treatment::Answer(SLOW_SERVICE_TIME)),
            (mix.very_slow_percent, Treatment::Answer(VERY_SLOW_SERVICE_TIME)),
            (mix.turn_away_percent, Treatment::TurnAway),
        ];
        let mut below = 0;
        let selected = treatments.into_iter().find(|(percent, _)| {
            below += percent;
            draw < below
        });
        selected.map_or(Treatment::Answer(SERVICE_TIME), |(_, treatment)| treatment)
    }

    /// Carries the treatment out. An answer has a body of `answer_bytes`, or the usual text if that is 0.
    fn apply(self, request: Request, answer_bytes: usize) {
        let (delay, status, headers) = match self {
            Treatment::Hang => return,
            Treatment::Reset => return request.reset(),
            Treatment::TurnAway => (TURN_AWAY_TIME, "503 Service Unavailable", "X-Not-Processed: 1\r\n"),
            Treatment::Answer(service_time) => (service_time, "200 OK", "X-Server-Load: inflight=1\r\n"),
        };
        let body = match answer_bytes {
            0 => "made by a pod\n".to_string(),
            length => "a".repeat(length),
        };
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            request.respond(status, headers, &body);
        });
    }
}

/// Answers every request with the newest text and each later one, in a response that stays open.
async fn run_stream_server(
    mut server: MockServer, content_type: &'static str, keep_alive: &'static str,
    texts: watch::Receiver<String>,
) {
    while let Some(event) = server.wait_for_event().await {
        if let ServerEvent::Request(request) = event {
            request.start_chunked(content_type);
            tokio::spawn(stream_texts(request, keep_alive, texts.clone()));
        }
    }
}

async fn stream_texts(request: Request, keep_alive: &'static str, mut texts: watch::Receiver<String>) {
    let mut keep_alive_timer = tokio::time::interval(KEEP_ALIVE_INTERVAL);
    let mut changes = true;
    request.send_chunk(&texts.borrow_and_update().clone());
    loop {
        tokio::select! {
            changed = texts.changed(), if changes => match changed {
                Ok(()) => request.send_chunk(&texts.borrow_and_update().clone()),
                Err(_) => changes = false,
            },
            _ = keep_alive_timer.tick() => request.send_chunk(keep_alive),
        }
    }
}
