//! Stand-ins for the cases of this review: a booking exchange, a client, the coordinator, and the start and
//! the end of the router's process. They use the standard library only and loopback addresses only, and they do
//! what PROTOCOL and DEPLOY describe.

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Why a case could not run.
pub type CaseError = Box<dyn std::error::Error>;
/// Whether the rule held; an error if the case could not run.
pub type CaseResult = Result<bool, CaseError>;

/// Longest time that a case may take.
const CASE_TIMEOUT: Duration = Duration::from_secs(110);
/// Time within which the router has to be ready (30 s at the start of a run).
const READY_TIMEOUT: Duration = Duration::from_secs(30);

// ---- the record and the surroundings of a case ---------------------------------------------------

/// What all parts of a case share.
pub struct Context {
    pub root: PathBuf,
    pub dir: PathBuf,
    pub has_trouble: bool,
    start: Instant,
    file: Mutex<File>,
    /// Processes that the case has started and that run.
    processes: Mutex<Vec<u32>>,
}

static CONTEXT: OnceLock<Context> = OnceLock::new();

pub fn context() -> &'static Context {
    CONTEXT.get().expect("the context is set at the start")
}

/// Sets the context of the case, and ends everything if the case takes too long.
pub fn start_case(root: &str, dir: &str, record: &str) -> Result<(), CaseError> {
    let has_trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let context = Context {
        root: root.into(),
        dir: dir.into(),
        has_trouble,
        start: Instant::now(),
        file: Mutex::new(File::create(record)?),
        processes: Mutex::default(),
    };
    let _ = CONTEXT.set(context);
    note(&format!("case started, trouble: {}", if has_trouble { "yes" } else { "no" }));
    thread::spawn(|| {
        thread::sleep(CASE_TIMEOUT);
        note("the case took too long and could not run");
        end_processes();
        std::process::exit(2);
    });
    Ok(())
}

/// Writes a line to the record, with the milliseconds since the start.
pub fn note(text: &str) {
    let line = format!("{:>8.3} {}\n", context().start.elapsed().as_secs_f64(), text.trim_end());
    let _ = lock(&context().file).write_all(line.as_bytes());
}

/// Ends all processes that the case has started.
pub fn end_processes() {
    for pid in lock(&context().processes).drain(..) {
        signal(pid, "CONT");
        signal(pid, "KILL");
    }
}

/// Sends a signal to a process that the case has started.
pub fn signal(pid: u32, name: &str) {
    let command = format!("kill -{name} {pid}");
    let _ = Command::new("/bin/sh").args(["-c", &command]).stderr(Stdio::null()).status();
}

/// Records a process, so that it is ended with the case.
pub fn register(child: &Child) {
    lock(&context().processes).push(child.id());
}

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

pub fn wait_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Waits until a condition holds; returns false if it does not within the time.
pub fn wait_until(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while !holds() {
        if Instant::now() >= end {
            return false;
        }
        wait_ms(2);
    }
    true
}

/// Returns a free TCP address on loopback.
pub fn free_address() -> Result<SocketAddr, CaseError> {
    Ok(TcpListener::bind("127.0.0.1:0")?.local_addr()?)
}

