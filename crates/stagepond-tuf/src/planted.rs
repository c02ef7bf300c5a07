//! Faults that a checker must find. Without the feature `planted` none can be switched on, and asking costs
//! nothing. It must never be on in a program that serves.

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Signatures of one key count as often as they stand there.
    SameKeyTwice,
    /// A threshold of one is enough.
    AnyOne,
    /// Any key of the root may sign for any role.
    AnyRole,
    /// A new root is not held against the old one's keys.
    NewRootAlone,
    /// Older versions are taken.
    RollbackTaken,
    /// Expiry is not looked at.
    ExpiryIgnored,
    /// A snapshot need not hold what the one before held.
    DropTaken,
    /// What a snapshot says of a file is not compared with it.
    MixTaken,
    /// Length and hashes of a target are not compared.
    TargetUnchecked,
    /// A delegation may speak for any path.
    PathIgnored,
    /// Files of any length are read.
    EndlessRead,
}

impl Fault {
    pub const ALL: [Fault; 11] = [
        Fault::SameKeyTwice,
        Fault::AnyOne,
        Fault::AnyRole,
        Fault::NewRootAlone,
        Fault::RollbackTaken,
        Fault::ExpiryIgnored,
        Fault::DropTaken,
        Fault::MixTaken,
        Fault::TargetUnchecked,
        Fault::PathIgnored,
        Fault::EndlessRead,
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
