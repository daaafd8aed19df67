//! Reads and validates the configuration file and supplies defaults. No other module reads configuration.

use std::collections::HashMap;
use std::fmt;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use tinyjson::JsonValue;

use super::membership::{ListedExchange, MembershipUpdate};
use crate::interface::*;
use crate::protocol::dns::Name;
use crate::protocol::vrrp;

/// Error in a configuration, with the key at which it was found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigError {
    key: String,
    reason: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "configuration: {}: {}", self.key, self.reason)
    }
}

impl std::error::Error for ConfigError {}

/// Connect time-out if the configuration gives none or zero.
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Memory limit in megabytes if the configuration gives none.
const DEFAULT_MEMORY_MB: f64 = 192.0;
/// Size of a megabyte. The decimal one is the smaller, so that the limit is kept in either reading.
const BYTES_PER_MEGABYTE: f64 = 1e6;

type ConfigResult<T> = Result<T, ConfigError>;

/// A value of the configuration and its path, such as `enum.listen`.
struct ConfigNode<'a> {
    path: String,
    value: Option<&'a JsonValue>,
}

impl<'a> ConfigNode<'a> {
    /// Returns an error for this value.
    fn invalid<T>(&self, reason: &str) -> ConfigResult<T> {
        Err(ConfigError { key: self.path.clone(), reason: reason.to_owned() })
    }

    /// Returns the value of a key. A key that is missing or null yields a node without a value.
    fn get(&self, key: &str) -> ConfigNode<'a> {
        let path = if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) };
        let fields = self.value.and_then(|v| v.get::<HashMap<String, JsonValue>>());
        let value = fields.and_then(|f| f.get(key)).filter(|v| !v.is_null());
        ConfigNode { path, value }
    }

    /// Returns the items of a list; none if the value is missing.
    fn items(&self) -> ConfigResult<Vec<ConfigNode<'a>>> {
        let Some(value) = self.value else { return Ok(Vec::new()) };
        let Some(items) = value.get::<Vec<JsonValue>>() else { return self.invalid("must be a list") };
        let item = |(i, v): (usize, &'a JsonValue)| ConfigNode {
            path: format!("{}[{i}]", self.path),
            value: Some(v).filter(|v| !v.is_null()),
        };
        Ok(items.iter().enumerate().map(item).collect())
    }

    fn optional_number(&self) -> ConfigResult<Option<f64>> {
        let Some(value) = self.value else { return Ok(None) };
        match value.get::<f64>() {
            Some(n) if n.is_finite() => Ok(Some(*n)),
            _ => self.invalid("must be a number"),
        }
    }

    /// Returns the number, or `default` if the value is missing.
    fn number(&self, default: f64) -> ConfigResult<f64> {
        Ok(self.optional_number()?.unwrap_or(default))
    }

    /// Returns the whole number, or `default` if the value is missing.
    fn whole_number(&self, default: u64) -> ConfigResult<u64> {
        match self.optional_number()? {
            None => Ok(default),
            Some(n) if n >= 0.0 && n.fract() == 0.0 => Ok(n as u64),
            Some(_) => self.invalid("must be a whole number, 0 or more"),
        }
    }

    /// Returns the whole number as `u32`, or `default` if the value is missing.
    fn whole_u32(&self, default: u32) -> ConfigResult<u32> {
        u32::try_from(self.whole_number(u64::from(default))?).or_else(|_| self.invalid("is too large"))
    }

    /// Returns the duration given in nanoseconds, or zero if the value is missing.
    fn duration_ns(&self) -> ConfigResult<Duration> {
        Ok(Duration::from_nanos(self.whole_number(0)?))
    }

    /// Returns the boolean, or `default` if the value is missing.
    fn boolean(&self, default: bool) -> ConfigResult<bool> {
        match self.value.map(|v| v.get::<bool>()) {
            None => Ok(default),
            Some(Some(flag)) => Ok(*flag),
            Some(None) => self.invalid("must be true or false"),
        }
    }

    fn optional_text(&self) -> ConfigResult<Option<&'a str>> {
        match self.value.map(|v| v.get::<String>()) {
            None => Ok(None),
            Some(Some(text)) => Ok(Some(text)),
            Some(None) => self.invalid("must be a string"),
        }
    }

    /// Returns the text, which must be present and not empty.
    fn text(&self) -> ConfigResult<&'a str> {
        match self.optional_text()? {
            Some(text) if !text.is_empty() => Ok(text),
            _ => self.invalid("is missing"),
        }
    }

    fn address(&self) -> ConfigResult<SocketAddr> {
        match self.text()?.parse() {
            Ok(address) => Ok(address),
            Err(_) => self.invalid("must be an address and a port, such as 127.0.0.1:5060"),
        }
    }

    fn optional_address(&self) -> ConfigResult<Option<SocketAddr>> {
        if self.value.is_none() {
            return Ok(None);
        }
        self.address().map(Some)
    }
}

