//! Who leads and what is decided: Raft (Ongaro and Ousterhout 2014) among few voters, with pre-vote, leases
//! (Ongaro's thesis 2014, section 6.4.1), hand-over (3.10) and joint sets of voters (section 6 of the paper);
//! and the founding, which begins an era where no quorum is left that remembers.
//!
//! It owns the promises: term, vote and record. It must never answer by a promise that is not kept yet, lead
//! past its lease, or take part under a memory that it does not have.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::bounds::{Bounds, POOL_MAX};
use crate::ids::*;
use crate::mandate::Mandate;
use crate::members::Members;
use crate::planted::{Fault, Planted};
use crate::record::*;
use crate::wire::*;

/// Beats that wait for their answers; older ones can't lengthen a lease any more.
const ROUNDS_MAX: usize = 32;
/// Messages that wait for a promise to be kept.
const HELD_BACK_MAX: usize = 256;
/// A founding is given up after so many holds.
const FOUND_FOR: i64 = 2;
/// Eras are given out by the place in the pool.
const ERA_STEP: u64 = POOL_MAX as u64 + 1;
/// With a quorum that seems alive and yet no leader for so many holds, the pool is asked all the same.
const STUCK: i64 = 12;

/// What must outlive the process, where there is a disk.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Promises {
    pub seat: Seat,
    pub memory: Memory,
    pub term: Term,
    pub voted: Option<Voter>,
    /// An era whose founding this one has agreed to, and whose leader it has not heard from yet: until then it
    /// votes and leads nowhere else.
    pub charter: Option<(Term, Voters)>,
    pub record: Record,
}

impl Promises {
    pub fn none(seat: Seat, memory: Memory) -> Promises {
        let (term, record) = (Term::default(), Record::default());
        Promises { seat, memory, term, voted: None, charter: None, record }
    }

    /// Reads what `encode` wrote; `None` if it is not whole or not this seat's.
    pub fn decode(bytes: &[u8], seat: Seat) -> Option<Promises> {
        let (promises, rest) = ::postcard::take_from_bytes::<Promises>(bytes).ok()?;
        let whole = rest.is_empty() && promises.seat == seat && promises.record.sound();
        (whole && promises.term >= promises.record.last().0).then_some(promises)
    }

    pub fn encode(&self) -> Vec<u8> {
        ::postcard::to_allocvec(self).expect("plain values have an encoding")
    }
}

#[derive(Clone, Debug, Hash)]
struct Progress {
    matched: Number,
    next: Number,
    /// The latest append that went to it, and the latest that it answered.
    sent: u64,
    answered: u64,
    heard_at: Tenths,
    well_since: Tenths,
}

#[derive(Clone, Debug, Hash)]
struct Leading {
    followers: BTreeMap<Voter, Progress>,
    /// Of the latest append, whoever it went to; and the first of each beat, with its time.
    round: u64,
    rounds: VecDeque<(u64, Tenths)>,
    lease_until: Tenths,
    opening: Number,
    since: Tenths,
    beat_at: Tenths,
    /// To whom, from when the word may go out, and until when it is tried.
    handing: Option<(Seat, Tenths, Tenths)>,
}

#[derive(Clone, Debug, Hash)]
enum Role {
    Following,
    /// Asks the others, first without raising the term.
    Standing {
        before: bool,
        granted: BTreeSet<Voter>,
        until: Tenths,
    },
    /// Named by a charter: leads once each of the pool has agreed to it.
    Chartered {
        asker: Life,
        agreed: BTreeSet<Seat>,
        until: Tenths,
    },
    Leading(Box<Leading>),
}

#[derive(Clone, Debug, Hash)]
struct Founding {
    era: Era,
    answers: BTreeMap<Seat, Promised>,
    /// Once all have answered; told again and again, as any datagram may be lost.
    charter: Option<Message>,
    until: Tenths,
    again_at: Tenths,
}

#[derive(Clone, Debug, Hash)]
struct Fetching {
    from: Seat,
    until: Tenths,
    of: Number,
    pieces: Vec<Option<Vec<u8>>>,
    next: u16,
}

/// What happened that those outside should know.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    Leads(Mandate),
    SteppedDown {
        term: Term,
        why: &'static str,
    },
    InForce {
        entry: Entry,
        mandate: Option<Mandate>,
    },
    /// A whole state was taken over; what is in it is in force.
    CaughtUp {
        number: Number,
    },
    Founded {
        era: Era,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    #[error("another instance leads: {0:?}")]
    NotLeader(Option<Seat>),
    #[error("the mandate is not there yet or is being handed over")]
    NoMandate,
    #[error("too much waits for a quorum")]
    Full,
    #[error("no such successor among the voters that keep up")]
    NoSuccessor,
}

#[derive(Clone)]
pub struct Council {
    me: Voter,
    bounds: Bounds,
    planted: Planted,
    rng: fastrand::Rng,
    promises: Promises,
    /// Raised with each change of the promises; `kept` follows once it is on the disk.
    changes: u64,
    changed: bool,
    kept: u64,
    lasts: VecDeque<(u64, Number)>,
    kept_last: Number,
    held_back: VecDeque<(u64, Seat, Message)>,
    role: Role,
    leader: Option<Seat>,
    hold_until: Tenths,
    /// When this one stands for leader unless it hears from one.
    stand_at: Tenths,
    leaderless_since: Tenths,
    founding: Option<Founding>,
    /// The era and asker that this one has given its word to; any part taken in an earlier era takes it back.
    word: Option<(Era, Life)>,
    era_seen: Era,
    /// Whom this one told that it agrees to an era, and when it says so again.
    agreed: Option<(Era, Life, Seat, Tenths)>,
    life: Life,
    found_at: Tenths,
    fetching: Option<Fetching>,
    fetch_at: Tenths,
    pub events: Vec<Event>,
    out: Vec<(Seat, Message)>,
}

/// All that bears on what comes next, but for chance: for those who look for states that are alike.
impl std::hash::Hash for Council {
    fn hash<H: std::hash::Hasher>(&self, state: &mut H) {
        (&self.promises, &self.role, &self.leader, &self.founding, &self.fetching).hash(state);
        (self.hold_until, self.stand_at, self.leaderless_since, self.found_at, self.fetch_at).hash(state);
        (self.word, self.era_seen, self.agreed, self.life, self.kept_last).hash(state);
        (self.changes - self.kept, &self.held_back).hash(state);
    }
}

