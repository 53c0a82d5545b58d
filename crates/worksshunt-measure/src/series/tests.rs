//! Tests of `series`.

use super::*;

fn series(values: &[(usize, f64)]) -> Series {
    let day = |(machines, value): &(usize, f64)| {
        let mut day = Day::new(*machines);
        day.put("m", *value);
        day
    };
    Series {
        label: "now".into(),
        days: values.iter().map(day).collect(),
    }
}

#[test]
fn runs_of_a_size_are_summed_up_by_least_median_and_most() {
    let series = series(&[(500, 9.0), (250, 3.0), (250, 1.0), (250, 2.0)]);
    let spreads = series.spreads("m");
    assert_eq!(spreads.len(), 2);
    let Spread {
        machines,
        least,
        median,
        most,
    } = spreads[0];
    assert_eq!((machines, least, median, most), (250, 1.0, 2.0, 3.0));
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
