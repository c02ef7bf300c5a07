//! Every decision of one sidecar. The interface (ids, time, `Facts`, `trait Host`) is in `host.rs`.
//! Build a `Balancer`, call `started` once, then one entry method for each input; effects go out before it
//! returns. A list is `list_begins`, a `pod` for each row, `list_ends`. After each input the `RULES` are gone
//! through in order until none fires. Equal inputs give equal effects.

#![allow(clippy::too_many_arguments)]

pub use crate::state::Balancer;
use crate::{host::*, state::*};

// The test, after the paper; the values are the design page's defaults unless a comment tells why not.
const BAND: f64 = 2.0;
// All that may lie unsent under the bands together stays near Wald's thresholds, however many sidecars.
const BANDS_FULL: f64 = 5.0;
const ALPHA: f64 = 0.01;
const BETA: f64 = 0.05;
const P0_START: f64 = 0.02;
const P0_FLOOR: f64 = 0.01;
const P0_TRUSTED_AFTER: u32 = 20;
const P1_ABOVE: f64 = 0.05;
const VOTERS: usize = 3;
const CREDIT: f64 = 1.5;
const FRESH: Tenths = Tenths::ms(3000);
const ON_WAIT: Tenths = Tenths::ms(4000);
// "Late" alone never blames a slow build on a quiet day; and slow answers come in runs.
const SLOW_QUANTILE: f64 = 0.8;
// What the logarithm of a time spread like an exponential asks for: 1 over its density at that quantile.
const MARK_GAIN: f64 = 3.0;
const SLOW_ABOVE: f64 = 0.3;
const SLOW_WEIGHT: f64 = 0.3;
const SHARED_FROM: f64 = 0.2;
const SLIGHT: f64 = 0.1; // a part of the pods that can't slow a fleet yet
const WRONG_SHARE: f64 = 0.06;
const FLAG_WEIGHT: f64 = 0.85; // some are false
const NO_FLAG_WEIGHT: f64 = 0.7; // reports are seconds late, silence is less than a finding

const PULSE: Tenths = Tenths::ms(50);
const SPEAK_EVERY: Tenths = Tenths::ms(250);
const SILENT_AFTER: Tenths = Tenths::ms(2000);
const LANES: usize = 64;
const PATIENCE: f64 = 0.5; // of the SLO time: then what is held is given up, what is out looked at again
const CROSSING_LEAD: f64 = 6.0; // how much busier near pods must be, for each part that a crossing costs
const TARDY: f64 = 0.45;
const SICK: f64 = 0.2;

type Fit<'a> = &'a dyn Fn(&Balancer, usize) -> bool;
type Rule = fn(&mut Balancer, &mut dyn Host) -> bool;

const RULES: [Rule; 6] = [
    Balancer::answer_what_is_due,
    Balancer::place_next,
    Balancer::vote_back,
    Balancer::vote_on,
    Balancer::speak,
    Balancer::keep_awake,
];

impl Balancer {
    pub fn new(facts: Facts, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let ops = facts.operations.len();
        // A sidecar that restarts amid a trial knows no time before it: slow is then what is late.
        let late = |o: &Operation| o.slo_time.0 as f64 / 10.0;
        let usual = |o| Usual { slow_share: 1.0 - SLOW_QUANTILE, mark_before: late(o), ..Usual::default() };
        Balancer {
            band: BAND * (BANDS_FULL / facts.sidecar_count.max(1) as f64).min(1.0),
            room: 64.0,
            allowance: vec![0.0; if facts.cap_per_operation { ops } else { 1 }],
            lanes: vec![0.0; LANES],
            usual: (0..facts.machine_kinds.max(1)).flat_map(|_| facts.operations.iter().map(usual)).collect(),
            erring: vec![Erring { share: P0_START }; ops],
            flags: 1.0,
            succeeded: 250.0,
            mine: Said { life: rng.u16(..), ..Said::default() },
            said: vec![Said::default(); facts.sidecar_count],
            rng,
            voters: (0..VOTERS.min(facts.sidecar_count)).map(Peer).collect(),
            turn: Some(facts.own_peer.0).filter(|&rank| rank < VOTERS),
            facts,
            ..Balancer::default()
        }
    }

    pub fn start(&mut self, host: &mut dyn Host) {
        (self.awake_since, self.pulse_at) = (host.now(), host.now());
        self.on_pod_list_failure(host);
    }

    pub fn on_invocation(
        &mut self, host: &mut dyn Host, inv: InvId, key: Option<KeyId>, op: Op, until: Tenths,
    ) {
        self.look_up(host);
        self.spare_sends = (self.spare_sends + 0.1).min(20.0);
        let (bucket, cap) = (self.bucket(op), self.cap());
        self.allowance[bucket] += cap;
        key.iter().for_each(|key| self.lanes[key.lane(LANES)] += 1.0);
        // A sidecar with little traffic keeps within less than one invocation by chance.
        let bound = self.room * self.grade(op) * self.hope(op, until - self.now);
        if self.open as f64 + self.lost + self.rng.f64() >= bound {
            self.pinched = true;
            self.fleet = (self.fleet.0 + 1.0, self.fleet.1 + 1.0);
            host.throttle(&inv, self.facts.max_retry_after);
            return self.settle(host);
        }
        let waits = (self.now + self.facts.operations[op.0].slo_time.scale(PATIENCE)).min(until);
        self.hold(inv, key, op, waits, until);
        self.settle(host);
    }

