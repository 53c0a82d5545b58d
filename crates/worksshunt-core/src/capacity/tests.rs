//! Tests of `capacity`.

use serde_json::json;

use super::*;

fn settings(sockets: usize, mem_mb: Option<f64>, cloud_rps: f64) -> Settings {
    serde_json::from_value(json!({
        "host_name": "n0", "site": "a", "client_listen": "10.0.0.9:1", "internal_addr": "10.0.0.9:2",
        "known": [], "services": {"cloud": "10.2.0.1:1", "state": "10.2.0.2:1"},
        "facts": {
            "teams": [{"name": "red", "cpus": 16_000.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}],
            "workers": {"report_s": 5.0, "lease_s": 26.5, "cancel_s": 46.5},
            "state": {"rps": 500.0, "write_rps": 60.0, "value_kb": 8.0, "txn_ops": 20},
            "cloud": {"rps": cloud_rps, "list_lag_s": 5.0},
            "limits": {"sockets": sockets, "mem_mb": mem_mb}
        }
    }))
    .expect("settings")
}

fn catalog(cpus: f64) -> Catalog {
    serde_json::from_value(json!({"Modelos": [
        {"Name": "m", "Cores": cpus, "Gpus": 0, "RamGb": 16, "Rate": 1.0, "LowPrice": 0.4,
         "ReadyS": 25.0, "PullGbPerS": 1.0, "Patios": ["a"]}
    ]}))
    .expect("a catalog")
}

#[test]
fn limits_follow_from_memory_sockets_and_the_cloud_rate_limit() {
    let small = Capacity::new(&settings(900, Some(56.0), 3.0));
    assert_eq!(
        (small.user_requests, small.provision_requests),
        (MIN_IN_FLIGHT_REQUEST_LIMIT, MIN_PENDING_PROVISION_LIMIT)
    );
    assert_eq!(
        small.direct_commands, small.worker_connections,
        "no more direct commands than connections to workers"
    );
    let large = Capacity::new(&settings(12_000, Some(320.0), 16.0));
    assert_eq!((large.direct_commands, large.user_requests), (2_000, 2_000));
    assert_eq!(large.provision_requests, 6);
    let without_memory_limit = Capacity::new(&settings(12_000, None, 16.0));
    assert_eq!(
        without_memory_limit.direct_commands,
        MIN_IN_FLIGHT_REQUEST_LIMIT
    );
}

#[test]
fn a_socket_shortfall_states_a_sufficient_number() {
    // 16,000 guaranteed processors are 4,000 machines of four.
    let enough = settings(5_400, None, 8.0);
    assert_eq!(shortfalls(&enough, &catalog(4.0)), Vec::new());
    let found = shortfalls(&settings(5_000, None, 8.0), &catalog(4.0));
    let [Shortfall::Connections {
        machines,
        sockets_needed,
    }] = found[..]
    else {
        panic!("{found:?}");
    };
    assert_eq!(machines, 4_000);
    assert_eq!(
        shortfalls(&settings(sockets_needed, None, 8.0), &catalog(4.0)),
        Vec::new()
    );
    assert_eq!(
        shortfalls(&settings(sockets_needed - 4, None, 8.0), &catalog(4.0)).len(),
        1
    );
}

#[test]
fn a_write_rate_shortfall_states_a_sufficient_rate() {
    let mut slow = settings(5_400, None, 8.0);
    slow.facts.key_value_store.changes_per_s = 5.0;
    let found = shortfalls(&slow, &catalog(4.0));
    let [Shortfall::KeyValueWrites {
        write_rps_needed, ..
    }] = found[..]
    else {
        panic!("{found:?}");
    };
    slow.facts.key_value_store.changes_per_s = write_rps_needed as f64;
    assert_eq!(shortfalls(&slow, &catalog(4.0)), Vec::new());
    slow.facts.key_value_store.changes_per_s -= 1.0;
    assert_eq!(shortfalls(&slow, &catalog(4.0)).len(), 1);
}
