//! The leader's time-limited permission to act for the whole group.
//!
//! A lease can only be created inside this crate. Its user must call [`LeaderLease::check`] again as the last
//! step before the write that the lease permits.

use std::fmt;

use crate::ids::{Number, Seat, Tenths, Term};
use crate::planted::{Fault, Planted};

/// Permission to act as the leader of one term until a time on the holder's own clock.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct LeaderLease {
    term: Term,
    holder: Seat,
    commit_number: Number,
    expires_at: Tenths,
    planted: Planted,
}

/// Prints the names that the output of `stagepond-lab replay-leadership` has, which differ from those in the
/// code.
impl fmt::Debug for LeaderLease {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Mandate")
            .field("term", &self.term)
            .field("holder", &self.holder)
            .field("number", &self.commit_number)
            .field("until", &self.expires_at)
            .field("planted", &self.planted)
            .finish()
    }
}

/// The lease expired before it was used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the leader lease of {term:?} expired {} ms ago", .overdue.0 as f64 / 10.0)]
pub struct LeaseExpired {
    /// The term of the expired lease.
    pub term: Term,
    /// Time since the lease expired.
    pub overdue: Tenths,
}

impl LeaderLease {
    pub(crate) fn new(
        term: Term, holder: Seat, commit_number: Number, expires_at: Tenths, planted: Planted,
    ) -> LeaderLease {
        LeaderLease { term, holder, commit_number, expires_at, planted }
    }

    /// The term that the holder leads.
    pub fn term(&self) -> Term {
        self.term
    }
    /// The seat of the leader that the lease was granted to.
    pub fn holder(&self) -> Seat {
        self.holder
    }
    /// The leader's commit index when the lease was granted.
    pub fn commit_number(&self) -> Number {
        self.commit_number
    }
    /// The time at which the lease ends, on the holder's clock.
    pub fn expires_at(&self) -> Tenths {
        self.expires_at
    }

    /// Fails with [`LeaseExpired`] unless the lease is still valid at `now`.
    ///
    /// To be called directly before the write. A pause between this check and the write is tolerated up to
    /// [`lease_margin`](crate::settings::Settings::lease_margin), by which `expires_at` was shortened.
    pub fn check(&self, now: Tenths) -> Result<(), LeaseExpired> {
        if now < self.expires_at || self.planted.has(Fault::ActAfterExpiry) {
            return Ok(());
        }
        Err(LeaseExpired { term: self.term, overdue: now - self.expires_at })
    }
}
