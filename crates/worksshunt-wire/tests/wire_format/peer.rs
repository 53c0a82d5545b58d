//! Encoding of messages between controllers.

use worksshunt_wire::peer::{
    Assignment, AttemptOutcome, AttemptPhase, AttemptStatus, EndedAttempt, EpochPollResponse,
    LeaderDirectives, MachineDirectives, MachineStatus, PartitionStatus, PeerRequest, PeerResponse,
};
use worksshunt_wire::{AttemptId, ControllerName, Epoch, JobId, MachineId};

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

/// One machine without flags and one for each flag.
fn machine_statuses() -> Vec<MachineStatus> {
    // Each machine has a single flag set, so that swapped flags are detected.
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
        attempt: AttemptId(300 + u64::from(index)),
        machine: "i-000042".into(),
        phase,
        running_ms: 1_234,
    };
    let ended_attempt = |index, machine: Option<&str>, outcome| EndedAttempt {
        task: task(413, index),
        attempt: AttemptId(400 + u64::from(index)),
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
            ended_attempt(0, Some("i-000060"), AttemptOutcome::Failed),
            ended_attempt(1, Some("i-000061"), AttemptOutcome::Stopped),
            ended_attempt(2, Some("i-000062"), AttemptOutcome::Lost),
            ended_attempt(3, None, AttemptOutcome::Unplaced),
            ended_attempt(4, Some("i-000063"), AttemptOutcome::Acknowledged),
        ],
    }
}

fn leader_directives() -> LeaderDirectives {
    let assignment = |index, zone: Option<&str>, claimed_machine: Option<&str>| Assignment {
        task: task(412, index),
        attempt: AttemptId(500 + u64::from(index)),
        zone: zone.map(str::to_owned),
        claimed_machine: claimed_machine.map(MachineId::from),
    };
    LeaderDirectives {
        epoch: Epoch(5),
        request_sequence: 9,
        sequence: 11,
        assignments: vec![
            assignment(4, Some("b"), Some("i-000070")),
            assignment(5, None, None),
        ],
        stop_attempts: vec![AttemptId(601), AttemptId(602)],
        durable_attempts: vec![AttemptId(603)],
        machine_directives: Some(MachineDirectives {
            draining: machines(&["i-000080", "i-000081"]),
            claimed: machines(&["i-000082"]),
            terminated: machines(&["i-000083"]),
        }),
        progress: Some(vec![(JobId(412), 2, 5), (JobId(413), 6, 7)]),
    }
}

#[test]
fn peer_messages_match_fixtures() {
    let mut fixtures = Fixtures::hex(include_str!("../fixtures/peer.txt"));
    fixtures.assert_frame_round_trip("request-sync", PeerRequest::Sync(partition_status()));
    fixtures.assert_frame_round_trip("request-store-health", PeerRequest::KeyValueHealth);
    fixtures.assert_frame_round_trip(
        "request-known-epoch",
        PeerRequest::EpochPoll { poll_number: 21 },
    );
    fixtures.assert_frame_round_trip("answer-sync", PeerResponse::Sync(leader_directives()));
    let without_options = LeaderDirectives {
        machine_directives: None,
        progress: None,
        ..leader_directives()
    };
    fixtures.assert_frame_round_trip(
        "answer-sync-fields-absent",
        PeerResponse::Sync(without_options),
    );
    fixtures.assert_frame_round_trip("answer-not-leader", PeerResponse::NotLeader);
    fixtures.assert_frame_round_trip("answer-store-up", PeerResponse::KeyValueHealth(true));
    fixtures.assert_frame_round_trip("answer-store-down", PeerResponse::KeyValueHealth(false));
    let epoch_poll = |is_key_value_store_reachable| {
        PeerResponse::EpochPoll(EpochPollResponse {
            poll_number: 21,
            epoch: Epoch(5),
            is_key_value_store_reachable,
        })
    };
    fixtures.assert_frame_round_trip("answer-known-epoch-store-up", epoch_poll(true));
    fixtures.assert_frame_round_trip("answer-known-epoch-store-down", epoch_poll(false));
    // Each variant is compared separately, so that a difference names the variant.
    fixtures.assert_frame_round_trip("phase-queued", AttemptPhase::Queued);
    fixtures.assert_frame_round_trip("phase-placed", AttemptPhase::Placed);
    fixtures.assert_frame_round_trip("phase-running", AttemptPhase::Running);
    fixtures.assert_frame_round_trip("phase-completed", AttemptPhase::Completed);
    fixtures.assert_frame_round_trip("end-error", AttemptOutcome::Failed);
    fixtures.assert_frame_round_trip("end-stopped", AttemptOutcome::Stopped);
    fixtures.assert_frame_round_trip("end-lost", AttemptOutcome::Lost);
    fixtures.assert_frame_round_trip("end-handed-back", AttemptOutcome::Unplaced);
    fixtures.assert_frame_round_trip("end-settled", AttemptOutcome::Acknowledged);
    fixtures.assert_frame_round_trip("node-name", ControllerName::from("n1"));
    fixtures.assert_all_compared();
}
