//! The HTTP frontend: accepts client connections and turns each HTTP request into an invocation for the
//! reducer.
//!
//! It runs axum on connections that this module accepts itself, because it has to keep accepting while the
//! program shuts down. It owns the client connections and the answers that are still pending on them. Once it
//! has reported an invocation to the reducer, only the reducer decides the answer.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use anyhow::{Context, Result};
use axum::extract::Extension;
use axum::middleware;
use axum::routing::get;
use axum::Router;
use hyper::server::conn::http1;
use hyper_util::service::TowerToHyperService;
use nix::sys::socket::{setsockopt, sockopt};
use stagepond::host::Tenths;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, oneshot, Notify};

use crate::client_connections::{ClientConnections, CloseSignals, ConnectionCounts, ConnectionId};
use crate::connection::{ConnectionTrace, PeerState, TracedConnection};
use crate::memory::{longest_request_wait, MemoryBudget, MemoryUse, Reservation};
use crate::message_progress::MAX_HEAD_BYTES;
use crate::messages::*;
use crate::request_head::Operations;
use crate::stream::RateLimitedLog;

mod handlers;

/// Length of the queue of connections that wait to be accepted; the operating system may cap it lower.
const LISTEN_BACKLOG: u32 = 1024;
/// Pause after a failed accept, which mostly means that no file descriptor is free. The next connection that
/// closes frees one; without the pause the accept loop would spin until then.
const ACCEPT_RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(5);
/// Answer to a request that has not been received in full and is not waited for any longer.
const REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
/// Longest wait at the connection limit until the connections are looked at again.
const ROOM_CHECK_INTERVAL: Tenths = Tenths::ms(50);
/// Interval between two checks of all connections for timeouts.
const SWEEP_INTERVAL: Tenths = Tenths::ms(200);
/// Interval at which a request that waits for memory asks others to make room.
const MEMORY_CHECK_INTERVAL: Tenths = Tenths::ms(50);

/// The HTTP server for clients.
pub struct Frontend {
    operations: Operations,
    clock: Clock,
    inputs: mpsc::UnboundedSender<Input>,
    ready: AtomicBool,
    leaving: AtomicBool,
    listener_closed: AtomicBool,
    next_number: AtomicU64,
    pending_answers: Mutex<HashMap<InvocationNumber, PendingAnswer>>,
    connections: Mutex<ClientConnections>,
    memory: MemoryBudget,
    /// Notified when a connection has closed or become idle.
    connections_changed: Notify,
    close_listener: Notify,
    warnings: RateLimitedLog,
}

/// An invocation that waits for its answer.
struct PendingAnswer {
    sender: oneshot::Sender<FinalAnswer>,
    /// The connection of its client.
    trace: ConnectionTrace,
}

/// What the request handlers know of the connection that a request came on.
#[derive(Clone)]
struct ConnectionHandle {
    id: ConnectionId,
    trace: ConnectionTrace,
}

/// Why a client's connection ended, as the log tells it.
#[derive(Clone, Copy, Debug)]
enum ConnectionEnd {
    /// After an answer that closes it, or by the client between two requests.
    Finished,
    /// It could not be read or written, or what came was no HTTP.
    Broken,
    /// The client ended it while its invocation was open.
    ClientLeft,
    /// The client took too long to send a message, or to take an answer.
    TooSlow,
    /// With a refusal, to make room or because the process ends.
    Refused,
    /// It had been idle, and room was needed or the process ends.
    Idle,
}

impl Frontend {
    /// Creates a frontend that does not listen yet. It holds at most `max_connections` client connections, and
    /// requests within the budget `memory`.
    pub fn new(
        operations: Operations, max_connections: usize, memory: MemoryBudget, clock: Clock,
        inputs: mpsc::UnboundedSender<Input>,
    ) -> Arc<Frontend> {
        Arc::new(Frontend {
            operations,
            clock,
            inputs,
            ready: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            listener_closed: AtomicBool::new(false),
            next_number: AtomicU64::new(1),
            pending_answers: Mutex::default(),
            connections: Mutex::new(ClientConnections::new(max_connections)),
            memory,
            connections_changed: Notify::new(),
            close_listener: Notify::new(),
            warnings: RateLimitedLog::default(),
        })
    }

