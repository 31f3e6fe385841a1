//! Which backends and relays a fault befalls.
use crate::scenario::{Selection, SelectionShare};
use thistlecroft::random::Rng;
use thistlecroft_testbed::event_recorder::{BackendIndex, RelayIndex};

/// Numbers below `total`, drawn unless they are named, in rising order.
fn select(selection: &Option<Selection>, total: usize, rng: &mut Rng) -> Vec<usize> {
    let count = match selection {
        None => return Vec::new(),
        Some(Selection::Indices(numbers)) => return numbers.clone(),
        Some(Selection::Count(count)) => *count,
        Some(Selection::Share(SelectionShare::Half)) => total.div_ceil(2),
        Some(Selection::Share(SelectionShare::All)) => total,
    };
    let mut numbers: Vec<usize> = (0..total).collect();
    for place in 0..count {
        let other = place + rng.below((total - place) as u64) as usize;
        numbers.swap(place, other);
    }
    numbers.truncate(count);
    numbers.sort_unstable();
    numbers
}

pub(super) fn select_backends(
    selection: &Option<Selection>,
    total: usize,
    rng: &mut Rng,
) -> Vec<BackendIndex> {
    let numbers = select(selection, total, rng).into_iter();
    numbers.map(|number| BackendIndex(number as u16)).collect()
}

pub(super) fn select_relays(
    selection: &Option<Selection>,
    total: usize,
    rng: &mut Rng,
) -> Vec<RelayIndex> {
    let numbers = select(selection, total, rng).into_iter();
    numbers.map(|number| RelayIndex(number as u16)).collect()
}
