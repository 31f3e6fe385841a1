//! Events: fixed-size records of a batch, decoded into types.
use super::batch::{Batch, Fields};
use super::codes::{endpoint, event, observation, outcome, update};
use crate::error::EventError;
use thistlecroft::attempt::{Arrival, AttemptEnd, AttemptOutcome, LoadReport};
use thistlecroft::endpoint::{EndpointState, UpdateKind};
use thistlecroft::ids::{CellId, RouteId, ZoneId};
use thistlecroft::time::{Duration, Instant};
use thistlecroft_settings::ReportFields;

/// The address of a backend on the wire: four bytes of IP address and two of port.
pub(crate) type Address = [u8; 6];

/// The wire's number for a session.
pub(crate) type SessionKey = u64;

/// The number of fields that a load report has room for.
const MAX_REPORT_FIELDS: usize = 4;

/// The request of a record to the host, which is decoded before the rest of the record.
pub(crate) enum Request<'a> {
    /// Starts an instance with these settings, which are JSON text.
    Start { seed: u64, settings: &'a [u8] },
    /// Stops an instance.
    Stop,
    /// Passes an event to a running instance.
    Event,
}

/// An event of a running instance.
pub(crate) enum Event {
    EndpointsUpdated {
        kind: UpdateKind,
        endpoints: Vec<EndpointEntry>,
    },
    DiscoveryFailed,
    SessionArrived {
        session: SessionKey,
        arrival: Arrival,
    },
    AttemptReady {
        session: SessionKey,
        attempt: u32,
    },
    AttemptEnded {
        session: SessionKey,
        end: AttemptEnd,
    },
    SessionLeft {
        session: SessionKey,
    },
    Wake,
    HealthChecked {
        backend: Address,
        outcome: AttemptOutcome,
        report: LoadReport,
    },
    /// A message of another instance. The balancer ignores these.
    PeerMessage,
    SessionInherited {
        session: SessionKey,
        backend: Address,
        arrival: Arrival,
    },
    Observed {
        session: SessionKey,
        observation: Observation,
    },
}

/// A measurement of an established session.
pub(crate) enum Observation {
    Load(f64),
    Latency(Duration),
    /// An observation of a kind with this unknown code.
    Unknown(u8),
}

/// An entry of the endpoint list.
pub(crate) struct EndpointEntry {
    pub(crate) address: Address,
    pub(crate) zone: ZoneId,
    pub(crate) cell: CellId,
    pub(crate) state: EndpointState,
    pub(crate) weight: f64,
    pub(crate) started_at: Option<Instant>,
}

/// The part of an instance's settings that decoding needs.
#[derive(Clone, Copy)]
pub(crate) struct Layout {
    pub(crate) report_fields: ReportFields,
    pub(crate) listener_count: usize,
}

