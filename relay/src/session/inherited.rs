//! Inherited.
use super::shared::Shared;
use super::stage::Fate::Goes;
use super::stage::{Fate, Stage};
use super::state::Session;
use crate::discovery::watch::EndpointRegistry;
use crate::io_context::IoContext;
use crate::protocol::{self};
use crate::timers::Timer;
use thistlecroft::time::Duration;

/// Connections from before the start are tried again after this, and given up after the other: lost
/// after 40 s.
pub(super) const INHERITED_AGAIN: Duration = Duration::from_millis(200);

pub(super) const INHERITED_WITHIN: Duration = Duration::from_millis(38_000);

/// The same where the list does not know the backend: it may be about to come, once.
pub(super) const UNKNOWN_WITHIN: Duration = Duration::from_millis(2_000);

impl Session {
    pub(super) fn inherit(
        &mut self,
        shared: &Shared,
        book: &EndpointRegistry,
        works: &mut IoContext,
    ) -> Fate {
        if self.stage != Stage::Inheriting || self.dial.is_some() {
            return Goes;
        }
        let at = self
            .open
            .as_ref()
            .and_then(|open| open.at.as_deref())
            .and_then(|name| book.named(name));
        let within = if at.is_some() {
            INHERITED_WITHIN
        } else {
            UNKNOWN_WITHIN
        };
        let left = within - works.now.duration_since(self.began);
        if left == Duration::ZERO {
            works.counters.torn_down += 1;
            return self.part(protocol::FAILED, works);
        }
        match at {
            Some(backend) => self.dial(0, backend, left, shared, book, works),
            None => {
                works
                    .alarms
                    .set(works.now + INHERITED_AGAIN, Timer::RetryInherited(self.id));
                Goes
            }
        }
    }
}
