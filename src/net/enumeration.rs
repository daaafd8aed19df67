//! The ENUM front (RFC 6116): NAPTR queries from resolvers, and look-ups for calls that bring a number
//! but no destination.
//!
//! Both are requests to a core of their own, whose exchanges are the upstream DNS servers and whose
//! decision module sees them as pools. Each upstream query is an attempt.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::io;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;

use slog::{debug, info, warn, Logger};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, UdpSocket};
use tokio::sync::{oneshot, Notify};
use tokio::task::AbortHandle;

use super::connection::{self, Clock, TimerDriven};
use crate::call::calls::Origin;
use crate::call::core::{Core, Effect, Reply, Request};
use crate::call::exchanges::Exchanges;
use crate::interface::*;
use crate::lifecycle::config::EnumConfig;
use crate::protocol::dns::{self, Message, Name, Naptr, Target};
use crate::Controller;

/// Class of a resolver's query.
pub const QUERY: usize = 0;
/// Class of a look-up for a call; it goes before queries.
pub const CALL: usize = 1;
/// Non-terminal records followed for one call.
const FOLLOWED: usize = 5;
/// Queries read in one go before the others on this thread get their turn.
///
/// Guards set-ups against a flood of queries.
const AT_ONCE: usize = 8;
/// How often the room at the upstreams is told.
const LOOK: Duration = Duration::from_millis(100);
/// Largest datagram read.
const DATAGRAM: usize = 4096;

/// What a look-up found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Found {
    /// The upstream's response code.
    pub rcode: u8,
    /// Its records.
    pub records: Vec<Naptr>,
}

/// Where a call is to go, or why not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Resolution {
    /// To this place.
    RouteTo(NodeNumber),
    /// The number does not exist or leads nowhere that is served here.
    NotFound,
    /// Not known in time.
    Unknown,
}

#[derive(Debug)]
enum Asker {
    Resolver { from: SocketAddr, query: Message },
    Call(oneshot::Sender<Option<Found>>),
}

#[derive(Debug)]
struct Upstream {
    address: SocketAddr,
    /// Queries out, and their tasks.
    out: HashMap<CallId, AbortHandle>,
}

/// The front and all that it holds.
#[derive(Debug)]
pub struct Front {
    me: Weak<RefCell<Front>>,
    /// The core behind it.
    pub core: Core,
    clock: Clock,
    log: Logger,
    config: EnumConfig,
    /// Only the active of several routers answers.
    active: Rc<Cell<bool>>,
    socket: Option<Rc<UdpSocket>>,
    askers: HashMap<CallId, Asker>,
    /// Queries in hand, so that a resolver's repeat is not taken for another.
    asked: HashSet<(SocketAddr, u16)>,
    names: HashMap<CallId, Name>,
    found: HashMap<CallId, Found>,
    upstreams: BTreeMap<ExchangeId, Upstream>,
    next: u64,
    due: Rc<Notify>,
}

/// A front that its tasks share; none holds it across an await.
pub type Handle = Rc<RefCell<Front>>;

impl Front {
    /// Makes the front and its core.
    ///
    /// # Errors
    /// When the decision module takes the settings for senseless.
    pub fn new(
        config: &EnumConfig,
        seed: u64,
        log: Logger,
        clock: Clock,
        active: Rc<Cell<bool>>,
    ) -> Result<Handle, SettingsError> {
        let now = clock.now();
        let core = Core::new(Controller::new(config.settings.clone(), seed, now)?, Exchanges::default(), now);
        Ok(Rc::new_cyclic(|me| {
            let mut front = Self {
                me: me.clone(),
                core,
                clock,
                log,
                config: config.clone(),
                active,
                socket: None,
                askers: HashMap::new(),
                asked: HashSet::new(),
                names: HashMap::new(),
                found: HashMap::new(),
                upstreams: BTreeMap::new(),
                next: 0,
                due: Rc::default(),
            };
            front.list_upstreams();
            RefCell::new(front)
        }))
    }

    /// Makes the list of upstream servers that of the set-up. Queries that are out to one that is no longer
    /// listed run on to their end.
    fn list_upstreams(&mut self) {
        let id = |address: &SocketAddr| ExchangeId(address.to_string().into());
        let entries = self.config.upstreams.iter().zip(0..).map(|(address, place)| DirectoryEntry {
            exchange: id(address),
            node: NodeNumber(place),
            zone: 0,
            health: Health::Live,
            up_since: None,
        });
        self.core.update_directory(self.clock.now(), UpdateKind::Full, entries.collect());
        for address in &self.config.upstreams {
            let upstream = Upstream { address: *address, out: HashMap::new() };
            self.upstreams.entry(id(address)).or_insert(upstream);
        }
        let listed = &self.config.upstreams;
        self.upstreams.retain(|_, u| listed.contains(&u.address) || !u.out.is_empty());
        self.tell_room();
    }

