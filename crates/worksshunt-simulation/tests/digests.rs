//! Guards against unintended changes of behavior or wire formats: random runs have the stored digests.
//!
//! `fixtures/digests.txt` is the output of `worksshunt-search digest 1..9`. A commit that changes behavior or messages
//! on purpose replaces the file and explains why.

use worksshunt_simulation::random_run;

#[test]
fn random_runs_have_the_stored_digests() {
    let runs = include_str!("fixtures/digests.txt").lines().map(|line| {
        let (seed, _) = line.split_once(' ').expect("a seed and its digest");
        let seed: u64 = seed.parse().expect("a number");
        let run = std::thread::spawn(move || random_run::digest(seed));
        (line, seed, run)
    });
    let runs: Vec<_> = runs.collect();
    assert_eq!(runs.len(), 8);
    for (line, seed, run) in runs {
        let digest = run.join().expect("a digest");
        assert_eq!(format!("{seed} {digest}"), line);
    }
}
