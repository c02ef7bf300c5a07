//! Deterministic simulation of a group of leadership instances on a virtual clock and network.
//!
//! The simulation holds true time, the local clocks and the contents of the disks. It injects the scheduled
//! faults, sends a load of commands and reports every step to the invariant checker. All randomness comes
//! from the seed, so equal configurations give equal outcomes and trace hashes.

use std::collections::{BTreeMap, BTreeSet};

use stagepond_leadership::ids::*;
use stagepond_leadership::instance::{Effect, Input, Instance, InstanceConfig};
use stagepond_leadership::lease::LeaderLease;
use stagepond_leadership::log::{Command, Entry, Log, VoteChoice};
use stagepond_leadership::planted::{Fault as PlantedFault, Planted};
use stagepond_leadership::raft::PersistentState;
use stagepond_leadership::seal::{Key, KeySet};
use stagepond_leadership::settings::Settings;
use stagepond_leadership::wire::{Health, MAX_DATAGRAM_BYTES};

use super::durability::CommandDigest;
use super::invariants::{InvariantChecker, Violation};
use crate::clock::{EventQueue, LocalClock};
use crate::faults::{Fault, ScheduledFault};
use crate::net::{links_between, Network};
use crate::trace::TraceHash;

/// Events that wait for a paused process at most, like datagrams in a socket's receive buffer; later ones are
/// lost.
const MAX_EVENTS_WHILE_PAUSED: usize = 200;

/// A scheduled event. A verbose replay prints all but `DatagramArrives` and `Wake`, by the names of the
/// variants and their fields, and of the state that was written its term, vote, last and committed entry.
#[derive(Clone, Debug)]
enum Event {
    /// The network delivers a datagram.
    DatagramArrives { to: Seat, from: Seat, bytes: Vec<u8> },
    /// The timer of an instance fires. Only the timer that was set last, `timer`, has an effect.
    Wake { seat: Seat, life: Life, timer: u64 },
    /// The disk completes the write with this version `number`; `promises` is the encoded persistent state
    /// that it then holds.
    Written { seat: Seat, life: Life, number: u64, promises: Vec<u8> },
    /// An instance acts on a committed command under its lease, `mandate`. `stepped` counts the steps of its
    /// clock when the action was scheduled: the action is dropped if the clock was stepped since.
    Act { seat: Seat, life: Life, stepped: u32, mandate: LeaderLease },
    /// The load proposes its command number `nth`.
    Command { nth: u32 },
    /// The scheduled fault with this index starts.
    Begins(usize),
    /// The scheduled fault with this index ends.
    Ends(usize),
    /// A flapping link changes from up to down or, if `cut`, from down to up.
    FlapTurn { a: Seat, b: Seat, every: Tenths, until: Tenths, cut: bool },
    /// A process starts.
    Starts { seat: Seat },
    /// A paused process resumes.
    Resumes { seat: Seat },
}

/// A simulated machine: its process, clock and disk.
struct Node {
    /// The running instance; none while the process is down.
    instance: Option<Instance>,
    life: Life,
    clock: LocalClock,
    /// The timer that was set last; earlier ones are cancelled.
    timer: u64,
    paused: bool,
    /// Events that arrived while the process was paused.
    pending: Vec<Event>,
    /// The encoded persistent state on disk.
    disk: Option<Vec<u8>>,
    /// How often the clock was stepped.
    clock_steps: u32,
}

/// Everything that determines a run.
#[derive(Clone, Debug)]
pub struct SimulationConfig {
    /// Seeds the network, the commands and the instances.
    pub seed: u64,
    /// The settings of every instance.
    pub settings: Settings,
    /// The faults to inject and when they start.
    pub fault_schedule: Vec<ScheduledFault>,
    /// When the load of commands stops and every fault ends, also one scheduled to last longer.
    pub faults_until: Tenths,
    /// When the run ends; all instances must agree by then.
    pub end: Tenths,
    /// The deliberate mistake in the implementation, if any.
    pub planted: Option<PlantedFault>,
    /// Whether each clock runs at the lowest, nominal or highest rate that the drift allows, in place of one
    /// drawn from between.
    pub extreme_clock_rates: bool,
    /// The shortest and the longest delay of a datagram.
    pub network_delay: (Tenths, Tenths),
    /// The time from one command of the load to the next.
    pub command_interval: Tenths,
}

