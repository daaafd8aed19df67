//! The platform's front: callers in SIP, booking exchanges in JSON lines, the list from the coordinator.
//!
//! It turns messages into requests and replies for the core, and the core's effects into messages.

mod clients;
mod effects;
mod exchanges;
mod releases;

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;

use slog::{debug, info, warn, Logger};
use tokio::net::UdpSocket;
use tokio::sync::Notify;

use crate::call::calls::Origin;
use crate::call::core::{Core, Effect, Reply, Request, CAUSE_NORMAL_CLEARING, CAUSE_TEMPORARY_FAILURE};
use crate::call::exchanges::Exchanges;
use crate::interface::*;
use crate::lifecycle::config::{Config, ListUpdate, ListedExchange};
use crate::metrics::Metrics;
use crate::net::connection::{self, Clock, CloseReason, SharedWriteBuffer, Timed, WriteBudget, WriteBuffer};
use crate::net::enumeration::{self, Resolution};
use crate::net::exchange_pool::{ConnId, ExchangePool, Failure};
use crate::net::{client_connections::ClientConnections, sockets};
use crate::protocol::sip::{Message, StartLine};
use crate::protocol::{coordinator, jsonl, sip};
use crate::Controller;

/// Taken off what the caller waits, so that the answer is with it in time.
const RESPONSE_MARGIN: Duration = Duration::from_millis(20);
/// A release that finds no caller connection waits so long, and so many wait at most.
const RELEASE_WAIT: Duration = Duration::from_secs(8);
const MAX_WAITING_RELEASES: usize = 8192;
/// Share of the descriptors for connections of callers; they hold a third at most by themselves.
const CLIENT_CONNECTIONS_SHARE: f64 = 0.6;
/// A release that no client has confirmed is sent again over another connection after this, and after twice the
/// time for each repeat. Confirming it is free, so one that is never confirmed may have arrived all the same.
const RELEASE_RETRY: Duration = Duration::from_millis(300);
/// A release is sent so often at most; the last time 4.5 s after the first, since it is due within 8 s.
const MAX_RELEASE_SENDS: u32 = 5;
/// Set-ups open on one connection at most.
const MAX_SET_UPS_PER_CONNECTION: usize = 1024;
/// Circuits that one call may take: more than any bearer service needs (H12, 30 channels).
const WIDEST: f64 = 64.0;
/// Longest time that a caller may say it waits.
const LONGEST_WAIT: Duration = Duration::from_secs(600);
/// Largest datagram between routers.
pub const DATAGRAM: usize = 256;

#[derive(Debug)]
struct Invite {
    client: u64,
    echoed: String,
}

/// A release that waits for a connection.
#[derive(Debug)]
struct Release {
    call: CallId,
    cause: u32,
    until: Duration,
    times: u32,
}

/// A release that was sent and has not been heard of.
#[derive(Debug)]
struct Sent {
    client: u64,
    cause: u32,
    at: Duration,
    times: u32,
}

impl Sent {
    fn retry_at(&self) -> Duration {
        self.at + RELEASE_RETRY * (1 << (self.times - 1).min(MAX_RELEASE_SENDS))
    }
}

/// The front and all that it holds.
#[derive(Debug)]
pub struct Platform {
    me: Weak<RefCell<Platform>>,
    /// The core behind it.
    pub core: Core,
    pub(in crate::net) clock: Clock,
    pub(in crate::net) log: Logger,
    /// Counters for the console and the log.
    pub metrics: Metrics,
    class_names: Vec<String>,
    gauge_names: Vec<String>,
    pub(in crate::net) connect_timeout: Duration,
    /// How long an exchange that has been sent a set-up may say nothing before another connection is opened.
    silence: Duration,
    pub(in crate::net) last_event: u64,
    clients: ClientConnections,
    invites: HashMap<CallId, Invite>,
    releases: HashMap<CallId, Sent>,
    waiting: VecDeque<Release>,
    pools: BTreeMap<ExchangeId, ExchangePool>,
    next_conn: u64,
    draining: bool,
    /// No request is taken up any more, and the connections to exchanges are closed for good.
    is_stopped: bool,
    client_budget: Rc<WriteBudget>,
    server_budget: Rc<WriteBudget>,
    /// How long a caller that is turned away without the module's word is to stay away, ms.
    hold_off: Option<u128>,
    /// Looks numbers up, where that is set up, and for which share of a call's time.
    look_up: Option<(enumeration::Handle, f64)>,
    started: Duration,
    peer_socket: Option<Rc<UdpSocket>>,
    peers: Vec<SocketAddr>,
    peers_all: Option<SocketAddr>,
    pub(in crate::net) coordinator: Option<SocketAddr>,
    pub(in crate::net) coordinator_moved: Rc<Notify>,
    pub(in crate::net) due: Rc<Notify>,
}

/// A front that its tasks share. All run on one thread, and none holds it across an await.
pub type Handle = Rc<RefCell<Platform>>;

