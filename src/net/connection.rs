//! TCP connections with a buffered writer, and the timers of the front ends.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::poll_fn;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Poll};
use std::time::{Duration, Instant};

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::io::ioctl_fionread;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt, ReadBuf};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::Notify;

use crate::call::budget::{Account, Budget, Charge};

/// Size in bytes up to which queued messages are joined, to be written in one piece.
const CHUNK_SIZE: usize = 16 * 1024;
/// Size of the buffer for reads; the limits of a connection may allow less per read.
const READ_SIZE: usize = 8 * 1024;
/// Maximum number of bytes per read when what arrives is dropped.
const DISCARD_SIZE: usize = 512;
/// Maximum number of times that a connection being closed is checked for bytes that have already arrived.
const MAX_FINAL_READS: usize = 8;
/// Maximum number of bytes that are read in one go when a connection has ended or is being closed. A peer that
/// goes on sending must not hold up the others.
const MAX_FINAL_BYTES: usize = 64 * 1024;
/// Interval at which a peer from which nothing is read is checked for having closed its side.
const PEER_CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
const NO_WAIT: Timespec = Timespec { tv_sec: 0, tv_nsec: 0 };
/// Maximum number of connections that wait to be accepted.
const ACCEPT_BACKLOG: u32 = 512;

/// Monotonic clock that shows Unix time. The system's clock is read only once, so later steps have no effect.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix: Duration,
}

impl Clock {
    /// Creates a clock set by the system's clock.
    pub fn new() -> Self {
        let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        Self { start: Instant::now(), unix: unix.unwrap_or_default() }
    }

    /// Returns the time since the Unix epoch.
    pub fn now(&self) -> Duration {
        self.unix + self.start.elapsed()
    }

    /// Returns the instant at which the clock shows `time`.
    pub fn instant_at(&self, time: Duration) -> tokio::time::Instant {
        (self.start + time.saturating_sub(self.unix)).into()
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

/// Reason for which a connection is closed or has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CloseReason {
    /// The peer closed it.
    ClosedByPeer,
    /// The socket reported an error, such as a reset.
    SocketError,
    /// The bytes received are not a message of the protocol.
    MalformedMessage,
    /// The peer sent too many messages that can't be served.
    ProtocolErrors,
    /// A message was not completed in time.
    MessageTimeout,
    /// The first message did not arrive in time.
    Silent,
    /// No request has been open for a long time.
    Idle,
    /// It was closed so that another connection could be opened.
    Evicted,
    /// The peer read too slowly, so that too many bytes were waiting to be sent.
    WriteBufferFull,
    /// The peer has read nothing for a long time.
    WriteStalled,
    /// Group states arrived on other connections but not on this one.
    Stalled,
    /// The exchange is no longer listed.
    Removed,
    /// The router stops.
    Shutdown,
}

impl CloseReason {
    /// Returns the name used in the log and in the metrics.
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
            Self::WriteStalled => "write_stalled",
            Self::Stalled => "stalled",
            Self::Removed => "removed",
            Self::Shutdown => "shutdown",
        }
    }
}

/// Bytes to be written on a connection, and whether the connection is to be closed.
#[derive(Debug)]
pub struct WriteBuffer {
    limits: ConnectionLimits,
    /// Memory taken by the buffers of the connection: its unsent bytes, and what its owner charges to it.
    account: Account,
    /// Queued bytes in the order in which they are written.
    chunks: RefCell<VecDeque<Vec<u8>>>,
    /// What the unsent bytes are charged to, in the order in which they are written.
    segments: RefCell<VecDeque<Segment>>,
    /// Number of unsent bytes that are charged to the account.
    unsent: Cell<usize>,
    close_reason: Cell<Option<CloseReason>>,
    /// Whether further bytes are discarded, since nothing more is written.
    is_finished: Cell<bool>,
    /// Whether nothing is read, since the peer has caused too much work.
    is_throttled: Cell<bool>,
    /// Whether the peer has closed its side, although what it sent before may still be unread.
    has_peer_closed: Cell<bool>,
    /// Number of bytes that were known to be unread when the last read ended.
    unread: Cell<usize>,
    /// Notified when bytes are queued or the connection is to be closed.
    changed: Notify,
}

/// Unsent bytes with the same charge.
#[derive(Debug)]
struct Segment {
    length: usize,
    /// What the bytes are charged to; `None` for the account of the connection.
    charge: Option<Charge>,
}

/// What happens when a connection has too many unsent bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Overflow {
    /// The connection is aborted.
    Abort,
    /// Nothing more is read until enough has been written, so that the peer causes no further answers.
    PauseReading,
}

