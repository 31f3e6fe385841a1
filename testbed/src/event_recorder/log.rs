//! The recorder of observations, of which each thread has a clone, and the log that receives them.
use super::observation::{Observation, RecordedEvent};
use std::sync::mpsc::{Receiver, Sender, channel};
use thistlecroft::time::Instant;

/// Records observations into an [`EventLog`]. Cheap to clone: each thread has its own.
#[derive(Clone)]
pub struct EventRecorder(Sender<RecordedEvent>);

/// Returns a recorder and the log that receives its events.
pub fn event_recorder() -> (EventRecorder, EventLog) {
    let (sender, receiver) = channel();
    let log = EventLog {
        receiver,
        events: Vec::new(),
    };
    (EventRecorder(sender), log)
}

impl EventRecorder {
    /// Records an observation that was made at the given time.
    pub fn record(&self, at: Instant, observation: Observation) {
        // Sending fails once the log is dropped at the end of a run; later events are not needed.
        let _ = self.0.send(RecordedEvent { at, observation });
    }
}

/// All events recorded so far, in the order of their arrival.
pub struct EventLog {
    receiver: Receiver<RecordedEvent>,
    /// The events received up to the last call of [`EventLog::receive`].
    pub events: Vec<RecordedEvent>,
}

impl EventLog {
    /// Receives the events recorded since the last call; returns the index of the first new one.
    pub fn receive(&mut self) -> usize {
        let first_new = self.events.len();
        self.events.extend(self.receiver.try_iter());
        first_new
    }

    /// Waits until any event satisfies the predicate, including those already received; returns
    /// false if none did within the given time.
    pub fn wait_for(
        &mut self,
        within: std::time::Duration,
        predicate: impl Fn(&Observation) -> bool,
    ) -> bool {
        self.wait_until(within, |events| {
            events.iter().any(|event| predicate(&event.observation))
        })
    }

    /// Waits until the events together satisfy the predicate; returns false if they did not within
    /// the given time.
    pub fn wait_until(
        &mut self,
        within: std::time::Duration,
        predicate: impl Fn(&[RecordedEvent]) -> bool,
    ) -> bool {
        let deadline = std::time::Instant::now() + within;
        self.receive();
        while !predicate(&self.events) {
            let remaining = deadline.saturating_duration_since(std::time::Instant::now());
            match self.receiver.recv_timeout(remaining) {
                Ok(event) => self.events.push(event),
                Err(_) => return false,
            }
            self.receive();
        }
        true
    }

    /// Returns all events in chronological order. They arrive out of order, because each thread
    /// delivers its events at its own pace.
    pub fn into_sorted(mut self) -> Vec<RecordedEvent> {
        self.receive();
        self.events.sort_by_key(|event| event.at);
        self.events
    }
}
