//! Tests of `observer`.

use worksshunt_wire::JobId;

use super::*;

const TASK: TaskId = TaskId {
    job: JobId(1),
    index: 0,
};

#[test]
fn starts_and_completions_of_a_task_are_counted() {
    let observer = TaskObserver::default();
    observer.record_start(TASK);
    let first_start = observer.observations().histories[&TASK].first_start;
    observer.record_end(TASK, false);
    observer.record_start(TASK);
    observer.record_end(TASK, true);
    let expected = TaskHistory {
        first_start,
        starts: 2,
        completions: 1,
    };
    assert_eq!(observer.observations().histories[&TASK], expected);
    assert_eq!(observer.observations().concurrent_starts, 0);
}
