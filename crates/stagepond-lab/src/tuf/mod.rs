//! TUF's stand-in repository, its attacks and its proof.

pub mod attacks;
pub mod measure;
pub mod proof;
pub mod sockets;
