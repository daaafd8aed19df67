//! Plays one scenario against a real router process.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use rustix::process::Signal;
use serde_json::{json, Value};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{sleep, sleep_until, timeout, Instant};

use crate::checker::{Counts, Rule, RuleChecker, Violation};
use crate::client::Clients;
use crate::coordinator::{Coordinator, State};
use crate::exchange::Exchange;
use crate::router::{ConfigFile, Router};
use crate::scenario::{Party, Scenario, Step};
use crate::sip;

/// A start has to lead to a passed test within this.
const READY_WITHIN: Duration = Duration::from_secs(6);
/// The kill after SIGTERM comes so long after the longest deadline, which counts as 3 s at most.
const KILL_MARGIN: Duration = Duration::from_millis(700);
const LONGEST_WAIT: Duration = Duration::from_secs(3);
/// How often the process is looked at.
const POLL: Duration = Duration::from_millis(10);
/// Memory that a router may hold, MB.
const MEMORY_MB: u64 = 192;

/// What came of a run.
#[derive(Debug)]
pub struct Report {
    /// Its seed.
    pub seed: u64,
    /// Broken rules.
    pub violations: Vec<Violation>,
    /// Faults and signals with their times.
    pub timeline: Vec<String>,
    /// What has passed.
    pub counts: Counts,
    /// Most memory, MB, and most descriptors seen.
    pub peak: (u64, usize),
}

/// A signal for the supervisor.
enum Order {
    Terminate { restart_after: Duration, twice: bool },
    Kill { restart_after: Duration },
    Reload { count: u32, gap: Duration },
    Finish,
}

struct Run {
    scenario: Rc<Scenario>,
    checker: Rc<RefCell<RuleChecker>>,
    coordinator: Rc<Coordinator>,
    exchanges: Vec<Rc<Exchange>>,
    clients: Rc<Clients>,
    program: PathBuf,
    log: PathBuf,
    listen: SocketAddr,
    config: RefCell<ConfigFile>,
    peak: RefCell<(u64, usize)>,
}

/// Plays a scenario; files of the run are put into `dir`. Needs a `LocalSet` around it.
///
/// # Errors
/// When a socket or a file can't be opened, or the program can't be started.
pub async fn play(scenario: Scenario, program: &Path, dir: &Path) -> io::Result<Report> {
    let scenario = Rc::new(scenario);
    let seed = scenario.seed;
    let checker = Rc::new(RefCell::new(RuleChecker::new(scenario.rules.clone())));
    let coordinator = Coordinator::new(checker.clone(), &scenario);
    let address = coordinator.open().await?;
    let exchanges: Vec<Rc<Exchange>> = (0..scenario.exchanges)
        .map(|place| Exchange::start(checker.clone(), scenario.clone(), place))
        .collect::<io::Result<_>>()?;
    let listen = free_address(&scenario).await?;
    let mut config = ConfigFile::new(dir.join(format!("soak-{seed}.json")), &scenario, listen);
    config.set("coordinator", json!(address.to_string()));
    let log = dir.join(format!("soak-{seed}.log"));
    let _ = std::fs::remove_file(&log);
    let clients = Clients::start(checker.clone(), scenario.clone(), listen);
    let run = Rc::new(Run {
        scenario: scenario.clone(),
        checker,
        coordinator,
        exchanges,
        clients,
        program: program.to_owned(),
        log,
        listen,
        config: RefCell::new(config),
        peak: RefCell::default(),
    });
    let (orders, receiver) = mpsc::unbounded_channel();
    let supervisor = tokio::task::spawn_local(run.clone().supervise(receiver));
    run.clone().play_timeline(&orders).await;
    sleep(scenario.tail).await;
    run.checker.borrow_mut().finish();
    let _ = orders.send(Order::Finish);
    supervisor.await.map_err(io::Error::other)??;
    Ok(run.report())
}

async fn free_address(scenario: &Scenario) -> io::Result<SocketAddr> {
    TcpListener::bind(scenario.address(Party::Router)).await?.local_addr()
}

impl Run {
    fn report(&self) -> Report {
        let checker = self.checker.borrow();
        Report {
            seed: self.scenario.seed,
            violations: checker.violations().to_vec(),
            timeline: checker.timeline().to_vec(),
            counts: checker.counts.clone(),
            peak: *self.peak.borrow(),
        }
    }

    fn record_event(&self, text: impl std::fmt::Display) {
        self.checker.borrow_mut().record_event(text);
    }

