//! The messages between this process and its predecessor or successor, and how they are handled.
use super::shared_ids::{message_of, messages_of, notices_of};
use super::{LOG_TARGET, Service};
use crate::discovery::registry::EndpointRegistry;
use crate::driver::Event;
use crate::hot_restart::channel::{Channel, Received, ReceivedPacket};
use crate::hot_restart::messages::{
    Message, SnapshotMessage, UNDERSTANDS_IDS, UNDERSTANDS_SETTINGS, VERSION,
};
use crate::hot_restart::state::OfferedSession;
use crate::session::table::Sessions;
use crate::session::used_ids::IdNotice;
use std::io;
use std::ops::ControlFlow;
use std::os::fd::OwnedFd;
use thistlecroft::balancer::Balancer;
use thistlecroft::time::Duration;

/// Most packets that are read from one channel in one turn.
const MAX_PACKETS: usize = 32;

impl Service {
    /// Sends a snapshot of the balancer and leaves new clients and the sessions to the successor, if
    /// there is one.
    pub(super) fn hand_over_to_successor(&mut self) {
        let Some(successor) = &self.hot_restart.successor else {
            return;
        };
        let sent = send_snapshot(&self.balancer, &self.discovery.registry, successor)
            .and_then(|()| successor.send(&Message::Leaving, &[], &[]));
        match sent {
            Ok(true) => {
                self.sessions.stop_accepting();
                self.sessions.start_handover(&mut self.io);
            }
            Ok(false) => self.lose_successor("the successor does not read its messages"),
            Err(error) => self.lose_successor(&error.to_string()),
        }
    }

    /// Notifies the predecessor and the successor of the number of descriptors that this process
    /// has open, if it has changed by at least `least_change`. The processes share one limit: if
    /// they were notified later, both could claim the same free descriptors.
    pub(super) fn send_descriptor_count(&mut self, least_change: usize) {
        let count = self.io.sockets.open_count_in_this_process();
        self.hot_restart.send_descriptor_count(count, least_change);
    }

    /// Notes the number of descriptors that the other process has open. The processes share one
    /// limit; at the limit, health checks of this process leave their descriptors to both.
    fn set_open_in_other_process(&mut self, count: usize) {
        self.io.sockets.set_open_in_other_process(count);
        self.io.claim_descriptor();
    }

    /// Offers established sessions to the successor, if there is one.
    pub(super) fn offer_sessions(&mut self) {
        let Some(successor) = &self.hot_restart.successor else {
            return;
        };
        let registry = &self.discovery.registry;
        if let Err(error) = self
            .sessions
            .offer_sessions(successor, registry, &mut self.io)
        {
            self.lose_successor(&error.to_string());
        }
    }

    /// Keeps a session whose offer the successor has not answered in time, and closes the channel
    /// to the successor.
    pub(super) fn handle_offer_timeout(&mut self, session: u32) {
        if self.sessions.handover_declined(session, &mut self.io) {
            self.lose_successor("the successor did not answer the offer of a session in time");
        }
    }

    pub(super) fn accept_successor(&mut self) {
        let Some(successor) = self.hot_restart.accept_successor(&mut self.io.sockets) else {
            return;
        };
        self.lose_successor("another successor has connected");
        self.hot_restart.set_successor(successor);
    }

    pub(super) fn lose_successor(&mut self, reason: &str) {
        if self.hot_restart.successor.take().is_some() {
            log::info!(target: LOG_TARGET, "the channel to the successor is closed: {reason}");
            self.io.sockets.set_open_in_other_process(0);
            let is_last = !self.hot_restart.has_predecessor();
            self.sessions.stop_sharing_ids(is_last, self.io.now);
            self.sessions.cancel_handover(&mut self.io);
            self.accept_without_successor();
        }
    }

    /// Closes the channel to the predecessor, which has ended or sent a malformed packet.
    fn lose_predecessor(&mut self, reason: &str) {
        log::info!(target: LOG_TARGET, "the channel to the predecessor is closed: {reason}");
        self.hot_restart.drop_predecessor();
        let is_last = self.hot_restart.successor.is_none();
        self.sessions.stop_sharing_ids(is_last, self.io.now);
        self.io.sockets.set_open_in_other_process(0);
        self.io.events.push_back(Event::PredecessorEnded);
        self.accept_clients_when_ready();
    }

