//! Leases of processes that stop, die, stand still or lose their links.
use crate::*;

#[test]
fn paused_lease_holder_never_acts_beside_its_successor() {
    let mut cluster = start_cluster("paused", 5, 5);
    // Two that do not vote want it, so that a majority stays whoever is paused.
    let holds = |cluster: &ProcessCluster, relay: usize| {
        cluster
            .admin_command(relay, "LEASE turn")
            .is_some_and(|response| response.starts_with("200 held"))
    };
    cluster
        .wait_until(LEASE * 4.0 + BUSY_MACHINE_MARGIN, |cluster| {
            holds(cluster, 3)
        })
        .expect("held");
    let witnesses: Vec<_> = [3, 4]
        .map(|relay| cluster.observe(relay, Some("turn")))
        .into();
    cluster.set_paused(3, true);
    cluster
        .wait_until(LEASE * 4.0 + BUSY_MACHINE_MARGIN, |cluster| {
            holds(cluster, 4)
        })
        .expect("the other has it");
    // It is gone for the rest by then or soon; its own view and lease are as they were.
    cluster
        .wait_until(dead_within(5), |cluster| {
            cluster.membership_is_consistent(&[0, 1, 2, 4])
        })
        .expect("gone for the rest");
    cluster.set_paused(3, false);
    cluster
        .wait_until(dead_within(5), |cluster| {
            cluster.membership_is_consistent(&[0, 1, 2, 3, 4])
        })
        .expect("back");
    wait_for_probes(&cluster, &[3, 4], 10);
    drop(witnesses);
    // The holder leaves in good order, and the one that was paused has it without waiting for a
    // term.
    assert!(cluster.stop(4, BUSY_MACHINE_MARGIN));
    cluster
        .wait_until(LEASE * 4.0 + BUSY_MACHINE_MARGIN, |cluster| {
            holds(cluster, 3)
        })
        .expect("held again");
    let entries = cluster.events.into_sorted();
    let answers_of = |relay: u16| {
        let says = |seen: &Observation| matches!(seen, Observation::LeaseClaimed { relay: of, .. } if of.0 == relay);
        entries
            .iter()
            .filter(|entry| says(&entry.observation))
            .count()
    };
    assert!(answers_of(4) > 0, "the successor said so");
    assert_eq!(
        check_cluster_invariants(&entries, &ClusterLimits::default()),
        []
    );
}

#[test]
fn minority_gets_no_lease_and_restarted_voters_are_silent_first() {
    let mut cluster = start_cluster("majority", 5, 5);
    let ask = |cluster: &ProcessCluster, relay: usize| {
        cluster
            .admin_command(relay, "LEASE turn")
            .unwrap_or_default()
    };
    let held = |cluster: &ProcessCluster, relay: usize| ask(cluster, relay).starts_with("200 held");
    cluster
        .wait_until(LEASE * 4.0 + BUSY_MACHINE_MARGIN, |cluster| {
            held(cluster, 0)
        })
        .expect("held");
    // One voter with the holder, two on the other side.
    cluster.partition(&[0, 3], &[1, 2, 4]);
    cluster
        .wait_until(LEASE * 4.0 + BUSY_MACHINE_MARGIN, |cluster| {
            !held(cluster, 0)
        })
        .expect("it stops by its own clock");
    cluster
        .wait_until(LEASE * 6.0 + BUSY_MACHINE_MARGIN, |cluster| {
            held(cluster, 4)
        })
        .expect("the majority has it");
    for _ in 0..5 {
        assert!(!held(&cluster, 0) && !held(&cluster, 3));
        wait_for_probes(&cluster, &[0, 3], 2);
    }
    cluster.heal_partitions();
    cluster
        .wait_until(dead_within(5), |cluster| {
            cluster.membership_is_consistent(&[0, 1, 2, 3, 4])
        })
        .expect("healed");
    let epoch = |cluster: &ProcessCluster, relay: usize| {
        ask(cluster, relay)
            .split(' ')
            .nth(2)
            .and_then(|word| word.parse::<u64>().ok())
    };
    cluster
        .wait_until(BUSY_MACHINE_MARGIN, |cluster| epoch(cluster, 4).is_some())
        .expect("held");
    let before = epoch(&cluster, 4).unwrap();
    assert_eq!(
        cluster.admin_command(4, "RELEASE turn").as_deref(),
        Some("200 released")
    );
    // Two of three voters forget at once: nothing is granted until the silence is over, and no
    // epoch comes back.
    (0..2).for_each(|relay| cluster.kill(relay));
    (0..2).for_each(|relay| cluster.start(relay).unwrap());
    assert!(!held(&cluster, 3));
    cluster
        .wait_until(LEASE * 6.0 + BUSY_MACHINE_MARGIN, |cluster| {
            held(cluster, 3)
        })
        .expect("held after the silence");
    assert!(epoch(&cluster, 3).unwrap() > before);
}

