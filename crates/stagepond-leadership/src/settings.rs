//! The settings of leadership, checked once at the start.
//!
//! Other modules rely on checked settings. A value that would be unsafe is rejected, never adjusted.

use crate::ids::{Seat, Tenths};

/// The settings of an instance. All but `seats` and `durable` have a key of their own in the operators' file.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of instances of the group. Their seats are 0 to `seats` - 1.
    pub seats: u16,
    /// Seats from which voters are chosen, in ascending order. A bootstrap needs the promise of each.
    pub pool: Vec<Seat>,
    /// Seats of the pool that the operators declare gone for good. A bootstrap does not wait for them.
    pub absent: Vec<Seat>,
    /// Number of voters: 1, 3, 5 or 7.
    pub voter_count: usize,
    /// How long a voter that heard from a leader votes for nobody else, on the voter's own clock.
    pub hold_time: Tenths,
    /// Largest relative error of any instance's clock rate: 0.01 means up to 1% too fast or too slow.
    pub clock_drift: f64,
    /// Taken off the end of a lease, to cover the time between the lease's last check and the write that it
    /// permits.
    pub lease_margin: Tenths,
    /// Longest time for which a lease is granted at once. A leadership transfer waits this long, until no
    /// lease granted before it can still be valid.
    pub max_grant_time: Tenths,
    /// Upper end of the usual round trip between two instances.
    pub round_trip: Tenths,
    /// An instance starts at most one probe of another member in this time.
    pub probe_interval: Tenths,
    /// A voter that has been dead or has left for this long is replaced.
    pub replace_after: Tenths,
    /// Whether leadership is transferred to the lowest seat that can lead.
    pub prefer_lowest_seat: bool,
    /// With `prefer_lowest_seat`: shortest time for which an instance leads before such a transfer, and for
    /// which the successor must have answered without interruption.
    pub min_transfer_interval: Tenths,
    /// Whether the host writes the persistent state to disk and reports each write back as an input.
    pub durable: bool,
}

/// A setting that would be unsafe or makes no sense.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {reason}")]
pub struct InvalidSetting {
    /// The setting's key in the operators' file.
    pub field: &'static str,
    /// What was expected, and what was found.
    pub reason: String,
}

/// Most voters of a group.
pub const MAX_VOTERS: usize = 7;
/// Most seats in the pool.
pub const MAX_POOL_SEATS: usize = 15;

impl Settings {
    /// Default settings for a group of this size on a local network.
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

    /// Returns the settings unchanged, or the first one that is invalid.
    pub fn validate(self) -> Result<Settings, InvalidSetting> {
        let invalid = |field, reason: String| Err(InvalidSetting { field, reason });
        if self.seats == 0 {
            return invalid("seats", "the group needs at least one instance".into());
        }
        if ![1, 3, 5, 7].contains(&self.voter_count) {
            return invalid("voters", format!("{} is not 1, 3, 5 or 7", self.voter_count));
        }
        if self.pool.len() > MAX_POOL_SEATS || self.pool.len() < self.voter_count {
            let (seats, voters) = (self.pool.len(), self.voter_count);
            let reason = format!("has {seats} seats, expected {voters} (the voters) to {MAX_POOL_SEATS}");
            return invalid("pool", reason);
        }
        if let Some(seat) = self.pool.iter().find(|s| s.0 >= self.seats) {
            let reason = format!("seat {} does not exist, the group has {} instances", seat.0, self.seats);
            return invalid("pool", reason);
        }
        if self.pool.windows(2).any(|two| two[0] >= two[1]) {
            return invalid("pool", "seats must be in ascending order without duplicates".into());
        }
        if self.absent.iter().any(|seat| !self.pool.contains(seat)) {
            return invalid("absent", "contains a seat that is not in the pool".into());
        }
        if self.absent.len() * 2 >= self.pool.len() {
            return invalid("absent", "must contain less than half of the pool".into());
        }
        if !(0.0..=0.2).contains(&self.clock_drift) {
            return invalid("drift", format!("{} is not from 0 to 0.2", self.clock_drift));
        }
        if self.round_trip.0 <= 0 {
            return invalid("round_trip_ms", "must be above 0".into());
        }
        if self.probe_interval.0 < self.round_trip.0 * 2 {
            return invalid("probe_every_ms", "must be at least twice round_trip_ms".into());
        }
        if self.max_grant_time.0 < self.round_trip.0 {
            return invalid("act_within_ms", "must be at least round_trip_ms".into());
        }
        if self.lease_margin.0 < 0 || self.lease_time().0 < self.round_trip.0 * 4 {
            let reason = format!(
                "{} ms leaves a lease of {} ms, expected at least four times round_trip_ms",
                self.hold_time.0 / 10,
                self.lease_time().0 / 10
            );
            return invalid("hold_ms", reason);
        }
        Ok(self)
    }

