//! The exchange side of the call front end: handles the messages of exchanges and the connections to them.

use super::*;

/// Q.850 cause 34: no circuit or channel available.
const CAUSE_NO_CIRCUIT: u32 = 34;
/// Q.850 cause 102: recovery on timer expiry.
const CAUSE_TIMER_EXPIRY: u32 = 102;

impl Platform {
    /// Handles a message of an exchange.
    pub(in crate::net) fn on_exchange_message(
        &mut self,
        exchange: &ExchangeId,
        connection: ConnectionId,
        message: &jsonl::Message,
    ) {
        if self.is_stopped {
            return; // no client can be informed any more; the exchange repeats this to the next process
        }
        if message.tag.len() > MAX_CALL_ID_BYTES {
            return debug!(self.log, "exchange message ignored"; "exchange_id" => &*exchange.0,
                "reason" => "id too long for a call of this router");
        }
        let now = self.clock.now();
        let id = CallId(message.tag.as_str().into());
        let is_answer = matches!(message.verb.as_str(), "STARTED" | "FINISH");
        let Some(pool) = self.pools.get_mut(exchange) else { return };
        if pool.is_from_former_process(connection, &id) {
            let established_before = |call: &Call| {
                let sent_at = call.attempt.as_ref().map(|attempt| attempt.sent_at);
                call.is_established && sent_at.is_some_and(|sent_at| sent_at < pool.replaced_at())
            };
            let is_release =
                message.verb == "FINISH" && self.core.calls.open.get(&id).is_none_or(established_before);
            if !is_release {
                return self.answer_former_process(exchange, connection, message);
            }
        }
        pool.on_message(now, connection, is_answer.then_some(&id));
        match message.verb.as_str() {
            "LOAD" => pool.on_group_state(now, connection),
            "FINISH" | "FINISHED" => pool.on_release_confirmed(&id),
            _ => {}
        }
        let load_report =
            message.load.as_deref().map(|load| self.parse_load_report(load)).unwrap_or_default();
        match message.verb.as_str() {
            "LOAD" => self.core.handle_load_report(now, exchange, load_report),
            "STARTED" => {
                debug!(self.log, "exchange answered"; "call_id" => &*id.0, "exchange_id" => &*exchange.0);
                self.metrics.count_attempt_outcome("stands");
                let description = message.blob.as_deref().unwrap_or_default().into();
                self.core.handle_reply(now, exchange, &id, Reply::Established(description));
            }
            "FINISH" => {
                let was_established = self.core.calls.open.get(&id).is_none_or(|c| c.is_established);
                let status = release_status(message.cause, was_established);
                let failure_cause = message.note.as_deref().and_then(failure_cause);
                debug!(self.log, "exchange released call"; "call_id" => &*id.0,
                    "exchange_id" => &*exchange.0, "status" => ?status, "cause" => ?message.cause,
                    "note" => message.note.as_deref().unwrap_or(""));
                self.metrics.count_attempt_outcome(outcome_label(status));
                self.core.handle_reply(
                    now,
                    exchange,
                    &id,
                    Reply::Ended { status, failure_cause, load_report },
                );
                if was_established {
                    self.flush();
                    if self.releases.get(&id).is_none() {
                        self.send_to_exchange(exchange, connection, &jsonl::reply("FINISHED", &id.0, None));
                    }
                }
            }
            "ECHO" => self.send_to_exchange(exchange, connection, &jsonl::reply("ECHOED", &id.0, Some(1))),
            _ => {}
        }
        self.flush();
    }

    /// Answers a process of an exchange that has been replaced: a call that it has set up by now is released there,
    /// since the call may have been set up elsewhere, and nothing that it reports is taken for a report of the
    /// present process.
    fn answer_former_process(
        &self,
        exchange: &ExchangeId,
        connection: ConnectionId,
        message: &jsonl::Message,
    ) {
        debug!(self.log, "exchange message ignored"; "call_id" => &message.tag,
            "exchange_id" => &*exchange.0, "reason" => "from a process that has been replaced");
        match message.verb.as_str() {
            "STARTED" => {
                let release = jsonl::finish(&message.tag, CAUSE_NORMAL_CLEARING);
                self.send_to_exchange(exchange, connection, &release);
            }
            "FINISH" => {
                let reply = jsonl::reply("FINISHED", &message.tag, None);
                self.send_to_exchange(exchange, connection, &reply);
            }
            "ECHO" => {
                let reply = jsonl::reply("ECHOED", &message.tag, Some(1));
                self.send_to_exchange(exchange, connection, &reply);
            }
            _ => {}
        }
    }

