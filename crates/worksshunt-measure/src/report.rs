//! The report (HTML): a plot and a table for each measurement. It owns no state; the command `report` calls it.

use std::collections::BTreeSet;
use std::fmt::Write;

use crate::plot;
use crate::series::{Series, Spread};
use crate::MeasureError;

/// All before the first measurement.
const HEAD: &str = "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\">\
<title>How a controller's work grows with the fleet</title><style>\
body{font-family:sans-serif;margin:2em;max-width:72em}section{display:inline-block;margin:0 1em 1.5em 0;vertical-align:top}\
table{border-collapse:collapse;font-size:85%}td,th{border:1px solid #bbb;padding:2px 6px;text-align:right}\
</style></head><body><h1>How a controller's work grows with the fleet</h1>\
<p>Simulated cluster on virtual time: the times are those that the decisions really took, without network. Medians, in brackets \
the least and the most of all runs; growth is the power of the fleet's size from the smallest to the largest.</p>";

/// Escapes the special characters of HTML.
fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}

fn cell(spread: &Spread) -> String {
    let Spread {
        min, median, max, ..
    } = spread;
    if min == max {
        format!("{median:.3}")
    } else {
        format!("{median:.3} ({min:.3} to {max:.3})")
    }
}

fn table(series: &Series, name: &str) -> String {
    let spreads = series.spreads(name);
    let sizes: String = spreads
        .iter()
        .map(|s| format!("<th>{}</th>", s.machines))
        .collect();
    let values: String = spreads
        .iter()
        .map(|s| format!("<td>{}</td>", cell(s)))
        .collect();
    let growth = series
        .growth(name)
        .map_or("none".to_owned(), |exponent| format!("{exponent:.2}"));
    format!(
        "<table><tr><th>{}</th>{sizes}<th>growth</th></tr><tr><td></td>{values}<td>{growth}</td></tr></table>",
        escape(&series.label)
    )
}

/// The whole report, with its plots inside.
///
/// # Errors
/// A plot cannot be drawn.
pub fn html(all: &[Series]) -> Result<String, MeasureError> {
    let names: BTreeSet<&String> = all.iter().flat_map(Series::names).collect();
    let mut page = HEAD.to_owned();
    for name in names {
        let plot = plot::svg(all, name)?;
        let tables: String = all.iter().map(|series| table(series, name)).collect();
        let title = escape(name);
        let written = write!(page, "<section><h2>{title}</h2>{plot}{tables}</section>");
        written.map_err(|error| MeasureError::Plot(error.into()))?;
    }
    page.push_str("</body></html>\n");
    Ok(page)
}

#[cfg(test)]
mod tests;
