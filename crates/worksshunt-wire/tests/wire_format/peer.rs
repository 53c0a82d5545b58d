//! Messages between controllers.

use worksshunt_wire::peer::{
    Assignment, AttemptOutcome, AttemptPhase, AttemptStatus, EndedAttempt, KnownEpoch,
    LeaderDirectives, MachineDirectives, MachineStatus, PartitionStatus, PeerRequest, PeerResponse,
};
use worksshunt_wire::{Attempt, ControllerName, Epoch, JobId, MachineId};

use crate::fixtures::Fixtures;
use crate::{machines, task};

fn machine_status(idle_ms: Option<u64>) -> MachineStatus {
    MachineStatus {
        id: "i-000041".into(),
        machine_type: "m8".into(),
        zone: "b".into(),
        is_spot: false,
        is_schedulable: false,
        idle_ms,
        free_cpus: 1.5,
        free_gpus: 2.5,
        free_memory_gb: 3.5,
        has_reclaim_notice: false,
        is_unreachable: false,
        is_lost: false,
    }
}

/// A machine without a flag, and one with each.
fn machine_statuses() -> Vec<MachineStatus> {
    // Every flag is set on a machine of its own, so that none can take another's place.
    let flags: [fn(&mut MachineStatus); 5] = [
        |machine| machine.is_spot = true,
        |machine| machine.is_schedulable = true,
        |machine| machine.has_reclaim_notice = true,
        |machine| machine.is_unreachable = true,
        |machine| machine.is_lost = true,
    ];
    let flagged = flags.map(|set| {
        let mut machine = machine_status(None);
        set(&mut machine);
        machine
    });
    [machine_status(Some(7_000))]
        .into_iter()
        .chain(flagged)
        .collect()
}

fn partition_status() -> PartitionStatus {
    let attempt_status = |index, phase| AttemptStatus {
        task: task(412, index),
        attempt: Attempt(300 + u64::from(index)),
        machine: "i-000042".into(),
        phase,
        running_ms: 1_234,
    };
    let ended = |index, machine: Option<&str>, outcome| EndedAttempt {
        task: task(413, index),
        attempt: Attempt(400 + u64::from(index)),
        machine: machine.map(MachineId::from),
        outcome,
    };
    PartitionStatus {
        epoch: Epoch(5),
        owner: "n1".into(),
        sequence: 9,
        acknowledged_sequence: 8,
        machines: machine_statuses(),
        removed_machines: machines(&["i-000050", "i-000051"]),
        attempts: vec![
            attempt_status(0, AttemptPhase::Queued),
            attempt_status(1, AttemptPhase::Placed),
            attempt_status(2, AttemptPhase::Running),
            attempt_status(3, AttemptPhase::Completed),
        ],
        ended_attempts: vec![
            ended(0, Some("i-000060"), AttemptOutcome::Failed),
            ended(1, Some("i-000061"), AttemptOutcome::Stopped),
            ended(2, Some("i-000062"), AttemptOutcome::Lost),
            ended(3, None, AttemptOutcome::Unplaced),
            ended(4, Some("i-000063"), AttemptOutcome::Acknowledged),
        ],
    }
}

fn leader_directives() -> LeaderDirectives {
    let assignment = |index, zone: Option<&str>, claimed: Option<&str>| Assignment {
        task: task(412, index),
        attempt: Attempt(500 + u64::from(index)),
        zone: zone.map(str::to_owned),
        claimed_machine: claimed.map(MachineId::from),
    };
    LeaderDirectives {
        epoch: Epoch(5),
        request_sequence: 9,
        sequence: 11,
        assignments: vec![
            assignment(4, Some("b"), Some("i-000070")),
            assignment(5, None, None),
        ],
        stop_attempts: vec![Attempt(601), Attempt(602)],
        durable_attempts: vec![Attempt(603)],
        machine_directives: Some(MachineDirectives {
            draining: machines(&["i-000080", "i-000081"]),
            claimed: machines(&["i-000082"]),
            terminated: machines(&["i-000083"]),
        }),
        progress: Some(vec![(JobId(412), 2, 5), (JobId(413), 6, 7)]),
    }
}

#[test]
fn peer_messages_keep_their_bytes() {
    let mut fixtures = Fixtures::hex(include_str!("../fixtures/peer.txt"));
    fixtures.same_frame("request-sync", PeerRequest::Sync(partition_status()));
    fixtures.same_frame("request-store-health", PeerRequest::KeyValueHealth);
    fixtures.same_frame(
        "request-known-epoch",
        PeerRequest::KnownEpoch { poll_number: 21 },
    );
    fixtures.same_frame("answer-sync", PeerResponse::Sync(leader_directives()));
    let without_options = LeaderDirectives {
        machine_directives: None,
        progress: None,
        ..leader_directives()
    };
    fixtures.same_frame(
        "answer-sync-fields-absent",
        PeerResponse::Sync(without_options),
    );
    fixtures.same_frame("answer-not-leader", PeerResponse::NotLeader);
    fixtures.same_frame("answer-store-up", PeerResponse::KeyValueHealth(true));
    fixtures.same_frame("answer-store-down", PeerResponse::KeyValueHealth(false));
    let known = |store_is_reachable| {
        PeerResponse::KnownEpoch(KnownEpoch {
            poll_number: 21,
            epoch: Epoch(5),
            is_key_value_store_reachable: store_is_reachable,
        })
    };
    fixtures.same_frame("answer-known-epoch-store-up", known(true));
    fixtures.same_frame("answer-known-epoch-store-down", known(false));
    // One byte each, so that a difference names the variant.
    fixtures.same_frame("phase-queued", AttemptPhase::Queued);
    fixtures.same_frame("phase-placed", AttemptPhase::Placed);
    fixtures.same_frame("phase-running", AttemptPhase::Running);
    fixtures.same_frame("phase-completed", AttemptPhase::Completed);
    fixtures.same_frame("end-error", AttemptOutcome::Failed);
    fixtures.same_frame("end-stopped", AttemptOutcome::Stopped);
    fixtures.same_frame("end-lost", AttemptOutcome::Lost);
    fixtures.same_frame("end-handed-back", AttemptOutcome::Unplaced);
    fixtures.same_frame("end-settled", AttemptOutcome::Acknowledged);
    fixtures.same_frame("node-name", ControllerName::from("n1"));
    fixtures.all_compared();
}
