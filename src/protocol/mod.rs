//! Protocol codecs and state machines. They take bytes and the current time as input and do no I/O.

pub mod coordinator;
pub mod dns;
pub mod jsonl;
pub mod sip;
pub mod vrrp;
