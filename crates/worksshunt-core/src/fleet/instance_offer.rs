//! Kinds of machines that can be rented.

use worksshunt_wire::cloud::{ListedMachine, ProvisionRequest};
use worksshunt_wire::peer::MachineStatus;

/// One kind of machine that can be rented.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct InstanceOffer {
    /// Machine type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Spot or ordinary.
    pub spot: bool,
}

impl From<&MachineStatus> for InstanceOffer {
    fn from(up: &MachineStatus) -> InstanceOffer {
        InstanceOffer {
            machine_type: up.machine_type.clone(),
            zone: up.zone.clone(),
            spot: up.spot,
        }
    }
}

impl From<&ListedMachine> for InstanceOffer {
    fn from(listed: &ListedMachine) -> InstanceOffer {
        InstanceOffer {
            machine_type: listed.machine_type.clone(),
            zone: listed.zone.clone(),
            spot: listed.spot,
        }
    }
}

impl From<&ProvisionRequest> for InstanceOffer {
    fn from(request: &ProvisionRequest) -> InstanceOffer {
        InstanceOffer {
            machine_type: request.machine_type.clone(),
            zone: request.zone.clone(),
            spot: request.spot,
        }
    }
}
