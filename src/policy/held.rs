//! Queues of held calls: those that wait for a window, a circuit or the admission control.
//!
//! Calls that need the same to be sent are queued together. If the first call of a queue can't be sent, none
//! of the others can, so that the work of an event depends on the number of queues and not on that of held
//! calls.

use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use super::state::{HeldQueue, NumberKey};
use super::Controller;
use crate::interface::{Action, CallId, NodeNumber};

/// What decides whether a held call can be sent. Groups that differ only in `circuits` are neighbours, in
/// ascending order.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct HeldGroup {
    /// Called number, if it was busy when the call was queued. Else the calls of all numbers are queued
    /// together.
    pub(super) busy_number: Option<NumberKey>,
    pub(super) destination: NodeNumber,
    /// Index of the class.
    pub(super) class: usize,
    /// Whether an attempt has been made, so that the admission control has accepted the call.
    pub(super) is_retry: bool,
    /// Nodes to which the call has been sent since its last pause.
    pub(super) tried_nodes: Vec<NodeNumber>,
    /// Circuits that the call seizes.
    pub(super) circuits: u32,
}

impl HeldGroup {
    /// Returns whether calls of `other` need the same as calls of this group but for the number of circuits.
    pub(super) fn differs_only_in_circuits(&self, other: &HeldGroup) -> bool {
        let key = |group: &HeldGroup| (group.busy_number, group.destination, group.class, group.is_retry);
        key(self) == key(other) && self.tried_nodes == other.tried_nodes
    }
}

/// Place of a call in its queue: the latest end of the latency objective comes first, since the newest call
/// has most of its time left.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct QueueEntry {
    /// Bits of the time at which the latency objective ends. Times are positive, so their bits sort as they
    /// do.
    objective_end: Reverse<u64>,
    call: CallId,
}

impl QueueEntry {
    fn new(objective_end: f64, call: &CallId) -> Self {
        Self { objective_end: Reverse(objective_end.max(0.0).to_bits()), call: call.clone() }
    }
}

/// The first call of a group of held calls, ordered by its value and then by the time left.
#[derive(Debug)]
pub(super) struct Candidate {
    /// Value that the call earns if it is sent now.
    pub(super) value: f64,
    /// Time at which its latency objective ends.
    pub(super) objective_end: f64,
    pub(super) call: CallId,
    pub(super) group: HeldGroup,
}

impl Ord for Candidate {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_time = self.objective_end.total_cmp(&other.objective_end);
        self.value.total_cmp(&other.value).then(by_time).then_with(|| other.call.cmp(&self.call))
    }
}

impl PartialOrd for Candidate {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Candidate {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Candidate {}

/// All held calls.
#[derive(Debug, Default)]
pub(super) struct HeldCalls {
    queues: BTreeMap<HeldGroup, BTreeSet<QueueEntry>>,
}

impl HeldCalls {
    /// Adds a call whose latency objective ends at `objective_end`, in seconds.
    pub(super) fn insert(&mut self, group: HeldGroup, objective_end: f64, call: &CallId) {
        self.queues.entry(group).or_default().insert(QueueEntry::new(objective_end, call));
    }

    /// Removes a call, given what it was added with.
    pub(super) fn remove(&mut self, group: &HeldGroup, objective_end: f64, call: &CallId) {
        let Some(queue) = self.queues.get_mut(group) else { return };
        queue.remove(&QueueEntry::new(objective_end, call));
        if queue.is_empty() {
            self.queues.remove(group);
        }
    }

    /// Returns the groups that have calls, each with its first call.
    pub(super) fn groups(&self) -> impl Iterator<Item = (&HeldGroup, &CallId)> {
        self.queues.iter().filter_map(|(group, queue)| Some((group, &queue.first()?.call)))
    }

    /// Returns the first call of a group.
    pub(super) fn first(&self, group: &HeldGroup) -> Option<&CallId> {
        Some(&self.queues.get(group)?.first()?.call)
    }

