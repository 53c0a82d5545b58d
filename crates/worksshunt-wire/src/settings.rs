//! The settings file that the platform passes to a controller.
//!
//! The command line reads and checks it; the controller's parts take their limits and intervals from it. Field names are
//! the platform's unless the table of the [crate documentation](crate) has another.

use serde::{Deserialize, Serialize};

use crate::ids::{ControllerName, TeamName};

/// Settings of one controller. Unknown fields are ignored.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// This controller's name.
    pub host_name: ControllerName,
    /// Its zone.
    pub site: String,
    /// Address and port for users, workers and health checks.
    pub client_listen: String,
    /// Address and port for the other controllers.
    pub internal_addr: String,
    /// The other controllers.
    pub known: Vec<Peer>,
    /// Addresses of cloud and key-value store.
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
    /// Its internal address and port.
    pub endpoint: String,
}

/// Addresses of the external services, with ports.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Services {
    /// The cloud.
    pub cloud: String,
    /// The key-value store.
    pub state: String,
}

/// Facts of the deployment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Facts {
    /// Teams.
    pub teams: Vec<Team>,
    /// Service-level objectives.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Intervals and deadlines of the workers.
    pub workers: Workers,
    /// Limits of the key-value store.
    pub state: KeyValueLimits,
    /// Limits of the cloud.
    pub cloud: CloudLimits,
    /// Limits of the process.
    pub limits: ProcessLimits,
}

/// A service-level objective for a class of jobs.
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
    /// Multiple of the job's deadline.
    #[serde(default)]
    pub times: Option<f64>,
}

/// A team's guarantee and limit (its quota).
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Team {
    /// Its name.
    pub name: TeamName,
    /// Guaranteed processors.
    pub cpus: f64,
    /// Limit of processors; 0: no limit.
    pub cpus_max: f64,
    /// Guaranteed accelerators.
    pub gpus: f64,
    /// Limit of accelerators; 0: no limit.
    pub gpus_max: f64,
}

/// Limits of what a team's tasks use at a time; infinite where there is none.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TeamLimits {
    /// Processors.
    pub cpus: f64,
    /// Accelerators.
    pub gpus: f64,
}

impl Team {
    /// What its tasks may use at a time.
    pub fn limits(&self) -> TeamLimits {
        let limit = |stated: f64| if stated > 0.0 { stated } else { f64::INFINITY };
        TeamLimits {
            cpus: limit(self.cpus_max),
            gpus: limit(self.gpus_max),
        }
    }
}

/// Intervals and deadlines of the workers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Workers {
    /// Interval of heartbeats, seconds.
    #[serde(rename = "report_s")]
    pub heartbeat_interval_s: f64,
    /// Time from the sending of a worker's last answered heartbeat until its lease expires and it ends its tasks, seconds.
    pub lease_s: f64,
    /// Time within which a cancelled job's tasks must have ended, seconds.
    pub cancel_s: f64,
}

/// Limits of the key-value store.
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
    /// Limits that come into force later, without notice.
    #[serde(default)]
    pub next: Option<NextKeyValueLimits>,
}

impl KeyValueLimits {
    /// The lower of each limit in force and the one announced, so that both are kept.
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
            txn_ops: next
                .txn_ops
                .map_or(self.txn_ops, |ops| ops.min(self.txn_ops)),
            next: None,
        }
    }
}

/// Limits of the key-value store announced for later; any of them may be missing.
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
    /// How far the machine list lags behind, seconds.
    pub list_lag_s: f64,
}

/// Limits of the process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ProcessLimits {
    /// Sockets it may have open.
    pub sockets: usize,
    /// Memory it may use, MB, where the platform limits it.
    #[serde(default)]
    pub mem_mb: Option<f64>,
}