impl Council {
    pub fn new(
        now: Tenths, life: Life, promises: Promises, bounds: &Bounds, seed: u64, planted: Planted,
    ) -> Council {
        let me = Voter { seat: promises.seat, memory: promises.memory };
        let (kept_last, hold) = (promises.record.last().1, bounds.hold);
        let mut council = Council {
            me,
            bounds: bounds.clone(),
            planted,
            rng: fastrand::Rng::with_seed(seed ^ 0x1ead),
            promises,
            changes: 0,
            changed: false,
            kept: 0,
            lasts: VecDeque::new(),
            kept_last,
            held_back: VecDeque::new(),
            role: Role::Following,
            leader: None,
            // Whom it helped before the start is not known: it may have been a moment ago.
            hold_until: now + hold,
            stand_at: now + hold,
            leaderless_since: now,
            founding: None,
            word: None,
            era_seen: Era(0),
            agreed: None,
            life,
            found_at: now,
            fetching: None,
            fetch_at: now,
            events: Vec::new(),
            out: Vec::new(),
        };
        if planted.has(Fault::VoteForgotten) {
            council.hold_until = now;
        }
        council.found_at = now + Tenths(hold.0 / 3) + council.jitter();
        council.stand_at = now + hold + council.patience();
        council
    }

    pub fn me(&self) -> Voter {
        self.me
    }
    pub fn term(&self) -> Term {
        self.promises.term
    }
    pub fn record(&self) -> &Record {
        &self.promises.record
    }
    pub fn promises(&self) -> &Promises {
        &self.promises
    }
    pub fn leader(&self) -> Option<Seat> {
        self.leader
    }
    pub fn leads(&self) -> bool {
        matches!(self.role, Role::Leading(_))
    }
    /// Terms under which the record is in force so far.
    pub fn in_force(&self) -> (Term, Number) {
        (self.promises.record.in_force().term, self.promises.record.commit())
    }

    /// The set that counts: the newest in the record, unless an era was founded since.
    pub fn voters(&self) -> Voters {
        let (voters, term) = self.promises.record.voters();
        match &self.promises.charter {
            Some((chartered, of)) if term < *chartered => of.clone(),
            _ => voters.clone(),
        }
    }

    /// Leave to act, for as long as a quorum is known to hold for this leader.
    pub fn mandate(&self, now: Tenths) -> Option<Mandate> {
        let Role::Leading(leading) = &self.role else { return None };
        let handing = leading.handing.is_some() && !self.planted.has(Fault::TransferKeepsMandate);
        let opened = self.promises.record.commit() >= leading.opening;
        // Short, so that a leader that hands over need not wait for the whole lease to pass.
        let mandate = Mandate::new(
            self.promises.term,
            self.me.seat,
            self.promises.record.commit(),
            leading.lease_until.min(now + self.bounds.act_within),
            self.planted,
        );
        (opened && !handing && mandate.check(now).is_ok()).then_some(mandate)
    }

    fn jitter(&mut self) -> Tenths {
        Tenths(self.rng.i64(0..=self.bounds.round_trip.0))
    }

    /// Low seats stand first, so that two seldom stand at once; chance parts the rest.
    fn patience(&mut self) -> Tenths {
        let voters = self.voters();
        let rank = voters.all().filter(|v| v.seat < self.me.seat).count() as i64;
        Tenths(rank * self.bounds.round_trip.0) + self.jitter()
    }

    fn touch(&mut self) {
        self.changed = true;
    }

    fn send(&mut self, to: Seat, message: Message) {
        self.out.push((to, message));
    }

    /// Ends a step: what must be kept first, if anything, and the messages that may go out now.
    pub fn settle(&mut self, now: Tenths) -> (Option<u64>, Vec<(Seat, Message)>) {
        let mut keep = None;
        loop {
            if std::mem::take(&mut self.changed) {
                self.changes += 1;
                self.lasts.push_back((self.changes, self.promises.record.last().1));
                keep = Some(self.changes);
            }
            let changes = self.changes;
            self.held_back.extend(self.out.drain(..).map(|(to, message)| (changes, to, message)));
            if self.bounds.durable || self.kept == changes {
                break;
            }
            // Without a disk a promise is as safe as it will be; what follows from it may promise more.
            self.keep(now, changes);
        }
        let mut out = Vec::new();
        while self.held_back.front().is_some_and(|(needs, ..)| *needs <= self.kept) {
            out.extend(self.held_back.pop_front().map(|(_, to, message)| (to, message)));
        }
        // Messages may get lost anyway: a slow disk must not gather them without bound.
        while self.held_back.len() > HELD_BACK_MAX {
            self.held_back.pop_front();
        }
        (keep.filter(|_| self.bounds.durable), out)
    }

    /// All promises up to this change are where a crash can't take them.
    pub fn keep(&mut self, now: Tenths, change: u64) {
        self.kept = self.kept.max(change.min(self.changes));
        let mut grown = false;
        while self.lasts.front().is_some_and(|(needs, _)| *needs <= self.kept) {
            if let Some((_, last)) = self.lasts.pop_front() {
                self.kept_last = last;
                grown = true;
            }
        }
        if grown {
            self.enforce(now);
        }
        // One's own word counts once it is kept.
        self.count_votes(now);
        self.lead_if_agreed(now);
    }

    pub fn next_due(&self) -> Tenths {
        let role = match &self.role {
            Role::Following => self.stand_at,
            Role::Standing { until, .. } | Role::Chartered { until, .. } => *until,
            Role::Leading(leading) => {
                let handing =
                    leading.handing.map_or(
                        Tenths::NEVER,
                        |(_, from, until)| if from > Tenths(0) { from } else { until },
                    );
                leading.beat_at.min(leading.lease_until).min(handing)
            }
        };
        let founding = self.founding.as_ref().map_or(self.found_at, |f| f.again_at.min(f.until));
        let founding = founding.min(self.agreed.map_or(Tenths::NEVER, |(.., at)| at));
        let fetching = self.fetching.as_ref().map_or(Tenths::NEVER, |f| f.until);
        role.min(founding).min(fetching)
    }

