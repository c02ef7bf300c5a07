//! State of the balancer. The types here hold data and keep it consistent; every decision is in `balance`.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

use crate::host::*;

/// How long a process that is gone keeps its index: longer than an invocation that it served can stay open,
/// and longer than an objection to one of its answers takes to arrive.
const GONE_POD_RETENTION: Tenths = Tenths::ms(660_000);

/// Multiplier of Fibonacci hashing: 2^64 divided by the golden ratio.
const HASH_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

/// A leaky bucket: its level rises by one with each dispatch and drains at a rate that the caller applies.
#[derive(Clone, Copy)]
pub struct DispatchLevel {
    /// Dispatches that had not drained at `updated_at`.
    pub level: f64,
    pub updated_at: Tenths,
}

/// Pod figures in parallel arrays under a small dense index. A restarted process or a reused id gets an index
/// of its own, so nothing learnt about the old process carries over. A process that has been gone for
/// `GONE_POD_RETENTION` gives up its index to the next.
#[derive(Default)]
pub struct Pods {
    /// Index of the last process listed under each id.
    pub index: HashMap<PodId, usize>,
    pub id: Vec<PodId>,
    pub kind: Vec<MachineKind>,
    pub zone: Vec<Zone>,
    pub cell: Vec<Cell>,
    /// Capacity when warm, relative to other pods.
    pub weight: Vec<f64>,
    pub build: Vec<Build>,
    /// Start of the process.
    pub started_at: Vec<Tenths>,
    /// Whether it takes dispatches.
    pub available: Vec<bool>,
    /// Whether the list being read, or the last one read, contains it.
    pub listed: Vec<bool>,
    /// When a list was last read while it was available.
    pub last_available: Vec<Tenths>,
    /// Dispatches of this sidecar in flight.
    pub in_flight: Vec<u32>,
    /// Estimated dispatches that were given up and that the pod may still be executing.
    pub abandoned: Vec<f64>,
    /// Estimated dispatches of other sidecars in flight, from the pod's reports.
    pub in_flight_elsewhere: Vec<f64>,
    /// Moving share of answers that were errors of the pod.
    pub error_share: Vec<f64>,
    /// Moving share of answers that were late.
    pub late_share: Vec<f64>,
    /// Last answer, or the first dispatch after a time with none in flight.
    pub last_answer: Vec<Tenths>,
    /// End of the backoff after failures.
    pub avoided_until: Vec<Tenths>,
    /// Consecutive timeouts and connection failures, up to a maximum.
    pub failures_in_row: Vec<u32>,
    /// Start of the warm-up: that of the process, or a later time at which it may have restarted.
    pub cold_since: Vec<Tenths>,
    /// Recent dispatches of this sidecar, to limit those to cold pods.
    pub dispatch_level: Vec<DispatchLevel>,
    /// Random sort key, different at each sidecar.
    pub sort_key: Vec<u64>,
}

impl Pods {
    /// The index of the process, which is added if it is new. `random` in 0..1 is the initial dispatch level
    /// of a new process and determines its sort key.
    #[allow(clippy::too_many_arguments)]
    pub fn find_or_add(
        &mut self, now: Tenths, id: PodId, kind: MachineKind, zone: Zone, cell: Cell, started_at: Tenths,
        build: Build, random: f64,
    ) -> usize {
        if let Some(&old) = self.index.get(&id) {
            if (self.started_at[old], self.build[old]) == (started_at, build) {
                return old;
            }
            self.available[old] = false;
        }
        let index = self.take_unused_index(now).unwrap_or(self.id.len());
        self.index.insert(id, index);
        set_or_push(&mut self.id, index, id);
        set_or_push(&mut self.kind, index, kind);
        set_or_push(&mut self.zone, index, zone);
        set_or_push(&mut self.cell, index, cell);
        set_or_push(&mut self.weight, index, 1.0);
        set_or_push(&mut self.build, index, build);
        set_or_push(&mut self.started_at, index, started_at);
        set_or_push(&mut self.available, index, false);
        set_or_push(&mut self.listed, index, true);
        set_or_push(&mut self.last_available, index, now);
        set_or_push(&mut self.in_flight, index, 0);
        set_or_push(&mut self.abandoned, index, 0.0);
        set_or_push(&mut self.in_flight_elsewhere, index, 0.0);
        set_or_push(&mut self.error_share, index, 0.0);
        set_or_push(&mut self.late_share, index, 0.0);
        set_or_push(&mut self.last_answer, index, started_at);
        set_or_push(&mut self.avoided_until, index, Tenths(0));
        set_or_push(&mut self.failures_in_row, index, 0);
        set_or_push(&mut self.cold_since, index, started_at);
        set_or_push(&mut self.dispatch_level, index, DispatchLevel { level: random, updated_at: started_at });
        set_or_push(&mut self.sort_key, index, random.to_bits().wrapping_mul(HASH_MULTIPLIER));
        index
    }

