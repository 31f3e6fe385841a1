//! Sessions that were open before this process started: each returns to the backend named in its
//! request, without a decision of the balancer.
use super::stage::Disposition::{self, Keep};
use super::stage::Stage;
use super::state::Session;
use crate::discovery::registry::EndpointRegistry;
use crate::io_context::IoContext;
use crate::protocol;
use crate::timers::Timer;
use thistlecroft::time::Duration;

/// The time between a failed attempt and the next one.
const INHERITED_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// The time from its request after which an inherited session fails. Its client would count it as
/// lost after 40 s.
const INHERITED_TIMEOUT: Duration = Duration::from_millis(38_000);

/// The time after which a session whose backend is unknown fails. Until then, a new endpoint list
/// may name the backend.
const UNKNOWN_BACKEND_TIMEOUT: Duration = Duration::from_millis(2_000);

impl Session {
    /// Starts an attempt to connect to the backend that held the session.
    pub(super) fn attempt_inherited(
        &mut self,
        registry: &EndpointRegistry,
        io: &mut IoContext,
    ) -> Disposition {
        if self.stage != Stage::Inherited || self.attempt.is_some() {
            return Keep;
        }
        let name = self
            .placement
            .request
            .as_ref()
            .and_then(|request| request.inherited_backend.as_deref());
        let backend = name.and_then(|name| registry.find(name));
        let timeout = match backend {
            Some(_) => INHERITED_TIMEOUT,
            None => UNKNOWN_BACKEND_TIMEOUT,
        };
        let remaining = timeout - io.now.duration_since(self.phase_started);
        if remaining == Duration::ZERO {
            io.counters.torn_down += 1;
            return self.close_with(protocol::FAILED_LINE, io);
        }
        match backend {
            Some(backend) => self.start_attempt(0, backend, remaining, registry, io),
            None => {
                self.retry_inherited_later(io);
                Keep
            }
        }
    }

    /// Sets the timer for the next attempt.
    pub(super) fn retry_inherited_later(&mut self, io: &mut IoContext) {
        io.timers.set(
            io.now + INHERITED_RETRY_INTERVAL,
            Timer::RetryInherited(self.id),
        );
    }
}
