//! Emulated clients. They send requests on persistent connections or on a new one each, write slowly, give up
//! early, redial after a refusal, open many idle connections, and violate the protocol.

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

/// Time from a failed connection attempt to the next one.
const RECONNECT_DELAY: Duration = Duration::from_millis(20);
/// Time within which the router has to answer or disconnect a client that violates the protocol.
const BAD_CLIENT_RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// Largest number in the first draw after a refusal. A client that draws 0 does not redial. Of the others
/// (two of three clients), one in three redials after a second draw: two of nine clients in all.
const MAX_REDIAL_DRAW: u32 = 2;

/// Time from the deadline of a request on a new connection until the client closes that connection.
const CLOSE_DELAY: Duration = Duration::from_millis(2800);
/// Node number that no exchange has, called by some requests.
const UNKNOWN_NODE: u32 = 77;

/// Item in the queue of a connection to the router.
enum Outgoing {
    /// A request, written at the given pace.
    Request(Request, Pace),
    /// Any other message.
    Message(Vec<u8>),
    /// Closes the connection.
    Close,
    /// Resets the connection.
    Reset,
}

/// Speed at which a message is written.
#[derive(Debug, Clone, Copy)]
enum Pace {
    AtOnce,
    /// In this number of pieces, spread over this time.
    Split(usize, Duration),
}

/// All emulated clients of a run.
pub struct Clients {
    weak_self: Weak<Self>,
    checker: Rc<RefCell<RuleChecker>>,
    scenario: Rc<Scenario>,
    rng: RefCell<Rng>,
    router_address: SocketAddr,
    last_connection: Cell<u64>,
    connections: RefCell<BTreeMap<u64, mpsc::UnboundedSender<Outgoing>>>,
    /// Numbers of the connections that are kept open and shared by requests.
    persistent_connections: RefCell<Vec<u64>>,
    is_active: Cell<bool>,
}

impl Clients {
    /// Starts the clients of the router at an address.
    pub fn start(
        checker: Rc<RefCell<RuleChecker>>,
        scenario: Rc<Scenario>,
        router_address: SocketAddr,
    ) -> Rc<Self> {
        let clients = Rc::new_cyclic(|weak_self| Self {
            weak_self: weak_self.clone(),
            checker,
            rng: RefCell::new(Rng::with_seed(scenario.seed ^ 0xc11e)),
            router_address,
            last_connection: Cell::new(0),
            connections: RefCell::default(),
            persistent_connections: RefCell::default(),
            is_active: Cell::new(true),
            scenario,
        });
        for _ in 0..clients.scenario.client_connections {
            tokio::task::spawn_local(clients.clone().maintain_connection());
        }
        tokio::task::spawn_local(clients.clone().generate_requests());
        if clients.scenario.has_bad_clients {
            tokio::task::spawn_local(clients.clone().run_bad_clients());
        }
        clients
    }

    /// Stops sending new requests.
    pub fn stop_requests(&self) {
        self.is_active.set(false);
    }

    fn next_connection_number(&self) -> u64 {
        self.last_connection.set(self.last_connection.get() + 1);
        self.last_connection.get()
    }

    fn upgrade_self(&self) -> Option<Rc<Self>> {
        self.weak_self.upgrade()
    }

    /// Keeps a persistent connection open, and reconnects when it closes.
    async fn maintain_connection(self: Rc<Self>) {
        loop {
            match TcpStream::connect(self.router_address).await {
                Ok(stream) => {
                    let (number, running) = self.clone().register_connection(stream);
                    self.persistent_connections.borrow_mut().push(number);
                    running.await;
                }
                Err(_) => sleep(RECONNECT_DELAY).await,
            }
        }
    }

    /// Registers a connection. Returns its number and a future that reads and writes on it until it closes.
    fn register_connection(
        self: Rc<Self>,
        stream: TcpStream,
    ) -> (u64, impl std::future::Future<Output = ()>) {
        let (number, (sender, receiver)) = (self.next_connection_number(), mpsc::unbounded_channel());
        self.connections.borrow_mut().insert(number, sender);
        (number, self.run_connection(stream, number, receiver))
    }