/// Subjects that many witnesses ask for at one relay each.
const SHARDS: [&str; 6] = [
    "shard-0", "shard-1", "shard-2", "shard-3", "shard-4", "shard-5",
];

/// Asks for a lease as a witness does: the answer is recorded and checked with all the rest.
fn holds(cluster: &ProcessCluster, relay: usize, subject: &'static str) -> bool {
    let asked = cluster.clock.now();
    let Some((epoch, left)) = cluster
        .admin_command(relay, &format!("LEASE {subject}"))
        .as_deref()
        .and_then(parse_held_lease)
    else {
        return false;
    };
    let (relay, until) = (RelayIndex(relay as u16), asked + left);
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
        .filter(|subject| holds(cluster, relay, subject))
        .count()
        == SHARDS.len()
}

#[test]
fn leases_pass_on_when_their_holder_dies_and_never_have_two_holders() {
    let mut cluster = start_cluster("take-over", 6, 6);
    let witnesses: Vec<_> = SHARDS
        .iter()
        .flat_map(|subject| [3, 4].map(|relay| cluster.observe(relay, Some(subject))))
        .collect();
    let shared = |cluster: &ProcessCluster| {
        SHARDS
            .iter()
            .all(|subject| holds(cluster, 3, subject) || holds(cluster, 4, subject))
    };
    cluster
        .wait_until(LEASE * 6.0 + BUSY_MACHINE_MARGIN, shared)
        .expect("each has an owner");
    cluster.kill(3);
    // While the other asks for all, a voter is killed and starts again, and forgets.
    cluster.kill(0);
    cluster.start(0).unwrap();
    wait_for_all_shards(&cluster, 4);
    // The next owner stands still past its term, and comes back.
    cluster.set_paused(4, true);
    wait_for_all_shards(&cluster, 5);
    cluster.set_paused(4, false);
    wait_for_consistent_survivors(&cluster);
    assert!(holds_all_shards(&cluster, 5), "who took over goes on");
    // The fleet is split with two voters on the other side.
    cluster.partition(&[0, 5], &[1, 2, 4]);
    wait_for_all_shards(&cluster, 4);
    cluster.heal_partitions();
    wait_for_consistent_survivors(&cluster);
    drop(witnesses);
    let entries = cluster.events.into_sorted();
    // Each of the two that took over was heard to hold all of them.
    assert_eq!(shards_claimed_by(&entries, 4), SHARDS.len());
    assert_eq!(shards_claimed_by(&entries, 5), SHARDS.len());
    assert_eq!(
        check_cluster_invariants(&entries, &ClusterLimits::default()),
        []
    );
}

fn wait_for_all_shards(cluster: &ProcessCluster, relay: usize) {
    cluster
        .wait_until(LEASE * 8.0 + BUSY_MACHINE_MARGIN, |cluster| {
            holds_all_shards(cluster, relay)
        })
        .expect("the relay holds all shards");
}

/// Waits until the relays other than the killed one see each other.
fn wait_for_consistent_survivors(cluster: &ProcessCluster) {
    cluster
        .wait_until(dead_within(6), |cluster| {
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
