//! Measurements of one quantity at several sizes.

use serde::{Deserialize, Serialize};

use crate::Line;

/// One quantity measured at several sizes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Series {
    /// Name of the quantity.
    pub name: String,
    /// Name of the size.
    pub over: String,
    /// Unit of the values.
    pub unit: String,
    /// Sizes and values.
    pub points: Vec<(f64, f64)>,
}

impl Series {
    /// Creates a series without points.
    #[must_use]
    pub fn new(name: &str, over: &str, unit: &str) -> Self {
        Self {
            name: name.to_owned(),
            over: over.to_owned(),
            unit: unit.to_owned(),
            points: Vec::new(),
        }
    }

    /// Adds a point.
    #[must_use]
    pub fn point(mut self, size: f64, value: f64) -> Self {
        self.points.push((size, value));
        self
    }

    /// Returns the line fitted to the points.
    #[must_use]
    pub fn fit(&self) -> Line {
        Line::fit(&self.points)
    }

    /// Returns a row of a table: name, points and line.
    #[must_use]
    pub fn row(&self) -> String {
        let line = self.fit();
        let points = self.points.iter().map(|(size, value)| format!("{size}: {value:.1}"));
        format!(
            "| {} over {} | {} | {} | {:.4} | {:.1} | {:.0} % |",
            self.name,
            self.over,
            self.unit,
            points.collect::<Vec<_>>().join(", "),
            line.slope,
            line.base,
            line.error * 100.0,
        )
    }
}
