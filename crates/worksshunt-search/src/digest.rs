//! Digests of the simulated random runs of a range of seeds.

use std::sync::Mutex;

use worksshunt_simulation::{random_run, RunDigest};

use crate::seeds::SeedRange;

/// Computes the digest of each seed's run, on all processors. The result is sorted by seed.
pub fn compute_run_digests(seeds: &SeedRange) -> Vec<(u64, RunDigest)> {
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let remaining_seeds = Mutex::new(seeds.from..seeds.to);
    let digests = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                while let Some(seed) = next_seed(&remaining_seeds) {
                    let digest = random_run::digest(seed);
                    lock(&digests).push((seed, digest));
                }
            });
        }
    });
    let mut digests = std::mem::take(&mut *lock(&digests));
    digests.sort_by_key(|(seed, _)| *seed);
    digests
}

fn next_seed(seeds: &Mutex<std::ops::Range<u64>>) -> Option<u64> {
    lock(seeds).next()
}

/// Locks a mutex even if it is poisoned: no access leaves its value inconsistent.
fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}
