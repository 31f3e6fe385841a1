//! A process of a simulated network, with a clock of its own.
use std::collections::BTreeSet;
use thistlecroft::time::{Duration, Instant};
use thistlecroft_leases::Leases;
use thistlecroft_peers::{Identity, MemberState, Node};

/// A change of a member's state as one process saw it.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberChange {
    /// When it was seen, in simulated time.
    pub at: Instant,
    /// The member.
    pub id: Identity,
    /// Its new state.
    pub state: MemberState,
}

/// A process of the network.
pub struct Host {
    /// Its name among the members.
    pub name: String,
    /// Its membership.
    pub node: Node,
    /// Its leases, if it has any.
    pub leases: Option<Leases>,
    /// The speed of its clock against simulated time.
    pub(super) speed: f64,
    /// What its clock shows at the start of simulated time.
    pub(super) offset: Duration,
    pub(super) is_paused: bool,
    /// Datagrams that came while it was paused, with their senders.
    pub(super) inbox: Vec<(usize, Vec<u8>)>,
    /// The process runs, or is paused.
    pub alive: bool,
    /// The changes of other members' states that it saw, in simulated time.
    pub member_changes: Vec<MemberChange>,
    /// When it is to be woken, in simulated time.
    pub(super) wake_at: Option<Instant>,
}

impl Host {
    /// What its clock shows at a simulated time.
    pub fn clock(&self, now: Instant) -> Instant {
        Instant::from_micros(self.offset.as_micros() + (now.as_micros() as f64 * self.speed) as u64)
    }

    /// When its clock shows this, in simulated time.
    pub(super) fn simulated_time(&self, own: Instant) -> Instant {
        let passed = own.as_micros().saturating_sub(self.offset.as_micros());
        Instant::from_micros((passed as f64 / self.speed).ceil() as u64)
    }

    /// Whether it sees exactly these alive, itself among them.
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
