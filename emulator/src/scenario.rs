//! What one run plays: settings, traffic and a timeline of faults, all drawn from its seed.

use std::net::SocketAddr;
use std::time::Duration;

use fastrand::Rng;

/// A class of calls, as the rules see it.
#[derive(Debug, Clone, Copy)]
pub struct ClassSettings {
    /// Its name.
    pub name: &'static str,
    /// It may be repeated and refused freely.
    pub is_safe: bool,
    /// Longest time that a client waits.
    pub deadline: Duration,
    /// A call that stands within this earns its full worth.
    pub aim: Duration,
}

/// The figures of the rules.
#[derive(Debug, Clone)]
pub struct RuleSettings {
    /// Classes by number.
    pub classes: Vec<ClassSettings>,
    /// Time between a reset, timed-out or cancelled attempt and the next.
    pub guard: Duration,
    /// Time after a told drain in which set-ups may still go out.
    pub drain_grace: Duration,
    /// Refusals say how long to stay away.
    pub hold_off: bool,
    /// Place of the router's own exchange.
    pub own_place: u32,
}

/// One fault or signal; places are numbers of exchanges.
#[derive(Debug, Clone)]
pub enum Step {
    /// SIGTERM, SIGKILL at the earliest time that the rules allow, and a new process later.
    Terminate {
        /// From the old process's end to the new one's start.
        restart_after: Duration,
        /// A second SIGTERM comes shortly after the first.
        twice: bool,
    },
    /// SIGKILL without warning, and a new process later.
    Kill {
        /// From the kill to the new process's start.
        restart_after: Duration,
    },
    /// New configurations in a row, each with another address of the coordinator.
    Reload {
        /// How many.
        count: u32,
        /// Time between two of them.
        gap: Duration,
    },
    /// The exchange takes everything and answers nothing.
    Hang(u32, Duration),
    /// Its machine falls silent and comes back as a new, cold process.
    Vanish(u32, Duration),
    /// The network to it is cut, and mended.
    Cut(u32, Duration),
    /// New connections to it come up late.
    LateConnects(u32, Duration),
    /// New connections to it are closed soon after they come up, and idle ones now and then.
    EarlyCloses(u32, Duration),
    /// All connections to it are reset.
    ResetConnections(u32),
    /// It drains, goes and comes back.
    Replace {
        /// Which exchange.
        place: u32,
        /// From draining to gone.
        drain_for: Duration,
        /// From gone to ready.
        gone_for: Duration,
        /// It comes back under a new id.
        new_id: bool,
    },
    /// The coordinator keeps its connections and says nothing.
    DiscoverySilent(Duration),
    /// The coordinator is down: connections break, new ones are refused.
    DiscoveryDown(Duration),
    /// The coordinator breaks off in the middle of a frame.
    DiscoveryBreak,
    /// Connections are opened and left.
    Crowd(u32),
}

/// One run.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Its seed.
    pub seed: u64,
    /// Figures of the rules.
    pub rules: RuleSettings,
    /// Number of exchanges; their places count from 0, which is the router's own.
    pub exchanges: u32,
    /// Requests a second.
    pub rate: f64,
    /// Client connections that are kept open.
    pub connections: u32,
    /// A connection to an exchange must be up within this.
    pub connect_timeout: Duration,
    /// Descriptors that the router may hold.
    pub sockets: u32,
    /// Share of answers that arrive spoilt, doubled, late or never.
    pub spoilt: f64,
    /// Messages are written in pieces.
    pub pieces: bool,
    /// Some clients break the protocol.
    pub bad_clients: bool,
    /// Share of requests whose client gives up early.
    pub impatient: f64,
    /// Clients repeat at once, whatever a refusal says.
    pub pushy: bool,
    /// How long requests are sent and faults happen.
    pub active: Duration,
    /// How long calls are still released after that.
    pub tail: Duration,
    /// Faults and signals by time.
    pub timeline: Vec<(Duration, Step)>,
}

/// Deadlines that the runs take turns with, ms.
const DEADLINES_MS: [u64; 7] = [3000, 400, 900, 2600, 600, 9000, 1500];

fn between(rng: &mut Rng, from_ms: u64, to_ms: u64) -> Duration {
    Duration::from_millis(rng.u64(from_ms..=to_ms))
}

/// A party of a run that listens. Each run has loopback addresses of its own, so that a port that is given up
/// for a while is not taken by another run.
#[derive(Debug, Clone, Copy)]
pub enum Party {
    /// The router.
    Router = 64,
    /// The exchanges.
    Exchanges = 65,
    /// The coordinator.
    Coordinator = 66,
}

impl Scenario {
    /// Where a party listens, at any port.
    pub fn address(&self, party: Party) -> SocketAddr {
        let run = (self.seed % 60_000) as u16;
        let [high, low] = run.to_be_bytes();
        SocketAddr::from(([127, party as u8, high, low], 0))
    }

