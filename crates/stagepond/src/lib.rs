//! Invocation router and release judge of a sidecar.
//!
//! [`host`] is the interface to the program that runs it, [`balance`] takes every decision. The crate reads
//! no clock and does no I/O: equal inputs in equal order give equal effects.

pub mod balance;
pub mod host;
mod state;
