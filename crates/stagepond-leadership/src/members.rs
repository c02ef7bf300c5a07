//! Who is there: failure detection by gossip. SWIM (Das, Gupta and Motivala 2002) with the refinements of
//! Lifeguard (Dadgar, Phillips and Currey 2017): suspicion that shortens with independent confirmation, and
//! probes that take longer where this instance itself seems slow. Each member costs the same whatever their
//! number. It owns what is known of each seat; it must never decide who votes or leads.

use std::collections::VecDeque;

use crate::ids::*;
use crate::settings::Settings;
use crate::wire::{Gossip, Health, MemberState, Message, MAX_GOSSIP_MEMBERS};

/// Members that are asked to probe in one's stead.
const INDIRECT: usize = 3;
/// Other suspecters that shorten a suspicion to its least, and how much longer it is without any.
const CONFIRMING: usize = 2;
const LONGEST: f64 = 3.0;
/// How many times a piece of news is passed on, for each doubling of the members.
const PASSED_ON: f64 = 3.0;
/// One's own slowness is held within this many steps.
const SLOW_MAX: u32 = 7;
/// One probe in so many goes to a seat that is known as dead, so that what was cut off is found again.
const LOOK_AGAIN: u32 = 6;
/// Probes made for others at one time.
const RELAYS_MAX: usize = 32;

#[derive(Clone, Debug)]
struct Known {
    news: MemberState,
    since: Tenths,
    suspected: Option<Suspicion>,
}

#[derive(Clone, Debug)]
struct Suspicion {
    since: Tenths,
    by: Vec<Seat>,
}

struct Probe {
    seat: Seat,
    nonce: u32,
    indirect_at: Tenths,
    until: Tenths,
    asked: bool,
    /// When it is asked straight once more: a lost datagram or two must not make a suspect.
    again_at: Tenths,
}

struct Relay {
    nonce: u32,
    target: Seat,
    origin: Seat,
    theirs: u32,
    until: Tenths,
}

pub struct Members {
    me: MemberState,
    settings: Settings,
    rng: fastrand::Rng,
    known: Vec<Option<Known>>,
    /// A shuffled round of all seats: each is probed once in a round (SWIM, section 4.3).
    round: VecDeque<Seat>,
    probe: Option<Probe>,
    next_probe: Tenths,
    probes: u32,
    relays: VecDeque<Relay>,
    /// MemberState to pass on and how often that was done, least often first; at most one for each seat.
    spread: Vec<(u32, Seat)>,
    suspicions: Vec<Seat>,
    slow: u32,
    last_nonce: u32,
    leaving: bool,
    /// Changes since they were last taken, for those who want to know.
    pub changes: Vec<MemberState>,
}

impl Members {
    pub fn new(
        now: Tenths, seat: Seat, life: Life, memory: Memory, settings: &Settings, seed: u64,
    ) -> Members {
        // 0 stands for a memory that began with the life.
        let memory = if memory.0 == life.0 { Memory(0) } else { memory };
        let me = MemberState {
            seat,
            life,
            incarnation: 0,
            health: Health::Alive,
            suspected_by: seat,
            memory: Some(memory),
        };
        let mut rng = fastrand::Rng::with_seed(seed ^ 0x5717);
        let first = now + Tenths((rng.f64() * settings.probe_interval.0 as f64) as i64);
        Members {
            me,
            known: vec![None; usize::from(settings.seats)],
            settings: settings.clone(),
            rng,
            round: VecDeque::new(),
            probe: None,
            next_probe: first,
            probes: 0,
            relays: VecDeque::new(),
            spread: vec![(0, seat)],
            suspicions: Vec::new(),
            slow: 0,
            last_nonce: 0,
            leaving: false,
            changes: Vec::new(),
        }
    }

    pub fn life(&self) -> Life {
        self.me.life
    }

    /// What is known of a seat; of one's own always that it is alive.
    pub fn state(&self, seat: Seat) -> Option<MemberState> {
        if seat == self.me.seat {
            return Some(self.me);
        }
        self.known.get(usize::from(seat.0))?.as_ref().map(|k| k.news)
    }

    pub fn is_alive(&self, seat: Seat) -> bool {
        self.state(seat).is_some_and(|n| matches!(n.health, Health::Alive | Health::Suspect))
    }

    /// The memory that a live process at that seat keeps its promises in.
    pub fn memory(&self, seat: Seat) -> Option<Memory> {
        let news = self.state(seat).filter(|n| matches!(n.health, Health::Alive | Health::Suspect))?;
        news.memory.map(|m| if m == Memory(0) { Memory(news.life.0) } else { m })
    }