impl<'a> Request<'a> {
    pub(crate) fn decode(batch: &'a Batch, record: Fields) -> Result<Request<'a>, EventError> {
        match record.u16(0) {
            event::START => Ok(Request::Start {
                seed: record.u64(4),
                settings: batch.text(record.u32(12), record.u32(16), "settings")?,
            }),
            event::STOP => Ok(Request::Stop),
            _ => Ok(Request::Event),
        }
    }
}

/// Decodes an event of a running instance.
pub(crate) fn decode(batch: &Batch, record: Fields, layout: &Layout) -> Result<Event, EventError> {
    match record.u16(0) {
        event::ENDPOINTS => endpoints_updated(batch, record, layout),
        event::SESSION_ARRIVED => session_arrived(record, layout),
        event::ATTEMPT_READY => Ok(Event::AttemptReady {
            session: record.u64(4),
            attempt: u32::from(record.u16(12)),
        }),
        event::ATTEMPT_ENDED => attempt_ended(record, layout),
        event::SESSION_LEFT => Ok(Event::SessionLeft {
            session: record.u64(4),
        }),
        event::WAKE => Ok(Event::Wake),
        event::HEALTH_CHECKED => Ok(Event::HealthChecked {
            backend: record.array(4),
            outcome: attempt_outcome(record.u16(10))?,
            report: load_report(record, 16, layout),
        }),
        event::PEER_MESSAGE => Ok(Event::PeerMessage),
        event::SESSION_INHERITED => session_inherited(record, layout),
        event::OBSERVATION => Ok(observed(record)),
        code => Err(EventError::UnknownEvent { code }),
    }
}

fn endpoints_updated(batch: &Batch, record: Fields, layout: &Layout) -> Result<Event, EventError> {
    let kind = match record.u8(4) {
        update::DELTA => UpdateKind::Delta,
        update::SNAPSHOT => UpdateKind::Snapshot,
        update::CACHED_SNAPSHOT => UpdateKind::CachedSnapshot,
        update::DISCOVERY_FAILED => return Ok(Event::DiscoveryFailed),
        code => return Err(EventError::UnknownUpdateKind { code }),
    };
    let entries = batch.entries(record.u32(13), record.u32(17))?;
    let endpoints: Result<Vec<EndpointEntry>, EventError> =
        entries.map(|entry| endpoint_entry(entry, layout)).collect();
    Ok(Event::EndpointsUpdated {
        kind,
        endpoints: endpoints?,
    })
}

fn endpoint_entry(entry: Fields, layout: &Layout) -> Result<EndpointEntry, EventError> {
    Ok(EndpointEntry {
        address: entry.array(0),
        zone: ZoneId(u16::from(entry.u8(6))),
        cell: CellId(entry.u16(9)),
        state: match entry.u8(11) {
            endpoint::READY => EndpointState::Ready,
            endpoint::REMOVED => EndpointState::Removed,
            endpoint::DRAINING => EndpointState::Draining,
            code => return Err(EventError::UnknownEndpointState { code }),
        },
        weight: layout.report_fields.weight(f64::from(entry.f32(12))),
        started_at: non_zero(entry.u64(16)).map(Instant::from_micros),
    })
}

fn session_arrived(record: Fields, layout: &Layout) -> Result<Event, EventError> {
    Ok(Event::SessionArrived {
        session: record.u64(4),
        arrival: Arrival {
            route: listener(record.u16(12), layout)?,
            client_key: non_zero(record.u64(16)),
            timeout: Duration::from_micros(u64::from(record.u32(24))),
            group: non_zero(record.u64(32)),
        },
    })
}

fn session_inherited(record: Fields, layout: &Layout) -> Result<Event, EventError> {
    Ok(Event::SessionInherited {
        session: record.u64(4),
        backend: record.array(12),
        arrival: Arrival {
            route: listener(record.u16(30), layout)?,
            client_key: non_zero(record.u64(38)),
            timeout: Duration::from_micros(u64::from(record.u32(34))),
            group: non_zero(record.u64(18)),
        },
    })
}

fn attempt_ended(record: Fields, layout: &Layout) -> Result<Event, EventError> {
    Ok(Event::AttemptEnded {
        session: record.u64(4),
        end: AttemptEnd {
            attempt: u32::from(record.u16(24)),
            outcome: attempt_outcome(record.u16(16))?,
            is_answered: record.u8(26) != 0,
            report: load_report(record, 27, layout),
        },
    })
}

fn observed(record: Fields) -> Event {
    let value = f64::from(record.f32(21));
    let observation = match record.u8(20) {
        observation::LOAD => Observation::Load(value),
        observation::LATENCY => Observation::Latency(Duration::from_millis(1) * value),
        code => Observation::Unknown(code),
    };
    Event::Observed {
        session: record.u64(4),
        observation,
    }
}

fn listener(index: u16, layout: &Layout) -> Result<RouteId, EventError> {
    let count = layout.listener_count;
    if usize::from(index) < count {
        Ok(RouteId(index))
    } else {
        Err(EventError::UnknownListener { index, count })
    }
}

/// Returns the value, or `None` for zero, which stands for no value.
fn non_zero(value: u64) -> Option<u64> {
    (value != 0).then_some(value)
}

fn attempt_outcome(code: u16) -> Result<AttemptOutcome, EventError> {
    match code {
        outcome::OK => Ok(AttemptOutcome::Ok),
        outcome::ERROR => Ok(AttemptOutcome::Error),
        outcome::SATURATED => Ok(AttemptOutcome::Saturated),
        outcome::TIMED_OUT => Ok(AttemptOutcome::TimedOut),
        outcome::UNREACHABLE => Ok(AttemptOutcome::Unreachable),
        outcome::RESET => Ok(AttemptOutcome::Reset),
        outcome::CANCELLED => Ok(AttemptOutcome::Cancelled),
        outcome::NOT_SENT => Ok(AttemptOutcome::NotSent),
        code => Err(EventError::UnknownOutcome { code }),
    }
}

/// Decodes a load report: a count of fields at `offset`, followed by the fields.
fn load_report(record: Fields, offset: usize, layout: &Layout) -> LoadReport {
    let count = usize::from(record.u8(offset)).min(MAX_REPORT_FIELDS);
    let value = |index: Option<usize>| {
        let index = index.filter(|&index| index < count)?;
        let value = f64::from(record.f32(offset + 1 + 4 * index));
        value.is_finite().then_some(value.max(0.0))
    };
    LoadReport {
        connections: value(layout.report_fields.connections),
        load: value(layout.report_fields.load),
    }
}
