//! Failure detection: which instances are alive, by probes and gossip.
//!
//! This is SWIM (Das, Gupta and Motivala 2002) with three refinements of Lifeguard (Dadgar, Phillips and
//! Currey 2017): a suspicion times out sooner when other members confirm it, probes wait longer while this
//! instance itself seems slow, and a suspected member is informed of the suspicion first. The load of each
//! member does not depend on how many there are.
//!
//! The module only reports what is known of each seat. Voters and leaders are chosen in [`crate::raft`].

use std::collections::VecDeque;

use crate::ids::*;
use crate::settings::Settings;
use crate::wire::{Gossip, Health, MemberState, Message, MAX_GOSSIP_MEMBERS};

/// Members that are asked for an indirect probe, and that are pinged at once when this instance leaves.
const INDIRECT_PROBES: usize = 3;
/// Attempts to draw a seat that is alive.
const RANDOM_SEAT_ATTEMPTS: usize = 8;
/// Confirmations by other members after which a suspicion has its shortest timeout.
const CONFIRMATIONS_FOR_MIN_TIMEOUT: usize = 2;
/// Shortest suspicion timeout, in probe intervals for each doubling of the members.
const MIN_SUSPICION_INTERVALS: f64 = 2.0;
/// The timeout of an unconfirmed suspicion, as a multiple of the shortest.
const MAX_SUSPICION_FACTOR: f64 = 3.0;
/// How many times a change is passed on, for each doubling of the members.
const TRANSMISSIONS_PER_DOUBLING: f64 = 3.0;
/// Highest value of the local slowness; see [`Members`].
const MAX_SLOWNESS: u32 = 7;
/// One probe in this many may go to a seat that is dead or has left, so that members find each other again
/// after a network partition.
const DEAD_PROBE_PERIOD: u32 = 6;
/// Indirect probes that this instance makes for others at one time.
const MAX_RELAYS: usize = 32;
/// Bytes left free in each message with gossip.
const RESERVED_GOSSIP_BYTES: usize = 3;
/// Combined with the instance's seed, so that this module draws other numbers than the rest.
const SEED_MASK: u64 = 0x5717;

/// What is known of another member.
#[derive(Clone, Debug)]
struct Member {
    state: MemberState,
    /// When the life, health or memory last changed.
    since: Tenths,
    /// Present while the health is [`Health::Suspect`].
    suspicion: Option<Suspicion>,
}

#[derive(Clone, Debug)]
struct Suspicion {
    since: Tenths,
    /// The members that suspect it; all after the first confirm the suspicion.
    suspecters: Vec<Seat>,
}

/// The probe of this instance that waits for an answer.
struct Probe {
    seat: Seat,
    nonce: u32,
    /// When other members are asked to probe the seat as well.
    indirect_at: Tenths,
    /// When the seat becomes suspected.
    deadline: Tenths,
    /// Whether other members were asked.
    indirect_sent: bool,
    /// When one more direct ping is sent, so that one or two lost datagrams do not cause a suspicion.
    resend_at: Tenths,
}

/// An indirect probe that this instance makes for another.
struct Relay {
    nonce: u32,
    target: Seat,
    /// The member that asked for the probe.
    origin: Seat,
    /// The nonce that the acknowledgement to `origin` repeats.
    origin_nonce: u32,
    until: Tenths,
}

/// A member state that is still passed on.
struct Broadcast {
    /// How many times it was sent.
    transmissions: u32,
    seat: Seat,
}

/// The failure detector of one instance.
///
/// Slowness counts signs that this instance itself is slow, such as its own probes that fail. It is
/// Lifeguard's local health multiplier: each step adds one base timeout to the timeouts of probes.
pub struct Members {
    /// The state of this instance.
    own_state: MemberState,
    settings: Settings,
    rng: fastrand::Rng,
    /// The other members by seat; `None` if nothing is known.
    members: Vec<Option<Member>>,
    /// The seats still to be probed in this round. Each seat is probed once in a round, in random order (SWIM,
    /// section 4.3).
    round: VecDeque<Seat>,
    probe: Option<Probe>,
    next_probe_at: Tenths,
    /// Probes started so far.
    probe_count: u32,
    relays: VecDeque<Relay>,
    /// Ordered by transmissions, fewest first; at most one for each seat.
    broadcasts: Vec<Broadcast>,
    suspected_seats: Vec<Seat>,
    slowness: u32,
    last_nonce: u32,
    leaving: bool,
    /// Changes of life, health or memory since they were last taken.
    pub changes: Vec<MemberState>,
}

