//! Pages of records: many entries under one key.

/// Maximum number of pages in a write, if a transaction allows as many: five of the largest values seen (8 KiB)
/// would fill one.
pub const PAGES_PER_WRITE: usize = 4;

/// One in so many bytes of a value is left for the JSON around a page's entries and for size estimates that are
/// too low: 128 of the smallest value seen (2 KiB), several times what either takes.
pub const PAGE_MARGIN_DIVISOR: usize = 16;

/// One in so many bytes of a page must be free for new entries to go there, so that a write seldom needs two
/// pages.
pub const PAGE_MIN_FREE_DIVISOR: usize = 4;

/// Weight of a stale entry that would mislead a new leader after a crash, in entries that are merely no longer
/// needed: the record of a lost attempt keeps its task from running until its machine's lease expires.
pub const URGENT_ENTRY_WEIGHT: u32 = 16;

/// Milliseconds that a page may contain stale entries before it is rewritten for that alone.
pub const PAGE_REWRITE_DELAY_MS: u64 = 5_000;

/// Tasks of a job in an entry of completions: the largest entry, every other task done, takes half a KiB, so
/// that it fits a page of the smallest value ([`MIN_VALUE_KIB`](super::key_value::MIN_VALUE_KIB)). Entries read
/// from the store may span more.
pub const TASKS_PER_COMPLETIONS_ENTRY: u32 = 64;

/// Bytes that a record of an attempt takes in the key-value store, rounded up.
pub const ATTEMPT_RECORD_BYTES: usize = 80;
