//! Tests of `partitioning`.

use std::collections::BTreeMap;

use super::*;

#[test]
fn when_an_owner_leaves_only_its_machines_move() {
    let owners: Vec<ControllerName> = ["estiba-0", "estiba-1", "estiba-2"]
        .map(ControllerName::from)
        .into();
    let remaining_owners = owners[..2].to_vec();
    let mut counts = BTreeMap::new();
    for n in 0..300 {
        let machine = MachineId(format!("i-{n:06}"));
        let before = partition_owner(&machine, &owners).expect("an owner");
        *counts.entry(before.clone()).or_insert(0) += 1;
        if *before != owners[2] {
            assert_eq!(partition_owner(&machine, &remaining_owners), Some(before));
        }
    }
    assert!(counts.values().all(|n| *n > 60), "{counts:?}");
}
