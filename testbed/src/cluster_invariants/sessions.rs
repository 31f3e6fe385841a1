//! Checks that a session is served by one relay and established at one backend.
use super::invariant::{ClusterInvariant, ClusterLimits, ClusterViolation, ORDER_TOLERANCE};
use crate::event_recorder::{
    BackendIndex, Observation, RecordedEvent, RelayIndex, Reply, SessionId,
};
use std::collections::{BTreeMap, BTreeSet};
use thistlecroft::time::Instant;

pub(super) fn check(events: &[RecordedEvent], limits: &ClusterLimits) -> Vec<ClusterViolation> {
    let mut tracker = SessionTracker {
        allows_takeover: limits.allows_takeover,
        ..SessionTracker::default()
    };
    for event in events {
        tracker.replay(event.at, &event.observation);
    }
    tracker.violations
}

/// What the events so far have shown of all sessions, and the violations found in them.
#[derive(Default)]
struct SessionTracker {
    allows_takeover: bool,
    relay_of: BTreeMap<SessionId, RelayIndex>,
    killed_at: BTreeMap<RelayIndex, Instant>,
    /// The number of attempts of each session after its relay was killed.
    takeovers: BTreeMap<SessionId, usize>,
    /// The backends at which each session is established.
    established: BTreeMap<SessionId, BTreeSet<BackendIndex>>,
    violations: Vec<ClusterViolation>,
}

impl SessionTracker {
    fn replay(&mut self, at: Instant, observation: &Observation) {
        match observation {
            Observation::SessionRequested {
                session,
                relay: Some(relay),
                ..
            } => {
                self.relay_of.insert(*session, *relay);
                // A killed relay that accepts clients again has been restarted.
                self.killed_at.remove(relay);
            }
            Observation::RelayKilled { relay } => {
                self.killed_at.insert(*relay, at);
            }
            Observation::AttemptReceived {
                session,
                backend,
                first_byte_at,
            } => self.on_attempt(at, *session, *backend, *first_byte_at),
            Observation::AttemptAnswered {
                session,
                backend,
                reply: Reply::Accepted,
            } => self.on_established(at, *session, *backend),
            Observation::AttemptAbandoned { session, backend }
            | Observation::BackendClosedSession { session, backend } => {
                self.established
                    .entry(*session)
                    .or_default()
                    .remove(backend);
            }
            Observation::BackendStopped { backend } => {
                for backends in self.established.values_mut() {
                    backends.remove(backend);
                }
            }
            _ => {}
        }
    }

    fn report(&mut self, invariant: ClusterInvariant, at: Instant, description: String) {
        self.violations.push(ClusterViolation {
            invariant,
            at,
            description,
        });
    }

    /// Counts an attempt of a session whose relay was killed before as a takeover.
    fn on_attempt(
        &mut self,
        at: Instant,
        session: SessionId,
        backend: BackendIndex,
        first_byte_at: Instant,
    ) {
        let Some(relay) = self.relay_of.get(&session) else {
            return;
        };
        let Some(killed_at) = self
            .killed_at
            .get(relay)
            .filter(|killed_at| first_byte_at > **killed_at + ORDER_TOLERANCE)
        else {
            return;
        };
        let after = first_byte_at.duration_since(*killed_at).as_millis();
        let description = format!(
            "backend {} received an attempt of a session of relay {}, killed {after} ms earlier",
            backend.0, relay.0
        );
        let takeovers = self.takeovers.entry(session).or_default();
        *takeovers += 1;
        if !self.allows_takeover {
            self.report(ClusterInvariant::OneRelayPerSession, at, description);
        } else if *takeovers > 1 {
            let description = format!("{description}, which is not the first takeover");
            self.report(ClusterInvariant::SingleTakeover, at, description);
        }
    }

    fn on_established(&mut self, at: Instant, session: SessionId, backend: BackendIndex) {
        let backends = self.established.entry(session).or_default();
        backends.insert(backend);
        if backends.len() > 1 {
            let numbers: Vec<String> = backends.iter().map(|index| index.0.to_string()).collect();
            let description = format!(
                "one session is established at backends {}",
                numbers.join(" and ")
            );
            self.report(ClusterInvariant::OneBackendPerSession, at, description);
        }
    }
}
