//! What every part of the relay works with during a turn.
use crate::buffers::{BUFFER_SIZE, BufferPool};
use crate::counters::Counters;
use crate::driver::Event;
use crate::sockets::Sockets;
use crate::timers::TimerQueue;
use std::collections::VecDeque;
use thistlecroft::time::Instant;

/// The resources and queues of the event loop.
pub(crate) struct IoContext {
    /// The time of the turn: what a turn gathers has all happened at once.
    pub(crate) now: Instant,
    pub(crate) sockets: Sockets,
    pub(crate) buffers: BufferPool,
    pub(crate) timers: TimerQueue,
    /// What the balancer is to be given at the end of the turn.
    pub(crate) events: VecDeque<Event>,
    pub(crate) counters: Counters,
    /// Sessions that stopped reading for want of a buffer.
    pub(crate) starved: VecDeque<u32>,
}

impl IoContext {
    /// With buffers that may take so many bytes.
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