    /// Reads and writes on a connection until it closes, then sends the requests that crossed the close
    /// again.
    async fn run_connection(
        self: Rc<Self>,
        stream: TcpStream,
        number: u64,
        mut receiver: mpsc::UnboundedReceiver<Outgoing>,
    ) {
        let _ = stream.set_nodelay(true);
        let (mut reader, mut writer) = stream.into_split();
        let is_closed_by_client = tokio::select! {
            () = self.read_messages(&mut reader, number) => false,
            by_client = self.write_messages(&mut writer, &mut receiver, number) => by_client,
        };
        self.connections.borrow_mut().remove(&number);
        self.persistent_connections.borrow_mut().retain(|n| *n != number);
        let excuse = is_closed_by_client.then_some("closed by its client");
        let crossed = self.checker.borrow_mut().on_client_connection_closed(number, excuse);
        for request in crossed {
            let clients = self.clone();
            tokio::task::spawn_local(
                async move { clients.send_on_new_connection(request, Pace::AtOnce).await },
            );
        }
    }

    /// Writes queued items. Returns `true` once the client closes or resets the connection. After a write
    /// error it never returns, since messages of the router may still be read.
    async fn write_messages(
        &self,
        writer: &mut OwnedWriteHalf,
        receiver: &mut mpsc::UnboundedReceiver<Outgoing>,
        number: u64,
    ) -> bool {
        while let Some(outgoing) = receiver.recv().await {
            let written = match outgoing {
                Outgoing::Message(bytes) => writer.write_all(&bytes).await,
                Outgoing::Request(request, pace) => {
                    self.checker.borrow_mut().on_request_started(request.clone(), number);
                    let written = write_at_pace(writer, &self.invite_message(&request), pace).await;
                    if written.is_ok() {
                        self.checker.borrow_mut().on_request_written(&request.call_id);
                        self.schedule_abandonment(&request, number);
                    }
                    written
                }
                Outgoing::Close => return true,
                Outgoing::Reset => {
                    let _ = writer.as_ref().set_zero_linger();
                    return true;
                }
            };
            if written.is_err() {
                // What the router sent before the connection failed is still read.
                return std::future::pending().await;
            }
        }
        true
    }

    fn invite_message(&self, request: &Request) -> Vec<u8> {
        let class = self.scenario.rules.classes[request.class].name;
        let headers = format!(
            "X-Call-Class: {class}\r\nX-Ring-Limit: {}\r\nX-Dest: dest:{};width:1;via:-1\r\n",
            request.ring_limit.as_millis(),
            request.destination
        );
        sip::request("INVITE", &request.called_number, &request.call_id, &headers, &request.description)
    }

    /// Draws whether the client gives the request up before its deadline, by a CANCEL or by ending the
    /// connection.
    fn schedule_abandonment(&self, request: &Request, number: u64) {
        let (is_abandoned, closes_connection, resets_connection, after) = {
            let mut rng = self.rng.borrow_mut();
            (
                rng.f64() < self.scenario.abandon_share,
                rng.u8(..4) == 0,
                rng.bool(),
                request.ring_limit.mul_f64(rng.f64()),
            )
        };
        let Some(clients) = self.upgrade_self().filter(|_| is_abandoned) else { return };
        let call_id = request.call_id.clone();
        tokio::task::spawn_local(async move {
            sleep(after).await;
            if closes_connection {
                clients.send(number, if resets_connection { Outgoing::Reset } else { Outgoing::Close });
                return;
            }
            clients.checker.borrow_mut().on_cancelled(&call_id);
            clients.send(number, Outgoing::Message(sip::request("CANCEL", "1", &call_id, "", "")));
        });
    }

    fn send(&self, number: u64, outgoing: Outgoing) -> bool {
        self.connections.borrow().get(&number).is_some_and(|sender| sender.send(outgoing).is_ok())
    }

    async fn read_messages(&self, reader: &mut OwnedReadHalf, number: u64) {
        let (mut bytes, mut input) = (Vec::new(), vec![0; 16 * 1024]);
        while let Ok(n @ 1..) = reader.read(&mut input).await {
            bytes.extend_from_slice(&input[..n]);
            while let Some(message) = sip::take_message(&mut bytes) {
                self.handle_message(&message, number);
            }
        }
    }

