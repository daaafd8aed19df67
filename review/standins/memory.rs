//! Case: hundreds of requests at once from a few clients take the router over its memory limit.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::Stdio;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::platform::{free_tcp, known, settings, CaseResult, Folder, Record, Router};
use crate::sip::{invite, wait_until_ready, Callers, Exchange, DESCRIPTION};

/// Memory limit of the router in MB: the most that the deployment page allows on scored days.
const MEMORY_MB: f64 = 192.0;
/// Number of bad clients, each with one connection.
const BAD_CLIENTS: usize = 20;
/// Number of set-ups that each of them sends at once.
const REQUESTS: usize = 900;
/// Size of a message in bytes. A message holds at most 16 KiB (16,384 bytes).
const MESSAGE_BYTES: usize = 16_000;
/// Ring limit of a usual set-up, a third of the class's deadline of 9 s.
const RING_LIMIT_MS: u32 = 3000;
/// Ring limit of a bad client's set-ups: the class's whole deadline.
const BAD_RING_LIMIT_MS: u32 = 9000;
/// Time from the first usual call to the bad clients, and the length of the case after that.
const CALM: Duration = Duration::from_secs(5);
const LENGTH: Duration = Duration::from_secs(12);

pub fn run(record: &Record, trouble: bool) -> CaseResult<bool> {
    let folder = Folder::create()?;
    let exchange = Exchange::start(Duration::from_secs(3))?.address;
    let listen = free_tcp()?;
    let config = format!(
        r#"{{"name": "n0", "listen": "{listen}", "seed": "8c1f30d27a5be964",
  "limits": {{"cores": 1.0, "memory_mb": {MEMORY_MB}, "sockets": 1024}},
  "known": {}, "settings": {}}}"#,
        known(&[exchange]),
        settings(0, 4)
    );
    let mut router = Router::start(record, &folder, "n0", &config, Stdio::null(), Stdio::null())?;
    if !wait_until_ready(listen, Duration::from_secs(10)) {
        return Err("the router did not become ready".into());
    }
    let callers = Callers::new(record, listen);
    let (start, mut next_call, mut peak, mut killed) = (Instant::now(), Instant::now(), 0.0, false);
    let (mut bad_started, mut next_report) = (false, Instant::now());
    let refused = Arc::new(AtomicUsize::new(0));
    while start.elapsed() < CALM + LENGTH {
        if start.elapsed() < CALM + LENGTH - Duration::from_secs(4) && Instant::now() >= next_call && !killed {
            callers.place_call(RING_LIMIT_MS);
            next_call += Duration::from_millis(500);
        }
        if trouble && !bad_started && start.elapsed() >= CALM {
            bad_started = true;
            record.line(&format!(
                "{BAD_CLIENTS} clients connect; each sends {REQUESTS} set-ups of {MESSAGE_BYTES} bytes at once, \
                 ring limit {BAD_RING_LIMIT_MS} ms"
            ));
            for client in 0..BAD_CLIENTS {
                let (record, refused) = (record.clone(), refused.clone());
                thread::spawn(move || flood(&record, listen, client, &refused));
            }
        }
        if let Some(mb) = router.resident_mb() {
            peak = f64::max(peak, mb);
            if Instant::now() >= next_report {
                let answered = refused.load(Ordering::Relaxed);
                record.line(&format!("router's memory {mb:.0} MB, bad clients were answered {answered} times"));
                next_report = Instant::now() + Duration::from_millis(250);
            }
            if mb > MEMORY_MB && !killed {
                killed = true;
                record.line(&format!("memory {mb:.1} MB over the limit of {MEMORY_MB} MB: router killed"));
                router.kill();
            }
        }
        if !killed && router.has_ended() {
            record.line("the router ended by itself");
            killed = true;
        }
        thread::sleep(Duration::from_millis(10));
    }
    let (placed, unanswered) = callers.unanswered();
    record.line(&format!("peak memory {peak:.1} MB, limit {MEMORY_MB} MB, killed: {killed}"));
    record.line(&format!("usual calls taken: {placed}, without exactly one answer in time: {}", unanswered.len()));
    for call in unanswered {
        record.line(&format!(
            "  call {}: answers {:?}, connection ended: {}",
            call.id, call.answers, call.connection_ended
        ));
    }
    Ok(!killed)
}

/// One bad client: sends its set-ups at full speed and reads what it is sent.
fn flood(record: &Record, router: SocketAddr, client: usize, refused: &AtomicUsize) {
    let Ok(mut stream) = TcpStream::connect(router) else {
        return record.line(&format!("bad client {client}: not connected"));
    };
    let mut reader = stream.try_clone().expect("clone");
    let sender = thread::spawn(move || {
        // Unlike a usual description, this one is of no use to an exchange, which answers with an error.
        let head = invite(&format!("{:016x}", 0), BAD_RING_LIMIT_MS, "").len() + 4;
        let description = format!("x-{}", "y".repeat(MESSAGE_BYTES - head - 2));
        assert!(!description.starts_with(&DESCRIPTION[..16]));
        let mut sent = 0;
        for request in 0..REQUESTS {
            let id = format!("{:08x}{request:08x}", 0xbad0_0000_usize + client);
            if stream.write_all(invite(&id, BAD_RING_LIMIT_MS, &description).as_bytes()).is_err() {
                break;
            }
            sent += 1;
        }
        sent
    });
    let (mut buffer, mut tail) = (vec![0; 64 * 1024], Vec::new());
    while let Ok(n @ 1..) = reader.read(&mut buffer) {
        tail.extend_from_slice(&buffer[..n]);
        let count = tail.windows(8).filter(|w| *w == b"SIP/2.0 ").count();
        refused.fetch_add(count, Ordering::Relaxed);
        let keep = tail.len().saturating_sub(7);
        tail.drain(..keep);
    }
    let sent = sender.join().unwrap_or(0);
    record.line(&format!("bad client {client}: {sent} set-ups written, connection ended"));
}
