//! The connections to one booking exchange: which one carries what, and what their ends mean.

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use super::connection::{CloseReason, SharedWriteBuffer};
use crate::interface::{CallId, Status};

/// Connections to one exchange at most (the protocol's limit).
const MAX_CONNECTIONS: usize = 4;
/// Connections kept open to an exchange that is listed.
///
/// Guards against one that falls deaf with all set-ups on it: only what another is told shows it in time for
/// them to go again within their aim, and new set-ups go to the one heard last.
const MIN_IDLE_CONNECTIONS: usize = 2;
/// Pause before the next connect after a failed one: first and longest.
const CONNECT_BACKOFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(800));
/// Where calls stand and nothing was heard for this long, a second connection is opened: what they end
/// with comes on the next one opened.
const IDLE: Duration = Duration::from_millis(1500);
/// A line that is begun and not ended within this was cut short: lines are written in one go.
const PARTIAL_LINE_TIMEOUT: Duration = Duration::from_millis(400);
/// The state of a group is told on all open connections. One that has heard nothing for the first time, and
/// goes without what another is told for the second, is of no further use.
const STALLED: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(100));
/// After a connection has ended its exchange may write to it for so long; what was lost that way comes on the
/// next one opened.
const RELEASE_COLLECT_DELAY: Duration = Duration::from_millis(250);
/// Connections to an exchange that is no longer listed are kept for this long, for the set-ups on them.
const REMOVED_LINGER: Duration = Duration::from_secs(10);
/// The release of a call is due 8 s after its end even if its exchange could not send it.
///
/// Guards against calls that end while their exchange is out of reach: of those that stood when it was
/// last heard, any may be over since. Harm: those that still stand are cut.
const OUT_OF_REACH: Duration = Duration::from_millis(7400);
/// Releases that wait for a connection, at most.
const MAX_QUEUED_RELEASES: usize = 4096;

/// Number of a connection, never used again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(pub u64);

#[derive(Debug)]
struct Conn {
    id: ConnId,
    writes: SharedWriteBuffer,
    last_received_at: Duration,
    set_ups: BTreeSet<CallId>,
    /// Since when a set-up has waited with nothing heard.
    quiet_since: Option<Duration>,
    /// Since when a line has been begun and not ended.
    partial_line_since: Option<Duration>,
    /// The state of the group has been told on it; and since when it has been told on others only.
    notified: bool,
    stalled_since: Option<Duration>,
    retired: bool,
}

/// How a connect failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// Refused: nothing listens, so no process runs there.
    Refused,
    /// Not up in time, or no way there.
    Silent,
}

/// All connections to one exchange.
#[derive(Debug)]
pub struct ExchangePool {
    /// Where it listens.
    pub address: SocketAddr,
    listed: bool,
    /// Since when it has not been listed.
    left: Duration,
    /// A connection on which a set-up waits and nothing at all was heard for this long is doubted: a second
    /// one is opened beside it.
    silence: Duration,
    /// A connect is under way.
    pub connecting: bool,
    conns: Vec<Conn>,
    queue: VecDeque<(Option<CallId>, Vec<u8>)>,
    next_try: Duration,
    pause: Duration,
    /// A connection ended since the last one came up: its process may have died.
    dropped: bool,
    /// A connection ended: releases that went to it come on the next one opened from this time on.
    collect_at: Option<Duration>,
    tried: bool,
    /// Last word on any connection, and whether a connect was silent since.
    last_received_at: Duration,
    silent: bool,
}

impl ExchangePool {
    /// A link with no connection yet.
    pub fn new(address: SocketAddr, silence: Duration) -> Self {
        Self {
            address,
            listed: true,
            left: Duration::ZERO,
            silence,
            connecting: false,
            conns: Vec::new(),
            queue: VecDeque::new(),
            next_try: Duration::ZERO,
            pause: CONNECT_BACKOFF.0,
            dropped: false,
            collect_at: None,
            tried: false,
            last_received_at: Duration::ZERO,
            silent: false,
        }
    }

    /// Whether it is listed; else nothing is opened towards it.
    pub fn is_listed(&self) -> bool {
        self.listed
    }

    /// It is listed, or no longer.
    ///
    /// Guards against what is kept for exchanges that have gone for good: releases that wait for them, and
    /// connects to an address that another exchange may have by now.
    pub fn set_listed(&mut self, now: Duration, listed: bool) {
        if self.listed && !listed {
            self.left = now;
            self.queue.retain(|(call, _)| call.is_some());
        }
        self.listed = listed;
    }

    /// Whether a connect has come to its end, one way or other.
    pub fn is_tried(&self) -> bool {
        self.tried
    }

    /// Nothing is left to do for an exchange that is no longer listed.
    pub fn is_spent(&self) -> bool {
        !self.listed && !self.connecting && self.conns.is_empty() && self.queue.is_empty()
    }

