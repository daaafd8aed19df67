//! The platform: starts the router with the command of the deploy file, and keeps the record of the case.

use std::error::Error;
use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Instant;

pub type CaseResult<T> = Result<T, Box<dyn Error>>;

extern "C" {
    fn prctl(option: i32, ...) -> i32;
    fn kill(pid: i32, signal: i32) -> i32;
}
const PR_SET_PDEATHSIG: i32 = 1;
const SIGHUP: i32 = 1;
const SIGKILL: i32 = 9;
const SIGTERM: i32 = 15;

/// The record of a case, with the seconds since its start on each line.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("record file");
        Self { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    /// Returns a time as the record shows it.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.duration_since(self.start).as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:8.3} {text}", self.start.elapsed().as_secs_f64());
    }
}

/// Returns the project's root, which holds this program in target/review.
pub fn root() -> CaseResult<PathBuf> {
    let program = std::env::current_exe()?;
    Ok(program.ancestors().nth(3).ok_or("no root")?.to_owned())
}

/// Returns the command `run` of the deploy file.
fn run_command(root: &Path) -> CaseResult<String> {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml"))?;
    let line = text.lines().find_map(|l| l.strip_prefix("run = \"")).ok_or("no `run` in the deploy file")?;
    Ok(line.split('"').next().unwrap_or_default().to_owned())
}

/// Returns a free TCP address on loopback.
pub fn free_tcp() -> CaseResult<SocketAddr> {
    Ok(TcpListener::bind("127.0.0.1:0")?.local_addr()?)
}

/// Returns a free UDP address on loopback.
pub fn free_udp() -> CaseResult<SocketAddr> {
    Ok(UdpSocket::bind("127.0.0.1:0")?.local_addr()?)
}

/// A private folder for configurations and logs, removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> CaseResult<Self> {
        let path = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A router process. It is killed when the value is dropped, or when this process ends.
pub struct Router {
    pub child: Child,
    config: PathBuf,
}

impl Router {
    pub fn start(
        record: &Record,
        folder: &Folder,
        name: &str,
        config: &str,
        stdin: Stdio,
        stdout: Stdio,
    ) -> CaseResult<Self> {
        let root = root()?;
        let file = folder.0.join(format!("{name}.json"));
        std::fs::write(&file, config)?;
        let temporary = folder.0.join(format!("{name}.tmp"));
        std::fs::create_dir_all(&temporary)?;
        let run = run_command(&root)?;
        let mut command = Command::new("/bin/sh");
        command.args(["-c", &run]).current_dir(&root);
        command.env("LB_NAME", name).env("LB_CONFIG", &file).env("TMPDIR", &temporary);
        command.stdin(stdin).stdout(stdout).stderr(File::create(folder.0.join(format!("{name}.log")))?);
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let child = command.spawn()?;
        record.line(&format!("router {name} started: {run}"));
        Ok(Self { child, config: file })
    }

    /// Resident memory in MB (2^20 bytes), as the kernel reports it.
    pub fn resident_mb(&self) -> Option<f64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
        line.split_whitespace().next()?.parse::<f64>().ok().map(|kb| kb / 1024.0)
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().ok().flatten().is_some()
    }

    /// Replaces the configuration file in one step.
    pub fn replace_config(&self, text: &str) -> CaseResult<()> {
        let new = self.config.with_extension("new");
        std::fs::write(&new, text)?;
        Ok(std::fs::rename(&new, &self.config)?)
    }

    /// Sends SIGHUP to the program: the configuration file has been replaced.
    pub fn hang_up(&self) {
        unsafe { kill(self.child.id() as i32, SIGHUP) };
    }

    /// Sends SIGTERM to the program: a planned restart begins.
    pub fn terminate(&self) {
        unsafe { kill(self.child.id() as i32, SIGTERM) };
    }

    pub fn kill(&mut self) {
        unsafe { kill(self.child.id() as i32, SIGKILL) };
        let _ = self.child.wait();
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The settings of a small deployment, as the example of the wire page gives them: four zones, two classes,
/// `own` the router's own node.
pub fn settings(own: u32, fleet: u32) -> String {
    format!(
        r#"{{
  "Classes": [
    {{"AimNs": 2000000000, "DeadlineNs": 9000000000, "DedupScope": "all", "Effect": "safe", "LateShare": 0.25,
      "Name": "slot-check", "Stream": true, "WindowNs": 5000000000, "Worth": 1.0}},
    {{"AimNs": 2000000000, "DeadlineNs": 9000000000, "DedupScope": "all", "Effect": "safe", "LateShare": 0.1,
      "Name": "family-booking", "Stream": true, "WindowNs": 5000000000, "Worth": 3.0}}],
  "Clients": {{"MarksRetry": true}},
  "Contract": {{"AnswerSlackNs": 20000000, "AskWithinNs": 10000000000, "ColdFrom": 0.28, "ColdNs": 14000000000,
    "DrainGraceNs": 500000000, "FallMultiple": 2.0, "FallNs": 1000000000}},
  "Dcs": ["ljubljana", "maribor", "koper", "novo-mesto"],
  "Domain": {{"Advice": false, "ChannelsNeeded": [1, 2], "ClassHoldNs": [10900000000, 14100000000],
    "GivesWait": false, "GuardNs": 500000000, "OwnNumber": {own}, "PeerLoad": "answers", "ResendNs": 0,
    "SkilledPools": [], "Topology": "meshed"}},
  "FleetSize": {fleet},
  "Goal": {{"Whole": 0.6, "WorstClass": 0.2, "WorstTenant": 0.0, "WorstWindow": 0.2}},
  "Kinds": ["standard"], "Me": {own}, "Orgs": [],
  "PolicyLimits": {{"Cancelling": true, "ConnIdleNs": 600000000000, "ConnectTimeoutNs": 500000000,
    "CpuUsPerRequest": 0.0, "CpuUsPerS": 400000, "MaxAttempts": 5, "MaxRetryAfterNs": 2000000000,
    "OpenCap": 20000, "Peers": false, "Probes": false, "RetryAfter": true, "SecondCopies": false,
    "StreamsPerConn": 1048576}},
  "RegistryMode": "push", "ServiceType": "trunks",
  "Stats": {{"How": "answers", "Names": ["spare", "total", "lat_ms"]}},
  "TickNs": 5000000, "Tier": 0, "Tiers": ["booking-exchanges"], "Weights": "none", "WorthBy": "request",
  "Zone": 0}}"#
    )
}

/// One exchange in an event of the key `known`, ready, for a node.
pub fn host(node: u32, address: &SocketAddr) -> String {
    format!(
        r#"{{"host": "s-{node:08x}", "dial": "{address}", "site": "ljubljana", "class": "standard", "block": {node},
        "health": "active", "share": 1, "born_ms": 0}}"#
    )
}

/// The configuration's key `known`, with one exchange at each address, for the nodes 1, 2 and so on.
pub fn known(exchanges: &[SocketAddr]) -> String {
    let hosts: Vec<String> = exchanges.iter().zip(1..).map(|(address, node)| host(node, address)).collect();
    format!(
        r#"{{"index": 1, "updates": [{{"index": 1, "endpoints": {{"seq": 1, "whole": true, "hosts": [{}]}}}}]}}"#,
        hosts.join(", ")
    )
}
