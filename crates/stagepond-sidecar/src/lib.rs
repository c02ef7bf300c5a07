//! The sidecar as a library: one reducer that owns all state, and the I/O tasks around it.
//!
//! The binary `stagepond` runs it on sockets; the tests drive the reducer alone.

pub mod cli;
pub mod connection;
pub mod discovery;
pub mod event_loop;
pub mod frontend;
pub mod keeping;
pub mod launch;
pub mod leading;
#[cfg(test)]
mod leading_stories;
pub mod lifecycle;
pub mod messages;
pub mod operators;
pub mod peers;
pub mod platform;
pub mod pods;
pub mod reducer;
#[cfg(test)]
mod reducer_tests;
pub mod stream;
pub mod verifying;
#[cfg(test)]
mod verifying_stories;
