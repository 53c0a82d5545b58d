//! Three real controllers on the loopback interface, with stand-ins of everything around them.

use std::fs::File;
use std::future::Future;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::pin::Pin;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use http_types::Method;
use serde_json::json;
use worksshunt_core::job_api::HttpResponse;
use worksshunt_net::client::HttpClient;
use worksshunt_net::server::{self, Handler, Incoming};
use worksshunt_net::Executor;
use worksshunt_simulation::{job, large_settings};

use crate::MeasureError;

mod cloud;
mod observer;
mod process;
mod state;
mod worker;

use cloud::Cloud;
use observer::Observer;
use process::Usage;
use state::StateService;

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
/// How long a phase may take.
const PATIENCE: Duration = Duration::from_secs(180);
/// How long a state is watched.
const WATCH: Duration = Duration::from_secs(15);
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
pub fn query<'a>(incoming: &'a Incoming, name: &str) -> Option<&'a str> {
    let mut pairs = incoming.query.iter();
    let found = pairs.find(|(key, _)| key == name);
    found.map(|(_, value)| value.as_str())
}

struct Controllers {
    binary: PathBuf,
    folder: PathBuf,
    children: Vec<Option<Child>>,
}

impl Controllers {
    fn start(&mut self, node: usize) -> Result<(), MeasureError> {
        let log = self.folder.join(format!("n{node}.log"));
        let file = File::options().create(true).append(true).open(&log);
        let file = file.map_err(|error| MeasureError::File(log, error))?;
        let child = Command::new(&self.binary)
            .arg("--config")
            .arg(self.folder.join(format!("n{node}.json")))
            .env("LOG_LEVEL", "info")
            .stderr(file)
            .stdout(Stdio::null())
            .spawn()
            .map_err(|error| MeasureError::File(self.binary.clone(), error))?;
        self.children[node] = Some(child);
        Ok(())
    }

    fn kill(&mut self, node: usize) {
        if let Some(mut child) = self.children[node].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn usage(&self) -> Vec<Usage> {
        let children = self.children.iter();
        children
            .map(|child| {
                child
                    .as_ref()
                    .map_or(Usage::default(), |c| Usage::of(c.id()))
            })
            .collect()
    }
}

impl Drop for Controllers {
    fn drop(&mut self) {
        (0..self.children.len()).for_each(|node| self.kill(node));
    }
}

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn write_settings(folder: &Path, machines: usize, sockets: usize) -> Result<(), MeasureError> {
    let port = |node: usize| CONTROLLERS_PORT + node as u16;
    for node in 0..3 {
        let mut settings = large_settings(node, machines);
        settings.client_listen = address(port(node)).to_string();
        settings.internal_addr = address(port(node) + 10).to_string();
        for peer in &mut settings.known {
            let other: usize = peer.host_name.0[1..].parse().unwrap_or(0);
            peer.endpoint = address(port(other) + 10).to_string();
        }
        settings.services.state = address(STATE_PORT).to_string();
        settings.services.cloud = address(CLOUD_PORT).to_string();
        settings.facts.workers.report_s = 5.0;
        settings.facts.workers.lease_s = 26.5;
        settings.facts.workers.cancel_s = 46.5;
        settings.facts.limits.sockets = sockets;
        let path = folder.join(format!("n{node}.json"));
        let text = json!(settings).to_string();
        std::fs::write(&path, text).map_err(|error| MeasureError::File(path, error))?;
    }
    Ok(())
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
    let begun = Instant::now();
    while begun.elapsed() < PATIENCE {
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

async fn submit_all(plan: &Plan, jobs: u64) {
    for id in 1..=jobs {
        let mut new = job(id, JOB_TASKS);
        new["Cuadrilla"] = json!("white");
        new["CalculoS"] = json!(60.0);
        let node = plan.nodes[(id % 3) as usize].1;
        loop {
            let client = HttpClient::new(node, 1);
            let body = Some(new.to_string());
            let call = client.call(Method::Post, "/v2/runs", body, Duration::from_secs(5));
            if matches!(call.await, Ok((200 | 201, _))) {
                break;
            }
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
    (0..3).try_for_each(|node| controllers.start(node))?;
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

/// Plays a day of real controllers with so many workers, each controller with so many sockets.
pub fn run(
    binary: PathBuf,
    folder: PathBuf,
    machines: usize,
    sockets: usize,
) -> Result<(), MeasureError> {
    std::fs::create_dir_all(&folder).map_err(|e| MeasureError::File(folder.clone(), e))?;
    write_settings(&folder, machines, sockets)?;
    let node = |n: u16| (format!("n{n}"), address(CONTROLLERS_PORT + n));
    let plan = Rc::new(Plan {
        machines,
        nodes: (0..3).map(node).collect(),
        boot: Duration::from_secs(5),
        run: Duration::from_secs(40),
        report: Duration::from_secs(5),
        lease: Duration::from_millis(26_500),
    });
    let executor = Rc::new(Executor::new());
    let observer = Rc::new(Observer::default());
    let cloud = Cloud::new(Rc::clone(&plan), Rc::clone(&executor), Rc::clone(&observer));
    let state = StateService::new();
    serve(
        &executor,
        STATE_PORT,
        Rc::new(move |incoming| Rc::clone(&state).handle(incoming)),
    )?;
    let for_cloud = Rc::clone(&cloud);
    serve(
        &executor,
        CLOUD_PORT,
        Rc::new(move |incoming| Rc::clone(&for_cloud).handle(incoming)),
    )?;
    let controllers = Controllers {
        binary,
        folder,
        children: (0..3).map(|_| None).collect(),
    };
    async_io::block_on(executor.run(play(plan, cloud, observer, controllers)))
}
