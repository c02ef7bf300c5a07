//! TCP connections that record what passes over them: when bytes were received, whether the current outgoing
//! message has been written in full, and whether the connection is still open.
//!
//! This module owns the socket, so that another part of the program can shut the connection down at once. It
//! never changes or delays the bytes, and it parses them only as far as needed to find where a message ends.

use std::io::{self, IoSlice, IoSliceMut};
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
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use stagepond::host::Tenths;
use tokio::io::Interest;
use tokio::net::TcpStream;

use crate::messages::Clock;

/// The most bytes that one read takes from the socket.
const READ_BUFFER_BYTES: usize = 16 << 10;
/// Longest time that received bytes can have waited to be read. They wait while this process is paused; a
/// longer time means that the wall clock was stepped.
const MAX_READ_DELAY: Duration = Duration::from_secs(60);

/// The bytes that end the head of an HTTP/1 message.
const HEAD_TERMINATOR: &[u8; 4] = b"\r\n\r\n";
/// Longest head of a message, and the size limit of a connection's read buffer. Usual heads are far shorter.
pub const MAX_HEAD_BYTES: usize = 16 << 10;
const MAX_HEADER_FIELDS: usize = 100;
/// With so many bytes unread in the socket, the end of the connection may not have reached this machine: the
/// receive window may be full before it.
const MAX_UNREAD_BYTES: usize = 32 << 10;

/// How much of the current outgoing message the operating system has taken.
#[derive(Clone, Copy, Debug, Default)]
struct WriteProgress {
    /// Whether a byte was written.
    is_begun: bool,
    /// Number of bytes of [`HEAD_TERMINATOR`] matched so far.
    terminator_matched: usize,
    body_bytes_left: usize,
}

impl WriteProgress {
    fn of_message(body_bytes: usize) -> WriteProgress {
        WriteProgress { is_begun: false, terminator_matched: 0, body_bytes_left: body_bytes }
    }

    fn on_written(&mut self, bytes: &[u8]) {
        self.is_begun |= !bytes.is_empty();
        let mut at = 0;
        while at < bytes.len() && self.terminator_matched < HEAD_TERMINATOR.len() {
            let matches = bytes[at] == HEAD_TERMINATOR[self.terminator_matched];
            self.terminator_matched =
                if matches { self.terminator_matched + 1 } else { usize::from(bytes[at] == b'\r') };
            at += 1;
        }
        self.body_bytes_left = self.body_bytes_left.saturating_sub(bytes.len() - at);
    }

