//! Pages of records: many entries in one value of the key-value store.

/// Maximum number of pages in a write.
pub const PAGES_PER_WRITE: usize = 4;

/// Inverse of the share of a value that stays free, for the JSON around a page's entries and for low size estimates. In
/// a value of 2 KiB these are 128 bytes, several times what either takes.
pub const PAGE_MARGIN_DIVISOR: usize = 16;

/// Inverse of the share of a page that must be free before new entries are added to it, so that a write seldom needs
/// two pages.
pub const PAGE_MIN_FREE_DIVISOR: usize = 4;

/// Weight of a stale entry that delays a new leader, relative to other stale entries: the record of a lost attempt
/// keeps its task from running until the lease of its machine expires.
pub const URGENT_ENTRY_WEIGHT: u32 = 16;

/// Milliseconds after which a page is rewritten only to remove stale entries.
pub const PAGE_REWRITE_DELAY_MS: u64 = 5_000;

/// Number of a job's tasks that one entry of completions covers. The largest entry, with every other task completed,
/// takes half a KiB and fits a page of the smallest value ([`MIN_VALUE_KIB`](super::key_value::MIN_VALUE_KIB)). Entries
/// read from the store may cover more.
pub const TASKS_PER_COMPLETIONS_ENTRY: u32 = 64;

/// Upper bound of the bytes that an attempt record takes in the key-value store.
pub const ATTEMPT_RECORD_BYTES: usize = 80;