    /// The clock was stepped, or this process stood still: nothing that depended on it counts.
    pub fn stood_still(&mut self, now: Tenths, back: bool) {
        if !self.planted.has(Fault::HoldForgottenAfterPause) {
            self.hold_until = self.hold_until.max(now + self.bounds.hold);
            if back {
                self.hold_until = now + self.bounds.hold;
            }
        }
        if self.leads() && back {
            self.step_down(now, "the clock went back");
        }
        self.stand_at = self.hold_until + self.patience();
        self.leaderless_since = now;
        self.found_at = now + self.bounds.hold;
    }

    fn step_down(&mut self, now: Tenths, why: &'static str) {
        if let Role::Leading(leading) = &self.role {
            // What was done under the mandate may still be on its way: this voter holds for itself till then.
            self.hold_until = self.hold_until.max(leading.lease_until);
            self.events.push(Event::SteppedDown { term: self.promises.term, why });
            self.leader = None;
            self.leaderless_since = now;
        }
        self.role = Role::Following;
        self.stand_at = now.max(self.hold_until) + self.patience();
    }

    /// A higher term was seen: whatever was done under the lower one is over.
    fn raise(&mut self, now: Tenths, term: Term) {
        if term > self.promises.term {
            self.step_down(now, "a later term");
            self.promises.term = term;
            self.promises.voted = None;
            self.leader = None;
            (self.word, self.agreed) = (None, None);
            self.touch();
        }
    }

    pub fn tick(&mut self, now: Tenths, members: &Members) {
        if let Role::Leading(leading) = &self.role {
            // A handed-over mandate is gone either way; a lease that no quorum renewed ends here.
            if now >= leading.lease_until {
                self.step_down(now, "no quorum answered in time");
            } else if leading.handing.is_some_and(|(.., until)| now >= until) {
                self.step_down(now, "the successor did not take over");
            } else {
                self.hand_on(now);
            }
        }
        if self.agreed.is_some() && !self.between_eras() {
            self.agreed = None;
        }
        if matches!(self.role, Role::Standing { until, .. } | Role::Chartered { until, .. } if now >= until) {
            self.role = Role::Following;
            self.stand_at = now + self.patience() + Tenths(self.bounds.round_trip.0);
        }
        if matches!(self.role, Role::Following) && now >= self.stand_at {
            self.stand(now);
        }
        if matches!(&self.role, Role::Leading(leading) if now >= leading.beat_at) {
            self.tend(now, members);
            self.beat(now);
        }
        self.found(now, members);
        self.agree(now);
        if self.fetching.as_ref().is_some_and(|f| now >= f.until) {
            self.fetching = None;
            self.fetch_at = now;
        }
    }

    // --- Election -----------------------------------------------------------------------------------

    /// An era was agreed to that nobody has led yet.
    fn between_eras(&self) -> bool {
        self.promises.charter.as_ref().is_some_and(|(term, _)| self.promises.record.voters().1 < *term)
    }

    fn may_vote(&self) -> bool {
        self.voters().has(&self.me) && !self.between_eras()
    }

    fn stand(&mut self, now: Tenths) {
        if !self.may_vote() || now < self.hold_until {
            self.stand_at = now.max(self.hold_until) + self.bounds.beat();
            return;
        }
        if self.planted.has(Fault::NoPreVote) {
            return self.stand_for_good(now, None);
        }
        let until = now + self.bounds.round_trip;
        let granted = BTreeSet::from([self.me]);
        self.role = Role::Standing { before: true, granted, until };
        let (term, memory, last) = (self.promises.term.next(), self.me.memory, self.promises.record.last());
        self.tell_voters(Message::PreVote { term, memory, last });
        self.count_votes(now);
    }

    fn stand_for_good(&mut self, now: Tenths, handed: Option<Term>) {
        self.promises.term = self.promises.term.next();
        self.promises.voted = Some(self.me);
        self.word = None;
        self.touch();
        let until = now + Tenths(self.bounds.round_trip.0 * 2);
        let granted = BTreeSet::from([self.me]);
        self.role = Role::Standing { before: false, granted, until };
        let (term, memory, last) = (self.promises.term, self.me.memory, self.promises.record.last());
        self.tell_voters(Message::Vote { term, memory, last, handed });
    }

    fn tell_voters(&mut self, message: Message) {
        for voter in self.voters().all().filter(|v| v.seat != self.me.seat).collect::<Vec<_>>() {
            self.send(voter.seat, message.clone());
        }
    }

    fn count_votes(&mut self, now: Tenths) {
        let Role::Standing { before, granted, .. } = &self.role else { return };
        // One's own vote counts like any other's only when it is kept.
        let own = *before || self.kept >= self.changes && !self.changed;
        let voters = self.voters();
        if !own || !voters.quorum(|v| granted.contains(v)) {
            return;
        }
        if *before {
            self.stand_for_good(now, None);
            return self.count_votes(now);
        }
        self.lead(now);
    }

    fn lead(&mut self, now: Tenths) {
        let next = self.promises.record.last().1.next();
        let new = |_: Voter| Progress {
            matched: Number(0),
            next,
            sent: 0,
            answered: 0,
            heard_at: now,
            well_since: now,
        };
        let voters = self.voters();
        let followers = voters.all().filter(|v| *v != self.me).map(|v| (v, new(v))).collect();
        let founding = self.between_eras();
        let decree = if founding { Decree::Voters(voters) } else { Decree::Opening };
        let opening = self.promises.record.append(self.promises.term, self.me.seat, decree);
        self.touch();
        self.leader = Some(self.me.seat);
        self.founding = None;
        self.role = Role::Leading(Box::new(Leading {
            followers,
            round: 0,
            rounds: VecDeque::new(),
            // Until a quorum has answered it leads nobody; it has as long as a lease to get there.
            lease_until: now + self.bounds.lease(),
            opening,
            since: now,
            beat_at: now,
            handing: None,
        }));
        self.beat(now);
    }

