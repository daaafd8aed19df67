//! Settings, traffic and timeline of faults of one run, all drawn from its seed.

use std::net::SocketAddr;
use std::time::Duration;

use fastrand::Rng;

/// Settings of a call class that the rules depend on.
#[derive(Debug, Clone, Copy)]
pub struct ClassSettings {
    /// Name of the class.
    pub name: &'static str,
    /// Calls may be repeated or refused even after an attempt may have run.
    pub is_safe: bool,
    /// Longest time that a client waits for the final answer.
    pub deadline: Duration,
    /// A call that is established within this time earns its full value.
    pub latency_objective: Duration,
}

/// Settings that the rules depend on.
#[derive(Debug, Clone)]
pub struct RuleSettings {
    /// Call classes by index.
    pub classes: Vec<ClassSettings>,
    /// Shortest time from an attempt that was reset, timed out or cancelled to the next attempt.
    pub guard_time: Duration,
    /// Time after the router is informed of a drain during which it may still send set-ups.
    pub drain_grace: Duration,
    /// Refusals have to tell the client how long to wait (`X-Hold-Off`).
    pub hold_off_required: bool,
    /// Node number of the router's own exchange.
    pub own_node: u32,
}

/// Step of a timeline: a fault or a signal. A fault of one exchange begins with the exchange's node number.
#[derive(Debug, Clone)]
pub enum Step {
    /// Sends SIGTERM, then SIGKILL at the earliest time that the rules allow, and starts a new process later.
    Terminate {
        /// Time from the end of the old process to the start of the new one.
        restart_after: Duration,
        /// Sends a second SIGTERM shortly after the first.
        twice: bool,
    },
    /// Sends SIGKILL without a SIGTERM before it, and starts a new process later.
    Kill {
        /// Time from the end of the old process to the start of the new one.
        restart_after: Duration,
    },
    /// Reloads the configuration several times, each time with another address of the coordinator.
    Reload {
        /// Number of reloads.
        count: u32,
        /// Time between two reloads.
        gap: Duration,
    },
    /// The exchange accepts everything and answers nothing.
    Hang(u32, Duration),
    /// The exchange's machine goes silent, and comes back with a new process that has to warm up.
    Vanish(u32, Duration),
    /// The network to the exchange is cut off, and restored later.
    Cut(u32, Duration),
    /// New connections to the exchange are not accepted for a while.
    LateConnects(u32, Duration),
    /// New connections to the exchange are closed soon after they are accepted.
    EarlyCloses(u32, Duration),
    /// All connections to the exchange are reset.
    ResetConnections(u32),
    /// The exchange drains, is removed and comes back.
    Replace {
        /// Node number of the exchange.
        place: u32,
        /// Time from the drain to the removal.
        drain_for: Duration,
        /// Time from the removal until the exchange is ready again.
        gone_for: Duration,
        /// The exchange comes back under a new id.
        new_id: bool,
    },
    /// The coordinator keeps its connections open and sends nothing.
    DiscoverySilent(Duration),
    /// The coordinator is down: its connections are closed and new ones are refused.
    DiscoveryDown(Duration),
    /// The coordinator closes a connection in the middle of a frame.
    DiscoveryBreak,
    /// Clients open this many connections and send no complete request on them.
    Crowd(u32),
}

/// Settings and timeline of one run.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Seed that the run is drawn from.
    pub seed: u64,
    /// Settings that the rules depend on.
    pub rules: RuleSettings,
    /// Number of exchanges. Their node numbers start at 0, the router's own exchange.
    pub exchange_count: u32,
    /// Mean number of new requests per second.
    pub requests_per_s: f64,
    /// Number of client connections that are kept open.
    pub client_connections: u32,
    /// Time after which the router gives up connecting to an exchange.
    pub connect_timeout: Duration,
    /// Most file descriptors that the router may hold (`limits.sockets`).
    pub max_descriptors: u32,
    /// Share of answers that are malformed, truncated, duplicated, late or missing.
    pub faulty_answer_share: f64,
    /// Messages are written in several pieces.
    pub has_split_writes: bool,
    /// Some clients violate the protocol.
    pub has_bad_clients: bool,
    /// Share of requests whose client gives up before the deadline.
    pub abandon_share: f64,
    /// Clients redial at once after a refusal, whatever `X-Hold-Off` says.
    pub ignores_hold_off: bool,
    /// Time during which requests are sent and faults happen.
    pub active_time: Duration,
    /// Time after `active_time` in which calls may still end and be released.
    pub release_time: Duration,
    /// Faults and signals with their times since the start of the run, in order.
    pub timeline: Vec<(Duration, Step)>,
}

