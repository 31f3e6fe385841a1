//! How long the messages of one session take.
use thistlecroft::time::{Duration, Instant};

/// What is known of the time that a session's backend takes for an answer.
#[derive(Default)]
pub(super) struct ResponseLatency {
    /// When the first line of the client came that has had no line back.
    pub(super) pending_since: Option<Instant>,
    /// A timer watches that line.
    pub(super) is_timer_set: bool,
    /// How long a message takes, as the backend reports it.
    pub(super) reported: Duration,
}

impl ResponseLatency {
    /// A line of the client was relayed; true where none before it waits for an answer.
    pub(super) fn request_relayed(&mut self, now: Instant) -> bool {
        let is_first = self.pending_since.is_none();
        self.pending_since.get_or_insert(now);
        is_first
    }

    /// A line of the backend was relayed: the latency, where a line of the client was waiting for
    /// it. A quick line back must not hide that the backend's own work is late.
    pub(super) fn response_relayed(&mut self, now: Instant) -> Option<Duration> {
        let since = self.pending_since.take()?;
        Some(now.duration_since(since).max(self.reported))
    }
}
