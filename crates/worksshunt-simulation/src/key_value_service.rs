//! The key-value store as controllers reach it: over a network, with rates, limits and faults.

use worksshunt_core::constants::key_value::KV_REQUEST_TIMEOUT_MS;
use worksshunt_core::controller::{Event, KvRequest, KvResponse};
use worksshunt_core::time::{Time, TokenBucket};
use worksshunt_wire::key_value::{Change, CompareAndSwap};
use worksshunt_wire::Revision;

use crate::events::{KeyValueCaller, SimulationEvent};
use crate::faults::{changes_key, KeyValueLimits};
use crate::key_value_store::Store;
use crate::links::Link;
use crate::Cluster;

/// The key-value store takes so many conditions in a transaction for each change that it takes.
const CONDITIONS_PER_CHANGE: usize = 4;
/// One of so many transactions is slow while transactions are.
const SLOW_WRITE_EVERY: u64 = 2;

/// What the key-value store admits; it answers 429 to more.
#[derive(Debug, Clone)]
pub struct KeyValueRates {
    /// Requests.
    pub requests: TokenBucket,
    /// Keys changed by transactions.
    pub changes: TokenBucket,
}

/// A watch that waits for changes.
struct Watch {
    caller: KeyValueCaller,
    prefix: String,
    since: Revision,
    /// When it is answered although nothing has changed, ms.
    wait_ends_at: u64,
}

/// The key-value store and the requests that it has not answered.
#[derive(Default)]
pub(crate) struct KeyValueService {
    pub(crate) store: Store,
    /// Whether it was down when last inspected.
    was_down: bool,
    watches: Vec<Watch>,
    /// Transactions held back until released.
    held_writes: Vec<KvRequest>,
    /// Transactions that could have been slow.
    write_count: u64,
}

impl Cluster {
    pub(crate) fn key_value_request(&mut self, caller: KeyValueCaller, request: KvRequest) {
        self.renew_leases_after_outage();
        self.usage.requests += 1;
        if let KvRequest::CompareAndSwap(write) = &request {
            self.usage.write(write);
        }
        if self.is_slow_write(&caller, &request) {
            let due_at = self.now + self.faults.key_value.slow_writes_ms;
            let arrival = SimulationEvent::KeyValueRequestArrives { caller, request };
            self.schedule_at(due_at, arrival);
            return;
        }
        let controller = caller.run.index;
        let is_write = matches!(request, KvRequest::CompareAndSwap(_));
        if is_write && self.faults.key_value.hold_writes.contains(&controller) {
            self.key_value.held_writes.push(request);
            let gives_up_at = self.now + KV_REQUEST_TIMEOUT_MS;
            self.answer_key_value(gives_up_at, caller, KvResponse::OutcomeUnknown);
            return;
        }
        let is_cut = self.faults.key_value.unreachable_from.contains(&controller);
        if is_cut || self.is_in_partitioned_zone(controller) {
            self.leave_unanswered(caller);
            return;
        }
        let is_refused = self.faults.key_value.refuses.contains(&controller);
        if is_refused {
            self.record_effect("refused");
        } else if self.is_late_write(&request) {
            self.leave_unanswered(caller);
            return;
        }
        self.serve_key_value_request(caller, request, is_refused);
    }

    /// Whether a transaction is carried out later than it arrives, but in time for its caller.
    fn is_slow_write(&mut self, caller: &KeyValueCaller, request: &KvRequest) -> bool {
        let slow_ms = self.faults.key_value.slow_writes_ms;
        let can_be_slow = slow_ms > 0
            && matches!(request, KvRequest::CompareAndSwap(_))
            && self.now + slow_ms < caller.deadline_at;
        if can_be_slow {
            self.key_value.write_count += 1;
        }
        can_be_slow && self.key_value.write_count.is_multiple_of(SLOW_WRITE_EVERY)
    }

    /// Whether a transaction gets no response and is carried out late. Schedules it in that case.
    fn is_late_write(&mut self, request: &KvRequest) -> bool {
        let (KvRequest::CompareAndSwap(write), Some(late)) =
            (request, self.faults.key_value.late_writes)
        else {
            return false;
        };
        if !late.applies_to(write) || self.faults.key_value.down || self.rng.f64() >= late.share {
            return false;
        }
        self.record_effect("write put off");
        let delay_ms = self.rng.u64(late.delay.min_ms..=late.delay.max_ms);
        let arrival = SimulationEvent::LateWriteArrives(write.clone());
        self.schedule_at(self.now + delay_ms, arrival);
        true
    }

    fn serve_key_value_request(
        &mut self,
        caller: KeyValueCaller,
        request: KvRequest,
        is_refused: bool,
    ) {
        let response =
            if self.faults.key_value.down || is_refused || !self.key_value_rate_allows(&request) {
                KvResponse::Refused
            } else if let KvRequest::Watch {
                prefix,
                since,
                wait_ms: wait_ms @ 1..,
            } = request
            {
                self.key_value.watches.push(Watch {
                    caller,
                    prefix,
                    since,
                    wait_ends_at: self.now + wait_ms,
                });
                self.wake_watches();
                return;
            } else if self.is_too_large(&request) {
                self.too_large += 1;
                KvResponse::TooLarge
            } else if self.is_forgotten(&request) {
                self.record_effect("write forgotten");
                KvResponse::Committed(Revision(self.revision()))
            } else {
                self.key_value.store.apply(self.now, &request)
            };
        let arrives_at = self.arrival_time(Link::Other) + self.faults.key_value.slow_responses_ms;
        if arrives_at > caller.deadline_at {
            // The caller has given up on it by then.
            self.leave_unanswered(caller);
        } else {
            self.answer_key_value(arrives_at, caller, response);
        }
        self.wake_watches();
    }

