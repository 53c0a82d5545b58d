//! Service-level objectives: what users expect of each class of jobs, as the settings state it, and the
//! times that follow for a job. The leader's scheduler owns them and orders jobs by them.

use std::collections::BTreeMap;

use worksshunt_wire::settings::Objective;

use crate::constants::fleet::{DEFAULT_SLACK_S, MAX_SLACK_S, MIN_SLACK_S};
use crate::constants::scheduling::{GUARANTEE_AT_RISK_S, OBJECTIVE_AT_RISK_S};
use crate::jobs::Job;

/// Milliseconds of a second.
const MS_PER_S: f64 = 1_000.0;

/// The objectives of one class of jobs.
#[derive(Debug, Clone, Default)]
struct ClassObjectives {
    /// Multiples of the job's deadline by which it should be done.
    deadline_factors: Vec<f64>,
    /// Seconds after acceptance within which it should be done.
    finish_within_s: Vec<f64>,
    /// Seconds after acceptance within which its tasks should start.
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

/// The objectives by class.
#[derive(Debug, Clone, Default)]
pub struct ServiceLevelObjectives {
    classes: BTreeMap<String, ClassObjectives>,
    /// Seconds within which work within a guarantee should start.
    guarantee_within_s: Option<f64>,
}

impl ServiceLevelObjectives {
    /// Reads the settings' list. Objectives of kinds that concern no scheduling are skipped.
    pub fn new(list: &[Objective]) -> ServiceLevelObjectives {
        let mut objectives = ServiceLevelObjectives::default();
        for objective in list {
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

    /// Seconds after acceptance by which a task of the job has to start, for each of the job's objectives.
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

    /// Whether an objective of the job can still be met, but not for much longer if its tasks go on
    /// waiting. A job without objectives is always at risk. `is_guaranteed`: whether the job's next
    /// task is within its team's guarantee; `wall_ms` is the time of day, milliseconds since 1970.
    pub fn is_at_risk(&self, job: &Job, wall_ms: u64, is_guaranteed: bool) -> bool {
        let age_s = age_s(job, wall_ms);
        let mut latest_starts_s = self.latest_starts_s(job);
        if is_guaranteed {
            latest_starts_s.extend(self.guarantee_within_s);
        }
        let is_near = |start_s: &f64| (0.0..=OBJECTIVE_AT_RISK_S).contains(&(start_s - age_s));
        latest_starts_s.is_empty() || latest_starts_s.iter().any(is_near)
    }

    /// Whether a job within its team's guarantee has waited nearly as long as that allows. `wall_ms` is the
    /// time of day, milliseconds since 1970.
    pub fn is_guarantee_at_risk(&self, job: &Job, wall_ms: u64) -> bool {
        let age_s = age_s(job, wall_ms);
        self.guarantee_within_s
            .is_none_or(|within_s| age_s >= within_s - GUARANTEE_AT_RISK_S)
    }

    /// The time that decides among jobs of one priority, milliseconds since 1970: its deadline; where its
    /// tasks are expected to start in time, its latest start. By deadline long jobs wait for shorter ones
    /// that come much later whenever there is more work than capacity, but fewer jobs miss it.
    pub fn ordering_time_ms(&self, job: &Job) -> Option<u64> {
        match self.class_of(job).and_then(|class| class.start_within_s) {
            Some(_) => job.latest_start_ms(),
            None => job.deadline_ms(),
        }
    }

    /// The last time at which a task of the job can start for any of the job's objectives to be met,
    /// milliseconds since 1970; none where it has none.
    pub fn last_start_ms(&self, job: &Job) -> Option<u64> {
        let last_s = self
            .latest_starts_s(job)
            .into_iter()
            .max_by(f64::total_cmp)?;
        Some(job.accepted_ms + (last_s.max(0.0) * MS_PER_S) as u64)
    }

    /// Seconds a task of the job may wait, counted from acceptance, for the first of the job's objectives
    /// to be met.
    pub fn slack_s(&self, job: &Job) -> f64 {
        self.latest_starts_s(job)
            .into_iter()
            .min_by(f64::total_cmp)
            .unwrap_or(DEFAULT_SLACK_S)
            .clamp(MIN_SLACK_S, MAX_SLACK_S)
    }

    /// Classes whose tasks should start sooner than after `seconds`.
    pub fn classes_starting_within(&self, seconds: f64) -> impl Iterator<Item = &String> {
        let is_sooner = move |start_s: f64| start_s < seconds;
        self.classes
            .iter()
            .filter(move |(_, class)| class.start_within_s.is_some_and(is_sooner))
            .map(|(name, _)| name)
    }
}

/// Seconds since a job was accepted.
fn age_s(job: &Job, wall_ms: u64) -> f64 {
    wall_ms.saturating_sub(job.accepted_ms) as f64 / MS_PER_S
}
