//! The call front end: clients speak SIP, exchanges JSON lines, and the coordinator sends the membership.
//!
//! The front end turns messages into requests and replies for the core, and the core's effects into messages.

mod clients;
mod effects;
mod exchanges;
mod releases;

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;

use slog::{debug, info, warn, Logger};
use tokio::net::UdpSocket;
use tokio::sync::Notify;

use crate::call::budget::{Budget, BudgetLimits};
use crate::call::calls::{Call, Origin};
use crate::call::core::{Core, Effect, Reply, Request, CAUSE_NORMAL_CLEARING, CAUSE_TEMPORARY_FAILURE};
use crate::call::deferred::DeferredRequests;
use crate::call::exchanges::Exchanges;
use crate::call::memory;
use crate::call::releases::{PendingReleases, ReleaseTask};
use crate::interface::*;
use crate::lifecycle::config::Config;
use crate::lifecycle::membership::{ListedExchange, MembershipUpdate};
use crate::metrics::Metrics;
use crate::net::client_connections::{ClientConnections, RequestLimit};
use crate::net::connection::{
    self, Clock, CloseReason, ConnectionLimits, SharedWriteBuffer, TimerDriven, WriteBuffer,
};
use crate::net::enumeration::{self, Resolution};
use crate::net::exchange_pool::{ConnectFailure, ConnectionId, ExchangePool};
use crate::net::sockets;
use crate::protocol::sip::{Message, StartLine};
use crate::protocol::{coordinator, jsonl, sip};
use crate::Controller;

/// Subtracted from the time for which a caller waits, so that the answer reaches it in time.
const RESPONSE_MARGIN: Duration = Duration::from_millis(20);
/// Share of the descriptors available to client connections; clients by themselves use a third at most.
const CLIENT_CONNECTIONS_SHARE: f64 = 0.6;
/// Maximum length in bytes of the id of a call. Ids are kept for a while after the end of their calls; those
/// of the protocol have 16 digits.
const MAX_CALL_ID_BYTES: usize = 128;
/// Maximum number of circuits that one call may seize: more than any bearer service needs (H12, 30 channels).
const MAX_CIRCUITS_PER_CALL: f64 = 64.0;
/// Time after which a coordinator that has been asked, and has sent no event yet, is taken to have none that this
/// process lacks.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(100);
/// Longest time for which a new process waits for the coordinator before it passes health checks.
const MAX_COORDINATOR_WAIT: Duration = Duration::from_secs(1);
/// Maximum number of deferred requests that are routed in one go, so that other events wait for no more than these.
const MAX_DEFERRED_PER_RUN: usize = 256;
/// Longest ring limit that a set-up may specify.
const MAX_RING_LIMIT: Duration = Duration::from_secs(600);
/// Largest datagram exchanged between routers, in bytes.
pub const MAX_DATAGRAM_SIZE: usize = 256;

/// A set-up without a final answer.
#[derive(Debug)]
struct Invite {
    /// Connection on which it arrived.
    client: u64,
    /// Headers that its answer repeats.
    echoed_headers: String,
}

/// The call front end with its core, its connections and its open requests.
#[derive(Debug)]
pub struct Platform {
    weak_self: Weak<RefCell<Platform>>,
    /// Core that makes the decisions for the calls.
    pub core: Core,
    pub(in crate::net) clock: Clock,
    pub(in crate::net) log: Logger,
    /// Counters for the console and the log.
    pub metrics: Metrics,
    class_names: Vec<String>,
    gauge_names: Vec<String>,
    pub(in crate::net) connect_timeout: Duration,
    /// Time for which an exchange that was sent a set-up may be silent before another connection is opened.
    silence_timeout: Duration,
    /// Number of the last coordinator event applied.
    pub(in crate::net) last_event: u64,
    clients: ClientConnections,
    invites: HashMap<CallId, Invite>,
    /// Open requests that are not passed to the core yet.
    deferred: DeferredRequests,
    releases: PendingReleases,
    pools: BTreeMap<ExchangeId, ExchangePool>,
    last_connection_id: u64,
    is_draining: bool,
    /// Whether new requests are refused and the connections to exchanges have been closed for good.
    is_stopped: bool,
    /// Buffers of all client connections: incomplete messages, and answers that are owed to no open request.
    client_budget: Rc<Budget>,
    /// Unsent bytes on all connections to exchanges and to the coordinator.
    server_budget: Rc<Budget>,
    /// Memory limit in bytes, as it was at the start.
    memory_limit: usize,
    client_limits: ConnectionLimits,
    server_limits: ConnectionLimits,
    /// Hold-off in milliseconds for callers that are refused without a hold-off from the controller.
    hold_off: Option<u128>,
    /// ENUM front end that resolves numbers, if configured, and the share of a call's time that a look-up may
    /// take.
    look_up: Option<(enumeration::Handle, f64)>,
    started_at: Duration,
    peer_socket: Option<Rc<UdpSocket>>,
    /// Addresses of the routers, by their numbers.
    peers: Vec<SocketAddr>,
    /// Address that reaches all routers at once.
    peers_all: Option<SocketAddr>,
    pub(in crate::net) coordinator: Option<SocketAddr>,
    /// Time at which the coordinator was first asked for events.
    coordinator_asked_at: Option<Duration>,
    /// Whether a frame of the coordinator has arrived.
    has_coordinator_frame: bool,
    /// Notified when a reload has changed the coordinator.
    pub(in crate::net) coordinator_changed: Rc<Notify>,
    /// Notified when work may have become due earlier than before.
    pub(in crate::net) timers_changed: Rc<Notify>,
}

