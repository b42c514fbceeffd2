//! Least-squares regression of a metric over the sizes of a sweep.

use serde::Serialize;

/// A size, with the value of a metric at it.
pub(crate) type Point = (f64, f64);

/// A linear regression `value = intercept + slope * size`, with the exponent of a power law
/// `value ~ size ^ exponent`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub(crate) struct Regression {
    /// Value of the line at size 0.
    pub intercept: f64,
    /// Increase of the value per unit of size.
    pub slope: f64,
    /// Exponent of the power law: 1 is linear growth. `None` if a size or a value is not above
    /// 0, as it has no logarithm then.
    pub exponent: Option<f64>,
    /// Root mean square of the residuals of the line.
    pub residual: f64,
}

impl Regression {
    /// Fits points by least squares. `None` unless there are two different sizes.
    pub(crate) fn fit(points: &[Point]) -> Option<Self> {
        let line = Line::fit(points)?;
        Some(Self {
            intercept: line.intercept,
            slope: line.slope,
            exponent: power_exponent(points),
            residual: line.residual(points),
        })
    }

    /// Value of the line at a size.
    pub(crate) fn value_at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}

/// Exponent of the power law through points: the slope of the line through their logarithms.
fn power_exponent(points: &[Point]) -> Option<f64> {
    let are_positive = points.iter().all(|(x, y)| *x > 0.0 && *y > 0.0);
    if !are_positive {
        return None;
    }
    let logarithms: Vec<Point> = points.iter().map(|(x, y)| (x.ln(), y.ln())).collect();
    Line::fit(&logarithms).map(|line| line.slope)
}

/// A straight line `y = intercept + slope * x`.
struct Line {
    intercept: f64,
    slope: f64,
}

impl Line {
    /// Fits a line by least squares. `None` unless there are two different x.
    fn fit(points: &[Point]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let squares: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        // Without points the means, and so the sum, are not numbers.
        if squares.is_nan() || squares <= 0.0 {
            return None;
        }
        let products = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y));
        let slope = products.sum::<f64>() / squares;
        let intercept = mean_y - slope * mean_x;
        Some(Self { intercept, slope })
    }

    /// Root mean square of the residuals of points.
    fn residual(&self, points: &[Point]) -> f64 {
        let squares = points
            .iter()
            .map(|(x, y)| (y - self.intercept - self.slope * x).powi(2));
        (squares.sum::<f64>() / points.len() as f64).sqrt()
    }
}

#[cfg(test)]
mod tests;
