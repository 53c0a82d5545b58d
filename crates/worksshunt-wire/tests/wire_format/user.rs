//! Encoding of messages of the user interface.

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
fn user_messages_match_fixtures() {
    let mut fixtures = Fixtures::json(include_str!("../fixtures/user.json"));
    fixtures.assert_round_trip("array, low", spec(JobKind::Array, Priority::Low));
    fixtures.assert_round_trip("array, normal", spec(JobKind::Array, Priority::Normal));
    fixtures.assert_round_trip("array, urgent", spec(JobKind::Array, Priority::Urgent));
    // No two flags are equal in both kinds of job, so that swapped flags are detected.
    let service = JobSpec {
        needs_single_zone: false,
        needs_zone_spread: true,
        ..spec(JobKind::Service, Priority::Prod)
    };
    fixtures.assert_round_trip("service, prod", service);
    let minimal = JobSpec {
        machine_types: None,
        zone: None,
        allows_spot: false,
        deadline_s: None,
        ..spec(JobKind::Array, Priority::Low)
    };
    fixtures.assert_round_trip("array, fields null", minimal.clone());
    fixtures.assert_decodes("array, fields absent", minimal);
    let status = |state, done_tasks, running_tasks| JobStatus {
        id: JobId(412),
        state,
        done_tasks,
        running_tasks,
    };
    fixtures.assert_round_trip("pending", status(JobState::Pending, None, None));
    fixtures.assert_round_trip("running", status(JobState::Running, Some(7), Some(5)));
    fixtures.assert_round_trip("done", status(JobState::Done, Some(40), None));
    fixtures.assert_round_trip("cancelled", status(JobState::Cancelled, None, Some(2)));
    fixtures.assert_all_compared();
}
