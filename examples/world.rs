//! A small world around sidecars: three pods with the earlier build, one with a new one, discovery and the
//! platform, on addresses that the caller gives (port 0 lets the system pick). The toy and the demo share it.

// Each of the two uses a part of it.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

use super::standins::{Came, Event, Server};

const LIFE: Duration = Duration::from_secs(1);

/// Every message of one of the servers, for as long as the world stands.
async fn each(mut server: Server, mut then: impl FnMut(Came)) {
    while let Some(event) = server.wait().await {
        if let Event::Came(came) = event {
            then(came);
        }
    }
}

/// The last pod runs the new build; the others run the earlier one.
fn build(pod: usize, pods: usize) -> u32 {
    1 + u32::from(pod == pods - 1)
}

fn entries(pods: &[SocketAddr], listed: usize) -> String {
    let entry = |pod: usize| {
        format!(
            r#"{{"name":"pod-{pod}","address":"{}","zone":"here","type":"small","group":0,"status":"in_service","weight":1.0,"since_ms":0,"release":{}}}"#,
            pods[pod],
            build(pod, pods.len())
        )
    };
    (0..listed).map(entry).collect::<Vec<_>>().join(",")
}

async fn pod(server: Server, number: usize, of: usize) {
    each(server, |came| {
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(20)).await;
            let said = format!("pod-{number}, build {}: {}\n", build(number, of), came.target());
            came.answer("200 OK", "X-Server-Load: inflight=1\r\nContent-Type: text/plain\r\n", &said);
        });
    })
    .await
}

/// How the newest build stands: the earlier one released, then build 2 on trial and whatever comes of it.
#[derive(Clone, Copy)]
struct Standing {
    build: u32,
    phase: &'static str,
    cap: f64,
}

impl Standing {
    fn form(self) -> String {
        format!("build={}&stage=0&phase={}&cap={}&age_ms=0", self.build, self.phase, self.cap)
    }

    fn event(self) -> String {
        format!("event: ROLLOUT\ndata: {}\n\n", self.form())
    }

    fn answer(self) -> String {
        let form = self.form();
        let item = form.split('&').filter_map(|pair| pair.split_once('='));
        let item: String = item.map(|(name, value)| format!("<{name}>{value}</{name}>")).collect();
        format!("<?xml version=\"1.0\"?>\n<Response><entries><item>{item}</item></entries></Response>")
    }
}

/// Keeps an open answer: what it says now, again at each change, and signs of life between.
fn keep(
    came: Came, kind: &str, life: &'static str, mut news: watch::Receiver<Standing>,
    say: impl Fn(Standing) -> String + Send + 'static,
) {
    came.open(kind);
    tokio::spawn(async move {
        let mut pulse = tokio::time::interval(LIFE);
        loop {
            let now = *news.borrow_and_update();
            came.chunk(&say(now));
            loop {
                tokio::select! {
                    changed = news.changed() => match changed {
                        Ok(()) => break,
                        Err(_) => return,
                    },
                    _ = pulse.tick() => came.chunk(life),
                }
            }
        }
    });
}

async fn discovery(server: Server, pods: Vec<SocketAddr>, news: watch::Receiver<Standing>) {
    each(server, |came| {
        let pods = pods.clone();
        keep(came, "application/json", "\n", news.clone(), move |standing| {
            let listed = if standing.build == 1 { pods.len() - 1 } else { pods.len() };
            let entries = entries(&pods, listed);
            format!("{{\"index\":{listed},\"snapshot\":true,\"endpoints\":[{entries}]}}\n")
        });
    })
    .await
}

async fn platform(server: Server, news: Arc<watch::Sender<Standing>>, votes: Votes, after: Duration) {
    let mut offered = false;
    each(server, move |came| {
        if came.head.starts_with("GET /stream") {
            keep(came, "text/event-stream", ":\n", news.subscribe(), Standing::event);
            if !std::mem::replace(&mut offered, true) {
                let news = news.clone();
                tokio::spawn(async move {
                    tokio::time::sleep(after).await;
                    println!(
                        "world: a pod with build 2 is listed and on trial, a fifth of the traffic may go there"
                    );
                    news.send_replace(Standing { build: 2, phase: "Progressing", cap: 0.2 });
                });
            }
            return;
        }
        let form = String::from_utf8_lossy(&came.body).into_owned();
        println!("world: a vote: {form}");
        votes.lock().expect("never held while panicking").push(form.clone());
        let standing = match form.rsplit('=').next() {
            Some("promote") => Standing { build: 2, phase: "Healthy", cap: 1.0 },
            Some("abort") => Standing { build: 2, phase: "Aborted", cap: 0.0 },
            _ => *news.borrow(),
        };
        came.answer("200 OK", "Content-Type: text/xml\r\n", &standing.answer());
        news.send_replace(standing);
    })
    .await
}

/// The votes that the platform was sent, as it got them.
pub type Votes = Arc<Mutex<Vec<String>>>;

pub struct World {
    pub pods: Vec<SocketAddr>,
    pub discovery: SocketAddr,
    pub platform: SocketAddr,
    pub votes: Votes,
    news: Arc<watch::Sender<Standing>>,
}

impl World {
    /// The new build is offered once a sidecar has listened to the platform for `after`.
    pub async fn start(pods: &[&str], discovery_at: &str, platform_at: &str, after: Duration) -> World {
        let (mut addresses, mut servers) = (Vec::new(), Vec::new());
        for at in pods {
            let server = Server::start(at).await;
            addresses.push(server.address);
            servers.push(server);
        }
        for (number, server) in servers.into_iter().enumerate() {
            tokio::spawn(pod(server, number, addresses.len()));
        }
        let (news, told) = watch::channel(Standing { build: 1, phase: "Healthy", cap: 1.0 });
        let (watched, platformed) = (Server::start(discovery_at).await, Server::start(platform_at).await);
        let (discovery_at, platform_at) = (watched.address, platformed.address);
        let (news, votes) = (Arc::new(news), Votes::default());
        tokio::spawn(discovery(watched, addresses.clone(), told));
        tokio::spawn(platform(platformed, news.clone(), votes.clone(), after));
        World { pods: addresses, discovery: discovery_at, platform: platform_at, votes, news }
    }

    /// Build and phase of the newest build.
    pub fn stands(&self) -> (u32, &'static str) {
        let standing = *self.news.borrow();
        (standing.build, standing.phase)
    }
}

/// One invocation on a connection that stays: status and body.
pub async fn invoke(stream: &mut TcpStream, id: &str) -> std::io::Result<(u16, String)> {
    let head = format!(
        "GET /lookup HTTP/1.1\r\nHost: here\r\nX-Request-ID: {id}\r\nX-Priority-Class: lookup\r\n\
         X-Timeout-Ms: 2000\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    let mut read = Vec::new();
    loop {
        if let Some(end) = read.windows(4).position(|four| four == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&read[..end]).to_ascii_lowercase();
            let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
            let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
            let length: usize = length.and_then(|l| l.parse().ok()).unwrap_or(0);
            while read.len() < end + 4 + length {
                if stream.read_buf(&mut read).await? == 0 {
                    return Err(std::io::ErrorKind::UnexpectedEof.into());
                }
            }
            return Ok((status, String::from_utf8_lossy(&read[end + 4..]).into_owned()));
        }
        if stream.read_buf(&mut read).await? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
    }
}
