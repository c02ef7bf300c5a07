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
    pub fn floor(ms: f64) -> Self {
        Tenths((ms * 10.0).floor() as i64)
    }
    pub fn ceil(ms: f64) -> Self {
        Tenths((ms * 10.0).ceil() as i64)
    }
    pub fn secs(self) -> f64 {
        self.0 as f64 / 10_000.0
    }
    pub fn part(self, share: f64) -> Self {
        Tenths((self.0 as f64 * share).floor() as i64)
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
pub struct Kind(pub usize);

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Cell(pub u32);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    Idempotent,
    Fingerprinted,
    SideEffecting,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
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
    pub fn proves_unrun(self) -> bool {
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
    pub repeat: Repeat,
    pub group: Group,
    pub slo_time: Tenths,
    pub repeat_window: Tenths,
    pub billed_value: f64,
}

#[derive(Clone, Debug, Default)]
pub struct Facts {
    pub me: Peer,
    pub sidecars: usize,
    pub zone: Zone,
    pub kinds: usize,
    pub operations: Vec<Operation>,
    pub value_by_work: bool,
    pub dispatches_max: usize,
    pub second_copies: bool,
    pub may_cancel: bool,
    pub peers: bool,
    pub crossing_price: f64,
    pub stay_away_max: Tenths,
    pub first_cap: f64,
    pub spare: f64,
    pub cap_by_operation: bool,
    pub guarded_stages: u32,
    pub one_way_keys: bool,
    pub votes_move: bool,
    pub stage_min: Tenths,
    pub vote_life: Tenths,
    pub vote_wait: Tenths,
    pub flag_share: f64,
    pub cold_share: f64,
    pub warm_after: Tenths,
    pub fall_multiple: f64,
    pub must_subscribe: bool,
}

/// Where effects go; each takes place at once.
pub trait Host {
    fn now(&self) -> Tenths;
    fn dispatch(&mut self, inv: &InvId, pod: PodId, until: Tenths);
    fn throttle(&mut self, inv: &InvId, stay_away: Tenths);
    fn terminate(&mut self, inv: &InvId);
    fn cancel(&mut self, inv: &InvId, nth: usize);
    fn wake_in(&mut self, delay: Tenths, token: u64);
    fn probe(&mut self, pod: PodId);
    fn drop_idle(&mut self, pod: PodId);
    fn tell(&mut self, to: Option<Peer>, words: &[u8]);
    fn vote(&mut self, build: Build, stage: u32, verdict: Verdict);
    fn withdraw_vote(&mut self, build: Build, stage: u32);
    fn subscribe(&mut self, wanted: bool);
    fn reload(&mut self);
    fn log(&mut self, words: &str);
}
