//! The core: requests come in, attempts go out, each request gets one final answer.
//!
//! It hosts the decision module just as the adapter does. It knows no socket and reads no clock: every
//! call brings the time along, and what is to be done is taken as a list of effects.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use super::calls::{Attempt, Call, Calls, Origin};
use super::exchanges::Exchanges;
use super::timers::Timers;
use crate::interface::{
    Action, AttemptStatus, CallId, DirectoryEntry, Event, ExchangeId, FailureCause, OfferedCall, Outcome,
    TimerToken, UpdateKind,
};
use crate::Controller;

/// Normal clearing (Q.850).
pub const CLEARED: u32 = 16;
/// Temporary failure (Q.850): the call was cut.
pub const CUT: u32 = 41;

/// A request, as a front hands it over.
#[derive(Debug, Clone)]
pub struct Request {
    /// Where the answer goes.
    pub origin: Origin,
    /// What the decision module is told.
    pub offer: OfferedCall,
    /// Passed on as it is.
    pub description: Arc<str>,
}

/// What an exchange says of an attempt.
#[derive(Debug, Clone)]
pub enum Reply {
    /// The call stands; with the exchange's description.
    Stands(Arc<str>),
    /// The attempt, or the call that stood, has ended.
    Ended {
        /// How.
        status: AttemptStatus,
        /// Why, where told.
        cause: Option<FailureCause>,
        /// Load report.
        report: Vec<f64>,
    },
}

/// What a front is to do.
#[derive(Debug, Clone)]
pub enum Effect {
    /// Send a set-up.
    Start {
        /// To this exchange.
        exchange: ExchangeId,
        /// The call.
        call: CallId,
        /// Class number.
        class: usize,
        /// Number called.
        number: Arc<str>,
        /// What the attempt has left.
        left: Duration,
        /// Description.
        description: Arc<str>,
    },
    /// Give up a set-up, or release a call, at an exchange.
    Finish {
        /// At this exchange; `None`: wherever it stands.
        exchange: Option<ExchangeId>,
        /// The call.
        call: CallId,
        /// Q.850 cause.
        cause: u32,
    },
    /// Final answer: the call stands.
    Answer {
        /// Where the request came from.
        origin: Origin,
        /// The call.
        call: CallId,
        /// The exchange's description.
        description: Arc<str>,
    },
    /// Final answer: refused, trying again is harmless.
    Refuse {
        /// Where the request came from.
        origin: Origin,
        /// The call.
        call: CallId,
        /// How long to stay away.
        stay_away: Option<Duration>,
    },
    /// Final answer: failed.
    Fail {
        /// Where the request came from.
        origin: Origin,
        /// The call.
        call: CallId,
    },
    /// A call that stood is over; its client is to be told.
    Release {
        /// Where its request came from, if that is known.
        origin: Option<Origin>,
        /// The call.
        call: CallId,
        /// Q.850 cause.
        cause: u32,
    },
    /// A message to all other controllers.
    TellAll(String),
    /// A line for the operators.
    Log(String),
}

#[derive(Debug)]
enum Due {
    Module(TimerToken),
    /// The attempt with this number is to be given up.
    Attempt(CallId, u32),
    /// The caller gives up.
    Deadline(CallId),
}

/// Calls in hand at most; further requests are turned away before they are taken.
const MOST_OPEN: usize = 20_000;

/// The core answers for the module so long after a request's time is up.
///
/// Guards the module's own last word: an attempt that times out at the deadline is its to answer, with
/// advice to stay away, and both were due in the same instant.
const OVERDUE: Duration = Duration::from_millis(10);

/// Requests, attempts and outcomes round one controller.
#[derive(Debug)]
pub struct Core {
    controller: Controller,
    /// Calls in hand.
    pub calls: Calls,
    /// The list.
    pub exchanges: Exchanges,
    timers: Timers<Due>,
    events: VecDeque<Event>,
    effects: Vec<Effect>,
    now: Duration,
}

impl Core {
    /// Puts a controller to work.
    pub fn new(controller: Controller, exchanges: Exchanges, now: Duration) -> Self {
        Self {
            controller,
            calls: Calls::default(),
            exchanges,
            timers: Timers::default(),
            events: VecDeque::new(),
            effects: Vec::new(),
            now,
        }
    }

