//! Placement by measured speed: the most utilized machine that is fast enough for a task takes it, else the most
//! utilized one whose free resources fit it.
//!
//! A machine's *capacity* is the estimated work that it finishes within a window, at its measured speed. A machine is
//! *capable* of a task if its capacity is at least the task's estimate; a task on any other machine is an
//! *over-capacity* placement. The rules here have no state: the [partition](crate::machines) applies them to its
//! machines, and owns the measured [`Speed`]s and the [`OverCapacityCounts`].

use std::collections::BTreeMap;
use std::fmt;

use worksshunt_wire::MachineId;

use crate::constants::placement::{
    CAPACITY_WINDOW_S, SIZE_BANDS_S, SPEED_SMOOTHING_FACTOR, START_SPEED,
};
use crate::constants::timers::OVER_CAPACITY_SUMMARY_INTERVAL_MS;

/// Parameters of placement, from the options file.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementParameters {
    /// Window within which a capable machine finishes a task, seconds.
    pub window_s: f64,
    /// Assumed speed of a machine without measurements, seconds of estimated work per second.
    pub start_speed: f64,
    /// Inclusive upper bounds of the size bands, seconds of estimated work, ascending. Larger tasks form one more band.
    pub size_bands_s: Vec<f64>,
    /// Interval between log lines with the over-capacity counts, ms.
    pub summary_interval_ms: u64,
}

impl Default for PlacementParameters {
    fn default() -> PlacementParameters {
        PlacementParameters {
            window_s: CAPACITY_WINDOW_S,
            start_speed: START_SPEED,
            size_bands_s: SIZE_BANDS_S.to_vec(),
            summary_interval_ms: OVER_CAPACITY_SUMMARY_INTERVAL_MS,
        }
    }
}

impl PlacementParameters {
    /// Capacity of a machine of this speed, whole seconds of estimated work.
    pub fn capacity(&self, speed: f64) -> f64 {
        (speed * self.window_s).floor()
    }

    /// Index of the size band of a task with an estimate of `estimate_s` seconds.
    pub fn size_band(&self, estimate_s: f64) -> usize {
        self.size_bands_s
            .iter()
            .position(|upper_bound| estimate_s <= *upper_bound)
            .unwrap_or(self.size_bands_s.len())
    }

    /// Name of a size band in summaries.
    fn size_band_name(&self, size_band: usize) -> String {
        match (self.size_bands_s.get(size_band), self.size_bands_s.last()) {
            (Some(upper_bound), _) => format!("<={upper_bound}s"),
            (None, Some(last)) => format!(">{last}s"),
            (None, None) => "all".to_owned(),
        }
    }
}

/// Measured speed of a machine: a moving average of the seconds of estimated work finished per second of allocation.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Speed(Option<f64>);

impl Speed {
    /// Speed of a machine without measurements.
    pub const UNMEASURED: Speed = Speed(None);

    /// The measured speed, or `start_speed` without measurements.
    pub fn value(self, start_speed: f64) -> f64 {
        self.0.unwrap_or(start_speed)
    }

    /// Adds a measurement to the moving average, which begins at `start_speed`: a task with an estimate of `estimate_s`
    /// seconds was completed `allocated_s` seconds after its placement on the machine.
    pub fn record_measurement(&mut self, estimate_s: f64, allocated_s: f64, start_speed: f64) {
        if allocated_s > 0.0 && estimate_s > 0.0 {
            let previous = self.value(start_speed);
            self.0 =
                Some(previous + SPEED_SMOOTHING_FACTOR * (estimate_s / allocated_s - previous));
        }
    }
}

/// A machine whose free resources fit the task to be placed.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate<'a> {
    /// Id of the machine.
    pub id: &'a MachineId,
    /// Capacity of the machine, seconds of estimated work.
    pub capacity: f64,
}

/// The machine chosen for a task.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// Id of the machine.
    pub machine: MachineId,
    /// Whether the task's estimate exceeds the machine's capacity.
    pub is_over_capacity: bool,
}

/// Chooses the first capable candidate, or the first candidate if none is capable; `None` without candidates. The
/// caller orders the candidates by utilization, highest first, and by name among equals.
pub fn choose_machine<'a>(
    estimate_s: f64,
    candidates: impl Iterator<Item = Candidate<'a>>,
) -> Option<Choice> {
    let choice = |machine: &MachineId, is_over_capacity| Choice {
        machine: machine.clone(),
        is_over_capacity,
    };
    let mut first_fitting = None;
    for candidate in candidates {
        if candidate.capacity >= estimate_s {
            return Some(choice(candidate.id, false));
        }
        first_fitting.get_or_insert(candidate.id);
    }
    first_fitting.map(|id| choice(id, true))
}

/// Outcome of the attempt of an over-capacity placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum OverCapacityOutcome {
    /// The task completed.
    Completed,
    /// The task failed.
    Failed,
    /// The attempt was stopped, or its machine was lost.
    Aborted,
}

impl fmt::Display for OverCapacityOutcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            OverCapacityOutcome::Completed => "completed",
            OverCapacityOutcome::Failed => "failed",
            OverCapacityOutcome::Aborted => "aborted",
        })
    }
}

/// Counts of over-capacity placements and of their outcomes since the last summary, by size band.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OverCapacityCounts {
    placements: BTreeMap<usize, u32>,
    outcomes: BTreeMap<(usize, OverCapacityOutcome), u32>,
}

impl OverCapacityCounts {
    /// Counts a placement.
    pub fn count_placement(&mut self, size_band: usize) {
        *self.placements.entry(size_band).or_default() += 1;
    }

    /// Counts the outcome of a counted placement.
    pub fn count_outcome(&mut self, size_band: usize, outcome: OverCapacityOutcome) {
        *self.outcomes.entry((size_band, outcome)).or_default() += 1;
    }

    /// Returns the counts as text for a log line, and resets them.
    pub fn take_summary(&mut self, parameters: &PlacementParameters) -> String {
        let counts = std::mem::take(self);
        let placements = counts.placements.iter().map(|(size_band, count)| {
            let name = parameters.size_band_name(*size_band);
            format!("{name} placed={count}")
        });
        let outcomes = counts.outcomes.iter().map(|((size_band, outcome), count)| {
            let name = parameters.size_band_name(*size_band);
            format!("{name} {outcome}={count}")
        });
        let entries: Vec<String> = placements.chain(outcomes).collect();
        if entries.is_empty() {
            "none".to_owned()
        } else {
            entries.join(", ")
        }
    }
}

#[cfg(test)]
mod tests;
