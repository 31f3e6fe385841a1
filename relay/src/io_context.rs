//! What every part of the loop works with during a turn.
use crate::buffers::Pool;
use crate::counters::Counters;
use crate::driver::Event;
use crate::sockets::Sockets;
use crate::timers::TimerQueue;
use std::collections::VecDeque;
use thistlecroft::time::Instant;

pub struct IoContext {
    /// The turn's moment: what a turn gathers has all happened at once.
    pub now: Instant,
    pub sockets: Sockets,
    pub pool: Pool,
    pub alarms: TimerQueue,
    pub news: VecDeque<Event>,
    pub counters: Counters,
    /// Sessions that stopped reading for want of a buffer.
    pub starved: VecDeque<u32>,
}