    /// Takes up a new set-up while look-ups go on. What the module was told at the start stays, and so does
    /// the socket.
    pub fn reload(&mut self, config: &EnumConfig) {
        let EnumConfig { listen, query_timeout, settings, .. } = self.config.clone();
        self.config = EnumConfig { listen, query_timeout, settings, ..config.clone() };
        self.list_upstreams();
        self.flush();
    }

    /// Look-ups in hand, and those of them for calls.
    pub fn in_hand(&self) -> (usize, usize) {
        let calls = self.askers.values().filter(|a| matches!(a, Asker::Call(_))).count();
        (self.askers.len(), calls)
    }

    /// Upstream servers and the queries out to each.
    pub fn upstreams(&self) -> impl Iterator<Item = (&ExchangeId, usize)> {
        self.upstreams.iter().map(|(id, u)| (id, u.out.len()))
    }

    /// Answers what is still open, before the program ends.
    pub fn finish(&mut self) {
        self.core.give_up_all(self.clock.now());
        self.flush();
    }

    /// Tells the core how many more queries each upstream may get: its free 'agents'.
    fn tell_room(&mut self) {
        let (now, size) = (self.clock.now(), self.config.window_per_upstream as f64);
        let free: Vec<(ExchangeId, f64)> =
            self.upstreams.iter().map(|(id, u)| (id.clone(), size - u.out.len() as f64)).collect();
        for (id, free) in free {
            self.core.handle_load_report(now, &id, vec![free.max(0.0), size]);
        }
    }

    fn begin(&mut self, asker: Asker, class: usize, name: Name, remaining: Duration) {
        self.next += 1;
        let id = CallId(format!("{:016x}", self.next).into());
        let number: Arc<str> = name.to_string().into();
        self.askers.insert(id.clone(), asker);
        self.names.insert(id.clone(), name);
        let offer = OfferedCall {
            call: id,
            class,
            tenant: 0,
            called_number: number,
            remaining,
            destination: NodeNumber(0),
            circuits: Some(1),
            via: None,
            flagged_as_redial: false,
            is_transit: false,
            is_reconnect: false,
        };
        let request = Request { origin: Origin(self.next), offered: offer, description: "".into() };
        self.core.handle_request(self.clock.now(), request);
        self.flush();
    }

    fn datagram(&mut self, from: SocketAddr, bytes: &[u8]) {
        if !self.active.get() {
            return;
        }
        let Some((id, response)) = dns::decode_header(bytes) else { return };
        if response {
            return; // guards against two servers that answer each other for ever
        }
        let Some(query) = dns::decode(bytes) else {
            return self.send_to_client(from, &dns::format_error_response(id));
        };
        let name = match dns::validate_query(&query, &self.config.zone) {
            Ok(name) => name,
            Err(rcode) => return self.send_to_client(from, &dns::response(&query, rcode, &[])),
        };
        if self.asked.contains(&(from, id)) {
            return;
        }
        // The last quarter is kept for calls, and of the rest no resolver takes more than half: guards the
        // others' turn against a flood from one.
        let room = self.config.max_look_ups - self.config.max_look_ups / 4;
        let own = self.asked.iter().filter(|(asker, _)| asker.ip() == from.ip()).count();
        if self.askers.len() >= room || own >= room.div_ceil(2) {
            return self.send_to_client(from, &dns::response(&query, dns::SERVFAIL, &[]));
        }
        self.asked.insert((from, id));
        let within = self.config.answer_within;
        self.begin(Asker::Resolver { from, query }, QUERY, name, within);
    }

    fn send_to_client(&self, to: SocketAddr, bytes: &[u8]) {
        if let Some(socket) = &self.socket {
            if let Err(e) = socket.try_send_to(bytes, to) {
                debug!(self.log, "response not sent"; "error" => %e);
            }
        }
    }

