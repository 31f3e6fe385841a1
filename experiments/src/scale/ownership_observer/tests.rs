//! Overlaps of holdings.
use super::{Holding, OwnershipObserver, epochs_not_grown, two_owners};
use thistlecroft::time::Instant;

fn holdings_of(looks: &[(u64, usize, u64)]) -> Vec<Holding> {
    let mut observer = OwnershipObserver::default();
    for (at, owner, epoch) in looks {
        observer.look(
            *owner,
            std::iter::once((7, *epoch)),
            Instant::from_micros(*at),
        );
    }
    observer.into_holdings()
}

#[test]
fn overlaps_and_falling_epochs_are_counted_and_handovers_are_not() {
    // Looks at one subject (time, owner, epoch), pairs at once, epochs that did not grow.
    type Case = (&'static [(u64, usize, u64)], usize, usize);
    let cases: &[Case] = &[
        (&[(1, 0, 5), (2, 0, 5), (3, 1, 6), (4, 1, 6)], 0, 0),
        (&[(1, 0, 5), (3, 1, 6), (4, 0, 5)], 1, 0),
        (&[(1, 0, 5), (2, 1, 6), (3, 0, 7)], 0, 0),
        (&[(1, 0, 5), (2, 1, 5)], 0, 1),
        (&[(1, 0, 5), (2, 1, 4)], 0, 1),
        (&[(1, 0, 5), (1, 1, 6)], 1, 0),
    ];
    for (looks, at_once, fallen) in cases {
        let holdings = holdings_of(looks);
        assert_eq!(
            (two_owners(&holdings), epochs_not_grown(&holdings)),
            (*at_once, *fallen),
            "{looks:?}"
        );
    }
}
