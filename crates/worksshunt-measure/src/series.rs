//! Measurements by size of the fleet, as the files of results hold them. `workload` fills them in, `report` and `plot`
//! read them; the field names in the files stay as they are.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

/// The measurements of one run of the workload.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// Size of the fleet.
    pub machines: usize,
    /// The measurements by their names, which say the units.
    pub values: BTreeMap<String, f64>,
}

impl Run {
    /// A run without measurements.
    pub fn new(machines: usize) -> Run {
        Run {
            machines,
            values: BTreeMap::new(),
        }
    }

    /// Records a measurement.
    pub fn record(&mut self, name: &str, value: f64) {
        self.values.insert(name.to_owned(), value);
    }
}

/// All runs of one version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Series {
    /// Name of the version.
    pub label: String,
    /// Its runs.
    #[serde(rename = "days")]
    pub runs: Vec<Run>,
}

/// A measurement over all runs of one size.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Spread {
    /// Size of the fleet.
    pub machines: usize,
    /// The smallest value.
    pub min: f64,
    /// The median.
    pub median: f64,
    /// The largest value.
    pub max: f64,
}

impl Series {
    /// Names of all measurements.
    pub fn names(&self) -> BTreeSet<&String> {
        self.runs.iter().flat_map(|run| run.values.keys()).collect()
    }

    /// A measurement by size, the smallest fleet first.
    pub fn spreads(&self, name: &str) -> Vec<Spread> {
        let mut by_size: BTreeMap<usize, Vec<f64>> = BTreeMap::new();
        for run in &self.runs {
            if let Some(value) = run.values.get(name) {
                by_size.entry(run.machines).or_default().push(*value);
            }
        }
        by_size
            .into_iter()
            .filter_map(|(machines, mut values)| {
                values.sort_by(f64::total_cmp);
                Some(Spread {
                    machines,
                    min: *values.first()?,
                    median: values[values.len() / 2],
                    max: *values.last()?,
                })
            })
            .collect()
    }

    /// How a measurement grows: the exponent of the fleet's size between the smallest and the largest size; none if a
    /// median of the two is not positive, or there is one size only.
    pub fn growth(&self, name: &str) -> Option<f64> {
        let spreads = self.spreads(name);
        let (first, last) = (spreads.first()?, spreads.last()?);
        let is_defined = first.median > 0.0 && last.median > 0.0 && last.machines > first.machines;
        let ratio = last.machines as f64 / first.machines as f64;
        is_defined.then(|| (last.median / first.median).ln() / ratio.ln())
    }
}

#[cfg(test)]
mod tests;
