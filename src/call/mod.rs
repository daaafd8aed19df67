//! Call state held in memory: requests, attempts, established calls, listed exchanges and timers.
//!
//! This module is independent of any protocol. [`core::Core`] passes events to the controller and turns
//! the controller's actions into [`core::Effect`]s, which a front end carries out.

pub mod budget;
pub mod calls;
pub mod core;
pub mod deferred;
pub mod ended_calls;
pub mod exchanges;
pub mod memory;
pub mod releases;
pub mod throttle;
pub mod timers;
