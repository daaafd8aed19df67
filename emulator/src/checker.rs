//! Records the traffic on the sockets call by call and checks it against the rules of the protocol.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::time::Duration;

use tokio::time::Instant;

use crate::scenario::{ClassSettings, RuleSettings};

/// Tolerance added to every time limit that is checked on the sockets.
const TIMING_TOLERANCE: Duration = Duration::from_millis(50);
/// An answer up to this long after a request's deadline only costs the call its value; after that the request
/// counts as lost.
const LATE_ANSWER_LIMIT: Duration = Duration::from_millis(500);
/// A request written at most this long before its connection closed may have crossed the close. It is sent
/// again instead of counting as lost.
const CLOSE_RACE_WINDOW: Duration = Duration::from_millis(50);
/// A request sent more than this after SIGTERM must be answered before the SIGKILL; an earlier one is
/// excused.
const SIGTERM_EXCUSE_WINDOW: Duration = Duration::from_millis(700);
/// Longest time from the router's confirmation of a release to its arrival at the client.
const CONFIRMED_RELEASE_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time from the end of a call to its release at the client if the router has not confirmed the
/// release to the exchange.
const UNCONFIRMED_RELEASE_TIMEOUT: Duration = Duration::from_secs(8);

/// Rule of the protocol that the router has to keep.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each request that was taken gets exactly one final answer in time.
    LostRequest,
    /// Set-ups are passed on unchanged, and a 200 carries a description that an exchange returned.
    Content,
    /// A call has at most one open attempt, and none after its final answer.
    OneAttempt,
    /// No attempt is sent within the guard time after one that was reset, timed out or cancelled.
    Guard,
    /// A call whose class is not safe to repeat is neither repeated nor refused once an attempt may have run.
    Repeat,
    /// No new set-up is sent to an exchange that drains or is gone.
    Drain,
    /// A newly started exchange is not sent more set-ups than it can handle during its slow start.
    SlowStart,
    /// The client is sent a release when its call has ended.
    Release,
    /// The router keeps at most four connections to an exchange.
    Connections,
    /// The process stays within its limits of descriptors and memory.
    Limits,
    /// The process does not crash and is ready soon after its start.
    Crash,
    /// Clients that violate the protocol are refused or disconnected, and never get a 200.
    BadClient,
    /// A refusal tells the client in `X-Hold-Off` how long to wait before it tries again.
    HoldOff,
    /// The router sends no probes to exchanges.
    Probe,
}

/// Violation of a rule that was seen during a run.
#[derive(Debug, Clone)]
pub struct Violation {
    /// Rule that was broken.
    pub rule: Rule,
    /// Time from the start of the run to the violation.
    pub at: Duration,
    /// Details for the report: the call, connection or exchange, and the times or counts seen.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:8.3} {:?}: {}", self.at.as_secs_f64(), self.rule, self.detail)
    }
}

/// Request of a client to set up a call.
#[derive(Debug, Clone)]
pub struct Request {
    /// Value of `Call-ID`.
    pub call_id: String,
    /// Index of the call's class in [`RuleSettings::classes`].
    pub class: usize,
    /// Telephone number that is called.
    pub called_number: String,
    /// Session description, sent as the body.
    pub description: String,
    /// Time that the client waits for the final answer, sent in `X-Ring-Limit`.
    pub ring_limit: Duration,
    /// Node number of the exchange that serves the called number.
    pub destination: u32,
}

/// Set-up that the router sends to an exchange.
#[derive(Debug, Clone)]
pub struct SetUp {
    /// Call id, sent as `tag`.
    pub call_id: String,
    /// Name of the call's class.
    pub class_name: String,
    /// Telephone number that is called, sent as `key`.
    pub called_number: String,
    /// Session description, sent as `blob`.
    pub description: String,
}

/// Outcome of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The exchange answered the call.
    Answered,
    /// The set-up never ran, since the exchange was full or the set-up was moot.
    NotRun,
    /// The attempt ran and failed at the exchange.
    Failed,
    /// The attempt was reset by the exchange, or was open when its connection closed.
    Reset,
    /// The router gave the attempt up after a timeout or a cancellation.
    Abandoned,
}