impl Members {
    /// Starts with no knowledge of other members. `memory` is that of the process's persistent state.
    pub fn new(
        now: Tenths, seat: Seat, life: Life, memory: Memory, settings: &Settings, seed: u64,
    ) -> Members {
        // Memory(0) denotes a memory that was created with the process.
        let memory = if memory.0 == life.0 { Memory(0) } else { memory };
        let own_state = MemberState {
            seat,
            life,
            incarnation: 0,
            health: Health::Alive,
            suspected_by: seat,
            memory: Some(memory),
        };
        let mut rng = fastrand::Rng::with_seed(seed ^ SEED_MASK);
        let first_probe_at = now + Tenths((rng.f64() * settings.probe_interval.0 as f64) as i64);
        Members {
            own_state,
            members: vec![None; usize::from(settings.seats)],
            settings: settings.clone(),
            rng,
            round: VecDeque::new(),
            probe: None,
            next_probe_at: first_probe_at,
            probe_count: 0,
            relays: VecDeque::new(),
            broadcasts: vec![Broadcast { transmissions: 0, seat }],
            suspected_seats: Vec::new(),
            slowness: 0,
            last_nonce: 0,
            leaving: false,
            changes: Vec::new(),
        }
    }

    /// The life of this process.
    pub fn life(&self) -> Life {
        self.own_state.life
    }

    fn member(&self, seat: Seat) -> Option<&Member> {
        self.members.get(usize::from(seat.0))?.as_ref()
    }

    /// The state of the member at a seat, this instance included; `None` if nothing is known.
    pub fn state(&self, seat: Seat) -> Option<MemberState> {
        if seat == self.own_state.seat {
            return Some(self.own_state);
        }
        self.member(seat).map(|member| member.state)
    }

    /// Whether the member at a seat is alive, suspected or not.
    pub fn is_alive(&self, seat: Seat) -> bool {
        self.state(seat).is_some_and(|state| matches!(state.health, Health::Alive | Health::Suspect))
    }

    /// The memory of the live process at a seat; `None` if it is not alive or its memory is not known.
    pub fn memory(&self, seat: Seat) -> Option<Memory> {
        let state =
            self.state(seat).filter(|state| matches!(state.health, Health::Alive | Health::Suspect))?;
        state.memory.map(|memory| if memory == Memory(0) { Memory(state.life.0) } else { memory })
    }

    /// Since when the member at a seat is dead or has left; `None` if it is neither.
    pub fn gone_since(&self, seat: Seat) -> Option<Tenths> {
        let member = self.member(seat)?;
        matches!(member.state.health, Health::Dead | Health::Left).then_some(member.since)
    }

    /// How many members have this health, this instance included.
    pub fn count(&self, health: Health) -> usize {
        let others = self.members.iter().flatten().filter(|member| member.state.health == health).count();
        others + usize::from(self.own_state.health == health)
    }

    /// A random other member that is alive. Gives up after a few draws, also if there are such members.
    pub fn random_alive_seat(&mut self) -> Option<Seat> {
        (0..RANDOM_SEAT_ATTEMPTS).find_map(|_| {
            let seat = Seat(self.rng.u16(0..self.settings.seats));
            (seat != self.own_state.seat && self.is_alive(seat)).then_some(seat)
        })
    }

    /// Raises the life of this process, because others know a higher one from an earlier process at this
    /// seat.
    pub fn set_own_life(&mut self, life: Life) {
        if self.own_state.memory == Some(Memory(0)) {
            self.own_state.memory = Some(Memory(self.own_state.life.0));
        }
        self.own_state.life = life;
        self.queue_broadcast(self.own_state.seat);
    }

