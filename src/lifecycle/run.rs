//! Start and stop.

use std::cell::Cell;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use slog::{info, Logger};
use tokio::net::UdpSocket;
use tokio::signal::unix::{signal, SignalKind};

use super::config::Config;
use super::console::{self, View};
use crate::wire::driver::{self, Clock};
use crate::wire::enumeration::{self, Front};
use crate::wire::platform::Platform;
use crate::wire::sockets;
use crate::wire::standby::{self, Standby};
use crate::wire::vrrp::Router;

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
    let clock = Clock::new();
    let listener = driver::listen(config.listen).map_err(|e| format!("listen: {}: {e}", config.listen))?;
    let platform = Platform::new(&config, log.clone(), clock)?;
    tokio::task::spawn_local(sockets::keep_time(platform.clone()));
    if let Some(coordinator) = config.coordinator {
        tokio::task::spawn_local(sockets::follow(platform.clone(), coordinator));
    }
    if let Some(at) = config.peer_listen.filter(|_| config.settings.limits.peers) {
        let socket = bind("peer_listen", at).await?;
        tokio::task::spawn_local(sockets::hear_peers(platform.clone(), Rc::new(socket), config.peers));
    }
    let active = Rc::new(Cell::new(true));
    let mut front = None;
    if let Some(setup) = &config.enumeration {
        let made = Front::new(setup, config.seed, log.clone(), clock, active.clone())?;
        tokio::task::spawn_local(enumeration::keep_time(made.clone()));
        if let Some(at) = setup.listen {
            let socket = bind("enum.listen", at).await?;
            info!(log, "answering look-ups"; "listen" => %socket.local_addr()?);
            tokio::task::spawn_local(enumeration::answer(made.clone(), socket));
        }
        platform.borrow_mut().set_look_up(made.clone(), setup.share);
        front = Some(made);
    }
    let mut standby = None;
    if let Some(setup) = config.vrrp {
        let socket = bind("vrrp.listen", setup.listen).await?;
        info!(log, "virtual router"; "listen" => %socket.local_addr()?);
        let router = Router::new(setup.setup, socket.local_addr()?);
        let made = Standby::new(router, socket, setup.peers, active, clock, log.clone());
        tokio::task::spawn_local(standby::run(made.clone()));
        standby = Some(made);
    }
    info!(log, "started"; "name" => &config.name, "listen" => %listener.local_addr()?);
    tokio::task::spawn_local(sockets::accept(platform.clone(), listener));
    let view = View { name: config.name, platform, front, standby };
    let (platform, front, standby) = (view.platform.clone(), view.front.clone(), view.standby.clone());
    let quit = async {
        match config.console {
            true => console::serve(view, console::lines()).await,
            false => std::future::pending().await,
        }
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
        () = quit => {}
    }
    info!(log, "stopping"; "unanswered" => platform.borrow().unanswered());
    platform.borrow_mut().drain();
    if let Some(standby) = standby {
        standby.stop();
    }
    let begun = tokio::time::Instant::now();
    tokio::time::sleep(STILL_COMING).await;
    let open = || {
        let look_ups = front.as_ref().map_or(0, |f| f.borrow().in_hand().0);
        platform.borrow().unanswered() + look_ups
    };
    while open() > 0 && begun.elapsed() < LAST_ANSWERS {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    if let Some(front) = &front {
        front.borrow_mut().finish();
    }
    platform.borrow_mut().finish();
    tokio::time::sleep(LAST_WORDS).await;
    info!(log, "stopped");
    Ok(())
}

async fn bind(key: &str, at: SocketAddr) -> Result<UdpSocket, Failure> {
    Ok(UdpSocket::bind(at).await.map_err(|e| format!("{key}: {at}: {e}"))?)
}
