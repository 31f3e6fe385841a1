//! What the run and its processes of hollow relays say to each other: a line of JSON each, on
//! standard input and output.
use super::config::ScaleConfig;
use super::meter::Traffic;
use super::ownership_observer::Holding;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum Command {
    /// Open sockets for these members; answered by `Bound`.
    Bind {
        config: Box<ScaleConfig>,
        members: Vec<usize>,
    },
    Start {
        seeds: Vec<SocketAddr>,
    },
    /// These members end without a word.
    Kill {
        members: Vec<usize>,
    },
    /// The phase ends; answered by `Measured`.
    Measure,
    /// Answered by `Ended`, the last that is said.
    Stop,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum Answer {
    Bound { addresses: Vec<SocketAddr> },
    Status(Status),
    Measured { traffic: Vec<(usize, Traffic)> },
    Ended { holdings: Vec<Holding> },
    Failed { why: String },
}

/// Told a few times a second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct Status {
    /// Members that live here; and how many each takes for alive or suspected, itself with them,
    /// least and most.
    pub living: usize,
    pub sees_least: usize,
    pub sees_most: usize,
    /// Subjects owned here.
    pub owned: usize,
    /// By how much a timer was late at worst so far.
    pub late_us: u64,
}
