//! The ENUM front end (RFC 6116): answers NAPTR queries of resolvers, and looks up numbers of calls that have
//! no destination.
//!
//! Both kinds of look-up are requests to a separate core, whose exchanges are the upstream DNS servers and
//! whose controller treats them as pools. Each query to an upstream server is an attempt.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::io;
use std::net::{IpAddr, SocketAddr};
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
pub const RESOLVER_CLASS: usize = 0;
/// Class of a look-up for a call, which takes precedence over resolvers' queries.
pub const CALL_CLASS: usize = 1;
/// Maximum number of names that are looked up for one call, following non-terminal records.
const MAX_LOOK_UPS_PER_CALL: usize = 5;
/// Number of queries read before other tasks on this thread run, so that a flood of queries does not delay
/// set-ups.
const QUERIES_PER_TURN: usize = 8;
/// Interval at which the capacity of the upstream servers is reported to the core.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum size in bytes of a datagram read.
const MAX_DATAGRAM_BYTES: usize = 4096;

/// Answer of an upstream server to a look-up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LookUpResult {
    /// Response code, [`dns::NOERROR`] or [`dns::NXDOMAIN`].
    pub rcode: u8,
    /// NAPTR records of the number.
    pub records: Vec<Naptr>,
}

/// Result of resolving the number of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Resolution {
    /// The call goes to this node.
    RouteTo(NodeNumber),
    /// The number does not exist, or none of its records leads to a host that is served here.
    NotFound,
    /// The look-up failed or took too long.
    Failed,
}

/// Where the result of a look-up goes.
#[derive(Debug)]
enum Requester {
    Resolver { from: SocketAddr, query: Message },
    Call(oneshot::Sender<Option<LookUpResult>>),
}

/// An upstream DNS server.
#[derive(Debug)]
struct Upstream {
    address: SocketAddr,
    /// Tasks of the pending queries, by look-up.
    queries: HashMap<CallId, AbortHandle>,
}

/// The state of the ENUM front end.
#[derive(Debug)]
pub struct EnumFrontEnd {
    weak_self: Weak<RefCell<EnumFrontEnd>>,
    /// Core that schedules the look-ups.
    pub core: Core,
    clock: Clock,
    log: Logger,
    config: EnumConfig,
    /// Whether this router is the active one; a backup does not answer queries.
    is_active: Rc<Cell<bool>>,
    socket: Option<Rc<UdpSocket>>,
    /// Requester of each pending look-up.
    requesters: HashMap<CallId, Requester>,
    /// Pending queries by address and message id, so that a repeated query is not taken for a new one.
    resolver_queries: HashSet<(SocketAddr, u16)>,
    /// Number of pending queries of each resolver.
    queries_by_resolver: HashMap<IpAddr, usize>,
    /// Name that each pending look-up asks for.
    names: HashMap<CallId, Name>,
    /// Answers of upstream servers that their requesters have not been given yet.
    results: HashMap<CallId, LookUpResult>,
    upstreams: BTreeMap<ExchangeId, Upstream>,
    last_number: u64,
    /// Notified when the next due time may have changed.
    timers_changed: Rc<Notify>,
}

/// Shared handle to the front end. Tasks must not hold a borrow across an await.
pub type Handle = Rc<RefCell<EnumFrontEnd>>;

impl EnumFrontEnd {
    /// Creates the front end and its core.
    ///
    /// # Errors
    /// Returns an error if the controller rejects the settings.
    pub fn new(
        config: &EnumConfig,
        seed: u64,
        log: Logger,
        clock: Clock,
        is_active: Rc<Cell<bool>>,
    ) -> Result<Handle, SettingsError> {
        let now = clock.now();
        let core = Core::new(Controller::new(config.settings.clone(), seed, now)?, Exchanges::default(), now);
        Ok(Rc::new_cyclic(|weak_self| {
            let mut front_end = Self {
                weak_self: weak_self.clone(),
                core,
                clock,
                log,
                config: config.clone(),
                is_active,
                socket: None,
                requesters: HashMap::new(),
                resolver_queries: HashSet::new(),
                queries_by_resolver: HashMap::new(),
                names: HashMap::new(),
                results: HashMap::new(),
                upstreams: BTreeMap::new(),
                last_number: 0,
                timers_changed: Rc::default(),
            };
            front_end.apply_upstreams();
            RefCell::new(front_end)
        }))
    }

