//! An emulated coordinator. It sends numbered membership events in frames, and can go silent, go down, break
//! off in the middle of a frame and move to another address.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::checker::RuleChecker;
use crate::scenario::{Component, Scenario};

/// Interval of the empty frames that are sent on each connection.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which connections and listeners check for new events and changes of mode.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Longest time from when the coordinator has an event and can be reached until the router counts as informed
/// of it.
const NOTIFY_TIMEOUT: Duration = Duration::from_secs(4);
/// Time from a move to another address until the connections at the old address are closed.
const OLD_ADDRESS_CLOSE_DELAY: Duration = Duration::from_millis(1500);

/// State of an exchange in the membership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExchangeState {
    /// The exchange takes calls.
    Ready,
    /// The exchange finishes its calls and takes no new ones.
    Draining,
    /// The exchange was removed.
    Gone,
}

/// Change of one exchange in the membership.
#[derive(Debug, Clone)]
pub struct MembershipEvent {
    /// Number of the event.
    pub number: u64,
    /// Id of the exchange.
    pub id: u32,
    /// Number of the node that the exchange serves.
    pub node: u32,
    /// Address that the exchange listens on.
    pub address: SocketAddr,
    /// State of the exchange after this event.
    pub state: ExchangeState,
    /// Start time in Unix milliseconds if the exchange started during the run, otherwise 0.
    pub started_ms: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mode {
    Serving,
    Silent,
    Down,
}

/// An emulated coordinator.
pub struct Coordinator {
    checker: Rc<RefCell<RuleChecker>>,
    /// Events since the start of the run, in order.
    pub events: RefCell<Vec<MembershipEvent>>,
    mode: Cell<Mode>,
    /// Number of the address in use; connections to other addresses are closed.
    current_address: watch::Sender<u32>,
    /// A change of this value breaks all connections.
    connection_generation: watch::Sender<u64>,
    breaks_next_frame: Cell<bool>,
    listen_address: SocketAddr,
    has_split_writes: bool,
}

impl Coordinator {
    /// Returns a coordinator that serves but has no address yet.
    pub fn new(checker: Rc<RefCell<RuleChecker>>, scenario: &Scenario) -> Rc<Self> {
        Rc::new(Self {
            checker,
            events: RefCell::default(),
            mode: Cell::new(Mode::Serving),
            current_address: watch::Sender::new(0),
            connection_generation: watch::Sender::new(0),
            breaks_next_frame: Cell::new(false),
            listen_address: scenario.address(Component::Coordinator),
            has_split_writes: scenario.has_split_writes,
        })
    }

    /// Opens a new address. The address before it sends no more events and closes its connections a little
    /// later.
    ///
    /// # Errors
    /// Returns the socket's error if the coordinator can't listen.
    pub async fn open_address(self: &Rc<Self>) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(self.listen_address).await?;
        let address = listener.local_addr()?;
        self.current_address.send_modify(|n| *n += 1);
        let number = *self.current_address.borrow();
        self.record_drain_notices(Instant::now() + NOTIFY_TIMEOUT);
        tokio::task::spawn_local(self.clone().accept_connections(listener, address, number));
        Ok(address)
    }

    /// Returns the number of the last event, or 1 if there is none.
    pub fn last_event_number(&self) -> u64 {
        self.events.borrow().last().map_or(1, |e| e.number)
    }

    /// Publishes the state of an exchange as the next event.
    pub fn publish(&self, id: u32, node: u32, address: SocketAddr, state: ExchangeState, started_ms: u64) {
        let number = self.last_event_number() + 1;
        self.events.borrow_mut().push(MembershipEvent { number, id, node, address, state, started_ms });
        let mut checker = self.checker.borrow_mut();
        checker.record_event(format!("membership {number}: s-{id:08x} at node {node} {state:?}"));
        match state {
            ExchangeState::Ready => checker.on_listed_ready(id),
            _ if self.mode.get() == Mode::Serving => {
                checker.on_drain_notified(id, Instant::now() + NOTIFY_TIMEOUT)
            }
            _ => {}
        }
    }

    /// Sends nothing for the given time; connections stay open.
    pub async fn stop_sending(&self, length: Duration) {
        self.interrupt(Mode::Silent, length).await;
    }

    /// Breaks all connections and refuses new ones for the given time.
    pub async fn go_down(&self, length: Duration) {
        self.connection_generation.send_modify(|n| *n += 1);
        self.interrupt(Mode::Down, length).await;
    }

    /// Enters a mode for the given time and serves again after it.
    async fn interrupt(&self, mode: Mode, length: Duration) {
        self.mode.set(mode);
        tokio::time::sleep(length).await;
        self.mode.set(Mode::Serving);
        self.checker.borrow_mut().record_event("coordinator is serving again");
        self.record_drain_notices(Instant::now() + NOTIFY_TIMEOUT);
    }

    /// Closes the connection that the next frame is sent on in the middle of that frame.
    pub fn break_next_frame(&self) {
        self.breaks_next_frame.set(true);
    }

