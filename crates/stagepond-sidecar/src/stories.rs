//! Short stories of the reducer: inputs in, effects out, no sockets. One for each rule, each outcome and
//! each failure met.

use std::sync::Arc;

use hyper::http::uri::PathAndQuery;
use hyper::Method;
use rstest::rstest;
use stagepond::host::*;

use crate::leading::Leading;
use crate::lifecycle::State;
use crate::messages::*;
use crate::reducer::{Reducer, Switched};
use crate::verifying::Verifying;

const IDEMPOTENT: Op = Op(0);
const SIDE_EFFECTING: Op = Op(1);
pub(crate) const BEGIN: Tenths = Tenths::ms(1_000_000);
const LIMIT: Tenths = Tenths::ms(2000);

pub(crate) fn facts() -> Facts {
    let operation = |retry_safety| Operation {
        retry_safety,
        dedup_scope: DedupScope::All,
        slo_time: Tenths::ms(600),
        dedup_window: Tenths::ms(5000),
        billed_value: 1.0,
    };
    Facts {
        sidecar_count: 1,
        machine_kinds: 1,
        operations: vec![operation(RetrySafety::Idempotent), operation(RetrySafety::SideEffecting)],
        max_dispatches: 3,
        cancel_allowed: true,
        initial_cap: 0.1,
        cap_burst: 1.0,
        votes_advance: true,
        min_stage_time: Tenths::ms(3000),
        vote_ttl: Tenths::ms(6000),
        vote_timeout: Tenths::ms(1200),
        cold_capacity_share: 0.3,
        warmup_time: Tenths::ms(4000),
        overload_multiple: 3.0,
        ..Facts::default()
    }
}

pub(crate) fn row(number: u16, build: u16) -> Row {
    Row {
        name: PodName(format!("pod-{number}").into()),
        address: ([127, 0, 0, 1], 1000 + number).into(),
        zone: Zone(0),
        kind: MachineKind(0),
        cell: Cell(0),
        availability: Availability::Up,
        weight: 1.0,
        born: None,
        build: Build(build),
    }
}

fn places(port: u16) -> Places {
    Places { discovery: ([127, 0, 0, 1], port).into(), platform: Some(([127, 0, 0, 1], port + 1).into()) }
}

pub(crate) fn list(whole: bool, rows: Vec<Row>) -> List {
    List { index: 1, whole, rows }
}

pub(crate) struct Story {
    pub(crate) reducer: Reducer,
    pub(crate) now: Tenths,
    tickets: u64,
    /// All effects so far.
    told: Vec<Effect>,
}

impl Story {
    fn begins(facts: Facts, rows: Vec<Row>) -> Story {
        Story::led(facts, rows, None)
    }

    pub(crate) fn led(facts: Facts, rows: Vec<Row>, leading: Option<Leading>) -> Story {
        Story::with(facts, rows, leading, None)
    }

    pub(crate) fn with(
        facts: Facts, rows: Vec<Row>, leading: Option<Leading>, verifying: Option<Verifying>,
    ) -> Story {
        let now = BEGIN;
        let standing =
            Standing { build: Build(1), stage: 3, phase: Phase::Released, cap: 1.0, since: Tenths(0) };
        let (reducer, told) = Reducer::new(
            now,
            facts,
            7,
            places(8500),
            list(true, rows),
            Some(standing),
            Switched { leading, verifying },
        );
        Story { reducer, now, tickets: 0, told }
    }

    fn with_pods(pods: u16) -> Story {
        Story::begins(facts(), (1..=pods).map(|n| row(n, 1)).collect())
    }

    pub(crate) fn input(&mut self, input: Input) -> Vec<Effect> {
        let effects = self.reducer.apply(self.now, input);
        self.told.extend(effects.clone());
        effects
    }

    /// Lets time pass as the shell does: a tick whenever one is due.
    pub(crate) fn pass(&mut self, time: Tenths) -> Vec<Effect> {
        let (until, mut effects) = (self.now + time, Vec::new());
        for ticks in 0.. {
            assert!(ticks < 10_000, "time stands still");
            if self.reducer.next_due() > until {
                break;
            }
            self.now = self.reducer.next_due().max(self.now);
            effects.extend(self.input(Input::Tick));
        }
        self.now = until;
        effects
    }