    /// The operating system has taken the first `len` bytes of these slices.
    fn on_written_vectored(&mut self, slices: &[IoSlice<'_>], len: usize) {
        let mut left = len;
        for slice in slices {
            let written = slice.len().min(left);
            self.on_written(&slice[..written]);
            left -= written;
        }
    }

    fn is_complete(&self) -> bool {
        self.terminator_matched == HEAD_TERMINATOR.len() && self.body_bytes_left == 0
    }
}

/// Which part of an incoming message the next byte belongs to.
#[derive(Debug)]
enum ReadState {
    /// The head; holds the bytes of it received so far.
    Head(Vec<u8>),
    /// The body; holds the number of bytes still to come.
    Body(u64),
    /// The head does not give the length of the body, so only the HTTP library knows where the message ends.
    UnknownLength,
}

/// Follows incoming HTTP requests from the bytes received, and counts the fields that give the body length.
///
/// If a head gives two lengths, hyper drops one of them before a handler sees it, and a pod that goes by the
/// other would find a second message in the body (request smuggling). So the fields are counted in the bytes
/// themselves.
#[derive(Debug)]
struct IncomingMessages {
    state: ReadState,
    /// When the first byte of the message in progress was received.
    begun_at: Option<Tenths>,
    /// Number of fields in the last head that give the length of the body.
    length_fields: usize,
    /// Number of messages received in full.
    completed: u64,
}

impl Default for IncomingMessages {
    fn default() -> IncomingMessages {
        IncomingMessages {
            state: ReadState::Head(Vec::new()),
            begun_at: None,
            length_fields: 0,
            completed: 0,
        }
    }
}

impl IncomingMessages {
    fn on_received(&mut self, mut bytes: &[u8], at: Tenths) {
        while !bytes.is_empty() {
            let begun_at = self.begun_at.get_or_insert(at);
            match &mut self.state {
                ReadState::Head(received) => {
                    let before = received.len();
                    let room = MAX_HEAD_BYTES.saturating_sub(before);
                    received.extend_from_slice(&bytes[..bytes.len().min(room)]);
                    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
                    let mut head = httparse::Request::new(&mut fields);
                    let (end, next) = match head.parse(received) {
                        Ok(httparse::Status::Complete(end)) => {
                            (end, body_state(head.headers, &mut self.length_fields))
                        }
                        Ok(httparse::Status::Partial) if received.len() < MAX_HEAD_BYTES => return,
                        // Not an HTTP head, or too long: hyper rejects the message.
                        _ => (received.len(), ReadState::UnknownLength),
                    };
                    bytes = &bytes[end.saturating_sub(before).min(bytes.len())..];
                    self.state = next;
                    // Without a body the next message begins with the next byte.
                    if let ReadState::Body(0) = self.state {
                        self.expect_next_message();
                    }
                }
                ReadState::Body(left) => {
                    let in_body = (*left).min(bytes.len() as u64);
                    *left -= in_body;
                    bytes = &bytes[in_body as usize..];
                    if *left == 0 {
                        self.expect_next_message();
                    }
                }
                ReadState::UnknownLength => {
                    *begun_at = (*begun_at).min(at);
                    return;
                }
            }
        }
    }

    fn expect_next_message(&mut self) {
        self.state = ReadState::Head(Vec::new());
        self.begun_at = None;
        self.completed += 1;
    }
}

/// How the body that follows a head is delimited. Sets `length_fields` to the number of fields that say so.
fn body_state(fields: &[httparse::Header], length_fields: &mut usize) -> ReadState {
    let named = |name: &'static str| fields.iter().filter(move |f| f.name.eq_ignore_ascii_case(name));
    *length_fields = named("content-length").count() + named("transfer-encoding").count();
    if *length_fields == 0 {
        return ReadState::Body(0);
    }
    let single = named("content-length").next().filter(|_| *length_fields == 1);
    let text = single.and_then(|field| std::str::from_utf8(field.value).ok());
    text.and_then(|text| text.trim().parse().ok()).map_or(ReadState::UnknownLength, ReadState::Body)
}

/// What is known of the other end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerState {
    /// It has not ended the connection.
    Present,
    /// It has closed or reset the connection, wherever the end lies behind unread bytes.
    Gone,
    /// It has sent so much ahead that its end could not be seen.
    Hidden,
}

/// Looks at a socket for the end of the connection, without reading from it.
fn peer_state(stream: &TcpStream) -> PeerState {
    let ended = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    let mut polled = [PollFd::new(stream, PollFlags::IN | PollFlags::RDHUP)];
    let events = match poll(&mut polled, Some(&Timespec::default())) {
        Ok(_) => polled[0].revents(),
        // Without an answer of the system the bytes themselves are looked at.
        Err(_) => PollFlags::IN,
    };
    if events.intersects(ended) {
        return PeerState::Gone;
    }
    if !events.contains(PollFlags::IN) {
        return PeerState::Present;
    }
    match recv(stream.as_raw_fd(), &mut [0; MAX_UNREAD_BYTES], MsgFlags::MSG_PEEK) {
        Ok(MAX_UNREAD_BYTES) => PeerState::Hidden,
        Ok(1..) | Err(Errno::EAGAIN | Errno::EINTR) => PeerState::Present,
        Ok(0) | Err(_) => PeerState::Gone,
    }
}

#[derive(Default)]
struct TraceState {
    /// The socket, while the connection is open.
    stream: Option<Arc<TcpStream>>,
    shut_down: bool,
    retired: bool,
    progress: WriteProgress,
    last_received_at: Tenths,
    /// Since when the operating system takes no more bytes, because the other end reads none.
    write_blocked_since: Option<Tenths>,
    /// Present only on connections that receive requests.
    incoming: Option<IncomingMessages>,
}

