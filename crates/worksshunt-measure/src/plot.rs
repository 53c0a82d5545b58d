//! Plots of a measurement against the size of the fleet, for `report`.

use std::error::Error;

use plotters::coord::types::RangedCoordf64;
use plotters::prelude::{
    Cartesian2d, ChartBuilder, ChartContext, Circle, Color, IntoDrawingArea, LineSeries, Palette,
    Palette99, PathElement, RGBAColor, SVGBackend, SeriesLabelPosition, WHITE,
};

use crate::series::Series;
use crate::MeasureError;

/// Width and height of a plot.
const PLOT_SIZE_PX: (u32, u32) = (520, 300);
/// Width of the labels of the vertical axis; those of the horizontal axis get half of it as height.
const LABEL_AREA_PX: u32 = 60;
/// Upper end of the vertical axis, as a multiple of the largest value.
const VALUE_AXIS_FACTOR: f64 = 1.1;
/// Right end of the horizontal axis, as a multiple of the largest fleet.
const MACHINES_AXIS_FACTOR: f64 = 1.02;

/// Plot with linear axes: machines horizontally, values vertically.
type Chart<'a, 'b> = ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

/// Plots a measurement as SVG: for each version a line through the medians, with bars from minimum to maximum.
///
/// # Errors
/// The plot cannot be drawn.
pub fn render_svg(all_series: &[Series], measurement: &str) -> Result<String, MeasureError> {
    let mut svg = String::new();
    draw(all_series, measurement, &mut svg).map_err(MeasureError::Plot)?;
    Ok(svg)
}

fn draw(all_series: &[Series], measurement: &str, svg: &mut String) -> Result<(), Box<dyn Error>> {
    let summaries = all_series
        .iter()
        .flat_map(|series| series.summaries(measurement));
    let (mut max_machines, mut max_value) = (1.0_f64, 0.0_f64);
    for summary in summaries {
        max_machines = max_machines.max(summary.machines as f64);
        max_value = max_value.max(summary.max);
    }
    let value_axis_end = if max_value > 0.0 {
        max_value * VALUE_AXIS_FACTOR
    } else {
        1.0
    };
    let area = SVGBackend::with_string(svg, PLOT_SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(measurement, ("sans-serif", 15))
        .margin(8)
        .x_label_area_size(LABEL_AREA_PX / 2)
        .y_label_area_size(LABEL_AREA_PX)
        .build_cartesian_2d(
            0.0..max_machines * MACHINES_AXIS_FACTOR,
            0.0..value_axis_end,
        )?;
    chart.configure_mesh().x_desc("machines").draw()?;
    for (index, series) in all_series.iter().enumerate() {
        draw_series(
            &mut chart,
            series,
            measurement,
            Palette99::pick(index).to_rgba(),
        )?;
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.mix(0.8))
        .draw()?;
    area.present()?;
    Ok(())
}

/// Draws one version: a line with circles at the medians, and bars from minimum to maximum.
fn draw_series(
    chart: &mut Chart,
    series: &Series,
    measurement: &str,
    color: RGBAColor,
) -> Result<(), Box<dyn Error>> {
    let summaries = series.summaries(measurement);
    let medians = summaries.iter().map(|s| (s.machines as f64, s.median));
    chart
        .draw_series(LineSeries::new(medians.clone(), color.stroke_width(2)))?
        .label(&series.label)
        .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    chart.draw_series(medians.map(|point| Circle::new(point, 3, color.filled())))?;
    let bars = summaries.iter().map(|s| {
        let x = s.machines as f64;
        PathElement::new([(x, s.min), (x, s.max)], color)
    });
    chart.draw_series(bars)?;
    Ok(())
}
