//! Case: a release that the router has heard is lost at a planned restart.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::Stdio;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::platform::{free_tcp, known, settings, CaseResult, Folder, Record, Router};
use crate::sip::{invite, read_message, wait_until_ready, Exchange, DESCRIPTION};

/// How long a call stands: the exchange releases it after this time.
const HOLD: Duration = Duration::from_secs(10);
const RING_LIMIT_MS: u32 = 3000;
/// Times from the start at which the callers place the calls, close their connection and come back.
const CALL_A_AT: Duration = Duration::from_secs(0);
const CALL_B_AT: Duration = Duration::from_secs(3);
/// Callers close a connection with no call on it after 4 s.
const CLOSE_AT: Duration = Duration::from_millis(7200);
const BACK_AT: Duration = Duration::from_secs(14);
/// The planned restart: SIGTERM 1 s after the end of call A.
const SIGTERM_AT: Duration = Duration::from_secs(11);
/// Earliest SIGKILL after SIGTERM: a longest deadline of 9 s counts as 3 s, and 0.7 s more.
const KILL_AFTER: Duration = Duration::from_millis(3700);
/// A release is due 8 s after the end if none could be sent; 50 ms are the tolerance of the protocol page.
const RELEASE_DUE: Duration = Duration::from_millis(8050);
const END: Duration = Duration::from_secs(23);

const CALLS: [(&str, Duration); 2] = [("00000000000000aa", CALL_A_AT), ("00000000000000bb", CALL_B_AT)];

/// What the callers have been told, by call: the answer, then the release.
pub type Told = Arc<Mutex<BTreeMap<String, Vec<(String, Instant)>>>>;

/// Opens a connection of the callers, and notes the final answers and releases that arrive on it.
pub fn connect(record: &Record, router: SocketAddr, told: &Told) -> CaseResult<TcpStream> {
    let stream = TcpStream::connect_timeout(&router, Duration::from_secs(2))?;
    record.line("the callers open a connection");
    let (mut reader, mut writer) = (BufReader::new(stream.try_clone()?), stream.try_clone()?);
    let (record, told) = (record.clone(), told.clone());
    thread::spawn(move || {
        while let Some((first, call, cseq)) = read_message(&mut reader) {
            record.line(&format!("callers received {first}, call {call} ({cseq})"));
            let is_release = first.starts_with("BYE ");
            if is_release {
                let answer = format!(
                    "SIP/2.0 200 OK\r\nVia: SIP/2.0/TCP quartzspindle\r\nCall-ID: {call}\r\n\
                     CSeq: {cseq}\r\nContent-Length: 0\r\n\r\n"
                );
                let _ = writer.write_all(answer.as_bytes());
            }
            if is_release || cseq.ends_with("INVITE") {
                told.lock().unwrap().entry(call).or_default().push((first, Instant::now()));
            }
        }
    });
    Ok(stream)
}

pub fn run(record: &Record, trouble: bool) -> CaseResult<bool> {
    let folder = Folder::create()?;
    let exchange = Exchange::start(HOLD)?;
    exchange.log_to(record);
    let listen = free_tcp()?;
    let config = format!(
        r#"{{"name": "n0", "listen": "{listen}", "seed": "8c1f30d27a5be964",
  "limits": {{"cores": 1.0, "memory_mb": 192, "sockets": 1024}},
  "known": {}, "settings": {}}}"#,
        known(&[exchange.address]),
        settings(0, 4)
    );
    let mut router = Router::start(record, &folder, "n0", &config, Stdio::null(), Stdio::null())?;
    if !wait_until_ready(listen, Duration::from_secs(10)) {
        return Err("the router did not become ready".into());
    }
    let told = Told::default();
    let start = Instant::now();
    let wait = |at: Duration| thread::sleep((start + at).saturating_duration_since(Instant::now()));
    let mut callers = connect(record, listen, &told)?;
    for (call, at) in CALLS {
        wait(at);
        record.line(&format!("the callers send the set-up of call {call}"));
        callers.write_all(invite(call, RING_LIMIT_MS, DESCRIPTION).as_bytes())?;
    }
    wait(CLOSE_AT);
    record.line("the callers close their connection, on which no set-up is open");
    callers.shutdown(std::net::Shutdown::Both)?;
    wait(SIGTERM_AT);
    if trouble {
        record.line("planned restart: SIGTERM");
        router.terminate();
        let terminated_at = Instant::now();
        while !router.has_ended() && terminated_at.elapsed() < KILL_AFTER {
            thread::sleep(Duration::from_millis(5));
        }
        record.line(&format!("the router ended {:?} after SIGTERM", terminated_at.elapsed()));
        router = Router::start(record, &folder, "n0", &config, Stdio::null(), Stdio::null())?;
    }
    wait(BACK_AT);
    let callers = connect(record, listen, &told)?;
    wait(END);
    drop(callers);
    drop(router);
    let told = told.lock().unwrap();
    let mut held = true;
    for (call, _) in CALLS {
        let messages = told.get(call).cloned().unwrap_or_default();
        let answered = messages.iter().filter(|(first, _)| first.contains(" 200 ")).count();
        let ended_at = exchange.ended_at(call).ok_or("a call has not ended at the exchange")?;
        let released = messages.iter().find(|(first, _)| first.starts_with("BYE "));
        let after = released.map(|(_, at)| at.duration_since(ended_at));
        record.line(&format!(
            "call {call}: answered {answered} times, ended at {:.3} s, released towards the callers {}",
            record.seconds(ended_at),
            after.map_or("never".to_owned(), |after| format!("{after:?} later"))
        ));
        if answered != 1 {
            return Err("a call was not established".into());
        }
        held &= after.is_some_and(|after| after <= RELEASE_DUE);
    }
    Ok(held)
}
