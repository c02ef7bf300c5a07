//! Instances of leadership on a virtual clock and network, with the faults of a script, a load of commands,
//! and the account told of every step. It owns true time and what is on each disk.

use std::collections::{BTreeMap, BTreeSet};

use stagepond_leadership::ids::*;
use stagepond_leadership::instance::{Effect, Input, Instance, InstanceConfig};
use stagepond_leadership::lease::LeaderLease;
use stagepond_leadership::log::{Command, Entry, VoteChoice};
use stagepond_leadership::planted::{Fault as Plant, Planted};
use stagepond_leadership::raft::PersistentState;
use stagepond_leadership::seal::{Key, KeySet};
use stagepond_leadership::settings::Settings;
use stagepond_leadership::wire::{Health, MAX_DATAGRAM_BYTES};

use super::account::{Account, Broken};
use crate::clock::{EventQueue, LocalClock};
use crate::faults::{Fault, ScheduledFault};
use crate::net::{links_between, Network};
use crate::trace::TraceHash;

#[derive(Clone, Debug)]
enum Event {
    Arrives {
        to: Seat,
        from: Seat,
        bytes: Vec<u8>,
    },
    Wake {
        seat: Seat,
        life: Life,
        nth: u64,
    },
    /// The disk is done with a write; `whole` is what it then holds.
    Written {
        seat: Seat,
        life: Life,
        number: u64,
        promises: Vec<u8>,
    },
    Act {
        seat: Seat,
        life: Life,
        stepped: u32,
        mandate: LeaderLease,
    },
    Command {
        nth: u32,
    },
    Begins(usize),
    Ends(usize),
    FlapTurn {
        a: Seat,
        b: Seat,
        every: Tenths,
        until: Tenths,
        cut: bool,
    },
    Starts {
        seat: Seat,
    },
    Resumes {
        seat: Seat,
    },
}

struct Node {
    instance: Option<Instance>,
    life: Life,
    clock: LocalClock,
    wake: u64,
    paused: bool,
    waiting: Vec<Event>,
    disk: Option<Vec<u8>>,
    stepped: u32,
}

/// How a world is made.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub bounds: Settings,
    pub script: Vec<ScheduledFault>,
    /// Commands come until here; faults too, whatever the script says.
    pub busy_until: Tenths,
    pub ends: Tenths,
    pub planted: Option<Plant>,
    /// All clocks at the edge of the drift, in either direction.
    pub hard_clocks: bool,
    pub delay: (Tenths, Tenths),
    pub commands_every: Tenths,
}

impl Plan {
    pub fn quiet(seed: u64, bounds: Settings) -> Plan {
        Plan {
            seed,
            bounds,
            script: Vec::new(),
            busy_until: Tenths::ms(20_000),
            ends: Tenths::ms(30_000),
            planted: None,
            hard_clocks: true,
            delay: (Tenths(2), Tenths::ms(8)),
            commands_every: Tenths::ms(150),
        }
    }
}

/// What came of a run.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub hash: u64,
    pub steps: u64,
    pub broken: Vec<Broken>,
    pub leaders: u64,
    pub acts: u64,
    pub refused_acts: u64,
    pub decrees: u64,
    pub foundings: u64,
    pub lost_with_memory: u64,
    pub leaderless: Tenths,
    pub longest_leaderless: Tenths,
    pub datagrams: u64,
    pub bytes: u64,
}

pub struct World {
    plan: Plan,
    queue: EventQueue<Event>,
    nodes: Vec<Node>,
    net: Network,
    rng: fastrand::Rng,
    keys: u8,
    pub account: Account,
    trace: TraceHash,
    steps: u64,
    troubles: u64,
    /// Members that one took for dead, with the true time: for those who measure detection.
    pub dead: Vec<(Tenths, Seat, Seat)>,
    /// Members that somebody suspected.
    pub suspected: Vec<(Tenths, Seat)>,
    pub verbose: bool,
}

fn key(number: u8) -> Key {
    Key::new(number, &[number; 32]).expect("long enough")
}