    /// Frees the index of a process that has been gone for `GONE_POD_RETENTION` and has nothing in flight.
    fn take_unused_index(&mut self, now: Tenths) -> Option<usize> {
        let unused = |&index: &usize| {
            !self.available[index]
                && self.in_flight[index] == 0
                && now > self.last_available[index] + GONE_POD_RETENTION
        };
        let index = (0..self.id.len()).find(unused)?;
        if self.index.get(&self.id[index]) == Some(&index) {
            self.index.remove(&self.id[index]);
        }
        Some(index)
    }

    /// Multiplies the abandoned dispatches of each pod by `factor` and returns their sum over all pods.
    pub fn decay_abandoned(&mut self, factor: f64) -> f64 {
        self.abandoned.iter_mut().for_each(|abandoned| *abandoned *= factor);
        self.abandoned.iter().sum()
    }

    /// Marks the pods that the list did not contain as unavailable.
    pub fn retire_unlisted(&mut self, now: Tenths) {
        for pod in 0..self.id.len() {
            self.last_available[pod] = if self.available[pod] { now } else { self.last_available[pod] };
            self.available[pod] &= self.listed[pod];
        }
    }

    /// Indexes of all pods that take dispatches.
    pub fn all_available(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.id.len()).filter(|&pod| self.available[pod])
    }

    /// Whether two pods recognise each other's fingerprints.
    pub fn share_dedup_scope(&self, scope: DedupScope, pod: usize, other: usize) -> bool {
        match scope {
            DedupScope::All => true,
            DedupScope::Zone => self.zone[pod] == self.zone[other],
            DedupScope::Cell => self.cell[pod] == self.cell[other],
        }
    }

    /// The process that had this id at that time.
    pub fn process_at(&self, id: PodId, time: Tenths) -> Option<usize> {
        let had_id = |&pod: &usize| self.id[pod] == id && self.started_at[pod] <= time;
        (0..self.id.len()).filter(had_id).max_by_key(|&pod| self.started_at[pod])
    }
}

fn set_or_push<T>(array: &mut Vec<T>, index: usize, value: T) {
    match array.get_mut(index) {
        Some(slot) => *slot = value,
        None => array.push(value),
    }
}

/// One dispatch of an invocation.
pub struct Dispatch {
    pub pod: usize,
    pub sent_at: Tenths,
    pub ended: bool,
    /// The ending proved that the pod did not execute it.
    pub not_executed: bool,
    /// It ended in an error or a broken connection.
    pub failed: bool,
}

/// What remains of a dispatch that has just ended.
pub struct EndedDispatch {
    pub pod: usize,
    pub sent_at: Tenths,
    /// Other pods at which earlier dispatches of the same invocation failed.
    pub failed_pods: Vec<usize>,
}

/// The dispatch that a client is waiting for.
pub struct PendingDispatch {
    pub op: Op,
    pub pod: usize,
    pub sent_at: Tenths,
}

/// An invocation that has no final answer yet, or that still has a dispatch in flight.
pub struct Invocation {
    pub key: Option<KeyId>,
    pub op: Op,
    /// Until then it may be held without a dispatch, and dispatched again.
    pub hold_until: Tenths,
    /// The client's time limit.
    pub until: Tenths,
    pub dispatches: Vec<Dispatch>,
    pub answered: bool,
}

impl Invocation {
    /// Number of its dispatches in flight.
    pub fn in_flight(&self) -> usize {
        self.dispatches.iter().filter(|d| !d.ended).count()
    }

    /// Records how the dispatch number `nth` ended; `None` if it is unknown or has ended before.
    pub fn record_ending(&mut self, nth: usize, ending: Ending) -> Option<EndedDispatch> {
        let dispatch = self.dispatches.get_mut(nth).filter(|d| !d.ended)?;
        dispatch.ended = true;
        dispatch.not_executed = ending.proves_not_executed();
        dispatch.failed = matches!(ending, Ending::Error | Ending::Reset);
        let (pod, sent_at) = (dispatch.pod, dispatch.sent_at);
        let earlier_failures = self.dispatches[..nth].iter().filter(|d| d.failed && d.pod != pod);
        let failed_pods = earlier_failures.map(|d| d.pod).collect();
        Some(EndedDispatch { pod, sent_at, failed_pods })
    }

