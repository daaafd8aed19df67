//! The simulator's JSON messages and their translation to and from the controller's interface.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use quartzspindle::interface::*;
use serde::Deserialize;
use serde_json::{json, Value};

/// Names of the events addressed to an instance; unknown events are skipped.
pub const INSTANCE_EVENTS: [&str; 10] = [
    "Boot",
    "Announce",
    "Query",
    "ReportBack",
    "Sampled",
    "Expired",
    "PeerData",
    "Fired",
    "Accepted",
    "Halt",
];

/// Events that happened at one time.
#[derive(Deserialize)]
pub struct Batch {
    #[serde(rename = "TimeNs")]
    pub time: u64,
    pub happened: Vec<Value>,
}

/// Membership, to which later `Announce` events refer by its number.
#[derive(Deserialize)]
pub struct Membership {
    #[serde(rename = "Ref")]
    pub membership_number: u64,
    #[serde(rename = "RowsIn")]
    pub rows: Vec<Row>,
}

/// Row of a membership.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Row {
    exchange: Arc<str>,
    up_since_ns: Option<u64>,
    place_no: u32,
    health: String,
    campus: Option<u32>,
}

/// Translates a row of a membership.
pub fn parse_member(row: Row) -> Result<Member, String> {
    let health = match row.health.as_str() {
        "live" => Health::Live,
        "quiescing" => Health::Draining,
        "dead" => Health::Gone,
        other => return Err(format!("unknown Health {other:?}")),
    };
    Ok(Member {
        exchange: ExchangeId(row.exchange),
        node: NodeNumber(row.place_no),
        zone: row.campus.unwrap_or(0),
        health,
        up_since: row.up_since_ns.filter(|t| *t > 0).map(Duration::from_nanos),
    })
}

/// Start of an instance.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Boot {
    #[serde(rename = "Prng")]
    pub seed: u64,
    pub info: Info,
}

/// Settings of an instance.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Info {
    #[serde(default)]
    classes: Vec<WireClass>,
    #[serde(default)]
    orgs: Vec<WireTenant>,
    over_share_worth: Option<f64>,
    fleet_size: Option<u32>,
    me: Option<u32>,
    #[serde(default)]
    domain: Domain,
    #[serde(default)]
    contract: WireContract,
    #[serde(default)]
    policy_limits: WireLimits,
    #[serde(default)]
    stats: Stats,
    #[serde(default)]
    penalties: WirePenalties,
    registry_mode: Option<String>,
    #[serde(default)]
    clients: Clients,
    tick_ns: Option<u64>,
}

/// Settings of a class. [`Domain`] has its circuits, holding time and pools, in lists by class number.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireClass {
    aim_ns: u64,
    deadline_ns: u64,
    worth: Option<f64>,
    late_share: Option<f64>,
    effect: Option<String>,
    dedup_scope: Option<String>,
    window_ns: Option<u64>,
}

/// Settings of a tenant.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireTenant {
    quota_per_s: Option<f64>,
}

/// Settings of the network, and those of each class that depend on it.
#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct Domain {
    advice: Option<bool>,
    channels_needed: Option<Vec<u32>>,
    class_hold_ns: Option<Vec<u64>>,
    guard_ns: Option<u64>,
    own_number: Option<i64>,
    resend_ns: Option<u64>,
    skilled_pools: Option<Vec<Option<Vec<u32>>>>,
    topology: Option<String>,
}

/// Parameters of the rules, see [`RuleSettings`].
#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct WireContract {
    drain_grace_ns: Option<u64>,
    cold_from: Option<f64>,
    cold_ns: Option<u64>,
    fall_multiple: Option<f64>,
    fall_ns: Option<u64>,
    ask_within_ns: Option<u64>,
}

/// Limits and permissions, see [`PolicyLimits`].
#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct WireLimits {
    max_attempts: Option<u32>,
    cancelling: Option<bool>,
    probes: Option<bool>,
    peers: Option<bool>,
    retry_after: Option<bool>,
    max_retry_after_ns: Option<u64>,
}

/// Names of the figures in a load report.
#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct Stats {
    names: Option<Vec<String>>,
}

/// Deductions from the score, see [`Penalties`].
#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct WirePenalties {
    late_fail: Option<f64>,
    waste: Option<f64>,
    probe: Option<f64>,
    peer: Option<f64>,
}

/// Settings of the callers.
#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct Clients {
    marks_retry: Option<bool>,
}

fn duration_or_zero(value: Option<u64>) -> Duration {
    Duration::from_nanos(value.unwrap_or(0))
}

