//! The figures that leadership runs by, as typed values with their limits checked once. Every table, queue
//! and span elsewhere follows from these. It must never guess at a value that would be unsafe.

use crate::ids::{Seat, Tenths};

/// Times of the election and its lease.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Instances of the tier, each at a seat below this.
    pub seats: u16,
    /// Seats from which voters are drawn, lowest first; a founding needs a word from each.
    pub pool: Vec<Seat>,
    /// Seats of the pool that the operators declare gone for good: a founding does without them.
    pub absent: Vec<Seat>,
    /// How many of the pool vote: 1, 3, 5 or 7.
    pub voter_count: usize,
    /// For how long a voter that heard from a leader helps no other, on its own clock.
    pub hold_time: Tenths,
    /// How much faster or slower than true any instance's clock may run, as a share.
    pub clock_drift: f64,
    /// What is taken off the end of a mandate for the time between its check and the write.
    pub lease_margin: Tenths,
    /// For how long leave to act is given at a time: a hand-over waits for so long.
    pub max_grant_time: Tenths,
    /// Longest usual way there and back.
    pub round_trip: Tenths,
    /// One probe of another member in each.
    pub probe_interval: Tenths,
    /// A voter that has been gone for this long is replaced.
    pub replace_after: Tenths,
    /// The lowest seat leads where it can, changed at most once in `steady`.
    pub prefer_lowest_seat: bool,
    pub min_transfer_interval: Tenths,
    /// Whether what is to be kept goes to a disk and comes back as an input.
    pub durable: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {reason}")]
pub struct InvalidSetting {
    pub field: &'static str,
    pub reason: String,
}

pub const MAX_VOTERS: usize = 7;
pub const MAX_POOL_SEATS: usize = 15;

impl Settings {
    /// Figures for a tier of this size on a local network.
    pub fn default_for(seats: u16) -> Settings {
        let voter_count = [7, 5, 3, 1].into_iter().find(|v| *v <= 3 && *v <= usize::from(seats)).unwrap_or(1);
        Settings {
            seats,
            pool: (0..seats.min(5)).map(Seat).collect(),
            absent: Vec::new(),
            voter_count,
            hold_time: Tenths::ms(1500),
            clock_drift: 0.01,
            lease_margin: Tenths::ms(100),
            max_grant_time: Tenths::ms(500),
            round_trip: Tenths::ms(100),
            probe_interval: Tenths::ms(500),
            replace_after: Tenths::ms(5000),
            prefer_lowest_seat: true,
            min_transfer_interval: Tenths::ms(15_000),
            durable: false,
        }
    }

    pub fn validate(self) -> Result<Settings, InvalidSetting> {
        let unfit = |field, reason: String| Err(InvalidSetting { field, reason });
        if self.seats == 0 {
            return unfit("seats", "a tier has one instance at least".into());
        }
        if ![1, 3, 5, 7].contains(&self.voter_count) {
            return unfit("voters", format!("{} is not 1, 3, 5 or 7", self.voter_count));
        }
        if self.pool.len() > MAX_POOL_SEATS || self.pool.len() < self.voter_count {
            let why = format!(
                "{} seats for {} voters; at most {MAX_POOL_SEATS}",
                self.pool.len(),
                self.voter_count
            );
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
        if !(0.0..=0.2).contains(&self.clock_drift) {
            return unfit("drift", format!("{} is not from 0 to 0.2", self.clock_drift));
        }
        if self.round_trip.0 <= 0 {
            return unfit("round_trip_ms", "must be above 0".into());
        }
        if self.probe_interval.0 < self.round_trip.0 * 2 {
            return unfit("probe_every_ms", "must be two round trips at least".into());
        }
        if self.max_grant_time.0 < self.round_trip.0 {
            return unfit("act_within_ms", "must be a round trip at least".into());
        }
        if self.lease_margin.0 < 0 || self.lease_time().0 < self.round_trip.0 * 4 {
            let why = format!(
                "{} ms leaves a mandate of {} ms: under four round trips",
                self.hold_time.0 / 10,
                self.lease_time().0 / 10
            );
            return unfit("hold_ms", why);
        }
        Ok(self)
    }

    /// For how long after it was sent an answered beat lets its sender lead, on the sender's clock. The voter
    /// counts `hold` from when the beat came, at worst on a clock that is fast by `drift`, the leader counts
    /// this from when it went out, at worst on one that is slow by as much.
    pub fn lease_time(&self) -> Tenths {
        self.hold_time.scale((1.0 - self.clock_drift) / (1.0 + self.clock_drift))
            - self.lease_margin
            - Tenths(1)
    }

    pub fn heartbeat_interval(&self) -> Tenths {
        Tenths((self.hold_time.0 / 6).max(self.round_trip.0.min(self.hold_time.0 / 3)))
    }

    /// With no input for longer than this the process may have stood still, or its clock have been stepped.
    pub fn max_input_gap(&self) -> Tenths {
        Tenths(self.hold_time.0 / 3)
    }
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;

    #[rstest]
    #[case::even(|b: &mut Settings| b.voter_count = 2, "voters")]
    #[case::pool_too_small(|b: &mut Settings| b.pool.truncate(2), "pool")]
    #[case::pool_outside(|b: &mut Settings| b.pool[4] = Seat(9), "pool")]
    #[case::half_absent(|b: &mut Settings| b.absent = b.pool[..3].to_vec(), "absent")]
    #[case::drift(|b: &mut Settings| b.clock_drift = 0.5, "drift")]
    #[case::no_lease(|b: &mut Settings| b.hold_time = Tenths::ms(300), "hold_ms")]
    #[case::probes(|b: &mut Settings| b.probe_interval = Tenths::ms(100), "probe_every_ms")]
    fn a_bound_that_would_be_unsafe_is_named(#[case] spoil: fn(&mut Settings), #[case] field: &str) {
        let mut settings = Settings::default_for(5);
        assert!(settings.clone().validate().is_ok());
        spoil(&mut settings);
        assert_eq!(settings.validate().unwrap_err().field, field);
    }

    /// True time of the slowest leader's lease never passes that of the fastest voter's hold.
    #[rstest]
    fn the_lease_ends_before_the_hold_at_the_worst_clocks() {
        for drift in [0.0, 0.001, 0.01, 0.1, 0.2] {
            let settings = Settings { clock_drift: drift, ..Settings::default_for(3) };
            let lease = (settings.lease_time() + settings.lease_margin).0 as f64 / (1.0 - drift);
            assert!(lease <= settings.hold_time.0 as f64 / (1.0 + drift), "{drift}");
        }
    }
}
