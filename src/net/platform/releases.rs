//! Releases of calls towards their clients, repeated until a client has confirmed them.

use super::*;

impl Platform {
    /// Tells a call's client that it is over: over its own connection, else over any, else a little later.
    pub(super) fn release(&mut self, client: Option<u64>, call: CallId, cause: u32) {
        self.send_release(self.clients.for_release(client, None), call, cause, 1);
    }

    pub(super) fn release_again(&mut self, call: &CallId) {
        if let Some(sent) = self.releases.remove(call).filter(|r| r.times < MAX_RELEASE_SENDS) {
            let other = self.clients.for_release(None, Some(sent.client));
            self.send_release(other, call.clone(), sent.cause, sent.times + 1);
        }
    }

    pub(super) fn send_release(&mut self, client: Option<u64>, call: CallId, cause: u32, times: u32) {
        let at = self.clock.now();
        if let Some(client) = client {
            self.send_to_client(client, &sip::bye(&call.0, cause));
            self.releases.insert(call, Sent { client, cause, at, times });
            return;
        }
        if self.waiting.len() >= MAX_WAITING_RELEASES {
            self.waiting.pop_front();
        }
        self.waiting.push_back(Release { call, cause, until: at + RELEASE_WAIT, times });
    }
}