impl SimulationConfig {
    /// A run of 30 s with commands in its first 20 s and without faults.
    pub fn without_faults(seed: u64, settings: Settings) -> SimulationConfig {
        SimulationConfig {
            seed,
            settings,
            fault_schedule: Vec::new(),
            faults_until: Tenths::ms(20_000),
            end: Tenths::ms(30_000),
            planted: None,
            extreme_clock_rates: true,
            network_delay: (Tenths(2), Tenths::ms(8)),
            command_interval: Tenths::ms(150),
        }
    }
}

/// The result of a run. A replay prints it, with the names of its fields.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The hash of the trace: equal runs have equal hashes.
    pub hash: u64,
    /// Events that were processed.
    pub steps: u64,
    /// Violations of invariants.
    pub broken: Vec<Violation>,
    /// Terms in which an instance obtained a lease.
    pub leaders: u64,
    /// Actions carried out under a lease.
    pub acts: u64,
    /// Actions that the last check of the lease refused.
    pub refused_acts: u64,
    /// Entries that were committed.
    pub decrees: u64,
    /// Times that the group was bootstrapped.
    pub foundings: u64,
    /// Committed entries with numbers above all that a running instance of the pool held at a bootstrap.
    pub lost_with_memory: u64,
    /// Total time in which nobody held a lease, without a period that lasts until the end of the run.
    pub leaderless: Tenths,
    /// The longest such period.
    pub longest_leaderless: Tenths,
    /// Datagrams that instances sent.
    pub datagrams: u64,
    /// Bytes in those datagrams.
    pub bytes: u64,
}

/// A running simulation.
pub struct Simulation {
    config: SimulationConfig,
    queue: EventQueue<Event>,
    nodes: Vec<Node>,
    net: Network,
    rng: fastrand::Rng,
    /// The number of the newest datagram key.
    key_number: u8,
    /// The invariant checker with its counters.
    pub invariants: InvariantChecker,
    trace: TraceHash,
    steps: u64,
    /// Faults injected so far; a flapping link counts more than once.
    faults_injected: u64,
    /// For each time that an instance declared a member dead: the true time, the instance and the member.
    pub declared_dead: Vec<(Tenths, Seat, Seat)>,
    /// For each time that an instance suspected a member: the true time and the member.
    pub suspected: Vec<(Tenths, Seat)>,
    /// Whether to print events and effects, except for datagrams and timers, and of writes what they hold in
    /// brief.
    pub verbose: bool,
}

fn test_key(number: u8) -> Key {
    Key::new(number, &[number; 32]).expect("32 bytes are a valid key")
}

/// An encoded persistent state in brief.
fn describe_state(seat: Seat, encoded: &[u8]) -> String {
    let Some(state) = PersistentState::decode(encoded, seat) else { return "not decodable".into() };
    let (last_term, last_number) = state.log.last();
    format!(
        "term: {}, voted_for: {:?}, last: {} of term {}, committed: {}",
        state.term.0,
        state.voted_for.map(|voter| voter.seat),
        last_number.0,
        last_term.0,
        state.log.commit_number().0
    )
}

/// A digest of an entry's content, so that the invariant checker needs none of the implementation's types.
fn entry_digest(entry: &Entry) -> u64 {
    digest(&format!("{entry:?}"))
}

/// A digest of an entry's content except its number.
fn command_digest(entry: &Entry) -> CommandDigest {
    digest(&format!("{:?}", (entry.term, entry.leader, &entry.command)))
}

fn digest(text: &str) -> u64 {
    let mut trace = TraceHash::default();
    trace.add_bytes(text.as_bytes());
    trace.hash()
}

/// The commands that a log holds as committed: the latest on each subject.
fn committed_commands(log: &Log) -> BTreeSet<CommandDigest> {
    log.committed().subjects.values().map(command_digest).collect()
}

