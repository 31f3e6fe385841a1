//! Encoded messages on their way to other processes.
use crate::legacy::{self, LegacyMessage};
use crate::message::{CHANNEL, Message};
use compact_str::CompactString;
use thistlecroft_peers::{Identity, MemberState, MemberView, Node};

/// The recipients of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Recipients {
    /// All live processes with this name. There may be two of them during an upgrade.
    Voter(CompactString),
    /// One process.
    Process(Identity),
    /// Every `count`-th of the live processes, starting with the one at `index`.
    Share {
        /// The index of the first recipient.
        index: usize,
        /// The number of shares, which is the distance from one recipient to the next.
        count: usize,
    },
}

impl Recipients {
    /// Returns the recipients among the members that `node` knows.
    pub fn processes(&self, node: &Node) -> Vec<Identity> {
        let live = || {
            let members = node.members();
            members.filter(|view| view.state <= MemberState::Suspect)
        };
        let id = |view: MemberView<'_>| view.id.clone();
        match self {
            Recipients::Process(id) => vec![id.clone()],
            Recipients::Voter(name) => live()
                .filter(|view| view.id.name == *name)
                .map(id)
                .collect(),
            Recipients::Share { index, count } => live()
                .skip(*index)
                .step_by((*count).max(1))
                .map(id)
                .collect(),
        }
    }
}

/// An encoded message for other processes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The recipients.
    pub to: Recipients,
    /// The channel of [`Node::send_message`].
    pub channel: u8,
    /// The encoded message.
    pub bytes: Vec<u8>,
}

impl Outgoing {
    /// Encodes a message.
    pub fn new(to: Recipients, message: &Message) -> Outgoing {
        Outgoing {
            to,
            channel: CHANNEL,
            bytes: message.encode(),
        }
    }

    /// Encodes a message of the legacy protocol.
    pub fn legacy(to: Recipients, message: &LegacyMessage) -> Outgoing {
        Outgoing {
            to,
            channel: legacy::CHANNEL,
            bytes: message.encode(),
        }
    }
}
