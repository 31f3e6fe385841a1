//! The interface through which the balancer acts on the embedding protocol.
use crate::ids::{BackendId, SessionId};
use crate::time::{Duration, Instant};

/// Carries out the decisions of the balancer, which calls it before it returns from an event.
pub trait Driver {
    /// Starts the session's next connection attempt, to be given up after `timeout`.
    fn connect(&mut self, session: SessionId, backend: BackendId, timeout: Duration);

    /// Gives up an attempt that is under way. Its end is reported like any other.
    fn cancel(&mut self, session: SessionId, attempt: u32);

    /// Rejects the session: the request had no effect, and the client may try again after
    /// `retry_after`.
    fn reject(&mut self, session: SessionId, retry_after: Option<Duration>);

    /// Ends the session without promising that the request had no effect.
    fn fail(&mut self, session: SessionId);

    /// Asks the client of an established connection to reconnect as a new session.
    fn migrate(&mut self, session: SessionId);

    /// Sends a health check, which asks a backend for its load.
    fn check_health(&mut self, backend: BackendId);

    /// Requests a call of `Balancer::wake` at this time or soon after.
    fn wake_at(&mut self, at: Instant);

    /// Requests the endpoint list from discovery.
    fn subscribe(&mut self);

    /// Reports that the balancer has dropped the session and will not name it again.
    fn release(&mut self, session: SessionId);
}
