//! Listening sockets of backends and discovery agents on the loopback range.
use polling::{Event, PollMode, Poller};
use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::os::fd::{AsRawFd, BorrowedFd};

const BACKLOG: i32 = 4096;
const BACKEND_FLAG: usize = 1 << 40;
const AGENT_FLAG: usize = 1 << 41;

/// Whose listener a poller key belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenerKey {
    /// The backend of this index.
    Backend(usize),
    /// The discovery agent of the relay of this index.
    Agent(usize),
}

impl ListenerKey {
    /// The key at the poller; keys of connections are smaller.
    pub(super) fn to_poller_key(self) -> usize {
        match self {
            ListenerKey::Backend(index) => BACKEND_FLAG | index,
            ListenerKey::Agent(index) => AGENT_FLAG | index,
        }
    }

    /// None where the key is that of a connection.
    pub(super) fn from_poller_key(key: usize) -> Option<ListenerKey> {
        let index = key & 0xffff;
        match key {
            _ if key & BACKEND_FLAG != 0 => Some(ListenerKey::Backend(index)),
            _ if key & AGENT_FLAG != 0 => Some(ListenerKey::Agent(index)),
            _ => None,
        }
    }

    /// An address that no connection's own end takes, and other than those of concurrent runs.
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

/// A listening socket with an address that stays while the socket is closed and opened again.
pub(super) struct Listener {
    pub(super) address: SocketAddr,
    /// None while nothing listens at the address.
    pub(super) socket: Option<TcpListener>,
    key: ListenerKey,
}

impl Listener {
    /// Listens at a free port.
    pub(super) fn open(key: ListenerKey) -> io::Result<Listener> {
        let socket = listen((key.loopback_address(), 0).into())?;
        Ok(Listener {
            address: socket.local_addr()?,
            socket: Some(socket),
            key,
        })
    }

    /// Listens again at its address after [`Listener::close`].
    pub(super) fn reopen(&mut self, poller: &Poller) -> io::Result<()> {
        self.socket = Some(listen(self.address)?);
        if let Err(error) = self.register(poller) {
            log::warn!("poller refuses the listener at {}: {error}", self.address);
        }
        Ok(())
    }

    /// Has the poller wait for connections.
    pub(super) fn register(&self, poller: &Poller) -> io::Result<()> {
        let Some(socket) = &self.socket else {
            return Ok(());
        };
        let event = Event::readable(self.key.to_poller_key());
        // SAFETY: deleted from the poller before the listener is closed, or closed with the poller.
        unsafe { poller.add_with_mode(socket, event, PollMode::Level) }
    }

    /// Has the poller wait for connections, or leave them in the backlog.
    pub(super) fn set_accepting(&self, accepting: bool, poller: &Poller) {
        let Some(socket) = &self.socket else {
            return;
        };
        // SAFETY: the listener lives; it is deleted from the poller before it is closed.
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
    socket
        .bind(&address.into())
        .map_err(|error| io::Error::new(error.kind(), format!("{address}: {error}")))?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}
