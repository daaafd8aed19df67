//! VRRP version 3 (RFC 9568), with the advertisements carried over UDP.
//!
//! Socket addresses are compared where the RFC compares primary IPv4 addresses. The check of the IP time to
//! live is omitted, because it has no meaning over UDP.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Priority of the router that owns the addresses.
const OWNER_PRIORITY: u8 = 255;
/// Size in bytes of an advertisement without its addresses.
const HEADER_BYTES: usize = 8;
const CENTISECOND: Duration = Duration::from_millis(10);

/// Configuration of a virtual router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    /// Virtual router identifier (VRID), 1 to 255.
    pub vrid: u8,
    /// Priority, 1 to 254, or 255 for the owner of the addresses.
    pub priority: u8,
    /// Advertisement interval in centiseconds, 1 to 4095.
    pub interval_cs: u16,
    /// Whether a backup takes over from an active router of lower priority.
    pub preempt: bool,
    /// Addresses of the virtual router.
    pub addresses: Vec<Ipv4Addr>,
}

/// State of a virtual router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// Not started, or stopped.
    Initialize,
    /// Ready to take over from the active router.
    Backup,
    /// Responsible for the addresses of the virtual router.
    Active,
}

/// An advertisement message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Advertisement {
    /// Virtual router identifier (VRID).
    pub vrid: u8,
    /// Priority of the sender; 0 if it stops taking part.
    pub priority: u8,
    /// Advertisement interval of the sender in centiseconds.
    pub interval_cs: u16,
    /// Addresses of the virtual router.
    pub addresses: Vec<Ipv4Addr>,
}

/// Returns the Internet checksum (RFC 1071).
fn checksum(bytes: &[u8]) -> u16 {
    let word = |pair: &[u8]| u32::from(pair[0]) << 8 | u32::from(pair.get(1).copied().unwrap_or(0));
    let mut sum: u32 = bytes.chunks(2).map(word).sum();
    while sum > 0xffff {
        sum = (sum & 0xffff) + (sum >> 16);
    }
    !(sum as u16)
}

impl Advertisement {
    /// Encodes the advertisement (RFC 9568, section 5.1).
    pub fn encode(&self) -> Vec<u8> {
        // 0x31: version 3, type 1 (advertisement).
        let mut out = vec![0x31, self.vrid, self.priority, self.addresses.len() as u8];
        out.extend((self.interval_cs & 0x0fff).to_be_bytes());
        out.extend([0, 0]);
        self.addresses.iter().for_each(|a| out.extend(a.octets()));
        let sum = checksum(&out);
        out[6..8].copy_from_slice(&sum.to_be_bytes());
        out
    }

    /// Decodes and checks an advertisement (RFC 9568, section 7.1).
    ///
    /// # Errors
    /// Names the check that failed.
    pub fn decode(bytes: &[u8]) -> Result<Self, &'static str> {
        if bytes.len() < HEADER_BYTES {
            return Err("too short");
        }
        if bytes[0] >> 4 != 3 {
            return Err("not version 3");
        }
        if bytes[0] & 15 != 1 {
            return Err("no advertisement");
        }
        let count = usize::from(bytes[3]);
        if count == 0 || bytes.len() != HEADER_BYTES + 4 * count {
            return Err("wrong number of addresses");
        }
        if checksum(bytes) != 0 {
            return Err("wrong checksum");
        }
        let address = |b: &[u8]| Ipv4Addr::new(b[0], b[1], b[2], b[3]);
        Ok(Self {
            vrid: bytes[1],
            priority: bytes[2],
            interval_cs: u16::from_be_bytes([bytes[4] & 15, bytes[5]]),
            addresses: bytes[HEADER_BYTES..].chunks_exact(4).map(address).collect(),
        })
    }
}

/// The state machine of one virtual router (RFC 9568, section 6.4). Every method that may act takes the
/// current time.
#[derive(Debug)]
pub struct Router {
    config: Config,
    local_address: SocketAddr,
    state: State,
    /// Advertisement interval of the active router in centiseconds.
    active_interval_cs: u16,
    /// Expiry of the advertisement timer when active, of the active-down timer in backup.
    timer_expiry: Option<Duration>,
}

impl Router {
    /// Creates a router that has not started.
    pub fn new(config: Config, local_address: SocketAddr) -> Self {
        let active_interval_cs = config.interval_cs;
        Self { config, local_address, state: State::Initialize, active_interval_cs, timer_expiry: None }
    }

