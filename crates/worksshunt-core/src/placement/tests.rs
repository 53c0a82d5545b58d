//! Tests of `placement`.

use super::*;

/// The choice among machines with these names, utilizations and capacities.
fn choose_among(estimate_s: f64, machines: &[(&'static str, f64, f64)]) -> Option<Choice> {
    let mut machines: Vec<(MachineId, f64, f64)> = machines
        .iter()
        .map(|(id, utilization, capacity)| (MachineId::from(*id), *utilization, *capacity))
        .collect();
    machines.sort_by(|a, b| b.1.total_cmp(&a.1));
    let candidates = machines.iter().map(|(id, _, capacity)| Candidate {
        id,
        capacity: *capacity,
    });
    choose_machine(estimate_s, candidates)
}

#[test]
fn the_most_utilized_capable_machine_takes_the_task() {
    let choice = choose_among(
        100.0,
        &[("a", 0.9, 80.0), ("b", 0.2, 120.0), ("c", 0.5, 100.0)],
    );
    assert_eq!(
        choice,
        Some(Choice {
            machine: "c".into(),
            is_over_capacity: false
        })
    );
}

#[test]
fn without_a_capable_machine_the_placement_is_over_capacity() {
    let choice = choose_among(300.0, &[("a", 0.1, 120.0), ("b", 0.4, 60.0)]);
    assert_eq!(
        choice,
        Some(Choice {
            machine: "b".into(),
            is_over_capacity: true
        })
    );
    assert_eq!(choose_among(1.0, &[]), None);
}

#[test]
fn capacity_is_the_floor_of_speed_times_window() {
    let parameters = PlacementParameters::default();
    assert_eq!(parameters.capacity(1.0), 120.0);
    assert_eq!(parameters.capacity(0.5039), 60.0);
}

#[test]
fn the_summary_lists_all_counts_and_resets_them() {
    let parameters = PlacementParameters::default();
    let mut counts = OverCapacityCounts::default();
    counts.count_placement(parameters.size_band(130.0));
    counts.count_placement(parameters.size_band(9_000.0));
    counts.count_outcome(parameters.size_band(130.0), OverCapacityOutcome::Completed);
    assert_eq!(
        counts.take_summary(&parameters),
        "<=240s placed=1, >480s placed=1, <=240s completed=1"
    );
    assert_eq!(counts.take_summary(&parameters), "none");
}
