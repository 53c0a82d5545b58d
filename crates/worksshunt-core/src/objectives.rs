//! Service-level objectives of the classes of jobs, from the settings, and the start times that they imply for a job.
//! The leader's scheduler orders jobs by them.

use std::collections::BTreeMap;

use worksshunt_wire::settings::Objective;

use crate::constants::fleet::{DEFAULT_SLACK_S, MAX_SLACK_S, MIN_SLACK_S};
use crate::constants::scheduling::{GUARANTEE_AT_RISK_S, OBJECTIVE_AT_RISK_S};
use crate::jobs::Job;

/// Milliseconds per second.
const MS_PER_S: f64 = 1_000.0;

/// Objectives of one class of jobs.
#[derive(Debug, Clone, Default)]
struct ClassObjectives {
    /// Multiples of the time to a job's deadline within which the job should be complete.
    deadline_factors: Vec<f64>,
    /// Seconds from acceptance within which a job should be complete.
    finish_within_s: Vec<f64>,
    /// Seconds from acceptance within which a job's tasks should start; `None` without such an objective.
    start_within_s: Option<f64>,
}

impl ClassObjectives {
    fn add(&mut self, objective: &Objective) {
        match objective.kind.as_str() {
            "deadline" => self
                .deadline_factors
                .push(objective.deadline_factor.unwrap_or(1.0)),
            "finished" => self.finish_within_s.extend(objective.within_s),
            "wait" => self.start_within_s = objective.within_s,
            _ => {}
        }
    }
}

/// Objectives of all classes.
#[derive(Debug, Clone, Default)]
pub struct ServiceLevelObjectives {
    classes: BTreeMap<String, ClassObjectives>,
    /// Seconds from acceptance within which tasks within a team's guarantee should start, in all classes; `None`
    /// without such an objective.
    guarantee_within_s: Option<f64>,
}

impl ServiceLevelObjectives {
    /// Objectives in the settings. Those of kinds that do not affect scheduling are skipped.
    pub fn new(settings: &[Objective]) -> ServiceLevelObjectives {
        let mut objectives = ServiceLevelObjectives::default();
        for objective in settings {
            if objective.kind == "guarantee" {
                objectives.guarantee_within_s = objective.within_s;
            }
            if let Some(name) = &objective.class {
                let class = objectives.classes.entry(name.clone()).or_default();
                class.add(objective);
            }
        }
        objectives
    }

    fn class_of(&self, job: &Job) -> Option<&ClassObjectives> {
        self.classes.get(&job.spec.class)
    }

    /// Latest start of the job's tasks that meets an objective, seconds from acceptance, for each objective of the job.
    fn latest_starts_s(&self, job: &Job) -> Vec<f64> {
        let class = self.class_of(job);
        let mut finish_within_s = class.map_or(Vec::new(), |class| class.finish_within_s.clone());
        if let Some(deadline_s) = job.spec.deadline_s {
            let factors = class.map_or(&[][..], |class| &class.deadline_factors);
            if factors.is_empty() {
                finish_within_s.push(deadline_s);
            }
            finish_within_s.extend(factors.iter().map(|factor| factor * deadline_s));
        }
        finish_within_s
            .into_iter()
            .map(|within_s| within_s - job.spec.estimated_runtime_s)
            .chain(class.and_then(|class| class.start_within_s))
            .collect()
    }

    /// Whether the latest start for an objective of the job is at most [`OBJECTIVE_AT_RISK_S`] ahead and not past. A
    /// job without objectives is always at risk. `is_guaranteed` is whether its team's guarantee covers its next
    /// task; `wall_ms` is the wall-clock time, milliseconds since 1970.
    pub fn is_at_risk(&self, job: &Job, wall_ms: u64, is_guaranteed: bool) -> bool {
        let age_s = age_s(job, wall_ms);
        let mut latest_starts_s = self.latest_starts_s(job);
        if is_guaranteed {
            latest_starts_s.extend(self.guarantee_within_s);
        }
        let is_near = |start_s: &f64| (0.0..=OBJECTIVE_AT_RISK_S).contains(&(start_s - age_s));
        latest_starts_s.is_empty() || latest_starts_s.iter().any(is_near)
    }

    /// Whether a job within its team's guarantee has at most [`GUARANTEE_AT_RISK_S`] left to start, or is past that
    /// time; always true without an objective for guarantees. `wall_ms` is the wall-clock time in milliseconds since
    /// 1970.
    pub fn is_guarantee_at_risk(&self, job: &Job, wall_ms: u64) -> bool {
        let age_s = age_s(job, wall_ms);
        self.guarantee_within_s
            .is_none_or(|within_s| age_s >= within_s - GUARANTEE_AT_RISK_S)
    }

    /// Sort key among jobs of one priority, milliseconds since 1970: the latest start for a class with a start
    /// objective, the deadline for other classes; `None` for a job without a deadline. Under overload, ordering by
    /// deadline delays long jobs in favor of shorter ones submitted later, but fewer jobs miss their deadlines.
    pub fn ordering_time_ms(&self, job: &Job) -> Option<u64> {
        match self.class_of(job).and_then(|class| class.start_within_s) {
            Some(_) => job.latest_start_ms(),
            None => job.deadline_ms(),
        }
    }

    /// Latest start of the job's tasks that meets at least one of its objectives, milliseconds since 1970; `None` for a
    /// job without objectives.
    pub fn latest_start_for_any_objective_ms(&self, job: &Job) -> Option<u64> {
        let last_s = self
            .latest_starts_s(job)
            .into_iter()
            .max_by(f64::total_cmp)?;
        let last_ms = (last_s.max(0.0) * MS_PER_S) as u64;
        Some(job.accepted_ms.saturating_add(last_ms))
    }

    /// Seconds from acceptance that the job's tasks may wait without missing any objective ([`DEFAULT_SLACK_S`] without
    /// objectives), clamped to the range from [`MIN_SLACK_S`] to [`MAX_SLACK_S`].
    pub fn slack_s(&self, job: &Job) -> f64 {
        self.latest_starts_s(job)
            .into_iter()
            .min_by(f64::total_cmp)
            .unwrap_or(DEFAULT_SLACK_S)
            .clamp(MIN_SLACK_S, MAX_SLACK_S)
    }

    /// Classes whose tasks should start in less than `seconds` from acceptance.
    pub fn classes_starting_within(&self, seconds: f64) -> impl Iterator<Item = &String> {
        let is_within = move |start_within_s: f64| start_within_s < seconds;
        self.classes
            .iter()
            .filter(move |(_, class)| class.start_within_s.is_some_and(is_within))
            .map(|(name, _)| name)
    }
}

/// Seconds since the job was accepted.
fn age_s(job: &Job, wall_ms: u64) -> f64 {
    wall_ms.saturating_sub(job.accepted_ms) as f64 / MS_PER_S
}
