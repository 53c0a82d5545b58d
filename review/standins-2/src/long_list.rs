//! All controllers crash while the submissions that no leader has split yet exceed a page of the state service.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::platform::{Common, Platform};
use crate::store::{Limits, Store};
use crate::users::{Balancer, Job};
use crate::world::{Config, JobDescription, MachineType, World};
use crate::{Setup, BROKEN, HELD, NOT_RUN};

/// kit/fleet: jobs of both classes at the start of the day.
const JOBS: usize = 305;
/// Names of machine types in a job's list of allowed types.
const TYPES: usize = 110;
const MEMORY_MB: f64 = 128.0;
const RESTART_S: u64 = 5;
/// The controllers crash this long after the first submission.
const CRASH_AFTER: Duration = Duration::from_millis(2_500);
/// Time for the epoch, the leader and the first reports of the workers.
const WARM_UP_S: f64 = 10.0;
/// From the restart to the end of the run.
const WATCHED: Duration = Duration::from_secs(80);

const FACTS: &str = r#"{"count":3,"zones":["zuid-oost"],
"teams":[{"name":"calibratie","cpus":1800.0,"cpus_max":3500.0,"gpus":0.0,"gpus_max":0.0},
{"name":"koelwacht","cpus":3500.0,"cpus_max":6000.0,"gpus":0.0,"gpus_max":0.0}],
"objectives":[{"kind":"deadline","class":"breach-replay","share":0.82,"times":1.0}],
"workers":{"report_s":5.0,"lease_s":26.5,"gang_wait_s":50.0,"gang_peer_s":4.0,"cancel_s":51.5},
"state":{"rps":300.0,"write_rps":70.0,"value_kb":8.0,"txn_ops":32},
"cloud":{"rps":8.0,"list_lag_s":6.0},
"limits":{"cpu_share":0.336,"mem_mb":128.0,"sockets":3003},"clock_off_ms":25.0}"#;

fn type_name(i: usize) -> String {
    format!("kast8-rek{:02}-plek{:02}", i / 10, i % 10)
}

