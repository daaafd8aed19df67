//! Call processing without I/O: turns requests into attempts and gives each request one final answer.
//!
//! [`Core`] hosts the [`Controller`], which makes all decisions, in the same way as the adapter does. It
//! opens no sockets and reads no clock: each method takes the current time, and the resulting work is
//! collected as [`Effect`]s for a front end to carry out.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use super::calls::{Attempt, Call, Calls, Origin, SetUpText};
use super::exchanges::Exchanges;
use super::timers::{TimerKey, TimerQueue};
use crate::interface::{
    hash_text, Action, AttemptStatus, CallId, Event, ExchangeId, FailureCause, Member, OfferedCall, Outcome,
    TimerToken, UpdateKind,
};
use crate::Controller;

/// Q.850 cause 16, normal call clearing.
pub const CAUSE_NORMAL_CLEARING: u32 = 16;
/// Q.850 cause 41, temporary failure: the connection or the exchange failed during the call.
pub const CAUSE_TEMPORARY_FAILURE: u32 = 41;

/// A set-up request, as a front end hands it over.
#[derive(Debug, Clone)]
pub struct Request {
    /// Source of the request, to which the answer goes.
    pub origin: Origin,
    /// Description of the call for the controller.
    pub offered: OfferedCall,
    /// Session description, passed on unchanged.
    pub description: Arc<str>,
}

/// An exchange's reply to an attempt.
#[derive(Debug, Clone)]
pub enum Reply {
    /// The call is established; holds the exchange's session description.
    Established(Arc<str>),
    /// The attempt, or the call that it established, has ended.
    Ended {
        /// How it ended.
        status: AttemptStatus,
        /// Why it ended, if the exchange reported a cause.
        failure_cause: Option<FailureCause>,
        /// Load report in the order of the configured gauges; empty if none came with the reply.
        load_report: Vec<f64>,
    },
}

/// Work for the front end.
#[derive(Debug, Clone)]
pub enum Effect {
    /// Sends a set-up to an exchange.
    SendSetUp {
        /// Exchange that the set-up goes to.
        exchange: ExchangeId,
        /// Call to set up.
        call: CallId,
        /// Index of the call's class.
        class: usize,
        /// Called number.
        called_number: Arc<str>,
        /// Time until the attempt times out.
        remaining: Duration,
        /// Session description.
        description: Arc<str>,
    },
    /// Abandons a set-up, or releases an established call, at an exchange.
    ReleaseAtExchange {
        /// Exchange that holds the call; `None` if it is unknown: the release then goes to all.
        exchange: Option<ExchangeId>,
        /// Call to release.
        call: CallId,
        /// Q.850 cause.
        cause: u32,
    },
    /// Gives the final answer that the call is established.
    Answer {
        /// Source of the request.
        origin: Origin,
        /// Call that was requested.
        call: CallId,
        /// Session description of the exchange.
        description: Arc<str>,
    },
    /// Gives the final answer that the request is refused; repeating it can't set up the call twice.
    Refuse {
        /// Source of the request.
        origin: Origin,
        /// Call that was requested.
        call: CallId,
        /// Time that the caller is asked to wait before it tries again.
        hold_off: Option<Duration>,
    },
    /// Gives the final answer that the request failed; an exchange may have set up the call.
    Fail {
        /// Source of the request.
        origin: Origin,
        /// Call that was requested.
        call: CallId,
    },
    /// Tells the client that an established call has ended.
    ReleaseAtClient {
        /// Source of the call's request; `None` if the call is older than this process.
        origin: Option<Origin>,
        /// Call that has ended.
        call: CallId,
        /// Q.850 cause.
        cause: u32,
        /// Exchange at which it was established.
        exchange: ExchangeId,
    },
    /// Sends a message to all other controllers.
    Broadcast(String),
    /// Writes a line to the operators' log.
    Log(String),
}

/// What is due when a timer of the core expires.
#[derive(Debug)]
enum Timer {
    /// A timer that the controller started.
    Controller(TimerToken),
    /// The attempt with this number times out.
    AttemptTimeout(CallId, u32),
    /// The caller stops waiting for the answer.
    RequestDeadline(CallId),
}

/// Largest number of open calls, established ones included; further requests are refused without being passed
/// to the controller. The front end limits those that are unanswered, of which the platform allows 20,000.
const MAX_OPEN_CALLS: usize = 40_000;

