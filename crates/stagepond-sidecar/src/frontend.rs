//! The HTTP frontend: accepts client connections and turns each HTTP request into an invocation for the
//! reducer.
//!
//! It runs axum on connections that this module accepts itself, because it has to keep accepting while the
//! program shuts down. It owns the client connections and the answers that are still pending on them. Once it
//! has reported an invocation to the reducer, only the reducer decides the answer.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use anyhow::{Context, Result};
use axum::body::Body;
use axum::extract::{Extension, Request, State as Shared};
use axum::response::{IntoResponse, Response};
use axum::routing::{any, get};
use axum::Router;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::header::{self, HeaderName, HeaderValue};
use hyper::http::uri::PathAndQuery;
use hyper::server::conn::http1;
use hyper::StatusCode;
use hyper_util::service::TowerToHyperService;
use nix::sys::socket::{setsockopt, sockopt};
use stagepond::host::Tenths;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, oneshot, Notify};

use crate::connection::{ConnectionTrace, TracedConnection, MAX_HEAD_BYTES};
use crate::messages::*;
use crate::request_head::{bad_request, check_head, Operations};
use crate::stream::RateLimitedLog;

/// Length of the queue of connections that wait to be accepted; the operating system may cap it lower.
const LISTEN_BACKLOG: u32 = 1024;
/// Pause after a failed accept, which mostly means that no file descriptor is free. The next connection that
/// closes frees one; without the pause the accept loop would spin until then.
const ACCEPT_RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(5);
/// How long a connection that is being closed may take to finish sending an invocation that it has begun.
const CLOSING_READ_TIMEOUT: Tenths = Tenths::ms(500);
/// How long a client may take to send one whole message. An invocation is 64 KiB at most and comes from the
/// same data centre; a connection that takes longer, or that was opened and sent nothing, holds a descriptor
/// that others need.
const MESSAGE_READ_TIMEOUT: Tenths = Tenths::ms(2300);
/// Interval between two checks of all connections for timeouts.
const SWEEP_INTERVAL: Tenths = Tenths::ms(200);
/// A client that keeps its connection may rely on it for this long between two invocations.
const MIN_KEEP_ALIVE: Tenths = Tenths::ms(2000);
/// Age from which a connection without an invocation may be evicted at the limit. Clients send as soon as
/// they are connected; without this grace period new connections would evict each other in a burst.
const NEW_CONNECTION_GRACE: Tenths = Tenths::ms(50);
/// Share of the connection limit above which idle connections are closed before their places are needed.
const HIGH_LOAD_SHARE: f64 = 0.75;
/// Share of the connection limit above which every answer closes its connection. A client that has just been
/// answered may stay idle for 2 s, and places held for that long would admit fewer clients than arrive.
const NEAR_LIMIT_SHARE: f64 = 0.9;
/// The most memory that one connection holds: its read buffer and one body.
pub const MAX_CONNECTION_BYTES: usize = MAX_HEAD_BYTES + MAX_BODY_BYTES;

const LOAD_HEADER: &str = "x-server-load";
const CHECK_FAILED_HEADER: &str = "x-check-failed";

/// Headers that concern a single connection and are not forwarded in either direction (RFC 9110, section
/// 7.6.1).
const HOP_BY_HOP_HEADERS: [HeaderName; 7] = [
    header::CONNECTION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::CONTENT_LENGTH,
    HeaderName::from_static("keep-alive"),
];

/// State of one client connection.
struct ClientConnection {
    opened_at: Tenths,
    /// Since when the connection has been idle; `None` while one of its invocations is open.
    idle_since: Option<Tenths>,
    /// Number of complete invocations received on this connection.
    invocations: u64,
    /// Whether the client has asked for `/ready`. Such a connection is not cut for being silent, but at the
    /// limit it does not keep other clients out either.
    asked_ready: bool,
    closing: bool,
    trace: ConnectionTrace,
    signals: Arc<CloseSignals>,
}

/// How the task that serves a connection is to end it.
#[derive(Default)]
struct CloseSignals {
    /// Close once the message in progress has been answered.
    graceful: Notify,
    /// Close at once.
    immediate: Notify,
}

