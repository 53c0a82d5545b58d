//! Tests of the fleet: provisioning, retries and refusals, and the release of machines that never report.

use std::rc::Rc;

use serde_json::{json, Value};
use worksshunt_wire::cloud::{ListedMachine, ListedState, MachineList};
use worksshunt_wire::settings::Team;

use super::*;
use crate::constants::fleet::MIN_PENDING_PROVISION_LIMIT;
use crate::jobs::Job;
use crate::objectives::ServiceLevelObjectives;
use crate::quota::Quota;
use crate::submissions::{check_schedulable, parse_submission};

mod provisioning;

fn catalog() -> Catalog {
    serde_json::from_value(json!({"Modelos": [
        {"Name": "m4", "Cores": 4, "Gpus": 0, "RamGb": 16, "Rate": 1.0, "LowPrice": 0.4,
         "ReadyS": 10, "Patios": ["a"]}]}))
    .expect("catalog")
}

fn fleet(epoch: u64) -> Fleet {
    let cloud = json!({"rps": 5.0, "list_lag_s": 5.0});
    let workers = json!({"report_s": 2.5, "lease_s": 16.0, "cancel_s": 30.0});
    let cloud = serde_json::from_value(cloud).expect("limits");
    let workers = serde_json::from_value(workers).expect("workers");
    Fleet::new(
        Epoch(epoch),
        Epoch(epoch - 1),
        Time(0),
        &cloud,
        &workers,
        MIN_PENDING_PROVISION_LIMIT,
    )
}

fn listed(state: ListedState, age_s: f64) -> [MachineList; 1] {
    let machine = ListedMachine {
        id: "i-000001".into(),
        machine_type: "m4".into(),
        zone: "a".into(),
        is_spot: true,
        state,
        age_s,
    };
    [MachineList {
        machines: vec![machine],
        has_more: false,
    }]
}

/// The submission of a job with other values of some fields.
fn submission(fields: &[(&str, Value)]) -> Value {
    let mut submission = json!({
        "Ref": "j-000001", "Carril": "c", "Cuadrilla": "t", "Oficio": "array",
        "Turno": "normal", "Piezas": 1, "Cores": 1.0, "Gpus": 0.0, "RamGb": 1.0,
        "Molde": "i", "SizeGb": 1.0, "SamePlace": false, "Spread": false, "Prestados": true,
        "CalculoS": 600.0, "RespaldoS": 0.0, "GuardadoS": 0.0, "EntregaS": null});
    for (field, value) in fields {
        submission[field] = value.clone();
    }
    submission
}

/// The demand of a job that is accepted.
fn demand_with(catalog: &Catalog, fields: &[(&str, Value)]) -> Demand {
    let team: Team = serde_json::from_value(json!({"name": "t", "cpus": 0.0, "cpus_max": 4_000.0,
        "gpus": 0.0, "gpus_max": 0.0}))
    .expect("a team");
    let spec = parse_submission(submission(fields).to_string().as_bytes()).expect("a valid job");
    check_schedulable(&spec, catalog, &Quota::new(&[team])).expect("an accepted job");
    let job = Job {
        spec,
        accepted_ms: 1_700_000_000_000,
    };
    Demand {
        slack_s: ServiceLevelObjectives::default().slack_s(&job),
        tasks_within_limit: job.spec.task_count,
        waiting_tasks: job.spec.task_count,
        job: Rc::new(job),
        running_tasks: 0,
        running_remaining_s: 0.0,
        unschedulable_ms: 0,
        zone: None,
        full_zones: BTreeSet::new(),
        is_spot_only: false,
        is_spot_available: true,
    }
}

/// The demand of one job with an estimate of 600 s.
fn demand(tasks: u32, deadline_s: Option<f64>) -> Vec<Demand> {
    let fields = [("Piezas", json!(tasks)), ("EntregaS", json!(deadline_s))];
    vec![demand_with(&catalog(), &fields)]
}

fn plan(fleet: &mut Fleet, now: u64, demand: &[Demand]) -> Vec<CloudRequest> {
    fleet.plan_requests(
        Time(now),
        &catalog(),
        std::iter::empty(),
        demand,
        &Forecast::default(),
    )
}

