//! Leadership's world, its account and its proof.

pub mod account;
pub mod proof;
pub mod world;
