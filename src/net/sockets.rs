//! The tasks of the platform's front: each reads and writes on one socket, and knows no more than that.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::rc::Rc;
use std::time::Duration;

use slog::{debug, info, warn};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::Notify;
use tokio::time::Instant;

use super::connection::{self, CloseReason, SharedWriteBuffer};
use super::exchange_pool::ConnectionId;
use super::platform::{Handle, MAX_DATAGRAM_SIZE};
use crate::interface::ExchangeId;
use crate::protocol::{coordinator, jsonl, sip};

/// No word from the coordinator for so long, though a frame follows each second: it is connected anew.
const COORDINATOR_SILENCE_TIMEOUT: Duration = Duration::from_millis(2000);
/// Two connects to it are so far apart at least.
const MIN_COORDINATOR_CONNECT_INTERVAL: Duration = Duration::from_millis(100);
/// Pause after a failed accept, as when no descriptor is left.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// How often pools are looked after.
const SWEEP_INTERVAL: Duration = Duration::from_millis(50);

/// Opens a connection to an exchange, and reads and writes on it until it ends.
pub async fn run_exchange_connection(
    platform: Handle,
    exchange: ExchangeId,
    id: ConnectionId,
    address: SocketAddr,
    within: Duration,
) {
    match connection::connect(address, within).await {
        Ok(stream) => {
            let writes: SharedWriteBuffer = platform.borrow().server_buffer();
            platform.borrow_mut().on_exchange_connected(&exchange, id, writes.clone());
            let mut decoder = jsonl::Decoder::default();
            let ended = connection::run_connection(stream, &writes, |bytes| {
                decoder.feed(bytes);
                loop {
                    match decoder.take() {
                        Ok(Some(line)) => platform.borrow_mut().on_exchange_line(&exchange, id, &line),
                        Ok(None) => {
                            platform.borrow_mut().on_exchange_read(&exchange, id, decoder.is_amid());
                            return ControlFlow::Continue(());
                        }
                        Err(why) => {
                            warn!(platform.borrow().log, "exchange message malformed"; "reason" => why,
                                "connection_id" => id.0, "exchange_id" => &*exchange.0);
                            writes.close(CloseReason::MalformedMessage);
                            return ControlFlow::Break(());
                        }
                    }
                }
            })
            .await;
            let reason = writes.end_reason(&ended);
            writes.close(reason);
            platform.borrow_mut().on_exchange_disconnected(&exchange, id, reason, &ended);
        }
        Err(e) => platform.borrow_mut().on_exchange_connect_failed(&exchange, &e),
    }
}

/// Does what is due, when it is due, and looks after the pools.
pub async fn run_timers(platform: Handle) {
    let (clock, due) = (platform.borrow().clock, platform.borrow().timers_changed.clone());
    connection::run_timers(platform, clock, due, SWEEP_INTERVAL).await;
}

/// Accepts client connections until `stop`, then once more those that wait already.
pub async fn accept_clients(platform: Handle, listener: TcpListener, stop: Rc<Notify>) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.notified() => break,
        };
        match accepted {
            Ok((stream, _)) => serve_client(&platform, stream),
            Err(e) => {
                warn!(platform.borrow().log, "accept failed"; "error" => %e);
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
        // In a rush of connections, those that make room are closed before the next is accepted.
        tokio::task::yield_now().await;
    }
    while let Ok(Ok((stream, _))) = tokio::time::timeout(Duration::ZERO, listener.accept()).await {
        serve_client(&platform, stream);
    }
}

/// Admits a client connection, and starts the task that reads and writes on it until it ends.
fn serve_client(platform: &Handle, stream: TcpStream) {
    if stream.set_nodelay(true).is_err() {
        return; // the client has reset it already
    }
    let writes = platform.borrow().client_buffer();
    let Some(client) = platform.borrow_mut().on_client_connected(writes.clone()) else {
        debug!(platform.borrow().log, "client connection refused"; "reason" => "too many connections");
        platform.borrow().metrics.count_client_close("refused");
        return;
    };
    tokio::task::spawn_local(run_client(platform.clone(), client, stream, writes));
}