impl Simulation {
    /// Sets the simulation up. Every process starts within the first 200 ms, at a time drawn from the seed.
    pub fn new(config: SimulationConfig) -> Simulation {
        let mut rng = fastrand::Rng::with_seed(config.seed);
        let (zero, drift) = (Tenths(0), config.settings.clock_drift);
        let mut queue = EventQueue::new(zero);
        let mut nodes = Vec::new();
        for seat in 0..config.settings.seats {
            let rate = match config.extreme_clock_rates {
                true => [1.0 - drift, 1.0, 1.0 + drift][rng.usize(0..3)],
                false => 1.0 + drift * (2.0 * rng.f64() - 1.0),
            };
            let clock = LocalClock::new(zero, Tenths(rng.i64(0..1_000_000_000)), rate);
            nodes.push(Node {
                instance: None,
                life: Life(0),
                clock,
                timer: 0,
                paused: false,
                pending: Vec::new(),
                disk: None,
                clock_steps: 0,
            });
            queue.schedule(Tenths::ms(rng.i64(0..200)), Event::Starts { seat: Seat(seat) });
        }
        for (index, scheduled) in config.fault_schedule.iter().enumerate() {
            queue.schedule(scheduled.at, Event::Begins(index));
        }
        queue.schedule(Tenths::ms(500), Event::Command { nth: 0 });
        let net = Network::new(config.network_delay);
        Simulation {
            config,
            queue,
            nodes,
            net,
            rng,
            key_number: 1,
            invariants: InvariantChecker::default(),
            trace: TraceHash::default(),
            steps: 0,
            faults_injected: 0,
            declared_dead: Vec::new(),
            suspected: Vec::new(),
            verbose: false,
        }
    }

    /// The current true time.
    pub fn now(&self) -> Tenths {
        self.queue.now()
    }

    /// The current true time in ms, as a verbose replay prints it.
    fn now_ms(&self) -> f64 {
        self.queue.now().0 as f64 / 10.0
    }

    /// The network, for callers that change its loss or read its counters.
    pub fn net(&mut self) -> &mut Network {
        &mut self.net
    }

    /// The instance that runs on a seat; none while its process is down.
    pub fn instance(&self, seat: Seat) -> Option<&Instance> {
        self.nodes[usize::from(seat.0)].instance.as_ref()
    }

    /// Seat and term of every instance whose lease is valid now by its own clock.
    pub fn lease_holders(&self) -> Vec<(Seat, u64)> {
        let now = self.queue.now();
        let mut holders = Vec::new();
        // A seat outside the pool can't obtain a lease; if it led, `check_agreement` would count it.
        for seat in &self.config.settings.pool {
            let node = &self.nodes[usize::from(seat.0)];
            let local_time = node.clock.reading_at(now);
            if let Some(lease) = node.instance.as_ref().and_then(|i| i.lease(local_time)) {
                holders.push((*seat, lease.term().0));
            }
        }
        holders
    }

    /// Starts a fault now that was not scheduled.
    pub fn inject_fault(&mut self, scheduled: ScheduledFault) {
        self.config.fault_schedule.push(scheduled);
        self.begin_fault(self.config.fault_schedule.len() - 1);
    }

    /// Processes the events before `until`. Returns false, and stops early, once an invariant is violated.
    pub fn run_until(&mut self, until: Tenths) -> bool {
        let (started_at, steps_before) = (self.queue.now(), self.steps);
        while let Some(event) = self.queue.pop_before(until) {
            self.handle_event(event);
            let elapsed = self.queue.now() - started_at;
            let (steps, seconds) = (self.steps - steps_before, elapsed.0 / 10_000);
            let commands = elapsed.0 / self.config.command_interval.0.max(1);
            let expected_steps = (2000 + 1000 * seconds as u64) * u64::from(self.config.settings.seats);
            if steps > expected_steps + 40 * commands as u64 {
                self.invariants.violations.push(Violation::Spins { steps, seconds });
            }
            if !self.invariants.violations.is_empty() {
                return false;
            }
        }
        true
    }

    /// Runs to the end: first with faults and commands, then without, after which all instances must agree.
    pub fn run(mut self) -> Outcome {
        let faults_until = self.config.faults_until;
        if self.run_until(faults_until) {
            self.heal_all();
            let end = self.config.end;
            if self.run_until(end) {
                self.check_agreement();
            }
        }
        self.outcome()
    }

