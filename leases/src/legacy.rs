//! The legacy lease protocol, which had no sessions. A process needs it during an upgrade: to
//! notify an older process of its own name that it must stop voting, to learn the highest epoch,
//! and to reject requests of older processes in a form that they understand. Nothing is ever
//! granted in the legacy protocol.
use crate::subject::Subject;
use serde::{Deserialize, Serialize};
use thistlecroft_peers::Identity;

/// The channel of legacy messages.
pub const CHANNEL: u8 = 1;

/// The generation that rejections of legacy requests name. No electorate has it, and an older
/// process shows it to its operator.
pub const NO_GENERATION: u32 = 0;

/// A message of the legacy protocol. The order of variants and fields defines the encoding.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LegacyMessage {
    /// Asks a voter to grant one subject.
    Request {
        /// The sender's generation.
        generation: u32,
        /// The subject that the sender wants to hold.
        subject: Subject,
        /// The number of the attempt.
        round: u32,
        /// The epoch that the sender proposes.
        epoch: u64,
    },
    /// The voter grants the subject.
    Granted {
        /// The voter's generation.
        generation: u32,
        /// The subject of the request.
        subject: Subject,
        /// The round of the request.
        round: u32,
        /// The highest epoch known to the voter.
        epoch: u64,
    },
    /// The voter does not grant the subject.
    Rejected {
        /// The subject of the request.
        subject: Subject,
        /// The round of the request.
        round: u32,
        /// Why the subject is not granted.
        reason: LegacyRejectionReason,
    },
    /// The sender no longer holds the subject.
    Release {
        /// The subject that the sender held.
        subject: Subject,
        /// The round in which the subject was granted.
        round: u32,
    },
    /// Asks for the generation and the highest epoch of the receiver: sent by a voter that has
    /// started without any state, by any process that waits for a change of voters to settle, and to
    /// find out whether a voter that does not answer knows only this protocol.
    Recall {
        /// The sender's generation.
        generation: u32,
        /// Whether the sender is a voter that has started and may not vote yet.
        starting: bool,
    },
    /// The answer to [`LegacyMessage::Recall`].
    Remembered {
        /// The sender's generation.
        generation: u32,
        /// Whether the sender is a voter that knows the highest epoch of its electorate.
        established: bool,
        /// The highest epoch known to the sender.
        epoch: u64,
    },
}

/// Why a voter of the legacy protocol does not grant a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LegacyRejectionReason {
    /// Another process holds the subject.
    Held {
        /// The holder.
        by: Identity,
    },
    /// The voter started recently, and may have granted the subject before.
    Silent,
    /// The voter has another generation.
    Generation {
        /// The voter's generation.
        here: u32,
    },
}

impl LegacyMessage {
    /// Encodes this message for [`CHANNEL`].
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("messages are plain values")
    }

    /// Decodes a message; `None` for bytes that are not exactly one message.
    pub fn decode(bytes: &[u8]) -> Option<LegacyMessage> {
        match postcard::take_from_bytes(bytes) {
            Ok((message, [])) => Some(message),
            _ => None,
        }
    }

    /// Returns the rejection of this message if it is a request; `None` for other messages.
    pub fn rejection(&self) -> Option<LegacyMessage> {
        let LegacyMessage::Request { subject, round, .. } = self else {
            return None;
        };
        Some(LegacyMessage::Rejected {
            subject: subject.clone(),
            round: *round,
            reason: LegacyRejectionReason::Generation {
                here: NO_GENERATION,
            },
        })
    }
}
