//! Tests of sessions while health checks hold every descriptor that they may.
use crate::helper::host::with_admin;
use crate::helper::*;
use std::net::SocketAddr;

const SOCKETS: usize = 256;
/// Clients hold a third of the descriptors at most.
const STANDING_CLIENTS: usize = SOCKETS / 3 - 1;
const LATER_CLIENTS: usize = 12;
/// Health checks after which they have opened as many connections as they may: each goes to a
/// backend at random.
const HEALTH_CHECKS: u32 = 120;

/// Starts a relay of a fleet of this many backends, which are all at one address, with an admin
/// port and free health checks whose connections stay open.
fn start_relay_of_fleet(backends: usize, backend: SocketAddr) -> Relay {
    let names: Vec<String> = (0..backends).map(|index| format!("b{index}")).collect();
    let rows: Vec<_> = names
        .iter()
        .map(|name| (name.as_str(), backend, "Ready"))
        .collect();
    let at = unused_address();
    let text = config(
        at,
        unused_address(),
        SOCKETS,
        &endpoint_list(1, true, &rows),
        true,
    );
    let text = text.replace("\"connIdleUs\": 9000000", "\"connIdleUs\": 60000000");
    start_relay_with_config(at, with_admin(text, unused_address()))
}

/// Guards against health checks that take the descriptors of clients: later clients then waited in
/// the backlog until their time was over.
fn assert_later_clients_are_served(backends: usize) {
    let (address, _received) = start_backend(BackendBehavior::EchoWithLowLoad);
    let relay = start_relay_of_fleet(backends, address);
    let open = || {
        let mut client = relay.connect();
        client.send(&open_line("c=safe,d=2000"));
        client
    };
    let mut standing: Vec<Client> = (0..STANDING_CLIENTS).map(|_| open()).collect();
    for client in &mut standing {
        assert_eq!(client.next_line(), "UP receipt");
    }
    relay.wait_for_counter("probes", HEALTH_CHECKS);
    for number in 0..LATER_CLIENTS {
        let mut client = open();
        assert_eq!(client.next_line(), "UP receipt", "later client {number}");
        client.finish_sending();
        while client.next_line() != "end" {}
        let descriptors = relay.open_descriptors();
        assert!(descriptors <= SOCKETS, "{descriptors} descriptors");
    }
    relay.signal("USR1");
    let line = relay.wait_for_log(" probes=");
    assert_eq!(counter_value(&line, "accept_pauses"), 0, "{line}");
    // Health checks go on.
    relay.wait_for_counter("probes", counter_value(&line, "probes") + 1);
}

#[test]
fn health_checks_of_40_backends_leave_descriptors_to_clients() {
    assert_later_clients_are_served(40);
}

#[test]
fn health_checks_of_90_backends_leave_descriptors_to_clients() {
    assert_later_clients_are_served(90);
}

#[test]
fn health_checks_of_139_backends_leave_descriptors_to_clients() {
    assert_later_clients_are_served(139);
}

#[test]
fn health_checks_of_1000_backends_leave_descriptors_to_clients() {
    assert_later_clients_are_served(1_000);
}

/// Guards against a shortage of the system's descriptors that counts as failures of backends, which
/// ejects them.
#[test]
fn health_check_without_a_system_descriptor_is_no_failure_of_its_backend() {
    let (address, _received) = start_backend(BackendBehavior::EchoWithLowLoad);
    let names: Vec<String> = (0..40).map(|index| format!("b{index}")).collect();
    let rows: Vec<_> = names
        .iter()
        .map(|name| (name.as_str(), address, "Ready"))
        .collect();
    // The configuration allows more descriptors than the system's limit of 40.
    let relay = start_relay_with_descriptors(
        40,
        unused_address(),
        1_000,
        &endpoint_list(1, true, &rows),
        true,
    );
    let _idle_clients: Vec<Client> = (0..60).map(|_| relay.connect()).collect();
    relay.wait_for_counter("accept_failures", 1);
    relay.wait_for_counter("probes_skipped", 1);
    relay.signal("USR1");
    let line = relay.wait_for_log(" probes=");
    assert_eq!(counter_value(&line, "probes_failed"), 0, "{line}");
}