/// Configuration of the ENUM front end (key `enum`).
#[derive(Debug, Clone)]
pub struct EnumConfig {
    /// Address on which resolvers' queries are received; `None` if numbers are looked up for calls only.
    pub listen: Option<SocketAddr>,
    /// Zone of the numbers.
    pub zone: Name,
    /// Upstream DNS servers, in order of preference.
    pub upstreams: Vec<SocketAddr>,
    /// Time after which a query to an upstream server is given up.
    pub query_timeout: Duration,
    /// Time within which a resolver is answered.
    pub answer_within: Duration,
    /// Share of a call's remaining time that its look-up may take, between 0 and 1.
    pub look_up_share: f64,
    /// Maximum number of pending look-ups; the last quarter is reserved for calls.
    pub max_look_ups: usize,
    /// Maximum number of pending queries to one upstream server.
    pub window_per_upstream: usize,
    /// Node that serves each host of a SIP URI; hosts are in lower case.
    pub routes: HashMap<String, NodeNumber>,
    /// Settings of the front end's own controller.
    pub settings: Settings,
}

/// Configuration of the virtual router (key `vrrp`).
#[derive(Debug, Clone)]
pub struct VrrpConfig {
    /// Address on which advertisements are received.
    pub listen: SocketAddr,
    /// Addresses of the other routers, to which advertisements are sent.
    pub peers: Vec<SocketAddr>,
    /// Parameters of the protocol.
    pub router: vrrp::Config,
}

/// The configuration of the program.
#[derive(Debug)]
pub struct Config {
    /// Name of this router.
    pub name: String,
    /// Address on which clients connect.
    pub listen: SocketAddr,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Maximum number of open file descriptors.
    pub max_sockets: usize,
    /// Memory in bytes beyond which the process may be killed.
    pub memory_limit: usize,
    /// Address on which datagrams of other routers are received.
    pub peer_listen: Option<SocketAddr>,
    /// Addresses of all routers, indexed by router number.
    pub peers: Vec<SocketAddr>,
    /// Address that reaches all routers at once.
    pub peers_all: Option<SocketAddr>,
    /// Address of the coordinator.
    pub coordinator: Option<SocketAddr>,
    /// Number of the last event contained in `known_updates`.
    pub last_known_event: u64,
    /// Updates of the membership that are known at the start.
    pub known_updates: Vec<MembershipUpdate>,
    /// Settings of the controller.
    pub settings: Settings,
    /// Names of the classes, indexed by class number.
    pub class_names: Vec<String>,
    /// Names of the figures in a load report, in the order of the report.
    pub gauge_names: Vec<String>,
    /// Time within which a connection must be established.
    pub connect_timeout: Duration,
    /// ENUM front end; `None` if it is not configured.
    pub enum_front_end: Option<EnumConfig>,
    /// Virtual router; `None` if it is not configured.
    pub vrrp: Option<VrrpConfig>,
    /// Whether commands are read from standard input.
    pub has_console: bool,
}

