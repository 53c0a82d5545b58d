//! Users behind the load balancer: submissions with their retries, and polls.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{call, Response};
use crate::json::Json;
use crate::record::Record;

pub struct Job {
    pub id: String,
    /// `array` or `standing`.
    pub kind: &'static str,
    pub class: &'static str,
    pub team: &'static str,
    pub priority: &'static str,
    pub tasks: u64,
    pub cpus: f64,
    pub ram_gb: f64,
    pub image: String,
    pub image_gb: f64,
    pub types: Option<Vec<String>>,
    /// Whether all tasks must be in the same zone.
    pub needs_single_zone: bool,
    /// Whether the job may use cheap machines.
    pub allows_spot: bool,
    pub estimate_s: f64,
    pub deadline_s: Option<f64>,
}

impl Job {
    pub fn body(&self) -> String {
        let types = match &self.types {
            Some(types) => Json::Arr(types.iter().map(|t| Json::str(t)).collect()),
            None => Json::Null,
        };
        Json::obj(&[
            ("Ref", Json::str(&self.id)),
            ("Carril", Json::str(self.class)),
            ("Cuadrilla", Json::str(self.team)),
            ("Oficio", Json::str(self.kind)),
            ("Turno", Json::str(self.priority)),
            ("Piezas", Json::Int(self.tasks)),
            ("Cores", Json::Num(self.cpus)),
            ("Gpus", Json::Num(0.0)),
            ("RamGb", Json::Num(self.ram_gb)),
            ("Molde", Json::str(&self.image)),
            ("SizeGb", Json::Num(self.image_gb)),
            ("Modelos", types),
            ("Patio", Json::Null),
            ("SamePlace", Json::Bool(self.needs_single_zone)),
            ("Spread", Json::Bool(false)),
            ("Prestados", Json::Bool(self.allows_spot)),
            ("CalculoS", Json::Num(self.estimate_s)),
            ("RespaldoS", Json::Num(0.0)),
            ("GuardadoS", Json::Num(0.0)),
            ("EntregaS", self.deadline_s.map_or(Json::Null, Json::Num)),
        ])
        .encode()
    }
}

/// The load balancer: passes each connection to the next healthy controller.
pub struct Balancer {
    nodes: Vec<SocketAddr>,
    healthy: Mutex<Vec<bool>>,
    next: AtomicUsize,
    record: Arc<Record>,
}

impl Balancer {
    pub fn start(nodes: Vec<SocketAddr>, record: Arc<Record>) -> Arc<Balancer> {
        let balancer = Arc::new(Balancer {
            healthy: Mutex::new(vec![false; nodes.len()]),
            nodes,
            next: AtomicUsize::new(0),
            record,
        });
        for (i, node) in balancer.nodes.clone().into_iter().enumerate() {
            let this = Arc::clone(&balancer);
            thread::spawn(move || {
                let mut failures = 0;
                loop {
                    let answer = call(node, "GET", "/healthz", None, Duration::from_secs(1));
                    let is_healthy = answer.is_some_and(|r| r.status == 200);
                    failures = if is_healthy { 0 } else { failures + 1 };
                    if is_healthy || failures >= 2 {
                        this.healthy.lock().unwrap()[i] = is_healthy;
                    }
                    thread::sleep(Duration::from_secs(1));
                }
            });
        }
        balancer
    }

    pub fn healthy(&self) -> Vec<bool> {
        self.healthy.lock().unwrap().clone()
    }

    /// Sends a request to a healthy controller, the next one if it refuses the connection, three at most.
    pub fn call(
        &self,
        method: &str,
        path: &str,
        body: Option<&str>,
        timeout: Duration,
    ) -> Option<Response> {
        let healthy = self.healthy();
        let first = self.next.fetch_add(1, Ordering::SeqCst);
        let order = (0..self.nodes.len()).map(|k| (first + k) % self.nodes.len());
        for i in order.filter(|i| healthy[*i]).take(3) {
            let answer = call(self.nodes[i], method, path, body, timeout);
            if answer.is_some() {
                return answer;
            }
        }
        None
    }

    /// Submits a job as its user does, for up to 60 s. Returns whether it was accepted.
    pub fn submit(&self, job: &Job) -> bool {
        let (body, until) = (job.body(), Instant::now() + Duration::from_secs(60));
        loop {
            let answer = self.call("POST", "/v2/runs", Some(&body), Duration::from_secs(5));
            let status = answer.as_ref().map(|r| r.status);
            match status {
                Some(200 | 201) => {
                    self.record
                        .line(&format!("user: {} accepted ({} bytes)", job.id, body.len()));
                    return true;
                }
                Some(400 | 422) => {
                    let text = answer.map(|r| r.body).unwrap_or_default();
                    self.record
                        .say(&format!("user: {} refused: {status:?} {text}", job.id));
                    return false;
                }
                _ if Instant::now() >= until => {
                    self.record
                        .say(&format!("user: {} not accepted within 60 s", job.id));
                    return false;
                }
                _ => thread::sleep(Duration::from_secs(1)),
            }
        }
    }

    /// Polls a job once. Returns the status and the state.
    pub fn poll(&self, id: &str) -> Option<(u16, String)> {
        let answer = self.call(
            "GET",
            &format!("/v2/runs/{id}"),
            None,
            Duration::from_secs(2),
        )?;
        let state = Json::parse(answer.body.as_bytes()).map(|b| b.text("Estado").to_owned());
        Some((answer.status, state.unwrap_or_default()))
    }
}