/// What a decree says, apart from the type that says it.
fn said(entry: &Entry) -> u64 {
    let mut trace = TraceHash::default();
    trace.add_bytes(format!("{entry:?}").as_bytes());
    trace.hash()
}

impl World {
    pub fn new(plan: Plan) -> World {
        let mut rng = fastrand::Rng::with_seed(plan.seed);
        let (zero, drift) = (Tenths(0), plan.bounds.clock_drift);
        let mut queue = EventQueue::new(zero);
        let mut nodes = Vec::new();
        for seat in 0..plan.bounds.seats {
            let rate = match plan.hard_clocks {
                true => [1.0 - drift, 1.0, 1.0 + drift][rng.usize(0..3)],
                false => 1.0 + drift * (2.0 * rng.f64() - 1.0),
            };
            let clock = LocalClock::new(zero, Tenths(rng.i64(0..1_000_000_000)), rate);
            nodes.push(Node {
                instance: None,
                life: Life(0),
                clock,
                wake: 0,
                paused: false,
                waiting: Vec::new(),
                disk: None,
                stepped: 0,
            });
            queue.schedule(Tenths::ms(rng.i64(0..200)), Event::Starts { seat: Seat(seat) });
        }
        for (nth, scripted) in plan.script.iter().enumerate() {
            queue.schedule(scripted.at, Event::Begins(nth));
        }
        queue.schedule(Tenths::ms(500), Event::Command { nth: 0 });
        let net = Network::new(plan.delay);
        World {
            plan,
            queue,
            nodes,
            net,
            rng,
            keys: 1,
            account: Account::default(),
            trace: TraceHash::default(),
            steps: 0,
            troubles: 0,
            dead: Vec::new(),
            suspected: Vec::new(),
            verbose: false,
        }
    }

    pub fn now(&self) -> Tenths {
        self.queue.now()
    }
    pub fn net(&mut self) -> &mut Network {
        &mut self.net
    }
    pub fn instance(&self, seat: Seat) -> Option<&Instance> {
        self.nodes[usize::from(seat.0)].instance.as_ref()
    }

    /// Who has leave to act at this moment, by its own clock.
    pub fn holders(&self) -> Vec<(Seat, u64)> {
        let now = self.queue.now();
        let mut holders = Vec::new();
        // Nobody outside the pool can get leave: `all_must_agree` would see it lead.
        for seat in &self.plan.bounds.pool {
            let node = &self.nodes[usize::from(seat.0)];
            let shows = node.clock.reading_at(now);
            if let Some(mandate) = node.instance.as_ref().and_then(|i| i.lease(shows)) {
                holders.push((*seat, mandate.term().0));
            }
        }
        holders
    }

    /// A fault that was not in the script, at this moment.
    pub fn strike(&mut self, scripted: ScheduledFault) {
        self.plan.script.push(scripted);
        self.begins(self.plan.script.len() - 1);
    }

    /// Runs until then; false once a rule is broken.
    pub fn run_until(&mut self, until: Tenths) -> bool {
        let (from, steps) = (self.queue.now(), self.steps);
        while let Some(event) = self.queue.pop_before(until) {
            self.happens(event);
            let (steps, seconds) = (self.steps - steps, (self.queue.now() - from).0 / 10_000);
            let commands = (self.queue.now() - from).0 / self.plan.commands_every.0.max(1);
            let usual = (2000 + 1000 * seconds as u64) * u64::from(self.plan.bounds.seats);
            if steps > usual + 40 * commands as u64 {
                self.account.broken.push(Broken::Spins { steps, seconds });
            }
            if !self.account.broken.is_empty() {
                return false;
            }
        }
        true
    }

    pub fn run(mut self) -> Outcome {
        let busy = self.plan.busy_until;
        if self.run_until(busy) {
            self.all_is_well_again();
            let ends = self.plan.ends;
            if self.run_until(ends) {
                self.all_must_agree();
            }
        }
        self.outcome()
    }

