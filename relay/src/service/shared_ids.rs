//! Telling the other process of a hot restart which ids must not be repeated.
use super::Service;
use crate::hot_restart::channel::Channel;
use crate::hot_restart::messages::{IdsMessage, Message};
use crate::session::used_ids::IdNotice;
use thistlecroft::time::Duration;

/// The most ids in one message, so that every message fits into a packet.
const MAX_IDS_PER_MESSAGE: usize = 1_000;

impl Service {
    /// Sends what has happened to ids in this turn, before any request of them is written.
    pub(super) fn send_id_notices(&mut self) {
        let notices = self.sessions.take_id_notices();
        let send = |channel: &Channel| channel.send_in_order(messages_of(&notices));
        let successor = self.hot_restart.successor.as_ref();
        if let Some(Err(error)) = successor.map(send) {
            self.lose_successor(&error.to_string());
        }
        // An error is ignored: reading from the channel shows that the predecessor has ended.
        let _ = self.hot_restart.predecessor.as_ref().map(send);
    }
}

/// Returns the messages that tell of all these notices, none if there are none.
pub(super) fn messages_of(notices: &[IdNotice]) -> Vec<Message> {
    let in_order = notices.chunk_by(|earlier, later| rank(earlier) <= rank(later));
    let chunks = in_order.flat_map(|notices| notices.chunks(MAX_IDS_PER_MESSAGE));
    chunks.map(message_of).collect()
}

/// Returns the place of a notice within a message, in which it is applied after those of lower ranks.
fn rank(notice: &IdNotice) -> u8 {
    match notice {
        IdNotice::Opened(_) => 0,
        IdNotice::Released(_) => 1,
        IdNotice::Used(..) => 2,
    }
}

pub(super) fn message_of(notices: &[IdNotice]) -> Message {
    let mut ids = IdsMessage::default();
    for notice in notices {
        match *notice {
            IdNotice::Opened(id) => ids.open.push(id),
            IdNotice::Released(id) => ids.released.push(id),
            IdNotice::Used(id, time) => ids.used.push((id, time.as_micros())),
        }
    }
    Message::Ids(ids)
}

/// Returns the notices of a message in the order in which they are applied.
pub(super) fn notices_of(ids: IdsMessage) -> Vec<IdNotice> {
    let used = ids
        .used
        .into_iter()
        .map(|(id, micros)| IdNotice::Used(id, Duration::from_micros(micros)));
    let open = ids.open.into_iter().map(IdNotice::Opened);
    let released = ids.released.into_iter().map(IdNotice::Released);
    open.chain(released).chain(used).collect()
}

#[cfg(test)]
mod tests;
