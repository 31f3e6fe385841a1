//! The slow-start rule under all relays together, in simulated time: uneven traffic, and several
//! backends that start together and apart.
mod support;

use std::collections::BTreeMap;
use std::ops::Range;
use support::{Harness, IDEMPOTENT, arrival, deployment, endpoint, ms, ready_endpoints};
use thistlecroft::attempt::AttemptOutcome;
use thistlecroft::deployment::{Deployment, SlowStart};
use thistlecroft::endpoint::{EndpointState, UpdateKind};
use thistlecroft::random::Rng;
use thistlecroft::time::{Duration, Instant};

/// Connections that fill a warm backend.
const CAPACITY: f64 = 60.0;
/// Mean lifetime of a connection.
const LIFETIME_SECONDS: f64 = 60.0;
const INITIAL_SHARE: f64 = 0.25;
const WARM_UP_SECONDS: f64 = 12.0;
const OVERLOAD_FACTOR: f64 = 3.0;
const WINDOW_SECONDS: f64 = 3.0;

const STEP: Duration = Duration::from_millis(50);
const STEPS: u32 = 440;
/// Clients that are rejected come again: far more sessions than there is capacity.
const SESSIONS_PER_STEP: f64 = 60.0 * 0.05;
const WARM_BACKENDS: u32 = 10;
/// The steps before which backends start: three together, two more apart.
const STARTS: [(u32, Range<u32>); 3] = [(160, 10..13), (200, 13..14), (240, 14..15)];

/// What the rule allows a backend of that age within one window.
fn window_limit(age: f64) -> f64 {
    let share = (INITIAL_SHARE + (1.0 - INITIAL_SHARE) * age / WARM_UP_SECONDS).min(1.0);
    OVERLOAD_FACTOR * share * CAPACITY / LIFETIME_SECONDS * WINDOW_SECONDS
}

/// How the limit was used.
struct Usage {
    /// The most that any window had, as a part of the limit N and what chance may add to it,
    /// 2 x root of N + 2.
    worst: f64,
    /// The part of N that was used over the warm-up.
    mean: f64,
}

/// What the backends of a deployment tell.
#[derive(Clone, Copy)]
struct Site {
    reports_load: bool,
    groups_share_work: bool,
}

struct Connection {
    relay: usize,
    session: u32,
    backend: u32,
    /// Seconds since the start.
    closes_at: f64,
}

struct Placement {
    backend: u32,
    at: Instant,
}

/// Relays that share nothing but time, and their connections.
struct Simulation {
    relays: Vec<Harness>,
    rng: Rng,
    /// The part of the traffic that each relay has, by weight.
    weights: Vec<f64>,
    connections: Vec<Connection>,
    began_at: Instant,
    last_session: u32,
    sessions_due: f64,
    started_at: BTreeMap<u32, Instant>,
    /// Attempts at backends that started.
    placements: Vec<Placement>,
}

impl Simulation {
    fn new(relay_count: u32, seed: u64, site: Site) -> Simulation {
        let deployment = Deployment {
            slow_start: SlowStart {
                initial_share: INITIAL_SHARE,
                warm_up: ms(12_000),
                overload_factor: OVERLOAD_FACTOR,
                window: ms(3_000),
            },
            relay_count,
            may_check_health: site.reports_load,
            reports_load: site.reports_load,
            groups_share_work: site.groups_share_work,
            health_check_cost: 0.001,
            ..deployment(IDEMPOTENT)
        };
        let endpoints = ready_endpoints(WARM_BACKENDS);
        let relays: Vec<Harness> = (0..relay_count)
            .map(|relay_index| {
                let deployment = Deployment {
                    relay_index,
                    ..deployment.clone()
                };
                let seed = seed * 1_000 + u64::from(relay_index);
                Harness::with_seed(deployment, seed, &endpoints)
            })
            .collect();
        let mut rng = Rng::from_seed(seed);
        // Some relays get several times the mean.
        let weights = (0..relay_count)
            .map(|_| 0.3 + 3.0 * rng.unit_f64().powi(3))
            .collect();
        let mut simulation = Simulation {
            began_at: relays[0].now,
            relays,
            rng,
            weights,
            connections: Vec::new(),
            last_session: 0,
            sessions_due: 0.0,
            started_at: BTreeMap::new(),
            placements: Vec::new(),
        };
        simulation.inherit_connections();
        simulation
    }

    /// Fills the warm backends to 0.7 of what they can hold.
    fn inherit_connections(&mut self) {
        for backend in 0..WARM_BACKENDS {
            for _ in 0..(CAPACITY * 0.7) as u32 {
                let relay = self.choose_relay();
                let session = self.last_session;
                self.relays[relay].inherit(session, backend);
                let closes_at = self.lifetime();
                self.connections.push(Connection {
                    relay,
                    session,
                    backend,
                    closes_at,
                });
                self.last_session += 1;
            }
        }
    }

    fn choose_relay(&mut self) -> usize {
        let all: f64 = self.weights.iter().sum();
        let mut left = self.rng.unit_f64() * all;
        let chosen = self.weights.iter().position(|weight| {
            left -= weight;
            left < 0.0
        });
        chosen.unwrap_or(0)
    }

