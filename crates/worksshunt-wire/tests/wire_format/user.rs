//! Messages of users.

use worksshunt_wire::user::{JobKind, JobSpec, JobState, JobStatus, Priority};
use worksshunt_wire::JobId;

use crate::fixtures::Fixtures;

fn spec(kind: JobKind, priority: Priority) -> JobSpec {
    JobSpec {
        id: JobId(412),
        class: "nightly".into(),
        team: "red".into(),
        kind,
        priority,
        task_count: 40,
        cpus: 1.5,
        gpus: 0.5,
        memory_gb: 6.25,
        image: "img".into(),
        image_gb: 2.75,
        machine_types: Some(vec!["m4".into(), "m8".into()]),
        zone: Some("a".into()),
        needs_single_zone: true,
        needs_zone_spread: false,
        allows_spot: true,
        estimated_runtime_s: 600.5,
        checkpoint_interval_s: 60.25,
        checkpoint_duration_s: 4.5,
        deadline_s: Some(3_600.5),
    }
}

#[test]
fn user_messages_keep_their_bytes() {
    let mut fixtures = Fixtures::json(include_str!("../fixtures/user.json"));
    fixtures.same("array, low", spec(JobKind::Array, Priority::Low));
    fixtures.same("array, normal", spec(JobKind::Array, Priority::Normal));
    fixtures.same("array, urgent", spec(JobKind::Array, Priority::Urgent));
    // No two of the three flags are alike in both, so that none can take another's place.
    let service = JobSpec {
        needs_single_zone: false,
        needs_zone_spread: true,
        ..spec(JobKind::Service, Priority::Prod)
    };
    fixtures.same("service, prod", service);
    let bare = JobSpec {
        machine_types: None,
        zone: None,
        allows_spot: false,
        deadline_s: None,
        ..spec(JobKind::Array, Priority::Low)
    };
    fixtures.same("array, fields null", bare.clone());
    fixtures.reads("array, fields absent", bare);
    let status = |state, done, running| JobStatus {
        id: JobId(412),
        state,
        done_tasks: done,
        running_tasks: running,
    };
    fixtures.same("pending", status(JobState::Pending, None, None));
    fixtures.same("running", status(JobState::Running, Some(7), Some(5)));
    fixtures.same("done", status(JobState::Done, Some(40), None));
    fixtures.same("cancelled", status(JobState::Cancelled, None, Some(2)));
    fixtures.all_compared();
}
