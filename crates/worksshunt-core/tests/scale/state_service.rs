//! The state service away, slow and refusing, with thousands of machines to keep.

use worksshunt_simulation::LateWrites;

use crate::fixtures::{finish, full_deployment, Users, JOBS_AT_ONCE};

#[test]
fn an_outage_longer_than_a_lease_then_slow_answers_and_lost_ones() {
    let mut cluster = full_deployment(60_000);
    let mut users = Users::default();
    let begun = cluster.starts.len();
    cluster.trouble.state_down = true;
    users.ask_for(&mut cluster, 20);
    cluster.trouble.state_down = false;
    cluster.trouble.state_slow_ms = 600;
    cluster.trouble.late_writes = Some(LateWrites {
        share: 0.2,
        after_ms: (0, 3_000),
    });
    users.ask_for(&mut cluster, 20);
    cluster.trouble.state_slow_ms = 0;
    cluster.trouble.late_writes = None;
    println!(
        "{:?} {} {} new {}",
        cluster.meter,
        users.served,
        users.refused,
        cluster.starts.len() - begun
    );
    finish(&mut cluster, 1..=JOBS_AT_ONCE + 8, 240_000);
}
