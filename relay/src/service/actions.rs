//! The end of a turn: delivers the collected events to the balancer and carries out its actions.
use super::Service;
use crate::admin::protocol::Readiness;
use crate::discovery::watch::KnownList;
use crate::driver::{Action, ActionRecorder, Event, deliver_event};
use crate::health_check;
use crate::trace;
use thistlecroft::ids::SessionId;

/// What the events of one turn require beside the balancer's actions.
#[derive(Default)]
struct TurnOutcome {
    /// Sessions whose event made the balancer panic.
    failed: Vec<SessionId>,
    /// Whether backends may have been drained or banned, so that attempts to connect to them have
    /// to be cancelled.
    backends_drained_or_banned: bool,
}

impl Service {
    /// Delivers the events of this turn to the balancer, then answers operators and carries out the
    /// balancer's actions.
    pub(super) fn run_balancer(&mut self) {
        let readiness = self.readiness();
        let responses = self.admin.execute(
            readiness,
            &mut self.peers,
            &mut self.discovery.registry,
            &mut self.io,
        );
        let outcome = self.deliver_events();
        self.admin.respond(responses, &mut self.io);
        for action in std::mem::take(&mut self.actions) {
            trace::log_action(&action, &self.discovery.registry);
            self.execute_action(action);
        }
        if outcome.backends_drained_or_banned {
            self.sessions
                .cancel_attempts_to_draining_or_banned(&self.discovery.registry, &mut self.io);
        }
        for session in outcome.failed {
            self.sessions.fail_after_panic(session, &mut self.io);
        }
    }

    fn readiness(&self) -> Readiness {
        Readiness {
            is_stopping: self.is_shutting_down(),
            has_endpoints: self.discovery.known_list() != KnownList::None,
            accepts_clients: self.sessions.is_accepting(),
        }
    }

    fn deliver_events(&mut self) -> TurnOutcome {
        let now = self.io.now;
        let mut outcome = TurnOutcome::default();
        while let Some(event) = self.io.events.pop_front() {
            trace::log_event(&event, &self.discovery.registry);
            outcome.backends_drained_or_banned |= matches!(
                event,
                Event::EndpointsUpdated(..)
                    | Event::BackendsDraining(_)
                    | Event::BanChanged(_, true)
            );
            let mut recorder = ActionRecorder {
                actions: &mut self.actions,
                timers: &mut self.io.timers,
            };
            if let Err(panicked) = deliver_event(&mut self.balancer, event, now, &mut recorder) {
                self.io.counters.panics += 1;
                log::error!(
                    target: super::LOG_TARGET,
                    "the balancer panicked while handling an event; session={:?}",
                    panicked.session.map(|session| session.0)
                );
                outcome.failed.extend(panicked.session);
            }
        }
        outcome
    }

    fn execute_action(&mut self, action: Action) {
        let (registry, io) = (&self.discovery.registry, &mut self.io);
        match action {
            Action::Connect(session, backend, timeout) => {
                self.sessions
                    .start_attempt(session, backend, timeout, registry, io);
            }
            Action::Cancel(session, attempt) => self.sessions.cancel_attempt(session, attempt, io),
            Action::Reject(session, retry_after) => self.sessions.reject(session, retry_after, io),
            Action::Fail(session) => self.sessions.fail(session, io),
            Action::Migrate(session) => self.sessions.migrate(session, io),
            Action::CheckHealth(backend) => {
                health_check::start(backend, registry.address(backend), io);
            }
            // This opens no second subscription: one is always open or about to be.
            Action::Subscribe => self.discovery.subscribe(io),
        }
    }
}