/// Deadlines in milliseconds; a run takes the one at its seed modulo 7.
const DEADLINES_MS: [u64; 7] = [3000, 400, 900, 2600, 600, 9000, 1500];

fn draw_duration(rng: &mut Rng, min_ms: u64, max_ms: u64) -> Duration {
    Duration::from_millis(rng.u64(min_ms..=max_ms))
}

/// Part of a run that listens, with the second octet of its loopback address. Each run has addresses of its
/// own, so that no other run takes a port that is closed for a while.
#[derive(Debug, Clone, Copy)]
pub enum Component {
    /// The router under test.
    Router = 64,
    /// The emulated exchanges.
    Exchanges = 65,
    /// The emulated coordinator.
    Coordinator = 66,
}

impl Scenario {
    /// Returns the address that a component listens on, with port 0 for any free port.
    pub fn address(&self, component: Component) -> SocketAddr {
        let run = (self.seed % 60_000) as u16;
        let [high, low] = run.to_be_bytes();
        SocketAddr::from(([127, component as u8, high, low], 0))
    }

    /// Draws the settings and the timeline of a run from its seed.
    pub fn draw(seed: u64, active_time: Duration) -> Self {
        let mut rng = Rng::with_seed(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ 0x5151);
        let deadline = Duration::from_millis(DEADLINES_MS[(seed % 7) as usize]);
        let class = |name, is_safe, deadline: Duration| ClassSettings {
            name,
            is_safe,
            deadline,
            latency_objective: deadline / 2,
        };
        let mut classes = vec![class("voice", true, deadline), class("family", true, deadline.mul_f64(0.8))];
        if rng.u8(..3) == 0 {
            classes.push(class("order", false, deadline));
        }
        let rules = RuleSettings {
            classes,
            guard_time: Duration::from_millis(500),
            drain_grace: Duration::from_millis(500),
            hold_off_required: rng.u8(..8) > 0,
            own_node: 0,
        };
        let mut scenario = Self {
            seed,
            rules,
            exchange_count: rng.u32(4..=6),
            requests_per_s: if rng.u8(..4) == 0 { 180.0 } else { 20.0 + 60.0 * rng.f64() },
            client_connections: rng.u32(2..=6),
            connect_timeout: draw_duration(&mut rng, 400, 2500),
            max_descriptors: 512,
            faulty_answer_share: if rng.bool() { 0.06 } else { 0.0 },
            has_split_writes: rng.bool(),
            has_bad_clients: rng.bool(),
            abandon_share: if rng.bool() { 0.1 } else { 0.0 },
            ignores_hold_off: rng.bool(),
            active_time,
            release_time: Duration::from_millis(9500),
            timeline: Vec::new(),
        };
        scenario.draw_shutdowns(&mut rng);
        scenario.draw_faults(&mut rng);
        scenario.timeline.sort_by_key(|(at, _)| *at);
        scenario
    }

    /// Adds a step to the timeline, unless it lies after the active time.
    fn add_step(&mut self, at: Duration, step: Step) {
        if at < self.active_time {
            self.timeline.push((at, step));
        }
    }

