//! Every decision of a call controller: acceptance, route, further attempts, answers.
//!
//! Types, settings, events and actions stand in `src/interface.rs`. Read from the top: constants, what is
//! known of the exchanges, then the path of one call. `control` limits what is accepted, `window` what is out
//! towards one processor, and [`shutdown`] says when a stopping router does what.

mod control;
pub mod shutdown;
mod window;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

pub use control::Control;
use control::{CYCLE, FLOOR, PERIOD, THETA};
use window::{Window, EASY, FAILED, PRESSED, WINDOW};

use crate::interface::*;

/// Part of the cold budget used: the rest is slack for repeats and for what is in flight.
const COLD_MARGIN: f64 = 0.9;
/// What a warm processor can take from a sender, in what it was sent: it sets up its own calls as well.
const COLD_SHARE: f64 = 1.5;
/// Circuits kept free on a tandem's first leg: at rest, and for each unit of blocking; its smoothing per try.
const RESERVE_BASE: f64 = 1.0;
const RESERVE_GAIN: f64 = 10.0;
const BLOCKING_STEP: f64 = 0.1;
/// A spell, in aims, and the longest, s: for silence, for failures and before what is full is tried again.
///
/// Guards against a processor that is back but left alone for several aims, as its next trial is not due.
const SPELL: (f64, f64) = (0.25, 0.5);
/// Longest gap between trials of a processor whose window is shut, in spells.
const TRIAL: f64 = 6.0;
/// After a crank-back (one for those of a moment) a tandem is left out there: first and longest, in spells.
const CRANKED: (f64, f64) = (6.0, 48.0);
/// A set-up out for so many usual set-up times is taken for lost; above a share of such, they are called off.
const LOSSY: f64 = 0.04;
const LOST_AFTER: f64 = 3.0;
/// A number found busy rests: first and longest rest in spells, and how many numbers are remembered.
const REST: (f64, f64) = (1.0, 8.0);
const NUMBERS: usize = 256;
/// A reported allowance under the first part of its usual best tells of pressure, over the second of ease.
/// That best is slowly forgotten, by so much per report.
const ALLOWED: (f64, f64) = (0.25, 0.5);
const BEST_DECAY: f64 = 0.002;

/// Smoothing per answer, of one place and over all places: of set-up times, and of losses.
const SETUP_STEP: (f64, f64) = (0.3, 0.05);
const LOST_STEP: (f64, f64) = (0.1, 0.05);
/// Tandems tried for one call.
const TANDEMS: usize = 2;
/// Log lines for the operators at most, over a controller's life.
const LOG_LINES: usize = 20;

const CYCLE_TOKEN: TimerToken = TimerToken(0);

/// A machine of the directory.
#[derive(Debug)]
struct Machine {
    place: NodeNumber,
    health: Health,
    /// Warm from this time on; before it the cold budget binds.
    warm_at: f64,
    /// Times of sends while cold, within the budget's window.
    cold_sends: Vec<f64>,
}

/// What is known of an exchange or pool.
#[derive(Debug, Default)]
struct Far {
    window: Window,
    /// The operators were told that it is shut.
    shut: bool,
    /// The best allowance reported, slowly forgotten.
    best_allowed: f64,
    /// Smoothed time that set-ups took, s.
    setup: f64,
    /// The last set-up became overdue; and the share of set-ups that were lost, smoothed.
    silent: bool,
    lossy: f64,
    /// Tandems for calls to here: how long each was last left out (0: its last call stood), until when.
    ways: BTreeMap<NodeNumber, (f64, f64)>,
    free: Option<f64>,
    told: bool,
    /// Circuits seized by sends at the latest instant of sending.
    sent_at: f64,
    sent_width: f64,
    /// Share of recent direct tries that found no circuit.
    blocking: f64,
    /// Set-ups sent in this cycle; while it is warm and answers, smoothed, a second. A flood counts little.
    sent: f64,
    rate: f64,
}

#[derive(Debug)]
struct Attempt {
    place: NodeNumber,
    at: f64,
    /// Still counts in the windows.
    counted: bool,
    /// Out for longer than set-ups usually are; and taken for lost, so not held against the place.
    overdue: bool,
    excused: bool,
}

#[derive(Debug)]
struct Call {
    offer: OfferedCall,
    class: usize,
    width: f64,
    deadline: f64,
    aim: f64,
    /// When the caller first dialled: it earns its full worth if it stands within the aim from then.
    dialled: f64,
    /// Waits here, unsent, for a window or the quota; refused at this time.
    held_until: f64,
    attempts: u32,
    out: Option<Attempt>,
    /// Not sent again before this (rule 5).
    guard_until: f64,
    /// Not safe to repeat, and an attempt may have run: never sent again, and only `Fail` can end it.
    doubtful: bool,
    stands: bool,
    /// Its direct route has been counted as free or blocked.
    weighed: bool,
    tried: Vec<NodeNumber>,
}

