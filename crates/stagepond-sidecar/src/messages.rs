//! Typed messages between the I/O tasks and the reducer, and the clock that timestamps them.
//!
//! A message is decoded into one of these types once, by the task that received it. This module does no I/O
//! and makes no decisions.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use hyper::http::uri::PathAndQuery;
use hyper::{HeaderMap, Method};
use stagepond::host::*;
use stagepond_leadership::lease::LeaderLease;

/// Longest body of an invocation or of a pod's response, in bytes.
pub const MAX_BODY_BYTES: usize = 64 << 10;

/// Converts a time span to [`std::time::Duration`]; a negative span becomes zero.
pub fn to_std_duration(span: Tenths) -> std::time::Duration {
    std::time::Duration::from_micros(span.0.max(0) as u64 * 100)
}

/// Number that this process gives an invocation, logged as `ticket`. It is never reused, whereas a client may
/// send the same [`RequestId`] twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct InvocationNumber(pub u64);

impl InvocationNumber {
    /// Numbers from here on belong to the reducer's own invocations; clients' numbers never get this high.
    pub const FIRST_INTERNAL: InvocationNumber = InvocationNumber(1 << 62);

    /// Whether no client waits for this invocation.
    pub fn is_internal(self) -> bool {
        self >= InvocationNumber::FIRST_INTERNAL
    }
}

/// Id that the client gave its invocation (`X-Request-ID`).
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RequestId(pub SmolStr);

/// Number of a dispatch, unique within this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct DispatchId(pub u64);

/// Name under which discovery lists a pod.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PodName(pub SmolStr);

/// The parts of an invocation that are forwarded to a pod unchanged.
#[derive(Clone, Debug, PartialEq)]
pub struct ForwardedRequest {
    /// GET for an idempotent operation, POST for any other.
    pub method: Method,
    /// Path and query.
    pub target: PathAndQuery,
    /// Headers without those that concern a single connection.
    pub headers: HeaderMap,
    /// The body in full, at most [`MAX_BODY_BYTES`] long.
    pub body: Bytes,
}

/// The parts of a pod's response that are returned to the client unchanged.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ForwardedResponse {
    /// All headers of the pod's response; the frontend removes those that concern a single connection.
    pub headers: HeaderMap,
    /// The body in full, at most [`MAX_BODY_BYTES`] long.
    pub body: Bytes,
}

/// The one answer that a client gets to an invocation.
#[derive(Clone, Debug, PartialEq)]
pub enum FinalAnswer {
    /// A pod ran the invocation and responded with 200.
    Succeeded(ForwardedResponse),
    /// The invocation did not run, or running it again does no harm.
    Throttled {
        /// How long the client should wait before a retry.
        retry_after: Tenths,
    },
    /// The invocation failed and may have run.
    Terminated,
    /// Another invocation with the same request id is still being handled.
    RequestIdInUse,
    /// An earlier invocation with the same request id may have run, and a second run could do harm.
    MayHaveRun,
    /// Pods responded to an invocation of a verified operation, but no response matched the signed metadata.
    Unverified {
        /// Name of the check that failed.
        failed_check: &'static str,
        /// Set if a retry is harmless: the time span to wait before it.
        retry_after: Option<Tenths>,
    },
}

/// One pod as discovery lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct PodEntry {
    /// Identifies the pod from one list to the next.
    pub name: PodName,
    /// Where the pod accepts dispatches.
    pub address: SocketAddr,
    /// Zone that the pod runs in.
    pub zone: Zone,
    /// Kind of machine that the pod runs on.
    pub machine_kind: MachineKind,
    /// Cell that the pod belongs to; the field `group` of the list.
    pub cell: Cell,
    /// Whether the pod takes dispatches.
    pub availability: Availability,
    /// Capacity relative to other pods.
    pub weight: f64,
    /// When the pod's process started, if discovery knows.
    pub started_at: Option<Tenths>,
    /// Build that the pod runs.
    pub build: Build,
}

/// A message of discovery: all pods, or those that changed.
#[derive(Clone, Debug, PartialEq)]
pub struct PodList {
    /// Discovery's version of the list.
    pub index: u64,
    /// True if pods that are missing from `pods` no longer exist; false if `pods` holds changes only.
    pub is_snapshot: bool,
    /// The pods, in the order of the message.
    pub pods: Vec<PodEntry>,
}

