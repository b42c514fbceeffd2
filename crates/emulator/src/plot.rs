//! Plots of figures over sizes, as SVG.

use crate::fit::Fit;
use plotters::prelude::*;
use std::path::Path;

/// Width and height, in pixels.
const SIZE: (u32, u32) = (640, 400);
/// Room above the largest value.
const HEADROOM: f64 = 1.1;

/// Why a plot can't be written.
#[derive(Debug, thiserror::Error)]
#[error("{path}: {reason}")]
pub struct Failure {
    path: String,
    reason: String,
}

/// Draws points with the line that was fitted through them.
pub fn draw(
    path: &Path,
    (name, size_name): (&str, &str),
    points: &[(f64, f64)],
    fit: Option<&Fit>,
) -> Result<(), Failure> {
    let failed = |reason: String| Failure {
        path: path.display().to_string(),
        reason,
    };
    draw_chart(path, (name, size_name), points, fit).map_err(|e| failed(e.to_string()))
}

fn draw_chart(
    path: &Path,
    (name, size_name): (&str, &str),
    points: &[(f64, f64)],
    fit: Option<&Fit>,
) -> Result<(), Box<dyn std::error::Error>> {
    let most = |values: &mut dyn Iterator<Item = f64>| values.fold(0.0, f64::max);
    let most_x = most(&mut points.iter().map(|p| p.0)) * HEADROOM;
    let most_y = most(&mut points.iter().map(|p| p.1)) * HEADROOM;
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(name, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..most_x.max(1.0), 0.0..most_y.max(1e-6))?;
    chart.configure_mesh().x_desc(size_name).draw()?;
    if let Some(fit) = fit {
        let at = |x: f64| (x, fit.intercept + fit.slope * x);
        chart.draw_series(LineSeries::new([at(0.0), at(most_x)], &BLUE))?;
    }
    let dots = points.iter().map(|p| Circle::new(*p, 4, RED.filled()));
    chart.draw_series(dots)?;
    root.present()?;
    Ok(())
}
