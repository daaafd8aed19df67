//! Emulated clients: connections that are kept or made for one request, slow writers, clients that give up
//! early or repeat at once, crowds, and clients that break the protocol.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use fastrand::Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout, Instant};

use crate::checker::{Request, Rule, RuleChecker};
use crate::scenario::Scenario;
use crate::sip::{self, Message};

/// Pause before a connection is tried again.
const RECONNECT: Duration = Duration::from_millis(20);
/// A client that breaks the protocol is owed a refusal or a close within this.
const OWED: Duration = Duration::from_secs(3);
/// A request that is repeated brings so many more at most.
const MAX_REPEATS: u32 = 2;

/// What is written on a connection.
enum Out {
    /// A request; it is written as slowly as told.
    Request(Request, Pace),
    /// Another message.
    Message(Vec<u8>),
    /// The client closes the connection.
    Close,
    /// The client resets the connection.
    Reset,
}

/// How fast a message is written.
#[derive(Debug, Clone, Copy)]
enum Pace {
    AtOnce,
    /// In so many pieces, over this time.
    Pieces(usize, Duration),
}

/// All clients.
pub struct Clients {
    me: Weak<Self>,
    checker: Rc<RefCell<RuleChecker>>,
    scenario: Rc<Scenario>,
    rng: RefCell<Rng>,
    router: SocketAddr,
    next: Cell<u64>,
    connections: RefCell<BTreeMap<u64, mpsc::UnboundedSender<Out>>>,
    /// Connections that are kept, so open for any request.
    kept: RefCell<Vec<u64>>,
    is_active: Cell<bool>,
}

impl Clients {
    /// Starts the clients of a router.
    pub fn start(checker: Rc<RefCell<RuleChecker>>, scenario: Rc<Scenario>, router: SocketAddr) -> Rc<Self> {
        let clients = Rc::new_cyclic(|me| Self {
            me: me.clone(),
            checker,
            rng: RefCell::new(Rng::with_seed(scenario.seed ^ 0xc11e)),
            router,
            next: Cell::new(0),
            connections: RefCell::default(),
            kept: RefCell::default(),
            is_active: Cell::new(true),
            scenario,
        });
        for _ in 0..clients.scenario.client_connections {
            tokio::task::spawn_local(clients.clone().keep_connection());
        }
        tokio::task::spawn_local(clients.clone().generate());
        if clients.scenario.has_bad_clients {
            tokio::task::spawn_local(clients.clone().misbehave());
        }
        clients
    }

    /// No new request is begun any more.
    pub fn rest(&self) {
        self.is_active.set(false);
    }

    fn number(&self) -> u64 {
        self.next.set(self.next.get() + 1);
        self.next.get()
    }

    fn this(&self) -> Option<Rc<Self>> {
        self.me.upgrade()
    }

    /// A connection that is made again at once when it ends.
    async fn keep_connection(self: Rc<Self>) {
        loop {
            match TcpStream::connect(self.router).await {
                Ok(stream) => {
                    let (number, running) = self.clone().open(stream);
                    self.kept.borrow_mut().push(number);
                    running.await;
                }
                Err(_) => sleep(RECONNECT).await,
            }
        }
    }

    /// Registers a connection; the future reads and writes on it until it ends.
    fn open(self: Rc<Self>, stream: TcpStream) -> (u64, impl std::future::Future<Output = ()>) {
        let (number, (sender, receiver)) = (self.number(), mpsc::unbounded_channel());
        self.connections.borrow_mut().insert(number, sender);
        (number, self.run(stream, number, receiver))
    }

    async fn run(self: Rc<Self>, stream: TcpStream, number: u64, mut receiver: mpsc::UnboundedReceiver<Out>) {
        let _ = stream.set_nodelay(true);
        let (mut reader, mut writer) = stream.into_split();
        let closed_by_client = tokio::select! {
            () = self.read(&mut reader, number) => false,
            closed = self.write(&mut writer, &mut receiver, number) => closed,
        };
        self.connections.borrow_mut().remove(&number);
        self.kept.borrow_mut().retain(|n| *n != number);
        let excuse = closed_by_client.then_some("closed by its client");
        let again = self.checker.borrow_mut().on_client_connection_closed(number, excuse);
        for request in again {
            let me = self.clone();
            tokio::task::spawn_local(async move { me.send_alone(request, Pace::AtOnce).await });
        }
    }

