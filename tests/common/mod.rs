//! A hand-driven network for tests: events in, actions out, and the five rules checked on the way.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use quartzspindle::interface::*;
use quartzspindle::Controller;

pub const GUARD: Duration = Duration::from_millis(300);

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn class(worth: f64, effect: Idempotency) -> Class {
    Class {
        target_delay: ms(1200),
        deadline: ms(9000),
        value: worth,
        late_value_share: 0.1,
        idempotency: effect,
        circuits: 1,
        mean_holding_time: ms(10_000),
        pools: Vec::new(),
    }
}

pub fn settings(fleet: u32) -> Settings {
    Settings {
        classes: vec![
            class(1.0, Idempotency::Safe),
            class(5.0, Idempotency::Safe),
            class(1.0, Idempotency::Unsafe),
        ],
        tenants: Vec::new(),
        over_quota_value_share: 0.2,
        fleet_size: fleet,
        controller_number: 0,
        topology: Topology::Meshed(NodeNumber(0)),
        guard_time: GUARD,
        resend_interval: ms(500),
        rules: RuleSettings {
            drain_grace: ms(1000),
            cold_capacity_share: 0.3,
            warm_up_time: ms(13_000),
            overload_multiple: 4.0,
            overload_window: ms(2000),
            max_poll_interval: ms(10_000),
        },
        limits: PolicyLimits { max_attempts: 5, cancel_allowed: true, ..PolicyLimits::default() },
        gauges: vec![Gauge::FreeCircuits, Gauge::TotalCircuits],
        penalties: Penalties::default(),
        directory_polled: false,
        redials_flagged: false,
        has_route_advice: false,
        tick: ms(5),
    }
}

pub fn exchange(place: u32) -> ExchangeId {
    ExchangeId(format!("10.0.0.{place}:5000").into())
}

pub fn entry(place: u32, health: Health, up_since: Option<Duration>) -> DirectoryEntry {
    DirectoryEntry { exchange: exchange(place), node: NodeNumber(place), zone: 0, health, up_since }
}

struct Open {
    deadline: Duration,
    out: Option<u32>,
    attempts: u32,
    guard: Duration,
}

/// Drives one controller and fails the test when an action breaks a rule.
pub struct Net {
    pub controller: Controller,
    pub now: Duration,
    pub log: Vec<Action>,
    /// Sends not yet answered: call, attempt, machine, time sent, time to give up.
    pub sent: Vec<(CallId, u32, ExchangeId, Duration, Duration)>,
    pub answered: BTreeMap<CallId, bool>,
    pub health: BTreeMap<ExchangeId, Health>,
    timers: Vec<(Duration, TimerToken)>,
    open: BTreeMap<CallId, Open>,
    calls: u32,
    /// The centre's advice that comes with each call.
    pub advice: Option<NodeNumber>,
    guard: Duration,
    /// Circuits come back as set-ups stand or fail; until a test tells free circuits itself.
    plenty: bool,
}