    fn connections(&self) -> MutexGuard<'_, ClientConnections> {
        self.connections.lock().expect("no holder of the lock panics")
    }

    fn pending_answers(&self) -> MutexGuard<'_, HashMap<InvocationNumber, PendingAnswer>> {
        self.pending_answers.lock().expect("no holder of the lock panics")
    }

    /// Answers the invocation with this number. Does nothing if its client has disconnected.
    pub fn send_answer(&self, number: InvocationNumber, answer: FinalAnswer) {
        let pending = self.pending_answers().remove(&number);
        // No sender is left if the client has gone; `DisconnectGuard` reports that to the reducer.
        if let Some(pending) = pending {
            let _ = pending.sender.send(answer);
        }
    }

    /// Whether the client of an invocation still waits for its answer, so that a dispatch may begin. If not, the
    /// reducer is told why.
    pub fn is_client_present(&self, number: InvocationNumber) -> bool {
        if number.is_internal() {
            return true;
        }
        // Without an entry the end of the connection was reported before.
        let state = self.pending_answers().get(&number).map(|pending| pending.trace.peer_state());
        match state {
            Some(PeerState::Present) => return true,
            Some(PeerState::Hidden) => drop(self.inputs.send(Input::ClientHidden(number))),
            Some(PeerState::Gone) => {
                self.pending_answers().remove(&number);
                let _ = self.inputs.send(Input::ClientDisconnected(number));
            }
            None => {}
        }
        false
    }

    /// Sets whether `/ready` answers 200 or 503.
    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Relaxed);
    }

    /// Starts the shutdown: from now on every answer closes its connection. Connections without an answer stay
    /// open, because their clients go on using them, and the listener stays open for new ones.
    pub fn begin_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
        #[cfg(feature = "planted")]
        if crate::planted::is_planted(crate::planted::Fault::CloseAtOnce) {
            self.connections().close_all();
        }
    }

    /// Closes the connections on which no request is in progress or has arrived.
    pub fn close_idle_connections(&self) {
        self.connections().close_idle();
    }

    /// Refuses the requests that have been received in part; their last bytes may come too late to be served.
    pub fn refuse_unfinished_requests(&self) {
        self.connections().refuse_unfinished();
    }

    /// Accepts the connections that already wait in the queue, as places for them come free, then closes the
    /// listener and reports [`Input::ListenerClosed`].
    pub fn close_listener(&self) {
        self.close_listener.notify_one();
    }

    /// Binds the listener and returns its address. Accepts until [`Frontend::close_listener`] is called.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub fn listen(self: &Arc<Frontend>, at: SocketAddr) -> Result<SocketAddr> {
        let bind = || -> std::io::Result<TcpListener> {
            let socket = if at.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
            // A successor starts on the same address while connections of this process are still closing.
            socket.set_reuseaddr(true)?;
            // Accepted connections inherit the option, so their first bytes have receive timestamps too.
            let _ = setsockopt(&socket, sockopt::ReceiveTimestampns, &true);
            socket.bind(at)?;
            socket.listen(LISTEN_BACKLOG)
        };
        let listener = bind().with_context(|| format!("listen: {at}"))?;
        let at = listener.local_addr()?;
        tokio::spawn(self.clone().accept_connections(listener));
        tokio::spawn(self.clone().sweep_connections());
        Ok(at)
    }

    async fn accept_connections(self: Arc<Frontend>, listener: TcpListener) {
        // Each request but a readiness check is an invocation or rejected as one, whatever its path, so that no
        // answer is made by the router itself.
        let router = Router::new()
            .route("/ready", get(handlers::ready).fallback(handlers::reject_ready_method))
            .fallback(handlers::invoke)
            .layer(middleware::from_fn_with_state(self.clone(), handlers::track_answer))
            .with_state(self.clone());
        loop {
            self.wait_for_room().await;
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = self.close_listener.notified() => break,
            };
            match accepted {
                Ok((stream, _)) => {
                    self.clone().serve_connection(stream, router.clone());
                }
                Err(error) => {
                    self.warnings.warn(format_args!("accept: {error}"));
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
        // Connections that the kernel has queued are accepted with direct system calls, because the runtime
        // may not have been notified of them yet. More than the queue holds must have come after the end.
        let listener = listener.into_std().expect("a listener that the runtime registered");
        for _ in 0..=LISTEN_BACKLOG {
            self.wait_for_room().await;
            let accepted = listener.accept().and_then(|(stream, _)| {
                stream.set_nonblocking(true)?;
                TcpStream::from_std(stream)
            });
            match accepted {
                Ok(stream) => {
                    self.clone().serve_connection(stream, router.clone());
                }
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => break,
                Err(error) => {
                    self.warnings.warn(format_args!("accept: {error}"));
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
        drop(listener);
        self.listener_closed.store(true, Ordering::Relaxed);
        let _ = self.inputs.send(Input::ListenerClosed);
        self.report_if_empty();
    }

    /// Whether another connection may be accepted. At the limit it asks one connection to end.
    fn try_make_room(&self) -> bool {
        let connections = self.connections();
        if connections.has_room() {
            return true;
        }
        let now = self.clock.now();
        connections.make_room(now);
        self.warnings.warn_with(|| {
            let ConnectionCounts { all, used, open, evictable, unanswered } = connections.counts(now);
            format!(
                "clients: {all} is the bound; {used} have sent an invocation, {open} have one open, \
                 {evictable} may make room, {unanswered} can't be refused"
            )
        });
        false
    }

    async fn wait_for_room(&self) {
        while !self.try_make_room() {
            // The timeout is needed because a connection can become evictable by its age alone.
            let changed = self.connections_changed.notified();
            let _ = tokio::time::timeout(to_std_duration(ROOM_CHECK_INTERVAL), changed).await;
        }
    }

    /// Checks all connections for timeouts at regular intervals.
    async fn sweep_connections(self: Arc<Frontend>) {
        let mut last_sweep = self.clock.now();
        loop {
            tokio::time::sleep(to_std_duration(SWEEP_INTERVAL)).await;
            let now = self.clock.now();
            // After this process was paused, bytes that arrived in time must be read first.
            let was_paused = now > last_sweep + SWEEP_INTERVAL + SWEEP_INTERVAL;
            last_sweep = now;
            if was_paused {
                continue;
            }
            self.connections().sweep(now);
        }
    }

    fn serve_connection(self: Arc<Frontend>, stream: TcpStream, router: Router) {
        let signals = Arc::new(CloseSignals::default());
        let trace = ConnectionTrace::for_incoming_messages();
        let id = self.connections().add(self.clock.now(), trace.clone(), signals.clone());
        tokio::spawn(async move {
            let end = self.serve_until_end(stream, ConnectionHandle { id, trace }, router, &signals).await;
            tracing::debug!(event = "closed", connection = id.0, reason = ?end, "client");
            self.connections().remove(id);
            self.connections_changed.notify_one();
            self.report_if_empty();
        });
    }

    /// Serves a connection until either side ends it.
    async fn serve_until_end(
        &self, stream: TcpStream, connection: ConnectionHandle, router: Router, signals: &CloseSignals,
    ) -> ConnectionEnd {
        let ConnectionHandle { id, trace } = connection.clone();
        let Ok(stream) = TracedConnection::new(stream, trace.clone(), self.clock) else {
            return ConnectionEnd::Broken;
        };
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES);
        let service = TowerToHyperService::new(router.layer(Extension(connection)));
        let serving = builder.serve_connection(stream, service);
        let peer_end = trace.wait_for_peer_end();
        tokio::pin!(serving, peer_end);
        let mut peer_has_ended = false;
        loop {
            tokio::select! {
                // Bytes that have arrived are read before the connection is ended for not sending any.
                biased;
                // The handlers report what the end means for an open invocation.
                served = &mut serving => {
                    return if served.is_ok() { ConnectionEnd::Finished } else { ConnectionEnd::Broken };
                }
                () = &mut peer_end, if !peer_has_ended => {
                    // Requests that are read from now on are refused by the handler.
                    peer_has_ended = true;
                    if self.connections().has_open_invocation(id) {
                        return ConnectionEnd::ClientLeft;
                    }
                }
                () = signals.immediate.notified() => return ConnectionEnd::TooSlow,
                () = signals.refuse.notified() => if self.refuse(id, &trace) {
                    return ConnectionEnd::Refused;
                },
                // The connection is dropped right after the look at its socket.
                () = signals.if_idle.notified() => if self.connections().is_idle(id) {
                    return ConnectionEnd::Idle;
                },
            }
        }
    }

    /// Answers the request that is on its way with a refusal. Returns whether the connection is to end.
    fn refuse(&self, id: ConnectionId, trace: &ConnectionTrace) -> bool {
        let refusable = self.connections().may_be_refused(id);
        tracing::debug!(event = "asked_to_end", connection = id.0, ends = refusable, "client");
        if refusable {
            // If the client has gone, nobody is left to be refused.
            let _ = trace.try_write(REFUSAL);
        }
        refusable
    }

    /// Reports that no client is connected, once no other one can come.
    fn report_if_empty(&self) {
        let empty = self.connections().is_empty();
        if empty && self.listener_closed.load(Ordering::Relaxed) {
            let _ = self.inputs.send(Input::AllClientsDisconnected);
        }
    }

    /// Waits for memory for a request, and asks clients that send slowly to make room. `None` if it does not come
    /// in a part of the client's time limit.
    async fn reserve_memory(&self, bytes: usize, limit: Tenths) -> Option<Reservation> {
        let wait_ends_at = self.clock.now() + longest_request_wait(limit);
        let reserving = self.memory.reserve(bytes, MemoryUse::Request);
        tokio::pin!(reserving);
        loop {
            let check_at = (self.clock.now() + MEMORY_CHECK_INTERVAL).min(wait_ends_at);
            let check_at = self.clock.to_instant(check_at).into();
            if let Ok(reservation) = tokio::time::timeout_at(check_at, &mut reserving).await {
                return Some(reservation);
            }
            if self.clock.now() >= wait_ends_at {
                self.warnings
                    .warn(format_args!("memory: a request of {bytes} bytes refused, no room in time"));
                return None;
            }
            self.connections().refuse_slowest_body(self.clock.now());
        }
    }

    /// Whether the next answer on this connection closes it.
    fn closes_after_answer(&self, id: ConnectionId) -> bool {
        self.leaving.load(Ordering::Relaxed) || self.connections().closes_after_answer(id)
    }
}
