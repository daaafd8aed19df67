//! Releases of ended calls that are owed to clients: when each is sent again, and when it is done.
//!
//! A client need not confirm a release, and any connection may end with the release on it unread. A release
//! therefore stays pending until a client has confirmed it, or until it is long due and has been sent to a
//! client that is known to serve calls. Sends to any other client never use it up, however many there were.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::timers::{TimerKey, TimerQueue};
use crate::interface::{CallId, ExchangeId};

/// Time after which an unconfirmed release is first repeated; it doubles with each repeat.
const FIRST_RETRY: Duration = Duration::from_millis(300);
/// Longest time between two repeats of a release.
const MAX_RETRY: Duration = Duration::from_millis(2400);
/// Time within which a release is due. One that was sent to a client that serves calls is done after it.
const DUE_WITHIN: Duration = Duration::from_secs(8);
/// Time for which a release is kept that could be sent to no client that serves calls.
const RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of releases sent at once because a client has connected, has disconnected, or has shown that
/// it serves calls.
const MAX_SENDS_PER_CLIENT_EVENT: usize = 64;
/// Maximum number of releases sent at once because they are on no open connection.
const MAX_SENDS_PER_SWEEP: usize = 512;

/// An ended call whose release is pending.
#[derive(Debug)]
pub struct PendingRelease {
    /// Connection of the call's request, if it is known.
    pub client: Option<u64>,
    /// Q.850 cause.
    pub cause: u32,
    /// Exchange at which the call was established, which is told when its release is done.
    pub exchange: ExchangeId,
    ended_at: Duration,
    /// Open connections on which it was sent, each with whether their clients were known to serve calls.
    sent_on: BTreeMap<u64, bool>,
    last_sent_at: Duration,
    /// Number of sends since which the time to the next repeat has doubled.
    repeats: u32,
    timer: TimerKey,
}

impl PendingRelease {
    /// Returns whether the release was sent on this connection.
    pub fn was_sent_on(&self, client: u64) -> bool {
        self.sent_on.contains_key(&client)
    }

    /// Returns whether a client that serves calls has been sent the release on a connection that is still open.
    fn is_told(&self) -> bool {
        self.sent_on.values().any(|serves_calls| *serves_calls)
    }

    /// Returns the time at which the release is done or given up, confirmed or not.
    fn expires_at(&self) -> Duration {
        if self.is_told() {
            (self.ended_at + DUE_WITHIN).max(self.last_sent_at + FIRST_RETRY)
        } else {
            self.ended_at + RETENTION
        }
    }

    /// Returns when the release is to be repeated. One that is on no open connection has no such time.
    fn next_repeat_at(&self) -> Option<Duration> {
        let factor = 1_u32.checked_shl(self.repeats).unwrap_or(u32::MAX);
        let interval = FIRST_RETRY.saturating_mul(factor).min(MAX_RETRY);
        (!self.sent_on.is_empty()).then_some(self.last_sent_at + interval)
    }
}

/// What is due for a release.
#[derive(Debug, PartialEq, Eq)]
pub enum ReleaseTask {
    /// The release is to be sent.
    Send(CallId),
    /// The release is done or given up; the exchange of the call may be told.
    Done(CallId, ExchangeId),
}

/// All pending releases.
#[derive(Debug, Default)]
pub struct PendingReleases {
    releases: BTreeMap<CallId, PendingRelease>,
    timers: TimerQueue<CallId>,
    /// Releases that no client which serves calls has been sent, with the time of the last send.
    untold: BTreeSet<(Duration, CallId)>,
    /// Those of them that are on no open connection.
    unsent: BTreeSet<(Duration, CallId)>,
    /// Number of untold releases of the calls at each exchange.
    untold_by_exchange: BTreeMap<ExchangeId, usize>,
    /// Releases that were sent on each open connection.
    sent_by_client: BTreeMap<u64, BTreeSet<CallId>>,
}

impl PendingReleases {
    /// Adds the release of a call that has just ended. Returns false if it is pending already.
    pub fn add(
        &mut self,
        now: Duration,
        call: &CallId,
        client: Option<u64>,
        cause: u32,
        exchange: ExchangeId,
    ) -> bool {
        if self.releases.contains_key(call) {
            return false;
        }
        let timer = self.timers.schedule(now + RETENTION, call.clone());
        let (last_sent_at, sent_on) = (Duration::ZERO, BTreeMap::new());
        let release = PendingRelease {
            client,
            cause,
            exchange,
            ended_at: now,
            sent_on,
            last_sent_at,
            repeats: 0,
            timer,
        };
        self.releases.insert(call.clone(), release);
        self.add_to_indexes(call);
        true
    }

    /// Returns a pending release.
    pub fn get(&self, call: &CallId) -> Option<&PendingRelease> {
        self.releases.get(call)
    }

    /// Returns the number of pending releases.
    pub fn len(&self) -> usize {
        self.releases.len()
    }

    /// Returns whether no release is pending.
    pub fn is_empty(&self) -> bool {
        self.releases.is_empty()
    }

