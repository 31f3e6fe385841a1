//! A release at a deployment where no backend tells of its load: many instances of the decisions on
//! one stepped clock beside a model of backends that drop what they can't hold. Judged by what the
//! clients are served.
mod support;

use support::{Bench, arrival, deployment, ms, row};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use thistlecroft::attempt::AttemptOutcome;
use thistlecroft::deployment::{Deployment, Idempotency, SlowStart};
use thistlecroft::endpoint::{EndpointState, UpdateKind};
use thistlecroft::ids::{BackendId, SessionId};
use thistlecroft::random::Rng;
use thistlecroft::time::{Duration, Instant};

const STEP: Duration = Duration::from_millis(50);
/// What a backend does in a second, in mean connections; each group that it holds costs two more.
const CAPACITY: f64 = 100.0;
const GROUP_COST: f64 = 3.0;
/// Work of a set-up, and the work piled up beyond which the heaviest connection is dropped: a
/// second's.
const SET_UP: f64 = 1.0;
const BUFFER: f64 = CAPACITY;
const WARM_UP: f64 = 24.0;
/// Seconds that a client stays on the mean before it leaves by itself; another comes in its place.
const LIFE: f64 = 60.0;

struct Client {
    group: u64,
    load: f64,
    /// Where it is held: relay, session, backend.
    held: Option<(usize, u32, u32)>,
    back_at: Instant,
}

struct Backend {
    standing: EndpointState,
    up_since: Option<Instant>,
    /// Work piled up.
    piled: f64,
    stops_at: Option<Instant>,
}

impl Backend {
    /// The part of its capacity that it has now.
    fn share(&self, now: Instant) -> f64 {
        self.up_since.map_or(1.0, |up| {
            (0.2 + 0.8 * now.duration_since(up).as_secs_f64() / WARM_UP).min(1.0)
        })
    }
}

struct Release {
    relays: Vec<Bench>,
    clients: Vec<Client>,
    boxes: BTreeMap<u32, Backend>,
    chance: Rng,
    sessions: u32,
}

impl Release {
    fn new(relays: u32, old: u32, clients: usize, seed: u64) -> Release {
        let cold = SlowStart {
            initial_share: 0.2,
            warm_up: ms(24_000),
            overload_factor: 3.0,
            window: ms(3_000),
        };
        let of = Deployment {
            slow_start: cold,
            may_check_health: false,
            reports_load: false,
            relay_count: relays,
            ..deployment(Idempotency::Idempotent)
        };
        let list: Vec<_> = (0..old)
            .map(|id| row(id, EndpointState::Ready, None))
            .collect();
        let one = |me| {
            Bench::seeded(
                Deployment {
                    relay_index: me,
                    ..of.clone()
                },
                seed * 1_000 + u64::from(me),
                &list,
            )
        };
        let ready = || Backend {
            standing: EndpointState::Ready,
            up_since: None,
            piled: 0.0,
            stops_at: None,
        };
        let mut release = Release {
            relays: (0..relays).map(one).collect(),
            clients: Vec::new(),
            boxes: (0..old).map(|id| (id, ready())).collect(),
            chance: Rng::from_seed(seed),
            sessions: 0,
        };
        // Groups of one to twenty members; loads are uneven; before the release each group stands
        // at one backend.
        let (mut group, mut left, mut at) = (0, 0, 0);
        for _ in 0..clients {
            if left == 0 {
                (group, at) = (group + 1, release.chance.below(u64::from(old)) as u32);
                left = 1 + (20.0 * release.chance.unit_f64().powi(3)) as u32;
            }
            left -= 1;
            let load = (0.2 + 0.5 / (0.05 + release.chance.unit_f64())).min(6.0) / 1.6;
            let (me, id) = (
                release.chance.below(u64::from(relays)) as usize,
                release.sessions,
            );
            release.sessions += 1;
            let now = release.relays[me].now;
            let of = arrival(u64::from(id) + 1, group, ms(3_200));
            let relay = &mut release.relays[me];
            relay
                .relay
                .session_inherited(now, SessionId(id), BackendId(at), of, &mut relay.book);
            release.clients.push(Client {
                group,
                load,
                held: Some((me, id, at)),
                back_at: now,
            });
        }
        release
    }

    fn now(&self) -> Instant {
        self.relays[0].now
    }

    fn list(&mut self, ids: &[u32]) {
        let rows: Vec<_> = ids
            .iter()
            .map(|&id| row(id, self.boxes[&id].standing, self.boxes[&id].up_since))
            .collect();
        for relay in &mut self.relays {
            relay.relay.update_endpoints(UpdateKind::Delta, &rows);
        }
    }

    /// New backends come, and as many old ones drain and stop a few seconds later.
    fn replace(&mut self, old: Range<u32>, new: Range<u32>, stops_at: Instant) {
        let now = self.now();
        for id in new.clone() {
            self.boxes.insert(
                id,
                Backend {
                    standing: EndpointState::Ready,
                    up_since: Some(now),
                    piled: 0.0,
                    stops_at: None,
                },
            );
        }
        for id in old.clone() {
            let at = self.boxes.get_mut(&id).unwrap();
            (at.standing, at.stops_at) = (EndpointState::Draining, Some(stops_at));
        }
        self.list(&old.chain(new).collect::<Vec<_>>());
    }

