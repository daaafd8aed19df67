//! Connections to one exchange: which of them carries a message, and what the end of one means for its
//! set-ups.

use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use super::connection::{CloseReason, SharedWriteBuffer};
use crate::interface::{AttemptStatus, CallId};

/// Maximum number of connections to one exchange (the protocol's limit).
const MAX_CONNECTIONS: usize = 4;
/// Number of connections kept open to a listed exchange.
///
/// If a single connection stopped delivering, all set-ups on it would be lost with it. A second connection
/// that still receives messages shows the fault early enough to repeat those set-ups within their latency
/// objective; new set-ups use the connection that received a message last.
const MIN_IDLE_CONNECTIONS: usize = 2;
/// Pause before the next connect after the first failed one; it doubles with each further failure.
const INITIAL_CONNECT_BACKOFF: Duration = Duration::from_millis(100);
/// Longest pause between two connects.
const MAX_CONNECT_BACKOFF: Duration = Duration::from_millis(800);
/// If an exchange with established calls has sent nothing for this long, another connection is opened: the
/// exchange delivers releases that were lost with an old connection on the next one opened.
const IDLE_THRESHOLD: Duration = Duration::from_millis(1500);
/// The same for an exchange at which this process knows of no established call. An earlier process may have
/// left calls there, whose releases are due 8 s after their ends.
const UNKNOWN_CALLS_IDLE_THRESHOLD: Duration = Duration::from_secs(4);
/// A line that is not complete within this time was cut short: exchanges write each line in one piece.
const PARTIAL_LINE_TIMEOUT: Duration = Duration::from_millis(400);
/// An exchange sends its group state on every open connection. A connection is suspected of having stalled if
/// it has received nothing for this long when a group state arrives on another one.
const MIN_SILENCE_BEFORE_STALL: Duration = Duration::from_millis(50);
/// A suspected connection that receives nothing for this long is closed as stalled.
const STALL_TIMEOUT: Duration = Duration::from_millis(100);
/// An exchange may not notice for this long that a connection has ended, and may still write releases to it.
/// What was lost that way arrives on the next connection opened, so that one is opened only after this delay.
const RELEASE_COLLECT_DELAY: Duration = Duration::from_millis(250);
/// Connections with open set-ups to an exchange that is no longer listed are kept for this long.
const REMOVED_LINGER: Duration = Duration::from_secs(10);
/// Time for which a release that the exchange has not confirmed is sent again if its connection ends.
const RELEASE_RETENTION: Duration = Duration::from_secs(10);
/// Time without a message after which the calls of an unreachable exchange are released.
///
/// A release is due 8 s after the end of its call, even if the exchange could not send it. Any call that was
/// established when the last message of the exchange arrived may have ended since, so all of them are
/// released; those that are still established are cut off.
const OUT_OF_REACH_TIMEOUT: Duration = Duration::from_millis(7400);
/// Maximum number of releases of unknown calls that wait for a connection. Any client can cause them; those of
/// calls that are known to be held at the exchange are limited by the number of such calls.
const MAX_QUEUED_UNKNOWN_RELEASES: usize = 4096;
/// While releases of the exchange's calls wait for clients, connections that would only collect further ones
/// are not opened until the exchange has been silent for this long.
///
/// An exchange repeats a release on the next connection opened. As long as this process can't pass it on, the
/// repeat is worth more to the next one, if this process is about to be replaced.
const MAX_COLLECT_DEFERRAL: Duration = Duration::from_secs(5);

/// Number of a connection; numbers are never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// One connection to the exchange.
#[derive(Debug)]
struct PooledConnection {
    id: ConnectionId,
    writes: SharedWriteBuffer,
    last_received_at: Duration,
    /// Set-ups sent on this connection that have no answer yet.
    open_set_ups: BTreeSet<CallId>,
    /// Time since which a set-up has been waiting and nothing has been received.
    silent_since: Option<Duration>,
    /// Time since which a line has been incomplete.
    partial_line_since: Option<Duration>,
    /// Whether a group state has been received on this connection.
    has_group_state: bool,
    /// Time since which group states have been received on other connections only.
    stalled_since: Option<Duration>,
    /// Whether the connection gets no further set-ups unless it receives a message.
    is_retired: bool,
    /// Whether it leads to a process of the exchange that another one has replaced.
    is_superseded: bool,
}

