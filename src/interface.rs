//! What goes in and out of the decision module: settings, events, actions and ids.
//!
//! Nothing here decides anything. Times of day are read on the host's clock and given as a
//! [`Duration`] since that clock's origin; the module never reads a clock itself.

use std::sync::Arc;
use std::time::Duration;

/// A call, as the host names it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub Arc<str>);

/// One machine that serves an exchange (or a pool), as the directory names it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ExchangeId(pub Arc<str>);

/// Number of an exchange or pool in the network; two machines may hold one during a replacement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeNumber(pub u32);

/// A timer's name, picked by the module.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerToken(pub u64);

/// Whether a set-up may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Idempotency {
    /// Any number of set-ups does no harm.
    Safe,
    /// Repeats are discarded by the exchanges of one scope within a window.
    Keyed(DedupScope, Duration),
    /// Only a set-up proven never to have run may be repeated.
    Unsafe,
}

/// Exchanges that know of each other's keyed set-ups.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DedupScope {
    /// All exchanges.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one place.
    Node,
}

/// A class of calls.
#[derive(Debug, Clone)]
pub struct Class {
    /// Wanted to stand within this.
    pub target_delay: Duration,
    /// Given up by the caller after this, all tries together.
    pub deadline: Duration,
    /// What a call that stands in time is worth.
    pub value: f64,
    /// Share of the worth earned between aim and deadline.
    pub late_value_share: f64,
    /// Whether a set-up may be repeated.
    pub idempotency: Idempotency,
    /// Circuits seized on each group.
    pub circuits: u32,
    /// Mean holding time.
    pub mean_holding_time: Duration,
    /// With pools: where the class may go; empty means anywhere.
    pub pools: Vec<NodeNumber>,
}

/// A customer with a share of the network.
#[derive(Debug, Clone)]
pub struct Tenant {
    /// Calls a second within its share, over all controllers.
    pub quota_per_s: f64,
}

/// How exchanges are connected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Topology {
    /// Circuit groups between exchanges; the controller belongs to the exchange named.
    Meshed(NodeNumber),
    /// Pools of agents shared by all controllers; no transit.
    Pools,
}

/// The figures of the five rules.
#[derive(Debug, Clone, Default)]
pub struct RuleSettings {
    /// Time from being told of a drain until sends must have stopped.
    pub drain_grace: Duration,
    /// Least share of its capacity that a freshly started exchange has.
    pub cold_capacity_share: f64,
    /// A started exchange is warm after this.
    pub warm_up_time: Duration,
    /// A cold exchange falls when sent this many times what it can do ...
    pub overload_multiple: f64,
    /// ... for this long.
    pub overload_window: Duration,
    /// Where the registry is asked: longest time between questions.
    pub max_poll_interval: Duration,
}

/// What a controller may do.
#[derive(Debug, Clone, Default)]
pub struct PolicyLimits {
    /// Attempts for one call.
    pub max_attempts: u32,
    /// An attempt may be called off.
    pub cancel_allowed: bool,
    /// Exchanges may be probed.
    pub probes_allowed: bool,
    /// Messages to other controllers are allowed.
    pub peer_messages_allowed: bool,
    /// Callers are told how long to stay away.
    pub retry_after_allowed: bool,
    /// The longest such time that callers follow.
    pub max_retry_after: Duration,
}

/// A figure of a load report; the place in [`Settings::gauges`] is its place in a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Gauge {
    /// Free circuits (agents) toward the exchange.
    FreeCircuits,
    /// Size of the group (pool).
    TotalCircuits,
    /// Messages in work at the processor.
    InFlight,
    /// Messages waiting there.
    Queued,
    /// Share of the processor occupied.
    Utilization,
    /// Wait at the processor in milliseconds.
    LatencyMs,
    /// New set-ups a second that it can take from all senders.
    AllowedRate,
    /// Share of new set-ups that each sender is asked to hold back.
    RequestedReduction,
    /// A figure this version does not know.
    Unknown,
}

/// Points lost per unit, as shares of one.
#[derive(Debug, Clone, Default)]
pub struct Penalties {
    /// Worth that ended unserved after its aim.
    pub late_failure: f64,
    /// Processor work without a set-up.
    pub wasted_work: f64,
    /// A probe for each first try.
    pub probe: f64,
    /// 256 bytes to a peer for each first try.
    pub peer_message: f64,
}

/// All that a controller is told at its start.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Classes of calls, by their number.
    pub classes: Vec<Class>,
    /// Tenants, by their number; may be empty.
    pub tenants: Vec<Tenant>,
    /// Worth of a call over its tenant's share, as a part of its class's worth.
    pub over_quota_value_share: f64,
    /// Controllers in the network.
    pub fleet_size: u32,
    /// Own number among the controllers.
    pub controller_number: u32,
    /// How exchanges are connected.
    pub topology: Topology,
    /// After a time-out, cut or cancel: time before the call may be sent again.
    pub guard_time: Duration,
    /// A waiting set-up is repeated after this, at doubling gaps; zero: never.
    pub resend_interval: Duration,
    /// The five rules' figures.
    pub rules: RuleSettings,
    /// What is permitted.
    pub limits: PolicyLimits,
    /// Load reports: which figure stands where.
    pub gauges: Vec<Gauge>,
    /// Prices.
    pub penalties: Penalties,
    /// The registry sends only what it is asked for.
    pub registry_polled: bool,
    /// Callers flag their repeats.
    pub redials_flagged: bool,
    /// Calls bring a centre's advice.
    pub has_route_advice: bool,
    /// The clock's step: events are handled no more often.
    pub tick: Duration,
}

