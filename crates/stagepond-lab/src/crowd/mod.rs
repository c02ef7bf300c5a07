//! Crowds of clients in every form that costs memory, against one sidecar process whose peak memory is measured.

mod form;
pub mod memory;

pub use form::{run as run_client, ClientForm};
