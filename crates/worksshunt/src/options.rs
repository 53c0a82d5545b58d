//! Reads and checks the settings file of the platform (JSON) and the options file of the operators (TOML).
//!
//! Called by `main` before the service starts, and by the `check` command.

use std::path::Path;

use serde::Deserialize;
use worksshunt_core::placement::PlacementParameters;
use worksshunt_wire::settings::Settings;

mod check;
mod error;

use check::{check_ascending, check_positive, check_settings};
pub use error::SettingsError;
use error::SettingsProblem;

/// Milliseconds per second.
const MS_PER_S: f64 = 1_000.0;

/// Options file of the operators. Unknown keys are rejected.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Options {
    placement: PlacementOptions,
}

/// Placement parameters that operators may override; `None` keeps the default.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct PlacementOptions {
    window_s: Option<f64>,
    start_speed: Option<f64>,
    size_bands_s: Option<Vec<f64>>,
    #[serde(rename = "summary_s")]
    summary_interval_s: Option<f64>,
}

/// Reads and checks both files; without an options file all parameters have their defaults.
///
/// # Errors
///
/// The first problem found, with the path of its file.
pub fn load(
    config: &Path,
    options: Option<&Path>,
) -> Result<(Settings, PlacementParameters), SettingsError> {
    let settings = load_file(config, parse_settings)?;
    let parameters = match options {
        None => PlacementParameters::default(),
        Some(path) => load_file(path, parse_parameters)?,
    };
    Ok((settings, parameters))
}

fn load_file<T>(
    path: &Path,
    parse: impl FnOnce(&str) -> Result<T, SettingsProblem>,
) -> Result<T, SettingsError> {
    std::fs::read_to_string(path)
        .map_err(SettingsProblem::from)
        .and_then(|text| parse(&text))
        .map_err(|problem| SettingsError {
            file: path.to_owned(),
            problem,
        })
}

fn parse_settings(text: &str) -> Result<Settings, SettingsProblem> {
    let mut reader = serde_json::Deserializer::from_str(text);
    let settings = serde_path_to_error::deserialize(&mut reader)?;
    reader.end()?;
    check_settings(&settings)?;
    Ok(settings)
}

fn parse_parameters(text: &str) -> Result<PlacementParameters, SettingsProblem> {
    let options: Options = toml::from_str(text)?;
    let defaults = PlacementParameters::default();
    let overrides = options.placement;
    let parameters = PlacementParameters {
        window_s: overrides.window_s.unwrap_or(defaults.window_s),
        start_speed: overrides.start_speed.unwrap_or(defaults.start_speed),
        size_bands_s: overrides.size_bands_s.unwrap_or(defaults.size_bands_s),
        summary_interval_ms: overrides
            .summary_interval_s
            .map_or(defaults.summary_interval_ms, |interval_s| {
                (interval_s * MS_PER_S) as u64
            }),
    };
    check_positive("placement.window_s", parameters.window_s)?;
    check_positive("placement.start_speed", parameters.start_speed)?;
    if let Some(interval_s) = overrides.summary_interval_s {
        check_positive("placement.summary_s", interval_s)?;
    }
    check_ascending("placement.size_bands_s", &parameters.size_bands_s)?;
    Ok(parameters)
}

#[cfg(test)]
mod tests;
