//! The figures that leadership runs by, as typed values with their limits checked once. Every table, queue
//! and span elsewhere follows from these. It must never guess at a value that would be unsafe.

use crate::ids::{Seat, Tenths};

/// Times of the election and its lease.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Instances of the tier, each at a seat below this.
    pub seats: u16,
    /// Seats from which voters are drawn, lowest first; a founding needs a word from each.
    pub pool: Vec<Seat>,
    /// Seats of the pool that the operators declare gone for good: a founding does without them.
    pub absent: Vec<Seat>,
    /// How many of the pool vote: 1, 3, 5 or 7.
    pub voters: usize,
    /// For how long a voter that heard from a leader helps no other, on its own clock.
    pub hold: Tenths,
    /// How much faster or slower than true any instance's clock may run, as a share.
    pub drift: f64,
    /// What is taken off the end of a mandate for the time between its check and the write.
    pub margin: Tenths,
    /// For how long leave to act is given at a time: a hand-over waits for so long.
    pub act_within: Tenths,
    /// Longest usual way there and back.
    pub round_trip: Tenths,
    /// One probe of another member in each.
    pub probe_every: Tenths,
    /// A voter that has been gone for this long is replaced.
    pub replace_after: Tenths,
    /// The lowest seat leads where it can, changed at most once in `steady`.
    pub prefer_low: bool,
    pub steady: Tenths,
    /// Whether what is to be kept goes to a disk and comes back as an input.
    pub durable: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {why}")]
pub struct Unfit {
    pub field: &'static str,
    pub why: String,
}

pub const VOTERS_MAX: usize = 7;
pub const POOL_MAX: usize = 15;

impl Bounds {
    /// Figures for a tier of this size on a local network.
    pub fn usual(seats: u16) -> Bounds {
        let voters = [7, 5, 3, 1].into_iter().find(|v| *v <= 3 && *v <= usize::from(seats)).unwrap_or(1);
        Bounds {
            seats,
            pool: (0..seats.min(5)).map(Seat).collect(),
            absent: Vec::new(),
            voters,
            hold: Tenths::ms(1500),
            drift: 0.01,
            margin: Tenths::ms(100),
            act_within: Tenths::ms(500),
            round_trip: Tenths::ms(100),
            probe_every: Tenths::ms(500),
            replace_after: Tenths::ms(5000),
            prefer_low: true,
            steady: Tenths::ms(15_000),
            durable: false,
        }
    }

    pub fn checked(self) -> Result<Bounds, Unfit> {
        let unfit = |field, why: String| Err(Unfit { field, why });
        if self.seats == 0 {
            return unfit("seats", "a tier has one instance at least".into());
        }
        if ![1, 3, 5, 7].contains(&self.voters) {
            return unfit("voters", format!("{} is not 1, 3, 5 or 7", self.voters));
        }
        if self.pool.len() > POOL_MAX || self.pool.len() < self.voters {
            let why = format!("{} seats for {} voters; at most {POOL_MAX}", self.pool.len(), self.voters);
            return unfit("pool", why);
        }
        if let Some(seat) = self.pool.iter().find(|s| s.0 >= self.seats) {
            return unfit("pool", format!("seat {} of {} instances", seat.0, self.seats));
        }
        if self.pool.windows(2).any(|two| two[0] >= two[1]) {
            return unfit("pool", "seats must rise".into());
        }
        if self.absent.iter().any(|seat| !self.pool.contains(seat)) {
            return unfit("absent", "names a seat that is not in the pool".into());
        }
        if self.absent.len() * 2 >= self.pool.len() {
            return unfit("absent", "names half of the pool or more".into());
        }
        if !(0.0..=0.2).contains(&self.drift) {
            return unfit("drift", format!("{} is not from 0 to 0.2", self.drift));
        }
        if self.round_trip.0 <= 0 {
            return unfit("round_trip_ms", "must be above 0".into());
        }
        if self.probe_every.0 < self.round_trip.0 * 2 {
            return unfit("probe_every_ms", "must be two round trips at least".into());
        }
        if self.act_within.0 < self.round_trip.0 {
            return unfit("act_within_ms", "must be a round trip at least".into());
        }
        if self.margin.0 < 0 || self.lease().0 < self.round_trip.0 * 4 {
            let why = format!(
                "{} ms leaves a mandate of {} ms: under four round trips",
                self.hold.0 / 10,
                self.lease().0 / 10
            );
            return unfit("hold_ms", why);
        }
        Ok(self)
    }

    /// For how long after it was sent an answered beat lets its sender lead, on the sender's clock. The voter
    /// counts `hold` from when the beat came, at worst on a clock that is fast by `drift`, the leader counts
    /// this from when it went out, at worst on one that is slow by as much.
    pub fn lease(&self) -> Tenths {
        self.hold.scale((1.0 - self.drift) / (1.0 + self.drift)) - self.margin - Tenths(1)
    }

    pub fn beat(&self) -> Tenths {
        Tenths((self.hold.0 / 6).max(self.round_trip.0.min(self.hold.0 / 3)))
    }

    /// With no input for longer than this the process may have stood still, or its clock have been stepped.
    pub fn gap(&self) -> Tenths {
        Tenths(self.hold.0 / 3)
    }
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;

    #[rstest]
    #[case::even(|b: &mut Bounds| b.voters = 2, "voters")]
    #[case::pool_too_small(|b: &mut Bounds| b.pool.truncate(2), "pool")]
    #[case::pool_outside(|b: &mut Bounds| b.pool[4] = Seat(9), "pool")]
    #[case::half_absent(|b: &mut Bounds| b.absent = b.pool[..3].to_vec(), "absent")]
    #[case::drift(|b: &mut Bounds| b.drift = 0.5, "drift")]
    #[case::no_lease(|b: &mut Bounds| b.hold = Tenths::ms(300), "hold_ms")]
    #[case::probes(|b: &mut Bounds| b.probe_every = Tenths::ms(100), "probe_every_ms")]
    fn a_bound_that_would_be_unsafe_is_named(#[case] spoil: fn(&mut Bounds), #[case] field: &str) {
        let mut bounds = Bounds::usual(5);
        assert!(bounds.clone().checked().is_ok());
        spoil(&mut bounds);
        assert_eq!(bounds.checked().unwrap_err().field, field);
    }

    /// True time of the slowest leader's lease never passes that of the fastest voter's hold.
    #[rstest]
    fn the_lease_ends_before_the_hold_at_the_worst_clocks() {
        for drift in [0.0, 0.001, 0.01, 0.1, 0.2] {
            let bounds = Bounds { drift, ..Bounds::usual(3) };
            let lease = (bounds.lease() + bounds.margin).0 as f64 / (1.0 - drift);
            assert!(lease <= bounds.hold.0 as f64 / (1.0 + drift), "{drift}");
        }
    }
}