    /// Whether the client may safely send it again, as far as is known.
    pub fn is_safe_to_repeat(&self, op: &Operation) -> bool {
        let deduplicated = op.retry_safety == RetrySafety::Fingerprinted && op.dedup_scope == DedupScope::All;
        self.first_possibly_executed().is_none() || op.retry_safety == RetrySafety::Idempotent || deduplicated
    }

    /// The last dispatch, if it is in flight and the client still waits.
    pub fn pending_dispatch(&self) -> Option<PendingDispatch> {
        let last = self.dispatches.last().filter(|d| !d.ended && !self.answered)?;
        Some(PendingDispatch { op: self.op, pod: last.pod, sent_at: last.sent_at })
    }

    /// Pod and time of the first dispatch that is not proven never to have been executed.
    pub fn first_possibly_executed(&self) -> Option<(usize, Tenths)> {
        self.dispatches.iter().find(|d| !d.not_executed).map(|d| (d.pod, d.sent_at))
    }
}

/// Invocations by the time at which each must be checked; first in, first out at equal times.
#[derive(Default)]
pub struct CheckQueue {
    heap: BinaryHeap<Reverse<(Tenths, u64, InvId)>>,
    sequence: u64,
}

impl CheckQueue {
    pub fn push(&mut self, at: Tenths, inv: &InvId) {
        self.sequence += 1;
        self.heap.push(Reverse((at, self.sequence, inv.clone())));
    }

    /// When the next check is due; [`Tenths::NEVER`] if there is none.
    pub fn next(&self) -> Tenths {
        self.heap.peek().map_or(Tenths::NEVER, |Reverse((at, _, _))| *at)
    }

    /// Removes and returns the next invocation if its check is due.
    pub fn pop_due(&mut self, now: Tenths) -> Option<InvId> {
        if self.next() > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, _, inv))| inv)
    }
}

/// Number of sequential tests that run on a build. Arrays of this length are indexed by the constants below.
pub const TEST_COUNT: usize = 4;
/// The build fails more often than the earlier one.
pub const ERROR_TEST: usize = 0;
/// The build answers more slowly than the earlier one.
pub const LATENCY_TEST: usize = 1;
/// Clients report more wrong answers.
pub const WRONG_ANSWER_TEST: usize = 2;
/// The whole fleet is slower than before the trial of the build.
pub const FLEET_TEST: usize = 3;

/// Cumulative evidence of one sidecar on the build under judgement. The counts only grow, so a later message
/// makes up for a lost one; `session` distinguishes a restarted sender from one whose counts
/// continue.
#[derive(Clone, Copy, Default)]
pub struct EvidenceCounts {
    /// Random number drawn at the start of the sender.
    pub session: u16,
    /// For each test, how often the log-likelihood ratio crossed the upper bound of the band.
    pub up_crossings: [u16; TEST_COUNT],
    /// For each test, how often it crossed the lower bound.
    pub down_crossings: [u16; TEST_COUNT],
    /// Outcomes that the sender has seen of the build.
    pub outcomes: u16,
}

/// Difference of two [`EvidenceCounts`] of one sender.
pub struct NewEvidence {
    /// For each test, crossings of the upper bound minus those of the lower bound.
    pub net_crossings: [f64; TEST_COUNT],
    /// Outcomes that the sender has seen of the build.
    pub outcomes: u32,
}

/// First byte of a message that carries [`EvidenceCounts`].
const EVIDENCE_FORMAT: u8 = 1;

impl EvidenceCounts {
    /// Whether the crossings of all tests are equal.
    pub fn has_same_crossings(&self, other: &EvidenceCounts) -> bool {
        (self.up_crossings, self.down_crossings) == (other.up_crossings, other.down_crossings)
    }

    /// The format byte, then little-endian 16-bit numbers: build, session, outcomes, crossings.
    pub fn encode(&self, build: Build) -> Vec<u8> {
        let head = [build.0, self.session, self.outcomes];
        let numbers = head.into_iter().chain(self.up_crossings).chain(self.down_crossings);
        std::iter::once(EVIDENCE_FORMAT).chain(numbers.flat_map(u16::to_le_bytes)).collect()
    }

