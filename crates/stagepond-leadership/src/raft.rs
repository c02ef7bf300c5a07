//! Raft among a few voters: elections, leader leases and log replication.
//!
//! This follows Raft (Ongaro and Ousterhout 2014) and Ongaro's thesis (2014), with pre-vote, leader leases
//! (thesis, section 6.4.1), leadership transfer (thesis, section 3.10) and joint consensus for membership
//! changes (paper, section 6). One addition is the bootstrap: it starts a new era when no quorum of voters is
//! left that still has its persistent state.
//!
//! [`RaftNode`] owns the persistent state: term, vote and log. It must never send a message that depends on
//! state which is not persisted yet, act as leader after its lease has expired, or vote as a [`Voter`] whose
//! persistent state it does not have.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::*;
use crate::lease::LeaderLease;
use crate::log::*;
use crate::members::Members;
use crate::persistence::PersistenceTracker;
use crate::planted::{Fault, Planted};
use crate::settings::{Settings, MAX_POOL_SEATS};
use crate::wire::*;

/// Heartbeats that wait for their answers. An answer to an older one can no longer extend the lease.
const MAX_HEARTBEAT_ROUNDS: usize = 32;
/// A bootstrap attempt is abandoned after this many hold times ([`Settings::hold_time`]).
const BOOTSTRAP_TIMEOUT_HOLDS: i64 = 2;
/// Distance between the eras of one seat. Each seat of the pool starts eras at its own offset, so no two
/// seats start the same one.
const ERA_STRIDE: u64 = MAX_POOL_SEATS as u64 + 1;
/// After this many hold times without a leader a bootstrap is tried even if a quorum of voters seems alive.
const LEADERLESS_HOLDS_BEFORE_BOOTSTRAP: i64 = 12;
/// Bytes of a message body that are reserved beside the entries of an answer to a fetch.
const FETCHED_ENTRIES_OVERHEAD: usize = 8;
/// Combined with the instance's seed, so that this module draws other numbers than the rest.
const SEED_MASK: u64 = 0x1ead;

/// Raft's persistent state (figure 2 of the paper): on disk if there is a disk.
/// Its encoding follows the order of the fields.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PersistentState {
    /// The seat that wrote the state.
    pub seat: Seat,
    /// Identifies this state; with the seat it identifies the voter.
    pub memory: Memory,
    /// Raft's `currentTerm`.
    pub term: Term,
    /// Raft's `votedFor` in `term`.
    pub voted_for: Option<Voter>,
    /// First term and voters of an era that this instance has accepted but whose leader it has not heard
    /// from. Until it does, it votes and leads in no other era.
    pub pending_bootstrap: Option<(Term, Voters)>,
    /// The replicated log.
    pub log: Log,
}

impl PersistentState {
    /// The state of a process that starts without any.
    pub fn empty(seat: Seat, memory: Memory) -> PersistentState {
        let (term, log) = (Term::default(), Log::default());
        PersistentState { seat, memory, term, voted_for: None, pending_bootstrap: None, log }
    }

    /// Reads what [`PersistentState::encode`] wrote. `None` if it is truncated, inconsistent or of another
    /// seat.
    pub fn decode(bytes: &[u8], seat: Seat) -> Option<PersistentState> {
        let (state, rest) = ::postcard::take_from_bytes::<PersistentState>(bytes).ok()?;
        let valid = rest.is_empty() && state.seat == seat && state.log.is_valid();
        (valid && state.term >= state.log.last().0).then_some(state)
    }

    /// Encodes the state for the disk, as postcard.
    pub fn encode(&self) -> Vec<u8> {
        ::postcard::to_allocvec(self).expect("plain values have an encoding")
    }
}

/// What the leader knows of one follower's log.
#[derive(Clone, Debug, Hash)]
struct Progress {
    /// Raft's `matchIndex` and `nextIndex`.
    match_number: Number,
    next_number: Number,
    /// Identifiers of the latest append sent to the follower, and of the latest that it answered.
    last_sent_id: u64,
    last_answered_id: u64,
    answered_at: Tenths,
    /// Since when the follower has answered without a longer interruption.
    responsive_since: Tenths,
}

/// Identifier of the first append of a heartbeat, and when it was sent.
#[derive(Clone, Debug, Hash)]
struct HeartbeatRound {
    first_append_id: u64,
    sent_at: Tenths,
}

/// A leadership transfer in progress.
#[derive(Clone, Copy, Debug, Hash)]
struct LeadershipTransfer {
    to: Seat,
    /// The earliest time to send `TimeoutNow` to the successor; 0 while the leader waits for the successor to
    /// catch up.
    not_before: Tenths,
    /// When the transfer is abandoned and the leader steps down.
    deadline: Tenths,
}

/// What only the leader of a term keeps.
#[derive(Clone, Debug, Hash)]
struct LeaderState {
    followers: BTreeMap<Voter, Progress>,
    /// Identifier of the first append of this term. An answer to an earlier one says nothing about this term.
    first_append_id: u64,
    heartbeat_rounds: VecDeque<HeartbeatRound>,
    lease_until: Tenths,
    /// Position of the first entry of this leader's term.
    opening_number: Number,
    leader_since: Tenths,
    next_heartbeat_at: Tenths,
    transfer: Option<LeadershipTransfer>,
}

