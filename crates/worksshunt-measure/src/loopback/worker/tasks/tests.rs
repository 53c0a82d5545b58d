//! Tests of `tasks`.

use std::time::Duration;

use worksshunt_wire::JobId;

use super::*;

const RUN: Duration = Duration::from_secs(10);

fn plan() -> Plan {
    Plan {
        machines: 1,
        nodes: vec![],
        boot_time: Duration::ZERO,
        task_run: RUN,
        heartbeat_interval: Duration::from_secs(5),
        lease: Duration::from_secs(20),
    }
}

fn task(index: u32) -> TaskId {
    TaskId {
        job: JobId(1),
        index,
    }
}

fn launch(tasks: &mut Tasks, index: u32, observer: &Observer) {
    let command = Command::Launch {
        task: task(index),
        attempt: Attempt(u64::from(index)),
    };
    tasks.execute(&command, &plan(), observer);
}

fn reasons(tasks: &Tasks) -> Vec<Option<ExitReason>> {
    tasks
        .statuses()
        .iter()
        .map(|status| status.exit_reason)
        .collect()
}

#[test]
fn a_full_machine_refuses_a_task_and_a_repeated_launch_changes_nothing() {
    let (mut tasks, observer) = (Tasks::default(), Observer::default());
    let full = TASKS_PER_MACHINE as u32;
    (0..=full).for_each(|index| launch(&mut tasks, index, &observer));
    launch(&mut tasks, 0, &observer);
    let mut expected = vec![None; TASKS_PER_MACHINE];
    expected.push(Some(ExitReason::InsufficientResources));
    assert_eq!(reasons(&tasks), expected);
    assert_eq!(observer.observations().starts, TASKS_PER_MACHINE);
}

#[test]
fn tasks_complete_once_when_they_are_due() {
    let (mut tasks, observer) = (Tasks::default(), Observer::default());
    launch(&mut tasks, 0, &observer);
    let due_at = tasks.next_completion_at().expect("a task runs");
    tasks.complete_due(due_at - Duration::from_millis(1), &observer);
    assert_eq!(reasons(&tasks), [None]);
    tasks.complete_due(due_at, &observer);
    tasks.complete_due(due_at, &observer);
    assert_eq!(reasons(&tasks), [Some(ExitReason::Done)]);
    assert_eq!(observer.observations().histories[&task(0)].completions, 1);
    assert_eq!(tasks.next_completion_at(), None);
}

#[test]
fn an_attempt_stays_until_it_has_ended_and_is_reaped() {
    let (mut tasks, observer) = (Tasks::default(), Observer::default());
    launch(&mut tasks, 0, &observer);
    tasks.reap(Attempt(0));
    assert_eq!(reasons(&tasks), [None]);
    tasks.halt(Attempt(0), &observer);
    assert_eq!(reasons(&tasks), [Some(ExitReason::Stopped)]);
    assert!(observer.observations().running.is_empty());
    assert_eq!(observer.observations().histories[&task(0)].completions, 0);
    tasks.reap(Attempt(0));
    assert_eq!(reasons(&tasks), []);
}

#[test]
fn cleared_tasks_run_no_more() {
    let (mut tasks, observer) = (Tasks::default(), Observer::default());
    launch(&mut tasks, 0, &observer);
    tasks.clear(&observer);
    assert_eq!(reasons(&tasks), []);
    assert!(observer.observations().running.is_empty());
}
