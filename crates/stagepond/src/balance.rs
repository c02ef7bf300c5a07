//! All decisions of one sidecar: routing, throttling, retries and the sequential test of a release.
//!
//! The interface (identifiers, time, [`Facts`], [`Host`]) is in `host.rs`. Create a [`Balancer`], call
//! [`start`](Balancer::start) once, then one entry method for each input; its effects take place before it
//! returns. A pod list is a call of [`begin_pod_list`](Balancer::begin_pod_list), one of
//! [`on_pod`](Balancer::on_pod) for each entry and one of [`end_pod_list`](Balancer::end_pod_list). After
//! each input the `RULES` are tried in order until none applies. Equal inputs give equal effects.
//!
//! The sequential test is the D-SPRT of G. Fellouris and G. V. Moustakides, "Decentralized Sequential
//! Hypothesis Testing using Asynchronous Communication". Its evidence is log-likelihood ratios (natural
//! logarithm); positive values are evidence against the build.
//!
//! Terms:
//! - *late*: an answer after more than `LATE_SHARE_OF_SLO_TIME` of the SLO time. Late answers lower the
//!   concurrency limit and make pods unhealthy.
//! - *slow*: an answer after more than a quantile of the earlier build's answer times. Slow answers are
//!   evidence in the latency and fleet tests.
//! - *near*: in the zone of this sidecar; *far*: in another zone.
//! - *on trial*: newer than what is released. *Under judgement*: the build that votes are about; it is judged
//!   during its trial and after its release.

#![allow(clippy::too_many_arguments)]

pub use crate::state::Balancer;
use crate::{host::*, state::*};

// Sequential test.

/// Half width of the band around zero (the paper's Delta), as a log-likelihood ratio: unsent evidence beyond
/// it is sent as one bit.
const BAND_HALF_WIDTH: f64 = 2.0;
/// Number of sidecars up to which each has the full band. With more of them the band shrinks, so that the sum
/// of all evidence that may remain unsent stays near Wald's thresholds.
const FULL_BAND_SIDECARS: f64 = 5.0;
/// Probability of rolling back a good build (type I error).
const ALPHA: f64 = 0.01;
/// Probability of advancing a bad build (type II error).
const BETA: f64 = 0.05;
/// Failure share assumed for the earlier build before any outcome is known.
const INITIAL_FAILURE_SHARE: f64 = 0.02;
/// Bounds of that share in the error test.
const MIN_FAILURE_SHARE: f64 = 0.01;
const MAX_FAILURE_SHARE: f64 = 0.9;
/// Answer times of a build are compared with those of the earlier build only after the earlier build has given
/// this many answers.
const MIN_BASELINE_ANSWERS: u32 = 20;
/// Outcomes over which the failure share of the earlier build is averaged.
const FAILURE_WINDOW: f64 = 256.0;
/// Failure share of a bad build above that of the earlier one (alternative hypothesis of the error test).
const FAILURE_INCREASE: f64 = 0.05;
/// Number of sidecars that vote where no leadership is reported: those with the lowest indexes.
const MAX_VOTERS: usize = 3;
/// Each voter waits this much longer than the one before it.
const VOTER_DELAY: Tenths = Tenths::ms(1500);
/// Most evidence for the build (credit) that the error and latency totals hold, as a multiple of the advance
/// threshold.
const MAX_CREDIT_FACTOR: f64 = 1.5;
/// Answers of a pod younger than this are no evidence.
const MIN_POD_AGE: Tenths = Tenths::ms(3000);
/// Time from the start of a stage's pods to a vote to advance, if the evidence is not conclusive.
const ADVANCE_WAIT: Tenths = Tenths::ms(4000);
/// A conclusive vote to advance is cast this long after the minimum stage time.
const CONCLUSIVE_ADVANCE_DELAY: Tenths = Tenths::ms(700);
/// While fewer outcomes of the build are known, a vote to advance waits `UNINFORMED_WAIT_FACTOR` times as
/// long.
const MIN_OUTCOMES_TO_ADVANCE: u32 = 6;
const UNINFORMED_WAIT_FACTOR: f64 = 2.0;
/// For this time from the release, outcomes of a released build are evidence in the error test.
const RELEASE_OBSERVATION_TIME: Tenths = Tenths::ms(8000);
/// An answer is slow if it takes longer than this quantile of the earlier build's answer times. A fixed limit
/// such as the SLO time would never show a slow build on a quiet day.
const SLOW_QUANTILE: f64 = 0.8;
/// Step size for tracking the logarithm of that quantile: the inverse of the density there, for answer times
/// with an exponential tail.
const QUANTILE_GAIN: f64 = 3.0;
/// Step size of that quantile and of the share of slow answers once many answers are known.
const SLOW_THRESHOLD_STEP: f64 = 0.04;
/// Answers over which the mean answer time of the earlier build is averaged.
const LATENCY_WINDOW: u32 = 64;
/// Bounds of the earlier build's share of slow answers in the latency test.
const MIN_SLOW_SHARE: f64 = 0.05;
const MAX_SLOW_SHARE: f64 = 0.6;
/// Share of slow answers of a bad build above that of the earlier one (alternative hypothesis of the latency
/// test).
const SLOW_INCREASE: f64 = 0.3;
/// Weight of an answer in the latency test. Slow answers come in runs, so each counts for less than an
/// independent observation.
const SLOW_WEIGHT: f64 = 0.3;
/// Factor on that weight near the concurrency limit, where the runs are longer.
const SLOW_WEIGHT_NEAR_LIMIT: f64 = 0.4;
/// Increase of the fleet's share of slow answers from which the fleet counts as slowed by the build, if the
/// build has at least half of the traffic.
const FLEET_SLOW_INCREASE: f64 = 0.2;
/// Shortest time and fewest answers between two evaluations of the fleet.
const FLEET_SAMPLE_INTERVAL: Tenths = Tenths::ms(1000);
const MIN_FLEET_SAMPLE: f64 = 5.0;
/// A fleet sample taken over a longer time weighs as if it were taken over this one, in seconds.
const MAX_FLEET_SAMPLE_SECS: f64 = 3.0;
/// Evidence for each second in which the fleet's share of slow answers is twice the minimum increase above
/// the usual one and the build has all traffic.
const FLEET_EVIDENCE_PER_SEC: f64 = 2.2;
/// Factor on the moving sum of the fleet evidence for each round of `BROADCAST_INTERVAL`.
const FLEET_SLOWNESS_DECAY: f64 = 0.8;
/// Below this sum the fleet is certainly not slow.
const FLEET_HEALTHY_BELOW: f64 = -0.7;
/// A slow period counts against the build only if it begins within this time of the start of a stage.
const SLOW_PERIOD_START_LIMIT: Tenths = Tenths::ms(7000);
/// Time from the start of a slow period until it is detected.
const SLOW_PERIOD_DETECTION_TIME: Tenths = Tenths::ms(2000);
/// A build with a smaller share of the pods cannot slow the whole fleet yet.
const MIN_POD_SHARE_TO_SLOW_FLEET: f64 = 0.1;
/// Share of wrong answers of a bad build (alternative hypothesis of the wrong-answer test).
const WRONG_ANSWER_SHARE: f64 = 0.06;
/// Initial estimate of the share of wrong answers that clients of the earlier build report, as objections and
/// answers.
const INITIAL_OBJECTIONS: f64 = 1.0;
const INITIAL_ANSWERS: f64 = 250.0;
/// Weight of an objection; below one because some are false.
const OBJECTION_WEIGHT: f64 = 0.85;
/// Bounds of the log-likelihood ratio of one objection.
const MIN_OBJECTION_RATIO: f64 = 0.5;
const MAX_OBJECTION_RATIO: f64 = 3.0;
/// Weight of an answer without objection; below one because objections arrive seconds later, so silence
/// proves less than an objection does.
const NO_OBJECTION_WEIGHT: f64 = 0.7;

// Timing.

/// Interval of the periodic updates in `tick`.
const TICK_INTERVAL: Tenths = Tenths::ms(50);
/// A tick that comes later than this shows that the sidecar itself was stalled.
const MAX_TICK_DELAY: Tenths = Tenths::ms(200);
/// Interval at which evidence is summed and, if it is new, sent to the voters.
const BROADCAST_INTERVAL: Tenths = Tenths::ms(250);
/// Evidence of peers and answers of the earlier build are out of date after this time.
const STALE_AFTER: Tenths = Tenths::ms(2000);
/// The rate of succeeded dispatches is averaged over this time, in seconds, or over the uptime if that is
/// shorter.
const RATE_WINDOW_SECS: f64 = 15.0;
/// The late share of a pod is averaged over the answers of this time, in seconds, but over at least
/// `MIN_LATE_WINDOW` and at most `MAX_LATE_WINDOW` answers.
const LATE_WINDOW_SECS: f64 = 6.0;
const MIN_LATE_WINDOW: f64 = 4.0;
const MAX_LATE_WINDOW: f64 = 40.0;
/// Decay of a pod's late share, as a part of the effect that the usual number of answers in time would have.
const POD_LATE_SHARE_DECAY: f64 = 0.2;
/// Decay of the late share of far pods, which get few dispatches, in parts per second.
const FAR_LATE_SHARE_DECAY_PER_SEC: f64 = 0.1;
/// Least mean answer time, in milliseconds, that is assumed for abandoned dispatches.
const MIN_ABANDONED_MEAN_MS: f64 = 50.0;
/// Decay of the recent maximum of open invocations, in parts per second.
const MAX_OPEN_DECAY_PER_SEC: f64 = 0.15;
/// Decay of the recent traffic of a key bucket with each tick.
const KEY_TRAFFIC_DECAY: f64 = 0.995;

