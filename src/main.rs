//! The call router: reads its configuration and serves.

#![forbid(unsafe_code)]
#![warn(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::path::PathBuf;
use std::process::ExitCode;

use quartzspindle::lifecycle::run::{self, Failure};
use slog::{o, Drain, Logger};

fn main() -> ExitCode {
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("quartzspindle: {e}");
            ExitCode::FAILURE
        }
    }
}

fn start() -> Result<(), Failure> {
    let path = std::env::args_os().nth(1).or_else(|| std::env::var_os("LB_CONFIG"));
    let path: PathBuf = path.ok_or("give a configuration file, or its path in LB_CONFIG")?.into();
    let config = run::load(&path)?;
    let decorator = slog_term::PlainDecorator::new(std::io::stderr());
    let lines = slog_term::FullFormat::new(decorator).build().fuse();
    // Lines are written by a thread of their own; if they come too fast some are dropped and counted.
    let (queue, _guard) = slog_async::Async::new(lines).chan_size(1024).build_with_guard();
    let log = Logger::root(queue.fuse(), o!());
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    tokio::task::LocalSet::new().block_on(&runtime, run::serve(path, config, log))
}
