//! The datagram socket towards the other relays.
use crate::sockets::{Registration, SocketOwner, Sockets};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};
use std::os::fd::AsRawFd;
use thistlecroft_operator_config::PeersConfig;

/// What to do if another process has the configured address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AddressConflict {
    Fail,
    /// The predecessor may have it, and will end: another port serves until then.
    WaitForPredecessor,
}

/// A bound socket that wakes the event loop.
pub(super) struct PeerSocket {
    registration: Registration,
    socket: UdpSocket,
}

/// A bound socket, and how others reach it.
pub(super) struct BoundSocket {
    pub(super) socket: PeerSocket,
    pub(super) advertised: SocketAddr,
    /// It has the configured address.
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

    /// Binds the configured address, or a free port beside it if the predecessor has that.
    ///
    /// # Errors
    /// The address is taken, or the system gives no socket.
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

    /// The length and source of the next datagram.
    pub(super) fn receive(&self, bytes: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        self.socket.recv_from(bytes)
    }

    /// True if the datagram was sent.
    pub(super) fn send(&self, bytes: &[u8], to: SocketAddr) -> bool {
        self.socket.send_to(bytes, to).is_ok()
    }

    /// From now on it no longer wakes the event loop.
    pub(super) fn stop_receiving(&mut self) {
        self.registration.set_interest(false, false);
    }
}