impl ClientConnection {
    /// When the time limit for sending a whole message ends. A connection is never cut while its invocation is open,
    /// nor between two messages once it has sent one.
    fn read_deadline(&self) -> Tenths {
        let Some(idle_since) = self.idle_since else { return Tenths::NEVER };
        let has_been_used = self.invocations > 0 || self.asked_ready;
        let message_deadline = match self.trace.message_begun_at() {
            Some(begun_at) if has_been_used => begun_at + MESSAGE_READ_TIMEOUT,
            None if has_been_used => Tenths::NEVER,
            _ => self.opened_at + MESSAGE_READ_TIMEOUT,
        };
        let closing_deadline = idle_since.max(self.trace.last_received_at()) + CLOSING_READ_TIMEOUT;
        if self.closing {
            message_deadline.min(closing_deadline)
        } else {
            message_deadline
        }
    }

    fn close(&mut self) {
        self.closing = true;
        self.signals.graceful.notify_one();
    }
}

/// The HTTP server for clients.
pub struct Frontend {
    operations: Operations,
    clock: Clock,
    inputs: mpsc::UnboundedSender<Input>,
    ready: AtomicBool,
    leaving: AtomicBool,
    next_number: AtomicU64,
    pending_answers: Mutex<HashMap<InvocationNumber, oneshot::Sender<FinalAnswer>>>,
    connections: Mutex<BTreeMap<u64, ClientConnection>>,
    max_connections: usize,
    /// Notified when a connection has closed or become idle.
    connections_changed: Notify,
    close_listener: Notify,
    warnings: RateLimitedLog,
}

/// What the request handlers know of the connection that a request came on.
#[derive(Clone)]
struct ConnectionHandle {
    id: u64,
    trace: ConnectionTrace,
}

impl Frontend {
    /// Creates a frontend that does not listen yet and holds at most `max_connections` client connections.
    pub fn new(
        operations: Operations, max_connections: usize, clock: Clock, inputs: mpsc::UnboundedSender<Input>,
    ) -> Arc<Frontend> {
        Arc::new(Frontend {
            operations,
            clock,
            inputs,
            ready: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            next_number: AtomicU64::new(1),
            pending_answers: Mutex::default(),
            connections: Mutex::default(),
            max_connections,
            connections_changed: Notify::new(),
            close_listener: Notify::new(),
            warnings: RateLimitedLog::default(),
        })
    }

