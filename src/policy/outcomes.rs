//! Outcomes of attempts: what their answers, failures and delays tell of the exchanges, and what becomes of
//! the call.

use std::collections::BTreeSet;

use super::state::Attempt;
use super::window::{FAILURE_FACTOR, SLOW_ANSWER};
use super::{Controller, OVERDUE_MULTIPLE};
use crate::interface::*;

/// Longest time between trial set-ups to a processor whose window is below 1, in base intervals.
const MAX_TRIAL_INTERVAL: f64 = 6.0;
/// Time for which a tandem is left out for a destination after its first crank-back, in base intervals. It
/// doubles with each further crank-back; those that arrive during a pause do not count.
const CRANK_BACK_PAUSE: f64 = 6.0;
/// Longest time for which a tandem is left out, in base intervals.
const MAX_CRANK_BACK_PAUSE: f64 = 48.0;
/// Share of lost set-ups above which overdue set-ups are presumed lost and cancelled.
const LOSS_THRESHOLD: f64 = 0.04;
/// Smoothing factor of the set-up time of one node, applied once for each answer.
const NODE_SET_UP_TIME_SMOOTHING: f64 = 0.3;
/// Smoothing factor of the set-up time over all nodes, applied once for each answer.
const OVERALL_SET_UP_TIME_SMOOTHING: f64 = 0.05;
/// Smoothing factor of the loss share of one node, applied once for each answer.
const NODE_LOSS_SMOOTHING: f64 = 0.1;
/// Smoothing factor of the loss share over all nodes, applied once for each answer.
const OVERALL_LOSS_SMOOTHING: f64 = 0.05;

impl Controller {
    /// Records a set-up delay for the learning of the safe rate λs, which is that of the local processor. The
    /// delay of a node whose own window is closed is left out while the local window is open, since it does
    /// not depend on the local processor.
    fn record_local_delay(&mut self, node: NodeNumber, relative_delay: f64) {
        if self.local_window.size < 1.0 || self.nodes.get(&node).is_none_or(|s| s.window.size >= 1.0) {
            self.admission.record_delay(relative_delay);
        }
    }

    /// Removes a set-up from the windows after its answer, its failure or its cancellation.
    pub(super) fn remove_from_windows(&mut self, node: NodeNumber, elapsed: f64) {
        self.local_window.on_answered(elapsed, self.now, MAX_TRIAL_INTERVAL * self.base_interval);
        let state = self.nodes.get_mut(&node).into_iter();
        state.for_each(|s| s.window.on_answered(elapsed, self.now, MAX_TRIAL_INTERVAL * self.base_interval));
    }

    /// Updates the windows, set-up times and loss shares after a call was established.
    pub(super) fn on_call_established(&mut self, id: &CallId, elapsed: f64, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.get_mut(id) else { return };
        let Some(attempt) = call.attempt.as_ref().filter(|_| !call.is_established) else { return };
        let (node, sent_at, counted_in_window, is_overdue) =
            (attempt.node, attempt.sent_at, attempt.counted_in_window, attempt.is_overdue);
        call.is_established = true;
        let (number, relative_delay, destination) =
            (call.number, elapsed / call.latency_objective, call.destination);
        if node != destination {
            self.nodes.entry(destination).or_default().tandems.insert(node, (0.0, 0.0));
        }
        self.record_local_delay(node, relative_delay);
        if let Some(state) = self.nodes.get_mut(&node) {
            state.window.on_established(relative_delay, self.now, elapsed);
            state.set_up_time += NODE_SET_UP_TIME_SMOOTHING * (elapsed - state.set_up_time);
            let lost = f64::from(u8::from(std::mem::take(&mut state.has_overdue_set_up) && !is_overdue));
            state.loss_share += NODE_LOSS_SMOOTHING * (lost - state.loss_share);
            self.loss_share += OVERALL_LOSS_SMOOTHING * (lost - self.loss_share);
        }
        self.last_timely_answer_at =
            if relative_delay < SLOW_ANSWER { self.now } else { self.last_timely_answer_at };
        self.set_up_time += OVERALL_SET_UP_TIME_SMOOTHING * (elapsed - self.set_up_time);
        self.local_window.on_established(relative_delay, self.now, elapsed);
        if counted_in_window {
            self.remove_from_windows(node, elapsed);
        }
        self.cancel_timers(id, actions);
        self.remove_unanswered(node, id);
        for earlier in self.unanswered.get(&node).into_iter().flatten() {
            let attempt = self.calls.get_mut(earlier).and_then(|call| call.attempt.as_mut());
            let attempt = attempt.filter(|attempt| attempt.sent_at < sent_at);
            attempt.into_iter().for_each(|attempt| attempt.presumed_lost = true);
        }
        self.record_number_state(number, false);
        self.send_held_calls(actions);
    }

