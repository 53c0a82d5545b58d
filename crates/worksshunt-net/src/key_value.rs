//! Client of the state service: one call per operation, unclear outcomes named as such.

use std::time::Duration;

use http_types::Method;
use serde::de::DeserializeOwned;
use worksshunt_core::constants::key_value::KV_LIST_PAGE_KEYS;
use worksshunt_core::constants::leases::MEMBER_LEASE_TTL_MS;
use worksshunt_core::controller::{KvRequest, KvResponse};
use worksshunt_wire::key_value::{
    CompareAndSwap, Conflict, KeyValue, Lease, LeaseRequest, Listing, StoreRevision, WatchResponse,
};

use crate::client::{CallError, HttpClient};

/// Carries out one operation.
pub async fn call(client: &HttpClient, op: KvRequest, deadline: Duration) -> KvResponse {
    let result = match op {
        KvRequest::GrantLease => new_lease(client, deadline).await,
        KvRequest::RenewLease(lease) => renew(client, lease, deadline).await,
        KvRequest::Get(key) => get(client, &key, deadline).await,
        KvRequest::List(prefix) => list(client, &prefix, deadline).await,
        KvRequest::CompareAndSwap(txn) => transact(client, &txn, deadline).await,
        KvRequest::Watch(prefix, since, wait_ms) => {
            let path = format!("/follow?Starts={prefix}&Since={since}&WaitMs={wait_ms}");
            follow(client, &path, deadline).await
        }
    };
    result.unwrap_or_else(|error| {
        tracing::debug!(%error, "state service");
        match error {
            // Never sent, so never executed.
            CallError::Connect(_) => KvResponse::Refused,
            CallError::DeadlineExceeded(_) | CallError::Http(_) => KvResponse::NoAnswer,
        }
    })
}

fn read<T: DeserializeOwned>(body: &[u8], then: impl FnOnce(T) -> KvResponse) -> KvResponse {
    match serde_json::from_slice(body) {
        Ok(value) => then(value),
        Err(error) => {
            tracing::debug!(%error, "odd answer of the state service");
            KvResponse::NoAnswer
        }
    }
}

fn other(status: u16) -> KvResponse {
    match status {
        429 | 503 => KvResponse::Refused,
        _ => {
            tracing::debug!(status, "odd status of the state service");
            KvResponse::NoAnswer
        }
    }
}

async fn new_lease(client: &HttpClient, deadline: Duration) -> Result<KvResponse, CallError> {
    let body = serde_json::json!(LeaseRequest {
        ttl_ms: MEMBER_LEASE_TTL_MS
    });
    let (status, body) = client
        .call(Method::Post, "/holds", Some(body.to_string()), deadline)
        .await?;
    Ok(match status {
        200 => read(&body, |lease: Lease| KvResponse::LeaseGranted(lease.lease)),
        _ => other(status),
    })
}

async fn renew(
    client: &HttpClient,
    lease: u64,
    deadline: Duration,
) -> Result<KvResponse, CallError> {
    let path = format!("/holds/{lease}/renew");
    let (status, _) = client.call(Method::Post, &path, None, deadline).await?;
    Ok(match status {
        200 => KvResponse::LeaseRenewed,
        404 => KvResponse::NoSuchLease,
        _ => other(status),
    })
}

async fn get(client: &HttpClient, key: &str, deadline: Duration) -> Result<KvResponse, CallError> {
    let path = format!("/kv/{key}");
    let (status, body) = client.call(Method::Get, &path, None, deadline).await?;
    Ok(match status {
        200 => read(&body, KvResponse::Found),
        404 => read(&body, |_: StoreRevision| KvResponse::Missing),
        _ => other(status),
    })
}

async fn list(
    client: &HttpClient,
    prefix: &str,
    deadline: Duration,
) -> Result<KvResponse, CallError> {
    let mut pairs: Vec<KeyValue> = Vec::new();
    let mut first = None;
    loop {
        let since = pairs
            .last()
            .map(|pair| format!("&Since={}", pair.key))
            .unwrap_or_default();
        let path = format!("/kv?Starts={prefix}{since}&Most={KV_LIST_PAGE_KEYS}");
        let (status, body) = client.call(Method::Get, &path, None, deadline).await?;
        if status != 200 {
            return Ok(other(status));
        }
        let Ok(page) = serde_json::from_slice::<Listing>(&body) else {
            return Ok(KvResponse::NoAnswer);
        };
        if page.pairs.len() > KV_LIST_PAGE_KEYS {
            let keys = page.pairs.len();
            tracing::warn!(
                keys,
                most = KV_LIST_PAGE_KEYS,
                "page of keys too long: refused"
            );
            return Ok(KvResponse::NoAnswer);
        }
        let revision = *first.get_or_insert(page.revision);
        let more = page.more && !page.pairs.is_empty();
        pairs.extend(page.pairs);
        if !more {
            return Ok(KvResponse::Listing(Listing {
                pairs,
                more: false,
                revision,
            }));
        }
    }
}

async fn transact(
    client: &HttpClient,
    txn: &CompareAndSwap,
    deadline: Duration,
) -> Result<KvResponse, CallError> {
    let body = serde_json::json!(txn).to_string();
    let (status, body) = client
        .call(Method::Post, "/txn", Some(body), deadline)
        .await?;
    Ok(match status {
        200 => read(&body, |at: StoreRevision| {
            KvResponse::Committed(at.revision)
        }),
        409 => read(&body, |conflict: Conflict| {
            KvResponse::Conflict(conflict.failed)
        }),
        400 if body.windows(13).any(|part| part == b"no such lease") => KvResponse::NoSuchLease,
        400 => {
            let answer = String::from_utf8_lossy(&body);
            tracing::warn!(%answer, "the state service does not take a transaction");
            KvResponse::TooLarge
        }
        _ => other(status),
    })
}

async fn follow(
    client: &HttpClient,
    path: &str,
    deadline: Duration,
) -> Result<KvResponse, CallError> {
    let (status, body) = client.call(Method::Get, path, None, deadline).await?;
    Ok(match status {
        200 => read(&body, |changes: WatchResponse| {
            KvResponse::WatchResponse(changes)
        }),
        410 => KvResponse::RevisionCompacted,
        _ => other(status),
    })
}

#[cfg(test)]
mod tests;
