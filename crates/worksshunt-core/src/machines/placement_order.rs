//! The order in which placement tries the machines of a partition: the most utilized first.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use worksshunt_wire::MachineId;

use crate::constants::placement::ROUNDING_TOLERANCE;
use crate::resources::Resources;

use super::machine::{Machine, MachineSummary};

/// Position of a machine: by descending utilization, then by name.
type UtilizationRank = (Reverse<u64>, MachineId);

/// The schedulable machines of a partition, by utilization.
#[derive(Debug, Default)]
pub(super) struct PlacementOrder {
    with_free_cpus: BTreeSet<UtilizationRank>,
    /// Machines for tasks that need no processors only, so that placement of others does not examine them.
    without_free_cpus: BTreeSet<UtilizationRank>,
}

impl PlacementOrder {
    /// Moves a machine whose summary has changed.
    pub fn update(
        &mut self,
        id: &MachineId,
        machine: &Machine,
        before: &MachineSummary,
        after: &MachineSummary,
    ) {
        let rank_before = utilization_rank(id, machine, before);
        self.with_free_cpus.remove(&rank_before);
        self.without_free_cpus.remove(&rank_before);
        if !after.is_schedulable {
            return;
        }
        let rank_after = utilization_rank(id, machine, after);
        if after.free.cpus > 0.0 {
            self.with_free_cpus.insert(rank_after);
        } else {
            self.without_free_cpus.insert(rank_after);
        }
    }

    /// Machines that may have room for a task, the most utilized first.
    pub fn machines_for(&self, required: &Resources) -> impl Iterator<Item = &MachineId> {
        let needs_cpus = required.cpus > ROUNDING_TOLERANCE;
        let without_free_cpus = (!needs_cpus).then_some(&self.without_free_cpus);
        without_free_cpus
            .into_iter()
            .chain([&self.with_free_cpus])
            .flatten()
            .map(|(_, id)| id)
    }

    /// Removes all machines.
    pub fn clear(&mut self) {
        *self = PlacementOrder::default();
    }
}

fn utilization_rank(
    id: &MachineId,
    machine: &Machine,
    summary: &MachineSummary,
) -> UtilizationRank {
    // Ranks are integers because floating-point shares are not totally ordered.
    const RANKS_PER_UNIT: f64 = 1e9;
    let rank = (machine.utilization(&summary.free) * RANKS_PER_UNIT) as u64;
    (Reverse(rank), id.clone())
}
