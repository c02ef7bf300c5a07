//! Heartbeats, replication of the log, and the lease that answered heartbeats renew (paper, section 5.3; thesis,
//! section 6.4.1).

use super::{CommandError, Event, HeartbeatRound, Progress, RaftNode, Role};
use crate::ids::*;
use crate::log::{Command, Entry, Voters, MAX_UNCOMMITTED_ENTRIES};
use crate::planted::Fault;
use crate::wire::{take_fitting, Message, MAX_BODY_BYTES};

/// Heartbeats that wait for their answers. An answer to an older one can no longer extend the lease.
const MAX_HEARTBEAT_ROUNDS: usize = 32;

impl RaftNode {
    /// Sends an append to each follower, which also renews the lease once a quorum has answered.
    pub(super) fn send_heartbeats(&mut self, now: Tenths) {
        let interval = self.settings.heartbeat_interval();
        let Role::Leader(leader) = &mut self.role else { return };
        leader.next_heartbeat_at = now + interval;
        let round = HeartbeatRound { first_append_id: self.last_append_id + 1, sent_at: now };
        leader.heartbeat_rounds.push_back(round);
        if leader.heartbeat_rounds.len() > MAX_HEARTBEAT_ROUNDS {
            leader.heartbeat_rounds.pop_front();
        }
        let followers: Vec<Voter> = leader.followers.keys().copied().collect();
        for voter in followers {
            self.send_append(voter);
        }
        self.renew_lease(now);
        self.advance_commit(now);
    }

    /// Sends a follower the entries that it lacks, as many as fit into a datagram.
    fn send_append(&mut self, voter: Voter) {
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(progress) = leader.followers.get_mut(&voter) else { return };
        self.last_append_id += 1;
        progress.last_sent_id = self.last_append_id;
        let log = &self.persistent.log;
        // Entries up to the base are compacted. A follower that needs them sees the commit index and fetches
        // them.
        let previous = log.previous_of(progress.next_number);
        let (term, memory, append_id) = (self.persistent.term, self.id.memory, self.last_append_id);
        let commit = log.commit_number();
        let append_with =
            |entries| Message::AppendRequest { term, memory, append_id, previous, commit, entries };
        let room = MAX_BODY_BYTES - append_with(Vec::new()).encode().len();
        let message = append_with(take_fitting(log.entries_after(previous.1), room));
        self.send(voter.seat, message);
    }

    #[allow(clippy::too_many_arguments)]
    pub(super) fn on_append(
        &mut self, now: Tenths, from: Seat, term: Term, append_id: u64, previous: (Term, Number),
        commit: Number, entries: Vec<Entry>,
    ) {
        let memory = self.id.memory;
        if term < self.persistent.term {
            let (last, own) = (self.persistent.log.last().1, self.persistent.term);
            let commit = self.persistent.log.commit_number();
            let message = Message::AppendAnswer { term: own, memory, append_id, matched: None, last, commit };
            return self.send(from, message);
        }
        self.advance_term(now, term);
        if self.is_leader() {
            // A term has at most one leader, so a second one's message is ignored.
            return;
        }
        self.role = Role::Follower;
        (self.bootstrap, self.bootstrap_promise, self.bootstrap_ack) = (None, None, None);
        if self.persistent.pending_bootstrap.as_ref().is_some_and(|(first_term, _)| *first_term < term) {
            // A leader of a later term exists. Either its log holds the era's configuration, or the era never
            // began.
            self.persistent.pending_bootstrap = None;
            self.persistence.mark_dirty();
        }
        self.leader = Some(from);
        self.leaderless_since = now;
        self.hold_until = now + self.settings.hold_time;
        self.election_at = self.hold_until + self.election_delay();
        self.bootstrap_at = self.hold_until + self.settings.hold_time;
        let log = &mut self.persistent.log;
        let consistent = previous.1 <= log.commit_number() || log.term_at(previous.1) == Some(previous.0);
        let mut matched = None;
        if consistent {
            let mut last_matched = previous;
            let mut changed = false;
            for entry in entries {
                if !entry.follows(last_matched) || entry.term > term {
                    break;
                }
                let position = (entry.term, entry.number);
                changed |= log.store(last_matched.1, entry);
                last_matched = position;
            }
            let commit = commit.min(last_matched.1);
            // What an earlier era left uncommitted is committed with the entry that opens the leader's era.
            let has_opening = log.term_at(commit).is_some_and(|t| t.era() == term.era());
            if changed {
                self.persistence.mark_dirty();
            }
            matched = Some(last_matched.1);
            if has_opening {
                self.commit_up_to(now, commit);
            }
        } else if commit > log.commit_number() {
            self.start_catch_up(now, from);
        }
        let (last, commit) = (self.persistent.log.last().1, self.persistent.log.commit_number());
        self.send(from, Message::AppendAnswer { term, memory, append_id, matched, last, commit });
    }

