//! Decisions of the balancer on a fake host: routing, throttling, retries and votes.

mod fake;

use fake::*;
use rstest::rstest;
use stagepond::host::*;

/// Four pods of build 1 and two of build 2, all warm.
const TRIAL_PODS: [ListedPod; 6] =
    [(1, 1, 0), (2, 1, 0), (3, 1, 0), (4, 1, 0), (5, 2, 90_000), (6, 2, 90_000)];

/// A sidecar with build 2 in the first stage of its trial, with this cap and without answers from before.
fn sidecar_on_trial(facts: Facts, cap: f64) -> TestSidecar {
    let mut sidecar = sidecar_without_trial(facts);
    sidecar.receive_stage(2, 0, Phase::Trial, cap);
    sidecar.receive_pod_list(true, &TRIAL_PODS);
    sidecar
}

/// Whether the pod is one of build 2 in `TRIAL_PODS`.
fn is_trial_pod(pod: Option<u32>) -> bool {
    pod.is_some_and(|pod| pod > 4)
}

/// Lets the sidecar learn the answer times of build 1.
fn learn_baselines(sidecar: &mut TestSidecar) {
    for n in 0..400 {
        sidecar.invoke_and_end(40 + n % 40, Ending::Succeeded);
        sidecar.advance(10);
    }
}

#[rstest]
#[case::no_pod(&[])]
#[case::only_a_cold_pod(&[(1, 1, 100_000)])]
fn an_invocation_without_a_pod_is_throttled_once(#[case] pods: &[ListedPod]) {
    let mut sidecar = new_sidecar(test_facts());
    sidecar.receive_stage(1, 0, Phase::Released, 1.0);
    sidecar.receive_pod_list(true, pods);
    let invocations: Vec<String> = (0..30).map(|_| sidecar.invoke(SIDE_EFFECTING_OP)).collect();
    sidecar.advance(2000);
    let without_pod = invocations.iter().filter(|inv| sidecar.dispatched_pods(inv).is_empty());
    assert!(without_pod.clone().count() > 10);
    for inv in without_pod {
        assert_eq!(sidecar.refusals(inv), [Effect::Throttled(inv.clone())]);
    }
}

#[rstest]
fn an_invocation_without_an_outcome_is_answered_at_its_time_limit() {
    let mut sidecar = sidecar_without_trial(test_facts());
    let inv = sidecar.invoke(SIDE_EFFECTING_OP);
    sidecar.advance(1000);
    assert_eq!(sidecar.refusals(&inv), [Effect::Terminated(inv.clone())]);
    sidecar.end_dispatch(&inv, 0, 1000, Ending::TimedOut);
    sidecar.advance(1000);
    assert_eq!(sidecar.refusals(&inv).len(), 1);
}

#[rstest]
fn an_aborted_invocation_is_neither_retried_nor_answered() {
    let mut sidecar = sidecar_without_trial(test_facts());
    let inv = sidecar.invoke(IDEMPOTENT_OP);
    sidecar.balancer.on_abort(&mut sidecar.host, &InvId(inv.as_str().into()));
    sidecar.end_dispatch(&inv, 0, 20, Ending::Error);
    sidecar.balancer.on_abort(&mut sidecar.host, &InvId("r-unknown".into()));
    sidecar.advance(2000);
    assert_eq!((sidecar.dispatched_pods(&inv).len(), sidecar.refusals(&inv).len()), (1, 0));
}

#[rstest]
#[case::broken_connection(Ending::Reset, 1, true)]
#[case::error(Ending::Error, 1, true)]
#[case::refused_for_capacity(Ending::Full, 2, false)]
#[case::no_connection(Ending::NoConnection, 2, false)]
fn a_side_effecting_invocation_is_retried_only_if_proven_not_executed(
    #[case] ending: Ending, #[case] dispatches: usize, #[case] terminated: bool,
) {
    let mut sidecar = sidecar_without_trial(test_facts());
    let inv = sidecar.invoke(SIDE_EFFECTING_OP);
    sidecar.end_dispatch(&inv, 0, 20, ending);
    assert_eq!(sidecar.dispatched_pods(&inv).len(), dispatches);
    assert_eq!(sidecar.refusals(&inv).contains(&Effect::Terminated(inv.clone())), terminated);
    assert!(!sidecar.refusals(&inv).contains(&Effect::Throttled(inv)));
}

#[rstest]
fn a_fingerprinted_invocation_is_retried_only_within_its_zone() {
    for _ in 0..20 {
        let mut sidecar = sidecar_without_trial(test_facts());
        let inv = sidecar.invoke(FINGERPRINTED_OP);
        let first = sidecar.last_pod(&inv).unwrap();
        sidecar.drain_pod(3 - first, 1);
        sidecar.end_dispatch(&inv, 0, 20, Ending::Error);
        assert_eq!(sidecar.dispatched_pods(&inv), [first, first]);
        sidecar.drain_pod(first, 1);
        sidecar.end_dispatch(&inv, 1, 20, Ending::Error);
        assert_eq!(sidecar.dispatched_pods(&inv).len(), 2);
        sidecar.advance(1000);
        assert_eq!(sidecar.refusals(&inv), [Effect::Terminated(inv.clone())]);
    }
}

#[rstest]
fn a_fingerprinted_invocation_is_not_retried_after_its_dedup_window() {
    let mut facts = test_facts();
    facts.operations[FINGERPRINTED_OP].dedup_window = Tenths::ms(50);
    let mut sidecar = sidecar_without_trial(facts);
    let inv = sidecar.invoke(FINGERPRINTED_OP);
    sidecar.advance(60);
    sidecar.end_dispatch(&inv, 0, 60, Ending::Reset);
    assert_eq!(
        (sidecar.dispatched_pods(&inv).len(), sidecar.refusals(&inv)),
        (1, vec![Effect::Terminated(inv.clone())])
    );
}

