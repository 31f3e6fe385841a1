//! The channel between a process and its successor: packets with attached descriptors, over a Unix
//! socket in the folder that both share.
use crate::hot_restart::messages::{self, Message, PacketError};
use crate::sockets::{Registration, SocketOwner, Sockets};
use rustix::io::Errno;
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use socket2::{Domain, SockAddr, Socket, Type};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io::{self, ErrorKind, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, AsRawFd, BorrowedFd, OwnedFd};
use std::path::{Path, PathBuf};

/// The name of the socket in the shared folder.
const SOCKET_NAME: &str = "thistlecroft-next";
/// The longest packet. It leaves more room than a session's message and the bytes that the session
/// has waiting in both directions need.
const MAX_PACKET_BYTES: usize = 64 * 1024;
/// The most descriptors that can be attached to one packet: a session's two connections.
const MAX_DESCRIPTORS: usize = 2;
/// A process for which more messages wait does not read.
const MAX_QUEUED_MESSAGES: usize = 1_024;
const SUCCESSOR_BACKLOG: i32 = 4;

/// The socket at which a successor connects to this process.
pub(crate) struct SuccessorListener {
    _registration: Registration,
    socket: Socket,
}

/// One end of the channel.
pub(crate) struct Channel {
    registration: Registration,
    socket: Socket,
    /// Messages that wait for room in the channel.
    queue: RefCell<VecDeque<Message>>,
}

/// The result of reading from a channel.
pub(crate) enum Received {
    Packet(Box<ReceivedPacket>),
    Nothing,
    Closed(ChannelError),
}

/// A received packet with its attached descriptors.
pub(crate) struct ReceivedPacket {
    pub(crate) message: Message,
    /// The bytes of a session that are waiting to be sent to the backend.
    pub(crate) to_backend: Vec<u8>,
    /// The bytes of a session that are waiting to be sent to the client.
    pub(crate) to_client: Vec<u8>,
    pub(crate) descriptors: Vec<OwnedFd>,
}

/// Why a channel can't be used any longer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ChannelError {
    #[error("the other process has ended")]
    Ended,
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Packet(#[from] PacketError),
}

