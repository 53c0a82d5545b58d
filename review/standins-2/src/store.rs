//! The state service: keys with revisions, transactions, leases, watches, and the limits of its page.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{serve, Request, Response};
use crate::json::Json;

const MAX_PAGE_ITEMS: usize = 1_000;
const MAX_PAGE_BYTES: usize = 512 * 1024;
const KEPT_CHANGES: usize = 10_000;
const MAX_TXN_BYTES: usize = 64 * 1024;

pub struct Limits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
}

/// Allows `rate` a second, and bursts of one second's worth.
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
    fn take(&mut self, n: f64) -> bool {
        let now = Instant::now();
        self.tokens =
            (self.tokens + now.duration_since(self.at).as_secs_f64() * self.rate).min(self.rate);
        self.at = now;
        let fits = self.tokens >= n;
        if fits {
            self.tokens -= n;
        }
        fits
    }
}

struct Entry {
    value: Json,
    revision: u64,
    hold: Option<u64>,
}

struct Hold {
    ttl: Duration,
    ends: Instant,
}

struct Inner {
    keys: BTreeMap<String, Entry>,
    revision: u64,
    holds: BTreeMap<u64, Hold>,
    next_hold: u64,
    changes: VecDeque<(u64, String, Option<Json>)>,
    /// Revision of the newest change that is no longer kept.
    forgotten: u64,
    requests: Bucket,
    writes: Bucket,
}

pub struct Store {
    limits: Mutex<Limits>,
    inner: Mutex<Inner>,
    changed: Condvar,
    /// Number of listings that were answered, and of those that continue after a key with a plus sign.
    pub listings: AtomicU64,
    pub plus_listings: AtomicU64,
    pub last_plus_query: Mutex<String>,
}

impl Store {
    pub fn start(limits: Limits) -> (Arc<Store>, SocketAddr) {
        let store = Arc::new(Store {
            inner: Mutex::new(Inner {
                keys: BTreeMap::new(),
                revision: 0,
                holds: BTreeMap::new(),
                next_hold: 1,
                changes: VecDeque::new(),
                forgotten: 0,
                requests: Bucket::new(limits.rps),
                writes: Bucket::new(limits.write_rps),
            }),
            limits: Mutex::new(limits),
            changed: Condvar::new(),
            listings: AtomicU64::new(0),
            plus_listings: AtomicU64::new(0),
            last_plus_query: Mutex::new(String::new()),
        });
        let this = Arc::clone(&store);
        let address = serve(Arc::new(move |request| Some(this.handle(request))));
        (store, address)
    }

    /// Changes the limits without notice. What is stored stays readable.
    pub fn set_limits(&self, limits: Limits) {
        let mut inner = self.inner.lock().unwrap();
        inner.requests = Bucket::new(limits.rps);
        inner.writes = Bucket::new(limits.write_rps);
        *self.limits.lock().unwrap() = limits;
    }

    /// Value of a key.
    pub fn value(&self, key: &str) -> Option<Json> {
        let mut inner = self.inner.lock().unwrap();
        self.end_holds(&mut inner);
        inner.keys.get(key).map(|e| e.value.clone())
    }

    /// Number of keys with a prefix, and the bytes of their values.
    pub fn size(&self, prefix: &str) -> (usize, usize) {
        let inner = self.inner.lock().unwrap();
        let found = inner
            .keys
            .range(prefix.to_owned()..)
            .take_while(|(k, _)| k.starts_with(prefix));
        found.fold((0, 0), |(n, b), (_, e)| (n + 1, b + e.value.encode().len()))
    }

