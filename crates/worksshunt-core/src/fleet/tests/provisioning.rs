//! Tests of provisioning for jobs with unusual figures: no estimate of the run time, no processors, extreme values.

use serde_json::{json, Value};

use super::*;
use crate::constants::fleet::{MAX_SLACK_S, MAX_SPOT_WAIT_MS};

/// Smallest number that is distinguished from zero in these tests.
const TINY: f64 = 1e-300;
/// Smaller than the tolerance for rounding errors.
const BELOW_TOLERANCE: f64 = 1e-9;
/// Milliseconds for which an overdue task has been unschedulable, whatever its machine type.
const LONG_MS: u64 = 600_000;

/// The demand of a job whose task has been unschedulable for [`LONG_MS`].
fn overdue_demand(catalog: &Catalog, fields: &[(&str, Value)]) -> Demand {
    Demand {
        unschedulable_ms: LONG_MS,
        ..demand_with(catalog, fields)
    }
}

/// The provision requests for a demand.
fn provisions(fleet: &mut Fleet, catalog: &Catalog, demand: &[Demand]) -> Vec<ProvisionRequest> {
    let no_forecast = Forecast::default();
    let no_machines = std::iter::empty();
    let requests = fleet.plan_requests(Time(0), catalog, no_machines, demand, &no_forecast);
    let provisions = requests.into_iter().filter_map(|request| match request {
        CloudRequest::Provision(provision) => Some(provision),
        _ => None,
    });
    provisions.collect()
}

/// Total number of machines in the provision requests for a demand.
fn machines_requested(fleet: &mut Fleet, catalog: &Catalog, demand: &[Demand]) -> u32 {
    let requests = provisions(fleet, catalog, demand);
    requests.iter().map(|request| request.machine_count).sum()
}

/// A fleet with one machine of a type with four processors, which is booting.
fn fleet_with_one_machine() -> Fleet {
    let mut fleet = fleet(1);
    fleet.apply_machine_list(Time(0), &listed(ListedState::Starting, 1.0));
    fleet
}

/// A catalog with a small machine type, and a larger one with an accelerator.
fn catalog_of_two_types() -> Catalog {
    serde_json::from_value(json!({"Modelos": [
        {"Name": "m4", "Cores": 4, "Gpus": 0, "RamGb": 16, "Rate": 1.0, "LowPrice": 0.4,
         "ReadyS": 10, "Patios": ["a"]},
        {"Name": "g16", "Cores": 16, "Gpus": 1, "RamGb": 64, "Rate": 9.0, "LowPrice": 4.0,
         "ReadyS": 10, "Patios": ["a"]}]}))
    .expect("catalog")
}

// Guards against an accepted job for which no machine is ever provisioned, because a figure of its owner is zero.
#[test]
fn a_job_without_an_estimate_gets_a_machine() {
    let catalog = catalog();
    for field in ["CalculoS", "Cores", "RamGb"] {
        let demand = [demand_with(&catalog, &[(field, json!(0.0))])];
        let machines = machines_requested(&mut fleet(1), &catalog, &demand);
        assert_eq!(machines, 1, "{field} is 0");
    }
}

/// All combinations of the values of some fields.
fn combinations<'a>(fields: &[(&'a str, Vec<Value>)]) -> Vec<Vec<(&'a str, Value)>> {
    fields
        .iter()
        .fold(vec![Vec::new()], |combinations, (field, values)| {
            let with = |combination: &Vec<(&'a str, Value)>, value: &Value| {
                let mut longer = combination.clone();
                longer.push((*field, value.clone()));
                longer
            };
            combinations
                .iter()
                .flat_map(|combination| values.iter().map(move |value| with(combination, value)))
                .collect()
        })
}

// Guards against other figures with which an accepted job gets no machine: tiny and huge ones, in any combination.
#[test]
fn every_accepted_job_gets_a_machine() {
    let catalog = catalog();
    let amounts =
        |values: &[f64]| -> Vec<Value> { values.iter().map(|value| json!(value)).collect() };
    let mut deadlines = amounts(&[0.0, TINY, 900.0, 1e300, f64::MAX]);
    deadlines.push(Value::Null);
    let estimates = amounts(&[0.0, TINY, BELOW_TOLERANCE, 0.5, 600.0, 1e300, f64::MAX]);
    let fields = [
        ("CalculoS", estimates),
        (
            "Cores",
            amounts(&[0.0, TINY, BELOW_TOLERANCE, 0.1, 1.0, 4.0]),
        ),
        ("RamGb", amounts(&[0.0, BELOW_TOLERANCE, 16.0])),
        ("EntregaS", deadlines),
        ("Piezas", vec![json!(1), json!(100_000)]),
    ];
    for fields in combinations(&fields) {
        let demand = [demand_with(&catalog, &fields)];
        let machines = machines_requested(&mut fleet(1), &catalog, &demand);
        assert!(machines > 0, "no machine for {fields:?}");
    }
}

