//! What happens in one run of the soak, drawn from its seed before the run starts.

use std::time::Duration;

use crate::crowd::ClientForm;

/// Numbers of clients; the last one exceeds the connection limit of the sidecar under test.
const CLIENT_COUNTS: [usize; 4] = [1, 40, 300, 600];
/// Probability of each of [`CLIENT_COUNTS`], in percent. Large runs take the most processor time.
const CLIENT_COUNT_PERCENT: [u32; 4] = [10, 45, 30, 15];
/// Longest time limits of the settings; the kill comes 3.7 s after SIGTERM where they are above 3 s.
const LONGEST_TIME_LIMITS: [Duration; 2] = [Duration::from_millis(2000), Duration::from_millis(4000)];
/// Longest time between a connection and its first request.
const MAX_FIRST_REQUEST_DELAY_MS: u64 = 200;
/// Restarts of the sidecar in one run.
const RESTARTS: usize = 3;
/// Mean pause of a client between an answer and its next request, for one client.
const THINK_TIME: Duration = Duration::from_millis(100);
/// Added to [`THINK_TIME`] for each client of the run, so that large runs do not overload the machine.
const THINK_TIME_PER_CLIENT: Duration = Duration::from_micros(200);
/// Share of requests that clients send in two pieces, in the runs that have such requests.
const SPLIT_SHARE: f64 = 1.0 / 15.0;
/// Most signals of one restart.
const MAX_SIGNALS: usize = 6;
/// Longest pause between two signals of one restart.
const MAX_SIGNAL_PAUSE_MS: u64 = 200;
/// How long clients may go on connecting after SIGTERM (PROTOCOL.md, "Figures").
const CONNECT_AFTER_SIGTERM_MS: std::ops::RangeInclusive<u64> = 200..=400;

/// Mixed into the seed for the troubles, so that the rest of a script is the same with and without them.
const TROUBLE_SEED: u64 = 0x7265_6164;
/// Share of requests whose clients leave before the answer, in runs with troubles.
const LEAVING_SHARE: f64 = 0.15;
/// Limits that the sidecar's configuration has in runs with troubles.
const MEMORY_LIMITS_MB: [usize; 3] = [32, 56, 192];
const DESCRIPTOR_LIMITS: [usize; 2] = [256, 1024];
/// Lengths of orders and of answers in runs with troubles; 0 is the usual short answer.
const ORDER_BODY_BYTES: [usize; 2] = [200, 64 << 10];
const ANSWER_BYTES: [usize; 2] = [0, 60_000];
/// Usual clients hold at most one of this many descriptors (LATER.md, "Score").
const DESCRIPTORS_PER_CLIENT: usize = 3;
/// Numbers of clients in a crowd.
const CROWD_CLIENTS: [usize; 2] = [200, 400];
/// Most invocations that a pod turns away, in percent.
const MAX_TURN_AWAY_PERCENT: u32 = 10;

/// What happens in a run beside the restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum SoakKind {
    /// Nothing.
    Restarts,
    /// Clients leave before their answers, pods turn invocations away, limits are tight.
    Leaving,
    /// The same, and in half of the runs a crowd of bad clients.
    Crowd,
}

/// A signal that the sidecar gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalKind {
    /// SIGTERM.
    Terminate,
    /// SIGHUP.
    Hangup,
}

/// One restart of the sidecar.
#[derive(Clone, Debug)]
pub struct Restart {
    /// How long the sidecar serves before the first signal.
    pub serving_time: Duration,
    /// The signals, each with the pause before it. At least one is SIGTERM.
    pub signals: Vec<(Duration, SignalKind)>,
    /// How long after the first SIGTERM clients still open connections.
    pub connect_for: Duration,
    /// Whether discovery lists a pod as terminating from the first signal until the successor is ready.
    pub drains_pod: bool,
    /// SIGTERM for the successor this long after it listens, before the one that serves on is started.
    pub terminate_successor_after: Option<Duration>,
}

/// How pods treat invocations: the percentage of each treatment, drawn for each invocation. The rest is
/// answered after 1 ms.
#[derive(Clone, Copy, Debug, Default)]
pub struct PodMix {
    /// Answered after 100 ms.
    pub slow_percent: u32,
    /// Answered after 1.5 s.
    pub very_slow_percent: u32,
    /// Never answered.
    pub hang_percent: u32,
    /// The connection is reset.
    pub reset_percent: u32,
    /// Turned away after 120 ms, without running.
    pub turn_away_percent: u32,
    /// Length of a pod's answer in bytes; 0 for the usual short text.
    pub answer_bytes: usize,
}

impl PodMix {
    /// Whether every invocation is answered at once.
    pub fn is_well(&self) -> bool {
        self.slow_percent
            + self.very_slow_percent
            + self.hang_percent
            + self.reset_percent
            + self.turn_away_percent
            == 0
    }
}

/// What clients and limits add to the restarts of a run.
#[derive(Clone, Debug)]
pub struct Troubles {
    /// Share of requests whose clients leave before the answer.
    pub leaving_share: f64,
    /// Length of an order's body in bytes.
    pub order_body_bytes: usize,
    /// Memory limit of the sidecar, in MB.
    pub memory_mb: usize,
    /// Descriptor limit of the sidecar.
    pub sockets: usize,
    /// Forms of the clients of a crowd, in turn; no crowd if empty.
    pub crowd_forms: Vec<ClientForm>,
    /// Number of clients in the crowd.
    pub crowd_clients: usize,
}