    // ---- messages from the successor ----

    pub(super) fn handle_successor_event(&mut self, key: usize) {
        let successor = &self.hot_restart.successor;
        if !successor
            .as_ref()
            .is_some_and(|channel| channel.has_key(key))
        {
            return;
        }
        for _ in 0..MAX_PACKETS {
            let Some(successor) = &self.hot_restart.successor else {
                return;
            };
            match successor.receive() {
                Received::Nothing => break,
                Received::Closed(reason) => return self.lose_successor(&reason.to_string()),
                Received::Packet(packet) => match self.handle_successor_message(packet.message) {
                    Ok(ControlFlow::Continue(())) => {}
                    Ok(ControlFlow::Break(())) => return,
                    Err(error) => return self.lose_successor(&error.to_string()),
                },
            }
        }
        self.offer_sessions();
    }

    /// Handles one message. Returns `Break` if the handover begins, which ends reading in this
    /// turn.
    ///
    /// # Errors
    /// Returns an error if the successor has ended, is of another version or relay, or sent a
    /// message that only a predecessor sends.
    fn handle_successor_message(&mut self, message: Message) -> io::Result<ControlFlow<()>> {
        let Some(successor) = &self.hot_restart.successor else {
            return Ok(ControlFlow::Break(()));
        };
        match message {
            Message::Hello {
                version: VERSION,
                relay,
                understands,
            } if self.hot_restart.is_same_relay(&relay) => {
                let understands = |message: &str| understands.iter().any(|name| name == message);
                if understands(UNDERSTANDS_IDS) {
                    // Before the settings, after which the successor accepts clients.
                    let notices = self.sessions.start_sharing_ids(self.io.now);
                    successor.send_in_order(first_id_messages(&notices))?;
                }
                if understands(UNDERSTANDS_SETTINGS) {
                    let settings = self.configuration.settings_for_successor(self.io.now);
                    send_binding_settings(settings, successor)?;
                }
                if self.is_shutting_down() {
                    self.hand_over_to_successor();
                    return Ok(ControlFlow::Break(()));
                }
                send_snapshot(&self.balancer, &self.discovery.registry, successor)?;
            }
            Message::OpenDescriptors { count } => self.set_open_in_other_process(count),
            Message::Ids(ids) => {
                let notices = notices_of(ids);
                self.sessions.apply_id_notices(notices, self.io.now);
            }
            Message::Accepted { serial } => {
                self.sessions
                    .handover_accepted(serial, successor, &mut self.io)?;
            }
            Message::Declined { serial } => {
                self.sessions.handover_declined(serial, &mut self.io);
            }
            unexpected => {
                return Err(io::Error::other(format!(
                    "unexpected message: {unexpected:?}"
                )));
            }
        }
        Ok(ControlFlow::Continue(()))
    }

    // ---- messages from the predecessor ----

    pub(super) fn handle_predecessor_event(&mut self, key: usize) {
        let predecessor = &self.hot_restart.predecessor;
        if !predecessor
            .as_ref()
            .is_some_and(|channel| channel.has_key(key))
        {
            return;
        }
        for _ in 0..MAX_PACKETS {
            let Some(predecessor) = &self.hot_restart.predecessor else {
                return;
            };
            match predecessor.receive() {
                Received::Nothing => return,
                Received::Closed(reason) => return self.lose_predecessor(&reason.to_string()),
                Received::Packet(packet) => self.handle_predecessor_message(*packet),
            }
        }
    }