// Routing, retries and throttling.

/// Least weight of a pod, whatever its list says, since loads are divided by it.
const MIN_POD_WEIGHT: f64 = 0.01;
/// A sidecar draws from at least this many pods of a set, otherwise from one for each succeeded dispatch a
/// second.
const MIN_SUBSET_SIZE: f64 = 6.0;
/// Largest share of dispatches that go to far pods though near ones could take them.
const MAX_SPILL_SHARE: f64 = 0.8;
/// Change of that share a second, for each unit of the difference in late shares.
const SPILL_GAIN_PER_SEC: f64 = 0.5;
/// The difference in late shares counts from the cross-zone price plus this on.
const SPILL_MARGIN: f64 = 0.05;
/// Keys go to the build on trial up to these shares of the cap and of the trial's share of the traffic, or
/// all of them if that is `ALL_KEYS_SHARE` or more of the traffic.
const KEY_SHARE_OF_CAP: f64 = 0.8;
const KEY_SHARE_OF_TRIAL: f64 = 0.9;
const ALL_KEYS_SHARE: f64 = 0.8;
/// Number of buckets into which keys are hashed.
const KEY_BUCKETS: usize = 64;
/// After this share of the SLO time an invocation without a dispatch is given up, and a dispatch in flight is
/// checked.
const HOLD_SHARE: f64 = 0.5;
/// An answer is late after this share of the SLO time.
const LATE_SHARE_OF_SLO_TIME: f64 = 0.5;
/// How much more loaded near pods must be, for each unit of the cross-zone price, before a far pod is taken.
const CROSS_ZONE_LOAD_MARGIN: f64 = 6.0;
/// Share of late answers above which the fleet counts as full.
const MAX_LATE_SHARE: f64 = 0.45;
/// A pod whose share of errors or late answers exceeds the mean by this much is avoided.
const UNHEALTHY_MARGIN: f64 = 0.2;
/// A trial pod is passed over for the earlier pod if its load exceeds this multiple of the other's load by
/// more than `TRIAL_LOAD_MARGIN`.
const TRIAL_LOAD_FACTOR: f64 = 2.0;
const TRIAL_LOAD_MARGIN: f64 = 0.7;
/// Random draws in search of two healthy pods, before the whole set is scanned.
const MAX_POD_DRAWS: usize = 8;
/// Decay of a pod's report of dispatches in flight: after a time of 1/6 s it has half its weight.
const REPORT_DECAY_PER_SEC: f64 = 6.0;
/// Step size of the moving average of those reports.
const REPORT_STEP: f64 = 0.5;
/// A pod is stuck if it is silent for this multiple of the longest mean answer time, within these bounds.
const STUCK_AFTER_MEANS: f64 = 3.0;
const MIN_STUCK_AFTER_MS: f64 = 150.0;
const MAX_STUCK_AFTER_MS: f64 = 1000.0;
/// Rate of dispatches to a cold pod, as a share of the rate at which it would become overloaded.
const COLD_RATE_SHARE: f64 = 0.6;
/// A cold pod takes a dispatch once its level is below what it drains in this time, in seconds.
const COLD_DRAIN_SECS: f64 = 0.3;
/// After a timeout or a repeated connection failure a pod is avoided for this time, doubled for each of its
/// consecutive failures, which are counted up to `MAX_FAILURES_IN_ROW`.
const POD_BACKOFF_MS: i64 = 250;
const MAX_FAILURES_IN_ROW: u32 = 4;
/// An accepted vote is repeated after this share of the time for which the platform counts it.
const VOTE_REPEAT_SHARE: f64 = 0.5;
/// A refused vote is repeated after the vote timeout, doubled for each consecutive refusal up to this
/// number.
const MAX_REFUSED_VOTES: u32 = 5;
/// Outcomes over which a pod's share of errors is averaged.
const ERROR_SHARE_WINDOW: f64 = 12.0;
/// A pod with a larger share has had an error within about its last 20 answers.
const RECENT_ERROR_SHARE: f64 = UNHEALTHY_MARGIN / 16.0;
/// Largest share of first dispatches that goes to the build on trial.
const MAX_TRIAL_SHARE: f64 = 0.85;
/// A dispatch in flight that was not replaced is checked again after this share of the SLO time.
const RECHECK_SHARE: f64 = 0.2;
/// Dispatches that replace a stuck one are limited to this share of the invocations, plus a burst of
/// `REPLACEMENT_BURST` dispatches.
const REPLACEMENT_SHARE: f64 = 0.1;
const REPLACEMENT_BURST: f64 = 20.0;
/// A fingerprint is repeated only within this share of its deduplication window.
const DEDUP_WINDOW_SHARE: f64 = 0.95;
/// Open and abandoned invocations allowed until the limit is adjusted for the first time.
const INITIAL_CONCURRENCY_LIMIT: f64 = 64.0;
/// Least limit. It is below one, so that a sidecar with little traffic can throttle most of it.
const MIN_CONCURRENCY_LIMIT: f64 = 0.3;
/// The limit is adjusted after this share of it in answers, at least `MIN_LIMIT_SAMPLE`.
const LIMIT_SAMPLE_SHARE: f64 = 0.3;
const MIN_LIMIT_SAMPLE: f64 = 8.0;
/// The limit falls by this share of it, and by `LIMIT_CUT_PER_EXCESS` for each unit of the share of late
/// answers above its maximum.
const MIN_LIMIT_CUT: f64 = 0.07;
const LIMIT_CUT_PER_EXCESS: f64 = 0.6;
/// The limit may rise if open invocations use more than this share of it.
const NEAR_LIMIT_SHARE: f64 = 0.6;
/// Largest multiple of the usual answer time that a single answer counts with.
const MAX_SLOWDOWN: f64 = 20.0;
/// Step size of the moving shares and means that the limit depends on.
const LOAD_AVERAGE_STEP: f64 = 0.1;
/// Step size of the moving average of the billed value for work.
const VALUE_AVERAGE_STEP: f64 = 0.02;
/// Bounds of the factor on the concurrency limit that depends on the billed value.
const MIN_VALUE_FACTOR: f64 = 0.7;
const MAX_VALUE_FACTOR: f64 = 1.3;
/// Start time of a pod whose start is unknown: long before any other, so the pod counts as warm.
const UNKNOWN_START: Tenths = Tenths(i64::MIN / 4);

type PodFilter<'a> = &'a dyn Fn(&Balancer, usize) -> bool;
/// A rule returns whether it applied.
type Rule = fn(&mut Balancer, &mut dyn Host) -> bool;

/// Tried in this order; after a rule that applied, again from the first.
const RULES: [Rule; 6] = [
    Balancer::check_next_due,
    Balancer::place_next,
    Balancer::vote_to_roll_back,
    Balancer::vote_to_advance,
    Balancer::broadcast_evidence,
    Balancer::schedule_timer,
];

/// Wald's upper threshold: evidence for rolling back.
fn rollback_threshold() -> f64 {
    ((1.0 - BETA) / ALPHA).ln()
}

/// Wald's lower threshold, as a positive number: evidence for advancing.
fn advance_threshold() -> f64 {
    ((1.0 - ALPHA) / BETA).ln()
}

impl Balancer {
    /// Creates a balancer with the given settings; `seed` determines all its random choices.
    pub fn new(facts: Facts, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let ops = facts.operations.len();
        // A sidecar that restarts during a trial has no answers from before it, so that the SLO time
        // takes the place of the threshold before the trial.
        let latency_baseline = |op: &Operation| LatencyBaseline {
            slow_share: 1.0 - SLOW_QUANTILE,
            threshold_before_trial_ms: op.slo_time.0 as f64 / 10.0,
            ..LatencyBaseline::default()
        };
        Balancer {
            band_half_width: BAND_HALF_WIDTH
                * (FULL_BAND_SIDECARS / facts.sidecar_count.max(1) as f64).min(1.0),
            concurrency_limit: INITIAL_CONCURRENCY_LIMIT,
            trial_tokens: vec![0.0; if facts.cap_per_operation { ops } else { 1 }],
            key_bucket_traffic: vec![0.0; KEY_BUCKETS],
            latency_baselines: (0..facts.machine_kinds.max(1))
                .flat_map(|_| facts.operations.iter().map(latency_baseline))
                .collect(),
            failure_baselines: vec![FailureBaseline { share: INITIAL_FAILURE_SHARE }; ops],
            earlier_objections: INITIAL_OBJECTIONS,
            earlier_answers: INITIAL_ANSWERS,
            own_counts: EvidenceCounts { session: rng.u16(..), ..EvidenceCounts::default() },
            peer_counts: vec![EvidenceCounts::default(); facts.sidecar_count],
            rng,
            voters: (0..MAX_VOTERS.min(facts.sidecar_count)).map(Peer).collect(),
            voter_rank: Some(facts.own_peer.0).filter(|&rank| rank < MAX_VOTERS),
            facts,
            ..Balancer::default()
        }
    }

    /// Called once, before any input.
    pub fn start(&mut self, host: &mut dyn Host) {
        self.started_at = host.now();
        self.next_tick = host.now();
        self.on_pod_list_failure(host);
    }

