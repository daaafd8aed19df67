//! A booking exchange that answers every set-up it can use, and clients that place calls over SIP.

use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::platform::{CaseResult, Record};

/// Circuits of the group between the router's exchange and this one.
const CIRCUITS: i64 = 60;
/// Largest number of connections on which the state of the group is sent unasked.
const MAX_GROUP_STATES: usize = 4;

/// A booking exchange. It answers a set-up after 20 ms and releases the call after its holding time. A set-up
/// whose description does not begin as a usual one does gets an error (cause 47).
///
/// It sends what concerns a standing call on the connection of its set-up, or else on any open one, and the
/// release also on the next connection opened. The state of the group comes first on each new connection, and
/// on each change.
#[derive(Clone)]
pub struct Exchange {
    pub address: SocketAddr,
    hold: Duration,
    state: Arc<Mutex<ExchangeState>>,
}

#[derive(Default)]
struct ExchangeState {
    /// Open connections in the order of their opening.
    connections: BTreeMap<u64, TcpStream>,
    last_connection: u64,
    /// Set-ups and standing calls, each with the connection of its set-up and whether it stands.
    calls: BTreeMap<String, (u64, bool)>,
    /// Releases for the next connection opened.
    releases: Vec<String>,
    /// Every set-up that has arrived.
    set_ups: Vec<(String, Instant)>,
    /// Ends of the calls that the exchange has released itself.
    ended: BTreeMap<String, Instant>,
    /// Where the messages of the exchange are noted, if anywhere.
    record: Option<Record>,
}

impl ExchangeState {
    fn note(&self, text: &str) {
        if let Some(record) = &self.record {
            record.line(&format!("exchange: {}", text.trim_end()));
        }
    }

    fn send(&self, connection: u64, line: &str) {
        self.note(&format!("sent on connection {connection}: {line}"));
        if let Some(mut stream) = self.connections.get(&connection) {
            let _ = stream.write_all(line.as_bytes());
        }
    }

    fn group_state(&self) -> String {
        let free = CIRCUITS - self.calls.len() as i64;
        format!(
            "{{\"verb\":\"LOAD\",\"tag\":\"\",\"opts\":{{\"load\":\"spare:{free};total:{CIRCUITS};lat_ms:-1\"}}}}\n"
        )
    }

    /// Sends the state of the group on the open connections, since it has changed.
    fn send_group_state(&self) {
        let line = self.group_state();
        self.connections.keys().take(MAX_GROUP_STATES).for_each(|c| self.send(*c, &line));
    }
}

fn release(tag: &str) -> String {
    format!("{{\"verb\":\"FINISH\",\"tag\":\"{tag}\",\"opts\":{{}},\"rc\":16}}\n")
}

