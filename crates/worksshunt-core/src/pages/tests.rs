//! Tests of pages: content of writes, rewrites, and numbers of new pages.

use super::*;

/// An entry of that many bytes.
#[derive(Debug, Clone, PartialEq)]
struct Entry(usize);

impl PageEntry for Entry {
    type Key = u32;

    fn size_bytes(&self, _: &u32) -> usize {
        self.0
    }

    fn merge(&mut self, later: Entry) {
        *self = later;
    }

    fn encode_page(entries: &BTreeMap<u32, Entry>) -> Value {
        serde_json::json!(entries.keys().collect::<Vec<_>>())
    }
}

const MAX_BYTES: usize = 100;

/// Pages with pending entries of 10 bytes each.
fn pages_with_pending(entries: u32) -> Pages<Entry> {
    let mut pages = Pages::new("p/".to_owned(), MAX_BYTES);
    for key in 0..entries {
        pages.add(key, Entry(10));
    }
    pages
}

fn keys(writes: &[PageWrite]) -> Vec<&str> {
    writes
        .iter()
        .map(|write| write.condition.key.as_str())
        .collect()
}

fn put(keys: impl Iterator<Item = u32>, page: &str) -> Change {
    Change::Put {
        key: page.to_owned(),
        value: serde_json::json!(keys.collect::<Vec<_>>()),
        lease_id: None,
    }
}

#[test]
fn full_pages_continue_on_the_next_and_writes_are_sequential() {
    let mut pages = pages_with_pending(25);
    let writes = pages.begin_writes(Time(0), 2);
    assert_eq!(keys(&writes), ["p/0", "p/1"]);
    assert_eq!(writes[0].change, put(0..10, "p/0"));
    assert_eq!(writes[1].change, put(10..20, "p/1"));
    assert!(pages.begin_writes(Time(0), 2).is_empty());
    let written = pages.mark_write_applied(Some(Revision(7)));
    assert_eq!(written, (0..20).collect::<Vec<_>>());
    assert_eq!(keys(&pages.begin_writes(Time(0), 2)), ["p/2"]);
}

#[test]
fn oversized_entry_gets_its_own_page() {
    let mut pages = pages_with_pending(1);
    pages.add(1, Entry(MAX_BYTES + 1));
    assert_eq!(keys(&pages.begin_writes(Time(0), 4)), ["p/0", "p/1"]);
}

#[test]
fn stale_page_is_rewritten_after_delay_or_at_once_if_urgent() {
    let mut pages = pages_with_pending(3);
    pages.begin_writes(Time(0), 1);
    pages.mark_write_applied(Some(Revision(7)));
    pages.remove(&0, Time(0), false);
    assert!(pages
        .begin_writes(Time(PAGE_REWRITE_DELAY_MS - 1), 1)
        .is_empty());
    pages.remove(&1, Time(PAGE_REWRITE_DELAY_MS - 1), true);
    let writes = pages.begin_writes(Time(PAGE_REWRITE_DELAY_MS - 1), 1);
    assert_eq!(writes[0].condition.version, Revision(7));
    assert_eq!(writes[0].change, put(2..3, "p/0"));
}

#[test]
fn empty_page_is_deleted_and_its_number_not_reused() {
    let mut pages = pages_with_pending(1);
    pages.begin_writes(Time(0), 1);
    pages.mark_write_applied(Some(Revision(7)));
    pages.remove(&0, Time(0), true);
    let writes = pages.begin_writes(Time(0), 1);
    let key = "p/0".to_owned();
    assert_eq!(writes[0].change, Change::Delete { key });
    pages.mark_write_applied(Some(Revision(8)));
    pages.add(1, Entry(10));
    assert_eq!(keys(&pages.begin_writes(Time(0), 1)), ["p/1"]);
}

#[test]
fn page_emptied_during_its_write_is_deleted_by_the_next() {
    let mut pages = pages_with_pending(1);
    pages.begin_writes(Time(0), 1);
    pages.remove(&0, Time(0), true);
    pages.mark_write_applied(Some(Revision(7)));
    let writes = pages.begin_writes(Time(0), 1);
    assert_eq!(writes[0].condition.version, Revision(7));
    let key = "p/0".to_owned();
    assert_eq!(writes[0].change, Change::Delete { key });
}

#[test]
fn page_of_unknown_version_is_not_written_before_it_is_read() {
    let mut pages = pages_with_pending(1);
    pages.begin_writes(Time(0), 1);
    pages.mark_write_applied(None);
    assert_eq!(pages.uncertain_keys().collect::<Vec<_>>(), ["p/0"]);
    pages.remove(&0, Time(0), true);
    assert!(pages.begin_writes(Time(0), 1).is_empty());
    pages.set_page_version("p/0", Revision(9));
    let writes = pages.begin_writes(Time(0), 1);
    assert_eq!(writes[0].condition.version, Revision(9));
}

#[test]
fn new_pages_are_numbered_after_stored_ones() {
    let mut pages = pages_with_pending(0);
    pages.add_stored_page("p/41".to_owned(), Revision(3), BTreeMap::new());
    pages.add_stored_page("p/other".to_owned(), Revision(3), BTreeMap::new());
    for key in 0..25 {
        pages.add(key, Entry(10));
    }
    let writes = pages.begin_writes(Time(0), 3);
    assert_eq!(keys(&writes).last(), Some(&"p/42"));
}

// Guards against a new page under the key of a stored page that is to be deleted: the conflict would look like an
// earlier copy of the write, and the deletion would remove the new page.
#[test]
fn reserved_page_numbers_are_not_used() {
    let mut pages = pages_with_pending(1);
    pages.reserve_page_number("p/0");
    pages.reserve_page_number("p/other");
    assert_eq!(keys(&pages.begin_writes(Time(0), 1)), ["p/1"]);
}
