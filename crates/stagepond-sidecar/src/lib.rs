//! The sidecar as a library: one reducer that owns all state, and the parts on sockets around it. The binary
//! `stagepond` starts it; the laboratory drives the reducer alone.

pub mod cli;
pub mod config;
pub mod discovery;
pub mod front;
pub mod leadership;
#[cfg(test)]
mod leadership_tests;
pub mod lifecycle;
pub mod messages;
pub mod operators;
pub mod peers;
pub mod platform;
pub mod pods;
pub mod reducer;
pub mod shell;
pub mod state_files;
#[cfg(test)]
mod stories;
pub mod stream;
pub mod verification;
#[cfg(test)]
mod verification_tests;
pub mod wire;
