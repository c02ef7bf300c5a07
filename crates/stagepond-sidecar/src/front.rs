//! Clients in, answers out: axum on connections that this file accepts itself, since it must go on accepting
//! while the program leaves. It owns the clients' connections and the answers still owed on them; it must
//! never answer an invocation by itself once it has told the reducer of it.

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
use hyper::{HeaderMap, Method, StatusCode, Uri};
use hyper_util::service::TowerToHyperService;
use nix::sys::socket::{setsockopt, sockopt};
use stagepond::host::{Op, RetrySafety, Tenths};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, oneshot, Notify};

use crate::messages::*;
use crate::stream::Complaints;
use crate::wire::{Trace, Wire, HEAD_MAX};

/// Connections that wait while the loop is busy; the system may hold fewer.
const BACKLOG: u32 = 1024;
/// Out of descriptors for now: what ends next frees one, and until then there is no spinning.
const ACCEPT_AGAIN: std::time::Duration = std::time::Duration::from_millis(5);
/// How long a connection that is to close may take to send the rest of an invocation that it has begun.
const HALF_SENT: Tenths = Tenths::ms(500);
/// An invocation is 64 KiB at most, from the same data centre: what takes longer, or was opened and then
/// said nothing, keeps a descriptor from others.
const WHOLE_WITHIN: Tenths = Tenths::ms(2300);
const SWEEP_EVERY: Tenths = Tenths::ms(200);
/// A client that keeps its connection may rely on it for this long between two invocations.
const IDLE_KEPT: Tenths = Tenths::ms(2000);
/// Whoever connects sends at once; without this a crowd would have newcomers put each other out.
const NEWCOMER: Tenths = Tenths::ms(50);
/// From this part of the bound on, what stands idle is closed ahead of need.
const CROWDED: f64 = 0.75;
/// From this part on every answer is the last on its connection: who has just been answered may stay idle for
/// 2 s, and places held for that long would let in fewer than knock.
const FULL: f64 = 0.9;
/// With its buffer and a body, the most that one connection holds.
pub const CONNECTION_BYTES: usize = HEAD_MAX + MAX_BODY_BYTES;
const ID_MAX: usize = 128;
/// No client waits for longer on one connection; the module forgets machines that are gone for longer.
const LIMIT_MAX: Tenths = Tenths::ms(600_000);

pub const ID: &str = "x-request-id";
const OPERATION: &str = "x-priority-class";
const TIME_LIMIT: &str = "x-timeout-ms";
const FINGERPRINT: &str = "idempotency-key";
const LOAD: &str = "x-server-load";
const CHECK_FAILED: &str = "x-check-failed";

/// What belongs to one connection only, on either side.
const HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::CONTENT_LENGTH,
    HeaderName::from_static("keep-alive"),
];

pub struct Operations(pub Vec<(String, RetrySafety)>);

struct Client {
    since: Tenths,
    /// Since when it stands idle; none while an invocation of it is open.
    idle_since: Option<Tenths>,
    /// How many invocations it has sent whole.
    taken: u64,
    /// Whether it has asked if this sidecar is ready: reason to stay, but none to keep others out.
    asks_ready: bool,
    closing: bool,
    trace: Trace,
    end: Arc<End>,
}

/// How a connection is told to end: once what it has begun is done, or now.
#[derive(Default)]
struct End {
    close: Notify,
    cut: Notify,
}

impl Client {
    /// When it has had its time to send a whole message. Nothing cuts it while its invocation is open, nor a
    /// client of use between two of them.
    fn cut_at(&self) -> Tenths {
        let Some(idle_since) = self.idle_since else { return Tenths::NEVER };
        let known = self.taken > 0 || self.asks_ready;
        let whole_by = match self.trace.begun_at() {
            Some(begun_at) if known => begun_at + WHOLE_WITHIN,
            None if known => Tenths::NEVER,
            _ => self.since + WHOLE_WITHIN,
        };
        let soon = idle_since.max(self.trace.came_at()) + HALF_SENT;
        if self.closing {
            whole_by.min(soon)
        } else {
            whole_by
        }
    }

    fn close(&mut self) {
        self.closing = true;
        self.end.close.notify_one();
    }
}

