//! Tests of `partitioning`.

use std::collections::BTreeMap;

use super::*;

#[test]
fn a_lost_owner_moves_only_its_own_machines() {
    let three: Vec<ControllerName> = ["estiba-0", "estiba-1", "estiba-2"]
        .map(ControllerName::from)
        .into();
    let two = three[..2].to_vec();
    let mut counts = BTreeMap::new();
    for n in 0..300 {
        let machine = MachineId(format!("i-{n:06}"));
        let before = owner(&machine, &three).expect("an owner");
        *counts.entry(before.clone()).or_insert(0) += 1;
        if *before != three[2] {
            assert_eq!(owner(&machine, &two), Some(before));
        }
    }
    assert!(counts.values().all(|n| *n > 60), "{counts:?}");
}
