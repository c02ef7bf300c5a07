//! Proof and measurements of the TUF client: a test repository, attacks on it, and runs in memory and on
//! sockets.

pub mod attacks;
pub mod measure;
pub mod proof;
pub mod sockets;
