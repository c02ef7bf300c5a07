//! The sidecar as a library: one reducer that owns all state, and the I/O tasks around it.
//!
//! The binary `stagepond` runs it on sockets; the tests drive the reducer alone.

pub mod body;
pub mod cli;
pub mod client_connections;
pub mod config;
pub mod connection;
pub mod discovery;
pub mod event_loop;
pub mod executed_ids;
pub mod frontend;
pub mod leadership;
#[cfg(test)]
mod leadership_tests;
pub mod lifecycle;
pub mod memory;
pub mod message_progress;
#[cfg(test)]
mod message_progress_tests;
pub mod messages;
pub mod operators;
pub mod peers;
#[cfg(feature = "planted")]
pub mod planted;
pub mod platform;
pub mod pods;
pub mod reducer;
mod reducer_host;
#[cfg(test)]
mod reducer_tests;
#[cfg(test)]
mod repeated_id_tests;
pub mod request_head;
pub mod responses;
pub mod rollout_order;
pub mod state_files;
pub mod stream;
pub mod target_cache;
pub mod trial_limits;
pub mod verification;
#[cfg(test)]
mod verification_tests;