    /// The binary logarithm of the number of instances, rounded up and at least 1.
    fn log2_seats(&self) -> f64 {
        f64::from(self.settings.seats).max(2.0).log2().ceil()
    }

    /// Passes the state of a seat on with the next messages, ahead of those that were already sent.
    fn queue_broadcast(&mut self, seat: Seat) {
        self.broadcasts.retain(|broadcast| broadcast.seat != seat);
        self.broadcasts.insert(0, Broadcast { transmissions: 0, seat });
    }

    /// The gossip for a message to `to`. If `to` is not alive as far as is known here, that comes first, so
    /// that it can refute it soon (Lifeguard's buddy system).
    pub fn gossip(&mut self, to: Seat, committed: (Term, Number)) -> Gossip {
        let max_transmissions = (TRANSMISSIONS_PER_DOUBLING * self.log2_seats()) as u32;
        let mut states: Vec<MemberState> =
            self.state(to).filter(|state| state.health != Health::Alive).into_iter().collect();
        let mut broadcasts = std::mem::take(&mut self.broadcasts);
        let others = broadcasts.iter().map(|broadcast| broadcast.seat).filter(|seat| *seat != to);
        states.extend(others.take(MAX_GOSSIP_MEMBERS - states.len()).filter_map(|seat| self.state(seat)));
        let gossip = Gossip { members: states, committed }.truncate_to_fit(RESERVED_GOSSIP_BYTES);
        for Broadcast { transmissions, seat } in &mut broadcasts {
            *transmissions += u32::from(gossip.members.iter().any(|state| state.seat == *seat));
        }
        broadcasts.retain(|broadcast| broadcast.transmissions < max_transmissions);
        broadcasts.sort_by_key(|broadcast| broadcast.transmissions);
        self.broadcasts = broadcasts;
        gossip
    }

    fn next_nonce(&mut self) -> u32 {
        self.last_nonce = self.last_nonce.wrapping_add(1);
        self.last_nonce
    }

    fn raise_slowness(&mut self, steps: u32) {
        self.slowness = (self.slowness + steps).min(MAX_SLOWNESS);
    }

    /// A timeout for probes: longer while this instance seems slow.
    fn scaled_timeout(&self, base: Tenths) -> Tenths {
        Tenths(base.0 * i64::from(self.slowness + 1))
    }

    /// How long a suspicion with this many confirmations lasts before the member counts as dead (Lifeguard's
    /// dynamic suspicion timeout).
    fn suspicion_timeout(&self, confirmations: usize) -> Tenths {
        let shortest =
            MIN_SUSPICION_INTERVALS * self.log2_seats().max(2.0) * self.settings.probe_interval.0 as f64;
        let share = (confirmations as f64 + 1.0).ln() / (CONFIRMATIONS_FOR_MIN_TIMEOUT as f64 + 1.0).ln();
        let timeout =
            MAX_SUSPICION_FACTOR * shortest - (MAX_SUSPICION_FACTOR - 1.0) * shortest * share.min(1.0);
        // With so few members there are not enough others to confirm a suspicion.
        let too_few_to_confirm = usize::from(self.settings.seats) < CONFIRMATIONS_FOR_MIN_TIMEOUT + 2;
        Tenths(if too_few_to_confirm { shortest } else { timeout } as i64)
    }

    /// The time at which [`Members::tick`] has work to do next.
    pub fn next_due(&self) -> Tenths {
        let probe_due = self.probe.as_ref().map_or(Tenths::NEVER, |probe| {
            if probe.indirect_sent {
                probe.resend_at.min(probe.deadline)
            } else {
                probe.indirect_at
            }
        });
        let mut due = self.next_probe_at.min(probe_due);
        for seat in &self.suspected_seats {
            due = due.min(self.suspicion_deadline(*seat));
        }
        due
    }