// Guards against repeated provisioning in a zone that must not get more of the waiting tasks.
#[test]
fn full_zones_are_not_provisioned() {
    let zones = |full: &[&str]| -> BTreeSet<String> {
        let mut fleet = fleet(1);
        let mut demand = demand(40, None);
        demand[0].full_zones = full.iter().map(|zone| (*zone).to_owned()).collect();
        let mut requested = BTreeSet::new();
        for now in (0..20_000).step_by(1_000) {
            for request in plan(&mut fleet, now, &demand) {
                if let CloudRequest::Provision(request) = request {
                    fleet.apply_provision_refusal(Time(now), &request.request_name);
                    requested.insert(request.zone);
                }
            }
        }
        requested
    };
    assert_eq!(zones(&[]), BTreeSet::from(["a".to_owned()]));
    assert_eq!(zones(&["a"]), BTreeSet::new());
}

// Guards against slow provisioning of a large fleet, and against requesting machines twice.
#[test]
fn large_fleets_are_provisioned_by_concurrent_requests() {
    let mut fleet = fleet(1);
    let mut requested = 0;
    for now in (0..5_000).step_by(1_000) {
        for request in plan(&mut fleet, now, &demand(2_400, None)) {
            let CloudRequest::Provision(request) = request else {
                panic!("{request:?}");
            };
            requested += request.machine_count;
            let names = (requested - request.machine_count..requested)
                .map(|n| MachineId(format!("i-{n:06}")));
            let machines = names.collect();
            fleet.apply_provision_response(
                Time(now),
                &request.request_name,
                &MachineIds { ids: machines },
            );
        }
    }
    assert_eq!(requested, 600, "four tasks on each");
}

// Guards against a new leader that releases running machines before their partitions have reported them.
#[test]
fn unreported_time_of_running_machine_counts_from_first_sighting() {
    let mut fleet = fleet(2);
    fleet.apply_machine_list(Time(500_000), &listed(ListedState::Running, 400.0));
    for now in [501_000, 520_000, 540_000] {
        assert_eq!(plan(&mut fleet, now, &[]), vec![], "at {now} ms");
    }
    plan(&mut fleet, 560_000, &[]);
    let requests = plan(&mut fleet, 561_000, &[]);
    assert!(
        matches!(&requests[..], [CloudRequest::Release(names)] if names.ids.len() == 1),
        "an unreported machine is released after the timeout: {requests:?}"
    );
}

#[test]
fn machine_that_never_boots_is_released() {
    let mut fleet = fleet(2);
    fleet.apply_machine_list(Time(100_000), &listed(ListedState::Starting, 90.0));
    plan(&mut fleet, 100_000, &[]);
    let requests = plan(&mut fleet, 101_000, &[]);
    assert!(matches!(&requests[..], [CloudRequest::Release(_)]));
}

#[test]
fn spot_is_requested_first_and_on_demand_after_refusal() {
    let mut fleet = fleet(1);
    let first = plan(&mut fleet, 0, &demand(8, Some(900.0)));
    let [CloudRequest::Provision(first)] = &first[..] else {
        panic!("{first:?}");
    };
    assert!(first.is_spot && first.machine_count == 2);
    assert_eq!(
        plan(&mut fleet, 1_000, &demand(8, Some(900.0))),
        vec![],
        "pending machines count as supply"
    );
    fleet.retry_provision(&first.request_name);
    let resent = plan(&mut fleet, 2_000, &demand(8, Some(900.0)));
    assert_eq!(
        resent,
        vec![CloudRequest::Provision(first.clone())],
        "the request is sent again with its name"
    );
    fleet.apply_provision_refusal(Time(3_000), &first.request_name);
    let without_deadline = plan(&mut fleet, 3_500, &demand(8, None));
    assert_eq!(
        without_deadline,
        vec![],
        "a job without a deadline waits for a spot machine"
    );
    let second = plan(&mut fleet, 4_000, &demand(8, Some(900.0)));
    assert!(
        matches!(&second[..], [CloudRequest::Provision(r)] if !r.is_spot && r.request_name != first.request_name)
    );
}
