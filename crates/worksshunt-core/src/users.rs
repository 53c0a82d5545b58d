//! Users' requests: what each waits for, and its answer.
//!
//! A question about a job is answered only after the mirror has caught up with the store by a read
//! sent after the question came in; one read serves all that wait. So no controller gives an older
//! answer than another gave.

use std::collections::{BTreeMap, VecDeque};

use serde::Serialize;
use worksshunt_wire::state::{Change, Condition, Txn};
use worksshunt_wire::user::{JobState, JobStatus};
use worksshunt_wire::JobId;

use crate::constants::{RETRY_AFTER_S, SUBMIT_PATIENCE_MS, TXN_BYTES, USER_QUEUE};
use crate::jobs::{final_key, final_value, open_key, Job, OpenJob, Refusal};
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
    /// Try to accept it.
    Accept(RequestId, Box<Job>),
}

/// Done and running tasks for display.
pub type Progress = BTreeMap<JobId, (u32, u32)>;

/// Answers an ask from an up-to-date mirror.
pub fn resolve(
    ask: Ask,
    open: Option<&OpenJob>,
    known_final: Option<JobState>,
    progress: &Progress,
) -> Step {
    if let Some(state) = known_final {
        return Step::Answer(ask.request, settled(&ask, state));
    }
    let Some(open) = open else {
        return Step::LookUpFinal(ask);
    };
    match &ask.question {
        Question::Withdraw => {
            let id = ask.id;
            let txn = Txn {
                conditions: vec![Condition {
                    key: open_key(id),
                    version: open.version,
                }],
                changes: vec![
                    Change::Delete { key: open_key(id) },
                    Change::Put {
                        key: final_key(id),
                        value: final_value(JobState::Cancelled),
                        hold: None,
                    },
                ],
            };
            Step::Withdraw(ask, txn)
        }
        Question::Status | Question::Submit(_) | Question::Unacceptable(_) => {
            let (done, running) = progress.get(&ask.id).copied().unwrap_or_default();
            let state = if running > 0 {
                JobState::Running
            } else {
                JobState::Pending
            };
            let status = JobStatus {
                id: ask.id,
                state,
                done: Some(done),
                running: Some(running),
            };
            Step::Answer(ask.request, Reply::json(200, &status))
        }
    }
}

/// Answers an ask about a job that is neither open nor final.
pub fn unknown(ask: Ask) -> Step {
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

    /// The next transaction that accepts jobs; none while one is under way. Each job is accepted
    /// only if its id is neither open nor final.
    pub fn accept_txn(&mut self, most: usize) -> Option<Txn> {
        if !self.accepting.is_empty() {
            return None;
        }
        let mut txn = Txn::default();
        let mut bytes = 0;
        while txn.changes.len() < most {
            let Some((since, request, job)) = self.accepts.pop_front() else {
                break;
            };
            let id = job.spec.id;
            let key = open_key(id);
            let twice = txn.changes.iter().any(|change| change.key() == key);
            let value = serde_json::json!(job);
            bytes += value.to_string().len() + 2 * key.len();
            if twice || (bytes > TXN_BYTES && !txn.changes.is_empty()) {
                self.accepts.push_front((since, request, job));
                break;
            }
            for key in [key.clone(), final_key(id)] {
                txn.conditions.push(Condition {
                    key,
                    version: worksshunt_wire::Revision(0),
                });
            }
            txn.changes.push(Change::Put {
                key,
                value,
                hold: None,
            });
            self.accepting.push((since, request, job));
        }
        (!txn.changes.is_empty()).then_some(txn)
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
