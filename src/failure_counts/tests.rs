//! Tests of the table of failure counts.
use super::*;

fn at(ms: u64) -> Instant {
    Instant::from_micros(ms * 1_000)
}

#[test]
fn full_table_evicts_stalest_and_expired() {
    let mut counts = FailureCounts::default();
    for key in 0..MAX_CLIENTS as u64 {
        counts.get_or_insert(key, at(key)).count = 1;
    }
    // Client 0 is used again and becomes the youngest. Each new client evicts the next oldest.
    counts.get_or_insert(0, at(30_000)).count += 1;
    for key in 0..10 {
        let client = counts.get_or_insert(1_000_000 + key, at(30_001));
        assert_eq!(client, &ClientFailures::default());
    }
    assert_eq!(counts.clients.len(), MAX_CLIENTS);
    assert_eq!(counts.get_or_insert(0, at(30_002)).count, 2);
    let (held, evicted) = (11, 1);
    assert_eq!(counts.get_or_insert(held, at(30_003)).count, 1);
    assert_eq!(counts.get_or_insert(evicted, at(30_004)).count, 0);
    counts.remove_expired(at(30_000) + MAX_AGE);
    assert_eq!(counts.clients.len(), 13);
    counts.remove_expired(at(30_005) + MAX_AGE);
    assert!(counts.clients.is_empty() && counts.by_age.is_empty());
}