    /// An invocation arrived; its client waits until `until`.
    pub fn on_invocation(
        &mut self, host: &mut dyn Host, inv: InvId, key: Option<KeyId>, op: Op, until: Tenths,
    ) {
        self.update_clock(host);
        self.replacement_tokens = (self.replacement_tokens + REPLACEMENT_SHARE).min(REPLACEMENT_BURST);
        let (bucket, cap) = (self.token_bucket(op), self.cap());
        self.trial_tokens[bucket] += cap;
        key.iter().for_each(|key| self.key_bucket_traffic[key.bucket(KEY_BUCKETS)] += 1.0);
        let limit =
            self.concurrency_limit * self.value_factor(op) * self.answer_probability(op, until - self.now);
        // The random term lets a sidecar with little traffic keep to a limit below one: a share of the
        // invocations passes.
        if self.open as f64 + self.abandoned + self.rng.f64() >= limit {
            self.limit_reached = true;
            self.fleet_sample.add(1.0, 1.0);
            host.throttle(&inv, self.facts.max_retry_after);
            return self.apply_rules(host);
        }
        let slo_time = self.facts.operations[op.0].slo_time;
        let hold_until = (self.now + slo_time.scale(HOLD_SHARE)).min(until);
        self.add_invocation(inv, key, op, hold_until, until);
        self.apply_rules(host);
    }

    /// The dispatch number `nth` of `inv` ended after `took`. `last` says that the client has its final
    /// answer; `in_flight` is what the pod reported to have in flight.
    pub fn on_outcome(
        &mut self, host: &mut dyn Host, inv: &InvId, last: bool, nth: usize, took: Tenths, ending: Ending,
        in_flight: Option<f64>,
    ) {
        self.update_clock(host);
        let Some(invocation) = self.invocations.get_mut(inv) else { return self.apply_rules(host) };
        let Some(EndedDispatch { pod, sent_at, failed_pods }) = invocation.record_ending(nth, ending) else {
            return self.apply_rules(host);
        };
        let (op, answered, key) = (invocation.op, invocation.answered, invocation.key);
        let failed = invocation.dispatches[nth].failed;
        let wait = invocation.until - sent_at;
        self.bind_key(key.filter(|_| ending == Ending::Succeeded), self.pods.build[pod]);
        self.record_pod_outcome(pod, sent_at, ending, in_flight, took > self.late_after(op));
        // A failure counts against the pod and the build once another pod has answered the same invocation,
        // or if no further dispatch may be made and no other pod has failed. An invocation that fails at
        // several pods is at fault itself.
        let no_further_dispatch =
            !self.may_dispatch_again(&self.invocations[inv]) || nth + 1 >= self.facts.max_dispatches;
        if ending == Ending::Succeeded {
            failed_pods.iter().for_each(|&failed_pod| self.record_error(failed_pod, op));
        }
        if failed && no_further_dispatch && failed_pods.is_empty() {
            self.record_error(pod, op);
        } else if !failed && !self.has_just_stalled() {
            self.record_evidence(pod, op, took, ending);
        }
        self.sample_for_limit(pod, op, took, wait, ending);
        self.succeeded_since_tick += f64::from(ending == Ending::Succeeded);
        if last || answered {
            self.close(inv);
        } else {
            self.ready.push_back(inv.clone());
        }
        self.apply_rules(host);
    }

    /// The client of `inv` has left, or has its answer already.
    pub fn on_abort(&mut self, host: &mut dyn Host, inv: &InvId) {
        self.update_clock(host);
        // A client that leaves early was waiting for the pod. The timeout of the dispatch would show only
        // seconds later that the pod is late.
        if let Some(pending) = self.invocations.get(inv).and_then(Invocation::pending_dispatch) {
            let waited = self.now - pending.sent_at;
            self.sample_for_limit(pending.pod, pending.op, waited, waited, Ending::Succeeded);
        }
        self.close(inv);
        self.apply_rules(host);
    }

    /// One entry of a pod list. `weight` is the capacity of the pod relative to others; `started_at` is the
    /// start of its process, if known.
    pub fn on_pod(
        &mut self, pod: PodId, kind: MachineKind, zone: Zone, availability: Availability, cell: Cell,
        weight: f64, started_at: Option<Tenths>, build: Build,
    ) {
        let started_at = started_at.unwrap_or(UNKNOWN_START);
        let index = self.pods.find_or_add(self.now, pod, kind, zone, cell, started_at, build, self.rng.f64());
        self.pods.weight[index] = weight.max(MIN_POD_WEIGHT);
        self.pods.available[index] = availability == Availability::Up;
        self.pods.listed[index] = true;
    }

    /// The pod list is complete.
    pub fn end_pod_list(&mut self, host: &mut dyn Host) {
        self.update_clock(host);
        self.pods.retire_unlisted(self.now);
        self.classify_pods();
        self.apply_rules(host);
    }

    /// The source of pod lists failed; the last list stays in use.
    pub fn on_pod_list_failure(&mut self, host: &mut dyn Host) {
        if self.facts.must_subscribe {
            host.subscribe(true);
        }
        self.apply_rules(host);
    }

    /// The platform reported a release whose stage started `since` ago; `to_vote` says that this answers a
    /// vote. Unless `ending` is [`Ending::Succeeded`] there was no report, and the values of the release are
    /// ignored. `cap` is the largest share of traffic for the build, 0 to 1.
    pub fn on_stage(
        &mut self, host: &mut dyn Host, build: Build, stage: u32, since: Tenths, phase: Phase, to_vote: bool,
        cap: f64, ending: Ending,
    ) {
        self.update_clock(host);
        if let (true, Some(ballot)) = (to_vote, &mut self.ballot) {
            // Exponential backoff while votes are refused; an accepted vote is repeated before it expires.
            self.refused_votes =
                if ending == Ending::Succeeded { 0 } else { (self.refused_votes + 1).min(MAX_REFUSED_VOTES) };
            let retry_delay = self.facts.vote_timeout.scale(f64::from(1 << self.refused_votes));
            let settled = matches!(ending, Ending::Succeeded | Ending::Moot);
            ballot.repeat_at =
                self.now + if settled { self.facts.vote_ttl.scale(VOTE_REPEAT_SHARE) } else { retry_delay };
        }
        if ending == Ending::Succeeded {
            if matches!(phase, Phase::GoingBack | Phase::Withdrawn) {
                self.key_builds.retain(|_, bound| *bound < build);
            }
            // A lowered cap takes effect at once: at most one token is kept, and none if the cap is zero.
            if self.release.is_some_and(|r| r.build == build && cap < r.cap) {
                let limit_tokens = |tokens: &mut f64| *tokens = if cap > 0.0 { tokens.min(1.0) } else { 0.0 };
                self.trial_tokens.iter_mut().for_each(limit_tokens);
            }
            let same_stage = self.release.is_some_and(|r| r.stage == stage);
            self.lowest_totals = if same_stage { self.lowest_totals } else { self.totals };
            self.release =
                Some(ReleaseState { build, stage, phase, cap, stage_started_at: self.now - since });
            self.classify_pods();
        }
        self.apply_rules(host);
    }

    /// A message of another sidecar arrived. One that cannot be decoded, or that concerns a build which is
    /// not under judgement here, is ignored.
    pub fn on_peer_message(&mut self, host: &mut dyn Host, from: Peer, payload: &[u8]) {
        self.update_clock(host);
        let relevant = |(build, _): &(Build, EvidenceCounts)| {
            self.judged == Some(*build) && from.0 < self.peer_counts.len()
        };
        if let Some((_, counts)) = EvidenceCounts::decode(payload).filter(relevant) {
            self.add_counts(from, counts);
        }
        self.apply_rules(host);
    }

    /// Under leadership: evidence goes to `voters`, and this sidecar votes on their sum only if it `acts`.
    /// Without a call of this method the sidecars with the lowest indexes vote.
    pub fn on_leadership(&mut self, host: &mut dyn Host, voters: Vec<Peer>, acts: bool) {
        // A new voter has received nothing yet, so the next broadcast must not wait.
        self.broadcast_at = if self.voters == voters { self.broadcast_at } else { Tenths(0) };
        (self.voters, self.voter_rank) = (voters, acts.then_some(0));
        self.apply_rules(host);
    }

    /// A client reported that an answer of `pod`, given `since` ago, was wrong.
    pub fn on_objection(&mut self, host: &mut dyn Host, pod: PodId, _op: Op, since: Tenths) {
        self.update_clock(host);
        // The answers of a pod younger than `MIN_POD_AGE` are no evidence for the build, so that objections
        // to them are none against it.
        let process = self.pods.process_at(pod, self.now - since - MIN_POD_AGE);
        let build = process.map(|index| self.pods.build[index]);
        if build.is_some() && build == self.judged {
            let p0 = self.earlier_objections / self.earlier_answers;
            let p1 = WRONG_ANSWER_SHARE * self.facts.flag_share;
            self.add_evidence(
                WRONG_ANSWER_TEST,
                OBJECTION_WEIGHT * (p1 / p0).ln().clamp(MIN_OBJECTION_RATIO, MAX_OBJECTION_RATIO),
            );
        } else if build.is_some() {
            self.earlier_objections += 1.0;
        }
        self.apply_rules(host);
    }

    /// A timer set by [`Host::set_timer`] fired; it may also be called at any other time.
    pub fn on_timer(&mut self, host: &mut dyn Host, _token: u64) {
        self.apply_rules(host);
    }

    /// Reads the clock and detects a stall. What is late after a stall is late because of this sidecar, and
    /// says nothing about pods, build or fleet.
    fn update_clock(&mut self, host: &mut dyn Host) {
        self.now = host.now();
        self.stalled_at = if self.now > self.next_tick + MAX_TICK_DELAY { self.now } else { self.stalled_at };
    }

