//! The clients of the soak. Each keeps one connection, sends one request after the other on it for as long as
//! the connection stays open, and records how each request ended.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

use super::script::Script;

/// Time limits that clients draw from beside the longest one.
const SHORT_TIME_LIMITS: [Duration; 2] = [Duration::from_millis(50), Duration::from_millis(200)];
/// Pauses between the two pieces of a request that is sent in pieces, in milliseconds.
const PIECE_PAUSES_MS: [u64; 3] = [10, 300, 900];
/// Share of requests that are orders, which must run once at most.
const ORDER_SHARE: f64 = 0.2;
/// Longest time between a request and the close of a client that leaves, in milliseconds.
const MAX_LEAVE_DELAY_MS: u64 = 300;
/// Most requests that a client that leaves has sent behind the first.
const MAX_REQUESTS_BEHIND: usize = 4;
/// Length of an order that is sent in pieces: a longer one would arrive in more of them.
const MAX_SPLIT_BODY_BYTES: usize = 200;
/// How late an answer may be and still count as the answer to its request.
pub const MAX_LATENESS: Duration = Duration::from_millis(500);
/// Pause after a refused connection.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Clients that do not come in a crowd connect within this time.
const ARRIVAL_SPREAD: Duration = Duration::from_millis(400);
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Where clients connect, and whether they may.
#[derive(Clone, Copy, Debug)]
pub struct Front {
    /// Address of the sidecar.
    pub address: SocketAddr,
    /// Whether new connections go to the sidecar.
    pub open: bool,
    /// Whether the run is over.
    pub finished: bool,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Ending {
    /// A whole answer arrived.
    Answered {
        /// Its status code.
        status: u16,
    },
    /// The connection ended before a whole answer.
    ConnectionEnded {
        /// Bytes of the answer that had arrived.
        received: usize,
    },
    /// The connection ended before the request was sent in full.
    EndedWhileSending,
    /// No whole answer within the time limit and [`MAX_LATENESS`].
    Unanswered,
    /// The client closed its connection before the answer.
    Left,
}

/// A request that a client began to send.
#[derive(Clone, Debug)]
pub struct Record {
    /// The request's id.
    pub id: String,
    /// Whether it was an order.
    pub is_order: bool,
    /// The client's time limit.
    pub limit: Duration,
    /// When the last byte was written, or the write failed.
    pub sent_at: Instant,
    /// When the request ended.
    pub ended_at: Instant,
    /// When the connection was opened.
    pub connected_at: Instant,
    /// Requests answered on the connection before this one.
    pub earlier_requests: u32,
    /// Pause between the two pieces, if the request was sent in two.
    pub piece_pause: Option<Duration>,
    /// How it ended.
    pub ending: Ending,
}

/// The records of all clients of a run.
pub type Records = Arc<Mutex<Vec<Record>>>;

struct Connection {
    stream: TcpStream,
    connected_at: Instant,
    earlier_requests: u32,
}

/// A request before it is sent.
struct Draft {
    id: String,
    is_order: bool,
    limit: Duration,
    bytes: Vec<u8>,
    /// Where the request is cut, and the pause between the pieces.
    cut: Option<(usize, Duration)>,
}

/// An answer as far as a client looks at it.
struct Answer {
    status: u16,
    closes: bool,
}

/// Runs the client with this number until the run is over.
pub async fn run_client(script: Arc<Script>, number: usize, front: watch::Receiver<Front>, records: Records) {
    let mut rng = fastrand::Rng::with_seed(script.seed.wrapping_mul(1_000_003).wrapping_add(number as u64));
    if !script.crowd {
        tokio::time::sleep(ARRIVAL_SPREAD.mul_f64(rng.f64())).await;
    }
    let mut sent = 0;
    while let Some(mut connection) = connect(front.clone()).await {
        tokio::time::sleep(script.first_request_delay.mul_f64(0.5 + rng.f64() / 2.0)).await;
        loop {
            let leaving_share = script.troubles.leaving_share;
            if leaving_share > 0.0 && rng.f64() < leaving_share {
                let drafts: Vec<Draft> = (0..rng.usize(1..=MAX_REQUESTS_BEHIND + 1))
                    .map(|nth| draw_request(&script, &mut rng, number, sent + nth as u32))
                    .collect();
                sent += drafts.len() as u32;
                let left = leave(connection, drafts, &mut rng).await;
                records.lock().expect("no holder of the lock panics").extend(left);
                break;
            }
            let draft = draw_request(&script, &mut rng, number, sent);
            sent += 1;
            let (record, reusable) = exchange(&mut connection, draft).await;
            records.lock().expect("no holder of the lock panics").push(record);
            connection.earlier_requests += 1;
            let pause = script.think_time.mul_f64(-(1.0 - rng.f64()).ln());
            if !reusable {
                tokio::time::sleep(pause).await;
                break;
            }
            if !stays_open(&connection, pause).await || front.borrow().finished {
                break;
            }
        }
    }
}

/// Connects as soon as the front lets clients in; `None` once the run is over.
async fn connect(mut front: watch::Receiver<Front>) -> Option<Connection> {
    loop {
        let state = *front.borrow_and_update();
        if state.finished {
            return None;
        }
        if !state.open {
            front.changed().await.ok()?;
            continue;
        }
        match TcpStream::connect(state.address).await {
            Ok(stream) => {
                let _ = stream.set_nodelay(true);
                return Some(Connection { stream, connected_at: Instant::now(), earlier_requests: 0 });
            }
            Err(_) => tokio::time::sleep(CONNECT_RETRY_DELAY).await,
        }
    }
}

/// Waits for the pause. Returns false if the connection ends within it, or carries bytes that no request
/// asked for.
async fn stays_open(connection: &Connection, pause: Duration) -> bool {
    tokio::time::timeout(pause, connection.stream.readable()).await.is_err()
}

fn draw_request(script: &Script, rng: &mut fastrand::Rng, client: usize, sent: u32) -> Draft {
    let id = format!("{:x}-{client}-{sent}", script.seed);
    let is_order = rng.f64() < ORDER_SHARE;
    let limits = [SHORT_TIME_LIMITS[0], SHORT_TIME_LIMITS[1], script.longest_time_limit];
    let limit = limits[rng.usize(0..limits.len())];
    let is_split = rng.f64() < script.split_share;
    let body_bytes =
        script.troubles.order_body_bytes.min(if is_split { MAX_SPLIT_BODY_BYTES } else { usize::MAX });
    let (method, operation, body) =
        if is_order { ("POST", "order", "x".repeat(body_bytes)) } else { ("GET", "lookup", String::new()) };
    let bytes = format!(
        "{method} /{operation}/{client} HTTP/1.1\r\nHost: here\r\nX-Request-ID: {id}\r\n\
         X-Priority-Class: {operation}\r\nX-Timeout-Ms: {}\r\nContent-Length: {}\r\n\r\n{body}",
        limit.as_millis(),
        body.len()
    )
    .into_bytes();
    let cut = is_split.then(|| {
        // An order may be cut between head and body, as clients that wait for a body do.
        let at = if is_order && rng.bool() { bytes.len() - body_bytes } else { rng.usize(1..bytes.len()) };
        (at, Duration::from_millis(PIECE_PAUSES_MS[rng.usize(0..PIECE_PAUSES_MS.len())]))
    });
    Draft { id, is_order, limit, bytes, cut }
}

/// Sends requests one behind the other and closes the connection, in order or with a reset, before all of them
/// are answered.
async fn leave(connection: Connection, drafts: Vec<Draft>, rng: &mut fastrand::Rng) -> Vec<Record> {
    let Connection { mut stream, connected_at, earlier_requests } = connection;
    let delay = Duration::from_millis(rng.u64(0..=MAX_LEAVE_DELAY_MS));
    if rng.bool() {
        let _ = stream.set_zero_linger();
    }
    let bytes: Vec<u8> = drafts.iter().flat_map(|draft| draft.bytes.iter().copied()).collect();
    let sent_at = Instant::now();
    // The client leaves then, whether or not all was taken.
    let sending = async {
        let _ = stream.write_all(&bytes).await;
        std::future::pending::<()>().await;
    };
    let _ = tokio::time::timeout(delay, sending).await;
    drop(stream);
    let ended_at = Instant::now();
    let record = |draft: Draft| Record {
        id: draft.id,
        is_order: draft.is_order,
        limit: draft.limit,
        sent_at,
        ended_at,
        connected_at,
        earlier_requests,
        piece_pause: None,
        ending: Ending::Left,
    };
    drafts.into_iter().map(record).collect()
}

/// Sends a request and reads its answer. Returns whether the connection can carry another one.
async fn exchange(connection: &mut Connection, draft: Draft) -> (Record, bool) {
    let sent = send(&mut connection.stream, &draft).await;
    let sent_at = Instant::now();
    let (ending, reusable) = match sent {
        Err(_) => (Ending::EndedWhileSending, false),
        Ok(()) => read_ending(&mut connection.stream, draft.limit + MAX_LATENESS).await,
    };
    let record = Record {
        id: draft.id,
        is_order: draft.is_order,
        limit: draft.limit,
        sent_at,
        ended_at: Instant::now(),
        connected_at: connection.connected_at,
        earlier_requests: connection.earlier_requests,
        piece_pause: draft.cut.map(|(_, pause)| pause),
        ending,
    };
    (record, reusable)
}

async fn send(stream: &mut TcpStream, draft: &Draft) -> std::io::Result<()> {
    let Some((at, pause)) = draft.cut else { return stream.write_all(&draft.bytes).await };
    stream.write_all(&draft.bytes[..at]).await?;
    tokio::time::sleep(pause).await;
    stream.write_all(&draft.bytes[at..]).await
}

async fn read_ending(stream: &mut TcpStream, time_left: Duration) -> (Ending, bool) {
    let mut buffer = Vec::new();
    match tokio::time::timeout(time_left, read_answer(stream, &mut buffer)).await {
        Ok(Some(answer)) => (Ending::Answered { status: answer.status }, !answer.closes),
        Ok(None) => (Ending::ConnectionEnded { received: buffer.len() }, false),
        Err(_) => (Ending::Unanswered, false),
    }
}

/// Reads one whole answer; `None` if the connection ends first.
async fn read_answer(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Answer> {
    loop {
        if let Some(answer) = parse_answer(buffer) {
            return Some(answer);
        }
        if stream.read_buf(buffer).await.unwrap_or(0) == 0 {
            return None;
        }
    }
}

fn parse_answer(bytes: &[u8]) -> Option<Answer> {
    let head_bytes = bytes.windows(HEAD_END.len()).position(|window| window == HEAD_END)?;
    let head = String::from_utf8_lossy(&bytes[..head_bytes]).to_ascii_lowercase();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let length: usize = length.and_then(|length| length.parse().ok()).unwrap_or(0);
    let whole = bytes.len() >= head_bytes + HEAD_END.len() + length;
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok())?;
    whole.then(|| Answer { status, closes: head.lines().any(|line| line == "connection: close") })
}
