//! Encoded messages on their way to other processes.
use crate::legacy::{self, LegacyMessage};
use crate::message::{CHANNEL, Message};
use compact_str::CompactString;
use thistlecroft_peers::{Identity, MemberState, MemberView, Node};

/// The recipients of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum To {
    /// All processes of that name: there are two during an upgrade.
    Voter(CompactString),
    /// One process.
    Process(Identity),
    /// Every `of`-th of the live processes, beginning with the `part`-th.
    Share {
        /// The index of the first.
        part: usize,
        /// The distance to the next.
        of: usize,
    },
}

impl To {
    /// The recipients among the members that `node` knows.
    pub fn processes(&self, node: &Node) -> Vec<Identity> {
        let live = || {
            let members = node.members();
            members.filter(|view| view.state <= MemberState::Suspect)
        };
        let id = |view: MemberView<'_>| view.id.clone();
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

/// Bytes for other processes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The recipients.
    pub to: To,
    /// The channel of [`Node::send_message`].
    pub channel: u8,
    /// The encoded message.
    pub bytes: Vec<u8>,
}

impl Outgoing {
    /// Encodes a message.
    pub fn new(to: To, message: &Message) -> Outgoing {
        Outgoing {
            to,
            channel: CHANNEL,
            bytes: message.encode(),
        }
    }

    /// Encodes a message of the legacy protocol.
    pub fn legacy(to: To, message: &LegacyMessage) -> Outgoing {
        Outgoing {
            to,
            channel: legacy::CHANNEL,
            bytes: message.encode(),
        }
    }
}