/// Set-up that reached an exchange.
#[derive(Debug)]
struct Attempt {
    exchange: u32,
    connection: ExchangeConnection,
    outcome: Option<(Instant, AttemptOutcome)>,
}

/// Identifies a connection from the router to an exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExchangeConnection {
    /// Node number of the exchange.
    pub node: u32,
    /// Number of the connection at that exchange.
    pub number: u64,
}

/// Progress of the release of an answered call that has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReleaseState {
    /// The router confirmed the exchange's release at this time.
    Confirmed(Instant),
    /// The exchange released the call or stopped, and the router has confirmed no release.
    Unconfirmed,
}

/// Request of a client, and what has been seen of its call.
#[derive(Debug)]
struct Call {
    request: Request,
    client_connection: u64,
    /// Time when the last byte of the request was written.
    sent_at: Option<Instant>,
    /// Number of the router process that took the request; processes are counted from 1.
    router_process: u32,
    cancelled: bool,
    resent: bool,
    answer: Option<(Instant, u16)>,
    attempts: Vec<Attempt>,
    /// Descriptions that exchanges returned for the call.
    exchange_descriptions: Vec<String>,
    ended: Option<(Instant, ReleaseState)>,
    released: bool,
    /// The exchange is gone, so only the router process that set the call up still has its state.
    is_orphaned: bool,
    /// No answer is owed any more: the client left, the process was killed, nothing accepted the connection,
    /// or the loss has been reported already.
    excused: bool,
}

impl Call {
    /// Returns whether the router owes an answer to the request.
    fn is_open(&self) -> bool {
        self.sent_at.is_some() && self.answer.is_none() && !self.cancelled && !self.excused
    }

    /// Returns whether an attempt of the call may have run at an exchange.
    fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|a| !matches!(a.outcome, Some((_, AttemptOutcome::NotRun))))
    }
}

/// SIGKILL of the router process, with the time of the SIGTERM before it, if there was one.
#[derive(Debug, Clone, Copy)]
struct Kill {
    terminated_at: Option<Instant>,
}

impl Kill {
    /// Returns whether a request sent at this time need not be answered, since the process was killed.
    fn excuses(self, sent_at: Instant) -> bool {
        self.terminated_at.is_none_or(|terminated_at| sent_at <= terminated_at + SIGTERM_EXCUSE_WINDOW)
    }
}

/// Traffic counts for the report.
#[derive(Debug, Default, Clone)]
pub struct Counts {
    /// Number of requests written in full.
    pub requests: u64,
    /// Number of final answers by status.
    pub answers: BTreeMap<u16, u64>,
    /// Number of attempts that reached an exchange.
    pub attempts: u64,
    /// Number of releases that reached a client.
    pub releases: u64,
    /// Number of requests that crossed the close of their connection and were sent again.
    pub resent: u64,
    /// Number of answers that came after the request's deadline, including those that came so late that the
    /// request counts as lost.
    pub late: u64,
    /// Number of open requests that don't count as lost, since the process was killed or the client closed
    /// the connection.
    pub excused: u64,
}

/// Records the traffic of one run and the rules that it broke.
#[derive(Debug)]
pub struct RuleChecker {
    started_at: Instant,
    rules: RuleSettings,
    calls: HashMap<String, Call>,
    /// Time from which the current router process counts as informed that an exchange drains or was removed.
    drain_notified_at: HashMap<u32, Instant>,
    slow_start_set_ups: HashMap<u32, Vec<Instant>>,
    router_process: u32,
    router_process_ends: HashMap<u32, Instant>,
    kill: Option<Kill>,
    violations: Vec<Violation>,
    timeline: Vec<String>,
    /// Traffic counts for the report.
    pub counts: Counts,
}

impl RuleChecker {
    /// Returns a checker that has recorded nothing yet.
    pub fn new(rules: RuleSettings) -> Self {
        Self {
            started_at: Instant::now(),
            rules,
            calls: HashMap::new(),
            drain_notified_at: HashMap::new(),
            slow_start_set_ups: HashMap::new(),
            router_process: 0,
            router_process_ends: HashMap::new(),
            kill: None,
            violations: Vec::new(),
            timeline: Vec::new(),
            counts: Counts::default(),
        }
    }

