//! The simulator's wire format: batches of events in, replies with actions out.
mod batch;
mod codes;
mod events;
mod reply;

pub(crate) use batch::{Batch, Fields, read_batch};
pub(crate) use events::{
    Address, EndpointEntry, Event, Layout, Observation, Request, SessionKey, decode,
};
pub(crate) use reply::{Action, ActionKind, Reply};
