//! Validation of submissions. The functions are pure; the controller calls them for each submission. Error texts name
//! fields as in the protocol.

use serde_json::Value;
use worksshunt_wire::cloud::{Catalog, MachineType};
use worksshunt_wire::user::{JobKind, JobSpec};
use worksshunt_wire::JobId;

use crate::constants::job_api::MAX_TASKS_PER_JOB;
use crate::constants::placement::ROUNDING_TOLERANCE;
use crate::quota::Quota;
use crate::resources::Resources;

/// Reason for which a submission is refused permanently. Its text is part of the response to the user.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The submission is malformed (400).
    #[error("malformed: {0}")]
    Malformed(#[from] Malformed),
    /// The job can never be scheduled (422).
    #[error("can never run: {0}")]
    Unschedulable(#[from] Unschedulable),
}

/// Reason for which a submission is malformed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Malformed {
    /// The body is not JSON. Contains the parser's error.
    #[error("not JSON: {0}")]
    NotJson(String),
    /// The body is JSON but not an object.
    #[error("not an object")]
    NotAnObject,
    /// A field is missing or has a wrong type or value. Contains the parser's error.
    #[error("{0}")]
    InvalidField(String),
    /// A number is negative or not finite.
    #[error("{field} is negative or not finite")]
    InvalidAmount {
        /// Protocol name of the field.
        field: &'static str,
    },
    /// The number of tasks is out of range.
    #[error("Piezas is not in the range from 1 to {MAX_TASKS_PER_JOB}")]
    TaskCount,
    /// The job exceeds the value size limit of the key-value store, which users know as the state service.
    #[error("job exceeds the value size limit of the state service")]
    TooLarge,
}

/// Reason for which a job can never be scheduled in this deployment.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Unschedulable {
    /// The team is not in the settings.
    #[error("unknown team")]
    UnknownTeam,
    /// A single task exceeds the team's limit.
    #[error("one task exceeds the team's limit")]
    TaskExceedsLimit,
    /// The replicas of a service, which all run at the same time, exceed the team's limit.
    #[error("all replicas together exceed the team's limit")]
    ReplicasExceedLimit,
    /// No machine type that the job allows, in a zone that it allows, is large enough for a task.
    #[error("a task fits on no allowed machine type")]
    NoMachineType,
}

/// A refused submission. The ID is included because a submission with the ID of an existing job returns the job's
/// state, whatever else it contains.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{refusal}")]
pub struct RefusedSubmission {
    /// ID of the job; `None` if it cannot be read from the body.
    pub id: Option<JobId>,
    /// Reason of the refusal.
    pub refusal: Refusal,
}

/// Parses the body of a submission, and checks its values.
///
/// # Errors
/// [`Refusal::Malformed`] if the body is not a valid job description.
pub fn parse_submission(body: &[u8]) -> Result<JobSpec, RefusedSubmission> {
    let refused = |id, malformed: Malformed| RefusedSubmission {
        id,
        refusal: malformed.into(),
    };
    let value: Value = serde_json::from_slice(body)
        .map_err(|error| refused(None, Malformed::NotJson(error.to_string())))?;
    let id = value
        .get("Ref")
        .and_then(Value::as_str)
        .and_then(|text| text.parse().ok());
    parse_spec(value).map_err(|malformed| refused(id, malformed))
}

fn parse_spec(value: Value) -> Result<JobSpec, Malformed> {
    if !value.is_object() {
        return Err(Malformed::NotAnObject);
    }
    let spec: JobSpec = serde_json::from_value(value)
        .map_err(|error| Malformed::InvalidField(error.to_string()))?;
    check_amounts(&spec)?;
    if spec.task_count == 0 || spec.task_count > MAX_TASKS_PER_JOB {
        return Err(Malformed::TaskCount);
    }
    Ok(spec)
}

/// Checks that all amounts are finite and non-negative.
fn check_amounts(spec: &JobSpec) -> Result<(), Malformed> {
    let amounts = [
        ("Cores", spec.cpus),
        ("Gpus", spec.gpus),
        ("RamGb", spec.memory_gb),
        ("SizeGb", spec.image_gb),
        ("CalculoS", spec.estimated_runtime_s),
        ("RespaldoS", spec.checkpoint_interval_s),
        ("GuardadoS", spec.checkpoint_duration_s),
        ("EntregaS", spec.deadline_s.unwrap_or(0.0)),
    ];
    let invalid = amounts
        .into_iter()
        .find(|(_, amount)| !amount.is_finite() || *amount < 0.0);
    match invalid {
        Some((field, _)) => Err(Malformed::InvalidAmount { field }),
        None => Ok(()),
    }
}

/// Checks that the job could be scheduled if its team used nothing and machines of any type were available.
///
/// # Errors
/// [`Refusal::Unschedulable`] if the team is unknown, its limit is too low, or no machine type is large enough.
pub fn check_schedulable(spec: &JobSpec, catalog: &Catalog, quota: &Quota) -> Result<(), Refusal> {
    check_team_limit(spec, quota)?;
    let required = Resources::of_task(spec);
    let mut types = catalog.machine_types.iter();
    if types.any(|machine_type| can_run_on(spec, &required, machine_type)) {
        Ok(())
    } else {
        Err(Unschedulable::NoMachineType.into())
    }
}

fn check_team_limit(spec: &JobSpec, quota: &Quota) -> Result<(), Unschedulable> {
    let Some(team) = quota.team(&spec.team) else {
        return Err(Unschedulable::UnknownTeam);
    };
    let limits = team.limits();
    // All replicas of a service run at the same time, and their sum may have a rounding error. Tasks of an array can run
    // one after another.
    let (concurrent_tasks, tolerance, refusal) = match spec.kind {
        JobKind::Array => (1.0, 0.0, Unschedulable::TaskExceedsLimit),
        JobKind::Service => (
            f64::from(spec.task_count),
            ROUNDING_TOLERANCE,
            Unschedulable::ReplicasExceedLimit,
        ),
    };
    let exceeds = |per_task: f64, limit: f64| per_task * concurrent_tasks > limit + tolerance;
    if exceeds(spec.cpus, limits.cpus) || exceeds(spec.gpus, limits.gpus) {
        return Err(refusal);
    }
    Ok(())
}

/// Whether a task that requires these resources could run on an idle machine of this type.
fn can_run_on(spec: &JobSpec, required: &Resources, machine_type: &MachineType) -> bool {
    let allowed_types = spec.machine_types.as_ref();
    Resources::of_machine_type(machine_type).fits_when_empty(required)
        && allowed_types.is_none_or(|types| types.contains(&machine_type.name))
        && spec
            .zone
            .as_ref()
            .is_none_or(|zone| machine_type.zones.contains(zone))
}

#[cfg(test)]
mod tests;
