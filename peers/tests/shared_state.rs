//! Merging facts commutes, associates and repeats harmlessly, over random schedules; bounded tables
//! too.
use proptest::prelude::*;
use thistlecroft::time::{Duration, Instant};
use thistlecroft_peers::Identity;
use thistlecroft_peers::facts::{FactRow, Facts, Kind, MOST_OWN, MOST_ROWS};

const NOW: Instant = Instant::from_micros(1_000_000_000);

fn row() -> impl Strategy<Value = FactRow> {
    (
        0..6_usize,
        0..3_u8,
        0..3_u64,
        0..4_u64,
        0..3_u8,
        0..9_000_u32,
    )
        .prop_map(|(kind, subject, run, epoch, value, age_ms)| FactRow {
            kind: Kind::ALL[kind],
            subject: vec![subject],
            owner: Identity::new("r", run),
            epoch,
            value: vec![value],
            age_ms,
        })
}

fn taken<'a>(rows: impl Iterator<Item = &'a FactRow>) -> Vec<FactRow> {
    let mut facts = Facts::new(Duration::from_millis(1_000));
    for row in rows {
        facts.merge(row, NOW);
    }
    let keys: Vec<_> = facts.keys().cloned().collect();
    keys.iter().filter_map(|key| facts.row(key, NOW)).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(256) })]

    #[test]
    fn any_order_and_any_repeats_give_the_same_table(rows in prop::collection::vec(row(), 1..60), order in any::<u64>()) {
        let whole = taken(rows.iter());
        let mut chance = thistlecroft::random::Rng::from_seed(order);
        let mut other: Vec<&FactRow> = rows.iter().chain(rows.iter().filter(|row| row.epoch % 2 == 0)).collect();
        for place in (1..other.len()).rev() {
            other.swap(place, chance.below(place as u64 + 1) as usize);
        }
        prop_assert_eq!(&whole, &taken(other.into_iter()));
        // In two parts, each merged by itself and then together.
        let (one, two) = rows.split_at(rows.len() / 2);
        let (one, two) = (taken(one.iter()), taken(two.iter()));
        prop_assert_eq!(&whole, &taken(two.iter().chain(one.iter())));
    }
}

#[test]
fn a_full_table_keeps_the_same_rows_whatever_the_order() {
    let row = |number: u32| FactRow {
        kind: Kind::Note,
        subject: number.to_be_bytes().to_vec(),
        owner: Identity::new("r", 1),
        epoch: 1,
        value: Vec::new(),
        age_ms: 0,
    };
    let rows: Vec<FactRow> = (0..MOST_ROWS as u32 + 100).map(row).collect();
    let forward = taken(rows.iter());
    assert_eq!(forward.len(), MOST_ROWS);
    assert_eq!(forward, taken(rows.iter().rev()));
    let mut facts = Facts::new(Duration::from_millis(1_000));
    let me = Identity::new("me", 1);
    for number in 0..MOST_OWN as u32 {
        assert!(facts.announce(&me, Kind::Note, &number.to_be_bytes(), b"", NOW));
    }
    assert!(!facts.announce(&me, Kind::Note, b"one more", b"", NOW));
    assert!(
        facts.announce(&me, Kind::Note, &7_u32.to_be_bytes(), b"again", NOW),
        "of its own it may change any"
    );
    assert!(
        !facts.announce(&me, Kind::Note, &[0; 49], b"", NOW),
        "too long"
    );
    assert_eq!(facts.refused, 2);
}

#[test]
fn what_is_said_again_after_it_was_withdrawn_is_newer_for_those_who_still_hold_it() {
    let (mut own, mut other) = (
        Facts::new(Duration::from_millis(1_000)),
        Facts::new(Duration::from_millis(1_000)),
    );
    let me = Identity::new("me", 1);
    let pass = |own: &Facts, other: &mut Facts| {
        let key = own.keys().next().unwrap().clone();
        other.merge(&own.row(&key, NOW).unwrap(), NOW)
    };
    assert!(
        own.announce(&me, Kind::Ban, b"b", b"out", NOW)
            && own.announce(&me, Kind::Ban, b"b", b"z", NOW)
    );
    assert!(pass(&own, &mut other));
    assert!(own.withdraw(&me, Kind::Ban, b"b"));
    assert!(own.announce(&me, Kind::Ban, b"b", b"a", NOW));
    assert!(pass(&own, &mut other), "a smaller value by a later saying");
    assert_eq!(other.of_kind(Kind::Ban, NOW).next().unwrap().value, b"a");
}

#[test]
fn a_fact_is_read_with_its_age_and_forgotten_by_it() {
    let mut facts = Facts::new(Duration::from_millis(1_000));
    let me = Identity::new("me", 1);
    assert!(facts.announce(&me, Kind::Ejection, b"b", b"x", NOW));
    let at = |secs: u64| NOW + Duration::from_millis(secs * 1_000);
    assert_eq!(
        facts.of_kind(Kind::Ejection, at(7)).next().unwrap().age,
        Duration::from_millis(7_000)
    );
    assert!(facts.stale_of(&me, at(19)).is_empty());
    assert_eq!(
        facts.stale_of(&me, at(20)).len(),
        1,
        "said again after a third of its life"
    );
    assert!(facts.forget(at(59)).is_empty());
    let late = facts
        .row(&facts.keys().next().unwrap().clone(), at(59))
        .unwrap();
    assert_eq!(facts.forget(at(60)).len(), 1);
    assert!(
        !facts.merge(
            &FactRow {
                age_ms: 60_000,
                ..late
            },
            at(60)
        ),
        "what is too old does not come back"
    );
}
