//! The decisions of a call router: admission, routing, repeated attempts and final answers.
//!
//! The types of its settings, events and actions are defined in `src/interface.rs`. This file holds the
//! controller with its events and the calls that it is offered. `held` queues the calls that wait,
//! `routing` chooses their exchanges and sends their set-ups, and `outcomes` handles what becomes of these.
//! `state` holds what is known of each exchange, node and call, `control` limits the rate of accepted calls,
//! `window` limits the unanswered set-ups toward one processor, and [`shutdown`] defines the schedule of a
//! stopping router.
//!
//! Comments refer to five rules that every decision keeps:
//!
//! 1. A call gets exactly one final answer, before its deadline.
//! 2. A call has at most one attempt outstanding.
//! 3. No set-up goes to an exchange that is draining or gone.
//! 4. A cold exchange gets no more set-ups than it can take while it warms up.
//! 5. After a time-out, reset or cancel, a call is sent again only after the guard time.

mod control;
mod held;
mod outcomes;
mod routing;
pub mod shutdown;
mod state;
mod window;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

pub use control::AdmissionControl;
use control::{CYCLE_LENGTH, LEARNING_PERIOD, OFFERED_RATE_SMOOTHING};
use held::HeldCalls;
use state::{Call, Exchange, NodeState, NumberKey};
use window::{Window, FAILURE_FACTOR, FAST_ANSWER, INITIAL_WINDOW, SLOW_ANSWER};

use crate::interface::*;

/// Base interval as a share of the shortest latency objective. Waits after silence, after a failure and after
/// a full processor are multiples of the base interval.
///
/// It follows the latency objective so that a processor that has recovered is not left without calls for
/// several times that long until its next trial is due.
const BASE_INTERVAL_SHARE: f64 = 0.25;
/// Longest base interval in seconds.
const MAX_BASE_INTERVAL: f64 = 0.5;
/// A set-up is overdue when it has been unanswered for this many usual set-up times.
const OVERDUE_MULTIPLE: f64 = 3.0;
/// First pause of a number that was busy, in base intervals. It doubles each time the number is busy again.
const BUSY_NUMBER_PAUSE: f64 = 1.0;
/// Longest pause of a busy number, in base intervals.
const MAX_BUSY_NUMBER_PAUSE: f64 = 8.0;
/// Largest number of busy numbers that are remembered.
const MAX_BUSY_NUMBERS: usize = 256;
/// Largest number of called numbers that are remembered to recognize redials.
const MAX_REDIALS: usize = 20_000;
/// An allowed rate below this share of the best one reported means that the processor is overloaded.
const LOW_ALLOWED_RATE: f64 = 0.25;
/// An allowed rate above this share of the best one reported means that the processor has spare capacity.
const HIGH_ALLOWED_RATE: f64 = 0.5;
/// Share by which the best reported rate decays with each report.
const BEST_ALLOWED_RATE_DECAY: f64 = 0.002;

/// Largest number of log lines that a controller writes in its lifetime.
const MAX_LOG_LINES: usize = 20;

/// Token of the periodic timer; call timers use the tokens from 1 on.
const CYCLE_TIMER: TimerToken = TimerToken(0);

/// Makes the decisions of one router. The crate documentation shows how it fits into the programs.
///
/// Times are seconds on the host's clock.
#[derive(Debug)]
pub struct Controller {
    settings: Settings,
    /// Shortest latency objective of all classes in seconds.
    min_latency_objective: f64,
    /// Base interval in seconds, see [`BASE_INTERVAL_SHARE`].
    base_interval: f64,
    rng: fastrand::Rng,
    /// Time of the latest event.
    now: f64,
    /// Time at which the current cycle of the admission control ends.
    cycle_end: f64,
    cycles_ended: u64,
    /// Whether the first event has been handled.
    is_started: bool,
    /// Whether to subscribe to the membership again at the end of the cycle.
    resubscribe_pending: bool,
    /// Admission control of the local processor.
    admission: AdmissionControl,
    /// Window of the local processor, which handles the set-ups to all nodes.
    local_window: Window,
    /// Time at which a set-up to any node was last established without being slow.
    last_timely_answer_at: f64,
    /// Smoothed set-up time over all nodes in seconds.
    set_up_time: f64,
    /// Smoothed share of lost set-ups over all nodes.
    loss_share: f64,
    /// Whether the last log line about the local processor reported an overload.
    local_overload_logged: bool,
    /// Safe rate in the last log line about it.
    logged_safe_rate: Option<f64>,
    /// Called numbers of calls that ended without being established, with the time of the first try.
    redials: BTreeMap<NumberKey, f64>,
    exchanges: BTreeMap<ExchangeId, Exchange>,
    /// Exchange of each node that takes new set-ups: a live one, or the last started of several.
    in_service: BTreeMap<NodeNumber, ExchangeId>,
    nodes: BTreeMap<NodeNumber, NodeState>,
    calls: BTreeMap<CallId, Call>,
    /// Calls that may be sent as soon as there is room for them.
    held: HeldCalls,
    /// Calls with an unanswered set-up, by the node that it was sent to.
    unanswered: BTreeMap<NodeNumber, BTreeSet<CallId>>,
    call_timers: BTreeMap<TimerToken, CallId>,
    /// Numbers that were busy, each with the length and the end of its last pause.
    busy_numbers: BTreeMap<NumberKey, (f64, f64)>,
    /// Token of the next call timer.
    next_timer: u64,
    lines_logged: usize,
}

