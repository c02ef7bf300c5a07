//! The small typed values that pass between the sockets and the reducer, and the clock they are stamped by.
//! A message is decoded into one of these once, where it came in. Nothing here reads, writes or decides.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use hyper::http::uri::PathAndQuery;
use hyper::{HeaderMap, Method};
use stagepond::host::*;
use stagepond_leadership::lease::LeaderLease;

/// The longest body of an invocation or an answer.
pub const BODY_MAX: usize = 64 << 10;

pub fn duration(t: Tenths) -> std::time::Duration {
    std::time::Duration::from_micros(t.0.max(0) as u64 * 100)
}

/// An invocation as the front counts them; the client's own id may come twice, this one never does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// The id that the client gave its invocation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClientId(pub SmolStr);

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct DispatchId(pub u64);

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PodName(pub SmolStr);

/// What of an invocation goes on to a pod as it came.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    pub method: Method,
    pub target: PathAndQuery,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// What of a pod's answer goes back to the client as it came.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Reply {
    pub headers: HeaderMap,
    pub body: Bytes,
}

#[derive(Clone, Debug, PartialEq)]
pub enum FinalAnswer {
    Succeeded(Reply),
    Throttled {
        stay_away: Tenths,
    },
    Terminated,
    /// Another invocation with the same id is still known.
    IdTaken,
    /// Pods answered, and no answer was what was signed: the check that failed.
    Unverified {
        failed: &'static str,
        /// Asking again is harmless, and when to.
        stay_away: Option<Tenths>,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    pub name: PodName,
    pub address: SocketAddr,
    pub zone: Zone,
    pub kind: MachineKind,
    pub cell: Cell,
    pub availability: Availability,
    pub weight: f64,
    pub born: Option<Tenths>,
    pub build: Build,
}

#[derive(Clone, Debug, PartialEq)]
pub struct List {
    pub index: u64,
    pub whole: bool,
    pub rows: Vec<Row>,
}

/// How the newest build stands, and for how long it has stood so.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Standing {
    pub build: Build,
    pub stage: u32,
    pub phase: Phase,
    pub cap: f64,
    pub since: Tenths,
}

/// How a dispatch ended, as its connection showed it.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub ending: Ending,
    pub at: Tenths,
    pub in_flight: Option<f64>,
    pub reply: Reply,
    /// The pod said that there is no such thing.
    pub absent: bool,
}

/// Where discovery and the platform are: what a new configuration may change while the program runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Places {
    pub discovery: SocketAddr,
    pub platform: Option<SocketAddr>,
}

/// What a new configuration may change while the program runs.
#[derive(Clone, Debug)]
pub struct Changes {
    pub places: Places,
    /// The operators' word on leadership, where it is on: keys and frozen builds count anew.
    pub leadership: Option<crate::operators::Leadership>,
}

#[derive(Clone, Debug)]
pub enum Input {
    Arrived {
        ticket: Ticket,
        id: ClientId,
        call: Arc<Call>,
        op: Op,
        until: Tenths,
    },
    Left(Ticket),
    Ended(DispatchId, Outcome),
    Listed(List),
    ListBroke,
    Standing(Standing),
    VoteAnswered(Result<Standing, Ending>),
    Disputed {
        pod: PodName,
        op: Op,
        age: Tenths,
    },
    Mail {
        from: Peer,
        words: Vec<u8>,
    },
    /// Time has passed; what is due by now is done.
    Tick,
    /// The configuration may have been replaced.
    Hangup,
    /// What the file says now, or what is wrong with it.
    Reread(Result<Changes, String>),
    /// The promises of this number are on the disk.
    Kept(u64),
    Leave,
    ListenerClosed,
    FrontEmpty,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Dispatch {
        id: DispatchId,
        call: Arc<Call>,
        to: SocketAddr,
        wait: Tenths,
    },
    GiveUp(DispatchId),
    Answer(Ticket, FinalAnswer),
    DropIdle(SocketAddr),
    Tell {
        to: Option<Peer>,
        words: Vec<u8>,
    },
    Vote {
        build: Build,
        stage: u32,
        verdict: Option<Verdict>,
        /// Where one leads: leave to cast it, to be shown to the clock in the last step before the write.
        mandate: Option<LeaderLease>,
    },
    /// Promises to be written whole and flushed, then answered by `Kept`.
    Keep {
        number: u64,
        promises: Vec<u8>,
    },
    Note(crate::leading::Note),
    Told(crate::verifying::Told),
    /// What is trusted of the metadata, to be written whole.
    KeepTrusted(stagepond_tuf::client::Kept),
    /// Ask discovery for the whole list once more.
    WholeList,
    /// Read the configuration file again and tell what it says.
    Reread,
    /// Discovery, or the platform, is here from now on.
    Discovery(SocketAddr),
    Platform(Option<SocketAddr>),
    /// Take what waits to be accepted, then close.
    CloseListener,
    Log(String),
    Enter(crate::lifecycle::State),
}

/// Unix time in tenths of a millisecond, read from the system once and carried on by the monotonic clock: a
/// step of the wall clock must not move time limits.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    unix: Tenths,
    started: Instant,
}

impl Clock {
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { unix: Tenths((unix.as_micros() / 100) as i64), started: Instant::now() }
    }

    pub fn now(&self) -> Tenths {
        self.unix + Tenths((self.started.elapsed().as_micros() / 100) as i64)
    }

    /// The first instant at which `now` has come to this.
    pub fn instant(&self, at: Tenths) -> Instant {
        self.started + std::time::Duration::from_micros(((at - self.unix).0.max(0) * 100) as u64)
    }
}
