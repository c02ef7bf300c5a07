//! All of leadership behind one step function.
//!
//! A datagram, the passing of time, a completed write or a command goes in; effects come out. The order of
//! work within a step is fixed here. No clock is read and all random numbers come from the seed, so equal
//! inputs give equal effects.

use std::collections::BTreeMap;
use std::fmt;

use crate::ids::*;
use crate::lease::LeaderLease;
use crate::log::{Command, Entry};
use crate::members::Members;
use crate::planted::{Fault, Planted};
use crate::raft::{CommandError, Event, PersistentState, RaftNode};
use crate::seal::{DropReason, Key, KeySet, Sealer};
use crate::settings::Settings;
use crate::wire::{Gossip, Health, Message};

/// An input from the host to an instance.
#[derive(Clone, Debug)]
pub enum Input<'a> {
    /// A datagram from another instance, as received.
    Datagram(&'a [u8]),
    /// Time has passed.
    Tick,
    /// The persistent state of this version, and of all earlier ones, survives a crash.
    Persisted(u64),
    /// A command for the replicated log.
    Command(Command),
    /// Transfer leadership to this seat.
    TransferLeadership(Seat),
    /// The instance is about to shut down.
    Leave,
    /// Seal with a new key from now on; datagrams sealed with the previous key are accepted until
    /// `old_until`.
    NewKey { key: Key, old_until: Tenths },
    /// Accept datagrams sealed with this key until `until`, without sealing with it.
    AcceptKey { key: Key, until: Tenths },
}

/// What an instance asks of the host or reports to it.
#[derive(Clone, PartialEq)]
pub enum Effect {
    /// Send a datagram to the instance at a seat.
    Send { to: Seat, bytes: Vec<u8> },
    /// Write this state atomically, flush it, and answer with [`Input::Persisted`]. There is no further one
    /// before that answer, so that a write can't be overtaken by an earlier one.
    Persist { version: u64, state: Vec<u8> },
    /// This instance leads, with the first lease of its term.
    BecameLeader(LeaderLease),
    /// This instance no longer leads.
    SteppedDown { term: Term, reason: &'static str },
    /// An entry was committed. Reported in log order, once for each entry and process, and once more when a
    /// leader proposes the same command again. Only the leader gets a lease to act on it.
    Committed { entry: Entry, lease: Option<LeaderLease> },
    /// A snapshot was installed: the host must read the committed state again.
    SnapshotInstalled { number: Number },
    /// This instance accepted the configuration of a new era. The era begins once the whole pool has.
    Bootstrapped { era: Era },
    /// A command or a leadership transfer was not accepted.
    Rejected { command: Command, reason: CommandError },
    /// The health of another instance changed.
    MemberChanged { seat: Seat, health: Health },
}

/// Prints the names that the output of `stagepond-lab replay-leadership` has, which differ from those in the
/// code.
impl fmt::Debug for Effect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Effect::Send { to, bytes } => {
                f.debug_struct("Send").field("to", to).field("bytes", bytes).finish()
            }
            Effect::Persist { version, state } => {
                f.debug_struct("Keep").field("number", version).field("promises", state).finish()
            }
            Effect::BecameLeader(lease) => f.debug_tuple("Leads").field(lease).finish(),
            Effect::SteppedDown { term, reason } => {
                f.debug_struct("SteppedDown").field("term", term).field("why", reason).finish()
            }
            Effect::Committed { entry, lease } => {
                f.debug_struct("InForce").field("entry", entry).field("mandate", lease).finish()
            }
            Effect::SnapshotInstalled { number } => {
                f.debug_struct("CaughtUp").field("number", number).finish()
            }
            Effect::Bootstrapped { era } => f.debug_struct("Founded").field("era", era).finish(),
            Effect::Rejected { command, reason } => {
                f.debug_struct("Refused").field("decree", command).field("why", reason).finish()
            }
            Effect::MemberChanged { seat, health } => {
                f.debug_struct("Member").field("seat", seat).field("health", health).finish()
            }
        }
    }
}

