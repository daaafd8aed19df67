//! A window of unanswered set-ups towards one processor.

/// Set-ups out toward one processor: first allowance, least and most.
/// (Below one: after each answer the next set-up waits, so that the mean is kept.)
pub(super) const INITIAL_WINDOW: f64 = 4.0;
pub(super) const MIN_WINDOW: f64 = 0.1;
pub(super) const MAX_WINDOW: f64 = 40.0;
/// A set-up that stands within this part of its aim lets the window grow; beyond the second it shrinks.
pub(super) const FAST_ANSWER: f64 = 0.2;
pub(super) const SLOW_ANSWER: f64 = 0.4;
/// Shrinking of a window on a slow answer, and on a failure or silence.
pub(super) const SLOW_ANSWER_FACTOR: f64 = 0.7;
pub(super) const FAILURE_FACTOR: f64 = 0.5;
/// A call that can only stand late goes while a window is used to this part at most.
pub(super) const LATE_CALL_WINDOW_SHARE: f64 = 0.3;

/// How many set-ups may be unanswered at once: what a processor sets up well within the aim.
///
/// Guards against a processor that is slow, stalled, silent, cold or full, whatever the cause: its
/// answers come late or not at all, so its window closes within a few set-ups and the rest are held.
/// Harm: a loss of signalling that is not the processor's closes it too, for as long as it lasts.
#[derive(Debug)]
pub(super) struct Window {
    pub(super) size: f64,
    pub(super) outstanding: f64,
    /// Shrinks once for each spell, not for each of the answers that tell of it.
    pub(super) last_shrunk_at: f64,
    /// With a window under one: not before this.
    pub(super) next_trial_at: f64,
}

impl Default for Window {
    fn default() -> Self {
        Self { size: INITIAL_WINDOW, outstanding: 0.0, last_shrunk_at: 0.0, next_trial_at: 0.0 }
    }
}

impl Window {
    pub(super) fn is_open(&self, now: f64, is_late: bool) -> bool {
        let capacity = if is_late { LATE_CALL_WINDOW_SHARE * self.size } else { self.size.max(1.0) };
        self.outstanding + 1.0 <= capacity && (self.size >= 1.0 || now >= self.next_trial_at)
    }

    pub(super) fn on_answered(&mut self, elapsed: f64, now: f64, max_trial_interval: f64) {
        self.outstanding = (self.outstanding - 1.0).max(0.0);
        self.next_trial_at = now + (elapsed * (1.0 / self.size - 1.0)).clamp(0.0, max_trial_interval);
    }

    pub(super) fn on_established(&mut self, relative_delay: f64, now: f64, min_interval: f64) {
        if relative_delay > SLOW_ANSWER {
            self.shrink(SLOW_ANSWER_FACTOR, now, min_interval);
        } else if relative_delay < FAST_ANSWER && self.outstanding * 2.0 >= self.size {
            self.size = (self.size + 1.0 / self.size.max(1.0)).min(MAX_WINDOW);
        }
    }

    pub(super) fn shrink(&mut self, factor: f64, now: f64, min_interval: f64) {
        if now >= self.last_shrunk_at + min_interval {
            self.size = (self.size * factor).max(MIN_WINDOW);
            self.last_shrunk_at = now;
        }
    }
}