    async fn write(
        &self,
        writer: &mut OwnedWriteHalf,
        receiver: &mut mpsc::UnboundedReceiver<Out>,
        number: u64,
    ) -> bool {
        while let Some(out) = receiver.recv().await {
            let written = match out {
                Out::Message(bytes) => writer.write_all(&bytes).await,
                Out::Request(request, pace) => {
                    self.checker.borrow_mut().on_request_started(request.clone(), number);
                    let written = write_paced(writer, &self.invite(&request), pace).await;
                    if written.is_ok() {
                        self.checker.borrow_mut().on_request_written(&request.call_id);
                        self.plan_patience(&request, number);
                    }
                    written
                }
                Out::Close => return true,
                Out::Reset => {
                    let _ = writer.as_ref().set_zero_linger();
                    return true;
                }
            };
            if written.is_err() {
                // What the router has said before its end is still read.
                return std::future::pending().await;
            }
        }
        true
    }

    fn invite(&self, request: &Request) -> Vec<u8> {
        let class = self.scenario.rules.classes[request.class].name;
        let headers = format!(
            "X-Call-Class: {class}\r\nX-Ring-Limit: {}\r\nX-Dest: dest:{};width:1;via:-1\r\n",
            request.ring_limit.as_millis(),
            request.destination
        );
        sip::request("INVITE", &request.called_number, &request.call_id, &headers, &request.description)
    }

    /// Some clients give up early: they withdraw the request, or close the connection.
    fn plan_patience(&self, request: &Request, number: u64) {
        let (gives_up, closes, resets, after) = {
            let mut rng = self.rng.borrow_mut();
            (
                rng.f64() < self.scenario.abandon_share,
                rng.u8(..4) == 0,
                rng.bool(),
                request.ring_limit.mul_f64(rng.f64()),
            )
        };
        let Some(me) = self.this().filter(|_| gives_up) else { return };
        let call = request.call_id.clone();
        tokio::task::spawn_local(async move {
            sleep(after).await;
            if closes {
                me.send(number, if resets { Out::Reset } else { Out::Close });
                return;
            }
            me.checker.borrow_mut().on_cancelled(&call);
            me.send(number, Out::Message(sip::request("CANCEL", "1", &call, "", "")));
        });
    }

    fn send(&self, number: u64, out: Out) -> bool {
        self.connections.borrow().get(&number).is_some_and(|sender| sender.send(out).is_ok())
    }

    async fn read(&self, reader: &mut OwnedReadHalf, number: u64) {
        let (mut bytes, mut input) = (Vec::new(), vec![0; 16 * 1024]);
        while let Ok(n @ 1..) = reader.read(&mut input).await {
            bytes.extend_from_slice(&input[..n]);
            while let Some(message) = sip::take(&mut bytes) {
                self.on_message(&message, number);
            }
        }
    }

    fn on_message(&self, message: &Message, number: u64) {
        let call = message.header("Call-ID").unwrap_or_default().to_owned();
        if message.first.starts_with("BYE ") {
            self.checker.borrow_mut().on_released(&call);
            self.send(number, Out::Message(sip::bye_confirmed(&call)));
            return;
        }
        let is_final = message.status().filter(|s| *s >= 200);
        let to_invite = message.header("CSeq").is_some_and(|c| c.ends_with("INVITE"));
        let Some(status) = is_final.filter(|_| to_invite) else { return };
        let hold_off = message.header("X-Hold-Off").and_then(|v| v.parse().ok());
        let stands = self.checker.borrow_mut().on_answer(&call, status, &message.body, hold_off);
        self.send(number, Out::Message(sip::request("ACK", "1", &call, "", "")));
        if stands {
            self.plan_hang_up(call, number);
        } else {
            self.plan_repeat(hold_off);
        }
    }

