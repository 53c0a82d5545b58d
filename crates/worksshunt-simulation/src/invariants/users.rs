//! Invariants on responses to users: an accepted job stays known, and its reported final state is correct and final.

use serde_json::Value;
use worksshunt_core::controller::Event;
use worksshunt_core::job_api::HttpResponse;
use worksshunt_wire::user::JobSpec;
use worksshunt_wire::JobId;

use super::{History, Invariants};

/// A user's request. Requests and responses share one sequence of numbers.
#[derive(Debug, Clone)]
pub struct UserRequest {
    /// The job that the request concerns; `None` if it concerns none or names no valid id.
    pub id: Option<JobId>,
    is_submission: bool,
    sequence: u64,
}

/// The final state of a job according to a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FinalState {
    Done,
    Cancelled,
}

/// The final state of a job according to the first response that reported one.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReportedFinalState {
    pub(super) state: FinalState,
    /// The response's sequence number.
    sequence: u64,
    /// When the response was received, ms.
    pub(super) received_at: u64,
}

/// A response to a user's request about a job.
struct JobResponse<'a> {
    id: JobId,
    request: &'a UserRequest,
    /// The response's sequence number.
    sequence: u64,
    /// When the response is received, ms.
    received_at: u64,
    /// HTTP status.
    status: u16,
}

/// Names of the violated invariants, with details.
type Violations = Vec<(&'static str, String)>;

impl Invariants {
    /// Records a request that a user sends.
    pub fn record_request(&mut self, event: &Event) -> UserRequest {
        self.last_sequence += 1;
        let id = match event {
            Event::Submit { body, .. } => self.record_submission(body),
            Event::Cancel { job_id, .. } => {
                let id = job_id.parse::<JobId>().ok();
                if let Some(id) = id {
                    self.history(id).is_cancel_requested = true;
                }
                id
            }
            Event::Status { job_id, .. } => job_id.parse::<JobId>().ok(),
            _ => None,
        };
        UserRequest {
            id,
            is_submission: matches!(event, Event::Submit { .. }),
            sequence: self.last_sequence,
        }
    }

    fn record_submission(&mut self, body: &[u8]) -> Option<JobId> {
        let body = serde_json::from_slice::<Value>(body).ok()?;
        let id = body.get("Ref")?.as_str()?.parse::<JobId>().ok()?;
        if let Ok(spec) = serde_json::from_value::<JobSpec>(body) {
            // Requests are idempotent: repeated submissions do not change the job.
            self.jobs.entry(id).or_insert(spec);
            self.history(id).is_submitted = true;
        }
        Some(id)
    }

    /// Records a job that was accepted before the simulation began.
    pub fn assume_accepted(&mut self, spec: JobSpec) {
        let history = self.history(spec.id);
        history.is_submitted = true;
        history.accepted_sequence = Some(0);
        self.jobs.insert(spec.id, spec);
    }

    /// Records a response that a user receives and checks it. Returns whether it is the first to report the job as
    /// accepted or ended.
    pub fn record_response(
        &mut self,
        now: u64,
        request: &UserRequest,
        response: &HttpResponse,
    ) -> bool {
        self.last_sequence += 1;
        let Some(id) = request.id else {
            return false;
        };
        let body: Value = serde_json::from_str(&response.body).unwrap_or_default();
        let is_known = match response.status {
            200 | 201 => true,
            404 => false,
            400 | 422 if request.is_submission => false,
            _ => return false,
        };
        self.state_responses += 1;
        let response = JobResponse {
            id,
            request,
            sequence: self.last_sequence,
            received_at: now,
            status: response.status,
        };
        let mut violations = Violations::new();
        let has_new_state = if is_known {
            let state = body["Estado"].as_str().unwrap_or_default();
            self.check_known_job(&response, state, &mut violations)
        } else {
            self.check_unknown_job(&response, &mut violations);
            false
        };
        for (invariant, text) in violations {
            self.record_violation(invariant, &text);
        }
        has_new_state
    }

    /// Checks a response that reports that the job does not exist or was not accepted.
    fn check_unknown_job(&mut self, response: &JobResponse, violations: &mut Violations) {
        let id = response.id;
        let history = self.history(id);
        let accepted_sequence = history.accepted_sequence;
        if accepted_sequence.is_some_and(|accepted| response.request.sequence > accepted) {
            violations.push(("forgotten", format!("{id} got {}", response.status)));
        } else if response.request.is_submission && accepted_sequence.is_none() {
            self.jobs.remove(&id);
        }
    }

    /// Checks a response that reports a job's state. Returns whether it is the first to report the job as accepted or
    /// ended.
    fn check_known_job(
        &mut self,
        response: &JobResponse,
        state: &str,
        violations: &mut Violations,
    ) -> bool {
        let id = response.id;
        let are_all_tasks_completed = self.all_done(id);
        let history = self.history(id);
        if !history.is_submitted {
            violations.push(("invented", format!("{id}")));
        }
        let is_first = history.accepted_sequence.is_none();
        history.accepted_sequence.get_or_insert(response.sequence);
        let final_state = match state {
            "done" => Some(FinalState::Done),
            "aborted" => Some(FinalState::Cancelled),
            _ => None,
        };
        if final_state == Some(FinalState::Done) && !are_all_tasks_completed {
            violations.push(("not_done", format!("{id}")));
        }
        if final_state == Some(FinalState::Cancelled) && !history.is_cancel_requested {
            let text = format!("{id} was not cancelled by its user");
            violations.push(("went_back", text));
        }
        history.check_final_state(response, state, final_state, violations) || is_first
    }
}

impl History {
    /// Compares a reported state with the final state reported before, if any. Returns whether the response is the
    /// first to report a final state.
    fn check_final_state(
        &mut self,
        response: &JobResponse,
        state: &str,
        final_state: Option<FinalState>,
        violations: &mut Violations,
    ) -> bool {
        let id = response.id;
        match (self.reported_final_state, final_state) {
            (Some(previous), Some(current)) if previous.state != current => {
                let text = format!("{id} from {:?} to {current:?}", previous.state);
                violations.push(("went_back", text));
                false
            }
            (Some(previous), None) if response.request.sequence > previous.sequence => {
                let text = format!("{id} from {:?} to {state}", previous.state);
                violations.push(("went_back", text));
                false
            }
            (None, Some(state)) => {
                self.reported_final_state = Some(ReportedFinalState {
                    state,
                    sequence: response.sequence,
                    received_at: response.received_at,
                });
                true
            }
            _ => false,
        }
    }
}
