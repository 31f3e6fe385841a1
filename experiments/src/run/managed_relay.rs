//! One relay of a run: its process, its predecessors, and how it is started again.
use std::path::Path;
use thistlecroft::time::{Duration, Instant};
use thistlecroft_testbed::relay_process::{FleetConfig, RelayOptions, RelayProcess};
use thistlecroft_testbed::traffic::scattered_id;

/// A relay, whether or not it runs.
pub(super) struct ManagedRelay {
    pub(super) process: Option<RelayProcess>,
    pub(super) options: RelayOptions,
    pub(super) program: Vec<String>,
    /// While it shuts down: when it has to have ended.
    pub(super) stop_deadline: Option<Instant>,
    /// After its shutdown it starts again after this.
    pub(super) restart_after: Option<Duration>,
    pub(super) starts: u64,
    /// Which of the scenario's operator configurations it has.
    pub(super) operator_config: usize,
    /// The peers' table of its operator configuration.
    pub(super) peers_table: String,
    /// Processes of it that shut down beside their successors.
    pub(super) predecessors: Vec<Predecessor>,
}

/// A process that shuts down beside its successor.
pub(super) struct Predecessor {
    pub(super) process: RelayProcess,
    pub(super) stop_deadline: Instant,
}

/// How a relay that ran is found to be.
pub(super) enum RelayEnd {
    /// It shut down as it was asked to.
    Stopped { restart_after: Option<Duration> },
    /// It ended by itself, or badly.
    Crashed(std::process::ExitStatus),
    /// It did not shut down in time and was killed.
    Overdue,
}

impl ManagedRelay {
    /// Starts a process with a seed of its own.
    pub(super) fn spawn_next(
        &mut self,
        config: &FleetConfig,
        folder: &Path,
    ) -> Result<RelayProcess, impl ToString + use<>> {
        self.starts += 1;
        self.options.seed = scattered_id(self.options.seed.wrapping_add(self.starts));
        RelayProcess::start(&self.program, config, &self.options, folder)
    }

    /// Looks whether the process has ended; one that is overdue is killed.
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

    /// Lets predecessors go that have ended, and kills those that are overdue; a line for each that
    /// did not end well.
    pub(super) fn check_predecessors(&mut self, number: usize, now: Instant) -> Vec<String> {
        let mut faults = Vec::new();
        self.predecessors
            .retain_mut(|predecessor| match predecessor.process.try_wait() {
                None if now < predecessor.stop_deadline => true,
                None => {
                    predecessor.process.kill();
                    faults.push(format!(
                        "relay {number} did not stop in time beside its successor"
                    ));
                    false
                }
                Some(status) => {
                    if !status.success() {
                        faults.push(format!(
                            "relay {number} crashed beside its successor: {status}"
                        ));
                    }
                    false
                }
            });
        faults
    }
}