impl PooledConnection {
    /// Returns whether set-ups may be sent on the connection.
    fn takes_set_ups(&self) -> bool {
        self.writes.is_open() && !self.is_retired && !self.is_superseded
    }
}

/// Kind of a message that waits for a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
enum QueuedMessage {
    /// The set-up of this call.
    SetUp(CallId),
    /// The release of a call that is held at this exchange.
    Release(CallId),
    /// The release of a call that may be held at any exchange, or at none.
    UnknownRelease(CallId),
}

impl QueuedMessage {
    fn set_up(&self) -> Option<&CallId> {
        match self {
            Self::SetUp(call) => Some(call),
            Self::Release(_) | Self::UnknownRelease(_) => None,
        }
    }

    fn is_unknown_release(&self) -> bool {
        matches!(self, Self::UnknownRelease(_))
    }
}

/// A release that was written to a connection and that the exchange has not confirmed.
#[derive(Debug)]
struct SentRelease {
    connection: ConnectionId,
    bytes: Vec<u8>,
    /// Time from which it is no longer sent again.
    expires_at: Duration,
}

/// How a connect failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectFailure {
    /// Refused: nothing listens there, so the exchange's process is not running.
    Refused,
    /// Timed out, or no route to the address.
    Unreachable,
}

/// All connections to one exchange.
#[derive(Debug)]
pub struct ExchangePool {
    /// Address on which the exchange listens.
    pub address: SocketAddr,
    is_listed: bool,
    /// Time at which the exchange was last removed from the membership.
    removed_at: Duration,
    /// Time at which another process of the exchange last replaced the one before.
    replaced_at: Duration,
    /// If a set-up waits on a connection and nothing is received for this long, a second one is opened beside
    /// it.
    silence_timeout: Duration,
    /// Whether a connect is in progress.
    pub is_connecting: bool,
    /// Whether the connect in progress was begun before another process replaced that of the exchange.
    is_connect_superseded: bool,
    connections: Vec<PooledConnection>,
    /// Messages that wait for a connection.
    queue: VecDeque<(QueuedMessage, Vec<u8>)>,
    /// Calls whose set-ups are in the queue.
    queued_set_ups: HashSet<CallId>,
    /// Number of releases of unknown calls in the queue.
    queued_unknown_releases: usize,
    /// Releases that are lost if their connections end.
    sent_releases: HashMap<CallId, SentRelease>,
    next_connect_at: Duration,
    connect_backoff: Duration,
    /// Whether all connections have ended since the last successful connect: the process may have died.
    has_lost_connections: bool,
    /// Set when a connection has ended: time from which the next one opened collects the releases lost on it.
    collect_releases_at: Option<Duration>,
    /// Whether a connect has succeeded or failed.
    has_tried_connect: bool,
    /// Time of the last message on any connection.
    last_received_at: Duration,
    /// Whether a connect has found the exchange unreachable since the last message.
    is_unreachable: bool,
}

impl ExchangePool {
    /// Creates a pool without connections.
    pub fn new(address: SocketAddr, silence_timeout: Duration) -> Self {
        Self {
            address,
            is_listed: true,
            removed_at: Duration::ZERO,
            replaced_at: Duration::ZERO,
            silence_timeout,
            is_connecting: false,
            is_connect_superseded: false,
            connections: Vec::new(),
            queue: VecDeque::new(),
            queued_set_ups: HashSet::new(),
            queued_unknown_releases: 0,
            sent_releases: HashMap::new(),
            next_connect_at: Duration::ZERO,
            connect_backoff: INITIAL_CONNECT_BACKOFF,
            has_lost_connections: false,
            collect_releases_at: None,
            has_tried_connect: false,
            last_received_at: Duration::ZERO,
            is_unreachable: false,
        }
    }

    /// Returns whether the exchange is listed. No connection is opened to one that is not.
    pub fn is_listed(&self) -> bool {
        self.is_listed
    }

