//! Checks of values that the types of the settings allow and the service cannot work with.
//!
//! [`load`](super::load) calls them after the files have been parsed. The first problem found is returned.

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
/// The first field with a value that is not allowed.
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
        Err(FieldProblem::NotPositive(value).of(field))
    }
}

/// Checks that bounds of bands are finite, above zero and in ascending order.
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
        Err(FieldProblem::NotAscending.of(field))
    }
}

fn check_minimum(field: &'static str, value: usize, minimum: usize) -> Result<(), FieldError> {
    if value < minimum {
        return Err(FieldProblem::BelowMinimum { value, minimum }.of(field));
    }
    Ok(())
}

fn check_address(field: &'static str, text: &str) -> Result<(), FieldError> {
    match text.parse::<SocketAddr>() {
        Ok(_) => Ok(()),
        Err(_) => Err(FieldProblem::InvalidAddress(text.to_owned()).of(field)),
    }
}

fn check_addresses(settings: &Settings) -> Result<(), FieldError> {
    if settings.host_name.0.is_empty() || settings.host_name.0.contains([' ', '/']) {
        return Err(FieldProblem::InvalidName.of("host_name"));
    }
    check_address("client_listen", &settings.client_listen)?;
    check_address("internal_addr", &settings.internal_addr)?;
    check_address("services.cloud", &settings.services.cloud)?;
    check_address("services.state", &settings.services.key_value_store)?;
    if settings.client_listen == settings.internal_addr {
        return Err(FieldProblem::SameAsClientAddress.of("internal_addr"));
    }
    Ok(())
}

fn check_peers(settings: &Settings) -> Result<(), FieldError> {
    let mut names = BTreeSet::from([&settings.host_name]);
    for peer in &settings.peers {
        check_address("known.endpoint", &peer.endpoint)?;
        if !names.insert(&peer.host_name) {
            return Err(FieldProblem::Duplicate(peer.host_name.to_string()).of("known.host_name"));
        }
    }
    Ok(())
}

fn check_teams(teams: &[Team]) -> Result<(), FieldError> {
    let mut names = BTreeSet::new();
    for team in teams {
        if !names.insert(&team.name) {
            return Err(FieldProblem::Duplicate(team.name.to_string()).of("facts.teams.name"));
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
    Err(FieldProblem::InvalidTeamLimit { limit, team }.of(field))
}

/// A team's guarantee lies within its limit. A limit of 0 is none, so any guarantee lies within it.
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
    Err(problem.of(field))
}

fn check_workers(workers: &Workers) -> Result<(), FieldError> {
    check_positive(
        "facts.workers.heartbeat_interval_s",
        workers.heartbeat_interval_s,
    )?;
    check_positive("facts.workers.lease_s", workers.lease_s)?;
    check_positive("facts.workers.cancel_s", workers.cancel_s)
}

/// Checks the limits in force and those announced for later.
fn check_key_value_limits(today: &KeyValueLimits, controllers: usize) -> Result<(), FieldError> {
    let next = today.announced.clone().unwrap_or_default();
    for (field, rate) in [
        ("facts.state.rps", Some(today.requests_per_s)),
        ("facts.state.write_rps", Some(today.changes_per_s)),
        ("facts.state.next.rps", next.requests_per_s),
        ("facts.state.next.write_rps", next.changes_per_s),
    ] {
        rate.map_or(Ok(()), |rate| check_positive(field, rate))?;
    }
    for (field, rate) in [
        ("facts.state.rps", Some(today.requests_per_s)),
        ("facts.state.next.rps", next.requests_per_s),
    ] {
        rate.map_or(Ok(()), |rate| check_request_rate(field, rate, controllers))?;
    }
    for (field, size) in [
        ("facts.state.value_kb", Some(today.max_value_kib)),
        ("facts.state.next.value_kb", next.max_value_kib),
    ] {
        if size.is_some_and(|kib| !kib.is_finite() || kib < MIN_VALUE_KIB) {
            return Err(FieldProblem::InvalidValueSize.of(field));
        }
    }
    for (field, changes) in [
        ("facts.state.txn_ops", Some(today.max_transaction_changes)),
        ("facts.state.next.txn_ops", next.max_transaction_changes),
    ] {
        changes.map_or(Ok(()), |changes| {
            check_minimum(field, changes, MIN_TRANSACTION_CHANGES)
        })?;
    }
    Ok(())
}

/// Controllers have to renew their leases and confirm the epoch however slow the store is.
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
        return Err(problem.of(field));
    }
    Ok(())
}

fn check_cloud_limits(limits: &CloudLimits) -> Result<(), FieldError> {
    check_positive("facts.cloud.rps", limits.requests_per_s)?;
    if !(limits.list_lag_s.is_finite() && limits.list_lag_s >= 0.0) {
        return Err(FieldProblem::InvalidDuration.of("facts.cloud.list_lag_s"));
    }
    Ok(())
}
