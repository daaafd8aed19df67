//! Sends and receives the advertisements of a VRRP router over UDP, and keeps track of whether this router is
//! the active one.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use slog::{debug, info, Logger};
use tokio::net::UdpSocket;
use tokio::sync::Notify;

use super::connection::Clock;
use crate::lifecycle::config::VrrpConfig;
use crate::protocol::vrrp::{self, State};

/// Maximum size of an advertisement in bytes: a header of 8 bytes and 255 addresses.
const MAX_ADVERTISEMENT_BYTES: usize = 8 + 4 * 255;

/// A virtual router: its state machine and its socket.
#[derive(Debug)]
pub struct VirtualRouter {
    state_machine: RefCell<vrrp::Router>,
    socket: UdpSocket,
    peers: RefCell<Vec<SocketAddr>>,
    is_active: Rc<Cell<bool>>,
    clock: Clock,
    log: Logger,
    stopped: Notify,
}

impl VirtualRouter {
    /// Creates a virtual router that has not started. `is_active` is kept true while it is the active router.
    pub fn new(
        state_machine: vrrp::Router,
        socket: UdpSocket,
        peers: Vec<SocketAddr>,
        is_active: Rc<Cell<bool>>,
        clock: Clock,
        log: Logger,
    ) -> Rc<Self> {
        is_active.set(false);
        let (state_machine, peers) = (RefCell::new(state_machine), RefCell::new(peers));
        Rc::new(Self { state_machine, socket, peers, is_active, clock, log, stopped: Notify::new() })
    }

    /// Returns the current state.
    pub fn state(&self) -> State {
        self.state_machine.borrow().state()
    }

    /// Applies a new configuration. The state and the timer are kept, so that no backup takes over.
    pub fn reload(&self, config: &VrrpConfig) {
        self.state_machine.borrow_mut().reload(&config.router);
        self.peers.replace(config.peers.clone());
    }

    /// Stops the virtual router. If it was active, its last advertisement lets a backup take over at once.
    pub fn stop(&self) {
        let final_advertisement = self.state_machine.borrow_mut().stop(self.clock.now());
        self.send(final_advertisement);
        self.stopped.notify_one();
    }

    /// Updates `is_active`, logging a change of the state, and sends the advertisement, if any, to all peers.
    fn send(&self, advertisement: Option<Vec<u8>>) {
        let state = self.state();
        if self.is_active.replace(state == State::Active) != (state == State::Active) {
            info!(self.log, "virtual router"; "state" => ?state);
        }
        let Some(bytes) = advertisement else { return };
        for peer in self.peers.borrow().iter() {
            if let Err(e) = self.socket.try_send_to(&bytes, *peer) {
                debug!(self.log, "advertisement not sent"; "peer" => %peer, "error" => %e);
            }
        }
    }

    /// Handles an advertisement; it is discarded if its sender is not a peer.
    fn receive(&self, from: SocketAddr, bytes: &[u8]) {
        if !self.peers.borrow().contains(&from) {
            return debug!(self.log, "advertisement discarded"; "from" => %from, "reason" => "unknown sender");
        }
        let reply = self.state_machine.borrow_mut().receive(self.clock.now(), from, bytes);
        match reply {
            Ok(reply) => self.send(reply),
            Err(reason) => debug!(self.log, "advertisement discarded"; "from" => %from, "reason" => reason),
        }
    }
}

/// Runs the virtual router until it is stopped.
pub async fn run(router: Rc<VirtualRouter>) {
    let first_advertisement = router.state_machine.borrow_mut().start(router.clock.now());
    router.send(first_advertisement);
    let mut buffer = [0; MAX_ADVERTISEMENT_BYTES];
    loop {
        let due = router.state_machine.borrow().next_due().unwrap_or_else(|| router.clock.now());
        tokio::select! {
            () = router.stopped.notified() => return,
            () = tokio::time::sleep_until(router.clock.instant_at(due)) => {
                let advertisement = router.state_machine.borrow_mut().on_timer(router.clock.now());
                router.send(advertisement);
            }
            received = router.socket.recv_from(&mut buffer) => {
                if let Ok((length, from)) = received {
                    router.receive(from, &buffer[..length]);
                }
            }
        }
    }
}
