//! The control of one processor after the Proteo paper: counts what is offered, limits what is accepted.
//!
//! Symbols A, X, T, θ, λs, C, B, γ are the paper's (sections 4, 10 and 11).

/// T: length of a control cycle, s (paper, 6).
pub(super) const CYCLE: f64 = 0.5;
/// θ: smoothing of the offered rate (paper, 11).
pub(super) const THETA: f64 = 0.2;
/// γ: work of a refusal against that of a call (paper, 4).
pub(super) const GAMMA: f64 = 0.16;
/// Length of a learning period of λs, s (paper, 11: 15 to 30).
pub(super) const PERIOD: f64 = 15.0;
/// Least λs, calls a second: below it too few calls pass to learn from.
pub(super) const FLOOR: f64 = 3.0;
/// Acceptance limit at normal load, in λs (design page).
pub(super) const NORMAL: f64 = 1.2;
/// End of the transition region, in λs, and the raised limit within it (paper, fig. 8).
pub(super) const TRANSITION: f64 = 1.1;

/// The paper's control of one processor: counts what is offered, sets the next cycle's limit.
#[derive(Debug, Default)]
pub struct Control {
    /// Set-ups offered in this cycle, refused ones included.
    pub offered: f64,
    /// Set-ups accepted in this cycle.
    pub accepted: f64,
    /// X: smoothed offered rate.
    pub x: f64,
    /// λs, unset until delays have exceeded the aim.
    pub safe: Option<f64>,
    /// CAL: accepted set-ups allowed in this cycle; none while λs is unset.
    pub limit: Option<f64>,
    /// In this period: set-ups that stood within the aim, all that ended, their delays in aims.
    within: f64,
    ended: f64,
    delays: f64,
}

impl Control {
    /// Ends a cycle: X from A, and CAL from the control function (paper, 10 and 11).
    pub fn end_cycle(&mut self) {
        self.x = THETA * self.offered / CYCLE + (1.0 - THETA) * self.x;
        (self.offered, self.accepted) = (0.0, 0.0);
        self.limit = self.safe.map(|safe| CYCLE * Self::function(self.x, safe));
    }

    /// Accepted rate for the offered rate X: constant, raised near λs, then the falling line.
    pub fn function(x: f64, safe: f64) -> f64 {
        if x <= safe {
            NORMAL * safe
        } else if x <= TRANSITION * safe {
            TRANSITION * safe
        } else {
            ((safe - GAMMA * x) / (1.0 - GAMMA)).max(0.0)
        }
    }

    /// Notes how long a set-up took, or how long it was waited for, in aims.
    pub fn note(&mut self, delay_in_aims: f64) {
        self.ended += 1.0;
        self.delays += delay_in_aims;
        self.within += f64::from(u8::from(delay_in_aims <= 1.0));
    }

    /// Ends a learning period: λs down to 0.9 of what stood in time, or up a tenth.
    pub fn end_period(&mut self) {
        let delay = if self.ended > 0.0 { self.delays / self.ended } else { 0.0 };
        if delay > 1.0 {
            self.safe = Some((0.9 * self.within / PERIOD).max(FLOOR));
        } else if delay < 0.5 {
            self.safe = self.safe.map(|safe| safe * 1.1);
        }
        (self.within, self.ended, self.delays) = (0.0, 0.0, 0.0);
    }

    pub(super) fn has_room(&self) -> bool {
        self.limit.is_none_or(|limit| self.accepted + 1.0 <= limit.max(1.0))
    }
}
