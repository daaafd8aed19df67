//! Start and stop.

use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use slog::{info, Logger};
use tokio::net::UdpSocket;
use tokio::signal::unix::{signal, SignalKind};

use super::config::Config;
use crate::wire::driver;
use crate::wire::platform::{self, Clock, Handle, Platform};

/// After SIGTERM connections and requests go on coming for 0.6 s; this covers them.
const STILL_COMING: Duration = Duration::from_millis(900);
/// What is still unanswered is answered so long after SIGTERM, before anyone ends the program by force.
const LAST_ANSWERS: Duration = Duration::from_millis(3500);
/// For the last answers to be written.
const LAST_WORDS: Duration = Duration::from_millis(100);

/// Any reason for which the program can't start.
pub type Failure = Box<dyn std::error::Error>;

/// Reads the configuration file.
///
/// # Errors
/// When it can't be read or makes no sense; the message names the file or the key.
pub fn load(path: &Path) -> Result<Config, Failure> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    Ok(Config::parse(&text)?)
}

/// Serves until SIGTERM or an interrupt, then ends in order. Needs a `LocalSet` around it.
///
/// # Errors
/// When an address can't be used or the settings make no sense.
pub async fn serve(config: Config, log: Logger) -> Result<(), Failure> {
    let mut term = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let listener = driver::listen(config.listen).map_err(|e| format!("listen: {}: {e}", config.listen))?;
    let platform = Platform::new(&config, log.clone(), Clock::new())?;
    tokio::task::spawn_local(platform::keep_time(platform.clone()));
    if let Some(coordinator) = config.coordinator {
        tokio::task::spawn_local(platform::follow(platform.clone(), coordinator));
    }
    if let Some(at) = config.peer_listen.filter(|_| config.settings.limits.peers) {
        let socket = UdpSocket::bind(at).await.map_err(|e| format!("peer_listen: {at}: {e}"))?;
        tokio::task::spawn_local(platform::hear_peers(platform.clone(), Rc::new(socket), config.peers));
    }
    info!(log, "started"; "name" => &config.name, "listen" => %listener.local_addr()?);
    tokio::task::spawn_local(platform::accept(platform.clone(), listener));
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
    stop(&platform, &log).await;
    Ok(())
}

async fn stop(platform: &Handle, log: &Logger) {
    info!(log, "stopping"; "unanswered" => platform.borrow().unanswered());
    platform.borrow_mut().drain();
    let begun = tokio::time::Instant::now();
    tokio::time::sleep(STILL_COMING).await;
    while platform.borrow().unanswered() > 0 && begun.elapsed() < LAST_ANSWERS {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    platform.borrow_mut().finish();
    tokio::time::sleep(LAST_WORDS).await;
    info!(log, "stopped");
}
