//! The protocol's rules, judged all the time: what runs where, and what users were told.
//!
//! The checker knows nothing of the controllers. It hears of requests and answers, and sees the machines
//! as they are, whether or not anybody can reach them.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::Value;
use worksshunt_core::controller::Event;
use worksshunt_core::job_api::HttpResponse;
use worksshunt_wire::settings::{Settings, Team};
use worksshunt_wire::user::JobSpec;
use worksshunt_wire::{JobId, MachineId, TaskId};

use crate::job_audit::{JobAudit, ObservedTask};

/// How long a job may wait beside a machine with room, ms.
pub const WAITS_MOST_MS: u64 = 90_000;
/// How long questions about an accepted job may go unanswered once troubles are over, ms.
pub const SILENT_MOST_MS: u64 = 75_000;

/// What a user asked, and when. Questions and answers are numbered in one order.
#[derive(Debug, Clone)]
pub struct JobQuery {
    /// The job it is about.
    pub id: Option<JobId>,
    submits: bool,
    order: u64,
}

/// How a job ended, as a user was told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Final {
    Done,
    Cancelled,
}

/// What is known of a job from what users sent and heard.
#[derive(Debug, Default)]
struct History {
    submitted: bool,
    withdrawn: bool,
    /// Number of the first answer that said it is accepted, or over.
    known: Option<u64>,
    /// How it ended, with the number and the time of the first answer that said so.
    ended: Option<(Final, u64, u64)>,
    /// Since when it waits beside a machine with room, and its starts until then.
    waits: Option<(u64, usize)>,
}

/// Room on a machine that could take a task.
#[derive(Debug)]
pub struct FreeCapacity<'a> {
    /// The machine's zone.
    pub zone: &'a str,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Free processors.
    pub cpus: f64,
}

/// What judges a cluster.
#[derive(Debug, Default)]
pub struct Invariants {
    cancel_ms: u64,
    limits: BTreeMap<String, f64>,
    /// Jobs as first submitted.
    pub jobs: BTreeMap<JobId, JobSpec>,
    histories: BTreeMap<JobId, History>,
    completed: BTreeSet<TaskId>,
    starts: BTreeMap<JobId, usize>,
    order: u64,
    /// Rules that were broken.
    pub broken: Vec<String>,
    /// Starts of tasks after their user was told that the job is cancelled.
    pub starts_after_cancel: usize,
    /// Answers that named a job's state.
    pub answers: usize,
}

impl Invariants {
    /// Judges by the limits that these settings name.
    pub fn keep(&mut self, settings: &Settings) {
        let facts = &settings.facts;
        self.cancel_ms = (facts.workers.cancel_s * 1_000.0) as u64;
        // 0 means none.
        let limited = facts.teams.iter().filter(|team| team.cpus_max > 0.0);
        let limit = |team: &Team| (team.name.0.clone(), team.cpus_max);
        self.limits = limited.map(limit).collect();
    }

    /// Notes that a rule was broken, once for each text.
    pub fn broke(&mut self, rule: &str, what: &str) {
        let text = format!("{rule}: {what}");
        if !self.broken.contains(&text) {
            self.broken.push(text);
        }
    }

    // --- users ----------------------------------------------------------------------------------

    /// A user sends a request.
    pub fn asked(&mut self, event: &Event) -> JobQuery {
        self.order += 1;
        let (id, submits) = match event {
            Event::Submit(_, body) => {
                let id = serde_json::from_slice::<Value>(body).ok().and_then(|body| {
                    let id = body.get("Ref")?.as_str()?.parse::<JobId>().ok()?;
                    if let Ok(spec) = serde_json::from_value::<JobSpec>(body) {
                        // What was submitted first counts, whatever a repetition says.
                        self.jobs.entry(id).or_insert(spec);
                        self.history(id).submitted = true;
                    }
                    Some(id)
                });
                (id, true)
            }
            Event::Cancel(_, id) => {
                let id = id.parse::<JobId>().ok();
                if let Some(id) = id {
                    self.history(id).withdrawn = true;
                }
                (id, false)
            }
            Event::Status(_, id) => (id.parse::<JobId>().ok(), false),
            _ => (None, false),
        };
        JobQuery {
            id,
            submits,
            order: self.order,
        }
    }

