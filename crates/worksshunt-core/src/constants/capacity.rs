//! Memory and sockets: limits on the requests in flight and the connections of a controller.

/// Bytes of memory that an exchange takes while it is in flight: a request that waits for its response, or a call.
pub const IN_FLIGHT_REQUEST_BYTES: usize = 20_000;

/// Share of the memory for exchanges of one kind: direct commands in flight, or users' requests that wait for
/// the key-value store. Both together leave three quarters to the controller's state.
pub const IN_FLIGHT_REQUEST_MEMORY_SHARE: f64 = 0.125;

/// Exchanges of one kind that are allowed in any case, 10 MB: when many machines hang at the same time, each
/// direct command is given up only at its deadline. Commands beyond the limit go with the responses to
/// heartbeats, and users' requests beyond it are refused at once.
pub const MIN_IN_FLIGHT_REQUEST_LIMIT: usize = 512;

/// Milliseconds without accepting after a connection could not be accepted: most likely the process is out of
/// sockets, so connections need time to close.
pub const ACCEPT_RETRY_DELAY_MS: u64 = 20;

/// Heartbeat intervals without a request after which a connection is closed: its worker has died, was cut
/// off or sends its heartbeats to another controller.
pub const IDLE_CONNECTION_HEARTBEAT_INTERVALS: f64 = 4.0;

/// Milliseconds that a connection may be idle in any case: users poll every 5 s.
pub const MIN_IDLE_CONNECTION_TIMEOUT_MS: u64 = 20_000;

/// Connections to the key-value store: the long watch, the batch in flight, lease renewal, the read of the
/// control keys, and some for users' reads.
pub const KV_CONNECTIONS: usize = 16;

/// Connections to the cloud: machine list, provisioning, release, catalogue.
pub const CLOUD_CONNECTIONS: usize = 4;

/// Connections accepted from peers: each has one or two, and may leave dead ones behind.
pub const PEER_CONNECTIONS: usize = 16;

/// Sockets that users and workers cannot use: the above, both listeners, the client connections to peers.
pub const RESERVED_SOCKETS: usize = KV_CONNECTIONS + CLOUD_CONNECTIONS + PEER_CONNECTIONS + 12;

/// One in so many of the other sockets may be a connection to a worker.
pub const WORKER_CONNECTION_DIVISOR: usize = 4;

/// One in so many of the connections of users and workers is left free: beyond that a connection is closed
/// after each response, so that more clients than there are connections share them.
pub const SPARE_CONNECTION_DIVISOR: usize = 8;

/// Milliseconds between two log lines that compare the connections with their limit.
pub const CONNECTION_LOG_INTERVAL_MS: u64 = 60_000;

/// Minimum number of sockets that the service can work with: those it reserves, and some for users and workers.
pub const MIN_SOCKETS: usize = 64;
