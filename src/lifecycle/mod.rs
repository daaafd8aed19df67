//! Configuration, start and stop.

pub mod config;
pub mod console;
pub mod run;
