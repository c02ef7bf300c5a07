//! Tests of the ids that are kept of invocations that may have run.

use rstest::rstest;
use stagepond::host::Tenths;
use stagepond_sidecar::executed_ids::{ExecutedIds, EXECUTED_ID_RETENTION, MAX_EXECUTED_IDS};
use stagepond_sidecar::messages::RequestId;

fn id(number: usize) -> RequestId {
    RequestId(format!("id-{number}").into())
}

/// What is kept stays bounded under ever new ids.
#[rstest]
fn the_oldest_id_goes_when_there_are_too_many() {
    let mut ids = ExecutedIds::default();
    for number in 0..3 * MAX_EXECUTED_IDS {
        ids.insert(Tenths(0), &id(number));
        assert!(ids.len() <= MAX_EXECUTED_IDS);
    }
    let kept = |ids: &mut ExecutedIds, number| ids.contains(Tenths(0), &id(number));
    assert!(kept(&mut ids, 2 * MAX_EXECUTED_IDS) && kept(&mut ids, 3 * MAX_EXECUTED_IDS - 1));
    assert!(!kept(&mut ids, 2 * MAX_EXECUTED_IDS - 1));
}

#[rstest]
fn an_id_is_kept_for_its_time() {
    let mut ids = ExecutedIds::default();
    ids.insert(Tenths(7), &id(1));
    let expires_at = Tenths(7) + EXECUTED_ID_RETENTION;
    assert!(ids.contains(expires_at - Tenths(1), &id(1)));
    assert!(!ids.contains(expires_at, &id(1)) && ids.is_empty());
}