    pub fn on_outcome(
        &mut self, host: &mut dyn Host, inv: &InvId, last: bool, nth: usize, took: Tenths, ending: Ending,
        in_flight: Option<f64>,
    ) {
        self.look_up(host);
        let Some(found) = self.invs.get_mut(inv) else { return self.settle(host) };
        let Some((pod, at, before)) = found.end(nth, ending) else { return self.settle(host) };
        let (op, answered, erred, key) = (found.op, found.answered, found.sent[nth].erred, found.key);
        let wait = found.until - at;
        self.bind(key.filter(|_| ending == Ending::Succeeded), self.pods.build[pod]);
        self.note_pod(pod, at, ending, in_flight, took > self.facts.operations[op.0].slo_time.scale(0.5));
        // What errs at any pod blames neither pod nor build: an error counts once another pod did better.
        let last_word = !self.may_send_again(&self.invs[inv]) || nth + 1 >= self.facts.max_dispatches;
        if ending == Ending::Succeeded {
            before.iter().for_each(|&p| self.blame(p, op));
        }
        if erred && last_word && before.is_empty() {
            self.blame(pod, op);
        } else if !erred && self.now != self.stood_still {
            self.note_evidence(pod, op, took, ending);
        }
        self.note_room(pod, op, took, wait, ending);
        self.succeeded_since_pulse += f64::from(ending == Ending::Succeeded);
        if last || answered {
            self.close(inv);
        } else {
            self.ready.push_back(inv.clone());
        }
        self.settle(host);
    }

    pub fn on_abort(&mut self, host: &mut dyn Host, inv: &InvId) {
        self.look_up(host);
        // Who leaves early waits on a pod whose time-out would tell only seconds later.
        if let Some((op, pod, at)) = self.invs.get(inv).and_then(Inv::waits_on) {
            self.note_room(pod, op, self.now - at, self.now - at, Ending::Succeeded);
        }
        self.close(inv);
        self.settle(host);
    }

    pub fn on_pod(
        &mut self, pod: PodId, kind: MachineKind, zone: Zone, availability: Availability, cell: Cell,
        weight: f64, born: Option<Tenths>, build: Build,
    ) {
        let born = born.unwrap_or(Tenths(i64::MIN / 4));
        let p = self.pods.entry(self.now, pod, kind, zone, cell, born, build, self.rng.f64());
        self.pods.weight[p] = weight.max(0.01);
        self.pods.up[p] = availability == Availability::Up;
        self.pods.listed[p] = true;
    }

    pub fn end_pod_list(&mut self, host: &mut dyn Host) {
        self.look_up(host);
        self.pods.drop_unlisted(self.now);
        self.sort_pods();
        self.settle(host);
    }

    pub fn on_pod_list_failure(&mut self, host: &mut dyn Host) {
        if self.facts.must_subscribe {
            host.subscribe(true);
        }
        self.settle(host);
    }

    pub fn on_stage(
        &mut self, host: &mut dyn Host, build: Build, stage: u32, since: Tenths, phase: Phase, to_vote: bool,
        cap: f64, ending: Ending,
    ) {
        self.look_up(host);
        if let (true, Some(ballot)) = (to_vote, &mut self.ballot) {
            self.rebuffs = if ending == Ending::Succeeded { 0 } else { (self.rebuffs + 1).min(5) };
            let again = self.facts.vote_timeout.scale(f64::from(1 << self.rebuffs));
            let settled = matches!(ending, Ending::Succeeded | Ending::Moot);
            ballot.3 = self.now + if settled { self.facts.vote_ttl.scale(0.5) } else { again };
        }
        if ending == Ending::Succeeded {
            if matches!(phase, Phase::GoingBack | Phase::Withdrawn) {
                self.bound.retain(|_, b| *b < build);
            }
            if self.told.is_some_and(|t| t.build == build && cap < t.cap) {
                self.allowance.iter_mut().for_each(|a| *a = if cap > 0.0 { a.min(1.0) } else { 0.0 });
            }
            self.best = if self.told.is_some_and(|t| t.stage == stage) { self.best } else { self.totals };
            self.told = Some(Told { build, stage, phase, cap, from: self.now - since });
            self.sort_pods();
        }
        self.settle(host);
    }

    pub fn on_peer_message(&mut self, host: &mut dyn Host, from: Peer, words: &[u8]) {
        self.look_up(host);
        let known = |(build, _): &(Build, Said)| self.judged == Some(*build) && from.0 < self.said.len();
        if let Some((_, said)) = Said::decode(words).filter(known) {
            self.count_bits(from, said);
        }
        self.settle(host);
    }

    /// Who hears the bits from now on, and whether this sidecar is the one that may act on their sum: where
    /// one leads, the host knows.
    pub fn on_leadership(&mut self, host: &mut dyn Host, voters: Vec<Peer>, acts: bool) {
        // Who is new among them has heard nothing yet.
        self.spoken_at = if self.voters == voters { self.spoken_at } else { Tenths(0) };
        (self.voters, self.turn) = (voters, acts.then_some(0));
        self.settle(host);
    }

    pub fn on_objection(&mut self, host: &mut dyn Host, pod: PodId, _op: Op, since: Tenths) {
        self.look_up(host);
        // Silence about a pod's first answers is no evidence, so a word against them is none either.
        let ran = self.pods.at(pod, self.now - since - FRESH).map(|p| self.pods.build[p]);
        if ran.is_some() && ran == self.judged {
            let (p0, p1) = (self.flags / self.succeeded, WRONG_SHARE * self.facts.flag_share);
            self.feed(WRONG, FLAG_WEIGHT * (p1 / p0).ln().clamp(0.5, 3.0));
        } else if ran.is_some() {
            self.flags += 1.0;
        }
        self.settle(host);
    }

