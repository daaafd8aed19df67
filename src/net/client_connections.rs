//! The client connections: which are admitted, which are closed and why, and which one carries a release.

use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use super::connection::{CloseReason, SharedWriteBuffer};
use crate::interface::CallId;

/// Connections that may be closing beyond the limit.
const MAX_CLOSING: usize = 16;
/// A connection that has brought no whole message for so long, or part of one, is closed. Slow writers take
/// up to 2 s for a message; whoever never completes one is owed an end within 3 s.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(2500);
/// A connection without a set-up is kept for so long after its last message; clients close theirs sooner.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Messages that can't be served, on one connection, before it is closed.
const MAX_PROTOCOL_ERRORS: u32 = 8;
/// While the router stops, a new connection may take so long until its first message.
const FIRST_MESSAGE_GRACE: Duration = Duration::from_millis(300);

#[derive(Debug)]
struct ClientConnection {
    writes: SharedWriteBuffer,
    open_requests: HashSet<CallId>,
    opened_at: Duration,
    /// Last whole message.
    last_received_at: Option<Duration>,
    /// Since when a message has been begun and not completed.
    partial_message_since: Option<Duration>,
    /// A call of it has been answered 200: its client follows the protocol.
    proven: bool,
    protocol_errors: u32,
    /// It is closed as soon as its open requests are answered.
    close_requested: Option<CloseReason>,
}

impl ClientConnection {
    fn new(now: Duration, writes: SharedWriteBuffer) -> Self {
        Self {
            writes,
            open_requests: HashSet::new(),
            opened_at: now,
            last_received_at: None,
            partial_message_since: None,
            proven: false,
            protocol_errors: 0,
            close_requested: None,
        }
    }

    fn is_open(&self) -> bool {
        self.writes.is_open() && self.close_requested.is_none()
    }

    fn is_idle(&self) -> bool {
        self.open_requests.is_empty() && self.is_open()
    }

    fn last_used_at(&self) -> Duration {
        self.last_received_at.unwrap_or(self.opened_at)
    }

    /// Closes it now if no request is open on it, else as soon as the last one is answered.
    fn request_close(&mut self, reason: CloseReason) {
        let reason = *self.close_requested.get_or_insert(reason);
        if self.open_requests.is_empty() {
            self.writes.close(reason);
        }
    }
}

/// All client connections.
#[derive(Debug)]
pub struct ClientConnections {
    open: BTreeMap<u64, ClientConnection>,
    /// Connections at most.
    pub limit: usize,
}

impl ClientConnections {
    /// No connection yet, and so many at most.
    pub fn new(limit: usize) -> Self {
        Self { open: BTreeMap::new(), limit }
    }

    /// Takes a new connection; false if there is no room for it. Of the idle connections, the least used one
    /// makes room; those that are still closing are not counted on.
    pub fn admit(&mut self, now: Duration, id: u64, writes: SharedWriteBuffer) -> bool {
        if self.open.len() >= self.limit {
            let idle = self.open.values_mut().filter(|c| c.is_idle());
            let least_used =
                |c: &&mut ClientConnection| (c.proven, c.last_received_at.is_some(), c.last_used_at());
            let Some(evicted) = idle.min_by_key(least_used) else { return false };
            evicted.request_close(CloseReason::Evicted);
            if self.open.len() >= self.limit + MAX_CLOSING {
                return false;
            }
        }
        self.open.insert(id, ClientConnection::new(now, writes));
        true
    }

    /// A connection has ended; returns the requests that were open on it.
    pub fn remove(&mut self, id: u64) -> HashSet<CallId> {
        self.open.remove(&id).map(|c| c.open_requests).unwrap_or_default()
    }

    /// Whether no connection is left.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Whether a client is left that can be told of a release: one that has sent a whole message.
    pub fn any_reachable(&self) -> bool {
        self.open.values().any(|c| c.writes.is_open() && c.last_received_at.is_some())
    }

    /// A whole message has come.
    pub fn on_message(&mut self, now: Duration, id: u64) {
        if let Some(client) = self.open.get_mut(&id) {
            (client.last_received_at, client.partial_message_since) = (Some(now), None);
        }
    }

    /// After the last read, the connection holds part of a message or none.
    pub fn on_read(&mut self, now: Duration, id: u64, is_partial: bool) {
        if let Some(client) = self.open.get_mut(&id) {
            client.partial_message_since = is_partial.then(|| client.partial_message_since.unwrap_or(now));
        }
    }

