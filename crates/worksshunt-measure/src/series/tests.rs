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
fn runs_of_one_size_are_summarized() {
    let series = series(&[(500, 9.0), (250, 3.0), (250, 1.0), (250, 2.0)]);
    let summaries = series.summaries("m");
    assert_eq!(summaries.len(), 2);
    let Summary {
        machines,
        min,
        median,
        max,
    } = summaries[0];
    assert_eq!((machines, min, median, max), (250, 1.0, 2.0, 3.0));
    assert!(series.summaries("unknown").is_empty());
}

#[test]
fn growth_is_the_exponent_of_the_size() {
    let is_near = |exponent: Option<f64>, expected: f64| {
        exponent.is_some_and(|exponent| (exponent - expected).abs() < 1e-9)
    };
    assert!(is_near(
        series(&[(100, 2.0), (400, 8.0)]).growth_exponent("m"),
        1.0
    ));
    assert!(is_near(
        series(&[(100, 2.0), (200, 5.0), (400, 32.0)]).growth_exponent("m"),
        2.0
    ));
    assert!(is_near(
        series(&[(100, 2.0), (400, 2.0)]).growth_exponent("m"),
        0.0
    ));
    assert_eq!(series(&[(100, 0.0), (400, 2.0)]).growth_exponent("m"), None);
    assert_eq!(series(&[(100, 2.0)]).growth_exponent("m"), None);
}

/// Results file whose field names differ from those in the sources.
const RESULTS: &str = include_str!("tests/results.json");

#[test]
fn results_file_keeps_its_field_names() {
    let series: Series = serde_json::from_str(RESULTS).expect("a results file");
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
    // Compares parsed values because the last digit of a number may change on rewriting.
    let value = |text: &str| serde_json::from_str::<serde_json::Value>(text).expect("JSON");
    assert_eq!(value(&written), value(RESULTS));
}
