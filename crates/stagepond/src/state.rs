//! What a balancer remembers; plain holders without a decision in them.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

use crate::host::*;

/// For how long a machine that is gone keeps its index: longer than any invocation that met it may be open,
/// and than a word against it may take to come.
const GONE_KEPT: Tenths = Tenths::ms(660_000);

/// Pod figures in parallel arrays under a small dense index. A restarted process or a reused id is
/// another machine and gets an index of its own, so nothing learnt of the old one carries over; one that
/// has been gone for long enough gives up its index to the next.
#[derive(Default)]
pub struct Pods {
    pub index: HashMap<PodId, usize>,
    pub id: Vec<PodId>,
    pub kind: Vec<MachineKind>,
    pub zone: Vec<Zone>,
    pub cell: Vec<Cell>,
    pub weight: Vec<f64>,
    pub build: Vec<Build>,
    pub born: Vec<Tenths>,
    pub up: Vec<bool>,
    pub listed: Vec<bool>,
    /// When it was last up.
    pub last_up: Vec<Tenths>,
    pub held: Vec<u32>,
    /// What it may still work on though nobody waits for it any more.
    pub lost: Vec<f64>,
    pub others: Vec<f64>,
    /// How much it errs, and how often it is tardy.
    pub sick: Vec<f64>,
    pub lame: Vec<f64>,
    pub heard: Vec<Tenths>,
    pub shunned_till: Vec<Tenths>,
    pub strikes: Vec<u32>,
    pub cold_at: Vec<Tenths>,
    pub pressed: Vec<(f64, Tenths)>,
    /// An order of this sidecar's own.
    pub rank: Vec<u64>,
}

impl Pods {
    #[allow(clippy::too_many_arguments)]
    pub fn entry(
        &mut self, now: Tenths, id: PodId, kind: MachineKind, zone: Zone, cell: Cell, born: Tenths,
        build: Build, pressed: f64,
    ) -> usize {
        if let Some(&old) = self.index.get(&id) {
            if (self.born[old], self.build[old]) == (born, build) {
                return old;
            }
            self.up[old] = false;
        }
        let p = self.vacant(now).unwrap_or(self.id.len());
        self.index.insert(id, p);
        put(&mut self.id, p, id);
        put(&mut self.kind, p, kind);
        put(&mut self.zone, p, zone);
        put(&mut self.cell, p, cell);
        put(&mut self.weight, p, 1.0);
        put(&mut self.build, p, build);
        put(&mut self.born, p, born);
        put(&mut self.up, p, false);
        put(&mut self.listed, p, true);
        put(&mut self.last_up, p, now);
        put(&mut self.held, p, 0);
        put(&mut self.lost, p, 0.0);
        put(&mut self.others, p, 0.0);
        put(&mut self.sick, p, 0.0);
        put(&mut self.lame, p, 0.0);
        put(&mut self.heard, p, born);
        put(&mut self.shunned_till, p, Tenths(0));
        put(&mut self.strikes, p, 0);
        put(&mut self.cold_at, p, born);
        put(&mut self.pressed, p, (pressed, born));
        put(&mut self.rank, p, pressed.to_bits().wrapping_mul(0x9E37_79B9_7F4A_7C15));
        p
    }

    /// An index whose machine has been gone for long and holds nothing.
    fn vacant(&mut self, now: Tenths) -> Option<usize> {
        let gone = |&p: &usize| !self.up[p] && self.held[p] == 0 && now > self.last_up[p] + GONE_KEPT;
        let p = (0..self.id.len()).find(gone)?;
        if self.index.get(&self.id[p]) == Some(&p) {
            self.index.remove(&self.id[p]);
        }
        Some(p)
    }

    /// Lets what is still worked on in vain ebb by this factor; what is left of it at all pods.
    pub fn ebb(&mut self, by: f64) -> f64 {
        self.lost.iter_mut().for_each(|lost| *lost *= by);
        self.lost.iter().sum()
    }

