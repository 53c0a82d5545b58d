//! Stand-in of the state service: keys, transactions, leases and watches, with its limits.

use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use crate::http::{Handler, Request, Response};

/// Number of changes that watches can still read (protocol).
const KEPT_CHANGES: usize = 10_000;
const MAX_PAGE: usize = 1_000;

/// Limits of the settings.
pub struct Limits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
}

/// The connection of one node to the state service.
#[derive(Default)]
pub struct Link {
    /// Until then the node gets 503, and its watches wait.
    pub refused_until: Mutex<Option<Instant>>,
    /// Until then the node's requests are held back; they are carried out late, without an answer.
    pub cut_until: Mutex<Option<Instant>>,
    /// Share of the transactions without an answer, percent: some are carried out at once, some late.
    pub lost_percent: AtomicU64,
    /// Mean delay of answers, milliseconds.
    pub slow_ms: AtomicU64,
    draw: AtomicU64,
}

impl Link {
    /// Refuses the node's requests for a time.
    pub fn refuse(&self, time: Duration) {
        *self.refused_until.lock().expect("link") = Some(Instant::now() + time);
    }

    /// Cuts the node off from the state service and from the workers' reports for a time.
    pub fn cut(&self, time: Duration) {
        *self.cut_until.lock().expect("link") = Some(Instant::now() + time);
    }

    /// Whether the node is cut off.
    pub fn is_cut(&self) -> bool {
        Link::is_ahead(&self.cut_until)
    }

    fn is_ahead(until: &Mutex<Option<Instant>>) -> bool {
        until
            .lock()
            .expect("link")
            .is_some_and(|until| Instant::now() < until)
    }
}

struct Pair {
    value: Value,
    version: u64,
    lease: Option<u64>,
}

struct Lease {
    ttl: Duration,
    ends_at: Instant,
}

struct Bucket {
    rate: f64,
    tokens: f64,
    at: Instant,
}

impl Bucket {
    fn new(rate: f64) -> Bucket {
        Bucket {
            rate,
            tokens: rate,
            at: Instant::now(),
        }
    }

    /// Takes tokens if there are enough.
    fn take(&mut self, count: f64) -> bool {
        let now = Instant::now();
        let gained = now.duration_since(self.at).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + gained).min(self.rate);
        self.at = now;
        let is_allowed = self.tokens >= count;
        if is_allowed {
            self.tokens -= count;
        }
        is_allowed
    }
}

struct Data {
    revision: u64,
    pairs: BTreeMap<String, Pair>,
    changes: VecDeque<(u64, String, Value)>,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
    requests: Bucket,
    writes: Bucket,
}

/// The state service.
pub struct State {
    limits: Limits,
    data: Mutex<Data>,
    changed: Condvar,
}

