//! Interface between the decision module and the program that hosts it: identifiers, time, the [`Facts`]
//! given at start and the effects of the [`Host`] trait.

use std::ops::{Add, Sub};

pub use smol_str::SmolStr;

/// Tenths of a millisecond: a point in time on the host's clock or a duration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Tenths(pub i64);

impl Tenths {
    /// Later than any reachable point in time; small enough that adding a duration does not overflow.
    pub const NEVER: Tenths = Tenths(i64::MAX / 4);

    /// Converts whole milliseconds; values out of range become the nearest one in it.
    pub const fn ms(ms: i64) -> Self {
        Tenths(ms.saturating_mul(10))
    }
    /// Converts milliseconds, rounding down to a tenth.
    pub fn floor_ms(ms: f64) -> Self {
        Tenths((ms * 10.0).floor() as i64)
    }
    /// Converts milliseconds, rounding up to a tenth.
    pub fn ceil_ms(ms: f64) -> Self {
        Tenths((ms * 10.0).ceil() as i64)
    }
    /// Converts to seconds.
    pub fn as_secs(self) -> f64 {
        self.0 as f64 / 10_000.0
    }
    /// Multiplies by `factor`, rounding down to a tenth of a millisecond.
    pub fn scale(self, factor: f64) -> Self {
        Tenths((self.0 as f64 * factor).floor() as i64)
    }
}

impl Add for Tenths {
    type Output = Tenths;
    fn add(self, other: Tenths) -> Tenths {
        Tenths(self.0.saturating_add(other.0))
    }
}

impl Sub for Tenths {
    type Output = Tenths;
    fn sub(self, other: Tenths) -> Tenths {
        Tenths(self.0.saturating_sub(other.0))
    }
}

/// Identifier of an invocation, unique while the invocation is known to the host.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct InvId(pub SmolStr);

/// Identifier of a pod. A later process may reuse it; start time and build distinguish the two.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PodId(pub u32);

/// Hash of the object that an invocation concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct KeyId(pub u64);

/// Build number; a higher number is a newer build.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Build(pub u16);

/// Index of a sidecar among all sidecars.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Peer(pub usize);

/// Index into [`Facts::operations`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Op(pub usize);

/// Index of a zone in the host's list of zones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Zone(pub usize);

/// Index of a machine kind in the host's list; below [`Facts::machine_kinds`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct MachineKind(pub usize);

/// Group of pods that share one deduplication store ([`DedupScope::Cell`]).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Cell(pub u32);

/// Whether an operation may be dispatched again after an earlier dispatch may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// Always.
    Idempotent,
    /// Only within [`Operation::dedup_window`] and [`Operation::dedup_scope`] of the first dispatch that may
    /// have been executed, since pods recognise a repeated fingerprint there.
    Fingerprinted,
    /// Never.
    SideEffecting,
}

/// Pods among which a repeated fingerprint is recognised.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All pods.
    All,
    /// Pods of the same zone.
    Zone,
    /// Pods of the same cell.
    Cell,
}

/// How a dispatch ended, or how a call to the platform ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// A usable answer arrived.
    Succeeded,
    /// The pod answered with an error.
    Error,
    /// The pod refused for lack of capacity, without executing.
    Full,
    /// No answer by the time limit.
    TimedOut,
    /// No connection could be opened.
    NoConnection,
    /// The connection broke after the dispatch was sent.
    Reset,
    /// Cancelled by [`Host::cancel`].
    Cancelled,
    /// Never sent, because it no longer applied.
    Moot,
}

impl Ending {
    /// Whether this ending proves that the pod did not execute the dispatch.
    pub fn proves_not_executed(self) -> bool {
        matches!(self, Ending::Full | Ending::NoConnection | Ending::Moot)
    }
}

/// State of a pod in the pod list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// Takes dispatches.
    Up,
    /// Finishes what it has and takes nothing new.
    Draining,
    /// Gone.
    Gone,
}

/// Phase of a release.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The build is on trial in a stage.
    Trial,
    /// The build is being rolled back.
    GoingBack,
    /// The build passed its last stage.
    Released,
    /// The rollback is complete.
    Withdrawn,
}

/// What a vote asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Advance to the next stage.
    On,
    /// Stay in this stage.
    Hold,
    /// Roll back.
    Back,
}

/// Settings of one operation.
#[derive(Clone, Debug)]
pub struct Operation {
    /// Whether it may be dispatched again.
    pub retry_safety: RetrySafety,
    /// Pods that recognise a repeated fingerprint.
    pub dedup_scope: DedupScope,
    /// An answer counts towards the SLO if it takes no longer than this.
    pub slo_time: Tenths,
    /// How long after the first dispatch a repeated fingerprint is recognised.
    pub dedup_window: Tenths,
    /// Value billed for a succeeded invocation, or for a unit of its work
    /// ([`Facts::billed_value_per_work`]).
    pub billed_value: f64,
}

