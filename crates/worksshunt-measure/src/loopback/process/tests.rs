//! Tests of `process`.

use super::*;

#[test]
fn proc_files_are_parsed() {
    let status = "Name:\tx\nVmRSS:\t   12000 kB\nThreads:\t2\n";
    assert_eq!(parse_status_field(status, "VmRSS:"), Some(12_000.0));
    assert_eq!(parse_status_field(status, "Threads:"), Some(2.0));
    assert_eq!(parse_status_field(status, "VmSwap:"), None);
    let stat = "7 (a name) S) S 1 7 7 0 -1 4194304 100 0 0 0 250 50 0 0 20 0 2 0";
    assert_eq!(parse_processor_ticks(stat), Some(300.0));
    assert_eq!(parse_processor_ticks("7 (x) S 1"), None);
}

#[test]
fn usage_of_the_current_process_is_not_zero() {
    let usage = ProcessUsage::read(std::process::id());
    assert!(
        usage.memory_mb > 1.0 && usage.open_files > 0 && usage.threads > 0,
        "{usage:?}"
    );
}