    async fn play_timeline(self: Rc<Self>, orders: &mpsc::UnboundedSender<Order>) {
        let begun = Instant::now();
        for (at, step) in self.scenario.timeline.clone() {
            sleep_until(begun + at).await;
            match step {
                Step::Terminate { restart_after, twice } => {
                    let _ = orders.send(Order::Terminate { restart_after, twice });
                }
                Step::Kill { restart_after } => drop(orders.send(Order::Kill { restart_after })),
                Step::Reload { count, gap } => drop(orders.send(Order::Reload { count, gap })),
                fault => {
                    self.record_event(format!("{fault:?}"));
                    tokio::task::spawn_local(self.clone().play_fault(fault));
                }
            }
        }
        sleep_until(begun + self.scenario.active).await;
        self.clients.rest();
    }

    async fn play_fault(self: Rc<Self>, step: Step) {
        match step {
            Step::DiscoverySilent(length) => return self.coordinator.fall_silent(length).await,
            Step::DiscoveryDown(length) => return self.coordinator.go_down(length).await,
            Step::DiscoveryBreak => return self.coordinator.break_off(),
            Step::Crowd(connections) => return self.clients.crowd(connections).await,
            _ => {}
        }
        let (Step::Hang(place, _)
        | Step::Vanish(place, _)
        | Step::Cut(place, _)
        | Step::LateConnects(place, _)
        | Step::EarlyCloses(place, _)
        | Step::ResetConnections(place)
        | Step::Replace { place, .. }) = step
        else {
            return;
        };
        let exchange = self.exchanges[place as usize].clone();
        match step {
            Step::LateConnects(_, length) => return exchange.delay_connects(length).await,
            Step::ResetConnections(_) => return exchange.reset_connections(),
            _ if exchange.is_busy.replace(true) => return,
            _ => {}
        }
        match step {
            Step::Hang(_, length) => exchange.hang(length).await,
            Step::Cut(_, length) => exchange.cut(length).await,
            Step::EarlyCloses(_, length) => exchange.close_early(length).await,
            Step::Vanish(_, length) => {
                let born = exchange.vanish(length).await;
                self.publish(&exchange, State::Ready, born);
            }
            Step::Replace { drain_for, gone_for, new_id, .. } => {
                self.publish(&exchange, State::Draining, 0);
                sleep(drain_for).await;
                exchange.die(false);
                self.publish(&exchange, State::Gone, 0);
                sleep(gone_for).await;
                let born = exchange.revive(new_id);
                self.publish(&exchange, State::Ready, born);
            }
            _ => {}
        }
        exchange.is_busy.set(false);
    }

    fn publish(&self, exchange: &Exchange, state: State, born_ms: u64) {
        self.coordinator.publish(exchange.id(), exchange.place, exchange.address, state, born_ms);
    }

    // ---- the process ------------------------------------------------------------------------------

    /// The membership of a start: every exchange that is not gone.
    fn known(&self) -> Value {
        let mut hosts = Vec::new();
        let events = self.coordinator.events.borrow();
        for exchange in &self.exchanges {
            let last = events.iter().rev().find(|e| e.id == exchange.id());
            let state = match last.map(|e| e.state) {
                None | Some(State::Ready) => "active",
                Some(State::Draining) => "leaving",
                Some(State::Gone) => continue,
            };
            let born = last.map_or(0, |e| e.born_ms);
            hosts.push(self.host(exchange.id(), exchange.place, state, exchange.address, born));
        }
        let index = self.coordinator.last();
        json!({"index": index, "updates": [{"index": index, "endpoints": {"seq": 1, "whole": true, "hosts": hosts}}]})
    }

    fn host(&self, id: u32, place: u32, state: &str, address: SocketAddr, born_ms: u64) -> Value {
        json!({"host": format!("s-{id:08x}"), "dial": address.to_string(), "site": "east", "class": "std",
            "block": place, "health": state, "share": 1, "born_ms": born_ms})
    }

    fn start(&self) -> io::Result<Router> {
        let mut config = self.config.borrow_mut();
        let known = self.known();
        config.set("known", known);
        config.write()?;
        let gone: BTreeSet<u32> = self.coordinator.out_of_service().into_iter().collect();
        self.checker.borrow_mut().on_process_started(gone.into_iter());
        self.record_event("router started");
        Router::start(&self.program, config.path(), &self.log)
    }