    fn pre_vote(&mut self, now: Tenths, from: Seat, term: Term, memory: Memory, last: (Term, Number)) {
        let candidate = Voter { seat: from, memory };
        let current = last >= self.promises.record.last() || self.planted.has(Fault::StaleCandidate);
        let free = now >= self.hold_until && !self.leads() || self.planted.has(Fault::HoldIgnored);
        let known = self.voters().has(&candidate) || last.0 > self.promises.record.voters().1;
        let granted = term > self.promises.term && current && free && known && self.may_vote();
        let (own, memory) = (self.promises.term, self.me.memory);
        self.send(from, Message::PreVoted { term, memory, granted, own });
    }

    fn pre_voted(&mut self, now: Tenths, voter: Voter, term: Term, granted: bool, own: Term) {
        if own > self.promises.term {
            // Only the number is taken over: a promise to nobody, so that the next question is not too low.
            return self.raise(now, own);
        }
        if let Role::Standing { before: true, granted: all, .. } = &mut self.role {
            if granted && term == self.promises.term.next() {
                all.insert(voter);
                self.count_votes(now);
            }
        }
    }

    fn vote(
        &mut self, now: Tenths, from: Seat, term: Term, memory: Memory, last: (Term, Number),
        handed: Option<Term>,
    ) {
        let candidate = Voter { seat: from, memory };
        // The leader that it holds for has given up its mandate itself.
        let released = handed.is_some() && handed == Some(self.promises.term);
        let free =
            (now >= self.hold_until && !self.leads()) || released || self.planted.has(Fault::HoldIgnored);
        // Who holds for a leader does not even raise its term: or one that is cut off would unseat it.
        if term < self.promises.term || !free || !self.may_vote() {
            let (term, memory) = (self.promises.term, self.me.memory);
            return self.send(from, Message::Voted { term, memory, granted: false });
        }
        self.raise(now, term);
        let current = last >= self.promises.record.last() || self.planted.has(Fault::StaleCandidate);
        let first = self.promises.voted.is_none_or(|v| v == candidate);
        let granted = current && first;
        if granted && self.promises.voted.is_none() {
            self.promises.voted = Some(candidate);
            self.touch();
        }
        if granted {
            self.word = None;
            self.stand_at = now + self.bounds.hold;
        }
        let memory = self.me.memory;
        self.send(from, Message::Voted { term, memory, granted });
    }

    fn voted(&mut self, now: Tenths, voter: Voter, term: Term, granted: bool) {
        if term > self.promises.term {
            return self.raise(now, term);
        }
        if let Role::Standing { before: false, granted: all, .. } = &mut self.role {
            if granted && term == self.promises.term {
                all.insert(voter);
                self.count_votes(now);
            }
        }
    }

    // --- Beats and decrees --------------------------------------------------------------------------

    fn beat(&mut self, now: Tenths) {
        let beat = self.bounds.beat();
        let Role::Leading(leading) = &mut self.role else { return };
        leading.beat_at = now + beat;
        leading.rounds.push_back((leading.round + 1, now));
        if leading.rounds.len() > ROUNDS_MAX {
            leading.rounds.pop_front();
        }
        let seats: Vec<Voter> = leading.followers.keys().copied().collect();
        for voter in seats {
            self.append_to(voter);
        }
        self.renew(now);
        self.enforce(now);
    }

    fn append_to(&mut self, voter: Voter) {
        let Role::Leading(leading) = &mut self.role else { return };
        let Some(progress) = leading.followers.get_mut(&voter) else { return };
        leading.round += 1;
        progress.sent = leading.round;
        let record = &self.promises.record;
        // Below the base nothing is kept one by one: it hears how far this one is and fetches.
        let before = Number(progress.next.0.saturating_sub(1)).max(record.base());
        let term_before = record.term_at(before).unwrap_or_default();
        let (term, memory, round) = (self.promises.term, self.me.memory, leading.round);
        let (before, commit) = ((term_before, before), record.commit());
        let with = |entries| Message::Append { term, memory, round, before, commit, entries };
        let room = BODY_MAX - with(Vec::new()).encode().len();
        let message = with(fitting(record.after(before.1), room));
        self.send(voter.seat, message);
    }

    #[allow(clippy::too_many_arguments)]
    fn append(
        &mut self, now: Tenths, from: Seat, term: Term, round: u64, before: (Term, Number), commit: Number,
        entries: Vec<Entry>,
    ) {
        let memory = self.me.memory;
        if term < self.promises.term {
            let (last, own) = (self.promises.record.last().1, self.promises.term);
            let commit = self.promises.record.commit();
            let message = Message::Appended { term: own, memory, round, matched: None, last, commit };
            return self.send(from, message);
        }
        self.raise(now, term);
        if self.leads() {
            // Two leaders in one term can't be; whoever says so is not heeded.
            return;
        }
        self.role = Role::Following;
        (self.founding, self.word, self.agreed) = (None, None, None);
        if self.promises.charter.as_ref().is_some_and(|(chartered, _)| *chartered < term) {
            // Led from elsewhere: either the era's own sets are in the leader's record, or it never began.
            self.promises.charter = None;
            self.touch();
        }
        self.leader = Some(from);
        self.leaderless_since = now;
        self.hold_until = now + self.bounds.hold;
        self.stand_at = self.hold_until + self.patience();
        self.found_at = self.hold_until + self.bounds.hold;
        let record = &mut self.promises.record;
        let known = before.1 <= record.commit() || record.term_at(before.1) == Some(before.0);
        let mut matched = None;
        if known {
            let mut upto = before.1;
            let mut changed = false;
            for entry in entries {
                if entry.number != upto.next() || entry.term > term {
                    break;
                }
                upto = entry.number;
                changed |= record.put(entry);
            }
            if changed {
                self.touch();
            }
            matched = Some(upto);
            self.enforce_up_to(now, commit.min(upto));
        } else if commit > record.commit() {
            self.fetch_from(now, from);
        }
        let (last, commit) = (self.promises.record.last().1, self.promises.record.commit());
        self.send(from, Message::Appended { term, memory, round, matched, last, commit });
    }

