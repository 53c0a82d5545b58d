//! Connects a controller to the network: passes requests and responses to it as events and performs its actions.
//!
//! Owns the controller, the clients of the key-value store, the cloud, the workers and the peers, and the requests
//! that wait for a response. `main` runs it. All tasks run on one thread, so events are handled one at a time.

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
use worksshunt_net::worker::WorkerClients;
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

/// Idle timeout of client and worker connections: several heartbeat intervals of a worker.
fn idle_connection_timeout(settings: &Settings) -> Duration {
    let intervals_s =
        settings.facts.workers.heartbeat_interval_s * IDLE_CONNECTION_HEARTBEAT_INTERVALS;
    Duration::from_secs_f64(intervals_s).max(Duration::from_millis(MIN_IDLE_CONNECTION_TIMEOUT_MS))
}

/// Runs a controller until the process is killed.
///
/// # Errors
///
/// An address in the settings is invalid, or a port cannot be opened.
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
        workers: WorkerClients::new(capacity.worker_connections),
        peers,
        controller: RefCell::new(Controller::new(settings, parameters)),
        started_at: Instant::now(),
        last_request_id: Cell::new(0),
        pending_client_responses: PendingResponses::new(),
        pending_peer_responses: PendingResponses::new(),
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

/// A controller with its connections and its pending requests.
struct Service {
    executor: Rc<Executor>,
    key_value_store: HttpClient,
    cloud: HttpClient,
    workers: WorkerClients,
    peers: BTreeMap<ControllerName, PeerClient>,
    controller: RefCell<Controller>,
    /// Origin of the controller's monotonic time.
    started_at: Instant,
    last_request_id: Cell<u64>,
    pending_client_responses: PendingResponses<HttpResponse>,
    pending_peer_responses: PendingResponses<PeerResponse>,
}

impl Service {
    /// Serves users, workers, health checks and metrics on `listener`.
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

    /// Serves the other controllers on `listener`.
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
            wall_ms: wall.map_or(0, |unix_time| unix_time.as_millis() as u64),
        }
    }

    fn next_request_id(&self) -> RequestId {
        self.last_request_id.set(self.last_request_id.get() + 1);
        RequestId(self.last_request_id.get())
    }

    /// Passes an event to the controller and performs the resulting actions.
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
            Action::Respond(id, response) => self.pending_client_responses.complete(id, response),
            Action::RespondToPeer(id, response) => {
                self.pending_peer_responses.complete(id, response)
            }
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
        timeout: Duration,
    ) {
        let this = Rc::clone(self);
        let sent_at = self.steady_time();
        self.spawn(async move {
            let response = key_value::call(&this.key_value_store, request, timeout).await;
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
            let timeout = Duration::from_millis(CLOUD_REQUEST_TIMEOUT_MS);
            let response = cloud::call(&this.cloud, &request, timeout).await;
            this.dispatch(Event::CloudResponse(request, response));
        });
    }

    fn send_commands(self: &Rc<Self>, commands: DirectCommands) {
        let this = Rc::clone(self);
        self.spawn(async move {
            let timeout = Duration::from_millis(DIRECT_COMMAND_TIMEOUT_MS);
            let outcome = this.workers.send_commands(&commands, timeout).await;
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
            tracing::error!(%peer, "peer is not in the settings; request not sent");
            return None;
        };
        let timeout = Duration::from_millis(SYNC_TIMEOUT_MS);
        let result = client.call(request, timeout).await;
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
        let response = self.pending_client_responses.register(id);
        self.dispatch(event);
        response
            .recv()
            .await
            .unwrap_or_else(|_| HttpResponse::retry_later("no answer"))
    }

    async fn handle_peer_request(self: Rc<Self>, request: PeerRequest) -> Option<PeerResponse> {
        let id = self.next_request_id();
        let response = self.pending_peer_responses.register(id);
        self.dispatch(Event::PeerRequest(id, request));
        response.recv().await.ok()
    }
}

/// Event for the response of a peer, or for its absence. A sync without a response is an event too, as the controller
/// has to process it; other requests without a response of their kind result in no event.
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
        (PeerRequest::EpochPoll { .. }, Some(PeerResponse::EpochPoll(response))) => {
            Some(Event::PeerEpochPollResponse(peer, response))
        }
        (PeerRequest::KeyValueHealth | PeerRequest::EpochPoll { .. }, _) => None,
    }
}
