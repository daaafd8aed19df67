//! A soak test rig for the router. It runs the real process on loopback addresses between emulated clients,
//! exchanges and a coordinator, injects faults that are drawn from a seed, and checks the rules of the
//! protocol.
//!
//! Each run has one seed: [`scenario`] draws the settings and a timeline of faults, [`run`] carries it out,
//! and [`checker`] records the traffic on the sockets and the rules that were broken.

#![warn(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

pub mod checker;
pub mod client;
pub mod coordinator;
pub mod exchange;
pub mod router;
pub mod run;
pub mod scenario;
pub mod sip;

pub use checker::Violation;
pub use run::{run_scenario, Report};