    fn connections(&self) -> MutexGuard<'_, BTreeMap<u64, ClientConnection>> {
        self.connections.lock().expect("no holder of the lock panics")
    }

    fn pending_answers(&self) -> MutexGuard<'_, HashMap<InvocationNumber, oneshot::Sender<FinalAnswer>>> {
        self.pending_answers.lock().expect("no holder of the lock panics")
    }

    /// Answers the invocation with this number. Does nothing if its client has disconnected.
    pub fn send_answer(&self, number: InvocationNumber, answer: FinalAnswer) {
        let pending = self.pending_answers().remove(&number);
        // No sender is left if the client has gone; `DisconnectGuard` reports that to the reducer.
        if let Some(pending) = pending {
            let _ = pending.send(answer);
        }
    }

    /// Sets whether `/ready` answers 200 or 503.
    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Relaxed);
    }

    /// Starts the shutdown: closes idle connections at once and the others after their answers. The listener
    /// stays open for clients whose request crosses the close of their connection.
    pub fn begin_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
        self.close_connections();
    }

    /// Closes each connection as soon as its message in progress has been answered.
    pub fn close_connections(&self) {
        self.connections().values_mut().for_each(ClientConnection::close);
    }

    /// Accepts the connections that already wait in the queue, then closes the listener and reports
    /// [`Input::ListenerClosed`].
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
        let router = Router::new()
            .route("/ready", get(ready))
            .route("/{operation}", any(invoke))
            .route("/{operation}/{*rest}", any(invoke))
            .with_state(self.clone());
        let mut connection_id = 0;
        loop {
            self.wait_for_room().await;
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = self.close_listener.notified() => break,
            };
            match accepted {
                Ok((stream, _)) => {
                    connection_id += 1;
                    self.clone().serve_connection(connection_id, stream, router.clone());
                }
                Err(error) => {
                    self.warnings.warn(format_args!("accept: {error}"));
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
        // Connections that the kernel has queued are accepted with direct system calls, because the runtime
        // may not have been notified of them yet.
        let listener = listener.into_std().expect("a listener that the runtime registered");
        loop {
            self.wait_for_room().await;
            let accepted = listener.accept().and_then(|(stream, _)| {
                stream.set_nonblocking(true)?;
                TcpStream::from_std(stream)
            });
            match accepted {
                Ok(stream) => {
                    connection_id += 1;
                    self.clone().serve_connection(connection_id, stream, router.clone());
                }
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => break,
                Err(error) => {
                    self.warnings.warn(format_args!("accept: {error}"));
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
        drop(listener);
        let _ = self.inputs.send(Input::ListenerClosed);
        self.report_if_empty();
    }

    /// Whether another connection may be accepted. At the limit it asks one connection to end: the oldest
    /// that has never sent an invocation, because any process may have opened it, or else the one that has been
    /// idle longest. The connections in the accept queue may have sent their invocations already.
    fn try_make_room(&self) -> bool {
        let mut connections = self.connections();
        if connections.len() < self.max_connections {
            return true;
        }
        let now = self.clock.now();
        let unused = |c: &&ClientConnection| {
            c.invocations == 0 && c.idle_since.is_some() && now >= c.opened_at + NEW_CONNECTION_GRACE
        };
        let oldest_unused = connections.values().filter(unused).min_by_key(|c| c.opened_at);
        match oldest_unused {
            Some(connection) => connection.signals.immediate.notify_one(),
            None => close_idle(&mut connections, 1, now),
        }
        let open = connections.values().filter(|c| c.idle_since.is_none()).count();
        let used = connections.values().filter(|c| c.invocations > 0).count();
        let all = connections.len();
        self.warnings.warn(format_args!(
            "clients: {all} is the bound; {used} have sent an invocation, {open} have one open"
        ));
        false
    }

    async fn wait_for_room(&self) {
        while !self.try_make_room() {
            // The timeout is needed because a connection can become evictable by its age alone.
            let _ = tokio::time::timeout(
                to_std_duration(NEW_CONNECTION_GRACE),
                self.connections_changed.notified(),
            )
            .await;
        }
    }

    /// Cuts connections that have not sent a whole message in time, and closes idle ones above
    /// [`HIGH_LOAD_SHARE`].
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
            let mut connections = self.connections();
            connections
                .values()
                .filter(|c| c.read_deadline() <= now)
                .for_each(|c| c.signals.immediate.notify_one());
            let excess = connections.len().saturating_sub(self.high_load_threshold());
            close_idle(&mut connections, excess, now);
        }
    }

    fn serve_connection(self: Arc<Frontend>, id: u64, stream: TcpStream, router: Router) {
        let signals = Arc::new(CloseSignals::default());
        let now = self.clock.now();
        let trace = ConnectionTrace::for_incoming_messages();
        let connection = ClientConnection {
            opened_at: now,
            idle_since: Some(now),
            invocations: 0,
            asked_ready: false,
            closing: false,
            trace: trace.clone(),
            signals: signals.clone(),
        };
        self.connections().insert(id, connection);
        tokio::spawn(async move {
            if let Ok(stream) = TracedConnection::new(stream, trace.clone(), self.clock) {
                let router = router.layer(Extension(ConnectionHandle { id, trace }));
                let mut builder = http1::Builder::new();
                // A connection accepted during the shutdown may still carry the one invocation it was opened
                // for.
                builder.keep_alive(!self.leaving.load(Ordering::Relaxed)).max_buf_size(MAX_HEAD_BYTES);
                let serving = builder.serve_connection(stream, TowerToHyperService::new(router));
                tokio::pin!(serving);
                loop {
                    tokio::select! {
                        // Bytes that have arrived are read before the connection is ended for not sending
                        // any.
                        biased;
                        // The result is ignored: handlers report what the end means for an open invocation.
                        _ = &mut serving => break,
                        () = signals.graceful.notified() => serving.as_mut().graceful_shutdown(),
                        () = signals.immediate.notified() => break,
                    }
                }
            }
            self.connections().remove(&id);
            self.connections_changed.notify_one();
            self.report_if_empty();
        });
    }

    fn report_if_empty(&self) {
        let empty = self.connections().is_empty();
        if empty && self.leaving.load(Ordering::Relaxed) {
            let _ = self.inputs.send(Input::AllClientsDisconnected);
        }
    }

    fn high_load_threshold(&self) -> usize {
        (self.max_connections as f64 * HIGH_LOAD_SHARE) as usize
    }

    /// Whether the next answer on this connection closes it. Above [`HIGH_LOAD_SHARE`] that holds for clients
    /// that have sent a single invocation, since most of those never send another; above [`NEAR_LIMIT_SHARE`]
    /// for all.
    fn closes_after_answer(&self, connection_id: u64) -> bool {
        let connections = self.connections();
        let near_limit = connections.len() as f64 > self.max_connections as f64 * NEAR_LIMIT_SHARE;
        near_limit
            || connections.len() > self.high_load_threshold()
                && connections.get(&connection_id).is_some_and(|c| c.invocations < 2)
    }

    /// Marks a connection as idle, or as having received another invocation.
    fn set_idle(&self, connection_id: u64, idle: bool) {
        let since = idle.then(|| self.clock.now());
        if let Some(connection) = self.connections().get_mut(&connection_id) {
            connection.idle_since = since;
            connection.invocations += u64::from(!idle);
        }
        if idle {
            self.connections_changed.notify_one();
        }
    }
}

/// Closes up to `max_closed` connections that have been idle for at least [`MIN_KEEP_ALIVE`], longest idle
/// first.
fn close_idle(connections: &mut BTreeMap<u64, ClientConnection>, max_closed: usize, now: Tenths) {
    if max_closed == 0 {
        return;
    }
    let is_closable = |c: &&mut ClientConnection| {
        (c.invocations > 0 || c.asked_ready)
            && !c.closing
            && c.idle_since.is_some_and(|since| now >= since + MIN_KEEP_ALIVE)
    };
    let mut idle: Vec<&mut ClientConnection> = connections.values_mut().filter(is_closable).collect();
    idle.sort_by_key(|c| c.idle_since);
    idle.into_iter().take(max_closed).for_each(ClientConnection::close);
}

/// Answers `GET /ready`: 200 while the sidecar takes invocations, otherwise 503.
async fn ready(
    Shared(frontend): Shared<Arc<Frontend>>, Extension(connection): Extension<ConnectionHandle>,
) -> Response {
    let now = frontend.clock.now();
    if let Some(client) = frontend.connections().get_mut(&connection.id) {
        client.asked_ready = true;
        client.idle_since = Some(now);
    }
    let status =
        if frontend.ready.load(Ordering::Relaxed) { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    if frontend.closes_after_answer(connection.id) {
        close_after(status.into_response())
    } else {
        status.into_response()
    }
}

/// Held while an invocation waits for its answer. If it is dropped before the answer, as when the client
/// disconnects, it reports [`Input::ClientDisconnected`] to the reducer.
struct DisconnectGuard {
    frontend: Arc<Frontend>,
    number: InvocationNumber,
    connection_id: u64,
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        self.frontend.set_idle(self.connection_id, true);
        if self.frontend.pending_answers().remove(&self.number).is_some() {
            let _ = self.frontend.inputs.send(Input::ClientDisconnected(self.number));
        }
    }
}

/// Handles an invocation: checks it, reports it to the reducer and waits for the answer.
async fn invoke(
    Shared(frontend): Shared<Arc<Frontend>>, Extension(connection): Extension<ConnectionHandle>,
    invocation: Request,
) -> Response {
    let (head, body) = invocation.into_parts();
    let checked = match check_head(&frontend.operations, &head.method, &head.uri, &head.headers) {
        _ if connection.trace.has_ambiguous_length() => {
            Err(bad_request("the length of the body is given more than once"))
        }
        checked => checked,
    };
    let (op, request_id, limit) = match checked {
        Ok(checked) => checked,
        Err(rejection) => return close_after(rejection.into_response()),
    };
    // Without a Content-Length only the HTTP library knows where the next message begins, so none is read.
    let is_chunked = head.headers.contains_key(header::TRANSFER_ENCODING);
    let body = match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) if error.is::<LengthLimitError>() => {
            return close_after(StatusCode::PAYLOAD_TOO_LARGE.into_response());
        }
        Err(_) => return close_after(bad_request("the body could not be read in full").into_response()),
    };
    let (method, uri, mut headers) = (head.method, head.uri, head.headers);
    HOP_BY_HOP_HEADERS.iter().for_each(|name| drop(headers.remove(name)));
    let target = uri.path_and_query().cloned().unwrap_or_else(|| PathAndQuery::from_static("/"));
    let request = Arc::new(ForwardedRequest { method, target, headers, body });
    let number = InvocationNumber(frontend.next_number.fetch_add(1, Ordering::Relaxed));
    let (answer_sender, answer) = oneshot::channel();
    frontend.pending_answers().insert(number, answer_sender);
    frontend.set_idle(connection.id, false);
    let guard = DisconnectGuard { frontend: frontend.clone(), number, connection_id: connection.id };
    let deadline = connection.trace.last_received_at() + limit;
    let _ = frontend.inputs.send(Input::InvocationReceived { number, request_id, request, op, deadline });
    let answer = answer.await;
    drop(guard);
    let response = answer_response(answer);
    if is_chunked || frontend.closes_after_answer(connection.id) {
        close_after(response)
    } else {
        response
    }
}