    fn flush(&mut self) {
        loop {
            let effects = self.core.take_effects();
            if effects.is_empty() {
                break;
            }
            effects.into_iter().for_each(|effect| self.carry_out(effect));
        }
        self.due.notify_one();
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::SendSetUp { exchange, call, remaining, .. } => self.query(&exchange, &call, remaining),
            Effect::ReleaseAtExchange { exchange: Some(exchange), call, .. } => self.forget(&exchange, &call),
            Effect::Answer { call, .. } => {
                let found = self.found.remove(&call);
                self.conclude(&call, found);
            }
            Effect::Refuse { call, .. } | Effect::Fail { call, .. } => self.conclude(&call, None),
            Effect::Log(line) => info!(self.log, "{}", line; "front" => "enum"),
            Effect::ReleaseAtExchange { .. } | Effect::ReleaseAtClient { .. } | Effect::Broadcast(_) => {}
        }
    }

    /// The one final answer of a look-up.
    fn conclude(&mut self, call: &CallId, found: Option<Found>) {
        self.names.remove(call);
        match self.askers.remove(call) {
            Some(Asker::Resolver { from, query }) => {
                self.asked.remove(&(from, query.id));
                let response = match &found {
                    Some(found) => dns::response(&query, found.rcode, &found.records),
                    None => dns::response(&query, dns::SERVFAIL, &[]),
                };
                self.send_to_client(from, &response);
            }
            // Whoever asked for a call may have stopped waiting.
            Some(Asker::Call(asker)) => drop(asker.send(found)),
            None => {}
        }
    }

    fn forget(&mut self, exchange: &ExchangeId, call: &CallId) {
        if let Some(task) = self.upstreams.get_mut(exchange).and_then(|u| u.out.remove(call)) {
            task.abort(); // its socket goes with it
        }
    }

    /// Sends one query; its task ends with a reply, a failure or the time-out.
    fn query(&mut self, exchange: &ExchangeId, call: &CallId, left: Duration) {
        let (Some(me), Some(name)) = (self.me.upgrade(), self.names.get(call).cloned()) else { return };
        let Some(upstream) = self.upstreams.get_mut(exchange) else { return };
        let (address, within) = (upstream.address, left.min(self.config.query_timeout));
        let (exchange, id) = (exchange.clone(), call.clone());
        let task = tokio::task::spawn_local(async move {
            let asked = tokio::time::timeout(within, ask(address, &name)).await;
            me.borrow_mut().replied(&exchange, &id, asked.unwrap_or(Err(Failed::Silent)));
        });
        upstream.out.insert(call.clone(), task.abort_handle());
    }

    fn replied(&mut self, exchange: &ExchangeId, call: &CallId, reply: Result<Message, Failed>) {
        self.forget(exchange, call);
        let now = self.clock.now();
        let status = match reply {
            Err(Failed::Silent) => AttemptStatus::TimedOut,
            Err(Failed::Unreachable) => AttemptStatus::Unreachable,
            // What is cut or spoilt can't be read whole here; another server may give it in full.
            Ok(reply) if reply.is_truncated => AttemptStatus::Full,
            Ok(reply) => match reply.rcode {
                dns::NOERROR | dns::NXDOMAIN => {
                    self.found.insert(call.clone(), Found { rcode: reply.rcode, records: reply.records });
                    self.core.handle_reply(now, exchange, call, Reply::Established("".into()));
                    AttemptStatus::Ended
                }
                // Not resolved by this one; another may.
                dns::SERVFAIL | dns::REFUSED => AttemptStatus::Full,
                _ => AttemptStatus::Error,
            },
        };
        if status != AttemptStatus::Ended {
            debug!(self.log, "look-up attempt failed"; "upstream" => &*exchange.0, "how" => ?status);
        }
        self.core.handle_reply(
            now,
            exchange,
            call,
            Reply::Ended { status, failure_cause: None, load_report: Vec::new() },
        );
        self.tell_room();
        self.flush();
        self.found.remove(call); // left only if nobody waits any more
    }

    /// The place that a lead's host stands for.
    fn place(&self, lead: &Target) -> Option<NodeNumber> {
        let Target::Uri(uri) = lead else { return None };
        let host = dns::sip_uri_host(uri)?.to_ascii_lowercase();
        self.config.routes.get(&host).copied()
    }
}

#[derive(Debug)]
enum Failed {
    Silent,
    Unreachable,
}

fn random_id() -> Result<u16, Failed> {
    let mut id = [0; 2];
    getrandom::fill(&mut id).map_err(|_| Failed::Unreachable)?;
    Ok(u16::from_be_bytes(id))
}

/// Whether a message answers a query.
fn answers(reply: &Message, id: u16, name: &Name) -> bool {
    let question = reply.question.as_ref();
    let same = question.is_some_and(|(n, kind, class)| n == name && (*kind, *class) == (dns::NAPTR, 1));
    reply.is_response && reply.opcode == 0 && reply.id == id && same
}

/// One query and its reply. What does not fit a datagram is asked for again over TCP (RFC 7766); if that
/// fails, the reply stays cut.
async fn ask(upstream: SocketAddr, name: &Name) -> Result<Message, Failed> {
    let reply = ask_by_datagram(upstream, name).await?;
    if !reply.is_truncated {
        return Ok(reply);
    }
    Ok(ask_by_stream(upstream, name).await.unwrap_or(reply))
}

