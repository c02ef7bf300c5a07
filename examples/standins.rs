//! Stand-ins for what the sidecar talks to: one small server that hands each message it reads to whoever
//! plays a pod, discovery or the platform, and writes what it is told. The toy and the tests share it; it
//! must never answer by itself, or a test could not say what happened first.

// Each of the two uses a part of it.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};

enum Out {
    Bytes(Vec<u8>),
    Written(oneshot::Sender<()>),
    Reset,
    End,
}

/// A message that came on one of the server's connections, and the way to answer on it.
pub struct Came {
    pub connection: usize,
    pub head: String,
    pub body: Vec<u8>,
    out: mpsc::UnboundedSender<Out>,
}

impl Came {
    pub fn send(&self, bytes: impl Into<Vec<u8>>) {
        let _ = self.out.send(Out::Bytes(bytes.into()));
    }

    pub fn answer(&self, status: &str, headers: &str, body: &str) {
        self.send(format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len()));
    }

    /// Begins an answer that stays open; `chunk` adds to it.
    pub fn open(&self, kind: &str) {
        self.send(format!("HTTP/1.1 200 OK\r\nContent-Type: {kind}\r\nTransfer-Encoding: chunked\r\n\r\n"));
    }

    pub fn chunk(&self, text: &str) {
        self.send(format!("{:x}\r\n{text}\r\n", text.len()));
    }

    /// Returns once all that was sent is with the system.
    pub async fn written(&self) {
        let (done, is_done) = oneshot::channel();
        let _ = self.out.send(Out::Written(done));
        is_done.await.expect("the connection stands");
    }

    pub fn reset(&self) {
        let _ = self.out.send(Out::Reset);
    }

    /// Ends the connection in order, once all that was sent has gone out.
    pub fn end(&self) {
        let _ = self.out.send(Out::End);
    }

    pub fn target(&self) -> &str {
        self.head.split(' ').nth(1).unwrap_or_default()
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let pairs = self.head.lines().filter_map(|line| line.split_once(": "));
        pairs.filter(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value).next()
    }
}

pub enum Event {
    Opened,
    Came(Came),
    Closed(usize),
}

pub struct Server {
    pub address: SocketAddr,
    events: mpsc::UnboundedReceiver<Event>,
}

impl Server {
    pub async fn start(at: &str) -> Server {
        let listener = TcpListener::bind(at).await.expect("an address to listen on");
        let address = listener.local_addr().expect("bound");
        let (sender, events) = mpsc::unbounded_channel();
        tokio::spawn(async move {
            for connection in 1.. {
                let Ok((stream, _)) = listener.accept().await else { return };
                let _ = sender.send(Event::Opened);
                tokio::spawn(carry(stream, connection, sender.clone()));
            }
        });
        Server { address, events }
    }

    /// What happens next; a test that waits in vain says so.
    pub async fn event(&mut self) -> Event {
        let next = tokio::time::timeout(Duration::from_secs(10), self.events.recv()).await;
        next.expect("nothing happened for 10 s").expect("the server runs")
    }

    /// As `event`, for a toy that may stand idle for long.
    pub async fn wait(&mut self) -> Option<Event> {
        self.events.recv().await
    }

    /// The next message, whatever opens or closes before it.
    pub async fn came(&mut self) -> Came {
        loop {
            if let Event::Came(came) = self.event().await {
                return came;
            }
        }
    }

    pub async fn closed(&mut self) -> usize {
        loop {
            if let Event::Closed(connection) = self.event().await {
                return connection;
            }
        }
    }

    /// What has happened and was not asked for yet.
    pub fn so_far(&mut self) -> Vec<Event> {
        std::iter::from_fn(|| self.events.try_recv().ok()).collect()
    }
}

async fn carry(mut stream: TcpStream, connection: usize, events: mpsc::UnboundedSender<Event>) {
    let (out, mut wanted) = mpsc::unbounded_channel();
    let _ = stream.set_nodelay(true);
    let mut read = Vec::new();
    loop {
        tokio::select! {
            came = stream.read_buf(&mut read) => match came {
                Ok(len) if len > 0 => {
                    while let Some((head, body)) = message(&mut read) {
                        let _ = events.send(Event::Came(Came { connection, head, body, out: out.clone() }));
                    }
                }
                _ => break,
            },
            Some(want) = wanted.recv() => match want {
                Out::Bytes(bytes) => if stream.write_all(&bytes).await.is_err() { break },
                Out::Written(done) => drop(done.send(())),
                Out::End => break,
                Out::Reset => {
                    let _ = stream.set_zero_linger();
                    break;
                }
            },
        }
    }
    drop(stream);
    let _ = events.send(Event::Closed(connection));
}

/// Takes a whole message off what was read: its head, and a body of the length that it gives.
fn message(read: &mut Vec<u8>) -> Option<(String, Vec<u8>)> {
    let end = read.windows(4).position(|four| four == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&read[..end - 4]).into_owned();
    let length = head.lines().filter_map(|line| line.split_once(": "));
    let length = length.filter(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    let length: usize = length.map(|(_, value)| value).next().map_or(0, |n| n.parse().unwrap_or(0));
    if read.len() < end + length {
        return None;
    }
    let body = read[end..end + length].to_vec();
    read.drain(..end + length);
    Some((head, body))
}
