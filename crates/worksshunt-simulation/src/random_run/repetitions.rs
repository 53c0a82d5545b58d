//! Runs in which answered direct commands, and answered requests between controllers, arrive once more. One seed in
//! [`SEEDS_PER_REPEATING_RUN`] is such a run, also among the contended ones.
//!
//! The parameters are drawn from a generator of their own, so that the other seeds keep their meaning.

use super::RunRng;
use crate::{Cluster, DelayRange, RepeatedCommands, RepeatedPeerRequests};

/// Number of seeds per run with repetitions.
const SEEDS_PER_REPEATING_RUN: u64 = 3;
/// Number that distinguishes the generator's seed from that of the run.
const GENERATOR_SALT: u64 = 0x7265_7065_6174_6564;
/// Minimum delay of a repetition, ms.
const MIN_DELAY_MS: u64 = 2_000;
/// Maximum delay of a repetition, ms; longer than a run without faults.
const MAX_DELAY_MS: u64 = 180_000;
/// Maximum time for which a controller that is back at once was down, ms.
const MAX_SHORT_RESTART_MS: u64 = 1_000;
/// Mean number of steps per short restart of a controller or hang of a machine.
const MEAN_STEPS_PER_SHORT_OUTAGE: u32 = 12;

/// The generator of a run with repetitions.
pub(super) struct Repetitions {
    rng: RunRng,
}

impl Repetitions {
    /// Configures the repetitions of a run; `None` if the run with this seed has none.
    pub(super) fn configure(cluster: &mut Cluster, seed: u64) -> Option<Repetitions> {
        if !seed.is_multiple_of(SEEDS_PER_REPEATING_RUN) {
            return None;
        }
        let mut rng = RunRng(fastrand::Rng::with_seed(seed ^ GENERATOR_SALT));
        cluster.faults.repeated_commands = Some(RepeatedCommands {
            share: rng.one_of(&[0.1, 0.4, 1.0]),
            delay: DelayRange {
                min_ms: MIN_DELAY_MS,
                max_ms: rng.one_of(&[8_000, 30_000, MAX_DELAY_MS]),
            },
            share_at_controller_start: rng.one_of(&[0.0, 0.5]),
        });
        cluster.faults.repeated_peer_requests = Some(RepeatedPeerRequests {
            share: rng.one_of(&[0.0, 0.1, 0.5]),
            delay: DelayRange {
                min_ms: 0,
                max_ms: rng.one_of(&[100, 2_000, MAX_DELAY_MS]),
            },
        });
        Some(Repetitions { rng })
    }

    /// Now and then restarts a controller, or makes a machine hang, for less than a second.
    pub(super) fn inject_short_outage(&mut self, cluster: &mut Cluster) {
        if self.rng.0.u32(0..MEAN_STEPS_PER_SHORT_OUTAGE) != 0 {
            return;
        }
        let duration_ms = self.rng.ms(30..MAX_SHORT_RESTART_MS);
        if self.rng.0.bool() {
            cluster.restart(self.rng.controller(), duration_ms);
        } else if let Some(machine) = self.rng.busy_machine(cluster) {
            cluster.hang(&machine, duration_ms);
        }
    }
}
