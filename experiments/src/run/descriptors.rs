//! How many descriptors a run takes.
use super::target::RunTarget;
use crate::plan::{Action, Plan};
use thistlecroft::time::Instant;
use thistlecroft_testbed::load_generator::LoadCommand;

/// Descriptors of this process besides clients, backends and their connections.
const OWN_DESCRIPTORS: u64 = 300;
/// A backend's listener, its poller and what it opens.
const DESCRIPTORS_PER_BACKEND: u64 = 4;
/// Each client has an end in this process, and so has its backend.
const DESCRIPTORS_PER_SESSION: u64 = 2;

/// What this process, or one of its relays, must be able to hold, whichever needs more.
pub(super) fn needed(plan: &Plan, target: &RunTarget) -> u64 {
    let backends = plan.backends.backends.len() as u64;
    let here = most_sessions(plan) * DESCRIPTORS_PER_SESSION
        + misbehaving_clients(plan)
        + backends * DESCRIPTORS_PER_BACKEND
        + OWN_DESCRIPTORS;
    if target.baseline.is_some() {
        here
    } else {
        here.max(plan.fleet_config.sockets)
    }
}

/// The most sessions at a time, if all set-ups take as long as they should. Those that take much
/// longer are few, or the run shows little anyway.
fn most_sessions(plan: &Plan) -> u64 {
    let mut changes: Vec<(Instant, i64)> = Vec::new();
    for arrival in &plan.arrivals {
        let set_up = plan.traffic.profiles[usize::from(arrival.profile)].handshake_target;
        changes.push((arrival.due, 1));
        changes.push((arrival.due + arrival.lifetime + set_up, -1));
    }
    changes.sort_unstable();
    let mut sessions: i64 = 0;
    let mut most: i64 = 0;
    for (_, change) in changes {
        sessions += change;
        most = most.max(sessions);
    }
    most.unsigned_abs()
}

fn misbehaving_clients(plan: &Plan) -> u64 {
    let counts = plan.actions.iter().map(|scheduled| match scheduled.action {
        Action::Load(LoadCommand::AddMisbehaving(_, count)) => count as u64,
        _ => 0,
    });
    counts.sum()
}
