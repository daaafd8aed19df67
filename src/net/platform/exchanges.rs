//! The exchange side of the front: set-ups out, outcomes and group states in.

use super::*;

impl Platform {
    pub(in crate::net) fn exchange_line(
        &mut self,
        exchange: &ExchangeId,
        conn: ConnId,
        line: &jsonl::Message,
    ) {
        if self.is_stopped {
            return; // no client is left to be told; the exchange tells the next process
        }
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
            "LOAD" => self.core.handle_load_report(now, exchange, report),
            "STARTED" => {
                debug!(self.log, "exchange answered"; "call_id" => &*id.0, "exchange_id" => &*exchange.0);
                self.metrics.count_attempt_outcome("stands");
                let description = line.blob.as_deref().unwrap_or_default().into();
                self.core.handle_reply(now, exchange, &id, Reply::Stands(description));
            }
            "FINISH" => {
                let stood = self.core.calls.open.get(&id).is_none_or(|c| c.stands);
                let status = end_of(line.cause, stood);
                let cause = line.note.as_deref().and_then(cause_of);
                debug!(self.log, "exchange released call"; "call_id" => &*id.0, "exchange_id" => &*exchange.0,
                    "status" => ?status, "cause" => ?line.cause, "note" => line.note.as_deref().unwrap_or(""));
                self.metrics.count_attempt_outcome(outcome_name(status));
                self.core.handle_reply(now, exchange, &id, Reply::Ended { status, cause, report });
                if stood {
                    self.answer(exchange, conn, &jsonl::reply("FINISHED", &id.0, None));
                }
            }
            "ECHO" => self.answer(exchange, conn, &jsonl::reply("ECHOED", &id.0, Some(1))),
            _ => {}
        }
        self.flush();
    }

    /// After what was read last, an exchange is in the middle of a line or not.
    pub(in crate::net) fn exchange_reading(&mut self, exchange: &ExchangeId, conn: ConnId, half: bool) {
        let now = self.clock.now();
        if let Some(pool) = self.pools.get_mut(exchange) {
            pool.on_read(now, conn, half);
        }
    }

    pub(super) fn answer(&self, exchange: &ExchangeId, conn: ConnId, bytes: &[u8]) {
        if let Some(pool) = self.pools.get(exchange) {
            pool.answer(conn, bytes);
        }
    }

    pub(super) fn report(&self, load: &str) -> Vec<f64> {
        self.gauge_names.iter().map(|name| sip::parameter(load, name).unwrap_or(-1.0)).collect()
    }

    pub(super) fn connect(&mut self, exchange: &ExchangeId) {
        let (now, id) = (self.clock.now(), ConnId(self.conn()));
        let Some(pool) = self.pools.get_mut(exchange) else { return };
        let missed = pool.is_idle(now) && self.core.stands_at(exchange);
        if missed && pool.is_out_of_reach(now) {
            warn!(self.log, "out of reach, its calls are released"; "exchange_id" => &*exchange.0);
            self.core.reset_calls_at(now, exchange);
            return self.flush();
        }
        if self.is_stopped || !pool.wants_connect(now, missed) || !pool.make_room() {
            return;
        }
        pool.connecting = true;
        let (address, within) = (pool.address, self.connect_timeout);
        let Some(me) = self.me.upgrade() else { return };
        tokio::task::spawn_local(sockets::dial(me, exchange.clone(), id, address, within));
    }

    pub(in crate::net) fn exchange_up(
        &mut self,
        exchange: &ExchangeId,
        id: ConnId,
        writes: SharedWriteBuffer,
    ) {
        let now = self.clock.now();
        debug!(self.log, "exchange connected"; "exchange_id" => &*exchange.0, "connection_id" => id.0);
        if let Some(pool) = self.pools.get_mut(exchange) {
            pool.connected(now, id, writes);
        }
    }

    pub(in crate::net) fn exchange_failed(&mut self, exchange: &ExchangeId, error: &io::Error) {
        let now = self.clock.now();
        let refused = error.kind() == io::ErrorKind::ConnectionRefused;
        debug!(self.log, "exchange connect failed"; "exchange_id" => &*exchange.0, "error" => %error);
        let Some(pool) = self.pools.get_mut(exchange) else { return };
        let (unsent, died) = pool.failed(now, if refused { Failure::Refused } else { Failure::Silent });
        for id in unsent {
            self.on_connection_reset(exchange, &id, false);
        }
        if died {
            // Its connections broke and nothing listens any more: what stood there was cut with it.
            self.core.reset_calls_at(now, exchange);
        }
        self.flush();
    }

    pub(in crate::net) fn exchange_down(
        &mut self,
        exchange: &ExchangeId,
        id: ConnId,
        reason: CloseReason,
        ended: &io::Result<()>,
    ) {
        let now = self.clock.now();
        debug!(self.log, "exchange disconnected"; "exchange_id" => &*exchange.0, "connection_id" => id.0,
            "reason" => reason.as_str(), "end" => ?ended);
        self.metrics.count_exchange_close(reason.as_str());
        let Some(pool) = self.pools.get_mut(exchange) else { return };
        for id in pool.closed(now, id) {
            // Guards against circuits held for nobody: the set-up may have run, and its answer been spoilt or
            // cut off. Whatever stands there is released before the call goes there again.
            let exchange_id = Some(exchange.clone());
            self.carry_out(Effect::ReleaseAtExchange {
                exchange: exchange_id,
                call: id.clone(),
                cause: CAUSE_NORMAL_CLEARING,
            });
            self.on_connection_reset(exchange, &id, true);
        }
        self.connect(exchange);
        self.flush();
    }

    pub(super) fn on_connection_reset(&mut self, exchange: &ExchangeId, id: &CallId, ran: bool) {
        let status = ExchangePool::status(ran);
        if self.core.calls.open.get(id).is_some_and(|c| !c.stands) {
            debug!(self.log, "attempt lost its connection"; "call_id" => &*id.0, "exchange_id" => &*exchange.0,
                "status" => ?status);
            self.metrics.count_attempt_outcome(outcome_name(status));
            let reply = Reply::Ended { status, cause: None, report: Vec::new() };
            self.core.handle_reply(self.clock.now(), exchange, id, reply);
        }
    }
}

/// How an attempt, or a call that stood, has ended.
fn end_of(cause: Option<u32>, stood: bool) -> AttemptStatus {
    match (cause, stood) {
        (Some(41), _) => AttemptStatus::Reset,
        (_, true) => AttemptStatus::Ended,
        (Some(34), false) => AttemptStatus::Full,
        (Some(102), false) => AttemptStatus::Moot,
        // Guards against repeating what ran: the call stood there and came to its end, and its answer was lost.
        // (What is given up here is settled at once, and is no longer open when its end is heard of.)
        (Some(16), false) => AttemptStatus::Ended,
        _ => AttemptStatus::Error,
    }
}

fn cause_of(note: &str) -> Option<FailureCause> {
    Some(match note {
        "group_full" => FailureCause::NoCircuit,
        "tandem_refused" => FailureCause::CrankedBack,
        "destination_full" => FailureCause::DestinationFull,
        "processor_full" => FailureCause::ProcessorFull(None),
        "user_busy" => FailureCause::UserBusy,
        _ => return None,
    })
}

/// The word for an outcome in the metrics.
fn outcome_name(status: AttemptStatus) -> &'static str {
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
