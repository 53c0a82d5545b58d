//! The settings file.

use worksshunt_wire::settings::{
    CloudLimits, Facts, KeyValueLimits, NextKeyValueLimits, Objective, Peer, ProcessLimits,
    Services, Settings, Team, Workers,
};

use crate::fixtures::Fixtures;

fn team(name: &str, first: f64) -> Team {
    Team {
        name: name.into(),
        guaranteed_cpus: first,
        max_cpus: first + 1.0,
        guaranteed_gpus: first + 2.0,
        max_gpus: first + 3.0,
    }
}

fn facts(objectives: Vec<Objective>, next: Option<NextKeyValueLimits>) -> Facts {
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
            announced: next,
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

fn settings(objectives: Vec<Objective>, next: Option<NextKeyValueLimits>) -> Settings {
    let peer = |name: &str, site: &str, endpoint: &str| Peer {
        host_name: name.into(),
        zone: site.into(),
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
        facts: facts(objectives, next),
    }
}

#[test]
fn settings_keep_their_bytes() {
    let mut fixtures = Fixtures::json(include_str!("../fixtures/settings.json"));
    let objective = |kind: &str, class: Option<&str>, within_s, times| Objective {
        kind: kind.into(),
        class: class.map(str::to_owned),
        within_s,
        deadline_factor: times,
    };
    let objectives = || {
        vec![
            objective("deadline", Some("nightly"), Some(40.5), Some(1.5)),
            objective("wait", None, None, None),
        ]
    };
    let next = NextKeyValueLimits {
        requests_per_s: Some(400.5),
        changes_per_s: Some(50.5),
        max_value_kib: Some(32.5),
        max_transaction_changes: Some(10),
    };
    let mut full = settings(objectives(), Some(next));
    full.facts.limits.memory_mb = Some(512.5);
    fixtures.same("settings", full);
    let empty = Some(NextKeyValueLimits::default());
    fixtures.same(
        "settings, fields null",
        settings(objectives(), empty.clone()),
    );
    fixtures.reads("settings, fields absent", settings(Vec::new(), None));
    let objectives = vec![objective("wait", None, None, None)];
    fixtures.reads("settings, inner fields absent", settings(objectives, empty));
    fixtures.reads("settings, unknown fields", settings(Vec::new(), None));
    fixtures.all_compared();
}
