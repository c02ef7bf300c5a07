//! Seeds by the thousand, and planted faults that must be found. It owns which worlds are run; what is owed
//! stands in the account.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

use stagepond_leadership::ids::{Seat, Tenths};
use stagepond_leadership::planted::Fault as Plant;
use stagepond_leadership::settings::Settings;

use super::world::{Outcome, Plan, World};
use crate::faults::{self, Fault, ScheduledFault};

/// The bounds that seeds run under: short enough for much to happen, clocks far apart.
pub fn bounds(seats: u16, durable: bool) -> Settings {
    let bounds = Settings {
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
    bounds.validate().expect("sound")
}

/// The world of a seed: three or five instances, with a disk or without, and a drawn script.
pub fn plan(seed: u64, planted: Option<Plant>) -> Plan {
    let mut rng = fastrand::Rng::with_seed(seed);
    let seats = [3, 5, 5, 7][rng.usize(0..4)];
    let mut bounds = bounds(seats, rng.bool());
    bounds.pool = (0..seats).map(Seat).collect();
    let (busy_until, ends) = (Tenths::ms(20_000), Tenths::ms(42_000));
    let script = faults::random_schedule(&mut rng, seats, Tenths::ms(2000), busy_until);
    Plan { seed, script, busy_until, ends, planted, ..Plan::quiet(seed, bounds) }
}

/// Worlds in which a planted fault has its chance: each tells what it needs.
pub fn provoke(seed: u64, plant: Plant) -> Plan {
    let mut plan = plan(seed, Some(plant));
    let mut rng = fastrand::Rng::with_seed(seed ^ 0xf00d);
    let mut at = || Tenths::ms(2500 + rng.i64(0..16_000));
    let durable = matches!(plant, Plant::TermForgotten | Plant::VoteForgotten);
    plan.bounds.durable |= durable;
    let seats = plan.bounds.seats;
    let mut chance = fastrand::Rng::with_seed(seed ^ 0xbeef);
    let mut seat = || Seat(chance.u16(0..seats.min(3)));
    let long = Tenths::ms(3000);
    let many = if plant == Plant::VoteForgotten { 40 } else { 4 };
    for nth in 0..many {
        let fault = match plant {
            Plant::VoteForgotten if nth % 4 == 0 => {
                Fault::Late { share: 0.5, by: Tenths::ms(400), lasts: long }
            }
            Plant::VoteForgotten if nth % 4 == 1 => Fault::Mute { seat: seat(), lasts: Tenths::ms(1300) },
            Plant::TermForgotten | Plant::VoteForgotten | Plant::CommitAlone => {
                Fault::Crash { seat: seat(), down: Tenths::ms(30), keeps_memory: true }
            }
            Plant::HoldForgottenAfterPause => Fault::Step { seat: seat(), by: Tenths::ms(1500) },
            Plant::NoPreVote => Fault::Deaf { seat: seat(), lasts: Tenths::ms(6000) },
            Plant::TransferKeepsMandate => Fault::Transfer { to: seat() },
            Plant::ActAfterExpiry => Fault::Pause { seat: seat(), lasts: long },
            Plant::NoJointQuorum => Fault::Zone { seats: vec![seat()], lasts: Tenths::ms(6000) },
            _ => Fault::Mute { seat: seat(), lasts: long },
        };
        plan.script.push(ScheduledFault { at: at(), fault });
    }
    plan.script.sort_by_key(|s| s.at);
    plan
}

#[derive(Clone, Debug, Default)]
pub struct Sum {
    pub runs: u64,
    pub steps: u64,
    pub leaders: u64,
    pub acts: u64,
    pub refused_acts: u64,
    pub decrees: u64,
    pub foundings: u64,
    pub lost_with_memory: u64,
    pub unequal_traces: u64,
    /// Seeds that broke a rule, with the first rule.
    pub broken: Vec<(u64, String)>,
}

impl Sum {
    fn add(&mut self, seed: u64, outcome: &Outcome) {
        self.runs += 1;
        self.steps += outcome.steps;
        self.leaders += outcome.leaders;
        self.acts += outcome.acts;
        self.refused_acts += outcome.refused_acts;
        self.decrees += outcome.decrees;
        self.foundings += outcome.foundings;
        self.lost_with_memory += outcome.lost_with_memory;
        if let Some(broken) = outcome.broken.first() {
            self.broken.push((seed, format!("{broken:?}")));
        }
    }
}

/// Runs seeds on all cores. Every hundredth runs twice, and both traces must be equal.
pub fn seeds(from: u64, count: u64, threads: usize) -> Sum {
    let next = AtomicU64::new(0);
    let sum = Mutex::new(Sum::default());
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| loop {
                let nth = next.fetch_add(1, Ordering::Relaxed);
                if nth >= count {
                    return;
                }
                let seed = from + nth;
                let outcome = World::new(plan(seed, None)).run();
                let twice = nth.is_multiple_of(100);
                let unequal = twice && World::new(plan(seed, None)).run().hash != outcome.hash;
                let mut sum = sum.lock().expect("no thread panics while it holds this");
                sum.unequal_traces += u64::from(unequal);
                sum.add(seed, &outcome);
            });
        }
    });
    let mut sum = sum.into_inner().expect("no thread panics while it holds this");
    sum.broken.sort();
    sum
}

/// The first seed that shows a planted fault, and what the account said.
pub fn find(plant: Plant, from: u64, most: u64, threads: usize) -> Option<(u64, String)> {
    let next = AtomicU64::new(0);
    let found: Mutex<Option<(u64, String)>> = Mutex::new(None);
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| loop {
                let nth = next.fetch_add(1, Ordering::Relaxed);
                let earlier =
                    found.lock().expect("not poisoned").as_ref().is_some_and(|(s, _)| *s < from + nth);
                if nth >= most || earlier {
                    return;
                }
                let outcome = World::new(provoke(from + nth, plant)).run();
                // What the same world shows without the fault is no find.
                let sound = || {
                    World::new(Plan { planted: None, ..provoke(from + nth, plant) }).run().broken.is_empty()
                };
                if let Some(broken) = outcome.broken.first().filter(|_| sound()) {
                    let mut found = found.lock().expect("not poisoned");
                    if found.as_ref().is_none_or(|(s, _)| *s > from + nth) {
                        *found = Some((from + nth, format!("{broken:?}")));
                    }
                }
            });
        }
    });
    found.into_inner().expect("not poisoned")
}
