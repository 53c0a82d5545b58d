//! Memory and sockets: limits on a controller's requests in flight and connections.

/// Memory of a request in flight, bytes: an incoming request without a response, or an outgoing call.
pub const IN_FLIGHT_REQUEST_BYTES: usize = 20_000;

/// Share of the process memory for requests in flight, for direct commands and for user requests each. Both leave three
/// quarters to the state of the controller.
pub const IN_FLIGHT_REQUEST_MEMORY_SHARE: f64 = 0.125;

/// Lower bound of the limit of requests in flight of each kind. Direct commands above the limit are delivered with
/// heartbeat responses; user requests above it are refused at once. This many requests
/// take 10 MB. When many machines hang at the same time, each direct command is given up only at its timeout.
pub const MIN_IN_FLIGHT_REQUEST_LIMIT: usize = 512;

/// Delay before the listener accepts again after an accept error, milliseconds. The usual cause is a lack of sockets,
/// so connections need time to close.
pub const ACCEPT_RETRY_DELAY_MS: u64 = 20;

/// Idle timeout of a connection, in heartbeat intervals. A worker that sends nothing for longer has failed or has
/// switched to another controller.
pub const IDLE_CONNECTION_HEARTBEAT_INTERVALS: f64 = 4.0;

/// Minimum idle timeout of a connection, milliseconds: longer than the 5 s between two polls of a user.
pub const MIN_IDLE_CONNECTION_TIMEOUT_MS: u64 = 20_000;

/// Connections to the key-value store, for the watch, writes, lease renewals, control keys and user reads.
pub const KV_CONNECTIONS: usize = 16;

/// Connections to the cloud, for the machine list, provisioning, releases and the catalog.
pub const CLOUD_CONNECTIONS: usize = 4;

/// Connections accepted from peers: one or two from each peer, and some that are dead but not yet closed.
pub const PEER_CONNECTIONS: usize = 16;

/// Sockets that users and workers cannot use: the connections above, both listeners and the connections to peers.
pub const RESERVED_SOCKETS: usize = KV_CONNECTIONS + CLOUD_CONNECTIONS + PEER_CONNECTIONS + 12;

/// Inverse of the share of the unreserved sockets for connections to workers.
pub const WORKER_CONNECTION_DIVISOR: usize = 4;

/// Inverse of the share of user and worker connections that stays free. When fewer are free, each connection is closed
/// after its response, so that more clients than connections can be served.
pub const SPARE_CONNECTION_DIVISOR: usize = 8;

/// Interval of the log line that compares the connections with their limit, milliseconds.
pub const CONNECTION_LOG_INTERVAL_MS: u64 = 60_000;

/// Minimum socket limit of the process: the reserved sockets and some for users and workers.
pub const MIN_SOCKETS: usize = 64;
