//! Tests of `expiry`: which machines a tick examines.

use crate::machines::fixtures::{partition, workers};
use crate::machines::lease_bound_ms;

use super::*;

/// How many machines each of four ticks examines.
fn swept(machines: usize) -> [usize; 4] {
    let mut partition = partition(machines);
    [(); 4].map(|()| partition.sweep().count())
}

#[test]
fn a_tick_examines_all_of_a_small_partition_and_a_large_one_in_turns() {
    assert_eq!(swept(0), [0; 4]);
    assert_eq!(
        swept(MACHINES_CHECKED_PER_TICK),
        [MACHINES_CHECKED_PER_TICK; 4]
    );
    assert_eq!(
        swept(MACHINES_CHECKED_PER_TICK + 1),
        [MACHINES_CHECKED_PER_TICK, 1, MACHINES_CHECKED_PER_TICK, 1]
    );
    let three = MACHINES_CHECKED_PER_TICK * 2 + 5;
    assert_eq!(
        swept(three),
        [
            MACHINES_CHECKED_PER_TICK,
            MACHINES_CHECKED_PER_TICK,
            5,
            MACHINES_CHECKED_PER_TICK
        ]
    );
}

// Guards against machines past the first thousand that are held for ever.
#[test]
fn an_expired_lease_is_noticed_on_every_machine_of_a_large_partition() {
    let mut partition = partition(MACHINES_CHECKED_PER_TICK * 2 + 5);
    let late = Time(lease_bound_ms(&workers()) + 1);
    partition.tick(late);
    assert_eq!(
        partition.machines.values().filter(|m| m.is_lost).count(),
        MACHINES_CHECKED_PER_TICK
    );
    partition.tick(late);
    partition.tick(late);
    assert!(partition.machines.values().all(|machine| machine.is_lost));
}
