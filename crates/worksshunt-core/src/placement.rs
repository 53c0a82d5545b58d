//! The design's placement rule: the most utilized capable machine takes the task, else any fitting one.
//!
//! Pure rules without state of their own; the [partition](crate::machines) applies them to its machines and keeps the
//! measured [`Speed`]s and the counts of [`OverCapacity`] placements. See `docs/design.md` for what comes from the
//! paper and what is ours.

use std::collections::BTreeMap;
use std::fmt;

use worksshunt_wire::MachineId;

use crate::constants::placement::{
    SIZE_BANDS_S, SPEED_SMOOTHING_FACTOR, SPEED_WINDOW_S, START_SPEED,
};
use crate::constants::timers::OVER_CAPACITY_SUMMARY_INTERVAL_MS;

// Its callers in the controller and the scheduler import it from here.

/// The design's open parameters.
#[derive(Debug, Clone, PartialEq)]
pub struct Parameters {
    /// Window in which a capable machine finishes a task, seconds.
    pub window_s: f64,
    /// Speed of an unmeasured machine, seconds of estimated work per second.
    pub start_speed: f64,
    /// Upper bounds of the size bands, seconds of estimated work, ascending.
    pub size_bands_s: Vec<f64>,
    /// Milliseconds between over-capacity summaries.
    pub summary_every_ms: u64,
}

impl Default for Parameters {
    fn default() -> Parameters {
        Parameters {
            window_s: SPEED_WINDOW_S,
            start_speed: START_SPEED,
            size_bands_s: SIZE_BANDS_S.to_vec(),
            summary_every_ms: OVER_CAPACITY_SUMMARY_INTERVAL_MS,
        }
    }
}

impl Parameters {
    /// Capacity of a machine of that speed: the estimated work that it finishes within the window, seconds.
    pub fn capacity(&self, speed: f64) -> f64 {
        (speed * self.window_s).floor()
    }

    /// Index of the size band of a task with that much estimated work, seconds.
    pub fn size_band(&self, estimate_s: f64) -> usize {
        self.size_bands_s
            .iter()
            .position(|bound| estimate_s <= *bound)
            .unwrap_or(self.size_bands_s.len())
    }

    /// The name of a size band in summaries.
    fn size_band_name(&self, band: usize) -> String {
        match (self.size_bands_s.get(band), self.size_bands_s.last()) {
            (Some(bound), _) => format!("<={bound}s"),
            (None, Some(last)) => format!(">{last}s"),
            (None, None) => "all".to_owned(),
        }
    }
}

/// A machine's measured speed: seconds of estimated work finished per second for which the machine was held.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Speed(Option<f64>);

impl Speed {
    /// Nothing measured yet.
    pub const UNMEASURED: Speed = Speed(None);

    /// The measured speed, or `start_speed` if nothing was measured yet.
    pub fn value(self, start_speed: f64) -> f64 {
        self.0.unwrap_or(start_speed)
    }

    /// Records a completed task of `estimate_s` seconds of estimated work that held the machine for `held_s` seconds.
    /// A measurement replaces the assumed speed gradually.
    pub fn record_measurement(&mut self, estimate_s: f64, held_s: f64, start_speed: f64) {
        if held_s > 0.0 && estimate_s > 0.0 {
            let before = self.value(start_speed);
            self.0 = Some(before + SPEED_SMOOTHING_FACTOR * (estimate_s / held_s - before));
        }
    }
}

/// A machine whose free resources fit the task in question.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate<'a> {
    /// The machine.
    pub id: &'a MachineId,
    /// Its capacity, seconds of estimated work.
    pub capacity: f64,
}

/// The machine chosen for a task.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// The machine.
    pub machine: MachineId,
    /// Whether the estimated work exceeds the machine's capacity.
    pub over_capacity: bool,
}

/// Chooses the most utilized capable machine, or the most utilized fitting one when none is capable. The
/// candidates are ordered by utilization, the highest first, equals by name.
pub fn choose<'a>(
    estimate_s: f64,
    candidates: impl Iterator<Item = Candidate<'a>>,
) -> Option<Choice> {
    let choice = |machine: &MachineId, over_capacity| Choice {
        machine: machine.clone(),
        over_capacity,
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

/// How the attempt of an over-capacity placement ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum OverCapacityOutcome {
    /// The task completed.
    Completed,
    /// The task failed.
    Faulted,
    /// The task was stopped or its machine lost.
    Aborted,
}

impl fmt::Display for OverCapacityOutcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            OverCapacityOutcome::Completed => "completed",
            OverCapacityOutcome::Faulted => "faulted",
            OverCapacityOutcome::Aborted => "aborted",
        })
    }
}

/// Counts of over-capacity placements since the last summary, by size band.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OverCapacity {
    placed: BTreeMap<usize, u32>,
    ended: BTreeMap<(usize, OverCapacityOutcome), u32>,
}

impl OverCapacity {
    /// Counts a placement.
    pub fn placed(&mut self, band: usize) {
        *self.placed.entry(band).or_default() += 1;
    }

    /// Counts the end of a placement that was counted as over capacity.
    pub fn ended(&mut self, band: usize, outcome: OverCapacityOutcome) {
        *self.ended.entry((band, outcome)).or_default() += 1;
    }

    /// One line about everything counted, after which counting starts anew.
    pub fn summary(&mut self, parameters: &Parameters) -> String {
        let counts = std::mem::take(self);
        let placed = counts
            .placed
            .iter()
            .map(|(band, count)| format!("{} placed={count}", parameters.size_band_name(*band)));
        let ended = counts.ended.iter().map(|((band, outcome), count)| {
            format!("{} {outcome}={count}", parameters.size_band_name(*band))
        });
        let entries: Vec<String> = placed.chain(ended).collect();
        if entries.is_empty() {
            "none".to_owned()
        } else {
            entries.join(", ")
        }
    }
}

#[cfg(test)]
mod tests;
