//! Loopback addresses for tests.
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU16, Ordering};

/// Number of IP addresses over which processes are spread: processes with consecutive ids differ in
/// the address.
const ADDRESSES: u32 = 128;
/// Ports for listening lie below those that the kernel gives to outgoing connections.
const FIRST_PORT: u32 = 8_080;
const PORTS: u32 = 16_384;

/// Returns an address at which nothing listens, and which no outgoing connection can take
/// meanwhile.
///
/// It is unique to the process and the call: the process id is split over address and port.
pub(crate) fn unused_address() -> SocketAddr {
    static LAST: AtomicU16 = AtomicU16::new(0);
    let [high, low] = (LAST.fetch_add(1, Ordering::Relaxed) + 1).to_be_bytes();
    let process = std::process::id();
    let address = 64 + (process % ADDRESSES) as u8;
    let port = FIRST_PORT + process / ADDRESSES % PORTS;
    SocketAddr::from(([127, address, high, low], port as u16))
}
