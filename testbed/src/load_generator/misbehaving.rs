//! Clients that break the protocol.
use super::client::{Client, ClientState};
use super::generator::{LoadGenerator, Timer};
use super::plan::Misbehavior;
use super::protocol;
use crate::event_loop::LoopContext;
use thistlecroft::time::Duration;

/// Between two writes of a client that never reads.
const FLOOD_INTERVAL: Duration = Duration::from_millis(20);
/// Numbers of these clients, other than those of all arrivals.
const FIRST_NUMBER: u64 = 1 << 43;
/// Each load generator has numbers of its own, by its first arrival, in bits.
const NUMBER_BITS: u32 = 30;

impl LoadGenerator {
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
            let number = FIRST_NUMBER + (first_arrival << NUMBER_BITS) + self.totals.misbehaving;
            let seed = self.rng.below(u64::MAX);
            let client = Client::new(0, number, context.now, seed, Some(misbehavior));
            let key = self.clients.insert(client);
            self.connect(key, context);
        }
    }

    /// A client that never reads starts to send once it is established; the others leave with the
    /// first line that they get.
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
            self.remove(key, context);
        }
    }

    /// Sends more than all buffers on the way hold, and leaves what comes back unread.
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
            self.remove(key, context);
        }
    }
}
