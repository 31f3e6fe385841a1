//! Sockets and waits for tests.
#[path = "../../../tests/unused_address/mod.rs"]
mod unused_address;

use socket2::SockRef;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

pub(crate) use unused_address::unused_address;

/// Time limit of any wait, which is long enough for a busy machine.
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Repeats a step until it returns a value. Panics if it returns none in time.
pub(crate) fn wait_for<T>(what: &str, mut step: impl FnMut() -> Option<T>) -> T {
    let until = Instant::now() + TEST_TIMEOUT;
    loop {
        if let Some(value) = step() {
            return value;
        }
        assert!(Instant::now() < until, "timed out waiting for {what}");
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Accepts the next connection.
pub(crate) fn accept(listener: &TcpListener) -> TcpStream {
    listener.set_nonblocking(true).unwrap();
    let stream = wait_for("a connection", || listener.accept().ok()).0;
    stream.set_nonblocking(false).unwrap();
    stream.set_nodelay(true).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream
}

/// Returns true if neither bytes nor the end of the connection have arrived.
pub(crate) fn has_nothing_to_read(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).unwrap();
    let is_empty =
        matches!(stream.peek(&mut [0]), Err(error) if error.kind() == ErrorKind::WouldBlock);
    stream.set_nonblocking(false).unwrap();
    is_empty
}

/// Reads all bytes up to the end of the connection or a reset.
pub(crate) fn read_to_end_of(mut stream: &TcpStream) -> String {
    let mut text = Vec::new();
    match stream.read_to_end(&mut text) {
        Err(error) if error.kind() != ErrorKind::ConnectionReset => panic!("read failed: {error}"),
        _ => String::from_utf8(text).unwrap(),
    }
}

/// The kernel's view of one end of a connection.
pub(crate) struct SocketState {
    pub(crate) is_established: bool,
    pub(crate) has_unread_bytes: bool,
}

/// Reads the kernel's state of the end `here` of a connection. A test can wait for it, since even
/// loopback delivers late on a busy machine.
pub(crate) fn socket_state(here: SocketAddr, there: SocketAddr) -> SocketState {
    let hex = |at: SocketAddr| match at.ip() {
        std::net::IpAddr::V4(ip) => {
            format!("{:08X}:{:04X}", u32::from_le_bytes(ip.octets()), at.port())
        }
        std::net::IpAddr::V6(_) => unreachable!("tests use IPv4"),
    };
    let ends = format!(" {} {} 01 ", hex(here), hex(there));
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let queues = table
        .split(&ends)
        .nth(1)
        .and_then(|rest| rest.split(' ').next());
    SocketState {
        is_established: queues.is_some(),
        has_unread_bytes: queues.is_some_and(|queues| !queues.ends_with(":00000000")),
    }
}

/// Makes the other side see a reset when the connection is closed.
pub(crate) fn reset_on_close(stream: &TcpStream) {
    SockRef::from(stream)
        .set_linger(Some(Duration::ZERO))
        .unwrap();
}

/// Writes a text to a connection.
pub(crate) fn send(mut stream: &TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).unwrap();
}
