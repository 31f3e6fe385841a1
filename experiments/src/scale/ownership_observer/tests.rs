//! Tests of the detection of overlapping holdings and of epochs that don't grow.
use super::{Holding, OwnershipObserver, epochs_not_grown, two_owners};
use thistlecroft::time::Instant;

fn holdings_of(observations: &[(u64, usize, u64)]) -> Vec<Holding> {
    let mut observer = OwnershipObserver::default();
    for (at, owner, epoch) in observations {
        observer.observe(
            *owner,
            std::iter::once((7, *epoch)),
            Instant::from_micros(*at),
        );
    }
    observer.into_holdings()
}

#[test]
fn overlaps_and_epochs_that_do_not_grow_are_counted_and_changes_of_owner_are_not() {
    // Observations of a subject (time, owner, epoch), overlapping pairs, epochs not grown.
    type ObservationCase = (&'static [(u64, usize, u64)], usize, usize);
    let cases: &[ObservationCase] = &[
        (&[(1, 0, 5), (2, 0, 5), (3, 1, 6), (4, 1, 6)], 0, 0),
        (&[(1, 0, 5), (3, 1, 6), (4, 0, 5)], 1, 0),
        (&[(1, 0, 5), (2, 1, 6), (3, 0, 7)], 0, 0),
        (&[(1, 0, 5), (2, 1, 5)], 0, 1),
        (&[(1, 0, 5), (2, 1, 4)], 0, 1),
        (&[(1, 0, 5), (1, 1, 6)], 1, 0),
    ];
    for (observations, overlaps, not_grown) in cases {
        let holdings = holdings_of(observations);
        assert_eq!(
            (two_owners(&holdings), epochs_not_grown(&holdings)),
            (*overlaps, *not_grown),
            "{observations:?}"
        );
    }
}