    /// Whether a stall of this sidecar was detected at the current time.
    fn has_just_stalled(&self) -> bool {
        self.now == self.stalled_at
    }

    /// Runs the tick if it is due, then the rules until none applies.
    fn apply_rules(&mut self, host: &mut dyn Host) {
        self.update_clock(host);
        if self.now >= self.next_tick {
            self.tick();
        }
        while RULES.iter().any(|rule| rule(self, host)) {}
        // Only the burst is carried over, so the cap holds in any window.
        self.trial_tokens.iter_mut().for_each(|tokens| *tokens = tokens.min(self.facts.cap_burst));
    }

    /// Gives up the next invocation whose check is due, or replaces its dispatch if that is stuck.
    fn check_next_due(&mut self, host: &mut dyn Host) -> bool {
        let Some(inv) = self.checks.pop_due(self.now) else { return false };
        let Some(invocation) = self.invocations.get(&inv).filter(|i| !i.answered) else { return true };
        if self.now >= invocation.until || invocation.in_flight() == 0 {
            self.give_up(host, &inv);
        } else if invocation.in_flight() == 1 {
            self.replace_if_stuck(host, &inv);
        }
        true
    }

    /// Dispatches the next ready invocation, holds it, or gives it up.
    fn place_next(&mut self, host: &mut dyn Host) -> bool {
        let Some(inv) = self.ready.pop_front() else { return false };
        let placeable = |i: &&Invocation| !i.answered && i.in_flight() == 0;
        let Some(invocation) = self.invocations.get(&inv).filter(placeable) else { return true };
        // The cost of a dispatch that was cancelled at a stuck pod, or timed out there, is already spent, and
        // another pod may still answer in time.
        let cancelled_or_timed_out =
            invocation.dispatches.last().is_some_and(|d| !d.failed && !d.not_executed);
        let has_time = self.now < invocation.hold_until || cancelled_or_timed_out;
        let may_hold = has_time && invocation.first_possibly_executed().is_none();
        let within_limits =
            invocation.dispatches.len() < self.facts.max_dispatches && self.now < invocation.until;
        // An invocation that failed twice would fail at a third pod too. Retries of errors that clients cause
        // must not fill the fleet.
        let failures = invocation.dispatches.iter().filter(|d| d.failed).count();
        let may_retry = failures < 2 && self.may_dispatch_again(invocation);
        let may_dispatch = within_limits && (invocation.dispatches.is_empty() || has_time && may_retry);
        match if may_dispatch { self.choose_pod(&inv) } else { None } {
            Some(pod) => self.dispatch(host, &inv, pod),
            None if may_dispatch && may_hold => self.waiting.push_back(inv),
            None => self.give_up(host, &inv),
        }
        true
    }

    /// Votes to roll back once any test has been above the rollback threshold for this voter's delay.
    fn vote_to_roll_back(&mut self, host: &mut dyn Host) -> bool {
        let Some((delay, release)) = self.vote_delay_and_release() else { return false };
        let proven = self.totals.iter().any(|total| *total >= rollback_threshold());
        if !proven || !matches!(release.phase, Phase::Trial | Phase::Released) {
            self.rollback_proven_since = None;
            return false;
        }
        self.now >= *self.rollback_proven_since.get_or_insert(self.now) + delay
            && self.cast_vote(host, release, Verdict::Back)
    }

    /// Votes to advance once the wait since the start of the stage's pods and this voter's delay are over,
    /// while no evidence gathers against the build.
    fn vote_to_advance(&mut self, host: &mut dyn Host) -> bool {
        let Some((delay, release)) = self.vote_delay_and_release() else { return false };
        let newest_start = self.trial_pods.iter().map(|&pod| self.pods.started_at[pod]).max();
        let pods_ready_at = newest_start
            .filter(|&start| start >= release.stage_started_at)
            .unwrap_or(release.stage_started_at + ADVANCE_WAIT);
        let conclusive =
            [ERROR_TEST, LATENCY_TEST].iter().all(|test| self.totals[*test] <= -advance_threshold());
        let peers_heard = self.facts.sidecar_count < 2 || self.now < self.peer_heard_at + STALE_AFTER;
        // Once no earlier pod is left, waiting costs nothing, and only time can show whether the build is
        // good.
        let informed = peers_heard && self.known_outcomes >= MIN_OUTCOMES_TO_ADVANCE && !self.no_earlier_pods;
        let min_wait = self.facts.min_stage_time + CONCLUSIVE_ADVANCE_DELAY;
        let wait = if conclusive && informed {
            min_wait
        } else {
            ADVANCE_WAIT.scale(if informed { 1.0 } else { UNINFORMED_WAIT_FACTOR })
        };
        let may_advance =
            release.phase == Phase::Trial && self.slow_period != Some(true) && self.facts.votes_advance;
        // A total that rises from its lowest value in this stage is evidence against the build.
        let losing_credit = (0..TEST_COUNT)
            .any(|test| self.totals[test] > (self.lowest_totals[test] + BAND_HALF_WIDTH / 2.0).min(0.0));
        if !may_advance || losing_credit || self.now < pods_ready_at.max(self.started_at) + wait {
            self.advance_ready_since = None;
            return false;
        }
        self.now >= *self.advance_ready_since.get_or_insert(self.now) + delay
            && self.cast_vote(host, release, Verdict::On)
    }

    /// Sends the evidence to the voters. Evidence for and against the build goes out at the same interval.
    /// Without new evidence all sidecars together repeat theirs only as often as `FULL_BAND_SIDECARS` would.
    fn broadcast_evidence(&mut self, host: &mut dyn Host) -> bool {
        let Some(build) = self.judged.filter(|_| self.now >= self.next_broadcast) else { return false };
        self.next_broadcast = self.now + BROADCAST_INTERVAL;
        self.update_totals();
        let repeat_interval =
            BROADCAST_INTERVAL.scale((self.facts.sidecar_count as f64 / FULL_BAND_SIDECARS).max(1.0));
        let unchanged = self.own_counts.has_same_crossings(&self.broadcast_counts);
        if unchanged && self.now < self.broadcast_at + repeat_interval {
            return false;
        }
        self.broadcast_counts = self.own_counts;
        self.broadcast_at = self.now;
        if self.facts.peer_messages && self.own_counts.outcomes > 0 {
            let payload = self.own_counts.encode(build);
            for peer in self.voters.iter().filter(|peer| **peer != self.facts.own_peer) {
                host.send_to_peer(Some(*peer), &payload);
            }
        }
        self.add_counts(self.facts.own_peer, self.own_counts);
        true
    }

    /// Sets a timer for what is due next, unless one is set.
    fn schedule_timer(&mut self, host: &mut dyn Host) -> bool {
        self.next_timer().map(|delay| host.set_timer(delay, 0)).is_some()
    }

    /// Answers the invocation as throttled if it may safely be repeated in time, otherwise as terminated.
    fn give_up(&mut self, host: &mut dyn Host, inv: &InvId) {
        let invocation = &self.invocations[inv];
        let op = &self.facts.operations[invocation.op.0];
        if invocation.is_safe_to_repeat(op) && self.now < invocation.until {
            host.throttle(inv, self.facts.max_retry_after);
        } else {
            host.terminate(inv);
        }
        self.close(inv);
    }

    /// Whether a further dispatch is safe, given what earlier ones may have executed.
    fn may_dispatch_again(&self, invocation: &Invocation) -> bool {
        let op = &self.facts.operations[invocation.op.0];
        match (invocation.first_possibly_executed(), op.retry_safety) {
            (None, _) | (_, RetrySafety::Idempotent) => true,
            (Some((_, sent_at)), RetrySafety::Fingerprinted) => {
                self.now < sent_at + op.dedup_window.scale(DEDUP_WINDOW_SHARE)
            }
            (Some(_), RetrySafety::SideEffecting) => false,
        }
    }

    /// Replaces or cancels the dispatch in flight if its pod looks stuck. If the pod only has a queue,
    /// another dispatch would lengthen the queue.
    fn replace_if_stuck(&mut self, host: &mut dyn Host, inv: &InvId) {
        let invocation = &self.invocations[inv];
        let Some(nth) = invocation.dispatches.iter().position(|d| !d.ended) else { return };
        let within_limits =
            invocation.dispatches.len() < self.facts.max_dispatches && self.replacement_tokens >= 1.0;
        // While many answers are late, a pod that looks stuck has a queue, and continues to execute what is
        // cancelled.
        let stuck =
            self.late_share.near < MAX_LATE_SHARE / 2.0 && self.is_stuck(invocation.dispatches[nth].pod);
        if !stuck || !within_limits || !self.may_dispatch_again(invocation) {
            let next_check = self.now + self.facts.operations[invocation.op.0].slo_time.scale(RECHECK_SHARE);
            return self.checks.push(next_check, inv);
        }
        self.replacement_tokens -= 1.0;
        match self.facts.parallel_dispatches.then(|| self.choose_pod(inv)).flatten() {
            Some(pod) => self.dispatch(host, inv, pod),
            None if self.facts.cancel_allowed && !self.facts.parallel_dispatches => host.cancel(inv, nth),
            None => {}
        }
    }

    /// Dispatches to `pod` and charges its dispatch level and, for a pod on trial, the cap.
    fn dispatch(&mut self, host: &mut dyn Host, inv: &InvId, pod: usize) {
        let (op, until) = self.record_dispatch(inv, pod);
        let level = self.current_dispatch_level(pod) + 1.0;
        self.pods.dispatch_level[pod] = DispatchLevel { level, updated_at: self.now };
        if self.is_on_trial(self.pods.build[pod]) {
            let bucket = self.token_bucket(op);
            self.trial_tokens[bucket] -= 1.0;
        }
        host.dispatch(inv, self.pods.id[pod], until);
    }

