//! Slow start where many relays have little traffic each, judged by the attempts of all relays
//! together.
mod support;

use support::{Harness, IDEMPOTENT, arrival, deployment, endpoint, ms, ready_endpoints};
use thistlecroft::attempt::AttemptOutcome;
use thistlecroft::deployment::{Deployment, SlowStart};
use thistlecroft::endpoint::{Endpoint, EndpointState, UpdateKind};
use thistlecroft::random::Rng;
use thistlecroft::time::{Duration, Instant};

const BACKENDS: u32 = 12;
/// Number of the first session among those established when a test begins.
const FIRST_INHERITED: u32 = 1_000_000;
const SLOW_START: SlowStart = SlowStart {
    initial_share: 0.31,
    warm_up: Duration::from_millis(9_000),
    overload_factor: 3.0,
    window: Duration::from_millis(3_000),
};

/// The load that a backend reports.
struct Load {
    connections: f64,
    share: f64,
}

struct Placement {
    backend: u32,
    at: Instant,
}

/// Relays that share no state, at the same simulated time.
struct Fleet {
    relays: Vec<Harness>,
    rng: Rng,
    sessions: u32,
    placements: Vec<Placement>,
    rejected: usize,
    health_checks: usize,
}

impl Fleet {
    fn new(relay_count: u32, deployment: &Deployment) -> Fleet {
        let endpoints = ready_endpoints(BACKENDS);
        let relay = |relay_index| {
            let deployment = Deployment {
                relay_index,
                relay_count,
                ..deployment.clone()
            };
            Harness::with_seed(deployment, u64::from(relay_index) + 1, &endpoints)
        };
        Fleet {
            relays: (0..relay_count).map(relay).collect(),
            rng: Rng::from_seed(5),
            sessions: 0,
            placements: Vec::new(),
            rejected: 0,
            health_checks: 0,
        }
    }

    fn now(&self) -> Instant {
        self.relays[0].now
    }

    fn update_endpoints(&mut self, kind: UpdateKind, endpoints: &[Endpoint]) {
        for relay in &mut self.relays {
            relay.balancer.update_endpoints(kind, endpoints);
        }
    }

    /// Advances the time. Backends pass the health checks of all relays with this load.
    fn advance(&mut self, duration: Duration, load: impl Fn(u32) -> Load) {
        for relay in &mut self.relays {
            let actions = relay.recorder.actions.len();
            relay.advance(duration);
            let checked = relay.health_checks_since(actions);
            self.health_checks += checked.len();
            for backend in checked {
                let load = load(backend);
                relay.report(backend, Some(load.connections), Some(load.share));
            }
        }
    }

    /// Lets a session of a random group arrive at a random relay. It is established at once if
    /// there is an attempt.
    fn arrive(&mut self) {
        let group = self.rng.below(20) + 1;
        let relay_index = self.rng.below(self.relays.len() as u64) as usize;
        let (id, relay) = (self.sessions, &mut self.relays[relay_index]);
        self.sessions += 1;
        let arrival = arrival(u64::from(id) + 1, group, ms(1_200));
        if let Some(target) = relay.arrive(id, arrival) {
            self.placements.push(Placement {
                backend: target.backend,
                at: relay.now,
            });
            relay.establish(id, 0);
        } else {
            let answers = relay.answers(id).len();
            assert_eq!(answers, 1, "session {id} is answered at once");
            self.rejected += 1;
        }
    }

    /// Checks every window that begins with a placement. A backend that `capacity` connections fill
    /// may be filled no faster than over its warm-up, at the share of its capacity that it has half
    /// way through the window.
    fn assert_within_limit(&self, capacity: f64, started_at: Instant) {
        for first in &self.placements {
            let window = first.at..first.at + SLOW_START.window;
            let is_within =
                |other: &&Placement| other.backend == first.backend && window.contains(&other.at);
            let count = self.placements.iter().filter(is_within).count();
            let age = first.at.duration_since(started_at).as_secs_f64();
            let share = 0.31 + 0.69 * (age + 1.5) / 9.0;
            let limit = 3.0 * share * capacity / 9.0 * 3.0;
            assert!(
                (count as f64) < limit,
                "{} relays: backend {} got {count} attempts in a window, limit {limit:.0}",
                self.relays.len(),
                first.backend
            );
        }
    }
}

