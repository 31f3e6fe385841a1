//! What becomes of a datagram between two relays, in one direction. No I/O.
use thistlecroft::random::Rng;
use thistlecroft::time::Duration;

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkFault {
    /// The part that is lost.
    pub loss: f64,
    pub delay: Duration,
    /// Added, drawn evenly from nothing up to this; greater than the time between two datagrams, it
    /// reorders them.
    pub jitter: Duration,
    /// The part that comes twice.
    pub duplication: f64,
    /// Bytes a second that pass; what is above is lost. 0: no limit.
    pub bytes_per_second: u64,
}

impl LinkFault {
    pub const CUT: LinkFault = LinkFault {
        loss: 1.0,
        delay: Duration::ZERO,
        jitter: Duration::ZERO,
        duplication: 0.0,
        bytes_per_second: 0,
    };

    /// After how long it arrives, once, twice or never.
    pub fn passes(&self, chance: &mut Rng) -> Vec<Duration> {
        let copies = if chance.unit_f64() < self.duplication {
            2
        } else {
            1
        };
        let mut after = Vec::new();
        for _ in 0..copies {
            if chance.unit_f64() >= self.loss {
                after.push(self.delay + self.jitter * chance.unit_f64());
            }
        }
        after
    }
}