    /// A job was accepted before the scenario began.
    pub fn accepted_before(&mut self, spec: JobSpec) {
        let history = self.history(spec.id);
        history.submitted = true;
        history.known = Some(0);
        self.jobs.insert(spec.id, spec);
    }

    fn history(&mut self, id: JobId) -> &mut History {
        self.histories.entry(id).or_default()
    }

    /// A user hears an answer. Tells whether it brought something new: accepted, or over.
    pub fn answered(&mut self, now: u64, question: &JobQuery, reply: &HttpResponse) -> bool {
        self.order += 1;
        let order = self.order;
        let Some(id) = question.id else {
            return false;
        };
        let body: Value = serde_json::from_str(&reply.body).unwrap_or_default();
        let state = body["Estado"].as_str().unwrap_or_default().to_owned();
        let said = match reply.status {
            200 | 201 => state.as_str(),
            404 => "unknown",
            400 | 422 if question.submits => "unknown",
            _ => return false,
        };
        self.answers += 1;
        let all_done = self.all_done(id);
        let history = self.histories.entry(id).or_default();
        let asked_after = |first: u64| question.order > first;
        let mut wrong = Vec::new();
        let mut new = false;
        if said == "unknown" {
            if history.known.is_some_and(asked_after) {
                wrong.push(("forgotten", format!("{id} got {}", reply.status)));
            } else if question.submits && history.known.is_none() {
                self.jobs.remove(&id);
            }
        } else {
            if !history.submitted {
                wrong.push(("invented", format!("{id}")));
            }
            new = history.known.is_none();
            history.known.get_or_insert(order);
            let ended = match said {
                "done" => Some(Final::Done),
                "aborted" => Some(Final::Cancelled),
                _ => None,
            };
            if ended == Some(Final::Done) && !all_done {
                wrong.push(("not_done", format!("{id}")));
            }
            if ended == Some(Final::Cancelled) && !history.withdrawn {
                wrong.push(("went_back", format!("{id} was not cancelled by its user")));
            }
            match (history.ended, ended) {
                (Some((before, ..)), Some(now)) if before != now => {
                    wrong.push(("went_back", format!("{id} from {before:?} to {now:?}")));
                }
                (Some((before, first, _)), None) if asked_after(first) => {
                    wrong.push(("went_back", format!("{id} from {before:?} to {said}")));
                }
                (None, Some(ended)) => {
                    history.ended = Some((ended, order, now));
                    new = true;
                }
                _ => {}
            }
        }
        for (rule, text) in wrong {
            self.broke(rule, &text);
        }
        new
    }

    /// Jobs that were accepted, and are not over by what users know.
    pub fn open(&self) -> Vec<JobId> {
        let open = |h: &History| h.known.is_some() && h.ended.is_none();
        let histories = self.histories.iter();
        histories
            .filter(|(_, h)| open(h))
            .map(|(id, _)| *id)
            .collect()
    }

    /// All jobs that were accepted.
    pub fn accepted(&self) -> Vec<JobId> {
        let histories = self.histories.iter();
        histories
            .filter(|(_, h)| h.known.is_some())
            .map(|(id, _)| *id)
            .collect()
    }

    // --- tasks ----------------------------------------------------------------------------------

    /// A task has completed.
    pub fn completed(&mut self, task: TaskId) {
        self.completed.insert(task);
    }

    /// Whether a task has completed.
    pub fn has_completed(&self, task: TaskId) -> bool {
        self.completed.contains(&task)
    }

    /// Whether all tasks of the job have completed.
    pub fn all_done(&self, id: JobId) -> bool {
        let Some(spec) = self.jobs.get(&id) else {
            return false;
        };
        (0..spec.tasks).all(|index| self.completed.contains(&TaskId { job: id, index }))
    }

    fn cancelled_at(&self, id: JobId) -> Option<u64> {
        match self.histories.get(&id)?.ended? {
            (Final::Cancelled, _, at) => Some(at),
            _ => None,
        }
    }

