//! The progress of a run.
use crate::summary::{Round, rounds};
use thistlecroft::time::Duration;
use thistlecroft_testbed::event_recorder::{Answer, BackendIndex, Observation, RecordedEvent};

/// The number of latest events that are searched for the last round of load reports.
const RECENT_EVENTS: usize = 20_000;

/// The totals so far and the present state of a run.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    /// The time since the plan began.
    pub elapsed: Duration,
    /// The length of the whole plan.
    pub length: Duration,
    /// The number of sessions that were accepted.
    pub accepted: usize,
    /// The number of sessions that were rejected with a promise of no effect.
    pub rejected: usize,
    /// The number of sessions that failed without such a promise.
    pub failed: usize,
    /// The number of sessions that were asked to migrate.
    pub migrated: usize,
    /// The number of established sessions.
    pub established: usize,
    /// The backends; `None` for one that does not run.
    pub backends: Vec<Option<BackendProgress>>,
    /// The number of relays that run.
    pub relays: usize,
    /// The faults that began since the last progress report.
    pub new_faults: Vec<String>,
}

impl Progress {
    /// Returns the end of a progress line: the faults that began, or an empty string.
    pub fn new_faults_suffix(&self) -> String {
        if self.new_faults.is_empty() {
            String::new()
        } else {
            format!("  << {}", self.new_faults.join(", "))
        }
    }
}

/// The state of a backend that runs.
#[derive(Clone, Copy, Debug, Default)]
pub struct BackendProgress {
    /// The load divided by the capacity.
    pub load: f64,
    /// The fault or other condition of the backend; empty if it is healthy.
    pub state: &'static str,
}

impl Progress {
    /// Adds the events that were recorded since the last update.
    pub(super) fn add_events(&mut self, events: &[RecordedEvent]) {
        for event in events {
            match &event.observation {
                Observation::Answered { answer, .. } => self.count_answer(answer),
                Observation::Migrated { .. } => self.migrated += 1,
                Observation::BackendStopped { backend } => {
                    self.backends[usize::from(backend.0)] = None
                }
                Observation::BackendStarted { backend, cold } => {
                    self.set_state(*backend, if *cold { "warming up" } else { "" });
                }
                Observation::BackendDraining { backend } => self.set_state(*backend, "draining"),
                Observation::BackendFault {
                    backend,
                    name,
                    active,
                } => {
                    self.set_state(*backend, if *active { name } else { "" });
                }
                Observation::BackendLoad { backend, load, .. } => {
                    let progress = self.backends.get_mut(usize::from(backend.0));
                    if let Some(Some(backend)) = progress {
                        backend.load = *load;
                    }
                }
                _ => {}
            }
        }
    }

    fn count_answer(&mut self, answer: &Answer) {
        match answer {
            Answer::Accepted => self.accepted += 1,
            Answer::Rejected(_) => self.rejected += 1,
            Answer::Failed => self.failed += 1,
        }
    }

    fn set_state(&mut self, backend: BackendIndex, state: &'static str) {
        if let Some(backend) = self.backends.get_mut(usize::from(backend.0)) {
            let load = backend.map_or(0.0, |backend| backend.load);
            *backend = Some(BackendProgress { load, state });
        }
    }

    /// Counts the sessions that were established at backends in the last round of load reports.
    pub(super) fn count_established(&mut self, events: &[RecordedEvent]) {
        let recent = &events[events.len().saturating_sub(RECENT_EVENTS)..];
        let rounds = rounds(recent);
        self.established = rounds.values().next_back().map_or(0, Round::sessions);
    }
}
