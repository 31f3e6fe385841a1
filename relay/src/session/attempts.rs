//! Connection attempts.
use super::inherited::INHERITED_AGAIN;
use super::shared::Shared;
use super::stage::Fate::{Goes, Over};
use super::stage::{Fate, Stage};
use super::state::{Other, Session};
use crate::buffers::Pool;
use crate::discovery::watch::EndpointRegistry;
use crate::driver::Event;
use crate::io_context::IoContext;
use crate::line_buffer::LineBuffer;
use crate::protocol::{AttemptFailure, AttemptProgress, Cause};
use crate::timers::Timer;
use crate::upstream::{Attempt, AttemptPlan};
use thistlecroft::attempt::{AttemptEnd, AttemptOutcome};
use thistlecroft::ids::BackendId;
use thistlecroft::time::Duration;

impl Session {
    pub(super) fn dial(
        &mut self,
        number: u32,
        backend: BackendId,
        give_up_after: Duration,
        shared: &Shared,
        book: &EndpointRegistry,
        works: &mut IoContext,
    ) -> Fate {
        if self.stage == Stage::Placing {
            // Its end may stand behind hundreds of events that this turn does not come to: nothing
            // begins for it.
            let fate = self.look_at_client(works);
            if fate == Over || !self.is_waiting() {
                self.tell_dial_end(
                    number,
                    AttemptFailure {
                        reach: AttemptProgress::Nothing,
                        cause: Cause::Ours,
                    },
                    works,
                );
                return fate;
            }
        }
        let Some(open) = self.open.as_ref().filter(|_| self.other.is_none()) else {
            return Goes;
        };
        self.serial += 1;
        let plan = AttemptPlan {
            number,
            serial: self.serial,
            backend,
            address: book.address(backend),
            line: open.line(give_up_after),
            connect_within: self
                .front
                .map_or(Duration::ZERO, |front| front.connect_timeout),
            give_up_after,
        };
        works.counters.dials += 1;
        if works.sockets.open() >= shared.most_sockets {
            // Many first lines in one turn all find room before the first of their dials takes any.
            return self.dial_failed(
                number,
                AttemptFailure {
                    reach: AttemptProgress::Nothing,
                    cause: Cause::Ours,
                },
                works,
            );
        }
        match Attempt::begin(self.id, plan, works) {
            Ok(dial) if self.dial.is_some() => {
                works.counters.second_dials += 1;
                self.other = Some(Box::new(Other {
                    dial,
                    down: LineBuffer::default(),
                }));
                Goes
            }
            Ok(dial) => {
                self.dial = Some(dial);
                Goes
            }
            Err(fault) => self.dial_failed(number, fault, works),
        }
    }

    pub(super) fn dial_ended(&mut self, fault: AttemptFailure, works: &mut IoContext) -> Fate {
        let Some(dial) = self.dial.take() else {
            return Goes;
        };
        self.down.clear(&mut works.pool);
        self.down = LineBuffer::default();
        if let Some(other) = self.other.take() {
            (self.dial, self.down) = (Some(other.dial), other.down);
        }
        self.dial_failed(dial.number, fault, works)
    }

    pub(super) fn dial_failed(
        &mut self,
        number: u32,
        fault: AttemptFailure,
        works: &mut IoContext,
    ) -> Fate {
        if self.stage == Stage::Inheriting {
            log::debug!("inherited connection {}: {fault:?}", self.id);
            works
                .alarms
                .set(works.now + INHERITED_AGAIN, Timer::RetryInherited(self.id));
            return Goes;
        }
        self.tell_dial_end(number, fault, works);
        Goes
    }

    pub(super) fn tell_dial_end(
        &mut self,
        number: u32,
        fault: AttemptFailure,
        works: &mut IoContext,
    ) {
        let verdict = fault.verdict();
        let counter = &mut works.counters;
        *match verdict {
            AttemptOutcome::Ok => &mut counter.ended_well,
            AttemptOutcome::Error => &mut counter.dials_error,
            AttemptOutcome::Saturated => &mut counter.dials_full,
            AttemptOutcome::TimedOut => &mut counter.dials_timeout,
            AttemptOutcome::Unreachable => &mut counter.dials_unreachable,
            AttemptOutcome::Reset => &mut counter.dials_reset,
            AttemptOutcome::Cancelled => &mut counter.dials_withdrawn,
            AttemptOutcome::NotSent => &mut counter.dials_never_sent,
        } += 1;
        let ending = AttemptEnd {
            attempt: number,
            outcome: verdict,
            is_answered: false,
            report: fault.report(),
        };
        works
            .news
            .push_back(Event::AttemptEnded(self.session_id(), ending));
    }

    /// If such a dial is out; while two are, it becomes the first of them.
    pub(super) fn lead(&mut self, such: impl Fn(&Attempt) -> bool) -> bool {
        if self.dial.as_ref().is_some_and(&such) {
            return true;
        }
        let Some(other) = self.other.as_mut().filter(|other| such(&other.dial)) else {
            return false;
        };
        let Some(dial) = self.dial.as_mut().filter(|_| self.stage == Stage::Placing) else {
            return false;
        };
        std::mem::swap(dial, &mut other.dial);
        std::mem::swap(&mut self.down, &mut other.down);
        true
    }

    pub(super) fn drop_other(&mut self, pool: &mut Pool) {
        if let Some(mut other) = self.other.take() {
            other.down.clear(pool);
        }
    }
}
