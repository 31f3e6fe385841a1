//! Tests of sessions when file descriptors run out.
use crate::helper::*;
use std::time::{Duration, Instant};

#[test]
fn silent_connections_at_descriptor_limit_are_shed_for_clients_that_send() {
    let (address, _received) = start_backend(BackendBehavior::Echo);
    // Of the 64 descriptors sessions may take 24. Hundreds of silent clients connect, and more
    // while others are shed.
    let relay = start_relay(
        unused_address(),
        64,
        &endpoint_list(1, true, &[("b", address, "Ready")]),
        false,
    );
    let mut silent_clients: Vec<Client> = (0..200).map(|_| relay.connect()).collect();
    for round in 0..8 {
        let started_at = Instant::now();
        let mut client = relay.open_session("safe", 1_500);
        assert_eq!(client.next_line(), "UP receipt", "{round}");
        assert!(
            started_at.elapsed() < Duration::from_millis(1_500),
            "{round}: {:?}",
            started_at.elapsed()
        );
        client.send("through\r\n");
        assert_eq!(client.next_line(), "through", "{round}");
        silent_clients.extend((0..20).map(|_| relay.connect()));
    }
    for client in &mut silent_clients {
        // A client that connected just before it was shed may have been about to send, so the relay
        // rejects it instead of only closing its connection.
        let line = client.next_line();
        assert!(
            line == "end"
                || line == "BUSY" && ["end", "reset"].contains(&client.next_line().as_str()),
            "{line}"
        );
    }
}

#[test]
fn clients_beyond_descriptor_limit_are_rejected_until_descriptors_are_free() {
    let (address, _received) = start_backend(BackendBehavior::Echo);
    let relay = start_relay(
        unused_address(),
        64,
        &endpoint_list(1, true, &[("b", address, "Ready")]),
        false,
    );
    let mut served = Vec::new();
    let mut rejected = 0;
    for _ in 0..30 {
        let mut client = relay.open_session("safe", 2_000);
        match client.next_line().as_str() {
            "UP receipt" => served.push(client),
            line if line.starts_with("BUSY") => rejected += 1,
            other => panic!("{other}"),
        }
    }
    assert!(
        rejected > 0 && served.len() >= 5,
        "{rejected} rejected, {} served",
        served.len()
    );
    served[0].send("still here\r\n");
    assert_eq!(served[0].next_line(), "still here");
    for client in &mut served {
        client.finish_sending();
        while client.next_line() != "end" {}
    }
    assert_eq!(relay.open_session("safe", 2_000).next_line(), "UP receipt");
    relay.signal("USR1");
    let line = relay.wait_for_log("turned_away=");
    assert_eq!(
        counter_value(&line, "turned_away") + counter_value(&line, "refused"),
        rejected,
        "{line}"
    );
    assert!(line.contains("accept_failures=0 "), "{line}");
}

#[test]
fn accept_without_system_descriptors_ends_no_session_and_does_not_spin() {
    let (address, _received) = start_backend(BackendBehavior::Echo);
    // The configuration allows more descriptors than the system's limit of 40.
    let relay = start_relay_with_descriptors(
        40,
        unused_address(),
        1_000,
        &endpoint_list(1, true, &[("b", address, "Ready")]),
        false,
    );
    let mut clients = vec![relay.open_session("safe", 2_000)];
    assert_eq!(clients[0].next_line(), "UP receipt");
    clients.extend((0..60).map(|_| relay.open_session("safe", 2_000)));
    relay.signal("USR1");
    let mut line = relay.wait_for_log("accept_failures=");
    let deadline = Instant::now() + TEST_TIMEOUT;
    while line.contains("accept_failures=0 ") && Instant::now() < deadline {
        relay.signal("USR1");
        line = relay.wait_for_log("accept_failures=");
    }
    let count = counter_value(&line, "accept_failures");
    // Accepting is retried every 20 ms; an event loop that spins would fail thousands of times.
    assert!((1..1_000).contains(&count), "{count}");
    clients[0].send("still here\r\n");
    assert_eq!(clients[0].next_line(), "still here");
    drop(clients);
    let mut answer = String::new();
    while answer != "UP receipt" && Instant::now() < deadline {
        answer = relay.open_session("safe", 2_000).next_line();
    }
    assert_eq!(answer, "UP receipt");
}

/// Idle clients hold every descriptor that they can get, while discovery is unreachable.
#[test]
fn idle_clients_at_descriptor_limit_block_neither_clients_nor_discovery() {
    let (known, known_received) = start_backend(BackendBehavior::Echo);
    let (listed, listed_received) = start_backend(BackendBehavior::Echo);
    let (relay_address, agent_address) = (unused_address(), unused_address());
    let relay = start_relay_with_config(
        relay_address,
        config(
            relay_address,
            agent_address,
            100,
            &endpoint_list(1, true, &[("known", known, "Ready")]),
            false,
        ),
    );
    relay.wait_for_counter("list_failures", 2);
    let open_count = || {
        let path = format!("/proc/{}/fd", relay.child.id());
        std::fs::read_dir(path).unwrap().count()
    };
    let mut idle_clients: Vec<Client> = Vec::new();
    wait_for("200 idle clients are connected", || {
        idle_clients.push(relay.connect());
        (idle_clients.len() >= 200).then_some(())
    });
    assert!(open_count() <= 100, "{} descriptors", open_count());
    // Clients that send are served, and the relay can still open its configuration file and connect
    // to discovery.
    let mut established = relay.open_session("safe", 7_000);
    assert_eq!(established.next_line(), "UP receipt");
    assert!(next_received(&known_received).starts_with("OPEN"));
    relay.reload_with("\"cores\":1.0", "\"cores\":1.5");
    relay.wait_for_log("limits");
    let agent = DiscoveryAgent::at(agent_address);
    let (watch, _) = agent.accept_request();
    send(
        &watch,
        &format!(
            "{RESPONSE_HEAD}{}",
            chunk(&endpoint_list(2, true, &[("listed", listed, "Ready")]))
        ),
    );
    relay.wait_for_counter("lists", 1);
    idle_clients.extend((0..100).map(|_| relay.connect()));
    let mut client = relay.open_session("safe", 7_000);
    assert_eq!(client.next_line(), "UP receipt");
    assert!(next_received(&listed_received).starts_with("OPEN"));
    established.send("still here\r\n");
    assert_eq!(established.next_line(), "still here");
    assert!(open_count() <= 100, "{} descriptors", open_count());
}
