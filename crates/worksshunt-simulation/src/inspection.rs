//! Queries of the cluster's state, and direct writes to its key-value store.

use std::collections::BTreeSet;

use serde_json::{json, Value};
use worksshunt_wire::key_value::{Change, CompareAndSwap};
use worksshunt_wire::worker::TaskState;
use worksshunt_wire::{JobId, MachineId, TaskId};

use crate::task_snapshot::ObservedTask;
use crate::worker::{Task, Worker};
use crate::{Cluster, LEASE_MS};

impl Cluster {
    /// Returns a key's value in the store.
    pub fn stored(&self, key: &str) -> Option<&Value> {
        self.key_value
            .store
            .keys
            .get(key)
            .map(|stored| &stored.value)
    }

    /// Writes a value to the store as an external client.
    pub fn put(&mut self, key: &str, value: Value) {
        let change = Change::Put {
            key: key.to_owned(),
            value,
            lease_id: None,
        };
        let write = CompareAndSwap {
            expected: Vec::new(),
            changes: vec![change],
        };
        self.write_to_store(write);
    }

    /// Deletes a key from the store as an external client.
    pub fn remove(&mut self, key: &str) {
        let key = key.to_owned();
        let write = CompareAndSwap {
            expected: Vec::new(),
            changes: vec![Change::Delete { key }],
        };
        self.write_to_store(write);
    }

    /// Stores the final state of a job that completed earlier.
    pub fn put_final_state(&mut self, id: u64) {
        self.put(&format!("f/{}", JobId(id)), json!({ "state": "done" }));
    }

    /// Returns the epoch number according to the store; 0 before the first epoch.
    pub fn epoch(&self) -> u64 {
        self.stored("c/epoch")
            .and_then(|epoch| epoch["number"].as_u64())
            .unwrap_or(0)
    }

    /// Returns the number of epochs that have begun.
    pub fn epoch_count(&self) -> usize {
        self.key_value.store.write_count("c/epoch")
    }

    /// Returns the number of attempts launched on a machine, whether or not the commands reached it.
    pub fn launches_on(&self, id: &MachineId) -> usize {
        self.launches_by_attempt
            .values()
            .filter(|launch| launch.machine == *id)
            .count()
    }

    /// Returns the number of workers that have seen a fencing token of a later epoch.
    pub fn workers_with_epoch_after(&self, epoch: u64) -> usize {
        let workers = self.workers.values();
        workers
            .filter(|worker| worker.fencing_token.0 > epoch)
            .count()
    }

    /// Returns the number of direct command requests sent to a machine.
    pub fn commands_sent_count(&self, id: &MachineId) -> usize {
        self.commands_sent_to
            .iter()
            .filter(|sent_to| *sent_to == id)
            .count()
    }

    /// Returns the store's revision.
    pub fn revision(&self) -> u64 {
        self.key_value.store.revision()
    }

    /// Returns the store's keys with a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let keys = self.key_value.store.keys.keys();
        keys.filter(|key| key.starts_with(prefix))
            .cloned()
            .collect()
    }

    /// Returns whether all tasks of a job have completed.
    pub fn all_done(&self, id: u64, tasks: u32) -> bool {
        (0..tasks).all(|index| {
            let job = JobId(id);
            self.invariants.has_completed(TaskId { job, index })
        })
    }

    /// Returns the running tasks, ordered by machine and attempt.
    pub fn running(&self) -> Vec<TaskId> {
        self.running_tasks().map(|(_, task)| task.id).collect()
    }

    /// Returns the number of a job's tasks that are running.
    pub fn running_tasks_of(&self, id: u64) -> usize {
        let tasks = self.running_tasks().map(|(_, task)| task.id);
        tasks.filter(|task| task.job == JobId(id)).count()
    }

    /// Returns whether a machine has running tasks.
    pub fn is_busy(&self, id: &MachineId) -> bool {
        self.running_tasks().any(|(machine, _)| machine == id)
    }

    /// Returns the incarnation of a machine's worker; 0 if the machine does not exist.
    pub fn worker_incarnation(&self, id: &MachineId) -> u64 {
        self.workers.get(id).map_or(0, |worker| worker.incarnation)
    }

    /// Returns whether a machine's worker awaits the response to a heartbeat.
    pub fn awaits_heartbeat_response(&self, id: &MachineId) -> bool {
        self.workers
            .get(id)
            .is_some_and(|worker| worker.heartbeat_in_flight.is_some())
    }

    /// Returns the jobs with running tasks on a machine.
    pub fn jobs_on(&self, id: &MachineId) -> BTreeSet<JobId> {
        let on_machine = self.running_tasks().filter(|(machine, _)| *machine == id);
        on_machine.map(|(_, task)| task.id.job).collect()
    }

    /// Returns the running tasks with their machines. Excludes tasks of workers whose lease has expired: the worker
    /// ends them before its next step.
    pub(crate) fn running_tasks(&self) -> impl Iterator<Item = (&MachineId, &Task)> {
        let has_lease = |worker: &Worker| self.now <= worker.lease_renewed_at + LEASE_MS;
        self.workers.iter().flat_map(move |(id, worker)| {
            let tasks = worker.tasks.values().filter(move |_| has_lease(worker));
            tasks
                .filter(|task| matches!(task.state, TaskState::Running | TaskState::Saving))
                .map(move |task| (id, task))
        })
    }

    /// Returns the running tasks in the form in which the invariants check them.
    pub(crate) fn observed_tasks(&self) -> Vec<ObservedTask<'_>> {
        let observed = |(machine, task): (_, &Task)| {
            let worker: &Worker = &self.workers[machine];
            ObservedTask {
                task: task.id,
                machine,
                zone: &worker.zone,
                is_spot: worker.is_spot,
            }
        };
        self.running_tasks().map(observed).collect()
    }
}