#[rstest]
fn a_draining_pod_gets_no_dispatch_until_it_is_listed_as_available() {
    let mut sidecar = sidecar_without_trial(test_facts());
    for pod in [1, 2, 3] {
        sidecar.drain_pod(pod, 1);
    }
    for _ in 0..20 {
        assert_eq!(sidecar.invoke_and_end(20, Ending::Succeeded), Some(4));
    }
    sidecar.receive_pod_list(true, &[(1, 1, 0)]);
    assert_eq!(sidecar.invoke_and_end(20, Ending::Succeeded), Some(1));
}

#[rstest]
fn sidecars_with_little_traffic_do_not_all_dispatch_to_cold_pods_at_once() {
    let dispatching = (0..100).filter(|&seed| {
        let mut sidecar = new_sidecar_with_seed(test_facts(), seed);
        sidecar.receive_stage(1, 0, Phase::Released, 1.0);
        sidecar.receive_pod_list(true, &[(1, 1, 0), (2, 1, 0)]);
        for n in 0..60 {
            if n == 50 {
                let start_ms = sidecar.host.now.0 / 10;
                sidecar.receive_pod_list(true, &[(1, 1, start_ms), (2, 1, start_ms)]);
            }
            sidecar.invoke_and_end(20, Ending::Succeeded);
            sidecar.advance(1500);
        }
        !sidecar.dispatched_pods("r-51").is_empty()
    });
    assert!(dispatching.count() < 60);
}

#[rstest]
fn a_restarted_pod_is_cold_and_a_reused_id_is_another_pod() {
    let mut sidecar = sidecar_without_trial(test_facts());
    for _ in 0..200 {
        sidecar.invoke_and_end(20, Ending::Succeeded);
        sidecar.advance(20);
    }
    let dispatches_to_pod_1 = |sidecar: &mut TestSidecar| {
        let dispatched = (0..60).filter(|_| {
            sidecar.advance(5);
            sidecar.invoke_and_end(20, Ending::Succeeded) == Some(1)
        });
        dispatched.count()
    };
    let warm = dispatches_to_pod_1(&mut sidecar);
    sidecar.receive_pod_list(false, &[(1, 1, 103_990), (3, 1, 103_990), (4, 1, 103_990)]);
    let cold = dispatches_to_pod_1(&mut sidecar);
    assert!(cold * 3 < warm * 2, "{cold} dispatches while cold, {warm} while warm");
    sidecar.receive_stage(2, 0, Phase::Trial, 0.0);
    sidecar.receive_pod_list(false, &[(1, 2, 0)]);
    assert_eq!(dispatches_to_pod_1(&mut sidecar), 0);
}

#[rstest]
#[case(0.1)]
#[case(0.3)]
fn the_cap_holds_in_every_window_of_invocations(#[case] cap: f64) {
    let mut sidecar = sidecar_on_trial(test_facts(), cap);
    let to_trial: Vec<bool> = (0..1000)
        .map(|n| {
            sidecar.advance(if n % 100 < 50 { 1 } else { 40 });
            is_trial_pod(
                sidecar.invoke_and_end(20, if n % 7 == 0 { Ending::Error } else { Ending::Succeeded }),
            )
        })
        .collect();
    assert!(to_trial.iter().filter(|on_trial| **on_trial).count() > 30);
    for width in [1, 10, 100, 500] {
        for window in to_trial.windows(width) {
            let dispatches = window.iter().filter(|on_trial| **on_trial).count();
            assert!(dispatches as f64 <= 1.0 + cap * width as f64, "{dispatches} of {width}");
        }
    }
}

#[rstest]
#[case::lowered(Phase::Trial, 0.0)]
#[case::rolling_back(Phase::GoingBack, 0.0)]
fn a_cap_lowered_to_zero_takes_effect_at_once(#[case] phase: Phase, #[case] cap: f64) {
    let mut sidecar = sidecar_on_trial(test_facts(), 0.5);
    assert!((0..50).any(|_| is_trial_pod(sidecar.invoke_and_end(20, Ending::Succeeded))));
    sidecar.receive_stage(2, 1, phase, cap);
    assert!(!(0..200).any(|_| is_trial_pod(sidecar.invoke_and_end(20, Ending::Succeeded))));
}

#[rstest]
fn a_build_that_is_not_reported_yet_has_the_initial_cap() {
    let mut sidecar = sidecar_without_trial(test_facts());
    sidecar.receive_pod_list(true, &TRIAL_PODS);
    let dispatches = (0..200).filter(|_| is_trial_pod(sidecar.invoke_and_end(20, Ending::Succeeded))).count();
    assert!((1..=21).contains(&dispatches), "{dispatches}");
}

#[rstest]
fn early_stages_are_for_idempotent_operations_and_the_cap_applies_per_operation() {
    let mut sidecar =
        sidecar_on_trial(Facts { idempotent_only_stages: 1, cap_per_operation: true, ..test_facts() }, 0.5);
    for _ in 0..100 {
        let inv = sidecar.invoke(SIDE_EFFECTING_OP);
        assert!(!is_trial_pod(sidecar.last_pod(&inv)));
        sidecar.end_dispatch(&inv, 0, 20, Ending::Succeeded);
    }
    assert!(
        !is_trial_pod(sidecar.invoke_and_end(20, Ending::Succeeded)),
        "invocations of one operation must not raise the cap of another"
    );
}

