//! Interface of the decision module: the settings of a [`Controller`](crate::Controller), the events it
//! handles, the actions it returns, and the ids used in them.
//!
//! The host is the program that runs a controller: the router or the adapter. A time is given as the
//! [`Duration`] since the origin of the host's clock. A controller never reads a clock itself.
//!
//! An exchange (a machine with an [`ExchangeId`]) serves a node (a [`NodeNumber`] in the network). A router
//! sends the set-up of a call to an exchange; the call is established once the exchange has confirmed it. The
//! membership is the set of exchanges with their nodes, zones, states and starts; the membership source (for
//! the router, the coordinator) sends its updates.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

/// Id of a call, assigned by the host.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub Arc<str>);

/// Id of an exchange, that is, of one machine that serves a node, as given in the membership.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ExchangeId(pub Arc<str>);

/// Number of a node of the network: the position of an exchange, or a pool of agents. During a replacement
/// two exchanges serve one node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeNumber(pub u32);

/// Token of a timer, assigned by the controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerToken(pub u64);

/// Whether a set-up that may have run can be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Idempotency {
    /// A set-up can be repeated any number of times.
    Safe,
    /// The exchanges of this scope discard repeats within this time.
    Keyed(DedupScope, Duration),
    /// A set-up can be repeated only if it is certain not to have run.
    Unsafe,
}

/// Group of exchanges that detect repeats of keyed set-ups among each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DedupScope {
    /// All exchanges.
    All,
    /// Exchanges of one zone.
    Zone,
    /// Exchanges of one node.
    Node,
}

/// Settings of a class of calls.
#[derive(Debug, Clone)]
pub struct Class {
    /// Time within which a call is to be established to earn its full value.
    pub latency_objective: Duration,
    /// Time after which the caller gives up, counted over all its tries.
    pub deadline: Duration,
    /// Value of a call that is established within the latency objective.
    pub value: f64,
    /// Share of the value earned by a call that is established between the latency objective and the
    /// deadline.
    pub late_value_share: f64,
    /// Whether set-ups of the class can be repeated.
    pub idempotency: Idempotency,
    /// Number of circuits that a call seizes on each trunk group of its route.
    pub circuits: u32,
    /// Mean time for which a call stays established.
    pub mean_holding_time: Duration,
    /// Pools that can serve the class; empty if every pool can. Used with [`Topology::Pools`].
    pub pools: Vec<NodeNumber>,
}

/// Settings of a customer that has a quota of calls.
#[derive(Debug, Clone)]
pub struct Tenant {
    /// Calls per second within the quota, over all controllers.
    pub quota_per_s: f64,
}

/// How the nodes are connected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Topology {
    /// Exchanges connected by trunk groups. The controller belongs to the exchange of this node.
    Meshed(NodeNumber),
    /// Pools of agents that all controllers share, without transit.
    Pools,
}

/// Parameters of the rules that the controllers have to keep (listed in [`crate::policy`]).
#[derive(Debug, Clone, Default)]
pub struct RuleSettings {
    /// Time between the report of a drain and the last set-up that may still be sent.
    pub drain_grace: Duration,
    /// Lowest share of its capacity that an exchange has after its start.
    pub cold_capacity_share: f64,
    /// Time after which a started exchange has its full capacity.
    pub warm_up_time: Duration,
    /// A cold exchange fails if it is sent this multiple of its capacity for the length of `overload_window`.
    pub overload_multiple: f64,
    /// Time for which a cold exchange sustains `overload_multiple` times its capacity.
    pub overload_window: Duration,
    /// Longest time between two requests to a membership source that has to be polled.
    pub max_poll_interval: Duration,
}

/// Limits and permissions of a controller.
#[derive(Debug, Clone, Default)]
pub struct PolicyLimits {
    /// Largest number of attempts for one call.
    pub max_attempts: u32,
    /// Whether an attempt may be cancelled.
    pub cancel_allowed: bool,
    /// Whether exchanges may be probed.
    pub probes_allowed: bool,
    /// Whether messages may be sent to other controllers.
    pub peer_messages_allowed: bool,
    /// Whether a refusal may ask the caller to hold off.
    pub hold_off_allowed: bool,
    /// Longest hold-off that callers obey.
    pub max_hold_off: Duration,
}

