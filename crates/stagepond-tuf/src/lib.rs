//! The Update Framework (TUF, specification 1.0.x) without I/O or clocks: verification, signing and
//! publication of metadata. Verification takes the trusted state and the bytes of a file, and returns a new
//! trusted state, a request for the next file or a typed error. `docs/tuf.md` explains the design.
//!
//! From the bottom up:
//! - [`metadata`]: the file formats as typed values
//! - [`keys`]: signatures and thresholds
//! - [`paths`]: which delegation covers a target
//! - [`client`]: the client workflow (section 5)
//! - [`target`]: verification of a target's bytes
//! - [`index`]: compact index of many targets
//! - [`repository`]: signing, key rotation and publication
//! - [`uptane`]: Uptane's director and image repositories
//! - [`planted`]: faults for checkers to find

pub mod client;
pub mod index;
pub mod keys;
pub mod metadata;
pub mod paths;
pub mod planted;
pub mod repository;
pub mod target;
pub mod uptane;
