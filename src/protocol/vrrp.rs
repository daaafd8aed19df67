//! VRRP version 3 (RFC 9568), its advertisements carried over UDP.
//!
//! Where the RFC compares primary IPv4 addresses, the socket addresses are compared here. The check on
//! the IP time to live has no meaning over UDP and is left out.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Priority of the address owner.
const OWNER: u8 = 255;
const CENTISECOND: Duration = Duration::from_millis(10);

/// How a virtual router is set up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    /// Virtual router, 1 to 255.
    pub vrid: u8,
    /// 1 to 254; 255 for the owner of the addresses.
    pub priority: u8,
    /// Advertisement interval in centiseconds, 1 to 4095.
    pub interval: u16,
    /// A higher priority takes over from a lower one.
    pub preempt: bool,
    /// The addresses that are backed up.
    pub addresses: Vec<Ipv4Addr>,
}

/// State of a virtual router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// Not started, or shut down.
    Initialize,
    /// Another router is active.
    Backup,
    /// This router serves.
    Active,
}

/// An advertisement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Advertisement {
    /// Virtual router.
    pub vrid: u8,
    /// The sender's priority; 0: it stops.
    pub priority: u8,
    /// Its interval in centiseconds.
    pub interval: u16,
    /// The addresses that it backs up.
    pub addresses: Vec<Ipv4Addr>,
}

/// One's complement of the one's complement sum (RFC 1071).
fn checksum(bytes: &[u8]) -> u16 {
    let word = |pair: &[u8]| u32::from(pair[0]) << 8 | u32::from(pair.get(1).copied().unwrap_or(0));
    let mut sum: u32 = bytes.chunks(2).map(word).sum();
    while sum > 0xffff {
        sum = (sum & 0xffff) + (sum >> 16);
    }
    !(sum as u16)
}

impl Advertisement {
    /// Writes it (RFC 9568, 5.1).
    pub fn encode(&self) -> Vec<u8> {
        let mut out = vec![0x31, self.vrid, self.priority, self.addresses.len() as u8];
        out.extend((self.interval & 0x0fff).to_be_bytes());
        out.extend([0, 0]);
        self.addresses.iter().for_each(|a| out.extend(a.octets()));
        let sum = checksum(&out);
        out[6..8].copy_from_slice(&sum.to_be_bytes());
        out
    }

    /// Reads and checks one (RFC 9568, 7.1).
    ///
    /// # Errors
    /// Says which check it fails.
    pub fn decode(bytes: &[u8]) -> Result<Self, &'static str> {
        if bytes.len() < 8 {
            return Err("too short");
        }
        if bytes[0] >> 4 != 3 {
            return Err("not version 3");
        }
        if bytes[0] & 15 != 1 {
            return Err("no advertisement");
        }
        let count = usize::from(bytes[3]);
        if count == 0 || bytes.len() != 8 + 4 * count {
            return Err("wrong number of addresses");
        }
        if checksum(bytes) != 0 {
            return Err("wrong checksum");
        }
        let address = |b: &[u8]| Ipv4Addr::new(b[0], b[1], b[2], b[3]);
        Ok(Self {
            vrid: bytes[1],
            priority: bytes[2],
            interval: u16::from_be_bytes([bytes[4] & 15, bytes[5]]),
            addresses: bytes[8..].chunks_exact(4).map(address).collect(),
        })
    }
}

/// The state machine of one virtual router (RFC 9568, 6.4); it is fed the time.
#[derive(Debug)]
pub struct Router {
    config: Config,
    me: SocketAddr,
    state: State,
    /// Interval of the active router, in centiseconds.
    active_interval: u16,
    /// The advertisement timer when active, the active-down timer in backup.
    due: Option<Duration>,
}

impl Router {
    /// A router that has not started.
    pub fn new(config: Config, me: SocketAddr) -> Self {
        let active_interval = config.interval;
        Self { config, me, state: State::Initialize, active_interval, due: None }
    }

    /// Its state.
    pub fn state(&self) -> State {
        self.state
    }

    /// Takes up priority, interval and preemption while it runs. State and timer are kept: an active router
    /// stays so, and its next advertisement brings the change.
    pub fn reload(&mut self, config: &Config) {
        let Config { priority, interval, preempt, .. } = *config;
        let (vrid, addresses) = (self.config.vrid, std::mem::take(&mut self.config.addresses));
        self.config = Config { vrid, priority, interval, preempt, addresses };
    }

    /// When [`Router::tick`] is due.
    pub fn due(&self) -> Option<Duration> {
        self.due
    }

    fn skew(&self) -> Duration {
        CENTISECOND * u32::from(self.active_interval) * (256 - u32::from(self.config.priority)) / 256
    }

    fn down_interval(&self) -> Duration {
        3 * CENTISECOND * u32::from(self.active_interval) + self.skew()
    }

    fn advertise(&mut self, now: Duration, priority: u8) -> Vec<u8> {
        self.due = Some(now + CENTISECOND * u32::from(self.config.interval));
        let (vrid, interval) = (self.config.vrid, self.config.interval);
        Advertisement { vrid, priority, interval, addresses: self.config.addresses.clone() }.encode()
    }

    fn back_up(&mut self, now: Duration, interval: u16) {
        (self.state, self.active_interval) = (State::Backup, interval);
        self.due = Some(now + self.down_interval());
    }

    /// Starts; what it returns is to be sent.
    pub fn start(&mut self, now: Duration) -> Option<Vec<u8>> {
        if self.config.priority == OWNER {
            self.state = State::Active;
            return Some(self.advertise(now, OWNER));
        }
        self.back_up(now, self.config.interval);
        None
    }

    /// A timer may have fired.
    pub fn tick(&mut self, now: Duration) -> Option<Vec<u8>> {
        self.due.filter(|due| *due <= now)?;
        self.state = State::Active;
        Some(self.advertise(now, self.config.priority))
    }

    /// Stops; an active router says so, and the others need not wait for its silence.
    pub fn stop(&mut self, now: Duration) -> Option<Vec<u8>> {
        let last = (self.state == State::Active).then(|| self.advertise(now, 0));
        (self.state, self.due) = (State::Initialize, None);
        last
    }

    /// A datagram from another router.
    ///
    /// # Errors
    /// Says why it was discarded.
    pub fn hear(
        &mut self,
        now: Duration,
        from: SocketAddr,
        bytes: &[u8],
    ) -> Result<Option<Vec<u8>>, &'static str> {
        let heard = Advertisement::decode(bytes)?;
        if heard.vrid != self.config.vrid {
            return Err("another virtual router");
        }
        if heard.interval == 0 {
            return Err("no interval");
        }
        if heard.priority == OWNER && self.config.priority == OWNER {
            return Err("two owners of the addresses");
        }
        let mine = self.config.priority;
        match self.state {
            State::Initialize => Ok(None),
            State::Backup if heard.priority == 0 => {
                self.due = Some(now + self.skew());
                Ok(None)
            }
            State::Backup => {
                if !self.config.preempt || heard.priority >= mine {
                    self.back_up(now, heard.interval);
                }
                Ok(None)
            }
            State::Active if heard.priority == 0 => Ok(Some(self.advertise(now, mine))),
            State::Active => {
                let higher = heard.priority > mine || (heard.priority == mine && from > self.me);
                if higher {
                    self.back_up(now, heard.interval);
                    return Ok(None);
                }
                Ok(Some(self.advertise(now, mine)))
            }
        }
    }
}
