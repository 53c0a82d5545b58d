//! Users' requests: what each waits for, and its answer.
//!
//! A question about a job is answered only after the mirror has caught up with the store by a read
//! sent after the question came in; one read serves all that wait. So no controller gives an older
//! answer than another gave.

use std::collections::{BTreeMap, VecDeque};

use serde::Serialize;
use worksshunt_wire::settings::StateLimits;
use worksshunt_wire::state::{Change, Condition, Txn};
use worksshunt_wire::user::{JobState, JobStatus};
use worksshunt_wire::{JobId, Revision};

use crate::constants::{INTAKE_FROM, PAGES_AT_ONCE, RETRY_AFTER_S, SUBMIT_PATIENCE_MS};
use crate::jobs::{cancelled_value, final_key, intake_value, open_key, Job, Mirror, OpenJob};
use crate::pages::page_bytes;
use crate::submissions::Refusal;
use crate::time::Time;

/// Names an open request of some client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// An answer to a client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// JSON body.
    pub body: String,
    /// Seconds after which to come back.
    pub retry_after_s: Option<u64>,
}

impl Reply {
    /// An answer with a JSON body.
    pub fn json(status: u16, body: &impl Serialize) -> Reply {
        match serde_json::to_string(body) {
            Ok(body) => Reply {
                status,
                body,
                retry_after_s: None,
            },
            Err(error) => Reply::error(500, &error.to_string()),
        }
    }

    /// An answer that names an error.
    pub fn error(status: u16, text: &str) -> Reply {
        Reply {
            status,
            body: serde_json::json!({ "error": text }).to_string(),
            retry_after_s: None,
        }
    }

    /// The request cannot be served now.
    pub fn later(text: &str) -> Reply {
        Reply {
            retry_after_s: Some(RETRY_AFTER_S),
            ..Reply::error(503, text)
        }
    }

    /// A permanent refusal of a submission.
    pub fn refusal(refusal: &Refusal) -> Reply {
        let status = match refusal {
            Refusal::Malformed(_) => 400,
            Refusal::Impossible(_) => 422,
        };
        Reply::error(status, &refusal.to_string())
    }

    fn state(status: u16, id: JobId, state: JobState) -> Reply {
        Reply::json(
            status,
            &JobStatus {
                id,
                state,
                done: None,
                running: None,
            },
        )
    }
}

/// What a request wants to know or do.
#[derive(Debug, Clone, PartialEq)]
pub enum Question {
    /// A job's state.
    Status,
    /// Cancel a job.
    Cancel,
    /// Submit a job that may be known already.
    Submit(Box<Job>),
    /// Submit something unacceptable, under an id that may be known already.
    Unacceptable(Refusal),
}

/// A request about a job.
#[derive(Debug, Clone, PartialEq)]
pub struct Ask {
    /// The request.
    pub request: RequestId,
    /// The job.
    pub id: JobId,
    /// What is wanted.
    pub question: Question,
    /// It was seen on a page of jobs taken in together, and so is known.
    pub taken_in: bool,
}

/// What follows from an ask.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// The answer.
    Respond(RequestId, Reply),
    /// Look whether the job has a final state.
    LookUpFinal(Ask),
    /// Write the cancellation.
    Cancel(Ask, Txn),
    /// Resolve it anew from a later mirror.
    ResolveAgain(Ask),
    /// Try to accept it.
    Accept(RequestId, Box<Job>),
}

/// Done and running tasks for display.
pub type Progress = BTreeMap<JobId, (u32, u32)>;

/// The cancellation of an open job, or of one that has no key of its own yet.
fn withdrawal(id: JobId, open: Option<&OpenJob>) -> Txn {
    let version = open.map_or(Revision(0), |open| open.version);
    let condition = |key: String, version| Condition { key, version };
    let mut txn = Txn {
        conditions: vec![
            condition(open_key(id), version),
            condition(final_key(id), Revision(0)),
        ],
        changes: vec![Change::Put {
            key: final_key(id),
            value: cancelled_value(open.map(|open| &*open.job)),
            lease: None,
        }],
    };
    if open.is_some() {
        txn.changes.push(Change::Delete { key: open_key(id) });
    }
    txn
}