/// Shared handle to the front end. All tasks run on one thread, and none keeps a borrow across an await.
pub type Handle = Rc<RefCell<Platform>>;

impl Platform {
    /// Creates the front end and its core.
    ///
    /// # Errors
    /// Returns an error if the controller rejects the settings.
    pub fn new(config: &Config, log: Logger, clock: Clock) -> Result<Handle, SettingsError> {
        let (now, limits) = (clock.now(), &config.settings.limits);
        let max_clients = max_client_connections(config);
        let client_memory = memory::client_buffer_memory(config.memory_limit, max_clients);
        let server_memory = memory::exchange_memory(config.memory_limit);
        let exchanges = Exchanges::with_nodes_of(&config.settings);
        let controller = Controller::new(config.settings.clone(), config.seed, now)?;
        let platform = Rc::new_cyclic(|weak_self| {
            RefCell::new(Self {
                weak_self: weak_self.clone(),
                core: Core::new(controller, exchanges, now),
                clock,
                log,
                metrics: Metrics::default(),
                class_names: config.class_names.clone(),
                gauge_names: config.gauge_names.clone(),
                connect_timeout: config.connect_timeout,
                silence_timeout: config
                    .settings
                    .classes
                    .iter()
                    .map(|c| c.latency_objective / 2)
                    .min()
                    .unwrap_or_default(),
                last_event: config.last_known_event,
                clients: ClientConnections::new(
                    max_clients,
                    memory::request_memory(config.memory_limit, max_clients),
                ),
                invites: HashMap::new(),
                deferred: DeferredRequests::default(),
                releases: PendingReleases::default(),
                pools: BTreeMap::new(),
                last_connection_id: 0,
                is_draining: false,
                is_stopped: false,
                client_budget: Budget::new(client_memory),
                server_budget: Budget::new(server_memory),
                memory_limit: config.memory_limit,
                client_limits: within_reserve(connection::CLIENT_LIMITS, client_memory),
                server_limits: within_reserve(connection::SERVER_LIMITS, server_memory),
                hold_off: limits.hold_off_allowed.then_some(limits.max_hold_off.as_millis()),
                look_up: None,
                started_at: now,
                peer_socket: None,
                peers: config.peers.clone(),
                peers_all: config.peers_all,
                coordinator: config.coordinator,
                coordinator_asked_at: None,
                has_coordinator_frame: false,
                coordinator_changed: Rc::default(),
                timers_changed: Rc::default(),
            })
        });
        platform.borrow_mut().apply_known_updates(config);
        Ok(platform)
    }

    /// Applies the membership updates of the configuration file.
    fn apply_known_updates(&mut self, config: &Config) {
        for (index, update) in config.known_updates.iter().enumerate() {
            let kind = if index == 0 || update.is_full { UpdateKind::Stored } else { UpdateKind::Changes };
            self.apply_update(kind, update);
        }
    }

    /// Applies the parts of a new configuration that may change while calls are served: the coordinator, the
    /// other routers and the limits. With a coordinator, the membership is kept, since the coordinator is
    /// asked for the events after the last one received. Without one, the membership of the file applies: what
    /// differs in it is news, and nothing else.
    pub fn reload(&mut self, config: &Config) {
        (self.peers, self.peers_all) = (config.peers.clone(), config.peers_all);
        self.clients.set_limit(max_client_connections(config), self.memory_limit);
        if config.coordinator.is_none() {
            self.last_event = config.last_known_event;
            if let Some(changes) = MembershipUpdate::changes(self.listed_exchanges(), &config.known_updates) {
                self.apply_update(UpdateKind::Changes, &changes);
            }
        }
        if std::mem::replace(&mut self.coordinator, config.coordinator) != config.coordinator {
            self.coordinator_changed.notify_one();
        }
    }

