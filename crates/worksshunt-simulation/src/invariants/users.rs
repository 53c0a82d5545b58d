//! Rules about what users are told: an accepted job stays known, and its end is true and final.

use serde_json::Value;
use worksshunt_core::controller::Event;
use worksshunt_core::job_api::HttpResponse;
use worksshunt_wire::user::JobSpec;
use worksshunt_wire::JobId;

use super::{History, Invariants};

/// A user's request about a job. Requests and responses are numbered in one order.
#[derive(Debug, Clone)]
pub struct JobQuery {
    /// The job it is about.
    pub id: Option<JobId>,
    is_submission: bool,
    order: u64,
}

/// How a job ended, according to a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FinalState {
    Done,
    Cancelled,
}

/// The first response that said how a job ended.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReportedEnd {
    pub(super) state: FinalState,
    /// The response's number.
    order: u64,
    /// When it was received, ms.
    pub(super) at: u64,
}

/// A response about a job.
struct JobResponse<'a> {
    id: JobId,
    query: &'a JobQuery,
    /// The response's number.
    order: u64,
    /// When it is received, ms.
    now: u64,
    /// HTTP status.
    status: u16,
}

/// Rules that a response violates, with what was seen.
type Violations = Vec<(&'static str, String)>;

impl Invariants {
    /// A user sends a request.
    pub fn request_sent(&mut self, event: &Event) -> JobQuery {
        self.last_order += 1;
        let id = match event {
            Event::Submit { body, .. } => self.submission_sent(body),
            Event::Cancel { job_id, .. } => {
                let id = job_id.parse::<JobId>().ok();
                if let Some(id) = id {
                    self.history(id).is_withdrawn = true;
                }
                id
            }
            Event::Status { job_id, .. } => job_id.parse::<JobId>().ok(),
            _ => None,
        };
        JobQuery {
            id,
            is_submission: matches!(event, Event::Submit { .. }),
            order: self.last_order,
        }
    }

    fn submission_sent(&mut self, body: &[u8]) -> Option<JobId> {
        let body = serde_json::from_slice::<Value>(body).ok()?;
        let id = body.get("Ref")?.as_str()?.parse::<JobId>().ok()?;
        if let Ok(spec) = serde_json::from_value::<JobSpec>(body) {
            // What was submitted first counts, whatever a repetition says.
            self.jobs.entry(id).or_insert(spec);
            self.history(id).is_submitted = true;
        }
        Some(id)
    }

    /// A job was accepted before the scenario began.
    pub fn assume_accepted(&mut self, spec: JobSpec) {
        let history = self.history(spec.id);
        history.is_submitted = true;
        history.known_since = Some(0);
        self.jobs.insert(spec.id, spec);
    }

    /// A user receives a response. Returns whether it brought news: that the job is accepted, or over.
    pub fn response_received(
        &mut self,
        now: u64,
        query: &JobQuery,
        response: &HttpResponse,
    ) -> bool {
        self.last_order += 1;
        let Some(id) = query.id else {
            return false;
        };
        let body: Value = serde_json::from_str(&response.body).unwrap_or_default();
        let is_known = match response.status {
            200 | 201 => true,
            404 => false,
            400 | 422 if query.is_submission => false,
            _ => return false,
        };
        self.answers += 1;
        let response = JobResponse {
            id,
            query,
            order: self.last_order,
            now,
            status: response.status,
        };
        let mut violations = Violations::new();
        let is_news = if is_known {
            let state = body["Estado"].as_str().unwrap_or_default();
            self.known_job(&response, state, &mut violations)
        } else {
            self.unknown_job(&response, &mut violations);
            false
        };
        for (rule, text) in violations {
            self.record_violation(rule, &text);
        }
        is_news
    }

    /// A response says that there is no such job.
    fn unknown_job(&mut self, response: &JobResponse, violations: &mut Violations) {
        let id = response.id;
        let history = self.history(id);
        let known_since = history.known_since;
        if known_since.is_some_and(|known_since| response.query.order > known_since) {
            violations.push(("forgotten", format!("{id} got {}", response.status)));
        } else if response.query.is_submission && known_since.is_none() {
            self.jobs.remove(&id);
        }
    }

    /// A response names a job's state. Returns whether it brought news.
    fn known_job(
        &mut self,
        response: &JobResponse,
        state: &str,
        violations: &mut Violations,
    ) -> bool {
        let id = response.id;
        let are_all_done = self.all_done(id);
        let history = self.history(id);
        if !history.is_submitted {
            violations.push(("invented", format!("{id}")));
        }
        let is_first = history.known_since.is_none();
        history.known_since.get_or_insert(response.order);
        let ended = match state {
            "done" => Some(FinalState::Done),
            "aborted" => Some(FinalState::Cancelled),
            _ => None,
        };
        if ended == Some(FinalState::Done) && !are_all_done {
            violations.push(("not_done", format!("{id}")));
        }
        if ended == Some(FinalState::Cancelled) && !history.is_withdrawn {
            let text = format!("{id} was not cancelled by its user");
            violations.push(("went_back", text));
        }
        history.compare_end(response, state, ended, violations) || is_first
    }
}

impl History {
    /// Compares the end that a response names with the one known. Returns whether it is the first.
    fn compare_end(
        &mut self,
        response: &JobResponse,
        state: &str,
        ended: Option<FinalState>,
        violations: &mut Violations,
    ) -> bool {
        let id = response.id;
        match (self.ended, ended) {
            (Some(before), Some(now)) if before.state != now => {
                let text = format!("{id} from {:?} to {now:?}", before.state);
                violations.push(("went_back", text));
                false
            }
            (Some(before), None) if response.query.order > before.order => {
                let text = format!("{id} from {:?} to {state}", before.state);
                violations.push(("went_back", text));
                false
            }
            (None, Some(state)) => {
                self.ended = Some(ReportedEnd {
                    state,
                    order: response.order,
                    at: response.now,
                });
                true
            }
            _ => false,
        }
    }
}
