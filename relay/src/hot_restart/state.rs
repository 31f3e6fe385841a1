//! The predecessor and the successor of this process, and the sessions that are being handed over.
use crate::hot_restart::channel::{self, Channel, SuccessorListener};
use crate::hot_restart::messages::{
    Message, SessionHandover, UNDERSTANDS_IDS, UNDERSTANDS_SETTINGS, VERSION,
};
use crate::sockets::Sockets;
use std::collections::BTreeMap;
use std::io;
use std::os::fd::OwnedFd;
use std::path::Path;

/// The state of hot restarts. The default has neither a predecessor nor a successor.
#[derive(Default)]
pub(crate) struct HotRestart {
    relay_name: String,
    listener: Option<SuccessorListener>,
    /// `None` also once the predecessor has ended, even if it has not sent `Leaving`.
    pub(crate) predecessor: Option<Channel>,
    pub(crate) successor: Option<Channel>,
    /// Sessions that the predecessor has offered and not yet released.
    offered: BTreeMap<u32, OfferedSession>,
    /// Whether the predecessor is told of the ids of this process.
    pub(crate) shares_ids_with_predecessor: bool,
    /// The number of open descriptors that was last sent to the other processes.
    sent_descriptor_count: usize,
}

/// A session that the predecessor has offered and still owns.
pub(crate) struct OfferedSession {
    pub(crate) handover: SessionHandover,
    /// The bytes that are waiting to be sent to the backend.
    pub(crate) to_backend: Vec<u8>,
    /// The bytes that are waiting to be sent to the client.
    pub(crate) to_client: Vec<u8>,
    /// The descriptors of the client's and of the backend's connection, in this order.
    pub(crate) descriptors: [OwnedFd; 2],
}

impl HotRestart {
    pub(crate) fn new(relay: &str) -> HotRestart {
        HotRestart {
            relay_name: relay.to_string(),
            ..HotRestart::default()
        }
    }

    /// Connects to the process that serves from this folder, if there is one, and sends `Hello`.
    /// Must be called before `listen`, with which this process takes the other's place.
    pub(crate) fn greet_predecessor(&mut self, folder: &Path, sockets: &mut Sockets) {
        let predecessor = channel::connect_to_predecessor(folder, sockets);
        let hello = Message::Hello {
            version: VERSION,
            relay: self.relay_name.clone(),
            understands: vec![UNDERSTANDS_SETTINGS.into(), UNDERSTANDS_IDS.into()],
        };
        self.predecessor = predecessor
            .filter(|predecessor| matches!(predecessor.send(&hello, &[], &[]), Ok(true)));
    }

    /// Listens in the folder for a successor.
    ///
    /// # Errors
    /// Returns an error if the socket can't be opened; no session can then be handed over.
    pub(crate) fn listen(&mut self, folder: &Path, sockets: &mut Sockets) -> io::Result<()> {
        self.listener = Some(SuccessorListener::open(folder, sockets)?);
        Ok(())
    }

    pub(crate) fn has_predecessor(&self) -> bool {
        self.predecessor.is_some()
    }

    /// Returns whether `relay` is the name of the relay that this process belongs to.
    pub(crate) fn is_same_relay(&self, relay: &str) -> bool {
        self.relay_name == relay
    }

    pub(crate) fn accept_successor(&mut self, sockets: &mut Sockets) -> Option<Channel> {
        self.listener.as_mut()?.accept(sockets)
    }

    pub(crate) fn set_successor(&mut self, successor: Channel) {
        self.successor = Some(successor);
        self.sent_descriptor_count = 0;
    }

    /// Closes the channel to the predecessor and drops the sessions that it has not released.
    pub(crate) fn drop_predecessor(&mut self) {
        self.predecessor = None;
        self.offered.clear();
    }

    /// Notifies the other processes of the number of open descriptors, `count`, if it has changed by
    /// at least `least_change` since the last notification.
    pub(crate) fn send_descriptor_count(&mut self, count: usize, least_change: usize) {
        let channels = || self.predecessor.iter().chain(&self.successor);
        if channels().next().is_none() || count.abs_diff(self.sent_descriptor_count) < least_change
        {
            return;
        }
        let message = Message::OpenDescriptors { count };
        let send = |channel: &Channel| channel.send(&message, &[], &[]);
        // A full channel is tried again. An error is ignored: reading from the channel shows that the
        // other process has ended.
        let is_any_full = channels().map(send).any(|sent| matches!(sent, Ok(false)));
        if !is_any_full {
            self.sent_descriptor_count = count;
        }
    }

    /// Accepts an offered session and holds it until the predecessor releases it.
    pub(crate) fn accept_offer(&mut self, serial: u32, offered: OfferedSession) {
        self.offered.insert(serial, offered);
        // If the answer can't be sent, the predecessor keeps the session, and reading from the
        // channel will show that the predecessor has ended.
        if !self.answer_predecessor(&Message::Accepted { serial }) {
            self.offered.remove(&serial);
        }
    }

    pub(crate) fn decline_offer(&mut self, serial: u32) {
        if !self.answer_predecessor(&Message::Declined { serial }) {
            self.offered.remove(&serial);
        }
    }

    /// Sends an answer to the predecessor; returns whether it was sent.
    fn answer_predecessor(&self, answer: &Message) -> bool {
        let predecessor = self.predecessor.as_ref();
        predecessor.is_some_and(|channel| matches!(channel.send(answer, &[], &[]), Ok(true)))
    }

    /// Removes and returns a session that this process has accepted.
    pub(crate) fn remove_offer(&mut self, serial: u32) -> Option<OfferedSession> {
        self.offered.remove(&serial)
    }
}

#[cfg(test)]
mod tests;