impl Config {
    /// Parses the text of a configuration file.
    ///
    /// # Errors
    /// Names the key that is missing or has an invalid value.
    pub fn parse(text: &str) -> ConfigResult<Self> {
        let file_error = |reason: String| ConfigError { key: "file".to_owned(), reason };
        let root: JsonValue =
            text.parse().map_err(|e: tinyjson::JsonParseError| file_error(e.to_string()))?;
        if root.get::<HashMap<String, JsonValue>>().is_none() {
            return Err(file_error("must be an object".to_owned()));
        }
        let root = ConfigNode { path: String::new(), value: Some(&root) };
        let settings = root.get("settings");
        let names_at = |list: ConfigNode<'_>, key: &str| -> ConfigResult<Vec<String>> {
            list.items()?
                .iter()
                .map(|n| n.get(key).optional_text().map(|t| t.unwrap_or_default().to_owned()))
                .collect()
        };
        let texts = |list: ConfigNode<'_>| -> ConfigResult<Vec<String>> {
            list.items()?.iter().map(|n| n.text().map(str::to_owned)).collect()
        };
        let zones = texts(settings.get("Dcs"))?;
        let known = root.get("known");
        let seed = root.get("seed");
        let seed = match seed.optional_text()? {
            None => 0,
            Some(hex) => u64::from_str_radix(hex, 16).or_else(|_| seed.invalid("must be 16 hex digits"))?,
        };
        let connect_timeout = settings.get("PolicyLimits").get("ConnectTimeoutNs").duration_ns()?;
        Ok(Self {
            name: root.get("name").optional_text()?.unwrap_or("router").to_owned(),
            listen: root.get("listen").address()?,
            seed,
            max_sockets: root.get("limits").get("sockets").whole_number(1024)? as usize,
            memory_limit: read_memory_limit(&root.get("limits").get("memory_mb"))?,
            peer_listen: root.get("peer_listen").optional_address()?,
            peers: root.get("peers").items()?.iter().map(ConfigNode::address).collect::<ConfigResult<_>>()?,
            peers_all: root.get("peers_all").optional_address()?,
            coordinator: root.get("coordinator").optional_address()?,
            last_known_event: known.get("index").whole_number(0)?,
            known_updates: known
                .get("updates")
                .items()?
                .iter()
                .map(|u| read_update(u, &zones))
                .collect::<ConfigResult<_>>()?,
            class_names: names_at(settings.get("Classes"), "Name")?,
            gauge_names: texts(settings.get("Stats").get("Names"))?,
            connect_timeout: if connect_timeout.is_zero() {
                DEFAULT_CONNECT_TIMEOUT
            } else {
                connect_timeout
            },
            settings: read_settings(&settings)?,
            enum_front_end: read_enum(&root.get("enum"))?,
            vrrp: read_vrrp(&root.get("vrrp"))?,
            has_console: root.get("console").boolean(false)?,
        })
    }
}

impl Config {
    /// Returns the keys that differ in `new` and take effect only after a restart.
    pub fn changes_needing_restart(&self, new: &Self) -> Vec<&'static str> {
        let enum_front_end =
            |c: &Self| c.enum_front_end.as_ref().map(|e| (e.listen, format!("{:?}", e.settings)));
        let virtual_router =
            |c: &Self| c.vrrp.as_ref().map(|v| (v.listen, v.router.vrid, v.router.addresses.clone()));
        let settings = |c: &Self| (c.class_names.clone(), c.gauge_names.clone(), format!("{:?}", c.settings));
        let changed = [
            ("name", self.name != new.name),
            ("listen", self.listen != new.listen),
            ("peer_listen", self.peer_listen != new.peer_listen),
            ("settings", settings(self) != settings(new)),
            ("console", self.has_console != new.has_console),
            ("limits.memory_mb", self.memory_limit != new.memory_limit),
            ("enum.listen/query_timeout_ms/guard_ms/attempts", enum_front_end(self) != enum_front_end(new)),
            ("vrrp.listen/vrid/addresses", virtual_router(self) != virtual_router(new)),
        ];
        changed.into_iter().filter(|(_, differs)| *differs).map(|(key, _)| key).collect()
    }
}

/// Reads a memory limit in megabytes, which need not be a whole number. Returns it in bytes.
fn read_memory_limit(node: &ConfigNode<'_>) -> ConfigResult<usize> {
    let megabytes = node.number(DEFAULT_MEMORY_MB)?;
    if megabytes <= 0.0 {
        return node.invalid("must be more than 0");
    }
    Ok((megabytes * BYTES_PER_MEGABYTE) as usize)
}

/// Reads a duration in milliseconds, which must not be zero.
fn read_millis(node: &ConfigNode<'_>, default: u64) -> ConfigResult<Duration> {
    match node.whole_number(default)? {
        0 => node.invalid("must be more than 0"),
        ms => Ok(Duration::from_millis(ms)),
    }
}

/// Reads a whole number from `min` to `max`.
fn read_bounded(node: &ConfigNode<'_>, default: u64, min: u64, max: u64) -> ConfigResult<u64> {
    let n = node.whole_number(default)?;
    if (min..=max).contains(&n) {
        return Ok(n);
    }
    node.invalid(&format!("must be from {min} to {max}"))
}

