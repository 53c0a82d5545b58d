//! The state service of the cluster.

use std::collections::BTreeMap;

use serde_json::Value;
use worksshunt_core::constants::key_value::KV_DEADLINE_MS;
use worksshunt_core::controller::{Event, KvPurpose, KvRequest, KvResponse};
use worksshunt_core::time::Time;
use worksshunt_wire::key_value::{
    Change, CompareAndSwap, KeyValue, Listing, WatchEvent, WatchResponse,
};
use worksshunt_wire::Revision;

use super::*;

/// What the state service keeps.
#[derive(Debug, Clone, Default)]
pub struct Store {
    pub(super) keys: BTreeMap<String, (Value, Revision, Option<u64>)>,
    pub(super) revision: u64,
    pub(super) log: Vec<(u64, WatchEvent)>,
    pub(super) leases: BTreeMap<u64, u64>,
    pub(super) last_lease: u64,
}

impl Store {
    pub(super) fn expire(&mut self, now: u64) {
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, until)| now > **until)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in ended {
            self.leases.remove(&lease);
            let keys: Vec<String> = self
                .keys
                .iter()
                .filter(|(_, (_, _, h))| *h == Some(lease))
                .map(|(key, _)| key.clone())
                .collect();
            self.revision += 1;
            for key in keys {
                self.delete(&key);
            }
        }
    }

    /// After an outage every lease has its full time again.
    pub(super) fn renew_all(&mut self, now: u64) {
        for until in self.leases.values_mut() {
            *until = now + worksshunt_core::constants::leases::MEMBER_LEASE_TTL_MS;
        }
    }

    pub(super) fn delete(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            let event = WatchEvent::Delete {
                key: key.to_owned(),
                version: Revision(self.revision),
            };
            self.log.push((self.revision, event));
        }
    }

    pub(super) fn version(&self, key: &str) -> Revision {
        self.keys.get(key).map_or(Revision(0), |(_, v, _)| *v)
    }

    pub(super) fn transact(&mut self, write: &CompareAndSwap) -> KvResponse {
        let failed: Vec<String> = write
            .expected
            .iter()
            .filter(|c| self.version(&c.key) != c.version)
            .map(|c| c.key.clone())
            .collect();
        let orphan = write.changes.iter().any(
            |c| matches!(c, Change::Put { lease: Some(h), .. } if !self.leases.contains_key(h)),
        );
        if orphan {
            return KvResponse::NoSuchLease;
        }
        if !failed.is_empty() {
            return KvResponse::Conflict(failed);
        }
        self.revision += 1;
        for change in &write.changes {
            match change {
                Change::Put { key, value, lease } => {
                    let version = Revision(self.revision);
                    self.keys
                        .insert(key.clone(), (value.clone(), version, *lease));
                    let event = WatchEvent::Put {
                        key: key.clone(),
                        value: value.clone(),
                        version,
                    };
                    self.log.push((self.revision, event));
                }
                Change::Delete { key } => self.delete(key),
            }
        }
        KvResponse::Committed(Revision(self.revision))
    }

    pub(super) fn changes(&self, prefix: &str, since: Revision) -> WatchResponse {
        let of_prefix = |event: &WatchEvent| match event {
            WatchEvent::Put { key, .. } | WatchEvent::Delete { key, .. } => key.starts_with(prefix),
        };
        let first = self.log.partition_point(|(at, _)| *at <= since.0);
        let events = self.log[first..].iter().map(|(_, event)| event);
        WatchResponse {
            revision: Revision(self.revision),
            events: events.filter(|event| of_prefix(event)).cloned().collect(),
        }
    }

    /// The revision of the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Carries out a request. A watch is answered at once.
    pub fn apply(&mut self, now: u64, op: &KvRequest) -> KvResponse {
        self.expire(now);
        match op {
            KvRequest::GrantLease => {
                self.last_lease += 1;
                let ttl = worksshunt_core::constants::leases::MEMBER_LEASE_TTL_MS;
                self.leases.insert(self.last_lease, now + ttl);
                KvResponse::LeaseGranted(self.last_lease)
            }
            KvRequest::RenewLease(lease) => match self.leases.get_mut(lease) {
                Some(until) => {
                    *until = now + worksshunt_core::constants::leases::MEMBER_LEASE_TTL_MS;
                    KvResponse::LeaseRenewed
                }
                None => KvResponse::NoSuchLease,
            },
            KvRequest::Get(key) => match self.keys.get(key) {
                Some((value, version, _)) => KvResponse::Found(KeyValue {
                    key: key.clone(),
                    value: value.clone(),
                    version: *version,
                }),
                None => KvResponse::Missing,
            },
            KvRequest::List(prefix) => KvResponse::Listing(Listing {
                pairs: self
                    .keys
                    .iter()
                    .filter(|(key, _)| key.starts_with(prefix))
                    .map(|(key, (value, version, _))| KeyValue {
                        key: key.clone(),
                        value: value.clone(),
                        version: *version,
                    })
                    .collect(),
                more: false,
                revision: Revision(self.revision),
            }),
            KvRequest::CompareAndSwap(write) => self.transact(write),
            KvRequest::Watch(prefix, since, _) => {
                KvResponse::WatchResponse(self.changes(prefix, *since))
            }
        }
    }
}

pub(super) fn too_large(write: &CompareAndSwap, bytes: usize, changes: usize) -> bool {
    let value = |change: &Change| match change {
        Change::Put { value, .. } => value.to_string().len(),
        Change::Delete { .. } => 0,
    };
    write.changes.len() > changes
        || write.expected.len() > changes * 4
        || write.changes.iter().any(|change| value(change) > bytes)
}

