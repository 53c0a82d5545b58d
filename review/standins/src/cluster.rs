//! A small deployment: the project's controllers as processes, with the stand-ins around them.

use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use crate::cloud::{Capacity, Cloud};
use crate::http::{bind, call, serve};
use crate::jobs::{Job, Jobs};
use crate::observer::Observer;
use crate::record::Record;
use crate::state::{Limits, Link, State};
use crate::worker::{MachineSpec, Site};

/// Time that users wait for a response to a submission or cancellation, and for one to a question (protocol).
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(5);
const ASK_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which a request is repeated (protocol).
const RETRY_FOR: Duration = Duration::from_secs(60);
/// Time within which the controllers have to take requests.
const START_WITHIN: Duration = Duration::from_secs(20);

/// The version in production, as built by review/build.sh.
const PRODUCTION_PROGRAM: &str = "target/review/production-build/release/worksshunt";

/// What differs between the deployments of the cases.
pub struct Plan {
    pub zones: &'static [&'static str],
    pub machine_type: &'static str,
    pub cpus: f64,
    pub memory_gb: f64,
    /// Name, guarantee and limit of each team, processors.
    pub teams: &'static [(&'static str, f64, f64)],
    pub capacity: &'static [(&'static str, bool, usize)],
    /// Zone and kind of the machines that are up at the start.
    pub machines: &'static [(&'static str, bool)],
    pub cancel_s: f64,
    /// Number of controllers, the last ones, that run the version in production at the start.
    pub production: usize,
    /// The aims of the settings, as JSON.
    pub objectives: &'static str,
}

/// The running deployment. Dropping it ends all processes.
pub struct Cluster {
    pub record: Arc<Record>,
    pub jobs: Arc<Jobs>,
    pub cloud: Arc<Cloud>,
    pub state: Arc<State>,
    pub nodes: Vec<(String, SocketAddr)>,
    pub teams: &'static [(&'static str, f64, f64)],
    /// Whether users may submit services: nothing new is asked before all controllers are replaced.
    pub has_services: bool,
    pub observer: Arc<Observer>,
    /// Connections of the nodes to the state service.
    pub links: Vec<Arc<Link>>,
    processes: Arc<Mutex<Vec<Child>>>,
    folder: PathBuf,
    root: PathBuf,
    /// Controllers from this one on run the version in production.
    first_production: AtomicUsize,
}

/// The command of the deploy file that starts a controller.
fn run_command(root: &Path) -> Vec<String> {
    let text = std::fs::read_to_string(root.join("deploy/service.toml")).expect("deploy file");
    let line = text.lines().find_map(|line| line.strip_prefix("run = "));
    let command = line.expect("run command").trim().trim_matches('"');
    command.split_whitespace().map(str::to_owned).collect()
}

/// Free ports for the controllers, outside the range that the system uses for outgoing connections.
fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let seed = std::process::id().wrapping_mul(2_654_435_761) >> 8;
    (0..20_000)
        .map(|step| 12_000 + ((seed + step * 7) % 20_000) as u16)
        .filter_map(|port| {
            TcpListener::bind(("127.0.0.1", port))
                .ok()?
                .local_addr()
                .ok()
        })
        .take(count)
        .collect()
}

