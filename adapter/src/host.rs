//! The instances of the process. They share no state.
use crate::error::{EventError, RecordError};
use crate::instance::Instance;
use crate::wire::{Batch, Fields, Reply, Request};
use std::any::Any;
use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};
use thistlecroft::time::Instant;

/// The running instances, by their number on the wire.
#[derive(Default)]
pub(crate) struct Host {
    instances: BTreeMap<u16, Instance>,
}

impl Host {
    /// Handles the events of a batch and returns the encoded reply.
    pub(crate) fn answer(&mut self, batch: &Batch) -> Result<Vec<u8>, RecordError> {
        let mut reply = Reply::default();
        let now = Instant::from_micros(batch.clock);
        for (index, record) in batch.events().enumerate() {
            let instance = record.u16(2);
            // A panic of the balancer ends its instance, not the process, and is reported in the
            // reply.
            let handled = catch_unwind(AssertUnwindSafe(|| {
                self.handle(batch, record, instance, now, &mut reply)
            }));
            match handled {
                Ok(result) => result.map_err(|source| RecordError { index, source })?,
                Err(panic) => {
                    reply.push_panic(instance, panic_message(&*panic));
                    self.instances.remove(&instance);
                }
            }
        }
        Ok(reply.encode(batch.number))
    }

    fn handle(
        &mut self,
        batch: &Batch,
        record: Fields,
        instance: u16,
        now: Instant,
        reply: &mut Reply,
    ) -> Result<(), EventError> {
        match Request::decode(batch, record)? {
            Request::Start { seed, settings } => {
                let started = Instance::start(instance, seed, settings, now, reply)?;
                self.instances.insert(instance, started);
                Ok(())
            }
            Request::Stop => match self.instances.remove(&instance) {
                Some(_) => Ok(()),
                None => Err(EventError::NotStarted { instance }),
            },
            Request::Event => self
                .instances
                .get_mut(&instance)
                .ok_or(EventError::NotStarted { instance })?
                .handle(batch, record, now, reply),
        }
    }
}

/// Returns the message of a panic.
fn panic_message(panic: &(dyn Any + Send)) -> &str {
    let owned = panic.downcast_ref::<String>().map(String::as_str);
    owned
        .or_else(|| panic.downcast_ref::<&str>().copied())
        .unwrap_or("fault")
}
