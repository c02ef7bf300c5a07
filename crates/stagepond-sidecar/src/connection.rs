//! A TCP connection that tells what passed over it: when bytes came, whether the current message has been
//! written whole, whether it still stands. It owns the descriptor, so that another part can cut it at once;
//! it must never change, delay or understand what passes, beyond finding where a message ends.

use std::io::{self, IoSliceMut};
use std::net::{Shutdown, SocketAddr};
use std::os::fd::AsRawFd;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{ready, Context, Poll};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::client::legacy::connect::{Connected, Connection};
use nix::errno::Errno;
use nix::sys::socket::{recv, recvmsg, setsockopt, sockopt, ControlMessageOwned, MsgFlags};
use nix::sys::time::TimeSpec;
use stagepond::host::Tenths;
use tokio::io::Interest;
use tokio::net::TcpStream;

use crate::messages::Clock;

const READ_AT_ONCE: usize = 16 << 10;
/// Bytes can have waited for as long as this process stood still; more than this is a step of the clock.
const WAITED_MAX: Duration = Duration::from_secs(60);

/// How far the message being written has gone, found in the bytes that the system took.
#[derive(Clone, Copy, Debug, Default)]
struct Progress {
    head_end: usize,
    body_left: usize,
}

const HEAD_END: &[u8; 4] = b"\r\n\r\n";
/// The longest head, and the most that a connection's buffer holds: far over any usual one.
pub const MAX_HEAD_BYTES: usize = 16 << 10;
const FIELDS_MAX: usize = 100;

/// Where in a message the bytes that came in last stand, and what its head says of its length. The library
/// drops one of two lengths before a handler sees it, and whoever reads the other one finds a second message
/// in the body. So both are counted here, in the bytes themselves.
#[derive(Debug)]
enum Reading {
    Head(Vec<u8>),
    Body(u64),
    /// The length is not told by the head: how far it has gone is for the library alone to know.
    Unknown,
}

#[derive(Debug)]
struct Heads {
    reading: Reading,
    begun_at: Option<Tenths>,
    lengths: usize,
}

impl Default for Heads {
    fn default() -> Heads {
        Heads { reading: Reading::Head(Vec::new()), begun_at: None, lengths: 0 }
    }
}

impl Heads {
    fn came(&mut self, mut bytes: &[u8], at: Tenths) {
        while !bytes.is_empty() {
            let begun_at = self.begun_at.get_or_insert(at);
            match &mut self.reading {
                Reading::Head(so_far) => {
                    let before = so_far.len();
                    so_far
                        .extend_from_slice(&bytes[..bytes.len().min(MAX_HEAD_BYTES.saturating_sub(before))]);
                    let mut fields = [httparse::EMPTY_HEADER; FIELDS_MAX];
                    let mut head = httparse::Request::new(&mut fields);
                    let (end, next) = match head.parse(so_far) {
                        Ok(httparse::Status::Complete(end)) => {
                            (end, body_of(head.headers, &mut self.lengths))
                        }
                        Ok(httparse::Status::Partial) if so_far.len() < MAX_HEAD_BYTES => return,
                        // Not a head, or too long a one: the library turns it away.
                        _ => (so_far.len(), Reading::Unknown),
                    };
                    bytes = &bytes[end.saturating_sub(before).min(bytes.len())..];
                    self.reading = next;
                    // The next one begins with the next byte.
                    if let Reading::Body(0) = self.reading {
                        (self.reading, self.begun_at) = (Reading::Head(Vec::new()), None);
                    }
                }
                Reading::Body(left) => {
                    let here = (*left).min(bytes.len() as u64);
                    (*left, bytes) = (*left - here, &bytes[here as usize..]);
                    if *left == 0 {
                        (self.reading, self.begun_at) = (Reading::Head(Vec::new()), None);
                    }
                }
                Reading::Unknown => {
                    *begun_at = (*begun_at).min(at);
                    return;
                }
            }
        }
    }
}

/// How the body behind a head is delimited; `lengths` is set to the number of fields that say so.
fn body_of(fields: &[httparse::Header], lengths: &mut usize) -> Reading {
    let named = |name: &'static str| fields.iter().filter(move |f| f.name.eq_ignore_ascii_case(name));
    *lengths = named("content-length").count() + named("transfer-encoding").count();
    if *lengths == 0 {
        return Reading::Body(0);
    }
    let only = named("content-length").next().filter(|_| *lengths == 1);
    let text = only.and_then(|field| std::str::from_utf8(field.value).ok());
    text.and_then(|text| text.trim().parse().ok()).map_or(Reading::Unknown, Reading::Body)
}

impl Progress {
    fn took(&mut self, bytes: &[u8]) {
        let mut at = 0;
        while at < bytes.len() && self.head_end < HEAD_END.len() {
            let fits = bytes[at] == HEAD_END[self.head_end];
            self.head_end = if fits { self.head_end + 1 } else { usize::from(bytes[at] == b'\r') };
            at += 1;
        }
        self.body_left = self.body_left.saturating_sub(bytes.len() - at);
    }

