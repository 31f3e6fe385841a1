//! A straight line through what was measured.
use serde::Serialize;

/// A line fits where no median lies further from it than this part of its own value.
const FITS_WITHIN: f64 = 0.1;

/// `y = at_zero + slope x` by least squares.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Line {
    /// y where x is nothing.
    pub at_zero: f64,
    /// What y grows by for each x.
    pub slope: f64,
    /// The furthest that a point lies from it, as a part of the point's value.
    pub worst_residual: f64,
}

impl Line {
    /// The line through points of x and y.
    pub fn through(points: &[(f64, f64)]) -> Line {
        let count = points.len().max(1) as f64;
        let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
        let (x, y) = (mean(|point| point.0), mean(|point| point.1));
        let spread: f64 = points.iter().map(|point| (point.0 - x).powi(2)).sum();
        let together: f64 = points
            .iter()
            .map(|point| (point.0 - x) * (point.1 - y))
            .sum();
        let slope = if spread > 0.0 { together / spread } else { 0.0 };
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

    /// Whether the points lie on it, nearly.
    pub fn fits(&self) -> bool {
        self.worst_residual <= FITS_WITHIN
    }
}