#[rstest]
fn a_key_answered_by_the_new_build_stays_with_it_until_a_rollback() {
    let mut sidecar = sidecar_on_trial(Facts { sticky_keys: true, ..test_facts() }, 0.5);
    let invoke_and_end = |sidecar: &mut TestSidecar, key| {
        let inv = sidecar.invoke_with_key(IDEMPOTENT_OP, Some(key));
        let pod = sidecar.last_pod(&inv);
        if pod.is_some() {
            sidecar.end_dispatch(&inv, 0, 20, Ending::Succeeded);
        }
        pod
    };
    let mut answered_by_trial = vec![];
    for n in 0..2000 {
        sidecar.advance(5);
        let key = (n % 50u64).wrapping_mul(0x1357_9bdf_0246_8ace);
        let pod = invoke_and_end(&mut sidecar, key);
        if is_trial_pod(pod) {
            answered_by_trial.push(key);
        } else if pod.is_some() {
            assert!(!answered_by_trial.contains(&key), "key {key} went to the earlier build");
        }
    }
    sidecar.receive_stage(2, 0, Phase::GoingBack, 0.0);
    assert!(invoke_and_end(&mut sidecar, answered_by_trial[0]).is_some_and(|pod| pod <= 4));
}

#[rstest]
#[case::one_pod_with_fast_errors_that_looks_idle(1, 1, Ending::Error, 20)]
#[case::one_pod_that_is_slow_for_this_sidecar_only(1, 400, Ending::Succeeded, 20)]
#[case::all_near_pods_though_single_invocations_show_no_load(2, 400, Ending::Succeeded, 70)]
fn unhealthy_pods_get_few_dispatches(
    #[case] last_unhealthy_pod: u32, #[case] took_ms: i64, #[case] ending: Ending,
    #[case] max_dispatches: usize,
) {
    let mut sidecar = sidecar_without_trial(test_facts());
    let mut dispatches = 0;
    for n in 0..400 {
        let inv = sidecar.invoke(IDEMPOTENT_OP);
        let unhealthy = sidecar.last_pod(&inv).unwrap() <= last_unhealthy_pod;
        dispatches += usize::from(unhealthy && n >= 300);
        sidecar.advance(50);
        let (took_ms, ending) = if unhealthy { (took_ms, ending) } else { (50, Ending::Succeeded) };
        sidecar.end_dispatch(&inv, 0, took_ms, ending);
    }
    assert!(dispatches < max_dispatches, "{dispatches}");
}

#[rstest]
#[case::parallel_dispatches(true)]
#[case::cancelled_first(false)]
fn a_dispatch_stuck_at_a_silent_pod_is_replaced_at_another(#[case] parallel_dispatches: bool) {
    let mut sidecar = sidecar_without_trial(Facts { parallel_dispatches, ..test_facts() });
    learn_baselines(&mut sidecar);
    sidecar.receive_pod_list(true, &[(1, 1, 0), (2, 1, 0)]);
    let stuck: Vec<String> = (0..6).map(|_| sidecar.invoke(IDEMPOTENT_OP)).collect();
    sidecar.receive_pod_list(true, &[(1, 1, 0), (2, 1, 0), (3, 1, 0), (4, 1, 0)]);
    sidecar.advance(400);
    let cancelled = |sidecar: &TestSidecar, inv: &String| {
        sidecar.host.effects.contains(&Effect::Cancelled(inv.clone(), 0))
    };
    for inv in stuck.iter().filter(|inv| cancelled(&sidecar, inv)).cloned().collect::<Vec<_>>() {
        sidecar.end_dispatch(&inv, 0, 400, Ending::Cancelled);
    }
    assert!(stuck.iter().any(|inv| cancelled(&sidecar, inv)) != parallel_dispatches);
    assert!(stuck.iter().any(|inv| sidecar.dispatched_pods(inv).len() == 2));
}

#[rstest]
fn a_build_whose_dispatches_are_all_cancelled_is_found_slow() {
    let mut sidecar = sidecar_judging_trial(Facts { sidecar_count: 1, ..test_facts() });
    let votes = run_invocations(&mut sidecar, 1500, |pod, n| match pod {
        5.. => (400, Ending::Cancelled),
        _ => (40 + n % 40, Ending::Succeeded),
    });
    assert_eq!(votes.first(), Some(&(2, 0, Verdict::Back)));
}

#[rstest]
fn answers_made_late_by_a_stalled_sidecar_do_not_lower_the_limit() {
    let mut sidecar = sidecar_without_trial(test_facts());
    for _ in 0..60 {
        sidecar.advance(100);
        let invocations: Vec<String> = (0..10).map(|_| sidecar.invoke(IDEMPOTENT_OP)).collect();
        sidecar.host.now = sidecar.host.now + Tenths::ms(900);
        invocations.iter().for_each(|inv| sidecar.end_dispatch(inv, 0, 900, Ending::Succeeded));
    }
    let burst: Vec<String> = (0..30).map(|_| sidecar.invoke(IDEMPOTENT_OP)).collect();
    assert!(burst.iter().all(|inv| sidecar.refusals(inv).is_empty()));
}

#[rstest]
fn abandoned_dispatches_count_towards_the_limit_until_pods_can_have_finished_them() {
    let mut sidecar = sidecar_without_trial(test_facts());
    for _ in 0..100 {
        let inv = sidecar.invoke(SIDE_EFFECTING_OP);
        sidecar.end_dispatch(&inv, 0, 900, Ending::TimedOut);
    }
    let throttled = |sidecar: &mut TestSidecar| {
        sidecar.advance(100);
        let burst: Vec<String> = (0..30).map(|_| sidecar.invoke(SIDE_EFFECTING_OP)).collect();
        burst.iter().filter(|inv| !sidecar.refusals(inv).is_empty()).count()
    };
    assert_eq!(throttled(&mut sidecar), 30);
    sidecar.advance(9000);
    assert_eq!(throttled(&mut sidecar), 0);
}