impl Controller {
    /// Creates a controller that starts at `now` on the host's clock.
    ///
    /// # Errors
    /// Returns an error if the settings name no class or a fleet of 0, or if a class has a latency objective
    /// of 0 or a value that is not finite.
    pub fn new(settings: Settings, seed: u64, now: Duration) -> Result<Self, SettingsError> {
        let is_invalid = |c: &Class| c.latency_objective.is_zero() || !c.value.is_finite();
        if settings.classes.is_empty() || settings.classes.iter().any(is_invalid) || settings.fleet_size == 0
        {
            return Err(SettingsError(
                "FleetSize is 0, Classes is empty, or a class has AimNs 0 or a Worth that is not finite",
            ));
        }
        let now = now.as_secs_f64();
        let min_latency_objective =
            settings.classes.iter().map(|c| c.latency_objective.as_secs_f64()).fold(f64::INFINITY, f64::min);
        Ok(Self {
            settings,
            min_latency_objective,
            base_interval: (BASE_INTERVAL_SHARE * min_latency_objective).min(MAX_BASE_INTERVAL),
            rng: fastrand::Rng::with_seed(seed),
            now,
            cycle_end: now + CYCLE_LENGTH,
            cycles_ended: 0,
            is_started: false,
            resubscribe_pending: false,
            admission: AdmissionControl::default(),
            local_window: Window { size: 4.0 * INITIAL_WINDOW, ..Window::default() },
            last_timely_answer_at: now,
            set_up_time: 0.0,
            loss_share: 0.0,
            local_overload_logged: false,
            logged_safe_rate: None,
            redials: BTreeMap::new(),
            exchanges: BTreeMap::new(),
            in_service: BTreeMap::new(),
            nodes: BTreeMap::new(),
            calls: BTreeMap::new(),
            held: HeldCalls::default(),
            unanswered: BTreeMap::new(),
            call_timers: BTreeMap::new(),
            busy_numbers: BTreeMap::new(),
            next_timer: 1,
            lines_logged: 0,
        })
    }

