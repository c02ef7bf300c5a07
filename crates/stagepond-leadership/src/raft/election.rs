//! Elections: pre-votes and votes (paper, section 5.2; thesis, section 9.6).

use std::collections::{BTreeSet, VecDeque};

use super::{LeaderState, Progress, RaftNode, Role};
use crate::ids::*;
use crate::log::Command;
use crate::planted::Fault;
use crate::wire::Message;

impl RaftNode {
    /// Whether this instance may vote and stand as a candidate.
    pub(super) fn can_vote(&self) -> bool {
        self.voters().contains(&self.id) && !self.is_bootstrap_pending()
    }

    /// Asks the voters whether they would vote for this instance, without raising the term (thesis, section
    /// 9.6).
    pub(super) fn start_pre_vote(&mut self, now: Tenths) {
        if !self.can_vote() || now < self.hold_until {
            self.election_at = now.max(self.hold_until) + self.settings.heartbeat_interval();
            return;
        }
        if self.planted.has(Fault::NoPreVote) {
            return self.start_election(now, None);
        }
        let until = now + self.settings.round_trip;
        let granted = BTreeSet::from([self.id]);
        self.role = Role::Candidate { pre_vote: true, granted, until };
        let (term, memory) = (self.persistent.term.next(), self.id.memory);
        let last = self.persistent.log.last();
        self.send_to_voters(Message::PreVoteRequest { term, memory, last });
        self.count_votes(now);
    }

    /// Starts an election in the next term. `transfer_term` is the term of a leader that transferred its
    /// leadership here.
    pub(super) fn start_election(&mut self, now: Tenths, transfer_term: Option<Term>) {
        self.persistent.term = self.persistent.term.next();
        self.persistent.voted_for = Some(self.id);
        self.bootstrap_promise = None;
        self.persistence.mark_dirty();
        let until = now + Tenths(self.settings.round_trip.0 * 2);
        let granted = BTreeSet::from([self.id]);
        self.role = Role::Candidate { pre_vote: false, granted, until };
        let (term, memory, last) = (self.persistent.term, self.id.memory, self.persistent.log.last());
        self.send_to_voters(Message::VoteRequest { term, memory, last, transfer_term });
    }

    fn send_to_voters(&mut self, message: Message) {
        for voter in self.voters().iter().filter(|v| v.seat != self.id.seat).collect::<Vec<_>>() {
            self.send(voter.seat, message.clone());
        }
    }

    /// Takes the next step of a candidacy once a quorum has granted its votes.
    pub(super) fn count_votes(&mut self, now: Tenths) {
        let Role::Candidate { pre_vote, granted, .. } = &self.role else { return };
        // This instance's own vote counts only once it is persisted. A pre-vote needs no persistence.
        let own_counts = *pre_vote || self.persistence.is_persisted();
        let voters = self.voters();
        if !own_counts || !voters.has_quorum(|v| granted.contains(v)) {
            return;
        }
        if *pre_vote {
            self.start_election(now, None);
            return self.count_votes(now);
        }
        self.become_leader(now);
    }

    /// Becomes the leader of the current term: appends its first entry and sends heartbeats.
    pub(super) fn become_leader(&mut self, now: Tenths) {
        if self.planted.has(Fault::AppendIdsRestart) {
            self.last_append_id = 0;
        }
        let next_number = self.persistent.log.last().1.next();
        let voters = self.voters();
        let followers =
            voters.iter().filter(|v| *v != self.id).map(|v| (v, Progress::new(now, next_number))).collect();
        let (term, own_seat) = (self.persistent.term, self.id.seat);
        let opening_number = if self.is_bootstrap_pending() {
            let numbering = self.era_numbering();
            self.persistent.log.append_opening(term, own_seat, voters, numbering)
        } else {
            self.persistent.log.append(term, own_seat, Command::Opening)
        };
        self.persistence.mark_dirty();
        self.leader = Some(self.id.seat);
        self.bootstrap = None;
        self.role = Role::Leader(Box::new(LeaderState {
            followers,
            first_append_id: self.last_append_id + 1,
            heartbeat_rounds: VecDeque::new(),
            // The new leader has one lease time to get answers from a quorum. Before that it can't act, since
            // its first entry is not committed.
            lease_until: now + self.settings.lease_time(),
            opening_number,
            leader_since: now,
            next_heartbeat_at: now,
            transfer: None,
        }));
        self.send_heartbeats(now);
    }

