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
pub enum Owner {
    Door,
    Signals,
    Watch,
    Client(u32),
    Dial(u32),
    Probe(u32),
    /// The operators' door, and a caller there.
    Admin,
    Caller(u32),
    /// Where the next process of this relay finds this one; the channel to it, and to the one
    /// before.
    Post,
    Heir,
    Elder,
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
pub struct Watched {
    poller: Rc<Poller>,
    open: Rc<Cell<usize>>,
    fd: RawFd,
    key: usize,
    wants: Option<(bool, bool)>,
}

pub struct Sock {
    watched: Watched,
    stream: TcpStream,
}

pub struct Door {
    watched: Watched,
    listener: TcpListener,
}

pub fn owner_of(key: usize) -> Option<Owner> {
    let id = key as u32;
    Some(match key >> 60 {
        0 => Owner::Door,
        1 => Owner::Signals,
        2 => Owner::Watch,
        3 => Owner::Client(id),
        4 => Owner::Dial(id),
        5 => Owner::Probe(id),
        6 => Owner::Admin,
        7 => Owner::Caller(id),
        8 => Owner::Post,
        9 => Owner::Heir,
        10 => Owner::Elder,
        11 => Owner::Peers,
        _ => return None,
    })
}

pub fn key_of(owner: Owner, serial: u32) -> usize {
    let (kind, id) = match owner {
        Owner::Door => (0, 0),
        Owner::Signals => (1, 0),
        Owner::Watch => (2, 0),
        Owner::Client(id) => (3, id),
        Owner::Dial(id) => (4, id),
        Owner::Probe(id) => (5, id),
        Owner::Admin => (6, 0),
        Owner::Caller(id) => (7, id),
        Owner::Post => (8, 0),
        Owner::Heir => (9, 0),
        Owner::Elder => (10, 0),
        Owner::Peers => (11, 0),
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

    pub fn watched(&mut self, owner: Owner, fd: RawFd) -> Watched {
        self.serial = self.serial.wrapping_add(1);
        self.open.set(self.open.get() + 1);
        let key = key_of(owner, self.serial);
        Watched {
            poller: self.poller.clone(),
            open: self.open.clone(),
            fd,
            key,
            wants: None,
        }
    }

    pub fn adopt(&mut self, owner: Owner, stream: TcpStream) -> Result<Sock> {
        stream.set_nonblocking(true)?;
        // Lines are short and waited for.
        stream.set_nodelay(true)?;
        Ok(Sock {
            watched: self.watched(owner, stream.as_raw_fd()),
            stream,
        })
    }

    /// Begins a connection; whether it comes up is told by the socket's turning writable.
    pub fn connect(&mut self, owner: Owner, to: SocketAddr) -> Result<Sock> {
        let socket = Socket::new(Domain::for_address(to), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        match socket.connect(&to.into()) {
            Err(fault) if fault.raw_os_error() != Some(IN_PROGRESS) => Err(fault),
            _ => self.adopt(owner, socket.into()),
        }
    }

    pub fn listen(&mut self, owner: Owner, at: SocketAddr) -> Result<Door> {
        let socket = Socket::new(Domain::for_address(at), Type::STREAM, Some(Protocol::TCP))?;
        // A restart must not wait for the connections of the process before.
        socket.set_reuse_address(true)?;
        socket.bind(&at.into())?;
        socket.listen(BACKLOG)?;
        self.door(owner, socket.into())
    }

    /// Takes over a listening socket, which other processes may hold as well: they share its queue
    /// and its being non-blocking. It is closed at the end and never shut down, which would end it
    /// for all.
    pub fn door(&mut self, owner: Owner, listener: TcpListener) -> Result<Door> {
        listener.set_nonblocking(true)?;
        Ok(Door {
            watched: self.watched(owner, listener.as_raw_fd()),
            listener,
        })
    }
}

const IN_PROGRESS: i32 = 115;

impl Watched {
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

impl Drop for Watched {
    fn drop(&mut self) {
        self.want(false, false);
        self.open.set(self.open.get() - 1);
    }
}

impl Sock {
    pub fn is(&self, key: usize) -> bool {
        self.watched.is(key)
    }

    /// For handing it to another process, which then holds the same connection.
    pub fn descriptor(&self) -> BorrowedFd<'_> {
        self.stream.as_fd()
    }

    pub fn want(&mut self, reading: bool, writing: bool) {
        self.watched.want(reading, writing);
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

impl Read for Sock {
    fn read(&mut self, into: &mut [u8]) -> Result<usize> {
        self.stream.read(into)
    }
}

impl Write for Sock {
    fn write(&mut self, bytes: &[u8]) -> Result<usize> {
        self.stream.write(bytes)
    }
    fn flush(&mut self) -> Result<()> {
        Ok(())
    }
}

impl Door {
    pub fn accept(&mut self) -> Result<TcpStream> {
        self.listener.accept().map(|(stream, _)| stream)
    }

    pub fn want(&mut self, accepting: bool) {
        self.watched.want(accepting, false);
    }
}
