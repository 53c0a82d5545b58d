//! The HTML report of the command `report`, with a plot and tables for each measurement.

use std::collections::BTreeSet;
use std::fmt::Write;

use crate::plot;
use crate::series::{Series, Summary};
use crate::MeasureError;

/// Start of the page, up to the first measurement.
const PAGE_HEAD: &str = "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\">\
<title>How a controller's work grows with the fleet</title><style>\
body{font-family:sans-serif;margin:2em;max-width:72em}section{display:inline-block;margin:0 1em 1.5em 0;vertical-align:top}\
table{border-collapse:collapse;font-size:85%}td,th{border:1px solid #bbb;padding:2px 6px;text-align:right}\
</style></head><body><h1>How a controller's work grows with the fleet</h1>\
<p>Simulated cluster on virtual time; durations are the measured times of the controllers' decisions, \
without network. Each value is the median of all runs, with minimum and maximum in parentheses. Growth is the exponent \
of the value as a power of the fleet size, between the smallest and the largest fleet.</p>";

/// Escapes HTML's special characters in element content.
fn escape_html(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}

fn format_cell(summary: &Summary) -> String {
    let Summary {
        min, median, max, ..
    } = summary;
    if min == max {
        format!("{median:.3}")
    } else {
        format!("{median:.3} ({min:.3} to {max:.3})")
    }
}

fn render_table(series: &Series, measurement: &str) -> String {
    let summaries = series.summaries(measurement);
    let sizes: String = summaries
        .iter()
        .map(|s| format!("<th>{}</th>", s.machines))
        .collect();
    let values: String = summaries
        .iter()
        .map(|s| format!("<td>{}</td>", format_cell(s)))
        .collect();
    let growth = series
        .growth_exponent(measurement)
        .map_or("none".to_owned(), |exponent| format!("{exponent:.2}"));
    format!(
        "<table><tr><th>{}</th>{sizes}<th>growth</th></tr><tr><td></td>{values}<td>{growth}</td></tr></table>",
        escape_html(&series.label)
    )
}

/// Renders the report as one page with embedded plots.
///
/// # Errors
/// A plot cannot be drawn.
pub fn render_html(all_series: &[Series]) -> Result<String, MeasureError> {
    let measurements: BTreeSet<&String> =
        all_series.iter().flat_map(Series::measurements).collect();
    let mut page = PAGE_HEAD.to_owned();
    for measurement in measurements {
        let plot = plot::render_svg(all_series, measurement)?;
        let tables: String = all_series
            .iter()
            .map(|series| render_table(series, measurement))
            .collect();
        let title = escape_html(measurement);
        let written = write!(page, "<section><h2>{title}</h2>{plot}{tables}</section>");
        written.map_err(|error| MeasureError::Plot(error.into()))?;
    }
    page.push_str("</body></html>\n");
    Ok(page)
}

#[cfg(test)]
mod tests;
