//! The only place where state changes: inputs in, effects out. It owns the decision module, the
//! invocations, the dispatches and what is due when, and is the module's `Host`. It must never read a
//! clock, touch a socket or decide anything that the module could: equal inputs give equal effects.
//!
//! For the module it behaves as the simulator's wire does: dispatches of an invocation are numbered in
//! order and end exactly once, by the latest at the client's time limit; the first success is the final
//! answer; what can't be sent is moot; outcomes are told after the final answer too.

use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use stagepond::balance::Balancer;
use stagepond::host::*;

use crate::leading::{is_for_leadership, Came, Leading};
use crate::lifecycle::{Lifecycle, Rereading, State};
use crate::messages::*;
use crate::verifying::{Check, Verifying, FETCH_WITHIN};

struct Held {
    ticket: Ticket,
    id: ClientId,
    call: Arc<Call>,
    until: Tenths,
    sent: usize,
    out: Vec<(usize, DispatchId)>,
    answered: bool,
    /// The signed target that it asks for, and the check that the last answer to it failed.
    target: Option<String>,
    failed: Option<&'static str>,
}

struct Dispatch {
    inv: InvId,
    nth: usize,
    at: Tenths,
    until: Tenths,
}

/// What discovery last said of a pod, as far as it tells one process under a name from the next.
struct Pod {
    id: PodId,
    process: (SocketAddr, Option<Tenths>, Build),
    gone_since: Option<Tenths>,
}

/// A pod that discovery no longer lists may come back as it was, and what it is blamed for may come late:
/// for longer than any word of that takes it is still known.
const GONE_KEPT: Tenths = Tenths::ms(60_000);

/// All but the module; apart from it so that the module can call back.
struct Ledger {
    now: Tenths,
    dispatches_max: usize,
    second_copies: bool,
    invs: HashMap<InvId, Held>,
    /// The clients' ids of those: each is free again once the last dispatch under it has ended.
    ids: HashSet<ClientId>,
    open: usize,
    dispatches: HashMap<DispatchId, Dispatch>,
    last_dispatch: u64,
    /// Time-outs of dispatches, and wakes that the module asked for.
    due: BTreeSet<(Tenths, DispatchId)>,
    bells: BTreeSet<(Tenths, u64)>,
    /// Ends that came of a call itself: told when it has returned, as the module can't be entered twice.
    ended: VecDeque<(InvId, usize, Ending)>,
    pods: HashMap<PodName, Pod>,
    addresses: HashMap<PodId, SocketAddr>,
    last_pod: u32,
    /// Where one leads, what the module wants to vote is decided for all first.
    led: bool,
    wanted: VecDeque<(Build, u32, Option<Verdict>)>,
    effects: Vec<Effect>,
}

/// Tickets from here on are the reducer's own: no front counts so far.
const OWN_TICKETS: Ticket = Ticket(1 << 62);
/// Files that may follow each other without an input between: none but those whose fetch was given up at once.
const FETCHES_AT_ONCE: usize = 4;

/// Parts that the operators' file switches on.
#[derive(Default)]
pub struct Switched {
    pub leading: Option<Leading>,
    pub verifying: Option<Verifying>,
}

pub struct Reducer {
    balancer: Balancer,
    ledger: Ledger,
    lifecycle: Lifecycle,
    rereading: Rereading,
    leading: Option<Leading>,
    verifying: Option<Verifying>,
    /// Answers whose check waits for metadata; each dispatch still ends by its own time.
    unchecked: Vec<(DispatchId, Outcome)>,
    fetches: u64,
    places: Places,
    connected: bool,
}

fn id_of(ticket: Ticket) -> InvId {
    InvId(SmolStr::from(ticket.0.to_string()))
}

impl Host for Ledger {
    fn now(&self) -> Tenths {
        self.now
    }

    fn dispatch(&mut self, inv: &InvId, pod: PodId, until: Tenths) {
        let Some(held) = self.invs.get_mut(inv) else { return };
        let nth = held.sent;
        held.sent += 1;
        let until = until.min(held.until);
        let alone = held.out.is_empty() || self.second_copies;
        let over = held.answered || nth >= self.dispatches_max || until <= self.now || !alone;
        let Some(&to) = self.addresses.get(&pod).filter(|_| !over) else {
            return self.ended.push_back((inv.clone(), nth, Ending::Moot));
        };
        self.last_dispatch += 1;
        let id = DispatchId(self.last_dispatch);
        held.out.push((nth, id));
        self.due.insert((until, id));
        self.dispatches.insert(id, Dispatch { inv: inv.clone(), nth, at: self.now, until });
        let call = held.call.clone();
        self.effects.push(Effect::Dispatch { id, call, to, wait: until - self.now });
    }

