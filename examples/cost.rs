//! What the decisions cost: CPU for a session that comes, stands and leaves, and for a housekeeping
//! turn, by the number of backends. `cargo run --release --example cost`; figures are in
//! docs/results.md.
#[path = "../tests/support/mod.rs"]
mod support;

use support::{arrival, deployment, ms, row};
use thistlecroft::attempt::{AttemptEnd, AttemptOutcome, LoadReport};
use thistlecroft::balancer::Balancer;
use thistlecroft::deployment::{Deployment, Idempotency, SlowStart};
use thistlecroft::driver::Driver;
use thistlecroft::endpoint::{EndpointState, UpdateKind};
use thistlecroft::ids::{BackendId, SessionId};
use thistlecroft::time::{Duration, Instant};

#[derive(Default)]
struct Desk(Option<BackendId>);

impl Driver for Desk {
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

fn main() {
    for backends in [10u32, 60, 600] {
        for cold in [false, true] {
            let (session, turn) = cost(backends, cold);
            let state = if cold { "all cold" } else { "warm" };
            println!(
                "{backends:>4} backends, {state:<8}: {session:>7.1} us a session, {turn:>6.1} us a turn"
            );
        }
    }
}

fn cost(backends: u32, cold: bool) -> (f64, f64) {
    let (start_share, factor) = (0.31, 3.0);
    let deployment = Deployment {
        relay_count: 100,
        slow_start: SlowStart {
            initial_share: start_share,
            warm_up: ms(9_000),
            overload_factor: factor,
            window: ms(3_000),
        },
        ..deployment(Idempotency::Idempotent)
    };
    let (mut now, mut desk) = (Instant::from_micros(100_000_000), Desk::default());
    let mut relay = Balancer::new(deployment, 7, now, &mut desk);
    let up_since = cold.then_some(now);
    let list: Vec<_> = (0..backends)
        .map(|id| row(id, EndpointState::Ready, up_since))
        .collect();
    relay.update_endpoints(UpdateKind::Snapshot, &list);
    for id in 0..backends {
        let report = LoadReport {
            connections: Some(10.0),
            load: Some(0.3),
        };
        relay.health_checked(now, BackendId(id), AttemptOutcome::Ok, report);
    }
    let (sessions, turns) = (2_000u32, 1_000u32);
    let began = std::time::Instant::now();
    for id in 0..sessions {
        now = now + ms(2);
        let of = arrival(u64::from(id) + 1, u64::from(id % 50) + 1, ms(1_200));
        relay.session_arrived(now, SessionId(id), of, &mut desk);
        if desk.0.take().is_some() {
            relay.attempt_ready(now, SessionId(id), 0, &mut desk);
            let ending = AttemptEnd {
                attempt: 0,
                outcome: AttemptOutcome::Ok,
                is_answered: true,
                report: LoadReport::default(),
            };
            relay.attempt_ended(now, SessionId(id), ending, &mut desk);
        }
    }
    let session = began.elapsed().as_secs_f64() * 1e6 / f64::from(sessions);
    let began = std::time::Instant::now();
    for _ in 0..turns {
        now = now + ms(500);
        relay.wake(now, &mut desk);
    }
    (
        session,
        began.elapsed().as_secs_f64() * 1e6 / f64::from(turns),
    )
}