/// Makes a response the last one on its connection. Rejected requests use it because the next message may
/// have the same fault, and it can be in doubt where that message begins.
fn close_after(mut response: Response) -> Response {
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}

/// A 503 response, with `Retry-After` in decimal seconds if `retry_after` is above zero.
fn throttled_response(retry_after: Tenths) -> Response {
    let mut response = StatusCode::SERVICE_UNAVAILABLE.into_response();
    if retry_after.0 > 0 {
        let seconds = format!("{}.{:04}", retry_after.0 / 10_000, retry_after.0 % 10_000);
        let seconds = seconds.trim_end_matches('0').trim_end_matches('.').parse();
        response.headers_mut().insert(header::RETRY_AFTER, seconds.expect("digits and a point"));
    }
    response
}

/// Converts a final answer to the HTTP response.
fn answer_response(answer: Result<FinalAnswer, oneshot::error::RecvError>) -> Response {
    match answer {
        Ok(FinalAnswer::Succeeded(forwarded)) => {
            let mut response = Response::new(Body::from(forwarded.body));
            *response.headers_mut() = forwarded.headers;
            HOP_BY_HOP_HEADERS.iter().for_each(|name| drop(response.headers_mut().remove(name)));
            response.headers_mut().remove(LOAD_HEADER);
            response
        }
        Ok(FinalAnswer::Throttled { retry_after }) => throttled_response(retry_after),
        Ok(FinalAnswer::RequestIdInUse) => StatusCode::CONFLICT.into_response(),
        Ok(FinalAnswer::Unverified { failed_check, retry_after }) => {
            let text = format!("no pod returned content that matches the signed metadata: {failed_check}\n");
            let mut response = match retry_after {
                Some(retry_after) => throttled_response(retry_after),
                None => StatusCode::BAD_GATEWAY.into_response(),
            };
            response.headers_mut().insert(CHECK_FAILED_HEADER, HeaderValue::from_static(failed_check));
            *response.body_mut() = Body::from(text);
            response
        }
        // A dropped sender means that the program ends without this answer. The invocation may have run, so
        // the answer must not say that a retry is harmless.
        Ok(FinalAnswer::Terminated) | Err(_) => StatusCode::BAD_GATEWAY.into_response(),
    }
}
