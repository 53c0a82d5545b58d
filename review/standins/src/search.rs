//! Random troubles, alone and together, and the rules that must hold under them. Used to look for faults; no case
//! starts it.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::cluster::{Cluster, Plan};
use crate::http::call;
use crate::jobs::Job;
use crate::waiting::Verdict;

/// A small generator of random numbers.
struct Random(u64);

impl Random {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % limit
    }
}

#[derive(Default)]
struct Known {
    accepted: bool,
    final_state: Option<String>,
    asked_to_cancel: bool,
    answered_at: Option<Instant>,
}

/// Three small machines of Eindhoven, and room for two more.
pub const PLAN: Plan = Plan {
    zones: &["nube-norte", "nube-sur"],
    machine_type: "kast8",
    cpus: 8.0,
    memory_gb: 64.0,
    teams: &[
        ("calibratie", 4.0, 8.0),
        ("koelwacht", 6.0, 12.0),
        ("firmware", 6.0, 10.0),
    ],
    capacity: &[
        ("nube-norte", false, 2),
        ("nube-norte", true, 2),
        ("nube-sur", false, 1),
        ("nube-sur", true, 2),
    ],
    machines: &[
        ("nube-norte", false),
        ("nube-sur", false),
        ("nube-sur", true),
    ],
    cancel_s: 41.0,
    production: 0,
    objectives: "[]",
};

/// The same in the middle of an upgrade.
pub const UPGRADE_PLAN: Plan = Plan {
    production: 1,
    ..PLAN
};

/// Plays the troubles of the seed in the variable `SEED`.
pub fn run(cluster: &Cluster, _: bool) -> Option<Verdict> {
    let seed = std::env::var("SEED").ok()?.parse().ok()?;
    play(cluster, seed)
}