    fn arrives(&mut self, op: Op) -> (Ticket, Vec<Effect>) {
        self.tickets += 1;
        let call = Call {
            method: Method::GET,
            target: PathAndQuery::from_static("/"),
            headers: Default::default(),
            body: Default::default(),
        };
        let ticket = Ticket(self.tickets);
        let id = ClientId(format!("{}", self.tickets).into());
        let input = Input::Arrived { ticket, id, call: Arc::new(call), op, until: self.now + LIMIT };
        (ticket, self.input(input))
    }

    pub(crate) fn ends(&mut self, id: DispatchId, ending: Ending) -> Vec<Effect> {
        let reply = Reply { body: "as it came".into(), ..Reply::default() };
        self.input(Input::Ended(id, Outcome { ending, at: self.now, in_flight: None, reply, absent: false }))
    }
}

fn dispatches(effects: &[Effect]) -> Vec<(DispatchId, u16)> {
    let dispatch = |effect: &Effect| match effect {
        Effect::Dispatch { id, to, .. } => Some((*id, to.port() - 1000)),
        _ => None,
    };
    effects.iter().filter_map(dispatch).collect()
}

fn answers(effects: &[Effect]) -> Vec<(Ticket, &FinalAnswer)> {
    let answer = |effect| match effect {
        &Effect::Answer(ticket, ref answer) => Some((ticket, answer)),
        _ => None,
    };
    effects.iter().filter_map(answer).collect()
}

#[rstest]
fn the_first_success_is_the_final_answer_and_nothing_follows_it() {
    let mut story = Story::with_pods(2);
    let (ticket, effects) = story.arrives(IDEMPOTENT);
    let (id, _) = dispatches(&effects)[0];
    let effects = story.ends(id, Ending::Succeeded);
    let reply = Reply { body: "as it came".into(), ..Reply::default() };
    assert_eq!(effects[0], Effect::Answer(ticket, FinalAnswer::Succeeded(reply)));
    story.ends(id, Ending::Succeeded);
    story.input(Input::Left(ticket));
    story.pass(LIMIT + LIMIT);
    assert_eq!(answers(&story.told).len(), 1);
}

#[rstest]
#[case::no_connection(Ending::NoConnection, IDEMPOTENT, true)]
#[case::turned_away(Ending::Full, SIDE_EFFECTING, true)]
#[case::no_connection_for_an_effect(Ending::NoConnection, SIDE_EFFECTING, true)]
#[case::reset(Ending::Reset, IDEMPOTENT, true)]
#[case::reset_of_an_effect(Ending::Reset, SIDE_EFFECTING, false)]
#[case::error_of_an_effect(Ending::Error, SIDE_EFFECTING, false)]
fn an_effect_goes_out_again_only_if_it_provably_never_ran(
    #[case] ending: Ending, #[case] op: Op, #[case] again: bool,
) {
    let mut story = Story::with_pods(3);
    let (ticket, effects) = story.arrives(op);
    let (id, pod) = dispatches(&effects)[0];
    let effects = story.ends(id, ending);
    let next = dispatches(&effects);
    assert_eq!(next.len(), usize::from(again));
    assert!(next.iter().all(|(_, other)| *other != pod));
    // What may have run is never called harmless.
    let terminated = answers(&effects).contains(&(ticket, &FinalAnswer::Terminated));
    assert_eq!(terminated, !again);
}

#[rstest]
fn a_dispatch_that_times_out_is_given_up_before_its_invocation_ends() {
    let mut story = Story::with_pods(2);
    let (ticket, effects) = story.arrives(SIDE_EFFECTING);
    let (id, _) = dispatches(&effects)[0];
    assert!(matches!(effects[0], Effect::Dispatch { wait: LIMIT, .. }));
    let effects = story.pass(LIMIT);
    let given_up = effects.iter().position(|e| *e == Effect::GiveUp(id)).expect("given up");
    let ended = effects.iter().position(|e| *e == Effect::Answer(ticket, FinalAnswer::Terminated));
    assert!(given_up < ended.expect("answered at the time limit"));
    assert!(answers(&story.ends(id, Ending::Succeeded)).is_empty());
}

