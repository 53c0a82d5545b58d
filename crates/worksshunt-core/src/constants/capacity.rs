//! Memory and sockets: how many exchanges and connections a controller has at a time.

/// Bytes that an exchange takes while it is under way: a request that waits for its answer, or a call.
pub const EXCHANGE_BYTES: usize = 20_000;

/// Share of the memory for exchanges of one kind: direct orders under way, or users' requests that wait for
/// the state service. Both together leave three quarters to what is kept.
pub const EXCHANGE_MEMORY_SHARE: f64 = 0.125;

/// Exchanges of one kind there may be in any case, 10 MB: when many machines hang together, each order is given
/// up only at its deadline. The rest goes with the answers to reports, and users are refused at once.
pub const MIN_EXCHANGES: usize = 512;

/// Milliseconds of pause after a connection could not be accepted: out of sockets, most likely, so
/// connections need time to close.
pub const ACCEPT_RETRY_MS: u64 = 20;

/// Report intervals without a request after which a connection is closed: its worker has died, was cut
/// off or reports to another controller.
pub const IDLE_HEARTBEAT_INTERVALS: f64 = 4.0;

/// Milliseconds that a connection may be idle in any case: users ask every 5 s.
pub const MIN_IDLE_CONNECTION_MS: u64 = 20_000;

/// Connections to the state service: the long watch, the batch under way, renewal, control read,
/// and room for users' reads.
pub const KV_CONNECTIONS: usize = 16;

/// Connections to the cloud: list, rental, return, catalogue.
pub const CLOUD_CONNECTIONS: usize = 4;

/// Connections taken from peers: each has one or two, and may leave dead ones behind.
pub const PEER_CONNECTIONS: usize = 16;

/// Sockets kept back from users and workers: the above, both listeners, the clients of the peers.
pub const RESERVED_SOCKETS: usize = KV_CONNECTIONS + CLOUD_CONNECTIONS + PEER_CONNECTIONS + 12;

/// One in so many of the other sockets may be a connection to a worker.
pub const WORKER_CONNECTION_DIVISOR: usize = 4;

/// One in so many of the connections of users and workers is left free: beyond that a connection is closed
/// after each answer, so that more clients than there are connections share them.
pub const SPARE_CONNECTION_DIVISOR: usize = 8;

/// Milliseconds between two lines of the log that tell how connections compare with their limit.
pub const CONNECTION_LOG_INTERVAL_MS: u64 = 60_000;

/// The fewest sockets it can work with: its own, and some for others.
pub const MIN_SOCKETS: usize = 64;
