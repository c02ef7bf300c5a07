//! Planted faults: deliberate omissions of a check that a checker must find. Without the feature `planted`
//! none can be switched on, and asking costs nothing. The feature must never be on in a program that serves.

/// A check that is left out or weakened. The variants' names are values on the command line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Each signature counts towards the threshold, even several of one key.
    SameKeyTwice,
    /// Every threshold is treated as one.
    AnyOne,
    /// Any key listed in the delegating file counts for any role, not only the role's own keys.
    AnyRole,
    /// A new root need not be signed by the keys of the trusted root.
    NewRootAlone,
    /// Older versions are accepted: rollback attacks succeed.
    RollbackTaken,
    /// Expiry is not checked: freeze attacks succeed.
    ExpiryIgnored,
    /// A snapshot may omit roles that the trusted snapshot lists.
    DropTaken,
    /// Version, length and hashes in a timestamp or snapshot are not compared with the file: mix-and-match
    /// attacks succeed.
    MixTaken,
    /// Length and hashes of a target are not checked.
    TargetUnchecked,
    /// A delegated role may list any path.
    PathIgnored,
    /// Files of any length are read: endless data attacks succeed.
    EndlessRead,
}

impl Fault {
    /// All faults, in the order of declaration.
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

/// The planted fault, if any. Without the feature `planted` this type is empty and always means none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Planted(#[cfg(feature = "planted")] Option<Fault>);

impl Planted {
    /// Plants one fault.
    #[cfg(feature = "planted")]
    pub fn new(fault: Fault) -> Planted {
        Planted(Some(fault))
    }

    /// Whether this fault is planted.
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