/// State of the newest build's rollout, as the platform reports it.
#[derive(Clone, Copy, PartialEq)]
pub struct RolloutStatus {
    /// The newest build.
    pub build: Build,
    /// Stage of the rollout, from 0.
    pub stage: u32,
    /// Whether the build is on trial, released, being rolled back or rolled back.
    pub phase: Phase,
    /// Greatest share of invocations that the build may get, from 0 to 1.
    pub cap: f64,
    /// How long ago the rollout entered this stage and phase.
    pub age: Tenths,
}

/// Keeps the names `Standing` and `since`, which log readers match.
impl fmt::Debug for RolloutStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Standing")
            .field("build", &self.build)
            .field("stage", &self.stage)
            .field("phase", &self.phase)
            .field("cap", &self.cap)
            .field("since", &self.age)
            .finish()
    }
}

/// How a dispatch ended, as observed on its connection.
#[derive(Clone, Debug)]
pub struct DispatchOutcome {
    /// How the dispatch ended.
    pub ending: Ending,
    /// When the last bytes of the response arrived or, without a response, when the end was noticed.
    pub ended_at: Tenths,
    /// Number of invocations in progress at the pod, if it reported one.
    pub in_flight: Option<f64>,
    /// The pod's response; empty if no complete one arrived.
    pub response: ForwardedResponse,
    /// The pod responded with 404 Not Found.
    pub not_found: bool,
}

/// Addresses of discovery and of the platform. A configuration reload may change them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceAddresses {
    /// Address of discovery, which lists the pods.
    pub discovery: SocketAddr,
    /// Address of the platform, which rolls out builds; `None` if there is none.
    pub platform: Option<SocketAddr>,
}

/// The part of the configuration that a reload may change.
#[derive(Clone, Debug)]
pub struct ReloadableConfig {
    /// Addresses of discovery and the platform.
    pub addresses: ServiceAddresses,
    /// The operators' leadership settings, if leadership is on; its keys and frozen builds are applied again.
    pub leadership: Option<crate::operators::LeadershipConfig>,
}

/// An input of the reducer. The event loop passes the time at which it is applied along with it.
#[derive(Clone, Debug)]
pub enum Input {
    /// A client sent an invocation; it is complete and its head is valid.
    InvocationReceived {
        /// Number that the frontend gave the invocation.
        number: InvocationNumber,
        /// Id that the client gave it.
        request_id: RequestId,
        /// What is forwarded to a pod.
        request: Arc<ForwardedRequest>,
        /// The operation.
        op: Op,
        /// End of the client's time limit.
        deadline: Tenths,
    },
    /// The client disconnected before its answer.
    ClientDisconnected(InvocationNumber),
    /// The client has sent so much ahead that it can't be seen whether it has left.
    ClientHidden(InvocationNumber),
    /// A dispatch ended or could not be sent. Has no effect if the reducer has aborted it in the meantime.
    DispatchEnded(DispatchId, DispatchOutcome),
    /// Discovery sent the pod list or a change to it.
    PodListReceived(PodList),
    /// The connection to discovery broke; it is being opened again.
    DiscoveryDisconnected,
    /// The platform's event stream reported a status.
    RolloutStatusReceived(RolloutStatus),
    /// The platform's answer to a vote, or how the request ended without one.
    VoteAnswered(Result<RolloutStatus, Ending>),
    /// The platform reported that an earlier answer was wrong.
    AnswerDisputed {
        /// The pod that gave the answer.
        pod: PodName,
        /// Operation of the invocation.
        op: Op,
        /// How long ago the answer was given.
        age: Tenths,
    },
    /// A datagram arrived from the address of another sidecar.
    PeerDatagram {
        /// Index of the sidecar.
        from: Peer,
        /// The bytes as they arrived; their content is not checked yet.
        payload: Vec<u8>,
    },
    /// Time has passed; everything that is due by now runs.
    Tick,
    /// SIGHUP: the configuration file may have been replaced.
    ReloadRequested,
    /// The configuration file as it is now, or what is wrong with it.
    ConfigRead(Result<ReloadableConfig, String>),
    /// The Raft state with this number is on disk; it includes every earlier one.
    RaftStatePersisted(u64),
    /// SIGTERM or SIGINT.
    ShutdownRequested,
    /// The listener is closed, and the connections that were queued on it have been accepted.
    ListenerClosed,
    /// During the shutdown, no client connection is open.
    AllClientsDisconnected,
}

