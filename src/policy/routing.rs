//! Routing: chooses the exchange to which a call is sent, and sends its set-up.

use std::time::Duration;

use super::control::MIN_SAFE_RATE;
use super::state::{Attempt, NodeState};
use super::{Controller, OVERDUE_MULTIPLE};
use crate::interface::*;

/// Share of the cold budget that is used. The rest is a margin for repeated set-ups and for those in flight.
const COLD_BUDGET_SHARE: f64 = 0.9;
/// Rate that an exchange is assumed to sustain from this router, as a multiple of the rate that this router
/// sent it while it was warm. It is above 1 because the exchange set up its own calls during that time as
/// well.
const WARM_RATE_MULTIPLE: f64 = 1.5;
/// Circuits reserved for direct calls on the first leg to a tandem.
const RESERVED_CIRCUITS: f64 = 1.0;
/// Further reserved circuits for each unit of blocking, which lies between 0 and 1.
const RESERVED_CIRCUITS_PER_BLOCKING: f64 = 10.0;
/// Smoothing factor of the blocking, applied once for each call.
const BLOCKING_SMOOTHING: f64 = 0.1;
/// Largest number of tandems tried for one call.
const MAX_TANDEMS: usize = 2;

impl Controller {
    /// Sends a call on the direct route, else over a random tandem (or to another pool). If neither is
    /// possible the call is held until circuits are free, or refused if it has no route left.
    pub(super) fn route(&mut self, id: &CallId, actions: &mut Vec<Action>) {
        let is_late = self.calls.get(id).is_some_and(|c| self.is_late(c));
        let Some(call) = self.calls.get_mut(id) else { return };
        let (destination, circuits, is_transit, hold_until) =
            (call.destination, f64::from(call.circuits), call.is_transit, call.hold_until);
        let (class, needed_circuits) = (call.class, call.circuits);
        let (is_first_try, tried_nodes) =
            (!std::mem::replace(&mut call.blocking_recorded, true), call.tried_nodes.clone());
        // When a router is down, its calls arrive at the other routers, and so also at the router of the
        // destination exchange. From there the destination can be reached over another exchange only.
        let (is_pooled, to_own_node) = (self.own_node().is_none(), self.own_node() == Some(destination));
        let state = self.nodes.entry(destination).or_default();
        let is_blocked = state.free_circuits.is_some_and(|free| free < circuits);
        if is_first_try {
            state.blocking += BLOCKING_SMOOTHING * (f64::from(u8::from(is_blocked)) - state.blocking);
        }
        // A late call earns little, so it leaves the last circuits to calls that can be established in time.
        let reserved = circuits + RESERVED_CIRCUITS + RESERVED_CIRCUITS_PER_BLOCKING * state.blocking;
        let is_reserved = is_late && !is_transit && state.free_circuits.is_some_and(|free| free < reserved);
        let is_closed = is_pooled && !state.window.is_open(self.now, is_late);
        let needs_alternative = to_own_node || is_blocked || is_closed || tried_nodes.contains(&destination);
        if !needs_alternative && !is_reserved && self.send_set_up(id, destination, actions) {
            return;
        }
        if !is_transit
            && !is_late
            && (needs_alternative || (is_pooled && self.exchange_in_service(destination).is_none()))
        {
            let tandems = self.candidate_tandems(destination, class, needed_circuits, &tried_nodes);
            let choice = (!tandems.is_empty()).then(|| tandems[self.rng.usize(..tandems.len())]);
            if choice.is_some_and(|node| self.send_set_up(id, node, actions)) {
                return;
            }
        }
        let is_out_of_routes = self.is_out_of_routes(destination, &tried_nodes);
        if is_transit || is_out_of_routes || self.now >= hold_until {
            self.refuse(id, actions);
        }
    }

    /// Returns whether a call that was sent to these nodes has no route left. In a mesh that is so after the
    /// direct one and `MAX_TANDEMS` tandems, or after all nodes but this router's own. A call to the router's
    /// own exchange has no direct route.
    pub(super) fn is_out_of_routes(&self, destination: NodeNumber, tried_nodes: &[NodeNumber]) -> bool {
        let (is_pooled, to_own_node) = (self.own_node().is_none(), self.own_node() == Some(destination));
        let max_routes = self.nodes.len().min(MAX_TANDEMS + 2 - usize::from(to_own_node));
        !is_pooled
            && (to_own_node || tried_nodes.contains(&destination))
            && tried_nodes.len() + 1 >= max_routes
    }

