//! Selects the backends and relays that a fault affects.
use crate::scenario::{Selection, SelectionShare};
use thistlecroft::random::Rng;
use thistlecroft_testbed::event_recorder::{BackendIndex, RelayIndex};

/// Returns indices below `total`: the given ones as they are, or drawn ones in ascending order.
fn select(selection: &Option<Selection>, total: usize, rng: &mut Rng) -> Vec<usize> {
    let count = match selection {
        None => return Vec::new(),
        Some(Selection::Indices(indices)) => return indices.clone(),
        Some(Selection::Count(count)) => *count,
        Some(Selection::Share(SelectionShare::Half)) => total.div_ceil(2),
        Some(Selection::Share(SelectionShare::All)) => total,
    };
    let mut indices: Vec<usize> = (0..total).collect();
    for position in 0..count {
        let other = position + rng.below((total - position) as u64) as usize;
        indices.swap(position, other);
    }
    indices.truncate(count);
    indices.sort_unstable();
    indices
}

pub(super) fn select_backends(
    selection: &Option<Selection>,
    total: usize,
    rng: &mut Rng,
) -> Vec<BackendIndex> {
    let indices = select(selection, total, rng).into_iter();
    indices.map(|index| BackendIndex(index as u16)).collect()
}

pub(super) fn select_relays(
    selection: &Option<Selection>,
    total: usize,
    rng: &mut Rng,
) -> Vec<RelayIndex> {
    let indices = select(selection, total, rng).into_iter();
    indices.map(|index| RelayIndex(index as u16)).collect()
}