async fn ask_by_stream(upstream: SocketAddr, name: &Name) -> Result<Message, Failed> {
    let unreachable = |_: io::Error| Failed::Unreachable;
    let mut stream = TcpStream::connect(upstream).await.map_err(unreachable)?;
    let id = random_id()?;
    stream.write_all(&dns::with_length_prefix(&dns::query(id, name))).await.map_err(unreachable)?;
    // The length is two bytes, so what is read is bounded.
    let length = stream.read_u16().await.map_err(unreachable)?;
    let mut bytes = vec![0; usize::from(length)];
    stream.read_exact(&mut bytes).await.map_err(unreachable)?;
    dns::decode(&bytes).filter(|reply| answers(reply, id, name)).ok_or(Failed::Unreachable)
}

/// From a port of its own, with a random id; anything else that arrives there is passed over, since anyone
/// can send it.
async fn ask_by_datagram(upstream: SocketAddr, name: &Name) -> Result<Message, Failed> {
    let local: SocketAddr = if upstream.is_ipv4() { ([0, 0, 0, 0], 0).into() } else { ([0u16; 8], 0).into() };
    let unreachable = |_: io::Error| Failed::Unreachable;
    let socket = UdpSocket::bind(local).await.map_err(unreachable)?;
    socket.connect(upstream).await.map_err(unreachable)?;
    let id = random_id()?;
    socket.send(&dns::query(id, name)).await.map_err(unreachable)?;
    let mut buffer = [0; DATAGRAM];
    loop {
        let length = socket.recv(&mut buffer).await.map_err(unreachable)?;
        // Guards against waiting out a reply that came and was spoilt: another server is asked at once.
        let reply = dns::decode(&buffer[..length]).or_else(|| dns::decode_corrupt(&buffer[..length]));
        let Some(reply) = reply else { continue };
        if answers(&reply, id, name) {
            return Ok(reply);
        }
    }
}

// ---- tasks -------------------------------------------------------------------------------------

/// Looks a number up for a call, following names that lead on, within a time.
pub async fn resolve(front: Handle, number: String, within: Duration) -> Resolution {
    let search = async {
        let zone = front.borrow().config.zone.clone();
        let Some(mut name) = dns::name_for_number(&number, &zone) else { return Resolution::NotFound };
        let digits: String = number.chars().filter(char::is_ascii_digit).collect();
        let (full, end) = (format!("+{digits}"), tokio::time::Instant::now() + within);
        for _ in 0..FOLLOWED {
            let (sender, answer) = oneshot::channel();
            {
                let mut front = front.borrow_mut();
                if front.askers.len() >= front.config.max_look_ups {
                    return Resolution::Unknown;
                }
                let left = end.saturating_duration_since(tokio::time::Instant::now());
                front.begin(Asker::Call(sender), CALL, name.clone(), left);
            }
            let Ok(Some(found)) = answer.await else { return Resolution::Unknown };
            let leads = dns::targets(&found.records, &full);
            // Leads to hosts that are not served here are passed over, as are circles.
            let front = front.borrow();
            let next = leads.iter().find_map(|lead| match lead {
                Target::Name(on) => Some(Err(on.clone())),
                uri => front.place(uri).map(Ok),
            });
            match next {
                Some(Ok(place)) => return Resolution::RouteTo(place),
                Some(Err(on)) if on != name => name = on,
                _ => return Resolution::NotFound,
            }
        }
        Resolution::NotFound
    };
    tokio::time::timeout(within, search).await.unwrap_or(Resolution::Unknown)
}

/// Takes queries.
pub async fn answer(front: Handle, socket: UdpSocket) {
    let socket = Rc::new(socket);
    front.borrow_mut().socket = Some(socket.clone());
    let mut buffer = [0; DATAGRAM];
    let mut read = 0;
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => front.borrow_mut().datagram(from, &buffer[..length]),
            Err(e) => warn!(front.borrow().log, "query not read"; "error" => %e),
        }
        read += 1;
        if read % AT_ONCE == 0 {
            tokio::task::yield_now().await;
        }
    }
}

impl TimerDriven for Front {
    fn next_due(&self) -> Option<Duration> {
        self.core.next_due()
    }

    fn run_due(&mut self, now: Duration) {
        self.core.run_due_timers(now);
        self.flush();
    }

    fn sweep(&mut self, _now: Duration) {
        self.tell_room();
        self.flush();
    }
}

/// Does what is due, when it is due, and tells the core how much room there is.
pub async fn run_timers(front: Handle) {
    let (clock, due) = (front.borrow().clock, front.borrow().due.clone());
    connection::run_timers(front, clock, due, LOOK).await;
}
