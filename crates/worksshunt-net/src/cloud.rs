//! Client of the cloud: one function per request.
//!
//! The service calls it for each such action of the controller. Any request may be repeated: a provisioning request
//! has a name, and releasing a machine twice is harmless. So an unclear outcome and a refusal are not told apart.

use std::time::Duration;

use http_types::Method;
use worksshunt_core::constants::fleet::MACHINE_LIST_PAGE_SIZE;
use worksshunt_core::controller::CloudResponse;
use worksshunt_core::fleet::CloudRequest;
use worksshunt_wire::cloud::{MachineIds, MachineList, ProvisionRequest};

use crate::client::HttpClient;
use crate::response::{check_page, contains, decode, RequestError};

/// The service, as logs name it.
const SERVICE: &str = "cloud";
/// What the cloud says when it has no machine of that type left in that zone.
const NO_CAPACITY: &str = "no capacity";

/// Carries out one request.
pub async fn call(
    client: &HttpClient,
    request: &CloudRequest,
    deadline: Duration,
) -> CloudResponse {
    let result = match request {
        CloudRequest::ReadCatalog => read_catalog(client, deadline).await,
        CloudRequest::ListMachines => list_machines(client, deadline).await,
        CloudRequest::Provision(request) => provision(client, request, deadline).await,
        CloudRequest::Release(machines) => release(client, machines, deadline).await,
    };
    result.unwrap_or_else(|error| {
        error.log(SERVICE);
        CloudResponse::Failed
    })
}

async fn read_catalog(
    client: &HttpClient,
    deadline: Duration,
) -> Result<CloudResponse, RequestError> {
    let response = client.call(Method::Get, "/catalog", None, deadline).await?;
    match response.status {
        200 => Ok(CloudResponse::Catalog(decode(&response.body)?)),
        status => Err(RequestError::UnexpectedStatus(status)),
    }
}

async fn provision(
    client: &HttpClient,
    request: &ProvisionRequest,
    deadline: Duration,
) -> Result<CloudResponse, RequestError> {
    let body = serde_json::json!(request).to_string();
    let call = client.call(Method::Post, "/machines", Some(body), deadline);
    let response = call.await?;
    match response.status {
        // Names that cannot be read come with the next machine list.
        200 => Ok(CloudResponse::Machines(
            decode(&response.body).unwrap_or_default(),
        )),
        status => rejected(status, &response.body),
    }
}

async fn release(
    client: &HttpClient,
    machines: &MachineIds,
    deadline: Duration,
) -> Result<CloudResponse, RequestError> {
    let body = serde_json::json!(machines).to_string();
    let call = client.call(Method::Post, "/machines/return", Some(body), deadline);
    let response = call.await?;
    match response.status {
        // Only that it was done matters; the body says nothing more.
        200 => Ok(CloudResponse::Machines(machines.clone())),
        status => rejected(status, &response.body),
    }
}

/// The result of a change that was not made.
fn rejected(status: u16, body: &[u8]) -> Result<CloudResponse, RequestError> {
    match status {
        503 if contains(body, NO_CAPACITY) => Ok(CloudResponse::NoCapacity),
        _ => Err(RequestError::UnexpectedStatus(status)),
    }
}

/// The whole machine list, read page by page.
async fn list_machines(
    client: &HttpClient,
    deadline: Duration,
) -> Result<CloudResponse, RequestError> {
    let mut pages: Vec<MachineList> = Vec::new();
    loop {
        let page = list_page(client, pages.last(), deadline).await?;
        let is_last = !page.has_more || page.machines.is_empty();
        pages.push(page);
        if is_last {
            return Ok(CloudResponse::List(pages));
        }
    }
}

/// One page of the machine list, after the last machine of the page before.
async fn list_page(
    client: &HttpClient,
    previous: Option<&MachineList>,
    deadline: Duration,
) -> Result<MachineList, RequestError> {
    let last = previous.and_then(|page| page.machines.last());
    let since = last.map(|machine| format!("&Since={}", machine.id));
    let since = since.unwrap_or_default();
    let path = format!("/machines?Most={MACHINE_LIST_PAGE_SIZE}{since}");
    let response = client.call(Method::Get, &path, None, deadline).await?;
    match response.status {
        200 => {
            let page: MachineList = decode(&response.body)?;
            check_page(page.machines.len(), MACHINE_LIST_PAGE_SIZE)?;
            Ok(page)
        }
        status => Err(RequestError::UnexpectedStatus(status)),
    }
}

#[cfg(test)]
mod tests;