impl Platform {
    /// Makes the front and its core.
    ///
    /// # Errors
    /// When the decision module takes the settings for senseless.
    pub fn new(config: &Config, log: Logger, clock: Clock) -> Result<Handle, SettingsError> {
        let (now, limits) = (clock.now(), &config.settings.limits);
        let exchanges = Exchanges::with_places_of(&config.settings);
        let controller = Controller::new(config.settings.clone(), config.seed, now)?;
        let platform = Rc::new_cyclic(|me| {
            RefCell::new(Self {
                me: me.clone(),
                core: Core::new(controller, exchanges, now),
                clock,
                log,
                metrics: Metrics::default(),
                class_names: config.class_names.clone(),
                gauge_names: config.gauge_names.clone(),
                connect_timeout: config.connect_timeout,
                silence: config.settings.classes.iter().map(|c| c.target_delay / 2).min().unwrap_or_default(),
                last_event: config.last_known_event,
                clients: ClientConnections::new(max_client_connections(config)),
                invites: HashMap::new(),
                releases: HashMap::new(),
                waiting: VecDeque::new(),
                pools: BTreeMap::new(),
                next_conn: 0,
                draining: false,
                is_stopped: false,
                client_budget: WriteBudget::new(connection::WRITE_BUDGET),
                server_budget: WriteBudget::new(connection::WRITE_BUDGET),
                hold_off: limits.retry_after_allowed.then_some(limits.max_retry_after.as_millis()),
                look_up: None,
                started: now,
                peer_socket: None,
                peers: config.peers.clone(),
                peers_all: config.peers_all,
                coordinator: config.coordinator,
                coordinator_moved: Rc::default(),
                due: Rc::default(),
            })
        });
        platform.borrow_mut().apply_known(config);
        Ok(platform)
    }

    fn apply_known(&mut self, config: &Config) {
        for (index, known) in config.known_updates.iter().enumerate() {
            let kind =
                if index == 0 || known.is_full_list { UpdateKind::Stored } else { UpdateKind::Changes };
            self.update(kind, known);
        }
    }

    /// Takes up what a new configuration changes while calls go on: the coordinator, the other routers and
    /// the limits. The list stays, since a coordinator is asked from the last event held; without one it is
    /// the file's.
    pub fn reload(&mut self, config: &Config) {
        (self.peers, self.peers_all) = (config.peers.clone(), config.peers_all);
        self.clients.limit = max_client_connections(config);
        if config.coordinator.is_none() {
            self.apply_known(config);
        }
        if std::mem::replace(&mut self.coordinator, config.coordinator) != config.coordinator {
            self.coordinator_moved.notify_one();
        }
    }

    fn conn(&mut self) -> u64 {
        self.next_conn += 1;
        self.next_conn
    }

    /// Starts to refuse tests: the front sends its calls elsewhere.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Whether tests are refused.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Has numbers looked up for calls that bring no destination, within a share of their time.
    pub fn set_look_up(&mut self, front: enumeration::Handle, share: f64) {
        self.look_up = Some((front, share));
    }

    /// Set-ups that still have no final answer, those whose number is being looked up included.
    pub fn unanswered(&self) -> usize {
        self.invites.len()
    }

    /// Closes the client connections on which nothing waits for an answer; their clients ask another router. Once
    /// none is left, what an exchange tells can't be passed on any more: the router stops.
    pub fn close_idle_clients(&mut self) {
        self.clients.close_idle(self.clock.now());
        if !self.clients.any_reachable() {
            self.stop();
        }
    }

    /// Whether a client is still connected.
    pub fn has_clients(&self) -> bool {
        !self.clients.is_empty()
    }

    /// Answers every open request and takes up no other. Client connections are closed when they are answered,
    /// those to exchanges at once: what an exchange tells from now on is for the next process.
    pub fn stop(&mut self) {
        self.core.give_up_all(self.clock.now());
        self.flush();
        let unrouted: Vec<CallId> = self.invites.keys().cloned().collect();
        unrouted.iter().for_each(|id| self.answer_unrouted(id, 503));
        self.is_stopped = true;
        self.pools.values().for_each(ExchangePool::close);
        self.clients.close_all();
    }

    /// An empty buffer for a client's connection.
    pub(in crate::net) fn client_buffer(&self) -> SharedWriteBuffer {
        Rc::new(WriteBuffer::new(connection::CLIENT_LIMITS, self.client_budget.clone()))
    }

    /// An empty buffer for a connection to an exchange or to the coordinator.
    pub(in crate::net) fn server_buffer(&self) -> SharedWriteBuffer {
        Rc::new(WriteBuffer::new(connection::SERVER_LIMITS, self.server_budget.clone()))
    }

    /// Connections to each exchange, for the console.
    pub fn pools(&self) -> impl Iterator<Item = (&ExchangeId, &ExchangePool)> {
        self.pools.iter()
    }

