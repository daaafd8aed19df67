//! Case: of two routers of one VRRP group that can't hear each other, both act as the active one.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, UdpSocket};
use std::process::Stdio;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::platform::{free_tcp, free_udp, known, settings, CaseResult, Folder, Record, Router};
use crate::sip::{Exchange, wait_until_ready};

/// Time with a whole network, length of the cut (the page: 6 to 19 s), and time after it.
const CALM: Duration = Duration::from_secs(8);
const CUT: Duration = Duration::from_secs(10);
const AFTER: Duration = Duration::from_secs(8);
/// Time between two look-ups.
const INTERVAL: Duration = Duration::from_millis(200);
/// Time within which a look-up is answered (`answer_within_ms`), with the tolerance of the protocol page.
const ANSWER_WITHIN: Duration = Duration::from_millis(4050);

/// One look-up, with what each router did for it.
#[derive(Debug, Default, Clone)]
struct LookUp {
    sent_at: Duration,
    answered_by: Vec<&'static str>,
    attempts_by: Vec<&'static str>,
}

type LookUps = Arc<Mutex<BTreeMap<u16, LookUp>>>;

/// Returns the digits of the number of a look-up.
fn number(id: u16) -> String {
    format!("3861{id:07}")
}

/// Encodes the NAPTR query for a number under e164.arpa.
fn query(id: u16) -> Vec<u8> {
    let mut out = vec![(id >> 8) as u8, id as u8, 1, 0, 0, 1, 0, 0, 0, 0, 0, 0];
    for digit in number(id).bytes().rev() {
        out.extend([1, digit]);
    }
    for label in ["e164", "arpa"] {
        out.push(label.len() as u8);
        out.extend(label.bytes());
    }
    out.extend([0, 0, 35, 0, 1]);
    out
}

/// Returns the end of the question in a message, and the number it asks for.
fn question(message: &[u8]) -> Option<(usize, String)> {
    let (mut at, mut digits) = (12, String::new());
    loop {
        let length = usize::from(*message.get(at)?);
        if length == 0 {
            return Some((at + 5, digits.chars().rev().collect()));
        }
        let label = message.get(at + 1..at + 1 + length)?;
        if length == 1 {
            digits.push(char::from(label[0]));
        }
        at += 1 + length;
    }
}

/// Starts an upstream DNS server that answers each query at once with one record, and notes the attempt.
fn start_dns_server(record: &Record, router: &'static str, look_ups: &LookUps) -> CaseResult<SocketAddr> {
    let socket = UdpSocket::bind("127.0.0.1:0")?;
    let address = socket.local_addr()?;
    let (record, look_ups) = (record.clone(), look_ups.clone());
    thread::spawn(move || {
        let mut buffer = [0; 4096];
        while let Ok((n, from)) = socket.recv_from(&mut buffer) {
            let Some((end, digits)) = question(&buffer[..n]) else { continue };
            let id: u16 = digits.get(4..).and_then(|d| d.parse().ok()).unwrap_or(0);
            record.line(&format!("DNS server: query for +{digits} from router {router}"));
            if let Some(look_up) = look_ups.lock().unwrap().get_mut(&id) {
                look_up.attempts_by.push(router);
            }
            let mut reply = buffer[..end].to_vec();
            reply[2..12].copy_from_slice(&[0x81, 0x80, 0, 1, 0, 1, 0, 0, 0, 0]);
            let uri = "!^.*$!sip:desk@ljubljana.termin.example!";
            let mut data = vec![0, 10, 0, 10, 1, b'u', 7];
            data.extend(b"E2U+sip");
            data.push(uri.len() as u8);
            data.extend(uri.bytes());
            data.push(0);
            reply.extend([0xc0, 12, 0, 35, 0, 1, 0, 0, 0, 60]);
            reply.extend((data.len() as u16).to_be_bytes());
            reply.extend(data);
            let _ = socket.send_to(&reply, from);
        }
    });
    Ok(address)
}

/// Forwards the datagrams that arrive at one socket to `to`, from the other socket, unless the network is cut.
fn forward(record: &Record, from: UdpSocket, via: UdpSocket, to: SocketAddr, cut: &Arc<AtomicBool>, what: &'static str) {
    let (record, cut) = (record.clone(), cut.clone());
    thread::spawn(move || {
        let mut buffer = [0; 2048];
        while let Ok((n, _)) = from.recv_from(&mut buffer) {
            let is_cut = cut.load(Ordering::Relaxed);
            let fate = if is_cut { "lost in the cut" } else { "delivered" };
            record.line(&format!("advertisement {what}, priority {}: {fate}", buffer[2]));
            if !is_cut {
                let _ = via.send_to(&buffer[..n], to);
            }
        }
    });
}

