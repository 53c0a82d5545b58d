//! Tests of `partitions`: how much one answer brings, and the order of machines with room.

use serde_json::json;
use worksshunt_wire::settings::Facts;
use worksshunt_wire::Epoch;

use crate::jobs::JobCache;
use crate::scheduler::StoredState;

use super::*;

fn facts() -> Facts {
    serde_json::from_value(json!({
        "teams": [],
        "workers": {"report_s": 5.0, "lease_s": 26.5, "cancel_s": 46.5},
        "state": {"rps": 500.0, "write_rps": 60.0, "value_kb": 8.0, "txn_ops": 20},
        "cloud": {"rps": 8.0, "list_lag_s": 5.0},
        "limits": {"sockets": 4_000}
    }))
    .expect("facts")
}

fn scheduler(owner: &ControllerName) -> Scheduler {
    let members = [owner.clone()];
    let (job_cache, found) = (JobCache::default(), StoredState::default());
    Scheduler::load(Time(0), Epoch(1), &members, &facts(), &job_cache, &found)
}

fn sync_up(owner: &ControllerName, number: u64, seen: u64) -> PartitionStatus {
    PartitionStatus {
        epoch: Epoch(1),
        from: owner.clone(),
        sequence: number,
        acknowledged: seen,
        machines: Vec::new(),
        removed_machines: Vec::new(),
        attempts: Vec::new(),
        ended_attempts: Vec::new(),
    }
}

// Guards against stops of cancelled tasks that wait behind thousands of other messages.
#[test]
fn an_answer_brings_as_much_as_it_takes_of_each_kind_and_the_next_one_the_rest() {
    let owner = ControllerName::from("n0");
    let mut scheduler = scheduler(&owner);
    let partition = scheduler.partitions.get_mut(&owner).expect("a part");
    for n in 0..(SYNC_MAX_CHANGES + 3) as u64 {
        partition.enqueue(Directive::Stop(Attempt(n)));
        partition.enqueue(Directive::MarkDurable(Attempt(n)));
    }
    let none = || std::iter::empty();
    scheduler.apply_status(Time(1), sync_up(&owner, 1, 0));
    let first = scheduler.directives_for(Time(1), &owner, none());
    assert_eq!(
        (first.stop_attempts.len(), first.durable_attempts.len()),
        (SYNC_MAX_CHANGES, SYNC_MAX_CHANGES)
    );
    // Its owner has acted on the first answer.
    scheduler.apply_status(Time(2), sync_up(&owner, 2, first.sequence));
    let second = scheduler.directives_for(Time(2), &owner, none());
    assert_eq!(
        (second.stop_attempts.len(), second.durable_attempts.len()),
        (3, 3)
    );
    scheduler.apply_status(Time(3), sync_up(&owner, 3, second.sequence));
    let third = scheduler.directives_for(Time(3), &owner, none());
    assert_eq!(
        (third.stop_attempts.len(), third.durable_attempts.len()),
        (0, 0)
    );
}

fn machine(n: usize, cpus: f64) -> MachineStatus {
    MachineStatus {
        id: MachineId(format!("i-{n:06}")),
        machine_type: "m4".into(),
        zone: "a".into(),
        spot: true,
        schedulable: true,
        idle_ms: None,
        cpus,
        gpus: 0.0,
        memory_gb: 8.0,
        reclaim_notice: false,
        unreachable: false,
        lost: false,
    }
}

#[test]
fn machines_with_room_are_found_by_their_free_processors() {
    let mut partition = PartitionView::default();
    for (n, cpus) in [4.0, 0.0, 1.5, 2.0, 0.5].into_iter().enumerate() {
        partition.update_machine(machine(n, cpus), Time(0));
    }
    let free = |partition: &PartitionView, cpus: f64| -> Vec<f64> {
        partition
            .with_free_cpus(cpus)
            .map(|view| view.free.cpus)
            .collect()
    };
    assert_eq!(free(&partition, 0.0), [0.5, 1.5, 2.0, 4.0]);
    assert_eq!(free(&partition, 1.5), [1.5, 2.0, 4.0]);
    partition.update_machine(machine(0, 1.0), Time(1));
    partition.update_machine(machine(2, 0.0), Time(1));
    assert_eq!(free(&partition, 0.0), [0.5, 1.0, 2.0]);
    partition.remove_machine(&MachineId("i-000003".into()));
    assert_eq!(free(&partition, 0.0), [0.5, 1.0]);
}
