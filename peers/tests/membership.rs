//! Membership in simulated networks: failures, partitions, pauses, packet loss and growth are
//! handled within the documented bounds.
use std::collections::BTreeSet;
use std::net::SocketAddr;
use thistlecroft::time::{Duration, Instant};
use thistlecroft_peers::identity::MemberRecord;
use thistlecroft_peers::wire::{
    Body, Datagram, DatagramCodec, MAX_DATAGRAM_BYTES, Rejection, ReplayWindow,
};
use thistlecroft_peers::{EntryKind, Identity, MemberState, Node, NodeConfig, ProtocolTiming};
use thistlecroft_testbed::simulated_network::{Host, LinkFault, SimulatedNetwork};

const PROBE_INTERVAL: Duration = Duration::from_millis(200);

fn config() -> NodeConfig {
    let timing = ProtocolTiming {
        probe_interval: PROBE_INTERVAL,
    };
    NodeConfig {
        fleet: "test".into(),
        secret: b"of the test".to_vec(),
        timing,
        max_bytes_per_second: 32_768,
    }
}

fn network(count: usize, seed: u64) -> SimulatedNetwork {
    let mut network = SimulatedNetwork::new(config(), None, 3, seed);
    for number in 0..count {
        network.start(&format!("r{number}"), 1.0);
    }
    network
}

fn joined_network(count: usize, seed: u64) -> SimulatedNetwork {
    let mut network = network(count, seed);
    network
        .run_until(
            PROBE_INTERVAL * 40.0,
            SimulatedNetwork::membership_is_consistent,
        )
        .expect("all members see each other");
    network
}

/// Returns the states in which other processes have seen the process of this name, host by host and
/// in the order of the changes.
fn states_seen_of(network: &SimulatedNetwork, name: &str) -> Vec<MemberState> {
    let changes = network.hosts.iter().flat_map(|host| &host.member_changes);
    changes
        .filter(|change| change.id.name == name)
        .map(|change| change.state)
        .collect()
}

#[test]
fn relays_started_together_find_each_other() {
    for (count, seed) in [(2, 1), (5, 2), (12, 3), (48, 4)] {
        let duration = network(count, seed).run_until(
            PROBE_INTERVAL * 40.0,
            SimulatedNetwork::membership_is_consistent,
        );
        assert!(
            duration.is_some(),
            "{count} relays do not all see each other"
        );
    }
}

#[test]
fn dead_member_is_suspected_and_detected_within_the_bound() {
    for (count, seed) in [(3, 1), (5, 2), (12, 3), (24, 4)] {
        let mut network = joined_network(count, seed);
        network.kill(1);
        let bound = config().timing.detection_bound(count, 0);
        let dead = network.hosts[1].node.identity().clone();
        let sees_death =
            |host: &Host| !host.alive || host.node.state_of(&dead) == Some(MemberState::Dead);
        let duration = network.run_until(bound, |network| network.hosts.iter().all(sees_death));
        assert!(
            duration.is_some(),
            "{count} relays: not all see the death within {bound:?}"
        );
        let seen = states_seen_of(&network, "r1");
        assert!(
            seen.contains(&MemberState::Suspect) && seen.contains(&MemberState::Dead),
            "{count} relays: states seen of r1 {seen:?}"
        );
        let others = network
            .hosts
            .iter()
            .filter(|host| host.alive)
            .flat_map(|host| &host.member_changes);
        assert!(
            others
                .filter(|change| change.id.name != "r1")
                .all(|change| change.state == MemberState::Alive)
        );
    }
}

/// Applies a fault to the links of a network.
type ChangeLinks = fn(&mut SimulatedNetwork);

/// Link faults, and the members that all others regard as dead in the end.
const LINK_FAULTS: &[(&str, ChangeLinks, &[&str])] = &[
    (
        "r0 receives from all, nothing from r0 arrives",
        |network| {
            for other in 1..5 {
                network.link_faults.insert((0, other), LinkFault::CUT);
            }
        },
        &["r0"],
    ),
    (
        "all receive from r0, nothing to r0 arrives",
        |network| {
            for other in 1..5 {
                network.link_faults.insert((other, 0), LinkFault::CUT);
            }
        },
        &["r0"],
    ),
    (
        "one direction of one link is cut",
        |network| {
            network.link_faults.insert((0, 1), LinkFault::CUT);
        },
        &[],
    ),
    (
        "two processes on each side, r2 reaches both sides",
        |network| network.partition(&[0, 1], &[3, 4]),
        &[],
    ),
    (
        "a tenth of the datagrams lost, the rest up to 60 ms late",
        |network| {
            network.default_link_fault = LinkFault {
                loss: 0.1,
                delay: Duration::from_millis(40),
                jitter: Duration::from_millis(20),
                ..network.default_link_fault
            };
        },
        &[],
    ),
];

