//! Admission control of one processor after the Proteo paper: limits the rate of accepted calls depending on
//! the rate of offered calls.
//!
//! The symbols A, X, T, θ, λs, C, B and γ are the paper's (sections 4, 10 and 11): A is the number of calls
//! offered in a cycle of length T, X the rate of offered calls smoothed by θ, λs the safe rate, and γ the
//! cost of a refusal. Under overload the accepted rate is C - B X, with C = λs / (1 - γ) and B = γ / (1 - γ).

/// T: length of a control cycle in seconds (paper, 6).
pub(super) const CYCLE_LENGTH: f64 = 0.5;
/// θ: smoothing factor of the offered rate (paper, 11).
pub(super) const OFFERED_RATE_SMOOTHING: f64 = 0.2;
/// γ: processor work of a refusal as a share of the work of a call (paper, 4).
pub(super) const REFUSAL_COST: f64 = 0.16;
/// Length of a learning period of λs in seconds (paper, 11: 15 to 30).
pub(super) const LEARNING_PERIOD: f64 = 15.0;
/// Lowest λs in calls per second. Below it too few calls are accepted to learn from.
pub(super) const MIN_SAFE_RATE: f64 = 3.0;
/// Limit of the accepted rate at normal load, as a multiple of λs (design page).
pub(super) const NORMAL_LIMIT: f64 = 1.2;
/// Offered rate at the end of the transition region, and limit of the accepted rate within it, both as
/// multiples of λs (paper, fig. 8).
pub(super) const TRANSITION_LIMIT: f64 = 1.1;

/// Counts the offered and accepted calls of each cycle, and sets the limit of the next one.
#[derive(Debug, Default)]
pub struct AdmissionControl {
    /// Calls offered in this cycle, including those that were refused.
    pub offered_calls: f64,
    /// Calls accepted in this cycle.
    pub accepted_calls: f64,
    /// X: smoothed rate of offered calls per second.
    pub offered_rate: f64,
    /// λs: rate of calls per second that are established within their latency objective; `None` until the
    /// mean delay of a learning period has exceeded the latency objective.
    pub safe_rate: Option<f64>,
    /// CAL: largest number of calls accepted in this cycle; `None` (no limit) while λs is unknown.
    pub cycle_limit: Option<f64>,
    /// Set-ups established within the latency objective in this learning period.
    in_time: f64,
    /// Set-ups with a known delay in this learning period.
    completed: f64,
    /// Sum of their delays, relative to the latency objective.
    total_delay: f64,
}

impl AdmissionControl {
    /// Ends a cycle: updates X from A, and CAL from X (paper, 10 and 11).
    pub fn end_cycle(&mut self) {
        self.offered_rate = OFFERED_RATE_SMOOTHING * self.offered_calls / CYCLE_LENGTH
            + (1.0 - OFFERED_RATE_SMOOTHING) * self.offered_rate;
        (self.offered_calls, self.accepted_calls) = (0.0, 0.0);
        self.cycle_limit = self
            .safe_rate
            .map(|safe_rate| CYCLE_LENGTH * Self::max_accepted_rate(self.offered_rate, safe_rate));
    }

    /// Returns the highest accepted rate for an offered rate X. It is constant at normal load. Above λs
    /// follows the transition region with a limit raised above the overload line, then the overload line C -
    /// B X, which falls as refusals take up more of the processor.
    pub fn max_accepted_rate(offered_rate: f64, safe_rate: f64) -> f64 {
        if offered_rate <= safe_rate {
            NORMAL_LIMIT * safe_rate
        } else if offered_rate <= TRANSITION_LIMIT * safe_rate {
            TRANSITION_LIMIT * safe_rate
        } else {
            ((safe_rate - REFUSAL_COST * offered_rate) / (1.0 - REFUSAL_COST)).max(0.0)
        }
    }

    /// Records how long a set-up took, or how long its answer was waited for, relative to the latency
    /// objective.
    pub fn record_delay(&mut self, relative_delay: f64) {
        self.completed += 1.0;
        self.total_delay += relative_delay;
        self.in_time += f64::from(u8::from(relative_delay <= 1.0));
    }

    /// Ends a learning period. If the mean delay was above the latency objective, λs becomes 0.9 times the
    /// rate of set-ups established in time; if it was below half of it, λs grows by a tenth.
    pub fn end_learning_period(&mut self) {
        let mean_delay = if self.completed > 0.0 { self.total_delay / self.completed } else { 0.0 };
        if mean_delay > 1.0 {
            self.safe_rate = Some((0.9 * self.in_time / LEARNING_PERIOD).max(MIN_SAFE_RATE));
        } else if mean_delay < 0.5 {
            self.safe_rate = self.safe_rate.map(|safe_rate| safe_rate * 1.1);
        }
        (self.in_time, self.completed, self.total_delay) = (0.0, 0.0, 0.0);
    }

    /// Returns whether another call may be accepted in this cycle. One call per cycle is always accepted.
    pub(super) fn has_capacity(&self) -> bool {
        self.cycle_limit.is_none_or(|limit| self.accepted_calls + 1.0 <= limit.max(1.0))
    }
}
