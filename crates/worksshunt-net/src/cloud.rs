//! Client of the cloud.

use std::time::Duration;

use http_types::Method;
use serde::de::DeserializeOwned;
use worksshunt_core::constants::fleet::MACHINE_LIST_PAGE;
use worksshunt_core::controller::CloudResponse;
use worksshunt_core::fleet::CloudRequest;
use worksshunt_wire::cloud::MachineList;

use crate::client::{CallError, HttpClient};

/// Carries out one request.
pub async fn call(
    client: &HttpClient,
    request: &CloudRequest,
    deadline: Duration,
) -> CloudResponse {
    let result = match request {
        CloudRequest::ReadCatalog => {
            get(client, "/catalog", deadline)
                .await
                .map(|answer| match answer {
                    Some(catalog) => CloudResponse::Catalog(catalog),
                    None => CloudResponse::NoAnswer,
                })
        }
        CloudRequest::ListMachines => list(client, deadline).await,
        CloudRequest::Provision(rent) => {
            post(
                client,
                "/machines",
                serde_json::json!(rent).to_string(),
                deadline,
            )
            .await
        }
        CloudRequest::Release(names) => {
            let body = serde_json::json!(names).to_string();
            post(client, "/machines/return", body, deadline)
                .await
                .map(|reply| match reply {
                    // Only that it was done matters; the body says nothing more.
                    CloudResponse::Machines(_) => CloudResponse::Machines(names.clone()),
                    other => other,
                })
        }
    };
    result.unwrap_or_else(|error| {
        tracing::debug!(%error, "cloud");
        CloudResponse::NoAnswer
    })
}

async fn get<T: DeserializeOwned>(
    client: &HttpClient,
    path: &str,
    deadline: Duration,
) -> Result<Option<T>, CallError> {
    let (status, body) = client.call(Method::Get, path, None, deadline).await?;
    if status != 200 {
        tracing::debug!(status, path, "cloud");
        return Ok(None);
    }
    Ok(serde_json::from_slice(&body).ok())
}

async fn post(
    client: &HttpClient,
    path: &str,
    body: String,
    deadline: Duration,
) -> Result<CloudResponse, CallError> {
    let (status, body) = client
        .call(Method::Post, path, Some(body), deadline)
        .await?;
    let capacity = body.windows(11).any(|part| part == b"no capacity");
    Ok(match status {
        200 => {
            let names = serde_json::from_slice(&body).unwrap_or_default();
            CloudResponse::Machines(names)
        }
        503 if capacity => CloudResponse::NoCapacity,
        _ => {
            tracing::debug!(status, path, "cloud");
            CloudResponse::NoAnswer
        }
    })
}

async fn list(client: &HttpClient, deadline: Duration) -> Result<CloudResponse, CallError> {
    let mut pages: Vec<MachineList> = Vec::new();
    loop {
        let last = pages.last().and_then(|page| page.machines.last());
        let since = last.map(|machine| format!("&Since={}", machine.id));
        let since = since.unwrap_or_default();
        let path = format!("/machines?Most={MACHINE_LIST_PAGE}{since}");
        let Some(page) = get::<MachineList>(client, &path, deadline).await? else {
            return Ok(CloudResponse::NoAnswer);
        };
        if page.machines.len() > MACHINE_LIST_PAGE {
            let machines = page.machines.len();
            tracing::warn!(
                machines,
                most = MACHINE_LIST_PAGE,
                "page of the machine list too long: refused"
            );
            return Ok(CloudResponse::NoAnswer);
        }
        let more = page.more && !page.machines.is_empty();
        pages.push(page);
        if !more {
            return Ok(CloudResponse::List(pages));
        }
    }
}

#[cfg(test)]
mod tests;
