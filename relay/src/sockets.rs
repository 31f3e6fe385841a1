//! Sockets as the loop knows them: one owner each, a key that is never used twice, and what is
//! waited for.
use polling::{Event, PollMode, Poller};
use socket2::{Domain, Protocol, SockRef, Socket, Type};
use std::cell::Cell;
use std::io::{Read, Result, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::{AsFd, AsRawFd, BorrowedFd, RawFd};
use std::rc::Rc;

/// Deeper than any rush between two turns; the system cuts it to its own limit.
const BACKLOG: i32 = 4096;

/// Whose socket an event is about. The serial tells a closed socket's late event from its
/// successor's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SocketOwner {
    Listener,
    Signals,
    Discovery,
    Client(u32),
    Attempt(u32),
    HealthCheck(u32),
    /// The operators' door, and a caller there.
    AdminListener,
    AdminConnection(u32),
    /// Where the next process of this relay finds this one; the channel to it, and to the one
    /// before.
    SuccessorListener,
    Successor,
    Predecessor,
    /// Datagrams of other relays.
    Peers,
}

pub struct Sockets {
    poller: Rc<Poller>,
    open: Rc<Cell<usize>>,
    /// What the other process of this relay holds.
    beside: usize,
    serial: u32,
}

/// What is registered with the poller.
pub struct Registration {
    poller: Rc<Poller>,
    open: Rc<Cell<usize>>,
    fd: RawFd,
    key: usize,
    wants: Option<(bool, bool)>,
}

pub struct Connection {
    registration: Registration,
    stream: TcpStream,
}

pub struct ListenerSocket {
    registration: Registration,
    listener: TcpListener,
}

pub fn owner_of(key: usize) -> Option<SocketOwner> {
    let id = key as u32;
    Some(match key >> 60 {
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

pub fn key_of(owner: SocketOwner, serial: u32) -> usize {
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
    kind << 60 | (serial as usize & 0x0fff_ffff) << 32 | id as usize
}

impl Sockets {
    pub fn new(poller: Rc<Poller>) -> Sockets {
        Sockets {
            poller,
            open: Rc::default(),
            beside: 0,
            serial: 0,
        }
    }

    /// Of this process and the other one, for the limit that is both's.
    pub fn open(&self) -> usize {
        self.own() + self.beside
    }

    pub fn own(&self) -> usize {
        self.open.get()
    }

    pub fn set_beside(&mut self, count: usize) {
        self.beside = count;
    }

    pub fn register(&mut self, owner: SocketOwner, fd: RawFd) -> Registration {
        self.serial = self.serial.wrapping_add(1);
        self.open.set(self.open.get() + 1);
        let key = key_of(owner, self.serial);
        Registration {
            poller: self.poller.clone(),
            open: self.open.clone(),
            fd,
            key,
            wants: None,
        }
    }

    pub fn adopt(&mut self, owner: SocketOwner, stream: TcpStream) -> Result<Connection> {
        stream.set_nonblocking(true)?;
        // Lines are short and waited for.
        stream.set_nodelay(true)?;
        Ok(Connection {
            registration: self.register(owner, stream.as_raw_fd()),
            stream,
        })
    }

    /// Begins a connection; whether it comes up is told by the socket's turning writable.
    pub fn connect(&mut self, owner: SocketOwner, to: SocketAddr) -> Result<Connection> {
        let socket = Socket::new(Domain::for_address(to), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        match socket.connect(&to.into()) {
            Err(fault) if fault.raw_os_error() != Some(IN_PROGRESS) => Err(fault),
            _ => self.adopt(owner, socket.into()),
        }
    }

    pub fn listen(&mut self, owner: SocketOwner, at: SocketAddr) -> Result<ListenerSocket> {
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
    pub fn adopt_listener(
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

const IN_PROGRESS: i32 = 115;

impl Registration {
    pub fn is(&self, key: usize) -> bool {
        self.key == key
    }

    pub fn want(&mut self, reading: bool, writing: bool) {
        let wants = (reading || writing).then_some((reading, writing));
        if wants == self.wants {
            return;
        }
        // SAFETY: the owner drops its registration (below) before it closes the descriptor.
        let fd = unsafe { BorrowedFd::borrow_raw(self.fd) };
        let event = Event::new(self.key, reading, writing);
        let done = match (self.wants, wants) {
            // SAFETY: as above; deleted on drop, which field order puts before the stream's.
            (None, Some(_)) => unsafe {
                self.poller.add_with_mode(self.fd, event, PollMode::Level)
            },
            (Some(_), Some(_)) => self.poller.modify_with_mode(fd, event, PollMode::Level),
            // Taken out altogether: a reset would otherwise be reported without end while nothing
            // is wanted.
            _ => self.poller.delete(fd),
        };
        match done {
            Ok(()) => self.wants = wants,
            Err(fault) => log::error!("poller: {fault}"),
        }
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.want(false, false);
        self.open.set(self.open.get() - 1);
    }
}

impl Connection {
    pub fn is(&self, key: usize) -> bool {
        self.registration.is(key)
    }

    /// For handing it to another process, which then holds the same connection.
    pub fn descriptor(&self) -> BorrowedFd<'_> {
        self.stream.as_fd()
    }

    pub fn want(&mut self, reading: bool, writing: bool) {
        self.registration.want(reading, writing);
    }

    /// If the connection has come up; the fault where it can't.
    pub fn is_up(&self) -> Result<bool> {
        match self.stream.take_error()? {
            Some(fault) => Err(fault),
            None => Ok(self.stream.peer_addr().is_ok()),
        }
    }

    pub fn finish_sending(&self) {
        // Fails only where the other end has gone, which its own event tells.
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    /// When it is closed the other end will see a break, not an end.
    pub fn break_off(&self) {
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

impl ListenerSocket {
    pub fn accept(&mut self) -> Result<TcpStream> {
        self.listener.accept().map(|(stream, _)| stream)
    }

    pub fn want(&mut self, accepting: bool) {
        self.registration.want(accepting, false);
    }
}