pub struct Front {
    operations: Operations,
    clock: Clock,
    inputs: mpsc::UnboundedSender<Input>,
    ready: AtomicBool,
    leaving: AtomicBool,
    tickets: AtomicU64,
    owed: Mutex<HashMap<InvocationNumber, oneshot::Sender<FinalAnswer>>>,
    clients: Mutex<BTreeMap<u64, Client>>,
    clients_max: usize,
    changed: Notify,
    close_listener: Notify,
    complaints: Complaints,
}

/// One client's connection, as its handlers know it.
#[derive(Clone)]
struct Connection {
    number: u64,
    trace: Trace,
}

impl Front {
    pub fn new(
        operations: Operations, clients_max: usize, clock: Clock, inputs: mpsc::UnboundedSender<Input>,
    ) -> Arc<Front> {
        Arc::new(Front {
            operations,
            clock,
            inputs,
            ready: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            tickets: AtomicU64::new(1),
            owed: Mutex::default(),
            clients: Mutex::default(),
            clients_max,
            changed: Notify::new(),
            close_listener: Notify::new(),
            complaints: Complaints::default(),
        })
    }

    fn clients(&self) -> MutexGuard<'_, BTreeMap<u64, Client>> {
        self.clients.lock().expect("never held while panicking")
    }

    fn owed(&self) -> MutexGuard<'_, HashMap<InvocationNumber, oneshot::Sender<FinalAnswer>>> {
        self.owed.lock().expect("never held while panicking")
    }

    pub fn answer(&self, ticket: InvocationNumber, answer: FinalAnswer) {
        let owed = self.owed().remove(&ticket);
        // Nobody waits where the client has gone; the reducer is told of that in its turn.
        if let Some(owed) = owed {
            let _ = owed.send(answer);
        }
    }

    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Relaxed);
    }

    /// Idle connections go while the listener still takes what crosses their end; the rest go once answered.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
        self.close_all();
    }

    pub fn close_all(&self) {
        self.clients().values_mut().for_each(Client::close);
    }

    pub fn close_listener(&self) {
        self.close_listener.notify_one();
    }

    /// Binds, and tells where; accepts until `close_listener`, then takes what still waits and ends.
    pub fn listen(self: &Arc<Front>, at: SocketAddr) -> Result<SocketAddr> {
        let bind = || -> std::io::Result<TcpListener> {
            let socket = if at.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
            // A successor starts on the same address while connections of this process are still closing.
            socket.set_reuseaddr(true)?;
            // Connections inherit it, and so the system stamps their first bytes too.
            let _ = setsockopt(&socket, sockopt::ReceiveTimestampns, &true);
            socket.bind(at)?;
            socket.listen(BACKLOG)
        };
        let listener = bind().with_context(|| format!("listen: {at}"))?;
        let at = listener.local_addr()?;
        tokio::spawn(self.clone().accept(listener));
        tokio::spawn(self.clone().sweep());
        Ok(at)
    }

    async fn accept(self: Arc<Front>, listener: TcpListener) {
        let router = Router::new()
            .route("/ready", get(ready))
            .route("/{operation}", any(invoke))
            .route("/{operation}/{*rest}", any(invoke))
            .with_state(self.clone());
        let mut number = 0;
        loop {
            self.room().await;
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = self.close_listener.notified() => break,
            };
            match accepted {
                Ok((stream, _)) => {
                    number += 1;
                    self.clone().connected(number, stream, router.clone());
                }
                Err(error) => {
                    self.complaints.say(format_args!("accept: {error}"));
                    tokio::time::sleep(ACCEPT_AGAIN).await;
                }
            }
        }
        // What the system has accepted is taken, asked of the system itself: the runtime may not know yet.
        let listener = listener.into_std().expect("the runtime gives back what it was given");
        loop {
            self.room().await;
            let accepted = listener.accept().and_then(|(stream, _)| {
                stream.set_nonblocking(true)?;
                TcpStream::from_std(stream)
            });
            match accepted {
                Ok(stream) => {
                    number += 1;
                    self.clone().connected(number, stream, router.clone());
                }
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => break,
                Err(error) => {
                    self.complaints.say(format_args!("accept: {error}"));
                    tokio::time::sleep(ACCEPT_AGAIN).await;
                }
            }
        }
        drop(listener);
        let _ = self.inputs.send(Input::ListenerClosed);
        self.tell_if_empty();
    }

    /// At the bound one goes that has never been of use, the oldest first, since it may be anyone's; then what
    /// has stood idle longest. Those who wait outside may have sent already.
    fn has_room(&self) -> bool {
        let mut clients = self.clients();
        if clients.len() < self.clients_max {
            return true;
        }
        let now = self.clock.now();
        let silent = |c: &&Client| c.taken == 0 && c.idle_since.is_some() && now >= c.since + NEWCOMER;
        let oldest = clients.values().filter(silent).min_by_key(|c| c.since);
        match oldest {
            Some(client) => client.end.cut.notify_one(),
            None => close_idle(&mut clients, 1, now),
        }
        let open = clients.values().filter(|c| c.idle_since.is_none()).count();
        let of_use = clients.values().filter(|c| c.taken > 0).count();
        let all = clients.len();
        self.complaints
            .say(format_args!("clients: {all} is the bound; {of_use} of use, {open} with one open"));
        false
    }

    async fn room(&self) {
        while !self.has_room() {
            // Time alone may make one fit to go.
            let _ = tokio::time::timeout(to_std_duration(NEWCOMER), self.changed.notified()).await;
        }
    }

    /// Cuts what has not sent a whole message in its time, and keeps some room ahead of need.
    async fn sweep(self: Arc<Front>) {
        let mut last = self.clock.now();
        loop {
            tokio::time::sleep(to_std_duration(SWEEP_EVERY)).await;
            let now = self.clock.now();
            // After this process stood still, what had come in time is read first.
            let stood_still = now > last + SWEEP_EVERY + SWEEP_EVERY;
            last = now;
            if stood_still {
                continue;
            }
            let mut clients = self.clients();
            clients.values().filter(|c| c.cut_at() <= now).for_each(|c| c.end.cut.notify_one());
            let over = clients.len().saturating_sub(self.crowd());
            close_idle(&mut clients, over, now);
        }
    }

    fn connected(self: Arc<Front>, number: u64, stream: TcpStream, router: Router) {
        let (end, now, trace) = (Arc::new(End::default()), self.clock.now(), Trace::of_messages());
        let client = Client {
            since: now,
            idle_since: Some(now),
            taken: 0,
            asks_ready: false,
            closing: false,
            trace: trace.clone(),
            end: end.clone(),
        };
        self.clients().insert(number, client);
        tokio::spawn(async move {
            if let Ok(wire) = Wire::new(stream, trace.clone(), self.clock) {
                let router = router.layer(Extension(Connection { number, trace }));
                let mut builder = http1::Builder::new();
                // Accepted while leaving: it may still carry the invocation it was opened for.
                builder.keep_alive(!self.leaving.load(Ordering::Relaxed)).max_buf_size(HEAD_MAX);
                let serving = builder.serve_connection(wire, TowerToHyperService::new(router));
                tokio::pin!(serving);
                loop {
                    tokio::select! {
                        // What has come is read before anything is ended for not having come.
                        biased;
                        // How a client's connection ends is no news: what it meant for an invocation is told.
                        _ = &mut serving => break,
                        () = end.close.notified() => serving.as_mut().graceful_shutdown(),
                        () = end.cut.notified() => break,
                    }
                }
            }
            self.clients().remove(&number);
            self.changed.notify_one();
            self.tell_if_empty();
        });
    }

    fn tell_if_empty(&self) {
        let empty = self.clients().is_empty();
        if empty && self.leaving.load(Ordering::Relaxed) {
            let _ = self.inputs.send(Input::AllClientsDisconnected);
        }
    }

    fn crowd(&self) -> usize {
        (self.clients_max as f64 * CROWDED) as usize
    }

    /// In a crowd an answer is the last one to who has asked once only: most that stay never ask again. Close to
    /// the bound it is to everyone.
    fn is_last(&self, connection: u64) -> bool {
        let clients = self.clients();
        let full = clients.len() as f64 > self.clients_max as f64 * FULL;
        full || clients.len() > self.crowd() && clients.get(&connection).is_some_and(|c| c.taken < 2)
    }

    fn set_idle(&self, connection: u64, idle: bool) {
        let since = idle.then(|| self.clock.now());
        if let Some(c) = self.clients().get_mut(&connection) {
            c.idle_since = since;
            c.taken += u64::from(!idle);
        }
        if idle {
            self.changed.notify_one();
        }
    }
}