    /// Returns the listed exchanges with their addresses.
    fn listed_exchanges(&self) -> Vec<ListedExchange> {
        let listed = |member: &Member| {
            let pool = self.pools.get(&member.exchange)?;
            Some(ListedExchange { member: member.clone(), address: pool.address })
        };
        self.core.exchanges.members().filter_map(listed).collect()
    }

    fn next_connection_id(&mut self) -> u64 {
        self.last_connection_id += 1;
        self.last_connection_id
    }

    /// Starts to fail health checks (OPTIONS), so that clients send their calls to other routers.
    pub fn drain(&mut self) {
        self.is_draining = true;
    }

    /// Returns whether health checks fail because the router is draining.
    pub fn is_draining(&self) -> bool {
        self.is_draining
    }

    /// Sets the ENUM front end that resolves the numbers of calls without a destination, and the share of a
    /// call's time that a look-up may take.
    pub fn set_look_up(&mut self, front_end: enumeration::Handle, share: f64) {
        self.look_up = Some((front_end, share));
    }

    /// Returns the number of set-ups without a final answer, including those whose number is being looked up.
    pub fn unanswered(&self) -> usize {
        self.invites.len()
    }

    /// Closes the client connections without an open request; their clients turn to another router. Once no
    /// client is reachable, messages of exchanges can no longer be passed on, and the router stops.
    pub fn close_idle_clients(&mut self) {
        self.clients.close_idle(self.clock.now());
        if !self.clients.has_reachable_client() {
            self.stop();
        }
    }

    /// Returns whether a client is still connected.
    pub fn has_clients(&self) -> bool {
        !self.clients.is_empty()
    }

    /// Answers every open request and accepts no further one. Client connections are closed once their
    /// requests are answered, those to exchanges at once: messages sent by exchanges from now on are for the
    /// next process.
    pub fn stop(&mut self) {
        self.core.give_up_all(self.clock.now());
        self.flush();
        let unrouted: Vec<CallId> = self.invites.keys().cloned().collect();
        unrouted.iter().for_each(|id| self.answer_unrouted(id, 503));
        self.is_stopped = true;
        self.pools.values().for_each(ExchangePool::close);
        self.clients.close_all();
    }

    /// Returns an empty write buffer for a client connection.
    pub(in crate::net) fn client_buffer(&self) -> SharedWriteBuffer {
        Rc::new(WriteBuffer::new(self.client_limits, self.client_budget.clone()))
    }

    /// Returns an empty write buffer for a connection to an exchange or to the coordinator.
    pub(in crate::net) fn server_buffer(&self) -> SharedWriteBuffer {
        Rc::new(WriteBuffer::new(self.server_limits, self.server_budget.clone()))
    }

    /// Returns the connection pool of each exchange, for the console.
    pub fn pools(&self) -> impl Iterator<Item = (&ExchangeId, &ExchangePool)> {
        self.pools.iter()
    }

    /// Returns whether the events have arrived, as far as can be known, that the coordinator announced since the
    /// configuration was written: an earlier process may have been told that an exchange drains.
    fn is_membership_current(&self) -> bool {
        let now = self.clock.now();
        self.coordinator.is_none()
            || self.has_coordinator_frame
            || self.coordinator_asked_at.is_some_and(|asked_at| now >= asked_at + FIRST_EVENT_TIMEOUT)
            || now >= self.started_at + MAX_COORDINATOR_WAIT
    }

    /// Records that the coordinator has been asked for the events after the last one received.
    pub(in crate::net) fn on_coordinator_asked(&mut self) {
        self.coordinator_asked_at.get_or_insert(self.clock.now());
    }

    /// Returns whether the membership is current and a connect to every listed exchange has succeeded or failed:
    /// the group states on which decisions are based have then arrived.
    fn is_ready(&self) -> bool {
        if !self.is_membership_current() {
            return false;
        }
        let has_tried_all =
            self.pools.values().filter(|pool| pool.is_listed()).all(ExchangePool::has_tried_connect);
        !self.is_draining && (has_tried_all || self.clock.now() > self.started_at + 2 * self.connect_timeout)
    }

    // ---- membership ----------------------------------------------------------------------------