    /// What is new since the counts `old` of the same sender.
    pub fn since(&self, old: &EvidenceCounts) -> NewEvidence {
        let same_session = old.session == self.session;
        let growth =
            |new: u16, old: u16| (new.wrapping_sub(if same_session { old } else { 0 }) as i16).max(0);
        let net_crossings = |test: usize| {
            f64::from(
                growth(self.up_crossings[test], old.up_crossings[test])
                    - growth(self.down_crossings[test], old.down_crossings[test]),
            )
        };
        NewEvidence {
            net_crossings: std::array::from_fn(net_crossings),
            outcomes: growth(self.outcomes, old.outcomes) as u32,
        }
    }

    /// Inverse of [`encode`](Self::encode); `None` if the format is unknown or the length is wrong.
    pub fn decode(payload: &[u8]) -> Option<(Build, EvidenceCounts)> {
        let (&EVIDENCE_FORMAT, rest) = payload.split_first()? else { return None };
        let bytes: [u8; 6 + 4 * TEST_COUNT] = rest.try_into().ok()?;
        let number = |i: usize| u16::from_le_bytes([bytes[2 * i], bytes[2 * i + 1]]);
        let counts = EvidenceCounts {
            session: number(1),
            outcomes: number(2),
            up_crossings: std::array::from_fn(|test| number(3 + test)),
            down_crossings: std::array::from_fn(|test| number(3 + TEST_COUNT + test)),
        };
        Some((Build(number(0)), counts))
    }
}

/// State of a release as the platform last reported it.
#[derive(Clone, Copy)]
pub struct ReleaseState {
    pub build: Build,
    pub stage: u32,
    pub phase: Phase,
    /// Largest share of traffic that the build may get.
    pub cap: f64,
    pub stage_started_at: Tenths,
}

/// The last vote cast.
#[derive(Clone, Copy)]
pub struct Ballot {
    pub build: Build,
    pub stage: u32,
    pub verdict: Verdict,
    /// The same vote is not cast again before.
    pub repeat_at: Tenths,
}

/// The log-likelihood ratio of one outcome that has probability `p1` under the alternative hypothesis and
/// `p0` under the null hypothesis.
pub fn log_likelihood_ratio(occurred: bool, p0: f64, p1: f64) -> f64 {
    (if occurred { p1 / p0 } else { (1.0 - p1) / (1.0 - p0) }).ln()
}

impl KeyId {
    /// Assigns the key to one of `buckets` equal parts of all keys; the same at every sidecar.
    pub fn bucket(self, buckets: usize) -> usize {
        ((self.0.wrapping_mul(HASH_MULTIPLIER) >> 32) as usize * buckets) >> 32
    }
}

/// Answer times of the earlier build for one operation on one machine kind.
#[derive(Clone, Default)]
pub struct LatencyBaseline {
    /// Number of answers recorded.
    pub answers: u32,
    /// Moving mean of the answer times.
    pub mean_ms: f64,
    /// Running estimate of a quantile; an answer that takes longer is slow.
    pub slow_threshold_ms: f64,
    /// Size of the threshold's last step, on a logarithmic scale.
    pub relative_step: f64,
    /// Moving share of slow answers.
    pub slow_share: f64,
    /// Upper end of `slow_threshold_ms` as it was before the trial.
    pub threshold_before_trial_ms: f64,
    /// When the last answer was recorded.
    pub updated_at: Tenths,
}

impl LatencyBaseline {
    /// Updates the mean over at most `window` answers, the share of slow answers in steps of at most
    /// `steady_step` and the threshold by stochastic approximation of the quantile, in relative steps of at
    /// least `steady_step`. The threshold's steps are `gain` times larger while few answers are known.
    pub fn record(&mut self, ms: f64, slow: bool, quantile: f64, window: u32, steady_step: f64, gain: f64) {
        self.answers += 1;
        let step = 1.0 / f64::from(self.answers.min(window));
        self.mean_ms += (ms - self.mean_ms) * step;
        if self.slow_threshold_ms == 0.0 {
            self.slow_threshold_ms = ms / quantile;
        }
        self.slow_share += (f64::from(slow) - self.slow_share) * step.min(steady_step);
        let direction = if slow { quantile } else { quantile - 1.0 };
        self.relative_step = (gain * step).clamp(steady_step, 1.0);
        self.slow_threshold_ms *= (direction * self.relative_step).exp();
    }

    /// Upper end of the threshold's estimate. One slow answer raises the threshold by its step, so at any
    /// moment it may be that far below the quantile. What exceeds the steady step is an error of this sidecar
    /// alone and averages out over `sidecars`.
    pub fn upper_threshold_ms(&self, quantile: f64, steady_step: f64, sidecars: f64) -> f64 {
        let error = steady_step + (self.relative_step - steady_step).max(0.0) / sidecars.sqrt();
        self.slow_threshold_ms * (quantile * error).exp()
    }
}

