//! Short scenarios about whole deployments on virtual time.

mod claims;
mod combined_faults;
mod controllers;
mod invariants;
mod jobs;
mod key_value_outage;
mod key_value_store;
mod leases;
mod machines;
mod messages;
mod mixed;
mod placement;
mod preemption;
mod service_capacity;
mod services;
mod upgrade;

use worksshunt_simulation::{long_job, Cluster};

/// A cluster in which an epoch has begun.
fn ready() -> Cluster {
    ready_with_boots_of(5.0)
}

/// One whose machines usually boot in so many seconds by the catalogue, and so are kept for half of
/// that while they are idle.
fn ready_with_boots_of(ready_s: f64) -> Cluster {
    let mut cluster = Cluster::new();
    cluster.nominal_boot_s = ready_s;
    cluster.until("an epoch", 5_000, |cluster| {
        cluster.stored("c/epoch").is_some()
    });
    cluster.run(1_000);
    cluster
}