/// A summary of an instance's state for operators and monitoring.
#[derive(Clone, Debug, PartialEq)]
pub struct Status {
    /// The seat of this instance.
    pub seat: Seat,
    /// The life of this instance's process.
    pub life: Life,
    /// The current Raft term.
    pub term: Term,
    /// The leader of the term, if known.
    pub leader: Option<Seat>,
    /// Whether this instance leads; it may still lack a valid lease.
    pub is_leader: bool,
    /// Term and position of the last committed entry.
    pub committed: (Term, Number),
    /// The current voters; the old configuration during a membership change.
    pub voters: Vec<Voter>,
    /// Whether a membership change is in progress.
    pub voters_changing: bool,
    /// Members by health; `dead` includes those that left.
    pub alive: usize,
    /// Members under suspicion.
    pub suspect: usize,
    /// Members that are dead or have left.
    pub dead: usize,
    /// Datagrams dropped since the start, by reason.
    pub dropped: BTreeMap<DropReason, u64>,
}

/// One process's part in leadership.
pub struct Instance {
    settings: Settings,
    sealer: Sealer,
    members: Members,
    raft: RaftNode,
    /// The host's clock at the last input.
    last_input_at: Tenths,
    /// Added to the host's clock so that the time inside the instance never goes back.
    clock_offset: Tenths,
    planted: Planted,
    /// For each seat, when the next `Welcome` may be sent to a process that addressed an earlier process
    /// here.
    next_welcome_at: BTreeMap<Seat, Tenths>,
}

/// The parameters of a new [`Instance`].
pub struct InstanceConfig {
    /// The host's clock at the start.
    pub now: Tenths,
    /// The seat of this instance.
    pub seat: Seat,
    /// Must be higher than that of any earlier process at this seat; the time of day serves.
    pub life: Life,
    /// Seeds the random generators.
    pub seed: u64,
    /// The validated settings.
    pub settings: Settings,
    /// The keys that seal and open datagrams.
    pub keys: KeySet,
    /// The state that an earlier process wrote to disk, if there is a disk.
    pub persisted: Option<PersistentState>,
    /// Faults that a test switches on; none in production.
    pub planted: Planted,
}

impl Instance {
    /// Starts an instance. Persisted state of another seat is ignored.
    pub fn new(config: InstanceConfig) -> Instance {
        let InstanceConfig { now, seat, life, seed, settings, keys, persisted, planted } = config;
        let empty = PersistentState::empty(seat, Memory(life.0));
        let persistent = match persisted.filter(|p| p.seat == seat) {
            Some(persisted) if planted.has(Fault::TermForgotten) => {
                PersistentState { memory: persisted.memory, ..empty }
            }
            Some(persisted) if planted.has(Fault::VoteForgotten) => {
                PersistentState { voted_for: None, ..persisted }
            }
            Some(persisted) => persisted,
            None => empty,
        };
        Instance {
            sealer: Sealer::new(seat, life, settings.seats, keys),
            members: Members::new(now, seat, life, persistent.memory, &settings, seed),
            raft: RaftNode::new(now, life, persistent, &settings, seed, planted),
            settings,
            last_input_at: now,
            clock_offset: Tenths(0),
            planted,
            next_welcome_at: BTreeMap::new(),
        }
    }

    /// The Raft state of this instance.
    pub fn raft(&self) -> &RaftNode {
        &self.raft
    }
    /// What this instance knows of the other members.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// The lease at `now`, on the host's clock; `None` if this instance may not act.
    pub fn lease(&self, now: Tenths) -> Option<LeaderLease> {
        if now < self.last_input_at {
            return None;
        }
        let lease = self.raft.lease(now + self.clock_offset)?;
        Some(self.on_host_clock(lease))
    }

    /// A summary of the current state.
    pub fn status(&self) -> Status {
        let voters = self.raft.voters();
        Status {
            seat: self.raft.id().seat,
            life: self.members.life(),
            term: self.raft.term(),
            leader: self.raft.leader(),
            is_leader: self.raft.is_leader(),
            committed: self.raft.committed(),
            voters_changing: voters.change.is_some(),
            voters: voters.now,
            alive: self.members.count(Health::Alive),
            suspect: self.members.count(Health::Suspect),
            dead: self.members.count(Health::Dead) + self.members.count(Health::Left),
            dropped: DropReason::ALL.iter().map(|d| (*d, self.sealer.dropped[*d as usize])).collect(),
        }
    }