/// Raft's server states (figure 4 of the paper), and the leader that a bootstrap names.
#[derive(Clone, Debug, Hash)]
enum Role {
    Follower,
    /// Asks the others for votes; in the pre-vote phase without raising its term.
    Candidate {
        pre_vote: bool,
        granted: BTreeSet<Voter>,
        until: Tenths,
    },
    /// Named as leader by a bootstrap; leads once every instance of the pool has acknowledged it.
    BootstrapLeader {
        initiator: Life,
        acknowledged: BTreeSet<Seat>,
        until: Tenths,
    },
    Leader(Box<LeaderState>),
}

/// A bootstrap that this instance has started.
#[derive(Clone, Debug, Hash)]
struct Bootstrap {
    era: Era,
    answers: BTreeMap<Seat, BootstrapStatus>,
    /// The new configuration, once all have answered. Resent until the bootstrap ends, since datagrams can be
    /// lost.
    proposal: Option<Message>,
    until: Tenths,
    resend_at: Tenths,
}

/// The promise to take part in no era before `era`, given to the process that starts that era.
#[derive(Clone, Copy, Debug, PartialEq, Hash)]
struct BootstrapPromise {
    era: Era,
    initiator: Life,
}

/// The acknowledgement of an era, sent to its leader until the era begins.
#[derive(Clone, Copy, Debug, Hash)]
struct BootstrapAck {
    era: Era,
    initiator: Life,
    leader: Seat,
    resend_at: Tenths,
}

/// A fetch of committed entries, or of a snapshot, from another instance.
#[derive(Clone, Debug, Hash)]
struct CatchUp {
    from: Seat,
    until: Tenths,
    /// Position of the snapshot that is being received.
    snapshot_number: Number,
    pieces: Vec<Option<Vec<u8>>>,
    next: u16,
}

/// What a step changed that the host must know.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// This instance leads, with the first lease of its term.
    BecameLeader(LeaderLease),
    /// This instance no longer leads.
    SteppedDown { term: Term, reason: &'static str },
    /// An entry was committed; the leader of its term gets a lease with it.
    Committed { entry: Entry, lease: Option<LeaderLease> },
    /// A snapshot was installed; all that it holds is committed.
    SnapshotInstalled { number: Number },
    /// This instance accepted the configuration of a new era.
    Bootstrapped { era: Era },
}

/// Why a command or a leadership transfer was not accepted.
#[derive(Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum CommandError {
    /// Holds the leader, if it is known.
    #[error("this instance is not the leader; the known leader is {0:?}")]
    NotLeader(Option<Seat>),
    /// The first entry of the term is not committed, or a transfer is in progress.
    #[error("the leader has no valid lease yet, or is transferring leadership")]
    NoLease,
    /// See [`MAX_UNCOMMITTED_ENTRIES`].
    #[error("{} entries already wait for a quorum", MAX_UNCOMMITTED_ENTRIES)]
    TooManyPending,
    /// The seat has no voter that follows this leader.
    #[error("the successor is not a voter that the leader replicates to")]
    UnknownSuccessor,
}

/// Prints the names that the output of `stagepond-lab replay-leadership` has, which differ from those in the
/// code.
impl fmt::Debug for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CommandError::NotLeader(leader) => f.debug_tuple("NotLeader").field(leader).finish(),
            CommandError::NoLease => f.write_str("NoMandate"),
            CommandError::TooManyPending => f.write_str("Full"),
            CommandError::UnknownSuccessor => f.write_str("NoSuccessor"),
        }
    }
}

/// One instance's Raft state machine. It does no I/O: each call takes the current time, and a step ends with
/// [`RaftNode::finish_step`].
#[derive(Clone)]
pub struct RaftNode {
    id: Voter,
    settings: Settings,
    planted: Planted,
    rng: fastrand::Rng,
    persistent: PersistentState,
    persistence: PersistenceTracker,
    role: Role,
    /// Identifier of the latest append that this process sent, to whichever follower in whichever term. Each
    /// gets the next number, so an answer to an append of an earlier term can't pass for one of this term.
    last_append_id: u64,
    leader: Option<Seat>,
    /// Until then this instance votes for no other candidate, since the leader that it heard from may hold a
    /// lease.
    hold_until: Tenths,
    /// When this instance starts an election unless it hears from a leader.
    election_at: Tenths,
    leaderless_since: Tenths,
    bootstrap: Option<Bootstrap>,
    /// Cleared when this instance takes part in an earlier era.
    bootstrap_promise: Option<BootstrapPromise>,
    /// The highest era seen in any message.
    highest_era: Era,
    bootstrap_ack: Option<BootstrapAck>,
    life: Life,
    /// When this instance considers starting a bootstrap.
    bootstrap_at: Tenths,
    catch_up: Option<CatchUp>,
    /// The earliest time of the next catch-up.
    catch_up_at: Tenths,
    /// Events since they were last taken.
    pub events: Vec<Event>,
    outbox: Vec<(Seat, Message)>,
}