    pub fn outcome(self) -> Outcome {
        let account = self.account;
        Outcome {
            hash: self.trace.hash(),
            steps: self.steps,
            broken: account.broken,
            leaders: account.leaders,
            acts: account.acts,
            refused_acts: account.refused_acts,
            decrees: account.decrees,
            foundings: account.foundings,
            lost_with_memory: account.lost_with_memory,
            leaderless: Tenths(account.leaderless),
            longest_leaderless: Tenths(account.longest_leaderless),
            datagrams: self.net.datagrams_sent,
            bytes: self.net.bytes_sent,
        }
    }

    fn all_is_well_again(&mut self) {
        self.net.heal_all();
        for seat in (0..self.plan.bounds.seats).map(Seat) {
            if self.nodes[usize::from(seat.0)].instance.is_none() {
                self.start(seat);
            }
            self.resume(seat);
        }
    }

    fn all_must_agree(&mut self) {
        let at = self.queue.now();
        let leads = |node: &&Node| node.instance.as_ref().is_some_and(|i| i.raft().is_leader());
        if self.holders().len() != 1 || self.nodes.iter().filter(leads).count() != 1 {
            self.account.broken.push(Broken::NoLeader { at });
        }
        let has = |node: &Node| node.instance.as_ref().map_or(0, |i| i.raft().committed().1 .0);
        let most = self.nodes.iter().map(has).max().unwrap_or(0);
        let behind = (0..).zip(&self.nodes).find(|(_, node)| has(node) < most);
        if let Some((seat, node)) = behind {
            self.account.broken.push(Broken::Unequal { at, seat: Seat(seat), has: has(node), most });
        }
        let term = |node: &Node| node.instance.as_ref().map_or(0, |i| i.raft().term().number_in_era());
        let terms = self.nodes.iter().map(term).max().unwrap_or(0);
        // A lost election here and there is chance; a term for each time-out is not.
        let allowed = 8 + 2 * self.account.leaders + self.troubles;
        if terms > allowed {
            self.account.broken.push(Broken::TermsRanAway { terms, allowed });
        }
    }

    fn happens(&mut self, event: Event) {
        self.steps += 1;
        self.trace.add_number(self.queue.now().0);
        if self.verbose {
            match &event {
                Event::Arrives { .. } | Event::Wake { .. } => {}
                other => println!("{:>9.1} {other:?}", self.queue.now().0 as f64 / 10.0),
            }
        }
        let of = match &event {
            Event::Arrives { to, .. } => Some(*to),
            Event::Wake { seat, .. } | Event::Written { seat, .. } | Event::Act { seat, .. } => Some(*seat),
            _ => None,
        };
        if let Some(node) = of.map(|seat| &mut self.nodes[usize::from(seat.0)]).filter(|n| n.paused) {
            // A socket holds so much and no more.
            if node.waiting.len() < 200 {
                node.waiting.push(event);
            }
            return;
        }
        match event {
            Event::Arrives { to, from, bytes } => {
                self.trace.add_number(i64::from(from.0) << 16 | i64::from(to.0));
                self.trace.add_bytes(&bytes);
                self.step(to, Input::Datagram(&bytes));
            }
            Event::Wake { seat, life, nth } => {
                let node = &self.nodes[usize::from(seat.0)];
                if node.life == life && node.wake == nth {
                    self.step(seat, Input::Tick);
                }
            }
            Event::Written { seat, life, number, promises } => {
                let node = &mut self.nodes[usize::from(seat.0)];
                if node.life == life && node.instance.is_some() {
                    node.disk = Some(promises);
                    self.step(seat, Input::Persisted(number));
                }
            }
            Event::Act { seat, life, stepped, mandate } => {
                let node = &self.nodes[usize::from(seat.0)];
                if (node.life, node.stepped) == (life, stepped) && node.instance.is_some() {
                    let now = self.queue.now();
                    let done = mandate.check(node.clock.reading_at(now)).is_ok();
                    self.account.acted(now, seat, mandate.term().0, done);
                }
            }
            Event::Command { nth } => self.command(nth),
            Event::Begins(nth) => self.begins(nth),
            Event::Ends(nth) => self.ends(nth),
            Event::FlapTurn { a, b, every, until, cut } => {
                if cut {
                    self.net.heal(a, b);
                    self.net.heal(b, a);
                } else if self.queue.now() < until {
                    self.net.cut(a, b);
                    self.net.cut(b, a);
                }
                if cut || self.queue.now() < until {
                    let at = self.queue.now() + every;
                    self.queue.schedule(at, Event::FlapTurn { a, b, every, until, cut: !cut });
                }
            }
            Event::Starts { seat } => self.start(seat),
            Event::Resumes { seat } => self.resume(seat),
        }
        let holders = self.holders();
        self.account.leave(self.queue.now(), &holders);
    }

