//! Tests of the bound on remembered ids, and of when they are forgotten.
use super::*;

fn at(milliseconds: u64) -> Instant {
    Instant::from_micros(milliseconds * 1_000)
}

#[test]
fn id_is_refused_until_its_time_has_passed() {
    let mut ids = UsedIds::new(32 << 20);
    assert!(ids.reserve(7, at(0)));
    ids.insert_reserved(7, at(1_200), at(0));
    assert!(ids.contains(7, at(1_199)) && !ids.contains(8, at(1_199)));
    assert!(!ids.contains(7, at(1_200)));
}

/// Guards against a flood of new ids that pushes out the others.
#[test]
fn full_set_has_no_room_and_forgets_nothing() {
    let mut ids = UsedIds::new(32 << 20);
    let mut count = 0;
    while ids.reserve(7, at(0)) {
        ids.insert_reserved(count, at(1_000 + count), at(0));
        count += 1;
    }
    assert_eq!(count, 21_845, "the bound at 32 MB");
    assert!((0..count).all(|id| ids.contains(id, at(0))));
    assert!(!ids.reserve(7, at(999)));
    assert!(ids.reserve(7, at(1_000)), "the first has been forgotten");
}

#[test]
fn sessions_that_are_open_or_can_not_have_run_are_counted_once() {
    let mut ids = UsedIds::new(2 * ENTRY_BYTES * MEMORY_DIVISOR);
    assert!(ids.reserve(7, at(0)) && ids.reserve(7, at(0)) && !ids.reserve(7, at(0)));
    ids.release(7);
    assert!(ids.reserve(7, at(0)));
}

/// What one process is told of the other's ids is what it refuses.
#[test]
fn ids_of_the_other_process_are_refused_until_they_are_released_or_forgotten() {
    let (mut one, mut other) = (UsedIds::new(32 << 20), UsedIds::new(32 << 20));
    assert!(one.reserve(1, at(0)) && one.reserve(2, at(0)));
    one.insert_reserved(2, at(1_000), at(0));
    for notice in one.start_sharing([1].into_iter(), at(400)) {
        other.apply(notice, at(400));
    }
    assert!(other.contains(1, at(999)) && other.contains(2, at(999)));
    assert!(!other.contains(2, at(1_000)));
    assert!(one.reserve(3, at(400)));
    one.release(1);
    for notice in one.take_notices() {
        other.apply(notice, at(500));
    }
    assert!(!other.contains(1, at(500)) && other.contains(3, at(500)));
    // The process ends with a session open.
    other.end_elsewhere(Duration::from_millis(1_200), at(600));
    assert!(other.contains(3, at(1_799)) && !other.contains(3, at(1_800)));
}