    #[allow(clippy::too_many_arguments)]
    fn appended(
        &mut self, now: Tenths, voter: Voter, term: Term, round: u64, matched: Option<Number>, last: Number,
        commit: Number,
    ) {
        if term > self.promises.term {
            return self.raise(now, term);
        }
        let beat = self.bounds.beat();
        let Role::Leading(leading) = &mut self.role else { return };
        let Some(progress) = leading.followers.get_mut(&voter).filter(|_| term == self.promises.term) else {
            return;
        };
        if now > progress.heard_at + beat + beat + beat {
            progress.well_since = now;
        }
        progress.heard_at = now;
        progress.answered = progress.answered.max(round);
        let latest = round == progress.sent;
        let own_last = self.promises.record.last().1;
        let behind = match matched {
            Some(number) => {
                progress.matched = progress.matched.max(number.min(own_last));
                progress.next = progress.matched.next();
                progress.matched < own_last
            }
            // What it has in force is the same here; above that it may differ.
            None => {
                let back = Number(progress.next.0.saturating_sub(1)).min(last);
                progress.next = back.max(commit).next();
                false
            }
        };
        self.renew(now);
        self.enforce(now);
        // Only the answer to the latest brings about the next: else each beat would begin one more exchange that
        // goes on beside the others for as long as commands come.
        if latest && (behind || matched.is_none()) {
            self.append_to(voter);
        }
        self.hand_on(now);
    }

    /// The lease runs from the sending of the latest beat that a quorum has answered.
    fn renew(&mut self, now: Tenths) {
        let (voters, me, lease, hold) = (self.voters(), self.me, self.bounds.lease(), self.bounds.hold);
        let planted = self.planted;
        let Role::Leading(leading) = &mut self.role else { return };
        let answered = |v: &Voter| match leading.followers.get(v) {
            _ if *v == me => u64::MAX,
            Some(progress) => progress.answered,
            None => 0,
        };
        let sent = leading.rounds.iter().rev().find(|(round, _)| voters.quorum(|v| answered(v) >= *round));
        if let Some((_, at)) = sent {
            let until = match () {
                () if planted.has(Fault::LeaseWithoutDrift) => *at + hold,
                () if planted.has(Fault::LeaseFromAnswer) => now + hold,
                () => *at + lease,
            };
            leading.lease_until = leading.lease_until.max(until);
        }
    }

    /// Raft, section 5.4.2: an entry is in force once a quorum has it and it is of the leader's own term.
    fn enforce(&mut self, now: Tenths) {
        let (voters, me, kept) = (self.voters(), self.me, self.kept_last);
        let alone = self.planted.has(Fault::CommitAlone);
        let Role::Leading(leading) = &self.role else { return };
        let has = |v: &Voter| {
            if *v == me {
                kept
            } else {
                leading.followers.get(v).map_or(Number(0), |p| p.matched)
            }
        };
        let record = &self.promises.record;
        let in_force = record
            .after(record.commit())
            .filter(|e| e.term == self.promises.term)
            .filter(|e| alone || voters.quorum(|v| has(v) >= e.number))
            .map(|e| e.number)
            .last();
        if let Some(number) = in_force {
            self.enforce_up_to(now, number);
        }
    }

    fn enforce_up_to(&mut self, now: Tenths, number: Number) {
        let entries = self.promises.record.enforce(number);
        self.took_force(now, entries);
    }

    fn took_force(&mut self, now: Tenths, entries: Vec<Entry>) {
        if entries.is_empty() {
            return;
        }
        self.touch();
        for entry in entries {
            let changed = matches!(entry.decree, Decree::Voters(_));
            let mandate = self.mandate(now).filter(|m| m.term() == entry.term);
            let opens = matches!(&self.role, Role::Leading(l) if l.opening == entry.number);
            self.events.push(Event::InForce { entry, mandate });
            if opens {
                self.events.extend(mandate.map(Event::Leads));
            }
            if changed || opens {
                self.voters_in_force(now);
            }
        }
    }

    /// The second step of a change: from both sets to the new one alone; who is not in it leads no longer.
    fn voters_in_force(&mut self, now: Tenths) {
        let voters = self.promises.record.in_force().voters.clone();
        if !self.leads() || self.promises.record.voters_waiting() {
            return;
        }
        if voters.change.is_some() {
            self.propose(Decree::Voters(Voters::of(voters.after())));
        } else if !voters.has(&self.me) {
            self.step_down(now, "no voter any more");
        }
        self.follow_voters(now);
    }

    fn follow_voters(&mut self, now: Tenths) {
        let (voters, me, next) = (self.voters(), self.me, self.promises.record.commit().next());
        let Role::Leading(leading) = &mut self.role else { return };
        leading.followers.retain(|v, _| voters.has(v));
        for voter in voters.all().filter(|v| *v != me) {
            let new =
                Progress { matched: Number(0), next, sent: 0, answered: 0, heard_at: now, well_since: now };
            leading.followers.entry(voter).or_insert(new);
        }
    }

    fn propose(&mut self, decree: Decree) -> Number {
        let number = self.promises.record.append(self.promises.term, self.me.seat, decree);
        self.touch();
        let alone = self.promises.record.waiting() == 1;
        if let Role::Leading(leading) = &mut self.role {
            // Out at once, not with the next beat; behind others it goes with the answers to them.
            leading.beat_at = if alone { Tenths(0) } else { leading.beat_at };
        }
        number
    }

    /// Decides something for all: it is in force, and told as such, once a quorum has it. The same again
    /// while it stands is not decided twice.
    pub fn command(&mut self, now: Tenths, decree: Decree) -> Result<Number, Refusal> {
        if !self.leads() {
            return Err(Refusal::NotLeader(self.leader));
        }
        let Some(mandate) = self.mandate(now) else { return Err(Refusal::NoMandate) };
        let same = decree.subject().and_then(|s| self.promises.record.in_force().subjects.get(&s));
        if let Some(entry) = same.filter(|e| e.decree == decree) {
            let entry = entry.clone();
            let number = entry.number;
            self.events.push(Event::InForce { entry, mandate: Some(mandate) });
            return Ok(number);
        }
        let record = &self.promises.record;
        if let Some(waiting) = record.after(record.commit()).find(|e| e.decree == decree) {
            return Ok(waiting.number);
        }
        if record.waiting() >= ENTRIES_WAITING {
            return Err(Refusal::Full);
        }
        Ok(self.propose(decree))
    }

