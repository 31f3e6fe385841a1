//! The datagram socket for messages of peers.
use crate::sockets::{Registration, SocketOwner, Sockets};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};
use std::os::fd::AsRawFd;
use thistlecroft_operator_config::PeersConfig;

/// What to do if another process holds the configured address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AddressConflict {
    /// Starting fails.
    Fail,
    /// The predecessor may hold the address and will end: another port is used until then.
    WaitForPredecessor,
}

/// A bound socket whose datagrams wake the event loop.
pub(super) struct PeerSocket {
    registration: Registration,
    socket: UdpSocket,
}

/// A bound socket, and the address at which peers reach it.
pub(super) struct BoundSocket {
    pub(super) socket: PeerSocket,
    pub(super) advertised: SocketAddr,
    /// True if the socket has the configured address.
    pub(super) is_configured_address: bool,
}

impl PeerSocket {
    pub(super) fn bind(address: SocketAddr, sockets: &mut Sockets) -> io::Result<PeerSocket> {
        let socket = UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        let mut registration = sockets.register(SocketOwner::Peers, socket.as_raw_fd());
        registration.set_interest(true, false);
        Ok(PeerSocket {
            registration,
            socket,
        })
    }

    /// Binds the configured address, or a free port of its host if the predecessor holds the
    /// address.
    ///
    /// # Errors
    /// Returns an error if the address is in use, or if the system can't provide a socket.
    pub(super) fn bind_configured(
        config: &PeersConfig,
        on_conflict: AddressConflict,
        sockets: &mut Sockets,
    ) -> io::Result<BoundSocket> {
        match PeerSocket::bind(config.listen, sockets) {
            Ok(socket) => Ok(BoundSocket {
                socket,
                advertised: config.advertise,
                is_configured_address: true,
            }),
            Err(error)
                if on_conflict == AddressConflict::WaitForPredecessor
                    && error.kind() == ErrorKind::AddrInUse =>
            {
                let any_port = SocketAddr::new(config.listen.ip(), 0);
                let socket = PeerSocket::bind(any_port, sockets)?;
                let port = socket.socket.local_addr()?.port();
                Ok(BoundSocket {
                    socket,
                    advertised: SocketAddr::new(config.advertise.ip(), port),
                    is_configured_address: false,
                })
            }
            Err(error) => Err(error),
        }
    }

    /// Receives the next datagram, and returns its length and source.
    pub(super) fn receive(&self, bytes: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        self.socket.recv_from(bytes)
    }

    /// Sends a datagram. Returns true if it was sent.
    pub(super) fn send(&self, bytes: &[u8], to: SocketAddr) -> bool {
        self.socket.send_to(bytes, to).is_ok()
    }

    /// Stops waking the event loop for datagrams.
    pub(super) fn stop_receiving(&mut self) {
        self.registration.set_interest(false, false);
    }
}