    fn command(&mut self, nth: u32) {
        // Whoever believes that it leads tries: the record must sort out the rest.
        for seat in (0..self.plan.bounds.seats).map(Seat) {
            let node = &self.nodes[usize::from(seat.0)];
            if node.instance.as_ref().is_some_and(|i| i.raft().is_leader()) && !node.paused {
                let voice = if nth.is_multiple_of(3) { VoteChoice::On } else { VoteChoice::Back };
                let decree = match nth % 4 {
                    0 => Command::Widen { build: 7, stage: nth, share: nth },
                    1 => Command::Freeze { build: nth as u16, frozen: true },
                    _ => Command::Vote { build: nth as u16, stage: 1, voice },
                };
                self.step(seat, Input::Command(decree));
            }
        }
        if self.queue.now() < self.plan.busy_until {
            let at = self.queue.now() + self.plan.commands_every;
            self.queue.schedule(at, Event::Command { nth: nth + 1 });
        }
    }

    fn start(&mut self, seat: Seat) {
        let now = self.queue.now();
        let (seed, keys) = (self.rng.u64(..), KeySet::new(key(self.keys)));
        let node = &mut self.nodes[usize::from(seat.0)];
        if node.instance.is_some() {
            return;
        }
        // The time of day, which all machines read alike; a later process has a later one.
        node.life = Life((1 << 40) + now.0 as u64 + 1);
        let promises = node.disk.as_deref().and_then(|bytes| PersistentState::decode(bytes, seat));
        node.instance = Some(Instance::new(InstanceConfig {
            now: node.clock.reading_at(now),
            seat,
            life: node.life,
            seed,
            settings: self.plan.bounds.clone(),
            keys,
            persisted: promises,
            planted: self.plan.planted.map_or(Planted::default(), Planted::new),
        }));
        self.step(seat, Input::Tick);
    }

    fn crash(&mut self, seat: Seat, keeps_memory: bool) {
        let node = &mut self.nodes[usize::from(seat.0)];
        node.instance = None;
        node.waiting.clear();
        node.paused = false;
        if !keeps_memory || !self.plan.bounds.durable {
            node.disk = None;
        }
    }

    fn resume(&mut self, seat: Seat) {
        let node = &mut self.nodes[usize::from(seat.0)];
        if std::mem::take(&mut node.paused) {
            // It read its key file again when it could.
            let old_until = node.clock.reading_at(self.queue.now()) + Tenths::ms(4000);
            self.step(seat, Input::NewKey { key: key(self.keys), old_until });
            let node = &mut self.nodes[usize::from(seat.0)];
            for event in std::mem::take(&mut node.waiting) {
                self.happens(event);
            }
        }
    }

