//! Settings file of a controller, written by the deployment platform.
//!
//! The table of the [crate documentation](crate) lists the settings whose name in the file differs from the field name.

use serde::{Deserialize, Serialize};

use crate::ids::{ControllerName, TeamName};

/// Settings of one controller. Unknown fields are ignored.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// Name of this controller.
    pub host_name: ControllerName,
    /// Zone of this controller.
    #[serde(rename = "site")]
    pub zone: String,
    /// Address and port that users, workers and health checks connect to.
    pub client_listen: String,
    /// Address and port that the other controllers connect to.
    pub internal_addr: String,
    /// All other controllers.
    #[serde(rename = "known")]
    pub peers: Vec<Peer>,
    /// Addresses of the cloud and the key-value store.
    pub services: Services,
    /// Teams, objectives, intervals and limits of the deployment.
    pub facts: Facts,
}

/// Another controller.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Peer {
    /// Name of the controller.
    pub host_name: ControllerName,
    /// Zone of the controller.
    #[serde(rename = "site")]
    pub zone: String,
    /// Address and port for other controllers.
    pub endpoint: String,
}

/// Addresses of the external services.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Services {
    /// Address and port of the cloud.
    pub cloud: String,
    /// Address and port of the key-value store.
    #[serde(rename = "state")]
    pub key_value_store: String,
}

/// Teams, objectives, intervals and limits of the deployment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Facts {
    /// Teams with their quotas.
    pub teams: Vec<Team>,
    /// Service-level objectives.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Intervals and time limits of the workers.
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
    /// Kind of objective: `deadline`, `finished`, `wait` or `guarantee`. Others are ignored.
    pub kind: String,
    /// Job class that it applies to; `None` for all.
    #[serde(default)]
    pub class: Option<String>,
    /// Time within which jobs should start or finish, seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// Factor on the job's deadline within which the job should complete.
    #[serde(rename = "times", default)]
    pub deadline_factor: Option<f64>,
}

/// Quota of a team: guarantee and limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Team {
    /// Name of the team.
    pub name: TeamName,
    /// Guaranteed processors.
    #[serde(rename = "cpus")]
    pub guaranteed_cpus: f64,
    /// Limit of processors; 0 for no limit.
    #[serde(rename = "cpus_max")]
    pub max_cpus: f64,
    /// Guaranteed accelerators.
    #[serde(rename = "gpus")]
    pub guaranteed_gpus: f64,
    /// Limit of accelerators; 0 for no limit.
    #[serde(rename = "gpus_max")]
    pub max_gpus: f64,
}

/// Limits of the resources that the tasks of a team use at a time; infinite without a limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TeamLimits {
    /// Limit of processors.
    pub cpus: f64,
    /// Limit of accelerators.
    pub gpus: f64,
}

impl Team {
    /// Limits of the resources that its tasks use at a time.
    pub fn limits(&self) -> TeamLimits {
        let limit = |setting: f64| {
            if setting > 0.0 {
                setting
            } else {
                f64::INFINITY
            }
        };
        TeamLimits {
            cpus: limit(self.max_cpus),
            gpus: limit(self.max_gpus),
        }
    }
}

/// Intervals and time limits of the workers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Workers {
    /// Heartbeat interval, seconds.
    #[serde(rename = "report_s")]
    pub heartbeat_interval_s: f64,
    /// Duration of a worker's lease, seconds. It starts when the worker sends a heartbeat that is answered. A worker
    /// whose lease expires ends its tasks.
    pub lease_s: f64,
    /// Time within which the tasks of a cancelled job must end, seconds.
    pub cancel_s: f64,
}

/// Limits of the key-value store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KeyValueLimits {
    /// Requests per second.
    #[serde(rename = "rps")]
    pub requests_per_s: f64,
    /// Changed keys per second.
    #[serde(rename = "write_rps")]
    pub changes_per_s: f64,
    /// Size of a value, KiB.
    #[serde(rename = "value_kb")]
    pub max_value_kib: f64,
    /// Changes per transaction.
    #[serde(rename = "txn_ops")]
    pub max_transaction_changes: usize,
    /// Announced limits, which come into force later without notice; `None` if there are none.
    #[serde(rename = "next", default)]
    pub announced: Option<AnnouncedKeyValueLimits>,
}

impl KeyValueLimits {
    /// The minimum of each present limit and the announced one, so that both are respected.
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

/// Announced limits of the key-value store; `None` for limits that don't change.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct AnnouncedKeyValueLimits {
    /// Requests per second.
    #[serde(rename = "rps", default)]
    pub requests_per_s: Option<f64>,
    /// Changed keys per second.
    #[serde(rename = "write_rps", default)]
    pub changes_per_s: Option<f64>,
    /// Size of a value, KiB.
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
    /// Maximum lag of the machine list, seconds.
    pub list_lag_s: f64,
}

/// Limits of the process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ProcessLimits {
    /// Open sockets.
    pub sockets: usize,
    /// Memory, MB; `None` without a limit.
    #[serde(rename = "mem_mb", default)]
    pub memory_mb: Option<f64>,
}