    /// Returns the tandems over which a call may be sent now. If there are tandems whose last call to the
    /// destination was established, only those are returned.
    pub(super) fn candidate_tandems(
        &self,
        destination: NodeNumber,
        class: usize,
        circuits: u32,
        tried_nodes: &[NodeNumber],
    ) -> Vec<NodeNumber> {
        let Some(destination_state) = self.nodes.get(&destination) else { return Vec::new() };
        if tried_nodes.iter().filter(|n| **n != destination).count() >= MAX_TANDEMS {
            return Vec::new();
        }
        let reserved = RESERVED_CIRCUITS + RESERVED_CIRCUITS_PER_BLOCKING * destination_state.blocking;
        let class = &self.settings.classes[class];
        let is_candidate = |node: &NodeNumber, state: &NodeState| {
            *node != destination
                && Some(*node) != self.own_node()
                && !tried_nodes.contains(node)
                && state.free_circuits.is_some_and(|free| free >= f64::from(circuits) + reserved)
                && state.window.is_open(self.now, false)
                && destination_state.tandems.get(node).is_none_or(|(_, until)| self.now > *until)
                && (class.pools.is_empty() || class.pools.contains(node))
                && self.exchange_in_service(*node).is_some_and(|(_, e)| e.warm_at <= self.now)
        };
        let mut candidates: Vec<NodeNumber> =
            self.nodes.iter().filter(|(n, s)| is_candidate(n, s)).map(|(n, _)| *n).collect();
        let is_proven =
            |node: &NodeNumber| destination_state.tandems.get(node).is_some_and(|(pause, _)| *pause == 0.0);
        if candidates.iter().any(is_proven) {
            candidates.retain(is_proven);
        }
        candidates
    }

    /// Sends a set-up, or returns false if one of the rules 2 to 5 or a limit forbids it. No set-up is sent
    /// elsewhere.
    fn send_set_up(&mut self, id: &CallId, node: NodeNumber, actions: &mut Vec<Action>) -> bool {
        let Some((exchange_id, is_cold)) =
            self.exchange_in_service(node).map(|(id, e)| (id.clone(), e.warm_at > self.now))
        else {
            return false; // rule 3: no exchange is in service
        };
        if is_cold && !self.has_cold_budget(&exchange_id) {
            return false; // rule 4
        }
        let own_node = self.own_node();
        let Some(call) = self.calls.get(id) else { return false };
        let is_not_ready = !call.is_ready_to_send(self.now); // rules 2 and 5
        let is_exhausted =
            call.attempts_made >= self.settings.limits.max_attempts || self.now >= call.deadline;
        let is_wrong_node = Some(node) == own_node || (call.is_transit && node != call.destination);
        if is_not_ready || is_exhausted || call.repeat_forbidden || is_wrong_node {
            return false;
        }
        self.unqueue(id);
        self.unanswered.entry(node).or_default().insert(id.clone());
        let Some(call) = self.calls.get_mut(id) else { return false };
        call.attempt = Some(Attempt {
            node,
            sent_at: self.now,
            counted_in_window: true,
            is_overdue: false,
            presumed_lost: false,
        });
        self.admission.accepted_calls += f64::from(u8::from(call.attempts_made == 0));
        call.attempts_made += 1;
        call.tried_nodes.push(node);
        let give_up_at = Duration::from_secs_f64(call.deadline);
        let state = self.nodes.entry(node).or_default();
        let circuits = f64::from(call.circuits);
        state.free_circuits = state.free_circuits.map(|free| free - circuits);
        state.last_send_circuits =
            circuits + if state.last_send_at == self.now { state.last_send_circuits } else { 0.0 };
        state.last_send_at = self.now;
        state.window.outstanding += 1.0;
        state.sent_in_cycle += 1.0;
        self.local_window.outstanding += 1.0;
        let overdue_at = self.now + OVERDUE_MULTIPLE * state.set_up_time.max(self.set_up_time);
        actions.push(Action::SendSetUp { call: id.clone(), exchange: exchange_id.clone(), give_up_at });
        self.start_call_timer(overdue_at, id, actions);
        let exchange = self.exchanges.get_mut(&exchange_id).filter(|_| is_cold).into_iter();
        exchange.for_each(|e| e.cold_send_times.push(self.now));
        true
    }

    /// Returns whether rule 4 allows another set-up to a cold exchange: whether this router's share of what
    /// the exchange can take within the window is not used up.
    ///
    /// The share is estimated from the rate that this router sent while the exchange was warm, if that is
    /// more than an equal part of the calls offered here. With the latter alone an exchange stayed idle after
    /// a restart.
    fn has_cold_budget(&mut self, exchange_id: &ExchangeId) -> bool {
        let rules = &self.settings.rules;
        let window = rules.overload_window.as_secs_f64();
        let Some(exchange) = self.exchanges.get_mut(exchange_id) else { return false };
        let warm_rate = self.nodes.get(&exchange.node).map_or(0.0, |s| WARM_RATE_MULTIPLE * s.sent_rate);
        let sender_rate = warm_rate
            .max(self.admission.offered_rate.max(MIN_SAFE_RATE) / f64::from(self.settings.fleet_size));
        // The capacity grows during the warm-up. How it grows is not specified, so it is taken to be linear.
        let warm_up_left = ((exchange.warm_at - self.now) / rules.warm_up_time.as_secs_f64()).clamp(0.0, 1.0);
        let capacity_share = 1.0 - warm_up_left * (1.0 - rules.cold_capacity_share);
        let budget = COLD_BUDGET_SHARE * rules.overload_multiple * capacity_share * sender_rate * window;
        // With a budget of less than one set-up per window, one is sent in every 1 / budget windows.
        exchange.cold_send_times.retain(|t| *t > self.now - window / budget.min(1.0));
        (exchange.cold_send_times.len() as f64) + 1.0 <= budget.max(1.0)
    }
}