    /// Records that a set-up was not sent, since the far end seized the last circuit first. The call may try
    /// this route again.
    fn record_glare(&mut self, node: NodeNumber, outcome: &Outcome) {
        if matches!(outcome.failure_cause, Some(FailureCause::ProcessorFull(_))) {
            // The local processor is down. A window of 0.5 allows one trial per cycle, so that the other
            // calls do not use up their attempts.
            self.local_window.size = self.local_window.size.min(0.5);
        } else if let Some(state) = self.nodes.get_mut(&node).filter(|s| s.free_circuits.is_some()) {
            state.free_circuits = Some(0.0);
        }
    }

    /// Records a set-up that ended without being established for the node responsible for it.
    fn record_failed_set_up(
        &mut self,
        attempt: &Attempt,
        outcome: &Outcome,
        destination: NodeNumber,
        latency_objective: f64,
    ) {
        let elapsed = outcome.elapsed.as_secs_f64();
        let processor_full = matches!(outcome.failure_cause, Some(FailureCause::ProcessorFull(_)));
        let is_failure = outcome.status != AttemptStatus::Full || processor_full;
        if attempt.counted_in_window {
            self.remove_from_windows(
                attempt.node,
                if is_failure { elapsed.max(self.base_interval) } else { elapsed },
            );
        }
        // The overloaded node is the one that the set-up was sent to, or the destination if the tandem
        // reported that one as full.
        let failed_node = match (outcome.status, outcome.failure_cause) {
            (_, Some(FailureCause::DestinationFull)) => Some(destination),
            (AttemptStatus::TimedOut, _) => (!attempt.presumed_lost).then_some(attempt.node),
            (AttemptStatus::Full, _) if !processor_full => None,
            (AttemptStatus::Full | AttemptStatus::Reset | AttemptStatus::Unreachable, _) => {
                Some(attempt.node)
            }
            _ => None,
        };
        if let Some(state) = failed_node.and_then(|node| self.nodes.get_mut(&node)) {
            state.window.shrink(FAILURE_FACTOR, self.now, self.base_interval);
        }
        if matches!(outcome.failure_cause, Some(FailureCause::CrankedBack | FailureCause::DestinationFull)) {
            let tandem = self.nodes.entry(destination).or_default().tandems.entry(attempt.node).or_default();
            let pause = (2.0 * tandem.0)
                .clamp(CRANK_BACK_PAUSE * self.base_interval, MAX_CRANK_BACK_PAUSE * self.base_interval);
            *tandem = if self.now > tandem.1 { (pause, self.now + pause) } else { *tandem };
        }
        if outcome.status == AttemptStatus::TimedOut {
            // A time-out counts as later than the latency objective, however early it came.
            self.record_local_delay(attempt.node, (elapsed / latency_objective).max(1.0) + 0.01);
        }
    }

    /// Handles the end of an attempt: finds the node responsible for a failure, then sends the call again,
    /// holds it, or gives its final answer.
    pub(super) fn on_attempt_ended(&mut self, outcome: &Outcome, actions: &mut Vec<Action>) {
        self.apply_load_report(&outcome.exchange, &outcome.load_report, false);
        let Some(call) = self.calls.get_mut(&outcome.call) else { return };
        let Some(attempt) = call.attempt.take_if(|_| outcome.attempt_number + 1 == call.attempts_made) else {
            return;
        };
        if !call.is_established {
            self.unanswered.get_mut(&attempt.node).into_iter().for_each(|calls| {
                calls.remove(&outcome.call);
            });
        }
        if outcome.status == AttemptStatus::Moot {
            call.tried_nodes.retain(|n| *n != attempt.node);
            self.record_glare(attempt.node, outcome);
        }
        let Some(call) = self.calls.get_mut(&outcome.call) else { return };
        let (was_established, destination) = (std::mem::take(&mut call.is_established), call.destination);
        let (number, latency_objective) = (call.number, call.latency_objective);
        if !was_established {
            self.record_failed_set_up(&attempt, outcome, destination, latency_objective);
        }
        if outcome.failure_cause == Some(FailureCause::UserBusy) {
            self.record_number_state(number, true);
        }
        let Some(call) = self.calls.get_mut(&outcome.call) else { return };
        if outcome.call_ended {
            self.remove_call(&outcome.call, actions);
            return self.send_held_calls(actions);
        }
        let needs_guard_time = matches!(
            outcome.status,
            AttemptStatus::TimedOut | AttemptStatus::Reset | AttemptStatus::Cancelled
        );
        if needs_guard_time {
            call.not_before =
                self.now + self.settings.guard_time.as_secs_f64() + self.settings.tick.as_secs_f64();
        }
        let is_safe = self.settings.classes[call.class].idempotency == Idempotency::Safe;
        let has_run = matches!(outcome.status, AttemptStatus::Ended | AttemptStatus::Error);
        call.repeat_forbidden |= !is_safe && (needs_guard_time || has_run);
        let is_overloaded = matches!(
            outcome.failure_cause,
            Some(FailureCause::DestinationFull | FailureCause::ProcessorFull(_))
        );
        if is_overloaded || outcome.status == AttemptStatus::Error {
            // Another route does not help if the processor is full or the number busy, so the call waits for
            // a base interval. After other errors it is sent again after a fortieth of its latency objective.
            let is_busy = is_overloaded || outcome.failure_cause == Some(FailureCause::UserBusy);
            let pause = if is_busy { self.base_interval } else { call.latency_objective / 40.0 };
            call.not_before = call.not_before.max(self.now + pause);
        }
        let not_before = call.not_before;
        // A call that ended before its answer came has run at the exchange; the answer was lost or is still
        // to come. It must not be sent again.
        let is_over = outcome.status == AttemptStatus::Ended || call.repeat_forbidden;
        let is_given_up = is_over || call.attempts_made >= self.settings.limits.max_attempts;
        if call.is_transit || is_given_up || not_before >= call.hold_until {
            self.refuse(&outcome.call, actions);
        } else if not_before > self.now {
            call.tried_nodes.clear();
            self.start_call_timer(not_before, &outcome.call, actions);
        } else {
            self.dispatch(&outcome.call, actions);
        }
        self.send_held_calls(actions);
    }