impl Call {
    fn is_held(&self, now: f64) -> bool {
        self.out.is_none() && !self.stands && now >= self.guard_until
    }
}

/// Decides for one exchange. See the crate's page for how to embed it.
#[derive(Debug)]
pub struct Controller {
    set: Settings,
    /// Shortest aim, and the length of a spell, s.
    aim: f64,
    spell: f64,
    rng: fastrand::Rng,
    now: f64,
    cycle_end: f64,
    cycles: u64,
    started: bool,
    ask_again: bool,
    own: Control,
    own_window: Window,
    /// When a set-up to anywhere last stood easily; smoothed, how long they take, s, and the share lost.
    easy_at: f64,
    setup: f64,
    lossy: f64,
    /// What the operators were told last.
    own_shut: bool,
    told_safe: Option<f64>,
    /// Numbers of calls that ended without standing, and when they were first dialled.
    redials: BTreeMap<Arc<str>, f64>,
    machines: BTreeMap<ExchangeId, Machine>,
    far: BTreeMap<NodeNumber, Far>,
    calls: BTreeMap<CallId, Call>,
    waiting: BTreeMap<TimerToken, CallId>,
    /// Numbers whose lines were all busy: last rest, and its end.
    busy: BTreeMap<Arc<str>, (f64, f64)>,
    next_token: u64,
    logged: usize,
}