    fn handle_predecessor_message(&mut self, packet: ReceivedPacket) {
        match packet.message {
            Message::Snapshot(message) => {
                self.discovery
                    .drain_known_to_predecessor(message.leaving_backends(), &mut self.io);
                let registry = &mut self.discovery.registry;
                let snapshot = message.to_snapshot(|name| registry.find_or_insert(name));
                self.io.events.push_back(Event::SnapshotReceived(snapshot));
            }
            Message::OpenDescriptors { count } => self.set_open_in_other_process(count),
            Message::Ids(ids) => {
                let notices = notices_of(ids);
                self.sessions.apply_id_notices(notices, self.io.now);
                self.share_ids_with_predecessor();
            }
            Message::BindingSettings { text, binds_for_us } => {
                let time = Duration::from_micros(binds_for_us);
                self.configuration
                    .bind_settings_of_predecessor(text, time, self.io.now);
            }
            Message::BindingSettingsEnd => self.settle_settings_of_predecessor(),
            Message::Leaving => {
                self.io.events.push_back(Event::PredecessorEnded);
                // No other process accepts clients now, so this one does, unless it shuts down as
                // well.
                if !self.is_shutting_down() {
                    self.sessions.start_accepting();
                }
            }
            Message::Session(handover) => {
                let serial = handover.serial;
                let offered =
                    <[OwnedFd; 2]>::try_from(packet.descriptors)
                        .ok()
                        .map(|descriptors| OfferedSession {
                            handover,
                            to_backend: packet.to_backend,
                            to_client: packet.to_client,
                            descriptors,
                        });
                self.answer_offer(serial, offered);
            }
            Message::Released { serial } => self.adopt_session(serial),
            unexpected => {
                log::warn!(
                    target: LOG_TARGET,
                    "ignoring an unexpected message of the predecessor: {unexpected:?}"
                );
            }
        }
    }

    /// Tells the predecessor, which has shown that it understands this, of the ids of this process.
    fn share_ids_with_predecessor(&mut self) {
        if self.hot_restart.shares_ids_with_predecessor {
            return;
        }
        let Some(predecessor) = &self.hot_restart.predecessor else {
            return;
        };
        let notices = self.sessions.start_sharing_ids(self.io.now);
        // An error is ignored: reading from the channel shows that the predecessor has ended.
        let _ = predecessor.send_in_order(first_id_messages(&notices));
        self.hot_restart.shares_ids_with_predecessor = true;
    }

    /// Accepts a session that the predecessor offers if there is room for it, and declines it
    /// otherwise.
    fn answer_offer(&mut self, serial: u32, offered: Option<OfferedSession>) {
        let can_take = !self.is_shutting_down() && Sessions::can_adopt(&mut self.io);
        match offered.filter(|_| can_take) {
            Some(offered) => self.hot_restart.accept_offer(serial, offered),
            None => self.hot_restart.decline_offer(serial),
        }
    }

    /// Takes over an accepted session that the predecessor has released.
    fn adopt_session(&mut self, serial: u32) {
        let Some(offered) = self.hot_restart.remove_offer(serial) else {
            return;
        };
        let adopted = self.sessions.adopt(
            &offered.handover,
            offered.descriptors,
            (&offered.to_backend, &offered.to_client),
            &mut self.discovery.registry,
            &mut self.io,
        );
        if let Err(error) = adopted {
            log::warn!(
                target: LOG_TARGET,
                "cannot take over a session of the predecessor, so the session is lost: {error}"
            );
        }
    }
}

/// Returns the messages that begin to tell the other process of ids, at least one.
fn first_id_messages(notices: &[IdNotice]) -> Vec<Message> {
    let mut messages = messages_of(notices);
    if messages.is_empty() {
        messages.push(message_of(&[]));
    }
    messages
}

/// Sends the settings that bind beside those of the successor's file, and their end.
fn send_binding_settings(
    settings: Vec<(&serde_json::Value, Duration)>,
    successor: &Channel,
) -> io::Result<()> {
    let texts = settings
        .into_iter()
        .map(|(text, time)| Message::BindingSettings {
            text: text.clone(),
            binds_for_us: time.as_micros(),
        });
    successor.send_in_order(texts.chain([Message::BindingSettingsEnd]))
}

/// Sends a snapshot of the balancer. A part for which the channel has no room is dropped: the
/// successor has to learn its contents itself.
fn send_snapshot(
    balancer: &Balancer,
    registry: &EndpointRegistry,
    successor: &Channel,
) -> io::Result<()> {
    let snapshot = SnapshotMessage::new(
        &balancer.snapshot(),
        |id| registry.name(id),
        |id| registry.is_leaving(id),
    );
    for part in snapshot.into_parts() {
        successor.send(&Message::Snapshot(part), &[], &[])?;
    }
    Ok(())
}
