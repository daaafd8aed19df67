//! The connections on which the membership arrives from the coordinator.
//!
//! Usually there is one. A coordinator may be so crowded that it serves a connection only after some seconds, or may
//! never serve it, since it hangs. A connection that has received nothing is therefore kept while another one is
//! tried beside it, and the first one that receives a frame is used.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::rc::Rc;
use std::time::Duration;

use slog::{info, warn};
use tokio::task::JoinHandle;
use tokio::time::Instant;

use super::connection;
use super::platform::Handle;
use crate::protocol::coordinator;

/// Time without a frame after which a connection that has received one is given up, and after which another one is
/// tried beside one that has received none. The coordinator sends a frame every second.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2000);
/// Time after which a connection that has received no frame is given up.
const FIRST_FRAME_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of connections that wait for their first frame.
const MAX_WAITING: usize = 2;
/// Minimum time between two connects to the coordinator.
const MIN_CONNECT_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which the connections are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// What is known of one connection.
#[derive(Debug)]
struct SessionState {
    started_at: Instant,
    last_received_at: Cell<Instant>,
    has_frame: Cell<bool>,
}

/// A connection to the coordinator, and the task that reads on it.
struct Session {
    state: Rc<SessionState>,
    task: JoinHandle<()>,
}

impl Session {
    fn start(platform: &Handle, address: SocketAddr) -> Self {
        let now = Instant::now();
        let state =
            SessionState { started_at: now, last_received_at: Cell::new(now), has_frame: Cell::new(false) };
        let state = Rc::new(state);
        let task = tokio::task::spawn_local(run_session(platform.clone(), address, state.clone()));
        Self { state, task }
    }

    fn is_silent(&self) -> bool {
        let timeout = if self.state.has_frame.get() { SILENCE_TIMEOUT } else { FIRST_FRAME_TIMEOUT };
        self.state.last_received_at.get().elapsed() >= timeout
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        self.task.abort(); // also closes the connection
    }
}

/// Receives the membership from the coordinator. Connects again, asking for the events after the last one received,
/// whenever the connection ends, falls silent or a reload has changed the coordinator.
pub async fn follow_coordinator(platform: Handle) {
    let changed = platform.borrow().coordinator_changed.clone();
    loop {
        let address = platform.borrow().coordinator;
        let Some(address) = address else {
            changed.notified().await;
            continue;
        };
        tokio::select! {
            () = follow_address(&platform, address) => {}
            () = changed.notified() => {
                info!(platform.borrow().log, "coordinator changed"; "from" => %address);
            }
        }
    }
}

/// Keeps connections to one address until the future is dropped.
async fn follow_address(platform: &Handle, address: SocketAddr) {
    let mut sessions: Vec<Session> = Vec::new();
    let mut last_connect_at: Option<Instant> = None;
    loop {
        sessions.retain(|session| !session.task.is_finished());
        sessions.retain(|session| !session.is_silent() || report_silence(platform, address));
        if let Some(index) = sessions.iter().position(|session| session.state.has_frame.get()) {
            let used = sessions.swap_remove(index);
            sessions = vec![used];
        }
        let may_connect = last_connect_at.is_none_or(|at| at.elapsed() >= MIN_CONNECT_INTERVAL);
        if may_connect && needs_another(&sessions) {
            sessions.truncate(MAX_WAITING - 1); // the one that has waited longest keeps its place
            sessions.push(Session::start(platform, address));
            last_connect_at = Some(Instant::now());
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// Returns whether another connection is to be tried.
fn needs_another(sessions: &[Session]) -> bool {
    let is_waiting = |session: &Session| {
        session.state.has_frame.get() || session.state.started_at.elapsed() < SILENCE_TIMEOUT
    };
    !sessions.last().is_some_and(is_waiting)
}

/// Logs that a connection is given up since nothing arrives on it. Returns false: it is not kept.
fn report_silence(platform: &Handle, address: SocketAddr) -> bool {
    log_end(platform, address, &Err(io::ErrorKind::TimedOut.into()));
    false
}

fn log_end(platform: &Handle, address: SocketAddr, result: &io::Result<()>) {
    let (platform, reason) = (platform.borrow(), close_reason(result));
    info!(platform.log, "coordinator disconnected"; "address" => %address, "reason" => reason, "end" => ?result);
    platform.metrics.count_discovery_close(reason);
}

/// Connects to the coordinator and receives frames until the connection ends.
async fn run_session(platform: Handle, address: SocketAddr, state: Rc<SessionState>) {
    let result = receive_frames(&platform, address, &state).await;
    log_end(&platform, address, &result);
}

async fn receive_frames(platform: &Handle, address: SocketAddr, state: &SessionState) -> io::Result<()> {
    let (log, timeout) = (platform.borrow().log.clone(), platform.borrow().connect_timeout);
    let stream = connection::connect(address, timeout).await?;
    let writes = platform.borrow().server_buffer();
    let last_event = platform.borrow().last_event;
    writes.enqueue(&coordinator::hello(last_event));
    platform.borrow_mut().on_coordinator_asked();
    info!(log, "coordinator connected"; "address" => %address, "last_event" => last_event);
    let mut decoder = coordinator::Decoder::default();
    state.last_received_at.set(Instant::now());
    connection::run_connection(stream, &writes, |bytes| {
        state.last_received_at.set(Instant::now());
        decoder.feed(bytes);
        loop {
            match decoder.next_frame() {
                Ok(Some(frame)) => {
                    state.has_frame.set(true);
                    platform.borrow_mut().on_coordinator_frame(frame);
                }
                Ok(None) => return ControlFlow::Continue(()),
                Err(reason) => {
                    warn!(log, "coordinator frame malformed"; "reason" => reason);
                    return ControlFlow::Break(());
                }
            }
        }
    })
    .await
}

/// Returns why a connection to the coordinator has ended, as used in the log and in the metrics.
fn close_reason(result: &io::Result<()>) -> &'static str {
    match result {
        Ok(()) => "closed_by_peer",
        Err(e) if e.kind() == io::ErrorKind::TimedOut => "silent",
        Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => "refused",
        Err(_) => "socket_error",
    }
}
