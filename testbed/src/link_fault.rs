//! Faults of a link between two relays, in one direction: loss, delay, duplication and limited
//! rate. No I/O.
use thistlecroft::random::Rng;
use thistlecroft::time::Duration;

/// The fault of a link. The default passes every datagram without delay.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkFault {
    /// The probability that a copy of a datagram is lost.
    pub loss: f64,
    /// The delay of each datagram.
    pub delay: Duration,
    /// The maximum of a random time, drawn uniformly, that is added to the delay. If it is greater
    /// than the time between two datagrams, they may be reordered.
    pub jitter: Duration,
    /// The probability that a datagram is duplicated.
    pub duplication: f64,
    /// The rate in bytes per second beyond which datagrams are lost; 0 means no limit.
    pub bytes_per_second: u64,
}

impl LinkFault {
    /// A cut link, which loses every datagram.
    pub const CUT: LinkFault = LinkFault {
        loss: 1.0,
        delay: Duration::ZERO,
        jitter: Duration::ZERO,
        duplication: 0.0,
        bytes_per_second: 0,
    };

    /// Draws the delays of those copies of a datagram that arrive: none, one or two.
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
