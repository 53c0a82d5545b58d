//! What is on machines at one moment, by job.

use std::collections::BTreeMap;

use worksshunt_wire::{JobId, MachineId, TaskId};

/// A task on a machine, as it is there.
#[derive(Debug, Clone)]
pub struct ObservedTask<'a> {
    /// The task.
    pub task: TaskId,
    /// Its machine.
    pub machine: &'a MachineId,
    /// The machine's zone.
    pub zone: &'a str,
    /// Whether it is a spot machine.
    pub spot: bool,
}

/// A task on a machine.
#[derive(Debug, Clone)]
pub struct AuditedTask {
    /// The task.
    pub task: TaskId,
    /// Its machine.
    pub machine: MachineId,
    /// The machine's zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
}

/// What is on machines at one moment. What starts in the same moment is added; what ends in it is not
/// taken out, since no controller can have been informed of that yet.
#[derive(Debug, Default)]
pub struct JobAudit {
    at: u64,
    by_job: BTreeMap<JobId, Vec<AuditedTask>>,
}

impl JobAudit {
    /// Counts what is there.
    pub fn new(at: u64, on_machines: &[ObservedTask]) -> JobAudit {
        let mut audit = JobAudit {
            at,
            by_job: BTreeMap::new(),
        };
        on_machines.iter().for_each(|task| audit.add(task));
        audit
    }

    /// Whether it was taken at that moment.
    pub fn is_of(&self, now: u64) -> bool {
        self.at == now
    }

    /// Adds a task that has started since.
    pub fn add(&mut self, observed: &ObservedTask) {
        self.by_job
            .entry(observed.task.job)
            .or_default()
            .push(AuditedTask {
                task: observed.task,
                machine: observed.machine.clone(),
                zone: observed.zone.to_owned(),
                spot: observed.spot,
            });
    }

    /// Tasks of a job on machines.
    pub fn of_job(&self, id: JobId) -> &[AuditedTask] {
        self.by_job.get(&id).map_or(&[], Vec::as_slice)
    }

    /// Jobs with tasks on machines, and how many.
    pub fn jobs(&self) -> impl Iterator<Item = (&JobId, usize)> {
        self.by_job.iter().map(|(id, tasks)| (id, tasks.len()))
    }
}
