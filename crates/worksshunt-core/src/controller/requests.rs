//! Requests of users and workers, and the cloud's answers.

use worksshunt_wire::cloud::Catalog;
use worksshunt_wire::worker::{Heartbeat, HeartbeatResponse, Redirect};
use worksshunt_wire::JobId;

use crate::capacity::{shortfalls, Shortfall};
use crate::constants::fleet::MAX_MACHINES_PER_RELEASE_REQUEST;
use crate::constants::job_api::{
    FINAL_STATES_CACHED, MAX_MACHINE_NAME_BYTES, STORED_JOB_OVERHEAD_BYTES,
};
use crate::constants::key_value::{KV_RETRY_MS, KV_SILENT_AFTER_MS};
use crate::constants::timers::CATALOG_RETRY_MS;
use crate::fleet::CloudRequest;
use crate::job_api::{
    accepted_response, final_state_response, resolve, HttpResponse, JobOperation, JobRequest,
    JobRequestStep, PendingSubmission, RequestId,
};
use crate::jobs::{
    final_state_key, is_submission_batch, open_job_key, submission_batch_key, Job, OPEN,
};
use crate::machines::HeartbeatOutcome;
use crate::placement::owner;
use crate::submissions::{check_possible, parse, Malformed, RefusedSubmission};
use crate::time::{Now, Time};

use super::writes::hedge_request;
use super::{store, Action, CloudResponse, Controller, KvPurpose, KvRequest, KvResponse};

impl Controller {
    /// Sends what users' requests wait for, as soon as it can leave.
    pub(super) fn advance_job_api(&mut self, now: Time, actions: &mut Vec<Action>) {
        let may_read = self.user_reads.available(now) > 0;
        if self.catch_up_timer.is_due(now) && self.job_api.read_due() && may_read {
            if let Some(since) = self.job_cache.revision() {
                self.job_api.read_sent();
                self.user_reads.take(1);
                self.catch_up_timer.mark_sent(now, 0);
                let op = KvRequest::Watch(OPEN.to_owned(), since, 0);
                store(actions, KvPurpose::CatchUpOpenJobs, op);
            }
        }
        while self.user_reads.available(now) > 0 {
            let Some(id) = self.final_state_lookups.pop_front() else {
                break;
            };
            self.user_reads.take(1);
            store(
                actions,
                KvPurpose::LookUpFinalState(id),
                KvRequest::Get(final_state_key(id)),
            );
        }
        if let Some(number) = self.accept_hedge.hedge_due(now) {
            let write = &self.accept_in_flight;
            self.write_queues
                .user_write_tokens
                .take(write.changes.len());
            actions.push(hedge_request(KvPurpose::AcceptSubmissions(number), write));
        }
        if self.accept_timer.is_due(now) && self.job_api.write_due() {
            let limits = &self.settings.facts.state;
            let most = self
                .write_queues
                .user_write_tokens
                .available(now)
                .min(limits.txn_ops);
            let (me, count) = (self.membership.name(), &mut self.submission_batches_written);
            let name = self.membership.lease().map(|lease| {
                move || {
                    *count += 1;
                    submission_batch_key(me, lease, *count)
                }
            });
            let write = self.job_api.next_write(most, limits, name);
            if let Some(write) = write {
                self.write_queues
                    .user_write_tokens
                    .take(write.changes.len());
                self.accept_timer.mark_sent(now, 0);
                let number = self.accept_hedge.first_sent(now);
                self.accept_in_flight = write.clone();
                store(
                    actions,
                    KvPurpose::AcceptSubmissions(number),
                    KvRequest::CompareAndSwap(write),
                );
            }
        }
    }

    /// Whether the state service has been silent so long that asking it would only cost time.
    pub(super) fn key_value_store_silent(&self, now: Time) -> bool {
        now.since(self.key_value_answered_at) > KV_SILENT_AFTER_MS
    }

    pub(super) fn job_request(
        &mut self,
        now: Now,
        request: RequestId,
        id: &str,
        question: JobOperation,
        actions: &mut Vec<Action>,
    ) {
        let reply = match id.parse::<JobId>() {
            Err(_) => HttpResponse::error(404, "no such job"),
            Ok(id) => {
                let job_request = JobRequest {
                    request_id: request,
                    id,
                    operation: question,
                    seen_in_batch: false,
                };
                match self.job_cache.final_state(id) {
                    Some(state) => final_state_response(&job_request, state),
                    None => match self.queue_job_request(now.steady, job_request) {
                        Ok(()) => return,
                        Err(reply) => reply,
                    },
                }
            }
        };
        actions.push(Action::Respond(request, reply));
    }

