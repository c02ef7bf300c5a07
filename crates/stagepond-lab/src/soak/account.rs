//! The account of a run: what each recorded request, each pod's count and each exit shows about the sidecar.

use std::collections::HashMap;
use std::fmt;
use std::time::{Duration, Instant};

use super::client::{Ending, Record};
use super::environment::PodRecord;

/// A request counts as sent in full long after SIGTERM, on a connection of about that moment, if the
/// connection was opened this long after SIGTERM. Clients that keep to the protocol do not connect so late.
const LATE_CONNECTION: Duration = Duration::from_millis(500);

/// An attempt that begins longer than this after its client has left is a fault (STANDING.md).
const LEAVE_GRACE: Duration = Duration::from_millis(100);

/// Kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultKind {
    /// A whole request on a connection that had carried others ended without a byte of an answer.
    LostOnOpenConnection,
    /// A request sent in pieces ended without a byte of an answer.
    LostWhileSending,
    /// A request on a connection opened long after SIGTERM ended without a byte of an answer.
    LostOnLateConnection,
    /// The first request on a connection ended without a byte of an answer.
    LostOnNewConnection,
    /// An answer was cut short.
    Truncated,
    /// No whole answer in time.
    Unanswered,
    /// A pod got an attempt after its client had left.
    SentAfterClientLeft,
    /// The process held more memory than its configuration allows.
    AboveMemoryLimit,
    /// Pods ran an order more than once.
    RanTwice,
    /// An order was answered with 200 and no pod ran it.
    NeverRan,
    /// An answer had a status other than 200, 429, 503 and 502.
    UnexpectedStatus,
    /// A request whose pods answer at once was answered with 502 before its time limit was over.
    FailedWithWellPods,
    /// The sidecar was still running when it was killed.
    Killed,
    /// The sidecar exited with an error or by a signal.
    Crashed,
    /// The sidecar did not become ready.
    NotReady,
}

/// One fault, with what is needed to find it.
#[derive(Clone, Debug)]
pub struct Fault {
    /// Its kind.
    pub kind: FaultKind,
    /// Seed of the run.
    pub seed: u64,
    /// What was seen.
    pub detail: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "seed {}: {:?}: {}", self.seed, self.kind, self.detail)
    }
}

/// The moments of one restart.
#[derive(Clone, Copy, Debug)]
pub struct RestartTimes {
    /// The first SIGTERM.
    pub terminated_at: Instant,
    /// When the successor that serves on was ready.
    pub ready_at: Instant,
}

/// What the account needs to know of the run beside its records.
pub struct RunContext<'a> {
    /// Seed of the run.
    pub seed: u64,
    /// The crowd of the run, as the details of its faults name it.
    pub crowd: String,
    /// Whether pods answer every invocation at once.
    pub well_pods: bool,
    /// The restarts in order.
    pub restarts: &'a [RestartTimes],
    /// What pods did with each request.
    pub pod_records: &'a HashMap<String, PodRecord>,
}

impl RunContext<'_> {
    /// The restart during which a request was sent, if any.
    pub fn restart_of(&self, record: &Record) -> Option<&RestartTimes> {
        self.restarts.iter().find(|r| r.terminated_at <= record.sent_at && record.sent_at < r.ready_at)
    }

    /// Judges one record.
    pub fn check(&self, record: &Record) -> Option<Fault> {
        let kind = self.fault_of_ending(record).or_else(|| self.fault_of_order(record))?;
        Some(Fault { kind, seed: self.seed, detail: self.describe(record) })
    }

    fn fault_of_ending(&self, record: &Record) -> Option<FaultKind> {
        match record.ending {
            Ending::ConnectionEnded { received: 0 } | Ending::EndedWhileSending => {
                Some(self.kind_of_loss(record))
            }
            Ending::ConnectionEnded { .. } => Some(FaultKind::Truncated),
            Ending::Unanswered => Some(FaultKind::Unanswered),
            Ending::Left => self.is_sent_after_left(record).then_some(FaultKind::SentAfterClientLeft),
            Ending::Answered { status: 200 | 429 | 503 } => None,
            Ending::Answered { status: 502 } => {
                let early = record.ended_at - record.sent_at < record.limit;
                (early && self.well_pods).then_some(FaultKind::FailedWithWellPods)
            }
            Ending::Answered { .. } => Some(FaultKind::UnexpectedStatus),
        }
    }

    fn kind_of_loss(&self, record: &Record) -> FaultKind {
        let late = self.restarts.iter().any(|restart| {
            let at = restart.terminated_at + LATE_CONNECTION;
            at <= record.connected_at && record.connected_at < restart.ready_at
        });
        if record.piece_pause.is_some() {
            FaultKind::LostWhileSending
        } else if late {
            FaultKind::LostOnLateConnection
        } else if record.earlier_requests == 0 {
            FaultKind::LostOnNewConnection
        } else {
            FaultKind::LostOnOpenConnection
        }
    }

    fn is_sent_after_left(&self, record: &Record) -> bool {
        let attempts = self.pod_records.get(&record.id).map_or(&[][..], |pods| &pods.attempts);
        attempts.iter().any(|at| *at > record.ended_at + LEAVE_GRACE)
    }

    fn fault_of_order(&self, record: &Record) -> Option<FaultKind> {
        if !record.is_order {
            return None;
        }
        let runs = self.pod_records.get(&record.id).map_or(0, |pods| pods.runs);
        let succeeded = record.ending == Ending::Answered { status: 200 };
        match runs {
            0 if succeeded => Some(FaultKind::NeverRan),
            0 | 1 => None,
            _ => Some(FaultKind::RanTwice),
        }
    }

    fn describe(&self, record: &Record) -> String {
        let moment = match self.restarts.iter().rfind(|r| r.terminated_at <= record.sent_at) {
            Some(restart) => format!("{:?} after SIGTERM", record.sent_at - restart.terminated_at),
            None => "before the first SIGTERM".to_string(),
        };
        let pieces = match record.piece_pause {
            Some(pause) => format!("in two pieces {pause:?} apart"),
            None => "in one piece".to_string(),
        };
        format!(
            "{}{} sent {moment}, {pieces}, limit {:?}, connection {:?} old with {} earlier requests; {:?} after {:?}",
            self.crowd,
            record.id,
            record.limit,
            record.sent_at - record.connected_at,
            record.earlier_requests,
            record.ending,
            record.ended_at - record.sent_at
        )
    }
}
