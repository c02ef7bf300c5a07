//! Tests of invocations whose id comes a second time. No sockets, and time is simulated.

use std::sync::Arc;

use hyper::http::uri::PathAndQuery;
use hyper::Method;
use rstest::rstest;
use stagepond::host::*;

use crate::executed_ids::EXECUTED_ID_RETENTION;
use crate::messages::*;
use crate::reducer_tests::{pod_entry, test_facts, ReducerHarness};

const TIME_LIMIT: Tenths = Tenths::ms(2000);
const IDEMPOTENT: Op = Op(0);
const SIDE_EFFECTING: Op = Op(1);
const DEDUPLICATED_BY_ALL: Op = Op(2);
const DEDUPLICATED_BY_ZONE: Op = Op(3);

fn harness() -> ReducerHarness {
    let mut facts = test_facts();
    for dedup_scope in [DedupScope::All, DedupScope::Zone] {
        let retry_safety = RetrySafety::Fingerprinted;
        let operation = Operation { retry_safety, dedup_scope, ..facts.operations[0].clone() };
        facts.operations.push(operation);
    }
    ReducerHarness::with_leadership(facts, (1..=3).map(|number| pod_entry(number, 1)).collect(), None)
}

/// Sends an invocation under the id that all invocations here have.
fn send(harness: &mut ReducerHarness, number: u64, op: Op) -> Vec<Effect> {
    let request = ForwardedRequest {
        method: Method::POST,
        target: PathAndQuery::from_static("/"),
        headers: Default::default(),
        body: Default::default(),
    };
    harness.apply(Input::InvocationReceived {
        number: InvocationNumber(number),
        request_id: RequestId("again".into()),
        request: Arc::new(request),
        op,
        deadline: harness.now + TIME_LIMIT,
    })
}

fn dispatched(effects: &[Effect]) -> Option<DispatchId> {
    effects.iter().find_map(|effect| match effect {
        Effect::Dispatch { id, .. } => Some(*id),
        _ => None,
    })
}

fn is_refused(effects: &[Effect]) -> bool {
    effects.iter().any(|effect| matches!(effect, Effect::Answer(_, FinalAnswer::MayHaveRun)))
}

/// Guards against an effect that happens twice: an id was free again once the dispatch under it had ended, so that
/// it ran a second time when it came again after its client had left.
#[rstest]
#[case::side_effecting(SIDE_EFFECTING, true)]
#[case::known_to_the_pods_of_a_zone(DEDUPLICATED_BY_ZONE, true)]
#[case::known_to_all_pods(DEDUPLICATED_BY_ALL, false)]
#[case::idempotent(IDEMPOTENT, false)]
fn an_id_that_ran_after_its_client_had_left_does_not_run_again(
    #[case] op: Op, #[case] refused: bool,
    #[values(Ending::Succeeded, Ending::Error, Ending::Reset, Ending::TimedOut)] ending: Ending,
) {
    let mut harness = harness();
    let first = dispatched(&send(&mut harness, 1, op)).unwrap();
    harness.apply(Input::ClientDisconnected(InvocationNumber(1)));
    harness.advance(Tenths::ms(400));
    harness.end_dispatch(first, ending);
    harness.advance(Tenths::ms(200));
    let effects = send(&mut harness, 2, op);
    assert_eq!((is_refused(&effects), dispatched(&effects).is_none()), (refused, refused));
    harness.advance(EXECUTED_ID_RETENTION);
    assert!(dispatched(&send(&mut harness, 3, op)).is_some());
}

/// The same holds after any final answer: the pod may have run what failed here.
#[rstest]
#[case::succeeded(Ending::Succeeded, true)]
#[case::failed(Ending::Error, true)]
#[case::not_executed(Ending::Full, false)]
fn an_id_that_was_answered_runs_again_only_if_no_pod_can_have_run_it(
    #[case] ending: Ending, #[case] refused: bool,
) {
    let mut harness = harness();
    let mut dispatch = dispatched(&send(&mut harness, 1, SIDE_EFFECTING));
    while let Some(id) = dispatch {
        dispatch = dispatched(&harness.end_dispatch(id, ending));
    }
    harness.advance(TIME_LIMIT);
    assert_eq!(is_refused(&send(&mut harness, 2, SIDE_EFFECTING)), refused);
}