fn node_numbers(numbers: &[u32]) -> Vec<NodeNumber> {
    numbers.iter().copied().map(NodeNumber).collect()
}

fn parse_class(index: usize, class: WireClass, domain: &Domain) -> Result<Class, String> {
    let idempotency = match class.effect.as_deref() {
        None | Some("safe") => Idempotency::Safe,
        Some("unsafe") => Idempotency::Unsafe,
        Some("keyed") => {
            let scope = match class.dedup_scope.as_deref() {
                Some("all") => DedupScope::All,
                Some("zone") => DedupScope::Zone,
                _ => DedupScope::Node,
            };
            Idempotency::Keyed(scope, duration_or_zero(class.window_ns))
        }
        Some(other) => return Err(format!("unknown Effect {other:?}")),
    };
    Ok(Class {
        latency_objective: Duration::from_nanos(class.aim_ns),
        deadline: Duration::from_nanos(class.deadline_ns),
        value: class.worth.unwrap_or(0.0),
        late_value_share: class.late_share.unwrap_or(0.0),
        idempotency,
        circuits: domain.channels_needed.as_ref().and_then(|w| w.get(index).copied()).unwrap_or(1),
        mean_holding_time: duration_or_zero(
            domain.class_hold_ns.as_ref().and_then(|h| h.get(index).copied()),
        ),
        pools: domain
            .skilled_pools
            .as_ref()
            .and_then(|p| p.get(index))
            .map_or_else(Vec::new, |p| node_numbers(p.as_deref().unwrap_or_default())),
    })
}

fn parse_gauge(name: &str) -> Gauge {
    match name {
        "spare" => Gauge::FreeCircuits,
        "total" => Gauge::TotalCircuits,
        "rif" => Gauge::InFlight,
        "q" => Gauge::Queued,
        "busy" => Gauge::Utilization,
        "lat_ms" => Gauge::LatencyMs,
        "allowed" => Gauge::AllowedRate,
        "cut_by" => Gauge::RequestedReduction,
        _ => Gauge::Unknown,
    }
}

/// Translates the settings of an instance. Missing settings become 0, empty or off; a class seizes one
/// circuit by default.
pub fn parse_settings(info: Info) -> Result<Settings, String> {
    let domain = info.domain;
    let own_number = domain.own_number.and_then(|n| u32::try_from(n).ok());
    let topology = match (domain.topology.as_deref(), own_number) {
        (Some("groups"), _) | (None, None) => Topology::Pools,
        (Some("meshed") | None, Some(own_number)) => Topology::Meshed(NodeNumber(own_number)),
        (Some(other), _) => return Err(format!("Topology {other:?} is unknown or lacks a valid OwnNumber")),
    };
    let classes = info.classes.into_iter().enumerate();
    let classes = classes.map(|(i, c)| parse_class(i, c, &domain)).collect::<Result<Vec<_>, _>>()?;
    let tenants = info.orgs.into_iter();
    let (contract, limits, penalties) = (info.contract, info.policy_limits, info.penalties);
    Ok(Settings {
        classes,
        tenants: tenants.map(|t| Tenant { quota_per_s: t.quota_per_s.unwrap_or(0.0) }).collect(),
        over_quota_value_share: info.over_share_worth.unwrap_or(0.0),
        fleet_size: info.fleet_size.unwrap_or(0),
        controller_number: info.me.unwrap_or(0),
        topology,
        guard_time: duration_or_zero(domain.guard_ns),
        resend_interval: duration_or_zero(domain.resend_ns),
        rules: RuleSettings {
            drain_grace: duration_or_zero(contract.drain_grace_ns),
            cold_capacity_share: contract.cold_from.unwrap_or(0.0),
            warm_up_time: duration_or_zero(contract.cold_ns),
            overload_multiple: contract.fall_multiple.unwrap_or(0.0),
            overload_window: duration_or_zero(contract.fall_ns),
            max_poll_interval: duration_or_zero(contract.ask_within_ns),
        },
        limits: PolicyLimits {
            max_attempts: limits.max_attempts.unwrap_or(0),
            cancel_allowed: limits.cancelling.unwrap_or(false),
            probes_allowed: limits.probes.unwrap_or(false),
            peer_messages_allowed: limits.peers.unwrap_or(false),
            hold_off_allowed: limits.retry_after.unwrap_or(false),
            max_hold_off: duration_or_zero(limits.max_retry_after_ns),
        },
        gauges: info.stats.names.unwrap_or_default().iter().map(|n| parse_gauge(n)).collect(),
        penalties: Penalties {
            late_failure: penalties.late_fail.unwrap_or(0.0),
            wasted_work: penalties.waste.unwrap_or(0.0),
            probe: penalties.probe.unwrap_or(0.0),
            peer_message: penalties.peer.unwrap_or(0.0),
        },
        membership_polled: info.registry_mode.as_deref() == Some("ask"),
        redials_flagged: info.clients.marks_retry.unwrap_or(false),
        has_route_advice: domain.advice.unwrap_or(false),
        tick: duration_or_zero(info.tick_ns),
    })
}

