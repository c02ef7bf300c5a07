//! A toy world for one sidecar: three pods, discovery and the platform on this machine, and after a few
//! seconds a new build to judge. For trying stagepond by hand; see the README of this folder.

mod standins;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use standins::{Came, Event, Server};

const PODS: [&str; 4] = ["127.0.0.1:9001", "127.0.0.1:9002", "127.0.0.1:9003", "127.0.0.1:9004"];
const NEW_BUILD_AFTER: Duration = Duration::from_secs(5);
const LIFE: Duration = Duration::from_secs(1);

/// Every message of one of the servers, for as long as the toy runs.
async fn each(at: &str, mut then: impl FnMut(Came)) {
    let mut server = Server::start(at).await;
    while let Some(event) = server.wait().await {
        if let Event::Came(came) = event {
            then(came);
        }
    }
}

/// The last pod runs the new build; the others run the earlier one.
fn build(pod: usize) -> u32 {
    1 + u32::from(pod == PODS.len() - 1)
}

fn entries(pods: std::ops::Range<usize>) -> String {
    let entry = |pod: usize| {
        format!(
            r#"{{"name":"pod-{pod}","address":"{}","zone":"here","type":"small","group":0,"status":"in_service","weight":1.0,"since_ms":0,"release":{}}}"#,
            PODS[pod],
            build(pod)
        )
    };
    pods.map(entry).collect::<Vec<_>>().join(",")
}

async fn pod(number: usize) {
    each(PODS[number], |came| {
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(20)).await;
            let said = format!("pod-{number}, build {}: {}\n", build(number), came.target());
            came.answer("200 OK", "X-Server-Load: inflight=1\r\nContent-Type: text/plain\r\n", &said);
        });
    })
    .await
}

async fn discovery() {
    each("127.0.0.1:8500", |came| {
        tokio::spawn(async move {
            came.open("application/json");
            let old = 0..PODS.len() - 1;
            came.chunk(&format!("{{\"index\":1,\"snapshot\":true,\"endpoints\":[{}]}}\n", entries(old)));
            tokio::time::sleep(NEW_BUILD_AFTER).await;
            println!("toy: a pod with build 2 is listed");
            let new = PODS.len() - 1..PODS.len();
            came.chunk(&format!("{{\"index\":2,\"snapshot\":false,\"endpoints\":[{}]}}\n", entries(new)));
            loop {
                tokio::time::sleep(LIFE).await;
                came.chunk("\n");
            }
        });
    })
    .await
}

/// How build 2 stands, once it is offered.
fn news(phase: &str, cap: f64) -> [String; 2] {
    let form = format!("build=2&stage=0&phase={phase}&cap={cap}&age_ms=0");
    let item = form.split('&').filter_map(|pair| pair.split_once('='));
    let item: String = item.map(|(name, value)| format!("<{name}>{value}</{name}>")).collect();
    let xml = format!("<?xml version=\"1.0\"?>\n<Response><entries><item>{item}</item></entries></Response>");
    [format!("event: ROLLOUT\ndata: {form}\n\n"), xml]
}

async fn platform() {
    let streams: Arc<Mutex<Vec<Came>>> = Arc::default();
    each("127.0.0.1:6400", move |came| {
        if came.head.starts_with("GET /stream") {
            came.open("text/event-stream");
            streams.lock().unwrap().push(came);
            let streams = streams.clone();
            tokio::spawn(async move {
                tokio::time::sleep(NEW_BUILD_AFTER).await;
                println!("toy: build 2 is on trial, a fifth of the traffic may go there");
                streams.lock().unwrap().iter().for_each(|s| s.chunk(&news("Progressing", 0.2)[0]));
                loop {
                    tokio::time::sleep(LIFE).await;
                    streams.lock().unwrap().iter().for_each(|s| s.chunk(":\n"));
                }
            });
            return;
        }
        let form = String::from_utf8_lossy(&came.body).into_owned();
        println!("toy: a vote: {form}");
        let (phase, cap) = match form.rsplit('=').next() {
            Some("promote") => ("Healthy", 1.0),
            Some("abort") => ("Aborted", 0.0),
            _ => ("Progressing", 0.2),
        };
        let [event, xml] = news(phase, cap);
        came.answer("200 OK", "Content-Type: text/xml\r\n", &xml);
        streams.lock().unwrap().iter().for_each(|s| s.chunk(&event));
    })
    .await
}

#[tokio::main(flavor = "current_thread")]
async fn main() {
    println!("toy: pods at {PODS:?}, discovery at 127.0.0.1:8500, platform at 127.0.0.1:6400");
    (0..PODS.len()).for_each(|number| drop(tokio::spawn(pod(number))));
    tokio::spawn(discovery());
    platform().await;
}
