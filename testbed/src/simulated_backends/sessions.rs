//! Sessions at a simulated backend: requests, answers and messages.
use super::connection::{Role, SessionState};
use super::faults::BackendFault;
use super::protocol::{self, OpenRequest, Request};
use super::state::SimulatedBackends;
use super::timer::{ConnectionId, Timer};
use crate::event_loop::LoopContext;
use crate::event_recorder::{BackendIndex, Observation, Reply};
use thistlecroft::time::Duration;

/// A message that the backend delays for longer is recorded, so that the delay is not attributed to
/// a relay.
const RECORDED_DELAY_THRESHOLD: Duration = Duration::from_millis(200);
/// The minimum duration of a set-up, so that no reply is recorded before its request.
const MIN_SETUP_TIME: Duration = Duration::from_millis(1);

impl SimulatedBackends {
    /// Reads and handles lines when a connection to a backend is ready.
    pub(super) fn on_backend_connection(&mut self, key: usize, context: &mut LoopContext<Timer>) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let Role::Backend(session) = &mut connection.role else {
            return;
        };
        let socket = &mut connection.socket;
        let is_broken = socket.read().and_then(|_| socket.flush()).is_err();
        if session.first_byte_at.is_none() && socket.has_input() {
            session.first_byte_at = Some(context.now);
        }
        // The number of lines is bounded, since each event reads once into a buffer of fixed size.
        while let Some(connection) = self.connections.get_mut(key) {
            let Some(line) = connection.socket.next_line() else {
                break;
            };
            self.on_line(key, line, context);
        }
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        if is_broken || connection.socket.peer_closed {
            self.on_backend_connection_closed(key, is_broken, context);
        } else {
            connection.socket.update_interest();
        }
    }

    fn on_backend_connection_closed(
        &mut self,
        key: usize,
        is_broken: bool,
        context: &mut LoopContext<Timer>,
    ) {
        let Some(connection) = self.connections[key].as_backend() else {
            return;
        };
        let (index, session) = (connection.backend, connection.session);
        match connection.state {
            SessionState::Established if !is_broken => {
                let backend = self.backend(index);
                if backend.fault == Some(BackendFault::NeverCloses) {
                    return self.connections[key].socket.update_interest();
                }
                let message = protocol::closing(&backend.report);
                self.send_last(key, &message, context);
                if let Some(connection) = self.connections.get_mut(key) {
                    connection.socket.update_interest();
                }
            }
            SessionState::SettingUp => {
                context.record(Observation::AttemptAbandoned {
                    backend: index,
                    session,
                });
                self.remove_connection(key, context.now);
            }
            SessionState::AwaitingRequest | SessionState::Closing | SessionState::Established => {
                self.remove_connection(key, context.now);
            }
        }
    }

    /// Sends the last message of a connection and closes the sending direction. The connection is
    /// kept until the peer closes it too, unless it already has.
    pub(super) fn send_last(&mut self, key: usize, message: &str, context: &LoopContext<Timer>) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let Role::Backend(session) = &mut connection.role else {
            return;
        };
        let was_established = session.state == SessionState::Established;
        session.state = SessionState::Closing;
        let (index, load, group) = (session.backend, session.load, session.group);
        let socket = &mut connection.socket;
        let is_over = socket.send(message.as_bytes()).is_err() || socket.peer_closed;
        socket.finish_sending();
        socket.update_interest();
        if was_established {
            let model = &mut self.backend(index).model;
            model.remove_session(context.now, load, group);
        }
        if is_over {
            self.remove_connection(key, context.now);
        }
    }

    fn on_line(&mut self, key: usize, line: String, context: &mut LoopContext<Timer>) {
        let Some(session) = self.connections[key].as_backend() else {
            return;
        };
        match session.state {
            SessionState::Closing => {}
            SessionState::SettingUp => self.send_last(key, protocol::ERROR, context),
            SessionState::Established => self.echo(key, line, context),
            SessionState::AwaitingRequest => {
                let index = session.backend;
                match Request::parse(&line) {
                    Request::HealthCheck => self.on_health_check(key, index, false),
                    Request::LoadReport => self.on_health_check(key, index, true),
                    Request::Open(request) => self.on_attempt(key, request, context),
                    Request::Malformed => {
                        context.record(Observation::Note {
                            text: format!("SYNTAX answered by backend {} to {line:?}", index.0),
                        });
                        self.send_last(key, protocol::SYNTAX_ERROR, context);
                    }
                }
            }
        }
    }

    /// Answers a health check. Further health checks or a request may follow on the connection.
    fn on_health_check(&mut self, key: usize, index: BackendIndex, wants_report: bool) {
        let connection = &mut self.connections[key];
        if let Role::Backend(session) = &mut connection.role {
            session.first_byte_at = None;
        }
        let backend = &self.backends[usize::from(index.0)];
        let answer = match backend.fault {
            Some(BackendFault::Unresponsive) => return,
            Some(BackendFault::ErrorRate(share)) if self.rng.unit_f64() < share => {
                protocol::ERROR.into()
            }
            _ if wants_report => protocol::healthy_with_report(&backend.report),
            _ => protocol::HEALTHY.into(),
        };
        let _ = connection.socket.send(answer.as_bytes());
    }

    fn on_attempt(&mut self, key: usize, request: OpenRequest, context: &mut LoopContext<Timer>) {
        let connection = &mut self.connections[key];
        let id = ConnectionId {
            key,
            serial: connection.serial,
        };
        let Role::Backend(session) = &mut connection.role else {
            return;
        };
        session.state = SessionState::SettingUp;
        (session.session, session.load, session.group) =
            (request.session, request.load, request.group);
        let index = session.backend;
        context.record(Observation::AttemptReceived {
            backend: index,
            session: request.session,
            first_byte_at: session.first_byte_at.unwrap_or(context.now),
        });
        let model = &mut self.backend(index).model;
        if model.record_attempt(context.now, request.load) {
            context.record(Observation::BackendOverloaded { backend: index });
            return self.stop(index, None, context);
        }
        if self.answer_by_fault(id.key, index, request, context) {
            return;
        }
        let backend = self.backend(index);
        if backend.is_draining || backend.model.is_saturated() {
            let message = protocol::rejected(&backend.report);
            context.record(attempt_answered(index, request, Reply::Rejected));
            return self.send_last(key, &message, context);
        }
        let now = context.now;
        let store = self.setup_store.as_mut();
        let store_answered_at = store.map_or(now, |store| store.call(now));
        let setup_time = self.backend(index).model.setup_time(now);
        context.set_timer(
            store_answered_at + setup_time.max(MIN_SETUP_TIME),
            Timer::SetupDone(id),
        );
    }

    /// Handles an attempt as the present fault demands. Returns true if a fault affected the
    /// attempt, which then needs no further handling.
    fn answer_by_fault(
        &mut self,
        key: usize,
        index: BackendIndex,
        request: OpenRequest,
        context: &mut LoopContext<Timer>,
    ) -> bool {
        // Drawn for each attempt, so that faults don't change the sequence of random numbers.
        let draw = self.rng.unit_f64();
        let backend = self.backend(index);
        match backend.fault {
            Some(BackendFault::Unresponsive) => {}
            Some(BackendFault::ResetOnRequest) => {
                context.record(attempt_answered(index, request, Reply::Failed));
                self.reset_connection(key, context.now);
            }
            Some(BackendFault::PartialAnswer) => {
                let _ = self.connections[key].socket.send(protocol::PARTIAL_ANSWER);
            }
            Some(BackendFault::ErrorRate(share)) if draw < share => {
                let message = protocol::failed(&backend.report);
                context.record(attempt_answered(index, request, Reply::Failed));
                self.send_last(key, &message, context);
            }
            _ => return false,
        }
        true
    }

    /// Accepts the session when its set-up is done.
    pub(super) fn on_setup_done(&mut self, key: usize, context: &mut LoopContext<Timer>) {
        let reports_load = self.reports_load;
        let connection = &mut self.connections[key];
        let Role::Backend(session) = &mut connection.role else {
            return;
        };
        if session.state != SessionState::SettingUp {
            return;
        }
        session.state = SessionState::Established;
        let (index, load, group) = (session.backend, session.load, session.group);
        let session = session.session;
        context.record(Observation::AttemptAnswered {
            backend: index,
            session,
            reply: Reply::Accepted,
        });
        let mut message = protocol::accepted(session);
        if reports_load {
            message += &protocol::session_load(load);
        }
        let is_broken = connection.socket.send(message.as_bytes()).is_err();
        connection.socket.update_interest();
        let backend = self.backend(index);
        backend.model.add_session(context.now, load, group);
        let resets_session = backend.fault == Some(BackendFault::ResetAfterSetup);
        if is_broken {
            self.remove_connection(key, context.now);
        } else if resets_session {
            context.record(Observation::BackendClosedSession {
                backend: index,
                session,
            });
            self.reset_connection(key, context.now);
        }
    }

    /// Echoes a message after the delay caused by the backend's load.
    fn echo(&mut self, key: usize, line: String, context: &mut LoopContext<Timer>) {
        let connection = &mut self.connections[key];
        let Role::Backend(session) = &mut connection.role else {
            return;
        };
        let backend = &mut self.backends[usize::from(session.backend.0)];
        let delay = backend.model.message_delay(context.now);
        let due = session.last_echo_due.max(context.now + delay);
        session.last_echo_due = due;
        if due > context.now + RECORDED_DELAY_THRESHOLD {
            context.record(Observation::BackendDelayedMessage {
                backend: session.backend,
                session: session.session,
                waited: due.duration_since(context.now),
            });
        }
        if due <= context.now && session.echoes.is_empty() {
            let _ = connection.socket.send(format!("{line}\r\n").as_bytes());
        } else {
            session.echoes.push_back((due, line));
            let id = ConnectionId {
                key,
                serial: connection.serial,
            };
            context.set_timer(due, Timer::EchoDue(id));
        }
    }

    /// Echoes all messages that are due.
    pub(super) fn on_echo_due(&mut self, key: usize, context: &LoopContext<Timer>) {
        let connection = &mut self.connections[key];
        let Role::Backend(session) = &mut connection.role else {
            return;
        };
        while let Some((_, line)) = session.echoes.pop_front_if(|(due, _)| *due <= context.now) {
            let _ = connection.socket.send(format!("{line}\r\n").as_bytes());
        }
        connection.socket.update_interest();
    }
}

/// Returns the observation that a request got this reply.
fn attempt_answered(backend: BackendIndex, request: OpenRequest, reply: Reply) -> Observation {
    Observation::AttemptAnswered {
        backend,
        session: request.session,
        reply,
    }
}
