//! Leases of relays that stop, are killed, are paused or lose their links.
use crate::*;

#[test]
fn paused_lease_holder_never_acts_beside_its_successor() {
    let mut cluster = start_cluster("paused", 5, 5);
    // Two relays that are not voters request the lease, so that all voters remain while one of the
    // two is paused.
    let holds_lease = |cluster: &ProcessCluster, relay: usize| {
        cluster
            .admin_command(relay, "LEASE turn")
            .is_some_and(|response| response.starts_with("200 held"))
    };
    cluster
        .wait_until(LEASE_TERM * 4.0 + BUSY_MACHINE_MARGIN, |cluster| {
            holds_lease(cluster, 3)
        })
        .expect("relay 3 holds the lease");
    let observers: Vec<_> = [3, 4]
        .map(|relay| cluster.observe(relay, Some("turn")))
        .into();
    cluster.set_paused(3, true);
    cluster
        .wait_until(LEASE_TERM * 4.0 + BUSY_MACHINE_MARGIN, |cluster| {
            holds_lease(cluster, 4)
        })
        .expect("relay 4 holds the lease");
    // The other relays consider the paused relay dead by now or soon; its own view and lease have
    // not changed.
    cluster
        .wait_until(detection_timeout(5), |cluster| {
            cluster.membership_is_consistent(&[0, 1, 2, 4])
        })
        .expect("the other relays consider the paused relay dead");
    cluster.set_paused(3, false);
    cluster
        .wait_until(detection_timeout(5), |cluster| {
            cluster.membership_is_consistent(&[0, 1, 2, 3, 4])
        })
        .expect("all relays see each other again");
    wait_for_probes(&cluster, &[3, 4], 10);
    drop(observers);
    // The holder leaves and releases the lease, so the relay that was paused need not wait for a
    // term.
    assert!(cluster.stop(4, BUSY_MACHINE_MARGIN));
    cluster
        .wait_until(LEASE_TERM * 4.0 + BUSY_MACHINE_MARGIN, |cluster| {
            holds_lease(cluster, 3)
        })
        .expect("relay 3 holds the lease again");
    let entries = cluster.events.into_sorted();
    let claims_of = |relay: u16| {
        let is_claim = |seen: &Observation| matches!(seen, Observation::LeaseClaimed { relay: of, .. } if of.0 == relay);
        entries
            .iter()
            .filter(|entry| is_claim(&entry.observation))
            .count()
    };
    assert!(claims_of(4) > 0, "the successor never held the lease");
    assert_eq!(
        check_cluster_invariants(&entries, &ClusterLimits::default()),
        []
    );
}

#[test]
fn minority_gets_no_lease_and_restarted_voters_grant_none_at_first() {
    let mut cluster = start_cluster("majority", 5, 5);
    let request_lease = |cluster: &ProcessCluster, relay: usize| {
        cluster
            .admin_command(relay, "LEASE turn")
            .unwrap_or_default()
    };
    let held = |cluster: &ProcessCluster, relay: usize| {
        request_lease(cluster, relay).starts_with("200 held")
    };
    cluster
        .wait_until(LEASE_TERM * 4.0 + BUSY_MACHINE_MARGIN, |cluster| {
            held(cluster, 0)
        })
        .expect("relay 0 holds the lease");
    // One voter is on the side of the holder, two are on the other side.
    cluster.partition(&[0, 3], &[1, 2, 4]);
    cluster
        .wait_until(LEASE_TERM * 4.0 + BUSY_MACHINE_MARGIN, |cluster| {
            !held(cluster, 0)
        })
        .expect("relay 0 stops holding the lease by its own clock");
    cluster
        .wait_until(LEASE_TERM * 6.0 + BUSY_MACHINE_MARGIN, |cluster| {
            held(cluster, 4)
        })
        .expect("relay 4 holds the lease on the side of the majority");
    for _ in 0..5 {
        assert!(!held(&cluster, 0) && !held(&cluster, 3));
        wait_for_probes(&cluster, &[0, 3], 2);
    }
    cluster.heal_partitions();
    cluster
        .wait_until(detection_timeout(5), |cluster| {
            cluster.membership_is_consistent(&[0, 1, 2, 3, 4])
        })
        .expect("all relays see each other again");
    let epoch = |cluster: &ProcessCluster, relay: usize| {
        request_lease(cluster, relay)
            .split(' ')
            .nth(2)
            .and_then(|word| word.parse::<u64>().ok())
    };
    cluster
        .wait_until(BUSY_MACHINE_MARGIN, |cluster| epoch(cluster, 4).is_some())
        .expect("relay 4 holds the lease");
    let before = epoch(&cluster, 4).unwrap();
    assert_eq!(
        cluster.admin_command(4, "RELEASE turn").as_deref(),
        Some("200 released")
    );
    // Two of three voters restart at the same time and forget their grants: nothing is granted
    // until their silence after the start is over, and no epoch is used again.
    (0..2).for_each(|relay| cluster.kill(relay));
    (0..2).for_each(|relay| cluster.start(relay).unwrap());
    assert!(!held(&cluster, 3));
    cluster
        .wait_until(LEASE_TERM * 6.0 + BUSY_MACHINE_MARGIN, |cluster| {
            held(cluster, 3)
        })
        .expect("relay 3 holds the lease after the silence");
    assert!(epoch(&cluster, 3).unwrap() > before);
}

