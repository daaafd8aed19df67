//! Ids of calls that ended recently, by which late messages and repeated requests are recognized.

use std::collections::hash_map::RandomState;
use std::collections::{HashMap, HashSet, VecDeque};
use std::hash::BuildHasher;
use std::time::Duration;

use crate::interface::CallId;

/// Minimum time for which the id of a call that was sent to an exchange is kept after its end.
const SENT_RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of ids of calls that were sent to an exchange.
const MAX_SENT_IDS: usize = 524_288;
/// Time in which the ids are collected that are dropped together.
const GENERATION_LENGTH: Duration = Duration::from_secs(15);
/// Time for which the id of any other call is kept after its end.
const RECENT_RETENTION: Duration = Duration::from_secs(15);

/// Ids that were collected in the same time, as hashes: an id may be far longer.
#[derive(Debug)]
struct Generation {
    started_at: Duration,
    hashes: HashSet<u64>,
}

/// Ids of ended calls that were sent to an exchange. An exchange may still send messages for the call, and the call
/// must not run a second time. Whoever takes requests refuses them long before `MAX_SENT_IDS` are kept; beyond it the
/// oldest generation is dropped.
#[derive(Debug, Default)]
pub struct SentCallIds {
    hasher: RandomState,
    /// Generations, earliest first.
    generations: VecDeque<Generation>,
    count: usize,
}

impl SentCallIds {
    /// Adds an id and drops those whose time is over.
    pub fn insert(&mut self, id: &CallId, now: Duration) {
        self.drop_expired(now);
        let hash = self.hasher.hash_one(&*id.0);
        let is_current = |generation: &Generation| now < generation.started_at + GENERATION_LENGTH;
        if !self.generations.back().is_some_and(is_current) {
            self.generations.push_back(Generation { started_at: now, hashes: HashSet::new() });
        }
        if let Some(generation) = self.generations.back_mut() {
            self.count += usize::from(generation.hashes.insert(hash));
        }
    }

    fn drop_expired(&mut self, now: Duration) {
        let is_expired =
            |generation: &Generation| generation.started_at + GENERATION_LENGTH + SENT_RETENTION < now;
        while self.count >= MAX_SENT_IDS || self.generations.front().is_some_and(is_expired) {
            let expired = self.generations.pop_front();
            self.count -= expired.map_or(0, |generation| generation.hashes.len());
        }
    }

    /// Returns whether an id is kept.
    pub fn contains(&self, id: &CallId) -> bool {
        let hash = self.hasher.hash_one(&*id.0);
        self.generations.iter().any(|generation| generation.hashes.contains(&hash))
    }

    /// Returns the number of ids that are kept at `now`.
    pub fn len(&mut self, now: Duration) -> usize {
        self.drop_expired(now);
        self.count
    }
}

/// Ids of ended calls that this process has sent to no exchange. If there are too many, the oldest are dropped.
#[derive(Debug)]
pub struct RecentCallIds {
    max_ids: usize,
    /// Ids with the time of their end.
    ended_at: HashMap<CallId, Duration>,
    /// The same ids, earliest end first; an id that ended twice is listed twice.
    by_time: VecDeque<(Duration, CallId)>,
}

impl RecentCallIds {
    /// Creates an empty set of at most `max_ids` ids.
    pub fn new(max_ids: usize) -> Self {
        Self { max_ids, ended_at: HashMap::new(), by_time: VecDeque::new() }
    }

    /// Adds an id and drops ids that are too old or too many.
    pub fn insert(&mut self, id: &CallId, now: Duration) {
        self.ended_at.insert(id.clone(), now);
        self.by_time.push_back((now, id.clone()));
        let is_expired = |(ended_at, _): &(Duration, CallId)| *ended_at + RECENT_RETENTION < now;
        while self.by_time.len() > self.max_ids || self.by_time.front().is_some_and(is_expired) {
            let Some((ended_at, expired)) = self.by_time.pop_front() else { break };
            if self.ended_at.get(&expired) == Some(&ended_at) {
                self.ended_at.remove(&expired);
            }
        }
    }

    /// Returns whether an id is kept.
    pub fn contains(&self, id: &CallId) -> bool {
        self.ended_at.contains_key(id)
    }
}
