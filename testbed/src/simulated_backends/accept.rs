//! Accepts connections to simulated backends and discovery agents.
use super::connection::{AgentConnection, BackendConnection, Role};
use super::faults::BackendFault;
use super::listener::{Listener, ListenerKey};
use super::state::SimulatedBackends;
use super::timer::Timer;
use crate::event_loop::LoopContext;
use crate::event_recorder::{BackendIndex, Observation, RelayIndex};
use socket2::SockRef;
use std::io;
use std::net::TcpStream;
use thistlecroft::time::Duration;

const MAX_ACCEPTS_PER_EVENT: usize = 256;
/// How long a listener stops accepting after the process ran out of descriptors. Without the pause
/// the connections in the backlog would wake the event loop without end.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

impl SimulatedBackends {
    /// Accepts waiting connections of a listener, up to a limit for each event.
    pub(super) fn accept_waiting(&mut self, key: ListenerKey, context: &mut LoopContext<Timer>) {
        for _ in 0..MAX_ACCEPTS_PER_EVENT {
            let Some(socket) = &self.listener(key).socket else {
                return;
            };
            match socket.accept() {
                Ok((stream, _)) => self.on_accept(stream, key, context),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(error) => return self.pause_accepting(key, &error, context),
            }
        }
    }

    fn listener(&self, key: ListenerKey) -> &Listener {
        match key {
            ListenerKey::Backend(index) => &self.backends[index].listener,
            ListenerKey::Agent(index) => &self.agents[index].listener,
        }
    }

    fn on_accept(&mut self, stream: TcpStream, key: ListenerKey, context: &mut LoopContext<Timer>) {
        let role = match key {
            ListenerKey::Agent(index) => {
                Role::Agent(AgentConnection::new(RelayIndex(index as u16)))
            }
            ListenerKey::Backend(index) => {
                if self.backends[index].fault == Some(BackendFault::ResetOnAccept) {
                    let _ = SockRef::from(&stream).set_linger(Some(std::time::Duration::ZERO));
                    return;
                }
                let backend = BackendIndex(index as u16);
                Role::Backend(BackendConnection::new(backend, context.now))
            }
        };
        self.add_connection(stream, role, context);
    }

    /// Pauses a listener that failed to accept because descriptors ran out, and records the first
    /// such failure.
    fn pause_accepting(
        &mut self,
        key: ListenerKey,
        error: &io::Error,
        context: &mut LoopContext<Timer>,
    ) {
        if !std::mem::replace(&mut self.has_recorded_exhaustion, true) {
            log::warn!("simulated backends failed to accept a connection: {error}");
            context.record(Observation::TestbedExhausted);
        }
        self.listener(key).set_accepting(false, &context.poller);
        context.set_timer(context.now + ACCEPT_PAUSE, Timer::ResumeAccepting(key));
    }

    /// Accepts connections again after [`ACCEPT_PAUSE`], unless the backend is paused by a fault.
    pub(super) fn resume_accepting(&mut self, key: ListenerKey, context: &LoopContext<Timer>) {
        let is_paused = match key {
            ListenerKey::Backend(index) => self.backends[index].is_paused,
            ListenerKey::Agent(_) => false,
        };
        self.listener(key)
            .set_accepting(!is_paused, &context.poller);
    }
}
