//! Tests of `connections`, and of a server that has fewer of them than clients.

use std::cell::RefCell;
use std::time::Duration;

use http_types::Method;
use worksshunt_core::job_api::HttpResponse;

use super::*;
use crate::client::HttpClient;
use crate::server;
use crate::Executor;

#[test]
fn they_run_short_before_the_limit_is_reached() {
    let connections = Connections::new(16);
    let mut slots: Vec<Slot> = (0..14).filter_map(|_| connections.try_acquire()).collect();
    assert!(!connections.are_short(), "an eighth is spare");
    slots.extend(connections.try_acquire());
    assert!(connections.are_short());
    slots.extend(connections.try_acquire());
    assert_eq!(slots.len(), 16);
    assert!(connections.try_acquire().is_none());
    slots.truncate(13);
    assert!(connections.are_short(), "not to and fro at the border");
    slots.truncate(12);
    assert!(!connections.are_short());
    slots.extend(connections.try_acquire());
    assert_eq!(slots.len(), 13);
}

/// How many of three responses each of `clients` receives from a server with a limit of connections, when they
/// start one after the other with a pause between them.
fn responses(clients: usize, connections: usize, pause: Duration) -> Vec<usize> {
    let executor = Rc::new(Executor::new());
    let listener =
        async_io::Async::<std::net::TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a port");
    let address = listener.get_ref().local_addr().expect("an address");
    let handler: server::Handler =
        Rc::new(|_| Box::pin(async { HttpResponse::json(200, &"fine") }));
    let idle = Duration::from_secs(20);
    let serving = server::serve(Rc::clone(&executor), listener, connections, idle, handler);
    executor.spawn(serving).detach();
    let served = Rc::new(RefCell::new(vec![0; clients]));
    let (done, all_done) = async_channel::unbounded();
    for client in 0..clients {
        let (served, done) = (Rc::clone(&served), done.clone());
        executor
            .spawn(async move {
                let http = HttpClient::new(address, 1);
                async_io::Timer::after(pause * client as u32).await;
                for _ in 0..3 {
                    let call = http.call(Method::Get, "/healthz", None, Duration::from_secs(2));
                    if call.await.is_ok_and(|response| response.status == 200) {
                        served.borrow_mut()[client] += 1;
                    }
                    async_io::Timer::after(Duration::from_millis(100)).await;
                }
                let _ = done.send(()).await;
            })
            .detach();
    }
    async_io::block_on(executor.run(async {
        for _ in 0..clients {
            all_done.recv().await.expect("a client");
        }
    }));
    served.take()
}

// Guards against workers whose heartbeats are never received because others hold all connections. They connect one
// at a time at first, as workers do that start one after the other.
#[test]
fn more_clients_than_connections_are_all_served() {
    let pause = Duration::from_millis(5);
    assert_eq!(responses(48, 16, pause), vec![3; 48]);
}

// On a loaded machine the clients above connected at one moment: a client beyond the limit was accepted and its
// connection dropped without a response.
#[test]
fn a_crowd_that_comes_at_once_is_served_to_the_last() {
    assert_eq!(responses(48, 4, Duration::ZERO), vec![3; 48]);
}