    fn handle_message(&self, message: &Message, number: u64) {
        let call_id = message.header("Call-ID").unwrap_or_default().to_owned();
        if message.first_line.starts_with("BYE ") {
            self.checker.borrow_mut().on_released(&call_id);
            self.send(number, Outgoing::Message(sip::bye_response(&call_id)));
            return;
        }
        let final_status = message.status().filter(|s| *s >= 200);
        let answers_invite = message.header("CSeq").is_some_and(|c| c.ends_with("INVITE"));
        let Some(status) = final_status.filter(|_| answers_invite) else { return };
        let hold_off = message.header("X-Hold-Off").and_then(|v| v.parse().ok());
        let is_established = self.checker.borrow_mut().on_answer(&call_id, status, &message.body, hold_off);
        self.send(number, Outgoing::Message(sip::request("ACK", "1", &call_id, "", "")));
        if is_established {
            self.schedule_hang_up(call_id, number);
        } else {
            self.schedule_redial(hold_off);
        }
    }

    /// Draws whether the client hangs up an established call. A call that it has cancelled is hung up at
    /// once.
    fn schedule_hang_up(&self, call_id: String, number: u64) {
        let is_cancelled = self.checker.borrow().is_cancelled(&call_id);
        let (hangs_up, after) = {
            let mut rng = self.rng.borrow_mut();
            (rng.u8(..6) == 0, Duration::from_millis(rng.u64(0..800)))
        };
        let Some(clients) = self.upgrade_self().filter(|_| is_cancelled || hangs_up) else { return };
        tokio::task::spawn_local(async move {
            sleep(if is_cancelled { Duration::ZERO } else { after }).await;
            if clients.send(number, Outgoing::Message(sip::request("BYE", "1", &call_id, "", ""))) {
                clients.checker.borrow_mut().on_hung_up(&call_id);
            }
        });
    }

    /// Draws whether a refused client redials. It sends one new request at most for each refusal.
    ///
    /// Two of three clients pass the first draw and wait for the hold-off, or for 500 ms if the answer names
    /// none; they don't wait in a scenario that ignores it. If the clients are still active then, one of
    /// three passes the second draw and redials.
    fn schedule_redial(&self, hold_off: Option<u64>) {
        let redial_draw = self.rng.borrow_mut().u32(..=MAX_REDIAL_DRAW);
        let Some(clients) = self.upgrade_self().filter(|_| redial_draw > 0) else { return };
        tokio::task::spawn_local(async move {
            if !clients.scenario.ignores_hold_off {
                sleep(Duration::from_millis(hold_off.unwrap_or(500))).await;
            }
            if clients.is_active.get() && clients.rng.borrow_mut().u8(..3) == 0 {
                clients.start_request();
            }
        });
    }

    /// Sends requests at random intervals, at the mean rate of the scenario.
    async fn generate_requests(self: Rc<Self>) {
        while self.is_active.get() {
            let gap = -self.rng.borrow_mut().f64().max(1e-9).ln() / self.scenario.requests_per_s;
            sleep(Duration::from_secs_f64(gap)).await;
            self.start_request();
        }
    }

    /// Draws a request.
    fn draw_request(&self) -> Request {
        let mut rng = self.rng.borrow_mut();
        let classes = &self.scenario.rules.classes;
        let class = if rng.bool() { 0 } else { rng.usize(..classes.len()) };
        let share = if rng.u8(..4) == 0 { 1.0 } else { 0.15 + 0.5 * rng.f64() };
        let ring_limit = match rng.u8(..30) {
            0 => Duration::from_millis(rng.u64(3..60)),
            _ => classes[class].deadline.mul_f64(share),
        };
        let is_unknown = rng.u8(..40) == 0;
        let filler =
            if rng.u8(..30) == 0 { "m=audio 31000 RTP/AVP 0\r\n".repeat(400) } else { String::new() };
        Request {
            call_id: format!("{:016x}", rng.u64(..)),
            class,
            called_number: format!("+386{:08}", rng.u32(..100_000_000)),
            description: format!("{:016x}\r\nc=IN IP4 10.4.7.9\r\n\"q\\ ž\r\n{filler}", rng.u64(..)),
            ring_limit: ring_limit.max(Duration::from_millis(3)),
            destination: if is_unknown { UNKNOWN_NODE } else { rng.u32(1..self.scenario.exchange_count) },
        }
    }

