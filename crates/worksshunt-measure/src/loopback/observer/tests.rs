//! Tests of `observer`.

use worksshunt_wire::JobId;

use super::*;

const TASK: TaskId = TaskId {
    job: JobId(1),
    index: 0,
};

#[test]
fn each_start_and_completion_of_a_task_is_counted() {
    let observer = Observer::default();
    observer.started(TASK);
    let first_start = observer.observations().histories[&TASK].first_start;
    observer.ended(TASK, false);
    observer.started(TASK);
    observer.ended(TASK, true);
    let expected = TaskHistory {
        first_start,
        starts: 2,
        completions: 1,
    };
    assert_eq!(observer.observations().histories[&TASK], expected);
    assert_eq!(observer.observations().concurrent_starts, 0);
}
