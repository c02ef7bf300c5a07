//! Tests of the reducer alone: inputs go in, effects come out, without sockets or a clock.

use std::sync::Arc;

use hyper::http::uri::PathAndQuery;
use hyper::Method;
use rstest::rstest;
use stagepond::host::*;

use crate::leadership::LeadershipController;
use crate::lifecycle::State;
use crate::messages::*;
use crate::reducer::{OptionalParts, Reducer};
use crate::verification::ResponseVerifier;

const IDEMPOTENT: Op = Op(0);
const SIDE_EFFECTING: Op = Op(1);
pub(crate) const START_TIME: Tenths = Tenths::ms(1_000_000);
/// The clients' time limit.
const TIME_LIMIT: Tenths = Tenths::ms(2000);

pub(crate) fn test_facts() -> Facts {
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

/// Pod `number` listens on port 1000 + `number`.
pub(crate) fn pod_entry(number: u16, build: u16) -> PodEntry {
    PodEntry {
        name: PodName(format!("pod-{number}").into()),
        address: ([127, 0, 0, 1], 1000 + number).into(),
        zone: Zone(0),
        machine_kind: MachineKind(0),
        cell: Cell(0),
        availability: Availability::Up,
        weight: 1.0,
        started_at: None,
        build: Build(build),
    }
}

/// Discovery on `port`, the platform on the next one.
fn service_addresses(port: u16) -> ServiceAddresses {
    ServiceAddresses {
        discovery: ([127, 0, 0, 1], port).into(),
        platform: Some(([127, 0, 0, 1], port + 1).into()),
    }
}

pub(crate) fn pod_list(is_snapshot: bool, pods: Vec<PodEntry>) -> PodList {
    PodList { index: 1, is_snapshot, pods }
}

/// A reducer, its simulated time and every effect that it has returned.
pub(crate) struct ReducerHarness {
    pub(crate) reducer: Reducer,
    pub(crate) now: Tenths,
    invocations_sent: u64,
    all_effects: Vec<Effect>,
}

impl ReducerHarness {
    fn new(facts: Facts, pods: Vec<PodEntry>) -> ReducerHarness {
        ReducerHarness::with_leadership(facts, pods, None)
    }

    pub(crate) fn with_leadership(
        facts: Facts, pods: Vec<PodEntry>, leadership: Option<LeadershipController>,
    ) -> ReducerHarness {
        ReducerHarness::with_parts(facts, pods, leadership, None)
    }

    pub(crate) fn with_parts(
        facts: Facts, pods: Vec<PodEntry>, leadership: Option<LeadershipController>,
        verification: Option<ResponseVerifier>,
    ) -> ReducerHarness {
        let now = START_TIME;
        let status =
            RolloutStatus { build: Build(1), stage: 3, phase: Phase::Released, cap: 1.0, age: Tenths(0) };
        let (reducer, all_effects) = Reducer::new(
            now,
            facts,
            7,
            service_addresses(8500),
            pod_list(true, pods),
            Some(status),
            OptionalParts { leadership, verification },
        );
        ReducerHarness { reducer, now, invocations_sent: 0, all_effects }
    }

    fn with_pods(pods: u16) -> ReducerHarness {
        ReducerHarness::new(test_facts(), (1..=pods).map(|n| pod_entry(n, 1)).collect())
    }

    pub(crate) fn apply(&mut self, input: Input) -> Vec<Effect> {
        let effects = self.reducer.apply(self.now, input);
        self.all_effects.extend(effects.clone());
        effects
    }

    /// Advances the time as the event loop does: with a tick whenever one is due.
    pub(crate) fn advance(&mut self, time: Tenths) -> Vec<Effect> {
        let until = self.now + time;
        let mut effects = Vec::new();
        for ticks in 0.. {
            assert!(ticks < 10_000, "time does not advance");
            if self.reducer.next_due() > until {
                break;
            }
            self.now = self.reducer.next_due().max(self.now);
            effects.extend(self.apply(Input::Tick));
        }
        self.now = until;
        effects
    }

    fn send_invocation(&mut self, op: Op) -> (InvocationNumber, Vec<Effect>) {
        self.send_invocation_until(op, self.now + TIME_LIMIT)
    }

    fn send_invocation_until(&mut self, op: Op, deadline: Tenths) -> (InvocationNumber, Vec<Effect>) {
        self.invocations_sent += 1;
        let request = ForwardedRequest {
            method: Method::GET,
            target: PathAndQuery::from_static("/"),
            headers: Default::default(),
            body: Default::default(),
        };
        let number = InvocationNumber(self.invocations_sent);
        let request_id = RequestId(format!("{}", self.invocations_sent).into());
        let request = Arc::new(request);
        let input = Input::InvocationReceived { number, request_id, request, op, deadline };
        (number, self.apply(input))
    }

    pub(crate) fn end_dispatch(&mut self, id: DispatchId, ending: Ending) -> Vec<Effect> {
        let response = ForwardedResponse { body: "pod response".into(), ..ForwardedResponse::default() };
        let outcome =
            DispatchOutcome { ending, ended_at: self.now, in_flight: None, response, not_found: false };
        self.apply(Input::DispatchEnded(id, outcome))
    }
}

/// Dispatches among the effects, with the number of the pod.
fn dispatches(effects: &[Effect]) -> Vec<(DispatchId, u16)> {
    let dispatch = |effect: &Effect| match effect {
        Effect::Dispatch { id, to, .. } => Some((*id, to.port() - 1000)),
        _ => None,
    };
    effects.iter().filter_map(dispatch).collect()
}

fn answers(effects: &[Effect]) -> Vec<(InvocationNumber, &FinalAnswer)> {
    let answer = |effect| match effect {
        &Effect::Answer(number, ref answer) => Some((number, answer)),
        _ => None,
    };
    effects.iter().filter_map(answer).collect()
}

fn entered_states(effects: &[Effect]) -> Vec<State> {
    let state = |effect: &Effect| match effect {
        Effect::EnterState(state) => Some(*state),
        _ => None,
    };
    effects.iter().filter_map(state).collect()
}

#[rstest]
fn first_success_is_the_only_final_answer() {
    let mut harness = ReducerHarness::with_pods(2);
    let (number, effects) = harness.send_invocation(IDEMPOTENT);
    let (id, _) = dispatches(&effects)[0];
    let effects = harness.end_dispatch(id, Ending::Succeeded);
    let response = ForwardedResponse { body: "pod response".into(), ..ForwardedResponse::default() };
    assert_eq!(effects[0], Effect::Answer(number, FinalAnswer::Succeeded(response)));
    harness.end_dispatch(id, Ending::Succeeded);
    harness.apply(Input::ClientDisconnected(number));
    harness.advance(TIME_LIMIT + TIME_LIMIT);
    assert_eq!(answers(&harness.all_effects).len(), 1);
}

#[rstest]
#[case::no_connection(Ending::NoConnection, IDEMPOTENT, true)]
#[case::side_effecting_pod_full(Ending::Full, SIDE_EFFECTING, true)]
#[case::side_effecting_no_connection(Ending::NoConnection, SIDE_EFFECTING, true)]
#[case::reset(Ending::Reset, IDEMPOTENT, true)]
#[case::side_effecting_reset(Ending::Reset, SIDE_EFFECTING, false)]
#[case::side_effecting_error(Ending::Error, SIDE_EFFECTING, false)]
fn side_effecting_invocation_is_retried_only_if_it_provably_did_not_run(
    #[case] ending: Ending, #[case] op: Op, #[case] retried: bool,
) {
    let mut harness = ReducerHarness::with_pods(3);
    let (number, effects) = harness.send_invocation(op);
    let (id, pod) = dispatches(&effects)[0];
    let effects = harness.end_dispatch(id, ending);
    let retries = dispatches(&effects);
    assert_eq!(retries.len(), usize::from(retried));
    assert!(retries.iter().all(|(_, other)| *other != pod));
    // An invocation that may have run must not be answered as throttled.
    let terminated = answers(&effects).contains(&(number, &FinalAnswer::Terminated));
    assert_eq!(terminated, !retried);
}

#[rstest]
fn timed_out_dispatch_is_aborted_before_its_invocation_is_answered() {
    let mut harness = ReducerHarness::with_pods(2);
    let (number, effects) = harness.send_invocation(SIDE_EFFECTING);
    let (id, _) = dispatches(&effects)[0];
    assert!(matches!(effects[0], Effect::Dispatch { timeout: TIME_LIMIT, .. }));
    let effects = harness.advance(TIME_LIMIT);
    let aborted = effects.iter().position(|e| *e == Effect::AbortDispatch(id)).expect("dispatch aborted");
    let answered = effects.iter().position(|e| *e == Effect::Answer(number, FinalAnswer::Terminated));
    assert!(aborted < answered.expect("answered at the time limit"));
    assert!(answers(&harness.end_dispatch(id, Ending::Succeeded)).is_empty());
}

#[rstest]
fn response_received_in_time_counts_even_if_processed_after_the_time_limit() {
    let mut harness = ReducerHarness::with_pods(2);
    let (number, effects) = harness.send_invocation(IDEMPOTENT);
    harness.now = harness.now + TIME_LIMIT + Tenths(5);
    let effects = harness.end_dispatch(dispatches(&effects)[0].0, Ending::Succeeded);
    assert!(matches!(answers(&effects)[..], [(n, FinalAnswer::Succeeded(_))] if n == number));
    harness.advance(TIME_LIMIT);
    assert_eq!(answers(&harness.all_effects).len(), 1);
}

#[rstest]
fn disconnected_client_gets_no_answer_and_its_dispatch_is_tracked_to_the_end() {
    let mut harness = ReducerHarness::with_pods(1);
    let (number, effects) = harness.send_invocation(IDEMPOTENT);
    let (id, _) = dispatches(&effects)[0];
    harness.apply(Input::ClientDisconnected(number));
    harness.apply(Input::ClientDisconnected(number));
    assert_eq!(harness.reducer.pending_counts(), (1, 1));
    harness.end_dispatch(id, Ending::Succeeded);
    assert_eq!(harness.reducer.pending_counts(), (0, 0));
    assert!(answers(&harness.all_effects).is_empty());
}

/// Guards against an attempt that waits for its connection and begins after nobody waits for it any more.
#[rstest]
fn open_dispatches_are_withdrawn_once_their_client_has_left() {
    let mut harness = ReducerHarness::with_pods(1);
    let (number, effects) = harness.send_invocation(SIDE_EFFECTING);
    let (id, _) = dispatches(&effects)[0];
    let effects = harness.apply(Input::ClientDisconnected(number));
    assert!(effects.contains(&Effect::WithdrawDispatch(id)), "{effects:?}");
    assert!(dispatches(&harness.end_dispatch(id, Ending::Moot)).is_empty());
    assert_eq!(harness.reducer.pending_counts(), (0, 0));
}

/// Guards against a second copy that begins after the first one's answer.
#[rstest]
fn open_copies_are_withdrawn_once_the_invocation_is_answered() {
    let facts = Facts { parallel_dispatches: true, ..test_facts() };
    let mut harness = ReducerHarness::new(facts, vec![pod_entry(1, 1)]);
    let sent: Vec<_> = (0..12).map(|_| harness.send_invocation(IDEMPOTENT)).collect();
    harness.apply(Input::PodListReceived(pod_list(false, vec![pod_entry(2, 1)])));
    let copies = dispatches(&harness.advance(Tenths::ms(1200)));
    let effects = harness.end_dispatch(dispatches(&sent[0].1)[0].0, Ending::Succeeded);
    let withdrawn = |effect: &Effect| matches!(effect, Effect::WithdrawDispatch(id) if copies.iter().any(|(copy, _)| copy == id));
    assert!(effects.iter().any(withdrawn), "{effects:?}");
}

/// Guards against further attempts for a client that can't be seen, and against a request without an answer.
#[rstest]
#[case::turned_away(Ending::Full)]
#[case::reset(Ending::Reset)]
fn hidden_client_is_answered_once_and_nothing_more_is_sent(#[case] ending: Ending) {
    let mut harness = ReducerHarness::with_pods(3);
    let (number, effects) = harness.send_invocation(SIDE_EFFECTING);
    harness.end_dispatch(dispatches(&effects)[0].0, ending);
    harness.apply(Input::ClientHidden(number));
    let open: Vec<_> = harness.reducer.open_dispatch_ids();
    for id in open {
        assert!(dispatches(&harness.end_dispatch(id, Ending::Moot)).is_empty());
    }
    assert!(dispatches(&harness.advance(TIME_LIMIT)).is_empty());
    assert!(matches!(answers(&harness.all_effects)[..], [(n, FinalAnswer::Terminated)] if n == number));
}

#[rstest]
fn stuck_dispatch_is_aborted_before_the_next_one_is_sent() {
    let mut harness = ReducerHarness::with_pods(1);
    let sent: Vec<_> = (0..12).map(|_| harness.send_invocation(IDEMPOTENT)).collect();
    let (first, id) = (sent[0].0, dispatches(&sent[0].1)[0].0);
    harness.apply(Input::PodListReceived(pod_list(false, vec![pod_entry(2, 1)])));
    let effects = harness.advance(Tenths::ms(1200));
    let aborted = effects.iter().position(|e| *e == Effect::AbortDispatch(id)).expect("dispatch aborted");
    let next = effects.iter().position(|e| matches!(e, Effect::Dispatch { to, .. } if to.port() == 1002));
    assert!(aborted < next.expect("dispatched to the other pod"));
    assert!(answers(&harness.end_dispatch(id, Ending::Reset)).iter().all(|(n, _)| *n != first));
}

/// The pod client has no descriptor left: nothing was sent, so another dispatch is safe.
#[rstest]
fn dispatch_that_cannot_be_sent_is_moot_and_reported_once() {
    let mut harness = ReducerHarness::with_pods(2);
    let (_, effects) = harness.send_invocation(SIDE_EFFECTING);
    let retries = harness.end_dispatch(dispatches(&effects)[0].0, Ending::Moot);
    assert_eq!(dispatches(&retries).len(), 1);
}

#[rstest]
fn parallel_dispatches_are_sent_where_the_settings_allow_them() {
    let facts = Facts { parallel_dispatches: true, ..test_facts() };
    let mut harness = ReducerHarness::new(facts, vec![pod_entry(1, 1)]);
    let sent: Vec<_> = (0..12).map(|_| harness.send_invocation(IDEMPOTENT)).collect();
    harness.apply(Input::PodListReceived(pod_list(false, vec![pod_entry(2, 1)])));
    let copies = dispatches(&harness.advance(Tenths::ms(1200)));
    assert!(!copies.is_empty() && copies.iter().all(|(_, pod)| *pod == 2));
    let (number, first) = (sent[0].0, dispatches(&sent[0].1)[0].0);
    let mut answered = 0;
    for id in copies.iter().map(|(id, _)| *id).chain([first]) {
        let effects = harness.end_dispatch(id, Ending::Succeeded);
        answered += answers(&effects).iter().filter(|(n, _)| *n == number).count();
    }
    assert_eq!(answered, 1);
}

#[rstest]
#[case::draining(Availability::Draining)]
#[case::gone(Availability::Gone)]
fn unavailable_pod_gets_no_new_dispatches(#[case] availability: Availability) {
    let mut harness = ReducerHarness::with_pods(2);
    let unavailable = PodEntry { availability, ..pod_entry(1, 1) };
    let effects = harness.apply(Input::PodListReceived(pod_list(false, vec![unavailable])));
    assert!(effects.contains(&Effect::CloseIdleConnections(pod_entry(1, 1).address)));
    let sent: Vec<_> = (0..50).flat_map(|_| dispatches(&harness.send_invocation(IDEMPOTENT).1)).collect();
    assert!(!sent.is_empty() && sent.iter().all(|(_, pod)| *pod == 2));
}

#[rstest]
fn pod_keeps_its_identity_when_its_address_changes() {
    let mut harness = ReducerHarness::with_pods(1);
    let moved = PodEntry { address: pod_entry(9, 1).address, ..pod_entry(1, 1) };
    let effects = harness.apply(Input::PodListReceived(pod_list(false, vec![moved])));
    assert!(effects.contains(&Effect::CloseIdleConnections(pod_entry(1, 1).address)));
    assert_eq!(dispatches(&harness.send_invocation(IDEMPOTENT).1)[0].1, 9);
}

#[rstest]
fn build_on_trial_gets_no_more_than_its_cap() {
    let mut harness = ReducerHarness::new(test_facts(), (1..=4).map(|n| pod_entry(n, 1)).collect());
    harness.apply(Input::PodListReceived(pod_list(false, vec![pod_entry(5, 2)])));
    harness.advance(Tenths::ms(60));
    let mut trial = 0;
    for _ in 0..200 {
        let (_, effects) = harness.send_invocation(IDEMPOTENT);
        for (id, pod) in dispatches(&effects) {
            trial += usize::from(pod == 5);
            harness.advance(Tenths(20));
            harness.end_dispatch(id, Ending::Succeeded);
        }
    }
    assert!((5..=21).contains(&trial), "{trial} of 200 with a cap of 0.1 and a burst of one");
}

#[rstest]
#[case::counted(None, 0)]
#[case::throttled(Some(Ending::Full), 1)]
#[case::timed_out(Some(Ending::TimedOut), 1)]
fn vote_that_was_not_counted_is_cast_again(#[case] fault: Option<Ending>, #[case] repeated: usize) {
    let mut harness = ReducerHarness::with_pods(2);
    let status = RolloutStatus { build: Build(2), stage: 0, phase: Phase::Trial, cap: 0.1, age: Tenths(0) };
    harness.apply(Input::PodListReceived(pod_list(false, vec![pod_entry(3, 2)])));
    harness.apply(Input::RolloutStatusReceived(status));
    let votes = |effects: &[Effect]| effects.iter().filter(|e| matches!(e, Effect::CastVote { .. })).count();
    let mut cast = 0;
    for _ in 0..400 {
        cast += votes(&harness.advance(Tenths::ms(50)));
        if cast > 0 {
            break;
        }
    }
    assert_eq!(cast, 1);
    harness.apply(Input::VoteAnswered(fault.map_or(Ok(status), Err)));
    assert_eq!(votes(&harness.advance(Tenths::ms(2900))), repeated);
}

/// Guards against review/10: a build with a cap of 0 got requests again after the late answer to a vote.
#[rstest]
fn late_answer_to_a_vote_does_not_take_back_the_news_since() {
    let mut harness = ReducerHarness::with_pods(1);
    let trial = RolloutStatus { build: Build(2), stage: 1, phase: Phase::Trial, cap: 1.0, age: Tenths(0) };
    harness.apply(Input::PodListReceived(pod_list(false, (3..9).map(|n| pod_entry(n, 2)).collect())));
    harness.apply(Input::RolloutStatusReceived(trial));
    harness.advance(Tenths::ms(5000));
    let goes_back = RolloutStatus { phase: Phase::GoingBack, cap: 0.0, ..trial };
    harness.apply(Input::RolloutStatusReceived(goes_back));
    harness.advance(Tenths::ms(700));
    harness.apply(Input::VoteAnswered(Ok(trial)));
    for _ in 0..50 {
        let (_, effects) = harness.send_invocation(IDEMPOTENT);
        let (id, pod) = dispatches(&effects)[0];
        assert_eq!(pod, 1, "the pods of the build that goes back get nothing");
        harness.end_dispatch(id, Ending::Succeeded);
    }
}

#[rstest]
fn dispute_about_an_unknown_pod_is_ignored() {
    let mut harness = ReducerHarness::with_pods(1);
    let pod = PodName("never-listed".into());
    let effects = harness.apply(Input::AnswerDisputed { pod, op: IDEMPOTENT, age: Tenths::ms(10) });
    assert!(effects.is_empty());
}

#[rstest]
#[case::fresh_list(true, true)]
#[case::old_list_only(true, false)]
#[case::no_pod_known(false, false)]
fn sidecar_is_ready_once_it_can_dispatch(#[case] pods_known: bool, #[case] fresh_list: bool) {
    let mut harness = ReducerHarness::with_pods(u16::from(pods_known));
    assert_eq!(entered_states(&harness.all_effects), [State::Starting]);
    if fresh_list {
        let effects = harness.apply(Input::PodListReceived(pod_list(false, vec![])));
        assert_eq!(entered_states(&effects), [State::Ready]);
    } else {
        let states = entered_states(&harness.advance(Tenths::ms(600)));
        assert_eq!(states, if pods_known { vec![State::Ready] } else { vec![] });
        let effects = harness.apply(Input::PodListReceived(pod_list(true, vec![pod_entry(1, 1)])));
        assert_eq!(entered_states(&effects), if pods_known { vec![] } else { vec![State::Ready] });
    }
}

#[rstest]
fn shutdown_waits_for_open_invocations_and_client_connections() {
    let mut harness = ReducerHarness::with_pods(1);
    let (number, effects) = harness.send_invocation(IDEMPOTENT);
    let (id, _) = dispatches(&effects)[0];
    harness.apply(Input::PodListReceived(pod_list(false, vec![])));
    assert_eq!(entered_states(&harness.apply(Input::ShutdownRequested)), [State::Leaving]);
    let effects = harness.advance(Tenths::ms(700));
    assert_eq!(effects.iter().filter(|e| **e == Effect::CloseListener).count(), 1);
    assert_eq!(entered_states(&harness.apply(Input::ListenerClosed)), [State::Draining]);
    assert!(entered_states(&harness.advance(Tenths::ms(700))).is_empty());
    let effects = harness.end_dispatch(id, Ending::Succeeded);
    assert!(matches!(answers(&effects)[..], [(n, _)] if n == number));
    assert!(entered_states(&effects).is_empty());
    assert_eq!(entered_states(&harness.apply(Input::AllClientsDisconnected)), [State::Stopped]);
}

/// The platform kills at the earliest 0.7 s and the longest time limit, counted as 3 s at most, after the signal.
#[rstest]
#[case::short_time_limit(Tenths::ms(600), Tenths::ms(1300))]
#[case::usual_time_limit(Tenths::ms(2000), Tenths::ms(2700))]
#[case::long_time_limit(Tenths::ms(60_000), Tenths::ms(3700))]
#[case::unknown_time_limit(Tenths(0), Tenths::ms(3700))]
fn shutdown_ends_before_the_kill_though_a_client_never_disconnects(
    #[case] longest_time_limit: Tenths, #[case] kill_after: Tenths,
) {
    let facts = Facts { longest_time_limit, ..test_facts() };
    let mut harness = ReducerHarness::new(facts, vec![pod_entry(1, 1)]);
    harness.apply(Input::PodListReceived(pod_list(false, vec![])));
    let kill_at = harness.now + kill_after;
    harness.apply(Input::ShutdownRequested);
    harness.advance(Tenths::ms(600));
    harness.apply(Input::ListenerClosed);
    assert_eq!(entered_states(&harness.advance(Tenths::ms(0))), []);
    let effects = harness.advance(kill_at - harness.now - Tenths::ms(100));
    assert_eq!(entered_states(&effects), [State::Closing, State::Stopped]);
}

/// Guards against a shutdown that waits for the listener: connections that keep coming while all places are
/// taken kept it open, and what was unanswered at the kill was lost.
#[rstest]
#[case::short_time_limit(Tenths::ms(300), Tenths::ms(1000))]
#[case::usual_time_limit(Tenths::ms(2000), Tenths::ms(2700))]
#[case::long_time_limit(Tenths::ms(60_000), Tenths::ms(3700))]
fn shutdown_ends_before_the_kill_though_the_listener_never_closes(
    #[case] longest_time_limit: Tenths, #[case] kill_after: Tenths,
) {
    let facts = Facts { longest_time_limit, ..test_facts() };
    let mut harness = ReducerHarness::new(facts, vec![pod_entry(1, 1)]);
    harness.apply(Input::PodListReceived(pod_list(false, vec![])));
    let (number, _) = harness.send_invocation_until(IDEMPOTENT, harness.now + Tenths::ms(60_000));
    let kill_at = harness.now + kill_after;
    harness.apply(Input::ShutdownRequested);
    let effects = harness.advance(kill_at - harness.now - Tenths::ms(200));
    assert!(matches!(answers(&effects)[..], [(n, FinalAnswer::Terminated)] if n == number));
    assert!(effects.contains(&Effect::RefuseUnfinishedRequests));
    assert_eq!(entered_states(&effects), [State::Closing]);
    assert_eq!(entered_states(&harness.advance(Tenths::ms(100))), [State::Stopped]);
}

/// An answer that is given is not written yet. The process may have been held up until shortly before the kill.
#[rstest]
fn exit_waits_for_an_answer_to_be_written_though_the_kill_is_near() {
    let facts = Facts { longest_time_limit: Tenths::ms(60_000), ..test_facts() };
    let mut harness = ReducerHarness::new(facts, vec![pod_entry(1, 1)]);
    harness.apply(Input::PodListReceived(pod_list(false, vec![])));
    let (number, _) = harness.send_invocation_until(IDEMPOTENT, harness.now + Tenths::ms(9000));
    harness.apply(Input::ShutdownRequested);
    harness.advance(Tenths::ms(600));
    harness.apply(Input::ListenerClosed);
    harness.now = harness.now + Tenths::ms(3000);
    let effects = harness.apply(Input::Tick);
    assert!(matches!(answers(&effects)[..], [(n, _)] if n == number));
    assert_eq!(entered_states(&effects), [State::Closing]);
    assert_eq!(entered_states(&harness.apply(Input::AllClientsDisconnected)), [State::Stopped]);
}

/// The kill does not wait for time limits above 3 s.
#[rstest]
fn invocation_that_is_open_shortly_before_the_kill_is_answered() {
    let facts = Facts { longest_time_limit: Tenths::ms(60_000), ..test_facts() };
    let mut harness = ReducerHarness::new(facts, vec![pod_entry(1, 1)]);
    harness.apply(Input::PodListReceived(pod_list(false, vec![])));
    let deadline = harness.now + Tenths::ms(60_000);
    let sent: Vec<_> = (0..3).map(|_| harness.send_invocation_until(IDEMPOTENT, deadline).0).collect();
    harness.apply(Input::ShutdownRequested);
    harness.advance(Tenths::ms(600));
    harness.apply(Input::ListenerClosed);
    let effects = harness.advance(Tenths::ms(2900));
    let answered: Vec<_> = answers(&effects).iter().map(|(number, _)| *number).collect();
    assert_eq!(answered, sent);
    assert!(answers(&effects).iter().all(|(_, answer)| **answer == FinalAnswer::Terminated));
    assert_eq!(entered_states(&harness.advance(Tenths::ms(150))), [State::Stopped]);
}

/// Clients send on every connection that stays open, and the kill may come before their time limits.
#[rstest]
fn invocation_that_comes_late_in_a_shutdown_is_answered_before_the_kill() {
    let facts = Facts { longest_time_limit: Tenths::ms(2000), ..test_facts() };
    let mut harness = ReducerHarness::new(facts, vec![pod_entry(1, 1)]);
    harness.apply(Input::PodListReceived(pod_list(false, vec![])));
    let kill_at = harness.now + Tenths::ms(2700);
    harness.apply(Input::ShutdownRequested);
    harness.advance(Tenths::ms(600));
    harness.apply(Input::ListenerClosed);
    harness.advance(Tenths::ms(1400));
    let (number, effects) = harness.send_invocation(IDEMPOTENT);
    assert_eq!(dispatches(&effects).len(), 1);
    let effects = harness.advance(kill_at - harness.now - Tenths::ms(200));
    assert!(matches!(answers(&effects)[..], [(n, _)] if n == number));
}

#[rstest]
fn connections_to_pods_that_a_snapshot_lacks_close_in_the_order_of_the_pods() {
    let mut harness = ReducerHarness::with_pods(20);
    let effects = harness.apply(Input::PodListReceived(pod_list(true, vec![pod_entry(1, 1)])));
    let closed: Vec<_> =
        effects.into_iter().filter(|e| matches!(e, Effect::CloseIdleConnections(_))).collect();
    let expected: Vec<_> = (2..=20).map(|n| Effect::CloseIdleConnections(pod_entry(n, 1).address)).collect();
    assert_eq!(closed, expected);
}

#[rstest]
fn equal_inputs_give_equal_effects() {
    let run = || {
        let mut harness = ReducerHarness::with_pods(5);
        for _ in 0..60 {
            let (_, effects) = harness.send_invocation(IDEMPOTENT);
            harness.advance(Tenths(30));
            for (id, _) in dispatches(&effects) {
                harness.end_dispatch(id, Ending::Succeeded);
            }
        }
        harness.all_effects
    };
    assert_eq!(run(), run());
}

/// The file may be read while it is being written; the old configuration stays in force until a read
/// succeeds.
#[rstest]
#[case::complete_at_once(0)]
#[case::incomplete_at_first(3)]
fn reload_changes_both_service_addresses_and_nothing_else(#[case] failed_reads: usize) {
    let mut harness = ReducerHarness::with_pods(2);
    assert!(harness.apply(Input::ReloadRequested).contains(&Effect::ReadConfig));
    for _ in 0..failed_reads {
        let effects = harness.apply(Input::ConfigRead(Err("seed: missing".into())));
        assert!(!effects.contains(&Effect::ReadConfig));
        assert!(harness.advance(Tenths::ms(250)).contains(&Effect::ReadConfig));
    }
    let addresses = service_addresses(9500);
    let config = ReloadableConfig { addresses, leadership: None };
    let effects = harness.apply(Input::ConfigRead(Ok(config.clone())));
    assert!(effects.contains(&Effect::SetDiscoveryAddress(addresses.discovery)));
    assert!(effects.contains(&Effect::SetPlatformAddress(addresses.platform)));
    assert!(!harness.advance(Tenths::ms(1000)).contains(&Effect::ReadConfig));
    // Reading the same configuration again changes nothing.
    let effects = harness.apply(Input::ConfigRead(Ok(config)));
    assert!(!effects
        .iter()
        .any(|e| matches!(e, Effect::SetDiscoveryAddress(_) | Effect::SetPlatformAddress(_))));
}

#[rstest]
fn reload_of_an_invalid_configuration_is_given_up() {
    let mut harness = ReducerHarness::with_pods(2);
    let mut reads = usize::from(harness.apply(Input::ReloadRequested).contains(&Effect::ReadConfig));
    for _ in 0..100 {
        harness.apply(Input::ConfigRead(Err("file is empty".into())));
        reads += usize::from(harness.advance(Tenths::ms(250)).contains(&Effect::ReadConfig));
    }
    assert!((2..50).contains(&reads), "{reads}");
}

/// A connection to one process must not be used for the next one at its address or under its name.
#[rstest]
#[case::another_build(pod_list(false, vec![pod_entry(1, 2)]), vec![1])]
#[case::another_process(
    pod_list(false, vec![PodEntry { started_at: Some(Tenths(7)), ..pod_entry(1, 1) }]),
    vec![1]
)]
#[case::missing_from_snapshot(pod_list(true, vec![pod_entry(2, 1)]), vec![1])]
#[case::unchanged(pod_list(true, vec![pod_entry(1, 1), pod_entry(2, 1)]), vec![])]
fn idle_connections_are_closed_when_the_pod_process_changes(#[case] next: PodList, #[case] closed: Vec<u16>) {
    let mut harness = ReducerHarness::with_pods(2);
    let effects = harness.apply(Input::PodListReceived(next));
    let close = |effect: &Effect| match effect {
        Effect::CloseIdleConnections(at) => Some(at.port() - 1000),
        _ => None,
    };
    assert_eq!(effects.iter().filter_map(close).collect::<Vec<_>>(), closed);
}

#[rstest]
fn pods_that_are_gone_for_good_are_forgotten() {
    let mut harness = ReducerHarness::with_pods(1);
    for number in 0..400 {
        harness.apply(Input::PodListReceived(pod_list(true, vec![pod_entry(number, 1)])));
        harness.advance(Tenths::ms(2000));
    }
    let known = harness.reducer.known_pod_count();
    assert!(known < 40, "{known}");
}
