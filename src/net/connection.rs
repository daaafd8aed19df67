//! The thin part between a state machine and a TCP socket.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::Notify;

/// What a connection keeps allocated for its output while nothing waits.
const RETAINED_CAPACITY: usize = 16 * 1024;
/// Bytes taken in one read.
const READ_SIZE: usize = 8 * 1024;
/// Reads of what has arrived by a connection's end, at most.
const MAX_FINAL_READS: usize = 8;
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
    pub fn instant_at(&self, at: Duration) -> tokio::time::Instant {
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
    limits: ConnectionLimits,
    budget: Rc<WriteBudget>,
    bytes: RefCell<Vec<u8>>,
    /// Bytes queued and not yet handed to the socket.
    waiting: Cell<usize>,
    closing: Cell<Option<CloseReason>>,
    /// Nothing more is written, queued or not.
    finished: Cell<bool>,
    wake: Notify,
}

/// What a connection may hold and how patiently it ends.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionLimits {
    /// Bytes that may wait for the peer whatever the other connections hold.
    pub fair_share: usize,
    /// Bytes that may wait while the budget of all connections has room.
    pub most: usize,
    /// When it is closed, what is queued is written for so long at most.
    pub flush_timeout: Duration,
    /// The peer's end is awaited for so long after that: unread bytes would turn the close into a reset, which
    /// can destroy the last answers.
    pub linger: Duration,
}

/// ConnectionLimits of a client's connection.
pub const CLIENT_LIMITS: ConnectionLimits = ConnectionLimits {
    fair_share: 48 * 1024,
    most: 1024 * 1024,
    flush_timeout: Duration::from_millis(500),
    linger: Duration::from_millis(100),
};
/// ConnectionLimits of a connection to an exchange or to the coordinator: its end is news, so it isn't waited for.
pub const SERVER_LIMITS: ConnectionLimits = ConnectionLimits {
    fair_share: 256 * 1024,
    most: 2 * 1024 * 1024,
    flush_timeout: Duration::from_millis(20),
    linger: Duration::ZERO,
};
/// Bytes that may wait on all client connections together, and on all connections to servers.
pub const WRITE_BUDGET: usize = 16 * 1024 * 1024;

/// Bytes that wait on all connections of a kind together.
#[derive(Debug)]
pub struct WriteBudget {
    total: usize,
    used: Cell<usize>,
}

impl WriteBudget {
    /// A budget of so many bytes.
    pub fn new(total: usize) -> Rc<Self> {
        Rc::new(Self { total, used: Cell::new(0) })
    }
}

impl WriteBuffer {
    /// An empty buffer within limits of its own and a budget that it shares.
    pub fn new(limits: ConnectionLimits, budget: Rc<WriteBudget>) -> Self {
        Self {
            limits,
            budget,
            bytes: RefCell::default(),
            waiting: Cell::new(0),
            closing: Cell::new(None),
            finished: Cell::new(false),
            wake: Notify::new(),
        }
    }

    /// Queues bytes; a peer that lets too many wait is cut off. A connection that is closing still takes
    /// what answers the requests read before its end.
    pub fn enqueue(&self, bytes: &[u8]) {
        if self.finished.get() {
            return;
        }
        let waiting = self.waiting.get() + bytes.len();
        let is_over_share = waiting > self.limits.fair_share;
        let is_over_budget = self.budget.used.get() + bytes.len() > self.budget.total;
        if waiting > self.limits.most || (is_over_share && is_over_budget) {
            return self.abort(CloseReason::WriteBufferFull);
        }
        self.account(bytes.len(), 0);
        self.bytes.borrow_mut().extend_from_slice(bytes);
        self.wake.notify_one();
    }

    /// Closes the connection once what is queued has been written.
    pub fn close(&self, reason: CloseReason) {
        self.mark_closing(reason);
        self.wake.notify_one();
    }

    /// Ends the connection at once; what is queued is dropped.
    fn abort(&self, reason: CloseReason) {
        self.finished.set(true);
        self.account(0, self.bytes.take().len());
        self.close(reason);
    }

    fn account(&self, added: usize, removed: usize) {
        self.waiting.set(self.waiting.get() + added - removed);
        self.budget.used.set(self.budget.used.get() + added - removed);
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

    /// Whether the connection goes on.
    pub fn is_open(&self) -> bool {
        self.closing.get().is_none()
    }
}

impl Drop for WriteBuffer {
    fn drop(&mut self) {
        self.account(0, self.waiting.get());
    }
}

/// Reads and writes until the peer closes, the socket fails, or the buffer is closed. Whatever has arrived by
/// then is handed to `on_bytes` first, and what that queues is still written.
///
/// # Errors
/// What the socket reports, a reset among others.
pub async fn run_connection(
    stream: TcpStream,
    writes: &WriteBuffer,
    on_bytes: impl FnMut(&[u8]) -> ControlFlow<()>,
) -> io::Result<()> {
    let (reader, writer) = stream.into_split();
    let mut connection =
        Connection { reader, writer, writes, on_bytes, reading: true, output: Vec::new(), written: 0 };
    let ended = connection.run().await;
    writes.finished.set(true);
    ended
}

/// One connection and the bytes that it is writing.
struct Connection<'a, F> {
    reader: OwnedReadHalf,
    writer: OwnedWriteHalf,
    writes: &'a WriteBuffer,
    on_bytes: F,
    /// Bytes are taken; once `on_bytes` breaks off, only what is queued is written until the buffer is closed.
    reading: bool,
    output: Vec<u8>,
    written: usize,
}

