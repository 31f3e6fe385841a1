//! Slow start at one backend, whose budget the relays share.
mod support;

use std::collections::BTreeSet;
use support::{Harness, IDEMPOTENT, arrival, deployment, endpoint, ms, ready_endpoints};
use thistlecroft::attempt::AttemptOutcome;
use thistlecroft::deployment::Deployment;
use thistlecroft::endpoint::EndpointState;
use thistlecroft::time::Duration;

const WARM_UP: Duration = Duration::from_millis(10_000);
const WINDOW: Duration = Duration::from_millis(2_000);
/// The number of the backend that starts.
const STARTED_BACKEND: u32 = 9;

/// What the relays know before the backend starts.
#[derive(Clone, Copy)]
struct Traffic {
    relays: u32,
    /// Connections that each relay holds, of which one in ten departs.
    connections: u32,
    /// How long the connections have been established.
    established_for: Duration,
    /// The load that the warm backends report, if they report any.
    load: Option<f64>,
}

impl Traffic {
    fn has_fast_turnover(&self) -> bool {
        self.established_for < ms(1_000)
    }

    /// Returns the number of connections at each of the four warm backends.
    fn connections_each(&self) -> f64 {
        f64::from(self.connections * self.relays) / 4.0
    }

    /// Returns how many connections per second a warm backend takes: as many as depart from a full
    /// one, but no more than would fill it over its warm-up. At first each relay assumes one
    /// departure in three warm-ups.
    fn warm_rate(&self) -> f64 {
        let departures = f64::from(self.connections.div_ceil(10) + 1);
        let seconds = f64::from(self.connections) * self.established_for.as_secs_f64() + 30.0;
        let departure_rate = if self.has_fast_turnover() {
            0.1
        } else {
            (departures / seconds).min(0.1)
        };
        self.connections_each() / self.load.unwrap_or(1.0) * departure_rate
    }
}

/// An attempt at the backend that has started, made at this age of the backend.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Placement {
    age: Duration,
    relay: u32,
}

/// Returns the attempts of all relays at a backend that has just started, while sessions arrive
/// everywhere in abundance.
fn placements(traffic: Traffic) -> Vec<Placement> {
    let mut placements = Vec::new();
    for relay in 0..traffic.relays {
        let deployment = Deployment {
            relay_index: relay,
            relay_count: traffic.relays,
            groups_share_work: false,
            ..deployment(IDEMPOTENT)
        };
        let mut harness = Harness::new(deployment, &ready_endpoints(4));
        (0..traffic.connections).for_each(|id| harness.inherit(id, id % 4));
        harness.advance(traffic.established_for);
        (0..traffic.connections.div_ceil(10))
            .for_each(|id| harness.end(id, 0, AttemptOutcome::Ok, true));
        if traffic.load.is_some() {
            let connections = Some(traffic.connections_each());
            (0..4).for_each(|backend| harness.report(backend, connections, traffic.load));
        }
        let started_at = harness.now;
        harness.update(endpoint(
            STARTED_BACKEND,
            EndpointState::Ready,
            Some(started_at),
        ));
        for id in 0..500 {
            harness.advance(ms(20));
            if traffic.has_fast_turnover() {
                // Other connections keep arriving and departing at the same rate.
                harness.inherit(50_000 + id, id % 4);
                harness.end(50_000 + id, 0, AttemptOutcome::Ok, true);
            }
            if harness
                .arrive(10_000 + id, arrival(0, 0, ms(4_800)))
                .is_some_and(|target| target.backend == STARTED_BACKEND)
            {
                let age = harness.now.duration_since(started_at);
                placements.push(Placement { age, relay });
            }
            if traffic.load.is_none() {
                // The number of connections stays as it was.
                harness.end(10_000 + id, 0, AttemptOutcome::Ok, true);
            }
        }
    }
    placements.retain(|placement| placement.age < WARM_UP);
    placements.sort_unstable();
    placements
}

#[test]
fn slow_start_budget_shared_by_relays() {
    // If it is not known how many connections a backend takes, a window holds one attempt for each
    // turn that it overlaps. Each case: the traffic, and how many relays may share a turn.
    let with_slow_turnover = |relays, connections, load| Traffic {
        relays,
        connections,
        established_for: ms(10_000),
        load,
    };
    let reported = Some(0.05);
    let fast_turnover = Traffic {
        established_for: ms(100),
        ..with_slow_turnover(2, 8, reported)
    };
    let cases = [
        (with_slow_turnover(1, 0, reported), 1),
        (with_slow_turnover(3, 0, reported), 1),
        (with_slow_turnover(2, 40, reported), 2),
        (fast_turnover, 2),
        (with_slow_turnover(200, 0, reported), 1),
        (with_slow_turnover(200, 10, reported), 200),
        // Without reports a warm backend is assumed to take at least as many connections as it
        // holds.
        (with_slow_turnover(200, 0, None), 1),
        (with_slow_turnover(200, 10, None), 200),
    ];
    for (traffic, max_sharing) in cases {
        let placements = placements(traffic);
        let case = format!(
            "{} relays, {} connections each",
            traffic.relays, traffic.connections
        );
        assert!(
            !placements.is_empty(),
            "{case}: the started backend is not used"
        );
        for first in &placements {
            assert_window_within_limit(&placements, first.age, traffic.warm_rate(), &case);
            let turn_of = |age: Duration| age.as_micros() / WINDOW.as_micros();
            let sharing: BTreeSet<u32> = placements
                .iter()
                .filter(|other| turn_of(other.age) == turn_of(first.age))
                .map(|other| other.relay)
                .collect();
            assert!(
                sharing.len() <= max_sharing,
                "{case}: relays {sharing:?} in one turn"
            );
        }
        if traffic.relays == 200 && traffic.connections > 0 {
            let relays: BTreeSet<u32> =
                placements.iter().map(|placement| placement.relay).collect();
            assert!(
                relays.len() > 20,
                "{case}: only {} relays have a turn",
                relays.len()
            );
        }
    }
}

fn assert_window_within_limit(
    placements: &[Placement],
    from: Duration,
    warm_rate: f64,
    case: &str,
) {
    let window = from..from + WINDOW;
    let count = placements
        .iter()
        .filter(|placement| window.contains(&placement.age))
        .count();
    let until = from + WINDOW;
    let share = 0.25 + 0.75 * until.as_micros() as f64 / WARM_UP.as_micros() as f64;
    let limit = (4.0 * share * warm_rate * 2.0).max(2.0);
    assert!(
        count as f64 <= limit,
        "{case}: {count} attempts in the window from {from:?}, limit {limit}"
    );
}

#[test]
fn restarted_backend_warms_up_again() {
    let mut harness = Harness::new(deployment(IDEMPOTENT), &ready_endpoints(1));
    let placed = |harness: &mut Harness, from: u32| {
        (from..from + 20)
            .filter(|&id| harness.arrive(id, arrival(0, 0, ms(4_800))).is_some())
            .count()
    };
    assert_eq!(placed(&mut harness, 0), 20);
    let restarted = endpoint(0, EndpointState::Ready, Some(harness.now));
    harness.update(restarted);
    assert_eq!(placed(&mut harness, 100), 1);
    harness.advance(ms(11_000));
    assert_eq!(placed(&mut harness, 200), 20);
}