    /// The result so far.
    pub fn outcome(self) -> Outcome {
        let invariants = self.invariants;
        Outcome {
            hash: self.trace.hash(),
            steps: self.steps,
            broken: invariants.violations,
            leaders: invariants.leaders,
            acts: invariants.actions,
            refused_acts: invariants.refused_actions,
            decrees: invariants.committed_entries,
            foundings: invariants.bootstraps,
            lost_with_memory: invariants.entries_lost_with_memory,
            leaderless: Tenths(invariants.leaderless_time),
            longest_leaderless: Tenths(invariants.longest_leaderless_time),
            datagrams: self.net.datagrams_sent,
            bytes: self.net.bytes_sent,
        }
    }

    /// Heals the network, starts every process that is down and resumes every paused one.
    fn heal_all(&mut self) {
        self.net.heal_all();
        for seat in (0..self.config.settings.seats).map(Seat) {
            if self.nodes[usize::from(seat.0)].instance.is_none() {
                self.start(seat);
            }
            self.resume(seat);
        }
    }

    /// The commands that the pool remembers, committed or not: those of running instances and, of instances that
    /// are down, those on disk.
    fn held_commands(&self) -> BTreeSet<CommandDigest> {
        let mut held = BTreeSet::new();
        for seat in &self.config.settings.pool {
            let node = &self.nodes[usize::from(seat.0)];
            let on_disk = || PersistentState::decode(node.disk.as_deref()?, *seat).map(|state| state.log);
            let running = node.instance.as_ref().map(|instance| instance.raft().log().clone());
            let Some(log) = running.or_else(on_disk) else { continue };
            held.extend(committed_commands(&log));
            held.extend(log.entries_after(Number(0)).map(command_digest));
        }
        held
    }

    /// Checks that there is one leader, that all instances have committed the same entries and that the
    /// number of terms is explained.
    fn check_agreement(&mut self) {
        let at = self.queue.now();
        let is_leader = |node: &&Node| node.instance.as_ref().is_some_and(|i| i.raft().is_leader());
        if self.lease_holders().len() != 1 || self.nodes.iter().filter(is_leader).count() != 1 {
            self.invariants.violations.push(Violation::NoLeader { at });
        }
        let committed = |node: &Node| node.instance.as_ref().map_or(0, |i| i.raft().committed().1 .0);
        let most = self.nodes.iter().map(committed).max().unwrap_or(0);
        let behind = (0..).zip(&self.nodes).find(|(_, node)| committed(node) < most);
        if let Some((seat, node)) = behind {
            let has = committed(node);
            self.invariants.violations.push(Violation::Unequal { at, seat: Seat(seat), has, most });
        }
        let term = |node: &Node| node.instance.as_ref().map_or(0, |i| i.raft().term().number_in_era());
        let terms = self.nodes.iter().map(term).max().unwrap_or(0);
        // A few elections may fail by chance; a new term at every timeout is a fault.
        let allowed = 8 + 2 * self.invariants.leaders + self.faults_injected;
        if terms > allowed {
            self.invariants.violations.push(Violation::TermsRanAway { terms, allowed });
        }
    }