    /// Records whether the last read on a connection ended in the middle of a line.
    pub(in crate::net) fn on_exchange_read(
        &mut self,
        exchange: &ExchangeId,
        connection: ConnectionId,
        is_partial: bool,
    ) {
        let now = self.clock.now();
        if let Some(pool) = self.pools.get_mut(exchange) {
            pool.on_read(now, connection, is_partial);
        }
    }

    pub(super) fn send_to_exchange(&self, exchange: &ExchangeId, connection: ConnectionId, bytes: &[u8]) {
        if let Some(pool) = self.pools.get(exchange) {
            pool.send(connection, bytes);
        }
    }

    /// Returns the configured gauges of a load report; -1 for a gauge that the report lacks.
    pub(super) fn parse_load_report(&self, load: &str) -> Vec<f64> {
        self.gauge_names.iter().map(|name| sip::parameter(load, name).unwrap_or(-1.0)).collect()
    }

    /// Opens a connection to an exchange if one is needed, or releases its calls if it is out of reach.
    pub(super) fn connect_if_needed(&mut self, exchange: &ExchangeId) {
        let (now, id) = (self.clock.now(), ConnectionId(self.next_connection_id()));
        let Some(pool) = self.pools.get_mut(exchange) else { return };
        let has_known_calls = self.core.has_established_call_at(exchange);
        let is_refresh_due = pool.is_refresh_due(now, has_known_calls);
        if is_refresh_due && has_known_calls && pool.is_out_of_reach(now) {
            warn!(self.log, "exchange out of reach, releasing its calls"; "exchange_id" => &*exchange.0);
            self.core.reset_calls_at(now, exchange);
            return self.flush();
        }
        let can_tell_clients = self.clients.has_serving_client() || !self.releases.has_untold_of(exchange);
        if self.is_stopped || (!can_tell_clients && pool.may_defer_collecting(now)) {
            return;
        }
        if !pool.should_connect(now, is_refresh_due) || !pool.make_room() {
            return;
        }
        pool.is_connecting = true;
        let (address, timeout) = (pool.address, self.connect_timeout);
        let Some(platform) = self.weak_self.upgrade() else { return };
        tokio::task::spawn_local(sockets::run_exchange_connection(
            platform,
            exchange.clone(),
            id,
            address,
            timeout,
        ));
    }

    /// Adds a new connection to the pool of its exchange.
    pub(in crate::net) fn on_exchange_connected(
        &mut self,
        exchange: &ExchangeId,
        id: ConnectionId,
        writes: SharedWriteBuffer,
    ) {
        let now = self.clock.now();
        debug!(self.log, "exchange connected"; "exchange_id" => &*exchange.0, "connection_id" => id.0);
        if let Some(pool) = self.pools.get_mut(exchange) {
            pool.on_connected(now, id, writes);
        }
    }

    /// Reports the unsent set-ups to the core, and the loss of all calls if the exchange's process has ended.
    pub(in crate::net) fn on_exchange_connect_failed(&mut self, exchange: &ExchangeId, error: &io::Error) {
        let now = self.clock.now();
        let is_refused = error.kind() == io::ErrorKind::ConnectionRefused;
        debug!(self.log, "exchange connect failed"; "exchange_id" => &*exchange.0, "error" => %error);
        let Some(pool) = self.pools.get_mut(exchange) else { return };
        let (unsent, has_process_ended) = pool.on_connect_failed(
            now,
            if is_refused { ConnectFailure::Refused } else { ConnectFailure::Unreachable },
        );
        for id in unsent {
            self.on_attempt_connection_lost(exchange, &id, false);
        }
        if has_process_ended {
            // All connections ended and nothing listens any more: the calls at the exchange were cut off with
            // its process.
            self.core.reset_calls_at(now, exchange);
        }
        self.flush();
    }