    /// Since when it has been dead or has left; `None` while it is neither.
    pub fn gone_since(&self, seat: Seat) -> Option<Tenths> {
        let known = self.known.get(usize::from(seat.0))?.as_ref()?;
        matches!(known.news.health, Health::Dead | Health::Left).then_some(known.since)
    }

    pub fn count(&self, health: Health) -> usize {
        let others = self.known.iter().flatten().filter(|k| k.news.health == health).count();
        others + usize::from(self.me.health == health)
    }

    /// Any member that seems alive, by chance.
    pub fn random_alive_seat(&mut self) -> Option<Seat> {
        (0..8).find_map(|_| {
            let seat = Seat(self.rng.u16(0..self.settings.seats));
            (seat != self.me.seat && self.is_alive(seat)).then_some(seat)
        })
    }

    /// This process is older than one that others knew here: it goes on as a later one.
    pub fn set_own_life(&mut self, life: Life) {
        if self.me.memory == Some(Memory(0)) {
            self.me.memory = Some(Memory(self.me.life.0));
        }
        self.me.life = life;
        self.pass_on(self.me.seat);
    }

    fn grown(&self) -> f64 {
        f64::from(self.settings.seats).max(2.0).log2().ceil()
    }

    fn pass_on(&mut self, seat: Seat) {
        self.spread.retain(|(_, s)| *s != seat);
        self.spread.insert(0, (0, seat));
    }

    /// What goes with a message to `to`: first of all that it is suspected, if it is, as nobody else has more to
    /// say about that (Lifeguard's buddy system).
    pub fn gossip(&mut self, to: Seat, committed: (Term, Number)) -> Gossip {
        let most = (PASSED_ON * self.grown()) as u32;
        let mut news: Vec<MemberState> =
            self.state(to).filter(|n| n.health != Health::Alive).into_iter().collect();
        let mut spread = std::mem::take(&mut self.spread);
        let others = spread.iter().map(|(_, seat)| *seat).filter(|s| *s != to);
        news.extend(others.take(MAX_GOSSIP_MEMBERS - news.len()).filter_map(|seat| self.state(seat)));
        let gossip = Gossip { members: news, committed }.truncate_to_fit(3);
        for (times, seat) in &mut spread {
            *times += u32::from(gossip.members.iter().any(|n| n.seat == *seat));
        }
        spread.retain(|(times, _)| *times < most);
        spread.sort_by_key(|(times, _)| *times);
        self.spread = spread;
        gossip
    }

    fn nonce(&mut self) -> u32 {
        self.last_nonce = self.last_nonce.wrapping_add(1);
        self.last_nonce
    }

    /// Time for an answer: longer while this instance seems slow itself.
    fn patience(&self, base: Tenths) -> Tenths {
        Tenths(base.0 * i64::from(self.slow + 1))
    }

    fn suspicion_lasts(&self, confirmed: usize) -> Tenths {
        let least = 2.0 * self.grown().max(2.0) * self.settings.probe_interval.0 as f64;
        let share = (confirmed as f64 + 1.0).ln() / (CONFIRMING as f64 + 1.0).ln();
        let lasts = LONGEST * least - (LONGEST - 1.0) * least * share.min(1.0);
        // Few members can't confirm each other: nobody waits for words that can't come.
        let few = usize::from(self.settings.seats) < CONFIRMING + 2;
        Tenths(if few { least } else { lasts } as i64)
    }

    pub fn next_due(&self) -> Tenths {
        let probe = self.probe.as_ref().map_or(Tenths::NEVER, |p| {
            if p.asked {
                p.again_at.min(p.until)
            } else {
                p.indirect_at
            }
        });
        let mut due = self.next_probe.min(probe);
        for seat in &self.suspicions {
            due = due.min(self.suspicion_ends(*seat));
        }
        due
    }

    fn suspicion_ends(&self, seat: Seat) -> Tenths {
        let suspected = self.known[usize::from(seat.0)].as_ref().and_then(|k| k.suspected.as_ref());
        suspected.map_or(Tenths::NEVER, |s| s.since + self.suspicion_lasts(s.by.len().saturating_sub(1)))
    }

    /// After standing still, what came in meanwhile must be read before anybody is suspected.
    pub fn on_clock_anomaly(&mut self, now: Tenths) {
        self.slow = (self.slow + 2).min(SLOW_MAX);
        if let Some(probe) = &mut self.probe {
            probe.until = probe.until.max(now + self.settings.probe_interval);
        }
        self.next_probe = self.next_probe.max(now + self.settings.round_trip);
        for known in self.known.iter_mut().flatten() {
            if let Some(suspected) = &mut known.suspected {
                suspected.since = suspected.since.max(now);
            }
        }
    }

