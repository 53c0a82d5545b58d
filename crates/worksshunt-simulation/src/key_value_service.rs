//! The simulated key-value service: a store behind a network, with rate limits, transaction limits and faults.

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

/// Maximum number of conditions in a transaction, as a multiple of the maximum number of changes.
const MAX_CONDITIONS_PER_CHANGE: usize = 4;
/// Every n-th transaction is slow while the fault of slow writes is in effect.
const SLOW_WRITE_INTERVAL: u64 = 2;

/// Rate limits of the key-value store; requests beyond them are refused with status 429.
#[derive(Debug, Clone)]
pub struct KeyValueRates {
    /// Requests per second.
    pub requests: TokenBucket,
    /// Keys changed by transactions, per second.
    pub changes: TokenBucket,
}

/// A pending watch request.
struct Watch {
    caller: KeyValueCaller,
    prefix: String,
    since: Revision,
    /// When the watch returns without changes, ms.
    wait_ends_at: u64,
}

/// The key-value store and its pending requests.
#[derive(Default)]
pub(crate) struct KeyValueService {
    pub(crate) store: Store,
    /// Whether the service was down at the last check.
    was_down: bool,
    watches: Vec<Watch>,
    /// Transactions that are held back until released.
    held_writes: Vec<KvRequest>,
    /// Counts the transactions of which every n-th is slow.
    slow_write_candidates: u64,
}

impl Cluster {
    pub(crate) fn key_value_request_arrives(&mut self, caller: KeyValueCaller, request: KvRequest) {
        self.renew_leases_after_outage();
        self.usage.key_value_requests += 1;
        if let KvRequest::CompareAndSwap(write) = &request {
            self.usage.count_write(write);
        }
        if self.is_slow_write(&caller, &request) {
            let due_at = self.now + self.faults.key_value.slow_writes_ms;
            let arrival = SimulationEvent::KeyValueRequestArrives { caller, request };
            self.schedule_at(due_at, arrival);
            return;
        }
        let controller = caller.instance.index;
        let is_write = matches!(request, KvRequest::CompareAndSwap(_));
        if is_write && self.faults.key_value.writes_held_from.contains(&controller) {
            self.key_value.held_writes.push(request);
            let deadline_at = self.now + KV_REQUEST_TIMEOUT_MS;
            self.respond_to_key_value_request(deadline_at, caller, KvResponse::OutcomeUnknown);
            return;
        }
        let is_unreachable = self.faults.key_value.unreachable_from.contains(&controller);
        if is_unreachable || self.is_in_partitioned_zone(controller) {
            self.leave_unanswered(caller);
            return;
        }
        let is_refused = self
            .faults
            .key_value
            .refused_controllers
            .contains(&controller);
        if is_refused {
            self.record_effect("refused");
        } else if self.schedule_delayed_write(&request) {
            self.leave_unanswered(caller);
            return;
        }
        self.serve_key_value_request(caller, request, is_refused);
    }

    /// Returns whether a transaction is applied with a delay that is shorter than its caller's timeout.
    fn is_slow_write(&mut self, caller: &KeyValueCaller, request: &KvRequest) -> bool {
        let slow_ms = self.faults.key_value.slow_writes_ms;
        let can_be_slow = slow_ms > 0
            && matches!(request, KvRequest::CompareAndSwap(_))
            && self.now + slow_ms < caller.deadline_at;
        if can_be_slow {
            self.key_value.slow_write_candidates += 1;
        }
        can_be_slow
            && self
                .key_value
                .slow_write_candidates
                .is_multiple_of(SLOW_WRITE_INTERVAL)
    }

    /// Decides whether a transaction gets no response and is applied later. Schedules it in that case, and returns
    /// true.
    fn schedule_delayed_write(&mut self, request: &KvRequest) -> bool {
        let (KvRequest::CompareAndSwap(write), Some(delayed)) =
            (request, self.faults.key_value.delayed_writes)
        else {
            return false;
        };
        if !delayed.applies_to(write)
            || self.faults.key_value.is_down
            || self.rng.f64() >= delayed.share
        {
            return false;
        }
        self.record_effect("write delayed");
        let delay_ms = delayed.delay.draw(&mut self.rng);
        let arrival = SimulationEvent::DelayedWriteArrives(write.clone());
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
            if self.faults.key_value.is_down || is_refused || !self.key_value_rate_allows(&request)
            {
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
                self.too_large_writes += 1;
                KvResponse::TooLarge
            } else if self.is_dropped(&request) {
                self.record_effect("write dropped");
                KvResponse::Committed(Revision(self.revision()))
            } else {
                self.key_value.store.apply(self.now, &request)
            };
        let arrives_at = self.arrival_time(Link::Other) + self.faults.key_value.slow_responses_ms;
        if arrives_at > caller.deadline_at {
            // The response would arrive after the caller's deadline.
            self.leave_unanswered(caller);
        } else {
            self.respond_to_key_value_request(arrives_at, caller, response);
        }
        self.wake_watches();
    }

