//! The processes of this relay before and after this one, and the sessions between them.
use crate::hot_restart::channel::{self, Channel, SuccessorListener};
use crate::hot_restart::messages::{Message, SessionHandover, VERSION};
use crate::sockets::Sockets;
use std::collections::BTreeMap;
use std::io;
use std::os::fd::OwnedFd;
use std::path::Path;

/// This process's place in a hot restart; the default takes part in none.
#[derive(Default)]
pub(crate) struct HotRestart {
    relay: String,
    listener: Option<SuccessorListener>,
    /// None also once it has ended, which may be before it has left.
    pub(crate) predecessor: Option<Channel>,
    pub(crate) successor: Option<Channel>,
    /// Sessions that the predecessor has offered and not let go of.
    offered: BTreeMap<u32, OfferedSession>,
    /// Open descriptors of this process, as the others were notified last.
    sent_descriptor_count: usize,
}

/// A session that the predecessor still owns, ready to be taken over.
pub(crate) struct OfferedSession {
    pub(crate) handover: SessionHandover,
    /// Bytes that wait on their way to the backend.
    pub(crate) to_backend: Vec<u8>,
    /// Bytes that wait on their way to the client.
    pub(crate) to_client: Vec<u8>,
    /// The client's, then the backend's.
    pub(crate) descriptors: [OwnedFd; 2],
}

impl HotRestart {
    pub(crate) fn new(relay: &str) -> HotRestart {
        HotRestart {
            relay: relay.to_string(),
            ..HotRestart::default()
        }
    }

    /// Connects to the process that serves from this folder, if one does, and greets it. Called
    /// before `listen`, with which this process takes its place.
    pub(crate) fn greet_predecessor(&mut self, folder: &Path, sockets: &mut Sockets) {
        let predecessor = channel::connect_to_predecessor(folder, sockets);
        let hello = Message::Hello {
            version: VERSION,
            relay: self.relay.clone(),
        };
        self.predecessor = predecessor
            .filter(|predecessor| matches!(predecessor.send(&hello, &[], &[]), Ok(true)));
    }

    /// Lets the next process find this one in the folder.
    ///
    /// # Errors
    /// The socket can't be opened there: nothing will be handed over.
    pub(crate) fn listen(&mut self, folder: &Path, sockets: &mut Sockets) -> io::Result<()> {
        self.listener = Some(SuccessorListener::open(folder, sockets)?);
        Ok(())
    }

    pub(crate) fn has_predecessor(&self) -> bool {
        self.predecessor.is_some()
    }

    pub(crate) fn is_of_relay(&self, relay: &str) -> bool {
        self.relay == relay
    }

    pub(crate) fn accept_successor(&mut self, sockets: &mut Sockets) -> Option<Channel> {
        self.listener.as_mut()?.accept(sockets)
    }

    pub(crate) fn set_successor(&mut self, successor: Channel) {
        self.successor = Some(successor);
        self.sent_descriptor_count = 0;
    }

    /// What the predecessor did not let go of is its own, or lost with it.
    pub(crate) fn drop_predecessor(&mut self) {
        self.predecessor = None;
        self.offered.clear();
    }

    /// Notifies the other processes if the number has changed by so much since they were last.
    pub(crate) fn send_descriptor_count(&mut self, count: usize, least_change: usize) {
        let channels = || self.predecessor.iter().chain(&self.successor);
        if channels().next().is_none() || count.abs_diff(self.sent_descriptor_count) < least_change
        {
            return;
        }
        for channel in channels() {
            // Best effort: a process that is gone or does not read is found out elsewhere.
            let _ = channel.send(&Message::OpenDescriptors { count }, &[], &[]);
        }
        self.sent_descriptor_count = count;
    }

    /// Holds an offered session until the predecessor lets go of it.
    pub(crate) fn accept_offer(&mut self, serial: u32, offered: OfferedSession) {
        self.offered.insert(serial, offered);
        // Where the answer can't be sent the predecessor keeps the session; its end is received
        // next.
        if !self.answer_predecessor(&Message::Accepted { serial }) {
            self.offered.remove(&serial);
        }
    }

    pub(crate) fn decline_offer(&mut self, serial: u32) {
        if !self.answer_predecessor(&Message::Declined { serial }) {
            self.offered.remove(&serial);
        }
    }

    /// True if the answer was sent.
    fn answer_predecessor(&self, answer: &Message) -> bool {
        let predecessor = self.predecessor.as_ref();
        predecessor.is_some_and(|channel| matches!(channel.send(answer, &[], &[]), Ok(true)))
    }

    pub(crate) fn take_offer(&mut self, serial: u32) -> Option<OfferedSession> {
        self.offered.remove(&serial)
    }
}