    /// Open connections.
    pub fn open_connections(&self) -> usize {
        self.conns.len()
    }

    fn best(&mut self) -> Option<&mut Conn> {
        let fit = self.conns.iter_mut().filter(|c| c.writes.is_open());
        fit.max_by_key(|c| (!c.retired, c.quiet_since.is_none(), c.last_received_at, c.id))
    }

    /// Sends a set-up, or queues it for the connect that is due now.
    pub fn start(&mut self, now: Duration, call: &CallId, bytes: Vec<u8>) {
        match self.best().filter(|c| !c.retired) {
            Some(conn) => {
                conn.writes.enqueue(&bytes);
                conn.set_ups.insert(call.clone());
                conn.quiet_since.get_or_insert(now);
            }
            None => {
                self.queue.push_back((Some(call.clone()), bytes));
                self.next_try = now;
            }
        }
    }

    /// Gives up a set-up or releases a call, on the connection of its set-up or else on any.
    pub fn finish(&mut self, now: Duration, call: &CallId, bytes: Vec<u8>) {
        let queued = self.queue.len();
        self.queue.retain(|(id, _)| id.as_ref() != Some(call));
        if queued != self.queue.len() {
            return; // it never left
        }
        let carrier = self.conns.iter_mut().find(|c| c.set_ups.contains(call) && c.writes.is_open());
        if let Some(conn) = carrier {
            conn.set_ups.remove(call);
            conn.writes.enqueue(&bytes);
            return;
        }
        let room = self.listed && self.queue.len() < MAX_QUEUED_RELEASES;
        match self.best() {
            Some(conn) => conn.writes.enqueue(&bytes),
            None if room => {
                self.queue.push_back((None, bytes));
                self.next_try = self.next_try.min(now + self.pause);
            }
            None => {}
        }
    }

    /// Something was heard on a connection; of a set-up, if a call is named.
    pub fn on_line(&mut self, now: Duration, id: ConnId, call: Option<&CallId>) {
        (self.last_received_at, self.silent) = (now, false);
        let Some(conn) = self.conns.iter_mut().find(|c| c.id == id) else { return };
        (conn.last_received_at, conn.stalled_since) = (now, None);
        if let Some(call) = call {
            conn.set_ups.remove(call);
        }
        conn.quiet_since = (!conn.set_ups.is_empty()).then_some(now);
        conn.retired = false;
        // The others get no more set-ups. They stay open, since what ends a standing call comes on the
        // connection of its set-up: a release that crossed a close would wait for the next one opened.
        self.conns
            .iter_mut()
            .filter(|c| c.id != id && c.last_received_at < now)
            .for_each(|c| c.retired = true);
    }

    /// The state of the group was told on a connection; after the first time that is news to all of them.
    pub fn on_group_state(&mut self, now: Duration, id: ConnId) {
        let Some(conn) = self.conns.iter_mut().find(|c| c.id == id) else { return };
        if std::mem::replace(&mut conn.notified, true) {
            let deaf = self.conns.iter_mut().filter(|c| c.id != id && now >= c.last_received_at + STALLED.0);
            deaf.for_each(|c| c.stalled_since = c.stalled_since.or(Some(now)));
        }
    }

    /// After what was read last, a connection is in the middle of a line or not.
    pub fn on_read(&mut self, now: Duration, id: ConnId, is_partial: bool) {
        if let Some(conn) = self.conns.iter_mut().find(|c| c.id == id) {
            conn.partial_line_since = is_partial.then(|| conn.partial_line_since.unwrap_or(now));
            // What is told may arrive in pieces: it is on its way.
            conn.stalled_since = None;
        }
    }

    /// Closes connections that are of no more use: cut short in the middle of a line, silent while others are told
    /// news, or to an exchange that has left the membership. On the last, set-ups that are open are awaited for a
    /// while.
    pub fn sweep(&self, now: Duration) {
        let over = |since: Option<Duration>, limit| since.is_some_and(|since| now >= since + limit);
        let is_removed =
            |c: &Conn| !self.listed && (c.set_ups.is_empty() || now >= self.left + REMOVED_LINGER);
        for conn in &self.conns {
            if is_removed(conn) {
                conn.writes.close(CloseReason::Removed);
            } else if over(conn.partial_line_since, PARTIAL_LINE_TIMEOUT) {
                conn.writes.close(CloseReason::MessageTimeout);
            } else if over(conn.stalled_since, STALLED.1) {
                conn.writes.close(CloseReason::Stalled);
            }
        }
    }

    /// Takes back the set-ups that wait for a connection: they never left.
    pub fn take_queued(&mut self) -> Vec<CallId> {
        let set_ups = self.queue.iter().filter_map(|(call, _)| call.clone()).collect();
        self.queue.retain(|(call, _)| call.is_none());
        set_ups
    }

    /// Its address belongs to another exchange by now: the process that the connections led to has gone.
    pub fn give_up_address(&self) {
        self.conns.iter().for_each(|c| c.writes.close(CloseReason::Removed));
    }

