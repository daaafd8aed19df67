//! An emulated booking exchange behind a faulty network.
//!
//! The exchange draws its answers at random. Its network side can be cut off, can delay, close and reset
//! connections, and can write messages in pieces. The checker sees each message on the router's side of the
//! network: when it arrives from the router, or when it is written to the router.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use fastrand::Rng;
use serde_json::{json, Value};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, watch, Notify};
use tokio::time::{sleep, Instant};

use crate::checker::{AttemptOutcome, ExchangeConnection, Rule, RuleChecker, SetUp};
use crate::scenario::{Component, Scenario};

/// Most connections that the protocol allows to one exchange.
const MAX_CONNECTIONS: usize = 4;
/// Time after which connections are counted again when there are too many, since the exchange may notice a
/// closed one later than a new one.
const CLOSE_DETECTION_DELAY: Duration = Duration::from_millis(60);
/// Interval at which tasks check for faults that have begun or ended.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Set-ups per second that an exchange can handle from this router once it has warmed up.
const WARM_CAPACITY_PER_S: f64 = 30.0;
/// Share of its capacity that an exchange has right after its start.
const COLD_CAPACITY_SHARE: f64 = 0.28;
/// Time from the start of an exchange until it has its full capacity, in seconds.
const WARM_UP_S: f64 = 14.0;
/// Multiple of its capacity at which an exchange fails during its slow start (`FallMultiple`).
const OVERLOAD_MULTIPLE: f64 = 2.0;
/// Time for which an exchange sustains that multiple (`FallNs`).
const OVERLOAD_WINDOW: Duration = Duration::from_secs(1);

/// Item in the queue of a connection to the router.
enum Outgoing {
    /// A line, and the change to record once it is written.
    Line(String, CallChange),
    /// Bytes that are not a whole, valid line.
    Raw(Vec<u8>),
    /// Closes the connection.
    Close,
}

/// Change in the state of a call that a line reports to the router.
enum CallChange {
    Unchanged,
    AttemptEnded(String, AttemptOutcome),
}

/// A call as the exchange knows it, from its set-up to its end.
#[derive(Debug, Clone, Copy)]
struct CallState {
    connection: u64,
    is_established: bool,
}

/// An emulated exchange and the network in front of it.
pub struct Exchange {
    weak_self: Weak<Self>,
    checker: Rc<RefCell<RuleChecker>>,
    scenario: Rc<Scenario>,
    rng: RefCell<Rng>,
    /// Node number in the network.
    pub node: u32,
    /// Address that the exchange listens on.
    pub address: SocketAddr,
    id: Cell<u32>,
    started_at: Cell<Option<Instant>>,
    process_number: Cell<u64>,
    is_stopped: Cell<bool>,
    is_hung: Cell<bool>,
    is_network_cut: Cell<bool>,
    is_delaying_connects: Cell<bool>,
    is_closing_early: Cell<bool>,
    /// A fault of this exchange is under way; another one that comes meanwhile is skipped. Late connects and
    /// resets happen all the same and don't count.
    pub has_active_fault: Cell<bool>,
    network_restored: Notify,
    reset_signal: watch::Sender<u64>,
    last_connection: Cell<u64>,
    connections: RefCell<BTreeMap<u64, mpsc::UnboundedSender<Outgoing>>>,
    calls: RefCell<HashMap<String, CallState>>,
    /// Call ids of releases that the router has not confirmed; they are sent again on each new connection.
    unconfirmed_releases: RefCell<Vec<String>>,
}

fn bind_listener(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(1)
}

/// Returns the milliseconds since the Unix epoch.
pub fn unix_time_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

