//! A server on the loopback interface that gives one answer to everything, for tests of clients.

use std::future::Future;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use async_io::Async;
use worksshunt_core::job_api::HttpResponse;

use crate::client::HttpClient;
use crate::{server, Executor};

/// How long a call may take.
pub const DEADLINE: Duration = Duration::from_secs(2);

/// What a client makes of a server's answer.
pub fn with_answer<T, F: Future<Output = T>>(
    reply: HttpResponse,
    ask: impl FnOnce(Rc<HttpClient>) -> F,
) -> T {
    let executor = Rc::new(Executor::new());
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a port");
    let address = listener.get_ref().local_addr().expect("an address");
    let handler: server::Handler = Rc::new(move |_| {
        let reply = reply.clone();
        Box::pin(async move { reply })
    });
    let serving = server::serve(Rc::clone(&executor), listener, 4, DEADLINE, handler);
    executor.spawn(serving).detach();
    let client = Rc::new(HttpClient::new(address, 1));
    async_io::block_on(executor.run(ask(client)))
}
