//! Model check of the Raft node with stateright: every order of deliveries, losses, duplicates, steps of time
//! and restarts without memory, to a given depth, from a group of three that was just bootstrapped.
//!
//! All nodes share one clock, which moves by half a hold time. Clock drift and finer times are covered by the
//! simulation. The properties are checked on the states themselves.

use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use stagepond_leadership::ids::*;
use stagepond_leadership::log::{Command, VoteChoice};
use stagepond_leadership::members::Members;
use stagepond_leadership::planted::{Fault as PlantedFault, Planted};
use stagepond_leadership::raft::{Event, PersistentState, RaftNode};
use stagepond_leadership::settings::Settings;
use stagepond_leadership::wire::{Health, MemberState, Message};
use stateright::{Checker, Model, Property};

const SEATS: u16 = 3;
/// Messages in flight at most; a further one displaces the oldest, which counts as a loss.
const MAX_MESSAGES_IN_FLIGHT: usize = 6;

#[derive(Clone)]
struct Node {
    raft: RaftNode,
    members: Arc<Members>,
}

/// A state of the model. States with equal hashes count as equal.
#[derive(Clone)]
pub struct State {
    nodes: Vec<Node>,
    /// Messages in flight: from, to and content.
    messages: Vec<(Seat, Seat, Message)>,
    now: Tenths,
    /// The life of the process that was restarted last.
    last_life: u64,
    restarts_left: u8,
    duplicates_left: u8,
    commands_left: u8,
    time_steps_left: u8,
    /// The entries that some node has committed, by number.
    committed: Vec<(u64, Term, Command)>,
    /// Whether two different entries were committed under one number.
    conflict: bool,
}

impl std::fmt::Debug for State {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let terms: Vec<_> = self.nodes.iter().map(|n| (n.raft.term(), n.raft.is_leader())).collect();
        write!(f, "at {:?}: {terms:?}, in flight {:?}", self.now, self.messages)
    }
}

impl Hash for State {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.nodes.iter().for_each(|n| n.raft.hash(state));
        self.messages.hash(state);
        (self.now, self.last_life).hash(state);
        (self.restarts_left, self.duplicates_left, self.commands_left, self.time_steps_left).hash(state);
        (&self.committed, self.conflict).hash(state);
    }
}

impl PartialEq for State {
    fn eq(&self, other: &State) -> bool {
        let hash = |state: &State| {
            let mut hasher = std::hash::DefaultHasher::new();
            state.hash(&mut hasher);
            hasher.finish()
        };
        hash(self) == hash(other)
    }
}

/// A transition of the model.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Delivers the message in flight with this index.
    Deliver(usize),
    /// Delivers a message that stays in flight, so it can arrive again.
    Duplicate(usize),
    /// Half a hold time passes for all nodes.
    AdvanceTime,
    /// A node restarts without memory; messages to it are lost.
    RestartWithoutMemory(Seat),
    /// A leader proposes a command.
    Propose(Seat),
    /// A leader transfers its leadership: from, to.
    Transfer(Seat, Seat),
}

/// The model of a group: how much may happen on one path, and the mistake in the implementation, if any.
#[derive(Clone, Debug)]
pub struct GroupModel {
    /// Restarts without memory at most.
    pub max_restarts: u8,
    /// Duplicated messages at most.
    pub max_duplicates: u8,
    /// Commands and leadership transfers at most, taken together.
    pub max_commands: u8,
    /// Steps of time at most.
    pub max_time_steps: u8,
    /// The deliberate mistake in the implementation.
    pub planted: Option<PlantedFault>,
}

fn settings() -> Settings {
    Settings {
        hold_time: Tenths(1000),
        clock_drift: 0.0,
        lease_margin: Tenths(0),
        max_grant_time: Tenths(200),
        round_trip: Tenths(1),
        probe_interval: Tenths(10),
        prefer_lowest_seat: false,
        ..Settings::default_for(SEATS)
    }
}

impl GroupModel {
    fn planted(&self) -> Planted {
        self.planted.map_or(Planted::default(), Planted::new)
    }

