//! The one place where configuration is read, checked and given defaults.

use std::collections::HashMap;
use std::fmt;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use tinyjson::JsonValue;

use crate::interface::*;
use crate::protocol::dns::Name;
use crate::protocol::vrrp;

/// What is wrong with a configuration, and at which key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigError {
    key: String,
    why: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "configuration: {}: {}", self.key, self.why)
    }
}

impl std::error::Error for ConfigError {}

type Read<T> = Result<T, ConfigError>;

/// A value and the path that leads to it.
struct Node<'a> {
    path: String,
    value: Option<&'a JsonValue>,
}

impl<'a> Node<'a> {
    fn wrong<T>(&self, why: &str) -> Read<T> {
        Err(ConfigError { key: self.path.clone(), why: why.to_owned() })
    }

    fn get(&self, key: &str) -> Node<'a> {
        let path = if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) };
        let fields = self.value.and_then(|v| v.get::<HashMap<String, JsonValue>>());
        let value = fields.and_then(|f| f.get(key)).filter(|v| !v.is_null());
        Node { path, value }
    }

    fn items(&self) -> Read<Vec<Node<'a>>> {
        let Some(value) = self.value else { return Ok(Vec::new()) };
        let Some(items) = value.get::<Vec<JsonValue>>() else { return self.wrong("must be a list") };
        let item = |(i, v): (usize, &'a JsonValue)| Node {
            path: format!("{}[{i}]", self.path),
            value: Some(v).filter(|v| !v.is_null()),
        };
        Ok(items.iter().enumerate().map(item).collect())
    }

    fn number_if(&self) -> Read<Option<f64>> {
        let Some(value) = self.value else { return Ok(None) };
        match value.get::<f64>() {
            Some(n) if n.is_finite() => Ok(Some(*n)),
            _ => self.wrong("must be a number"),
        }
    }

    fn number(&self, default: f64) -> Read<f64> {
        Ok(self.number_if()?.unwrap_or(default))
    }

    fn whole(&self, default: u64) -> Read<u64> {
        match self.number_if()? {
            None => Ok(default),
            Some(n) if n >= 0.0 && n.fract() == 0.0 => Ok(n as u64),
            Some(_) => self.wrong("must be a whole number, 0 or more"),
        }
    }

    fn small(&self, default: u32) -> Read<u32> {
        u32::try_from(self.whole(u64::from(default))?).or_else(|_| self.wrong("is too large"))
    }

    fn nanos(&self) -> Read<Duration> {
        Ok(Duration::from_nanos(self.whole(0)?))
    }

    fn flag(&self, default: bool) -> Read<bool> {
        match self.value.map(|v| v.get::<bool>()) {
            None => Ok(default),
            Some(Some(flag)) => Ok(*flag),
            Some(None) => self.wrong("must be true or false"),
        }
    }

    fn text_if(&self) -> Read<Option<&'a str>> {
        match self.value.map(|v| v.get::<String>()) {
            None => Ok(None),
            Some(Some(text)) => Ok(Some(text)),
            Some(None) => self.wrong("must be a text"),
        }
    }

    fn text(&self) -> Read<&'a str> {
        match self.text_if()? {
            Some(text) if !text.is_empty() => Ok(text),
            _ => self.wrong("is missing"),
        }
    }

    fn address(&self) -> Read<SocketAddr> {
        match self.text()?.parse() {
            Ok(address) => Ok(address),
            Err(_) => self.wrong("must be an address and a port, as 127.0.0.1:5060"),
        }
    }

    fn address_if(&self) -> Read<Option<SocketAddr>> {
        if self.value.is_none() {
            return Ok(None);
        }
        self.address().map(Some)
    }
}

/// One line of the list with the address that belongs to it.
#[derive(Debug, Clone)]
pub struct ListedExchange {
    /// What the decision module is told.
    pub entry: DirectoryEntry,
    /// Where the exchange listens.
    pub address: SocketAddr,
}

/// An event of the list.
#[derive(Debug, Clone)]
pub struct ListUpdate {
    /// The whole list, not changes only.
    pub is_full_list: bool,
    /// Its lines.
    pub exchanges: Vec<ListedExchange>,
}

