//! Scheduling rounds: the order in which jobs with waiting tasks are served.
//!
//! [`Scheduler`] owns one [`SchedulingRound`]; the leading controller calls [`run_round`](Scheduler::run_round), which
//! suspends the round when the time budget is used up.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use worksshunt_wire::JobId;

use crate::constants::scheduling::{OLD_JOB_AGE_MS, OLD_JOB_STARVATION_MS, STARVATION_MS};
use crate::constants::timers::ROUND_INTERVAL_MS;
use crate::jobs::Job;
use crate::time::{Budget, Now, Time};

use super::job_tasks::JobTasks;
use super::Scheduler;

/// Scheduling tier of a job in a round. `Starved` and `GuaranteeAtRisk` come first; then, for each priority from
/// the highest, `WithinGuarantee` and `WithinLimit`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SchedulingTier {
    /// Dispatches a share of the tasks of jobs that have waited too long, before all others.
    Starved,
    /// Dispatches tasks within their team's guarantee that have waited nearly as long as it allows.
    GuaranteeAtRisk,
    /// Dispatches tasks within their team's guarantee.
    WithinGuarantee,
    /// Dispatches tasks within their team's limit.
    WithinLimit,
}

/// Entry of a round: a job to dispatch and the tier it is dispatched in.
#[derive(Debug, Clone, Copy)]
struct RoundEntry {
    tier: SchedulingTier,
    job: JobId,
}

/// A round in progress: its entries in scheduling order, and the position in them.
#[derive(Debug, Default)]
pub(super) struct SchedulingRound {
    entries: Vec<RoundEntry>,
    entry_index: usize,
    began_at: Option<Time>,
    /// Whether another round is requested.
    is_requested: bool,
    /// Jobs that come before all others while their teams are within their guarantees, as of the start of the round.
    at_risk_jobs: BTreeSet<JobId>,
}

impl SchedulingRound {
    /// Requests another round.
    pub fn request(&mut self) {
        self.is_requested = true;
    }

    /// Whether the job comes before all others while its team is within its guarantee.
    pub fn is_guarantee_at_risk(&self, job: &Job) -> bool {
        self.at_risk_jobs.contains(&job.spec.id)
    }

    fn is_finished(&self) -> bool {
        self.entry_index >= self.entries.len()
    }

    /// Whether to start a new round: one is requested, and the last started at least [`ROUND_INTERVAL_MS`] ago.
    fn is_due(&self, now: Time) -> bool {
        self.is_requested
            && self
                .began_at
                .is_none_or(|began_at| now.since(began_at) >= ROUND_INTERVAL_MS)
    }

    fn current_entry(&self) -> Option<RoundEntry> {
        self.entries.get(self.entry_index).copied()
    }
}

impl Scheduler {
    /// Dispatches waiting tasks, and resumes the round that the last call suspended. The order is: starved jobs, the
    /// oldest first; tasks within their team's guarantee that have waited nearly as long as it allows, by priority;
    /// all others by priority, those within their team's guarantee first. Equals are served by deadline or latest
    /// start, then by age.
    pub fn run_round(&mut self, now: Now, budget: &Budget) {
        if self.round.is_finished() {
            if !self.round.is_due(now.steady) {
                return;
            }
            self.begin_round(now);
        }
        while let Some(entry) = self.round.current_entry() {
            if budget.is_exhausted() || self.are_attempt_numbers_exhausted() {
                return;
            }
            self.dispatch_job(now, entry.tier, entry.job);
            self.round.entry_index += 1;
        }
    }

    fn begin_round(&mut self, now: Now) {
        let waiting_jobs = self.dispatchable_jobs(now, |tasks| tasks.waiting_tasks() > 0);
        let at_risk = self.jobs_with_guarantee_at_risk(&waiting_jobs, now);
        let mut entries = entries_for(SchedulingTier::Starved, &starved_jobs(&waiting_jobs, now));
        entries.extend(entries_for(SchedulingTier::GuaranteeAtRisk, &at_risk));
        for same_priority in
            waiting_jobs.chunk_by(|a, b| a.job.spec.priority == b.job.spec.priority)
        {
            entries.extend(entries_for(SchedulingTier::WithinGuarantee, same_priority));
            entries.extend(entries_for(SchedulingTier::WithinLimit, same_priority));
        }
        self.round = SchedulingRound {
            at_risk_jobs: at_risk.iter().map(|tasks| tasks.job.spec.id).collect(),
            entries,
            entry_index: 0,
            began_at: Some(now.steady),
            is_requested: false,
        };
        self.quota.clear_reservations();
    }

    /// Open jobs that pass `filter` and are not delayed by a backoff, in scheduling order.
    pub(super) fn dispatchable_jobs(
        &self,
        now: Now,
        filter: impl Fn(&JobTasks) -> bool,
    ) -> Vec<&JobTasks> {
        let mut jobs: Vec<&JobTasks> = self
            .open_jobs
            .values()
            .filter(|tasks| tasks.backoff_until <= now.steady && filter(tasks))
            .collect();
        jobs.sort_by_cached_key(|tasks| tasks.rank(now.wall_ms));
        jobs
    }

    /// Jobs that have waited nearly as long as their teams' guarantees allow, by priority. Among equals, those come
    /// first that fit into the guarantee by order of acceptance.
    fn jobs_with_guarantee_at_risk<'a>(
        &self,
        waiting_jobs: &[&'a JobTasks],
        now: Now,
    ) -> Vec<&'a JobTasks> {
        let mut at_risk: Vec<&JobTasks> = waiting_jobs
            .iter()
            .copied()
            .filter(|tasks| {
                self.objectives
                    .is_guarantee_at_risk(&tasks.job, now.wall_ms)
            })
            .collect();
        if !at_risk.is_empty() {
            let within_guarantee = self.jobs_within_guarantees();
            at_risk.sort_by_key(|tasks| {
                let spec = &tasks.job.spec;
                (Reverse(spec.priority), !within_guarantee.contains(&spec.id))
            });
        }
        at_risk
    }

    /// Jobs that fit into their teams' guarantees together with all jobs of the team accepted before them. Users
    /// expect these to be within the guarantee.
    fn jobs_within_guarantees(&self) -> BTreeSet<JobId> {
        let mut by_age: Vec<&JobTasks> = self.open_jobs.values().collect();
        by_age.sort_unstable_by_key(|tasks| (tasks.job.accepted_ms, tasks.job.spec.id));
        let mut guarantees = self.quota.without_usage();
        by_age
            .into_iter()
            .filter(|tasks| guarantees.charge_all_within_guarantee(&tasks.job))
            .map(|tasks| tasks.job.spec.id)
            .collect()
    }
}

fn entries_for(tier: SchedulingTier, jobs: &[&JobTasks]) -> Vec<RoundEntry> {
    jobs.iter()
        .map(|tasks| RoundEntry {
            tier,
            job: tasks.job.spec.id,
        })
        .collect()
}

/// The starved ones of the waiting jobs, the oldest first.
fn starved_jobs<'a>(waiting_jobs: &[&'a JobTasks], now: Now) -> Vec<&'a JobTasks> {
    let mut starved: Vec<&JobTasks> = waiting_jobs
        .iter()
        .copied()
        .filter(|tasks| is_starved(tasks, now))
        .collect();
    starved.sort_by_key(|tasks| tasks.job.accepted_ms);
    starved
}

/// Whether no task of the job has been dispatched for [`STARVATION_MS`], or [`OLD_JOB_STARVATION_MS`] for an old job.
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
