//! Measures the CPU time that decisions take, by the number of backends: for a session that
//! arrives, is established and ends, and for a wake with its housekeeping.
//!
//! `cargo run --release --example cost`
#[path = "../tests/support/mod.rs"]
mod support;

use std::time::Instant as WallClock;
use support::{arrival, deployment, endpoint, ms};
use thistlecroft::attempt::{AttemptEnd, AttemptOutcome, LoadReport};
use thistlecroft::balancer::Balancer;
use thistlecroft::deployment::{Deployment, Idempotency, SlowStart};
use thistlecroft::driver::Driver;
use thistlecroft::endpoint::{EndpointState, UpdateKind};
use thistlecroft::ids::{BackendId, SessionId};
use thistlecroft::time::{Duration, Instant};

const SESSIONS: u32 = 2_000;
const WAKES: u32 = 1_000;

/// A driver that keeps the backend of the latest attempt and ignores all other calls.
#[derive(Default)]
struct LatestAttempt(Option<BackendId>);

impl Driver for LatestAttempt {
    fn connect(&mut self, _: SessionId, backend: BackendId, _: Duration) {
        self.0 = Some(backend);
    }
    fn cancel(&mut self, _: SessionId, _: u32) {}
    fn reject(&mut self, _: SessionId, _: Option<Duration>) {}
    fn fail(&mut self, _: SessionId) {}
    fn migrate(&mut self, _: SessionId) {}
    fn check_health(&mut self, _: BackendId) {}
    fn wake_at(&mut self, _: Instant) {}
    fn subscribe(&mut self) {}
    fn release(&mut self, _: SessionId) {}
}

/// A balancer that has a load report of every backend.
struct Measurement {
    balancer: Balancer,
    driver: LatestAttempt,
    now: Instant,
}

fn main() {
    for backends in [10, 60, 600] {
        for is_warming_up in [false, true] {
            let mut measurement = Measurement::new(backends, is_warming_up);
            let session = measurement.micros_per_session();
            let wake = measurement.micros_per_wake();
            let state = if is_warming_up { "warming up" } else { "warm" };
            println!(
                "{backends:>4} backends, {state:<10}: {session:>7.1} us a session, {wake:>6.1} us a wake"
            );
        }
    }
}

impl Measurement {
    fn new(backends: u32, is_warming_up: bool) -> Measurement {
        let deployment = Deployment {
            relay_count: 100,
            slow_start: SlowStart {
                initial_share: 0.31,
                warm_up: ms(9_000),
                overload_factor: 3.0,
                window: ms(3_000),
            },
            ..deployment(Idempotency::Idempotent)
        };
        let now = Instant::from_micros(100_000_000);
        let mut driver = LatestAttempt::default();
        let mut balancer = Balancer::new(deployment, 7, now, &mut driver);
        let started_at = is_warming_up.then_some(now);
        let endpoints: Vec<_> = (0..backends)
            .map(|id| endpoint(id, EndpointState::Ready, started_at))
            .collect();
        balancer.update_endpoints(UpdateKind::Snapshot, &endpoints);
        for id in 0..backends {
            let report = LoadReport {
                connections: Some(10.0),
                load: Some(0.3),
            };
            balancer.health_checked(now, BackendId(id), AttemptOutcome::Ok, report);
        }
        Measurement {
            balancer,
            driver,
            now,
        }
    }

    fn micros_per_session(&mut self) -> f64 {
        let began_at = WallClock::now();
        for id in 0..SESSIONS {
            self.now = self.now + ms(2);
            let arrival = arrival(u64::from(id) + 1, u64::from(id % 50) + 1, ms(1_200));
            let (now, id) = (self.now, SessionId(id));
            self.balancer
                .session_arrived(now, id, arrival, &mut self.driver);
            if self.driver.0.take().is_some() {
                self.balancer.attempt_ready(now, id, 0, &mut self.driver);
                let end = AttemptEnd {
                    attempt: 0,
                    outcome: AttemptOutcome::Ok,
                    is_answered: true,
                    report: LoadReport::default(),
                };
                self.balancer.attempt_ended(now, id, end, &mut self.driver);
            }
        }
        began_at.elapsed().as_secs_f64() * 1e6 / f64::from(SESSIONS)
    }

    fn micros_per_wake(&mut self) -> f64 {
        let began_at = WallClock::now();
        for _ in 0..WAKES {
            self.now = self.now + ms(500);
            self.balancer.wake(self.now, &mut self.driver);
        }
        began_at.elapsed().as_secs_f64() * 1e6 / f64::from(WAKES)
    }
}