    /// Takes what is to be done.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// When [`Core::wake`] is due next.
    pub fn next_due(&self) -> Option<Duration> {
        self.timers.next()
    }

    fn at(&mut self, now: Duration) {
        self.now = self.now.max(now);
    }

    /// Hands events to the module until there are no more, and carries out its actions.
    fn run(&mut self) {
        while let Some(event) = self.events.pop_front() {
            let mut actions = Vec::new();
            self.controller.handle(self.now, event, &mut actions);
            actions.into_iter().for_each(|action| self.carry_out(action));
        }
    }

    /// News of the list.
    pub fn directory(&mut self, now: Duration, kind: UpdateKind, entries: Vec<DirectoryEntry>) {
        self.at(now);
        let gone = self.exchanges.apply(kind, &entries);
        self.events.push_back(Event::DirectoryUpdate { kind, entries: Arc::new(entries) });
        self.run();
        // Guards against calls left standing for good: a process that is gone can't release its own. One
        // that has started anew does, on the next connection; what stands there may be new already.
        for exchange in gone {
            self.cut(now, &exchange);
        }
    }

    /// Whether a call stands at an exchange.
    pub fn stands_at(&self, exchange: &ExchangeId) -> bool {
        let at = |c: &Call| c.stands && c.out.as_ref().is_some_and(|a| a.exchange == *exchange);
        self.calls.open.values().any(at)
    }

    /// Every call that stands at an exchange is over without its word: its process has ended.
    pub fn cut(&mut self, now: Duration, exchange: &ExchangeId) {
        let at = |c: &Call| c.stands && c.out.as_ref().is_some_and(|a| a.exchange == *exchange);
        let mut cut: Vec<CallId> =
            self.calls.open.iter().filter(|(_, c)| at(c)).map(|(id, _)| id.clone()).collect();
        cut.sort();
        for id in cut {
            self.reply(now, exchange, &id, ended(AttemptStatus::Reset));
        }
    }

    /// A request: it gets exactly one final answer, or none if its caller goes first.
    pub fn request(&mut self, now: Duration, request: Request) {
        self.at(now);
        let (id, offer) = (request.offer.call.clone(), request.offer);
        if self.calls.open.contains_key(&id) || self.calls.is_over(&id) {
            // Guards against a second answer: an id is never reused, so this is the same request again.
            return self.effects.push(Effect::Log(format!("request {} came twice", id.0)));
        }
        if self.calls.open.len() >= MOST_OPEN {
            return self.effects.push(Effect::Refuse { origin: request.origin, call: id, stay_away: None });
        }
        let deadline = self.now + offer.remaining;
        self.timers.set(deadline + OVERDUE, Due::Deadline(id.clone()));
        let call = Call {
            origin: request.origin,
            class: offer.class,
            number: offer.called_number.clone(),
            description: request.description,
            deadline,
            attempts: 0,
            out: None,
            stands: false,
        };
        self.calls.open.insert(id, call);
        self.events.push_back(Event::CallOffered(offer));
        self.run();
    }

    /// The caller has given a request up, or hangs up a call that stands.
    pub fn hang_up(&mut self, now: Duration, id: &CallId, cause: u32) {
        self.at(now);
        let known = self.calls.open.contains_key(id);
        if !known && self.calls.is_over(id) {
            return;
        }
        let call = self.calls.end(id, self.now);
        let attempt = call.as_ref().and_then(|c| c.out.clone());
        if attempt.is_some() || !known {
            // After a restart it is not known where a call stands: every exchange is told.
            let exchange = attempt.as_ref().map(|a| a.exchange.clone());
            self.effects.push(Effect::Finish { exchange, call: id.clone(), cause });
        }
        let Some(call) = call else { return };
        if !call.stands {
            self.events.push_back(Event::CallAbandoned(id.clone()));
        }
        if let Some(attempt) = attempt {
            self.note_end(id, &attempt, AttemptStatus::Cancelled, None, Vec::new(), true);
        }
        self.run();
    }

