//! Faults of the key-value store while thousands of machines run tasks.

use worksshunt_core::time::TokenBucket;
use worksshunt_simulation::{Cluster, DelayRange, DelayedWrites, KeyValueRates};

use crate::fixtures::{complete_jobs, full_deployment, Users, FLEET_JOB_COUNT};

#[test]
fn leases_survive_a_long_outage_followed_by_slow_and_lost_responses() {
    let mut cluster = full_deployment(60_000);
    let mut users = Users::default();
    cluster.faults.key_value.is_down = true;
    users.query_for(&mut cluster, 20);
    let workers_with_new_incarnations = |cluster: &Cluster| {
        cluster
            .workers
            .keys()
            .filter(|id| cluster.worker_incarnation(id) > 1)
            .count()
    };
    assert_eq!(
        workers_with_new_incarnations(&cluster),
        0,
        "a worker lease expired in the outage"
    );
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
        "responses were lost"
    );
    assert!(users.served_count > 0 && users.refused_count > 0);
    complete_jobs(&mut cluster, 1..=FLEET_JOB_COUNT + 8, 240_000);
}

// The store's actual limits are less than a fifth of the configured ones, so controllers exceed them.
#[test]
fn jobs_complete_while_the_key_value_store_answers_429_to_many_requests() {
    let mut cluster = full_deployment(30_000);
    let mut users = Users::default();
    let configured_rates = cluster.key_value_rates.clone();
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
    cluster.key_value_rates = configured_rates;
    complete_jobs(&mut cluster, 1..=FLEET_JOB_COUNT + 8, 240_000);
}