    /// Returns the calls that are queued by their numbers, as far as `is_selected` holds for these.
    pub(super) fn calls_by_number(&self, is_selected: impl Fn(NumberKey) -> bool) -> Vec<CallId> {
        let by_number = self.queues.iter().filter(|(group, _)| group.busy_number.is_some_and(&is_selected));
        by_number.flat_map(|(_, queue)| queue.iter().map(|entry| entry.call.clone())).collect()
    }
}

impl Controller {
    /// Queues a call that may be sent but was not.
    pub(super) fn queue_if_held(&mut self, id: &CallId) {
        let Some(call) = self.calls.get(id) else { return };
        if call.queue.is_some() || !call.is_ready_to_send(self.now) {
            return;
        }
        let is_paused = self.is_number_paused(call.number);
        let queue = if is_paused { HeldQueue::BusyNumber } else { HeldQueue::AllNumbers };
        self.held.insert(call.held_group(queue), call.objective_end(), id);
        self.calls.get_mut(id).into_iter().for_each(|call| call.queue = Some(queue));
    }

    /// Takes a call out of its queue, if it is in one.
    pub(super) fn unqueue(&mut self, id: &CallId) {
        let Some(call) = self.calls.get_mut(id) else { return };
        if let Some(queue) = call.queue.take() {
            self.held.remove(&call.held_group(queue), call.objective_end(), id);
        }
    }

    /// Queues a call anew, since it has become known whether its number is busy.
    fn requeue(&mut self, id: &CallId) {
        self.unqueue(id);
        self.queue_if_held(id);
    }

    /// Sends held calls in the order of their value, as far as the windows and the admission control allow. A
    /// queue is left as soon as its first call can't be sent.
    pub(super) fn send_held_calls(&mut self, actions: &mut Vec<Action>) {
        if !self.local_window.is_open(self.now, false) || !self.admission.has_capacity() {
            return;
        }
        let forgotten = self.held.calls_by_number(|number| !self.busy_numbers.contains_key(&number));
        forgotten.iter().for_each(|id| self.requeue(id));
        let mut candidates: BinaryHeap<Candidate> =
            self.sendable_groups().into_iter().filter_map(|group| self.next_candidate(group)).collect();
        while let Some(Candidate { call: id, group, .. }) = candidates.pop() {
            if !self.local_window.is_open(self.now, false) {
                return;
            }
            self.dispatch(&id, actions);
            if self.calls.get(&id).is_none_or(|call| call.queue.is_none()) {
                candidates.extend(self.next_candidate(group));
            }
        }
    }

    /// Returns the groups of held calls for which there may be a free route.
    fn sendable_groups(&self) -> Vec<HeldGroup> {
        let mut sendable = Vec::new();
        let mut blocked: Option<&HeldGroup> = None;
        for (group, _) in self.held.groups() {
            if blocked.is_some_and(|blocked| blocked.differs_only_in_circuits(group)) {
                continue; // it needs more circuits than the blocked one
            }
            if !group.busy_number.is_some_and(|n| self.is_number_paused(n)) && self.may_have_route(group) {
                sendable.push(group.clone());
            } else {
                blocked = Some(group);
            }
        }
        sendable
    }

    /// Returns whether a call of a group might be sent or has to be refused: false only if it can't be sent
    /// for a reason that also holds for calls of the group with less time left, or with more circuits.
    fn may_have_route(&self, group: &HeldGroup) -> bool {
        let destination = group.destination;
        let state = self.nodes.get(&destination);
        let is_open = state.is_none_or(|s| s.window.is_open(self.now, false))
            && self.exchange_in_service(destination).is_some();
        if self.own_node().is_some() && !is_open {
            return false;
        }
        let is_blocked = state.and_then(|s| s.free_circuits).is_some_and(|f| f < f64::from(group.circuits));
        let is_direct_allowed =
            self.own_node() != Some(destination) && !group.tried_nodes.contains(&destination);
        (is_open && !is_blocked && is_direct_allowed)
            || self.is_out_of_routes(destination, &group.tried_nodes)
            || !self
                .candidate_tandems(destination, group.class, group.circuits, &group.tried_nodes)
                .is_empty()
    }

    /// Returns the first call of a group as a candidate to be sent. Calls whose number has become busy are
    /// moved to the queue of their number.
    fn next_candidate(&mut self, group: HeldGroup) -> Option<Candidate> {
        loop {
            let id = self.held.first(&group)?.clone();
            let call = self.calls.get(&id)?;
            if call.queue == Some(HeldQueue::AllNumbers) && self.is_number_paused(call.number) {
                self.requeue(&id);
                continue;
            }
            let (value, objective_end) = (self.value_now(call), call.objective_end());
            return Some(Candidate { value, objective_end, call: id, group });
        }
    }
}