    /// The latest time, on the host's clock, at which the next [`Input::Tick`] must arrive.
    pub fn next_due(&self) -> Tenths {
        let due = self.members.next_due().min(self.raft.next_due()) - self.clock_offset;
        // A longer silence would be taken for a pause of this process.
        due.min(self.last_input_at + Tenths(self.settings.max_input_gap().0 / 2))
    }

    /// Processes one input at `now`, on the host's clock.
    pub fn step(&mut self, now: Tenths, input: Input) -> Vec<Effect> {
        let mut effects = Vec::new();
        let now = self.advance_clock(now);
        let mut outbox = Vec::new();
        // Leases and timeouts that have expired must take effect before the input does.
        self.raft.tick(now, &self.members);
        match input {
            Input::Datagram(bytes) => self.on_datagram(now, bytes, &mut outbox),
            Input::Tick => {}
            Input::Persisted(version) => self.raft.on_persisted(now, version),
            Input::Command(command) => {
                if let Err(reason) = self.raft.propose(now, command.clone()) {
                    effects.push(Effect::Rejected { command, reason });
                }
            }
            Input::TransferLeadership(seat) => {
                if let Err(reason) = self.raft.transfer_leadership(now, seat) {
                    effects.push(Effect::Rejected { command: Command::Opening, reason });
                }
            }
            Input::Leave => {
                self.raft.transfer_before_leaving(now);
                let committed = self.raft.committed();
                self.members.leave(committed, &mut outbox);
            }
            Input::NewKey { key, old_until } => {
                self.sealer.keys().rotate(key, old_until + self.clock_offset);
            }
            Input::AcceptKey { key, until } => self.sealer.keys().accept(key, until + self.clock_offset),
        }
        let committed = self.raft.committed();
        if now >= self.members.next_due() {
            self.members.tick(now, committed, &mut outbox);
        }
        if now >= self.raft.next_due() {
            self.raft.tick(now, &self.members);
        }
        let (version_to_persist, messages) = self.raft.finish_step(now);
        outbox.extend(messages);
        if let Some(version) = version_to_persist {
            effects.push(Effect::Persist { version, state: self.raft.persistent_state().encode() });
        }
        for (to, message) in outbox {
            if usize::from(to.0) < usize::from(self.settings.seats) && to != self.raft.id().seat {
                effects.push(self.send_effect(to, &message));
            }
        }
        let events: Vec<Event> = self.raft.events.drain(..).collect();
        effects.extend(events.into_iter().map(|event| self.effect_of(event)));
        let changes: Vec<_> = self.members.changes.drain(..).collect();
        for state in changes {
            self.sealer.learn_peer_life(state.seat, state.life);
            effects.push(Effect::MemberChanged { seat: state.seat, health: state.health });
        }
        effects
    }

    /// The effect that sends a message, or a `Hello` in its place while the recipient's life is unknown.
    fn send_effect(&mut self, to: Seat, message: &Message) -> Effect {
        // While the life of the recipient is unknown, only `Hello` and `Welcome` may be sent to it.
        let life_unknown = self.sealer.peer_life(to) == Life(0);
        let sends_hello = life_unknown && !matches!(message, Message::Welcome { .. });
        let body = if sends_hello { Message::Hello.encode() } else { message.encode() };
        Effect::Send { to, bytes: self.sealer.seal(to, &body) }
    }

    /// Converts the expiry of a lease from the instance's clock to the host's.
    fn on_host_clock(&self, lease: LeaderLease) -> LeaderLease {
        let expires_at = lease.expires_at() - self.clock_offset;
        LeaderLease::new(lease.term(), lease.holder(), lease.commit_number(), expires_at, self.planted)
    }

