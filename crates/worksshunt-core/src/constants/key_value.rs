//! The key-value store ("state service" in the protocol): timeouts, retries, health, and shares of its limits.

/// Timeout of a request to the store, milliseconds.
pub const KV_REQUEST_TIMEOUT_MS: u64 = 1_500;

/// Milliseconds without a response after which a write that blocks other work is hedged, that is sent a second time:
/// several times the latency of a usual response. Responses usually take 10 ms, and occasionally a few hundred.
pub const KV_HEDGE_DELAY_MS: u64 = 400;

/// Maximum wait of a watch request, milliseconds. Two waits and a lost response must fit into the time for which a
/// controller may act without updates on cancellations.
pub const WATCH_MAX_WAIT_MS: u64 = 10_000;

/// Delay before a refused or unanswered request to the store is retried, milliseconds.
pub const KV_RETRY_DELAY_MS: u64 = 300;

/// Delay between a watch response and the next watch request, milliseconds: limits the request rate under a stream of
/// changes.
pub const WATCH_PAUSE_MS: u64 = 30;

/// Milliseconds without a response from the store after which a controller asks its peers whether they reach it: longer
/// than a slow response.
pub const KV_UNREACHABLE_AFTER_MS: u64 = 1_800;

/// Interval of these queries to peers, milliseconds.
pub const PEER_HEALTH_QUERY_INTERVAL_MS: u64 = 1_000;

/// Milliseconds for which a peer's answer about the store is valid.
pub const PEER_HEALTH_VALIDITY_MS: u64 = 3_500;

/// Milliseconds without a response from the store and without an answer from any peer after which a controller is
/// unhealthy.
pub const KV_UNHEALTHY_AFTER_MS: u64 = 5_000;

/// Milliseconds without a response from the store after which user requests are refused at once instead of after a
/// timeout.
pub const KV_UNRESPONSIVE_AFTER_MS: u64 = 2_500;

/// Share of the store's write limit for attempt records, for all partition owners together. No task is launched before
/// its record is durable, so these writes must not wait.
pub const ATTEMPT_RECORD_WRITE_SHARE: f64 = 0.5;

/// Share of the write limit for final job states and claims. A final state takes two changes, and users wait for it.
pub const FINAL_WRITE_SHARE: f64 = 0.2;

/// Backlog of final states that is logged, in seconds of writes at [`FINAL_WRITE_SHARE`]. Users should see a final
/// state within three seconds (protocol).
pub const FINAL_WRITE_BACKLOG_S: f64 = 10.0;

/// Share of the write limit for the leader's pages: half for completions, half for attempt records of previous epochs.
/// A separate share keeps them from delaying final job states.
pub const LEADER_PAGE_WRITE_SHARE: f64 = 0.2;

/// Share of the write limit for splitting submission batches into one key per job.
pub const SUBMISSION_BATCH_WRITE_SHARE: f64 = 0.4;

/// Share of the write limit that each controller uses for submissions and cancellations. If the controllers together
/// exceed the limit, the store answers 429 and they retry.
pub const USER_WRITE_SHARE: f64 = 0.3;

/// Share of the store's request limit that each controller uses for user reads. Three controllers leave a quarter for
/// watches, lease renewals, control keys and writes.
pub const USER_READ_SHARE: f64 = 0.25;

/// Milliseconds after a refused write for which the write limit counts as exhausted.
pub const THROTTLE_AFTER_REFUSED_WRITE_MS: u64 = 10_000;

/// Minimum interval of page writes of one kind while the write limit counts as exhausted, milliseconds: short compared
/// with the time that a launch takes.
pub const THROTTLED_PAGE_WRITE_INTERVAL_MS: u64 = 250;

/// Maximum size of a transaction, bytes: below the store's limit of 64 KiB.
pub const MAX_TRANSACTION_BYTES: usize = 48 * 1024;

/// Maximum number of keys in a page of a listing (protocol).
pub const KV_LIST_PAGE_KEYS: usize = 1_000;

/// Minimum request limit of the store, requests per second: a lease renewal and a read of the control keys.
pub const MIN_KV_REQUESTS_PER_S: f64 = 2.0;

/// Minimum limit of changes per transaction: closing a job deletes one key and writes another.
pub const MIN_TRANSACTION_CHANGES: usize = 2;

/// Minimum limit of the size of a value, KiB: a job specification, or a page with one or two records.
pub const MIN_VALUE_KIB: f64 = 1.0;

/// Maximum number of final states that a new leader reads at a time while it loads. It reads one for each job that has
/// records and is not open; other requests need the remaining connections.
pub const MAX_FINAL_STATE_LOADS_IN_FLIGHT: usize = 8;
