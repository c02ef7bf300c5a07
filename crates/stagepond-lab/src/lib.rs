//! Test laboratory of the project, not part of the service: simulations, proofs and measurements. Simulations
//! run on a virtual clock and take all randomness from a seed, so that equal seeds give equal traces on any
//! machine.

pub mod clock;
pub mod crowd;
pub mod faults;
pub mod leadership;
#[path = "../../../examples/mock_server.rs"]
mod mock_server;
pub mod net;
pub mod soak;
pub mod trace;
pub mod tuf;
