//! The instances of one process: each turns its events straight into calls on its relay, and what
//! the relay asks for straight into records. Ids of the wire become small indices here; instances
//! share nothing.
use crate::frame::{Action, Batch, Fields, Reply};
use std::collections::{BTreeMap, HashMap};
use std::panic::{AssertUnwindSafe, catch_unwind};
use thistlecroft::attempt::{Arrival, AttemptEnd, AttemptOutcome, LoadReport};
use thistlecroft::balancer::Balancer;
use thistlecroft::driver::Driver;
use thistlecroft::endpoint::{Endpoint, EndpointState, UpdateKind};
use thistlecroft::ids::{BackendId, CellId, RouteId, SessionId, ZoneId};
use thistlecroft::time::{Duration, Instant};
use thistlecroft_settings::{self as facts, ReportFields, Settings};

type Address = [u8; 6];

#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u16, Instance>,
}

struct Instance {
    relay: Balancer,
    names: Names,
    places: ReportFields,
    listeners: usize,
}

/// What stands for what on this instance's wire. Looked up only, never walked, so hash order can't
/// show.
#[derive(Default)]
struct Names {
    sessions: HashMap<u64, SessionId>,
    wire_ids: HashMap<u32, u64>,
    next_session: u32,
    backends: HashMap<Address, BackendId>,
    addresses: Vec<Address>,
}

struct Door<'a> {
    number: u16,
    names: &'a mut Names,
    reply: &'a mut Reply,
}

impl Host {
    pub fn answer(&mut self, batch: &Batch) -> Result<Vec<u8>, String> {
        let mut reply = Reply::default();
        let now = Instant::from_micros(batch.clock);
        for (at, event) in batch.events().enumerate() {
            let number = event.u16(2);
            // A fault in the decisions stops the day with its text instead of a dead process.
            let done = catch_unwind(AssertUnwindSafe(|| {
                self.take(batch, event, number, now, &mut reply)
            }));
            match done {
                Ok(done) => done.map_err(|fault| format!("record {at}: {fault}"))?,
                Err(panic) => {
                    let text = panic.downcast_ref::<String>().map(String::as_str);
                    let text = text
                        .or_else(|| panic.downcast_ref::<&str>().copied())
                        .unwrap_or("fault");
                    reply.push_text(Action::new(1120, number), text);
                    self.instances.remove(&number);
                }
            }
        }
        Ok(reply.bytes(batch.number))
    }

    fn take(
        &mut self,
        batch: &Batch,
        event: Fields,
        number: u16,
        now: Instant,
        reply: &mut Reply,
    ) -> Result<(), String> {
        match event.u16(0) {
            1000 => {
                let text = batch.text(event.u32(12), event.u32(16), "settings")?;
                let Settings {
                    deployment,
                    report_fields: places,
                    ..
                } = facts::parse(text).map_err(|error| error.to_string())?;
                let mut names = Names::default();
                let listeners = deployment.routes.len();
                let mut door = Door {
                    number,
                    names: &mut names,
                    reply,
                };
                let relay = Balancer::new(deployment, event.u64(4), now, &mut door);
                self.instances.insert(
                    number,
                    Instance {
                        relay,
                        names,
                        places,
                        listeners,
                    },
                );
                Ok(())
            }
            1090 => self
                .instances
                .remove(&number)
                .map(|_| ())
                .ok_or_else(|| not_started(number)),
            code => {
                let instance = self
                    .instances
                    .get_mut(&number)
                    .ok_or_else(|| not_started(number))?;
                instance.take(batch, code, event, number, now, reply)
            }
        }
    }
}

fn not_started(number: u16) -> String {
    format!("event for instance {number}, which is not started")
}