impl Cluster {
    /// Starts the stand-ins and three controllers.
    pub fn start(root: &Path, folder: &Path, record: Arc<Record>, plan: &Plan) -> Cluster {
        let names: Vec<String> = (0..3).map(|index| format!("estiba-{index}")).collect();
        let mut clients = free_addresses(2 * names.len());
        let peers = clients.split_off(names.len());
        let nodes: Vec<(String, SocketAddr)> =
            names.iter().cloned().zip(clients.iter().copied()).collect();
        let jobs = Arc::new(Jobs::default());
        let observer = Arc::new(Observer::new(Arc::clone(&record), plan));
        let links: Vec<Arc<Link>> = names.iter().map(|_| Arc::default()).collect();
        let site = Arc::new(Site {
            nodes: nodes.clone(),
            report_s: 2.5,
            lease_s: 16.0,
            jobs: Arc::clone(&jobs),
            record: Arc::clone(&record),
            observer: Arc::clone(&observer),
            links: links.clone(),
        });
        let state = State::start(Limits {
            rps: 150.0,
            write_rps: 40.0,
            value_kb: 8.0,
            txn_ops: 32,
        });
        let spec = MachineSpec {
            machine_type: plan.machine_type.to_owned(),
            zone: String::new(),
            spot: false,
            cpus: plan.cpus,
            memory_gb: plan.memory_gb,
            fetch_gb_per_s: 0.5,
        };
        let capacity: Capacity = plan
            .capacity
            .iter()
            .map(|(zone, spot, count)| (((*zone).to_owned(), *spot), *count))
            .collect();
        let cloud = Cloud::new(site, spec, plan.zones, Duration::from_secs(2), capacity);
        let cloud_listener = bind();
        let cloud_address = cloud_listener.local_addr().expect("address");
        let mut state_addresses = Vec::new();
        for link in &links {
            let listener = bind();
            state_addresses.push(listener.local_addr().expect("address"));
            serve(listener, state.handler(Arc::clone(link)));
        }
        serve(cloud_listener, cloud.handler());
        for (zone, spot) in plan.machines {
            cloud.add(zone, *spot);
        }
        let processes = Arc::new(Mutex::new(Vec::new()));
        let cluster = Cluster {
            record,
            jobs,
            cloud,
            state,
            nodes,
            teams: plan.teams,
            has_services: plan.production == 0,
            observer,
            links,
            processes,
            folder: folder.to_owned(),
            root: root.to_owned(),
            first_production: AtomicUsize::new(names.len() - plan.production),
        };
        for index in 0..names.len() {
            let known: Vec<Value> = (0..names.len())
                .filter(|other| *other != index)
                .map(|other| {
                    let zone = plan.zones[other % plan.zones.len()];
                    json!({"host_name": names[other], "site": zone, "endpoint": peers[other].to_string()})
                })
                .collect();
            let settings = json!({
                "host_name": names[index], "site": plan.zones[index % plan.zones.len()],
                "client_listen": clients[index].to_string(),
                "internal_addr": peers[index].to_string(), "known": known,
                "services": {"cloud": cloud_address.to_string(), "state": state_addresses[index].to_string()},
                "facts": facts(plan),
            });
            let file = cluster.folder.join(format!("{}.json", names[index]));
            std::fs::write(&file, settings.to_string()).expect("settings file");
            let child = cluster.start_controller(index);
            cluster.processes.lock().expect("processes").push(child);
        }
        cluster
    }

    fn start_controller(&self, index: usize) -> Child {
        let name = &self.nodes[index].0;
        let file = self.folder.join(format!("{name}.json"));
        let log = self.folder.join(format!("{name}.log"));
        let log = File::options()
            .create(true)
            .append(true)
            .open(log)
            .expect("log file");
        let mut command = run_command(&self.root);
        if index >= self.first_production.load(Ordering::Relaxed) && self.has_production() {
            command[0] = PRODUCTION_PROGRAM.to_owned();
        }
        let child = Command::new(self.root.join(&command[0]))
            .args(&command[1..])
            .arg(&file)
            .current_dir(&self.root)
            .env(
                "LOG_LEVEL",
                std::env::var("LOG_LEVEL").unwrap_or_else(|_| "info".to_owned()),
            )
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("controller starts");
        self.record
            .line(format!("controller {name} started: {}", command[0]));
        child
    }

    /// Ends a controller with no signal that it could handle.
    pub fn kill_controller(&self, index: usize) {
        self.record
            .line(format!("controller {} is killed", self.nodes[index].0));
        let mut processes = self.processes.lock().expect("processes");
        let _ = processes[index].kill();
        let _ = processes[index].wait();
    }

    /// Whether the version in production has been built.
    pub fn has_production(&self) -> bool {
        self.root.join(PRODUCTION_PROGRAM).exists()
    }

    /// All controllers come back with the new version from now on.
    pub fn replace_production(&self) {
        self.first_production
            .store(self.nodes.len(), Ordering::Relaxed);
    }

    /// Starts a controller that was killed, with the same settings.
    pub fn restart_controller(&self, index: usize) {
        let child = self.start_controller(index);
        self.processes.lock().expect("processes")[index] = child;
    }

    /// Lets a controller stand still, or go on.
    pub fn signal_controller(&self, index: usize, signal: &str) {
        self.record
            .line(format!("controller {} gets {signal}", self.nodes[index].0));
        let id = self.processes.lock().expect("processes")[index]
            .id()
            .to_string();
        let _ = Command::new("kill").args(["-s", signal, &id]).status();
    }

    /// Index of the leader in the stored epoch.
    pub fn leader(&self) -> usize {
        let epoch = self.state.value("c/epoch").unwrap_or_default();
        let name = epoch["leader"]["name"]
            .as_str()
            .unwrap_or_default()
            .to_owned();
        self.nodes
            .iter()
            .position(|(node, _)| *node == name)
            .unwrap_or(0)
    }

    /// Ends the run with exit code 2, and all processes, after `limit` from now.
    pub fn watch(&self, limit: Duration) {
        let (processes, record) = (Arc::clone(&self.processes), Arc::clone(&self.record));
        std::thread::spawn(move || {
            std::thread::sleep(limit);
            record.line("out of time");
            end_processes(&processes);
            std::process::exit(2);
        });
    }

