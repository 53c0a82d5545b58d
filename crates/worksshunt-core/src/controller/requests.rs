//! Requests of users and workers, and the cloud's answers.

use worksshunt_wire::cloud::Catalog;
use worksshunt_wire::worker::{Redirect, Report, ReportAnswer};
use worksshunt_wire::JobId;

use crate::capacity::{shortfalls, Shortfall};
use crate::constants::*;
use crate::fleet::CloudRequest;
use crate::jobs::{final_key, intake_key, is_intake, open_key, Job, OPEN};
use crate::machines::ReportReply;
use crate::placement::owner;
use crate::submissions::{check_possible, parse, Refusal};
use crate::time::{Now, Time};
use crate::users::{accepted, resolve, settled, Ask, Question, Reply, RequestId, Step, Submission};

use super::writes::second_copy;
use super::{store, Action, CloudReply, Controller, StoreOp, StoreReply, StoreTag};

impl Controller {
    /// Sends what users' requests wait for, as soon as it can leave.
    pub(super) fn user_turns(&mut self, now: Time, out: &mut Vec<Action>) {
        let may_read = self.reads.available(now) > 0;
        if self.catch_up_turn.due(now) && self.users.wants_read() && may_read {
            if let Some(since) = self.mirror.revision() {
                self.users.reading();
                self.reads.take(1);
                self.catch_up_turn.sent(now, 0);
                let op = StoreOp::Watch(OPEN.to_owned(), since, 0);
                store(out, StoreTag::CatchUpOpenJobs, op);
            }
        }
        while self.reads.available(now) > 0 {
            let Some(id) = self.to_learn.pop_front() else {
                break;
            };
            self.reads.take(1);
            store(
                out,
                StoreTag::LookUpFinalState(id),
                StoreOp::Get(final_key(id)),
            );
        }
        if let Some(number) = self.accept_copies.repeat(now) {
            let txn = &self.accept_under_way;
            self.lanes.user_writes.take(txn.changes.len());
            out.push(second_copy(StoreTag::AcceptSubmissions(number), txn));
        }
        if self.accept_turn.due(now) && self.users.wants_accept() {
            let limits = &self.settings.facts.state;
            let most = self.lanes.user_writes.available(now).min(limits.txn_ops);
            let (me, count) = (self.membership.me(), &mut self.intake_pages);
            let name = self.membership.lease().map(|lease| {
                move || {
                    *count += 1;
                    intake_key(me, lease, *count)
                }
            });
            let txn = self.users.accept_txn(most, limits, name);
            if let Some(txn) = txn {
                self.lanes.user_writes.take(txn.changes.len());
                self.accept_turn.sent(now, 0);
                let number = self.accept_copies.begin(now);
                self.accept_under_way = txn.clone();
                store(out, StoreTag::AcceptSubmissions(number), StoreOp::Txn(txn));
            }
        }
    }

    /// Whether the state service has been silent so long that asking it would only cost time.
    pub(super) fn store_silent(&self, now: Time) -> bool {
        now.since(self.store_heard) > STORE_SILENT_MS
    }

    pub(super) fn ask(
        &mut self,
        now: Now,
        request: RequestId,
        id: &str,
        question: Question,
        out: &mut Vec<Action>,
    ) {
        let reply = match id.parse::<JobId>() {
            Err(_) => Reply::error(404, "no such job"),
            Ok(id) => {
                let ask = Ask {
                    request,
                    id,
                    question,
                    taken_in: false,
                };
                match self.mirror.final_state(id) {
                    Some(state) => settled(&ask, state),
                    None => match self.queue(now.steady, ask) {
                        Ok(()) => return,
                        Err(reply) => reply,
                    },
                }
            }
        };
        out.push(Action::Respond(request, reply));
    }

    /// Whether another request would be one too many; told of in the log when it begins.
    fn users_are_full(&mut self) -> bool {
        let full = self.users.full();
        if full && !self.users_full {
            let most = self.capacity.user_requests;
            tracing::warn!(
                most,
                "too many requests wait for the state service: refused at once"
            );
        }
        self.users_full = full;
        full
    }

    fn queue(&mut self, now: Time, ask: Ask) -> Result<(), Reply> {
        if !self.mirror.loaded() {
            return Err(Reply::later("starting"));
        }
        if self.store_silent(now) {
            return Err(Reply::later("the state service does not answer"));
        }
        if self.users_are_full() {
            return Err(Reply::later("too many requests wait"));
        }
        self.users.wait(ask);
        Ok(())
    }

