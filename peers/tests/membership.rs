//! Membership over simulated links: deaths, cuts, pauses, losses, growth, and what the bounds say
//! of them.
use std::collections::BTreeSet;
use thistlecroft::time::{Duration, Instant};
use thistlecroft_peers::identity::Row;
use thistlecroft_peers::wire::{Body, Datagram, MOST, Rejection, ReplayWindow, Seal};
use thistlecroft_peers::{Identity, Kind, MemberState, Node, Pace, Terms};
use thistlecroft_testbed::simulated_network::{Host, LinkFault, SimulatedNetwork};

const PERIOD: Duration = Duration::from_millis(200);

fn terms() -> Terms {
    let pace = Pace { period: PERIOD };
    Terms {
        fleet: "test".into(),
        secret: b"of the test".to_vec(),
        pace,
        rate: 32_768,
    }
}

fn network(count: usize, seed: u64) -> SimulatedNetwork {
    let mut network = SimulatedNetwork::new(terms(), None, 3, seed);
    for number in 0..count {
        network.start(&format!("r{number}"), 1.0);
    }
    network
}

fn together(count: usize, seed: u64) -> SimulatedNetwork {
    let mut network = network(count, seed);
    network
        .run_until(PERIOD * 40.0, SimulatedNetwork::membership_is_consistent)
        .expect("all see all");
    network
}

/// All that one process was seen as by the others, in order.
fn seen_as(network: &SimulatedNetwork, name: &str) -> Vec<MemberState> {
    let turns = network.hosts.iter().flat_map(|host| &host.member_changes);
    turns
        .filter(|change| change.id.name == name)
        .map(|change| change.state)
        .collect()
}

#[test]
fn started_at_once_with_seeds_that_start_themselves_all_see_all() {
    for (count, seed) in [(2, 1), (5, 2), (12, 3), (48, 4)] {
        let took = network(count, seed)
            .run_until(PERIOD * 40.0, SimulatedNetwork::membership_is_consistent);
        assert!(took.is_some(), "{count} relays");
    }
}

