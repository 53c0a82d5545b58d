//! Reads and checks settings: the platform's JSON file and the operators' TOML.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;
use worksshunt_core::constants::capacity::MIN_SOCKETS;
use worksshunt_core::constants::key_value::{
    MIN_KV_REQUESTS_PER_S, MIN_TRANSACTION_CHANGES, MIN_VALUE_KIB,
};
use worksshunt_core::placement::Parameters;
use worksshunt_wire::settings::{Settings, Team};

/// What is wrong with the settings: the file, and the field where that is known.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
#[error("{file}: {problem}")]
pub struct SettingsError {
    file: String,
    problem: String,
}

/// The operators' own settings. Unknown keys are refused.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Options {
    placement: PlacementOptions,
}

/// The design's open parameters.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct PlacementOptions {
    window_s: Option<f64>,
    start_speed: Option<f64>,
    size_bands_s: Option<Vec<f64>>,
    summary_s: Option<f64>,
}

/// Reads and checks both files.
pub fn load(
    config: &Path,
    options: Option<&Path>,
) -> Result<(Settings, Parameters), SettingsError> {
    let settings = in_file(config, settings)?;
    let parameters = match options {
        None => Parameters::default(),
        Some(path) => in_file(path, parameters)?,
    };
    Ok((settings, parameters))
}

fn in_file<T>(
    path: &Path,
    read: impl FnOnce(&str) -> Result<T, String>,
) -> Result<T, SettingsError> {
    let named = |problem: String| SettingsError {
        file: path.display().to_string(),
        problem: problem.trim().replace('\n', " "),
    };
    let text = std::fs::read_to_string(path).map_err(|error| named(error.to_string()))?;
    read(&text).map_err(named)
}

fn settings(text: &str) -> Result<Settings, String> {
    let mut reader = serde_json::Deserializer::from_str(text);
    let settings =
        serde_path_to_error::deserialize(&mut reader).map_err(|error| error.to_string())?;
    reader.end().map_err(|error| error.to_string())?;
    check(&settings)?;
    Ok(settings)
}

fn parameters(text: &str) -> Result<Parameters, String> {
    let options: Options = toml::from_str(text).map_err(|e| e.to_string())?;
    let defaults = Parameters::default();
    let given = options.placement;
    let parameters = Parameters {
        window_s: given.window_s.unwrap_or(defaults.window_s),
        start_speed: given.start_speed.unwrap_or(defaults.start_speed),
        size_bands_s: given.size_bands_s.unwrap_or(defaults.size_bands_s),
        summary_every_ms: given
            .summary_s
            .map_or(defaults.summary_every_ms, |s| (s * 1_000.0) as u64),
    };
    positive("placement.window_s", parameters.window_s)?;
    positive("placement.start_speed", parameters.start_speed)?;
    if let Some(summary_s) = given.summary_s {
        positive("placement.summary_s", summary_s)?;
    }
    let bands = &parameters.size_bands_s;
    if bands.iter().any(|b| !b.is_finite() || *b <= 0.0) || bands.windows(2).any(|w| w[0] >= w[1]) {
        return Err("placement.size_bands_s: not positive and ascending".to_owned());
    }
    Ok(parameters)
}

fn positive(field: &str, value: f64) -> Result<(), String> {
    if value.is_finite() && value > 0.0 {
        Ok(())
    } else {
        Err(format!("{field}: {value} is not a positive number"))
    }
}

fn address(field: &str, text: &str) -> Result<(), String> {
    text.parse::<SocketAddr>()
        .map(|_| ())
        .map_err(|_| format!("{field}: {text:?} is not an address and port"))
}

