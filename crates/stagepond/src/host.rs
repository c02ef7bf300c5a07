//! What the decision module is told and may do: ids, time, the facts given at start and [`Host`].

use std::ops::{Add, Sub};

pub use smol_str::SmolStr;

/// Tenths of a millisecond, as a moment of the host's clock or as a span of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Tenths(pub i64);

impl Tenths {
    pub const NEVER: Tenths = Tenths(i64::MAX / 4);

    pub const fn ms(ms: i64) -> Self {
        Tenths(ms * 10)
    }
    pub fn floor_ms(ms: f64) -> Self {
        Tenths((ms * 10.0).floor() as i64)
    }
    pub fn ceil_ms(ms: f64) -> Self {
        Tenths((ms * 10.0).ceil() as i64)
    }
    pub fn as_secs(self) -> f64 {
        self.0 as f64 / 10_000.0
    }
    pub fn scale(self, factor: f64) -> Self {
        Tenths((self.0 as f64 * factor).floor() as i64)
    }
}

impl Add for Tenths {
    type Output = Tenths;
    fn add(self, other: Tenths) -> Tenths {
        Tenths(self.0 + other.0)
    }
}

impl Sub for Tenths {
    type Output = Tenths;
    fn sub(self, other: Tenths) -> Tenths {
        Tenths(self.0 - other.0)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct InvId(pub SmolStr);

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PodId(pub u32);

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct KeyId(pub u64);

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Build(pub u16);

/// Position among the sidecars.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Peer(pub usize);

/// Position in [`Facts::operations`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Op(pub usize);

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Zone(pub usize);

/// Position among the machine kinds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct MachineKind(pub usize);

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Cell(pub u32);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    Idempotent,
    Fingerprinted,
    SideEffecting,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    Succeeded,
    Error,
    Full,
    TimedOut,
    NoConnection,
    Reset,
    Cancelled,
    Moot,
}

impl Ending {
    pub fn proves_not_executed(self) -> bool {
        matches!(self, Ending::Full | Ending::NoConnection | Ending::Moot)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    Up,
    Draining,
    Gone,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Trial,
    GoingBack,
    Released,
    Withdrawn,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    On,
    Hold,
    Back,
}

#[derive(Clone, Debug)]
pub struct Operation {
    pub retry_safety: RetrySafety,
    pub dedup_scope: DedupScope,
    pub slo_time: Tenths,
    pub dedup_window: Tenths,
    pub billed_value: f64,
}

#[derive(Clone, Debug, Default)]
pub struct Facts {
    pub own_peer: Peer,
    pub sidecar_count: usize,
    pub zone: Zone,
    pub machine_kinds: usize,
    pub operations: Vec<Operation>,
    pub billed_value_per_work: bool,
    pub max_dispatches: usize,
    pub parallel_dispatches: bool,
    pub cancel_allowed: bool,
    pub peer_messages: bool,
    pub cross_zone_price: f64,
    pub max_retry_after: Tenths,
    pub initial_cap: f64,
    pub cap_burst: f64,
    pub cap_per_operation: bool,
    pub idempotent_only_stages: u32,
    pub sticky_keys: bool,
    pub votes_advance: bool,
    pub min_stage_time: Tenths,
    pub vote_ttl: Tenths,
    pub vote_timeout: Tenths,
    pub flag_share: f64,
    pub cold_capacity_share: f64,
    pub warmup_time: Tenths,
    pub overload_multiple: f64,
    pub must_subscribe: bool,
}

/// Where effects go; each takes place at once.
pub trait Host {
    fn now(&self) -> Tenths;
    fn dispatch(&mut self, inv: &InvId, pod: PodId, until: Tenths);
    fn throttle(&mut self, inv: &InvId, retry_after: Tenths);
    fn terminate(&mut self, inv: &InvId);
    fn cancel(&mut self, inv: &InvId, nth: usize);
    fn set_timer(&mut self, delay: Tenths, token: u64);
    fn probe(&mut self, pod: PodId);
    fn close_idle_connections(&mut self, pod: PodId);
    fn send_to_peer(&mut self, to: Option<Peer>, payload: &[u8]);
    fn vote(&mut self, build: Build, stage: u32, verdict: Verdict);
    fn withdraw_vote(&mut self, build: Build, stage: u32);
    fn subscribe(&mut self, wanted: bool);
    fn reload_pod_list(&mut self);
    fn log(&mut self, message: &str);
}
