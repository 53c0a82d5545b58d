//! Contents of results files: measurements by fleet size. `workload` records them, `report` and `plot` read them. The
//! field names in the files must not change, so that earlier files can be read.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

/// Measurements of one run of the workload.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// Size of the fleet.
    pub machines: usize,
    /// Measured values by name of the measurement; the name includes the unit.
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

    /// Records a measurement, replacing one of the same name.
    pub fn record(&mut self, measurement: &str, value: f64) {
        self.values.insert(measurement.to_owned(), value);
    }
}

/// Contents of a results file: all runs of one version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Series {
    /// Name of the version, as shown in the report.
    pub label: String,
    /// Runs in the order of their execution.
    #[serde(rename = "days")]
    pub runs: Vec<Run>,
}

/// Statistics of a measurement over all runs of one fleet size.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Summary {
    /// Size of the fleet.
    pub machines: usize,
    /// Smallest value.
    pub min: f64,
    /// Median; for an even number of runs the upper of the two middle values.
    pub median: f64,
    /// Largest value.
    pub max: f64,
}

impl Series {
    /// Names of all measurements of any run.
    pub fn measurements(&self) -> BTreeSet<&String> {
        self.runs.iter().flat_map(|run| run.values.keys()).collect()
    }

    /// Summaries of a measurement, one for each fleet size, in ascending order of size.
    pub fn summaries(&self, measurement: &str) -> Vec<Summary> {
        let mut values_by_size: BTreeMap<usize, Vec<f64>> = BTreeMap::new();
        for run in &self.runs {
            if let Some(value) = run.values.get(measurement) {
                values_by_size.entry(run.machines).or_default().push(*value);
            }
        }
        values_by_size
            .into_iter()
            .filter_map(|(machines, mut values)| {
                values.sort_by(f64::total_cmp);
                Some(Summary {
                    machines,
                    min: *values.first()?,
                    median: values[values.len() / 2],
                    max: *values.last()?,
                })
            })
            .collect()
    }

    /// Exponent of the measurement as a power of the fleet size, from the medians of the smallest and the largest
    /// fleet. `None` if there are fewer than two sizes or one of these medians is not positive.
    pub fn growth_exponent(&self, measurement: &str) -> Option<f64> {
        let summaries = self.summaries(measurement);
        let (first, last) = (summaries.first()?, summaries.last()?);
        let is_defined = first.median > 0.0 && last.median > 0.0 && last.machines > first.machines;
        let size_ratio = last.machines as f64 / first.machines as f64;
        is_defined.then(|| (last.median / first.median).ln() / size_ratio.ln())
    }
}

#[cfg(test)]
mod tests;