/// Limits on the unsent bytes of a connection and on the time that its close may take.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionLimits {
    /// Maximum number of bytes per read. The other connections have their turn after each read.
    pub max_read: usize,
    /// Whether to find out, before bytes are handled, whether the peer has closed its side since it sent them, and
    /// whether it has sent more.
    pub watches_peer_close: bool,
    /// Number of unsent bytes allowed in any case, even if the shared budget is exhausted.
    pub guaranteed_unsent: usize,
    /// Maximum number of unsent bytes, allowed only within the shared budget.
    pub max_unsent: usize,
    /// What happens beyond these limits.
    pub overflow: Overflow,
    /// Time without progress after which a connection with unsent bytes is aborted.
    pub stall_timeout: Duration,
    /// Maximum time for writing the queued bytes when the connection is closed.
    pub flush_timeout: Duration,
    /// Time to wait after that for the peer to close its side. Unread bytes would turn the close into a
    /// reset, which can destroy the last answers.
    pub linger: Duration,
}

/// Limits of a client connection. The answers to its requests are not subject to them.
pub const CLIENT_LIMITS: ConnectionLimits = ConnectionLimits {
    max_read: 2 * 1024,
    watches_peer_close: true,
    guaranteed_unsent: 48 * 1024,
    max_unsent: 1024 * 1024,
    overflow: Overflow::PauseReading,
    stall_timeout: Duration::from_secs(10),
    flush_timeout: Duration::from_millis(500),
    linger: Duration::from_millis(100),
};
/// Limits of a connection to an exchange or to the coordinator. Its close does not wait for the peer, since
/// the router must learn of its end without delay.
pub const SERVER_LIMITS: ConnectionLimits = ConnectionLimits {
    max_read: READ_SIZE,
    watches_peer_close: false,
    guaranteed_unsent: 256 * 1024,
    max_unsent: 2 * 1024 * 1024,
    overflow: Overflow::Abort,
    stall_timeout: Duration::MAX,
    flush_timeout: Duration::from_millis(20),
    linger: Duration::ZERO,
};

impl WriteBuffer {
    /// Creates an empty buffer with its own limits, whose bytes are taken from a shared budget.
    pub fn new(limits: ConnectionLimits, budget: Rc<Budget>) -> Self {
        Self {
            limits,
            account: Account::new(budget),
            chunks: RefCell::default(),
            segments: RefCell::default(),
            unsent: Cell::new(0),
            close_reason: Cell::new(None),
            is_finished: Cell::new(false),
            is_throttled: Cell::new(false),
            has_peer_closed: Cell::new(false),
            unread: Cell::new(0),
            changed: Notify::new(),
        }
    }

    /// Returns the account to which the buffers of the connection are charged.
    pub fn account(&self) -> &Account {
        &self.account
    }

    /// Queues bytes. If too many bytes are unsent, the connection is aborted instead, unless its limits say
    /// that reading is paused.
    ///
    /// A connection that is closing still accepts bytes, for the answers to requests that were read before.
    pub fn enqueue(&self, bytes: &[u8]) {
        if self.is_finished.get() {
            return;
        }
        if self.limits.overflow == Overflow::Abort && self.exceeds_limits(bytes.len()) {
            return self.abort(CloseReason::WriteBufferFull);
        }
        self.account.take(bytes.len());
        self.unsent.set(self.unsent.get() + bytes.len());
        self.append(bytes, None);
    }

    /// Queues the answer to a request whose memory has been charged. The answer takes its place, so that it is
    /// subject to no limit; the charge ends when the answer has been written.
    pub fn enqueue_answer(&self, bytes: &[u8], mut charge: Charge) {
        if self.is_finished.get() {
            return;
        }
        charge.raise_to(bytes.len());
        self.append(bytes, Some(charge));
    }

    /// Adds bytes to the last chunk if they fit there, else as a new chunk.
    fn append(&self, bytes: &[u8], charge: Option<Charge>) {
        let (mut chunks, mut segments) = (self.chunks.borrow_mut(), self.segments.borrow_mut());
        match segments.back_mut().filter(|last| last.charge.is_none() && charge.is_none()) {
            Some(last) => last.length += bytes.len(),
            None => segments.push_back(Segment { length: bytes.len(), charge }),
        }
        match chunks.back_mut().filter(|last| last.len() + bytes.len() <= CHUNK_SIZE) {
            Some(last) => last.extend_from_slice(bytes),
            None => chunks.push_back(bytes.to_vec()),
        }
        self.changed.notify_one();
    }

