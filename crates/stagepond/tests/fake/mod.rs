//! A host in memory that records the effects of the decision module, and a sidecar driven by test code.

use stagepond::balance::Balancer;
use stagepond::host::*;

/// A pod in a list: its number, its build and its start time in milliseconds (0 if unknown).
pub type ListedPod = (u32, u16, i64);

/// A vote: build, stage and verdict.
pub type Vote = (u16, u32, Verdict);

/// A recorded effect.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Invocation and pod.
    Dispatched(String, u32),
    Throttled(String),
    Terminated(String),
    /// Invocation and number of the dispatch.
    Cancelled(String, usize),
    /// Build, stage and verdict.
    Voted(u16, u32, Verdict),
    /// Peer (`usize::MAX` for all) and payload.
    SentToPeer(usize, Vec<u8>),
}

/// Records effects in order and keeps the clock.
#[derive(Default)]
pub struct FakeHost {
    pub now: Tenths,
    pub effects: Vec<Effect>,
    /// When the earliest timer fires that was set since the last one fired.
    pub timer_at: Option<Tenths>,
}

impl Host for FakeHost {
    fn now(&self) -> Tenths {
        self.now
    }
    fn dispatch(&mut self, inv: &InvId, pod: PodId, _until: Tenths) {
        self.effects.push(Effect::Dispatched(inv.0.to_string(), pod.0));
    }
    fn throttle(&mut self, inv: &InvId, _retry_after: Tenths) {
        self.effects.push(Effect::Throttled(inv.0.to_string()));
    }
    fn terminate(&mut self, inv: &InvId) {
        self.effects.push(Effect::Terminated(inv.0.to_string()));
    }
    fn cancel(&mut self, inv: &InvId, nth: usize) {
        self.effects.push(Effect::Cancelled(inv.0.to_string(), nth));
    }
    fn set_timer(&mut self, delay: Tenths, _token: u64) {
        let at = self.now + delay;
        let pending = self.timer_at.filter(|timer_at| *timer_at > self.now);
        self.timer_at = Some(pending.map_or(at, |timer_at| timer_at.min(at)));
    }
    fn send_to_peer(&mut self, to: Option<Peer>, payload: &[u8]) {
        self.effects.push(Effect::SentToPeer(to.map_or(usize::MAX, |peer| peer.0), payload.to_vec()));
    }
    fn vote(&mut self, build: Build, stage: u32, verdict: Verdict) {
        self.effects.push(Effect::Voted(build.0, stage, verdict));
    }
    fn probe(&mut self, _pod: PodId) {}
    fn close_idle_connections(&mut self, _pod: PodId) {}
    fn withdraw_vote(&mut self, _build: Build, _stage: u32) {}
    fn subscribe(&mut self, _wanted: bool) {}
    fn reload_pod_list(&mut self) {}
    fn log(&mut self, _message: &str) {}
}

/// Index of the idempotent operation.
pub const IDEMPOTENT_OP: usize = 0;
/// Index of the fingerprinted operation, which is deduplicated within a zone.
pub const FINGERPRINTED_OP: usize = 1;
/// Index of the side-effecting operation.
pub const SIDE_EFFECTING_OP: usize = 2;

/// Settings of the first of three sidecars.
pub fn test_facts() -> Facts {
    let operation = |(retry_safety, dedup_scope)| Operation {
        retry_safety,
        dedup_scope,
        slo_time: Tenths::ms(500),
        dedup_window: Tenths::ms(5000),
        billed_value: 1.0,
    };
    use DedupScope::All;
    use RetrySafety::{Fingerprinted, Idempotent, SideEffecting};
    Facts {
        sidecar_count: 3,
        machine_kinds: 1,
        operations: [(Idempotent, All), (Fingerprinted, DedupScope::Zone), (SideEffecting, All)]
            .map(operation)
            .to_vec(),
        max_dispatches: 3,
        cancel_allowed: true,
        peer_messages: true,
        initial_cap: 0.1,
        cap_burst: 1.0,
        votes_advance: true,
        min_stage_time: Tenths::ms(1500),
        vote_ttl: Tenths::ms(6000),
        vote_timeout: Tenths::ms(1200),
        flag_share: 0.3,
        cold_capacity_share: 0.3,
        warmup_time: Tenths::ms(4000),
        overload_multiple: 2.5,
        ..Facts::default()
    }
}