    /// Whether a transaction is answered as committed and not applied.
    fn is_forgotten(&self, request: &KvRequest) -> bool {
        match (request, self.faults.key_value.forgets) {
            (KvRequest::CompareAndSwap(write), Some(prefix)) => changes_key(write, prefix),
            _ => false,
        }
    }

    fn is_too_large(&self, request: &KvRequest) -> bool {
        match (request, self.faults.key_value.limits) {
            (KvRequest::CompareAndSwap(write), Some(limits)) => exceeds(write, limits),
            _ => false,
        }
    }

    /// The caller gives up on its request at its deadline.
    fn leave_unanswered(&mut self, caller: KeyValueCaller) {
        let deadline_at = caller.deadline_at;
        self.answer_key_value(deadline_at, caller, KvResponse::OutcomeUnknown);
    }

    fn answer_key_value(&mut self, at: u64, caller: KeyValueCaller, response: KvResponse) {
        let event = Event::KeyValueResponse {
            purpose: caller.purpose,
            sent_at: caller.sent_at,
            response,
        };
        self.deliver_at(at, caller.run, event);
    }

    /// Whether the key-value store's rates admit a request; otherwise it answers 429.
    fn key_value_rate_allows(&mut self, request: &KvRequest) -> bool {
        let Some(KeyValueRates { requests, changes }) = &mut self.key_value_rates else {
            return true;
        };
        let now = Time(self.now);
        let changed = match request {
            KvRequest::CompareAndSwap(write) => write.changes.len(),
            _ => 0,
        };
        let is_admitted = requests.available(now) >= 1 && changes.available(now) >= changed;
        if is_admitted {
            requests.take(1);
            changes.take(changed);
        } else {
            self.usage.refused += 1;
        }
        is_admitted
    }

    /// Answers the watches that have changes or whose time is over.
    pub(crate) fn wake_watches(&mut self) {
        for watch in std::mem::take(&mut self.key_value.watches) {
            let store = &self.key_value.store;
            let changes = store.changes(&watch.prefix, watch.since);
            let is_due = !changes.events.is_empty() || self.now >= watch.wait_ends_at;
            let response = if is_due && self.watch_responses_reach(watch.caller.run.index) {
                KvResponse::WatchResponse(changes)
            } else if self.now >= watch.caller.deadline_at {
                self.record_effect("unanswered watch");
                KvResponse::OutcomeUnknown
            } else {
                self.key_value.watches.push(watch);
                continue;
            };
            let arrives_at =
                self.arrival_time(Link::Other) + self.faults.key_value.slow_responses_ms;
            self.answer_key_value(arrives_at, watch.caller, response);
        }
    }

    /// Whether a watch of a controller is answered.
    fn watch_responses_reach(&self, controller: usize) -> bool {
        let faults = &self.faults;
        !faults.key_value.down
            && !faults.key_value.refuses.contains(&controller)
            && !faults.key_value.unreachable_from.contains(&controller)
            && !faults.key_value.no_watch_responses.contains(&controller)
            && !self.is_in_partitioned_zone(controller)
    }

    pub(crate) fn renew_leases_after_outage(&mut self) {
        if self.key_value.was_down && !self.faults.key_value.down {
            self.key_value.store.renew_all_leases(self.now);
        }
        self.key_value.was_down = self.faults.key_value.down;
    }

    pub(crate) fn late_write_arrives(&mut self, write: CompareAndSwap) {
        self.record_effect("late write");
        self.write_to_store(write);
    }

    /// Applies a transaction that no controller waits for.
    pub(crate) fn write_to_store(&mut self, write: CompareAndSwap) {
        let request = KvRequest::CompareAndSwap(write);
        self.key_value.store.apply(self.now, &request);
        self.wake_watches();
    }

    /// The transactions held back are applied now, long after they were sent. Returns their responses.
    pub fn release_writes(&mut self) -> Vec<KvResponse> {
        let held = std::mem::take(&mut self.key_value.held_writes);
        let now = self.now;
        let responses = held
            .iter()
            .map(|request| self.key_value.store.apply(now, request))
            .collect();
        self.wake_watches();
        responses
    }
}

/// Whether a transaction is larger than the key-value store takes.
fn exceeds(write: &CompareAndSwap, limits: KeyValueLimits) -> bool {
    let value_bytes = |change: &Change| match change {
        Change::Put { value, .. } => value.to_string().len(),
        Change::Delete { .. } => 0,
    };
    let is_too_long = |change: &Change| value_bytes(change) > limits.value_bytes;
    write.changes.len() > limits.changes
        || write.expected.len() > limits.changes * CONDITIONS_PER_CHANGE
        || write.changes.iter().any(is_too_long)
}
