//! The only machine of a job without an estimate is taken back.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::platform::{Common, Platform};
use crate::store::{Limits, Store};
use crate::users::{Balancer, Job};
use crate::world::{Config, JobDescription, MachineType, World};
use crate::{Setup, BROKEN, HELD, NOT_RUN};

const TASKS: u64 = 2;
const RUN_S: u64 = 40;
const SUBMITTED_S: f64 = 4.0;
const TAKEN_S: f64 = 25.0;
const END_S: f64 = 100.0;

const FACTS: &str = r#"{"count":3,"zones":["nube-norte","nube-sur"],
"teams":[{"name":"conciliacion","cpus":16.0,"cpus_max":48.0,"gpus":0.0,"gpus_max":0.0},
{"name":"comercios","cpus":32.0,"cpus_max":64.0,"gpus":0.0,"gpus_max":0.0},
{"name":"promociones","cpus":24.0,"cpus_max":48.0,"gpus":0.0,"gpus_max":0.0},
{"name":"plataforma","cpus":16.0,"cpus_max":48.0,"gpus":0.0,"gpus_max":0.0}],
"objectives":[{"kind":"finished","class":"canje-cierre","within_s":200.0,"share":0.8},{"kind":"guarantee","within_s":15.0,"share":0.8}],
"workers":{"report_s":2.5,"lease_s":16.0,"gang_wait_s":50.0,"gang_peer_s":5.0,"cancel_s":36.0},
"state":{"rps":200.0,"write_rps":25.0,"value_kb":8.0,"txn_ops":20},
"cloud":{"rps":5.0,"list_lag_s":5.0},
"limits":{"cpu_share":0.08,"mem_mb":56.0,"sockets":1500},"clock_off_ms":25.0}"#;

pub fn run(setup: &Setup) -> i32 {
    let record = &setup.record;
    let zones = ["nube-norte", "nube-sur"];
    let (_store, store_address) = Store::start(Limits {
        rps: 200.0,
        write_rps: 25.0,
        value_kb: 8.0,
        txn_ops: 20,
    });
    let capacity = zones.iter().flat_map(|zone| {
        [(true, 16), (false, 1)]
            .map(|(is_spot, n)| (("caja4".to_owned(), zone.to_string(), is_spot), n))
    });
    let (world, cloud_address) = World::start(
        Config {
            types: vec![MachineType {
                name: "caja4".into(),
                cpus: 4.0,
                gpus: 0.0,
                ram_gb: 8.0,
                rate: 0.27,
                low_price: 0.11,
                ready_s: 25.0,
                pull_gb_per_s: 0.2,
                zones: zones.iter().map(|z| z.to_string()).collect(),
            }],
            capacity: capacity.collect(),
            boot: (Duration::from_secs(25), Duration::from_secs(25)),
            list_lag: Duration::from_secs(5),
            report: Duration::from_millis(2_500),
            lease: Duration::from_secs(16),
            limits: BTreeMap::from([("conciliacion".into(), 48.0)]),
        },
        Arc::clone(record),
    );
    let common = Common {
        zones: &zones,
        store: store_address,
        cloud: cloud_address,
        facts: FACTS.replace('\n', ""),
    };
    let restart = Duration::from_secs(6);
    let platform = Platform::new(
        setup.program,
        setup.temporary,
        3,
        &common,
        56.0,
        restart,
        Arc::clone(record),
    );
    let nodes = platform.addresses();
    world.set_nodes((0..3).map(|i| (format!("estiba-{i}"), nodes[i])).collect());
    world.add_machines("caja4", "nube-norte", true, 1);
    platform.start_all();
    let balancer = Balancer::start(nodes, Arc::clone(record));
    wait_until(SUBMITTED_S, setup, &platform);
    let job = Job {
        id: "j-004001".into(),
        kind: "array",
        class: "canje-cierre",
        team: "conciliacion",
        priority: "normal",
        tasks: TASKS,
        cpus: 2.0,
        ram_gb: 2.0,
        image: "img-01".into(),
        image_gb: 0.4,
        types: None,
        needs_single_zone: false,
        allows_spot: true,
        estimate_s: 0.0,
        deadline_s: None,
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
            run: Duration::from_secs(RUN_S),
            save: Duration::ZERO,
            has_checkpoints: false,
        },
    );
    if !balancer.submit(&job) {
        return NOT_RUN;
    }
    record.say("the job is accepted");
    wait_until(TAKEN_S, setup, &platform);
    record.say(&format!(
        "{} of {TASKS} tasks run on {:?}",
        world.running(),
        world.machine_ids()
    ));
    if world.running() as u64 != TASKS {
        return NOT_RUN;
    }
    if setup.has_trouble {
        for id in world.machine_ids() {
            world.take(&id, "taken back");
            record.say(&format!("the cloud takes {id} back"));
        }
    }
    let mut next = TAKEN_S + 5.0;
    let mut last = String::new();
    while record.seconds() < END_S {
        wait_until(next, setup, &platform);
        next += 5.0;
        let answer = balancer.poll(&job.id);
        last = format!("{answer:?}");
        record.say(&format!(
            "user: poll answered {last}; machines {:?}; rental requests granted or refused so far: {}",
            world.machine_ids(), world.rental_requests()
        ));
    }
    let done = world.done_tasks_of(&job.id);
    record.say(&format!(
        "{done} of {TASKS} tasks are done; {} rental requests; last poll {last}",
        world.rental_requests()
    ));
    platform.stop_all();
    // Three boot times after the loss: no machine is asked for, although the cloud has 34 to rent.
    if done < TASKS && world.rental_requests() == 0 && world.running() == 0 {
        world.break_rule(format!(
            "an accepted job does not run: {} tasks wait for {:.0} s, and no machine is asked for",
            TASKS - done,
            END_S - TAKEN_S
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
