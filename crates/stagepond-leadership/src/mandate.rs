//! Leave to act for all: who has it, from which term, until when on the holder's own clock. It can't be made
//! outside this crate, and whoever uses it shows it once more to the clock in the last step before the write.

use crate::ids::{Number, Seat, Tenths, Term};
use crate::planted::{Fault, Planted};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mandate {
    term: Term,
    holder: Seat,
    number: Number,
    until: Tenths,
    planted: Planted,
}

/// The mandate has run out, and by how much.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the mandate of term {term:?} ended {late:?} ago")]
pub struct Expired {
    pub term: Term,
    pub late: Tenths,
}

impl Mandate {
    pub(crate) fn new(term: Term, holder: Seat, number: Number, until: Tenths, planted: Planted) -> Mandate {
        Mandate { term, holder, number, until, planted }
    }

    pub fn term(&self) -> Term {
        self.term
    }
    pub fn holder(&self) -> Seat {
        self.holder
    }
    /// The decree that it was given for; the last one known where it was given for none.
    pub fn number(&self) -> Number {
        self.number
    }
    pub fn until(&self) -> Tenths {
        self.until
    }

    /// The last step before the write. What a pause between this and the write can still do is bounded by the
    /// margin that `until` was shortened by.
    pub fn check(&self, now: Tenths) -> Result<(), Expired> {
        if now < self.until || self.planted.has(Fault::ActAfterExpiry) {
            return Ok(());
        }
        Err(Expired { term: self.term, late: now - self.until })
    }
}
