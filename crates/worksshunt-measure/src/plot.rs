//! Draws a measurement over the size of the fleet.

use plotters::prelude::*;

use crate::series::Series;
use crate::MeasureError;

/// Size of a plot, pixels.
const SIZE: (u32, u32) = (520, 300);
/// Width of the lines' labels beside the axes, pixels.
const LABEL_AREA: u32 = 60;
/// Room above the highest value.
const HEADROOM: f64 = 1.1;

/// A plot (SVG) of one measurement, one line for each version, with a bar from the least to the most.
pub fn svg(all: &[Series], name: &str) -> Result<String, MeasureError> {
    let mut text = String::new();
    draw(all, name, &mut text).map_err(|error| MeasureError::Plot(error.to_string()))?;
    Ok(text)
}

fn draw(all: &[Series], name: &str, text: &mut String) -> Result<(), Box<dyn std::error::Error>> {
    let spreads = all.iter().flat_map(|series| series.spreads(name));
    let (mut machines, mut most) = (1.0_f64, 0.0_f64);
    for spread in spreads {
        machines = machines.max(spread.machines as f64);
        most = most.max(spread.most);
    }
    let top = if most > 0.0 { most * HEADROOM } else { 1.0 };
    let area = SVGBackend::with_string(text, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(name, ("sans-serif", 15))
        .margin(8)
        .x_label_area_size(LABEL_AREA / 2)
        .y_label_area_size(LABEL_AREA)
        .build_cartesian_2d(0.0..machines * 1.02, 0.0..top)?;
    chart.configure_mesh().x_desc("machines").draw()?;
    for (index, series) in all.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let spreads = series.spreads(name);
        let medians = spreads.iter().map(|s| (s.machines as f64, s.median));
        chart
            .draw_series(LineSeries::new(medians.clone(), color.stroke_width(2)))?
            .label(&series.label)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
        chart.draw_series(medians.map(|point| Circle::new(point, 3, color.filled())))?;
        let bars = spreads.iter().map(|s| {
            let x = s.machines as f64;
            PathElement::new([(x, s.least), (x, s.most)], color)
        });
        chart.draw_series(bars)?;
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.mix(0.8))
        .draw()?;
    area.present()?;
    Ok(())
}
