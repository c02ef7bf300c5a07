//! Faults as a typed list, drawn from a seed. A script is a list of them with their times; the same script
//! and seed give the same run, whether it was drawn or written down.

use stagepond_leadership::ids::{Seat, Tenths};

#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    Crash {
        seat: Seat,
        down: Tenths,
        keeps_memory: bool,
    },
    /// All of these at once.
    CrashMany {
        seats: Vec<Seat>,
        down: Tenths,
        keeps_memory: bool,
    },
    Pause {
        seat: Seat,
        lasts: Tenths,
    },
    Zone {
        seats: Vec<Seat>,
        lasts: Tenths,
    },
    OneWay {
        from: Seat,
        to: Seat,
        lasts: Tenths,
    },
    /// Hears nothing, or is heard by nobody.
    Deaf {
        seat: Seat,
        lasts: Tenths,
    },
    Mute {
        seat: Seat,
        lasts: Tenths,
    },
    Flap {
        a: Seat,
        b: Seat,
        every: Tenths,
        lasts: Tenths,
    },
    Step {
        seat: Seat,
        by: Tenths,
    },
    Loss {
        share: f64,
        lasts: Tenths,
    },
    Late {
        share: f64,
        by: Tenths,
        lasts: Tenths,
    },
    Double {
        share: f64,
        lasts: Tenths,
    },
    Transfer {
        to: Seat,
    },
    NewKey {
        lasts: Tenths,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub struct Scripted {
    pub at: Tenths,
    pub fault: Fault,
}

/// Up to four kinds at a time, each up to three times, between `from` and `until`.
pub fn draw(rng: &mut fastrand::Rng, seats: u16, from: Tenths, until: Tenths) -> Vec<Scripted> {
    let kinds: Vec<u32> = (0..rng.u32(1..=4)).map(|_| rng.u32(0..14)).collect();
    let mut script = Vec::new();
    for kind in kinds {
        for _ in 0..rng.u32(1..=3) {
            let at = Tenths(rng.i64(from.0..until.0));
            script.push(Scripted { at, fault: one(rng, kind, seats) });
        }
    }
    script.sort_by_key(|s| s.at);
    script
}

fn one(rng: &mut fastrand::Rng, kind: u32, seats: u16) -> Fault {
    let mut order: Vec<Seat> = (0..seats).map(Seat).collect();
    rng.shuffle(&mut order);
    let seat = order[0];
    let lasts = Tenths::ms(rng.i64(50..6000));
    let some = |rng: &mut fastrand::Rng, most: usize| order[..rng.usize(1..=most.max(1))].to_vec();
    match kind {
        0 | 1 => Fault::Crash { seat, down: Tenths::ms(rng.i64(5..4000)), keeps_memory: rng.bool() },
        2 => {
            let seats = some(rng, usize::from(seats));
            Fault::CrashMany { seats, down: Tenths::ms(rng.i64(5..2000)), keeps_memory: rng.bool() }
        }
        3 | 4 => Fault::Pause { seat, lasts },
        5 => Fault::Zone { seats: some(rng, usize::from(seats) / 2), lasts },
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
