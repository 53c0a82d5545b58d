//! The key-value store ("state service" in the protocol): deadlines, retries, health, and the shares of its limits.

/// Milliseconds after which a request to the store counts as unanswered.
pub const KV_REQUEST_TIMEOUT_MS: u64 = 1_500;

/// Milliseconds without a response after which a write that somebody waits for is hedged, that is sent once
/// more: responses usually take 10 ms, and occasionally a few hundred.
pub const KV_HEDGE_DELAY_MS: u64 = 400;

/// Maximum milliseconds that a watch waits for a change: two waits and a lost response have to fit into the
/// time for which a controller may act without news of cancellations.
pub const WATCH_MAX_WAIT_MS: u64 = 10_000;

/// Milliseconds before a refused or unanswered request to the store is retried.
pub const KV_RETRY_DELAY_MS: u64 = 300;

/// Milliseconds between the response to a watch and the next watch: bounds the requests that a stream of
/// changes causes.
pub const WATCH_PAUSE_MS: u64 = 30;

/// Milliseconds without a response from the store after which a controller asks its peers whether they reach
/// it: longer than an ordinary slow response.
pub const KV_SUSPECT_AFTER_MS: u64 = 1_800;

/// Milliseconds between such requests to peers.
pub const PEER_HEALTH_QUERY_INTERVAL_MS: u64 = 1_000;

/// Milliseconds for which a peer's answer about the store is valid.
pub const PEER_HEALTH_VALIDITY_MS: u64 = 3_500;

/// Milliseconds without a response from the store, and without an answer from any peer, after which a
/// controller is not healthy.
pub const KV_UNHEALTHY_AFTER_MS: u64 = 5_000;

/// Milliseconds without a response from the store after which user requests are refused at once rather than
/// after a deadline.
pub const KV_FAIL_FAST_AFTER_MS: u64 = 2_500;

/// Share of the store's write limit that all partition owners together use for machines' records: these
/// writes must not wait, because no task is launched before its record is durable.
pub const ATTEMPT_RECORD_WRITE_SHARE: f64 = 0.5;

/// Share of the write limit that the leader uses for final states of jobs and for claims. A final state takes
/// two changes, and users wait for it.
pub const FINAL_WRITE_SHARE: f64 = 0.2;

/// Seconds of backlog of final states, at that share, from which on it is logged: users should see a final state
/// within three seconds (protocol).
pub const FINAL_WRITE_BACKLOG_S: f64 = 10.0;

/// Share of the write limit that the leader uses for pages of completions and of former epochs' records,
/// half of it for each. There are many entries to a page and nobody waits for them; with a share of their own
/// they cannot delay the final states of jobs.
pub const LEADER_PAGE_WRITE_SHARE: f64 = 0.2;

/// Share of the write limit that the leader uses to split submission batches into a key for each job.
pub const SUBMISSION_BATCH_WRITE_SHARE: f64 = 0.4;

/// Share of the write limit that one controller uses for submissions and cancellations. They come in
/// bursts at one controller or another; a 429 corrects what is too much together.
pub const USER_WRITE_SHARE: f64 = 0.3;

/// Share of the store's request limit that one controller uses for users' reads. Three controllers use three
/// quarters; watches, lease renewals, reads of the control keys and writes have the rest.
pub const USER_READ_SHARE: f64 = 0.25;

/// Milliseconds for which the store's write limit counts as used up after it has refused a write.
pub const THROTTLE_AFTER_REFUSED_WRITE_MS: u64 = 10_000;

/// Milliseconds between two writes of pages of one kind meanwhile: short compared with the time that launches
/// take anyway, and a third of the changes that the share of records would allow at the limits seen.
pub const THROTTLED_PAGE_WRITE_INTERVAL_MS: u64 = 250;

/// Maximum bytes of a transaction, below the store's limit of 64 KiB.
pub const MAX_TRANSACTION_BYTES: usize = 48 * 1024;

/// Maximum number of keys in a page of the store's listing (protocol).
pub const KV_LIST_PAGE_KEYS: usize = 1_000;

/// Requests a second to the store that a controller needs to keep its lease and its epoch: a renewal and a read
/// of the control keys.
pub const MIN_KV_REQUESTS_PER_S: f64 = 2.0;

/// Minimum limit of changes in a transaction that the service can work with: closing a job deletes one key
/// and writes another.
pub const MIN_TRANSACTION_CHANGES: usize = 2;

/// Minimum limit of a value that the service can work with, KiB: a job's description, or a page of a record or two.
pub const MIN_VALUE_KIB: f64 = 1.0;

/// Reads of final states that a new leader has in flight while it loads: one for each job that is on record and
/// not open. They use only some of the connections to the store, since other requests need the rest.
pub const MAX_FINAL_STATE_LOADS_IN_FLIGHT: usize = 8;