/// Runs for `seconds`: in each, five invocations arrive at once and end `took_ms` later, as at one of
/// hundreds of sidecars. Their clients wait for `wait_ms`. Returns how many invocations got no dispatch.
fn run_seconds(sidecar: &mut TestSidecar, seconds: i64, wait_ms: i64, took_ms: i64, ending: Ending) -> usize {
    let mut without_dispatch = 0;
    for _ in 0..seconds {
        let invocations: Vec<String> =
            (0..5).map(|_| sidecar.invoke_with_wait(IDEMPOTENT_OP, wait_ms)).collect();
        sidecar.advance(took_ms);
        for inv in &invocations {
            without_dispatch += usize::from(sidecar.last_pod(inv).is_none());
            sidecar.end_dispatch(inv, 0, took_ms, ending);
        }
        sidecar.advance(1000 - took_ms);
    }
    without_dispatch
}

/// A sidecar with little traffic took seconds to gather eight answers, and then lowered its limit by 7% only,
/// so that for ten seconds it sent dispatches whose answers were late.
#[rstest]
fn a_sidecar_with_little_traffic_adjusts_its_limit_within_seconds() {
    let mut sidecar = sidecar_without_trial(test_facts());
    assert_eq!(run_seconds(&mut sidecar, 20, 1000, 50, Ending::Succeeded), 0);
    run_seconds(&mut sidecar, 8, 1000, 900, Ending::Succeeded);
    let throttled = run_seconds(&mut sidecar, 2, 1000, 900, Ending::Succeeded);
    assert!(throttled >= 6, "{throttled} of 10 throttled while all answers are late");
    run_seconds(&mut sidecar, 14, 1000, 50, Ending::Succeeded);
    assert!(run_seconds(&mut sidecar, 2, 1000, 50, Ending::Succeeded) <= 1);
}

/// During a surge of clients that wait for 150 ms, the few quick answers raised the limit for all other
/// invocations.
#[rstest]
fn quick_answers_to_clients_with_short_time_limits_do_not_raise_the_limit() {
    let mut sidecar = sidecar_without_trial(test_facts());
    run_seconds(&mut sidecar, 20, 1000, 50, Ending::Succeeded);
    for _ in 0..8 {
        run_seconds(&mut sidecar, 1, 1000, 900, Ending::Succeeded);
        run_seconds(&mut sidecar, 2, 150, 100, Ending::Succeeded);
    }
    assert!(run_seconds(&mut sidecar, 2, 1000, 900, Ending::Succeeded) >= 5);
}

/// Clients waited for 150 and 250 ms while an answer took 670 ms, so that three of four dispatches
/// were executed after their clients had left.
#[rstest]
fn clients_that_wait_for_less_than_answers_take_are_throttled_first() {
    let mut sidecar = sidecar_without_trial(test_facts());
    run_seconds(&mut sidecar, 20, 1000, 50, Ending::Succeeded);
    assert_eq!(run_seconds(&mut sidecar, 1, 150, 100, Ending::Succeeded), 0);
    run_seconds(&mut sidecar, 3, 1000, 400, Ending::Succeeded);
    let throttled = |sidecar: &mut TestSidecar, wait_ms| -> usize {
        (0..20)
            .map(|_| (sidecar.advance(500), run_seconds(sidecar, 1, wait_ms, 400, Ending::TimedOut)).1)
            .sum()
    };
    let throttled_short = throttled(&mut sidecar, 60);
    assert!(throttled_short > 30, "{throttled_short} of 100");
}

#[rstest]
#[case::short_time_limit(30, None)]
#[case::long_time_limit(400, Some(&(2, 0, Verdict::Back)))]
fn time_outs_of_clients_with_short_time_limits_are_no_evidence(
    #[case] waited_ms: i64, #[case] vote: Option<&Vote>,
) {
    let mut sidecar = sidecar_judging_trial(Facts { sidecar_count: 1, ..test_facts() });
    let votes = run_invocations(&mut sidecar, 400, |pod, n| match pod {
        5.. => (waited_ms, Ending::TimedOut),
        _ => (40 + n % 40, Ending::Succeeded),
    });
    assert_eq!(votes.first(), vote);
}

/// Any connection may break now and then; a pod that answers in between is neither avoided nor treated as
/// cold.
#[rstest]
fn a_single_broken_connection_makes_a_pod_neither_avoided_nor_cold() {
    let mut sidecar = sidecar_without_trial(test_facts());
    sidecar.receive_pod_list(true, &[(1, 1, 0)]);
    for n in 0..300 {
        let inv = sidecar.invoke(SIDE_EFFECTING_OP);
        assert_eq!(sidecar.dispatched_pods(&inv), [1], "{n}");
        sidecar.end_dispatch(&inv, 0, 20, if n % 4 == 0 { Ending::Reset } else { Ending::Succeeded });
        sidecar.advance(5);
    }
}

#[rstest]
fn the_limit_can_fall_below_one_invocation_at_a_time() {
    let mut sidecar = sidecar_without_trial(test_facts());
    let mut throttled = 0;
    for _ in 0..200 {
        let inv = sidecar.invoke(IDEMPOTENT_OP);
        sidecar.advance(490);
        throttled += sidecar.refusals(&inv).len();
        sidecar.end_dispatch(&inv, 0, 490, Ending::Succeeded);
    }
    assert!(throttled > 40, "{throttled}");
}

#[rstest]
fn a_sidecar_with_little_traffic_uses_few_pods() {
    let mut sidecar = sidecar_without_trial(test_facts());
    sidecar.receive_pod_list(true, &(10..60).map(|pod| (pod, 1, 0)).collect::<Vec<_>>());
    let mut used: Vec<u32> = (0..100)
        .filter_map(|_| {
            sidecar.advance(400);
            sidecar.invoke_and_end(20, Ending::Succeeded)
        })
        .collect();
    used.sort();
    used.dedup();
    assert!(used.len() < 20, "{used:?}");
}

