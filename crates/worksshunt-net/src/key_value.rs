//! Client of the key-value store: one function per request.
//!
//! The service calls it for the controller's requests to the store. The response distinguishes requests that were
//! definitely not executed from those whose outcome is unknown: only the former may be retried without checking whether
//! the write was applied.

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
use crate::response::{check_page_size, contains_text, decode, RequestError};

/// Name of the service in log lines.
const SERVICE_NAME: &str = "key-value store";
/// Error text of the store when a change refers to an expired lease.
const NO_SUCH_LEASE: &str = "no such lease";

/// Sends a request and returns the outcome.
pub async fn call(client: &HttpClient, request: KvRequest, timeout: Duration) -> KvResponse {
    let result = match request {
        KvRequest::GrantLease => grant_lease(client, timeout).await,
        KvRequest::RenewLease(lease) => renew_lease(client, lease, timeout).await,
        KvRequest::Get(key) => get(client, &key, timeout).await,
        KvRequest::List(prefix) => list(client, &prefix, timeout).await,
        KvRequest::CompareAndSwap(transaction) => {
            compare_and_swap(client, &transaction, timeout).await
        }
        KvRequest::Watch {
            prefix,
            since,
            wait_ms,
        } => watch(client, &prefix, since, wait_ms, timeout).await,
    };
    result.unwrap_or_else(|error| match error {
        // The request exceeds the rate limits of the store, or the store is unavailable; it was not executed.
        RequestError::UnexpectedStatus(429 | 503) => KvResponse::Refused,
        error => {
            error.log(SERVICE_NAME);
            match error {
                // The request was not sent, so it was not executed.
                RequestError::Call(CallError::Connect(_)) => KvResponse::Refused,
                _ => KvResponse::OutcomeUnknown,
            }
        }
    })
}

async fn grant_lease(client: &HttpClient, timeout: Duration) -> Result<KvResponse, RequestError> {
    let request = LeaseRequest {
        ttl_ms: MEMBER_LEASE_TTL_MS,
    };
    let body = serde_json::json!(request).to_string();
    let call = client.call(Method::Post, "/holds", Some(body), timeout);
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
    timeout: Duration,
) -> Result<KvResponse, RequestError> {
    let path = format!("/holds/{lease}/renew");
    let response = client.call(Method::Post, &path, None, timeout).await?;
    match response.status {
        200 => Ok(KvResponse::LeaseRenewed),
        404 => Ok(KvResponse::NoSuchLease),
        status => Err(RequestError::UnexpectedStatus(status)),
    }
}

async fn get(
    client: &HttpClient,
    key: &str,
    timeout: Duration,
) -> Result<KvResponse, RequestError> {
    let path = format!("/kv/{key}");
    let response = client.call(Method::Get, &path, None, timeout).await?;
    match response.status {
        200 => Ok(KvResponse::Found(decode(&response.body)?)),
        404 => {
            // The store reports a missing key with its revision. Any other 404, such as an unknown path, is an error.
            decode::<StoreRevision>(&response.body)?;
            Ok(KvResponse::Missing)
        }
        status => Err(RequestError::UnexpectedStatus(status)),
    }
}

/// Reads all pages of the keys with a prefix. The listing has the revision of the first page.
async fn list(
    client: &HttpClient,
    prefix: &str,
    timeout: Duration,
) -> Result<KvResponse, RequestError> {
    let mut pairs: Vec<KeyValue> = Vec::new();
    let mut first_revision = None;
    loop {
        let last_key = pairs.last().map(|pair| pair.key.as_str());
        let page = list_page(client, prefix, last_key, timeout).await?;
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

/// Reads one page of the keys with a prefix: those after `last_key`, or the first page.
async fn list_page(
    client: &HttpClient,
    prefix: &str,
    last_key: Option<&str>,
    timeout: Duration,
) -> Result<Listing, RequestError> {
    let since = last_key.map(|key| format!("&Since={key}"));
    let since = since.unwrap_or_default();
    let path = format!("/kv?Starts={prefix}{since}&Most={KV_LIST_PAGE_KEYS}");
    let response = client.call(Method::Get, &path, None, timeout).await?;
    match response.status {
        200 => {
            let page: Listing = decode(&response.body)?;
            check_page_size(page.pairs.len(), KV_LIST_PAGE_KEYS)?;
            Ok(page)
        }
        status => Err(RequestError::UnexpectedStatus(status)),
    }
}

async fn compare_and_swap(
    client: &HttpClient,
    transaction: &CompareAndSwap,
    timeout: Duration,
) -> Result<KvResponse, RequestError> {
    let body = serde_json::json!(transaction).to_string();
    let call = client.call(Method::Post, "/txn", Some(body), timeout);
    let response = call.await?;
    match response.status {
        200 => {
            let committed: StoreRevision = decode(&response.body)?;
            Ok(KvResponse::Committed(committed.revision))
        }
        409 => Ok(KvResponse::Conflict(
            decode::<Conflict>(&response.body)?.failed_keys,
        )),
        400 if contains_text(&response.body, NO_SUCH_LEASE) => Ok(KvResponse::NoSuchLease),
        400 => {
            let response = String::from_utf8_lossy(&response.body);
            tracing::warn!(%response, "key-value store rejected a transaction; handled as too large");
            Ok(KvResponse::TooLarge)
        }
        status => Err(RequestError::UnexpectedStatus(status)),
    }
}

/// Reads the changes of keys with a prefix after a revision. The store waits up to `wait_ms` for the first change.
async fn watch(
    client: &HttpClient,
    prefix: &str,
    since: Revision,
    wait_ms: u64,
    timeout: Duration,
) -> Result<KvResponse, RequestError> {
    let path = format!("/follow?Starts={prefix}&Since={since}&WaitMs={wait_ms}");
    let response = client.call(Method::Get, &path, None, timeout).await?;
    match response.status {
        200 => Ok(KvResponse::WatchResponse(decode(&response.body)?)),
        410 => Ok(KvResponse::RevisionCompacted),
        status => Err(RequestError::UnexpectedStatus(status)),
    }
}

#[cfg(test)]
mod tests;
