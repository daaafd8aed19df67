//! Requests that are not passed to the core yet, since their client has sent more than has been read.
//!
//! What is still unread may end with the close of the connection. The requests are then withdrawn without having
//! been sent to an exchange.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use super::core::Request;
use crate::interface::CallId;

/// Longest time for which a request is deferred.
const MAX_DEFERRAL: Duration = Duration::from_millis(250);
/// The longest deferral is at most this part of the time that remains until the caller gives up.
const MAX_DEFERRAL_DIVISOR: u32 = 4;
/// Time for which nothing must be unread. What the client's system still holds arrives soon after there is room for it.
const SETTLE_TIME: Duration = Duration::from_millis(5);
/// Number of unread bytes from which on there may have been no room for more, so that the client's system may hold some
/// back.
const FULL_RECEIVE_WINDOW: usize = 32 * 1024;
/// The settle time after that: a busy system may send the rest late.
const FULL_WINDOW_SETTLE_TIME: Duration = Duration::from_millis(50);

/// A request, and where it goes.
#[derive(Debug)]
pub struct DeferredRequest {
    /// The request; the remaining time of its call is that when it was deferred.
    request: Request,
    /// Whether its destination is known and need not be looked up.
    pub has_destination: bool,
    deferred_at: Duration,
}

impl DeferredRequest {
    /// Returns the latest time at which the request is to be routed.
    fn latest(&self) -> Duration {
        let share = self.request.offered.remaining / MAX_DEFERRAL_DIVISOR;
        self.deferred_at + MAX_DEFERRAL.min(share)
    }

    /// Returns the call that is requested.
    pub fn call(&self) -> &CallId {
        &self.request.offered.call
    }

    /// Returns the request with the time that remains at `now`.
    pub fn into_request(mut self, now: Duration) -> Request {
        let waited = now.saturating_sub(self.deferred_at);
        self.request.offered.remaining = self.request.offered.remaining.saturating_sub(waited);
        self.request
    }
}

/// The deferred requests of one client connection.
#[derive(Debug)]
struct ClientRequests {
    requests: VecDeque<DeferredRequest>,
    /// Time at which the first of them has to be routed at the latest.
    latest: Duration,
    /// Time since which no read has left anything unread.
    drained_at: Option<Duration>,
    /// Time for which nothing must be unread.
    settle_time: Duration,
    /// Time at which the requests are to be routed.
    due_at: Duration,
}

impl ClientRequests {
    /// Returns when the requests are to be routed, as far as is known now.
    fn next_due(&self) -> Duration {
        self.drained_at.map_or(self.latest, |drained_at| self.latest.min(drained_at + self.settle_time))
    }
}

/// The deferred requests of all client connections.
#[derive(Debug, Default)]
pub struct DeferredRequests {
    by_client: HashMap<u64, ClientRequests>,
    /// The clients, ordered by the time at which their requests are due.
    due: BTreeSet<(Duration, u64)>,
}

impl DeferredRequests {
    /// Returns whether a client has deferred requests. Later ones are deferred as well, to keep their order.
    pub fn has_requests(&self, client: u64) -> bool {
        self.by_client.contains_key(&client)
    }

    /// Adds a request of a client.
    pub fn add(&mut self, now: Duration, client: u64, request: Request, has_destination: bool) {
        let deferred = DeferredRequest { request, has_destination, deferred_at: now };
        let latest = deferred.latest();
        let requests = self.by_client.entry(client).or_insert_with(|| ClientRequests {
            requests: VecDeque::new(),
            latest,
            drained_at: None,
            settle_time: SETTLE_TIME,
            due_at: latest,
        });
        requests.requests.push_back(deferred);
        requests.latest = requests.latest.min(latest);
        self.reschedule(client);
    }

    /// Records how many bytes of what a client has sent are unread after a read.
    pub fn on_read(&mut self, now: Duration, client: u64, unread: usize) {
        let Some(requests) = self.by_client.get_mut(&client) else { return };
        let since = requests.drained_at.unwrap_or(now);
        requests.drained_at = (unread == 0).then_some(since);
        if unread >= FULL_RECEIVE_WINDOW {
            requests.settle_time = FULL_WINDOW_SETTLE_TIME;
        }
        self.reschedule(client);
    }

    /// Puts a client in its place among those whose requests become due.
    fn reschedule(&mut self, client: u64) {
        let Some(requests) = self.by_client.get_mut(&client) else { return };
        self.due.remove(&(requests.due_at, client));
        requests.due_at = requests.next_due();
        self.due.insert((requests.due_at, client));
    }

    /// Removes the requests of a client.
    pub fn remove(&mut self, client: u64) {
        if let Some(requests) = self.by_client.remove(&client) {
            self.due.remove(&(requests.due_at, client));
        }
    }

    /// Returns when [`DeferredRequests::take_due`] is to be asked next.
    pub fn next_due(&self) -> Option<Duration> {
        self.due.first().map(|(due_at, _)| *due_at)
    }

    /// Removes and returns the next request that is to be routed now and its client: the requests of a client come
    /// in the order in which they arrived.
    pub fn take_due(&mut self, now: Duration) -> Option<(u64, DeferredRequest)> {
        let (_, client) = *self.due.first().filter(|(due_at, _)| *due_at <= now)?;
        let requests = self.by_client.get_mut(&client)?;
        let request = requests.requests.pop_front()?;
        if requests.requests.is_empty() {
            self.remove(client);
        }
        Some((client, request))
    }
}
