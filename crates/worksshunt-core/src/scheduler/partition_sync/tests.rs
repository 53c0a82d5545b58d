//! Tests of `partition_sync`: which directives a message holds.

use serde_json::json;
use worksshunt_wire::settings::Facts;
use worksshunt_wire::Epoch;

use crate::constants::partition_sync::MAX_CHANGES_PER_SYNC;
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
    let (job_cache, stored) = (JobCache::default(), StoredState::default());
    Scheduler::load(Time(0), Epoch(1), &members, &facts(), &job_cache, &stored)
}

fn status(owner: &ControllerName, sequence: u64, acknowledged: u64) -> PartitionStatus {
    PartitionStatus {
        epoch: Epoch(1),
        owner: owner.clone(),
        sequence,
        acknowledged_sequence: acknowledged,
        machines: Vec::new(),
        removed_machines: Vec::new(),
        attempts: Vec::new(),
        ended_attempts: Vec::new(),
    }
}

// Stops of cancelled tasks must not wait behind thousands of other directives.
#[test]
fn directives_beyond_the_limit_of_their_kind_wait_for_the_next_message() {
    let owner = ControllerName::from("n0");
    let mut scheduler = scheduler(&owner);
    let partition = scheduler.partitions.get_mut(&owner).expect("partition");
    for n in 0..(MAX_CHANGES_PER_SYNC + 3) as u64 {
        partition.enqueue(Directive::Stop(AttemptId(n)));
        partition.enqueue(Directive::MarkDurable(AttemptId(n)));
    }
    let none = || std::iter::empty();
    assert!(scheduler.apply_status(Time(1), status(&owner, 1, 0)));
    let first = scheduler.directives_for(Time(1), &owner, none());
    assert_eq!(
        (first.stop_attempts.len(), first.durable_attempts.len()),
        (MAX_CHANGES_PER_SYNC, MAX_CHANGES_PER_SYNC)
    );
    // The owner acknowledges the first message.
    assert!(scheduler.apply_status(Time(2), status(&owner, 2, first.sequence)));
    let second = scheduler.directives_for(Time(2), &owner, none());
    assert_eq!(
        (second.stop_attempts.len(), second.durable_attempts.len()),
        (3, 3)
    );
    assert!(scheduler.apply_status(Time(3), status(&owner, 3, second.sequence)));
    let third = scheduler.directives_for(Time(3), &owner, none());
    assert_eq!(
        (third.stop_attempts.len(), third.durable_attempts.len()),
        (0, 0)
    );
}

#[test]
fn a_repeated_status_is_refused_and_causes_no_directive_to_be_sent_again() {
    let owner = ControllerName::from("n0");
    let mut scheduler = scheduler(&owner);
    let partition = scheduler.partitions.get_mut(&owner).expect("partition");
    partition.enqueue(Directive::Stop(AttemptId(1)));
    let none = || std::iter::empty();
    assert!(scheduler.apply_status(Time(1), status(&owner, 1, 0)));
    let first = scheduler.directives_for(Time(1), &owner, none());
    assert_eq!(first.stop_attempts.len(), 1);
    assert!(!scheduler.apply_status(Time(2), status(&owner, 1, 0)));
    assert!(scheduler.apply_status(Time(3), status(&owner, 2, first.sequence)));
    let second = scheduler.directives_for(Time(3), &owner, none());
    assert_eq!(second.stop_attempts, Vec::new());
}