/// Returns a free UDP address on loopback.
pub fn free_udp_address() -> Result<SocketAddr, CaseError> {
    Ok(UdpSocket::bind("127.0.0.1:0")?.local_addr()?)
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

// ---- the router ----------------------------------------------------------------------------------

/// Settings of a small deployment: those of `termin-slovenija`, with its classes, aims, deadlines and rules.
pub fn settings(fleet_size: u32, connection_idle_ms: u64) -> String {
    format!(
        r#"{{"Classes":[
 {{"Name":"slot-check","AimNs":2000000000,"DeadlineNs":9000000000,"Worth":1.0,"LateShare":0.25,"Effect":"safe","DedupScope":"all","Stream":true,"WindowNs":5000000000}},
 {{"Name":"family-booking","AimNs":2000000000,"DeadlineNs":9000000000,"Worth":3.0,"LateShare":0.1,"Effect":"safe","DedupScope":"all","Stream":true,"WindowNs":5000000000}}],
 "Clients":{{"MarksRetry":true}},
 "Contract":{{"AnswerSlackNs":20000000,"AskWithinNs":10000000000,"DrainGraceNs":500000000,"ColdFrom":0.28,"ColdNs":14000000000,"FallMultiple":2.0,"FallNs":1000000000}},
 "Dcs":["ljubljana","maribor","koper","novo-mesto"],
 "Domain":{{"Advice":false,"ChannelsNeeded":[1,2],"ClassHoldNs":[10900000000,14100000000],"GivesWait":false,"GuardNs":500000000,"OwnNumber":0,"PeerLoad":"answers","ResendNs":0,"SkilledPools":[],"Topology":"meshed"}},
 "FleetSize":{fleet_size},"Me":0,"Kinds":["standard"],"Orgs":[],"OverShareWorth":0.1,
 "PolicyLimits":{{"Cancelling":true,"ConnIdleNs":{idle},"ConnectTimeoutNs":500000000,"CpuUsPerS":400000,"MaxAttempts":5,"MaxRetryAfterNs":2000000000,"OpenCap":20000,"Peers":false,"Probes":false,"RetryAfter":true,"SecondCopies":false,"StreamsPerConn":1048576}},
 "RegistryMode":"push","ServiceType":"trunks","Stats":{{"How":"answers","Names":["spare","total","lat_ms"]}},
 "TickNs":5000000,"Tier":0,"Tiers":["booking-exchanges"],"Weights":"none","WorthBy":"request","Zone":0}}"#,
        idle = connection_idle_ms * 1_000_000,
    )
}

/// One exchange in `known`.
pub fn host(id: u32, address: SocketAddr, node: u32, health: &str) -> String {
    format!(
        r#"{{"host":"s-{id:08x}","dial":"{address}","site":"ljubljana","class":"standard","block":{node},"health":"{health}","share":1,"born_ms":0}}"#
    )
}

/// One event in `known`.
pub fn known_event(index: u32, is_whole: bool, hosts: &[String]) -> String {
    format!(
        r#"{{"index":{index},"endpoints":{{"seq":{index},"whole":{is_whole},"hosts":[{}]}}}}"#,
        hosts.join(",")
    )
}

/// A configuration file. `more` holds further keys, each with a comma at its end.
pub fn config(listen: SocketAddr, events: &[String], more: &str, settings: &str) -> String {
    let (last, events) = (events.len(), events.join(","));
    format!(
        r#"{{"name":"n0","listen":"{listen}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},{more}
"known":{{"index":{last},"updates":[{events}]}},
"settings":{settings}}}"#
    )
}

/// The router's process.
pub struct Router {
    pub child: Child,
    pub listen: SocketAddr,
}

impl Router {
    /// Starts the router with the command `run` of the deploy file. `console` tells whether its standard input
    /// and output are pipes of the caller.
    pub fn start(name: &str, listen: SocketAddr, config: &str, console: bool) -> Result<Self, CaseError> {
        let context = context();
        let deploy = std::fs::read_to_string(context.root.join("deploy/balancer.toml"))?;
        let run = deploy.lines().find_map(|l| l.strip_prefix("run = \"")?.split('"').next());
        let run = run.ok_or("the deploy file has no command `run`")?;
        let (file, tmp) = (context.dir.join(format!("{name}.json")), context.dir.join(format!("{name}-tmp")));
        std::fs::write(&file, config)?;
        std::fs::create_dir_all(&tmp)?;
        let log = File::options().create(true).append(true).open(context.dir.join(format!("{name}.log")))?;
        let pipe = || if console { Stdio::piped() } else { Stdio::null() };
        let child = Command::new("/bin/sh")
            .args(["-c", run])
            .current_dir(&context.root)
            .env("LB_NAME", name)
            .env("LB_LISTEN", listen.to_string())
            .env("LB_CONFIG", &file)
            .env("TMPDIR", &tmp)
            .stdin(pipe())
            .stdout(pipe())
            .stderr(log)
            .spawn()?;
        register(&child);
        note(&format!("router {name} started as process {}: {run}", child.id()));
        Ok(Self { child, listen })
    }