    fn throttle(&mut self, inv: &InvId, stay_away: Tenths) {
        self.answer(inv, FinalAnswer::Throttled { stay_away });
    }

    fn terminate(&mut self, inv: &InvId) {
        self.answer(inv, FinalAnswer::Terminated);
    }

    fn cancel(&mut self, inv: &InvId, nth: usize) {
        let out = self.invs.get(inv).and_then(|held| held.out.iter().find(|(n, _)| *n == nth));
        if let Some(&(_, id)) = out {
            self.forget(id);
            self.effects.push(Effect::GiveUp(id));
            self.ended.push_back((inv.clone(), nth, Ending::Cancelled));
        }
    }

    fn set_timer(&mut self, delay: Tenths, token: u64) {
        self.bells.insert((self.now + delay, token));
    }

    fn probe(&mut self, _pod: PodId) {
        self.log("no probes on sockets");
    }

    fn close_idle_connections(&mut self, pod: PodId) {
        self.effects.extend(self.addresses.get(&pod).copied().map(Effect::DropIdle));
    }

    fn send_to_peer(&mut self, to: Option<Peer>, words: &[u8]) {
        self.effects.push(Effect::Tell { to, words: words.to_vec() });
    }

    fn vote(&mut self, build: Build, stage: u32, verdict: Verdict) {
        self.want(build, stage, Some(verdict));
    }

    fn withdraw_vote(&mut self, build: Build, stage: u32) {
        self.want(build, stage, None);
    }

    /// The watch always stands here, so there is nothing to ask for.
    fn subscribe(&mut self, _wanted: bool) {}

    fn reload_pod_list(&mut self) {
        self.effects.push(Effect::WholeList);
    }

    fn log(&mut self, words: &str) {
        self.effects.push(Effect::Log(words.to_string()));
    }
}

impl Ledger {
    fn want(&mut self, build: Build, stage: u32, verdict: Option<Verdict>) {
        if self.led {
            return self.wanted.push_back((build, stage, verdict));
        }
        self.effects.push(Effect::Vote { build, stage, verdict, mandate: None });
    }

    fn answer(&mut self, inv: &InvId, answer: FinalAnswer) {
        if let Some(held) = self.invs.get_mut(inv).filter(|held| !held.answered) {
            held.answered = true;
            self.open -= 1;
            let answer = match (answer, held.failed) {
                (FinalAnswer::Terminated, Some(failed)) => {
                    FinalAnswer::Unverified { failed, stay_away: None }
                }
                (FinalAnswer::Throttled { stay_away }, Some(failed)) => {
                    FinalAnswer::Unverified { failed, stay_away: Some(stay_away) }
                }
                (answer, _) => answer,
            };
            self.effects.push(Effect::Answer(held.ticket, answer));
        }
        self.forget_if_over(inv);
    }

    fn forget_if_over(&mut self, inv: &InvId) {
        let over = |held: &Held| held.answered && held.out.is_empty();
        if self.invs.get(inv).is_some_and(over) && !self.ended.iter().any(|(ended, ..)| ended == inv) {
            let id = self.invs.remove(inv).map(|held| held.id);
            id.map(|id| self.ids.remove(&id));
        }
    }

    /// A dispatch is over: whatever else comes of it is not told.
    fn forget(&mut self, id: DispatchId) -> Option<Dispatch> {
        let dispatch = self.dispatches.remove(&id)?;
        self.due.remove(&(dispatch.until, id));
        if let Some(held) = self.invs.get_mut(&dispatch.inv) {
            held.out.retain(|(_, out)| *out != id);
        }
        Some(dispatch)
    }

    fn next_due(&self) -> Tenths {
        let dispatch = self.due.first().map_or(Tenths::NEVER, |(at, _)| *at);
        dispatch.min(self.bells.first().map_or(Tenths::NEVER, |(at, _)| *at))
    }
}

