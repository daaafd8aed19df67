//! Stand-ins for the cases of the review: clients, a booking exchange, a DNS server, a resolver, a terminal
//! and the platform that starts the router. Uses the standard library only.
//!
//! `standins CASE RECORD` runs one case, writes what was sent, answered and run to the file RECORD, and exits
//! with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With `TROUBLE=0` in the
//! environment the case runs without its disruption.

mod console;
mod memory;
mod platform;
mod release;
mod reload;
mod restart;
mod sip;
mod vrrp;

use std::process::exit;
use std::time::Duration;

/// Longest time that a case may take.
const WATCHDOG: Duration = Duration::from_secs(110);

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, record] = &arguments[..] else {
        eprintln!("usage: standins CASE RECORD");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = platform::Record::create(record);
    record.line(&format!("case {case}, TROUBLE={}", u8::from(trouble)));
    std::thread::spawn(|| {
        std::thread::sleep(WATCHDOG);
        eprintln!("the case took too long");
        exit(2); // the routers end with this process
    });
    let result = match case.as_str() {
        "release" => release::run(&record, trouble),
        "reload" => reload::run(&record, trouble),
        "restart" => restart::run(&record, trouble),
        "vrrp" => vrrp::run(&record, trouble),
        "console" => console::run(&record, trouble),
        "memory" => memory::run(&record, trouble),
        _ => Err(format!("no case {case}").into()),
    };
    match result {
        Ok(true) => {
            record.line("RESULT: the rule held");
            exit(0)
        }
        Ok(false) => {
            record.line("RESULT: the rule was broken");
            exit(1)
        }
        Err(e) => {
            record.line(&format!("RESULT: the case could not run: {e}"));
            exit(2)
        }
    }
}
