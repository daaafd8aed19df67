//! The thin part between a state machine and a TCP socket.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::Notify;

/// Bytes that may wait for a slow peer, a caller and an exchange; beyond it the connection is closed.
///
/// Guards the memory limit: one peer that stops reading must not take the room of all others. ClientConnections are
/// many, exchanges few.
pub const WRITE_BUFFER_LIMITS: (usize, usize) = (48 * 1024, 256 * 1024);
/// What a connection keeps allocated for its output while nothing waits.
const RETAINED_CAPACITY: usize = 16 * 1024;
/// Connections waiting to be accepted.
const ACCEPT_BACKLOG: u32 = 512;

/// The Unix clock, read once; it never steps back.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix: Duration,
}

impl Clock {
    /// Reads the system's clock.
    pub fn new() -> Self {
        let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        Self { start: Instant::now(), unix: unix.unwrap_or_default() }
    }

    /// Time since the Unix epoch.
    pub fn now(&self) -> Duration {
        self.unix + self.start.elapsed()
    }

    /// The instant at which the clock shows `at`.
    pub fn instant(&self, at: Duration) -> tokio::time::Instant {
        (self.start + at.saturating_sub(self.unix)).into()
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

/// Why a connection is closed or has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CloseReason {
    /// The peer closed it.
    ClosedByPeer,
    /// The socket reported an error, a reset among others.
    SocketError,
    /// The bytes on it are no message of the protocol.
    MalformedMessage,
    /// Too many messages that can't be served.
    ProtocolErrors,
    /// A message was begun and not completed in time.
    MessageTimeout,
    /// No message came in time.
    Silent,
    /// Nothing was open on it for long.
    Idle,
    /// It made room for another connection.
    Evicted,
    /// The peer let too many bytes wait.
    WriteBufferFull,
    /// News that others were told did not arrive on it.
    Stalled,
    /// Its exchange has left the membership.
    Removed,
    /// The router stops.
    Shutdown,
}

impl CloseReason {
    /// The word used in the log and in the metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::ClosedByPeer => "closed_by_peer",
            Self::SocketError => "socket_error",
            Self::MalformedMessage => "malformed_message",
            Self::ProtocolErrors => "protocol_errors",
            Self::MessageTimeout => "message_timeout",
            Self::Silent => "silent",
            Self::Idle => "idle",
            Self::Evicted => "evicted",
            Self::WriteBufferFull => "write_buffer_full",
            Self::Stalled => "stalled",
            Self::Removed => "removed",
            Self::Shutdown => "shutdown",
        }
    }
}

/// What is to be written on a connection, and whether it is to be closed.
#[derive(Debug)]
pub struct WriteBuffer {
    backlog: usize,
    bytes: RefCell<Vec<u8>>,
    closing: Cell<Option<CloseReason>>,
    wake: Notify,
}

impl WriteBuffer {
    /// An writes that takes so many bytes.
    pub fn new(backlog: usize) -> Self {
        Self { backlog, bytes: RefCell::default(), closing: Cell::new(None), wake: Notify::new() }
    }

    /// Queues bytes; a peer that has let too many wait is cut off.
    pub fn enqueue(&self, bytes: &[u8]) {
        let mut queue = self.bytes.borrow_mut();
        if queue.len() + bytes.len() > self.backlog {
            self.mark_closing(CloseReason::WriteBufferFull);
            queue.clear();
        } else if self.is_open() {
            queue.extend_from_slice(bytes);
        }
        self.wake.notify_one();
    }

    /// Closes the connection once what is queued has been written.
    pub fn close(&self, reason: CloseReason) {
        self.mark_closing(reason);
        self.wake.notify_one();
    }

    /// Why its connection has ended, from how the connection loop ended.
    pub fn end_reason(&self, ended: &io::Result<()>) -> CloseReason {
        match (self.close_reason(), ended) {
            (Some(reason), _) => reason,
            (None, Ok(())) => CloseReason::ClosedByPeer,
            (None, Err(_)) => CloseReason::SocketError,
        }
    }

