//! Tests of `expiry`: which machines a tick checks.

use crate::machines::fixtures::{partition, workers};
use crate::machines::max_worker_lease_ms;

use super::*;

/// Number of machines that each of four ticks checks.
fn swept_per_tick(machines: usize) -> [usize; 4] {
    let mut partition = partition(machines);
    [(); 4].map(|()| partition.sweep().count())
}

#[test]
fn ticks_sweep_a_large_partition_in_batches() {
    assert_eq!(swept_per_tick(0), [0; 4]);
    assert_eq!(
        swept_per_tick(MACHINES_CHECKED_PER_TICK),
        [MACHINES_CHECKED_PER_TICK; 4]
    );
    assert_eq!(
        swept_per_tick(MACHINES_CHECKED_PER_TICK + 1),
        [MACHINES_CHECKED_PER_TICK, 1, MACHINES_CHECKED_PER_TICK, 1]
    );
    let three_batches = MACHINES_CHECKED_PER_TICK * 2 + 5;
    assert_eq!(
        swept_per_tick(three_batches),
        [
            MACHINES_CHECKED_PER_TICK,
            MACHINES_CHECKED_PER_TICK,
            5,
            MACHINES_CHECKED_PER_TICK
        ]
    );
}

// Guards against a sweep that never reaches the machines after the first batch.
#[test]
fn expired_leases_are_detected_on_all_machines_of_a_large_partition() {
    let mut partition = partition(MACHINES_CHECKED_PER_TICK * 2 + 5);
    let after_expiry = Time(max_worker_lease_ms(&workers()) + 1);
    partition.tick(after_expiry);
    assert_eq!(
        partition
            .machines
            .values()
            .filter(|machine| machine.is_lost)
            .count(),
        MACHINES_CHECKED_PER_TICK
    );
    partition.tick(after_expiry);
    partition.tick(after_expiry);
    assert!(partition.machines.values().all(|machine| machine.is_lost));
}
