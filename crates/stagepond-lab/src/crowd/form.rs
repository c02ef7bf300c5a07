//! The forms of clients in a crowd: what each sends, how fast, and whether it reads its answers.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Longest body that the sidecar takes, in bytes.
const BODY_BYTES: usize = 64 << 10;
/// Number of pieces of a body that is sent slowly.
const SLOW_PIECES: usize = 110;
/// Pause between two pieces of a message that is sent slowly.
const SLOW_PIECE_PAUSE: Duration = Duration::from_millis(10);
/// Fields of a head with very many; the HTTP library accepts 100.
const MANY_FIELDS: usize = 94;
/// Bytes of an unfinished long head; the sidecar accepts 16 KiB.
const LONG_HEAD_BYTES: usize = 15 << 10;
/// Requests that are sent one behind the other without reading an answer.
const UNREAD_REQUESTS: usize = 40;
/// How long a client with an unfinished message or unread answers stays, unless the sidecar ends its connection.
const STAY_TIME: Duration = Duration::from_secs(3);
/// Pause of a client between two connections.
const RECONNECT_PAUSE: Duration = Duration::from_millis(10);
/// Largest read of a client, in bytes.
const READ_BYTES: usize = 16 << 10;

/// A form of client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum ClientForm {
    /// Sends whole requests with the longest body, one after the other.
    Whole,
    /// Sends requests without a body.
    Bodiless,
    /// Sends half of the longest body and stays.
    HalfBody,
    /// Sends the longest body in small pieces.
    SlowBody,
    /// Sends the longest body in chunks of one byte.
    OneByteChunks,
    /// Sends a head of very many short fields, half of a body, and stays.
    ManyFields,
    /// Sends a long head without its end and stays.
    LongHead,
    /// Sends many requests at once and reads no answer.
    UnreadAnswers,
    /// Says nothing.
    Silent,
}

impl ClientForm {
    /// The forms that never take a whole answer.
    pub const BAD: [ClientForm; 7] = [
        ClientForm::HalfBody,
        ClientForm::SlowBody,
        ClientForm::OneByteChunks,
        ClientForm::ManyFields,
        ClientForm::LongHead,
        ClientForm::UnreadAnswers,
        ClientForm::Silent,
    ];
}

/// Counts of one client.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClientCounts {
    /// Requests answered with 200.
    pub served: u64,
    /// Requests answered with another status.
    pub refused: u64,
    /// Requests of clients that wait for answers whose connection ended without one.
    pub unanswered: u64,
}

fn head(operation: &str, id: &str, fields: &str) -> String {
    let method = if operation == "order" { "POST" } else { "GET" };
    format!(
        "{method} /{operation} HTTP/1.1\r\nHost: a\r\nX-Request-ID: {id}\r\nX-Priority-Class: {operation}\r\n\
         X-Timeout-Ms: 2000\r\nIdempotency-Key: {id}\r\n{fields}\r\n"
    )
}

/// Connects again and again as a client of this form until it is aborted.
pub async fn run(form: ClientForm, to: SocketAddr, number: usize, counts: impl Fn(ClientCounts)) {
    for attempt in 0u64.. {
        let id = format!("crowd-{number}-{attempt}");
        // A crowd that outlives the sidecar must not wait for the operating system's long time limit.
        let connecting = tokio::time::timeout(STAY_TIME, TcpStream::connect(to));
        if let Ok(Ok(mut stream)) = connecting.await {
            let _ = stream.set_nodelay(true);
            use_connection(form, &mut stream, &id, &counts).await;
        }
        tokio::time::sleep(RECONNECT_PAUSE).await;
    }
}