    /// Records whether the exchange is listed.
    ///
    /// An exchange that is no longer listed may never return and its address may belong to another one, so
    /// its queued releases are dropped and no connect is made to that address.
    pub fn set_listed(&mut self, now: Duration, is_listed: bool) {
        if self.is_listed && !is_listed {
            self.removed_at = now;
            self.drop_releases();
        } else if !self.is_listed && is_listed {
            self.on_process_replaced(now);
        }
        self.is_listed = is_listed;
    }

    /// Returns whether a connect has succeeded or failed.
    pub fn has_tried_connect(&self) -> bool {
        self.has_tried_connect
    }

    /// Returns whether the exchange is no longer listed and nothing is left to do for it.
    pub fn is_removable(&self) -> bool {
        !self.is_listed && !self.is_connecting && self.connections.is_empty() && self.queue.is_empty()
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.connections.len()
    }

    /// Returns the open connection to the present process on which to send: preferably one that is neither retired
    /// nor silent, and of those the one that received a message last.
    fn best_connection(&mut self) -> Option<&mut PooledConnection> {
        let open = self.connections.iter_mut().filter(|c| c.writes.is_open() && !c.is_superseded);
        open.max_by_key(|c| (!c.is_retired, c.silent_since.is_none(), c.last_received_at, c.id))
    }

    /// Sends a set-up, or queues it and makes a connect due at once.
    pub fn send_set_up(&mut self, now: Duration, call: &CallId, bytes: Vec<u8>) {
        match self.best_connection().filter(|c| c.takes_set_ups()) {
            Some(connection) => {
                connection.writes.enqueue(&bytes);
                connection.open_set_ups.insert(call.clone());
                connection.silent_since.get_or_insert(now);
            }
            None => {
                self.queued_set_ups.insert(call.clone());
                self.queue.push_back((QueuedMessage::SetUp(call.clone()), bytes));
                self.next_connect_at = now;
            }
        }
    }

    /// Cancels a set-up or releases a call, on the connection of its set-up if that is open, else on any.
    pub fn send_release(&mut self, now: Duration, call: &CallId, bytes: Vec<u8>) {
        if self.queued_set_ups.remove(call) {
            return self.queue.retain(|(message, _)| message.set_up() != Some(call));
        }
        let own = self.connections.iter_mut().find(|c| c.open_set_ups.contains(call) && c.writes.is_open());
        if let Some(connection) = own {
            connection.open_set_ups.remove(call);
            connection.writes.enqueue(&bytes);
            return;
        }
        self.send_or_queue(now, QueuedMessage::Release(call.clone()), bytes);
    }

    /// Releases a call that may be held at this exchange, at another one or at none.
    pub fn send_unknown_release(&mut self, now: Duration, call: &CallId, bytes: Vec<u8>) {
        self.send_or_queue(now, QueuedMessage::UnknownRelease(call.clone()), bytes);
    }

    /// Sends a release on the best connection, or queues it if there is none.
    fn send_or_queue(&mut self, now: Duration, message: QueuedMessage, bytes: Vec<u8>) {
        if let Some(connection) = self.best_connection() {
            connection.writes.enqueue(&bytes);
            let id = connection.id;
            return self.on_release_sent(now, id, message, bytes);
        }
        let is_unknown = message.is_unknown_release();
        if !self.is_listed || (is_unknown && self.queued_unknown_releases >= MAX_QUEUED_UNKNOWN_RELEASES) {
            return;
        }
        self.queued_unknown_releases += usize::from(is_unknown);
        self.queue.push_back((message, bytes));
        self.next_connect_at = self.next_connect_at.min(now + self.connect_backoff);
    }

    /// Keeps a release that was written to a connection, in case the connection ends.
    fn on_release_sent(
        &mut self,
        now: Duration,
        connection: ConnectionId,
        message: QueuedMessage,
        bytes: Vec<u8>,
    ) {
        let is_kept = !message.is_unknown_release() || self.sent_releases.len() < MAX_QUEUED_UNKNOWN_RELEASES;
        let (QueuedMessage::Release(call) | QueuedMessage::UnknownRelease(call)) = message else { return };
        if is_kept {
            let expires_at = now + RELEASE_RETENTION;
            self.sent_releases.insert(call, SentRelease { connection, bytes, expires_at });
        }
    }

    /// Records that the exchange knows that a call is over.
    pub fn on_release_confirmed(&mut self, call: &CallId) {
        self.sent_releases.remove(call);
    }

