//! How peers see relays that stop, are killed or lose their links.
use crate::*;

#[test]
fn killed_relay_is_dead_for_all_and_its_successor_is_another_process() {
    let mut cluster = start_cluster("killed", 5, 5);
    let identity =
        |cluster: &ProcessCluster| cluster.membership(1).map(|view| view["me"].to_string());
    let first = identity(&cluster);
    cluster.kill(1);
    cluster
        .wait_until(detection_timeout(5), |cluster| {
            cluster.membership_is_consistent(&[0, 2, 3, 4])
        })
        .expect("all peers consider the killed relay dead");
    assert_eq!(
        read_number(&cluster.membership(0).unwrap(), &["unheard"]),
        1
    );
    cluster.start(1).unwrap();
    cluster
        .wait_until(detection_timeout(5), |cluster| {
            cluster.membership_is_consistent(&[0, 1, 2, 3, 4])
        })
        .expect("all relays see the restarted relay");
    assert_ne!(identity(&cluster), first);
    assert_eq!(
        read_number(&cluster.membership(0).unwrap(), &["unheard"]),
        0
    );
    // Another relay is killed and restarted before any peer can have noticed.
    cluster.kill(2);
    cluster.start(2).unwrap();
    let settled = |cluster: &ProcessCluster| {
        cluster.membership_is_consistent(&[0, 1, 2, 3, 4])
            && read_number(&cluster.membership(0).unwrap(), &["unheard"]) == 0
    };
    cluster
        .wait_until(detection_timeout(5), settled)
        .expect("peers tell the two processes of one name apart");
}

#[test]
fn stopped_relay_leaves_at_once_and_is_never_suspected() {
    let mut cluster = start_cluster("leaves", 5, 5);
    assert!(cluster.stop(4, BUSY_MACHINE_MARGIN));
    cluster
        .wait_until(PROBE_INTERVAL * 10.0 + BUSY_MACHINE_MARGIN, |cluster| {
            cluster.membership_is_consistent(&[0, 1, 2, 3])
        })
        .expect("the other relays know that the relay has left");
    let suspected: u64 = (0..4)
        .map(|relay| counter(&cluster, relay, "suspected"))
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
            .wait_until(detection_timeout(5), |cluster| {
                cluster.membership_is_consistent(&others)
            })
            .expect("the other relays consider the cut relay dead");
        cluster.heal_partitions();
        cluster
            .wait_until(detection_timeout(5), |cluster| {
                cluster.membership_is_consistent(&[0, 1, 2, 3, 4])
            })
            .expect("all relays see each other again");
    }
    cluster.partition(&[0, 1], &[3, 4]);
    wait_for_probes(&cluster, &[0, 1, 2, 3, 4], 40);
    let has_unreachable_peers = |cluster: &ProcessCluster, relay: usize| {
        cluster
            .membership(relay)
            .is_some_and(|view| read_number(&view, &["unheard"]) > 0)
    };
    cluster
        .wait_until(BUSY_MACHINE_MARGIN, |cluster| {
            (0..5).all(|relay| !has_unreachable_peers(cluster, relay))
        })
        .expect("relay 2 reaches both sides and keeps all relays alive");
    cluster.heal_partitions();
    cluster
        .wait_until(BUSY_MACHINE_MARGIN, |cluster| {
            cluster.membership_is_consistent(&[0, 1, 2, 3, 4])
        })
        .expect("all relays see each other");
}

#[test]
fn halves_of_a_split_fleet_that_gain_relays_rejoin_once_healed() {
    let mut cluster = start_cluster("halves", 8, 6);
    // All seeds are on one side.
    cluster.partition(&[0, 1, 2, 6], &[3, 4, 5, 7]);
    cluster.start(6).unwrap();
    cluster
        .wait_until(detection_timeout(6), |cluster| {
            cluster.membership_is_consistent(&[0, 1, 2, 6])
        })
        .expect("relays on the side of the seeds see each other and the new relay");
    cluster
        .wait_until(detection_timeout(6), |cluster| {
            cluster.membership_is_consistent(&[3, 4, 5])
        })
        .expect("relays on the other side see each other");
    cluster.start(7).unwrap();
    wait_for_probes(&cluster, &[0, 3], 30);
    cluster.heal_partitions();
    let all: Vec<usize> = (0..8).collect();
    cluster
        .wait_until(detection_timeout(8), |cluster| {
            cluster.membership_is_consistent(&all)
        })
        .expect("all relays see each other again");
}

#[test]
fn note_on_lossy_links_reaches_all_relays_and_none_stays_dead() {
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
    let all_know_note = |cluster: &ProcessCluster| {
        all.iter().all(|relay| {
            let response = cluster.admin_command(*relay, "NOTES").unwrap_or_default();
            response.contains("\"release\"")
                && response.contains("\"1.4\"")
                && response.contains("age_ms")
        })
    };
    cluster
        .wait_until(PROBE_INTERVAL * 30.0 + BUSY_MACHINE_MARGIN, all_know_note)
        .expect("all relays know the note");
    wait_for_probes(&cluster, &all, 60);
    cluster.heal_partitions();
    cluster
        .wait_until(BUSY_MACHINE_MARGIN, |cluster| {
            cluster.membership_is_consistent(&all)
        })
        .expect("all relays see each other");
    for relay in all {
        assert!(
            counter(&cluster, relay, "repeated") > 0,
            "relay {relay} received no repeated datagram"
        );
        assert_eq!(
            read_number(&cluster.membership(relay).unwrap(), &["unheard"]),
            0,
            "relay {relay}"
        );
    }
}