    /// Returns the ids of the exchanges that are draining or gone now.
    pub fn out_of_service(&self) -> Vec<u32> {
        let events = self.events.borrow();
        let is_latest = |e: &&MembershipEvent| {
            events.iter().rev().find(|other| other.id == e.id).is_some_and(|other| other.number == e.number)
        };
        events.iter().filter(is_latest).filter(|e| e.state != ExchangeState::Ready).map(|e| e.id).collect()
    }

    /// Records that the router counts as informed from `at` on of every exchange that drains or is gone,
    /// provided that the coordinator can be reached.
    fn record_drain_notices(&self, at: Instant) {
        if self.mode.get() == Mode::Serving {
            let mut checker = self.checker.borrow_mut();
            self.out_of_service().into_iter().for_each(|id| checker.on_drain_notified(id, at));
        }
    }

    /// Accepts connections at the address with this number until another address replaces it.
    async fn accept_connections(self: Rc<Self>, listener: TcpListener, address: SocketAddr, number: u32) {
        let mut listener = Some(listener);
        while *self.current_address.borrow() == number {
            match (self.mode.get(), &listener) {
                (Mode::Down, Some(_)) => listener = None,
                (Mode::Down, None) => tokio::time::sleep(POLL_INTERVAL).await,
                (_, None) => listener = rebind(address).await,
                (_, Some(open)) => {
                    if let Ok(Ok((stream, _))) = tokio::time::timeout(POLL_INTERVAL, open.accept()).await {
                        tokio::task::spawn_local(self.clone().serve_connection(stream, number));
                    }
                }
            }
        }
    }

    /// Sends events on a connection until it breaks or its address is replaced.
    async fn serve_connection(self: Rc<Self>, stream: TcpStream, number: u32) {
        let (mut generation, mut current) =
            (self.connection_generation.subscribe(), self.current_address.subscribe());
        let address_replaced = async {
            let _ = current.wait_for(|n| *n != number).await;
            tokio::time::sleep(OLD_ADDRESS_CLOSE_DELAY).await;
        };
        tokio::select! {
            _ = self.send_events(stream, number) => {}
            _ = generation.changed() => {}
            () = address_replaced => {}
        }
    }

    /// Sends new events on a connection, starting after the event number in the router's hello.
    async fn send_events(&self, mut stream: TcpStream, number: u32) -> io::Result<()> {
        let mut hello = [0; 8];
        stream.read_exact(&mut hello).await?;
        let mut last_number = u64::from_be_bytes(hello);
        let mut last_heartbeat_at = Instant::now();
        loop {
            let is_sending = self.mode.get() == Mode::Serving && *self.current_address.borrow() == number;
            let next_event = self.events.borrow().iter().find(|e| e.number > last_number).cloned();
            match next_event {
                _ if !is_sending => last_heartbeat_at = Instant::now(),
                Some(event) => {
                    self.write_frame(&mut stream, &event_frame(&event)).await?;
                    last_number = event.number;
                    if event.state != ExchangeState::Ready && self.out_of_service().contains(&event.id) {
                        self.checker.borrow_mut().on_drain_notified(event.id, Instant::now());
                    }
                    continue;
                }
                None if last_heartbeat_at.elapsed() >= HEARTBEAT_INTERVAL => {
                    last_heartbeat_at = Instant::now();
                    self.write_frame(&mut stream, &heartbeat_frame(last_number)).await?;
                }
                None => {}
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Writes a frame in one piece or several, or breaks off in the middle if that was requested.
    async fn write_frame(&self, stream: &mut TcpStream, frame: &[u8]) -> io::Result<()> {
        if self.breaks_next_frame.take() {
            stream.write_all(&frame[..frame.len() / 2]).await?;
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        let piece_length = if self.has_split_writes { 7 } else { frame.len() };
        for part in frame.chunks(piece_length) {
            stream.write_all(part).await?;
            if self.has_split_writes {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        }
        Ok(())
    }
}

async fn rebind(address: SocketAddr) -> Option<TcpListener> {
    match TcpListener::bind(address).await {
        Ok(listener) => Some(listener),
        Err(_) => {
            tokio::time::sleep(POLL_INTERVAL).await;
            None
        }
    }
}

/// Encodes a frame without a record: its length, the event number and the kind 0.
fn heartbeat_frame(number: u64) -> Vec<u8> {
    let mut frame = 9_u32.to_be_bytes().to_vec();
    frame.extend(number.to_be_bytes());
    frame.push(0);
    frame
}

/// Encodes a frame with one record: its length, the event number, the kind 2 and the 27 bytes of the record.
fn event_frame(event: &MembershipEvent) -> Vec<u8> {
    let mut frame = 36_u32.to_be_bytes().to_vec();
    frame.extend(event.number.to_be_bytes());
    frame.push(2);
    frame.extend(event.id.to_be_bytes());
    if let SocketAddr::V4(address) = event.address {
        frame.extend(address.ip().octets());
    }
    frame.extend(event.address.port().to_be_bytes());
    frame.push(event.state as u8);
    frame.extend([0, 0]);
    frame.extend((event.node as u16).to_be_bytes());
    frame.extend(1000_u32.to_be_bytes());
    frame.extend(event.started_ms.to_be_bytes());
    frame
}