    fn lifetime(&mut self) -> f64 {
        -LIFETIME_SECONDS * (1.0 - self.rng.unit_f64()).ln()
    }

    fn seconds(&self) -> f64 {
        let now = self.relays[0].now;
        now.duration_since(self.began_at).as_secs_f64()
    }

    fn connections_at(&self, backend: u32) -> f64 {
        let there = |connection: &&Connection| connection.backend == backend;
        self.connections.iter().filter(there).count() as f64
    }

    fn run(&mut self) {
        for step in 0..STEPS {
            for (start, backends) in STARTS {
                if step == start {
                    self.start_backends(backends);
                }
            }
            self.advance();
            self.close_connections();
            self.sessions_due += SESSIONS_PER_STEP;
            while self.sessions_due >= 1.0 {
                self.sessions_due -= 1.0;
                self.arrive();
            }
        }
    }

    fn start_backends(&mut self, backends: Range<u32>) {
        let now = self.relays[0].now;
        let endpoints: Vec<_> = backends
            .clone()
            .map(|backend| endpoint(backend, EndpointState::Ready, Some(now)))
            .collect();
        self.started_at
            .extend(backends.map(|backend| (backend, now)));
        for relay in &mut self.relays {
            relay
                .balancer
                .update_endpoints(UpdateKind::Delta, &endpoints);
        }
    }

    /// Lets one step pass, in which backends pass all health checks.
    fn advance(&mut self) {
        for relay in 0..self.relays.len() {
            let actions = self.relays[relay].recorder.actions.len();
            self.relays[relay].advance(STEP);
            for backend in self.relays[relay].health_checks_since(actions) {
                let held = self.connections_at(backend);
                self.relays[relay].report(backend, Some(held), Some(held / CAPACITY));
            }
        }
    }

    fn close_connections(&mut self) {
        let seconds = self.seconds();
        let is_over = |connection: &mut Connection| connection.closes_at <= seconds;
        for closed in self.connections.extract_if(.., is_over) {
            self.relays[closed.relay].end(closed.session, 0, AttemptOutcome::Ok, true);
        }
    }

    fn arrive(&mut self) {
        let relay = self.choose_relay();
        self.last_session += 1;
        let session = self.last_session;
        let group = 1 + self.rng.below(40);
        let arrival = arrival(u64::from(session), group, ms(3_000));
        let Some(target) = self.relays[relay].arrive(session, arrival) else {
            return;
        };
        let backend = target.backend;
        let is_started = self.started_at.contains_key(&backend);
        if !is_started && self.connections_at(backend) >= CAPACITY {
            self.relays[relay].end(session, 0, AttemptOutcome::Saturated, false);
            return;
        }
        self.relays[relay].establish(session, 0);
        if is_started {
            let at = self.relays[relay].now;
            self.placements.push(Placement { backend, at });
        }
        let closes_at = self.seconds() + self.lifetime();
        self.connections.push(Connection {
            relay,
            session,
            backend,
            closes_at,
        });
    }

    fn usage(&self) -> Usage {
        let (mut worst, mut mean) = (0.0f64, 0.0);
        for (&backend, &started_at) in &self.started_at {
            let ages: Vec<f64> = self
                .placements
                .iter()
                .filter(|placement| placement.backend == backend)
                .map(|placement| placement.at.duration_since(started_at).as_secs_f64())
                .filter(|&age| age < WARM_UP_SECONDS)
                .collect();
            for &from in &ages {
                let limit = window_limit(from + WINDOW_SECONDS / 2.0);
                let window = from..from + WINDOW_SECONDS;
                let count = ages.iter().filter(|age| window.contains(age)).count() as f64;
                worst = worst.max(count / (limit + 2.0 * limit.sqrt() + 2.0));
            }
            let limit = window_limit(WARM_UP_SECONDS / 2.0) * WARM_UP_SECONDS / WINDOW_SECONDS;
            mean += ages.len() as f64 / limit / self.started_at.len() as f64;
        }
        Usage { worst, mean }
    }
}

/// Where loads are reported and groups share work the turns are larger, for an estimate that the
/// cost of groups lowers. These backends have no such cost, and that case is not tested here.
#[test]
fn slow_start_window_within_limit() {
    // Relays, seeds of each of three sites, and the least that is used of the limit on the mean.
    for (relays, seeds, least) in [(3, 25, 0.3), (20, 25, 0.4), (30, 18, 0.4), (350, 2, 0.3)] {
        for (reports_load, groups_share_work) in [(false, true), (false, false), (true, false)] {
            let site = Site {
                reports_load,
                groups_share_work,
            };
            let usages: Vec<Usage> = (1..=seeds)
                .map(|seed| {
                    let mut simulation = Simulation::new(relays, seed, site);
                    simulation.run();
                    simulation.usage()
                })
                .collect();
            let worst = usages.iter().map(|usage| usage.worst).fold(0.0, f64::max);
            let mean = usages.iter().map(|usage| usage.mean).sum::<f64>() / seeds as f64;
            let case = format!("{relays} relays, loads {reports_load}, groups {groups_share_work}");
            println!("{case}: worst {worst:.2}, used {mean:.2}");
            assert!(worst <= 1.0, "{case}: {worst:.2} of what is allowed");
            assert!((least..=1.0).contains(&mean), "{case}: {mean:.2} used");
        }
    }
}
