//! TUF metadata (The Update Framework, specification 1.0.x): what passes is what was signed, and current.
//! Verification takes trusted state and bytes and gives a new trusted state, the next file wanted or a typed
//! refusal; no file, socket or clock. `docs/tuf.md` has the reasons.
//!
//! From below: [`metadata`] (the metadata as typed values), [`keys`] (signatures and thresholds), [`paths`] (which
//! delegation a target belongs to), [`client`] (the workflow of section 5), [`target`] (a target's bytes as they
//! come), [`index`] (large sets of targets), [`repository`] (making, signing, rotating), [`uptane`] (two
//! repositories that must agree).

pub mod client;
pub mod index;
pub mod keys;
pub mod metadata;
pub mod paths;
pub mod planted;
pub mod repository;
pub mod target;
pub mod uptane;
