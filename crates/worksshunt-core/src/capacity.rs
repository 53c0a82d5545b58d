//! A controller's limits on connections and on requests in flight, and what a deployment needs; from its settings.
//!
//! The controller and the binary's service compute [`Capacity`] once, at the start; [`shortfalls`] is checked when the
//! catalogue is known. Nothing here keeps state.

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

/// Bytes of a megabyte of memory, as the platform counts.
const MEGABYTE: f64 = 1_000_000.0;

/// A controller's limits on connections and on requests in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Capacity {
    /// Connections that users and workers may have to it.
    pub connections: usize,
    /// Connections that it may have to workers.
    pub worker_connections: usize,
    /// Direct commands in flight.
    pub direct_commands: usize,
    /// Requests of users that wait for the key-value store.
    pub user_requests: usize,
    /// Requests to provision machines in flight.
    pub provision_requests: usize,
}

impl Capacity {
    /// What these settings allow.
    pub fn new(settings: &Settings) -> Capacity {
        let facts = &settings.facts;
        let sockets = facts.limits.sockets.saturating_sub(RESERVED_SOCKETS);
        let worker_connections = sockets / WORKER_CONNECTION_DIVISOR;
        let exchanges = max_exchanges(facts);
        Capacity {
            connections: sockets - worker_connections,
            worker_connections,
            direct_commands: exchanges.min(worker_connections),
            user_requests: exchanges,
            provision_requests: ((facts.cloud.requests_per_s * CLOUD_REQUEST_SHARE / 2.0) as usize)
                .max(MIN_PENDING_PROVISION_LIMIT),
        }
    }
}

/// Exchanges of one kind that may be in flight, as far as the memory allows.
fn max_exchanges(facts: &Facts) -> usize {
    let bytes = facts.limits.memory_mb.unwrap_or(0.0) * MEGABYTE * IN_FLIGHT_REQUEST_MEMORY_SHARE;
    ((bytes / IN_FLIGHT_REQUEST_BYTES as f64) as usize).max(MIN_IN_FLIGHT_REQUEST_LIMIT)
}

/// A limit in the settings that is lower than the fleet implied by the guarantees may need.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shortfall {
    /// One controller cannot keep a connection to every worker: they share them, which takes new connections.
    Connections {
        /// Machines that the guarantees imply.
        machines: usize,
        /// Sockets that one controller would need.
        sockets_needed: usize,
    },
    /// Launches on the whole fleet take longer to record than a worker lease lasts.
    KeyValueWrites {
        /// Machines that the guarantees imply.
        machines: usize,
        /// Changes a second that would be enough.
        write_rps_needed: usize,
    },
}

/// What the settings lack if all guarantees are used with tasks of one processor on machines of the largest type
/// there is. Whether it matters depends on the load.
pub fn shortfalls(settings: &Settings, catalog: &Catalog) -> Vec<Shortfall> {
    let facts = &settings.facts;
    let cpus: f64 = facts.teams.iter().map(|team| team.guaranteed_cpus).sum();
    let largest_cpus = catalog
        .machine_types
        .iter()
        .map(|machine_type| machine_type.cpus)
        .fold(1.0, f64::max);
    let machines = (cpus / largest_cpus).ceil() as usize;
    let mut found = Vec::new();
    if machines > Capacity::new(settings).connections {
        // Users and workers get all but one in `WORKER_CONNECTION_DIVISOR` of the sockets that are not reserved.
        let sockets_needed = RESERVED_SOCKETS
            + (machines * WORKER_CONNECTION_DIVISOR).div_ceil(WORKER_CONNECTION_DIVISOR - 1);
        found.push(Shortfall::Connections {
            machines,
            sockets_needed,
        });
    }
    let pages = cpus * ATTEMPT_RECORD_BYTES as f64 / max_page_bytes(&facts.key_value_store) as f64;
    let write_rps_needed =
        (pages / (ATTEMPT_RECORD_WRITE_SHARE * facts.workers.lease_s)).ceil() as usize;
    if write_rps_needed as f64 > facts.key_value_store.changes_per_s {
        found.push(Shortfall::KeyValueWrites {
            machines,
            write_rps_needed,
        });
    }
    found
}

#[cfg(test)]
mod tests;
