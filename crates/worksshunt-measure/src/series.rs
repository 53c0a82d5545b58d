//! What was measured, by size of the fleet.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

/// One day of a fleet.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Day {
    /// Machines.
    pub machines: usize,
    /// What was measured, by its name.
    pub values: BTreeMap<String, f64>,
}

impl Day {
    /// Nothing is measured yet.
    pub fn new(machines: usize) -> Day {
        Day {
            machines,
            values: BTreeMap::new(),
        }
    }

    /// Notes a measurement.
    pub fn put(&mut self, name: &str, value: f64) {
        self.values.insert(name.to_owned(), value);
    }
}

/// All days of one version.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Series {
    /// What the version is called.
    pub label: String,
    /// Its days.
    pub days: Vec<Day>,
}

/// Several runs of one size.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Spread {
    /// Machines.
    pub machines: usize,
    /// The least value.
    pub least: f64,
    /// The median.
    pub median: f64,
    /// The most.
    pub most: f64,
}

impl Series {
    /// Names of all that was measured.
    pub fn names(&self) -> BTreeSet<&String> {
        self.days.iter().flat_map(|day| day.values.keys()).collect()
    }

    /// A measurement by size, the smallest fleet first.
    pub fn spreads(&self, name: &str) -> Vec<Spread> {
        let mut by_size: BTreeMap<usize, Vec<f64>> = BTreeMap::new();
        for day in &self.days {
            if let Some(value) = day.values.get(name) {
                by_size.entry(day.machines).or_default().push(*value);
            }
        }
        by_size
            .into_iter()
            .filter_map(|(machines, mut values)| {
                values.sort_by(f64::total_cmp);
                Some(Spread {
                    machines,
                    least: *values.first()?,
                    median: values[values.len() / 2],
                    most: *values.last()?,
                })
            })
            .collect()
    }

    /// How a measurement grows: the power of the fleet's size from a first to a last size; none where one of the
    /// two is not positive.
    pub fn growth(&self, name: &str) -> Option<f64> {
        let spreads = self.spreads(name);
        let (first, last) = (spreads.first()?, spreads.last()?);
        let positive = first.median > 0.0 && last.median > 0.0 && last.machines > first.machines;
        let ratio = last.machines as f64 / first.machines as f64;
        positive.then(|| (last.median / first.median).ln() / ratio.ln())
    }
}

#[cfg(test)]
mod tests;
