//! Carries out the balancer's decisions as actions in the reply to the simulator.
use crate::ids::IdMap;
use crate::wire::{Action, ActionKind, Reply};
use thistlecroft::driver::Driver;
use thistlecroft::ids::{BackendId, SessionId};
use thistlecroft::time::{Duration, Instant};

/// The driver of one instance during one event.
pub(crate) struct WireDriver<'a> {
    pub(crate) instance: u16,
    pub(crate) ids: &'a mut IdMap,
    pub(crate) reply: &'a mut Reply,
}

impl WireDriver<'_> {
    /// Adds an action of this instance to the reply.
    fn add_action(&mut self, kind: ActionKind) {
        let instance = self.instance;
        self.reply.push_action(&Action { instance, kind });
    }
}

impl Driver for WireDriver<'_> {
    fn connect(&mut self, session: SessionId, backend: BackendId, timeout: Duration) {
        self.add_action(ActionKind::Connect {
            session: self.ids.session_key(session),
            backend: self.ids.address(backend),
            timeout,
        });
    }

    fn cancel(&mut self, session: SessionId, attempt: u32) {
        let session = self.ids.session_key(session);
        self.add_action(ActionKind::Cancel { session, attempt });
    }

    fn reject(&mut self, session: SessionId, retry_after: Option<Duration>) {
        let session = self.ids.session_key(session);
        self.add_action(ActionKind::Reject {
            session,
            retry_after,
        });
    }

    fn fail(&mut self, session: SessionId) {
        let session = self.ids.session_key(session);
        self.add_action(ActionKind::Fail { session });
    }

    fn migrate(&mut self, session: SessionId) {
        let session = self.ids.session_key(session);
        self.add_action(ActionKind::Migrate { session });
    }

    fn check_health(&mut self, backend: BackendId) {
        let backend = self.ids.address(backend);
        self.add_action(ActionKind::CheckHealth { backend });
    }

    fn wake_at(&mut self, at: Instant) {
        self.add_action(ActionKind::WakeAt(at));
    }

    fn subscribe(&mut self) {
        self.add_action(ActionKind::Subscribe);
    }

    fn release(&mut self, session: SessionId) {
        self.ids.release_session(session);
    }
}
