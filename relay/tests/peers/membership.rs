//! Processes that stop, die, stand still or lose their links, as the others see them.
use crate::*;

#[test]
fn killed_relay_is_dead_for_all_and_its_successor_is_another_process() {
    let mut cluster = start_cluster("killed", 5, 5);
    let run = |cluster: &ProcessCluster| cluster.membership(1).map(|view| view["me"].to_string());
    let first = run(&cluster);
    cluster.kill(1);
    cluster
        .wait_until(dead_within(5), |cluster| {
            cluster.membership_is_consistent(&[0, 2, 3, 4])
        })
        .expect("gone for all");
    assert_eq!(
        read_number(&cluster.membership(0).unwrap(), &["unheard"]),
        1
    );
    cluster.start(1).unwrap();
    cluster
        .wait_until(dead_within(5), |cluster| {
            cluster.membership_is_consistent(&[0, 1, 2, 3, 4])
        })
        .expect("here again");
    assert_ne!(run(&cluster), first);
    assert_eq!(
        read_number(&cluster.membership(0).unwrap(), &["unheard"]),
        0
    );
    // And once more, back before anybody can have noticed.
    cluster.kill(2);
    cluster.start(2).unwrap();
    let settled = |cluster: &ProcessCluster| {
        cluster.membership_is_consistent(&[0, 1, 2, 3, 4])
            && read_number(&cluster.membership(0).unwrap(), &["unheard"]) == 0
    };
    cluster
        .wait_until(dead_within(5), settled)
        .expect("two runs of one name are told apart");
}

#[test]
fn stopped_relay_leaves_at_once_and_is_never_suspected() {
    let mut cluster = start_cluster("leaves", 5, 5);
    assert!(cluster.stop(4, BUSY_MACHINE_MARGIN));
    cluster
        .wait_until(PERIOD * 10.0 + BUSY_MACHINE_MARGIN, |cluster| {
            cluster.membership_is_consistent(&[0, 1, 2, 3])
        })
        .expect("told");
    let suspected: u64 = (0..4)
        .map(|relay| count(&cluster, relay, "suspected"))
        .sum();
    assert_eq!(suspected, 0);
}

#[test]
fn relay_cut_in_one_direction_is_dead_for_the_rest_and_a_relay_reaching_both_sides_keeps_all_alive()
{
    let cluster = start_cluster("cuts", 5, 5);
    let others = [1, 2, 3, 4];
    for (from, to) in [([0].as_slice(), others.as_slice()), (&others, &[0])] {
        cluster.set_link_fault(from, to, Some(LinkFault::CUT));
        cluster
            .wait_until(dead_within(5), |cluster| {
                cluster.membership_is_consistent(&others)
            })
            .expect("gone for the rest");
        cluster.heal_partitions();
        cluster
            .wait_until(dead_within(5), |cluster| {
                cluster.membership_is_consistent(&[0, 1, 2, 3, 4])
            })
            .expect("healed");
    }
    cluster.partition(&[0, 1], &[3, 4]);
    wait_for_probes(&cluster, &[0, 1, 2, 3, 4], 40);
    let gone = |cluster: &ProcessCluster, relay: usize| {
        cluster
            .membership(relay)
            .is_some_and(|view| read_number(&view, &["unheard"]) > 0)
    };
    cluster
        .wait_until(BUSY_MACHINE_MARGIN, |cluster| {
            (0..5).all(|relay| !gone(cluster, relay))
        })
        .expect("2 reaches both");
    cluster.heal_partitions();
    cluster
        .wait_until(BUSY_MACHINE_MARGIN, |cluster| {
            cluster.membership_is_consistent(&[0, 1, 2, 3, 4])
        })
        .expect("all see all");
}

#[test]
fn halves_of_a_split_fleet_rejoin_after_growing_apart() {
    let mut cluster = start_cluster("halves", 8, 6);
    // The seeds are on one side; the other has only itself.
    cluster.partition(&[0, 1, 2, 6], &[3, 4, 5, 7]);
    cluster.start(6).unwrap();
    cluster
        .wait_until(dead_within(6), |cluster| {
            cluster.membership_is_consistent(&[0, 1, 2, 6])
        })
        .expect("one side, grown");
    cluster
        .wait_until(dead_within(6), |cluster| {
            cluster.membership_is_consistent(&[3, 4, 5])
        })
        .expect("the other");
    cluster.start(7).unwrap();
    wait_for_probes(&cluster, &[0, 3], 30);
    cluster.heal_partitions();
    let all: Vec<usize> = (0..8).collect();
    cluster
        .wait_until(dead_within(8), |cluster| {
            cluster.membership_is_consistent(&all)
        })
        .expect("together again");
}

#[test]
fn note_on_lossy_links_reaches_all_and_nobody_stays_dead() {
    let cluster = start_cluster("lossy", 6, 6);
    let all: Vec<usize> = (0..6).collect();
    let ms = Duration::from_millis;
    cluster.set_link_fault(
        &all,
        &all,
        Some(LinkFault {
            loss: 0.1,
            delay: ms(20),
            jitter: ms(20),
            duplication: 0.1,
            bytes_per_second: 0,
        }),
    );
    assert_eq!(
        cluster.admin_command(3, "NOTE release 1.4").as_deref(),
        Some("200 told")
    );
    let told = |cluster: &ProcessCluster| {
        all.iter().all(|relay| {
            let response = cluster.admin_command(*relay, "NOTES").unwrap_or_default();
            response.contains("\"release\"")
                && response.contains("\"1.4\"")
                && response.contains("age_ms")
        })
    };
    cluster
        .wait_until(PERIOD * 30.0 + BUSY_MACHINE_MARGIN, told)
        .expect("all know");
    wait_for_probes(&cluster, &all, 60);
    cluster.heal_partitions();
    cluster
        .wait_until(BUSY_MACHINE_MARGIN, |cluster| {
            cluster.membership_is_consistent(&all)
        })
        .expect("all see all");
    for relay in all {
        assert!(
            count(&cluster, relay, "repeated") > 0,
            "relay {relay} had datagrams twice"
        );
        assert_eq!(
            read_number(&cluster.membership(relay).unwrap(), &["unheard"]),
            0,
            "relay {relay}"
        );
    }
}