    /// Marks a set-up as overdue when it has been unanswered for several usual set-up times. If a later
    /// set-up to the same node is established first, the overdue one counts as lost. While the share of lost
    /// set-ups, to that node or over all nodes, is above the threshold, overdue set-ups are presumed lost:
    /// they do not shrink the node's window, and they are cancelled if they may be sent again and this is
    /// still possible within the latency objective.
    ///
    /// This recovers from lost answers and lost signalling, also if they concern one node among busier ones.
    /// The drawback: a processor that has just become slow gets some set-ups twice.
    pub(super) fn cancel_if_overdue(&mut self, id: &CallId, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.get_mut(id).filter(|c| !c.is_established && !c.is_transit) else {
            return;
        };
        let is_safe = self.settings.classes[call.class].idempotency == Idempotency::Safe;
        let Some(attempt) = call.attempt.as_mut().filter(|a| a.counted_in_window) else { return };
        let Some(state) = self.nodes.get_mut(&attempt.node) else { return };
        let expected = state.set_up_time.max(self.set_up_time);
        if self.now - attempt.sent_at < OVERDUE_MULTIPLE * expected
            || std::mem::replace(&mut attempt.is_overdue, true)
        {
            return;
        }
        state.has_overdue_set_up = true;
        attempt.presumed_lost = state.loss_share.max(self.loss_share) > LOSS_THRESHOLD;
        let resend_at = self.now + self.settings.guard_time.as_secs_f64() + expected;
        if is_safe
            && attempt.presumed_lost
            && self.settings.limits.cancel_allowed
            && resend_at < call.first_dialled_at + call.latency_objective
        {
            attempt.counted_in_window = false;
            let (node, attempt_number) = (attempt.node, call.attempts_made - 1);
            self.remove_from_windows(node, expected);
            actions.push(Action::Cancel { call: id.clone(), attempt_number });
        }
    }

    /// Shrinks the windows of nodes that leave a set-up unanswered for too long, before the set-up times out.
    pub(super) fn check_unanswered(&mut self) {
        let mut expired = Vec::new();
        let mut silent_nodes = BTreeSet::new();
        for id in self.unanswered.values().flatten() {
            let Some(call) = self.calls.get_mut(id) else { continue };
            let Some(attempt) = &mut call.attempt else { continue };
            let (age, latency_objective) = (self.now - attempt.sent_at, call.latency_objective);
            if age > SLOW_ANSWER * latency_objective && !attempt.presumed_lost {
                silent_nodes.insert(attempt.node);
                let state = self.nodes.get_mut(&attempt.node).into_iter();
                state.for_each(|s| s.window.shrink(FAILURE_FACTOR, self.now, self.base_interval));
            }
            // Past the latency objective a set-up no longer counts in the windows, so that a trial can be
            // sent to a silent processor.
            let is_expired = age > latency_objective && std::mem::take(&mut attempt.counted_in_window);
            expired.extend(is_expired.then_some((attempt.node, age)));
        }
        // If several nodes are silent and none has answered in time for two base intervals, the local
        // processor is taken to be the cause.
        if silent_nodes.len() > 1 && self.now > self.last_timely_answer_at + 2.0 * self.base_interval {
            self.local_window.shrink(FAILURE_FACTOR, self.now, self.base_interval);
        }
        expired.into_iter().for_each(|(node, age)| self.remove_from_windows(node, age));
    }
}