/// Hashes everything that influences later steps except the random generator, so that a model checker can
/// recognise equal states.
impl std::hash::Hash for RaftNode {
    fn hash<H: std::hash::Hasher>(&self, state: &mut H) {
        (&self.persistent, &self.role, &self.leader, &self.bootstrap, &self.catch_up).hash(state);
        (self.hold_until, self.election_at, self.leaderless_since, self.bootstrap_at, self.catch_up_at)
            .hash(state);
        (self.bootstrap_promise, self.highest_era, self.bootstrap_ack, self.life).hash(state);
        (&self.persistence, self.last_append_id).hash(state);
    }
}

impl RaftNode {
    /// Starts as a follower with the given persistent state.
    pub fn new(
        now: Tenths, life: Life, persistent: PersistentState, settings: &Settings, seed: u64,
        planted: Planted,
    ) -> RaftNode {
        let id = Voter { seat: persistent.seat, memory: persistent.memory };
        let (persisted_last, hold) = (persistent.log.last().1, settings.hold_time);
        let mut node = RaftNode {
            id,
            settings: settings.clone(),
            planted,
            rng: fastrand::Rng::with_seed(seed ^ SEED_MASK),
            persistent,
            persistence: PersistenceTracker::new(settings.durable, persisted_last, planted),
            role: Role::Follower,
            last_append_id: 0,
            leader: None,
            // An earlier process may have helped to renew a lease just before this start.
            hold_until: now + hold,
            election_at: now + hold,
            leaderless_since: now,
            bootstrap: None,
            bootstrap_promise: None,
            highest_era: Era(0),
            bootstrap_ack: None,
            life,
            bootstrap_at: now,
            catch_up: None,
            catch_up_at: now,
            events: Vec::new(),
            outbox: Vec::new(),
        };
        if planted.has(Fault::VoteForgotten) {
            node.hold_until = now;
        }
        node.bootstrap_at = now + Tenths(hold.0 / 3) + node.jitter();
        node.election_at = now + hold + node.election_delay();
        node
    }

