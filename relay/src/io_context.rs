//! The shared resources and queues that all parts of the relay use during a turn.
use crate::buffers::{BUFFER_SIZE, BufferPool};
use crate::counters::Counters;
use crate::descriptors::DescriptorBudget;
use crate::driver::Event;
use crate::health_check::pool::HealthCheckPool;
use crate::sockets::Sockets;
use crate::timers::TimerQueue;
use std::collections::VecDeque;
use thistlecroft::time::Instant;

/// The resources and queues of the event loop.
pub(crate) struct IoContext {
    /// The time of the turn. All events of a turn count as happening at this time.
    pub(crate) now: Instant,
    pub(crate) sockets: Sockets,
    pub(crate) descriptors: DescriptorBudget,
    pub(crate) health_checks: HealthCheckPool,
    pub(crate) buffers: BufferPool,
    pub(crate) timers: TimerQueue,
    /// The events that are delivered to the balancer at the end of the turn.
    pub(crate) events: VecDeque<Event>,
    pub(crate) counters: Counters,
    /// The ids of sessions that stopped reading for lack of a buffer.
    pub(crate) starved: VecDeque<u32>,
}

impl IoContext {
    /// Creates a context whose buffers may take `buffer_bytes` in total.
    pub(crate) fn new(
        now: Instant,
        sockets: Sockets,
        descriptors: DescriptorBudget,
        health_checks: HealthCheckPool,
        buffer_bytes: usize,
    ) -> IoContext {
        IoContext {
            now,
            sockets,
            descriptors,
            health_checks,
            buffers: BufferPool::new(buffer_bytes / BUFFER_SIZE),
            timers: TimerQueue::default(),
            events: VecDeque::new(),
            counters: Counters::default(),
            starved: VecDeque::new(),
        }
    }

    /// Returns whether a descriptor is free for a session. Connections of health checks are closed
    /// until one is.
    pub(crate) fn claim_descriptor(&mut self) -> bool {
        self.close_health_checks_until(DescriptorBudget::has_free)
    }

    /// Returns whether descriptors are free for this many sockets of the other process, closing
    /// connections of health checks for them.
    pub(crate) fn claim_descriptors_for_adoption(&mut self, count: usize) -> bool {
        self.close_health_checks_until(|budget, sockets| {
            budget.has_free_for_adoption(sockets, count)
        })
    }

    fn close_health_checks_until(
        &mut self,
        is_enough: impl Fn(&DescriptorBudget, &Sockets) -> bool,
    ) -> bool {
        while !is_enough(&self.descriptors, &self.sockets) {
            let is_closed = self.descriptors.counts_health_checks(&self.sockets)
                && self.health_checks.close_any(&mut self.buffers);
            if !is_closed {
                return false;
            }
            self.counters.probes_closed += 1;
        }
        true
    }
}

#[cfg(test)]
pub(crate) mod tests;