impl Exchange {
    pub fn start(hold: Duration) -> CaseResult<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let exchange = Self { address: listener.local_addr()?, hold, state: Arc::default() };
        let serving = exchange.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let exchange = serving.clone();
                thread::spawn(move || exchange.serve(stream));
            }
        });
        Ok(exchange)
    }

    /// Returns the ids of the calls that stand here.
    pub fn standing(&self) -> Vec<String> {
        let state = self.state.lock().unwrap();
        state.calls.iter().filter(|(_, (_, stands))| *stands).map(|(tag, _)| tag.clone()).collect()
    }

    /// Notes the messages of the exchange in the record from now on.
    pub fn log_to(&self, record: &Record) {
        self.state.lock().unwrap().record = Some(record.clone());
    }

    /// Returns when the exchange released a call.
    pub fn ended_at(&self, call: &str) -> Option<Instant> {
        self.state.lock().unwrap().ended.get(call).copied()
    }

    /// Returns the set-ups that have arrived, with their times.
    pub fn set_ups(&self) -> Vec<(String, Instant)> {
        self.state.lock().unwrap().set_ups.clone()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let number = {
            let mut state = self.state.lock().unwrap();
            state.last_connection += 1;
            let number = state.last_connection;
            state.note(&format!("connection {number} opened"));
            state.connections.insert(number, stream.try_clone().expect("clone"));
            state.send(number, &state.group_state());
            let releases = std::mem::take(&mut state.releases);
            releases.iter().for_each(|tag| state.send(number, &release(tag)));
            number
        };
        for line in BufReader::new(stream).lines().map_while(Result::ok) {
            self.state.lock().unwrap().note(&format!("received on connection {number}: {line}"));
            let Some(tag) = line.split("\"tag\":\"").nth(1).and_then(|t| t.split('"').next()) else { continue };
            if line.starts_with("{\"verb\":\"FINISH\",") {
                // The set-up is given up, or the call is cut.
                let mut state = self.state.lock().unwrap();
                if state.calls.remove(tag).is_some() {
                    state.send_group_state();
                }
            } else if line.starts_with("{\"verb\":\"START\",") {
                self.set_up(tag.to_owned(), number, line.contains("\"blob\":\"9d41c07a5be2f318"));
            }
        }
        // The end of a connection gives up the set-ups open on it. A standing call belongs to no connection.
        let mut state = self.state.lock().unwrap();
        state.connections.remove(&number);
        state.note(&format!("connection {number} closed"));
        state.calls.retain(|_, (connection, stands)| *stands || *connection != number);
    }

    fn set_up(&self, tag: String, connection: u64, is_usable: bool) {
        self.state.lock().unwrap().set_ups.push((tag.clone(), Instant::now()));
        if !is_usable {
            thread::sleep(Duration::from_millis(2));
            let line = format!("{{\"verb\":\"FINISH\",\"tag\":\"{tag}\",\"opts\":{{}},\"rc\":47}}\n");
            return self.state.lock().unwrap().send(connection, &line);
        }
        {
            let mut state = self.state.lock().unwrap();
            state.calls.insert(tag.clone(), (connection, false));
            state.send_group_state();
        }
        let exchange = self.clone();
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(20));
            {
                let mut state = exchange.state.lock().unwrap();
                let Some(call) = state.calls.get_mut(&tag).filter(|(c, _)| *c == connection) else { return };
                call.1 = true;
                let blob = "0bd1e7aa90c4f215\\r\\nc=IN IP4 10.8.1.2\\r\\n";
                let line = format!(
                    "{{\"verb\":\"STARTED\",\"tag\":\"{tag}\",\"opts\":{{}},\"blob\":\"{blob}\"}}\n"
                );
                state.send(connection, &line);
            }
            thread::sleep(exchange.hold);
            let mut state = exchange.state.lock().unwrap();
            if state.calls.remove(&tag).is_none() {
                return; // the router has cut the call
            }
            state.ended.insert(tag.clone(), Instant::now());
            let open = state.connections.keys().copied();
            let any = open.filter(|c| *c == connection).next().or(state.connections.keys().next_back().copied());
            any.into_iter().for_each(|c| state.send(c, &release(&tag)));
            state.releases.push(tag);
            state.send_group_state();
        });
    }
}

/// Returns a set-up of class slot-check for node 1.
pub fn invite(call: &str, ring_limit_ms: u32, body: &str) -> String {
    invite_to(1, call, ring_limit_ms, body)
}

/// Returns a set-up of class slot-check for a node.
fn invite_to(node: u32, call: &str, ring_limit_ms: u32, body: &str) -> String {
    format!(
        "INVITE sip:7f3a9c21e0b4d655@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {call}\r\n\
         CSeq: 1 INVITE\r\nX-Call-Class: slot-check\r\nX-Ring-Limit: {ring_limit_ms}\r\n\
         X-Dest: dest:{node};width:1;via:-1\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Description that a usual caller sends.
pub const DESCRIPTION: &str = "9d41c07a5be2f318\r\nc=IN IP4 10.4.7.9\r\nm=audio 31000 RTP/AVP 0 8 101\r\n";

/// Returns the first line, Call-ID and CSeq of the next message, or `None` at the end of the connection.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> Option<(String, String, String)> {
    let (mut first, mut call, mut cseq, mut length) = (String::new(), String::new(), String::new(), 0);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if first.is_empty() {
            first = line.to_owned();
        } else if line.is_empty() {
            break;
        } else if let Some((name, value)) = line.split_once(": ") {
            match name {
                "Call-ID" => call = value.to_owned(),
                "CSeq" => cseq = value.to_owned(),
                "Content-Length" => length = value.parse().ok()?,
                _ => {}
            }
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((first, call, cseq, String::from_utf8_lossy(&body).into_owned())).map(|(f, c, s, _)| (f, c, s))
}

/// Asks with OPTIONS until the router passes the test. Returns whether it did in time.
pub fn wait_until_ready(router: SocketAddr, within: Duration) -> bool {
    let start = Instant::now();
    while start.elapsed() < within {
        if test(router, Duration::from_secs(1)) {
            return true;
        }
        thread::sleep(Duration::from_millis(100));
    }
    false
}

/// Sends one test (OPTIONS) and returns whether it passed within the time.
pub fn test(router: SocketAddr, within: Duration) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&router, within) else { return false };
    let _ = stream.set_read_timeout(Some(within));
    let text = "OPTIONS sip:ping@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: 00000000000000ff\r\n\
                CSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n";
    if stream.write_all(text.as_bytes()).is_err() {
        return false;
    }
    read_message(&mut BufReader::new(stream)).is_some_and(|(first, ..)| first.contains(" 200 "))
}

