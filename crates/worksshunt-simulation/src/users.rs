//! Simulated users: the requests they send and the responses they receive.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::Value;
use worksshunt_core::controller::Event;
use worksshunt_core::job_api::{HttpResponse, RequestId};
use worksshunt_wire::JobId;

use crate::invariants::{UserRequest, MAX_UNANSWERED_MS};
use crate::network::PendingRequest;
use crate::{Cluster, CONTROLLER_COUNT};

/// Delays of the status queries after a job was reported as accepted or ended, ms; see
/// [`crate::Faults::has_rapid_status_queries`].
const RAPID_QUERY_DELAYS_MS: [u64; 7] = [0, 1, 4, 9, 25, 70, 300];
/// Timeout of a user's request according to the protocol, ms.
const RESPONSE_TIMEOUT_MS: u64 = 2_000;
/// Delay before users repeat unanswered queries, ms.
const RETRY_DELAY_MS: u64 = 3_000;

/// A status query about an accepted job that a controller has not answered yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct UnansweredQuery {
    job: JobId,
    controller: usize,
}

/// Requests and responses of all users.
#[derive(Default)]
pub(crate) struct Users {
    /// Responses in the order of the requests; a slot is an index into this. `None` until the response arrives.
    responses: Vec<Option<HttpResponse>>,
    /// The first submission of each job, for repetition.
    submissions: BTreeMap<JobId, Vec<u8>>,
}

impl Users {
    fn record_submission(&mut self, body: &[u8]) {
        let job = serde_json::from_slice::<Value>(body).unwrap_or_default();
        let id = job["Ref"].as_str().and_then(|id| id.parse().ok());
        if let Some(id) = id {
            self.submissions.entry(id).or_insert(body.to_vec());
        }
    }
}

impl Cluster {
    /// Sends a user's request and returns the slot of its response. A controller that is down does not respond.
    pub fn send(&mut self, controller: usize, event: impl FnOnce(RequestId) -> Event) -> usize {
        let slot = self.users.responses.len();
        self.users.responses.push(None);
        let request = self.pending_requests.next_id();
        let event = event(request);
        if let Event::Submit { body, .. } = &event {
            self.users.record_submission(body);
        }
        let user_request = self.invariants.record_request(&event);
        let Some(receiver) = self.current_instance(controller) else {
            return slot;
        };
        let pending = PendingRequest::User {
            slot,
            request: user_request,
        };
        self.pending_requests.insert(receiver, request, pending);
        self.dispatch(receiver, event);
        slot
    }

    /// Returns the response in a slot; `None` until it arrives.
    pub fn response(&self, slot: usize) -> Option<&HttpResponse> {
        self.users.responses[slot].as_ref()
    }

    /// Sends a user's request and waits for the response.
    ///
    /// # Panics
    ///
    /// The controller is down, or did not respond within 3 s.
    pub fn send_and_wait(
        &mut self,
        controller: usize,
        event: impl FnOnce(RequestId) -> Event,
    ) -> HttpResponse {
        assert!(self.is_up(controller), "controller {controller} is down");
        let slot = self.send(controller, event);
        self.until("a response", 3_000, |cluster| {
            cluster.response(slot).is_some()
        });
        self.response(slot).cloned().expect("a response")
    }

    /// Sends a status query without waiting; returns the response's slot.
    pub fn send_status(&mut self, controller: usize, id: JobId) -> usize {
        let job_id = id.to_string();
        self.send(controller, |request_id| Event::Status {
            request_id,
            job_id,
        })
    }

    /// Sends a cancellation without waiting; returns the response's slot.
    pub fn send_cancel(&mut self, controller: usize, id: JobId) -> usize {
        let job_id = id.to_string();
        self.send(controller, |request_id| Event::Cancel {
            request_id,
            job_id,
        })
    }

    /// Sends a submission without waiting; returns the response's slot.
    pub fn send_submit(&mut self, controller: usize, job: &Value) -> usize {
        let body = job.to_string().into_bytes();
        self.send(controller, |request_id| Event::Submit { request_id, body })
    }

    /// Submits a job and waits for the response.
    pub fn submit(&mut self, controller: usize, job: &Value) -> HttpResponse {
        let body = job.to_string().into_bytes();
        self.send_and_wait(controller, |request_id| Event::Submit { request_id, body })
    }