    pub fn drop_unlisted(&mut self, now: Tenths) {
        for p in 0..self.id.len() {
            self.last_up[p] = if self.up[p] { now } else { self.last_up[p] };
            self.up[p] &= self.listed[p];
        }
    }

    pub fn all_up(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.id.len()).filter(|&p| self.up[p])
    }

    pub fn grouped(&self, group: DedupScope, p: usize, q: usize) -> bool {
        match group {
            DedupScope::All => true,
            DedupScope::Zone => self.zone[p] == self.zone[q],
            DedupScope::Cell => self.cell[p] == self.cell[q],
        }
    }

    /// The machine that had this id at that time.
    pub fn at(&self, id: PodId, then: Tenths) -> Option<usize> {
        let had = |&p: &usize| self.id[p] == id && self.born[p] <= then;
        (0..self.id.len()).filter(had).max_by_key(|&p| self.born[p])
    }
}

fn put<T>(array: &mut Vec<T>, p: usize, value: T) {
    match array.get_mut(p) {
        Some(place) => *place = value,
        None => array.push(value),
    }
}

pub struct Sent {
    pub pod: usize,
    pub at: Tenths,
    pub over: bool,
    pub never_ran: bool,
    pub erred: bool,
}

pub struct Inv {
    pub key: Option<KeyId>,
    pub op: Op,
    pub waits: Tenths,
    pub until: Tenths,
    pub sent: Vec<Sent>,
    pub answered: bool,
}

impl Inv {
    pub fn out(&self) -> usize {
        self.sent.iter().filter(|s| !s.over).count()
    }

    /// Takes note of how a dispatch ended: its pod and time, and the other pods at which earlier ones erred.
    pub fn end(&mut self, nth: usize, ending: Ending) -> Option<(usize, Tenths, Vec<usize>)> {
        let sent = self.sent.get_mut(nth).filter(|s| !s.over)?;
        (sent.over, sent.never_ran) = (true, ending.proves_not_executed());
        sent.erred = matches!(ending, Ending::Error | Ending::Reset);
        let (pod, at) = (sent.pod, sent.at);
        let before = self.sent[..nth].iter().filter(|s| s.erred && s.pod != pod).map(|s| s.pod);
        Some((pod, at, before.collect()))
    }

    /// Whether repeating it can do no harm, as far as is known.
    pub fn harmless(&self, op: &Operation) -> bool {
        let dropped = op.retry_safety == RetrySafety::Fingerprinted && op.dedup_scope == DedupScope::All;
        self.may_have_run().is_none() || op.retry_safety == RetrySafety::Idempotent || dropped
    }

    /// While the client waits: the operation, and the pod and time of a last dispatch that is still out.
    pub fn waits_on(&self) -> Option<(Op, usize, Tenths)> {
        let last = self.sent.last().filter(|s| !s.over && !self.answered)?;
        Some((self.op, last.pod, last.at))
    }

    /// The first dispatch that is not proven never to have run.
    pub fn may_have_run(&self) -> Option<(usize, Tenths)> {
        self.sent.iter().find(|s| !s.never_ran).map(|s| (s.pod, s.at))
    }
}

/// Invocations by the time at which each must be looked at.
#[derive(Default)]
pub struct Due {
    heap: BinaryHeap<Reverse<(Tenths, u64, InvId)>>,
    count: u64,
}

impl Due {
    pub fn push(&mut self, at: Tenths, inv: &InvId) {
        self.count += 1;
        self.heap.push(Reverse((at, self.count, inv.clone())));
    }

    pub fn next(&self) -> Tenths {
        self.heap.peek().map_or(Tenths::NEVER, |Reverse((at, _, _))| *at)
    }

    pub fn pop(&mut self, now: Tenths) -> Option<InvId> {
        if self.next() > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, _, inv))| inv)
    }
}

/// What a build may be found bad for; each is a test of its own.
pub const GROUNDS: usize = 4;
pub const ERRED: usize = 0;
pub const SLOW: usize = 1;
pub const WRONG: usize = 2;
pub const SHARED: usize = 3;

