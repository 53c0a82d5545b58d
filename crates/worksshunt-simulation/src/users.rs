//! Users of the cluster: the requests they send, and the responses they receive.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::Value;
use worksshunt_core::controller::Event;
use worksshunt_core::job_api::{HttpResponse, RequestId};
use worksshunt_wire::JobId;

use crate::invariants::{JobQuery, MAX_SILENCE_MS};
use crate::network::PendingRequest;
use crate::{Cluster, CONTROLLERS};

/// When users query all controllers after something new is known of a job, ms, see [`crate::Faults`].
const RAPID_QUERY_TIMES_MS: [u64; 7] = [0, 1, 4, 9, 25, 70, 300];
/// How long users wait for a response, ms (protocol).
const RESPONSE_DEADLINE_MS: u64 = 2_000;
/// How long users wait before they repeat queries that were not answered, ms.
const RETRY_WAIT_MS: u64 = 3_000;

/// A query about an accepted job that a controller has not answered yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct UnansweredQuery {
    job: JobId,
    controller: usize,
}

/// Responses to users, and what they submitted.
#[derive(Default)]
pub(crate) struct Users {
    /// Responses by slot, in the order of the requests.
    responses: Vec<Option<HttpResponse>>,
    /// Submissions as first sent, for repetitions.
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
    /// Sends a user's request. Its response will be in the slot returned; a request to a controller that is down
    /// gets none.
    pub fn send(&mut self, controller: usize, event: impl FnOnce(RequestId) -> Event) -> usize {
        let slot = self.users.responses.len();
        self.users.responses.push(None);
        let request = self.pending_requests.next_id();
        let event = event(request);
        if let Event::Submit { body, .. } = &event {
            self.users.record_submission(body);
        }
        let query = self.invariants.request_sent(&event);
        let Some(receiver) = self.current_run(controller) else {
            return slot;
        };
        self.pending_requests
            .insert(receiver, request, PendingRequest::User { slot, query });
        self.dispatch(receiver, event);
        slot
    }

    /// The response in a slot, if there is one yet.
    pub fn reply(&self, slot: usize) -> Option<&HttpResponse> {
        self.users.responses[slot].as_ref()
    }

    /// Sends a user's request and waits for the response.
    ///
    /// # Panics
    ///
    /// The controller is down, or did not respond within 3 s.
    pub fn ask(
        &mut self,
        controller: usize,
        event: impl FnOnce(RequestId) -> Event,
    ) -> HttpResponse {
        assert!(self.is_up(controller), "node {controller} is down");
        let slot = self.send(controller, event);
        self.until("an answer", 3_000, |cluster| cluster.reply(slot).is_some());
        self.reply(slot).cloned().expect("an answer")
    }

    /// Asks for a job's state without waiting.
    pub fn send_status(&mut self, controller: usize, id: JobId) -> usize {
        let text = id.to_string();
        self.send(controller, |request_id| Event::Status {
            request_id,
            job_id: text,
        })
    }

    /// Cancels a job without waiting.
    pub fn send_cancel(&mut self, controller: usize, id: JobId) -> usize {
        let text = id.to_string();
        self.send(controller, |request_id| Event::Cancel {
            request_id,
            job_id: text,
        })
    }

    /// Submits a job without waiting.
    pub fn send_submit(&mut self, controller: usize, job: &Value) -> usize {
        let body = job.to_string().into_bytes();
        self.send(controller, |request_id| Event::Submit { request_id, body })
    }

    /// Submits a job.
    pub fn submit(&mut self, controller: usize, job: &Value) -> HttpResponse {
        let body = job.to_string().into_bytes();
        self.ask(controller, |request_id| Event::Submit { request_id, body })
    }

    /// Submits all these jobs to each of these controllers at one moment.
    pub fn submit_at_once(&mut self, controllers: &[usize], jobs: &[Value]) -> Vec<HttpResponse> {
        let first = self.users.responses.len();
        for job in jobs {
            for controller in controllers {
                self.send_submit(*controller, job);
            }
        }
        self.until("answers", 5_000, |cluster| {
            let mut responses = cluster.users.responses[first..].iter();
            responses.all(Option::is_some)
        });
        let responses = self.users.responses[first..].iter();
        responses.flatten().cloned().collect()
    }

