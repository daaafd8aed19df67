//! Adapter: reads batches of the wire on standard input, hands each event to the instance it is
//! for, and writes what the instances decide. It decides nothing itself.

#![forbid(unsafe_code)]
#![warn(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod wire;

use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use quartzspindle::interface::{Action, DirectoryEntry, Event};
use quartzspindle::Controller;
use serde_json::{json, Value};

#[derive(Default)]
struct Host {
    /// Instances by name; `None` after a fault of the module, when it only stays silent.
    instances: BTreeMap<String, Option<Controller>>,
    lists: BTreeMap<u64, Arc<Vec<DirectoryEntry>>>,
}

impl Host {
    fn batch(&mut self, line: &str) -> Result<String, String> {
        let batch: wire::Batch = serde_json::from_str(line).map_err(|e| e.to_string())?;
        let now = Duration::from_nanos(batch.time);
        let mut orders = Vec::new();
        for (index, value) in batch.happened.into_iter().enumerate() {
            self.event(value, now, &mut orders).map_err(|e| format!("event {index}: {e}"))?;
        }
        Ok(json!({ "orders": orders }).to_string())
    }

    fn event(&mut self, value: Value, now: Duration, orders: &mut Vec<Value>) -> Result<(), String> {
        let op = value.get("op").and_then(Value::as_str).ok_or("no op")?.to_owned();
        if op == "Directory" {
            let list: wire::Directory = read(value)?;
            let entries = list.rows.into_iter().map(wire::entry).collect::<Result<Vec<_>, _>>()?;
            self.lists.insert(list.list, Arc::new(entries));
            return Ok(());
        }
        if !wire::KNOWN.contains(&op.as_str()) {
            return Ok(());
        }
        let name = value.get("SoftswitchId").and_then(Value::as_str).ok_or("no SoftswitchId")?.to_owned();
        match op.as_str() {
            "Boot" => {
                let boot: wire::Boot = read(value)?;
                let made = Controller::new(wire::settings(boot.info)?, boot.seed, now);
                let slot = match made {
                    Ok(controller) => Some(controller),
                    Err(e) => {
                        orders.push(json!({"op": "Broken", "SoftswitchId": name, "Line": e.to_string()}));
                        None
                    }
                };
                self.instances.insert(name, slot);
            }
            "Halt" => {
                self.instances.remove(&name);
            }
            _ => {
                let event = wire::event(&op, value, &self.lists)?;
                let Some(slot) = self.instances.get_mut(&name) else {
                    return Ok(());
                };
                let Some(controller) = slot else { return Ok(()) };
                if let Err(fault) = run(controller, now, event, &name, orders) {
                    *slot = None;
                    orders.push(json!({"op": "Broken", "SoftswitchId": name, "Line": fault}));
                }
            }
        }
        Ok(())
    }
}

/// Runs one event; a panic in the module becomes its text.
fn run(
    controller: &mut Controller,
    now: Duration,
    event: Event,
    name: &str,
    orders: &mut Vec<Value>,
) -> Result<(), String> {
    let mut actions: Vec<Action> = Vec::new();
    let ran = catch_unwind(AssertUnwindSafe(|| controller.handle(now, event, &mut actions)));
    orders.extend(actions.into_iter().map(|action| wire::order(name, action)));
    ran.map_err(|fault| {
        let text = fault.downcast_ref::<&str>().map(|s| (*s).to_owned());
        text.or_else(|| fault.downcast_ref::<String>().cloned()).unwrap_or_else(|| "panic".to_owned())
    })
}

/// Null stands for absent.
fn strip(value: &mut Value) {
    match value {
        Value::Object(fields) => {
            fields.retain(|_, v| !v.is_null());
            fields.values_mut().for_each(strip);
        }
        Value::Array(items) => items.iter_mut().for_each(strip),
        _ => {}
    }
}

fn read<T: serde::de::DeserializeOwned>(mut value: Value) -> Result<T, String> {
    strip(&mut value);
    serde_json::from_value(value).map_err(|e| e.to_string())
}

fn main() -> ExitCode {
    let mut host = Host::default();
    let mut out = io::stdout().lock();
    for (number, line) in io::stdin().lock().lines().enumerate() {
        let reply = line.map_err(|e| e.to_string()).and_then(|line| host.batch(&line));
        let written = match reply {
            Ok(reply) => writeln!(out, "{reply}").and_then(|()| out.flush()).map_err(|e| e.to_string()),
            Err(e) => Err(e),
        };
        if let Err(e) = written {
            eprintln!("quartzspindle-adapter: line {}: {e}", number + 1);
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}
