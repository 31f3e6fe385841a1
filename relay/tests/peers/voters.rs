//! Changes of the voters by changes of the operator configuration.
use crate::*;

const FORMER_VOTERS: &str = r#"["relay-0", "relay-1", "relay-2"]"#;

const NEW_VOTERS: &str = r#"["relay-2", "relay-3", "relay-4"]"#;

/// Replaces the line of voters in a relay's operator configuration by `lines`.
fn replace_voters(cluster: &ProcessCluster, relay: usize, lines: &str) {
    let former_line = format!("voters = {FORMER_VOTERS}");
    let text = cluster.operator_config(relay);
    assert!(text.contains(&former_line), "{text}");
    cluster
        .replace_operator_config(relay, &text.replace(&former_line, lines))
        .unwrap();
}

fn voter_generation(cluster: &ProcessCluster, relay: usize) -> u64 {
    let membership = cluster.membership(relay).unwrap();
    read_number(&membership, &["leases", "generation"])
}

fn wait_for_voter_generation(cluster: &ProcessCluster, generation: u64) {
    let is_applied = |cluster: &ProcessCluster| {
        (0..5).all(|relay| voter_generation(cluster, relay) == generation)
    };
    cluster
        .wait_until(BUSY_MACHINE_MARGIN, is_applied)
        .expect("all relays have applied the change of voters");
}

fn holds_turn(cluster: &ProcessCluster, relay: usize) -> bool {
    cluster
        .admin_command(relay, "LEASE turn")
        .is_some_and(|response| response.starts_with("200 held"))
}

#[test]
fn voters_change_only_by_two_steps_of_the_operator_configuration() {
    let mut cluster = start_cluster("voters", 5, 5);
    cluster
        .wait_until(LEASE_TERM * 4.0 + BUSY_MACHINE_MARGIN, |cluster| {
            holds_turn(cluster, 4)
        })
        .expect("relay 4 holds the lease");
    // A change to the new voters in one step is refused with a log line, and nothing of it is
    // applied.
    replace_voters(
        &cluster,
        0,
        &format!("voters = {NEW_VOTERS}\ngeneration = 2"),
    );
    let refusal = "voters_before: names the voters until now";
    cluster
        .wait_until(BUSY_MACHINE_MARGIN, |cluster| {
            cluster.log(0).contains(refusal)
        })
        .expect("the refusal is logged");
    assert_eq!(voter_generation(&cluster, 0), 1);
    let joint = format!("voters = {NEW_VOTERS}\nvoters_before = {FORMER_VOTERS}\ngeneration = 2");
    (0..5).for_each(|relay| replace_voters(&cluster, relay, &joint));
    wait_for_voter_generation(&cluster, 2);
    let settled = |cluster: &ProcessCluster, relay: usize| {
        cluster.membership(relay).unwrap()["leases"]["settled"] == true
    };
    cluster
        .wait_until(BUSY_MACHINE_MARGIN, |cluster| {
            (0..5).all(|relay| settled(cluster, relay))
        })
        .expect("the change to the joint voters is settled at all relays");
    let last = format!("voters = {NEW_VOTERS}\ngeneration = 3");
    (0..5).for_each(|relay| replace_voters(&cluster, relay, &last));
    wait_for_voter_generation(&cluster, 3);
    (0..2).for_each(|relay| cluster.kill(relay));
    cluster
        .wait_until(LEASE_TERM * 6.0 + BUSY_MACHINE_MARGIN, |cluster| {
            holds_turn(cluster, 4)
        })
        .expect("relay 4 holds the lease without the former voters");
}