    /// Waits until the router passes a test.
    pub fn wait_ready(&self) -> Result<(), CaseError> {
        if !wait_until(READY_TIMEOUT, || passes_test(self.listen, Duration::from_millis(500))) {
            return Err("the router was not ready in time".into());
        }
        note("router passes tests");
        Ok(())
    }

    pub fn signal(&self, name: &str) {
        note(&format!("SIG{name} to router process {}", self.child.id()));
        signal(self.child.id(), name);
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        self.signal("KILL");
        let _ = self.child.wait();
        lock(&context().processes).retain(|pid| *pid != self.child.id());
    }
}

/// Returns whether a test (`OPTIONS`) on a new connection passes within a time.
pub fn passes_test(address: SocketAddr, limit: Duration) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, limit) else { return false };
    let _ = stream.set_read_timeout(Some(limit));
    let test =
        "OPTIONS sip:ping@net SIP/2.0\r\nVia: SIP/2.0/TCP front\r\nCall-ID: 0000000000000001\r\nCSeq: 1 \
                OPTIONS\r\nContent-Length: 0\r\n\r\n";
    let mut answer = [0; 16];
    stream.write_all(test.as_bytes()).is_ok()
        && stream.read_exact(&mut answer).is_ok()
        && answer.starts_with(b"SIP/2.0 200")
}

// ---- a booking exchange --------------------------------------------------------------------------

/// A call as an exchange knows it.
#[derive(Clone, Copy)]
struct ExchangeCall {
    connection: u64,
    stands: bool,
}

#[derive(Default)]
struct ExchangeState {
    /// Open connections by number, with the time of the last message; those that the exchange has forgotten are
    /// not among them.
    connections: BTreeMap<u64, (TcpStream, Instant)>,
    /// Connections that the exchange has forgotten: open sockets that are neither read nor written.
    forgotten: Vec<TcpStream>,
    calls: HashMap<String, ExchangeCall>,
    /// Releases that the router has not confirmed. They are sent on each connection opened.
    unconfirmed: Vec<String>,
    /// Arrivals of set-ups.
    set_ups: Vec<(Instant, String)>,
    /// Calls that the router has released or given up.
    released_by_router: Vec<String>,
    /// Calls that were cut because the exchange stopped.
    cut: Vec<String>,
}

/// A booking exchange.
pub struct Exchange {
    pub address: SocketAddr,
    pub id: u32,
    pub node: u32,
    state: Mutex<ExchangeState>,
    last_connection: AtomicU64,
    /// Whether new connections are refused: the exchange has as many as it takes.
    pub is_refusing: AtomicBool,
    /// Number of circuits between the router's exchange and this one.
    pub circuits: AtomicU64,
    /// Number of connections that the exchange takes; 0 for any. Further ones do not come up.
    pub max_connections: AtomicU64,
    /// Time from a set-up to its answer in milliseconds.
    pub answer_ms: AtomicU64,
    /// Length of a call in milliseconds; 0 if calls end only with [`Exchange::end_call`].
    pub hold_ms: AtomicU64,
    /// Time in milliseconds after which an idle connection ends; 0 for never.
    pub idle_ms: AtomicU64,
    /// Whether an idle connection is forgotten at its end, and not closed.
    pub forgets_idle: AtomicBool,
}