    /// A task starts; `audit` is all that is on machines, itself included.
    pub fn started(&mut self, now: u64, task: TaskId, machine: &MachineId, audit: &JobAudit) {
        *self.starts.entry(task.job).or_default() += 1;
        let on = audit.of_job(task.job);
        if on.iter().any(|o| o.machine != *machine && o.task == task) {
            self.broke("ran_twice", &format!("{task}"));
        }
        let Some(spec) = self.jobs.get(&task.job).cloned() else {
            self.broke("invented", &format!("{task} was never submitted"));
            return;
        };
        if self.cancelled_at(task.job).is_some_and(|at| now > at) {
            self.starts_after_cancel += 1;
        }
        let mut zones: BTreeMap<&str, u32> = BTreeMap::new();
        for other in on {
            *zones.entry(&other.zone).or_default() += 1;
            if other.machine == *machine
                && (spec.zone.as_ref().is_some_and(|zone| *zone != other.zone)
                    || (other.spot && !spec.spot))
            {
                self.broke("wrong_place", &format!("{task}"));
            }
        }
        let most = spec.tasks.div_ceil(2);
        let crowded = spec.spread && zones.values().any(|n| *n > most);
        if crowded || (spec.one_zone && zones.len() > 1) {
            self.broke("wrong_place", &format!("{task}: zones {zones:?}"));
        }
        for (team, used) in self.used(audit) {
            if self.limits.get(&team).is_some_and(|most| used > *most) {
                self.broke("quota", &format!("{team} uses {used} at {now}"));
            }
        }
    }

    fn used(&self, audit: &JobAudit) -> BTreeMap<String, f64> {
        let mut used: BTreeMap<String, f64> = BTreeMap::new();
        for (job, tasks) in audit.jobs() {
            if let Some(spec) = self.jobs.get(job) {
                *used.entry(spec.team.0.clone()).or_default() += spec.cpus * tasks as f64;
            }
        }
        used
    }

    /// Whether any user was told that a job is cancelled.
    pub fn any_cancelled(&self) -> bool {
        let cancelled = |h: &History| matches!(h.ended, Some((Final::Cancelled, ..)));
        self.histories.values().any(cancelled)
    }

    /// Looks at everything on machines, as often as the cluster likes.
    pub fn look(&mut self, now: u64, on: &[ObservedTask]) {
        let late = |job: JobId| {
            let at = self.cancelled_at(job)?;
            (now > at + self.cancel_ms).then_some(now - at)
        };
        let late: Vec<(TaskId, u64)> = on
            .iter()
            .filter_map(|o| Some((o.task, late(o.task.job)?)))
            .collect();
        for (task, after_ms) in late {
            let text = format!("{task} is on a machine {after_ms} ms after");
            self.broke("ran_cancelled", &text);
        }
    }

    /// Looks for jobs that wait beside machines with room, while there is no trouble (`quiet`).
    /// `hopeless` are jobs whose tasks cannot make progress by the scenario's own will.
    pub fn look_for_waiting(
        &mut self,
        now: u64,
        quiet: bool,
        audit: &JobAudit,
        free: &[FreeCapacity],
        hopeless: &BTreeSet<JobId>,
    ) {
        let used = self.used(audit);
        let mut long = Vec::new();
        for id in self.open() {
            let Some(spec) = self.jobs.get(&id) else {
                continue;
            };
            let busy: BTreeSet<u32> = audit.of_job(id).iter().map(|o| o.task.index).collect();
            let waiting = (0..spec.tasks).any(|index| {
                !busy.contains(&index) && !self.completed.contains(&TaskId { job: id, index })
            });
            let team = used.get(&spec.team.0).copied().unwrap_or_default();
            let within = self
                .limits
                .get(&spec.team.0)
                .is_none_or(|most| team + spec.cpus <= *most);
            let fits = free.iter().any(|f| {
                f.cpus >= spec.cpus
                    && (spec.spot || !f.spot)
                    && spec.zone.as_ref().is_none_or(|zone| zone == f.zone)
            });
            let zones_matter = spec.one_zone || spec.spread;
            let withdrawn = self.histories.get(&id).is_some_and(|h| h.withdrawn);
            let starts = self.starts.get(&id).copied().unwrap_or_default();
            let stuck = quiet
                && waiting
                && within
                && fits
                && !zones_matter
                && !withdrawn
                && !hopeless.contains(&id);
            let history = self.histories.entry(id).or_default();
            history.waits = match history.waits {
                Some((since, before)) if stuck && before == starts => Some((since, before)),
                _ if stuck => Some((now, starts)),
                _ => None,
            };
            if history
                .waits
                .is_some_and(|(since, _)| now >= since + WAITS_MOST_MS)
            {
                long.push(id);
            }
        }
        for id in long {
            self.broke("waits", &format!("{id} beside a machine with room"));
        }
    }
}