    /// It brought a message that can't be served; after too many it is closed.
    pub fn record_protocol_error(&mut self, id: u64) {
        let Some(client) = self.open.get_mut(&id) else { return };
        client.protocol_errors += 1;
        if client.protocol_errors >= MAX_PROTOCOL_ERRORS {
            client.request_close(CloseReason::ProtocolErrors);
        }
    }

    /// Messages on it that could not be served.
    pub fn protocol_errors(&self, id: u64) -> u32 {
        self.open.get(&id).map_or(0, |c| c.protocol_errors)
    }

    /// A request came on it.
    pub fn begin(&mut self, id: u64, call: CallId) {
        if let Some(client) = self.open.get_mut(&id) {
            client.open_requests.insert(call);
        }
    }

    /// A request of it is answered or withdrawn.
    pub fn end(&mut self, id: u64, call: &CallId) {
        let Some(client) = self.open.get_mut(&id) else { return };
        client.open_requests.remove(call);
        if let Some(reason) = client.close_requested {
            client.request_close(reason);
        }
    }

    /// Requests open on it.
    pub fn open_requests(&self, id: u64) -> usize {
        self.open.get(&id).map_or(0, |c| c.open_requests.len())
    }

    /// Whether it is to be closed: no further request on it is served.
    pub fn is_closing(&self, id: u64) -> bool {
        self.open.get(&id).is_none_or(|c| !c.is_open())
    }

    /// A call of it stands.
    pub fn on_answered(&mut self, id: u64) {
        if let Some(client) = self.open.get_mut(&id) {
            client.proven = true;
        }
    }

    /// Writes on a connection.
    pub fn send(&self, id: u64, bytes: &[u8]) {
        if let Some(client) = self.open.get(&id) {
            client.writes.enqueue(bytes);
        }
    }

    /// Over which connection a release goes: its call's own, else the one most surely followed by a client
    /// that serves calls; `not` has been tried.
    pub fn for_release(&self, own: Option<u64>, not: Option<u64>) -> Option<u64> {
        let fits = |id: &u64| Some(*id) != not && self.open.get(id).is_some_and(|c| c.writes.is_open());
        let others = self.open.iter().filter(|(id, _)| fits(id));
        let best = |(id, c): &(&u64, &ClientConnection)| (c.is_open(), c.proven, c.last_received_at, **id);
        own.filter(fits).or_else(|| others.max_by_key(best).map(|(id, _)| *id))
    }

    /// Closes what has been silent or idle for too long; returns the connections on which a message was
    /// begun and not completed in time.
    pub fn sweep(&mut self, now: Duration) -> Vec<u64> {
        let mut overdue = Vec::new();
        let proven = self.open.values().filter(|c| c.proven && c.is_open()).count();
        for (id, client) in self.open.iter_mut().filter(|(_, c)| c.is_open()) {
            let silent = client.last_received_at.is_none() && now >= client.opened_at + MESSAGE_TIMEOUT;
            let expired = now >= client.last_used_at() + IDLE_TIMEOUT;
            // The last one that serves calls stays, for the releases.
            let expendable = !client.proven || proven > 1;
            if client.partial_message_since.is_some_and(|since| now >= since + MESSAGE_TIMEOUT) {
                overdue.push(*id);
            } else if silent && client.is_idle() {
                client.request_close(CloseReason::Silent);
            } else if expired && expendable && client.is_idle() {
                client.request_close(CloseReason::Idle);
            }
        }
        overdue
    }

    /// Closes the idle connections while the router stops, but for those on which a message is under way or
    /// may be: a new one is given some time for its first.
    pub fn close_idle(&mut self, now: Duration) {
        for client in self.open.values_mut().filter(|c| c.is_idle()) {
            let is_new = client.last_received_at.is_none() && now < client.opened_at + FIRST_MESSAGE_GRACE;
            if client.partial_message_since.is_none() && !is_new {
                client.request_close(CloseReason::Shutdown);
            }
        }
    }

    /// Closes every connection as soon as its open requests are answered.
    pub fn close_all(&mut self) {
        self.open.values_mut().for_each(|c| c.request_close(CloseReason::Shutdown));
    }

    /// Closes a connection as soon as its open requests are answered.
    pub fn request_close(&mut self, id: u64, reason: CloseReason) {
        if let Some(client) = self.open.get_mut(&id) {
            client.request_close(reason);
        }
    }
}
