//! Tests of `cloud`: the bytes of each request, the outcome of each response, paging of the machine list.

use worksshunt_core::job_api::HttpResponse;
use worksshunt_wire::cloud::{Catalog, ListedMachine, ListedState, MachineIds, ProvisionRequest};
use worksshunt_wire::MachineId;

use super::*;
use crate::test_server::{with_exchanges, with_response, Exchange, TIMEOUT};

/// The outcome of a request that is sent with these exchanges.
fn outcome(request: &CloudRequest, exchanges: &[Exchange]) -> CloudResponse {
    with_exchanges(exchanges, |address| async move {
        call(&HttpClient::new(address, 1), request, TIMEOUT).await
    })
}

fn machine_ids(ids: &[&str]) -> MachineIds {
    MachineIds {
        ids: ids.iter().map(|id| MachineId::from(*id)).collect(),
    }
}

#[test]
fn catalog_is_read() {
    let read = |status, body| {
        let exchange = Exchange::new("GET /catalog HTTP/1.1", "", status, body);
        outcome(&CloudRequest::ReadCatalog, &[exchange])
    };
    assert_eq!(
        read(200, r#"{"Modelos":[]}"#),
        CloudResponse::Catalog(Catalog::default())
    );
    assert_eq!(read(200, "{}"), CloudResponse::Failed);
    assert_eq!(read(503, "{}"), CloudResponse::Failed);
}

#[test]
fn machines_are_provisioned() {
    let request = CloudRequest::Provision(ProvisionRequest {
        request_name: "n0.7.12".to_owned(),
        machine_type: "m8".to_owned(),
        zone: "b".to_owned(),
        is_spot: true,
        machine_count: 3,
    });
    let sent = r#"{"Modelo":"m8","Number":3,"Patio":"b","Pedido":"n0.7.12","Prestados":true}"#;
    let provision = |status, body| {
        outcome(
            &request,
            &[Exchange::new("POST /machines HTTP/1.1", sent, status, body)],
        )
    };
    assert_eq!(
        provision(200, r#"{"Estibas":["i-1","i-2"]}"#),
        CloudResponse::Machines(machine_ids(&["i-1", "i-2"]))
    );
    assert_eq!(
        provision(200, "{}"),
        CloudResponse::Machines(machine_ids(&[]))
    );
    assert_eq!(
        provision(503, r#"{"error":"no capacity"}"#),
        CloudResponse::NoCapacity
    );
    assert_eq!(provision(503, "{}"), CloudResponse::Failed);
    assert_eq!(provision(400, "no capacity"), CloudResponse::Failed);
}

#[test]
fn machines_are_released() {
    let request = CloudRequest::Release(machine_ids(&["i-1", "i-2"]));
    let release = |status, body| {
        let sent = r#"{"Estibas":["i-1","i-2"]}"#;
        let line = "POST /machines/return HTTP/1.1";
        outcome(&request, &[Exchange::new(line, sent, status, body)])
    };
    let released = CloudResponse::Machines(machine_ids(&["i-1", "i-2"]));
    assert_eq!(release(200, ""), released);
    assert_eq!(release(200, r#"{"Estibas":["i-1"]}"#), released);
    assert_eq!(release(503, "no capacity"), CloudResponse::NoCapacity);
    assert_eq!(release(500, "{}"), CloudResponse::Failed);
}

#[test]
fn machine_list_is_read_page_by_page() {
    let first_page = r#"{"Estibas":[{"Ref":"i-1","Modelo":"m4","Patio":"a","Prestados":true,"Estado":"running","AgeS":1.0}],"More":true}"#;
    let list = |second_response: (u16, &str)| {
        let exchanges = [
            Exchange::new("GET /machines?Most=500 HTTP/1.1", "", 200, first_page),
            Exchange::new(
                "GET /machines?Most=500&Since=i-1 HTTP/1.1",
                "",
                second_response.0,
                second_response.1,
            ),
        ];
        outcome(&CloudRequest::ListMachines, &exchanges)
    };
    let CloudResponse::List(pages) = list((200, r#"{"Estibas":[],"More":true}"#)) else {
        panic!("no list");
    };
    let lengths: Vec<usize> = pages.iter().map(|page| page.machines.len()).collect();
    assert_eq!(lengths, [1, 0]);
    assert_eq!(list((500, "{}")), CloudResponse::Failed);
    assert_eq!(list((200, "[]")), CloudResponse::Failed);
}

fn page(machines: usize) -> MachineList {
    let machine = |n: usize| ListedMachine {
        id: MachineId(format!("i-{n:06}")),
        machine_type: "m4".into(),
        zone: "a".into(),
        is_spot: true,
        state: ListedState::Running,
        age_s: 1.0,
    };
    MachineList {
        machines: (0..machines).map(machine).collect(),
        has_more: false,
    }
}

/// The response to a list request with a single page of `machines` machines.
fn list_single_page(machines: usize) -> CloudResponse {
    let response = HttpResponse::json(200, &page(machines));
    with_response(response, |client| async move {
        call(&client, &CloudRequest::ListMachines, TIMEOUT).await
    })
}

#[test]
fn page_beyond_the_requested_size_is_rejected() {
    let CloudResponse::List(pages) = list_single_page(MACHINE_LIST_PAGE_SIZE) else {
        panic!("a page of the requested size was rejected");
    };
    assert_eq!(pages[0].machines.len(), MACHINE_LIST_PAGE_SIZE);
    assert_eq!(
        list_single_page(MACHINE_LIST_PAGE_SIZE + 1),
        CloudResponse::Failed
    );
}