pub fn run(setup: &Setup) -> i32 {
    let record = &setup.record;
    let types: Vec<String> = (0..TYPES).map(type_name).collect();
    let zones = vec!["zuid-oost".to_owned()];
    let machine_types = types.iter().map(|name| MachineType {
        name: name.clone(),
        cpus: 8.0,
        gpus: 0.0,
        ram_gb: 64.0,
        rate: 0.63,
        low_price: 0.2,
        ready_s: 50.0,
        pull_gb_per_s: 1.0,
        zones: zones.clone(),
    });
    let (store, store_address) = Store::start(Limits {
        rps: 300.0,
        write_rps: 70.0,
        value_kb: 8.0,
        txn_ops: 32,
    });
    let (world, cloud_address) = World::start(
        Config {
            types: machine_types.collect(),
            capacity: BTreeMap::new(),
            boot: (Duration::from_secs(50), Duration::from_secs(50)),
            list_lag: Duration::from_secs(6),
            report: Duration::from_secs(5),
            lease: Duration::from_millis(26_500),
            limits: BTreeMap::from([("calibratie".into(), 3500.0), ("koelwacht".into(), 6000.0)]),
        },
        Arc::clone(record),
    );
    let common = Common {
        zones: &["zuid-oost"],
        store: store_address,
        cloud: cloud_address,
        facts: FACTS.replace('\n', ""),
    };
    let restart = Duration::from_secs(RESTART_S);
    let platform = Platform::new(
        setup.program,
        setup.temporary,
        3,
        &common,
        MEMORY_MB,
        restart,
        Arc::clone(record),
    );
    let nodes = platform.addresses();
    world.set_nodes((0..3).map(|i| (format!("estiba-{i}"), nodes[i])).collect());
    // kit/fleet: 52 machines are up at the start; 24 are enough here.
    for (i, kind) in types.iter().enumerate().take(24) {
        world.add_machines(kind, "zuid-oost", i % 2 == 1, 1);
    }
    platform.start_all();
    let balancer = Balancer::start(nodes.clone(), Arc::clone(record));
    let until = Instant::now() + Duration::from_secs(15);
    while !balancer.healthy().iter().all(|h| *h) || store.value("c/epoch").is_none() {
        if Instant::now() > until {
            record.say("the controllers did not become healthy");
            return NOT_RUN;
        }
        platform.tick();
        thread::sleep(Duration::from_millis(100));
    }
    // The leader has served for a while, and the workers have reported.
    while record.seconds() < WARM_UP_S {
        platform.tick();
        thread::sleep(Duration::from_millis(100));
    }
    record.say("all controllers are healthy; the jobs of the start of the day are submitted");
    let accepted = Arc::new(Mutex::new(Vec::new()));
    for i in 0..JOBS {
        // 240 of breach-replay, 65 of probe-sweep.
        let urgent = i % 5 != 0;
        let job = Job {
            id: format!("j-{:06}", 1_000 + i),
            kind: "array",
            class: if urgent {
                "breach-replay"
            } else {
                "probe-sweep"
            },
            team: if urgent { "koelwacht" } else { "calibratie" },
            priority: if urgent { "urgent" } else { "low" },
            tasks: 2,
            cpus: 1.0,
            ram_gb: 6.0,
            image: "img-03".into(),
            image_gb: 0.8,
            types: Some(types.clone()),
            needs_single_zone: false,
            allows_spot: true,
            estimate_s: 4.0,
            deadline_s: Some(300.0),
        };
        world.upload(
            &job.id,
            JobDescription {
                team: job.team.into(),
                tasks: job.tasks,
                cpus: job.cpus,
                gpus: 0.0,
                ram_gb: job.ram_gb,
                image_gb: job.image_gb,
                run: Duration::from_secs(4),
                save: Duration::ZERO,
                has_checkpoints: false,
            },
        );
        let (balancer, accepted) = (Arc::clone(&balancer), Arc::clone(&accepted));
        let spawned = thread::Builder::new()
            .stack_size(256 * 1024)
            .spawn(move || {
                if balancer.submit(&job) {
                    accepted.lock().unwrap().push(job.id);
                }
            });
        if spawned.is_err() {
            return NOT_RUN;
        }
    }
    let submitted = Instant::now();
    while submitted.elapsed() < CRASH_AFTER {
        platform.tick();
        thread::sleep(Duration::from_millis(50));
    }
    let early: Vec<String> = accepted.lock().unwrap().clone();
    let (keys, bytes) = store.size("j/+");
    record.say(&format!(
        "{} jobs accepted; the state service holds {bytes} bytes in {keys} keys of submissions not split yet",
        early.len()
    ));
    if setup.has_trouble {
        for i in 0..3 {
            platform.kill(i);
        }
    }
    // The users' polls, every 5 s for each job, spread over time.
    let start = Instant::now();
    let total = if setup.has_trouble {
        restart + WATCHED
    } else {
        WATCHED
    };
    let mut last_answer = None;
    let (mut polls, mut answered) = (0u64, 0u64);
    let mut next_line = Instant::now();
    let mut next = 0usize;
    let mut states: BTreeMap<String, String> = BTreeMap::new();
    while start.elapsed() < total {
        platform.tick();
        if !early.is_empty() {
            let id = &early[next % early.len()];
            next += 1;
            polls += 1;
            match balancer.poll(id) {
                Some((200, state)) => {
                    answered += 1;
                    last_answer = Some(Instant::now());
                    states.insert(id.clone(), state);
                }
                Some((404, _)) => {
                    world.break_rule(format!("forgotten: {id} was accepted and gets 404"))
                }
                _ => {}
            }
        }
        if Instant::now() >= next_line {
            next_line += Duration::from_secs(5);
            let controllers = platform.controllers.lock().unwrap();
            let held: Vec<String> = controllers
                .iter()
                .map(|c| {
                    format!(
                        "{} up to {:.0} MB, killed for memory {} times",
                        c.name, c.highest_mb, c.killed_for_memory
                    )
                })
                .collect();
            drop(controllers);
            record.say(&format!(
                "healthy {:?}; {answered} of {polls} polls answered; {} of {} tasks done; listings that continue after a key with a plus sign: {}; {}",
                balancer.healthy(), world.counts().0, 2 * early.len(),
                store.plus_listings.load(Ordering::SeqCst), held.join("; ")
            ));
        }
        thread::sleep(Duration::from_millis(20));
    }
    if early.len() < 10 {
        record.say("too few jobs were accepted");
        return NOT_RUN;
    }
    let done_jobs = early
        .iter()
        .filter(|id| world.done_tasks_of(id) >= 2)
        .count();
    let waiting_since = last_answer.map_or(start.elapsed(), |at| at.elapsed());
    record.say(&format!(
        "{done_jobs} of {} accepted jobs have run; the last poll of an accepted job was answered {:.1} s before the end; last query of the state service with a plus sign: {}",
        early.len(), waiting_since.as_secs_f64(), store.last_plus_query.lock().unwrap()
    ));
    let not_run = early.len() - done_jobs;
    platform.stop_all();
    // 60 s after the restart, in which no controller answers and no accepted job runs, is no late answer.
    if waiting_since >= Duration::from_secs(60) && not_run > 0 {
        world.break_rule(format!(
            "accepted work is not run: {not_run} accepted jobs, no answer for {:.0} s",
            waiting_since.as_secs_f64()
        ));
    }
    match world.broken().is_empty() {
        true => HELD,
        false => BROKEN,
    }
}
