//! The start of a plan's clock within the recorded time of a run.
use crate::plan::PLAN_START;
use thistlecroft::time::Instant;
use thistlecroft_testbed::event_recorder::{Observation, RecordedEvent};

/// The note that is recorded when the testbed is set up and the plan begins.
pub(crate) const PLAN_BEGIN_NOTE: &str = "the plan begins";

/// Returns the time of the run at which the plan's clock was zero.
pub(crate) fn plan_begin(events: &[RecordedEvent]) -> Instant {
    let is_begin = |event: &&RecordedEvent| matches!(&event.observation, Observation::Note { text } if text == PLAN_BEGIN_NOTE);
    events
        .iter()
        .find(is_begin)
        .map_or(PLAN_START, |event| event.at)
}