    /// Returns the calls whose releases may have been lost with a connection.
    pub fn lost_releases(&self, id: ConnectionId) -> Vec<CallId> {
        let lost = self.sent_releases.iter().filter(|(_, release)| release.connection == id);
        lost.map(|(call, _)| call.clone()).collect()
    }

    /// Sends a release again that may have been lost with its connection.
    pub fn resend_release(&mut self, now: Duration, call: &CallId) {
        let Some(SentRelease { bytes, expires_at, .. }) = self.sent_releases.remove(call) else { return };
        self.send_release(now, call, bytes);
        if let Some(release) = self.sent_releases.get_mut(call) {
            release.expires_at = expires_at;
        }
    }

    /// Returns whether a connection leads to a process that has been replaced, and the set-up of this call is not
    /// awaited on it.
    pub fn is_from_former_process(&self, id: ConnectionId, call: &CallId) -> bool {
        let connection = self.connections.iter().find(|c| c.id == id);
        connection.is_some_and(|c| c.is_superseded && !c.open_set_ups.contains(call))
    }

    /// Returns the time at which the present process of the exchange replaced the one before; zero if none did.
    pub fn replaced_at(&self) -> Duration {
        self.replaced_at
    }

    /// Records a message on a connection. `call` is set if the message answers the set-up of that call.
    pub fn on_message(&mut self, now: Duration, id: ConnectionId, call: Option<&CallId>) {
        let Some(connection) = self.connections.iter_mut().find(|c| c.id == id) else { return };
        if connection.is_superseded {
            if let Some(call) = call {
                connection.open_set_ups.remove(call);
            }
            return;
        }
        (self.last_received_at, self.is_unreachable) = (now, false);
        (connection.last_received_at, connection.stalled_since) = (now, None);
        if let Some(call) = call {
            connection.open_set_ups.remove(call);
        }
        connection.silent_since = (!connection.open_set_ups.is_empty()).then_some(now);
        connection.is_retired = false;
        // The other connections get no more set-ups but stay open: an established call is released on the
        // connection of its set-up, and a release that crossed a close would wait for the next connection
        // opened.
        self.connections
            .iter_mut()
            .filter(|c| c.id != id && c.last_received_at < now)
            .for_each(|c| c.is_retired = true);
    }

    /// Records a group state on a connection. The first one on a connection tells nothing about the others,
    /// since an exchange sends it when the connection opens; each later one is sent on all connections.
    pub fn on_group_state(&mut self, now: Duration, id: ConnectionId) {
        let Some(connection) = self.connections.iter_mut().find(|c| c.id == id) else { return };
        if std::mem::replace(&mut connection.has_group_state, true) {
            let silent = self
                .connections
                .iter_mut()
                .filter(|c| c.id != id && now >= c.last_received_at + MIN_SILENCE_BEFORE_STALL);
            silent.for_each(|c| c.stalled_since = c.stalled_since.or(Some(now)));
        }
    }

    /// Records whether the last read on a connection ended in the middle of a line.
    pub fn on_read(&mut self, now: Duration, id: ConnectionId, is_partial: bool) {
        if let Some(connection) = self.connections.iter_mut().find(|c| c.id == id) {
            connection.partial_line_since = is_partial.then(|| connection.partial_line_since.unwrap_or(now));
            // A group state may arrive in several reads, so the connection has not stalled.
            connection.stalled_since = None;
        }
    }

    /// Closes connections that are of no further use: those with an incomplete line that has timed out, those
    /// that have stalled, and those to an exchange that is no longer listed. The latter are kept for a while
    /// if set-ups are open on them.
    pub fn sweep(&mut self, now: Duration) {
        self.sent_releases.retain(|_, release| now < release.expires_at);
        let has_expired = |since: Option<Duration>, limit| since.is_some_and(|since| now >= since + limit);
        let is_removed = |c: &PooledConnection| {
            !self.is_listed && (c.open_set_ups.is_empty() || now >= self.removed_at + REMOVED_LINGER)
        };
        let is_replaced = |c: &PooledConnection| {
            c.is_superseded && (c.open_set_ups.is_empty() || now >= self.replaced_at + REMOVED_LINGER)
        };
        for connection in &self.connections {
            if is_removed(connection) || is_replaced(connection) {
                connection.writes.close(CloseReason::Removed);
            } else if has_expired(connection.partial_line_since, PARTIAL_LINE_TIMEOUT) {
                connection.writes.close(CloseReason::MessageTimeout);
            } else if has_expired(connection.stalled_since, STALL_TIMEOUT) {
                connection.writes.close(CloseReason::Stalled);
            }
        }
    }

