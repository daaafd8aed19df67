//! Configuration, start-up, shutdown and the operator's console.

pub mod config;
pub mod console;
pub mod membership;
pub mod run;