    /// Returns whether a transaction is acknowledged as committed without being applied.
    fn is_dropped(&self, request: &KvRequest) -> bool {
        match (request, self.faults.key_value.dropped_write_prefix) {
            (KvRequest::CompareAndSwap(write), Some(prefix)) => changes_key(write, prefix),
            _ => false,
        }
    }

    fn is_too_large(&self, request: &KvRequest) -> bool {
        match (request, self.faults.key_value.limits) {
            (KvRequest::CompareAndSwap(write), Some(limits)) => exceeds_limits(write, limits),
            _ => false,
        }
    }

    /// Leaves a request without a response: its caller is notified at the deadline.
    fn leave_unanswered(&mut self, caller: KeyValueCaller) {
        let deadline_at = caller.deadline_at;
        self.respond_to_key_value_request(deadline_at, caller, KvResponse::OutcomeUnknown);
    }

    fn respond_to_key_value_request(
        &mut self,
        arrives_at: u64,
        caller: KeyValueCaller,
        response: KvResponse,
    ) {
        let event = Event::KeyValueResponse {
            purpose: caller.purpose,
            sent_at: caller.sent_at,
            response,
        };
        self.deliver_at(arrives_at, caller.instance, event);
    }

    /// Returns whether the rate limits admit a request, and takes the tokens if they do.
    fn key_value_rate_allows(&mut self, request: &KvRequest) -> bool {
        let Some(KeyValueRates { requests, changes }) = &mut self.key_value_rates else {
            return true;
        };
        let now = Time(self.now);
        let changed_keys = match request {
            KvRequest::CompareAndSwap(write) => write.changes.len(),
            _ => 0,
        };
        let is_admitted = requests.available(now) >= 1 && changes.available(now) >= changed_keys;
        if is_admitted {
            requests.take(1);
            changes.take(changed_keys);
        } else {
            self.usage.refused_requests += 1;
        }
        is_admitted
    }

    /// Responds to the watches that have changes or have reached their wait time.
    pub(crate) fn wake_watches(&mut self) {
        for watch in std::mem::take(&mut self.key_value.watches) {
            let store = &self.key_value.store;
            let changes = store.changes(&watch.prefix, watch.since);
            let is_due = !changes.events.is_empty() || self.now >= watch.wait_ends_at;
            let response = if is_due && self.watch_responses_reach(watch.caller.instance.index) {
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
            self.respond_to_key_value_request(arrives_at, watch.caller, response);
        }
    }

    /// Returns whether responses to watches reach a controller.
    fn watch_responses_reach(&self, controller: usize) -> bool {
        let faults = &self.faults;
        !faults.key_value.is_down
            && !faults.key_value.refused_controllers.contains(&controller)
            && !faults.key_value.unreachable_from.contains(&controller)
            && !faults.key_value.unanswered_watches_of.contains(&controller)
            && !self.is_in_partitioned_zone(controller)
    }

    pub(crate) fn renew_leases_after_outage(&mut self) {
        if self.key_value.was_down && !self.faults.key_value.is_down {
            self.key_value.store.renew_all_leases(self.now);
        }
        self.key_value.was_down = self.faults.key_value.is_down;
    }

    pub(crate) fn delayed_write_arrives(&mut self, write: CompareAndSwap) {
        self.record_effect("delayed write applied");
        self.write_to_store(write);
    }

    /// Applies a transaction for which no controller awaits a response.
    pub(crate) fn write_to_store(&mut self, write: CompareAndSwap) {
        let request = KvRequest::CompareAndSwap(write);
        self.key_value.store.apply(self.now, &request);
        self.wake_watches();
    }

    /// Applies the held-back transactions and returns their responses.
    pub fn release_writes(&mut self) -> Vec<KvResponse> {
        let held_writes = std::mem::take(&mut self.key_value.held_writes);
        let now = self.now;
        let responses = held_writes
            .iter()
            .map(|request| self.key_value.store.apply(now, request))
            .collect();
        self.wake_watches();
        responses
    }
}

/// Returns whether a transaction exceeds the store's limits.
fn exceeds_limits(write: &CompareAndSwap, limits: KeyValueLimits) -> bool {
    let value_bytes = |change: &Change| match change {
        Change::Put { value, .. } => value.to_string().len(),
        Change::Delete { .. } => 0,
    };
    let is_value_too_large = |change: &Change| value_bytes(change) > limits.value_bytes;
    write.changes.len() > limits.changes
        || write.expected.len() > limits.changes * MAX_CONDITIONS_PER_CHANGE
        || write.changes.iter().any(is_value_too_large)
}
