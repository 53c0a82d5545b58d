//! Jobs of small tasks come several times as often, until a machine has more tasks than a report can list.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::platform::{Common, Platform};
use crate::store::{Limits, Store};
use crate::users::{Balancer, Job};
use crate::world::{Config, JobDescription, MachineType, World};
use crate::{Setup, BROKEN, HELD, NOT_RUN};

const MEMORY_MB: f64 = 72.0;
/// kit/sites: 14 jobs of breach-replay a minute, tasks that run around 18 s.
const INTERVAL: Duration = Duration::from_millis(60_000 / 14);
const TASK_S: u64 = 18;
const TASKS: u64 = 140;
/// kit/sites: `job_burst` with `factor = 2.5`, for 100 s at most.
const FACTOR: f64 = 2.5;
const JOBS_FROM_S: f64 = 5.0;
const BURST_FROM_S: f64 = 15.0;
const JOBS_UNTIL_S: f64 = 55.0;
const END_S: f64 = 110.0;

const FACTS: &str = r#"{"count":3,"zones":["zuid-oost"],
"teams":[{"name":"calibratie","cpus":40.0,"cpus_max":88.0,"gpus":0.0,"gpus_max":0.0},
{"name":"koelwacht","cpus":80.0,"cpus_max":152.0,"gpus":0.0,"gpus_max":0.0},
{"name":"firmware","cpus":88.0,"cpus_max":264.0,"gpus":0.0,"gpus_max":0.0}],
"objectives":[{"kind":"deadline","class":"breach-replay","share":0.88,"times":1.0}],
"workers":{"report_s":2.5,"lease_s":16.0,"gang_wait_s":50.0,"gang_peer_s":4.0,"cancel_s":41.0},
"state":{"rps":150.0,"write_rps":40.0,"value_kb":8.0,"txn_ops":32},
"cloud":{"rps":6.0,"list_lag_s":6.0},
"limits":{"cpu_share":0.2,"mem_mb":72.0,"sockets":1800},"clock_off_ms":25.0}"#;

pub fn run(setup: &Setup) -> i32 {
    let record = &setup.record;
    let (store, store_address) = Store::start(Limits {
        rps: 150.0,
        write_rps: 40.0,
        value_kb: 8.0,
        txn_ops: 32,
    });
    let zone = "zuid-oost".to_owned();
    let (world, cloud_address) = World::start(
        Config {
            // The type of the catalog in PROTOCOL.
            types: vec![MachineType {
                name: "g8".into(),
                cpus: 96.0,
                gpus: 8.0,
                ram_gb: 768.0,
                rate: 12.0,
                low_price: 4.5,
                ready_s: 45.0,
                pull_gb_per_s: 1.0,
                zones: vec![zone.clone()],
            }],
            capacity: BTreeMap::from([
                (("g8".into(), zone.clone(), true), 3),
                (("g8".into(), zone.clone(), false), 1),
            ]),
            boot: (Duration::from_secs(45), Duration::from_secs(45)),
            list_lag: Duration::from_secs(6),
            report: Duration::from_millis(2_500),
            lease: Duration::from_secs(16),
            limits: BTreeMap::from([("koelwacht".into(), 152.0)]),
        },
        Arc::clone(record),
    );
    let common = Common {
        zones: &["zuid-oost"],
        store: store_address,
        cloud: cloud_address,
        facts: FACTS.replace('\n', ""),
    };
    let restart = Duration::from_secs(5);
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
    world.add_machines("g8", &zone, true, 1);
    platform.start_all();
    let balancer = Balancer::start(nodes, Arc::clone(record));
    let accepted = Arc::new(Mutex::new(BTreeMap::new()));
    let mut number = 0u64;
    let mut next_job = JOBS_FROM_S;
    let mut next_line = 0.0;
    while record.seconds() < END_S {
        platform.tick();
        let now = record.seconds();
        if now >= next_job && now < JOBS_UNTIL_S {
            let is_burst = setup.has_trouble && now >= BURST_FROM_S;
            next_job += INTERVAL.as_secs_f64() / if is_burst { FACTOR } else { 1.0 };
            number += 1;
            submit(number, &world, &balancer, &accepted);
        }
        if now >= next_line {
            next_line += 5.0;
            let (done, starts, killed) = world.counts();
            record.say(&format!(
                "{number} jobs submitted, {} accepted; {} tasks run, {done} done, {starts} starts, {killed} killed because a lease ran out; {} machines; healthy {:?}",
                accepted.lock().unwrap().len(), world.running(), world.machine_ids().len(), balancer.healthy()
            ));
        }
        thread::sleep(Duration::from_millis(50));
    }
    if store.value("c/epoch").is_none() || accepted.lock().unwrap().len() < 5 {
        return NOT_RUN;
    }
    let (done, starts, killed) = world.counts();
    let accepted = accepted.lock().unwrap().clone();
    let late: Vec<&String> = accepted
        .iter()
        .filter(|(id, at): &(&String, &Instant)| {
            at.elapsed().as_secs() >= 50 && world.done_tasks_of(id) < TASKS
        })
        .map(|(id, _)| id)
        .collect();
    record.say(&format!("{done} tasks done in {starts} starts, {killed} killed; not done 50 s after they were accepted: {late:?}"));
    platform.stop_all();
    if killed > 0 && !late.is_empty() {
        world.break_rule(format!("accepted work is lost: {killed} running tasks were killed on machines that were well, {} jobs are not done", late.len()));
    }
    match world.broken().is_empty() {
        true => HELD,
        false => BROKEN,
    }
}

fn submit(
    number: u64,
    world: &World,
    balancer: &Arc<Balancer>,
    accepted: &Arc<Mutex<BTreeMap<String, Instant>>>,
) {
    let job = Job {
        id: format!("j-{:06}", 2_000 + number),
        kind: "array",
        class: "breach-replay",
        team: "koelwacht",
        priority: "urgent",
        tasks: TASKS,
        cpus: 0.1,
        ram_gb: 0.5,
        image: "img-01".into(),
        image_gb: 0.8,
        types: None,
        needs_single_zone: false,
        allows_spot: true,
        estimate_s: TASK_S as f64,
        deadline_s: Some(60.0),
    };
    world.upload(
        &job.id,
        JobDescription {
            team: job.team.into(),
            tasks: TASKS,
            cpus: job.cpus,
            gpus: 0.0,
            ram_gb: job.ram_gb,
            image_gb: job.image_gb,
            run: Duration::from_secs(TASK_S),
            save: Duration::ZERO,
            has_checkpoints: false,
        },
    );
    let (balancer, accepted) = (Arc::clone(balancer), Arc::clone(accepted));
    thread::spawn(move || {
        if balancer.submit(&job) {
            accepted.lock().unwrap().insert(job.id, Instant::now());
        }
    });
}
