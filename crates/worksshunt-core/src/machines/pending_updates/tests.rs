//! Tests of `pending_updates`: size limits of a batch, and requeueing.

use worksshunt_wire::peer::AttemptOutcome;
use worksshunt_wire::{JobId, TaskId};

use super::*;

fn ended_attempt(n: usize) -> EndedAttempt {
    EndedAttempt {
        task: TaskId {
            job: JobId(1),
            index: n as u32,
        },
        attempt: AttemptId(n as u64),
        machine: None,
        outcome: AttemptOutcome::Unplaced,
    }
}

/// Takes a batch of `machines` changed machines and `changes` changes of each other kind. Returns the rest and the
/// batch.
fn batch_of(machines: usize, changes: usize) -> (PendingUpdates, UpdateBatch) {
    let mut pending = PendingUpdates {
        machines: (0..machines)
            .map(|n| MachineId(format!("i-{n:06}")))
            .collect(),
        attempts: (0..changes).map(|n| AttemptId(n as u64)).collect(),
        ended_attempts: (0..changes).map(ended_attempt).collect(),
        ..PendingUpdates::default()
    };
    let batch = pending.take_batch();
    (pending, batch)
}

#[test]
fn changes_within_the_limits_fit_one_batch() {
    let (remaining, batch) = batch_of(MAX_MACHINES_PER_SYNC, MAX_CHANGES_PER_SYNC);
    assert!(
        remaining.machines.is_empty()
            && remaining.attempts.is_empty()
            && remaining.ended_attempts.is_empty()
    );
    assert_eq!(batch.machines.len(), MAX_MACHINES_PER_SYNC);
    assert_eq!(
        (batch.attempts.len(), batch.ended_attempts.len()),
        (MAX_CHANGES_PER_SYNC, MAX_CHANGES_PER_SYNC)
    );
}

#[test]
fn excess_changes_remain_in_order_for_the_next_batch() {
    let (mut remaining, first) = batch_of(MAX_MACHINES_PER_SYNC + 1, MAX_CHANGES_PER_SYNC + 2);
    assert_eq!(first.machines.len(), MAX_MACHINES_PER_SYNC);
    assert_eq!(
        (first.attempts.len(), first.ended_attempts.len()),
        (MAX_CHANGES_PER_SYNC, MAX_CHANGES_PER_SYNC)
    );
    assert_eq!(
        (
            remaining.machines.len(),
            remaining.attempts.len(),
            remaining.ended_attempts.len()
        ),
        (1, 2, 2)
    );
    let second = remaining.take_batch();
    assert_eq!(
        second.ended_attempts,
        vec![
            ended_attempt(MAX_CHANGES_PER_SYNC),
            ended_attempt(MAX_CHANGES_PER_SYNC + 1)
        ]
    );
}

#[test]
fn unacknowledged_changes_are_requeued_before_later_ones() {
    let (mut remaining, first) = batch_of(MAX_MACHINES_PER_SYNC + 1, MAX_CHANGES_PER_SYNC + 2);
    remaining.in_flight = Some(first);
    remaining.requeue_unacknowledged();
    assert_eq!(remaining.machines.len(), MAX_MACHINES_PER_SYNC + 1);
    let all: Vec<EndedAttempt> = (0..MAX_CHANGES_PER_SYNC + 2).map(ended_attempt).collect();
    assert_eq!(remaining.ended_attempts, all);
}