    /// Applies the configured list of upstream servers. Pending queries to a server that is no longer listed
    /// run to completion.
    fn apply_upstreams(&mut self) {
        let id = |address: &SocketAddr| ExchangeId(address.to_string().into());
        let members = self.config.upstreams.iter().zip(0..).map(|(address, number)| Member {
            exchange: id(address),
            node: NodeNumber(number),
            zone: 0,
            health: Health::Live,
            up_since: None,
        });
        self.core.update_membership(self.clock.now(), UpdateKind::Full, members.collect());
        for address in &self.config.upstreams {
            let upstream = Upstream { address: *address, queries: HashMap::new() };
            self.upstreams.entry(id(address)).or_insert(upstream);
        }
        let listed = &self.config.upstreams;
        self.upstreams.retain(|_, u| listed.contains(&u.address) || !u.queries.is_empty());
        self.report_capacity();
    }

    /// Applies a new configuration while look-ups continue. The settings of the controller, the query
    /// time-out and the socket stay as they were at the start.
    pub fn reload(&mut self, config: &EnumConfig) {
        let EnumConfig { listen, query_timeout, settings, .. } = self.config.clone();
        self.config = EnumConfig { listen, query_timeout, settings, ..config.clone() };
        self.apply_upstreams();
        self.flush();
    }

    /// Returns the number of pending look-ups, and how many of them are for calls.
    pub fn pending_counts(&self) -> (usize, usize) {
        let calls = self.requesters.values().filter(|a| matches!(a, Requester::Call(_))).count();
        (self.requesters.len(), calls)
    }

    /// Returns the upstream servers with the number of pending queries to each.
    pub fn upstreams(&self) -> impl Iterator<Item = (&ExchangeId, usize)> {
        self.upstreams.iter().map(|(id, u)| (id, u.queries.len()))
    }

    /// Answers every pending look-up as failed, before the program ends.
    pub fn give_up_all(&mut self) {
        self.core.give_up_all(self.clock.now());
        self.flush();
    }

    /// Reports to the core how many more queries each upstream server may get, as the number of its free
    /// agents.
    fn report_capacity(&mut self) {
        let (now, window) = (self.clock.now(), self.config.window_per_upstream as f64);
        let free: Vec<(ExchangeId, f64)> =
            self.upstreams.iter().map(|(id, u)| (id.clone(), window - u.queries.len() as f64)).collect();
        for (id, free) in free {
            self.core.handle_load_report(now, &id, vec![free.max(0.0), window]);
        }
    }

