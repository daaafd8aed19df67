//! Queue of timers, ordered by due time.

use std::collections::BTreeMap;
use std::time::Duration;

/// Identifies a scheduled timer, to cancel it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerKey {
    due_at: Duration,
    sequence: u64,
}

/// Timers in order of their due time; those due at the same time come in the order they were scheduled.
#[derive(Debug)]
pub struct TimerQueue<T> {
    entries: BTreeMap<TimerKey, T>,
    last_sequence: u64,
}

impl<T> Default for TimerQueue<T> {
    fn default() -> Self {
        Self { entries: BTreeMap::new(), last_sequence: 0 }
    }
}

impl<T> TimerQueue<T> {
    /// Schedules a timer for the time `at`.
    pub fn schedule(&mut self, at: Duration, timer: T) -> TimerKey {
        self.last_sequence += 1;
        let key = TimerKey { due_at: at, sequence: self.last_sequence };
        self.entries.insert(key, timer);
        key
    }

    /// Removes a timer. Has no effect if it has been removed already.
    pub fn cancel(&mut self, key: TimerKey) {
        self.entries.remove(&key);
    }

    /// Returns the earliest due time.
    pub fn next_due(&self) -> Option<Duration> {
        self.entries.first_key_value().map(|(key, _)| key.due_at)
    }

    /// Removes and returns the earliest timer if it is due at `now`.
    pub fn pop_due(&mut self, now: Duration) -> Option<T> {
        let entry = self.entries.first_entry().filter(|e| e.key().due_at <= now)?;
        Some(entry.remove())
    }

    /// Returns the number of scheduled timers.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no timer is scheduled.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
