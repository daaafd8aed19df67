//! A window that limits the unanswered set-ups toward one processor.

/// Size of a new window in set-ups.
pub(super) const INITIAL_WINDOW: f64 = 4.0;
/// Smallest size of a window. Below a size of 1 each set-up waits after the answer to the last one, so that
/// the mean number of unanswered set-ups equals the size.
pub(super) const MIN_WINDOW: f64 = 0.1;
/// Largest size of a window in set-ups.
pub(super) const MAX_WINDOW: f64 = 40.0;
/// A set-up established within this share of its latency objective lets the window grow.
pub(super) const FAST_ANSWER: f64 = 0.2;
/// A set-up that takes longer than this share of its latency objective shrinks the window.
pub(super) const SLOW_ANSWER: f64 = 0.4;
/// Factor that a slow answer applies to the size of the window.
pub(super) const SLOW_ANSWER_FACTOR: f64 = 0.7;
/// Factor that a failure or a missing answer applies to the size of the window.
pub(super) const FAILURE_FACTOR: f64 = 0.5;
/// Share of the window that is open to calls which can only be established after their latency objective.
pub(super) const LATE_CALL_WINDOW_SHARE: f64 = 0.3;

/// Limits how many set-ups are unanswered at once to what a processor handles well within the latency
/// objective.
///
/// Whatever makes a processor slow, stalled, silent, cold or full, its answers come late or not at all. Its
/// window then closes within a few set-ups, and further calls are held. The drawback: signalling that is lost
/// for another reason closes the window as well, for as long as the loss lasts.
#[derive(Debug)]
pub(super) struct Window {
    /// Number of set-ups that may be unanswered at once; below 1 the window is closed but for trials.
    pub(super) size: f64,
    /// Number of unanswered set-ups.
    pub(super) outstanding: f64,
    /// Time of the last shrinking. The window shrinks once per interval, not with each of several answers
    /// that are late for one reason.
    pub(super) last_shrunk_at: f64,
    /// Earliest time of the next trial set-up while the size is below 1.
    pub(super) next_trial_at: f64,
}

impl Default for Window {
    fn default() -> Self {
        Self { size: INITIAL_WINDOW, outstanding: 0.0, last_shrunk_at: 0.0, next_trial_at: 0.0 }
    }
}

impl Window {
    /// Returns whether another set-up may be sent, where `is_late` is a call that can only be established
    /// late.
    pub(super) fn is_open(&self, now: f64, is_late: bool) -> bool {
        let capacity = if is_late { LATE_CALL_WINDOW_SHARE * self.size } else { self.size.max(1.0) };
        self.outstanding + 1.0 <= capacity && (self.size >= 1.0 || now >= self.next_trial_at)
    }

    /// Removes a set-up that took `elapsed` seconds, and sets the time of the next trial.
    pub(super) fn on_answered(&mut self, elapsed: f64, now: f64, max_trial_interval: f64) {
        self.outstanding = (self.outstanding - 1.0).max(0.0);
        self.next_trial_at = now + (elapsed * (1.0 / self.size - 1.0)).clamp(0.0, max_trial_interval);
    }

    /// Adapts the size to a set-up that was established after `relative_delay` latency objectives.
    pub(super) fn on_established(&mut self, relative_delay: f64, now: f64, min_interval: f64) {
        if relative_delay > SLOW_ANSWER {
            self.shrink(SLOW_ANSWER_FACTOR, now, min_interval);
        } else if relative_delay < FAST_ANSWER && self.outstanding * 2.0 >= self.size {
            self.size = (self.size + 1.0 / self.size.max(1.0)).min(MAX_WINDOW);
        }
    }

    /// Multiplies the size by `factor`, unless that happened less than `min_interval` seconds ago.
    pub(super) fn shrink(&mut self, factor: f64, now: f64, min_interval: f64) {
        if now >= self.last_shrunk_at + min_interval {
            self.size = (self.size * factor).max(MIN_WINDOW);
            self.last_shrunk_at = now;
        }
    }
}