    pub fn on_timer(&mut self, host: &mut dyn Host, _token: u64) {
        self.settle(host);
    }

    /// After standing still all is late by one's own fault: of pods, build and fleet that tells nothing.
    fn look_up(&mut self, host: &mut dyn Host) {
        self.now = host.now();
        self.stood_still =
            if self.now > self.pulse_at + Tenths::ms(200) { self.now } else { self.stood_still };
    }

    fn settle(&mut self, host: &mut dyn Host) {
        self.look_up(host);
        if self.now >= self.pulse_at {
            self.pulse();
        }
        while RULES.iter().any(|rule| rule(self, host)) {}
        // Only the spare is kept over: so the cap holds in any window.
        self.allowance.iter_mut().for_each(|a| *a = a.min(self.facts.cap_burst));
    }

    fn answer_what_is_due(&mut self, host: &mut dyn Host) -> bool {
        let Some(inv) = self.due.pop(self.now) else { return false };
        let Some(found) = self.invs.get(&inv).filter(|i| !i.answered) else { return true };
        if self.now >= found.until || found.out() == 0 {
            self.give_up(host, &inv);
        } else if found.out() == 1 {
            self.look_again(host, &inv);
        }
        true
    }

    fn place_next(&mut self, host: &mut dyn Host) -> bool {
        let Some(inv) = self.ready.pop_front() else { return false };
        let Some(found) = self.invs.get(&inv).filter(|i| !i.answered && i.out() == 0) else { return true };
        // One that was cut off its stuck pod has been paid for; elsewhere it may still be in time.
        let early = self.now < found.waits || found.sent.last().is_some_and(|s| !s.erred && !s.never_ran);
        let held = early && found.may_have_run().is_none();
        let room = found.sent.len() < self.facts.max_dispatches && self.now < found.until;
        // A third pod would err too: the clients' own errors must not fill the fleet.
        let hope = found.sent.iter().filter(|s| s.erred).count() < 2 && self.may_send_again(found);
        let may = room && (found.sent.is_empty() || early && hope);
        match if may { self.choose(&inv) } else { None } {
            Some(pod) => self.send(host, &inv, pod),
            None if may && held => self.waiting.push_back(inv),
            None => self.give_up(host, &inv),
        }
        true
    }

    fn vote_back(&mut self, host: &mut dyn Host) -> bool {
        let Some((turn, told)) = self.voting() else { return false };
        let proven = self.totals.iter().any(|t| *t >= ((1.0 - BETA) / ALPHA).ln());
        if !proven || !matches!(told.phase, Phase::Trial | Phase::Released) {
            self.back_since = None;
            return false;
        }
        self.now >= *self.back_since.get_or_insert(self.now) + turn && self.cast(host, told, Verdict::Back)
    }

    fn vote_on(&mut self, host: &mut dyn Host) -> bool {
        let Some((turn, told)) = self.voting() else { return false };
        let newest = self.trial.iter().map(|&p| self.pods.born[p]).max();
        let ready = newest.filter(|&b| b >= told.from).unwrap_or(told.from + ON_WAIT);
        let sure = [ERRED, SLOW].iter().all(|g| self.totals[*g] <= -((1.0 - ALPHA) / BETA).ln());
        let heard = self.facts.sidecar_count < 2 || self.now < self.heard_at + SILENT_AFTER;
        // Where the earlier pods are gone already, waiting costs nothing, and only time can tell.
        let known = heard && self.seen >= 6 && !self.alone;
        let early = self.facts.min_stage_time + Tenths::ms(700);
        let wait = if sure && known { early } else { ON_WAIT.scale(if known { 1.0 } else { 2.0 }) };
        let open = told.phase == Phase::Trial && self.slow_spell != Some(true) && self.facts.votes_advance;
        let melts = (0..GROUNDS).any(|g| self.totals[g] > (self.best[g] + BAND / 2.0).min(0.0));
        if !open || melts || self.now < ready.max(self.awake_since) + wait {
            self.on_since = None;
            return false;
        }
        self.now >= *self.on_since.get_or_insert(self.now) + turn && self.cast(host, told, Verdict::On)
    }

    /// Good and bad news at one pace. Without news all sidecars together repeat only as much as a few would.
    fn speak(&mut self, host: &mut dyn Host) -> bool {
        let Some(build) = self.judged.filter(|_| self.now >= self.speak_at) else { return false };
        self.speak_at = self.now + SPEAK_EVERY;
        self.sum_up();
        let repeat = SPEAK_EVERY.scale((self.facts.sidecar_count as f64 / BANDS_FULL).max(1.0));
        if self.mine.says_the_same(&self.spoken) && self.now < self.spoken_at + repeat {
            return false;
        }
        (self.spoken, self.spoken_at) = (self.mine, self.now);
        if self.facts.peer_messages && self.mine.seen > 0 {
            let words = self.mine.encode(build);
            for peer in self.voters.iter().filter(|p| **p != self.facts.own_peer) {
                host.send_to_peer(Some(*peer), &words);
            }
        }
        self.count_bits(self.facts.own_peer, self.mine);
        true
    }

    fn keep_awake(&mut self, host: &mut dyn Host) -> bool {
        self.next_wake().map(|delay| host.set_timer(delay, 0)).is_some()
    }