    /// Determines the build under judgement and divides the available pods into earlier ones and those on
    /// trial.
    fn classify_pods(&mut self) {
        let newest_build = self.pods.all_available().map(|pod| self.pods.build[pod]).max();
        // A released build is judged only if it was judged during its trial.
        let is_judged = |build: &Build| self.is_on_trial(*build) || self.judged == Some(*build);
        let judged = newest_build.max(self.release.map(|r| r.build)).filter(is_judged);
        if judged != self.judged {
            self.judged = judged;
            self.reset_evidence();
        }
        let (trial, earlier): (Vec<usize>, Vec<usize>) =
            self.pods.all_available().partition(|&pod| self.is_on_trial(self.pods.build[pod]));
        self.trial_pods = trial.into_iter().filter(|&pod| Some(self.pods.build[pod]) == judged).collect();
        self.earlier_pods = earlier;
        self.no_earlier_pods = self.pods.all_available().all(|pod| Some(self.pods.build[pod]) >= judged);
        // Once the newest released build has half of the earlier pods, pods of older builds get no further
        // dispatches.
        let newest_released = self.earlier_pods.iter().map(|&pod| self.pods.build[pod]).max();
        let is_newest = |pod: &usize| Some(self.pods.build[*pod]) == newest_released;
        if self.earlier_pods.iter().filter(|pod| is_newest(pod)).count() * 2 >= self.earlier_pods.len() {
            self.earlier_pods.retain(is_newest);
        }
        self.sort_near_pods_first();
        self.update_fleet_figures();
        self.trial_share = self.compute_trial_share();
    }

    /// Whether phase, cap and stage allow a dispatch of this operation to the build on trial.
    fn trial_allows(&self, op: Op) -> bool {
        let (phase, stage) = self.judged_release().map_or((Phase::Trial, 0), |r| (r.phase, r.stage));
        let within_cap = self.cap() > 0.0 && self.trial_tokens[self.token_bucket(op)] >= 1.0;
        let barred = stage < self.facts.idempotent_only_stages
            && self.facts.operations[op.0].retry_safety != RetrySafety::Idempotent;
        matches!(phase, Phase::Trial | Phase::GoingBack) && within_cap && !barred
    }

    /// Chooses a pod for the next dispatch: one on trial for the trial's share of the traffic, unless it is
    /// much more loaded than the earlier pod that would be chosen instead.
    fn choose_pod(&mut self, inv: &InvId) -> Option<usize> {
        let invocation = &self.invocations[inv];
        let (op, is_first) = (invocation.op, invocation.dispatches.is_empty());
        let tried: Vec<usize> = invocation.dispatches.iter().map(|d| d.pod).collect();
        let Operation { retry_safety, dedup_scope, .. } = self.facts.operations[op.0];
        let possibly_executed_by = invocation
            .first_possibly_executed()
            .filter(|_| retry_safety == RetrySafety::Fingerprinted)
            .map(|(pod, _)| pod);
        let sticky_key = invocation.key.filter(|_| self.facts.sticky_keys);
        let min_build = sticky_key.and_then(|key| self.key_builds.get(&key).copied());
        let drawn_for_trial = match sticky_key {
            Some(key) => key.bucket(KEY_BUCKETS) < self.trial_key_buckets,
            None => self.rng.f64() < self.trial_share,
        };
        let bound_to_trial = min_build.is_some_and(|build| self.is_on_trial(build));
        let eligible = |balancer: &Self, pod: usize| {
            possibly_executed_by
                .is_none_or(|executor| balancer.pods.share_dedup_scope(dedup_scope, pod, executor))
                && min_build.is_none_or(|build| balancer.pods.build[pod] >= build)
        };
        let to_trial = self.trial_allows(op)
            && (bound_to_trial || is_first && drawn_for_trial || self.earlier_pods.is_empty());
        let trial = if to_trial { self.choose_from_set(true, &tried, &eligible) } else { None };
        let earlier = if bound_to_trial { None } else { self.choose_from_set(false, &tried, &eligible) };
        match (trial, earlier) {
            (Some(t), Some(e)) if self.load(t) > self.load(e) * TRIAL_LOAD_FACTOR + TRIAL_LOAD_MARGIN => {
                Some(e)
            }
            (t, e) => t.or(e),
        }
    }

    /// The share of traffic that the build on trial would carry if it were released, so that a build which
    /// fails only under load fails before its release. It is computed for this zone and for all pods, and the
    /// lesser counts: a zone with few trial pods would overload them and find the build slow. A zone without
    /// trial pods uses the share for all.
    fn compute_trial_share(&self) -> f64 {
        let capacity = |set: &[usize]| set.iter().map(|&pod| self.capacity(pod)).sum::<f64>();
        let share = |earlier: &[usize], trial: &[usize], capacity_before: f64| {
            // Pods that are too cold to take a dispatch do not count; their share would fall on the warm
            // trial pods.
            let usable =
                trial.iter().filter(|&&pod| self.can_take(pod)).map(|&pod| self.capacity(pod)).sum::<f64>();
            // Near its limit the fleet is loaded evenly, as a little more load would make any build late
            // there.
            let even = capacity_before == 0.0 || self.late_share.near > MAX_LATE_SHARE / 2.0;
            usable / if even { capacity(earlier) + capacity(trial) } else { capacity_before }.max(1e-9)
        };
        let all =
            share(&self.earlier_pods, &self.trial_pods, self.capacity_before_trial.all).min(MAX_TRIAL_SHARE);
        let near = share(
            &self.earlier_pods[..self.near_pods.earlier],
            &self.trial_pods[..self.near_pods.trial],
            self.capacity_before_trial.near,
        );
        near.min(all).max(if self.near_pods.trial > 0 { 0.0 } else { all })
    }

    /// Chooses a pod of this zone, unless one of another zone is so much less loaded that it is worth the
    /// cross-zone price. `spill_share` of the dispatches go to the other zone if its pod is not more loaded.
    fn choose_from_set(&mut self, trial: bool, tried: &[usize], eligible: PodFilter) -> Option<usize> {
        let near = self.choose_of_two(trial, true, tried, eligible);
        let far = self.choose_of_two(trial, false, tried, eligible);
        let margin = CROSS_ZONE_LOAD_MARGIN * self.facts.cross_zone_price;
        match (near, far) {
            (Some(near), Some(far))
                if self.load(far) <= self.load(near) && self.rng.f64() < self.spill_share =>
            {
                Some(far)
            }
            (Some(near), Some(far)) if self.load(near) > (1.0 + margin) * self.load(far) + margin => {
                Some(far)
            }
            (near, far) => near.or(far),
        }
    }

    /// The less loaded of two healthy pods drawn at random ("power of two choices"). The whole set is scanned
    /// only if none of `MAX_POD_DRAWS` pods drawn is healthy; a pod that is merely usable is taken if no
    /// healthy one exists.
    fn choose_of_two(
        &mut self, trial: bool, near: bool, tried: &[usize], eligible: PodFilter,
    ) -> Option<usize> {
        let (set, near_count) = if trial {
            (&self.trial_pods, self.near_pods.trial)
        } else {
            (&self.earlier_pods, self.near_pods.earlier)
        };
        let mut rng = self.rng.clone();
        let (near_pods, far_pods) = set.split_at(near_count);
        let all = if near { near_pods } else { far_pods };
        let subset = &all[..self.subset_size.min(all.len())];
        let usable = |balancer: &Self, pod: usize| eligible(balancer, pod) && balancer.can_take(pod);
        let healthy = |balancer: &Self, pod: usize| {
            let answering = balancer.now >= balancer.pods.avoided_until[pod] && !balancer.is_stuck(pod);
            let few_errors = balancer.pods.error_share[pod] <= balancer.mean_error_share + UNHEALTHY_MARGIN;
            let few_late = balancer.pods.late_share[pod] <= balancer.mean_late_share + UNHEALTHY_MARGIN;
            answering && few_errors && few_late && !tried.contains(&pod) && usable(balancer, pod)
        };
        let (mut best, mut found) = (None, 0);
        for _ in 0..if subset.is_empty() { 0 } else { MAX_POD_DRAWS } {
            let pod = subset[rng.usize(0..subset.len())];
            // Drawn in proportion to capacity: with nothing in flight the pod of larger capacity always looks
            // less loaded.
            if found < 2 && rng.f64() * self.max_capacity < self.capacity(pod) && healthy(self, pod) {
                best = best
                    .filter(|&current| self.relative_queue(current) <= self.relative_queue(pod))
                    .or(Some(pod));
                found += 1;
            }
        }
        if found == 0 {
            let (head, tail) = all.split_at(rng.usize(0..all.len().max(1)));
            let from_random_start = || tail.iter().chain(head).copied();
            best = from_random_start()
                .find(|&pod| healthy(self, pod))
                .or_else(|| from_random_start().find(|&pod| usable(self, pod)));
        }
        self.rng = rng;
        best
    }

    /// Queue of the pod with one more dispatch, relative to its capacity.
    fn load(&self, pod: usize) -> f64 {
        self.relative_queue(pod) + 1.0 / self.capacity(pod)
    }

