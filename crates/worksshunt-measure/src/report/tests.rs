//! Tests of `report`.

use super::*;
use crate::series::Run;

#[test]
fn each_measurement_has_one_plot_and_a_table_per_version() {
    let series = |label: &str, value: f64| Series {
        label: label.into(),
        runs: [(250, value), (500, value * 2.0)]
            .map(|(machines, value)| {
                let mut run = Run::new(machines);
                run.record("tick: <longest>, ms", value);
                run
            })
            .into(),
    };
    let page = render_html(&[series("before", 8.0), series("now", 4.0)]).expect("a page");
    assert_eq!(page.matches("<svg").count(), 1);
    assert_eq!(page.matches("<table>").count(), 2);
    assert!(page.contains("<h2>tick: &lt;longest&gt;, ms</h2>"));
    assert!(page.contains("<td>16.000</td><td>1.00</td>"));
    assert!(page.contains("<td>8.000</td><td>1.00</td>"));
}