impl Exchange {
    pub fn start(id: u32, node: u32) -> Result<Arc<Self>, CaseError> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let exchange = Arc::new(Self {
            address: listener.local_addr()?,
            id,
            node,
            state: Mutex::default(),
            last_connection: AtomicU64::new(0),
            is_refusing: AtomicBool::new(false),
            circuits: AtomicU64::new(100),
            max_connections: AtomicU64::new(0),
            answer_ms: AtomicU64::new(15),
            hold_ms: AtomicU64::new(0),
            idle_ms: AtomicU64::new(0),
            forgets_idle: AtomicBool::new(false),
        });
        let accepting = exchange.clone();
        thread::spawn(move || accepting.accept(listener));
        Ok(exchange)
    }

    pub fn name(&self) -> String {
        format!("s-{:08x}", self.id)
    }

    pub fn host(&self, health: &str) -> String {
        host(self.id, self.address, self.node, health)
    }

    fn accept(self: Arc<Self>, listener: TcpListener) {
        let _ = listener.set_nonblocking(true);
        let mut listener = Some(listener);
        loop {
            if self.is_refusing.load(SeqCst) {
                listener = None;
            } else if listener.is_none() {
                listener = TcpListener::bind(self.address).ok();
                listener.iter().for_each(|l| drop(l.set_nonblocking(true)));
            }
            let max = self.max_connections.load(SeqCst);
            if max > 0 && lock(&self.state).connections.len() as u64 >= max {
                return self.leave_pending(listener);
            }
            match listener.as_ref().map(TcpListener::accept) {
                Some(Ok((stream, _))) => self.open(stream),
                _ => wait_ms(2),
            }
        }
    }

    /// Takes no further connection. Those that are opened nevertheless do not come up, since the queue of the
    /// listening socket is kept full with connections of the exchange's own.
    fn leave_pending(&self, _listener: Option<TcpListener>) {
        note(&format!("{} has as many connections as it takes", self.name()));
        let mut fillers = Vec::new();
        loop {
            match TcpStream::connect_timeout(&self.address, Duration::from_millis(100)) {
                Ok(stream) => fillers.push(stream),
                Err(_) => wait_ms(100),
            }
        }
    }

    fn open(self: &Arc<Self>, stream: TcpStream) {
        let number = self.last_connection.fetch_add(1, SeqCst) + 1;
        let _ = (stream.set_nonblocking(false), stream.set_nodelay(true));
        note(&format!("{} connection {number} opened", self.name()));
        let Ok(reading) = stream.try_clone() else { return };
        let mut state = lock(&self.state);
        state.connections.insert(number, (stream, Instant::now()));
        let load = self.load_line(&state);
        self.write(&mut state, number, &load);
        for call in state.unconfirmed.clone() {
            self.write(&mut state, number, &finish_line(&call, 16));
        }
        drop(state);
        let exchange = self.clone();
        thread::spawn(move || exchange.read(number, reading));
    }

    /// Reads the lines of a connection until it ends or is forgotten.
    fn read(self: Arc<Self>, number: u64, stream: TcpStream) {
        let _ = stream.set_read_timeout(Some(Duration::from_millis(10)));
        let mut reader = BufReader::new(stream);
        let mut line = Vec::new();
        loop {
            match reader.read_until(b'\n', &mut line) {
                Ok(_) if line.ends_with(b"\n") => {
                    self.handle(number, &String::from_utf8_lossy(&line));
                    line.clear();
                }
                Ok(_) => break,
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    if self.end_if_idle(number) {
                        return;
                    }
                }
                Err(_) => break,
            }
        }
        let mut state = lock(&self.state);
        if state.connections.remove(&number).is_some() {
            note(&format!("{} connection {number} ended", self.name()));
            // A closed connection gives up the set-ups open on it.
            state.calls.retain(|_, call| call.connection != number || call.stands);
        }
    }

    /// Closes or forgets a connection that has been idle for the time set: nothing is read or written on it any
    /// more. Returns whether it did so.
    fn end_if_idle(&self, number: u64) -> bool {
        let limit = Duration::from_millis(self.idle_ms.load(SeqCst));
        let mut state = lock(&self.state);
        let has_set_up = state.calls.values().any(|call| call.connection == number && !call.stands);
        let is_idle =
            state.connections.get(&number).is_some_and(|(_, last_used)| last_used.elapsed() >= limit);
        if limit.is_zero() || has_set_up || !is_idle {
            return false;
        }
        let Some((stream, _)) = state.connections.remove(&number) else { return false };
        if self.forgets_idle.load(SeqCst) {
            note(&format!("{} forgets the idle connection {number}", self.name()));
            state.forgotten.push(stream);
        } else {
            note(&format!("{} closes the idle connection {number}", self.name()));
        }
        true
    }

    /// Stops the exchange: the calls that stand are cut, the connections end, and new ones are refused.
    pub fn stop(&self) {
        note(&format!("{} stops", self.name()));
        self.is_refusing.store(true, SeqCst);
        let mut state = lock(&self.state);
        for (tag, call) in std::mem::take(&mut state.calls) {
            if call.stands {
                self.write(&mut state, call.connection, &finish_line(&tag, 41));
                state.cut.push(tag);
            }
        }
        for (_, (stream, _)) in std::mem::take(&mut state.connections) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Returns whether a call was cut because the exchange stopped.
    pub fn has_cut(&self, tag: &str) -> bool {
        lock(&self.state).cut.iter().any(|call| call == tag)
    }

    fn handle(self: &Arc<Self>, number: u64, line: &str) {
        let (verb, tag) = (field(line, "verb"), field(line, "tag"));
        note(&format!("{} connection {number} got  {}", self.name(), line));
        let mut state = lock(&self.state);
        state.connections.get_mut(&number).into_iter().for_each(|c| c.1 = Instant::now());
        match verb.as_str() {
            "START" if state.calls.len() as u64 >= self.circuits.load(SeqCst) => {
                state.set_ups.push((Instant::now(), tag.clone()));
                let line = format!(
                    "{{\"verb\":\"FINISH\",\"tag\":\"{tag}\",\"opts\":{{\"note\":\"group_full\"}},\"rc\":34}}\n"
                );
                self.write(&mut state, number, &line);
            }
            "START" => {
                state.set_ups.push((Instant::now(), tag.clone()));
                state.calls.insert(tag.clone(), ExchangeCall { connection: number, stands: false });
                drop(state);
                let exchange = self.clone();
                thread::spawn(move || {
                    wait_ms(exchange.answer_ms.load(SeqCst));
                    exchange.answer(number, &tag);
                    let hold_ms = exchange.hold_ms.load(SeqCst);
                    if hold_ms > 0 {
                        wait_ms(hold_ms);
                        exchange.end_call(&tag);
                    }
                });
            }
            "FINISH" => {
                state.released_by_router.push(tag.clone());
                let existed = state.calls.remove(&tag).is_some();
                let line = format!("{{\"verb\":\"FINISHED\",\"tag\":\"{tag}\",\"opts\":{{}}}}\n");
                self.write(&mut state, number, &line);
                if existed {
                    self.report_load(&mut state);
                }
            }
            "FINISHED" => state.unconfirmed.retain(|call| *call != tag),
            _ => {}
        }
    }

    /// Answers a set-up, unless it was given up.
    fn answer(&self, number: u64, tag: &str) {
        let mut state = lock(&self.state);
        let Some(call) = state.calls.get_mut(tag).filter(|c| c.connection == number && !c.stands) else {
            return;
        };
        call.stands = true;
        let line = format!(
            "{{\"verb\":\"STARTED\",\"tag\":\"{tag}\",\"opts\":{{}},\"blob\":\"{}\"}}\n",
            description(&self.name(), tag)
        );
        self.write(&mut state, number, &line);
        self.report_load(&mut state);
    }

    /// Ends a call that stands, in the usual way, and releases it: on the connection of its set-up, or else on
    /// any open one, and on the next connection opened.
    pub fn end_call(&self, tag: &str) {
        let mut state = lock(&self.state);
        let Some(call) = state.calls.remove(tag) else { return };
        note(&format!("{} call {tag} has come to its end", self.name()));
        state.unconfirmed.push(tag.to_owned());
        let open = &state.connections;
        let connection =
            open.contains_key(&call.connection).then_some(call.connection).or(open.keys().next().copied());
        match connection {
            Some(number) => self.write(&mut state, number, &finish_line(tag, 16)),
            None => note(&format!("{} has no open connection for the release of {tag}", self.name())),
        }
        self.report_load(&mut state);
    }

    /// Returns the state of the group.
    fn load_line(&self, state: &ExchangeState) -> String {
        let total = self.circuits.load(SeqCst) as usize;
        let free = total.saturating_sub(state.calls.len());
        format!(
            "{{\"verb\":\"LOAD\",\"tag\":\"\",\"opts\":{{\"load\":\"spare:{free};total:{total};lat_ms:2\"}}}}\n"
        )
    }

    fn report_load(&self, state: &mut MutexGuard<'_, ExchangeState>) {
        let line = self.load_line(state);
        for number in state.connections.keys().copied().collect::<Vec<_>>() {
            self.write(state, number, &line);
        }
    }

    fn write(&self, state: &mut MutexGuard<'_, ExchangeState>, number: u64, line: &str) {
        let Some((stream, last_used)) = state.connections.get_mut(&number) else { return };
        *last_used = Instant::now();
        let result = stream.write_all(line.as_bytes());
        let outcome = if result.is_ok() { "sent" } else { "could not send" };
        note(&format!("{} connection {number} {outcome} {line}", self.name()));
    }

    /// Returns whether a call stands here.
    pub fn stands(&self, tag: &str) -> bool {
        lock(&self.state).calls.get(tag).is_some_and(|call| call.stands)
    }

    /// Returns the set-ups that have arrived.
    pub fn set_ups(&self) -> Vec<(Instant, String)> {
        lock(&self.state).set_ups.clone()
    }

    pub fn open_connections(&self) -> usize {
        lock(&self.state).connections.len()
    }

    /// Returns whether the router has released or given up a call.
    pub fn was_released_by_router(&self, tag: &str) -> bool {
        lock(&self.state).released_by_router.iter().any(|call| call == tag)
    }
}

