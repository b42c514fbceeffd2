//! How a figure grows with a size: a straight line, and the exponent of a power.

use serde::Serialize;

/// A fit of `figure = intercept + slope * size`, and of `figure ~ size ^ exponent`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fit {
    /// The figure at size 0.
    pub intercept: f64,
    /// What one more of the size adds.
    pub slope: f64,
    /// 1: grows like the size; above: faster. None if a value is not above 0.
    pub exponent: Option<f64>,
    /// Root of the mean square of what the line misses.
    pub residual: f64,
}

/// Fits points of size and figure by least squares. There must be two sizes.
pub fn fit(points: &[(f64, f64)]) -> Option<Fit> {
    let (intercept, slope) = line(points)?;
    let missed = points
        .iter()
        .map(|(x, y)| (y - intercept - slope * x).powi(2));
    let residual = (missed.sum::<f64>() / points.len() as f64).sqrt();
    let positive = points.iter().all(|(x, y)| *x > 0.0 && *y > 0.0);
    let logarithms: Vec<(f64, f64)> = points.iter().map(|(x, y)| (x.ln(), y.ln())).collect();
    let power = positive.then(|| line(&logarithms)).flatten();
    Some(Fit {
        intercept,
        slope,
        exponent: power.map(|(_, exponent)| exponent),
        residual,
    })
}

/// Intercept and slope of the line through points that misses least.
fn line(points: &[(f64, f64)]) -> Option<(f64, f64)> {
    let n = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / n;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / n;
    let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    // Written so that no points at all, which make it not a number, are refused too.
    if spread.is_nan() || spread <= 0.0 {
        return None;
    }
    let both = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y));
    let slope = both.sum::<f64>() / spread;
    Some((mean_y - slope * mean_x, slope))
}

#[cfg(test)]
mod tests;