    fn plan_hang_up(&self, call: String, number: u64) {
        let withdrawn = self.checker.borrow().is_cancelled(&call);
        let (hangs_up, after) = {
            let mut rng = self.rng.borrow_mut();
            (rng.u8(..6) == 0, Duration::from_millis(rng.u64(0..800)))
        };
        let Some(me) = self.this().filter(|_| withdrawn || hangs_up) else { return };
        tokio::task::spawn_local(async move {
            sleep(if withdrawn { Duration::ZERO } else { after }).await;
            if me.send(number, Out::Message(sip::request("BYE", "1", &call, "", ""))) {
                me.checker.borrow_mut().on_hung_up(&call);
            }
        });
    }

    /// A refused client comes again after the time told, or at once.
    fn plan_repeat(&self, hold_off: Option<u64>) {
        let repeats = self.rng.borrow_mut().u32(..=MAX_REPEATS);
        let Some(me) = self.this().filter(|_| repeats > 0) else { return };
        tokio::task::spawn_local(async move {
            if !me.scenario.ignores_hold_off {
                sleep(Duration::from_millis(hold_off.unwrap_or(500))).await;
            }
            if me.is_active.get() && me.rng.borrow_mut().u8(..3) == 0 {
                me.begin_request();
            }
        });
    }

    async fn generate(self: Rc<Self>) {
        while self.is_active.get() {
            let gap = -self.rng.borrow_mut().f64().max(1e-9).ln() / self.scenario.requests_per_s;
            sleep(Duration::from_secs_f64(gap)).await;
            self.begin_request();
        }
    }

    fn draw_request(&self) -> Request {
        let mut rng = self.rng.borrow_mut();
        let classes = &self.scenario.rules.classes;
        let class = if rng.bool() { 0 } else { rng.usize(..classes.len()) };
        let share = if rng.u8(..4) == 0 { 1.0 } else { 0.15 + 0.5 * rng.f64() };
        let ring_limit = match rng.u8(..30) {
            0 => Duration::from_millis(rng.u64(3..60)),
            _ => classes[class].deadline.mul_f64(share),
        };
        let unknown = rng.u8(..40) == 0;
        let filler =
            if rng.u8(..30) == 0 { "m=audio 31000 RTP/AVP 0\r\n".repeat(400) } else { String::new() };
        Request {
            call_id: format!("{:016x}", rng.u64(..)),
            class,
            called_number: format!("+386{:08}", rng.u32(..100_000_000)),
            description: format!("{:016x}\r\nc=IN IP4 10.4.7.9\r\n\"q\\ ž\r\n{filler}", rng.u64(..)),
            ring_limit: ring_limit.max(Duration::from_millis(3)),
            destination: if unknown { 77 } else { rng.u32(1..self.scenario.exchange_count) },
        }
    }

    /// Sends a request on a kept connection, or on one of its own.
    fn begin_request(&self) {
        let request = self.draw_request();
        let (kind, pieces, pause, pick) = {
            let mut rng = self.rng.borrow_mut();
            (rng.u8(..100), rng.usize(2..6), rng.u64(1..80), rng.usize(..))
        };
        let chopped = Pace::Pieces(pieces, Duration::from_millis(pause));
        let pace = if self.scenario.has_split_writes && kind % 3 == 0 { chopped } else { Pace::AtOnce };
        let kept = self.kept.borrow();
        if kind < 80 && !kept.is_empty() {
            self.send(kept[pick % kept.len()], Out::Request(request, pace));
            return;
        }
        let slow = Pace::Pieces(8, Duration::from_millis(pause * 25));
        let pace = if kind >= 97 { slow } else { pace };
        if let Some(me) = self.this() {
            tokio::task::spawn_local(async move { me.send_alone(request, pace).await });
        }
    }

    /// Sends a request on a connection of its own, which is closed some time after it.
    async fn send_alone(self: Rc<Self>, request: Request, pace: Pace) {
        let (call, ring_limit) = (request.call_id.clone(), request.ring_limit);
        let Ok(stream) = TcpStream::connect(self.router).await else {
            return self.checker.borrow_mut().on_connect_failed(&call);
        };
        let (number, running) = self.clone().open(stream);
        self.send(number, Out::Request(request, pace));
        let me = self.clone();
        tokio::task::spawn_local(async move {
            sleep(ring_limit + Duration::from_millis(2800)).await;
            me.send(number, Out::Close);
        });
        running.await;
    }

