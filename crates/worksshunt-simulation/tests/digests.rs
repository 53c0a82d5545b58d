//! The digests of some random days are those on file, so a change of behaviour or of a byte on the wire is noticed.
//!
//! `fixtures/digests.txt` holds lines of `worksshunt-search digest 1..9`. A change that is meant to alter behaviour
//! or messages replaces it in the same commit and says why.

use worksshunt_simulation::random_day;

#[test]
fn random_days_have_the_digests_on_file() {
    let days = include_str!("fixtures/digests.txt").lines().map(|line| {
        let (seed, _) = line.split_once(' ').expect("a seed and its digest");
        let seed: u64 = seed.parse().expect("a number");
        let play = std::thread::spawn(move || random_day::digest(seed));
        (line, seed, play)
    });
    let days: Vec<_> = days.collect();
    assert_eq!(days.len(), 8);
    for (line, seed, play) in days {
        let digest = play.join().expect("a digest");
        assert_eq!(format!("{seed} {digest}"), line);
    }
}
