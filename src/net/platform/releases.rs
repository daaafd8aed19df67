//! Sends the pending releases of ended calls to clients, and tells exchanges when they are done.

use super::*;

impl Platform {
    /// Releases an ended call at its client: on the client's own connection if it is open, else on any other,
    /// else as soon as a client connects.
    pub(super) fn release_to_client(
        &mut self,
        client: Option<u64>,
        call: CallId,
        cause: u32,
        exchange: ExchangeId,
    ) {
        if self.releases.add(self.clock.now(), &call, client, cause, exchange) {
            self.send_release(&call);
        }
    }

    /// Sends a pending release on the best connection. Without any, it waits for the next client.
    fn send_release(&mut self, call: &CallId) {
        let Some(release) = self.releases.get(call) else { return };
        if let Some(client) = self.clients.select_for_release(release.client, |id| release.was_sent_on(id)) {
            self.send_release_on(client, call);
        }
    }

    fn send_release_on(&mut self, client: u64, call: &CallId) {
        let Some(release) = self.releases.get(call) else { return };
        self.send_to_client(client, &sip::bye(&call.0, release.cause));
        let serves_calls = self.clients.serves_calls(client);
        self.releases.on_sent(self.clock.now(), call, client, serves_calls);
    }

    /// Sends the releases that reached no caller yet to a client that has just connected.
    pub(super) fn send_releases_to_new_client(&mut self, client: u64) {
        for call in self.releases.due_for_client(client) {
            self.send_release_on(client, &call);
        }
    }

    /// Sends the releases that reached no caller yet to a client of which a call has just been answered.
    pub(super) fn send_releases_to_serving_client(&mut self, client: u64) {
        self.releases.on_client_serves_calls(client);
        self.send_releases_to_new_client(client);
    }

    /// Sends the releases again that may have been lost with a connection.
    pub(super) fn resend_lost_releases(&mut self, client: u64) {
        for call in self.releases.on_disconnected(client) {
            self.send_release(&call);
        }
    }

    /// Sends the releases that are on no open connection, repeats those that are due, and finishes those that
    /// are done.
    pub(super) fn run_due_releases(&mut self, now: Duration) {
        if !self.clients.is_empty() {
            let unsent = self.releases.due_for_any_client();
            unsent.iter().for_each(|call| self.send_release(call));
        }
        while let Some(task) = self.releases.pop_due(now) {
            match task {
                ReleaseTask::Send(call) => self.send_release(&call),
                ReleaseTask::Done(call, exchange) => self.confirm_release(&call, exchange),
            }
        }
    }

    /// Handles a client's confirmation of a release.
    pub(super) fn on_release_confirmed(&mut self, call: &CallId, client: u64) {
        if let Some(exchange) = self.releases.on_confirmed(call, client) {
            self.confirm_release(call, exchange);
        }
    }

    /// Handles a release by the caller, who need not be told any more.
    pub(super) fn on_released_by_caller(&mut self, call: &CallId) {
        if let Some(exchange) = self.releases.remove(call) {
            self.confirm_release(call, exchange);
        }
    }

    /// Confirms a release to the exchange that sent it. An exchange may repeat a release until then, also to
    /// the next process if this one ends before a client has been told.
    fn confirm_release(&mut self, call: &CallId, exchange: ExchangeId) {
        if let Some(pool) = self.pools.get_mut(&exchange) {
            pool.send_if_connected(&jsonl::reply("FINISHED", &call.0, None));
        }
    }
}
