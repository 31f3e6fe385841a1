//! Tests of addresses that are given out.
use super::*;
use std::collections::BTreeSet;

/// Guards against an address that another socket takes before the relay binds it.
#[test]
fn addresses_differ_and_their_ports_are_not_given_out_by_the_system() {
    let tcp = (0..200).map(|_| free_address().unwrap());
    let datagrams = (0..200).map(|_| free_datagram_address().unwrap());
    let addresses: BTreeSet<SocketAddr> = tcp.chain(datagrams).collect();
    assert_eq!(addresses.len(), 400);
    let range = std::fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range").unwrap();
    let first: u16 = range.split_whitespace().next().unwrap().parse().unwrap();
    assert!(
        addresses.iter().all(|address| address.port() < first),
        "{first}"
    );
}
