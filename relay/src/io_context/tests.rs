//! Tests of the descriptors that sessions and health checks share.
use super::*;
use crate::descriptors::RESERVED_DESCRIPTORS;
use crate::health_check;
use crate::sockets::{Connection, SocketKind, SocketOwner};
use crate::timers::Clock;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use thistlecroft::ids::BackendId;
use thistlecroft::time::Duration;

/// The descriptors of health checks that sessions leave alone.
const UNCOUNTED_CHECKS: usize = 8;

/// Returns a context whose sessions may have this many descriptors, with four buffers.
pub(crate) fn io_context(session_limit: usize) -> IoContext {
    let poller = Rc::new(polling::Poller::new().unwrap());
    let timeout = Duration::from_millis(1_000);
    IoContext::new(
        Clock::start().now(),
        Sockets::new(poller),
        DescriptorBudget::new(session_limit + RESERVED_DESCRIPTORS),
        HealthCheckPool::new(timeout, timeout),
        4 * BUFFER_SIZE,
    )
}

/// Starts a check of each of this many backends, which never answer.
fn start_checks(count: u32, at: SocketAddr, io: &mut IoContext) {
    for id in 0..count {
        health_check::start(BackendId(id), Some(at), io);
    }
}

fn connect_clients(count: u32, at: SocketAddr, io: &mut IoContext) -> Vec<Connection> {
    let connect = |id| io.sockets.connect(SocketOwner::Client(id), at).unwrap();
    (0..count).map(connect).collect()
}

fn open_checks(io: &IoContext) -> usize {
    io.sockets.open_counts().get(SocketKind::HealthCheck)
}

/// Health checks that open connections without regard to the limit keep clients from being accepted.
#[test]
fn health_checks_leave_the_descriptors_beyond_the_session_limit_to_clients() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    let mut io = io_context(30);
    let clients = connect_clients(20, at, &mut io);
    start_checks(100, at, &mut io);
    assert_eq!(open_checks(&io), 10 + UNCOUNTED_CHECKS);
    assert_eq!(io.counters.probes_skipped, 100 - 10 - 8);
    assert!(io.descriptors.has_free_for_rejection(&io.sockets));
    drop(clients);
}

/// A session gets a descriptor as long as one can be freed, and a few checks always stay.
#[test]
fn session_takes_the_descriptor_of_a_health_check_until_a_few_are_left() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    let mut io = io_context(30);
    start_checks(100, at, &mut io);
    let mut clients = Vec::new();
    while io.claim_descriptor() {
        clients.extend(connect_clients(1, at, &mut io));
        assert!(clients.len() <= 30);
    }
    assert_eq!((clients.len(), open_checks(&io)), (30, UNCOUNTED_CHECKS));
}

/// The predecessor's sessions are moved if the successor declines them for want of descriptors.
#[test]
fn sessions_of_the_predecessor_are_adopted_in_place_of_health_checks() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    let mut io = io_context(30);
    io.sockets.set_open_in_other_process(20);
    start_checks(100, at, &mut io);
    let mut adopted = Vec::new();
    while io.claim_descriptors_for_adoption(2) {
        adopted.extend(connect_clients(2, at, &mut io));
        assert!(adopted.len() <= 30);
    }
    assert_eq!((adopted.len(), open_checks(&io)), (30, UNCOUNTED_CHECKS));
}
