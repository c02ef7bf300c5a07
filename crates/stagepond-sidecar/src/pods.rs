//! Sends dispatches to pods with hyper-util's HTTP client.
//!
//! Each connection has a client of its own and carries one dispatch at a time, so that no second connection
//! is opened while one has just become free. This module owns the connections to pods and reports how each
//! dispatch ended. It never retries a dispatch or times one out; the reducer asks for both.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::TRANSFER_ENCODING;
use hyper::http::uri::{Authority, Scheme, Uri};
use hyper::{HeaderMap, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use stagepond::host::{Ending, Tenths};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

use crate::body::{bytes_to_reserve, read_body, BodyError};
use crate::config::TransportConfig;
use crate::connection::{ConnectionTrace, TracedConnection};
use crate::memory::{head_bytes_to_reserve, MemoryBudget, MemoryUse};
use crate::message_progress::MAX_HEAD_BYTES;
use crate::messages::*;
use crate::stream::RateLimitedLog;

/// How long a connection stays unused after a response if another one is free. Bytes in excess of a response
/// arrive immediately after it; they make the connection unusable.
const SETTLE_TIME: Duration = Duration::from_millis(2);
/// Share of reused connections that turn out to be broken, from which on opening new ones costs the pod less
/// than the dispatches that break.
const MAX_BROKEN_SHARE: f64 = 0.04;
/// Number of dispatches on reused connections over which that share is averaged.
const BROKEN_SHARE_DISPATCHES: f64 = 64.0;
/// Number of dispatches on new connections between two on reused ones while that share is too high.
const REUSE_PROBE_INTERVAL: u32 = 12;
/// Largest accepted number of invocations in progress in a load report. No machine can have more, so a report
/// with more is invalid.
const MAX_REPORTED_IN_FLIGHT: f64 = 10_000.0;
/// Share of the configured idle time after which a connection is closed. A pod may close one that was idle
/// for the whole time, and a request written at that moment would be reset.
const IDLE_TIMEOUT_SHARE: f64 = 0.8;
const LOAD_HEADER: &str = "x-server-load";
/// Keys of the number of invocations in progress in a load report: that of the settings and that of the
/// protocol's documentation.
const IN_FLIGHT_KEYS: [&str; 2] = ["rif", "inflight"];
const NOT_PROCESSED_HEADER: &str = "x-not-processed";
const TIME_LIMIT_HEADER: &str = "x-timeout-ms";

/// Opens the connections of a [`Client`], always to the same pod.
#[derive(Clone)]
struct Connector {
    to: SocketAddr,
    trace: ConnectionTrace,
    clock: Clock,
    timeout: Duration,
}

impl tower_service::Service<Uri> for Connector {
    type Response = TracedConnection;
    type Error = io::Error;
    type Future = Pin<Box<dyn std::future::Future<Output = io::Result<TracedConnection>> + Send>>;

    fn poll_ready(&mut self, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, _to: Uri) -> Self::Future {
        let Connector { to, trace, clock, timeout } = self.clone();
        Box::pin(async move {
            let connected = tokio::time::timeout(timeout, TracedConnection::connect(to, trace, clock)).await;
            connected.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
        })
    }
}

/// A client with at most one connection to one pod.
struct PodConnection {
    client: Client<Connector, Full<Bytes>>,
    trace: ConnectionTrace,
    idle_since: Instant,
    /// A reference to [`PodClient::connection_count`], which counts this connection by it.
    _counted: Arc<()>,
}

/// Idle connections by pod address, the least recently used first.
type IdleConnections = Arc<Mutex<HashMap<SocketAddr, Vec<PodConnection>>>>;

struct OpenDispatch {
    to: SocketAddr,
    trace: ConnectionTrace,
    task: AbortHandle,
}

/// How often reused connections turn out to be broken when the next request is written. If that is often,
/// most dispatches use new connections.
#[derive(Default)]
struct ReuseStats {
    /// Moving average of the share of broken ones.
    broken_share: f64,
    dispatches_since_reuse: u32,
}

impl ReuseStats {
    fn record(&mut self, broke: bool) {
        self.broken_share += (f64::from(broke) - self.broken_share) / BROKEN_SHARE_DISPATCHES;
    }

    /// Whether the next dispatch may reuse a connection. One in a while always may; otherwise the share would
    /// never be updated again.
    fn allow_reuse(&mut self) -> bool {
        let allowed =
            self.broken_share < MAX_BROKEN_SHARE || self.dispatches_since_reuse >= REUSE_PROBE_INTERVAL;
        self.dispatches_since_reuse = if allowed { 0 } else { self.dispatches_since_reuse + 1 };
        allowed
    }
}

/// Connections to pods and the dispatches on them.
pub struct PodClient {
    idle: IdleConnections,
    reuse_stats: Arc<Mutex<ReuseStats>>,
    dispatches: HashMap<DispatchId, OpenDispatch>,
    /// Its reference count is one more than the number of [`PodConnection`]s.
    connection_count: Arc<()>,
    max_connections: usize,
    transport: TransportConfig,
    memory: MemoryBudget,
    clock: Clock,
    inputs: mpsc::UnboundedSender<Input>,
    warnings: Arc<RateLimitedLog>,
}

impl PodClient {
    /// Creates a client that opens up to `max_connections` connections, holds responses within the budget
    /// `memory` and sends outcomes to `inputs`.
    pub fn new(
        max_connections: usize, transport: TransportConfig, memory: MemoryBudget, clock: Clock,
        inputs: mpsc::UnboundedSender<Input>,
    ) -> PodClient {
        PodClient {
            idle: IdleConnections::default(),
            reuse_stats: Arc::default(),
            dispatches: HashMap::new(),
            connection_count: Arc::new(()),
            max_connections,
            transport,
            memory,
            clock,
            inputs,
            warnings: Arc::default(),
        }
    }

    /// Sends `request` to the pod at `to` and tells it to answer within `timeout`. The outcome follows as
    /// [`Input::DispatchEnded`].
    pub fn dispatch(
        &mut self, id: DispatchId, request: Arc<ForwardedRequest>, to: SocketAddr, timeout: Tenths,
    ) {
        // Without a descriptor nothing is sent, and the pod is not at fault.
        let Some(connection) = self.take_connection(to) else { return self.report_unsent(id) };
        let trace = connection.trace.clone();
        trace.begin_message(request.body.len());
        let (clock, inputs, idle) = (self.clock, self.inputs.clone(), self.idle.clone());
        let memory = self.memory.clone();
        let (warnings, reuse_stats) = (self.warnings.clone(), self.reuse_stats.clone());
        let task = tokio::spawn(async move {
            let reused = connection.trace.is_open();
            let started_at = clock.now();
            let (outcome, reusable) =
                send_request(&connection, &request, to, timeout, clock, &memory, &warnings).await;
            if reused {
                // Broken: reset before any byte arrived in response to this request.
                let broke =
                    outcome.ending == Ending::Reset && connection.trace.last_received_at() < started_at;
                reuse_stats.lock().expect("no holder of the lock panics").record(broke);
            }
            if !reusable {
                connection.trace.shut_down();
            }
            let _ = inputs.send(Input::DispatchEnded(id, outcome));
            if connection.trace.is_reusable() {
                let connection = PodConnection { idle_since: Instant::now(), ..connection };
                let mut idle = idle.lock().expect("no holder of the lock panics");
                idle.entry(to).or_default().push(connection);
            }
        });
        self.dispatches.insert(id, OpenDispatch { to, trace, task: task.abort_handle() });
    }

    /// Reports that nothing of a dispatch was sent.
    pub fn report_unsent(&self, id: DispatchId) {
        let outcome = DispatchOutcome {
            ending: Ending::Moot,
            ended_at: self.clock.now(),
            in_flight: None,
            response: ForwardedResponse::default(),
            not_found: false,
        };
        let _ = self.inputs.send(Input::DispatchEnded(id, outcome));
    }

    /// Returns a connection for a dispatch to `to`, or `None` if no descriptor is left.
    ///
    /// Prefers the most recently used idle connection, so that those that are not needed reach their idle
    /// timeout. One that became idle within [`SETTLE_TIME`] is taken only if there is no other, as more bytes
    /// may follow its response.
    fn take_connection(&mut self, to: SocketAddr) -> Option<PodConnection> {
        let mut idle = self.idle.lock().expect("no holder of the lock panics");
        let allow_reuse = self.reuse_stats.lock().expect("no holder of the lock panics").allow_reuse();
        if let Some(connections) = idle.get_mut(&to) {
            connections.retain(|connection| allow_reuse && connection.trace.is_reusable());
            let settled = connections.iter().rposition(|c| c.idle_since.elapsed() >= SETTLE_TIME);
            let connection = settled.map(|at| connections.remove(at)).or_else(|| connections.pop());
            if let Some(connection) = connection {
                return Some(connection);
            }
        }
        if Arc::strong_count(&self.connection_count) > self.max_connections {
            idle.values_mut().for_each(|connections| connections.retain(|c| c.trace.is_reusable()));
            idle.retain(|_, connections| !connections.is_empty());
            let oldest = idle
                .iter()
                .filter_map(|(at, connections)| Some((connections.first()?.idle_since, *at)))
                .min();
            match oldest {
                Some((_, at)) => drop(idle.get_mut(&at).map(|connections| connections.remove(0))),
                None if Arc::strong_count(&self.connection_count) > self.max_connections => return None,
                None => {}
            }
        }
        drop(idle);
        Some(self.new_connection(to))
    }

    fn new_connection(&self, to: SocketAddr) -> PodConnection {
        let trace = ConnectionTrace::default();
        let timeout = to_std_duration(self.transport.connect_timeout);
        let connector = Connector { to, trace: trace.clone(), clock: self.clock, timeout };
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .pool_max_idle_per_host(1)
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(to_std_duration(self.transport.idle_timeout.scale(IDLE_TIMEOUT_SHARE)))
            .http1_max_buf_size(MAX_HEAD_BYTES)
            .build(connector);
        PodConnection { client, trace, idle_since: Instant::now(), _counted: self.connection_count.clone() }
    }

    /// Aborts a dispatch. Its connection is closed before this returns.
    pub fn abort(&mut self, id: DispatchId) {
        if let Some(dispatch) = self.dispatches.remove(&id) {
            dispatch.trace.shut_down();
            dispatch.task.abort();
        }
    }

    /// Ends a dispatch of which no byte was written, as while its connection is being established. Its
    /// connection is closed before this returns. A dispatch that has begun goes on.
    pub fn withdraw(&mut self, id: DispatchId) {
        if self.dispatches.get(&id).is_some_and(|dispatch| !dispatch.trace.is_message_begun()) {
            self.abort(id);
            self.report_unsent(id);
        }
    }

    /// Removes a dispatch that has ended.
    pub fn forget(&mut self, id: DispatchId) {
        self.dispatches.remove(&id);
    }

    /// Closes the idle connections to `to`. Open dispatches continue; their connections close after them.
    pub fn close_idle(&self, to: SocketAddr) {
        self.idle.lock().expect("no holder of the lock panics").remove(&to);
        let open = self.dispatches.values().filter(|dispatch| dispatch.to == to);
        open.for_each(|dispatch| dispatch.trace.retire());
    }
}

/// Sends a request and waits for the response. Returns the outcome, and whether the connection carried
/// exactly one complete response and may be used again.
async fn send_request(
    connection: &PodConnection, request: &ForwardedRequest, to: SocketAddr, timeout: Tenths, clock: Clock,
    memory: &MemoryBudget, warnings: &RateLimitedLog,
) -> (DispatchOutcome, bool) {
    let mut response = ForwardedResponse::default();
    let (mut ending, mut in_flight) = (Ending::Reset, None);
    let (mut reusable, mut not_found) = (false, false);
    match connection.client.request(http_request(request, to, timeout)).await {
        // Proof that the invocation did not run: the connection did not take the whole request.
        Err(_) if !connection.trace.is_message_written() => ending = Ending::NoConnection,
        Err(_) => {}
        Ok(http_response) => {
            let (head, body) = http_response.into_parts();
            if let Some(load) = head.headers.get(LOAD_HEADER) {
                in_flight = reported_in_flight(load.to_str().unwrap_or_default());
                if in_flight.is_none() {
                    warnings.warn(format_args!("pods: {to}: invalid load report {load:?}"));
                }
            }
            // A body without a length ends with the connection, so one that was cut short looks complete.
            let delimited =
                body.size_hint().exact().is_some() || head.headers.contains_key(TRANSFER_ENCODING);
            if let (true, Ok(body)) = (delimited, read_response_body(&head.headers, body, memory).await) {
                ending = response_ending(head.status, &head.headers);
                not_found = head.status == StatusCode::NOT_FOUND;
                response = ForwardedResponse { headers: head.headers, body };
                reusable = head.status != StatusCode::SWITCHING_PROTOCOLS;
            }
        }
    }
    // A response ended when its last bytes arrived. The end of a connection has no bytes to take the time
    // from.
    let responded = matches!(ending, Ending::Succeeded | Ending::Error | Ending::Full);
    let ended_at = if responded { connection.trace.last_received_at() } else { clock.now() };
    (DispatchOutcome { ending, ended_at, in_flight, response, not_found }, reusable)
}

/// Reads the body of a response once the budget has room for it.
async fn read_response_body(
    headers: &HeaderMap, body: Incoming, memory: &MemoryBudget,
) -> Result<Bytes, BodyError> {
    let head_bytes = head_bytes_to_reserve(headers);
    let bytes = head_bytes + bytes_to_reserve(&body, MAX_BODY_BYTES)?;
    if bytes == 0 {
        return Ok(Bytes::new());
    }
    let reservation = memory.reserve(bytes, MemoryUse::Response).await;
    let body = read_body(body, MAX_BODY_BYTES).await?;
    let kept_bytes = head_bytes + body.len();
    Ok(reservation.hold(body, kept_bytes))
}

/// Maps the head of a complete response to an ending.
fn response_ending(status: StatusCode, headers: &HeaderMap) -> Ending {
    let not_processed = headers.get(NOT_PROCESSED_HEADER).is_some_and(|v| v == "1");
    match status {
        StatusCode::OK => Ending::Succeeded,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_processed => Ending::Full,
        _ => Ending::Error,
    }
}

fn http_request(request: &ForwardedRequest, to: SocketAddr, timeout: Tenths) -> Request<Full<Bytes>> {
    let mut uri = hyper::http::uri::Parts::default();
    uri.scheme = Some(Scheme::HTTP);
    uri.authority = Some(to.to_string().parse::<Authority>().expect("a socket address is an authority"));
    uri.path_and_query = Some(request.target.clone());
    let mut message = Request::new(Full::new(request.body.clone()));
    *message.method_mut() = request.method.clone();
    *message.uri_mut() = Uri::from_parts(uri).expect("scheme, authority and path are set");
    *message.headers_mut() = request.headers.clone();
    message.headers_mut().insert(TIME_LIMIT_HEADER, (timeout.0 / 10).max(1).into());
    message
}

/// Reads the number of invocations in progress from a load report. The module has no use for the other
/// figures.
fn reported_in_flight(report: &str) -> Option<f64> {
    let pairs = report.split(',').filter_map(|pair| pair.split_once('='));
    let mut in_flight = pairs.filter(|(key, _)| IN_FLIGHT_KEYS.contains(&key.trim()));
    let (_, value) = in_flight.next()?;
    value.trim().parse().ok().filter(|n: &f64| (0.0..=MAX_REPORTED_IN_FLIGHT).contains(n))
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;

    #[rstest]
    fn connections_are_rarely_reused_while_most_are_broken_and_reused_again_after_recovery() {
        let mut stats = ReuseStats::default();
        let count_reuses = |stats: &mut ReuseStats, broke: bool| {
            let mut reuses = 0;
            for _ in 0..240 {
                if stats.allow_reuse() {
                    stats.record(broke);
                    reuses += 1;
                }
            }
            reuses
        };
        assert_eq!(count_reuses(&mut stats, false), 240);
        assert!(count_reuses(&mut stats, true) < 30);
        for _ in 0..20 {
            count_reuses(&mut stats, false);
        }
        assert_eq!(count_reuses(&mut stats, false), 240);
    }

    /// The settings name the figure `rif`, the protocol's example `inflight`. Code that looked for only one
    /// of them read no report at all.
    #[rstest]
    #[case::key_of_the_settings("rif=1.044,busy=0.020", Some(1.044))]
    #[case::key_of_the_documentation("inflight=7,queue=2,util=0.61", Some(7.0))]
    #[case::other_figures_only("busy=0.5", None)]
    #[case::not_numeric("rif=many", None)]
    #[case::not_a_number("rif=NaN", None)]
    #[case::negative("rif=-1", None)]
    #[case::too_large("rif=1e18", None)]
    #[case::garbage(";;;", None)]
    fn load_report_is_parsed_or_ignored(#[case] report: &str, #[case] in_flight: Option<f64>) {
        assert_eq!(reported_in_flight(report), in_flight);
    }
}
