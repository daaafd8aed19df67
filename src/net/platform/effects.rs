//! Executes the core's effects: sends messages to clients, exchanges and other routers.

use super::*;

impl Platform {
    /// Executes the effects of the core until none is left.
    pub(super) fn flush(&mut self) {
        loop {
            let effects = self.core.take_effects();
            if effects.is_empty() {
                break;
            }
            for effect in effects {
                self.execute(effect);
            }
        }
        self.timers_changed.notify_one();
    }

    /// Executes one effect of the core.
    pub(super) fn execute(&mut self, effect: Effect) {
        let now = self.clock.now();
        match effect {
            Effect::SendSetUp { exchange, call, class, called_number, remaining, description } => {
                let class = self.class_names.get(class).map_or("", String::as_str);
                let bytes = jsonl::start(&call.0, class, &called_number, remaining.as_millis(), &description);
                debug!(self.log, "attempt sent"; "call_id" => &*call.0, "exchange_id" => &*exchange.0,
                    "left_ms" => remaining.as_millis());
                self.metrics.count_attempt();
                if let Some(pool) = self.pools.get_mut(&exchange) {
                    pool.send_set_up(now, &call, bytes);
                }
                self.connect_if_needed(&exchange);
            }
            Effect::ReleaseAtExchange { exchange, call, cause } => {
                debug!(self.log, "call released at exchange"; "call_id" => &*call.0, "cause" => cause,
                    "exchange_id" => exchange.as_ref().map_or("all", |e| &*e.0));
                let bytes = jsonl::finish(&call.0, cause);
                match exchange {
                    Some(exchange) => {
                        if let Some(pool) = self.pools.get_mut(&exchange) {
                            pool.send_release(now, &call, bytes);
                        }
                    }
                    None => {
                        for pool in self.pools.values_mut().filter(|pool| pool.is_listed()) {
                            pool.send_unknown_release(now, &call, bytes.clone());
                        }
                    }
                }
            }
            Effect::Answer { call, description, .. } => {
                let client = self.invites.get(&call).map(|invite| invite.client);
                if !self.answer_request(&call, 200, "stands", None, description.as_bytes()) {
                    self.core.hang_up(now, &call, CAUSE_TEMPORARY_FAILURE);
                }
                if let Some(client) = client.filter(|client| self.clients.on_call_answered(*client)) {
                    self.send_releases_to_serving_client(client);
                }
            }
            Effect::Refuse { call, hold_off, .. } => {
                let hold_off = hold_off.map(|d| d.as_millis()).or(self.hold_off);
                self.answer_request(&call, 503, "refused", hold_off, b"");
            }
            Effect::Fail { call, .. } => {
                self.answer_request(&call, 500, "failed", None, b"");
            }
            Effect::ReleaseAtClient { origin, call, cause, exchange } => {
                self.release_to_client(origin.map(|o| o.0), call, cause, exchange)
            }
            Effect::Broadcast(text) => self.broadcast_to_peers(&text),
            Effect::Log(line) => info!(self.log, "{}", line),
        }
    }

    /// Sets the socket on which datagrams to other routers are sent.
    pub(in crate::net) fn set_peer_socket(&mut self, socket: Rc<UdpSocket>) {
        self.peer_socket = Some(socket);
    }

    /// Returns the number of the router that sends from the given address.
    pub(in crate::net) fn peer_number(&self, from: SocketAddr) -> Option<u32> {
        self.peers.iter().position(|p| *p == from).and_then(|n| u32::try_from(n).ok())
    }

    pub(in crate::net) fn on_peer_message(&mut self, from: u32, text: &str) {
        self.core.handle_peer_message(self.clock.now(), from, text.to_owned());
        self.flush();
    }

    /// Sends a text to all other routers. The text is dropped if it is longer than a datagram may be.
    pub(super) fn broadcast_to_peers(&self, text: &str) {
        if let (Some(socket), Some(all), true) =
            (&self.peer_socket, self.peers_all, text.len() <= MAX_DATAGRAM_SIZE)
        {
            if let Err(e) = socket.try_send_to(text.as_bytes(), all) {
                debug!(self.log, "datagram not sent"; "error" => %e);
            }
        }
    }
}