/// Maximum number of timers that are handled in one go, so that other events wait for no more than these.
const MAX_TIMERS_PER_RUN: usize = 256;

/// Time after a request's deadline at which the core answers in place of the controller.
///
/// An attempt may time out exactly at the deadline. The controller answers such a request itself and
/// asks the caller to hold off; without the grace period both answers would be due at the same instant.
const DEADLINE_GRACE: Duration = Duration::from_millis(10);

/// Requests, attempts and established calls of one controller.
#[derive(Debug)]
pub struct Core {
    controller: Controller,
    /// Open calls and those that ended recently.
    pub calls: Calls,
    /// Listed exchanges.
    pub exchanges: Exchanges,
    timers: TimerQueue<Timer>,
    /// Timers that the controller has started and that have not expired.
    controller_timers: HashMap<TimerToken, TimerKey>,
    /// Events that the controller has not handled yet.
    events: VecDeque<Event>,
    /// Effects that the front end has not taken yet.
    effects: Vec<Effect>,
    /// Latest time that a method was given; never goes back.
    now: Duration,
}

impl Core {
    /// Creates the core around a controller.
    pub fn new(controller: Controller, exchanges: Exchanges, now: Duration) -> Self {
        Self {
            controller,
            calls: Calls::default(),
            exchanges,
            timers: TimerQueue::default(),
            controller_timers: HashMap::new(),
            events: VecDeque::new(),
            effects: Vec::new(),
            now,
        }
    }

    /// Returns the effects collected since the last time and clears them.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Returns the time at which [`Core::run_due_timers`] must run next.
    pub fn next_due(&self) -> Option<Duration> {
        self.timers.next_due()
    }

    /// Sets the current time, which never goes back.
    fn advance_clock(&mut self, now: Duration) {
        self.now = self.now.max(now);
    }

    /// Passes queued events to the controller and executes its actions until no event is left.
    fn process_events(&mut self) {
        while let Some(event) = self.events.pop_front() {
            let mut actions = Vec::new();
            self.controller.handle(self.now, event, &mut actions);
            actions.into_iter().for_each(|action| self.execute(action));
        }
    }

    /// Applies an update of the membership.
    pub fn update_membership(&mut self, now: Duration, kind: UpdateKind, members: Vec<Member>) {
        self.advance_clock(now);
        let removed = self.exchanges.apply(kind, &members);
        self.events.push_back(Event::MembershipUpdate { kind, members: Arc::new(members) });
        self.process_events();
        // A process that has ended can't release its calls, so they would stay established forever. A process
        // that has restarted releases its earlier calls itself on the next connection, and calls that are
        // established there may already be new ones.
        for exchange in removed {
            self.reset_calls_at(now, &exchange);
        }
    }

    /// Returns `true` if an established call is held at the exchange.
    pub fn has_established_call_at(&self, exchange: &ExchangeId) -> bool {
        self.calls.has_established_at(exchange)
    }

    /// Ends every established call at an exchange that can no longer release them itself: its process has
    /// ended or is out of reach.
    pub fn reset_calls_at(&mut self, now: Duration, exchange: &ExchangeId) {
        for id in self.calls.established_at(exchange) {
            self.handle_reply(now, exchange, &id, ended_reply(AttemptStatus::Reset));
        }
    }

    /// Handles a request, which gets exactly one final answer, or none if its caller gives up before.
    pub fn handle_request(&mut self, now: Duration, request: Request) {
        self.advance_clock(now);
        let (id, offered) = (request.offered.call.clone(), request.offered);
        if self.calls.open.contains_key(&id) || self.calls.has_ended(&id) {
            // Ids are never reused, so this is a repeat of the same request; answering it again would give
            // the caller a second answer.
            return self.effects.push(Effect::Log(format!("duplicate request ignored: call {}", id.0)));
        }
        if self.calls.open.len() >= MAX_OPEN_CALLS {
            return self.effects.push(Effect::Refuse { origin: request.origin, call: id, hold_off: None });
        }
        let deadline = self.now + offered.remaining;
        let deadline_timer =
            self.timers.schedule(deadline + DEADLINE_GRACE, Timer::RequestDeadline(id.clone()));
        let call = Call {
            origin: request.origin,
            class: offered.class,
            description_hash: hash_text(&request.description),
            set_up: Some(SetUpText {
                called_number: offered.called_number.clone(),
                description: request.description,
            }),
            deadline,
            attempts_made: 0,
            attempt: None,
            is_established: false,
            deadline_timer: Some(deadline_timer),
            attempt_timer: None,
        };
        self.calls.open.insert(id, call);
        self.events.push_back(Event::CallOffered(offered));
        self.process_events();
    }