    fn mark_closing(&self, reason: CloseReason) {
        self.closing.set(self.closing.get().or(Some(reason)));
    }

    /// Why it is closing; the first reason given counts.
    pub fn close_reason(&self) -> Option<CloseReason> {
        self.closing.get()
    }

    /// Whether more may be queued.
    pub fn is_open(&self) -> bool {
        self.closing.get().is_none()
    }
}

/// Reads and writes until either side closes.
///
/// # Errors
/// What the socket reports, a reset among others.
pub async fn run_connection(
    stream: TcpStream,
    writes: &WriteBuffer,
    mut on_bytes: impl FnMut(&[u8]) -> ControlFlow<()>,
) -> io::Result<()> {
    let (mut reader, mut writer) = stream.into_split();
    let mut input = vec![0; 8 * 1024];
    let mut output: Vec<u8> = Vec::new();
    let mut written = 0;
    loop {
        if written == output.len() {
            if output.capacity() > RETAINED_CAPACITY {
                // Guards memory against the longest backlog of each of many connections.
                output = Vec::new();
            }
            output.clear();
            written = 0;
            std::mem::swap(&mut output, &mut writes.bytes.borrow_mut());
            if output.is_empty() && !writes.is_open() {
                return Ok(());
            }
        }
        tokio::select! {
            read = reader.read(&mut input) => {
                let n = read?;
                // Guards against a set-up that is taken up on a connection already marked for closing: its
                // caller sends it again.
                if n == 0 || !writes.is_open() || on_bytes(&input[..n]).is_break() {
                    // What was queued as a last word is still written, as far as it goes at once.
                    output.drain(..written);
                    output.append(&mut writes.bytes.borrow_mut());
                    let _ = writer.try_write(&output);
                    return Ok(());
                }
            }
            wrote = writer.write(&output[written..]), if written < output.len() => written += wrote?,
            () = writes.wake.notified() => {
                // Guards against a peer that reads nothing: once cut off it is not waited for.
                if !writes.is_open() && written < output.len() && writes.bytes.borrow().is_empty() {
                    let _ = writer.try_write(&output[written..]);
                    return Ok(());
                }
            }
        }
    }
}

/// Connects within a time.
///
/// # Errors
/// `TimedOut` when the time is over, or what the socket reports.
pub async fn connect(to: SocketAddr, within: Duration) -> io::Result<TcpStream> {
    let stream = tokio::time::timeout(within, TcpStream::connect(to)).await??;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Listens at an address, also right after an earlier life of the program used it.
///
/// # Errors
/// What the socket reports.
pub fn listen(at: SocketAddr) -> io::Result<tokio::net::TcpListener> {
    let socket = if at.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(at)?;
    socket.listen(ACCEPT_BACKLOG)
}

/// A shared writes.
pub type SharedWriteBuffer = Rc<WriteBuffer>;

/// A front that has things to do at certain times.
pub trait Timed {
    /// When [`Timed::wake`] is due.
    fn next_due(&self) -> Option<Duration>;
    /// Does what is due.
    fn wake(&mut self, now: Duration);
    /// Looks after what has no time of its own.
    fn sweep(&mut self, now: Duration);
}

/// Does what is due, when it is due, and looks after the rest at an interval; `changed` tells of earlier
/// due times.
pub async fn keep_time<T: Timed>(front: Rc<RefCell<T>>, clock: Clock, changed: Rc<Notify>, every: Duration) {
    let mut look = clock.now();
    loop {
        let next = front.borrow().next_due().map_or(look, |at| at.min(look));
        tokio::select! {
            () = tokio::time::sleep_until(clock.instant(next)) => {}
            () = changed.notified() => {}
        }
        let mut front = front.borrow_mut();
        let now = clock.now();
        if front.next_due().is_some_and(|at| at <= now) {
            front.wake(now);
        }
        if now >= look {
            look = now + every;
            front.sweep(now);
        }
    }
}