    /// Returns the current state.
    pub fn state(&self) -> State {
        self.state
    }

    /// Applies a new priority, interval and preemption mode. The state and the timer are kept: an active
    /// router stays active, and its next advertisement carries the change.
    pub fn reload(&mut self, config: &Config) {
        let Config { priority, interval_cs, preempt, .. } = *config;
        let (vrid, addresses) = (self.config.vrid, std::mem::take(&mut self.config.addresses));
        self.config = Config { vrid, priority, interval_cs, preempt, addresses };
    }

    /// Returns the time at which [`Router::on_timer`] must be called.
    pub fn next_due(&self) -> Option<Duration> {
        self.timer_expiry
    }

    /// Returns Skew_Time (RFC 9568, section 6.1).
    fn skew_time(&self) -> Duration {
        CENTISECOND * u32::from(self.active_interval_cs) * (256 - u32::from(self.config.priority)) / 256
    }

    /// Returns Active_Down_Interval (RFC 9568, section 6.1).
    fn active_down_interval(&self) -> Duration {
        3 * CENTISECOND * u32::from(self.active_interval_cs) + self.skew_time()
    }

    /// Returns an encoded advertisement and restarts the advertisement timer.
    fn advertise(&mut self, now: Duration, priority: u8) -> Vec<u8> {
        self.timer_expiry = Some(now + CENTISECOND * u32::from(self.config.interval_cs));
        let (vrid, interval_cs) = (self.config.vrid, self.config.interval_cs);
        Advertisement { vrid, priority, interval_cs, addresses: self.config.addresses.clone() }.encode()
    }

    /// Enters the Backup state, or stays in it, and restarts the active-down timer.
    fn become_backup(&mut self, now: Duration, interval_cs: u16) {
        (self.state, self.active_interval_cs) = (State::Backup, interval_cs);
        self.timer_expiry = Some(now + self.active_down_interval());
    }

    /// Starts the router; returns an advertisement to send, if any.
    pub fn start(&mut self, now: Duration) -> Option<Vec<u8>> {
        if self.config.priority == OWNER_PRIORITY {
            self.state = State::Active;
            return Some(self.advertise(now, OWNER_PRIORITY));
        }
        self.become_backup(now, self.config.interval_cs);
        None
    }

    /// Handles the timer if it has expired; returns an advertisement to send, if any.
    pub fn on_timer(&mut self, now: Duration) -> Option<Vec<u8>> {
        self.timer_expiry.filter(|expiry| *expiry <= now)?;
        self.state = State::Active;
        Some(self.advertise(now, self.config.priority))
    }

    /// Stops the router. An active router returns a last advertisement with priority 0, so that a backup
    /// takes over without waiting for the active-down timer.
    pub fn stop(&mut self, now: Duration) -> Option<Vec<u8>> {
        let final_advertisement = (self.state == State::Active).then(|| self.advertise(now, 0));
        (self.state, self.timer_expiry) = (State::Initialize, None);
        final_advertisement
    }

    /// Handles a datagram from another router; returns an advertisement to send, if any.
    ///
    /// # Errors
    /// Names the reason for which the datagram was discarded.
    pub fn receive(
        &mut self,
        now: Duration,
        from: SocketAddr,
        bytes: &[u8],
    ) -> Result<Option<Vec<u8>>, &'static str> {
        let received = Advertisement::decode(bytes)?;
        if received.vrid != self.config.vrid {
            return Err("another virtual router");
        }
        if received.interval_cs == 0 {
            return Err("advertisement interval is 0");
        }
        if received.priority == OWNER_PRIORITY && self.config.priority == OWNER_PRIORITY {
            return Err("two owners of the addresses");
        }
        let own_priority = self.config.priority;
        match self.state {
            State::Initialize => Ok(None),
            State::Backup if received.priority == 0 => {
                self.timer_expiry = Some(now + self.skew_time());
                Ok(None)
            }
            State::Backup => {
                if !self.config.preempt || received.priority >= own_priority {
                    self.become_backup(now, received.interval_cs);
                }
                Ok(None)
            }
            State::Active if received.priority == 0 => Ok(Some(self.advertise(now, own_priority))),
            State::Active => {
                let has_precedence = received.priority > own_priority
                    || (received.priority == own_priority && from > self.local_address);
                if has_precedence {
                    self.become_backup(now, received.interval_cs);
                    return Ok(None);
                }
                Ok(Some(self.advertise(now, own_priority)))
            }
        }
    }
}
