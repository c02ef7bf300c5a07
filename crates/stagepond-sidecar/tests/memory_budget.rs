//! Tests of the plan that divides the memory limit, and of the budget for requests and responses.

use futures_util::FutureExt;
use rstest::rstest;
use stagepond_sidecar::memory::{MemoryBudget, MemoryPlan, MemoryUse, Reservation};
use stagepond_sidecar::messages::MAX_BODY_BYTES;

const MIB: usize = 1 << 20;
/// What one exchange holds beside its bodies at least, by a profile of the heap: buffers, tasks and fields.
const MIN_EXCHANGE_BYTES: usize = 60 << 10;

fn reserve_now(budget: &MemoryBudget, bytes: usize, memory_use: MemoryUse) -> Option<Reservation> {
    budget.reserve(bytes, memory_use).now_or_never()
}

/// Guards against a plan that promises more than the limit has.
#[rstest]
fn the_parts_of_the_plan_are_within_the_limit(
    #[values(32, 40, 56, 192, 2048)] limit_mb: usize, #[values(18, 129, 575, 9000)] sockets: usize,
) {
    let plan = MemoryPlan::new(limit_mb * MIB, sockets, sockets);
    let connections = plan.max_clients.min(plan.max_pod_connections);
    let planned = connections * MIN_EXCHANGE_BYTES + plan.body_bytes;
    assert!(planned <= limit_mb * MIB * 7 / 8, "{planned} bytes planned");
    assert!(plan.max_clients >= sockets.min(163), "{plan:?}");
    assert!(plan.body_bytes >= 8 * MAX_BODY_BYTES, "{plan:?}");
}

/// Guards against requests that hold all memory and wait for answers, for which none is left.
#[rstest]
fn requests_leave_room_for_responses() {
    let budget = MemoryBudget::new(8 * MAX_BODY_BYTES);
    let requests: Vec<_> =
        std::iter::from_fn(|| reserve_now(&budget, MAX_BODY_BYTES, MemoryUse::Request)).collect();
    assert!(requests.len() >= 4, "{} requests", requests.len());
    assert!(reserve_now(&budget, MAX_BODY_BYTES, MemoryUse::Response).is_some());
}

/// Guards against bytes that are free again while a clone of the body is still in use.
#[rstest]
fn bytes_are_free_again_once_the_last_clone_is_dropped() {
    let budget = MemoryBudget::new(4 * MAX_BODY_BYTES);
    let reservation = reserve_now(&budget, 3 * MAX_BODY_BYTES, MemoryUse::Request).unwrap();
    let body = reservation.hold(vec![1; 10], 3 * MAX_BODY_BYTES);
    let clone = body.clone();
    drop(body);
    assert_eq!(clone.as_ref(), [1; 10]);
    assert!(reserve_now(&budget, MAX_BODY_BYTES, MemoryUse::Request).is_none());
    drop(clone);
    assert!(reserve_now(&budget, 3 * MAX_BODY_BYTES, MemoryUse::Request).is_some());
}

/// Guards against a body that is shorter than reserved and keeps the rest.
#[rstest]
fn what_a_body_does_not_need_is_free_again() {
    let budget = MemoryBudget::new(4 * MAX_BODY_BYTES);
    let reservation = reserve_now(&budget, 3 * MAX_BODY_BYTES, MemoryUse::Request).unwrap();
    assert!(reserve_now(&budget, MAX_BODY_BYTES, MemoryUse::Request).is_none());
    let _body = reservation.hold(vec![1; 10], 10);
    assert!(reserve_now(&budget, 3 * MAX_BODY_BYTES, MemoryUse::Request).is_some());
}

/// Guards against an order in which late requests overtake early ones.
#[rstest]
#[tokio::test]
async fn requests_get_memory_in_the_order_in_which_they_asked() {
    let budget = MemoryBudget::new(4 * MAX_BODY_BYTES);
    let first = reserve_now(&budget, 3 * MAX_BODY_BYTES, MemoryUse::Request).unwrap();
    let mut second = Box::pin(budget.reserve(3 * MAX_BODY_BYTES, MemoryUse::Request));
    assert!((&mut second).now_or_never().is_none());
    // There is room for it now, but not once the second has got what it asked for.
    let mut third = Box::pin(budget.reserve(MAX_BODY_BYTES, MemoryUse::Request));
    assert!((&mut third).now_or_never().is_none());
    drop(first);
    assert!((&mut third).now_or_never().is_none());
    let second = second.now_or_never();
    assert!(second.is_some());
    drop(second);
    assert!(third.now_or_never().is_some());
}

/// Guards against long lists of pods that count nowhere.
#[rstest]
#[tokio::test]
async fn a_long_list_of_pods_takes_its_room_once_and_leaves_some() {
    let budget = MemoryBudget::new(8 * MIB);
    let free = |budget: &MemoryBudget| {
        let taken = std::iter::from_fn(|| reserve_now(budget, MAX_BODY_BYTES, MemoryUse::Request));
        taken.collect::<Vec<_>>().len()
    };
    let at_first = free(&budget);
    let mut left = Vec::new();
    for pods in [100, 1024, 1024, 3200, 100, 1_000_000] {
        budget.make_room_for_pods(pods);
        tokio::task::yield_now().await;
        left.push(free(&budget));
    }
    assert_eq!((left[0], left[1]), (at_first, left[2]));
    assert!(left[1] < at_first && left[3] < left[1] && left[4] == left[3] && left[5] >= 8, "{left:?}");
}
