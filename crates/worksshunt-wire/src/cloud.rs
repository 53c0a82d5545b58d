//! The cloud's interface: catalogue, provisioning and release of machines, machine list.
//!
//! The network client reads and writes these messages; the fleet decides on them.

use serde::{Deserialize, Serialize};

use crate::ids::MachineId;

/// A machine type of the catalogue.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Its name.
    #[serde(rename = "Name")]
    pub name: String,
    /// Processors.
    #[serde(rename = "Cores")]
    pub cpus: f64,
    /// Accelerators.
    #[serde(rename = "Gpus")]
    pub gpus: f64,
    /// Memory, GB.
    #[serde(rename = "RamGb")]
    pub memory_gb: f64,
    /// On-demand price per hour.
    #[serde(rename = "Rate")]
    pub on_demand_price: f64,
    /// Spot price per hour.
    #[serde(rename = "LowPrice", default)]
    pub spot_price: Option<f64>,
    /// Nominal boot time, seconds.
    #[serde(rename = "ReadyS")]
    pub boot_s: f64,
    /// Image fetch rate, GB per second.
    #[serde(rename = "PullGbPerS", default)]
    pub image_pull_gb_per_s: f64,
    /// Zones that offer it.
    #[serde(rename = "Patios")]
    pub zones: Vec<String>,
}

/// The catalogue.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Catalog {
    /// All machine types.
    #[serde(rename = "Modelos")]
    pub machine_types: Vec<MachineType>,
}

impl Catalog {
    /// The shortest nominal boot time of all types, seconds.
    pub fn shortest_boot_s(&self) -> f64 {
        let boots = self
            .machine_types
            .iter()
            .map(|machine_type| machine_type.boot_s);
        boots.min_by(f64::total_cmp).unwrap_or(0.0)
    }

    /// The type of that name.
    pub fn machine_type(&self, name: &str) -> Option<&MachineType> {
        let mut types = self.machine_types.iter();
        types.find(|machine_type| machine_type.name == name)
    }
}

/// Request to provision machines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ProvisionRequest {
    /// Name of the request, never reused for another: repeating it is idempotent.
    #[serde(rename = "Pedido")]
    pub request_name: String,
    /// Machine type.
    #[serde(rename = "Modelo")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "Patio")]
    pub zone: String,
    /// Spot or on demand.
    #[serde(rename = "Prestados")]
    pub is_spot: bool,
    /// How many.
    #[serde(rename = "Number")]
    pub machine_count: u32,
}

/// Names of machines: the response to provisioning, the body of a release.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct MachineIds {
    /// The names.
    #[serde(rename = "Estibas")]
    pub ids: Vec<MachineId>,
}

/// State of a machine in the cloud's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// Booting.
    Starting,
    /// Up.
    Running,
    /// Stopped on its own.
    Failed,
}

/// A machine in the cloud's list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Its name.
    #[serde(rename = "Ref")]
    pub id: MachineId,
    /// Machine type.
    #[serde(rename = "Modelo")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "Patio")]
    pub zone: String,
    /// Spot or on demand.
    #[serde(rename = "Prestados")]
    pub is_spot: bool,
    /// State.
    #[serde(rename = "Estado")]
    pub state: ListedState,
    /// Age since the provisioning request, seconds.
    #[serde(rename = "AgeS")]
    pub age_s: f64,
}

/// One page of the cloud's list.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct MachineList {
    /// The machines, by name.
    #[serde(rename = "Estibas")]
    pub machines: Vec<ListedMachine>,
    /// Whether more follow.
    #[serde(rename = "More", default)]
    pub has_more: bool,
}
