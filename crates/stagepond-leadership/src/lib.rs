//! Leader election, cluster membership and a replicated log for the instances of the group.
//!
//! The crate does no I/O: inputs and the current time go in, effects come out. It uses no sockets, files,
//! clocks, threads, global state or iteration in hash order, so equal inputs give equal effects.
//! `docs/leadership.md` explains the design.
//!
//! The modules, from the lowest layer up:
//!
//! - [`ids`] - identifiers
//! - [`planted`] - faults that tests switch on to check that the proof finds them
//! - [`settings`] - validated settings
//! - [`log`] - the replicated log and its snapshot
//! - [`wire`] - messages between instances
//! - [`seal`] - authentication of datagrams
//! - [`members`] - failure detection (SWIM)
//! - `persistence` - versions of the persistent state, and the messages that wait for one
//! - [`lease`] - the leader's time-limited permission to act
//! - [`raft`] - elections, leases and replication
//! - [`instance`] - all of the above behind one step function

pub mod ids;
pub mod instance;
pub mod lease;
pub mod log;
pub mod members;
mod persistence;
pub mod planted;
pub mod raft;
pub mod seal;
pub mod settings;
pub mod wire;
