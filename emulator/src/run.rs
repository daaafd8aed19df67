//! Runs one scenario against a real router process.

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
use crate::coordinator::{Coordinator, ExchangeState};
use crate::exchange::Exchange;
use crate::router::{ConfigFile, RouterProcess};
use crate::scenario::{Component, Scenario, Step};
use crate::sip;

/// Longest time from a start of the router until it passes a health check.
const READY_TIMEOUT: Duration = Duration::from_secs(6);
/// Time that is added to the longest deadline to get the time from SIGTERM to SIGKILL.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// Upper bound of the longest deadline when the time of the SIGKILL is computed.
const MAX_STOP_DEADLINE: Duration = Duration::from_secs(3);
/// Interval at which the process is checked while no command is due.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Most resident memory that the router may hold, in MB.
const MAX_MEMORY_MB: u64 = 192;

/// Result of a run.
#[derive(Debug)]
pub struct Report {
    /// Seed of the run.
    pub seed: u64,
    /// Violations of the rules, oldest first.
    pub violations: Vec<Violation>,
    /// Faults, signals and other events with their times, oldest first.
    pub timeline: Vec<String>,
    /// Traffic counts.
    pub counts: Counts,
    /// Highest resident memory in MB, and highest number of descriptors, of the router.
    pub peak: (u64, usize),
}

/// Command to the task that starts and stops the router.
enum SupervisorCommand {
    Terminate { restart_after: Duration, twice: bool },
    Kill { restart_after: Duration },
    Reload { count: u32, gap: Duration },
    Stop,
}

/// The parts of a run in progress.
struct Run {
    scenario: Rc<Scenario>,
    checker: Rc<RefCell<RuleChecker>>,
    coordinator: Rc<Coordinator>,
    exchanges: Vec<Rc<Exchange>>,
    clients: Rc<Clients>,
    program: PathBuf,
    log_path: PathBuf,
    listen_address: SocketAddr,
    config: RefCell<ConfigFile>,
    peak: RefCell<(u64, usize)>,
}

/// Runs a scenario against a router program and returns the result. The configuration and the log of the run
/// are written to `dir`. Must be called within a `LocalSet`.
///
/// # Errors
/// Returns an error if a socket or a file can't be opened, or the program can't be started.
pub async fn run_scenario(scenario: Scenario, program: &Path, dir: &Path) -> io::Result<Report> {
    let scenario = Rc::new(scenario);
    let seed = scenario.seed;
    let checker = Rc::new(RefCell::new(RuleChecker::new(scenario.rules.clone())));
    let coordinator = Coordinator::new(checker.clone(), &scenario);
    let address = coordinator.open_address().await?;
    let exchanges: Vec<Rc<Exchange>> = (0..scenario.exchange_count)
        .map(|node| Exchange::start(checker.clone(), scenario.clone(), node))
        .collect::<io::Result<_>>()?;
    let listen_address = free_address(&scenario).await?;
    let mut config = ConfigFile::new(dir.join(format!("soak-{seed}.json")), &scenario, listen_address);
    config.set("coordinator", json!(address.to_string()));
    let log_path = dir.join(format!("soak-{seed}.log"));
    let _ = std::fs::remove_file(&log_path);
    let clients = Clients::start(checker.clone(), scenario.clone(), listen_address);
    let run = Rc::new(Run {
        scenario: scenario.clone(),
        checker,
        coordinator,
        exchanges,
        clients,
        program: program.to_owned(),
        log_path,
        listen_address,
        config: RefCell::new(config),
        peak: RefCell::default(),
    });
    let (commands, receiver) = mpsc::unbounded_channel();
    let supervisor = tokio::task::spawn_local(run.clone().supervise(receiver));
    run.clone().run_timeline(&commands).await;
    sleep(scenario.release_time).await;
    run.checker.borrow_mut().finish();
    let _ = commands.send(SupervisorCommand::Stop);
    supervisor.await.map_err(io::Error::other)??;
    Ok(run.report())
}