/// Uses one connection for as long as it stays open.
async fn use_connection(form: ClientForm, stream: &mut TcpStream, id: &str, counts: &impl Fn(ClientCounts)) {
    let length = format!("Content-Length: {BODY_BYTES}\r\n");
    match form {
        ClientForm::Whole => {
            let body = "x".repeat(BODY_BYTES);
            exchange_all(stream, |nth| head("order", &format!("{id}-{nth}"), &length) + &body, counts).await
        }
        ClientForm::Bodiless => {
            exchange_all(stream, |nth| head("lookup", &format!("{id}-{nth}"), ""), counts).await
        }
        ClientForm::HalfBody => {
            let half = "x".repeat(BODY_BYTES / 2);
            send_and_stay(stream, &(head("order", id, &length) + &half)).await
        }
        ClientForm::SlowBody => {
            let piece = "x".repeat(BODY_BYTES / SLOW_PIECES);
            send_slowly(stream, &head("order", id, &length), &piece).await
        }
        ClientForm::OneByteChunks => {
            let chunks = "1\r\nx\r\n".repeat(BODY_BYTES / SLOW_PIECES);
            send_slowly(stream, &head("order", id, "Transfer-Encoding: chunked\r\n"), &chunks).await
        }
        ClientForm::ManyFields => {
            let fields: String = (0..MANY_FIELDS).map(|nth| format!("f{nth}:\r\n")).collect();
            let half = "x".repeat(BODY_BYTES / 2);
            send_and_stay(stream, &(head("order", id, &(length + &fields)) + &half)).await
        }
        ClientForm::LongHead => {
            let field = format!("X-Long: {}", "y".repeat(LONG_HEAD_BYTES));
            let unfinished = head("lookup", id, &field);
            send_and_stay(stream, unfinished.trim_end()).await
        }
        ClientForm::UnreadAnswers => {
            let requests: String =
                (0..UNREAD_REQUESTS).map(|nth| head("lookup", &format!("{id}-{nth}"), "")).collect();
            send_and_stay(stream, &requests).await
        }
        ClientForm::Silent => send_and_stay(stream, "").await,
    }
}

/// Sends one request after the other until an answer closes the connection or does not come.
async fn exchange_all(
    stream: &mut TcpStream, request: impl Fn(u64) -> String, counts: &impl Fn(ClientCounts),
) {
    for nth in 0.. {
        let sent = stream.write_all(request(nth).as_bytes()).await;
        let answer = if sent.is_ok() { read_answer(stream).await } else { None };
        let mut count = ClientCounts::default();
        match answer {
            Some((200, _)) => count.served = 1,
            Some(_) => count.refused = 1,
            None => count.unanswered = 1,
        }
        counts(count);
        if answer.is_none_or(|(_, closes)| closes) {
            break;
        }
    }
}

/// Sends this text and waits, without reading, until the time is over.
async fn send_and_stay(stream: &mut TcpStream, text: &str) {
    let sending = async {
        let _ = stream.write_all(text.as_bytes()).await;
        std::future::pending::<()>().await;
    };
    let _ = tokio::time::timeout(STAY_TIME, sending).await;
}

/// Sends the pieces with pauses, without the end of the message, for as long as the connection stays open.
async fn send_slowly(stream: &mut TcpStream, head: &str, piece: &str) {
    let mut open = stream.write_all(head.as_bytes()).await.is_ok();
    for _ in 0..SLOW_PIECES {
        if !open {
            break;
        }
        tokio::time::sleep(SLOW_PIECE_PAUSE).await;
        open = stream.write_all(piece.as_bytes()).await.is_ok();
    }
}

/// Reads one answer with a length. Returns its status and whether it closes the connection.
async fn read_answer(stream: &mut TcpStream) -> Option<(u16, bool)> {
    let mut received = Vec::new();
    let mut bytes = vec![0; READ_BYTES];
    loop {
        let len = stream.read(&mut bytes).await.ok().filter(|len| *len > 0)?;
        received.extend_from_slice(&bytes[..len]);
        let Some(end) = received.windows(4).position(|four| four == b"\r\n\r\n") else { continue };
        let head = String::from_utf8_lossy(&received[..end]).to_ascii_lowercase();
        let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
        let length: usize = length.and_then(|length| length.parse().ok()).unwrap_or(0);
        if received.len() >= end + 4 + length {
            let status = head.split(' ').nth(1).and_then(|status| status.parse().ok())?;
            return Some((status, head.lines().any(|line| line == "connection: close")));
        }
    }
}
