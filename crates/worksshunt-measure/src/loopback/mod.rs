//! Three real controllers on the loopback interface, with stand-ins of everything around them.

use std::future::Future;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use http_types::Method;
use serde_json::{json, Value};
use worksshunt_core::job_api::HttpResponse;
use worksshunt_net::client::HttpClient;
use worksshunt_net::server::{self, Handler, HttpRequest};
use worksshunt_net::Executor;
use worksshunt_simulation::job;

use crate::MeasureError;

mod cloud;
mod controllers;
mod key_value_store;
mod observer;
mod process;
pub mod upgrade;
mod verdict;
mod worker;

use cloud::Cloud;
use controllers::{Controllers, CONTROLLERS};
use key_value_store::StateService;
use observer::Observer;
use process::Usage;

/// The future of an answer.
pub type Handled = Pin<Box<dyn Future<Output = HttpResponse>>>;

/// Tasks that a machine holds.
pub const TASKS_EACH: usize = 4;
/// Tasks of a job.
const JOB_TASKS: u32 = 200;
/// First port of the controllers, and ports of the stand-ins.
const CONTROLLERS_PORT: u16 = 18_000;
const STATE_PORT: u16 = 18_100;
const CLOUD_PORT: u16 = 18_101;
/// Connections that a stand-in takes.
const CONNECTIONS: usize = 256;
/// How long a task runs.
const RUN: Duration = Duration::from_secs(40);
/// How long a machine boots.
const BOOT: Duration = Duration::from_secs(5);
/// Interval of a worker's reports, and how long its tasks outlive the last one that was answered.
const REPORT: Duration = Duration::from_secs(5);
const LEASE: Duration = Duration::from_millis(26_500);
/// How long after a cancellation tasks may be left, seconds.
const CANCEL_S: f64 = 46.5;
/// How long a phase may take.
const PATIENCE: Duration = Duration::from_secs(180);
/// How long a state is watched.
const WATCH: Duration = Duration::from_secs(15);
/// How long a user waits for an answer (protocol).
const SUBMIT_ANSWER: Duration = Duration::from_secs(5);
/// Run time of a task that the owner of a job of the measurement names, seconds.
const ESTIMATE_S: f64 = 60.0;
/// How often is looked whether something has come about.
const LOOK: Duration = Duration::from_millis(250);

/// What is played.
pub struct Plan {
    /// Machines of the cloud.
    pub machines: usize,
    /// Names and addresses of the controllers.
    pub nodes: Vec<(String, SocketAddr)>,
    /// How long a machine boots, and a task runs.
    pub boot: Duration,
    pub run: Duration,
    /// Interval of reports, and the lease.
    pub report: Duration,
    pub lease: Duration,
}

/// The answer to a request that is not one of the protocol.
pub fn malformed() -> HttpResponse {
    HttpResponse::error(400, "malformed")
}

/// A value of a request's query.
pub fn query<'a>(request: &'a HttpRequest, name: &str) -> Option<&'a str> {
    request.query_value(name)
}

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn serve(executor: &Rc<Executor>, port: u16, handler: Handler) -> Result<(), MeasureError> {
    let listener = Async::<std::net::TcpListener>::bind(address(port))
        .map_err(|error| MeasureError::File(address(port).to_string().into(), error))?;
    let idle = Duration::from_secs(120);
    let serving = server::serve(Rc::clone(executor), listener, CONNECTIONS, idle, handler);
    executor.spawn(serving).detach();
    Ok(())
}

/// Waits until something holds; how long that took, none if it did not come about.
async fn until(holds: impl Fn() -> bool) -> Option<Duration> {
    until_within(PATIENCE, holds).await
}

/// The same with a bound of its own.
async fn until_within(patience: Duration, holds: impl Fn() -> bool) -> Option<Duration> {
    let begun = Instant::now();
    while begun.elapsed() < patience {
        if holds() {
            return Some(begun.elapsed());
        }
        Timer::after(LOOK).await;
    }
    None
}

fn told(took: Option<Duration>) -> String {
    took.map_or("not in time".to_owned(), |took| {
        format!("{:.1} s", took.as_secs_f64())
    })
}

/// A job of the team that has no limit.
fn unlimited_job(id: u64, tasks: u32, estimate_s: f64) -> Value {
    let mut new = job(id, tasks);
    new["Cuadrilla"] = json!("white");
    new["CalculoS"] = json!(estimate_s);
    new
}

/// Submits a job to a controller once; whether it was accepted.
async fn submit(node: SocketAddr, new: &Value) -> bool {
    let client = HttpClient::new(node, 1);
    let body = Some(new.to_string());
    let call = client.call(Method::Post, "/v2/runs", body, SUBMIT_ANSWER);
    matches!(call.await, Ok((200 | 201, _)))
}

