//! Measurements of leadership in the simulation: the time without a leader, the time and cost of failure
//! detection, and the rate of commits. Times are virtual unless stated otherwise.

use std::collections::BTreeSet;
use std::time::Instant;

use stagepond_leadership::ids::{Seat, Tenths};
use stagepond_leadership::settings::Settings;

use super::simulation::{Simulation, SimulationConfig};
use crate::faults::{Fault, ScheduledFault};

/// Separates the random times of the disruptions from the simulation's own random numbers.
const TIME_SEED_MASK: u64 = 0x6a9;

/// A disturbance of the leader. The table of results prints the variants by name.
#[derive(Clone, Copy, Debug)]
pub enum Disruption {
    /// The leader's process crashes and stays down.
    Crash,
    /// The leader's process is paused.
    Pause,
    /// The leader is partitioned from all others.
    Cut,
    /// The leader transfers its leadership.
    HandOver,
}

/// The quantile `q` of values in ascending order, in their unit; 0 without values.
fn quantile(sorted: &[i64], q: f64) -> i64 {
    let index = ((sorted.len() as f64 - 1.0) * q).round() as usize;
    sorted.get(index).copied().unwrap_or(0)
}

/// How long nobody held a lease after a disruption.
#[derive(Clone, Debug)]
pub struct FailoverTime {
    /// Runs with a leader to disrupt and a new one after it.
    pub runs: usize,
    /// Median over the runs.
    pub median: Tenths,
    /// Maximum over the runs.
    pub max: Tenths,
    /// The time that the protocol allows for: the hold time and three round trips (pre-vote, vote, first
    /// entry of the term).
    pub bound: Tenths,
}

impl FailoverTime {
    /// The median as a multiple of the bound.
    pub fn ratio(&self) -> f64 {
        self.median.0 as f64 / self.bound.0 as f64
    }
}

/// Measures how long nobody holds a lease after the leader is disrupted, over the seeds from 0 to `runs`.
pub fn failover_time(disruption: Disruption, seats: u16, runs: u64) -> FailoverTime {
    let settings = Settings { prefer_lowest_seat: false, clock_drift: 0.001, ..Settings::default_for(seats) };
    let network_delay = (Tenths(2), Tenths::ms(5));
    let mut times = Vec::new();
    for seed in 0..runs {
        let mut rng = fastrand::Rng::with_seed(seed ^ TIME_SEED_MASK);
        let at = Tenths::ms(8000 + rng.i64(0..1000));
        let config = SimulationConfig {
            faults_until: Tenths::ms(60_000),
            extreme_clock_rates: false,
            network_delay,
            command_interval: Tenths::ms(1000),
            ..SimulationConfig::without_faults(seed, settings.clone())
        };
        let mut simulation = Simulation::new(config);
        simulation.run_until(at);
        let Some((leader, _)) = simulation.lease_holders().first().copied() else { continue };
        let lasts = Tenths::ms(20_000);
        let fault = match disruption {
            Disruption::Crash => Fault::Crash { seat: leader, down: lasts, keeps_memory: false },
            Disruption::Pause => Fault::Pause { seat: leader, lasts },
            Disruption::Cut => Fault::Zone { seats: vec![leader], lasts },
            Disruption::HandOver => Fault::Transfer { to: Seat(u16::from(leader == Seat(0))) },
        };
        simulation.inject_fault(ScheduledFault { at, fault });
        // Looks every 1 ms for the end of the old lease and the start of the next one: every 0.1 ms would be
        // finer than needed.
        let (mut leaderless_since, mut now) = (None, at);
        while now < at + Tenths::ms(15_000) {
            now = now + Tenths(10);
            simulation.run_until(now);
            let holders = simulation.lease_holders();
            let old_lease_valid = holders.iter().any(|(seat, _)| *seat == leader);
            let stopped_at_once = matches!(disruption, Disruption::Crash | Disruption::Pause);
            if leaderless_since.is_none() && (stopped_at_once || !old_lease_valid) {
                leaderless_since = Some(if stopped_at_once { at } else { now });
            }
            let new_lease = holders.iter().any(|(seat, _)| *seat != leader);
            if let (Some(since), true) = (leaderless_since, new_lease) {
                times.push((now - since).0);
                break;
            }
        }
    }
    times.sort_unstable();
    let bound = settings.hold_time + Tenths(3 * 2 * network_delay.1 .0);
    let (median, max) = (Tenths(quantile(&times, 0.5)), Tenths(quantile(&times, 1.0)));
    FailoverTime { runs: times.len(), median, max, bound }
}