    // --- Who votes, who should lead ------------------------------------------------------------------

    fn tend(&mut self, now: Tenths, members: &Members) {
        self.replace_voter(now, members);
        if !self.bounds.prefer_low {
            return;
        }
        let Role::Leading(leading) = &self.role else { return };
        if now < leading.since + self.bounds.steady || leading.handing.is_some() {
            return;
        }
        let last = self.promises.record.last().1;
        let fit = |(v, p): (&Voter, &Progress)| {
            let steady = now >= p.well_since + self.bounds.steady && p.matched == last;
            (v.seat < self.me.seat && steady).then_some(v.seat)
        };
        let better = leading.followers.iter().find_map(fit);
        if let Some(seat) = better.filter(|seat| members.alive(*seat)) {
            let _ = self.transfer(now, seat);
        }
    }

    /// A voter that is gone, or whose memory is, makes room for one that is there: one at a time.
    fn replace_voter(&mut self, now: Tenths, members: &Members) {
        let voters = self.voters();
        if self.promises.record.voters_waiting() || self.mandate(now).is_none() {
            return;
        }
        if voters.change.is_some() {
            return self.voters_in_force(now);
        }
        let reborn = voters.now.iter().find_map(|v| {
            let memory = members.memory(v.seat).filter(|m| *m != v.memory && v.seat != self.me.seat)?;
            Some((*v, Voter { seat: v.seat, memory }))
        });
        let spare = || {
            let gone = |v: &&Voter| {
                let since = members.gone_since(v.seat);
                since.is_some_and(|since| now >= since + self.bounds.replace_after)
            };
            let out = voters.now.iter().find(gone)?;
            let pool = self.bounds.pool.iter().filter(|seat| !voters.now.iter().any(|v| v.seat == **seat));
            let (seat, memory) = pool.filter_map(|seat| Some((*seat, members.memory(*seat)?))).next()?;
            Some((*out, Voter { seat, memory }))
        };
        let Some((out, new)) = reborn.or_else(spare) else { return };
        let joint = Voters { now: voters.now, change: Some((out, new)) };
        let change = if self.planted.has(Fault::NoJointQuorum) { Voters::of(joint.after()) } else { joint };
        self.propose(Decree::Voters(change));
        self.follow_voters(now);
    }

    /// Hands over to a voter that has all: the mandate is given up first, then the other may stand.
    pub fn transfer(&mut self, now: Tenths, to: Seat) -> Result<(), Refusal> {
        let from = now + self.bounds.act_within;
        let until = from + self.bounds.beat() + self.bounds.beat();
        let leader = self.leader;
        let Role::Leading(leading) = &mut self.role else { return Err(Refusal::NotLeader(leader)) };
        if !leading.followers.keys().any(|v| v.seat == to) {
            return Err(Refusal::NoSuccessor);
        }
        if leading.handing.is_none() {
            leading.handing = Some((to, from, until));
        }
        Ok(())
    }

    /// Hands over to whoever keeps up best, before leaving.
    pub fn leave(&mut self, now: Tenths) {
        let Role::Leading(leading) = &self.role else { return };
        let best = leading.followers.iter().max_by_key(|(v, p)| (p.matched, std::cmp::Reverse(v.seat)));
        if let Some(seat) = best.map(|(v, _)| v.seat) {
            let _ = self.transfer(now, seat);
        }
    }

    fn hand_on(&mut self, now: Tenths) {
        let last = self.promises.record.last().1;
        let Role::Leading(leading) = &self.role else { return };
        // Leave to act that was given before may be used until then.
        let Some((to, _, _)) = leading.handing.filter(|(_, from, _)| now >= *from) else { return };
        let has_all = leading.followers.iter().any(|(v, p)| v.seat == to && p.matched == last);
        if !has_all {
            // Nothing is due before the next answer.
            if let Role::Leading(leading) = &mut self.role {
                leading.handing = leading.handing.map(|(to, _, until)| (to, Tenths(0), until));
            }
        } else {
            let term = self.promises.term;
            self.send(to, Message::HandOver { term });
            if !self.planted.has(Fault::TransferKeepsMandate) {
                self.step_down(now, "handed over");
                // The successor has its turn first.
                self.stand_at = now + self.bounds.hold + self.patience();
            }
        }
    }

    fn handed_over(&mut self, now: Tenths, from: Seat, term: Term) {
        if term == self.promises.term && self.leader == Some(from) && !self.leads() && self.may_vote() {
            self.stand_for_good(now, Some(term));
            self.count_votes(now);
        }
    }

    // --- Catching up --------------------------------------------------------------------------------

    /// Somebody has more in force than this one.
    pub fn hears_of(&mut self, now: Tenths, from: Seat, record: (Term, Number)) {
        if record > self.in_force() && now >= self.fetch_at {
            self.fetch_from(now, from);
        }
    }

    fn fetch_from(&mut self, now: Tenths, from: Seat) {
        if self.fetching.is_none() {
            let until = now + Tenths(self.bounds.round_trip.0 * 2);
            self.fetching = Some(Fetching { from, until, of: Number(0), pieces: Vec::new(), next: 0 });
            let after = self.in_force();
            self.send(from, Message::Fetch { after, piece: 0, of: Number(0) });
        }
    }

    fn fetch(&mut self, from: Seat, after: (Term, Number), piece: u16, of: Number) {
        let record = &self.promises.record;
        let same = record.term_at(after.1) == Some(after.0) && after.1 >= record.base();
        if same && of == Number(0) {
            let in_force = record.after(after.1).take_while(|e| e.number <= record.commit());
            let entries = fitting(in_force, BODY_MAX - 8);
            if !entries.is_empty() {
                self.send(from, Message::Decrees { entries });
            }
            return;
        }
        let state = ::postcard::to_allocvec(record.in_force()).expect("plain values have an encoding");
        let total = state.len().div_ceil(PIECE_BYTES);
        // It has grown since the first piece was sent: all begins again with the first.
        let piece = if of == record.commit() { usize::from(piece) } else { 0 };
        if total * PIECE_BYTES > STATE_MAX || piece >= total {
            return;
        }
        let bytes = state[piece * PIECE_BYTES..].iter().take(PIECE_BYTES).copied().collect();
        let (of, total, piece) = (record.commit(), total as u16, piece as u16);
        self.send(from, Message::Piece { of, total, piece, bytes });
    }

