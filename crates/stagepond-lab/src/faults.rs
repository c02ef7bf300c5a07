//! Fault schedules: typed faults with their times, written by hand or drawn from a seed. Equal schedules and
//! seeds give equal simulations, whichever way the schedule was made.

use stagepond_leadership::ids::{Seat, Tenths};

/// A fault to inject into a simulation. `lasts` is how long it lasts, `down` the time until a crashed
/// instance starts again, and `share` a part of all datagrams from 0 to 1. `replay-leadership` prints faults
/// with `{:?}`, so the names of the variants and fields are part of its output.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Ends an instance and starts it again after `down`.
    Crash {
        seat: Seat,
        down: Tenths,
        /// Whether the persisted state survives the crash. It never does where instances are not durable.
        keeps_memory: bool,
    },
    /// Crashes several instances at the same moment.
    CrashMany { seats: Vec<Seat>, down: Tenths, keeps_memory: bool },
    /// Stops an instance, which resumes after `lasts` with its state unchanged.
    Pause { seat: Seat, lasts: Tenths },
    /// Cuts these seats off from all others, in both directions.
    Zone { seats: Vec<Seat>, lasts: Tenths },
    /// Cuts one link in one direction.
    OneWay { from: Seat, to: Seat, lasts: Tenths },
    /// Cuts every link towards a seat: it sends but receives nothing.
    Deaf { seat: Seat, lasts: Tenths },
    /// Cuts every link from a seat: it receives but nobody receives from it.
    Mute { seat: Seat, lasts: Tenths },
    /// Cuts and heals a link in both directions in turn, each phase for `every`.
    Flap { a: Seat, b: Seat, every: Tenths, lasts: Tenths },
    /// Steps the clock of a seat by `by`, forwards or backwards.
    Step { seat: Seat, by: Tenths },
    /// Loses this share of all datagrams.
    Loss { share: f64, lasts: Tenths },
    /// Delays this share of all datagrams by up to `by` more.
    Late { share: f64, by: Tenths, lasts: Tenths },
    /// Duplicates this share of all datagrams.
    Double { share: f64, lasts: Tenths },
    /// Asks the leader to transfer leadership to a seat.
    Transfer { to: Seat },
    /// Rotates the key that seals datagrams: all instances accept the new key at once, some seal with it at
    /// once and the others after `lasts`.
    NewKey { lasts: Tenths },
}

/// A fault and the true time, not that of any local clock, at which it begins.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledFault {
    /// When the fault begins.
    pub at: Tenths,
    /// The fault to inject.
    pub fault: Fault,
}

/// Draws a schedule of one to four kinds of fault, each one to three times, beginning between `from` and
/// `until` and sorted by time.
pub fn random_schedule(
    rng: &mut fastrand::Rng, seats: u16, from: Tenths, until: Tenths,
) -> Vec<ScheduledFault> {
    let kinds: Vec<u32> = (0..rng.u32(1..=4)).map(|_| rng.u32(0..14)).collect();
    let mut schedule = Vec::new();
    for kind in kinds {
        for _ in 0..rng.u32(1..=3) {
            let at = Tenths(rng.i64(from.0..until.0));
            schedule.push(ScheduledFault { at, fault: random_fault(rng, kind, seats) });
        }
    }
    schedule.sort_by_key(|scheduled| scheduled.at);
    schedule
}

/// Draws the details of a fault of this kind (0 to 13). The order of the draws decides what a seed means.
fn random_fault(rng: &mut fastrand::Rng, kind: u32, seats: u16) -> Fault {
    let mut order: Vec<Seat> = (0..seats).map(Seat).collect();
    rng.shuffle(&mut order);
    let seat = order[0];
    let lasts = Tenths::ms(rng.i64(50..6000));
    let random_seats = |rng: &mut fastrand::Rng, max: usize| order[..rng.usize(1..=max.max(1))].to_vec();
    match kind {
        0 | 1 => Fault::Crash { seat, down: Tenths::ms(rng.i64(5..4000)), keeps_memory: rng.bool() },
        2 => {
            let seats = random_seats(rng, usize::from(seats));
            Fault::CrashMany { seats, down: Tenths::ms(rng.i64(5..2000)), keeps_memory: rng.bool() }
        }
        3 | 4 => Fault::Pause { seat, lasts },
        5 => Fault::Zone { seats: random_seats(rng, usize::from(seats) / 2), lasts },
        6 => Fault::OneWay { from: seat, to: order[1], lasts },
        7 => {
            if rng.bool() {
                Fault::Deaf { seat, lasts }
            } else {
                Fault::Mute { seat, lasts }
            }
        }
        8 => {
            let every = Tenths::ms(rng.i64(100..2500));
            Fault::Flap { a: seat, b: order[1], every, lasts: Tenths(lasts.0 * 2) }
        }
        9 => Fault::Step { seat, by: Tenths::ms(rng.i64(-4000..4000)) },
        10 => Fault::Loss { share: rng.f64() * 0.5, lasts },
        11 => Fault::Late { share: rng.f64() * 0.3, by: Tenths::ms(rng.i64(100..5000)), lasts },
        12 => Fault::Double { share: rng.f64(), lasts },
        _ => {
            if rng.u32(0..4) == 0 {
                Fault::NewKey { lasts: Tenths::ms(4000) }
            } else {
                Fault::Transfer { to: seat }
            }
        }
    }
}
