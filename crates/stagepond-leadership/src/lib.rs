//! Leadership: which instance may act for all, until when, and what was decided. Inputs and time in, effects
//! out: no socket, file, clock, thread, global or hash order. `docs/leadership.md` has the reasons.
//!
//! The parts, from below: [`ids`], [`bounds`] (settings as typed values), [`record`] (decrees), [`wire`]
//! (messages), [`seal`] (whose datagram it is), [`members`] (who is there), [`council`] (who leads and what is
//! decided), [`mandate`] (leave to act), [`instance`] (all of them behind one step function).

pub mod bounds;
pub mod council;
pub mod ids;
pub mod instance;
pub mod mandate;
pub mod members;
pub mod planted;
pub mod record;
pub mod seal;
pub mod wire;