    /// Submits each job to each of the controllers at the same time and waits for all responses.
    pub fn submit_at_once(&mut self, controllers: &[usize], jobs: &[Value]) -> Vec<HttpResponse> {
        let first_slot = self.users.responses.len();
        for job in jobs {
            for controller in controllers {
                self.send_submit(*controller, job);
            }
        }
        self.until("responses", 5_000, |cluster| {
            let mut responses = cluster.users.responses[first_slot..].iter();
            responses.all(Option::is_some)
        });
        let responses = self.users.responses[first_slot..].iter();
        responses.flatten().cloned().collect()
    }

    /// Queries jobs at a controller at the same time and returns those answered with status 200 within 2 s.
    pub fn answered_queries(&mut self, controller: usize, ids: &[u64]) -> BTreeSet<u64> {
        let first_slot = self.users.responses.len();
        for id in ids {
            self.send_status(controller, JobId(*id));
        }
        self.run(RESPONSE_TIMEOUT_MS);
        let slots = first_slot..first_slot + ids.len();
        slots
            .zip(ids)
            .filter(|(slot, _)| self.is_answered_ok(*slot))
            .map(|(_, id)| *id)
            .collect()
    }

    /// Returns whether the response in a slot has status 200.
    fn is_answered_ok(&self, slot: usize) -> bool {
        self.response(slot)
            .is_some_and(|response| response.status == 200)
    }

    /// Queries a job's state at a controller; returns the HTTP status and the state.
    ///
    /// # Panics
    ///
    /// The controller does not respond.
    pub fn state(&mut self, controller: usize, id: u64) -> (u16, String) {
        let job_id = JobId(id).to_string();
        let response = self.send_and_wait(controller, |request_id| Event::Status {
            request_id,
            job_id,
        });
        let body: Value = serde_json::from_str(&response.body).expect("JSON");
        let state = body["Estado"].as_str().unwrap_or_default().to_owned();
        (response.status, state)
    }

    /// Sends a health check and returns whether the controller reports itself as healthy.
    pub fn is_healthy(&mut self, controller: usize) -> bool {
        self.send_and_wait(controller, Event::Health).status == 200
    }

    /// Cancels a job and waits for the response.
    pub fn cancel(&mut self, controller: usize, id: u64) -> HttpResponse {
        let job_id = JobId(id).to_string();
        self.send_and_wait(controller, |request_id| Event::Cancel {
            request_id,
            job_id,
        })
    }

    pub(crate) fn user_response_arrives(
        &mut self,
        slot: usize,
        request: &UserRequest,
        response: HttpResponse,
    ) {
        let has_new_state = self
            .invariants
            .record_response(self.now, request, &response);
        self.users.responses[slot] = Some(response);
        if let (true, true, Some(id)) = (
            has_new_state,
            self.faults.has_rapid_status_queries,
            request.id,
        ) {
            for delay_ms in RAPID_QUERY_DELAYS_MS {
                self.schedule(delay_ms, move |cluster| cluster.query_rapidly(id));
            }
        }
    }

    /// Queries a job at all controllers and repeats its submission to each.
    fn query_rapidly(&mut self, id: JobId) {
        for controller in 0..CONTROLLER_COUNT {
            self.record_effect("rapid status query");
            self.send_status(controller, id);
            if let Some(body) = self.users.submissions.get(&id).cloned() {
                self.send(controller, |request_id| Event::Submit { request_id, body });
            }
        }
    }

    /// Queries every accepted job at every controller until all queries are answered with status 200. Records a
    /// violation after [`MAX_UNANSWERED_MS`].
    pub(crate) fn query_all_accepted(&mut self) {
        let started_at = self.now;
        let mut unanswered: BTreeSet<UnansweredQuery> = BTreeSet::new();
        for id in self.invariants.accepted_jobs() {
            let query = |controller| UnansweredQuery {
                job: id,
                controller,
            };
            unanswered.extend((0..CONTROLLER_COUNT).map(query));
        }
        while !unanswered.is_empty() {
            if self.now >= started_at + MAX_UNANSWERED_MS {
                let text = format!("no answer: {unanswered:?}");
                self.invariants.record_violation("forgotten", &text);
                return;
            }
            let slots: Vec<usize> = unanswered
                .iter()
                .map(|query| self.send_status(query.controller, query.job))
                .collect();
            self.run(RESPONSE_TIMEOUT_MS);
            let mut slots = slots.into_iter();
            unanswered.retain(|_| slots.next().is_some_and(|slot| !self.is_answered_ok(slot)));
            if !unanswered.is_empty() {
                self.run(RETRY_DELAY_MS);
            }
        }
    }
}