/// Returns the description that an exchange makes for a call.
pub fn description(exchange: &str, tag: &str) -> String {
    format!("{tag} at {exchange}")
}

fn finish_line(tag: &str, cause: u32) -> String {
    format!("{{\"verb\":\"FINISH\",\"tag\":\"{tag}\",\"opts\":{{}},\"rc\":{cause}}}\n")
}

/// Returns a text field of a JSON line of the router. The texts asked for hold no escapes.
fn field(line: &str, name: &str) -> String {
    let start = format!("\"{name}\":\"");
    let rest = line.find(&start).map(|at| &line[at + start.len()..]);
    rest.and_then(|r| r.split('"').next()).unwrap_or_default().to_owned()
}

// ---- a client ------------------------------------------------------------------------------------

/// A message that a client has received.
#[derive(Clone)]
pub struct Received {
    pub at: Instant,
    pub first_line: String,
    pub call: String,
    pub method: String,
}

impl Received {
    /// Returns the status if this is the final answer to a set-up.
    pub fn final_answer(&self) -> Option<u32> {
        let status: u32 = self.first_line.strip_prefix("SIP/2.0 ")?.get(..3)?.parse().ok()?;
        (self.method == "INVITE" && status >= 200).then_some(status)
    }

    pub fn is_release(&self) -> bool {
        self.first_line.starts_with("BYE ")
    }
}

