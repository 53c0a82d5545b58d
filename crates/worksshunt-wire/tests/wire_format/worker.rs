//! Encoding of messages of the worker interface.

use worksshunt_wire::worker::{
    Command, CommandBatch, ExitReason, Heartbeat, HeartbeatResponse, Redirect, TaskState,
    TaskStatus,
};
use worksshunt_wire::{AttemptId, FencingToken, Incarnation};

use crate::fixtures::Fixtures;
use crate::task;

fn heartbeat(is_spot: bool, reclaim_notice_s: Option<f64>) -> Heartbeat {
    let task_status = |index, state, exit_reason, is_checkpoint_saved| TaskStatus {
        task: task(412, index),
        attempt: AttemptId(300 + u64::from(index)),
        state,
        exit_reason,
        is_checkpoint_saved,
    };
    let ended_task = |index, exit_reason, is_checkpoint_saved| {
        task_status(
            index,
            TaskState::Ended,
            Some(exit_reason),
            is_checkpoint_saved,
        )
    };
    Heartbeat {
        machine: "i-000041".into(),
        command_address: "10.1.0.1:9000".into(),
        machine_type: "m8".into(),
        zone: "b".into(),
        is_spot,
        incarnation: Incarnation(3),
        sequence: 17,
        fencing_token: FencingToken(5),
        reclaim_notice_s,
        tasks: vec![
            task_status(0, TaskState::Fetching, None, None),
            task_status(1, TaskState::Running, None, None),
            task_status(2, TaskState::Saving, None, None),
            ended_task(3, ExitReason::Done, None),
            ended_task(4, ExitReason::Stopped, Some(true)),
            ended_task(5, ExitReason::Error, Some(false)),
            ended_task(6, ExitReason::InsufficientResources, None),
            ended_task(7, ExitReason::Busy, None),
            ended_task(8, ExitReason::Unknown, None),
        ],
    }
}

fn commands() -> Vec<Command> {
    let launch = Command::Launch {
        task: task(412, 1),
        attempt: AttemptId(301),
    };
    let halt = Command::Halt {
        task: task(412, 2),
        attempt: AttemptId(302),
        grace_s: 4.5,
    };
    let reap = Command::Reap {
        task: task(412, 3),
        attempt: AttemptId(303),
    };
    vec![launch, halt, reap]
}

#[test]
fn worker_messages_match_fixtures() {
    let mut fixtures = Fixtures::json(include_str!("../fixtures/worker.json"));
    fixtures.assert_round_trip("report with notice", heartbeat(true, Some(30.5)));
    fixtures.assert_round_trip("report", heartbeat(false, None));
    fixtures.assert_decodes("report, fields absent", heartbeat(false, None));
    let response = HeartbeatResponse {
        fencing_token: FencingToken(5),
        commands: commands(),
    };
    fixtures.assert_round_trip("answer to a report", response);
    let batch = CommandBatch {
        fencing_token: FencingToken(5),
        incarnation: Incarnation(3),
        commands: commands(),
    };
    fixtures.assert_round_trip("orders", batch);
    let redirect = |controller| Redirect { controller };
    fixtures.assert_round_trip("redirect", redirect(Some("n2".into())));
    fixtures.assert_round_trip("redirect to nobody", redirect(None));
    fixtures.assert_all_compared();
}
