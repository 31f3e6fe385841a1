//! The interface through which the balancer acts on the protocol that embeds it.
use crate::ids::{BackendId, SessionId};
use crate::time::{Duration, Instant};

/// Carries out what the balancer decides. The balancer calls it before it returns from an event.
pub trait Driver {
    /// Starts the session's next connection attempt, to be given up after `timeout`.
    fn connect(&mut self, session: SessionId, backend: BackendId, timeout: Duration);

    /// Gives up an attempt that is under way; its end is reported as any other.
    fn cancel(&mut self, session: SessionId, attempt: u32);

    /// Answers that the request had no effect; the client may try again after `retry_after`.
    fn reject(&mut self, session: SessionId, retry_after: Option<Duration>);

    /// Ends the session without a promise that the request had no effect.
    fn fail(&mut self, session: SessionId);

    /// Asks the client of an established connection to come again as a new session.
    fn migrate(&mut self, session: SessionId);

    /// Asks a backend for its load.
    fn check_health(&mut self, backend: BackendId);

    /// Requests a call of `Balancer::wake` at this time or soon after.
    fn wake_at(&mut self, at: Instant);

    /// Requests the endpoint list from discovery.
    fn subscribe(&mut self);

    /// The balancer has dropped the session and will not name it again.
    fn release(&mut self, session: SessionId);
}
