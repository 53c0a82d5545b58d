//! What is accepted of users: the check of a submission.

use serde_json::Value;
use worksshunt_wire::cloud::Catalog;
use worksshunt_wire::user::{JobKind, JobSpec};
use worksshunt_wire::JobId;

use crate::constants::job_api::MAX_TASKS_PER_JOB;
use crate::constants::placement::ROUNDING_TOLERANCE;
use crate::quota::Quota;
use crate::resources::Resources;

/// Why a submission is refused for good.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// It is malformed (400).
    #[error("malformed: {0}")]
    Malformed(String),
    /// It can never run (422).
    #[error("can never run: {0}")]
    Impossible(String),
}

/// Reads a submission. The id is given along with the error where it can be read, because a known
/// job is answered with its state whatever else the repeat contains.
pub fn parse(body: &[u8]) -> Result<JobSpec, (Option<JobId>, Refusal)> {
    let value: Value = serde_json::from_slice(body)
        .map_err(|e| (None, Refusal::Malformed(format!("not JSON: {e}"))))?;
    let id = value
        .get("Ref")
        .and_then(Value::as_str)
        .and_then(|text| text.parse().ok());
    let malformed = |text: String| (id, Refusal::Malformed(text));
    if !value.is_object() {
        return Err(malformed("not an object".into()));
    }
    let spec: JobSpec = serde_json::from_value(value).map_err(|e| malformed(e.to_string()))?;
    let amounts = [
        ("Cores", spec.cpus),
        ("Gpus", spec.gpus),
        ("RamGb", spec.memory_gb),
        ("SizeGb", spec.image_gb),
        ("CalculoS", spec.estimate_s),
        ("RespaldoS", spec.checkpoint_s),
        ("GuardadoS", spec.save_s),
        ("EntregaS", spec.deadline_s.unwrap_or(0.0)),
    ];
    for (name, amount) in amounts {
        if !amount.is_finite() || amount < 0.0 {
            return Err(malformed(format!("{name} is not an amount")));
        }
    }
    if spec.tasks == 0 || spec.tasks > MAX_TASKS_PER_JOB {
        return Err(malformed(format!(
            "Piezas is not from 1 to {MAX_TASKS_PER_JOB}"
        )));
    }
    Ok(spec)
}

/// Whether the job could ever run here.
pub fn check_possible(spec: &JobSpec, catalog: &Catalog, quota: &Quota) -> Result<(), Refusal> {
    let impossible = |text: &str| Err(Refusal::Impossible(text.to_owned()));
    let Some(team) = quota.team(&spec.team) else {
        return impossible("unknown team");
    };
    let (cpus_max, gpus_max) = team.limits();
    // Replicas run all at once, other tasks one after the other if need be.
    let (at_once, text) = match spec.kind {
        JobKind::Array => (1.0, "one task needs more than the team's limit"),
        JobKind::Service => (
            f64::from(spec.tasks),
            "its replicas together need more than the team's limit",
        ),
    };
    let over = |each: f64, limit: f64| each * at_once > limit + ROUNDING_TOLERANCE;
    if over(spec.cpus, cpus_max) || over(spec.gpus, gpus_max) {
        return impossible(text);
    }
    let need = Resources::of_task(spec);
    let fits = catalog.types.iter().any(|t| {
        Resources::of_machine_type(t).fits(&need)
            && spec
                .machine_types
                .as_ref()
                .is_none_or(|types| types.contains(&t.name))
            && spec.zone.as_ref().is_none_or(|zone| t.zones.contains(zone))
    });
    if fits {
        Ok(())
    } else {
        impossible("a task fits no allowed machine type")
    }
}