// Guards against one machine for each of several small jobs that fit one together.
#[test]
fn small_jobs_without_an_estimate_share_a_machine() {
    let catalog = catalog();
    let demand = vec![demand_with(&catalog, &[("CalculoS", json!(0.0))]); 4];
    assert_eq!(machines_requested(&mut fleet(1), &catalog, &demand), 1);
}

// Guards against a job that gets no machine while others are up on which its tasks don't fit.
#[test]
fn machines_that_are_too_small_for_a_task_are_not_counted() {
    let catalog = catalog_of_two_types();
    for (field, amount) in [("Gpus", 1.0), ("RamGb", 64.0), ("Cores", 16.0)] {
        let mut fleet = fleet_with_one_machine();
        let small = demand_with(&catalog, &[("Piezas", json!(4)), ("CalculoS", json!(1.0))]);
        let large = demand_with(
            &catalog,
            &[(field, json!(amount)), ("CalculoS", json!(1.0))],
        );
        let requests = provisions(&mut fleet, &catalog, &[small, large]);
        assert_eq!(requests.len(), 1, "{field}: {requests:?}");
        assert_eq!(requests[0].machine_type, "g16", "{field}");
    }
}

/// A demand that fills the machine of [`fleet_with_one_machine`], by its processors or its memory.
fn demand_that_fills_the_machine(catalog: &Catalog, cpus: f64, memory_gb: f64) -> Demand {
    let fields = [
        ("Cores", json!(cpus)),
        ("RamGb", json!(memory_gb)),
        ("CalculoS", json!(1.0)),
    ];
    demand_with(catalog, &fields)
}

// Guards against a job that waits without end for a machine whose tasks run much longer than estimated.
#[test]
fn a_job_that_waits_too_long_gets_a_machine_whatever_the_estimates() {
    let catalog = catalog();
    let fields = [("Piezas", json!(8)), ("CalculoS", json!(1.0))];
    for (cpus, memory_gb) in [(4.0, 1.0), (0.1, 16.0)] {
        let busy = demand_that_fills_the_machine(&catalog, cpus, memory_gb);
        let waiting = [busy.clone(), demand_with(&catalog, &fields)];
        let machines = machines_requested(&mut fleet_with_one_machine(), &catalog, &waiting);
        assert_eq!(
            machines, 0,
            "the estimates say that the machine is free soon"
        );
        let overdue = [busy, overdue_demand(&catalog, &fields)];
        let machines = machines_requested(&mut fleet_with_one_machine(), &catalog, &overdue);
        assert_eq!(machines, 2, "machines for all of its tasks");
    }
}

// Guards against tasks that need little of a processor and all of the memory, and run one after the other.
#[test]
fn overdue_tasks_that_need_much_memory_get_machines_for_all() {
    let catalog = catalog();
    let fields = [
        ("Piezas", json!(10)),
        ("Cores", json!(0.1)),
        ("RamGb", json!(16.0)),
    ];
    let overdue = [overdue_demand(&catalog, &fields)];
    let machines = machines_requested(&mut fleet_with_one_machine(), &catalog, &overdue);
    assert_eq!(
        machines, 9,
        "one task on the machine, the others on new ones"
    );
}

// Guards against machines that are requested at once for jobs that wait for a machine that is booting.
#[test]
fn a_job_is_overdue_after_a_slow_boot_and_its_slack() {
    let catalog = catalog();
    let boot_s = catalog.machine_types[0].boot_s;
    let latest_boot_ms = ((1.5 * boot_s + MAX_SLACK_S) * 1_000.0) as u64;
    let machines_after = |unschedulable_ms| {
        let busy = demand_that_fills_the_machine(&catalog, 4.0, 1.0);
        let waiting = Demand {
            unschedulable_ms,
            ..demand_with(&catalog, &[("CalculoS", json!(1.0))])
        };
        machines_requested(&mut fleet_with_one_machine(), &catalog, &[busy, waiting])
    };
    assert_eq!(machines_after(latest_boot_ms - 1), 0);
    assert_eq!(machines_after(latest_boot_ms), 1);
}

// Guards against a job without a deadline that waits without end for a spot machine that the cloud doesn't have.
#[test]
fn a_job_without_a_deadline_gets_an_on_demand_machine_after_a_while() {
    let catalog = catalog();
    let mut fleet = fleet(1);
    let first = provisions(&mut fleet, &catalog, &[demand_with(&catalog, &[])]);
    assert!(first[0].is_spot, "{first:?}");
    fleet.apply_provision_refusal(Time(0), &first[0].request_name);
    let demand_after = |unschedulable_ms| Demand {
        unschedulable_ms,
        ..demand_with(&catalog, &[])
    };
    let waiting = [demand_after(MAX_SPOT_WAIT_MS - 1)];
    assert_eq!(provisions(&mut fleet, &catalog, &waiting), vec![]);
    let overdue = [demand_after(MAX_SPOT_WAIT_MS)];
    let second = provisions(&mut fleet, &catalog, &overdue);
    assert!(!second[0].is_spot, "{second:?}");
}
