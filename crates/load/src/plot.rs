//! SVG plots of response times.

use std::path::Path;

use plotters::prelude::*;

/// Size of a plot in pixels.
const SIZE: (u32, u32) = (900, 520);
/// Upper end of the horizontal axis.
const LARGEST_RATIO: f64 = 4.0;

/// Failure to draw a plot.
#[derive(Debug, thiserror::Error)]
#[error("draw {path}: {detail}")]
pub struct PlotError {
    path: String,
    detail: String,
}

/// Draws the cumulative distribution of each named series of sorted ratios to the ideal.
///
/// # Errors
/// Returns an error if the file cannot be written.
pub fn plot_cdf(path: &Path, title: &str, series: &[(String, Vec<f64>)]) -> Result<(), PlotError> {
    draw(path, title, series)
        .map_err(|error| PlotError { path: path.display().to_string(), detail: error.to_string() })
}

fn draw(
    path: &Path,
    title: &str,
    series: &[(String, Vec<f64>)],
) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(1.0..LARGEST_RATIO, 0.0..1.0)?;
    chart
        .configure_mesh()
        .x_desc("response time / ideal")
        .y_desc("share of complete jobs")
        .draw()?;
    for (index, (name, ratios)) in series.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let count = ratios.len().max(1) as f64;
        let share = |(place, ratio): (usize, &f64)| (*ratio, (place + 1) as f64 / count);
        let points: Vec<(f64, f64)> = ratios.iter().enumerate().map(share).collect();
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerRight)
        .border_style(BLACK)
        .background_style(WHITE)
        .draw()?;
    area.present()?;
    Ok(())
}