/// The ENUM front, where an operator's file sets it up.
#[derive(Debug, Clone)]
pub struct EnumConfig {
    /// Where queries arrive; `None`: numbers are looked up for calls only.
    pub listen: Option<SocketAddr>,
    /// The zone that numbers stand under.
    pub zone: Name,
    /// Upstream DNS servers, the first choice first.
    pub upstreams: Vec<SocketAddr>,
    /// A query to an upstream is given up after this.
    pub query_timeout: Duration,
    /// A resolver gets its answer within this.
    pub answer_within: Duration,
    /// Share of a call's time that its look-up may take.
    pub look_up_share: f64,
    /// Look-ups in hand at most; the last quarter is kept for calls.
    pub max_look_ups: usize,
    /// Queries out to one upstream at most.
    pub window_per_upstream: usize,
    /// Hosts of SIP addresses, and the places that they stand for.
    pub routes: HashMap<String, NodeNumber>,
    /// What the front's decision module is told.
    pub settings: Settings,
}

/// The virtual router, where an operator's file sets it up.
#[derive(Debug, Clone)]
pub struct VrrpConfig {
    /// Where advertisements arrive.
    pub listen: SocketAddr,
    /// Where the other routers take them.
    pub peers: Vec<SocketAddr>,
    /// The virtual router.
    pub router: vrrp::Config,
}

/// Everything the program is told.
#[derive(Debug)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// File descriptors it may hold.
    pub max_sockets: usize,
    /// Where datagrams of other routers arrive.
    pub peer_listen: Option<SocketAddr>,
    /// Addresses of the routers, by their numbers.
    pub peers: Vec<SocketAddr>,
    /// Address for all routers at once.
    pub peers_all: Option<SocketAddr>,
    /// Where the coordinator listens.
    pub coordinator: Option<SocketAddr>,
    /// Number of the last event in `known`.
    pub last_known_event: u64,
    /// The events of the start.
    pub known_updates: Vec<ListUpdate>,
    /// What the decision module is told.
    pub settings: Settings,
    /// Names of the classes, by their number.
    pub class_names: Vec<String>,
    /// Names of the figures in a load report, by their place.
    pub gauge_names: Vec<String>,
    /// A connection must be up within this.
    pub connect_timeout: Duration,
    /// The ENUM front; off unless set up.
    pub enum_front: Option<EnumConfig>,
    /// The virtual router; off unless set up.
    pub vrrp: Option<VrrpConfig>,
    /// Commands are taken from the terminal.
    pub has_console: bool,
}

impl Config {
    /// Reads a configuration, as of `LB_CONFIG`.
    ///
    /// # Errors
    /// Names the key that is missing or makes no sense.
    pub fn parse(text: &str) -> Read<Self> {
        let top = |why: String| ConfigError { key: "file".to_owned(), why };
        let root: JsonValue = text.parse().map_err(|e: tinyjson::JsonParseError| top(e.to_string()))?;
        if root.get::<HashMap<String, JsonValue>>().is_none() {
            return Err(top("must be an object".to_owned()));
        }
        let root = Node { path: String::new(), value: Some(&root) };
        let settings = root.get("settings");
        let names = |list: Node<'_>, key: &str| -> Read<Vec<String>> {
            list.items()?
                .iter()
                .map(|n| n.get(key).text_if().map(|t| t.unwrap_or_default().to_owned()))
                .collect()
        };
        let plain = |list: Node<'_>| -> Read<Vec<String>> {
            list.items()?.iter().map(|n| n.text().map(str::to_owned)).collect()
        };
        let zones = plain(settings.get("Dcs"))?;
        let known = root.get("known");
        let seed = root.get("seed");
        let seed = match seed.text_if()? {
            None => 0,
            Some(hex) => u64::from_str_radix(hex, 16).or_else(|_| seed.wrong("must be 16 hex digits"))?,
        };
        let limit = settings.get("PolicyLimits").get("ConnectTimeoutNs").nanos()?;
        Ok(Self {
            name: root.get("name").text_if()?.unwrap_or("router").to_owned(),
            listen: root.get("listen").address()?,
            seed,
            max_sockets: root.get("limits").get("sockets").whole(1024)? as usize,
            peer_listen: root.get("peer_listen").address_if()?,
            peers: root.get("peers").items()?.iter().map(Node::address).collect::<Read<_>>()?,
            peers_all: root.get("peers_all").address_if()?,
            coordinator: root.get("coordinator").address_if()?,
            last_known_event: known.get("index").whole(0)?,
            known_updates: known
                .get("updates")
                .items()?
                .iter()
                .map(|u| update(u, &zones))
                .collect::<Read<_>>()?,
            class_names: names(settings.get("Classes"), "Name")?,
            gauge_names: plain(settings.get("Stats").get("Names"))?,
            connect_timeout: if limit.is_zero() { Duration::from_millis(500) } else { limit },
            settings: read_settings(&settings)?,
            enum_front: read_enum(&root.get("enum"))?,
            vrrp: virtual_router(&root.get("vrrp"))?,
            has_console: root.get("console").flag(false)?,
        })
    }
}

