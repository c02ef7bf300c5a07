//! Leadership's world, its account and its proof.

pub mod account;
pub mod measure;
pub mod model;
pub mod processes;
pub mod proof;
pub mod world;