impl Cluster {
    pub(super) fn key_value_request(
        &mut self,
        node: usize,
        incarnation: u64,
        tag: KvPurpose,
        op: KvRequest,
        sent: Time,
        until: u64,
    ) {
        self.renew_leases_after_outage();
        self.usage.requests += 1;
        if let KvRequest::CompareAndSwap(write) = &op {
            self.usage.write(write);
        }
        let slow_ms = self.faults.slow_writes_ms;
        if slow_ms > 0 && matches!(op, KvRequest::CompareAndSwap(_)) && self.now + slow_ms < until {
            self.write_count += 1;
            if self.write_count.is_multiple_of(2) {
                let late = SimulationEvent::KeyValueRequestArrives(
                    node,
                    incarnation,
                    tag,
                    op,
                    sent,
                    until,
                );
                self.schedule_at(self.now + slow_ms, late);
                return;
            }
        }
        if self.faults.hold_writes.contains(&node) && matches!(op, KvRequest::CompareAndSwap(_)) {
            self.held_writes.push(op);
            let event = Box::new(Event::KeyValueResponse(tag, sent, KvResponse::NoAnswer));
            let when = self.now + KV_DEADLINE_MS;
            self.schedule_at(when, SimulationEvent::Dispatch(node, incarnation, event));
            return;
        }
        if self.faults.cut_from_key_value_store.contains(&node) || self.node_in_cut_zone(node) {
            let event = Box::new(Event::KeyValueResponse(tag, sent, KvResponse::NoAnswer));
            self.schedule_at(until, SimulationEvent::Dispatch(node, incarnation, event));
            return;
        }
        let refused = self.faults.refused_by_key_value_store.contains(&node);
        if refused {
            self.record_effect("refused");
        }
        let late = self.faults.late_writes.filter(|_| !refused);
        if let (KvRequest::CompareAndSwap(write), Some(late), false) =
            (&op, late, self.faults.key_value_store_down)
        {
            if self.rng.f64() < late.share {
                let after_ms = self.rng.u64(late.after_ms.0..=late.after_ms.1);
                self.schedule_at(
                    self.now + after_ms,
                    SimulationEvent::LateWriteArrives(write.clone()),
                );
                let event = Box::new(Event::KeyValueResponse(tag, sent, KvResponse::NoAnswer));
                self.schedule_at(until, SimulationEvent::Dispatch(node, incarnation, event));
                return;
            }
        }
        let reply =
            if self.faults.key_value_store_down || refused || !self.key_value_rate_allows(&op) {
                KvResponse::Refused
            } else {
                if let KvRequest::Watch(prefix, since, wait_ms) = &op {
                    if *wait_ms > 0 {
                        self.watches.push(Watch {
                            node,
                            incarnation,
                            tag,
                            prefix: prefix.clone(),
                            since: *since,
                            sent,
                            ends: self.now + wait_ms,
                            until,
                        });
                        self.wake_watches();
                        return;
                    }
                }
                match (&op, self.faults.key_value_limits) {
                    (KvRequest::CompareAndSwap(write), Some((bytes, changes)))
                        if too_large(write, bytes, changes) =>
                    {
                        self.too_large += 1;
                        KvResponse::TooLarge
                    }
                    _ => self.key_value_store.apply(self.now, &op),
                }
            };
        // What is answered after its sender has given up on it is as good as not answered.
        let when = self.arrival_time(Link::Other) + self.faults.key_value_store_slow_ms;
        let reply = if when > until {
            KvResponse::NoAnswer
        } else {
            reply
        };
        let event = Box::new(Event::KeyValueResponse(tag, sent, reply));
        self.schedule_at(
            when.min(until),
            SimulationEvent::Dispatch(node, incarnation, event),
        );
        self.wake_watches();
    }

    /// Whether the state service's rates admit a request; otherwise it answers 429.
    fn key_value_rate_allows(&mut self, op: &KvRequest) -> bool {
        let Some((requests, changes)) = &mut self.state_rates else {
            return true;
        };
        let now = Time(self.now);
        let changed = match op {
            KvRequest::CompareAndSwap(write) => write.changes.len(),
            _ => 0,
        };
        let admitted = requests.available(now) >= 1 && changes.available(now) >= changed;
        if admitted {
            requests.take(1);
            changes.take(changed);
        } else {
            self.usage.refused += 1;
        }
        admitted
    }

    pub(super) fn wake_watches(&mut self) {
        let watches = std::mem::take(&mut self.watches);
        for watch in watches {
            let node = watch.node;
            let waits = self.faults.key_value_store_down
                || self.faults.refused_by_key_value_store.contains(&node)
                || self.faults.cut_from_key_value_store.contains(&node)
                || self.faults.without_watch_responses.contains(&node)
                || self.node_in_cut_zone(node);
            let changes = self.key_value_store.changes(&watch.prefix, watch.since);
            let answer = !waits && (!changes.events.is_empty() || self.now >= watch.ends);
            let reply = match answer {
                true => KvResponse::WatchResponse(changes),
                false if self.now >= watch.until => {
                    self.record_effect("unanswered watch");
                    KvResponse::NoAnswer
                }
                false => {
                    self.watches.push(watch);
                    continue;
                }
            };
            let event = Box::new(Event::KeyValueResponse(watch.tag, watch.sent, reply));
            let when = self.arrival_time(Link::Other) + self.faults.key_value_store_slow_ms;
            self.schedule_at(
                when,
                SimulationEvent::Dispatch(node, watch.incarnation, event),
            );
        }
    }
}
