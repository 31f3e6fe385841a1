//! Checks the limits over all relays: established sessions, and attempts in a second.
use super::invariant::{ClusterInvariant, ClusterLimits, ClusterViolation};
use crate::event_recorder::{Answer, Observation, RecordedEvent, SessionId};
use std::collections::BTreeSet;
use thistlecroft::time::{Duration, Instant};

const RATE_WINDOW: Duration = Duration::from_millis(1_000);

pub(super) fn check(events: &[RecordedEvent], limits: &ClusterLimits) -> Vec<ClusterViolation> {
    let mut violations = Vec::new();
    if let Some((max_sessions, tolerance)) = limits.max_sessions {
        violations.extend(check_sessions(events, max_sessions, tolerance));
    }
    if let Some(max_attempts) = limits.max_attempts_per_second {
        violations.extend(check_attempts(events, max_attempts));
    }
    violations
}

/// Checks that the number of established sessions exceeds its limit for no longer than the
/// tolerance.
fn check_sessions(
    events: &[RecordedEvent],
    max_sessions: usize,
    tolerance: Duration,
) -> Vec<ClusterViolation> {
    let mut violations = Vec::new();
    let mut established: BTreeSet<SessionId> = BTreeSet::new();
    let mut exceeded_since: Option<Instant> = None;
    for RecordedEvent { at, observation } in events {
        // Checks before applying the event: if it ends the excess only after the tolerance, that is
        // a violation too.
        if let Some(since) = exceeded_since
            && at.duration_since(since) > tolerance
        {
            let sessions = established.len();
            violations.push(ClusterViolation {
                invariant: ClusterInvariant::SessionLimit,
                at: *at,
                description: format!(
                    "{sessions} sessions are established, the limit is {max_sessions}"
                ),
            });
            exceeded_since = Some(*at);
        }
        match observation {
            Observation::Answered {
                session,
                answer: Answer::Accepted,
            } => {
                established.insert(*session);
            }
            Observation::Migrated { session }
            | Observation::SessionClosed { session }
            | Observation::ConnectionLost { session } => {
                established.remove(session);
            }
            _ => {}
        }
        exceeded_since = (established.len() > max_sessions).then(|| exceeded_since.unwrap_or(*at));
    }
    violations
}

fn check_attempts(events: &[RecordedEvent], max_attempts: usize) -> Vec<ClusterViolation> {
    let mut attempts: Vec<Instant> = events
        .iter()
        .filter_map(|event| match event.observation {
            Observation::AttemptReceived { first_byte_at, .. } => Some(first_byte_at),
            _ => None,
        })
        .collect();
    attempts.sort_unstable();
    let mut violations = Vec::new();
    for (index, at) in attempts.iter().enumerate() {
        let first = attempts.partition_point(|other| *other + RATE_WINDOW <= *at);
        let count = index + 1 - first;
        if count > max_attempts {
            violations.push(ClusterViolation {
                invariant: ClusterInvariant::AttemptRate,
                at: *at,
                description: format!("{count} attempts in a second, the limit is {max_attempts}"),
            });
        }
    }
    violations
}