impl Config {
    /// Keys that differ in `new` and that a running program can't take up.
    pub fn changes_needing_restart(&self, new: &Self) -> Vec<&'static str> {
        let front = |c: &Self| c.enum_front.as_ref().map(|e| (e.listen, format!("{:?}", e.settings)));
        let group = |c: &Self| c.vrrp.as_ref().map(|v| (v.listen, v.router.vrid, v.router.addresses.clone()));
        let names = |c: &Self| (c.class_names.clone(), c.gauge_names.clone(), format!("{:?}", c.settings));
        let changed = [
            ("name", self.name != new.name),
            ("listen", self.listen != new.listen),
            ("peer_listen", self.peer_listen != new.peer_listen),
            ("settings", names(self) != names(new)),
            ("console", self.has_console != new.has_console),
            ("enum.listen/query_timeout_ms/guard_ms/attempts", front(self) != front(new)),
            ("vrrp.listen/vrid/addresses", group(self) != group(new)),
        ];
        changed.into_iter().filter(|(_, differs)| *differs).map(|(key, _)| key).collect()
    }
}

fn millis(node: &Node<'_>, default: u64) -> Read<Duration> {
    match node.whole(default)? {
        0 => node.wrong("must be more than 0"),
        ms => Ok(Duration::from_millis(ms)),
    }
}

/// A whole number within bounds.
fn bounded(node: &Node<'_>, default: u64, least: u64, most: u64) -> Read<u64> {
    let n = node.whole(default)?;
    if (least..=most).contains(&n) {
        return Ok(n);
    }
    node.wrong(&format!("must be from {least} to {most}"))
}

fn addresses(node: &Node<'_>) -> Read<Vec<SocketAddr>> {
    let list: Vec<SocketAddr> = node.items()?.iter().map(Node::address).collect::<Read<_>>()?;
    if list.is_empty() {
        return node.wrong("must name an address");
    }
    Ok(list)
}

fn read_enum(root: &Node<'_>) -> Read<Option<EnumConfig>> {
    if root.value.is_none() {
        return Ok(None);
    }
    let zone = root.get("zone");
    let Some(name) = Name::parse(zone.text_if()?.unwrap_or("e164.arpa")) else {
        return zone.wrong("must be a domain name");
    };
    let share = root.get("share");
    let part = share.number(0.5)?;
    if !(part > 0.0 && part < 1.0) {
        return share.wrong("must lie between 0 and 1");
    }
    let routes = root.get("routes");
    let mut hosts = HashMap::new();
    for host in
        routes.value.and_then(|v| v.get::<HashMap<String, JsonValue>>()).into_iter().flat_map(|m| m.keys())
    {
        // A host holds dots, so its path can't be walked with `get`.
        let fields = routes.value.and_then(|v| v.get::<HashMap<String, JsonValue>>());
        let place = Node { path: format!("enum.routes.{host}"), value: fields.and_then(|f| f.get(host)) };
        hosts.insert(host.to_ascii_lowercase(), NodeNumber(place.small(0)?));
    }
    let upstreams = addresses(&root.get("upstreams"))?;
    let window = bounded(&root.get("window"), 64, 1, 256)?;
    let answer_within = millis(&root.get("answer_within_ms"), 4000)?;
    let guard = millis(&root.get("guard_ms"), 500)?;
    let query_timeout = millis(&root.get("query_timeout_ms"), 1500)?;
    let attempts = bounded(&root.get("attempts"), 4, 1, 16)?;
    Ok(Some(EnumConfig {
        listen: root.get("listen").address_if()?,
        zone: name,
        query_timeout,
        answer_within,
        look_up_share: part,
        max_look_ups: bounded(&root.get("most_look_ups"), 512, 8, 65_536)? as usize,
        window_per_upstream: window as usize,
        routes: hosts,
        settings: pools(query_timeout, guard, attempts as u32),
        upstreams,
    }))
}

