//! What is spoken on the wire. Each protocol is a state machine that is fed bytes (and time) and knows
//! no socket; [`driver`] and the fronts do the reading and writing.

pub mod callers;
pub mod coordinator;
pub mod dns;
pub mod driver;
pub mod enumeration;
pub mod jsonl;
pub mod link;
pub mod platform;
pub mod sip;
pub mod sockets;
pub mod standby;
pub mod vrrp;
