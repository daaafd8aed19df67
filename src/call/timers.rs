//! Times at which something is due.

use std::collections::BTreeMap;
use std::time::Duration;

/// Due times, kept in order; of equal times the earlier set comes first.
#[derive(Debug)]
pub struct Timers<T> {
    due: BTreeMap<(Duration, u64), T>,
    set: u64,
}

impl<T> Default for Timers<T> {
    fn default() -> Self {
        Self { due: BTreeMap::new(), set: 0 }
    }
}

impl<T> Timers<T> {
    /// Notes what is due at `at`.
    pub fn set(&mut self, at: Duration, what: T) {
        self.set += 1;
        self.due.insert((at, self.set), what);
    }

    /// The earliest due time.
    pub fn next(&self) -> Option<Duration> {
        self.due.first_key_value().map(|((at, _), _)| *at)
    }

    /// Takes the earliest thing due at `now`.
    pub fn take(&mut self, now: Duration) -> Option<T> {
        let entry = self.due.first_entry().filter(|e| e.key().0 <= now)?;
        Some(entry.remove())
    }
}
