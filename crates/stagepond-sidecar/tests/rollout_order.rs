//! Tests of the order of the platform's news and its answers to votes.

use rstest::rstest;
use stagepond::host::*;
use stagepond_sidecar::messages::RolloutStatus;
use stagepond_sidecar::rollout_order::RolloutOrder;

const NEWS_AT: Tenths = Tenths::ms(1000);
const ANSWER_AT: Tenths = Tenths::ms(1700);

fn status(build: u16, stage: u32, phase: Phase, cap: f64) -> RolloutStatus {
    RolloutStatus { build: Build(build), stage, phase, cap, age: Tenths(0) }
}

/// Guards against review/10: the late answer to a vote took back the news that the build goes back.
#[rstest]
#[case::news_goes_back(status(42, 2, Phase::GoingBack, 0.0), status(42, 2, Phase::Trial, 0.68), true)]
#[case::news_of_a_later_stage(status(42, 2, Phase::Trial, 0.68), status(42, 1, Phase::Trial, 0.2), true)]
#[case::news_of_a_release(status(42, 3, Phase::Released, 1.0), status(42, 3, Phase::Trial, 1.0), true)]
#[case::news_of_a_later_build(status(43, 0, Phase::Trial, 0.1), status(42, 3, Phase::GoingBack, 0.0), true)]
#[case::answer_of_a_later_stage(status(42, 1, Phase::Trial, 0.2), status(42, 2, Phase::Trial, 0.68), false)]
#[case::answer_goes_back(status(42, 2, Phase::Trial, 0.68), status(42, 2, Phase::GoingBack, 0.0), false)]
#[case::answer_of_a_later_build(
    status(42, 3, Phase::Withdrawn, 0.0),
    status(43, 0, Phase::Trial, 0.1),
    false
)]
#[case::the_same(status(42, 1, Phase::Trial, 0.2), status(42, 1, Phase::Trial, 0.1), false)]
fn the_later_of_news_and_answer_holds(
    #[case] news: RolloutStatus, #[case] answer: RolloutStatus, #[case] news_hold: bool,
) {
    let mut order = RolloutOrder::default();
    assert_eq!(order.latest(ANSWER_AT, answer), answer, "without news");
    order.on_news(NEWS_AT, news);
    let expected = if news_hold { RolloutStatus { age: ANSWER_AT - NEWS_AT, ..news } } else { answer };
    assert_eq!(order.latest(ANSWER_AT, answer), expected);
}