    /// A client is cut off and comes again soon, anywhere.
    fn cut(&mut self, client: usize) {
        let Some((me, id, _)) = self.clients[client].held.take() else {
            return;
        };
        self.relays[me].end(id, 0, AttemptOutcome::Reset, true);
        self.clients[client].back_at = self.now() + ms(120 + self.chance.below(750));
    }

    /// One step; the part of the clients' connections that is served in it.
    fn step(&mut self) -> f64 {
        self.relays.iter_mut().for_each(|relay| relay.pass(STEP));
        let now = self.now();
        let stopped: Vec<u32> = self
            .boxes
            .iter()
            .filter(|(_, at)| at.stops_at.is_some_and(|by| by <= now))
            .map(|(&id, _)| id)
            .collect();
        for &id in &stopped {
            self.boxes.remove(&id);
            for client in 0..self.clients.len() {
                if self.clients[client].held.is_some_and(|(_, _, at)| at == id) {
                    self.cut(client);
                }
            }
        }
        for client in 0..self.clients.len() {
            if let Some((me, id, _)) = self.clients[client].held
                && self.chance.unit_f64() < STEP.as_secs_f64() / LIFE
            {
                self.relays[me].end(id, 0, AttemptOutcome::Ok, true);
                (self.clients[client].held, self.clients[client].back_at) = (None, now + ms(120));
            }
        }
        for client in 0..self.clients.len() {
            if self.clients[client].held.is_none() && self.clients[client].back_at <= now {
                self.come(client);
            }
        }
        self.work()
    }

    fn come(&mut self, client: usize) {
        let (me, id) = (
            self.chance.below(self.relays.len() as u64) as usize,
            self.sessions,
        );
        self.sessions += 1;
        let (now, group) = (self.now(), self.clients[client].group);
        let placed =
            self.relays[me].arrive(id, arrival(u64::from(client as u32) + 1, group, ms(3_200)));
        self.clients[client].back_at = now + ms(120 + self.chance.below(750));
        let Some((at, _)) = placed else { return };
        let Some(there) = self.boxes.get_mut(&at) else {
            self.relays[me].end(id, 0, AttemptOutcome::Unreachable, false);
            return;
        };
        there.piled += SET_UP;
        self.relays[me].stand(id, 0);
        self.clients[client].held = Some((me, id, at));
    }

    /// What each backend is asked for in a step, what it drops, and who is served there.
    fn work(&mut self) -> f64 {
        let now = self.now();
        let (mut served, mut dropped) = (0.0, Vec::new());
        for (&id, at) in &mut self.boxes {
            let here = |one: &&Client| one.held.is_some_and(|(_, _, backend)| backend == id);
            let groups: BTreeSet<u64> = self
                .clients
                .iter()
                .filter(here)
                .map(|one| one.group)
                .collect();
            let load: f64 = self.clients.iter().filter(here).map(|one| one.load).sum();
            let able = CAPACITY * at.share(now);
            at.piled = (at.piled
                + (load + GROUP_COST * groups.len() as f64 - able) * STEP.as_secs_f64())
            .max(0.0);
            if at.piled < able * 0.1 {
                served += self.clients.iter().filter(here).count() as f64;
            }
            if at.piled > BUFFER {
                let held = self.clients.iter().enumerate().filter(|(_, one)| here(one));
                dropped.extend(
                    held.max_by(|a, b| a.1.load.total_cmp(&b.1.load))
                        .map(|(client, _)| client),
                );
            }
        }
        dropped.into_iter().for_each(|client| self.cut(client));
        served / self.clients.len() as f64
    }

    /// The part served, over so many steps.
    fn served(&mut self, steps: usize) -> f64 {
        (0..steps).map(|_| self.step()).sum::<f64>() / steps as f64
    }
}

/// Six in ten backends are replaced within seven seconds. Those that stay can hold most of what
/// there is while groups stay together; spread over the fleet, or come again at once and again,
/// they can't. The means of six fleets: 0.21 before, 0.30 now; 0.17 where groups don't keep to one
/// backend, 0.22 where open cold turns don't go first, 0.23 where the cold rate is reckoned over
/// all that are ready.
#[test]
fn a_release_is_survived_where_no_backend_tells_of_its_load() {
    let mut lasts = 0.0;
    for seed in 1..=6 {
        let mut fleet = Release::new(200, 30, 900, seed);
        fleet.served(40);
        let stops_at = fleet.now() + ms(4_000);
        fleet.replace(0..9, 30..39, stops_at);
        fleet.served(60);
        let stops_at = fleet.now() + ms(4_000);
        fleet.replace(9..18, 39..48, stops_at);
        fleet.served(140);
        lasts += fleet.served(160);
    }
    let mean = lasts / 6.0;
    assert!(mean > 0.27, "served after the release: {mean:.3}");
}