#[test]
fn partial_partitions_and_losses_end_in_the_documented_states() {
    for (fault, change_links, dead) in LINK_FAULTS {
        for seed in 1..=4 {
            let mut network = joined_network(5, seed);
            change_links(&mut network);
            network.run_for(config().timing.detection_bound(5, 8));
            let connected: BTreeSet<String> = (0..5)
                .map(|number| format!("r{number}"))
                .filter(|name| !dead.contains(&name.as_str()))
                .collect();
            let rest = network
                .hosts
                .iter()
                .filter(|host| connected.contains(&host.name));
            // Members that are only suspect do not count, since they may refute the suspicion in
            // time.
            for host in rest {
                let views = host
                    .node
                    .members()
                    .filter(|view| view.state >= MemberState::Dead);
                let found: Vec<&str> = views.map(|view| view.id.name.as_str()).collect();
                assert_eq!(
                    &found, dead,
                    "{fault}, seed {seed}: members that {} regards as dead",
                    host.name
                );
            }
            // Helpers reach the target of every probe, so no member is even suspected.
            if dead.is_empty() && network.default_link_fault.loss == 0.0 {
                let suspected = network
                    .hosts
                    .iter()
                    .map(|host| host.node.counts.suspected)
                    .sum::<u64>();
                assert_eq!(suspected, 0, "{fault}, seed {seed}: members suspected");
            }
        }
    }
}

#[test]
fn paused_process_declares_nobody_dead_and_returns_by_refutation() {
    for (pause, is_declared_dead) in [
        (Duration::from_millis(1_000), false),
        (Duration::from_millis(20_000), true),
    ] {
        let mut network = joined_network(6, 9);
        network.pause(2);
        network.run_for(pause);
        network.resume(2);
        let duration = network.run_until(
            PROBE_INTERVAL * 60.0,
            SimulatedNetwork::membership_is_consistent,
        );
        assert!(
            duration.is_some(),
            "pause of {pause:?}: the members do not all see each other afterwards"
        );
        assert_eq!(
            states_seen_of(&network, "r2").contains(&MemberState::Dead),
            is_declared_dead,
            "pause of {pause:?}: whether r2 was declared dead"
        );
        // No process regarded any other process as dead.
        for name in ["r0", "r1", "r3", "r4", "r5"] {
            assert!(
                !states_seen_of(&network, name).contains(&MemberState::Dead),
                "pause of {pause:?}: {name} was declared dead"
            );
        }
        assert!(!is_declared_dead || network.hosts[2].node.incarnation() > 0);
    }
}

#[test]
fn suspicion_from_before_a_pause_does_not_expire_in_it() {
    let mut network = joined_network(6, 12);
    network.partition(&[4], &[0, 1, 2, 3, 5]);
    let accused = network.hosts[4].node.identity().clone();
    let suspects = |network: &SimulatedNetwork| {
        network.hosts[2].node.state_of(&accused) == Some(MemberState::Suspect)
    };
    network
        .run_until(PROBE_INTERVAL * 20.0, suspects)
        .expect("r2 suspects r4");
    network.pause(2);
    // All others receive the refutation of r4. The paused r2 does not, not even after the pause.
    network.heal_partitions();
    network.partition(&[2], &[0, 1, 3, 4, 5]);
    network.run_for(PROBE_INTERVAL * 100.0);
    network.heal_partitions();
    network.resume(2);
    let changes = network.hosts[2].member_changes.len();
    network
        .run_until(
            PROBE_INTERVAL * 60.0,
            SimulatedNetwork::membership_is_consistent,
        )
        .expect("all members see each other");
    let later = &network.hosts[2].member_changes[changes.saturating_sub(1)..];
    assert!(
        later
            .iter()
            .all(|change| change.id != accused || change.state != MemberState::Dead),
        "r2 declared r4 dead: {later:?}"
    );
}

