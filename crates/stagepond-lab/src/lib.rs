//! Test laboratory of the project, not part of the service: simulations, proofs and measurements. Simulations
//! run on a virtual clock and take all randomness from a seed, so that equal seeds give equal traces on any
//! machine.

pub mod clock;
pub mod faults;
pub mod leadership;
pub mod net;
pub mod trace;
pub mod tuf;