/// Number of answers with some property, and of all answers.
#[derive(Clone, Copy, Default)]
pub struct AnswerSample {
    pub counted: f64,
    pub all: f64,
}

impl AnswerSample {
    pub fn add(&mut self, counted: f64, all: f64) {
        self.counted += counted;
        self.all += all;
    }

    /// Share of the counted answers; the sample must not be empty.
    pub fn share(self) -> f64 {
        self.counted / self.all
    }
}

/// A figure for pods in the zone of this sidecar and one for pods in other zones.
#[derive(Clone, Copy, Default)]
pub struct NearAndFar {
    pub near: f64,
    pub far: f64,
}

/// Number of pods in the zone of this sidecar.
#[derive(Clone, Copy, Default)]
pub struct NearPods {
    pub earlier: usize,
    pub trial: usize,
}

/// Sum of the capacities of all pods, and of those in the zone of this sidecar.
#[derive(Clone, Copy, Default)]
pub struct FleetCapacity {
    pub all: f64,
    pub near: f64,
}

/// Share of the earlier build's outcomes of one operation that are failures.
#[derive(Clone, Default)]
pub struct FailureBaseline {
    pub share: f64,
}

impl FailureBaseline {
    /// Updates the exponential moving average over about `window` outcomes.
    pub fn record(&mut self, failed: bool, window: f64) {
        self.share += (f64::from(failed) - self.share) / window;
    }
}

/// The decision module of one sidecar: its state, with the entry methods and decisions in `balance`.
#[derive(Default)]
pub struct Balancer {
    pub(crate) facts: Facts,
    pub(crate) rng: fastrand::Rng,
    pub(crate) now: Tenths,
    pub(crate) started_at: Tenths,

    pub(crate) pods: Pods,
    /// Available pods of earlier builds, those of this zone first.
    pub(crate) earlier_pods: Vec<usize>,
    /// Available pods of the build on trial, those of this zone first.
    pub(crate) trial_pods: Vec<usize>,
    /// How many of `earlier_pods` and of `trial_pods` are in this zone.
    pub(crate) near_pods: NearPods,
    /// Share of first dispatches that go to the build on trial.
    pub(crate) trial_share: f64,
    /// Capacity of the fleet when there was last no trial pod.
    pub(crate) capacity_before_trial: FleetCapacity,
    /// Largest capacity of one pod.
    pub(crate) max_capacity: f64,
    /// How many pods of a set this sidecar draws from.
    pub(crate) subset_size: usize,
    /// Mean over all pods of `Pods::error_share` and of `Pods::late_share`.
    pub(crate) mean_error_share: f64,
    pub(crate) mean_late_share: f64,
    /// Number of answers over which the late share of a pod is averaged.
    pub(crate) late_share_window: f64,
    /// At least a third of the earlier pods have a low share of late answers.
    pub(crate) some_pods_healthy: bool,
    /// Moving share of late answers.
    pub(crate) late_share: NearAndFar,
    /// Share of dispatches that go to another zone though pods of this zone could take them.
    pub(crate) spill_share: f64,

    pub(crate) invocations: HashMap<InvId, Invocation>,
    /// To be dispatched, held or given up in this call.
    pub(crate) ready: VecDeque<InvId>,
    /// Held until the next tick, as no pod could take them.
    pub(crate) waiting: VecDeque<InvId>,
    /// When held invocations and dispatches in flight are checked.
    pub(crate) checks: CheckQueue,
    /// When the timer that was set last fires.
    pub(crate) timer_at: Tenths,
    /// When the periodic update is due.
    pub(crate) next_tick: Tenths,
    /// When this sidecar last found that it had been stalled.
    pub(crate) stalled_at: Tenths,
    /// Invocations without a final answer.
    pub(crate) open: usize,
    /// Maximum of `open`, decaying over time.
    pub(crate) max_open: f64,
    /// Largest number of open and abandoned invocations; above it new ones are throttled.
    pub(crate) concurrency_limit: f64,
    /// Estimated abandoned dispatches at all pods.
    pub(crate) abandoned: f64,
    /// Answers since the limit was last adjusted; the late ones are counted.
    pub(crate) limit_sample: AnswerSample,
    /// Whether the limit has throttled since it was last adjusted.
    pub(crate) limit_reached: bool,
    /// Current answer time as a multiple of the usual one.
    pub(crate) slowdown: f64,
    /// Succeeded dispatches since the last tick.
    pub(crate) succeeded_since_tick: f64,
    /// Succeeded dispatches a second.
    pub(crate) rate: f64,
    /// `rate` divided among the pods that this sidecar draws from.
    pub(crate) rate_per_pod: f64,
    /// Tokens for dispatches that replace a stuck one.
    pub(crate) replacement_tokens: f64,
    /// Moving average of the billed value for a unit of work.
    pub(crate) mean_value_density: f64,

