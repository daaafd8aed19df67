//! A soak rig for the router: the real process on loopback between emulated clients, exchanges and a
//! coordinator, with seeded faults and a checker of the rules.
//!
//! One run plays one seed: [`scenario`] draws the settings and a timeline of faults, [`run`] plays it, and
//! the [`checker`] records what passes on the sockets and which rule was broken.

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