    /// Handles a caller that abandons its request or hangs up an established call.
    pub fn hang_up(&mut self, now: Duration, id: &CallId, cause: u32) {
        self.advance_clock(now);
        let known = self.calls.open.contains_key(id);
        if !known && self.calls.has_ended(id) {
            return;
        }
        let call = self.end_call(id);
        let attempt = call.as_ref().and_then(|c| c.attempt.clone());
        if attempt.is_some() || !known {
            // For a call from before a restart the exchange is unknown, so the release goes to all of them.
            let exchange = attempt.as_ref().map(|a| a.exchange.clone());
            self.effects.push(Effect::ReleaseAtExchange { exchange, call: id.clone(), cause });
        }
        let Some(call) = call else { return };
        if !call.is_established {
            self.events.push_back(Event::CallAbandoned(id.clone()));
        }
        if let Some(attempt) = attempt {
            self.queue_outcome(id, &attempt, AttemptStatus::Cancelled, None, Vec::new(), true);
        }
        self.process_events();
    }

    /// Handles an exchange's reply for a call.
    pub fn handle_reply(&mut self, now: Duration, exchange: &ExchangeId, id: &CallId, reply: Reply) {
        self.advance_clock(now);
        let call = self.calls.open.get_mut(id);
        let current = call.filter(|c| c.attempt.as_ref().is_some_and(|a| a.exchange == *exchange));
        match (current, reply) {
            (Some(call), Reply::Established(description)) => {
                if call.is_established {
                    return;
                }
                call.set_up = None;
                for timer in [call.deadline_timer.take(), call.attempt_timer.take()].into_iter().flatten() {
                    self.timers.cancel(timer);
                }
                let Some(attempt) = call.attempt.clone() else { return };
                let origin = call.origin;
                self.calls.establish(id);
                self.effects.push(Effect::Answer { origin, call: id.clone(), description });
                let elapsed = self.now.saturating_sub(attempt.sent_at);
                let (call, exchange) = (id.clone(), attempt.exchange);
                self.events.push_back(Event::CallEstablished {
                    call,
                    attempt_number: attempt.number,
                    exchange,
                    elapsed,
                });
            }
            (None, Reply::Established(_)) => {
                // The set-up was abandoned while this answer was in flight, or was sent before this router
                // restarted. The call is released, since its circuits would otherwise stay seized.
                let exchange = Some(exchange.clone());
                self.effects.push(Effect::ReleaseAtExchange {
                    exchange,
                    call: id.clone(),
                    cause: CAUSE_NORMAL_CLEARING,
                });
            }
            (Some(call), Reply::Ended { status, failure_cause, load_report }) => {
                let Some(attempt) = call.attempt.clone() else { return };
                call.attempt_timer.take().into_iter().for_each(|timer| self.timers.cancel(timer));
                let was_established = call.is_established;
                if !was_established {
                    call.attempt = None;
                } else {
                    let origin = Some(call.origin);
                    let cause = if status == AttemptStatus::Ended {
                        CAUSE_NORMAL_CLEARING
                    } else {
                        CAUSE_TEMPORARY_FAILURE
                    };
                    let (call, exchange) = (id.clone(), exchange.clone());
                    self.effects.push(Effect::ReleaseAtClient { origin, call, cause, exchange });
                    self.end_call(id);
                }
                self.queue_outcome(id, &attempt, status, failure_cause, load_report, was_established);
            }
            (None, Reply::Ended { status, load_report, .. }) => {
                self.events.push_back(load_reported(exchange, load_report));
                let known = self.calls.open.contains_key(id) || self.calls.has_ended(id);
                if !known {
                    // The call was established before this router started.
                    self.calls.mark_ended(id, self.now);
                    let cause = if status == AttemptStatus::Ended {
                        CAUSE_NORMAL_CLEARING
                    } else {
                        CAUSE_TEMPORARY_FAILURE
                    };
                    let (call, exchange) = (id.clone(), exchange.clone());
                    self.effects.push(Effect::ReleaseAtClient { origin: None, call, cause, exchange });
                }
            }
        }
        self.process_events();
    }

