//! What processes send each other about leases.
use crate::legacy;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use thistlecroft_peers::{Identity, MemberState, Node, View};

/// The channel of these messages. Processes that know only the protocol before (`legacy`) do not
/// read it.
pub const CHANNEL: u8 = 2;

/// What may be held. Bytes, at most `MAX_SUBJECT_BYTES` of them.
pub type Subject = Vec<u8>;

/// The longest subject, in bytes.
pub const MAX_SUBJECT_BYTES: usize = 48;
/// Bytes of subjects in one message, so that it fits a datagram; and how many, so that its answer
/// does.
pub const MAX_UPDATE_BYTES: usize = 880;
pub const MAX_UPDATE_SUBJECTS: usize = 128;
/// Refusals of one answer that name the holder.
pub const MAX_NAMED_HOLDERS: usize = 8;

/// A voter's name for one process's session, unique among all sessions of all runs of that voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SessionToken(pub u64);

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Opens a session (`session: None`) or renews it, and changes what is attached to it.
    Update(Update),
    /// The session stands for another term from now, with all that is attached.
    Updated(Updated),
    /// Nothing of the update was done.
    Refused {
        generation: u32,
        sequence: u32,
        reason: Reason,
    },
    /// The sender ends and acts for nothing any more but for what it names.
    Close {
        sequence: u32,
        session: SessionToken,
        keep: Vec<Subject>,
    },
    /// The sender has started and remembers nothing, or asks how far a change of voters has come.
    Recall { generation: u32, starting: bool },
    /// The highest epoch known here, and whether this is a voter that knows all that was known
    /// before.
    Remembered {
        generation: u32,
        established: bool,
        epoch: u64,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Update {
    pub generation: u32,
    /// Grows with each request of a process; a voter passes over one that comes after a later one.
    pub sequence: u32,
    pub session: Option<SessionToken>,
    /// The highest epoch that the sender has chosen; the voter keeps it.
    pub epoch: u64,
    /// Detached first, then attached.
    pub detach: Vec<Subject>,
    pub attach: Vec<Subject>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Updated {
    pub generation: u32,
    pub sequence: u32,
    pub session: SessionToken,
    /// The highest epoch known to the voter.
    pub epoch: u64,
    /// Positions in `attach` that were not attached, and why. All others are.
    pub refused: Vec<(u16, Reason)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Reason {
    /// Attached to another's session.
    Held { by: Identity },
    /// The same, the holder not named for want of room.
    HeldByAnother,
    /// The voter started lately, and may have granted it before.
    Silent,
    /// Not of the electorate that is asked, or of another one than here.
    Generation { here: u32 },
    /// The voter holds as many subjects or sessions as it may.
    Full,
    /// The session is not known: the voter has restarted, or it lapsed and was dropped.
    UnknownSession,
    /// The voter speaks only the protocol before (`legacy`).
    OlderProtocol,
}

impl Message {
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("messages are plain values")
    }

    /// `None` for bytes that are no message.
    pub fn decode(bytes: &[u8]) -> Option<Message> {
        match postcard::take_from_bytes(bytes) {
            Ok((message, [])) => Some(message),
            _ => None,
        }
    }
}

/// Where a message goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum To {
    /// All processes of that name: there are two during an upgrade.
    Voter(CompactString),
    Process(Identity),
    /// Every `of`-th of the processes that are alive, beginning with the `part`-th.
    Share {
        part: usize,
        of: usize,
    },
}

impl To {
    pub fn processes(&self, node: &Node) -> Vec<Identity> {
        let live = || {
            node.members()
                .filter(|view| view.state <= MemberState::Suspect)
        };
        let id = |view: View<'_>| view.id.clone();
        match self {
            To::Process(id) => vec![id.clone()],
            To::Voter(name) => live()
                .filter(|view| view.id.name == *name)
                .map(id)
                .collect(),
            To::Share { part, of } => live().skip(*part).step_by((*of).max(1)).map(id).collect(),
        }
    }
}

/// Bytes for another process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    pub to: To,
    pub channel: u8,
    pub bytes: Vec<u8>,
}

impl Outgoing {
    pub fn message(to: To, message: &Message) -> Outgoing {
        Outgoing {
            to,
            channel: CHANNEL,
            bytes: message.encode(),
        }
    }

    pub fn legacy(to: To, bytes: Vec<u8>) -> Outgoing {
        Outgoing {
            to,
            channel: legacy::CHANNEL,
            bytes,
        }
    }
}