impl Instance {
    fn take(
        &mut self,
        batch: &Batch,
        code: u16,
        event: Fields,
        number: u16,
        now: Instant,
        reply: &mut Reply,
    ) -> Result<(), String> {
        let Instance {
            relay,
            names,
            places,
            listeners,
        } = self;
        let known = |names: &Names, at: usize| names.sessions.get(&event.u64(at)).copied();
        match code {
            1010 => {
                let scope = match event.u8(4) {
                    0 => UpdateKind::Delta,
                    1 => UpdateKind::Snapshot,
                    2 => UpdateKind::CachedSnapshot,
                    3 => {
                        relay.discovery_failed(
                            now,
                            &mut Door {
                                number,
                                names,
                                reply,
                            },
                        );
                        return Ok(());
                    }
                    other => return Err(format!("list of unknown scope {other}")),
                };
                let rows: Result<Vec<Endpoint>, String> = batch
                    .entries(event.u32(13), event.u32(17))?
                    .map(|entry| names.listing(entry, places))
                    .collect();
                relay.update_endpoints(scope, &rows?);
            }
            1020 => {
                let arrival = Arrival {
                    route: listener(event.u16(12), *listeners)?,
                    client_key: present(event.u64(16)),
                    timeout: Duration::from_micros(u64::from(event.u32(24))),
                    group: present(event.u64(32)),
                };
                let session = names.session(event.u64(4));
                relay.session_arrived(
                    now,
                    session,
                    arrival,
                    &mut Door {
                        number,
                        names,
                        reply,
                    },
                );
            }
            1030 => {
                if let Some(session) = known(names, 4) {
                    let dial = u32::from(event.u16(12));
                    relay.attempt_ready(
                        now,
                        session,
                        dial,
                        &mut Door {
                            number,
                            names,
                            reply,
                        },
                    );
                }
            }
            1040 => {
                let verdict = verdict(event.u16(16))?;
                if let Some(session) = known(names, 4) {
                    let (dial, over) = (u32::from(event.u16(24)), event.u8(26) != 0);
                    let ending = AttemptEnd {
                        attempt: dial,
                        outcome: verdict,
                        is_answered: over,
                        report: report(places, event, 27),
                    };
                    relay.attempt_ended(
                        now,
                        session,
                        ending,
                        &mut Door {
                            number,
                            names,
                            reply,
                        },
                    );
                }
            }
            1050 => {
                if let Some(session) = known(names, 4) {
                    relay.session_left(
                        session,
                        &mut Door {
                            number,
                            names,
                            reply,
                        },
                    );
                }
            }
            1060 => relay.wake(
                now,
                &mut Door {
                    number,
                    names,
                    reply,
                },
            ),
            1070 => {
                let verdict = verdict(event.u16(10))?;
                if let Some(&backend) = names.backends.get(&event.array::<6>(4)) {
                    relay.health_checked(now, backend, verdict, report(places, event, 16));
                }
            }
            // No deployment's decisions use what peers say.
            1080 => {}
            1100 => {
                let arrival = Arrival {
                    route: listener(event.u16(30), *listeners)?,
                    client_key: present(event.u64(38)),
                    timeout: Duration::from_micros(u64::from(event.u32(34))),
                    group: present(event.u64(18)),
                };
                let backend = names.backend(event.array(12));
                let session = names.session(event.u64(4));
                relay.session_inherited(
                    now,
                    session,
                    backend,
                    arrival,
                    &mut Door {
                        number,
                        names,
                        reply,
                    },
                );
            }
            1110 => {
                if let Some(session) = known(names, 4) {
                    let value = f64::from(event.f32(21));
                    match event.u8(20) {
                        1 => relay.load_observed(session, value),
                        2 => {
                            let delay = Duration::from_millis(1) * value;
                            relay.latency_observed(
                                now,
                                session,
                                delay,
                                &mut Door {
                                    number,
                                    names,
                                    reply,
                                },
                            );
                        }
                        other => return Err(format!("note of unknown sort {other}")),
                    }
                }
            }
            other => return Err(format!("unknown event code {other}")),
        }
        Ok(())
    }
}

fn listener(index: u16, listeners: usize) -> Result<RouteId, String> {
    if usize::from(index) < listeners {
        Ok(RouteId(index))
    } else {
        Err(format!("listener {index} of {listeners}"))
    }
}

fn present(value: u64) -> Option<u64> {
    (value != 0).then_some(value)
}

