//! A window of unanswered set-ups towards one processor.

/// Set-ups out toward one processor: first allowance, least and most.
/// (Below one: after each answer the next set-up waits, so that the mean is kept.)
pub(super) const WINDOW: (f64, f64, f64) = (4.0, 0.1, 40.0);
/// A set-up that stands within this part of its aim lets the window grow; beyond the second it shrinks.
pub(super) const EASY: f64 = 0.2;
pub(super) const PRESSED: f64 = 0.4;
/// Shrinking of a window on a slow answer, and on a failure or silence.
pub(super) const SLOWER: f64 = 0.7;
pub(super) const FAILED: f64 = 0.5;
/// A call that can only stand late goes while a window is used to this part at most.
pub(super) const LATE_ROOM: f64 = 0.3;

/// How many set-ups may be unanswered at once: what a processor sets up well within the aim.
///
/// Guards against a processor that is slow, stalled, silent, cold or full, whatever the cause: its
/// answers come late or not at all, so its window closes within a few set-ups and the rest are held.
/// Harm: a loss of signalling that is not the processor's closes it too, for as long as it lasts.
#[derive(Debug)]
pub(super) struct Window {
    pub(super) size: f64,
    pub(super) out: f64,
    /// Shrinks once for each spell, not for each of the answers that tell of it.
    pub(super) shrunk_at: f64,
    /// With a window under one: not before this.
    pub(super) open_at: f64,
}

impl Default for Window {
    fn default() -> Self {
        Self { size: WINDOW.0, out: 0.0, shrunk_at: 0.0, open_at: 0.0 }
    }
}

impl Window {
    pub(super) fn is_open(&self, now: f64, late: bool) -> bool {
        let room = if late { LATE_ROOM * self.size } else { self.size.max(1.0) };
        self.out + 1.0 <= room && (self.size >= 1.0 || now >= self.open_at)
    }

    pub(super) fn answered(&mut self, took: f64, now: f64, trial: f64) {
        self.out = (self.out - 1.0).max(0.0);
        self.open_at = now + (took * (1.0 / self.size - 1.0)).clamp(0.0, trial);
    }

    pub(super) fn stood(&mut self, delay: f64, now: f64, spell: f64) {
        if delay > PRESSED {
            self.shrink(SLOWER, now, spell);
        } else if delay < EASY && self.out * 2.0 >= self.size {
            self.size = (self.size + 1.0 / self.size.max(1.0)).min(WINDOW.2);
        }
    }

    pub(super) fn shrink(&mut self, to: f64, now: f64, spell: f64) {
        if now >= self.shrunk_at + spell {
            self.size = (self.size * to).max(WINDOW.1);
            self.shrunk_at = now;
        }
    }
}
