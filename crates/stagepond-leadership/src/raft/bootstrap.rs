//! The bootstrap of a new era, for when no quorum of voters has its persistent state any more.

use std::collections::{BTreeMap, BTreeSet};

use super::{Event, RaftNode, Role};
use crate::ids::*;
use crate::log::{EraNumbering, Voters};
use crate::members::Members;
use crate::planted::Fault;
use crate::settings::MAX_POOL_SEATS;
use crate::wire::{BootstrapStatus, Message, ProtocolVersion};

/// A bootstrap attempt is abandoned after this many hold times ([`Settings::hold_time`]).
pub(super) const BOOTSTRAP_TIMEOUT_HOLDS: i64 = 2;
/// Distance between the eras of one seat. Each seat of the pool starts eras at its own offset, so no two
/// seats start the same one.
const ERA_STRIDE: u64 = MAX_POOL_SEATS as u64 + 1;
/// A life is a time of day in tenths of a ms.
const LIFE_UNITS_PER_MS: u64 = 10;
/// After this many hold times without a leader a bootstrap is tried even if a quorum of voters seems alive.
const LEADERLESS_HOLDS_BEFORE_BOOTSTRAP: i64 = 12;

/// A bootstrap that this instance has started.
#[derive(Clone, Debug, Hash)]
pub(super) struct Bootstrap {
    pub(super) era: Era,
    pub(super) answers: BTreeMap<Seat, BootstrapStatus>,
    /// The new configuration, once all have answered. Resent until the bootstrap ends, since datagrams can be
    /// lost.
    pub(super) proposal: Option<Message>,
    pub(super) until: Tenths,
    pub(super) resend_at: Tenths,
}

/// The promise to take part in no era before `era`, given to the process that starts that era.
#[derive(Clone, Copy, Debug, PartialEq, Hash)]
pub(super) struct BootstrapPromise {
    pub(super) era: Era,
    pub(super) initiator: Life,
}

/// The acknowledgement of an era, sent to its leader until the era begins.
#[derive(Clone, Copy, Debug, Hash)]
pub(super) struct BootstrapAck {
    pub(super) era: Era,
    pub(super) initiator: Life,
    pub(super) leader: Seat,
    pub(super) resend_at: Tenths,
}

/// The start of a process as an era: in ms.
fn era_of_start(life: Life) -> Era {
    Era(life.0 / LIFE_UNITS_PER_MS)
}

impl RaftNode {
    /// Whether an era was accepted whose configuration is not in the log yet.
    pub(super) fn is_bootstrap_pending(&self) -> bool {
        self.pending_first_term().is_some()
    }

    /// The first term of an era that was accepted and whose configuration is not in the log yet.
    pub(super) fn pending_first_term(&self) -> Option<Term> {
        let (first_term, _) = self.persistent.pending_bootstrap.as_ref()?;
        (self.persistent.log.voters().1 < *first_term).then_some(*first_term)
    }

    /// The seats of the pool that take part in a bootstrap.
    fn bootstrap_pool(&self) -> Vec<Seat> {
        let present = |seat: &&Seat| !self.settings.absent.contains(seat);
        self.settings.pool.iter().filter(present).copied().collect()
    }

    /// Whether a quorum of the voters, each with the memory it had, is alive as far as the failure detector
    /// knows.
    fn quorum_seems_alive(&self, members: &Members) -> bool {
        let voters = self.voters();
        let alive = |v: &Voter| *v == self.id || members.memory(v.seat) == Some(v.memory);
        !voters.now.is_empty() && voters.has_quorum(alive)
    }