    /// Drops the releases, since their calls have ended with the exchange's process.
    fn drop_releases(&mut self) {
        self.queue.retain(|(message, _)| message.set_up().is_some());
        self.queued_unknown_releases = 0;
        self.sent_releases.clear();
    }

    /// Removes the queued set-ups, which were never sent, and returns their calls.
    pub fn take_queued_set_ups(&mut self) -> Vec<CallId> {
        let set_ups = self.queue.iter().filter_map(|(message, _)| message.set_up().cloned()).collect();
        self.queue.retain(|(message, _)| message.set_up().is_none());
        self.queued_set_ups.clear();
        set_ups
    }

    /// Closes all connections because the address now belongs to another exchange: the process that they led
    /// to has ended.
    pub fn on_address_reassigned(&self) {
        self.connections.iter().for_each(|c| c.writes.close(CloseReason::Removed));
    }

    /// Closes all connections once their queued bytes have been written.
    pub fn close(&self) {
        self.connections.iter().for_each(|c| c.writes.close(CloseReason::Shutdown));
    }

    /// Queues bytes on the given connection.
    pub fn send(&self, id: ConnectionId, bytes: &[u8]) {
        if let Some(connection) = self.connections.iter().find(|c| c.id == id) {
            connection.writes.enqueue(bytes);
        }
    }

    /// Queues bytes on the best open connection, if there is one.
    pub fn send_if_connected(&mut self, bytes: &[u8]) {
        if let Some(connection) = self.best_connection() {
            connection.writes.enqueue(bytes);
        }
    }

    /// Adds a new connection and sends the queued messages on it.
    pub fn on_connected(&mut self, now: Duration, id: ConnectionId, writes: SharedWriteBuffer) {
        self.is_connecting = false;
        if std::mem::take(&mut self.is_connect_superseded) {
            return writes.close(CloseReason::Removed); // it may lead to the former process
        }
        (self.has_lost_connections, self.has_tried_connect, self.connect_backoff) =
            (false, true, INITIAL_CONNECT_BACKOFF);
        self.collect_releases_at = self.collect_releases_at.filter(|at| *at > now);
        (self.last_received_at, self.is_unreachable) = (now, false);
        let mut open_set_ups = BTreeSet::new();
        self.queued_unknown_releases = 0;
        self.queued_set_ups.clear();
        for (message, bytes) in std::mem::take(&mut self.queue) {
            writes.enqueue(&bytes);
            open_set_ups.extend(message.set_up().cloned());
            self.on_release_sent(now, id, message, bytes);
        }
        let silent_since = (!open_set_ups.is_empty()).then_some(now);
        if !self.is_listed && open_set_ups.is_empty() {
            writes.close(CloseReason::Removed);
        }
        self.connections.push(PooledConnection {
            id,
            writes,
            last_received_at: now,
            open_set_ups,
            silent_since,
            partial_line_since: None,
            has_group_state: false,
            stalled_since: None,
            is_retired: false,
            is_superseded: false,
        });
    }

    /// Records a failed connect. Returns the calls whose queued set-ups were never sent, and whether the
    /// failure proves that the exchange's process has ended.
    pub fn on_connect_failed(&mut self, now: Duration, failure: ConnectFailure) -> (Vec<CallId>, bool) {
        self.is_connecting = false;
        if std::mem::take(&mut self.is_connect_superseded) {
            return (Vec::new(), false); // it tells nothing about the present process
        }
        self.has_tried_connect = true;
        self.is_unreachable |= failure == ConnectFailure::Unreachable;
        self.next_connect_at = now + self.connect_backoff;
        self.connect_backoff = (self.connect_backoff * 2).min(MAX_CONNECT_BACKOFF);
        let set_ups = self.take_queued_set_ups();
        let has_process_ended =
            failure == ConnectFailure::Refused && std::mem::take(&mut self.has_lost_connections);
        if has_process_ended {
            self.drop_releases();
        }
        (set_ups, has_process_ended)
    }

