//! The stage in which lines are relayed both ways: observing the lines, and the session's timers.
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

/// The time after which a client line without an answer is reported to the balancer, and the
/// interval at which it is reported again.
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

    /// Reports to the balancer what a relayed backend line reveals about load, latency or the end
    /// of the session.
    pub(super) fn observe_backend_message(
        &mut self,
        message: BackendMessage,
        shared: &Shared,
        io: &mut IoContext,
    ) {
        let id = self.session_id();
        match message {
            BackendMessage::Load(latency_ms) if shared.protocol_settings.load_reports_latency => {
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

    /// Sets the timer that reports an overdue answer, if a client line waits for one.
    pub(super) fn watch_response(&mut self, io: &mut IoContext) {
        if !self.relaying.latency.is_timer_set && self.relaying.latency.pending_since.is_some() {
            self.relaying.latency.is_timer_set = true;
            io.timers.set(
                io.now + RESPONSE_OVERDUE_INTERVAL,
                Timer::ResponseOverdue(self.id),
            );
        }
    }

    /// Reports a client line that has waited too long for an answer, and sets the timer again.
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
            // The timer was set for an earlier line, which has been answered.
            pending_since + RESPONSE_OVERDUE_INTERVAL
        };
        self.relaying.latency.is_timer_set = true;
        io.timers.set(next, Timer::ResponseOverdue(self.id));
    }

    /// Returns the time after which the session is migrated if no line passes, if its route sets
    /// one.
    pub(super) fn idle_timeout(&self) -> Option<Duration> {
        self.route
            .as_ref()
            .and_then(|route| route.timeouts.idle_timeout)
    }

    /// Migrates the session if no line has passed for its route's idle timeout.
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

    /// Removes the session once the end of each side's sending has been passed on to the other.
    pub(super) fn remove_if_both_ended(&mut self, io: &mut IoContext) -> Disposition {
        if self.stage == Stage::Established
            && self.relaying.is_end_sent_to_backend
            && self.relaying.is_end_sent_to_client
        {
            self.report_session_end(AttemptOutcome::Ok, io);
            return Remove;
        }
        Keep
    }
}