impl<F: FnMut(&[u8]) -> ControlFlow<()>> Connection<'_, F> {
    async fn run(&mut self) -> io::Result<()> {
        let mut input = vec![0; READ_SIZE];
        while self.writes.is_open() {
            self.take_queued();
            tokio::select! {
                read = self.reader.read(&mut input), if self.reading => {
                    let n = read?;
                    if n == 0 {
                        self.write_at_once();
                        return Ok(());
                    }
                    self.hand_over(&input[..n]);
                }
                wrote = self.writer.write(&self.output[self.written..]), if self.has_output() => {
                    match wrote {
                        Ok(n) => self.advance(n),
                        Err(e) => {
                            self.read_arrived(&mut input);
                            return Err(e);
                        }
                    }
                }
                () = self.writes.wake.notified() => {}
            }
        }
        self.end(&mut input).await
    }

    fn has_output(&self) -> bool {
        self.written < self.output.len()
    }

    fn take_queued(&mut self) {
        if self.has_output() {
            return;
        }
        if self.output.capacity() > RETAINED_CAPACITY {
            self.output = Vec::new();
        }
        self.output.clear();
        self.written = 0;
        std::mem::swap(&mut self.output, &mut self.writes.bytes.borrow_mut());
    }

    fn advance(&mut self, n: usize) {
        self.written += n;
        self.writes.account(0, n);
    }

    /// Writes what is queued, takes what has arrived, and closes. Bytes that arrive after that cross the end.
    async fn end(&mut self, input: &mut [u8]) -> io::Result<()> {
        let limits = self.writes.limits;
        // A peer that reads nothing is not waited for.
        match tokio::time::timeout(limits.flush_timeout, self.answer_arrived(input)).await {
            Ok(flushed) => flushed?,
            Err(_) => return Ok(()),
        }
        self.writes.finished.set(true);
        self.writer.shutdown().await?;
        if self.writes.close_reason() != Some(CloseReason::Evicted) {
            let _ = tokio::time::timeout(limits.linger, self.discard(input)).await;
        }
        Ok(())
    }

    async fn answer_arrived(&mut self, input: &mut [u8]) -> io::Result<()> {
        for _ in 0..MAX_FINAL_READS {
            self.flush().await?;
            if !self.read_arrived(input) {
                break;
            }
        }
        self.flush().await
    }

    fn hand_over(&mut self, bytes: &[u8]) {
        self.reading = (self.on_bytes)(bytes).is_continue();
    }

    /// Writes what is queued as far as it goes without waiting: the peer may have closed one direction only.
    fn write_at_once(&mut self) {
        self.take_queued();
        while let (true, Ok(n @ 1..)) =
            (self.has_output(), self.writer.try_write(&self.output[self.written..]))
        {
            self.advance(n);
            self.take_queued();
        }
    }

    async fn flush(&mut self) -> io::Result<()> {
        loop {
            self.take_queued();
            if !self.has_output() {
                return Ok(());
            }
            let n = self.writer.write(&self.output[self.written..]).await?;
            self.advance(n);
        }
    }

    /// Hands over what has arrived, without waiting; false if nothing has.
    fn read_arrived(&mut self, input: &mut [u8]) -> bool {
        let mut arrived = false;
        while let (true, Ok(n @ 1..)) = (self.reading, self.reader.try_read(input)) {
            arrived = true;
            self.hand_over(&input[..n]);
            if n < input.len() {
                break;
            }
        }
        arrived
    }

    async fn discard(&mut self, input: &mut [u8]) {
        while let Ok(1..) = self.reader.read(input).await {}
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

/// A front with work that is due at certain times.
pub trait TimerDriven {
    /// Returns when [`TimerDriven::run_due`] has to be called next.
    fn next_due(&self) -> Option<Duration>;
    /// Runs the work that is due.
    fn run_due(&mut self, now: Duration);
    /// Runs the periodic checks that have no timer of their own.
    fn sweep(&mut self, now: Duration);
}

/// Calls [`TimerDriven::run_due`] when it is due and [`TimerDriven::sweep`] once per `sweep_interval`.
///
/// `rescheduled` is notified whenever work may have become due earlier than before.
pub async fn run_timers<T: TimerDriven>(
    front: Rc<RefCell<T>>,
    clock: Clock,
    rescheduled: Rc<Notify>,
    sweep_interval: Duration,
) {
    let mut next_sweep = clock.now();
    loop {
        let next = front.borrow().next_due().map_or(next_sweep, |at| at.min(next_sweep));
        tokio::select! {
            () = tokio::time::sleep_until(clock.instant_at(next)) => {}
            () = rescheduled.notified() => {}
        }
        let mut front = front.borrow_mut();
        let now = clock.now();
        if front.next_due().is_some_and(|at| at <= now) {
            front.run_due(now);
        }
        if now >= next_sweep {
            next_sweep = now + sweep_interval;
            front.sweep(now);
        }
    }
}