impl Controller {
    /// Makes a controller; `now` is the clock's reading.
    ///
    /// # Errors
    /// When the settings name no class or no fleet, or a figure makes no sense.
    pub fn new(settings: Settings, seed: u64, now: Duration) -> Result<Self, SettingsError> {
        let senseless = |c: &Class| c.target_delay.is_zero() || !c.value.is_finite();
        if settings.classes.is_empty() || settings.classes.iter().any(senseless) || settings.fleet_size == 0 {
            return Err(SettingsError("no fleet, no classes, or a class with no aim or no worth"));
        }
        let now = now.as_secs_f64();
        let aim = settings.classes.iter().map(|c| c.target_delay.as_secs_f64()).fold(f64::INFINITY, f64::min);
        Ok(Self {
            set: settings,
            aim,
            spell: (SPELL.0 * aim).min(SPELL.1),
            rng: fastrand::Rng::with_seed(seed),
            now,
            cycle_end: now + CYCLE,
            cycles: 0,
            started: false,
            ask_again: false,
            own: Control::default(),
            own_window: Window { size: 4.0 * WINDOW.0, ..Window::default() },
            easy_at: now,
            setup: 0.0,
            lossy: 0.0,
            own_shut: false,
            told_safe: None,
            redials: BTreeMap::new(),
            machines: BTreeMap::new(),
            far: BTreeMap::new(),
            calls: BTreeMap::new(),
            waiting: BTreeMap::new(),
            busy: BTreeMap::new(),
            next_token: 1,
            logged: 0,
        })
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: Duration, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now.as_secs_f64());
        if !std::mem::replace(&mut self.started, true) {
            out.push(Action::StartTimer { after: Duration::from_secs_f64(self.spell), token: CYCLE_TOKEN });
            out.extend(self.set.registry_polled.then_some(Action::Subscribe));
        }
        match event {
            Event::DirectoryUpdate { kind, entries } => self.on_directory(kind, &entries),
            Event::CallOffered(offer) => self.on_offer(offer, out),
            Event::CallEstablished { call, elapsed: took, .. } => {
                self.on_stands(&call, took.as_secs_f64(), out)
            }
            Event::AttemptEnded(outcome) => self.on_ended(&outcome, out),
            Event::LoadReported { exchange, load_report: report, .. } => {
                self.read_report(&exchange, &report, true);
                self.release(out);
            }
            Event::CallAbandoned(id) => {
                let Some(call) = self.calls.remove(&id) else { return };
                self.expect_redial(&call);
                if let Some(attempt) = call.out.filter(|a| a.counted && !call.stands) {
                    self.answered(attempt.place, self.now - attempt.at);
                }
            }
            Event::PeerMessage { .. } => {}
            Event::TimerExpired(CYCLE_TOKEN) => {
                self.watch_silence();
                let again = self.end_cycles() && std::mem::take(&mut self.ask_again);
                out.extend(again.then_some(Action::Subscribe));
                self.tell_changes(out);
                self.release(out);
                out.push(Action::StartTimer {
                    after: Duration::from_secs_f64(self.spell),
                    token: CYCLE_TOKEN,
                });
            }
            Event::TimerExpired(token) => {
                if let Some(call) = self.waiting.remove(&token) {
                    self.consider(&call, out);
                }
            }
        }
    }

    /// Ends the cycles that are over; false if none is.
    fn end_cycles(&mut self) -> bool {
        let before = self.cycles;
        while self.cycle_end <= self.now + 1e-6 {
            self.cycle_end += CYCLE;
            self.cycles += 1;
            if self.cycles % (PERIOD / CYCLE) as u64 == 0 {
                self.own.end_period();
            }
            for (place, far) in &mut self.far {
                let mut warm = self.machines.values().filter(|m| m.place == *place && m.warm_at <= self.now);
                let usual = far.window.size >= 1.0 && warm.any(|m| m.health == Health::Live);
                let sent = (std::mem::take(&mut far.sent) / CYCLE).min(self.own.x.max(2.0 * far.rate));
                far.rate += if usual { THETA * (sent - far.rate) } else { 0.0 };
            }
            self.own.end_cycle();
            self.busy.retain(|_, (_, until)| self.now < *until + 2.0 * REST.1 * self.spell);
            let longest = self.set.classes.iter().map(|c| c.deadline.as_secs_f64()).fold(0.0, f64::max);
            self.redials.retain(|_, first| self.now < *first + longest);
        }
        self.cycles > before
    }

    fn here(&self) -> Option<NodeNumber> {
        let Topology::Meshed(place) = self.set.topology else { return None };
        Some(place)
    }

    // ---- the directory -------------------------------------------------------------------------

    fn on_directory(&mut self, kind: UpdateKind, entries: &Arc<Vec<DirectoryEntry>>) {
        // Asked again at the end of a cycle, so that a refusing registry is not flooded.
        self.ask_again |= kind == UpdateKind::Failed;
        let whole = matches!(kind, UpdateKind::Full | UpdateKind::Stored);
        self.machines.values_mut().filter(|_| whole).for_each(|m| m.health = Health::Gone);
        for entry in entries.iter() {
            let warm_at = entry.up_since.map_or(0.0, |t| (t + self.set.rules.warm_up_time).as_secs_f64());
            let cold_sends = self.machines.remove(&entry.exchange).map_or_else(Vec::new, |m| m.cold_sends);
            let machine = Machine { place: entry.node, health: entry.health, warm_at, cold_sends };
            self.machines.insert(entry.exchange.clone(), machine);
            self.far.entry(entry.node).or_default();
        }
        if self.machines.len() > 4 * self.far.len() {
            self.machines.retain(|_, m| m.health != Health::Gone);
        }
    }

    /// The machine that takes new work for a place: live, and the latest started if there are two.
    fn machine_of(&self, place: NodeNumber) -> Option<(&ExchangeId, &Machine)> {
        let live = self.machines.iter().filter(|(_, m)| m.place == place && m.health == Health::Live);
        live.max_by(|a, b| a.1.warm_at.total_cmp(&b.1.warm_at))
    }

    fn read_report(&mut self, exchange: &ExchangeId, report: &[f64], told: bool) {
        let Some(place) = self.machines.get(exchange).map(|m| m.place) else { return };
        let far = self.far.entry(place).or_default();
        for (gauge, value) in self.set.gauges.iter().zip(report).filter(|(_, v)| **v >= 0.0) {
            // Strain told by the processor itself: pressed above one, at ease below zero.
            let strain = match gauge {
                Gauge::LatencyMs => (value / 1000.0 / self.aim - EASY) / (PRESSED - EASY),
                Gauge::AllowedRate => {
                    far.best_allowed = far.best_allowed.max(*value) * (1.0 - BEST_DECAY);
                    (ALLOWED.1 * far.best_allowed - value) / ((ALLOWED.1 - ALLOWED.0) * far.best_allowed)
                }
                Gauge::RequestedReduction => (value - EASY) / (PRESSED - EASY),
                _ => 0.5,
            };
            if strain > 1.0 {
                far.window.shrink(FAILED, self.now, self.spell);
            } else if strain < 0.0 && far.window.out < 1.0 {
                far.window.size = far.window.size.max(1.0);
            }
            // Once free circuits are told as they change, those in reports are older news.
            if *gauge == Gauge::FreeCircuits && (told || !far.told) {
                far.told |= told;
                // What was sent in this very instant is not in the figure yet.
                let unseen = if far.sent_at == self.now { far.sent_width } else { 0.0 };
                far.free = Some(*value - unseen);
            }
        }
    }

    // ---- the path of one call ------------------------------------------------------------------

    /// When the caller first dialled: a number dialled again after a call to it ended without standing is
    /// taken for the same caller's redial, as is a repeat that is flagged.
    ///
    /// Guards against late worth taken for full worth, and fresh calls with little time left taken for
    /// late ones. Harm: of many callers of one number some are taken for another's redial, hence late.
    fn first_dialled(&mut self, offer: &OfferedCall) -> f64 {
        let first = self
            .redials
            .remove(&offer.called_number)
            .filter(|_| offer.flagged_as_redial || !self.set.redials_flagged);
        first.filter(|_| !offer.is_reconnect && !offer.is_transit).unwrap_or(self.now)
    }

    fn on_offer(&mut self, offer: OfferedCall, out: &mut Vec<Action>) {
        self.own.offered += 1.0;
        if self.calls.contains_key(&offer.call) {
            return;
        }
        let (id, deadline) = (offer.call.clone(), self.now + offer.remaining.as_secs_f64());
        let (number, dialled) = (offer.class.min(self.set.classes.len() - 1), self.first_dialled(&offer));
        let class = &self.set.classes[number];
        let held_until =
            if offer.is_transit { self.now } else { deadline - 2.0 * self.set.tick.as_secs_f64() };
        let call = Call {
            class: number,
            width: f64::from(offer.circuits.unwrap_or(class.circuits).max(1)),
            deadline,
            aim: class.target_delay.as_secs_f64(),
            dialled,
            held_until,
            attempts: 0,
            out: None,
            guard_until: 0.0,
            doubtful: false,
            stands: false,
            weighed: false,
            tried: Vec::new(),
            offer,
        };
        if let Some(via) = call.offer.via.filter(|_| self.set.has_route_advice && !call.offer.is_transit) {
            // The centre saw room over this tandem: it joins those that are known to lead there.
            let way = self.far.entry(call.offer.destination).or_default().ways.entry(via).or_default();
            *way = if self.now > way.1 { (0.0, 0.0) } else { *way };
        }
        self.calls.insert(id.clone(), call);
        self.consider(&id, out);
        self.wake_at(held_until, &id, out);
    }

    fn wake_at(&mut self, at: f64, id: &CallId, out: &mut Vec<Action>) {
        let after = Duration::from_secs_f64((at - self.now).max(0.0) + 0.001);
        let token = TimerToken(self.next_token);
        self.next_token += 1;
        self.waiting.insert(token, id.clone());
        out.push(Action::StartTimer { after, token });
    }

    /// Whether a call sent now would stand only after its aim, going by recent set-up times there.
    fn is_late(&self, call: &Call) -> bool {
        self.now + self.far.get(&call.offer.destination).map_or(0.0, |f| f.setup) > call.dialled + call.aim
    }

    /// The number answered busy (its rest doubles) or took a call (its rest is over).
    ///
    /// Guards against a focused overload: calls to a number with few lines are held, at no work to any
    /// processor, and only as many go as find out whether a line is free. Should cover any number that
    /// cannot be reached. Harm: a line that falls free waits for the end of a rest, 4 s at most.
    fn note_number(&mut self, number: &Arc<str>, busy: bool) {
        if !busy {
            self.busy.remove(number);
        } else if self.busy.len() < NUMBERS || self.busy.contains_key(number) {
            let (first, longest) = (REST.0 * self.spell, REST.1 * self.spell);
            let rest = self.busy.get(number).map_or(first, |(rest, _)| (2.0 * rest).min(longest));
            self.busy.insert(number.clone(), (rest, self.now + rest));
        }
    }

    /// Worth of a call if it were sent now.
    fn value(&self, call: &Call) -> f64 {
        let class = &self.set.classes[call.class];
        class.value * if self.is_late(call) { class.late_value_share } else { 1.0 }
    }

    /// Sends what is held, the worthiest first, as far as windows and quota are open.
    fn release(&mut self, out: &mut Vec<Action>) {
        if !self.own_window.is_open(self.now, false) || !self.own.has_room() {
            return;
        }
        let held = self.calls.iter().filter(|(_, c)| c.is_held(self.now));
        let mut held: Vec<_> = held.map(|(id, c)| (self.value(c), c.dialled + c.aim, id.clone())).collect();
        // Of equal worth the newest goes first: it has most of its aim left.
        held.sort_by(|a, b| b.0.total_cmp(&a.0).then(b.1.total_cmp(&a.1)));
        held.into_iter().for_each(|(_, _, id)| self.consider(&id, out));
    }

    /// Routes a call if its destination and the own processor can take it; else it is held, and
    /// refused when its time to be held is over.
    fn consider(&mut self, id: &CallId, out: &mut Vec<Action>) {
        let Some(call) = self.calls.get(id) else { return };
        if !call.is_held(self.now) {
            return self.call_off(id, out);
        }
        let dest = self.far.get(&call.offer.destination);
        let late = !call.offer.is_transit && self.is_late(call);
        // In a mesh every way ends at the destination; of pools another may take the call.
        let reachable = dest.is_none_or(|f| f.window.is_open(self.now, late));
        let reachable = reachable && self.machine_of(call.offer.destination).is_some();
        let rests = self.busy.get(&call.offer.called_number).is_some_and(|(_, until)| self.now < *until);
        let own = call.offer.is_transit || (!rests && self.own_window.is_open(self.now, late));
        if (reachable || self.here().is_none()) && own && (call.attempts > 0 || self.own.has_room()) {
            self.route(id, out);
        } else if self.now >= call.held_until {
            self.refuse(id, out);
        }
    }

    /// Direct first, else one random tandem (or pool of second choice), else held until one is free.
    fn route(&mut self, id: &CallId, out: &mut Vec<Action>) {
        let late = self.calls.get(id).is_some_and(|c| self.is_late(c));
        let Some(call) = self.calls.get_mut(id) else { return };
        let (dest, width, transit, until) =
            (call.offer.destination, call.width, call.offer.is_transit, call.held_until);
        let (first, tried) = (!std::mem::replace(&mut call.weighed, true), call.tried.clone());
        // Guards the calls of a router that is down: the front hands them to others, to the destination's own
        // too, and from there only another exchange leads to it.
        let (pools, own) = (self.here().is_none(), self.here() == Some(dest));
        let far = self.far.entry(dest).or_default();
        let blocked = far.free.is_some_and(|f| f < width);
        if first {
            far.blocking += BLOCKING_STEP * (f64::from(u8::from(blocked)) - far.blocking);
        }
        // A call that earns little leaves the last circuits to those that stand in time.
        let kept = width + RESERVE_BASE + RESERVE_GAIN * far.blocking;
        let short = late && !transit && far.free.is_some_and(|f| f < kept);
        let shut = pools && !far.window.is_open(self.now, late);
        let elsewhere = own || blocked || shut || tried.contains(&dest);
        if !elsewhere && !short && self.send(id, dest, out) {
            return;
        }
        if !transit && !late && (elsewhere || (pools && self.machine_of(dest).is_none())) {
            let tandems = self.tandems(id, &tried);
            let pick = (!tandems.is_empty()).then(|| tandems[self.rng.usize(..tandems.len())]);
            if pick.is_some_and(|place| self.send(id, place, out)) {
                return;
            }
        }
        let ways = self.far.len().min(TANDEMS + 2 - usize::from(own));
        let stuck = !pools && (own || tried.contains(&dest)) && tried.len() + 1 >= ways;
        if transit || stuck || self.now >= until {
            self.refuse(id, out);
        }
    }

    fn tandems(&self, id: &CallId, tried: &[NodeNumber]) -> Vec<NodeNumber> {
        let dest = self.calls.get(id).and_then(|c| self.far.get(&c.offer.destination).map(|d| (c, d)));
        let Some((call, dest)) = dest else { return Vec::new() };
        if tried.iter().filter(|p| **p != call.offer.destination).count() >= TANDEMS {
            return Vec::new();
        }
        let reserve = RESERVE_BASE + RESERVE_GAIN * dest.blocking;
        let class = &self.set.classes[call.class];
        let fits = |place: &NodeNumber, far: &Far| {
            *place != call.offer.destination
                && Some(*place) != self.here()
                && !tried.contains(place)
                && far.free.is_some_and(|f| f >= call.width + reserve)
                && far.window.is_open(self.now, false)
                && dest.ways.get(place).is_none_or(|(_, until)| self.now > *until)
                && (class.pools.is_empty() || class.pools.contains(place))
                && self.machine_of(*place).is_some_and(|(_, m)| m.warm_at <= self.now)
        };
        let mut ways: Vec<NodeNumber> =
            self.far.iter().filter(|(p, f)| fits(p, f)).map(|(p, _)| *p).collect();
        let proven = |place: &NodeNumber| dest.ways.get(place).is_some_and(|(rest, _)| *rest == 0.0);
        if ways.iter().any(proven) {
            ways.retain(proven);
        }
        ways
    }

    /// The one way out for a set-up. Keeps rules 2 to 5; false when one of them forbids it.
    fn send(&mut self, id: &CallId, place: NodeNumber, out: &mut Vec<Action>) -> bool {
        let Some((exchange, cold)) = self.machine_of(place).map(|(e, m)| (e.clone(), m.warm_at > self.now))
        else {
            return false; // rule 3: nothing to a machine that drains or is gone
        };
        if cold && !self.cold_room(&exchange) {
            return false; // rule 4
        }
        let here = self.here();
        let Some(call) = self.calls.get_mut(id) else { return false };
        let barred = !call.is_held(self.now); // rules 2 and 5
        let spent = call.attempts >= self.set.limits.max_attempts || self.now >= call.deadline;
        let astray = Some(place) == here || (call.offer.is_transit && place != call.offer.destination);
        if barred || spent || call.doubtful || astray {
            return false;
        }
        call.out = Some(Attempt { place, at: self.now, counted: true, overdue: false, excused: false });
        self.own.accepted += f64::from(u8::from(call.attempts == 0));
        call.attempts += 1;
        call.tried.push(place);
        let until = Duration::from_secs_f64(call.deadline);
        let far = self.far.entry(place).or_default();
        far.free = far.free.map(|f| f - call.width);
        far.sent_width = call.width + if far.sent_at == self.now { far.sent_width } else { 0.0 };
        far.sent_at = self.now;
        far.window.out += 1.0;
        far.sent += 1.0;
        self.own_window.out += 1.0;
        let overdue_at = self.now + LOST_AFTER * far.setup.max(self.setup);
        out.push(Action::SendSetUp { call: id.clone(), exchange: exchange.clone(), give_up_at: until });
        self.wake_at(overdue_at, id, out);
        let machine = self.machines.get_mut(&exchange).filter(|_| cold).into_iter();
        machine.for_each(|m| m.cold_sends.push(self.now));
        true
    }

    /// Rule 4: this sender's share of what a cold exchange can take over the window. Guards against one kept
    /// idle, too: what was sent there while it was warm tells more than what is dialled here.
    fn cold_room(&mut self, exchange: &ExchangeId) -> bool {
        let contract = &self.set.rules;
        let window = contract.overload_window.as_secs_f64();
        let Some(machine) = self.machines.get_mut(exchange) else { return false };
        let usual = self.far.get(&machine.place).map_or(0.0, |f| COLD_SHARE * f.rate);
        let share = usual.max(self.own.x.max(FLOOR) / f64::from(self.set.fleet_size));
        // Its capacity grows until it is warm; the manner is not told, taken for even.
        let left = ((machine.warm_at - self.now) / contract.warm_up_time.as_secs_f64()).clamp(0.0, 1.0);
        let warmth = 1.0 - left * (1.0 - contract.cold_capacity_share);
        let budget = COLD_MARGIN * contract.overload_multiple * warmth * share * window;
        // A share of less than one set-up: one in as many windows as make it up.
        machine.cold_sends.retain(|t| *t > self.now - window / budget.min(1.0));
        (machine.cold_sends.len() as f64) + 1.0 <= budget.max(1.0)
    }

    /// Final answer by the controller: refused, or failed where a refusal is not allowed.
    fn refuse(&mut self, id: &CallId, out: &mut Vec<Action>) {
        let Some(call) = self.calls.remove(id) else { return };
        self.expect_redial(&call);
        // The later the redial, the better for the processors.
        let stay_away = self.set.limits.retry_after_allowed.then_some(self.set.limits.max_retry_after);
        let refusal = Action::Refuse { call: id.clone(), hold_off: stay_away };
        out.push(if call.doubtful { Action::Fail(id.clone()) } else { refusal });
    }

    /// Gives up every call that does not stand, since the router stops.
    pub fn give_up_all(&mut self, now: Duration, out: &mut Vec<Action>) {
        self.now = self.now.max(now.as_secs_f64());
        let open: Vec<CallId> =
            self.calls.iter().filter(|(_, c)| !c.stands).map(|(id, _)| id.clone()).collect();
        for id in open {
            let Some(call) = self.calls.get_mut(&id) else { continue };
            let safe = self.set.classes[call.class].idempotency == Idempotency::Safe;
            call.doubtful |= call.out.is_some() && !safe;
            self.refuse(&id, out);
        }
    }

    fn expect_redial(&mut self, call: &Call) {
        if !call.stands && !call.offer.is_transit {
            self.redials.insert(call.offer.called_number.clone(), call.dialled);
        }
    }

    /// λs is learned from what is ours: delay toward a place that is shut for itself says nothing of us.
    fn note_own(&mut self, place: NodeNumber, delay: f64) {
        if self.own_window.size < 1.0 || self.far.get(&place).is_none_or(|f| f.window.size >= 1.0) {
            self.own.note(delay);
        }
    }

    /// A set-up is answered, one way or other: it leaves the windows.
    fn answered(&mut self, place: NodeNumber, took: f64) {
        self.own_window.answered(took, self.now, TRIAL * self.spell);
        let far = self.far.get_mut(&place).into_iter();
        far.for_each(|f| f.window.answered(took, self.now, TRIAL * self.spell));
    }

    fn on_stands(&mut self, id: &CallId, took: f64, out: &mut Vec<Action>) {
        let Some(call) = self.calls.get_mut(id) else { return };
        let Some(attempt) = call.out.as_ref().filter(|_| !call.stands) else { return };
        let (place, sent, counted, overdue) = (attempt.place, attempt.at, attempt.counted, attempt.overdue);
        call.stands = true;
        let (number, delay, dest) =
            (call.offer.called_number.clone(), took / call.aim, call.offer.destination);
        if place != dest {
            self.far.entry(dest).or_default().ways.insert(place, (0.0, 0.0));
        }
        self.note_own(place, delay);
        if let Some(far) = self.far.get_mut(&place) {
            far.window.stood(delay, self.now, took);
            far.setup += SETUP_STEP.0 * (took - far.setup);
            let lost = f64::from(u8::from(std::mem::take(&mut far.silent) && !overdue));
            far.lossy += LOST_STEP.0 * (lost - far.lossy);
            self.lossy += LOST_STEP.1 * (lost - self.lossy);
        }
        self.easy_at = if delay < PRESSED { self.now } else { self.easy_at };
        self.setup += SETUP_STEP.1 * (took - self.setup);
        self.own_window.stood(delay, self.now, took);
        if counted {
            self.answered(place, took);
        }
        let earlier = self.calls.values_mut().filter(|c| !c.stands).filter_map(|c| c.out.as_mut());
        earlier.filter(|a| a.place == place && a.at < sent).for_each(|a| a.excused = true);
        self.note_number(&number, false);
        self.release(out);
    }

    fn on_ended(&mut self, outcome: &Outcome, out: &mut Vec<Action>) {
        self.read_report(&outcome.exchange, &outcome.load_report, false);
        let Some(call) = self.calls.get_mut(&outcome.call) else { return };
        let Some(attempt) = call.out.take_if(|_| outcome.attempt_number + 1 == call.attempts) else { return };
        if outcome.status == AttemptStatus::Moot {
            // The other end took the last circuit first: the way itself stays open to this call.
            call.tried.retain(|p| *p != attempt.place);
            if matches!(outcome.failure_cause, Some(FailureCause::ProcessorFull(_))) {
                // The own processor is down: half a window, so one trial a cycle and no other call is spent.
                self.own_window.size = self.own_window.size.min(0.5);
            } else if let Some(far) = self.far.get_mut(&attempt.place).filter(|f| f.free.is_some()) {
                far.free = Some(0.0);
            }
        }
        let (stood, dest) = (std::mem::take(&mut call.stands), call.offer.destination);
        let (number, aim) = (call.offer.called_number.clone(), call.aim);
        if !stood {
            let took = outcome.elapsed.as_secs_f64();
            let full = matches!(outcome.failure_cause, Some(FailureCause::ProcessorFull(_)));
            let failed = outcome.status != AttemptStatus::Full || full;
            if attempt.counted {
                self.answered(attempt.place, if failed { took.max(self.spell) } else { took });
            }
            // Whose fault: the processor sent to, or with a tandem that turned back the one beyond it.
            let blamed = match (outcome.status, outcome.failure_cause) {
                (_, Some(FailureCause::DestinationFull)) => Some(dest),
                (AttemptStatus::TimedOut, _) => (!attempt.excused).then_some(attempt.place),
                (AttemptStatus::Full, _) if !full => None,
                (AttemptStatus::Full | AttemptStatus::Reset | AttemptStatus::Unreachable, _) => {
                    Some(attempt.place)
                }
                _ => None,
            };
            if let Some(far) = blamed.and_then(|place| self.far.get_mut(&place)) {
                far.window.shrink(FAILED, self.now, self.spell);
            }
            if matches!(
                outcome.failure_cause,
                Some(FailureCause::CrankedBack | FailureCause::DestinationFull)
            ) {
                let way = self.far.entry(dest).or_default().ways.entry(attempt.place).or_default();
                let rest = (2.0 * way.0).clamp(CRANKED.0 * self.spell, CRANKED.1 * self.spell);
                *way = if self.now > way.1 { (rest, self.now + rest) } else { *way };
            }
            if outcome.status == AttemptStatus::TimedOut {
                self.note_own(attempt.place, (took / aim).max(1.0) + 0.01);
            }
        }
        if outcome.failure_cause == Some(FailureCause::UserBusy) {
            self.note_number(&number, true);
        }
        let Some(call) = self.calls.get_mut(&outcome.call) else { return };
        if outcome.call_ended {
            self.calls.remove(&outcome.call);
            return self.release(out);
        }
        let guarded = matches!(
            outcome.status,
            AttemptStatus::TimedOut | AttemptStatus::Reset | AttemptStatus::Cancelled
        );
        if guarded {
            call.guard_until = self.now + self.set.guard_time.as_secs_f64() + self.set.tick.as_secs_f64();
        }
        let safe = self.set.classes[call.class].idempotency == Idempotency::Safe;
        let ran = matches!(outcome.status, AttemptStatus::Ended | AttemptStatus::Error);
        call.doubtful |= !safe && (guarded || ran);
        let full = matches!(
            outcome.failure_cause,
            Some(FailureCause::DestinationFull | FailureCause::ProcessorFull(_))
        );
        if full || outcome.status == AttemptStatus::Error {
            // No way leads round a full processor or busy lines; what merely failed goes again in time.
            let busy = full || outcome.failure_cause == Some(FailureCause::UserBusy);
            let pause = if busy { self.spell } else { call.aim / 40.0 };
            call.guard_until = call.guard_until.max(self.now + pause);
        }
        let guard_until = call.guard_until;
        // One that ended unanswered has run its course: its answer was lost, and may still come.
        let over = outcome.status == AttemptStatus::Ended || call.doubtful;
        let given_up = over || call.attempts >= self.set.limits.max_attempts;
        if call.offer.is_transit || given_up || guard_until >= call.held_until {
            self.refuse(&outcome.call, out);
        } else if guard_until > self.now {
            call.tried.clear();
            self.wake_at(guard_until, &outcome.call, out);
        } else {
            self.consider(&outcome.call, out);
        }
        self.release(out);
    }

    /// A set-up is out for several usual set-up times. If the next to the same place stands while this one
    /// stays out, it was lost on the way; where many are lost, there or anywhere, overdue ones are called off
    /// to be sent again within the aim, and are not held against the place.
    ///
    /// Guards against lost answers and lost signalling, toward one place among busier ones too. Harm: a
    /// processor that has just become slow gets some set-ups twice.
    fn call_off(&mut self, id: &CallId, out: &mut Vec<Action>) {
        let Some(call) = self.calls.get_mut(id).filter(|c| !c.stands && !c.offer.is_transit) else { return };
        let safe = self.set.classes[call.class].idempotency == Idempotency::Safe;
        let Some(attempt) = call.out.as_mut().filter(|a| a.counted) else { return };
        let Some(far) = self.far.get_mut(&attempt.place) else { return };
        let usual = far.setup.max(self.setup);
        if self.now - attempt.at < LOST_AFTER * usual || std::mem::replace(&mut attempt.overdue, true) {
            return;
        }
        far.silent = true;
        attempt.excused = far.lossy.max(self.lossy) > LOSSY;
        let again_at = self.now + self.set.guard_time.as_secs_f64() + usual;
        if safe && attempt.excused && self.set.limits.cancel_allowed && again_at < call.dialled + call.aim {
            attempt.counted = false;
            let (place, seq) = (attempt.place, call.attempts - 1);
            self.answered(place, usual);
            out.push(Action::Cancel { call: id.clone(), attempt_number: seq });
        }
    }

    /// Silence counts before any answer does: a set-up out for longer than it should take.
    fn watch_silence(&mut self) {
        let mut lost = Vec::new();
        let mut silent = BTreeSet::new();
        for call in self.calls.values_mut().filter(|c| !c.stands) {
            let Some(attempt) = &mut call.out else { continue };
            let (age, aim) = (self.now - attempt.at, call.aim);
            if age > PRESSED * aim && !attempt.excused {
                silent.insert(attempt.place);
                let far = self.far.get_mut(&attempt.place).into_iter();
                far.for_each(|f| f.window.shrink(FAILED, self.now, self.spell));
            }
            // Past the aim it is given up for the windows, so that a trial can go to a silent processor.
            let given_up = age > aim && std::mem::take(&mut attempt.counted);
            lost.extend(given_up.then_some((attempt.place, age)));
        }
        // Silence from several places and ease from none: the own processor's.
        if silent.len() > 1 && self.now > self.easy_at + 2.0 * self.spell {
            self.own_window.shrink(FAILED, self.now, self.spell);
        }
        lost.into_iter().for_each(|(place, age)| self.answered(place, age));
    }

    /// Tells the operators when a place, or the own processor, shuts or opens again.
    fn tell_changes(&mut self, out: &mut Vec<Action>) {
        let mut lines = Vec::new();
        for (place, far) in &mut self.far {
            let shut = far.window.size < 1.0;
            if std::mem::replace(&mut far.shut, shut) != shut {
                let what = if shut { "unanswered or slow, trials only" } else { "answers in time again" };
                lines.push(format!("place {}: {what}", place.0));
            }
        }
        let pressed = self.own_window.size < 1.0;
        if std::mem::replace(&mut self.own_shut, pressed) != pressed {
            let what = if pressed { "pressed, set-ups held" } else { "at ease again" };
            lines.push(format!("own processor {what}"));
        }
        if std::mem::replace(&mut self.told_safe, self.own.safe) != self.own.safe {
            lines.extend(self.own.safe.map(|safe| format!("safe rate set to {safe:.1} a second")));
        }
        let room = LOG_LINES - self.logged.min(LOG_LINES);
        self.logged += lines.len();
        out.extend(lines.into_iter().take(room).map(Action::Log));
    }

    /// Things remembered at present: calls, timers, numbers, machines and places.
    pub fn footprint(&self) -> usize {
        let calls = self.calls.len() + self.waiting.len() + self.redials.len();
        calls + self.busy.len() + self.machines.len() + self.far.len()
    }
}
