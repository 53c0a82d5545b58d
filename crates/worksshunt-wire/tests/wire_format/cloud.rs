//! Encoding of messages of the cloud interface.

use worksshunt_wire::cloud::{
    Catalog, ListedMachine, ListedState, MachineIds, MachineList, MachineType, ProvisionRequest,
};

use crate::fixtures::Fixtures;
use crate::machines;

fn compare_catalogs(fixtures: &mut Fixtures) {
    let catalog = |spot_price, image_pull_gb_per_s| Catalog {
        machine_types: vec![MachineType {
            name: "m8".into(),
            cpus: 8.5,
            gpus: 2.0,
            memory_gb: 64.25,
            on_demand_price: 3.5,
            spot_price,
            boot_s: 45.0,
            image_pull_gb_per_s,
            zones: vec!["a".into(), "b".into()],
        }],
    };
    fixtures.assert_round_trip("catalog", catalog(Some(1.25), 0.75));
    fixtures.assert_round_trip("catalog, no spot price", catalog(None, 0.75));
    fixtures.assert_decodes("catalog, fields absent", catalog(None, 0.0));
}

fn compare_provisioning(fixtures: &mut Fixtures) {
    let provision = |is_spot| ProvisionRequest {
        request_name: "n0.7.12".into(),
        machine_type: "m8".into(),
        zone: "b".into(),
        is_spot,
        machine_count: 3,
    };
    fixtures.assert_round_trip("rental of spot machines", provision(true));
    fixtures.assert_round_trip("rental of ordinary machines", provision(false));
    let names = machines(&["i-000041", "i-000042"]);
    fixtures.assert_round_trip("machine names", MachineIds { ids: names });
}

fn compare_machine_lists(fixtures: &mut Fixtures) {
    let listed = |id: &str, state, is_spot| ListedMachine {
        id: id.into(),
        machine_type: "m8".into(),
        zone: "a".into(),
        is_spot,
        state,
        age_s: 12.5,
    };
    let machine_list = MachineList {
        machines: vec![
            listed("i-000001", ListedState::Starting, true),
            listed("i-000002", ListedState::Running, false),
            listed("i-000003", ListedState::Failed, true),
        ],
        has_more: true,
    };
    fixtures.assert_round_trip("machine list", machine_list);
    fixtures.assert_decodes("machine list, fields absent", MachineList::default());
}

#[test]
fn cloud_messages_match_fixtures() {
    let mut fixtures = Fixtures::json(include_str!("../fixtures/cloud.json"));
    compare_catalogs(&mut fixtures);
    compare_provisioning(&mut fixtures);
    compare_machine_lists(&mut fixtures);
    fixtures.assert_all_compared();
}