#[test]
fn restart_within_the_suspicion_timeout_replaces_the_old_process() {
    let mut network = joined_network(5, 3);
    let old_process = network.hosts[1].node.identity().clone();
    network.kill(1);
    network.run_for(PROBE_INTERVAL);
    network.restart(1);
    let duration = network.run_until(config().timing.detection_bound(5, 0), |network| {
        network.membership_is_consistent()
            && network
                .hosts
                .iter()
                .filter(|host| host.name != "r1")
                .all(|host| {
                    host.node
                        .state_of(&old_process)
                        .is_some_and(|state| state >= MemberState::Dead)
                })
    });
    assert!(duration.is_some());
    assert_eq!(
        network.hosts[0].node.unreachable_count(),
        0,
        "a newer run of the relay is alive"
    );
}

#[test]
fn divided_fleet_merges_after_growing_on_both_sides() {
    let mut network = joined_network(6, 5);
    network.partition(&[0, 1, 2], &[3, 4, 5]);
    network.run_for(PROBE_INTERVAL * 60.0);
    assert_eq!(network.hosts[0].node.unreachable_count(), 3);
    // One process joins on each side. It reaches only the seeds on its own side.
    let (left, right) = (network.start("r6", 1.0), network.start("r7", 1.0));
    network.partition(&[left], &[3, 4, 5, right]);
    network.partition(&[right], &[0, 1, 2]);
    network.run_for(PROBE_INTERVAL * 240.0);
    assert!(!network.membership_is_consistent());
    network.heal_partitions();
    let duration = network.run_until(
        PROBE_INTERVAL * 60.0,
        SimulatedNetwork::membership_is_consistent,
    );
    assert!(duration.is_some());
    assert_eq!(network.hosts[0].node.unreachable_count(), 0);
}

#[test]
fn member_that_leaves_is_known_at_once_and_does_not_return() {
    let mut network = joined_network(12, 6);
    network.with_host(4, |host, now| host.node.leave(now));
    network.kill(4);
    let duration = network
        .run_until(
            PROBE_INTERVAL * 10.0,
            SimulatedNetwork::membership_is_consistent,
        )
        .expect("the shutdown is announced, not detected");
    assert!(duration <= PROBE_INTERVAL * 10.0);
    assert!(!states_seen_of(&network, "r4").contains(&MemberState::Suspect));
    network.run_for(PROBE_INTERVAL * 40.0);
    assert!(network.membership_is_consistent());
}

#[test]
fn late_datagrams_do_not_revive_a_member_that_left() {
    let (now, address) = (
        Instant::from_micros(1_000_000),
        "127.0.0.1:9".parse().unwrap(),
    );
    let mut node = Node::new(
        Identity::new("me", 1),
        address,
        Vec::new(),
        &config(),
        1,
        now,
    );
    let codec = DatagramCodec::new(b"of the test", "test");
    let member = Identity::new("you", 2);
    let record = |incarnation, state| MemberRecord {
        id: member.clone(),
        address,
        incarnation,
        state,
        accuser: None,
    };
    let mut serial = 10;
    let mut receive = |node: &mut Node, from: &Identity, records: Vec<MemberRecord>| {
        serial += 1;
        let (from, body) = (from.clone(), Body::Gossip);
        let datagram = Datagram {
            from,
            address,
            incarnation: 0,
            serial,
            body,
            members: records,
            entries: Vec::new(),
        };
        node.receive(&codec.encode(&datagram).unwrap(), address, now);
    };
    receive(&mut node, &member, Vec::new());
    assert_eq!(node.state_of(&member), Some(MemberState::Alive));
    // A dead member may come back with a higher incarnation; one that has left may not.
    let other = Identity::new("other", 3);
    receive(&mut node, &other, vec![record(0, MemberState::Dead)]);
    receive(&mut node, &other, vec![record(0, MemberState::Alive)]);
    assert_eq!(node.state_of(&member), Some(MemberState::Dead));
    receive(&mut node, &other, vec![record(1, MemberState::Alive)]);
    assert_eq!(node.state_of(&member), Some(MemberState::Alive));
    receive(&mut node, &member, vec![record(1, MemberState::Left)]);
    for records in [
        vec![],
        vec![record(1, MemberState::Alive)],
        vec![record(2, MemberState::Suspect)],
        vec![record(9, MemberState::Alive)],
    ] {
        receive(&mut node, &other, records.clone());
        receive(&mut node, &member, Vec::new());
        assert_eq!(
            node.state_of(&member),
            Some(MemberState::Left),
            "state after {records:?}"
        );
    }
}