impl TraceState {
    /// Whether the connection is open, and neither unread bytes nor its end have been received.
    fn has_nothing_to_read(&self) -> bool {
        let peek = |stream: &Arc<TcpStream>| recv(stream.as_raw_fd(), &mut [0], MsgFlags::MSG_PEEK);
        self.stream.as_ref().map(peek) == Some(Err(Errno::EAGAIN))
    }
}

/// What is known of one connection, readable by code that holds neither end of it.
///
/// A trace follows one connection at a time; a later connection with the same trace takes the place of an
/// earlier one.
#[derive(Clone, Default)]
pub struct ConnectionTrace(Arc<Mutex<TraceState>>);

impl ConnectionTrace {
    fn state(&self) -> MutexGuard<'_, TraceState> {
        self.0.lock().expect("no holder of the lock panics")
    }

    /// Creates a trace for a connection that receives requests, whose heads are to be followed.
    pub fn for_incoming_messages() -> ConnectionTrace {
        let trace = ConnectionTrace::default();
        trace.state().incoming = Some(IncomingMessages::default());
        trace
    }

    /// Starts to follow the writing of a message whose body has this many bytes.
    pub fn begin_message(&self, body_bytes: usize) {
        self.state().progress = WriteProgress::of_message(body_bytes);
    }

    /// Whether the operating system has taken a byte of the current message.
    pub fn is_message_begun(&self) -> bool {
        self.state().progress.is_begun
    }

    /// Whether the operating system has taken the last byte of the current message. Before that the other end
    /// can't have received it in full.
    pub fn is_message_written(&self) -> bool {
        self.state().progress.is_complete()
    }

    /// Whether the head received last gives the length of its body more than once.
    pub fn has_ambiguous_length(&self) -> bool {
        self.state().incoming.as_ref().is_some_and(|incoming| incoming.length_fields > 1)
    }

    /// When the first byte of the incoming message in progress was received; `None` between two messages.
    pub fn message_begun_at(&self) -> Option<Tenths> {
        self.state().incoming.as_ref().and_then(|incoming| incoming.begun_at)
    }

    /// Whether every request received in full is among the `answered` ones.
    pub fn is_all_answered(&self, answered: u64) -> bool {
        self.state().incoming.as_ref().is_some_and(|incoming| incoming.completed == answered)
    }

    /// Whether the connection is between two requests: all are answered, none has begun, and none waits in the
    /// socket.
    pub fn is_between_requests(&self, answered: u64) -> bool {
        self.is_all_answered(answered)
            && self.message_begun_at().is_none()
            && self.state().has_nothing_to_read()
    }

    /// Looks whether the other end has ended the connection.
    pub fn peer_state(&self) -> PeerState {
        self.state().stream.as_ref().map_or(PeerState::Gone, |stream| peer_state(stream))
    }

    /// Waits until the other end has ended the connection, also while bytes before the end are unread. Never
    /// returns if no connection is open now.
    pub async fn wait_for_peer_end(&self) {
        let stream = self.state().stream.clone();
        match stream {
            // The runtime reports the end of the incoming bytes with this interest, and unread bytes not at all.
            Some(stream) => drop(stream.ready(Interest::PRIORITY).await),
            None => std::future::pending().await,
        }
    }

    /// Writes bytes past the HTTP library, as far as the operating system takes them at once.
    ///
    /// # Errors
    ///
    /// Fails if the connection is not open or the write fails.
    pub fn try_write(&self, bytes: &[u8]) -> io::Result<usize> {
        let stream = self.state().stream.clone();
        stream.ok_or(io::ErrorKind::NotConnected)?.try_write(bytes)
    }

    /// Since when bytes wait to be written, because the other end reads none.
    pub fn write_blocked_since(&self) -> Option<Tenths> {
        self.state().write_blocked_since
    }

    /// When bytes were last received.
    pub fn last_received_at(&self) -> Tenths {
        self.state().last_received_at
    }

    /// Whether a connection is open.
    pub fn is_open(&self) -> bool {
        self.state().stream.is_some()
    }

    /// Marks the connection as not to be used for another message.
    pub fn retire(&self) {
        self.state().retired = true;
    }

    /// Whether another message may be sent on the connection: it is open, not retired, and neither unread
    /// bytes nor its end have been received. Bytes received before a request would be taken for its answer.
    pub fn is_reusable(&self) -> bool {
        let state = self.state();
        !state.shut_down && !state.retired && state.has_nothing_to_read()
    }

    /// Shuts the connection down immediately, before this returns, and makes any later connection with this
    /// trace fail.
    pub fn shut_down(&self) {
        let mut state = self.state();
        state.shut_down = true;
        if let Some(stream) = &state.stream {
            // Fails only if the other end has closed the connection already.
            let _ = socket2::SockRef::from(&**stream).shutdown(Shutdown::Both);
        }
    }
}

