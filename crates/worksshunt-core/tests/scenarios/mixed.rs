//! Simulations of random workloads and faults: no invariant is violated.
//!
//! The test simulates a fixed range of seeds, or the range in `SCENARIOS_MIXED=FROM..TO`. If `SCENARIOS_FIRST` is set,
//! it starts no further seed after the first failure.

use std::ops::Range;

use worksshunt_simulation::random_run;

/// Seeds simulated by default.
const CI_SEEDS: Range<u64> = 1_000_001..1_000_161;

/// Simulates the run with a seed. Panics if an invariant was violated or a job did not complete.
fn simulate(seed: u64) {
    let (_, result) = random_run::simulate(seed, None);
    result.unwrap_or_else(|failure| panic!("seed {seed}: {failure}"));
}

/// Returns the message of a panic, on one line.
fn panic_message(payload: &(dyn std::any::Any + Send)) -> String {
    let text = payload.downcast_ref::<String>().cloned();
    let text = text.or_else(|| {
        payload
            .downcast_ref::<&str>()
            .map(|text| (*text).to_owned())
    });
    text.unwrap_or_default().replace('\n', " ")
}

#[test]
fn days_of_mixed_faults() {
    let seeds = match std::env::var("SCENARIOS_MIXED") {
        Ok(range) => {
            let (from, to) = range.split_once("..").expect("FROM..TO");
            from.parse().expect("a number")..to.parse().expect("a number")
        }
        Err(_) => CI_SEEDS,
    };
    // Seeds are started in order, so all seeds before the first failed one are simulated.
    let stops_at_first_failure = std::env::var_os("SCENARIOS_FIRST").is_some();
    let remaining_seeds = std::sync::Mutex::new(seeds);
    let failed_seeds = std::sync::Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| loop {
                if stops_at_first_failure && !failed_seeds.lock().expect("a lock").is_empty() {
                    break;
                }
                let Some(seed) = remaining_seeds.lock().expect("a lock").next() else {
                    break;
                };
                if let Err(payload) = std::panic::catch_unwind(|| simulate(seed)) {
                    println!("finding: seed {seed}: {}", panic_message(&*payload));
                    failed_seeds.lock().expect("a lock").push(seed);
                }
            });
        }
    });
    let mut failed_seeds = failed_seeds.into_inner().expect("a lock");
    failed_seeds.sort_unstable();
    assert!(failed_seeds.is_empty(), "seeds {failed_seeds:?}");
}