impl Reducer {
    /// Starts the module on what the configuration holds, in the order in which the simulator tells it.
    pub fn new(
        now: Tenths, facts: Facts, seed: u64, places: Places, known: List, standing: Option<Standing>,
        switched: Switched,
    ) -> (Reducer, Vec<Effect>) {
        let Switched { leading, verifying } = switched;
        let ledger = Ledger {
            now,
            dispatches_max: facts.max_dispatches,
            second_copies: facts.parallel_dispatches,
            invs: HashMap::new(),
            ids: HashSet::new(),
            open: 0,
            dispatches: HashMap::new(),
            last_dispatch: 0,
            due: BTreeSet::new(),
            bells: BTreeSet::new(),
            ended: VecDeque::new(),
            pods: HashMap::new(),
            addresses: HashMap::new(),
            last_pod: 0,
            led: leading.is_some(),
            wanted: VecDeque::new(),
            effects: Vec::new(),
        };
        let mut reducer = Reducer {
            balancer: Balancer::new(facts, seed),
            ledger,
            lifecycle: Lifecycle::new(now),
            rereading: Rereading::default(),
            leading,
            verifying,
            unchecked: Vec::new(),
            fetches: 0,
            places,
            connected: false,
        };
        reducer.ledger.effects.push(Effect::Enter(State::Starting));
        reducer.balancer.start(&mut reducer.ledger);
        if reducer.leading.is_some() {
            // Until somebody leads nobody votes.
            reducer.balancer.on_leadership(&mut reducer.ledger, Vec::new(), false);
        }
        reducer.list(known);
        if let Some(standing) = standing {
            reducer.standing(Ok(standing), false);
        }
        reducer.settle();
        let effects = std::mem::take(&mut reducer.ledger.effects);
        // What is owed to the reducer itself is taken with the first input.
        (reducer, effects)
    }

    /// When `Input::Tick` is to come at the latest.
    pub fn next_due(&self) -> Tenths {
        let leading = self.leading.as_ref().map_or(Tenths::NEVER, Leading::next_due);
        let verifying = self.verifying.as_ref().map_or(Tenths::NEVER, Verifying::next_due);
        let own = self.lifecycle.next().min(self.rereading.next());
        self.ledger.next_due().min(own).min(leading).min(verifying)
    }

    pub fn apply(&mut self, now: Tenths, input: Input) -> Vec<Effect> {
        self.ledger.now = self.ledger.now.max(now);
        match input {
            Input::Arrived { ticket, id, call, op, until } => self.arrived(ticket, id, call, op, until),
            Input::Left(ticket) => self.left(&id_of(ticket)),
            Input::Ended(id, outcome) => self.ended(id, outcome),
            Input::Listed(list) => {
                self.list(list);
                self.may_place(true);
            }
            Input::ListBroke => self.balancer.on_pod_list_failure(&mut self.ledger),
            Input::Standing(standing) => self.standing(Ok(standing), false),
            Input::VoteAnswered(answer) => self.standing(answer, true),
            Input::Disputed { pod, op, age } => {
                if let Some(&Pod { id, .. }) = self.ledger.pods.get(&pod) {
                    self.balancer.on_objection(&mut self.ledger, id, op, age);
                }
            }
            Input::Mail { from: _, words } if self.leading.is_some() && is_for_leadership(&words) => {
                self.lead(|leading, now| leading.datagram(now, &words));
            }
            Input::Mail { from, words } => self.balancer.on_peer_message(&mut self.ledger, from, &words),
            Input::Kept(number) => self.lead(|leading, now| leading.kept(now, number)),
            Input::Tick => self.tick(),
            Input::Hangup => {
                self.rereading.begin();
                self.ledger.effects.push(Effect::Reread);
            }
            Input::Reread(read) => self.reread(read),
            Input::Leave => {
                self.lead(|leading, now| leading.leave(now));
                let state = self.lifecycle.leave(self.ledger.now);
                self.enter(state);
            }
            Input::ListenerClosed => {
                let state = self.lifecycle.listener_closed(self.ledger.now);
                self.connected |= state.is_some();
                self.enter(state);
            }
            Input::FrontEmpty => self.connected = false,
        }
        self.settle();
        if self.verifying.is_some() {
            self.verify();
        }
        std::mem::take(&mut self.ledger.effects)
    }

