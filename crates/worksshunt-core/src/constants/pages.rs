//! Pages of records: many entries under one key.

/// Pages in one write, if a transaction takes as many: five of the largest values seen (8 KiB) would fill
/// one.
pub const PAGES_PER_WRITE: usize = 4;

/// One in so many bytes of a value is left for a page's frame and for estimates of its entries that
/// are too low: 128 of the smallest value seen (2 KiB), several times what either takes.
pub const PAGE_MARGIN_DIVISOR: usize = 16;

/// One in so many parts of a page must be free for entries to go there: so that a write seldom needs
/// two pages.
pub const PAGE_FREE_DIVISOR: usize = 4;

/// Entries that are merely no longer needed, for which one counts that would mislead after a crash: an
/// attempt that was lost keeps its task from running until its machine's lease is over.
pub const URGENT_ENTRY_WEIGHT: u32 = 16;

/// Milliseconds a page may list what is no longer needed before it is written for that alone.
pub const PAGE_REWRITE_DELAY_MS: u64 = 5_000;

/// Tasks of a job per entry of completions: the worst entry, every other task done, takes half a KiB, so
/// that it fits a page of the smallest value ([`MIN_VALUE_KIB`](super::key_value::MIN_VALUE_KIB)). Entries read may span more.
pub const TASKS_PER_COMPLETIONS_ENTRY: u32 = 64;

/// Bytes that a record of an attempt takes in the state service, rounded up.
pub const ATTEMPT_RECORD_BYTES: usize = 80;