    /// When the suspected member at a seat counts as dead; never if it is not suspected.
    fn suspicion_deadline(&self, seat: Seat) -> Tenths {
        let suspicion = self.members[usize::from(seat.0)].as_ref().and_then(|m| m.suspicion.as_ref());
        suspicion.map_or(Tenths::NEVER, |suspicion| {
            let confirmations = suspicion.suspecters.len().saturating_sub(1);
            suspicion.since + self.suspicion_timeout(confirmations)
        })
    }

    /// The clock was stepped, or this process was paused. Datagrams that arrived meanwhile must be read
    /// before anybody is suspected, so timeouts start again.
    pub fn on_clock_anomaly(&mut self, now: Tenths) {
        self.raise_slowness(2);
        if let Some(probe) = &mut self.probe {
            probe.deadline = probe.deadline.max(now + self.settings.probe_interval);
        }
        self.next_probe_at = self.next_probe_at.max(now + self.settings.round_trip);
        for member in self.members.iter_mut().flatten() {
            if let Some(suspicion) = &mut member.suspicion {
                suspicion.since = suspicion.since.max(now);
            }
        }
    }

    /// Sends the ping of a probe once more.
    fn resend_ping(&mut self, probe: &Probe, committed: (Term, Number), outbox: &mut Vec<(Seat, Message)>) {
        let gossip = self.gossip(probe.seat, committed);
        outbox.push((probe.seat, Message::Ping { nonce: probe.nonce, gossip }));
    }

    /// Does everything that is due at `now`: probes and the end of suspicions.
    pub fn tick(&mut self, now: Tenths, committed: (Term, Number), outbox: &mut Vec<(Seat, Message)>) {
        self.relays.retain(|relay| relay.until > now);
        if let Some(probe) = self.probe.take() {
            self.continue_probe(now, probe, committed, outbox);
        }
        for seat in self.suspected_seats.clone() {
            if now >= self.suspicion_deadline(seat) {
                if let Some(state) = self.state(seat) {
                    self.apply(now, MemberState { health: Health::Dead, ..state });
                }
            }
        }
        if now >= self.next_probe_at {
            self.next_probe_at = now + self.settings.probe_interval;
            if self.probe.is_none() {
                self.start_probe(now, committed, outbox);
            }
        }
    }

    /// Takes the steps of an unanswered probe that are due: indirect probes, a second ping, the suspicion.
    fn continue_probe(
        &mut self, now: Tenths, mut probe: Probe, committed: (Term, Number),
        outbox: &mut Vec<(Seat, Message)>,
    ) {
        if !probe.indirect_sent && now >= probe.indirect_at {
            probe.indirect_sent = true;
            self.resend_ping(&probe, committed, outbox);
            self.send_indirect_probes(&probe, committed, outbox);
        }
        if now >= probe.resend_at {
            probe.resend_at = Tenths::NEVER;
            self.resend_ping(&probe, committed, outbox);
        }
        if now >= probe.deadline {
            self.raise_slowness(1);
            self.suspect(now, probe.seat, self.own_state.seat);
        } else {
            self.probe = Some(probe);
        }
    }

    /// Asks a few random members to probe the seat as well.
    fn send_indirect_probes(
        &mut self, probe: &Probe, committed: (Term, Number), outbox: &mut Vec<(Seat, Message)>,
    ) {
        let candidates: Vec<Seat> =
            (0..INDIRECT_PROBES * 2).filter_map(|_| self.random_alive_seat()).collect();
        let mut asked = Vec::new();
        for other in candidates {
            if other != probe.seat && !asked.contains(&other) && asked.len() < INDIRECT_PROBES {
                asked.push(other);
                let gossip = self.gossip(other, committed);
                outbox.push((other, Message::PingReq { nonce: probe.nonce, target: probe.seat, gossip }));
            }
        }
    }

