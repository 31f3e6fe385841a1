//! The number of descriptors that a run needs.
use super::target::RunTarget;
use crate::plan::{Action, Plan};
use thistlecroft::time::Instant;
use thistlecroft_testbed::load_generator::LoadCommand;

/// Descriptors of this process besides those of clients, backends and their connections.
const OWN_DESCRIPTORS: u64 = 300;
/// Descriptors of a backend's listener, its poller and what it opens.
const DESCRIPTORS_PER_BACKEND: u64 = 4;
/// The client's end and the backend's end of a session are both in this process.
const DESCRIPTORS_PER_SESSION: u64 = 2;

/// Returns the number of descriptors that this process or one of its relays needs, whichever needs
/// more.
pub(super) fn needed(plan: &Plan, target: &RunTarget) -> u64 {
    let backends = plan.backends.backends.len() as u64;
    let own = max_sessions(plan) * DESCRIPTORS_PER_SESSION
        + misbehaving_clients(plan)
        + backends * DESCRIPTORS_PER_BACKEND
        + OWN_DESCRIPTORS;
    if target.baseline.is_some() {
        own
    } else {
        own.max(plan.fleet_config.sockets)
    }
}

/// Returns the maximum number of concurrent sessions if each set-up takes its handshake target.
/// In a run with usable results, few set-ups take much longer.
fn max_sessions(plan: &Plan) -> u64 {
    let mut changes: Vec<(Instant, i64)> = Vec::new();
    for arrival in &plan.arrivals {
        let setup_time = plan.traffic.profiles[usize::from(arrival.profile)].handshake_target;
        changes.push((arrival.due, 1));
        changes.push((arrival.due + arrival.lifetime + setup_time, -1));
    }
    changes.sort_unstable();
    let mut sessions: i64 = 0;
    let mut max: i64 = 0;
    for (_, change) in changes {
        sessions += change;
        max = max.max(sessions);
    }
    max.unsigned_abs()
}

fn misbehaving_clients(plan: &Plan) -> u64 {
    let counts = plan.actions.iter().map(|scheduled| match scheduled.action {
        Action::Load(LoadCommand::AddMisbehaving(_, count)) => count as u64,
        _ => 0,
    });
    counts.sum()
}