    fn give_up(&mut self, host: &mut dyn Host, inv: &InvId) {
        let found = &self.invs[inv];
        if found.harmless(&self.facts.operations[found.op.0]) && self.now < found.until {
            host.throttle(inv, self.facts.max_retry_after);
        } else {
            host.terminate(inv);
        }
        self.close(inv);
    }

    fn may_send_again(&self, inv: &Inv) -> bool {
        let op = &self.facts.operations[inv.op.0];
        match (inv.may_have_run(), op.retry_safety) {
            (None, _) | (_, RetrySafety::Idempotent) => true,
            (Some((_, at)), RetrySafety::Fingerprinted) => self.now < at + op.dedup_window.scale(0.95),
            (Some(_), RetrySafety::SideEffecting) => false,
        }
    }

    /// Sending another helps only where the pod looks stuck; behind a queue it would add to the queue.
    fn look_again(&mut self, host: &mut dyn Host, inv: &InvId) {
        let found = &self.invs[inv];
        let Some(nth) = found.sent.iter().position(|s| !s.over) else { return };
        let left = found.sent.len() < self.facts.max_dispatches && self.spare_sends >= 1.0;
        // Where many are late, what looks stuck is a queue, and the pod works on at what is cut off.
        let stuck = self.tardy[0] < TARDY / 2.0 && self.stuck(found.sent[nth].pod);
        if !stuck || !left || !self.may_send_again(found) {
            let later = self.now + self.facts.operations[found.op.0].slo_time.scale(0.2);
            return self.due.push(later, inv);
        }
        self.spare_sends -= 1.0;
        match self.facts.parallel_dispatches.then(|| self.choose(inv)).flatten() {
            Some(pod) => self.send(host, inv, pod),
            None if self.facts.cancel_allowed && !self.facts.parallel_dispatches => host.cancel(inv, nth),
            None => {}
        }
    }

    fn send(&mut self, host: &mut dyn Host, inv: &InvId, p: usize) {
        let (op, until) = self.note_sent(inv, p);
        self.pods.pressed[p] = (self.pressure(p) + 1.0, self.now);
        if self.on_trial(self.pods.build[p]) {
            let bucket = self.bucket(op);
            self.allowance[bucket] -= 1.0;
        }
        host.dispatch(inv, self.pods.id[p], until);
    }

    fn sort_pods(&mut self) {
        let newest = self.pods.all_up().map(|p| self.pods.build[p]).max();
        // A released build is watched on only where it was watched before.
        let watched = |b: &Build| self.on_trial(*b) || self.judged == Some(*b);
        let judged = newest.max(self.told.map(|t| t.build)).filter(watched);
        if judged != self.judged {
            self.judged = judged;
            self.begin_judging();
        }
        let (trial, earlier): (Vec<usize>, Vec<usize>) =
            self.pods.all_up().partition(|&p| self.on_trial(self.pods.build[p]));
        self.trial = trial.into_iter().filter(|&p| Some(self.pods.build[p]) == judged).collect();
        self.earlier = earlier;
        self.alone = self.pods.all_up().all(|p| Some(self.pods.build[p]) >= judged);
        // What the newest released build can carry goes there: its elders only stand by.
        let best = self.earlier.iter().map(|&p| self.pods.build[p]).max();
        let newest = |p: &usize| Some(self.pods.build[*p]) == best;
        if self.earlier.iter().filter(|p| newest(p)).count() * 2 >= self.earlier.len() {
            self.earlier.retain(newest);
        }
        self.near_first();
        self.measure();
        self.part = self.trial_part();
    }

    fn trial_open(&self, op: Op) -> bool {
        let (phase, stage) = self.news().map_or((Phase::Trial, 0), |t| (t.phase, t.stage));
        let allowed = self.cap() > 0.0 && self.allowance[self.bucket(op)] >= 1.0;
        let barred = stage < self.facts.idempotent_only_stages
            && self.facts.operations[op.0].retry_safety != RetrySafety::Idempotent;
        matches!(phase, Phase::Trial | Phase::GoingBack) && allowed && !barred
    }

    fn choose(&mut self, inv: &InvId) -> Option<usize> {
        let found = &self.invs[inv];
        let (op, first) = (found.op, found.sent.is_empty());
        let tried: Vec<usize> = found.sent.iter().map(|s| s.pod).collect();
        let (repeat, group) =
            (self.facts.operations[op.0].retry_safety, self.facts.operations[op.0].dedup_scope);
        let ran_at = found.may_have_run().filter(|_| repeat == RetrySafety::Fingerprinted).map(|(p, _)| p);
        let floor = found.key.and_then(|k| self.bound.get(&k).copied()).filter(|_| self.facts.sticky_keys);
        let chosen_key = match found.key.filter(|_| self.facts.sticky_keys) {
            Some(key) => key.lane(LANES) < self.lanes_open,
            None => self.rng.f64() < self.part,
        };
        let held_to_trial = floor.is_some_and(|b| self.on_trial(b));
        let ok = |s: &Self, p: usize| {
            ran_at.is_none_or(|q| s.pods.grouped(group, p, q)) && floor.is_none_or(|b| s.pods.build[p] >= b)
        };
        let goes = self.trial_open(op) && (held_to_trial || first && chosen_key || self.earlier.is_empty());
        let trial = if goes { self.pick(true, &tried, &ok) } else { None };
        let earlier = if held_to_trial { None } else { self.pick(false, &tried, &ok) };
        match (trial, earlier) {
            (Some(t), Some(e)) if self.load(t) > self.load(e) * 2.0 + 0.7 => Some(e),
            (t, e) => t.or(e),
        }
    }

