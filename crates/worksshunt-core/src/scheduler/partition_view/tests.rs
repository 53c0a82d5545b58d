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

// Guards against the release of a machine to which a task without processors was dispatched.
#[test]
fn a_dispatched_task_without_resources_reserves_its_machine() {
    let spec = serde_json::from_value(serde_json::json!({
        "Ref": "j-000001", "Carril": "c", "Cuadrilla": "t", "Oficio": "array", "Turno": "normal",
        "Piezas": 2, "Cores": 0.0, "Gpus": 0.0, "RamGb": 0.0, "Molde": "i", "SizeGb": 1.0,
        "SamePlace": false, "Spread": false, "Prestados": true, "CalculoS": 0.0, "RespaldoS": 0.0,
        "GuardadoS": 0.0}))
    .expect("a job");
    let job = Job {
        spec,
        accepted_ms: 0,
    };
    let mut partition = PartitionView::default();
    partition.update_machine(machine(0, 4.0), Time(0));
    let id = machine(0, 4.0).id;
    let has_reservations = |partition: &PartitionView| partition.machines[&id].has_reservations();
    partition.reserve(&id, &job);
    partition.reserve(&id, &job);
    partition.release_reservation(Some(&id), &job);
    assert!(has_reservations(&partition));
    partition.release_reservation(Some(&id), &job);
    assert!(!has_reservations(&partition));
}
