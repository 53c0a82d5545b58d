//! Tests of `cloud`: pages of the machine list.

use worksshunt_core::job_api::HttpResponse;
use worksshunt_wire::cloud::{ListedMachine, ListedState};
use worksshunt_wire::MachineId;

use super::*;
use crate::test_server::{with_answer, DEADLINE};

fn page(machines: usize) -> MachineList {
    let listed = |n: usize| ListedMachine {
        id: MachineId(format!("i-{n:06}")),
        machine_type: "m4".into(),
        zone: "a".into(),
        spot: true,
        state: ListedState::Running,
        age_s: 1.0,
    };
    MachineList {
        machines: (0..machines).map(listed).collect(),
        more: false,
    }
}

/// What comes of a list whose only page has so many machines.
fn listed(machines: usize) -> CloudResponse {
    let reply = HttpResponse::json(200, &page(machines));
    with_answer(reply, |client| async move {
        call(&client, &CloudRequest::ListMachines, DEADLINE).await
    })
}

#[test]
fn a_page_is_taken_up_to_its_limit_and_refused_beyond_it() {
    let CloudResponse::List(pages) = listed(MACHINE_LIST_PAGE) else {
        panic!("the longest page was refused");
    };
    assert_eq!(pages[0].machines.len(), MACHINE_LIST_PAGE);
    assert_eq!(listed(MACHINE_LIST_PAGE + 1), CloudResponse::NoAnswer);
}
