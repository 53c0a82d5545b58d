//! Tests of `connections`, alone and in a server with more clients than connections.

use std::cell::RefCell;
use std::time::Duration;

use http_types::Method;
use worksshunt_core::job_api::HttpResponse;

use super::*;
use crate::client::HttpClient;
use crate::server;
use crate::Executor;

#[test]
fn near_limit_state_has_hysteresis() {
    let connections = Connections::new(16);
    let mut slots: Vec<ConnectionSlot> =
        (0..14).filter_map(|_| connections.try_acquire()).collect();
    assert!(
        !connections.is_near_limit(),
        "an eighth of the slots stays free"
    );
    slots.extend(connections.try_acquire());
    assert!(connections.is_near_limit());
    slots.extend(connections.try_acquire());
    assert_eq!(slots.len(), 16);
    assert!(connections.try_acquire().is_none());
    slots.truncate(13);
    assert!(
        connections.is_near_limit(),
        "a quarter of the slots has to be free again"
    );
    slots.truncate(12);
    assert!(!connections.is_near_limit());
    slots.extend(connections.try_acquire());
    assert_eq!(slots.len(), 13);
}

/// Number of responses that each client receives to three requests, when the clients of a server with limited
/// connections start `start_interval` apart.
fn responses_per_client(
    clients: usize,
    max_connections: usize,
    start_interval: Duration,
) -> Vec<usize> {
    let executor = Rc::new(Executor::new());
    let listener =
        async_io::Async::<std::net::TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a port");
    let address = listener.get_ref().local_addr().expect("an address");
    let handler: server::Handler =
        Rc::new(|_| Box::pin(async { HttpResponse::json(200, &"fine") }));
    let idle_timeout = Duration::from_secs(20);
    let serving = server::serve(
        Rc::clone(&executor),
        listener,
        max_connections,
        idle_timeout,
        handler,
    );
    executor.spawn(serving).detach();
    let responses = Rc::new(RefCell::new(vec![0; clients]));
    let (finished_sender, finished_clients) = async_channel::unbounded();
    for client in 0..clients {
        let (responses, finished) = (Rc::clone(&responses), finished_sender.clone());
        executor
            .spawn(async move {
                let http = HttpClient::new(address, 1);
                async_io::Timer::after(start_interval * client as u32).await;
                for _ in 0..3 {
                    let call = http.call(Method::Get, "/healthz", None, Duration::from_secs(2));
                    if call.await.is_ok_and(|response| response.status == 200) {
                        responses.borrow_mut()[client] += 1;
                    }
                    async_io::Timer::after(Duration::from_millis(100)).await;
                }
                let _ = finished.send(()).await;
            })
            .detach();
    }
    async_io::block_on(executor.run(async {
        for _ in 0..clients {
            finished_clients.recv().await.expect("a client");
        }
    }));
    responses.take()
}

// Guards against workers that never get a connection because others keep theirs open.
#[test]
fn more_clients_than_connections_are_all_served() {
    let start_interval = Duration::from_millis(5);
    assert_eq!(responses_per_client(48, 16, start_interval), vec![3; 48]);
}

// Guards against connections that are accepted beyond the limit and dropped without a response.
#[test]
fn simultaneous_clients_beyond_the_limit_are_all_served() {
    assert_eq!(responses_per_client(48, 4, Duration::ZERO), vec![3; 48]);
}