    /// Whether another request would be one too many; told of in the log when it begins.
    fn check_job_api_full(&mut self) -> bool {
        let full = self.job_api.is_full();
        if full && !self.job_api_full {
            let most = self.capacity.user_requests;
            tracing::warn!(
                most,
                "too many requests wait for the state service: refused at once"
            );
        }
        self.job_api_full = full;
        full
    }

    fn queue_job_request(
        &mut self,
        now: Time,
        job_request: JobRequest,
    ) -> Result<(), HttpResponse> {
        if !self.job_cache.is_loaded() {
            return Err(HttpResponse::retry_later("starting"));
        }
        if self.key_value_store_silent(now) {
            return Err(HttpResponse::retry_later(
                "the state service does not answer",
            ));
        }
        if self.check_job_api_full() {
            return Err(HttpResponse::retry_later("too many requests wait"));
        }
        self.job_api.queue_request(job_request);
        Ok(())
    }

    pub(super) fn submit(
        &mut self,
        now: Now,
        request: RequestId,
        body: &[u8],
        actions: &mut Vec<Action>,
    ) {
        let most = (self.settings.facts.state.value_kb * 1_024.0) as usize;
        let checked = parse(body).and_then(|spec| {
            let id = Some(spec.id);
            let kept = serde_json::to_string(&spec).map_or(usize::MAX, |text| text.len());
            if kept.saturating_add(STORED_JOB_OVERHEAD_BYTES) > most {
                let refusal = Malformed::TooLong.into();
                return Err(RefusedSubmission { id, refusal });
            }
            match &self.catalog {
                None => Ok(None),
                Some(catalog) => check_possible(&spec, catalog, &self.quota)
                    .map(|()| Some(spec))
                    .map_err(|refusal| RefusedSubmission { id, refusal }),
            }
        });
        let reply = match checked {
            Ok(None) => HttpResponse::retry_later("machine types not known yet"),
            Ok(Some(spec)) => {
                let id = spec.id;
                let known = self.job_cache.get(id).is_some() || self.job_cache.is_in_batch(id);
                let job = Box::new(Job {
                    spec,
                    accepted_ms: now.wall_ms,
                });
                let is_service = job.is_service();
                let job_request = JobRequest {
                    request_id: request,
                    id,
                    operation: JobOperation::Submit(job),
                    seen_in_batch: false,
                };
                if let Some(state) = self.job_cache.final_state(id) {
                    final_state_response(&job_request, state)
                } else if known {
                    match self.queue_job_request(now.steady, job_request) {
                        Ok(()) => return,
                        Err(reply) => reply,
                    }
                } else if is_service && !self.membership.accepts_services() {
                    // A controller that does not understand it would call it unknown.
                    HttpResponse::retry_later("controllers that do not know services may be left")
                } else if !self.job_cache.is_loaded() || self.key_value_store_silent(now.steady) {
                    HttpResponse::retry_later("the state service does not answer")
                } else if self.check_job_api_full() {
                    HttpResponse::retry_later("too many requests wait")
                } else {
                    if let JobOperation::Submit(job) = job_request.operation {
                        self.job_api.queue_submission(now.steady, request, job);
                    }
                    return;
                }
            }
            Err(RefusedSubmission { id: None, refusal }) => HttpResponse::refused(&refusal),
            Err(RefusedSubmission {
                id: Some(id),
                refusal,
            }) => {
                let job_request = JobRequest {
                    request_id: request,
                    id,
                    operation: JobOperation::Unacceptable(refusal),
                    seen_in_batch: false,
                };
                match self.queue_job_request(now.steady, job_request) {
                    Ok(()) => return,
                    Err(reply) => reply,
                }
            }
        };
        actions.push(Action::Respond(request, reply));
    }

    pub(super) fn apply_job_request_step(
        &mut self,
        now: Time,
        step: JobRequestStep,
        actions: &mut Vec<Action>,
    ) {
        match step {
            JobRequestStep::Respond(request, reply) => {
                actions.push(Action::Respond(request, reply))
            }
            // Whoever comes first while the share lasts would always find it used up by the same
            // others: what had to be put off is read in its turn, and the next question finds it.
            JobRequestStep::LookUpFinal(job_request)
                if !self.final_state_lookups.is_empty() || self.user_reads.available(now) == 0 =>
            {
                if self.final_state_lookups.len() < FINAL_STATES_CACHED
                    && self.final_states_in_lookup.insert(job_request.id)
                {
                    self.final_state_lookups.push_back(job_request.id);
                }
                let reply = HttpResponse::retry_later("too many questions at once");
                actions.push(Action::Respond(job_request.request_id, reply));
            }
            JobRequestStep::LookUpFinal(job_request) => {
                self.user_reads.take(1);
                let op = KvRequest::Get(final_state_key(job_request.id));
                store(actions, KvPurpose::ReadFinalState(job_request), op);
            }
            JobRequestStep::Cancel(job_request, write) => {
                self.write_cancellation(job_request, write, actions)
            }
            JobRequestStep::ResolveAgain(job_request) => self.job_api.queue_request(job_request),
            JobRequestStep::Accept(request, job) => {
                self.job_api.queue_submission(now, request, job)
            }
        }
    }