    /// The platform's last report.
    pub(crate) release: Option<ReleaseState>,
    /// The build under judgement.
    pub(crate) judged: Option<Build>,
    /// Token buckets for dispatches to the build on trial, filled by the cap.
    pub(crate) trial_tokens: Vec<f64>,
    /// Recent invocations in each bucket of keys.
    pub(crate) key_bucket_traffic: Vec<f64>,
    /// Number of buckets of keys, from the first, that go to the build on trial.
    pub(crate) trial_key_buckets: usize,
    /// Newest build that answered a key.
    pub(crate) key_builds: HashMap<KeyId, Build>,

    /// By machine kind, then operation.
    pub(crate) latency_baselines: Vec<LatencyBaseline>,
    pub(crate) failure_baselines: Vec<FailureBaseline>,
    /// Objections against the earlier build, plus one.
    pub(crate) earlier_objections: f64,
    /// Answers of the earlier build, plus an initial count.
    pub(crate) earlier_answers: f64,
    /// Log-likelihood ratio of this sidecar in each test since the last crossing, within the band.
    pub(crate) unsent_evidence: [f64; TEST_COUNT],
    /// Counts of this sidecar.
    pub(crate) own_counts: EvidenceCounts,
    /// Last counts received from each sidecar.
    pub(crate) peer_counts: Vec<EvidenceCounts>,
    /// Sidecars that receive the evidence.
    pub(crate) voters: Vec<Peer>,
    /// Rank among the sidecars that may vote; `None` if this sidecar may not.
    pub(crate) voter_rank: Option<usize>,
    /// Fleet-wide log-likelihood ratio in each test, within bounds.
    pub(crate) totals: [f64; TEST_COUNT],
    /// Evidence received in this round, not yet added to `totals`.
    pub(crate) pending_evidence: [f64; TEST_COUNT],
    /// Lowest totals during this stage.
    pub(crate) lowest_totals: [f64; TEST_COUNT],
    /// Answers since the fleet was last evaluated; those slower than before the trial are counted.
    pub(crate) fleet_sample: AnswerSample,
    pub(crate) fleet_sampled_at: Tenths,
    /// Share of slow answers before the trial of the build.
    pub(crate) slow_share_before: f64,
    /// Number of samples in `slow_share_before`.
    pub(crate) samples_before: f64,
    /// Moving sum of the fleet evidence of all sidecars.
    pub(crate) fleet_slowness: f64,
    /// When the fleet was last certainly not slow.
    pub(crate) fleet_healthy_at: Tenths,
    /// Whether the fleet is slow, and if so, whether that began soon after a change of stage.
    pub(crate) slow_period: Option<bool>,
    /// No pod of an earlier build is left to compare with.
    pub(crate) no_earlier_pods: bool,
    /// Since when a total has been above the rollback threshold.
    pub(crate) rollback_proven_since: Option<Tenths>,
    /// Since when the conditions of a vote to advance have held.
    pub(crate) advance_ready_since: Option<Tenths>,
    pub(crate) ballot: Option<Ballot>,
    /// Consecutive refused votes, up to a maximum.
    pub(crate) refused_votes: u32,
    /// When evidence is next summed and sent if it is new.
    pub(crate) next_broadcast: Tenths,
    /// Counts sent last, and when.
    pub(crate) broadcast_counts: EvidenceCounts,
    pub(crate) broadcast_at: Tenths,
    /// When evidence of a peer last arrived.
    pub(crate) peer_heard_at: Tenths,
    /// Outcomes of the build under judgement at all sidecars, as far as is known here.
    pub(crate) known_outcomes: u32,
    /// Half width of the band that the unsent evidence stays in.
    pub(crate) band_half_width: f64,
}

impl Balancer {
    /// Marks the invocation as answered and forgets it once nothing of it is in flight.
    pub(crate) fn close(&mut self, inv: &InvId) {
        if let Some(invocation) = self.invocations.get_mut(inv).filter(|i| !i.answered) {
            invocation.answered = true;
            self.open -= 1;
        }
        if self.invocations.get(inv).is_some_and(|i| i.answered && i.in_flight() == 0) {
            self.invocations.remove(inv);
        }
    }