    /// Handles one event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now.as_secs_f64());
        if !std::mem::replace(&mut self.is_started, true) {
            actions.push(Action::StartTimer {
                after: Duration::from_secs_f64(self.base_interval),
                token: CYCLE_TIMER,
            });
            actions.extend(self.settings.membership_polled.then_some(Action::Subscribe));
        }
        match event {
            Event::MembershipUpdate { kind, members } => self.on_membership_update(kind, &members),
            Event::CallOffered(offered) => self.on_call_offered(offered, actions),
            Event::CallEstablished { call, elapsed, .. } => {
                self.on_call_established(&call, elapsed.as_secs_f64(), actions)
            }
            Event::AttemptEnded(outcome) => self.on_attempt_ended(&outcome, actions),
            Event::LoadReported { exchange, load_report, .. } => {
                self.apply_load_report(&exchange, &load_report, true);
                self.send_held_calls(actions);
            }
            Event::CallAbandoned(id) => {
                let Some(call) = self.remove_call(&id, actions) else { return };
                self.remember_for_redial(&call);
                if let Some(attempt) = call.attempt.filter(|a| a.counted_in_window && !call.is_established) {
                    self.remove_from_windows(attempt.node, self.now - attempt.sent_at);
                }
            }
            Event::PeerMessage { .. } => {}
            Event::TimerExpired(CYCLE_TIMER) => {
                self.check_unanswered();
                let resubscribe = self.end_cycles() && std::mem::take(&mut self.resubscribe_pending);
                actions.extend(resubscribe.then_some(Action::Subscribe));
                self.log_state_changes(actions);
                self.send_held_calls(actions);
                actions.push(Action::StartTimer {
                    after: Duration::from_secs_f64(self.base_interval),
                    token: CYCLE_TIMER,
                });
            }
            Event::TimerExpired(token) => {
                if let Some(id) = self.call_timers.remove(&token) {
                    self.calls.get_mut(&id).into_iter().for_each(|call| call.timers.retain(|t| *t != token));
                    self.dispatch(&id, actions);
                }
            }
        }
    }

    /// Ends the cycles of the admission control that are over. Returns whether there was one.
    fn end_cycles(&mut self) -> bool {
        let before = self.cycles_ended;
        // The tolerance covers rounding of the times, which are floating-point seconds.
        while self.cycle_end <= self.now + 1e-6 {
            self.cycle_end += CYCLE_LENGTH;
            self.cycles_ended += 1;
            if self.cycles_ended % (LEARNING_PERIOD / CYCLE_LENGTH) as u64 == 0 {
                self.admission.end_learning_period();
            }
            let serving_nodes = self.warm_nodes();
            for (node, state) in &mut self.nodes {
                // Only a node that is warm and answers shows what it can take. The rate of one cycle is
                // limited to twice the smoothed rate, or to the offered rate if that is more, so that a flood
                // does not raise it much.
                let is_serving = state.window.size >= 1.0 && serving_nodes.contains(node);
                let rate = (std::mem::take(&mut state.sent_in_cycle) / CYCLE_LENGTH)
                    .min(self.admission.offered_rate.max(2.0 * state.sent_rate));
                state.sent_rate +=
                    if is_serving { OFFERED_RATE_SMOOTHING * (rate - state.sent_rate) } else { 0.0 };
            }
            self.admission.end_cycle();
            self.busy_numbers
                .retain(|_, (_, until)| self.now < *until + 2.0 * MAX_BUSY_NUMBER_PAUSE * self.base_interval);
            let max_deadline =
                self.settings.classes.iter().map(|c| c.deadline.as_secs_f64()).fold(0.0, f64::max);
            self.redials.retain(|_, first| self.now < *first + max_deadline);
        }
        self.cycles_ended > before
    }

    /// Returns the nodes that have a live exchange which is warm.
    fn warm_nodes(&self) -> BTreeSet<NodeNumber> {
        let is_warm = |e: &&Exchange| e.health == Health::Live && e.warm_at <= self.now;
        self.exchanges.values().filter(is_warm).map(|e| e.node).collect()
    }

    /// Returns the node of this router's own exchange; `None` if the nodes are pools.
    fn own_node(&self) -> Option<NodeNumber> {
        let Topology::Meshed(node) = self.settings.topology else { return None };
        Some(node)
    }

    // ---- membership and load reports -----------------------------------------------------------

    /// Applies a membership update.
    fn on_membership_update(&mut self, kind: UpdateKind, members: &Arc<Vec<Member>>) {
        // The request is repeated at the end of the cycle, so that a membership source that refuses is not
        // flooded with requests.
        self.resubscribe_pending |= kind == UpdateKind::Failed;
        let is_complete = matches!(kind, UpdateKind::Full | UpdateKind::Stored);
        self.exchanges.values_mut().filter(|_| is_complete).for_each(|e| e.health = Health::Gone);
        for member in members.iter() {
            let warm_at = member
                .up_since
                .map_or(0.0, |up_since| (up_since + self.settings.rules.warm_up_time).as_secs_f64());
            let cold_send_times =
                self.exchanges.remove(&member.exchange).map_or_else(Vec::new, |e| e.cold_send_times);
            let exchange = Exchange { node: member.node, health: member.health, warm_at, cold_send_times };
            self.exchanges.insert(member.exchange.clone(), exchange);
            self.nodes.entry(member.node).or_default();
        }
        // Exchanges that are gone are dropped once there are more than four per node on average.
        if self.exchanges.len() > 4 * self.nodes.len() {
            self.exchanges.retain(|_, e| e.health != Health::Gone);
        }
        self.select_in_service();
    }

    /// Finds the exchange of each node that takes new set-ups.
    fn select_in_service(&mut self) {
        self.in_service.clear();
        for (id, exchange) in self.exchanges.iter().filter(|(_, e)| e.health == Health::Live) {
            let selected = self.in_service.entry(exchange.node).or_insert_with(|| id.clone());
            if self.exchanges.get(selected).is_none_or(|e| e.warm_at <= exchange.warm_at) {
                *selected = id.clone();
            }
        }
    }

    /// Returns the exchange that takes new set-ups for a node.
    fn exchange_in_service(&self, node: NodeNumber) -> Option<(&ExchangeId, &Exchange)> {
        self.exchanges.get_key_value(self.in_service.get(&node)?)
    }

    /// Applies the figures of a load report; `pushed` if the exchange sent it outside of an attempt's
    /// outcome.
    fn apply_load_report(&mut self, exchange: &ExchangeId, load_report: &[f64], pushed: bool) {
        let Some(node) = self.exchanges.get(exchange).map(|e| e.node) else { return };
        let state = self.nodes.entry(node).or_default();
        for (gauge, value) in self.settings.gauges.iter().zip(load_report).filter(|(_, v)| **v >= 0.0) {
            // Load as reported by the processor itself: above 1 it is overloaded, below 0 it has spare
            // capacity.
            let overload_level = match gauge {
                Gauge::LatencyMs => {
                    (value / 1000.0 / self.min_latency_objective - FAST_ANSWER) / (SLOW_ANSWER - FAST_ANSWER)
                }
                Gauge::AllowedRate => {
                    state.best_allowed_rate =
                        state.best_allowed_rate.max(*value) * (1.0 - BEST_ALLOWED_RATE_DECAY);
                    (HIGH_ALLOWED_RATE * state.best_allowed_rate - value)
                        / ((HIGH_ALLOWED_RATE - LOW_ALLOWED_RATE) * state.best_allowed_rate)
                }
                Gauge::RequestedReduction => (value - FAST_ANSWER) / (SLOW_ANSWER - FAST_ANSWER),
                _ => 0.5,
            };
            if overload_level > 1.0 {
                state.window.shrink(FAILURE_FACTOR, self.now, self.base_interval);
            } else if overload_level < 0.0 && state.window.outstanding < 1.0 {
                state.window.size = state.window.size.max(1.0);
            }
            // Once free circuits are pushed on each change, the figures in outcomes are older and are
            // ignored.
            if *gauge == Gauge::FreeCircuits && (pushed || !state.free_circuits_pushed) {
                state.free_circuits_pushed |= pushed;
                // Circuits seized at this very time are not yet in the reported figure.
                let not_yet_reported =
                    if state.last_send_at == self.now { state.last_send_circuits } else { 0.0 };
                state.free_circuits = Some(*value - not_yet_reported);
            }
        }
    }

    // ---- processing of a call ------------------------------------------------------------------

    /// Returns when the caller first dialled. A call to a number whose last call ended without being
    /// established is taken for a redial by the same caller, if redials are not flagged or this one is.
    /// Reconnected calls and calls in transit are never redials.
    ///
    /// Without this, a late redial would be taken to have its full value, and a first call with little time
    /// left would be taken to be late. The drawback: of many callers of one number, some are taken for the
    /// redial of another and so count as late.
    fn first_dialled_at(&mut self, offered: &OfferedCall, number: NumberKey) -> f64 {
        let first = self
            .redials
            .remove(&number)
            .filter(|_| offered.flagged_as_redial || !self.settings.redials_flagged);
        first.filter(|_| !offered.is_reconnect && !offered.is_transit).unwrap_or(self.now)
    }

    /// Accepts a new call: routes it at once if possible, else holds it.
    fn on_call_offered(&mut self, offered: OfferedCall, actions: &mut Vec<Action>) {
        self.admission.offered_calls += 1.0;
        if self.calls.contains_key(&offered.call) {
            return;
        }
        let (id, deadline) = (offered.call.clone(), self.now + offered.remaining.as_secs_f64());
        let (class, number) =
            (offered.class.min(self.settings.classes.len() - 1), NumberKey::new(&offered.called_number));
        let first_dialled_at = self.first_dialled_at(&offered, number);
        let class_settings = &self.settings.classes[class];
        // The final answer of a held call is due two ticks before its deadline; a call in transit is not
        // held.
        let hold_until =
            if offered.is_transit { self.now } else { deadline - 2.0 * self.settings.tick.as_secs_f64() };
        let call = Call {
            number,
            destination: offered.destination,
            is_transit: offered.is_transit,
            class,
            circuits: offered.circuits.unwrap_or(class_settings.circuits).max(1),
            deadline,
            latency_objective: class_settings.latency_objective.as_secs_f64(),
            first_dialled_at,
            hold_until,
            attempts_made: 0,
            attempt: None,
            not_before: 0.0,
            repeat_forbidden: false,
            is_established: false,
            blocking_recorded: false,
            tried_nodes: Vec::new(),
            timers: Vec::new(),
            queue: None,
        };
        if let Some(via) = offered.via.filter(|_| self.settings.has_route_advice && !call.is_transit) {
            // The routing advice found free circuits over this tandem, so it is treated like one that has
            // established a call, unless it is paused.
            let tandem = self.nodes.entry(call.destination).or_default().tandems.entry(via).or_default();
            *tandem = if self.now > tandem.1 { (0.0, 0.0) } else { *tandem };
        }
        self.calls.insert(id.clone(), call);
        self.dispatch(&id, actions);
        self.start_call_timer(hold_until, &id, actions);
    }

    /// Starts a timer that dispatches the call again 1 ms after `at`.
    fn start_call_timer(&mut self, at: f64, id: &CallId, actions: &mut Vec<Action>) {
        let after = Duration::from_secs_f64((at - self.now).max(0.0) + 0.001);
        let token = TimerToken(self.next_timer);
        let Some(call) = self.calls.get_mut(id) else { return };
        call.timers.push(token);
        self.next_timer += 1;
        self.call_timers.insert(token, id.clone());
        actions.push(Action::StartTimer { after, token });
    }

    /// Removes a call that is over, with its timers: a call may be over long before they would expire.
    fn remove_call(&mut self, id: &CallId, actions: &mut Vec<Action>) -> Option<Call> {
        self.cancel_timers(id, actions);
        self.unqueue(id);
        let call = self.calls.remove(id)?;
        if let Some(attempt) = call.attempt.as_ref().filter(|_| call.is_unanswered()) {
            self.remove_unanswered(attempt.node, id);
        }
        Some(call)
    }

    /// Removes a call from those with an unanswered set-up to a node.
    fn remove_unanswered(&mut self, node: NodeNumber, id: &CallId) {
        if let Some(calls) = self.unanswered.get_mut(&node) {
            calls.remove(id);
        }
    }

    /// Cancels the timers of a call.
    fn cancel_timers(&mut self, id: &CallId, actions: &mut Vec<Action>) {
        let timers = self.calls.get_mut(id).map(|call| std::mem::take(&mut call.timers));
        for token in timers.unwrap_or_default() {
            self.call_timers.remove(&token);
            actions.push(Action::CancelTimer(token));
        }
    }

    /// Returns whether a call sent now would be established only after its latency objective, judging by
    /// recent set-up times of its destination.
    fn is_late(&self, call: &Call) -> bool {
        self.now + self.nodes.get(&call.destination).map_or(0.0, |s| s.set_up_time)
            > call.first_dialled_at + call.latency_objective
    }

    /// Records that a number was busy, which doubles its pause, or took a call, which ends its pause.
    ///
    /// This limits a focused overload: calls to a number with few lines are held here without work for any
    /// processor, and only enough are sent to find out whether a line is free. It should work likewise for
    /// any number that cannot be reached. The drawback: a line that becomes free is unused until the end of
    /// the pause, 4 s at most.
    fn record_number_state(&mut self, number: NumberKey, is_busy: bool) {
        if !is_busy {
            self.busy_numbers.remove(&number);
        } else if self.busy_numbers.len() < MAX_BUSY_NUMBERS || self.busy_numbers.contains_key(&number) {
            let (first_pause, max_pause) =
                (BUSY_NUMBER_PAUSE * self.base_interval, MAX_BUSY_NUMBER_PAUSE * self.base_interval);
            let pause =
                self.busy_numbers.get(&number).map_or(first_pause, |(pause, _)| (2.0 * pause).min(max_pause));
            self.busy_numbers.insert(number, (pause, self.now + pause));
        }
    }

    /// Returns the value that a call would earn if it were sent now.
    fn value_now(&self, call: &Call) -> f64 {
        let class = &self.settings.classes[call.class];
        class.value * if self.is_late(call) { class.late_value_share } else { 1.0 }
    }

    /// Returns whether a number was busy and its pause lasts.
    fn is_number_paused(&self, number: NumberKey) -> bool {
        self.busy_numbers.get(&number).is_some_and(|(_, until)| self.now < *until)
    }

    /// Routes a call if its destination and the local processor can take it. Else the call is held, and
    /// refused once its holding time is over. A call that is already being set up is checked for being
    /// overdue.
    fn dispatch(&mut self, id: &CallId, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.get(id) else { return };
        if !call.is_ready_to_send(self.now) {
            return self.cancel_if_overdue(id, actions);
        }
        let destination_state = self.nodes.get(&call.destination);
        let is_late = !call.is_transit && self.is_late(call);
        // In a mesh every route ends at the destination; with pools another pool may take the call.
        let is_reachable = destination_state.is_none_or(|s| s.window.is_open(self.now, is_late));
        let is_reachable = is_reachable && self.exchange_in_service(call.destination).is_some();
        let is_locally_allowed = call.is_transit
            || (!self.is_number_paused(call.number) && self.local_window.is_open(self.now, is_late));
        if (is_reachable || self.own_node().is_none())
            && is_locally_allowed
            && (call.attempts_made > 0 || self.admission.has_capacity())
        {
            self.route(id, actions);
        } else if self.now >= call.hold_until {
            self.refuse(id, actions);
        }
        self.queue_if_held(id);
    }

    /// Gives the final answer to a call: refused, or failed if an attempt may have run and must not be
    /// repeated.
    fn refuse(&mut self, id: &CallId, actions: &mut Vec<Action>) {
        let Some(call) = self.remove_call(id, actions) else { return };
        self.remember_for_redial(&call);
        // The longest hold-off is used, since a later redial means less load for the processors.
        let hold_off = self.settings.limits.hold_off_allowed.then_some(self.settings.limits.max_hold_off);
        let refusal = Action::Refuse { call: id.clone(), hold_off };
        actions.push(if call.repeat_forbidden { Action::Fail(id.clone()) } else { refusal });
    }

    /// Refuses or fails every call that is not established, because the router stops.
    pub fn give_up_all(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.now = self.now.max(now.as_secs_f64());
        let unanswered: Vec<CallId> =
            self.calls.iter().filter(|(_, c)| !c.is_established).map(|(id, _)| id.clone()).collect();
        for id in unanswered {
            let Some(call) = self.calls.get_mut(&id) else { continue };
            let is_safe = self.settings.classes[call.class].idempotency == Idempotency::Safe;
            call.repeat_forbidden |= call.attempt.is_some() && !is_safe;
            self.refuse(&id, actions);
        }
    }

    /// Remembers the number of a call that ends without being established, to recognize its redial.
    fn remember_for_redial(&mut self, call: &Call) {
        let has_room = self.redials.len() < MAX_REDIALS || self.redials.contains_key(&call.number);
        if !call.is_established && !call.is_transit && has_room {
            self.redials.insert(call.number, call.first_dialled_at);
        }
    }

    /// Logs when the window of a node or of the local processor closes or opens again, and when the safe rate
    /// changes.
    fn log_state_changes(&mut self, actions: &mut Vec<Action>) {
        let mut lines = Vec::new();
        for (node, state) in &mut self.nodes {
            let is_closed = state.window.size < 1.0;
            if std::mem::replace(&mut state.closed_window_logged, is_closed) != is_closed {
                let what = if is_closed {
                    "set-ups unanswered or slow, only trial set-ups are sent"
                } else {
                    "set-ups answered in time again, no longer limited to trials"
                };
                lines.push(format!("place {}: {what}", node.0));
            }
        }
        let is_overloaded = self.local_window.size < 1.0;
        if std::mem::replace(&mut self.local_overload_logged, is_overloaded) != is_overloaded {
            let what = if is_overloaded { "overloaded, set-ups are held" } else { "no longer overloaded" };
            lines.push(format!("local processor {what}"));
        }
        if std::mem::replace(&mut self.logged_safe_rate, self.admission.safe_rate) != self.admission.safe_rate
        {
            lines.extend(
                self.admission.safe_rate.map(|safe| format!("safe rate set to {safe:.1} calls per second")),
            );
        }
        let lines_left = MAX_LOG_LINES - self.lines_logged.min(MAX_LOG_LINES);
        self.lines_logged += lines.len();
        actions.extend(lines.into_iter().take(lines_left).map(Action::Log));
    }

    /// Returns the number of calls, timers, numbers, exchanges and nodes that are kept in memory.
    pub fn state_size(&self) -> usize {
        let calls = self.calls.len() + self.call_timers.len() + self.redials.len();
        calls + self.busy_numbers.len() + self.exchanges.len() + self.nodes.len()
    }
}
