//! Whether differences are more than scatter.
use super::{Verdict, verdict};

#[test]
fn difference_within_the_scatter_is_none() {
    use Verdict::{Better, Same, Scatter, Unknown, Worse};
    let cases: [(&[f64], &[f64], bool, Verdict); 8] = [
        (&[1.0, 1.1, 0.9], &[1.05, 0.95, 1.15], true, Scatter),
        (&[1.0, 1.1, 0.9], &[1.5, 1.6, 1.4], true, Better),
        (&[1.0, 1.1, 0.9], &[1.5, 1.6, 1.4], false, Worse),
        (&[1.0, 1.1, 0.9], &[0.5, 0.6, 0.4], false, Better),
        (&[1.0, 5.0], &[2.0, 9.0], false, Scatter),
        (&[1.0], &[2.0], true, Unknown),
        (&[1.0], &[1.0], true, Same),
        (&[0.0, 0.0], &[0.0, 0.0], false, Same),
    ];
    for (one, two, more, expected) in cases {
        assert_eq!(verdict(one, two, more), expected, "{one:?} {two:?}");
    }
}