/// Passes an invocation every 8 ms and ends each of its dispatches at once. `outcome` is given the pod and
/// the number of the round, and returns the time taken in milliseconds and the ending. Returns all votes.
fn run_invocations(
    sidecar: &mut TestSidecar, rounds: i64, mut outcome: impl FnMut(u32, i64) -> (i64, Ending),
) -> Vec<Vote> {
    for round in 0..rounds {
        sidecar.advance(8);
        let inv = sidecar.invoke(IDEMPOTENT_OP);
        let mut nth = 0;
        while let Some(&pod) = sidecar.dispatched_pods(&inv).get(nth) {
            let (took_ms, ending) = outcome(pod, round);
            sidecar.end_dispatch(&inv, nth, took_ms, ending);
            nth += 1;
        }
    }
    sidecar.votes()
}

/// As [`run_invocations`], but trial pods take `trial_time_percent` of the usual time, and every
/// `bad_every`th of their answers ends as `bad_ending`.
fn run_with_bad_trial_answers(
    sidecar: &mut TestSidecar, rounds: i64, trial_time_percent: i64, bad_every: usize, bad_ending: Ending,
) -> Vec<Vote> {
    let mut trial_answers = 0;
    run_invocations(sidecar, rounds, |pod, n| {
        let usual_ms = 40 + n % 40;
        trial_answers += usize::from(pod > 4);
        let ending = if pod > 4 && trial_answers % bad_every == 0 { bad_ending } else { Ending::Succeeded };
        (if pod > 4 { usual_ms * trial_time_percent / 100 } else { usual_ms }, ending)
    })
}

/// As [`sidecar_on_trial`] with a cap of 0.4, after learning the baselines of build 1.
fn sidecar_judging_trial(facts: Facts) -> TestSidecar {
    let mut sidecar = sidecar_without_trial(facts);
    learn_baselines(&mut sidecar);
    sidecar.receive_stage(2, 0, Phase::Trial, 0.4);
    sidecar.receive_pod_list(true, &TRIAL_PODS);
    sidecar
}

#[rstest]
#[case::good(100, usize::MAX, Verdict::On)]
#[case::slow(250, usize::MAX, Verdict::Back)]
#[case::errors(100, 4, Verdict::Back)]
fn a_single_sidecar_votes_on_its_own_evidence(
    #[case] trial_time_percent: i64, #[case] bad_every: usize, #[case] verdict: Verdict,
) {
    let mut sidecar = sidecar_judging_trial(Facts { sidecar_count: 1, ..test_facts() });
    let votes = run_with_bad_trial_answers(&mut sidecar, 1500, trial_time_percent, bad_every, Ending::Error);
    assert_eq!(votes.first(), Some(&(2, 0, verdict)));
}

#[rstest]
fn one_failing_pod_does_not_cause_a_rollback() {
    let mut sidecar = sidecar_judging_trial(Facts { sidecar_count: 1, ..test_facts() });
    let votes = run_invocations(&mut sidecar, 1500, |pod, n| match pod {
        5 => (20, Ending::Reset),
        _ => (40 + n % 40, Ending::Succeeded),
    });
    assert!(!votes.contains(&(2, 0, Verdict::Back)));
}

#[rstest]
#[case::many(8, Verdict::Back)]
#[case::two_at_the_start(2, Verdict::On)]
fn many_objections_cause_the_rollback_of_a_build_without_errors(
    #[case] objections: usize, #[case] verdict: Verdict,
) {
    let mut sidecar = sidecar_judging_trial(Facts { sidecar_count: 1, ..test_facts() });
    for round in 0..32 {
        run_with_bad_trial_answers(&mut sidecar, 60, 100, usize::MAX, Ending::Error);
        if round < objections {
            sidecar.balancer.on_objection(&mut sidecar.host, PodId(5), Op(IDEMPOTENT_OP), Tenths::ms(300));
        }
    }
    assert!(sidecar.votes().iter().all(|vote| *vote == (2, 0, verdict)) && !sidecar.votes().is_empty());
}

/// Messages that sidecar 2 sends to sidecar 0 on a trial in which each third answer is an error.
fn evidence_against_build() -> Vec<Vec<u8>> {
    let mut sidecar = sidecar_judging_trial(Facts { own_peer: Peer(2), ..test_facts() });
    run_with_bad_trial_answers(&mut sidecar, 700, 100, 3, Ending::Error);
    sidecar.peer_messages().into_iter().filter(|(to, _)| *to == 0).map(|(_, payload)| payload).collect()
}

#[rstest]
fn a_later_message_makes_up_for_lost_ones() {
    let payloads = evidence_against_build();
    let mut sidecar = sidecar_judging_trial(test_facts());
    sidecar.balancer.on_peer_message(&mut sidecar.host, Peer(2), payloads.last().unwrap());
    sidecar.advance(300);
    assert_eq!(sidecar.votes(), [(2, 0, Verdict::Back)]);
}

#[rstest]
fn messages_of_unknown_format_or_for_another_build_are_ignored() {
    let mut sidecar = sidecar_judging_trial(test_facts());
    let mut other_build = evidence_against_build().pop().unwrap();
    other_build[1] = 9;
    for payload in [&[][..], &[1], &[200; 40], &other_build] {
        sidecar.balancer.on_peer_message(&mut sidecar.host, Peer(2), payload);
        sidecar.balancer.on_peer_message(&mut sidecar.host, Peer(99), payload);
    }
    sidecar.advance(300);
    assert_eq!(sidecar.votes(), []);
}

