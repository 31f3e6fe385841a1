//! The identity of a process, and what other processes think of it.
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;

/// The longest name, in bytes.
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
    /// The process with this name and run number.
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

/// The state of a member. Of two opinions about the same incarnation, the one with the later state
/// in this order counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// It answers.
    Alive,
    /// Some relay got no answer from it. Others prepare, but nobody acts in its place.
    Suspect,
    /// It did not refute a suspicion in time. Its duties may be taken over, by lease.
    Dead,
    /// It has shut down, or another process has its address. It does not come back.
    Left,
}

impl MemberState {
    /// The name of this state in logs and reports.
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
    /// Where it receives datagrams.
    pub address: SocketAddr,
    /// The incarnation that the opinion is about. A process raises its own to refute an opinion.
    pub incarnation: u32,
    /// The opinion.
    pub state: MemberState,
    /// Who raised the suspicion, if it is one.
    pub accuser: Option<Identity>,
}
