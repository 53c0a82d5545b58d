//! Digests of the random days of a range of seeds, one line for each.

use std::sync::Mutex;

use worksshunt_simulation::{random_run, RunDigest};

use crate::seeds::SeedRange;

/// Plays the days of all seeds on every processor and returns their digests, by seed.
pub fn of_days(seeds: &SeedRange) -> Vec<(u64, RunDigest)> {
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let next = Mutex::new(seeds.from..seeds.to);
    let digests = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                while let Some(seed) = next_seed(&next) {
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

/// Locks a mutex, also after another thread has panicked: each access leaves the value consistent.
fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}