    pub(super) fn submit(
        &mut self,
        now: Now,
        request: RequestId,
        body: &[u8],
        out: &mut Vec<Action>,
    ) {
        let most = (self.settings.facts.state.value_kb * 1_024.0) as usize;
        let checked = parse(body).and_then(|spec| {
            let id = Some(spec.id);
            let kept = serde_json::to_string(&spec).map_or(usize::MAX, |text| text.len());
            if kept.saturating_add(JOB_FRAME_BYTES) > most {
                let text = "longer than the state service keeps".to_owned();
                return Err((id, Refusal::Malformed(text)));
            }
            match &self.catalog {
                None => Ok(None),
                Some(catalog) => check_possible(&spec, catalog, &self.quota)
                    .map(|()| Some(spec))
                    .map_err(|refusal| (id, refusal)),
            }
        });
        let reply = match checked {
            Ok(None) => Reply::later("machine types not known yet"),
            Ok(Some(spec)) => {
                let id = spec.id;
                let known = self.mirror.get(id).is_some() || self.mirror.taken_in(id);
                let job = Box::new(Job {
                    spec,
                    accepted_ms: now.wall_ms,
                });
                let is_service = job.is_service();
                let ask = Ask {
                    request,
                    id,
                    question: Question::Submit(job),
                    taken_in: false,
                };
                if let Some(state) = self.mirror.final_state(id) {
                    settled(&ask, state)
                } else if known {
                    match self.queue(now.steady, ask) {
                        Ok(()) => return,
                        Err(reply) => reply,
                    }
                } else if is_service && !self.membership.accepts_services() {
                    // A controller that does not understand it would call it unknown.
                    Reply::later("controllers that do not know services may be left")
                } else if !self.mirror.loaded() || self.store_silent(now.steady) {
                    Reply::later("the state service does not answer")
                } else if self.users_are_full() {
                    Reply::later("too many requests wait")
                } else {
                    if let Question::Submit(job) = ask.question {
                        self.users.accept(now.steady, request, job);
                    }
                    return;
                }
            }
            Err((None, refusal)) => Reply::refusal(&refusal),
            Err((Some(id), refusal)) => {
                let ask = Ask {
                    request,
                    id,
                    question: Question::Unacceptable(refusal),
                    taken_in: false,
                };
                match self.queue(now.steady, ask) {
                    Ok(()) => return,
                    Err(reply) => reply,
                }
            }
        };
        out.push(Action::Respond(request, reply));
    }

    pub(super) fn step(&mut self, now: Time, step: Step, out: &mut Vec<Action>) {
        match step {
            Step::Respond(request, reply) => out.push(Action::Respond(request, reply)),
            // Whoever comes first while the share lasts would always find it used up by the same
            // others: what had to be put off is read in its turn, and the next question finds it.
            Step::LookUpFinal(ask)
                if !self.to_learn.is_empty() || self.reads.available(now) == 0 =>
            {
                if self.to_learn.len() < FINALS_KEPT && self.learning.insert(ask.id) {
                    self.to_learn.push_back(ask.id);
                }
                let reply = Reply::later("too many questions at once");
                out.push(Action::Respond(ask.request, reply));
            }
            Step::LookUpFinal(ask) => {
                self.reads.take(1);
                let op = StoreOp::Get(final_key(ask.id));
                store(out, StoreTag::ReadFinalState(ask), op);
            }
            Step::Cancel(ask, txn) => self.write_withdrawal(ask, txn, out),
            Step::ResolveAgain(ask) => self.users.wait(ask),
            Step::Accept(request, job) => self.users.accept(now, request, job),
        }
    }

    fn resolve(&mut self, now: Time, asks: Vec<Ask>, out: &mut Vec<Action>) {
        for ask in asks {
            let step = resolve(ask, &self.mirror, &self.progress);
            self.step(now, step, out);
        }
    }

    pub(super) fn caught_up(
        &mut self,
        now: Time,
        sent: Time,
        reply: StoreReply,
        out: &mut Vec<Action>,
    ) {
        self.catch_up_turn.retry(now, 0);
        match reply {
            StoreReply::Changes(changes) if self.mirror.loaded() => {
                self.changed(now, sent, &changes);
                let asks = self.users.read();
                self.resolve(now, asks, out);
            }
            StoreReply::RevisionCompacted => self.reload_mirror(out),
            _ => {
                for ask in self.users.read() {
                    let reply = Reply::later("the state service does not answer");
                    out.push(Action::Respond(ask.request, reply));
                }
            }
        }
    }

