//! The state service of the cluster.

use std::collections::BTreeMap;

use serde_json::Value;
use worksshunt_core::constants::STORE_DEADLINE_MS;
use worksshunt_core::controller::{Event, StoreOp, StoreReply, StoreTag};
use worksshunt_core::time::Time;
use worksshunt_wire::state::{Change, Changes, Listing, Pair, Txn, WatchEvent};
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
            *until = now + worksshunt_core::constants::LEASE_TTL_MS;
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

    pub(super) fn transact(&mut self, txn: &Txn) -> StoreReply {
        let failed: Vec<String> = txn
            .conditions
            .iter()
            .filter(|c| self.version(&c.key) != c.version)
            .map(|c| c.key.clone())
            .collect();
        let orphan = txn.changes.iter().any(
            |c| matches!(c, Change::Put { lease: Some(h), .. } if !self.leases.contains_key(h)),
        );
        if orphan {
            return StoreReply::NoSuchLease;
        }
        if !failed.is_empty() {
            return StoreReply::Conflict(failed);
        }
        self.revision += 1;
        for change in &txn.changes {
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
        StoreReply::Committed(Revision(self.revision))
    }

    pub(super) fn changes(&self, prefix: &str, since: Revision) -> Changes {
        let of_prefix = |event: &WatchEvent| match event {
            WatchEvent::Put { key, .. } | WatchEvent::Delete { key, .. } => key.starts_with(prefix),
        };
        let first = self.log.partition_point(|(at, _)| *at <= since.0);
        let events = self.log[first..].iter().map(|(_, event)| event);
        Changes {
            revision: Revision(self.revision),
            events: events.filter(|event| of_prefix(event)).cloned().collect(),
        }
    }

    /// The revision of the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Carries out a request. A watch is answered at once.
    pub fn apply(&mut self, now: u64, op: &StoreOp) -> StoreReply {
        self.expire(now);
        match op {
            StoreOp::GrantLease => {
                self.last_lease += 1;
                let ttl = worksshunt_core::constants::LEASE_TTL_MS;
                self.leases.insert(self.last_lease, now + ttl);
                StoreReply::LeaseGranted(self.last_lease)
            }
            StoreOp::RenewLease(lease) => match self.leases.get_mut(lease) {
                Some(until) => {
                    *until = now + worksshunt_core::constants::LEASE_TTL_MS;
                    StoreReply::LeaseRenewed
                }
                None => StoreReply::NoSuchLease,
            },
            StoreOp::Get(key) => match self.keys.get(key) {
                Some((value, version, _)) => StoreReply::Found(Pair {
                    key: key.clone(),
                    value: value.clone(),
                    version: *version,
                }),
                None => StoreReply::Missing,
            },
            StoreOp::List(prefix) => StoreReply::Listing(Listing {
                pairs: self
                    .keys
                    .iter()
                    .filter(|(key, _)| key.starts_with(prefix))
                    .map(|(key, (value, version, _))| Pair {
                        key: key.clone(),
                        value: value.clone(),
                        version: *version,
                    })
                    .collect(),
                more: false,
                revision: Revision(self.revision),
            }),
            StoreOp::Txn(txn) => self.transact(txn),
            StoreOp::Watch(prefix, since, _) => StoreReply::Changes(self.changes(prefix, *since)),
        }
    }
}

pub(super) fn too_large(txn: &Txn, bytes: usize, changes: usize) -> bool {
    let value = |change: &Change| match change {
        Change::Put { value, .. } => value.to_string().len(),
        Change::Delete { .. } => 0,
    };
    txn.changes.len() > changes
        || txn.conditions.len() > changes * 4
        || txn.changes.iter().any(|change| value(change) > bytes)
}