    /// A node that starts without persistent state and knows the other members and their lives.
    fn start_node(&self, seat: Seat, life: Life, now: Tenths, lives: &[(Seat, Life)]) -> Node {
        let persisted = PersistentState::empty(seat, Memory(life.0));
        let raft = RaftNode::new(now, life, persisted, &settings(), 0, self.planted());
        let mut members = Members::new(now, seat, life, Memory(life.0), &settings(), 0);
        for (other, life) in lives.iter().filter(|(other, _)| *other != seat) {
            let member = MemberState {
                seat: *other,
                life: *life,
                incarnation: 0,
                health: Health::Alive,
                suspected_by: *other,
                memory: Some(Memory(life.0)),
            };
            members.merge(now, member);
        }
        Node { raft, members: Arc::new(members) }
    }
}

impl State {
    /// Adds the entries that became committed and notes a conflict with earlier ones.
    fn record_committed(&mut self, events: Vec<Event>) {
        for event in events {
            let Event::Committed { entry, .. } = event else { continue };
            let (number, term) = (entry.number.0, entry.term);
            match self.committed.iter().find(|(n, ..)| *n == number) {
                Some((_, known_term, known_command)) => {
                    self.conflict |= (*known_term, known_command) != (term, &entry.command);
                }
                None => {
                    self.committed.push((number, term, entry.command));
                    self.committed.sort_by_key(|(n, ..)| *n);
                }
            }
        }
    }

    /// Runs a call on a node, then its timer if it is due, and puts its messages in flight.
    fn step(&mut self, seat: Seat, call: impl FnOnce(&mut RaftNode, Tenths, &Members)) {
        let now = self.now;
        let node = &mut self.nodes[usize::from(seat.0)];
        call(&mut node.raft, now, &node.members);
        if now >= node.raft.next_due() {
            node.raft.tick(now, &node.members);
        }
        let (_, sent) = node.raft.finish_step(now);
        let events = std::mem::take(&mut node.raft.events);
        self.record_committed(events);
        for (to, message) in sent {
            if usize::from(to.0) < self.nodes.len() {
                self.messages.push((seat, to, message));
            }
        }
        while self.messages.len() > MAX_MESSAGES_IN_FLIGHT {
            self.messages.remove(0);
        }
    }

    fn lease_holder_count(&self) -> usize {
        self.nodes.iter().filter(|n| n.raft.lease(self.now).is_some()).count()
    }
}

impl Model for GroupModel {
    type State = State;
    type Action = Action;

