//! Tests of the bound on remembered ids, and of when they are forgotten.
use super::*;

fn at(milliseconds: u64) -> Instant {
    Instant::from_micros(milliseconds * 1_000)
}

#[test]
fn id_is_refused_until_its_time_has_passed() {
    let mut ids = UsedIds::new(32 << 20);
    assert!(ids.reserve(at(0)));
    ids.insert_reserved(7, at(1_200));
    assert!(ids.contains(7, at(1_199)) && !ids.contains(8, at(1_199)));
    assert!(!ids.contains(7, at(1_200)));
}

/// Guards against a flood of new ids that pushes out the others.
#[test]
fn full_set_has_no_room_and_forgets_nothing() {
    let mut ids = UsedIds::new(32 << 20);
    let mut count = 0;
    while ids.reserve(at(0)) {
        ids.insert_reserved(count, at(1_000 + count));
        count += 1;
    }
    assert_eq!(count, 21_845, "the bound at 32 MB");
    assert!((0..count).all(|id| ids.contains(id, at(0))));
    assert!(!ids.reserve(at(999)));
    assert!(ids.reserve(at(1_000)), "the first has been forgotten");
}

#[test]
fn sessions_that_are_open_or_can_not_have_run_are_counted_once() {
    let mut ids = UsedIds::new(2 * ENTRY_BYTES * MEMORY_DIVISOR);
    assert!(ids.reserve(at(0)) && ids.reserve(at(0)) && !ids.reserve(at(0)));
    ids.release();
    assert!(ids.reserve(at(0)));
}