/// A client with one connection. It acknowledges answers and confirms releases.
pub struct Client {
    name: String,
    /// Whether its messages are recorded one by one.
    is_recorded: bool,
    stream: Mutex<TcpStream>,
    received: Mutex<Vec<Received>>,
    pub has_ended: AtomicBool,
}

impl Client {
    pub fn connect(name: &str, router: SocketAddr) -> Result<Arc<Self>, CaseError> {
        Self::connect_as(name, router, true)
    }

    /// Connects a client; `is_recorded` tells whether its messages are recorded one by one.
    pub fn connect_as(name: &str, router: SocketAddr, is_recorded: bool) -> Result<Arc<Self>, CaseError> {
        let stream = TcpStream::connect_timeout(&router, Duration::from_secs(2))?;
        stream.set_nodelay(true)?;
        let reading = stream.try_clone()?;
        let client = Arc::new(Self {
            name: name.to_owned(),
            is_recorded,
            stream: Mutex::new(stream),
            received: Mutex::default(),
            has_ended: AtomicBool::new(false),
        });
        client.note("connected");
        let reader = client.clone();
        thread::spawn(move || {
            let mut input = BufReader::new(reading);
            while reader.read_message(&mut input).is_some() {}
            reader.has_ended.store(true, SeqCst);
            reader.note("connection ended");
        });
        Ok(client)
    }

