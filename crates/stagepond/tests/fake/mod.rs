use stagepond::balance::Balancer;
use stagepond::host::*;

#[derive(Clone, Debug, PartialEq)]
pub enum Did {
    Sent(String, u32),
    Throttled(String),
    Terminated(String),
    Cancelled(String, usize),
    Voted(u16, u32, Verdict),
    Told(usize, Vec<u8>),
}

#[derive(Default)]
pub struct Fake {
    pub now: Tenths,
    pub did: Vec<Did>,
    pub wake_at: Option<Tenths>,
}

impl Host for Fake {
    fn now(&self) -> Tenths {
        self.now
    }
    fn dispatch(&mut self, inv: &InvId, pod: PodId, _until: Tenths) {
        self.did.push(Did::Sent(inv.0.to_string(), pod.0));
    }
    fn throttle(&mut self, inv: &InvId, _stay_away: Tenths) {
        self.did.push(Did::Throttled(inv.0.to_string()));
    }
    fn terminate(&mut self, inv: &InvId) {
        self.did.push(Did::Terminated(inv.0.to_string()));
    }
    fn cancel(&mut self, inv: &InvId, nth: usize) {
        self.did.push(Did::Cancelled(inv.0.to_string(), nth));
    }
    fn set_timer(&mut self, delay: Tenths, _token: u64) {
        let at = self.now + delay;
        self.wake_at = Some(self.wake_at.filter(|w| *w > self.now).map_or(at, |w| w.min(at)));
    }
    fn send_to_peer(&mut self, to: Option<Peer>, words: &[u8]) {
        self.did.push(Did::Told(to.map_or(usize::MAX, |p| p.0), words.to_vec()));
    }
    fn vote(&mut self, build: Build, stage: u32, verdict: Verdict) {
        self.did.push(Did::Voted(build.0, stage, verdict));
    }
    fn probe(&mut self, _pod: PodId) {}
    fn close_idle_connections(&mut self, _pod: PodId) {}
    fn withdraw_vote(&mut self, _build: Build, _stage: u32) {}
    fn subscribe(&mut self, _wanted: bool) {}
    fn reload_pod_list(&mut self) {}
    fn log(&mut self, _words: &str) {}
}

pub const FETCH: usize = 0;
pub const MARKED: usize = 1;
pub const ONCE: usize = 2;

pub fn facts() -> Facts {
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

pub struct Sidecar {
    pub b: Balancer,
    pub host: Fake,
    taken: usize,
}

pub fn sidecar(facts: Facts) -> Sidecar {
    seeded(facts, 7)
}

pub fn seeded(facts: Facts, seed: u64) -> Sidecar {
    let mut s = Sidecar { b: Balancer::new(facts, seed), host: Fake::default(), taken: 0 };
    s.host.now = Tenths::ms(100_000);
    s.b.start(&mut s.host);
    s
}

/// Build 1 released on warm pods 1 to 4, the first two in zone 0, the others in zone 1.
pub fn quiet(facts: Facts) -> Sidecar {
    let mut s = sidecar(facts);
    s.news(1, 0, Phase::Released, 1.0);
    s.list(true, &[(1, 1, 0), (2, 1, 0), (3, 1, 0), (4, 1, 0)]);
    s
}

impl Sidecar {
    pub fn list(&mut self, whole: bool, rows: &[(u32, u16, i64)]) {
        self.b.begin_pod_list(whole);
        for &(pod, build, born) in rows {
            self.row(pod, build, born, Availability::Up);
        }
        self.b.end_pod_list(&mut self.host);
    }

    fn row(&mut self, pod: u32, build: u16, born: i64, state: Availability) {
        let zone = Zone(usize::from(pod > 2));
        let born = (born > 0).then_some(Tenths::ms(born));
        self.b.on_pod(PodId(pod), MachineKind(0), zone, state, Cell(pod), 1.0, born, Build(build));
    }

    pub fn drain(&mut self, pod: u32, build: u16) {
        self.b.begin_pod_list(false);
        self.row(pod, build, 0, Availability::Draining);
        self.b.end_pod_list(&mut self.host);
    }

    pub fn news(&mut self, build: u16, stage: u32, phase: Phase, cap: f64) {
        let since = Tenths(0);
        self.b.on_stage(&mut self.host, Build(build), stage, since, phase, false, cap, Ending::Succeeded);
    }

    pub fn vote_answer(&mut self, build: u16, stage: u32, ending: Ending) {
        let (since, phase) = (Tenths(0), Phase::Trial);
        self.b.on_stage(&mut self.host, Build(build), stage, since, phase, true, 0.1, ending);
    }

    pub fn take(&mut self, op: usize) -> String {
        self.take_key(op, None)
    }

    pub fn take_key(&mut self, op: usize, key: Option<u64>) -> String {
        self.take_with(op, key, 1000)
    }

    /// From a client that waits for so many milliseconds.
    pub fn take_for(&mut self, op: usize, wait: i64) -> String {
        self.take_with(op, None, wait)
    }

    fn take_with(&mut self, op: usize, key: Option<u64>, wait: i64) -> String {
        self.taken += 1;
        let name = format!("r-{}", self.taken);
        let until = self.host.now + Tenths::ms(wait);
        let inv = InvId(name.as_str().into());
        self.b.on_invocation(&mut self.host, inv, key.map(KeyId), Op(op), until);
        name
    }

    pub fn end(&mut self, inv: &str, nth: usize, took: i64, ending: Ending) {
        let last = ending == Ending::Succeeded;
        let inv = InvId(inv.into());
        self.b.on_outcome(&mut self.host, &inv, last, nth, Tenths::ms(took), ending, None);
    }

    pub fn round_trip(&mut self, took: i64, ending: Ending) -> Option<u32> {
        let inv = self.take(FETCH);
        let pod = self.last_pod(&inv);
        if pod.is_some() {
            self.end(&inv, 0, took, ending);
        }
        pod
    }

    pub fn pass(&mut self, ms: i64) {
        let end = self.host.now + Tenths::ms(ms);
        while let Some(at) = self.host.wake_at.filter(|at| *at <= end) {
            self.host.now = at;
            self.host.wake_at = None;
            self.b.on_timer(&mut self.host, 0);
        }
        self.host.now = end;
    }

    fn all<T>(&self, pick: impl Fn(&Did) -> Option<T>) -> Vec<T> {
        self.host.did.iter().filter_map(pick).collect()
    }

    pub fn sends(&self, inv: &str) -> Vec<u32> {
        self.all(|d| if let Did::Sent(i, pod) = d { (i == inv).then_some(*pod) } else { None })
    }

    pub fn last_pod(&self, inv: &str) -> Option<u32> {
        self.sends(inv).last().copied()
    }

    pub fn answers(&self, inv: &str) -> Vec<Did> {
        self.all(|d| match d {
            Did::Throttled(i) | Did::Terminated(i) if i == inv => Some(d.clone()),
            _ => None,
        })
    }

    pub fn votes(&self) -> Vec<(u16, u32, Verdict)> {
        self.all(|d| {
            if let Did::Voted(build, stage, verdict) = d {
                Some((*build, *stage, *verdict))
            } else {
                None
            }
        })
    }

    pub fn words(&self) -> Vec<(usize, Vec<u8>)> {
        self.all(|d| if let Did::Told(to, words) = d { Some((*to, words.clone())) } else { None })
    }
}
