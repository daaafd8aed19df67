//! Counters of the router, written in the OpenMetrics text format for the console and the log.

use std::fmt;

use prometheus_client::encoding::{text, EncodeLabelSet};
use prometheus_client::metrics::{counter::Counter, family::Family};
use prometheus_client::registry::Registry;

/// Label with the reason of an event. Reasons are fixed words, which keeps the number of series small.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabel {
    reason: &'static str,
}

/// Labels of a final answer: its status and what decided it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AnswerLabels {
    status: u32,
    reason: &'static str,
}

/// Label with the way in which an attempt at an exchange ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabel {
    outcome: &'static str,
}

/// Counters since the start of the process.
pub struct Metrics {
    registry: Registry,
    requests: Counter,
    attempts: Counter,
    answers: Family<AnswerLabels, Counter>,
    attempt_outcomes: Family<OutcomeLabel, Counter>,
    protocol_errors: Family<ReasonLabel, Counter>,
    dropped_requests: Family<ReasonLabel, Counter>,
    client_closes: Family<ReasonLabel, Counter>,
    exchange_closes: Family<ReasonLabel, Counter>,
    discovery_closes: Family<ReasonLabel, Counter>,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Metrics")
    }
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("quartzspindle"),
            requests: Counter::default(),
            attempts: Counter::default(),
            answers: Family::default(),
            attempt_outcomes: Family::default(),
            protocol_errors: Family::default(),
            dropped_requests: Family::default(),
            client_closes: Family::default(),
            exchange_closes: Family::default(),
            discovery_closes: Family::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("requests", "Set-ups taken from clients", self.requests.clone());
        registry.register("attempts", "Set-ups sent to exchanges", self.attempts.clone());
        registry.register(
            "answers",
            "Final answers by status and by what decided them",
            self.answers.clone(),
        );
        registry.register("attempt_outcomes", "Ends of attempts and of calls", self.attempt_outcomes.clone());
        registry.register("protocol_errors", "Rejected client messages", self.protocol_errors.clone());
        registry.register(
            "dropped_requests",
            "Set-ups that lost their connection",
            self.dropped_requests.clone(),
        );
        registry.register("client_closes", "Ended client connections", self.client_closes.clone());
        registry.register("exchange_closes", "Ended exchange connections", self.exchange_closes.clone());
        registry.register("discovery_closes", "Ended coordinator connections", self.discovery_closes.clone());
    }

    /// Counts a set-up taken from a client.
    pub fn count_request(&self) {
        self.requests.inc();
    }

    /// Counts a set-up sent to an exchange.
    pub fn count_attempt(&self) {
        self.attempts.inc();
    }

    /// Counts a final answer written to a client.
    pub fn count_answer(&self, status: u16, reason: &'static str) {
        self.answers.get_or_create(&AnswerLabels { status: u32::from(status), reason }).inc();
    }

    /// Counts an attempt that was answered or ended, or the end of the call that it set up.
    pub fn count_attempt_outcome(&self, outcome: &'static str) {
        self.attempt_outcomes.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Counts a rejected client message.
    pub fn count_protocol_error(&self, reason: &'static str) {
        self.protocol_errors.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Counts a set-up whose client connection closed before the answer.
    pub fn count_dropped_request(&self, reason: &'static str) {
        self.dropped_requests.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Counts a closed client connection.
    pub fn count_client_close(&self, reason: &'static str) {
        self.client_closes.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Counts a closed connection to an exchange.
    pub fn count_exchange_close(&self, reason: &'static str) {
        self.exchange_closes.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Counts a closed connection to the coordinator.
    pub fn count_discovery_close(&self, reason: &'static str) {
        self.discovery_closes.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Returns all counters as OpenMetrics text.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        // Writing to a `String` can't fail.
        let _ = text::encode(&mut text, &self.registry);
        text
    }
}
