//! The stage in which lines are relayed both ways: what is observed of them, and the timers.
use super::shared::Shared;
use super::stage::Disposition::{self, Keep, Remove};
use super::stage::Stage;
use super::state::Session;
use crate::driver::Event;
use crate::io_context::IoContext;
use crate::line_buffer::LineTooLong;
use crate::protocol::BackendMessage;
use crate::timers::Timer;
use thistlecroft::attempt::AttemptOutcome;
use thistlecroft::time::Duration;

/// A line that has waited for an answer for so long is reported, and again after each such
/// interval.
const RESPONSE_OVERDUE_INTERVAL: Duration = Duration::from_millis(250);

impl Session {
    /// Relays the whole lines that the client has sent.
    pub(super) fn relay_client_lines(&mut self, io: &mut IoContext) -> Disposition {
        loop {
            match self.to_backend.next_line() {
                Ok(Some(_)) => {
                    io.counters.lines_up += 1;
                    if self.relaying.latency.request_relayed(io.now) {
                        self.watch_response(io);
                    }
                }
                Ok(None) => return self.write_to_backend(io),
                Err(LineTooLong) => {
                    io.counters.bad_lines += 1;
                    return self.migrate(io);
                }
            }
        }
    }

    /// Reports what a relayed line of the backend reveals about the session.
    pub(super) fn observe_backend_message(
        &mut self,
        message: BackendMessage,
        shared: &Shared,
        io: &mut IoContext,
    ) {
        let id = self.session_id();
        match message {
            BackendMessage::Load(latency_ms) if shared.names.load_reports_latency => {
                self.relaying.latency.reported = Duration::from_millis(1) * latency_ms;
                io.events
                    .push_back(Event::LatencyObserved(id, self.relaying.latency.reported));
            }
            BackendMessage::Load(load) => {
                if let Some(metadata) = &mut self.metadata {
                    metadata.load = Some(load);
                }
                io.events.push_back(Event::LoadObserved(id, load));
            }
            BackendMessage::Final(outcome, report) => {
                self.relaying.final_message = Some((outcome, report))
            }
            BackendMessage::Accepted | BackendMessage::Data => {
                if let Some(latency) = self.relaying.latency.response_relayed(io.now) {
                    io.events.push_back(Event::LatencyObserved(id, latency));
                }
            }
        }
    }

    /// Sets the timer that watches a line of the client without an answer.
    pub(super) fn watch_response(&mut self, io: &mut IoContext) {
        if !self.relaying.latency.is_timer_set && self.relaying.latency.pending_since.is_some() {
            self.relaying.latency.is_timer_set = true;
            io.timers.set(
                io.now + RESPONSE_OVERDUE_INTERVAL,
                Timer::ResponseOverdue(self.id),
            );
        }
    }

    /// A line of the client may have waited too long for an answer.
    pub(super) fn response_timer_fired(&mut self, io: &mut IoContext) {
        self.relaying.latency.is_timer_set = false;
        let (Some(pending_since), Stage::Established) =
            (self.relaying.latency.pending_since, self.stage)
        else {
            return;
        };
        let waited = io.now.duration_since(pending_since);
        let next = if waited >= RESPONSE_OVERDUE_INTERVAL {
            if !self.relaying.is_end_reported {
                io.events
                    .push_back(Event::ResponseOverdue(self.session_id(), waited));
            }
            io.now + RESPONSE_OVERDUE_INTERVAL
        } else {
            // The timer was set for an earlier line.
            pending_since + RESPONSE_OVERDUE_INTERVAL
        };
        self.relaying.latency.is_timer_set = true;
        io.timers.set(next, Timer::ResponseOverdue(self.id));
    }

    /// How long no line may pass, where the route limits that.
    pub(super) fn idle_timeout(&self) -> Option<Duration> {
        self.route
            .as_ref()
            .and_then(|route| route.timeouts.idle_timeout)
    }

    /// No line may have passed for as long as the route allows.
    pub(super) fn idle_timer_fired(&mut self, io: &mut IoContext) -> Disposition {
        let Some(idle_timeout) = self.idle_timeout() else {
            return Keep;
        };
        if self.stage != Stage::Established {
            return Keep;
        }
        if io.now.duration_since(self.last_activity) >= idle_timeout {
            io.counters.idle += 1;
            return self.migrate(io);
        }
        io.timers.set(
            self.last_activity + idle_timeout,
            Timer::IdleTimeout(self.id),
        );
        Keep
    }

    /// Removes the session once both ends have passed to the other side.
    pub(super) fn remove_if_both_ended(&mut self, io: &mut IoContext) -> Disposition {
        if self.stage == Stage::Established
            && self.relaying.is_backend_shut
            && self.relaying.is_client_shut
        {
            self.report_session_end(AttemptOutcome::Ok, io);
            return Remove;
        }
        Keep
    }
}