    fn handle_event(&mut self, event: Event) {
        self.steps += 1;
        self.trace.add_number(self.queue.now().0);
        if self.verbose {
            match &event {
                Event::DatagramArrives { .. } | Event::Wake { .. } => {}
                Event::Written { seat, number, promises, .. } => {
                    let state = describe_state(*seat, promises);
                    println!(
                        "{:>9.1} Written {{ seat: {seat:?}, number: {number}, {state} }}",
                        self.now_ms()
                    );
                }
                other => println!("{:>9.1} {other:?}", self.now_ms()),
            }
        }
        let recipient = match &event {
            Event::DatagramArrives { to, .. } => Some(*to),
            Event::Wake { seat, .. } | Event::Written { seat, .. } | Event::Act { seat, .. } => Some(*seat),
            _ => None,
        };
        let recipient = recipient.map(|seat| &mut self.nodes[usize::from(seat.0)]);
        if let Some(node) = recipient.filter(|node| node.paused) {
            if node.pending.len() < MAX_EVENTS_WHILE_PAUSED {
                node.pending.push(event);
            }
            return;
        }
        match event {
            Event::DatagramArrives { to, from, bytes } => {
                self.trace.add_number(i64::from(from.0) << 16 | i64::from(to.0));
                self.trace.add_bytes(&bytes);
                self.step(to, Input::Datagram(&bytes));
            }
            Event::Wake { seat, life, timer } => {
                let node = &self.nodes[usize::from(seat.0)];
                if node.life == life && node.timer == timer {
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
            Event::Act { seat, life, stepped, mandate: lease } => {
                let node = &self.nodes[usize::from(seat.0)];
                if (node.life, node.clock_steps) == (life, stepped) && node.instance.is_some() {
                    let now = self.queue.now();
                    let allowed = lease.check(node.clock.reading_at(now)).is_ok();
                    self.invariants.on_action(now, seat, lease.term().0, allowed);
                }
            }
            Event::Command { nth } => self.propose_command(nth),
            Event::Begins(index) => self.begin_fault(index),
            Event::Ends(index) => self.end_fault(index),
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
        let holders = self.lease_holders();
        self.invariants.observe_lease_holders(self.queue.now(), &holders);
    }

    fn propose_command(&mut self, nth: u32) {
        // Every instance that believes that it leads proposes the command; the protocol must resolve
        // conflicts.
        for seat in (0..self.config.settings.seats).map(Seat) {
            let node = &self.nodes[usize::from(seat.0)];
            if node.instance.as_ref().is_some_and(|i| i.raft().is_leader()) && !node.paused {
                let voice = if nth.is_multiple_of(3) { VoteChoice::On } else { VoteChoice::Back };
                let command = match nth % 4 {
                    0 => Command::Widen { build: 7, stage: nth, share: nth },
                    1 => Command::Freeze { build: nth as u16, frozen: true },
                    _ => Command::Vote { build: nth as u16, stage: 1, voice },
                };
                self.step(seat, Input::Command(command));
            }
        }
        if self.queue.now() < self.config.faults_until {
            let at = self.queue.now() + self.config.command_interval;
            self.queue.schedule(at, Event::Command { nth: nth + 1 });
        }
    }

    fn start(&mut self, seat: Seat) {
        let now = self.queue.now();
        let (seed, keys) = (self.rng.u64(..), KeySet::new(test_key(self.key_number)));
        let node = &mut self.nodes[usize::from(seat.0)];
        if node.instance.is_some() {
            return;
        }
        // Lives are wall-clock times, on which all machines agree, so that a later process has a higher life.
        node.life = Life((1 << 40) + now.0 as u64 + 1);
        let persisted = node.disk.as_deref().and_then(|bytes| PersistentState::decode(bytes, seat));
        node.instance = Some(Instance::new(InstanceConfig {
            now: node.clock.reading_at(now),
            seat,
            life: node.life,
            seed,
            settings: self.config.settings.clone(),
            keys,
            persisted,
            planted: self.config.planted.map_or(Planted::default(), Planted::new),
        }));
        self.step(seat, Input::Tick);
    }

    fn crash(&mut self, seat: Seat, keeps_memory: bool) {
        let node = &mut self.nodes[usize::from(seat.0)];
        node.instance = None;
        node.pending.clear();
        node.paused = false;
        if !keeps_memory || !self.config.settings.durable {
            node.disk = None;
        }
    }

    fn resume(&mut self, seat: Seat) {
        let node = &mut self.nodes[usize::from(seat.0)];
        if std::mem::take(&mut node.paused) {
            // A process that resumes reads its key file again, so it can't miss a change of the key.
            let old_until = node.clock.reading_at(self.queue.now()) + Tenths::ms(4000);
            self.step(seat, Input::NewKey { key: test_key(self.key_number), old_until });
            let node = &mut self.nodes[usize::from(seat.0)];
            for event in std::mem::take(&mut node.pending) {
                self.handle_event(event);
            }
        }
    }

    fn begin_fault(&mut self, index: usize) {
        let now = self.queue.now();
        self.faults_injected += 1;
        let faults_until = self.config.faults_until;
        let fault_end = |lasts: Tenths| (now + lasts).min(faults_until);
        let ScheduledFault { fault, .. } = self.config.fault_schedule[index].clone();
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
                self.queue.schedule(fault_end(*lasts), Event::Resumes { seat: *seat });
            }
            Fault::Flap { a, b, every, lasts } => {
                let until = fault_end(*lasts);
                self.faults_injected += (lasts.0 / every.0.max(1)) as u64 / 4;
                let turn = Event::FlapTurn { a: *a, b: *b, every: *every, until, cut: false };
                self.queue.schedule(now, turn);
            }
            Fault::Step { seat, by } => {
                let node = &mut self.nodes[usize::from(seat.0)];
                // The protocol doesn't survive a clock step during a pause, as its documentation says: the
                // service's monotonic clock can't be stepped.
                if node.paused {
                    return;
                }
                node.clock.step(now, *by);
                // Actions scheduled under a lease from before the step are dropped: by the service's clock,
                // which is never stepped, such a lease would have expired.
                node.clock_steps += 1;
                node.timer += 1;
                let wake = Event::Wake { seat: *seat, life: node.life, timer: node.timer };
                self.queue.schedule(now, wake);
            }
            Fault::Transfer { to } => {
                for seat in (0..self.config.settings.seats).map(Seat) {
                    let node = &self.nodes[usize::from(seat.0)];
                    if node.instance.as_ref().is_some_and(|i| i.raft().is_leader()) && !node.paused {
                        self.step(seat, Input::TransferLeadership(*to));
                    }
                }
            }
            Fault::NewKey { lasts } => {
                let new_key = self.key_number.wrapping_add(1);
                self.key_number = new_key;
                // First all instances accept the new key; then they start to seal with it, some at once and
                // the others when the fault ends.
                for seat in (0..self.config.settings.seats).map(Seat) {
                    let Some(local_time) = self.running_local_time(seat) else { continue };
                    let until = local_time + *lasts + *lasts;
                    self.step(seat, Input::AcceptKey { key: test_key(new_key), until });
                    if self.rng.bool() {
                        self.step(seat, Input::NewKey { key: test_key(new_key), old_until: until });
                    }
                }
                self.queue.schedule(fault_end(*lasts), Event::Ends(index));
            }
            Fault::Zone { lasts, .. }
            | Fault::OneWay { lasts, .. }
            | Fault::Deaf { lasts, .. }
            | Fault::Mute { lasts, .. }
            | Fault::Loss { lasts, .. }
            | Fault::Late { lasts, .. }
            | Fault::Double { lasts, .. } => {
                for (from, to) in self.cut_links(&fault) {
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
                self.queue.schedule(fault_end(*lasts), Event::Ends(index));
            }
        }
    }

    /// The local time of an instance; none if its process is down or paused.
    fn running_local_time(&self, seat: Seat) -> Option<Tenths> {
        let node = &self.nodes[usize::from(seat.0)];
        (node.instance.is_some() && !node.paused).then(|| node.clock.reading_at(self.queue.now()))
    }

    /// The links that a fault cuts, each from one seat to another.
    fn cut_links(&self, fault: &Fault) -> Vec<(Seat, Seat)> {
        let seats = self.config.settings.seats;
        let others = |seat: Seat| (0..seats).map(Seat).filter(move |s| *s != seat);
        match fault {
            Fault::Zone { seats: zone, .. } => {
                links_between(&zone.iter().copied().collect::<BTreeSet<_>>(), seats)
            }
            Fault::OneWay { from, to, .. } => vec![(*from, *to)],
            Fault::Deaf { seat, .. } => others(*seat).map(|s| (s, *seat)).collect(),
            Fault::Mute { seat, .. } => others(*seat).map(|s| (*seat, s)).collect(),
            _ => Vec::new(),
        }
    }

    fn end_fault(&mut self, index: usize) {
        let fault = self.config.fault_schedule[index].fault.clone();
        for (from, to) in self.cut_links(&fault) {
            self.net.heal(from, to);
        }
        match fault {
            Fault::Loss { .. } => self.net.loss_rate = 0.0,
            Fault::Late { .. } => self.net.late_rate = 0.0,
            Fault::Double { .. } => self.net.duplicate_rate = 0.0,
            Fault::NewKey { lasts } => {
                let new_key = self.key_number;
                for seat in (0..self.config.settings.seats).map(Seat) {
                    let Some(local_time) = self.running_local_time(seat) else { continue };
                    let old_until = local_time + lasts;
                    self.step(seat, Input::NewKey { key: test_key(new_key), old_until });
                }
            }
            _ => {}
        }
    }

    /// Gives an input to an instance, carries out its effects and sets its timer.
    fn step(&mut self, seat: Seat, input: Input) {
        let now = self.queue.now();
        let node = &mut self.nodes[usize::from(seat.0)];
        let local_time = node.clock.reading_at(now);
        let Some(instance) = &mut node.instance else { return };
        let effects = instance.step(local_time, input);
        let due = node.clock.first_time_showing(instance.next_due());
        node.timer += 1;
        let (life, timer) = (node.life, node.timer);
        self.queue.schedule(due.max(now + Tenths(1)), Event::Wake { seat, life, timer });
        for effect in effects {
            self.apply_effect(seat, life, effect);
        }
    }

    fn apply_effect(&mut self, seat: Seat, life: Life, effect: Effect) {
        let now = self.queue.now();
        if self.verbose {
            match &effect {
                Effect::Send { .. } => {}
                Effect::Persist { version, .. } => {
                    println!("{:>9.1} seat {}: Keep {{ number: {version} }}", self.now_ms(), seat.0);
                }
                other => println!("{:>9.1} seat {}: {other:?}", self.now_ms(), seat.0),
            }
        }
        match effect {
            Effect::Send { to, bytes } => {
                if bytes.len() > MAX_DATAGRAM_BYTES {
                    let violation = Violation::TooLong { at: now, seat, bytes: bytes.len() };
                    self.invariants.violations.push(violation);
                }
                for delay in self.net.transmit(&mut self.rng, seat, to, bytes.len()) {
                    let arrival = Event::DatagramArrives { to, from: seat, bytes: bytes.clone() };
                    self.queue.schedule(now + delay, arrival);
                }
            }
            Effect::Persist { version, state } => {
                let write_time = Tenths::ms(self.rng.i64(0..20));
                let written = Event::Written { seat, life, number: version, promises: state };
                self.queue.schedule(now + write_time, written);
            }
            Effect::BecameLeader(_) => {
                let committed = self.instance(seat).map_or(0, |i| i.raft().committed().1 .0);
                self.invariants.on_leader_elected(now, seat, committed);
                let log = self.instance(seat).map(|instance| instance.raft().log());
                let held = log.map(committed_commands).unwrap_or_default();
                self.invariants.on_leader_state(now, seat, &held);
            }
            Effect::Committed { entry, lease } => {
                self.trace.add_number(entry.number.0 as i64);
                self.invariants.on_committed(now, seat, entry.number.0, entry_digest(&entry));
                if let Some(subject) = entry.command.subject() {
                    let (number, command) = (entry.number.0, command_digest(&entry));
                    self.invariants.on_command_committed(number, format!("{subject:?}"), command);
                }
                if let (Some(lease), true) = (lease, entry.command.subject().is_some()) {
                    // Up to a quarter longer than a lease may be used, so that some actions are too late.
                    let latest = self.config.settings.max_grant_time.0 * 5 / 4;
                    let delay = Tenths(self.rng.i64(0..latest));
                    let stepped = self.nodes[usize::from(seat.0)].clock_steps;
                    self.queue.schedule(now + delay, Event::Act { seat, life, stepped, mandate: lease });
                }
            }
            Effect::Bootstrapped { .. } => {
                let last_number =
                    |node: &Node| node.instance.as_ref().map_or(0, |i| i.raft().log().last().1 .0);
                let pool = self.config.settings.pool.iter();
                let highest_held =
                    pool.map(|s| last_number(&self.nodes[usize::from(s.0)])).max().unwrap_or(0);
                self.invariants.on_bootstrap(highest_held);
                let held = self.held_commands();
                self.invariants.on_bootstrap_of_commands(|command| held.contains(&command));
            }
            Effect::MemberChanged { seat: member, health: Health::Dead } => {
                self.declared_dead.push((now, seat, member));
            }
            Effect::MemberChanged { seat: member, health: Health::Suspect } => {
                self.suspected.push((now, member));
            }
            Effect::SnapshotInstalled { .. }
            | Effect::SteppedDown { .. }
            | Effect::Rejected { .. }
            | Effect::MemberChanged { .. } => {}
        }
    }

    /// How many members an instance considers alive, suspect and dead.
    pub fn member_counts(&self, seat: Seat) -> BTreeMap<&'static str, usize> {
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
