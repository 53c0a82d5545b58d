//! Kinds of machines that can be rented.

use worksshunt_wire::cloud::{ListedMachine, RentRequest};
use worksshunt_wire::peer::MachineUp;

/// One kind of machine that can be rented.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Offer {
    /// Machine type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Spot or ordinary.
    pub spot: bool,
}

impl From<&MachineUp> for Offer {
    fn from(up: &MachineUp) -> Offer {
        Offer {
            machine_type: up.machine_type.clone(),
            zone: up.zone.clone(),
            spot: up.spot,
        }
    }
}

impl From<&ListedMachine> for Offer {
    fn from(listed: &ListedMachine) -> Offer {
        Offer {
            machine_type: listed.machine_type.clone(),
            zone: listed.zone.clone(),
            spot: listed.spot,
        }
    }
}

impl From<&RentRequest> for Offer {
    fn from(request: &RentRequest) -> Offer {
        Offer {
            machine_type: request.machine_type.clone(),
            zone: request.zone.clone(),
            spot: request.spot,
        }
    }
}