    fn whole(&self) -> bool {
        self.head_end == HEAD_END.len() && self.body_left == 0
    }
}

#[derive(Default)]
struct State {
    stream: Option<Arc<TcpStream>>,
    cut: bool,
    retired: bool,
    progress: Progress,
    came_at: Tenths,
    /// Only where messages come in: the head of each is followed.
    heads: Option<Heads>,
}

/// What is known of one connection at a time, for those who hold no end of it.
#[derive(Clone, Default)]
pub struct ConnectionTrace(Arc<Mutex<State>>);

impl ConnectionTrace {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("never held while panicking")
    }

    /// A message with a body of this length is written next.
    pub fn begin_message(&self, body: usize) {
        self.state().progress = Progress { head_end: 0, body_left: body };
    }

    /// Whether its last byte is with the system; only then can the other end have it.
    pub fn is_message_written(&self) -> bool {
        self.state().progress.whole()
    }

    /// For a connection on which messages come in, their heads being followed.
    pub fn for_incoming_messages() -> ConnectionTrace {
        let trace = ConnectionTrace::default();
        trace.state().heads = Some(Heads::default());
        trace
    }

    /// Whether the message whose head came last gives its length more than once, and so in two ways.
    pub fn has_ambiguous_length(&self) -> bool {
        self.state().heads.as_ref().is_some_and(|heads| heads.lengths > 1)
    }

    /// Since when a message has been coming in that is not there in full.
    pub fn message_begun_at(&self) -> Option<Tenths> {
        self.state().heads.as_ref().and_then(|heads| heads.begun_at)
    }

    /// When bytes last came.
    pub fn last_received_at(&self) -> Tenths {
        self.state().came_at
    }

    pub fn is_open(&self) -> bool {
        self.state().stream.is_some()
    }

    /// No further message is to go out on it.
    pub fn retire(&self) {
        self.state().retired = true;
    }

    /// Whether another message may go out on it: it stands, and nothing has come that is still to be read, nor
    /// the end. What came before the question would be taken for the answer.
    pub fn is_reusable(&self) -> bool {
        let state = self.state();
        let peek = |stream: &Arc<TcpStream>| recv(stream.as_raw_fd(), &mut [0], MsgFlags::MSG_PEEK);
        !state.cut && !state.retired && state.stream.as_ref().map(peek) == Some(Err(Errno::EAGAIN))
    }

    /// Ends the sending at once, in this very call, and bars any connection still to come.
    pub fn shut_down(&self) {
        let mut state = self.state();
        state.cut = true;
        if let Some(stream) = &state.stream {
            // Fails only where the other end has ended it already.
            let _ = socket2::SockRef::from(&**stream).shutdown(Shutdown::Both);
        }
    }
}

pub struct TracedConnection {
    stream: Arc<TcpStream>,
    trace: ConnectionTrace,
    clock: Clock,
}

