//! Lines fitted to measured points.

use serde::{Deserialize, Serialize};

/// A line fitted by least squares.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Slope per unit.
    pub slope: f64,
    /// Value at 0.
    pub base: f64,
    /// Maximum distance of a point from the line, as a share of the largest value.
    pub error: f64,
}

impl Line {
    /// Fits a line to points.
    #[must_use]
    pub fn fit(points: &[(f64, f64)]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let joint: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let slope = if spread > 0.0 { joint / spread } else { 0.0 };
        let line = Self { slope, base: mean_y - slope * mean_x, error: 0.0 };
        let largest = points.iter().map(|(_, y)| y.abs()).fold(f64::MIN_POSITIVE, f64::max);
        let distance = points.iter().map(|(x, y)| (y - line.at(*x)).abs()).fold(0.0, f64::max);
        Self { error: distance / largest, ..line }
    }

    /// Returns the value of the line at a size.
    #[must_use]
    pub const fn at(&self, x: f64) -> f64 {
        self.base + self.slope * x
    }
}
