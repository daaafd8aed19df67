//! A booking exchange that answers every set-up it can use, and clients that place calls over SIP.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::platform::{CaseResult, Record};

/// Starts a booking exchange. It answers a set-up after 20 ms and releases the call `hold` after that. A
/// set-up whose description does not begin as a usual one does gets an error (cause 47).
pub fn start_exchange(hold: Duration) -> CaseResult<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || serve(stream, hold));
        }
    });
    Ok(address)
}

fn serve(stream: TcpStream, hold: Duration) {
    let _ = stream.set_nodelay(true);
    let writer = Arc::new(Mutex::new(stream.try_clone().expect("clone")));
    let send = |writer: &Arc<Mutex<TcpStream>>, line: String| {
        let _ = writer.lock().unwrap().write_all(line.as_bytes());
    };
    send(&writer, "{\"verb\":\"LOAD\",\"tag\":\"\",\"opts\":{\"load\":\"spare:60;total:60;lat_ms:2\"}}\n".into());
    for line in BufReader::new(stream).lines().map_while(Result::ok) {
        if !line.starts_with("{\"verb\":\"START\",") {
            continue;
        }
        let Some(tag) = line.split("\"tag\":\"").nth(1).and_then(|t| t.split('"').next()) else { continue };
        let (tag, writer) = (tag.to_owned(), writer.clone());
        if !line.contains("\"blob\":\"9d41c07a5be2f318") {
            thread::sleep(Duration::from_millis(2));
            send(&writer, format!("{{\"verb\":\"FINISH\",\"tag\":\"{tag}\",\"opts\":{{}},\"rc\":47}}\n"));
            continue;
        }
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(20));
            let blob = "0bd1e7aa90c4f215\\r\\nc=IN IP4 10.8.1.2\\r\\n";
            send(
                &writer,
                format!("{{\"verb\":\"STARTED\",\"tag\":\"{tag}\",\"opts\":{{}},\"blob\":\"{blob}\"}}\n"),
            );
            thread::sleep(hold);
            send(&writer, format!("{{\"verb\":\"FINISH\",\"tag\":\"{tag}\",\"opts\":{{}},\"rc\":16}}\n"));
        });
    }
}

/// Returns a set-up of class slot-check for node 1.
pub fn invite(call: &str, ring_limit_ms: u32, body: &str) -> String {
    format!(
        "INVITE sip:7f3a9c21e0b4d655@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {call}\r\n\
         CSeq: 1 INVITE\r\nX-Call-Class: slot-check\r\nX-Ring-Limit: {ring_limit_ms}\r\n\
         X-Dest: dest:1;width:1;via:-1\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Description that a usual caller sends.
pub const DESCRIPTION: &str = "9d41c07a5be2f318\r\nc=IN IP4 10.4.7.9\r\nm=audio 31000 RTP/AVP 0 8 101\r\n";

/// Returns the first line, Call-ID and CSeq of the next message, or `None` at the end of the connection.
fn read_message(reader: &mut BufReader<TcpStream>) -> Option<(String, String, String)> {
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
        let number = {
            let mut next = self.next.lock().unwrap();
            *next += 1;
            *next
        };
        let id = format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let callers = self.clone();
        thread::spawn(move || callers.run_call(&id, ring_limit_ms));
    }

    fn run_call(&self, id: &str, ring_limit_ms: u32) {
        let ring_limit = Duration::from_millis(u64::from(ring_limit_ms));
        let Ok(mut stream) = TcpStream::connect_timeout(&self.router, Duration::from_secs(2)) else {
            return self.record.line(&format!("call {id}: not connected, so not taken"));
        };
        let _ = stream.set_nodelay(true);
        if stream.write_all(invite(id, ring_limit_ms, DESCRIPTION).as_bytes()).is_err() {
            return self.record.line(&format!("call {id}: not written, so not taken"));
        }
        let sent_at = Instant::now();
        self.record.line(&format!("call {id}: set-up written, ring limit {ring_limit_ms} ms"));
        let call =
            Call { id: id.to_owned(), sent_at, ring_limit, answers: Vec::new(), connection_ended: false };
        self.calls.lock().unwrap().insert(id.to_owned(), call);
        let _ = stream.set_read_timeout(Some(ring_limit + Duration::from_secs(4)));
        let mut reader = BufReader::new(stream.try_clone().expect("clone"));
        while let Some((first, call, cseq)) = read_message(&mut reader) {
            let status: u32 = first.strip_prefix("SIP/2.0 ").map_or(0, |s| s[..3].parse().unwrap_or(0));
            self.record.line(&format!("call {id}: received {first} ({cseq}) after {:?}", sent_at.elapsed()));
            if first.starts_with("BYE ") {
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