    /// Probes the next seat of the round.
    fn start_probe(&mut self, now: Tenths, committed: (Term, Number), outbox: &mut Vec<(Seat, Message)>) {
        self.probe_count += 1;
        let may_probe_dead = self.probe_count.is_multiple_of(DEAD_PROBE_PERIOD);
        // While no other member is alive, every probe may go to a dead one.
        let alone = self.count(Health::Alive) <= 1;
        for _ in 0..=usize::from(self.settings.seats) {
            if self.round.is_empty() {
                let mut seats: Vec<Seat> = (0..self.settings.seats).map(Seat).collect();
                self.rng.shuffle(&mut seats);
                self.round = seats.into();
            }
            let Some(seat) = self.round.pop_front() else { return };
            let health = self.members[usize::from(seat.0)].as_ref().map(|member| member.state.health);
            let gone = matches!(health, Some(Health::Dead | Health::Left));
            if seat == self.own_state.seat || (gone && !may_probe_dead && !alone) {
                continue;
            }
            let nonce = self.next_nonce();
            let gossip = self.gossip(seat, committed);
            outbox.push((seat, Message::Ping { nonce, gossip }));
            // A member that was never there, or is known to be gone, can't become suspected.
            if health.is_some() && !gone {
                let indirect_at = now + self.scaled_timeout(self.settings.round_trip);
                let probe_timeout =
                    self.scaled_timeout(self.settings.probe_interval).max(self.settings.round_trip);
                let deadline = now + probe_timeout;
                let resend_at = Tenths((indirect_at.0 + deadline.0) / 2);
                let indirect_sent = false;
                self.probe = Some(Probe { seat, nonce, indirect_at, deadline, indirect_sent, resend_at });
            }
            return;
        }
    }

    /// Acknowledges a ping.
    pub fn on_ping(
        &mut self, from: Seat, nonce: u32, committed: (Term, Number), outbox: &mut Vec<(Seat, Message)>,
    ) {
        let gossip = self.gossip(from, committed);
        outbox.push((from, Message::Ack { nonce, gossip }));
    }

    /// Probes `target` for the member at `from`. Ignored while this instance makes `MAX_RELAYS` such probes.
    pub fn on_ping_req(
        &mut self, now: Tenths, from: Seat, origin_nonce: u32, target: Seat, committed: (Term, Number),
        outbox: &mut Vec<(Seat, Message)>,
    ) {
        if target == self.own_state.seat || target.0 >= self.settings.seats || self.relays.len() >= MAX_RELAYS
        {
            return;
        }
        let nonce = self.next_nonce();
        let until = now + self.settings.probe_interval;
        self.relays.push_back(Relay { nonce, target, origin: from, origin_nonce, until });
        let gossip = self.gossip(target, committed);
        outbox.push((target, Message::Ping { nonce, gossip }));
    }

    /// Ends the probe that the acknowledgement answers, or passes the acknowledgement on to the member that
    /// asked for an indirect probe.
    pub fn on_ack(
        &mut self, now: Tenths, from: Seat, nonce: u32, committed: (Term, Number),
        outbox: &mut Vec<(Seat, Message)>,
    ) {
        if let Some(probe) = self.probe.take_if(|probe| probe.nonce == nonce) {
            // A direct answer in time shows that this instance is not slow.
            let direct = probe.seat == from && !probe.indirect_sent && now <= probe.indirect_at;
            self.slowness = if direct { self.slowness.saturating_sub(1) } else { self.slowness };
        }
        if let Some(index) = self.relays.iter().position(|relay| relay.nonce == nonce && relay.target == from)
        {
            let relay = self.relays.remove(index).expect("the index was just found");
            let gossip = self.gossip(relay.origin, committed);
            outbox.push((relay.origin, Message::Ack { nonce: relay.origin_nonce, gossip }));
        }
    }

    /// A datagram arrived from this process, so it is alive. Its memory is not known from that.
    pub fn on_heard_from(&mut self, now: Tenths, seat: Seat, life: Life) {
        let newer = self.state(seat).is_none_or(|state| state.life < life);
        if newer {
            let state = MemberState {
                seat,
                life,
                incarnation: 0,
                health: Health::Alive,
                suspected_by: seat,
                memory: None,
            };
            self.apply(now, state);
        }
    }