/// Answers an ask from an up-to-date mirror.
pub fn resolve(mut ask: Ask, mirror: &Mirror, progress: &Progress) -> Step {
    let id = ask.id;
    if let Some(state) = mirror.final_state(id) {
        return Step::Respond(ask.request, settled(&ask, state));
    }
    if mirror.is_odd(id) {
        return Step::Respond(ask.request, Reply::later("another version's job"));
    }
    let Some(open) = mirror.get(id) else {
        ask.taken_in |= mirror.taken_in(id);
        return Step::LookUpFinal(ask);
    };
    match &ask.question {
        Question::Cancel => {
            let txn = withdrawal(id, Some(open));
            Step::Cancel(ask, txn)
        }
        Question::Status | Question::Submit(_) | Question::Unacceptable(_) => {
            let (done, running) = progress.get(&id).copied().unwrap_or_default();
            let state = if running > 0 {
                JobState::Running
            } else {
                JobState::Pending
            };
            let status = JobStatus {
                id,
                state,
                done: Some(done),
                running: Some(running),
            };
            Step::Respond(ask.request, Reply::json(200, &status))
        }
    }
}

/// Answers an ask about a job that has no final state. One that was taken in is pending, if it has
/// no key of its own yet; otherwise the mirror has to be asked again.
pub fn not_final(ask: Ask, mirror: &Mirror) -> Step {
    let id = ask.id;
    if !ask.taken_in {
        return unknown(ask);
    }
    if mirror.get(id).is_some() || !mirror.taken_in(id) {
        return Step::ResolveAgain(ask);
    }
    match ask.question {
        Question::Cancel => Step::Cancel(ask, withdrawal(id, None)),
        _ => Step::Respond(ask.request, Reply::state(200, id, JobState::Pending)),
    }
}

/// Answers an ask about a job that is neither open nor final.
fn unknown(ask: Ask) -> Step {
    match ask.question {
        Question::Status | Question::Cancel => {
            Step::Respond(ask.request, Reply::error(404, "no such job"))
        }
        Question::Submit(job) => Step::Accept(ask.request, job),
        Question::Unacceptable(refusal) => Step::Respond(ask.request, Reply::refusal(&refusal)),
    }
}

/// The answer about a job that is over.
pub fn settled(ask: &Ask, state: JobState) -> Reply {
    Reply::state(200, ask.id, state)
}

/// The answer to an accepted submission.
pub fn accepted(id: JobId) -> Reply {
    Reply::state(201, id, JobState::Pending)
}

/// A submission that waits to be written, and since when.
pub type Submission = (Time, RequestId, Box<Job>);

/// Requests that wait for the state service.
#[derive(Debug)]
pub struct Users {
    /// Requests that may wait.
    most: usize,
    /// Waiting for the next catch-up read to be sent.
    waiting: Vec<Ask>,
    /// Waiting for the answer of the one under way.
    reading: Vec<Ask>,
    /// Submissions with the time they came in.
    accepts: VecDeque<Submission>,
    accepting: Vec<Submission>,
}

impl Users {
    /// Nobody waits; so many requests may.
    pub fn new(most: usize) -> Users {
        Users {
            most,
            waiting: Vec::new(),
            reading: Vec::new(),
            accepts: VecDeque::new(),
            accepting: Vec::new(),
        }
    }

    /// Whether another request would be one too many.
    pub fn full(&self) -> bool {
        self.waiting.len() + self.reading.len() + self.accepts.len() + self.accepting.len()
            >= self.most
    }

    /// An ask waits for the next catch-up read.
    pub fn wait(&mut self, ask: Ask) {
        self.waiting.push(ask);
    }

    /// Whether a catch-up read is wanted and none is under way.
    pub fn wants_read(&self) -> bool {
        !self.waiting.is_empty() && self.reading.is_empty()
    }

    /// A catch-up read is sent for all that wait.
    pub fn reading(&mut self) {
        self.reading = std::mem::take(&mut self.waiting);
    }

    /// The catch-up read is answered: these asks can be resolved, or refused.
    pub fn read(&mut self) -> Vec<Ask> {
        std::mem::take(&mut self.reading)
    }

    /// A submission waits to be written.
    pub fn accept(&mut self, now: Time, request: RequestId, job: Box<Job>) {
        self.accepts.push_back((now, request, job));
    }