    /// Whether every listed exchange has been reached or has failed to answer; the group states that the
    /// decisions need have then come in.
    fn is_ready(&self) -> bool {
        let tried = self.pools.values().filter(|l| l.is_listed()).all(ExchangePool::is_tried);
        !self.draining && (tried || self.clock.now() > self.started + 2 * self.connect_timeout)
    }

    // ---- the list ------------------------------------------------------------------------------

    fn update(&mut self, kind: UpdateKind, update: &ListUpdate) {
        let now = self.clock.now();
        let lines = &update.exchanges;
        if kind != UpdateKind::Changes {
            let is_listed = |id: &ExchangeId| lines.iter().any(|l| l.entry.exchange == *id);
            let missing = self.pools.iter_mut().filter(|(id, _)| !is_listed(id));
            missing.for_each(|(_, pool)| pool.set_listed(now, false));
        }
        let before: BTreeMap<ExchangeId, Option<Duration>> =
            self.core.exchanges.entries().map(|e| (e.exchange.clone(), e.up_since)).collect();
        for ListedExchange { entry, address } in lines {
            let id = &entry.exchange;
            let pool =
                self.pools.entry(id.clone()).or_insert_with(|| ExchangePool::new(*address, self.silence));
            pool.set_listed(now, entry.health != Health::Gone);
            let moved = std::mem::replace(&mut pool.address, *address) != *address;
            if moved || before.get(id).is_some_and(|up| *up != entry.up_since) {
                pool.replace_connections(now);
            }
            info!(self.log, "exchange listed"; "exchange_id" => &*id.0, "place" => entry.node.0,
                "health" => ?entry.health, "up_since" => ?entry.up_since, "event" => self.last_event);
        }
        for ListedExchange { address, .. } in lines.iter().filter(|l| l.entry.health != Health::Gone) {
            let former = self.pools.values().filter(|p| !p.is_listed() && p.address == *address);
            former.for_each(ExchangePool::give_up_address);
        }
        self.pools.retain(|_, l| !l.is_spent());
        let entries = lines.iter().map(|l| l.entry.clone()).collect();
        self.core.update_directory(now, kind, entries);
        self.withdraw_queued(lines);
        self.flush();
    }

    /// Set-ups that wait for a connection to an exchange that takes no new ones never left, and go elsewhere: the
    /// connection may come up long after the exchange's drain was told.
    fn withdraw_queued(&mut self, lines: &[ListedExchange]) {
        for ListedExchange { entry, .. } in lines.iter().filter(|l| l.entry.health != Health::Live) {
            let queued = self.pools.get_mut(&entry.exchange).map(ExchangePool::take_queued);
            for call in queued.unwrap_or_default() {
                self.on_connection_reset(&entry.exchange, &call, false);
            }
        }
    }

    pub(in crate::net) fn coordinator_frame(&mut self, frame: coordinator::Frame) {
        let Some(list) = frame.update.filter(|_| frame.event_number > self.last_event) else { return };
        self.last_event = frame.event_number;
        let lines = list.records.into_iter().map(|r| ListedExchange {
            entry: DirectoryEntry {
                exchange: ExchangeId(r.id.into()),
                node: NodeNumber(u32::from(r.node)),
                zone: u32::from(r.zone),
                health: match r.state {
                    0 => Health::Live,
                    1 => Health::Draining,
                    _ => Health::Gone,
                },
                up_since: Some(r.started_ms).filter(|ms| *ms > 0).map(Duration::from_millis),
            },
            address: r.address,
        });
        let update = ListUpdate { is_full_list: list.is_full_list, exchanges: lines.collect() };
        self.update(if list.is_full_list { UpdateKind::Full } else { UpdateKind::Changes }, &update);
    }
}

impl Timed for Platform {
    fn next_due(&self) -> Option<Duration> {
        self.core.next_due()
    }

    fn wake(&mut self, now: Duration) {
        self.core.run_due_timers(now);
        self.flush();
    }

    fn sweep(&mut self, now: Duration) {
        let unconfirmed = self.releases.iter().filter(|(_, r)| now >= r.retry_at());
        let unconfirmed: Vec<CallId> = unconfirmed.map(|(id, _)| id.clone()).collect();
        unconfirmed.iter().for_each(|call| self.release_again(call));
        for client in self.clients.sweep(now) {
            self.metrics.count_protocol_error("message_timeout");
            self.send_to_client(client, &sip::response(408, "", None, b""));
            self.clients.request_close(client, CloseReason::MessageTimeout);
        }
        self.pools.values().for_each(|l| l.sweep(now));
        self.pools.retain(|_, l| !l.is_spent());
        let exchanges: Vec<ExchangeId> = self.pools.keys().cloned().collect();
        exchanges.iter().for_each(|e| self.connect(e));
    }
}

fn max_client_connections(config: &Config) -> usize {
    (config.max_sockets as f64 * CLIENT_CONNECTIONS_SHARE) as usize
}
