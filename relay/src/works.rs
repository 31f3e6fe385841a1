//! What every part of the loop works with during a turn.
use crate::buffers::Pool;
use crate::counters::Counters;
use crate::front::News;
use crate::sockets::Sockets;
use crate::timers::Alarms;
use std::collections::VecDeque;
use thistlecroft::time::Instant;

pub struct Works {
    /// The turn's moment: what a turn gathers has all happened at once.
    pub now: Instant,
    pub sockets: Sockets,
    pub pool: Pool,
    pub alarms: Alarms,
    pub news: VecDeque<News>,
    pub counters: Counters,
    /// Sessions that stopped reading for want of a buffer.
    pub starved: VecDeque<u32>,
}