    /// Removes a connection that has ended, and returns the calls whose set-ups were open on it.
    pub fn on_closed(&mut self, now: Duration, id: ConnectionId) -> Vec<CallId> {
        let Some(index) = self.connections.iter().position(|c| c.id == id) else { return Vec::new() };
        let connection = self.connections.swap_remove(index);
        self.collect_releases_at = Some(now + RELEASE_COLLECT_DELAY);
        if self.connections.is_empty() {
            self.has_lost_connections = true;
            self.next_connect_at = now;
        }
        connection.open_set_ups.into_iter().collect()
    }

    /// Gives up all connections, since a new process has replaced the one that they lead to. They stay open while
    /// set-ups that were sent on them are awaited.
    pub fn on_process_replaced(&mut self, now: Duration) {
        self.connections.iter_mut().for_each(|c| c.is_superseded = true);
        (self.is_connect_superseded, self.replaced_at) = (self.is_connecting, now);
        self.sent_releases.clear();
        (self.next_connect_at, self.connect_backoff) = (now, INITIAL_CONNECT_BACKOFF);
    }

    /// Returns whether nothing has been received for so long that another connection is to be opened, on which
    /// the exchange delivers the releases that it could not send. `has_known_calls` tells whether calls of this
    /// process are established there.
    pub fn is_refresh_due(&self, now: Duration, has_known_calls: bool) -> bool {
        let threshold = if has_known_calls { IDLE_THRESHOLD } else { UNKNOWN_CALLS_IDLE_THRESHOLD };
        now >= self.last_received_at + threshold
    }

    /// Returns whether a connection that would only collect releases may be opened later: another one is in
    /// use, and the exchange has not been silent for so long that it may be out of reach.
    pub fn may_defer_collecting(&self, now: Duration) -> bool {
        let is_usable = |c: &PooledConnection| c.takes_set_ups() && c.silent_since.is_none();
        self.connections.iter().any(is_usable) && now < self.last_received_at + MAX_COLLECT_DEFERRAL
    }

    /// Returns whether the exchange has been unreachable for so long that its calls must be taken for ended.
    pub fn is_out_of_reach(&self, now: Duration) -> bool {
        self.is_unreachable && now >= self.last_received_at + OUT_OF_REACH_TIMEOUT
    }

    /// Returns whether another connection may be opened. If not, closes the one that received a message least
    /// recently.
    pub fn make_room(&self) -> bool {
        if self.connections.len() >= MAX_CONNECTIONS {
            let open = self.connections.iter().filter(|c| c.writes.is_open());
            open.min_by_key(|c| (!c.is_superseded, c.last_received_at))
                .into_iter()
                .for_each(|c| c.writes.close(CloseReason::Evicted));
        }
        self.connections.len() < MAX_CONNECTIONS
    }

    /// Returns whether a connect should be made now, given [`ExchangePool::is_refresh_due`].
    pub fn should_connect(&self, now: Duration, is_refresh_due: bool) -> bool {
        // After a machine has vanished and come back, its old connections stay open and silent.
        let is_silent =
            |c: &PooledConnection| c.silent_since.is_some_and(|since| now >= since + self.silence_timeout);
        let is_collect_due = self.collect_releases_at.is_some_and(|at| now >= at);
        // A connection that has just ended is replaced when its releases are collected.
        let open = self.connections.iter().filter(|c| c.writes.is_open() && !c.is_superseded).count();
        let has_too_few = open < MIN_IDLE_CONNECTIONS && self.collect_releases_at.is_none();
        let is_needed = is_refresh_due
            || is_collect_due
            || has_too_few
            || self.connections.iter().all(|c| !c.takes_set_ups() || is_silent(c));
        // Connections are also opened to a draining exchange and after a loss, since the releases of its
        // calls arrive on the next connection opened.
        self.is_listed && is_needed && !self.is_connecting && now >= self.next_connect_at
    }

    /// Returns the outcome of a set-up whose connection ended or never came up.
    pub fn status_after_loss(may_have_run: bool) -> AttemptStatus {
        if may_have_run {
            AttemptStatus::Reset
        } else {
            AttemptStatus::Unreachable
        }
    }
}