    /// Sends a new request on a persistent connection or on a new one.
    fn start_request(&self) {
        let request = self.draw_request();
        let (kind, pieces, pause, pick) = {
            let mut rng = self.rng.borrow_mut();
            (rng.u8(..100), rng.usize(2..6), rng.u64(1..80), rng.usize(..))
        };
        let split = Pace::Split(pieces, Duration::from_millis(pause));
        let pace = if self.scenario.has_split_writes && kind % 3 == 0 { split } else { Pace::AtOnce };
        let persistent = self.persistent_connections.borrow();
        if kind < 80 && !persistent.is_empty() {
            self.send(persistent[pick % persistent.len()], Outgoing::Request(request, pace));
            return;
        }
        let slow = Pace::Split(8, Duration::from_millis(pause * 25));
        let pace = if kind >= 97 { slow } else { pace };
        if let Some(clients) = self.upgrade_self() {
            tokio::task::spawn_local(async move { clients.send_on_new_connection(request, pace).await });
        }
    }

    /// Sends a request on a new connection, which is closed `CLOSE_DELAY` after the request's deadline.
    async fn send_on_new_connection(self: Rc<Self>, request: Request, pace: Pace) {
        let (call_id, ring_limit) = (request.call_id.clone(), request.ring_limit);
        let Ok(stream) = TcpStream::connect(self.router_address).await else {
            return self.checker.borrow_mut().on_connect_failed(&call_id);
        };
        let (number, running) = self.clone().register_connection(stream);
        self.send(number, Outgoing::Request(request, pace));
        let clients = self.clone();
        tokio::task::spawn_local(async move {
            sleep(ring_limit + CLOSE_DELAY).await;
            clients.send(number, Outgoing::Close);
        });
        running.await;
    }

    // ---- idle connections and clients that violate the protocol -----------------------------------

    /// Opens connections, sends the beginning of a request on every third, and closes them all 4 s later.
    pub async fn open_idle_connections(&self, connections: u32) {
        let mut open = Vec::new();
        for n in 0..connections {
            if let Ok(Ok(mut stream)) =
                timeout(Duration::from_millis(50), TcpStream::connect(self.router_address)).await
            {
                if n % 3 == 0 {
                    let _ = stream.write_all(b"INVITE sip:1@net SIP/2.0\r\nCall").await;
                }
                open.push(stream);
            }
        }
        sleep(Duration::from_secs(4)).await;
    }

    /// Starts a client that violates the protocol every 50 to 500 ms.
    async fn run_bad_clients(self: Rc<Self>) {
        while self.is_active.get() {
            let (pause, kind) = {
                let mut rng = self.rng.borrow_mut();
                (rng.u64(50..500), rng.u8(..12))
            };
            sleep(Duration::from_millis(pause)).await;
            let clients = self.clone();
            tokio::task::spawn_local(async move { clients.run_bad_client(kind).await });
        }
    }

    /// Sends a message that violates the protocol, and checks that the router refuses it or disconnects.
    async fn run_bad_client(&self, kind: u8) {
        let Ok(mut stream) = TcpStream::connect(self.router_address).await else { return };
        let connected_at = Instant::now();
        let text = bad_client_message(kind, &format!("{:016x}", self.rng.borrow_mut().u64(..)));
        let _ = stream.write_all(text.as_bytes()).await;
        let mut input = vec![0; 16 * 1024];
        match timeout(
            BAD_CLIENT_RESPONSE_TIMEOUT.saturating_sub(connected_at.elapsed()),
            stream.read(&mut input),
        )
        .await
        {
            Err(_) => {
                let text = format!("bad client of kind {kind}: neither an answer nor a close within 3 s");
                self.checker.borrow_mut().report_violation(Rule::BadClient, text);
            }
            Ok(Ok(n)) if String::from_utf8_lossy(&input[..n]).starts_with("SIP/2.0 200") => {
                let text = format!("bad client of kind {kind}: answered 200");
                self.checker.borrow_mut().report_violation(Rule::BadClient, text);
            }
            Ok(_) => {}
        }
    }
}

/// Returns the message that a bad client of this kind sends.
fn bad_client_message(kind: u8, call_id: &str) -> String {
    let invite = |headers: &str, body: &str| {
        format!("INVITE sip:1@net SIP/2.0\r\nCall-ID: {call_id}\r\nCSeq: 1 INVITE\r\n{headers}\r\n{body}")
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

async fn write_at_pace(writer: &mut OwnedWriteHalf, bytes: &[u8], pace: Pace) -> std::io::Result<()> {
    let Pace::Split(count, duration) = pace else { return writer.write_all(bytes).await };
    let pause = duration / count as u32;
    for part in bytes.chunks(bytes.len().div_ceil(count)) {
        sleep(pause).await;
        writer.write_all(part).await?;
    }
    Ok(())
}
