//! Faults that a checker must find. Without the feature `planted` none can be switched on, and asking costs
//! nothing. It must never be on in a program that serves.

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing kept is found again, but the process takes itself for the old voter.
    TermForgotten,
    /// The vote of a term is not kept with the term, nor the hold that a start begins with, which would hide it.
    VoteForgotten,
    /// A lease as long as the hold, whatever the clocks do.
    LeaseWithoutDrift,
    /// A candidate raises its term without asking first.
    NoPreVote,
    /// A mandate is not looked at again before it is used.
    ActAfterExpiry,
    /// A voter grants although it holds for a leader.
    HoldIgnored,
    /// The lease runs from the answers, not from the sending.
    LeaseFromAnswer,
    /// A vote is granted to a candidate that lacks decrees.
    StaleCandidate,
    /// A decree is in force once one voter has it.
    CommitAlone,
    /// Replacing a voter takes a quorum of the new set only.
    NoJointQuorum,
    /// A leader that hands over keeps its mandate.
    TransferKeepsMandate,
    /// After a stop the hold is taken to have run out meanwhile.
    HoldForgottenAfterPause,
}

impl Fault {
    pub const ALL: [Fault; 12] = [
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
    ];
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Planted(#[cfg(feature = "planted")] Option<Fault>);

impl Planted {
    #[cfg(feature = "planted")]
    pub fn new(fault: Fault) -> Planted {
        Planted(Some(fault))
    }

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
