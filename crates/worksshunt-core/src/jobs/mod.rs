//! Jobs: what every controller knows of the open ones, and which tasks are done.
//!
//! Keys in the state service: `j/ID` an open job, `j/+N` a page of jobs taken in together, `f/ID` the
//! final state of one that is over, `d/N` a page of completed tasks of open ones.

mod completions;
mod job_cache;

use std::rc::Rc;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use worksshunt_wire::cloud::MachineType;
use worksshunt_wire::user::{JobKind, JobSpec, JobState, Priority};
use worksshunt_wire::{ControllerName, JobId, Revision, TeamName};

use crate::resources::Resources;

pub use completions::{
    completions_key, read_completions, CompletedTasks, Completions, CompletionsKey,
};
pub use job_cache::{JobCache, JobCacheChange, OpenJob, SubmissionBatch};

/// Prefix of open jobs.
pub const OPEN: &str = "j/";
/// Prefix of final states.
pub const FINAL: &str = "f/";
/// Prefix of the pages of completed tasks.
pub const DONE: &str = "d/";

/// Key of an open job.
pub fn open_job_key(id: JobId) -> String {
    format!("{OPEN}{id}")
}

/// Prefix of the pages of jobs taken in together, which watches of open jobs see too.
const INTAKE: &str = "j/+";

/// Key of a page of jobs taken in by one life of a controller.
pub fn submission_batch_key(node: &ControllerName, lease: u64, number: u64) -> String {
    format!("{INTAKE}{node}.{lease}.{number}")
}

/// Whether a key is that of such a page.
pub fn is_submission_batch(key: &str) -> bool {
    key.starts_with(INTAKE)
}

/// The job that the key of an open job or of a final state belongs to.
pub fn job_of_key(key: &str) -> Option<JobId> {
    id_of(key, OPEN).or_else(|| id_of(key, FINAL))
}

/// Version of the intake pages' form.
const INTAKE_FORM: u32 = 1;

#[derive(Serialize, Deserialize)]
struct StoredIntake<J> {
    v: u32,
    jobs: Vec<J>,
}

/// A page of jobs taken in together, as stored.
pub fn submission_batch_value(jobs: &[&Job]) -> Value {
    let jobs = jobs.to_vec();
    serde_json::json!(StoredIntake {
        v: INTAKE_FORM,
        jobs
    })
}

/// Reads a page; none of a version that is not understood, which is left alone.
fn read_submission_batch(key: &str, value: &Value, version: Revision) -> Option<SubmissionBatch> {
    match StoredIntake::<Job>::deserialize(value) {
        Ok(stored) if stored.v == INTAKE_FORM => Some(SubmissionBatch {
            jobs: stored.jobs.into_iter().map(Rc::new).collect(),
            version,
        }),
        _ => {
            tracing::error!(key, "a page of jobs taken in cannot be read");
            None
        }
    }
}

/// Key of a final state.
pub fn final_state_key(id: JobId) -> String {
    format!("{FINAL}{id}")
}

/// Reads a key of the form `PREFIX ID`.
fn id_of(key: &str, prefix: &str) -> Option<JobId> {
    key.strip_prefix(prefix)?.parse().ok()
}

/// An accepted job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// What the user asked for.
    #[serde(rename = "spec")]
    pub spec: JobSpec,
    /// When it was accepted, milliseconds since 1970.
    #[serde(rename = "at")]
    pub accepted_ms: u64,
}

impl Job {
    /// Whether its tasks are replicas that run until the job is cancelled, so that it is never done.
    pub fn is_service(&self) -> bool {
        self.spec.kind == JobKind::Service
    }

    /// A service nobody asked for, whose replicas each take a whole machine of that type.
    pub fn whole_machine(machine: &MachineType) -> Job {
        let spec = JobSpec {
            id: JobId(0),
            class: String::new(),
            team: TeamName::default(),
            kind: JobKind::Service,
            priority: Priority::Prod,
            tasks: 1,
            cpus: machine.cpus,
            gpus: machine.gpus,
            memory_gb: machine.memory_gb,
            image: String::new(),
            image_gb: 0.0,
            machine_types: Some(vec![machine.name.clone()]),
            zone: None,
            one_zone: false,
            spread: false,
            spot: false,
            estimate_s: 0.0,
            checkpoint_s: 0.0,
            save_s: 0.0,
            deadline_s: None,
        };
        Job {
            spec,
            accepted_ms: 0,
        }
    }

    /// What one of its tasks takes.
    pub fn resources(&self) -> Resources {
        Resources::of_task(&self.spec)
    }

    /// When it should be complete, milliseconds since 1970.
    pub fn deadline_ms(&self) -> Option<u64> {
        let deadline = self.spec.deadline_s?;
        Some(self.accepted_ms.saturating_add((deadline * 1_000.0) as u64))
    }

    /// When its last tasks have to start for that, by the estimate.
    pub fn latest_start_ms(&self) -> Option<u64> {
        let estimate_ms = (self.spec.estimate_s * 1_000.0) as u64;
        Some(self.deadline_ms()?.saturating_sub(estimate_ms))
    }

    /// Whether a machine of that type, zone and kind may run its tasks.
    pub fn allows_machine(&self, machine_type: &str, zone: &str, spot: bool) -> bool {
        (!spot || self.spec.spot)
            && self.spec.zone.as_ref().is_none_or(|z| z == zone)
            && self
                .spec
                .machine_types
                .as_ref()
                .is_none_or(|types| types.iter().any(|t| t == machine_type))
    }

    /// Whether it leaves such a machine to services, where any are open and spot machines are up
    /// (`kept`): those may use ordinary ones only and have to be there within seconds.
    pub fn leaves_machine_to_others(&self, spot: bool, kept: bool) -> bool {
        kept && !spot && self.spec.spot
    }

    /// Whether zones of its tasks depend on each other.
    pub fn has_zone_constraint(&self) -> bool {
        self.spec.one_zone || self.spec.spread
    }

    /// Most tasks one zone may have.
    pub fn zone_limit(&self) -> u32 {
        if self.spec.spread {
            self.spec.tasks.div_ceil(2)
        } else {
            self.spec.tasks
        }
    }
}

/// A final state as stored.
pub fn final_state_value(state: JobState) -> Value {
    serde_json::json!({ "state": state })
}

/// The final state of a cancelled job as stored. Its tasks go on using what they use until they are
/// gone, which a leader that never knew the job open has to reckon with: so the job is kept along.
pub fn cancelled_state_value(job: Option<&Job>) -> Value {
    let mut value = final_state_value(JobState::Cancelled);
    if let Some(job) = job {
        value["job"] = serde_json::json!(job);
    }
    value
}

/// Reads the job that is kept along with the final state of a cancelled one, if it is.
pub fn read_cancelled(value: &Value) -> Option<Job> {
    serde_json::from_value(value.get("job")?.clone()).ok()
}

/// Reads a stored final state.
pub fn read_final_state(value: &Value) -> Option<JobState> {
    serde_json::from_value(value.get("state")?.clone()).ok()
}

#[cfg(test)]
mod tests;