#[test]
fn a_death_is_known_to_all_within_the_stated_time_and_never_before_it_was_suspected() {
    for (count, seed) in [(3, 1), (5, 2), (12, 3), (24, 4)] {
        let mut network = together(count, seed);
        network.kill(1);
        let bound = terms().pace.gone_within(count, 0);
        let dead = network.hosts[1].node.me().clone();
        let gone =
            |host: &Host| !host.alive || host.node.state_of(&dead) == Some(MemberState::Dead);
        let took = network.run_until(bound, |network| network.hosts.iter().all(gone));
        assert!(took.is_some(), "{count} relays, {bound:?}");
        let seen = seen_as(&network, "r1");
        assert!(
            seen.contains(&MemberState::Suspect) && seen.contains(&MemberState::Dead),
            "{seen:?}"
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

#[test]
fn one_way_cuts_bridges_and_losses_end_in_the_verdict_that_is_stated() {
    // What is cut, from whom to whom; and who is gone for the rest at the end.
    type Cut = fn(&mut SimulatedNetwork);
    let cases: &[(&str, Cut, &[&str])] = &[
        (
            "hears all, is heard by none",
            |network| {
                for other in 1..5 {
                    network.link_faults.insert((0, other), LinkFault::CUT);
                }
            },
            &["r0"],
        ),
        (
            "is heard by all, hears none",
            |network| {
                for other in 1..5 {
                    network.link_faults.insert((other, 0), LinkFault::CUT);
                }
            },
            &["r0"],
        ),
        (
            "one direction of one pair",
            |network| {
                network.link_faults.insert((0, 1), LinkFault::CUT);
            },
            &[],
        ),
        (
            "two on either side, one reaches both",
            |network| network.partition(&[0, 1], &[3, 4]),
            &[],
        ),
        (
            "a tenth lost, 100 ms late",
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
    for (what, cut, gone) in cases {
        for seed in 1..=4 {
            let mut network = together(5, seed);
            cut(&mut network);
            network.run_for(terms().pace.gone_within(5, 8));
            let left: BTreeSet<String> = (0..5)
                .map(|number| format!("r{number}"))
                .filter(|name| !gone.contains(&name.as_str()))
                .collect();
            let rest = network
                .hosts
                .iter()
                .filter(|host| left.contains(&host.name));
            // A suspicion that is answered in time is no verdict.
            for host in rest {
                let views = host
                    .node
                    .members()
                    .filter(|view| view.state >= MemberState::Dead);
                let found: Vec<&str> = views.map(|view| view.id.name.as_str()).collect();
                assert_eq!(&found, gone, "{what}, seed {seed}, seen by {}", host.name);
            }
            // Others reach whom one does not: nobody is even suspected.
            if gone.is_empty() && network.default_link_fault.loss == 0.0 {
                let suspected = network
                    .hosts
                    .iter()
                    .map(|host| host.node.counts.suspected)
                    .sum::<u64>();
                assert_eq!(suspected, 0, "{what}, seed {seed}");
            }
        }
    }
}

#[test]
fn a_process_that_stood_still_blames_nobody_and_is_back_after_its_own_refutation() {
    for (still, gone) in [
        (Duration::from_millis(1_000), false),
        (Duration::from_millis(20_000), true),
    ] {
        let mut network = together(6, 9);
        network.pause(2);
        network.run_for(still);
        network.resume(2);
        let took = network.run_until(PERIOD * 60.0, SimulatedNetwork::membership_is_consistent);
        assert!(took.is_some(), "{still:?}");
        assert_eq!(
            seen_as(&network, "r2").contains(&MemberState::Dead),
            gone,
            "{still:?}"
        );
        // Nobody else was ever taken for gone by it, or by anybody.
        for name in ["r0", "r1", "r3", "r4", "r5"] {
            assert!(
                !seen_as(&network, name).contains(&MemberState::Dead),
                "{name}, {still:?}"
            );
        }
        assert!(!gone || network.hosts[2].node.incarnation() > 0);
    }
}

#[test]
fn a_suspicion_from_before_it_stood_still_is_no_verdict_after_it() {
    let mut network = together(6, 12);
    network.partition(&[4], &[0, 1, 2, 3, 5]);
    let accused = network.hosts[4].node.me().clone();
    let suspects = |network: &SimulatedNetwork| {
        network.hosts[2].node.state_of(&accused) == Some(MemberState::Suspect)
    };
    network
        .run_until(PERIOD * 20.0, suspects)
        .expect("suspected");
    network.pause(2);
    // The others hear that it is well; this one does not, and nothing waits for it.
    network.heal_partitions();
    network.partition(&[2], &[0, 1, 3, 4, 5]);
    network.run_for(PERIOD * 100.0);
    network.heal_partitions();
    network.resume(2);
    let turns = network.hosts[2].member_changes.len();
    network
        .run_until(PERIOD * 60.0, SimulatedNetwork::membership_is_consistent)
        .expect("all see all");
    let later = &network.hosts[2].member_changes[turns.saturating_sub(1)..];
    assert!(
        later
            .iter()
            .all(|change| change.id != accused || change.state != MemberState::Dead),
        "{later:?}"
    );
}

#[test]
fn a_restart_within_the_suspicion_time_is_a_new_process_and_the_old_one_has_left() {
    let mut network = together(5, 3);
    let old = network.hosts[1].node.me().clone();
    network.kill(1);
    network.run_for(PERIOD);
    network.restart(1);
    let took = network.run_until(terms().pace.gone_within(5, 0), |network| {
        network.membership_is_consistent()
            && network
                .hosts
                .iter()
                .filter(|host| host.name != "r1")
                .all(|host| {
                    host.node
                        .state_of(&old)
                        .is_some_and(|standing| standing >= MemberState::Dead)
                })
    });
    assert!(took.is_some());
    assert_eq!(
        network.hosts[0].node.unreachable(),
        0,
        "a newer run of its name is here"
    );
}

#[test]
fn halves_that_took_each_other_for_gone_and_grew_find_one_another_again() {
    let mut network = together(6, 5);
    network.partition(&[0, 1, 2], &[3, 4, 5]);
    network.run_for(PERIOD * 60.0);
    assert_eq!(network.hosts[0].node.unreachable(), 3);
    // One joins on either side meanwhile; each reaches its own side's seeds only.
    let (left, right) = (network.start("r6", 1.0), network.start("r7", 1.0));
    network.partition(&[left], &[3, 4, 5, right]);
    network.partition(&[right], &[0, 1, 2]);
    network.run_for(PERIOD * 240.0);
    assert!(!network.membership_is_consistent());
    network.heal_partitions();
    let took = network.run_until(PERIOD * 60.0, SimulatedNetwork::membership_is_consistent);
    assert!(took.is_some());
    assert_eq!(network.hosts[0].node.unreachable(), 0);
}

#[test]
fn who_leaves_is_gone_at_once_and_does_not_come_back() {
    let mut network = together(12, 6);
    network.act(4, |host, now| host.node.leave(now));
    network.kill(4);
    let took = network
        .run_until(PERIOD * 10.0, SimulatedNetwork::membership_is_consistent)
        .expect("told, not found out");
    assert!(took <= PERIOD * 10.0);
    assert!(!seen_as(&network, "r4").contains(&MemberState::Suspect));
    network.run_for(PERIOD * 40.0);
    assert!(network.membership_is_consistent());
}

#[test]
fn what_is_still_under_way_of_one_that_left_does_not_bring_it_back() {
    let (now, at) = (
        Instant::from_micros(1_000_000),
        "127.0.0.1:9".parse().unwrap(),
    );
    let mut node = Node::new(Identity::new("me", 1), at, Vec::new(), &terms(), 1, now);
    let seal = Seal::new(b"of the test", "test");
    let you = Identity::new("you", 2);
    let row = |incarnation, state| Row {
        id: you.clone(),
        at,
        incarnation,
        state,
        accuser: None,
    };
    let mut serial = 10;
    let mut hear = |node: &mut Node, from: &Identity, rows: Vec<Row>| {
        serial += 1;
        let (from, body) = (from.clone(), Body::Gossip);
        let datagram = Datagram {
            from,
            at,
            incarnation: 0,
            serial,
            body,
            rows,
            facts: Vec::new(),
        };
        node.receive(&seal.close(&datagram).unwrap(), at, now);
    };
    hear(&mut node, &you, Vec::new());
    assert_eq!(node.state_of(&you), Some(MemberState::Alive));
    // Taken for gone it may come back by a higher incarnation; having left it may not.
    let other = Identity::new("other", 3);
    hear(&mut node, &other, vec![row(0, MemberState::Dead)]);
    hear(&mut node, &other, vec![row(0, MemberState::Alive)]);
    assert_eq!(node.state_of(&you), Some(MemberState::Dead));
    hear(&mut node, &other, vec![row(1, MemberState::Alive)]);
    assert_eq!(node.state_of(&you), Some(MemberState::Alive));
    hear(&mut node, &you, vec![row(1, MemberState::Left)]);
    for rows in [
        vec![],
        vec![row(1, MemberState::Alive)],
        vec![row(2, MemberState::Suspect)],
        vec![row(9, MemberState::Alive)],
    ] {
        hear(&mut node, &other, rows.clone());
        hear(&mut node, &you, Vec::new());
        assert_eq!(node.state_of(&you), Some(MemberState::Left), "{rows:?}");
    }
}

#[test]
fn a_fact_reaches_all_and_a_lost_one_by_comparing() {
    let mut network = together(24, 7);
    network.default_link_fault.loss = 0.2;
    network.act(3, |host, now| {
        assert!(host.node.announce(Kind::Ban, b"box-1", b"out", now))
    });
    let known = |network: &SimulatedNetwork| {
        let has = |host: &Host| {
            host.node
                .facts()
                .of_kind(Kind::Ban, host.clock(network.now))
                .any(|fact| fact.value == b"out")
        };
        network.hosts.iter().all(has)
    };
    let took = network.run_until(PERIOD * 20.0, known).expect("all know");
    // One who was cut off all that while has it by an exchange; its age is at least what passed.
    network.partition(&[20], &(0..20).chain(21..24).collect::<Vec<_>>());
    network.act(3, |host, now| {
        assert!(host.node.announce(Kind::Note, b"n", b"later", now))
    });
    network.run_for(PERIOD * 30.0);
    network.heal_partitions();
    let has = |network: &SimulatedNetwork| {
        let host = &network.hosts[20];
        host.node
            .facts()
            .of_kind(Kind::Note, host.clock(network.now))
            .any(|fact| fact.age >= PERIOD * 30.0)
    };
    assert!(
        network.run_until(PERIOD * 60.0, has).is_some(),
        "after {took:?}"
    );
}

#[test]
fn what_is_said_no_more_is_forgotten_everywhere_and_what_is_said_stays() {
    let mut network = together(5, 8);
    network.act(0, |host, now| {
        assert!(host.node.announce(Kind::Ejection, b"b", b"1", now))
    });
    network.act(1, |host, now| {
        assert!(host.node.announce(Kind::Ejection, b"c", b"2", now))
    });
    network.run_for(PERIOD * 10.0);
    network.act(0, |host, _| host.node.withdraw(Kind::Ejection, b"b"));
    network.run_for(PERIOD * 200.0);
    for host in &network.hosts {
        let now = host.clock(network.now);
        let subjects: Vec<&[u8]> = host
            .node
            .facts()
            .of_kind(Kind::Ejection, now)
            .map(|fact| fact.subject)
            .collect();
        assert_eq!(subjects, [b"c"], "{}", host.name);
    }
}

#[test]
fn a_big_table_comes_in_pieces_and_what_is_lost_is_asked_for_again() {
    let mut network = together(3, 10);
    for number in 0..200_u32 {
        let subject = format!("a subject of some length, {number}");
        let value = [7; 90];
        network.act(0, |host, now| {
            assert!(
                host.node
                    .announce(Kind::Share, subject.as_bytes(), &value, now)
            )
        });
    }
    network.default_link_fault.loss = 0.3;
    let late = network.start("late", 1.0);
    let whole = |network: &SimulatedNetwork| network.hosts[late].node.facts().len() == 200;
    assert!(
        network.run_until(PERIOD * 150.0, whole).is_some(),
        "{}",
        network.hosts[late].node.facts().len()
    );
}

#[test]
fn a_relay_never_sends_more_than_its_rate() {
    let mut network = SimulatedNetwork::new(
        Terms {
            rate: 4_096,
            ..terms()
        },
        None,
        3,
        11,
    );
    for number in 0..24 {
        network.start(&format!("r{number}"), 1.0);
    }
    let mut most = 0;
    for _ in 0..20 {
        let before: Vec<u64> = network
            .hosts
            .iter()
            .map(|host| host.node.counts.sent_bytes)
            .collect();
        for number in 0..24 {
            let text = format!("{:?}", network.now);
            network.act(number, |host, now| {
                host.node
                    .announce(Kind::Note, text.as_bytes(), &[1; 90], now);
            });
        }
        network.run_for(Duration::from_millis(1_000));
        let sent = network
            .hosts
            .iter()
            .zip(before)
            .map(|(host, before)| host.node.counts.sent_bytes - before);
        most = most.max(sent.max().unwrap_or_default());
    }
    // What was saved up in a second comes on top once.
    assert!(most <= 2 * 4_096, "{most} bytes in a second");
    assert!(
        network
            .hosts
            .iter()
            .any(|host| host.node.counts.held_back > 0),
        "the cap was met"
    );
}

#[test]
fn datagrams_of_strangers_are_counted_and_do_nothing_else() {
    let (now, at) = (
        Instant::from_micros(1_000_000),
        "127.0.0.1:9".parse().unwrap(),
    );
    let node = |terms: &Terms| Node::new(Identity::new("me", 1), at, Vec::new(), terms, 1, now);
    let seal = Seal::new(b"of the test", "test");
    let datagram = Datagram {
        from: Identity::new("you", 2),
        at: "127.0.0.1:10".parse().unwrap(),
        incarnation: 0,
        serial: 1,
        body: Body::Gossip,
        rows: Vec::new(),
        facts: Vec::new(),
    };
    let good = seal.close(&datagram).unwrap();
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
        ("nothing", Vec::new(), |node| node.counts.odd_size),
        ("too long", vec![1; MOST + 1], |node| node.counts.odd_size),
        ("cut off", good[..good.len() - 1].to_vec(), |node| {
            node.counts.foreign
        }),
        ("changed", flipped, |node| node.counts.foreign),
        ("an older format", older, |node| node.counts.other_format),
        (
            "another fleet",
            Seal::new(b"of the test", "other").close(&datagram).unwrap(),
            |node| node.counts.foreign,
        ),
        (
            "another key",
            Seal::new(b"other", "test").close(&datagram).unwrap(),
            |node| node.counts.foreign,
        ),
        ("no name", seal.close(&unnamed).unwrap(), |node| {
            node.counts.malformed
        }),
    ];
    for (what, bytes, count) in cases {
        let mut node = node(&terms());
        node.receive(bytes, at, now);
        assert_eq!(
            (count(&node), node.counts.heard, node.members().count()),
            (1, 0, 0),
            "{what}"
        );
        assert!(node.take_datagrams().is_empty(), "{what}");
    }
    let mut node = node(&terms());
    for _ in 0..3 {
        node.receive(&good, at, now);
    }
    assert_eq!((node.counts.heard, node.counts.repeated), (1, 2));
    assert_eq!(seal.open(&good), Ok(datagram));
    assert_eq!(seal.open(&[0; 40]), Err(Rejection::Format(0)));
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
    for (serial, taken) in serials {
        assert_eq!(window.accept(serial), taken, "{serial}");
    }
}