    /// Files of metadata are fetched as invocations of their own, through the same module and limits; answers
    /// that waited for one are checked.
    fn verify(&mut self) {
        for _ in 0..FETCHES_AT_ONCE {
            let now = self.ledger.now;
            let Some(verifying) = &mut self.verifying else { return };
            verifying.look_at_the_clock(now);
            let mut next = None;
            let mut effects = std::mem::take(&mut self.ledger.effects);
            effects.retain(|effect| match effect {
                Effect::Answer(ticket, answer) if *ticket >= OWN_TICKETS => {
                    let file = match answer {
                        FinalAnswer::Succeeded(reply) if !reply.body.is_empty() => Some(&reply.body[..]),
                        _ => None,
                    };
                    next = verifying.fetched(now, file).or(next.take());
                    false
                }
                _ => true,
            });
            let next = next.or_else(|| verifying.next(now));
            effects.extend(verifying.told.drain(..).map(Effect::Told));
            effects.extend(verifying.keep.take().map(Effect::KeepTrusted));
            self.ledger.effects = effects;
            let waiting = std::mem::take(&mut self.unchecked);
            let again = !waiting.is_empty();
            for (id, outcome) in waiting {
                if self.ledger.dispatches.contains_key(&id) {
                    self.ended(id, outcome);
                }
            }
            if let Some(path) = &next {
                self.fetch(path);
            }
            if again || next.is_some() {
                self.settle();
            }
            let owed =
                |effect: &Effect| matches!(effect, Effect::Answer(ticket, _) if *ticket >= OWN_TICKETS);
            if !self.ledger.effects.iter().any(owed) {
                return;
            }
        }
    }

    fn fetch(&mut self, path: &str) {
        let Some(op) = self.verifying.as_ref().map(Verifying::op) else { return };
        let Ok(target) = path.parse() else { return };
        self.fetches += 1;
        let id = format!("metadata-{}-{}", self.ledger.now.0, self.fetches);
        let mut headers = hyper::HeaderMap::new();
        if let Ok(value) = id.parse() {
            headers.insert("x-request-id", value);
        }
        let call = Call { method: hyper::Method::GET, target, headers, body: Default::default() };
        let ticket = Ticket(OWN_TICKETS.0 + self.fetches);
        let until = self.ledger.now + FETCH_WITHIN;
        self.arrived(ticket, ClientId(id.into()), Arc::new(call), op, until);
    }

    pub fn verifying(&self) -> Option<&Verifying> {
        self.verifying.as_ref()
    }

    /// One step of leadership, where it is on, and what the module is to hear of it.
    fn lead(&mut self, step: impl FnOnce(&mut Leading, Tenths) -> Came) {
        let now = self.ledger.now;
        let Some(leading) = &mut self.leading else { return };
        let Came { effects, lead, again } = step(leading, now);
        self.ledger.effects.extend(effects);
        let said = if again { leading.said(now) } else { None };
        if let Some((voters, acts)) = lead {
            self.balancer.on_leadership(&mut self.ledger, voters, acts);
        }
        if let Some(said) = said {
            self.hear(Ok(said), false);
        }
    }

    pub fn leading(&self) -> Option<&Leading> {
        self.leading.as_ref()
    }

    fn enter(&mut self, state: Option<State>) {
        self.ledger.effects.extend(state.map(Effect::Enter));
    }

    fn may_place(&mut self, fresh: bool) {
        let state = self.lifecycle.may_place(self.ledger.now, !self.ledger.pods.is_empty(), fresh);
        self.enter(state);
    }

    /// Tells the module of the ends that its last calls brought about, until there are none.
    fn settle(&mut self) {
        loop {
            if let Some((inv, nth, ending)) = self.ledger.ended.pop_front() {
                self.tell(&inv, nth, Tenths(0), ending, None);
            } else if let Some((build, stage, verdict)) = self.ledger.wanted.pop_front() {
                self.lead(|leading, now| leading.wants(now, build, stage, verdict));
            } else {
                break;
            }
        }
        let state = self.lifecycle.settle(self.ledger.now, self.ledger.open, self.connected);
        self.enter(state);
    }

    fn tell(&mut self, inv: &InvId, nth: usize, took: Tenths, ending: Ending, in_flight: Option<f64>) {
        let last = self.ledger.invs.get(inv).is_none_or(|held| held.answered);
        self.balancer.on_outcome(&mut self.ledger, inv, last, nth, took, ending, in_flight);
        self.ledger.forget_if_over(inv);
    }

