//! The messages of the lease protocol.
use crate::subject::Subject;
use serde::{Deserialize, Serialize};
use thistlecroft_peers::Identity;

/// The channel of lease messages. Processes that know only the [legacy protocol](crate::legacy)
/// ignore it.
pub const CHANNEL: u8 = 2;

/// The most bytes of encoded subjects in one message, so that the message fits in a datagram.
pub const MAX_UPDATE_BYTES: usize = 880;
/// The most subjects in one message, so that the answer fits in a datagram.
pub const MAX_UPDATE_SUBJECTS: usize = 128;
/// The most rejections in one answer that name the holder, so that the answer fits in a datagram.
pub(crate) const MAX_NAMED_HOLDERS: usize = 8;

/// A voter's identifier for one process's session, unique among all sessions of all runs of that
/// voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SessionToken(pub u64);

/// A message of the lease protocol. The order of variants and fields defines the encoding.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Opens a session (`session: None`) or renews one, and changes which subjects are attached to
    /// it.
    Update(Update),
    /// The voter carried out an update. The session is valid for another term from the receipt of
    /// the update, with everything that is attached to it.
    Updated(Updated),
    /// The voter rejected the whole update.
    Rejected {
        /// The voter's generation.
        generation: u32,
        /// The sequence number of the update.
        sequence: u32,
        /// Why the update was rejected.
        reason: RejectionReason,
    },
    /// The sender is shutting down and no longer acts on any subject except those in `keep`.
    Close {
        /// The sequence number, counted together with updates.
        sequence: u32,
        /// The session to close.
        session: SessionToken,
        /// Subjects that stay attached until the session lapses.
        keep: Vec<Subject>,
    },
    /// Asks for the generation and the highest epoch of the receiver: sent by a voter that has
    /// started without any state, and by any process that waits for a change of voters to settle.
    Recall {
        /// The sender's generation.
        generation: u32,
        /// Whether the sender is a voter that has started and may not vote yet.
        starting: bool,
    },
    /// The answer to [`Message::Recall`].
    Remembered {
        /// The sender's generation.
        generation: u32,
        /// Whether the sender is a voter that knows the highest epoch of its electorate.
        established: bool,
        /// The highest epoch known to the sender.
        epoch: u64,
    },
}

/// A request for changes to a session.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Update {
    /// The sender's generation.
    pub generation: u32,
    /// The number of the request, which grows with each request of a process. A voter ignores a
    /// request that arrives after a later one.
    pub sequence: u32,
    /// The session to renew; `None` opens a new one.
    pub session: Option<SessionToken>,
    /// The highest epoch that the sender has chosen or received. The voter remembers it.
    pub epoch: u64,
    /// Subjects to detach, which is done before any are attached.
    pub detach: Vec<Subject>,
    /// Subjects to attach.
    pub attach: Vec<Subject>,
}

/// The answer to an [`Update`] that the voter carried out.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Updated {
    /// The voter's generation.
    pub generation: u32,
    /// The sequence number of the update.
    pub sequence: u32,
    /// The session that was opened or renewed.
    pub session: SessionToken,
    /// The highest epoch known to the voter.
    pub epoch: u64,
    /// The subjects that were not attached, as indices into [`Update::attach`], and why. All others
    /// are attached.
    pub rejected: Vec<(u16, RejectionReason)>,
}

/// Why a voter does not grant a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RejectionReason {
    /// The subject is attached to the session of another process, the holder.
    Held {
        /// The holder.
        by: Identity,
    },
    /// As [`RejectionReason::Held`], but without the holder's name, which would not fit in the
    /// answer.
    HeldByAnother,
    /// The voter started recently, and may have granted the subject before.
    Silent,
    /// The process is not a voter, or its electorate has another generation.
    Generation {
        /// The voter's generation.
        here: u32,
    },
    /// The voter keeps as many subjects or sessions as it may.
    AtCapacity,
    /// The voter does not know the session: the voter has restarted, or the session has lapsed and
    /// was dropped.
    UnknownSession,
    /// The voter supports only the [legacy protocol](crate::legacy).
    OlderProtocol,
}

impl Message {
    /// Encodes this message for [`CHANNEL`].
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("messages are plain values")
    }

    /// Decodes a message; `None` for bytes that are not exactly one message.
    pub fn decode(bytes: &[u8]) -> Option<Message> {
        match postcard::take_from_bytes(bytes) {
            Ok((message, [])) => Some(message),
            _ => None,
        }
    }
}