    fn ping_again(&mut self, probe: &Probe, committed: (Term, Number), out: &mut Vec<(Seat, Message)>) {
        let gossip = self.gossip(probe.seat, committed);
        out.push((probe.seat, Message::Ping { nonce: probe.nonce, gossip }));
    }

    pub fn tick(&mut self, now: Tenths, committed: (Term, Number), out: &mut Vec<(Seat, Message)>) {
        self.relays.retain(|r| r.until > now);
        if let Some(mut probe) = self.probe.take() {
            if !probe.asked && now >= probe.indirect_at {
                probe.asked = true;
                self.ping_again(&probe, committed, out);
                let others: Vec<Seat> = (0..INDIRECT * 2).filter_map(|_| self.random_alive_seat()).collect();
                let mut asked = Vec::new();
                for other in others {
                    if other != probe.seat && !asked.contains(&other) && asked.len() < INDIRECT {
                        asked.push(other);
                        let gossip = self.gossip(other, committed);
                        out.push((
                            other,
                            Message::PingReq { nonce: probe.nonce, target: probe.seat, gossip },
                        ));
                    }
                }
            }
            if now >= probe.again_at {
                probe.again_at = Tenths::NEVER;
                self.ping_again(&probe, committed, out);
            }
            if now >= probe.until {
                self.slow = (self.slow + 1).min(SLOW_MAX);
                self.suspect(now, probe.seat, self.me.seat);
            } else {
                self.probe = Some(probe);
            }
        }
        for seat in self.suspicions.clone() {
            if now >= self.suspicion_ends(seat) {
                if let Some(news) = self.state(seat) {
                    self.learn(now, MemberState { health: Health::Dead, ..news });
                }
            }
        }
        if now >= self.next_probe {
            self.next_probe = now + self.settings.probe_interval;
            if self.probe.is_none() {
                self.begin_probe(now, committed, out);
            }
        }
    }

    fn begin_probe(&mut self, now: Tenths, committed: (Term, Number), out: &mut Vec<(Seat, Message)>) {
        self.probes += 1;
        let revisit = self.probes.is_multiple_of(LOOK_AGAIN);
        let alone = self.count(Health::Alive) <= 1;
        for _ in 0..=usize::from(self.settings.seats) {
            if self.round.is_empty() {
                let mut seats: Vec<Seat> = (0..self.settings.seats).map(Seat).collect();
                self.rng.shuffle(&mut seats);
                self.round = seats.into();
            }
            let Some(seat) = self.round.pop_front() else { return };
            let health = self.known[usize::from(seat.0)].as_ref().map(|k| k.news.health);
            let gone = matches!(health, Some(Health::Dead | Health::Left));
            if seat == self.me.seat || (gone && !revisit && !alone) {
                continue;
            }
            let nonce = self.nonce();
            let gossip = self.gossip(seat, committed);
            out.push((seat, Message::Ping { nonce, gossip }));
            // Nobody is suspected who was never there, or is known to be gone.
            if health.is_some() && !gone {
                let indirect_at = now + self.patience(self.settings.round_trip);
                let until = now + self.patience(self.settings.probe_interval).max(self.settings.round_trip);
                let again_at = Tenths((indirect_at.0 + until.0) / 2);
                self.probe = Some(Probe { seat, nonce, indirect_at, until, asked: false, again_at });
            }
            return;
        }
    }

    pub fn on_ping(
        &mut self, from: Seat, nonce: u32, committed: (Term, Number), out: &mut Vec<(Seat, Message)>,
    ) {
        let gossip = self.gossip(from, committed);
        out.push((from, Message::Ack { nonce, gossip }));
    }

    pub fn on_ping_req(
        &mut self, now: Tenths, from: Seat, theirs: u32, target: Seat, committed: (Term, Number),
        out: &mut Vec<(Seat, Message)>,
    ) {
        if target == self.me.seat || target.0 >= self.settings.seats || self.relays.len() >= RELAYS_MAX {
            return;
        }
        let nonce = self.nonce();
        let until = now + self.settings.probe_interval;
        self.relays.push_back(Relay { nonce, target, origin: from, theirs, until });
        let gossip = self.gossip(target, committed);
        out.push((target, Message::Ping { nonce, gossip }));
    }