    fn arrived(&mut self, ticket: Ticket, id: ClientId, call: Arc<Call>, op: Op, until: Tenths) {
        if !self.ledger.ids.insert(id.clone()) {
            // A pod that gets both would take one for the other.
            return self.ledger.effects.push(Effect::Answer(ticket, FinalAnswer::IdTaken));
        }
        let inv = id_of(ticket);
        let mut target = None;
        if let Some(verifying) = self.verifying.as_mut().filter(|_| ticket < OWN_TICKETS) {
            target = verifying.target_of(op, call.target.path()).map(str::to_string);
            target.iter().for_each(|path| verifying.expect(path));
        }
        let held =
            Held { ticket, id, call, until, sent: 0, out: Vec::new(), answered: false, target, failed: None };
        self.ledger.invs.insert(inv.clone(), held);
        self.ledger.open += 1;
        self.balancer.on_invocation(&mut self.ledger, inv, None, op, until);
    }

    fn left(&mut self, inv: &InvId) {
        let Some(held) = self.ledger.invs.get_mut(inv).filter(|held| !held.answered) else { return };
        held.answered = true;
        self.ledger.open -= 1;
        self.balancer.on_abort(&mut self.ledger, inv);
        self.ledger.forget_if_over(inv);
    }

    /// The outcome as it counts: of a verified operation an answer that is not what was signed is an error that
    /// may have run. None while the check waits for metadata.
    fn checked(&mut self, id: DispatchId, mut outcome: Outcome) -> Option<Outcome> {
        let Some(verifying) = &mut self.verifying else { return Some(outcome) };
        let inv = self.ledger.dispatches.get(&id).map(|dispatch| &dispatch.inv);
        let held = inv.and_then(|inv| self.ledger.invs.get_mut(inv));
        let Some(held) = held else { return Some(outcome) };
        if held.ticket >= OWN_TICKETS {
            // That there is no such file is an answer, and nobody's fault.
            if outcome.absent {
                outcome.ending = Ending::Succeeded;
                outcome.reply = Reply::default();
            }
            return Some(outcome);
        }
        let Some(path) = held.target.as_deref().filter(|_| outcome.ending == Ending::Succeeded) else {
            return Some(outcome);
        };
        match verifying.check(path, &outcome.reply.body) {
            Check::Good => {}
            Check::Bad(kind) => {
                held.failed = Some(kind);
                outcome.ending = Ending::Error;
                outcome.reply = Reply::default();
            }
            Check::Wait => {
                self.unchecked.push((id, outcome));
                return None;
            }
        }
        Some(outcome)
    }

    fn ended(&mut self, id: DispatchId, outcome: Outcome) {
        let Some(outcome) = self.checked(id, outcome) else { return };
        let Some(Dispatch { inv, nth, at, .. }) = self.ledger.forget(id) else { return };
        let Outcome { ending, at: ended_at, in_flight, reply, .. } = outcome;
        if ending == Ending::Succeeded {
            // Answered first: nothing that the module does on hearing of it may come before.
            if let Some(held) = self.ledger.invs.get_mut(&inv).filter(|held| !held.answered) {
                held.answered = true;
                self.ledger.open -= 1;
                self.ledger.effects.push(Effect::Answer(held.ticket, FinalAnswer::Succeeded(reply)));
            }
        }
        let took = Tenths((ended_at - at).0.max(0));
        self.tell(&inv, nth, took, ending, in_flight);
    }

    /// What is learnt and what is under way stays as it is: only where news and votes go changes.
    fn reread(&mut self, read: Result<Changes, String>) {
        let Changes { places, leadership } = match read {
            Ok(changes) => changes,
            Err(why) => {
                let again = self.rereading.failed(self.ledger.now);
                let then = if again { "is read again shortly" } else { "is given up, the old one stays" };
                return self.ledger.log(&format!("the new configuration {then}: {why}"));
            }
        };
        self.rereading.done();
        if let Some(asked) = leadership {
            self.lead(|leading, now| leading.reread(now, &asked));
        }
        let old = std::mem::replace(&mut self.places, places);
        self.ledger.log(&format!("the new configuration is in force: {places:?}, before {old:?}"));
        if old.discovery != places.discovery {
            self.ledger.effects.push(Effect::Discovery(places.discovery));
        }
        if old.platform != places.platform {
            self.ledger.effects.push(Effect::Platform(places.platform));
        }
    }

