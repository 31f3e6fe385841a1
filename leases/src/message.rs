//! The messages of the lease protocol.
use crate::subject::Subject;
use serde::{Deserialize, Serialize};
use thistlecroft_peers::Identity;

/// The channel of these messages. Processes that know only the [legacy protocol](crate::legacy) do
/// not read it.
pub const CHANNEL: u8 = 2;

/// The most bytes of subjects in one message, so that it fits in a datagram.
pub const MAX_UPDATE_BYTES: usize = 880;
/// The most subjects in one message, so that its answer fits in a datagram.
pub const MAX_UPDATE_SUBJECTS: usize = 128;
/// The most rejections of one answer that name the holder.
pub(crate) const MAX_NAMED_HOLDERS: usize = 8;

/// A voter's name for one process's session, unique among all sessions of all runs of that voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SessionToken(pub u64);

/// A message of the lease protocol. The order of variants and fields is that of the wire.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Opens a session (`session: None`) or renews it, and changes what is attached to it.
    Update(Update),
    /// The session is valid for another term from now, with everything that is attached.
    Updated(Updated),
    /// Nothing of the update was done.
    Rejected {
        /// The voter's generation.
        generation: u32,
        /// The sequence number of the update.
        sequence: u32,
        /// Why nothing was done.
        reason: RejectionReason,
    },
    /// The sender shuts down and acts on no subject any more, except for those that it names.
    Close {
        /// A sequence number as in an update.
        sequence: u32,
        /// The session to close.
        session: SessionToken,
        /// Subjects that stay attached until the session lapses.
        keep: Vec<Subject>,
    },
    /// The sender has started without any state, or asks how far a change of voters has come.
    Recall {
        /// The sender's generation.
        generation: u32,
        /// The sender has started and may not vote yet.
        starting: bool,
    },
    /// The answer to [`Message::Recall`].
    Remembered {
        /// The sender's generation.
        generation: u32,
        /// The sender is a voter that knows the highest epoch of its electorate.
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
    /// Grows with each request of a process; a voter ignores one that arrives after a later one.
    pub sequence: u32,
    /// The session to renew; `None` opens one.
    pub session: Option<SessionToken>,
    /// The highest epoch that the sender has chosen; the voter keeps it.
    pub epoch: u64,
    /// Subjects to detach, before any is attached.
    pub detach: Vec<Subject>,
    /// Subjects to attach.
    pub attach: Vec<Subject>,
}

/// The answer to an [`Update`] that was done.
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
    /// Indices into `attach` of the subjects that were not attached, and why. All others are.
    pub rejected: Vec<(u16, RejectionReason)>,
}

/// Why a voter does not grant a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RejectionReason {
    /// The subject is attached to the session of another process.
    Held {
        /// The holder.
        by: Identity,
    },
    /// The same, without the holder's name, which would not fit in the answer.
    HeldByAnother,
    /// The voter started recently, and may have granted the subject before.
    Silent,
    /// The process is not a voter, or one of another electorate.
    Generation {
        /// The voter's generation.
        here: u32,
    },
    /// The voter holds as many subjects or sessions as it may.
    AtCapacity,
    /// The session is not known: the voter has restarted, or it lapsed and was dropped.
    UnknownSession,
    /// The voter speaks only the [legacy protocol](crate::legacy).
    OlderProtocol,
}

impl Message {
    /// The bytes of this message on [`CHANNEL`].
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("messages are plain values")
    }

    /// `None` for bytes that are not exactly one message.
    pub fn decode(bytes: &[u8]) -> Option<Message> {
        match postcard::take_from_bytes(bytes) {
            Ok((message, [])) => Some(message),
            _ => None,
        }
    }
}