    /// Estimated dispatches in flight at the pod, of all sidecars, relative to its capacity.
    fn relative_queue(&self, pod: usize) -> f64 {
        // A report loses weight with age; otherwise a pod once found busy, and avoided since, would never be
        // found idle again.
        let age = (self.now - self.pods.last_answer[pod]).as_secs().max(0.0);
        let elsewhere = self.pods.in_flight_elsewhere[pod] / (1.0 + REPORT_DECAY_PER_SEC * age);
        (self.pods.in_flight[pod] as f64 + self.pods.abandoned[pod] + elsewhere) / self.capacity(pod)
    }

    /// Dispatches a second that this sidecar may send to the pod while it is cold.
    fn cold_dispatch_rate(&self, pod: usize) -> f64 {
        COLD_RATE_SHARE * self.facts.overload_multiple * self.warm_share(pod) * self.rate_per_pod
    }

    /// Dispatch level of the pod, drained up to now.
    fn current_dispatch_level(&self, pod: usize) -> f64 {
        let DispatchLevel { level, updated_at } = self.pods.dispatch_level[pod];
        (level - self.cold_dispatch_rate(pod) * (self.now - updated_at).as_secs()).max(0.0)
    }

    /// Whether the pod is warm, or has room for a dispatch while cold. A cold pod looks idle to all sidecars,
    /// which together would overload it, so each keeps to its part of the rate at which a warm pod usually
    /// answers well; bursts and errors do not raise that rate. If the part is less than one dispatch, the
    /// random level drawn in `on_pod` decides who sends the first one and when, since hundreds of single
    /// dispatches would be a burst too.
    fn can_take(&self, pod: usize) -> bool {
        self.warm_share(pod) >= 1.0
            || self.current_dispatch_level(pod) <= COLD_DRAIN_SECS * self.cold_dispatch_rate(pod)
    }

    /// Whether the pod has several dispatches in flight and has not answered for much longer than usual.
    fn is_stuck(&self, pod: usize) -> bool {
        let longest_mean_ms = self.latency_baselines.iter().map(|b| b.mean_ms).fold(0.0, f64::max);
        let max_silence = Tenths::floor_ms(
            (longest_mean_ms * STUCK_AFTER_MEANS).clamp(MIN_STUCK_AFTER_MS, MAX_STUCK_AFTER_MS),
        );
        self.pods.in_flight[pod] >= 2 && self.now - self.pods.last_answer[pod] > max_silence
    }

    /// Time after which an answer to this operation is late.
    fn late_after(&self, op: Op) -> Tenths {
        self.facts.operations[op.0].slo_time.scale(LATE_SHARE_OF_SLO_TIME)
    }

    /// Updates the health of a pod by the ending of a dispatch sent at `sent_at`.
    fn record_pod_outcome(
        &mut self, pod: usize, sent_at: Tenths, ending: Ending, in_flight: Option<f64>, late: bool,
    ) {
        self.pods.in_flight[pod] = self.pods.in_flight[pod].saturating_sub(1);
        self.pods.abandoned[pod] += f64::from(matches!(ending, Ending::TimedOut | Ending::Cancelled));
        if let Some(reported) = in_flight {
            let elsewhere = (reported - self.pods.in_flight[pod] as f64).max(0.0);
            let change = elsewhere - self.pods.in_flight_elsewhere[pod];
            self.pods.in_flight_elsewhere[pod] += change * REPORT_STEP;
        }
        // A pod may be late for this sidecar only. If no other pods are healthy, the whole fleet is full, and
        // the answer says nothing about the pod.
        if matches!(ending, Ending::Succeeded | Ending::TimedOut) && !self.has_just_stalled() {
            let late_alone = f64::from(late && self.some_pods_healthy);
            self.pods.late_share[pod] += (late_alone - self.pods.late_share[pod]) / self.late_share_window;
        }
        match ending {
            Ending::Succeeded | Ending::Error => {
                self.pods.failures_in_row[pod] = 0;
                self.pods.last_answer[pod] = self.now;
                self.pods.error_share[pod] *= if ending == Ending::Error {
                    1.0
                } else {
                    (ERROR_SHARE_WINDOW - 1.0) / ERROR_SHARE_WINDOW
                };
            }
            Ending::TimedOut if self.pods.last_answer[pod] > sent_at || !late => {}
            Ending::TimedOut | Ending::NoConnection | Ending::Reset => {
                // A single connection may break at any time. After a second failure the process may have
                // died, and would come back cold.
                let repeated = self.pods.failures_in_row[pod] > 0;
                if repeated && ending != Ending::TimedOut {
                    self.pods.cold_since[pod] = self.now;
                    self.pods.dispatch_level[pod] =
                        DispatchLevel { level: self.rng.f64(), updated_at: self.now };
                }
                self.pods.failures_in_row[pod] =
                    (self.pods.failures_in_row[pod] + 1).min(MAX_FAILURES_IN_ROW);
                let avoid = repeated || ending == Ending::TimedOut;
                let backoff_ms = i64::from(avoid) * (POD_BACKOFF_MS << self.pods.failures_in_row[pod]);
                self.pods.avoided_until[pod] = self.now + Tenths::ms(backoff_ms);
            }
            _ => {}
        }
    }

    /// Counts an error against the pod and its build.
    fn record_error(&mut self, pod: usize, op: Op) {
        self.pods.error_share[pod] += (1.0 - self.pods.error_share[pod]) / ERROR_SHARE_WINDOW;
        self.record_evidence(pod, op, Tenths(0), Ending::Error);
    }

    /// Uses an outcome as evidence: for or against the build under judgement, or for the baselines of the
    /// earlier one.
    fn record_evidence(&mut self, pod: usize, op: Op, took: Tenths, ending: Ending) {
        let (ms, age) = (took.0 as f64 / 10.0, self.now - self.pods.started_at[pod]);
        let is_judged = Some(self.pods.build[pod]) == self.judged;
        let counts = matches!(ending, Ending::Succeeded | Ending::Error | Ending::TimedOut);
        // A dispatch cancelled at a pod that looked stuck is slow; otherwise a build that never answers would
        // never be found slow.
        let cancelled = is_judged && ending == Ending::Cancelled;
        let time_limit_too_short = ending == Ending::TimedOut && took < self.late_after(op);
        if time_limit_too_short || !(counts || cancelled) || is_judged && age < MIN_POD_AGE {
            return;
        }
        let trial_affects_fleet = self.release_affecting_fleet().is_some();
        // Late answers and timeouts belong to the latency test: under load any build has them.
        let timed_out = ending == Ending::TimedOut;
        let failed = ending == Ending::Error;
        let below_full_cap = self.cap() < 1.0;
        let index = self.baseline_index(pod, op);
        let baseline = &self.latency_baselines[index];
        // During the trial the earlier pods have less load than before and answer faster, so the threshold
        // from before the trial counts if it is higher.
        let has_before = is_judged && self.samples_before > 0.0;
        let min_threshold_ms = if has_before { baseline.threshold_before_trial_ms } else { 0.0 };
        let slow = timed_out || cancelled || ms > baseline.slow_threshold_ms.max(min_threshold_ms);
        // Most answers exceed a threshold that is not learnt yet. A time before the trial that looks slow for
        // that reason would hide a bad build.
        let learnt = trial_affects_fleet || baseline.answers >= MIN_BASELINE_ANSWERS;
        if age >= MIN_POD_AGE && !failed && learnt && (!is_judged || self.no_earlier_pods || !below_full_cap)
        {
            let threshold = if trial_affects_fleet {
                baseline.threshold_before_trial_ms
            } else {
                baseline.slow_threshold_ms
            };
            let slower = f64::from(timed_out || ms > threshold);
            self.fleet_sample.add(slower, 1.0);
        }
        if is_judged {
            self.judge_outcome(pod, op, age, slow, failed, cancelled);
        } else if age >= self.facts.warmup_time {
            self.failure_baselines[op.0].record(failed, FAILURE_WINDOW);
            if !failed {
                self.earlier_answers += 1.0;
                let baseline = &mut self.latency_baselines[index];
                baseline.updated_at = self.now;
                baseline.record(ms, slow, SLOW_QUANTILE, LATENCY_WINDOW, SLOW_THRESHOLD_STEP, QUANTILE_GAIN);
            }
        }
    }

    /// Adds an outcome of the build under judgement to the error, latency and wrong-answer tests.
    fn judge_outcome(&mut self, pod: usize, op: Op, age: Tenths, slow: bool, failed: bool, cancelled: bool) {
        self.own_counts.outcomes = self.own_counts.outcomes.saturating_add(1);
        let released = self.is_released();
        // What begins long after a release is not caused by the build, and no earlier pod is left to compare
        // with.
        let release_is_old = released
            && self.release.is_some_and(|r| self.now > r.stage_started_at + RELEASE_OBSERVATION_TIME);
        let excused = release_is_old || failed && self.errors_are_excused(released);
        let p0 = self.failure_baselines[op.0].share.clamp(MIN_FAILURE_SHARE, MAX_FAILURE_SHARE);
        let error_evidence =
            if excused || cancelled { 0.0 } else { log_likelihood_ratio(failed, p0, p0 + FAILURE_INCREASE) };
        // A slow build cannot be distinguished from a slow period if the earlier build has not answered
        // recently, has hardly any load left, or the fleet is near its limit.
        let baseline = &self.latency_baselines[self.baseline_index(pod, op)];
        let comparable = self.cap() < 1.0
            && self.late_share.near < MAX_LATE_SHARE / 2.0
            && self.now < baseline.updated_at + STALE_AFTER;
        let warm_on_trial = !failed && !released && age >= self.facts.warmup_time;
        if warm_on_trial && comparable && baseline.answers >= MIN_BASELINE_ANSWERS {
            // The upper end of the estimate, since a sidecar with few answers knows little: the standard
            // error of a share of n answers is at most 0.5 / sqrt(n).
            let uncertainty = 0.5 / f64::from(baseline.answers.min(LATENCY_WINDOW)).sqrt();
            let p0 = (baseline.slow_share + uncertainty).clamp(MIN_SLOW_SHARE, MAX_SLOW_SHARE);
            let run_weight = if self.is_near_limit() { SLOW_WEIGHT_NEAR_LIMIT } else { 1.0 };
            let ratio = log_likelihood_ratio(slow, p0, p0 + SLOW_INCREASE);
            self.add_evidence(LATENCY_TEST, SLOW_WEIGHT * run_weight * ratio);
        }
        self.add_evidence(ERROR_TEST, error_evidence);
        let answered = f64::from(!failed && !cancelled);
        let no_objection = answered * NO_OBJECTION_WEIGHT * WRONG_ANSWER_SHARE * self.facts.flag_share;
        self.add_evidence(WRONG_ANSWER_TEST, -no_objection);
    }