/// What became of a call, as its caller saw it.
#[derive(Debug, Clone)]
pub struct Call {
    pub id: String,
    pub sent_at: Instant,
    pub ring_limit: Duration,
    /// Final answers with the time since the set-up was sent.
    pub answers: Vec<(String, Duration)>,
    /// Whether the connection ended before the answer.
    pub connection_ended: bool,
    /// When the router released the call.
    pub released_at: Option<Instant>,
}

/// Usual callers, who place each call on a connection of its own and keep it open while they wait.
#[derive(Clone)]
pub struct Callers {
    record: Record,
    router: SocketAddr,
    pub calls: Arc<Mutex<HashMap<String, Call>>>,
    next: Arc<Mutex<u64>>,
}

impl Callers {
    pub fn new(record: &Record, router: SocketAddr) -> Self {
        Self { record: record.clone(), router, calls: Arc::default(), next: Arc::new(Mutex::new(1)) }
    }

    /// Places a call on a new connection. Does not wait for its answer.
    pub fn place_call(&self, ring_limit_ms: u32) {
        self.place_call_to(1, ring_limit_ms);
    }

    /// Places a call to a node on a new connection. Does not wait for its answer.
    pub fn place_call_to(&self, node: u32, ring_limit_ms: u32) {
        let number = {
            let mut next = self.next.lock().unwrap();
            *next += 1;
            *next
        };
        let id = format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let callers = self.clone();
        thread::spawn(move || callers.run_call(node, &id, ring_limit_ms));
    }

    fn run_call(&self, node: u32, id: &str, ring_limit_ms: u32) {
        let ring_limit = Duration::from_millis(u64::from(ring_limit_ms));
        let Ok(mut stream) = TcpStream::connect_timeout(&self.router, Duration::from_secs(2)) else {
            return self.record.line(&format!("call {id}: not connected, so not taken"));
        };
        let _ = stream.set_nodelay(true);
        if stream.write_all(invite_to(node, id, ring_limit_ms, DESCRIPTION).as_bytes()).is_err() {
            return self.record.line(&format!("call {id}: not written, so not taken"));
        }
        let sent_at = Instant::now();
        self.record.line(&format!("call {id}: set-up written, ring limit {ring_limit_ms} ms"));
        let call = Call {
                id: id.to_owned(),
                sent_at,
                ring_limit,
                answers: Vec::new(),
                connection_ended: false,
                released_at: None,
            };
        self.calls.lock().unwrap().insert(id.to_owned(), call);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(60)));
        let mut reader = BufReader::new(stream.try_clone().expect("clone"));
        while let Some((first, call, cseq)) = read_message(&mut reader) {
            let status: u32 = first.strip_prefix("SIP/2.0 ").map_or(0, |s| s[..3].parse().unwrap_or(0));
            self.record.line(&format!("call {id}: received {first} ({cseq}) after {:?}", sent_at.elapsed()));
            if first.starts_with("BYE ") {
                if let Some(c) = self.calls.lock().unwrap().get_mut(&call) {
                    c.released_at = Some(Instant::now());
                }
                let answer = format!(
                    "SIP/2.0 200 OK\r\nVia: SIP/2.0/TCP quartzspindle\r\nCall-ID: {call}\r\n\
                     CSeq: {cseq}\r\nContent-Length: 0\r\n\r\n"
                );
                let _ = stream.write_all(answer.as_bytes());
                return;
            }
            if call == id && cseq.ends_with("INVITE") && status >= 200 {
                if let Some(c) = self.calls.lock().unwrap().get_mut(id) {
                    c.answers.push((status.to_string(), sent_at.elapsed()));
                }
                let ack = format!(
                    "ACK sip:7f3a9c21e0b4d655@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {id}\r\n\
                     CSeq: 1 ACK\r\nContent-Length: 0\r\n\r\n"
                );
                let _ = stream.write_all(ack.as_bytes());
                if status >= 300 {
                    return;
                }
            }
        }
        if let Some(c) = self.calls.lock().unwrap().get_mut(id) {
            c.connection_ended = true;
        }
        self.record.line(&format!("call {id}: connection ended or silent after {:?}", sent_at.elapsed()));
    }

    /// Returns the calls that were taken and did not get exactly one final answer in time: until the end of
    /// the ring limit and 70 ms (AnswerSlackNs and the 50 ms of the protocol page) more.
    pub fn unanswered(&self) -> (usize, Vec<Call>) {
        let calls = self.calls.lock().unwrap();
        let late = |c: &Call| c.ring_limit + Duration::from_millis(70);
        let bad = calls.values().filter(|c| c.answers.len() != 1 || c.answers[0].1 > late(c));
        let mut bad: Vec<Call> = bad.cloned().collect();
        bad.sort_by_key(|c| c.sent_at);
        (calls.len(), bad)
    }
}