/// What a sidecar last said of the build under judgement: counts, so that a later message mends a
/// lost one. `life` tells a restarted sender from one whose counts went on.
#[derive(Clone, Copy, Default)]
pub struct Said {
    pub life: u16,
    pub up: [u16; GROUNDS],
    pub down: [u16; GROUNDS],
    pub seen: u16,
}

const SAID_FORM: u8 = 1;

impl Said {
    pub fn says_the_same(&self, as_this: &Said) -> bool {
        (self.up, self.down) == (as_this.up, as_this.down)
    }

    pub fn encode(&self, build: Build) -> Vec<u8> {
        let numbers = [build.0, self.life, self.seen].into_iter().chain(self.up).chain(self.down);
        std::iter::once(SAID_FORM).chain(numbers.flat_map(u16::to_le_bytes)).collect()
    }

    /// Net bits for each ground, and outcomes, since what the same sender said before.
    pub fn since(&self, old: &Said) -> ([f64; GROUNDS], u32) {
        let same = old.life == self.life;
        let grown = |new: u16, old: u16| (new.wrapping_sub(if same { old } else { 0 }) as i16).max(0);
        let net = |g: usize| f64::from(grown(self.up[g], old.up[g]) - grown(self.down[g], old.down[g]));
        (std::array::from_fn(net), grown(self.seen, old.seen) as u32)
    }

    pub fn decode(words: &[u8]) -> Option<(Build, Said)> {
        let (&SAID_FORM, rest) = words.split_first()? else { return None };
        let numbers: [u8; 6 + 4 * GROUNDS] = rest.try_into().ok()?;
        let n = |i: usize| u16::from_le_bytes([numbers[2 * i], numbers[2 * i + 1]]);
        let (up, down) = (std::array::from_fn(|g| n(3 + g)), std::array::from_fn(|g| n(3 + GROUNDS + g)));
        Some((Build(n(0)), Said { life: n(1), seen: n(2), up, down }))
    }
}

#[derive(Clone, Copy)]
pub struct Told {
    pub build: Build,
    pub stage: u32,
    pub phase: Phase,
    pub cap: f64,
    pub from: Tenths,
}

/// The log-likelihood ratio of one outcome that comes with probability p1 under one hypothesis, p0 under
/// the other.
pub fn ratio(hit: bool, p0: f64, p1: f64) -> f64 {
    (if hit { p1 / p0 } else { (1.0 - p1) / (1.0 - p0) }).ln()
}

impl KeyId {
    /// One of `lanes` equal parts of all keys, the same at every sidecar.
    pub fn lane(self, lanes: usize) -> usize {
        ((self.0.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32) as usize * lanes) >> 32
    }
}

/// How the earlier build answers one operation on one kind of machine.
#[derive(Clone, Default)]
pub struct Usual {
    pub answers: u32,
    pub ms: f64,
    pub slow_mark: f64,
    pub slow_share: f64,
    pub mark_before: f64,
    pub at: Tenths,
}

impl Usual {
    /// Follows the mean, the quantile and the share above it, each at the given pace; the quantile by `gain` times
    /// as much while little is known.
    pub fn note(&mut self, ms: f64, slow: bool, quantile: f64, memory: u32, step: f64, gain: f64) {
        self.answers += 1;
        let pace = 1.0 / f64::from(self.answers.min(memory));
        self.ms += (ms - self.ms) * pace;
        if self.slow_mark == 0.0 {
            self.slow_mark = ms / quantile;
        }
        self.slow_share += (f64::from(slow) - self.slow_share) * pace.min(step);
        let side = if slow { quantile } else { quantile - 1.0 };
        self.slow_mark *= (side * (gain * pace).clamp(step, 1.0)).exp();
    }
}

/// Share of the earlier build's outcomes of one operation that count as failures.
#[derive(Clone, Default)]
pub struct Erring {
    pub share: f64,
}

impl Erring {
    pub fn note(&mut self, erred: bool, memory: f64) {
        self.share += (f64::from(erred) - self.share) / memory;
    }
}