/// Reads a list of addresses, which must not be empty.
fn read_addresses(node: &ConfigNode<'_>) -> ConfigResult<Vec<SocketAddr>> {
    let list: Vec<SocketAddr> = node.items()?.iter().map(ConfigNode::address).collect::<ConfigResult<_>>()?;
    if list.is_empty() {
        return node.invalid("must name an address");
    }
    Ok(list)
}

fn read_enum(root: &ConfigNode<'_>) -> ConfigResult<Option<EnumConfig>> {
    if root.value.is_none() {
        return Ok(None);
    }
    let zone = root.get("zone");
    let Some(name) = Name::parse(zone.optional_text()?.unwrap_or("e164.arpa")) else {
        return zone.invalid("must be a domain name");
    };
    let share = root.get("share");
    let look_up_share = share.number(0.5)?;
    if !(look_up_share > 0.0 && look_up_share < 1.0) {
        return share.invalid("must be between 0 and 1");
    }
    let routes = root.get("routes");
    let mut node_by_host = HashMap::new();
    for host in
        routes.value.and_then(|v| v.get::<HashMap<String, JsonValue>>()).into_iter().flat_map(|m| m.keys())
    {
        // Built without `get`: a host name contains dots, but is a single key.
        let fields = routes.value.and_then(|v| v.get::<HashMap<String, JsonValue>>());
        let node =
            ConfigNode { path: format!("enum.routes.{host}"), value: fields.and_then(|f| f.get(host)) };
        node_by_host.insert(host.to_ascii_lowercase(), NodeNumber(node.whole_u32(0)?));
    }
    let upstreams = read_addresses(&root.get("upstreams"))?;
    let window = read_bounded(&root.get("window"), 64, 1, 256)?;
    let answer_within = read_millis(&root.get("answer_within_ms"), 4000)?;
    let guard_time = read_millis(&root.get("guard_ms"), 500)?;
    let query_timeout = read_millis(&root.get("query_timeout_ms"), 1500)?;
    let attempts = read_bounded(&root.get("attempts"), 4, 1, 16)?;
    Ok(Some(EnumConfig {
        listen: root.get("listen").optional_address()?,
        zone: name,
        query_timeout,
        answer_within,
        look_up_share,
        max_look_ups: read_bounded(&root.get("most_look_ups"), 512, 8, 65_536)? as usize,
        window_per_upstream: window as usize,
        routes: node_by_host,
        settings: upstream_settings(query_timeout, guard_time, attempts as u32),
        upstreams,
    }))
}

/// Latency objective as a multiple of the query time-out. The controller takes an answer within a fifth of
/// the latency objective for a sign of spare capacity; with this multiple, every reply before the time-out is
/// one.
const LATENCY_OBJECTIVE_TIMEOUTS: u32 = 5;

/// Returns the settings of a controller whose exchanges are DNS servers, that is, pools open to every
/// look-up. Look-ups for calls have a higher value than resolvers' queries, so they take precedence.
///
/// The latency objective derives from the query time-out, because every reply that arrives before the
/// time-out is equally good. With the caller's remaining time as latency objective, a slow but healthy server
/// was taken for overloaded, and few look-ups were sent to it.
fn upstream_settings(query_timeout: Duration, guard_time: Duration, max_attempts: u32) -> Settings {
    let latency_objective = LATENCY_OBJECTIVE_TIMEOUTS * query_timeout;
    let class = |value| Class {
        latency_objective,
        deadline: latency_objective,
        value,
        late_value_share: 0.5,
        idempotency: Idempotency::Safe,
        circuits: 1,
        mean_holding_time: Duration::ZERO,
        pools: Vec::new(),
    };
    Settings {
        classes: vec![class(1.0), class(10.0)],
        tenants: Vec::new(),
        over_quota_value_share: 0.0,
        fleet_size: 1,
        controller_number: 0,
        topology: Topology::Pools,
        guard_time,
        resend_interval: Duration::ZERO,
        rules: RuleSettings::default(),
        limits: PolicyLimits { max_attempts, ..PolicyLimits::default() },
        gauges: vec![Gauge::FreeCircuits, Gauge::TotalCircuits],
        penalties: Penalties::default(),
        membership_polled: false,
        redials_flagged: true,
        has_route_advice: false,
        tick: Duration::from_millis(5),
    }
}

