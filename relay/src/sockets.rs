//! Sockets registered with the poller. Each has an owner, a key that is not used again, and the
//! readiness that it waits for.
mod open_counts;

pub(crate) use open_counts::{OpenCounts, SocketKind};

use polling::{Event, PollMode, Poller};
use socket2::{Domain, Protocol, SockRef, Socket, Type};
use std::io::{Read, Result, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::{AsFd, AsRawFd, BorrowedFd, RawFd};
use std::rc::Rc;

/// Connections that may wait to be accepted between two turns of the event loop. The system lowers
/// this to its own limit.
const BACKLOG: i32 = 4096;
/// `EINPROGRESS`, the system's error for a connection that is not established immediately.
const IN_PROGRESS: i32 = 115;

/// A key holds the kind of the owner in its highest bits, then the serial, then the owner's id.
const KIND_SHIFT: u32 = 60;
const SERIAL_SHIFT: u32 = 32;
const SERIAL_MASK: usize = 0x0fff_ffff;

/// The owner of a socket, which handles the socket's events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SocketOwner {
    /// The clients' listening socket.
    Listener,
    Signals,
    Discovery,
    /// A session's connection to its client.
    Client(u32),
    /// A session's connection to a backend.
    Attempt(u32),
    /// A health check of a backend.
    HealthCheck(u32),
    /// The admin port.
    AdminListener,
    /// A connection at the admin port.
    AdminConnection(u32),
    /// The listening socket at which the successor of this process connects to it.
    SuccessorListener,
    /// The channel to the successor.
    Successor,
    /// The channel to the predecessor.
    Predecessor,
    /// The datagram socket for messages of peers.
    Peers,
}

/// Returns the owner of the socket with this key, or `None` for a key that no owner can have.
pub(crate) fn owner_of(key: usize) -> Option<SocketOwner> {
    let id = key as u32;
    Some(match key >> KIND_SHIFT {
        0 => SocketOwner::Listener,
        1 => SocketOwner::Signals,
        2 => SocketOwner::Discovery,
        3 => SocketOwner::Client(id),
        4 => SocketOwner::Attempt(id),
        5 => SocketOwner::HealthCheck(id),
        6 => SocketOwner::AdminListener,
        7 => SocketOwner::AdminConnection(id),
        8 => SocketOwner::SuccessorListener,
        9 => SocketOwner::Successor,
        10 => SocketOwner::Predecessor,
        11 => SocketOwner::Peers,
        _ => return None,
    })
}

/// Returns the key of a socket. The serial tells a late event of a closed socket apart from events
/// of the next socket with the same owner.
pub(crate) fn key_of(owner: SocketOwner, serial: u32) -> usize {
    let (kind, id) = match owner {
        SocketOwner::Listener => (0, 0),
        SocketOwner::Signals => (1, 0),
        SocketOwner::Discovery => (2, 0),
        SocketOwner::Client(id) => (3, id),
        SocketOwner::Attempt(id) => (4, id),
        SocketOwner::HealthCheck(id) => (5, id),
        SocketOwner::AdminListener => (6, 0),
        SocketOwner::AdminConnection(id) => (7, id),
        SocketOwner::SuccessorListener => (8, 0),
        SocketOwner::Successor => (9, 0),
        SocketOwner::Predecessor => (10, 0),
        SocketOwner::Peers => (11, 0),
    };
    kind << KIND_SHIFT | (serial as usize & SERIAL_MASK) << SERIAL_SHIFT | id as usize
}

/// Opens sockets, and counts those that are open.
pub(crate) struct Sockets {
    poller: Rc<Poller>,
    open_counts: Rc<OpenCounts>,
    open_in_other_process: usize,
    serial: u32,
}

impl Sockets {
    pub(crate) fn new(poller: Rc<Poller>) -> Sockets {
        Sockets {
            poller,
            open_counts: Rc::default(),
            open_in_other_process: 0,
            serial: 0,
        }
    }

