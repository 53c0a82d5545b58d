//! Wires a controller to the network: requests and responses in as events, the controller's actions out.
//!
//! Owns the controller, the clients of all outside services and the requests that wait for a response. `main` runs
//! it. Everything is on one thread, so no event comes while another is handled.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::future::Future;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use async_io::{Async, Timer};
use worksshunt_core::capacity::Capacity;
use worksshunt_core::constants::capacity::{
    CLOUD_CONNECTIONS, IDLE_CONNECTION_HEARTBEAT_INTERVALS, KV_CONNECTIONS,
    MIN_IDLE_CONNECTION_TIMEOUT_MS, PEER_CONNECTIONS,
};
use worksshunt_core::constants::fleet::CLOUD_REQUEST_TIMEOUT_MS;
use worksshunt_core::constants::partition_sync::SYNC_TIMEOUT_MS;
use worksshunt_core::constants::timers::TICK_MS;
use worksshunt_core::constants::workers::DIRECT_COMMAND_TIMEOUT_MS;
use worksshunt_core::controller::{Action, Controller, Event, KvPurpose, KvRequest};
use worksshunt_core::fleet::CloudRequest;
use worksshunt_core::job_api::{HttpResponse, RequestId};
use worksshunt_core::machines::DirectCommands;
use worksshunt_core::placement::PlacementParameters;
use worksshunt_core::time::{Now, Time};
use worksshunt_net::client::HttpClient;
use worksshunt_net::peer::PeerClient;
use worksshunt_net::server::HttpRequest;
use worksshunt_net::worker::Workers;
use worksshunt_net::{cloud, key_value, peer, server, Executor};
use worksshunt_wire::peer::{PeerRequest, PeerResponse};
use worksshunt_wire::settings::Settings;
use worksshunt_wire::ControllerName;

use addresses::{listen, parse_address, peer_clients};
use pending_responses::PendingResponses;

mod addresses;
mod pending_responses;
mod routes;

pub use addresses::RunError;

/// How long a connection of a client or worker may be idle: some intervals of a worker's heartbeats.
fn idle_connection_timeout(settings: &Settings) -> Duration {
    let intervals_s =
        settings.facts.workers.heartbeat_interval_s * IDLE_CONNECTION_HEARTBEAT_INTERVALS;
    Duration::from_secs_f64(intervals_s).max(Duration::from_millis(MIN_IDLE_CONNECTION_TIMEOUT_MS))
}

/// Runs a controller until it is killed.
///
/// # Errors
///
/// An address that is not one, or on which it is impossible to listen.
pub fn run(settings: Settings, parameters: PlacementParameters) -> Result<Infallible, RunError> {
    let client_listener = listen(&settings.client_listen)?;
    let peer_listener = listen(&settings.internal_addr)?;
    let capacity = Capacity::new(&settings);
    let idle_timeout = idle_connection_timeout(&settings);
    let peers = peer_clients(&settings.peers)?;
    tracing::info!(
        name = %settings.host_name, zone = settings.zone, listen = settings.client_listen,
        "starting"
    );
    let executor = Rc::new(Executor::new());
    let service = Rc::new(Service {
        executor: Rc::clone(&executor),
        key_value_store: HttpClient::new(
            parse_address(&settings.services.key_value_store)?,
            KV_CONNECTIONS,
        ),
        cloud: HttpClient::new(parse_address(&settings.services.cloud)?, CLOUD_CONNECTIONS),
        workers: Workers::new(capacity.worker_connections),
        peers,
        controller: RefCell::new(Controller::new(settings, parameters)),
        started_at: Instant::now(),
        last_request_id: Cell::new(0),
        pending_clients: PendingResponses::new(),
        pending_peers: PendingResponses::new(),
    });
    service.serve_clients(client_listener, capacity.client_connections, idle_timeout);
    service.serve_peers(peer_listener);
    async_io::block_on(executor.run(async {
        loop {
            service.dispatch(Event::Tick);
            Timer::after(Duration::from_millis(TICK_MS)).await;
        }
    }))
}

/// A controller with its connections.
struct Service {
    executor: Rc<Executor>,
    key_value_store: HttpClient,
    cloud: HttpClient,
    workers: Workers,
    peers: BTreeMap<ControllerName, PeerClient>,
    controller: RefCell<Controller>,
    /// Zero of the controller's steady time.
    started_at: Instant,
    last_request_id: Cell<u64>,
    pending_clients: PendingResponses<HttpResponse>,
    pending_peers: PendingResponses<PeerResponse>,
}

impl Service {
    /// Serves users, workers and health checks.
    fn serve_clients(
        self: &Rc<Self>,
        listener: Async<TcpListener>,
        max_connections: usize,
        idle_timeout: Duration,
    ) {
        let this = Rc::clone(self);
        let handler: server::Handler = Rc::new(move |request| {
            let this = Rc::clone(&this);
            Box::pin(async move { this.handle_client_request(request).await })
        });
        let executor = Rc::clone(&self.executor);
        self.spawn(server::serve(
            executor,
            listener,
            max_connections,
            idle_timeout,
            handler,
        ));
    }

    /// Serves the other controllers.
    fn serve_peers(self: &Rc<Self>, listener: Async<TcpListener>) {
        let this = Rc::clone(self);
        let handler: peer::PeerHandler = Rc::new(move |request| {
            let this = Rc::clone(&this);
            Box::pin(async move { this.handle_peer_request(request).await })
        });
        let executor = Rc::clone(&self.executor);
        self.spawn(peer::serve(executor, listener, PEER_CONNECTIONS, handler));
    }

