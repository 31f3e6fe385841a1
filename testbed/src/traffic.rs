//! The clients of a run: when they arrive and what they ask for. All arrivals are drawn from a seed
//! before the run, so that the same seed gives the same clients whatever the relays do. No I/O.
use thistlecroft::random::Rng;
use thistlecroft::time::{Duration, Instant};

/// The clients of one listener.
#[derive(Clone, Debug)]
pub struct ClientProfile {
    /// The listener's name.
    pub name: String,
    /// The listener's share of the arrivals, relative to the shares of other listeners.
    pub share: f64,
    /// How long such a client waits for its answer.
    pub answer_timeout: Duration,
    /// The latency objective of set-ups.
    pub handshake_target: Duration,
    /// The longest time in which the echo of a message counts as served.
    pub message_target: Duration,
    /// The minimum and maximum load of a session, which is drawn uniformly between them.
    pub load: (f64, f64),
    /// The mean of a client's lifetime, which is exponentially distributed.
    pub mean_lifetime: Duration,
    /// The weight of the listener's sessions relative to those of other listeners.
    pub priority_weight: f64,
}

/// Additional arrivals, spread evenly over a period.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Burst {
    /// When the first client arrives.
    pub begin: Instant,
    /// The number of clients.
    pub clients: usize,
    /// The time over which the clients arrive.
    pub duration: Duration,
}

/// How clients arrive and behave.
#[derive(Clone, Debug)]
pub struct Traffic {
    /// The clients of each listener.
    pub profiles: Vec<ClientProfile>,
    /// Arrivals per second at each of these times, interpolated linearly between them.
    pub rate: Vec<(Instant, f64)>,
    /// Arrivals in addition to the rate.
    pub bursts: Vec<Burst>,
    /// The number of different keys that requests carry.
    pub keys: u64,
    /// The number of groups; `None` if clients belong to no group.
    pub groups: Option<u64>,
    /// How often a client retries after its request was rejected or failed.
    pub retries: u32,
    /// The share of the clients that wait for the time that a rejection asks for.
    pub retry_after_share: f64,
    /// The mean wait before a retry in all other cases.
    pub backoff: Duration,
    /// The minimum and maximum time after which a client connects again when its established
    /// session was lost or asked to migrate.
    pub reconnect_delay: (Duration, Duration),
    /// The share of the clients that leave if their answer doesn't come soon enough.
    pub impatient_share: f64,
    /// The time between two messages of a client.
    pub message_interval: Duration,
}

/// The arrival of a client, with the properties drawn for that client.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// When the client arrives.
    pub due: Instant,
    /// The index of the client's profile in [`Traffic::profiles`].
    pub profile: u16,
    /// The key in the client's requests.
    pub key: u64,
    /// The client's group, if it belongs to one.
    pub group: Option<u64>,
    /// The load of the client's session.
    pub load: f64,
    /// How long the client wants to be connected.
    pub lifetime: Duration,
    /// Whether the client waits for the time that a rejection asks for.
    pub heeds_retry_after: bool,
    /// How long after its request the client leaves if it has no answer by then.
    pub leaves_after: Option<Duration>,
    /// The seed of the random numbers drawn for the client during the run.
    pub seed: u64,
}

impl Burst {
    fn arrival_times(self) -> impl Iterator<Item = Instant> {
        (0..self.clients)
            .map(move |number| self.begin + self.duration * (number as f64 / self.clients as f64))
    }
}

/// Draws all arrivals before this time, ordered by time.
pub fn draw_arrivals(traffic: &Traffic, until: Instant, seed: u64) -> Vec<Arrival> {
    let mut rng = Rng::from_seed(seed);
    let mut due = draw_poisson_arrivals(traffic, until, &mut rng);
    for burst in &traffic.bursts {
        due.extend(burst.arrival_times());
    }
    due.retain(|&at| at < until);
    due.sort();
    due.into_iter()
        .map(|due| draw_arrival(traffic, due, &mut rng))
        .collect()
}

/// Draws the arrival times of a Poisson process with a varying rate by thinning: times are drawn at
/// the highest rate, and each is kept with the probability of the rate at that time over the
/// highest rate.
fn draw_poisson_arrivals(traffic: &Traffic, until: Instant, rng: &mut Rng) -> Vec<Instant> {
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
        at = at + draw_exponential(rng, mean_interval).max(Duration::from_micros(1));
        if at >= until || highest_rate <= 0.0 {
            return due;
        }
        if rng.unit_f64() * highest_rate < rate_at(&traffic.rate, at) {
            due.push(at);
        }
    }
}

/// Draws the properties of a client that arrives at this time.
fn draw_arrival(traffic: &Traffic, due: Instant, rng: &mut Rng) -> Arrival {
    let shares: f64 = traffic.profiles.iter().map(|profile| profile.share).sum();
    let mut drawn = rng.unit_f64() * shares;
    let is_drawn = |profile: &ClientProfile| {
        drawn -= profile.share;
        drawn < 0.0
    };
    let profile_index = traffic
        .profiles
        .iter()
        .position(is_drawn)
        .unwrap_or(traffic.profiles.len() - 1);
    let profile = &traffic.profiles[profile_index];
    let (low, high) = profile.load;
    let key = draw_skewed(rng, traffic.keys);
    Arrival {
        due,
        profile: profile_index as u16,
        key: scattered_id(key),
        group: traffic
            .groups
            .map(|groups| scattered_id(draw_skewed(rng, groups))),
        load: low + (high - low) * rng.unit_f64(),
        lifetime: draw_exponential(rng, profile.mean_lifetime),
        heeds_retry_after: rng.unit_f64() < traffic.retry_after_share,
        leaves_after: (rng.unit_f64() < traffic.impatient_share)
            .then(|| profile.answer_timeout * rng.unit_f64()),
        seed: rng.below(u64::MAX),
    }
}

/// Draws a number below the limit from a skewed distribution: small numbers are far more likely.
fn draw_skewed(rng: &mut Rng, limit: u64) -> u64 {
    (rng.unit_f64() * rng.unit_f64() * limit as f64) as u64
}

/// Draws from an exponential distribution.
fn draw_exponential(rng: &mut Rng, mean: Duration) -> Duration {
    mean * -(1.0 - rng.unit_f64()).ln()
}

/// Returns the rate at a time: zero before the first listed time, interpolated linearly between two
/// of them, and constant after the last.
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

/// Returns an id for a number so that the ids of successive numbers are far apart. The bits are
/// mixed by the finalizer of splitmix64.
pub fn scattered_id(number: u64) -> u64 {
    let mut mixed = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

#[cfg(test)]
mod tests;
