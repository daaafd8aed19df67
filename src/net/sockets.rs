//! Tasks of the call front end. Each reads and writes on one socket and leaves all decisions to the front
//! end.

use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::rc::Rc;
use std::time::Duration;

use slog::{debug, warn};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::Notify;

use super::connection::{self, CloseReason, SharedWriteBuffer};
use super::exchange_pool::ConnectionId;
use super::platform::{Handle, MAX_DATAGRAM_SIZE};
use crate::interface::ExchangeId;
use crate::protocol::{jsonl, sip};

/// Pause after a failed accept, for instance because no descriptor is left.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// Interval of the front end's periodic checks.
const SWEEP_INTERVAL: Duration = Duration::from_millis(50);

/// Opens a connection to an exchange, and reads and writes on it until it ends.
pub async fn run_exchange_connection(
    platform: Handle,
    exchange: ExchangeId,
    id: ConnectionId,
    address: SocketAddr,
    timeout: Duration,
) {
    match connection::connect(address, timeout).await {
        Ok(stream) => {
            let writes: SharedWriteBuffer = platform.borrow().server_buffer();
            platform.borrow_mut().on_exchange_connected(&exchange, id, writes.clone());
            let mut decoder = jsonl::Decoder::default();
            let result = connection::run_connection(stream, &writes, |bytes| {
                decoder.feed(bytes);
                loop {
                    match decoder.next_message() {
                        Ok(Some(message)) => {
                            platform.borrow_mut().on_exchange_message(&exchange, id, &message)
                        }
                        Ok(None) => {
                            platform.borrow_mut().on_exchange_read(&exchange, id, decoder.has_partial_line());
                            return ControlFlow::Continue(());
                        }
                        Err(reason) => {
                            warn!(platform.borrow().log, "exchange message malformed"; "reason" => reason,
                                "connection_id" => id.0, "exchange_id" => &*exchange.0);
                            writes.close(CloseReason::MalformedMessage);
                            return ControlFlow::Break(());
                        }
                    }
                }
            })
            .await;
            let reason = writes.end_reason(&result);
            writes.close(reason);
            platform.borrow_mut().on_exchange_disconnected(&exchange, id, reason, &result);
        }
        Err(e) => platform.borrow_mut().on_exchange_connect_failed(&exchange, &e),
    }
}

/// Runs the timers and the periodic checks of the front end.
pub async fn run_timers(platform: Handle) {
    let (clock, rescheduled) = (platform.borrow().clock, platform.borrow().timers_changed.clone());
    connection::run_timers(platform, clock, rescheduled, SWEEP_INTERVAL).await;
}

/// Accepts client connections until `stop` is notified, then those that are already waiting.
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
        // Lets evicted connections close before the next one is accepted, if many arrive at once.
        tokio::task::yield_now().await;
    }
    while let Ok(Ok((stream, _))) = tokio::time::timeout(Duration::ZERO, listener.accept()).await {
        serve_client(&platform, stream);
    }
}

/// Admits a client connection, and starts the task that reads and writes on it until it ends.
fn serve_client(platform: &Handle, stream: TcpStream) {
    if stream.set_nodelay(true).is_err() {
        return; // the client has reset the connection already
    }
    let writes = platform.borrow().client_buffer();
    let Some(client) = platform.borrow_mut().on_client_connected(writes.clone()) else {
        debug!(platform.borrow().log, "client connection refused"; "reason" => "too many connections");
        platform.borrow().metrics.count_client_close("refused");
        return;
    };
    tokio::task::spawn_local(run_client(platform.clone(), client, stream, writes));
}

/// Reads and writes on a client connection until it ends.
async fn run_client(platform: Handle, client: u64, stream: TcpStream, writes: SharedWriteBuffer) {
    let mut decoder = sip::Decoder::default();
    let mut charged_bytes = 0;
    let result = connection::run_connection(stream, &writes, |bytes| {
        decoder.feed(bytes);
        loop {
            match decoder.next_message() {
                Ok(Some(message)) => platform.borrow_mut().on_client_message(client, message),
                Ok(None) => {
                    let buffered_bytes = decoder.buffered_bytes();
                    writes.account().give_back(std::mem::replace(&mut charged_bytes, buffered_bytes));
                    writes.account().take(buffered_bytes);
                    platform.borrow_mut().on_client_read(client, buffered_bytes > 0);
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
    let reason = writes.end_reason(&result);
    writes.close(reason);
    platform.borrow_mut().on_client_disconnected(client, reason, &result);
}

/// Receives the datagrams of other routers.
pub async fn receive_peer_datagrams(platform: Handle, socket: Rc<UdpSocket>) {
    platform.borrow_mut().set_peer_socket(socket.clone());
    let mut buffer = [0; 2 * MAX_DATAGRAM_SIZE];
    loop {
        let Ok((length, sender_address)) = socket.recv_from(&mut buffer).await else { continue };
        let sender = platform.borrow().peer_number(sender_address);
        let text = std::str::from_utf8(&buffer[..length]).ok().filter(|_| length <= MAX_DATAGRAM_SIZE);
        if let (Some(sender), Some(text)) = (sender, text) {
            platform.borrow_mut().on_peer_message(sender, text);
        }
    }
}