    /// Records that a rule was broken just now.
    pub fn report_violation(&mut self, rule: Rule, detail: String) {
        let at = self.started_at.elapsed();
        self.violations.push(Violation { rule, at, detail });
    }

    /// Adds an event to the report's timeline, with the time since the start of the run.
    pub fn record_event(&mut self, text: impl fmt::Display) {
        self.timeline.push(format!("{:8.3} {text}", self.started_at.elapsed().as_secs_f64()));
    }

    /// Returns the recorded events, oldest first.
    pub fn timeline(&self) -> &[String] {
        &self.timeline
    }

    /// Returns the violations found so far, oldest first.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    fn class_of(&self, call: &Call) -> ClassSettings {
        self.rules.classes[call.request.class]
    }

    // ---- clients ----------------------------------------------------------------------------------

    /// Records that a client begins to write a request, for the first time or on another connection.
    pub fn on_request_started(&mut self, request: Request, connection: u64) {
        let id = request.call_id.clone();
        if let Some(call) = self.calls.get_mut(&id) {
            (call.client_connection, call.sent_at, call.resent) = (connection, None, true);
            return;
        }
        let call = Call {
            request,
            client_connection: connection,
            sent_at: None,
            router_process: self.router_process,
            cancelled: false,
            resent: false,
            answer: None,
            attempts: Vec::new(),
            exchange_descriptions: Vec::new(),
            ended: None,
            released: false,
            is_orphaned: false,
            excused: false,
        };
        self.calls.insert(id, call);
    }

    /// Records that the last byte of a request was written; from then on the router owes it an answer.
    pub fn on_request_written(&mut self, id: &str) {
        self.counts.requests += 1;
        if let Some(call) = self.calls.get_mut(id) {
            call.sent_at = Some(Instant::now());
            call.router_process = self.router_process;
        }
    }

    /// Records that the client cancels a request.
    pub fn on_cancelled(&mut self, id: &str) {
        if let Some(call) = self.calls.get_mut(id) {
            call.cancelled = true;
        }
    }

    /// Checks a final answer that reached a client. Returns `true` if the call was answered with 200.
    pub fn on_answer(&mut self, id: &str, status: u16, body: &str, hold_off: Option<u64>) -> bool {
        *self.counts.answers.entry(status).or_default() += 1;
        let now = Instant::now();
        let Some(call) = self.calls.get_mut(id) else {
            self.report_violation(Rule::Content, format!("{id}: answer {status} without a request"));
            return false;
        };
        let earlier_answer = call.answer.replace((now, status));
        let (sent_at, ring_limit, cancelled) =
            (call.sent_at.unwrap_or(now), call.request.ring_limit, call.cancelled);
        let is_from_exchange = call.exchange_descriptions.iter().any(|d| d == body);
        let is_forbidden = call.may_have_run() && matches!(status, 480 | 503);
        let is_safe = self.rules.classes[call.request.class].is_safe;
        if let Some((_, earlier)) = earlier_answer {
            self.report_violation(Rule::LostRequest, format!("{id}: answered {earlier} and then {status}"));
        }
        if status == 200 && !is_from_exchange {
            self.report_violation(
                Rule::Content,
                format!("{id}: 200 with a description that no exchange returned: {body:?}"),
            );
        }
        if is_forbidden && !is_safe && !cancelled {
            self.report_violation(Rule::Repeat, format!("{id}: {status} though an attempt may have run"));
        }
        if matches!(status, 480 | 503) && hold_off.is_none() && self.rules.hold_off_required {
            self.report_violation(Rule::HoldOff, format!("{id}: {status} without X-Hold-Off"));
        }
        if !cancelled && now > sent_at + ring_limit + TIMING_TOLERANCE {
            self.counts.late += 1;
        }
        if !cancelled && now > sent_at + ring_limit + LATE_ANSWER_LIMIT + TIMING_TOLERANCE {
            let lateness = now - sent_at - ring_limit;
            self.report_violation(
                Rule::LostRequest,
                format!("{id}: answered {status}, {lateness:?} after its deadline"),
            );
        }
        status == 200
    }

    /// Handles the open requests of a client connection that has closed. Returns those that crossed the close
    /// and are to be sent again; the others count as lost unless the client closed the connection itself
    /// (`excuse`) or the process was killed.
    pub fn on_client_connection_closed(&mut self, connection: u64, excuse: Option<&str>) -> Vec<Request> {
        let now = Instant::now();
        let mut resend = Vec::new();
        let mut lost = Vec::new();
        for (id, call) in
            self.calls.iter_mut().filter(|(_, c)| c.client_connection == connection && c.is_open())
        {
            let sent_at = call.sent_at.unwrap_or(now);
            if excuse.is_some() || self.kill.is_some_and(|kill| kill.excuses(sent_at)) {
                call.excused = true;
                self.counts.excused += 1;
            } else if now <= sent_at + CLOSE_RACE_WINDOW && !call.resent && call.attempts.is_empty() {
                self.counts.resent += 1;
                resend.push(call.request.clone());
            } else if now < sent_at + call.request.ring_limit + TIMING_TOLERANCE {
                call.excused = true;
                lost.push(format!(
                    "{id}: client connection {connection} closed {:?} after the request was sent",
                    now - sent_at
                ));
            }
        }
        lost.into_iter().for_each(|text| self.report_violation(Rule::LostRequest, text));
        resend
    }

    /// Excuses a request that could not be sent, since its new connection was not accepted.
    pub fn on_connect_failed(&mut self, id: &str) {
        if let Some(call) = self.calls.get_mut(id) {
            call.excused = true;
        }
    }

    /// Records that a release reached a client.
    pub fn on_released(&mut self, id: &str) {
        if let Some(call) = self.calls.get_mut(id) {
            call.released = true;
            self.counts.releases += 1;
        }
    }

    /// Records that the client has hung up, so that the router owes it no release.
    pub fn on_hung_up(&mut self, id: &str) {
        if let Some(call) = self.calls.get_mut(id) {
            call.released = true;
        }
    }

    // ---- exchanges --------------------------------------------------------------------------------

    /// Checks a complete set-up from the router; `first_byte_at` is when its first byte arrived.
    pub fn on_attempt(
        &mut self,
        exchange: u32,
        connection: ExchangeConnection,
        first_byte_at: Instant,
        set_up: &SetUp,
    ) {
        self.counts.attempts += 1;
        let id = &set_up.call_id;
        if connection.node == self.rules.own_node {
            self.report_violation(Rule::Content, format!("{id}: attempt sent to the router's own exchange"));
        }
        self.check_drain(exchange, first_byte_at, id);
        let Some(call) = self.calls.get(id) else {
            return self
                .report_violation(Rule::Content, format!("{id}: set-up without a request from a client"));
        };
        let violations =
            [self.request_violations(call, set_up), self.attempt_violations(call, exchange, first_byte_at)];
        violations.into_iter().flatten().for_each(|(rule, detail)| self.report_violation(rule, detail));
        if let Some(call) = self.calls.get_mut(id) {
            call.attempts.push(Attempt { exchange, connection, outcome: None });
        }
    }

    /// Reports a set-up that was sent after the drain grace of its exchange.
    fn check_drain(&mut self, exchange: u32, first_byte_at: Instant, id: &str) {
        let notified_at = self
            .drain_notified_at
            .get(&exchange)
            .filter(|at| first_byte_at > **at + self.rules.drain_grace + TIMING_TOLERANCE);
        if let Some(notified_at) = notified_at {
            let text = format!(
                "{id}: sent to s-{exchange:08x} {:?} after its drain was announced",
                first_byte_at - *notified_at
            );
            self.report_violation(Rule::Drain, text);
        }
    }

    /// Returns the rules that a set-up breaks, compared with the client's request.
    fn request_violations(&self, call: &Call, set_up: &SetUp) -> Vec<(Rule, String)> {
        let (id, now, mut violations) = (&set_up.call_id, Instant::now(), Vec::new());
        let is_unchanged = set_up.description == call.request.description
            && set_up.called_number == call.request.called_number;
        if !is_unchanged || set_up.class_name != self.class_of(call).name {
            violations
                .push((Rule::Content, format!("{id}: number, description or class changed by the router")));
        }
        if let Some((at, status)) = call.answer.filter(|(at, _)| now > *at + TIMING_TOLERANCE) {
            violations.push((
                Rule::OneAttempt,
                format!("{id}: sent {:?} after its final answer {status}", now - at),
            ));
        }
        violations
    }

    /// Returns the rules that a set-up breaks, compared with the earlier attempts of its call.
    fn attempt_violations(&self, call: &Call, exchange: u32, first_byte_at: Instant) -> Vec<(Rule, String)> {
        let (id, mut violations) = (&call.request.call_id, Vec::new());
        for attempt in &call.attempts {
            match attempt.outcome {
                None => {
                    let other = attempt.exchange;
                    let text = format!(
                        "{id}: sent to s-{exchange:08x} while its attempt at s-{other:08x} was still open"
                    );
                    violations.push((Rule::OneAttempt, text));
                }
                Some((at, AttemptOutcome::Reset | AttemptOutcome::Abandoned))
                    if first_byte_at + TIMING_TOLERANCE < at + self.rules.guard_time =>
                {
                    let text = format!(
                        "{id}: sent {:?} after an attempt was reset, timed out or cancelled",
                        first_byte_at - at
                    );
                    violations.push((Rule::Guard, text));
                }
                Some(_) => {}
            }
        }
        if call.may_have_run() && !self.class_of(call).is_safe {
            violations.push((Rule::Repeat, format!("{id}: new attempt though an earlier one may have run")));
        }
        violations
    }

    /// Checks the number of set-ups that reached an exchange during its slow start within the last `window`.
    ///
    /// `capacity` is the number of set-ups that the exchange can handle in that time. Three standard
    /// deviations of a Poisson count, and three more, are allowed on top.
    pub fn on_slow_start_set_up(&mut self, exchange: u32, capacity: f64, window: Duration) {
        let now = Instant::now();
        let set_ups = self.slow_start_set_ups.entry(exchange).or_default();
        set_ups.retain(|at| now < *at + window);
        set_ups.push(now);
        let allowed = capacity + 3.0 * capacity.sqrt() + 3.0;
        if set_ups.len() as f64 > allowed {
            // KNOWN-RED.txt quotes this text.
            let text = format!("s-{exchange:08x}: {} set-ups while it bears {capacity:.1}", set_ups.len());
            self.report_violation(Rule::SlowStart, text);
        }
    }

    /// Records the outcome of the attempt that is open at an exchange.
    pub fn on_attempt_ended(&mut self, id: &str, exchange: u32, outcome: AttemptOutcome) {
        let now = Instant::now();
        let Some(call) = self.calls.get_mut(id) else { return };
        let open_attempt = call.attempts.iter_mut().find(|a| a.exchange == exchange && a.outcome.is_none());
        if let Some(attempt) = open_attempt {
            attempt.outcome = Some((now, outcome));
        }
    }

    /// Records that a connection to an exchange has closed, which resets the attempts that were open on it.
    pub fn on_exchange_connection_closed(&mut self, connection: ExchangeConnection) {
        let now = Instant::now();
        let attempts = self.calls.values_mut().flat_map(|c| c.attempts.iter_mut());
        for attempt in attempts.filter(|a| a.connection == connection && a.outcome.is_none()) {
            attempt.outcome = Some((now, AttemptOutcome::Reset));
        }
    }

    /// Records a description that an exchange returns for a call.
    pub fn on_exchange_description(&mut self, id: &str, description: &str) {
        if let Some(call) = self.calls.get_mut(id) {
            call.exchange_descriptions.push(description.to_owned());
        }
    }

    /// Records that an answered call has ended at its exchange.
    pub fn on_call_ended(&mut self, id: &str) {
        let now = Instant::now();
        if let Some(call) = self.calls.get_mut(id) {
            call.ended.get_or_insert((now, ReleaseState::Unconfirmed));
        }
    }

    /// Records that an exchange has stopped for good with an answered call, or with a release that it had not
    /// delivered. The state of the call is lost, and no release is owed, if the router process that set
    /// it up has ended as well.
    pub fn on_call_orphaned(&mut self, id: &str) {
        let now = Instant::now();
        let Some(call) = self.calls.get_mut(id) else { return };
        let is_alive = call.router_process == self.router_process
            && !self.router_process_ends.contains_key(&call.router_process);
        call.ended.get_or_insert((now, ReleaseState::Unconfirmed));
        call.is_orphaned = true;
        call.released |= !is_alive;
    }

    /// Records that the router confirmed the release of a call to its exchange.
    pub fn on_release_confirmed(&mut self, id: &str) {
        let now = Instant::now();
        if let Some(Call { ended: Some((_, release @ ReleaseState::Unconfirmed)), .. }) =
            self.calls.get_mut(id)
        {
            *release = ReleaseState::Confirmed(now);
        }
    }

    // ---- membership and processes -----------------------------------------------------------------

    /// Records that the router counts as informed of an exchange's draining or removal from `at` on. An
    /// earlier time that was recorded before stays.
    pub fn on_drain_notified(&mut self, exchange: u32, at: Instant) {
        let notified_at = self.drain_notified_at.entry(exchange).or_insert(at);
        *notified_at = at.min(*notified_at);
    }

    /// Records that an exchange is listed as ready again.
    pub fn on_listed_ready(&mut self, exchange: u32) {
        self.drain_notified_at.remove(&exchange);
    }

    /// Records the start of a router process. It counts as informed of the exchanges in `out_of_service`
    /// alone, whatever the process before it knew.
    pub fn on_process_started(&mut self, out_of_service: impl Iterator<Item = u32>) {
        self.router_process += 1;
        self.kill = None;
        let now = Instant::now();
        self.drain_notified_at = out_of_service.map(|exchange| (exchange, now)).collect();
    }

    /// Records a SIGKILL of the router process. After a SIGTERM at `terminated_at`, the only requests that
    /// are excused are those sent within 0.7 s of it or before it.
    pub fn on_killed(&mut self, terminated_at: Option<Instant>) {
        self.kill = Some(Kill { terminated_at });
    }

    /// Records that the router process has ended, which resets all open attempts.
    pub fn on_process_ended(&mut self) {
        self.router_process_ends.insert(self.router_process, Instant::now());
        let now = Instant::now();
        for call in self.calls.values_mut() {
            for attempt in call.attempts.iter_mut().filter(|a| a.outcome.is_none()) {
                attempt.outcome = Some((now, AttemptOutcome::Reset));
            }
            let is_due = call.ended.is_some_and(|(at, _)| now >= at + UNCONFIRMED_RELEASE_TIMEOUT);
            call.released |= call.is_orphaned && !is_due;
        }
    }

    /// Returns whether the client has cancelled a request.
    pub fn is_cancelled(&self, id: &str) -> bool {
        self.calls.get(id).is_some_and(|c| c.cancelled)
    }

    /// Checks at the end of the run for answers and releases that are overdue.
    pub fn finish(&mut self) {
        let now = Instant::now();
        let mut violations = Vec::new();
        for (id, call) in &self.calls {
            let Some(sent_at) = call.sent_at else { continue };
            if call.is_open()
                && now > sent_at + call.request.ring_limit + LATE_ANSWER_LIMIT + TIMING_TOLERANCE
            {
                violations.push((
                    Rule::LostRequest,
                    format!("{id}: no final answer, sent {:?} ago", now - sent_at),
                ));
            }
            let was_answered = matches!(call.answer, Some((_, 200)));
            let Some((at, release)) = call.ended.filter(|_| was_answered && !call.released) else { continue };
            let ended_with_process = |at: Instant| {
                self.router_process_ends
                    .values()
                    .any(|end| at <= *end && *end <= at + CONFIRMED_RELEASE_TIMEOUT + TIMING_TOLERANCE)
            };
            let due = match release {
                ReleaseState::Confirmed(confirmed) if !ended_with_process(confirmed) => {
                    confirmed + CONFIRMED_RELEASE_TIMEOUT
                }
                _ => at + UNCONFIRMED_RELEASE_TIMEOUT,
            };
            if now > due + TIMING_TOLERANCE {
                let text = format!(
                    "{id}: call ended {:?} ago ({release:?}) without a release to its client",
                    now - at
                );
                violations.push((Rule::Release, text));
            }
        }
        violations.sort();
        violations.into_iter().for_each(|(rule, detail)| self.report_violation(rule, detail));
    }
}
