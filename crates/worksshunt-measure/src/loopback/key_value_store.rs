//! Fake of the key-value store with an HTTP interface for the controllers. The upgrade reads the epoch directly.

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

use super::{malformed_request, ResponseFuture};

/// Interval at which a watch checks for changes.
const WATCH_INTERVAL: Duration = Duration::from_millis(5);

/// Maximum number of records in a page of a listing, unless the request sets one.
const DEFAULT_PAGE_SIZE: u64 = 1_000;

/// Name of the leader in the record of an epoch.
fn leader_name(epoch: &Value) -> Option<String> {
    let name = epoch.pointer("/leader/name")?;
    name.as_str().map(str::to_owned)
}

/// Names of the members in the record of an epoch; members without a name are skipped.
fn member_names(epoch: &Value) -> Vec<String> {
    let members = epoch.get("members").and_then(Value::as_array);
    let names = members.into_iter().flatten().map(|member| &member["name"]);
    names
        .filter_map(|name| Some(name.as_str()?.to_owned()))
        .collect()
}

/// Fake key-value store.
pub struct KeyValueStore {
    store: RefCell<Store>,
    /// Origin of the store's clock.
    started_at: Instant,
}

impl KeyValueStore {
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

    /// Record of the epoch; `None` if it is not stored yet.
    fn epoch(&self) -> Option<Value> {
        match self.apply(&KvRequest::Get(EPOCH_KEY.to_owned())) {
            KvResponse::Found(pair) => Some(pair.value),
            _ => None,
        }
    }

    /// Name of the leader in the stored epoch. Reads no other field, so that the record may be of any version. `None`
    /// without an epoch or a leader.
    pub fn leader(&self) -> Option<String> {
        leader_name(&self.epoch()?)
    }

    /// Names of the members in the stored epoch; empty without an epoch. Reads no other field either.
    pub fn members(&self) -> Vec<String> {
        self.epoch().as_ref().map(member_names).unwrap_or_default()
    }

    /// Executes a request and encodes the response.
    fn respond(&self, request: &KvRequest) -> HttpResponse {
        match self.apply(request) {
            KvResponse::LeaseGranted(lease) => HttpResponse::json(200, &Lease { id: lease }),
            KvResponse::LeaseRenewed => HttpResponse::json(200, &()),
            KvResponse::Found(pair) => HttpResponse::json(200, &pair),
            KvResponse::Committed(revision) => HttpResponse::json(200, &StoreRevision { revision }),
            KvResponse::WatchResponse(changes) => HttpResponse::json(200, &changes),
            KvResponse::Conflict(failed_keys) => HttpResponse::json(409, &Conflict { failed_keys }),
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

    /// One page of the records whose keys have a prefix and follow `since`.
    fn list(&self, prefix: &str, since: Option<&str>, limit: usize) -> HttpResponse {
        let KvResponse::Listing(listing) = self.apply(&KvRequest::List(prefix.to_owned())) else {
            return HttpResponse::retry_later("not executed");
        };
        let follows = |key: &str| since.is_none_or(|since| key > since);
        let mut pairs = listing.pairs;
        pairs.retain(|pair| follows(&pair.key));
        let has_more = pairs.len() > limit;
        pairs.truncate(limit);
        let page = Listing {
            pairs,
            has_more,
            revision: listing.revision,
        };
        HttpResponse::json(200, &page)
    }

    /// Waits for changes after the revision `since`; responds without changes after `timeout`.
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
            Err(_) => malformed_request(),
        }
    }

    fn get(&self, path: &str) -> HttpResponse {
        match path.strip_prefix("kv/") {
            Some(key) => self.respond(&KvRequest::Get(key.to_owned())),
            None => malformed_request(),
        }
    }

    fn renew_lease(&self, path: &str) -> HttpResponse {
        let lease = path.strip_prefix("holds/");
        let lease = lease.and_then(|rest| rest.strip_suffix("/renew"));
        match lease.and_then(|lease| lease.parse().ok()) {
            Some(lease) => self.respond(&KvRequest::RenewLease(lease)),
            None => malformed_request(),
        }
    }

    /// Handles a request of a controller.
    pub fn handle(self: Rc<Self>, incoming: HttpRequest) -> ResponseFuture {
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
                    let limit = number("Most").unwrap_or(DEFAULT_PAGE_SIZE) as usize;
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