async fn run_client(platform: Handle, client: u64, stream: TcpStream, writes: SharedWriteBuffer) {
    let mut decoder = sip::Decoder::default();
    let ended = connection::run_connection(stream, &writes, |bytes| {
        decoder.feed(bytes);
        loop {
            match decoder.take() {
                Ok(Some(message)) => platform.borrow_mut().on_client_message(client, message),
                Ok(None) => {
                    platform.borrow_mut().on_client_read(client, decoder.is_amid());
                    return ControlFlow::Continue(());
                }
                Err(e) => {
                    platform.borrow_mut().on_malformed_message(client, &e);
                    return ControlFlow::Break(());
                }
            }
        }
    })
    .await;
    let reason = writes.end_reason(&ended);
    writes.close(reason);
    platform.borrow_mut().on_client_disconnected(client, reason, &ended);
}

/// Follows the coordinator: connects anew when it breaks off, falls silent or is changed by a reload, each
/// time from the last event held.
pub async fn follow_coordinator(platform: Handle) {
    let (log, within) = (platform.borrow().log.clone(), platform.borrow().connect_timeout);
    let moved = platform.borrow().coordinator_changed.clone();
    loop {
        let Some(at) = platform.borrow().coordinator else {
            moved.notified().await;
            continue;
        };
        let (begun, heard) = (Instant::now(), Cell::new(Instant::now()));
        let listen = async {
            let stream = connection::connect(at, within).await?;
            let writes = platform.borrow().server_buffer();
            let last_event = platform.borrow().last_event;
            writes.enqueue(&coordinator::hello(last_event));
            info!(log, "coordinator connected"; "at" => %at, "last_event" => last_event);
            let mut decoder = coordinator::Decoder::default();
            heard.set(Instant::now());
            let pump = connection::run_connection(stream, &writes, |bytes| {
                heard.set(Instant::now());
                decoder.feed(bytes);
                loop {
                    match decoder.take() {
                        Ok(Some(frame)) => platform.borrow_mut().on_coordinator_frame(frame),
                        Ok(None) => return ControlFlow::Continue(()),
                        Err(why) => {
                            warn!(log, "coordinator frame malformed"; "reason" => why);
                            return ControlFlow::Break(());
                        }
                    }
                }
            });
            // Guards against a coordinator that stops but keeps its connection open.
            let watch = async {
                while heard.get().elapsed() < COORDINATOR_SILENCE_TIMEOUT {
                    tokio::time::sleep_until(heard.get() + COORDINATOR_SILENCE_TIMEOUT).await;
                }
                Err(io::ErrorKind::TimedOut.into())
            };
            tokio::select! {
                ended = pump => ended,
                silent = watch => silent,
            }
        };
        tokio::select! {
            ended = listen => {
                let reason = coordinator_close_reason(&ended);
                info!(log, "coordinator disconnected"; "at" => %at, "reason" => reason, "end" => ?ended);
                platform.borrow().metrics.count_discovery_close(reason);
            }
            () = moved.notified() => {
                info!(log, "coordinator changed"; "from" => %at);
                continue;
            }
        }
        // Asked again at once, but not in a spin if nobody is there.
        tokio::select! {
            () = tokio::time::sleep_until(begun + MIN_COORDINATOR_CONNECT_INTERVAL) => {}
            () = moved.notified() => {}
        }
    }
}

/// Why a connection to the coordinator has ended.
fn coordinator_close_reason(ended: &io::Result<()>) -> &'static str {
    match ended {
        Ok(()) => "closed_by_peer",
        Err(e) if e.kind() == io::ErrorKind::TimedOut => "silent",
        Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => "refused",
        Err(_) => "socket_error",
    }
}

/// Takes datagrams of other routers.
pub async fn receive_peer_datagrams(platform: Handle, socket: Rc<UdpSocket>) {
    platform.borrow_mut().set_peer_socket(socket.clone());
    let mut buffer = [0; 2 * MAX_DATAGRAM_SIZE];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else { continue };
        let sender = platform.borrow().peer_number(from);
        let text = std::str::from_utf8(&buffer[..length]).ok().filter(|_| length <= MAX_DATAGRAM_SIZE);
        if let (Some(sender), Some(text)) = (sender, text) {
            platform.borrow_mut().on_peer_message(sender, text);
        }
    }
}
