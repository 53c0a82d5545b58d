//! Client of the cloud provider's API: one function per request.
//!
//! The service calls it for the controller's cloud requests. All requests are idempotent: a provisioning request has a
//! name, and releasing a machine twice has no effect. Requests that failed and requests with an unknown outcome are
//! therefore not distinguished.

use std::time::Duration;

use http_types::Method;
use worksshunt_core::constants::fleet::MACHINE_LIST_PAGE_SIZE;
use worksshunt_core::controller::CloudResponse;
use worksshunt_core::fleet::CloudRequest;
use worksshunt_wire::cloud::{MachineIds, MachineList, ProvisionRequest};

use crate::client::HttpClient;
use crate::response::{check_page_size, contains_text, decode, RequestError};

/// Name of the service in log lines.
const SERVICE_NAME: &str = "cloud";
/// Error text of the cloud when a zone has no machine of the requested type left.
const NO_CAPACITY: &str = "no capacity";

/// Sends a request and returns the outcome.
pub async fn call(client: &HttpClient, request: &CloudRequest, timeout: Duration) -> CloudResponse {
    let result = match request {
        CloudRequest::ReadCatalog => read_catalog(client, timeout).await,
        CloudRequest::ListMachines => list_machines(client, timeout).await,
        CloudRequest::Provision(request) => provision(client, request, timeout).await,
        CloudRequest::Release(machines) => release(client, machines, timeout).await,
    };
    result.unwrap_or_else(|error| {
        error.log(SERVICE_NAME);
        CloudResponse::Failed
    })
}

async fn read_catalog(
    client: &HttpClient,
    timeout: Duration,
) -> Result<CloudResponse, RequestError> {
    let response = client.call(Method::Get, "/catalog", None, timeout).await?;
    match response.status {
        200 => Ok(CloudResponse::Catalog(decode(&response.body)?)),
        status => Err(RequestError::UnexpectedStatus(status)),
    }
}

async fn provision(
    client: &HttpClient,
    request: &ProvisionRequest,
    timeout: Duration,
) -> Result<CloudResponse, RequestError> {
    let body = serde_json::json!(request).to_string();
    let call = client.call(Method::Post, "/machines", Some(body), timeout);
    let response = call.await?;
    match response.status {
        // Ids that cannot be decoded are ignored: the next machine list contains the machines.
        200 => Ok(CloudResponse::Machines(
            decode(&response.body).unwrap_or_default(),
        )),
        status => rejection_outcome(status, &response.body),
    }
}

async fn release(
    client: &HttpClient,
    machines: &MachineIds,
    timeout: Duration,
) -> Result<CloudResponse, RequestError> {
    let body = serde_json::json!(machines).to_string();
    let call = client.call(Method::Post, "/machines/return", Some(body), timeout);
    let response = call.await?;
    match response.status {
        // The body is not needed: status 200 means that all machines were released.
        200 => Ok(CloudResponse::Machines(machines.clone())),
        status => rejection_outcome(status, &response.body),
    }
}

/// Returns the outcome of a change with a status other than 200.
fn rejection_outcome(status: u16, body: &[u8]) -> Result<CloudResponse, RequestError> {
    match status {
        503 if contains_text(body, NO_CAPACITY) => Ok(CloudResponse::NoCapacity),
        _ => Err(RequestError::UnexpectedStatus(status)),
    }
}

/// Reads all pages of the machine list.
async fn list_machines(
    client: &HttpClient,
    timeout: Duration,
) -> Result<CloudResponse, RequestError> {
    let mut pages: Vec<MachineList> = Vec::new();
    loop {
        let page = list_page(client, pages.last(), timeout).await?;
        let is_last = !page.has_more || page.machines.is_empty();
        pages.push(page);
        if is_last {
            return Ok(CloudResponse::List(pages));
        }
    }
}

/// Reads the page of the machine list that follows `previous`, or the first page.
async fn list_page(
    client: &HttpClient,
    previous: Option<&MachineList>,
    timeout: Duration,
) -> Result<MachineList, RequestError> {
    let last = previous.and_then(|page| page.machines.last());
    let since = last.map(|machine| format!("&Since={}", machine.id));
    let since = since.unwrap_or_default();
    let path = format!("/machines?Most={MACHINE_LIST_PAGE_SIZE}{since}");
    let response = client.call(Method::Get, &path, None, timeout).await?;
    match response.status {
        200 => {
            let page: MachineList = decode(&response.body)?;
            check_page_size(page.machines.len(), MACHINE_LIST_PAGE_SIZE)?;
            Ok(page)
        }
        status => Err(RequestError::UnexpectedStatus(status)),
    }
}

#[cfg(test)]
mod tests;