    /// This instance as a voter.
    pub fn id(&self) -> Voter {
        self.id
    }
    /// The current term.
    pub fn term(&self) -> Term {
        self.persistent.term
    }
    /// The replicated log.
    pub fn log(&self) -> &Log {
        &self.persistent.log
    }
    /// The state to be written to disk.
    pub fn persistent_state(&self) -> &PersistentState {
        &self.persistent
    }
    /// The leader of the current term, if known.
    pub fn leader(&self) -> Option<Seat> {
        self.leader
    }
    /// Whether this instance is the leader. A leader may act only while it holds a [`RaftNode::lease`].
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }
    /// Term and position of the last committed entry.
    pub fn committed(&self) -> (Term, Number) {
        (self.persistent.log.committed().term, self.persistent.log.commit_number())
    }

    /// The membership configuration in effect: that of an accepted bootstrap if it is newer than the latest
    /// in the log, otherwise the latest in the log.
    pub fn voters(&self) -> Voters {
        let (voters, term) = self.persistent.log.voters();
        match &self.persistent.pending_bootstrap {
            Some((first_term, new_voters)) if term < *first_term => new_voters.clone(),
            _ => voters.clone(),
        }
    }

    /// The lease that this instance holds as leader at `now`.
    ///
    /// `None` unless it leads, the first entry of its term is committed, no transfer is in progress, and a
    /// quorum has confirmed it recently enough.
    pub fn lease(&self, now: Tenths) -> Option<LeaderLease> {
        let Role::Leader(leader) = &self.role else { return None };
        let transferring = leader.transfer.is_some() && !self.planted.has(Fault::TransferKeepsMandate);
        let opened = self.persistent.log.commit_number() >= leader.opening_number;
        // Granted for at most `max_grant_time` at once, so that a leadership transfer need not wait for the
        // whole lease to expire.
        let lease = LeaderLease::new(
            self.persistent.term,
            self.id.seat,
            self.persistent.log.commit_number(),
            leader.lease_until.min(now + self.settings.max_grant_time),
            self.planted,
        );
        (opened && !transferring && lease.check(now).is_ok()).then_some(lease)
    }

    fn jitter(&mut self) -> Tenths {
        Tenths(self.rng.i64(0..=self.settings.round_trip.0))
    }

    /// Additional election timeout: lower seats start first, and jitter separates the rest, so that two
    /// candidates rarely start at once.
    fn election_delay(&mut self) -> Tenths {
        let voters = self.voters();
        let rank = voters.iter().filter(|v| v.seat < self.id.seat).count() as i64;
        Tenths(rank * self.settings.round_trip.0) + self.jitter()
    }

    fn send(&mut self, to: Seat, message: Message) {
        self.outbox.push((to, message));
    }

    /// Ends a step. Returns the version of the persistent state that must be written now, if any, and the
    /// messages that may be sent now. No other version is returned before that one is written.
    ///
    /// A message is held back until the state that it depends on is persisted; see
    /// [`RaftNode::on_persisted`].
    pub fn finish_step(&mut self, now: Tenths) -> (Option<u64>, Vec<(Seat, Message)>) {
        loop {
            self.persistence.close_version(self.persistent.log.last().1);
            self.persistence.hold_messages(self.outbox.drain(..));
            if !self.persistence.confirm_without_disk() {
                break;
            }
            // What follows from the state being persisted may change it again.
            self.on_state_persisted(now);
        }
        (self.persistence.next_write(), self.persistence.take_messages())
    }

    /// The host has written the persistent state of this version: it survives a crash, as do all earlier
    /// versions.
    pub fn on_persisted(&mut self, now: Tenths, version: u64) {
        if self.persistence.on_written(version) {
            self.on_state_persisted(now);
        }
    }

    /// This instance's own entries, vote and acknowledgement count once they are persisted.
    fn on_state_persisted(&mut self, now: Tenths) {
        self.advance_commit(now);
        self.count_votes(now);
        self.lead_if_acknowledged(now);
    }

    /// The time at which [`RaftNode::tick`] has work to do next.
    pub fn next_due(&self) -> Tenths {
        let role = match &self.role {
            Role::Follower => self.election_at,
            Role::Candidate { until, .. } | Role::BootstrapLeader { until, .. } => *until,
            Role::Leader(leader) => {
                let transfer = leader.transfer.map_or(Tenths::NEVER, |transfer| {
                    if transfer.not_before > Tenths(0) {
                        transfer.not_before
                    } else {
                        transfer.deadline
                    }
                });
                leader.next_heartbeat_at.min(leader.lease_until).min(transfer)
            }
        };
        let bootstrap = self.bootstrap.as_ref().map_or(self.bootstrap_at, |b| b.resend_at.min(b.until));
        let bootstrap = bootstrap.min(self.bootstrap_ack.map_or(Tenths::NEVER, |ack| ack.resend_at));
        let catch_up = self.catch_up.as_ref().map_or(Tenths::NEVER, |c| c.until);
        role.min(bootstrap).min(catch_up)
    }

    /// The clock was stepped, or this process was paused: timers that depend on the elapsed time start again.
    pub fn on_clock_anomaly(&mut self, now: Tenths, went_back: bool) {
        if !self.planted.has(Fault::HoldForgottenAfterPause) {
            self.hold_until = self.hold_until.max(now + self.settings.hold_time);
            if went_back {
                self.hold_until = now + self.settings.hold_time;
            }
        }
        if self.is_leader() && went_back {
            self.step_down(now, "the clock went back");
        }
        self.election_at = self.hold_until + self.election_delay();
        self.leaderless_since = now;
        self.bootstrap_at = now + self.settings.hold_time;
    }

    /// Gives up any role and follows; reported as an event if this instance led.
    fn step_down(&mut self, now: Tenths, reason: &'static str) {
        if let Role::Leader(leader) = &self.role {
            // Writes made under the lease may still be in flight, so this voter helps no other candidate
            // before the lease ends.
            self.hold_until = self.hold_until.max(leader.lease_until);
            self.events.push(Event::SteppedDown { term: self.persistent.term, reason });
            self.leader = None;
            self.leaderless_since = now;
        }
        self.role = Role::Follower;
        self.election_at = now.max(self.hold_until) + self.election_delay();
    }

    /// Adopts a higher term and gives up any role in the lower one.
    fn advance_term(&mut self, now: Tenths, term: Term) {
        if term > self.persistent.term {
            self.step_down(now, "a later term");
            self.persistent.term = term;
            self.persistent.voted_for = None;
            self.leader = None;
            (self.bootstrap_promise, self.bootstrap_ack) = (None, None);
            self.persistence.mark_dirty();
        }
    }

    /// Does everything that is due at `now`: elections, heartbeats, membership changes, bootstrap and
    /// timeouts.
    pub fn tick(&mut self, now: Tenths, members: &Members) {
        if let Role::Leader(leader) = &self.role {
            // The lease was not renewed by a quorum, or the successor did not take over: either way the right
            // to lead is gone.
            if now >= leader.lease_until {
                self.step_down(now, "no quorum answered in time");
            } else if leader.transfer.is_some_and(|transfer| now >= transfer.deadline) {
                self.step_down(now, "the successor did not take over");
            } else {
                self.continue_transfer(now);
            }
        }
        if self.bootstrap_ack.is_some() && !self.is_bootstrap_pending() {
            self.bootstrap_ack = None;
        }
        let timed_out = match self.role {
            Role::Candidate { until, .. } | Role::BootstrapLeader { until, .. } => now >= until,
            Role::Follower | Role::Leader(_) => false,
        };
        if timed_out {
            self.role = Role::Follower;
            self.election_at = now + self.election_delay() + Tenths(self.settings.round_trip.0);
        }
        if matches!(self.role, Role::Follower) && now >= self.election_at {
            self.start_pre_vote(now);
        }
        if matches!(&self.role, Role::Leader(leader) if now >= leader.next_heartbeat_at) {
            self.review_membership(now, members);
            self.send_heartbeats(now);
        }
        self.tick_bootstrap(now, members);
        self.resend_bootstrap_ack(now);
        if self.catch_up.as_ref().is_some_and(|c| now >= c.until) {
            self.catch_up = None;
            self.catch_up_at = now;
        }
    }

    // --- Elections ----------------------------------------------------------------------------------

    /// Whether an era was accepted whose configuration is not in the log yet.
    fn is_bootstrap_pending(&self) -> bool {
        self.pending_first_term().is_some()
    }

    /// The first term of an era that was accepted and whose configuration is not in the log yet.
    fn pending_first_term(&self) -> Option<Term> {
        let (first_term, _) = self.persistent.pending_bootstrap.as_ref()?;
        (self.persistent.log.voters().1 < *first_term).then_some(*first_term)
    }

    /// Whether this instance may vote and stand as a candidate.
    fn can_vote(&self) -> bool {
        self.voters().contains(&self.id) && !self.is_bootstrap_pending()
    }

    /// Asks the voters whether they would vote for this instance, without raising the term (thesis, section
    /// 9.6).
    fn start_pre_vote(&mut self, now: Tenths) {
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
    fn start_election(&mut self, now: Tenths, transfer_term: Option<Term>) {
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
    fn count_votes(&mut self, now: Tenths) {
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
    fn become_leader(&mut self, now: Tenths) {
        if self.planted.has(Fault::AppendIdsRestart) {
            self.last_append_id = 0;
        }
        let next_number = self.persistent.log.last().1.next();
        let new = |_: Voter| Progress {
            match_number: Number(0),
            next_number,
            last_sent_id: 0,
            last_answered_id: 0,
            answered_at: now,
            responsive_since: now,
        };
        let voters = self.voters();
        let followers = voters.iter().filter(|v| *v != self.id).map(|v| (v, new(v))).collect();
        let first_of_era = self.is_bootstrap_pending();
        let command = if first_of_era { Command::Voters(voters) } else { Command::Opening };
        let opening_number = self.persistent.log.append(self.persistent.term, self.id.seat, command);
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

    fn on_pre_vote(&mut self, now: Tenths, from: Seat, term: Term, memory: Memory, last: (Term, Number)) {
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

    fn on_pre_vote_answer(&mut self, now: Tenths, voter: Voter, term: Term, granted: bool, own_term: Term) {
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

    fn on_vote_request(
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

    fn on_vote_answer(&mut self, now: Tenths, voter: Voter, term: Term, granted: bool) {
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

    // --- Heartbeats and replication -----------------------------------------------------------------

    /// Sends an append to each follower, which also renews the lease once a quorum has answered.
    fn send_heartbeats(&mut self, now: Tenths) {
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
        let previous_number = Number(progress.next_number.0.saturating_sub(1)).max(log.base_number());
        let previous_term = log.term_at(previous_number).unwrap_or_default();
        let (term, memory, append_id) = (self.persistent.term, self.id.memory, self.last_append_id);
        let (previous, commit) = ((previous_term, previous_number), log.commit_number());
        let append_with =
            |entries| Message::AppendRequest { term, memory, append_id, previous, commit, entries };
        let room = MAX_BODY_BYTES - append_with(Vec::new()).encode().len();
        let message = append_with(take_fitting(log.entries_after(previous_number), room));
        self.send(voter.seat, message);
    }

    #[allow(clippy::too_many_arguments)]
    fn on_append(
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
            let mut last_matched = previous.1;
            let mut changed = false;
            for entry in entries {
                if entry.number != last_matched.next() || entry.term > term {
                    break;
                }
                last_matched = entry.number;
                changed |= log.store(entry);
            }
            if changed {
                self.persistence.mark_dirty();
            }
            matched = Some(last_matched);
            self.commit_up_to(now, commit.min(last_matched));
        } else if commit > log.commit_number() {
            self.start_catch_up(now, from);
        }
        let (last, commit) = (self.persistent.log.last().1, self.persistent.log.commit_number());
        self.send(from, Message::AppendAnswer { term, memory, append_id, matched, last, commit });
    }

    #[allow(clippy::too_many_arguments)]
    fn on_append_answer(
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
                let previous = Number(progress.next_number.0.saturating_sub(1));
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
    fn advance_commit(&mut self, now: Tenths) {
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
    fn on_committed(&mut self, now: Tenths, entries: Vec<Entry>) {
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
    fn on_voters_committed(&mut self, now: Tenths) {
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
    fn sync_followers(&mut self, now: Tenths) {
        let (voters, own_id) = (self.voters(), self.id);
        let next_number = self.persistent.log.commit_number().next();
        let Role::Leader(leader) = &mut self.role else { return };
        leader.followers.retain(|v, _| voters.contains(v));
        for voter in voters.iter().filter(|v| *v != own_id) {
            let new = Progress {
                match_number: Number(0),
                next_number,
                last_sent_id: 0,
                last_answered_id: 0,
                answered_at: now,
                responsive_since: now,
            };
            leader.followers.entry(voter).or_insert(new);
        }
    }

    /// Appends a command to the leader's own log.
    fn append_command(&mut self, command: Command) -> Number {
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

    // --- Membership and leadership transfer ---------------------------------------------------------

    /// Replaces a voter that is gone, and transfers leadership to a lower seat if the settings prefer that.
    fn review_membership(&mut self, now: Tenths, members: &Members) {
        self.replace_voter(now, members);
        if !self.settings.prefer_lowest_seat {
            return;
        }
        let Role::Leader(leader) = &self.role else { return };
        if now < leader.leader_since + self.settings.min_transfer_interval || leader.transfer.is_some() {
            return;
        }
        let last = self.persistent.log.last().1;
        let preferred = |(v, p): (&Voter, &Progress)| {
            let responsive = now >= p.responsive_since + self.settings.min_transfer_interval;
            (v.seat < self.id.seat && responsive && p.match_number == last).then_some(v.seat)
        };
        let successor = leader.followers.iter().find_map(preferred);
        if let Some(seat) = successor.filter(|seat| members.is_alive(*seat)) {
            let _ = self.transfer_leadership(now, seat);
        }
    }

    /// Starts a membership change for a voter that is gone, or that restarted without its memory. One voter
    /// is replaced at a time.
    fn replace_voter(&mut self, now: Tenths, members: &Members) {
        let voters = self.voters();
        if self.persistent.log.has_uncommitted_voters() || self.lease(now).is_none() {
            return;
        }
        if voters.change.is_some() {
            return self.on_voters_committed(now);
        }
        let restarted = voters.now.iter().find_map(|v| {
            let memory = members.memory(v.seat).filter(|m| *m != v.memory && v.seat != self.id.seat)?;
            Some((*v, Voter { seat: v.seat, memory }))
        });
        let replaced = || {
            let gone = |v: &&Voter| {
                let since = members.gone_since(v.seat);
                since.is_some_and(|since| now >= since + self.settings.replace_after)
            };
            let removed = voters.now.iter().find(gone)?;
            let pool = self.settings.pool.iter().filter(|seat| !voters.now.iter().any(|v| v.seat == **seat));
            let (seat, memory) = pool.filter_map(|seat| Some((*seat, members.memory(*seat)?))).next()?;
            Some((*removed, Voter { seat, memory }))
        };
        let Some((removed, added)) = restarted.or_else(replaced) else { return };
        let joint = Voters { now: voters.now, change: Some((removed, added)) };
        let voters =
            if self.planted.has(Fault::NoJointQuorum) { Voters::single(joint.target()) } else { joint };
        self.append_command(Command::Voters(voters));
        self.sync_followers(now);
    }

    /// Starts a leadership transfer to the voter at a seat.
    ///
    /// The leader gives up its lease at once. It asks the successor to start an election when no lease
    /// granted before can still be valid and the successor's log is complete.
    pub fn transfer_leadership(&mut self, now: Tenths, to: Seat) -> Result<(), CommandError> {
        let not_before = now + self.settings.max_grant_time;
        let deadline = not_before + self.settings.heartbeat_interval() + self.settings.heartbeat_interval();
        let known_leader = self.leader;
        let Role::Leader(leader) = &mut self.role else { return Err(CommandError::NotLeader(known_leader)) };
        if !leader.followers.keys().any(|v| v.seat == to) {
            return Err(CommandError::UnknownSuccessor);
        }
        if leader.transfer.is_none() {
            leader.transfer = Some(LeadershipTransfer { to, not_before, deadline });
        }
        Ok(())
    }

    /// If this instance leads, starts a transfer to the follower with the longest matching log.
    pub fn transfer_before_leaving(&mut self, now: Tenths) {
        let Role::Leader(leader) = &self.role else { return };
        let best = leader.followers.iter().max_by_key(|(v, p)| (p.match_number, std::cmp::Reverse(v.seat)));
        if let Some(seat) = best.map(|(v, _)| v.seat) {
            let _ = self.transfer_leadership(now, seat);
        }
    }

    /// Tells the successor to take over once it is caught up and no earlier lease can be valid.
    fn continue_transfer(&mut self, now: Tenths) {
        let last = self.persistent.log.last().1;
        let Role::Leader(leader) = &self.role else { return };
        // A lease granted before the transfer began may be used until `not_before`.
        let Some(transfer) = leader.transfer.filter(|transfer| now >= transfer.not_before) else { return };
        let to = transfer.to;
        let caught_up = leader.followers.iter().any(|(v, p)| v.seat == to && p.match_number == last);
        if !caught_up {
            // The next answer of the successor continues the transfer; no timer is needed before the
            // deadline.
            if let Role::Leader(leader) = &mut self.role {
                leader.transfer = Some(LeadershipTransfer { not_before: Tenths(0), ..transfer });
            }
        } else {
            let term = self.persistent.term;
            self.send(to, Message::TimeoutNow { term });
            if !self.planted.has(Fault::TransferKeepsMandate) {
                self.step_down(now, "handed over");
                // Leaves the successor time to start its election first.
                self.election_at = now + self.settings.hold_time + self.election_delay();
            }
        }
    }

    /// The leader asks this instance to take over (`TimeoutNow` in the thesis, section 3.10).
    fn on_timeout_now(&mut self, now: Tenths, from: Seat, term: Term) {
        if term == self.persistent.term && self.leader == Some(from) && !self.is_leader() && self.can_vote() {
            self.start_election(now, Some(term));
            self.count_votes(now);
        }
    }

    // --- Catching up --------------------------------------------------------------------------------

    /// Another instance reported its last committed entry. Fetches what is missing here.
    pub fn on_peer_commit(&mut self, now: Tenths, from: Seat, committed: (Term, Number)) {
        // An accepted era begins with the log of its leader, which may lack what a peer had committed before.
        let precedes_era = self.pending_first_term().is_some_and(|first_term| committed.0 < first_term);
        if committed > self.committed() && now >= self.catch_up_at && !precedes_era {
            self.start_catch_up(now, from);
        }
    }

    fn start_catch_up(&mut self, now: Tenths, from: Seat) {
        if self.catch_up.is_none() {
            let until = now + Tenths(self.settings.round_trip.0 * 2);
            let pieces = Vec::new();
            self.catch_up = Some(CatchUp { from, until, snapshot_number: Number(0), pieces, next: 0 });
            let after = self.committed();
            self.send(from, Message::Fetch { after, piece: 0, snapshot_number: Number(0) });
        }
    }

    /// Answers with committed entries if all that the peer lacks are still kept, otherwise with a piece of
    /// the snapshot.
    fn on_fetch(&mut self, from: Seat, after: (Term, Number), piece: u16, snapshot_number: Number) {
        let log = &self.persistent.log;
        let has_entries = log.term_at(after.1) == Some(after.0) && after.1 >= log.base_number();
        if has_entries && snapshot_number == Number(0) {
            let committed = log.entries_after(after.1).take_while(|e| e.number <= log.commit_number());
            let entries = take_fitting(committed, MAX_BODY_BYTES - FETCHED_ENTRIES_OVERHEAD);
            if !entries.is_empty() {
                self.send(from, Message::FetchedEntries { entries });
            }
            return;
        }
        let snapshot = ::postcard::to_allocvec(log.committed()).expect("plain values have an encoding");
        let total = snapshot.len().div_ceil(SNAPSHOT_PIECE_BYTES);
        // The snapshot may have changed since the first piece was sent; then it is sent from the start again.
        let piece = if snapshot_number == log.commit_number() { usize::from(piece) } else { 0 };
        if total * SNAPSHOT_PIECE_BYTES > MAX_SNAPSHOT_BYTES || piece >= total {
            return;
        }
        let bytes =
            snapshot[piece * SNAPSHOT_PIECE_BYTES..].iter().take(SNAPSHOT_PIECE_BYTES).copied().collect();
        let (snapshot_number, total, piece) = (log.commit_number(), total as u16, piece as u16);
        self.send(from, Message::SnapshotPiece { snapshot_number, total, piece, bytes });
    }

    fn on_fetched_entries(&mut self, now: Tenths, from: Seat, entries: Vec<Entry>) {
        let requested = self.catch_up.as_ref().is_some_and(|c| c.from == from);
        if !requested {
            return;
        }
        self.catch_up = None;
        for entry in entries {
            let term = entry.term;
            let new = self.persistent.log.store_committed(entry);
            if !new.is_empty() {
                self.bootstrap_promise = None;
                self.advance_term(now, term);
            }
            self.on_committed(now, new);
        }
        self.catch_up_at = now;
    }

    /// Collects the pieces of a snapshot, asks for the next missing one, and installs the snapshot once it is
    /// complete.
    fn on_snapshot_piece(
        &mut self, now: Tenths, from: Seat, snapshot_number: Number, total: u16, piece: u16, bytes: Vec<u8>,
    ) {
        let round_trip = self.settings.round_trip;
        let Some(catch_up) = self.catch_up.as_mut().filter(|c| c.from == from) else { return };
        if catch_up.snapshot_number != snapshot_number || catch_up.pieces.len() != usize::from(total) {
            catch_up.snapshot_number = snapshot_number;
            catch_up.pieces = vec![None; usize::from(total)];
            catch_up.next = 0;
        }
        catch_up.pieces[usize::from(piece)] = Some(bytes);
        catch_up.until = now + Tenths(round_trip.0 * 2);
        if let Some(missing) = catch_up.pieces.iter().position(Option::is_none) {
            let after = self.committed();
            return self.send(from, Message::Fetch { after, piece: missing as u16, snapshot_number });
        }
        let bytes: Vec<u8> = std::mem::take(&mut catch_up.pieces).into_iter().flatten().flatten().collect();
        self.catch_up = None;
        self.catch_up_at = now;
        let Ok(snapshot) = ::postcard::from_bytes::<Snapshot>(&bytes) else { return };
        let term = snapshot.term;
        if snapshot.number == snapshot_number
            && !self.is_leader()
            && self.persistent.log.install_snapshot(snapshot)
        {
            // What the initiator of a bootstrap was told of this log no longer holds.
            self.bootstrap_promise = None;
            self.persistence.mark_dirty();
            self.advance_term(now, term);
            self.events.push(Event::SnapshotInstalled { number: snapshot_number });
        }
    }

    // --- Bootstrap ----------------------------------------------------------------------------------

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
    fn tick_bootstrap(&mut self, now: Tenths, members: &Members) {
        let is_over = self
            .bootstrap
            .as_ref()
            .is_some_and(|bootstrap| bootstrap.proposal.is_some() && !self.is_bootstrap_pending());
        if self.is_leader() || is_over {
            self.bootstrap = None;
        }
        if let Some(bootstrap) = &self.bootstrap {
            if now >= bootstrap.until {
                // Only this process could propose the era's configuration and it no longer will, so its own
                // promise is void.
                (self.bootstrap, self.bootstrap_promise) = (None, None);
                self.bootstrap_at = now + self.settings.hold_time + self.jitter();
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
        let Some(index) = pool.iter().position(|seat| *seat == self.id.seat) else { return };
        if self.is_leader() || matches!(self.role, Role::BootstrapLeader { .. }) {
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
            // The index in the pool makes the era unique to this seat. The era is not below the start time of
            // this process in ms, so eras rise even if no instance has the last one in its persistent state.
            let started = Era(self.life.0 / 10);
            let past = started.max(self.highest_era).max(self.persistent.term.era()).0;
            let era = Era((past / ERA_STRIDE + 1) * ERA_STRIDE + index as u64);
            let until = now + Tenths(hold.0 * BOOTSTRAP_TIMEOUT_HOLDS);
            self.bootstrap_promise = Some(BootstrapPromise { era, initiator: self.life });
            self.highest_era = era;
            let answers = BTreeMap::from([(self.id.seat, self.bootstrap_status())]);
            self.bootstrap = Some(Bootstrap { era, answers, proposal: None, until, resend_at: now });
            self.send_bootstrap_messages(now);
        }
    }

    /// What this instance tells the initiator of a bootstrap about its state.
    fn bootstrap_status(&self) -> BootstrapStatus {
        let era = self.highest_era.max(self.persistent.term.era());
        BootstrapStatus { era, memory: self.id.memory, last: self.persistent.log.last() }
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
    /// leader, has promised a later era, has a term of this era or a later one, or is not in the pool.
    fn on_bootstrap_request(&mut self, now: Tenths, from: Seat, era: Era, initiator: Life) {
        let has_leader = self.is_leader() || (self.leader.is_some() && now < self.hold_until);
        let promised_later = self.bootstrap_promise.is_some_and(|promise| promise.era > era);
        let refused = has_leader
            || promised_later
            || era <= self.persistent.term.era()
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
    fn on_bootstrap_answer(
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
        let Some((seat, longest)) = answers.iter().max_by_key(by_log) else { return };
        let leader = Voter { seat: *seat, memory: longest.memory };
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
    fn on_bootstrap_proposal(
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

    fn resend_bootstrap_ack(&mut self, now: Tenths) {
        let interval = self.settings.heartbeat_interval();
        let Some(ack) = &mut self.bootstrap_ack else { return };
        if now >= ack.resend_at {
            ack.resend_at = now + interval;
            let (era, initiator, to) = (ack.era, ack.initiator, ack.leader);
            self.send(to, Message::BootstrapAck { era, initiator });
        }
    }

    fn on_bootstrap_ack(&mut self, now: Tenths, from: Seat, era: Era, acked_initiator: Life) {
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
    fn lead_if_acknowledged(&mut self, now: Tenths) {
        let pool = self.bootstrap_pool();
        let persisted = self.persistence.is_persisted();
        let Role::BootstrapLeader { acknowledged, .. } = &self.role else { return };
        if persisted && pool.iter().all(|seat| acknowledged.contains(seat)) {
            self.become_leader(now);
        }
    }

    /// Handles a Raft message from the instance at `from`. SWIM's messages are ignored here.
    pub fn on_message(&mut self, now: Tenths, from: Seat, message: Message) {
        let voter = |memory| Voter { seat: from, memory };
        match message {
            Message::PreVoteRequest { term, memory, last } => self.on_pre_vote(now, from, term, memory, last),
            Message::PreVoteAnswer { term, memory, granted, own_term } => {
                self.on_pre_vote_answer(now, voter(memory), term, granted, own_term);
            }
            Message::VoteRequest { term, memory, last, transfer_term } => {
                self.on_vote_request(now, from, term, memory, last, transfer_term);
            }
            Message::VoteAnswer { term, memory, granted } => {
                self.on_vote_answer(now, voter(memory), term, granted);
            }
            Message::AppendRequest { term, memory: _, append_id, previous, commit, entries } => {
                self.on_append(now, from, term, append_id, previous, commit, entries);
            }
            Message::AppendAnswer { term, memory, append_id, matched, last, commit } => {
                self.on_append_answer(now, voter(memory), term, append_id, matched, last, commit);
            }
            Message::TimeoutNow { term } => self.on_timeout_now(now, from, term),
            Message::Fetch { after, piece, snapshot_number } => {
                self.on_fetch(from, after, piece, snapshot_number)
            }
            Message::FetchedEntries { entries } => self.on_fetched_entries(now, from, entries),
            Message::SnapshotPiece { snapshot_number, total, piece, bytes } => {
                self.on_snapshot_piece(now, from, snapshot_number, total, piece, bytes);
            }
            Message::BootstrapRequest { era, initiator } => {
                self.on_bootstrap_request(now, from, era, initiator)
            }
            Message::BootstrapAnswer { era, initiator, refused, status } => {
                self.on_bootstrap_answer(now, from, era, initiator, refused, status);
            }
            Message::BootstrapProposal { era, initiator, voters, leader } => {
                self.on_bootstrap_proposal(now, era, initiator, voters, leader);
            }
            Message::BootstrapAck { era, initiator } => self.on_bootstrap_ack(now, from, era, initiator),
            Message::Hello | Message::Welcome { .. } => {}
            Message::Ping { .. } | Message::Ack { .. } | Message::PingReq { .. } => {}
        }
    }
}
