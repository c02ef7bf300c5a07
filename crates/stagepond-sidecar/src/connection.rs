//! TCP connections that record what passes over them: when bytes were received, whether the current outgoing
//! message has been written in full, and whether the connection is still open.
//!
//! This module owns the socket, so that another part of the program can shut the connection down at once. It
//! never changes or delays the bytes.

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

use crate::message_progress::{IncomingMessages, WriteProgress};
use crate::messages::Clock;

/// The most bytes that one read takes from the socket.
const READ_BUFFER_BYTES: usize = 16 << 10;
/// Longest time that received bytes can have waited to be read. They wait while this process is paused; a
/// longer time means that the wall clock was stepped.
const MAX_READ_DELAY: Duration = Duration::from_secs(60);

/// With so many bytes unread in the socket, the end of the connection may not have reached this machine: the
/// receive window may be full before it.
const MAX_UNREAD_BYTES: usize = 32 << 10;

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
    let peek = |into: &mut [u8]| recv(stream.as_raw_fd(), into, MsgFlags::MSG_PEEK);
    match peek(&mut [0]) {
        // The system had nothing to say, or not the means to say it.
        Err(Errno::EAGAIN | Errno::EINTR | Errno::ENOMEM | Errno::ENOBUFS) => PeerState::Present,
        Ok(0) | Err(_) => PeerState::Gone,
        Ok(_) if has_end_behind_unread_bytes(stream) => PeerState::Gone,
        Ok(_) => match peek(&mut [0; MAX_UNREAD_BYTES]) {
            Ok(MAX_UNREAD_BYTES) => PeerState::Hidden,
            _ => PeerState::Present,
        },
    }
}

/// Whether the connection has been closed or reset, though there are bytes to read.
fn has_end_behind_unread_bytes(stream: &TcpStream) -> bool {
    let mut polled = [PollFd::new(stream, PollFlags::RDHUP)];
    let ended = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    poll(&mut polled, Some(&Timespec::default())).is_ok() && polled[0].revents().intersects(ended)
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
        self.state().progress.is_begun()
    }

    /// Whether the operating system has taken the last byte of the current message. Before that the other end
    /// can't have received it in full.
    pub fn is_message_written(&self) -> bool {
        self.state().progress.is_complete()
    }

    /// Whether the head received last gives the length of its body more than once.
    pub fn has_ambiguous_length(&self) -> bool {
        self.state().incoming.as_ref().is_some_and(|incoming| incoming.has_ambiguous_length())
    }

    /// When the first byte of the incoming message in progress was received; `None` between two messages.
    pub fn message_begun_at(&self) -> Option<Tenths> {
        self.state().incoming.as_ref().and_then(|incoming| incoming.begun_at())
    }

    /// Whether every request received in full is among the `answered` ones.
    pub fn is_all_answered(&self, answered: u64) -> bool {
        self.state().incoming.as_ref().is_some_and(|incoming| incoming.completed() == answered)
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
