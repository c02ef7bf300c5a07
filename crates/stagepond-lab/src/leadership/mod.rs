//! Leadership under test: a seeded simulation, a model checker and real processes, each checked against the
//! protocol's invariants.

pub mod durability;
pub mod invariants;
pub mod measure;
pub mod model;
pub mod processes;
pub mod proof;
pub mod simulation;
