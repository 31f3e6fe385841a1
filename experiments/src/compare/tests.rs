//! Tests that differences are told from random variation.
use super::{Verdict, verdict};

#[test]
fn verdict_difference_within_variation_is_not_significant() {
    use Verdict::{Better, Same, Unknown, WithinVariation, Worse};
    let cases: [(&[f64], &[f64], bool, Verdict); 8] = [
        (&[1.0, 1.1, 0.9], &[1.05, 0.95, 1.15], true, WithinVariation),
        (&[1.0, 1.1, 0.9], &[1.5, 1.6, 1.4], true, Better),
        (&[1.0, 1.1, 0.9], &[1.5, 1.6, 1.4], false, Worse),
        (&[1.0, 1.1, 0.9], &[0.5, 0.6, 0.4], false, Better),
        (&[1.0, 5.0], &[2.0, 9.0], false, WithinVariation),
        (&[1.0], &[2.0], true, Unknown),
        (&[1.0], &[1.0], true, Same),
        (&[0.0, 0.0], &[0.0, 0.0], false, Same),
    ];
    for (first, second, more_is_better, expected) in cases {
        assert_eq!(
            verdict(first, second, more_is_better),
            expected,
            "{first:?} {second:?}"
        );
    }
}