    /// Returns the number of open sockets of this process and of the relay's other process, if
    /// there is one. Both share one limit.
    pub(crate) fn open_count_in_relay(&self) -> usize {
        self.open_count_in_this_process() + self.open_in_other_process
    }

    /// Returns the number of open sockets of this process.
    pub(crate) fn open_count_in_this_process(&self) -> usize {
        self.open_counts.total()
    }

    /// Returns the numbers of open sockets of this process, by kind.
    pub(crate) fn open_counts(&self) -> &OpenCounts {
        &self.open_counts
    }

    /// Returns the number of sockets that the other process of this relay has open.
    pub(crate) fn open_count_in_other_process(&self) -> usize {
        self.open_in_other_process
    }

    /// Sets the number of sockets that the other process of this relay has open.
    pub(crate) fn set_open_in_other_process(&mut self, count: usize) {
        self.open_in_other_process = count;
    }

    /// Registers a descriptor, which must stay open as long as the registration exists.
    pub(crate) fn register(&mut self, owner: SocketOwner, descriptor: RawFd) -> Registration {
        self.serial = self.serial.wrapping_add(1);
        let kind = SocketKind::of(owner);
        self.open_counts.opened(kind);
        Registration {
            poller: self.poller.clone(),
            open_counts: self.open_counts.clone(),
            kind,
            descriptor,
            key: key_of(owner, self.serial),
            interest: None,
        }
    }

    /// Takes over an established connection.
    pub(crate) fn adopt(&mut self, owner: SocketOwner, stream: TcpStream) -> Result<Connection> {
        stream.set_nonblocking(true)?;
        // Lines are short and must be sent without delay.
        stream.set_nodelay(true)?;
        Ok(Connection {
            registration: self.register(owner, stream.as_raw_fd()),
            stream,
        })
    }

    /// Starts to establish a connection. The socket becomes writable once the connection is
    /// established or has failed.
    pub(crate) fn connect(&mut self, owner: SocketOwner, to: SocketAddr) -> Result<Connection> {
        let socket = Socket::new(Domain::for_address(to), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        match socket.connect(&to.into()) {
            Err(error) if error.raw_os_error() != Some(IN_PROGRESS) => Err(error),
            _ => self.adopt(owner, socket.into()),
        }
    }

    pub(crate) fn listen(&mut self, owner: SocketOwner, at: SocketAddr) -> Result<ListenerSocket> {
        let socket = Socket::new(Domain::for_address(at), Type::STREAM, Some(Protocol::TCP))?;
        // Lets a restart bind the address while connections of the previous process still linger.
        socket.set_reuse_address(true)?;
        socket.bind(&at.into())?;
        socket.listen(BACKLOG)?;
        self.adopt_listener(owner, socket.into())
    }

    /// Takes over a listening socket. Other processes may hold the same socket; they share its
    /// queue and its non-blocking mode. The socket is only closed when it is dropped: shutting it
    /// down would end it for all processes.
    pub(crate) fn adopt_listener(
        &mut self,
        owner: SocketOwner,
        listener: TcpListener,
    ) -> Result<ListenerSocket> {
        listener.set_nonblocking(true)?;
        Ok(ListenerSocket {
            registration: self.register(owner, listener.as_raw_fd()),
            listener,
        })
    }
}

/// The readiness that a socket waits for.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Interest {
    Read,
    Write,
    ReadAndWrite,
}

impl Interest {
    fn new(reading: bool, writing: bool) -> Option<Interest> {
        match (reading, writing) {
            (true, true) => Some(Interest::ReadAndWrite),
            (true, false) => Some(Interest::Read),
            (false, true) => Some(Interest::Write),
            (false, false) => None,
        }
    }

    fn event(self, key: usize) -> Event {
        match self {
            Interest::Read => Event::readable(key),
            Interest::Write => Event::writable(key),
            Interest::ReadAndWrite => Event::all(key),
        }
    }
}

/// The registration of a descriptor with the poller, which ends when it is dropped.
pub(crate) struct Registration {
    poller: Rc<Poller>,
    open_counts: Rc<OpenCounts>,
    kind: SocketKind,
    descriptor: RawFd,
    key: usize,
    /// `None` while the descriptor is not registered with the poller.
    interest: Option<Interest>,
}