    /// Whether errors of the build under judgement are attributed to single pods instead of the build: if at
    /// most a quarter of the build's pods have errors, or if an earlier pod has many errors too and at most
    /// half of the build's pods have as many. Only pods that have answered this sidecar are counted.
    fn errors_are_excused(&self, released: bool) -> bool {
        let error_share = &self.pods.error_share;
        let own_pods = if released { &self.earlier_pods } else { &self.trial_pods };
        let pods_with_errors = |min: f64| own_pods.iter().filter(|pod| error_share[**pod] > min).count();
        let earlier_pods_fail =
            !released && self.earlier_pods.iter().any(|&pod| error_share[pod] > UNHEALTHY_MARGIN);
        // A sidecar with little traffic has had answers from a few pods only, and by chance one failing pod
        // more may be among them.
        let answered =
            own_pods.iter().filter(|pod| self.pods.last_answer[**pod] > self.pods.started_at[**pod]).count();
        let max_failing = answered / 4 + usize::from(answered < own_pods.len());
        earlier_pods_fail && pods_with_errors(UNHEALTHY_MARGIN) <= answered.max(2) / 2
            || pods_with_errors(RECENT_ERROR_SHARE) <= max_failing
    }

    /// Index into `latency_baselines` for the machine kind of `pod`.
    fn baseline_index(&self, pod: usize, op: Op) -> usize {
        self.pods.kind[pod].0 * self.facts.operations.len() + op.0
    }

    /// Adds evidence of this sidecar to a test and counts each crossing of the band as one bit. An
    /// observation that is heavier than the band counts as several crossings, with the remainder kept.
    fn add_evidence(&mut self, test: usize, weight: f64) {
        let sum = self.unsent_evidence[test] + weight;
        let crossings = (sum / self.band_half_width).trunc();
        self.unsent_evidence[test] = sum - crossings * self.band_half_width;
        let counts = if crossings > 0.0 {
            &mut self.own_counts.up_crossings
        } else {
            &mut self.own_counts.down_crossings
        };
        counts[test] = counts[test].wrapping_add(crossings.abs() as u16);
    }

    /// Adds the pending evidence to the totals, which stay within bounds: a build that turns bad late must
    /// not first use up the credit of a good start. The evidence of one round is summed before the bounds
    /// apply; if they applied to each bit, the lower bound would drop evidence for the build but keep evidence
    /// against it.
    fn update_totals(&mut self) {
        let mut pending = std::mem::take(&mut self.pending_evidence);
        pending[FLEET_TEST] = self.filter_slow_period(pending[FLEET_TEST] / self.facts.sidecar_count as f64);
        for (test, evidence) in pending.into_iter().enumerate() {
            // Objections are late and few, and a slow period of the fleet is short: neither test gathers credit.
            let credit = -MAX_CREDIT_FACTOR * advance_threshold();
            let min = [credit, credit, -BAND_HALF_WIDTH, 0.0][test];
            self.totals[test] =
                (self.totals[test] + evidence).clamp(min, rollback_threshold() + BAND_HALF_WIDTH);
            self.lowest_totals[test] = self.lowest_totals[test].min(self.totals[test]);
        }
    }

    /// Returns the fleet evidence; evidence against the build is dropped if the slow period did not begin
    /// soon after the build got more traffic. Its start is determined from the sum of all sidecars: of a few
    /// answers a second sometimes none is slow, and a single sidecar would then see a new period begin.
    fn filter_slow_period(&mut self, evidence: f64) -> f64 {
        self.fleet_slowness = self.fleet_slowness * FLEET_SLOWNESS_DECAY + evidence;
        if self.fleet_slowness < FLEET_HEALTHY_BELOW {
            self.fleet_healthy_at = self.now;
        }
        // If the fleet was healthy until the first pods of the stage started, which are still cold, something
        // else slowed it.
        let detectable_since = self.now - SLOW_PERIOD_DETECTION_TIME;
        let had_time_to_slow = |r: ReleaseState| {
            self.trial_pods.iter().any(|&pod| {
                r.stage_started_at <= self.pods.started_at[pod]
                    && self.pods.started_at[pod] <= detectable_since
            })
        };
        let began_soon_after_start = |r: ReleaseState| {
            self.now < r.stage_started_at + SLOW_PERIOD_START_LIMIT
                && (self.fleet_healthy_at < detectable_since || had_time_to_slow(r))
        };
        let began_with_stage =
            !self.trial_pods.is_empty() && self.judged_release().is_some_and(began_soon_after_start);
        self.slow_period = (self.fleet_slowness > 0.0).then(|| self.slow_period.unwrap_or(began_with_stage));
        if self.slow_period == Some(false) {
            evidence.min(0.0)
        } else {
            evidence
        }
    }

    /// Once a second, compares the fleet with the time before the trial: a build may slow old and new pods
    /// alike. Throttled invocations count as slow, since the limit would otherwise hide the slowdown.
    fn evaluate_fleet_sample(&mut self) {
        let before_trial = self.release_affecting_fleet().is_none();
        if before_trial {
            let sidecars = self.facts.sidecar_count as f64;
            for baseline in self.latency_baselines.iter_mut().filter(|b| b.answers > 0) {
                baseline.threshold_before_trial_ms =
                    baseline.upper_threshold_ms(SLOW_QUANTILE, SLOW_THRESHOLD_STEP, sidecars);
            }
        }
        if self.now < self.fleet_sampled_at + FLEET_SAMPLE_INTERVAL
            || self.fleet_sample.all < MIN_FLEET_SAMPLE
        {
            return;
        }
        let seconds = (self.now - self.fleet_sampled_at).as_secs().min(MAX_FLEET_SAMPLE_SECS);
        self.fleet_sampled_at = self.now;
        let sample = std::mem::take(&mut self.fleet_sample);
        let slow_share = sample.share();
        if before_trial {
            self.samples_before += 1.0;
            // Average of the first ten samples, then a moving average.
            self.slow_share_before +=
                (slow_share - self.slow_share_before) * (1.0 / self.samples_before).max(0.1);
            return;
        }
        let usual = self.slow_share_before.max(1.0 - SLOW_QUANTILE);
        // A build that slows the fleet does so in proportion to its traffic: at a quarter of the traffic the
        // increase is half of that at half.
        // Without earlier pods it counts as half of the traffic, since a rollback would start every pod cold.
        let traffic = if self.no_earlier_pods { 0.5 } else { self.trial_share };
        let min_increase = FLEET_SLOW_INCREASE * (2.0 * traffic).clamp(0.5, 1.0);
        // A bound below the random variation of a few answers would make the sum of many sidecars too small.
        let bound = 1.0 + 2.0 / sample.all.sqrt();
        let excess = ((slow_share - usual - min_increase) / min_increase).clamp(-bound, bound);
        // A slow second weighs by the build's share of the traffic, at a quarter as much as at half.
        let traffic_weight = traffic.max((2.0 * traffic).min(0.5));
        let weight = FLEET_EVIDENCE_PER_SEC * seconds * traffic_weight;
        // Wald's bound on false rollbacks holds for a sum whose steps have the mean -weight and the variance
        // weight^2 * v, with v the variance of `excess`, up to the weight 2 / v. The answers of all sidecars
        // count, since their evidence is averaged.
        let answers = sample.all * self.facts.sidecar_count as f64;
        let max_weight =
            2.0 * answers * min_increase.powi(2) / (usual * (1.0 - usual)).max(f64::MIN_POSITIVE);
        self.add_evidence(FLEET_TEST, excess * weight.min(max_weight));
    }

