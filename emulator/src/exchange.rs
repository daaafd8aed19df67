//! An emulated booking exchange behind a faulty network: its scripted answers, and the proxy in front of it
//! that cuts, delays, resets and chops what passes.
//!
//! The checker sees each message where it passes the proxy on the router's side.

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
use crate::scenario::{Party, Scenario};

/// The protocol's limit of connections to one exchange.
const MAX_CONNECTIONS: usize = 4;
/// A closed connection may be noticed this much later than a new one.
const CLOSE_NOTICE: Duration = Duration::from_millis(60);
/// How often states that change by time are looked at.
const POLL: Duration = Duration::from_millis(5);
/// Set-ups a second that a warm exchange bears from this router.
const CAPACITY_PER_S: f64 = 30.0;
/// A cold exchange's capacity: at its start, and how long until it is warm, s.
const COLD_FROM: f64 = 0.28;
const COLD_S: f64 = 14.0;

/// What is written towards the router.
enum Out {
    /// A line, and what it tells.
    Line(String, Told),
    /// Bytes that are no whole line.
    Raw(Vec<u8>),
    /// The connection is closed by the exchange.
    Close,
}

/// What a line tells of a call.
enum Told {
    Nothing,
    AttemptEnded(String, AttemptOutcome),
}

#[derive(Debug, Clone, Copy)]
struct CallState {
    connection: u64,
    stands: bool,
}

/// An exchange.
pub struct Exchange {
    me: Weak<Self>,
    checker: Rc<RefCell<RuleChecker>>,
    scenario: Rc<Scenario>,
    rng: RefCell<Rng>,
    /// Its place in the network.
    pub place: u32,
    /// Where it listens.
    pub address: SocketAddr,
    id: Cell<u32>,
    born: Cell<Option<Instant>>,
    process: Cell<u64>,
    is_dead: Cell<bool>,
    is_hung: Cell<bool>,
    is_cut: Cell<bool>,
    holds_connects: Cell<bool>,
    closes_early: Cell<bool>,
    /// A fault is under way; another one is passed over.
    pub is_busy: Cell<bool>,
    mended: Notify,
    resets: watch::Sender<u64>,
    next_connection: Cell<u64>,
    connections: RefCell<BTreeMap<u64, mpsc::UnboundedSender<Out>>>,
    calls: RefCell<HashMap<String, CallState>>,
    /// Releases that the router has not confirmed: they come again on each connection opened.
    unconfirmed: RefCell<Vec<String>>,
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(1)
}

/// Milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

impl Exchange {
    /// Starts an exchange at a place.
    ///
    /// # Errors
    /// What the socket reports.
    pub fn start(
        checker: Rc<RefCell<RuleChecker>>,
        scenario: Rc<Scenario>,
        place: u32,
    ) -> io::Result<Rc<Self>> {
        let listener = listen(scenario.address(Party::Exchanges))?;
        let address = listener.local_addr()?;
        let exchange = Rc::new_cyclic(|me| Self {
            me: me.clone(),
            checker,
            rng: RefCell::new(Rng::with_seed(scenario.seed * 1000 + u64::from(place))),
            scenario,
            place,
            address,
            id: Cell::new(0x1000 + place),
            born: Cell::new(None),
            process: Cell::new(0),
            is_dead: Cell::new(false),
            is_hung: Cell::new(false),
            is_cut: Cell::new(false),
            holds_connects: Cell::new(false),
            closes_early: Cell::new(false),
            is_busy: Cell::new(false),
            mended: Notify::new(),
            resets: watch::Sender::new(0),
            next_connection: Cell::new(0),
            connections: RefCell::default(),
            calls: RefCell::default(),
            unconfirmed: RefCell::default(),
        });
        tokio::task::spawn_local(exchange.clone().accept(listener));
        tokio::task::spawn_local(exchange.clone().tell_state());
        Ok(exchange)
    }

    /// Its id in the membership.
    pub fn id(&self) -> u32 {
        self.id.get()
    }

    // ---- faults -----------------------------------------------------------------------------------

