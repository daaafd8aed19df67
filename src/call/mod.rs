//! What is kept in memory: requests, attempts and outcomes, and the times at which something is due.
//!
//! Nothing here knows a wire. The [`core::Core`] hands events to the decision module and turns its
//! actions into [`core::Effect`]s, which a front carries out.

pub mod calls;
pub mod core;
pub mod exchanges;
pub mod timers;
