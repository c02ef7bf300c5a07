//! Dispatches to pods, through hyper-util's client: one client and one connection to a lane, one dispatch at
//! a time on it, so that a connection never comes up beside one that has just become free. It owns the
//! connections to pods and tells how each dispatch ended; it must never send one again or time one out: that
//! is the reducer's to ask for.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Body;
use hyper::header::TRANSFER_ENCODING;
use hyper::http::uri::{Authority, Scheme, Uri};
use hyper::{HeaderMap, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use stagepond::host::{Ending, Tenths};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

use crate::connection::{ConnectionTrace, TracedConnection, MAX_HEAD_BYTES};
use crate::launch::Transport;
use crate::messages::*;
use crate::stream::RateLimitedLog;

/// What a pod sends behind an answer comes right behind it.
const REST: Duration = Duration::from_millis(2);
/// From this share of broken ones among the kept connections on, a new one costs the pod less than what breaks.
const BREAKING: f64 = 0.04;
/// How many dispatches that share is taken from, and how many are between two on kept ones while it is high.
const BREAKS_OF: f64 = 64.0;
const ASK_AGAIN: u32 = 12;
/// A report that no machine can have is a garbled one.
const IN_FLIGHT_MAX: f64 = 10_000.0;
/// A pod may close what stood idle for the whole time; what is written just then would be a reset.
const IDLE_SHARE: f64 = 0.8;
const LOAD: &str = "x-server-load";
/// How the settings name the number of invocations in work, and how the protocol page does.
const IN_FLIGHT: [&str; 2] = ["rif", "inflight"];
const NOT_RUN: &str = "x-not-processed";
const TIME_LIMIT: &str = "x-timeout-ms";

#[derive(Clone)]
struct Dial {
    to: SocketAddr,
    trace: ConnectionTrace,
    clock: Clock,
    within: Duration,
}

impl tower_service::Service<Uri> for Dial {
    type Response = TracedConnection;
    type Error = io::Error;
    type Future = Pin<Box<dyn std::future::Future<Output = io::Result<TracedConnection>> + Send>>;

    fn poll_ready(&mut self, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, _to: Uri) -> Self::Future {
        let Dial { to, trace, clock, within } = self.clone();
        Box::pin(async move {
            let connected = tokio::time::timeout(within, TracedConnection::connect(to, trace, clock)).await;
            connected.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
        })
    }
}

struct Lane {
    client: Client<Dial, Full<Bytes>>,
    trace: ConnectionTrace,
    free_since: Instant,
    _counted: Arc<()>,
}

type Free = Arc<Mutex<HashMap<SocketAddr, Vec<Lane>>>>;

struct Out {
    to: SocketAddr,
    trace: ConnectionTrace,
    task: AbortHandle,
}

/// How kept connections fare: where many break as the next message goes out, they are mostly not used again.
#[derive(Default)]
struct Keeping {
    broken: f64,
    since_asked: u32,
}

impl Keeping {
    fn note(&mut self, broke: bool) {
        self.broken += (f64::from(broke) - self.broken) / BREAKS_OF;
    }

    /// Whether the next dispatch may go out on a kept connection; now and then one does, or it would never end.
    fn pays(&mut self) -> bool {
        let pays = self.broken < BREAKING || self.since_asked >= ASK_AGAIN;
        self.since_asked = if pays { 0 } else { self.since_asked + 1 };
        pays
    }
}

pub struct Pods {
    free: Free,
    keeping: Arc<Mutex<Keeping>>,
    out: HashMap<DispatchId, Out>,
    /// One more reference than there are lanes, each of which holds one connection at most.
    lanes: Arc<()>,
    lanes_max: usize,
    transport: Transport,
    clock: Clock,
    inputs: mpsc::UnboundedSender<Input>,
    complaints: Arc<RateLimitedLog>,
}

impl Pods {
    pub fn new(
        lanes_max: usize, transport: Transport, clock: Clock, inputs: mpsc::UnboundedSender<Input>,
    ) -> Pods {
        let (free, out) = (Free::default(), HashMap::new());
        let (complaints, keeping) = (Arc::default(), Arc::default());
        Pods { free, keeping, out, lanes: Arc::new(()), lanes_max, transport, clock, inputs, complaints }
    }

    pub fn dispatch(&mut self, id: DispatchId, call: Arc<Call>, to: SocketAddr, wait: Tenths) {
        let Some(lane) = self.lane(to) else {
            // No descriptor is left: nothing was sent, and the pod is not to blame.
            let outcome = Outcome {
                ending: Ending::Moot,
                at: self.clock.now(),
                in_flight: None,
                reply: Reply::default(),
                absent: false,
            };
            let _ = self.inputs.send(Input::Ended(id, outcome));
            return;
        };
        let trace = lane.trace.clone();
        let (clock, inputs, free) = (self.clock, self.inputs.clone(), self.free.clone());
        let (complaints, keeping) = (self.complaints.clone(), self.keeping.clone());
        let task = tokio::spawn(async move {
            let (kept, begun) = (lane.trace.is_open(), clock.now());
            let (outcome, clean) = carry_out(&lane, &call, to, wait, clock, &complaints).await;
            if kept {
                // It broke though nothing had come since the message went out.
                let broke = outcome.ending == Ending::Reset && lane.trace.last_received_at() < begun;
                keeping.lock().expect("never held while panicking").note(broke);
            }
            if !clean {
                lane.trace.shut_down();
            }
            let _ = inputs.send(Input::Ended(id, outcome));
            if lane.trace.is_reusable() {
                let lane = Lane { free_since: Instant::now(), ..lane };
                free.lock().expect("never held while panicking").entry(to).or_default().push(lane);
            }
        });
        self.out.insert(id, Out { to, trace, task: task.abort_handle() });
    }

    /// The one that was used last, so that what is not needed stands idle long enough to go; but one that has
    /// just become free only if there is no other, since more may be behind its answer.
    fn lane(&mut self, to: SocketAddr) -> Option<Lane> {
        let mut free = self.free.lock().expect("never held while panicking");
        let keeps = self.keeping.lock().expect("never held while panicking").pays();
        if let Some(lanes) = free.get_mut(&to) {
            lanes.retain(|lane| keeps && lane.trace.is_reusable());
            let rested = lanes.iter().rposition(|lane| lane.free_since.elapsed() >= REST);
            if let Some(lane) = rested.map(|at| lanes.remove(at)).or_else(|| lanes.pop()) {
                return Some(lane);
            }
        }
        if Arc::strong_count(&self.lanes) > self.lanes_max {
            free.values_mut().for_each(|lanes| lanes.retain(|lane| lane.trace.is_reusable()));
            free.retain(|_, lanes| !lanes.is_empty());
            let oldest = free.iter().filter_map(|(at, lanes)| Some((lanes.first()?.free_since, *at))).min();
            match oldest {
                Some((_, at)) => drop(free.get_mut(&at).map(|lanes| lanes.remove(0))),
                None if Arc::strong_count(&self.lanes) > self.lanes_max => return None,
                None => {}
            }
        }
        drop(free);
        let trace = ConnectionTrace::default();
        let within = duration(self.transport.connect_timeout);
        let dial = Dial { to, trace: trace.clone(), clock: self.clock, within };
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .pool_max_idle_per_host(1)
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(duration(self.transport.idle_close.scale(IDLE_SHARE)))
            .http1_max_buf_size(MAX_HEAD_BYTES)
            .build(dial);
        Some(Lane { client, trace, free_since: Instant::now(), _counted: self.lanes.clone() })
    }

    /// Its connection is cut before this returns.
    pub fn give_up(&mut self, id: DispatchId) {
        if let Some(out) = self.out.remove(&id) {
            out.trace.shut_down();
            out.task.abort();
        }
    }

    pub fn over(&mut self, id: DispatchId) {
        self.out.remove(&id);
    }

    /// What is out there still ends as it may, but its connection goes with it.
    pub fn drop_idle(&self, to: SocketAddr) {
        self.free.lock().expect("never held while panicking").remove(&to);
        self.out.values().filter(|out| out.to == to).for_each(|out| out.trace.retire());
    }
}

/// How it ended, and whether the connection showed nothing but one whole answer.
async fn carry_out(
    lane: &Lane, call: &Call, to: SocketAddr, wait: Tenths, clock: Clock, complaints: &RateLimitedLog,
) -> (Outcome, bool) {
    lane.trace.begin_message(call.body.len());
    let mut reply = Reply::default();
    let (mut ending, mut in_flight, mut clean, mut absent) = (Ending::Reset, None, false, false);
    match lane.client.request(message(call, to, wait)).await {
        // Only what the connection itself showed proves that it never ran.
        Err(_) if !lane.trace.is_message_written() => ending = Ending::NoConnection,
        Err(_) => {}
        Ok(answer) => {
            let (head, body) = answer.into_parts();
            if let Some(load) = head.headers.get(LOAD) {
                in_flight = reported_in_flight(load.to_str().unwrap_or_default());
                if in_flight.is_none() {
                    complaints.warn(format_args!("pods: {to}: load report {load:?}"));
                }
            }
            // Without a length only the end of the connection ends it, and so does whatever cuts it short.
            let delimited =
                body.size_hint().exact().is_some() || head.headers.contains_key(TRANSFER_ENCODING);
            if let (true, Ok(body)) = (delimited, Limited::new(body, BODY_MAX).collect().await) {
                ending = told(head.status, &head.headers);
                absent = head.status == StatusCode::NOT_FOUND;
                reply = Reply { headers: head.headers, body: body.to_bytes() };
                clean = head.status != StatusCode::SWITCHING_PROTOCOLS;
            }
        }
    }
    // What the pod said came with its bytes; the end of a connection has no bytes of its own.
    let said = matches!(ending, Ending::Succeeded | Ending::Error | Ending::Full);
    let at = if said { lane.trace.last_received_at() } else { clock.now() };
    (Outcome { ending, at, in_flight, reply, absent }, clean)
}

fn told(status: StatusCode, headers: &HeaderMap) -> Ending {
    let unrun = headers.get(NOT_RUN).is_some_and(|v| v == "1");
    match status {
        StatusCode::OK => Ending::Succeeded,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if unrun => Ending::Full,
        _ => Ending::Error,
    }
}

fn message(call: &Call, to: SocketAddr, wait: Tenths) -> Request<Full<Bytes>> {
    let mut uri = hyper::http::uri::Parts::default();
    uri.scheme = Some(Scheme::HTTP);
    uri.authority = Some(to.to_string().parse::<Authority>().expect("a socket address"));
    uri.path_and_query = Some(call.target.clone());
    let mut message = Request::new(Full::new(call.body.clone()));
    *message.method_mut() = call.method.clone();
    *message.uri_mut() = Uri::from_parts(uri).expect("an address and a path make a target");
    *message.headers_mut() = call.headers.clone();
    message.headers_mut().insert(TIME_LIMIT, (wait.0 / 10).max(1).into());
    message
}

/// Of a load report the module takes the number of invocations in work; the report's other figures tell it
/// nothing.
fn reported_in_flight(report: &str) -> Option<f64> {
    let pairs = report.split(',').filter_map(|pair| pair.split_once('='));
    let value = pairs.filter(|(name, _)| IN_FLIGHT.contains(&name.trim())).map(|(_, value)| value).next()?;
    value.trim().parse().ok().filter(|n: &f64| (0.0..=IN_FLIGHT_MAX).contains(n))
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;

    #[rstest]
    fn kept_connections_that_mostly_break_are_seldom_used_until_they_stand_again() {
        let mut keeping = Keeping::default();
        let used = |keeping: &mut Keeping, broke: bool| {
            let used = (0..240).filter(|_| keeping.pays() && (keeping.note(broke), true).1);
            used.count()
        };
        assert_eq!(used(&mut keeping, false), 240);
        assert!(used(&mut keeping, true) < 30);
        for _ in 0..20 {
            used(&mut keeping, false);
        }
        assert_eq!(used(&mut keeping, false), 240);
    }

    /// The settings say rif where the protocol's example says inflight; looking for one of them, none was read.
    #[rstest]
    #[case::as_the_settings_name_it("rif=1.044,busy=0.020", Some(1.044))]
    #[case::as_the_page_names_it("inflight=7,queue=2,util=0.61", Some(7.0))]
    #[case::other_figures_only("busy=0.5", None)]
    #[case::no_figure("rif=many", None)]
    #[case::no_number("rif=NaN", None)]
    #[case::below_none("rif=-1", None)]
    #[case::absurd("rif=1e18", None)]
    #[case::garbage(";;;", None)]
    fn a_load_report_is_read_or_dropped(#[case] report: &str, #[case] in_flight: Option<f64>) {
        assert_eq!(reported_in_flight(report), in_flight);
    }
}
