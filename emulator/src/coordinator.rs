//! An emulated coordinator: numbered membership events as frames, with silence, breaks and moves.

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

/// An empty frame follows each second.
const HEARTBEAT: Duration = Duration::from_secs(1);
/// How often a connection looks for news.
const POLL: Duration = Duration::from_millis(5);
/// A change counts as told at the latest so long after the coordinator had it and could be reached.
const TOLD_AFTER: Duration = Duration::from_secs(4);
/// An address that was given up closes its connections after this.
const MOVED_CLOSE: Duration = Duration::from_millis(1500);

/// State of an exchange in the membership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It takes calls.
    Ready,
    /// It finishes its work.
    Draining,
    /// It is gone.
    Gone,
}

/// One change of the membership.
#[derive(Debug, Clone)]
pub struct Event {
    /// Its number.
    pub number: u64,
    /// Id of the exchange.
    pub id: u32,
    /// Place of the exchange.
    pub node: u32,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its state from now on.
    pub state: State,
    /// Unix milliseconds of a late start, or 0.
    pub started_ms: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mode {
    Serving,
    Silent,
    Down,
}

/// The coordinator.
pub struct Coordinator {
    checker: Rc<RefCell<RuleChecker>>,
    /// The changes since the first list.
    pub events: RefCell<Vec<Event>>,
    mode: Cell<Mode>,
    /// The address that is current, by its number; connections of others end.
    current: watch::Sender<u32>,
    /// Connections of an older generation break.
    generation: watch::Sender<u64>,
    break_amid: Cell<bool>,
    listen: SocketAddr,
    pieces: bool,
}

impl Coordinator {
    /// A coordinator that serves.
    pub fn new(checker: Rc<RefCell<RuleChecker>>, scenario: &Scenario) -> Rc<Self> {
        Rc::new(Self {
            checker,
            events: RefCell::default(),
            mode: Cell::new(Mode::Serving),
            current: watch::Sender::new(0),
            generation: watch::Sender::new(0),
            break_amid: Cell::new(false),
            listen: scenario.address(Component::Coordinator),
            pieces: scenario.has_split_writes,
        })
    }

    /// Opens a new address; the one before it tells nothing further and closes a little later.
    ///
    /// # Errors
    /// What the socket reports.
    pub async fn open(self: &Rc<Self>) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(self.listen).await?;
        let address = listener.local_addr()?;
        self.current.send_modify(|n| *n += 1);
        let number = *self.current.borrow();
        self.note_told_by(Instant::now() + TOLD_AFTER);
        tokio::task::spawn_local(self.clone().listen(listener, address, number));
        Ok(address)
    }

    /// Number of the last event.
    pub fn last(&self) -> u64 {
        self.events.borrow().last().map_or(1, |e| e.number)
    }

    /// Publishes a change.
    pub fn publish(&self, id: u32, node: u32, address: SocketAddr, state: State, started_ms: u64) {
        let number = self.last() + 1;
        self.events.borrow_mut().push(Event { number, id, node, address, state, started_ms });
        let mut checker = self.checker.borrow_mut();
        checker.record_event(format!("membership {number}: s-{id:08x} at node {node} {state:?}"));
        match state {
            State::Ready => checker.on_listed_ready(id),
            _ if self.mode.get() == Mode::Serving => {
                checker.on_drain_notified(id, Instant::now() + TOLD_AFTER)
            }
            _ => {}
        }
    }

    /// Falls silent for a while.
    pub async fn fall_silent(&self, length: Duration) {
        self.disturb(Mode::Silent, length).await;
    }

    /// Is down for a while.
    pub async fn go_down(&self, length: Duration) {
        self.generation.send_modify(|n| *n += 1);
        self.disturb(Mode::Down, length).await;
    }

    async fn disturb(&self, mode: Mode, length: Duration) {
        self.mode.set(mode);
        tokio::time::sleep(length).await;
        self.mode.set(Mode::Serving);
        self.checker.borrow_mut().record_event("coordinator serves again");
        self.note_told_by(Instant::now() + TOLD_AFTER);
    }