/// Seven of twelve backends warm up while the others are full. Most relays have at most one session
/// within a window.
#[test]
fn slow_start_with_thin_traffic_used_within_limit() {
    for (relays, sessions_a_second, seed) in [(100, 20, 1), (100, 30, 2), (400, 30, 3), (10, 20, 4)]
    {
        let deployment = Deployment {
            slow_start: SLOW_START,
            ..deployment(IDEMPOTENT)
        };
        let mut fleet = Fleet::new(relays, &deployment);
        fleet.rng = Rng::from_seed(seed);
        fill_five_backends(&mut fleet, relays);
        let started_at = fleet.now();
        let restarted: Vec<_> = (5..BACKENDS)
            .map(|backend| endpoint(backend, EndpointState::Ready, Some(started_at)))
            .collect();
        fleet.update_endpoints(UpdateKind::Delta, &restarted);
        fleet.placements.clear();
        for _ in 0..90 {
            fleet.advance(ms(100), load_while_five_are_full);
            for _ in 0..sessions_a_second / 10 {
                fleet.arrive();
            }
        }
        fleet.placements.retain(|placement| placement.backend >= 5);
        // The attempts that the rule allows over the warm-up, with connections that last fifty
        // seconds.
        let allowed = 7.0 * 3.0 * 0.65 * 35.0 / 50.0 * 9.0;
        let used = fleet.placements.len() as f64 / allowed;
        assert!(
            used > 0.3,
            "{relays} relays, {sessions_a_second} a second: {used:.2} of the limit used"
        );
        fleet.assert_within_limit(35.0, started_at);
    }
}

/// Fills the first five backends: gives each relay its part of the 33 connections that each of them
/// holds, but at least one connection. Up to two connections depart each second.
fn fill_five_backends(fleet: &mut Fleet, relays: u32) {
    let each = (165 / relays).max(1);
    let mut id = FIRST_INHERITED;
    for relay in &mut fleet.relays {
        for connection in 0..each {
            relay.inherit(id, connection % 5);
            id += 1;
        }
    }
    for _ in 0..20 {
        fleet.advance(ms(500), load_while_five_are_full);
        let relay = fleet.rng.below(u64::from(relays)) as usize;
        let first = FIRST_INHERITED + relay as u32 * each;
        fleet.relays[relay].end(first, 0, AttemptOutcome::Ok, true);
    }
}

/// Returns the load that a backend reports while the first five are full and the others empty.
fn load_while_five_are_full(backend: u32) -> Load {
    let (connections, share) = if backend < 5 {
        (33.0, 0.95)
    } else {
        (0.0, 0.0)
    };
    Load { connections, share }
}

/// All twelve backends start at once. A session that cannot be placed is answered at once, and
/// health checks stay within their price.
#[test]
fn slow_start_of_whole_fleet_answers_all() {
    for relays in [2, 100, 400] {
        let deployment = Deployment {
            slow_start: SLOW_START,
            health_check_cost: 0.0023,
            ..deployment(IDEMPOTENT)
        };
        let mut fleet = Fleet::new(relays, &deployment);
        let started_at = fleet.now();
        let started: Vec<_> = (0..BACKENDS)
            .map(|backend| endpoint(backend, EndpointState::Ready, Some(started_at)))
            .collect();
        fleet.update_endpoints(UpdateKind::Snapshot, &started);
        let load = |_| Load {
            connections: 10.0,
            share: 0.3,
        };
        for _ in 0..90 {
            fleet.advance(ms(100), load);
            (0..3).for_each(|_| fleet.arrive());
        }
        let answered = fleet.placements.len() + fleet.rejected;
        assert_eq!(answered, 270, "{relays} relays: all sessions are answered");
        // A full backend holds 33 of these connections.
        fleet.assert_within_limit(33.0, started_at);
        // Each relay sends at least one in five seconds. More are sent only as sessions pay for
        // them: about two per session.
        let most = relays as usize * 3 + 270 * 3;
        let least = relays as usize;
        assert!(
            (least..=most).contains(&fleet.health_checks),
            "{relays} relays: {} health checks",
            fleet.health_checks
        );
    }
}
