//! Which clients arrive when, and with what: drawn beforehand from a seed, so that the same seed
//! gives the same clients whatever the relays do. No I/O.
use thistlecroft::random::Rng;
use thistlecroft::time::{Duration, Instant};

/// The clients of one listener.
#[derive(Clone, Debug)]
pub struct ClientProfile {
    /// The listener's name.
    pub name: String,
    /// Its part of the arrivals, against the parts of others.
    pub share: f64,
    /// How long such a client waits for its answer.
    pub answer_timeout: Duration,
    /// The latency objective of set-ups.
    pub handshake_target: Duration,
    /// A message that takes no longer is well served.
    pub message_target: Duration,
    /// A session's load, drawn evenly between the two.
    pub load: (f64, f64),
    /// The mean lifetime, which has an exponential distribution.
    pub mean_lifetime: Duration,
    /// The worth of its sessions against those of others.
    pub priority_weight: f64,
}

/// Extra arrivals, evenly spread over a time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Burst {
    /// When the first client arrives.
    pub begin: Instant,
    /// The number of clients.
    pub clients: usize,
    /// The time over which they arrive.
    pub duration: Duration,
}

/// How clients arrive and behave.
#[derive(Clone, Debug)]
pub struct Traffic {
    /// The clients of each listener.
    pub profiles: Vec<ClientProfile>,
    /// Arrivals a second at each of these times, changing evenly between two of them.
    pub rate: Vec<(Instant, f64)>,
    /// Arrivals besides these.
    pub bursts: Vec<Burst>,
    /// The number of different keys.
    pub keys: u64,
    /// The number of groups; none where clients belong to no group.
    pub groups: Option<u64>,
    /// Retries of a client that was rejected or failed.
    pub retries: u32,
    /// The part of the clients that wait for as long as a rejection asks them to.
    pub retry_after_share: f64,
    /// The mean wait of the others.
    pub backoff: Duration,
    /// The least and the greatest time after which a client connects again whose established
    /// session was lost or migrated.
    pub reconnect_delay: (Duration, Duration),
    /// The part of the clients that leave before their answer.
    pub impatient_share: f64,
    /// The time between two messages of a client.
    pub message_interval: Duration,
}

/// The arrival of a client with all that was drawn for it.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// When it arrives.
    pub due: Instant,
    /// Its profile, by its place in the traffic.
    pub profile: u16,
    /// Its key.
    pub key: u64,
    /// Its group, if it belongs to one.
    pub group: Option<u64>,
    /// The load of its session.
    pub load: f64,
    /// How long it wants to be connected.
    pub lifetime: Duration,
    /// It waits for as long as a rejection asks it to.
    pub heeds_retry_after: bool,
    /// It leaves so long after its request if it has no answer by then.
    pub leaves_after: Option<Duration>,
    /// Seeds what is drawn for it during the run.
    pub seed: u64,
}

impl Burst {
    fn arrivals(self) -> impl Iterator<Item = Instant> {
        (0..self.clients)
            .map(move |number| self.begin + self.duration * (number as f64 / self.clients as f64))
    }
}

/// All arrivals before this time, in their order.
pub fn draw_arrivals(traffic: &Traffic, until: Instant, seed: u64) -> Vec<Arrival> {
    let mut rng = Rng::from_seed(seed);
    let mut due = steady_arrivals(traffic, until, &mut rng);
    for burst in &traffic.bursts {
        due.extend(burst.arrivals());
    }
    due.retain(|&at| at < until);
    due.sort();
    due.into_iter()
        .map(|due| arrival(traffic, due, &mut rng))
        .collect()
}

/// Arrivals of a Poisson process by thinning: drawn at the highest rate, and kept with the part
/// that the rate of their time is of it.
fn steady_arrivals(traffic: &Traffic, until: Instant, rng: &mut Rng) -> Vec<Instant> {
    let highest_rate = traffic
        .rate
        .iter()
        .map(|&(_, rate)| rate)
        .fold(0.0, f64::max);
    let mut due = Vec::new();
    let mut at = Instant::default();
    let mean_interval = if highest_rate > 0.0 {
        Duration::from_millis(1_000) * (1.0 / highest_rate)
    } else {
        until.duration_since(at)
    };
    loop {
        at = at + exponential(rng, mean_interval).max(Duration::from_micros(1));
        if at >= until || highest_rate <= 0.0 {
            return due;
        }
        if rng.unit_f64() * highest_rate < rate_at(&traffic.rate, at) {
            due.push(at);
        }
    }
}

fn arrival(traffic: &Traffic, due: Instant, rng: &mut Rng) -> Arrival {
    let shares: f64 = traffic.profiles.iter().map(|profile| profile.share).sum();
    let mut drawn = rng.unit_f64() * shares;
    let is_drawn = |profile: &ClientProfile| {
        drawn -= profile.share;
        drawn < 0.0
    };
    let place = traffic
        .profiles
        .iter()
        .position(is_drawn)
        .unwrap_or(traffic.profiles.len() - 1);
    let profile = &traffic.profiles[place];
    let (low, high) = profile.load;
    let key = skewed(rng, traffic.keys);
    Arrival {
        due,
        profile: place as u16,
        key: scattered_id(key),
        group: traffic
            .groups
            .map(|groups| scattered_id(skewed(rng, groups))),
        load: low + (high - low) * rng.unit_f64(),
        lifetime: exponential(rng, profile.mean_lifetime),
        heeds_retry_after: rng.unit_f64() < traffic.retry_after_share,
        leaves_after: (rng.unit_f64() < traffic.impatient_share)
            .then(|| profile.answer_timeout * rng.unit_f64()),
        seed: rng.below(u64::MAX),
    }
}

/// A number below the limit; small ones are drawn far more often.
fn skewed(rng: &mut Rng, limit: u64) -> u64 {
    (rng.unit_f64() * rng.unit_f64() * limit as f64) as u64
}

/// Draws from an exponential distribution.
fn exponential(rng: &mut Rng, mean: Duration) -> Duration {
    mean * -(1.0 - rng.unit_f64()).ln()
}

/// The rate at a time: it changes evenly between two stated times, and stays after the last.
fn rate_at(rates: &[(Instant, f64)], at: Instant) -> f64 {
    let next = rates.iter().position(|&(from, _)| from > at);
    match next {
        Some(0) => 0.0,
        None => rates.last().map_or(0.0, |&(_, rate)| rate),
        Some(next) => {
            let ((from, before), (to, after)) = (rates[next - 1], rates[next]);
            before
                + (after - before) * at.duration_since(from).as_secs_f64()
                    / to.duration_since(from).as_secs_f64()
        }
    }
}

/// Turns successive numbers into ids that are far apart, by the finalizer of splitmix64.
pub fn scattered_id(number: u64) -> u64 {
    let mut mixed = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

#[cfg(test)]
mod tests;