    /// What the trial would carry were it released, as what only fails when busy must show before. A zone
    /// goes by its own pods, or with few of them it would find the build slow; one with none helps out.
    fn trial_part(&self) -> f64 {
        let power = |set: &[usize]| set.iter().map(|&p| self.power(p)).sum::<f64>();
        let part = |earlier: &[usize], trial: &[usize], before: f64| {
            // What cold pods do not take yet would fall on the trial's warm ones.
            let takes = trial.iter().filter(|&&p| self.bears(p)).map(|&p| self.power(p)).sum::<f64>();
            // Near its limit a fleet gets even loads: a little more would be late there at any build.
            let even = before == 0.0 || self.tardy[0] > TARDY / 2.0;
            takes / if even { power(earlier) + power(trial) } else { before }.max(1e-9)
        };
        let [earlier, trial] = self.near;
        let all = part(&self.earlier, &self.trial, self.calm_power[0]).min(0.85);
        let near = part(&self.earlier[..earlier], &self.trial[..trial], self.calm_power[1]);
        near.min(all).max(if trial > 0 { 0.0 } else { all })
    }

    fn pick(&mut self, trial: bool, tried: &[usize], ok: Fit) -> Option<usize> {
        let (n, f) = (self.two(trial, true, tried, ok), self.two(trial, false, tried, ok));
        let lead = CROSSING_LEAD * self.facts.cross_zone_price;
        match (n, f) {
            (Some(n), Some(f)) if self.load(f) <= self.load(n) && self.rng.f64() < self.spill => Some(f),
            (Some(n), Some(f)) if self.load(n) > (1.0 + lead) * self.load(f) + lead => Some(f),
            (n, f) => n.or(f),
        }
    }

    /// Two random choices by fewest in flight; a pass over the set only where no pod drawn is well.
    fn two(&mut self, trial: bool, near: bool, tried: &[usize], ok: Fit) -> Option<usize> {
        let (set, mut rng) = (if trial { &self.trial } else { &self.earlier }, self.rng.clone());
        let (here, there) = set.split_at(self.near[usize::from(trial)]);
        let all = if near { here } else { there };
        let from = &all[..self.few.min(all.len())];
        let fit = |s: &Self, p: usize| ok(s, p) && s.bears(p);
        let well = |s: &Self, p: usize| {
            let answers = s.now >= s.pods.shunned_till[p] && !s.stuck(p);
            let as_others = s.pods.sick[p] <= s.mean_sick + SICK && s.pods.lame[p] <= s.mean_lame + SICK;
            answers && as_others && !tried.contains(&p) && fit(s, p)
        };
        let (mut best, mut found) = (None, 0);
        for _ in 0..if from.is_empty() { 0 } else { 8 } {
            let p = from[rng.usize(0..from.len())];
            // Drawn by power: with nothing in flight the less loaded is always the stronger one.
            if found < 2 && rng.f64() * self.most_power < self.power(p) && well(self, p) {
                best = best.filter(|&b| self.queue(b) <= self.queue(p)).or(Some(p));
                found += 1;
            }
        }
        if found == 0 {
            let (a, b) = all.split_at(rng.usize(0..all.len().max(1)));
            let turned = || b.iter().chain(a).copied();
            best = turned().find(|&p| well(self, p)).or_else(|| turned().find(|&p| fit(self, p)));
        }
        self.rng = rng;
        best
    }

    fn load(&self, p: usize) -> f64 {
        self.queue(p) + 1.0 / self.power(p)
    }

    fn queue(&self, p: usize) -> f64 {
        // A report ages: a pod once found busy and avoided since would never be found idle again.
        let age = (self.now - self.pods.heard[p]).as_secs().max(0.0);
        let others = self.pods.others[p] / (1.0 + 6.0 * age);
        (self.pods.held[p] as f64 + self.pods.lost[p] + others) / self.power(p)
    }

    fn cold_rate(&self, p: usize) -> f64 {
        0.6 * self.facts.overload_multiple * self.warmth(p) * self.rate_a_pod
    }

    fn pressure(&self, p: usize) -> f64 {
        let (level, at) = self.pods.pressed[p];
        (level - self.cold_rate(p) * (self.now - at).as_secs()).max(0.0)
    }

    /// Against pushing a cold pod over, which looks idle to all: each keeps to its part of what a warm pod
    /// usually answers well, so that bursts and errors do not count. Where that is less than a dispatch,
    /// chance (in `pod`) says who sends the first and when: hundreds of single ones are a burst too.
    fn bears(&self, p: usize) -> bool {
        self.warmth(p) >= 1.0 || self.pressure(p) <= 0.3 * self.cold_rate(p)
    }

    fn stuck(&self, p: usize) -> bool {
        let usual = self.usual.iter().map(|u| u.ms).fold(0.0, f64::max);
        let patience = Tenths::floor_ms((usual * 3.0).clamp(150.0, 1000.0));
        self.pods.held[p] >= 2 && self.now - self.pods.heard[p] > patience
    }

