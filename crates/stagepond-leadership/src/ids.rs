//! The ids that leadership speaks of, each its own type. It holds no state.

use serde::{Deserialize, Serialize};
pub use stagepond::host::Tenths;

/// Position among the instances of the tier; the same after a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Seat(pub u16);

/// One process at a seat. A later process at the same seat has a higher one; 0 stands for "not known".
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Life(pub u64);

/// The memory that promises were kept in: the life that began it. A process without a disk begins a new one
/// at each start; one that finds its promises again goes on under the old one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Memory(pub u64);

/// Who votes is a memory at a seat, not a seat: a process that forgot what it promised is another voter, and
/// so can't break the promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Voter {
    pub seat: Seat,
    pub memory: Memory,
}

/// The founding that a term belongs to. Later ones are higher, also after all memory was lost: none is lower
/// than the time of day, in ms, of the process that asks for it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Era(pub u64);

/// Raft's term (Ongaro and Ousterhout 2014, section 5.1) with the era of the founding above its lowest
/// [`TERM_BITS`] bits: all terms of a later era are later.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Term(pub u64);

/// A million terms in an era; past that the next era begins by itself.
pub const TERM_BITS: u32 = 20;

impl Term {
    /// The first term of an era, in which the founding itself names the leader.
    pub fn founding(era: Era) -> Term {
        Term((era.0 << TERM_BITS) | 1)
    }
    pub fn era(self) -> Era {
        Era(self.0 >> TERM_BITS)
    }
    pub fn in_era(self) -> u64 {
        self.0 & ((1 << TERM_BITS) - 1)
    }
    pub fn next(self) -> Term {
        Term(self.0 + 1)
    }
}

/// Place of a decree in the record, from 1 on without gaps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Number(pub u64);

impl Number {
    pub fn next(self) -> Number {
        Number(self.0 + 1)
    }
}
