//! The seeded part of the leadership proof: simulations by the thousand, none of which may violate an
//! invariant, and planted faults, each of which must be found.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

use stagepond_leadership::ids::{Seat, Tenths};
use stagepond_leadership::planted::Fault as PlantedFault;
use stagepond_leadership::settings::Settings;

use super::simulation::{Outcome, Simulation, SimulationConfig};
use crate::faults::{self, Fault, ScheduledFault};

/// Separates the random times of the added faults from the simulation's own random numbers.
const TIME_SEED_MASK: u64 = 0xf00d;
/// Separates the random seats of the added faults from both.
const SEAT_SEED_MASK: u64 = 0xbeef;

/// The time between commands where writes must overlap: less than the longest write takes.
const FREQUENT_COMMAND_INTERVAL: Tenths = Tenths::ms(10);

/// Datagrams that arrive when the sender has led in a later term for a while.
const LATE_APPENDS: Fault = Fault::Late { share: 0.2, by: Tenths::ms(4000), lasts: Tenths::ms(18_000) };
/// How often memories are lost where an era must begin after that.
const MEMORY_LOSSES: usize = 4;
/// How long an instance is cut off before the others lose their memories: long enough for them to elect a leader
/// and to commit commands.
const ISOLATION_TIME: Tenths = Tenths::ms(3000);

/// The settings of the seeded simulations: short times, so that much happens, and clocks that drift far
/// apart.
pub fn settings(seats: u16, durable: bool) -> Settings {
    let settings = Settings {
        hold_time: Tenths::ms(1000),
        clock_drift: 0.05,
        lease_margin: Tenths::ms(20),
        max_grant_time: Tenths::ms(200),
        round_trip: Tenths::ms(40),
        probe_interval: Tenths::ms(200),
        replace_after: Tenths::ms(2000),
        min_transfer_interval: Tenths::ms(5000),
        durable,
        ..Settings::default_for(seats)
    };
    settings.validate().expect("the settings are valid")
}

/// The simulation of a seed: three, five or seven instances, with a disk or without, and a drawn schedule of
/// faults.
pub fn seeded_config(seed: u64, planted: Option<PlantedFault>) -> SimulationConfig {
    let mut rng = fastrand::Rng::with_seed(seed);
    let seats = [3, 5, 5, 7][rng.usize(0..4)];
    let mut settings = settings(seats, rng.bool());
    settings.pool = (0..seats).map(Seat).collect();
    let (faults_until, end) = (Tenths::ms(20_000), Tenths::ms(42_000));
    let fault_schedule = faults::random_schedule(&mut rng, seats, Tenths::ms(2000), faults_until);
    let quiet = SimulationConfig::without_faults(seed, settings);
    SimulationConfig { seed, fault_schedule, faults_until, end, planted, ..quiet }
}

/// The simulation of a seed with a planted fault, and with more of the scheduled faults that can expose it.
pub fn config_exposing(seed: u64, planted: PlantedFault) -> SimulationConfig {
    let mut config = seeded_config(seed, Some(planted));
    let mut time_rng = fastrand::Rng::with_seed(seed ^ TIME_SEED_MASK);
    let mut start_time = || Tenths::ms(2500 + time_rng.i64(0..16_000));
    let needs_disk = matches!(
        planted,
        PlantedFault::TermForgotten | PlantedFault::VoteForgotten | PlantedFault::OverlappingWrites
    );
    config.settings.durable |= needs_disk;
    if planted == PlantedFault::OverlappingWrites {
        config.command_interval = FREQUENT_COMMAND_INTERVAL;
    }
    let seats = config.settings.seats;
    let mut seat_rng = fastrand::Rng::with_seed(seed ^ SEAT_SEED_MASK);
    let mut seat = || Seat(seat_rng.u16(0..seats.min(3)));
    let duration = Tenths::ms(3000);
    let fault_count = match planted {
        PlantedFault::VoteForgotten => 40,
        PlantedFault::AppendIdsRestart | PlantedFault::EraContinuesPositions => 0,
        PlantedFault::OverlappingWrites => 12,
        _ => 4,
    };
    if planted == PlantedFault::EraContinuesPositions {
        for _ in 0..MEMORY_LOSSES {
            config.fault_schedule.extend(isolation_before_memory_loss(start_time(), seat(), seats));
        }
    }
    if planted == PlantedFault::AppendIdsRestart {
        let first = ScheduledFault { at: Tenths::ms(2000), fault: LATE_APPENDS };
        let isolations = (0..3).flat_map(|nth| short_and_long_isolation(Tenths::ms(4500 + 5000 * nth)));
        config.fault_schedule.extend(std::iter::once(first).chain(isolations));
    }
    for nth in 0..fault_count {
        let fault = match planted {
            PlantedFault::VoteForgotten if nth % 4 == 0 => {
                Fault::Late { share: 0.5, by: Tenths::ms(400), lasts: duration }
            }
            PlantedFault::VoteForgotten if nth % 4 == 1 => {
                Fault::Mute { seat: seat(), lasts: Tenths::ms(1300) }
            }
            PlantedFault::ShortestLogLeads => memory_loss_of_all_but(seat(), seats),
            PlantedFault::OverlappingWrites => {
                let seats = (0..seats).map(Seat).collect();
                Fault::CrashMany { seats, down: Tenths::ms(30), keeps_memory: true }
            }
            PlantedFault::TermForgotten | PlantedFault::VoteForgotten | PlantedFault::CommitAlone => {
                Fault::Crash { seat: seat(), down: Tenths::ms(30), keeps_memory: true }
            }
            PlantedFault::HoldForgottenAfterPause => Fault::Step { seat: seat(), by: Tenths::ms(1500) },
            PlantedFault::NoPreVote => Fault::Deaf { seat: seat(), lasts: Tenths::ms(6000) },
            PlantedFault::TransferKeepsMandate => Fault::Transfer { to: seat() },
            PlantedFault::ActAfterExpiry => Fault::Pause { seat: seat(), lasts: duration },
            PlantedFault::NoJointQuorum => Fault::Zone { seats: vec![seat()], lasts: Tenths::ms(6000) },
            _ => Fault::Mute { seat: seat(), lasts: duration },
        };
        config.fault_schedule.push(ScheduledFault { at: start_time(), fault });
    }
    config.fault_schedule.sort_by_key(|scheduled| scheduled.at);
    config
}

