//! The same council under a model checker (stateright): every order of deliveries, losses, doublings, steps of
//! time and crashes with memory lost, to a stated depth, from a group of three that has just been founded.
//! Time is one for all here and moves by half a hold; drift and finer times are the seeds' matter. It owns the
//! model; what must hold is checked on the states themselves.

use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use stagepond_leadership::ids::*;
use stagepond_leadership::log::{Command, VoteChoice};
use stagepond_leadership::members::Members;
use stagepond_leadership::planted::{Fault, Planted};
use stagepond_leadership::raft::{Event, PersistentState, RaftNode};
use stagepond_leadership::settings::Settings;
use stagepond_leadership::wire::{Health, MemberState, Message};
use stateright::{Checker, Model, Property};

const SEATS: u16 = 3;
/// Messages under way at once; a further one pushes out the oldest, as a loss.
const NET_MAX: usize = 6;

#[derive(Clone)]
struct Node {
    council: RaftNode,
    members: Arc<Members>,
}

#[derive(Clone)]
pub struct State {
    nodes: Vec<Node>,
    net: Vec<(Seat, Seat, Message)>,
    now: Tenths,
    lives: u64,
    crashes: u8,
    doubles: u8,
    commands: u8,
    ticks: u8,
    /// Decrees that were in force anywhere, by number: two under one are a fault.
    force: Vec<(u64, Term, Command)>,
    conflict: bool,
}

impl std::fmt::Debug for State {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let terms: Vec<_> = self.nodes.iter().map(|n| (n.council.term(), n.council.is_leader())).collect();
        write!(f, "at {:?}: {terms:?}, under way {:?}", self.now, self.net)
    }
}

impl Hash for State {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.nodes.iter().for_each(|n| n.council.hash(state));
        self.net.hash(state);
        (self.now, self.lives, self.crashes, self.doubles, self.commands, self.ticks).hash(state);
        (&self.force, self.conflict).hash(state);
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

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Deliver(usize),
    /// Delivered, and still under way.
    Double(usize),
    /// Half a hold passes, for all.
    Pass,
    /// Restarts and remembers nothing.
    Forget(Seat),
    Command(Seat),
    Transfer(Seat, Seat),
}

/// How much may happen on one path.
#[derive(Clone, Debug)]
pub struct Group {
    pub crashes: u8,
    pub doubles: u8,
    pub commands: u8,
    pub ticks: u8,
    pub planted: Option<Fault>,
}

