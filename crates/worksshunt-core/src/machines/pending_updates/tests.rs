//! Tests of `pending_updates`: how much one status contains.

use worksshunt_wire::peer::AttemptOutcome;
use worksshunt_wire::{JobId, TaskId};

use super::*;

fn ended(n: usize) -> EndedAttempt {
    EndedAttempt {
        task: TaskId {
            job: JobId(1),
            index: n as u32,
        },
        attempt: Attempt(n as u64),
        machine: None,
        outcome: AttemptOutcome::Unplaced,
    }
}

/// What is left and what a status contains of so many changes of each kind.
fn batch_of(machines: usize, changes: usize) -> (PendingUpdates, UpdateBatch) {
    let mut pending = PendingUpdates {
        machines: (0..machines)
            .map(|n| MachineId(format!("i-{n:06}")))
            .collect(),
        attempts: (0..changes).map(|n| Attempt(n as u64)).collect(),
        ended_attempts: (0..changes).map(ended).collect(),
        ..PendingUpdates::default()
    };
    let batch = pending.take_batch();
    (pending, batch)
}

#[test]
fn as_much_as_a_status_takes_is_sent_at_once() {
    let (left, batch) = batch_of(MAX_MACHINES_PER_SYNC, MAX_CHANGES_PER_SYNC);
    assert!(left.machines.is_empty() && left.attempts.is_empty() && left.ended_attempts.is_empty());
    assert_eq!(batch.machines.len(), MAX_MACHINES_PER_SYNC);
    assert_eq!(
        (batch.attempts.len(), batch.ended_attempts.len()),
        (MAX_CHANGES_PER_SYNC, MAX_CHANGES_PER_SYNC)
    );
}

#[test]
fn what_is_too_much_is_left_for_the_next_status_in_its_order() {
    let (mut left, first) = batch_of(MAX_MACHINES_PER_SYNC + 1, MAX_CHANGES_PER_SYNC + 2);
    assert_eq!(first.machines.len(), MAX_MACHINES_PER_SYNC);
    assert_eq!(
        (first.attempts.len(), first.ended_attempts.len()),
        (MAX_CHANGES_PER_SYNC, MAX_CHANGES_PER_SYNC)
    );
    assert_eq!(
        (
            left.machines.len(),
            left.attempts.len(),
            left.ended_attempts.len()
        ),
        (1, 2, 2)
    );
    let second = left.take_batch();
    assert_eq!(
        second.ended_attempts,
        vec![ended(MAX_CHANGES_PER_SYNC), ended(MAX_CHANGES_PER_SYNC + 1)]
    );
}

#[test]
fn what_was_not_answered_is_sent_again_before_what_came_later() {
    let (mut left, first) = batch_of(MAX_MACHINES_PER_SYNC + 1, MAX_CHANGES_PER_SYNC + 2);
    left.in_flight = Some(first);
    left.requeue_unacknowledged();
    assert_eq!(left.machines.len(), MAX_MACHINES_PER_SYNC + 1);
    let all: Vec<EndedAttempt> = (0..MAX_CHANGES_PER_SYNC + 2).map(ended).collect();
    assert_eq!(left.ended_attempts, all);
}
