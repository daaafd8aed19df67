#![doc = include_str!("../README.md")]
#![forbid(unsafe_code)]
#![warn(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

pub mod call;
pub mod interface;
pub mod lifecycle;
pub mod metrics;
pub mod net;
pub mod policy;
pub mod protocol;

pub use policy::Controller;
