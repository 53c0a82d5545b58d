//! Jobs: what is accepted, what every controller knows of the open ones, and which tasks are done.
//!
//! Keys in the state service: `j/ID` an open job, `j/+N` a page of jobs taken in together, `f/ID` the
//! final state of one that is over, `d/N` a page of completed tasks of open ones.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::rc::Rc;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use worksshunt_wire::cloud::{Catalog, MachineType};
use worksshunt_wire::state::{Changes, Listing, WatchEvent};
use worksshunt_wire::user::{JobKind, JobSpec, JobState, Priority};
use worksshunt_wire::{JobId, NodeName, Revision, TaskId, TeamName};

use crate::constants::{CLOSED_KEPT, DONE_CHUNK, FINALS_KEPT, MAX_TASKS, ROUNDING};
use crate::pages::Entry;
use crate::placement::Room;
use crate::quota::Quota;

/// Prefix of open jobs.
pub const OPEN: &str = "j/";
/// Prefix of final states.
pub const FINAL: &str = "f/";
/// Prefix of the pages of completed tasks.
pub const DONE: &str = "d/";

/// Key of an open job.
pub fn open_key(id: JobId) -> String {
    format!("{OPEN}{id}")
}

/// Prefix of the pages of jobs taken in together, which watches of open jobs see too.
const INTAKE: &str = "j/+";

/// Key of a page of jobs taken in by one life of a controller.
pub fn intake_key(node: &NodeName, lease: u64, number: u64) -> String {
    format!("{INTAKE}{node}.{lease}.{number}")
}

/// Whether a key is that of such a page.
pub fn is_intake(key: &str) -> bool {
    key.starts_with(INTAKE)
}