impl Registration {
    /// Returns true if an event with this key is about this descriptor.
    pub(crate) fn has_key(&self, key: usize) -> bool {
        self.key == key
    }

    /// Sets the readiness to wait for.
    pub(crate) fn set_interest(&mut self, reading: bool, writing: bool) {
        let interest = Interest::new(reading, writing);
        if interest == self.interest {
            return;
        }
        // SAFETY: the owner drops its registration (below) before it closes the descriptor.
        let descriptor = unsafe { BorrowedFd::borrow_raw(self.descriptor) };
        let result = match (self.interest, interest) {
            // SAFETY: as above; the descriptor is deleted from the poller on drop, and fields are
            // ordered so that the registration is dropped before the stream.
            (None, Some(interest)) => unsafe {
                let event = interest.event(self.key);
                self.poller
                    .add_with_mode(self.descriptor, event, PollMode::Level)
            },
            (Some(_), Some(interest)) => {
                let event = interest.event(self.key);
                self.poller
                    .modify_with_mode(descriptor, event, PollMode::Level)
            }
            // The descriptor is deleted, since the poller would otherwise report a reset again and
            // again while no readiness is waited for.
            (_, None) => self.poller.delete(descriptor),
        };
        match result {
            Ok(()) => self.interest = interest,
            Err(error) => log::error!(
                "changing a socket's registration with the poller failed; error={error}"
            ),
        }
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.set_interest(false, false);
        self.open_counts.closed(self.kind);
    }
}

/// A TCP connection that is established or being established.
pub(crate) struct Connection {
    // Declared before the stream, so that it is dropped first.
    registration: Registration,
    stream: TcpStream,
}

impl Connection {
    /// Returns true if an event with this key is about this connection.
    pub(crate) fn has_key(&self, key: usize) -> bool {
        self.registration.has_key(key)
    }

    /// Returns the descriptor, for handing the connection to another process.
    pub(crate) fn descriptor(&self) -> BorrowedFd<'_> {
        self.stream.as_fd()
    }

    /// Sets the readiness to wait for.
    pub(crate) fn set_interest(&mut self, reading: bool, writing: bool) {
        self.registration.set_interest(reading, writing);
    }

    /// Returns true once the connection is established.
    ///
    /// # Errors
    /// Returns an error if the connection can't be established.
    pub(crate) fn is_connected(&self) -> Result<bool> {
        match self.stream.take_error()? {
            Some(error) => Err(error),
            None => Ok(self.stream.peer_addr().is_ok()),
        }
    }

    /// Shuts down sending. The other side may continue to send.
    pub(crate) fn finish_sending(&self) {
        // Fails only if the other side has closed the connection, which a separate event reports.
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    /// Makes the other side see a reset instead of an end when the connection is closed.
    pub(crate) fn set_reset_on_close(&self) {
        let _ = SockRef::from(&self.stream).set_linger(Some(std::time::Duration::ZERO));
    }
}

impl Read for Connection {
    fn read(&mut self, into: &mut [u8]) -> Result<usize> {
        self.stream.read(into)
    }
}

impl Write for Connection {
    fn write(&mut self, bytes: &[u8]) -> Result<usize> {
        self.stream.write(bytes)
    }

    fn flush(&mut self) -> Result<()> {
        Ok(())
    }
}

/// A listening TCP socket.
pub(crate) struct ListenerSocket {
    // Declared before the listener, so that it is dropped first.
    registration: Registration,
    listener: TcpListener,
}

impl ListenerSocket {
    /// Accepts the next connection.
    ///
    /// # Errors
    /// Returns `WouldBlock` if no connection waits.
    pub(crate) fn accept(&mut self) -> Result<TcpStream> {
        self.listener.accept().map(|(stream, _)| stream)
    }

    /// Sets whether to wait for connections.
    pub(crate) fn set_interest(&mut self, accepting: bool) {
        self.registration.set_interest(accepting, false);
    }
}

#[cfg(test)]
mod tests;
