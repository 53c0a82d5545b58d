//! The kinds of machines that the cloud offers.

use worksshunt_wire::cloud::{ListedMachine, ProvisionRequest};
use worksshunt_wire::peer::MachineStatus;

/// A kind of machine that can be provisioned. The cloud prices and refuses each by itself.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct InstanceOffer {
    /// Machine type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Whether it is a spot machine; otherwise on-demand.
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