    /// Draws a run.
    pub fn draw(seed: u64, active: Duration) -> Self {
        let mut rng = Rng::with_seed(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ 0x5151);
        let deadline = Duration::from_millis(DEADLINES_MS[(seed % 7) as usize]);
        let class =
            |name, is_safe, deadline: Duration| ClassSettings { name, is_safe, deadline, aim: deadline / 2 };
        let mut classes = vec![class("voice", true, deadline), class("family", true, deadline.mul_f64(0.8))];
        if rng.u8(..3) == 0 {
            classes.push(class("order", false, deadline));
        }
        let rules = RuleSettings {
            classes,
            guard: Duration::from_millis(500),
            drain_grace: Duration::from_millis(500),
            hold_off: rng.u8(..8) > 0,
            own_place: 0,
        };
        let mut scenario = Self {
            seed,
            rules,
            exchanges: rng.u32(4..=6),
            rate: if rng.u8(..4) == 0 { 180.0 } else { 20.0 + 60.0 * rng.f64() },
            connections: rng.u32(2..=6),
            connect_timeout: between(&mut rng, 400, 2500),
            sockets: 512,
            spoilt: if rng.bool() { 0.06 } else { 0.0 },
            pieces: rng.bool(),
            bad_clients: rng.bool(),
            impatient: if rng.bool() { 0.1 } else { 0.0 },
            pushy: rng.bool(),
            active,
            tail: Duration::from_millis(9500),
            timeline: Vec::new(),
        };
        scenario.draw_shutdowns(&mut rng);
        scenario.draw_faults(&mut rng);
        scenario.timeline.sort_by_key(|(at, _)| *at);
        scenario
    }

    fn add(&mut self, at: Duration, step: Step) {
        if at < self.active {
            self.timeline.push((at, step));
        }
    }

    /// Signals come in series: each stop begins soon after the start before it, among faults of exchanges.
    fn draw_shutdowns(&mut self, rng: &mut Rng) {
        let deadline = self.rules.classes[0].deadline.min(Duration::from_secs(3));
        let mut at = between(rng, 700, 2000);
        for _ in 0..rng.u32(2..=4) {
            let restart_after = between(rng, 0, 700);
            let step = match rng.u8(..8) {
                0 => Step::Kill { restart_after },
                _ => Step::Terminate { restart_after, twice: rng.u8(..4) == 0 },
            };
            let before = between(rng, 0, 600);
            let fault = self.exchange_fault(rng);
            self.add(at.saturating_sub(before), fault);
            if rng.bool() {
                let fault = self.exchange_fault(rng);
                self.add(at + between(rng, 0, 600), fault);
            }
            self.add(at, step);
            at += deadline + Duration::from_millis(700) + restart_after + between(rng, 200, 2500);
        }
    }

    fn exchange_fault(&self, rng: &mut Rng) -> Step {
        let place = rng.u32(1..self.exchanges);
        let length = between(rng, 300, 4000);
        match rng.u8(..10) {
            9 => Step::EarlyCloses(place, length),
            0 | 1 => Step::Hang(place, length),
            2 => Step::Vanish(place, length),
            3 => Step::Cut(place, length),
            4 => Step::LateConnects(place, length),
            5 => Step::ResetConnections(place),
            _ => Step::Replace {
                place,
                drain_for: between(rng, 200, 2500),
                gone_for: between(rng, 200, 2500),
                new_id: rng.bool(),
            },
        }
    }

    fn draw_faults(&mut self, rng: &mut Rng) {
        for _ in 0..rng.u32(1..=4) {
            let at = between(rng, 300, self.active.as_millis() as u64);
            let fault = self.exchange_fault(rng);
            self.add(at, fault);
        }
        if rng.bool() {
            // A drain while connections are reset and come up late.
            let (place, at) = (rng.u32(1..self.exchanges), between(rng, 300, self.active.as_millis() as u64));
            self.add(at, Step::LateConnects(place, between(rng, 800, 2500)));
            self.add(at + between(rng, 0, 50), Step::ResetConnections(place));
            let (drain_for, gone_for) = (between(rng, 1500, 3000), between(rng, 300, 1500));
            self.add(at + between(rng, 50, 600), Step::Replace { place, drain_for, gone_for, new_id: false });
        }
        for _ in 0..rng.u32(0..=2) {
            let (at, count) = (between(rng, 1200, self.active.as_millis() as u64), rng.u32(1..=4));
            self.add(at, Step::Reload { count, gap: between(rng, 5, 400) });
        }
        for _ in 0..rng.u32(0..=2) {
            let (at, length) = (between(rng, 300, self.active.as_millis() as u64), between(rng, 300, 5000));
            let step = match rng.u8(..5) {
                0 | 1 => Step::DiscoverySilent(length),
                2 | 3 => Step::DiscoveryDown(length),
                _ => Step::DiscoveryBreak,
            };
            self.add(at, step);
            // Drains close to its return.
            let near = (at + length).saturating_sub(between(rng, 0, 600)) + between(rng, 0, 300);
            let place = rng.u32(1..self.exchanges);
            let (drain_for, gone_for) = (between(rng, 300, 1500), between(rng, 300, 1500));
            self.add(near, Step::Replace { place, drain_for, gone_for, new_id: rng.bool() });
        }
        if self.seed % 4 == 3 {
            self.sockets = 256;
            let at = between(rng, 300, self.active.as_millis() as u64);
            self.add(at, Step::Crowd(rng.u32(150..400)));
        }
    }
}
