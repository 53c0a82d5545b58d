//! Tests of `connections`, and of a server that has fewer of them than clients.

use std::cell::RefCell;
use std::time::Duration;

use http_types::Method;
use worksshunt_core::users::Reply;

use super::*;
use crate::client::HttpClient;
use crate::server;
use crate::Executor;

#[test]
fn they_run_short_before_they_are_used_up() {
    let connections = Connections::new(16);
    let mut slots: Vec<Slot> = (0..14).filter_map(|_| connections.begin()).collect();
    assert!(!connections.short(), "an eighth is spare");
    slots.extend(connections.begin());
    assert!(connections.short());
    slots.extend(connections.begin());
    assert_eq!(slots.len(), 16);
    assert!(connections.begin().is_none());
    slots.truncate(13);
    assert!(connections.short(), "not to and fro at the border");
    slots.truncate(12);
    assert!(!connections.short());
    slots.extend(connections.begin());
    assert_eq!(slots.len(), 13);
}

// Guards against machines that are never heard because others hold all connections.
#[test]
fn more_clients_than_connections_are_all_served() {
    const CONNECTIONS: usize = 16;
    const CLIENTS: usize = 48;
    let executor = Rc::new(Executor::new());
    let listener =
        async_io::Async::<std::net::TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a port");
    let address = listener.get_ref().local_addr().expect("an address");
    let handler: server::Handler = Rc::new(|_| Box::pin(async { Reply::json(200, &"fine") }));
    let idle = Duration::from_secs(20);
    let serving = server::serve(Rc::clone(&executor), listener, CONNECTIONS, idle, handler);
    executor.spawn(serving).detach();
    let served = Rc::new(RefCell::new(vec![0; CLIENTS]));
    let (done, all_done) = async_channel::unbounded();
    for client in 0..CLIENTS {
        let (served, done) = (Rc::clone(&served), done.clone());
        executor
            .spawn(async move {
                let http = HttpClient::new(address, 1);
                // One at a time at first, as workers do that come up one after the other.
                async_io::Timer::after(Duration::from_millis(client as u64 * 5)).await;
                for _ in 0..3 {
                    let call = http.call(Method::Get, "/healthz", None, Duration::from_secs(2));
                    if matches!(call.await, Ok((200, _))) {
                        served.borrow_mut()[client] += 1;
                    }
                    async_io::Timer::after(Duration::from_millis(100)).await;
                }
                let _ = done.send(()).await;
            })
            .detach();
    }
    async_io::block_on(executor.run(async {
        for _ in 0..CLIENTS {
            all_done.recv().await.expect("a client");
        }
    }));
    assert_eq!(*served.borrow(), vec![3; CLIENTS]);
}
