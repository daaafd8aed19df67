//! The connections of callers: which may come, which have to go, and over which a release is sent.

use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use super::connection::{CloseReason, SharedWriteBuffer};
use crate::interface::CallId;

/// Connections that may be closing beyond the share.
const CLOSING: usize = 16;
/// A connection that has brought no whole message for so long, or part of one, is closed.
///
/// Guards against callers that connect and say nothing, or never end what they say.
const SILENT: Duration = Duration::from_secs(2);
/// A connection without a set-up is kept for so long after its last message; callers close theirs sooner.
///
/// Guards against callers that ask once and hold the connection for good.
const IDLE: Duration = Duration::from_secs(20);
/// Messages that can't be served, on one connection, before it is closed.
///
/// Guards the turn of other callers against one that sends the same again as soon as it is turned away.
const MAX_PROTOCOL_ERRORS: u32 = 8;

#[derive(Debug)]
struct ClientConnection {
    writes: SharedWriteBuffer,
    invites: HashSet<CallId>,
    opened: Duration,
    /// Last whole message.
    last_received_at: Option<Duration>,
    /// Since when a message has been begun and not ended.
    partial_message_since: Option<Duration>,
    /// A call of it has stood: it is one of those that follow the protocol.
    proven: bool,
    protocol_errors: u32,
}

impl ClientConnection {
    fn is_idle(&self) -> bool {
        self.invites.is_empty() && self.writes.is_open()
    }

    fn last(&self) -> Duration {
        self.last_received_at.unwrap_or(self.opened)
    }
}

/// All connections of callers.
#[derive(Debug)]
pub struct ClientConnections {
    open: BTreeMap<u64, ClientConnection>,
    /// Connections at most.
    pub most: usize,
}

impl ClientConnections {
    /// No connection yet, and so many at most.
    pub fn new(most: usize) -> Self {
        Self { open: BTreeMap::new(), most }
    }

    /// Takes a new connection; false if there is no room for it.
    ///
    /// Guards against connections that are opened and left: of those without a set-up the one of least use
    /// makes room, and those that are still closing are not counted on.
    pub fn admit(&mut self, now: Duration, id: u64, writes: SharedWriteBuffer) -> bool {
        if self.open.len() >= self.most {
            let idle = self.open.values().filter(|c| c.is_idle());
            let Some(least) = idle.min_by_key(|c| (c.proven, c.last_received_at.is_some(), c.last())) else {
                return false;
            };
            least.writes.close(CloseReason::Evicted);
            if self.open.len() >= self.most + CLOSING {
                return false;
            }
        }
        let caller = ClientConnection {
            writes,
            invites: HashSet::new(),
            opened: now,
            last_received_at: None,
            partial_message_since: None,
            proven: false,
            protocol_errors: 0,
        };
        self.open.insert(id, caller);
        true
    }

    /// A connection has ended; returns the set-ups that were open on it.
    pub fn remove(&mut self, id: u64) -> HashSet<CallId> {
        self.open.remove(&id).map(|c| c.invites).unwrap_or_default()
    }

    /// A whole message has come.
    pub fn on_message(&mut self, now: Duration, id: u64) {
        if let Some(caller) = self.open.get_mut(&id) {
            // Guards busy callers whose reads end in the middle of ever new messages.
            (caller.last_received_at, caller.partial_message_since) = (Some(now), None);
        }
    }

    /// After what was read last, the connection is in the middle of a message or not.
    pub fn on_read(&mut self, now: Duration, id: u64, is_partial: bool) {
        if let Some(caller) = self.open.get_mut(&id) {
            caller.partial_message_since = is_partial.then(|| caller.partial_message_since.unwrap_or(now));
        }
    }

    /// It sent what can't be served; after too many such messages it is closed.
    pub fn record_protocol_error(&mut self, id: u64) {
        let Some(caller) = self.open.get_mut(&id) else { return };
        caller.protocol_errors += 1;
        if caller.protocol_errors >= MAX_PROTOCOL_ERRORS {
            caller.writes.close(CloseReason::ProtocolErrors);
        }
    }

    /// Messages on it that could not be served.
    pub fn protocol_errors(&self, id: u64) -> u32 {
        self.open.get(&id).map_or(0, |c| c.protocol_errors)
    }

    /// A set-up came on it.
    pub fn begin(&mut self, id: u64, call: CallId) {
        if let Some(caller) = self.open.get_mut(&id) {
            caller.invites.insert(call);
        }
    }

    /// A set-up of it is answered or gone.
    pub fn end(&mut self, id: u64, call: &CallId) {
        if let Some(caller) = self.open.get_mut(&id) {
            caller.invites.remove(call);
        }
    }

    /// Set-ups open on it.
    pub fn set_ups(&self, id: u64) -> usize {
        self.open.get(&id).map_or(0, |c| c.invites.len())
    }

    /// A call of it stands.
    pub fn on_answered(&mut self, id: u64) {
        if let Some(caller) = self.open.get_mut(&id) {
            caller.proven = true;
        }
    }

    /// Writes on a connection.
    pub fn send(&self, id: u64, bytes: &[u8]) {
        if let Some(caller) = self.open.get(&id) {
            caller.writes.enqueue(bytes);
        }
    }

    /// Over which connection a release goes: its call's own, else the one most surely followed by a caller
    /// that serves calls; `not` has been tried.
    ///
    /// Guards against releases sent to a connection that was opened and left, as the newest often is.
    pub fn for_release(&self, own: Option<u64>, not: Option<u64>) -> Option<u64> {
        let fits = |id: &u64| Some(*id) != not && self.open.get(id).is_some_and(|c| c.writes.is_open());
        let others = self.open.iter().filter(|(id, _)| fits(id));
        own.filter(fits)
            .or_else(|| others.max_by_key(|(id, c)| (c.proven, c.last_received_at, **id)).map(|(id, _)| *id))
    }

    /// Closes what has been silent, in the middle of a message or idle for too long; returns those for which
    /// a last word is due: they never ended their message.
    pub fn sweep(&self, now: Duration) -> Vec<u64> {
        let mut late = Vec::new();
        let kept = self.open.values().filter(|c| c.proven && c.writes.is_open()).count();
        for (id, caller) in self.open.iter().filter(|(_, c)| c.writes.is_open()) {
            let silent = caller.last_received_at.is_none() && now >= caller.opened + SILENT;
            let overdue = caller.partial_message_since.is_some_and(|since| now >= since + SILENT);
            // The last that serves calls stays, for the releases.
            let idle = caller.is_idle() && now >= caller.last() + IDLE && (!caller.proven || kept > 1);
            if overdue {
                late.push(*id);
            } else if silent && caller.is_idle() {
                caller.writes.close(CloseReason::Silent);
            } else if idle {
                caller.writes.close(CloseReason::Idle);
            }
        }
        late
    }

    /// Closes the connections that wait for nothing: all, or those with no part of a message.
    pub fn close_idle(&self, all: bool) {
        let idle = self.open.values().filter(|c| c.is_idle() && (all || c.partial_message_since.is_none()));
        idle.for_each(|c| c.writes.close(CloseReason::Shutdown));
    }

    /// Closes a connection once what is queued has been written.
    pub fn close(&self, id: u64, reason: CloseReason) {
        if let Some(caller) = self.open.get(&id) {
            caller.writes.close(reason);
        }
    }
}