    /// Suspects the member at a seat, or adds a confirmation if it is suspected already.
    fn suspect(&mut self, now: Tenths, seat: Seat, by: Seat) {
        let Some(state) = self.state(seat) else { return };
        if state.health == Health::Alive {
            self.apply(now, MemberState { health: Health::Suspect, suspected_by: by, ..state });
        }
        let Some(member) = self.members[usize::from(seat.0)].as_mut() else { return };
        let Some(suspicion) = &mut member.suspicion else { return };
        let suspecters = &mut suspicion.suspecters;
        if !suspecters.contains(&by) && suspecters.len() <= CONFIRMATIONS_FOR_MIN_TIMEOUT {
            suspecters.push(by);
            self.queue_broadcast(seat);
        }
    }

    /// Merges a state that another member passed on.
    pub fn merge(&mut self, now: Tenths, state: MemberState) {
        if state.seat.0 >= self.settings.seats {
            return;
        }
        if state.seat == self.own_state.seat {
            return self.refute(state);
        }
        let confirms = state.health == Health::Suspect
            && self
                .state(state.seat)
                .is_some_and(|known| known.life == state.life && known.incarnation == state.incarnation);
        if confirms {
            self.suspect(now, state.seat, state.suspected_by);
        }
        self.apply(now, state);
    }

    /// Another member reports this process as suspected or dead: raises the incarnation to refute that.
    fn refute(&mut self, state: MemberState) {
        let about_this_process = state.life == self.own_state.life && state.health != Health::Alive;
        if about_this_process && !self.leaving && state.incarnation >= self.own_state.incarnation {
            self.own_state.incarnation = state.incarnation + 1;
            self.raise_slowness(1);
            self.queue_broadcast(self.own_state.seat);
        }
    }

    /// Whether `new` replaces `old`: by life, then incarnation, then health, or because it adds the
    /// memory.
    fn supersedes(new: &MemberState, old: &MemberState) -> bool {
        (new.life, new.incarnation, new.health) > (old.life, old.incarnation, old.health)
            || (new.life == old.life && old.memory.is_none() && new.memory.is_some())
    }

    /// Takes over the state of another member if it supersedes what is known, and passes it on.
    fn apply(&mut self, now: Tenths, mut state: MemberState) {
        let seat = state.seat;
        if seat == self.own_state.seat {
            return;
        }
        let known = self.members[usize::from(seat.0)].as_ref().map(|member| (member.state, member.since));
        if let Some((old, _)) = &known {
            if !Members::supersedes(&state, old) {
                return;
            }
            if old.life == state.life {
                // The memory does not change within a life, so it is kept when the new state lacks it.
                state.memory = state.memory.or(old.memory);
                if (state.incarnation, state.health) < (old.incarnation, old.health) {
                    (state.incarnation, state.health) = (old.incarnation, old.health);
                }
            }
        }
        let changed = known.is_none_or(|(old, _)| {
            (old.life, old.health, old.memory) != (state.life, state.health, state.memory)
        });
        let since = known.filter(|_| !changed).map_or(now, |(_, since)| since);
        let suspicion = (state.health == Health::Suspect)
            .then(|| Suspicion { since: now, suspecters: vec![state.suspected_by] });
        self.suspected_seats.retain(|suspected| *suspected != seat);
        if suspicion.is_some() {
            self.suspected_seats.push(seat);
        }
        self.members[usize::from(seat.0)] = Some(Member { state, since, suspicion });
        self.queue_broadcast(seat);
        if changed {
            self.changes.push(state);
        }
    }

    /// Announces that this instance leaves, at once to a few members, which pass it on.
    pub fn leave(&mut self, committed: (Term, Number), outbox: &mut Vec<(Seat, Message)>) {
        self.leaving = true;
        self.own_state.health = Health::Left;
        self.queue_broadcast(self.own_state.seat);
        for _ in 0..INDIRECT_PROBES {
            if let Some(seat) = self.random_alive_seat() {
                let nonce = self.next_nonce();
                let gossip = self.gossip(seat, committed);
                outbox.push((seat, Message::Ping { nonce, gossip }));
            }
        }
    }

    /// Whether this instance has announced that it leaves.
    pub fn has_left(&self) -> bool {
        self.leaving
    }
}