/// Subjects of leases; each observer requests one of them at one relay.
const SHARDS: [&str; 6] = [
    "shard-0", "shard-1", "shard-2", "shard-3", "shard-4", "shard-5",
];

/// Requests a lease as an observer does, and returns whether the relay holds it. The answer is
/// recorded, and checked together with those of the observers.
fn holds_lease(cluster: &ProcessCluster, relay: usize, subject: &'static str) -> bool {
    let asked = cluster.clock.now();
    let Some((epoch, remaining)) = cluster
        .admin_command(relay, &format!("LEASE {subject}"))
        .as_deref()
        .and_then(parse_held_lease)
    else {
        return false;
    };
    let (relay, until) = (RelayIndex(relay as u16), asked + remaining);
    cluster.recorder.record(
        cluster.clock.now(),
        Observation::LeaseClaimed {
            relay,
            subject,
            epoch,
            requested_at: asked,
            valid_until: until,
        },
    );
    true
}

fn holds_all_shards(cluster: &ProcessCluster, relay: usize) -> bool {
    SHARDS
        .iter()
        .filter(|subject| holds_lease(cluster, relay, subject))
        .count()
        == SHARDS.len()
}

#[test]
fn leases_of_killed_paused_or_partitioned_holders_pass_on_without_overlap() {
    let mut cluster = start_cluster("take-over", 6, 6);
    let observers: Vec<_> = SHARDS
        .iter()
        .flat_map(|subject| [3, 4].map(|relay| cluster.observe(relay, Some(subject))))
        .collect();
    let all_are_held = |cluster: &ProcessCluster| {
        SHARDS
            .iter()
            .all(|subject| holds_lease(cluster, 3, subject) || holds_lease(cluster, 4, subject))
    };
    cluster
        .wait_until(LEASE_TERM * 6.0 + BUSY_MACHINE_MARGIN, all_are_held)
        .expect("each lease has a holder");
    cluster.kill(3);
    // While the other relay requests all leases, a voter is killed, restarts and forgets its
    // grants.
    cluster.kill(0);
    cluster.start(0).unwrap();
    wait_for_all_shards(&cluster, 4);
    // The next holder is paused for longer than its term, and then resumed.
    cluster.set_paused(4, true);
    wait_for_all_shards(&cluster, 5);
    cluster.set_paused(4, false);
    wait_for_consistent_survivors(&cluster);
    assert!(
        holds_all_shards(&cluster, 5),
        "the relay that took over no longer holds all shards"
    );
    // A partition leaves the holder with one voter, and the other side with two.
    cluster.partition(&[0, 5], &[1, 2, 4]);
    wait_for_all_shards(&cluster, 4);
    cluster.heal_partitions();
    wait_for_consistent_survivors(&cluster);
    drop(observers);
    let entries = cluster.events.into_sorted();
    // Each of the two relays that took over has claimed every shard.
    assert_eq!(shards_claimed_by(&entries, 4), SHARDS.len());
    assert_eq!(shards_claimed_by(&entries, 5), SHARDS.len());
    assert_eq!(
        check_cluster_invariants(&entries, &ClusterLimits::default()),
        []
    );
}

fn wait_for_all_shards(cluster: &ProcessCluster, relay: usize) {
    cluster
        .wait_until(LEASE_TERM * 8.0 + BUSY_MACHINE_MARGIN, |cluster| {
            holds_all_shards(cluster, relay)
        })
        .expect("the relay holds all shards");
}

/// Waits until the relays other than the killed one see each other.
fn wait_for_consistent_survivors(cluster: &ProcessCluster) {
    cluster
        .wait_until(detection_timeout(6), |cluster| {
            cluster.membership_is_consistent(&[0, 1, 2, 4, 5])
        })
        .expect("the survivors see each other");
}

fn shards_claimed_by(entries: &[RecordedEvent], relay: u16) -> usize {
    let claimed = entries.iter().filter_map(|entry| match &entry.observation {
        Observation::LeaseClaimed {
            relay: claimant,
            subject,
            ..
        } if claimant.0 == relay => Some(subject.to_string()),
        _ => None,
    });
    claimed.collect::<BTreeSet<String>>().len()
}
