//! Faults that tests switch on, to check that the proof and the model checker find them.
//!
//! Without the feature `planted` no fault can be switched on and asking for one costs nothing. A program that
//! serves must be built without it.

/// A deliberate mistake in the protocol. The variants' names are values of `stagepond-lab`'s option
/// `--planted`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A process that restarts finds none of its persistent state but keeps its memory, so it still counts as
    /// the same voter.
    TermForgotten,
    /// A process that restarts has lost its vote but not its term. It also skips the hold that follows a
    /// start, which would hide the lost vote.
    VoteForgotten,
    /// The lease lasts as long as the hold time, whatever the clock drift.
    LeaseWithoutDrift,
    /// A candidate raises its term without a pre-vote.
    NoPreVote,
    /// A lease passes its check after it has expired.
    ActAfterExpiry,
    /// A voter grants its vote although it holds for a leader.
    HoldIgnored,
    /// The lease runs from when the heartbeats are answered, not from when they were sent.
    LeaseFromAnswer,
    /// A vote is granted to a candidate whose log is behind.
    StaleCandidate,
    /// An entry is committed once one voter has it.
    CommitAlone,
    /// Replacing a voter needs a quorum of the new configuration only.
    NoJointQuorum,
    /// A leader that transfers its leadership keeps its lease.
    TransferKeepsMandate,
    /// After a pause the hold counts as expired.
    HoldForgottenAfterPause,
    /// A new leader counts its appends from 1 again, as in its earlier terms.
    AppendIdsRestart,
    /// A version of the persistent state is given out while an earlier one is being written, which may be done
    /// later and take the state back.
    OverlappingWrites,
    /// A new era continues the positions of its leader's log, which entries that are lost may have had.
    EraContinuesPositions,
    /// The instance with the shortest log leads a new era.
    ShortestLogLeads,
}

impl Fault {
    /// All faults, in order of declaration.
    pub const ALL: [Fault; 16] = [
        Fault::TermForgotten,
        Fault::VoteForgotten,
        Fault::LeaseWithoutDrift,
        Fault::NoPreVote,
        Fault::ActAfterExpiry,
        Fault::HoldIgnored,
        Fault::LeaseFromAnswer,
        Fault::StaleCandidate,
        Fault::CommitAlone,
        Fault::NoJointQuorum,
        Fault::TransferKeepsMandate,
        Fault::HoldForgottenAfterPause,
        Fault::AppendIdsRestart,
        Fault::OverlappingWrites,
        Fault::EraContinuesPositions,
        Fault::ShortestLogLeads,
    ];
}

/// The fault that is switched on, if any. `Planted::default()` is none, also with the feature.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Planted(#[cfg(feature = "planted")] Option<Fault>);

impl Planted {
    /// Switches on one fault.
    #[cfg(feature = "planted")]
    pub fn new(fault: Fault) -> Planted {
        Planted(Some(fault))
    }

    /// Whether this fault is switched on; always false without the feature `planted`.
    #[inline]
    pub fn has(self, fault: Fault) -> bool {
        #[cfg(feature = "planted")]
        return self.0 == Some(fault);
        #[cfg(not(feature = "planted"))]
        {
            let _ = fault;
            false
        }
    }
}