/// The job that the key of an open job or of a final state belongs to.
pub fn job_of(key: &str) -> Option<JobId> {
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
pub fn intake_value(jobs: &[&Job]) -> Value {
    let jobs = jobs.to_vec();
    serde_json::json!(StoredIntake {
        v: INTAKE_FORM,
        jobs
    })
}

/// Reads a page; none of a version that is not understood, which is left alone.
fn read_intake(key: &str, value: &Value, version: Revision) -> Option<Intake> {
    match StoredIntake::<Job>::deserialize(value) {
        Ok(stored) if stored.v == INTAKE_FORM => Some(Intake {
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
pub fn final_key(id: JobId) -> String {
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

    /// a service nobody asked for, whose replicas each take a whole machine of that type.
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

    /// When it should be complete, milliseconds since 1970.
    pub fn due_ms(&self) -> Option<u64> {
        let deadline = self.spec.deadline_s?;
        Some(self.accepted_ms.saturating_add((deadline * 1_000.0) as u64))
    }

    /// When its last tasks have to start for that, by the estimate.
    pub fn latest_start_ms(&self) -> Option<u64> {
        let estimate_ms = (self.spec.estimate_s * 1_000.0) as u64;
        Some(self.due_ms()?.saturating_sub(estimate_ms))
    }

    /// Whether a machine of that type, zone and kind may run its tasks.
    pub fn allows(&self, machine_type: &str, zone: &str, spot: bool) -> bool {
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
    pub fn leaves(&self, spot: bool, kept: bool) -> bool {
        kept && !spot && self.spec.spot
    }

    /// Whether zones of its tasks depend on each other.
    pub fn zones_matter(&self) -> bool {
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
    if spec.tasks == 0 || spec.tasks > MAX_TASKS {
        return Err(malformed(format!("Piezas is not from 1 to {MAX_TASKS}")));
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
    let over = |each: f64, limit: f64| each * at_once > limit + ROUNDING;
    if over(spec.cpus, cpus_max) || over(spec.gpus, gpus_max) {
        return impossible(text);
    }
    let need = Room {
        cpus: spec.cpus,
        gpus: spec.gpus,
        memory_gb: spec.memory_gb,
    };
    let fits = catalog.types.iter().any(|t| {
        Room::of_type(t).holds(&need)
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

/// An open job as the store has it.
#[derive(Debug, Clone)]
pub struct OpenJob {
    /// The job.
    pub job: Rc<Job>,
    /// Revision of its key.
    pub version: Revision,
}

/// A page of jobs taken in together.
#[derive(Debug, Clone)]
pub struct Intake {
    /// The jobs.
    pub jobs: Vec<Rc<Job>>,
    /// Revision of its key.
    pub version: Revision,
}

/// What changed in the mirror.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MirrorChange {
    /// A job was accepted.
    Opened(JobId),
    /// A job is over.
    Closed(JobId),
}

/// A controller's copy of the open jobs, never newer than the store, and the final states it
/// happened to learn.
#[derive(Debug, Default)]
pub struct Mirror {
    open: BTreeMap<JobId, OpenJob>,
    /// Jobs accepted many at a time, each of which the leader gives a key of its own.
    intake: BTreeMap<String, Intake>,
    /// Open jobs in a form that this version does not understand. They are left as they are.
    odd: BTreeSet<JobId>,
    revision: Option<Revision>,
    finals: HashMap<JobId, JobState>,
    finals_order: VecDeque<JobId>,
    /// Jobs that were open here and are over, the latest last.
    closed: VecDeque<Rc<Job>>,
}

impl Mirror {
    /// Whether it has been read at all.
    pub fn loaded(&self) -> bool {
        self.revision.is_some()
    }

    /// Store revision it is known to be current at.
    pub fn revision(&self) -> Option<Revision> {
        self.revision
    }

    /// The store no longer has the changes since then: the jobs must be listed again. What was
    /// known stays, so that the listing shows what has changed.
    pub fn outdated(&mut self) {
        self.revision = None;
    }

    /// An open job.
    pub fn get(&self, id: JobId) -> Option<&OpenJob> {
        self.open.get(&id)
    }

    /// Whether there is such a job that this version cannot read.
    pub fn is_odd(&self, id: JobId) -> bool {
        self.odd.contains(&id)
    }

    /// Pages of jobs taken in together.
    pub fn intake(&self) -> impl Iterator<Item = (&String, &Intake)> {
        self.intake.iter()
    }

    /// Whether the job is on such a page. It may have become an open job, and be over, since.
    pub fn taken_in(&self, id: JobId) -> bool {
        let mut jobs = self.intake.values().flat_map(|page| &page.jobs);
        jobs.any(|job| job.spec.id == id)
    }

    /// All open jobs.
    pub fn open(&self) -> impl Iterator<Item = (&JobId, &OpenJob)> {
        self.open.iter()
    }

    /// Whether any service is open.
    pub fn any_stands(&self) -> bool {
        self.open.values().any(|open| open.job.is_service())
    }

    /// A final state, if it is still in memory.
    pub fn final_state(&self, id: JobId) -> Option<JobState> {
        self.finals.get(&id).copied()
    }

    /// Remembers a final state. It never changes, so it may be kept and dropped at will.
    pub fn remember_final(&mut self, id: JobId, state: JobState) {
        if self.finals.insert(id, state).is_none() {
            self.finals_order.push_back(id);
            if self.finals_order.len() > FINALS_KEPT {
                if let Some(oldest) = self.finals_order.pop_front() {
                    self.finals.remove(&oldest);
                }
            }
        }
    }

    /// A job that was open here, if it was not long ago.
    pub fn closed(&self, id: JobId) -> Option<&Rc<Job>> {
        self.closed.iter().rev().find(|job| job.spec.id == id)
    }

    fn remember_closed(&mut self, open: OpenJob) {
        self.closed.push_back(open.job);
        if self.closed.len() > CLOSED_KEPT {
            self.closed.pop_front();
        }
    }

    /// Takes over a full listing of the open jobs.
    pub fn load(&mut self, listing: &Listing) -> Vec<MirrorChange> {
        let mut changes = Vec::new();
        let listed: BTreeMap<JobId, OpenJob> = listing
            .pairs
            .iter()
            .filter_map(|pair| {
                let id = id_of(&pair.key, OPEN)?;
                Some((id, read_open(id, &pair.value, pair.version)?))
            })
            .collect();
        let ids = listing.pairs.iter().filter_map(|p| id_of(&p.key, OPEN));
        self.odd = ids.filter(|id| !listed.contains_key(id)).collect();
        let known = std::mem::take(&mut self.open);
        for id in listed.keys().filter(|id| !known.contains_key(id)) {
            changes.push(MirrorChange::Opened(*id));
        }
        for (id, open) in known {
            if !listed.contains_key(&id) {
                changes.push(MirrorChange::Closed(id));
                self.remember_closed(open);
            }
        }
        let intake = listing.pairs.iter().filter(|pair| is_intake(&pair.key));
        self.intake = intake
            .filter_map(|pair| {
                let page = read_intake(&pair.key, &pair.value, pair.version)?;
                Some((pair.key.clone(), page))
            })
            .collect();
        self.open = listed;
        self.revision = Some(listing.revision);
        changes
    }

    /// Applies a watch's answer. Answers may overlap and overtake each other: the version of each
    /// key decides.
    pub fn apply(&mut self, changes: &Changes) -> Vec<MirrorChange> {
        let mut out = Vec::new();
        let Some(revision) = self.revision else {
            return out;
        };
        for event in &changes.events {
            match event {
                WatchEvent::Put {
                    key,
                    value,
                    version,
                } => {
                    // An answer from before the last one must not bring back a closed job.
                    if *version <= revision {
                        continue;
                    }
                    if is_intake(key) {
                        if let Some(page) = read_intake(key, value, *version) {
                            self.intake.insert(key.clone(), page);
                        }
                    } else if let Some(id) = id_of(key, OPEN) {
                        match read_open(id, value, *version) {
                            Some(open) => {
                                self.odd.remove(&id);
                                if self.open.insert(id, open).is_none() {
                                    out.push(MirrorChange::Opened(id));
                                }
                            }
                            None => {
                                self.odd.insert(id);
                            }
                        }
                    }
                }
                WatchEvent::Delete { key, version } => {
                    if *version <= revision {
                        continue;
                    }
                    if self.intake.remove(key).is_some() {
                        continue;
                    }
                    if let Some(id) = id_of(key, OPEN) {
                        self.odd.remove(&id);
                        if let Some(open) = self.open.remove(&id) {
                            self.remember_closed(open);
                            out.push(MirrorChange::Closed(id));
                        }
                    }
                }
            }
        }
        self.revision = Some(revision.max(changes.revision));
        out
    }
}

fn read_open(id: JobId, value: &Value, version: Revision) -> Option<OpenJob> {
    match serde_json::from_value::<Job>(value.clone()) {
        Ok(job) => Some(OpenJob {
            job: Rc::new(job),
            version,
        }),
        Err(error) => {
            tracing::error!(job = %id, %error, "open job in the store cannot be read");
            None
        }
    }
}

/// A final state as stored.
pub fn final_value(state: JobState) -> Value {
    serde_json::json!({ "state": state })
}

/// The final state of a cancelled job as stored. Its tasks go on using what they use until they are
/// gone, which a leader that never knew the job open has to reckon with: so the job is kept along.
pub fn cancelled_value(job: Option<&Job>) -> Value {
    let mut value = final_value(JobState::Cancelled);
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
pub fn read_final(value: &Value) -> Option<JobState> {
    serde_json::from_value(value.get("state")?.clone()).ok()
}

/// The completed tasks of a job, and the zones they ran in where those matter.
#[derive(Debug, Clone, Default)]
pub struct DoneSet {
    bits: Vec<u8>,
    count: u32,
    zones: BTreeMap<String, u32>,
}

impl DoneSet {
    /// No task done yet.
    pub fn new(tasks: u32) -> DoneSet {
        DoneSet {
            bits: vec![0; tasks.div_ceil(8) as usize],
            count: 0,
            zones: BTreeMap::new(),
        }
    }

    /// Whether a task is done.
    pub fn contains(&self, index: u32) -> bool {
        self.bits
            .get((index / 8) as usize)
            .is_some_and(|byte| byte >> (index % 8) & 1 == 1)
    }

    /// Marks a task done; false if it was already, or does not exist.
    pub fn insert(&mut self, index: u32) -> bool {
        match self.bits.get_mut((index / 8) as usize) {
            Some(byte) if *byte >> (index % 8) & 1 == 0 => {
                *byte |= 1 << (index % 8);
                self.count += 1;
                true
            }
            _ => false,
        }
    }

    /// Counts tasks done in a zone.
    pub fn count_zone(&mut self, zone: &str, tasks: u32) {
        *self.zones.entry(zone.to_owned()).or_default() += tasks;
    }

    /// Tasks done per zone, where counted.
    pub fn zones(&self) -> &BTreeMap<String, u32> {
        &self.zones
    }

    /// How many tasks are done.
    pub fn count(&self) -> u32 {
        self.count
    }
}

/// Completed tasks of one job as they are recorded, so many of its tasks to an entry.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Completions {
    /// The tasks.
    pub tasks: BTreeSet<u32>,
    /// How many of them ran in which zone, where that matters.
    pub zones: BTreeMap<String, u32>,
}

/// What a job's completions are recorded under: the job, and which `DONE_CHUNK` of its tasks.
pub type CompletionsKey = (JobId, u32);

/// The entry that a task's completion belongs to.
pub fn completions_key(task: TaskId) -> CompletionsKey {
    (task.job, task.index / DONE_CHUNK)
}

/// Version of the completions' form.
const FORM: u32 = 2;

#[derive(Serialize, Deserialize)]
struct StoredCompletions {
    v: u32,
    done: Vec<StoredEntry>,
}

/// Job, first and last task of every run of completed ones, zones.
type StoredEntry = (JobId, Vec<(u32, u32)>, BTreeMap<String, u32>);

impl Completions {
    fn runs(&self) -> Vec<(u32, u32)> {
        let mut runs: Vec<(u32, u32)> = Vec::new();
        for task in &self.tasks {
            match runs.last_mut() {
                Some((_, last)) if *last + 1 == *task => *last = *task,
                _ => runs.push((*task, *task)),
            }
        }
        runs
    }
}

impl Entry for Completions {
    type Key = CompletionsKey;

    fn size(&self, _: &CompletionsKey) -> usize {
        let zones: usize = self.zones.keys().map(|zone| zone.len() + 12).sum();
        // A run is two numbers of at most five digits in brackets.
        40 + 14 * self.runs().len() + zones
    }

    fn join(&mut self, later: Completions) {
        self.tasks.extend(later.tasks);
        for (zone, tasks) in later.zones {
            *self.zones.entry(zone).or_default() += tasks;
        }
    }

    fn value(entries: &BTreeMap<CompletionsKey, Completions>) -> Value {
        let done = entries
            .iter()
            .map(|((id, _), entry)| (*id, entry.runs(), entry.zones.clone()))
            .collect();
        serde_json::json!(StoredCompletions { v: FORM, done })
    }
}

/// Reads a page of completions; none if another version of the program wrote it.
pub fn read_completions(value: &Value) -> Option<BTreeMap<CompletionsKey, Completions>> {
    let stored = StoredCompletions::deserialize(value).ok()?;
    let mut entries: BTreeMap<CompletionsKey, Completions> = BTreeMap::new();
    for (job, runs, zones) in stored.done {
        let last = runs.last().map_or(0, |(_, last)| *last);
        if stored.v != FORM || last >= MAX_TASKS {
            return None;
        }
        let tasks: BTreeSet<u32> = runs.iter().flat_map(|(a, b)| *a..=*b).collect();
        let index = tasks.first().copied().unwrap_or(0);
        let key = completions_key(TaskId { job, index });
        entries
            .entry(key)
            .or_default()
            .join(Completions { tasks, zones });
    }
    Some(entries)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn completed_tasks_survive_the_store() {
        let job = JobId(7);
        let indexes = [0, 1, 2, 7, DONE_CHUNK - 1, DONE_CHUNK, MAX_TASKS - 1];
        let mut entries: BTreeMap<CompletionsKey, Completions> = BTreeMap::new();
        for index in indexes {
            let task = TaskId { job, index };
            let one = Completions {
                tasks: BTreeSet::from([index]),
                zones: BTreeMap::from([("a".to_owned(), 1)]),
            };
            entries.entry(completions_key(task)).or_default().join(one);
        }
        let value = Completions::value(&entries);
        assert_eq!(read_completions(&value), Some(entries.clone()));
        let size: usize = entries.iter().map(|(key, entry)| entry.size(key)).sum();
        assert!(
            value.to_string().len() <= size + 32,
            "no larger than reckoned"
        );
        let every_other = Completions {
            tasks: (0..DONE_CHUNK).step_by(2).collect(),
            zones: BTreeMap::new(),
        };
        let smallest = (crate::constants::LEAST_VALUE_KB * 1_024.0) as usize;
        assert!(
            every_other.size(&(job, 0)) * 2 <= smallest,
            "the worst entry fits a page of the smallest value"
        );
        assert_eq!(
            read_completions(&serde_json::json!({ "bits": "AAAA" })),
            None
        );
        let later = serde_json::json!({ "v": 3, "done": [["j-000007", [[0, 1]], {}]] });
        assert_eq!(read_completions(&later), None, "another version's");
    }

    #[test]
    fn the_mirror_takes_overlapping_answers_in_any_order() {
        let spec = serde_json::json!({
            "Ref": "j-000001", "Carril": "c", "Cuadrilla": "t", "Oficio": "array",
            "Turno": "normal", "Piezas": 1, "Cores": 1.0, "Gpus": 0.0, "RamGb": 1.0,
            "Molde": "i", "SizeGb": 1.0, "SamePlace": false, "Spread": false, "Prestados": true,
            "CalculoS": 600.0, "RespaldoS": 0.0, "GuardadoS": 0.0});
        let put = WatchEvent::Put {
            key: "j/j-000001".into(),
            value: serde_json::json!({ "spec": spec, "at": 0 }),
            version: Revision(5),
        };
        let delete = WatchEvent::Delete {
            key: "j/j-000001".into(),
            version: Revision(6),
        };
        let answer = |revision, events: &[&WatchEvent]| Changes {
            revision: Revision(revision),
            events: events.iter().map(|e| (*e).clone()).collect(),
        };
        let mut mirror = Mirror::default();
        mirror.load(&Listing {
            pairs: Vec::new(),
            more: false,
            revision: Revision(4),
        });
        let changes = mirror.apply(&answer(6, &[&put, &delete]));
        assert_eq!(
            changes,
            [
                MirrorChange::Opened(JobId(1)),
                MirrorChange::Closed(JobId(1))
            ]
        );
        assert_eq!(mirror.apply(&answer(5, &[&put])), []);
        assert!(mirror.get(JobId(1)).is_none());
        assert_eq!(mirror.revision(), Some(Revision(6)));
    }
}