impl TracedConnection {
    pub fn new(stream: TcpStream, trace: ConnectionTrace, clock: Clock) -> io::Result<TracedConnection> {
        stream.set_nodelay(true)?;
        let _ = setsockopt(&stream, sockopt::ReceiveTimestampns, &true);
        let stream = Arc::new(stream);
        let mut state = trace.state();
        if state.cut {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        state.stream = Some(stream.clone());
        drop(state);
        Ok(TracedConnection { stream, trace, clock })
    }

    pub async fn connect(
        to: SocketAddr, trace: ConnectionTrace, clock: Clock,
    ) -> io::Result<TracedConnection> {
        TracedConnection::new(TcpStream::connect(to).await?, trace, clock)
    }
}

/// Reads, and tells for how long the last of what came has waited: this process may have been busy, or
/// stopped, since the system took it in, and time limits go on meanwhile.
fn receive(stream: &TcpStream, into: &mut [u8]) -> io::Result<(usize, Option<Duration>)> {
    let mut control = nix::cmsg_space!(TimeSpec);
    let mut slices = [IoSliceMut::new(into)];
    let none = MsgFlags::empty();
    let came = recvmsg::<()>(stream.as_raw_fd(), &mut slices, Some(&mut control), none)?;
    let stamp = came.cmsgs()?.find_map(|message| match message {
        ControlMessageOwned::ScmTimestampns(stamp) => Some(Duration::from(stamp)),
        _ => None,
    });
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let waited = stamp.and_then(|stamp| now.checked_sub(stamp)).filter(|waited| *waited < WAITED_MAX);
    Ok((came.bytes, waited))
}

impl Drop for TracedConnection {
    fn drop(&mut self) {
        // Another connection may have taken this one's place while it was closing.
        let mut state = self.trace.state();
        state.stream = state.stream.take().filter(|stream| !Arc::ptr_eq(stream, &self.stream));
    }
}

impl Connection for TracedConnection {
    fn connected(&self) -> Connected {
        Connected::new()
    }
}

impl Read for TracedConnection {
    fn poll_read(
        self: Pin<&mut Self>, cx: &mut Context<'_>, mut into: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut bytes = [0; READ_AT_ONCE];
        let most = into.remaining().min(READ_AT_ONCE);
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            let read = || receive(&self.stream, &mut bytes[..most]);
            match self.stream.try_io(Interest::READABLE, read) {
                Ok((len, waited)) => {
                    if len > 0 {
                        // Where the system can't stamp, the time of the read has to do.
                        let waited = Tenths((waited.unwrap_or_default().as_micros() / 100) as i64);
                        let mut state = self.trace.state();
                        state.came_at = self.clock.now() - waited;
                        let came_at = state.came_at;
                        if let Some(heads) = &mut state.heads {
                            heads.came(&bytes[..len], came_at);
                        }
                    }
                    into.put_slice(&bytes[..len]);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl Write for TracedConnection {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match self.stream.try_write(bytes) {
                Ok(len) => {
                    self.trace.state().progress.took(&bytes[..len]);
                    return Poll::Ready(Ok(len));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(socket2::SockRef::from(&*self.stream).shutdown(Shutdown::Write))
    }
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;

    /// "Broken before the last byte" proves that it never ran: so not a byte too early, however it is cut.
    #[rstest]
    #[case::without_a_body("GET / HTTP/1.1\r\nhost: a\r\n\r\n", 0)]
    #[case::with_a_body("POST / HTTP/1.1\r\ncontent-length: 6\r\n\r\n\r\n\r\nab", 6)]
    fn a_message_is_whole_with_its_last_byte_only(#[case] message: &str, #[case] body: usize) {
        for cut in 0..=message.len() {
            let mut progress = Progress { head_end: 0, body_left: body };
            progress.took(&message.as_bytes()[..cut]);
            assert_eq!(progress.whole(), cut == message.len(), "cut at {cut}");
            progress.took(&message.as_bytes()[cut..]);
            assert!(progress.whole());
        }
    }

    const CHUNKED: &str = "Transfer-Encoding: chunked\r\n";

    #[rstest]
    #[case::none("", "", false)]
    #[case::one_length("Content-Length: 3\r\n", "abc", false)]
    #[case::length_then_chunks(&format!("Content-Length: 3\r\n{CHUNKED}"), "", true)]
    #[case::chunks_then_length(&format!("{CHUNKED}content-LENGTH:3\r\n"), "", true)]
    #[case::two_lengths("Content-Length: 3\r\nContent-Length: 3\r\n", "", true)]
    #[case::two_encodings(&format!("{CHUNKED}{CHUNKED}"), "", true)]
    fn a_second_length_is_seen_wherever_the_bytes_are_cut(
        #[case] lengths: &str, #[case] body: &str, #[case] ambiguous: bool,
    ) {
        let one = format!("POST /a HTTP/1.1\r\nHost: a\r\n{lengths}\r\n{body}");
        let both = format!("GET / HTTP/1.1\r\nContent-Length: 0\r\n\r\n{one}");
        for cut in 0..=both.len() {
            let mut heads = Heads::default();
            heads.came(&both.as_bytes()[..cut], Tenths(1));
            heads.came(&both.as_bytes()[cut..], Tenths(2));
            assert_eq!(heads.lengths > 1, ambiguous, "cut at {cut}");
            assert_eq!(heads.begun_at.is_some(), ambiguous, "cut at {cut}");
        }
    }

    #[rstest]
    #[tokio::test]
    async fn bytes_are_stamped_when_they_came_not_when_they_are_read() {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let to = listener.local_addr().unwrap();
        let (trace, clock) = (ConnectionTrace::default(), Clock::start());
        let mut wire = TracedConnection::connect(to, trace.clone(), clock).await.unwrap();
        let (peer, _) = listener.accept().await.unwrap();
        // The system begins to stamp a moment after it is first asked to.
        loop {
            peer.writable().await.unwrap();
            peer.try_write(b"early").unwrap();
            wire.stream.readable().await.unwrap();
            let read = wire.stream.try_io(Interest::READABLE, || receive(&wire.stream, &mut [0; 8]));
            if read.is_ok_and(|(_, waited)| waited.is_some()) {
                break;
            }
        }
        assert_eq!(peer.try_write(b"late").unwrap(), 4);
        let sent = clock.now();
        // This thread is the whole runtime: nothing reads while it stands still.
        std::thread::sleep(Duration::from_millis(60));
        let mut into = [0; 8];
        let mut buffer = hyper::rt::ReadBuf::new(&mut into);
        let read = |cx: &mut Context| Pin::new(&mut wire).poll_read(cx, buffer.unfilled());
        std::future::poll_fn(read).await.unwrap();
        let late = trace.last_received_at() - sent;
        assert!(late.0.abs() < 400, "stamped {} tenths of a ms after it was sent", late.0);
    }
}