    /// Submissions whose write was not executed wait for the next one.
    pub fn accept_again(&mut self, submissions: Vec<Submission>) {
        for submission in submissions.into_iter().rev() {
            self.accepts.push_front(submission);
        }
    }

    /// Submissions that have waited so long that their users should rather come back.
    pub fn overdue(&mut self, now: Time) -> Vec<RequestId> {
        let mut overdue = Vec::new();
        self.accepts.retain(|(since, request, _)| {
            let late = now.since(*since) >= SUBMIT_PATIENCE_MS;
            if late {
                overdue.push(*request);
            }
            !late
        });
        overdue
    }

    /// Whether submissions wait and none is being written.
    pub fn wants_accept(&self) -> bool {
        !self.accepts.is_empty() && self.accepting.is_empty()
    }

    /// The next transaction that accepts jobs, with at most so many changes. Each job is accepted
    /// only if its id is neither open nor final. Where many wait they share keys, which `intake`
    /// names if it can, so that a burst of submissions is no burst of changes.
    pub fn accept_txn(
        &mut self,
        most: usize,
        limits: &StateLimits,
        intake: Option<impl FnMut() -> String>,
    ) -> Option<Txn> {
        let mut txn = Txn::default();
        match intake {
            Some(mut name) if self.accepts.len() > INTAKE_FROM => {
                while txn.changes.len() < most.min(PAGES_AT_ONCE) {
                    if !self.accept_page(&mut txn, limits, &mut name) {
                        break;
                    }
                }
            }
            _ => {
                while txn.changes.len() < most && self.accept_next(&mut txn, usize::MAX).is_some() {
                    let Some((_, _, job)) = self.accepting.last() else {
                        break;
                    };
                    txn.changes.push(Change::Put {
                        key: open_key(job.spec.id),
                        value: serde_json::json!(job),
                        lease: None,
                    });
                }
            }
        }
        (!txn.changes.is_empty()).then_some(txn)
    }

    /// Adds a page of jobs to the transaction; false if there is none, or no room for conditions.
    fn accept_page(
        &mut self,
        txn: &mut Txn,
        limits: &StateLimits,
        name: &mut impl FnMut() -> String,
    ) -> bool {
        // Two conditions a job and one a page, of four a change (protocol).
        let most = (limits.txn_ops * 2).saturating_sub(PAGES_AT_ONCE).max(1);
        let first = self.accepting.len();
        let mut room = usize::MAX;
        while self.accepting.len() < most {
            let Some(size) = self.accept_next(txn, room) else {
                break;
            };
            room = room.min(page_bytes(limits)).saturating_sub(size);
        }
        let jobs: Vec<&Job> = self.accepting[first..].iter().map(|s| &*s.2).collect();
        if jobs.is_empty() {
            return false;
        }
        let key = name();
        txn.conditions.push(Condition {
            key: key.clone(),
            version: Revision(0),
        });
        txn.changes.push(Change::Put {
            key,
            value: intake_value(&jobs),
            lease: None,
        });
        true
    }

    /// Moves the next submission to those being accepted, with its conditions, if it takes at most so
    /// many bytes and is not among them already. Returns what it takes.
    fn accept_next(&mut self, txn: &mut Txn, room: usize) -> Option<usize> {
        let (_, _, job) = self.accepts.front()?;
        let id = job.spec.id;
        let size = serde_json::to_string(job).map_or(usize::MAX, |text| text.len() + 1);
        let twice = self
            .accepting
            .iter()
            .any(|(_, _, other)| other.spec.id == id);
        if twice || size > room {
            return None;
        }
        self.accepting.extend(self.accepts.pop_front());
        for key in [open_key(id), final_key(id)] {
            txn.conditions.push(Condition {
                key,
                version: Revision(0),
            });
        }
        Some(size)
    }

    /// The transaction under way is answered: these submissions were in it.
    pub fn accept_answered(&mut self) -> Vec<Submission> {
        std::mem::take(&mut self.accepting)
    }

    /// Gives up on everything that waits.
    pub fn refuse_all(&mut self) -> Vec<RequestId> {
        let asks = self.waiting.drain(..).map(|ask| ask.request);
        asks.chain(self.accepts.drain(..).map(|(_, request, _)| request))
            .collect()
    }
}

#[cfg(test)]
mod tests;
