//! Clients that violate the protocol.
use super::client::{Client, ClientState};
use super::generator::{LoadGenerator, Timer};
use super::plan::Misbehavior;
use super::protocol;
use crate::event_loop::LoopContext;
use thistlecroft::time::Duration;

/// The time between two writes of a client that never reads.
const FLOOD_INTERVAL: Duration = Duration::from_millis(20);
/// Added to the numbers of misbehaving clients, so that they differ from those of all arrivals.
const NUMBER_OFFSET: u64 = 1 << 43;
/// The number of low bits that count the misbehaving clients of one load generator. The bits above
/// hold the number of its first arrival, which no other load generator has.
const GENERATOR_NUMBER_BITS: u32 = 30;

impl LoadGenerator {
    /// Adds clients that connect now and violate the protocol in this way.
    pub(super) fn add_misbehaving(
        &mut self,
        misbehavior: Misbehavior,
        count: usize,
        context: &mut LoopContext<Timer>,
    ) {
        let Some(&(first_arrival, _)) = self.arrivals.first() else {
            return;
        };
        for _ in 0..count {
            self.totals.misbehaving += 1;
            let number =
                NUMBER_OFFSET + (first_arrival << GENERATOR_NUMBER_BITS) + self.totals.misbehaving;
            let seed = self.rng.below(u64::MAX);
            let client = Client::new(0, number, context.now, seed, Some(misbehavior));
            let key = self.clients.insert(client);
            self.connect(key, context);
        }
    }

    /// Handles a line for a misbehaving client. A client that never reads starts to flood when it
    /// is accepted; all others leave at the first line.
    pub(super) fn on_misbehaving_line(
        &mut self,
        key: usize,
        misbehavior: Misbehavior,
        line: &str,
        context: &mut LoopContext<Timer>,
    ) {
        if misbehavior == Misbehavior::NeverReads && protocol::is_accepted(line) {
            let id = self.set_state(key, ClientState::Established);
            context.set_timer(context.now, Timer::NextMessage(id));
        } else {
            self.totals.misbehaving_answered += 1;
            self.remove_client(key, context);
        }
    }

    /// Sends messages without reading their echoes, until all buffers on the way are full.
    pub(super) fn flood(&mut self, key: usize, context: &mut LoopContext<Timer>) {
        let Some(socket) = &mut self.clients[key].socket else {
            return;
        };
        socket.set_frozen(false);
        let sent = if socket.is_flushed() {
            socket.send(protocol::flood().as_bytes())
        } else {
            socket.flush()
        };
        socket.set_frozen(true);
        if sent.is_ok() {
            self.set_message_timer(key, FLOOD_INTERVAL, context);
        } else {
            self.totals.misbehaving_answered += 1;
            self.remove_client(key, context);
        }
    }
}