#[rstest]
fn what_came_in_time_counts_though_it_is_read_after_the_time_limit() {
    let mut story = Story::with_pods(2);
    let (ticket, effects) = story.arrives(IDEMPOTENT);
    story.now = story.now + LIMIT + Tenths(5);
    let effects = story.ends(dispatches(&effects)[0].0, Ending::Succeeded);
    assert!(matches!(answers(&effects)[..], [(t, FinalAnswer::Succeeded(_))] if t == ticket));
    story.pass(LIMIT);
    assert_eq!(answers(&story.told).len(), 1);
}

#[rstest]
fn a_client_that_left_gets_no_answer_and_its_dispatch_is_told_to_the_end() {
    let mut story = Story::with_pods(1);
    let (ticket, effects) = story.arrives(IDEMPOTENT);
    let (id, _) = dispatches(&effects)[0];
    story.input(Input::Left(ticket));
    story.input(Input::Left(ticket));
    assert_eq!(story.reducer.sizes(), (1, 1));
    story.ends(id, Ending::Succeeded);
    assert_eq!(story.reducer.sizes(), (0, 0));
    assert!(answers(&story.told).is_empty());
}

#[rstest]
fn a_stuck_dispatch_that_the_module_calls_off_is_cut_before_the_next_is_sent() {
    let mut story = Story::with_pods(1);
    let sent: Vec<_> = (0..12).map(|_| story.arrives(IDEMPOTENT)).collect();
    let (first, id) = (sent[0].0, dispatches(&sent[0].1)[0].0);
    story.input(Input::Listed(list(false, vec![row(2, 1)])));
    let effects = story.pass(Tenths::ms(1200));
    let cut = effects.iter().position(|e| *e == Effect::GiveUp(id)).expect("called off");
    let next = effects.iter().position(|e| matches!(e, Effect::Dispatch { to, .. } if to.port() == 1002));
    assert!(cut < next.expect("sent on to the other pod"));
    assert!(answers(&story.ends(id, Ending::Reset)).iter().all(|(t, _)| *t != first));
}

#[rstest]
fn a_dispatch_that_cannot_be_sent_is_moot_and_told_once() {
    let mut story = Story::with_pods(2);
    let (_, effects) = story.arrives(SIDE_EFFECTING);
    // The transport had no descriptor left: nothing was sent, so another may be.
    let again = story.ends(dispatches(&effects)[0].0, Ending::Moot);
    assert_eq!(dispatches(&again).len(), 1);
}

#[rstest]
fn second_copies_run_side_by_side_where_the_settings_allow_them() {
    let mut story = Story::begins(Facts { parallel_dispatches: true, ..facts() }, vec![row(1, 1)]);
    let sent: Vec<_> = (0..12).map(|_| story.arrives(IDEMPOTENT)).collect();
    story.input(Input::Listed(list(false, vec![row(2, 1)])));
    let copies = dispatches(&story.pass(Tenths::ms(1200)));
    assert!(!copies.is_empty() && copies.iter().all(|(_, pod)| *pod == 2));
    let (ticket, first) = (sent[0].0, dispatches(&sent[0].1)[0].0);
    let mut answered = 0;
    for id in copies.iter().map(|(id, _)| *id).chain([first]) {
        answered += answers(&story.ends(id, Ending::Succeeded)).iter().filter(|(t, _)| *t == ticket).count();
    }
    assert_eq!(answered, 1);
}

#[rstest]
#[case::draining(Availability::Draining)]
#[case::gone(Availability::Gone)]
fn nothing_new_goes_to_a_pod_once_the_list_says_so(#[case] availability: Availability) {
    let mut story = Story::with_pods(2);
    let leaving = Row { availability, ..row(1, 1) };
    let effects = story.input(Input::Listed(list(false, vec![leaving])));
    assert!(effects.contains(&Effect::DropIdle(row(1, 1).address)));
    let sent: Vec<_> = (0..50).flat_map(|_| dispatches(&story.arrives(IDEMPOTENT).1)).collect();
    assert!(!sent.is_empty() && sent.iter().all(|(_, pod)| *pod == 2));
}

