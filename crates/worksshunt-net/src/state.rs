//! Client of the state service: one call per operation, unclear outcomes named as such.

use std::time::Duration;

use http_types::Method;
use serde::de::DeserializeOwned;
use worksshunt_core::constants::{LEASE_TTL_MS, STATE_PAGE};
use worksshunt_core::controller::{StoreOp, StoreReply};
use worksshunt_wire::state::{
    AtRevision, Changes, Conflict, Lease, LeaseRequest, Listing, Pair, Txn,
};

use crate::client::{CallError, HttpClient};

/// Carries out one operation.
pub async fn call(client: &HttpClient, op: StoreOp, deadline: Duration) -> StoreReply {
    let result = match op {
        StoreOp::GrantLease => new_lease(client, deadline).await,
        StoreOp::RenewLease(lease) => renew(client, lease, deadline).await,
        StoreOp::Get(key) => get(client, &key, deadline).await,
        StoreOp::List(prefix) => list(client, &prefix, deadline).await,
        StoreOp::Txn(txn) => transact(client, &txn, deadline).await,
        StoreOp::Watch(prefix, since, wait_ms) => {
            let path = format!("/follow?Starts={prefix}&Since={since}&WaitMs={wait_ms}");
            follow(client, &path, deadline).await
        }
    };
    result.unwrap_or_else(|error| {
        tracing::debug!(%error, "state service");
        match error {
            // Never sent, so never executed.
            CallError::Connect(_) => StoreReply::Refused,
            CallError::Late(_) | CallError::Http(_) => StoreReply::NoAnswer,
        }
    })
}

fn read<T: DeserializeOwned>(body: &[u8], then: impl FnOnce(T) -> StoreReply) -> StoreReply {
    match serde_json::from_slice(body) {
        Ok(value) => then(value),
        Err(error) => {
            tracing::debug!(%error, "odd answer of the state service");
            StoreReply::NoAnswer
        }
    }
}

fn other(status: u16) -> StoreReply {
    match status {
        429 | 503 => StoreReply::Refused,
        _ => {
            tracing::debug!(status, "odd status of the state service");
            StoreReply::NoAnswer
        }
    }
}

async fn new_lease(client: &HttpClient, deadline: Duration) -> Result<StoreReply, CallError> {
    let body = serde_json::json!(LeaseRequest {
        ttl_ms: LEASE_TTL_MS
    });
    let (status, body) = client
        .call(Method::Post, "/holds", Some(body.to_string()), deadline)
        .await?;
    Ok(match status {
        200 => read(&body, |lease: Lease| StoreReply::LeaseGranted(lease.lease)),
        _ => other(status),
    })
}

async fn renew(
    client: &HttpClient,
    lease: u64,
    deadline: Duration,
) -> Result<StoreReply, CallError> {
    let path = format!("/holds/{lease}/renew");
    let (status, _) = client.call(Method::Post, &path, None, deadline).await?;
    Ok(match status {
        200 => StoreReply::LeaseRenewed,
        404 => StoreReply::NoSuchLease,
        _ => other(status),
    })
}

async fn get(client: &HttpClient, key: &str, deadline: Duration) -> Result<StoreReply, CallError> {
    let path = format!("/kv/{key}");
    let (status, body) = client.call(Method::Get, &path, None, deadline).await?;
    Ok(match status {
        200 => read(&body, StoreReply::Found),
        404 => read(&body, |_: AtRevision| StoreReply::Missing),
        _ => other(status),
    })
}

async fn list(
    client: &HttpClient,
    prefix: &str,
    deadline: Duration,
) -> Result<StoreReply, CallError> {
    let mut pairs: Vec<Pair> = Vec::new();
    let mut first = None;
    loop {
        let since = pairs
            .last()
            .map(|pair| format!("&Since={}", pair.key))
            .unwrap_or_default();
        let path = format!("/kv?Starts={prefix}{since}&Most={STATE_PAGE}");
        let (status, body) = client.call(Method::Get, &path, None, deadline).await?;
        if status != 200 {
            return Ok(other(status));
        }
        let Ok(page) = serde_json::from_slice::<Listing>(&body) else {
            return Ok(StoreReply::NoAnswer);
        };
        if page.pairs.len() > STATE_PAGE {
            let keys = page.pairs.len();
            tracing::warn!(keys, most = STATE_PAGE, "page of keys too long: refused");
            return Ok(StoreReply::NoAnswer);
        }
        let revision = *first.get_or_insert(page.revision);
        let more = page.more && !page.pairs.is_empty();
        pairs.extend(page.pairs);
        if !more {
            return Ok(StoreReply::Listing(Listing {
                pairs,
                more: false,
                revision,
            }));
        }
    }
}

async fn transact(
    client: &HttpClient,
    txn: &Txn,
    deadline: Duration,
) -> Result<StoreReply, CallError> {
    let body = serde_json::json!(txn).to_string();
    let (status, body) = client
        .call(Method::Post, "/txn", Some(body), deadline)
        .await?;
    Ok(match status {
        200 => read(&body, |at: AtRevision| StoreReply::Committed(at.revision)),
        409 => read(&body, |conflict: Conflict| {
            StoreReply::Conflict(conflict.failed)
        }),
        400 if body.windows(13).any(|part| part == b"no such lease") => StoreReply::NoSuchLease,
        400 => {
            let answer = String::from_utf8_lossy(&body);
            tracing::warn!(%answer, "the state service does not take a transaction");
            StoreReply::TooLarge
        }
        _ => other(status),
    })
}

async fn follow(
    client: &HttpClient,
    path: &str,
    deadline: Duration,
) -> Result<StoreReply, CallError> {
    let (status, body) = client.call(Method::Get, path, None, deadline).await?;
    Ok(match status {
        200 => read(&body, |changes: Changes| StoreReply::Changes(changes)),
        410 => StoreReply::RevisionCompacted,
        _ => other(status),
    })
}

#[cfg(test)]
mod tests;