/// All that one sidecar knows; what it does with it is in `balance`.
#[derive(Default)]
pub struct Balancer {
    pub(crate) facts: Facts,
    pub(crate) rng: fastrand::Rng,
    pub(crate) now: Tenths,
    pub(crate) awake_since: Tenths,

    pub(crate) pods: Pods,
    pub(crate) earlier: Vec<usize>,
    pub(crate) trial: Vec<usize>,
    /// How many of the earlier and of the trial pods are near; they come first.
    pub(crate) near: [usize; 2],
    /// The trial's part of the traffic.
    pub(crate) part: f64,
    /// Power of all pods, and of the near ones, when last no build was on trial.
    pub(crate) calm_power: [f64; 2],
    pub(crate) most_power: f64,
    /// How many pods of a set are drawn from.
    pub(crate) few: usize,
    pub(crate) mean_sick: f64,
    pub(crate) mean_lame: f64,
    /// How many answers of one pod its tardiness is taken from.
    pub(crate) memory: f64,
    pub(crate) some_well: bool,
    /// Share of tardy answers, near and far.
    pub(crate) tardy: [f64; 2],
    /// Share of dispatches that go far though near pods would do.
    pub(crate) spill: f64,

    pub(crate) invs: HashMap<InvId, Inv>,
    pub(crate) ready: VecDeque<InvId>,
    pub(crate) waiting: VecDeque<InvId>,
    pub(crate) due: Due,
    pub(crate) wake_at: Tenths,
    pub(crate) pulse_at: Tenths,
    /// When this sidecar last found that it had not had its turn for a while.
    pub(crate) stood_still: Tenths,
    pub(crate) open: usize,
    /// Of late.
    pub(crate) most_open: f64,
    pub(crate) room: f64,
    pub(crate) lost: f64,
    /// Answers since the room was last set: the tardy ones, and all.
    pub(crate) pace: (f64, f64),
    /// Whether the room has throttled since.
    pub(crate) pinched: bool,
    /// How many times longer than usual answers take now.
    pub(crate) drag: f64,
    pub(crate) succeeded_since_pulse: f64,
    pub(crate) rate: f64,
    pub(crate) rate_a_pod: f64,
    pub(crate) spare_sends: f64,
    pub(crate) value_density: f64,

    pub(crate) told: Option<Told>,
    pub(crate) judged: Option<Build>,
    pub(crate) allowance: Vec<f64>,
    pub(crate) lanes: Vec<f64>,
    pub(crate) lanes_open: usize,
    pub(crate) bound: HashMap<KeyId, Build>,

    pub(crate) usual: Vec<Usual>,
    pub(crate) erring: Vec<Erring>,
    pub(crate) flags: f64,
    pub(crate) succeeded: f64,
    pub(crate) sums: [f64; GROUNDS],
    pub(crate) mine: Said,
    pub(crate) said: Vec<Said>,
    /// Who is told the bits; and when this sidecar may vote, counted from the first who may.
    pub(crate) voters: Vec<Peer>,
    pub(crate) turn: Option<usize>,
    pub(crate) totals: [f64; GROUNDS],
    pub(crate) gathered: [f64; GROUNDS],
    /// The lowest totals of this stage.
    pub(crate) best: [f64; GROUNDS],
    /// Of this second: the fleet's answers that were slower than before the build came, and all.
    pub(crate) fleet: (f64, f64),
    pub(crate) fleet_at: Tenths,
    pub(crate) fleet_before: f64,
    pub(crate) calm_seconds: f64,
    /// How much the whole fleet has been slowing of late, as all sidecars tell.
    pub(crate) slowing: f64,
    /// When the whole fleet was last surely not slow.
    pub(crate) well_at: Tenths,
    /// Whether the fleet is slow, and if so, whether that set in soon after a change of stage.
    pub(crate) slow_spell: Option<bool>,
    /// No pod of an earlier build is left to compare with.
    pub(crate) alone: bool,
    pub(crate) back_since: Option<Tenths>,
    pub(crate) on_since: Option<Tenths>,
    pub(crate) ballot: Option<(Build, u32, Verdict, Tenths)>,
    pub(crate) rebuffs: u32,
    pub(crate) speak_at: Tenths,
    pub(crate) spoken: Said,
    pub(crate) spoken_at: Tenths,
    pub(crate) heard_at: Tenths,
    /// Outcomes at the build under judgement that this sidecar knows of.
    pub(crate) seen: u32,
    pub(crate) band: f64,
}

