//! What users expect of each class of jobs, as the settings say it.

use std::collections::BTreeMap;

use worksshunt_wire::settings::Objective;

use crate::constants::fleet::{DEFAULT_SLACK_S, MAX_SLACK_S, MIN_SLACK_S};
use crate::constants::scheduling::{GUARANTEE_LEAD_S, OBJECTIVE_AT_RISK_S};
use crate::jobs::Job;

#[derive(Debug, Clone, Default)]
struct Class {
    /// Multiples of the job's deadline by which it should be done.
    times: Vec<f64>,
    /// Seconds within which it should be done.
    finish_s: Vec<f64>,
    /// Seconds within which its tasks should start.
    start_s: Option<f64>,
}

/// The objectives by class.
#[derive(Debug, Clone, Default)]
pub struct ServiceLevelObjectives {
    classes: BTreeMap<String, Class>,
    /// Seconds within which work within a guarantee should start.
    guarantee_s: Option<f64>,
}

impl ServiceLevelObjectives {
    /// Reads the settings' list.
    pub fn new(list: &[Objective]) -> ServiceLevelObjectives {
        let mut classes: BTreeMap<String, Class> = BTreeMap::new();
        let mut guarantee_s = None;
        for objective in list {
            if objective.kind == "guarantee" {
                guarantee_s = objective.within_s;
            }
            let Some(name) = &objective.class else {
                continue;
            };
            let class = classes.entry(name.clone()).or_default();
            match objective.kind.as_str() {
                "deadline" => class.times.push(objective.times.unwrap_or(1.0)),
                "finished" => class.finish_s.extend(objective.within_s),
                "wait" => class.start_s = objective.within_s,
                _ => {}
            }
        }
        ServiceLevelObjectives {
            classes,
            guarantee_s,
        }
    }

    /// Seconds after acceptance by which a task of the job has to start, for each thing expected of
    /// the job.
    fn latest_starts_s(&self, job: &Job) -> Vec<f64> {
        let class = self.classes.get(&job.spec.class);
        let mut done: Vec<f64> = class.map_or(Vec::new(), |c| c.finish_s.clone());
        if let Some(deadline) = job.spec.deadline_s {
            match class.filter(|c| !c.times.is_empty()) {
                Some(class) => done.extend(class.times.iter().map(|times| times * deadline)),
                None => done.push(deadline),
            }
        }
        done.into_iter()
            .map(|done| done - job.spec.estimate_s)
            .chain(class.and_then(|class| class.start_s))
            .collect()
    }

    /// Whether something expected of the job can still be met, but not for much longer if its tasks
    /// go on waiting. A job of which nothing is expected is always pressing.
    pub fn at_risk(&self, job: &Job, wall_ms: u64, guaranteed: bool) -> bool {
        let age_s = wall_ms.saturating_sub(job.accepted_ms) as f64 / 1_000.0;
        let mut starts = self.latest_starts_s(job);
        if guaranteed {
            starts.extend(self.guarantee_s);
        }
        starts.is_empty()
            || starts
                .iter()
                .any(|start| (0.0..=OBJECTIVE_AT_RISK_S).contains(&(start - age_s)))
    }

    /// The moment that decides among jobs of one priority: its deadline; where its tasks are expected to
    /// start in time, its latest start. By deadline long jobs wait for shorter ones that come much later
    /// whenever there is more work than room, but fewer jobs miss it.
    pub fn ordering_time_ms(&self, job: &Job) -> Option<u64> {
        let class = self.classes.get(&job.spec.class);
        match class.and_then(|class| class.start_s) {
            Some(_) => job.latest_start_ms(),
            None => job.deadline_ms(),
        }
    }

    /// The last moment at which a task of the job can start for anything expected of the job to be met; none
    /// where nothing is expected of it.
    pub fn last_start_ms(&self, job: &Job) -> Option<u64> {
        let last_s = self
            .latest_starts_s(job)
            .into_iter()
            .max_by(f64::total_cmp)?;
        Some(job.accepted_ms + (last_s.max(0.0) * 1_000.0) as u64)
    }

    /// Classes whose tasks should start sooner than that.
    pub fn classes_starting_within(&self, seconds: f64) -> impl Iterator<Item = &String> {
        let sooner = move |class: &Class| class.start_s.is_some_and(|start| start < seconds);
        let classes = self.classes.iter();
        classes
            .filter(move |(_, class)| sooner(class))
            .map(|(name, _)| name)
    }

    /// Whether a job within its team's guarantee has waited nearly as long as that allows.
    pub fn guarantee_at_risk(&self, job: &Job, wall_ms: u64) -> bool {
        let age_s = wall_ms.saturating_sub(job.accepted_ms) as f64 / 1_000.0;
        self.guarantee_s
            .is_none_or(|within_s| age_s >= within_s - GUARANTEE_LEAD_S)
    }

    /// Seconds a task of the job may wait, counted from acceptance, for the first thing expected
    /// of the job to be met.
    pub fn slack_s(&self, job: &Job) -> f64 {
        self.latest_starts_s(job)
            .into_iter()
            .min_by(f64::total_cmp)
            .unwrap_or(DEFAULT_SLACK_S)
            .clamp(MIN_SLACK_S, MAX_SLACK_S)
    }
}
