//! One relay of a run: its process, its predecessors, and the options for starting it again.
use std::path::Path;
use thistlecroft::time::{Duration, Instant};
use thistlecroft_testbed::relay_process::{FleetConfig, RelayOptions, RelayProcess};
use thistlecroft_testbed::traffic::scattered_id;

/// A relay, whether it runs or not.
pub(super) struct ManagedRelay {
    pub(super) process: Option<RelayProcess>,
    pub(super) options: RelayOptions,
    pub(super) program: Vec<String>,
    /// The time by which a relay that shuts down must have ended.
    pub(super) stop_deadline: Option<Instant>,
    /// The time after its shutdown at which the relay starts again.
    pub(super) restart_after: Option<Duration>,
    pub(super) starts: u64,
    /// The index of the relay's operator configuration in the scenario.
    pub(super) operator_config: usize,
    /// The table `peers` of the relay's operator configuration.
    pub(super) peers_table: String,
    /// Earlier processes of this relay that shut down while their successors run.
    pub(super) predecessors: Vec<Predecessor>,
}

/// A relay process that shuts down while its successor runs.
pub(super) struct Predecessor {
    pub(super) process: RelayProcess,
    pub(super) stop_deadline: Instant,
}

/// How a relay process has ended.
pub(super) enum RelayEnd {
    /// The process shut down as requested.
    Stopped { restart_after: Option<Duration> },
    /// The process ended without a request, or with a failure.
    Crashed(std::process::ExitStatus),
    /// The process did not shut down in time and was killed.
    Overdue,
}

impl ManagedRelay {
    /// Starts the next process of this relay, with a new seed.
    pub(super) fn spawn_next(
        &mut self,
        config: &FleetConfig,
        folder: &Path,
    ) -> Result<RelayProcess, impl ToString + use<>> {
        self.starts += 1;
        self.options.seed = scattered_id(self.options.seed.wrapping_add(self.starts));
        RelayProcess::start(&self.program, config, &self.options, folder)
    }

    /// Checks whether the process has ended, and kills it if it is past its deadline.
    pub(super) fn check(&mut self, now: Instant) -> Option<RelayEnd> {
        let process = self.process.as_mut()?;
        let end = match (process.try_wait(), self.stop_deadline) {
            (None, None) => return None,
            (None, Some(deadline)) if now < deadline => return None,
            (None, Some(_)) => {
                process.kill();
                RelayEnd::Overdue
            }
            (Some(status), deadline) => {
                let restart_after = self.restart_after.take();
                if deadline.is_some() && status.success() {
                    RelayEnd::Stopped { restart_after }
                } else {
                    RelayEnd::Crashed(status)
                }
            }
        };
        self.process = None;
        self.stop_deadline = None;
        Some(end)
    }

    /// Removes predecessors that have ended and kills those past their deadlines. Returns an error
    /// message for each that did not shut down cleanly.
    pub(super) fn check_predecessors(&mut self, number: usize, now: Instant) -> Vec<String> {
        let mut errors = Vec::new();
        self.predecessors
            .retain_mut(|predecessor| match predecessor.process.try_wait() {
                None if now < predecessor.stop_deadline => true,
                None => {
                    predecessor.process.kill();
                    errors.push(format!(
                        "predecessor of relay {number} did not shut down in time and was killed"
                    ));
                    false
                }
                Some(status) => {
                    if !status.success() {
                        errors.push(format!("predecessor of relay {number} crashed: {status}"));
                    }
                    false
                }
            });
        errors
    }
}
