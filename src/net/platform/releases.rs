//! Releases of calls sent to clients, repeated until a client has confirmed them.

use super::*;

impl Platform {
    /// Releases a call at its client: on the client's own connection if it is open, else on any other, else
    /// as soon as a client connects.
    pub(super) fn release_to_client(&mut self, client: Option<u64>, call: CallId, cause: u32) {
        self.send_release(self.clients.select_for_release(client, None), call, cause, 1);
    }

    /// Repeats an unconfirmed release on another connection, unless it has been sent often enough.
    pub(super) fn resend_release(&mut self, call: &CallId) {
        if let Some(release) =
            self.unconfirmed_releases.remove(call).filter(|r| r.send_count < MAX_RELEASE_SENDS)
        {
            let other = self.clients.select_for_release(None, Some(release.client));
            self.send_release(other, call.clone(), release.cause, release.send_count + 1);
        }
    }

    /// Sends a release on a client connection, or queues it if there is none.
    pub(super) fn send_release(&mut self, client: Option<u64>, call: CallId, cause: u32, send_count: u32) {
        let now = self.clock.now();
        if let Some(client) = client {
            self.send_to_client(client, &sip::bye(&call.0, cause));
            self.unconfirmed_releases
                .insert(call, UnconfirmedRelease { client, cause, sent_at: now, send_count });
            return;
        }
        if self.queued_releases.len() >= MAX_QUEUED_CLIENT_RELEASES {
            self.queued_releases.pop_front();
        }
        self.queued_releases.push_back(QueuedRelease {
            call,
            cause,
            expires_at: now + RELEASE_QUEUE_TIMEOUT,
            send_count,
        });
    }
}
