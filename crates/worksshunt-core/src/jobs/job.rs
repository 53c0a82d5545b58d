//! An accepted job: what its user submitted and what follows from that alone.

use serde::{Deserialize, Serialize};
use worksshunt_wire::cloud::MachineType;
use worksshunt_wire::user::{JobKind, JobSpec, Priority};
use worksshunt_wire::{JobId, TeamName};

use crate::resources::Resources;

/// An accepted job, also in its stored form.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// What the user submitted.
    #[serde(rename = "spec")]
    pub spec: JobSpec,
    /// When it was accepted, milliseconds since 1970.
    #[serde(rename = "at")]
    pub accepted_ms: u64,
}

impl Job {
    /// Whether its tasks are replicas that run until the job is cancelled, so that it is never done.
    pub fn is_service(&self) -> bool {
        self.spec.kind == JobKind::Service
    }

    /// A service that no user submitted, whose replicas each take a whole machine of that type. The
    /// fleet plans spare capacity with it.
    pub fn whole_machine(machine: &MachineType) -> Job {
        let spec = JobSpec {
            id: JobId(0),
            class: String::new(),
            team: TeamName::default(),
            kind: JobKind::Service,
            priority: Priority::Prod,
            task_count: 1,
            cpus: machine.cpus,
            gpus: machine.gpus,
            memory_gb: machine.memory_gb,
            image: String::new(),
            image_gb: 0.0,
            machine_types: Some(vec![machine.name.clone()]),
            zone: None,
            needs_single_zone: false,
            needs_zone_spread: false,
            allows_spot: false,
            estimated_runtime_s: 0.0,
            checkpoint_interval_s: 0.0,
            checkpoint_duration_s: 0.0,
            deadline_s: None,
        };
        Job {
            spec,
            accepted_ms: 0,
        }
    }

    /// Resources that one of its tasks needs.
    pub fn resources(&self) -> Resources {
        Resources::of_task(&self.spec)
    }

    /// When it should be complete, milliseconds since 1970; `None` for a job without a deadline.
    pub fn deadline_ms(&self) -> Option<u64> {
        let deadline_s = self.spec.deadline_s?;
        Some(
            self.accepted_ms
                .saturating_add((deadline_s * 1_000.0) as u64),
        )
    }

    /// The latest time, milliseconds since 1970, at which its last tasks can start and, by the estimate,
    /// still meet the deadline.
    pub fn latest_start_ms(&self) -> Option<u64> {
        let estimate_ms = (self.spec.estimated_runtime_s * 1_000.0) as u64;
        Some(self.deadline_ms()?.saturating_sub(estimate_ms))
    }

    /// Whether its tasks may run on a machine of that type in that zone, spot (`spot`) or on-demand.
    pub fn allows_machine(&self, machine_type: &str, zone: &str, spot: bool) -> bool {
        (!spot || self.spec.allows_spot)
            && self
                .spec
                .zone
                .as_ref()
                .is_none_or(|required| required == zone)
            && self
                .spec
                .machine_types
                .as_ref()
                .is_none_or(|types| types.iter().any(|allowed| allowed == machine_type))
    }

    /// Whether it leaves such a machine to services. On-demand machines are reserved for them
    /// (`on_demand_reserved`) while any are open and spot machines are up: services may not use spot
    /// machines and have to start within seconds.
    pub fn leaves_machine_to_others(&self, spot: bool, on_demand_reserved: bool) -> bool {
        on_demand_reserved && !spot && self.spec.allows_spot
    }

    /// Whether the zone of one of its tasks constrains the zones of the others.
    pub fn has_zone_constraint(&self) -> bool {
        self.spec.needs_single_zone || self.spec.needs_zone_spread
    }

    /// The maximum number of its tasks in one zone.
    pub fn zone_limit(&self) -> u32 {
        if self.spec.needs_zone_spread {
            self.spec.task_count.div_ceil(2)
        } else {
            self.spec.task_count
        }
    }
}