    /// Breaks off in the middle of the next frame.
    pub fn break_off(&self) {
        self.break_amid.set(true);
    }

    /// The exchanges that drain or are gone now.
    pub fn out_of_service(&self) -> Vec<u32> {
        let events = self.events.borrow();
        let is_last =
            |e: &&Event| events.iter().rev().find(|o| o.id == e.id).is_some_and(|o| o.number == e.number);
        events.iter().filter(is_last).filter(|e| e.state != State::Ready).map(|e| e.id).collect()
    }

    /// Whatever drains or is gone counts as told from then on, if the coordinator can be reached.
    fn note_told_by(&self, at: Instant) {
        if self.mode.get() == Mode::Serving {
            let mut checker = self.checker.borrow_mut();
            self.out_of_service().into_iter().for_each(|id| checker.on_drain_notified(id, at));
        }
    }

    async fn listen(self: Rc<Self>, listener: TcpListener, address: SocketAddr, number: u32) {
        let mut listener = Some(listener);
        while *self.current.borrow() == number {
            match (self.mode.get(), &listener) {
                (Mode::Down, Some(_)) => listener = None,
                (Mode::Down, None) => tokio::time::sleep(POLL).await,
                (_, None) => listener = rebind(address).await,
                (_, Some(open)) => {
                    if let Ok(Ok((stream, _))) = tokio::time::timeout(POLL, open.accept()).await {
                        tokio::task::spawn_local(self.clone().serve(stream, number));
                    }
                }
            }
        }
    }

    async fn serve(self: Rc<Self>, stream: TcpStream, number: u32) {
        let (mut generation, mut current) = (self.generation.subscribe(), self.current.subscribe());
        let moved = async {
            let _ = current.wait_for(|n| *n != number).await;
            tokio::time::sleep(MOVED_CLOSE).await;
        };
        tokio::select! {
            _ = self.feed(stream, number) => {}
            _ = generation.changed() => {}
            () = moved => {}
        }
    }

    /// Writes what is new on a connection, from the number that the router names.
    async fn feed(&self, mut stream: TcpStream, number: u32) -> io::Result<()> {
        let mut hello = [0; 8];
        stream.read_exact(&mut hello).await?;
        let mut last = u64::from_be_bytes(hello);
        let mut beat = Instant::now();
        loop {
            let speaks = self.mode.get() == Mode::Serving && *self.current.borrow() == number;
            let news = self.events.borrow().iter().find(|e| e.number > last).cloned();
            match news {
                _ if !speaks => beat = Instant::now(),
                Some(event) => {
                    self.write(&mut stream, &frame(&event)).await?;
                    last = event.number;
                    if event.state != State::Ready && self.out_of_service().contains(&event.id) {
                        self.checker.borrow_mut().on_drain_notified(event.id, Instant::now());
                    }
                    continue;
                }
                None if beat.elapsed() >= HEARTBEAT => {
                    beat = Instant::now();
                    self.write(&mut stream, &empty_frame(last)).await?;
                }
                None => {}
            }
            tokio::time::sleep(POLL).await;
        }
    }

    async fn write(&self, stream: &mut TcpStream, frame: &[u8]) -> io::Result<()> {
        if self.break_amid.take() {
            stream.write_all(&frame[..frame.len() / 2]).await?;
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        let piece = if self.pieces { 7 } else { frame.len() };
        for part in frame.chunks(piece) {
            stream.write_all(part).await?;
            if self.pieces {
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
            tokio::time::sleep(POLL).await;
            None
        }
    }
}

fn empty_frame(number: u64) -> Vec<u8> {
    let mut frame = 9_u32.to_be_bytes().to_vec();
    frame.extend(number.to_be_bytes());
    frame.push(0);
    frame
}

fn frame(event: &Event) -> Vec<u8> {
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
