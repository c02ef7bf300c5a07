//! Soak of planned restarts: a real sidecar process between mock pods and seeded clients is restarted by
//! signals again and again, and every request that a client sent in full has to get exactly one answer.

mod account;
mod client;
mod environment;
mod report;
mod run;
mod script;
mod sidecar;

pub use account::{Fault, FaultKind};
pub(crate) use environment::Environment;
pub use report::Report;
pub use run::{run_many, SoakOptions};
pub use script::{PodMix, SoakKind};
pub(crate) use sidecar::Sidecar;
