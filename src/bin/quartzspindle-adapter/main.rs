//! Runs controllers for the simulator: reads batches of events as JSON lines from standard input, passes
//! each event to the controller it names and writes the controllers' orders to standard output, one line
//! for each batch. The adapter makes no decisions itself.

#![forbid(unsafe_code)]
#![warn(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod wire;

use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use quartzspindle::interface::{Action, Event, Member};
use quartzspindle::Controller;
use serde_json::{json, Value};

#[derive(Default)]
struct Adapter {
    /// Controllers by instance name (`SoftswitchId`); `None` after a controller panicked or rejected its
    /// settings. Events for such an instance are ignored.
    controllers: BTreeMap<String, Option<Controller>>,
    /// Memberships by number (`Ref`), to which `Announce` events refer.
    memberships: BTreeMap<u64, Arc<Vec<Member>>>,
}

impl Adapter {
    /// Processes one input line and returns the output line.
    fn handle_batch(&mut self, line: &str) -> Result<String, String> {
        let batch: wire::Batch = serde_json::from_str(line).map_err(|e| e.to_string())?;
        let now = Duration::from_nanos(batch.time);
        let mut orders = Vec::new();
        for (index, value) in batch.happened.into_iter().enumerate() {
            self.handle_event(value, now, &mut orders).map_err(|e| format!("event {index}: {e}"))?;
        }
        Ok(json!({ "orders": orders }).to_string())
    }

    /// Processes one event and appends the resulting orders. Events of unknown kinds and events for unknown
    /// instances are ignored.
    fn handle_event(&mut self, value: Value, now: Duration, orders: &mut Vec<Value>) -> Result<(), String> {
        let op = value.get("op").and_then(Value::as_str).ok_or("missing or invalid field `op`")?.to_owned();
        if op == "Directory" {
            let membership: wire::Membership = deserialize_without_nulls(value)?;
            let members =
                membership.rows.into_iter().map(wire::parse_member).collect::<Result<Vec<_>, _>>()?;
            self.memberships.insert(membership.membership_number, Arc::new(members));
            return Ok(());
        }
        if !wire::INSTANCE_EVENTS.contains(&op.as_str()) {
            return Ok(());
        }
        let name = value
            .get("SoftswitchId")
            .and_then(Value::as_str)
            .ok_or("missing or invalid field `SoftswitchId`")?
            .to_owned();
        match op.as_str() {
            "Boot" => {
                let boot: wire::Boot = deserialize_without_nulls(value)?;
                let created = Controller::new(wire::parse_settings(boot.info)?, boot.seed, now);
                let instance = match created {
                    Ok(controller) => Some(controller),
                    Err(e) => {
                        orders.push(json!({"op": "Broken", "SoftswitchId": name, "Line": e.to_string()}));
                        None
                    }
                };
                self.controllers.insert(name, instance);
            }
            "Halt" => {
                self.controllers.remove(&name);
            }
            _ => {
                let event = wire::parse_event(&op, value, &self.memberships)?;
                let Some(instance) = self.controllers.get_mut(&name) else {
                    return Ok(());
                };
                let Some(controller) = instance else { return Ok(()) };
                if let Err(panic_message) = run_controller(controller, now, event, &name, orders) {
                    *instance = None;
                    orders.push(json!({"op": "Broken", "SoftswitchId": name, "Line": panic_message}));
                }
            }
        }
        Ok(())
    }
}

/// Passes one event to a controller and appends its orders. If the controller panics, the orders that it had
/// given are kept and the panic message is returned as the error.
fn run_controller(
    controller: &mut Controller,
    now: Duration,
    event: Event,
    name: &str,
    orders: &mut Vec<Value>,
) -> Result<(), String> {
    let mut actions: Vec<Action> = Vec::new();
    let result = catch_unwind(AssertUnwindSafe(|| controller.handle(now, event, &mut actions)));
    orders.extend(actions.into_iter().filter_map(|action| wire::encode_order(name, action)));
    result.map_err(|payload| {
        let text = payload.downcast_ref::<&str>().map(|s| (*s).to_owned());
        text.or_else(|| payload.downcast_ref::<String>().cloned()).unwrap_or_else(|| "panic".to_owned())
    })
}

/// Removes object fields that are null, since a null field means the same as an absent one.
fn remove_nulls(value: &mut Value) {
    match value {
        Value::Object(fields) => {
            fields.retain(|_, v| !v.is_null());
            fields.values_mut().for_each(remove_nulls);
        }
        Value::Array(items) => items.iter_mut().for_each(remove_nulls),
        _ => {}
    }
}

fn deserialize_without_nulls<T: serde::de::DeserializeOwned>(mut value: Value) -> Result<T, String> {
    remove_nulls(&mut value);
    serde_json::from_value(value).map_err(|e| e.to_string())
}

fn main() -> ExitCode {
    let mut adapter = Adapter::default();
    let mut out = io::stdout().lock();
    for (number, line) in io::stdin().lock().lines().enumerate() {
        let reply = line.map_err(|e| e.to_string()).and_then(|line| adapter.handle_batch(&line));
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