/// Closes up to so many of those that may go, the longest idle first.
fn close_idle(clients: &mut BTreeMap<u64, Client>, most: usize, now: Tenths) {
    if most == 0 {
        return;
    }
    let spent = |c: &&mut Client| {
        (c.taken > 0 || c.asks_ready) && !c.closing && c.idle_since.is_some_and(|s| now >= s + IDLE_KEPT)
    };
    let mut idle: Vec<&mut Client> = clients.values_mut().filter(spent).collect();
    idle.sort_by_key(|c| c.idle_since);
    idle.into_iter().take(most).for_each(Client::close);
}

async fn ready(Shared(front): Shared<Arc<Front>>, Extension(connection): Extension<Connection>) -> Response {
    let now = front.clock.now();
    if let Some(client) = front.clients().get_mut(&connection.number) {
        (client.asks_ready, client.idle_since) = (true, Some(now));
    }
    let status =
        if front.ready.load(Ordering::Relaxed) { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    if front.is_last(connection.number) {
        close_after(status.into_response())
    } else {
        status.into_response()
    }
}

type Malformed = (StatusCode, String);

fn malformed(what: &str) -> Malformed {
    (StatusCode::BAD_REQUEST, format!("{what}\n"))
}

/// The operation, id and time limit that an invocation came with, from its head alone: nothing of a body is
/// taken in for a head that is wrong.
fn check(
    operations: &Operations, method: &Method, uri: &Uri, headers: &HeaderMap,
) -> Result<(Op, RequestId, Tenths), Malformed> {
    let first = uri.path().split('/').nth(1).unwrap_or_default();
    let op = operations.0.iter().position(|(name, _)| name == first);
    let op = op.ok_or_else(|| (StatusCode::NOT_FOUND, format!("no operation {first:?}\n")))?;
    // Given twice, two readers may each take another one.
    let only = |name: &str| headers.get(name).filter(|_| headers.get_all(name).iter().count() == 1);
    let text = |name: &str| only(name).and_then(|v| v.to_str().ok()).filter(|v| !v.is_empty());
    if text(OPERATION) != Some(first) {
        return Err(malformed("X-Priority-Class is not the first part of the path"));
    }
    let id = text(ID).filter(|id| id.len() <= ID_MAX);
    let id = id.ok_or_else(|| malformed("X-Request-ID is missing or no id"))?;
    let digits = text(TIME_LIMIT).filter(|ms| ms.bytes().all(|digit| digit.is_ascii_digit()));
    let limit = digits.and_then(|ms| ms.parse().ok()).map(Tenths::ms);
    let limit = limit.filter(|limit| Tenths(0) < *limit && *limit <= LIMIT_MAX);
    let limit = limit.ok_or_else(|| malformed("X-Timeout-Ms is not a number of milliseconds to wait"))?;
    let repeat = operations.0[op].1;
    if (repeat == RetrySafety::Idempotent) != (method == Method::GET)
        || repeat != RetrySafety::Idempotent && method != Method::POST
    {
        return Err(malformed("the method is not this operation's"));
    }
    if repeat == RetrySafety::Fingerprinted && text(FINGERPRINT).is_none() {
        return Err(malformed("Idempotency-Key is missing"));
    }
    let length = headers.get(header::CONTENT_LENGTH).and_then(|v| v.to_str().ok()?.parse::<u64>().ok());
    if length.is_some_and(|length| length > MAX_BODY_BYTES as u64) {
        return Err((
            StatusCode::PAYLOAD_TOO_LARGE,
            format!("a body holds at most {MAX_BODY_BYTES} bytes\n"),
        ));
    }
    Ok((Op(op), RequestId(id.into()), limit))
}

/// Tells the reducer when the client goes before it has its answer.
struct Waiting {
    front: Arc<Front>,
    ticket: InvocationNumber,
    connection: u64,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.front.set_idle(self.connection, true);
        if self.front.owed().remove(&self.ticket).is_some() {
            let _ = self.front.inputs.send(Input::ClientDisconnected(self.ticket));
        }
    }
}

