//! The channel between the process that ends and the one that goes on: packets over a Unix socket
//! in the folder that both share, descriptors beside them. What is said is in `estate.rs`, what is
//! done about it in `service.rs`.
use crate::hot_restart::messages::{self, Message};
use crate::sockets::{Registration, SocketOwner, Sockets};
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use socket2::{Domain, SockAddr, Socket, Type};
use std::io::{self, ErrorKind, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, AsRawFd, BorrowedFd, OwnedFd};
use std::path::{Path, PathBuf};

const NAME: &str = "thistlecroft-next";
/// Two flows of a session and its line, with room to spare.
const PACKET: usize = 64 * 1024;

/// Where the next process finds this one.
pub struct SuccessorListener {
    _watched: Registration,
    socket: Socket,
}

/// One end of the channel.
pub struct Channel {
    watched: Registration,
    socket: Socket,
}

pub enum Received {
    Message(Box<Message>, Vec<u8>, Vec<u8>, Vec<OwnedFd>),
    Nothing,
    /// The other process has ended, or spoke what can't be read.
    Gone(String),
}

fn socket() -> io::Result<Socket> {
    let socket = Socket::new(Domain::UNIX, Type::SEQPACKET, None)?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

/// The process that serves from this folder, if one does.
pub fn predecessor(folder: &Path, sockets: &mut Sockets) -> Option<Channel> {
    let socket = socket().ok()?;
    socket
        .connect(&SockAddr::unix(folder.join(NAME)).ok()?)
        .ok()?;
    Some(Channel::new(socket, SocketOwner::Predecessor, sockets))
}

impl SuccessorListener {
    /// From now on the next process finds this one and no longer the one before.
    ///
    /// # Errors
    /// The folder's name is too long for a socket, say.
    pub fn open(folder: &Path, sockets: &mut Sockets) -> io::Result<SuccessorListener> {
        let fresh: PathBuf = folder.join(format!("{NAME}-{}", std::process::id()));
        // Of a process of the same number, long ago.
        let _ = std::fs::remove_file(&fresh);
        let socket = self::socket()?;
        socket.bind(&SockAddr::unix(&fresh)?)?;
        socket.listen(4)?;
        std::fs::rename(&fresh, folder.join(NAME))?;
        let mut watched = sockets.watched(SocketOwner::SuccessorListener, socket.as_raw_fd());
        watched.want(true, false);
        Ok(SuccessorListener {
            _watched: watched,
            socket,
        })
    }

    pub fn accept(&mut self, sockets: &mut Sockets) -> Option<Channel> {
        let (socket, _) = self.socket.accept().ok()?;
        socket.set_nonblocking(true).ok()?;
        Some(Channel::new(socket, SocketOwner::Successor, sockets))
    }
}

impl Channel {
    fn new(socket: Socket, owner: SocketOwner, sockets: &mut Sockets) -> Channel {
        let mut watched = sockets.watched(owner, socket.as_raw_fd());
        watched.want(true, false);
        Channel { watched, socket }
    }

    pub fn is(&self, key: usize) -> bool {
        self.watched.is(key)
    }

    /// True where it went out whole; false where there is no room for it at present.
    ///
    /// # Errors
    /// The other process is gone.
    pub fn send(
        &self,
        word: &Message,
        bytes: &[&[u8]],
        descriptors: &[BorrowedFd],
    ) -> io::Result<bool> {
        let packet = messages::packet(word, bytes);
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
        let mut beside = SendAncillaryBuffer::new(&mut space);
        if !descriptors.is_empty() && !beside.push(SendAncillaryMessage::ScmRights(descriptors)) {
            return Err(io::Error::other("too many descriptors"));
        }
        match rustix::net::sendmsg(
            &self.socket,
            &[IoSlice::new(&packet)],
            &mut beside,
            SendFlags::NOSIGNAL,
        ) {
            Ok(_) => Ok(true),
            Err(rustix::io::Errno::AGAIN | rustix::io::Errno::INTR) => Ok(false),
            Err(fault) => Err(fault.into()),
        }
    }

    pub fn hear(&self) -> Received {
        let mut bytes = vec![0; PACKET];
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
        let mut beside = RecvAncillaryBuffer::new(&mut space);
        let mut take = || {
            let into = &mut [IoSliceMut::new(&mut bytes)];
            let flags = RecvFlags::CMSG_CLOEXEC | RecvFlags::DONTWAIT;
            rustix::net::recvmsg(self.socket.as_fd(), into, &mut beside, flags)
        };
        let got = match take() {
            // It ended with a word of ours unread, which is told first and once: what it said
            // before still waits, and connections that it has let go of among it.
            Err(rustix::io::Errno::CONNRESET) => take(),
            got => got,
        };
        let length = match got {
            Ok(message) if message.bytes == 0 => return Received::Gone("it has ended".into()),
            Ok(message) => message.bytes,
            Err(fault) => {
                return match io::Error::from(fault).kind() {
                    ErrorKind::WouldBlock | ErrorKind::Interrupted => Received::Nothing,
                    _ => Received::Gone(fault.to_string()),
                };
            }
        };
        let mut descriptors = Vec::new();
        for message in beside.drain() {
            if let RecvAncillaryMessage::ScmRights(received) = message {
                descriptors.extend(received);
            }
        }
        match messages::word(&bytes[..length]) {
            Ok((word, up, down)) => {
                Received::Message(Box::new(word), up.to_vec(), down.to_vec(), descriptors)
            }
            Err(why) => Received::Gone(why),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::hot_restart::messages::SnapshotMessage;
    use thistlecroft::attempt::LoadReport;
    use thistlecroft::ids::BackendId;
    use thistlecroft::snapshot::{BalancerSnapshot, EndpointStatistics};
    use thistlecroft::time::{Duration, Instant};

    /// A sight of one backend takes some 150 bytes: 450 of them no longer fitted into a packet, and
    /// the line was lost.
    #[test]
    fn what_is_known_of_a_thousand_backends_comes_across_whole() {
        let folder =
            std::env::temp_dir().join(format!("thistlecroft-parts-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let poller = std::rc::Rc::new(polling::Poller::new().unwrap());
        let mut sockets = Sockets::new(poller);
        let mut post = SuccessorListener::open(&folder, &mut sockets).unwrap();
        let new = predecessor(&folder, &mut sockets).unwrap();
        let old = post.accept(&mut sockets).unwrap();
        let at = Instant::from_micros(1_764_000_000_123_456);
        let report = LoadReport {
            connections: Some(1_234.5),
            load: Some(0.123_456_789),
        };
        let sight = EndpointStatistics {
            last_report: Some((at, report)),
            weight_at_report: 0.987_654,
            ..EndpointStatistics::default()
        };
        for backends in [0, 1, 128, 1_024] {
            let sights = (0..backends).map(|id| (BackendId(id), sight)).collect();
            let all = BalancerSnapshot {
                endpoints: sights,
                connect_time: Duration::from_millis(12),
                connection_seconds: 1.5,
                departures: 2.5,
            };
            let names: Vec<String> = (0..backends)
                .map(|id| format!("backend-in-zone-a-{id:08x}"))
                .collect();
            let text = SnapshotMessage::of(&all, |id| &names[id.0 as usize]);
            let mut heard = Vec::new();
            for part in text.clone().parts() {
                assert!(
                    old.send(&Message::Memory(part), &[], &[]).unwrap(),
                    "{backends}: no room on the way"
                );
            }
            while let Received::Message(word, ..) = new.hear() {
                let Message::Memory(part) = *word else {
                    panic!("{backends}: another word")
                };
                heard.extend(
                    part.memory(|name| {
                        BackendId(names.iter().position(|one| one == name).unwrap() as u32)
                    })
                    .endpoints,
                );
            }
            assert_eq!(heard, all.endpoints, "{backends}");
        }
        std::fs::remove_dir_all(&folder).unwrap();
    }

    #[test]
    fn what_a_process_said_before_its_end_is_heard_whatever_it_left_unread() {
        let folder = std::env::temp_dir().join(format!("thistlecroft-line-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let poller = std::rc::Rc::new(polling::Poller::new().unwrap());
        let mut sockets = Sockets::new(poller);
        for unread in [0, 1, 5] {
            let mut post = SuccessorListener::open(&folder, &mut sockets).unwrap();
            let new = predecessor(&folder, &mut sockets).unwrap();
            let old = post.accept(&mut sockets).unwrap();
            for sockets in 0..unread {
                assert!(new.send(&Message::Holds { sockets }, &[], &[]).unwrap());
            }
            for serial in 0..3 {
                assert!(old.send(&Message::Yours { serial }, &[], &[]).unwrap());
            }
            drop(old);
            for expected in 0..3 {
                let Received::Message(word, ..) = new.hear() else {
                    panic!("{unread} unread: {expected} is lost")
                };
                assert_eq!(*word, Message::Yours { serial: expected });
            }
            assert!(matches!(new.hear(), Received::Gone(_)));
        }
        std::fs::remove_dir_all(&folder).unwrap();
    }
}