    /// Returns whether a call of this exchange has ended whose release was sent to no client that serves calls.
    pub fn has_untold_of(&self, exchange: &ExchangeId) -> bool {
        self.untold_by_exchange.contains_key(exchange)
    }

    /// Records that a release was sent on a connection, whose client is known to serve calls or not.
    pub fn on_sent(&mut self, now: Duration, call: &CallId, client: u64, serves_calls: bool) {
        self.change(call, |release| {
            release.repeats += u32::from(!release.sent_on.is_empty());
            release.sent_on.insert(client, serves_calls);
            release.last_sent_at = now;
        });
        if self.releases.contains_key(call) {
            self.sent_by_client.entry(client).or_default().insert(call.clone());
        }
    }

    /// Records a confirmation. It counts only on a connection on which the release was sent. Returns the exchange
    /// of the call if the release is done.
    pub fn on_confirmed(&mut self, call: &CallId, client: u64) -> Option<ExchangeId> {
        self.releases.get(call).filter(|release| release.was_sent_on(client))?;
        self.remove(call)
    }

    /// Removes the release of a call of which its caller knows that it is over. Returns the exchange of the
    /// call, or `None` if no release was pending.
    pub fn remove(&mut self, call: &CallId) -> Option<ExchangeId> {
        self.remove_from_indexes(call);
        let release = self.releases.remove(call)?;
        self.timers.cancel(release.timer);
        for client in release.sent_on.keys() {
            if let Some(sent) = self.sent_by_client.get_mut(client) {
                sent.remove(call);
            }
        }
        Some(release.exchange)
    }

    /// Records the end of a connection. Returns the releases that may have been lost with it and are to be
    /// sent on another one at once.
    pub fn on_disconnected(&mut self, client: u64) -> Vec<CallId> {
        let mut lost: Vec<CallId> = self.sent_by_client.remove(&client).into_iter().flatten().collect();
        for call in &lost {
            self.change(call, |release| {
                release.sent_on.remove(&client);
            });
        }
        lost.retain(|call| self.releases.get(call).is_some_and(|release| !release.is_told()));
        lost.truncate(MAX_SENDS_PER_CLIENT_EVENT);
        lost
    }

    /// Records that the client of a connection is now known to serve calls.
    pub fn on_client_serves_calls(&mut self, client: u64) {
        for call in self.sent_by_client.get(&client).cloned().unwrap_or_default() {
            self.change(&call, |release| {
                release.sent_on.insert(client, true);
            });
        }
    }

    /// Returns the releases to be sent at once on a connection that is new, or whose client is now known to
    /// serve calls: those that no such client has been sent, oldest send first.
    pub fn due_for_client(&self, client: u64) -> Vec<CallId> {
        let is_due = |call: &&CallId| self.releases.get(*call).is_some_and(|r| !r.was_sent_on(client));
        let due = self.untold.iter().map(|(_, call)| call).filter(is_due);
        due.take(MAX_SENDS_PER_CLIENT_EVENT).cloned().collect()
    }

    /// Returns some of the releases that are on no open connection, to be sent if any client is connected.
    pub fn due_for_any_client(&self) -> Vec<CallId> {
        self.unsent.iter().take(MAX_SENDS_PER_SWEEP).map(|(_, call)| call.clone()).collect()
    }

    /// Removes and returns a release whose repeat or whose end is due.
    pub fn pop_due(&mut self, now: Duration) -> Option<ReleaseTask> {
        let call = self.timers.pop_due(now)?;
        let release = self.releases.get(&call)?;
        if now < release.expires_at() {
            return Some(ReleaseTask::Send(call));
        }
        let exchange = self.remove(&call)?;
        Some(ReleaseTask::Done(call, exchange))
    }

    /// Changes a release, and with it its place in the indexes and its timer: the next repeat, or the end if
    /// that comes first.
    fn change(&mut self, call: &CallId, change: impl FnOnce(&mut PendingRelease)) {
        self.remove_from_indexes(call);
        if let Some(release) = self.releases.get_mut(call) {
            change(release);
            self.timers.cancel(release.timer);
            let expires_at = release.expires_at();
            let due_at = release.next_repeat_at().map_or(expires_at, |at| at.min(expires_at));
            release.timer = self.timers.schedule(due_at, call.clone());
        }
        self.add_to_indexes(call);
    }

    fn add_to_indexes(&mut self, call: &CallId) {
        let Some(release) = self.releases.get(call).filter(|release| !release.is_told()) else { return };
        let entry = (release.last_sent_at, call.clone());
        if release.sent_on.is_empty() {
            self.unsent.insert(entry.clone());
        }
        if self.untold.insert(entry) {
            *self.untold_by_exchange.entry(release.exchange.clone()).or_default() += 1;
        }
    }

    fn remove_from_indexes(&mut self, call: &CallId) {
        let Some(release) = self.releases.get(call) else { return };
        let entry = (release.last_sent_at, call.clone());
        self.unsent.remove(&entry);
        if !self.untold.remove(&entry) {
            return;
        }
        let count = self.untold_by_exchange.entry(release.exchange.clone()).or_default();
        *count = count.saturating_sub(1);
        if *count == 0 {
            self.untold_by_exchange.remove(&release.exchange);
        }
    }
}