    pub fn on_ack(
        &mut self, now: Tenths, from: Seat, nonce: u32, committed: (Term, Number),
        out: &mut Vec<(Seat, Message)>,
    ) {
        if self.probe.as_ref().is_some_and(|p| p.nonce == nonce) {
            // In time and by the straight way: this instance is well.
            let direct =
                self.probe.as_ref().is_some_and(|p| p.seat == from && !p.asked && now <= p.indirect_at);
            self.slow = if direct { self.slow.saturating_sub(1) } else { self.slow };
            self.probe = None;
        }
        if let Some(at) = self.relays.iter().position(|r| r.nonce == nonce && r.target == from) {
            let relay = self.relays.remove(at).expect("just found");
            let gossip = self.gossip(relay.origin, committed);
            out.push((relay.origin, Message::Ack { nonce: relay.theirs, gossip }));
        }
    }

    /// It was heard from this process: at least that it lives.
    pub fn on_heard_from(&mut self, now: Tenths, seat: Seat, life: Life) {
        let newer = self.state(seat).is_none_or(|news| news.life < life);
        if newer {
            self.learn(
                now,
                MemberState {
                    seat,
                    life,
                    incarnation: 0,
                    health: Health::Alive,
                    suspected_by: seat,
                    memory: None,
                },
            );
        }
    }

    fn suspect(&mut self, now: Tenths, seat: Seat, by: Seat) {
        let Some(news) = self.state(seat) else { return };
        if news.health == Health::Alive {
            self.learn(now, MemberState { health: Health::Suspect, suspected_by: by, ..news });
        }
        if let Some(known) = self.known[usize::from(seat.0)].as_mut() {
            if let Some(s) =
                known.suspected.as_mut().filter(|s| !s.by.contains(&by) && s.by.len() <= CONFIRMING)
            {
                s.by.push(by);
                self.pass_on(seat);
            }
        }
    }

    pub fn merge(&mut self, now: Tenths, news: MemberState) {
        if news.seat.0 >= self.settings.seats {
            return;
        }
        if news.seat == self.me.seat {
            return self.refute(news);
        }
        if news.health == Health::Suspect && self.state(news.seat).is_some_and(|n| n.life == news.life) {
            let same = self.state(news.seat).is_some_and(|n| n.incarnation == news.incarnation);
            if same {
                self.suspect(now, news.seat, news.suspected_by);
            }
        }
        self.learn(now, news);
    }

    /// Somebody takes this process for gone: it says, louder, that it is not.
    fn refute(&mut self, news: MemberState) {
        let about_me = news.life == self.me.life && news.health != Health::Alive;
        if about_me && !self.leaving && news.incarnation >= self.me.incarnation {
            self.me.incarnation = news.incarnation + 1;
            self.slow = (self.slow + 1).min(SLOW_MAX);
            self.pass_on(self.me.seat);
        }
    }

    /// Whether one says more than the other: a later life, then a later incarnation, then the graver state.
    fn outweighs(new: &MemberState, old: &MemberState) -> bool {
        (new.life, new.incarnation, new.health) > (old.life, old.incarnation, old.health)
            || (new.life == old.life && old.memory.is_none() && new.memory.is_some())
    }

    fn learn(&mut self, now: Tenths, mut news: MemberState) {
        let seat = news.seat;
        if seat == self.me.seat {
            return;
        }
        let old = self.known[usize::from(seat.0)].as_ref().map(|k| (k.news, k.since));
        if let Some((old, _)) = &old {
            if !Members::outweighs(&news, old) {
                return;
            }
            if old.life == news.life {
                // That the memory was told once is enough, whoever passes on the rest.
                news.memory = news.memory.or(old.memory);
                if (news.incarnation, news.health) < (old.incarnation, old.health) {
                    (news.incarnation, news.health) = (old.incarnation, old.health);
                }
            }
        }
        let changed = old.is_none_or(|(old, _)| {
            (old.life, old.health, old.memory) != (news.life, news.health, news.memory)
        });
        let since = old.filter(|_| !changed).map_or(now, |(_, since)| since);
        let suspected =
            (news.health == Health::Suspect).then(|| Suspicion { since: now, by: vec![news.suspected_by] });
        self.suspicions.retain(|s| *s != seat);
        if suspected.is_some() {
            self.suspicions.push(seat);
        }
        self.known[usize::from(seat.0)] = Some(Known { news, since, suspected });
        self.pass_on(seat);
        if changed {
            self.changes.push(news);
        }
    }

    /// An orderly leave: told to a few at once, and passed on by them.
    pub fn leave(&mut self, committed: (Term, Number), out: &mut Vec<(Seat, Message)>) {
        self.leaving = true;
        self.me.health = Health::Left;
        self.pass_on(self.me.seat);
        for _ in 0..INDIRECT {
            if let Some(seat) = self.random_alive_seat() {
                let nonce = self.nonce();
                let gossip = self.gossip(seat, committed);
                out.push((seat, Message::Ping { nonce, gossip }));
            }
        }
    }

    pub fn has_left(&self) -> bool {
        self.leaving
    }
}
