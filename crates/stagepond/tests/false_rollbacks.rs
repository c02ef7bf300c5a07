//! How often a good build is voted back, and how often one that slows all pods is, over sizes of the fleet,
//! traffic, knowledge of the time before the trial and shapes of answer times.

// The other test of the crate uses the rest of this module.
#[allow(dead_code)]
mod fake;

use fake::*;
use rstest::rstest;
use stagepond::host::*;

/// Promised bound on the share of good builds that are voted back (`ALPHA` in the decision module).
const PROMISED_SHARE: f64 = 0.01;
/// How long a trial runs.
const TRIAL_SECONDS: i64 = 14;
/// Answer times beside a build that slows all, as a multiple of the usual answer times.
const SLOWDOWN: f64 = 2.0;

/// Distribution of answer times.
#[derive(Clone, Copy, Debug)]
enum Shape {
    /// All within three percent of each other, as with a fixed service time.
    Even,
    /// A minimum and an exponentially distributed time.
    Exponential,
    /// A Pareto distribution with the exponent 1.5.
    HeavyTailed,
}

impl Shape {
    fn draw_ms(self, rng: &mut fastrand::Rng) -> f64 {
        match self {
            Shape::Even => 21.0 + 0.6 * rng.f64(),
            Shape::Exponential => 10.0 - 60.0 * (1.0 - rng.f64()).ln(),
            Shape::HeavyTailed => (20.0 * (1.0 - rng.f64()).powf(-1.0 / 1.5)).min(900.0),
        }
    }
}

/// A fleet and its traffic.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    sidecar_count: usize,
    /// Invocations a second of each sidecar.
    rate: i64,
    /// Seconds before the trial.
    seconds_before: i64,
    shape: Shape,
}

struct Fleet {
    sidecars: Vec<TestSidecar>,
    scenario: Scenario,
    rng: fastrand::Rng,
}

impl Fleet {
    /// A fleet with build 1 released on three pods.
    fn start(scenario: Scenario, seed: u64) -> Fleet {
        let sidecar_count = scenario.sidecar_count;
        let facts = |index| Facts { sidecar_count, own_peer: Peer(index), initial_cap: 0.2, ..test_facts() };
        let sidecars: Vec<TestSidecar> = (0..sidecar_count)
            .map(|index| new_sidecar_with_seed(facts(index), seed * 1000 + index as u64))
            .collect();
        let mut fleet = Fleet { sidecars, scenario, rng: fastrand::Rng::with_seed(seed) };
        for sidecar in &mut fleet.sidecars {
            sidecar.receive_stage(1, 0, Phase::Released, 1.0);
            sidecar.receive_pod_list(true, &[(1, 1, 0), (2, 1, 0), (3, 1, 0)]);
        }
        fleet
    }

    /// Starts the trial of build 2 on a fourth pod.
    fn start_trial(&mut self) {
        for sidecar in &mut self.sidecars {
            sidecar.receive_stage(2, 0, Phase::Trial, 0.2);
            sidecar.receive_pod_list(false, &[(4, 2, 0)]);
        }
    }

    fn run(&mut self, seconds: i64, slowdown: f64) {
        for _ in 0..seconds * self.scenario.rate {
            for sidecar in &mut self.sidecars {
                sidecar.advance(1000 / self.scenario.rate);
                let ms = slowdown * self.scenario.shape.draw_ms(&mut self.rng);
                sidecar.invoke_and_end_after(Tenths::floor_ms(ms), Ending::Succeeded);
            }
            self.deliver_messages();
        }
    }

    /// Passes what the others send to the first sidecar, which votes.
    fn deliver_messages(&mut self) {
        for from in 1..self.sidecars.len() {
            for effect in std::mem::take(&mut self.sidecars[from].host.effects) {
                if let Effect::SentToPeer(0, payload) = effect {
                    let voter = &mut self.sidecars[0];
                    voter.balancer.on_peer_message(&mut voter.host, Peer(from), &payload);
                }
            }
        }
    }
}

/// Whether the build is voted back in its trial, during which answers take `slowdown` times as long.
fn is_voted_back(scenario: Scenario, slowdown: f64, seed: u64) -> bool {
    let mut fleet = Fleet::start(scenario, seed);
    fleet.run(scenario.seconds_before, 1.0);
    fleet.start_trial();
    fleet.run(TRIAL_SECONDS, slowdown);
    fleet.sidecars[0].votes().iter().any(|vote| vote.2 == Verdict::Back)
}

fn count_voted_back(scenario: Scenario, slowdown: f64, draws: u64) -> u64 {
    (1..=draws).filter(|seed| is_voted_back(scenario, slowdown, *seed)).count() as u64
}

/// The threshold for slow answers was taken over from the moment at which the trial began, below or above the
/// usual answer time by chance.
#[rstest]
fn good_builds_are_voted_back_no_more_often_than_promised(
    #[values(Shape::Even, Shape::Exponential, Shape::HeavyTailed)] shape: Shape,
    #[values((1, 60), (1, 5), (3, 20), (10, 7))] size: (usize, i64), #[values(1, 2, 10)] seconds_before: i64,
) {
    let (sidecar_count, rate) = size;
    let scenario = Scenario { sidecar_count, rate, seconds_before, shape };
    let draws = 100;
    let voted_back = count_voted_back(scenario, 1.0, draws);
    assert!(voted_back as f64 <= PROMISED_SHARE * draws as f64, "{voted_back} of {draws}");
}

#[rstest]
fn builds_that_make_all_answers_twice_as_slow_are_voted_back(
    #[values(Shape::Even, Shape::Exponential)] shape: Shape, #[values((1, 60), (3, 20))] size: (usize, i64),
) {
    let (sidecar_count, rate) = size;
    let scenario = Scenario { sidecar_count, rate, seconds_before: 10, shape };
    let draws = 20;
    assert!(count_voted_back(scenario, SLOWDOWN, draws) * 10 >= draws * 9);
}
