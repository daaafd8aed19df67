//! Carries a VRRP router's advertisements over UDP, and says whether this router is the active one.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use slog::{debug, info, Logger};
use tokio::net::UdpSocket;
use tokio::sync::Notify;

use super::connection::Clock;
use crate::lifecycle::config::VrrpConfig;
use crate::protocol::vrrp::{Router, State};

/// Largest advertisement: eight bytes and 255 addresses.
const DATAGRAM: usize = 8 + 4 * 255;

/// A virtual router with its socket.
#[derive(Debug)]
pub struct Standby {
    router: RefCell<Router>,
    socket: UdpSocket,
    peers: RefCell<Vec<SocketAddr>>,
    active: Rc<Cell<bool>>,
    clock: Clock,
    log: Logger,
    stopped: Notify,
}

impl Standby {
    /// A virtual router that has not started; `active` is kept true while it is the active one.
    pub fn new(
        router: Router,
        socket: UdpSocket,
        peers: Vec<SocketAddr>,
        active: Rc<Cell<bool>>,
        clock: Clock,
        log: Logger,
    ) -> Rc<Self> {
        active.set(false);
        let (router, peers) = (RefCell::new(router), RefCell::new(peers));
        Rc::new(Self { router, socket, peers, active, clock, log, stopped: Notify::new() })
    }

    /// Its state.
    pub fn state(&self) -> State {
        self.router.borrow().state()
    }

    /// Takes up a new set-up; the state and its timer go on, so that nobody takes over for it.
    pub fn reload(&self, config: &VrrpConfig) {
        self.router.borrow_mut().reload(&config.router);
        self.peers.replace(config.peers.clone());
    }

    /// Hands over to another router and ends.
    pub fn stop(&self) {
        let last = self.router.borrow_mut().stop(self.clock.now());
        self.send(last);
        self.stopped.notify_one();
    }

    fn send(&self, advertisement: Option<Vec<u8>>) {
        let state = self.state();
        if self.active.replace(state == State::Active) != (state == State::Active) {
            info!(self.log, "virtual router"; "state" => ?state);
        }
        let Some(bytes) = advertisement else { return };
        for peer in self.peers.borrow().iter() {
            if let Err(e) = self.socket.try_send_to(&bytes, *peer) {
                debug!(self.log, "advertisement not sent"; "peer" => %peer, "error" => %e);
            }
        }
    }

    fn hear(&self, from: SocketAddr, bytes: &[u8]) {
        if !self.peers.borrow().contains(&from) {
            return debug!(self.log, "advertisement discarded"; "from" => %from, "why" => "a stranger");
        }
        let heard = self.router.borrow_mut().receive(self.clock.now(), from, bytes);
        match heard {
            Ok(reply) => self.send(reply),
            Err(why) => debug!(self.log, "advertisement discarded"; "from" => %from, "why" => why),
        }
    }
}

/// Runs the virtual router until it is stopped.
pub async fn run(standby: Rc<Standby>) {
    let first = standby.router.borrow_mut().start(standby.clock.now());
    standby.send(first);
    let mut buffer = [0; DATAGRAM];
    loop {
        let due = standby.router.borrow().next_due().unwrap_or_else(|| standby.clock.now());
        tokio::select! {
            () = standby.stopped.notified() => return,
            () = tokio::time::sleep_until(standby.clock.instant_at(due)) => {
                let advertisement = standby.router.borrow_mut().on_timer(standby.clock.now());
                standby.send(advertisement);
            }
            heard = standby.socket.recv_from(&mut buffer) => {
                if let Ok((length, from)) = heard {
                    standby.hear(from, &buffer[..length]);
                }
            }
        }
    }
}
