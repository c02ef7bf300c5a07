//! A TCP connection that tells what passed over it: when bytes came, whether the current message has been
//! written whole, whether it still stands. It owns the descriptor, so that another part can cut it at once;
//! it must never change, delay or understand what passes, beyond finding where a message ends.

use std::io;
use std::net::{Shutdown, SocketAddr};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{ready, Context, Poll};

use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::client::legacy::connect::{Connected, Connection};
use stagepond::host::Tenths;
use tokio::net::TcpStream;

use crate::messages::Clock;

const READ_AT_ONCE: usize = 16 << 10;

/// How far the message being written has gone, found in the bytes that the system took.
#[derive(Clone, Copy, Debug, Default)]
struct Progress {
    head_end: usize,
    body_left: usize,
}

const HEAD_END: &[u8; 4] = b"\r\n\r\n";

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
    progress: Progress,
    came_at: Tenths,
}

/// What is known of one connection at a time, for those who hold no end of it.
#[derive(Clone, Default)]
pub struct Trace(Arc<Mutex<State>>);

impl Trace {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("never held while panicking")
    }

    /// A message with a body of this length is written next.
    pub fn begins(&self, body: usize) {
        self.state().progress = Progress { head_end: 0, body_left: body };
    }

    /// Whether its last byte is with the system; only then can the other end have it.
    pub fn whole(&self) -> bool {
        self.state().progress.whole()
    }

    /// When bytes last came.
    pub fn came_at(&self) -> Tenths {
        self.state().came_at
    }

    pub fn stands(&self) -> bool {
        self.state().stream.is_some()
    }

    /// Ends the sending at once, in this very call, and bars any connection still to come.
    pub fn cut(&self) {
        let mut state = self.state();
        state.cut = true;
        if let Some(stream) = &state.stream {
            // Fails only where the other end has ended it already.
            let _ = socket2::SockRef::from(&**stream).shutdown(Shutdown::Both);
        }
    }
}

pub struct Wire {
    stream: Arc<TcpStream>,
    trace: Trace,
    clock: Clock,
}

impl Wire {
    pub fn new(stream: TcpStream, trace: Trace, clock: Clock) -> io::Result<Wire> {
        stream.set_nodelay(true)?;
        let stream = Arc::new(stream);
        let mut state = trace.state();
        if state.cut {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        state.stream = Some(stream.clone());
        drop(state);
        Ok(Wire { stream, trace, clock })
    }

    pub async fn connect(to: SocketAddr, trace: Trace, clock: Clock) -> io::Result<Wire> {
        Wire::new(TcpStream::connect(to).await?, trace, clock)
    }
}

impl Drop for Wire {
    fn drop(&mut self) {
        self.trace.state().stream = None;
    }
}

impl Connection for Wire {
    fn connected(&self) -> Connected {
        Connected::new()
    }
}

impl Read for Wire {
    fn poll_read(
        self: Pin<&mut Self>, cx: &mut Context<'_>, mut into: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut bytes = [0; READ_AT_ONCE];
        let most = into.remaining().min(READ_AT_ONCE);
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read(&mut bytes[..most]) {
                Ok(len) => {
                    if len > 0 {
                        self.trace.state().came_at = self.clock.now();
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

impl Write for Wire {
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