    fn effect_of(&self, event: Event) -> Effect {
        match event {
            Event::BecameLeader(lease) => Effect::BecameLeader(self.on_host_clock(lease)),
            Event::SteppedDown { term, reason } => Effect::SteppedDown { term, reason },
            Event::Committed { entry, lease } => {
                Effect::Committed { entry, lease: lease.map(|lease| self.on_host_clock(lease)) }
            }
            Event::SnapshotInstalled { number } => Effect::SnapshotInstalled { number },
            Event::Bootstrapped { era } => Effect::Bootstrapped { era },
        }
    }

    /// Converts the host's time to the instance's time, which never goes back.
    ///
    /// If the clock was stepped back, or no input came for longer than [`Settings::max_input_gap`], the time
    /// that really passed is unknown, and all timers that depend on it start again.
    fn advance_clock(&mut self, now: Tenths) -> Tenths {
        let went_back = now < self.last_input_at;
        let gap = now > self.last_input_at + self.settings.max_input_gap();
        if went_back {
            self.clock_offset = self.clock_offset + (self.last_input_at - now);
        }
        self.last_input_at = now;
        let instance_time = now + self.clock_offset;
        if went_back || gap {
            self.raft.on_clock_anomaly(instance_time, went_back);
            self.members.on_clock_anomaly(instance_time);
        }
        instance_time
    }

    fn on_datagram(&mut self, now: Tenths, bytes: &[u8], outbox: &mut Vec<(Seat, Message)>) {
        let Some(opened) = self.sealer.open(now, bytes) else { return };
        let (from, life, to_me) = (opened.from, opened.life, opened.to_me);
        let Some(message) = Message::decode(opened.body) else {
            return self.sealer.count_dropped(DropReason::Garbled);
        };
        if !to_me {
            return self.on_unknown_process(now, from, life, message, outbox);
        }
        self.members.on_heard_from(now, from, life);
        self.raft.on_peer_protocol(from, opened.protocol);
        match message {
            Message::Hello => outbox.push((from, Message::Welcome { highest_life: life })),
            Message::Welcome { .. } => {
                let committed = self.raft.committed();
                self.members.on_ping(from, 0, committed, outbox);
            }
            Message::Ping { nonce, gossip } => {
                self.on_gossip(now, from, gossip);
                let committed = self.raft.committed();
                self.members.on_ping(from, nonce, committed, outbox);
            }
            Message::Ack { nonce, gossip } => {
                self.on_gossip(now, from, gossip);
                let committed = self.raft.committed();
                self.members.on_ack(now, from, nonce, committed, outbox);
            }
            Message::PingReq { nonce, target, gossip } => {
                self.on_gossip(now, from, gossip);
                let committed = self.raft.committed();
                self.members.on_ping_req(now, from, nonce, target, committed, outbox);
            }
            message => self.raft.on_message(now, from, message),
        }
    }

    /// Handles a message from a process that does not know this one, or that is no longer known here.
    ///
    /// Such a message may be an old datagram that was recorded and replayed, so its content is ignored. Its
    /// sender gets a `Welcome` with the highest life known, at a limited rate.
    fn on_unknown_process(
        &mut self, now: Tenths, from: Seat, life: Life, message: Message, outbox: &mut Vec<(Seat, Message)>,
    ) {
        let known = self.sealer.peer_life(from);
        match message {
            Message::Welcome { highest_life } if highest_life >= self.members.life() && life == known => {
                // The clock went back between two processes at this seat: the new life must exceed the old
                // one.
                let life = Life(highest_life.0 + 1);
                self.sealer.set_own_life(life);
                self.members.set_own_life(life);
            }
            Message::Welcome { .. } => {}
            _ if self.next_welcome_at.get(&from).is_none_or(|at| now >= *at) => {
                self.next_welcome_at.insert(from, now + Tenths(self.settings.round_trip.0 / 2));
                self.sealer.learn_peer_life(from, life);
                outbox.push((from, Message::Welcome { highest_life: self.sealer.peer_life(from) }));
            }
            _ => {}
        }
    }

    fn on_gossip(&mut self, now: Tenths, from: Seat, gossip: Gossip) {
        for state in gossip.members {
            self.members.merge(now, state);
        }
        self.raft.on_peer_commit(now, from, gossip.committed);
    }
}
