//! Tests of `series`.

use super::*;

fn series(values: &[(usize, f64)]) -> Series {
    let run = |(machines, value): &(usize, f64)| {
        let mut run = Run::new(*machines);
        run.record("m", *value);
        run
    };
    Series {
        label: "now".into(),
        runs: values.iter().map(run).collect(),
    }
}

#[test]
fn runs_of_a_size_are_summed_up_by_minimum_median_and_maximum() {
    let series = series(&[(500, 9.0), (250, 3.0), (250, 1.0), (250, 2.0)]);
    let spreads = series.spreads("m");
    assert_eq!(spreads.len(), 2);
    let Spread {
        machines,
        min,
        median,
        max,
    } = spreads[0];
    assert_eq!((machines, min, median, max), (250, 1.0, 2.0, 3.0));
    assert!(series.spreads("unknown").is_empty());
}

#[test]
fn growth_is_the_power_of_the_size() {
    let near = |found: Option<f64>, power: f64| found.is_some_and(|p| (p - power).abs() < 1e-9);
    assert!(near(series(&[(100, 2.0), (400, 8.0)]).growth("m"), 1.0));
    assert!(near(
        series(&[(100, 2.0), (200, 5.0), (400, 32.0)]).growth("m"),
        2.0
    ));
    assert!(near(series(&[(100, 2.0), (400, 2.0)]).growth("m"), 0.0));
    assert_eq!(series(&[(100, 0.0), (400, 2.0)]).growth("m"), None);
    assert_eq!(series(&[(100, 2.0)]).growth("m"), None);
}

/// A file that `run` wrote before the fields had their present names in the sources.
const RESULTS: &str = include_str!("tests/results.json");

#[test]
fn a_file_of_results_keeps_its_field_names() {
    let series: Series = serde_json::from_str(RESULTS).expect("a file of results");
    assert_eq!(series.label, "before");
    let sizes: Vec<usize> = series.runs.iter().map(|run| run.machines).collect();
    assert_eq!(sizes, [20, 40]);
    let name = "until a worker is answered after a restart, s";
    let values = series.runs.iter().map(|run| run.values[name]);
    assert_eq!(values.collect::<Vec<f64>>(), [1.25, 1.25]);
    let written = serde_json::to_string_pretty(&series).expect("can be written");
    let names = |text: &str| -> Vec<String> {
        let names = text.lines().filter_map(|line| line.split_once("\":"));
        names.map(|(name, _)| name.to_owned()).collect()
    };
    assert_eq!(names(&written), names(RESULTS));
    // Not the texts: reading a number may change its last digit.
    let value = |text: &str| serde_json::from_str::<serde_json::Value>(text).expect("JSON");
    assert_eq!(value(&written), value(RESULTS));
}
