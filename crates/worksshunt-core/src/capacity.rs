//! Limits of a controller on connections and requests in flight, derived from the settings, and warnings about limits
//! that are too low for the fleet.
//!
//! [`Capacity`] is computed once at the start, [`shortfalls`] once the catalog has been read.

use worksshunt_wire::cloud::Catalog;
use worksshunt_wire::settings::{Facts, Settings};

use crate::constants::capacity::{
    IN_FLIGHT_REQUEST_BYTES, IN_FLIGHT_REQUEST_MEMORY_SHARE, MIN_IN_FLIGHT_REQUEST_LIMIT,
    RESERVED_SOCKETS, WORKER_CONNECTION_DIVISOR,
};
use crate::constants::fleet::{CLOUD_REQUEST_SHARE, MIN_PENDING_PROVISION_LIMIT};
use crate::constants::key_value::ATTEMPT_RECORD_WRITE_SHARE;
use crate::constants::pages::ATTEMPT_RECORD_BYTES;
use crate::pages::max_page_bytes;

/// Bytes per megabyte (10^6) of the memory limit in the settings.
const BYTES_PER_MB: f64 = 1_000_000.0;

/// Limits of a controller on connections and requests in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Capacity {
    /// Maximum number of connections accepted from users and workers.
    pub client_connections: usize,
    /// Maximum number of connections opened to workers.
    pub worker_connections: usize,
    /// Maximum number of direct commands to workers in flight.
    pub direct_commands: usize,
    /// Maximum number of users' requests that wait for the key-value store.
    pub user_requests: usize,
    /// Maximum number of provision requests to the cloud in flight.
    pub provision_requests: usize,
}

impl Capacity {
    /// Limits that follow from the sockets, the memory and the cloud's rate limit in the settings.
    pub fn new(settings: &Settings) -> Capacity {
        let facts = &settings.facts;
        let sockets = facts.limits.sockets.saturating_sub(RESERVED_SOCKETS);
        let worker_connections = sockets / WORKER_CONNECTION_DIVISOR;
        let max_in_flight_requests = max_in_flight_requests(facts);
        Capacity {
            client_connections: sockets - worker_connections,
            worker_connections,
            direct_commands: max_in_flight_requests.min(worker_connections),
            user_requests: max_in_flight_requests,
            provision_requests: ((facts.cloud.requests_per_s * CLOUD_REQUEST_SHARE / 2.0) as usize)
                .max(MIN_PENDING_PROVISION_LIMIT),
        }
    }
}

/// Maximum number of requests of one kind in flight, by the memory limit; at least [`MIN_IN_FLIGHT_REQUEST_LIMIT`].
fn max_in_flight_requests(facts: &Facts) -> usize {
    let bytes =
        facts.limits.memory_mb.unwrap_or(0.0) * BYTES_PER_MB * IN_FLIGHT_REQUEST_MEMORY_SHARE;
    ((bytes / IN_FLIGHT_REQUEST_BYTES as f64) as usize).max(MIN_IN_FLIGHT_REQUEST_LIMIT)
}

/// A limit in the settings that may be too low for the fleet implied by the teams' guarantees.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shortfall {
    /// A single controller has too few sockets for a connection from every worker, so that connections are closed and
    /// opened more often.
    Connections {
        /// Number of machines that the guarantees imply.
        machines: usize,
        /// Number of sockets that one controller would need.
        sockets_needed: usize,
    },
    /// Recording launches on the whole fleet takes longer than a worker lease.
    KeyValueWrites {
        /// Number of machines that the guarantees imply.
        machines: usize,
        /// Changes per second that would suffice.
        write_rps_needed: usize,
    },
}

/// Limits that are too low if all guarantees are used by tasks of one processor on machines of the largest type. Other
/// workloads may need less.
pub fn shortfalls(settings: &Settings, catalog: &Catalog) -> Vec<Shortfall> {
    let facts = &settings.facts;
    let cpus: f64 = facts.teams.iter().map(|team| team.guaranteed_cpus).sum();
    let largest_cpus = catalog
        .machine_types
        .iter()
        .map(|machine_type| machine_type.cpus)
        .fold(1.0, f64::max);
    let machines = (cpus / largest_cpus).ceil() as usize;
    let mut shortfalls = Vec::new();
    if machines > Capacity::new(settings).client_connections {
        // One in `WORKER_CONNECTION_DIVISOR` unreserved sockets is for connections to workers, the others for clients.
        let sockets_needed = RESERVED_SOCKETS
            + (machines * WORKER_CONNECTION_DIVISOR).div_ceil(WORKER_CONNECTION_DIVISOR - 1);
        shortfalls.push(Shortfall::Connections {
            machines,
            sockets_needed,
        });
    }
    let pages = cpus * ATTEMPT_RECORD_BYTES as f64 / max_page_bytes(&facts.key_value_store) as f64;
    let write_rps_needed =
        (pages / (ATTEMPT_RECORD_WRITE_SHARE * facts.workers.lease_s)).ceil() as usize;
    if write_rps_needed as f64 > facts.key_value_store.changes_per_s {
        shortfalls.push(Shortfall::KeyValueWrites {
            machines,
            write_rps_needed,
        });
    }
    shortfalls
}

#[cfg(test)]
mod tests;
