//! Resources: what a machine has and what a task needs of it. Used wherever tasks are fitted onto
//! machines: by the scheduler, by the partitions' owners and by the fleet.

use std::ops::{AddAssign, SubAssign};

use worksshunt_wire::cloud::MachineType;
use worksshunt_wire::user::JobSpec;

use crate::constants::placement::ROUNDING_TOLERANCE;

/// Resources of a machine or a task.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Resources {
    /// Processors.
    pub cpus: f64,
    /// Accelerators.
    pub gpus: f64,
    /// Memory, GB.
    pub memory_gb: f64,
}

impl Resources {
    /// All of a machine of that type.
    pub fn of_machine_type(machine_type: &MachineType) -> Resources {
        Resources {
            cpus: machine_type.cpus,
            gpus: machine_type.gpus,
            memory_gb: machine_type.memory_gb,
        }
    }

    /// What one task of such a job needs.
    pub fn of_task(spec: &JobSpec) -> Resources {
        Resources {
            cpus: spec.cpus,
            gpus: spec.gpus,
            memory_gb: spec.memory_gb,
        }
    }

    /// Whether a task that needs `need` fits, if these are free.
    pub fn fits(&self, need: &Resources) -> bool {
        need.cpus <= self.cpus + ROUNDING_TOLERANCE
            && need.gpus <= self.gpus + ROUNDING_TOLERANCE
            && need.memory_gb <= self.memory_gb + ROUNDING_TOLERANCE
    }

    /// Takes a task's resources out of these free ones.
    pub fn allocate(&mut self, need: &Resources) {
        *self -= *need;
    }

    /// Adds the resources of a task that ended to these free ones.
    pub fn release(&mut self, freed: &Resources) {
        *self += *freed;
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, other: Resources) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.memory_gb += other.memory_gb;
    }
}

impl SubAssign for Resources {
    fn sub_assign(&mut self, other: Resources) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.memory_gb -= other.memory_gb;
    }
}