impl Net {
    pub fn new(settings: Settings, seed: u64) -> Self {
        let (fleet, guard) = (settings.fleet_size, settings.guard_time);
        let now = Duration::from_secs(1000);
        let mut net = Self {
            controller: Controller::new(settings, seed, now).unwrap(),
            now,
            log: Vec::new(),
            sent: Vec::new(),
            answered: BTreeMap::new(),
            health: BTreeMap::new(),
            timers: Vec::new(),
            open: BTreeMap::new(),
            calls: 0,
            advice: None,
            guard,
            plenty: true,
        };
        net.list(UpdateKind::Stored, (0..fleet).map(|p| entry(p, Health::Live, None)).collect());
        net.refill();
        net
    }

    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.controller.handle(self.now, event, &mut actions);
        for action in &actions {
            self.check(action);
        }
        self.log.extend(actions.iter().cloned());
        actions
    }

    fn check(&mut self, action: &Action) {
        match action {
            Action::SendSetUp { call, exchange: to, give_up_at: until } => {
                assert_eq!(self.health.get(to), Some(&Health::Live), "rule 3: {to:?}");
                let open = self.open.get_mut(call).expect("rule 1: a send after the final answer");
                assert!(open.out.is_none(), "rule 2: two attempts out");
                assert!(self.now >= open.guard, "rule 5: sent within the guard time");
                assert!(self.now < open.deadline, "rule 1: sent after the deadline");
                open.out = Some(open.attempts);
                let until = (*until).min(open.deadline);
                self.sent.push((call.clone(), open.attempts, to.clone(), self.now, until));
                open.attempts += 1;
            }
            Action::Refuse { call, .. } | Action::Fail(call) => {
                let open = self.open.remove(call).expect("rule 1: a second final answer");
                assert!(open.out.is_none(), "rule 1: answered with an attempt out");
                assert!(self.now <= open.deadline + ms(20), "rule 1: answered too late");
                self.answered.insert(call.clone(), false);
            }
            Action::StartTimer { after, token } => self.timers.push((self.now + *after, *token)),
            _ => {}
        }
    }

    pub fn list(&mut self, kind: UpdateKind, entries: Vec<DirectoryEntry>) -> Vec<Action> {
        if kind != UpdateKind::Changes {
            self.health.clear();
        }
        for e in &entries {
            self.health.insert(e.exchange.clone(), e.health);
        }
        self.event(Event::DirectoryUpdate { kind, entries: Arc::new(entries) })
    }

    pub fn list_failed(&mut self) {
        self.event(Event::DirectoryUpdate { kind: UpdateKind::Failed, entries: Arc::default() });
    }

    fn refill(&mut self) {
        for place in 1..self.health.len() as u32 {
            self.free(place, 20.0);
        }
        self.plenty = true;
    }

    pub fn free(&mut self, place: u32, free: f64) {
        self.plenty = false;
        let report = vec![free, 30.0];
        self.event(Event::LoadReported {
            exchange: exchange(place),
            probe_answered: true,
            elapsed: Duration::ZERO,
            load_report: report,
        });
    }

    pub fn offer(&mut self, dest: u32, class: usize) -> CallId {
        self.offer_with(dest, class, ms(2700), false)
    }

    pub fn offer_with(&mut self, dest: u32, class: usize, remaining: Duration, transit: bool) -> CallId {
        let number = format!("dn.{}", (self.calls + 1) % 50);
        self.dial(&number, dest, class, remaining, transit)
    }

    pub fn dial(
        &mut self,
        number: &str,
        dest: u32,
        class: usize,
        remaining: Duration,
        transit: bool,
    ) -> CallId {
        self.calls += 1;
        let call = CallId(format!("call-{}", self.calls).into());
        let deadline = self.now + remaining;
        let open = Open { deadline, out: None, attempts: 0, guard: Duration::ZERO };
        self.open.insert(call.clone(), open);
        let offer = OfferedCall {
            call: call.clone(),
            class,
            tenant: 0,
            called_number: number.into(),
            remaining,
            destination: NodeNumber(dest),
            circuits: None,
            via: self.advice,
            flagged_as_redial: false,
            is_transit: transit,
            is_reconnect: false,
        };
        self.event(Event::CallOffered(offer));
        call
    }

    /// Where the call's attempt that is out went.
    pub fn out(&self, call: &CallId) -> Option<ExchangeId> {
        self.sent.iter().find(|s| s.0 == *call).map(|s| s.2.clone())
    }

    pub fn is_open(&self, call: &CallId) -> bool {
        self.open.contains_key(call)
    }

    pub fn stands(&mut self, call: &CallId) -> Vec<Action> {
        let at = self.sent.iter().position(|s| s.0 == *call).expect("nothing is out");
        let (call, seq, exchange, since, _) = self.sent.remove(at);
        self.open.remove(&call);
        self.answered.insert(call.clone(), true);
        let took = self.now - since;
        let actions =
            self.event(Event::CallEstablished { call, attempt_number: seq, exchange, elapsed: took });
        if self.plenty {
            self.refill();
        }
        actions
    }

    pub fn ends(&mut self, call: &CallId, status: AttemptStatus, cause: Option<FailureCause>) -> Vec<Action> {
        let at = self.sent.iter().position(|s| s.0 == *call).expect("nothing is out");
        let (call, seq, exchange, since, _) = self.sent.remove(at);
        if let Some(open) = self.open.get_mut(&call) {
            open.out = None;
            if matches!(status, AttemptStatus::TimedOut | AttemptStatus::Reset | AttemptStatus::Cancelled) {
                open.guard = self.now + self.guard;
            }
        }
        let took = self.now - since;
        let report = Vec::new();
        let outcome = Outcome {
            call,
            attempt_number: seq,
            exchange,
            status,
            elapsed: took,
            call_ended: false,
            failure_cause: cause,
            load_report: report,
        };
        let actions = self.event(Event::AttemptEnded(outcome));
        if self.plenty {
            self.refill();
        }
        actions
    }

    /// Passes time: timers fire, attempts past their time come back as time-outs.
    pub fn pass(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += ms(5);
            let late: Vec<CallId> =
                self.sent.iter().filter(|s| s.4 <= self.now).map(|s| s.0.clone()).collect();
            for call in late {
                self.ends(&call, AttemptStatus::TimedOut, None);
            }
            let now = self.now;
            let (due, later) = std::mem::take(&mut self.timers).into_iter().partition(|t| t.0 <= now);
            self.timers = later;
            for (_, token) in due {
                self.event(Event::TimerExpired(token));
            }
            let forgotten = self.open.iter().find(|(_, o)| self.now > o.deadline + ms(20));
            assert!(forgotten.is_none(), "rule 1: no answer in time for {:?}", forgotten.map(|f| f.0));
        }
    }
}
