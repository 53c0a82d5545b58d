//! Cloud interface: catalog, provisioning and release of machines, machine list.

use serde::{Deserialize, Serialize};

use crate::ids::MachineId;

/// Machine type in the catalog.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Name of the type.
    #[serde(rename = "Name")]
    pub name: String,
    /// Processors per machine.
    #[serde(rename = "Cores")]
    pub cpus: f64,
    /// Accelerators per machine.
    #[serde(rename = "Gpus")]
    pub gpus: f64,
    /// Memory per machine, GB.
    #[serde(rename = "RamGb")]
    pub memory_gb: f64,
    /// On-demand price per hour.
    #[serde(rename = "Rate")]
    pub on_demand_price: f64,
    /// Spot price per hour; `None` if there are no spot machines of the type.
    #[serde(rename = "LowPrice", default)]
    pub spot_price: Option<f64>,
    /// Nominal boot time, seconds.
    #[serde(rename = "ReadyS")]
    pub boot_s: f64,
    /// Rate at which a machine fetches images, GB per second.
    #[serde(rename = "PullGbPerS", default)]
    pub image_pull_gb_per_s: f64,
    /// Zones in which the type is offered.
    #[serde(rename = "Patios")]
    pub zones: Vec<String>,
}

/// Catalog of machine types.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Catalog {
    /// Machine types that the cloud offers.
    #[serde(rename = "Modelos")]
    pub machine_types: Vec<MachineType>,
}

impl Catalog {
    /// Shortest nominal boot time of all types, seconds; 0 for an empty catalog.
    pub fn shortest_boot_s(&self) -> f64 {
        let boots = self
            .machine_types
            .iter()
            .map(|machine_type| machine_type.boot_s);
        boots.min_by(f64::total_cmp).unwrap_or(0.0)
    }

    /// Machine type with that name.
    pub fn machine_type(&self, name: &str) -> Option<&MachineType> {
        let mut types = self.machine_types.iter();
        types.find(|machine_type| machine_type.name == name)
    }
}

/// Request to provision machines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ProvisionRequest {
    /// Name of the request, unique for each request. Sending a request again with its name is idempotent.
    #[serde(rename = "Pedido")]
    pub request_name: String,
    /// Name of the machine type in the catalog.
    #[serde(rename = "Modelo")]
    pub machine_type: String,
    /// Zone of the machines.
    #[serde(rename = "Patio")]
    pub zone: String,
    /// Whether spot machines are requested instead of on-demand ones.
    #[serde(rename = "Prestados")]
    pub is_spot: bool,
    /// Number of machines.
    #[serde(rename = "Number")]
    pub machine_count: u32,
}

/// Ids of machines: the response to a provision request, and the body of a release request.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct MachineIds {
    /// Ids of the provisioned machines or of the machines to release.
    #[serde(rename = "Estibas")]
    pub ids: Vec<MachineId>,
}

/// State of a machine in the cloud's machine list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// Booting.
    Starting,
    /// Booted.
    Running,
    /// Stopped without a release request.
    Failed,
}

/// A machine in the cloud's machine list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Id of the machine.
    #[serde(rename = "Ref")]
    pub id: MachineId,
    /// Name of the machine type in the catalog.
    #[serde(rename = "Modelo")]
    pub machine_type: String,
    /// Zone of the machine.
    #[serde(rename = "Patio")]
    pub zone: String,
    /// Whether it is a spot machine instead of an on-demand one.
    #[serde(rename = "Prestados")]
    pub is_spot: bool,
    /// State at the time of the list.
    #[serde(rename = "Estado")]
    pub state: ListedState,
    /// Time since the provision request, seconds.
    #[serde(rename = "AgeS")]
    pub age_s: f64,
}

/// Page of the cloud's machine list.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct MachineList {
    /// Machines in order of their ids.
    #[serde(rename = "Estibas")]
    pub machines: Vec<ListedMachine>,
    /// Whether there are further pages.
    #[serde(rename = "More", default)]
    pub has_more: bool,
}
