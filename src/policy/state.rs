//! What the controller knows of each exchange, each node and each call.

use std::collections::BTreeMap;

use super::held::HeldGroup;
use super::window::Window;
use crate::interface::{hash_text, Health, NodeNumber, TimerToken};

/// State of an exchange in the membership.
#[derive(Debug)]
pub(super) struct Exchange {
    pub(super) node: NodeNumber,
    pub(super) health: Health,
    /// Time at which the exchange is warm. Until then rule 4 limits the set-ups sent to it.
    pub(super) warm_at: f64,
    /// Times of the set-ups sent to it while cold, within the window of rule 4.
    pub(super) cold_send_times: Vec<f64>,
}

/// State of a node, which is the exchange or pool of one number.
#[derive(Debug, Default)]
pub(super) struct NodeState {
    pub(super) window: Window,
    /// Whether the last log line about this node reported its window as closed.
    pub(super) closed_window_logged: bool,
    /// Highest allowed rate reported by the processor, in set-ups per second, decaying slowly.
    pub(super) best_allowed_rate: f64,
    /// Smoothed set-up time in seconds.
    pub(super) set_up_time: f64,
    /// Whether a set-up has become overdue since the last one was established.
    pub(super) has_overdue_set_up: bool,
    /// Smoothed share of set-ups that were lost.
    pub(super) loss_share: f64,
    /// Tandems used for calls to this node, each with the length of its last pause and the end of that pause.
    /// The length is 0 if the last call over the tandem was established.
    pub(super) tandems: BTreeMap<NodeNumber, (f64, f64)>,
    /// Free circuits toward this node; `None` until they are reported.
    pub(super) free_circuits: Option<f64>,
    /// Whether free circuits have been reported on a change, outside of attempt outcomes.
    pub(super) free_circuits_pushed: bool,
    /// Time of the last set-up sent.
    pub(super) last_send_at: f64,
    /// Circuits seized by the set-ups sent at `last_send_at`.
    pub(super) last_send_circuits: f64,
    /// Smoothed share of calls that found no free circuit on the direct route.
    pub(super) blocking: f64,
    /// Set-ups sent in this cycle.
    pub(super) sent_in_cycle: f64,
    /// Smoothed rate of set-ups sent while the node was warm and answering, per second. A short flood of
    /// calls changes it little.
    pub(super) sent_rate: f64,
}

/// Hash of a called number, under which it is remembered: the text itself may be as long as a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct NumberKey(u64);

impl NumberKey {
    pub(super) fn new(number: &str) -> Self {
        Self(hash_text(number))
    }
}

/// The outstanding attempt of a call, or the one that established it.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) node: NodeNumber,
    pub(super) sent_at: f64,
    /// Whether it counts as unanswered in the windows.
    pub(super) counted_in_window: bool,
    /// Whether it has been unanswered for longer than `OVERDUE_MULTIPLE` usual set-up times.
    pub(super) is_overdue: bool,
    /// Whether it is taken to be lost on the way, so that its silence does not shrink the node's window.
    pub(super) presumed_lost: bool,
}

/// A call without a final answer, or an established one.
#[derive(Debug)]
pub(super) struct Call {
    /// Called number.
    pub(super) number: NumberKey,
    /// Destination node, or the pool of first choice.
    pub(super) destination: NodeNumber,
    /// Whether the call is in transit: it is sent to its destination or refused, and over no other tandem.
    pub(super) is_transit: bool,
    /// Index of the class, limited to the classes of the settings.
    pub(super) class: usize,
    /// Circuits that the call seizes.
    pub(super) circuits: u32,
    /// Time at which the caller gives up.
    pub(super) deadline: f64,
    /// Latency objective of the class in seconds.
    pub(super) latency_objective: f64,
    /// Time of the caller's first try. The call has its full value if it is established within the latency
    /// objective from then on.
    pub(super) first_dialled_at: f64,
    /// Time until which the call may be held for a window or for admission; it is refused then.
    pub(super) hold_until: f64,
    pub(super) attempts_made: u32,
    pub(super) attempt: Option<Attempt>,
    /// Earliest time of the next attempt (rule 5).
    pub(super) not_before: f64,
    /// Whether an attempt may have run although the class is not safe to repeat. The call is then not sent
    /// again, and its final answer can only be [`Action::Fail`].
    pub(super) repeat_forbidden: bool,
    pub(super) is_established: bool,
    /// Whether the call has been counted in the blocking of its destination.
    pub(super) blocking_recorded: bool,
    /// Nodes to which the call has been sent since its last pause.
    pub(super) tried_nodes: Vec<NodeNumber>,
    /// Timers of the call that have not expired.
    pub(super) timers: Vec<TimerToken>,
    /// Whether the call is in a queue of held calls, and in which kind.
    pub(super) queue: Option<HeldQueue>,
}

/// Kind of queue that a held call is in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum HeldQueue {
    /// Together with calls to other numbers.
    AllNumbers,
    /// Only with calls to the same number, which was busy.
    BusyNumber,
}

impl Call {
    /// Returns the time at which the latency objective of the call ends, in seconds.
    pub(super) fn objective_end(&self) -> f64 {
        self.first_dialled_at + self.latency_objective
    }

    /// Returns the group of held calls that the call belongs to in a queue of this kind.
    pub(super) fn held_group(&self, queue: HeldQueue) -> HeldGroup {
        HeldGroup {
            busy_number: (queue == HeldQueue::BusyNumber).then_some(self.number),
            destination: self.destination,
            class: self.class,
            is_retry: self.attempts_made > 0,
            tried_nodes: self.tried_nodes.clone(),
            circuits: self.circuits,
        }
    }

    /// Returns whether the call has an attempt without an answer.
    pub(super) fn is_unanswered(&self) -> bool {
        self.attempt.is_some() && !self.is_established
    }

    /// Returns whether the call is held and its next attempt may be made.
    pub(super) fn is_ready_to_send(&self, now: f64) -> bool {
        self.attempt.is_none() && !self.is_established && now >= self.not_before
    }
}
