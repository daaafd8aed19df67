//! The call router: reads its configuration file and runs until it is stopped.

#![forbid(unsafe_code)]
#![warn(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use quartzspindle::lifecycle::run::{self, StartError};
use slog::{o, Drain, Logger};

/// Maximum number of log lines that wait to be written.
const LOG_QUEUE_LINES: usize = 1024;
/// Longest time for which an ending process waits for its log to be written.
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

fn main() -> ExitCode {
    match run_router() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("quartzspindle: {e}");
            ExitCode::FAILURE
        }
    }
}

fn run_router() -> Result<(), StartError> {
    let path = std::env::args_os().nth(1).or_else(|| std::env::var_os("LB_CONFIG"));
    let path: PathBuf =
        path.ok_or("no configuration file: pass its path as the first argument or in LB_CONFIG")?.into();
    let config = run::load_config(&path)?;
    let decorator = slog_term::PlainDecorator::new(std::io::stderr());
    let formatter = slog_term::FullFormat::new(decorator).build().fuse();
    // A separate thread writes the log. When the queue is full, lines are dropped and their number is logged.
    let (queue, guard) = slog_async::Async::new(formatter).chan_size(LOG_QUEUE_LINES).build_with_guard();
    let log = Logger::root(queue.fuse(), o!());
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let result = tokio::task::LocalSet::new().block_on(&runtime, run::run(path, config, log));
    flush_log(guard);
    result
}

/// Waits until the queued log lines have been written, but not for a log that is not read.
fn flush_log(guard: slog_async::AsyncGuard) {
    let (flushed, is_flushed) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        drop(guard);
        let _ = flushed.send(());
    });
    let _ = is_flushed.recv_timeout(LOG_FLUSH_TIMEOUT);
}