    fn note_pod(&mut self, p: usize, at: Tenths, ending: Ending, in_flight: Option<f64>, tardy: bool) {
        self.pods.held[p] = self.pods.held[p].saturating_sub(1);
        self.pods.lost[p] += f64::from(matches!(ending, Ending::TimedOut | Ending::Cancelled));
        if let Some(n) = in_flight {
            self.pods.others[p] += ((n - self.pods.held[p] as f64).max(0.0) - self.pods.others[p]) * 0.5;
        }
        // A pod may be ill for this sidecar alone; where no others are well, it is the fleet that is full.
        if matches!(ending, Ending::Succeeded | Ending::TimedOut) && self.now != self.stood_still {
            self.pods.lame[p] += (f64::from(tardy && self.some_well) - self.pods.lame[p]) / self.memory;
        }
        match ending {
            Ending::Succeeded | Ending::Error => {
                (self.pods.strikes[p], self.pods.heard[p]) = (0, self.now);
                self.pods.sick[p] *= if ending == Ending::Error { 1.0 } else { 11.0 / 12.0 };
            }
            Ending::TimedOut if self.pods.heard[p] > at || !tardy => {}
            Ending::TimedOut | Ending::NoConnection | Ending::Reset => {
                // Connections break; after a second break the process may have died, and comes back cold.
                let again = self.pods.strikes[p] > 0;
                if again && ending != Ending::TimedOut {
                    (self.pods.cold_at[p], self.pods.pressed[p]) = (self.now, (self.rng.f64(), self.now));
                }
                self.pods.strikes[p] = (self.pods.strikes[p] + 1).min(4);
                let shun = i64::from(again || ending == Ending::TimedOut) * (250 << self.pods.strikes[p]);
                self.pods.shunned_till[p] = self.now + Tenths::ms(shun);
            }
            _ => {}
        }
    }

    fn blame(&mut self, p: usize, op: Op) {
        self.pods.sick[p] += (1.0 - self.pods.sick[p]) / 12.0;
        self.note_evidence(p, op, Tenths(0), Ending::Error);
    }

    fn note_evidence(&mut self, p: usize, op: Op, took: Tenths, ending: Ending) {
        let counts = matches!(ending, Ending::Succeeded | Ending::Error | Ending::TimedOut);
        let (o, ms, age) = (op.0, took.0 as f64 / 10.0, self.now - self.pods.born[p]);
        let judged = Some(self.pods.build[p]) == self.judged;
        // What was cut off for looking stuck is slow; else who never answers is never found so.
        let cut = judged && ending == Ending::Cancelled;
        let hasty = ending == Ending::TimedOut && took < self.facts.operations[o].slo_time.scale(0.5);
        if hasty || !(counts || cut) || judged && age < FRESH {
            return;
        }
        let (released, watching) = (self.released(), self.weighty().is_some());
        // Late answers and time-outs are the slow test's matter: under load they come at any build.
        let (late, erred, even) = (ending == Ending::TimedOut, ending == Ending::Error, self.cap() < 1.0);
        let usual = &mut self.usual[self.pods.kind[p].0 * self.facts.operations.len() + o];
        // While the trial carries its part the earlier pods carry less than before, and answer sooner.
        let before = judged && self.calm_seconds > 0.0;
        let slow = late || cut || ms > usual.slow_mark.max(if before { usual.mark_before } else { 0.0 });
        // Against a mark not learnt yet most are slow, and a time before that seems bad hides a bad build.
        let learnt = watching || usual.answers >= P0_TRUSTED_AFTER;
        if age >= FRESH && !erred && learnt && (!judged || self.alone || !even) {
            let mark = if watching { usual.mark_before } else { usual.slow_mark };
            self.fleet = (self.fleet.0 + f64::from(late || ms > mark), self.fleet.1 + 1.0);
        }
        if judged {
            self.mine.seen = self.mine.seen.saturating_add(1);
            // While earlier pods fail too, or few of its own do, only what most of them do is the build's.
            let sick = &self.pods.sick;
            let own = if released { &self.earlier } else { &self.trial };
            let struck = |at| own.iter().filter(|p| sick[**p] > at).count();
            let ill = !released && self.earlier.iter().any(|&p| sick[p] > SICK);
            // Of many pods a small sidecar meets a few, and may by chance have met one ill one more.
            let met = own.iter().filter(|p| self.pods.heard[**p] > self.pods.born[**p]).count();
            let few = met / 4 + usize::from(met < own.len());
            let others = ill && struck(SICK) <= met.max(2) / 2 || struck(SICK / 16.0) <= few;
            // What sets in long after a release is not the build's, and no earlier pod is left to show it.
            let old = released && self.told.is_some_and(|t| self.now > t.from + ON_WAIT.scale(2.0));
            let excused = old || erred && others;
            let known = self.erring[o].share.clamp(P0_FLOOR, 0.9);
            let weight = if excused || cut { 0.0 } else { ratio(erred, known, known + P1_ABOVE) };
            // Beside no answers or near idle pods, or near the limit, a slow build is like a slow hour.
            let fresh = even && self.tardy[0] < TARDY / 2.0 && self.now < usual.at + SILENT_AFTER;
            let ripe = !erred && !released && age >= self.facts.warmup_time;
            if ripe && fresh && usual.answers >= P0_TRUSTED_AFTER {
                let doubt = 0.5 / f64::from(usual.answers.min(64)).sqrt(); // small sidecars know little
                let p0 = (usual.slow_share + doubt).clamp(0.05, 0.6);
                let runs = if self.open as f64 > self.room * 0.6 { 0.4 } else { 1.0 }; // they come in runs
                self.feed(SLOW, SLOW_WEIGHT * runs * ratio(slow, p0, p0 + SLOW_ABOVE));
            }
            self.feed(ERRED, weight);
            let right = f64::from(!erred && !cut) * NO_FLAG_WEIGHT * WRONG_SHARE * self.facts.flag_share;
            self.feed(WRONG, -right);
        } else if age >= self.facts.warmup_time {
            self.erring[o].note(erred, 256.0);
            if !erred {
                self.succeeded += 1.0;
                usual.at = self.now;
                usual.note(ms, slow, SLOW_QUANTILE, 64, 0.04, MARK_GAIN);
            }
        }
    }