impl State {
    /// An empty service. Leases end in a background thread.
    pub fn start(limits: Limits) -> Arc<State> {
        let data = Data {
            revision: 1,
            pairs: BTreeMap::new(),
            changes: VecDeque::new(),
            leases: BTreeMap::new(),
            last_lease: 0,
            requests: Bucket::new(limits.rps),
            writes: Bucket::new(limits.write_rps),
        };
        let state = Arc::new(State {
            limits,
            data: Mutex::new(data),
            changed: Condvar::new(),
        });
        let expiring = Arc::clone(&state);
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(20));
            expiring.end_leases();
        });
        state
    }

    /// Handler of one node's requests, with the troubles of its connection.
    pub fn handler(self: &Arc<State>, link: Arc<Link>) -> Handler {
        let state = Arc::clone(self);
        Arc::new(move |request| {
            if Link::is_ahead(&link.refused_until) {
                let is_watch = request.path == "/follow";
                while is_watch && Link::is_ahead(&link.refused_until) {
                    std::thread::sleep(Duration::from_millis(20));
                }
                return Some((503, json!({"error": "refused"})));
            }
            if link.is_cut() {
                while link.is_cut() {
                    std::thread::sleep(Duration::from_millis(20));
                }
                state.handle(&request);
                return None;
            }
            let is_transaction = request.path == "/txn";
            let draw = link.draw.fetch_add(7_919, Ordering::Relaxed) % 100;
            if is_transaction && draw < link.lost_percent.load(Ordering::Relaxed) {
                if draw % 2 == 1 {
                    std::thread::sleep(Duration::from_millis(2_000 + draw * 80));
                    state.handle(&request);
                } else {
                    state.handle(&request);
                    std::thread::sleep(Duration::from_millis(2_000));
                }
                return None;
            }
            let slow_ms = link.slow_ms.load(Ordering::Relaxed);
            std::thread::sleep(Duration::from_millis(slow_ms * (draw + 20) / 70));
            Some(state.handle(&request))
        })
    }

    /// The value of a key.
    pub fn value(&self, key: &str) -> Option<Value> {
        let data = self.data.lock().expect("state");
        data.pairs.get(key).map(|pair| pair.value.clone())
    }

    /// Carries out what production does when a user cancels an open job: its final state is stored without the job.
    pub fn cancel_as_production(&self, id: &str) -> bool {
        let (open, closed) = (format!("j/{id}"), format!("f/{id}"));
        let version = {
            let data = self.data.lock().expect("state");
            data.pairs.get(&open).map_or(0, |pair| pair.version)
        };
        let body = json!({
            "If": [{"K": open, "Sello": version}, {"K": closed, "Sello": 0}],
            "Then": [{"Set": closed, "V": {"state": "aborted"}}, {"Remove": open}],
        });
        let request = Request {
            method: "POST".to_owned(),
            path: "/txn".to_owned(),
            query: BTreeMap::new(),
            body: body.to_string().into_bytes(),
        };
        version > 0 && self.handle(&request).0 == 200
    }

    fn handle(&self, request: &Request) -> Response {
        if !self.data.lock().expect("state").requests.take(1.0) {
            return (429, json!({"error": "too many requests"}));
        }
        let path = request.path.trim_start_matches('/');
        let segments: Vec<&str> = path.split('/').collect();
        match (request.method.as_str(), segments.as_slice()) {
            ("GET", ["kv"]) => self.list(request),
            ("GET", ["kv", ..]) => self.get(&path["kv/".len()..]),
            ("POST", ["txn"]) => self.transact(request),
            ("POST", ["holds"]) => self.grant(&request.json()),
            ("POST", ["holds", id, "renew"]) => self.renew(id),
            ("DELETE", ["holds", id]) => self.revoke(id),
            ("GET", ["follow"]) => self.follow(request),
            _ => (400, json!({"error": "malformed"})),
        }
    }

    fn get(&self, key: &str) -> Response {
        let data = self.data.lock().expect("state");
        match data.pairs.get(key) {
            Some(pair) => (
                200,
                json!({"K": key, "V": pair.value, "Sello": pair.version, "Permiso": pair.lease}),
            ),
            None => (404, json!({"Corte": data.revision})),
        }
    }

    fn list(&self, request: &Request) -> Response {
        let prefix = request.query.get("Starts").cloned().unwrap_or_default();
        let since = request.query.get("Since").cloned().unwrap_or_default();
        let limit = request.number("Most").unwrap_or(200).min(MAX_PAGE as u64) as usize;
        let data = self.data.lock().expect("state");
        let mut found = data
            .pairs
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix) && **key > since);
        let items: Vec<Value> = found
            .by_ref()
            .take(limit)
            .map(|(key, pair)| json!({"K": key, "V": pair.value, "Sello": pair.version}))
            .collect();
        let more = found.next().is_some();
        (
            200,
            json!({"Pairs": items, "More": more, "Corte": data.revision}),
        )
    }

    fn transact(&self, request: &Request) -> Response {
        let body = request.json();
        let empty = Vec::new();
        let conditions = body["If"].as_array().unwrap_or(&empty);
        let changes = body["Then"].as_array().unwrap_or(&empty);
        let mut data = self.data.lock().expect("state");
        if !data.writes.take(changes.len() as f64) {
            return (429, json!({"error": "too many changes"}));
        }
        let is_too_large =
            |change: &Value| change["V"].to_string().len() as f64 > self.limits.value_kb * 1_024.0;
        if changes.len() > self.limits.txn_ops
            || conditions.len() > 4 * self.limits.txn_ops
            || request.body.len() > 64 * 1_024
            || changes
                .iter()
                .any(|change| is_too_large(change) && change.get("Set").is_some())
        {
            return (400, json!({"error": "too large"}));
        }
        let has_lease = |change: &Value| match change["Permiso"].as_u64() {
            Some(lease) => data.leases.contains_key(&lease),
            None => true,
        };
        if !changes.iter().all(has_lease) {
            return (400, json!({"error": "no such lease"}));
        }
        let version = |key: &str| data.pairs.get(key).map_or(0, |pair| pair.version);
        let failed: Vec<&str> = conditions
            .iter()
            .filter_map(|condition| {
                let key = condition["K"].as_str()?;
                (version(key) != condition["Sello"].as_u64()?).then_some(key)
            })
            .collect();
        if !failed.is_empty() {
            return (409, json!({"failed": failed, "Corte": data.revision}));
        }
        if !changes.is_empty() {
            data.revision += 1;
        }
        for change in changes {
            if let Some(key) = change["Set"].as_str() {
                data.put(key, &change["V"], change["Permiso"].as_u64());
            } else if let Some(key) = change["Remove"].as_str() {
                data.remove(key);
            }
        }
        self.changed.notify_all();
        (200, json!({"Corte": data.revision}))
    }

    fn grant(&self, body: &Value) -> Response {
        let Some(ttl_ms) = body["TtlMs"].as_u64() else {
            return (400, json!({"error": "malformed"}));
        };
        let mut data = self.data.lock().expect("state");
        data.last_lease += 1;
        let id = data.last_lease;
        let ttl = Duration::from_millis(ttl_ms);
        let ends_at = Instant::now() + ttl;
        data.leases.insert(id, Lease { ttl, ends_at });
        (200, json!({"Permiso": id}))
    }

    fn renew(&self, id: &str) -> Response {
        let mut data = self.data.lock().expect("state");
        let lease = id.parse().ok().and_then(|id: u64| data.leases.get_mut(&id));
        match lease {
            Some(lease) => {
                lease.ends_at = Instant::now() + lease.ttl;
                (200, json!({}))
            }
            None => (404, json!({"error": "no such lease"})),
        }
    }

    fn revoke(&self, id: &str) -> Response {
        let mut data = self.data.lock().expect("state");
        if let Ok(id) = id.parse() {
            data.end_lease(id);
        }
        self.changed.notify_all();
        (200, json!({}))
    }

    fn end_leases(&self) {
        let mut data = self.data.lock().expect("state");
        let now = Instant::now();
        let ended = data.leases.iter().filter(|(_, lease)| lease.ends_at < now);
        let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
        for id in &ended {
            data.end_lease(*id);
        }
        if !ended.is_empty() {
            self.changed.notify_all();
        }
    }

    fn follow(&self, request: &Request) -> Response {
        let prefix = request.query.get("Starts").cloned().unwrap_or_default();
        let since = request.number("Since").unwrap_or(0);
        let wait = Duration::from_millis(request.number("WaitMs").unwrap_or(0).min(60_000));
        let until = Instant::now() + wait;
        let mut data = self.data.lock().expect("state");
        loop {
            let oldest = data.changes.front().map_or(0, |(version, ..)| *version);
            if data.changes.len() >= KEPT_CHANGES && since + 1 < oldest {
                return (410, json!({"Corte": data.revision}));
            }
            let events: Vec<Value> = data
                .changes
                .iter()
                .filter(|(version, key, _)| *version > since && key.starts_with(&prefix))
                .map(|(_, _, event)| event.clone())
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                return (200, json!({"Corte": data.revision, "Events": events}));
            }
            data = self
                .changed
                .wait_timeout(data, until - now)
                .expect("state")
                .0;
        }
    }
}

impl Data {
    fn put(&mut self, key: &str, value: &Value, lease: Option<u64>) {
        let version = self.revision;
        let event = json!({"Set": key, "V": value, "Sello": version});
        self.note(key, event);
        let value = value.clone();
        let pair = Pair {
            value,
            version,
            lease,
        };
        self.pairs.insert(key.to_owned(), pair);
    }

    fn remove(&mut self, key: &str) {
        if self.pairs.remove(key).is_some() {
            let event = json!({"Remove": key, "Sello": self.revision});
            self.note(key, event);
        }
    }

    fn note(&mut self, key: &str, event: Value) {
        self.changes
            .push_back((self.revision, key.to_owned(), event));
        if self.changes.len() > KEPT_CHANGES {
            self.changes.pop_front();
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let attached = self.pairs.iter().filter(|(_, pair)| pair.lease == Some(id));
        let keys: Vec<String> = attached.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.remove(&key);
        }
    }
}
