//! Who is meant. A process, not a machine: each start draws a run number, so that two processes of
//! one name are told apart.
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;

/// The longest name, in bytes.
pub const LONGEST_NAME: usize = 32;

/// A process of the fleet: its relay's name and a number drawn at its start.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Identity {
    pub name: CompactString,
    pub run: u64,
}

impl Identity {
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

/// What is thought of a process. Of two opinions of one incarnation the later in this order counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It did not answer some of late: others prepare, nobody acts in its place.
    Suspect,
    /// It has not answered for as long as was allowed: what it held may be asked for, by lease.
    Dead,
    /// It said that it leaves, or another process has its address: it does not come back.
    Left,
}

impl MemberState {
    pub fn word(self) -> &'static str {
        match self {
            MemberState::Alive => "here",
            MemberState::Suspect => "suspected",
            MemberState::Dead => "gone",
            MemberState::Left => "left",
        }
    }
}

/// An opinion as it is passed on.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Row {
    pub id: Identity,
    pub at: SocketAddr,
    pub incarnation: u32,
    pub state: MemberState,
    /// Whose suspicion it is.
    pub accuser: Option<Identity>,
}
