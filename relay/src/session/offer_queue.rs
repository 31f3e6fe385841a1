//! The sessions waiting to be offered to the successor process, and the number of open offers.
use std::collections::VecDeque;

/// Offers that may be open at once. Until an offer is answered, both processes hold the session's
/// descriptors.
const MAX_OFFERS_IN_FLIGHT: usize = 16;

/// The sessions to hand over to the successor.
#[derive(Default)]
pub(super) struct OfferQueue {
    /// The ids of the sessions that have not been offered yet.
    pub(super) waiting: VecDeque<u32>,
    /// The number of offers that the successor has not answered.
    in_flight: usize,
}

impl OfferQueue {
    /// Returns whether no further offer may be sent for now.
    pub(super) fn is_full(&self) -> bool {
        self.in_flight >= MAX_OFFERS_IN_FLIGHT
    }

    /// Records that an offer was sent.
    pub(super) fn offer_sent(&mut self) {
        self.in_flight += 1;
    }

    /// Records that an offer was answered, timed out or was cancelled.
    pub(super) fn offer_resolved(&mut self) {
        self.in_flight -= 1;
    }
}
