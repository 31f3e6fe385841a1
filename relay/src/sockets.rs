//! Sockets registered with the poller: each has an owner, a key that is never used twice, and the
//! readiness that is waited for.
use polling::{Event, PollMode, Poller};
use socket2::{Domain, Protocol, SockRef, Socket, Type};
use std::cell::Cell;
use std::io::{Read, Result, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::{AsFd, AsRawFd, BorrowedFd, RawFd};
use std::rc::Rc;

/// Connections that may wait between two turns; the system cuts it to its own limit.
const BACKLOG: i32 = 4096;
/// The system's error for a connection that does not come up at once.
const IN_PROGRESS: i32 = 115;

/// A key holds the kind of the owner in its highest bits, then the serial, then the owner's id.
const KIND_SHIFT: u32 = 60;
const SERIAL_SHIFT: u32 = 32;
const SERIAL_MASK: usize = 0x0fff_ffff;

/// Whose socket an event is about.
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
    /// Where the next process of this relay finds this one.
    SuccessorListener,
    /// The channel to the next process.
    Successor,
    /// The channel to the process before.
    Predecessor,
    /// Datagrams of other relays.
    Peers,
}

/// The owner of a registered socket; none for a key that no owner has.
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

/// The key of a socket; the serial tells a closed socket's late event from its successor's.
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
    own: Rc<Cell<usize>>,
    open_in_other_process: usize,
    serial: u32,
}

impl Sockets {
    pub(crate) fn new(poller: Rc<Poller>) -> Sockets {
        Sockets {
            poller,
            own: Rc::default(),
            open_in_other_process: 0,
            serial: 0,
        }
    }

    /// Open sockets of this process and the other one, for the limit that both share.
    pub(crate) fn open_in_relay(&self) -> usize {
        self.open_here() + self.open_in_other_process
    }

    /// Open sockets of this process.
    pub(crate) fn open_here(&self) -> usize {
        self.own.get()
    }

    /// Notes how many sockets the other process of this relay has open.
    pub(crate) fn set_open_in_other_process(&mut self, count: usize) {
        self.open_in_other_process = count;
    }

    /// Registers a descriptor, which must stay open as long as the registration.
    pub(crate) fn register(&mut self, owner: SocketOwner, descriptor: RawFd) -> Registration {
        self.serial = self.serial.wrapping_add(1);
        self.own.set(self.own.get() + 1);
        Registration {
            poller: self.poller.clone(),
            open_sockets: self.own.clone(),
            descriptor,
            key: key_of(owner, self.serial),
            interest: None,
        }
    }

    /// Takes over a connection that is up.
    pub(crate) fn adopt(&mut self, owner: SocketOwner, stream: TcpStream) -> Result<Connection> {
        stream.set_nonblocking(true)?;
        // Lines are short and waited for.
        stream.set_nodelay(true)?;
        Ok(Connection {
            registration: self.register(owner, stream.as_raw_fd()),
            stream,
        })
    }

    /// Begins a connection; the socket turns writable once it has come up or failed.
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
        // A restart must not wait for the connections of the process before.
        socket.set_reuse_address(true)?;
        socket.bind(&at.into())?;
        socket.listen(BACKLOG)?;
        self.adopt_listener(owner, socket.into())
    }

    /// Takes over a listening socket, which other processes may hold as well: they share its queue
    /// and its being non-blocking. It is closed at the end and never shut down, which would end it
    /// for all.
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

/// A descriptor's registration with the poller, ended when it is dropped.
pub(crate) struct Registration {
    poller: Rc<Poller>,
    open_sockets: Rc<Cell<usize>>,
    descriptor: RawFd,
    key: usize,
    /// None while it is not with the poller.
    interest: Option<Interest>,
}

impl Registration {
    /// True if an event with this key is about this descriptor.
    pub(crate) fn has_key(&self, key: usize) -> bool {
        self.key == key
    }

    /// Sets the readiness that is waited for.
    pub(crate) fn set_interest(&mut self, reading: bool, writing: bool) {
        let interest = Interest::new(reading, writing);
        if interest == self.interest {
            return;
        }
        // SAFETY: the owner drops its registration (below) before it closes the descriptor.
        let descriptor = unsafe { BorrowedFd::borrow_raw(self.descriptor) };
        let result = match (self.interest, interest) {
            // SAFETY: as above; deleted on drop, which field order puts before the stream's.
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
            // Taken out altogether: a reset would otherwise be reported without end while nothing
            // is wanted.
            (_, None) => self.poller.delete(descriptor),
        };
        match result {
            Ok(()) => self.interest = interest,
            Err(error) => log::error!("registering with the poller failed; error={error}"),
        }
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.set_interest(false, false);
        self.open_sockets.set(self.open_sockets.get() - 1);
    }
}

/// A TCP connection, up or about to be.
pub(crate) struct Connection {
    // Before the stream, so that it is dropped first.
    registration: Registration,
    stream: TcpStream,
}

impl Connection {
    /// True if an event with this key is about this connection.
    pub(crate) fn has_key(&self, key: usize) -> bool {
        self.registration.has_key(key)
    }

    /// For handing it to another process, which then holds the same connection.
    pub(crate) fn descriptor(&self) -> BorrowedFd<'_> {
        self.stream.as_fd()
    }

    /// Sets the readiness that is waited for.
    pub(crate) fn set_interest(&mut self, reading: bool, writing: bool) {
        self.registration.set_interest(reading, writing);
    }

    /// Whether the connection has come up.
    ///
    /// # Errors
    /// It can't come up.
    pub(crate) fn is_connected(&self) -> Result<bool> {
        match self.stream.take_error()? {
            Some(error) => Err(error),
            None => Ok(self.stream.peer_addr().is_ok()),
        }
    }

    /// Ends this side; the other side may go on sending.
    pub(crate) fn finish_sending(&self) {
        // Fails only where the other end has gone, which its own event reports.
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    /// When it is closed the other side will see a reset, not an end.
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
    // Before the listener, so that it is dropped first.
    registration: Registration,
    listener: TcpListener,
}

impl ListenerSocket {
    /// # Errors
    /// `WouldBlock` if no connection waits.
    pub(crate) fn accept(&mut self) -> Result<TcpStream> {
        self.listener.accept().map(|(stream, _)| stream)
    }

    /// Sets whether connections are waited for.
    pub(crate) fn set_interest(&mut self, accepting: bool) {
        self.registration.set_interest(accepting, false);
    }
}

#[cfg(test)]
mod tests;