    /// Handles a load report that an exchange sent without a request.
    pub fn handle_load_report(&mut self, now: Duration, exchange: &ExchangeId, load_report: Vec<f64>) {
        self.advance_clock(now);
        self.events.push_back(load_reported(exchange, load_report));
        self.process_events();
    }

    /// Handles a message from another controller.
    pub fn handle_peer_message(&mut self, now: Duration, from: u32, payload: String) {
        self.advance_clock(now);
        self.events.push_back(Event::PeerMessage { from, payload });
        self.process_events();
    }

    /// Handles the timers that are due, up to `MAX_TIMERS_PER_RUN` of them: [`Core::next_due`] tells whether more
    /// are.
    pub fn run_due_timers(&mut self, now: Duration) {
        self.advance_clock(now);
        for _ in 0..MAX_TIMERS_PER_RUN {
            let Some(due) = self.timers.pop_due(self.now) else { return };
            match due {
                Timer::Controller(token) => {
                    self.controller_timers.remove(&token);
                    self.events.push_back(Event::TimerExpired(token));
                }
                Timer::AttemptTimeout(id, number) => self.time_out_attempt(&id, number),
                Timer::RequestDeadline(id) => self.fail_unanswered(&id),
            }
            self.process_events();
        }
    }

    /// Answers every request that is still unanswered, before the process ends.
    pub fn give_up_all(&mut self, now: Duration) {
        self.advance_clock(now);
        let mut actions = Vec::new();
        self.controller.give_up_all(self.now, &mut actions);
        actions.into_iter().for_each(|action| self.execute(action));
        let open = self.calls.open.iter().filter(|(_, c)| !c.is_established);
        let open: Vec<CallId> = open.map(|(id, _)| id.clone()).collect();
        open.iter().for_each(|id| self.fail_unanswered(id));
        self.process_events();
    }

    /// Abandons an attempt that was not answered in time, if it is still pending.
    fn time_out_attempt(&mut self, id: &CallId, number: u32) {
        let Some(call) = self.calls.open.get_mut(id).filter(|c| !c.is_established) else { return };
        let Some(attempt) = call.attempt.take_if(|a| a.number == number) else { return };
        self.release_attempt(id, &attempt);
        self.queue_outcome(id, &attempt, AttemptStatus::TimedOut, None, Vec::new(), false);
    }

    /// Answers a request as failed if it has no final answer yet, at its deadline or before the process ends.
    /// Rule 1 requires one final answer to every request, even if the controller gives none.
    fn fail_unanswered(&mut self, id: &CallId) {
        if self.calls.open.get(id).is_none_or(|c| c.is_established) {
            return;
        }
        let Some(call) = self.end_call(id) else { return };
        if let Some(attempt) = &call.attempt {
            self.release_attempt(id, attempt);
        }
        self.effects.push(Effect::Fail { origin: call.origin, call: id.clone() });
        self.events.push_back(Event::CallAbandoned(id.clone()));
    }

    /// Removes a call that is over, with its timers, and keeps its id as ended for a while; returns the call.
    fn end_call(&mut self, id: &CallId) -> Option<Call> {
        let mut call = self.calls.end(id, self.now)?;
        for timer in [call.deadline_timer.take(), call.attempt_timer.take()].into_iter().flatten() {
            self.timers.cancel(timer);
        }
        Some(call)
    }

    /// Returns the number of timers that have not expired.
    pub fn pending_timers(&self) -> usize {
        self.timers.len()
    }

    /// Abandons a pending attempt at its exchange.
    fn release_attempt(&mut self, id: &CallId, attempt: &Attempt) {
        let exchange = Some(attempt.exchange.clone());
        self.effects.push(Effect::ReleaseAtExchange {
            exchange,
            call: id.clone(),
            cause: CAUSE_NORMAL_CLEARING,
        });
    }

    /// Queues the event that an attempt has ended; `call_ended` if the call itself has ended.
    fn queue_outcome(
        &mut self,
        id: &CallId,
        attempt: &Attempt,
        status: AttemptStatus,
        failure_cause: Option<FailureCause>,
        load_report: Vec<f64>,
        call_ended: bool,
    ) {
        self.events.push_back(Event::AttemptEnded(Outcome {
            call: id.clone(),
            attempt_number: attempt.number,
            exchange: attempt.exchange.clone(),
            status,
            elapsed: self.now.saturating_sub(attempt.sent_at),
            call_ended,
            failure_cause,
            load_report,
        }));
    }

