//! Case: a release is used up on connections of bad clients, and the callers are never told.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::process::Stdio;
use std::thread;
use std::time::{Duration, Instant};

use crate::platform::{free_tcp, known, settings, CaseResult, Folder, Record, Router};
use crate::restart::{connect, Told};
use crate::sip::{invite, wait_until_ready, Exchange, DESCRIPTION};

/// How long a call stands: the exchange releases it after this time.
const HOLD: Duration = Duration::from_secs(10);
const RING_LIMIT_MS: u32 = 3000;
/// Times from the start: the callers close their connection, on which no set-up has been open for 4 s; bad
/// clients come; the callers come back and stay.
const CLOSE_AT: Duration = Duration::from_millis(4200);
const BAD_CLIENTS_AT: Duration = Duration::from_millis(10500);
const BACK_AT: Duration = Duration::from_secs(13);
const END: Duration = Duration::from_secs(24);
/// Number of bad clients, and the time between two of them.
const BAD_CLIENTS: usize = 8;
const BAD_CLIENT_INTERVAL: Duration = Duration::from_millis(250);
/// A release is due 8 s after the end if none could be sent; 50 ms are the tolerance of the protocol page.
const RELEASE_DUE: Duration = Duration::from_millis(8050);

/// The call that ends while no caller is connected, and a call that the callers place when they are back.
const CALL: &str = "00000000000000aa";
const LATER_CALL: &str = "00000000000000cc";

/// A bad client: half a request followed by a close.
fn run_bad_client(record: &Record, router: SocketAddr) -> CaseResult<()> {
    let mut stream = TcpStream::connect_timeout(&router, Duration::from_secs(2))?;
    let request = invite("00000000000000bd", RING_LIMIT_MS, DESCRIPTION);
    stream.write_all(&request.as_bytes()[..request.len() / 2])?;
    stream.shutdown(Shutdown::Both)?;
    record.line("a bad client connects, sends half a request and closes");
    Ok(())
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
    let router = Router::start(record, &folder, "n0", &config, Stdio::null(), Stdio::null())?;
    if !wait_until_ready(listen, Duration::from_secs(10)) {
        return Err("the router did not become ready".into());
    }
    let told = Told::default();
    let start = Instant::now();
    let wait = |at: Duration| thread::sleep((start + at).saturating_duration_since(Instant::now()));
    let mut callers = connect(record, listen, &told)?;
    record.line(&format!("the callers send the set-up of call {CALL}"));
    callers.write_all(invite(CALL, RING_LIMIT_MS, DESCRIPTION).as_bytes())?;
    wait(CLOSE_AT);
    record.line("the callers close their connection, on which no set-up is open");
    callers.shutdown(Shutdown::Both)?;
    wait(BAD_CLIENTS_AT);
    for number in 0..BAD_CLIENTS {
        wait(BAD_CLIENTS_AT + BAD_CLIENT_INTERVAL * number as u32);
        if trouble {
            run_bad_client(record, listen)?;
        }
    }
    wait(BACK_AT);
    let mut callers = connect(record, listen, &told)?;
    record.line(&format!("the callers send the set-up of call {LATER_CALL}, and stay connected"));
    callers.write_all(invite(LATER_CALL, RING_LIMIT_MS, DESCRIPTION).as_bytes())?;
    wait(END);
    drop(callers);
    drop(router);
    let told = told.lock().unwrap();
    let count = |call: &str| {
        told.get(call).map_or(0, |messages| messages.iter().filter(|(m, _)| m.contains(" 200 ")).count())
    };
    if count(CALL) != 1 || count(LATER_CALL) != 1 {
        return Err("a call was not established".into());
    }
    let ended_at = exchange.ended_at(CALL).ok_or("the call has not ended at the exchange")?;
    let released = told.get(CALL).into_iter().flatten().find(|(message, _)| message.starts_with("BYE "));
    let after = released.map(|(_, at)| at.duration_since(ended_at));
    record.line(&format!(
        "call {CALL}: ended at {:.3} s, released towards the callers {}",
        record.seconds(ended_at),
        after.map_or("never".to_owned(), |after| format!("{after:?} later"))
    ));
    Ok(after.is_some_and(|after| after <= RELEASE_DUE))
}