    fn decrees(&mut self, now: Tenths, from: Seat, entries: Vec<Entry>) {
        let asked = self.fetching.as_ref().is_some_and(|f| f.from == from);
        if !asked {
            return;
        }
        self.fetching = None;
        for entry in entries {
            let term = entry.term;
            let new = self.promises.record.adopt(entry);
            if !new.is_empty() {
                self.word = None;
                self.raise(now, term);
            }
            self.took_force(now, new);
        }
        self.fetch_at = now;
    }

    fn piece(&mut self, now: Tenths, from: Seat, of: Number, total: u16, piece: u16, bytes: Vec<u8>) {
        let round_trip = self.bounds.round_trip;
        let Some(fetching) = self.fetching.as_mut().filter(|f| f.from == from) else { return };
        if fetching.of != of || fetching.pieces.len() != usize::from(total) {
            (fetching.of, fetching.pieces, fetching.next) = (of, vec![None; usize::from(total)], 0);
        }
        fetching.pieces[usize::from(piece)] = Some(bytes);
        fetching.until = now + Tenths(round_trip.0 * 2);
        if let Some(missing) = fetching.pieces.iter().position(Option::is_none) {
            let after = self.in_force();
            return self.send(from, Message::Fetch { after, piece: missing as u16, of });
        }
        let state: Vec<u8> = std::mem::take(&mut fetching.pieces).into_iter().flatten().flatten().collect();
        self.fetching = None;
        self.fetch_at = now;
        let Ok(standing) = ::postcard::from_bytes::<Standing>(&state) else { return };
        let term = standing.term;
        if standing.number == of && !self.leads() && self.promises.record.replace(standing) {
            self.touch();
            self.raise(now, term);
            self.events.push(Event::CaughtUp { number: of });
        }
    }

    // --- Founding -----------------------------------------------------------------------------------

    fn asked(&self) -> Vec<Seat> {
        let gone = |seat: &&Seat| !self.bounds.absent.contains(seat);
        self.bounds.pool.iter().filter(gone).copied().collect()
    }

    fn quorum_seems_alive(&self, members: &Members) -> bool {
        let voters = self.voters();
        let here = |v: &Voter| *v == self.me || members.memory(v.seat) == Some(v.memory);
        !voters.now.is_empty() && voters.quorum(here)
    }

    /// Where no quorum is left that remembers, nobody can know what was promised, unless every instance of the
    /// pool says so itself. So each gives its word to take part in nothing earlier, and an era begins with the
    /// longest record among them once each has agreed to it. A part taken in an earlier era takes the word
    /// back, so a quorum that is there after all only makes the founding fail.
    fn found(&mut self, now: Tenths, members: &Members) {
        if self.leads() || self.founding.as_ref().is_some_and(|f| f.charter.is_some() && !self.between_eras())
        {
            self.founding = None;
        }
        if let Some(founding) = &self.founding {
            if now >= founding.until {
                // Nobody else has this era's word from this one, and its charter will never be written.
                (self.founding, self.word) = (None, None);
                self.found_at = now + self.bounds.hold + self.jitter();
            } else if now >= founding.again_at {
                self.ask_pool(now);
            }
            return;
        }
        if now < self.found_at {
            return;
        }
        self.found_at = now + Tenths(self.bounds.hold.0 / 2) + self.jitter();
        let pool = self.asked();
        let Some(index) = pool.iter().position(|seat| *seat == self.me.seat) else { return };
        if self.leads() || matches!(self.role, Role::Chartered { .. }) {
            return;
        }
        let leaderless = now >= self.hold_until;
        let stuck = now >= self.leaderless_since + Tenths(self.bounds.hold.0 * STUCK);
        let first = self.voters().now.is_empty() && self.leader.is_none();
        let fresh = first && now >= self.leaderless_since + Tenths(self.bounds.hold.0 / 4);
        let lost = self.between_eras() || stuck || !self.quorum_seems_alive(members);
        let lowest = pool.iter().find(|seat| members.alive(**seat)) == Some(&self.me.seat);
        if lowest && (fresh || leaderless && lost) {
            // Each of the pool has eras of its own: no two ask for one.
            // And none is from before this process, so that eras rise even if nobody remembers the last one.
            let begun = Era(self.life.0 / 10);
            let past = begun.max(self.era_seen).max(self.promises.term.era()).0;
            let era = Era((past / ERA_STEP + 1) * ERA_STEP + index as u64);
            let until = now + Tenths(self.bounds.hold.0 * FOUND_FOR);
            (self.word, self.era_seen) = (Some((era, self.life)), era);
            let answers = BTreeMap::from([(self.me.seat, self.promised())]);
            self.founding = Some(Founding { era, answers, charter: None, until, again_at: now });
            self.ask_pool(now);
        }
    }

    fn promised(&self) -> Promised {
        let era = self.era_seen.max(self.promises.term.era());
        Promised { era, memory: self.me.memory, last: self.promises.record.last() }
    }

    fn ask_pool(&mut self, now: Tenths) {
        let (pool, me, asker) = (self.asked(), self.me.seat, self.life);
        let beat = self.bounds.beat();
        let Some(founding) = &mut self.founding else { return };
        founding.again_at = now + beat;
        if let Some(charter) = founding.charter.clone() {
            return pool.into_iter().filter(|s| *s != me).for_each(|seat| self.send(seat, charter.clone()));
        }
        let (era, answers) = (founding.era, &founding.answers);
        let missing: Vec<Seat> = pool.into_iter().filter(|s| *s != me && !answers.contains_key(s)).collect();
        for seat in missing {
            self.send(seat, Message::Found { era, asker });
        }
        self.charter(now);
    }