/// What the directory says of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// In service.
    Live,
    /// Finishing its work; nothing new.
    Draining,
    /// Withdrawn.
    Gone,
}

/// One line of the directory.
#[derive(Debug, Clone)]
pub struct DirectoryEntry {
    /// The machine.
    pub exchange: ExchangeId,
    /// Whose place it holds.
    pub node: NodeNumber,
    /// Its zone.
    pub zone: u32,
    /// Its state.
    pub health: Health,
    /// Clock time of its last start; `None`: long ago.
    pub up_since: Option<Duration>,
}

/// How a directory event is to be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateKind {
    /// Changed lines only.
    Changes,
    /// The complete list.
    Full,
    /// The complete list as last kept by this controller; may be old.
    Stored,
    /// A question failed or the subscription broke.
    Failed,
}

/// A call handed to the controller.
#[derive(Debug, Clone)]
pub struct OfferedCall {
    /// Its id.
    pub call: CallId,
    /// Class number.
    pub class: usize,
    /// Tenant number.
    pub tenant: usize,
    /// Number called.
    pub called_number: Arc<str>,
    /// Time until the caller gives up this try.
    pub remaining: Duration,
    /// Destination (pool of first choice).
    pub destination: NodeNumber,
    /// Circuits it seizes; `None`: as its class.
    pub circuits: Option<u32>,
    /// The centre's advice, or for a call in transit where it comes from.
    pub via: Option<NodeNumber>,
    /// A caller's repeat, flagged.
    pub flagged_as_redial: bool,
    /// In transit: on to its destination or back.
    pub is_transit: bool,
    /// It was cut and comes again.
    pub is_reconnect: bool,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptStatus {
    /// The call has come to its end.
    Ended,
    /// Lines engaged or a signalling fault.
    Error,
    /// Turned away or turned back.
    Full,
    /// No answer in time.
    TimedOut,
    /// No connection.
    Unreachable,
    /// The set-up or the standing call was cut.
    Reset,
    /// Called off.
    Cancelled,
    /// Not sent at all.
    Moot,
}

/// Why an attempt failed, where told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureCause {
    /// No circuit or agent.
    NoCircuit,
    /// The tandem sent it back.
    CrankedBack,
    /// The tandem sent it back: the processor after it was full.
    DestinationFull,
    /// The processor was full; with a wait where told.
    ProcessorFull(Option<Duration>),
    /// All lines of the number are busy.
    UserBusy,
}

/// The end of an attempt.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Its call.
    pub call: CallId,
    /// Number of the attempt.
    pub attempt_number: u32,
    /// Where it was sent.
    pub exchange: ExchangeId,
    /// How it ended.
    pub status: AttemptStatus,
    /// Time since the send.
    pub elapsed: Duration,
    /// The call is over.
    pub call_ended: bool,
    /// Why, where told.
    pub failure_cause: Option<FailureCause>,
    /// Load report.
    pub load_report: Vec<f64>,
}

/// What happens to a controller.
#[derive(Debug, Clone)]
pub enum Event {
    /// News of the directory.
    DirectoryUpdate {
        /// How to read the entries.
        kind: UpdateKind,
        /// The lines.
        entries: Arc<Vec<DirectoryEntry>>,
    },
    /// A call is handed over.
    CallOffered(OfferedCall),
    /// A call stands.
    CallEstablished {
        /// The call.
        call: CallId,
        /// Number of the attempt.
        attempt_number: u32,
        /// Where it was sent.
        exchange: ExchangeId,
        /// Time since the send.
        elapsed: Duration,
    },
    /// An attempt ended.
    AttemptEnded(Outcome),
    /// A probe's answer, or the own circuits toward an exchange changed.
    LoadReported {
        /// Which exchange.
        exchange: ExchangeId,
        /// The probe was answered.
        probe_answered: bool,
        /// Time since the probe; zero when unasked.
        elapsed: Duration,
        /// Load report.
        load_report: Vec<f64>,
    },
    /// The caller has gone.
    CallAbandoned(CallId),
    /// A message from another controller.
    PeerMessage {
        /// Sender.
        from: u32,
        /// Its bytes.
        payload: String,
    },
    /// A timer is due.
    TimerExpired(TimerToken),
}

/// What a controller does.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Start a set-up.
    SendSetUp {
        /// The call.
        call: CallId,
        /// The machine it goes to.
        exchange: ExchangeId,
        /// Clock time to give it up.
        give_up_at: Duration,
    },
    /// Final answer: turned away.
    Refuse {
        /// The call.
        call: CallId,
        /// How long the caller should stay away, if told.
        hold_off: Option<Duration>,
    },
    /// Final answer: failed.
    Fail(CallId),
    /// Call off an attempt.
    Cancel {
        /// The call.
        call: CallId,
        /// Number of the attempt.
        attempt_number: u32,
    },
    /// Wake me.
    StartTimer {
        /// After this time.
        after: Duration,
        /// With this token.
        token: TimerToken,
    },
    /// Probe a machine.
    Probe(ExchangeId),
    /// Message to all other controllers.
    Broadcast(String),
    /// Subscribe to the directory.
    Subscribe,
    /// A line for the operators.
    Log(String),
}

/// Why a controller could not be made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError(pub &'static str);

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "settings: {}", self.0)
    }
}

impl std::error::Error for SettingsError {}
