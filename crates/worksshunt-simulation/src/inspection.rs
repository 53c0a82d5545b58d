//! What scenarios and the inspections look up in the cluster, and what scenarios write to its key-value store.

use std::collections::BTreeSet;

use serde_json::{json, Value};
use worksshunt_wire::key_value::{Change, CompareAndSwap};
use worksshunt_wire::worker::TaskState;
use worksshunt_wire::{JobId, MachineId, TaskId};

use crate::job_audit::ObservedTask;
use crate::worker::{Task, Worker};
use crate::{Cluster, LEASE_MS};

impl Cluster {
    /// A key's value in the store.
    pub fn stored(&self, key: &str) -> Option<&Value> {
        self.key_value
            .store
            .keys
            .get(key)
            .map(|stored| &stored.value)
    }

    /// Writes a value to the store, as another client would.
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

    /// Removes a key from the store.
    pub fn remove(&mut self, key: &str) {
        let key = key.to_owned();
        let write = CompareAndSwap {
            expected: Vec::new(),
            changes: vec![Change::Delete { key }],
        };
        self.write_to_store(write);
    }

    /// Writes a final state to the store, as of a job that ended long ago.
    pub fn put_final(&mut self, id: u64) {
        self.put(&format!("f/{}", JobId(id)), json!({ "state": "done" }));
    }

    /// The epoch's number according to the store; 0 before the first.
    pub fn epoch(&self) -> u64 {
        self.stored("c/epoch")
            .and_then(|epoch| epoch["number"].as_u64())
            .unwrap_or(0)
    }

    /// How many attempts were launched on a machine, whether or not the commands reached it.
    pub fn launches_on(&self, id: &MachineId) -> usize {
        self.launched
            .values()
            .filter(|launch| launch.machine == *id)
            .count()
    }

    /// How many workers have been answered in this epoch or a later one.
    pub fn answered_in(&self, epoch: u64) -> usize {
        let workers = self.workers.values();
        workers
            .filter(|worker| worker.fencing_token.0 >= epoch)
            .count()
    }

    /// How many requests with direct commands were sent to a machine.
    pub fn commands_sent_count(&self, id: &MachineId) -> usize {
        self.commands_sent_to.iter().filter(|to| *to == id).count()
    }

    /// The store's revision.
    pub fn revision(&self) -> u64 {
        self.key_value.store.revision()
    }

    /// The store's keys with a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let keys = self.key_value.store.keys.keys();
        keys.filter(|key| key.starts_with(prefix))
            .cloned()
            .collect()
    }

    /// Whether all tasks of the job have completed.
    pub fn all_done(&self, id: u64, tasks: u32) -> bool {
        (0..tasks).all(|index| {
            let job = JobId(id);
            self.invariants.has_completed(TaskId { job, index })
        })
    }

    /// Tasks on machines now.
    pub fn running(&self) -> Vec<TaskId> {
        self.on_machines().map(|(_, task)| task.task).collect()
    }

    /// How many tasks of a job are on machines now.
    pub fn running_tasks_of(&self, id: u64) -> usize {
        let tasks = self.on_machines().map(|(_, task)| task.task);
        tasks.filter(|task| task.job == JobId(id)).count()
    }

    /// Whether tasks are on a machine.
    pub fn busy(&self, id: &MachineId) -> bool {
        self.on_machines().any(|(machine, _)| machine == id)
    }

    /// The incarnation of a machine's worker; 0 if it is gone.
    pub fn worker_incarnation(&self, id: &MachineId) -> u64 {
        self.workers.get(id).map_or(0, |worker| worker.incarnation)
    }

    /// Whether a machine's worker waits for the response to a heartbeat.
    pub fn awaits_heartbeat_response(&self, id: &MachineId) -> bool {
        self.workers
            .get(id)
            .is_some_and(|worker| worker.heartbeat_in_flight.is_some())
    }

    /// Jobs with tasks on a machine.
    pub fn jobs_on(&self, id: &MachineId) -> BTreeSet<JobId> {
        let here = self.on_machines().filter(|(machine, _)| *machine == id);
        here.map(|(_, task)| task.task.job).collect()
    }

    /// Tasks on machines; those of a worker whose lease has expired are dead, hung or not.
    pub(crate) fn on_machines(&self) -> impl Iterator<Item = (&MachineId, &Task)> {
        let leased = |worker: &Worker| self.now <= worker.last_answered_at + LEASE_MS;
        self.workers.iter().flat_map(move |(id, worker)| {
            let tasks = worker.tasks.values().filter(move |_| leased(worker));
            tasks
                .filter(|task| matches!(task.state, TaskState::Running | TaskState::Saving))
                .map(move |task| (id, task))
        })
    }

    /// What is on machines, as the invariants see it.
    pub(crate) fn observed_tasks(&self) -> Vec<ObservedTask<'_>> {
        let observed = |(machine, task): (_, &Task)| {
            let worker: &Worker = &self.workers[machine];
            ObservedTask {
                task: task.task,
                machine,
                zone: &worker.zone,
                spot: worker.spot,
            }
        };
        self.on_machines().map(observed).collect()
    }
}
