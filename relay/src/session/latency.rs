//! Latency.
use super::stage::Stage;
use super::state::Session;
use crate::driver::Event;
use crate::io_context::IoContext;
use crate::timers::Timer;
use thistlecroft::time::Duration;

/// A line unanswered for so long is noted as delayed while it is, and again after each such span.
pub(super) const OVERDUE: Duration = Duration::from_millis(250);

impl Session {
    /// A client's line without one back is looked after.
    pub(super) fn watch(&mut self, works: &mut IoContext) {
        if !self.watched && self.asked.is_some() {
            self.watched = true;
            works
                .alarms
                .set(works.now + OVERDUE, Timer::ResponseOverdue(self.id));
        }
    }

    pub(super) fn overdue(&mut self, works: &mut IoContext) {
        self.watched = false;
        let (Some(asked), Stage::Standing) = (self.asked, self.stage) else {
            return;
        };
        let waited = works.now.duration_since(asked);
        let next = if waited >= OVERDUE {
            if !self.end_told {
                works
                    .news
                    .push_back(Event::ResponseOverdue(self.session_id(), waited));
            }
            works.now + OVERDUE
        } else {
            asked + OVERDUE
        };
        self.watched = true;
        works.alarms.set(next, Timer::ResponseOverdue(self.id));
    }
}
