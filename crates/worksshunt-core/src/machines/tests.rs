//! Tests of `machines`: what a tick looks at.

use serde_json::json;

use super::*;

/// A part with so many machines that were never heard of.
pub(super) fn partition(machines: usize) -> Partition {
    let workers = json!({"report_s": 5.0, "lease_s": 26.5, "cancel_s": 46.5});
    let state = json!({"rps": 500.0, "write_rps": 60.0, "value_kb": 8.0, "txn_ops": 20});
    let workers = serde_json::from_value(workers).expect("workers");
    let state = serde_json::from_value(state).expect("limits");
    let mut partition = Partition::new(Parameters::default(), &workers, &state);
    for n in 0..machines {
        let machine = Machine::new(Time(0), Time(0), (Incarnation(0), 0));
        partition
            .machines
            .insert(MachineId(format!("i-{n:06}")), machine);
    }
    partition
}

/// How many machines each of some ticks looks at.
fn swept(machines: usize) -> [usize; 4] {
    let mut partition = partition(machines);
    [(); 4].map(|()| partition.sweep().count())
}

#[test]
fn a_tick_looks_at_all_of_a_small_part_and_at_a_large_one_in_turns() {
    assert_eq!(swept(0), [0; 4]);
    assert_eq!(swept(SWEEP_MACHINES_PER_TICK), [SWEEP_MACHINES_PER_TICK; 4]);
    assert_eq!(
        swept(SWEEP_MACHINES_PER_TICK + 1),
        [SWEEP_MACHINES_PER_TICK, 1, SWEEP_MACHINES_PER_TICK, 1]
    );
    let three = SWEEP_MACHINES_PER_TICK * 2 + 5;
    assert_eq!(
        swept(three),
        [
            SWEEP_MACHINES_PER_TICK,
            SWEEP_MACHINES_PER_TICK,
            5,
            SWEEP_MACHINES_PER_TICK
        ]
    );
}

// Guards against machines past the first thousand that are held for ever.
#[test]
fn a_lease_that_ran_out_is_noticed_on_every_machine_of_a_large_part() {
    let mut partition = partition(SWEEP_MACHINES_PER_TICK * 2 + 5);
    let late = Time(
        lease_bound_ms(&Workers {
            heartbeat_interval_s: 5.0,
            lease_s: 26.5,
            cancel_s: 46.5,
        }) + 1,
    );
    partition.tick(late);
    assert_eq!(
        partition.machines.values().filter(|m| m.lost).count(),
        SWEEP_MACHINES_PER_TICK
    );
    partition.tick(late);
    partition.tick(late);
    assert!(partition.machines.values().all(|machine| machine.lost));
}
