//! Everything around the controllers: the stand-ins of the key-value store and the cloud, with the listeners and the
//! executor that they run on, and what the stand-ins have in common. The measurements create it.

use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use async_io::Async;
use worksshunt_net::server::{self, Handler};
use worksshunt_net::Executor;

use super::cloud::Cloud;
use super::controllers::CONTROLLERS;
use super::key_value_store::KeyValueStore;
use super::observer::Observer;
use crate::MeasureError;

/// First port of the controllers.
pub const CONTROLLERS_PORT: u16 = 18_000;
/// Port of the key-value store.
pub const KV_STORE_PORT: u16 = 18_100;
/// Port of the cloud.
pub const CLOUD_PORT: u16 = 18_101;
/// Interval of a worker's heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(5);
/// How long a worker's tasks run on after it sent the last heartbeat that was answered.
pub const WORKER_LEASE: Duration = Duration::from_millis(26_500);
/// Connections that a stand-in accepts at once.
const MAX_CONNECTIONS: usize = 256;
/// How long a stand-in keeps an idle connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);
/// How long a machine boots.
const BOOT_TIME: Duration = Duration::from_secs(5);

/// Name and address of a controller.
pub struct Node {
    /// Its name, by which other controllers and the epoch refer to it.
    pub name: String,
    /// Where it serves users and workers.
    pub address: SocketAddr,
}

/// What the stand-ins have in common.
pub struct Plan {
    /// Machines that the cloud provisions at most.
    pub machines: usize,
    /// The controllers, by number.
    pub nodes: Vec<Node>,
    /// How long a machine boots.
    pub boot_time: Duration,
    /// How long a task runs.
    pub task_run: Duration,
    /// Interval of heartbeats.
    pub heartbeat_interval: Duration,
    /// How long tasks run on after the last answered heartbeat.
    pub lease: Duration,
}

/// Address of a port on the loopback interface.
pub fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

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

/// Everything around the controllers.
pub struct Surroundings {
    /// What the stand-ins have in common.
    pub plan: Rc<Plan>,
    /// What the stand-ins run on.
    pub executor: Rc<Executor>,
    /// Observes the tasks of all workers.
    pub observer: Rc<Observer>,
    /// The cloud and its machines.
    pub cloud: Rc<Cloud>,
    /// The key-value store.
    pub store: Rc<KeyValueStore>,
}

impl Surroundings {
    /// Stand-ins that listen, with at most `machines` workers, whose tasks run for `task_run`.
    ///
    /// # Errors
    /// A port is taken.
    pub fn new(machines: usize, task_run: Duration) -> Result<Surroundings, MeasureError> {
        let node = |number: u16| Node {
            name: format!("n{number}"),
            address: address(CONTROLLERS_PORT + number),
        };
        let plan = Rc::new(Plan {
            machines,
            nodes: (0..CONTROLLERS as u16).map(node).collect(),
            boot_time: BOOT_TIME,
            task_run,
            heartbeat_interval: HEARTBEAT_INTERVAL,
            lease: WORKER_LEASE,
        });
        let executor = Rc::new(Executor::new());
        let observer = Rc::new(Observer::default());
        let cloud = Cloud::new(Rc::clone(&plan), Rc::clone(&executor), Rc::clone(&observer));
        let surroundings = Surroundings {
            plan,
            executor,
            observer,
            cloud,
            store: KeyValueStore::new(),
        };
        surroundings.listen()?;
        Ok(surroundings)
    }

    fn listen(&self) -> Result<(), MeasureError> {
        let (store, cloud) = (Rc::clone(&self.store), Rc::clone(&self.cloud));
        let store_handler: Handler = Rc::new(move |incoming| Rc::clone(&store).handle(incoming));
        let cloud_handler: Handler = Rc::new(move |incoming| Rc::clone(&cloud).handle(incoming));
        serve(&self.executor, KV_STORE_PORT, store_handler)?;
        serve(&self.executor, CLOUD_PORT, cloud_handler)
    }
}
