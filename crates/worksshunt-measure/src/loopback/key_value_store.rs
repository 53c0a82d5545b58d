//! Stand-in of the state service, over HTTP on the loopback interface.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use http_types::Method;
use serde_json::Value;
use worksshunt_core::controller::{KvRequest, KvResponse};
use worksshunt_core::job_api::HttpResponse;
use worksshunt_core::membership::EPOCH;
use worksshunt_net::server::HttpRequest;
use worksshunt_simulation::Store;
use worksshunt_wire::key_value::{CompareAndSwap, Conflict, Lease, Listing, StoreRevision};
use worksshunt_wire::Revision;

use super::{malformed, query, Handled};

/// How often a watch looks for changes.
const LOOK: Duration = Duration::from_millis(5);

/// Name of the leader in a record of an epoch.
fn leader_of(epoch: &Value) -> Option<String> {
    let name = epoch.pointer("/leader/name")?;
    name.as_str().map(str::to_owned)
}

/// What the state service keeps.
pub struct StateService {
    store: RefCell<Store>,
    started: Instant,
}

impl StateService {
    /// An empty one.
    pub fn new() -> Rc<StateService> {
        Rc::new(StateService {
            store: RefCell::new(Store::default()),
            started: Instant::now(),
        })
    }

    fn apply(&self, op: &KvRequest) -> KvResponse {
        let now = self.started.elapsed().as_millis() as u64;
        self.store.borrow_mut().apply(now, op)
    }

    /// Name of the leader in the stored epoch, if there is an epoch. Only that field is read, so that records
    /// of any version will do.
    pub fn leader(&self) -> Option<String> {
        match self.apply(&KvRequest::Get(EPOCH.to_owned())) {
            KvResponse::Found(pair) => leader_of(&pair.value),
            _ => None,
        }
    }

    fn answer(&self, op: &KvRequest) -> HttpResponse {
        let revision = |this: &StateService| Revision(this.store.borrow().revision());
        match self.apply(op) {
            KvResponse::LeaseGranted(lease) => HttpResponse::json(200, &Lease { lease }),
            KvResponse::LeaseRenewed => HttpResponse::json(200, &()),
            KvResponse::Found(pair) => HttpResponse::json(200, &pair),
            KvResponse::Committed(revision) => HttpResponse::json(200, &StoreRevision { revision }),
            KvResponse::WatchResponse(changes) => HttpResponse::json(200, &changes),
            KvResponse::Conflict(failed) => HttpResponse::json(409, &Conflict { failed }),
            KvResponse::Missing => HttpResponse::json(
                404,
                &StoreRevision {
                    revision: revision(self),
                },
            ),
            KvResponse::NoSuchLease if matches!(op, KvRequest::RenewLease(_)) => {
                HttpResponse::error(404, "no such lease")
            }
            KvResponse::NoSuchLease => HttpResponse::error(400, "no such lease"),
            _ => HttpResponse::retry_later("not executed"),
        }
    }

    fn list(&self, prefix: &str, since: Option<&str>, most: usize) -> HttpResponse {
        let KvResponse::Listing(all) = self.apply(&KvRequest::List(prefix.to_owned())) else {
            return HttpResponse::retry_later("not executed");
        };
        let after = |key: &str| since.is_none_or(|since| key > since);
        let mut pairs = all.pairs;
        pairs.retain(|pair| after(&pair.key));
        let more = pairs.len() > most;
        pairs.truncate(most);
        let page = Listing {
            pairs,
            more,
            revision: all.revision,
        };
        HttpResponse::json(200, &page)
    }

    async fn follow(&self, prefix: &str, since: u64, wait: Duration) -> HttpResponse {
        let ends = Instant::now() + wait;
        let op = KvRequest::Watch(prefix.to_owned(), Revision(since), 0);
        loop {
            match self.apply(&op) {
                KvResponse::WatchResponse(changes)
                    if changes.events.is_empty() && Instant::now() < ends => {}
                KvResponse::WatchResponse(changes) => return HttpResponse::json(200, &changes),
                _ => return HttpResponse::retry_later("not executed"),
            }
            Timer::after(LOOK).await;
        }
    }

    /// Answers a request.
    pub fn handle(self: Rc<Self>, incoming: HttpRequest) -> Handled {
        Box::pin(async move {
            let number = |name| query(&incoming, name).and_then(|text| text.parse().ok());
            let starts = query(&incoming, "Starts").unwrap_or_default();
            let path = incoming.path.trim_start_matches('/');
            match (incoming.method, path) {
                (Method::Get, "kv") => {
                    let since = query(&incoming, "Since");
                    self.list(starts, since, number("Most").unwrap_or(1_000) as usize)
                }
                (Method::Get, "follow") => {
                    let wait = Duration::from_millis(number("WaitMs").unwrap_or(0));
                    self.follow(starts, number("Since").unwrap_or(0), wait)
                        .await
                }
                (Method::Post, "holds") => self.answer(&KvRequest::GrantLease),
                (Method::Post, "txn") => {
                    let body = incoming.body.as_deref().unwrap_or_default();
                    match serde_json::from_slice::<CompareAndSwap>(body) {
                        Ok(txn) => self.answer(&KvRequest::CompareAndSwap(txn)),
                        Err(_) => malformed(),
                    }
                }
                (Method::Get, path) => match path.strip_prefix("kv/") {
                    Some(key) => self.answer(&KvRequest::Get(key.to_owned())),
                    None => malformed(),
                },
                (_, path) => {
                    let lease = path.strip_prefix("holds/");
                    let lease = lease.and_then(|rest| rest.strip_suffix("/renew"));
                    match lease.and_then(|lease| lease.parse().ok()) {
                        Some(lease) => self.answer(&KvRequest::RenewLease(lease)),
                        None => malformed(),
                    }
                }
            }
        })
    }
}

#[cfg(test)]
mod tests;
