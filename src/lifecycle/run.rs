//! Start-up, reload and shutdown of the router.

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
use super::console::{self, Console};
use crate::net::connection::{self, Clock};
use crate::net::enumeration::{self, EnumFrontEnd};
use crate::net::platform::{Handle, Platform};
use crate::net::standby::{self, VirtualRouter};
use crate::net::{coordinator_client, sockets};
use crate::policy::shutdown::ShutdownSchedule;
use crate::protocol::vrrp;

/// Interval at which a stopping router checks whether its work is done.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Any error that prevents the program from starting.
pub type StartError = Box<dyn std::error::Error>;

/// Reads the configuration file.
///
/// # Errors
/// If the file can't be read or is not valid; the message names the file or the key.
pub fn load_config(path: &Path) -> Result<Config, StartError> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    Ok(Config::parse(&text)?)
}

/// Runs the router until SIGTERM, SIGINT or the console's `quit`, then shuts it down in order. Must be called
/// within a `LocalSet`.
///
/// # Errors
/// If an address can't be bound or the settings are not valid.
pub async fn run(path: PathBuf, config: Config, log: Logger) -> Result<(), StartError> {
    // Installed first: without a handler SIGHUP ends the program, and a reload may be requested at any time.
    let sighup = signal(SignalKind::hangup())?;
    let mut sigterm = signal(SignalKind::terminate())?;
    let mut sigint = signal(SignalKind::interrupt())?;
    let clock = Clock::new();
    let listener =
        connection::listen(config.listen).map_err(|e| format!("listen: {}: {e}", config.listen))?;
    let platform = Platform::new(&config, log.clone(), clock)?;
    tokio::task::spawn_local(sockets::run_timers(platform.clone()));
    tokio::task::spawn_local(coordinator_client::follow_coordinator(platform.clone()));
    if let Some(address) = config.peer_listen.filter(|_| config.settings.limits.peer_messages_allowed) {
        let socket = bind_udp("peer_listen", address).await?;
        tokio::task::spawn_local(sockets::receive_peer_datagrams(platform.clone(), Rc::new(socket)));
    }
    let is_active = Rc::new(Cell::new(true));
    let mut enum_front_end = None;
    if let Some(enum_config) = &config.enum_front_end {
        let front_end = EnumFrontEnd::new(enum_config, config.seed, log.clone(), clock, is_active.clone())?;
        tokio::task::spawn_local(enumeration::run_timers(front_end.clone()));
        if let Some(address) = enum_config.listen {
            let socket = bind_udp("enum.listen", address).await?;
            info!(log, "answering look-ups"; "listen" => %socket.local_addr()?);
            tokio::task::spawn_local(enumeration::serve_queries(front_end.clone(), socket));
        }
        platform.borrow_mut().set_look_up(front_end.clone(), enum_config.look_up_share);
        enum_front_end = Some(front_end);
    }
    let mut virtual_router = None;
    if let Some(vrrp_config) = config.vrrp.clone() {
        let socket = bind_udp("vrrp.listen", vrrp_config.listen).await?;
        info!(log, "virtual router"; "listen" => %socket.local_addr()?);
        let state_machine = vrrp::Router::new(vrrp_config.router, socket.local_addr()?);
        let router =
            VirtualRouter::new(state_machine, socket, vrrp_config.peers, is_active, clock, log.clone());
        tokio::task::spawn_local(standby::run(router.clone()));
        virtual_router = Some(router);
    }
    info!(log, "started"; "name" => &config.name, "listen" => %listener.local_addr()?);
    let accept_task = AcceptTask::start(platform.clone(), listener);
    let console = Console { name: config.name.clone(), platform, enum_front_end, virtual_router };
    let (platform, enum_front_end, virtual_router) =
        (console.platform.clone(), console.enum_front_end.clone(), console.virtual_router.clone());
    let has_console = config.has_console;
    let longest_deadline = config.settings.classes.iter().map(|c| c.deadline).max().unwrap_or_default();
    tokio::task::spawn_local(reload_on_sighup(sighup, path, config, console.clone(), log.clone()));
    let quit = async {
        match has_console {
            true => console::run(console, console::read_lines(), console::print_texts()).await,
            false => std::future::pending().await,
        }
    };
    tokio::select! {
        _ = sigterm.recv() => {}
        _ = sigint.recv() => {}
        () = quit => {}
    }
    info!(log, "stopping"; "unanswered" => platform.borrow().unanswered());
    platform.borrow_mut().drain();
    if let Some(router) = virtual_router {
        router.stop();
    }
    let schedule = ShutdownSchedule::new(longest_deadline);
    let stopping_since = tokio::time::Instant::now();
    tokio::time::sleep(schedule.close_idle_after).await;
    accept_task.stop.notify_one();
    let _ = accept_task.task.await;
    info!(log, "listener closed"; "unanswered" => platform.borrow().unanswered());
    let is_done = || {
        platform.borrow_mut().close_idle_clients();
        let look_ups = enum_front_end.as_ref().map_or(0, |f| f.borrow().pending_counts().0);
        !platform.borrow().has_clients() && look_ups == 0
    };
    while !is_done() && stopping_since.elapsed() < schedule.give_up_after {
        tokio::time::sleep(STOP_CHECK_INTERVAL).await;
    }
    info!(log, "giving up open requests"; "unanswered" => platform.borrow().unanswered());
    if let Some(front_end) = &enum_front_end {
        front_end.borrow_mut().give_up_all();
    }
    platform.borrow_mut().stop();
    while platform.borrow().has_clients() && stopping_since.elapsed() < schedule.exit_after {
        tokio::time::sleep(STOP_CHECK_INTERVAL).await;
    }
    // Lets other tasks write the answers of the ENUM front end and the releases at exchanges.
    tokio::time::sleep(STOP_CHECK_INTERVAL).await;
    for line in platform.borrow().metrics.encode().lines().filter(|line| !line.starts_with('#')) {
        info!(log, "counter at stop"; "series" => line);
    }
    info!(log, "stopped");
    Ok(())
}

