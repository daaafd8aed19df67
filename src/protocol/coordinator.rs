//! Decoder for the coordinator's frames: numbered updates of the membership, that is, of the
//! exchanges with their states and addresses.

use std::net::{Ipv4Addr, SocketAddr};

/// Maximum frame length in bytes, without the length field.
pub const MAX_FRAME_BYTES: usize = 16 * 1024;
/// Size of a frame's header in bytes: the event number and the kind of frame.
const FRAME_HEADER_BYTES: usize = 9;
/// Size of one record in bytes.
const RECORD_BYTES: usize = 27;

/// The state of one exchange, as a frame reports it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Id of the exchange, such as `s-00c41f7a`.
    pub id: String,
    /// Address on which the exchange accepts connections.
    pub address: SocketAddr,
    /// State of the exchange: 0 ready, 1 draining, 2 gone.
    pub state: u8,
    /// Index into the list of zones in the settings.
    pub zone: u8,
    /// Number of the node that the exchange serves.
    pub node: u16,
    /// Time of the last start in Unix milliseconds, or 0 if the exchange started long ago.
    pub started_ms: u64,
}

/// One numbered event of the coordinator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame {
    /// Number of the event.
    pub event_number: u64,
    /// Update of the membership; `None` in a heartbeat frame.
    pub update: Option<MembershipRecords>,
}

/// An update of the membership, as the coordinator sends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MembershipRecords {
    /// Whether the records are the full membership, rather than changes to it.
    pub is_full: bool,
    /// The exchanges that the update reports.
    pub records: Vec<Record>,
}

/// Splits a byte stream into frames.
#[derive(Debug, Default)]
pub struct Decoder {
    bytes: Vec<u8>,
}

/// Returns the first bytes to send on a new connection: the number of the last event received.
pub fn hello(last_event: u64) -> [u8; 8] {
    last_event.to_be_bytes()
}

/// Reads a big-endian integer of up to eight bytes.
fn read_integer(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0, |n, b| n << 8 | u64::from(*b))
}

impl Decoder {
    /// Appends received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Returns the next frame, or `None` if it has not arrived completely.
    ///
    /// # Errors
    /// If the bytes are not a valid frame; the stream can't be decoded any further.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, &'static str> {
        if self.bytes.len() < 4 {
            return Ok(None);
        }
        let length = read_integer(&self.bytes[..4]) as usize;
        if !(FRAME_HEADER_BYTES..=MAX_FRAME_BYTES).contains(&length) {
            return Err("frame length out of range");
        }
        if self.bytes.len() < 4 + length {
            return Ok(None);
        }
        let frame: Vec<u8> = self.bytes.drain(..4 + length).skip(4).collect();
        let payload = &frame[FRAME_HEADER_BYTES..];
        let update = match frame[8] {
            0 => None,
            kind @ (1 | 2) if payload.len() % RECORD_BYTES == 0 => Some(MembershipRecords {
                is_full: kind == 1,
                records: payload.chunks_exact(RECORD_BYTES).map(decode_record).collect(),
            }),
            1 | 2 => return Err("frame ends inside a record"),
            _ => return Err("unknown frame kind"),
        };
        Ok(Some(Frame { event_number: read_integer(&frame[..8]), update }))
    }
}

/// Decodes a record: id (4 bytes), IPv4 address (4), port (2), state (1), zone (1), then at offset 13 the
/// node (2) and at offset 19 the start (8). The other bytes are not used.
fn decode_record(bytes: &[u8]) -> Record {
    let address = Ipv4Addr::from(read_integer(&bytes[4..8]) as u32);
    Record {
        id: format!("s-{:08x}", read_integer(&bytes[..4])),
        address: SocketAddr::from((address, read_integer(&bytes[8..10]) as u16)),
        state: bytes[10],
        zone: bytes[11],
        node: read_integer(&bytes[13..15]) as u16,
        started_ms: read_integer(&bytes[19..27]),
    }
}