impl Cluster {
    pub(super) fn store_request(
        &mut self,
        node: usize,
        life: u64,
        tag: StoreTag,
        op: StoreOp,
        sent: Time,
        until: u64,
    ) {
        self.after_outage();
        self.meter.requests += 1;
        if let StoreOp::Txn(txn) = &op {
            self.meter.txn(txn);
        }
        let slow_ms = self.trouble.slow_txns_ms;
        if slow_ms > 0 && matches!(op, StoreOp::Txn(_)) && self.now + slow_ms < until {
            self.txns += 1;
            if self.txns.is_multiple_of(2) {
                let late = Happening::Store(node, life, tag, op, sent, until);
                self.at(self.now + slow_ms, late);
                return;
            }
        }
        if self.trouble.hold_txns.contains(&node) && matches!(op, StoreOp::Txn(_)) {
            self.held_txns.push(op);
            let event = Box::new(Event::KeyValueResponse(tag, sent, StoreReply::NoAnswer));
            let when = self.now + STORE_DEADLINE_MS;
            self.at(when, Happening::Dispatch(node, life, event));
            return;
        }
        if self.trouble.cut_from_state.contains(&node) || self.node_in_cut_zone(node) {
            let event = Box::new(Event::KeyValueResponse(tag, sent, StoreReply::NoAnswer));
            self.at(until, Happening::Dispatch(node, life, event));
            return;
        }
        let refused = self.trouble.refused.contains(&node);
        if refused {
            self.effect("refused");
        }
        let late = self.trouble.late_writes.filter(|_| !refused);
        if let (StoreOp::Txn(txn), Some(late), false) = (&op, late, self.trouble.state_down) {
            if self.rng.f64() < late.share {
                let after_ms = self.rng.u64(late.after_ms.0..=late.after_ms.1);
                self.at(self.now + after_ms, Happening::LateTxn(txn.clone()));
                let event = Box::new(Event::KeyValueResponse(tag, sent, StoreReply::NoAnswer));
                self.at(until, Happening::Dispatch(node, life, event));
                return;
            }
        }
        let reply = if self.trouble.state_down || refused || !self.state_admits(&op) {
            StoreReply::Refused
        } else {
            if let StoreOp::Watch(prefix, since, wait_ms) = &op {
                if *wait_ms > 0 {
                    self.watches.push(Watch {
                        node,
                        life,
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
            match (&op, self.trouble.state_limits) {
                (StoreOp::Txn(txn), Some((bytes, changes))) if too_large(txn, bytes, changes) => {
                    self.too_large += 1;
                    StoreReply::TooLarge
                }
                _ => self.store.apply(self.now, &op),
            }
        };
        // What is answered after its sender has given up on it is as good as not answered.
        let when = self.arrival(Link::Other) + self.trouble.state_slow_ms;
        let reply = if when > until {
            StoreReply::NoAnswer
        } else {
            reply
        };
        let event = Box::new(Event::KeyValueResponse(tag, sent, reply));
        self.at(when.min(until), Happening::Dispatch(node, life, event));
        self.wake_watches();
    }

    /// Whether the state service's rates admit a request; otherwise it answers 429.
    fn state_admits(&mut self, op: &StoreOp) -> bool {
        let Some((requests, changes)) = &mut self.state_rates else {
            return true;
        };
        let now = Time(self.now);
        let changed = match op {
            StoreOp::Txn(txn) => txn.changes.len(),
            _ => 0,
        };
        let admitted = requests.available(now) >= 1 && changes.available(now) >= changed;
        if admitted {
            requests.take(1);
            changes.take(changed);
        } else {
            self.meter.refused += 1;
        }
        admitted
    }

    pub(super) fn wake_watches(&mut self) {
        let watches = std::mem::take(&mut self.watches);
        for watch in watches {
            let node = watch.node;
            let waits = self.trouble.state_down
                || self.trouble.refused.contains(&node)
                || self.trouble.cut_from_state.contains(&node)
                || self.trouble.watchless.contains(&node)
                || self.node_in_cut_zone(node);
            let changes = self.store.changes(&watch.prefix, watch.since);
            let answer = !waits && (!changes.events.is_empty() || self.now >= watch.ends);
            let reply = match answer {
                true => StoreReply::Changes(changes),
                false if self.now >= watch.until => {
                    self.effect("unanswered watch");
                    StoreReply::NoAnswer
                }
                false => {
                    self.watches.push(watch);
                    continue;
                }
            };
            let event = Box::new(Event::KeyValueResponse(watch.tag, watch.sent, reply));
            let when = self.arrival(Link::Other) + self.trouble.state_slow_ms;
            self.at(when, Happening::Dispatch(node, watch.life, event));
        }
    }
}