fn read_vrrp(root: &ConfigNode<'_>) -> ConfigResult<Option<VrrpConfig>> {
    if root.value.is_none() {
        return Ok(None);
    }
    let list = root.get("addresses");
    let address = |n: &ConfigNode<'_>| match n.text()?.parse::<Ipv4Addr>() {
        Ok(address) => Ok(address),
        Err(_) => n.invalid("must be an IPv4 address"),
    };
    let virtual_addresses: Vec<Ipv4Addr> = list.items()?.iter().map(address).collect::<ConfigResult<_>>()?;
    if !(1..=255).contains(&virtual_addresses.len()) {
        return list.invalid("must name 1 to 255 addresses");
    }
    Ok(Some(VrrpConfig {
        listen: root.get("listen").address()?,
        peers: read_addresses(&root.get("peers"))?,
        router: vrrp::Config {
            vrid: read_bounded(&root.get("vrid"), 1, 1, 255)? as u8,
            priority: read_bounded(&root.get("priority"), 100, 1, 255)? as u8,
            interval_cs: read_bounded(&root.get("interval_cs"), 100, 1, 4095)? as u16,
            preempt: root.get("preempt").boolean(true)?,
            addresses: virtual_addresses,
        },
    }))
}

fn read_update(event: &ConfigNode<'_>, zones: &[String]) -> ConfigResult<MembershipUpdate> {
    let endpoints = event.get("endpoints");
    let exchanges = endpoints
        .get("hosts")
        .items()?
        .iter()
        .map(|h| read_exchange(h, zones))
        .collect::<ConfigResult<_>>()?;
    Ok(MembershipUpdate { is_full: endpoints.get("whole").boolean(false)?, exchanges })
}

fn read_exchange(host: &ConfigNode<'_>, zones: &[String]) -> ConfigResult<ListedExchange> {
    let zone = host.get("site").optional_text()?;
    let state = host.get("health");
    let health = match state.text()? {
        "active" => Health::Live,
        "leaving" => Health::Draining,
        "left" => Health::Gone,
        _ => return state.invalid("must be active, leaving or left"),
    };
    let member = Member {
        exchange: ExchangeId(host.get("host").text()?.into()),
        node: NodeNumber(host.get("block").whole_u32(0)?),
        zone: zone.and_then(|z| zones.iter().position(|n| n == z)).unwrap_or(0) as u32,
        health,
        up_since: Some(host.get("born_ms").whole_number(0)?).filter(|ms| *ms > 0).map(Duration::from_millis),
    };
    Ok(ListedExchange { member, address: host.get("dial").address()? })
}

