//! The response latency of one session's backend.
use thistlecroft::time::{Duration, Instant};

/// The time that a session's backend takes to answer a line of the client.
#[derive(Default)]
pub(super) struct ResponseLatency {
    /// When the oldest client line without an answer was relayed.
    pub(super) pending_since: Option<Instant>,
    /// Whether a timer is set that reports an overdue answer.
    pub(super) is_timer_set: bool,
    /// The latency of a message as the backend last reported it.
    pub(super) reported: Duration,
}

impl ResponseLatency {
    /// Records that a client line was relayed. Returns true if no earlier line waits for an answer.
    pub(super) fn request_relayed(&mut self, now: Instant) -> bool {
        let is_first = self.pending_since.is_none();
        self.pending_since.get_or_insert(now);
        is_first
    }

    /// Records that a backend line was relayed, and returns the latency if a client line was
    /// waiting for an answer. The result is at least the latency that the backend last reported, so
    /// that a quick line back doesn't hide that the backend's own work is slow.
    pub(super) fn response_relayed(&mut self, now: Instant) -> Option<Duration> {
        let since = self.pending_since.take()?;
        Some(now.duration_since(since).max(self.reported))
    }
}
