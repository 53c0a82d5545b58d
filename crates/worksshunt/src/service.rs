//! Wires a controller to the network: events in, actions out.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use async_channel::Sender;
use async_io::{Async, Timer};
use http_types::Method;
use worksshunt_core::capacity::Capacity;
use worksshunt_core::constants::capacity::{
    CLOUD_CONNECTIONS, IDLE_HEARTBEAT_INTERVALS, KV_CONNECTIONS, MIN_IDLE_CONNECTION_MS,
    PEER_CONNECTIONS,
};
use worksshunt_core::constants::fleet::CLOUD_DEADLINE_MS;
use worksshunt_core::constants::partition_sync::SYNC_DEADLINE_MS;
use worksshunt_core::constants::timers::TICK_MS;
use worksshunt_core::constants::workers::DIRECT_COMMAND_DEADLINE_MS;
use worksshunt_core::controller::{Action, Controller, Event};
use worksshunt_core::job_api::{HttpResponse, RequestId};
use worksshunt_core::placement::Parameters;
use worksshunt_core::time::{Now, Time};
use worksshunt_net::client::HttpClient;
use worksshunt_net::peer::PeerClient;
use worksshunt_net::server::Incoming;
use worksshunt_net::worker::Workers;
use worksshunt_net::{cloud, key_value, peer, server, Executor};
use worksshunt_wire::peer::{PeerRequest, PeerResponse};
use worksshunt_wire::settings::Settings;
use worksshunt_wire::ControllerName;

/// Why the service could not run.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// A port could not be opened.
    #[error("cannot listen on {0}: {1}")]
    Listen(String, std::io::Error),
    /// An address is not one; the settings check should have found it.
    #[error("not an address: {0}")]
    Address(String),
}

fn address(text: &str) -> Result<SocketAddr, RunError> {
    text.parse().map_err(|_| RunError::Address(text.to_owned()))
}

fn listen(text: &str) -> Result<Async<TcpListener>, RunError> {
    Async::<TcpListener>::bind(address(text)?)
        .map_err(|error| RunError::Listen(text.to_owned(), error))
}

/// Runs a controller until it is killed.
pub fn run(settings: Settings, parameters: Parameters) -> Result<Infallible, RunError> {
    let users = listen(&settings.client_listen)?;
    let internal = listen(&settings.internal_addr)?;
    let capacity = Capacity::new(&settings);
    let quiet = Duration::from_secs_f64(settings.facts.workers.report_s * IDLE_HEARTBEAT_INTERVALS);
    let idle = quiet.max(Duration::from_millis(MIN_IDLE_CONNECTION_MS));
    let peers = settings
        .known
        .iter()
        .map(|peer| {
            let client = PeerClient::new(address(&peer.endpoint)?);
            Ok((peer.host_name.clone(), client))
        })
        .collect::<Result<_, RunError>>()?;
    tracing::info!(
        name = %settings.host_name, zone = settings.site, listen = settings.client_listen,
        "starting"
    );
    let executor = Rc::new(Executor::new());
    let service = Rc::new(Service {
        executor: Rc::clone(&executor),
        state: HttpClient::new(address(&settings.services.state)?, KV_CONNECTIONS),
        cloud: HttpClient::new(address(&settings.services.cloud)?, CLOUD_CONNECTIONS),
        workers: Workers::new(capacity.worker_connections),
        peers,
        controller: RefCell::new(Controller::new(settings, parameters)),
        started: Instant::now(),
        requests: Cell::new(0),
        waiting: RefCell::new(BTreeMap::new()),
        waiting_peers: RefCell::new(BTreeMap::new()),
    });
    let for_users = Rc::clone(&service);
    let handler: server::Handler = Rc::new(move |incoming| {
        let service = Rc::clone(&for_users);
        Box::pin(async move { service.answer(incoming).await })
    });
    let for_peers = Rc::clone(&service);
    let peer_handler: peer::PeerHandler = Rc::new(move |request| {
        let service = Rc::clone(&for_peers);
        Box::pin(async move { service.answer_peer(request).await })
    });
    executor
        .spawn(server::serve(
            Rc::clone(&executor),
            users,
            capacity.connections,
            idle,
            handler,
        ))
        .detach();
    executor
        .spawn(peer::serve(
            Rc::clone(&executor),
            internal,
            PEER_CONNECTIONS,
            peer_handler,
        ))
        .detach();
    async_io::block_on(executor.run(async {
        loop {
            service.dispatch(Event::Tick);
            Timer::after(Duration::from_millis(TICK_MS)).await;
        }
    }))
}

struct Service {
    executor: Rc<Executor>,
    state: HttpClient,
    cloud: HttpClient,
    workers: Workers,
    peers: BTreeMap<ControllerName, PeerClient>,
    controller: RefCell<Controller>,
    started: Instant,
    requests: Cell<u64>,
    waiting: RefCell<BTreeMap<RequestId, Sender<HttpResponse>>>,
    waiting_peers: RefCell<BTreeMap<RequestId, Sender<PeerResponse>>>,
}

impl Service {
    fn steady(&self) -> Time {
        Time(self.started.elapsed().as_millis() as u64)
    }