/// Reads the configuration again on each SIGHUP. The file is read and validated on a separate thread, so that
/// calls are not delayed; an invalid file changes nothing.
async fn reload_on_sighup(
    mut sighup: Signal,
    path: PathBuf,
    mut current: Config,
    parts: Console,
    log: Logger,
) {
    while sighup.recv().await.is_some() {
        let path = path.clone();
        let loaded = tokio::task::spawn_blocking(move || load_config(&path).map_err(|e| e.to_string())).await;
        let new = match loaded.map_err(|e| e.to_string()) {
            Ok(Ok(new)) => new,
            Ok(Err(reason)) | Err(reason) => {
                warn!(log, "reload refused, the old configuration stays"; "reason" => reason);
                continue;
            }
        };
        let deferred = current.changes_needing_restart(&new);
        if !deferred.is_empty() {
            warn!(log, "changed, but taken up at the next start only"; "keys" => deferred.join(" "));
        }
        parts.platform.borrow_mut().reload(&new);
        if let (Some(front_end), Some(enum_config)) = (&parts.enum_front_end, &new.enum_front_end) {
            front_end.borrow_mut().reload(enum_config);
            parts.platform.borrow_mut().set_look_up(front_end.clone(), enum_config.look_up_share);
        }
        if let (Some(router), Some(vrrp_config)) = (&parts.virtual_router, &new.vrrp) {
            router.reload(vrrp_config);
        }
        info!(log, "reloaded"; "coordinator" => ?new.coordinator);
        current = new;
    }
}

/// The task that accepts client connections, with the signal that ends it.
struct AcceptTask {
    stop: Rc<Notify>,
    task: JoinHandle<()>,
}

impl AcceptTask {
    fn start(platform: Handle, listener: TcpListener) -> Self {
        let stop = Rc::new(Notify::new());
        let task = tokio::task::spawn_local(sockets::accept_clients(platform, listener, stop.clone()));
        Self { stop, task }
    }
}

async fn bind_udp(key: &str, address: SocketAddr) -> Result<UdpSocket, StartError> {
    Ok(UdpSocket::bind(address).await.map_err(|e| format!("{key}: {address}: {e}"))?)
}
