//! The design's ordinary path: the fullest capable machine takes the task, else any fitting one.
//!
//! See `docs/design.md` for what comes from the paper and what is ours.

use std::collections::BTreeMap;
use std::hash::Hasher;

use worksshunt_wire::{ControllerName, MachineId};

use crate::constants::placement::{SIZE_BANDS_S, SPEED_SMOOTHING_FACTOR};

/// The design's open parameters.
#[derive(Debug, Clone, PartialEq)]
pub struct Parameters {
    /// Window that a capable machine finishes a task in, seconds.
    pub window_s: f64,
    /// Speed of an unmeasured machine.
    pub start_speed: f64,
    /// Upper bounds of the size bands, seconds of estimated work, ascending.
    pub size_bands_s: Vec<f64>,
    /// Milliseconds between over-capacity summaries.
    pub summary_every_ms: u64,
}

impl Default for Parameters {
    fn default() -> Parameters {
        Parameters {
            window_s: crate::constants::placement::SPEED_WINDOW_S,
            start_speed: crate::constants::placement::START_SPEED,
            size_bands_s: SIZE_BANDS_S.to_vec(),
            summary_every_ms: crate::constants::timers::OVER_CAPACITY_SUMMARY_INTERVAL_MS,
        }
    }
}

impl Parameters {
    /// Work a machine of that speed finishes within the window.
    pub fn capacity(&self, speed: f64) -> f64 {
        (speed * self.window_s).floor()
    }

    /// Index of the size band a task belongs to.
    pub fn band(&self, estimate_s: f64) -> usize {
        self.size_bands_s
            .iter()
            .position(|bound| estimate_s <= *bound)
            .unwrap_or(self.size_bands_s.len())
    }
}

/// A machine's measured speed: estimated work finished per second of held time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Speed(Option<f64>);

impl Speed {
    /// Nothing measured yet.
    pub const UNMEASURED: Speed = Speed(None);

    /// The speed to reckon with.
    pub fn value(self, start: f64) -> f64 {
        self.0.unwrap_or(start)
    }

    /// Learns from a completed task. A measurement replaces the assumed speed gradually.
    pub fn record_measurement(&mut self, estimate_s: f64, held_s: f64, start: f64) {
        if held_s > 0.0 && estimate_s > 0.0 {
            let before = self.value(start);
            self.0 = Some(before + SPEED_SMOOTHING_FACTOR * (estimate_s / held_s - before));
        }
    }
}

/// A machine that has room now for the task in question.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate<'a> {
    /// The machine.
    pub id: &'a MachineId,
    /// Its capacity, seconds of estimated work.
    pub capacity: f64,
}

/// Where a task goes.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// The machine.
    pub machine: MachineId,
    /// Whether the estimated work exceeds the machine's capacity.
    pub over_capacity: bool,
}

/// Chooses the fullest capable machine, or the fullest fitting one when none is capable. The
/// candidates come the fullest first, equals by name.
pub fn choose<'a>(
    estimate_s: f64,
    candidates: impl Iterator<Item = Candidate<'a>>,
) -> Option<Choice> {
    let choice = |machine: &MachineId, over_capacity| Choice {
        machine: machine.clone(),
        over_capacity,
    };
    let mut fitting = None;
    for candidate in candidates {
        if candidate.capacity >= estimate_s {
            return Some(choice(candidate.id, false));
        }
        fitting.get_or_insert(candidate.id);
    }
    fitting.map(|id| choice(id, true))
}

/// How a marked placement ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// The task completed.
    Completed,
    /// The task failed.
    Faulted,
    /// The task was stopped or its machine lost.
    Aborted,
}

/// Counts of over-capacity placements since the last summary.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OverCapacity {
    placed: BTreeMap<usize, u32>,
    ended: BTreeMap<(usize, Outcome), u32>,
}

impl OverCapacity {
    /// Counts a placement.
    pub fn placed(&mut self, band: usize) {
        *self.placed.entry(band).or_default() += 1;
    }

    /// Counts the end of a marked placement.
    pub fn ended(&mut self, band: usize, outcome: Outcome) {
        *self.ended.entry((band, outcome)).or_default() += 1;
    }

    /// One line about everything counted, after which counting starts anew.
    pub fn summary(&mut self, parameters: &Parameters) -> String {
        let name = |band: usize| match parameters.size_bands_s.get(band) {
            Some(bound) => format!("<={bound}s"),
            None => match parameters.size_bands_s.last() {
                Some(bound) => format!(">{bound}s"),
                None => "all".to_owned(),
            },
        };
        let placed: Vec<String> = self
            .placed
            .iter()
            .map(|(band, n)| format!("{} placed={n}", name(*band)))
            .collect();
        let ended: Vec<String> = self
            .ended
            .iter()
            .map(|((band, outcome), n)| {
                let outcome = match outcome {
                    Outcome::Completed => "completed",
                    Outcome::Faulted => "faulted",
                    Outcome::Aborted => "aborted",
                };
                format!("{} {outcome}={n}", name(*band))
            })
            .collect();
        *self = OverCapacity::default();
        let all = [placed, ended].concat();
        if all.is_empty() {
            "none".to_owned()
        } else {
            all.join(", ")
        }
    }
}

/// The member a machine belongs to: rendezvous hashing, so that a change of members moves only
/// the machines of those that left or came.
pub fn owner<'a>(machine: &MachineId, members: &'a [ControllerName]) -> Option<&'a ControllerName> {
    members.iter().max_by_key(|member| {
        let mut hash = Fnv::default();
        hash.write(machine.0.as_bytes());
        hash.write(&[0]);
        hash.write(member.0.as_bytes());
        (mix(hash.finish()), *member)
    })
}

/// FNV-1a: the split needs a hash that is the same in every process and release, which the
/// standard library's default hasher does not promise.
struct Fnv(u64);

impl Default for Fnv {
    fn default() -> Fnv {
        Fnv(0xcbf2_9ce4_8422_2325)
    }
}

impl Hasher for Fnv {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }
}

/// Spreads a hash's low bits over all of it, without which names that differ only in their last
/// letter would rank alike for every machine.
fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

#[cfg(test)]
mod tests;