    async fn supervise(self: Rc<Self>, mut orders: mpsc::UnboundedReceiver<Order>) -> io::Result<()> {
        let mut router = self.start()?;
        let mut ready = tokio::task::spawn_local(self.clone().check_ready());
        loop {
            let order = match timeout(POLL, orders.recv()).await {
                Ok(Some(order)) => order,
                Ok(None) => return Ok(()),
                Err(_) => {
                    self.inspect(&mut router);
                    continue;
                }
            };
            match order {
                Order::Reload { count, gap } => {
                    // Nobody asks for a reload before the router has served for a while.
                    if ready.is_finished() {
                        self.reload(&router, count, gap).await?;
                    }
                    continue;
                }
                Order::Kill { restart_after } => {
                    ready.abort();
                    self.record_event("SIGKILL without warning");
                    self.checker.borrow_mut().on_killed(None);
                    router.signal(Signal::KILL);
                    self.await_end(&mut router, None).await;
                    sleep(restart_after).await;
                }
                Order::Terminate { restart_after, twice } => {
                    ready.abort();
                    self.terminate(&mut router, twice).await;
                    sleep(restart_after).await;
                }
                Order::Finish => {
                    ready.abort();
                    self.terminate(&mut router, false).await;
                    return Ok(());
                }
            }
            router = self.start()?;
            ready = tokio::task::spawn_local(self.clone().check_ready());
        }
    }

    async fn terminate(&self, router: &mut Router, twice: bool) {
        let longest = self.scenario.rules.classes.iter().map(|c| c.deadline).max().unwrap_or_default();
        let term_at = Instant::now();
        self.record_event("SIGTERM");
        router.signal(Signal::TERM);
        if twice {
            sleep(Duration::from_millis(40)).await;
            router.signal(Signal::TERM);
        }
        let kill_at = term_at + longest.min(LONGEST_WAIT) + KILL_MARGIN;
        if !self.await_end(router, Some(kill_at)).await {
            self.record_event("SIGKILL");
            self.checker.borrow_mut().on_killed(Some(term_at));
            router.signal(Signal::KILL);
            self.await_end(router, None).await;
        }
        let killed = router.ended().is_some_and(|status| status.code().is_none());
        self.record_event(if killed { "router was killed" } else { "router ended" });
    }

    /// Waits until the process has ended; false at the time given.
    async fn await_end(&self, router: &mut Router, until: Option<Instant>) -> bool {
        while until.is_none_or(|at| Instant::now() < at) {
            if let Some(status) = router.ended() {
                if status.code().is_some_and(|code| code != 0) {
                    self.checker
                        .borrow_mut()
                        .report_violation(Rule::Crash, format!("the router ended with {status}"));
                }
                // Clients see their connections end before the process counts as ended.
                sleep(POLL).await;
                self.checker.borrow_mut().on_process_ended();
                return true;
            }
            sleep(Duration::from_millis(1)).await;
        }
        false
    }

    async fn reload(&self, router: &Router, count: u32, gap: Duration) -> io::Result<()> {
        for _ in 0..count {
            let address = self.coordinator.open().await?;
            self.config.borrow_mut().set("coordinator", json!(address.to_string()));
            self.config.borrow().write()?;
            self.record_event(format!("SIGHUP, coordinator at {address}"));
            router.signal(Signal::HUP);
            sleep(gap).await;
        }
        Ok(())
    }

    /// Notes an unexpected end, and what the process holds.
    fn inspect(&self, router: &mut Router) {
        let mut checker = self.checker.borrow_mut();
        if let Some(status) = router.ended() {
            let seen = checker.violations().iter().any(|v| v.rule == Rule::Crash);
            if !seen {
                checker.report_violation(Rule::Crash, format!("the router ended by itself with {status}"));
            }
            return;
        }
        let (memory, descriptors) = (router.memory_mb().unwrap_or(0), router.descriptors().unwrap_or(0));
        let mut peak = self.peak.borrow_mut();
        *peak = (peak.0.max(memory), peak.1.max(descriptors));
        if memory > MEMORY_MB || descriptors > self.scenario.sockets as usize {
            let text = format!("{memory} MB and {descriptors} descriptors held");
            checker.report_violation(Rule::Limits, text);
        }
    }

    /// A router has to pass a test soon after its start.
    async fn check_ready(self: Rc<Self>) {
        let ready = async {
            while !self.passes_test().await.unwrap_or(false) {
                sleep(Duration::from_millis(20)).await;
            }
        };
        if timeout(READY_WITHIN, ready).await.is_err() {
            let text = format!("not ready within {READY_WITHIN:?}");
            self.checker.borrow_mut().report_violation(Rule::Crash, text);
        }
        self.record_event("router ready");
        // The first configuration change comes later than its first second.
        sleep(Duration::from_secs(1)).await;
    }

    async fn passes_test(&self) -> io::Result<bool> {
        let mut stream = TcpStream::connect(self.listen).await?;
        stream.write_all(&sip::request("OPTIONS", "ping", "0", "", "")).await?;
        let (mut bytes, mut input) = (Vec::new(), [0; 1024]);
        loop {
            let n = stream.read(&mut input).await?;
            bytes.extend_from_slice(&input[..n]);
            match sip::take(&mut bytes) {
                Some(message) => return Ok(message.status() == Some(200)),
                None if n == 0 => return Ok(false),
                None => {}
            }
        }
    }
}
