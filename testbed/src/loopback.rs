//! Loopback addresses that no other socket takes between being given out and being bound.
use std::io::{self, ErrorKind};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU16, Ordering};

/// Number of second bytes over which processes are spread, from `FIRST_BYTE` on.
const BYTES: u32 = 60;
const FIRST_BYTE: u8 = 2;
/// Ports lie below those that the system gives to outgoing connections.
const FIRST_PORT: u32 = 8_080;
const PORTS: u32 = 16_384;
/// Addresses that are tried before giving up.
const MAX_TRIES: usize = 64;

/// Returns an address at which nothing listens. It is unique to the process and the call, and its
/// port is none that the system gives out by itself.
///
/// # Errors
/// Returns an error if no address can be bound.
pub fn free_address() -> io::Result<SocketAddr> {
    first_free(|address| TcpListener::bind(address).map(drop))
}

/// Returns an address like [`free_address`] for a datagram socket.
///
/// # Errors
/// Returns an error if no address can be bound.
pub fn free_datagram_address() -> io::Result<SocketAddr> {
    first_free(|address| UdpSocket::bind(address).map(drop))
}

fn first_free(bind: impl Fn(SocketAddr) -> io::Result<()>) -> io::Result<SocketAddr> {
    for _ in 0..MAX_TRIES {
        let address = next_address();
        match bind(address) {
            Ok(()) => return Ok(address),
            Err(error) if error.kind() == ErrorKind::AddrInUse => {}
            Err(error) => return Err(error),
        }
    }
    Err(ErrorKind::AddrInUse.into())
}

/// Returns the next address of this process. The process id is split over address and port.
fn next_address() -> SocketAddr {
    static LAST: AtomicU16 = AtomicU16::new(0);
    let [high, low] = (LAST.fetch_add(1, Ordering::Relaxed).wrapping_add(1)).to_be_bytes();
    let process = std::process::id();
    let second = FIRST_BYTE + (process % BYTES) as u8;
    let port = FIRST_PORT + process / BYTES % PORTS;
    SocketAddr::from((Ipv4Addr::new(127, second, high, low), port as u16))
}

#[cfg(test)]
mod tests;
