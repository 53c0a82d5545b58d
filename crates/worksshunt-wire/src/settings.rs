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
    #[serde(rename = "site")]
    pub zone: String,
    /// Address and port for users, workers and health checks.
    pub client_listen: String,
    /// Address and port for the other controllers.
    pub internal_addr: String,
    /// The other controllers.
    #[serde(rename = "known")]
    pub peers: Vec<Peer>,
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
    #[serde(rename = "site")]
    pub zone: String,
    /// Its internal address and port.
    pub endpoint: String,
}

/// Addresses of the external services, with ports.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Services {
    /// The cloud.
    pub cloud: String,
    /// The key-value store.
    #[serde(rename = "state")]
    pub key_value_store: String,
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
    #[serde(rename = "state")]
    pub key_value_store: KeyValueLimits,
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
    #[serde(rename = "times", default)]
    pub deadline_factor: Option<f64>,
}

/// A team's guarantee and limit (its quota).
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Team {
    /// Its name.
    pub name: TeamName,
    /// Guaranteed processors.
    #[serde(rename = "cpus")]
    pub guaranteed_cpus: f64,
    /// Limit of processors; 0: no limit.
    #[serde(rename = "cpus_max")]
    pub max_cpus: f64,
    /// Guaranteed accelerators.
    #[serde(rename = "gpus")]
    pub guaranteed_gpus: f64,
    /// Limit of accelerators; 0: no limit.
    #[serde(rename = "gpus_max")]
    pub max_gpus: f64,
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
            cpus: limit(self.max_cpus),
            gpus: limit(self.max_gpus),
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
    #[serde(rename = "rps")]
    pub requests_per_s: f64,
    /// Changes per second.
    #[serde(rename = "write_rps")]
    pub changes_per_s: f64,
    /// Largest value, KiB.
    #[serde(rename = "value_kb")]
    pub max_value_kib: f64,
    /// Changes per transaction.
    #[serde(rename = "txn_ops")]
    pub max_transaction_changes: usize,
    /// Limits that come into force later, without notice.
    #[serde(rename = "next", default)]
    pub announced: Option<NextKeyValueLimits>,
}

impl KeyValueLimits {
    /// The lower of each limit in force and the one announced, so that both are kept.
    pub fn lowest(&self) -> KeyValueLimits {
        let announced = self.announced.clone().unwrap_or_default();
        KeyValueLimits {
            requests_per_s: announced
                .requests_per_s
                .map_or(self.requests_per_s, |rate| rate.min(self.requests_per_s)),
            changes_per_s: announced
                .changes_per_s
                .map_or(self.changes_per_s, |rate| rate.min(self.changes_per_s)),
            max_value_kib: announced
                .max_value_kib
                .map_or(self.max_value_kib, |kib| kib.min(self.max_value_kib)),
            max_transaction_changes: announced
                .max_transaction_changes
                .map_or(self.max_transaction_changes, |changes| {
                    changes.min(self.max_transaction_changes)
                }),
            announced: None,
        }
    }
}

/// Limits of the key-value store announced for later; any of them may be missing.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct NextKeyValueLimits {
    /// Requests per second.
    #[serde(rename = "rps", default)]
    pub requests_per_s: Option<f64>,
    /// Changes per second.
    #[serde(rename = "write_rps", default)]
    pub changes_per_s: Option<f64>,
    /// Largest value, KiB.
    #[serde(rename = "value_kb", default)]
    pub max_value_kib: Option<f64>,
    /// Changes per transaction.
    #[serde(rename = "txn_ops", default)]
    pub max_transaction_changes: Option<usize>,
}

/// Limits of the cloud.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CloudLimits {
    /// Requests per second.
    #[serde(rename = "rps")]
    pub requests_per_s: f64,
    /// How far the machine list lags behind, seconds.
    pub list_lag_s: f64,
}

/// Limits of the process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ProcessLimits {
    /// Sockets it may have open.
    pub sockets: usize,
    /// Memory it may use, MB, where the platform limits it.
    #[serde(rename = "mem_mb", default)]
    pub memory_mb: Option<f64>,
}
