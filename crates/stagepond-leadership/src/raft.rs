//! Raft among a few voters: elections, leader leases and log replication.
//!
//! This follows Raft (Ongaro and Ousterhout 2014) and Ongaro's thesis (2014), with pre-vote, leader leases
//! (thesis, section 6.4.1), leadership transfer (thesis, section 3.10) and joint consensus for membership
//! changes (paper, section 6). One addition is the bootstrap: it starts a new era when no quorum of voters is
//! left that still has its persistent state.
//!
//! The parts of the node's behaviour have submodules: elections, replication, membership changes, catching up
//! and the bootstrap. This one has the types, the timers and the order of work.
//!
//! [`RaftNode`] owns the persistent state: term, vote and log. It must never send a message that depends on
//! state which is not persisted yet, act as leader after its lease has expired, or vote as a [`Voter`] whose
//! persistent state it does not have.

mod bootstrap;
mod catch_up;
mod election;
mod membership;
mod replication;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

use serde::{Deserialize, Serialize};

use self::bootstrap::{Bootstrap, BootstrapAck, BootstrapPromise, BOOTSTRAP_TIMEOUT_HOLDS};
use self::catch_up::CatchUp;
use crate::ids::*;
use crate::lease::LeaderLease;
use crate::log::*;
use crate::members::Members;
use crate::persistence::PersistenceTracker;
use crate::planted::{Fault, Planted};
use crate::settings::Settings;
use crate::wire::*;

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

impl Progress {
    /// What is known of a follower before its first answer.
    fn new(now: Tenths, next_number: Number) -> Progress {
        Progress {
            match_number: Number(0),
            next_number,
            last_sent_id: 0,
            last_answered_id: 0,
            answered_at: now,
            responsive_since: now,
        }
    }
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

/// What a step changed that the host must know.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// This instance leads, with the first lease of its term.
    BecameLeader(LeaderLease),
    /// This instance no longer leads.
    SteppedDown { term: Term, reason: &'static str },
    /// An entry was committed, under the position that it has here; the leader of its term gets a lease with it.
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
    /// Processes of an earlier protocol version, by seat.
    older_peers: BTreeMap<Seat, ProtocolVersion>,
    bootstrap_ack: Option<BootstrapAck>,
    /// When an era that this instance has accepted should have begun.
    bootstrap_overdue_at: Tenths,
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
        self.bootstrap_overdue_at.hash(state);
        (&self.persistence, self.last_append_id, &self.older_peers).hash(state);
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
            older_peers: BTreeMap::new(),
            bootstrap_ack: None,
            bootstrap_overdue_at: now + Tenths(hold.0 * BOOTSTRAP_TIMEOUT_HOLDS),
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

    /// A datagram arrived from a process of this protocol version. A process that was not reported counts as one
    /// of the current version.
    pub fn on_peer_protocol(&mut self, seat: Seat, protocol: ProtocolVersion) {
        if protocol < ProtocolVersion::CURRENT {
            self.older_peers.insert(seat, protocol);
        } else {
            self.older_peers.remove(&seat);
        }
    }

    fn protocol_of(&self, seat: Seat) -> ProtocolVersion {
        self.older_peers.get(&seat).copied().unwrap_or(ProtocolVersion::CURRENT)
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
