//! Invariants of leadership, checked on what the simulation observes: who holds a lease, what was done under
//! one, and what was committed where.
//!
//! The checker shares no code with the implementation under test, so a fault there can't hide itself here.

use std::collections::{BTreeMap, BTreeSet};

use stagepond_leadership::ids::{Seat, Tenths};

use super::durability::{CommandDigest, CommittedCommands};

/// An invariant that a run violated; `at` is the true time at which it was seen. Reports print the variants
/// and their fields by name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// Two instances held a valid lease at the same true time. Each is given by seat and term.
    TwoLeaders { at: Tenths, one: (Seat, u64), other: (Seat, u64) },
    /// An instance acted, or obtained a lease, under `term` although a lease of the term `later` had already
    /// been held.
    ActedLate { at: Tenths, seat: Seat, term: u64, later: u64 },
    /// An instance acted while another one held the lease.
    NoMandate { at: Tenths, seat: Seat },
    /// Two different entries were committed under one entry number, with or without a bootstrap in between.
    TwoDecrees { at: Tenths, seat: Seat, number: u64 },
    /// A new leader had committed only up to `has`, although the entry `number` had been committed before.
    LostDecree { at: Tenths, seat: Seat, number: u64, has: u64 },
    /// A new leader lacks the latest command on a subject, which was committed and is held by a memory.
    LostCommand { at: Tenths, seat: Seat, subject: String },
    /// After a time without faults there isn't exactly one leader that holds a lease.
    NoLeader { at: Tenths },
    /// After a time without faults an instance has committed only up to `has`, while another is at `most`.
    Unequal { at: Tenths, seat: Seat, has: u64, most: u64 },
    /// More terms were started than the number of leaders and faults explains.
    TermsRanAway { terms: u64, allowed: u64 },
    /// Far more events were processed than timers, commands and messages explain.
    Spins { steps: u64, seconds: i64 },
    /// A datagram was longer than `MAX_DATAGRAM_BYTES`.
    TooLong { at: Tenths, seat: Seat, bytes: usize },
}

/// Collects violations and counters over one run.
#[derive(Default)]
pub struct InvariantChecker {
    /// The current lease holder: seat and term.
    lease_holder: Option<(Seat, u64)>,
    /// The highest term under which a lease was held.
    latest_term: u64,
    /// A digest of each committed entry that a memory may still hold, by entry number.
    committed: BTreeMap<u64, u64>,
    /// A digest of each entry that was ever committed, by entry number.
    ever_committed: BTreeMap<u64, u64>,
    commands: CommittedCommands,
    /// Terms in which an instance obtained a lease.
    pub leaders: u64,
    /// Actions carried out under a lease.
    pub actions: u64,
    /// Actions that the last check of the lease refused.
    pub refused_actions: u64,
    /// Entry numbers under which an entry was committed.
    pub committed_entries: u64,
    /// Times that the group was bootstrapped.
    pub bootstraps: u64,
    /// Committed entries with numbers above all that a running instance of the pool held at a bootstrap.
    pub entries_lost_with_memory: u64,
    /// Total time in which nobody held a lease, in tenths of a ms.
    pub leaderless_time: i64,
    leaderless_since: Option<Tenths>,
    /// The longest uninterrupted time in which nobody held a lease, in tenths of a ms.
    pub longest_leaderless_time: i64,
    /// Violations in the order in which they were seen.
    pub violations: Vec<Violation>,
}

impl InvariantChecker {
    /// Records the seat and term of every instance whose lease is valid at this moment. Called after each
    /// event.
    pub fn observe_lease_holders(&mut self, at: Tenths, holders: &[(Seat, u64)]) {
        if let [one, other, ..] = holders {
            self.violations.push(Violation::TwoLeaders { at, one: *one, other: *other });
        }
        let holder = holders.first().copied();
        if let Some((seat, term)) = holder {
            if self.lease_holder != holder && term < self.latest_term {
                self.violations.push(Violation::ActedLate { at, seat, term, later: self.latest_term });
            }
            if term > self.latest_term {
                self.leaders += 1;
                self.latest_term = term;
            }
        }
        match (self.leaderless_since, holder.is_some()) {
            (None, false) => self.leaderless_since = Some(at),
            (Some(since), true) => {
                self.leaderless_time += (at - since).0;
                self.longest_leaderless_time = self.longest_leaderless_time.max((at - since).0);
                self.leaderless_since = None;
            }
            _ => {}
        }
        self.lease_holder = holder;
    }

    /// Records an action under a lease. `allowed` is whether the lease passed the check just before it.
    pub fn on_action(&mut self, at: Tenths, seat: Seat, term: u64, allowed: bool) {
        if !allowed {
            self.refused_actions += 1;
            return;
        }
        self.actions += 1;
        if term < self.latest_term {
            self.violations.push(Violation::ActedLate { at, seat, term, later: self.latest_term });
        }
        match self.lease_holder {
            Some((holder, _)) if holder != seat => self.violations.push(Violation::NoMandate { at, seat }),
            _ => {}
        }
    }

    /// Records an entry that a seat sees committed, as its number and a digest of its content.
    pub fn on_committed(&mut self, at: Tenths, seat: Seat, number: u64, digest: u64) {
        let known = *self.committed.entry(number).or_insert(digest);
        let first = *self.ever_committed.entry(number).or_insert(digest);
        if known != digest || first != digest {
            self.violations.push(Violation::TwoDecrees { at, seat, number });
        }
        self.committed_entries = self.ever_committed.len() as u64;
    }

    /// Records that a command on a subject was committed.
    pub fn on_command_committed(&mut self, number: u64, subject: String, command: CommandDigest) {
        self.commands.on_committed(number, subject, command);
    }

    /// Records the commands that a new leader holds as committed.
    pub fn on_leader_state(&mut self, at: Tenths, seat: Seat, held: &BTreeSet<CommandDigest>) {
        if let Some(subject) = self.commands.missing(held) {
            let subject = subject.to_string();
            self.violations.push(Violation::LostCommand { at, seat, subject });
        }
    }

    /// Records a new leader and the number up to which it has committed.
    pub fn on_leader_elected(&mut self, at: Tenths, seat: Seat, committed: u64) {
        if let Some((number, _)) = self.committed.last_key_value().filter(|(n, _)| **n > committed) {
            self.violations.push(Violation::LostDecree { at, seat, number: *number, has: committed });
        }
    }

    /// Records a bootstrap, which starts a new era, and the highest entry number that a running instance of
    /// the pool holds. Later entries are lost with the memory that held them, which is no violation: no instance
    /// could have kept them.
    pub fn on_bootstrap(&mut self, highest_held: u64) {
        let lost = self.committed.split_off(&(highest_held + 1));
        self.entries_lost_with_memory += lost.len() as u64;
        self.bootstraps += 1;
    }

    /// Records which commands a memory of the pool holds at a bootstrap.
    pub fn on_bootstrap_of_commands(&mut self, is_held: impl Fn(CommandDigest) -> bool) {
        self.commands.on_bootstrap(is_held);
    }
}
