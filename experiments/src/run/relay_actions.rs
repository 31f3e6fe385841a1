//! Actions of a plan on relays.
use super::director::{Director, FollowUp};
use super::managed_relay::{Predecessor, RelayEnd};
use crate::plan::Action;
use thistlecroft::time::{Duration, Instant};
use thistlecroft_testbed::endpoint_list::endpoint_name;
use thistlecroft_testbed::event_recorder::{BackendIndex, Observation, RelayIndex};
use thistlecroft_testbed::loopback::free_address;
use thistlecroft_testbed::relay_observer::RelayObserver;
use thistlecroft_testbed::relay_process::{ADMIN_COMMAND_TIMEOUT, RelayProcess};
use thistlecroft_testbed::socket_holder::send_admin_command;

/// The time for which clients are still sent to a relay that shuts down as planned.
const SHUTDOWN_NOTICE: Duration = Duration::from_millis(300);
/// The subject of the lease that observers ask for.
pub(super) const OBSERVED_LEASE: &str = "turn";

impl Director<'_> {
    /// Executes an action on a relay; ignores actions on other parts of the testbed.
    pub(super) fn execute_relay_action(&mut self, action: &Action) {
        match *action {
            Action::Kill(relay, restart_after) => self.kill(relay, restart_after),
            Action::Stop(relay, restart_after) => self.stop(relay, restart_after),
            Action::Leave(relay) => self.stop(relay, None),
            Action::Reload(relay) => {
                if let Some(process) = self.process(relay) {
                    process.send_hangup();
                }
            }
            Action::SwapOperatorConfig(relay) => self.swap_operator_config(relay),
            Action::HotRestart(relay) => self.hot_restart(relay),
            Action::Ban(relay, backend) => self.ban(relay, backend),
            Action::Unban(relay, backend) => self.unban(relay, backend),
            Action::Pause(relay) => self.pause(relay),
            Action::Resume(relay) => self.resume(relay),
            Action::Start(relay) => {
                let number = usize::from(relay.0);
                if self.relays.get(number).is_some() && self.process(relay).is_none() {
                    self.start_relay(number);
                }
            }
            Action::Backends(_) | Action::Load(_) | Action::Links { .. } => {}
        }
    }

    /// Returns the process of a relay, if it runs.
    fn process(&self, relay: RelayIndex) -> Option<&RelayProcess> {
        self.relays.get(usize::from(relay.0))?.process.as_ref()
    }

    /// Returns the time for which clients are still sent to a relay that has died.
    fn failover_delay(&self) -> Duration {
        self.scenario.relays.failover_delay.0
    }

    fn kill(&mut self, relay: RelayIndex, restart_after: Option<Duration>) {
        let number = usize::from(relay.0);
        let managed = self.relays.get_mut(number);
        let Some(mut process) = managed.and_then(|managed| managed.process.take()) else {
            return;
        };
        self.record(Observation::RelayKilled { relay });
        process.kill();
        let failover_delay = self.failover_delay();
        if restart_after.is_none_or(|restart_after| restart_after > failover_delay) {
            self.schedule(failover_delay, FollowUp::SetEndpointEnabled(number, false));
        }
        if let Some(restart_after) = restart_after {
            self.schedule(restart_after, FollowUp::StartRelay(number));
        }
    }

    fn stop(&mut self, relay: RelayIndex, restart_after: Option<Duration>) {
        let number = usize::from(relay.0);
        let deadline = self.stop_deadline();
        let Some(managed) = self.relays.get_mut(number) else {
            return;
        };
        let Some(process) = &managed.process else {
            return;
        };
        process.request_stop();
        managed.stop_deadline = Some(deadline);
        managed.restart_after = restart_after;
        self.record(Observation::RelayStopRequested { relay });
        self.schedule(SHUTDOWN_NOTICE, FollowUp::SetEndpointEnabled(number, false));
    }

    fn swap_operator_config(&mut self, relay: RelayIndex) {
        let texts = &self.scenario.relays.operator_configs;
        let Some(managed) = self.relays.get_mut(usize::from(relay.0)) else {
            return;
        };
        if managed.options.operator_config.is_none() {
            return;
        }
        managed.operator_config = (managed.operator_config + 1) % texts.len();
        let text = texts[managed.operator_config].clone() + &managed.peers_table;
        managed.options.operator_config = Some(text.clone());
        let Some(process) = &managed.process else {
            return;
        };
        if let Err(error) = process.replace_operator_config(&text) {
            let text = format!(
                "operator configuration of relay {} can't be written: {error}",
                relay.0
            );
            self.record(Observation::Note { text });
        }
    }

    /// Starts a successor of a relay process. The successor gets another admin port, because the
    /// predecessor keeps its own until it ends.
    fn hot_restart(&mut self, relay: RelayIndex) {
        let number = usize::from(relay.0);
        let managed = &mut self.relays[number];
        if managed.process.is_none() || managed.stop_deadline.is_some() {
            return;
        }
        let admin = free_address();
        let successor = admin.map_err(|error| error.to_string()).and_then(|admin| {
            managed.options.admin = Some(admin);
            managed
                .spawn_next(&self.plan.fleet_config, self.folder)
                .map_err(|error| error.to_string())
        });
        match successor {
            Ok(successor) => self.take_over(relay, successor),
            Err(error) => self.record_failure(error),
        }
    }

    fn take_over(&mut self, relay: RelayIndex, successor: RelayProcess) {
        let stop_deadline = self.stop_deadline();
        if let (Some(_), Some(admin)) = (&self.network, successor.admin) {
            let observer = self.observe(relay, admin);
            self.observers.push(observer);
        }
        let managed = &mut self.relays[usize::from(relay.0)];
        if let Some(process) = managed.process.replace(successor) {
            process.request_stop();
            managed.predecessors.push(Predecessor {
                process,
                stop_deadline,
            });
        }
        self.record(Observation::RelayStarted { relay });
        self.record(Observation::RelayStopRequested { relay });
    }

    /// Opens an observer at a relay's admin port.
    pub(super) fn observe(&self, relay: RelayIndex, admin: std::net::SocketAddr) -> RelayObserver {
        let lease = (self.scenario.relays.voters > 0).then_some(OBSERVED_LEASE);
        RelayObserver::open(relay, admin, lease, self.clock, self.recorder.clone())
    }

    /// Bans a backend at a relay. The ban is recorded after the relay has confirmed it, because it
    /// must hold only from then on.
    fn ban(&mut self, relay: RelayIndex, backend: BackendIndex) {
        if self.send_ban_command(relay, backend, "DISABLE") {
            self.record(Observation::BackendBanned {
                relay,
                backend,
                banned: true,
            });
        }
    }

    /// Lifts a ban. This is recorded before the command is sent, because the ban may end at any
    /// time from then on.
    fn unban(&mut self, relay: RelayIndex, backend: BackendIndex) {
        if self
            .process(relay)
            .is_none_or(|process| process.admin.is_none())
        {
            return;
        }
        self.record(Observation::BackendBanned {
            relay,
            backend,
            banned: false,
        });
        self.send_ban_command(relay, backend, "ENABLE");
    }

    /// Sends a ban command to a relay; returns true if the relay confirms it.
    fn send_ban_command(
        &mut self,
        relay: RelayIndex,
        backend: BackendIndex,
        command: &str,
    ) -> bool {
        let Some(admin) = self.process(relay).and_then(|process| process.admin) else {
            return false;
        };
        let line = format!("{command} {}", endpoint_name(backend));
        match send_admin_command(admin, &line, ADMIN_COMMAND_TIMEOUT) {
            Ok(answer) if answer.starts_with("200") => return true,
            Ok(answer) => self.record_failure(format!(
                "relay {} rejected {command} of backend {}: {answer}",
                relay.0, backend.0
            )),
            Err(error) => self.record_failure(format!(
                "relay {} did not answer {command}: {error}",
                relay.0
            )),
        }
        false
    }

    /// Pauses a relay. This is recorded before the process stops, so that the recorded pause covers
    /// the whole time in which the relay does nothing.
    fn pause(&mut self, relay: RelayIndex) {
        if self.process(relay).is_none() {
            return;
        }
        self.record(Observation::RelayPaused {
            relay,
            paused: true,
        });
        if let Some(process) = self.process(relay) {
            process.set_paused(true);
        }
        let disable = FollowUp::SetEndpointEnabled(usize::from(relay.0), false);
        self.schedule(self.failover_delay(), disable);
    }

    /// Resumes a relay. This is recorded after the process continues, for the same reason.
    fn resume(&mut self, relay: RelayIndex) {
        let Some(process) = self.process(relay) else {
            return;
        };
        process.set_paused(false);
        self.record(Observation::RelayPaused {
            relay,
            paused: false,
        });
        let enable = FollowUp::SetEndpointEnabled(usize::from(relay.0), true);
        self.schedule(self.failover_delay(), enable);
    }

    pub(super) fn start_relay(&mut self, number: usize) {
        let relay = RelayIndex(number as u16);
        let managed = &mut self.relays[number];
        // A relay does not start with an invalid operator configuration, whereas a running one
        // keeps its former configuration. So the relay starts with the scenario's first one.
        if managed.options.operator_config.is_some() {
            let first = self.scenario.relays.operator_configs.first();
            let text = first.cloned().unwrap_or_default() + &managed.peers_table;
            managed.operator_config = 0;
            managed.options.operator_config = Some(text);
        }
        let process = managed
            .spawn_next(&self.plan.fleet_config, self.folder)
            .map_err(|error| error.to_string());
        match process {
            Ok(process) => {
                managed.process = Some(process);
                self.record(Observation::RelayStarted { relay });
                self.schedule(Duration::ZERO, FollowUp::SetEndpointEnabled(number, true));
            }
            Err(error) => self.record_failure(error),
        }
    }

    /// Checks which relays have ended, and records how.
    pub(super) fn check_relays(&mut self, now: Instant) {
        for number in 0..self.relays.len() {
            for error in self.relays[number].check_predecessors(number, now) {
                self.record_failure(error);
            }
            match self.relays[number].check(now) {
                None => {}
                Some(RelayEnd::Stopped { restart_after }) => {
                    let relay = RelayIndex(number as u16);
                    self.record(Observation::RelayStopped { relay });
                    if let Some(restart_after) = restart_after {
                        self.schedule(restart_after, FollowUp::StartRelay(number));
                    }
                }
                Some(RelayEnd::Crashed(status)) => {
                    self.record_failure(format!("relay {number} crashed: {status}"));
                }
                // No `RelayKilled` is recorded, which would excuse the loss of the relay's
                // remaining sessions: the relay itself has caused it.
                Some(RelayEnd::Overdue) => {
                    self.record_failure(format!(
                        "relay {number} did not shut down in time and was killed"
                    ));
                }
            }
        }
    }
}
