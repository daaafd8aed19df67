//! The router process and its configuration file.

use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};

use crate::scenario::Scenario;

/// A running router process. It is killed when this value is dropped.
#[derive(Debug)]
pub struct RouterProcess {
    child: Child,
}

impl RouterProcess {
    /// Starts the router program with a configuration file and appends its log to the file `log`.
    ///
    /// # Errors
    /// Returns an error if the log can't be opened or the program can't be started.
    pub fn start(program: &Path, config: &Path, log: &Path) -> io::Result<Self> {
        let log = File::options().create(true).append(true).open(log)?;
        let mut command = Command::new(program);
        command.env("LB_CONFIG", config).stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        Ok(Self { child: command.spawn()? })
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw) {
            // An error means that the process has ended already.
            let _ = kill_process(pid, signal);
        }
    }

    /// Returns the exit status if the process has ended.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Returns the number of file descriptors that the process holds.
    pub fn open_descriptors(&self) -> Option<usize> {
        Some(std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).ok()?.count())
    }

    /// Returns the resident memory of the process in MB.
    pub fn resident_memory_mb(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
        Some(line.trim().split(' ').next()?.parse::<u64>().ok()? / 1024)
    }
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Configuration file of a run. Each write replaces the whole file.
#[derive(Debug)]
pub struct ConfigFile {
    path: PathBuf,
    value: Value,
}

impl ConfigFile {
    /// Returns the configuration for a scenario; nothing is written yet.
    pub fn new(path: PathBuf, scenario: &Scenario, listen: SocketAddr) -> Self {
        let class = |c: &crate::scenario::ClassSettings| {
            json!({"Name": c.name, "AimNs": nanos(c.latency_objective), "DeadlineNs": nanos(c.deadline),
                "Worth": 1.0, "LateShare": 0.2, "Effect": if c.is_safe { "safe" } else { "unsafe" },
                "DedupScope": "all", "Stream": true, "WindowNs": 5_000_000_000_u64})
        };
        let rules = &scenario.rules;
        let classes: Vec<Value> = rules.classes.iter().map(class).collect();
        let value = json!({
            "name": "n0", "listen": listen.to_string(), "seed": format!("{:016x}", scenario.seed),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": scenario.max_descriptors},
            "settings": {
                "Classes": classes, "FleetSize": scenario.exchange_count, "Me": rules.own_node,
                "Dcs": ["east"], "Clients": {"MarksRetry": true}, "TickNs": 5_000_000, "Zone": 0,
                "Domain": {"OwnNumber": rules.own_node, "Topology": "meshed",
                    "GuardNs": nanos(rules.guard_time),
                    "ChannelsNeeded": rules.classes.iter().map(|_| 1).collect::<Vec<u32>>()},
                "Stats": {"How": "answers", "Names": ["spare", "total", "lat_ms"]},
                "Contract": {"DrainGraceNs": nanos(rules.drain_grace), "ColdFrom": 0.28,
                    "ColdNs": 14_000_000_000_u64, "FallMultiple": 2.0, "FallNs": 1_000_000_000},
                "PolicyLimits": {"MaxAttempts": 5, "Cancelling": true, "RetryAfter": rules.hold_off_required,
                    "MaxRetryAfterNs": 2_000_000_000, "ConnectTimeoutNs": nanos(scenario.connect_timeout)}}});
        Self { path, value }
    }

    /// Returns the path of the file.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Sets a top-level key.
    pub fn set(&mut self, key: &str, value: Value) {
        self.value[key] = value;
    }

    /// Writes the file by renaming a complete new one, so that the router never reads half a file.
    ///
    /// # Errors
    /// Returns an error if the file can't be written.
    pub fn write(&self) -> io::Result<()> {
        let temporary = self.path.with_extension("new");
        std::fs::write(&temporary, self.value.to_string())?;
        std::fs::rename(&temporary, &self.path)
    }
}

fn nanos(duration: std::time::Duration) -> u64 {
    duration.as_nanos() as u64
}