fn bounds() -> Settings {
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

impl Group {
    fn planted(&self) -> Planted {
        self.planted.map_or(Planted::default(), Planted::new)
    }

    fn node(&self, seat: Seat, life: Life, now: Tenths, alive: &[(Seat, Life)]) -> Node {
        let promises = PersistentState::empty(seat, Memory(life.0));
        let council = RaftNode::new(now, life, promises, &bounds(), 0, self.planted());
        let mut members = Members::new(now, seat, life, Memory(life.0), &bounds(), 0);
        for (other, life) in alive.iter().filter(|(other, _)| *other != seat) {
            let memory = Some(Memory(life.0));
            let news = MemberState {
                seat: *other,
                life: *life,
                incarnation: 0,
                health: Health::Alive,
                suspected_by: *other,
                memory,
            };
            members.merge(now, news);
        }
        Node { council, members: Arc::new(members) }
    }
}

impl State {
    fn took(&mut self, seat: Seat, events: Vec<Event>) {
        let _ = seat;
        for event in events {
            let Event::Committed { entry, .. } = event else { continue };
            let (number, term) = (entry.number.0, entry.term);
            match self.force.iter().find(|(n, ..)| *n == number) {
                Some((_, t, decree)) => self.conflict |= (*t, decree) != (term, &entry.command),
                None => {
                    self.force.push((number, term, entry.command));
                    self.force.sort_by_key(|(n, ..)| *n);
                }
            }
        }
    }

    fn act(&mut self, seat: Seat, act: impl FnOnce(&mut RaftNode, Tenths, &Members)) {
        let now = self.now;
        let node = &mut self.nodes[usize::from(seat.0)];
        act(&mut node.council, now, &node.members);
        if now >= node.council.next_due() {
            node.council.tick(now, &node.members);
        }
        let (_, sent) = node.council.finish_step(now);
        let events = std::mem::take(&mut node.council.events);
        self.took(seat, events);
        for (to, message) in sent {
            if usize::from(to.0) < self.nodes.len() {
                self.net.push((seat, to, message));
            }
        }
        while self.net.len() > NET_MAX {
            self.net.remove(0);
        }
    }

    fn holders(&self) -> usize {
        self.nodes.iter().filter(|n| n.council.lease(self.now).is_some()).count()
    }
}

impl Model for Group {
    type State = State;
    type Action = Action;

    /// Founded, with a leader that has opened its term, and nothing under way.
    fn init_states(&self) -> Vec<State> {
        let lives: Vec<(Seat, Life)> = (0..SEATS).map(|s| (Seat(s), Life(1000 + u64::from(s)))).collect();
        let now = Tenths(0);
        let nodes = lives.iter().map(|(seat, life)| self.node(*seat, *life, now, &lives)).collect();
        let mut state = State {
            nodes,
            net: Vec::new(),
            now,
            lives: 2000,
            crashes: self.crashes,
            doubles: self.doubles,
            commands: self.commands,
            ticks: self.ticks,
            force: Vec::new(),
            conflict: false,
        };
        for _ in 0..400 {
            state.now = state.now + Tenths(10);
            for seat in (0..SEATS).map(Seat) {
                state.act(seat, |_, _, _| ());
            }
            while !state.net.is_empty() {
                let (from, to, message) = state.net.remove(0);
                state.act(to, |council, now, _| council.on_message(now, from, message));
            }
            if state.holders() == 1 {
                break;
            }
        }
        assert_eq!(state.holders(), 1, "a group that is left alone has a leader");
        vec![state]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        for nth in 0..state.net.len() {
            actions.push(Action::Deliver(nth));
            if state.doubles > 0 {
                actions.push(Action::Double(nth));
            }
        }
        if state.ticks > 0 {
            actions.push(Action::Pass);
        }
        for seat in (0..SEATS).map(Seat) {
            if state.crashes > 0 {
                actions.push(Action::Forget(seat));
            }
            let leads = state.nodes[usize::from(seat.0)].council.is_leader();
            if leads && state.commands > 0 {
                actions.push(Action::Command(seat));
                actions.push(Action::Transfer(seat, Seat((seat.0 + 1) % SEATS)));
            }
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Deliver(nth) => {
                let (from, to, message) = state.net.remove(nth);
                state.act(to, |council, now, _| council.on_message(now, from, message));
            }
            Action::Double(nth) => {
                state.doubles -= 1;
                let (from, to, message) = state.net[nth].clone();
                state.act(to, |council, now, _| council.on_message(now, from, message));
            }
            Action::Pass => {
                state.ticks -= 1;
                state.now = state.now + Tenths(bounds().hold_time.0 / 2 + 1);
                for seat in (0..SEATS).map(Seat) {
                    state.act(seat, |council, now, members| council.tick(now, members));
                }
            }
            Action::Forget(seat) => {
                state.crashes -= 1;
                state.lives += 1;
                let now = state.now;
                let lives: Vec<(Seat, Life)> = (0..SEATS)
                    .map(|s| (Seat(s), Life(state.nodes[usize::from(s)].council.id().memory.0)))
                    .collect();
                state.nodes[usize::from(seat.0)] = self.node(seat, Life(state.lives), now, &lives);
                state.net.retain(|(_, to, _)| *to != seat);
            }
            Action::Command(seat) => {
                state.commands -= 1;
                let build = u16::from(state.commands);
                let decree = Command::Vote { build, stage: 0, voice: VoteChoice::On };
                state.act(seat, |council, now, _| {
                    let _ = council.propose(now, decree);
                });
            }
            Action::Transfer(seat, to) => {
                state.commands -= 1;
                state.act(seat, |council, now, _| {
                    let _ = council.transfer_leadership(now, to);
                });
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one mandate at a time", |_, state: &State| state.holders() <= 1),
            Property::always("one decree under a number", |_, state: &State| !state.conflict),
            Property::always("one leader in a term", |_, state: &State| {
                let mut terms: Vec<Term> =
                    state.nodes.iter().filter(|n| n.council.is_leader()).map(|n| n.council.term()).collect();
                let all = terms.len();
                terms.sort();
                terms.dedup();
                terms.len() == all
            }),
        ]
    }
}

/// What a check saw.
#[derive(Clone, Debug)]
pub struct Checked {
    pub states: usize,
    pub depth: usize,
    /// Whether all states within the depth were seen.
    pub whole: bool,
    pub broken: Vec<&'static str>,
}

/// All states within so many actions; gives up, and says so, after `patience`.
pub fn check(group: Group, depth: usize, threads: usize, patience: Duration) -> Checked {
    let checker =
        group.checker().threads(threads).target_max_depth(depth).timeout(patience).spawn_bfs().join();
    let mut broken: Vec<&'static str> = checker.discoveries().into_keys().collect();
    broken.sort_unstable();
    let whole = checker.is_done();
    Checked { states: checker.unique_state_count(), depth: checker.max_depth(), whole, broken }
}

/// The checks of the proof: what each lets happen, how deep it goes, and what it saw.
pub fn checks(threads: usize, patience: Duration) -> Vec<(&'static str, usize, Checked)> {
    let none = Group { crashes: 0, doubles: 0, commands: 0, ticks: 0, planted: None };
    let groups = [
        ("loss and commands", 9, Group { commands: 2, ticks: 4, ..none.clone() }),
        ("doubled and late", 8, Group { doubles: 2, commands: 1, ticks: 4, ..none.clone() }),
        ("memory lost", 8, Group { crashes: 2, ticks: 5, ..none.clone() }),
    ];
    groups
        .into_iter()
        .map(|(name, depth, group)| (name, depth, check(group, depth, threads, patience)))
        .collect()
}

/// A checker that was never red proves nothing: with this fault it must find a broken property.
pub fn sees_planted(threads: usize) -> bool {
    let group = Group { crashes: 0, doubles: 0, commands: 0, ticks: 4, planted: Some(Fault::HoldIgnored) };
    !check(group, 14, threads, Duration::from_secs(20)).broken.is_empty()
}
