//! All of leadership behind one step function: a datagram, a moment, a promise that is kept or a command goes
//! in, effects come out. It owns the order of things within a step; it must never read a clock or draw from
//! anything but its seed: equal inputs give equal effects.

use std::collections::BTreeMap;

use crate::bounds::Bounds;
use crate::council::{Council, Event, Promises, Refusal};
use crate::ids::*;
use crate::mandate::Mandate;
use crate::members::Members;
use crate::planted::{Fault, Planted};
use crate::record::{Decree, Entry};
use crate::seal::{Dropped, Key, Keys, Seals};
use crate::wire::{Gossip, Health, Message};

#[derive(Clone, Debug)]
pub enum Input<'a> {
    Datagram(&'a [u8]),
    /// Time has passed.
    Tick,
    /// The promises of this number are where a crash can't take them.
    Kept(u64),
    Command(Decree),
    /// Hand the lead to that seat.
    Transfer(Seat),
    /// A planned end.
    Leave,
    /// A new key seals from now on; the one before is taken until then.
    NewKey {
        key: Key,
        old_until: Tenths,
    },
    /// Another key is taken until then, and does not seal.
    AcceptKey {
        key: Key,
        until: Tenths,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Send {
        to: Seat,
        bytes: Vec<u8>,
    },
    /// To be written whole or not at all, flushed, and then answered by `Kept`.
    Keep {
        number: u64,
        promises: Vec<u8>,
    },
    Leads(Mandate),
    SteppedDown {
        term: Term,
        why: &'static str,
    },
    /// Told once for each decree and process, in order. Who leads gets leave to act on it; nobody else does.
    InForce {
        entry: Entry,
        mandate: Option<Mandate>,
    },
    /// A whole state was taken over: what is in force is to be looked up.
    CaughtUp {
        number: Number,
    },
    Founded {
        era: Era,
    },
    Refused {
        decree: Decree,
        why: Refusal,
    },
    Member {
        seat: Seat,
        health: Health,
    },
}

/// How things stand, for people and programs that look.
#[derive(Clone, Debug, PartialEq)]
pub struct Status {
    pub seat: Seat,
    pub life: Life,
    pub term: Term,
    pub leader: Option<Seat>,
    pub leads: bool,
    pub in_force: (Term, Number),
    pub voters: Vec<Voter>,
    pub changing: bool,
    pub alive: usize,
    pub suspect: usize,
    pub dead: usize,
    pub dropped: BTreeMap<Dropped, u64>,
}

pub struct Instance {
    bounds: Bounds,
    seals: Seals,
    members: Members,
    council: Council,
    /// The host's clock as last seen, and what is added to it so that time here never goes back.
    seen: Tenths,
    ahead: Tenths,
    planted: Planted,
    /// When a process that writes to an earlier one here may be told so again.
    welcomed: BTreeMap<Seat, Tenths>,
}

/// What a start needs. `promises` are those found from an earlier process, where there is a disk.
pub struct Start {
    pub now: Tenths,
    pub seat: Seat,
    /// Higher than that of any earlier process here: the time of day will do.
    pub life: Life,
    pub seed: u64,
    pub bounds: Bounds,
    pub keys: Keys,
    pub promises: Option<Promises>,
    pub planted: Planted,
}

impl Instance {
    pub fn new(start: Start) -> Instance {
        let Start { now, seat, life, seed, bounds, keys, promises, planted } = start;
        let fresh = Promises::none(seat, Memory(life.0));
        let promises = match promises.filter(|p| p.seat == seat) {
            Some(promises) if planted.has(Fault::TermForgotten) => {
                Promises { memory: promises.memory, ..fresh }
            }
            Some(promises) if planted.has(Fault::VoteForgotten) => Promises { voted: None, ..promises },
            Some(promises) => promises,
            None => fresh,
        };
        Instance {
            seals: Seals::new(seat, life, bounds.seats, keys),
            members: Members::new(now, seat, life, promises.memory, &bounds, seed),
            council: Council::new(now, life, promises, &bounds, seed, planted),
            bounds,
            seen: now,
            ahead: Tenths(0),
            planted,
            welcomed: BTreeMap::new(),
        }
    }

    pub fn council(&self) -> &Council {
        &self.council
    }
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Leave to act at this moment, on the host's clock.
    pub fn mandate(&self, now: Tenths) -> Option<Mandate> {
        if now < self.seen {
            return None;
        }
        let m = self.council.mandate(now + self.ahead)?;
        Some(Mandate::new(m.term(), m.holder(), m.number(), m.until() - self.ahead, self.planted))
    }

    pub fn status(&self) -> Status {
        let voters = self.council.voters();
        Status {
            seat: self.council.me().seat,
            life: self.members.life(),
            term: self.council.term(),
            leader: self.council.leader(),
            leads: self.council.leads(),
            in_force: self.council.in_force(),
            changing: voters.change.is_some(),
            voters: voters.now,
            alive: self.members.count(Health::Alive),
            suspect: self.members.count(Health::Suspect),
            dead: self.members.count(Health::Dead) + self.members.count(Health::Left),
            dropped: Dropped::ALL.iter().map(|d| (*d, self.seals.dropped[*d as usize])).collect(),
        }
    }

    /// When a `Tick` is to come at the latest, on the host's clock.
    pub fn next_due(&self) -> Tenths {
        let due = self.members.next_due().min(self.council.next_due()) - self.ahead;
        // Any longer silence looks as though this process had stood still.
        due.min(self.seen + Tenths(self.bounds.gap().0 / 2))
    }

    pub fn step(&mut self, now: Tenths, input: Input) -> Vec<Effect> {
        let mut effects = Vec::new();
        let now = self.look_up(now);
        let mut out = Vec::new();
        // What time has ended is over before anything new is heeded.
        self.council.tick(now, &self.members);
        match input {
            Input::Datagram(bytes) => self.datagram(now, bytes, &mut out),
            Input::Tick => {}
            Input::Kept(number) => self.council.keep(now, number),
            Input::Command(decree) => {
                if let Err(why) = self.council.command(now, decree.clone()) {
                    effects.push(Effect::Refused { decree, why });
                }
            }
            Input::Transfer(seat) => {
                if let Err(why) = self.council.transfer(now, seat) {
                    effects.push(Effect::Refused { decree: Decree::Opening, why });
                }
            }
            Input::Leave => {
                self.council.leave(now);
                let record = self.council.in_force();
                self.members.leave(record, &mut out);
            }
            Input::NewKey { key, old_until } => self.seals.keys().change(key, old_until + self.ahead),
            Input::AcceptKey { key, until } => self.seals.keys().accept(key, until + self.ahead),
        }
        let record = self.council.in_force();
        if now >= self.members.next_due() {
            self.members.tick(now, record, &mut out);
        }
        if now >= self.council.next_due() {
            self.council.tick(now, &self.members);
        }
        let (keep, sent) = self.council.settle(now);
        out.extend(sent);
        if let Some(number) = keep {
            effects.push(Effect::Keep { number, promises: self.council.promises().encode() });
        }
        for (to, message) in out {
            if usize::from(to.0) < usize::from(self.bounds.seats) && to != self.council.me().seat {
                effects.push(self.sealed(to, &message));
            }
        }
        let events: Vec<Event> = self.council.events.drain(..).collect();
        effects.extend(events.into_iter().map(|event| self.told(event)));
        let changes: Vec<_> = self.members.changes.drain(..).collect();
        for news in changes {
            self.seals.told(news.seat, news.life);
            effects.push(Effect::Member { seat: news.seat, health: news.health });
        }
        effects
    }

    fn sealed(&mut self, to: Seat, message: &Message) -> Effect {
        // To a process that is not known only this can be said.
        let unknown = self.seals.life_of(to) == Life(0);
        let hello = unknown && !matches!(message, Message::Welcome { .. });
        let body = if hello { Message::Hello.encode() } else { message.encode() };
        Effect::Send { to, bytes: self.seals.seal(to, &body) }
    }

    fn told(&self, event: Event) -> Effect {
        let outside =
            |m: Mandate| Mandate::new(m.term(), m.holder(), m.number(), m.until() - self.ahead, self.planted);
        match event {
            Event::Leads(mandate) => Effect::Leads(outside(mandate)),
            Event::SteppedDown { term, why } => Effect::SteppedDown { term, why },
            Event::InForce { entry, mandate } => Effect::InForce { entry, mandate: mandate.map(outside) },
            Event::CaughtUp { number } => Effect::CaughtUp { number },
            Event::Founded { era } => Effect::Founded { era },
        }
    }

    /// The time inside, which never goes back. How much passed in a step of the clock, or while this process
    /// stood still, is not known: what rests on it begins anew.
    fn look_up(&mut self, now: Tenths) -> Tenths {
        let (back, gap) = (now < self.seen, now > self.seen + self.bounds.gap());
        if back {
            self.ahead = self.ahead + (self.seen - now);
        }
        self.seen = now;
        let inside = now + self.ahead;
        if back || gap {
            self.council.stood_still(inside, back);
            self.members.stood_still(inside);
        }
        inside
    }

    fn datagram(&mut self, now: Tenths, bytes: &[u8], out: &mut Vec<(Seat, Message)>) {
        let Some(opened) = self.seals.open(now, bytes) else { return };
        let (from, life, to_me) = (opened.from, opened.life, opened.to_me);
        let Some(message) = Message::decode(opened.body) else { return self.seals.count(Dropped::Garbled) };
        if !to_me {
            return self.stranger(now, from, life, message, out);
        }
        self.members.heard(now, from, life);
        match message {
            Message::Hello => out.push((from, Message::Welcome { highest: life })),
            Message::Welcome { .. } => {
                let record = self.council.in_force();
                self.members.ping(from, 0, record, out);
            }
            Message::Ping { nonce, gossip } => {
                self.gossip(now, from, gossip);
                let record = self.council.in_force();
                self.members.ping(from, nonce, record, out);
            }
            Message::Ack { nonce, gossip } => {
                self.gossip(now, from, gossip);
                let record = self.council.in_force();
                self.members.ack(now, from, nonce, record, out);
            }
            Message::PingFor { nonce, target, gossip } => {
                self.gossip(now, from, gossip);
                let record = self.council.in_force();
                self.members.ping_for(now, from, nonce, target, record, out);
            }
            message => self.council.hear(now, from, message),
        }
    }

    /// It does not know this process, or is not known here any more: each is told, now and then, and nothing
    /// else comes of it, as what it says may be an old datagram that somebody kept.
    fn stranger(
        &mut self, now: Tenths, from: Seat, life: Life, message: Message, out: &mut Vec<(Seat, Message)>,
    ) {
        let known = self.seals.life_of(from);
        match message {
            Message::Welcome { highest } if highest >= self.members.life() && life == known => {
                // A clock that went back while this one was down: its life must pass that of the one before.
                let life = Life(highest.0 + 1);
                self.seals.reborn(life);
                self.members.reborn(life);
            }
            Message::Welcome { .. } => {}
            _ if self.welcomed.get(&from).is_none_or(|at| now >= *at) => {
                self.welcomed.insert(from, now + Tenths(self.bounds.round_trip.0 / 2));
                self.seals.told(from, life);
                out.push((from, Message::Welcome { highest: self.seals.life_of(from) }));
            }
            _ => {}
        }
    }

    fn gossip(&mut self, now: Tenths, from: Seat, gossip: Gossip) {
        for news in gossip.news {
            self.members.news(now, news);
        }
        self.council.hears_of(now, from, gossip.record);
    }
}
