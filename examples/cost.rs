//! What the decisions cost: CPU for a session that comes, stands and leaves, and for a housekeeping turn, by the number of
//! backends. `cargo run --release --example cost`; figures are in docs/results.md.
use std::time::Instant;
use thistlecroft::balance::{BASE, CAP, COOL_DOWN, PATIENCE, Relay};
use thistlecroft::deployment::{ColdStart, Deployment, Route};
use thistlecroft::front::{Arrival, Ending, Front, ListScope, Listing, Report, Standing, Verdict};
use thistlecroft::ids::{BackendId, RouteId, SessionId, ZoneId};
use thistlecroft::units::{Moment, Span};

#[derive(Default)]
struct Desk(Option<BackendId>);

impl Front for Desk {
    fn dial(&mut self, _: SessionId, backend: BackendId, _: Span) {
        self.0 = Some(backend);
    }
    fn withdraw(&mut self, _: SessionId, _: u32) {}
    fn refuse(&mut self, _: SessionId, _: Option<Span>) {}
    fn tear_down(&mut self, _: SessionId) {}
    fn send_away(&mut self, _: SessionId) {}
    fn probe(&mut self, _: BackendId) {}
    fn wake(&mut self, _: Moment) {}
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
    let row = Route {
        handshake_target: Span::from_ms(300),
        connect_timeout: Span::from_ms(50),
        max_dials: 3,
        longest_retry_after: Span::from_ms(2_000),
        utility: 1.0,
        patience: PATIENCE,
        base: BASE,
        cap: CAP,
        cool_down: COOL_DOWN,
        ..Route::default()
    };
    let (start_share, factor) = (0.31, 3.0);
    let deployment = Deployment {
        relays: 100,
        tick: Span::from_ms(2),
        routes: vec![row],
        cold: ColdStart { start_share, warm_up: Span::from_ms(9_000), factor, window: Span::from_ms(3_000) },
        may_probe: true,
        groups: true,
        ..Deployment::default()
    };
    let (mut now, mut desk) = (Moment::from_us(100_000_000), Desk::default());
    let mut relay = Relay::new(deployment, 7, now, &mut desk);
    let up_since = cold.then_some(now);
    let list = |id: u32| Listing {
        backend: BackendId(id),
        mark: u64::from(id) * 7919,
        zone: ZoneId((id % 2) as u16),
        standing: Standing::Ready,
        weight: 1.0,
        up_since,
        ..Listing::default()
    };
    relay.listed(ListScope::Whole, &(0..backends).map(list).collect::<Vec<_>>());
    for id in 0..backends {
        let report = Report { connections: Some(10.0), load: Some(0.3) };
        relay.probed(now, BackendId(id), Verdict::Ok, report);
    }
    let (sessions, turns) = (2_000u32, 1_000u32);
    let began = Instant::now();
    for id in 0..sessions {
        now = now + Span::from_ms(2);
        let group = Some(u64::from(id % 50));
        let dial_timeout = Span::from_ms(1_200);
        let of = Arrival { route: RouteId(0), key: Some(u64::from(id)), group, dial_timeout };
        relay.arrived(now, SessionId(id), of, &mut desk);
        if desk.0.take().is_some() {
            relay.ready(now, SessionId(id), 0, &mut desk);
            let ending = Ending { dial: 0, verdict: Verdict::Ok, over: true, report: Report::default() };
            relay.ended(now, SessionId(id), ending, &mut desk);
        }
    }
    let session = began.elapsed().as_secs_f64() * 1e6 / f64::from(sessions);
    let began = Instant::now();
    for _ in 0..turns {
        now = now + Span::from_ms(500);
        relay.woken(now, &mut desk);
    }
    (session, began.elapsed().as_secs_f64() * 1e6 / f64::from(turns))
}