impl Exchange {
    /// Starts an exchange at a node.
    ///
    /// # Errors
    /// Returns the socket's error if the exchange can't listen.
    pub fn start(
        checker: Rc<RefCell<RuleChecker>>,
        scenario: Rc<Scenario>,
        node: u32,
    ) -> io::Result<Rc<Self>> {
        let listener = bind_listener(scenario.address(Component::Exchanges))?;
        let address = listener.local_addr()?;
        let exchange = Rc::new_cyclic(|weak_self| Self {
            weak_self: weak_self.clone(),
            checker,
            rng: RefCell::new(Rng::with_seed(scenario.seed * 1000 + u64::from(node))),
            scenario,
            node,
            address,
            id: Cell::new(0x1000 + node),
            started_at: Cell::new(None),
            process_number: Cell::new(0),
            is_stopped: Cell::new(false),
            is_hung: Cell::new(false),
            is_network_cut: Cell::new(false),
            is_delaying_connects: Cell::new(false),
            is_closing_early: Cell::new(false),
            has_active_fault: Cell::new(false),
            network_restored: Notify::new(),
            reset_signal: watch::Sender::new(0),
            last_connection: Cell::new(0),
            connections: RefCell::default(),
            calls: RefCell::default(),
            unconfirmed_releases: RefCell::default(),
        });
        tokio::task::spawn_local(exchange.clone().accept_connections(listener));
        tokio::task::spawn_local(exchange.clone().report_load());
        Ok(exchange)
    }

    /// Returns the exchange's id in the membership.
    pub fn id(&self) -> u32 {
        self.id.get()
    }

    // ---- faults -----------------------------------------------------------------------------------

    /// Accepts connections and messages but answers nothing for the given time.
    pub async fn hang(&self, length: Duration) {
        self.is_hung.set(true);
        sleep(length).await;
        self.is_hung.set(false);
    }