    #[allow(clippy::too_many_arguments)]
    pub(super) fn on_append_answer(
        &mut self, now: Tenths, voter: Voter, term: Term, append_id: u64, matched: Option<Number>,
        last: Number, commit: Number,
    ) {
        if term > self.persistent.term {
            return self.advance_term(now, term);
        }
        let interval = self.settings.heartbeat_interval();
        let Role::Leader(leader) = &mut self.role else { return };
        // A follower that refuses an append of an earlier term answers in its own, which may be this one.
        if term != self.persistent.term || append_id < leader.first_append_id {
            return;
        }
        let Some(progress) = leader.followers.get_mut(&voter) else { return };
        if now > progress.answered_at + interval + interval + interval {
            progress.responsive_since = now;
        }
        progress.answered_at = now;
        progress.last_answered_id = progress.last_answered_id.max(append_id);
        let is_latest = append_id == progress.last_sent_id;
        let own_last = self.persistent.log.last().1;
        let behind = match matched {
            Some(number) => {
                progress.match_number = progress.match_number.max(number.min(own_last));
                progress.next_number = progress.match_number.next();
                progress.match_number < own_last
            }
            // The follower's committed entries equal the leader's; the entries after them may differ.
            None => {
                let previous = self.persistent.log.previous_of(progress.next_number).1;
                let back = Number(previous.0.saturating_sub(1)).min(last);
                progress.next_number = back.max(commit).max(progress.match_number).next();
                false
            }
        };
        self.renew_lease(now);
        self.advance_commit(now);
        // Only the answer to the latest append triggers the next one. Otherwise each heartbeat would start
        // one more exchange that runs beside the others for as long as commands arrive.
        if is_latest && (behind || matched.is_none()) {
            self.send_append(voter);
        }
        self.continue_transfer(now);
    }

    /// Extends the lease, which runs from when the latest heartbeat that a quorum has answered was sent.
    fn renew_lease(&mut self, now: Tenths) {
        let (voters, own_id) = (self.voters(), self.id);
        let (lease, hold) = (self.settings.lease_time(), self.settings.hold_time);
        let planted = self.planted;
        let Role::Leader(leader) = &mut self.role else { return };
        let last_answered_id = |v: &Voter| match leader.followers.get(v) {
            _ if *v == own_id => u64::MAX,
            Some(progress) => progress.last_answered_id,
            None => 0,
        };
        let answered_by_quorum =
            |round: &&HeartbeatRound| voters.has_quorum(|v| last_answered_id(v) >= round.first_append_id);
        let latest = leader.heartbeat_rounds.iter().rev().find(answered_by_quorum);
        if let Some(HeartbeatRound { sent_at, .. }) = latest {
            let until = match () {
                () if planted.has(Fault::LeaseWithoutDrift) => *sent_at + hold,
                () if planted.has(Fault::LeaseFromAnswer) => now + hold,
                () => *sent_at + lease,
            };
            leader.lease_until = leader.lease_until.max(until);
        }
    }

    /// Advances the leader's commit index: an entry of the leader's own term is committed once a quorum has
    /// it, and all entries before it with it (paper, section 5.4.2).
    pub(super) fn advance_commit(&mut self, now: Tenths) {
        let (voters, own_id, persisted_last) = (self.voters(), self.id, self.persistence.persisted_last());
        let ignores_quorum = self.planted.has(Fault::CommitAlone);
        let Role::Leader(leader) = &self.role else { return };
        let stored_up_to = |v: &Voter| {
            if *v == own_id {
                persisted_last
            } else {
                leader.followers.get(v).map_or(Number(0), |p| p.match_number)
            }
        };
        let log = &self.persistent.log;
        let committed = log
            .entries_after(log.commit_number())
            .filter(|e| e.term == self.persistent.term)
            .filter(|e| ignores_quorum || voters.has_quorum(|v| stored_up_to(v) >= e.number))
            .map(|e| e.number)
            .last();
        if let Some(number) = committed {
            self.commit_up_to(now, number);
        }
    }

