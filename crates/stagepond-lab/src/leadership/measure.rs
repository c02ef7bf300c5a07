//! Leadership in figures, on the virtual clock: how long nobody leads, what detection takes and costs. It
//! owns the worlds that are measured; figures of real time are told apart from virtual ones.

use std::collections::BTreeSet;
use std::time::Instant;

use stagepond_leadership::ids::{Seat, Tenths};
use stagepond_leadership::settings::Settings;

use super::world::{Plan, World};
use crate::faults::{Fault, ScheduledFault};

#[derive(Clone, Copy, Debug)]
pub enum Trouble {
    Crash,
    Pause,
    Cut,
    HandOver,
}

/// Ascending; in tenths of a ms.
fn share(sorted: &[i64], share: f64) -> i64 {
    let at = ((sorted.len() as f64 - 1.0) * share).round() as usize;
    sorted.get(at).copied().unwrap_or(0)
}

#[derive(Clone, Debug)]
pub struct Gap {
    pub runs: usize,
    pub median: Tenths,
    pub most: Tenths,
    /// What lease and round trips set: the hold, and three ways there and back (asking, voting, opening).
    pub bound: Tenths,
}

impl Gap {
    pub fn ratio(&self) -> f64 {
        self.median.0 as f64 / self.bound.0 as f64
    }
}

/// How long nobody has leave to act after the leader is struck.
pub fn without_leader(trouble: Trouble, seats: u16, runs: u64) -> Gap {
    let bounds = Settings { prefer_lowest_seat: false, clock_drift: 0.001, ..Settings::default_for(seats) };
    let delay = (Tenths(2), Tenths::ms(5));
    let mut gaps = Vec::new();
    for seed in 0..runs {
        let mut rng = fastrand::Rng::with_seed(seed ^ 0x6a9);
        let at = Tenths::ms(8000 + rng.i64(0..1000));
        let plan = Plan {
            busy_until: Tenths::ms(60_000),
            hard_clocks: false,
            delay,
            commands_every: Tenths::ms(1000),
            ..Plan::quiet(seed, bounds.clone())
        };
        let mut world = World::new(plan);
        world.run_until(at);
        let Some((leader, _)) = world.holders().first().copied() else { continue };
        let lasts = Tenths::ms(20_000);
        let fault = match trouble {
            Trouble::Crash => Fault::Crash { seat: leader, down: lasts, keeps_memory: false },
            Trouble::Pause => Fault::Pause { seat: leader, lasts },
            Trouble::Cut => Fault::Zone { seats: vec![leader], lasts },
            Trouble::HandOver => Fault::Transfer { to: Seat(u16::from(leader == Seat(0))) },
        };
        world.strike(ScheduledFault { at, fault });
        // From the last moment of one mandate to the first of the next, a tenth of a ms at a time is too fine.
        let (mut gone, mut now) = (None, at);
        while now < at + Tenths::ms(15_000) {
            now = now + Tenths(10);
            world.run_until(now);
            let holders = world.holders();
            let old = holders.iter().any(|(seat, _)| *seat == leader);
            let struck = matches!(trouble, Trouble::Crash | Trouble::Pause);
            if gone.is_none() && (struck || !old) {
                gone = Some(if struck { at } else { now });
            }
            if let (Some(from), true) = (gone, holders.iter().any(|(seat, _)| *seat != leader)) {
                gaps.push((now - from).0);
                break;
            }
        }
    }
    gaps.sort_unstable();
    let bound = bounds.hold_time + Tenths(3 * 2 * delay.1 .0);
    let (median, most) = (Tenths(share(&gaps, 0.5)), Tenths(share(&gaps, 1.0)));
    Gap { runs: gaps.len(), median, most, bound }
}

#[derive(Clone, Debug)]
pub struct Detection {
    pub members: u16,
    pub loss: f64,
    /// From the crash until the first and until the last living member takes it for dead.
    pub first: Tenths,
    pub last: Tenths,
    /// Living members that somebody took for dead, and suspected, in the whole run.
    pub false_deaths: usize,
    pub suspicions: usize,
    pub seconds: i64,
    pub bytes_a_second: f64,
}

/// One member crashes for good among many; nobody votes for anything else meanwhile.
pub fn detection(members: u16, loss: f64, seed: u64) -> Detection {
    let bounds = Settings::default_for(members);
    let plan = Plan {
        busy_until: Tenths::ms(600_000),
        hard_clocks: false,
        delay: (Tenths(2), Tenths::ms(5)),
        commands_every: Tenths::ms(10_000),
        ..Plan::quiet(seed, bounds)
    };
    let mut world = World::new(plan);
    // Until all know of all.
    let (warm, at, ends) = (Tenths::ms(60_000), Tenths::ms(80_000), Tenths::ms(140_000));
    world.run_until(warm);
    world.net().loss_rate = loss;
    let (bytes, crashed) = (world.net().bytes_sent, Seat(members - 1));
    world.run_until(at);
    let bytes = world.net().bytes_sent - bytes;
    world.strike(ScheduledFault {
        at,
        fault: Fault::Crash { seat: crashed, down: Tenths::ms(600_000), keeps_memory: false },
    });
    world.run_until(ends);
    let of_it: Vec<Tenths> =
        world.dead.iter().filter(|(t, _, of)| *of == crashed && *t >= at).map(|(t, ..)| *t).collect();
    let first = of_it.iter().min().map_or(Tenths::NEVER, |t| *t - at);
    let knowing: BTreeSet<Seat> =
        world.dead.iter().filter(|(t, _, of)| *of == crashed && *t >= at).map(|(_, who, _)| *who).collect();
    let all = knowing.len() + 1 >= usize::from(members);
    let last = if all { of_it.iter().max().map_or(Tenths::NEVER, |t| *t - at) } else { Tenths::NEVER };
    let wrongly: BTreeSet<Seat> =
        world.dead.iter().filter(|(t, _, of)| *of != crashed && *t >= warm).map(|(.., of)| *of).collect();
    let suspicions = world.suspected.iter().filter(|(t, of)| *of != crashed && *t >= warm).count();
    let bytes_a_second = bytes as f64 / f64::from(members) / ((at - warm).0 as f64 / 10_000.0);
    let seconds = (ends - warm).0 / 10_000;
    Detection { members, loss, first, last, false_deaths: wrongly.len(), suspicions, seconds, bytes_a_second }
}

/// Decrees that a group of three brings into force: in a second of virtual time with one command each half
/// millisecond, and in a second of this machine's.
pub fn decrees(seconds: i64) -> (f64, f64) {
    let plan = Plan {
        busy_until: Tenths::ms(1000 * (seconds + 5)),
        hard_clocks: false,
        delay: (Tenths(2), Tenths(5)),
        commands_every: Tenths(5),
        ..Plan::quiet(1, Settings::default_for(3))
    };
    let mut world = World::new(plan);
    world.run_until(Tenths::ms(5000));
    assert_eq!(world.account.broken, [], "a quiet group breaks no rule");
    let (from, begun) = (world.account.decrees, Instant::now());
    world.run_until(Tenths::ms(1000 * (seconds + 5)));
    let done = (world.account.decrees - from) as f64;
    (done / seconds as f64, done / begun.elapsed().as_secs_f64())
}
