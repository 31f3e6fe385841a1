//! The lifecycle of a simulated backend: start, stop, draining, pauses and faults.
use super::connection::{Connection, Role, SessionState};
use super::faults::BackendFault;
use super::protocol;
use super::state::SimulatedBackends;
use super::timer::{Incarnation, Timer};
use crate::backend_model::BackendModel;
use crate::event_loop::LoopContext;
use crate::event_recorder::{BackendIndex, Lifecycle, Observation, Reply};
use crate::line_socket::LineSocket;
use socket2::SockRef;
use thistlecroft::time::Duration;

/// The number of connections that fill a backlog of minimum length.
const BACKLOG_FILLERS: usize = 4;
/// How long a backend that could not start waits before it tries again. Its port may be in use in
/// the meantime.
const START_RETRY_DELAY: Duration = Duration::from_millis(500);
/// The fraction of a drain that passes before sessions begin to migrate.
const MIGRATION_START_FRACTION: f64 = 0.5;
/// The fraction of a drain over which the migrations are spread.
const MIGRATION_SPREAD_FRACTION: f64 = 0.4;

impl SimulatedBackends {
    /// Starts a backend that is not running; it then warms up.
    pub(super) fn start(&mut self, index: BackendIndex, context: &mut LoopContext<Timer>) {
        let now = context.now;
        let unix_ms = context.clock.unix_ms(now);
        let backend = self.backend(index);
        if backend.is_running {
            return;
        }
        if let Err(error) = backend.listener.reopen(&context.poller) {
            log::warn!("simulated backend {} can't start: {error}", index.0);
            let retry = Timer::Restart(self.incarnation(index));
            return context.set_timer(now + START_RETRY_DELAY, retry);
        }
        backend.model = BackendModel::start(backend.spec.capacity, now, true);
        backend.is_running = true;
        backend.started_at_ms = unix_ms;
        backend.report = protocol::EMPTY_REPORT.into();
        context.record(Observation::BackendStarted {
            backend: index,
            cold: true,
        });
        self.announce(index, Lifecycle::Ready, context);
    }

    /// Stops the backend immediately: its connections are reset, and no new ones succeed.
    pub(super) fn stop(
        &mut self,
        index: BackendIndex,
        restart_after: Option<Duration>,
        context: &mut LoopContext<Timer>,
    ) {
        if !self.backend(index).is_running {
            return;
        }
        for key in self.connections_of(index) {
            if let Some(observation) = stop_observation(&self.connections[key]) {
                context.record(observation);
            }
            self.reset_connection(key, context.now);
        }
        let backend = self.backend(index);
        if backend.is_paused {
            context.record(Observation::BackendPaused {
                backend: index,
                paused: false,
            });
        }
        (backend.is_running, backend.is_paused, backend.is_draining) = (false, false, false);
        backend.fault = None;
        backend.incarnation += 1;
        backend.postponed_timers.clear();
        backend.listener.close(&context.poller);
        context.record(Observation::BackendStopped { backend: index });
        self.announce(index, Lifecycle::Gone, context);
        if let Some(delay) = restart_after {
            let restart = Timer::Restart(self.incarnation(index));
            context.set_timer(context.now + delay, restart);
        }
    }

    /// Pauses a backend or resumes it. On resumption, timers that came due meanwhile fire.
    pub(super) fn set_paused(
        &mut self,
        index: BackendIndex,
        paused: bool,
        context: &mut LoopContext<Timer>,
    ) {
        let backend = self.backend(index);
        if backend.is_paused == paused || !backend.is_running {
            return;
        }
        backend.is_paused = paused;
        context.record(Observation::BackendPaused {
            backend: index,
            paused,
        });
        backend.listener.set_accepting(!paused, &context.poller);
        for key in self.connections_of(index) {
            self.connections[key].socket.set_frozen(paused);
        }
        if !paused {
            for timer in std::mem::take(&mut self.backend(index).postponed_timers) {
                context.set_timer(context.now, timer);
            }
        }
    }

    /// Begins or ends a periodic pause, and sets the timer for the next change.
    pub(super) fn on_periodic_pause(
        &mut self,
        incarnation: Incarnation,
        paused: bool,
        context: &mut LoopContext<Timer>,
    ) {
        let index = incarnation.backend;
        if let Some(BackendFault::PeriodicPause(period, pause)) = self.backend(index).fault
            && self.is_current(incarnation)
        {
            self.set_paused(index, paused, context);
            let next = if paused { pause } else { period - pause };
            context.set_timer(context.now + next, Timer::SetPaused(incarnation, !paused));
        }
    }

