//! A simulated datagram network with delay, packet loss, duplication, and links cut in one or both
//! directions. All randomness comes from the generator that the caller passes in; the contents of
//! datagrams are not read.

use std::collections::BTreeSet;

use stagepond_leadership::ids::{Seat, Tenths};

/// The state of the network between all seats, and counts of what was sent over it.
#[derive(Clone, Debug)]
pub struct Network {
    /// Shortest and longest regular delay of a datagram; each delay is drawn between them.
    pub delay: (Tenths, Tenths),
    /// Share of the copies that are lost, 0 to 1.
    pub loss_rate: f64,
    /// Share of the datagrams that are duplicated, 0 to 1.
    pub duplicate_rate: f64,
    /// Share of the copies delayed by up to `max_extra_delay` more, 0 to 1.
    pub late_rate: f64,
    /// Largest additional delay of a late copy.
    pub max_extra_delay: Tenths,
    /// Cut links as (sender, receiver). A link is listed once per cut, because cuts may overlap.
    cut: Vec<(Seat, Seat)>,
    /// Datagrams sent, lost ones included and duplicates excluded.
    pub datagrams_sent: u64,
    /// Bytes in `datagrams_sent`.
    pub bytes_sent: u64,
}

impl Network {
    /// Creates a network without faults, with delays drawn from the range `delay`.
    pub fn new(delay: (Tenths, Tenths)) -> Network {
        Network {
            delay,
            loss_rate: 0.0,
            duplicate_rate: 0.0,
            late_rate: 0.0,
            max_extra_delay: Tenths(0),
            cut: Vec::new(),
            datagrams_sent: 0,
            bytes_sent: 0,
        }
    }

    /// Cuts the link in this direction; a link can be cut more than once.
    pub fn cut(&mut self, from: Seat, to: Seat) {
        self.cut.push((from, to));
    }

    /// Undoes one cut of the link in this direction, if there is any.
    pub fn heal(&mut self, from: Seat, to: Seat) {
        if let Some(index) = self.cut.iter().position(|link| *link == (from, to)) {
            self.cut.swap_remove(index);
        }
    }

    /// Undoes every cut, and ends loss, duplication and lateness.
    pub fn heal_all(&mut self) {
        self.cut.clear();
        (self.loss_rate, self.duplicate_rate, self.late_rate) = (0.0, 0.0, 0.0);
    }

    /// Returns whether the link in this direction is not cut.
    pub fn is_connected(&self, from: Seat, to: Seat) -> bool {
        !self.cut.contains(&(from, to))
    }

    /// Sends a datagram of `len` bytes and returns the delay of each copy that arrives; an empty list means
    /// that it is lost.
    pub fn transmit(&mut self, rng: &mut fastrand::Rng, from: Seat, to: Seat, len: usize) -> Vec<Tenths> {
        self.datagrams_sent += 1;
        self.bytes_sent += len as u64;
        let copies = 1 + usize::from(rng.f64() < self.duplicate_rate);
        let mut delays = Vec::with_capacity(copies);
        for _ in 0..copies {
            let mut delay = rng.i64(self.delay.0 .0..=self.delay.1 .0);
            if rng.f64() < self.late_rate {
                delay += rng.i64(0..=self.max_extra_delay.0);
            }
            // The loss is drawn on cut links too, so that a cut does not change the draws for later
            // datagrams.
            if rng.f64() >= self.loss_rate && self.is_connected(from, to) {
                delays.push(Tenths(delay));
            }
        }
        delays
    }
}

/// Returns the links, in both directions, between each seat of `side` and each of the other seats below
/// `seats`.
pub fn links_between(side: &BTreeSet<Seat>, seats: u16) -> Vec<(Seat, Seat)> {
    let others: Vec<Seat> = (0..seats).map(Seat).filter(|s| !side.contains(s)).collect();
    side.iter().flat_map(|a| others.iter().flat_map(move |b| [(*a, *b), (*b, *a)])).collect()
}
