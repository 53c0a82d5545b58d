//! Tests of `tasks`.

use std::time::Duration;

use worksshunt_wire::JobId;

use super::*;

const TASK_DURATION: Duration = Duration::from_secs(10);

fn config() -> EnvironmentConfig {
    EnvironmentConfig {
        max_machines: 1,
        controllers: vec![],
        boot_time: Duration::ZERO,
        task_duration: TASK_DURATION,
        heartbeat_interval: Duration::from_secs(5),
        worker_lease: Duration::from_secs(20),
    }
}

fn task(index: u32) -> TaskId {
    TaskId {
        job: JobId(1),
        index,
    }
}

fn launch(tasks: &mut Tasks, index: u32, observer: &TaskObserver) {
    let command = Command::Launch {
        task: task(index),
        attempt: AttemptId(u64::from(index)),
    };
    tasks.execute(&command, &config(), observer);
}

fn exit_reasons(tasks: &Tasks) -> Vec<Option<ExitReason>> {
    tasks
        .statuses()
        .iter()
        .map(|status| status.exit_reason)
        .collect()
}

#[test]
fn full_machine_refuses_task_and_repeated_launch_is_ignored() {
    let (mut tasks, observer) = (Tasks::default(), TaskObserver::default());
    let capacity = TASKS_PER_MACHINE as u32;
    (0..=capacity).for_each(|index| launch(&mut tasks, index, &observer));
    launch(&mut tasks, 0, &observer);
    let mut expected = vec![None; TASKS_PER_MACHINE];
    expected.push(Some(ExitReason::InsufficientResources));
    assert_eq!(exit_reasons(&tasks), expected);
    assert_eq!(observer.observations().starts, TASKS_PER_MACHINE);
}

#[test]
fn due_tasks_complete_once() {
    let (mut tasks, observer) = (Tasks::default(), TaskObserver::default());
    launch(&mut tasks, 0, &observer);
    let due_at = tasks.next_completion_at().expect("a task runs");
    tasks.complete_due(due_at - Duration::from_millis(1), &observer);
    assert_eq!(exit_reasons(&tasks), [None]);
    tasks.complete_due(due_at, &observer);
    tasks.complete_due(due_at, &observer);
    assert_eq!(exit_reasons(&tasks), [Some(ExitReason::Done)]);
    assert_eq!(observer.observations().histories[&task(0)].completions, 1);
    assert_eq!(tasks.next_completion_at(), None);
}

#[test]
fn attempt_is_reported_until_ended_and_reaped() {
    let (mut tasks, observer) = (Tasks::default(), TaskObserver::default());
    launch(&mut tasks, 0, &observer);
    tasks.reap(AttemptId(0));
    assert_eq!(exit_reasons(&tasks), [None]);
    tasks.halt(AttemptId(0), &observer);
    assert_eq!(exit_reasons(&tasks), [Some(ExitReason::Stopped)]);
    assert!(observer.observations().running.is_empty());
    assert_eq!(observer.observations().histories[&task(0)].completions, 0);
    tasks.reap(AttemptId(0));
    assert_eq!(exit_reasons(&tasks), []);
}

#[test]
fn removed_tasks_do_not_run() {
    let (mut tasks, observer) = (Tasks::default(), TaskObserver::default());
    launch(&mut tasks, 0, &observer);
    tasks.remove_all(&observer);
    assert_eq!(exit_reasons(&tasks), []);
    assert!(observer.observations().running.is_empty());
}
