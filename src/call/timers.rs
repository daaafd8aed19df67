//! Queue of timers, ordered by due time.

use std::collections::BTreeMap;
use std::time::Duration;

/// Timers in order of their due time; those due at the same time come in the order they were scheduled.
#[derive(Debug)]
pub struct TimerQueue<T> {
    entries: BTreeMap<(Duration, u64), T>,
    last_sequence: u64,
}

impl<T> Default for TimerQueue<T> {
    fn default() -> Self {
        Self { entries: BTreeMap::new(), last_sequence: 0 }
    }
}

impl<T> TimerQueue<T> {
    /// Schedules a timer for the time `at`.
    pub fn schedule(&mut self, at: Duration, timer: T) {
        self.last_sequence += 1;
        self.entries.insert((at, self.last_sequence), timer);
    }

    /// Returns the earliest due time.
    pub fn next_due(&self) -> Option<Duration> {
        self.entries.first_key_value().map(|((at, _), _)| *at)
    }

    /// Removes and returns the earliest timer if it is due at `now`.
    pub fn pop_due(&mut self, now: Duration) -> Option<T> {
        let entry = self.entries.first_entry().filter(|e| e.key().0 <= now)?;
        Some(entry.remove())
    }
}