    /// Starts a bootstrap if one is needed, and drives one that this instance has started.
    ///
    /// When no quorum of voters has its persistent state, what was voted or committed can be known only by
    /// asking every instance of the pool. Each of them promises to take part in no earlier era. Once all
    /// have promised, the one with the longest log becomes the leader of a new era, which begins when all
    /// have acknowledged it. An instance that takes part in an earlier era withdraws its promise, so if a
    /// quorum is alive after all the bootstrap only fails.
    pub(super) fn tick_bootstrap(&mut self, now: Tenths, members: &Members) {
        let is_over = self
            .bootstrap
            .as_ref()
            .is_some_and(|bootstrap| bootstrap.proposal.is_some() && !self.is_bootstrap_pending());
        if self.is_leader() || is_over {
            self.bootstrap = None;
        }
        let latest_start = self.latest_start_in_pool(members);
        if let Some(bootstrap) = &self.bootstrap {
            if now >= bootstrap.until {
                // Only this process could propose the era's configuration and it no longer will, so its own
                // promise is void.
                (self.bootstrap, self.bootstrap_promise) = (None, None);
                self.bootstrap_at = now + self.settings.hold_time + self.jitter();
            } else if bootstrap.proposal.is_none() && bootstrap.era <= latest_start {
                // A process that started since would refuse the era.
                self.start_bootstrap(now, latest_start);
            } else if now >= bootstrap.resend_at {
                self.send_bootstrap_messages(now);
            }
            return;
        }
        if now < self.bootstrap_at {
            return;
        }
        self.bootstrap_at = now + Tenths(self.settings.hold_time.0 / 2) + self.jitter();
        let pool = self.bootstrap_pool();
        if !pool.contains(&self.id.seat)
            || self.is_leader()
            || matches!(self.role, Role::BootstrapLeader { .. })
        {
            return;
        }
        let leaderless = now >= self.hold_until;
        let hold = self.settings.hold_time;
        let stuck = now >= self.leaderless_since + Tenths(hold.0 * LEADERLESS_HOLDS_BEFORE_BOOTSTRAP);
        let no_voters = self.voters().now.is_empty() && self.leader.is_none();
        let first_start = no_voters && now >= self.leaderless_since + Tenths(hold.0 / 4);
        let quorum_lost = self.is_bootstrap_pending() || stuck || !self.quorum_seems_alive(members);
        let is_lowest = pool.iter().find(|seat| members.is_alive(**seat)) == Some(&self.id.seat);
        if is_lowest && (first_start || leaderless && quorum_lost) {
            self.start_bootstrap(now, latest_start);
        }
    }

    /// The latest start of a process of the pool, as far as the failure detector knows, as an era.
    fn latest_start_in_pool(&self, members: &Members) -> Era {
        let pool = self.bootstrap_pool();
        let lives = pool.iter().filter_map(|seat| Some(members.state(*seat)?.life));
        lives.map(era_of_start).max().unwrap_or_default()
    }

    /// Asks the pool for the promises to a new era above `latest_start`.
    fn start_bootstrap(&mut self, now: Tenths, latest_start: Era) {
        // The index in the pool makes the era unique to this seat.
        let pool = self.bootstrap_pool();
        let Some(index) = pool.iter().position(|seat| *seat == self.id.seat) else { return };
        let past = latest_start.max(self.highest_era).max(self.highest_past_era()).0;
        let era = Era((past / ERA_STRIDE + 1) * ERA_STRIDE + index as u64);
        let until = now + Tenths(self.settings.hold_time.0 * BOOTSTRAP_TIMEOUT_HOLDS);
        self.bootstrap_promise = Some(BootstrapPromise { era, initiator: self.life });
        self.highest_era = era;
        let answers = BTreeMap::from([(self.id.seat, self.bootstrap_status())]);
        self.bootstrap = Some(Bootstrap { era, answers, proposal: None, until, resend_at: now });
        self.send_bootstrap_messages(now);
    }

    /// A new era must be above this one.
    ///
    /// It is not below the start of this process. What an earlier process at this seat forgot was given before
    /// that, so the positions of a new era are above it. They are above those in this instance's log, too.
    fn highest_past_era(&self) -> Era {
        let of_log = self.persistent.log.last().1.era();
        era_of_start(self.life).max(self.persistent.term.era()).max(of_log)
    }

    /// What this instance tells the initiator of a bootstrap about its state.
    fn bootstrap_status(&self) -> BootstrapStatus {
        let era = self.highest_era.max(self.highest_past_era());
        BootstrapStatus { era, memory: self.id.memory, last: self.persistent.log.last() }
    }

