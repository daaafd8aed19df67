//! Schedule of a stopping router: it closes idle connections, then gives up open requests, then exits.

use std::time::Duration;

/// Longest class deadline that a stop waits for. Longer deadlines count as this one.
const MAX_DEADLINE: Duration = Duration::from_secs(3);
/// Shortest time between the longest deadline and a forced stop.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// Time between giving up the open requests and a forced stop, for the answers to be written and read.
const GIVE_UP_LEAD: Duration = Duration::from_millis(300);
/// Time between the exit of the process and a forced stop.
const EXIT_LEAD: Duration = Duration::from_millis(100);
/// Time after the signal during which new connections and their first requests still arrive.
const ARRIVAL_PERIOD: Duration = Duration::from_millis(1300);
/// Shortest time between closing idle connections and giving up the open requests.
const CLOSE_IDLE_LEAD: Duration = Duration::from_millis(200);

/// Times of an orderly stop, counted from the signal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutdownSchedule {
    /// Time until no new connection is accepted and idle ones are closed.
    pub close_idle_after: Duration,
    /// Time until every open request is answered and new ones are refused.
    pub give_up_after: Duration,
    /// Time until the process exits, whatever is left.
    pub exit_after: Duration,
}

impl ShutdownSchedule {
    /// Returns the schedule of a deployment whose classes have this longest deadline.
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