    /// Starts a look-up.
    fn start_look_up(&mut self, requester: Requester, class: usize, name: Name, remaining: Duration) {
        self.last_number += 1;
        let id = CallId(format!("{:016x}", self.last_number).into());
        let number: Arc<str> = name.to_string().into();
        self.requesters.insert(id.clone(), requester);
        self.names.insert(id.clone(), name);
        let offered = OfferedCall {
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
        let request = Request { origin: Origin(self.last_number), offered, description: "".into() };
        self.core.handle_request(self.clock.now(), request);
        self.flush();
    }

    /// Handles a datagram from a resolver.
    fn on_datagram(&mut self, from: SocketAddr, bytes: &[u8]) {
        if !self.is_active.get() {
            return;
        }
        let Some((id, response)) = dns::decode_header(bytes) else { return };
        if response {
            return; // answering a response could start an endless exchange between two servers
        }
        let Some(query) = dns::decode(bytes) else {
            return self.send_to_resolver(from, &dns::format_error_response(id));
        };
        let name = match dns::validate_query(&query, &self.config.zone) {
            Ok(name) => name,
            Err(rcode) => return self.send_to_resolver(from, &dns::response(&query, rcode, &[])),
        };
        if self.resolver_queries.contains(&(from, id)) {
            return;
        }
        // The last quarter is reserved for calls. One resolver may take at most half of the rest, so that a
        // flood from one does not lock out the others.
        let limit = self.config.max_look_ups - self.config.max_look_ups / 4;
        let from_same_address = self.queries_by_resolver.get(&from.ip()).copied().unwrap_or_default();
        if self.requesters.len() >= limit || from_same_address >= limit.div_ceil(2) {
            return self.send_to_resolver(from, &dns::response(&query, dns::SERVFAIL, &[]));
        }
        self.resolver_queries.insert((from, id));
        *self.queries_by_resolver.entry(from.ip()).or_default() += 1;
        let within = self.config.answer_within;
        self.start_look_up(Requester::Resolver { from, query }, RESOLVER_CLASS, name, within);
    }

    /// Sends a response; nothing is sent if no address for queries is configured.
    fn send_to_resolver(&self, to: SocketAddr, bytes: &[u8]) {
        if let Some(socket) = &self.socket {
            if let Err(e) = socket.try_send_to(bytes, to) {
                debug!(self.log, "response not sent"; "error" => %e);
            }
        }
    }

    /// Executes the effects of the core until none is left.
    fn flush(&mut self) {
        loop {
            let effects = self.core.take_effects();
            if effects.is_empty() {
                break;
            }
            effects.into_iter().for_each(|effect| self.execute(effect));
        }
        self.timers_changed.notify_one();
    }

    /// Executes one effect of the core.
    fn execute(&mut self, effect: Effect) {
        match effect {
            Effect::SendSetUp { exchange, call, remaining, .. } => {
                self.send_query(&exchange, &call, remaining)
            }
            Effect::ReleaseAtExchange { exchange: Some(exchange), call, .. } => {
                self.end_query(&exchange, &call)
            }
            Effect::Answer { call, .. } => {
                let result = self.results.remove(&call);
                self.finish_look_up(&call, result);
            }
            Effect::Refuse { call, .. } | Effect::Fail { call, .. } => self.finish_look_up(&call, None),
            Effect::Log(line) => info!(self.log, "{}", line; "front" => "enum"),
            Effect::ReleaseAtExchange { .. } | Effect::ReleaseAtClient { .. } | Effect::Broadcast(_) => {}
        }
    }

    /// Gives the requester of a look-up its only answer; `None` if the look-up failed.
    fn finish_look_up(&mut self, call: &CallId, result: Option<LookUpResult>) {
        self.names.remove(call);
        match self.requesters.remove(call) {
            Some(Requester::Resolver { from, query }) => {
                self.end_resolver_query(from, query.id);
                let response = match &result {
                    Some(result) => dns::response(&query, result.rcode, &result.records),
                    None => dns::response(&query, dns::SERVFAIL, &[]),
                };
                self.send_to_resolver(from, &response);
            }
            // Fails if the task that waits for the result has ended.
            Some(Requester::Call(sender)) => drop(sender.send(result)),
            None => {}
        }
    }

    /// Removes a pending query of a resolver.
    fn end_resolver_query(&mut self, from: SocketAddr, id: u16) {
        self.resolver_queries.remove(&(from, id));
        let Some(count) = self.queries_by_resolver.get_mut(&from.ip()) else { return };
        *count = count.saturating_sub(1);
        if *count == 0 {
            self.queries_by_resolver.remove(&from.ip());
        }
    }

    /// Removes a pending query and aborts its task.
    fn end_query(&mut self, exchange: &ExchangeId, call: &CallId) {
        if let Some(task) = self.upstreams.get_mut(exchange).and_then(|u| u.queries.remove(call)) {
            task.abort(); // also closes its socket
        }
    }

    /// Starts a task that sends one query to an upstream server and waits for the reply until the time-out.
    fn send_query(&mut self, exchange: &ExchangeId, call: &CallId, remaining: Duration) {
        let (Some(front_end), Some(name)) = (self.weak_self.upgrade(), self.names.get(call).cloned()) else {
            return;
        };
        let Some(upstream) = self.upstreams.get_mut(exchange) else { return };
        let (address, timeout) = (upstream.address, remaining.min(self.config.query_timeout));
        let (exchange, id) = (exchange.clone(), call.clone());
        let task = tokio::task::spawn_local(async move {
            let reply = tokio::time::timeout(timeout, query_upstream(address, &name)).await;
            front_end.borrow_mut().on_reply(&exchange, &id, reply.unwrap_or(Err(QueryError::TimedOut)));
        });
        upstream.queries.insert(call.clone(), task.abort_handle());
    }

    /// Handles the result of a query to an upstream server: the core then answers the look-up or queries
    /// another server.
    fn on_reply(&mut self, exchange: &ExchangeId, call: &CallId, reply: Result<Message, QueryError>) {
        self.end_query(exchange, call);
        let now = self.clock.now();
        let status = match reply {
            Err(QueryError::TimedOut) => AttemptStatus::TimedOut,
            Err(QueryError::Unreachable) => AttemptStatus::Unreachable,
            // A truncated or corrupt reply is incomplete; another server may give the full answer.
            Ok(reply) if reply.is_truncated => AttemptStatus::Full,
            Ok(reply) => match reply.rcode {
                dns::NOERROR | dns::NXDOMAIN => {
                    self.results
                        .insert(call.clone(), LookUpResult { rcode: reply.rcode, records: reply.records });
                    self.core.handle_reply(now, exchange, call, Reply::Established("".into()));
                    AttemptStatus::Ended
                }
                // Another server may be able to resolve the name.
                dns::SERVFAIL | dns::REFUSED => AttemptStatus::Full,
                _ => AttemptStatus::Error,
            },
        };
        if status != AttemptStatus::Ended {
            debug!(self.log, "look-up attempt failed"; "upstream" => &*exchange.0, "status" => ?status);
        }
        self.core.handle_reply(
            now,
            exchange,
            call,
            Reply::Ended { status, failure_cause: None, load_report: Vec::new() },
        );
        self.report_capacity();
        self.flush();
        self.results.remove(call); // still there only if no requester was waiting
    }

    /// Returns the node that serves the host of a target's URI.
    fn node_for(&self, target: &Target) -> Option<NodeNumber> {
        let Target::Uri(uri) = target else { return None };
        let host = dns::sip_uri_host(uri)?.to_ascii_lowercase();
        self.config.routes.get(&host).copied()
    }
}

/// Why a query to an upstream server got no valid reply.
#[derive(Debug)]
enum QueryError {
    TimedOut,
    Unreachable,
}

fn random_id() -> Result<u16, QueryError> {
    let mut id = [0; 2];
    getrandom::fill(&mut id).map_err(|_| QueryError::Unreachable)?;
    Ok(u16::from_be_bytes(id))
}

/// Returns whether a message is the response to a query with this id and name.
fn is_reply_to(reply: &Message, id: u16, name: &Name) -> bool {
    let question = reply.question.as_ref();
    let has_same_question =
        question.is_some_and(|(n, kind, class)| n == name && (*kind, *class) == (dns::NAPTR, 1));
    reply.is_response && reply.opcode == 0 && reply.id == id && has_same_question
}

/// Sends a query and returns the reply. If the reply is truncated, the query is repeated over TCP (RFC 7766);
/// if that fails, the truncated reply is returned.
async fn query_upstream(upstream: SocketAddr, name: &Name) -> Result<Message, QueryError> {
    let reply = query_over_udp(upstream, name).await?;
    if !reply.is_truncated {
        return Ok(reply);
    }
    Ok(query_over_tcp(upstream, name).await.unwrap_or(reply))
}

/// Sends the query over TCP and returns the reply.
async fn query_over_tcp(upstream: SocketAddr, name: &Name) -> Result<Message, QueryError> {
    let unreachable = |_: io::Error| QueryError::Unreachable;
    let mut stream = TcpStream::connect(upstream).await.map_err(unreachable)?;
    let id = random_id()?;
    stream.write_all(&dns::with_length_prefix(&dns::query(id, name))).await.map_err(unreachable)?;
    // The two-byte length limits what is read.
    let length = stream.read_u16().await.map_err(unreachable)?;
    let mut bytes = vec![0; usize::from(length)];
    stream.read_exact(&mut bytes).await.map_err(unreachable)?;
    dns::decode(&bytes).filter(|reply| is_reply_to(reply, id, name)).ok_or(QueryError::Unreachable)
}

/// Sends the query from a separate port with a random id. Datagrams that are not the reply are ignored, since
/// anyone can send them.
async fn query_over_udp(upstream: SocketAddr, name: &Name) -> Result<Message, QueryError> {
    let local: SocketAddr = if upstream.is_ipv4() { ([0, 0, 0, 0], 0).into() } else { ([0u16; 8], 0).into() };
    let unreachable = |_: io::Error| QueryError::Unreachable;
    let socket = UdpSocket::bind(local).await.map_err(unreachable)?;
    socket.connect(upstream).await.map_err(unreachable)?;
    let id = random_id()?;
    socket.send(&dns::query(id, name)).await.map_err(unreachable)?;
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    loop {
        let length = socket.recv(&mut buffer).await.map_err(unreachable)?;
        // A corrupt reply ends the wait, so that another server is queried at once instead of after the
        // time-out.
        let reply = dns::decode(&buffer[..length]).or_else(|| dns::decode_corrupt(&buffer[..length]));
        let Some(reply) = reply else { continue };
        if is_reply_to(&reply, id, name) {
            return Ok(reply);
        }
    }
}

// ---- tasks -------------------------------------------------------------------------------------

/// Resolves the number of a call within a time limit, following non-terminal records.
pub async fn resolve(front_end: Handle, number: String, time_limit: Duration) -> Resolution {
    let search = async {
        let zone = front_end.borrow().config.zone.clone();
        let Some(mut name) = dns::name_for_number(&number, &zone) else { return Resolution::NotFound };
        let digits: String = number.chars().filter(char::is_ascii_digit).collect();
        let (e164_number, deadline) = (format!("+{digits}"), tokio::time::Instant::now() + time_limit);
        for _ in 0..MAX_LOOK_UPS_PER_CALL {
            let (sender, receiver) = oneshot::channel();
            {
                let mut front_end = front_end.borrow_mut();
                if front_end.requesters.len() >= front_end.config.max_look_ups {
                    return Resolution::Failed;
                }
                let remaining = deadline.saturating_duration_since(tokio::time::Instant::now());
                front_end.start_look_up(Requester::Call(sender), CALL_CLASS, name.clone(), remaining);
            }
            let Ok(Some(result)) = receiver.await else { return Resolution::Failed };
            let targets = dns::targets(&result.records, &e164_number);
            // Hosts that are not served here are skipped. A name that refers to itself ends the search.
            let front_end = front_end.borrow();
            let next = targets.iter().find_map(|target| match target {
                Target::Name(next_name) => Some(Err(next_name.clone())),
                uri => front_end.node_for(uri).map(Ok),
            });
            match next {
                Some(Ok(node)) => return Resolution::RouteTo(node),
                Some(Err(next_name)) if next_name != name => name = next_name,
                _ => return Resolution::NotFound,
            }
        }
        Resolution::NotFound
    };
    tokio::time::timeout(time_limit, search).await.unwrap_or(Resolution::Failed)
}

/// Receives resolvers' queries on a socket.
pub async fn serve_queries(front_end: Handle, socket: UdpSocket) {
    let socket = Rc::new(socket);
    front_end.borrow_mut().socket = Some(socket.clone());
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    let mut received = 0;
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => front_end.borrow_mut().on_datagram(from, &buffer[..length]),
            Err(e) => warn!(front_end.borrow().log, "query not read"; "error" => %e),
        }
        received += 1;
        if received % QUERIES_PER_TURN == 0 {
            tokio::task::yield_now().await;
        }
    }
}

impl TimerDriven for EnumFrontEnd {
    fn next_due(&self) -> Option<Duration> {
        self.core.next_due()
    }

    fn run_due(&mut self, now: Duration) {
        self.core.run_due_timers(now);
        self.flush();
    }

    fn sweep(&mut self, _now: Duration) {
        self.report_capacity();
        self.flush();
    }
}

/// Runs the timers of the core, and reports the capacity of the upstream servers at an interval.
pub async fn run_timers(front_end: Handle) {
    let (clock, timers_changed) = (front_end.borrow().clock, front_end.borrow().timers_changed.clone());
    connection::run_timers(front_end, clock, timers_changed, REPORT_INTERVAL).await;
}
