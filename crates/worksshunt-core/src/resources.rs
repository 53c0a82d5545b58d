//! Resources of machines and tasks, and their arithmetic. Used by the scheduler, the partitions and the fleet to fit
//! tasks onto machines.

use std::ops::{AddAssign, SubAssign};

use worksshunt_wire::cloud::MachineType;
use worksshunt_wire::peer::MachineStatus;
use worksshunt_wire::user::JobSpec;

use crate::constants::placement::ROUNDING_TOLERANCE;

/// Amounts of each resource, of a machine or a task.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Resources {
    /// Number of processors; may be fractional.
    pub cpus: f64,
    /// Number of accelerators; may be fractional.
    pub gpus: f64,
    /// Memory, GB.
    pub memory_gb: f64,
}

impl Resources {
    /// All resources of a machine of this type.
    pub fn of_machine_type(machine_type: &MachineType) -> Resources {
        Resources {
            cpus: machine_type.cpus,
            gpus: machine_type.gpus,
            memory_gb: machine_type.memory_gb,
        }
    }

    /// Free resources that a machine's owner reports.
    pub fn free_on(status: &MachineStatus) -> Resources {
        Resources {
            cpus: status.free_cpus,
            gpus: status.free_gpus,
            memory_gb: status.free_memory_gb,
        }
    }

    /// Resources that one task of the job requires.
    pub fn of_task(spec: &JobSpec) -> Resources {
        Resources {
            cpus: spec.cpus,
            gpus: spec.gpus,
            memory_gb: spec.memory_gb,
        }
    }

    /// Whether a task that requires `required` fits into these free resources.
    pub fn fits(&self, required: &Resources) -> bool {
        self.fits_within(required, ROUNDING_TOLERANCE)
    }

    /// Whether an empty machine of this capacity fits a task that requires `required`. There is no tolerance, because
    /// no amounts were added up.
    pub fn fits_when_empty(&self, required: &Resources) -> bool {
        self.fits_within(required, 0.0)
    }

    fn fits_within(&self, required: &Resources, tolerance: f64) -> bool {
        required.cpus <= self.cpus + tolerance
            && required.gpus <= self.gpus + tolerance
            && required.memory_gb <= self.memory_gb + tolerance
    }

    /// The larger amount of each resource.
    pub fn max(&self, other: &Resources) -> Resources {
        self.combine(other, f64::max)
    }

    /// The smaller amount of each resource.
    pub fn min(&self, other: &Resources) -> Resources {
        self.combine(other, f64::min)
    }

    fn combine(&self, other: &Resources, choose: impl Fn(f64, f64) -> f64) -> Resources {
        Resources {
            cpus: choose(self.cpus, other.cpus),
            gpus: choose(self.gpus, other.gpus),
            memory_gb: choose(self.memory_gb, other.memory_gb),
        }
    }

    /// Subtracts the resources of a task that is placed from these free resources.
    pub fn allocate(&mut self, allocated: &Resources) {
        *self -= *allocated;
    }

    /// Adds the resources of a task that has ended to these free resources.
    pub fn release(&mut self, released: &Resources) {
        *self += *released;
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
