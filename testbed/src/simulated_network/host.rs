//! A simulated process with its own clock.
use std::collections::BTreeSet;
use thistlecroft::time::{Duration, Instant};
use thistlecroft_leases::Leases;
use thistlecroft_peers::{Identity, MemberState, Node};

/// A change of a member's state as one process observed it.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberChange {
    /// When the process observed the change, in simulated time.
    pub at: Instant,
    /// The member whose state changed.
    pub id: Identity,
    /// The member's new state.
    pub state: MemberState,
}

/// A process of the simulated network.
pub struct Host {
    /// The process's name as a member.
    pub name: String,
    /// The process's view of the membership.
    pub node: Node,
    /// The process's leases; `None` if the network runs without leases.
    pub leases: Option<Leases>,
    /// The speed of the process's clock relative to simulated time.
    pub(super) speed: f64,
    /// The time of the process's clock at the start of simulated time.
    pub(super) offset: Duration,
    pub(super) is_paused: bool,
    /// Datagrams that arrived while the process was paused, with the numbers of their senders.
    pub(super) inbox: Vec<(usize, Vec<u8>)>,
    /// Whether the process exists: it runs or is paused.
    pub alive: bool,
    /// The changes of other members' states that the process observed.
    pub member_changes: Vec<MemberChange>,
    /// When the process is due to be woken, in simulated time.
    pub(super) wake_at: Option<Instant>,
}

impl Host {
    /// Returns the time of the process's clock at a simulated time.
    pub fn clock(&self, now: Instant) -> Instant {
        Instant::from_micros(self.offset.as_micros() + (now.as_micros() as f64 * self.speed) as u64)
    }

    /// Returns the simulated time at which the process's clock shows this time.
    pub(super) fn simulated_time(&self, local_time: Instant) -> Instant {
        let elapsed = local_time
            .as_micros()
            .saturating_sub(self.offset.as_micros());
        Instant::from_micros((elapsed as f64 / self.speed).ceil() as u64)
    }

    /// Returns whether the members that the process sees alive, with itself, are exactly these.
    pub fn sees_exactly(&self, names: &BTreeSet<String>) -> bool {
        let alive = self
            .node
            .members()
            .filter(|view| view.state == MemberState::Alive);
        let mut seen: BTreeSet<String> = alive.map(|view| view.id.name.to_string()).collect();
        seen.insert(self.name.clone());
        seen == *names
    }
}