    fn resolve_job_requests(
        &mut self,
        now: Time,
        job_requests: Vec<JobRequest>,
        actions: &mut Vec<Action>,
    ) {
        for job_request in job_requests {
            let step = resolve(job_request, &self.job_cache, &self.progress);
            self.apply_job_request_step(now, step, actions);
        }
    }

    pub(super) fn catch_up_answered(
        &mut self,
        now: Time,
        sent: Time,
        reply: KvResponse,
        actions: &mut Vec<Action>,
    ) {
        self.catch_up_timer.schedule_retry(now, 0);
        match reply {
            KvResponse::WatchResponse(changes) if self.job_cache.is_loaded() => {
                self.open_jobs_changed(now, sent, &changes);
                let job_requests = self.job_api.read_answered();
                self.resolve_job_requests(now, job_requests, actions);
            }
            KvResponse::RevisionCompacted => self.reload_job_cache(actions),
            _ => {
                for job_request in self.job_api.read_answered() {
                    let reply = HttpResponse::retry_later("the state service does not answer");
                    actions.push(Action::Respond(job_request.request_id, reply));
                }
            }
        }
    }

    pub(super) fn submissions_answered(
        &mut self,
        number: u64,
        now: Time,
        reply: KvResponse,
        actions: &mut Vec<Action>,
    ) {
        let clearly = matches!(
            reply,
            KvResponse::Committed(_) | KvResponse::Conflict(_) | KvResponse::TooLarge
        );
        if !self.accept_hedge.answered(number, clearly) {
            return;
        }
        self.accept_timer.schedule_retry(now, 0);
        let jobs = self.job_api.write_answered();
        match reply {
            // Nobody else writes this process's pages of jobs: an earlier copy was applied.
            KvResponse::Conflict(failed) if failed.iter().any(|key| is_submission_batch(key)) => {
                accept_all(jobs, actions);
            }
            KvResponse::Committed(_) => accept_all(jobs, actions),
            KvResponse::Conflict(failed) => {
                for PendingSubmission {
                    request_id: request,
                    job,
                    ..
                } in jobs
                {
                    let id = job.spec.id;
                    if failed.contains(&open_job_key(id)) || failed.contains(&final_state_key(id)) {
                        self.job_api.queue_request(JobRequest {
                            request_id: request,
                            id,
                            operation: JobOperation::Submit(job),
                            seen_in_batch: false,
                        });
                    } else {
                        self.job_api.queue_submission(now, request, job);
                    }
                }
            }
            KvResponse::TooLarge if jobs.len() > 1 => {
                self.accept_timer.schedule_retry(now, KV_RETRY_MS);
                self.lower_limits();
                self.job_api.requeue_submissions(jobs);
            }
            // Certainly not executed, most likely for the limit: there is time for another try.
            KvResponse::Refused if !self.key_value_store_silent(now) => {
                self.accept_timer.schedule_retry(now, KV_RETRY_MS);
                self.job_api.requeue_submissions(jobs);
            }
            _ => {
                for submission in jobs {
                    actions.push(Action::Respond(
                        submission.request_id,
                        HttpResponse::retry_later("not accepted yet"),
                    ));
                }
                for request in self.job_api.take_all() {
                    let reply = HttpResponse::retry_later("the state service does not answer");
                    actions.push(Action::Respond(request, reply));
                }
            }
        }
    }

