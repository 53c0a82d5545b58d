//! Tests of `partition_view`: the order of machines by free processors.

use super::*;

fn machine(n: usize, cpus: f64) -> MachineStatus {
    MachineStatus {
        id: MachineId(format!("i-{n:06}")),
        machine_type: "m4".into(),
        zone: "a".into(),
        is_spot: true,
        is_schedulable: true,
        idle_ms: None,
        free_cpus: cpus,
        free_gpus: 0.0,
        free_memory_gb: 8.0,
        has_reclaim_notice: false,
        is_unreachable: false,
        is_lost: false,
    }
}

#[test]
fn machines_are_ordered_by_free_processors() {
    let mut partition = PartitionView::default();
    for (n, cpus) in [4.0, 0.0, 1.5, 2.0, 0.5].into_iter().enumerate() {
        partition.update_machine(machine(n, cpus), Time(0));
    }
    let free = |partition: &PartitionView, cpus: f64| -> Vec<f64> {
        partition
            .machines_with_free_cpus(cpus)
            .map(|view| view.free.cpus)
            .collect()
    };
    assert_eq!(free(&partition, 0.0), [0.0, 0.5, 1.5, 2.0, 4.0]);
    assert_eq!(free(&partition, 1.5), [1.5, 2.0, 4.0]);
    partition.update_machine(machine(0, 1.0), Time(1));
    partition.update_machine(machine(2, 0.0), Time(1));
    assert_eq!(free(&partition, 0.0), [0.0, 0.0, 0.5, 1.0, 2.0]);
    assert_eq!(free(&partition, 0.5), [0.5, 1.0, 2.0]);
    partition.remove_machine(&MachineId("i-000003".into()));
    assert_eq!(free(&partition, 0.0), [0.0, 0.0, 0.5, 1.0]);
    let unschedulable = MachineStatus {
        is_schedulable: false,
        ..machine(1, 0.0)
    };
    partition.update_machine(unschedulable, Time(2));
    assert_eq!(free(&partition, 0.0), [0.0, 0.5, 1.0]);
    partition.update_machine(machine(1, 3.0), Time(3));
    assert_eq!(free(&partition, 0.0), [0.0, 0.5, 1.0, 3.0]);
}