    /// Returns whether too many bytes would be unsent if `added` bytes were queued.
    fn exceeds_limits(&self, added: usize) -> bool {
        let unsent = self.unsent.get() + added;
        let is_over_guarantee = unsent > self.limits.guaranteed_unsent;
        is_over_guarantee && (unsent > self.limits.max_unsent || !self.account.allows(added))
    }

    /// Returns whether nothing is read because too many bytes are unsent or the peer is throttled.
    pub fn is_reading_paused(&self) -> bool {
        let is_full = self.limits.overflow == Overflow::PauseReading && self.exceeds_limits(0);
        is_full || self.is_throttled.get()
    }

    /// Sets whether nothing is read because the peer has caused too much work.
    pub fn set_throttled(&self, is_throttled: bool) {
        if self.is_throttled.replace(is_throttled) != is_throttled {
            self.changed.notify_one();
        }
    }

    /// Returns whether the peer is known to have closed its side. What it sent before may still be unread.
    pub fn has_peer_closed(&self) -> bool {
        self.has_peer_closed.get()
    }

    /// Returns how many bytes had arrived beyond those that were read last.
    pub fn unread(&self) -> usize {
        self.unread.get()
    }

    /// Finds out whether more has arrived than the bytes that were just read.
    fn check_unread(&self, reader: &OwnedReadHalf, read: usize) {
        let may_have_unread = self.limits.watches_peer_close && read >= self.limits.max_read;
        let unread = if may_have_unread { ioctl_fionread(reader.as_ref()).unwrap_or(0) } else { 0 };
        self.unread.set(usize::try_from(unread).unwrap_or(usize::MAX));
    }

    /// Finds out whether the peer has closed its side, without reading.
    fn check_peer_close(&self, reader: &OwnedReadHalf) {
        if !self.limits.watches_peer_close || self.has_peer_closed.get() {
            return;
        }
        let mut fds = [PollFd::new(reader.as_ref(), PollFlags::RDHUP)];
        let closed = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        let is_found = poll(&mut fds, Some(&NO_WAIT)).is_ok_and(|found| found > 0);
        self.has_peer_closed.set(is_found && fds[0].revents().intersects(closed));
    }

    /// Closes the connection once the queued bytes have been written.
    pub fn close(&self, reason: CloseReason) {
        self.mark_closing(reason);
        self.changed.notify_one();
    }

    /// Closes the connection at once and drops the queued bytes.
    fn abort(&self, reason: CloseReason) {
        self.is_finished.set(true);
        let dropped = self.chunks.take().iter().map(Vec::len).sum();
        self.on_sent(dropped);
        self.close(reason);
    }

    /// Records that bytes were written or dropped.
    fn on_sent(&self, mut count: usize) {
        let mut segments = self.segments.borrow_mut();
        while let (true, Some(first)) = (count > 0, segments.front_mut()) {
            let sent = count.min(first.length);
            (count, first.length) = (count - sent, first.length - sent);
            if first.charge.is_none() {
                self.unsent.set(self.unsent.get() - sent);
                self.account.give_back(sent);
            }
            if first.length == 0 {
                segments.pop_front();
            }
        }
    }

    /// Returns why the connection has ended, given the result of [`run_connection`].
    pub fn end_reason(&self, result: &io::Result<()>) -> CloseReason {
        match (self.close_reason(), result) {
            (Some(reason), _) => reason,
            (None, Ok(())) => CloseReason::ClosedByPeer,
            (None, Err(_)) => CloseReason::SocketError,
        }
    }

    /// Records why the connection is closing; the first reason is kept.
    fn mark_closing(&self, reason: CloseReason) {
        self.close_reason.set(self.close_reason.get().or(Some(reason)));
    }

    /// Returns why the connection is closing, if it is: the first reason that was given.
    pub fn close_reason(&self) -> Option<CloseReason> {
        self.close_reason.get()
    }

    /// Returns whether the connection has not been closed.
    pub fn is_open(&self) -> bool {
        self.close_reason.get().is_none()
    }
}

/// Reads and writes until the peer closes, the socket fails, or the buffer is closed.
///
/// Bytes that have arrived by then are still passed to `on_bytes`, and the bytes that it queues are written.
///
/// # Errors
/// Returns any error of the socket, such as a reset.
pub async fn run_connection(
    stream: TcpStream,
    writes: &WriteBuffer,
    on_bytes: impl FnMut(&[u8]) -> ControlFlow<()>,
) -> io::Result<()> {
    let (reader, writer) = stream.into_split();
    let mut connection = Connection {
        reader,
        writer,
        writes,
        on_bytes,
        is_reading: true,
        output: Vec::new(),
        written: 0,
        last_progress_at: tokio::time::Instant::now(),
    };
    let result = connection.run().await;
    writes.is_finished.set(true);
    result
}