    /// Closes all connections once what is queued has been written.
    pub fn close(&self) {
        self.conns.iter().for_each(|c| c.writes.close(CloseReason::Shutdown));
    }

    /// Writes straight back on a connection.
    pub fn answer(&self, id: ConnId, bytes: &[u8]) {
        if let Some(conn) = self.conns.iter().find(|c| c.id == id) {
            conn.writes.enqueue(bytes);
        }
    }

    /// A connect succeeded: what was queued goes out on it.
    pub fn connected(&mut self, now: Duration, id: ConnId, writes: SharedWriteBuffer) {
        (self.connecting, self.dropped, self.tried, self.pause) = (false, false, true, CONNECT_BACKOFF.0);
        self.collect_at = self.collect_at.filter(|at| *at > now);
        (self.last_received_at, self.silent) = (now, false);
        let mut set_ups = BTreeSet::new();
        for (call, bytes) in self.queue.drain(..) {
            writes.enqueue(&bytes);
            set_ups.extend(call);
        }
        let quiet_since = (!set_ups.is_empty()).then_some(now);
        if !self.listed && set_ups.is_empty() {
            writes.close(CloseReason::Removed);
        }
        self.conns.push(Conn {
            id,
            writes,
            last_received_at: now,
            set_ups,
            quiet_since,
            partial_line_since: None,
            notified: false,
            stalled_since: None,
            retired: false,
        });
    }

    /// A connect failed; the set-ups named never ran. True: its process has ended.
    pub fn failed(&mut self, now: Duration, failure: Failure) -> (Vec<CallId>, bool) {
        (self.connecting, self.tried) = (false, true);
        self.silent |= failure == Failure::Silent;
        self.next_try = now + self.pause;
        self.pause = (self.pause * 2).min(CONNECT_BACKOFF.1);
        let set_ups = self.take_queued();
        let ended = failure == Failure::Refused && std::mem::take(&mut self.dropped);
        if ended {
            self.queue.clear(); // what was to be released there has gone with its process
        }
        (set_ups, ended)
    }

    /// A connection has ended; the set-ups named broke on their way.
    pub fn closed(&mut self, now: Duration, id: ConnId) -> Vec<CallId> {
        let Some(at) = self.conns.iter().position(|c| c.id == id) else { return Vec::new() };
        let conn = self.conns.swap_remove(at);
        self.collect_at = Some(now + RELEASE_COLLECT_DELAY);
        if self.conns.is_empty() {
            self.dropped = true;
            self.next_try = now;
        }
        conn.set_ups.into_iter().collect()
    }

    /// A new process has taken the place of the old one: its connections lead nowhere.
    pub fn replace_connections(&mut self, now: Duration) {
        self.conns.iter_mut().for_each(|c| c.retired = true);
        (self.next_try, self.pause) = (now, CONNECT_BACKOFF.0);
    }

    /// Nothing has been heard for a while; if calls stand there, it is to be seen why.
    pub fn is_idle(&self, now: Duration) -> bool {
        now >= self.last_received_at + IDLE
    }

    /// It has been out of reach for so long that what stood there must be taken for over.
    pub fn is_out_of_reach(&self, now: Duration) -> bool {
        self.silent && now >= self.last_received_at + OUT_OF_REACH
    }

    /// Whether there is room for another connection; if not, the one heard least lately is closed.
    pub fn make_room(&self) -> bool {
        if self.conns.len() >= MAX_CONNECTIONS {
            let fit = self.conns.iter().filter(|c| c.writes.is_open());
            fit.min_by_key(|c| c.last_received_at)
                .into_iter()
                .for_each(|c| c.writes.close(CloseReason::Evicted));
        }
        self.conns.len() < MAX_CONNECTIONS
    }

    /// Whether a connect should be made now; `missed`: calls stand there and nothing is heard of them.
    pub fn wants_connect(&self, now: Duration, missed: bool) -> bool {
        let silent = |c: &Conn| c.quiet_since.is_some_and(|since| now >= since + self.silence);
        // Guards against a machine that vanished and came back: its old connections stay open and silent.
        let collect = self.collect_at.is_some_and(|at| now >= at);
        // One that has just ended is made good when its releases are collected.
        let open = self.conns.iter().filter(|c| c.writes.is_open()).count();
        let few = open < MIN_IDLE_CONNECTIONS && self.collect_at.is_none();
        let useless = missed
            || collect
            || few
            || self.conns.iter().all(|c| c.retired || silent(c) || !c.writes.is_open());
        // A call's release comes on the next connection opened, so drains and losses keep a link wanted.
        self.listed && useless && !self.connecting && now >= self.next_try
    }

    /// What became of a set-up whose connection ended or never came up.
    pub fn status(ran: bool) -> Status {
        if ran {
            Status::Reset
        } else {
            Status::Unreachable
        }
    }
}
