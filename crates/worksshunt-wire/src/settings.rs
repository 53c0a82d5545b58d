//! The settings file the platform hands over.

use serde::{Deserialize, Serialize};

use crate::ids::{ControllerName, TeamName};

/// Settings of one controller. Unknown fields are ignored.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// This controller's name.
    pub host_name: ControllerName,
    /// Its zone.
    pub site: String,
    /// Where users, workers and health checks connect.
    pub client_listen: String,
    /// Where the other controllers connect.
    pub internal_addr: String,
    /// The other controllers.
    pub known: Vec<Peer>,
    /// Addresses of cloud and state service.
    pub services: Services,
    /// Facts of the deployment.
    pub facts: Facts,
}

/// Another controller.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Peer {
    /// Its name.
    pub host_name: ControllerName,
    /// Its zone.
    pub site: String,
    /// Its internal address.
    pub endpoint: String,
}

/// Addresses of the outside services.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Services {
    /// The cloud.
    pub cloud: String,
    /// The state service.
    pub state: String,
}

/// Facts of the deployment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Facts {
    /// Teams.
    pub teams: Vec<Team>,
    /// What is expected for each class of jobs.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Workers' rhythm.
    pub workers: Workers,
    /// Limits of the state service.
    pub state: KeyValueLimits,
    /// Limits of the cloud.
    pub cloud: CloudLimits,
    /// Limits of the process.
    pub limits: ProcessLimits,
}

/// What is expected for a class of jobs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Objective {
    /// `deadline`, `finished`, `wait`, `guarantee`; others are ignored.
    pub kind: String,
    /// The class; none where it holds for all.
    #[serde(default)]
    pub class: Option<String>,
    /// Seconds within which jobs should start or finish.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// Multiple of the deadline.
    #[serde(default)]
    pub times: Option<f64>,
}

/// A team's guarantee and limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Team {
    /// Its name.
    pub name: TeamName,
    /// Guaranteed processors.
    pub cpus: f64,
    /// Most processors; 0: no limit.
    pub cpus_max: f64,
    /// Guaranteed accelerators.
    pub gpus: f64,
    /// Most accelerators; 0: no limit.
    pub gpus_max: f64,
}

impl Team {
    /// The most processors and accelerators that its tasks may use at a time; infinite where there is no limit.
    pub fn limits(&self) -> (f64, f64) {
        let limit = |most: f64| if most > 0.0 { most } else { f64::INFINITY };
        (limit(self.cpus_max), limit(self.gpus_max))
    }
}

/// Workers' rhythm.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Workers {
    /// Interval of reports, seconds.
    pub report_s: f64,
    /// Lease, seconds.
    pub lease_s: f64,
    /// Time by which a cancelled job's tasks must be gone, seconds.
    pub cancel_s: f64,
}

/// Limits of the state service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KeyValueLimits {
    /// Requests per second.
    pub rps: f64,
    /// Changes per second.
    pub write_rps: f64,
    /// Largest value, KiB.
    pub value_kb: f64,
    /// Changes per transaction.
    pub txn_ops: usize,
    /// Limits that come into force at some later moment, without notice.
    #[serde(default)]
    pub next: Option<NextKeyValueLimits>,
}

impl KeyValueLimits {
    /// Limits that keep both those of today and those announced.
    pub fn lowest(&self) -> KeyValueLimits {
        let next = self.next.clone().unwrap_or_default();
        KeyValueLimits {
            rps: next.rps.map_or(self.rps, |rps| rps.min(self.rps)),
            write_rps: next
                .write_rps
                .map_or(self.write_rps, |rps| rps.min(self.write_rps)),
            value_kb: next
                .value_kb
                .map_or(self.value_kb, |kb| kb.min(self.value_kb)),
            txn_ops: next.txn_ops.map_or(self.txn_ops, |n| n.min(self.txn_ops)),
            next: None,
        }
    }
}

/// Limits of the state service announced for later; any of them may be missing.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct NextKeyValueLimits {
    /// Requests per second.
    #[serde(default)]
    pub rps: Option<f64>,
    /// Changes per second.
    #[serde(default)]
    pub write_rps: Option<f64>,
    /// Largest value, KiB.
    #[serde(default)]
    pub value_kb: Option<f64>,
    /// Changes per transaction.
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

/// Limits of the cloud.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CloudLimits {
    /// Requests per second.
    pub rps: f64,
    /// How late the machine list is, seconds.
    pub list_lag_s: f64,
}

/// Limits of the process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ProcessLimits {
    /// Sockets it may have.
    pub sockets: usize,
    /// Memory it may hold, MB, where the platform says so.
    #[serde(default)]
    pub mem_mb: Option<f64>,
}