    fn tick(&mut self) {
        let now = self.ledger.now;
        // First of all: what a mandate allowed is over with it.
        self.lead(|leading, now| leading.tick(now));
        if self.rereading.due(now) {
            self.ledger.effects.push(Effect::Reread);
        }
        while let Some(&(until, id)) = self.ledger.due.first().filter(|(until, _)| *until <= now) {
            let Some(Dispatch { inv, nth, at, .. }) = self.ledger.forget(id) else { break };
            // The connection goes before the module hears of it, and so before any further dispatch.
            self.ledger.effects.push(Effect::GiveUp(id));
            self.tell(&inv, nth, until - at, Ending::TimedOut, None);
        }
        // Only what is due now: the module sets a next wake on each.
        let later = self.ledger.bells.split_off(&(now + Tenths(1), 0));
        for (_, token) in std::mem::replace(&mut self.ledger.bells, later) {
            self.balancer.on_timer(&mut self.ledger, token);
        }
        self.may_place(false);
        if self.lifecycle.listened_enough(now) {
            self.ledger.effects.push(Effect::CloseListener);
        }
    }

    fn list(&mut self, list: List) {
        let now = self.ledger.now;
        self.balancer.begin_pod_list(list.whole);
        if list.whole {
            let rows: HashSet<_> = list.rows.iter().map(|row| &row.name).collect();
            for (name, pod) in &mut self.ledger.pods {
                if !rows.contains(name) && pod.gone_since.is_none() {
                    pod.gone_since = Some(now);
                    self.ledger.effects.push(Effect::DropIdle(pod.process.0));
                }
            }
        }
        for row in list.rows {
            let process = (row.address, row.born, row.build);
            let next = &mut self.ledger.last_pod;
            let pod = self.ledger.pods.entry(row.name).or_insert_with(|| {
                *next += 1;
                Pod { id: PodId(*next), process, gone_since: None }
            });
            let gone = row.availability == Availability::Gone;
            pod.gone_since = gone.then(|| pod.gone_since.unwrap_or(now));
            // Another process under the name, or the same one elsewhere: what is open serves it no more.
            let old = std::mem::replace(&mut pod.process, process);
            if old != process || row.availability != Availability::Up {
                self.ledger.effects.push(Effect::DropIdle(old.0));
            }
            self.ledger.addresses.insert(pod.id, row.address);
            self.balancer.on_pod(
                pod.id,
                row.kind,
                row.zone,
                row.availability,
                row.cell,
                row.weight,
                row.born,
                row.build,
            );
        }
        self.balancer.end_pod_list(&mut self.ledger);
        let addresses = &mut self.ledger.addresses;
        self.ledger.pods.retain(|_, pod| {
            let kept = pod.gone_since.is_none_or(|since| now < since + GONE_KEPT);
            kept || addresses.remove(&pod.id).is_none()
        });
    }

    fn standing(&mut self, answer: Result<Standing, Ending>, to_vote: bool) {
        let answer = match (answer, &mut self.leading) {
            (Ok(standing), Some(leading)) => {
                let (allowed, came) = leading.standing(self.ledger.now, standing);
                self.lead(|_, _| came);
                Ok(allowed)
            }
            (answer, _) => answer,
        };
        self.hear(answer, to_vote);
    }

    fn hear(&mut self, answer: Result<Standing, Ending>, to_vote: bool) {
        let none = Standing { build: Build(0), stage: 0, phase: Phase::Trial, cap: 0.0, since: Tenths(0) };
        let (s, ending) = match answer {
            Ok(standing) => (standing, Ending::Succeeded),
            Err(ending) => (none, ending),
        };
        let host = &mut self.ledger;
        self.balancer.on_stage(host, s.build, s.stage, s.since, s.phase, to_vote, s.cap, ending);
    }

    #[cfg(test)]
    pub fn pods(&self) -> usize {
        self.ledger.pods.len().max(self.ledger.addresses.len())
    }

    /// How many invocations are known, and how many dispatches are out.
    #[cfg(test)]
    pub fn sizes(&self) -> (usize, usize) {
        (self.ledger.invs.len(), self.ledger.dispatches.len())
    }
}