async fn submit_all(plan: &Plan, jobs: u64) {
    for id in 1..=jobs {
        let new = unlimited_job(id, JOB_TASKS, ESTIMATE_S);
        let node = plan.nodes[id as usize % CONTROLLERS].1;
        while !submit(node, &new).await {
            Timer::after(LOOK).await;
        }
    }
}

fn tell_usage(what: &str, controllers: &Controllers, before: &[Usage], over: Duration) {
    for (node, (now, before)) in controllers.usage().iter().zip(before).enumerate() {
        if now.memory_mb > 0.0 {
            println!("{what}: n{node} {}", now.told_since(before, over));
        }
    }
}

async fn watch(what: &str, controllers: &Controllers) {
    let before = controllers.usage();
    Timer::after(WATCH).await;
    tell_usage(what, controllers, &before, WATCH);
}

async fn play(
    plan: Rc<Plan>,
    cloud: Rc<Cloud>,
    observer: Rc<Observer>,
    mut controllers: Controllers,
) -> Result<(), MeasureError> {
    (0..CONTROLLERS).try_for_each(|node| controllers.start(node))?;
    let tasks = plan.machines * TASKS_EACH;
    let jobs = (tasks * 2).div_ceil(JOB_TASKS as usize) as u64;
    submit_all(&plan, jobs).await;
    let full = || observer.seen().running.len() >= tasks * 9 / 10;
    println!(
        "{} machines, nine tenths full: {}",
        plan.machines,
        told(until(full).await)
    );
    let up = cloud
        .machines
        .borrow()
        .values()
        .filter(|(w, _)| w.is_up())
        .count();
    println!("workers up: {up}");
    watch("three controllers", &controllers).await;
    controllers.kill(0);
    controllers.kill(1);
    let (begun, before): (Instant, Vec<u64>) = {
        let machines = cloud.machines.borrow();
        (
            Instant::now(),
            machines.values().map(|(w, _)| w.answered.get()).collect(),
        )
    };
    let alone = || {
        let machines = cloud.machines.borrow();
        let answered = machines.values().zip(&before);
        let at_last =
            answered.filter(|((w, _), before)| w.node.get() == 2 && w.answered.get() > **before);
        at_last.count() >= machines.len() * 99 / 100
    };
    println!(
        "one controller answers 99% of the workers: {}",
        told(until(alone).await)
    );
    watch("one alone", &controllers).await;
    controllers.start(0)?;
    controllers.start(1)?;
    let all = jobs as usize * JOB_TASKS as usize;
    let done = || observer.seen().completed.len() >= all;
    println!("all {all} tasks completed: {}", told(until(done).await));
    let seen = observer.seen().clone();
    println!(
        "starts {}, completed {}, ran twice {}, {:.0} s after the two ended",
        seen.starts,
        seen.completed.len(),
        seen.ran_twice,
        begun.elapsed().as_secs_f64()
    );
    Ok(())
}

/// Everything around the controllers.
struct Surroundings {
    plan: Rc<Plan>,
    executor: Rc<Executor>,
    observer: Rc<Observer>,
    cloud: Rc<Cloud>,
    state: Rc<StateService>,
}

impl Surroundings {
    /// Stand-ins that listen, with so many workers whose tasks run that long.
    fn new(machines: usize, run: Duration) -> Result<Surroundings, MeasureError> {
        let node = |n: u16| (format!("n{n}"), address(CONTROLLERS_PORT + n));
        let plan = Rc::new(Plan {
            machines,
            nodes: (0..CONTROLLERS as u16).map(node).collect(),
            boot: BOOT,
            run,
            report: REPORT,
            lease: LEASE,
        });
        let executor = Rc::new(Executor::new());
        let observer = Rc::new(Observer::default());
        let cloud = Cloud::new(Rc::clone(&plan), Rc::clone(&executor), Rc::clone(&observer));
        let around = Surroundings {
            plan,
            executor,
            observer,
            cloud,
            state: StateService::new(),
        };
        around.listen()?;
        Ok(around)
    }

    fn listen(&self) -> Result<(), MeasureError> {
        let (state, cloud) = (Rc::clone(&self.state), Rc::clone(&self.cloud));
        let for_state: Handler = Rc::new(move |incoming| Rc::clone(&state).handle(incoming));
        let for_cloud: Handler = Rc::new(move |incoming| Rc::clone(&cloud).handle(incoming));
        serve(&self.executor, STATE_PORT, for_state)?;
        serve(&self.executor, CLOUD_PORT, for_cloud)
    }
}

/// Plays a day of real controllers with so many workers, each controller with so many sockets.
pub fn run(
    binary: &Path,
    folder: PathBuf,
    machines: usize,
    sockets: usize,
) -> Result<(), MeasureError> {
    let controllers = Controllers::new(folder, binary, machines, sockets)?;
    let around = Surroundings::new(machines, RUN)?;
    let (plan, cloud, observer) = (around.plan, around.cloud, around.observer);
    let playing = play(plan, cloud, observer, controllers);
    async_io::block_on(around.executor.run(playing))
}
