//! Tests of `cloud`: pages of the machine list, against a server on the loopback interface.

use std::rc::Rc;

use async_io::Async;
use worksshunt_core::users::Reply;
use worksshunt_wire::cloud::{ListedMachine, ListedState};
use worksshunt_wire::MachineId;

use super::*;
use crate::{server, Executor};

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
fn listed(machines: usize) -> CloudReply {
    let executor = Rc::new(Executor::new());
    let listener = Async::<std::net::TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a port");
    let address = listener.get_ref().local_addr().expect("an address");
    let page = Rc::new(page(machines));
    let handler: server::Handler = Rc::new(move |_| {
        let page = Rc::clone(&page);
        Box::pin(async move { Reply::json(200, &*page) })
    });
    let serving = server::serve(
        Rc::clone(&executor),
        listener,
        4,
        Duration::from_secs(5),
        handler,
    );
    executor.spawn(serving).detach();
    let client = HttpClient::new(address, 1);
    let listing = call(&client, &CloudRequest::List, Duration::from_secs(2));
    async_io::block_on(executor.run(listing))
}

#[test]
fn a_page_is_taken_up_to_its_limit_and_refused_beyond_it() {
    let CloudReply::List(pages) = listed(CLOUD_PAGE) else {
        panic!("the longest page was refused");
    };
    assert_eq!(pages[0].machines.len(), CLOUD_PAGE);
    assert_eq!(listed(CLOUD_PAGE + 1), CloudReply::Failed);
}