    fn now(&self) -> Now {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH);
        Now {
            steady: self.steady(),
            wall_ms: wall.map_or(0, |since| since.as_millis() as u64),
        }
    }

    fn request(&self) -> RequestId {
        self.requests.set(self.requests.get() + 1);
        RequestId(self.requests.get())
    }

    fn dispatch(self: &Rc<Self>, event: Event) {
        let actions = self
            .controller
            .borrow_mut()
            .handle(self.now(), event, &|| self.steady());
        for action in actions {
            self.perform(action);
        }
    }

    fn perform(self: &Rc<Self>, action: Action) {
        match action {
            Action::Respond(request, reply) => {
                if let Some(sender) = self.waiting.borrow_mut().remove(&request) {
                    let _ = sender.try_send(reply);
                }
            }
            Action::RespondToPeer(request, answer) => {
                if let Some(sender) = self.waiting_peers.borrow_mut().remove(&request) {
                    let _ = sender.try_send(answer);
                }
            }
            Action::CallKeyValueStore(tag, op, deadline_ms) => {
                let this = Rc::clone(self);
                let sent = self.steady();
                self.executor
                    .spawn(async move {
                        let deadline = Duration::from_millis(deadline_ms);
                        let reply = key_value::call(&this.state, op, deadline).await;
                        this.dispatch(Event::KeyValueResponse(tag, sent, reply));
                    })
                    .detach();
            }
            Action::CallCloud(request) => {
                let this = Rc::clone(self);
                self.executor
                    .spawn(async move {
                        let deadline = Duration::from_millis(CLOUD_DEADLINE_MS);
                        let reply = cloud::call(&this.cloud, &request, deadline).await;
                        this.dispatch(Event::CloudResponse(request, reply));
                    })
                    .detach();
            }
            Action::SendCommands(orders) => {
                let this = Rc::clone(self);
                self.executor
                    .spawn(async move {
                        let deadline = Duration::from_millis(DIRECT_COMMAND_DEADLINE_MS);
                        let reply = this.workers.call(&orders, deadline).await;
                        this.dispatch(Event::CommandsAnswered(orders, reply));
                    })
                    .detach();
            }
            Action::SendToPeer(to, request) => {
                let this = Rc::clone(self);
                self.executor
                    .spawn(async move {
                        let deadline = Duration::from_millis(SYNC_DEADLINE_MS);
                        let answer = match this.peers.get(&to) {
                            Some(peer) => peer
                                .call(&request, deadline)
                                .await
                                .inspect_err(|error| tracing::debug!(peer = %to, %error, "peer"))
                                .ok(),
                            None => {
                                tracing::error!(peer = %to, "not among the known controllers");
                                None
                            }
                        };
                        match (request, answer) {
                            (PeerRequest::Sync(_), answer) => {
                                this.dispatch(Event::PeerResponse(answer));
                            }
                            (
                                PeerRequest::KeyValueHealth,
                                Some(PeerResponse::KeyValueHealth(well)),
                            ) => {
                                this.dispatch(Event::PeerKeyValueHealth(well));
                            }
                            (
                                PeerRequest::KnownEpoch { .. },
                                Some(PeerResponse::KnownEpoch(known)),
                            ) => this.dispatch(Event::PeerKnownEpoch(to, known)),
                            (PeerRequest::KeyValueHealth | PeerRequest::KnownEpoch { .. }, _) => {}
                        }
                    })
                    .detach();
            }
        }
    }

    async fn answer(self: Rc<Self>, incoming: Incoming) -> HttpResponse {
        let request = self.request();
        let event = match route(request, incoming) {
            Ok(event) => event,
            Err(reply) => return reply,
        };
        let (sender, receiver) = async_channel::bounded(1);
        self.waiting.borrow_mut().insert(request, sender);
        self.dispatch(event);
        receiver
            .recv()
            .await
            .unwrap_or_else(|_| HttpResponse::retry_later("no answer"))
    }

    async fn answer_peer(self: Rc<Self>, request: PeerRequest) -> Option<PeerResponse> {
        let id = self.request();
        let (sender, receiver) = async_channel::bounded(1);
        self.waiting_peers.borrow_mut().insert(id, sender);
        self.dispatch(Event::PeerRequest(id, request));
        receiver.recv().await.ok()
    }
}

/// Finds out what a request wants.
fn route(request: RequestId, incoming: Incoming) -> Result<Event, HttpResponse> {
    let Incoming {
        method, path, body, ..
    } = incoming;
    let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    let Some(body) = body else {
        return Err(HttpResponse::error(400, "body over 64 KiB"));
    };
    let (wanted, event) = match parts.as_slice() {
        ["healthz"] => (Method::Get, Event::Health(request)),
        ["checkin"] => (Method::Post, Event::Heartbeat(request, body)),
        ["v2", "runs"] => (Method::Post, Event::Submit(request, body)),
        ["v2", "runs", id] => (Method::Get, Event::Status(request, (*id).to_owned())),
        ["v2", "runs", id, "withdraw"] => (Method::Post, Event::Cancel(request, (*id).to_owned())),
        _ => return Err(HttpResponse::error(404, "no such path")),
    };
    if method == wanted {
        Ok(event)
    } else {
        Err(HttpResponse::error(405, "wrong method"))
    }
}

#[cfg(test)]
mod tests;