async fn invoke(
    Shared(front): Shared<Arc<Front>>, Extension(connection): Extension<Connection>, invocation: Request,
) -> Response {
    let (head, body) = invocation.into_parts();
    let checked = match check(&front.operations, &head.method, &head.uri, &head.headers) {
        _ if connection.trace.ambiguous() => Err(malformed("the length of the body is given more than once")),
        checked => checked,
    };
    let (op, id, limit) = match checked {
        Ok(checked) => checked,
        Err(fault) => return close_after(fault.into_response()),
    };
    // Where the length is not told ahead, nobody but the library knows where the next message would begin.
    let last = head.headers.contains_key(header::TRANSFER_ENCODING);
    let body = match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) if error.is::<LengthLimitError>() => {
            return close_after(StatusCode::PAYLOAD_TOO_LARGE.into_response());
        }
        Err(_) => return close_after(malformed("the body is not whole").into_response()),
    };
    let (method, uri, mut headers) = (head.method, head.uri, head.headers);
    HOP.iter().for_each(|name| drop(headers.remove(name)));
    let target = uri.path_and_query().cloned().unwrap_or_else(|| PathAndQuery::from_static("/"));
    let call = Arc::new(ForwardedRequest { method, target, headers, body });
    let ticket = InvocationNumber(front.tickets.fetch_add(1, Ordering::Relaxed));
    let (owed, answer) = oneshot::channel();
    front.owed().insert(ticket, owed);
    front.set_idle(connection.number, false);
    let waiting = Waiting { front: front.clone(), ticket, connection: connection.number };
    let until = connection.trace.came_at() + limit;
    let _ = front.inputs.send(Input::InvocationReceived {
        number: ticket,
        request_id: id,
        request: call,
        op,
        deadline: until,
    });
    let answer = answer.await;
    drop(waiting);
    let response = worded(answer);
    if last || front.is_last(connection.number) {
        close_after(response)
    } else {
        response
    }
}

