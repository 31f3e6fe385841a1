//! Who comes when, and with what: worked out beforehand from a seed, so that the same seed gives
//! the same clients whatever the relays do. No I/O.
use thistlecroft::random::Rng;
use thistlecroft::time::{Duration, Instant};

/// Clients of one listener.
#[derive(Clone, Debug)]
pub struct ClientProfile {
    pub name: String,
    /// Its part of the arrivals, against the others' parts.
    pub share: f64,
    /// How long such a client waits for its answer.
    pub answer_timeout: Duration,
    pub handshake_target: Duration,
    /// A message that takes no longer is well served.
    pub message_target: Duration,
    /// A connection's load, drawn evenly between the two.
    pub load: (f64, f64),
    /// Mean life, and the mean of the exponential distribution it is drawn from.
    pub mean_lifetime: Duration,
    pub priority_weight: f64,
}

#[derive(Clone, Debug)]
pub struct Traffic {
    pub profiles: Vec<ClientProfile>,
    /// Arrivals a second, from each moment on; evenly changing between two of them.
    pub rate: Vec<(Instant, f64)>,
    /// Extra arrivals: from when, how many, evenly over how long.
    pub bursts: Vec<(Instant, usize, Duration)>,
    pub keys: u64,
    /// None where clients belong to no group.
    pub groups: Option<u64>,
    /// Retries of a client that was refused or failed.
    pub retries: u32,
    /// The part of clients that stay away for as long as they are told.
    pub heeds_retry_after: f64,
    /// What the others wait.
    pub backoff: Duration,
    /// A client whose connection broke or was moved comes again within these.
    pub reconnect_delay: (Duration, Duration),
    /// The part of clients that leave before their wait is over.
    pub impatient_share: f64,
    /// Between two lines of a client.
    pub message_interval: Duration,
}

/// A client as it comes: all its chance is drawn before the run.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    pub due: Instant,
    pub profile: u16,
    pub key: u64,
    pub group: Option<u64>,
    pub load: f64,
    pub lifetime: Duration,
    pub heeds_retry_after: bool,
    pub leaves_after: Option<Duration>,
    /// For all that is drawn for it while it lives.
    pub seed: u64,
}

/// Arrivals up to a moment, in their order.
pub fn arrivals(traffic: &Traffic, until: Instant, seed: u64) -> Vec<Arrival> {
    let mut chance = Rng::from_seed(seed);
    let mut due = Vec::new();
    // Thinning: drawn at the highest rate, kept by the rate of the moment.
    let highest = traffic
        .rate
        .iter()
        .map(|&(_, rate)| rate)
        .fold(0.0, f64::max);
    let mut at = Instant::default();
    let between = if highest > 0.0 {
        Duration::from_millis(1_000) * (1.0 / highest)
    } else {
        until.duration_since(at)
    };
    loop {
        at = at + exponential(&mut chance, between).max(Duration::from_micros(1));
        if at >= until || highest <= 0.0 {
            break;
        }
        if chance.unit_f64() * highest < rate_at(&traffic.rate, at) {
            due.push(at);
        }
    }
    for &(from, count, over) in &traffic.bursts {
        due.extend((0..count).map(|number| from + over * (number as f64 / count as f64)));
    }
    due.retain(|&at| at < until);
    due.sort();
    due.into_iter()
        .map(|due| arrival(traffic, due, &mut chance))
        .collect()
}

fn arrival(traffic: &Traffic, due: Instant, chance: &mut Rng) -> Arrival {
    let shares: f64 = traffic.profiles.iter().map(|kind| kind.share).sum();
    let mut drawn = chance.unit_f64() * shares;
    let past = |kind: &ClientProfile| {
        drawn -= kind.share;
        drawn < 0.0
    };
    let place = traffic
        .profiles
        .iter()
        .position(past)
        .unwrap_or(traffic.profiles.len() - 1);
    let kind = &traffic.profiles[place];
    let (low, high) = kind.load;
    // Some keys come far oftener than others.
    let key = ((chance.unit_f64() * chance.unit_f64()) * traffic.keys as f64) as u64;
    Arrival {
        due,
        profile: place as u16,
        key: scattered_id(key),
        group: traffic.groups.map(|groups| {
            scattered_id((chance.unit_f64() * chance.unit_f64() * groups as f64) as u64)
        }),
        load: low + (high - low) * chance.unit_f64(),
        lifetime: exponential(chance, kind.mean_lifetime),
        heeds_retry_after: chance.unit_f64() < traffic.heeds_retry_after,
        leaves_after: (chance.unit_f64() < traffic.impatient_share)
            .then(|| kind.answer_timeout * chance.unit_f64()),
        seed: chance.below(u64::MAX),
    }
}

fn exponential(chance: &mut Rng, mean: Duration) -> Duration {
    mean * -(1.0 - chance.unit_f64()).ln()
}

/// Evenly between the stated moments, and as last stated after them.
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

/// Small numbers as the sixteen digits of an id, far apart (the finalizer of splitmix64).
pub fn scattered_id(number: u64) -> u64 {
    let mut mixed = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

#[cfg(test)]
mod tests;
