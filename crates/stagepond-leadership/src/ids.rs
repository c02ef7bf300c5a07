//! Identifiers used by leadership, each with a type of its own.

use serde::{Deserialize, Serialize};
pub use stagepond::host::Tenths;

/// Index of an instance within the group. It stays the same across restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Seat(pub u16);

/// Identifies one process at a seat. A later process at the same seat has a higher value; 0 means unknown.
///
/// The service takes the time of day at the start of the process, in tenths of a ms.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Life(pub u64);

/// Identifies the storage that holds a process's persistent state, by the life of the process that created
/// it.
///
/// A process without a disk creates a new one at each start. A process that finds its stored state on disk
/// continues with the old identifier.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Memory(pub u64);

/// A voting member: a memory at a seat, not the seat alone.
///
/// A process that lost its term and vote counts as a different voter, so it cannot vote twice in a term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Voter {
    /// The seat that the voter's process runs at.
    pub seat: Seat,
    /// The persistent state that the voter's process continues.
    pub memory: Memory,
}

/// Identifies the bootstrap that a term follows. Later bootstraps have higher eras.
///
/// An era is above the life, converted to ms, of each process of the pool. Eras therefore rise with the time of
/// day even if every instance lost its state: a process that lost its state started after that.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Era(pub u64);

/// Raft's term (Ongaro and Ousterhout 2014, section 5.1).
///
/// The bits above the lowest [`TERM_BITS`] hold the era, so every term of a later era is a later term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Term(pub u64);

/// Bits of a term that count within its era: about a million terms, after which the count carries into the
/// next era.
pub const TERM_BITS: u32 = 20;

impl Term {
    /// The first term of an era. Its leader is named by the bootstrap, not elected.
    pub fn first_of_era(era: Era) -> Term {
        Term((era.0 << TERM_BITS) | 1)
    }
    /// The era that this term belongs to.
    pub fn era(self) -> Era {
        Era(self.0 >> TERM_BITS)
    }
    /// The term counted from the start of its era.
    pub fn number_in_era(self) -> u64 {
        self.0 & ((1 << TERM_BITS) - 1)
    }
    /// The term after this one.
    pub fn next(self) -> Term {
        Term(self.0 + 1)
    }
}

/// Raft's log index: the position of an entry in the replicated log.
///
/// Positions are consecutive within an era. Those of a new era begin at [`Number::first_of_era`], above all that
/// an earlier era can have given, so that no position is given twice even if every memory of it is lost. An era
/// in which a process of [`ProtocolVersion::CONSECUTIVE`](crate::wire::ProtocolVersion::CONSECUTIVE) takes part
/// continues the positions of the era before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Number(pub u64);

/// Positions for each ms between two eras, as a power of two: 1024, some ten times more than a group commits.
/// With eras in ms since 1970, positions stay below 2^53, and so exact in JSON, until the year 2248.
const NUMBER_BITS: u32 = 10;

impl Number {
    /// The lowest position of an era's own.
    pub fn first_of_era(era: Era) -> Number {
        Number(era.0 << NUMBER_BITS)
    }
    /// The latest era whose first position is not above this one.
    pub fn era(self) -> Era {
        Era(self.0 >> NUMBER_BITS)
    }
    /// The position after this one.
    pub fn next(self) -> Number {
        Number(self.0 + 1)
    }
}
