//! Who comes when, and with what: worked out beforehand from a seed, so that the same seed gives
//! the same clients whatever the relays do. No I/O.
use thistlecroft::units::{Chance, Moment, Span};

/// Clients of one listener.
#[derive(Clone, Debug)]
pub struct Kind {
    pub name: String,
    /// Its part of the arrivals, against the others' parts.
    pub share: f64,
    /// How long such a client waits for its answer.
    pub wait: Span,
    pub handshake_target: Span,
    /// A message that takes no longer is well served.
    pub message_target: Span,
    /// A connection's load, drawn evenly between the two.
    pub load: (f64, f64),
    /// Mean life, and the mean of the exponential distribution it is drawn from.
    pub life: Span,
    pub utility: f64,
}

#[derive(Clone, Debug)]
pub struct Traffic {
    pub kinds: Vec<Kind>,
    /// Arrivals a second, from each moment on; evenly changing between two of them.
    pub rate: Vec<(Moment, f64)>,
    /// Extra arrivals: from when, how many, evenly over how long.
    pub rushes: Vec<(Moment, usize, Span)>,
    pub keys: u64,
    /// None where clients belong to no group.
    pub groups: Option<u64>,
    /// Retries of a client that was refused or failed.
    pub retries: u32,
    /// The part of clients that stay away for as long as they are told.
    pub heeds: f64,
    /// What the others wait.
    pub back_off: Span,
    /// A client whose connection broke or was moved comes again within these.
    pub rejoin: (Span, Span),
    /// The part of clients that leave before their wait is over.
    pub impatient: f64,
    /// Between two lines of a client.
    pub beat: Span,
}

/// A client as it comes: all its chance is drawn before the run.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    pub due: Moment,
    pub kind: u16,
    pub key: u64,
    pub group: Option<u64>,
    pub load: f64,
    pub life: Span,
    pub heeds: bool,
    pub leaves_after: Option<Span>,
    /// For all that is drawn for it while it lives.
    pub seed: u64,
}

/// Arrivals up to a moment, in their order.
pub fn arrivals(traffic: &Traffic, until: Moment, seed: u64) -> Vec<Arrival> {
    let mut chance = Chance::from_seed(seed);
    let mut due = Vec::new();
    // Thinning: drawn at the highest rate, kept by the rate of the moment.
    let highest = traffic
        .rate
        .iter()
        .map(|&(_, rate)| rate)
        .fold(0.0, f64::max);
    let mut at = Moment::default();
    let between = if highest > 0.0 {
        Span::from_ms(1_000) * (1.0 / highest)
    } else {
        until.since(at)
    };
    loop {
        at = at + exponential(&mut chance, between).max(Span::from_us(1));
        if at >= until || highest <= 0.0 {
            break;
        }
        if chance.float() * highest < rate_at(&traffic.rate, at) {
            due.push(at);
        }
    }
    for &(from, count, over) in &traffic.rushes {
        due.extend((0..count).map(|number| from + over * (number as f64 / count as f64)));
    }
    due.retain(|&at| at < until);
    due.sort();
    due.into_iter()
        .map(|due| arrival(traffic, due, &mut chance))
        .collect()
}

fn arrival(traffic: &Traffic, due: Moment, chance: &mut Chance) -> Arrival {
    let shares: f64 = traffic.kinds.iter().map(|kind| kind.share).sum();
    let mut drawn = chance.float() * shares;
    let past = |kind: &Kind| {
        drawn -= kind.share;
        drawn < 0.0
    };
    let place = traffic
        .kinds
        .iter()
        .position(past)
        .unwrap_or(traffic.kinds.len() - 1);
    let kind = &traffic.kinds[place];
    let (low, high) = kind.load;
    // Some keys come far oftener than others.
    let key = ((chance.float() * chance.float()) * traffic.keys as f64) as u64;
    Arrival {
        due,
        kind: place as u16,
        key: scattered(key),
        group: traffic
            .groups
            .map(|groups| scattered((chance.float() * chance.float() * groups as f64) as u64)),
        load: low + (high - low) * chance.float(),
        life: exponential(chance, kind.life),
        heeds: chance.float() < traffic.heeds,
        leaves_after: (chance.float() < traffic.impatient).then(|| kind.wait * chance.float()),
        seed: chance.below(u64::MAX),
    }
}

fn exponential(chance: &mut Chance, mean: Span) -> Span {
    mean * -(1.0 - chance.float()).ln()
}

/// Evenly between the stated moments, and as last stated after them.
fn rate_at(rates: &[(Moment, f64)], at: Moment) -> f64 {
    let next = rates.iter().position(|&(from, _)| from > at);
    match next {
        Some(0) => 0.0,
        None => rates.last().map_or(0.0, |&(_, rate)| rate),
        Some(next) => {
            let ((from, before), (to, after)) = (rates[next - 1], rates[next]);
            before + (after - before) * at.since(from).secs() / to.since(from).secs()
        }
    }
}

/// Small numbers as the sixteen digits of an id, far apart (the finalizer of splitmix64).
pub fn scattered(number: u64) -> u64 {
    let mut mixed = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn traffic() -> Traffic {
        let kind = |name: &str, share| Kind {
            name: name.into(),
            share,
            wait: Span::from_ms(1_000),
            handshake_target: Span::from_ms(300),
            message_target: Span::from_ms(50),
            load: (1.0, 3.0),
            life: Span::from_ms(20_000),
            utility: 1.0,
        };
        Traffic {
            kinds: vec![kind("one", 3.0), kind("two", 1.0)],
            rate: vec![
                (Moment::default(), 0.0),
                (Moment::from_us(10_000_000), 200.0),
            ],
            rushes: vec![(Moment::from_us(12_000_000), 500, Span::from_ms(1_000))],
            keys: 1_000,
            groups: Some(50),
            retries: 3,
            heeds: 0.5,
            back_off: Span::from_ms(100),
            rejoin: (Span::from_ms(100), Span::from_ms(200)),
            impatient: 0.1,
            beat: Span::from_ms(2_000),
        }
    }

    #[test]
    fn the_same_seed_gives_the_same_clients() {
        let until = Moment::from_us(20_000_000);
        let clients = arrivals(&traffic(), until, 7);
        assert_eq!(clients, arrivals(&traffic(), until, 7));
        assert_ne!(clients, arrivals(&traffic(), until, 8));
        // A ramp of ten seconds, ten at its height, and the rush.
        assert!((3_300..3_700).contains(&clients.len()), "{}", clients.len());
        assert!(clients.windows(2).all(|pair| pair[0].due <= pair[1].due));
        let ones =
            clients.iter().filter(|client| client.kind == 0).count() as f64 / clients.len() as f64;
        assert!((0.70..0.80).contains(&ones), "{ones}");
        let in_rush = |client: &&Arrival| (12_000_000..13_000_000).contains(&client.due.us());
        assert!((640..760).contains(&clients.iter().filter(in_rush).count()));
        let mean =
            clients.iter().map(|client| client.life.secs()).sum::<f64>() / clients.len() as f64;
        assert!((18.0..22.0).contains(&mean), "{mean}");
    }
}
