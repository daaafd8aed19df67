//! How the memory limit of the router is divided among clients and exchanges.

use super::budget::BudgetLimits;

/// Part of the memory limit for open requests and for the answers to them that are not written yet. The rest is
/// for buffers, for established calls, for ids that are remembered, and for the connections themselves.
const REQUEST_DIVISOR: usize = 2;
/// Part of the requests' memory that is reserved for the client connections, in equal parts.
const REQUEST_RESERVE_DIVISOR: usize = 4;
/// Smallest reserve of a client connection for its requests, if the memory allows it: a message of the largest
/// size.
const MIN_REQUEST_RESERVE: usize = 16 * 1024 + REQUEST_OVERHEAD;
/// Largest reserve of a client connection for its requests: two messages of the largest size.
const MAX_REQUEST_RESERVE: usize = 2 * MIN_REQUEST_RESERVE;
/// Largest part of the requests' memory that is reserved.
const MAX_REQUEST_RESERVE_DIVISOR: usize = 2;
/// Part of the requests' memory that is left to clients which are known to serve calls.
const PREFERRED_REQUEST_DIVISOR: usize = 4;
/// A client connection may have this multiple of the memory that is free for requests.
const REQUEST_FREE_MULTIPLE: usize = 2;
/// Part of the memory limit for the buffers of client connections beyond their reserves: incomplete messages,
/// and answers that are owed to no open request.
const CLIENT_BUFFER_DIVISOR: usize = 12;
/// Part of the memory limit that is reserved for these buffers, in equal parts.
const CLIENT_BUFFER_RESERVE_DIVISOR: usize = 8;
/// Largest reserve of a client connection for its buffers.
const MAX_CLIENT_BUFFER_RESERVE: usize = 48 * 1024;
/// A client connection may have this multiple of the memory that is free for buffers.
const CLIENT_BUFFER_FREE_MULTIPLE: usize = 2;
/// Part of the memory limit for bytes that wait to be written to exchanges, beyond the reserves.
const EXCHANGE_DIVISOR: usize = 12;
/// Part of the memory limit that is reserved for each connection to an exchange.
const EXCHANGE_RESERVE_DIVISOR: usize = 768;
/// A connection to an exchange may have this multiple of the memory that is free.
const EXCHANGE_FREE_MULTIPLE: usize = 4;

/// Number of open requests that all clients together may have, beyond their reserves. The platform's limit is
/// 20,000; the difference stays free while a few clients hold as many as they may.
const MAX_OPEN_REQUESTS: usize = 22_000;
/// Number of further open requests of clients that are known to serve calls.
const MAX_PREFERRED_REQUESTS: usize = 4000;
/// Number of open requests that a client connection may have in any case.
const RESERVED_REQUESTS: usize = 16;

/// Memory in bytes that an open request takes beside its text: its records in the front end, the core and the
/// controller, its timers, and its entries in tables.
pub const REQUEST_OVERHEAD: usize = 1536;

/// Limits on the open requests of all client connections together.
pub const OPEN_REQUESTS: BudgetLimits = BudgetLimits {
    shared: MAX_OPEN_REQUESTS + MAX_PREFERRED_REQUESTS,
    preferred: MAX_PREFERRED_REQUESTS,
    reserve_per_holder: RESERVED_REQUESTS,
    free_multiple: 1,
};

/// Returns the limits, in bytes, on the open requests of `max_connections` client connections and on the
/// answers to them.
pub fn request_memory(memory_limit: usize, max_connections: usize) -> BudgetLimits {
    let total = memory_limit / REQUEST_DIVISOR;
    let equal_part = total / max_connections.max(1);
    let reserve = (equal_part / REQUEST_RESERVE_DIVISOR)
        .clamp(MIN_REQUEST_RESERVE, MAX_REQUEST_RESERVE)
        .min(equal_part / MAX_REQUEST_RESERVE_DIVISOR);
    BudgetLimits {
        shared: shared_request_memory(memory_limit, max_connections, reserve),
        preferred: total / PREFERRED_REQUEST_DIVISOR,
        reserve_per_holder: reserve,
        free_multiple: REQUEST_FREE_MULTIPLE,
    }
}

/// Returns the memory in bytes that the open requests of `max_connections` client connections share, if each of
/// them has this reserve.
pub fn shared_request_memory(memory_limit: usize, max_connections: usize, reserve: usize) -> usize {
    (memory_limit / REQUEST_DIVISOR).saturating_sub(reserve * max_connections)
}

/// Returns the limits, in bytes, on the buffers of `max_connections` client connections.
pub fn client_buffer_memory(memory_limit: usize, max_connections: usize) -> BudgetLimits {
    let reserve = memory_limit / CLIENT_BUFFER_RESERVE_DIVISOR / max_connections.max(1);
    BudgetLimits {
        shared: memory_limit / CLIENT_BUFFER_DIVISOR,
        preferred: 0,
        reserve_per_holder: reserve.min(MAX_CLIENT_BUFFER_RESERVE),
        free_multiple: CLIENT_BUFFER_FREE_MULTIPLE,
    }
}

/// Returns the limits, in bytes, on what waits to be written to exchanges and to the coordinator.
pub fn exchange_memory(memory_limit: usize) -> BudgetLimits {
    BudgetLimits {
        shared: memory_limit / EXCHANGE_DIVISOR,
        preferred: 0,
        reserve_per_holder: memory_limit / EXCHANGE_RESERVE_DIVISOR,
        free_multiple: EXCHANGE_FREE_MULTIPLE,
    }
}