#[rstest]
#[case::second(1)]
#[case::third(2)]
fn a_voter_votes_after_its_delay_if_those_before_it_are_down(#[case] rank: usize) {
    let mut sidecar = sidecar_judging_trial(Facts { own_peer: Peer(rank), ..test_facts() });
    let payload = evidence_against_build().pop().unwrap();
    sidecar.balancer.on_peer_message(&mut sidecar.host, Peer(2), &payload);
    sidecar.advance(1400 * rank as i64);
    assert_eq!(sidecar.votes(), []);
    sidecar.advance(400 * rank as i64);
    assert_eq!(sidecar.votes(), [(2, 0, Verdict::Back)]);
}

#[rstest]
fn evidence_of_one_round_is_summed_before_the_bounds_apply() {
    let mut sidecar = sidecar_judging_trial(Facts { sidecar_count: 200, ..test_facts() });
    let mut receive_evidence = |from: usize, session: u8, up_crossings: u8, down_crossings: u8| {
        let mut payload = [1, 2, 0, session, 0, 9, 0].to_vec();
        payload.extend([0, 0, 0, 0, up_crossings, 0, 0, 0, 0, 0, 0, 0, down_crossings, 0, 0, 0]);
        sidecar.balancer.on_peer_message(&mut sidecar.host, Peer(from), &payload);
    };
    (5..60).for_each(|from| receive_evidence(from, 7, 0, 40));
    (60..66).for_each(|from| receive_evidence(from, 7, 40, 0));
    sidecar.advance(300);
    assert!(!sidecar.votes().iter().any(|vote| vote.2 == Verdict::Back));
}

#[rstest]
fn only_the_first_three_sidecars_vote() {
    let mut sidecar = sidecar_judging_trial(Facts { own_peer: Peer(3), sidecar_count: 5, ..test_facts() });
    assert_eq!(run_with_bad_trial_answers(&mut sidecar, 1500, 100, 3, Ending::Error), []);
}

#[rstest]
fn a_restarted_voter_without_outcomes_does_not_vote_to_advance_at_once() {
    let mut sidecar = sidecar_on_trial(test_facts(), 0.1);
    sidecar.advance(4500);
    assert_eq!(sidecar.votes(), []);
}

#[rstest]
#[case::counted(Ending::Succeeded, 1)]
#[case::not_the_current_stage(Ending::Moot, 1)]
#[case::over_the_rate_limit(Ending::Full, 2)]
fn a_vote_is_repeated_soon_only_if_it_may_still_be_counted(#[case] answer: Ending, #[case] votes: usize) {
    let mut sidecar = sidecar_judging_trial(test_facts());
    let payload = evidence_against_build().pop().unwrap();
    sidecar.balancer.on_peer_message(&mut sidecar.host, Peer(2), &payload);
    sidecar.advance(300);
    sidecar.receive_vote_answer(2, 0, answer);
    sidecar.advance(2700);
    assert_eq!(sidecar.votes().len(), votes);
}

#[rstest]
fn a_failing_released_build_is_rolled_back_only_if_its_trial_was_observed() {
    for trial_observed in [true, false] {
        let mut sidecar = sidecar_judging_trial(Facts { sidecar_count: 1, ..test_facts() });
        if !trial_observed {
            sidecar = sidecar_without_trial(Facts { sidecar_count: 1, ..test_facts() });
        }
        sidecar.receive_stage(2, 3, Phase::Released, 1.0);
        sidecar.receive_pod_list(true, &[(5, 2, 90_000), (6, 2, 90_000), (7, 2, 90_000)]);
        let votes = run_with_bad_trial_answers(&mut sidecar, 600, 100, 2, Ending::Error);
        assert_eq!(votes.contains(&(2, 3, Verdict::Back)), trial_observed);
    }
}

#[rstest]
fn errors_at_few_pods_of_a_released_build_do_not_cause_a_rollback() {
    let mut sidecar = sidecar_judging_trial(Facts { sidecar_count: 1, ..test_facts() });
    sidecar.receive_stage(2, 3, Phase::Released, 1.0);
    sidecar.receive_pod_list(true, &[5, 6, 7, 8, 9, 10, 11, 12].map(|pod| (pod, 2, 90_000)));
    let votes = run_invocations(&mut sidecar, 600, |pod, n| {
        (40 + n % 40, if pod < 7 { Ending::Error } else { Ending::Succeeded })
    });
    assert!(votes.is_empty(), "{votes:?}");
}

#[rstest]
fn during_a_rollback_the_remaining_cap_is_used() {
    let mut sidecar = sidecar_judging_trial(test_facts());
    sidecar.receive_stage(2, 3, Phase::Released, 1.0);
    sidecar.receive_pod_list(true, &[(5, 2, 90_000), (6, 2, 90_000)]);
    sidecar.receive_stage(2, 3, Phase::GoingBack, 0.7);
    let dispatches = (0..100).filter(|_| is_trial_pod(sidecar.invoke_and_end(20, Ending::Succeeded))).count();
    assert!((60..=71).contains(&dispatches), "{dispatches}");
}

#[rstest]
fn errors_at_one_trial_pod_are_excused_while_an_earlier_pod_has_errors_too() {
    for failing_pods in [vec![1, 5], vec![5, 6]] {
        let mut sidecar = sidecar_judging_trial(Facts { sidecar_count: 1, ..test_facts() });
        let votes = run_invocations(&mut sidecar, 1500, |pod, n| {
            let failed = failing_pods.contains(&pod) && n % 2 == 0;
            (40 + n % 40, if failed { Ending::Error } else { Ending::Succeeded })
        });
        assert_eq!(votes.contains(&(2, 0, Verdict::Back)), failing_pods == [5, 6]);
    }
}