    /// Waits until all controllers take requests and the epoch has all of them as members.
    pub fn wait_until_ready(&self) -> bool {
        let until = Instant::now() + START_WITHIN;
        while Instant::now() < until {
            let is_healthy = |address: &SocketAddr| {
                matches!(
                    call(*address, "GET", "/healthz", None, ASK_TIMEOUT),
                    Some((200, _))
                )
            };
            let members = self
                .state
                .value("c/epoch")
                .and_then(|epoch| Some(epoch["members"].as_array()?.len()));
            if members == Some(self.nodes.len())
                && self.nodes.iter().all(|(_, address)| is_healthy(address))
            {
                self.record.line("all controllers take requests");
                return true;
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        self.record.line("the controllers do not take requests");
        false
    }

    /// Sends a user's request to the nodes in turn until it gets one of the `final_statuses`.
    fn request(
        &self,
        method: &str,
        path: &str,
        body: Option<&Value>,
        final_statuses: &[u16],
    ) -> Option<(u16, Value)> {
        let until = Instant::now() + RETRY_FOR;
        for (name, address) in self.nodes.iter().cycle() {
            let response = call(*address, method, path, body, SUBMIT_TIMEOUT);
            let text = response
                .as_ref()
                .map_or("no response".to_owned(), |(status, body)| {
                    format!("{status} {body}")
                });
            self.record
                .line(format!("user {method} {path} at {name}: {text}"));
            match response {
                Some((status, _)) if final_statuses.contains(&status) => return response,
                _ if Instant::now() >= until => return None,
                _ => std::thread::sleep(Duration::from_secs(1)),
            }
        }
        None
    }

    /// Submits a job. Returns whether it was accepted.
    pub fn submit(&self, job: &Job) -> bool {
        self.jobs.add(job);
        self.record.line(format!("user submits {}", job.body()));
        let response = self.request("POST", "/v2/runs", Some(&job.body()), &[200, 201, 400, 422]);
        matches!(response, Some((200 | 201, _)))
    }

    /// Cancels a job at one node. Returns whether that was confirmed.
    pub fn cancel_at(&self, id: &str, node: usize) -> bool {
        let (name, address) = &self.nodes[node];
        let path = format!("/v2/runs/{id}/withdraw");
        let response = call(*address, "POST", &path, None, SUBMIT_TIMEOUT);
        self.record
            .line(format!("user POST {path} at {name}: {response:?}"));
        matches!(response, Some((200, _)))
    }

    /// Cancels a job. Returns whether that was confirmed.
    pub fn cancel(&self, id: &str) -> bool {
        let path = format!("/v2/runs/{id}/withdraw");
        matches!(self.request("POST", &path, None, &[200]), Some((200, _)))
    }

    /// Asks once for the state of a job.
    pub fn ask(&self, id: &str, node: usize) -> Option<(u16, Value)> {
        let (name, address) = &self.nodes[node % self.nodes.len()];
        let path = format!("/v2/runs/{id}");
        let response = call(*address, "GET", &path, None, ASK_TIMEOUT);
        let text = response
            .as_ref()
            .map_or("no response".to_owned(), |(status, body)| {
                format!("{status} {body}")
            });
        self.record
            .line(format!("user GET {path} at {name}: {text}"));
        response
    }
}

/// The part of the settings that all controllers share, as for a small deployment.
fn facts(plan: &Plan) -> Value {
    let teams: Vec<Value> = plan
        .teams
        .iter()
        .map(|(name, cpus, cpus_max)| {
            json!({"name": name, "cpus": cpus, "cpus_max": cpus_max, "gpus": 0.0, "gpus_max": 0.0})
        })
        .collect();
    let objectives: Value = serde_json::from_str(plan.objectives).expect("objectives");
    json!({
        "count": 3, "zones": plan.zones, "teams": teams, "objectives": objectives,
        "workers": {"report_s": 2.5, "lease_s": 16.0, "gang_wait_s": 50.0, "gang_peer_s": 4.0, "cancel_s": plan.cancel_s},
        "state": {"rps": 150.0, "write_rps": 40.0, "value_kb": 8.0, "txn_ops": 32},
        "cloud": {"rps": 6.0, "list_lag_s": 6.0},
        "limits": {"cpu_share": 0.2, "mem_mb": 72.0, "sockets": 1800}, "clock_off_ms": 25.0,
    })
}

fn end_processes(processes: &Mutex<Vec<Child>>) {
    for child in processes.lock().expect("processes").iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        end_processes(&self.processes);
    }
}