/// Meaning of a figure in a load report. The index in [`Settings::gauges`] is the index in the report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Gauge {
    /// Number of free circuits (agents) toward the exchange.
    FreeCircuits,
    /// Number of circuits (agents) in the trunk group (pool).
    TotalCircuits,
    /// Number of messages that the processor is handling.
    InFlight,
    /// Number of messages that wait for the processor.
    Queued,
    /// Share of the processor that is in use.
    Utilization,
    /// Waiting time at the processor in milliseconds.
    LatencyMs,
    /// New set-ups per second that the processor can take from all senders together.
    AllowedRate,
    /// Share of new set-ups that each sender is asked to hold back.
    RequestedReduction,
    /// A figure unknown to this version.
    Unknown,
}

/// Deductions from the score of a run, as shares of 1.
#[derive(Debug, Clone, Default)]
pub struct Penalties {
    /// Deduction for value that failed after its latency objective.
    pub late_failure: f64,
    /// Deduction for processor work that led to no set-up.
    pub wasted_work: f64,
    /// Deduction for one probe per first attempt.
    pub probe: f64,
    /// Deduction for 256 bytes of peer messages per first attempt.
    pub peer_message: f64,
}

/// Settings of a controller, given at its start.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Classes of calls, indexed by class number.
    pub classes: Vec<Class>,
    /// Tenants, indexed by tenant number; may be empty.
    pub tenants: Vec<Tenant>,
    /// Value of a call above its tenant's quota, as a share of the value of its class.
    pub over_quota_value_share: f64,
    /// Number of controllers in the network.
    pub fleet_size: u32,
    /// Number of this controller among them, from 0.
    pub controller_number: u32,
    /// How the nodes are connected.
    pub topology: Topology,
    /// Time before a call may be sent again after a time-out, reset or cancel.
    pub guard_time: Duration,
    /// Time after which an unanswered set-up is repeated, doubled with each repeat; zero if it never is.
    pub resend_interval: Duration,
    /// Parameters of the rules.
    pub rules: RuleSettings,
    /// Limits and permissions.
    pub limits: PolicyLimits,
    /// Meaning of each figure in a load report.
    pub gauges: Vec<Gauge>,
    /// Deductions from the score.
    pub penalties: Penalties,
    /// Whether the membership source has to be polled, as it sends updates on request only.
    pub membership_polled: bool,
    /// Whether callers flag their redials.
    pub redials_flagged: bool,
    /// Whether calls bring the routing advice of a traffic control centre.
    pub has_route_advice: bool,
    /// Resolution of the clock: events are handled at these intervals at most.
    pub tick: Duration,
}

/// State of an exchange in the membership. The log and the console print the names of the variants.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// In service: takes new set-ups.
    Live,
    /// Finishing its calls before a stop: takes no new set-ups.
    Draining,
    /// Out of service, or no longer in the membership.
    Gone,
}

/// Exchange in the membership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Id of the exchange.
    pub exchange: ExchangeId,
    /// Node that it serves.
    pub node: NodeNumber,
    /// Number of its zone.
    pub zone: u32,
    /// State of the exchange.
    pub health: Health,
    /// Time of its last start; `None` if that was long ago.
    pub up_since: Option<Duration>,
}

/// Content of a membership update.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateKind {
    /// Only the members that have changed.
    Changes,
    /// All members.
    Full,
    /// All members as last stored by this router; they may be outdated.
    Stored,
    /// No members, since a request or the subscription failed.
    Failed,
}

/// Returns a hash of a text, by which it is recognized once the text itself is no longer kept. It is the same in
/// each process, so that the same events give the same actions.
pub fn hash_text(text: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    hasher.finish()
}

/// A call that a caller asks for.
#[derive(Debug, Clone)]
pub struct OfferedCall {
    /// Id of the call.
    pub call: CallId,
    /// Class number.
    pub class: usize,
    /// Tenant number.
    pub tenant: usize,
    /// Called number.
    pub called_number: Arc<str>,
    /// Time until the caller gives up this try.
    pub remaining: Duration,
    /// Destination node, or the pool of first choice.
    pub destination: NodeNumber,
    /// Number of circuits that the call seizes; `None` for that of its class.
    pub circuits: Option<u32>,
    /// Tandem that the routing advice names; for a call in transit, the node that it comes from.
    pub via: Option<NodeNumber>,
    /// Whether the caller flagged the call as a redial.
    pub flagged_as_redial: bool,
    /// Whether the call is in transit: it is sent to its destination or refused, and over no other tandem.
    pub is_transit: bool,
    /// Whether the caller reconnects a call that was cut off.
    pub is_reconnect: bool,
}