/// Update of the membership.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Announce {
    mode: String,
    #[serde(rename = "Ref")]
    membership_number: Option<u64>,
}

/// Call that a caller asks for, see [`OfferedCall`].
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Query {
    call: Arc<str>,
    kind: usize,
    org: Option<usize>,
    route_key: Option<Arc<str>>,
    remaining_ns: u64,
    called_node: Option<f64>,
    units: Option<f64>,
    hop: Option<f64>,
    again_by_client: Option<bool>,
    in_transit: Option<bool>,
    reconnect: Option<bool>,
}

/// End of an attempt, or of the call that it established, see [`Outcome`].
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct ReportBack {
    call: Arc<str>,
    seq_no: u32,
    exchange: Arc<str>,
    status: String,
    time_taken_ns: u64,
    complete: bool,
    why: Option<u64>,
    gauge: Option<Vec<Option<f64>>>,
}

/// Answer to a probe, or a load report without a probe.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Sampled {
    exchange: Arc<str>,
    status: String,
    time_taken_ns: u64,
    gauge: Option<Vec<Option<f64>>>,
}

/// Call that was established.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Accepted {
    call: Arc<str>,
    time_taken_ns: u64,
    exchange: Arc<str>,
    seq_no: u32,
}

/// Returns the figures of a load report; a figure that is null becomes -1.
fn parse_load_report(values: Option<Vec<Option<f64>>>) -> Vec<f64> {
    values.unwrap_or_default().into_iter().map(|v| v.unwrap_or(-1.0)).collect()
}

fn parse_status(text: &str) -> Result<AttemptStatus, String> {
    Ok(match text {
        "S" => AttemptStatus::Ended,
        "E" => AttemptStatus::Error,
        "F" => AttemptStatus::Full,
        "T" => AttemptStatus::TimedOut,
        "C" => AttemptStatus::Unreachable,
        "R" => AttemptStatus::Reset,
        "X" => AttemptStatus::Cancelled,
        "N" => AttemptStatus::Moot,
        other => return Err(format!("unknown Status {other:?}")),
    })
}

/// Translates `Why`; a full processor is 3, plus 16 for each millisecond of the wait that it reports.
fn parse_cause(why: u64) -> Option<FailureCause> {
    let wait = (why >= 16).then(|| Duration::from_millis(why / 16));
    match why {
        1 => Some(FailureCause::NoCircuit),
        2 => Some(FailureCause::CrankedBack),
        18 => Some(FailureCause::DestinationFull),
        4 => Some(FailureCause::UserBusy),
        w if w % 16 == 3 => Some(FailureCause::ProcessorFull(wait)),
        _ => None,
    }
}

/// Returns the node with this number; a negative number means no node.
fn parse_node_number(number: Option<f64>) -> Option<NodeNumber> {
    number.filter(|n| *n >= 0.0 && *n <= f64::from(u32::MAX)).map(|n| NodeNumber(n as u32))
}

fn deserialize<T: serde::de::DeserializeOwned>(value: Value) -> Result<T, String> {
    serde_json::from_value(value).map_err(|e| e.to_string())
}