    /// What an exchange says of a call.
    pub fn reply(&mut self, now: Duration, exchange: &ExchangeId, id: &CallId, reply: Reply) {
        self.at(now);
        let call = self.calls.open.get_mut(id);
        let current = call.filter(|c| c.out.as_ref().is_some_and(|a| a.exchange == *exchange));
        match (current, reply) {
            (Some(call), Reply::Stands(description)) => {
                if std::mem::replace(&mut call.stands, true) {
                    return;
                }
                let Some(attempt) = call.out.clone() else { return };
                let origin = call.origin;
                self.effects.push(Effect::Answer { origin, call: id.clone(), description });
                let took = self.now.saturating_sub(attempt.at);
                let (call, exchange) = (id.clone(), attempt.exchange);
                self.events.push_back(Event::CallEstablished {
                    call,
                    attempt_number: attempt.seq,
                    exchange,
                    elapsed: took,
                });
            }
            (None, Reply::Stands(_)) => {
                // Guards against circuits held for nobody: the set-up was given up while this answer was
                // on its way, or belongs to an earlier life of this router.
                let exchange = Some(exchange.clone());
                self.effects.push(Effect::Finish { exchange, call: id.clone(), cause: CLEARED });
            }
            (Some(call), Reply::Ended { status, cause, report }) => {
                let Some(attempt) = call.out.take() else { return };
                let stood = call.stands;
                if stood {
                    let origin = Some(call.origin);
                    let cause = if status == AttemptStatus::Ended { CLEARED } else { CUT };
                    self.effects.push(Effect::Release { origin, call: id.clone(), cause });
                    self.calls.end(id, self.now);
                }
                self.note_end(id, &attempt, status, cause, report, stood);
            }
            (None, Reply::Ended { status, report, .. }) => {
                self.events.push_back(sampled(exchange, report));
                let known = self.calls.open.contains_key(id) || self.calls.is_over(id);
                if !known {
                    // It stood before this router's start.
                    self.calls.remember(id, self.now);
                    let cause = if status == AttemptStatus::Ended { CLEARED } else { CUT };
                    self.effects.push(Effect::Release { origin: None, call: id.clone(), cause });
                }
            }
        }
        self.run();
    }

    /// Figures of an exchange that came unasked.
    pub fn report(&mut self, now: Duration, exchange: &ExchangeId, report: Vec<f64>) {
        self.at(now);
        self.events.push_back(sampled(exchange, report));
        self.run();
    }

    /// A message from another controller.
    pub fn peer(&mut self, now: Duration, from: u32, payload: String) {
        self.at(now);
        self.events.push_back(Event::PeerMessage { from, payload });
        self.run();
    }

    /// Does what is due.
    pub fn wake(&mut self, now: Duration) {
        self.at(now);
        while let Some(due) = self.timers.take(self.now) {
            match due {
                Due::Module(token) => self.events.push_back(Event::TimerExpired(token)),
                Due::Attempt(id, seq) => self.time_out(&id, seq),
                Due::Deadline(id) => self.overdue(&id),
            }
            self.run();
        }
    }

    /// Answers whatever is still unanswered, before the program ends.
    pub fn give_up_all(&mut self, now: Duration) {
        self.at(now);
        let mut actions = Vec::new();
        self.controller.give_up_all(self.now, &mut actions);
        actions.into_iter().for_each(|action| self.carry_out(action));
        let open = self.calls.open.iter().filter(|(_, c)| !c.stands);
        let open: Vec<CallId> = open.map(|(id, _)| id.clone()).collect();
        open.iter().for_each(|id| self.overdue(id));
        self.run();
    }

    fn time_out(&mut self, id: &CallId, seq: u32) {
        let Some(call) = self.calls.open.get_mut(id).filter(|c| !c.stands) else { return };
        let Some(attempt) = call.out.take_if(|a| a.seq == seq) else { return };
        self.give_up(id, &attempt);
        self.note_end(id, &attempt, AttemptStatus::TimedOut, None, Vec::new(), false);
    }