impl Balancer {
    pub(crate) fn close(&mut self, inv: &InvId) {
        if let Some(found) = self.invs.get_mut(inv).filter(|i| !i.answered) {
            found.answered = true;
            self.open -= 1;
        }
        if self.invs.get(inv).is_some_and(|i| i.answered && i.out() == 0) {
            self.invs.remove(inv);
        }
    }

    /// What the platform said of the build under judgement; nothing while the list is ahead of it.
    pub(crate) fn news(&self) -> Option<Told> {
        self.told.filter(|t| Some(t.build) == self.judged)
    }

    pub(crate) fn released(&self) -> bool {
        self.told.is_some_and(|t| t.phase == Phase::Released)
    }

    pub(crate) fn bucket(&self, op: Op) -> usize {
        op.0 * usize::from(self.facts.cap_per_operation)
    }

    /// Nothing is known yet of the build now under judgement.
    pub(crate) fn begin_judging(&mut self) {
        self.allowance.iter_mut().for_each(|a| *a = 0.0);
        (self.sums, self.totals) = ([0.0; GROUNDS], [0.0; GROUNDS]);
        (self.gathered, self.best) = ([0.0; GROUNDS], [0.0; GROUNDS]);
        (self.fleet, self.slowing, self.slow_spell) = ((0.0, 0.0), 0.0, None);
        self.said = vec![Said::default(); self.facts.sidecar_count];
        self.mine = Said { life: self.mine.life, ..Said::default() };
        (self.spoken, self.seen) = (self.mine, 0);
        self.back_since = None;
    }

    /// How many lanes of keys, from the first, make up at most this share of the traffic.
    pub(crate) fn lanes_within(&self, share: f64) -> usize {
        let mut left = share * self.lanes.iter().sum::<f64>();
        let fits = |n: &&f64| {
            left -= **n;
            left >= 0.0
        };
        self.lanes.iter().take_while(fits).count()
    }

    pub(crate) fn on_trial(&self, build: Build) -> bool {
        match self.told {
            Some(told) => build > told.build || (build == told.build && told.phase != Phase::Released),
            None => self.pods.all_up().any(|p| build > self.pods.build[p]),
        }
    }

    pub(crate) fn cap(&self) -> f64 {
        self.news().map_or(self.facts.initial_cap, |t| t.cap)
    }

    /// Figures kept so that no dispatch has to go through the fleet.
    pub(crate) fn measure(&mut self) {
        let pods = (self.earlier.len() + self.trial.len()).max(1) as f64;
        let all = || self.earlier.iter().chain(&self.trial);
        let sick = all().map(|&p| self.pods.sick[p]).sum::<f64>();
        let most = all().map(|&p| self.power(p)).fold(0.0, f64::max);
        let lame = all().map(|&p| self.pods.lame[p]).sum::<f64>();
        (self.mean_sick, self.mean_lame) = (sick / pods, lame / pods);
        (self.most_power, self.rate_a_pod) = (most, self.rate / pods.min(self.few.max(1) as f64));
        if self.trial.is_empty() {
            let power = |set: &[usize]| set.iter().map(|&p| self.power(p)).sum::<f64>();
            self.calm_power = [power(&self.earlier), power(&self.earlier[..self.near[0]])];
        }
    }

    pub(crate) fn power(&self, p: usize) -> f64 {
        self.pods.weight[p] * self.warmth(p)
    }