/// The module takes what stands within a fifth of its aim for a sign of ease.
const EASY_PARTS: u32 = 5;

/// Settings of a module whose exchanges are DNS servers: pools that every look-up may go to. Look-ups for
/// calls are worth more than resolvers' queries, so they go first.
///
/// Any reply that comes before the time-out is as good as another, hence the aim: with the caller's time
/// for one, a server that is slow and well was held to be pressed, and few look-ups were sent.
fn pools(query_timeout: Duration, guard: Duration, max_attempts: u32) -> Settings {
    let aim = EASY_PARTS * query_timeout;
    let class = |worth| Class {
        target_delay: aim,
        deadline: aim,
        value: worth,
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
        guard_time: guard,
        resend_interval: Duration::ZERO,
        rules: RuleSettings::default(),
        limits: PolicyLimits { max_attempts, ..PolicyLimits::default() },
        gauges: vec![Gauge::FreeCircuits, Gauge::TotalCircuits],
        penalties: Penalties::default(),
        directory_polled: false,
        redials_flagged: true,
        has_route_advice: false,
        tick: Duration::from_millis(5),
    }
}

fn virtual_router(root: &Node<'_>) -> Read<Option<VrrpConfig>> {
    if root.value.is_none() {
        return Ok(None);
    }
    let list = root.get("addresses");
    let address = |n: &Node<'_>| match n.text()?.parse::<Ipv4Addr>() {
        Ok(address) => Ok(address),
        Err(_) => n.wrong("must be an IPv4 address"),
    };
    let addresses_backed: Vec<Ipv4Addr> = list.items()?.iter().map(address).collect::<Read<_>>()?;
    if !(1..=255).contains(&addresses_backed.len()) {
        return list.wrong("must name 1 to 255 addresses");
    }
    Ok(Some(VrrpConfig {
        listen: root.get("listen").address()?,
        peers: addresses(&root.get("peers"))?,
        router: vrrp::Config {
            vrid: bounded(&root.get("vrid"), 1, 1, 255)? as u8,
            priority: bounded(&root.get("priority"), 100, 1, 255)? as u8,
            interval_cs: bounded(&root.get("interval_cs"), 100, 1, 4095)? as u16,
            preempt: root.get("preempt").flag(true)?,
            addresses: addresses_backed,
        },
    }))
}

fn update(event: &Node<'_>, zones: &[String]) -> Read<ListUpdate> {
    let list = event.get("endpoints");
    let exchanges = list.get("hosts").items()?.iter().map(|l| listed(l, zones)).collect::<Read<_>>()?;
    Ok(ListUpdate { is_full_list: list.get("whole").flag(false)?, exchanges })
}

fn listed(line: &Node<'_>, zones: &[String]) -> Read<ListedExchange> {
    let zone = line.get("site").text_if()?;
    let state = line.get("health");
    let health = match state.text()? {
        "active" => Health::Live,
        "leaving" => Health::Draining,
        "left" => Health::Gone,
        _ => return state.wrong("must be active, leaving or left"),
    };
    let entry = DirectoryEntry {
        exchange: ExchangeId(line.get("host").text()?.into()),
        node: NodeNumber(line.get("block").small(0)?),
        zone: zone.and_then(|z| zones.iter().position(|n| n == z)).unwrap_or(0) as u32,
        health,
        up_since: Some(line.get("born_ms").whole(0)?).filter(|ms| *ms > 0).map(Duration::from_millis),
    };
    Ok(ListedExchange { entry, address: line.get("dial").address()? })
}

