//! Short scenarios of whole deployments, simulated on virtual time.

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
mod repetitions;
mod service_capacity;
mod services;
mod unusual_figures;
mod upgrade;

use worksshunt_simulation::{long_job, Cluster};

/// Returns a cluster in which an epoch has begun. Its machines boot in 5 s according to the catalog.
fn ready() -> Cluster {
    ready_with_boot_time(5.0)
}

/// Returns a cluster in which an epoch has begun. Idle machines are released after half of the nominal boot time,
/// which is in seconds.
fn ready_with_boot_time(nominal_boot_s: f64) -> Cluster {
    let mut cluster = Cluster::new();
    cluster.nominal_boot_s = nominal_boot_s;
    cluster.until("an epoch", 5_000, |cluster| {
        cluster.stored("c/epoch").is_some()
    });
    cluster.run(1_000);
    cluster
}
