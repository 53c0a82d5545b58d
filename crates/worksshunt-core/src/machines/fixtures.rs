//! Fixtures for the tests of this module.

use serde_json::json;
use worksshunt_wire::settings::Workers;
use worksshunt_wire::MachineId;

use crate::membership::FencingTokens;
use crate::placement::PlacementParameters;
use crate::time::Time;

use super::machine::Machine;
use super::partition::Partition;
use super::sequence_number::SequenceNumber;

pub(super) fn workers() -> Workers {
    Workers {
        heartbeat_interval_s: 5.0,
        lease_s: 26.5,
        cancel_s: 46.5,
    }
}

/// A partition with this number of machines, none of which has sent a heartbeat.
pub(super) fn partition(machines: usize) -> Partition {
    let limits = json!({"rps": 500.0, "write_rps": 60.0, "value_kb": 8.0, "txn_ops": 20});
    let limits = serde_json::from_value(limits).expect("limits");
    let mut partition = Partition::new(PlacementParameters::default(), &workers(), &limits);
    for n in 0..machines {
        let tokens = FencingTokens::default();
        let machine = Machine::new(SequenceNumber::NONE, Time(0), tokens, Time(0));
        partition.machines.insert(machine_id(n), machine);
    }
    partition
}

/// Name of machine `n`.
pub(super) fn machine_id(n: usize) -> MachineId {
    MachineId(format!("i-{n:06}"))
}