    fn asked_to_found(&mut self, now: Tenths, from: Seat, era: Era, asker: Life) {
        // Who leads, or hears from somebody who does, gives nobody its word.
        let led = self.leads() || (self.leader.is_some() && now < self.hold_until);
        let later = self.word.is_some_and(|(word, _)| word > era);
        let busy =
            led || later || era <= self.promises.term.era() || !self.bounds.pool.contains(&self.me.seat);
        if !busy {
            self.word = Some((era, asker));
            self.founding = self.founding.take().filter(|f| f.era >= era);
            if matches!(self.role, Role::Standing { .. }) {
                self.role = Role::Following;
            }
            self.stand_at = self.stand_at.max(now + self.bounds.hold);
            self.found_at = now + Tenths(self.bounds.hold.0 * FOUND_FOR) + self.jitter();
        }
        self.era_seen = self.era_seen.max(era);
        let promised = self.promised();
        self.send(from, Message::FoundAnswer { asked: era, asker, busy, promised });
    }

    fn found_answer(
        &mut self, now: Tenths, from: Seat, asked: Era, asker: Life, busy: bool, promised: Promised,
    ) {
        self.era_seen = self.era_seen.max(promised.era);
        let Some(founding) = self.founding.as_mut().filter(|f| f.era == asked && asker == self.life) else {
            return;
        };
        if founding.charter.is_some() {
            return;
        }
        if busy {
            (self.founding, self.word) = (None, None);
            self.found_at = now + self.bounds.hold + self.jitter();
            return;
        }
        founding.answers.insert(from, promised);
        self.charter(now);
    }

    fn charter(&mut self, now: Tenths) {
        let pool = self.asked();
        let Some(founding) = &self.founding else { return };
        let all = pool.iter().all(|seat| founding.answers.contains_key(seat));
        if !all || self.word != Some((founding.era, self.life)) {
            return;
        }
        let (era, answers) = (founding.era, founding.answers.clone());
        let longest = |(seat, p): &(&Seat, &Promised)| (p.last, std::cmp::Reverse(**seat));
        let Some((seat, best)) = answers.iter().max_by_key(longest) else { return };
        let leader = Voter { seat: *seat, memory: best.memory };
        let mut voters = vec![leader];
        let others = answers.iter().map(|(seat, p)| Voter { seat: *seat, memory: p.memory });
        voters.extend(others.filter(|v| *v != leader).take(self.bounds.voters - 1));
        voters.sort();
        let voters = Voters::of(voters);
        let asker = self.life;
        if let Some(founding) = &mut self.founding {
            (founding.again_at, founding.until) = (now, now + Tenths(self.bounds.hold.0 * FOUND_FOR));
            founding.charter = Some(Message::Charter { era, asker, voters: voters.clone(), leader });
        }
        self.ask_pool(now);
        self.chartered(now, era, asker, voters, leader);
    }

    fn chartered(&mut self, now: Tenths, era: Era, asker: Life, voters: Voters, leader: Voter) {
        let term = Term::founding(era);
        // No word was given, or it was taken back: this founding is not one.
        if self.word != Some((era, asker)) || term <= self.promises.term || self.leads() {
            return;
        }
        self.raise(now, term);
        self.promises.charter = Some((term, voters));
        self.promises.voted = Some(leader);
        self.touch();
        self.events.push(Event::Founded { era });
        let until = now + Tenths(self.bounds.hold.0 * FOUND_FOR);
        (self.stand_at, self.found_at) = (until, until + self.jitter());
        if leader == self.me {
            let agreed = BTreeSet::from([self.me.seat]);
            self.role = Role::Chartered { asker, agreed, until };
            self.lead_if_agreed(now);
        } else {
            self.agreed = Some((era, asker, leader.seat, now));
            self.agree(now);
        }
    }

    fn agree(&mut self, now: Tenths) {
        let beat = self.bounds.beat();
        let Some((era, asker, to, at)) = &mut self.agreed else { return };
        if now >= *at {
            *at = now + beat;
            let (era, asker, to) = (*era, *asker, *to);
            self.send(to, Message::Agreed { era, asker });
        }
    }

    fn agreed(&mut self, now: Tenths, from: Seat, era: Era, by: Life) {
        if self.promises.term != Term::founding(era) {
            // It came before the charter itself did, and will come again.
            return;
        }
        if let Role::Chartered { asker, agreed, .. } = &mut self.role {
            if *asker == by {
                agreed.insert(from);
            }
        }
        self.lead_if_agreed(now);
    }

    fn lead_if_agreed(&mut self, now: Tenths) {
        let pool = self.asked();
        let kept = self.kept >= self.changes && !self.changed;
        let Role::Chartered { agreed, .. } = &self.role else { return };
        if kept && pool.iter().all(|seat| agreed.contains(seat)) {
            self.lead(now);
        }
    }

    /// One message of another instance's council. Probes are not for here.
    pub fn hear(&mut self, now: Tenths, from: Seat, message: Message) {
        let voter = |memory| Voter { seat: from, memory };
        match message {
            Message::PreVote { term, memory, last } => self.pre_vote(now, from, term, memory, last),
            Message::PreVoted { term, memory, granted, own } => {
                self.pre_voted(now, voter(memory), term, granted, own);
            }
            Message::Vote { term, memory, last, handed } => self.vote(now, from, term, memory, last, handed),
            Message::Voted { term, memory, granted } => self.voted(now, voter(memory), term, granted),
            Message::Append { term, memory: _, round, before, commit, entries } => {
                self.append(now, from, term, round, before, commit, entries);
            }
            Message::Appended { term, memory, round, matched, last, commit } => {
                self.appended(now, voter(memory), term, round, matched, last, commit);
            }
            Message::HandOver { term } => self.handed_over(now, from, term),
            Message::Fetch { after, piece, of } => self.fetch(from, after, piece, of),
            Message::Decrees { entries } => self.decrees(now, from, entries),
            Message::Piece { of, total, piece, bytes } => self.piece(now, from, of, total, piece, bytes),
            Message::Found { era, asker } => self.asked_to_found(now, from, era, asker),
            Message::FoundAnswer { asked, asker, busy, promised } => {
                self.found_answer(now, from, asked, asker, busy, promised);
            }
            Message::Charter { era, asker, voters, leader } => {
                self.chartered(now, era, asker, voters, leader)
            }
            Message::Agreed { era, asker } => self.agreed(now, from, era, asker),
            Message::Hello | Message::Welcome { .. } => {}
            Message::Ping { .. } | Message::Ack { .. } | Message::PingFor { .. } => {}
        }
    }
}
