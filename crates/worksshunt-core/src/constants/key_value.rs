//! The key-value store: deadlines, retries, health, and the shares of its limits.

/// Milliseconds after which a state service request counts as unanswered.
pub const KV_DEADLINE_MS: u64 = 1_500;

/// Milliseconds without an answer after which a write that somebody waits for is sent once more: answers
/// usually take 10 ms, and now and then one takes a few hundred.
pub const KV_HEDGE_AFTER_MS: u64 = 400;

/// Milliseconds a watch waits for a change, at the most: two waits, and an answer that is missed, have to
/// pass within the time for which a controller may act without having heard what was cancelled.
pub const WATCH_MAX_WAIT_MS: u64 = 10_000;

/// Milliseconds to wait before a refused or unanswered state service request is repeated.
pub const KV_RETRY_MS: u64 = 300;

/// Milliseconds between the answer of a watch and the next one: bounds the requests that a stream of
/// changes causes.
pub const WATCH_PAUSE_MS: u64 = 30;

/// Milliseconds without an answer of the state service after which a controller asks its peers
/// whether they are better off: longer than an ordinary slow answer.
pub const KV_SUSPECT_AFTER_MS: u64 = 1_800;

/// Milliseconds between such questions.
pub const PEER_HEALTH_INTERVAL_MS: u64 = 1_000;

/// Milliseconds a peer's word on the state service counts.
pub const PEER_HEALTH_VALID_MS: u64 = 3_500;

/// Milliseconds without an answer of the state service, nor a word from any peer, after which a
/// controller is not healthy.
pub const KV_UNHEALTHY_AFTER_MS: u64 = 5_000;

/// Milliseconds without an answer of the state service after which user requests are refused at
/// once rather than after a deadline.
pub const KV_SILENT_AFTER_MS: u64 = 2_500;

/// Share of the state service's write limit that all owners together use for machines' records: the
/// part that must not wait, because nothing is launched before it.
pub const RECORD_WRITE_SHARE: f64 = 0.5;

/// Share of the write limit that the leader uses for ends of jobs and claims. A job's end takes two
/// changes, and users wait for it.
pub const FINAL_WRITE_SHARE: f64 = 0.2;

/// Seconds that their share takes to write the ends that wait, from which on the log tells of it: users are told
/// of an end within three seconds where it can be helped (protocol).
pub const FINAL_WRITE_BACKLOG_S: f64 = 10.0;

/// Share of the write limit that the leader uses for pages of completions and of former epochs' records,
/// half of it for each. They are many to a page and nobody waits for them; with a share of their own
/// they cannot keep the ends of jobs from theirs.
pub const LEADER_PAGE_WRITE_SHARE: f64 = 0.2;

/// Share of the write limit that the leader uses to give jobs taken in together keys of their own.
pub const SUBMISSION_BATCH_WRITE_SHARE: f64 = 0.4;

/// Share of the write limit that one controller uses for submissions and cancellations. They come in
/// bursts at one controller or another; a 429 corrects what is too much together.
pub const USER_WRITE_SHARE: f64 = 0.3;

/// Share of the state service's request limit that one controller uses for users' questions. Three
/// use three quarters; watches, renewals, control reads and writes have the rest.
pub const USER_READ_SHARE: f64 = 0.25;

/// Milliseconds for which the state service's limit counts as used up after it has refused a write.
pub const WRITE_REFUSAL_MEMORY_MS: u64 = 10_000;

/// Milliseconds between two writes of pages of one kind while it does: little beside what launches take anyway,
/// and a third of the changes that the share of records would allow at the limits seen.
pub const THROTTLED_PAGE_WRITE_INTERVAL_MS: u64 = 250;

/// Bytes of one transaction, kept below the state service's 64 KiB.
pub const MAX_TRANSACTION_BYTES: usize = 48 * 1024;

/// Keys in one page of the state service's listing (protocol).
pub const KV_LIST_PAGE_KEYS: usize = 1_000;

/// Requests a second that a controller needs of the state service to keep its lease and its epoch: a renewal and
/// a read of the control keys.
pub const MIN_KV_REQUESTS_PER_S: f64 = 2.0;

/// The fewest changes in a transaction the service can work with: a job's end removes one key and
/// writes another.
pub const MIN_TRANSACTION_CHANGES: usize = 2;

/// The smallest value the service can work with, KiB: a job's description, and a record or two to a page.
pub const MIN_VALUE_KIB: f64 = 1.0;

/// Final states that a new leader reads at a time before it begins: one for each job that is on record and not
/// open. Some of the connections to the state service, which others use meanwhile.
pub const FINAL_STATE_LOADS_IN_FLIGHT: usize = 8;