/// Settings that hold for the lifetime of a [`Balancer`](crate::balance::Balancer).
#[derive(Clone, Debug, Default)]
pub struct Facts {
    /// Index of this sidecar.
    pub own_peer: Peer,
    /// Number of sidecars, this one included.
    pub sidecar_count: usize,
    /// Zone of this sidecar.
    pub zone: Zone,
    /// Number of machine kinds.
    pub machine_kinds: usize,
    /// Operations, indexed by [`Op`].
    pub operations: Vec<Operation>,
    /// Longest time that a client waits for its answer, over all operations; zero if it is not known.
    pub longest_time_limit: Tenths,
    /// `billed_value` is per unit of work instead of per invocation.
    pub billed_value_per_work: bool,
    /// Most dispatches of one invocation.
    pub max_dispatches: usize,
    /// An invocation may have several dispatches in flight.
    pub parallel_dispatches: bool,
    /// [`Host::cancel`] may be used.
    pub cancel_allowed: bool,
    /// [`Host::send_to_peer`] may be used.
    pub peer_messages: bool,
    /// Cost of a dispatch to another zone, as a share of its value.
    pub cross_zone_price: f64,
    /// Longest retry-after that a throttled client may be given; zero if none may be given.
    pub max_retry_after: Tenths,
    /// Largest share of traffic, 0 to 1, for a build that the platform has not reported yet.
    pub initial_cap: f64,
    /// Dispatches to the build on trial that may exceed its cap in any window.
    pub cap_burst: f64,
    /// The cap applies to each operation separately instead of to all traffic.
    pub cap_per_operation: bool,
    /// Number of stages, from the first, in which the build on trial gets idempotent operations only.
    pub idempotent_only_stages: u32,
    /// A key that a build has answered must not be sent to an older build, until a rollback.
    pub sticky_keys: bool,
    /// Votes advance a stage; if false, the platform's timer does.
    pub votes_advance: bool,
    /// Shortest time in a stage.
    pub min_stage_time: Tenths,
    /// How long the platform counts a vote; a vote that still holds is repeated after half of this time.
    pub vote_ttl: Tenths,
    /// How long to wait for the answer to a vote before it is repeated.
    pub vote_timeout: Tenths,
    /// Share of wrong answers that clients report.
    pub flag_share: f64,
    /// Capacity of a pod that has just started, as a share of its capacity when warm.
    pub cold_capacity_share: f64,
    /// Time from start to full capacity; capacity grows linearly in between.
    pub warmup_time: Tenths,
    /// Load at which a pod becomes overloaded and fails, as a multiple of its capacity.
    pub overload_multiple: f64,
    /// The pod list must be asked for with [`Host::subscribe`].
    pub must_subscribe: bool,
}

/// Effects of the decision module. Each takes place during the call.
pub trait Host {
    /// Current time; it does not go backwards.
    fn now(&self) -> Tenths;
    /// Sends `inv` to `pod`; without an answer by `until` the dispatch ends as [`Ending::TimedOut`].
    /// Dispatches of one invocation are numbered from zero in the order of these calls.
    fn dispatch(&mut self, inv: &InvId, pod: PodId, until: Tenths);
    /// Answers `inv` as throttled: not executed, or executed without harm; the client may retry after
    /// `retry_after`.
    fn throttle(&mut self, inv: &InvId, retry_after: Tenths);
    /// Answers `inv` as terminated: it may have been executed.
    fn terminate(&mut self, inv: &InvId);
    /// Cancels the dispatch number `nth` of `inv`.
    fn cancel(&mut self, inv: &InvId, nth: usize);
    /// Asks for a call of [`Balancer::on_timer`](crate::balance::Balancer::on_timer) with `token` after
    /// `delay`.
    fn set_timer(&mut self, delay: Tenths, token: u64);
    /// Sends a health probe to `pod`.
    fn probe(&mut self, pod: PodId);
    /// Closes the idle connections to `pod`.
    fn close_idle_connections(&mut self, pod: PodId);
    /// Sends `payload` to one peer, or to all peers if `to` is `None`. Delivery is not guaranteed.
    fn send_to_peer(&mut self, to: Option<Peer>, payload: &[u8]);
    /// Votes on `stage` of `build`.
    fn vote(&mut self, build: Build, stage: u32, verdict: Verdict);
    /// Withdraws an earlier vote.
    fn withdraw_vote(&mut self, build: Build, stage: u32);
    /// Starts or stops the stream of changes to the pod list.
    fn subscribe(&mut self, wanted: bool);
    /// Asks for the complete pod list.
    fn reload_pod_list(&mut self);
    /// Writes `message` to the log.
    fn log(&mut self, message: &str);
}
