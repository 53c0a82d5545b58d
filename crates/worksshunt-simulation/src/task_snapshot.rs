//! A snapshot of the tasks that run on machines, grouped by job.

use std::collections::BTreeMap;

use worksshunt_wire::{JobId, MachineId, TaskId};

/// A running task, borrowed from the cluster.
#[derive(Debug, Clone)]
pub struct ObservedTask<'a> {
    /// The running task.
    pub task: TaskId,
    /// The machine on which it runs.
    pub machine: &'a MachineId,
    /// The machine's zone.
    pub zone: &'a str,
    /// Whether the machine is a spot instance.
    pub is_spot: bool,
}

/// A running task in a [`TaskSnapshot`].
#[derive(Debug, Clone)]
pub struct SnapshotTask {
    /// The running task.
    pub task: TaskId,
    /// The machine on which it runs.
    pub machine: MachineId,
    /// The machine's zone.
    pub zone: String,
    /// Whether the machine is a spot instance.
    pub is_spot: bool,
}

/// The tasks that run at one point in virtual time. Tasks that start later in the same millisecond are added. Those
/// that end in it are not removed, since no controller can be aware of their end yet.
#[derive(Debug, Default)]
pub struct TaskSnapshot {
    taken_at: u64,
    by_job: BTreeMap<JobId, Vec<SnapshotTask>>,
}

impl TaskSnapshot {
    /// Creates a snapshot of the running tasks.
    pub fn new(taken_at: u64, running_tasks: &[ObservedTask]) -> TaskSnapshot {
        let mut snapshot = TaskSnapshot {
            taken_at,
            by_job: BTreeMap::new(),
        };
        running_tasks.iter().for_each(|task| snapshot.add(task));
        snapshot
    }

    /// Returns whether the snapshot was taken at a time, ms.
    pub fn is_taken_at(&self, now: u64) -> bool {
        self.taken_at == now
    }

    /// Adds a task that started after the snapshot was taken.
    pub fn add(&mut self, observed: &ObservedTask) {
        self.by_job
            .entry(observed.task.job)
            .or_default()
            .push(SnapshotTask {
                task: observed.task,
                machine: observed.machine.clone(),
                zone: observed.zone.to_owned(),
                is_spot: observed.is_spot,
            });
    }

    /// Returns the running tasks of a job.
    pub fn tasks_of(&self, id: JobId) -> &[SnapshotTask] {
        self.by_job.get(&id).map_or(&[], Vec::as_slice)
    }

    /// Returns the jobs with running tasks, and their numbers of running tasks.
    pub fn task_counts(&self) -> impl Iterator<Item = (&JobId, usize)> {
        self.by_job.iter().map(|(id, tasks)| (id, tasks.len()))
    }
}