/// What the reducer asks the event loop to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a request to a pod.
    Dispatch {
        /// Number of the dispatch, for its outcome.
        id: DispatchId,
        /// The invocation. Nothing is sent if its client has left.
        number: InvocationNumber,
        /// The request, without its time limit.
        request: Arc<ForwardedRequest>,
        /// Address of the pod.
        to: SocketAddr,
        /// Time limit that is sent to the pod. The reducer ends the dispatch itself when it has passed.
        timeout: Tenths,
    },
    /// Close the dispatch's connection; its outcome is no longer wanted.
    AbortDispatch(DispatchId),
    /// Close the dispatch's connection unless a byte of the request was written; its outcome is then
    /// [`Ending::Moot`].
    WithdrawDispatch(DispatchId),
    /// Answer an invocation.
    Answer(InvocationNumber, FinalAnswer),
    /// Close the idle connections to this pod address; busy ones close after their dispatch.
    CloseIdleConnections(SocketAddr),
    /// Send a datagram.
    SendDatagram {
        /// The receiver; `None` for all peers.
        to: Option<Peer>,
        /// The bytes to send.
        payload: Vec<u8>,
    },
    /// Cast a vote on a trial, or withdraw it.
    CastVote {
        /// The build on trial.
        build: Build,
        /// Stage that the vote is about.
        stage: u32,
        /// The vote; `None` withdraws an earlier one.
        verdict: Option<Verdict>,
        /// Set if leadership is on: the leader's lease, checked against the clock immediately before the
        /// request is written.
        lease: Option<LeaderLease>,
    },
    /// Write this Raft state to disk in full and flush it, then report [`Input::RaftStatePersisted`].
    PersistRaftState {
        /// Sequence number of the state.
        number: u64,
        /// The encoded [`PersistentState`](stagepond_leadership::raft::PersistentState).
        state: Vec<u8>,
    },
    /// Log an event of leadership.
    LogLeadershipEvent(crate::leadership::LeadershipEvent),
    /// Log an event of metadata verification.
    LogVerificationEvent(crate::verification::VerificationEvent),
    /// Write the trusted metadata to disk in full.
    PersistTrustedMetadata(stagepond_tuf::client::TrustedState),
    /// Ask discovery for the full pod list again.
    RequestPodSnapshot,
    /// Read the configuration file again and report [`Input::ConfigRead`].
    ReadConfig,
    /// Connect to discovery at this address from now on.
    SetDiscoveryAddress(SocketAddr),
    /// Connect to the platform at this address from now on; `None` if there is none.
    SetPlatformAddress(Option<SocketAddr>),
    /// Refuse the requests that have been received in part.
    RefuseUnfinishedRequests,
    /// Accept the connections that are still queued, then close the listener.
    CloseListener,
    /// Log this line at level info.
    Log(String),
    /// Log the new lifecycle state and do what it requires of the frontend.
    EnterState(crate::lifecycle::State),
}

/// Unix time in tenths of a millisecond, read from the system once and advanced by the monotonic clock, so
/// that a step of the wall clock does not move time limits.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    unix_at_start: Tenths,
    started: Instant,
}

impl Clock {
    /// Reads the wall clock; all later times count from here.
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { unix_at_start: Tenths((unix.as_micros() / 100) as i64), started: Instant::now() }
    }

    /// Current time.
    pub fn now(&self) -> Tenths {
        self.unix_at_start + Tenths((self.started.elapsed().as_micros() / 100) as i64)
    }

    /// Earliest instant at which [`Clock::now`] returns `at` or later.
    pub fn to_instant(&self, at: Tenths) -> Instant {
        self.started + std::time::Duration::from_micros(((at - self.unix_at_start).0.max(0) * 100) as u64)
    }
}