fn new_socket() -> io::Result<Socket> {
    let socket = Socket::new(Domain::UNIX, Type::SEQPACKET, None)?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

/// Connects to the process that serves from this folder, if there is one.
pub(crate) fn connect_to_predecessor(folder: &Path, sockets: &mut Sockets) -> Option<Channel> {
    let socket = new_socket().ok()?;
    let address = SockAddr::unix(folder.join(SOCKET_NAME)).ok()?;
    socket.connect(&address).ok()?;
    Some(Channel::new(socket, SocketOwner::Predecessor, sockets))
}

impl SuccessorListener {
    /// Opens the socket in the folder. From now on a successor connects to this process and no
    /// longer to this one's predecessor.
    ///
    /// # Errors
    /// Returns an error if the folder's path is too long for a socket address, or if the folder is
    /// not writable.
    pub(crate) fn open(folder: &Path, sockets: &mut Sockets) -> io::Result<SuccessorListener> {
        let temporary_path: PathBuf = folder.join(format!("{SOCKET_NAME}-{}", std::process::id()));
        // An earlier process with the same process id may have left a socket behind.
        let _ = std::fs::remove_file(&temporary_path);
        let socket = new_socket()?;
        socket.bind(&SockAddr::unix(&temporary_path)?)?;
        socket.listen(SUCCESSOR_BACKLOG)?;
        std::fs::rename(&temporary_path, folder.join(SOCKET_NAME))?;
        let owner = SocketOwner::SuccessorListener;
        let mut registration = sockets.register(owner, socket.as_raw_fd());
        registration.set_interest(true, false);
        Ok(SuccessorListener {
            _registration: registration,
            socket,
        })
    }

    pub(crate) fn accept(&mut self, sockets: &mut Sockets) -> Option<Channel> {
        let (socket, _) = self.socket.accept().ok()?;
        socket.set_nonblocking(true).ok()?;
        Some(Channel::new(socket, SocketOwner::Successor, sockets))
    }
}

impl Channel {
    fn new(socket: Socket, owner: SocketOwner, sockets: &mut Sockets) -> Channel {
        let mut registration = sockets.register(owner, socket.as_raw_fd());
        registration.set_interest(true, false);
        Channel {
            registration,
            socket,
            queue: RefCell::default(),
        }
    }

    /// Sends messages without attachments in their order, later if the channel has no room.
    ///
    /// # Errors
    /// Returns an error if the other process has ended, or does not read.
    pub(crate) fn send_in_order(
        &self,
        messages: impl IntoIterator<Item = Message>,
    ) -> io::Result<()> {
        self.queue.borrow_mut().extend(messages);
        self.flush()?;
        if self.queue.borrow().len() > MAX_QUEUED_MESSAGES {
            return Err(io::Error::other("the other process does not read"));
        }
        Ok(())
    }

    /// Sends queued messages while the channel has room.
    ///
    /// # Errors
    /// Returns an error if the other process has ended.
    pub(crate) fn flush(&self) -> io::Result<()> {
        let mut queue = self.queue.borrow_mut();
        while let Some(message) = queue.front() {
            if !self.send(message, &[], &[])? {
                break;
            }
            queue.pop_front();
        }
        Ok(())
    }

    pub(crate) fn has_key(&self, key: usize) -> bool {
        self.registration.has_key(key)
    }

    /// Sends a packet: a message, the bytes that a session has waiting, and descriptors. Returns
    /// false if the channel has no room for it at present.
    ///
    /// # Errors
    /// Returns an error if the other process has ended.
    pub(crate) fn send(
        &self,
        message: &Message,
        waiting: &[&[u8]],
        descriptors: &[BorrowedFd],
    ) -> io::Result<bool> {
        let packet = messages::encode(message, waiting);
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS))];
        let mut ancillary = SendAncillaryBuffer::new(&mut space);
        let rights = SendAncillaryMessage::ScmRights(descriptors);
        if !descriptors.is_empty() && !ancillary.push(rights) {
            return Err(io::Error::other("too many descriptors for one packet"));
        }
        let parts = [IoSlice::new(&packet)];
        match rustix::net::sendmsg(&self.socket, &parts, &mut ancillary, SendFlags::NOSIGNAL) {
            Ok(_) => Ok(true),
            Err(Errno::AGAIN | Errno::INTR) => Ok(false),
            Err(error) => Err(error.into()),
        }
    }

    pub(crate) fn receive(&self) -> Received {
        match self.try_receive() {
            Ok(packet) => Received::Packet(Box::new(packet)),
            Err(ChannelError::Io(error))
                if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) =>
            {
                Received::Nothing
            }
            Err(error) => Received::Closed(error),
        }
    }

    fn try_receive(&self) -> Result<ReceivedPacket, ChannelError> {
        let mut bytes = vec![0; MAX_PACKET_BYTES];
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS))];
        let mut ancillary = RecvAncillaryBuffer::new(&mut space);
        let mut receive = || {
            let parts = &mut [IoSliceMut::new(&mut bytes)];
            let flags = RecvFlags::CMSG_CLOEXEC | RecvFlags::DONTWAIT;
            rustix::net::recvmsg(self.socket.as_fd(), parts, &mut ancillary, flags)
        };
        let received = match receive() {
            // The other process ended before it had read all messages from this one. The system
            // reports that first, and once; what the other process had sent before, such as the
            // release of a session, can still be received.
            Err(Errno::CONNRESET) => receive(),
            received => received,
        };
        let length = received.map_err(io::Error::from)?.bytes;
        if length == 0 {
            return Err(ChannelError::Ended);
        }
        let mut descriptors = Vec::new();
        for message in ancillary.drain() {
            if let RecvAncillaryMessage::ScmRights(rights) = message {
                descriptors.extend(rights);
            }
        }
        let packet = messages::decode(&bytes[..length])?;
        Ok(ReceivedPacket {
            message: packet.message,
            to_backend: packet.to_backend.to_vec(),
            to_client: packet.to_client.to_vec(),
            descriptors,
        })
    }
}

#[cfg(test)]
pub(super) mod tests;
