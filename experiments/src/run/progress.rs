//! What a run looks like while it goes on.
use crate::summary::{Round, rounds};
use thistlecroft::time::Duration;
use thistlecroft_testbed::event_recorder::{Answer, BackendIndex, Observation, RecordedEvent};

/// The latest events in which the last round of load reports is looked for.
const RECENT_EVENTS: usize = 20_000;

/// Totals so far, and the present state.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    /// Since the plan's beginning.
    pub elapsed: Duration,
    /// Of the whole plan.
    pub length: Duration,
    /// Sessions that were accepted.
    pub accepted: usize,
    /// Sessions that were rejected with a promise of no effect.
    pub rejected: usize,
    /// Sessions that failed without such a promise.
    pub failed: usize,
    /// Sessions that were asked to move.
    pub migrated: usize,
    /// Sessions that backends hold.
    pub established: usize,
    /// Each backend; none for one that does not run.
    pub backends: Vec<Option<BackendProgress>>,
    /// Relays that run.
    pub relays: usize,
    /// The faults that began since the last report.
    pub new_faults: Vec<String>,
}

impl Progress {
    /// The end of a printed line: the faults that began, or nothing.
    pub fn new_faults_suffix(&self) -> String {
        if self.new_faults.is_empty() {
            String::new()
        } else {
            format!("  << {}", self.new_faults.join(", "))
        }
    }
}

/// A backend that runs.
#[derive(Clone, Copy, Debug, Default)]
pub struct BackendProgress {
    /// Load over capacity.
    pub load: f64,
    /// What is the matter with it; empty where nothing is.
    pub state: &'static str,
}

impl Progress {
    /// Takes in what was recorded since the last look.
    pub(super) fn take_in(&mut self, events: &[RecordedEvent]) {
        for event in events {
            match &event.observation {
                Observation::Answered { answer, .. } => self.count_answer(answer),
                Observation::Migrated { .. } => self.migrated += 1,
                Observation::BackendStopped { backend } => {
                    self.backends[usize::from(backend.0)] = None
                }
                Observation::BackendStarted { backend, cold } => {
                    self.set_state(*backend, if *cold { "cold" } else { "" });
                }
                Observation::BackendDraining { backend } => self.set_state(*backend, "drains"),
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

    /// Counts the sessions that backends held in the last round of reports.
    pub(super) fn count_established(&mut self, events: &[RecordedEvent]) {
        let recent = &events[events.len().saturating_sub(RECENT_EVENTS)..];
        let rounds = rounds(recent);
        self.established = rounds.values().next_back().map_or(0, Round::sessions);
    }
}
