//! Configuration, start and stop.

pub mod config;
pub mod run;
