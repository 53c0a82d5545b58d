//! The cases, and what they share.

mod claimed;
mod mistaken;
mod reserved;
mod spread;
mod stopped;
mod upgrade;

use std::time::{Duration, Instant};

use crate::cluster::{Cluster, Plan};
use crate::jobs::Job;
use crate::search;
use crate::waiting::Verdict;

/// Plays a case; with `false` without its disruption. `None` if it could not run.
pub type Scenario = fn(&Cluster, bool) -> Option<Verdict>;

/// Machines, teams and times of Eindhoven; two ordinary machines.
const EINDHOVEN: Plan = Plan {
    zones: &["zuid-oost"],
    machine_type: "kast8",
    cpus: 8.0,
    memory_gb: 64.0,
    teams: &[
        ("calibratie", 40.0, 88.0),
        ("koelwacht", 80.0, 152.0),
        ("firmware", 88.0, 264.0),
    ],
    capacity: &[("zuid-oost", false, 2)],
    machines: &[("zuid-oost", false), ("zuid-oost", false)],
    cancel_s: 41.0,
    production: 0,
    objectives: r#"[
        {"kind": "deadline", "class": "probe-sweep", "share": 0.88, "times": 1.0},
        {"kind": "deadline", "class": "probe-sweep", "share": 0.96, "times": 1.5},
        {"kind": "deadline", "class": "breach-replay", "share": 0.88, "times": 1.0},
        {"kind": "deadline", "class": "breach-replay", "share": 0.975, "times": 1.5},
        {"kind": "wait", "class": "breach-replay", "within_s": 40.0, "share": 0.82},
        {"kind": "guarantee", "within_s": 40.0, "share": 0.85}
    ]"#,
};

/// Machines, teams and times of Guadalajara; no machine.
const GUADALAJARA: Plan = Plan {
    zones: &["nube-norte", "nube-sur"],
    machine_type: "caja4",
    cpus: 4.0,
    memory_gb: 8.0,
    teams: &[
        ("conciliacion", 16.0, 48.0),
        ("comercios", 32.0, 64.0),
        ("promociones", 24.0, 48.0),
        ("plataforma", 16.0, 48.0),
    ],
    capacity: &[],
    machines: &[],
    cancel_s: 36.0,
    production: 0,
    objectives: r#"[
        {"kind": "finished", "class": "canje-cierre", "within_s": 200.0, "share": 0.8},
        {"kind": "deadline", "class": "saldo-urgente", "share": 0.85, "times": 1.0},
        {"kind": "finished", "class": "promo-lote", "within_s": 180.0, "share": 0.78},
        {"kind": "finished", "class": "promo-lote", "within_s": 300.0, "share": 0.85},
        {"kind": "guarantee", "within_s": 15.0, "share": 0.8}
    ]"#,
};

/// The deployment and the scenario of a case.
pub fn find(name: &str) -> Option<(Plan, Scenario)> {
    match name {
        "claimed" => Some((claimed::PLAN, claimed::run)),
        "mistaken" => Some((mistaken::PLAN, mistaken::run)),
        "reserved" => Some((reserved::PLAN, reserved::run)),
        "upgrade" => Some((upgrade::PLAN, upgrade::run)),
        "stopped" => Some((stopped::PLAN, stopped::run)),
        "spread" => Some((spread::PLAN, spread::run)),
        "search" => Some((search::PLAN, search::run)),
        "search-upgrade" => Some((search::UPGRADE_PLAN, search::run)),
        _ => None,
    }
}

/// Waits for a condition for at most 25 s.
fn wait_for(cluster: &Cluster, what: &str, is_met: impl Fn() -> bool) -> Option<()> {
    let until = Instant::now() + Duration::from_secs(25);
    while Instant::now() < until {
        if is_met() {
            return Some(());
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    cluster.record.line(format!("waited too long for {what}"));
    None
}

/// Submits a job and waits until all of its tasks are on machines.
fn submit_and_wait(cluster: &Cluster, job: &Job) -> Option<()> {
    cluster.submit(job).then_some(())?;
    let prefix = format!("{}/", job.id);
    wait_for(cluster, &job.id, || {
        let machines = cluster.cloud.machines();
        let tasks = machines.iter().flat_map(|machine| machine.tasks());
        tasks.filter(|(name, _)| name.starts_with(&prefix)).count() == job.tasks as usize
    })
}