    fn read_message(&self, input: &mut impl BufRead) -> Option<()> {
        let (mut first_line, mut headers) = (String::new(), Vec::new());
        loop {
            let mut line = String::new();
            if input.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let line = line.trim_end().to_owned();
            match (first_line.is_empty(), line.is_empty()) {
                (true, true) => {}
                (true, false) => first_line = line,
                (false, false) => headers.push(line),
                (false, true) => break,
            }
        }
        let header = |name: &str| {
            let found =
                headers.iter().filter_map(|h| h.split_once(':')).find(|(n, _)| n.eq_ignore_ascii_case(name));
            found.map(|(_, v)| v.trim().to_owned()).unwrap_or_default()
        };
        let mut body = vec![0; header("Content-Length").parse().ok()?];
        input.read_exact(&mut body).ok()?;
        let method = header("CSeq").split(' ').nth(1).unwrap_or_default().to_owned();
        let message = Received { at: Instant::now(), call: header("Call-ID"), method, first_line };
        self.note(&format!("got  {} for {} ({})", message.first_line, message.call, message.method));
        if message.final_answer().is_some() {
            self.send("ACK", &message.call, "1 ACK", "", "");
        } else if message.is_release() {
            let headers =
                format!("Via: SIP/2.0/TCP peer\r\nCall-ID: {}\r\nCSeq: {}\r\n", message.call, header("CSeq"));
            self.write(&format!("SIP/2.0 200 OK\r\n{headers}Content-Length: 0\r\n\r\n"), "200 to BYE");
        }
        lock(&self.received).push(message);
        Some(())
    }

    fn write(&self, bytes: &str, text: &str) {
        let result = lock(&self.stream).write_all(bytes.as_bytes());
        let outcome = if result.is_ok() { "sent" } else { "could not send" };
        self.note(&format!("{outcome} {text}"));
    }

    fn note(&self, text: &str) {
        if self.is_recorded {
            note(&format!("{} {text}", self.name));
        }
    }

