//! Counters of the router in the OpenMetrics text format, for the console and the log.

use std::fmt;

use prometheus_client::encoding::{text, EncodeLabelSet};
use prometheus_client::metrics::{counter::Counter, family::Family};
use prometheus_client::registry::Registry;

/// Why something was done: a fixed word, so that the number of series stays small.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Reason {
    reason: &'static str,
}

/// A final answer: its status and who decided it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Answer {
    status: u32,
    reason: &'static str,
}

/// How an attempt at an exchange ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Outcome {
    outcome: &'static str,
}

/// All counters, from the start of the process.
pub struct Metrics {
    registry: Registry,
    requests: Counter,
    attempts: Counter,
    answers: Family<Answer, Counter>,
    outcomes: Family<Outcome, Counter>,
    protocol_errors: Family<Reason, Counter>,
    dropped: Family<Reason, Counter>,
    client_closes: Family<Reason, Counter>,
    exchange_closes: Family<Reason, Counter>,
    discovery_closes: Family<Reason, Counter>,
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
            outcomes: Family::default(),
            protocol_errors: Family::default(),
            dropped: Family::default(),
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
        registry.register("attempt_outcomes", "Ends of attempts and of calls", self.outcomes.clone());
        registry.register("protocol_errors", "Rejected client messages", self.protocol_errors.clone());
        registry.register("dropped_requests", "Set-ups that lost their connection", self.dropped.clone());
        registry.register("client_closes", "Ended client connections", self.client_closes.clone());
        registry.register("exchange_closes", "Ended exchange connections", self.exchange_closes.clone());
        registry.register("discovery_closes", "Ended coordinator connections", self.discovery_closes.clone());
    }

    /// A set-up was taken.
    pub fn count_request(&self) {
        self.requests.inc();
    }

    /// A set-up was sent to an exchange.
    pub fn count_attempt(&self) {
        self.attempts.inc();
    }

    /// A final answer was written.
    pub fn count_answer(&self, status: u16, reason: &'static str) {
        self.answers.get_or_create(&Answer { status: u32::from(status), reason }).inc();
    }

    /// An attempt, or the call that it set up, has ended.
    pub fn count_outcome(&self, outcome: &'static str) {
        self.outcomes.get_or_create(&Outcome { outcome }).inc();
    }

    /// A client's message was rejected.
    pub fn count_protocol_error(&self, reason: &'static str) {
        self.protocol_errors.get_or_create(&Reason { reason }).inc();
    }

    /// A set-up lost its client connection before its answer.
    pub fn count_dropped(&self, reason: &'static str) {
        self.dropped.get_or_create(&Reason { reason }).inc();
    }

    /// A client connection has ended.
    pub fn count_client_close(&self, reason: &'static str) {
        self.client_closes.get_or_create(&Reason { reason }).inc();
    }

    /// A connection to an exchange has ended.
    pub fn count_exchange_close(&self, reason: &'static str) {
        self.exchange_closes.get_or_create(&Reason { reason }).inc();
    }

    /// A connection to the coordinator has ended.
    pub fn count_discovery_close(&self, reason: &'static str) {
        self.discovery_closes.get_or_create(&Reason { reason }).inc();
    }

    /// All counters as OpenMetrics text.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        // Writing to a string can't fail.
        let _ = text::encode(&mut text, &self.registry);
        text
    }
}
