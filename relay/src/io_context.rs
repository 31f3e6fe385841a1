//! The shared resources and queues that all parts of the relay use during a turn.
use crate::buffers::{BUFFER_SIZE, BufferPool};
use crate::counters::Counters;
use crate::driver::Event;
use crate::sockets::Sockets;
use crate::timers::TimerQueue;
use std::collections::VecDeque;
use thistlecroft::time::Instant;

/// The resources and queues of the event loop.
pub(crate) struct IoContext {
    /// The time of the turn. All events of a turn count as happening at this time.
    pub(crate) now: Instant,
    pub(crate) sockets: Sockets,
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
    pub(crate) fn new(now: Instant, sockets: Sockets, buffer_bytes: usize) -> IoContext {
        IoContext {
            now,
            sockets,
            buffers: BufferPool::new(buffer_bytes / BUFFER_SIZE),
            timers: TimerQueue::default(),
            events: VecDeque::new(),
            counters: Counters::default(),
            starved: VecDeque::new(),
        }
    }
}
