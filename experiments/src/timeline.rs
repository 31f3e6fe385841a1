//! Where a plan's time begins in what a run recorded.
use crate::plan::PLAN_START;
use thistlecroft::time::Instant;
use thistlecroft_testbed::event_recorder::{Observation, RecordedEvent};

/// Recorded when all is set up and the plan begins.
pub(crate) const PLAN_BEGINS: &str = "the plan begins";

/// The time of the run at which the plan's time was zero.
pub(crate) fn plan_begin(events: &[RecordedEvent]) -> Instant {
    let is_begin = |event: &&RecordedEvent| matches!(&event.observation, Observation::Note { text } if text == PLAN_BEGINS);
    events
        .iter()
        .find(is_begin)
        .map_or(PLAN_START, |event| event.at)
}
