//! Dispatches readiness events, timers and commands to the simulated backends.
use super::connection::Role;
use super::listener::ListenerKey;
use super::plan::{BackendCommand, BackendTotals};
use super::state::SimulatedBackends;
use super::timer::{ConnectionId, Timer};
use crate::event_loop::{EventHandler, LoopContext};

impl SimulatedBackends {
    /// Returns the key of the connection that a timer refers to. Returns `None` if the connection
    /// is gone, or if its backend is paused, in which case the timer is postponed.
    fn connection_of_timer(&mut self, id: ConnectionId, timer: &Timer) -> Option<usize> {
        let connection = self.connections.get(id.key)?;
        if connection.serial != id.serial {
            return None;
        }
        let index = connection.as_backend()?.backend;
        let backend = self.backend(index);
        if backend.is_paused {
            backend.postponed_timers.push(timer.clone());
            return None;
        }
        Some(id.key)
    }
}

impl EventHandler for SimulatedBackends {
    type Timer = Timer;
    type Command = BackendCommand;
    type Totals = BackendTotals;

    fn on_ready(&mut self, key: usize, _writable: bool, context: &mut LoopContext<Timer>) {
        if let Some(listener) = ListenerKey::from_poller_key(key) {
            return self.accept_waiting(listener, context);
        }
        match self.connections.get(key).map(|connection| &connection.role) {
            Some(Role::Backend(_)) => self.on_backend_connection(key, context),
            Some(Role::Agent(_)) => self.on_agent_connection(key, context),
            Some(Role::BacklogFiller(_)) | None => {}
        }
    }

    fn on_timer(&mut self, timer: Timer, context: &mut LoopContext<Timer>) {
        match timer {
            Timer::SetupDone(id) => {
                if let Some(key) = self.connection_of_timer(id, &timer) {
                    self.on_setup_done(key, context);
                }
            }
            Timer::EchoDue(id) => {
                if let Some(key) = self.connection_of_timer(id, &timer) {
                    self.on_echo_due(key, context);
                }
            }
            Timer::SetPaused(incarnation, paused) => {
                self.on_periodic_pause(incarnation, paused, context);
            }
            Timer::Restart(incarnation) if self.is_current(incarnation) => {
                self.start(incarnation.backend, context);
            }
            Timer::MigrateNext(incarnation, remaining) if self.is_current(incarnation) => {
                if !self.backend(incarnation.backend).is_paused {
                    self.migrate_next(incarnation, remaining, context);
                }
            }
            Timer::Stop(incarnation) if self.is_current(incarnation) => {
                self.stop(incarnation.backend, None, context);
            }
            Timer::Restart(_) | Timer::MigrateNext(..) | Timer::Stop(_) => {}
            Timer::Announce(relay, index, row) => {
                self.on_announcement(relay, index, row, context);
            }
            Timer::WatchHeartbeat => self.send_heartbeats(context),
            Timer::Report => self.refresh_reports(context),
            Timer::ResumeAccepting(key) => self.resume_accepting(key, context),
        }
    }

    fn on_command(&mut self, command: BackendCommand, context: &mut LoopContext<Timer>) {
        match command {
            BackendCommand::InjectFault(index, fault) => self.inject_fault(index, fault, context),
            BackendCommand::ClearFault(index) => self.clear_fault(index, context),
            BackendCommand::Crash(index, restart_after) => self.stop(index, restart_after, context),
            BackendCommand::Drain(index, duration) => self.drain(index, duration, context),
            BackendCommand::Start(index) => self.start(index, context),
            BackendCommand::SetAgentFault(relay, fault, active) => {
                self.set_agent_fault(relay, fault, active, context);
            }
        }
    }

    fn into_totals(self, context: &LoopContext<Timer>) -> BackendTotals {
        BackendTotals {
            longest_turn: context.longest_turn,
            busy_time: context.busy_time,
        }
    }
}