    /// Waits until the exchange no longer hangs.
    async fn wait_while_hung(&self) {
        while self.is_hung.get() {
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Cuts the network off for the given time. What is sent meanwhile arrives when it is restored.
    pub async fn cut_network(&self, length: Duration) {
        self.is_network_cut.set(true);
        sleep(length).await;
        self.restore_network();
    }

    fn restore_network(&self) {
        self.is_network_cut.set(false);
        self.network_restored.notify_waiters();
    }

    /// Cuts the machine off without closing its connections, and starts a new process that has no calls after
    /// the given time. Returns the start time of that process in Unix milliseconds.
    pub async fn fail_silently(&self, length: Duration) -> u64 {
        self.is_network_cut.set(true);
        sleep(length).await;
        self.stop_process(true);
        self.restore_network();
        self.start_process(false)
    }

    /// Leaves new connections pending for the given time; those still waiting at its end are reset.
    pub async fn delay_connects(&self, length: Duration) {
        self.is_delaying_connects.set(true);
        sleep(length).await;
        self.is_delaying_connects.set(false);
    }

    /// Closes new connections soon after they are accepted, for the given time.
    pub async fn close_early(&self, length: Duration) {
        self.is_closing_early.set(true);
        sleep(length).await;
        self.is_closing_early.set(false);
    }

    /// Resets all connections.
    pub fn reset_connections(&self) {
        self.reset_signal.send_modify(|n| *n += 1);
    }

    /// Ends the process, which resets its connections and ends its calls. If it restarts, the releases of
    /// these calls are sent on the next new connection; otherwise none is sent.
    pub fn stop_process(&self, will_restart: bool) {
        self.is_stopped.set(true);
        self.process_number.set(self.process_number.get() + 1);
        let mut checker = self.checker.borrow_mut();
        for (call_id, state) in self.calls.take() {
            match (state.is_established, will_restart) {
                (false, _) => checker.on_attempt_ended(&call_id, self.id(), AttemptOutcome::Reset),
                (true, false) => checker.on_call_orphaned(&call_id),
                (true, true) => {
                    checker.on_call_ended(&call_id);
                    self.unconfirmed_releases.borrow_mut().push(call_id);
                }
            }
        }
        if !will_restart {
            self.unconfirmed_releases.take().iter().for_each(|call_id| checker.on_call_orphaned(call_id));
        }
        drop(checker);
        self.reset_connections();
    }

    /// Starts a new process under a new id or the same one. Returns its start time in Unix milliseconds.
    pub fn start_process(&self, new_id: bool) -> u64 {
        if new_id {
            self.id.set(self.id.get() + 0x1000);
        }
        self.started_at.set(Some(Instant::now()));
        self.is_stopped.set(false);
        unix_time_ms()
    }

    // ---- the network ------------------------------------------------------------------------------

    /// Accepts connections; while a fault requires it, leaves them pending or stops listening.
    async fn accept_connections(self: Rc<Self>, listener: TcpListener) {
        let mut listener = Some(listener);
        let mut fillers: Vec<TcpStream> = Vec::new();
        let mut was_holding = false;
        loop {
            let is_holding = self.is_network_cut.get() || self.is_delaying_connects.get();
            was_holding |= is_holding;
            let Some(bound_listener) = &listener else {
                if !self.is_stopped.get() {
                    listener = bind_listener(self.address).ok();
                }
                sleep(POLL_INTERVAL).await;
                continue;
            };
            if self.is_stopped.get() {
                (listener, fillers) = (None, Vec::new());
            } else if is_holding {
                self.fill_backlog(&mut fillers).await;
            } else if let Ok(Ok((stream, peer))) =
                tokio::time::timeout(POLL_INTERVAL, bound_listener.accept()).await
            {
                // Connections of the router that waited in the backlog while none was accepted are reset.
                let is_filler = fillers.iter().any(|f| f.local_addr().is_ok_and(|a| a == peer));
                if was_holding && !is_filler {
                    let _ = stream.set_zero_linger();
                } else if !is_filler && !self.is_stopped.get() {
                    self.clone().start_connection(stream);
                }
            } else {
                (fillers, was_holding) = (Vec::new(), false);
            }
        }
    }

    /// Keeps the listener's backlog full, so that connection attempts of the router neither succeed nor fail.
    async fn fill_backlog(&self, fillers: &mut Vec<TcpStream>) {
        match tokio::time::timeout(POLL_INTERVAL, TcpStream::connect(self.address)).await {
            Ok(Ok(stream)) if fillers.len() < 8 => fillers.push(stream),
            _ => sleep(POLL_INTERVAL).await,
        }
    }

    fn start_connection(self: Rc<Self>, stream: TcpStream) {
        let number = self.last_connection.get() + 1;
        self.last_connection.set(number);
        let (sender, receiver) = mpsc::unbounded_channel();
        let _ = sender.send(Outgoing::Line(self.load_line(), CallChange::Unchanged));
        for call_id in self.unconfirmed_releases.borrow().iter() {
            let _ = sender.send(Outgoing::Line(release_line(call_id), CallChange::Unchanged));
        }
        self.connections.borrow_mut().insert(number, sender);
        if self.is_closing_early.get() {
            let exchange = self.clone();
            let open_time = Duration::from_millis(self.rng.borrow_mut().u64(0..120));
            tokio::task::spawn_local(async move {
                sleep(open_time).await;
                exchange.send(number, Outgoing::Close);
            });
        }
        tokio::task::spawn_local(self.clone().check_connection_count());
        tokio::task::spawn_local(self.run_connection(stream, number, receiver));
    }

    /// Reports a violation if the router keeps too many connections open.
    async fn check_connection_count(self: Rc<Self>) {
        if self.connections.borrow().len() <= MAX_CONNECTIONS {
            return;
        }
        sleep(CLOSE_DETECTION_DELAY).await;
        let count = self.connections.borrow().len();
        if count > MAX_CONNECTIONS {
            let text = format!("{count} connections to the exchange at node {}", self.node);
            self.checker.borrow_mut().report_violation(Rule::Connections, text);
        }
    }

    async fn run_connection(
        self: Rc<Self>,
        stream: TcpStream,
        number: u64,
        receiver: mpsc::UnboundedReceiver<Outgoing>,
    ) {
        let _ = stream.set_nodelay(true);
        let mut reset_signal = self.reset_signal.subscribe();
        let (mut reader, mut writer) = stream.into_split();
        let is_reset = tokio::select! {
            () = self.read_lines(&mut reader, number) => false,
            () = self.write_lines(&mut writer, receiver) => false,
            _ = reset_signal.changed() => true,
        };
        if is_reset {
            let _ = writer.as_ref().set_zero_linger();
            writer.forget();
        }
        drop(reader);
        self.connections.borrow_mut().remove(&number);
        // A close ends the set-ups that are open on the connection; established calls go on.
        self.calls.borrow_mut().retain(|_, s| s.connection != number || s.is_established);
        self.checker.borrow_mut().on_exchange_connection_closed(self.connection_id(number));
    }

    fn connection_id(&self, number: u64) -> ExchangeConnection {
        ExchangeConnection { node: self.node, number }
    }

    /// Reads the messages of the router. While the network is cut off, they are held back.
    async fn read_lines(&self, reader: &mut OwnedReadHalf, number: u64) {
        let (mut bytes, mut input) = (Vec::new(), vec![0; 8192]);
        let mut held_messages: Vec<Value> = Vec::new();
        let mut first_byte_at = Instant::now();
        loop {
            let read = tokio::select! {
                read = reader.read(&mut input) => read,
                () = self.network_restored.notified() => {
                    held_messages.drain(..).for_each(|message| self.handle_message(&message, number));
                    continue;
                }
            };
            let Ok(n @ 1..) = read else { return };
            if bytes.is_empty() {
                first_byte_at = Instant::now();
            }
            bytes.extend_from_slice(&input[..n]);
            while let Some(end) = bytes.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = bytes.drain(..=end).collect();
                let Ok(message) = serde_json::from_slice::<Value>(&line) else {
                    self.checker
                        .borrow_mut()
                        .report_violation(Rule::Content, format!("line is not JSON: {line:?}"));
                    continue;
                };
                self.check_message(&message, first_byte_at, number);
                if self.is_network_cut.get() {
                    held_messages.push(message);
                } else {
                    self.handle_message(&message, number);
                }
                first_byte_at = Instant::now();
            }
        }
    }

    /// Passes a message from the router on to the checker.
    fn check_message(&self, message: &Value, first_byte_at: Instant, number: u64) {
        let text = |v: &Value| v.as_str().unwrap_or_default().to_owned();
        let (call_id, opts) = (text(&message["tag"]), &message["opts"]);
        let mut checker = self.checker.borrow_mut();
        match message["verb"].as_str().unwrap_or_default() {
            "START" => {
                let set_up = SetUp {
                    call_id,
                    class_name: text(&opts["class"]),
                    called_number: text(&opts["key"]),
                    description: text(&message["blob"]),
                };
                checker.on_attempt(self.id(), self.connection_id(number), first_byte_at, &set_up);
                if let Some(started_at) =
                    self.started_at.get().filter(|at| at.elapsed().as_secs_f64() < WARM_UP_S)
                {
                    let capacity_share = COLD_CAPACITY_SHARE
                        + (1.0 - COLD_CAPACITY_SHARE) * started_at.elapsed().as_secs_f64() / WARM_UP_S;
                    checker.on_slow_start_set_up(
                        self.id(),
                        OVERLOAD_MULTIPLE * WARM_CAPACITY_PER_S * capacity_share,
                        OVERLOAD_WINDOW,
                    );
                }
            }
            "FINISH" => checker.on_attempt_ended(&call_id, self.id(), AttemptOutcome::Abandoned),
            "FINISHED" => checker.on_release_confirmed(&call_id),
            "ECHO" => checker
                .report_violation(Rule::Probe, format!("the exchange at node {} was probed", self.node)),
            _ => {}
        }
    }

    /// Writes queued items until the exchange closes the connection.
    async fn write_lines(
        &self,
        writer: &mut OwnedWriteHalf,
        mut receiver: mpsc::UnboundedReceiver<Outgoing>,
    ) {
        while let Some(outgoing) = receiver.recv().await {
            while self.is_network_cut.get() {
                sleep(POLL_INTERVAL).await;
            }
            let (bytes, change) = match outgoing {
                Outgoing::Line(line, change) => (format!("{line}\n").into_bytes(), change),
                Outgoing::Raw(bytes) => (bytes, CallChange::Unchanged),
                Outgoing::Close => return,
            };
            if self.write_in_pieces(writer, &bytes).await.is_err() {
                return;
            }
            if let CallChange::AttemptEnded(call_id, outcome) = change {
                self.checker.borrow_mut().on_attempt_ended(&call_id, self.id(), outcome);
            }
        }
    }

    async fn write_in_pieces(&self, writer: &mut OwnedWriteHalf, bytes: &[u8]) -> io::Result<()> {
        if !self.scenario.has_split_writes || self.rng.borrow_mut().u8(..3) > 0 {
            return writer.write_all(bytes).await;
        }
        let piece = (bytes.len() / 4).max(1);
        for part in bytes.chunks(piece) {
            let pause = self.rng.borrow_mut().u64(0..30);
            sleep(Duration::from_millis(pause)).await;
            writer.write_all(part).await?;
        }
        Ok(())
    }

    // ---- the exchange -----------------------------------------------------------------------------

    fn load_line(&self) -> String {
        json!({"verb": "LOAD", "tag": "", "opts": {"load": "spare:500;total:500;lat_ms:-1"}}).to_string()
    }

    /// Sends load reports on all connections at random intervals.
    async fn report_load(self: Rc<Self>) {
        loop {
            let pause = self.rng.borrow_mut().u64(150..700);
            sleep(Duration::from_millis(pause)).await;
            if !self.is_hung.get() && !self.is_stopped.get() {
                for sender in self.connections.borrow().values() {
                    let _ = sender.send(Outgoing::Line(self.load_line(), CallChange::Unchanged));
                }
            }
        }
    }

    fn handle_message(&self, message: &Value, number: u64) {
        let call_id = message["tag"].as_str().unwrap_or_default().to_owned();
        match message["verb"].as_str().unwrap_or_default() {
            "START" => self.handle_set_up(call_id, number),
            "FINISH" => {
                self.calls.borrow_mut().remove(&call_id);
                self.unconfirmed_releases.borrow_mut().retain(|c| *c != call_id);
                self.send(
                    number,
                    Outgoing::Line(
                        json!({"verb": "FINISHED", "tag": call_id}).to_string(),
                        CallChange::Unchanged,
                    ),
                );
            }
            "FINISHED" => self.unconfirmed_releases.borrow_mut().retain(|c| *c != call_id),
            _ => {}
        }
    }

    fn send(&self, number: u64, outgoing: Outgoing) -> bool {
        self.connections.borrow().get(&number).is_some_and(|sender| sender.send(outgoing).is_ok())
    }

    /// Responds to a set-up after a random delay: up to 4 % of the first class's deadline, or up to 30 % for
    /// one set-up in ten, where the deadline counts as 2 s at most.
    fn handle_set_up(&self, call_id: String, number: u64) {
        self.calls
            .borrow_mut()
            .insert(call_id.clone(), CallState { connection: number, is_established: false });
        let (draw, delay) = {
            let mut rng = self.rng.borrow_mut();
            let longest = self.scenario.rules.classes[0].deadline.min(Duration::from_secs(2));
            let share = if rng.u8(..10) == 0 { 0.3 } else { 0.04 };
            (rng.f64(), longest.mul_f64(share * rng.f64()))
        };
        let Some(exchange) = self.weak_self.upgrade() else { return };
        let process_number = self.process_number.get();
        tokio::task::spawn_local(async move {
            sleep(delay).await;
            exchange.wait_while_hung().await;
            if exchange.process_number.get() == process_number
                && exchange.calls.borrow().get(&call_id).is_some_and(|s| !s.is_established)
            {
                exchange.respond(call_id, number, draw).await;
            }
        });
    }

    /// Responds to a set-up by `draw`, a random number from 0 to 1. Below 0.06 the set-up is refused, fails
    /// or is reset; a share of `faulty_answer_share` above that gets a faulty answer; all others are
    /// answered.
    async fn respond(self: Rc<Self>, call_id: String, number: u64, draw: f64) {
        let finish_line = |rc: u32, note: &str| {
            json!({"verb": "FINISH", "tag": call_id,
                "opts": {"note": note, "load": "spare:400;total:500;lat_ms:3"}, "rc": rc})
            .to_string()
        };
        let refuse = |line: String, outcome: AttemptOutcome| {
            self.calls.borrow_mut().remove(&call_id);
            self.send(number, Outgoing::Line(line, CallChange::AttemptEnded(call_id.clone(), outcome)));
        };
        match draw {
            draw if draw < 0.02 => refuse(finish_line(34, "group_full"), AttemptOutcome::NotRun),
            draw if draw < 0.03 => refuse(finish_line(34, "processor_full"), AttemptOutcome::NotRun),
            draw if draw < 0.04 => refuse(finish_line(17, "user_busy"), AttemptOutcome::Failed),
            draw if draw < 0.05 => refuse(finish_line(47, ""), AttemptOutcome::Failed),
            draw if draw < 0.06 => refuse(finish_line(41, ""), AttemptOutcome::Reset),
            draw if draw < 0.06 + self.scenario.faulty_answer_share => {
                self.send_faulty_answer(call_id, number).await
            }
            _ => self.answer_call(call_id, number),
        }
    }

    /// Answers a call and releases it after a random time.
    fn answer_call(self: Rc<Self>, call_id: String, number: u64) {
        let line = self.started_line(&call_id);
        self.send(
            number,
            Outgoing::Line(line, CallChange::AttemptEnded(call_id.clone(), AttemptOutcome::Answered)),
        );
        if let Some(state) = self.calls.borrow_mut().get_mut(&call_id) {
            state.is_established = true;
        }
        let holding_time = Duration::from_millis(self.rng.borrow_mut().u64(50..2500));
        let process_number = self.process_number.get();
        tokio::task::spawn_local(async move {
            sleep(holding_time).await;
            self.wait_while_hung().await;
            if self.process_number.get() == process_number {
                self.release_call(&call_id);
            }
        });
    }

    fn started_line(&self, call_id: &str) -> String {
        let (nonce, is_long) = {
            let mut rng = self.rng.borrow_mut();
            (rng.u32(..), rng.u8(..20) == 0)
        };
        let filler = if is_long { "m=audio 31000 RTP/AVP 0 8 101\r\n".repeat(300) } else { String::new() };
        let description = format!("{nonce:08x}\r\nc=IN IP4 10.4.7.9\r\n\"ž\\ \u{1}\r\n{filler}");
        self.checker.borrow_mut().on_exchange_description(call_id, &description);
        json!({"verb": "STARTED", "tag": call_id, "opts": {}, "blob": description}).to_string()
    }

    /// Ends an established call and sends its release.
    fn release_call(&self, call_id: &str) {
        let Some(state) = self.calls.borrow_mut().remove(call_id) else { return };
        self.checker.borrow_mut().on_call_ended(call_id);
        self.unconfirmed_releases.borrow_mut().push(call_id.to_owned());
        let line = || Outgoing::Line(release_line(call_id), CallChange::Unchanged);
        if !self.send(state.connection, line()) {
            let newest = self.connections.borrow().keys().next_back().copied();
            if let Some(number) = newest {
                self.send(number, line());
            }
        }
    }

    /// Sends an answer that is malformed, truncated, duplicated or late, or sends none.
    async fn send_faulty_answer(self: Rc<Self>, call_id: String, number: u64) {
        let fault = self.rng.borrow_mut().u8(..9);
        let line = self.started_line(&call_id);
        let first_half = line.as_bytes()[..line.len() / 2].to_vec();
        match fault {
            0 => drop(self.send(number, Outgoing::Raw(b"\x01\x02%&{\n".to_vec()))),
            1 => drop(self.send(number, Outgoing::Raw(first_half))),
            2 => {
                self.send(number, Outgoing::Raw(first_half));
                self.send(number, Outgoing::Close);
            }
            3 => self.reset_connections(),
            4 => {
                self.clone().answer_call(call_id.clone(), number);
                sleep(Duration::from_millis(7)).await;
                self.send(number, Outgoing::Line(line, CallChange::Unchanged));
            }
            5 => {
                let unknown_call =
                    json!({"verb": "STARTED", "tag": "ffffffffffffffff", "opts": {}, "blob": "x"});
                self.send(number, Outgoing::Line(unknown_call.to_string(), CallChange::Unchanged));
                self.answer_call(call_id, number);
            }
            6 => {
                // The answer, and right after it the close of its connection.
                self.clone().answer_call(call_id, number);
                self.send(number, Outgoing::Close);
            }
            7 => {
                sleep(Duration::from_millis(700)).await;
                if self.calls.borrow().get(&call_id).is_some_and(|s| !s.is_established) {
                    self.answer_call(call_id, number);
                }
            }
            _ => {} // no answer at all
        }
    }
}

fn release_line(call_id: &str) -> String {
    json!({"verb": "FINISH", "tag": call_id, "opts": {"load": "spare:500;total:500;lat_ms:3"}, "rc": 16})
        .to_string()
}
