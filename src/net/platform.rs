//! The platform's front: callers in SIP, booking exchanges in JSON lines, the list from the coordinator.
//!
//! It turns messages into requests and replies for the core, and the core's effects into messages.

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

use super::connection::{Clock, SharedWriteBuffer, Timed};
use super::enumeration::{self, Resolved};
use super::exchange_pool::{ConnId, ExchangePool, Failure};
use super::{client_connections::ClientConnections, sockets};
use crate::call::calls::Origin;
use crate::call::core::{Core, Effect, Reply, Request, CLEARED, CUT};
use crate::interface::*;
use crate::lifecycle::config::{Config, Listed, Update};
use crate::protocol::sip::{Message, Start};
use crate::protocol::{coordinator, jsonl, sip};
use crate::Controller;

/// Taken off what the caller waits, so that the answer is with it in time.
const RESPONSE_MARGIN: Duration = Duration::from_millis(20);
/// A release that finds no caller connection waits so long, and so many wait at most.
const RELEASE_WAIT: Duration = Duration::from_secs(8);
const MAX_WAITING_RELEASES: usize = 8192;
/// Share of the descriptors for connections of callers; they hold a third at most by themselves.
const CALLERS_SHARE: f64 = 0.6;
/// A release that is not heard of for so long is sent again over another connection, so often at most:
/// hearing it is free, so one that is never heard of may have arrived all the same.
///
/// Guards against releases that went to a caller that does not follow the protocol, or crossed a close.
const UNHEARD: (Duration, u32) = (Duration::from_millis(300), 4);
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
    caller: u64,
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
    caller: u64,
    cause: u32,
    at: Duration,
    times: u32,
}