#[rstest]
fn a_pod_is_known_by_its_name_wherever_it_moves() {
    let mut story = Story::with_pods(1);
    let moved = Row { address: row(9, 1).address, ..row(1, 1) };
    let effects = story.input(Input::Listed(list(false, vec![moved])));
    assert!(effects.contains(&Effect::DropIdle(row(1, 1).address)));
    assert_eq!(dispatches(&story.arrives(IDEMPOTENT).1)[0].1, 9);
}

#[rstest]
fn a_build_on_trial_gets_no_more_than_its_cap() {
    let mut story = Story::begins(facts(), (1..=4).map(|n| row(n, 1)).collect());
    story.input(Input::Listed(list(false, vec![row(5, 2)])));
    story.pass(Tenths::ms(60));
    let mut trial = 0;
    for _ in 0..200 {
        let (_, effects) = story.arrives(IDEMPOTENT);
        for (id, pod) in dispatches(&effects) {
            trial += usize::from(pod == 5);
            story.pass(Tenths(20));
            story.ends(id, Ending::Succeeded);
        }
    }
    assert!((5..=21).contains(&trial), "{trial} of 200 at a cap of 0.1 and one to spare");
}

#[rstest]
#[case::counted(None, 0)]
#[case::too_many(Some(Ending::Full), 1)]
#[case::silent(Some(Ending::TimedOut), 1)]
fn a_vote_that_did_not_count_is_cast_again(#[case] fault: Option<Ending>, #[case] again: usize) {
    let mut story = Story::with_pods(2);
    let standing = Standing { build: Build(2), stage: 0, phase: Phase::Trial, cap: 0.1, since: Tenths(0) };
    story.input(Input::Listed(list(false, vec![row(3, 2)])));
    story.input(Input::Standing(standing));
    let votes = |effects: &[Effect]| effects.iter().filter(|e| matches!(e, Effect::Vote { .. })).count();
    let mut cast = 0;
    for _ in 0..400 {
        cast += votes(&story.pass(Tenths::ms(50)));
        if cast > 0 {
            break;
        }
    }
    assert_eq!(cast, 1);
    story.input(Input::VoteAnswered(fault.map_or(Ok(standing), Err)));
    assert_eq!(votes(&story.pass(Tenths::ms(2900))), again);
}

#[rstest]
fn a_dispute_about_a_pod_that_was_never_listed_is_dropped() {
    let mut story = Story::with_pods(1);
    let pod = PodName("never-listed".into());
    let effects = story.input(Input::Disputed { pod, op: IDEMPOTENT, age: Tenths::ms(10) });
    assert!(effects.is_empty());
}

fn entered(effects: &[Effect]) -> Vec<State> {
    let state = |effect: &Effect| match effect {
        Effect::Enter(state) => Some(*state),
        _ => None,
    };
    effects.iter().filter_map(state).collect()
}

#[rstest]
#[case::fresh_list(true, true)]
#[case::old_list_only(true, false)]
#[case::no_pod_known(false, false)]
fn it_is_ready_once_it_can_place_an_invocation(#[case] known: bool, #[case] listed: bool) {
    let mut story = Story::with_pods(u16::from(known));
    assert_eq!(entered(&story.told), [State::Starting]);
    if listed {
        assert_eq!(entered(&story.input(Input::Listed(list(false, vec![])))), [State::Ready]);
    } else {
        let ready = entered(&story.pass(Tenths::ms(600)));
        assert_eq!(ready, if known { vec![State::Ready] } else { vec![] });
        let effects = story.input(Input::Listed(list(true, vec![row(1, 1)])));
        assert_eq!(entered(&effects), if known { vec![] } else { vec![State::Ready] });
    }
}

#[rstest]
fn a_planned_stop_waits_for_what_was_taken_and_for_the_clients_connections() {
    let mut story = Story::with_pods(1);
    let (ticket, effects) = story.arrives(IDEMPOTENT);
    let (id, _) = dispatches(&effects)[0];
    story.input(Input::Listed(list(false, vec![])));
    assert_eq!(entered(&story.input(Input::Leave)), [State::Leaving]);
    let effects = story.pass(Tenths::ms(700));
    assert_eq!(effects.iter().filter(|e| **e == Effect::CloseListener).count(), 1);
    assert_eq!(entered(&story.input(Input::ListenerClosed)), [State::Draining]);
    assert!(entered(&story.pass(Tenths::ms(700))).is_empty());
    let effects = story.ends(id, Ending::Succeeded);
    assert!(matches!(answers(&effects)[..], [(t, _)] if t == ticket));
    assert!(entered(&effects).is_empty());
    assert_eq!(entered(&story.input(Input::FrontEmpty)), [State::Stopped]);
}

