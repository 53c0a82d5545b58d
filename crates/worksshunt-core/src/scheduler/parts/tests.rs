//! Tests of `parts`: how much one answer brings, and the order of machines with room.

use serde_json::json;
use worksshunt_wire::settings::Facts;
use worksshunt_wire::Epoch;

use crate::jobs::Mirror;
use crate::scheduler::Found;

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

fn scheduler(owner: &NodeName) -> Scheduler {
    let members = [owner.clone()];
    let (mirror, found) = (Mirror::default(), Found::default());
    Scheduler::load(Time(0), Epoch(1), &members, &facts(), &mirror, &found)
}

fn sync_up(owner: &NodeName, number: u64, seen: u64) -> SyncUp {
    SyncUp {
        epoch: Epoch(1),
        from: owner.clone(),
        number,
        seen,
        machines: Vec::new(),
        forgotten: Vec::new(),
        attempts: Vec::new(),
        ended: Vec::new(),
    }
}

// Guards against stops of cancelled tasks that wait behind thousands of other messages.
#[test]
fn an_answer_brings_as_much_as_it_takes_of_each_kind_and_the_next_one_the_rest() {
    let owner = NodeName::from("n0");
    let mut scheduler = scheduler(&owner);
    let part = scheduler.parts.get_mut(&owner).expect("a part");
    for n in 0..(SYNC_CHANGES + 3) as u64 {
        part.post(Down::Stop(Attempt(n)));
        part.post(Down::MarkDurable(Attempt(n)));
    }
    let none = || std::iter::empty();
    scheduler.sync(Time(1), sync_up(&owner, 1, 0));
    let first = scheduler.answer(Time(1), &owner, none());
    assert_eq!(
        (first.stops.len(), first.durable.len()),
        (SYNC_CHANGES, SYNC_CHANGES)
    );
    // Its owner has acted on the first answer.
    scheduler.sync(Time(2), sync_up(&owner, 2, first.seq));
    let second = scheduler.answer(Time(2), &owner, none());
    assert_eq!((second.stops.len(), second.durable.len()), (3, 3));
    scheduler.sync(Time(3), sync_up(&owner, 3, second.seq));
    let third = scheduler.answer(Time(3), &owner, none());
    assert_eq!((third.stops.len(), third.durable.len()), (0, 0));
}

fn machine(n: usize, cpus: f64) -> MachineUp {
    MachineUp {
        id: MachineId(format!("i-{n:06}")),
        machine_type: "m4".into(),
        zone: "a".into(),
        spot: true,
        usable: true,
        idle_ms: None,
        cpus,
        gpus: 0.0,
        memory_gb: 8.0,
        noticed: false,
        unreached: false,
        lost: false,
    }
}

#[test]
fn machines_with_room_are_found_by_their_free_processors() {
    let mut part = PartView::default();
    for (n, cpus) in [4.0, 0.0, 1.5, 2.0, 0.5].into_iter().enumerate() {
        part.describe(machine(n, cpus), Time(0));
    }
    let free = |part: &PartView, cpus: f64| -> Vec<f64> {
        part.with_room(cpus).map(|view| view.room.cpus).collect()
    };
    assert_eq!(free(&part, 0.0), [0.5, 1.5, 2.0, 4.0]);
    assert_eq!(free(&part, 1.5), [1.5, 2.0, 4.0]);
    part.describe(machine(0, 1.0), Time(1));
    part.describe(machine(2, 0.0), Time(1));
    assert_eq!(free(&part, 0.0), [0.5, 1.0, 2.0]);
    part.forget(&MachineId("i-000003".into()));
    assert_eq!(free(&part, 0.0), [0.5, 1.0]);
}
