//! The machines for a large job in one zone come up within two seconds.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::call;
use crate::platform::{Common, Platform};
use crate::store::{Limits, Store};
use crate::users::{Balancer, Job};
use crate::world::{Config, JobDescription, MachineType, World};
use crate::{Setup, BROKEN, HELD, NOT_RUN};

const MACHINES: usize = 28;
const TASKS: u64 = 11_700;
/// 450 tasks on a machine.
const CPUS: f64 = 0.0177;
const RAM_GB: f64 = 0.08;
const SUBMITTED_S: f64 = 5.0;
const END_S: f64 = 95.0;
/// A user gives a request up after 5 s without a response.
const HANG: Duration = Duration::from_secs(5);

const FACTS: &str = r#"{"count":3,"zones":["zuid-oost"],
"teams":[{"name":"calibratie","cpus":40.0,"cpus_max":88.0,"gpus":0.0,"gpus_max":0.0},
{"name":"koelwacht","cpus":80.0,"cpus_max":152.0,"gpus":0.0,"gpus_max":0.0},
{"name":"firmware","cpus":88.0,"cpus_max":264.0,"gpus":0.0,"gpus_max":0.0}],
"objectives":[{"kind":"deadline","class":"probe-sweep","share":0.88,"times":1.0}],
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
    // "usually 0.6 to 1.5 times `ReadyS`"; "at times machines are up within a second or two".
    let boot = match setup.has_trouble {
        true => (Duration::from_millis(1_000), Duration::from_millis(2_000)),
        false => (Duration::from_secs(30), Duration::from_secs(75)),
    };
    let (world, cloud_address) = World::start(
        Config {
            types: vec![MachineType {
                name: "kast8".into(),
                cpus: 8.0,
                gpus: 0.0,
                ram_gb: 64.0,
                rate: 0.63,
                low_price: 0.2,
                ready_s: 50.0,
                pull_gb_per_s: 0.5,
                zones: vec![zone.clone()],
            }],
            capacity: BTreeMap::from([
                (("kast8".into(), zone.clone(), true), MACHINES - 1),
                (("kast8".into(), zone.clone(), false), 1),
            ]),
            boot,
            list_lag: Duration::from_secs(6),
            report: Duration::from_millis(2_500),
            lease: Duration::from_secs(16),
            limits: BTreeMap::from([("firmware".into(), 264.0)]),
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
        72.0,
        restart,
        Arc::clone(record),
    );
    let nodes = platform.addresses();
    world.set_nodes((0..3).map(|i| (format!("estiba-{i}"), nodes[i])).collect());
    world.add_machines("kast8", &zone, false, 1);
    platform.start_all();
    let balancer = Balancer::start(nodes.clone(), Arc::clone(record));
    // When each controller last answered anything, and for how long it has not, each time.
    let answers = Arc::new(Mutex::new(vec![(Instant::now(), Vec::<f64>::new()); 3]));
    for (i, node) in nodes.iter().copied().enumerate() {
        let answers = Arc::clone(&answers);
        thread::spawn(move || loop {
            let answered = call(node, "GET", "/healthz", None, Duration::from_secs(1)).is_some();
            let now = Instant::now();
            let mut answers = answers.lock().unwrap();
            let (last, silences) = &mut answers[i];
            if answered {
                let silence = now.duration_since(*last);
                if silence >= HANG {
                    silences.push(silence.as_secs_f64());
                }
                *last = now;
            }
            drop(answers);
            thread::sleep(Duration::from_millis(500));
        });
    }
    while record.seconds() < SUBMITTED_S {
        platform.tick();
        thread::sleep(Duration::from_millis(50));
    }
    let job = Job {
        id: "j-005001".into(),
        kind: "array",
        class: "probe-sweep",
        team: "firmware",
        priority: "low",
        tasks: TASKS,
        cpus: CPUS,
        ram_gb: RAM_GB,
        image: "img-01".into(),
        image_gb: 0.5,
        types: None,
        needs_single_zone: true,
        allows_spot: true,
        estimate_s: 300.0,
        deadline_s: None,
    };
    world.upload(
        &job.id,
        JobDescription {
            team: job.team.into(),
            tasks: TASKS,
            cpus: CPUS,
            gpus: 0.0,
            ram_gb: RAM_GB,
            image_gb: job.image_gb,
            run: Duration::from_secs(300),
            save: Duration::ZERO,
            has_checkpoints: false,
        },
    );
    if !balancer.submit(&job) {
        return NOT_RUN;
    }
    record.say("the job is accepted");
    let mut next_line = 0.0;
    let (mut started, mut last_start) = (0, Instant::now());
    while record.seconds() < END_S {
        platform.tick();
        if world.starts_of(&job.id) > started {
            started = world.starts_of(&job.id);
            last_start = Instant::now();
        }
        if record.seconds() >= next_line {
            next_line = record.seconds() + 4.0;
            let epoch = store.value("c/epoch");
            let leader = epoch
                .as_ref()
                .and_then(|e| e.get("leader"))
                .map_or("", |l| l.text("name"))
                .to_owned();
            let number = epoch.as_ref().and_then(|e| e.int("number")).unwrap_or(0) >> 20;
            let now = Instant::now();
            let silent: Vec<u64> = answers
                .lock()
                .unwrap()
                .iter()
                .map(|(last, _)| now.duration_since(*last).as_secs())
                .collect();
            record.say(&format!(
                "{} machines; {started} of {TASKS} tasks started; epoch {number} led by {leader}; seconds since each controller answered anything: {silent:?}",
                world.machine_ids().len()
            ));
        }
        thread::sleep(Duration::from_millis(50));
    }
    let silences: Vec<Vec<f64>> = answers
        .lock()
        .unwrap()
        .iter()
        .map(|(_, s)| s.clone())
        .collect();
    let hangs: usize = silences.iter().map(Vec::len).sum();
    let idle = world.machine_ids().len() - world.machines_in_use();
    let epochs = store
        .value("c/epoch")
        .and_then(|e| e.int("number"))
        .unwrap_or(0)
        >> 20;
    record.say(&format!(
        "{started} of {TASKS} tasks started, the last one {:.0} s before the end; {idle} machines have no task; {epochs} epochs; no answer at all for {silences:.1?} s",
        last_start.elapsed().as_secs_f64()
    ));
    let ended: u32 = platform
        .controllers
        .lock()
        .unwrap()
        .iter()
        .map(|c| c.ended_by_itself + c.killed_for_memory)
        .sum();
    platform.stop_all();
    if started == 0 || ended > 0 {
        return NOT_RUN;
    }
    // Three times a controller hung for longer than its own lease and than any user waits.
    if hangs >= 3 {
        world.break_rule(format!("processes hang: {hangs} times no answer at all for 5 s or more, {epochs} epochs, {} tasks of the job wait", TASKS - started as u64));
    }
    match world.broken().is_empty() {
        true => HELD,
        false => BROKEN,
    }
}
