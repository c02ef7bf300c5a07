//! Scripted mock server, used for pods, discovery and the platform.
//!
//! It hands each request to the caller and writes only what the caller asks for. It never responds by
//! itself, so that a test controls the order of events. The examples, the tests of the sidecar program and the
//! tests with several sidecar processes share it.

// Each including crate uses a different part of this module.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};

/// How long a test waits for an event before it fails.
const EVENT_TIMEOUT: Duration = Duration::from_secs(10);

/// A command to a connection's task.
enum WriteCommand {
    Bytes(Vec<u8>),
    /// Confirm that everything before this command was written.
    Flush(oneshot::Sender<()>),
    /// Close with a TCP RST.
    Reset,
    Close,
}

/// A request received by the mock server, and a handle to respond on its connection.
pub struct Request {
    /// Number of the connection in the order of acceptance, from 1.
    pub connection: usize,
    /// Request line and headers, without the empty line at the end.
    pub head: String,
    pub body: Vec<u8>,
    /// When its last byte was read.
    pub received_at: Instant,
    commands: mpsc::UnboundedSender<WriteCommand>,
}

impl Request {
    /// Writes these bytes to the connection unchanged.
    pub fn send_raw(&self, bytes: impl Into<Vec<u8>>) {
        let _ = self.commands.send(WriteCommand::Bytes(bytes.into()));
    }

    /// Sends a complete response. `headers` holds whole header lines, each with its CRLF.
    pub fn respond(&self, status: &str, headers: &str, body: &str) {
        self.send_raw(format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len()));
    }

    /// Begins a chunked response that stays open; `send_chunk` adds to it.
    pub fn start_chunked(&self, content_type: &str) {
        self.send_raw(format!(
            "HTTP/1.1 200 OK\r\nContent-Type: {content_type}\r\nTransfer-Encoding: chunked\r\n\r\n"
        ));
    }

    /// Adds one chunk to a response that `start_chunked` began.
    pub fn send_chunk(&self, text: &str) {
        self.send_raw(format!("{:x}\r\n{text}\r\n", text.len()));
    }

    /// Returns once everything sent so far has been passed to the operating system.
    pub async fn flush(&self) {
        let (done, is_done) = oneshot::channel();
        let _ = self.commands.send(WriteCommand::Flush(done));
        is_done.await.expect("connection closed before it was flushed");
    }

    /// Closes the connection with a TCP RST. Bytes that the system has not delivered yet may be lost.
    pub fn reset(&self) {
        let _ = self.commands.send(WriteCommand::Reset);
    }

    /// Closes the connection in order, after everything sent so far.
    pub fn close(&self) {
        let _ = self.commands.send(WriteCommand::Close);
    }

    /// The request target: path and query.
    pub fn target(&self) -> &str {
        self.head.split(' ').nth(1).unwrap_or_default()
    }

    /// The first value of a header; the name is compared without regard to case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let pairs = self.head.lines().filter_map(|line| line.split_once(": "));
        pairs.filter(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value).next()
    }
}

/// What happened on the mock server's connections.
pub enum ServerEvent {
    /// A connection was accepted.
    Opened,
    Request(Request),
    /// The connection with this number was closed, by either side.
    Closed(usize),
}

/// A listening mock server and the queue of its events.
pub struct MockServer {
    pub address: SocketAddr,
    events: mpsc::UnboundedReceiver<ServerEvent>,
}

impl MockServer {
    /// Listens on `address`; port 0 lets the system choose one.
    ///
    /// # Panics
    ///
    /// If the address can't be bound.
    pub async fn start(address: &str) -> MockServer {
        let listener = TcpListener::bind(address).await.expect("cannot bind the mock server's address");
        let address = listener.local_addr().expect("a bound listener has an address");
        let (sender, events) = mpsc::unbounded_channel();
        tokio::spawn(async move {
            for connection in 1.. {
                let Ok((stream, _)) = listener.accept().await else { return };
                let _ = sender.send(ServerEvent::Opened);
                tokio::spawn(serve_connection(stream, connection, sender.clone()));
            }
        });
        MockServer { address, events }
    }

    /// Returns the next event.
    ///
    /// # Panics
    ///
    /// If nothing happens for 10 s.
    pub async fn next_event(&mut self) -> ServerEvent {
        let next = tokio::time::timeout(EVENT_TIMEOUT, self.events.recv()).await;
        next.expect("no event within 10 s").expect("the mock server has stopped")
    }

    /// As `next_event`, without a time limit: the examples may be idle for long.
    pub async fn wait_for_event(&mut self) -> Option<ServerEvent> {
        self.events.recv().await
    }

    /// Returns the next request and skips every other event before it.
    pub async fn next_request(&mut self) -> Request {
        loop {
            if let ServerEvent::Request(request) = self.next_event().await {
                return request;
            }
        }
    }

    /// Returns the number of the next connection that closes and skips every other event before it.
    pub async fn next_closed(&mut self) -> usize {
        loop {
            if let ServerEvent::Closed(connection) = self.next_event().await {
                return connection;
            }
        }
    }

    /// Removes and returns the events that are queued now, without waiting.
    pub fn drain_events(&mut self) -> Vec<ServerEvent> {
        std::iter::from_fn(|| self.events.try_recv().ok()).collect()
    }
}

/// Reads requests from one connection and carries out the commands for it, until either side closes it.
async fn serve_connection(
    mut stream: TcpStream, connection: usize, events: mpsc::UnboundedSender<ServerEvent>,
) {
    let (commands, mut command_queue) = mpsc::unbounded_channel();
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    loop {
        tokio::select! {
            received = stream.read_buf(&mut buffer) => match received {
                Ok(len) if len > 0 => {
                    while let Some((head, body)) = take_request(&mut buffer) {
                        let commands = commands.clone();
                        let _ = events.send(ServerEvent::Request(Request {
                            connection,
                            head,
                            body,
                            received_at: Instant::now(),
                            commands,
                        }));
                    }
                }
                _ => break,
            },
            Some(command) = command_queue.recv() => match command {
                WriteCommand::Bytes(bytes) => if stream.write_all(&bytes).await.is_err() { break },
                WriteCommand::Flush(done) => drop(done.send(())),
                WriteCommand::Close => break,
                WriteCommand::Reset => {
                    let _ = stream.set_zero_linger();
                    break;
                }
            },
        }
    }
    drop(stream);
    let _ = events.send(ServerEvent::Closed(connection));
}

/// Removes one complete request from the buffer and returns its head and a body of the announced length.
fn take_request(buffer: &mut Vec<u8>) -> Option<(String, Vec<u8>)> {
    let body_start = buffer.windows(4).position(|four| four == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&buffer[..body_start - 4]).into_owned();
    let headers = head.lines().filter_map(|line| line.split_once(": "));
    let lengths = headers.filter(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    let length: usize = lengths.map(|(_, value)| value).next().map_or(0, |n| n.parse().unwrap_or(0));
    if buffer.len() < body_start + length {
        return None;
    }
    let body = buffer[body_start..body_start + length].to_vec();
    buffer.drain(..body_start + length);
    Some((head, body))
}
