#![doc = include_str!("../README.md")]
#![forbid(unsafe_code)]
#![warn(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

pub mod choice;
pub mod interface;
pub mod lifecycle;
pub mod memory;
pub mod wire;

pub use choice::Controller;
