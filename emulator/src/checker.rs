//! Records the traffic on the sockets call by call and checks it against the rules of the protocol.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::time::Duration;

use tokio::time::Instant;

use crate::scenario::{ClassTerms, Terms};

/// What every limit of the rules on sockets is longer by.
const SLACK: Duration = Duration::from_millis(50);
/// An answer that comes so long after its request's time only earns nothing; later it is lost.
const LATE_ANSWER: Duration = Duration::from_millis(500);
/// A request that crosses the close of its connection within this is sent again.
const CROSSING: Duration = Duration::from_millis(50);
/// What came so long after SIGTERM or later must be answered before the kill.
const LATE_AFTER_SIGTERM: Duration = Duration::from_millis(700);
/// A release is due so long after its exchange sent it.
const RELEASE_DUE: Duration = Duration::from_secs(1);
/// A release is due so long after the call's end if none could be sent.
const UNSENT_RELEASE_DUE: Duration = Duration::from_secs(8);

/// A rule of the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Exactly one final answer to each request that was taken, in time.
    LostRequest,
    /// What is passed on is unchanged, and an answer 200 is what an exchange gave.
    Content,
    /// One attempt out at a time; none after the final answer.
    OneAttempt,
    /// Nothing goes out within the guard time of an attempt that was reset, timed out or cancelled.
    Guard,
    /// What a class forbids is not repeated or refused.
    Repeat,
    /// Nothing new to an exchange that drains or is gone.
    Drain,
    /// A cold exchange is not sent more than it bears.
    SlowStart,
    /// A call that is over is released towards its client.
    Release,
    /// At most four connections to an exchange.
    Connections,
    /// Descriptors and memory.
    Limits,
    /// The process does not crash, and is ready in time.
    Crash,
    /// Clients that break the protocol get a refusal or a close, and never a 200.
    BadClient,
    /// A refusal says how long to stay away.
    HoldOff,
    /// Exchanges are not probed.
    Probe,
}

/// A broken rule: which, when in the run, and what was seen.
#[derive(Debug, Clone)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// Time since the start of the run.
    pub at: Duration,
    /// What was seen.
    pub text: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:8.3} {:?}: {}", self.at.as_secs_f64(), self.rule, self.text)
    }
}

/// What a client asked for.
#[derive(Debug, Clone)]
pub struct Request {
    /// Call id.
    pub call: String,
    /// Number of the class.
    pub class: usize,
    /// Number called.
    pub number: String,
    /// Description.
    pub description: String,
    /// How long the client waits.
    pub wait: Duration,
    /// Place called.
    pub dest: u32,
}

/// A set-up as it leaves the router.
#[derive(Debug, Clone)]
pub struct SetUp {
    /// Call id.
    pub call: String,
    /// Name of the class.
    pub class: String,
    /// Number called.
    pub number: String,
    /// Description.
    pub description: String,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The call stands.
    Answered,
    /// It never ran: full or moot.
    NotRun,
    /// It failed at the exchange.
    Failed,
    /// It was reset, by the exchange or with its connection.
    Reset,
    /// The router gave it up: timed out or cancelled.
    GivenUp,
}

#[derive(Debug)]
struct Attempt {
    exchange: u32,
    route: Route,
    end: Option<(Instant, AttemptEnd)>,
}

/// A connection to an exchange: its place, and the connection's number there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Route {
    /// Place of the exchange.
    pub place: u32,
    /// Number of the connection.
    pub connection: u64,
}

/// How a call that stood came to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Over {
    /// The exchange released it and the router confirmed that at this time.
    Confirmed(Instant),
    /// The exchange released it, or died.
    Unconfirmed,
}

#[derive(Debug)]
struct Call {
    request: Request,
    connection: u64,
    /// When its last byte was written.
    sent_at: Option<Instant>,
    /// The process that took it.
    life: u32,
    withdrawn: bool,
    resent: bool,
    answer: Option<(Instant, u16)>,
    attempts: Vec<Attempt>,
    /// Descriptions that exchanges gave for it.
    descriptions: Vec<String>,
    over: Option<(Instant, Over)>,
    released: bool,
    /// Only the process that set it up knows of it any more.
    is_forgotten: bool,
    excused: bool,
}