    pub(super) fn on_pre_vote(
        &mut self, now: Tenths, from: Seat, term: Term, memory: Memory, last: (Term, Number),
    ) {
        let candidate = Voter { seat: from, memory };
        let up_to_date = last >= self.persistent.log.last() || self.planted.has(Fault::StaleCandidate);
        let free = now >= self.hold_until && !self.is_leader() || self.planted.has(Fault::HoldIgnored);
        // A candidate whose last entry has a later term than the configuration here may be a voter of a newer
        // configuration.
        let may_be_voter = self.voters().contains(&candidate) || last.0 > self.persistent.log.voters().1;
        let granted = term > self.persistent.term && up_to_date && free && may_be_voter && self.can_vote();
        let (own_term, memory) = (self.persistent.term, self.id.memory);
        self.send(from, Message::PreVoteAnswer { term, memory, granted, own_term });
    }

    pub(super) fn on_pre_vote_answer(
        &mut self, now: Tenths, voter: Voter, term: Term, granted: bool, own_term: Term,
    ) {
        if own_term > self.persistent.term {
            // Adopts the term, without a vote in it, so that the next pre-vote asks for a high enough one.
            return self.advance_term(now, own_term);
        }
        if let Role::Candidate { pre_vote: true, granted: votes, .. } = &mut self.role {
            if granted && term == self.persistent.term.next() {
                votes.insert(voter);
                self.count_votes(now);
            }
        }
    }

    pub(super) fn on_vote_request(
        &mut self, now: Tenths, from: Seat, term: Term, memory: Memory, last: (Term, Number),
        transfer_term: Option<Term>,
    ) {
        let candidate = Voter { seat: from, memory };
        // The leader that this voter holds for has given up its lease in favour of the candidate.
        let released = transfer_term.is_some() && transfer_term == Some(self.persistent.term);
        let free =
            (now >= self.hold_until && !self.is_leader()) || released || self.planted.has(Fault::HoldIgnored);
        // A voter that holds for a leader does not even adopt the higher term. Otherwise a candidate that is
        // cut off from the leader could depose it.
        if term < self.persistent.term || !free || !self.can_vote() {
            let (term, memory) = (self.persistent.term, self.id.memory);
            return self.send(from, Message::VoteAnswer { term, memory, granted: false });
        }
        self.advance_term(now, term);
        let up_to_date = last >= self.persistent.log.last() || self.planted.has(Fault::StaleCandidate);
        let not_voted_for_other = self.persistent.voted_for.is_none_or(|v| v == candidate);
        let granted = up_to_date && not_voted_for_other;
        if granted && self.persistent.voted_for.is_none() {
            self.persistent.voted_for = Some(candidate);
            self.persistence.mark_dirty();
        }
        if granted {
            self.bootstrap_promise = None;
            self.election_at = now + self.settings.hold_time;
        }
        let memory = self.id.memory;
        self.send(from, Message::VoteAnswer { term, memory, granted });
    }

    pub(super) fn on_vote_answer(&mut self, now: Tenths, voter: Voter, term: Term, granted: bool) {
        if term > self.persistent.term {
            return self.advance_term(now, term);
        }
        if let Role::Candidate { pre_vote: false, granted: votes, .. } = &mut self.role {
            if granted && term == self.persistent.term {
                votes.insert(voter);
                self.count_votes(now);
            }
        }
    }
}
