//! Conversions to [`Tenths`] of numbers from outside, which may have any value.

use rstest::rstest;
use stagepond::host::Tenths;

/// Longest time limit that the sidecar accepts, in milliseconds.
const MAX_TIME_LIMIT_MS: i64 = 600_000;

#[rstest]
fn milliseconds_of_any_size_keep_their_order() {
    let mut rng = fastrand::Rng::with_seed(1);
    let edges =
        [0, 1, MAX_TIME_LIMIT_MS, i64::MAX / 10, i64::MAX / 10 + 1, i64::MAX, 1_844_674_407_370_955_162];
    let drawn = (0..100_000).map(|_| (rng.u64(..) >> rng.u32(1..64)) as i64);
    for ms in edges.into_iter().chain(drawn) {
        let time = Tenths::ms(ms);
        assert_eq!(time <= Tenths::ms(MAX_TIME_LIMIT_MS), ms <= MAX_TIME_LIMIT_MS, "{ms}");
        assert!(time + Tenths::ms(MAX_TIME_LIMIT_MS) >= time, "{ms}");
        assert!(Tenths(0) - time <= Tenths(0), "{ms}");
    }
}