impl Call {
    fn is_open(&self) -> bool {
        self.sent_at.is_some() && self.answer.is_none() && !self.withdrawn && !self.excused
    }

    fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|a| !matches!(a.end, Some((_, AttemptEnd::NotRun))))
    }
}

/// A process that was killed, and when it had been told to stop.
#[derive(Debug, Clone, Copy)]
struct Kill {
    terminated_at: Option<Instant>,
}

impl Kill {
    fn excuses(self, sent: Instant) -> bool {
        self.terminated_at.is_none_or(|term| sent <= term + LATE_AFTER_SIGTERM)
    }
}

/// Counts of what has passed, for the report.
#[derive(Debug, Default, Clone)]
pub struct Counts {
    /// Requests written.
    pub requests: u64,
    /// Final answers by status.
    pub answers: BTreeMap<u16, u64>,
    /// Attempts that reached an exchange.
    pub attempts: u64,
    /// Calls that stood and were released.
    pub releases: u64,
    /// Requests that crossed a close and were sent again.
    pub resent: u64,
    /// Answers that came after their client's time, though within the half second that only costs worth.
    pub late: u64,
    /// Requests excused, since the process was killed outright or a client left.
    pub excused: u64,
}

/// Records the traffic of one run and the rules that it broke.
#[derive(Debug)]
pub struct RuleChecker {
    start: Instant,
    terms: Terms,
    calls: HashMap<String, Call>,
    /// When an exchange's draining or removal counts as told to the current process.
    told: HashMap<u32, Instant>,
    cold_arrivals: HashMap<u32, Vec<Instant>>,
    life: u32,
    lives_ended: HashMap<u32, Instant>,
    killed: Option<Kill>,
    violations: Vec<Violation>,
    timeline: Vec<String>,
    /// Counts for the report.
    pub counts: Counts,
}

impl RuleChecker {
    /// Returns a checker that has recorded nothing yet.
    pub fn new(terms: Terms) -> Self {
        Self {
            start: Instant::now(),
            terms,
            calls: HashMap::new(),
            told: HashMap::new(),
            cold_arrivals: HashMap::new(),
            life: 0,
            lives_ended: HashMap::new(),
            killed: None,
            violations: Vec::new(),
            timeline: Vec::new(),
            counts: Counts::default(),
        }
    }

    /// Notes a broken rule.
    pub fn violate(&mut self, rule: Rule, text: String) {
        let at = self.start.elapsed();
        self.violations.push(Violation { rule, at, text });
    }

    /// Notes an event for whoever reads the report.
    pub fn note(&mut self, text: impl fmt::Display) {
        self.timeline.push(format!("{:8.3} {text}", self.start.elapsed().as_secs_f64()));
    }

    /// The events noted.
    pub fn timeline(&self) -> &[String] {
        &self.timeline
    }