/// A balancer on a fake host. Invocations are named `r-1`, `r-2` and so on.
pub struct TestSidecar {
    pub balancer: Balancer,
    pub host: FakeHost,
    invocation_count: usize,
}

/// A sidecar that has just started, without pods.
pub fn new_sidecar(facts: Facts) -> TestSidecar {
    new_sidecar_with_seed(facts, 7)
}

/// As [`new_sidecar`], with another seed. The clock starts at 100 s.
pub fn new_sidecar_with_seed(facts: Facts, seed: u64) -> TestSidecar {
    let balancer = Balancer::new(facts, seed);
    let mut sidecar = TestSidecar { balancer, host: FakeHost::default(), invocation_count: 0 };
    sidecar.host.now = Tenths::ms(100_000);
    sidecar.balancer.start(&mut sidecar.host);
    sidecar
}

/// A sidecar with build 1 released on warm pods 1 to 4, the first two in zone 0, the others in zone 1.
pub fn sidecar_without_trial(facts: Facts) -> TestSidecar {
    let mut sidecar = new_sidecar(facts);
    sidecar.receive_stage(1, 0, Phase::Released, 1.0);
    sidecar.receive_pod_list(true, &[(1, 1, 0), (2, 1, 0), (3, 1, 0), (4, 1, 0)]);
    sidecar
}

impl TestSidecar {
    /// Passes a pod list of available pods.
    pub fn receive_pod_list(&mut self, complete: bool, pods: &[ListedPod]) {
        self.balancer.begin_pod_list(complete);
        for &(pod, build, start_ms) in pods {
            self.receive_pod(pod, build, start_ms, Availability::Up);
        }
        self.balancer.end_pod_list(&mut self.host);
    }

    fn receive_pod(&mut self, pod: u32, build: u16, start_ms: i64, availability: Availability) {
        let zone = Zone(usize::from(pod > 2));
        let started_at = (start_ms > 0).then_some(Tenths::ms(start_ms));
        self.balancer.on_pod(
            PodId(pod),
            MachineKind(0),
            zone,
            availability,
            Cell(pod),
            1.0,
            started_at,
            Build(build),
        );
    }

    /// Passes a change of the pod list: the pod is draining.
    pub fn drain_pod(&mut self, pod: u32, build: u16) {
        self.balancer.begin_pod_list(false);
        self.receive_pod(pod, build, 0, Availability::Draining);
        self.balancer.end_pod_list(&mut self.host);
    }

    /// Passes the platform's report of a stage that starts now.
    pub fn receive_stage(&mut self, build: u16, stage: u32, phase: Phase, cap: f64) {
        let since = Tenths(0);
        self.balancer.on_stage(
            &mut self.host,
            Build(build),
            stage,
            since,
            phase,
            false,
            cap,
            Ending::Succeeded,
        );
    }

    /// Passes the platform's answer to a vote.
    pub fn receive_vote_answer(&mut self, build: u16, stage: u32, ending: Ending) {
        let (since, phase) = (Tenths(0), Phase::Trial);
        self.balancer.on_stage(&mut self.host, Build(build), stage, since, phase, true, 0.1, ending);
    }

    /// Passes an invocation of a client that waits for a second; returns its name.
    pub fn invoke(&mut self, op: usize) -> String {
        self.invoke_with_key(op, None)
    }

    /// As [`invoke`](Self::invoke), for an object with this key.
    pub fn invoke_with_key(&mut self, op: usize, key: Option<u64>) -> String {
        self.invoke_with(op, key, 1000)
    }