    /// Carries out an action of the controller.
    fn execute(&mut self, action: Action) {
        match action {
            Action::SendSetUp { call, exchange, give_up_at } => {
                self.send_attempt(&call, exchange, give_up_at)
            }
            Action::Refuse { call, hold_off } => {
                if let Some(Call { origin, .. }) = self.end_unanswered(&call) {
                    self.effects.push(Effect::Refuse { origin, call, hold_off });
                }
            }
            Action::Fail(call) => {
                if let Some(Call { origin, .. }) = self.end_unanswered(&call) {
                    self.effects.push(Effect::Fail { origin, call });
                }
            }
            Action::Cancel { call, attempt_number: number } => {
                let open = self.calls.open.get_mut(&call).filter(|c| !c.is_established);
                let Some(open) = open else { return };
                let Some(attempt) = open.attempt.take_if(|a| a.number == number) else { return };
                open.attempt_timer.take().into_iter().for_each(|timer| self.timers.cancel(timer));
                self.release_attempt(&call, &attempt);
                self.queue_outcome(&call, &attempt, AttemptStatus::Cancelled, None, Vec::new(), false);
            }
            Action::StartTimer { after, token } => {
                let key = self.timers.schedule(self.now + after, Timer::Controller(token));
                self.controller_timers.insert(token, key);
            }
            Action::CancelTimer(token) => {
                if let Some(key) = self.controller_timers.remove(&token) {
                    self.timers.cancel(key);
                }
            }
            Action::Broadcast(text) => self.effects.push(Effect::Broadcast(text)),
            Action::Log(line) => self.effects.push(Effect::Log(line)),
            // The membership is pushed to the router, and exchanges offer no probe.
            Action::Subscribe | Action::Probe(_) => {}
        }
    }

    /// Ends a call that has no final answer yet and abandons its pending attempt.
    ///
    /// Returns `None` if the call is not open or has been answered.
    fn end_unanswered(&mut self, id: &CallId) -> Option<Call> {
        self.calls.open.get(id).filter(|c| !c.is_established)?;
        let call = self.end_call(id)?;
        if let Some(attempt) = &call.attempt {
            self.release_attempt(id, attempt);
        }
        Some(call)
    }

    /// Sends an attempt, limited to the call's deadline. It ends as moot without being sent if the exchange
    /// is no longer listed, another attempt is pending, the call is established or no time is left.
    fn send_attempt(&mut self, id: &CallId, exchange: ExchangeId, give_up_at: Duration) {
        let is_listed = self.exchanges.is_listed(&exchange);
        let Some(call) = self.calls.open.get_mut(id) else { return };
        let give_up_at = if give_up_at.is_zero() { call.deadline } else { give_up_at.min(call.deadline) };
        let attempt = Attempt { exchange: exchange.clone(), number: call.attempts_made, sent_at: self.now };
        call.attempts_made += 1;
        let is_sendable = is_listed && call.attempt.is_none() && give_up_at > self.now;
        let Some(SetUpText { called_number, description }) = call.set_up.clone().filter(|_| is_sendable)
        else {
            return self.queue_outcome(id, &attempt, AttemptStatus::Moot, None, Vec::new(), false);
        };
        let timer = Timer::AttemptTimeout(id.clone(), attempt.number);
        call.attempt_timer = Some(self.timers.schedule(give_up_at, timer));
        call.attempt = Some(attempt);
        self.effects.push(Effect::SendSetUp {
            exchange,
            call: id.clone(),
            class: call.class,
            called_number,
            remaining: give_up_at - self.now,
            description,
        });
    }
}

/// Returns a reply that the attempt or call ended, without cause and load report.
pub fn ended_reply(status: AttemptStatus) -> Reply {
    Reply::Ended { status, failure_cause: None, load_report: Vec::new() }
}

/// Returns the event for a load report that an exchange sent without a request.
fn load_reported(exchange: &ExchangeId, load_report: Vec<f64>) -> Event {
    Event::LoadReported {
        exchange: exchange.clone(),
        probe_answered: true,
        elapsed: Duration::ZERO,
        load_report,
    }
}