    // ---- clients that break the protocol ----------------------------------------------------------

    /// Opens connections and leaves them.
    pub async fn crowd(&self, connections: u32) {
        let mut open = Vec::new();
        for n in 0..connections {
            if let Ok(Ok(mut stream)) =
                timeout(Duration::from_millis(50), TcpStream::connect(self.router)).await
            {
                if n % 3 == 0 {
                    let _ = stream.write_all(b"INVITE sip:1@net SIP/2.0\r\nCall").await;
                }
                open.push(stream);
            }
        }
        sleep(Duration::from_secs(4)).await;
    }

    async fn misbehave(self: Rc<Self>) {
        while self.is_active.get() {
            let (pause, kind) = {
                let mut rng = self.rng.borrow_mut();
                (rng.u64(50..500), rng.u8(..12))
            };
            sleep(Duration::from_millis(pause)).await;
            let me = self.clone();
            tokio::task::spawn_local(async move { me.break_protocol(kind).await });
        }
    }

    async fn break_protocol(&self, kind: u8) {
        let Ok(mut stream) = TcpStream::connect(self.router).await else { return };
        let begun = Instant::now();
        let text = bad_message(kind, &format!("{:016x}", self.rng.borrow_mut().u64(..)));
        let _ = stream.write_all(text.as_bytes()).await;
        let mut input = vec![0; 16 * 1024];
        match timeout(OWED.saturating_sub(begun.elapsed()), stream.read(&mut input)).await {
            Err(_) => {
                let text = format!("client of kind {kind}: no word and no close within 3 s");
                self.checker.borrow_mut().report_violation(Rule::BadClient, text);
            }
            Ok(Ok(n)) if String::from_utf8_lossy(&input[..n]).starts_with("SIP/2.0 200") => {
                let text = format!("client of kind {kind}: answered 200");
                self.checker.borrow_mut().report_violation(Rule::BadClient, text);
            }
            Ok(_) => {}
        }
    }
}

fn bad_message(kind: u8, call: &str) -> String {
    let invite = |headers: &str, body: &str| {
        format!("INVITE sip:1@net SIP/2.0\r\nCall-ID: {call}\r\nCSeq: 1 INVITE\r\n{headers}\r\n{body}")
    };
    match kind {
        0 => "%&\u{1}\u{2} no SIP\r\n\r\n".to_owned(),
        1 => invite("Content-Length: -5\r\n", ""),
        2 => invite("Content-Length: 3000000000\r\n", &"x".repeat(100_000)),
        3 => invite("X-Call-Class: none\r\nX-Ring-Limit: 900\r\nX-Dest: dest:1\r\nContent-Length: 0\r\n", ""),
        4 => {
            invite("X-Call-Class: voice\r\nX-Ring-Limit: nan\r\nX-Dest: dest:1\r\nContent-Length: 0\r\n", "")
        }
        5 => {
            invite("X-Call-Class: voice\r\nX-Ring-Limit: 900\r\nX-Dest: dest:-4\r\nContent-Length: 0\r\n", "")
        }
        6 => "INVITE sip:1@net SIP/2.0\r\nContent-Length: 0\r\n\r\n".to_owned(),
        7 => "INVITE sip:1@net SIP/2.0\r\nCall-".to_owned(),
        8 => "PUBLISH sip:1@net SIP/2.0\r\nCall-ID: 1\r\nContent-Length: 0\r\n\r\n".repeat(300),
        9 => String::new(),
        10 => invite("Content-Length: 9\r\n", "half"),
        _ => {
            invite("X-Call-Class: voice\r\nX-Ring-Limit: 900\r\nX-Dest: dest:99\r\nContent-Length: 0\r\n", "")
                .repeat(20)
        }
    }
}

async fn write_paced(writer: &mut OwnedWriteHalf, bytes: &[u8], pace: Pace) -> std::io::Result<()> {
    let Pace::Pieces(count, over) = pace else { return writer.write_all(bytes).await };
    let pause = over / count as u32;
    for part in bytes.chunks(bytes.len().div_ceil(count)) {
        sleep(pause).await;
        writer.write_all(part).await?;
    }
    Ok(())
}
