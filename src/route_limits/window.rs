//! Exact counts of the sessions and extra attempts within a sliding window.
use std::collections::VecDeque;

/// Maximum number of separate positions in either count. Events that arrive while a window holds
/// this many are merged with the newest position. Sessions then leave the window early and attempts
/// late, which allows fewer attempts than the limit, never more.
pub(super) const MAX_POSITIONS: usize = 4_096;

/// The attempts that a window allows and how many of them are spent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Allowance {
    /// Attempts that went out or are reserved.
    pub(crate) spent: f64,
    /// Attempts that the window allows.
    pub(crate) limit: f64,
}

impl Allowance {
    pub(crate) fn remaining(&self) -> f64 {
        self.limit - self.spent
    }
}

/// The length of a window and the attempts that it allows.
#[derive(Clone, Copy)]
pub(super) struct WindowLimit {
    /// The length of the window, in microseconds or in sessions.
    pub(super) length: u64,
    /// Attempts that the window allows without any session.
    pub(super) free: f64,
    /// Attempts that each session within it adds.
    pub(super) share: f64,
}

/// Sessions, and attempts beyond each session's first, within the last window. Positions are
/// microseconds or numbers of sessions.
#[derive(Default)]
pub(super) struct AttemptWindow {
    pub(super) sessions: EventCounts,
    pub(super) attempts: EventCounts,
    /// Attempts that were granted and have not gone out yet.
    pub(super) reserved: u32,
}

impl AttemptWindow {
    pub(super) fn record_session(&mut self, position: u64, length: u64) {
        self.sessions.add(position, MergedPosition::Earlier);
        self.remove_expired(position, length);
    }

    pub(super) fn record_attempt(&mut self, position: u64) {
        self.attempts.add(position, MergedPosition::Later);
    }

    pub(super) fn allowance(&mut self, position: u64, limit: WindowLimit) -> Allowance {
        self.remove_expired(position, limit.length);
        Allowance {
            spent: f64::from(self.attempts.total + self.reserved),
            limit: limit.free + limit.share * f64::from(self.sessions.total),
        }
    }

    /// Removes the events that have left the window. On the window's edge an attempt still counts
    /// and a session does not, so that the limit holds whether or not the edge is part of the
    /// window.
    fn remove_expired(&mut self, position: u64, length: u64) {
        self.sessions
            .remove_before((position + 1).saturating_sub(length));
        self.attempts.remove_before(position.saturating_sub(length));
    }
}

/// Events of a window by their position, oldest first.
#[derive(Default)]
pub(super) struct EventCounts {
    pub(super) positions: VecDeque<PositionCount>,
    total: u32,
}

pub(super) struct PositionCount {
    position: u64,
    count: u32,
}

/// The position at which merged events count.
#[derive(Clone, Copy, PartialEq)]
enum MergedPosition {
    Earlier,
    Later,
}

impl EventCounts {
    fn add(&mut self, position: u64, merged: MergedPosition) {
        self.total += 1;
        let is_full = self.positions.len() >= MAX_POSITIONS;
        match self.positions.back_mut() {
            Some(newest) if is_full || newest.position == position => {
                newest.count += 1;
                if merged == MergedPosition::Later {
                    newest.position = position;
                }
            }
            _ => self
                .positions
                .push_back(PositionCount { position, count: 1 }),
        }
    }

    /// Removes one event. An event that has left the window or was merged into another position
    /// stays counted, so that no other event is removed in its place.
    pub(super) fn remove_one(&mut self, position: u64) {
        let index = self
            .positions
            .partition_point(|event| event.position < position);
        if let Some(event) = self.positions.get_mut(index)
            && event.position == position
            && event.count > 0
        {
            event.count -= 1;
            self.total -= 1;
        }
    }

    /// Removes the events before this position, which have left the window.
    fn remove_before(&mut self, position: u64) {
        while let Some(event) = self.positions.front()
            && event.position < position
        {
            self.total -= event.count;
            self.positions.pop_front();
        }
    }
}