/// A TCP connection that keeps its [`ConnectionTrace`] up to date, for use with hyper.
pub struct TracedConnection {
    stream: Arc<TcpStream>,
    trace: ConnectionTrace,
    clock: Clock,
}

impl TracedConnection {
    /// Wraps an open stream.
    ///
    /// # Errors
    ///
    /// Fails if a socket option can't be set, or with `ConnectionAborted` if the trace has been shut down.
    pub fn new(stream: TcpStream, trace: ConnectionTrace, clock: Clock) -> io::Result<TracedConnection> {
        stream.set_nodelay(true)?;
        let _ = setsockopt(&stream, sockopt::ReceiveTimestampns, &true);
        let stream = Arc::new(stream);
        let mut state = trace.state();
        if state.shut_down {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        state.stream = Some(stream.clone());
        drop(state);
        Ok(TracedConnection { stream, trace, clock })
    }

    /// Connects to an address.
    ///
    /// # Errors
    ///
    /// Fails if the connection can't be established, or as [`TracedConnection::new`] does.
    pub async fn connect(
        to: SocketAddr, trace: ConnectionTrace, clock: Clock,
    ) -> io::Result<TracedConnection> {
        TracedConnection::new(TcpStream::connect(to).await?, trace, clock)
    }
}

/// Reads bytes. Returns their number and how long ago the operating system received the last of them, if it
/// reports that. Time limits run on while this process is busy or paused, so the time of the read is not
/// enough.
fn receive(stream: &TcpStream, into: &mut [u8]) -> io::Result<(usize, Option<Duration>)> {
    let mut control = nix::cmsg_space!(TimeSpec);
    let mut slices = [IoSliceMut::new(into)];
    let no_flags = MsgFlags::empty();
    let received = recvmsg::<()>(stream.as_raw_fd(), &mut slices, Some(&mut control), no_flags)?;
    let timestamp = received.cmsgs()?.find_map(|message| match message {
        ControlMessageOwned::ScmTimestampns(timestamp) => Some(Duration::from(timestamp)),
        _ => None,
    });
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let delay = timestamp.and_then(|timestamp| now.checked_sub(timestamp));
    let delay = delay.filter(|delay| *delay < MAX_READ_DELAY);
    Ok((received.bytes, delay))
}

impl Drop for TracedConnection {
    fn drop(&mut self) {
        // The trace may follow another connection by now; that one stays.
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
        let mut bytes = [0; READ_BUFFER_BYTES];
        let wanted = into.remaining().min(READ_BUFFER_BYTES);
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            let read = || receive(&self.stream, &mut bytes[..wanted]);
            match self.stream.try_io(Interest::READABLE, read) {
                Ok((len, delay)) => {
                    if len > 0 {
                        // Without a timestamp from the operating system the time of the read is used.
                        let delay = Tenths((delay.unwrap_or_default().as_micros() / 100) as i64);
                        let mut state = self.trace.state();
                        state.last_received_at = self.clock.now() - delay;
                        let received_at = state.last_received_at;
                        if let Some(incoming) = &mut state.incoming {
                            incoming.on_received(&bytes[..len], received_at);
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
        self.poll_write_vectored(cx, &[IoSlice::new(bytes)])
    }

    /// Without vectored writes hyper would copy each body behind its head before it is sent.
    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>, cx: &mut Context<'_>, slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            if self.stream.poll_write_ready(cx)?.is_pending() {
                let now = self.clock.now();
                self.trace.state().write_blocked_since.get_or_insert(now);
                return Poll::Pending;
            }
            match self.stream.try_write_vectored(slices) {
                Ok(len) => {
                    let mut state = self.trace.state();
                    state.write_blocked_since = None;
                    state.progress.on_written_vectored(slices, len);
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

    /// A connection that breaks before the last byte of a message proves that it never ran. So the message
    /// must not count as written a byte too early, however the bytes are split.
    #[rstest]
    #[case::without_a_body("GET / HTTP/1.1\r\nhost: a\r\n\r\n", 0)]
    #[case::with_a_body("POST / HTTP/1.1\r\ncontent-length: 6\r\n\r\n\r\n\r\nab", 6)]
    fn a_message_is_complete_only_with_its_last_byte(#[case] message: &str, #[case] body: usize) {
        for cut in 0..=message.len() {
            let mut progress = WriteProgress::of_message(body);
            progress.on_written(&message.as_bytes()[..cut]);
            assert_eq!(progress.is_complete(), cut == message.len(), "split at {cut}");
            progress.on_written(&message.as_bytes()[cut..]);
            assert!(progress.is_complete());
            // One write may take a part of several slices.
            for len in 0..=message.len() {
                let (first, second) = message.as_bytes().split_at(cut);
                let mut progress = WriteProgress::of_message(body);
                progress.on_written_vectored(&[IoSlice::new(first), IoSlice::new(second)], len);
                assert_eq!(progress.is_complete(), len == message.len(), "split at {cut}, {len} written");
            }
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
    fn a_second_length_is_found_however_the_bytes_are_split(
        #[case] lengths: &str, #[case] body: &str, #[case] ambiguous: bool,
    ) {
        let one = format!("POST /a HTTP/1.1\r\nHost: a\r\n{lengths}\r\n{body}");
        let both = format!("GET / HTTP/1.1\r\nContent-Length: 0\r\n\r\n{one}");
        for cut in 0..=both.len() {
            let mut incoming = IncomingMessages::default();
            incoming.on_received(&both.as_bytes()[..cut], Tenths(1));
            incoming.on_received(&both.as_bytes()[cut..], Tenths(2));
            assert_eq!(incoming.length_fields > 1, ambiguous, "split at {cut}");
            assert_eq!(incoming.begun_at.is_some(), ambiguous, "split at {cut}");
        }
    }

    #[rstest]
    #[tokio::test]
    async fn bytes_carry_the_time_of_their_arrival_not_of_their_reading() {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let to = listener.local_addr().unwrap();
        let (trace, clock) = (ConnectionTrace::default(), Clock::start());
        let mut connection = TracedConnection::connect(to, trace.clone(), clock).await.unwrap();
        let (peer, _) = listener.accept().await.unwrap();
        // The kernel begins to report timestamps a moment after the option is set.
        loop {
            peer.writable().await.unwrap();
            peer.try_write(b"early").unwrap();
            connection.stream.readable().await.unwrap();
            let read =
                connection.stream.try_io(Interest::READABLE, || receive(&connection.stream, &mut [0; 8]));
            if read.is_ok_and(|(_, delay)| delay.is_some()) {
                break;
            }
        }
        assert_eq!(peer.try_write(b"late").unwrap(), 4);
        let sent = clock.now();
        // The runtime has this thread only, so nothing is read during the sleep.
        std::thread::sleep(Duration::from_millis(60));
        let mut into = [0; 8];
        let mut buffer = hyper::rt::ReadBuf::new(&mut into);
        let read = |cx: &mut Context| Pin::new(&mut connection).poll_read(cx, buffer.unfilled());
        std::future::poll_fn(read).await.unwrap();
        let delay = trace.last_received_at() - sent;
        assert!(delay.0.abs() < 400, "received {} tenths of a ms after it was sent", delay.0);
    }
}