    /// Removes a connection that has ended from its pool, and reports the attempts that were open on it.
    pub(in crate::net) fn on_exchange_disconnected(
        &mut self,
        exchange: &ExchangeId,
        id: ConnectionId,
        reason: CloseReason,
        result: &io::Result<()>,
    ) {
        let now = self.clock.now();
        debug!(self.log, "exchange disconnected"; "exchange_id" => &*exchange.0, "connection_id" => id.0,
            "reason" => reason.as_str(), "end" => ?result);
        self.metrics.count_exchange_close(reason.as_str());
        let Some(pool) = self.pools.get_mut(exchange) else { return };
        for call in pool.on_closed(now, id) {
            // The set-up may have succeeded with its answer corrupted or cut off. Any call established there
            // is released before the next attempt, so that it does not hold circuits that nobody uses.
            let exchange_id = Some(exchange.clone());
            self.execute(Effect::ReleaseAtExchange {
                exchange: exchange_id,
                call: call.clone(),
                cause: CAUSE_NORMAL_CLEARING,
            });
            self.on_attempt_connection_lost(exchange, &call, true);
        }
        self.resend_releases_lost_with(exchange, id);
        self.connect_if_needed(exchange);
        self.flush();
    }

    /// Sends the releases again that may have been lost with a connection to an exchange, which would otherwise
    /// hold their circuits. A call that is still open may be set up there again, and is not released.
    fn resend_releases_lost_with(&mut self, exchange: &ExchangeId, connection: ConnectionId) {
        let now = self.clock.now();
        let Some(pool) = self.pools.get_mut(exchange) else { return };
        for call in pool.lost_releases(connection) {
            if !self.core.calls.open.contains_key(&call) {
                pool.resend_release(now, &call);
            }
        }
    }

    /// Reports an attempt to the core whose connection has ended or was never opened.
    pub(super) fn on_attempt_connection_lost(
        &mut self,
        exchange: &ExchangeId,
        id: &CallId,
        may_have_run: bool,
    ) {
        let status = ExchangePool::status_after_loss(may_have_run);
        if self.core.calls.open.get(id).is_some_and(|c| !c.is_established) {
            debug!(self.log, "attempt lost its connection"; "call_id" => &*id.0,
                "exchange_id" => &*exchange.0, "status" => ?status);
            self.metrics.count_attempt_outcome(outcome_label(status));
            let reply = Reply::Ended { status, failure_cause: None, load_report: Vec::new() };
            self.core.handle_reply(self.clock.now(), exchange, id, reply);
        }
    }
}

/// Returns the status of an attempt, or of an established call, that its exchange has released.
fn release_status(cause: Option<u32>, was_established: bool) -> AttemptStatus {
    match (cause, was_established) {
        (Some(CAUSE_TEMPORARY_FAILURE), _) => AttemptStatus::Reset,
        (_, true) => AttemptStatus::Ended,
        (Some(CAUSE_NO_CIRCUIT), false) => AttemptStatus::Full,
        (Some(CAUSE_TIMER_EXPIRY), false) => AttemptStatus::Moot,
        // The call was established at the exchange and ended normally, and its answer was lost: it must not
        // be set up again. (A call that the router has given up is closed at once, so its release does not
        // get here.)
        (Some(CAUSE_NORMAL_CLEARING), false) => AttemptStatus::Ended,
        _ => AttemptStatus::Error,
    }
}

/// Returns the cause that the note of a refused attempt names, if it is a known one.
fn failure_cause(note: &str) -> Option<FailureCause> {
    Some(match note {
        "group_full" => FailureCause::NoCircuit,
        "tandem_refused" => FailureCause::CrankedBack,
        "destination_full" => FailureCause::DestinationFull,
        "processor_full" => FailureCause::ProcessorFull(None),
        "user_busy" => FailureCause::UserBusy,
        _ => return None,
    })
}

/// Returns the value of the label `outcome` in the metrics.
fn outcome_label(status: AttemptStatus) -> &'static str {
    match status {
        AttemptStatus::Ended => "ended",
        AttemptStatus::Error => "error",
        AttemptStatus::Full => "full",
        AttemptStatus::TimedOut => "timed_out",
        AttemptStatus::Unreachable => "unreachable",
        AttemptStatus::Reset => "reset",
        AttemptStatus::Cancelled => "cancelled",
        AttemptStatus::Moot => "moot",
    }
}
