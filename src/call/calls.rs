//! Calls in hand: requests not answered yet, calls that stand, and ids that are over.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use crate::interface::{CallId, ExchangeId};

/// Where a request came from, as its front names it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Origin(pub u64);

/// One attempt that is out, or that stands.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Where it was sent.
    pub exchange: ExchangeId,
    /// Its number.
    pub seq: u32,
    /// When it was sent.
    pub at: Duration,
}

/// A call in hand.
#[derive(Debug)]
pub struct Call {
    /// Where its request came from.
    pub origin: Origin,
    /// Class number.
    pub class: usize,
    /// Number called.
    pub number: Arc<str>,
    /// Its description, passed on as it is.
    pub description: Arc<str>,
    /// When the caller gives up.
    pub deadline: Duration,
    /// Attempts made so far.
    pub attempts: u32,
    /// The one that is out or stands.
    pub out: Option<Attempt>,
    /// It has been answered: the call stands.
    pub stands: bool,
}

/// How long an id that is over is remembered, so that what still arrives for it is known for late.
const REMEMBERED: Duration = Duration::from_secs(15);
/// How many such ids at most; the oldest are forgotten first.
const MOST_REMEMBERED: usize = 32_768;

/// All calls in hand and those lately over.
#[derive(Debug, Default)]
pub struct Calls {
    /// Calls in hand.
    pub open: HashMap<CallId, Call>,
    over: HashMap<CallId, Duration>,
    order: VecDeque<(Duration, CallId)>,
}

impl Calls {
    /// Ends a call: it is out of hand, and its id is remembered for a while.
    pub fn end(&mut self, id: &CallId, now: Duration) -> Option<Call> {
        self.mark_ended(id, now);
        self.open.remove(id)
    }

    /// Remembers an id as over.
    pub fn mark_ended(&mut self, id: &CallId, now: Duration) {
        self.over.insert(id.clone(), now);
        self.order.push_back((now, id.clone()));
        while self.order.len() > MOST_REMEMBERED
            || self.order.front().is_some_and(|(at, _)| *at + REMEMBERED < now)
        {
            let Some((at, old)) = self.order.pop_front() else { break };
            if self.over.get(&old) == Some(&at) {
                self.over.remove(&old);
            }
        }
    }

    /// Whether the id was in hand and is over.
    pub fn has_ended(&self, id: &CallId) -> bool {
        self.over.contains_key(id)
    }

    /// Requests without a final answer.
    pub fn unanswered(&self) -> usize {
        self.open.values().filter(|c| !c.stands).count()
    }

    /// Calls that stand.
    pub fn standing(&self) -> usize {
        self.open.len() - self.unanswered()
    }
}