    /// Draws a series of restarts with faults of exchanges around them; each stop comes soon after the start
    /// before it.
    fn draw_shutdowns(&mut self, rng: &mut Rng) {
        let deadline = self.rules.classes[0].deadline.min(Duration::from_secs(3));
        let mut at = draw_duration(rng, 700, 2000);
        for _ in 0..rng.u32(2..=4) {
            let restart_after = draw_duration(rng, 0, 700);
            let step = match rng.u8(..8) {
                0 => Step::Kill { restart_after },
                _ => Step::Terminate { restart_after, twice: rng.u8(..4) == 0 },
            };
            let lead_time = draw_duration(rng, 0, 600);
            let fault = self.draw_exchange_fault(rng);
            self.add_step(at.saturating_sub(lead_time), fault);
            if rng.bool() {
                let fault = self.draw_exchange_fault(rng);
                self.add_step(at + draw_duration(rng, 0, 600), fault);
            }
            self.add_step(at, step);
            at += deadline + Duration::from_millis(700) + restart_after + draw_duration(rng, 200, 2500);
        }
    }

    /// Draws a fault of an exchange other than the router's own.
    fn draw_exchange_fault(&self, rng: &mut Rng) -> Step {
        let node = rng.u32(1..self.exchange_count);
        let length = draw_duration(rng, 300, 4000);
        match rng.u8(..10) {
            9 => Step::EarlyCloses(node, length),
            0 | 1 => Step::Hang(node, length),
            2 => Step::Vanish(node, length),
            3 => Step::Cut(node, length),
            4 => Step::LateConnects(node, length),
            5 => Step::ResetConnections(node),
            _ => Step::Replace {
                place: node,
                drain_for: draw_duration(rng, 200, 2500),
                gone_for: draw_duration(rng, 200, 2500),
                new_id: rng.bool(),
            },
        }
    }

    /// Draws faults of exchanges and of the coordinator, reloads, and a crowd of idle connections.
    fn draw_faults(&mut self, rng: &mut Rng) {
        for _ in 0..rng.u32(1..=4) {
            let at = draw_duration(rng, 300, self.active_time.as_millis() as u64);
            let fault = self.draw_exchange_fault(rng);
            self.add_step(at, fault);
        }
        if rng.bool() {
            // A drain while connections are reset and new ones are not accepted.
            let (node, at) = (
                rng.u32(1..self.exchange_count),
                draw_duration(rng, 300, self.active_time.as_millis() as u64),
            );
            self.add_step(at, Step::LateConnects(node, draw_duration(rng, 800, 2500)));
            self.add_step(at + draw_duration(rng, 0, 50), Step::ResetConnections(node));
            let (drain_for, gone_for) = (draw_duration(rng, 1500, 3000), draw_duration(rng, 300, 1500));
            self.add_step(
                at + draw_duration(rng, 50, 600),
                Step::Replace { place: node, drain_for, gone_for, new_id: false },
            );
        }
        for _ in 0..rng.u32(0..=2) {
            let (at, count) = (draw_duration(rng, 1200, self.active_time.as_millis() as u64), rng.u32(1..=4));
            self.add_step(at, Step::Reload { count, gap: draw_duration(rng, 5, 400) });
        }
        for _ in 0..rng.u32(0..=2) {
            let (at, length) =
                (draw_duration(rng, 300, self.active_time.as_millis() as u64), draw_duration(rng, 300, 5000));
            let step = match rng.u8(..5) {
                0 | 1 => Step::DiscoverySilent(length),
                2 | 3 => Step::DiscoveryDown(length),
                _ => Step::DiscoveryBreak,
            };
            self.add_step(at, step);
            // A drain close to the time when the coordinator works again.
            let replaced_at =
                (at + length).saturating_sub(draw_duration(rng, 0, 600)) + draw_duration(rng, 0, 300);
            let node = rng.u32(1..self.exchange_count);
            let (drain_for, gone_for) = (draw_duration(rng, 300, 1500), draw_duration(rng, 300, 1500));
            self.add_step(
                replaced_at,
                Step::Replace { place: node, drain_for, gone_for, new_id: rng.bool() },
            );
        }
        if self.seed % 4 == 3 {
            self.max_descriptors = 256;
            let at = draw_duration(rng, 300, self.active_time.as_millis() as u64);
            self.add_step(at, Step::Crowd(rng.u32(150..400)));
        }
    }
}