    /// The platform's report on the build under judgement; `None` while the pod list is ahead of the report.
    pub(crate) fn judged_release(&self) -> Option<ReleaseState> {
        self.release.filter(|r| Some(r.build) == self.judged)
    }

    pub(crate) fn is_released(&self) -> bool {
        self.release.is_some_and(|r| r.phase == Phase::Released)
    }

    /// Index into `trial_tokens`.
    pub(crate) fn token_bucket(&self, op: Op) -> usize {
        op.0 * usize::from(self.facts.cap_per_operation)
    }

    /// Clears all evidence when another build comes under judgement.
    pub(crate) fn reset_evidence(&mut self) {
        self.trial_tokens.iter_mut().for_each(|tokens| *tokens = 0.0);
        self.unsent_evidence = [0.0; TEST_COUNT];
        self.totals = [0.0; TEST_COUNT];
        self.pending_evidence = [0.0; TEST_COUNT];
        self.lowest_totals = [0.0; TEST_COUNT];
        self.fleet_sample = AnswerSample::default();
        self.fleet_slowness = 0.0;
        self.slow_period = None;
        self.peer_counts = vec![EvidenceCounts::default(); self.facts.sidecar_count];
        self.own_counts = EvidenceCounts { session: self.own_counts.session, ..EvidenceCounts::default() };
        self.broadcast_counts = self.own_counts;
        self.known_outcomes = 0;
        self.rollback_proven_since = None;
    }

    /// How many buckets of keys, from the first, together make up at most this share of the traffic.
    pub(crate) fn key_buckets_within(&self, share: f64) -> usize {
        let mut left = share * self.key_bucket_traffic.iter().sum::<f64>();
        let fits = |traffic: &&f64| {
            left -= **traffic;
            left >= 0.0
        };
        self.key_bucket_traffic.iter().take_while(fits).count()
    }

    /// Whether the build is newer than the reported release, or is that release before it is released.
    /// Without a report: whether it is newer than the build of some available pod.
    pub(crate) fn is_on_trial(&self, build: Build) -> bool {
        match self.release {
            Some(release) => {
                build > release.build || (build == release.build && release.phase != Phase::Released)
            }
            None => self.pods.all_available().any(|pod| build > self.pods.build[pod]),
        }
    }

    /// Largest share of traffic for the build under judgement, 0 to 1.
    pub(crate) fn cap(&self) -> f64 {
        self.judged_release().map_or(self.facts.initial_cap, |r| r.cap)
    }

    /// Updates the figures over all pods that are kept so that a dispatch need not scan the fleet.
    pub(crate) fn update_fleet_figures(&mut self) {
        let pods = (self.earlier_pods.len() + self.trial_pods.len()).max(1) as f64;
        let all = || self.earlier_pods.iter().chain(&self.trial_pods);
        let error_shares = all().map(|&pod| self.pods.error_share[pod]).sum::<f64>();
        let max_capacity = all().map(|&pod| self.capacity(pod)).fold(0.0, f64::max);
        let late_shares = all().map(|&pod| self.pods.late_share[pod]).sum::<f64>();
        self.mean_error_share = error_shares / pods;
        self.mean_late_share = late_shares / pods;
        self.max_capacity = max_capacity;
        self.rate_per_pod = self.rate / pods.min(self.subset_size.max(1) as f64);
        if self.trial_pods.is_empty() {
            let capacity = |set: &[usize]| set.iter().map(|&pod| self.capacity(pod)).sum::<f64>();
            self.capacity_before_trial = FleetCapacity {
                all: capacity(&self.earlier_pods),
                near: capacity(&self.earlier_pods[..self.near_pods.earlier]),
            };
        }
    }

    /// Weight of the pod, reduced while it is cold.
    pub(crate) fn capacity(&self, pod: usize) -> f64 {
        self.pods.weight[pod] * self.warm_share(pod)
    }

    /// Capacity of the pod as a share of its capacity when warm.
    pub(crate) fn warm_share(&self, pod: usize) -> f64 {
        let age = (self.now - self.pods.cold_since[pod]).0 as f64 / self.facts.warmup_time.0.max(1) as f64;
        (self.facts.cold_capacity_share + (1.0 - self.facts.cold_capacity_share) * age.max(0.0)).min(1.0)
    }

    /// Adds what is new in the counts of one sidecar to the pending evidence.
    pub(crate) fn add_counts(&mut self, from: Peer, counts: EvidenceCounts) {
        let new = counts.since(&self.peer_counts[from.0]);
        self.known_outcomes += new.outcomes;
        if from != self.facts.own_peer {
            self.peer_heard_at = self.now;
        }
        for (pending, net_crossings) in self.pending_evidence.iter_mut().zip(new.net_crossings) {
            *pending += self.band_half_width * net_crossings;
        }
        self.peer_counts[from.0] = counts;
    }