#[rstest]
fn a_client_that_never_reads_its_answer_does_not_keep_the_program() {
    let mut story = Story::with_pods(1);
    story.input(Input::Listed(list(false, vec![])));
    story.input(Input::Leave);
    story.pass(Tenths::ms(700));
    story.input(Input::ListenerClosed);
    assert_eq!(entered(&story.pass(Tenths::ms(600))), [State::Stopped]);
}

#[rstest]
fn equal_inputs_give_equal_effects() {
    let told = || {
        let mut story = Story::with_pods(5);
        for _ in 0..60 {
            let (_, effects) = story.arrives(IDEMPOTENT);
            story.pass(Tenths(30));
            dispatches(&effects).into_iter().for_each(|(id, _)| drop(story.ends(id, Ending::Succeeded)));
        }
        story.told
    };
    assert_eq!(told(), told());
}

/// The file may be read while it is being written; what it said before stays in force until it is whole.
#[rstest]
#[case::whole_at_once(0)]
#[case::half_written_at_first(3)]
fn a_new_configuration_moves_both_streams_and_nothing_else(#[case] wrong: usize) {
    let mut story = Story::with_pods(2);
    assert!(story.input(Input::Hangup).contains(&Effect::Reread));
    for _ in 0..wrong {
        assert!(!story.input(Input::Reread(Err("seed: missing".into()))).contains(&Effect::Reread));
        assert!(story.pass(Tenths::ms(250)).contains(&Effect::Reread));
    }
    let moved = story.input(Input::Reread(Ok(Changes { places: places(9500), leadership: None })));
    let places = places(9500);
    assert!(moved.contains(&Effect::Discovery(places.discovery)));
    assert!(moved.contains(&Effect::Platform(places.platform)));
    assert!(!story.pass(Tenths::ms(1000)).contains(&Effect::Reread));
    // The same once more is no move.
    let same = story.input(Input::Reread(Ok(Changes { places, leadership: None })));
    assert!(!same.iter().any(|e| matches!(e, Effect::Discovery(_) | Effect::Platform(_))));
}

#[rstest]
fn a_configuration_that_stays_wrong_is_given_up_after_a_while() {
    let mut story = Story::with_pods(2);
    let mut read = usize::from(story.input(Input::Hangup).contains(&Effect::Reread));
    for _ in 0..100 {
        story.input(Input::Reread(Err("nothing there".into())));
        read += usize::from(story.pass(Tenths::ms(250)).contains(&Effect::Reread));
    }
    assert!((2..50).contains(&read), "{read}");
}

/// What is open to one process must not serve the next one at its address or under its name.
#[rstest]
#[case::another_build(list(false, vec![row(1, 2)]), vec![1])]
#[case::another_process(list(false, vec![Row { born: Some(Tenths(7)), ..row(1, 1) }]), vec![1])]
#[case::left_out_of_a_whole_list(list(true, vec![row(2, 1)]), vec![1])]
#[case::as_it_was(list(true, vec![row(1, 1), row(2, 1)]), vec![])]
fn idle_connections_go_with_the_process_that_they_led_to(#[case] next: List, #[case] dropped: Vec<u16>) {
    let mut story = Story::with_pods(2);
    let effects = story.input(Input::Listed(next));
    let drop = |effect: &Effect| match effect {
        Effect::DropIdle(at) => Some(at.port() - 1000),
        _ => None,
    };
    assert_eq!(effects.iter().filter_map(drop).collect::<Vec<_>>(), dropped);
}

#[rstest]
fn pods_that_are_gone_for_good_are_forgotten() {
    let mut story = Story::with_pods(1);
    for number in 0..400 {
        story.input(Input::Listed(list(true, vec![row(number, 1)])));
        story.pass(Tenths::ms(2000));
    }
    assert!(story.reducer.pods() < 40, "{}", story.reducer.pods());
}
