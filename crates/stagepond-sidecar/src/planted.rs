//! Faults that the soak has to find. They exist in builds with the feature `planted` only.

/// Names the fault to switch on.
const PLANTED_VARIABLE: &str = "STAGEPOND_PLANTED";

/// A fault that can be switched on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// SIGTERM closes all connections at once.
    CloseAtOnce,
}

/// Whether this fault is switched on.
pub fn is_planted(fault: Fault) -> bool {
    std::env::var(PLANTED_VARIABLE).is_ok_and(|name| name == format!("{fault:?}"))
}