    fn spawn(&self, future: impl Future<Output = ()> + 'static) {
        self.executor.spawn(future).detach();
    }

    fn steady_time(&self) -> Time {
        Time(self.started_at.elapsed().as_millis() as u64)
    }

    fn now(&self) -> Now {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH);
        Now {
            steady: self.steady_time(),
            wall_ms: wall.map_or(0, |since| since.as_millis() as u64),
        }
    }

    fn next_request_id(&self) -> RequestId {
        self.last_request_id.set(self.last_request_id.get() + 1);
        RequestId(self.last_request_id.get())
    }

    /// Lets the controller handle an event and carries out its actions.
    fn dispatch(self: &Rc<Self>, event: Event) {
        let actions = self
            .controller
            .borrow_mut()
            .handle(self.now(), event, &|| self.steady_time());
        for action in actions {
            self.perform(action);
        }
    }

    fn perform(self: &Rc<Self>, action: Action) {
        match action {
            Action::Respond(id, response) => self.pending_clients.complete(id, response),
            Action::RespondToPeer(id, response) => self.pending_peers.complete(id, response),
            Action::CallKeyValueStore {
                purpose,
                request,
                timeout_ms,
            } => {
                self.call_key_value_store(purpose, request, Duration::from_millis(timeout_ms));
            }
            Action::CallCloud(request) => self.call_cloud(request),
            Action::SendDirectCommands(commands) => self.send_commands(commands),
            Action::SendToPeer(peer, request) => self.send_to_peer(peer, request),
        }
    }

    fn call_key_value_store(
        self: &Rc<Self>,
        purpose: KvPurpose,
        request: KvRequest,
        deadline: Duration,
    ) {
        let this = Rc::clone(self);
        let sent_at = self.steady_time();
        self.spawn(async move {
            let response = key_value::call(&this.key_value_store, request, deadline).await;
            this.dispatch(Event::KeyValueResponse {
                purpose,
                sent_at,
                response,
            });
        });
    }

    fn call_cloud(self: &Rc<Self>, request: CloudRequest) {
        let this = Rc::clone(self);
        self.spawn(async move {
            let deadline = Duration::from_millis(CLOUD_REQUEST_TIMEOUT_MS);
            let response = cloud::call(&this.cloud, &request, deadline).await;
            this.dispatch(Event::CloudResponse(request, response));
        });
    }

    fn send_commands(self: &Rc<Self>, commands: DirectCommands) {
        let this = Rc::clone(self);
        self.spawn(async move {
            let deadline = Duration::from_millis(DIRECT_COMMAND_TIMEOUT_MS);
            let outcome = this.workers.call(&commands, deadline).await;
            this.dispatch(Event::DirectCommandsOutcome(commands, outcome));
        });
    }

    fn send_to_peer(self: &Rc<Self>, peer: ControllerName, request: PeerRequest) {
        let this = Rc::clone(self);
        self.spawn(async move {
            let response = this.call_peer(&peer, &request).await;
            if let Some(event) = peer_event(peer, &request, response) {
                this.dispatch(event);
            }
        });
    }

    async fn call_peer(
        &self,
        peer: &ControllerName,
        request: &PeerRequest,
    ) -> Option<PeerResponse> {
        let Some(client) = self.peers.get(peer) else {
            tracing::error!(%peer, "not among the known controllers");
            return None;
        };
        let deadline = Duration::from_millis(SYNC_TIMEOUT_MS);
        let result = client.call(request, deadline).await;
        result
            .inspect_err(|error| tracing::debug!(%peer, %error, "peer request failed"))
            .ok()
    }

    async fn handle_client_request(self: Rc<Self>, request: HttpRequest) -> HttpResponse {
        let id = self.next_request_id();
        let event = match routes::route(id, request) {
            Ok(event) => event,
            Err(response) => return response,
        };
        let response = self.pending_clients.register(id);
        self.dispatch(event);
        response
            .recv()
            .await
            .unwrap_or_else(|_| HttpResponse::retry_later("no answer"))
    }

    async fn handle_peer_request(self: Rc<Self>, request: PeerRequest) -> Option<PeerResponse> {
        let id = self.next_request_id();
        let response = self.pending_peers.register(id);
        self.dispatch(Event::PeerRequest(id, request));
        response.recv().await.ok()
    }
}

/// The event of a peer's response. The controller has to know of a sync that was not answered; an answer of
/// another kind, or none, to the other requests is none.
fn peer_event(
    peer: ControllerName,
    request: &PeerRequest,
    response: Option<PeerResponse>,
) -> Option<Event> {
    match (request, response) {
        (PeerRequest::Sync(_), response) => Some(Event::PeerSyncResponse(response)),
        (PeerRequest::KeyValueHealth, Some(PeerResponse::KeyValueHealth(is_healthy))) => {
            Some(Event::PeerKeyValueHealth(is_healthy))
        }
        (PeerRequest::EpochPoll { .. }, Some(PeerResponse::EpochPoll(known))) => {
            Some(Event::PeerEpochPollResponse(peer, known))
        }
        (PeerRequest::KeyValueHealth | PeerRequest::EpochPoll { .. }, _) => None,
    }
}