/// The decision module's settings, as the simulator's first message names them.
fn read_settings(root: &Node<'_>) -> Read<Settings> {
    let (domain, contract, limits) = (root.get("Domain"), root.get("Contract"), root.get("PolicyLimits"));
    let prices = root.get("Penalties");
    let own = domain.get("OwnNumber").number_if()?.filter(|n| *n >= 0.0).map(|n| NodeNumber(n as u32));
    let shape = domain.get("Topology");
    let topology = match (shape.text_if()?, own) {
        (Some("groups"), _) | (None, None) => Topology::Pools,
        (Some("meshed") | None, Some(own)) => Topology::Meshed(own),
        (Some("meshed"), None) => return domain.get("OwnNumber").wrong("is missing"),
        (Some(_), _) => return shape.wrong("must be meshed or groups"),
    };
    let classes = root.get("Classes").items()?;
    if classes.is_empty() {
        return root.get("Classes").wrong("must name a class");
    }
    let widths = domain.get("ChannelsNeeded").items()?;
    let holds = domain.get("ClassHoldNs").items()?;
    let pools = domain.get("SkilledPools").items()?;
    let classes = classes.iter().enumerate().map(|(i, class)| {
        Ok(Class {
            target_delay: class.get("AimNs").nanos()?,
            deadline: class.get("DeadlineNs").nanos()?,
            value: class.get("Worth").number(0.0)?,
            late_value_share: class.get("LateShare").number(0.0)?,
            idempotency: effect(class)?,
            circuits: widths.get(i).map_or(Ok(1), |w| w.small(1))?,
            mean_holding_time: holds.get(i).map_or(Ok(Duration::ZERO), Node::nanos)?,
            pools: match pools.get(i) {
                None => Vec::new(),
                Some(list) => {
                    list.items()?.iter().map(|p| p.small(0).map(NodeNumber)).collect::<Read<_>>()?
                }
            },
        })
    });
    let tenants = root.get("Orgs").items()?;
    let tenant = |t: &Node<'_>| Ok(Tenant { quota_per_s: t.get("QuotaPerS").number(0.0)? });
    Ok(Settings {
        classes: classes.collect::<Read<_>>()?,
        tenants: tenants.iter().map(tenant).collect::<Read<_>>()?,
        over_quota_value_share: root.get("OverShareWorth").number(0.0)?,
        fleet_size: root.get("FleetSize").small(1)?,
        controller_number: root.get("Me").small(0)?,
        topology,
        guard_time: domain.get("GuardNs").nanos()?,
        resend_interval: domain.get("ResendNs").nanos()?,
        rules: RuleSettings {
            drain_grace: contract.get("DrainGraceNs").nanos()?,
            cold_capacity_share: contract.get("ColdFrom").number(0.0)?,
            warm_up_time: contract.get("ColdNs").nanos()?,
            overload_multiple: contract.get("FallMultiple").number(0.0)?,
            overload_window: contract.get("FallNs").nanos()?,
            max_poll_interval: contract.get("AskWithinNs").nanos()?,
        },
        limits: PolicyLimits {
            max_attempts: limits.get("MaxAttempts").small(1)?,
            cancel_allowed: limits.get("Cancelling").flag(false)?,
            probes_allowed: limits.get("Probes").flag(false)?,
            peer_messages_allowed: limits.get("Peers").flag(false)?,
            retry_after_allowed: limits.get("RetryAfter").flag(false)?,
            max_retry_after: limits.get("MaxRetryAfterNs").nanos()?,
        },
        gauges: gauges(&root.get("Stats").get("Names"))?,
        penalties: Penalties {
            late_failure: prices.get("LateFail").number(0.0)?,
            wasted_work: prices.get("Waste").number(0.0)?,
            probe: prices.get("Probe").number(0.0)?,
            peer_message: prices.get("Peer").number(0.0)?,
        },
        directory_polled: root.get("RegistryMode").text_if()? == Some("ask"),
        redials_flagged: root.get("Clients").get("MarksRetry").flag(false)?,
        has_route_advice: domain.get("Advice").flag(false)?,
        tick: root.get("TickNs").nanos()?,
    })
}

fn effect(class: &Node<'_>) -> Read<Idempotency> {
    Ok(match class.get("Effect").text_if()? {
        None | Some("safe") => Idempotency::Safe,
        Some("unsafe") => Idempotency::Unsafe,
        Some("keyed") => {
            let scope = match class.get("DedupScope").text_if()? {
                Some("all") => DedupScope::All,
                Some("zone") => DedupScope::Zone,
                _ => DedupScope::Node,
            };
            Idempotency::Keyed(scope, class.get("WindowNs").nanos()?)
        }
        Some(_) => return class.get("Effect").wrong("must be safe, keyed or unsafe"),
    })
}

fn gauges(names: &Node<'_>) -> Read<Vec<Gauge>> {
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
