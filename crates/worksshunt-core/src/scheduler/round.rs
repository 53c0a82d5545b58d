//! Scheduling rounds: in which order the jobs with waiting tasks are served.
//!
//! [`Scheduler`] owns one [`SchedulingRound`]; the leading controller calls
//! [`run_round`](Scheduler::run_round) until its time budget is used up.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use worksshunt_wire::JobId;

use crate::constants::scheduling::{OLD_JOB_AGE_MS, OLD_JOB_STARVATION_MS, STARVATION_MS};
use crate::constants::timers::ROUND_INTERVAL_MS;
use crate::jobs::Job;
use crate::time::{Budget, Now, Time};

use super::job_tasks::JobTasks;
use super::Scheduler;

/// What a job is served for in a round, in this order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Pass {
    /// No task of it was dispatched for so long that it gets a share of its tasks before all others.
    Starved,
    /// Its team is within its guarantee, and it would soon have waited too long for that.
    GuaranteeAtRisk,
    /// What leaves its team within its guarantee.
    WithinGuarantee,
    /// What its team's limit admits.
    WithinLimit,
}

/// One job's turn in a round.
#[derive(Debug, Clone, Copy)]
struct Turn {
    pass: Pass,
    job: JobId,
}

/// A round under way: the jobs' turns in order of service, and how far it has come.
#[derive(Debug, Default)]
pub(super) struct SchedulingRound {
    turns: Vec<Turn>,
    position: usize,
    began_at: Option<Time>,
    /// Something changed that another round may make use of.
    is_requested: bool,
    /// Jobs that come first as long as their team is within its guarantee, as of the round's beginning.
    at_risk: BTreeSet<JobId>,
}

impl SchedulingRound {
    /// Something changed that another round may make use of.
    pub fn request(&mut self) {
        self.is_requested = true;
    }

    /// Whether the job comes first as long as its team is within its guarantee.
    pub fn is_at_risk(&self, job: &Job) -> bool {
        self.at_risk.contains(&job.spec.id)
    }

    fn is_over(&self) -> bool {
        self.position >= self.turns.len()
    }

    /// Whether a new round should begin: one is requested, and the last began long enough ago.
    fn is_due(&self, now: Time) -> bool {
        self.is_requested
            && self
                .began_at
                .is_none_or(|began_at| now.since(began_at) >= ROUND_INTERVAL_MS)
    }

    fn next_turn(&self) -> Option<Turn> {
        self.turns.get(self.position).copied()
    }
}

impl Scheduler {
    /// Dispatches waiting tasks: first of jobs that have waited too long; then what leaves its team within
    /// its guarantee and has waited nearly as long as that allows, by priority, and among equals first
    /// the jobs that users take to be within it; then by priority, among equals what leaves its team
    /// within its guarantee before the rest. Each by deadline or latest start, and age. Goes on where the last call
    /// stopped.
    pub fn run_round(&mut self, now: Now, budget: &Budget) {
        if self.round.is_over() {
            if !self.round.is_due(now.steady) {
                return;
            }
            self.begin_round(now);
        }
        while let Some(turn) = self.round.next_turn() {
            if budget.is_exhausted() || self.attempts_exhausted() {
                return;
            }
            self.dispatch_job(now, turn.pass, turn.job);
            self.round.position += 1;
        }
    }

    fn begin_round(&mut self, now: Now) {
        let waiting = self.dispatchable_jobs(now, |tasks| tasks.waiting() > 0);
        let at_risk = self.guarantees_at_risk(&waiting, now);
        let mut turns = turns_of(Pass::Starved, &starved_jobs(&waiting, now));
        turns.extend(turns_of(Pass::GuaranteeAtRisk, &at_risk));
        for equals in waiting.chunk_by(|a, b| a.job.spec.priority == b.job.spec.priority) {
            turns.extend(turns_of(Pass::WithinGuarantee, equals));
            turns.extend(turns_of(Pass::WithinLimit, equals));
        }
        self.round = SchedulingRound {
            at_risk: at_risk.iter().map(|tasks| tasks.job.spec.id).collect(),
            turns,
            position: 0,
            began_at: Some(now.steady),
            is_requested: false,
        };
        self.quota.clear_reservations();
    }

    /// Jobs that `filter` admits and that no backoff delays, in order of service.
    pub(super) fn dispatchable_jobs(
        &self,
        now: Now,
        filter: impl Fn(&JobTasks) -> bool,
    ) -> Vec<&JobTasks> {
        let mut jobs: Vec<&JobTasks> = self
            .jobs
            .values()
            .filter(|tasks| tasks.not_before <= now.steady && filter(tasks))
            .collect();
        jobs.sort_by_cached_key(|tasks| tasks.rank(now.wall_ms));
        jobs
    }

    /// Those of the jobs that have waited nearly as long as their teams' guarantees allow: by priority, and
    /// among equals first the jobs that users take to be within the guarantee.
    fn guarantees_at_risk<'a>(&self, waiting: &[&'a JobTasks], now: Now) -> Vec<&'a JobTasks> {
        let mut at_risk: Vec<&JobTasks> = waiting
            .iter()
            .copied()
            .filter(|tasks| {
                self.objectives
                    .is_guarantee_at_risk(&tasks.job, now.wall_ms)
            })
            .collect();
        if !at_risk.is_empty() {
            let within = self.jobs_within_guarantees();
            at_risk.sort_by_key(|tasks| {
                let spec = &tasks.job.spec;
                (Reverse(spec.priority), !within.contains(&spec.id))
            });
        }
        at_risk
    }

    /// Jobs that fit into their teams' guarantees together with the teams' earlier ones: those that users
    /// take to be within it.
    fn jobs_within_guarantees(&self) -> BTreeSet<JobId> {
        let mut by_age: Vec<&JobTasks> = self.jobs.values().collect();
        by_age.sort_unstable_by_key(|tasks| (tasks.job.accepted_ms, tasks.job.spec.id));
        let mut guarantees = self.quota.without_usage();
        by_age
            .into_iter()
            .filter(|tasks| guarantees.charge_all_within_guarantee(&tasks.job))
            .map(|tasks| tasks.job.spec.id)
            .collect()
    }
}

fn turns_of(pass: Pass, jobs: &[&JobTasks]) -> Vec<Turn> {
    jobs.iter()
        .map(|tasks| Turn {
            pass,
            job: tasks.job.spec.id,
        })
        .collect()
}

/// Those of the jobs whose age has to win, the oldest first.
fn starved_jobs<'a>(waiting: &[&'a JobTasks], now: Now) -> Vec<&'a JobTasks> {
    let mut starved: Vec<&JobTasks> = waiting
        .iter()
        .copied()
        .filter(|tasks| is_starved(tasks, now))
        .collect();
    starved.sort_by_key(|tasks| tasks.job.accepted_ms);
    starved
}

/// Whether no task of a job was dispatched for so long that its age has to win; an old job sooner.
fn is_starved(job_tasks: &JobTasks, now: Now) -> bool {
    let age_ms = now.wall_ms.saturating_sub(job_tasks.job.accepted_ms);
    let waited_ms = job_tasks
        .last_dispatch_at
        .map_or(age_ms, |dispatched_at| now.steady.since(dispatched_at));
    let limit_ms = if age_ms >= OLD_JOB_AGE_MS {
        OLD_JOB_STARVATION_MS
    } else {
        STARVATION_MS
    };
    waited_ms >= limit_ms
}