/// A sidecar with six invocations a second has answers from a few of many pods. Errors counted only if a
/// quarter of all pods had them, so a build that failed everywhere was excused by the pods that the sidecar
/// had never used.
#[rstest]
#[case::every_pod(1, 4, true)]
#[case::one_pod_in_eight(8, 2, false)]
fn errors_are_excused_by_the_share_of_pods_that_the_sidecar_has_used(
    #[case] failing_pod_every: u32, #[case] error_every: i64, #[case] rolled_back: bool,
) {
    let mut sidecar = sidecar_without_trial(Facts { sidecar_count: 1, ..test_facts() });
    let earlier: Vec<ListedPod> = (1..=150).map(|pod| (pod, 1, 0)).collect();
    sidecar.receive_pod_list(true, &earlier);
    for n in 0..200 {
        sidecar.invoke_and_end(40 + n * 7 % 40, Ending::Succeeded);
        sidecar.advance(150);
    }
    sidecar.receive_stage(2, 0, Phase::Trial, 1.0);
    let both: Vec<_> = earlier.iter().copied().chain((151..=300).map(|pod| (pod, 2, 90_000))).collect();
    sidecar.receive_pod_list(true, &both);
    let fails = |pod: u32, n: i64| pod > 150 && pod.is_multiple_of(failing_pod_every) && n % error_every == 0;
    for n in 0..200 {
        sidecar.advance(150);
        let inv = sidecar.invoke(IDEMPOTENT_OP);
        let mut nth = 0;
        while let Some(&pod) = sidecar.dispatched_pods(&inv).get(nth) {
            let ending = if fails(pod, n) { Ending::Error } else { Ending::Succeeded };
            sidecar.end_dispatch(&inv, nth, 40 + n * 7 % 40, ending);
            nth += 1;
        }
    }
    assert_eq!(
        sidecar.votes().iter().any(|vote| vote.2 == Verdict::Back),
        rolled_back,
        "{:?}",
        sidecar.votes()
    );
}

#[rstest]
fn an_invocation_that_fails_at_every_pod_is_no_evidence_and_is_dispatched_twice() {
    let mut sidecar = sidecar_judging_trial(Facts { sidecar_count: 1, ..test_facts() });
    let votes = run_invocations(&mut sidecar, 1500, |_, n| {
        (20, if n % 3 == 0 { Ending::Error } else { Ending::Succeeded })
    });
    assert!(!votes.is_empty() && votes.iter().all(|vote| vote.2 == Verdict::On));
    let inv = sidecar.invoke(IDEMPOTENT_OP);
    (0..3).for_each(|nth| sidecar.end_dispatch(&inv, nth, 20, Ending::Error));
    assert_eq!(
        (sidecar.dispatched_pods(&inv).len(), sidecar.refusals(&inv)),
        (2, vec![Effect::Throttled(inv.clone())])
    );
}

#[rstest]
fn a_build_that_slows_earlier_and_trial_pods_alike_is_rolled_back() {
    let mut sidecar = sidecar_judging_trial(Facts { sidecar_count: 1, ..test_facts() });
    let votes = run_invocations(&mut sidecar, 2000, |_, n| {
        ((40 + n % 40) * if n > 100 { 4 } else { 1 }, Ending::Succeeded)
    });
    assert!(votes.contains(&(2, 0, Verdict::Back)));
}

/// Votes that the first of `sidecar_count` sidecars casts in the second stage of build 2, which starts after
/// `seconds_before` without a trial and six seconds of the first stage. Each sidecar has `rate` invocations a
/// second. Build 1 has 150 pods. Build 2 has `trial_pods[0]` and, from one second into the second stage on,
/// `trial_pods[1]`. Answers take 10 ms plus an exponentially distributed time with a mean of 60 ms, which is
/// `slowdown` times as long from `slow_after` seconds into the second stage on.
fn votes_of_small_sidecars(
    sidecar_count: usize, rate: i64, seconds_before: i64, trial_pods: [u32; 2], slow_after: i64,
    slowdown: f64,
) -> Vec<Vote> {
    let mut rng = fastrand::Rng::with_seed(5);
    let facts = |index| Facts { sidecar_count, own_peer: Peer(index), initial_cap: 0.14, ..test_facts() };
    let mut sidecars: Vec<TestSidecar> =
        (0..sidecar_count).map(|index| new_sidecar_with_seed(facts(index), index as u64)).collect();
    let pods_with_trial = |trial_count: u32, new_start_ms: i64| -> Vec<ListedPod> {
        let trial_pod = |pod| (pod, 2, if pod < 151 + trial_pods[0] { 90_000 } else { new_start_ms });
        (1..=150).map(|pod| (pod, 1, 0)).chain((151..151 + trial_count).map(trial_pod)).collect()
    };
    let mut run = |sidecars: &mut [TestSidecar], seconds: i64, slowdown: f64| {
        for _ in 0..seconds * rate {
            for sidecar in sidecars.iter_mut() {
                sidecar.advance(1000 / rate);
                let took_ms = 10.0 - 60.0 * slowdown * (1.0 - rng.f64()).ln();
                sidecar.invoke_and_end(took_ms as i64, Ending::Succeeded);
            }
            for from in 1..sidecars.len() {
                let effects = std::mem::take(&mut sidecars[from].host.effects);
                for effect in effects {
                    if let Effect::SentToPeer(0, payload) = effect {
                        let voter = &mut sidecars[0];
                        voter.balancer.on_peer_message(&mut voter.host, Peer(from), &payload);
                    }
                }
            }
        }
    };
    sidecars.iter_mut().for_each(|sidecar| sidecar.receive_stage(1, 0, Phase::Released, 1.0));
    sidecars.iter_mut().for_each(|sidecar| sidecar.receive_pod_list(true, &pods_with_trial(0, 0)));
    run(&mut sidecars, seconds_before, 1.0);
    sidecars.iter_mut().for_each(|sidecar| sidecar.receive_stage(2, 0, Phase::Trial, 0.7));
    sidecars
        .iter_mut()
        .for_each(|sidecar| sidecar.receive_pod_list(true, &pods_with_trial(trial_pods[0], 0)));
    run(&mut sidecars, 6, 1.0);
    sidecars.iter_mut().for_each(|sidecar| sidecar.receive_stage(2, 1, Phase::Trial, 0.7));
    run(&mut sidecars, slow_after.min(1), 1.0);
    let new_start_ms = sidecars[0].host.now.0 / 10;
    sidecars
        .iter_mut()
        .for_each(|sidecar| sidecar.receive_pod_list(true, &pods_with_trial(trial_pods[1], new_start_ms)));
    run(&mut sidecars, slow_after - 1, 1.0);
    run(&mut sidecars, 14, slowdown);
    sidecars[0].votes().into_iter().filter(|vote| vote.1 == 1).collect()
}