/// What is wrong with a message may be wrong with the next as well, and where that begins can be in doubt.
fn close_after(mut response: Response) -> Response {
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}

fn throttled(stay_away: Tenths) -> Response {
    let mut response = StatusCode::SERVICE_UNAVAILABLE.into_response();
    if stay_away.0 > 0 {
        let seconds = format!("{}.{:04}", stay_away.0 / 10_000, stay_away.0 % 10_000);
        let seconds = seconds.trim_end_matches('0').trim_end_matches('.').parse();
        response.headers_mut().insert(header::RETRY_AFTER, seconds.expect("digits"));
    }
    response
}

fn worded(answer: Result<FinalAnswer, oneshot::error::RecvError>) -> Response {
    match answer {
        Ok(FinalAnswer::Succeeded(reply)) => {
            let mut response = Response::new(Body::from(reply.body));
            *response.headers_mut() = reply.headers;
            HOP.iter().for_each(|name| drop(response.headers_mut().remove(name)));
            response.headers_mut().remove(LOAD);
            response
        }
        Ok(FinalAnswer::Throttled { retry_after: stay_away }) => throttled(stay_away),
        Ok(FinalAnswer::RequestIdInUse) => StatusCode::CONFLICT.into_response(),
        Ok(FinalAnswer::Unverified { failed_check: failed, retry_after: stay_away }) => {
            let words = format!("no pod gave what was signed: {failed}\n");
            let mut response = match stay_away {
                Some(stay_away) => throttled(stay_away),
                None => StatusCode::BAD_GATEWAY.into_response(),
            };
            response.headers_mut().insert(CHECK_FAILED, HeaderValue::from_static(failed));
            *response.body_mut() = Body::from(words);
            response
        }
        // A dropped sender means the program ends without this answer; it can't be called harmless.
        Ok(FinalAnswer::Terminated) | Err(_) => StatusCode::BAD_GATEWAY.into_response(),
    }
}