    /// How the entries of an era that this instance opens are numbered. A process that stores consecutive
    /// positions only could not follow otherwise.
    pub(super) fn era_numbering(&self) -> EraNumbering {
        let stores_gaps = |seat: &Seat| self.protocol_of(*seat) > ProtocolVersion::CONSECUTIVE;
        let can_all_follow = self.bootstrap_pool().iter().all(stores_gaps);
        if can_all_follow && !self.planted.has(Fault::EraContinuesPositions) {
            EraNumbering::Own
        } else {
            EraNumbering::Consecutive
        }
    }

    /// Sends the proposal to the whole pool, or, while there is none, the request to those that have not
    /// answered.
    fn send_bootstrap_messages(&mut self, now: Tenths) {
        let (pool, own_seat, initiator) = (self.bootstrap_pool(), self.id.seat, self.life);
        let interval = self.settings.heartbeat_interval();
        let Some(bootstrap) = &mut self.bootstrap else { return };
        bootstrap.resend_at = now + interval;
        if let Some(proposal) = bootstrap.proposal.clone() {
            let others = pool.into_iter().filter(|s| *s != own_seat);
            return others.for_each(|seat| self.send(seat, proposal.clone()));
        }
        let (era, answers) = (bootstrap.era, &bootstrap.answers);
        let missing: Vec<Seat> =
            pool.into_iter().filter(|s| *s != own_seat && !answers.contains_key(s)).collect();
        for seat in missing {
            self.send(seat, Message::BootstrapRequest { era, initiator });
        }
        self.propose_bootstrap(now);
    }

    /// Answers a request to promise that this instance takes part in no era before `era`. Refuses if it has a
    /// leader, has promised a later era, knows that the era is not a new one, or is not in the pool.
    pub(super) fn on_bootstrap_request(&mut self, now: Tenths, from: Seat, era: Era, initiator: Life) {
        let has_leader = self.is_leader() || (self.leader.is_some() && now < self.hold_until);
        let promised_later = self.bootstrap_promise.is_some_and(|promise| promise.era > era);
        let refused = has_leader
            || promised_later
            || era <= self.highest_past_era()
            || !self.settings.pool.contains(&self.id.seat);
        if !refused {
            self.bootstrap_promise = Some(BootstrapPromise { era, initiator });
            self.bootstrap = self.bootstrap.take().filter(|b| b.era >= era);
            if matches!(self.role, Role::Candidate { .. }) {
                self.role = Role::Follower;
            }
            self.election_at = self.election_at.max(now + self.settings.hold_time);
            self.bootstrap_at =
                now + Tenths(self.settings.hold_time.0 * BOOTSTRAP_TIMEOUT_HOLDS) + self.jitter();
        }
        self.highest_era = self.highest_era.max(era);
        let status = self.bootstrap_status();
        self.send(from, Message::BootstrapAnswer { era, initiator, refused, status });
    }

    /// An instance of the pool has answered the bootstrap request. A refusal ends the attempt.
    pub(super) fn on_bootstrap_answer(
        &mut self, now: Tenths, from: Seat, era: Era, initiator: Life, refused: bool, status: BootstrapStatus,
    ) {
        self.highest_era = self.highest_era.max(status.era);
        let Some(bootstrap) = self.bootstrap.as_mut().filter(|b| b.era == era && initiator == self.life)
        else {
            return;
        };
        if bootstrap.proposal.is_some() {
            return;
        }
        if refused {
            (self.bootstrap, self.bootstrap_promise) = (None, None);
            self.bootstrap_at = now + self.settings.hold_time + self.jitter();
            return;
        }
        bootstrap.answers.insert(from, status);
        self.propose_bootstrap(now);
    }

