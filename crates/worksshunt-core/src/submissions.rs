//! The checks that a submission has to pass before it is accepted. Pure functions, called by the
//! controller for each submission; the wire fields that messages name are those of the protocol.

use serde_json::Value;
use worksshunt_wire::cloud::{Catalog, MachineType};
use worksshunt_wire::user::{JobKind, JobSpec};
use worksshunt_wire::JobId;

use crate::constants::job_api::MAX_TASKS_PER_JOB;
use crate::constants::placement::ROUNDING_TOLERANCE;
use crate::quota::Quota;
use crate::resources::Resources;

/// Why a submission is refused permanently. The text is part of the response to the user.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// It is malformed (400).
    #[error("malformed: {0}")]
    Malformed(#[from] Malformed),
    /// It can never run (422).
    #[error("can never run: {0}")]
    Impossible(#[from] Impossible),
}

/// Why a submission is malformed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Malformed {
    /// The body is not JSON, for the reason given by the parser.
    #[error("not JSON: {0}")]
    NotJson(String),
    /// The body is JSON but not an object.
    #[error("not an object")]
    NotAnObject,
    /// A field is missing or has a wrong type, for the reason given by the parser.
    #[error("{0}")]
    Field(String),
    /// A number is negative or not finite.
    #[error("{field} is not an amount")]
    NotAnAmount {
        /// Name of the field in the protocol.
        field: &'static str,
    },
    /// The number of tasks is out of range.
    #[error("Piezas is not from 1 to {MAX_TASKS_PER_JOB}")]
    TaskCount,
    /// It exceeds the value limit of the key-value store.
    #[error("longer than the state service keeps")]
    TooLong,
}

/// Why a job can never run here.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Impossible {
    /// The settings have no such team.
    #[error("unknown team")]
    UnknownTeam,
    /// A single task exceeds the team's limit.
    #[error("one task needs more than the team's limit")]
    TaskExceedsLimit,
    /// The replicas of a service, which run all at once, exceed the team's limit.
    #[error("its replicas together need more than the team's limit")]
    ReplicasExceedLimit,
    /// No machine type that the job allows is large enough.
    #[error("a task fits no allowed machine type")]
    NoMachineType,
}

/// A submission that is refused. The id is kept where it can be read, because a known job is answered
/// with its state whatever else the repeated submission contains.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{refusal}")]
pub struct RefusedSubmission {
    /// The job's id, if it can be read.
    pub id: Option<JobId>,
    /// Why it is refused.
    pub refusal: Refusal,
}

/// Parses and validates the body of a submission.
///
/// # Errors
/// [`Refusal::Malformed`] if the body is not a valid job description.
pub fn parse(body: &[u8]) -> Result<JobSpec, RefusedSubmission> {
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
    let spec: JobSpec =
        serde_json::from_value(value).map_err(|error| Malformed::Field(error.to_string()))?;
    check_amounts(&spec)?;
    if spec.task_count == 0 || spec.task_count > MAX_TASKS_PER_JOB {
        return Err(Malformed::TaskCount);
    }
    Ok(spec)
}

/// Checks that all amounts are finite and not negative.
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
        Some((field, _)) => Err(Malformed::NotAnAmount { field }),
        None => Ok(()),
    }
}

/// Checks that the job could run here at some time.
///
/// # Errors
/// [`Refusal::Impossible`] if the team is unknown, its limit is too low, or no machine type is large enough.
pub fn check_possible(spec: &JobSpec, catalog: &Catalog, quota: &Quota) -> Result<(), Refusal> {
    check_team_limit(spec, quota)?;
    let need = Resources::of_task(spec);
    let mut types = catalog.machine_types.iter();
    if types.any(|machine_type| can_run_on(spec, &need, machine_type)) {
        Ok(())
    } else {
        Err(Impossible::NoMachineType.into())
    }
}

fn check_team_limit(spec: &JobSpec, quota: &Quota) -> Result<(), Impossible> {
    let Some(team) = quota.team(&spec.team) else {
        return Err(Impossible::UnknownTeam);
    };
    let limits = team.limits();
    // Replicas run all at once, other tasks one after the other if need be.
    let (concurrent_tasks, impossible) = match spec.kind {
        JobKind::Array => (1.0, Impossible::TaskExceedsLimit),
        JobKind::Service => (f64::from(spec.task_count), Impossible::ReplicasExceedLimit),
    };
    let exceeds =
        |per_task: f64, limit: f64| per_task * concurrent_tasks > limit + ROUNDING_TOLERANCE;
    if exceeds(spec.cpus, limits.cpus) || exceeds(spec.gpus, limits.gpus) {
        return Err(impossible);
    }
    Ok(())
}

/// Whether a task that needs so much could run on an empty machine of that type.
fn can_run_on(spec: &JobSpec, need: &Resources, machine_type: &MachineType) -> bool {
    let allowed_types = spec.machine_types.as_ref();
    Resources::of_machine_type(machine_type).fits(need)
        && allowed_types.is_none_or(|types| types.contains(&machine_type.name))
        && spec
            .zone
            .as_ref()
            .is_none_or(|zone| machine_type.zones.contains(zone))
}

#[cfg(test)]
mod tests;
