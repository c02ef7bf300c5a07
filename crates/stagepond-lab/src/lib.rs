//! The laboratory: instruments, never a part of what serves. Worlds run on a virtual clock and draw all chance
//! from their seed, so that equal seeds give equal traces on any machine.

pub mod clock;
pub mod draw;
pub mod leadership;
pub mod net;
pub mod trace;
pub mod tuf;