    fn begins(&mut self, nth: usize) {
        let now = self.queue.now();
        self.troubles += 1;
        let busy_until = self.plan.busy_until;
        let over = |lasts: Tenths| (now + lasts).min(busy_until);
        let ScheduledFault { fault, .. } = self.plan.script[nth].clone();
        match &fault {
            Fault::Crash { seat, down, keeps_memory } => {
                self.crash(*seat, *keeps_memory);
                self.queue.schedule(now + *down, Event::Starts { seat: *seat });
            }
            Fault::CrashMany { seats, down, keeps_memory } => {
                for seat in seats {
                    self.crash(*seat, *keeps_memory);
                    self.queue.schedule(now + *down, Event::Starts { seat: *seat });
                }
            }
            Fault::Pause { seat, lasts } => {
                self.nodes[usize::from(seat.0)].paused = true;
                self.queue.schedule(over(*lasts), Event::Resumes { seat: *seat });
            }
            Fault::Flap { a, b, every, lasts } => {
                let until = over(*lasts);
                self.troubles += (lasts.0 / every.0.max(1)) as u64 / 4;
                let turn = Event::FlapTurn { a: *a, b: *b, every: *every, until, cut: false };
                self.queue.schedule(now, turn);
            }
            Fault::Step { seat, by } => {
                let node = &mut self.nodes[usize::from(seat.0)];
                // A step that nobody is awake to see is not survived, and the pages say so: the service's clock
                // can't be stepped.
                if node.paused {
                    return;
                }
                node.clock.step(now, *by);
                // What was to be done under leave from before the step is dropped, as the service's clock,
                // which never steps, would have it expire.
                node.stepped += 1;
                node.wake += 1;
                let wake = Event::Wake { seat: *seat, life: node.life, nth: node.wake };
                self.queue.schedule(now, wake);
            }
            Fault::Transfer { to } => {
                for seat in (0..self.plan.bounds.seats).map(Seat) {
                    let node = &self.nodes[usize::from(seat.0)];
                    if node.instance.as_ref().is_some_and(|i| i.raft().is_leader()) && !node.paused {
                        self.step(seat, Input::TransferLeadership(*to));
                    }
                }
            }
            Fault::NewKey { lasts } => {
                let new = self.keys.wrapping_add(1);
                self.keys = new;
                // First all accept the new key, then one after the other seals with it.
                for seat in (0..self.plan.bounds.seats).map(Seat) {
                    let Some(shows) = self.shows(seat) else { continue };
                    let until = shows + *lasts + *lasts;
                    self.step(seat, Input::AcceptKey { key: key(new), until });
                    if self.rng.bool() {
                        self.step(seat, Input::NewKey { key: key(new), old_until: until });
                    }
                }
                self.queue.schedule(over(*lasts), Event::Ends(nth));
            }
            Fault::Zone { lasts, .. }
            | Fault::OneWay { lasts, .. }
            | Fault::Deaf { lasts, .. }
            | Fault::Mute { lasts, .. }
            | Fault::Loss { lasts, .. }
            | Fault::Late { lasts, .. }
            | Fault::Double { lasts, .. } => {
                for (from, to) in self.links(&fault) {
                    self.net.cut(from, to);
                }
                match fault {
                    Fault::Loss { share, .. } => self.net.loss_rate = share,
                    Fault::Late { share, by, .. } => {
                        (self.net.late_rate, self.net.max_extra_delay) = (share, by)
                    }
                    Fault::Double { share, .. } => self.net.duplicate_rate = share,
                    _ => {}
                }
                self.queue.schedule(over(*lasts), Event::Ends(nth));
            }
        }
    }

    fn shows(&self, seat: Seat) -> Option<Tenths> {
        let node = &self.nodes[usize::from(seat.0)];
        (node.instance.is_some() && !node.paused).then(|| node.clock.reading_at(self.queue.now()))
    }

    fn links(&self, fault: &Fault) -> Vec<(Seat, Seat)> {
        let seats = self.plan.bounds.seats;
        let others = |seat: Seat| (0..seats).map(Seat).filter(move |s| *s != seat);
        match fault {
            Fault::Zone { seats: side, .. } => {
                links_between(&side.iter().copied().collect::<BTreeSet<_>>(), seats)
            }
            Fault::OneWay { from, to, .. } => vec![(*from, *to)],
            Fault::Deaf { seat, .. } => others(*seat).map(|s| (s, *seat)).collect(),
            Fault::Mute { seat, .. } => others(*seat).map(|s| (*seat, s)).collect(),
            _ => Vec::new(),
        }
    }