    /// One bit for each crossing; what is heavier than the band enters in slices that end at it.
    fn feed(&mut self, ground: usize, weight: f64) {
        let sum = self.sums[ground] + weight;
        let bits = (sum / self.band).trunc();
        self.sums[ground] = sum - bits * self.band;
        let side = &mut (if bits > 0.0 { &mut self.mine.up } else { &mut self.mine.down })[ground];
        *side = side.wrapping_add(bits.abs() as u16);
    }

    /// Held within bounds: a build that turns bad late must not work off all the credit of a good start. What
    /// came in one round is summed first: one by one, the lower bound would keep the bad and lose the good.
    fn sum_up(&mut self) {
        let (a, b) = (((1.0 - ALPHA) / BETA).ln(), ((1.0 - BETA) / ALPHA).ln());
        let mut gathered = std::mem::take(&mut self.gathered);
        gathered[SHARED] = self.of_one_spell(gathered[SHARED] / self.facts.sidecar_count as f64);
        for (g, news) in gathered.into_iter().enumerate() {
            // Flags come late and few, a slow fleet is a matter of the moment: neither gathers credit.
            let floor = [-CREDIT * a, -CREDIT * a, -BAND, 0.0][g];
            self.totals[g] = (self.totals[g] + news).clamp(floor, b + BAND);
            self.best[g] = self.best[g].min(self.totals[g]);
        }
    }

    /// Slowness counts only if it set in soon after the build got more. All sidecars together see that: of a
    /// few answers a second by chance none is slow, and one alone would then see the spell begin anew.
    fn of_one_spell(&mut self, news: f64) -> f64 {
        self.slowing = self.slowing * 0.8 + news;
        if self.slowing < -0.7 {
            self.well_at = self.now;
        }
        // A fleet that was well until the stage's first pods came, still cold, was slowed by something else:
        // so long it takes until a spell is seen.
        let by = self.now - Tenths::ms(2000);
        let worked =
            |t: Told| self.trial.iter().any(|&p| t.from <= self.pods.born[p] && self.pods.born[p] <= by);
        let early = |t: Told| self.now < t.from + Tenths::ms(7000) && (self.well_at < by || worked(t));
        let early = !self.trial.is_empty() && self.news().is_some_and(early);
        self.slow_spell = (self.slowing > 0.0).then(|| self.slow_spell.unwrap_or(early));
        if self.slow_spell == Some(false) {
            news.min(0.0)
        } else {
            news
        }
    }

    /// A build may slow old and new pods alike: the fleet is held against the time before; the throttled
    /// count as slow, or the limiter would hide it. A spell counts by the build's traffic.
    fn weigh_fleet(&mut self) {
        let calm = self.weighty().is_none();
        if calm {
            self.usual.iter_mut().filter(|u| u.answers > 0).for_each(|u| u.mark_before = u.slow_mark);
        }
        if self.now < self.fleet_at + Tenths::ms(1000) || self.fleet.1 < 5.0 {
            return;
        }
        let secs = (self.now - self.fleet_at).as_secs().min(3.0);
        self.fleet_at = self.now;
        let (slow, all) = std::mem::take(&mut self.fleet);
        if calm {
            self.calm_seconds += 1.0;
            self.fleet_before += (slow / all - self.fleet_before) * (1.0 / self.calm_seconds).max(0.1);
            return;
        }
        let usual = self.fleet_before.max(1.0 - SLOW_QUANTILE);
        // Such a build slows in step with its traffic: at a quarter it shows half of what it does at half.
        let traffic = if self.alone { 0.5 } else { self.part };
        let from = SHARED_FROM * (2.0 * traffic).clamp(0.5, 1.0);
        // Cut at less than what chance does to a few answers, the sum of many sidecars would fall short.
        let bound = 1.0 + 2.0 / all.sqrt();
        let side = ((slow / all - usual - from) / from).clamp(-bound, bound);
        self.feed(SHARED, side * 2.2 * secs * traffic.max((2.0 * traffic).min(0.5)));
    }