    /// Proposes the era's configuration once the whole pool has answered. The instance with the longest log
    /// leads; among equals the lowest seat does.
    fn propose_bootstrap(&mut self, now: Tenths) {
        let pool = self.bootstrap_pool();
        let Some(bootstrap) = &self.bootstrap else { return };
        let all_answered = pool.iter().all(|seat| bootstrap.answers.contains_key(seat));
        let own_promise = BootstrapPromise { era: bootstrap.era, initiator: self.life };
        if !all_answered || self.bootstrap_promise != Some(own_promise) {
            return;
        }
        let (era, answers) = (bootstrap.era, bootstrap.answers.clone());
        let by_log = |(seat, status): &(&Seat, &BootstrapStatus)| (status.last, std::cmp::Reverse(**seat));
        let chosen = if self.planted.has(Fault::ShortestLogLeads) {
            answers.iter().min_by_key(by_log)
        } else {
            answers.iter().max_by_key(by_log)
        };
        let Some((seat, status)) = chosen else { return };
        let leader = Voter { seat: *seat, memory: status.memory };
        let mut voters = vec![leader];
        let others = answers.iter().map(|(seat, status)| Voter { seat: *seat, memory: status.memory });
        voters.extend(others.filter(|v| *v != leader).take(self.settings.voter_count - 1));
        voters.sort();
        let voters = Voters::single(voters);
        let initiator = self.life;
        if let Some(bootstrap) = &mut self.bootstrap {
            bootstrap.resend_at = now;
            bootstrap.until = now + Tenths(self.settings.hold_time.0 * BOOTSTRAP_TIMEOUT_HOLDS);
            bootstrap.proposal =
                Some(Message::BootstrapProposal { era, initiator, voters: voters.clone(), leader });
        }
        self.send_bootstrap_messages(now);
        self.on_bootstrap_proposal(now, era, initiator, voters, leader);
    }

    /// Accepts the configuration of a new era, if this instance's promise to its initiator still holds.
    pub(super) fn on_bootstrap_proposal(
        &mut self, now: Tenths, era: Era, initiator: Life, voters: Voters, leader: Voter,
    ) {
        let term = Term::first_of_era(era);
        // Without a promise, or after it was withdrawn, this instance does not accept the era.
        let promised = self.bootstrap_promise == Some(BootstrapPromise { era, initiator });
        if !promised || term <= self.persistent.term || self.is_leader() {
            return;
        }
        self.advance_term(now, term);
        self.persistent.pending_bootstrap = Some((term, voters));
        self.persistent.voted_for = Some(leader);
        // What was asked for before may come from a log that the era's leader does not have.
        self.catch_up = None;
        self.persistence.mark_dirty();
        self.events.push(Event::Bootstrapped { era });
        let until = now + Tenths(self.settings.hold_time.0 * BOOTSTRAP_TIMEOUT_HOLDS);
        (self.election_at, self.bootstrap_at) = (until, until + self.jitter());
        self.bootstrap_overdue_at = until;
        if leader == self.id {
            let acknowledged = BTreeSet::from([self.id.seat]);
            self.role = Role::BootstrapLeader { initiator, acknowledged, until };
            self.lead_if_acknowledged(now);
        } else {
            let ack = BootstrapAck { era, initiator, leader: leader.seat, resend_at: now };
            self.bootstrap_ack = Some(ack);
            self.resend_bootstrap_ack(now);
        }
    }

    pub(super) fn resend_bootstrap_ack(&mut self, now: Tenths) {
        let interval = self.settings.heartbeat_interval();
        let Some(ack) = &mut self.bootstrap_ack else { return };
        if now >= ack.resend_at {
            ack.resend_at = now + interval;
            let (era, initiator, to) = (ack.era, ack.initiator, ack.leader);
            self.send(to, Message::BootstrapAck { era, initiator });
        }
    }

    pub(super) fn on_bootstrap_ack(&mut self, now: Tenths, from: Seat, era: Era, acked_initiator: Life) {
        if self.persistent.term != Term::first_of_era(era) {
            // The acknowledgement overtook the proposal. It will be sent again.
            return;
        }
        if let Role::BootstrapLeader { initiator, acknowledged, .. } = &mut self.role {
            if *initiator == acked_initiator {
                acknowledged.insert(from);
            }
        }
        self.lead_if_acknowledged(now);
    }

    /// Becomes the leader of a new era once the whole pool has acknowledged it and the own state is
    /// persisted.
    pub(super) fn lead_if_acknowledged(&mut self, now: Tenths) {
        let pool = self.bootstrap_pool();
        let persisted = self.persistence.is_persisted();
        let Role::BootstrapLeader { acknowledged, .. } = &self.role else { return };
        if persisted && pool.iter().all(|seat| acknowledged.contains(seat)) {
            self.become_leader(now);
        }
    }
}