#[test]
fn entry_reaches_all_members_by_gossip_or_sync() {
    let mut network = joined_network(24, 7);
    network.default_link_fault.loss = 0.2;
    network.with_host(3, |host, now| {
        assert!(host.node.announce(EntryKind::Ban, b"box-1", b"out", now))
    });
    let is_known_everywhere = |network: &SimulatedNetwork| {
        let has_entry = |host: &Host| {
            host.node
                .shared_state()
                .of_kind(EntryKind::Ban, host.clock(network.now))
                .any(|entry| entry.value == b"out")
        };
        network.hosts.iter().all(has_entry)
    };
    let duration = network
        .run_until(PROBE_INTERVAL * 20.0, is_known_everywhere)
        .expect("all members have the entry");
    // A member that was partitioned off gets a later entry by a sync, with an age that includes the
    // time since its announcement.
    network.partition(&[20], &(0..20).chain(21..24).collect::<Vec<_>>());
    network.with_host(3, |host, now| {
        assert!(host.node.announce(EntryKind::Note, b"n", b"later", now))
    });
    network.run_for(PROBE_INTERVAL * 30.0);
    network.heal_partitions();
    let has_later_entry = |network: &SimulatedNetwork| {
        let host = &network.hosts[20];
        host.node
            .shared_state()
            .of_kind(EntryKind::Note, host.clock(network.now))
            .any(|entry| entry.age >= PROBE_INTERVAL * 30.0)
    };
    assert!(
        network
            .run_until(PROBE_INTERVAL * 60.0, has_later_entry)
            .is_some(),
        "r20 does not get the later entry; all had the first one after {duration:?}"
    );
}

#[test]
fn withdrawn_entry_expires_everywhere_and_others_stay() {
    let mut network = joined_network(5, 8);
    network.with_host(0, |host, now| {
        assert!(host.node.announce(EntryKind::Ejection, b"b", b"1", now))
    });
    network.with_host(1, |host, now| {
        assert!(host.node.announce(EntryKind::Ejection, b"c", b"2", now))
    });
    network.run_for(PROBE_INTERVAL * 10.0);
    network.with_host(0, |host, _| host.node.withdraw(EntryKind::Ejection, b"b"));
    network.run_for(PROBE_INTERVAL * 200.0);
    for host in &network.hosts {
        let now = host.clock(network.now);
        let subjects: Vec<&[u8]> = host
            .node
            .shared_state()
            .of_kind(EntryKind::Ejection, now)
            .map(|entry| entry.subject)
            .collect();
        assert_eq!(subjects, [b"c"], "entries at {}", host.name);
    }
}

#[test]
fn large_snapshot_arrives_in_chunks_despite_losses() {
    let mut network = joined_network(3, 10);
    for number in 0..200_u32 {
        let subject = format!("a subject of some length, {number}");
        let value = [7; 90];
        network.with_host(0, |host, now| {
            assert!(
                host.node
                    .announce(EntryKind::Share, subject.as_bytes(), &value, now)
            )
        });
    }
    network.default_link_fault.loss = 0.3;
    let late = network.start("late", 1.0);
    let is_complete =
        |network: &SimulatedNetwork| network.hosts[late].node.shared_state().len() == 200;
    assert!(
        network
            .run_until(PROBE_INTERVAL * 150.0, is_complete)
            .is_some(),
        "{} of 200 entries arrived",
        network.hosts[late].node.shared_state().len()
    );
}

