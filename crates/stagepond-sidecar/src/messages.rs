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
    pub method: Method,
    pub target: PathAndQuery,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// The parts of a pod's response that are returned to the client unchanged.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ForwardedResponse {
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// The one answer that a client gets to an invocation.
#[derive(Clone, Debug, PartialEq)]
pub enum FinalAnswer {
    Succeeded(ForwardedResponse),
    /// The invocation did not run; the client may retry after this time span.
    Throttled {
        retry_after: Tenths,
    },
    /// The invocation failed and may have run.
    Terminated,
    /// Another invocation with the same request id is still being handled.
    RequestIdInUse,
    /// Pods responded, but no response matched the signed metadata.
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
    pub name: PodName,
    pub address: SocketAddr,
    pub zone: Zone,
    pub machine_kind: MachineKind,
    pub cell: Cell,
    pub availability: Availability,
    /// Capacity relative to other pods.
    pub weight: f64,
    /// When the pod's process started, if discovery knows.
    pub started_at: Option<Tenths>,
    pub build: Build,
}

/// A message of discovery: all pods, or those that changed.
#[derive(Clone, Debug, PartialEq)]
pub struct PodList {
    /// Discovery's version of the list.
    pub index: u64,
    /// True if pods that are missing from `pods` no longer exist; false if `pods` holds changes only.
    pub is_snapshot: bool,
    pub pods: Vec<PodEntry>,
}

/// State of the newest build's rollout, as the platform reports it.
#[derive(Clone, Copy, PartialEq)]
pub struct RolloutStatus {
    pub build: Build,
    pub stage: u32,
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
    pub ending: Ending,
    pub ended_at: Tenths,
    /// Number of invocations in progress at the pod, if it reported one.
    pub in_flight: Option<f64>,
    pub response: ForwardedResponse,
    /// The pod answered 404 Not Found.
    pub not_found: bool,
}

/// Addresses of discovery and of the platform. A configuration reload may change them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceAddresses {
    pub discovery: SocketAddr,
    pub platform: Option<SocketAddr>,
}

/// The part of the configuration that a reload may change.
#[derive(Clone, Debug)]
pub struct ReloadableConfig {
    pub addresses: ServiceAddresses,
    /// The operators' leadership settings, if leadership is on; its keys and frozen builds are applied again.
    pub leadership: Option<crate::operators::LeadershipConfig>,
}

/// What the reducer is told. Each input is applied at a time that the event loop passes with it.
#[derive(Clone, Debug)]
pub enum Input {
    InvocationReceived {
        number: InvocationNumber,
        request_id: RequestId,
        request: Arc<ForwardedRequest>,
        op: Op,
        /// The client's time limit, as a moment of the clock.
        deadline: Tenths,
    },
    /// The client disconnected before its answer.
    ClientDisconnected(InvocationNumber),
    DispatchEnded(DispatchId, DispatchOutcome),
    PodListReceived(PodList),
    DiscoveryDisconnected,
    RolloutStatusReceived(RolloutStatus),
    /// The platform's answer to a vote, or how the request ended without one.
    VoteAnswered(Result<RolloutStatus, Ending>),
    /// A consumer disputed an answer that `pod` gave to an invocation of `op` this long ago.
    AnswerDisputed {
        pod: PodName,
        op: Op,
        age: Tenths,
    },
    PeerDatagram {
        from: Peer,
        payload: Vec<u8>,
    },
    /// Time has passed; everything that is due by now runs.
    Tick,
    /// SIGHUP: the configuration file may have been replaced.
    ReloadRequested,
    /// The configuration file as it is now, or what is wrong with it.
    ConfigRead(Result<ReloadableConfig, String>),
    /// The Raft state with this number, and so every earlier one, is on disk.
    RaftStatePersisted(u64),
    /// SIGTERM or SIGINT.
    ShutdownRequested,
    ListenerClosed,
    AllClientsDisconnected,
}

/// What the reducer asks the event loop to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send the request to the pod at `to`; the pod is told to answer within `timeout`.
    Dispatch {
        id: DispatchId,
        request: Arc<ForwardedRequest>,
        to: SocketAddr,
        timeout: Tenths,
    },
    /// Close the dispatch's connection; its outcome is no longer wanted.
    AbortDispatch(DispatchId),
    Answer(InvocationNumber, FinalAnswer),
    /// Close the idle connections to this pod address; busy ones close after their dispatch.
    CloseIdleConnections(SocketAddr),
    /// Send a datagram to one peer, or to all of them.
    SendDatagram {
        to: Option<Peer>,
        payload: Vec<u8>,
    },
    /// Cast a vote on a trial, or withdraw it if `verdict` is `None`.
    CastVote {
        build: Build,
        stage: u32,
        verdict: Option<Verdict>,
        /// Set if leadership is on: the leader's lease, checked against the clock immediately before the
        /// request is written.
        lease: Option<LeaderLease>,
    },
    /// Write this Raft state to disk in full and flush it, then report [`Input::RaftStatePersisted`] with its
    /// number.
    PersistRaftState {
        number: u64,
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
    /// Accept the connections that are still queued, then close the listener.
    CloseListener,
    Log(String),
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