/// Reads the settings of the controller. The keys are those of `Info` in the adapter's `Boot` event.
fn read_settings(root: &ConfigNode<'_>) -> ConfigResult<Settings> {
    let (domain, contract, limits) = (root.get("Domain"), root.get("Contract"), root.get("PolicyLimits"));
    let penalties = root.get("Penalties");
    let own_node =
        domain.get("OwnNumber").optional_number()?.filter(|n| *n >= 0.0).map(|n| NodeNumber(n as u32));
    let topology_node = domain.get("Topology");
    let topology = match (topology_node.optional_text()?, own_node) {
        (Some("groups"), _) | (None, None) => Topology::Pools,
        (Some("meshed") | None, Some(own)) => Topology::Meshed(own),
        (Some("meshed"), None) => return domain.get("OwnNumber").invalid("is missing"),
        (Some(_), _) => return topology_node.invalid("must be meshed or groups"),
    };
    let classes = root.get("Classes").items()?;
    if classes.is_empty() {
        return root.get("Classes").invalid("must name a class");
    }
    let circuits = domain.get("ChannelsNeeded").items()?;
    let holding_times = domain.get("ClassHoldNs").items()?;
    let pools = domain.get("SkilledPools").items()?;
    let classes = classes.iter().enumerate().map(|(i, class)| {
        Ok(Class {
            latency_objective: class.get("AimNs").duration_ns()?,
            deadline: class.get("DeadlineNs").duration_ns()?,
            value: class.get("Worth").number(0.0)?,
            late_value_share: class.get("LateShare").number(0.0)?,
            idempotency: read_idempotency(class)?,
            circuits: circuits.get(i).map_or(Ok(1), |w| w.whole_u32(1))?,
            mean_holding_time: holding_times.get(i).map_or(Ok(Duration::ZERO), ConfigNode::duration_ns)?,
            pools: match pools.get(i) {
                None => Vec::new(),
                Some(list) => list
                    .items()?
                    .iter()
                    .map(|p| p.whole_u32(0).map(NodeNumber))
                    .collect::<ConfigResult<_>>()?,
            },
        })
    });
    let tenants = root.get("Orgs").items()?;
    let tenant = |t: &ConfigNode<'_>| Ok(Tenant { quota_per_s: t.get("QuotaPerS").number(0.0)? });
    Ok(Settings {
        classes: classes.collect::<ConfigResult<_>>()?,
        tenants: tenants.iter().map(tenant).collect::<ConfigResult<_>>()?,
        over_quota_value_share: root.get("OverShareWorth").number(0.0)?,
        fleet_size: root.get("FleetSize").whole_u32(1)?,
        controller_number: root.get("Me").whole_u32(0)?,
        topology,
        guard_time: domain.get("GuardNs").duration_ns()?,
        resend_interval: domain.get("ResendNs").duration_ns()?,
        rules: RuleSettings {
            drain_grace: contract.get("DrainGraceNs").duration_ns()?,
            cold_capacity_share: contract.get("ColdFrom").number(0.0)?,
            warm_up_time: contract.get("ColdNs").duration_ns()?,
            overload_multiple: contract.get("FallMultiple").number(0.0)?,
            overload_window: contract.get("FallNs").duration_ns()?,
            max_poll_interval: contract.get("AskWithinNs").duration_ns()?,
        },
        limits: PolicyLimits {
            max_attempts: limits.get("MaxAttempts").whole_u32(1)?,
            cancel_allowed: limits.get("Cancelling").boolean(false)?,
            probes_allowed: limits.get("Probes").boolean(false)?,
            peer_messages_allowed: limits.get("Peers").boolean(false)?,
            hold_off_allowed: limits.get("RetryAfter").boolean(false)?,
            max_hold_off: limits.get("MaxRetryAfterNs").duration_ns()?,
        },
        gauges: read_gauges(&root.get("Stats").get("Names"))?,
        penalties: Penalties {
            late_failure: penalties.get("LateFail").number(0.0)?,
            wasted_work: penalties.get("Waste").number(0.0)?,
            probe: penalties.get("Probe").number(0.0)?,
            peer_message: penalties.get("Peer").number(0.0)?,
        },
        membership_polled: root.get("RegistryMode").optional_text()? == Some("ask"),
        redials_flagged: root.get("Clients").get("MarksRetry").boolean(false)?,
        has_route_advice: domain.get("Advice").boolean(false)?,
        tick: root.get("TickNs").duration_ns()?,
    })
}

fn read_idempotency(class: &ConfigNode<'_>) -> ConfigResult<Idempotency> {
    Ok(match class.get("Effect").optional_text()? {
        None | Some("safe") => Idempotency::Safe,
        Some("unsafe") => Idempotency::Unsafe,
        Some("keyed") => {
            let scope = match class.get("DedupScope").optional_text()? {
                Some("all") => DedupScope::All,
                Some("zone") => DedupScope::Zone,
                _ => DedupScope::Node,
            };
            Idempotency::Keyed(scope, class.get("WindowNs").duration_ns()?)
        }
        Some(_) => return class.get("Effect").invalid("must be safe, keyed or unsafe"),
    })
}

fn read_gauges(names: &ConfigNode<'_>) -> ConfigResult<Vec<Gauge>> {
    let gauge = |name: &str| match name {
        "spare" | "x0" => Gauge::FreeCircuits,
        "total" | "x1" => Gauge::TotalCircuits,
        "rif" | "inflight" => Gauge::InFlight,
        "q" | "queue" => Gauge::Queued,
        "busy" | "util" => Gauge::Utilization,
        "lat_ms" | "latency_ms" => Gauge::LatencyMs,
        "allowed" | "qps" => Gauge::AllowedRate,
        "cut_by" | "eps" => Gauge::RequestedReduction,
        _ => Gauge::Unknown,
    };
    names.items()?.iter().map(|n| n.text().map(gauge)).collect()
}