/// The time before the trial lasted three seconds. Compared with a threshold that was not learnt yet, half of
/// all answers in it seemed slow, so that a fleet with two thirds of slow answers passed as usual.
#[rstest]
#[case::slower(2.5, Verdict::Back)]
#[case::unchanged(1.0, Verdict::On)]
fn answers_before_the_threshold_is_learnt_do_not_describe_the_time_before_the_trial(
    #[case] slowdown: f64, #[case] first: Verdict,
) {
    assert_eq!(votes_of_small_sidecars(60, 7, 3, [12, 60], 2, slowdown).first(), Some(&(2, 1, first)));
}

/// With seven answers a second, some seconds have no slow answer by chance. After each of these, a sidecar
/// took the slow period for a new one, which did not count against the build as the stage had started long
/// before. The evidence of all sidecars together became less and less.
#[rstest]
#[case::begins_with_the_stage([12, 60], 3, true)]
#[case::begins_with_a_larger_stage([60, 150], 3, true)]
#[case::begins_long_after_the_stage([12, 60], 11, false)]
fn the_begin_of_a_slow_period_is_determined_from_all_sidecars(
    #[case] trial_pods: [u32; 2], #[case] slow_after: i64, #[case] rolled_back: bool,
) {
    let votes = votes_of_small_sidecars(60, 7, 25, trial_pods, slow_after, 2.2);
    assert_eq!(votes.contains(&(2, 1, Verdict::Back)), rolled_back, "{votes:?}");
}

/// A dependency that all pods share became slow as the first pods of the last stage started, which were still
/// cold. The build had had a good part of the traffic before, without harm, yet it was rolled back.
#[rstest]
#[case::while_its_pods_are_cold(1, false)]
#[case::once_its_pods_work(4, true)]
fn a_slow_period_that_begins_with_the_first_pods_of_a_stage_is_not_attributed_to_them(
    #[case] slow_after: i64, #[case] rolled_back: bool,
) {
    let votes = votes_of_small_sidecars(40, 30, 5, [60, 150], slow_after, 14.0);
    assert_eq!(votes.contains(&(2, 1, Verdict::Back)), rolled_back, "{votes:?}");
}

/// A build that has no pod yet cannot have slowed the fleet, so its advance need not wait until the slow
/// period is over.
#[rstest]
fn a_slow_period_that_began_before_the_first_pod_does_not_delay_the_build() {
    let mut sidecar = sidecar_without_trial(Facts { sidecar_count: 1, ..test_facts() });
    learn_baselines(&mut sidecar);
    sidecar.receive_stage(2, 0, Phase::Trial, 0.4);
    let slow = |_: u32, n: i64| (150 + n % 40, Ending::Succeeded);
    run_invocations(&mut sidecar, 400, slow);
    sidecar.receive_pod_list(true, &TRIAL_PODS);
    assert_eq!(run_invocations(&mut sidecar, 1500, slow).first(), Some(&(2, 0, Verdict::On)));
}

#[rstest]
fn evidence_that_turns_against_the_build_holds_back_the_vote_to_advance() {
    let mut sidecar =
        sidecar_judging_trial(Facts { sidecar_count: 1, min_stage_time: Tenths::ms(9000), ..test_facts() });
    let votes = run_invocations(&mut sidecar, 1500, |pod, n| {
        (50, if pod > 4 && n > 900 && n % 9 == 0 { Ending::Error } else { Ending::Succeeded })
    });
    assert!(!votes.iter().any(|vote| vote.2 == Verdict::On), "{votes:?}");
}

#[rstest]
fn errors_that_begin_long_after_a_release_do_not_cause_a_rollback() {
    let mut sidecar = sidecar_judging_trial(Facts { sidecar_count: 1, ..test_facts() });
    sidecar.receive_stage(2, 3, Phase::Released, 1.0);
    sidecar.receive_pod_list(true, &[(5, 2, 90_000), (6, 2, 90_000), (7, 2, 90_000)]);
    let mut last_round = 0;
    let votes = run_invocations(&mut sidecar, 3000, |_, round| {
        let is_retry = std::mem::replace(&mut last_round, round) == round;
        (50, if round >= 2000 && round % 4 == 0 && !is_retry { Ending::Error } else { Ending::Succeeded })
    });
    assert_eq!(votes, []);
}

#[rstest]
fn a_sidecar_restarted_during_a_trial_detects_a_slow_fleet() {
    let mut sidecar = sidecar_on_trial(Facts { sidecar_count: 1, ..test_facts() }, 0.4);
    let votes =
        run_invocations(&mut sidecar, 2000, |_, n| (if n % 8 == 0 { 40 } else { 900 }, Ending::Succeeded));
    assert!(votes.contains(&(2, 0, Verdict::Back)));
}