    /// As [`invoke`](Self::invoke), from a client that waits for `wait_ms`.
    pub fn invoke_with_wait(&mut self, op: usize, wait_ms: i64) -> String {
        self.invoke_with(op, None, wait_ms)
    }

    fn invoke_with(&mut self, op: usize, key: Option<u64>, wait_ms: i64) -> String {
        self.invocation_count += 1;
        let name = format!("r-{}", self.invocation_count);
        let until = self.host.now + Tenths::ms(wait_ms);
        let inv = InvId(name.as_str().into());
        self.balancer.on_invocation(&mut self.host, inv, key.map(KeyId), Op(op), until);
        name
    }

    /// Ends the dispatch number `nth` of an invocation after `took_ms`.
    pub fn end_dispatch(&mut self, inv: &str, nth: usize, took_ms: i64, ending: Ending) {
        self.end_dispatch_after(inv, nth, Tenths::ms(took_ms), ending);
    }

    fn end_dispatch_after(&mut self, inv: &str, nth: usize, took: Tenths, ending: Ending) {
        let last = ending == Ending::Succeeded;
        let inv = InvId(inv.into());
        self.balancer.on_outcome(&mut self.host, &inv, last, nth, took, ending, None);
    }

    /// Passes an idempotent invocation and ends its first dispatch, if there is one, without advancing the
    /// clock; returns the pod.
    pub fn invoke_and_end(&mut self, took_ms: i64, ending: Ending) -> Option<u32> {
        self.invoke_and_end_after(Tenths::ms(took_ms), ending)
    }

    /// As [`invoke_and_end`](Self::invoke_and_end), with a finer time.
    pub fn invoke_and_end_after(&mut self, took: Tenths, ending: Ending) -> Option<u32> {
        let inv = self.invoke(IDEMPOTENT_OP);
        let pod = self.last_pod(&inv);
        if pod.is_some() {
            self.end_dispatch_after(&inv, 0, took, ending);
        }
        pod
    }

    /// Advances the clock by `ms` and fires the timers that are due.
    pub fn advance(&mut self, ms: i64) {
        let end = self.host.now + Tenths::ms(ms);
        while let Some(at) = self.host.timer_at.filter(|at| *at <= end) {
            self.host.now = at;
            self.host.timer_at = None;
            self.balancer.on_timer(&mut self.host, 0);
        }
        self.host.now = end;
    }

    fn select_effects<T>(&self, select: impl Fn(&Effect) -> Option<T>) -> Vec<T> {
        self.host.effects.iter().filter_map(select).collect()
    }

    /// Pods of all dispatches of an invocation, in order.
    pub fn dispatched_pods(&self, inv: &str) -> Vec<u32> {
        self.select_effects(|effect| match effect {
            Effect::Dispatched(dispatched, pod) if dispatched == inv => Some(*pod),
            _ => None,
        })
    }

    /// Pod of the last dispatch of an invocation.
    pub fn last_pod(&self, inv: &str) -> Option<u32> {
        self.dispatched_pods(inv).last().copied()
    }

    /// Whether an invocation was answered as throttled or terminated; one element for each such answer.
    pub fn refusals(&self, inv: &str) -> Vec<Effect> {
        self.select_effects(|effect| match effect {
            Effect::Throttled(answered) | Effect::Terminated(answered) if answered == inv => {
                Some(effect.clone())
            }
            _ => None,
        })
    }

    /// All votes cast, in order.
    pub fn votes(&self) -> Vec<Vote> {
        self.select_effects(|effect| match effect {
            Effect::Voted(build, stage, verdict) => Some((*build, *stage, *verdict)),
            _ => None,
        })
    }

    /// All messages sent to peers: receiver and payload.
    pub fn peer_messages(&self) -> Vec<(usize, Vec<u8>)> {
        self.select_effects(|effect| match effect {
            Effect::SentToPeer(to, payload) => Some((*to, payload.clone())),
            _ => None,
        })
    }
}
