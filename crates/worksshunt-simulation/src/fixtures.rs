//! Settings, machine catalog and jobs for simulations.

use serde_json::{json, Value};
use worksshunt_wire::cloud::Catalog;
use worksshunt_wire::settings::Settings;
use worksshunt_wire::JobId;

use crate::MACHINE_CPUS;

/// Returns the settings of one of the three controllers of a small deployment.
pub fn settings(controller: usize) -> Settings {
    let peer = |n: usize| json!({"host_name": format!("n{n}"), "site": "a", "endpoint": format!("10.0.0.{n}:1")});
    let peers: Vec<Value> = (0..3).filter(|n| *n != controller).map(peer).collect();
    serde_json::from_value(json!({
        "host_name": format!("n{controller}"), "site": "a",
        "client_listen": "10.0.0.9:1", "internal_addr": "10.0.0.9:2", "known": peers,
        "services": {"cloud": "10.2.0.1:1", "state": "10.2.0.2:1"},
        "facts": {
            "teams": [
                {"name": "red", "cpus": 4.0, "cpus_max": 8.0, "gpus": 0.0, "gpus_max": 0.0},
                {"name": "blue", "cpus": 8.0, "cpus_max": 100.0, "gpus": 0.0, "gpus_max": 0.0},
                {"name": "white", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}
            ],
            "workers": {"report_s": 2.5, "lease_s": 16.0, "cancel_s": 30.0},
            "state": {"rps": 200.0, "write_rps": 40.0, "value_kb": 8.0, "txn_ops": 20},
            "cloud": {"rps": 5.0, "list_lag_s": 6.0},
            "limits": {"sockets": 1000}
        }
    }))
    .expect("settings")
}

/// Returns the settings of one of the three controllers of a large deployment. Team quotas and the socket limit are
/// proportional to the number of machines; the rate limits of the key-value store and the cloud do not depend on it.
pub fn large_settings(controller: usize, machines: usize) -> Settings {
    let mut settings = settings(controller);
    let cpus = machines as f64 * MACHINE_CPUS;
    for team in &mut settings.facts.teams {
        let share = if team.name.0 == "red" { 0.25 } else { 0.5 };
        team.guaranteed_cpus = cpus * share / 2.0;
        team.max_cpus = if team.name.0 == "white" {
            0.0
        } else {
            cpus * share
        };
    }
    settings.facts.key_value_store.requests_per_s = 500.0;
    settings.facts.key_value_store.changes_per_s = 60.0;
    settings.facts.cloud.requests_per_s = 8.0;
    settings.facts.limits.sockets = machines * 3;
    settings
}

/// Returns a catalog with one machine type that boots in `boot_s` seconds.
pub(crate) fn catalog(boot_s: f64) -> Catalog {
    serde_json::from_value(json!({"Modelos": [
        {"Name": "m4", "Cores": 4, "Gpus": 0, "RamGb": 16, "Rate": 1.0, "LowPrice": 0.4,
         "ReadyS": boot_s, "PullGbPerS": 1.0, "Patios": ["a", "b"]}
    ]}))
    .expect("catalog")
}

/// Returns a service of team blue whose replicas need one CPU each.
pub fn service(id: u64, replicas: u32) -> Value {
    let mut job = job(id, replicas);
    job["Oficio"] = json!("standing");
    job["Turno"] = json!("prod");
    job["Prestados"] = json!(false);
    job["CalculoS"] = json!(0.0);
    job
}

/// Returns a job of team blue whose tasks need one CPU each and have an estimated run time of 10 s.
pub fn job(id: u64, tasks: u32) -> Value {
    json!({"Ref": JobId(id), "Carril": "c", "Cuadrilla": "blue", "Oficio": "array",
        "Turno": "normal", "Piezas": tasks, "Cores": 1.0, "Gpus": 0.0, "RamGb": 1.0,
        "Molde": "img", "SizeGb": 1.0, "Modelos": null, "Patio": null, "SamePlace": false,
        "Spread": false, "Prestados": true, "CalculoS": 10.0, "RespaldoS": 0.0, "GuardadoS": 0.0,
        "EntregaS": null})
}

/// Returns a job with an estimated run time of 60 s per task, long enough for machines to be provisioned for all tasks.
pub fn long_job(id: u64, tasks: u32) -> Value {
    let mut job = job(id, tasks);
    job["CalculoS"] = json!(60.0);
    job
}
