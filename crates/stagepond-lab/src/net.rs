//! A network of datagrams: delay, loss, doubling, and cuts in one direction or both. It draws what happens to
//! each datagram from the world's chance; it must never look into one.

use std::collections::BTreeSet;

use stagepond_leadership::ids::{Seat, Tenths};

#[derive(Clone, Debug)]
pub struct Net {
    pub delay: (Tenths, Tenths),
    /// Shares of the datagrams that are lost, doubled, and late by up to `late_by`.
    pub loss: f64,
    pub double: f64,
    pub late: f64,
    pub late_by: Tenths,
    /// Links on which nothing passes, from one seat to another; counted, as cuts may overlap.
    cut: Vec<(Seat, Seat)>,
    pub sent: u64,
    pub bytes: u64,
}

impl Net {
    pub fn new(delay: (Tenths, Tenths)) -> Net {
        let (loss, double, late) = (0.0, 0.0, 0.0);
        Net { delay, loss, double, late, late_by: Tenths(0), cut: Vec::new(), sent: 0, bytes: 0 }
    }

    pub fn cut(&mut self, from: Seat, to: Seat) {
        self.cut.push((from, to));
    }

    pub fn heal(&mut self, from: Seat, to: Seat) {
        if let Some(at) = self.cut.iter().position(|link| *link == (from, to)) {
            self.cut.swap_remove(at);
        }
    }

    pub fn heal_all(&mut self) {
        self.cut.clear();
        (self.loss, self.double, self.late) = (0.0, 0.0, 0.0);
    }

    pub fn stands(&self, from: Seat, to: Seat) -> bool {
        !self.cut.contains(&(from, to))
    }

    /// After how long each copy of a datagram arrives.
    pub fn carry(&mut self, rng: &mut fastrand::Rng, from: Seat, to: Seat, len: usize) -> Vec<Tenths> {
        self.sent += 1;
        self.bytes += len as u64;
        let copies = 1 + usize::from(rng.f64() < self.double);
        let mut arrive = Vec::with_capacity(copies);
        for _ in 0..copies {
            let mut after = rng.i64(self.delay.0 .0..=self.delay.1 .0);
            if rng.f64() < self.late {
                after += rng.i64(0..=self.late_by.0);
            }
            // Drawn in any case: a cut must not change what happens to other datagrams.
            if rng.f64() >= self.loss && self.stands(from, to) {
                arrive.push(Tenths(after));
            }
        }
        arrive
    }
}

/// Both directions between every seat of one side and every seat of the other.
pub fn between(side: &BTreeSet<Seat>, seats: u16) -> Vec<(Seat, Seat)> {
    let others: Vec<Seat> = (0..seats).map(Seat).filter(|s| !side.contains(s)).collect();
    side.iter().flat_map(|a| others.iter().flat_map(move |b| [(*a, *b), (*b, *a)])).collect()
}
