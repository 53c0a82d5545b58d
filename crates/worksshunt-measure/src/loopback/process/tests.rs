//! Tests of `process`.

use super::*;

#[test]
fn numbers_are_read_from_the_kernels_texts() {
    let status = "Name:\tx\nVmRSS:\t   12000 kB\nThreads:\t2\n";
    assert_eq!(status_number(status, "VmRSS:"), Some(12_000.0));
    assert_eq!(status_number(status, "Threads:"), Some(2.0));
    assert_eq!(status_number(status, "VmSwap:"), None);
    let stat = "7 (a name) S) S 1 7 7 0 -1 4194304 100 0 0 0 250 50 0 0 20 0 2 0";
    assert_eq!(processor_ticks(stat), Some(300.0));
    assert_eq!(processor_ticks("7 (x) S 1"), None);
}

#[test]
fn this_process_uses_something() {
    let usage = Usage::of(std::process::id());
    assert!(
        usage.memory_mb > 1.0 && usage.files > 0 && usage.threads > 0,
        "{usage:?}"
    );
}
