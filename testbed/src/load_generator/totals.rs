//! Totals and latency distributions of the clients of a load generator.
use crate::traffic::Traffic;
use hdrhistogram::Histogram;
use thistlecroft::time::Duration;

/// Longer times are recorded as this.
const MAX_RECORDED_MICROSECONDS: u64 = 60_000_000;

/// Totals of the clients of one listener.
#[derive(Clone, Debug)]
pub struct ListenerTotals {
    /// The listener's name.
    pub name: String,
    /// The weight of the listener's sessions relative to those of other listeners.
    pub priority_weight: f64,
    /// Clients that arrived.
    pub arrivals: u64,
    /// Seconds for which clients wanted to be connected within the run.
    pub requested_seconds: f64,
    /// Seconds of the requested time in which messages were echoed within their target.
    pub served_seconds: f64,
    /// Answers that established a session.
    pub accepted: u64,
    /// Answers that rejected a session.
    pub rejected: u64,
    /// Answers that reported a failure, and connections that were closed without an answer.
    pub failed: u64,
    /// Requests that got no answer within the time limit.
    pub unanswered: u64,
    /// Sessions that were asked to migrate.
    pub migrated: u64,
    /// Established sessions that were closed or reset without a closing message.
    pub connections_lost: u64,
    /// Clients that gave up after failed connects or requests.
    pub gave_up: u64,
    /// Microseconds from when a client was due until its first session was established.
    pub setup_latency: Histogram<u32>,
    /// Microseconds from when a message was sent until it was echoed.
    pub message_latency: Histogram<u32>,
}

/// Totals of all clients.
#[derive(Clone, Debug)]
pub struct LoadTotals {
    /// The totals of each listener, in the order of the profiles.
    pub listeners: Vec<ListenerTotals>,
    /// Microseconds from when a client was due until it began to connect.
    pub connect_delay: Histogram<u32>,
    /// Lines that are not the echo of the next message that the client expects.
    pub mismatched_messages: u64,
    /// Clients that violated the protocol.
    pub misbehaving: u64,
    /// Misbehaving clients that got an answer or whose connection was closed.
    pub misbehaving_answered: u64,
    /// The longest turn (iteration) of the event loop.
    pub longest_turn: Duration,
    /// The total time spent handling events.
    pub busy_time: Duration,
}

impl LoadTotals {
    pub(super) fn new(traffic: &Traffic) -> LoadTotals {
        let listeners = traffic.profiles.iter().map(|profile| ListenerTotals {
            name: profile.name.clone(),
            priority_weight: profile.priority_weight,
            arrivals: 0,
            requested_seconds: 0.0,
            served_seconds: 0.0,
            accepted: 0,
            rejected: 0,
            failed: 0,
            unanswered: 0,
            migrated: 0,
            connections_lost: 0,
            gave_up: 0,
            setup_latency: latency_histogram(),
            message_latency: latency_histogram(),
        });
        LoadTotals {
            listeners: listeners.collect(),
            connect_delay: latency_histogram(),
            mismatched_messages: 0,
            misbehaving: 0,
            misbehaving_answered: 0,
            longest_turn: Duration::ZERO,
            busy_time: Duration::ZERO,
        }
    }

    /// Adds the totals of another load generator with the same traffic.
    pub fn add(&mut self, other: &LoadTotals) {
        for (totals, other) in self.listeners.iter_mut().zip(&other.listeners) {
            totals.add(other);
        }
        // Both histograms have the same bounds.
        let _ = self.connect_delay.add(&other.connect_delay);
        self.mismatched_messages += other.mismatched_messages;
        self.misbehaving += other.misbehaving;
        self.misbehaving_answered += other.misbehaving_answered;
        self.longest_turn = self.longest_turn.max(other.longest_turn);
        self.busy_time += other.busy_time;
    }
}

impl ListenerTotals {
    fn add(&mut self, other: &ListenerTotals) {
        self.arrivals += other.arrivals;
        self.requested_seconds += other.requested_seconds;
        self.served_seconds += other.served_seconds;
        self.accepted += other.accepted;
        self.rejected += other.rejected;
        self.failed += other.failed;
        self.unanswered += other.unanswered;
        self.migrated += other.migrated;
        self.connections_lost += other.connections_lost;
        self.gave_up += other.gave_up;
        // Both histograms have the same bounds.
        let _ = self.setup_latency.add(&other.setup_latency);
        let _ = self.message_latency.add(&other.message_latency);
    }
}

fn latency_histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(1, MAX_RECORDED_MICROSECONDS, 3)
        .expect("these bounds and digits are valid")
}

/// Records a time, clamped to the bounds of the histogram.
pub(super) fn record_latency(histogram: &mut Histogram<u32>, latency: Duration) {
    let microseconds = latency.as_micros().clamp(1, MAX_RECORDED_MICROSECONDS);
    let _ = histogram.record(microseconds);
}
