//! Open calls (unanswered requests and established calls) and the ids of calls that ended recently.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use super::ended_calls::{RecentCallIds, SentCallIds};
use super::timers::TimerKey;
use crate::interface::{hash_text, CallId, ExchangeId};

/// Source of a request; the front end assigns the number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Origin(pub u64);

/// An attempt that is pending or that established the call.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Exchange that it was sent to.
    pub exchange: ExchangeId,
    /// Number of the attempt within its call, from 0.
    pub number: u32,
    /// Time at which it was sent.
    pub sent_at: Duration,
}

/// The text that the set-ups of a call carry.
#[derive(Debug, Clone)]
pub struct SetUpText {
    /// Called number.
    pub called_number: Arc<str>,
    /// Session description, passed on unchanged.
    pub description: Arc<str>,
}

/// An open call.
#[derive(Debug)]
pub struct Call {
    /// Source of its request.
    pub origin: Origin,
    /// Index of its class.
    pub class: usize,
    /// What its set-ups carry; `None` once the call is established and no further set-up can follow.
    pub set_up: Option<SetUpText>,
    /// Hash of the session description, by which a repeated request is recognized.
    pub description_hash: u64,
    /// Time at which the caller stops waiting for an answer.
    pub deadline: Duration,
    /// Number of attempts made so far.
    pub attempts_made: u32,
    /// Attempt that is pending or that established the call.
    pub attempt: Option<Attempt>,
    /// Set once an exchange has answered: the call is established.
    pub is_established: bool,
    /// Timer of the deadline, while the request is unanswered.
    pub deadline_timer: Option<TimerKey>,
    /// Timer of the pending attempt.
    pub attempt_timer: Option<TimerKey>,
}

impl Call {
    /// Returns whether the call was requested with this session description.
    pub fn has_description(&self, description: &str) -> bool {
        self.description_hash == hash_text(description)
    }
}

/// Number of ids of ended calls that were sent to an exchange beyond which requests are refused.
const MAX_ENDED_CALLS: usize = 262_144;
/// Part of it that is left to the requests of clients which are known to serve calls.
const PREFERRED_ENDED_DIVISOR: usize = 4;
/// Largest number of ids whose calls were never sent to an exchange. They are limited apart, so that a flood of
/// requests that are refused or withdrawn can't displace the others.
const MAX_ENDED_UNSENT_CALLS: usize = 8192;
/// Largest number of ids that exchanges have named. They are limited apart, so that an exchange can neither displace
/// those of calls that were sent nor have requests refused for them.
const MAX_ENDED_NAMED_CALLS: usize = 32_768;

/// All open calls and the ids of calls that ended recently.
#[derive(Debug)]
pub struct Calls {
    /// Open calls by id.
    pub open: HashMap<CallId, Call>,
    /// Established calls by the exchange that holds them. An exchange without any has no entry.
    established: HashMap<ExchangeId, BTreeSet<CallId>>,
    /// Number of established calls.
    established_count: usize,
    /// Calls that were sent to an exchange.
    ended: SentCallIds,
    /// Calls of an earlier process that an exchange has named.
    ended_named: RecentCallIds,
    /// Calls that no exchange knows of.
    ended_unsent: RecentCallIds,
}

impl Default for Calls {
    fn default() -> Self {
        Self {
            open: HashMap::new(),
            established: HashMap::new(),
            established_count: 0,
            ended: SentCallIds::default(),
            ended_named: RecentCallIds::new(MAX_ENDED_NAMED_CALLS),
            ended_unsent: RecentCallIds::new(MAX_ENDED_UNSENT_CALLS),
        }
    }
}

impl Calls {
    /// Removes an open call and keeps its id as ended for a while; returns the call.
    ///
    /// An id that is not open is kept as well: its call may be older than this process.
    pub fn end(&mut self, id: &CallId, now: Duration) -> Option<Call> {
        let call = self.open.remove(id);
        if let Some(call) = call.as_ref().filter(|call| call.is_established) {
            self.remove_established(id, call);
        }
        if call.as_ref().is_some_and(|call| call.attempts_made > 0) {
            self.ended.insert(id, now);
        } else {
            self.ended_unsent.insert(id, now);
        }
        call
    }

    /// Keeps the id of a call as ended that an exchange has named.
    pub fn mark_ended(&mut self, id: &CallId, now: Duration) {
        self.ended_named.insert(id, now);
    }

    /// Returns `true` if a call with this id ended recently.
    pub fn has_ended(&self, id: &CallId) -> bool {
        self.ended.contains(id) || self.ended_named.contains(id) || self.ended_unsent.contains(id)
    }

    /// Returns whether the id of another call can be kept after its end. `is_preferred` tells that its client is known
    /// to serve calls.
    pub fn has_room_for_ids(&mut self, now: Duration, is_preferred: bool) -> bool {
        let kept = if is_preferred { 0 } else { MAX_ENDED_CALLS / PREFERRED_ENDED_DIVISOR };
        self.ended.len(now) + kept < MAX_ENDED_CALLS
    }

    /// Records that an exchange has answered the pending attempt of an open call. Returns false if the call has no
    /// attempt, or is established already.
    pub fn establish(&mut self, id: &CallId) -> bool {
        let Some(call) = self.open.get_mut(id).filter(|call| !call.is_established) else { return false };
        let Some(attempt) = &call.attempt else { return false };
        call.is_established = true;
        self.established.entry(attempt.exchange.clone()).or_default().insert(id.clone());
        self.established_count += 1;
        true
    }

    /// Removes a call from the established ones.
    fn remove_established(&mut self, id: &CallId, call: &Call) {
        self.established_count = self.established_count.saturating_sub(1);
        let Some(exchange) = call.attempt.as_ref().map(|attempt| &attempt.exchange) else { return };
        let Some(calls) = self.established.get_mut(exchange) else { return };
        calls.remove(id);
        if calls.is_empty() {
            self.established.remove(exchange);
        }
    }

    /// Returns whether a call is established at the exchange.
    pub fn has_established_at(&self, exchange: &ExchangeId) -> bool {
        self.established.contains_key(exchange)
    }

    /// Returns the calls that are established at the exchange, in the order of their ids.
    pub fn established_at(&self, exchange: &ExchangeId) -> Vec<CallId> {
        self.established.get(exchange).into_iter().flatten().cloned().collect()
    }

    /// Number of requests without a final answer.
    pub fn unanswered(&self) -> usize {
        self.open.len() - self.established_count
    }

    /// Number of established calls.
    pub fn established(&self) -> usize {
        self.established_count
    }
}