/// A connection in use, and the bytes being written on it.
struct Connection<'a, F> {
    reader: OwnedReadHalf,
    writer: OwnedWriteHalf,
    writes: &'a WriteBuffer,
    on_bytes: F,
    /// Whether bytes are read. Once `on_bytes` returns `Break`, queued bytes are still written until the
    /// buffer is closed, but nothing more is read.
    is_reading: bool,
    output: Vec<u8>,
    /// Number of bytes of `output` already written.
    written: usize,
    /// Time at which bytes were last written, or none were left.
    last_progress_at: tokio::time::Instant,
}

impl<F: FnMut(&[u8]) -> ControlFlow<()>> Connection<'_, F> {
    /// Reads and writes until the connection ends or the buffer is closed.
    async fn run(&mut self) -> io::Result<()> {
        while self.writes.is_open() {
            self.take_queued();
            let stalled_at = self.stalled_at();
            tokio::select! {
                received = receive(&mut self.reader, self.writes, &mut self.on_bytes),
                    if self.is_reading && !self.writes.is_reading_paused() =>
                {
                    let Some(flow) = received? else {
                        self.try_flush();
                        return Ok(());
                    };
                    self.is_reading = flow.is_continue();
                    // A peer that sends without a pause must not keep the others waiting.
                    tokio::task::yield_now().await;
                }
                wrote = self.writer.write(&self.output[self.written..]), if self.has_output() => {
                    match wrote {
                        Ok(n) => self.on_written(n),
                        Err(e) => {
                            self.read_available();
                            return Err(e);
                        }
                    }
                }
                () = self.writes.changed.notified() => {}
                () = tokio::time::sleep(PEER_CLOSE_CHECK_INTERVAL), if self.writes.is_reading_paused() => {
                    self.writes.check_peer_close(&self.reader);
                }
                () = sleep_until(stalled_at) => self.writes.abort(CloseReason::WriteStalled),
            }
        }
        self.finish().await
    }

    /// Returns when the connection is to be aborted if nothing is written until then; `None` if there is nothing
    /// to write or no limit.
    fn stalled_at(&mut self) -> Option<tokio::time::Instant> {
        if !self.has_output() {
            self.last_progress_at = tokio::time::Instant::now();
            return None;
        }
        self.last_progress_at.checked_add(self.writes.limits.stall_timeout)
    }

    fn has_output(&self) -> bool {
        self.written < self.output.len()
    }

    /// Takes the next queued bytes as the output, unless bytes of the last output are still unwritten.
    fn take_queued(&mut self) {
        if self.has_output() {
            return;
        }
        self.output = self.writes.chunks.borrow_mut().pop_front().unwrap_or_default();
        self.written = 0;
    }

    fn on_written(&mut self, n: usize) {
        self.written += n;
        self.last_progress_at = tokio::time::Instant::now();
        self.writes.on_sent(n);
    }

    /// Writes the queued bytes, reads the bytes that have arrived, and closes the connection. Bytes that
    /// arrive later have crossed the close.
    async fn finish(&mut self) -> io::Result<()> {
        let limits = self.writes.limits;
        // A peer that does not read must not delay the close.
        match tokio::time::timeout(limits.flush_timeout, self.flush_and_read_available()).await {
            Ok(flushed) => flushed?,
            Err(_) => return Ok(()),
        }
        self.writes.is_finished.set(true);
        self.writer.shutdown().await?;
        if self.writes.close_reason() != Some(CloseReason::Evicted) {
            let _ = tokio::time::timeout(limits.linger, self.discard()).await;
        }
        Ok(())
    }

    /// Writes the queued bytes and reads the bytes that have arrived, in turn, until none arrive or after
    /// `MAX_FINAL_READS` times.
    async fn flush_and_read_available(&mut self) -> io::Result<()> {
        for _ in 0..MAX_FINAL_READS {
            self.flush().await?;
            if !self.read_available() {
                break;
            }
            tokio::task::yield_now().await;
        }
        self.flush().await
    }

    /// Writes the queued bytes as far as possible without waiting: the peer may have closed only its sending
    /// side.
    fn try_flush(&mut self) {
        self.take_queued();
        while let (true, Ok(n @ 1..)) =
            (self.has_output(), self.writer.try_write(&self.output[self.written..]))
        {
            self.on_written(n);
            self.take_queued();
        }
    }

    /// Writes all queued bytes.
    async fn flush(&mut self) -> io::Result<()> {
        loop {
            self.take_queued();
            if !self.has_output() {
                return Ok(());
            }
            let n = self.writer.write(&self.output[self.written..]).await?;
            self.on_written(n);
        }
    }

    /// Delivers the bytes that have arrived, without waiting, up to `MAX_FINAL_BYTES`. Returns false if there
    /// are none.
    fn read_available(&mut self) -> bool {
        let mut read = 0;
        let mut input = [0; READ_SIZE];
        while self.is_reading && read < MAX_FINAL_BYTES && !self.writes.is_throttled.get() {
            let Ok(n @ 1..) = self.reader.try_read(&mut input) else { break };
            read += n;
            self.writes.check_peer_close(&self.reader);
            self.writes.unread.set(0);
            self.is_reading = (self.on_bytes)(&input[..n]).is_continue();
            if n < input.len() {
                break;
            }
        }
        read > 0
    }

    /// Reads and drops bytes until the peer closes its side.
    async fn discard(&mut self) {
        let mut input = [0; DISCARD_SIZE];
        while let Ok(1..) = self.reader.read(&mut input).await {}
    }
}