/// How an attempt ended. The log prints the names of the variants.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptStatus {
    /// The call ran to its end, or was released after it was established.
    Ended,
    /// The called lines were busy, or signalling failed.
    Error,
    /// The exchange refused the call, or the tandem cranked it back, for lack of capacity.
    Full,
    /// No answer arrived in time.
    TimedOut,
    /// No connection to the exchange could be opened, so the set-up was not sent.
    Unreachable,
    /// The connection was lost during the set-up, or an established call was cut off.
    Reset,
    /// The router or the caller cancelled the attempt.
    Cancelled,
    /// The set-up did not take place: it was not sent, or the far end seized the last circuit first.
    Moot,
}

/// Reason that an exchange reports for a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureCause {
    /// No circuit or agent was free.
    NoCircuit,
    /// The tandem cranked the call back, since it had no free circuit to the destination.
    CrankedBack,
    /// The tandem cranked the call back, since the processor of the destination was full.
    DestinationFull,
    /// The processor was full; with the time to wait, if reported.
    ProcessorFull(Option<Duration>),
    /// All lines of the called number were busy.
    UserBusy,
}

/// Outcome of an attempt.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Id of the call.
    pub call: CallId,
    /// Number of the attempt, from 0.
    pub attempt_number: u32,
    /// Exchange that it was sent to.
    pub exchange: ExchangeId,
    /// How the attempt ended.
    pub status: AttemptStatus,
    /// Time since the set-up was sent.
    pub elapsed: Duration,
    /// Whether the call is over, so that no further attempt may be made.
    pub call_ended: bool,
    /// Reason reported by the exchange.
    pub failure_cause: Option<FailureCause>,
    /// Load report, with a negative value for each missing figure; empty if there is none.
    pub load_report: Vec<f64>,
}

/// Event that a controller handles.
#[derive(Debug, Clone)]
pub enum Event {
    /// The membership source sent an update, or failed to.
    MembershipUpdate {
        /// Content of the update.
        kind: UpdateKind,
        /// Members that the update reports.
        members: Arc<Vec<Member>>,
    },
    /// A caller asks for a call.
    CallOffered(OfferedCall),
    /// A call was established.
    CallEstablished {
        /// Id of the call.
        call: CallId,
        /// Number of the attempt, from 0.
        attempt_number: u32,
        /// Exchange that it was sent to.
        exchange: ExchangeId,
        /// Time since the set-up was sent.
        elapsed: Duration,
    },
    /// An attempt ended, or the call that it established.
    AttemptEnded(Outcome),
    /// A probe ended, or the number of free circuits toward an exchange changed.
    LoadReported {
        /// Exchange that the report is about.
        exchange: ExchangeId,
        /// Whether the probe was answered.
        probe_answered: bool,
        /// Time since the probe; zero for a report without a probe.
        elapsed: Duration,
        /// Load report, with a negative value for each missing figure.
        load_report: Vec<f64>,
    },
    /// The call is over without an answer by the controller: the caller gave it up, or its time ran out.
    CallAbandoned(CallId),
    /// Another controller sent a message.
    PeerMessage {
        /// Number of the sending controller.
        from: u32,
        /// Text of the message.
        payload: String,
    },
    /// A timer expired.
    TimerExpired(TimerToken),
}

/// Action that the host carries out for a controller.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Sends a set-up.
    SendSetUp {
        /// Id of the call.
        call: CallId,
        /// Exchange that it goes to.
        exchange: ExchangeId,
        /// Time at which the host gives the attempt up.
        give_up_at: Duration,
    },
    /// Refuses a call, which is a final answer.
    Refuse {
        /// Id of the call.
        call: CallId,
        /// Time after which the caller may redial; `None` if the answer names no time.
        hold_off: Option<Duration>,
    },
    /// Fails a call that may have run, which is a final answer.
    Fail(CallId),
    /// Cancels an attempt.
    Cancel {
        /// Id of the call.
        call: CallId,
        /// Number of the attempt, from 0.
        attempt_number: u32,
    },
    /// Starts a timer.
    StartTimer {
        /// Time until it expires.
        after: Duration,
        /// Token of [`Event::TimerExpired`].
        token: TimerToken,
    },
    /// Cancels a timer that has not expired, since its call is over. A host that can't take timers back may
    /// ignore this; the timer has no effect then.
    CancelTimer(TimerToken),
    /// Probes an exchange.
    Probe(ExchangeId),
    /// Sends a message to all other controllers.
    Broadcast(String),
    /// Subscribes to the membership, or requests the members from a source that has to be polled.
    Subscribe,
    /// Writes a line to the log.
    Log(String),
}

/// Error for settings that a controller cannot work with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError(pub &'static str);

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "settings: {}", self.0)
    }
}

impl std::error::Error for SettingsError {}