    pub(super) fn accept_answer(
        &mut self,
        number: u64,
        now: Time,
        reply: StoreReply,
        out: &mut Vec<Action>,
    ) {
        let clearly = matches!(
            reply,
            StoreReply::Committed(_) | StoreReply::Conflict(_) | StoreReply::TooLarge
        );
        if !self.accept_copies.settled(number, clearly) {
            return;
        }
        self.accept_turn.retry(now, 0);
        let jobs = self.users.accept_answered();
        match reply {
            // Nobody else writes this process's pages of jobs: an earlier copy was applied.
            StoreReply::Conflict(failed) if failed.iter().any(|key| is_intake(key)) => {
                accept_all(jobs, out);
            }
            StoreReply::Committed(_) => accept_all(jobs, out),
            StoreReply::Conflict(failed) => {
                for (_, request, job) in jobs {
                    let id = job.spec.id;
                    if failed.contains(&open_key(id)) || failed.contains(&final_key(id)) {
                        self.users.wait(Ask {
                            request,
                            id,
                            question: Question::Submit(job),
                            taken_in: false,
                        });
                    } else {
                        self.users.accept(now, request, job);
                    }
                }
            }
            StoreReply::TooLarge if jobs.len() > 1 => {
                self.accept_turn.retry(now, STORE_RETRY_MS);
                self.lower_limits();
                self.users.accept_again(jobs);
            }
            // Certainly not executed, most likely for the limit: there is time for another try.
            StoreReply::Refused if !self.store_silent(now) => {
                self.accept_turn.retry(now, STORE_RETRY_MS);
                self.users.accept_again(jobs);
            }
            _ => {
                for (_, request, _) in jobs {
                    out.push(Action::Respond(request, Reply::later("not accepted yet")));
                }
                for request in self.users.refuse_all() {
                    let reply = Reply::later("the state service does not answer");
                    out.push(Action::Respond(request, reply));
                }
            }
        }
    }

    pub(super) fn report(&mut self, now: Time, body: &[u8]) -> Reply {
        let report: Report = match serde_json::from_slice(body).map_err(|e| e.to_string()) {
            Ok(report) if is_name(&report) => report,
            odd => {
                let error = odd
                    .err()
                    .unwrap_or_else(|| "not a machine's name".to_owned());
                if !std::mem::replace(&mut self.odd_report_logged, true) {
                    tracing::warn!(error, "odd report; further ones are not logged");
                }
                return Reply::error(400, &error);
            }
        };
        let names = self.membership.epoch().map(|epoch| epoch.owners());
        let names = names.unwrap_or_default();
        match (owner(&report.machine, &names), &self.catalog) {
            (Some(name), _) if name != self.membership.me() => Reply::json(
                421,
                &Redirect {
                    report_to: Some(name.clone()),
                },
            ),
            (Some(_), Some(catalog)) if self.membership.has_authority(now) => {
                let token = self.membership.token();
                match self.part.report(now, &report, token, catalog) {
                    ReportReply::Counted(commands) => {
                        Reply::json(200, &ReportAnswer { token, commands })
                    }
                    ReportReply::Stale => Reply::later("a newer message has come"),
                }
            }
            _ => Reply::later("not entitled to act now"),
        }
    }

    pub(super) fn cloud(&mut self, now: Time, request: &CloudRequest, reply: CloudReply) {
        match (request, reply) {
            (CloudRequest::ReadCatalog, CloudReply::Catalog(catalog)) => {
                self.catalog_turn.in_flight = false;
                self.warn_of_shortfalls(&catalog);
                self.catalog = Some(catalog);
            }
            (CloudRequest::ReadCatalog, _) => self.catalog_turn.retry(now, CATALOG_RETRY_MS),
            (CloudRequest::ListMachines, reply) => {
                self.list_turn.in_flight = false;
                if let (CloudReply::List(pages), Some(leader)) = (reply, &mut self.leader) {
                    leader.fleet.listed(now, &pages);
                    leader.scheduler.drain(leader.fleet.drains());
                }
            }
            (CloudRequest::Provision(request), reply) => {
                let Some(leader) = &mut self.leader else {
                    return;
                };
                match reply {
                    CloudReply::Machines(names) => {
                        leader.fleet.rented(now, &request.request, &names);
                        // One request may not have been enough.
                        self.fleet_turn.next = now;
                    }
                    CloudReply::NoCapacity => leader.fleet.rent_refused(now, &request.request),
                    _ => leader.fleet.rent_unanswered(&request.request),
                }
            }
            (CloudRequest::Release(names), reply) => {
                let Some(leader) = &mut self.leader else {
                    return;
                };
                let gone = matches!(reply, CloudReply::Machines(_)).then_some(names);
                leader.fleet.returned(now, gone);
                leader.scheduler.drain(leader.fleet.drains());
                if gone.is_some_and(|names| names.machines.len() >= RETURN_MOST) {
                    // More may be waiting to go back than one request takes.
                    self.fleet_turn.next = now;
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

fn accept_all(jobs: Vec<Submission>, out: &mut Vec<Action>) {
    for (_, request, job) in jobs {
        out.push(Action::Respond(request, accepted(job.spec.id)));
    }
}

/// Whether the machine's name may become part of a key of the state service.
fn is_name(report: &Report) -> bool {
    let name = &report.machine.0;
    let plain = |c: char| !c.is_whitespace() && !c.is_control() && c != '/';
    (1..=NAME_BYTES).contains(&name.len()) && name.chars().all(plain)
}