    /// Guards rule 1 whatever the module does: a request whose time is up is answered now.
    fn overdue(&mut self, id: &CallId) {
        if self.calls.open.get(id).is_none_or(|c| c.stands) {
            return;
        }
        let Some(call) = self.calls.end(id, self.now) else { return };
        if let Some(attempt) = &call.out {
            self.give_up(id, attempt);
        }
        self.effects.push(Effect::Fail { origin: call.origin, call: id.clone() });
        self.events.push_back(Event::CallAbandoned(id.clone()));
    }

    fn give_up(&mut self, id: &CallId, attempt: &Attempt) {
        let exchange = Some(attempt.exchange.clone());
        self.effects.push(Effect::Finish { exchange, call: id.clone(), cause: CLEARED });
    }

    fn note_end(
        &mut self,
        id: &CallId,
        attempt: &Attempt,
        status: AttemptStatus,
        cause: Option<FailureCause>,
        report: Vec<f64>,
        complete: bool,
    ) {
        self.events.push_back(Event::AttemptEnded(Outcome {
            call: id.clone(),
            attempt_number: attempt.seq,
            exchange: attempt.exchange.clone(),
            status,
            elapsed: self.now.saturating_sub(attempt.at),
            call_ended: complete,
            failure_cause: cause,
            load_report: report,
        }));
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::SendSetUp { call, exchange: to, give_up_at: until } => self.send(&call, to, until),
            Action::Refuse { call, hold_off: stay_away } => {
                if let Some(Call { origin, .. }) = self.answerable(&call) {
                    self.effects.push(Effect::Refuse { origin, call, stay_away });
                }
            }
            Action::Fail(call) => {
                if let Some(Call { origin, .. }) = self.answerable(&call) {
                    self.effects.push(Effect::Fail { origin, call });
                }
            }
            Action::Cancel { call, attempt_number: seq } => {
                let open = self.calls.open.get_mut(&call).filter(|c| !c.stands);
                let Some(attempt) = open.and_then(|c| c.out.take_if(|a| a.seq == seq)) else { return };
                self.give_up(&call, &attempt);
                self.note_end(&call, &attempt, AttemptStatus::Cancelled, None, Vec::new(), false);
            }
            Action::StartTimer { after, token } => self.timers.set(self.now + after, Due::Module(token)),
            Action::Broadcast(text) => self.effects.push(Effect::TellAll(text)),
            Action::Log(line) => self.effects.push(Effect::Log(line)),
            // The list is pushed here, and exchanges are never probed.
            Action::Subscribe | Action::Probe(_) => {}
        }
    }

    /// Ends a call that may be answered; an attempt that is still out is given up.
    fn answerable(&mut self, id: &CallId) -> Option<Call> {
        self.calls.open.get(id).filter(|c| !c.stands)?;
        let call = self.calls.end(id, self.now)?;
        if let Some(attempt) = &call.out {
            self.give_up(id, attempt);
        }
        Some(call)
    }

    fn send(&mut self, id: &CallId, exchange: ExchangeId, until: Duration) {
        let known = self.exchanges.knows(&exchange);
        let Some(call) = self.calls.open.get_mut(id) else { return };
        let until = if until.is_zero() { call.deadline } else { until.min(call.deadline) };
        let attempt = Attempt { exchange: exchange.clone(), seq: call.attempts, at: self.now };
        call.attempts += 1;
        if !known || call.out.is_some() || call.stands || until <= self.now {
            return self.note_end(id, &attempt, AttemptStatus::Moot, None, Vec::new(), false);
        }
        self.timers.set(until, Due::Attempt(id.clone(), attempt.seq));
        call.out = Some(attempt);
        self.effects.push(Effect::Start {
            exchange,
            call: id.clone(),
            class: call.class,
            number: call.number.clone(),
            left: until - self.now,
            description: call.description.clone(),
        });
    }
}

/// An end with nothing more told.
pub fn ended(status: AttemptStatus) -> Reply {
    Reply::Ended { status, cause: None, report: Vec::new() }
}

fn sampled(exchange: &ExchangeId, report: Vec<f64>) -> Event {
    Event::LoadReported {
        exchange: exchange.clone(),
        probe_answered: true,
        elapsed: Duration::ZERO,
        load_report: report,
    }
}
