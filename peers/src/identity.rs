//! The identity of a process, and the opinions of other processes about its state.
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;

/// The longest name of a relay, in bytes.
pub const MAX_NAME_BYTES: usize = 32;

/// A process of the fleet. Each start draws a run number, which distinguishes processes of the same
/// name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Identity {
    /// The relay's name.
    pub name: CompactString,
    /// A random number drawn at the start of the process.
    pub run: u64,
}

impl Identity {
    /// Creates the identity of the process with this name and run number.
    pub fn new(name: &str, run: u64) -> Identity {
        Identity {
            name: name.into(),
            run,
        }
    }
}

impl fmt::Display for Identity {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}/{:08x}", self.name, self.run as u32)
    }
}

/// The state of a member. Of two opinions about the same incarnation, the one whose state comes
/// later in this order takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// The member answers probes.
    Alive,
    /// Some relay got no answer from the member. Other relays may prepare to take over its duties,
    /// but none does so yet.
    Suspect,
    /// The member did not refute a suspicion in time. Others may take over its duties if they hold
    /// the leases.
    Dead,
    /// The member has shut down, or another process has its address. It does not come back.
    Left,
}

impl MemberState {
    /// Returns the name of this state in logs and reports.
    pub fn as_str(self) -> &'static str {
        match self {
            MemberState::Alive => "here",
            MemberState::Suspect => "suspected",
            MemberState::Dead => "gone",
            MemberState::Left => "left",
        }
    }
}

/// An opinion about a member, as relays exchange it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The member.
    pub id: Identity,
    /// The address at which the member receives datagrams.
    pub address: SocketAddr,
    /// The incarnation that the opinion is about. A process raises its own incarnation to refute an
    /// opinion.
    pub incarnation: u32,
    /// The member's state in this opinion.
    pub state: MemberState,
    /// The process that raised the suspicion, if the opinion is one.
    pub accuser: Option<Identity>,
}
