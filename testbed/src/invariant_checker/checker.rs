//! The state of a check and the reporting of violations.
use super::history::{BackendHistory, Excuses, FORWARDING_LIMIT, SessionHistory};
use super::result::{CheckResult, DeploymentProperties, Invariant, Violation};
use super::timeline::{Subject, describe};
use crate::event_recorder::{BackendIndex, Observation, RecordedEvent, SessionId};
use std::collections::BTreeMap;
use thistlecroft::time::Instant;

/// The maximum number of events in the timeline of a violation.
const MAX_TIMELINE_EVENTS: usize = 14;

/// Checks the recorded events of one run.
pub(super) struct InvariantChecker<'a> {
    pub(super) deployment: &'a DeploymentProperties,
    events: &'a [RecordedEvent],
    pub(super) sessions: BTreeMap<SessionId, SessionHistory>,
    pub(super) backends: BTreeMap<BackendIndex, BackendHistory>,
    pub(super) excuses: Excuses,
    pub(super) result: CheckResult,
    /// The time of the last event.
    pub(super) end: Instant,
    /// Whether clients connect to relays. Without relays, clients may send invalid lines to
    /// backends.
    pub(super) has_relays: bool,
}

impl<'a> InvariantChecker<'a> {
    pub(super) fn new(events: &'a [RecordedEvent], deployment: &'a DeploymentProperties) -> Self {
        let mut checker = InvariantChecker {
            deployment,
            events,
            sessions: BTreeMap::new(),
            backends: BTreeMap::new(),
            excuses: Excuses::default(),
            result: CheckResult::default(),
            end: events.last().map_or(Instant::default(), |event| event.at),
            has_relays: false,
        };
        for event in events {
            checker.collect(event.at, &event.observation);
        }
        checker
    }

    /// Collects the sessions and everything that excuses a violation.
    fn collect(&mut self, at: Instant, observation: &Observation) {
        match observation {
            Observation::SessionRequested {
                session,
                relay,
                listener,
                timeout,
                ..
            } => {
                self.has_relays |= relay.is_some();
                let history = SessionHistory::new(at, *timeout, *relay, *listener);
                self.sessions.insert(*session, history);
            }
            Observation::BackendClosedSession { session, .. } => {
                if let Some(history) = self.sessions.get_mut(session) {
                    history.closed_by_backend_at = Some(at);
                }
            }
            Observation::BackendDelayedMessage {
                session, waited, ..
            } => {
                if let Some(history) = self.sessions.get_mut(session) {
                    history.backend_delay = history.backend_delay.max(*waited);
                }
            }
            Observation::BackendPaused { backend, paused } => {
                self.backend(*backend).paused.set(*paused, at);
            }
            Observation::BackendFault {
                backend, active, ..
            } => self.backend(*backend).faulty.set(*active, at),
            Observation::BackendStopped { backend } => self.backend(*backend).faulty.begin(at),
            Observation::BackendStarted { backend, .. } => self.backend(*backend).faulty.end(at),
            Observation::RelayPaused { relay, paused } => {
                let intervals = self.excuses.paused.entry(*relay).or_default();
                intervals.set(*paused, at);
            }
            Observation::RelayKilled { relay } => {
                self.excuses.killed_at.entry(*relay).or_default().push(at);
            }
            Observation::TestbedDelayed { delay } => {
                self.excuses.testbed_delays.push((at, *delay));
            }
            _ => {}
        }
    }

    pub(super) fn backend(&mut self, index: BackendIndex) -> &mut BackendHistory {
        self.backends.entry(index).or_default()
    }

    /// Counts a violation and keeps the earliest one of each invariant with its timeline.
    pub(super) fn report(
        &mut self,
        invariant: Invariant,
        at: Instant,
        description: impl Into<String>,
        subject: Subject,
    ) {
        let index = invariant.number() - 1;
        self.result.violation_counts[index] += 1;
        let first = &mut self.result.first_violations[index];
        if first.as_ref().is_some_and(|first| first.at <= at) {
            return;
        }
        let related: Vec<&RecordedEvent> = self
            .events
            .iter()
            .filter(|event| subject.is_related(&event.observation))
            .collect();
        // Keeps only the last events of a long timeline, which led to the violation.
        let end = related
            .iter()
            .filter(|event| event.at <= at + FORWARDING_LIMIT)
            .count();
        let begin = end.saturating_sub(MAX_TIMELINE_EVENTS);
        *first = Some(Violation {
            invariant: invariant.number(),
            at,
            description: description.into(),
            timeline: related[begin..end].iter().copied().map(describe).collect(),
        });
    }
}