    fn ends(&mut self, nth: usize) {
        let fault = self.plan.script[nth].fault.clone();
        for (from, to) in self.links(&fault) {
            self.net.heal(from, to);
        }
        match fault {
            Fault::Loss { .. } => self.net.loss_rate = 0.0,
            Fault::Late { .. } => self.net.late_rate = 0.0,
            Fault::Double { .. } => self.net.duplicate_rate = 0.0,
            Fault::NewKey { lasts } => {
                let new = self.keys;
                for seat in (0..self.plan.bounds.seats).map(Seat) {
                    let Some(shows) = self.shows(seat) else { continue };
                    self.step(seat, Input::NewKey { key: key(new), old_until: shows + lasts });
                }
            }
            _ => {}
        }
    }

    /// One step of an instance, and what it asks for.
    fn step(&mut self, seat: Seat, input: Input) {
        let now = self.queue.now();
        let at = usize::from(seat.0);
        let node = &mut self.nodes[at];
        let shows = node.clock.reading_at(now);
        let Some(instance) = &mut node.instance else { return };
        let effects = instance.step(shows, input);
        let due = node.clock.first_time_showing(instance.next_due());
        node.wake += 1;
        let (life, wake) = (node.life, node.wake);
        self.queue.schedule(due.max(now + Tenths(1)), Event::Wake { seat, life, nth: wake });
        for effect in effects {
            self.carry_out(seat, life, effect);
        }
    }

    fn carry_out(&mut self, seat: Seat, life: Life, effect: Effect) {
        let now = self.queue.now();
        if self.verbose && !matches!(effect, Effect::Send { .. } | Effect::Persist { .. }) {
            println!("{:>9.1} seat {}: {effect:?}", now.0 as f64 / 10.0, seat.0);
        }
        match effect {
            Effect::Send { to, bytes } => {
                if bytes.len() > MAX_DATAGRAM_BYTES {
                    let broken = Broken::TooLong { at: now, seat, bytes: bytes.len() };
                    self.account.broken.push(broken);
                }
                for after in self.net.transmit(&mut self.rng, seat, to, bytes.len()) {
                    self.queue.schedule(now + after, Event::Arrives { to, from: seat, bytes: bytes.clone() });
                }
            }
            Effect::Persist { version: number, state: promises } => {
                let after = Tenths::ms(self.rng.i64(0..20));
                self.queue.schedule(now + after, Event::Written { seat, life, number, promises });
            }
            Effect::BecameLeader(_) => {
                let has = self.instance(seat).map_or(0, |i| i.raft().committed().1 .0);
                self.account.begins(now, seat, has);
            }
            Effect::Committed { entry, lease: mandate } => {
                self.trace.add_number(entry.number.0 as i64);
                self.account.in_force(now, seat, entry.number.0, said(&entry));
                if let (Some(mandate), true) = (mandate, entry.command.subject().is_some()) {
                    let within = self.plan.bounds.max_grant_time.0 * 5 / 4;
                    let after = Tenths(self.rng.i64(0..within));
                    let stepped = self.nodes[usize::from(seat.0)].stepped;
                    self.queue.schedule(now + after, Event::Act { seat, life, stepped, mandate });
                }
            }
            Effect::Bootstrapped { .. } => {
                let held = |node: &Node| node.instance.as_ref().map_or(0, |i| i.raft().log().last().1 .0);
                let pool = self.plan.bounds.pool.iter();
                let most = pool.map(|s| held(&self.nodes[usize::from(s.0)])).max().unwrap_or(0);
                self.account.founded(most);
            }
            Effect::MemberChanged { seat: of, health: Health::Dead } => self.dead.push((now, seat, of)),
            Effect::MemberChanged { seat: of, health: Health::Suspect } => self.suspected.push((now, of)),
            Effect::SnapshotInstalled { .. }
            | Effect::SteppedDown { .. }
            | Effect::Rejected { .. }
            | Effect::MemberChanged { .. } => {}
        }
    }

    /// How many of each kind of member one instance knows, for those who look.
    pub fn known(&self, seat: Seat) -> BTreeMap<&'static str, usize> {
        let status = self.instance(seat).map(Instance::status);
        let status = status.as_ref();
        [
            ("alive", status.map_or(0, |s| s.alive)),
            ("suspect", status.map_or(0, |s| s.suspect)),
            ("dead", status.map_or(0, |s| s.dead)),
        ]
        .into()
    }
}