    /// Samples an answer for the concurrency limit, which follows the share of late answers: a few costly
    /// operations are late on an idle fleet too. `wait` is how long the client would have waited from the
    /// dispatch on.
    fn sample_for_limit(&mut self, pod: usize, op: Op, took: Tenths, wait: Tenths, ending: Ending) {
        let late_after = self.late_after(op);
        let late = match ending {
            _ if self.has_just_stalled() => return,
            // If the client does not wait until an answer would be late, an early answer says nothing either.
            Ending::Succeeded | Ending::TimedOut if wait < late_after => return,
            Ending::Succeeded => took > late_after,
            Ending::TimedOut | Ending::Full | Ending::NoConnection => true,
            _ => return,
        };
        let usual_ms = self.latency_baselines[self.baseline_index(pod, op)].mean_ms;
        if usual_ms > 0.0 && took > Tenths(0) {
            self.slowdown +=
                ((took.0 as f64 / 10.0 / usual_ms).min(MAX_SLOWDOWN) - self.slowdown) * LOAD_AVERAGE_STEP;
        }
        let late_share = if self.pods.zone[pod] == self.facts.zone {
            &mut self.late_share.near
        } else {
            &mut self.late_share.far
        };
        *late_share += (f64::from(late) - *late_share) * LOAD_AVERAGE_STEP;
        // Timeouts and failed connections at a few pods do not show that the fleet is full.
        let counts = f64::from(matches!(ending, Ending::Succeeded | Ending::Full));
        self.limit_sample.add(counts * f64::from(late), counts);
        let min_sample =
            (LIMIT_SAMPLE_SHARE * self.concurrency_limit.min(self.max_open)).max(MIN_LIMIT_SAMPLE);
        if self.limit_sample.all >= min_sample {
            self.adjust_concurrency_limit();
        }
    }

    /// Moves the limit in proportion to how far the share of late answers is from its maximum. Small fixed
    /// steps would be too slow, since a sidecar with little traffic takes a second or two to gather eight
    /// answers.
    fn adjust_concurrency_limit(&mut self) {
        let late_share = std::mem::take(&mut self.limit_sample).share();
        let limit_reached = std::mem::take(&mut self.limit_reached);
        let excess = late_share - MAX_LATE_SHARE;
        if excess > 0.0 {
            // If far pods are late less often, dispatches first move there; the limit is lowered by the least
            // step only.
            let can_spill = self.near_pods.earlier < self.earlier_pods.len()
                && self.late_share.near > self.late_share.far + UNHEALTHY_MARGIN;
            let cut = if can_spill { MIN_LIMIT_CUT } else { MIN_LIMIT_CUT + LIMIT_CUT_PER_EXCESS * excess };
            self.concurrency_limit =
                (self.concurrency_limit.min(self.max_open + 1.0) * (1.0 - cut)).max(MIN_CONCURRENCY_LIMIT);
        } else if limit_reached || self.is_near_limit() {
            // The limit rises by 4% and 0.2 invocations, and by more the fewer answers are late (`excess` is
            // not positive here).
            self.concurrency_limit = self.concurrency_limit * (1.04 - 0.2 * excess) + 0.2 - excess;
        }
    }

    /// Whether the open invocations alone use most of the concurrency limit.
    fn is_near_limit(&self) -> bool {
        self.open as f64 > self.concurrency_limit * NEAR_LIMIT_SHARE
    }

    /// Probability that an answer arrives within `wait`, for exponentially distributed answer times with the
    /// current mean.
    fn answer_probability(&self, op: Op, wait: Tenths) -> f64 {
        let ms = self.latency_baselines[op.0].mean_ms * self.slowdown.max(1.0);
        if ms > 0.0 {
            1.0 - (-(wait.0 as f64 / 10.0) / ms).exp()
        } else {
            1.0
        }
    }

    /// Factor on the concurrency limit, higher for operations with more billed value for their work, so that
    /// these are throttled later.
    fn value_factor(&mut self, op: Op) -> f64 {
        let work = if self.facts.billed_value_per_work {
            1.0
        } else {
            self.latency_baselines[op.0].mean_ms.max(1.0)
        };
        let density = self.facts.operations[op.0].billed_value / work;
        self.mean_value_density += (density - self.mean_value_density) * VALUE_AVERAGE_STEP;
        (density / self.mean_value_density.max(1e-9)).sqrt().clamp(MIN_VALUE_FACTOR, MAX_VALUE_FACTOR)
    }

    /// Periodic update of all figures that change with time.
    fn tick(&mut self) {
        let dt = (self.now - self.next_tick + TICK_INTERVAL).as_secs().max(0.05);
        self.next_tick = self.now + TICK_INTERVAL;
        self.ready.append(&mut self.waiting);
        // A sidecar with little traffic uses few pods. If it spread its dispatches over all, it would learn
        // about none of them and open a connection for each dispatch.
        self.subset_size = self.rate.max(MIN_SUBSET_SIZE) as usize;
        let uptime = (self.now - self.started_at).as_secs().max(1.0);
        self.rate +=
            (self.succeeded_since_tick / dt - self.rate) * (dt / RATE_WINDOW_SECS).max(dt / uptime).min(1.0);
        self.succeeded_since_tick = 0.0;
        self.update_fleet_figures();
        self.trial_share = self.compute_trial_share();
        // Traffic may have moved to this zone, or the zone may have a fault. A sidecar with little traffic
        // cannot see that from the load of pods, only over time from late answers.
        let gain = self.late_share.near - self.late_share.far - self.facts.cross_zone_price - SPILL_MARGIN;
        self.spill_share = (self.spill_share + SPILL_GAIN_PER_SEC * gain * dt).clamp(0.0, MAX_SPILL_SHARE);
        self.late_share.far *= 1.0 - FAR_LATE_SHARE_DECAY_PER_SEC * dt;
        self.update_pod_lateness(dt);
        // A pod continues to execute what was given up for about as long as an answer takes now: the estimate
        // decays with a time constant of twice the longest mean answer time.
        let longest_mean_ms =
            self.latency_baselines.iter().map(|b| b.mean_ms).fold(MIN_ABANDONED_MEAN_MS, f64::max);
        self.abandoned = self.pods.decay_abandoned((-dt * 500.0 / longest_mean_ms).exp());
        self.max_open *= 1.0 - MAX_OPEN_DECAY_PER_SEC * dt;
        self.evaluate_fleet_sample();
        if self.facts.sticky_keys {
            let share = (KEY_SHARE_OF_CAP * self.cap()).min(KEY_SHARE_OF_TRIAL * self.trial_share);
            self.trial_key_buckets =
                if share < ALL_KEYS_SHARE { self.key_buckets_within(share) } else { KEY_BUCKETS };
            self.key_bucket_traffic.iter_mut().for_each(|traffic| *traffic *= KEY_TRAFFIC_DECAY);
        }
    }

    /// Updates the averaging window of the pods' late shares and lets the shares decay, faster with more
    /// traffic to each pod.
    fn update_pod_lateness(&mut self, dt: f64) {
        let is_healthy = |pod: &&usize| self.pods.late_share[**pod] < UNHEALTHY_MARGIN / 2.0;
        let healthy = self.earlier_pods.iter().filter(is_healthy).count();
        self.some_pods_healthy = healthy * 3 >= self.earlier_pods.len();
        // With few answers from each pod the average covers fewer of them; otherwise a fault would be over
        // before it shows.
        self.late_share_window =
            (LATE_WINDOW_SECS * self.rate_per_pod).clamp(MIN_LATE_WINDOW, MAX_LATE_WINDOW);
        let decay = 1.0 - POD_LATE_SHARE_DECAY * dt * self.rate_per_pod / self.late_share_window;
        self.pods.late_share.iter_mut().for_each(|late_share| *late_share *= decay);
    }

    /// The release under judgement, unless it is withdrawn or its build has too few pods to slow the whole
    /// fleet.
    fn release_affecting_fleet(&self) -> Option<ReleaseState> {
        let pods = (self.earlier_pods.len() + self.trial_pods.len()) as f64;
        let too_few_pods = |r: &ReleaseState| {
            r.phase == Phase::Trial && (self.trial_pods.len() as f64) < MIN_POD_SHARE_TO_SLOW_FLEET * pods
        };
        self.judged_release().filter(|r| r.phase != Phase::Withdrawn && !too_few_pods(r))
    }

    /// How long this sidecar leaves the vote to others, and the release to vote on; `None` if it does not
    /// vote.
    fn vote_delay_and_release(&self) -> Option<(Tenths, ReleaseState)> {
        Some((VOTER_DELAY.scale(self.voter_rank? as f64), self.judged_release()?))
    }

    /// What a vote rests on, for whoever reads the log.
    fn vote_reason(&self, verdict: Verdict) -> &'static str {
        if verdict != Verdict::Back {
            return "no test speaks against the build";
        }
        let highest = (0..TEST_COUNT).max_by(|a, b| self.totals[*a].total_cmp(&self.totals[*b]));
        match highest {
            Some(ERROR_TEST) => "the build errs more often than the earlier one",
            Some(LATENCY_TEST) => "the build is slower than the earlier one",
            Some(WRONG_ANSWER_TEST) => "clients report wrong answers of the build",
            _ => "all pods, earlier ones too, are slower than before the build",
        }
    }

    /// Casts the vote unless the same one was cast and is not due for repetition; returns whether it did.
    fn cast_vote(&mut self, host: &mut dyn Host, release: ReleaseState, verdict: Verdict) -> bool {
        let ReleaseState { build, stage, .. } = release;
        let is_same = |b: Ballot| (b.build, b.stage, b.verdict) == (build, stage, verdict);
        if self.ballot.is_some_and(|b| is_same(b) && self.now < b.repeat_at) {
            return false;
        }
        self.ballot = Some(Ballot { build, stage, verdict, repeat_at: self.now + self.facts.vote_timeout });
        // `erred`, `slow`, `wrong` and `shared` label the totals of the error, latency, wrong-answer and fleet
        // tests, in that order. Operators read the line by these labels.
        host.log(&format!(
            "vote {verdict:?} on build {} stage {stage}: erred/slow/wrong/shared {:.1?}, {} outcomes known, {}",
            build.0,
            self.totals,
            self.known_outcomes,
            self.vote_reason(verdict)
        ));
        host.vote(build, stage, verdict);
        true
    }
}