async fn free_address(scenario: &Scenario) -> io::Result<SocketAddr> {
    TcpListener::bind(scenario.address(Component::Router)).await?.local_addr()
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

    /// Carries out the timeline of the scenario, then stops new requests.
    async fn run_timeline(self: Rc<Self>, commands: &mpsc::UnboundedSender<SupervisorCommand>) {
        let started_at = Instant::now();
        for (at, step) in self.scenario.timeline.clone() {
            sleep_until(started_at + at).await;
            match step {
                Step::Terminate { restart_after, twice } => {
                    let _ = commands.send(SupervisorCommand::Terminate { restart_after, twice });
                }
                Step::Kill { restart_after } => {
                    drop(commands.send(SupervisorCommand::Kill { restart_after }))
                }
                Step::Reload { count, gap } => drop(commands.send(SupervisorCommand::Reload { count, gap })),
                fault => {
                    self.record_event(format!("{fault:?}"));
                    tokio::task::spawn_local(self.clone().apply_fault(fault));
                }
            }
        }
        sleep_until(started_at + self.scenario.active_time).await;
        self.clients.stop_requests();
    }

    /// Applies a fault and, if it has a duration, ends it after that.
    async fn apply_fault(self: Rc<Self>, step: Step) {
        match step {
            Step::DiscoverySilent(length) => return self.coordinator.stop_sending(length).await,
            Step::DiscoveryDown(length) => return self.coordinator.go_down(length).await,
            Step::DiscoveryBreak => return self.coordinator.break_next_frame(),
            Step::Crowd(connections) => return self.clients.open_idle_connections(connections).await,
            _ => {}
        }
        let (Step::Hang(node, _)
        | Step::Vanish(node, _)
        | Step::Cut(node, _)
        | Step::LateConnects(node, _)
        | Step::EarlyCloses(node, _)
        | Step::ResetConnections(node)
        | Step::Replace { place: node, .. }) = step
        else {
            return;
        };
        let exchange = self.exchanges[node as usize].clone();
        match step {
            Step::LateConnects(_, length) => return exchange.delay_connects(length).await,
            Step::ResetConnections(_) => return exchange.reset_connections(),
            _ if exchange.has_active_fault.replace(true) => return,
            _ => {}
        }
        match step {
            Step::Hang(_, length) => exchange.hang(length).await,
            Step::Cut(_, length) => exchange.cut_network(length).await,
            Step::EarlyCloses(_, length) => exchange.close_early(length).await,
            Step::Vanish(_, length) => {
                let started_ms = exchange.fail_silently(length).await;
                self.publish(&exchange, ExchangeState::Ready, started_ms);
            }
            Step::Replace { drain_for, gone_for, new_id, .. } => {
                self.publish(&exchange, ExchangeState::Draining, 0);
                sleep(drain_for).await;
                exchange.stop_process(false);
                self.publish(&exchange, ExchangeState::Gone, 0);
                sleep(gone_for).await;
                let started_ms = exchange.start_process(new_id);
                self.publish(&exchange, ExchangeState::Ready, started_ms);
            }
            _ => {}
        }
        exchange.has_active_fault.set(false);
    }

    fn publish(&self, exchange: &Exchange, state: ExchangeState, started_ms: u64) {
        self.coordinator.publish(exchange.id(), exchange.node, exchange.address, state, started_ms);
    }

    // ---- the router process -----------------------------------------------------------------------

    /// Returns the membership for the `known` key of a start: every exchange that is not gone.
    fn initial_membership(&self) -> Value {
        let mut hosts = Vec::new();
        let events = self.coordinator.events.borrow();
        for exchange in &self.exchanges {
            let last = events.iter().rev().find(|e| e.id == exchange.id());
            let state = match last.map(|e| e.state) {
                None | Some(ExchangeState::Ready) => "active",
                Some(ExchangeState::Draining) => "leaving",
                Some(ExchangeState::Gone) => continue,
            };
            let started_ms = last.map_or(0, |e| e.started_ms);
            hosts.push(self.host_entry(exchange.id(), exchange.node, state, exchange.address, started_ms));
        }
        let index = self.coordinator.last_event_number();
        json!({"index": index,
            "updates": [{"index": index, "endpoints": {"seq": 1, "whole": true, "hosts": hosts}}]})
    }

    fn host_entry(&self, id: u32, node: u32, state: &str, address: SocketAddr, started_ms: u64) -> Value {
        json!({"host": format!("s-{id:08x}"), "dial": address.to_string(), "site": "east", "class": "std",
            "block": node, "health": state, "share": 1, "born_ms": started_ms})
    }

    fn start_router(&self) -> io::Result<RouterProcess> {
        let mut config = self.config.borrow_mut();
        let known = self.initial_membership();
        config.set("known", known);
        config.write()?;
        let out_of_service: BTreeSet<u32> = self.coordinator.out_of_service().into_iter().collect();
        self.checker.borrow_mut().on_process_started(out_of_service.into_iter());
        self.record_event("router started");
        RouterProcess::start(&self.program, config.path(), &self.log_path)
    }

    /// Starts and stops the router as the commands request, until the command to stop for good.
    async fn supervise(
        self: Rc<Self>,
        mut commands: mpsc::UnboundedReceiver<SupervisorCommand>,
    ) -> io::Result<()> {
        let mut router = self.start_router()?;
        let mut startup_check = tokio::task::spawn_local(self.clone().check_startup());
        loop {
            let command = match timeout(POLL_INTERVAL, commands.recv()).await {
                Ok(Some(command)) => command,
                Ok(None) => return Ok(()),
                Err(_) => {
                    self.check_process(&mut router);
                    continue;
                }
            };
            match command {
                SupervisorCommand::Reload { count, gap } => {
                    // No reload is asked for until the router has been ready for a second.
                    if startup_check.is_finished() {
                        self.reload(&router, count, gap).await?;
                    }
                    continue;
                }
                SupervisorCommand::Kill { restart_after } => {
                    startup_check.abort();
                    self.record_event("SIGKILL without SIGTERM");
                    self.checker.borrow_mut().on_killed(None);
                    router.signal(Signal::KILL);
                    self.wait_for_exit(&mut router, None).await;
                    sleep(restart_after).await;
                }
                SupervisorCommand::Terminate { restart_after, twice } => {
                    startup_check.abort();
                    self.terminate(&mut router, twice).await;
                    sleep(restart_after).await;
                }
                SupervisorCommand::Stop => {
                    startup_check.abort();
                    self.terminate(&mut router, false).await;
                    return Ok(());
                }
            }
            router = self.start_router()?;
            startup_check = tokio::task::spawn_local(self.clone().check_startup());
        }
    }

    /// Sends SIGTERM, and SIGKILL at the earliest time that the rules allow if the process still runs then.
    async fn terminate(&self, router: &mut RouterProcess, twice: bool) {
        let longest_deadline =
            self.scenario.rules.classes.iter().map(|c| c.deadline).max().unwrap_or_default();
        let terminated_at = Instant::now();
        self.record_event("SIGTERM");
        router.signal(Signal::TERM);
        if twice {
            sleep(Duration::from_millis(40)).await;
            router.signal(Signal::TERM);
        }
        let kill_at = terminated_at + longest_deadline.min(MAX_STOP_DEADLINE) + KILL_MARGIN;
        if !self.wait_for_exit(router, Some(kill_at)).await {
            self.record_event("SIGKILL");
            self.checker.borrow_mut().on_killed(Some(terminated_at));
            router.signal(Signal::KILL);
            self.wait_for_exit(router, None).await;
        }
        let was_killed = router.exit_status().is_some_and(|status| status.code().is_none());
        self.record_event(if was_killed { "router was killed" } else { "router ended" });
    }

    /// Waits until the process has ended. Returns `false` if it still runs at the deadline.
    async fn wait_for_exit(&self, router: &mut RouterProcess, deadline: Option<Instant>) -> bool {
        while deadline.is_none_or(|at| Instant::now() < at) {
            if let Some(status) = router.exit_status() {
                if status.code().is_some_and(|code| code != 0) {
                    self.checker
                        .borrow_mut()
                        .report_violation(Rule::Crash, format!("the router exited with {status}"));
                }
                // Lets the clients see their connections close before the process counts as ended.
                sleep(POLL_INTERVAL).await;
                self.checker.borrow_mut().on_process_ended();
                return true;
            }
            sleep(Duration::from_millis(1)).await;
        }
        false
    }

    /// Reloads the configuration several times, each time with another address of the coordinator.
    async fn reload(&self, router: &RouterProcess, count: u32, gap: Duration) -> io::Result<()> {
        for _ in 0..count {
            let address = self.coordinator.open_address().await?;
            self.config.borrow_mut().set("coordinator", json!(address.to_string()));
            self.config.borrow().write()?;
            self.record_event(format!("SIGHUP, coordinator at {address}"));
            router.signal(Signal::HUP);
            sleep(gap).await;
        }
        Ok(())
    }

    /// Checks that the process still runs, and that it keeps its limits of memory and descriptors.
    fn check_process(&self, router: &mut RouterProcess) {
        let mut checker = self.checker.borrow_mut();
        if let Some(status) = router.exit_status() {
            let is_reported = checker.violations().iter().any(|v| v.rule == Rule::Crash);
            if !is_reported {
                checker.report_violation(Rule::Crash, format!("the router exited on its own with {status}"));
            }
            return;
        }
        let (memory, descriptors) =
            (router.resident_memory_mb().unwrap_or(0), router.open_descriptors().unwrap_or(0));
        let mut peak = self.peak.borrow_mut();
        *peak = (peak.0.max(memory), peak.1.max(descriptors));
        if memory > MAX_MEMORY_MB || descriptors > self.scenario.max_descriptors as usize {
            let text = format!("the router holds {memory} MB of memory and {descriptors} descriptors");
            checker.report_violation(Rule::Limits, text);
        }
    }

    /// Checks that the router passes a health check soon after its start, and ends a second later.
    async fn check_startup(self: Rc<Self>) {
        let ready = async {
            while !self.passes_health_check().await.unwrap_or(false) {
                sleep(Duration::from_millis(20)).await;
            }
        };
        if timeout(READY_TIMEOUT, ready).await.is_err() {
            let text = format!("no OPTIONS request answered with 200 within {READY_TIMEOUT:?} of the start");
            self.checker.borrow_mut().report_violation(Rule::Crash, text);
        }
        self.record_event("router ready");
        // Until this task ends, reloads are skipped.
        sleep(Duration::from_secs(1)).await;
    }

    /// Returns whether the router answers OPTIONS with 200.
    async fn passes_health_check(&self) -> io::Result<bool> {
        let mut stream = TcpStream::connect(self.listen_address).await?;
        stream.write_all(&sip::request("OPTIONS", "ping", "0", "", "")).await?;
        let (mut bytes, mut input) = (Vec::new(), [0; 1024]);
        loop {
            let n = stream.read(&mut input).await?;
            bytes.extend_from_slice(&input[..n]);
            match sip::take_message(&mut bytes) {
                Some(message) => return Ok(message.status() == Some(200)),
                None if n == 0 => return Ok(false),
                None => {}
            }
        }
    }
}
