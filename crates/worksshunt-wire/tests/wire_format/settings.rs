//! Encoding of the settings file.

use worksshunt_wire::settings::{
    AnnouncedKeyValueLimits, CloudLimits, Facts, KeyValueLimits, Objective, Peer, ProcessLimits,
    Services, Settings, Team, Workers,
};

use crate::fixtures::Fixtures;

fn team(name: &str, guaranteed_cpus: f64) -> Team {
    Team {
        name: name.into(),
        guaranteed_cpus,
        max_cpus: guaranteed_cpus + 1.0,
        guaranteed_gpus: guaranteed_cpus + 2.0,
        max_gpus: guaranteed_cpus + 3.0,
    }
}

fn facts(objectives: Vec<Objective>, announced: Option<AnnouncedKeyValueLimits>) -> Facts {
    Facts {
        teams: vec![team("red", 10.5), team("blue", 20.5)],
        objectives,
        workers: Workers {
            heartbeat_interval_s: 2.5,
            lease_s: 16.25,
            cancel_s: 30.75,
        },
        key_value_store: KeyValueLimits {
            requests_per_s: 500.5,
            changes_per_s: 60.5,
            max_value_kib: 64.5,
            max_transaction_changes: 20,
            announced,
        },
        cloud: CloudLimits {
            requests_per_s: 5.5,
            list_lag_s: 6.25,
        },
        limits: ProcessLimits {
            sockets: 1_000,
            memory_mb: None,
        },
    }
}

fn settings(objectives: Vec<Objective>, announced: Option<AnnouncedKeyValueLimits>) -> Settings {
    let peer = |name: &str, zone: &str, endpoint: &str| Peer {
        host_name: name.into(),
        zone: zone.into(),
        endpoint: endpoint.into(),
    };
    Settings {
        host_name: "n0".into(),
        zone: "a".into(),
        client_listen: "10.0.0.1:8000".into(),
        internal_addr: "10.0.0.1:8001".into(),
        peers: vec![
            peer("n1", "b", "10.0.0.2:8001"),
            peer("n2", "c", "10.0.0.3:8001"),
        ],
        services: Services {
            cloud: "10.2.0.1:1".into(),
            key_value_store: "10.2.0.2:1".into(),
        },
        facts: facts(objectives, announced),
    }
}

#[test]
fn settings_match_fixtures() {
    let mut fixtures = Fixtures::json(include_str!("../fixtures/settings.json"));
    let objective = |kind: &str, class: Option<&str>, within_s, deadline_factor| Objective {
        kind: kind.into(),
        class: class.map(str::to_owned),
        within_s,
        deadline_factor,
    };
    let objectives = || {
        vec![
            objective("deadline", Some("nightly"), Some(40.5), Some(1.5)),
            objective("wait", None, None, None),
        ]
    };
    let announced = AnnouncedKeyValueLimits {
        requests_per_s: Some(400.5),
        changes_per_s: Some(50.5),
        max_value_kib: Some(32.5),
        max_transaction_changes: Some(10),
    };
    let mut full = settings(objectives(), Some(announced));
    full.facts.limits.memory_mb = Some(512.5);
    fixtures.assert_round_trip("settings", full);
    let empty = Some(AnnouncedKeyValueLimits::default());
    fixtures.assert_round_trip(
        "settings, fields null",
        settings(objectives(), empty.clone()),
    );
    fixtures.assert_decodes("settings, fields absent", settings(Vec::new(), None));
    let objectives = vec![objective("wait", None, None, None)];
    fixtures.assert_decodes("settings, inner fields absent", settings(objectives, empty));
    fixtures.assert_decodes("settings, unknown fields", settings(Vec::new(), None));
    fixtures.assert_all_compared();
}
