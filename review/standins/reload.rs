//! Case: a reload sends set-ups to an exchange that drains, and releases standing calls that are not over.

use std::process::Stdio;
use std::thread;
use std::time::{Duration, Instant};

use crate::platform::{free_tcp, host, settings, CaseResult, Folder, Record, Router};
use crate::sip::{wait_until_ready, Callers, Exchange};

const RING_LIMIT_MS: u32 = 3000;
/// How long a call stands: the exchange releases it after this time.
const HOLD: Duration = Duration::from_secs(14);
/// Number of calls to exchange 3, one every 200 ms from the start.
const CALLS: u32 = 10;
/// Calls to exchange 1, which drains, one every 250 ms.
const DRAINED_CALLS: std::ops::Range<u32> = 12..36;
const DRAINED_INTERVAL: Duration = Duration::from_millis(250);
/// Time of the reload, and of the end of the observation before any call is over.
const RELOAD_AT: Duration = Duration::from_secs(6);
const OBSERVED: Duration = Duration::from_secs(13);
/// End of the case, when every call is over and released.
const END: Duration = Duration::from_secs(19);

pub fn run(record: &Record, trouble: bool) -> CaseResult<bool> {
    let folder = Folder::create()?;
    let exchanges = [Exchange::start(HOLD)?, Exchange::start(HOLD)?, Exchange::start(HOLD)?];
    let hosts = [1, 2, 3].map(|node| host(node, &exchanges[node as usize - 1].address));
    let listen = free_tcp()?;
    // The first event holds the whole list, the later ones what has changed: exchange 1 drains, and exchange 3
    // has been added.
    let config = |sockets: u32| {
        format!(
            r#"{{"name": "appliance", "listen": "{listen}", "seed": "8c1f30d27a5be964",
  "limits": {{"cores": 1.0, "memory_mb": 192, "sockets": {sockets}}},
  "known": {{"index": 3, "updates": [
    {{"index": 1, "endpoints": {{"seq": 1, "whole": true, "hosts": [{}, {}]}}}},
    {{"index": 2, "endpoints": {{"seq": 2, "whole": false, "hosts": [{}]}}}},
    {{"index": 3, "endpoints": {{"seq": 3, "whole": false, "hosts": [{}]}}}}]}},
  "settings": {}}}"#,
            hosts[0],
            hosts[1],
            hosts[0].replace("active", "leaving"),
            hosts[2],
            settings(0, 4)
        )
    };
    let router = Router::start(record, &folder, "appliance", &config(1024), Stdio::null(), Stdio::null())?;
    if !wait_until_ready(listen, Duration::from_secs(10)) {
        return Err("the router did not become ready".into());
    }
    record.line("the router knows from its start that exchange 1 drains");
    let callers = Callers::new(record, listen);
    let (start, mut placed, mut drained, mut reloaded) = (Instant::now(), 0, DRAINED_CALLS.start, false);
    while start.elapsed() < OBSERVED {
        if placed < CALLS && start.elapsed() >= Duration::from_millis(200) * placed {
            callers.place_call_to(3, RING_LIMIT_MS);
            placed += 1;
        }
        if drained < DRAINED_CALLS.end && start.elapsed() >= DRAINED_INTERVAL * drained {
            callers.place_call_to(1, RING_LIMIT_MS);
            drained += 1;
        }
        if trouble && !reloaded && start.elapsed() >= RELOAD_AT {
            reloaded = true;
            record.line("the configuration file is replaced (only limits.sockets differs), SIGHUP");
            router.replace_config(&config(1000))?;
            router.hang_up();
        }
        thread::sleep(Duration::from_millis(10));
    }
    let to_drained = exchanges[0].set_ups();
    record.line(&format!("set-ups that reached exchange 1, which drains: {}", to_drained.len()));
    for (tag, at) in &to_drained {
        record.line(&format!("  set-up of call {tag} at {:.3} s", record.seconds(*at)));
    }
    let standing: Vec<String> = exchanges.iter().flat_map(Exchange::standing).collect();
    let (established, cut): (usize, Vec<_>) = {
        let calls = callers.calls.lock().unwrap();
        let answered = calls.values().filter(|c| c.answers.iter().any(|(status, _)| status == "200"));
        let cut = answered.clone().filter(|c| c.released_at.is_some() && standing.contains(&c.id)).cloned();
        (answered.count(), cut.collect())
    };
    record.line(&format!(
        "calls answered 200: {established}, standing at the exchanges: {}, released to their callers although they \
         stand: {}",
        standing.len(),
        cut.len()
    ));
    for call in &cut {
        let after = call.released_at.map(|at| at.duration_since(call.sent_at));
        record.line(&format!("  call {}: released {after:?} after its set-up", call.id));
    }
    while start.elapsed() < END {
        thread::sleep(Duration::from_millis(50));
    }
    let (_, unanswered) = callers.unanswered();
    record.line(&format!("calls without exactly one answer in time: {}", unanswered.len()));
    if established < CALLS as usize {
        return Err("not every call to exchange 3 was established".into());
    }
    Ok(to_drained.is_empty() && cut.is_empty() && unanswered.is_empty())
}