    /// Begins a pod list: a `complete` one, or one that contains only changes. A call of
    /// [`on_pod`](Self::on_pod) for each entry and [`end_pod_list`](Self::end_pod_list) follow.
    pub fn begin_pod_list(&mut self, complete: bool) {
        self.pods.listed.iter_mut().for_each(|listed| *listed = !complete);
    }

    /// Time until something is due, unless a timer is already set for then or before.
    pub(crate) fn next_timer(&mut self) -> Option<Tenths> {
        let next = self.checks.next().min(self.next_tick).max(self.now + Tenths(1));
        let needed = self.timer_at <= self.now || self.timer_at > next;
        self.timer_at = if needed { next } else { self.timer_at };
        needed.then_some(next - self.now)
    }

    /// Sorts the pods of this zone first, each zone by the sort key, and counts them.
    pub(crate) fn sort_near_pods_first(&mut self) {
        let far = |pod: &usize| self.pods.zone[*pod] != self.facts.zone;
        self.earlier_pods.sort_by_key(|pod| (far(pod), self.pods.sort_key[*pod]));
        self.trial_pods.sort_by_key(|pod| (far(pod), self.pods.sort_key[*pod]));
        let count_near = |pods: &[usize]| pods.iter().filter(|pod| !far(pod)).count();
        self.near_pods =
            NearPods { earlier: count_near(&self.earlier_pods), trial: count_near(&self.trial_pods) };
    }

    /// Adds an invocation that is to be placed in this call.
    pub(crate) fn add_invocation(
        &mut self, inv: InvId, key: Option<KeyId>, op: Op, hold_until: Tenths, until: Tenths,
    ) {
        self.open += 1;
        self.max_open = self.max_open.max(self.open as f64);
        self.checks.push(hold_until, &inv);
        self.checks.push(until, &inv);
        let invocation = Invocation { key, op, hold_until, until, dispatches: vec![], answered: false };
        self.invocations.insert(inv.clone(), invocation);
        self.ready.push_back(inv);
    }

    /// Records that `build` answered `key`, where keys must not go back to an older build.
    pub(crate) fn bind_key(&mut self, key: Option<KeyId>, build: Build) {
        if let Some(key) = key.filter(|_| self.facts.sticky_keys) {
            let newest = self.key_builds.entry(key).or_insert(build);
            *newest = (*newest).max(build);
        }
    }

    /// Records a dispatch of `inv` to `pod`; returns the operation and the time limit of the invocation.
    pub(crate) fn record_dispatch(&mut self, inv: &InvId, pod: usize) -> (Op, Tenths) {
        if self.pods.in_flight[pod] == 0 {
            self.pods.last_answer[pod] = self.now;
        }
        self.pods.in_flight[pod] += 1;
        let invocation = self.invocations.get_mut(inv).expect("a pod is chosen for open invocations only");
        let dispatch = Dispatch { pod, sent_at: self.now, ended: false, not_executed: false, failed: false };
        invocation.dispatches.push(dispatch);
        (invocation.op, invocation.until)
    }
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;

    /// New builds keep coming for as long as the program runs; the arrays must not grow with them.
    #[rstest]
    fn indexes_of_long_gone_pods_are_reused() {
        let mut pods = Pods::default();
        for n in 0..5000 {
            let now = Tenths::ms(1000 * n);
            pods.list_only(n as u32 % 700, now);
        }
        assert!(pods.id.len() < 800 && pods.index.len() <= 700, "{} {}", pods.id.len(), pods.index.len());
    }

    #[rstest]
    fn index_of_a_gone_pod_with_a_dispatch_in_flight_is_kept() {
        let mut pods = Pods::default();
        pods.list_only(1, Tenths(0));
        pods.in_flight[0] = 1;
        pods.list_only(2, Tenths::ms(9_000_000));
        assert_eq!((pods.index[&PodId(1)], pods.index[&PodId(2)]), (0, 1));
    }

    impl Pods {
        fn list_only(&mut self, id: u32, now: Tenths) {
            self.listed.iter_mut().for_each(|listed| *listed = false);
            let pod = self.find_or_add(now, PodId(id), MachineKind(0), Zone(0), Cell(0), now, Build(1), 0.5);
            (self.available[pod], self.listed[pod]) = (true, true);
            self.retire_unlisted(now);
        }
    }
}
