//! Sockets, connections and timers, and the front ends that connect the protocols to the core.

pub mod client_connections;
pub mod connection;
pub mod coordinator_client;
pub mod enumeration;
pub mod exchange_pool;
pub mod platform;
pub mod sockets;
pub mod standby;
