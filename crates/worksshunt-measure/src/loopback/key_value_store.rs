//! Stand-in of the key-value store, over HTTP on the loopback interface. It owns the records; the controllers send it
//! requests, and the measurements read the epoch from it.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use http_types::Method;
use serde_json::Value;
use worksshunt_core::controller::{KvRequest, KvResponse};
use worksshunt_core::job_api::HttpResponse;
use worksshunt_core::membership::EPOCH_KEY;
use worksshunt_net::server::HttpRequest;
use worksshunt_simulation::Store;
use worksshunt_wire::key_value::{CompareAndSwap, Conflict, Lease, Listing, StoreRevision};
use worksshunt_wire::Revision;

use super::{malformed, Handled};

/// How often a watch checks for changes.
const WATCH_INTERVAL: Duration = Duration::from_millis(5);

/// Records in one page of a listing if the request does not limit them.
const DEFAULT_PAGE: u64 = 1_000;

/// Name of the leader in a record of an epoch.
fn leader_of(epoch: &Value) -> Option<String> {
    let name = epoch.pointer("/leader/name")?;
    name.as_str().map(str::to_owned)
}

/// Names of the members in a record of an epoch; those without a name are left out.
fn members_of(epoch: &Value) -> Vec<String> {
    let members = epoch.get("members").and_then(Value::as_array);
    let names = members.into_iter().flatten().map(|member| &member["name"]);
    names
        .filter_map(|name| Some(name.as_str()?.to_owned()))
        .collect()
}

/// The key-value store.
pub struct KeyValueStore {
    store: RefCell<Store>,
    /// The zero of the store's time.
    started_at: Instant,
}

impl KeyValueStore {
    /// A store without records.
    pub fn new() -> Rc<KeyValueStore> {
        Rc::new(KeyValueStore {
            store: RefCell::new(Store::default()),
            started_at: Instant::now(),
        })
    }

    fn apply(&self, request: &KvRequest) -> KvResponse {
        let now_ms = self.started_at.elapsed().as_millis() as u64;
        self.store.borrow_mut().apply(now_ms, request)
    }

    fn epoch(&self) -> Option<Value> {
        match self.apply(&KvRequest::Get(EPOCH_KEY.to_owned())) {
            KvResponse::Found(pair) => Some(pair.value),
            _ => None,
        }
    }

    /// Name of the leader in the stored epoch, if there is an epoch. Only that field is read, so that the record
    /// may be of any version.
    pub fn leader(&self) -> Option<String> {
        leader_of(&self.epoch()?)
    }

    /// Names of the members in the stored epoch; none if there is no epoch. Like the leader's, these are the only
    /// fields that are read.
    pub fn members(&self) -> Vec<String> {
        self.epoch().as_ref().map(members_of).unwrap_or_default()
    }

    /// Executes a request and encodes the response.
    fn respond(&self, request: &KvRequest) -> HttpResponse {
        match self.apply(request) {
            KvResponse::LeaseGranted(lease) => HttpResponse::json(200, &Lease { id: lease }),
            KvResponse::LeaseRenewed => HttpResponse::json(200, &()),
            KvResponse::Found(pair) => HttpResponse::json(200, &pair),
            KvResponse::Committed(revision) => HttpResponse::json(200, &StoreRevision { revision }),
            KvResponse::WatchResponse(changes) => HttpResponse::json(200, &changes),
            KvResponse::Conflict(failed) => HttpResponse::json(
                409,
                &Conflict {
                    failed_keys: failed,
                },
            ),
            KvResponse::Missing => HttpResponse::json(
                404,
                &StoreRevision {
                    revision: Revision(self.store.borrow().revision()),
                },
            ),
            KvResponse::NoSuchLease if matches!(request, KvRequest::RenewLease(_)) => {
                HttpResponse::error(404, "no such lease")
            }
            KvResponse::NoSuchLease => HttpResponse::error(400, "no such lease"),
            _ => HttpResponse::retry_later("not executed"),
        }
    }

    fn list(&self, prefix: &str, since: Option<&str>, limit: usize) -> HttpResponse {
        let KvResponse::Listing(all) = self.apply(&KvRequest::List(prefix.to_owned())) else {
            return HttpResponse::retry_later("not executed");
        };
        let after = |key: &str| since.is_none_or(|since| key > since);
        let mut pairs = all.pairs;
        pairs.retain(|pair| after(&pair.key));
        let more = pairs.len() > limit;
        pairs.truncate(limit);
        let page = Listing {
            pairs,
            has_more: more,
            revision: all.revision,
        };
        HttpResponse::json(200, &page)
    }

    async fn watch(&self, prefix: &str, since: u64, timeout: Duration) -> HttpResponse {
        let deadline = Instant::now() + timeout;
        let request = KvRequest::Watch {
            prefix: prefix.to_owned(),
            since: Revision(since),
            wait_ms: 0,
        };
        loop {
            match self.apply(&request) {
                KvResponse::WatchResponse(changes)
                    if changes.events.is_empty() && Instant::now() < deadline => {}
                KvResponse::WatchResponse(changes) => return HttpResponse::json(200, &changes),
                _ => return HttpResponse::retry_later("not executed"),
            }
            Timer::after(WATCH_INTERVAL).await;
        }
    }

    fn compare_and_swap(&self, body: &[u8]) -> HttpResponse {
        match serde_json::from_slice::<CompareAndSwap>(body) {
            Ok(request) => self.respond(&KvRequest::CompareAndSwap(request)),
            Err(_) => malformed(),
        }
    }

    fn get(&self, path: &str) -> HttpResponse {
        match path.strip_prefix("kv/") {
            Some(key) => self.respond(&KvRequest::Get(key.to_owned())),
            None => malformed(),
        }
    }

    fn renew_lease(&self, path: &str) -> HttpResponse {
        let lease = path.strip_prefix("holds/");
        let lease = lease.and_then(|rest| rest.strip_suffix("/renew"));
        match lease.and_then(|lease| lease.parse().ok()) {
            Some(lease) => self.respond(&KvRequest::RenewLease(lease)),
            None => malformed(),
        }
    }

    /// Answers a request.
    pub fn handle(self: Rc<Self>, incoming: HttpRequest) -> Handled {
        Box::pin(async move {
            let number = |name| {
                incoming
                    .query_value(name)
                    .and_then(|text| text.parse().ok())
            };
            let prefix = incoming.query_value("Starts").unwrap_or_default();
            let path = incoming.path.trim_start_matches('/');
            match (incoming.method, path) {
                (Method::Get, "kv") => {
                    let limit = number("Most").unwrap_or(DEFAULT_PAGE) as usize;
                    self.list(prefix, incoming.query_value("Since"), limit)
                }
                (Method::Get, "follow") => {
                    let timeout = Duration::from_millis(number("WaitMs").unwrap_or(0));
                    let since = number("Since").unwrap_or(0);
                    self.watch(prefix, since, timeout).await
                }
                (Method::Post, "holds") => self.respond(&KvRequest::GrantLease),
                (Method::Post, "txn") => {
                    self.compare_and_swap(incoming.body.as_deref().unwrap_or_default())
                }
                (Method::Get, path) => self.get(path),
                (_, path) => self.renew_lease(path),
            }
        })
    }
}

#[cfg(test)]
mod tests;
