//! Which sessions are still to be offered to the successor process, and how many are under way.
use std::collections::VecDeque;

/// Offers under way at once: each holds its descriptors twice for that time.
const MAX_OFFERS_IN_FLIGHT: usize = 16;

/// The sessions that are to go to the successor.
#[derive(Default)]
pub(super) struct OfferQueue {
    pub(super) waiting: VecDeque<u32>,
    in_flight: usize,
}

impl OfferQueue {
    pub(super) fn is_full(&self) -> bool {
        self.in_flight >= MAX_OFFERS_IN_FLIGHT
    }

    /// An offer went out.
    pub(super) fn offer_sent(&mut self) {
        self.in_flight += 1;
    }

    /// An offer was answered, or will not be.
    pub(super) fn offer_settled(&mut self) {
        self.in_flight -= 1;
    }
}
