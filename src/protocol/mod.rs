//! The protocols, each a state machine that is fed bytes and time and knows no socket.

pub mod coordinator;
pub mod dns;
pub mod jsonl;
pub mod sip;
pub mod vrrp;
