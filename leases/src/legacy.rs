//! The lease protocol before sessions, as far as a process needs it during an upgrade: to tell an
//! older process of the own name that it votes no more, to take over the highest epoch, and to
//! refuse older requests in words that they understand. Nothing is ever granted in it.
use crate::message::Subject;
use serde::{Deserialize, Serialize};
use thistlecroft_peers::Identity;

/// The channel of the protocol before.
pub const CHANNEL: u8 = 1;

/// The messages of the protocol before, in its order on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LegacyMessage {
    Ask {
        generation: u32,
        subject: Subject,
        round: u32,
        epoch: u64,
    },
    Promise {
        generation: u32,
        subject: Subject,
        round: u32,
        epoch: u64,
    },
    Refuse {
        subject: Subject,
        round: u32,
        why: LegacyReason,
    },
    Release {
        subject: Subject,
        round: u32,
    },
    Recall {
        generation: u32,
        starts: bool,
    },
    Remembered {
        generation: u32,
        established: bool,
        epoch: u64,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LegacyReason {
    Held { by: Identity },
    Silent,
    Generation { here: u32 },
}

/// The generation that older requests are refused with: none has it, and an older process shows it
/// to its operator.
pub const NO_GENERATION: u32 = 0;

impl LegacyMessage {
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("messages are plain values")
    }

    pub fn decode(bytes: &[u8]) -> Option<LegacyMessage> {
        match postcard::take_from_bytes(bytes) {
            Ok((message, [])) => Some(message),
            _ => None,
        }
    }

    /// The refusal of an older request; `None` for other messages.
    pub fn refusal(&self) -> Option<LegacyMessage> {
        let LegacyMessage::Ask { subject, round, .. } = self else {
            return None;
        };
        let why = LegacyReason::Generation {
            here: NO_GENERATION,
        };
        Some(LegacyMessage::Refuse {
            subject: subject.clone(),
            round: *round,
            why,
        })
    }
}
