//! The coordinator's frames: numbered news of the list of booking exchanges.

use std::net::{Ipv4Addr, SocketAddr};

/// Largest frame taken.
pub const MAX_FRAME_BYTES: usize = 16 * 1024;
const RECORD: usize = 27;

/// One record of a frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// The exchange's id, as text.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// 0 ready, 1 draining, 2 gone.
    pub state: u8,
    /// Place in the settings' list of zones.
    pub zone: u8,
    /// Number of the exchange.
    pub node: u16,
    /// Unix milliseconds of a late start, or 0.
    pub started_ms: u64,
}

/// A frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame {
    /// The event's number.
    pub event_number: u64,
    /// What it says; `None`: nothing new.
    pub update: Option<ListUpdate>,
}

/// News of the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListUpdate {
    /// The whole list, not changes only.
    pub is_full_list: bool,
    /// Its records.
    pub records: Vec<Record>,
}

/// Cuts a stream of bytes into frames.
#[derive(Debug, Default)]
pub struct Decoder {
    bytes: Vec<u8>,
}

/// The first bytes on a new connection: the number of the last event held.
pub fn hello(last: u64) -> [u8; 8] {
    last.to_be_bytes()
}

fn number(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0, |n, b| n << 8 | u64::from(*b))
}

impl Decoder {
    /// Takes what was read.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// The next whole frame, if there is one.
    ///
    /// # Errors
    /// When the bytes are no frame; the connection is then of no more use.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, &'static str> {
        if self.bytes.len() < 4 {
            return Ok(None);
        }
        let length = number(&self.bytes[..4]) as usize;
        if !(9..=MAX_FRAME_BYTES).contains(&length) {
            return Err("frame of a wrong length");
        }
        if self.bytes.len() < 4 + length {
            return Ok(None);
        }
        let frame: Vec<u8> = self.bytes.drain(..4 + length).skip(4).collect();
        let payload = &frame[9..];
        let update = match frame[8] {
            0 => None,
            kind @ (1 | 2) if payload.len() % RECORD == 0 => Some(ListUpdate {
                is_full_list: kind == 1,
                records: payload.chunks_exact(RECORD).map(record).collect(),
            }),
            1 | 2 => return Err("frame with a part of a record"),
            _ => return Err("frame of an unknown kind"),
        };
        Ok(Some(Frame { event_number: number(&frame[..8]), update }))
    }
}

fn record(bytes: &[u8]) -> Record {
    let address = Ipv4Addr::from(number(&bytes[4..8]) as u32);
    Record {
        id: format!("s-{:08x}", number(&bytes[..4])),
        address: SocketAddr::from((address, number(&bytes[8..10]) as u16)),
        state: bytes[10],
        zone: bytes[11],
        node: number(&bytes[13..15]) as u16,
        started_ms: number(&bytes[19..27]),
    }
}