    /// Applies an update of the membership to the connection pools and the core.
    fn apply_update(&mut self, kind: UpdateKind, update: &MembershipUpdate) {
        let now = self.clock.now();
        let listed = &update.exchanges;
        if kind != UpdateKind::Changes {
            let named: BTreeSet<&ExchangeId> =
                listed.iter().map(|exchange| &exchange.member.exchange).collect();
            let missing = self.pools.iter_mut().filter(|(id, _)| !named.contains(id));
            missing.for_each(|(_, pool)| pool.set_listed(now, false));
        }
        for ListedExchange { member, address } in listed {
            let id = &member.exchange;
            let pool = self
                .pools
                .entry(id.clone())
                .or_insert_with(|| ExchangePool::new(*address, self.silence_timeout));
            pool.set_listed(now, member.health != Health::Gone);
            let has_moved = std::mem::replace(&mut pool.address, *address) != *address;
            let former_start = self.core.exchanges.member(id).map(|former| former.up_since);
            if has_moved || former_start.is_some_and(|up_since| up_since != member.up_since) {
                pool.on_process_replaced(now);
            }
            info!(self.log, "exchange listed"; "exchange_id" => &*id.0, "place" => member.node.0,
                "health" => ?member.health, "up_since" => ?member.up_since, "event" => self.last_event);
        }
        let present = listed.iter().filter(|exchange| exchange.member.health != Health::Gone);
        let addresses: BTreeSet<SocketAddr> = present.map(|exchange| exchange.address).collect();
        let former =
            self.pools.values().filter(|pool| !pool.is_listed() && addresses.contains(&pool.address));
        former.for_each(ExchangePool::on_address_reassigned);
        let members = listed.iter().map(|exchange| exchange.member.clone()).collect();
        self.core.update_membership(now, kind, members);
        self.withdraw_queued(listed);
        self.pools.retain(|_, pool| !pool.is_removable());
        self.flush();
    }

    /// Takes back the set-ups that wait for a connection to an exchange that accepts no new ones, and reports
    /// them as not sent so that they go elsewhere: the connection may come up long after the exchange's drain
    /// was announced.
    fn withdraw_queued(&mut self, listed: &[ListedExchange]) {
        let refusing = listed.iter().filter(|exchange| exchange.member.health != Health::Live);
        let unlisted = self.pools.iter().filter(|(_, pool)| !pool.is_listed()).map(|(id, _)| id);
        let affected: BTreeSet<ExchangeId> =
            refusing.map(|exchange| &exchange.member.exchange).chain(unlisted).cloned().collect();
        for exchange in affected {
            let queued = self.pools.get_mut(&exchange).map(ExchangePool::take_queued_set_ups);
            for call in queued.unwrap_or_default() {
                self.on_attempt_connection_lost(&exchange, &call, false);
            }
        }
    }

    /// Applies the membership update in a frame, unless its event is no newer than the last one received.
    pub(in crate::net) fn on_coordinator_frame(&mut self, frame: coordinator::Frame) {
        self.has_coordinator_frame = true;
        let Some(update) = frame.update.filter(|_| frame.event_number > self.last_event) else { return };
        self.last_event = frame.event_number;
        let listed = update.records.into_iter().map(|r| ListedExchange {
            member: Member {
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
        let update = MembershipUpdate { is_full: update.is_full, exchanges: listed.collect() };
        self.apply_update(if update.is_full { UpdateKind::Full } else { UpdateKind::Changes }, &update);
    }
}

impl TimerDriven for Platform {
    fn next_due(&self) -> Option<Duration> {
        self.core.next_due().into_iter().chain(self.deferred.next_due()).min()
    }

    fn run_due(&mut self, now: Duration) {
        self.core.run_due_timers(now);
        self.route_due_requests(now);
        self.flush();
    }

    fn sweep(&mut self, now: Duration) {
        self.run_due_releases(now);
        self.withdraw_requests_of_closed_clients(now);
        for client in self.clients.sweep(now) {
            self.metrics.count_protocol_error("message_timeout");
            self.send_to_client(client, &sip::response(408, "", None, b""));
            self.clients.request_close(client, CloseReason::MessageTimeout);
        }
        self.pools.values_mut().for_each(|pool| pool.sweep(now));
        self.pools.retain(|_, pool| !pool.is_removable());
        let exchanges: Vec<ExchangeId> = self.pools.keys().cloned().collect();
        exchanges.iter().for_each(|e| self.connect_if_needed(e));
    }
}

/// Returns the limits of a connection whose guaranteed unsent bytes fit into its reserve of the memory.
fn within_reserve(limits: ConnectionLimits, memory: BudgetLimits) -> ConnectionLimits {
    let guaranteed_unsent = limits.guaranteed_unsent.min(memory.reserve_per_holder);
    ConnectionLimits { guaranteed_unsent, ..limits }
}

/// Returns the number of client connections that the limit on descriptors allows.
fn max_client_connections(config: &Config) -> usize {
    (config.max_sockets as f64 * CLIENT_CONNECTIONS_SHARE) as usize
}
