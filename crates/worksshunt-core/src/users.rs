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

use crate::constants::{INTAKE_FROM, PAGES_AT_ONCE, RETRY_AFTER_S, SUBMIT_PATIENCE_MS, USER_QUEUE};
use crate::jobs::{final_key, final_value, intake_value, open_key, Job, Mirror, Refusal};
use crate::pages::page_bytes;
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
    Withdraw,
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
    Answer(RequestId, Reply),
    /// Look whether the job has a final state.
    LookUpFinal(Ask),
    /// Write the cancellation.
    Withdraw(Ask, Txn),
    /// Resolve it anew from a later mirror.
    AskAgain(Ask),
    /// Try to accept it.
    Accept(RequestId, Box<Job>),
}

/// Done and running tasks for display.
pub type Progress = BTreeMap<JobId, (u32, u32)>;

/// The cancellation of a job whose key has that version; 0 if it has no key of its own yet.
fn withdrawal(id: JobId, version: Revision) -> Txn {
    let condition = |key: String, version| Condition { key, version };
    let mut txn = Txn {
        conditions: vec![
            condition(open_key(id), version),
            condition(final_key(id), Revision(0)),
        ],
        changes: vec![Change::Put {
            key: final_key(id),
            value: final_value(JobState::Cancelled),
            hold: None,
        }],
    };
    if version != Revision(0) {
        txn.changes.push(Change::Delete { key: open_key(id) });
    }
    txn
}

/// Answers an ask from an up-to-date mirror.
pub fn resolve(mut ask: Ask, mirror: &Mirror, progress: &Progress) -> Step {
    let id = ask.id;
    if let Some(state) = mirror.final_state(id) {
        return Step::Answer(ask.request, settled(&ask, state));
    }
    let Some(open) = mirror.get(id) else {
        ask.taken_in |= mirror.taken_in(id);
        return Step::LookUpFinal(ask);
    };
    match &ask.question {
        Question::Withdraw => {
            let txn = withdrawal(id, open.version);
            Step::Withdraw(ask, txn)
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
            Step::Answer(ask.request, Reply::json(200, &status))
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
        return Step::AskAgain(ask);
    }
    match ask.question {
        Question::Withdraw => Step::Withdraw(ask, withdrawal(id, Revision(0))),
        _ => Step::Answer(ask.request, Reply::state(200, id, JobState::Pending)),
    }
}

/// Answers an ask about a job that is neither open nor final.
fn unknown(ask: Ask) -> Step {
    match ask.question {
        Question::Status | Question::Withdraw => {
            Step::Answer(ask.request, Reply::error(404, "no such job"))
        }
        Question::Submit(job) => Step::Accept(ask.request, job),
        Question::Unacceptable(refusal) => Step::Answer(ask.request, Reply::refusal(&refusal)),
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
type Submission = (Time, RequestId, Box<Job>);

/// Requests that wait for the state service.
#[derive(Debug, Default)]
pub struct Users {
    /// Waiting for the next catch-up read to be sent.
    waiting: Vec<Ask>,
    /// Waiting for the answer of the one under way.
    reading: Vec<Ask>,
    /// Submissions with the time they came in.
    accepts: VecDeque<Submission>,
    accepting: Vec<Submission>,
}

impl Users {
    /// Whether another request would be one too many.
    pub fn full(&self) -> bool {
        self.waiting.len() + self.reading.len() + self.accepts.len() + self.accepting.len()
            >= USER_QUEUE
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
    /// only if its id is neither open nor final. Where many wait they share keys, named by
    /// `intake`, so that a burst of submissions is no burst of changes.
    pub fn accept_txn(
        &mut self,
        most: usize,
        limits: &StateLimits,
        mut intake: impl FnMut() -> Option<String>,
    ) -> Option<Txn> {
        let many = self.accepts.len() > INTAKE_FROM;
        let jobs = if many {
            limits.txn_ops * 2 - PAGES_AT_ONCE
        } else {
            most
        };
        let mut txn = Txn::default();
        let mut page: Vec<usize> = Vec::new();
        let mut page_room = 0;
        while self.accepting.len() < jobs {
            let Some((since, request, job)) = self.accepts.pop_front() else {
                break;
            };
            let id = job.spec.id;
            let twice = self
                .accepting
                .iter()
                .any(|(_, _, other)| other.spec.id == id);
            let size = serde_json::to_string(&job).map_or(usize::MAX, |text| text.len() + 1);
            if many && size > page_room && !twice {
                self.close_intake(&mut txn, &mut page, &mut intake);
                page_room = page_bytes(limits).max(size);
            }
            let full = txn.changes.len() + usize::from(many) > most.min(PAGES_AT_ONCE);
            if twice || (many && full) {
                self.accepts.push_front((since, request, job));
                break;
            }
            page_room = page_room.saturating_sub(size);
            for key in [open_key(id), final_key(id)] {
                txn.conditions.push(Condition {
                    key,
                    version: Revision(0),
                });
            }
            if many {
                page.push(self.accepting.len());
            } else {
                txn.changes.push(Change::Put {
                    key: open_key(id),
                    value: serde_json::json!(job),
                    hold: None,
                });
            }
            self.accepting.push((since, request, job));
        }
        self.close_intake(&mut txn, &mut page, &mut intake);
        (!txn.changes.is_empty()).then_some(txn)
    }

    /// Adds the page of the jobs at these places of those being accepted.
    fn close_intake(
        &self,
        txn: &mut Txn,
        page: &mut Vec<usize>,
        intake: &mut impl FnMut() -> Option<String>,
    ) {
        let places = std::mem::take(page);
        let jobs: Vec<&Job> = places.iter().map(|i| &*self.accepting[*i].2).collect();
        if let (false, Some(key)) = (jobs.is_empty(), intake()) {
            txn.conditions.push(Condition {
                key: key.clone(),
                version: Revision(0),
            });
            txn.changes.push(Change::Put {
                key,
                value: intake_value(&jobs),
                hold: None,
            });
        }
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
