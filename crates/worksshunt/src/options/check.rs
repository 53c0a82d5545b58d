//! Validation of the settings and options beyond their types.
//!
//! [`load`](super::load) calls these checks after parsing. Each returns the first problem found.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use worksshunt_core::constants::capacity::MIN_SOCKETS;
use worksshunt_core::constants::key_value::{
    MIN_KV_REQUESTS_PER_S, MIN_TRANSACTION_CHANGES, MIN_VALUE_KIB,
};
use worksshunt_wire::settings::{CloudLimits, KeyValueLimits, Settings, Team, Workers};

use super::error::{FieldError, FieldProblem};

/// Checks the settings of a controller.
///
/// # Errors
///
/// The first field with an invalid value.
pub fn check_settings(settings: &Settings) -> Result<(), FieldError> {
    check_addresses(settings)?;
    check_peers(settings)?;
    let facts = &settings.facts;
    check_teams(&facts.teams)?;
    check_workers(&facts.workers)?;
    check_key_value_limits(&facts.key_value_store, settings.peers.len() + 1)?;
    check_cloud_limits(&facts.cloud)?;
    check_minimum("facts.limits.sockets", facts.limits.sockets, MIN_SOCKETS)
}

/// Checks that a number is finite and above zero.
///
/// # Errors
///
/// [`FieldProblem::NotPositive`] of the field.
pub fn check_positive(field: &'static str, value: f64) -> Result<(), FieldError> {
    if value.is_finite() && value > 0.0 {
        Ok(())
    } else {
        Err(FieldProblem::NotPositive(value).for_field(field))
    }
}

/// Checks that the bounds of bands are finite, above zero and in ascending order.
///
/// # Errors
///
/// [`FieldProblem::NotAscending`] of the field.
pub fn check_ascending(field: &'static str, bounds: &[f64]) -> Result<(), FieldError> {
    let is_positive = |bound: &f64| bound.is_finite() && *bound > 0.0;
    let is_ascending = |pair: &[f64]| pair[0] < pair[1];
    if bounds.iter().all(is_positive) && bounds.windows(2).all(is_ascending) {
        Ok(())
    } else {
        Err(FieldProblem::NotAscending.for_field(field))
    }
}

fn check_minimum(field: &'static str, value: usize, minimum: usize) -> Result<(), FieldError> {
    if value < minimum {
        return Err(FieldProblem::BelowMinimum { value, minimum }.for_field(field));
    }
    Ok(())
}

fn check_address(field: &'static str, text: &str) -> Result<(), FieldError> {
    match text.parse::<SocketAddr>() {
        Ok(_) => Ok(()),
        Err(_) => Err(FieldProblem::InvalidAddress(text.to_owned()).for_field(field)),
    }
}

fn check_addresses(settings: &Settings) -> Result<(), FieldError> {
    if settings.host_name.0.is_empty() || settings.host_name.0.contains([' ', '/']) {
        return Err(FieldProblem::InvalidName.for_field("host_name"));
    }
    check_address("client_listen", &settings.client_listen)?;
    check_address("internal_addr", &settings.internal_addr)?;
    check_address("services.cloud", &settings.services.cloud)?;
    check_address("services.state", &settings.services.key_value_store)?;
    if settings.client_listen == settings.internal_addr {
        return Err(FieldProblem::SameAsClientAddress.for_field("internal_addr"));
    }
    Ok(())
}

fn check_peers(settings: &Settings) -> Result<(), FieldError> {
    let mut names = BTreeSet::from([&settings.host_name]);
    for peer in &settings.peers {
        check_address("known.endpoint", &peer.endpoint)?;
        if !names.insert(&peer.host_name) {
            return Err(
                FieldProblem::Duplicate(peer.host_name.to_string()).for_field("known.host_name")
            );
        }
    }
    Ok(())
}