    /// Queries jobs at a controller at one moment and returns those it answers with 200 within 2 s.
    pub fn answered_queries(&mut self, controller: usize, ids: &[u64]) -> BTreeSet<u64> {
        let first = self.users.responses.len();
        for id in ids {
            self.send_status(controller, JobId(*id));
        }
        self.run(RESPONSE_DEADLINE_MS);
        let slots = first..first + ids.len();
        slots
            .zip(ids)
            .filter(|(slot, _)| self.is_served(*slot))
            .map(|(_, id)| *id)
            .collect()
    }

    /// Whether the response in a slot has the status 200.
    fn is_served(&self, slot: usize) -> bool {
        self.reply(slot)
            .is_some_and(|response| response.status == 200)
    }

    /// A job's state according to a controller, with the response's status.
    ///
    /// # Panics
    ///
    /// The controller does not respond.
    pub fn state(&mut self, controller: usize, id: u64) -> (u16, String) {
        let text = JobId(id).to_string();
        let response = self.ask(controller, |request_id| Event::Status {
            request_id,
            job_id: text,
        });
        let body: Value = serde_json::from_str(&response.body).expect("JSON");
        let state = body["Estado"].as_str().unwrap_or_default().to_owned();
        (response.status, state)
    }

    /// Whether a controller calls itself healthy.
    pub fn healthy(&mut self, controller: usize) -> bool {
        self.ask(controller, Event::Health).status == 200
    }

    /// Cancels a job.
    pub fn cancel(&mut self, controller: usize, id: u64) -> HttpResponse {
        let text = JobId(id).to_string();
        self.ask(controller, |request_id| Event::Cancel {
            request_id,
            job_id: text,
        })
    }

    pub(crate) fn user_answered(&mut self, slot: usize, query: &JobQuery, response: HttpResponse) {
        let is_news = self
            .invariants
            .response_received(self.now, query, &response);
        self.users.responses[slot] = Some(response);
        if let (true, true, Some(id)) = (is_news, self.faults.rapid_status_queries, query.id) {
            for ms in RAPID_QUERY_TIMES_MS {
                self.schedule(ms, move |cluster| cluster.query_rapidly(id));
            }
        }
    }

    /// Users ask all controllers about a job, and repeat its submission.
    fn query_rapidly(&mut self, id: JobId) {
        for controller in 0..CONTROLLERS {
            self.record_effect("rapid status query");
            self.send_status(controller, id);
            if let Some(body) = self.users.submissions.get(&id).cloned() {
                self.send(controller, |request_id| Event::Submit { request_id, body });
            }
        }
    }

    /// Queries all accepted jobs at all controllers until every query is answered, or finds the invariant violated
    /// that accepted jobs are known.
    pub(crate) fn query_all_accepted(&mut self) {
        let began_at = self.now;
        let mut unanswered: BTreeSet<UnansweredQuery> = BTreeSet::new();
        for id in self.invariants.accepted_jobs() {
            let query = |controller| UnansweredQuery {
                job: id,
                controller,
            };
            unanswered.extend((0..CONTROLLERS).map(query));
        }
        while !unanswered.is_empty() {
            if self.now >= began_at + MAX_SILENCE_MS {
                let text = format!("no answer: {unanswered:?}");
                self.invariants.record_violation("forgotten", &text);
                return;
            }
            let slots: Vec<usize> = unanswered
                .iter()
                .map(|query| self.send_status(query.controller, query.job))
                .collect();
            self.run(RESPONSE_DEADLINE_MS);
            let mut slots = slots.into_iter();
            unanswered.retain(|_| slots.next().is_some_and(|slot| !self.is_served(slot)));
            if !unanswered.is_empty() {
                self.run(RETRY_WAIT_MS);
            }
        }
    }
}