fn play(cluster: &Cluster, seed: u64) -> Option<Verdict> {
    let known: Mutex<BTreeMap<String, Known>> = Mutex::default();
    let broken: Mutex<Vec<String>> = Mutex::default();
    let started = Instant::now();
    let trouble_s = 70.0;
    let end_s = 108.0;
    let jobs: Mutex<Vec<Job>> = Mutex::default();
    std::thread::scope(|scope| {
        for user in 0..4_u64 {
            let (known, broken, jobs) = (&known, &broken, &jobs);
            scope.spawn(move || {
                users(
                    cluster, seed, user, started, trouble_s, end_s, known, broken, jobs,
                )
            });
        }
        scope.spawn(|| troubles(cluster, seed, started, trouble_s));
    });
    let mut broken = broken.into_inner().ok()?;
    broken.extend(cluster.observer.broken());
    for job in jobs.into_inner().ok()? {
        let known = known.lock().ok()?;
        let state = known.get(&job.id);
        if state.is_some_and(|state| state.accepted && state.final_state.is_none()) {
            cluster.record.line(format!(
                "open at the end: {} completed {} of {}",
                job.id,
                cluster.jobs.completed_tasks(&job.id),
                job.tasks
            ));
        }
    }
    for text in &broken {
        cluster.record.line(format!("BROKEN {text}"));
        println!("seed {seed}: {text}");
    }
    Some(if broken.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}

#[allow(clippy::too_many_arguments)]
fn users(
    cluster: &Cluster,
    seed: u64,
    user: u64,
    started: Instant,
    trouble_s: f64,
    end_s: f64,
    known: &Mutex<BTreeMap<String, Known>>,
    broken: &Mutex<Vec<String>>,
    jobs: &Mutex<Vec<Job>>,
) {
    let mut random = Random(seed * 7_777 + user * 131 + 17);
    let teams = ["calibratie", "koelwacht", "firmware"];
    let mut mine: Vec<Job> = Vec::new();
    let mut number = 0;
    while started.elapsed().as_secs_f64() < end_s {
        std::thread::sleep(Duration::from_millis(100 + random.below(300)));
        let node = random.below(3) as usize;
        let address = cluster.nodes[node].1;
        let action = random.below(10);
        let job = if mine.is_empty() {
            None
        } else {
            Some(mine[random.below(mine.len() as u64) as usize].clone())
        };
        match (action, job) {
            (0 | 1, _) | (_, None) if started.elapsed().as_secs_f64() < trouble_s => {
                number += 1;
                let id = user as u32 * 1_000 + number;
                let mut job = Job::array(
                    id,
                    teams[random.below(3) as usize],
                    1 + random.below(8) as u32,
                    1.0 + random.below(14) as f64,
                );
                job.priority = ["low", "normal", "urgent"][random.below(3) as usize];
                job.spot = random.below(3) > 0;
                match random.below(6) {
                    0 => job.spread = true,
                    1 => job.one_zone = true,
                    2 => job.zone = Some("nube-sur"),
                    3 if random.below(3) == 0 => job.is_mistaken = true,
                    4 if random.below(3) == 0 && cluster.has_services => {
                        (job.kind, job.tasks, job.priority) = ("standing", 2, "prod")
                    }
                    _ => {}
                }
                cluster.jobs.add(&job);
                jobs.lock().unwrap().push(job.clone());
                mine.push(job.clone());
                known.lock().unwrap().entry(job.id.clone()).or_default();
                if user == 0 {
                    // A rush of small jobs, so that they are stored together.
                    std::thread::scope(|scope| {
                        for extra in 0..12_u32 {
                            let mut job =
                                Job::array(10_000 + number * 100 + extra, "firmware", 1, 1.0);
                            job.spot = false;
                            cluster.jobs.add(&job);
                            jobs.lock().unwrap().push(job.clone());
                            known.lock().unwrap().entry(job.id.clone()).or_default();
                            if extra % 4 == 0 {
                                mine.push(job.clone());
                            }
                            scope.spawn(move || {
                                let response = call(
                                    address,
                                    "POST",
                                    "/v2/runs",
                                    Some(&job.body()),
                                    Duration::from_secs(5),
                                );
                                note(cluster, known, broken, &job, "submit", node, response);
                            });
                        }
                    });
                }
                let response = call(
                    address,
                    "POST",
                    "/v2/runs",
                    Some(&job.body()),
                    Duration::from_secs(5),
                );
                note(cluster, known, broken, &job, "submit", node, response);
            }
            (2, Some(job)) => {
                let response = call(
                    address,
                    "POST",
                    "/v2/runs",
                    Some(&job.body()),
                    Duration::from_secs(5),
                );
                note(cluster, known, broken, &job, "submit", node, response);
            }
            (3, Some(job)) if random.below(3) == 0 => {
                known
                    .lock()
                    .unwrap()
                    .entry(job.id.clone())
                    .or_default()
                    .asked_to_cancel = true;
                let path = format!("/v2/runs/{}/withdraw", job.id);
                let response = call(address, "POST", &path, None, Duration::from_secs(5));
                note(cluster, known, broken, &job, "cancel", node, response);
            }
            (4, _) => {
                let path = format!("/v2/runs/j-{:06}", 900_000 + random.below(1000));
                if let Some((200, body)) = call(address, "GET", &path, None, Duration::from_secs(2))
                {
                    broken
                        .lock()
                        .unwrap()
                        .push(format!("invented: {path} {body}"));
                }
            }
            (_, Some(job)) => {
                let path = format!("/v2/runs/{}", job.id);
                let response = call(address, "GET", &path, None, Duration::from_secs(2));
                note(cluster, known, broken, &job, "ask", node, response);
            }
            _ => {}
        }
    }
}

fn note(
    cluster: &Cluster,
    known: &Mutex<BTreeMap<String, Known>>,
    broken: &Mutex<Vec<String>>,
    job: &Job,
    what: &str,
    node: usize,
    response: Option<(u16, Value)>,
) {
    let text = response
        .as_ref()
        .map_or("none".to_owned(), |(status, body)| {
            format!("{status} {body}")
        });
    cluster
        .record
        .line(format!("{what} {} at {node}: {text}", job.id));
    let Some((status, body)) = response else {
        return;
    };
    let mut known = known.lock().unwrap();
    let entry = known.entry(job.id.clone()).or_default();
    let mut broken = broken.lock().unwrap();
    match status {
        200 | 201 => {
            let state = body["Estado"].as_str().unwrap_or_default().to_owned();
            if body["Ref"].as_str() != Some(job.id.as_str()) {
                broken.push(format!("foreign: {} {body}", job.id));
            }
            entry.accepted = true;
            entry.answered_at = Some(Instant::now());
            let is_final = state == "done" || state == "aborted";
            if let Some(before) = &entry.final_state {
                if *before != state {
                    broken.push(format!("went_back: {} from {before} to {state}", job.id));
                }
            }
            if is_final {
                entry.final_state = Some(state.clone());
            }
            if state == "done" && cluster.jobs.completed_tasks(&job.id) < job.tasks {
                broken.push(format!("not_done: {}", job.id));
            }
            if state == "aborted" {
                if !entry.asked_to_cancel {
                    broken.push(format!("went_back: {} is cancelled", job.id));
                }
                cluster.observer.cancelled(&job.id);
            }
        }
        404 if entry.accepted => broken.push(format!("forgotten: {} gets 404", job.id)),
        400 | 422 => broken.push(format!("forgotten: {} gets {status}", job.id)),
        _ => {}
    }
}

fn troubles(cluster: &Cluster, seed: u64, started: Instant, trouble_s: f64) {
    let mut random = Random(seed * 31 + 5);
    while started.elapsed().as_secs_f64() < trouble_s {
        std::thread::sleep(Duration::from_millis(500 + random.below(5_000)));
        let node = if random.below(2) == 0 {
            cluster.leader()
        } else {
            random.below(3) as usize
        };
        let time = Duration::from_secs(2 + random.below(12));
        let machines = cluster.cloud.machines();
        let machine = &machines[random.below(machines.len() as u64) as usize];
        match random.below(17) {
            15 | 16 => {
                let time = Duration::from_secs(5 + random.below(40));
                cluster
                    .record
                    .line(format!("{node} is cut off for {time:?}"));
                cluster.links[node].cut(time);
            }
            14 => {
                cluster.record.line("state refuses the leader, then all");
                cluster.links[cluster.leader()].refuse(Duration::from_secs(52));
                std::thread::sleep(Duration::from_millis(1_000));
                cluster
                    .links
                    .iter()
                    .for_each(|link| link.refuse(Duration::from_secs(50)));
            }
            12 | 13 => {
                if let Some(machine) = machines.iter().find(|machine| machine.spec.spot) {
                    cluster.cloud.take_back(&machine.id);
                    cluster.cloud.add_capacity(&machine.spec.zone, true);
                }
            }
            0 | 1 => {
                cluster.kill_controller(node);
                std::thread::sleep(Duration::from_millis(random.below(5_000)));
                cluster.restart_controller(node);
            }
            2 => {
                (0..3).for_each(|node| cluster.kill_controller(node));
                std::thread::sleep(Duration::from_millis(random.below(5_000)));
                (0..3).for_each(|node| cluster.restart_controller(node));
            }
            3 | 4 => {
                cluster.signal_controller(node, "STOP");
                std::thread::sleep(Duration::from_millis(500 + random.below(9_000)));
                cluster.signal_controller(node, "CONT");
            }
            5 | 6 => {
                cluster
                    .record
                    .line(format!("state refuses {node} for {time:?}"));
                cluster.links[node].refuse(time);
            }
            7 => {
                let time = Duration::from_secs(2 + random.below(25));
                cluster
                    .record
                    .line(format!("state refuses all for {time:?}"));
                cluster.links.iter().for_each(|link| link.refuse(time));
            }
            8 => {
                cluster.record.line("transactions are lost");
                cluster
                    .links
                    .iter()
                    .for_each(|link| link.lost_percent.store(30, Ordering::Relaxed));
                std::thread::sleep(time);
                cluster
                    .links
                    .iter()
                    .for_each(|link| link.lost_percent.store(0, Ordering::Relaxed));
            }
            9 => machine.hang(time * 2),
            10 => machine.deafen(time * 2),
            _ => machine.mute(time * 2),
        }
    }
}
