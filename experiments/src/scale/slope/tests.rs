//! Tests of fitted lines.
use super::Line;

#[test]
fn line_fits_only_points_that_lie_near_it() {
    let line = Line::through(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0), (8.0, 19.0)]);
    assert!((line.at_zero - 3.0).abs() < 1e-9 && (line.slope - 2.0).abs() < 1e-9 && line.fits());
    assert!(!Line::through(&[(1.0, 1.0), (2.0, 4.0), (4.0, 16.0), (8.0, 64.0)]).fits());
    assert!(Line::through(&[(1.0, 5.0), (2.0, 5.2), (4.0, 4.9), (8.0, 5.0)]).fits());
}
