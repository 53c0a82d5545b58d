//! Draws a measurement over the size of the fleet. It owns no state; `report` calls it.

use std::error::Error;

use plotters::coord::types::RangedCoordf64;
use plotters::prelude::{
    Cartesian2d, ChartBuilder, ChartContext, Circle, Color, IntoDrawingArea, LineSeries, Palette,
    Palette99, PathElement, RGBAColor, SVGBackend, SeriesLabelPosition, WHITE,
};

use crate::series::Series;
use crate::MeasureError;

/// Size of a plot, pixels.
const SIZE: (u32, u32) = (520, 300);
/// Width of the labels beside the vertical axis, pixels.
const LABEL_AREA: u32 = 60;
/// End of the vertical axis, as a multiple of the largest value.
const VALUE_HEADROOM: f64 = 1.1;
/// End of the horizontal axis, as a multiple of the largest fleet.
const MACHINES_HEADROOM: f64 = 1.02;

/// A plot with its axes.
type Chart<'a, 'b> = ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

/// A plot (SVG) of one measurement, one line for each version, with a bar from the smallest to the largest value.
///
/// # Errors
/// The plot cannot be drawn.
pub fn svg(all: &[Series], name: &str) -> Result<String, MeasureError> {
    let mut text = String::new();
    draw(all, name, &mut text).map_err(MeasureError::Plot)?;
    Ok(text)
}

fn draw(all: &[Series], name: &str, text: &mut String) -> Result<(), Box<dyn Error>> {
    let spreads = all.iter().flat_map(|series| series.spreads(name));
    let (mut max_machines, mut max_value) = (1.0_f64, 0.0_f64);
    for spread in spreads {
        max_machines = max_machines.max(spread.machines as f64);
        max_value = max_value.max(spread.max);
    }
    let top = if max_value > 0.0 {
        max_value * VALUE_HEADROOM
    } else {
        1.0
    };
    let area = SVGBackend::with_string(text, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(name, ("sans-serif", 15))
        .margin(8)
        .x_label_area_size(LABEL_AREA / 2)
        .y_label_area_size(LABEL_AREA)
        .build_cartesian_2d(0.0..max_machines * MACHINES_HEADROOM, 0.0..top)?;
    chart.configure_mesh().x_desc("machines").draw()?;
    for (index, series) in all.iter().enumerate() {
        draw_series(&mut chart, series, name, Palette99::pick(index).to_rgba())?;
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.mix(0.8))
        .draw()?;
    area.present()?;
    Ok(())
}

/// Draws one version: a line and circles at the medians, and bars from the smallest to the largest value.
fn draw_series(
    chart: &mut Chart,
    series: &Series,
    name: &str,
    color: RGBAColor,
) -> Result<(), Box<dyn Error>> {
    let spreads = series.spreads(name);
    let medians = spreads.iter().map(|s| (s.machines as f64, s.median));
    chart
        .draw_series(LineSeries::new(medians.clone(), color.stroke_width(2)))?
        .label(&series.label)
        .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    chart.draw_series(medians.map(|point| Circle::new(point, 3, color.filled())))?;
    let bars = spreads.iter().map(|s| {
        let x = s.machines as f64;
        PathElement::new([(x, s.min), (x, s.max)], color)
    });
    chart.draw_series(bars)?;
    Ok(())
}