/// The front and all that it holds.
#[derive(Debug)]
pub struct Platform {
    me: Weak<RefCell<Platform>>,
    /// The core behind it.
    pub core: Core,
    pub(super) clock: Clock,
    pub(super) log: Logger,
    class_names: Vec<String>,
    gauge_names: Vec<String>,
    pub(super) connect_timeout: Duration,
    /// How long an exchange that has been sent a set-up may say nothing before another connection is opened.
    silence: Duration,
    pub(super) last_event: u64,
    clients: ClientConnections,
    invites: HashMap<CallId, Invite>,
    releases: HashMap<CallId, Sent>,
    waiting: VecDeque<Release>,
    pools: BTreeMap<ExchangeId, ExchangePool>,
    next_conn: u64,
    draining: bool,
    /// Nothing new is opened any more.
    stopped: bool,
    /// How long a caller that is turned away without the module's word is to stay away, ms.
    hold_off: Option<u128>,
    /// Looks numbers up, where that is set up, and for which share of a call's time.
    look_up: Option<(enumeration::Handle, f64)>,
    started: Duration,
    peer_socket: Option<Rc<UdpSocket>>,
    peers: Vec<SocketAddr>,
    peers_all: Option<SocketAddr>,
    pub(super) coordinator: Option<SocketAddr>,
    pub(super) coordinator_moved: Rc<Notify>,
    pub(super) due: Rc<Notify>,
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
        let controller = Controller::new(config.settings.clone(), config.seed, now)?;
        let platform = Rc::new_cyclic(|me| {
            RefCell::new(Self {
                me: me.clone(),
                core: Core::new(controller, now),
                clock,
                log,
                class_names: config.class_names.clone(),
                gauge_names: config.gauge_names.clone(),
                connect_timeout: config.connect_timeout,
                silence: config.settings.classes.iter().map(|c| c.aim / 2).min().unwrap_or_default(),
                last_event: config.known_index,
                clients: ClientConnections::new(most_callers(config)),
                invites: HashMap::new(),
                releases: HashMap::new(),
                waiting: VecDeque::new(),
                pools: BTreeMap::new(),
                next_conn: 0,
                draining: false,
                stopped: false,
                hold_off: limits.retry_after.then_some(limits.max_retry_after.as_millis()),
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
        for (index, known) in config.known.iter().enumerate() {
            let kind = if index == 0 || known.whole { ListKind::Stored } else { ListKind::Changes };
            self.update(kind, known);
        }
    }

    /// Takes up what a new configuration changes while calls go on: the coordinator, the other routers and
    /// the limits. The list stays, since a coordinator is asked from the last event held; without one it is
    /// the file's.
    pub fn reload(&mut self, config: &Config) {
        (self.peers, self.peers_all) = (config.peers.clone(), config.peers_all);
        self.clients.most = most_callers(config);
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

    /// Closes the callers' connections on which nothing waits for an answer.
    ///
    /// Guards against requests that are taken in the last moment and end with the program: whoever finds its
    /// connection closed asks another router.
    pub fn close_idle(&self) {
        self.clients.close_idle(false);
    }

    /// Answers what is still open and closes all connections, before the program ends. What an exchange
    /// tells after that comes on the next connection opened to it.
    pub fn finish(&mut self) {
        self.core.finish(self.clock.now());
        self.flush();
        let looked_up: Vec<CallId> = self.invites.keys().cloned().collect();
        looked_up.iter().for_each(|id| self.answer_unrouted(id, 503));
        self.stopped = true;
        self.pools.values().for_each(ExchangePool::close);
        self.clients.close_idle(true);
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

    fn update(&mut self, kind: ListKind, update: &Update) {
        let now = self.clock.now();
        let lines = &update.lines;
        if kind != ListKind::Changes {
            self.pools.values_mut().for_each(|l| l.set_listed(now, false));
        }
        let before: BTreeMap<ExchangeId, Option<Duration>> =
            self.core.exchanges.lines().map(|e| (e.exchange.clone(), e.up_since)).collect();
        for Listed { entry, address } in lines {
            let id = &entry.exchange;
            let pool =
                self.pools.entry(id.clone()).or_insert_with(|| ExchangePool::new(*address, self.silence));
            pool.set_listed(now, entry.health != Health::Gone);
            let moved = std::mem::replace(&mut pool.address, *address) != *address;
            if moved || before.get(id).is_some_and(|up| *up != entry.up_since) {
                pool.replace_connections(now);
            }
            info!(self.log, "listed"; "exchange" => &*id.0, "place" => entry.place.0,
                "health" => ?entry.health, "up_since" => ?entry.up_since);
        }
        self.pools.retain(|_, l| !l.is_spent());
        let entries = lines.iter().map(|l| l.entry.clone()).collect();
        self.core.directory(now, kind, entries);
        self.flush();
    }

    pub(super) fn coordinator_frame(&mut self, frame: coordinator::Frame) {
        let Some(list) = frame.list.filter(|_| frame.number > self.last_event) else { return };
        self.last_event = frame.number;
        let lines = list.records.into_iter().map(|r| Listed {
            entry: Entry {
                exchange: ExchangeId(r.id.into()),
                place: Place(u32::from(r.cell)),
                zone: u32::from(r.zone),
                health: match r.state {
                    0 => Health::Live,
                    1 => Health::Draining,
                    _ => Health::Gone,
                },
                up_since: Some(r.started).filter(|ms| *ms > 0).map(Duration::from_millis),
            },
            address: r.address,
        });
        let update = Update { whole: list.whole, lines: lines.collect() };
        self.update(if list.whole { ListKind::Full } else { ListKind::Changes }, &update);
    }

    // ---- callers -------------------------------------------------------------------------------

    pub(super) fn on_client_message(&mut self, caller: u64, message: Message) {
        let now = self.clock.now();
        self.clients.on_message(now, caller);
        let Some(id) = message.call_id().map(|id| CallId(id.into())) else {
            return self.reject(caller, 400, &message.echoed(), "no Call-ID");
        };
        let Start::Request { method, user } = &message.start else {
            let of = message.header("CSeq").unwrap_or_default();
            if of.ends_with("BYE") && message.start != Start::Response(100) {
                self.releases.remove(&id);
            }
            return;
        };
        let echoed = message.echoed();
        match method.as_str() {
            "INVITE" => self.invite(now, caller, id, user.as_str().into(), &message, echoed),
            "ACK" => {}
            "CANCEL" => {
                let status = if self.invites.contains_key(&id) { 200 } else { 481 };
                self.send_to_client(caller, &sip::response(status, &echoed, None, b""));
                self.withdraw(now, &id, true);
            }
            "BYE" => {
                // After a restart it is not known which calls stand; the release is passed on all the same.
                let known = self.core.calls.open.contains_key(&id) || self.core.calls.is_over(&id);
                let status = if known { 200 } else { 481 };
                self.send_to_client(caller, &sip::response(status, &echoed, None, b""));
                self.releases.remove(&id);
                let cause = sip::cause_of(message.header("Reason"));
                self.core.hang_up(now, &id, cause);
            }
            "OPTIONS" => {
                let status = if self.is_ready() { 200 } else { 503 };
                self.send_to_client(caller, &sip::response(status, &echoed, None, b""));
            }
            _ => self.reject(caller, 501, &echoed, "method not served"),
        }
        self.flush();
    }

    fn invite(
        &mut self,
        now: Duration,
        caller: u64,
        id: CallId,
        number: Arc<str>,
        message: &Message,
        echoed: String,
    ) {
        let Some(offer) = self.offer(&id, number, message) else {
            return self.reject(caller, 400, &echoed, "set-up not understood");
        };
        let Ok(description) = std::str::from_utf8(&message.body) else {
            return self.reject(caller, 400, &echoed, "description is not UTF-8");
        };
        let (dest, offer) = offer;
        // Guards against a second answer: an id is never reused, so one that comes again is the same set-up,
        // which is passed over, or somebody else's, which is told so and leaves the first alone.
        let held = self.core.calls.open.get(&id).map(|c| (c.origin.0, &*c.description == description));
        let asked = self.invites.get(&id).map(|i| (i.caller, held.is_none_or(|h| h.1)));
        if let Some((origin, same)) = asked.or(held) {
            if origin == caller && same {
                debug!(self.log, "set-up came twice"; "call" => &*id.0);
                return self.clients.record_protocol_error(caller);
            }
            return self.reject(caller, 482, &echoed, "id of another set-up");
        }
        if self.core.calls.is_over(&id) {
            return self.reject(caller, 482, &echoed, "id of a set-up that is over");
        }
        if let Some(place) = dest.filter(|d| !self.core.exchanges.serves(*d)) {
            debug!(self.log, "no such exchange"; "place" => place.0);
            return self.reject(caller, 404, &echoed, "no such destination");
        }
        // Guards memory, and the turn of the others, against a caller that floods one connection.
        if self.clients.set_ups(caller) >= MAX_SET_UPS_PER_CONNECTION {
            return self.send_to_client(caller, &sip::response(503, &echoed, self.hold_off, b""));
        }
        self.invites.insert(id.clone(), Invite { caller, echoed });
        self.clients.begin(caller, id);
        let request = Request { origin: Origin(caller), offer, description: description.into() };
        match dest {
            Some(_) => self.core.request(now, request),
            None => self.look_up(now, request),
        }
    }

    /// Reads what a set-up asks for; `None` if a figure is missing, no number or out of range. A destination
    /// may be missing where numbers are looked up.
    fn offer(&self, id: &CallId, number: Arc<str>, message: &Message) -> Option<(Option<Place>, Offer)> {
        let class = message.header("X-Call-Class");
        let class = class.and_then(|name| self.class_names.iter().position(|n| n == name))?;
        let limit = Duration::from_millis(message.header("X-Ring-Limit")?.parse().ok()?);
        let figures = sip::figures(message.header("X-Dest").unwrap_or_default())?;
        let figure = |name| figures.iter().find(|(n, _)| *n == name).map(|(_, v)| *v);
        let whole = |name, least: f64, most: f64| match figure(name) {
            None => Some(None),
            Some(n) => ((least..=most).contains(&n) && n.fract() == 0.0).then_some(Some(n)),
        };
        let dest = whole("dest", 0.0, f64::from(u32::MAX))?.map(|n| Place(n as u32));
        let width = whole("width", 1.0, WIDEST)?.map(|n| n as u32);
        let via = whole("via", -1.0, f64::from(u32::MAX))?.filter(|n| *n >= 0.0).map(|n| Place(n as u32));
        let flag = |name| whole(name, 0.0, 1.0).map(|n| n == Some(1.0));
        let again = message.header("X-Again").unwrap_or("0");
        let fits = !limit.is_zero() && limit <= LONGEST_WAIT && matches!(again, "0" | "1");
        (fits && (dest.is_some() || self.look_up.is_some())).then_some(())?;
        let offer = Offer {
            call: id.clone(),
            class,
            tenant: 0,
            number,
            remaining: limit.saturating_sub(RESPONSE_MARGIN),
            dest: dest.unwrap_or(Place(0)),
            width,
            via,
            again: again == "1",
            transit: flag("transit")?,
            reconnect: flag("again")?,
        };
        Some((dest, offer))
    }

    /// A message that can't be served.
    fn reject(&mut self, caller: u64, status: u16, echoed: &str, why: &str) {
        debug!(self.log, "turned down"; "caller" => caller, "status" => status, "why" => why);
        self.send_to_client(caller, &sip::response(status, echoed, None, b""));
        self.clients.record_protocol_error(caller);
    }

    /// Finds the destination of a call that brings only a number, then routes it with the time it has left.
    fn look_up(&mut self, now: Duration, mut request: Request) {
        let (Some((front, share)), Some(me)) = (self.look_up.clone(), self.me.upgrade()) else { return };
        let deadline = now + request.offer.remaining;
        let within = request.offer.remaining.mul_f64(share);
        tokio::task::spawn_local(async move {
            let found = enumeration::resolve(front, request.offer.number.to_string(), within).await;
            let mut platform = me.borrow_mut();
            let id = request.offer.call.clone();
            if !platform.invites.contains_key(&id) {
                return; // the caller has gone
            }
            let now = platform.clock.now();
            match found {
                Resolved::To(place) => {
                    request.offer.dest = place;
                    request.offer.remaining = deadline.saturating_sub(now);
                    platform.core.request(now, request);
                }
                Resolved::Nowhere => platform.answer_unrouted(&id, 404),
                Resolved::Unknown => platform.answer_unrouted(&id, 503),
            }
            platform.flush();
        });
    }

    /// Final answer to a call that never reached the core.
    fn answer_unrouted(&mut self, id: &CallId, status: u16) {
        if let Some(invite) = self.take_invite(id) {
            self.send_to_client(invite.caller, &sip::response(status, &invite.echoed, None, b""));
        }
    }

    /// The caller has given a set-up up.
    fn withdraw(&mut self, now: Duration, id: &CallId, tell: bool) {
        if let Some(invite) = self.take_invite(id) {
            if tell {
                self.send_to_client(invite.caller, &sip::response(487, &invite.echoed, None, b""));
            }
            self.core.hang_up(now, id, CLEARED);
        }
    }

    fn take_invite(&mut self, id: &CallId) -> Option<Invite> {
        let invite = self.invites.remove(id)?;
        self.clients.end(invite.caller, id);
        Some(invite)
    }

    fn send_to_client(&self, caller: u64, bytes: &[u8]) {
        self.clients.send(caller, bytes);
    }

    /// After what was read last, a caller is in the middle of a message or not.
    pub(super) fn on_client_read(&mut self, caller: u64, half: bool) {
        self.clients.on_read(self.clock.now(), caller, half);
    }

    pub(super) fn on_client_connected(&mut self, writes: SharedWriteBuffer) -> Option<u64> {
        let (now, id) = (self.clock.now(), self.conn());
        if !self.clients.admit(now, id, writes) {
            return None;
        }
        for release in std::mem::take(&mut self.waiting) {
            if release.until > now {
                self.send_release(Some(id), release.call, release.cause, release.times);
            }
        }
        Some(id)
    }

    pub(super) fn on_client_disconnected(&mut self, caller: u64) {
        let now = self.clock.now();
        for id in self.clients.remove(caller) {
            self.withdraw(now, &id, false);
        }
        // Guards against releases lost in a close that crossed them.
        let unheard: Vec<CallId> =
            self.releases.iter().filter(|(_, r)| r.caller == caller).map(|(id, _)| id.clone()).collect();
        unheard.iter().for_each(|call| self.release_again(call));
        self.flush();
    }

    /// Tells a call's client that it is over: over its own connection, else over any, else a little later.
    fn release(&mut self, caller: Option<u64>, call: CallId, cause: u32) {
        self.send_release(self.clients.for_release(caller, None), call, cause, 1);
    }

    fn release_again(&mut self, call: &CallId) {
        if let Some(sent) = self.releases.remove(call).filter(|r| r.times < UNHEARD.1) {
            let other = self.clients.for_release(None, Some(sent.caller));
            self.send_release(other, call.clone(), sent.cause, sent.times + 1);
        }
    }

    fn send_release(&mut self, caller: Option<u64>, call: CallId, cause: u32, times: u32) {
        let at = self.clock.now();
        if let Some(caller) = caller {
            self.send_to_client(caller, &sip::bye(&call.0, cause));
            self.releases.insert(call, Sent { caller, cause, at, times });
            return;
        }
        if self.waiting.len() >= MAX_WAITING_RELEASES {
            self.waiting.pop_front();
        }
        self.waiting.push_back(Release { call, cause, until: at + RELEASE_WAIT, times });
    }

    // ---- booking exchanges ---------------------------------------------------------------------

    pub(super) fn exchange_line(&mut self, exchange: &ExchangeId, conn: ConnId, line: &jsonl::Line) {
        let now = self.clock.now();
        let id = CallId(line.tag.as_str().into());
        let answers = matches!(line.verb.as_str(), "STARTED" | "FINISH");
        let Some(pool) = self.pools.get_mut(exchange) else { return };
        pool.on_line(now, conn, answers.then_some(&id));
        if line.verb == "LOAD" {
            pool.on_group_state(now, conn);
        }
        let report = line.load.as_deref().map(|load| self.report(load)).unwrap_or_default();
        match line.verb.as_str() {
            "LOAD" => self.core.report(now, exchange, report),
            "STARTED" => {
                let description = line.blob.as_deref().unwrap_or_default().into();
                self.core.reply(now, exchange, &id, Reply::Stands(description));
            }
            "FINISH" => {
                let stood = self.core.calls.open.get(&id).is_none_or(|c| c.stands);
                let status = end_of(line.cause, stood);
                let cause = line.note.as_deref().and_then(cause_of);
                self.core.reply(now, exchange, &id, Reply::Ended { status, cause, report });
                if stood {
                    self.answer(exchange, conn, &jsonl::plain("FINISHED", &id.0, None));
                }
            }
            "ECHO" => self.answer(exchange, conn, &jsonl::plain("ECHOED", &id.0, Some(1))),
            _ => {}
        }
        self.flush();
    }

    /// After what was read last, an exchange is in the middle of a line or not.
    pub(super) fn exchange_reading(&mut self, exchange: &ExchangeId, conn: ConnId, half: bool) {
        let now = self.clock.now();
        if let Some(pool) = self.pools.get_mut(exchange) {
            pool.on_read(now, conn, half);
        }
    }

    fn answer(&self, exchange: &ExchangeId, conn: ConnId, bytes: &[u8]) {
        if let Some(pool) = self.pools.get(exchange) {
            pool.answer(conn, bytes);
        }
    }

    fn report(&self, load: &str) -> Vec<f64> {
        self.gauge_names.iter().map(|name| sip::figure(load, name).unwrap_or(-1.0)).collect()
    }

    fn connect(&mut self, exchange: &ExchangeId) {
        let (now, id) = (self.clock.now(), ConnId(self.conn()));
        let Some(pool) = self.pools.get_mut(exchange) else { return };
        let missed = pool.is_idle(now) && self.core.stands_at(exchange);
        if missed && pool.is_out_of_reach(now) {
            warn!(self.log, "out of reach, its calls are released"; "exchange" => &*exchange.0);
            self.core.cut(now, exchange);
            return self.flush();
        }
        if self.stopped || !pool.wants_connect(now, missed) || !pool.make_room() {
            return;
        }
        pool.connecting = true;
        let (address, within) = (pool.address, self.connect_timeout);
        let Some(me) = self.me.upgrade() else { return };
        tokio::task::spawn_local(sockets::dial(me, exchange.clone(), id, address, within));
    }

    pub(super) fn exchange_up(&mut self, exchange: &ExchangeId, id: ConnId, writes: SharedWriteBuffer) {
        let now = self.clock.now();
        debug!(self.log, "exchange connected"; "exchange" => &*exchange.0, "conn" => id.0);
        if let Some(pool) = self.pools.get_mut(exchange) {
            pool.connected(now, id, writes);
        }
    }

    pub(super) fn exchange_failed(&mut self, exchange: &ExchangeId, error: &io::Error) {
        let now = self.clock.now();
        let refused = error.kind() == io::ErrorKind::ConnectionRefused;
        debug!(self.log, "no connection"; "exchange" => &*exchange.0, "error" => %error);
        let Some(pool) = self.pools.get_mut(exchange) else { return };
        let (unsent, died) = pool.failed(now, if refused { Failure::Refused } else { Failure::Silent });
        for id in unsent {
            self.on_connection_reset(exchange, &id, false);
        }
        if died {
            // Its connections broke and nothing listens any more: what stood there was cut with it.
            self.core.cut(now, exchange);
        }
        self.flush();
    }

    pub(super) fn exchange_down(&mut self, exchange: &ExchangeId, id: ConnId, ended: &io::Result<()>) {
        let now = self.clock.now();
        debug!(self.log, "exchange disconnected"; "exchange" => &*exchange.0, "conn" => id.0, "end" => ?ended);
        let Some(pool) = self.pools.get_mut(exchange) else { return };
        for id in pool.closed(now, id) {
            // Guards against circuits held for nobody: the set-up may have run, and its answer been spoilt or
            // cut off. Whatever stands there is released before the call goes there again.
            let exchange_id = Some(exchange.clone());
            self.carry_out(Effect::Finish { exchange: exchange_id, call: id.clone(), cause: CLEARED });
            self.on_connection_reset(exchange, &id, true);
        }
        self.connect(exchange);
        self.flush();
    }

    fn on_connection_reset(&mut self, exchange: &ExchangeId, id: &CallId, ran: bool) {
        let status = ExchangePool::status(ran);
        if self.core.calls.open.get(id).is_some_and(|c| !c.stands) {
            let reply = Reply::Ended { status, cause: None, report: Vec::new() };
            self.core.reply(self.clock.now(), exchange, id, reply);
        }
    }

    // ---- effects -------------------------------------------------------------------------------

    /// Carries out what the core has decided.
    fn flush(&mut self) {
        loop {
            let effects = self.core.take_effects();
            if effects.is_empty() {
                break;
            }
            for effect in effects {
                self.carry_out(effect);
            }
        }
        self.due.notify_one();
    }

    fn carry_out(&mut self, effect: Effect) {
        let now = self.clock.now();
        match effect {
            Effect::Start { exchange, call, class, number, left, description } => {
                let class = self.class_names.get(class).map_or("", String::as_str);
                let bytes = jsonl::start(&call.0, class, &number, left.as_millis(), &description);
                if let Some(pool) = self.pools.get_mut(&exchange) {
                    pool.start(now, &call, bytes);
                }
                self.connect(&exchange);
            }
            Effect::Finish { exchange, call, cause } => {
                let bytes = jsonl::finish(&call.0, cause);
                match exchange {
                    Some(exchange) => {
                        if let Some(pool) = self.pools.get_mut(&exchange) {
                            pool.finish(now, &call, bytes);
                        }
                    }
                    None => {
                        for pool in self.pools.values_mut().filter(|l| l.is_listed()) {
                            pool.finish(now, &call, bytes.clone());
                        }
                    }
                }
            }
            Effect::Answer { call, description, .. } => match self.take_invite(&call) {
                Some(invite) => {
                    self.clients.on_answered(invite.caller);
                    let answer = sip::response(200, &invite.echoed, None, description.as_bytes());
                    self.send_to_client(invite.caller, &answer);
                }
                None => self.core.hang_up(now, &call, CUT),
            },
            Effect::Refuse { call, stay_away, .. } => {
                if let Some(invite) = self.take_invite(&call) {
                    let wait = stay_away.map(|d| d.as_millis());
                    self.send_to_client(invite.caller, &sip::response(503, &invite.echoed, wait, b""));
                }
            }
            Effect::Fail { call, .. } => {
                if let Some(invite) = self.take_invite(&call) {
                    self.send_to_client(invite.caller, &sip::response(500, &invite.echoed, None, b""));
                }
            }
            Effect::Release { origin, call, cause } => self.release(origin.map(|o| o.0), call, cause),
            Effect::TellAll(text) => self.tell_all(&text),
            Effect::Log(line) => info!(self.log, "{}", line),
        }
    }

    /// Datagrams to other routers go out by this socket.
    pub(super) fn set_peer_socket(&mut self, socket: Rc<UdpSocket>) {
        self.peer_socket = Some(socket);
    }

    /// Number of the router that sends from an address.
    pub(super) fn peer_number(&self, from: SocketAddr) -> Option<u32> {
        self.peers.iter().position(|p| *p == from).and_then(|n| u32::try_from(n).ok())
    }

    pub(super) fn peer_message(&mut self, from: u32, text: &str) {
        self.core.peer(self.clock.now(), from, text.to_owned());
        self.flush();
    }

    fn tell_all(&self, text: &str) {
        if let (Some(socket), Some(all), true) = (&self.peer_socket, self.peers_all, text.len() <= DATAGRAM) {
            if let Err(e) = socket.try_send_to(text.as_bytes(), all) {
                debug!(self.log, "datagram not sent"; "error" => %e);
            }
        }
    }
}

impl Timed for Platform {
    fn next_due(&self) -> Option<Duration> {
        self.core.next_due()
    }

    fn wake(&mut self, now: Duration) {
        self.core.wake(now);
        self.flush();
    }

    fn sweep(&mut self, now: Duration) {
        let unheard = self.releases.iter().filter(|(_, r)| now >= r.at + UNHEARD.0);
        let unheard: Vec<CallId> = unheard.map(|(id, _)| id.clone()).collect();
        unheard.iter().for_each(|call| self.release_again(call));
        for caller in self.clients.sweep(now) {
            debug!(self.log, "caller closed"; "caller" => caller, "why" => "half a message");
            self.send_to_client(caller, &sip::response(408, "", None, b""));
            self.clients.close(caller);
        }
        self.pools.values().for_each(|l| l.sweep(now));
        self.pools.retain(|_, l| !l.is_spent());
        let exchanges: Vec<ExchangeId> = self.pools.keys().cloned().collect();
        exchanges.iter().for_each(|e| self.connect(e));
    }
}

fn most_callers(config: &Config) -> usize {
    (config.sockets as f64 * CALLERS_SHARE) as usize
}

/// How an attempt, or a call that stood, has ended.
fn end_of(cause: Option<u32>, stood: bool) -> Status {
    match (cause, stood) {
        (Some(41), _) => Status::Reset,
        (_, true) => Status::Ended,
        (Some(34), false) => Status::Full,
        (Some(102), false) => Status::Moot,
        // Guards against repeating what ran: the call stood there and came to its end, and its answer was lost.
        // (What is given up here is settled at once, and is no longer open when its end is heard of.)
        (Some(16), false) => Status::Ended,
        _ => Status::Error,
    }
}

fn cause_of(note: &str) -> Option<Cause> {
    Some(match note {
        "group_full" => Cause::NoCircuit,
        "tandem_refused" => Cause::TurnedBack,
        "destination_full" => Cause::TurnedBackFull,
        "processor_full" => Cause::ProcessorFull(None),
        "user_busy" => Cause::LinesBusy,
        _ => return None,
    })
}
