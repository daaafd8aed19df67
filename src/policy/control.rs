//! The control of one processor after the Proteo paper: counts what is offered, limits what is accepted.
//!
//! Symbols A, X, T, θ, λs, C, B, γ are the paper's (sections 4, 10 and 11).

/// T: length of a control cycle, s (paper, 6).
pub(super) const CYCLE_LENGTH: f64 = 0.5;
/// θ: smoothing of the offered rate (paper, 11).
pub(super) const OFFERED_RATE_SMOOTHING: f64 = 0.2;
/// γ: work of a refusal against that of a call (paper, 4).
pub(super) const REFUSAL_COST: f64 = 0.16;
/// Length of a learning period of λs, s (paper, 11: 15 to 30).
pub(super) const LEARNING_PERIOD: f64 = 15.0;
/// Least λs, calls a second: below it too few calls pass to learn from.
pub(super) const MIN_SAFE_RATE: f64 = 3.0;
/// Acceptance limit at normal load, in λs (design page).
pub(super) const NORMAL_LIMIT: f64 = 1.2;
/// End of the transition region, in λs, and the raised limit within it (paper, fig. 8).
pub(super) const TRANSITION_LIMIT: f64 = 1.1;

/// The paper's control of one processor: counts what is offered, sets the next cycle's limit.
#[derive(Debug, Default)]
pub struct AdmissionControl {
    /// Set-ups offered in this cycle, refused ones included.
    pub offered_calls: f64,
    /// Set-ups accepted in this cycle.
    pub accepted_calls: f64,
    /// X: smoothed offered rate.
    pub offered_rate: f64,
    /// λs, unset until delays have exceeded the aim.
    pub safe_rate: Option<f64>,
    /// CAL: accepted set-ups allowed in this cycle; none while λs is unset.
    pub cycle_limit: Option<f64>,
    /// In this period: set-ups that stood within the aim, all that ended, their delays in aims.
    in_time: f64,
    completed: f64,
    total_delay: f64,
}

impl AdmissionControl {
    /// Ends a cycle: X from A, and CAL from the control function (paper, 10 and 11).
    pub fn end_cycle(&mut self) {
        self.offered_rate = OFFERED_RATE_SMOOTHING * self.offered_calls / CYCLE_LENGTH
            + (1.0 - OFFERED_RATE_SMOOTHING) * self.offered_rate;
        (self.offered_calls, self.accepted_calls) = (0.0, 0.0);
        self.cycle_limit = self
            .safe_rate
            .map(|safe_rate| CYCLE_LENGTH * Self::max_accepted_rate(self.offered_rate, safe_rate));
    }

    /// Accepted rate for the offered rate X: constant, raised near λs, then the falling line.
    pub fn max_accepted_rate(offered_rate: f64, safe_rate: f64) -> f64 {
        if offered_rate <= safe_rate {
            NORMAL_LIMIT * safe_rate
        } else if offered_rate <= TRANSITION_LIMIT * safe_rate {
            TRANSITION_LIMIT * safe_rate
        } else {
            ((safe_rate - REFUSAL_COST * offered_rate) / (1.0 - REFUSAL_COST)).max(0.0)
        }
    }

    /// Notes how long a set-up took, or how long it was waited for, in aims.
    pub fn record_delay(&mut self, relative_delay: f64) {
        self.completed += 1.0;
        self.total_delay += relative_delay;
        self.in_time += f64::from(u8::from(relative_delay <= 1.0));
    }

    /// Ends a learning period: λs down to 0.9 of what stood in time, or up a tenth.
    pub fn end_learning_period(&mut self) {
        let mean_delay = if self.completed > 0.0 { self.total_delay / self.completed } else { 0.0 };
        if mean_delay > 1.0 {
            self.safe_rate = Some((0.9 * self.in_time / LEARNING_PERIOD).max(MIN_SAFE_RATE));
        } else if mean_delay < 0.5 {
            self.safe_rate = self.safe_rate.map(|safe_rate| safe_rate * 1.1);
        }
        (self.in_time, self.completed, self.total_delay) = (0.0, 0.0, 0.0);
    }

    pub(super) fn has_capacity(&self) -> bool {
        self.cycle_limit.is_none_or(|limit| self.accepted_calls + 1.0 <= limit.max(1.0))
    }
}
