//! The key-value store is down, slow or refuses requests while thousands of machines have to be kept.

use worksshunt_core::time::TokenBucket;
use worksshunt_simulation::{Cluster, DelayRange, DelayedWrites, KeyValueRates};

use crate::fixtures::{finish, full_deployment, Users, JOBS_AT_ONCE};

#[test]
fn an_outage_longer_than_a_lease_then_slow_and_lost_responses() {
    let mut cluster = full_deployment(60_000);
    let mut users = Users::default();
    cluster.faults.key_value.is_down = true;
    users.query_for(&mut cluster, 20);
    let lost = |cluster: &Cluster| {
        cluster
            .workers
            .keys()
            .filter(|id| cluster.worker_incarnation(id) > 1)
            .count()
    };
    assert_eq!(lost(&cluster), 0, "leases outlive the outage");
    cluster.faults.key_value.is_down = false;
    cluster.faults.key_value.slow_responses_ms = 600;
    cluster.faults.key_value.delayed_writes = Some(DelayedWrites {
        share: 0.2,
        delay: DelayRange {
            min_ms: 0,
            max_ms: 3_000,
        },
        key_prefix: None,
    });
    users.query_for(&mut cluster, 20);
    cluster.faults.key_value.slow_responses_ms = 0;
    cluster.faults.key_value.delayed_writes = None;
    assert!(
        cluster.effects("delayed write applied") > 5,
        "answers were lost"
    );
    assert!(users.served > 0 && users.refused > 0);
    finish(&mut cluster, 1..=JOBS_AT_ONCE + 8, 240_000);
}

// Less than a fifth of what the settings name: what is sent within the shares of the limit is too much.
#[test]
fn a_key_value_store_that_answers_429_to_many_requests() {
    let mut cluster = full_deployment(30_000);
    let mut users = Users::default();
    let full = cluster.key_value_rates.clone();
    cluster.key_value_rates = Some(KeyValueRates {
        requests: TokenBucket::new(60.0, 60.0),
        changes: TokenBucket::new(10.0, 10.0),
    });
    users.query_for(&mut cluster, 45);
    assert!(
        cluster.usage.refused_requests > 100,
        "{} refused",
        cluster.usage.refused_requests
    );
    cluster.key_value_rates = full;
    finish(&mut cluster, 1..=JOBS_AT_ONCE + 8, 240_000);
}
