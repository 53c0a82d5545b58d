//! An accepted job, and the properties that follow from its specification.

use serde::{Deserialize, Serialize};
use worksshunt_wire::cloud::MachineType;
use worksshunt_wire::user::{JobKind, JobSpec, Priority};
use worksshunt_wire::{JobId, TeamName};

use crate::resources::Resources;

/// An accepted job; also its stored form.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Specification that the user submitted.
    #[serde(rename = "spec")]
    pub spec: JobSpec,
    /// Time of acceptance, milliseconds since 1970.
    #[serde(rename = "at")]
    pub accepted_ms: u64,
}

impl Job {
    /// Whether the job is a service: its tasks are replicas that run until the job is cancelled.
    pub fn is_service(&self) -> bool {
        self.spec.kind == JobKind::Service
    }

    /// Placeholder service of one replica that takes a whole machine of this type. It is never submitted: the fleet
    /// uses it to represent spare capacity as demand.
    pub fn whole_machine_service(machine_type: &MachineType) -> Job {
        let spec = JobSpec {
            id: JobId(0),
            class: String::new(),
            team: TeamName::default(),
            kind: JobKind::Service,
            priority: Priority::Prod,
            task_count: 1,
            cpus: machine_type.cpus,
            gpus: machine_type.gpus,
            memory_gb: machine_type.memory_gb,
            image: String::new(),
            image_gb: 0.0,
            machine_types: Some(vec![machine_type.name.clone()]),
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

    /// Resources that each of its tasks needs.
    pub fn resources(&self) -> Resources {
        Resources::of_task(&self.spec)
    }

    /// Deadline, milliseconds since 1970; `None` for a job without one.
    pub fn deadline_ms(&self) -> Option<u64> {
        let deadline_s = self.spec.deadline_s?;
        Some(
            self.accepted_ms
                .saturating_add((deadline_s * 1_000.0) as u64),
        )
    }

    /// Latest time, milliseconds since 1970, at which a task can start and, by the estimate, still meet the deadline;
    /// `None` for a job without a deadline.
    pub fn latest_start_ms(&self) -> Option<u64> {
        let estimate_ms = (self.spec.estimated_runtime_s * 1_000.0) as u64;
        Some(self.deadline_ms()?.saturating_sub(estimate_ms))
    }

    /// Whether its tasks may run on a machine of this type and zone, which is a spot or an on-demand machine.
    pub fn allows_machine(&self, machine_type: &str, zone: &str, is_spot: bool) -> bool {
        (!is_spot || self.spec.allows_spot)
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

    /// Whether the job must not use a machine because on-demand machines are reserved for services and for jobs that
    /// may not use spot machines. They are reserved (`is_on_demand_reserved`) while services are open and spot machines
    /// are available, so that replicas, which have to start within seconds, find free on-demand machines.
    pub fn is_excluded_by_on_demand_reservation(
        &self,
        is_spot: bool,
        is_on_demand_reserved: bool,
    ) -> bool {
        is_on_demand_reserved && !is_spot && self.spec.allows_spot
    }

    /// Whether the zone of one task constrains the zones of the others.
    pub fn has_zone_constraint(&self) -> bool {
        self.spec.needs_single_zone || self.spec.needs_zone_spread
    }

    /// Maximum number of its tasks in one zone.
    pub fn max_tasks_per_zone(&self) -> u32 {
        if self.spec.needs_zone_spread {
            self.spec.task_count.div_ceil(2)
        } else {
            self.spec.task_count
        }
    }
}
