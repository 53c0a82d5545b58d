//! The environment of the controllers: fakes of the key-value store and the cloud, their listeners and executor, and
//! their common configuration.

use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use async_io::Async;
use worksshunt_net::server::{self, Handler};
use worksshunt_net::Executor;

use super::cloud::Cloud;
use super::controllers::CONTROLLER_COUNT;
use super::key_value_store::KeyValueStore;
use super::observer::TaskObserver;
use crate::MeasureError;

/// Port of the first controller for users and workers; those of the others follow.
pub const FIRST_CONTROLLER_PORT: u16 = 18_000;
/// Port of the key-value store.
pub const KV_STORE_PORT: u16 = 18_100;
/// Port of the cloud.
pub const CLOUD_PORT: u16 = 18_101;
/// Interval between heartbeats of a worker.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(5);
/// Duration of a worker's lease, from the sending of its last answered heartbeat.
pub const WORKER_LEASE: Duration = Duration::from_millis(26_500);
/// Concurrent connections that each fake accepts.
const MAX_CONNECTIONS: usize = 256;
/// Time after which a fake closes an idle connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);
/// Time from the provisioning of a machine until its worker runs.
const BOOT_TIME: Duration = Duration::from_secs(5);

/// Name and address of a controller.
pub struct ControllerAddress {
    /// Host name, as in the settings of all controllers and in the epoch.
    pub name: String,
    /// Address for users and workers.
    pub address: SocketAddr,
}

/// Common configuration of the fakes.
pub struct EnvironmentConfig {
    /// Maximum number of machines that the cloud provisions.
    pub max_machines: usize,
    /// Controllers by index.
    pub controllers: Vec<ControllerAddress>,
    /// Time from the provisioning of a machine until its worker runs.
    pub boot_time: Duration,
    /// Time from the launch of a task to its completion.
    pub task_duration: Duration,
    /// Longest interval between heartbeats of a worker.
    pub heartbeat_interval: Duration,
    /// Duration of a worker's lease, from the sending of its last answered heartbeat.
    pub worker_lease: Duration,
}

/// Address on the loopback interface with this port.
pub fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

/// Starts an HTTP server on a port of the loopback interface.
fn serve(executor: &Rc<Executor>, port: u16, handler: Handler) -> Result<(), MeasureError> {
    let listener = Async::<TcpListener>::bind(address(port))
        .map_err(|error| MeasureError::File(address(port).to_string().into(), error))?;
    let executor = Rc::clone(executor);
    let serving = server::serve(
        Rc::clone(&executor),
        listener,
        MAX_CONNECTIONS,
        IDLE_TIMEOUT,
        handler,
    );
    executor.spawn(serving).detach();
    Ok(())
}

/// Fakes of the services that the controllers use, and their workers.
pub struct Environment {
    /// Common configuration of the fakes.
    pub config: Rc<EnvironmentConfig>,
    /// Executor of all fakes.
    pub executor: Rc<Executor>,
    /// Records the starts and ends of all tasks.
    pub observer: Rc<TaskObserver>,
    /// Fake cloud, which owns the machines and their workers.
    pub cloud: Rc<Cloud>,
    /// Fake key-value store.
    pub store: Rc<KeyValueStore>,
}

impl Environment {
    /// Creates the fakes and starts their servers, for at most `max_machines` machines.
    ///
    /// # Errors
    /// A port is in use.
    pub fn new(max_machines: usize, task_duration: Duration) -> Result<Environment, MeasureError> {
        let controller = |index: u16| ControllerAddress {
            name: format!("n{index}"),
            address: address(FIRST_CONTROLLER_PORT + index),
        };
        let config = Rc::new(EnvironmentConfig {
            max_machines,
            controllers: (0..CONTROLLER_COUNT as u16).map(controller).collect(),
            boot_time: BOOT_TIME,
            task_duration,
            heartbeat_interval: HEARTBEAT_INTERVAL,
            worker_lease: WORKER_LEASE,
        });
        let executor = Rc::new(Executor::new());
        let observer = Rc::new(TaskObserver::default());
        let cloud = Cloud::new(
            Rc::clone(&config),
            Rc::clone(&executor),
            Rc::clone(&observer),
        );
        let environment = Environment {
            config,
            executor,
            observer,
            cloud,
            store: KeyValueStore::new(),
        };
        environment.listen()?;
        Ok(environment)
    }

    fn listen(&self) -> Result<(), MeasureError> {
        let (store, cloud) = (Rc::clone(&self.store), Rc::clone(&self.cloud));
        let store_handler: Handler = Rc::new(move |incoming| Rc::clone(&store).handle(incoming));
        let cloud_handler: Handler = Rc::new(move |incoming| Rc::clone(&cloud).handle(incoming));
        serve(&self.executor, KV_STORE_PORT, store_handler)?;
        serve(&self.executor, CLOUD_PORT, cloud_handler)
    }
}