    /// Injects a fault, which replaces the present one.
    pub(super) fn inject_fault(
        &mut self,
        index: BackendIndex,
        fault: BackendFault,
        context: &mut LoopContext<Timer>,
    ) {
        if !self.backend(index).is_running {
            return;
        }
        self.clear_fault(index, context);
        context.record(Observation::BackendFault {
            backend: index,
            name: fault.name(),
            active: true,
        });
        let backend = self.backend(index);
        backend.fault = Some(fault);
        backend.incarnation += 1;
        match fault {
            BackendFault::Unreachable => {
                self.fill_backlog(index, context);
                self.set_paused(index, true, context);
            }
            BackendFault::Frozen => self.set_paused(index, true, context),
            BackendFault::Slow(slowness) => backend.set_slowness(slowness.max(1.0), context.now),
            BackendFault::PeriodicPause(..) => {
                let pause = Timer::SetPaused(self.incarnation(index), true);
                context.set_timer(context.now, pause);
            }
            _ => {}
        }
    }

    /// Clears the present fault, if there is one.
    pub(super) fn clear_fault(&mut self, index: BackendIndex, context: &mut LoopContext<Timer>) {
        let backend = self.backend(index);
        let Some(fault) = backend.fault.take() else {
            return;
        };
        backend.incarnation += 1;
        context.record(Observation::BackendFault {
            backend: index,
            name: fault.name(),
            active: false,
        });
        match fault {
            // The machine restarts: it comes back without its sessions.
            BackendFault::Unreachable => {
                self.stop(index, None, context);
                self.start(index, context);
            }
            BackendFault::Frozen | BackendFault::PeriodicPause(..) => {
                self.set_paused(index, false, context);
            }
            BackendFault::Slow(_) => backend.set_slowness(1.0, context.now),
            _ => {}
        }
    }

    /// Shortens the backlog to the minimum and fills it, so that no new connection succeeds.
    fn fill_backlog(&mut self, index: BackendIndex, context: &LoopContext<Timer>) {
        let listener = &self.backend(index).listener;
        let address = listener.address;
        if let Some(socket) = &listener.socket {
            let _ = SockRef::from(socket).listen(0);
        }
        for _ in 0..BACKLOG_FILLERS {
            self.last_serial += 1;
            let entry = self.connections.vacant_entry();
            if let Ok(socket) = LineSocket::connect(address, &context.poller, entry.key()) {
                entry.insert(Connection {
                    socket,
                    role: Role::BacklogFiller(index),
                    serial: self.last_serial,
                });
            }
        }
    }

    /// Begins a graceful shutdown that takes this long.
    pub(super) fn drain(
        &mut self,
        index: BackendIndex,
        duration: Duration,
        context: &mut LoopContext<Timer>,
    ) {
        let backend = self.backend(index);
        if !backend.is_running || backend.is_draining {
            return;
        }
        backend.is_draining = true;
        context.record(Observation::BackendDraining { backend: index });
        self.announce(index, Lifecycle::Draining, context);
        let incarnation = self.incarnation(index);
        context.set_timer(
            context.now + duration * MIGRATION_START_FRACTION,
            Timer::MigrateNext(incarnation, duration * MIGRATION_SPREAD_FRACTION),
        );
        context.set_timer(context.now + duration, Timer::Stop(incarnation));
    }

    /// Migrates one session of a draining backend, and schedules the next one so that the sessions
    /// are spread evenly over the remaining time.
    pub(super) fn migrate_next(
        &mut self,
        incarnation: Incarnation,
        remaining: Duration,
        context: &mut LoopContext<Timer>,
    ) {
        let index = incarnation.backend;
        let keys = self.connections_of(index);
        let mut established = keys
            .into_iter()
            .filter(|key| self.connections[*key].is_established_at(index));
        let Some(key) = established.next() else {
            return;
        };
        let other_sessions = established.count();
        if let Some(session) = self.connections[key].as_backend() {
            context.record(Observation::BackendClosedSession {
                backend: index,
                session: session.session,
            });
        }
        self.send_last(key, protocol::MIGRATE, context);
        let step = remaining * (1.0 / (other_sessions + 1) as f64);
        let next = Timer::MigrateNext(incarnation, remaining - step);
        context.set_timer(context.now + step, next);
    }
}

/// Returns what is recorded for a connection whose backend stops.
fn stop_observation(connection: &Connection) -> Option<Observation> {
    let connection = connection.as_backend()?;
    let (backend, session) = (connection.backend, connection.session);
    match connection.state {
        SessionState::Established => Some(Observation::BackendClosedSession { backend, session }),
        SessionState::SettingUp => Some(Observation::AttemptAnswered {
            backend,
            session,
            reply: Reply::Failed,
        }),
        SessionState::AwaitingRequest | SessionState::Closing => None,
    }
}
