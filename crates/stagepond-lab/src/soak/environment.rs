//! The services around the sidecar under test: pods that treat invocations as the script says and count what
//! they ran, discovery, and a platform without a trial.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

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
/// Interval of keep-alive chunks on a streamed response.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// The platform's only news: the build that runs is released.
const ROLLOUT_EVENT: &str = "event: ROLLOUT\ndata: build=1&stage=0&phase=Healthy&cap=1.0&age_ms=0\n\n";

/// How often pods ran each order, by request id.
pub type OrderCounts = Arc<Mutex<HashMap<String, u32>>>;

/// The running services.
pub struct Environment {
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Orders that pods ran.
    pub orders: OrderCounts,
    pods: Vec<SocketAddr>,
    pod_list: watch::Sender<String>,
    list_index: u64,
}

impl Environment {
    /// Starts all services on ports that the system chooses.
    pub async fn start(mix: PodMix, seed: u64) -> Environment {
        let orders = OrderCounts::default();
        let mut pods = Vec::new();
        for number in 0..PODS {
            let server = MockServer::start("127.0.0.1:0").await;
            pods.push(server.address);
            let rng = fastrand::Rng::with_seed(seed ^ (number as u64 + 1));
            tokio::spawn(run_pod(server, mix, orders.clone(), rng));
        }
        let (pod_list, lists) = watch::channel(format_pod_list(1, &pods, None));
        let discovery_server = MockServer::start("127.0.0.1:0").await;
        let platform_server = MockServer::start("127.0.0.1:0").await;
        let (discovery, platform) = (discovery_server.address, platform_server.address);
        tokio::spawn(run_stream_server(discovery_server, "application/json", "\n", lists));
        let (_, rollout) = watch::channel(ROLLOUT_EVENT.to_string());
        tokio::spawn(run_stream_server(platform_server, "text/event-stream", ":\n", rollout));
        Environment { discovery, platform, orders, pods, pod_list, list_index: 1 }
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

async fn run_pod(mut server: MockServer, mix: PodMix, orders: OrderCounts, mut rng: fastrand::Rng) {
    while let Some(event) = server.wait_for_event().await {
        let ServerEvent::Request(request) = event else { continue };
        if request.target().starts_with("/order") {
            let id = request.header("x-request-id").unwrap_or_default().to_string();
            *orders.lock().expect("no holder of the lock panics").entry(id).or_default() += 1;
        }
        treat(request, &mix, rng.u32(0..100));
    }
}

/// Treats an invocation as `draw`, a number below 100, selects from the mix.
fn treat(request: Request, mix: &PodMix, mut draw: u32) {
    let mut selects = |percent: u32| {
        let selected = draw < percent;
        draw = if selected { u32::MAX } else { draw.saturating_sub(percent) };
        selected
    };
    if selects(mix.hang_percent) {
        return;
    }
    if selects(mix.reset_percent) {
        return request.reset();
    }
    let service_time = if selects(mix.slow_percent) {
        SLOW_SERVICE_TIME
    } else if selects(mix.very_slow_percent) {
        VERY_SLOW_SERVICE_TIME
    } else {
        SERVICE_TIME
    };
    let body = match mix.answer_bytes {
        0 => "made by a pod\n".to_string(),
        length => "a".repeat(length),
    };
    tokio::spawn(async move {
        tokio::time::sleep(service_time).await;
        request.respond("200 OK", "X-Server-Load: inflight=1\r\n", &body);
    });
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
