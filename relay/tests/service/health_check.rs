//! Health checks of backends.
use crate::helper::*;
use std::io::{BufRead, BufReader};
use std::net::{TcpListener, TcpStream};

#[test]
fn health_checks_of_one_backend_reuse_their_connection() {
    let (address, received) = start_backend(BackendBehavior::Echo);
    let relay = start_relay(
        unused_address(),
        1_000,
        &endpoint_list(1, true, &[("b", address, "Ready")]),
        true,
    );
    assert_eq!(
        [next_received(&received), next_received(&received)],
        ["STATS\r\n", "STATS\r\n"]
    );
    relay.signal("USR1");
    let line = relay.wait_for_log("probes=");
    assert!(line.contains("probes_failed=0 "), "{line}");
    assert!(!line.contains("probes=0 "), "{line}");
}

#[test]
fn health_check_on_a_connection_just_closed_is_repeated_on_a_new_one() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let known = endpoint_list(1, true, &[("b", listener.local_addr().unwrap(), "Ready")]);
    let relay = start_relay_with_settings(
        unused_address(),
        &known,
        &[("\"probes\": false", "\"probes\": true")],
    );
    let expect_health_check = |stream: &TcpStream| {
        let mut line = String::new();
        BufReader::new(stream).read_line(&mut line).unwrap();
        assert_eq!(line, "STATS\r\n");
    };
    let mut stream = accept(&listener);
    expect_health_check(&stream);
    for reset in [false, true] {
        send(&stream, "PONG inflight=1,x0=0.1\r\n");
        expect_health_check(&stream);
        if reset {
            reset_on_close(&stream);
        }
        drop(stream);
        stream = accept(&listener);
        expect_health_check(&stream);
        relay.signal("USR1");
        assert_eq!(
            counter_value(&relay.wait_for_log(" probes_failed="), "probes_failed"),
            0,
            "reset={reset}"
        );
    }
    // A new connection that ends without an answer counts as a failure of the backend.
    drop(stream);
    relay.wait_for_counter("probes_failed", 1);
}
