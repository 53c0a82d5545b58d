//! Reads and checks settings: the platform's JSON file and the operators' TOML.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;
use worksshunt_core::constants::{LEAST_SOCKETS, LEAST_TXN_OPS, LEAST_VALUE_KB};
use worksshunt_core::placement::Parameters;
use worksshunt_wire::settings::Settings;

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
    let settings = in_file(config, |text| {
        let settings = serde_json::from_str(text).map_err(|e| e.to_string())?;
        check(&settings)?;
        Ok(settings)
    })?;
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
        for (field, part, all) in [
            ("cpus", team.cpus, team.cpus_max),
            ("gpus", team.gpus, team.gpus_max),
        ] {
            if !(part.is_finite() && all.is_finite() && 0.0 <= part && part <= all) {
                return Err(format!(
                    "facts.teams.{field}: {} of {} is not from 0 to {all}",
                    part, team.name
                ));
            }
        }
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
    for (field, kb) in [
        ("facts.state.value_kb", Some(today.value_kb)),
        ("facts.state.next.value_kb", next.value_kb),
    ] {
        if kb.is_some_and(|kb| !kb.is_finite() || kb < LEAST_VALUE_KB) {
            return Err(format!("{field}: not a number from {LEAST_VALUE_KB} up"));
        }
    }
    for (field, ops) in [
        ("facts.state.txn_ops", Some(today.txn_ops)),
        ("facts.state.next.txn_ops", next.txn_ops),
    ] {
        if let Some(ops) = ops.filter(|ops| *ops < LEAST_TXN_OPS) {
            return Err(format!("{field}: {ops} is below {LEAST_TXN_OPS}"));
        }
    }
    positive("facts.cloud.rps", facts.cloud.rps)?;
    if !(facts.cloud.list_lag_s.is_finite() && facts.cloud.list_lag_s >= 0.0) {
        return Err("facts.cloud.list_lag_s: not a duration".to_owned());
    }
    if facts.limits.sockets < LEAST_SOCKETS {
        return Err(format!(
            "facts.limits.sockets: {} is below {}",
            facts.limits.sockets, LEAST_SOCKETS
        ));
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    fn settings() -> serde_json::Value {
        serde_json::json!({
            "host_name": "estiba-0", "site": "z", "client_listen": "127.0.0.1:1",
            "internal_addr": "127.0.0.1:2", "news": true,
            "known": [{"host_name": "estiba-1", "site": "z", "endpoint": "127.0.0.1:3"}],
            "services": {"cloud": "127.0.0.1:4", "state": "127.0.0.1:5"},
            "facts": {
                "teams": [{"name": "t", "cpus": 1.0, "cpus_max": 2.0, "gpus": 0.0, "gpus_max": 0.0}],
                "workers": {"report_s": 2.5, "lease_s": 16.0, "cancel_s": 40.0},
                "state": {"rps": 100.0, "write_rps": 20.0, "value_kb": 8.0, "txn_ops": 20},
                "cloud": {"rps": 5.0, "list_lag_s": 5.0},
                "limits": {"sockets": 1000}
            }
        })
    }

    fn problem(change: impl FnOnce(&mut serde_json::Value)) -> Result<(), String> {
        let mut value = settings();
        change(&mut value);
        let settings = serde_json::from_value(value).map_err(|e| e.to_string())?;
        check(&settings)
    }

    #[test]
    fn settings_with_unknown_fields_are_fine() {
        assert_eq!(problem(|_| {}), Ok(()));
        for next in [
            serde_json::Value::Null,
            serde_json::json!({}),
            serde_json::json!({"value_kb": 2.0, "news": 1}),
            serde_json::json!({"txn_ops": 6, "write_rps": 1e6}),
        ] {
            let given = next.clone();
            assert_eq!(
                problem(|v| v["facts"]["state"]["next"] = given),
                Ok(()),
                "{next}"
            );
        }
    }

    #[test]
    fn contradictions_are_named_by_field() {
        type Change = fn(&mut serde_json::Value);
        let cases: [(&str, Change); 7] = [
            ("facts.state.next.txn_ops", |v| {
                v["facts"]["state"]["next"] = serde_json::json!({"txn_ops": 1})
            }),
            ("facts.state.next.value_kb", |v| {
                v["facts"]["state"]["next"] = serde_json::json!({"value_kb": 0.0, "rps": 9.0})
            }),
            ("facts.teams.cpus", |v| {
                v["facts"]["teams"][0]["cpus"] = 3.0.into()
            }),
            ("known.host_name", |v| {
                v["known"][0]["host_name"] = "estiba-0".into()
            }),
            ("services.state", |v| {
                v["services"]["state"] = "nowhere".into()
            }),
            ("internal_addr", |v| {
                v["internal_addr"] = "127.0.0.1:1".into()
            }),
            ("facts.workers.lease_s", |v| {
                v["facts"]["workers"]["lease_s"] = 0.0.into()
            }),
        ];
        for (field, change) in cases {
            let error = problem(change).expect_err(field);
            assert!(error.contains(field), "{error}");
        }
    }

    #[test]
    fn operators_settings_refuse_unknown_keys_and_bad_values() {
        let given = parameters("[placement]\nwindow_s = 60.0\n").expect("valid");
        assert_eq!(given.window_s, 60.0);
        assert_eq!(given.start_speed, Parameters::default().start_speed);
        for bad in [
            "windows = 1",
            "[placement]\nwindow = 1.0",
            "[placement]\nwindow_s = -1.0",
            "[placement]\nsize_bands_s = [2.0, 1.0]",
            "not toml",
        ] {
            assert!(parameters(bad).is_err(), "{bad}");
        }
    }
}