    /// A bootstrapped group whose leader holds a lease, with no message in flight.
    fn init_states(&self) -> Vec<State> {
        let lives: Vec<(Seat, Life)> = (0..SEATS).map(|s| (Seat(s), Life(1000 + u64::from(s)))).collect();
        let now = Tenths(0);
        let nodes = lives.iter().map(|(seat, life)| self.start_node(*seat, *life, now, &lives)).collect();
        let mut state = State {
            nodes,
            messages: Vec::new(),
            now,
            last_life: 2000,
            restarts_left: self.max_restarts,
            duplicates_left: self.max_duplicates,
            commands_left: self.max_commands,
            time_steps_left: self.max_time_steps,
            committed: Vec::new(),
            conflict: false,
        };
        for _ in 0..400 {
            state.now = state.now + Tenths(10);
            for seat in (0..SEATS).map(Seat) {
                state.step(seat, |_, _, _| ());
            }
            while !state.messages.is_empty() {
                let (from, to, message) = state.messages.remove(0);
                state.step(to, |raft, now, _| raft.on_message(now, from, message));
            }
            if state.lease_holder_count() == 1 {
                break;
            }
        }
        assert_eq!(state.lease_holder_count(), 1, "a group without faults elects a leader");
        vec![state]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        for index in 0..state.messages.len() {
            actions.push(Action::Deliver(index));
            if state.duplicates_left > 0 {
                actions.push(Action::Duplicate(index));
            }
        }
        if state.time_steps_left > 0 {
            actions.push(Action::AdvanceTime);
        }
        for seat in (0..SEATS).map(Seat) {
            if state.restarts_left > 0 {
                actions.push(Action::RestartWithoutMemory(seat));
            }
            let is_leader = state.nodes[usize::from(seat.0)].raft.is_leader();
            if is_leader && state.commands_left > 0 {
                actions.push(Action::Propose(seat));
                actions.push(Action::Transfer(seat, Seat((seat.0 + 1) % SEATS)));
            }
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Deliver(index) => {
                let (from, to, message) = state.messages.remove(index);
                state.step(to, |raft, now, _| raft.on_message(now, from, message));
            }
            Action::Duplicate(index) => {
                state.duplicates_left -= 1;
                let (from, to, message) = state.messages[index].clone();
                state.step(to, |raft, now, _| raft.on_message(now, from, message));
            }
            Action::AdvanceTime => {
                state.time_steps_left -= 1;
                state.now = state.now + Tenths(settings().hold_time.0 / 2 + 1);
                for seat in (0..SEATS).map(Seat) {
                    state.step(seat, |raft, now, members| raft.tick(now, members));
                }
            }
            Action::RestartWithoutMemory(seat) => {
                state.restarts_left -= 1;
                state.last_life += 1;
                let now = state.now;
                let lives: Vec<(Seat, Life)> = (0..SEATS)
                    .map(|s| (Seat(s), Life(state.nodes[usize::from(s)].raft.id().memory.0)))
                    .collect();
                let life = Life(state.last_life);
                state.nodes[usize::from(seat.0)] = self.start_node(seat, life, now, &lives);
                state.messages.retain(|(_, to, _)| *to != seat);
            }
            Action::Propose(seat) => {
                state.commands_left -= 1;
                let build = u16::from(state.commands_left);
                let command = Command::Vote { build, stage: 0, voice: VoteChoice::On };
                state.step(seat, |raft, now, _| {
                    let _ = raft.propose(now, command);
                });
            }
            Action::Transfer(seat, to) => {
                state.commands_left -= 1;
                state.step(seat, |raft, now, _| {
                    let _ = raft.transfer_leadership(now, to);
                });
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one mandate at a time", |_, state: &State| state.lease_holder_count() <= 1),
            Property::always("one decree under a number", |_, state: &State| !state.conflict),
            Property::always("one leader in a term", |_, state: &State| {
                let mut terms: Vec<Term> =
                    state.nodes.iter().filter(|n| n.raft.is_leader()).map(|n| n.raft.term()).collect();
                let leader_count = terms.len();
                terms.sort();
                terms.dedup();
                terms.len() == leader_count
            }),
        ]
    }
}

/// The result of a model check.
#[derive(Clone, Debug)]
pub struct CheckResult {
    /// Distinct states.
    pub states: usize,
    /// The greatest depth that was reached.
    pub depth: usize,
    /// Whether all states within the depth were checked.
    pub complete: bool,
    /// The names of the properties that don't hold, sorted.
    pub violated: Vec<&'static str>,
}

/// Checks all states within `depth` actions. Stops after `timeout`, with an incomplete result.
pub fn check(model: GroupModel, depth: usize, threads: usize, timeout: Duration) -> CheckResult {
    let checker =
        model.checker().threads(threads).target_max_depth(depth).timeout(timeout).spawn_bfs().join();
    let mut violated: Vec<&'static str> = checker.discoveries().into_keys().collect();
    violated.sort_unstable();
    CheckResult {
        states: checker.unique_state_count(),
        depth: checker.max_depth(),
        complete: checker.is_done(),
        violated,
    }
}

/// Runs the model checks of the proof, each with its own `timeout`, and returns the name, the depth and the
/// result of each.
pub fn run_checks(threads: usize, timeout: Duration) -> Vec<(&'static str, usize, CheckResult)> {
    let nothing =
        GroupModel { max_restarts: 0, max_duplicates: 0, max_commands: 0, max_time_steps: 0, planted: None };
    let models = [
        ("loss and commands", 9, GroupModel { max_commands: 2, max_time_steps: 4, ..nothing.clone() }),
        (
            "doubled and late",
            8,
            GroupModel { max_duplicates: 2, max_commands: 1, max_time_steps: 4, ..nothing.clone() },
        ),
        ("memory lost", 8, GroupModel { max_restarts: 2, max_time_steps: 5, ..nothing.clone() }),
    ];
    models
        .into_iter()
        .map(|(name, depth, model)| (name, depth, check(model, depth, threads, timeout)))
        .collect()
}

/// Whether the checker finds a violated property when a fault is planted. A check that never fails proves
/// nothing.
pub fn detects_planted_fault(threads: usize) -> bool {
    let model = GroupModel {
        max_restarts: 0,
        max_duplicates: 0,
        max_commands: 0,
        max_time_steps: 4,
        planted: Some(PlantedFault::HoldIgnored),
    };
    !check(model, 14, threads, Duration::from_secs(20)).violated.is_empty()
}