    /// Takes everything and answers nothing for a while.
    pub async fn hang(&self, length: Duration) {
        self.is_hung.set(true);
        sleep(length).await;
        self.is_hung.set(false);
    }

    /// Returns once it does not hang.
    async fn outlast_hang(&self) {
        while self.is_hung.get() {
            sleep(POLL).await;
        }
    }

    /// The network is cut for a while; what was sent meanwhile arrives when it is mended.
    pub async fn cut(&self, length: Duration) {
        self.is_cut.set(true);
        sleep(length).await;
        self.mend();
    }

    fn mend(&self) {
        self.is_cut.set(false);
        self.mended.notify_waiters();
    }

    /// The machine falls silent, and comes back as a new process that knows nothing; returns its start.
    pub async fn vanish(&self, length: Duration) -> u64 {
        self.is_cut.set(true);
        sleep(length).await;
        self.die(true);
        self.mend();
        self.revive(false)
    }

    /// New connections come up late for a while.
    pub async fn delay_connects(&self, length: Duration) {
        self.holds_connects.set(true);
        sleep(length).await;
        self.holds_connects.set(false);
    }

    /// Connections are closed soon after they come up for a while.
    pub async fn close_early(&self, length: Duration) {
        self.closes_early.set(true);
        sleep(length).await;
        self.closes_early.set(false);
    }

    /// Resets all connections.
    pub fn reset_connections(&self) {
        self.resets.send_modify(|n| *n += 1);
    }

    /// The process ends: its connections are reset, its calls are cut. A machine that comes back sends their
    /// releases on the next connection opened; one that is gone for good sends none.
    pub fn die(&self, comes_back: bool) {
        self.is_dead.set(true);
        self.process.set(self.process.get() + 1);
        let mut checker = self.checker.borrow_mut();
        for (call, state) in self.calls.take() {
            match (state.stands, comes_back) {
                (false, _) => checker.on_attempt_ended(&call, self.id(), AttemptOutcome::Reset),
                (true, false) => checker.on_call_orphaned(&call),
                (true, true) => {
                    checker.on_call_ended(&call);
                    self.unconfirmed.borrow_mut().push(call);
                }
            }
        }
        if !comes_back {
            self.unconfirmed.take().iter().for_each(|call| checker.on_call_orphaned(call));
        }
        drop(checker);
        self.reset_connections();
    }

    /// A new process starts, under a new id or the same; returns its start, Unix milliseconds.
    pub fn revive(&self, new_id: bool) -> u64 {
        if new_id {
            self.id.set(self.id.get() + 0x1000);
        }
        self.born.set(Some(Instant::now()));
        self.is_dead.set(false);
        unix_ms()
    }

