//! A straight line through measured points.
use serde::Serialize;

/// A line fits its points if no point lies further from it than this part of the point's own value.
const MAX_RESIDUAL: f64 = 0.1;

/// The line `y = at_zero + slope * x`, fitted by least squares.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Line {
    /// Value of y at x = 0.
    pub at_zero: f64,
    /// Growth of y per unit of x.
    pub slope: f64,
    /// Greatest distance of a point from the line, as a part of the point's own value.
    pub worst_residual: f64,
}

impl Line {
    /// Fits a line to points of x and y.
    pub fn through(points: &[(f64, f64)]) -> Line {
        let count = points.len().max(1) as f64;
        let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
        let (x, y) = (mean(|point| point.0), mean(|point| point.1));
        let sum_xx: f64 = points.iter().map(|point| (point.0 - x).powi(2)).sum();
        let sum_xy: f64 = points
            .iter()
            .map(|point| (point.0 - x) * (point.1 - y))
            .sum();
        let slope = if sum_xx > 0.0 { sum_xy / sum_xx } else { 0.0 };
        let at_zero = y - slope * x;
        let residual = |point: &(f64, f64)| {
            (at_zero + slope * point.0 - point.1).abs() / point.1.abs().max(f64::MIN_POSITIVE)
        };
        let worst_residual = points
            .iter()
            .filter(|point| point.1 != 0.0)
            .map(residual)
            .fold(0.0, f64::max);
        Line {
            at_zero,
            slope,
            worst_residual,
        }
    }

    /// Returns whether all points lie near the line.
    pub fn fits(&self) -> bool {
        self.worst_residual <= MAX_RESIDUAL
    }
}