pub fn run(record: &Record, trouble: bool) -> CaseResult<bool> {
    let folder = Folder::create()?;
    let exchange = Exchange::start(Duration::from_secs(3))?.address;
    let look_ups: LookUps = Arc::default();
    // The network between the routers: each router's peer is a socket of the network.
    let (side_a, side_b) = (UdpSocket::bind("127.0.0.1:0")?, UdpSocket::bind("127.0.0.1:0")?);
    let (vrrp_a, vrrp_b) = (free_udp()?, free_udp()?);
    let (enum_a, enum_b) = (free_udp()?, free_udp()?);
    let (listen_a, listen_b) = (free_tcp()?, free_tcp()?);
    let cut = Arc::new(AtomicBool::new(false));
    let (peer_of_a, peer_of_b) = (side_a.local_addr()?, side_b.local_addr()?);
    forward(record, side_a.try_clone()?, side_b.try_clone()?, vrrp_b, &cut, "from A to B");
    forward(record, side_b, side_a, vrrp_a, &cut, "from B to A");
    let config = |name: &str, listen, enum_listen, upstream, vrrp, peer, priority| {
        format!(
            r#"{{"name": "{name}", "listen": "{listen}", "seed": "8c1f30d27a5be964",
  "limits": {{"cores": 1.0, "memory_mb": 192, "sockets": 1024}}, "known": {},
  "enum": {{"listen": "{enum_listen}", "zone": "e164.arpa", "upstreams": ["{upstream}"],
    "query_timeout_ms": 1500, "answer_within_ms": 4000, "share": 0.5, "most_look_ups": 512,
    "routes": {{"ljubljana.termin.example": 1}}}},
  "vrrp": {{"listen": "{vrrp}", "peers": ["{peer}"], "vrid": 1, "priority": {priority}, "interval_cs": 100,
    "preempt": true, "addresses": ["127.0.2.1"]}},
  "settings": {}}}"#,
            known(&[exchange]),
            settings(0, 2)
        )
    };
    let (dns_a, dns_b) = (start_dns_server(record, "A", &look_ups)?, start_dns_server(record, "B", &look_ups)?);
    let config_a = config("A", listen_a, enum_a, dns_a, vrrp_a, peer_of_a, 200);
    let config_b = config("B", listen_b, enum_b, dns_b, vrrp_b, peer_of_b, 100);
    let _router_a = Router::start(record, &folder, "A", &config_a, Stdio::null(), Stdio::null())?;
    let _router_b = Router::start(record, &folder, "B", &config_b, Stdio::null(), Stdio::null())?;
    for listen in [listen_a, listen_b] {
        if !wait_until_ready(listen, Duration::from_secs(10)) {
            return Err("a router did not become ready".into());
        }
    }
    // The resolver: the virtual address does not move, and a backup is silent, so it asks both routers.
    let resolver = UdpSocket::bind("127.0.0.1:0")?;
    let start = Instant::now();
    let (names, answers) = (HashMap::from([(enum_a, "A"), (enum_b, "B")]), resolver.try_clone()?);
    let (answer_record, answered) = (record.clone(), look_ups.clone());
    thread::spawn(move || {
        let mut buffer = [0; 4096];
        while let Ok((n, from)) = answers.recv_from(&mut buffer) {
            if n < 12 {
                continue;
            }
            let id = u16::from_be_bytes([buffer[0], buffer[1]]);
            let name = names.get(&from).copied().unwrap_or("?");
            answer_record.line(&format!("look-up {id}: answered by router {name}, rcode {}", buffer[3] & 15));
            if let Some(look_up) = answered.lock().unwrap().get_mut(&id) {
                look_up.answered_by.push(name);
            }
        }
    });
    let mut id = 0;
    // Waits until the group has chosen its active router.
    loop {
        id += 1;
        ask(&resolver, id, [enum_a, enum_b], &look_ups, start, record);
        thread::sleep(Duration::from_millis(100));
        if !look_ups.lock().unwrap()[&id].answered_by.is_empty() {
            break;
        }
        if start.elapsed() > Duration::from_secs(15) {
            return Err("no router became active".into());
        }
    }
    record.line("an active router has been chosen; the look-ups count from here on");
    let (first_counted, began) = (id + 1, start.elapsed());
    let (cut_from, cut_to) = (began + CALM, began + CALM + CUT);
    while start.elapsed() < cut_to + AFTER {
        let now = start.elapsed();
        let should_cut = trouble && now >= cut_from && now < cut_to;
        if cut.swap(should_cut, Ordering::Relaxed) != should_cut {
            record.line(if should_cut { "the network between the routers is cut" } else { "the cut ends" });
        }
        id += 1;
        ask(&resolver, id, [enum_a, enum_b], &look_ups, start, record);
        thread::sleep(INTERVAL);
    }
    thread::sleep(ANSWER_WITHIN);
    let look_ups = look_ups.lock().unwrap();
    let counted: Vec<(&u16, &LookUp)> = look_ups.range(first_counted..).collect();
    let missing: Vec<_> = counted.iter().filter(|(_, l)| l.answered_by.is_empty()).collect();
    let twice: Vec<_> = counted.iter().filter(|(_, l)| l.answered_by.len() > 1).collect();
    let by_both: Vec<_> = counted
        .iter()
        .filter(|(_, l)| l.attempts_by.contains(&"A") && l.attempts_by.contains(&"B"))
        .collect();
    record.line(&format!(
        "look-ups {}, with no answer {}, with more than one answer {}, with attempts sent by both routers {}",
        counted.len(),
        missing.len(),
        twice.len(),
        by_both.len()
    ));
    for (id, look_up) in twice.iter().chain(&missing) {
        let at = look_up.sent_at.saturating_sub(began).as_secs_f64();
        record.line(&format!(
            "  look-up {id} at {at:.1} s: answered by {:?}, attempts by {:?}",
            look_up.answered_by, look_up.attempts_by
        ));
    }
    Ok(missing.is_empty() && twice.is_empty() && by_both.is_empty())
}

/// Sends one query to both routers.
fn ask(
    resolver: &UdpSocket,
    id: u16,
    routers: [SocketAddr; 2],
    look_ups: &LookUps,
    start: Instant,
    record: &Record,
) {
    let look_up = LookUp { sent_at: start.elapsed(), ..LookUp::default() };
    look_ups.lock().unwrap().insert(id, look_up);
    record.line(&format!("look-up {id}: +{} asked of routers A and B", number(id)));
    for router in routers {
        let _ = resolver.send_to(&query(id), router);
    }
}
