//! The shared state: merging is commutative, associative and idempotent, even for full tables, and
//! entries expire.
use proptest::prelude::*;
use thistlecroft::time::{Duration, Instant};
use thistlecroft_peers::Identity;
use thistlecroft_peers::shared_state::{
    Entry, EntryKind, MAX_ENTRIES, MAX_OWN_ENTRIES, SharedState,
};

const NOW: Instant = Instant::from_micros(1_000_000_000);

fn entry() -> impl Strategy<Value = Entry> {
    (
        0..6_usize,
        0..3_u8,
        0..3_u64,
        0..4_u64,
        0..3_u8,
        0..9_000_u32,
    )
        .prop_map(|(kind, subject, run, epoch, value, age_ms)| Entry {
            kind: EntryKind::ALL[kind],
            subject: vec![subject],
            owner: Identity::new("r", run),
            epoch,
            value: vec![value],
            age_ms,
        })
}

/// Merges entries into an empty table and returns the entries of the table.
fn merged<'a>(entries: impl Iterator<Item = &'a Entry>) -> Vec<Entry> {
    let mut table = SharedState::new(Duration::from_millis(1_000));
    for entry in entries {
        table.merge(entry, NOW);
    }
    let keys: Vec<_> = table.keys().cloned().collect();
    keys.iter()
        .filter_map(|key| table.entry(key, NOW))
        .collect()
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(256) })]

    #[test]
    fn merge_is_independent_of_order_and_repetition(entries in prop::collection::vec(entry(), 1..60), order in any::<u64>()) {
        let expected = merged(entries.iter());
        let mut rng = thistlecroft::random::Rng::from_seed(order);
        let mut shuffled: Vec<&Entry> = entries.iter().chain(entries.iter().filter(|entry| entry.epoch % 2 == 0)).collect();
        for index in (1..shuffled.len()).rev() {
            shuffled.swap(index, rng.below(index as u64 + 1) as usize);
        }
        prop_assert_eq!(&expected, &merged(shuffled.into_iter()));
        // Merging each half separately and then both results gives the same table.
        let (first_half, second_half) = entries.split_at(entries.len() / 2);
        let (first_half, second_half) = (merged(first_half.iter()), merged(second_half.iter()));
        prop_assert_eq!(&expected, &merged(second_half.iter().chain(first_half.iter())));
    }
}

#[test]
fn full_table_keeps_the_same_entries_in_any_order() {
    let entry = |number: u32| Entry {
        kind: EntryKind::Note,
        subject: number.to_be_bytes().to_vec(),
        owner: Identity::new("r", 1),
        epoch: 1,
        value: Vec::new(),
        age_ms: 0,
    };
    let entries: Vec<Entry> = (0..MAX_ENTRIES as u32 + 100).map(entry).collect();
    let forward = merged(entries.iter());
    assert_eq!(forward.len(), MAX_ENTRIES);
    assert_eq!(forward, merged(entries.iter().rev()));
    let mut table = SharedState::new(Duration::from_millis(1_000));
    let owner = Identity::new("me", 1);
    for number in 0..MAX_OWN_ENTRIES as u32 {
        assert!(table.announce(&owner, EntryKind::Note, &number.to_be_bytes(), b"", NOW));
    }
    assert!(!table.announce(&owner, EntryKind::Note, b"one more", b"", NOW));
    assert!(
        table.announce(&owner, EntryKind::Note, &7_u32.to_be_bytes(), b"again", NOW),
        "an owner may change any of its entries"
    );
    assert!(
        !table.announce(&owner, EntryKind::Note, &[0; 49], b"", NOW),
        "a subject that is too long is rejected"
    );
    assert_eq!(table.rejected, 2);
}

#[test]
fn entry_announced_after_its_withdrawal_replaces_the_old_one() {
    let (mut own, mut other) = (
        SharedState::new(Duration::from_millis(1_000)),
        SharedState::new(Duration::from_millis(1_000)),
    );
    let owner = Identity::new("me", 1);
    let send_entry = |own: &SharedState, other: &mut SharedState| {
        let key = own.keys().next().unwrap().clone();
        other.merge(&own.entry(&key, NOW).unwrap(), NOW)
    };
    assert!(
        own.announce(&owner, EntryKind::Ban, b"b", b"out", NOW)
            && own.announce(&owner, EntryKind::Ban, b"b", b"z", NOW)
    );
    assert!(send_entry(&own, &mut other));
    assert!(own.withdraw(&owner, EntryKind::Ban, b"b"));
    assert!(own.announce(&owner, EntryKind::Ban, b"b", b"a", NOW));
    assert!(
        send_entry(&own, &mut other),
        "a later announcement replaces a greater value"
    );
    assert_eq!(
        other.of_kind(EntryKind::Ban, NOW).next().unwrap().value,
        b"a"
    );
}

#[test]
fn entry_has_an_age_and_expires_by_it() {
    let mut table = SharedState::new(Duration::from_millis(1_000));
    let owner = Identity::new("me", 1);
    assert!(table.announce(&owner, EntryKind::Ejection, b"b", b"x", NOW));
    let at = |secs: u64| NOW + Duration::from_millis(secs * 1_000);
    assert_eq!(
        table
            .of_kind(EntryKind::Ejection, at(7))
            .next()
            .unwrap()
            .age,
        Duration::from_millis(7_000)
    );
    assert!(table.entries_to_refresh(&owner, at(19)).is_empty());
    assert_eq!(
        table.entries_to_refresh(&owner, at(20)).len(),
        1,
        "refreshed after a third of its time to live"
    );
    assert!(table.remove_expired(at(59)).is_empty());
    let late = table
        .entry(&table.keys().next().unwrap().clone(), at(59))
        .unwrap();
    assert_eq!(table.remove_expired(at(60)).len(), 1);
    assert!(
        !table.merge(
            &Entry {
                age_ms: 60_000,
                ..late
            },
            at(60)
        ),
        "an expired entry is not merged"
    );
}