fn verdict(code: u16) -> Result<AttemptOutcome, String> {
    Ok(match code {
        100 => AttemptOutcome::Ok,
        301 => AttemptOutcome::Error,
        302 => AttemptOutcome::Saturated,
        303 => AttemptOutcome::TimedOut,
        304 => AttemptOutcome::Unreachable,
        305 => AttemptOutcome::Reset,
        306 => AttemptOutcome::Cancelled,
        307 => AttemptOutcome::NotSent,
        other => return Err(format!("unknown outcome {other}")),
    })
}

fn report(places: &ReportFields, event: Fields, at: usize) -> LoadReport {
    let told = usize::from(event.u8(at)).min(4);
    let value = |place: Option<usize>| {
        let value = f64::from(event.f32(at + 1 + 4 * place.filter(|&place| place < told)?));
        value.is_finite().then_some(value.max(0.0))
    };
    LoadReport {
        connections: value(places.connections),
        load: value(places.load),
    }
}

impl Names {
    fn session(&mut self, wire_id: u64) -> SessionId {
        let session = SessionId(self.next_session);
        self.next_session = self.next_session.wrapping_add(1);
        self.sessions.insert(wire_id, session);
        self.wire_ids.insert(session.0, wire_id);
        session
    }

    fn backend(&mut self, address: Address) -> BackendId {
        *self.backends.entry(address).or_insert_with(|| {
            self.addresses.push(address);
            BackendId((self.addresses.len() - 1) as u32)
        })
    }

    fn listing(&mut self, entry: Fields, places: &ReportFields) -> Result<Endpoint, String> {
        let address: Address = entry.array(0);
        let mut mark = [0; 8];
        mark[..6].copy_from_slice(&address);
        Ok(Endpoint {
            backend: self.backend(address),
            stable_hash: u64::from_le_bytes(mark),
            zone: ZoneId(u16::from(entry.u8(6))),
            cell: CellId(entry.u16(9)),
            state: match entry.u8(11) {
                0 => EndpointState::Ready,
                1 => EndpointState::Removed,
                2 => EndpointState::Draining,
                other => return Err(format!("entry of unknown readiness {other}")),
            },
            weight: places.weight(f64::from(entry.f32(12))),
            started_at: present(entry.u64(16)).map(Instant::from_micros),
        })
    }
}

impl Door<'_> {
    fn session(&self, code: u16, session: SessionId) -> Action {
        Action::new(code, self.number).with(&self.names.wire_ids[&session.0].to_le_bytes())
    }
}

fn short(span: Duration) -> [u8; 4] {
    u32::try_from(span.as_micros())
        .unwrap_or(u32::MAX)
        .to_le_bytes()
}

impl Driver for Door<'_> {
    fn connect(&mut self, session: SessionId, backend: BackendId, give_up_after: Duration) {
        let action = self
            .session(1050, session)
            .with(&self.names.addresses[backend.index()]);
        self.reply.push(action.with(&short(give_up_after)));
    }

    fn cancel(&mut self, session: SessionId, dial: u32) {
        self.reply.push(
            self.session(1040, session)
                .with(&(dial as u16).to_le_bytes()),
        );
    }

    fn reject(&mut self, session: SessionId, retry_after: Option<Duration>) {
        self.reply.push(
            self.session(1080, session)
                .with(&short(retry_after.unwrap_or_default())),
        );
    }

    fn fail(&mut self, session: SessionId) {
        self.reply.push(self.session(1110, session));
    }

    fn migrate(&mut self, session: SessionId) {
        self.reply.push(self.session(1090, session));
    }

    fn check_health(&mut self, backend: BackendId) {
        let address = self.names.addresses[backend.index()];
        self.reply
            .push(Action::new(1000, self.number).with(&address));
    }

    fn wake_at(&mut self, at: Instant) {
        let action = Action::new(1020, self.number).with(&0u64.to_le_bytes());
        self.reply.push(action.with(&at.as_micros().to_le_bytes()));
    }

    fn subscribe(&mut self) {
        self.reply.push(Action::new(1030, self.number).with(&[1]));
    }

    fn release(&mut self, session: SessionId) {
        if let Some(wire_id) = self.names.wire_ids.remove(&session.0) {
            self.names.sessions.remove(&wire_id);
        }
    }
}