    /// The room goes by how many answers take half the SLO time: a few costly ones are late on an idle fleet.
    fn note_room(&mut self, p: usize, op: Op, took: Tenths, wait: Tenths, ending: Ending) {
        let slo = self.facts.operations[op.0].slo_time;
        let tardy = match ending {
            _ if self.now == self.stood_still => return,
            // The client's haste: what had no time to be tardy tells nothing by being quick either.
            Ending::Succeeded | Ending::TimedOut if wait < slo.scale(0.5) => return,
            Ending::Succeeded => took > slo.scale(0.5),
            Ending::TimedOut | Ending::Full | Ending::NoConnection => true,
            _ => return,
        };
        let usual = self.usual[self.pods.kind[p].0 * self.facts.operations.len() + op.0].ms;
        if usual > 0.0 && took > Tenths(0) {
            self.drag += ((took.0 as f64 / 10.0 / usual).min(20.0) - self.drag) * 0.1;
        }
        let far = usize::from(self.pods.zone[p] != self.facts.zone);
        self.tardy[far] += (f64::from(tardy) - self.tardy[far]) * 0.1;
        // What is lost on the way to a few pods is no sign of a full fleet.
        let counts = f64::from(matches!(ending, Ending::Succeeded | Ending::Full));
        self.pace = (self.pace.0 + counts * f64::from(tardy), self.pace.1 + counts);
        if self.pace.1 < (0.3 * self.room.min(self.most_open)).max(8.0) {
            return;
        }
        let (tardy, all) = std::mem::take(&mut self.pace);
        let pinched = std::mem::take(&mut self.pinched);
        // A small sidecar has eight answers in a second or two: it goes by how far off they are.
        let over = tardy / all - TARDY;
        if over > 0.0 {
            // Where far pods do better the near ones' lateness is first answered by going there.
            let spills = self.near[0] < self.earlier.len() && self.tardy[0] > self.tardy[1] + SICK;
            let cut = if spills { 0.07 } else { 0.07 + 0.6 * over };
            self.room = (self.room.min(self.most_open + 1.0) * (1.0 - cut)).max(0.3);
        } else if pinched || self.open as f64 > self.room * 0.6 {
            self.room = self.room * (1.04 - 0.2 * over) + 0.2 - over;
        }
    }

    /// The chance that an answer comes while it is waited for, as answers are now.
    fn hope(&self, op: Op, wait: Tenths) -> f64 {
        let ms = self.usual[op.0].ms * self.drag.max(1.0);
        if ms > 0.0 {
            1.0 - (-(wait.0 as f64 / 10.0) / ms).exp()
        } else {
            1.0
        }
    }

    fn grade(&mut self, op: Op) -> f64 {
        let work = if self.facts.billed_value_per_work { 1.0 } else { self.usual[op.0].ms.max(1.0) };
        let density = self.facts.operations[op.0].billed_value / work;
        self.value_density += (density - self.value_density) * 0.02;
        (density / self.value_density.max(1e-9)).sqrt().clamp(0.7, 1.3)
    }

    fn pulse(&mut self) {
        let dt = (self.now - self.pulse_at + PULSE).as_secs().max(0.05);
        self.pulse_at = self.now + PULSE;
        self.ready.append(&mut self.waiting);
        // Small sidecars keep to few pods, or they would know none and open a connection for each dispatch.
        self.few = self.rate.max(6.0) as usize;
        let up = (self.now - self.awake_since).as_secs().max(1.0);
        self.rate += (self.succeeded_since_pulse / dt - self.rate) * (dt / 15.0).max(dt / up).min(1.0);
        self.succeeded_since_pulse = 0.0;
        self.measure();
        self.part = self.trial_part();
        // Traffic may have moved here, or the zone be ill: small sidecars see no lead but in time.
        let gain = self.tardy[0] - self.tardy[1] - self.facts.cross_zone_price - 0.05;
        self.spill = (self.spill + 0.5 * gain * dt).clamp(0.0, 0.8);
        self.tardy[1] *= 1.0 - 0.1 * dt;
        let well = |p: &&usize| self.pods.lame[**p] < SICK / 2.0;
        self.some_well = self.earlier.iter().filter(well).count() * 3 >= self.earlier.len();
        // Who seldom meets a pod must learn from less, or would not know it before the trouble is over.
        self.memory = (6.0 * self.rate_a_pod).clamp(4.0, 40.0);
        let fade = 1.0 - 0.2 * dt * self.rate_a_pod / self.memory;
        self.pods.lame.iter_mut().for_each(|lame| *lame *= fade);
        // Work that was given up goes on for about as long as an answer takes now.
        let usual = self.usual.iter().map(|u| u.ms).fold(50.0, f64::max);
        self.lost = self.pods.ebb((-dt * 500.0 / usual).exp());
        self.most_open *= 1.0 - 0.15 * dt;
        self.weigh_fleet();
        if self.facts.sticky_keys {
            let share = (0.8 * self.cap()).min(0.9 * self.part);
            self.lanes_open = if share < 0.8 { self.lanes_within(share) } else { LANES };
            self.lanes.iter_mut().for_each(|n| *n *= 0.995);
        }
    }

    /// What was told of the build, where it has enough of the pods to slow a whole fleet.
    fn weighty(&self) -> Option<Told> {
        let pods = (self.earlier.len() + self.trial.len()) as f64;
        let slight = |t: &Told| t.phase == Phase::Trial && (self.trial.len() as f64) < SLIGHT * pods;
        self.news().filter(|t| t.phase != Phase::Withdrawn && !slight(t))
    }

    fn voting(&self) -> Option<(Tenths, Told)> {
        Some((Tenths::ms(1500).scale(self.turn? as f64), self.news()?))
    }

    fn cast(&mut self, host: &mut dyn Host, told: Told, verdict: Verdict) -> bool {
        let vote = (told.build, told.stage, verdict);
        if self.ballot.is_some_and(|(b, s, v, until)| (b, s, v) == vote && self.now < until) {
            return false;
        }
        self.ballot = Some((told.build, told.stage, verdict, self.now + self.facts.vote_timeout));
        host.log(&format!(
            "vote {verdict:?} on build {} stage {}: erred/slow/wrong/shared {:.1?}, {} outcomes known",
            told.build.0, told.stage, self.totals, self.seen
        ));
        host.vote(told.build, told.stage, verdict);
        true
    }
}