    // ---- the proxy --------------------------------------------------------------------------------

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        let mut listener = Some(listener);
        let mut fillers: Vec<TcpStream> = Vec::new();
        let mut was_held = false;
        loop {
            let held = self.is_cut.get() || self.holds_connects.get();
            was_held |= held;
            let Some(open) = &listener else {
                if !self.is_dead.get() {
                    listener = listen(self.address).ok();
                }
                sleep(POLL).await;
                continue;
            };
            if self.is_dead.get() {
                (listener, fillers) = (None, Vec::new());
            } else if held {
                self.fill_backlog(&mut fillers).await;
            } else if let Ok(Ok((stream, peer))) = tokio::time::timeout(POLL, open.accept()).await {
                // Whatever got into the backlog while it was held has waited there unseen.
                let is_filler = fillers.iter().any(|f| f.local_addr().is_ok_and(|a| a == peer));
                if was_held && !is_filler {
                    let _ = stream.set_zero_linger();
                } else if !is_filler && !self.is_dead.get() {
                    self.clone().admit(stream);
                }
            } else {
                (fillers, was_held) = (Vec::new(), false);
            }
        }
    }

    /// While nothing is accepted and the backlog is full, connects neither succeed nor fail.
    async fn fill_backlog(&self, fillers: &mut Vec<TcpStream>) {
        match tokio::time::timeout(POLL, TcpStream::connect(self.address)).await {
            Ok(Ok(stream)) if fillers.len() < 8 => fillers.push(stream),
            _ => sleep(POLL).await,
        }
    }

    fn admit(self: Rc<Self>, stream: TcpStream) {
        let number = self.next_connection.get() + 1;
        self.next_connection.set(number);
        let (sender, receiver) = mpsc::unbounded_channel();
        let _ = sender.send(Out::Line(self.state_line(), Told::Nothing));
        for call in self.unconfirmed.borrow().iter() {
            let _ = sender.send(Out::Line(release_line(call), Told::Nothing));
        }
        self.connections.borrow_mut().insert(number, sender);
        if self.closes_early.get() {
            let me = self.clone();
            let life = Duration::from_millis(self.rng.borrow_mut().u64(0..120));
            tokio::task::spawn_local(async move {
                sleep(life).await;
                me.send(number, Out::Close);
            });
        }
        tokio::task::spawn_local(self.clone().check_connections());
        tokio::task::spawn_local(self.run(stream, number, receiver));
    }

    async fn check_connections(self: Rc<Self>) {
        if self.connections.borrow().len() <= MAX_CONNECTIONS {
            return;
        }
        sleep(CLOSE_NOTICE).await;
        let open = self.connections.borrow().len();
        if open > MAX_CONNECTIONS {
            let text = format!("{open} connections to the exchange at place {}", self.place);
            self.checker.borrow_mut().report_violation(Rule::Connections, text);
        }
    }

    async fn run(self: Rc<Self>, stream: TcpStream, number: u64, receiver: mpsc::UnboundedReceiver<Out>) {
        let _ = stream.set_nodelay(true);
        let mut resets = self.resets.subscribe();
        let (mut reader, mut writer) = stream.into_split();
        let is_reset = tokio::select! {
            () = self.read(&mut reader, number) => false,
            () = self.write(&mut writer, receiver) => false,
            _ = resets.changed() => true,
        };
        if is_reset {
            let _ = writer.as_ref().set_zero_linger();
            writer.forget();
        }
        drop(reader);
        self.connections.borrow_mut().remove(&number);
        // A closed connection gives up the set-ups open on it; calls that stand go on.
        self.calls.borrow_mut().retain(|_, s| s.connection != number || s.stands);
        self.checker.borrow_mut().on_exchange_connection_closed(self.connection_id(number));
    }

    fn connection_id(&self, number: u64) -> ExchangeConnection {
        ExchangeConnection { place: self.place, number }
    }

    async fn read(&self, reader: &mut OwnedReadHalf, number: u64) {
        let (mut bytes, mut input) = (Vec::new(), vec![0; 8192]);
        let mut held: Vec<Value> = Vec::new();
        let mut begun = Instant::now();
        loop {
            let read = tokio::select! {
                read = reader.read(&mut input) => read,
                () = self.mended.notified() => {
                    held.drain(..).for_each(|message| self.on_message(&message, number));
                    continue;
                }
            };
            let Ok(n @ 1..) = read else { return };
            if bytes.is_empty() {
                begun = Instant::now();
            }
            bytes.extend_from_slice(&input[..n]);
            while let Some(end) = bytes.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = bytes.drain(..=end).collect();
                let Ok(message) = serde_json::from_slice::<Value>(&line) else {
                    self.checker
                        .borrow_mut()
                        .report_violation(Rule::Content, format!("no JSON line: {line:?}"));
                    continue;
                };
                self.observe(&message, begun, number);
                if self.is_cut.get() {
                    held.push(message);
                } else {
                    self.on_message(&message, number);
                }
                begun = Instant::now();
            }
        }
    }

    /// What the rules see of a message, when it leaves the router.
    fn observe(&self, message: &Value, begun: Instant, number: u64) {
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
                checker.on_attempt(self.id(), self.connection_id(number), begun, &set_up);
                if let Some(born) = self.born.get().filter(|b| b.elapsed().as_secs_f64() < COLD_S) {
                    let warmth = COLD_FROM + (1.0 - COLD_FROM) * born.elapsed().as_secs_f64() / COLD_S;
                    checker.on_slow_start_set_up(
                        self.id(),
                        2.0 * CAPACITY_PER_S * warmth,
                        Duration::from_secs(1),
                    );
                }
            }
            "FINISH" => checker.on_attempt_ended(&call_id, self.id(), AttemptOutcome::Abandoned),
            "FINISHED" => checker.on_release_confirmed(&call_id),
            "ECHO" => checker
                .report_violation(Rule::Probe, format!("the exchange at place {} was probed", self.place)),
            _ => {}
        }
    }

    /// Writes until the exchange closes the connection.
    async fn write(&self, writer: &mut OwnedWriteHalf, mut receiver: mpsc::UnboundedReceiver<Out>) {
        while let Some(out) = receiver.recv().await {
            while self.is_cut.get() {
                sleep(POLL).await;
            }
            let (bytes, told) = match out {
                Out::Line(line, told) => (format!("{line}\n").into_bytes(), told),
                Out::Raw(bytes) => (bytes, Told::Nothing),
                Out::Close => return,
            };
            if self.write_chopped(writer, &bytes).await.is_err() {
                return;
            }
            if let Told::AttemptEnded(call, end) = told {
                self.checker.borrow_mut().on_attempt_ended(&call, self.id(), end);
            }
        }
    }

    async fn write_chopped(&self, writer: &mut OwnedWriteHalf, bytes: &[u8]) -> io::Result<()> {
        if !self.scenario.pieces || self.rng.borrow_mut().u8(..3) > 0 {
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

    fn state_line(&self) -> String {
        json!({"verb": "LOAD", "tag": "", "opts": {"load": "spare:500;total:500;lat_ms:-1"}}).to_string()
    }

    /// Tells the state of its group on all connections now and then.
    async fn tell_state(self: Rc<Self>) {
        loop {
            let pause = self.rng.borrow_mut().u64(150..700);
            sleep(Duration::from_millis(pause)).await;
            if !self.is_hung.get() && !self.is_dead.get() {
                for sender in self.connections.borrow().values() {
                    let _ = sender.send(Out::Line(self.state_line(), Told::Nothing));
                }
            }
        }
    }

    fn on_message(&self, message: &Value, number: u64) {
        let call = message["tag"].as_str().unwrap_or_default().to_owned();
        match message["verb"].as_str().unwrap_or_default() {
            "START" => self.on_set_up(call, number),
            "FINISH" => {
                self.calls.borrow_mut().remove(&call);
                self.unconfirmed.borrow_mut().retain(|c| *c != call);
                self.send(
                    number,
                    Out::Line(json!({"verb": "FINISHED", "tag": call}).to_string(), Told::Nothing),
                );
            }
            "FINISHED" => self.unconfirmed.borrow_mut().retain(|c| *c != call),
            _ => {}
        }
    }

    fn send(&self, number: u64, out: Out) -> bool {
        self.connections.borrow().get(&number).is_some_and(|sender| sender.send(out).is_ok())
    }

    fn on_set_up(&self, call: String, number: u64) {
        self.calls.borrow_mut().insert(call.clone(), CallState { connection: number, stands: false });
        let (luck, delay) = {
            let mut rng = self.rng.borrow_mut();
            let longest = self.scenario.rules.classes[0].deadline.min(Duration::from_secs(2));
            let share = if rng.u8(..10) == 0 { 0.3 } else { 0.04 };
            (rng.f64(), longest.mul_f64(share * rng.f64()))
        };
        let Some(me) = self.me.upgrade() else { return };
        let process = self.process.get();
        tokio::task::spawn_local(async move {
            sleep(delay).await;
            me.outlast_hang().await;
            if me.process.get() == process && me.calls.borrow().get(&call).is_some_and(|s| !s.stands) {
                me.answer(call, number, luck).await;
            }
        });
    }

    async fn answer(self: Rc<Self>, call: String, number: u64, luck: f64) {
        let ended = |rc: u32, note: &str| {
            json!({"verb": "FINISH", "tag": call, "opts": {"note": note, "load": "spare:400;total:500;lat_ms:3"},
                "rc": rc})
            .to_string()
        };
        let refuse = |line: String, end: AttemptOutcome| {
            self.calls.borrow_mut().remove(&call);
            self.send(number, Out::Line(line, Told::AttemptEnded(call.clone(), end)));
        };
        match luck {
            l if l < 0.02 => refuse(ended(34, "group_full"), AttemptOutcome::NotRun),
            l if l < 0.03 => refuse(ended(34, "processor_full"), AttemptOutcome::NotRun),
            l if l < 0.04 => refuse(ended(17, "user_busy"), AttemptOutcome::Failed),
            l if l < 0.05 => refuse(ended(47, ""), AttemptOutcome::Failed),
            l if l < 0.06 => refuse(ended(41, ""), AttemptOutcome::Reset),
            l if l < 0.06 + self.scenario.spoilt => self.spoil(call, number).await,
            _ => self.stand(call, number),
        }
    }

    fn stand(self: Rc<Self>, call: String, number: u64) {
        let line = self.standing_line(&call);
        self.send(number, Out::Line(line, Told::AttemptEnded(call.clone(), AttemptOutcome::Answered)));
        if let Some(state) = self.calls.borrow_mut().get_mut(&call) {
            state.stands = true;
        }
        let hold = Duration::from_millis(self.rng.borrow_mut().u64(50..2500));
        let process = self.process.get();
        tokio::task::spawn_local(async move {
            sleep(hold).await;
            self.outlast_hang().await;
            if self.process.get() == process {
                self.release(&call);
            }
        });
    }

    fn standing_line(&self, call: &str) -> String {
        let (nonce, long) = {
            let mut rng = self.rng.borrow_mut();
            (rng.u32(..), rng.u8(..20) == 0)
        };
        let filler = if long { "m=audio 31000 RTP/AVP 0 8 101\r\n".repeat(300) } else { String::new() };
        let description = format!("{nonce:08x}\r\nc=IN IP4 10.4.7.9\r\n\"ž\\ \u{1}\r\n{filler}");
        self.checker.borrow_mut().on_exchange_description(call, &description);
        json!({"verb": "STARTED", "tag": call, "opts": {}, "blob": description}).to_string()
    }

    /// A call that stands comes to its end.
    fn release(&self, call: &str) {
        let Some(state) = self.calls.borrow_mut().remove(call) else { return };
        self.checker.borrow_mut().on_call_ended(call);
        self.unconfirmed.borrow_mut().push(call.to_owned());
        let line = || Out::Line(release_line(call), Told::Nothing);
        if !self.send(state.connection, line()) {
            let other = self.connections.borrow().keys().next_back().copied();
            if let Some(number) = other {
                self.send(number, line());
            }
        }
    }

    /// An answer that is spoilt, cut off, doubled, late or missing.
    async fn spoil(self: Rc<Self>, call: String, number: u64) {
        let kind = self.rng.borrow_mut().u8(..9);
        let line = self.standing_line(&call);
        let half = line.as_bytes()[..line.len() / 2].to_vec();
        match kind {
            0 => drop(self.send(number, Out::Raw(b"\x01\x02%&{\n".to_vec()))),
            1 => drop(self.send(number, Out::Raw(half))),
            2 => {
                self.send(number, Out::Raw(half));
                self.send(number, Out::Close);
            }
            3 => self.reset_connections(),
            4 => {
                self.clone().stand(call.clone(), number);
                sleep(Duration::from_millis(7)).await;
                self.send(number, Out::Line(line, Told::Nothing));
            }
            5 => {
                let strange = json!({"verb": "STARTED", "tag": "ffffffffffffffff", "opts": {}, "blob": "x"});
                self.send(number, Out::Line(strange.to_string(), Told::Nothing));
                self.stand(call, number);
            }
            6 => {
                // The answer, and the end of its connection right behind it.
                self.clone().stand(call, number);
                self.send(number, Out::Close);
            }
            7 => {
                sleep(Duration::from_millis(700)).await;
                if self.calls.borrow().get(&call).is_some_and(|s| !s.stands) {
                    self.stand(call, number);
                }
            }
            _ => {} // it never comes
        }
    }
}

fn release_line(call: &str) -> String {
    json!({"verb": "FINISH", "tag": call, "opts": {"load": "spare:500;total:500;lat_ms:3"}, "rc": 16})
        .to_string()
}
