//! A service is cancelled after the state service has lowered its limits, as the settings have announced.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::http::call;
use crate::platform::{Common, Platform};
use crate::store::{Limits, Store};
use crate::users::{Balancer, Job};
use crate::world::{Config, JobDescription, MachineType, World};
use crate::{Setup, BROKEN, HELD, NOT_RUN};

const TYPES: usize = 110;
const REPLICAS: u64 = 3;
const SUBMITTED_S: f64 = 4.0;
/// The new settings are there, and all controllers are restarted one after the other.
const ROLL_S: [f64; 3] = [10.0, 20.0, 30.0];
const LOWERED_S: f64 = 42.0;
const CANCELLED_S: f64 = 45.0;
/// The user repeats the request for up to 60 s; the rule is judged 62 s after the first one.
const END_S: f64 = CANCELLED_S + 62.0;

const STATE: &str = r#""state":{"rps":150.0,"write_rps":40.0,"value_kb":8.0,"txn_ops":32}"#;
const ANNOUNCED: &str = r#""state":{"rps":150.0,"write_rps":40.0,"value_kb":8.0,"txn_ops":32,"next":{"value_kb":2.0,"txn_ops":10,"write_rps":28.0}}"#;

fn facts() -> String {
    let facts = r#"{"count":3,"zones":["zuid-oost"],
"teams":[{"name":"calibratie","cpus":1000.0,"cpus_max":2000.0,"gpus":0.0,"gpus_max":0.0},
{"name":"koelwacht","cpus":1800.0,"cpus_max":3500.0,"gpus":0.0,"gpus_max":0.0}],
"objectives":[{"kind":"wait","class":"alarm-gateway","within_s":6.0,"share":0.85}],
"workers":{"report_s":2.5,"lease_s":16.0,"gang_wait_s":50.0,"gang_peer_s":4.0,"cancel_s":41.0},
STATE,"cloud":{"rps":6.0,"list_lag_s":6.0},
"limits":{"cpu_share":0.2,"mem_mb":72.0,"sockets":1800},"clock_off_ms":25.0}"#;
    facts.replace('\n', "").replace("STATE", STATE)
}

