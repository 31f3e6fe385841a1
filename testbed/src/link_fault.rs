//! What becomes of a datagram between two relays, in one direction. No I/O.
use thistlecroft::random::Rng;
use thistlecroft::time::Duration;

/// The fault of a link; the default one passes everything at once.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkFault {
    /// The part of the datagrams that is lost.
    pub loss: f64,
    /// The delay of each datagram.
    pub delay: Duration,
    /// Added to the delay, drawn evenly from nothing up to this; where it is greater than the time
    /// between two datagrams, it reorders them.
    pub jitter: Duration,
    /// The part of the datagrams that is duplicated.
    pub duplication: f64,
    /// Bytes that pass in a second, beyond which datagrams are lost; 0 for no limit.
    pub bytes_per_second: u64,
}

impl LinkFault {
    /// Nothing passes.
    pub const CUT: LinkFault = LinkFault {
        loss: 1.0,
        delay: Duration::ZERO,
        jitter: Duration::ZERO,
        duplication: 0.0,
        bytes_per_second: 0,
    };

    /// Draws the delays of a datagram's copies that arrive: one, two or none.
    pub fn delays(&self, rng: &mut Rng) -> Vec<Duration> {
        let copies = if rng.unit_f64() < self.duplication {
            2
        } else {
            1
        };
        let mut delays = Vec::new();
        for _ in 0..copies {
            if rng.unit_f64() >= self.loss {
                delays.push(self.delay + self.jitter * rng.unit_f64());
            }
        }
        delays
    }
}