    fn end_holds(&self, inner: &mut Inner) {
        let now = Instant::now();
        let ended: Vec<u64> = inner
            .holds
            .iter()
            .filter(|(_, h)| h.ends < now)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            inner.holds.remove(&id);
            let keys: Vec<String> = inner
                .keys
                .iter()
                .filter(|(_, e)| e.hold == Some(id))
                .map(|(k, _)| k.clone())
                .collect();
            if keys.is_empty() {
                continue;
            }
            inner.revision += 1;
            let revision = inner.revision;
            for key in keys {
                inner.keys.remove(&key);
                log(inner, revision, key, None);
            }
            self.changed.notify_all();
        }
    }

    fn handle(&self, request: &Request) -> Response {
        let mut inner = self.inner.lock().unwrap();
        self.end_holds(&mut inner);
        if !inner.requests.take(1.0) {
            return Response::new(429, "{}");
        }
        let path = request.path.trim_start_matches('/');
        match (request.method.as_str(), path) {
            ("GET", "kv") => self.list(&inner, request),
            ("GET", "follow") => {
                drop(inner);
                self.follow(request)
            }
            ("GET", _) => get(&inner, path.strip_prefix("kv/").unwrap_or("")),
            ("POST", "txn") => self.transact(&mut inner, &request.body),
            ("POST", "holds") => {
                let ttl = Json::parse(&request.body).and_then(|b| b.int("TtlMs"));
                let Some(ttl) = ttl else {
                    return Response::new(400, "{}");
                };
                let ttl = Duration::from_millis(ttl);
                let id = inner.next_hold;
                inner.next_hold += 1;
                let ends = Instant::now() + ttl;
                inner.holds.insert(id, Hold { ttl, ends });
                Response::new(200, format!("{{\"Permiso\":{id}}}"))
            }
            ("POST", _) => {
                let id = path
                    .strip_prefix("holds/")
                    .and_then(|p| p.strip_suffix("/renew"));
                let hold = id
                    .and_then(|id| id.parse().ok())
                    .and_then(|id: u64| inner.holds.get_mut(&id));
                match hold {
                    Some(hold) => {
                        hold.ends = Instant::now() + hold.ttl;
                        Response::new(200, "{}")
                    }
                    None => Response::new(404, "{}"),
                }
            }
            _ => Response::new(400, "{}"),
        }
    }

    fn list(&self, inner: &Inner, request: &Request) -> Response {
        self.listings.fetch_add(1, Ordering::SeqCst);
        let prefix = request.param("Starts").unwrap_or("");
        let since = request.param("Since");
        if request.raw_query.contains("Since=j/+") {
            self.plus_listings.fetch_add(1, Ordering::SeqCst);
            *self.last_plus_query.lock().unwrap() = request.raw_query.clone();
        }
        let most = request
            .param("Most")
            .and_then(|m| m.parse().ok())
            .unwrap_or(MAX_PAGE_ITEMS)
            .min(MAX_PAGE_ITEMS);
        let found = inner
            .keys
            .range(prefix.to_owned()..)
            .take_while(|(k, _)| k.starts_with(prefix))
            .filter(|(k, _)| since.is_none_or(|s| k.as_str() > s));
        let (mut items, mut bytes, mut more) = (Vec::new(), 0, false);
        for (key, entry) in found {
            let item = pair(key, entry).encode();
            if items.len() >= most || bytes + item.len() + 64 > MAX_PAGE_BYTES {
                more = true;
                break;
            }
            bytes += item.len() + 1;
            items.push(item);
        }
        let body = format!(
            "{{\"Pairs\":[{}],\"More\":{more},\"Corte\":{}}}",
            items.join(","),
            inner.revision
        );
        Response::new(200, body)
    }

    fn follow(&self, request: &Request) -> Response {
        let prefix = request.param("Starts").unwrap_or("").to_owned();
        let number = |name| {
            request
                .param(name)
                .and_then(|v| v.parse::<u64>().ok())
                .unwrap_or(0)
        };
        let since = number("Since");
        let until = Instant::now() + Duration::from_millis(number("WaitMs").min(60_000));
        let mut inner = self.inner.lock().unwrap();
        loop {
            self.end_holds(&mut inner);
            if since < inner.forgotten {
                return Response::new(410, "{}");
            }
            let events: Vec<Json> = inner
                .changes
                .iter()
                .filter(|(revision, key, _)| *revision > since && key.starts_with(&prefix))
                .map(|(revision, key, value)| event(*revision, key, value))
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let body = Json::obj(&[
                    ("Corte", Json::Int(inner.revision)),
                    ("Events", Json::Arr(events)),
                ]);
                return Response::new(200, body.encode());
            }
            let wait = until
                .saturating_duration_since(now)
                .clamp(Duration::from_millis(1), Duration::from_millis(100));
            inner = self.changed.wait_timeout(inner, wait).unwrap().0;
        }
    }

    fn transact(&self, inner: &mut Inner, body: &[u8]) -> Response {
        let Some(txn) = Json::parse(body).filter(|_| body.len() <= MAX_TXN_BYTES) else {
            return Response::new(400, "{\"error\":\"too large or malformed\"}");
        };
        let (conditions, changes) = (txn.list("If"), txn.list("Then"));
        let limits = self.limits.lock().unwrap();
        let max_value = (limits.value_kb * 1024.0) as usize;
        let is_too_large = |c: &Json| c.get("V").is_some_and(|v| v.encode().len() > max_value);
        if changes.len() > limits.txn_ops
            || conditions.len() > 4 * limits.txn_ops
            || changes.iter().any(is_too_large)
        {
            return Response::new(400, "{\"error\":\"over a limit\"}");
        }
        if !inner.writes.take(changes.len() as f64) {
            return Response::new(429, "{}");
        }
        let has_ended = |c: &Json| {
            c.int("Permiso")
                .is_some_and(|id| !inner.holds.contains_key(&id))
        };
        if changes.iter().any(has_ended) {
            return Response::new(400, "{\"error\":\"no such lease\"}");
        }
        let failed: Vec<Json> = conditions
            .iter()
            .filter(|c| {
                let present = inner.keys.get(c.text("K")).map_or(0, |e| e.revision);
                c.int("Sello") != Some(present)
            })
            .map(|c| Json::str(c.text("K")))
            .collect();
        if !failed.is_empty() {
            let body = Json::obj(&[
                ("failed", Json::Arr(failed)),
                ("Corte", Json::Int(inner.revision)),
            ]);
            return Response::new(409, body.encode());
        }
        if !changes.is_empty() {
            inner.revision += 1;
        }
        let revision = inner.revision;
        for change in changes {
            if let Some(Json::Str(key)) = change.get("Set") {
                let value = change.get("V").cloned().unwrap_or(Json::Null);
                let entry = Entry {
                    value: value.clone(),
                    revision,
                    hold: change.int("Permiso"),
                };
                inner.keys.insert(key.clone(), entry);
                log(inner, revision, key.clone(), Some(value));
            } else if let Some(Json::Str(key)) = change.get("Remove") {
                if inner.keys.remove(key).is_some() {
                    log(inner, revision, key.clone(), None);
                }
            }
        }
        self.changed.notify_all();
        Response::new(200, format!("{{\"Corte\":{revision}}}"))
    }
}

fn log(inner: &mut Inner, revision: u64, key: String, value: Option<Json>) {
    inner.changes.push_back((revision, key, value));
    while inner.changes.len() > KEPT_CHANGES {
        if let Some((revision, _, _)) = inner.changes.pop_front() {
            inner.forgotten = revision;
        }
    }
}

fn get(inner: &Inner, key: &str) -> Response {
    match inner.keys.get(key) {
        Some(entry) => Response::new(200, pair(key, entry).encode()),
        None => Response::new(404, format!("{{\"Corte\":{}}}", inner.revision)),
    }
}

fn pair(key: &str, entry: &Entry) -> Json {
    let mut fields = vec![
        ("K", Json::str(key)),
        ("V", entry.value.clone()),
        ("Sello", Json::Int(entry.revision)),
    ];
    fields.extend(entry.hold.map(|id| ("Permiso", Json::Int(id))));
    Json::obj(&fields)
}

fn event(revision: u64, key: &str, value: &Option<Json>) -> Json {
    let revision = ("Sello", Json::Int(revision));
    match value {
        Some(value) => Json::obj(&[("Set", Json::str(key)), ("V", value.clone()), revision]),
        None => Json::obj(&[("Remove", Json::str(key)), revision]),
    }
}