#[test]
fn relay_never_exceeds_its_send_rate() {
    let mut network = SimulatedNetwork::new(
        NodeConfig {
            max_bytes_per_second: 4_096,
            ..config()
        },
        None,
        3,
        11,
    );
    for number in 0..24 {
        network.start(&format!("r{number}"), 1.0);
    }
    let mut max_sent = 0;
    for _ in 0..20 {
        let before: Vec<u64> = network
            .hosts
            .iter()
            .map(|host| host.node.counts.sent_bytes)
            .collect();
        for number in 0..24 {
            let subject = format!("{:?}", network.now);
            network.with_host(number, |host, now| {
                host.node
                    .announce(EntryKind::Note, subject.as_bytes(), &[1; 90], now);
            });
        }
        network.run_for(Duration::from_millis(1_000));
        let sent = network
            .hosts
            .iter()
            .zip(before)
            .map(|(host, before)| host.node.counts.sent_bytes - before);
        max_sent = max_sent.max(sent.max().unwrap_or_default());
    }
    // A burst of up to one second's budget is allowed on top of the rate.
    assert!(max_sent <= 2 * 4_096, "{max_sent} bytes in a second");
    assert!(
        network
            .hosts
            .iter()
            .any(|host| host.node.counts.rate_limited > 0),
        "the rate limit was reached"
    );
}

const START: Instant = Instant::from_micros(1_000_000);

fn source() -> SocketAddr {
    "127.0.0.1:9".parse().unwrap()
}

fn node() -> Node {
    let me = Identity::new("me", 1);
    Node::new(me, source(), Vec::new(), &config(), 1, START)
}

fn valid_datagram() -> Datagram {
    Datagram {
        from: Identity::new("you", 2),
        address: "127.0.0.1:10".parse().unwrap(),
        incarnation: 0,
        serial: 1,
        body: Body::Gossip,
        members: Vec::new(),
        entries: Vec::new(),
    }
}

#[test]
fn foreign_datagrams_are_counted_and_ignored() {
    let codec = DatagramCodec::new(b"of the test", "test");
    let datagram = valid_datagram();
    let good = codec.encode(&datagram).unwrap();
    let mut flipped = good.clone();
    flipped[5] ^= 1;
    let mut older = good.clone();
    older[0] = 0;
    let unnamed = Datagram {
        from: Identity::new("", 2),
        ..datagram.clone()
    };
    type Count = fn(&Node) -> u64;
    let cases: &[(&str, Vec<u8>, Count)] = &[
        ("nothing", Vec::new(), |node| node.counts.wrong_size),
        ("too long", vec![1; MAX_DATAGRAM_BYTES + 1], |node| {
            node.counts.wrong_size
        }),
        ("truncated", good[..good.len() - 1].to_vec(), |node| {
            node.counts.foreign
        }),
        ("altered", flipped, |node| node.counts.foreign),
        ("an older format", older, |node| node.counts.unknown_format),
        (
            "another fleet",
            DatagramCodec::new(b"of the test", "other")
                .encode(&datagram)
                .unwrap(),
            |node| node.counts.foreign,
        ),
        (
            "another key",
            DatagramCodec::new(b"other", "test")
                .encode(&datagram)
                .unwrap(),
            |node| node.counts.foreign,
        ),
        ("no name", codec.encode(&unnamed).unwrap(), |node| {
            node.counts.malformed
        }),
    ];
    for (case, bytes, count) in cases {
        let mut node = node();
        node.receive(bytes, source(), START);
        assert_eq!(
            (count(&node), node.counts.received, node.members().count()),
            (1, 0, 0),
            "{case}: datagrams rejected for this reason, datagrams accepted, members"
        );
        assert!(node.take_datagrams().is_empty(), "{case}: the node answers");
    }
}

#[test]
fn repeated_datagram_is_accepted_once() {
    let codec = DatagramCodec::new(b"of the test", "test");
    let datagram = valid_datagram();
    let good = codec.encode(&datagram).unwrap();
    let mut node = node();
    for _ in 0..3 {
        node.receive(&good, source(), START);
    }
    assert_eq!((node.counts.received, node.counts.repeated), (1, 2));
    assert_eq!(codec.decode(&good), Ok(datagram));
    assert_eq!(codec.decode(&[0; 40]), Err(Rejection::Format(0)));
}

#[test]
fn replay_window_accepts_each_serial_once() {
    let mut window = ReplayWindow::default();
    let serials = [
        (5, true),
        (5, false),
        (3, true),
        (3, false),
        (70, true),
        (6, false),
        (7, true),
        (1 << 40, true),
        (70, false),
    ];
    for (serial, is_accepted) in serials {
        assert_eq!(window.accept(serial), is_accepted, "serial {serial}");
    }
}