    pub(super) fn heartbeat(&mut self, now: Time, body: &[u8]) -> HttpResponse {
        let heartbeat: Heartbeat = match serde_json::from_slice(body).map_err(|e| e.to_string()) {
            Ok(heartbeat) if is_name(&heartbeat) => heartbeat,
            odd => {
                let error = odd
                    .err()
                    .unwrap_or_else(|| "not a machine's name".to_owned());
                if !std::mem::replace(&mut self.malformed_heartbeat_logged, true) {
                    tracing::warn!(error, "odd report; further ones are not logged");
                }
                return HttpResponse::error(400, &error);
            }
        };
        let names = self
            .membership
            .epoch()
            .map(|epoch| epoch.partition_owners());
        let names = names.unwrap_or_default();
        match (owner(&heartbeat.machine, &names), &self.catalog) {
            (Some(name), _) if name != self.membership.name() => HttpResponse::json(
                421,
                &Redirect {
                    report_to: Some(name.clone()),
                },
            ),
            (Some(_), Some(catalog)) if self.membership.may_act(now) => {
                let token = self.membership.fencing_token();
                match self
                    .partition
                    .process_heartbeat(now, &heartbeat, token, catalog)
                {
                    HeartbeatOutcome::Accepted(commands) => HttpResponse::json(
                        200,
                        &HeartbeatResponse {
                            fencing_token: token,
                            commands,
                        },
                    ),
                    HeartbeatOutcome::Rejected => {
                        HttpResponse::retry_later("a newer message has come")
                    }
                }
            }
            _ => HttpResponse::retry_later("not entitled to act now"),
        }
    }

    pub(super) fn process_cloud_response(
        &mut self,
        now: Time,
        request: &CloudRequest,
        reply: CloudResponse,
    ) {
        match (request, reply) {
            (CloudRequest::ReadCatalog, CloudResponse::Catalog(catalog)) => {
                self.catalog_timer.in_flight = false;
                self.warn_of_shortfalls(&catalog);
                self.catalog = Some(catalog);
            }
            (CloudRequest::ReadCatalog, _) => {
                self.catalog_timer.schedule_retry(now, CATALOG_RETRY_MS)
            }
            (CloudRequest::ListMachines, reply) => {
                self.machine_list_timer.in_flight = false;
                if let (CloudResponse::List(pages), Some(leader)) = (reply, &mut self.leader) {
                    leader.fleet.machine_list_read(now, &pages);
                    leader.scheduler.set_draining(leader.fleet.draining());
                }
            }
            (CloudRequest::Provision(request), reply) => {
                let Some(leader) = &mut self.leader else {
                    return;
                };
                match reply {
                    CloudResponse::Machines(names) => {
                        leader.fleet.provisioned(now, &request.request_name, &names);
                        // One request may not have been enough.
                        self.fleet_timer.next = now;
                    }
                    CloudResponse::NoCapacity => {
                        leader.fleet.provision_refused(now, &request.request_name)
                    }
                    _ => leader.fleet.provision_unanswered(&request.request_name),
                }
            }
            (CloudRequest::Release(names), reply) => {
                let Some(leader) = &mut self.leader else {
                    return;
                };
                let gone = matches!(reply, CloudResponse::Machines(_)).then_some(names);
                leader.fleet.release_answered(now, gone);
                leader.scheduler.set_draining(leader.fleet.draining());
                if gone
                    .is_some_and(|names| names.machines.len() >= MAX_MACHINES_PER_RELEASE_REQUEST)
                {
                    // More may be waiting to go back than one request takes.
                    self.fleet_timer.next = now;
                }
            }
        }
    }
}

impl Controller {
    /// Tells once of settings that fall short of the fleet that the guarantees imply.
    fn warn_of_shortfalls(&mut self, catalog: &Catalog) {
        if self.warned_of_shortfalls {
            return;
        }
        self.warned_of_shortfalls = true;
        for shortfall in shortfalls(&self.settings, catalog) {
            match shortfall {
                Shortfall::Connections {
                    machines,
                    sockets_needed,
                } => tracing::warn!(
                    machines,
                    sockets_needed,
                    sockets = self.settings.facts.limits.sockets,
                    "fewer sockets than machines guaranteed: a controller left alone has workers share connections"
                ),
                Shortfall::StateWrites {
                    machines,
                    write_rps_needed,
                } => tracing::warn!(
                    machines,
                    write_rps_needed,
                    write_rps = self.settings.facts.state.write_rps,
                    "launches on all machines guaranteed take longer to record than a lease lasts"
                ),
            }
        }
    }
}

fn accept_all(jobs: Vec<PendingSubmission>, actions: &mut Vec<Action>) {
    for PendingSubmission {
        request_id, job, ..
    } in jobs
    {
        let response = accepted_response(job.spec.id);
        actions.push(Action::Respond(request_id, response));
    }
}

/// Whether the machine's name may become part of a key of the state service.
fn is_name(heartbeat: &Heartbeat) -> bool {
    let name = &heartbeat.machine.0;
    let plain = |c: char| !c.is_whitespace() && !c.is_control() && c != '/';
    (1..=MAX_MACHINE_NAME_BYTES).contains(&name.len()) && name.chars().all(plain)
}
