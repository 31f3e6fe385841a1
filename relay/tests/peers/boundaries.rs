//! Datagrams of strangers, and configurations of peers that are refused.
use crate::*;

#[test]
fn datagrams_of_strangers_and_other_fleets_are_counted_and_ignored() {
    let mut cluster = start_cluster("strangers", 5, 5);
    let stranger = UdpSocket::bind("127.0.0.1:0").unwrap();
    let at = cluster.network.addresses[0].own;
    for bytes in [vec![0; 100], vec![1; 100], vec![1; 3], vec![1; 1_400]] {
        stranger.send_to(&bytes, at).unwrap();
    }
    let counted = |cluster: &ProcessCluster| {
        let counted = |name| count(cluster, 0, name);
        counted("other_format") == 1 && counted("foreign") == 1 && counted("odd_size") == 2
    };
    cluster
        .wait_until(BUSY_MACHINE_MARGIN, counted)
        .expect("each counted by its kind");
    cluster
        .wait_until(BUSY_MACHINE_MARGIN, |cluster| {
            cluster.log(0).contains("datagrams of format 0")
        })
        .expect("and said");
    // Another fleet at the address of one that has left.
    assert!(cluster.stop(4, BUSY_MACHINE_MARGIN));
    let other = cluster
        .operator_config(4)
        .replace("fleet = \"rig\"", "fleet = \"other\"");
    cluster.start_with_config(4, other).unwrap();
    cluster
        .wait_until(BUSY_MACHINE_MARGIN, |cluster| {
            (0..4).any(|relay| count(cluster, relay, "foreign") > 1)
        })
        .expect("it asks the seeds");
    wait_for_probes(&cluster, &[0, 1, 2, 3], 10);
    cluster
        .wait_until(BUSY_MACHINE_MARGIN, |cluster| {
            cluster.membership_is_consistent(&[0, 1, 2, 3])
        })
        .expect("the others are together");
    assert!(cluster.sees_exactly(4, &[4]));
}

#[test]
fn peers_that_are_not_allowed_or_not_possible_end_the_start_with_one_line() {
    let mut cluster = open_cluster("refused", 2, 1, false);
    let fault = cluster.start(0).unwrap_err().to_string();
    assert!(fault.contains("permissions.peers"), "{fault}");
    assert_eq!(cluster.log(0).lines().count(), 1, "{}", cluster.log(0));
    let mut cluster = open_cluster("faults", 2, 1, true);
    let taken = UdpSocket::bind(cluster.network.addresses[0].own).unwrap();
    let fault = cluster.start(0).unwrap_err().to_string();
    assert!(
        fault.contains("peers:") && fault.contains("in use"),
        "{fault}"
    );
    drop(taken);
    let without_key = cluster.operator_config(0).replace("peers.key", "no.key");
    let fault = cluster
        .start_with_config(0, without_key)
        .unwrap_err()
        .to_string();
    assert!(fault.contains("peers.key_file"), "{fault}");
    // Switched off it says so, and has no socket for it.
    cluster.start_with_config(1, "\n".into()).unwrap();
    assert!(
        cluster
            .admin_command(1, "PEERS")
            .unwrap()
            .starts_with("400 peers are not switched on")
    );
    UdpSocket::bind(cluster.network.addresses[1].own).expect("nobody listens there");
}