    fn send(&self, method: &str, call: &str, cseq: &str, headers: &str, body: &str) {
        let bytes = format!(
            "{method} sip:{call}@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {call}\r\nCSeq: {cseq}\r\n\
             {headers}Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        self.write(&bytes, &format!("{method} {call}"));
    }

    /// Sends a set-up to a destination, with the time for which the caller waits.
    pub fn invite(&self, call: &str, destination: u32, ring_ms: u64) {
        let headers = format!(
            "X-Call-Class: slot-check\r\nX-Ring-Limit: {ring_ms}\r\nX-Dest: dest:{destination};width:1;via:-1\r\n"
        );
        self.send("INVITE", call, "1 INVITE", &headers, &format!("caller of {call}"));
    }

    pub fn received(&self) -> Vec<Received> {
        lock(&self.received).clone()
    }

    /// Waits for the final answer to a set-up.
    pub fn wait_answer(&self, call: &str, limit: Duration) -> Option<u32> {
        let mut answer = None;
        wait_until(limit, || {
            answer = self.received().iter().filter(|m| m.call == call).find_map(Received::final_answer);
            answer.is_some()
        });
        answer
    }

    /// Returns when the first release of a call arrived.
    pub fn released_at(&self, call: &str) -> Option<Instant> {
        self.received().iter().find(|m| m.call == call && m.is_release()).map(|m| m.at)
    }
}

/// Returns the id of a call: 16 hex digits, other ones for each run.
pub fn call_id(number: u64) -> String {
    static SEED: OnceLock<u64> = OnceLock::new();
    let seed = SEED.get_or_init(|| unix_ms() ^ (u64::from(std::process::id()) << 24));
    format!("{:016x}", (seed + number).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

// ---- the coordinator -----------------------------------------------------------------------------

/// The coordinator.
pub struct Coordinator {
    pub address: SocketAddr,
    /// Events that come after those of `known`, each with its number and its frame.
    events: Mutex<Vec<(u64, Vec<u8>)>>,
    last_known: u64,
    /// Whether it is down: it closes its connections and refuses new ones.
    pub is_down: AtomicBool,
    /// Time in milliseconds that a router waits in line after it has asked, until it is served.
    pub wait_ms: AtomicU64,
}

impl Coordinator {
    pub fn start(last_known: u64) -> Result<Arc<Self>, CaseError> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let coordinator = Arc::new(Self {
            address: listener.local_addr()?,
            events: Mutex::default(),
            last_known,
            is_down: AtomicBool::new(false),
            wait_ms: AtomicU64::new(0),
        });
        let accepting = coordinator.clone();
        thread::spawn(move || accepting.accept(listener));
        Ok(coordinator)
    }

    fn accept(self: Arc<Self>, listener: TcpListener) {
        let _ = listener.set_nonblocking(true);
        let mut listener = Some(listener);
        loop {
            if self.is_down.load(SeqCst) {
                listener = None;
            } else if listener.is_none() {
                listener = TcpListener::bind(self.address).ok();
                listener.iter().for_each(|l| drop(l.set_nonblocking(true)));
            }
            match listener.as_ref().map(TcpListener::accept) {
                Some(Ok((stream, _))) => {
                    let coordinator = self.clone();
                    thread::spawn(move || coordinator.serve(stream));
                }
                _ => wait_ms(2),
            }
        }
    }

    /// Sends all events after the one that the router names, and an empty frame each second.
    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        let _ = (stream.set_nonblocking(false), stream.set_read_timeout(Some(Duration::from_secs(2))));
        let mut hello = [0; 8];
        stream.read_exact(&mut hello).ok()?;
        let mut last = u64::from_be_bytes(hello);
        let wait = self.wait_ms.load(SeqCst);
        note(&format!("coordinator asked for the events after {last}, serves in {wait} ms"));
        wait_ms(wait);
        let mut next_beat = Instant::now();
        while !self.is_down.load(SeqCst) {
            let due: Vec<_> =
                lock(&self.events).iter().filter(|(number, _)| *number > last).cloned().collect();
            for (number, frame) in due {
                stream.write_all(&frame).ok()?;
                note(&format!("coordinator sent event {number}"));
                last = number;
            }
            if Instant::now() >= next_beat {
                stream.write_all(&frame(last, 0, &[])).ok()?;
                next_beat += Duration::from_secs(1);
            }
            wait_ms(5);
        }
        note("coordinator closed a connection");
        Some(())
    }

    /// Adds an event with changes. Each is an exchange with its state: 0 ready, 1 draining, 2 gone.
    pub fn add_changes(&self, changes: &[(&Exchange, u8)]) -> u64 {
        let mut events = lock(&self.events);
        let number = self.last_known + events.len() as u64 + 1;
        let payload: Vec<u8> =
            changes.iter().flat_map(|(exchange, state)| record(exchange, *state)).collect();
        events.push((number, frame(number, 2, &payload)));
        let text: Vec<String> =
            changes.iter().map(|(e, state)| format!("{} state {state}", e.name())).collect();
        note(&format!("coordinator has event {number}: {}", text.join(", ")));
        number
    }
}

fn frame(number: u64, kind: u8, payload: &[u8]) -> Vec<u8> {
    let mut bytes = (9 + payload.len() as u32).to_be_bytes().to_vec();
    bytes.extend(number.to_be_bytes());
    bytes.push(kind);
    bytes.extend(payload);
    bytes
}

fn record(exchange: &Exchange, state: u8) -> Vec<u8> {
    let (address, port) = match exchange.address {
        SocketAddr::V4(a) => (*a.ip(), a.port()),
        SocketAddr::V6(a) => (Ipv4Addr::LOCALHOST, a.port()),
    };
    let mut bytes = exchange.id.to_be_bytes().to_vec();
    bytes.extend(address.octets());
    bytes.extend(port.to_be_bytes());
    bytes.extend([state, 0, 0]);
    bytes.extend((exchange.node as u16).to_be_bytes());
    bytes.extend(1000_u32.to_be_bytes());
    bytes.extend(0_u64.to_be_bytes());
    bytes
}
