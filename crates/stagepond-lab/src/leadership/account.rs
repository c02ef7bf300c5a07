//! What leadership owes, checked from outside: it is told who may act when, what was acted on, what is in
//! force where, and shares no code with what decides that. It must never excuse what a rule does not.

use std::collections::BTreeMap;

use stagepond_leadership::ids::{Seat, Tenths};

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Broken {
    /// Two instances had leave to act at one moment of true time.
    TwoLeaders {
        at: Tenths,
        one: (Seat, u64),
        other: (Seat, u64),
    },
    /// Acted under a term after somebody had acted, or had leave, under a later one.
    ActedLate {
        at: Tenths,
        seat: Seat,
        term: u64,
        later: u64,
    },
    /// Acted without leave.
    NoMandate {
        at: Tenths,
        seat: Seat,
    },
    /// Two decrees in force under one number.
    TwoDecrees {
        at: Tenths,
        seat: Seat,
        number: u64,
    },
    /// A leader began without one that had been in force.
    LostDecree {
        at: Tenths,
        seat: Seat,
        number: u64,
        has: u64,
    },
    /// All was quiet for long, and yet nobody leads, or they don't agree.
    NoLeader {
        at: Tenths,
    },
    Unequal {
        at: Tenths,
        seat: Seat,
        has: u64,
        most: u64,
    },
    /// More terms were begun than leaders and troubles explain.
    TermsRanAway {
        terms: u64,
        allowed: u64,
    },
    /// Woken far more often than anything can be due.
    Spins {
        steps: u64,
        seconds: i64,
    },
    /// A datagram longer than the network carries.
    TooLong {
        at: Tenths,
        seat: Seat,
        bytes: usize,
    },
}

#[derive(Default)]
pub struct Account {
    /// Who has leave at this moment: seat and term.
    has_leave: Option<(Seat, u64)>,
    latest: u64,
    in_force: BTreeMap<u64, u64>,
    pub leaders: u64,
    pub acts: u64,
    pub refused_acts: u64,
    pub decrees: u64,
    pub foundings: u64,
    /// In force once, and lost with every memory that held it.
    pub lost_with_memory: u64,
    pub leaderless: i64,
    leaderless_from: Option<Tenths>,
    pub longest_leaderless: i64,
    pub broken: Vec<Broken>,
}

impl Account {
    /// After each step: everybody who could get leave to act at this very moment.
    pub fn leave(&mut self, at: Tenths, holders: &[(Seat, u64)]) {
        if let [one, other, ..] = holders {
            self.broken.push(Broken::TwoLeaders { at, one: *one, other: *other });
        }
        let first = holders.first().copied();
        if let Some((seat, term)) = first {
            if self.has_leave != first && term < self.latest {
                self.broken.push(Broken::ActedLate { at, seat, term, later: self.latest });
            }
            if term > self.latest {
                self.leaders += 1;
                self.latest = term;
            }
        }
        match (self.leaderless_from, first.is_some()) {
            (None, false) => self.leaderless_from = Some(at),
            (Some(from), true) => {
                self.leaderless += (at - from).0;
                self.longest_leaderless = self.longest_leaderless.max((at - from).0);
                self.leaderless_from = None;
            }
            _ => {}
        }
        self.has_leave = first;
    }

    /// Something was done under a mandate, or the last look at the clock forbade it.
    pub fn acted(&mut self, at: Tenths, seat: Seat, term: u64, done: bool) {
        if !done {
            self.refused_acts += 1;
            return;
        }
        self.acts += 1;
        if term < self.latest {
            self.broken.push(Broken::ActedLate { at, seat, term, later: self.latest });
        }
        match self.has_leave {
            Some((holder, _)) if holder != seat => self.broken.push(Broken::NoMandate { at, seat }),
            _ => {}
        }
    }

    pub fn in_force(&mut self, at: Tenths, seat: Seat, number: u64, what: u64) {
        let known = *self.in_force.entry(number).or_insert(what);
        if known != what {
            self.broken.push(Broken::TwoDecrees { at, seat, number });
        }
        self.decrees = self.decrees.max(number);
    }

    /// A leader's record as it begins to lead.
    pub fn begins(&mut self, at: Tenths, seat: Seat, has: u64) {
        if let Some((number, _)) = self.in_force.last_key_value().filter(|(n, _)| **n > has) {
            self.broken.push(Broken::LostDecree { at, seat, number: *number, has });
        }
    }

    /// An era begins. What no living memory of the pool holds is gone, and nobody could have kept it.
    pub fn founded(&mut self, held: u64) {
        let gone = self.in_force.split_off(&(held + 1));
        self.lost_with_memory += gone.len() as u64;
        self.foundings += 1;
    }
}
