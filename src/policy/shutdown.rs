//! When a router that was told to stop does what: serves on, closes idle connections, gives up, ends.

use std::time::Duration;

/// Longest deadline that a stop waits for; longer ones are counted as this.
const MAX_DEADLINE: Duration = Duration::from_secs(3);
/// A stop by force comes so long after the longest deadline at the earliest.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// Before that, what is still open is given up: time for the answers to be written and read.
const GIVE_UP_LEAD: Duration = Duration::from_millis(300);
/// The process ends so long before it could be killed.
const EXIT_LEAD: Duration = Duration::from_millis(100);
/// Connections and their first requests go on coming for so long.
const ARRIVAL_PERIOD: Duration = Duration::from_millis(1300);
/// Connections are closed so long before the rest is given up, at least.
const CLOSE_IDLE_LEAD: Duration = Duration::from_millis(200);

/// Times of an orderly stop, from the signal on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutdownSchedule {
    /// No new connection is taken, and idle ones are closed.
    pub close_idle_after: Duration,
    /// Every open request is answered, and no other is taken up.
    pub give_up_after: Duration,
    /// The process ends, whatever is left.
    pub exit_after: Duration,
}

impl ShutdownSchedule {
    /// The times for a deployment whose longest class deadline is given.
    pub fn new(longest_deadline: Duration) -> Self {
        let kill_after = longest_deadline.min(MAX_DEADLINE) + KILL_MARGIN;
        let give_up_after = kill_after - GIVE_UP_LEAD;
        Self {
            close_idle_after: ARRIVAL_PERIOD.min(give_up_after - CLOSE_IDLE_LEAD),
            give_up_after,
            exit_after: kill_after - EXIT_LEAD,
        }
    }
}
