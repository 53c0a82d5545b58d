//! What the users of the cluster do and hear.

use std::collections::BTreeSet;

use serde_json::Value;
use worksshunt_core::controller::Event;
use worksshunt_core::job_api::{HttpResponse, RequestId};
use worksshunt_wire::JobId;

use super::*;

impl Cluster {
    /// Sends a user's request. Its answer will be in the slot returned; one sent to a controller that is
    /// down gets none.
    pub fn send(&mut self, node: usize, event: impl FnOnce(RequestId) -> Event) -> usize {
        let slot = self.user_replies.len();
        self.user_replies.push(None);
        let request = self.request();
        let event = event(request);
        if let Event::Submit(_, body) = &event {
            let text = serde_json::from_slice::<Value>(body).unwrap_or_default();
            let id = text["Ref"].as_str().and_then(|id| id.parse().ok());
            if let Some(id) = id {
                self.bodies.entry(id).or_insert(body.clone());
            }
        }
        let question = self.invariants.asked(&event);
        let Some(incarnation) = self.nodes[node].as_ref().map(|n| n.incarnation) else {
            return slot;
        };
        let user = PendingRequest::User(slot, question);
        self.pending_requests
            .insert((node, incarnation, request), user);
        self.dispatch(node, incarnation, event);
        slot
    }

    /// The answer in a slot, if there is one yet.
    pub fn reply(&self, slot: usize) -> Option<&HttpResponse> {
        self.user_replies[slot].as_ref()
    }

    /// Sends a user's request and waits for its answer.
    pub fn ask(&mut self, node: usize, event: impl FnOnce(RequestId) -> Event) -> HttpResponse {
        assert!(self.nodes[node].is_some(), "node {node} is down");
        let slot = self.send(node, event);
        self.until("an answer", 3_000, |w| w.user_replies[slot].is_some());
        self.user_replies[slot].clone().expect("an answer")
    }

    /// Asks for a job's state without waiting.
    pub fn send_status(&mut self, node: usize, id: JobId) -> usize {
        let text = id.to_string();
        self.send(node, |request| Event::Status(request, text))
    }

    /// Cancels a job without waiting.
    pub fn send_cancel(&mut self, node: usize, id: JobId) -> usize {
        let text = id.to_string();
        self.send(node, |request| Event::Cancel(request, text))
    }

    /// Submits a job without waiting.
    pub fn send_submit(&mut self, node: usize, job: &Value) -> usize {
        let body = job.to_string().into_bytes();
        self.send(node, |request| Event::Submit(request, body))
    }

    /// Submits a job.
    pub fn submit(&mut self, node: usize, job: &Value) -> HttpResponse {
        let body = job.to_string().into_bytes();
        self.ask(node, |request| Event::Submit(request, body))
    }

    /// Submits all these jobs to each of these controllers at one moment.
    pub fn submit_at_once(&mut self, nodes: &[usize], jobs: &[Value]) -> Vec<HttpResponse> {
        let first = self.user_replies.len();
        for job in jobs {
            for node in nodes {
                self.send_submit(*node, job);
            }
        }
        self.until("answers", 5_000, |w| {
            w.user_replies[first..].iter().all(Option::is_some)
        });
        self.user_replies[first..]
            .iter()
            .flatten()
            .cloned()
            .collect()
    }

    /// Asks a controller about jobs at one moment and counts those it answers with 200 at once or
    /// soon after.
    pub fn answered_questions(&mut self, node: usize, ids: &[u64]) -> BTreeSet<u64> {
        let first = self.user_replies.len();
        for id in ids {
            self.send_status(node, JobId(*id));
        }
        self.run(2_000);
        let replies = self.user_replies[first..].iter().zip(ids);
        let answered =
            |reply: &Option<HttpResponse>| reply.as_ref().is_some_and(|r| r.status == 200);
        replies
            .filter(|(reply, _)| answered(reply))
            .map(|(_, id)| *id)
            .collect()
    }

    /// A job's state as a controller tells it.
    pub fn state(&mut self, node: usize, id: u64) -> (u16, String) {
        let text = JobId(id).to_string();
        let reply = self.ask(node, |request| Event::Status(request, text));
        let body: Value = serde_json::from_str(&reply.body).expect("JSON");
        let state = body["Estado"].as_str().unwrap_or_default().to_owned();
        (reply.status, state)
    }

    /// Whether a controller calls itself healthy.
    pub fn healthy(&mut self, node: usize) -> bool {
        self.ask(node, Event::Health).status == 200
    }

    /// Cancels a job.
    pub fn cancel(&mut self, node: usize, id: u64) -> HttpResponse {
        let text = JobId(id).to_string();
        self.ask(node, |request| Event::Cancel(request, text))
    }

    pub(super) fn user_answered(&mut self, slot: usize, question: &JobQuery, reply: HttpResponse) {
        let new = self.invariants.answered(self.now, question, &reply);
        self.user_replies[slot] = Some(reply);
        if let (true, true, Some(id)) = (new, self.faults.rapid_status_queries, question.id) {
            for ms in [0, 1, 4, 9, 25, 70, 300] {
                self.schedule(ms, move |cluster| cluster.query_rapidly(id));
            }
        }
    }

    /// Users ask all controllers about a job, and repeat its submission.
    pub(super) fn query_rapidly(&mut self, id: JobId) {
        for node in 0..3 {
            self.record_effect("close look");
            self.send_status(node, id);
            if let Some(body) = self.bodies.get(&id).cloned() {
                self.send(node, |request| Event::Submit(request, body));
            }
        }
    }

    pub(super) fn query_all_accepted(&mut self) {
        let begun = self.now;
        let mut left: BTreeSet<(JobId, usize)> = BTreeSet::new();
        for id in self.invariants.accepted() {
            left.extend((0..3).map(|node| (id, node)));
        }
        while !left.is_empty() {
            if self.now >= begun + SILENT_MOST_MS {
                self.invariants
                    .broke("forgotten", &format!("no answer: {left:?}"));
                return;
            }
            let sent: Vec<(JobId, usize, usize)> = left
                .iter()
                .map(|(id, node)| (*id, *node))
                .collect::<Vec<_>>()
                .into_iter()
                .map(|(id, node)| (id, node, self.send_status(node, id)))
                .collect();
            self.run(2_000);
            for (id, node, slot) in sent {
                if self.reply(slot).is_some_and(|reply| reply.status == 200) {
                    left.remove(&(id, node));
                }
            }
            if !left.is_empty() {
                self.run(3_000);
            }
        }
    }
}