/// How fast, how accurate and how costly failure detection is.
#[derive(Clone, Debug)]
pub struct DetectionResult {
    /// Number of members in the group.
    pub members: u16,
    /// The share of datagrams that were lost.
    pub loss: f64,
    /// From the crash until the first running member declares the crashed one dead; `Tenths::NEVER` if none
    /// does.
    pub first_detection: Tenths,
    /// From the crash until the last running member does; `Tenths::NEVER` unless all do.
    pub last_detection: Tenths,
    /// Running members that were declared dead by some other.
    pub false_deaths: usize,
    /// How often some member suspected a running one.
    pub false_suspicions: usize,
    /// How long false deaths and suspicions were counted.
    pub seconds: i64,
    /// Bytes sent before the crash, for each second and member.
    pub bytes_per_second: f64,
}

/// Measures failure detection among many members, one of which crashes for good, with a load of one command
/// each 10 s.
pub fn detection(members: u16, loss: f64, seed: u64) -> DetectionResult {
    let settings = Settings::default_for(members);
    let config = SimulationConfig {
        faults_until: Tenths::ms(600_000),
        extreme_clock_rates: false,
        network_delay: (Tenths(2), Tenths::ms(5)),
        command_interval: Tenths::ms(10_000),
        ..SimulationConfig::without_faults(seed, settings)
    };
    let mut simulation = Simulation::new(config);
    // Long enough for every member to learn of all others.
    let converged = Tenths::ms(60_000);
    let (crash_time, end) = (Tenths::ms(80_000), Tenths::ms(140_000));
    simulation.run_until(converged);
    simulation.net().loss_rate = loss;
    let (bytes_before, crashed) = (simulation.net().bytes_sent, Seat(members - 1));
    simulation.run_until(crash_time);
    let bytes = simulation.net().bytes_sent - bytes_before;
    simulation.inject_fault(ScheduledFault {
        at: crash_time,
        fault: Fault::Crash { seat: crashed, down: Tenths::ms(600_000), keeps_memory: false },
    });
    simulation.run_until(end);
    let detections: Vec<(Tenths, Seat)> = simulation
        .declared_dead
        .iter()
        .filter(|(at, _, member)| *member == crashed && *at >= crash_time)
        .map(|(at, observer, _)| (*at, *observer))
        .collect();
    let times = || detections.iter().map(|(at, _)| *at);
    let first_detection = times().min().map_or(Tenths::NEVER, |at| at - crash_time);
    let observers: BTreeSet<Seat> = detections.iter().map(|(_, observer)| *observer).collect();
    let detected_by_all = observers.len() + 1 >= usize::from(members);
    let last_detection = match detected_by_all {
        true => times().max().map_or(Tenths::NEVER, |at| at - crash_time),
        false => Tenths::NEVER,
    };
    let false_deaths: BTreeSet<Seat> = simulation
        .declared_dead
        .iter()
        .filter(|(at, _, member)| *member != crashed && *at >= converged)
        .map(|(.., member)| *member)
        .collect();
    let false_suspicions =
        simulation.suspected.iter().filter(|(at, member)| *member != crashed && *at >= converged).count();
    let seconds_before_crash = (crash_time - converged).0 as f64 / 10_000.0;
    DetectionResult {
        members,
        loss,
        first_detection,
        last_detection,
        false_deaths: false_deaths.len(),
        false_suspicions,
        seconds: (end - converged).0 / 10_000,
        bytes_per_second: bytes as f64 / f64::from(members) / seconds_before_crash,
    }
}

/// Measures the rate at which a group of three commits, with one command each 0.5 ms of virtual time: entries
/// for each second of virtual time, and for each second of this machine's.
pub fn commit_rate(seconds: i64) -> (f64, f64) {
    let config = SimulationConfig {
        faults_until: Tenths::ms(1000 * (seconds + 5)),
        extreme_clock_rates: false,
        network_delay: (Tenths(2), Tenths(5)),
        command_interval: Tenths(5),
        ..SimulationConfig::without_faults(1, Settings::default_for(3))
    };
    let mut simulation = Simulation::new(config);
    simulation.run_until(Tenths::ms(5000));
    assert_eq!(simulation.invariants.violations, [], "a group without faults violates no invariant");
    let (committed_before, started) = (simulation.invariants.committed_entries, Instant::now());
    simulation.run_until(Tenths::ms(1000 * (seconds + 5)));
    let committed = (simulation.invariants.committed_entries - committed_before) as f64;
    (committed / seconds as f64, committed / started.elapsed().as_secs_f64())
}
