//! Tests of `partitioning`.

use std::collections::BTreeMap;

use super::*;

#[test]
fn when_an_owner_leaves_only_its_machines_move() {
    let three: Vec<ControllerName> = ["estiba-0", "estiba-1", "estiba-2"]
        .map(ControllerName::from)
        .into();
    let two = three[..2].to_vec();
    let mut counts = BTreeMap::new();
    for n in 0..300 {
        let machine = MachineId(format!("i-{n:06}"));
        let before = partition_owner(&machine, &three).expect("an owner");
        *counts.entry(before.clone()).or_insert(0) += 1;
        if *before != three[2] {
            assert_eq!(partition_owner(&machine, &two), Some(before));
        }
    }
    assert!(counts.values().all(|n| *n > 60), "{counts:?}");
}