impl Default for Troubles {
    fn default() -> Troubles {
        Troubles {
            leaving_share: 0.0,
            order_body_bytes: ORDER_BODY_BYTES[0],
            memory_mb: 192,
            sockets: 1024,
            crowd_forms: Vec::new(),
            crowd_clients: 0,
        }
    }
}

/// The script of one run.
#[derive(Clone, Debug)]
pub struct Script {
    /// Seed that the script was drawn from; clients and pods draw from it too.
    pub seed: u64,
    /// Number of clients, each with one connection.
    pub clients: usize,
    /// Longest time limit of the settings and of the clients.
    pub longest_time_limit: Duration,
    /// Whether all clients connect in the same moment.
    pub crowd: bool,
    /// A new connection's first request is sent after half of this time or more, by clients that are busy.
    pub first_request_delay: Duration,
    /// Mean pause of a client between two requests.
    pub think_time: Duration,
    /// Share of requests sent in two pieces.
    pub split_share: f64,
    /// How pods treat invocations.
    pub pods: PodMix,
    /// The restarts in order.
    pub restarts: Vec<Restart>,
    /// What else happens.
    pub troubles: Troubles,
}

impl Script {
    /// Draws the script of a seed. The restarts are the same for each kind.
    pub fn draw(seed: u64, kind: SoakKind) -> Script {
        let mut script = Script::draw_restarts(seed);
        if kind != SoakKind::Restarts {
            script.draw_troubles(kind);
        }
        script
    }

    fn draw_restarts(seed: u64) -> Script {
        let mut rng = fastrand::Rng::with_seed(seed);
        let clients = draw_client_count(&mut rng);
        Script {
            seed,
            clients,
            longest_time_limit: LONGEST_TIME_LIMITS[rng.usize(0..LONGEST_TIME_LIMITS.len())],
            crowd: rng.bool(),
            first_request_delay: Duration::from_millis(if rng.bool() {
                MAX_FIRST_REQUEST_DELAY_MS
            } else {
                0
            }),
            think_time: THINK_TIME + THINK_TIME_PER_CLIENT * clients as u32,
            split_share: if rng.bool() { SPLIT_SHARE } else { 0.0 },
            pods: draw_pod_mix(&mut rng),
            restarts: (0..RESTARTS).map(|_| draw_restart(&mut rng)).collect(),
            troubles: Troubles::default(),
        }
    }

    /// Number of clients in the crowd; 0 without one.
    pub fn crowd_clients(&self) -> usize {
        if self.troubles.crowd_forms.is_empty() {
            0
        } else {
            self.troubles.crowd_clients
        }
    }

    fn draw_troubles(&mut self, kind: SoakKind) {
        let mut rng = fastrand::Rng::with_seed(self.seed ^ TROUBLE_SEED);
        self.pods.turn_away_percent = rng.u32(0..=MAX_TURN_AWAY_PERCENT);
        self.pods.answer_bytes = ANSWER_BYTES[rng.usize(0..ANSWER_BYTES.len())];
        let has_crowd = rng.bool() && kind == SoakKind::Crowd;
        let forms = (0..2).map(|_| ClientForm::BAD[rng.usize(0..ClientForm::BAD.len())]).collect();
        let sockets = DESCRIPTOR_LIMITS[rng.usize(0..DESCRIPTOR_LIMITS.len())];
        self.clients = self.clients.min(sockets / DESCRIPTORS_PER_CLIENT);
        self.troubles = Troubles {
            leaving_share: LEAVING_SHARE,
            order_body_bytes: ORDER_BODY_BYTES[rng.usize(0..ORDER_BODY_BYTES.len())],
            memory_mb: MEMORY_LIMITS_MB[rng.usize(0..MEMORY_LIMITS_MB.len())],
            sockets,
            crowd_forms: if has_crowd { forms } else { Vec::new() },
            crowd_clients: CROWD_CLIENTS[rng.usize(0..CROWD_CLIENTS.len())],
        };
    }
}

fn draw_client_count(rng: &mut fastrand::Rng) -> usize {
    let mut percent = rng.u32(0..100);
    for (count, share) in CLIENT_COUNTS.into_iter().zip(CLIENT_COUNT_PERCENT) {
        if percent < share {
            return count;
        }
        percent -= share;
    }
    CLIENT_COUNTS[0]
}

fn draw_pod_mix(rng: &mut fastrand::Rng) -> PodMix {
    if rng.bool() {
        return PodMix::default();
    }
    PodMix {
        slow_percent: rng.u32(0..=20),
        very_slow_percent: rng.u32(0..=5),
        hang_percent: rng.u32(0..=3),
        reset_percent: rng.u32(0..=3),
        ..PodMix::default()
    }
}

fn draw_restart(rng: &mut fastrand::Rng) -> Restart {
    let mut signals: Vec<(Duration, SignalKind)> = (0..rng.usize(1..=MAX_SIGNALS))
        .map(|_| {
            let kind = if rng.bool() { SignalKind::Terminate } else { SignalKind::Hangup };
            (Duration::from_millis(rng.u64(0..=MAX_SIGNAL_PAUSE_MS)), kind)
        })
        .collect();
    let terminated = rng.usize(0..signals.len());
    signals[terminated].1 = SignalKind::Terminate;
    Restart {
        serving_time: Duration::from_millis(rng.u64(500..=1500)),
        signals,
        connect_for: Duration::from_millis(rng.u64(CONNECT_AFTER_SIGTERM_MS)),
        drains_pod: rng.bool(),
        terminate_successor_after: (rng.u32(0..4) == 0).then(|| Duration::from_millis(rng.u64(0..=100))),
    }
}
