//! Messages of workers.

use worksshunt_wire::worker::{
    Command, CommandBatch, ExitReason, Heartbeat, HeartbeatResponse, Redirect, TaskState,
    TaskStatus,
};
use worksshunt_wire::{Attempt, Epoch, Incarnation};

use crate::fixtures::Fixtures;
use crate::task;

fn heartbeat(spot: bool, notice_s: Option<f64>) -> Heartbeat {
    let task_status = |index, state, reason, saved| TaskStatus {
        task: task(412, index),
        attempt: Attempt(300 + u64::from(index)),
        state,
        exit_reason: reason,
        is_checkpoint_saved: saved,
    };
    let ended = |index, reason, saved| task_status(index, TaskState::Ended, Some(reason), saved);
    Heartbeat {
        machine: "i-000041".into(),
        addr: "10.1.0.1:9000".into(),
        machine_type: "m8".into(),
        zone: "b".into(),
        is_spot: spot,
        incarnation: Incarnation(3),
        sequence: 17,
        fencing_token: Epoch(5),
        reclaim_notice_s: notice_s,
        tasks: vec![
            task_status(0, TaskState::Fetching, None, None),
            task_status(1, TaskState::Running, None, None),
            task_status(2, TaskState::Saving, None, None),
            ended(3, ExitReason::Done, None),
            ended(4, ExitReason::Stopped, Some(true)),
            ended(5, ExitReason::Error, Some(false)),
            ended(6, ExitReason::InsufficientResources, None),
            ended(7, ExitReason::Busy, None),
            ended(8, ExitReason::Unknown, None),
        ],
    }
}

fn commands() -> Vec<Command> {
    let launch = Command::Launch {
        task: task(412, 1),
        attempt: Attempt(301),
    };
    let halt = Command::Halt {
        task: task(412, 2),
        attempt: Attempt(302),
        grace_s: 4.5,
    };
    let reap = Command::Reap {
        task: task(412, 3),
        attempt: Attempt(303),
    };
    vec![launch, halt, reap]
}

#[test]
fn worker_messages_keep_their_bytes() {
    let mut fixtures = Fixtures::json(include_str!("../fixtures/worker.json"));
    fixtures.same("report with notice", heartbeat(true, Some(30.5)));
    fixtures.same("report", heartbeat(false, None));
    fixtures.reads("report, fields absent", heartbeat(false, None));
    let response = HeartbeatResponse {
        fencing_token: Epoch(5),
        commands: commands(),
    };
    fixtures.same("answer to a report", response);
    let batch = CommandBatch {
        fencing_token: Epoch(5),
        incarnation: Incarnation(3),
        commands: commands(),
    };
    fixtures.same("orders", batch);
    let redirect = |report_to| Redirect {
        controller: report_to,
    };
    fixtures.same("redirect", redirect(Some("n2".into())));
    fixtures.same("redirect to nobody", redirect(None));
    fixtures.all_compared();
}