    /// The broken rules so far.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    fn class(&self, call: &Call) -> ClassTerms {
        self.terms.classes[call.request.class]
    }

    // ---- clients ----------------------------------------------------------------------------------

    /// A client begins to write a request.
    pub fn on_request(&mut self, request: Request, connection: u64) {
        let id = request.call.clone();
        if let Some(call) = self.calls.get_mut(&id) {
            (call.connection, call.sent_at, call.resent) = (connection, None, true);
            return;
        }
        let call = Call {
            request,
            connection,
            sent_at: None,
            life: self.life,
            withdrawn: false,
            resent: false,
            answer: None,
            attempts: Vec::new(),
            descriptions: Vec::new(),
            over: None,
            released: false,
            is_forgotten: false,
            excused: false,
        };
        self.calls.insert(id, call);
    }

    /// The last byte of a request is written: it is taken.
    pub fn on_request_written(&mut self, id: &str) {
        self.counts.requests += 1;
        if let Some(call) = self.calls.get_mut(id) {
            call.sent_at = Some(Instant::now());
            call.life = self.life;
        }
    }

    /// The client gives a request up.
    pub fn on_withdrawn(&mut self, id: &str) {
        if let Some(call) = self.calls.get_mut(id) {
            call.withdrawn = true;
        }
    }

    /// A final answer has arrived; true if the call stands for its client.
    pub fn on_answer(&mut self, id: &str, status: u16, body: &str, hold_off: Option<u64>) -> bool {
        *self.counts.answers.entry(status).or_default() += 1;
        let now = Instant::now();
        let Some(call) = self.calls.get_mut(id) else {
            self.violate(Rule::Content, format!("{id}: an answer {status} to no request"));
            return false;
        };
        let first = call.answer.replace((now, status));
        let (sent, wait, withdrawn) = (call.sent_at.unwrap_or(now), call.request.wait, call.withdrawn);
        let given = call.descriptions.iter().any(|d| d == body);
        let forbidden = call.may_have_run() && matches!(status, 480 | 503);
        let is_safe = self.terms.classes[call.request.class].safe;
        if let Some((_, earlier)) = first {
            self.violate(Rule::LostRequest, format!("{id}: answered {earlier}, then {status}"));
        }
        if status == 200 && !given {
            self.violate(Rule::Content, format!("{id}: 200 with what no exchange gave: {body:?}"));
        }
        if forbidden && !is_safe && !withdrawn {
            self.violate(Rule::Repeat, format!("{id}: {status} though an attempt may have run"));
        }
        if matches!(status, 480 | 503) && hold_off.is_none() && self.terms.hold_off {
            self.violate(Rule::HoldOff, format!("{id}: {status} without X-Hold-Off"));
        }
        if !withdrawn && now > sent + wait + SLACK {
            self.counts.late += 1;
        }
        if !withdrawn && now > sent + wait + LATE_ANSWER + SLACK {
            let late = now - sent - wait;
            self.violate(Rule::LostRequest, format!("{id}: answered {status}, {late:?} after its time"));
        }
        status == 200
    }

    /// The open requests of a connection that has ended. Returns those that are to be sent again since they
    /// crossed the close; the others are lost, unless the client itself closed it or the process was killed.
    pub fn on_client_connection_ended(&mut self, connection: u64, excuse: Option<&str>) -> Vec<Request> {
        let now = Instant::now();
        let mut resend = Vec::new();
        let mut lost = Vec::new();
        for (id, call) in self.calls.iter_mut().filter(|(_, c)| c.connection == connection && c.is_open()) {
            let sent = call.sent_at.unwrap_or(now);
            if excuse.is_some() || self.killed.is_some_and(|kill| kill.excuses(sent)) {
                call.excused = true;
                self.counts.excused += 1;
            } else if now <= sent + CROSSING && !call.resent && call.attempts.is_empty() {
                self.counts.resent += 1;
                resend.push(call.request.clone());
            } else if now < sent + call.request.wait + SLACK {
                call.excused = true;
                lost.push(format!(
                    "{id}: its connection {connection} ended {:?} after it was sent",
                    now - sent
                ));
            }
        }
        lost.into_iter().for_each(|text| self.violate(Rule::LostRequest, text));
        resend
    }

    /// A request could not be sent again, since nothing took its new connection: it was not taken.
    pub fn on_not_taken(&mut self, id: &str) {
        if let Some(call) = self.calls.get_mut(id) {
            call.excused = true;
        }
    }

    /// A release has arrived at a client.
    pub fn on_released(&mut self, id: &str) {
        if let Some(call) = self.calls.get_mut(id) {
            call.released = true;
            self.counts.releases += 1;
        }
    }

    /// The client has hung up: no release is owed to it.
    pub fn on_hung_up(&mut self, id: &str) {
        if let Some(call) = self.calls.get_mut(id) {
            call.released = true;
        }
    }

    // ---- exchanges --------------------------------------------------------------------------------

    /// A whole set-up has come from the router; `begun` is the time of its first byte.
    pub fn on_attempt(&mut self, exchange: u32, route: Route, begun: Instant, set_up: &SetUp) {
        self.counts.attempts += 1;
        let id = &set_up.call;
        if route.place == self.terms.own_place {
            self.violate(Rule::Content, format!("{id}: sent to the router's own exchange"));
        }
        self.check_drain(exchange, begun, id);
        let Some(call) = self.calls.get(id) else {
            return self.violate(Rule::Content, format!("{id}: a set-up that no client sent"));
        };
        let faults = [self.request_faults(call, set_up), self.attempt_faults(call, exchange, begun)];
        faults.into_iter().flatten().for_each(|(rule, text)| self.violate(rule, text));
        if let Some(call) = self.calls.get_mut(id) {
            call.attempts.push(Attempt { exchange, route, end: None });
        }
    }

    fn check_drain(&mut self, exchange: u32, begun: Instant, id: &str) {
        let told = self.told.get(&exchange).filter(|at| begun > **at + self.terms.drain_grace + SLACK);
        if let Some(told) = told {
            let text = format!("{id}: sent to s-{exchange:08x} {:?} after its drain was told", begun - *told);
            self.violate(Rule::Drain, text);
        }
    }

    /// What is wrong with a set-up, going by its client's request.
    fn request_faults(&self, call: &Call, set_up: &SetUp) -> Vec<(Rule, String)> {
        let (id, now, mut faults) = (&set_up.call, Instant::now(), Vec::new());
        let same = set_up.description == call.request.description && set_up.number == call.request.number;
        if !same || set_up.class != self.class(call).name {
            faults.push((Rule::Content, format!("{id}: changed on its way")));
        }
        if let Some((at, status)) = call.answer.filter(|(at, _)| now > *at + SLACK) {
            faults.push((Rule::OneAttempt, format!("{id}: sent {:?} after its answer {status}", now - at)));
        }
        faults
    }

    /// What is wrong with a set-up, going by the attempts before it.
    fn attempt_faults(&self, call: &Call, exchange: u32, begun: Instant) -> Vec<(Rule, String)> {
        let (id, mut faults) = (&call.request.call, Vec::new());
        for attempt in &call.attempts {
            match attempt.end {
                None => {
                    let other = attempt.exchange;
                    let text = format!("{id}: sent to s-{exchange:08x} while out at s-{other:08x}");
                    faults.push((Rule::OneAttempt, text));
                }
                Some((at, AttemptEnd::Reset | AttemptEnd::GivenUp))
                    if begun + SLACK < at + self.terms.guard =>
                {
                    let text = format!("{id}: sent {:?} after an attempt was given up", begun - at);
                    faults.push((Rule::Guard, text));
                }
                Some(_) => {}
            }
        }
        if call.may_have_run() && !self.class(call).safe {
            faults.push((Rule::Repeat, format!("{id}: repeated though an attempt may have run")));
        }
        faults
    }

    /// A set-up reaches an exchange that is still cold, and bears `bearable` set-ups in the window.
    pub fn on_cold_arrival(&mut self, exchange: u32, bearable: f64, window: Duration) {
        let now = Instant::now();
        let arrivals = self.cold_arrivals.entry(exchange).or_default();
        arrivals.retain(|at| now < *at + window);
        arrivals.push(now);
        let allowed = bearable + 3.0 * bearable.sqrt() + 3.0;
        if arrivals.len() as f64 > allowed {
            let text = format!("s-{exchange:08x}: {} set-ups while it bears {bearable:.1}", arrivals.len());
            self.violate(Rule::SlowStart, text);
        }
    }

    /// An attempt has ended.
    pub fn on_attempt_end(&mut self, id: &str, exchange: u32, end: AttemptEnd) {
        let now = Instant::now();
        let Some(call) = self.calls.get_mut(id) else { return };
        let out = call.attempts.iter_mut().find(|a| a.exchange == exchange && a.end.is_none());
        if let Some(attempt) = out {
            attempt.end = Some((now, end));
        }
    }

    /// A connection to an exchange has ended, and with it the attempts that were out on it.
    pub fn on_route_ended(&mut self, route: Route) {
        let now = Instant::now();
        let attempts = self.calls.values_mut().flat_map(|c| c.attempts.iter_mut());
        for attempt in attempts.filter(|a| a.route == route && a.end.is_none()) {
            attempt.end = Some((now, AttemptEnd::Reset));
        }
    }

    /// An exchange gives a description for a call.
    pub fn on_description(&mut self, id: &str, description: &str) {
        if let Some(call) = self.calls.get_mut(id) {
            call.descriptions.push(description.to_owned());
        }
    }

    /// A call that stood at an exchange is over.
    pub fn on_call_over(&mut self, id: &str) {
        let now = Instant::now();
        if let Some(call) = self.calls.get_mut(id) {
            call.over.get_or_insert((now, Over::Unconfirmed));
        }
    }

    /// An exchange died for good with a call that stood there, or whose release it could not send. Nobody else
    /// knows of it if the process that set it up has ended as well.
    pub fn on_call_forgotten(&mut self, id: &str) {
        let now = Instant::now();
        let Some(call) = self.calls.get_mut(id) else { return };
        let is_alive = call.life == self.life && !self.lives_ended.contains_key(&call.life);
        call.over.get_or_insert((now, Over::Unconfirmed));
        call.is_forgotten = true;
        call.released |= !is_alive;
    }

    /// The router confirms a release.
    pub fn on_release_confirmed(&mut self, id: &str) {
        let now = Instant::now();
        if let Some(Call { over: Some((_, over @ Over::Unconfirmed)), .. }) = self.calls.get_mut(id) {
            *over = Over::Confirmed(now);
        }
    }

    // ---- membership and processes -----------------------------------------------------------------

    /// An exchange's draining or removal counts as told from `at` on, or from an earlier time noted before.
    pub fn on_told(&mut self, exchange: u32, at: Instant) {
        let told = self.told.entry(exchange).or_insert(at);
        *told = at.min(*told);
    }

    /// An exchange is listed as ready again.
    pub fn on_listed_ready(&mut self, exchange: u32) {
        self.told.remove(&exchange);
    }

    /// A process starts; what the last one was told does not count for it.
    pub fn on_process_started(&mut self, told: impl Iterator<Item = u32>) {
        self.life += 1;
        self.killed = None;
        let now = Instant::now();
        self.told = told.map(|exchange| (exchange, now)).collect();
    }

    /// The process is killed; after a SIGTERM at the time given, what came within 0.7 s of the signal is not held
    /// against it.
    pub fn on_killed(&mut self, terminated_at: Option<Instant>) {
        self.killed = Some(Kill { terminated_at });
    }

    /// The process has ended; so have the attempts that were out.
    pub fn on_process_ended(&mut self) {
        self.lives_ended.insert(self.life, Instant::now());
        let now = Instant::now();
        for call in self.calls.values_mut() {
            for attempt in call.attempts.iter_mut().filter(|a| a.end.is_none()) {
                attempt.end = Some((now, AttemptEnd::Reset));
            }
            let is_due = call.over.is_some_and(|(at, _)| now >= at + UNSENT_RELEASE_DUE);
            call.released |= call.is_forgotten && !is_due;
        }
    }

    /// Whether the client has given a request up.
    pub fn is_withdrawn(&self, id: &str) -> bool {
        self.calls.get(id).is_some_and(|c| c.withdrawn)
    }

    /// Checks what had to come by the end of the run.
    pub fn finish(&mut self) {
        let now = Instant::now();
        let mut found = Vec::new();
        for (id, call) in &self.calls {
            let Some(sent) = call.sent_at else { continue };
            if call.is_open() && now > sent + call.request.wait + LATE_ANSWER + SLACK {
                found.push((Rule::LostRequest, format!("{id}: never answered, {:?} ago", now - sent)));
            }
            let stood = matches!(call.answer, Some((_, 200)));
            let Some((at, over)) = call.over.filter(|_| stood && !call.released) else { continue };
            let ended_with_process = |at: Instant| {
                self.lives_ended.values().any(|end| at <= *end && *end <= at + RELEASE_DUE + SLACK)
            };
            let due = match over {
                Over::Confirmed(confirmed) if !ended_with_process(confirmed) => confirmed + RELEASE_DUE,
                _ => at + UNSENT_RELEASE_DUE,
            };
            if now > due + SLACK {
                let text = format!("{id}: over for {:?} ({over:?}) and not released", now - at);
                found.push((Rule::Release, text));
            }
        }
        found.sort();
        found.into_iter().for_each(|(rule, text)| self.violate(rule, text));
    }
}
