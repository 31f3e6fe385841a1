//! The messages between a run and its processes of hollow relays. Each message is a line of JSON on
//! the standard input or output of the process.
use super::config::ScaleConfig;
use super::meter::Traffic;
use super::ownership_observer::Holding;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A command to a process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum Command {
    /// Opens sockets for these members; answered by `Bound`.
    Bind {
        config: Box<ScaleConfig>,
        members: Vec<usize>,
    },
    /// Starts the members whose sockets `Bind` has opened.
    Start { seeds: Vec<SocketAddr> },
    /// Kills these members, without a message to the others.
    Kill { members: Vec<usize> },
    /// Ends the phase; answered by `Measured`.
    Measure,
    /// Ends the process; answered by `Ended`, its last answer.
    Stop,
}

/// A message from a process: a reply to a command, or a status or failure report.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum Answer {
    Bound {
        addresses: Vec<SocketAddr>,
    },
    Status(Status),
    Measured {
        traffic: Vec<(usize, Traffic)>,
    },
    Ended {
        holdings: Vec<Holding>,
    },
    Failed {
        #[serde(rename = "why")]
        reason: String,
    },
}

/// The state of one process, reported several times per second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct Status {
    /// Number of live members in this process.
    #[serde(rename = "living")]
    pub live_members: usize,
    /// The smallest number of members that a live member of this process sees as alive or
    /// suspected, itself included.
    pub sees_least: usize,
    /// The greatest number of members that a live member of this process sees as alive or
    /// suspected, itself included.
    pub sees_most: usize,
    /// Number of subjects that the live members of this process own.
    pub owned: usize,
    /// Longest delay of a timer so far, in microseconds.
    pub late_us: u64,
}