    fn commit_up_to(&mut self, now: Tenths, number: Number) {
        let entries = self.persistent.log.commit_up_to(number);
        self.on_committed(now, entries);
    }

    /// Reports newly committed entries and acts on those that concern the leader itself.
    pub(super) fn on_committed(&mut self, now: Tenths, entries: Vec<Entry>) {
        if entries.is_empty() {
            return;
        }
        self.persistence.mark_dirty();
        for entry in entries {
            let changes_voters = matches!(entry.command, Command::Voters(_));
            let lease = self.lease(now).filter(|lease| lease.term() == entry.term);
            let opens_term =
                matches!(&self.role, Role::Leader(leader) if leader.opening_number == entry.number);
            self.events.push(Event::Committed { entry, lease });
            if opens_term {
                self.events.extend(lease.map(Event::BecameLeader));
            }
            if changes_voters || opens_term {
                self.on_voters_committed(now);
            }
        }
    }

    /// The second step of a membership change: once the joint configuration is committed the leader proposes
    /// the new one alone. A leader that is not in the new configuration steps down when that is committed.
    pub(super) fn on_voters_committed(&mut self, now: Tenths) {
        let voters = self.persistent.log.committed().voters.clone();
        if !self.is_leader() || self.persistent.log.has_uncommitted_voters() {
            return;
        }
        if voters.change.is_some() {
            self.append_command(Command::Voters(Voters::single(voters.target())));
        } else if !voters.contains(&self.id) {
            self.step_down(now, "no voter any more");
        }
        self.sync_followers(now);
    }

    /// Makes the leader replicate to exactly the voters of the current configuration.
    pub(super) fn sync_followers(&mut self, now: Tenths) {
        let (voters, own_id) = (self.voters(), self.id);
        let next_number = self.persistent.log.commit_number().next();
        let Role::Leader(leader) = &mut self.role else { return };
        leader.followers.retain(|v, _| voters.contains(v));
        for voter in voters.iter().filter(|v| *v != own_id) {
            leader.followers.entry(voter).or_insert(Progress::new(now, next_number));
        }
    }

    /// Appends a command to the leader's own log.
    pub(super) fn append_command(&mut self, command: Command) -> Number {
        let number = self.persistent.log.append(self.persistent.term, self.id.seat, command);
        self.persistence.mark_dirty();
        let is_only_pending = self.persistent.log.uncommitted_len() == 1;
        if let Role::Leader(leader) = &mut self.role {
            // Sent at once rather than with the next heartbeat. An entry that follows others is sent when
            // those are answered.
            leader.next_heartbeat_at = if is_only_pending { Tenths(0) } else { leader.next_heartbeat_at };
        }
        number
    }

    /// Proposes a command and returns its position in the log. [`Event::Committed`] reports it once a quorum
    /// has stored it.
    ///
    /// A command that equals the latest committed one of its subject is not appended again but reported as
    /// committed once more. One that equals a command still waiting for its quorum is not appended either.
    pub fn propose(&mut self, now: Tenths, command: Command) -> Result<Number, CommandError> {
        if !self.is_leader() {
            return Err(CommandError::NotLeader(self.leader));
        }
        let Some(lease) = self.lease(now) else { return Err(CommandError::NoLease) };
        let same_subject = command.subject().and_then(|s| self.persistent.log.committed().subjects.get(&s));
        if let Some(entry) = same_subject.filter(|e| e.command == command) {
            let entry = entry.clone();
            let number = entry.number;
            self.events.push(Event::Committed { entry, lease: Some(lease) });
            return Ok(number);
        }
        let log = &self.persistent.log;
        if let Some(waiting) = log.entries_after(log.commit_number()).find(|e| e.command == command) {
            return Ok(waiting.number);
        }
        if log.uncommitted_len() >= MAX_UNCOMMITTED_ENTRIES {
            return Err(CommandError::TooManyPending);
        }
        Ok(self.append_command(command))
    }
}
