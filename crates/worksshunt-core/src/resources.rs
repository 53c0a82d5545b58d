//! Resources of machines, and what tasks take of them.

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
    /// All of a machine type.
    pub fn of_machine_type(t: &MachineType) -> Resources {
        Resources {
            cpus: t.cpus,
            gpus: t.gpus,
            memory_gb: t.memory_gb,
        }
    }

    /// What one task of such a job takes.
    pub fn of_task(spec: &JobSpec) -> Resources {
        Resources {
            cpus: spec.cpus,
            gpus: spec.gpus,
            memory_gb: spec.memory_gb,
        }
    }

    /// Whether `need` fits in here.
    pub fn fits(&self, need: &Resources) -> bool {
        need.cpus <= self.cpus + ROUNDING_TOLERANCE
            && need.gpus <= self.gpus + ROUNDING_TOLERANCE
            && need.memory_gb <= self.memory_gb + ROUNDING_TOLERANCE
    }

    /// Takes `need` out.
    pub fn allocate(&mut self, need: &Resources) {
        self.cpus -= need.cpus;
        self.gpus -= need.gpus;
        self.memory_gb -= need.memory_gb;
    }

    /// Puts `back` in.
    pub fn release(&mut self, back: &Resources) {
        self.cpus += back.cpus;
        self.gpus += back.gpus;
        self.memory_gb += back.memory_gb;
    }
}
