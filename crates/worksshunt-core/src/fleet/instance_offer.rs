//! Kinds of machines that the cloud offers.

use worksshunt_wire::cloud::{ListedMachine, ProvisionRequest};
use worksshunt_wire::peer::MachineStatus;

/// A kind of machine that can be provisioned. The cloud sets the price and the availability of each kind separately.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct InstanceOffer {
    /// Name of the machine type in the catalog.
    pub machine_type: String,
    /// Zone of the machine.
    pub zone: String,
    /// Whether it is a spot machine instead of an on-demand one.
    pub is_spot: bool,
}

impl From<&MachineStatus> for InstanceOffer {
    fn from(status: &MachineStatus) -> InstanceOffer {
        InstanceOffer {
            machine_type: status.machine_type.clone(),
            zone: status.zone.clone(),
            is_spot: status.is_spot,
        }
    }
}

impl From<&ListedMachine> for InstanceOffer {
    fn from(listed: &ListedMachine) -> InstanceOffer {
        InstanceOffer {
            machine_type: listed.machine_type.clone(),
            zone: listed.zone.clone(),
            is_spot: listed.is_spot,
        }
    }
}

impl From<&ProvisionRequest> for InstanceOffer {
    fn from(request: &ProvisionRequest) -> InstanceOffer {
        InstanceOffer {
            machine_type: request.machine_type.clone(),
            zone: request.zone.clone(),
            is_spot: request.is_spot,
        }
    }
}