    /// How long a leader may lead after it sent a heartbeat that a quorum answered, on the leader's clock.
    ///
    /// A voter counts `hold_time` from when the heartbeat arrived, on a clock that may be fast by
    /// `clock_drift`. The leader counts the lease from when it was sent, on a clock that may be slow by as
    /// much. The lease is shorter by the ratio of the two rates, so it ends first even then.
    pub fn lease_time(&self) -> Tenths {
        let rate_ratio = (1.0 - self.clock_drift) / (1.0 + self.clock_drift);
        self.hold_time.scale(rate_ratio) - self.lease_margin - Tenths(1)
    }

    /// Time between two heartbeats of a leader: a sixth of the hold time, or a round trip if that is longer,
    /// but then at most a third of the hold time.
    pub fn heartbeat_interval(&self) -> Tenths {
        Tenths((self.hold_time.0 / 6).max(self.round_trip.0.min(self.hold_time.0 / 3)))
    }

    /// The longest time without any input that is not taken for a pause of the process or a step of its
    /// clock.
    pub fn max_input_gap(&self) -> Tenths {
        Tenths(self.hold_time.0 / 3)
    }
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;

    #[rstest]
    #[case::even_voter_count(|s: &mut Settings| s.voter_count = 2, "voters")]
    #[case::pool_too_small(|s: &mut Settings| s.pool.truncate(2), "pool")]
    #[case::pool_seat_does_not_exist(|s: &mut Settings| s.pool[4] = Seat(9), "pool")]
    #[case::half_absent(|s: &mut Settings| s.absent = s.pool[..3].to_vec(), "absent")]
    #[case::clock_drift(|s: &mut Settings| s.clock_drift = 0.5, "drift")]
    #[case::lease_too_short(|s: &mut Settings| s.hold_time = Tenths::ms(300), "hold_ms")]
    #[case::probe_interval(|s: &mut Settings| s.probe_interval = Tenths::ms(100), "probe_every_ms")]
    fn validate_names_the_invalid_setting(#[case] invalidate: fn(&mut Settings), #[case] field: &str) {
        let mut settings = Settings::default_for(5);
        assert!(settings.clone().validate().is_ok());
        invalidate(&mut settings);
        assert_eq!(settings.validate().unwrap_err().field, field);
    }

    /// With the slowest leader's clock and the fastest voter's clock, the lease ends in true time before the
    /// voter's hold does.
    #[rstest]
    fn lease_ends_before_the_hold_despite_clock_drift() {
        for clock_drift in [0.0, 0.001, 0.01, 0.1, 0.2] {
            let settings = Settings { clock_drift, ..Settings::default_for(3) };
            let lease = (settings.lease_time() + settings.lease_margin).0 as f64 / (1.0 - clock_drift);
            assert!(lease <= settings.hold_time.0 as f64 / (1.0 + clock_drift), "{clock_drift}");
        }
    }
}
