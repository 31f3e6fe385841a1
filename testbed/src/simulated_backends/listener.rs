//! Listening sockets of backends and discovery agents on loopback addresses.
use polling::{Event, PollMode, Poller};
use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::os::fd::{AsRawFd, BorrowedFd};

const BACKLOG: i32 = 4096;
const BACKEND_FLAG: usize = 1 << 40;
const AGENT_FLAG: usize = 1 << 41;

/// The backend or agent that a listener belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenerKey {
    /// The backend of this index.
    Backend(usize),
    /// The discovery agent of the relay of this index.
    Agent(usize),
}

impl ListenerKey {
    /// Returns the key under which the listener is registered with the poller. Keys of connections
    /// are slab keys, which never reach the flag bits.
    pub(super) fn to_poller_key(self) -> usize {
        match self {
            ListenerKey::Backend(index) => BACKEND_FLAG | index,
            ListenerKey::Agent(index) => AGENT_FLAG | index,
        }
    }

    /// Returns the listener that a poller key stands for; `None` if it stands for a connection.
    pub(super) fn from_poller_key(key: usize) -> Option<ListenerKey> {
        let index = key & 0xffff;
        match key {
            _ if key & BACKEND_FLAG != 0 => Some(ListenerKey::Backend(index)),
            _ if key & AGENT_FLAG != 0 => Some(ListenerKey::Agent(index)),
            _ => None,
        }
    }

    /// Returns the loopback address to listen at. It is not 127.0.0.1, whose ports are taken by the
    /// local ends of connections, and in most cases differs from the addresses of concurrent runs.
    fn loopback_address(self) -> Ipv4Addr {
        let (network, index) = match self {
            ListenerKey::Backend(index) => (0, index),
            ListenerKey::Agent(index) => (64, index),
        };
        let [.., high, low] = (index as u32 + 1).to_be_bytes();
        let process = 64 + (std::process::id() % 64) as u8;
        Ipv4Addr::new(127, process + network, high, low)
    }
}

/// A listening socket whose address stays the same when it is closed and reopened.
pub(super) struct Listener {
    pub(super) address: SocketAddr,
    /// The socket; `None` while nothing listens at the address.
    pub(super) socket: Option<TcpListener>,
    key: ListenerKey,
}

impl Listener {
    /// Listens at a free port of the address for this key.
    pub(super) fn open(key: ListenerKey) -> io::Result<Listener> {
        let socket = listen((key.loopback_address(), 0).into())?;
        Ok(Listener {
            address: socket.local_addr()?,
            socket: Some(socket),
            key,
        })
    }

    /// Listens again at the same address after [`Listener::close`].
    pub(super) fn reopen(&mut self, poller: &Poller) -> io::Result<()> {
        self.socket = Some(listen(self.address)?);
        if let Err(error) = self.register(poller) {
            log::warn!(
                "can't register the listener at {} with the poller: {error}",
                self.address
            );
        }
        Ok(())
    }

    /// Registers the socket with the poller, which then reports waiting connections.
    pub(super) fn register(&self, poller: &Poller) -> io::Result<()> {
        let Some(socket) = &self.socket else {
            return Ok(());
        };
        let event = Event::readable(self.key.to_poller_key());
        // SAFETY: deleted from the poller before the listener is closed, or closed with the poller.
        unsafe { poller.add_with_mode(socket, event, PollMode::Level) }
    }

    /// Sets whether the poller reports waiting connections or leaves them in the backlog.
    pub(super) fn set_accepting(&self, accepting: bool, poller: &Poller) {
        let Some(socket) = &self.socket else {
            return;
        };
        // SAFETY: the listener is open, and deleted from the poller before it is closed.
        let fd = unsafe { BorrowedFd::borrow_raw(socket.as_raw_fd()) };
        let event = Event::new(self.key.to_poller_key(), accepting, false);
        let _ = poller.modify_with_mode(fd, event, PollMode::Level);
    }

    pub(super) fn close(&mut self, poller: &Poller) {
        if let Some(socket) = self.socket.take() {
            // SAFETY: the listener is closed after this.
            let _ = poller.delete(unsafe { BorrowedFd::borrow_raw(socket.as_raw_fd()) });
        }
    }
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into()).map_err(|error| {
        io::Error::new(error.kind(), format!("can't bind to {address}: {error}"))
    })?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}
