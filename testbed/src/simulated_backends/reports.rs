//! Load reports of the simulated backends, and changes of their sessions' loads.
use super::connection::{Role, SessionState};
use super::protocol;
use super::state::SimulatedBackends;
use super::timer::Timer;
use crate::event_loop::LoopContext;
use crate::event_recorder::{BackendIndex, Observation};

/// The smallest factor by which a session's load changes.
const MIN_LOAD_FACTOR: f64 = 0.7;
/// The difference between the greatest and the smallest factor.
const LOAD_FACTOR_RANGE: f64 = 0.6;
/// The bounds within which a session's load stays after any number of changes.
const MIN_SESSION_LOAD: f64 = 0.01;
const MAX_SESSION_LOAD: f64 = 100.0;

impl SimulatedBackends {
    /// Refreshes and records the load report of each backend.
    pub(super) fn refresh_reports(&mut self, context: &mut LoopContext<Timer>) {
        for (index, backend) in (0..).zip(&mut self.backends) {
            if !backend.is_running || backend.is_paused {
                continue;
            }
            let (load, sessions) = (backend.model.load(context.now), backend.model.sessions());
            backend.report = protocol::load_report(sessions, load);
            context.record(Observation::BackendLoad {
                backend: BackendIndex(index),
                load,
                sessions,
                capacity_share: backend.model.capacity_share(context.now),
                warm_up_budget_used: backend.model.max_warm_up_budget_used,
            });
        }
        if self.reports_load {
            self.change_session_loads(context);
        }
        context.set_timer(context.now + self.report_interval, Timer::Report);
    }

    /// Changes the load of one established session of each backend and reports it in a line of that
    /// session.
    fn change_session_loads(&mut self, context: &LoopContext<Timer>) {
        for key in self.draw_sessions().into_iter().flatten() {
            let factor = MIN_LOAD_FACTOR + LOAD_FACTOR_RANGE * self.rng.unit_f64();
            let connection = &mut self.connections[key];
            let Role::Backend(session) = &mut connection.role else {
                continue;
            };
            let model = &mut self.backends[usize::from(session.backend.0)].model;
            model.remove_session(context.now, session.load, session.group);
            session.load = (session.load * factor).clamp(MIN_SESSION_LOAD, MAX_SESSION_LOAD);
            model.add_session(context.now, session.load, session.group);
            let message = protocol::session_load(session.load);
            let _ = connection.socket.send(message.as_bytes());
            connection.socket.update_interest();
        }
    }

    /// Draws one established session of each backend that is not paused, uniformly, and returns the
    /// connections' keys by backend.
    fn draw_sessions(&mut self) -> Vec<Option<usize>> {
        let mut drawn = vec![None; self.backends.len()];
        let mut counts = vec![0_u64; self.backends.len()];
        for (key, connection) in &self.connections {
            let Some(session) = connection.as_backend() else {
                continue;
            };
            let index = usize::from(session.backend.0);
            if session.state != SessionState::Established || self.backends[index].is_paused {
                continue;
            }
            counts[index] += 1;
            if self.rng.below(counts[index]) == 0 {
                drawn[index] = Some(key);
            }
        }
        drawn
    }
}