pub fn run(setup: &Setup) -> i32 {
    let record = &setup.record;
    let types: Vec<String> = (0..TYPES)
        .map(|i| format!("kast8-rek{:02}-plek{:02}", i / 10, i % 10))
        .collect();
    let zone = "zuid-oost".to_owned();
    let machine_types = types.iter().map(|name| MachineType {
        name: name.clone(),
        cpus: 8.0,
        gpus: 0.0,
        ram_gb: 64.0,
        rate: 0.63,
        low_price: 0.2,
        ready_s: 50.0,
        pull_gb_per_s: 1.0,
        zones: vec![zone.clone()],
    });
    let (store, store_address) = Store::start(Limits {
        rps: 150.0,
        write_rps: 40.0,
        value_kb: 8.0,
        txn_ops: 32,
    });
    let (world, cloud_address) = World::start(
        Config {
            types: machine_types.collect(),
            capacity: BTreeMap::new(),
            boot: (Duration::from_secs(50), Duration::from_secs(50)),
            list_lag: Duration::from_secs(6),
            report: Duration::from_millis(2_500),
            lease: Duration::from_secs(16),
            limits: BTreeMap::from([("koelwacht".into(), 3500.0)]),
        },
        Arc::clone(record),
    );
    let common = Common {
        zones: &["zuid-oost"],
        store: store_address,
        cloud: cloud_address,
        facts: facts(),
    };
    let restart = Duration::from_secs(5);
    let platform = Platform::new(
        setup.program,
        setup.temporary,
        3,
        &common,
        72.0,
        restart,
        Arc::clone(record),
    );
    let nodes = platform.addresses();
    world.set_nodes((0..3).map(|i| (format!("estiba-{i}"), nodes[i])).collect());
    for kind in types.iter().take(6) {
        world.add_machines(kind, &zone, false, 1);
    }
    platform.start_all();
    let balancer = Balancer::start(nodes.clone(), Arc::clone(record));
    wait_until(SUBMITTED_S, setup, &platform);
    let job = Job {
        id: "j-003001".into(),
        kind: "standing",
        class: "alarm-gateway",
        team: "koelwacht",
        priority: "prod",
        tasks: REPLICAS,
        cpus: 1.0,
        ram_gb: 6.4,
        image: "img-05".into(),
        image_gb: 1.0,
        types: Some(types.clone()),
        needs_single_zone: false,
        allows_spot: false,
        estimate_s: 0.0,
        deadline_s: None,
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
            run: Duration::from_secs(10_000),
            save: Duration::ZERO,
            has_checkpoints: false,
        },
    );
    if !balancer.submit(&job) {
        return NOT_RUN;
    }
    record.say(&format!(
        "the service is accepted: a body of {} bytes",
        job.body().len()
    ));
    platform.announce(STATE, ANNOUNCED);
    for (i, at) in ROLL_S.into_iter().enumerate() {
        wait_until(at, setup, &platform);
        platform.kill(i);
    }
    wait_until(LOWERED_S, setup, &platform);
    record.say(&format!(
        "{} of {REPLICAS} replicas run; healthy {:?}",
        world.running(),
        balancer.healthy()
    ));
    if world.running() as u64 != REPLICAS || !balancer.healthy().iter().all(|h| *h) {
        return NOT_RUN;
    }
    if setup.has_trouble {
        store.set_limits(Limits {
            rps: 150.0,
            write_rps: 28.0,
            value_kb: 2.0,
            txn_ops: 10,
        });
        record.say("the state service lowers its limits, as announced");
    }
    wait_until(CANCELLED_S, setup, &platform);
    // The user repeats the request until it is answered, for up to 60 s in total.
    let first = Instant::now();
    let (mut told, mut requests, mut polled) = (None, 0u32, 0u32);
    let mut next = Instant::now();
    while record.seconds() < END_S {
        platform.tick();
        if told.is_none() && Instant::now() >= next && first.elapsed() < Duration::from_secs(60) {
            requests += 1;
            let path = format!("/v2/runs/{}/withdraw", job.id);
            let answer = balancer.call("POST", &path, None, Duration::from_secs(5));
            let text = answer.as_ref().map(|r| format!("{} {}", r.status, r.body));
            record.say(&format!("user: cancellation {requests} answered {text:?}"));
            if answer.is_some_and(|r| r.status == 200) {
                told = Some(first.elapsed());
            }
            // Every node is asked for the job's state as well, which shows that it can be reached.
            for node in &nodes {
                let path = format!("/v2/runs/{}", job.id);
                let answer = call(*node, "GET", &path, None, Duration::from_secs(2));
                polled += u32::from(answer.as_ref().is_some_and(|r| r.status == 200));
                record.line(&format!(
                    "user: poll of {node} answered {:?}",
                    answer.map(|r| (r.status, r.body))
                ));
            }
            next = Instant::now() + Duration::from_secs(4);
        }
        thread::sleep(Duration::from_millis(100));
    }
    let left = world.running();
    record.say(&format!("told {told:?} after {requests} requests; {polled} polls answered 200; {left} replicas are on machines at the end"));
    platform.stop_all();
    if told.is_none() {
        world.break_rule(format!(
            "a cancellation is never answered: {requests} requests in 60 s; {left} replicas run on"
        ));
    } else if left > 0 {
        world.break_rule(format!(
            "ran_cancelled: {left} replicas on machines more than 41 s after the user was told"
        ));
    }
    match world.broken().is_empty() {
        true => HELD,
        false => BROKEN,
    }
}

fn wait_until(second: f64, setup: &Setup, platform: &Platform) {
    while setup.record.seconds() < second {
        platform.tick();
        thread::sleep(Duration::from_millis(50));
    }
}
