//! Plots metrics of reports over a dimension of a sweep, as SVG files.

use crate::regression::{Point, Regression};
use plotters::drawing::DrawingAreaErrorKind;
use plotters::prelude::*;
use std::io;
use std::path::Path;

/// Width and height of a plot, in pixels.
const IMAGE_SIZE_PIXELS: (u32, u32) = (640, 400);
/// Ratio of the end of an axis to its largest value.
const AXIS_LENGTH_FACTOR: f64 = 1.1;
/// Lower bounds of the ends of the axes, so that an axis with only zeros is not empty.
const MIN_X_AXIS_LENGTH: f64 = 1.0;
const MIN_Y_AXIS_LENGTH: f64 = 1e-6;

/// An error of the plotting library.
type ChartError = DrawingAreaErrorKind<io::Error>;

/// A plot can't be written to its file.
#[derive(Debug, thiserror::Error)]
#[error("{path}: {source}")]
pub(crate) struct PlotError {
    path: String,
    source: ChartError,
}

/// A plot of a metric over a dimension.
pub(crate) struct Plot<'a> {
    /// Name of the metric, which is the plot's caption.
    pub metric: &'a str,
    /// Name of the dimension, which labels the x axis.
    pub dimension: &'a str,
    /// Sizes with the metric's value at each.
    pub points: &'a [Point],
    /// The regression of the points, which is drawn as a line; `None` if it can't be fitted.
    pub regression: Option<&'a Regression>,
}

impl Plot<'_> {
    /// Writes the plot to an SVG file.
    pub(crate) fn write(&self, path: &Path) -> Result<(), PlotError> {
        self.draw(path).map_err(|source| PlotError {
            path: path.display().to_string(),
            source,
        })
    }

    fn draw(&self, path: &Path) -> Result<(), ChartError> {
        let max_x = axis_end(self.points.iter().map(|point| point.0));
        let max_y = axis_end(self.points.iter().map(|point| point.1));
        let root = SVGBackend::new(path, IMAGE_SIZE_PIXELS).into_drawing_area();
        root.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&root)
            .caption(self.metric, ("sans-serif", 18))
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(64)
            .build_cartesian_2d(
                0.0..max_x.max(MIN_X_AXIS_LENGTH),
                0.0..max_y.max(MIN_Y_AXIS_LENGTH),
            )?;
        chart.configure_mesh().x_desc(self.dimension).draw()?;
        if let Some(regression) = self.regression {
            let point_at = |size| (size, regression.value_at(size));
            chart.draw_series(LineSeries::new([point_at(0.0), point_at(max_x)], &BLUE))?;
        }
        let dots = self.points.iter();
        chart.draw_series(dots.map(|point| Circle::new(*point, 4, RED.filled())))?;
        root.present()
    }
}

/// End of an axis for values.
fn axis_end(values: impl Iterator<Item = f64>) -> f64 {
    values.fold(0.0, f64::max) * AXIS_LENGTH_FACTOR
}