/// A team's guarantee lies within its limit. A limit of 0 is none, so any guarantee lies within it.
fn check_team(team: &Team) -> Result<(), String> {
    let (cpus_limit, gpus_limit) = team.limits();
    for (field, guarantee, stated, limit) in [
        ("cpus", team.cpus, team.cpus_max, cpus_limit),
        ("gpus", team.gpus, team.gpus_max, gpus_limit),
    ] {
        if !(stated.is_finite() && stated >= 0.0) {
            return Err(format!(
                "facts.teams.{field}_max: {stated} of {} is not a number from 0 up",
                team.name
            ));
        }
        if !(guarantee.is_finite() && (0.0..=limit).contains(&guarantee)) {
            return Err(format!(
                "facts.teams.{field}: {guarantee} of {} is not from 0 to {limit}",
                team.name
            ));
        }
    }
    Ok(())
}

fn check(settings: &Settings) -> Result<(), String> {
    if settings.host_name.0.is_empty() || settings.host_name.0.contains([' ', '/']) {
        return Err("host_name: empty, or with a space or slash".to_owned());
    }
    address("client_listen", &settings.client_listen)?;
    address("internal_addr", &settings.internal_addr)?;
    address("services.cloud", &settings.services.cloud)?;
    address("services.state", &settings.services.state)?;
    if settings.client_listen == settings.internal_addr {
        return Err("internal_addr: the same as client_listen".to_owned());
    }
    let mut names = BTreeSet::from([&settings.host_name]);
    for peer in &settings.known {
        address("known.endpoint", &peer.endpoint)?;
        if !names.insert(&peer.host_name) {
            return Err(format!("known.host_name: {} twice", peer.host_name));
        }
    }
    let facts = &settings.facts;
    let mut teams = BTreeSet::new();
    for team in &facts.teams {
        if !teams.insert(&team.name) {
            return Err(format!("facts.teams.name: {} twice", team.name));
        }
        check_team(team)?;
    }
    positive("facts.workers.report_s", facts.workers.report_s)?;
    positive("facts.workers.lease_s", facts.workers.lease_s)?;
    positive("facts.workers.cancel_s", facts.workers.cancel_s)?;
    let next = facts.state.next.clone().unwrap_or_default();
    let today = &facts.state;
    for (field, rate) in [
        ("facts.state.rps", Some(today.rps)),
        ("facts.state.write_rps", Some(today.write_rps)),
        ("facts.state.next.rps", next.rps),
        ("facts.state.next.write_rps", next.write_rps),
    ] {
        rate.map_or(Ok(()), |rate| positive(field, rate))?;
    }
    let controllers = settings.known.len() + 1;
    let least = MIN_KV_REQUESTS_PER_S * controllers as f64;
    for (field, rps) in [
        ("facts.state.rps", Some(today.rps)),
        ("facts.state.next.rps", next.rps),
    ] {
        if let Some(rps) = rps.filter(|rps| *rps < least) {
            return Err(format!(
                "{field}: {rps} is below the {least} that leases and epochs of {controllers} controllers take"
            ));
        }
    }
    for (field, kb) in [
        ("facts.state.value_kb", Some(today.value_kb)),
        ("facts.state.next.value_kb", next.value_kb),
    ] {
        if kb.is_some_and(|kb| !kb.is_finite() || kb < MIN_VALUE_KIB) {
            return Err(format!("{field}: not a number from {MIN_VALUE_KIB} up"));
        }
    }
    for (field, ops) in [
        ("facts.state.txn_ops", Some(today.txn_ops)),
        ("facts.state.next.txn_ops", next.txn_ops),
    ] {
        if let Some(ops) = ops.filter(|ops| *ops < MIN_TRANSACTION_CHANGES) {
            return Err(format!("{field}: {ops} is below {MIN_TRANSACTION_CHANGES}"));
        }
    }
    positive("facts.cloud.rps", facts.cloud.rps)?;
    if !(facts.cloud.list_lag_s.is_finite() && facts.cloud.list_lag_s >= 0.0) {
        return Err("facts.cloud.list_lag_s: not a duration".to_owned());
    }
    if facts.limits.sockets < MIN_SOCKETS {
        return Err(format!(
            "facts.limits.sockets: {} is below {}",
            facts.limits.sockets, MIN_SOCKETS
        ));
    }
    Ok(())
}

#[cfg(test)]
mod tests;