/// Waits for bytes and passes them to `on_bytes`, as many as the limits of the connection allow at once. Returns its
/// result, or `None` at the end of the stream.
///
/// The bytes are kept on the stack: a buffer in each task would be memory that idle connections hold.
async fn receive(
    reader: &mut OwnedReadHalf,
    writes: &WriteBuffer,
    on_bytes: &mut impl FnMut(&[u8]) -> ControlFlow<()>,
) -> io::Result<Option<ControlFlow<()>>> {
    poll_fn(|context| {
        let mut input = [MaybeUninit::uninit(); READ_SIZE];
        let mut buffer = ReadBuf::uninit(&mut input[..writes.limits.max_read.min(READ_SIZE)]);
        ready!(Pin::new(&mut *reader).poll_read(context, &mut buffer))?;
        let bytes = buffer.filled();
        if bytes.is_empty() {
            return Poll::Ready(Ok(None));
        }
        writes.check_peer_close(reader);
        writes.check_unread(reader, bytes.len());
        Poll::Ready(Ok(Some(on_bytes(bytes))))
    })
    .await
}

/// Waits until a time; for ever if there is none.
async fn sleep_until(time: Option<tokio::time::Instant>) {
    match time {
        Some(time) => tokio::time::sleep_until(time).await,
        None => std::future::pending().await,
    }
}

/// Connects to an address within the given time.
///
/// # Errors
/// Returns `TimedOut` if the time has passed, or the error of the socket.
pub async fn connect(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let stream = tokio::time::timeout(timeout, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Listens at an address, even if an earlier process used it a moment ago.
///
/// # Errors
/// Returns any error of the socket.
pub fn listen(address: SocketAddr) -> io::Result<tokio::net::TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}

/// Write buffer shared between the connection's task and its front end.
pub type SharedWriteBuffer = Rc<WriteBuffer>;

/// A front end with work that is due at certain times.
pub trait TimerDriven {
    /// Returns when [`TimerDriven::run_due`] has to be called next.
    fn next_due(&self) -> Option<Duration>;
    /// Runs the work that is due, or a part of it: the rest is run after other tasks have had their turn.
    fn run_due(&mut self, now: Duration);
    /// Runs the periodic checks that have no timer of their own.
    fn sweep(&mut self, now: Duration);
}

/// Calls [`TimerDriven::run_due`] when it is due and [`TimerDriven::sweep`] once per `sweep_interval`.
///
/// `rescheduled` is notified whenever work may have become due earlier than before.
pub async fn run_timers<T: TimerDriven>(
    front_end: Rc<RefCell<T>>,
    clock: Clock,
    rescheduled: Rc<Notify>,
    sweep_interval: Duration,
) {
    let mut next_sweep = clock.now();
    loop {
        let next = front_end.borrow().next_due().map_or(next_sweep, |at| at.min(next_sweep));
        tokio::select! {
            () = tokio::time::sleep_until(clock.instant_at(next)) => {}
            () = rescheduled.notified() => {}
        }
        let now = clock.now();
        if front_end.borrow().next_due().is_some_and(|at| at <= now) {
            front_end.borrow_mut().run_due(now);
        }
        if now >= next_sweep {
            next_sweep = now + sweep_interval;
            front_end.borrow_mut().sweep(now);
        }
        // More may be due than was run in one go.
        tokio::task::yield_now().await;
    }
}
