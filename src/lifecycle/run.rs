//! Start and stop.

use std::cell::Cell;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use slog::{info, warn, Logger};
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use super::config::Config;
use super::console::{self, View};
use crate::net::connection::{self, Clock};
use crate::net::enumeration::{self, Front};
use crate::net::platform::{Handle, Platform};
use crate::net::sockets;
use crate::net::standby::{self, Standby};
use crate::policy::shutdown::ShutdownSchedule;
use crate::protocol::vrrp::Router;

/// How often a stopping router looks whether it is done.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(5);

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
pub async fn serve(path: PathBuf, config: Config, log: Logger) -> Result<(), Failure> {
    // Guards against a reload that is asked for early: unhandled, SIGHUP ends the program.
    let hang_up = signal(SignalKind::hangup())?;
    let mut term = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let clock = Clock::new();
    let listener =
        connection::listen(config.listen).map_err(|e| format!("listen: {}: {e}", config.listen))?;
    let platform = Platform::new(&config, log.clone(), clock)?;
    tokio::task::spawn_local(sockets::run_timers(platform.clone()));
    tokio::task::spawn_local(sockets::follow_coordinator(platform.clone()));
    if let Some(at) = config.peer_listen.filter(|_| config.settings.limits.peer_messages_allowed) {
        let socket = bind("peer_listen", at).await?;
        tokio::task::spawn_local(sockets::receive_peer_datagrams(platform.clone(), Rc::new(socket)));
    }
    let active = Rc::new(Cell::new(true));
    let mut front = None;
    if let Some(setup) = &config.enum_front {
        let made = Front::new(setup, config.seed, log.clone(), clock, active.clone())?;
        tokio::task::spawn_local(enumeration::run_timers(made.clone()));
        if let Some(at) = setup.listen {
            let socket = bind("enum.listen", at).await?;
            info!(log, "answering look-ups"; "listen" => %socket.local_addr()?);
            tokio::task::spawn_local(enumeration::answer(made.clone(), socket));
        }
        platform.borrow_mut().set_look_up(made.clone(), setup.look_up_share);
        front = Some(made);
    }
    let mut standby = None;
    if let Some(setup) = config.vrrp.clone() {
        let socket = bind("vrrp.listen", setup.listen).await?;
        info!(log, "virtual router"; "listen" => %socket.local_addr()?);
        let router = Router::new(setup.router, socket.local_addr()?);
        let made = Standby::new(router, socket, setup.peers, active, clock, log.clone());
        tokio::task::spawn_local(standby::run(made.clone()));
        standby = Some(made);
    }
    info!(log, "started"; "name" => &config.name, "listen" => %listener.local_addr()?);
    let accepting = Accepting::start(platform.clone(), listener);
    let view = View { name: config.name.clone(), platform, front, standby };
    let (platform, front, standby) = (view.platform.clone(), view.front.clone(), view.standby.clone());
    let console = config.has_console;
    let longest = config.settings.classes.iter().map(|c| c.deadline).max().unwrap_or_default();
    tokio::task::spawn_local(reloads(hang_up, path, config, view.clone(), log.clone()));
    let quit = async {
        match console {
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
    let schedule = ShutdownSchedule::new(longest);
    let begun = tokio::time::Instant::now();
    tokio::time::sleep(schedule.close_idle_after).await;
    accepting.stop.notify_one();
    let _ = accepting.task.await;
    info!(log, "listener closed"; "unanswered" => platform.borrow().unanswered());
    let is_done = || {
        platform.borrow_mut().close_idle_clients();
        let look_ups = front.as_ref().map_or(0, |f| f.borrow().in_hand().0);
        !platform.borrow().has_clients() && look_ups == 0
    };
    while !is_done() && begun.elapsed() < schedule.give_up_after {
        tokio::time::sleep(STOP_CHECK_INTERVAL).await;
    }
    info!(log, "giving up open requests"; "unanswered" => platform.borrow().unanswered());
    if let Some(front) = &front {
        front.borrow_mut().finish();
    }
    platform.borrow_mut().stop();
    while platform.borrow().has_clients() && begun.elapsed() < schedule.exit_after {
        tokio::time::sleep(STOP_CHECK_INTERVAL).await;
    }
    // Answers of the ENUM front and releases at exchanges are written by their own tasks.
    tokio::time::sleep(STOP_CHECK_INTERVAL).await;
    for line in platform.borrow().metrics.encode().lines().filter(|line| !line.starts_with('#')) {
        info!(log, "counter at stop"; "series" => line);
    }
    info!(log, "stopped");
    Ok(())
}

/// Reads the configuration anew at each SIGHUP. The file is read and checked on a thread of its own, so that
/// calls go on meanwhile; a faulty one changes nothing.
async fn reloads(mut asked: Signal, path: PathBuf, mut held: Config, parts: View, log: Logger) {
    while asked.recv().await.is_some() {
        let path = path.clone();
        let read = tokio::task::spawn_blocking(move || load(&path).map_err(|e| e.to_string())).await;
        let fresh = match read.map_err(|e| e.to_string()) {
            Ok(Ok(fresh)) => fresh,
            Ok(Err(why)) | Err(why) => {
                warn!(log, "reload refused, the old configuration stays"; "why" => why);
                continue;
            }
        };
        let later = held.changes_needing_restart(&fresh);
        if !later.is_empty() {
            warn!(log, "changed, but taken up at the next start only"; "keys" => later.join(" "));
        }
        parts.platform.borrow_mut().reload(&fresh);
        if let (Some(front), Some(setup)) = (&parts.front, &fresh.enum_front) {
            front.borrow_mut().reload(setup);
            parts.platform.borrow_mut().set_look_up(front.clone(), setup.look_up_share);
        }
        if let (Some(standby), Some(setup)) = (&parts.standby, &fresh.vrrp) {
            standby.reload(setup);
        }
        info!(log, "reloaded"; "coordinator" => ?fresh.coordinator);
        held = fresh;
    }
}

/// The task that accepts client connections, and the way to end it.
struct Accepting {
    stop: Rc<Notify>,
    task: JoinHandle<()>,
}

impl Accepting {
    fn start(platform: Handle, listener: TcpListener) -> Self {
        let stop = Rc::new(Notify::new());
        let task = tokio::task::spawn_local(sockets::accept_clients(platform, listener, stop.clone()));
        Self { stop, task }
    }
}

async fn bind(key: &str, at: SocketAddr) -> Result<UdpSocket, Failure> {
    Ok(UdpSocket::bind(at).await.map_err(|e| format!("{key}: {at}: {e}"))?)
}