/// One instance is cut off until all others have lost their memories.
fn isolation_before_memory_loss(at: Tenths, isolated: Seat, seats: u16) -> [ScheduledFault; 2] {
    let isolation = Fault::Zone { seats: vec![isolated], lasts: ISOLATION_TIME };
    let memory_loss = memory_loss_of_all_but(isolated, seats);
    [
        ScheduledFault { at, fault: isolation },
        ScheduledFault { at: at + ISOLATION_TIME - Tenths::ms(20), fault: memory_loss },
    ]
}

/// The lowest seat, which leads at first, is cut off until its lease has ended, but not until the others elect
/// another leader; soon after it leads again it is cut off for longer.
fn short_and_long_isolation(at: Tenths) -> [ScheduledFault; 2] {
    let isolation = |lasts| Fault::Zone { seats: vec![Seat(0)], lasts };
    [
        ScheduledFault { at, fault: isolation(Tenths::ms(950)) },
        ScheduledFault { at: at + Tenths::ms(1400), fault: isolation(Tenths::ms(2500)) },
    ]
}

fn memory_loss_of_all_but(kept: Seat, seats: u16) -> Fault {
    let others = (0..seats).map(Seat).filter(|seat| *seat != kept).collect();
    Fault::CrashMany { seats: others, down: Tenths::ms(30), keeps_memory: false }
}

/// Totals over many runs.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// Seeds that were run.
    pub runs: u64,
    /// Events that were processed.
    pub steps: u64,
    /// Terms in which an instance obtained a lease.
    pub leaders: u64,
    /// Actions carried out under a lease.
    pub actions: u64,
    /// Actions that the last check of the lease refused.
    pub refused_actions: u64,
    /// Entries that were committed.
    pub committed_entries: u64,
    /// Times that a group was bootstrapped.
    pub bootstraps: u64,
    /// Committed entries with numbers above all that a running instance of the pool held at a bootstrap.
    pub entries_lost_with_memory: u64,
    /// Seeds that gave different traces when run twice.
    pub unequal_traces: u64,
    /// Seeds that violated an invariant, each with the first violation.
    pub violations: Vec<(u64, String)>,
}

impl Summary {
    fn add(&mut self, seed: u64, outcome: &Outcome) {
        self.runs += 1;
        self.steps += outcome.steps;
        self.leaders += outcome.leaders;
        self.actions += outcome.acts;
        self.refused_actions += outcome.refused_acts;
        self.committed_entries += outcome.decrees;
        self.bootstraps += outcome.foundings;
        self.entries_lost_with_memory += outcome.lost_with_memory;
        if let Some(violation) = outcome.broken.first() {
            self.violations.push((seed, format!("{violation:?}")));
        }
    }
}

/// Runs `count` seeds from `first_seed` on, in several threads. Every hundredth runs twice, and both runs
/// must give the same trace.
pub fn run_seeds(first_seed: u64, count: u64, threads: usize) -> Summary {
    let next = AtomicU64::new(0);
    let summary = Mutex::new(Summary::default());
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| loop {
                let nth = next.fetch_add(1, Ordering::Relaxed);
                if nth >= count {
                    return;
                }
                let seed = first_seed + nth;
                let outcome = Simulation::new(seeded_config(seed, None)).run();
                let run_twice = nth.is_multiple_of(100);
                let unequal =
                    run_twice && Simulation::new(seeded_config(seed, None)).run().hash != outcome.hash;
                let mut summary = summary.lock().expect("no thread panics while it holds the lock");
                summary.unequal_traces += u64::from(unequal);
                summary.add(seed, &outcome);
            });
        }
    });
    let mut summary = summary.into_inner().expect("no thread panics while it holds the lock");
    summary.violations.sort();
    summary
}

/// The first of `max_seeds` seeds that exposes a planted fault, with the first violation.
pub fn find_planted(
    planted: PlantedFault, first_seed: u64, max_seeds: u64, threads: usize,
) -> Option<(u64, String)> {
    let next = AtomicU64::new(0);
    let found: Mutex<Option<(u64, String)>> = Mutex::new(None);
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| loop {
                let nth = next.fetch_add(1, Ordering::Relaxed);
                if nth >= max_seeds {
                    return;
                }
                let seed = first_seed + nth;
                let found_earlier =
                    found.lock().expect("not poisoned").as_ref().is_some_and(|(s, _)| *s < seed);
                if found_earlier {
                    return;
                }
                let config = config_exposing(seed, planted);
                let outcome = Simulation::new(config.clone()).run();
                // A violation that also occurs without the planted fault doesn't expose it.
                let passes_without_fault = || {
                    let unplanted = SimulationConfig { planted: None, ..config.clone() };
                    Simulation::new(unplanted).run().broken.is_empty()
                };
                if let Some(violation) = outcome.broken.first().filter(|_| passes_without_fault()) {
                    let mut found = found.lock().expect("not poisoned");
                    if found.as_ref().is_none_or(|(s, _)| *s > seed) {
                        *found = Some((seed, format!("{violation:?}")));
                    }
                }
            });
        }
    });
    found.into_inner().expect("not poisoned")
}
