//! Datagrams from outside the fleet, and configurations of peers that are refused.
use crate::*;

#[test]
fn datagrams_of_strangers_and_other_fleets_are_counted_and_ignored() {
    let mut cluster = start_cluster("strangers", 5, 5);
    let stranger = UdpSocket::bind("127.0.0.1:0").unwrap();
    let at = cluster.network.addresses[0].bind;
    for bytes in [vec![0; 100], vec![1; 100], vec![1; 3], vec![1; 1_400]] {
        stranger.send_to(&bytes, at).unwrap();
    }
    let counted = |cluster: &ProcessCluster| {
        let value = |name| counter(cluster, 0, name);
        value("other_format") == 1 && value("foreign") == 1 && value("odd_size") == 2
    };
    cluster
        .wait_until(BUSY_MACHINE_MARGIN, counted)
        .expect("each datagram is counted by its kind");
    cluster
        .wait_until(BUSY_MACHINE_MARGIN, |cluster| {
            cluster
                .log(0)
                .contains("ignoring datagrams of an unknown format; format=0 ")
        })
        .expect("the unknown format is logged");
    // A relay of another fleet starts at the address of a relay that has left.
    assert!(cluster.stop(4, BUSY_MACHINE_MARGIN));
    let config = cluster.operator_config(4);
    let other = config.replace("fleet = \"test\"", "fleet = \"other\"");
    assert_ne!(other, config, "the configuration names the fleet `test`");
    cluster.start_with_config(4, other).unwrap();
    cluster
        .wait_until(BUSY_MACHINE_MARGIN, |cluster| {
            (0..4).any(|relay| counter(cluster, relay, "foreign") > 1)
        })
        .expect("the relay of the other fleet sends datagrams to the seeds");
    wait_for_probes(&cluster, &[0, 1, 2, 3], 10);
    cluster
        .wait_until(BUSY_MACHINE_MARGIN, |cluster| {
            cluster.membership_is_consistent(&[0, 1, 2, 3])
        })
        .expect("the other relays still see each other");
    assert!(cluster.sees_exactly(4, &[4]));
}

#[test]
fn start_with_forbidden_or_unusable_peers_fails_with_one_line() {
    let mut cluster = open_cluster("refused", 2, 1, false);
    let error = cluster.start(0).unwrap_err().to_string();
    assert!(error.contains("permissions.peers"), "{error}");
    assert_eq!(cluster.log(0).lines().count(), 1, "{}", cluster.log(0));
    let mut cluster = open_cluster("faults", 2, 1, true);
    let taken = UdpSocket::bind(cluster.network.addresses[0].bind).unwrap();
    let error = cluster.start(0).unwrap_err().to_string();
    assert!(
        error.contains("peers:") && error.contains("in use"),
        "{error}"
    );
    drop(taken);
    let without_key = cluster.operator_config(0).replace("peers.key", "no.key");
    let error = cluster
        .start_with_config(0, without_key)
        .unwrap_err()
        .to_string();
    assert!(error.contains("peers.key_file"), "{error}");
    // Without peers in its operator configuration, a relay says so and binds no socket for them.
    cluster.start_with_config(1, "\n".into()).unwrap();
    assert!(
        cluster
            .admin_command(1, "PEERS")
            .unwrap()
            .starts_with("400 peers are not switched on")
    );
    UdpSocket::bind(cluster.network.addresses[1].bind).expect("the address of the peers is free");
}