    pub(crate) fn warmth(&self, p: usize) -> f64 {
        let age = (self.now - self.pods.cold_at[p]).0 as f64 / self.facts.warmup_time.0.max(1) as f64;
        (self.facts.cold_capacity_share + (1.0 - self.facts.cold_capacity_share) * age.max(0.0)).min(1.0)
    }

    pub(crate) fn count_bits(&mut self, from: Peer, said: Said) {
        let (bits, seen) = said.since(&self.said[from.0]);
        self.seen += seen;
        if from != self.facts.own_peer {
            self.heard_at = self.now;
        }
        self.gathered.iter_mut().zip(bits).for_each(|(gathered, bits)| *gathered += self.band * bits);
        self.said[from.0] = said;
    }

    pub fn begin_pod_list(&mut self, whole: bool) {
        self.pods.listed.iter_mut().for_each(|listed| *listed = !whole);
    }

    /// How long until something is due, where no wake is set for then yet.
    pub(crate) fn next_wake(&mut self) -> Option<Tenths> {
        let next = self.due.next().min(self.pulse_at).max(self.now + Tenths(1));
        let sooner = self.wake_at <= self.now || self.wake_at > next;
        self.wake_at = if sooner { next } else { self.wake_at };
        sooner.then_some(next - self.now)
    }

    pub(crate) fn near_first(&mut self) {
        let far = |p: &usize| self.pods.zone[*p] != self.facts.zone;
        self.earlier.sort_by_key(|p| (far(p), self.pods.rank[*p]));
        self.trial.sort_by_key(|p| (far(p), self.pods.rank[*p]));
        self.near = [&self.earlier, &self.trial].map(|set| set.iter().filter(|p| !far(p)).count());
    }

    pub(crate) fn hold(&mut self, inv: InvId, key: Option<KeyId>, op: Op, waits: Tenths, until: Tenths) {
        self.open += 1;
        self.most_open = self.most_open.max(self.open as f64);
        self.due.push(waits, &inv);
        self.due.push(until, &inv);
        self.invs.insert(inv.clone(), Inv { key, op, waits, until, sent: vec![], answered: false });
        self.ready.push_back(inv);
    }

    pub(crate) fn bind(&mut self, key: Option<KeyId>, build: Build) {
        if let Some(key) = key.filter(|_| self.facts.sticky_keys) {
            let to = self.bound.entry(key).or_insert(build);
            *to = (*to).max(build);
        }
    }

    /// Takes note of a dispatch; its operation and time limit.
    pub(crate) fn note_sent(&mut self, inv: &InvId, p: usize) -> (Op, Tenths) {
        if self.pods.held[p] == 0 {
            self.pods.heard[p] = self.now;
        }
        self.pods.held[p] += 1;
        let found = self.invs.get_mut(inv).expect("chosen for an open invocation");
        found.sent.push(Sent { pod: p, at: self.now, over: false, never_ran: false, erred: false });
        (found.op, found.until)
    }
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;

    /// Builds follow one another for as long as the program runs; the arrays must not grow with them.
    #[rstest]
    fn machines_that_are_long_gone_give_up_their_index() {
        let mut pods = Pods::default();
        for n in 0..5000 {
            let now = Tenths::ms(1000 * n);
            pods.list(n as u32 % 700, now);
        }
        assert!(pods.id.len() < 800 && pods.index.len() <= 700, "{} {}", pods.id.len(), pods.index.len());
    }

    #[rstest]
    fn an_index_with_something_out_is_not_given_up() {
        let mut pods = Pods::default();
        pods.list(1, Tenths(0));
        pods.held[0] = 1;
        pods.list(2, Tenths::ms(9_000_000));
        assert_eq!((pods.index[&PodId(1)], pods.index[&PodId(2)]), (0, 1));
    }

    impl Pods {
        fn list(&mut self, id: u32, now: Tenths) {
            self.listed.iter_mut().for_each(|listed| *listed = false);
            let p = self.entry(now, PodId(id), MachineKind(0), Zone(0), Cell(0), now, Build(1), 0.5);
            (self.up[p], self.listed[p]) = (true, true);
            self.drop_unlisted(now);
        }
    }
}
