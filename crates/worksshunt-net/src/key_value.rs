//! Client of the key-value store: one function per request.
//!
//! The service calls it for each such action of the controller. A request whose outcome is unclear is told apart
//! from one that was certainly not executed: a write may only be repeated blindly in the second case.

use std::time::Duration;

use http_types::Method;
use worksshunt_core::constants::key_value::KV_LIST_PAGE_KEYS;
use worksshunt_core::constants::leases::MEMBER_LEASE_TTL_MS;
use worksshunt_core::controller::{KvRequest, KvResponse};
use worksshunt_wire::key_value::{
    CompareAndSwap, Conflict, KeyValue, Lease, LeaseRequest, Listing, StoreRevision,
};
use worksshunt_wire::Revision;

use crate::client::{CallError, HttpClient};
use crate::response::{check_page, contains, decode, RequestError};

/// The service, as logs name it.
const SERVICE: &str = "key-value store";
/// What the store says of a change attached to a lease that has expired.
const NO_SUCH_LEASE: &str = "no such lease";

/// Carries out one request.
pub async fn call(client: &HttpClient, request: KvRequest, deadline: Duration) -> KvResponse {
    let result = match request {
        KvRequest::GrantLease => grant_lease(client, deadline).await,
        KvRequest::RenewLease(lease) => renew_lease(client, lease, deadline).await,
        KvRequest::Get(key) => get(client, &key, deadline).await,
        KvRequest::List(prefix) => list(client, &prefix, deadline).await,
        KvRequest::CompareAndSwap(transaction) => {
            compare_and_swap(client, &transaction, deadline).await
        }
        KvRequest::Watch {
            prefix,
            since,
            wait_ms,
        } => watch(client, &prefix, since, wait_ms, deadline).await,
    };
    result.unwrap_or_else(|error| match error {
        // Over the store's limits; it has not executed the request.
        RequestError::UnexpectedStatus(429 | 503) => KvResponse::Refused,
        error => {
            error.log(SERVICE);
            match error {
                // Never sent, so never executed.
                RequestError::Call(CallError::Connect(_)) => KvResponse::Refused,
                _ => KvResponse::OutcomeUnknown,
            }
        }
    })
}

async fn grant_lease(client: &HttpClient, deadline: Duration) -> Result<KvResponse, RequestError> {
    let request = LeaseRequest {
        ttl_ms: MEMBER_LEASE_TTL_MS,
    };
    let body = serde_json::json!(request).to_string();
    let call = client.call(Method::Post, "/holds", Some(body), deadline);
    let response = call.await?;
    match response.status {
        200 => Ok(KvResponse::LeaseGranted(
            decode::<Lease>(&response.body)?.id,
        )),
        status => Err(RequestError::UnexpectedStatus(status)),
    }
}

async fn renew_lease(
    client: &HttpClient,
    lease: u64,
    deadline: Duration,
) -> Result<KvResponse, RequestError> {
    let path = format!("/holds/{lease}/renew");
    let response = client.call(Method::Post, &path, None, deadline).await?;
    match response.status {
        200 => Ok(KvResponse::LeaseRenewed),
        404 => Ok(KvResponse::NoSuchLease),
        status => Err(RequestError::UnexpectedStatus(status)),
    }
}

async fn get(
    client: &HttpClient,
    key: &str,
    deadline: Duration,
) -> Result<KvResponse, RequestError> {
    let path = format!("/kv/{key}");
    let response = client.call(Method::Get, &path, None, deadline).await?;
    match response.status {
        200 => Ok(KvResponse::Found(decode(&response.body)?)),
        404 => {
            // A 404 without revision is not about the key.
            decode::<StoreRevision>(&response.body)?;
            Ok(KvResponse::Missing)
        }
        status => Err(RequestError::UnexpectedStatus(status)),
    }
}

/// All keys of a prefix, read page by page, at the revision of the first page.
async fn list(
    client: &HttpClient,
    prefix: &str,
    deadline: Duration,
) -> Result<KvResponse, RequestError> {
    let mut pairs: Vec<KeyValue> = Vec::new();
    let mut first_revision = None;
    loop {
        let last_key = pairs.last().map(|pair| pair.key.as_str());
        let page = list_page(client, prefix, last_key, deadline).await?;
        let revision = *first_revision.get_or_insert(page.revision);
        let is_last = !page.has_more || page.pairs.is_empty();
        pairs.extend(page.pairs);
        if is_last {
            return Ok(KvResponse::Listing(Listing {
                pairs,
                has_more: false,
                revision,
            }));
        }
    }
}

/// One page of the keys of a prefix, after the last key of the page before.
async fn list_page(
    client: &HttpClient,
    prefix: &str,
    last_key: Option<&str>,
    deadline: Duration,
) -> Result<Listing, RequestError> {
    let since = last_key.map(|key| format!("&Since={key}"));
    let since = since.unwrap_or_default();
    let path = format!("/kv?Starts={prefix}{since}&Most={KV_LIST_PAGE_KEYS}");
    let response = client.call(Method::Get, &path, None, deadline).await?;
    match response.status {
        200 => {
            let page: Listing = decode(&response.body)?;
            check_page(page.pairs.len(), KV_LIST_PAGE_KEYS)?;
            Ok(page)
        }
        status => Err(RequestError::UnexpectedStatus(status)),
    }
}

async fn compare_and_swap(
    client: &HttpClient,
    transaction: &CompareAndSwap,
    deadline: Duration,
) -> Result<KvResponse, RequestError> {
    let body = serde_json::json!(transaction).to_string();
    let call = client.call(Method::Post, "/txn", Some(body), deadline);
    let response = call.await?;
    match response.status {
        200 => {
            let committed: StoreRevision = decode(&response.body)?;
            Ok(KvResponse::Committed(committed.revision))
        }
        409 => Ok(KvResponse::Conflict(
            decode::<Conflict>(&response.body)?.failed_keys,
        )),
        400 if contains(&response.body, NO_SUCH_LEASE) => Ok(KvResponse::NoSuchLease),
        400 => {
            let response = String::from_utf8_lossy(&response.body);
            tracing::warn!(%response, "transaction rejected by the key-value store");
            Ok(KvResponse::TooLarge)
        }
        status => Err(RequestError::UnexpectedStatus(status)),
    }
}

/// Changes of a prefix after a revision; the store waits up to `wait_ms` for the first.
async fn watch(
    client: &HttpClient,
    prefix: &str,
    since: Revision,
    wait_ms: u64,
    deadline: Duration,
) -> Result<KvResponse, RequestError> {
    let path = format!("/follow?Starts={prefix}&Since={since}&WaitMs={wait_ms}");
    let response = client.call(Method::Get, &path, None, deadline).await?;
    match response.status {
        200 => Ok(KvResponse::WatchResponse(decode(&response.body)?)),
        410 => Ok(KvResponse::RevisionCompacted),
        status => Err(RequestError::UnexpectedStatus(status)),
    }
}

#[cfg(test)]
mod tests;