/// Translates an event for a controller. `memberships` holds the memberships given so far.
pub fn parse_event(
    op: &str,
    value: Value,
    memberships: &BTreeMap<u64, Arc<Vec<Member>>>,
) -> Result<Event, String> {
    Ok(match op {
        "Announce" => {
            let announcement: Announce = deserialize(value)?;
            let kind = match announcement.mode.as_str() {
                "diff" => UpdateKind::Changes,
                "snapshot" => UpdateKind::Full,
                "disk" => UpdateKind::Stored,
                "error" => UpdateKind::Failed,
                other => return Err(format!("unknown Mode {other:?}")),
            };
            let members = match (kind, announcement.membership_number.and_then(|n| memberships.get(&n))) {
                (UpdateKind::Failed, _) => Arc::default(),
                (_, Some(members)) => Arc::clone(members),
                (_, None) => {
                    return Err(format!(
                        "Announce refers to an unknown membership: Ref {:?}",
                        announcement.membership_number
                    ))
                }
            };
            Event::MembershipUpdate { kind, members }
        }
        "Query" => {
            let query: Query = deserialize(value)?;
            Event::CallOffered(OfferedCall {
                call: CallId(query.call),
                class: query.kind,
                tenant: query.org.unwrap_or(0),
                called_number: query.route_key.unwrap_or_default(),
                remaining: Duration::from_nanos(query.remaining_ns),
                destination: parse_node_number(query.called_node)
                    .ok_or("missing or invalid field `CalledNode`")?,
                circuits: query.units.filter(|u| *u >= 0.0).map(|u| u as u32),
                via: parse_node_number(query.hop),
                flagged_as_redial: query.again_by_client.unwrap_or(false),
                is_transit: query.in_transit.unwrap_or(false),
                is_reconnect: query.reconnect.unwrap_or(false),
            })
        }
        "ReportBack" => {
            let report_back: ReportBack = deserialize(value)?;
            Event::AttemptEnded(Outcome {
                call: CallId(report_back.call),
                attempt_number: report_back.seq_no,
                exchange: ExchangeId(report_back.exchange),
                status: parse_status(&report_back.status)?,
                elapsed: Duration::from_nanos(report_back.time_taken_ns),
                call_ended: report_back.complete,
                failure_cause: report_back.why.and_then(parse_cause),
                load_report: parse_load_report(report_back.gauge),
            })
        }
        "Sampled" => {
            let sample: Sampled = deserialize(value)?;
            Event::LoadReported {
                exchange: ExchangeId(sample.exchange),
                probe_answered: sample.status == "S",
                elapsed: Duration::from_nanos(sample.time_taken_ns),
                load_report: parse_load_report(sample.gauge),
            }
        }
        "Accepted" => {
            let accepted: Accepted = deserialize(value)?;
            Event::CallEstablished {
                call: CallId(accepted.call),
                attempt_number: accepted.seq_no,
                exchange: ExchangeId(accepted.exchange),
                elapsed: Duration::from_nanos(accepted.time_taken_ns),
            }
        }
        "Expired" => Event::CallAbandoned(CallId(string_field(&value, "Call")?.into())),
        "PeerData" => Event::PeerMessage {
            from: integer_field(&value, "By")?.try_into().map_err(|_| "field `By` is out of range")?,
            payload: string_field(&value, "Payload")?.to_owned(),
        },
        "Fired" => Event::TimerExpired(TimerToken(integer_field(&value, "Token")?)),
        other => return Err(format!("unsupported event {other:?}")),
    })
}

fn string_field<'a>(value: &'a Value, key: &str) -> Result<&'a str, String> {
    value.get(key).and_then(Value::as_str).ok_or_else(|| format!("missing or invalid field `{key}`"))
}

fn integer_field(value: &Value, key: &str) -> Result<u64, String> {
    value.get(key).and_then(Value::as_u64).ok_or_else(|| format!("missing or invalid field `{key}`"))
}

fn to_nanos(time: Duration) -> u64 {
    u64::try_from(time.as_nanos()).unwrap_or(u64::MAX)
}

/// Returns the order for an action of the instance `name`; `None` for an action that the simulator has no order
/// for.
pub fn encode_order(name: &str, action: Action) -> Option<Value> {
    let mut order = match action {
        Action::SendSetUp { call, exchange, give_up_at } => {
            json!({
                "op": "Transmit", "Call": *call.0, "Exchange": *exchange.0, "UntilNs": to_nanos(give_up_at)
            })
        }
        Action::Refuse { call, hold_off } => {
            json!({"op": "OverloadReply", "Call": *call.0, "CoolDownNs": hold_off.map(to_nanos)})
        }
        Action::Fail(call) => json!({"op": "Lose", "Call": *call.0}),
        Action::Cancel { call, attempt_number } => {
            json!({"op": "Retract", "Call": *call.0, "SeqNo": attempt_number})
        }
        Action::StartTimer { after, token } => {
            json!({"op": "Sleep", "InNs": to_nanos(after), "Token": token.0})
        }
        Action::CancelTimer(_) => return None,
        Action::Probe(exchange) => json!({"op": "Check", "Exchange": *exchange.0}),
        Action::Broadcast(payload) => json!({"op": "Share", "Dst": "*", "Payload": payload}),
        Action::Subscribe => json!({"op": "Track", "Enable": true}),
        Action::Log(line) => json!({"op": "Trace", "Line": line}),
    };
    order["SoftswitchId"] = Value::from(name);
    Some(order)
}