fn check_teams(teams: &[Team]) -> Result<(), FieldError> {
    let mut names = BTreeSet::new();
    for team in teams {
        if !names.insert(&team.name) {
            return Err(
                FieldProblem::Duplicate(team.name.to_string()).for_field("facts.teams.name")
            );
        }
        let limits = team.limits();
        check_team_limit("facts.teams.cpus_max", team, team.max_cpus)?;
        check_guarantee("facts.teams.cpus", team, team.guaranteed_cpus, limits.cpus)?;
        check_team_limit("facts.teams.gpus_max", team, team.max_gpus)?;
        check_guarantee("facts.teams.gpus", team, team.guaranteed_gpus, limits.gpus)?;
    }
    Ok(())
}

fn check_team_limit(field: &'static str, team: &Team, limit: f64) -> Result<(), FieldError> {
    if limit.is_finite() && limit >= 0.0 {
        return Ok(());
    }
    let team = team.name.to_string();
    Err(FieldProblem::InvalidTeamLimit { limit, team }.for_field(field))
}

/// Checks that a team's guarantee lies within `limit`, which is infinite if the team has no limit (a configured limit
/// of 0).
fn check_guarantee(
    field: &'static str,
    team: &Team,
    guarantee: f64,
    limit: f64,
) -> Result<(), FieldError> {
    if guarantee.is_finite() && (0.0..=limit).contains(&guarantee) {
        return Ok(());
    }
    let problem = FieldProblem::GuaranteeOutOfRange {
        guarantee,
        team: team.name.to_string(),
        limit,
    };
    Err(problem.for_field(field))
}

fn check_workers(workers: &Workers) -> Result<(), FieldError> {
    check_positive(
        "facts.workers.heartbeat_interval_s",
        workers.heartbeat_interval_s,
    )?;
    check_positive("facts.workers.lease_s", workers.lease_s)?;
    check_positive("facts.workers.cancel_s", workers.cancel_s)
}

/// Checks the current limits and the announced ones.
fn check_key_value_limits(current: &KeyValueLimits, controllers: usize) -> Result<(), FieldError> {
    let announced = current.announced.clone().unwrap_or_default();
    for (field, rate) in [
        ("facts.state.rps", Some(current.requests_per_s)),
        ("facts.state.write_rps", Some(current.changes_per_s)),
        ("facts.state.next.rps", announced.requests_per_s),
        ("facts.state.next.write_rps", announced.changes_per_s),
    ] {
        rate.map_or(Ok(()), |rate| check_positive(field, rate))?;
    }
    for (field, rate) in [
        ("facts.state.rps", Some(current.requests_per_s)),
        ("facts.state.next.rps", announced.requests_per_s),
    ] {
        rate.map_or(Ok(()), |rate| check_request_rate(field, rate, controllers))?;
    }
    for (field, size) in [
        ("facts.state.value_kb", Some(current.max_value_kib)),
        ("facts.state.next.value_kb", announced.max_value_kib),
    ] {
        if size.is_some_and(|kib| !kib.is_finite() || kib < MIN_VALUE_KIB) {
            return Err(FieldProblem::InvalidValueSize.for_field(field));
        }
    }
    for (field, max_changes) in [
        ("facts.state.txn_ops", Some(current.max_transaction_changes)),
        (
            "facts.state.next.txn_ops",
            announced.max_transaction_changes,
        ),
    ] {
        max_changes.map_or(Ok(()), |max_changes| {
            check_minimum(field, max_changes, MIN_TRANSACTION_CHANGES)
        })?;
    }
    Ok(())
}

/// Checks that the store accepts enough requests for all controllers to renew their leases and confirm the epoch.
fn check_request_rate(
    field: &'static str,
    requests_per_s: f64,
    controllers: usize,
) -> Result<(), FieldError> {
    let minimum = MIN_KV_REQUESTS_PER_S * controllers as f64;
    if requests_per_s < minimum {
        let problem = FieldProblem::TooFewRequests {
            requests_per_s,
            minimum,
            controllers,
        };
        return Err(problem.for_field(field));
    }
    Ok(())
}

fn check_cloud_limits(limits: &CloudLimits) -> Result<(), FieldError> {
    check_positive("facts.cloud.rps", limits.requests_per_s)?;
    if !(limits.list_lag_s.is_finite() && limits.list_lag_s >= 0.0) {
        return Err(FieldProblem::InvalidDuration.for_field("facts.cloud.list_lag_s"));
    }
    Ok(())
}
